//! A request comes in: quota first, then room.

use super::counting::home;
use super::tuned::*;
use super::Gateway;
use crate::interface::*;
use crate::message::Message;
use crate::state::*;

impl Gateway {
    pub(super) fn request(&mut self, now: Millis, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.told.requests += 1;
        let sane = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        (request.units, request.budget_ms) = (sane(request.units), sane(request.budget_ms));
        let (class, plan_no, pool) = (request.class as usize, request.plan as usize, request.pool);
        if self.settings.classes.len() <= class
            || self.settings.plans.len() <= plan_no
            || request.budget_ms <= 0.0
        {
            actions.push(Action::Refuse { id, retry_after_ms: 0.0, reason: Reason::Time });
            return;
        }
        let (units, customer) = (request.units, request.customer);
        self.units += (units - self.units) * USUAL_GAIN;
        let aim = self.settings.classes[class].target_ms.min(request.budget_ms);
        self.customer(now, customer, plan_no, request.customer_gateways);
        let (ends, aim_ends, attempts) = (now + request.budget_ms, now + aim, Vec::new());
        let (held, asked, inside, closed, streaming, ran) = (false, false, true, false, false, None);
        let open = Open { request, ends, aim_ends, held, asked, inside, closed, streaming, attempts, ran };
        self.requests.insert(id, open);
        // Seen past the limit: refused without a call until there is room; others can only have used more.
        let c = &self.customers[&customer];
        let plan = &self.settings.plans[plan_no].clone();
        // Attempts-out caps: own attempts are counted, the others' reckoned from their use and time in hand.
        let theirs = c.others / self.units.max(0.1) * self.usual[class].0 / 1000.0;
        let out = f64::from(c.out + c.calls) + theirs.round();
        let capped = plan.max_in_flight > 0 && out >= f64::from(plan.max_in_flight);
        if capped || plan.rate > 0.0 && c.store.min(plan.burst) - c.waiting < units {
            // A look at the count now and then keeps the view fresh while the counter is well.
            let look = now - c.called > LOOK_MS && self.settings.counter.is_some() && plan.rate > 0.0;
            if look && self.may_call(now, true) {
                self.charge(now, customer, plan_no, 0.0, id, actions);
            }
            return self.beyond(now, id, actions);
        }
        let early = Some(self.settings.rules.early_refusal_share)
            .filter(|early| *early > 0.0)
            .unwrap_or(EARLY_OF_AIM);
        if self.expected(now, id) > early * aim.max(0.0) {
            self.flow_of(pool).crowded_at = now;
            self.told.crowded += 1;
            return self.finish(id, self.usual[class].0, Reason::Room, actions);
        }
        if self.settings.counter.is_none() || plan.rate <= 0.0 {
            return self.grant(now, id, actions);
        }
        let trusted = self.counter.trusted();
        // Where more come than the counter bears, plans that lose by what goes unchecked are asked for first.
        let called = self.may_call(now, self.settings.limits.peers || plan.excess_worth > plan.excess_cost);
        let c = self.customers.get_mut(&customer).expect("just entered");
        // A silent or crowded counter is still tried, by fewer calls; what else comes rides on the next.
        let home = home(customer, self.settings.gateways);
        if !called && self.settings.limits.peers && home != self.settings.position {
            c.waiting += units;
            let open = self.requests.get_mut(&id).expect("just entered");
            (open.held, open.asked) = (true, true);
            let ask = Message::Ask { id, customer, plan: plan_no as u8, units: units as f32 };
            actions.push(Action::SendMessage { to: home, body: ask.encode() });
            return actions.push(Action::Timer { token: TOKEN_WAIT | id, after_ms: aim * ASK_OF_AIM });
        }
        if !called {
            c.owe(now, units, plan);
            return self.grant(now, id, actions);
        }
        self.charge(now, customer, plan_no, units, id, actions);
        if trusted {
            self.customers.get_mut(&customer).expect("just entered").waiting += units;
            self.requests.get_mut(&id).expect("just entered").held = true;
            actions.push(Action::Timer { token: TOKEN_WAIT | id, after_ms: self.counter_wait(aim) });
        } else {
            self.grant(now, id, actions);
        }
    }

