//! Roll-outs of good and bad versions in virtual time: the real controller, evidence and replicated progress, and a
//! model of gateways that send requests by their copy of the progress and report what they see with a delay.

use oakfall_system::protocol::{Change, ChangeKind};
use oakfall_system::rollout::controller::{Controller, GatewayView, ServiceView};
use oakfall_system::rollout::evidence::{latency_bucket, LATENCY_BUCKETS};
use oakfall_system::rollout::messages::{Counts, Phase, RolloutOrder, RouteCounts, VersionCounts};
use oakfall_system::rollout::schedule::Schedule;
use oakfall_system::rollout::Rollout;
use oakfall_system::state::State;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const TERM_MS: f64 = 16_000.0;
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: u64 = 50;
const REQUESTS_PER_MS: f64 = 0.7;
const REPORT_INTERVAL_MS: f64 = 400.0;
const DECISION_INTERVAL_MS: f64 = 200.0;
/// One way between a gateway and the leader.
const DELAY_MS: f64 = 60.0;
const ROUTES: u64 = 3;
const USUAL_LATENCY_MS: f64 = 150.0;
/// Backends of the new version report to the core after this time.
const START_MS: f64 = 300.0;

/// How a version behaves.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Good,
    /// This share of its answers are errors.
    Errors(f64),
    /// Half of its answers take this many times as long.
    Slow(f64),
    /// Half of its answers are errors while its backends bear a usual load.
    UnderLoad,
    /// Half of its answers on one of the routes are errors.
    OneRoute,
    /// Half of its answers are errors from this time on.
    Late(f64),
}

#[derive(Default)]
struct Gateway {
    /// Its copy of the roll-out, and when it gets the next one.
    seen: Option<Rollout>,
    reports: Vec<RouteCounts>,
    old_in_flight: u32,
    new_in_flight: u32,
}

/// A response that is on its way: when it arrives, at which gateway, on which route, of which version, whether it is an
/// error, and its latency.
type Response = (u64, usize, u64, bool, bool, u64);

struct Outcome {
    phase: Phase,
    reason: String,
    ended_at: f64,
    exposed: u64,
    requests: u64,
}

struct Fleet {
    rng: fastrand::Rng,
    state: State,
    controller: Controller,
    gateways: Vec<Gateway>,
    responses: BinaryHeap<Reverse<Response>>,
    /// Progress and reports under way: the time of arrival, the gateway, and what arrives.
    progress: Vec<(f64, usize, Rollout)>,
    reports: Vec<(f64, usize, u64, VersionCounts)>,
    /// For each gateway the latest contact and the index that it had applied.
    contacts: Vec<(f64, u64)>,
    now: f64,
    next_index: u64,
    exposed: u64,
    requests: u64,
    /// Each report arrives twice, and some never.
    unreliable: bool,
}

impl Fleet {
    fn new(seed: u64, gateways: usize) -> Self {
        let mut state = State::default();
        let order = RolloutOrder {
            service: "s".into(),
            to_edition: "v2".into(),
            from_editions: vec!["v1".into()],
            term_ms: TERM_MS as u64,
            canary_share_ppm: Schedule::new(TERM_MS, EXPOSE_SHARE).canary_share_ppm(),
        };
        state.apply(0.0, 1, Some(&Change { kind: Some(ChangeKind::Rollout(order)), ..Change::default() }));
        let mut fleet = Fleet {
            rng: fastrand::Rng::with_seed(seed),
            state,
            controller: Controller::new(EXPOSE_SHARE),
            gateways: (0..gateways).map(|_| Gateway::default()).collect(),
            responses: BinaryHeap::new(),
            progress: Vec::new(),
            reports: Vec::new(),
            contacts: vec![(0.0, 0); gateways],
            now: 0.0,
            next_index: 2,
            exposed: 0,
            requests: 0,
            unreliable: false,
        };
        fleet.push_progress();
        fleet
    }

    fn rollout(&self) -> &Rollout {
        &self.state.versions.rollouts["s"]
    }

    fn push_progress(&mut self) {
        for gateway in 0..self.gateways.len() {
            let arrives_at = self.now + DELAY_MS * (0.2 + self.rng.f64());
            self.progress.push((arrives_at, gateway, self.rollout().clone()));
        }
    }

    fn poisson(&mut self, mean: f64) -> u32 {
        let (limit, mut product, mut count) = ((-mean).exp(), self.rng.f64(), 0);
        while product > limit {
            product *= self.rng.f64();
            count += 1;
        }
        count
    }

