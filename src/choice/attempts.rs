//! Attempts, and the final answer where none is left.

use super::tuned::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;

impl Gateway {
    pub(super) fn send(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let pool = open.request.pool;
        if open.attempts.is_empty() {
            // What finds no backend counts too: cold ones get their turns by it.
            let flow = self.flow_of(pool);
            let keep = (-(now - flow.rate_at).max(0.0) / RATE_MS).exp();
            flow.rate = flow.rate * keep + 1000.0 / RATE_MS;
            flow.rate_at = now;
        }
        self.reckon_cold(now, pool);
        let picked = self.pick(now, id);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let request = &open.request;
        let first = open.attempts.is_empty();
        let class = &self.settings.classes[request.class as usize];
        let plan = &self.settings.plans[request.plan as usize];
        let left = open.ends - now;
        let mut may = picked.is_some() && left > 0.0;
        may &= (open.attempts.len() as u32) < self.settings.limits.max_attempts.max(1);
        if let (Some((since, _)), Idempotency::Keyed { window_ms, .. }) = (open.ran, class.idempotency) {
            may &= now - since < window_ms;
        }
        if first && plan.ceiling_rate > 0.0 {
            may &= self.customers.get(&request.customer).is_some_and(|c| c.ceiling >= request.units);
        }
        let Some(backend) = picked.filter(|_| may) else {
            if first && open.inside {
                // Never sent, so it took nothing.
                if let Some(c) = self.customers.get_mut(&request.customer) {
                    c.store += request.units;
                    c.owe(now, -request.units, plan);
                }
            }
            if !open.attempts.iter().any(|a| a.live) {
                self.told.unsent += 1;
                self.finish(id, class.target_ms / 2.0, Reason::Unsent, actions);
            }
            return;
        };
        let b = self.backends.get_mut(&backend).expect("picked from the list");
        // With its body still to come it is no work yet.
        let at_work = !request.body_streams;
        if at_work {
            b.begin(now);
        }
        b.cold.0 -= 1.0;
        b.note_sent(now);
        if let Some(c) = self.customers.get_mut(&request.customer) {
            c.out += 1;
            if first {
                c.ceiling -= request.units;
            }
        }
        let depth = f64::from(b.out);
        open.attempts.push(Attempt { backend, sent: now, depth, live: true, at_work });
        // Past its aim an answer may earn nothing: the attempt ends before. It frees a place but wastes
        // work that backends finish all the same: only where waste is priced below late failure.
        let prices = &self.settings.penalties;
        let cuts = class.late_worth <= 0.0 && prices.waste < prices.late_fail;
        let cut = if cuts { open.aim_ends - now - CUT_MS - 2.0 * self.settings.tick_ms } else { left };
        actions.push(Action::Send { id, backend, timeout_ms: left.min(cut.max(1.0)) });
        self.flow(now, pool, f64::from(u8::from(at_work)), 0.0);
        if first {
            let (share, most) =
                self.settings.rules.retry_budget.map_or((RETRY_SHARE, RETRY_MOST), |f| (f.ratio, f.burst));
            let flow = self.flow_of(pool);
            flow.retries = (flow.retries + share).min(most);
        }
    }