    /// Beyond the quota: refused at once, unless the plan earns more than it costs and the fleet has room.
    pub(super) fn beyond(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let others = (1.0 - UNSURE.1 / self.gateways(now)).max(0.0);
        let Some(pool) = self.requests.get(&id).map(|open| open.request.pool) else { return };
        let expected = self.expected(now, id);
        let flow = self.flow_of(pool);
        let (expected, crowded_at) =
            (expected * (1.0 + UNSURE.0 * others * (1.0 - flow.tells())), flow.crowded_at);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let plan = &self.settings.plans[open.request.plan as usize];
        let aim = self.settings.classes[open.request.class as usize].target_ms;
        // Never while those inside their quotas find no room: they come first.
        let room = expected < ROOM_OF_AIM * aim && now - crowded_at > CROWDED_MS;
        if plan.excess_worth > plan.excess_cost && room {
            open.inside = false;
            return self.send(now, id, actions);
        }
        self.told.beyond += 1;
        let c = &self.customers[&open.request.customer];
        let short = open.request.units.min(plan.burst) - c.store;
        let wait = if plan.rate > 0.0 { (short / plan.rate * 500.0).max(0.0) } else { aim };
        self.finish(id, wait, Reason::Quota, actions);
    }

    /// Expected time of a request admitted now: work in hand over the rate of answers. It rises at once with
    /// what is let in, whatever slows the fleet: other gateways, neighbours, costly requests.
    pub(super) fn expected(&mut self, now: Millis, id: RequestId) -> f64 {
        let Some(open) = self.requests.get(&id) else { return f64::INFINITY };
        let pool = open.request.pool;
        let usual = self.usual[open.request.class as usize].0;
        let aim = self.settings.classes[open.request.class as usize].target_ms;
        self.flow(now, pool, 0.0, 0.0);
        if self.ready(pool).next().is_none() {
            return f64::INFINITY;
        }
        // A few hung attempts must not lock the gateway: its part of the least work is always let in.
        let ready = self.ready(pool).count() as f64;
        let (gateways, started) = (self.gateways(now), self.started);
        let flow = self.flow_of(pool);
        if flow.out < (ready * ALWAYS / gateways).max(1.0) {
            return 0.0;
        }
        // The averages began at nought: what they hold as yet stands for all of it.
        let known = 1.0 - (-(now - started).max(1.0) / FLOW_MS).exp();
        let mean = flow.out_mean / known;
        // With few out their number swings by chance: what may be that tells of no queue.
        let sure = flow.out - CHANCE * mean.sqrt();
        let out = flow.out.min(sure.clamp(mean, mean * 2.0));
        let wait = out / (flow.served / known) * 1000.0;
        let wait = Some(wait).filter(|wait| wait.is_finite()).unwrap_or(usual);
        // Few answers tell chance, and one that hangs would tell most: there each counts by its share of the
        // aim, the whole of it at most.
        let tells = flow.tells();
        wait * tells + LATE_TIMES * flow.late * aim * (1.0 - tells)
    }

    /// The requests for a service.
    pub(super) fn flow_of(&mut self, pool: u32) -> &mut Flow {
        let (pool, now) = (pool as usize, self.started);
        while self.flows.len() <= pool {
            self.flows.push(Flow::new(&self.settings.rules, now));
        }
        &mut self.flows[pool]
    }

    /// Keeps the averages of attempts out and answers a second.
    pub(super) fn flow(&mut self, now: Millis, pool: u32, out: f64, served: f64) {
        let flow = self.flow_of(pool);
        let keep = (-(now - flow.at).max(0.0) / FLOW_MS).exp();
        flow.out_mean = flow.out_mean * keep + flow.out * (1.0 - keep);
        flow.served = flow.served * keep + served * 1000.0 / FLOW_MS;
        flow.at = now;
        flow.out += out;
    }
}

impl Flow {
    pub(super) fn new(rules: &Rules, now: Millis) -> Self {
        let (out, out_mean, served, late, at) = (0.0, 0.0, 0.0, USUAL_OF_AIM, now);
        let (crowded_at, rate, rate_at) = (f64::NEG_INFINITY, 0.0, now);
        let retries = rules.retry_budget.map_or(RETRY_MOST, |further| further.burst);
        Flow { out, out_mean, served, late, at, crowded_at, retries, rate, rate_at }
    }

    /// How much the averages over answers tell, from nought to one: with few they tell chance.
    fn tells(&self) -> f64 {
        let tells = (self.served * FLOW_MS / 1000.0 / FLOW_TELLS).powi(2);
        tells / (1.0 + tells)
    }
}
