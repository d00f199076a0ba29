//! The shared counts: units are charged before sending and settled after the response.

use super::tuning::*;
use super::Gateway;
use crate::interface::*;
use crate::message::Message;
use crate::state::*;
use std::collections::{BTreeMap, VecDeque};

/// Calls to the shared counter. No gateway knows its capacity: each adapts its rate to its missed calls.
#[derive(Default)]
pub(super) struct CounterClient {
    /// Calls in flight, by the key of the count.
    pending: BTreeMap<u64, VecDeque<Call>>,
    consecutive_misses: u32,
    pub(super) calls_per_s: f64,
    tokens: f64,
    tokens_at: Millis,
    /// The call rate before the latest cuts, if there were any.
    rate_before_cut: Option<f64>,
    /// The call rate was cut since the last timely response.
    rate_cut: bool,
    min_rtt_ms: f64,
    min_rtt_at: Millis,
}

impl CounterClient {
    pub(super) fn new(gateways: u32, now: Millis) -> Self {
        let calls_per_s = INITIAL_CALLS_PER_S.min(INITIAL_FLEET_CALLS_PER_S / f64::from(gateways.max(1)));
        CounterClient {
            calls_per_s,
            tokens: calls_per_s,
            tokens_at: now,
            min_rtt_ms: f64::INFINITY,
            min_rtt_at: now,
            ..CounterClient::default()
        }
    }

    pub(super) fn is_trusted(&self) -> bool {
        self.consecutive_misses < MAX_COUNTER_MISSES
    }
}

impl Gateway {
    pub(super) fn counter_wait_ms(&self, target_ms: f64) -> f64 {
        let rtts =
            Some(COUNTER_WAIT_RTTS * self.counter.min_rtt_ms).filter(|ms| ms.is_finite()).unwrap_or(0.0);
        (target_ms * COUNTER_WAIT_SHARE).max(rtts.min(target_ms * MAX_COUNTER_WAIT_SHARE))
    }

    /// Takes a token for a counter call, if there is one. An optional call leaves half of the bucket.
    pub(super) fn take_call(&mut self, now: Millis, optional: bool) -> bool {
        let counter = &mut self.counter;
        let capacity = (counter.calls_per_s * CALL_BUCKET_MS / 1000.0).max(MIN_CALL_BUCKET);
        let refill = (now - counter.tokens_at).max(0.0) / 1000.0 * counter.calls_per_s;
        (counter.tokens, counter.tokens_at) = ((counter.tokens + refill).min(capacity), now);
        let allowed = counter.tokens >= if optional { 1.0 + capacity / 2.0 } else { 1.0 };
        counter.tokens -= f64::from(u8::from(allowed));
        allowed
    }

    /// Adds the units and the deferred corrections to the customer's count.
    pub(super) fn charge(
        &mut self, now: Millis, customer_id: CustomerId, plan_index: usize, units: f64, request: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let plan = &self.settings.plans[plan_index];
        let Some(customer) = self.customers.get_mut(&customer_id) else { return };
        let Window { number, key, left_ms } = window(now, customer_id, plan);
        if customer.window != number {
            // The end of the former window was not read: peer usage is assumed to have continued.
            let start = window_start(now, customer_id, plan);
            let gap_ms = (start - customer.usage_at).clamp(0.0, PEER_USAGE_MS);
            if let Some(usage) = &mut customer.usage {
                customer.balance -= customer.peer_rate * gap_ms / 1000.0;
                let keep = decay(start - customer.usage_at, plan);
                *usage = *usage * keep + customer.peer_rate * gap_ms / 1000.0;
                (customer.carried_usage, customer.usage_at) = (*usage, start);
            }
            (customer.window, customer.own_charges) = (number, 0.0);
        }
        let deferred = customer.deferred_units * decay(now - customer.deferred_at, plan);
        let amount = (units + deferred) * decay(left_ms, plan);
        customer.counter_calls += 1;
        (customer.deferred_units, customer.last_call_at) = (0.0, now);
        let lifetime_ms = (left_ms + MAX_COUNT_LIFETIME_MS - MAX_WINDOW_MS).min(MAX_COUNT_LIFETIME_MS);
        actions.push(Action::Count { key, amount, lifetime_ms });
        let call = Call { customer: customer_id, request, plan: plan_index, amount, units };
        self.counter.pending.entry(key).or_default().push_back(call);
    }

