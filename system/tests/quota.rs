//! Quota counting against a record of all requests sent: over all gateways and changes of leader, no span of
//! five seconds may hold more than the limit allows.

use oakfall_system::quota::{unused_share_fraction, Charge, Counter, Limit, QuotaClient, Verdict};
use std::collections::BTreeMap;

const TENANT: &str = "t";
/// Units allowed beyond the limit.
const SLACK: f64 = 20.0;

/// Requests allowed in any five seconds: the limit with a tolerance of 10 % and the slack.
fn allowed_in_five_seconds(limit: Limit) -> f64 {
    (limit.per_s * 5.0 + limit.burst) * 1.1 + 20.0
}

/// A gateway; `cut_off` is set while it can't reach the counter.
struct Gateway {
    quota_client: QuotaClient,
    cut_off: bool,
    last_contact: f64,
}

struct Simulation {
    rng: fastrand::Rng,
    limit: Limit,
    gateways: Vec<Gateway>,
    /// The current leader's counter, if there is a leader.
    counter: Option<Counter>,
    counter_started: f64,
    term: u64,
    sent: Vec<f64>,
}

impl Simulation {
    fn new(seed: u64, limit: Limit, gateways: usize) -> Self {
        let limits = BTreeMap::from([(TENANT.to_owned(), limit)]);
        let gateway = |_| {
            let mut quota_client = QuotaClient::new(SLACK);
            quota_client.set_gateways(gateways);
            quota_client.set_limits(0.0, &limits);
            Gateway { quota_client, cut_off: false, last_contact: 0.0 }
        };
        let gateways = (0..gateways).map(gateway).collect();
        let counter = Some(Counter::new(0.0, 1, SLACK));
        let (rng, sent) = (fastrand::Rng::with_seed(seed), Vec::new());
        Simulation { rng, limit, gateways, counter, counter_started: 0.0, term: 1, sent }
    }

    fn unused(&self, now: f64) -> f64 {
        let last_contacts =
            self.gateways.iter().map(|gateway| gateway.last_contact.max(self.counter_started));
        unused_share_fraction(last_contacts.map(|at| now - at))
    }

    /// A request arrives at a gateway.
    fn request(&mut self, now: f64, gateway: usize) {
        let unused = self.unused(now);
        let gateway = &mut self.gateways[gateway];
        let verdict = gateway.quota_client.admit(now, TENANT);
        let verdict = match verdict {
            Verdict::Charge(charge) | Verdict::PassAndCharge(charge) => {
                let waits = matches!(verdict, Verdict::Charge(_));
                let counter = self.counter.as_mut().filter(|_| !gateway.cut_off);
                match counter.map(|counter| counter.charge(now, TENANT, self.limit, charge, unused)) {
                    // Some totals arrive too late.
                    Some(total) if self.rng.f64() < 0.98 => {
                        gateway.quota_client.total_received(now, TENANT, charge, 0.0, total, waits)
                    }
                    _ => gateway.quota_client.charge_unanswered(now, TENANT, waits),
                }
            }
            verdict => verdict,
        };
        match verdict {
            Verdict::Pass => self.sent.push(now),
            Verdict::Refuse(after) => assert!((0.0..=60_000.0).contains(&after), "{after}"),
            Verdict::Charge(_) | Verdict::PassAndCharge(_) => unreachable!("the charge was answered"),
        }
    }

    /// Sends requests at `load` times the limit.
    fn run(&mut self, from: f64, until: f64, load: f64) {
        let mut now = from;
        while now < until {
            now += -self.rng.f64().max(1e-9).ln() * 1000.0 / (self.limit.per_s * load);
            for gateway in &mut self.gateways {
                if self.counter.is_some() && !gateway.cut_off {
                    gateway.last_contact = now;
                    gateway.quota_client.leader_contacted(now);
                }
            }
            let gateway = self.rng.usize(0..self.gateways.len());
            self.request(now, gateway);
        }
    }

    fn max_sent_in_five_seconds(&self) -> f64 {
        let mut first = 0;
        let mut max = 0;
        for last in 0..self.sent.len() {
            while self.sent[last] - self.sent[first] > 5000.0 {
                first += 1;
            }
            max = max.max(last + 1 - first);
        }
        max as f64
    }
}

#[test]
fn no_span_exceeds_the_limit_across_leaders_and_partitions() {
    bolero::check!().with_iterations(150).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let per_s = 10.0 + rng.f64() * 300.0;
        let limit = Limit { per_s, burst: per_s };
        let gateways = 3 + rng.usize(0..12);
        let mut sim = Simulation::new(*seed, limit, gateways);
        let mut now = 0.0;
        for _ in 0..6 {
            match rng.u32(0..4) {
                // Leadership moves: the old leader stops counting before the new one starts.
                0 => {
                    sim.counter = None;
                    let gap = 150.0 + rng.f64() * 1500.0;
                    sim.run(now, now + gap, 6.0);
                    now += gap;
                    sim.term += 1;
                    (sim.counter, sim.counter_started) = (Some(Counter::new(now, sim.term, SLACK)), now);
                    let connected = sim.gateways.iter_mut().filter(|gateway| !gateway.cut_off);
                    connected.for_each(|gateway| gateway.quota_client.counter_connected());
                }
                // Up to three eighths of the gateways are cut off, and may come back later.
                1 => (0..gateways * 3 / 8).for_each(|at| sim.gateways[at].cut_off = rng.f64() < 0.8),
                2 => (0..gateways).for_each(|at| sim.gateways[at].cut_off = false),
                _ => {}
            }
            let duration = 1000.0 + rng.f64() * 4000.0;
            sim.run(now, now + duration, 0.2 + rng.f64() * 8.0);
            now += duration;
        }
        let max = sim.max_sent_in_five_seconds();
        assert!(
            max <= allowed_in_five_seconds(limit),
            "{max} sent of {} with {gateways} gateways, {limit:?}",
            allowed_in_five_seconds(limit)
        );
    });
}

