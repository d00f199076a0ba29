//! Attempts of a request, and its final response if no further attempt is possible.

use super::tuning::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;

impl Gateway {
    pub(super) fn send(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let pool = open.request.pool;
        if open.attempts.is_empty() {
            self.count_request(now, pool);
        }
        self.refill_warm_up_tokens(now, pool);
        let picked = self.pick_canary(now, id).or_else(|| self.pick(now, id));
        let Some(open) = self.requests.get_mut(&id) else { return };
        let request = &open.request;
        let first = open.attempts.is_empty();
        let class = open.class;
        let plan = &self.settings.plans[request.plan as usize];
        let left_ms = open.deadline - now;
        let mut allowed = picked.is_some() && left_ms > 0.0;
        allowed &= (open.attempts.len() as u32) < self.settings.limits.max_attempts.max(1);
        if let (Some((since, _)), Idempotency::Keyed { window_ms, .. }) = (open.executed, class.idempotency) {
            allowed &= now - since < window_ms;
        }
        if first && plan.ceiling_rate > 0.0 {
            let customer = self.customers.get(&request.customer);
            allowed &= customer.is_some_and(|customer| customer.ceiling_balance >= request.units);
        }
        let Some(backend_id) = picked.filter(|_| allowed) else {
            if first && open.within_quota {
                // Refunds the units of a request that was never sent.
                if let Some(customer) = self.customers.get_mut(&request.customer) {
                    customer.balance += request.units;
                    customer.defer_units(now, -request.units, plan);
                }
            }
            if !open.attempts.iter().any(|attempt| attempt.in_flight) {
                self.summary.unsent += 1;
                self.finish(id, class.target_ms / 2.0, Reason::AttemptsExhausted, actions);
            }
            return;
        };
        let backend = self.backends.get_mut(&backend_id).expect("picked from the list");
        // A backend starts to process a streamed request only when its body is complete.
        let processing = !request.body_streams;
        if processing {
            backend.start_request(now);
        }
        backend.warm_up_tokens -= 1.0;
        backend.record_send(now);
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.attempts_in_flight += 1;
            if first {
                customer.ceiling_balance -= request.units;
            }
        }
        let queue_depth = f64::from(backend.in_flight);
        let attempt = Attempt { backend: backend_id, sent_at: now, queue_depth, in_flight: true, processing };
        open.attempts.push(attempt);
        // Times out before the target if a late response earns nothing and costs more than wasted work.
        let penalties = &self.settings.penalties;
        let stop_at_target = class.late_worth <= 0.0 && penalties.waste < penalties.late_fail;
        let target_ms = open.target_deadline - now - TARGET_MARGIN_MS - 2.0 * self.settings.tick_ms;
        let max_ms = if stop_at_target { target_ms } else { left_ms };
        actions.push(Action::Send { id, backend: backend_id, timeout_ms: left_ms.min(max_ms.max(1.0)) });
        self.update_load(now, pool, f64::from(u8::from(processing)), 0.0);
        if first {
            let budget = self.settings.rules.retry_budget;
            let (ratio, max) = budget.map_or((RETRY_RATIO, MAX_RETRY_TOKENS), |b| (b.ratio, b.burst));
            let load = self.pool_load(pool);
            load.retry_tokens = (load.retry_tokens + ratio).min(max);
        }
    }

    /// The backend has the whole body: the times of the request and the attempt start now.
    pub(super) fn handle_body_sent(&mut self, now: Millis, id: RequestId, attempt: u8) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (budget_ms, pool) = (open.request.budget_ms, open.request.pool);
        let target_ms = open.class.target_ms;
        let Some(attempt) = open.attempts.get_mut(attempt as usize) else { return };
        if !attempt.in_flight || attempt.processing || open.streaming {
            return;
        }
        (open.deadline, open.target_deadline) = (now + budget_ms, now + target_ms.min(budget_ms));
        (attempt.sent_at, attempt.processing) = (now, true);
        if let Some(backend) = self.backends.get_mut(&attempt.backend) {
            backend.start_request(now);
            attempt.queue_depth = f64::from(backend.in_flight);
        }
        self.update_load(now, pool, 1.0, 0.0);
    }

    /// A streamed response has started. The rest of it depends on the client and the network only.
    pub(super) fn handle_response_start(&mut self, now: Millis, id: RequestId, number: u8) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.streaming = true;
        let (class, index, plan, pool) = (open.class, open.class_index(), open.plan(), open.request.pool);
        let Some(attempt) = open.attempts.get_mut(number as usize) else { return };
        if !attempt.in_flight || !std::mem::take(&mut attempt.processing) {
            return;
        }
        let (backend, took_ms, queue_depth) = (attempt.backend, now - attempt.sent_at, attempt.queue_depth);
        self.end_processing(now, class.target_ms, pool, took_ms, CallResult::Ok);
        self.record_result(now, backend, index, plan, CallResult::Ok, took_ms, queue_depth);
    }

    /// Updates the pool's averages after a backend has stopped processing a request.
    fn end_processing(&mut self, now: Millis, target_ms: f64, pool: u32, took_ms: f64, result: CallResult) {
        self.update_load(now, pool, -1.0, f64::from(u8::from(result == CallResult::Ok)));
        if matches!(result, CallResult::Ok | CallResult::Timeout) {
            let share = took_ms / target_ms.max(1.0);
            let load = self.pool_load(pool);
            load.target_share += (share.min(1.0) - load.target_share) * TARGET_SHARE_GAIN;
        }
    }

    pub(super) fn handle_outcome(&mut self, now: Millis, outcome: Outcome, actions: &mut Vec<Action>) {
        let Outcome { id, attempt, result, is_final, units, took_ms, .. } = outcome;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(attempt as usize) else { return };
        if !std::mem::take(&mut attempt.in_flight) {
            return;
        }
        let (sent_at, queue_depth, backend) = (attempt.sent_at, attempt.queue_depth, attempt.backend);
        let processing = std::mem::take(&mut attempt.processing);
        let (class, index, plan, pool) = (open.class, open.class_index(), open.plan(), open.request.pool);
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            customer.attempts_in_flight = customer.attempts_in_flight.saturating_sub(1);
            // Settles the difference of the actual units with the customer's next charge.
            if let (true, true, Some(units)) = (self.settings.units_are_estimates, open.within_quota, units) {
                if units.is_finite() {
                    customer.balance -= units - open.request.units;
                    customer.defer_units(now, units - open.request.units, &self.settings.plans[plan]);
                    open.within_quota = false;
                }
            }
        }
        if !result.never_ran() && open.executed.is_none() {
            open.executed = Some((sent_at, backend));
        }
        if processing {
            self.end_processing(now, class.target_ms, pool, now - sent_at, result);
            self.record_result(now, backend, index, plan, result, took_ms, queue_depth);
        } else {
            self.update_health(now, backend, plan, result, took_ms);
        }
        let open = self.requests.get_mut(&id).expect("found above");
        if is_final || open.closed {
            return self.close(id, actions);
        }
        if open.attempts.iter().any(|attempt| attempt.in_flight) {
            return;
        }
        let worthwhile = class.late_worth > 0.0 || now + self.classes[index].mean_ms < open.target_deadline;
        // A configured retry budget is charged for retries of rejected attempts too.
        let free = match self.settings.rules.retry_budget {
            Some(_) => matches!(result, CallResult::ConnectFailed | CallResult::NotSent),
            None => result.never_ran(),
        };
        let allowed = result.never_ran() || class.idempotency != Idempotency::NonIdempotent;
        let retry = worthwhile && allowed && (free || self.pool_load(pool).retry_tokens >= 1.0);
        let open = &self.requests[&id];
        if retry && result != CallResult::NotSent && open.deadline > now && !open.streaming {
            if !free && result != CallResult::Cancelled {
                self.pool_load(pool).retry_tokens -= 1.0;
            }
            return self.send(now, id, actions);
        }
        self.finish(id, class.target_ms / 2.0, Reason::AttemptsExhausted, actions);
    }

    /// Answers the request: refused if the client may safely retry, failed if an attempt may have executed.
    pub(super) fn finish(&mut self, id: RequestId, wait_ms: f64, reason: Reason, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let repeatable = match open.class.idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            _ => open.executed.is_none() && !open.attempts.iter().any(|attempt| attempt.in_flight),
        };
        if repeatable {
            let limits = &self.settings.limits;
            let wait_ms = wait_ms.clamp(0.0, limits.max_retry_after_ms.max(0.0));
            let retry_after_ms = if limits.retry_after { wait_ms } else { 0.0 };
            actions.push(Action::Refuse { id, retry_after_ms, reason });
        } else {
            actions.push(Action::Fail { id });
        }
        self.close(id, actions);
    }

    /// Sends no further attempt; the request is kept until its attempts in flight have ended.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.stop_waiting(id);
        let Some(open) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut open.closed, true) && self.settings.limits.cancel {
            for (number, _) in open.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight) {
                actions.push(Action::Cancel { id, attempt: number as u8 });
            }
        }
        if !open.attempts.iter().any(|attempt| attempt.in_flight) {
            self.requests.remove(&id);
        }
    }
}