    /// A peer that can't call the counter asks the customer's home gateway, which combines the charges.
    pub(super) fn handle_message(&mut self, now: Millis, from: u32, body: &[u8], actions: &mut Vec<Action>) {
        let known = from < self.settings.gateways && from != self.settings.position;
        match Message::decode(body).filter(|_| known && self.settings.limits.peers) {
            Some(Message::BalanceRequest { id, customer: customer_id, plan, units }) => {
                let (plan, units) = (usize::from(plan), f64::from(units));
                if plan >= self.settings.plans.len() || !(0.0..=self.settings.max_units).contains(&units) {
                    return;
                }
                // Takes the least share of the hard limit, which doesn't matter: the peer sends the request.
                self.refresh_customer(now, customer_id, plan, f64::INFINITY);
                let may_call = self.take_call(now, false);
                let customer = self.customers.get_mut(&customer_id).expect("refreshed above");
                let balance = customer.balance - customer.waiting_units;
                if balance >= units {
                    customer.balance -= units;
                    customer.defer_units(now, units, &self.settings.plans[plan]);
                }
                if may_call {
                    self.charge(now, customer_id, plan, 0.0, RequestId::MAX, actions);
                }
                let response = Message::BalanceResponse { id, balance: balance as f32 };
                actions.push(Action::SendMessage { to: from, body: response.encode() });
            }
            Some(Message::BalanceResponse { id, balance }) => {
                let open = self.requests.get(&id).filter(|open| open.asked_peer && open.waiting);
                let Some(request) = open.map(|open| &open.request) else { return };
                let &Request { customer: customer_id, plan, customer_gateways, .. } = request;
                self.refresh_customer(now, customer_id, plan as usize, customer_gateways);
                let customer = self.customers.get_mut(&customer_id).expect("refreshed above");
                customer.balance = f64::from(balance);
                self.decide_waiting(now, id, actions);
            }
            None => {}
        }
    }

    /// Brings the customer's token buckets up to now.
    pub(super) fn refresh_customer(&mut self, now: Millis, id: CustomerId, plan: usize, gateways: f64) {
        let plan = &self.settings.plans[plan];
        let share = 1.0 / gateways.clamp(1.0, f64::from(self.settings.gateways.max(1)));
        let uptime_s = (now - self.started_at).max(0.0) / 1000.0;
        let customer = self.customers.entry(id).or_insert_with(|| Customer {
            balance: plan.burst,
            balance_at: now,
            usage_at: now,
            last_call_at: f64::NEG_INFINITY,
            // Starts at 0 after a restart, as usage before it is unknown.
            ceiling_balance: (uptime_s * plan.ceiling_rate * share).min(plan.ceiling_burst * share),
            ..Customer::default()
        });
        let elapsed_s = (now - customer.balance_at).max(0.0) / 1000.0;
        // Not capped until the next total is known: usage may have preceded the refill.
        customer.balance += elapsed_s * plan.rate;
        if self.counter.tokens < 1.0 && customer.usage.is_some() {
            // Calls are scarce: extrapolates peer usage. The next total corrects it.
            let until = now.min(customer.usage_at + MAX_PROJECTION_MS);
            let unseen_s = (until - customer.balance_at.max(customer.usage_at)).max(0.0) / 1000.0;
            customer.balance -= unseen_s * customer.peer_rate;
            customer.projected_usage += unseen_s * customer.peer_rate;
            customer.balance = customer.balance.min(plan.burst);
        }
        let refilled = customer.ceiling_balance + elapsed_s * plan.ceiling_rate * share;
        customer.ceiling_balance = refilled.min(plan.ceiling_burst * share);
        (customer.balance_at, customer.last_used_at) = (now, now);
    }