    /// Sends a request from a gateway by its copy of the progress.
    fn send(&mut self, number: usize, behaviour: Behaviour) {
        let route = self.rng.u64(0..ROUTES);
        let (share, phase) =
            self.gateways[number].seen.as_ref().map_or((0.0, Phase::None), |seen| (seen.share(), seen.phase));
        let is_open = self.now >= START_MS && matches!(phase, Phase::Canary | Phase::Shifting);
        let is_new = match phase {
            Phase::OldClosed | Phase::Delivered => true,
            _ => is_open && self.rng.f64() < share,
        };
        self.requests += 1;
        self.exposed += u64::from(is_new);
        let mut latency = USUAL_LATENCY_MS * (0.5 + -(1.0 - self.rng.f64()).ln());
        let half = self.rng.bool();
        let mut fails = self.rng.f64() < 0.005;
        if is_new {
            match behaviour {
                Behaviour::Good => {}
                Behaviour::Errors(share) => fails |= self.rng.f64() < share,
                Behaviour::Slow(times) if half => latency *= times,
                Behaviour::Slow(_) => {}
                Behaviour::UnderLoad => fails |= half && phase != Phase::Canary,
                Behaviour::OneRoute => fails |= half && route == 1,
                Behaviour::Late(from) => fails |= half && self.now >= from,
            }
        }
        let gateway = &mut self.gateways[number];
        *(if is_new { &mut gateway.new_in_flight } else { &mut gateway.old_in_flight }) += 1;
        let arrives_at = (self.now + latency) as u64;
        self.responses.push(Reverse((arrives_at, number, route, is_new, fails, latency as u64)));
    }

    fn receive(&mut self) {
        while let Some(Reverse((at, number, route, is_new, fails, latency))) = self.responses.peek().copied()
        {
            if at as f64 > self.now {
                return;
            }
            self.responses.pop();
            let gateway = &mut self.gateways[number];
            *(if is_new { &mut gateway.new_in_flight } else { &mut gateway.old_in_flight }) -= 1;
            let position = gateway.reports.iter().position(|counts| counts.route == route);
            let position = position.unwrap_or_else(|| {
                gateway.reports.push(RouteCounts { route, ..RouteCounts::default() });
                gateway.reports.len() - 1
            });
            let counts = &mut gateway.reports[position];
            let counts = if is_new { &mut counts.new } else { &mut counts.old };
            let counts: &mut Counts = counts.get_or_insert_default();
            counts.sent += 1;
            if fails {
                counts.failed += 1;
            } else {
                counts.succeeded += 1;
                counts.latencies.resize(LATENCY_BUCKETS, 0);
                counts.latencies[latency_bucket(latency as f64)] += 1;
            }
        }
    }

