//! Helpers that drive the decision module through its public interface.
#![allow(dead_code, missing_docs)]

use oakfall::*;

/// A gateway's decision module and its clock.
pub struct Rig {
    pub gateway: Gateway,
    pub now: f64,
}

pub fn settings() -> Settings {
    let class = |idempotency| Class {
        target_ms: 500.0,
        deadline_ms: 2000.0,
        worth: 1.0,
        idempotency,
        ..Class::default()
    };
    let keyed = Idempotency::Keyed { scope: DedupScope::Zone, window_ms: 1500.0 };
    Settings {
        gateways: 2,
        tick_ms: 1.0,
        classes: vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NonIdempotent)],
        plans: vec![Plan { rate: 2.0, burst: 10.0, worth_factor: 1.0, excess_cost: 1.0, ..Plan::default() }],
        counter: Some(Counter { timeout_ms: 80.0, call_cost: 0.01 }),
        max_units: 4.0,
        units_are_estimates: true,
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            retry_after: true,
            max_retry_after_ms: 2000.0,
            ..Limits::default()
        },
        rules: Rules {
            deadline_grace_ms: 8.0,
            cold_capacity: 0.25,
            warm_up_ms: 10_000.0,
            drain_grace_ms: 1000.0,
            overload_multiple: 3.0,
            overload_ms: 1000.0,
            max_poll_interval_ms: 10_000.0,
            early_refusal_share: 0.0,
            retry_budget: None,
        },
        ..Settings::default()
    }
}

pub fn backend_entry(id: u32, zone: u32, state: BackendState) -> BackendEntry {
    BackendEntry {
        id,
        zone,
        kind: 0,
        cell: 0,
        state,
        size: 1.0,
        started: 0.0,
        pool: 0,
        distance_cost: 0.0,
        cold_until: 0.0,
        cold_per_s: 0.0,
        limited_until: 0.0,
        limit: 0,
    }
}

impl Rig {
    /// A gateway with three backends: 1 and 2 in zone 0, 3 in zone 1.
    pub fn new(settings: Settings) -> Rig {
        let mut rig = Rig { gateway: Gateway::new(settings, 1, 1000.0), now: 1000.0 };
        let entries =
            [(1, 0), (2, 0), (3, 1)].map(|(id, zone)| backend_entry(id, zone, BackendState::Ready)).to_vec();
        rig.event(Event::List { full: true, entries });
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    pub fn request(&mut self, id: u64, class: u32, units: f64) -> Vec<Action> {
        self.event(Event::Request(Request {
            id,
            customer: 7,
            plan: 0,
            class,
            units,
            budget_ms: 2000.0,
            customer_gateways: 2.0,
            is_retry: false,
            body_streams: false,
            pool: 0,
            canary_pool: None,
            zone_mask: u64::MAX,
        }))
    }

    pub fn counted(&mut self, key: u64, result: CallResult, total: f64) -> Vec<Action> {
        self.event(Event::Counted { key, result, total, took_ms: 2.0 })
    }

    pub fn outcome(
        &mut self, id: u64, attempt: u8, backend: u32, result: CallResult, units: Option<f64>,
    ) -> Vec<Action> {
        self.outcome_after(50.0, id, attempt, backend, result, units)
    }

    pub fn outcome_after(
        &mut self, took_ms: f64, id: u64, attempt: u8, backend: u32, result: CallResult, units: Option<f64>,
    ) -> Vec<Action> {
        let (is_final, load) = (result == CallResult::Ok, Load::default());
        self.event(Event::Outcome(Outcome { id, attempt, backend, result, is_final, units, took_ms, load }))
    }
}

/// The key and amount of the first counter call.
pub fn count(actions: &[Action]) -> Option<(u64, f64)> {
    actions.iter().find_map(|action| match action {
        Action::Count { key, amount, .. } => Some((*key, *amount)),
        _ => None,
    })
}

/// The backend that the first attempt is sent to.
pub fn sent(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    })
}

/// The retry delay of a refusal, in ms.
pub fn refused(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { retry_after_ms, .. } => Some(*retry_after_ms),
        _ => None,
    })
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// A request of one unit.
pub fn request(id: u64, customer: u64) -> Request {
    Request {
        id,
        customer,
        plan: 0,
        class: 0,
        units: 1.0,
        budget_ms: 2000.0,
        customer_gateways: 2.0,
        is_retry: false,
        body_streams: false,
        pool: 0,
        canary_pool: None,
        zone_mask: u64::MAX,
    }
}

/// A counter shared by gateways: totals by key.
#[derive(Default)]
pub struct SharedCounter(std::collections::BTreeMap<u64, f64>);

impl SharedCounter {
    /// Answers the calls among the actions, and those that result from the answers. Returns all actions.
    pub fn answer(&mut self, rig: &mut Rig, mut actions: Vec<Action>) -> Vec<Action> {
        let mut index = 0;
        while index < actions.len() {
            if let Action::Count { key, amount, .. } = actions[index] {
                let total = self.0.entry(key).or_default();
                *total += amount;
                actions.extend(rig.counted(key, CallResult::Ok, *total));
            }
            index += 1;
        }
        actions
    }
}