    pub(super) fn handle_counted(
        &mut self, now: Millis, key: u64, result: CallResult, total: f64, took_ms: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(queue) = self.counter.pending.get_mut(&key) else { return };
        let Some(call) = queue.pop_front() else { return };
        if queue.is_empty() {
            self.counter.pending.remove(&key);
        }
        let ok = result == CallResult::Ok && total.is_finite();
        let target_ms = self.settings.classes.iter().map(|c| c.target_ms).fold(f64::INFINITY, f64::min);
        if ok {
            let age_ms = (now - self.counter.min_rtt_at).max(0.0);
            let aged_ms = self.counter.min_rtt_ms * (1.0 + age_ms / MIN_RTT_MEMORY_MS);
            (self.counter.min_rtt_ms, self.counter.min_rtt_at) = (aged_ms.min(took_ms.max(0.0)), now);
        }
        // A response after the wait is a miss: requests were admitted unchecked.
        let in_time = ok && took_ms <= self.counter_wait_ms(target_ms);
        let counter = &mut self.counter;
        if in_time {
            // After an outage the call rate restarts at half of the former one.
            let outage = counter.consecutive_misses >= MAX_COUNTER_MISSES;
            if let Some(former) = counter.rate_before_cut.filter(|_| outage) {
                counter.calls_per_s = counter.calls_per_s.max(former / 2.0);
            }
            (counter.consecutive_misses, counter.rate_cut) = (0, false);
            let never_cut = counter.rate_before_cut.is_none();
            let growth = if never_cut { CALL_RATE_START_GROWTH } else { CALL_RATE_GROWTH };
            counter.calls_per_s =
                (counter.calls_per_s * (1.0 + growth) + CALL_RATE_STEP_PER_S).min(MAX_CALLS_PER_S);
        } else {
            counter.consecutive_misses = counter.consecutive_misses.saturating_add(1);
            // A broken connection or a single slow response doesn't indicate overload.
            let unrelated = result == CallResult::Reset || ok && counter.consecutive_misses == 1;
            if !unrelated {
                if !std::mem::replace(&mut counter.rate_cut, true) {
                    counter.rate_before_cut = Some(counter.calls_per_s);
                }
                counter.calls_per_s = (counter.calls_per_s * CALL_RATE_DECREASE).max(MIN_CALLS_PER_S);
            }
        }
        self.apply_total(now, key, &call, ok.then_some(total), result);
        // Refunds a refused request at once if the counter has capacity, so that peers can use the units.
        if !self.decide_waiting(now, call.request, actions) && self.take_call(now, true) {
            self.charge(now, call.customer, call.plan, 0.0, call.request, actions);
        }
    }

    /// Updates the balance from a total: an increase beyond this gateway's own charge is peer usage.
    fn apply_total(&mut self, now: Millis, key: u64, call: &Call, total: Option<f64>, result: CallResult) {
        let plan = &self.settings.plans[call.plan];
        let Some(customer) = self.customers.get_mut(&call.customer) else { return };
        customer.counter_calls = customer.counter_calls.saturating_sub(1);
        let Some(total) = total else {
            // Charged again only if it was certainly not added; a call that timed out may have been.
            if result.never_ran() {
                customer.defer_units(now, call.units, plan);
            }
            return;
        };
        let elapsed_s = (now - customer.balance_at).max(0.0) / 1000.0;
        (customer.balance, customer.balance_at) = (customer.balance + elapsed_s * plan.rate, now);
        if window(now, call.customer, plan).key != key {
            return;
        }
        let start = window_start(now, call.customer, plan);
        let scale = decay(window_ms(plan) - (now - start), plan);
        customer.own_charges += call.amount;
        let usage = total / scale + customer.carried_usage * decay(now - start, plan);
        // The balance if only the count were known, as after a long time without a read.
        let from_count = plan.burst * USAGE_DECAY - (usage - call.units);
        let elapsed_ms = (now - customer.usage_at).max(1.0);
        match customer.usage {
            None => customer.balance = from_count,
            // The counter lost the count. Only increases are read, so nothing has to be restored.
            Some(_) if total < customer.own_charges * 0.99 => customer.own_charges = call.amount,
            Some(former) => {
                let keep = decay(elapsed_ms, plan);
                // Peer usage since the last total, assumed to be spread evenly.
                let by_peers = usage - former * keep - call.amount / scale;
                let by_peers = by_peers * (1.0 - keep).recip() * elapsed_ms * plan.rate
                    / (USAGE_DECAY * plan.burst * 1000.0);
                customer.balance += std::mem::take(&mut customer.projected_usage) - by_peers;
                // The longer ago the last total, the more weight the count gets.
                let min_balance = plan.burst - (usage - call.units);
                let weight = (1.0 - keep).powi(2);
                customer.balance = (1.0 - weight) * customer.balance.max(min_balance) + weight * from_count;
                let keep = (-elapsed_ms / PEER_USAGE_MS).exp();
                let per_s = by_peers.max(0.0) * 1000.0 / elapsed_ms;
                customer.peer_rate = customer.peer_rate * keep + per_s * (1.0 - keep);
            }
        }
        customer.balance = customer.balance.max(-self.settings.max_units.max(plan.burst / 4.0));
        customer.balance = customer.balance.min(plan.burst);
        (customer.usage, customer.usage_at) = (Some(usage), now);
    }

