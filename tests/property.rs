//! Invariants of the decision module hold for random valid event sequences with fixed seeds.

mod common;
use common::settings;
use oakfall::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

struct AttemptState {
    backend: u32,
    sent_at: f64,
    deadline: f64,
    in_flight: bool,
    executed: bool,
}

struct RequestState {
    class: usize,
    deadline: f64,
    answered: bool,
    attempts: Vec<AttemptState>,
}

struct Simulation {
    gateway: Gateway,
    settings: Settings,
    now: f64,
    requests: BTreeMap<u64, RequestState>,
    states: BTreeMap<u32, BackendState>,
    counts: Vec<(u64, f64)>,
    timers: Vec<(f64, u64)>,
    /// Hash of all actions.
    digest: DefaultHasher,
}

/// How membership reports the number of gateways.
#[derive(Clone, Copy)]
enum Reporting {
    /// Not at all.
    Absent,
    /// Sometimes, as configured.
    Configured,
    /// Sometimes, any number.
    Arbitrary,
}

impl Simulation {
    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        if !actions.is_empty() {
            format!("{actions:?}").hash(&mut self.digest);
        }
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { id, backend, timeout_ms } => {
                assert_eq!(
                    self.states.get(&backend),
                    Some(&BackendState::Ready),
                    "sent to a backend not ready"
                );
                let request = self.requests.get_mut(&id).expect("known request");
                assert!(!request.answered, "sent after the final answer");
                assert!(timeout_ms > 0.0 && self.now + timeout_ms <= request.deadline + 1e-6);
                assert!((request.attempts.len() as u32) < self.settings.limits.max_attempts);
                let copies = self.settings.limits.hedging;
                assert!(
                    copies || request.attempts.iter().all(|a| !a.in_flight),
                    "two attempts in flight at once"
                );
                let earlier: Vec<_> = request.attempts.iter().filter(|a| a.executed || a.in_flight).collect();
                match self.settings.classes[request.class].idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::NonIdempotent => {
                        assert!(earlier.is_empty(), "unsafe request may execute twice")
                    }
                    Idempotency::Keyed { window_ms, .. } => {
                        for a in earlier {
                            assert_eq!(a.backend % 2, backend % 2, "keyed request retried outside its zone");
                            assert!(
                                self.now - a.sent_at < window_ms,
                                "keyed request retried outside its window"
                            );
                        }
                    }
                }
                let deadline = self.now + timeout_ms;
                request.attempts.push(AttemptState {
                    backend,
                    sent_at: self.now,
                    deadline,
                    in_flight: true,
                    executed: false,
                });
            }
            Action::Refuse { id, .. } => {
                let request = self.requests.get_mut(&id).expect("known request");
                assert!(!std::mem::replace(&mut request.answered, true), "answered twice");
                let safe = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
                assert!(
                    safe || request.attempts.iter().all(|a| !a.in_flight && !a.executed),
                    "refused a request that may have executed"
                );
            }
            Action::Fail { id } => {
                let request = self.requests.get_mut(&id).expect("known request");
                assert!(!std::mem::replace(&mut request.answered, true), "answered twice");
            }
            Action::Count { key, amount, .. } => self.counts.push((key, amount)),
            Action::Timer { token, after_ms } => self.timers.push((self.now + after_ms, token)),
            Action::Cancel { id, attempt } => assert!((attempt as usize) < self.requests[&id].attempts.len()),
            _ => {}
        }
    }

    fn outcome(&mut self, id: u64, attempt: usize, result: CallResult) {
        let request = self.requests.get_mut(&id).unwrap();
        let state = &mut request.attempts[attempt];
        (state.in_flight, state.executed) = (false, !result.never_ran());
        let (backend, took_ms) = (state.backend, self.now - state.sent_at);
        request.answered |= result == CallResult::Ok;
        let (ended, units, load) = (request.answered, Some(2.0), Load::default());
        let attempt = attempt as u8;
        self.event(Event::Outcome(Outcome {
            id,
            attempt,
            backend,
            result,
            is_final: ended,
            units,
            took_ms,
            load,
        }));
    }

    /// Advances the clock: fires timers and attempt timeouts.
    fn advance(&mut self, ms: f64) {
        self.now += ms;
        let now = self.now;
        let (due, later) = self.timers.drain(..).partition(|(at, _)| *at <= now);
        self.timers = later;
        let due: Vec<(f64, u64)> = due;
        for (_, token) in due {
            self.event(Event::Timer { token });
        }
        let ids: Vec<_> = self.requests.keys().copied().collect();
        for id in ids {
            for attempt in 0..self.requests[&id].attempts.len() {
                let state = &self.requests[&id].attempts[attempt];
                if state.in_flight && state.deadline <= now {
                    self.outcome(id, attempt, CallResult::Timeout);
                }
            }
            let request = &self.requests[&id];
            assert!(request.answered || now <= request.deadline + 8.0, "request {id} is overdue");
        }
        let ended =
            |request: &RequestState| request.answered && request.attempts.iter().all(|a| !a.in_flight);
        self.requests.retain(|_, request| !ended(request));
    }
}