#[test]
fn tenant_below_its_limit_is_not_refused_while_the_counter_is_reachable() {
    let limit = Limit { per_s: 100.0, burst: 100.0 };
    let mut sim = Simulation::new(5, limit, 8);
    sim.run(3000.0, 33_000.0, 0.6);
    let requested = 0.6 * 100.0 * 30.0;
    assert!(sim.sent.len() as f64 > 0.97 * requested, "{} of {requested}", sim.sent.len());
}

#[test]
fn overloading_tenant_gets_its_full_limit() {
    let limit = Limit { per_s: 100.0, burst: 100.0 };
    let mut sim = Simulation::new(6, limit, 8);
    sim.run(3000.0, 33_000.0, 8.0);
    let (sent, limit) = (sim.sent.len() as f64, 100.0 * 30.0);
    assert!(sent > 0.85 * limit && sent < 1.05 * limit, "{sent}");
}

#[test]
fn refunds_apply_only_to_their_own_window() {
    let limit = Limit { per_s: 10.0, burst: 10.0 };
    let mut counter = Counter::new(0.0, 3, SLACK);
    let charge = |units, refund, window| Charge { units, refund, window };
    let first = counter.charge(2500.0, TENANT, limit, charge(14, 0, 0), 1.0);
    assert_eq!((first.units, first.limit), (14, 10));
    let same = counter.charge(2600.0, TENANT, limit, charge(1, 4, first.window), 1.0);
    assert_eq!((same.units, same.window), (11, first.window));
    let next = counter.charge(3600.0, TENANT, limit, charge(1, 4, first.window), 1.0);
    assert_eq!(next.units, 1, "a refund for an earlier window is ignored");
    assert!(next.window > first.window && next.left_ms <= 1000.0);
}

#[test]
fn new_leader_grants_accrued_units_first_and_whole_windows_later() {
    let limit = Limit { per_s: 10.0, burst: 20.0 };
    let mut counter = Counter::new(1000.0, 1, 0.0);
    let many = Charge { units: 100, ..Charge::default() };
    let granted = |total: oakfall_system::quota::ChargeTotal| (100 - (total.units - total.limit)).max(0);
    let early = counter.charge(1050.0, TENANT, limit, many, 1.0);
    assert!((4..=6).contains(&early.limit) && early.left_ms < 200.0, "{early:?}");
    // Six units at the start, nine per second for a window of two seconds, then half of a window.
    let mut granted_between = |from: u32, to: u32| -> i64 {
        (from..to).map(|n| granted(counter.charge(f64::from(n) * 100.0, TENANT, limit, many, 1.0))).sum()
    };
    let (first, second) = (granted(early) + granted_between(11, 30), granted_between(30, 50));
    assert!((19..=24).contains(&first) && (8..=10).contains(&second), "{first} {second}");
    let one = Charge { units: 1, ..Charge::default() };
    assert_eq!(counter.charge(5100.0, TENANT, limit, one, 1.0).units, 1);
    // A tenant first charged now has a whole window; one without a limit is not counted.
    assert_eq!(counter.charge(5100.0, "late", limit, one, 1.0).units, 1);
    assert!(counter.charge(1000.0, TENANT, Limit::default(), one, 1.0).limit > 1 << 40);
    // Units that gateways without contact may use are not granted.
    let half = counter.charge(8000.0, TENANT, limit, one, 0.5);
    assert!(half.limit < 20 * 6 / 10, "{half:?}");
}

#[test]
fn counter_and_isolated_gateway_agree_on_the_reduced_share() {
    // Of four gateways, two are in contact, one has been silent for long, and one briefly.
    let fraction = unused_share_fraction([100.0, 300.0, 60_000.0, 1000.0].into_iter());
    assert!((0.7..0.72).contains(&fraction), "{fraction}");
    let limit = Limit { per_s: 400.0, burst: 400.0 };
    let sent_in_ten_seconds = |last_contact: f64| {
        let mut quota_client = QuotaClient::new(0.0);
        quota_client.set_gateways(4);
        quota_client.set_limits(0.0, &BTreeMap::from([(TENANT.to_owned(), limit)]));
        quota_client.leader_contacted(last_contact);
        (0..10_000)
            .filter(|ms| quota_client.charge_unanswered(f64::from(*ms), TENANT, true) == Verdict::Pass)
            .count()
    };
    let (recent, isolated) = (sent_in_ten_seconds(10_000.0), sent_in_ten_seconds(-60_000.0));
    assert!((890..=920).contains(&recent) && (130..=150).contains(&isolated), "{recent} {isolated}");
}