    /// Grants or refuses a request that waited; without a total, own usage is a lower bound. False if over.
    pub(super) fn decide_waiting(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(open) = self.requests.get(&id).filter(|open| open.waiting) else { return true };
        let (request, asked_peer) = (open.request.clone(), open.asked_peer);
        self.stop_waiting(id);
        self.refresh_customer(now, request.customer, request.plan as usize, request.customer_gateways);
        let plan = &self.settings.plans[request.plan as usize];
        let customer = self.customers.get_mut(&request.customer).expect("refreshed above");
        let within_quota = customer.balance >= request.units;
        if within_quota {
            self.grant(now, id, actions);
        } else {
            customer.defer_units(now, if asked_peer { 0.0 } else { -request.units }, plan);
            self.handle_over_quota(now, id, actions);
        }
        within_quota
    }

    pub(super) fn stop_waiting(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if std::mem::take(&mut open.waiting) {
            if let Some(customer) = self.customers.get_mut(&open.request.customer) {
                customer.waiting_units = (customer.waiting_units - open.request.units).max(0.0);
            }
        }
    }

    /// Deducts the units of a request within its quota and sends it.
    pub(super) fn grant(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            customer.balance -= open.request.units;
        }
        self.send(now, id, actions);
    }
}

impl Customer {
    /// Adds a correction to the next charge; it decays like any usage.
    pub(super) fn defer_units(&mut self, now: Millis, units: f64, plan: &Plan) {
        self.deferred_units = self.deferred_units * decay(now - self.deferred_at, plan) + units;
        self.deferred_at = now;
    }
}

/// The gateway that tracks a customer's balance for peers that can't call the counter.
pub(super) fn home_gateway(customer: CustomerId, gateways: u32) -> u32 {
    (customer.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) as u32 % gateways.max(1)
}

/// Share of a usage that still counts after this time.
pub(super) fn decay(elapsed_ms: f64, plan: &Plan) -> f64 {
    (-elapsed_ms.max(0.0) * plan.rate / (USAGE_DECAY * plan.burst * 1000.0)).exp()
}

pub(super) fn window_ms(plan: &Plan) -> f64 {
    (WINDOW_DECAYS * USAGE_DECAY * plan.burst / plan.rate * 1000.0).clamp(100.0, MAX_WINDOW_MS)
}

/// The customer's current window. Customers have different offsets, so that windows don't change all at once.
pub(super) fn window(now: Millis, customer: CustomerId, plan: &Plan) -> Window {
    let length_ms = window_ms(plan);
    let offset = (customer.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / (1u64 << 24) as f64;
    let position = now / length_ms + offset;
    let number = position.max(0.0) as u64;
    let key = customer << 30 | number & 0x3fff_ffff;
    Window { number, key, left_ms: (position.floor() + 1.0 - position) * length_ms }
}

pub(super) fn window_start(now: Millis, customer: CustomerId, plan: &Plan) -> Millis {
    now - window_ms(plan) + window(now, customer, plan).left_ms
}