/// Runs one random sequence and returns the hash of all actions.
fn run(seed: u64, second_copies: bool, reporting: Reporting) -> u64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    // A separate generator, so that the other events do not depend on the reports.
    let mut report_rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings();
    settings.limits.hedging = second_copies;
    settings.plans[0].max_in_flight = 8;
    settings.limits.peers = true;
    let mut sim = Simulation {
        gateway: Gateway::new(settings.clone(), seed, 0.0),
        settings,
        now: 0.0,
        requests: BTreeMap::new(),
        states: (1..=6).map(|id| (id, BackendState::Ready)).collect(),
        counts: Vec::new(),
        timers: Vec::new(),
        digest: DefaultHasher::new(),
    };
    let entry = |id: u32, state, started| BackendEntry {
        started,
        cell: id,
        ..common::backend_entry(id, id % 2, state)
    };
    sim.event(Event::List {
        full: true,
        entries: (1..=6).map(|id| entry(id, BackendState::Ready, 0.0)).collect(),
    });
    for id in 1..4000 {
        sim.advance(rng.f64() * 8.0);
        let any = [0, 1, 2, 300, u32::MAX][report_rng.usize(0..5)];
        match (report_rng.u8(0..9), reporting) {
            (0, Reporting::Configured) => {
                sim.event(Event::Gateways { present: sim.settings.gateways, majority: report_rng.bool() });
            }
            (0, Reporting::Arbitrary) => {
                sim.event(Event::Gateways { present: any, majority: report_rng.bool() })
            }
            _ => {}
        }
        let number = [-1.0, f64::NAN, f64::INFINITY, 1e300, 3.0][rng.usize(0..5)];
        match rng.u32(0..20) {
            0 => {
                let load = Load { queue_depth: Some(number), service_ms: Some(number), ..Load::default() };
                let result =
                    [CallResult::Ok, CallResult::Timeout, CallResult::ConnectFailed][rng.usize(0..3)];
                sim.event(Event::Probed { backend: rng.u32(0..9), result, took_ms: number, load });
            }
            1 => {
                let body = (0..rng.usize(0..30)).map(|_| rng.u8(0..3)).collect();
                sim.event(Event::Message { from: rng.u32(0..4), body });
            }
            2 => {
                let known = sim.requests.keys().next_back().copied().unwrap_or(0);
                let store = rng.f32() * 12.0 - 2.0;
                let body = [vec![1], known.to_le_bytes().to_vec(), store.to_le_bytes().to_vec()].concat();
                sim.event(Event::Message { from: rng.u32(0..4), body });
            }
            _ => {}
        }
        match rng.u32(0..10) {
            0..=3 => {
                let (class, budget_ms) = (rng.usize(0..3), 20.0 + rng.f64() * 2000.0);
                let deadline = sim.now + budget_ms;
                sim.requests
                    .insert(id, RequestState { class, deadline, answered: false, attempts: Vec::new() });
                sim.event(Event::Request(Request {
                    id,
                    customer: rng.u64(0..20),
                    plan: 0,
                    class: class as u32,
                    units: rng.f64() * 3.0,
                    budget_ms,
                    customer_gateways: 2.0,
                    is_retry: rng.bool(),
                    body_streams: false,
                    pool: 0,
                    canary_pool: None,
                    zone_mask: u64::MAX,
                }));
            }
            4..=7 => {
                let in_flight = sim.requests.iter().flat_map(|(id, request)| {
                    request.attempts.iter().enumerate().filter(|(_, a)| a.in_flight).map(|(n, _)| (*id, n))
                });
                let in_flight = in_flight.collect::<Vec<_>>();
                if !in_flight.is_empty() {
                    let (id, attempt) = in_flight[rng.usize(0..in_flight.len())];
                    let results = [
                        CallResult::Ok,
                        CallResult::Ok,
                        CallResult::Ok,
                        CallResult::Error,
                        CallResult::Rejected,
                        CallResult::ConnectFailed,
                        CallResult::Reset,
                        CallResult::Cancelled,
                    ];
                    sim.outcome(id, attempt, results[rng.usize(0..results.len())]);
                }
            }
            8 => {
                while let Some((key, amount)) = (!sim.counts.is_empty()).then(|| sim.counts.remove(0)) {
                    let result = [CallResult::Ok, CallResult::Ok, CallResult::Timeout, CallResult::Rejected]
                        [rng.usize(0..4)];
                    let total = amount + rng.f64() * 12.0;
                    sim.event(Event::Counted { key, result, total, took_ms: rng.f64() * 60.0 });
                }
            }
            _ => {
                let id = rng.u32(1..=6);
                let state =
                    [BackendState::Ready, BackendState::Ready, BackendState::Draining, BackendState::Gone]
                        [rng.usize(0..4)];
                let started = if rng.bool() { sim.now } else { 0.0 };
                sim.states.insert(id, state);
                sim.event(Event::List { full: false, entries: vec![entry(id, state, started)] });
            }
        }
    }
    for _ in 0..300 {
        sim.advance(10.0);
    }
    assert!(sim.requests.values().all(|a| a.answered), "every request is answered");
    sim.digest.finish()
}

#[test]
fn rules_hold_for_random_valid_events() {
    for seed in 0..30 {
        run(seed, seed % 2 == 0, Reporting::Absent);
    }
}

#[test]
fn rules_hold_for_any_membership_report_and_configured_counts_change_nothing() {
    for seed in 0..10 {
        let without_reports = run(seed, true, Reporting::Absent);
        assert_eq!(without_reports, run(seed, true, Reporting::Configured), "seed {seed}");
        run(seed, true, Reporting::Arbitrary);
    }
}
