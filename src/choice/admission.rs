//! Admission of a request: first by quota, then by capacity.

use super::counting::home_gateway;
use super::tuning::*;
use super::Gateway;
use crate::interface::*;
use crate::message::Message;
use crate::state::*;

impl Gateway {
    pub(super) fn handle_request(&mut self, now: Millis, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.summary.requests += 1;
        let sanitize = |value: f64| if value.is_finite() { value.max(0.0) } else { 0.0 };
        (request.units, request.budget_ms) = (sanitize(request.units), sanitize(request.budget_ms));
        let (class, plan_index, pool) = (request.class as usize, request.plan as usize, request.pool);
        let known = class < self.settings.classes.len() && plan_index < self.settings.plans.len();
        if !known || request.budget_ms <= 0.0 {
            actions.push(Action::Refuse { id, retry_after_ms: 0.0, reason: Reason::DeadlineExceeded });
            return;
        }
        let (units, customer_id) = (request.units, request.customer);
        self.mean_units += (units - self.mean_units) * MEAN_GAIN;
        let class_settings = self.settings.classes[class];
        let target_ms = class_settings.target_ms.min(request.budget_ms);
        self.refresh_customer(now, customer_id, plan_index, request.customer_gateways);
        self.requests.insert(id, OpenRequest::new(request, class_settings, now));
        // A customer known to be over its quota is refused without a call: peers can only have used more.
        let customer = &self.customers[&customer_id];
        let plan = &self.settings.plans[plan_index].clone();
        // Peers' attempts in flight are estimated from their usage and the class's latency.
        let class_ms = self.classes[class].mean_ms;
        let by_peers = customer.peer_rate / self.mean_units.max(0.1) * class_ms / 1000.0;
        let in_flight = f64::from(customer.attempts_in_flight + customer.counter_calls) + by_peers.round();
        let capped = plan.max_in_flight > 0 && in_flight >= f64::from(plan.max_in_flight);
        if capped || plan.rate > 0.0 && customer.balance.min(plan.burst) - customer.waiting_units < units {
            // Reading the count now and then keeps the balance up to date.
            let outdated = now - customer.last_call_at > MIN_COUNT_READ_INTERVAL_MS;
            if outdated && self.settings.counter.is_some() && plan.rate > 0.0 && self.take_call(now, true) {
                self.charge(now, customer_id, plan_index, 0.0, id, actions);
            }
            return self.handle_over_quota(now, id, actions);
        }
        let configured = Some(self.settings.rules.early_refusal_share).filter(|share| *share > 0.0);
        if self.expected_latency(now, id) > configured.unwrap_or(ADMISSION_SHARE) * target_ms.max(0.0) {
            self.pool_load(pool).overloaded_at = now;
            self.summary.no_capacity += 1;
            return self.finish(id, self.classes[class].mean_ms, Reason::NoCapacity, actions);
        }
        if self.settings.counter.is_none() || plan.rate <= 0.0 {
            return self.grant(now, id, actions);
        }
        let trusted = self.counter.is_trusted();
        // Without peers, plans whose requests over quota earn no more than they cost get the last calls.
        let peers = self.settings.limits.peers;
        let may_call = self.take_call(now, peers || plan.excess_worth > plan.excess_cost);
        let customer = self.customers.get_mut(&customer_id).expect("refreshed above");
        let home = home_gateway(customer_id, self.settings.gateways);
        if !may_call && peers && home != self.settings.position {
            customer.waiting_units += units;
            let open = self.requests.get_mut(&id).expect("inserted above");
            (open.waiting, open.asked_peer) = (true, true);
            let (plan, units) = (plan_index as u8, units as f32);
            let message = Message::BalanceRequest { id, customer: customer_id, plan, units };
            actions.push(Action::SendMessage { to: home, body: message.encode() });
            let after_ms = target_ms * PEER_WAIT_SHARE;
            return actions.push(Action::Timer { token: TOKEN_WAIT | id, after_ms });
        }
        if !may_call {
            customer.defer_units(now, units, plan);
            return self.grant(now, id, actions);
        }
        self.charge(now, customer_id, plan_index, units, id, actions);
        if trusted {
            self.customers.get_mut(&customer_id).expect("refreshed above").waiting_units += units;
            self.requests.get_mut(&id).expect("inserted above").waiting = true;
            let after_ms = self.counter_wait_ms(target_ms);
            actions.push(Action::Timer { token: TOKEN_WAIT | id, after_ms });
        } else {
            self.grant(now, id, actions);
        }
    }