    /// The backend has the whole body now: the request's time and the attempt's begin.
    pub(super) fn whole(&mut self, now: Millis, id: RequestId, attempt: u8) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (budget, aim, pool) = (
            open.request.budget_ms,
            self.settings.classes[open.request.class as usize].target_ms,
            open.request.pool,
        );
        let Some(attempt) = open.attempts.get_mut(attempt as usize) else { return };
        if !attempt.live || attempt.at_work || open.streaming {
            return;
        }
        (open.ends, open.aim_ends) = (now + budget, now + aim.min(budget));
        (attempt.sent, attempt.at_work) = (now, true);
        if let Some(b) = self.backends.get_mut(&attempt.backend) {
            b.begin(now);
            attempt.depth = f64::from(b.out);
        }
        self.flow(now, pool, 1.0, 0.0);
    }

    /// The backend's work is done; what follows tells of the client's pace and the path.
    pub(super) fn started_answer(&mut self, now: Millis, id: RequestId, number: u8) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.streaming = true;
        let (class, plan, pool) =
            (open.request.class as usize, open.request.plan as usize, open.request.pool);
        let Some(attempt) = open.attempts.get_mut(number as usize) else { return };
        if !attempt.live || !std::mem::take(&mut attempt.at_work) {
            return;
        }
        let (backend, took_ms, depth) = (attempt.backend, now - attempt.sent, attempt.depth);
        self.worked(now, class, pool, took_ms, CallResult::Ok);
        self.learn(now, backend, class, plan, CallResult::Ok, took_ms, depth);
    }

    /// A backend's work has ended: the averages over work in hand and answers.
    pub(super) fn worked(&mut self, now: Millis, class: usize, pool: u32, took_ms: f64, result: CallResult) {
        self.flow(now, pool, -1.0, f64::from(u8::from(result == CallResult::Ok)));
        if matches!(result, CallResult::Ok | CallResult::Timeout) {
            let share = took_ms / self.settings.classes[class].target_ms.max(1.0);
            let flow = self.flow_of(pool);
            flow.late += (share.min(1.0) - flow.late) * LATE_GAIN;
        }
    }

    pub(super) fn outcome(&mut self, now: Millis, o: Outcome, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&o.id) else { return };
        let Some(attempt) = open.attempts.get_mut(o.attempt as usize) else { return };
        if !std::mem::take(&mut attempt.live) {
            return;
        }
        let (sent, depth, backend) = (attempt.sent, attempt.depth, attempt.backend);
        let at_work = std::mem::take(&mut attempt.at_work);
        let (class, plan, pool) =
            (open.request.class as usize, open.request.plan as usize, open.request.pool);
        if let Some(c) = self.customers.get_mut(&open.request.customer) {
            c.out = c.out.saturating_sub(1);
            // The settlement: the true units' difference rides on the customer's next charge.
            if let (true, true, Some(units)) = (self.settings.units_are_estimates, open.inside, o.units) {
                if units.is_finite() {
                    c.store -= units - open.request.units;
                    let plan = &self.settings.plans[open.request.plan as usize];
                    c.owe(now, units - open.request.units, plan);
                    open.inside = false;
                }
            }
        }
        if !o.result.never_ran() && open.ran.is_none() {
            open.ran = Some((sent, backend));
        }
        if at_work {
            self.worked(now, class, pool, now - sent, o.result);
            self.learn(now, backend, class, plan, o.result, o.took_ms, depth);
        } else {
            self.judge(now, backend, plan, o.result, o.took_ms);
        }
        let open = self.requests.get_mut(&o.id).expect("seen above");
        if o.is_final || open.closed {
            return self.close(o.id, actions);
        }
        if open.attempts.iter().any(|a| a.live) {
            return;
        }
        let effect = self.settings.classes[class].idempotency;
        let worth =
            self.settings.classes[class].late_worth > 0.0 || now + self.usual[class].0 < open.aim_ends;
        // Where further attempts are limited by rule, what a server turned away was one that arrived.
        let free = match self.settings.rules.retry_budget {
            Some(_) => matches!(o.result, CallResult::ConnectFailed | CallResult::NotSent),
            None => o.result.never_ran(),
        };
        let may = o.result.never_ran() || effect != Idempotency::NonIdempotent;
        let again = worth && may && (free || self.flow_of(pool).retries >= 1.0);
        let open = &self.requests[&o.id];
        if again && o.result != CallResult::NotSent && open.ends > now && !open.streaming {
            if !free && o.result != CallResult::Cancelled {
                self.flow_of(pool).retries -= 1.0;
            }
            return self.send(now, o.id, actions);
        }
        self.finish(o.id, self.settings.classes[class].target_ms / 2.0, Reason::Unsent, actions);
    }

    /// Ends the request: refused where trying again is harmless, failed where an attempt may have run.
    pub(super) fn finish(&mut self, id: RequestId, wait: f64, reason: Reason, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        let harmless = match self.settings.classes[open.request.class as usize].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            _ => open.ran.is_none() && !open.attempts.iter().any(|a| a.live),
        };
        if harmless {
            let limits = &self.settings.limits;
            let wait = wait.clamp(0.0, limits.max_retry_after_ms.max(0.0));
            let retry_after_ms = if limits.retry_after { wait } else { 0.0 };
            actions.push(Action::Refuse { id, retry_after_ms, reason });
        } else {
            actions.push(Action::Fail { id });
        }
        self.close(id, actions);
    }

    /// Nothing more is sent for the request; it is kept until its last attempt has ended.
    pub(super) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.release(id);
        let Some(open) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut open.closed, true) && self.settings.limits.cancel {
            for (number, _) in open.attempts.iter().enumerate().filter(|(_, a)| a.live) {
                actions.push(Action::Cancel { id, attempt: number as u8 });
            }
        }
        if !open.attempts.iter().any(|a| a.live) {
            self.requests.remove(&id);
        }
    }
}
