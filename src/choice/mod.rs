//! The decisions of the gateway. Its settings, events and actions are in `src/interface.rs`.
//! A request's estimated units are charged to the customer's shared count before it is sent; over the quota
//! it is refused. The next charge corrects the estimate. If the counter fails, requests are not checked.

use crate::interface::*;
use crate::state::*;
use crate::subset::subset_rank;
use crate::summary::Summary;
use std::collections::{BTreeMap, BTreeSet};
use tuning::*;

mod admission;
mod attempts;
mod cold;
mod counting;
mod health;
mod list;
mod pick;
mod tuning;

/// The decisions of one gateway.
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    started_at: Millis,
    timer_started: bool,
    backends: BTreeMap<BackendId, Backend>,
    customers: BTreeMap<CustomerId, Customer>,
    requests: BTreeMap<RequestId, OpenRequest>,
    counter: counting::CounterClient,
    pools: BTreeMap<u32, PoolLoad>,
    mean_units: f64,
    classes: Vec<ClassLatency>,
    list_retry_at: Option<Millis>,
    membership: Option<Membership>,
    summary: Summary,
}

impl Gateway {
    /// A gateway that starts now and knows only its settings.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let initial = |c: &Class| ClassLatency { mean_ms: c.target_ms * INITIAL_LATENCY_SHARE, samples: 0.0 };
        Gateway {
            rng: fastrand::Rng::with_seed(seed),
            started_at: now,
            timer_started: false,
            backends: BTreeMap::new(),
            customers: BTreeMap::new(),
            requests: BTreeMap::new(),
            counter: counting::CounterClient::new(settings.gateways, now),
            pools: BTreeMap::new(),
            mean_units: 1.0,
            classes: settings.classes.iter().map(initial).collect(),
            list_retry_at: None,
            membership: None,
            summary: Summary::default(),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if !self.timer_started {
            self.timer_started = true;
            actions.push(Action::Timer { token: TOKEN_TICK, after_ms: TICK_MS });
            if self.settings.list_polled {
                actions.push(Action::Watch);
            }
        }
        match event {
            Event::List { full, entries } => self.update_list(now, full, entries),
            Event::Settings(settings) => self.update_settings(settings),
            Event::ListFailed => self.list_retry_at = Some(now + EJECTION_MS * (1.0 + self.rng.f64())),
            Event::Request(request) => self.handle_request(now, request, actions),
            Event::BodySent { id, attempt } => self.handle_body_sent(now, id, attempt),
            Event::ResponseStarted { id, attempt } => self.handle_response_start(now, id, attempt),
            Event::Outcome(outcome) => self.handle_outcome(now, outcome, actions),
            Event::ClientGone { id } => self.close(id, actions),
            Event::Timer { token } => match token & !TOKEN_ID_MASK {
                TOKEN_WAIT => drop(self.decide_waiting(now, token & TOKEN_ID_MASK, actions)),
                _ => self.tick(now, actions),
            },
            Event::Gateways { present, majority } => {
                let present = if majority { present.max(1) } else { self.settings.gateways.max(1) };
                let (present, previous) = (f64::from(present), self.gateway_count(now));
                self.membership = Some(Membership { present, previous, reported_at: now });
            }
            Event::Message { from, body } => self.handle_message(now, from, &body, actions),
            Event::Probed { .. } => {}
            Event::Counted { key, result, total, took_ms } => {
                self.handle_counted(now, key, result, total, took_ms, actions)
            }
        }
    }

    /// Keeps the state; a new or changed class starts with the average latency of the classes with samples.
    fn update_settings(&mut self, settings: Settings) {
        let sampled = self.classes.iter().filter(|class| class.samples > 0.0);
        let (sum, count) = sampled.fold((0.0, 0.0), |(sum, n), class| (sum + class.mean_ms, n + 1.0));
        let former = std::mem::replace(&mut self.settings, settings);
        let (gateways, position) = (self.settings.gateways, self.settings.position);
        for backend in self.backends.values_mut() {
            backend.subset_rank = subset_rank(backend.listed.id, gateways, position);
        }
        for (index, class) in self.settings.classes.iter().enumerate() {
            let mean_ms = if count > 0.0 { sum / count } else { class.target_ms * INITIAL_LATENCY_SHARE };
            let initial = ClassLatency { mean_ms, samples: 0.0 };
            match self.classes.get_mut(index) {
                Some(latency) if former.classes.get(index) != Some(class) => *latency = initial,
                Some(_) => {}
                None => self.classes.push(initial),
            }
        }
    }

    /// The number of gateways assumed to share the load: as configured, or as reported; it falls gradually.
    fn gateway_count(&self, now: Millis) -> f64 {
        let Some(membership) = &self.membership else { return f64::from(self.settings.gateways.max(1)) };
        let keep = (-(now - membership.reported_at).max(0.0) / GATEWAY_DECREASE_MS).exp();
        membership.present + (membership.previous - membership.present).max(0.0) * keep
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { token: TOKEN_TICK, after_ms: TICK_MS });
        if self.list_retry_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Watch);
        }
        let ejected = || self.backends.values().filter(|b| now < b.ejected_until).count();
        actions.extend(self.summary.tick(ejected, self.counter.calls_per_s));
        let limited = self.settings.plans.iter().filter(|p| p.ceiling_rate > 0.0);
        let refill_ms = limited.map(|p| p.ceiling_burst / p.ceiling_rate * 1000.0);
        let expiry_ms = refill_ms.fold(IDLE_EXPIRY_MS, f64::max);
        let listed: BTreeSet<u32> = self.backends.values().map(|backend| backend.listed.pool).collect();
        self.pools.retain(|pool, load| {
            load.in_flight > 0.0 || listed.contains(pool) || now - load.requests_at < IDLE_EXPIRY_MS
        });
        self.customers.retain(|_, c| {
            let busy = c.counter_calls > 0 || c.attempts_in_flight > 0 || c.waiting_units > 0.0;
            busy || now - c.last_used_at < expiry_ms
        });
    }
}