    fn report(&mut self, number: usize) {
        let gateway = &self.gateways[number];
        let Some(seen) = &gateway.seen else { return };
        let counts = VersionCounts {
            service: "s".into(),
            generation: seen.generation,
            incarnation: number as u64,
            routes: gateway.reports.clone(),
            old_in_flight: gateway.old_in_flight,
            new_in_flight: gateway.new_in_flight,
        };
        let arrives_at = self.now + DELAY_MS;
        let copies = if self.unreliable { self.rng.usize(0..3) } else { 1 };
        for copy in 0..copies {
            self.reports.push((arrives_at + 100.0 * copy as f64, number, seen.step, counts.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (_, number, rollout) in self.progress.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>() {
            let seen = &mut self.gateways[number].seen;
            if seen.as_ref().is_none_or(|seen| seen.step < rollout.step) {
                *seen = Some(rollout);
            }
        }
        for (_, number, step, counts) in
            self.reports.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>()
        {
            if step >= self.contacts[number].1 {
                self.contacts[number] = (now, step);
                self.controller.record(now, &self.state.versions, &number.to_string(), counts);
            }
        }
    }

    fn decide(&mut self) {
        let rollout = self.rollout().clone();
        if rollout.phase.is_final() {
            return;
        }
        let names: Vec<_> = (0..self.gateways.len()).map(|number| number.to_string()).collect();
        let gateways: Vec<_> = names
            .iter()
            .zip(&self.contacts)
            .map(|(node, (at, step))| GatewayView {
                node,
                contact_age_ms: self.now - at,
                applied_index: *step,
            })
            .collect();
        let new_capacity = if self.now >= START_MS { 100 } else { 0 };
        let service = ServiceView { is_configured: true, old_capacity: 100, new_capacity };
        let Some(step) = self.controller.next_step(self.now, &rollout, &service, &gateways) else { return };
        if step.phase() == Phase::Delivered {
            let in_flight: u32 = self.gateways.iter().map(|gateway| gateway.old_in_flight).sum();
            assert_eq!(in_flight, 0, "delivered with requests in flight at the old version");
            let uses_old =
                |gateway: &Gateway| gateway.seen.as_ref().is_none_or(|seen| seen.phase != Phase::OldClosed);
            assert!(
                !self.gateways.iter().any(uses_old),
                "delivered before a gateway has closed the old version"
            );
        }
        let change = Change { kind: Some(ChangeKind::RolloutStep(step)), ..Change::default() };
        self.state.apply(self.now, self.next_index, Some(&change));
        self.next_index += 1;
        self.push_progress();
    }

    /// Plays a roll-out to its term and two seconds more. `leader_lost_at` replaces the controller then.
    fn play(mut self, behaviour: Behaviour, leader_lost_at: f64) -> Outcome {
        let mut ended_at = f64::INFINITY;
        let step_ms = 10.0;
        let mean = REQUESTS_PER_MS * step_ms / self.gateways.len() as f64;
        for tick in 0..((TERM_MS + 2_000.0) / step_ms) as u64 {
            self.now = tick as f64 * step_ms;
            self.deliver();
            self.receive();
            for number in 0..self.gateways.len() {
                for _ in 0..self.poisson(mean) {
                    if self.now < TERM_MS {
                        self.send(number, behaviour);
                    }
                }
                let phase = number as f64 * REPORT_INTERVAL_MS / self.gateways.len() as f64;
                if (self.now - phase).rem_euclid(REPORT_INTERVAL_MS) < step_ms {
                    self.report(number);
                }
            }
            if (leader_lost_at..leader_lost_at + step_ms).contains(&self.now) {
                self.controller = Controller::new(EXPOSE_SHARE);
                self.contacts.fill((self.now, 0));
            }
            let has_leader = !(leader_lost_at..leader_lost_at + 1_500.0).contains(&self.now);
            if has_leader && self.now.rem_euclid(DECISION_INTERVAL_MS) < step_ms {
                self.decide();
            }
            if self.rollout().phase.is_final() && ended_at.is_infinite() {
                ended_at = self.now;
            }
        }
        let Rollout { phase, reason, .. } = self.rollout().clone();
        Outcome { phase, reason, ended_at, exposed: self.exposed, requests: self.requests }
    }
}

fn history_count() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(6)
}

/// Plays a behaviour with several seeds at 3 and 90 gateways, and counts the expected ends.
fn count_ends(behaviour: Behaviour, expected: Phase, leader_lost_at: f64) -> (u64, u64) {
    let (mut as_expected, mut played) = (0, 0);
    let (mut most_exposed, mut latest) = (0.0f64, 0.0f64);
    for seed in 0..history_count() {
        for gateways in [3, 90] {
            let mut fleet = Fleet::new(seed, gateways);
            fleet.unreliable = seed % 3 == 1;
            let outcome = fleet.play(behaviour, leader_lost_at);
            let budget = EXPOSE_SHARE * outcome.requests as f64 + EXPOSE_SLACK as f64;
            if expected == Phase::Returned {
                assert!(outcome.exposed as f64 <= budget, "seed {seed}, {behaviour:?}: {}", outcome.exposed);
                most_exposed = most_exposed.max(outcome.exposed as f64 / budget);
            }
            played += 1;
            if outcome.phase == expected && outcome.ended_at <= TERM_MS {
                as_expected += 1;
                latest = latest.max(outcome.ended_at);
            } else {
                println!("seed {seed}, {gateways} gateways: {:?}: {}", outcome.phase, outcome.reason);
            }
        }
    }
    println!(
        "{behaviour:?}, leader lost at {leader_lost_at}: {as_expected} of {played} {expected:?}, the latest at \
         {latest:.0} ms, at most {most_exposed:.2} of the budget"
    );
    (as_expected, played)
}

const NEVER: f64 = f64::INFINITY;

#[test]
fn bad_versions_return_within_the_budget() {
    let kinds = [
        Behaviour::Errors(0.6),
        Behaviour::Errors(0.2),
        Behaviour::Slow(8.0),
        Behaviour::Slow(4.0),
        Behaviour::UnderLoad,
        Behaviour::OneRoute,
        Behaviour::Late(3_300.0),
        Behaviour::Late(8_000.0),
    ];
    for behaviour in kinds {
        let (returned, played) = count_ends(behaviour, Phase::Returned, NEVER);
        assert_eq!(returned, played, "{behaviour:?}");
    }
}

#[test]
fn good_versions_are_delivered_by_their_term() {
    let (delivered, played) = count_ends(Behaviour::Good, Phase::Delivered, NEVER);
    assert_eq!(delivered, played);
}

#[test]
fn a_lost_leader_costs_neither_the_budget_nor_the_verdict() {
    for leader_lost_at in [500.0, 3_000.0, 6_000.0] {
        let (returned, played) = count_ends(Behaviour::Errors(0.4), Phase::Returned, leader_lost_at);
        assert_eq!(returned, played, "a bad version, leader lost at {leader_lost_at}");
        let (delivered, played) = count_ends(Behaviour::Good, Phase::Delivered, leader_lost_at);
        assert_eq!(delivered, played, "a good version, leader lost at {leader_lost_at}");
    }
}