    /// Refuses a request over its quota, unless it earns more than it costs and there is spare capacity.
    pub(super) fn handle_over_quota(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let unseen_share = (1.0 - CERTAIN_GATEWAYS / self.gateway_count(now)).max(0.0);
        let Some(pool) = self.requests.get(&id).map(|open| open.request.pool) else { return };
        let expected = self.expected_latency(now, id);
        let load = self.pool_load(pool);
        // One of many gateways may see spare capacity by chance while others refuse requests.
        let expected = expected * (1.0 + UNCERTAINTY * unseen_share * (1.0 - load.confidence()));
        let overloaded_at = load.overloaded_at;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let plan = &self.settings.plans[open.plan()];
        let target_ms = open.class.target_ms;
        let spare = expected < OVER_QUOTA_SHARE * target_ms && now - overloaded_at > OVERLOAD_MEMORY_MS;
        if plan.excess_worth > plan.excess_cost && spare {
            open.within_quota = false;
            return self.send(now, id, actions);
        }
        self.summary.over_quota += 1;
        let customer = &self.customers[&open.request.customer];
        let missing = open.request.units.min(plan.burst) - customer.balance;
        let retry_ms = if plan.rate > 0.0 { (missing / plan.rate * 500.0).max(0.0) } else { target_ms };
        self.finish(id, retry_ms, Reason::Quota, actions);
    }

    /// Expected latency: requests in flight over responses per second, so each admission raises it at once.
    pub(super) fn expected_latency(&mut self, now: Millis, id: RequestId) -> f64 {
        let Some(open) = self.requests.get(&id) else { return f64::INFINITY };
        let pool = open.request.pool;
        let class_ms = self.classes[open.class_index()].mean_ms;
        let target_ms = open.class.target_ms;
        self.update_load(now, pool, 0.0, 0.0);
        if self.ready_backends(pool).next().is_none() {
            return f64::INFINITY;
        }
        // Always admits a minimum, so that a few hung attempts can't block the gateway.
        let ready = self.ready_backends(pool).count() as f64;
        let (gateways, started_at) = (self.gateway_count(now), self.started_at);
        let load = self.pool_load(pool);
        if load.in_flight < (ready * MIN_REQUESTS_PER_BACKEND / gateways).max(1.0) {
            return 0.0;
        }
        // Corrects the averages for their start from 0.
        let observed = 1.0 - (-(now - started_at).max(1.0) / LOAD_AVERAGE_MS).exp();
        let mean = load.mean_in_flight / observed;
        // An excess over the mean that may be random variation is not counted as a queue.
        let certain = load.in_flight - QUEUE_DEVIATIONS * mean.sqrt();
        let in_flight = load.in_flight.min(certain.clamp(mean, mean * 2.0));
        let latency = in_flight / (load.responses_per_s / observed) * 1000.0;
        let latency = Some(latency).filter(|latency| latency.is_finite()).unwrap_or(class_ms);
        // With few responses the mean share of the target is used instead: a hung attempt weighs less in it.
        let confidence = load.confidence();
        latency * confidence + TARGET_SHARE_FACTOR * load.target_share * target_ms * (1.0 - confidence)
    }

    /// Counts a request in the pool's rate, even if it finds no backend: cold ones get tokens by this rate.
    pub(super) fn count_request(&mut self, now: Millis, pool: u32) {
        let load = self.pool_load(pool);
        let keep = (-(now - load.requests_at).max(0.0) / REQUEST_RATE_MS).exp();
        load.requests_per_s = load.requests_per_s * keep + 1000.0 / REQUEST_RATE_MS;
        load.requests_at = now;
    }

    pub(super) fn pool_load(&mut self, pool: u32) -> &mut PoolLoad {
        self.pools.entry(pool).or_insert_with(|| PoolLoad::new(&self.settings.rules, self.started_at))
    }

    /// Brings the pool's averages up to now, then adds to the requests in flight and the responses.
    pub(super) fn update_load(&mut self, now: Millis, pool: u32, in_flight: f64, responses: f64) {
        let load = self.pool_load(pool);
        let keep = (-(now - load.updated_at).max(0.0) / LOAD_AVERAGE_MS).exp();
        load.mean_in_flight = load.mean_in_flight * keep + load.in_flight * (1.0 - keep);
        load.responses_per_s = load.responses_per_s * keep + responses * 1000.0 / LOAD_AVERAGE_MS;
        load.updated_at = now;
        load.in_flight += in_flight;
    }
}

impl PoolLoad {
    pub(super) fn new(rules: &Rules, now: Millis) -> Self {
        PoolLoad {
            target_share: INITIAL_LATENCY_SHARE,
            updated_at: now,
            overloaded_at: f64::NEG_INFINITY,
            retry_tokens: rules.retry_budget.map_or(MAX_RETRY_TOKENS, |budget| budget.burst),
            requests_at: now,
            ..PoolLoad::default()
        }
    }

    /// Weight of the average response rate in an estimate, from 0 to 1: low with few responses.
    fn confidence(&self) -> f64 {
        let weight = (self.responses_per_s * LOAD_AVERAGE_MS / 1000.0 / LOAD_HALF_WEIGHT_RESPONSES).powi(2);
        weight / (1.0 + weight)
    }
}
