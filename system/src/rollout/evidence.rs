//! Evidence on a new version: the gateways' cumulative counts, and a sequential test that compares the new version
//! with the old one at the same time and on the same routes.
//!
//! Likelihood ratios are followed for each route and for all routes together: of error responses, of attempts without
//! a response, and of successful responses that are slow, or very slow, by the old version's distribution. Each ratio
//! restarts at its floor (a CUSUM test), so that a version that turns bad late is found as fast as one that is bad from
//! the start.

use super::messages::{Counts, VersionCounts};
use std::collections::BTreeMap;

/// Number of latency buckets; the last one is open.
pub const LATENCY_BUCKETS: usize = 26;
/// The upper bound of the first bucket, in ms. Each further bound is higher by a factor of the square root of 2.
const FIRST_BOUND_MS: f64 = 8.0;
/// Slow responses are slower than all but this share of the old version's, by one bucket or more: backends differ in
/// speed, and the old version's faster ones get more requests.
const SLOW_TAIL: f64 = 0.1;
/// Maximum number of routes that a gateway reports, and that are judged, by themselves.
pub const MAX_ROUTES: usize = 16;
/// The log of the likelihood ratio at which a version counts as bad. Chance alone exceeds it less than once in a
/// thousand restarts.
const BAD_LOG_RATIO: f64 = 6.9;
/// Above this the version is suspicious, and its share does not rise.
const SUSPICIOUS_LOG_RATIO: f64 = 3.0;
/// Weight that the old version's counts keep from one round to the next in which there are some.
const BASELINE_KEEP: f64 = 0.95;
/// Assumed responses of the old version before any is known.
const PRIOR_RESPONSES: f64 = 20.0;
/// The old version's shares before any response is known.
const PRIOR_SHARE: f64 = 0.01;
/// Responses of the old version that are needed for its distribution.
const MIN_BASELINE_RESPONSES: f64 = 20.0;
/// Maximum number of gateways whose reports are kept.
const MAX_GATEWAYS: usize = 4096;

/// The bucket of a latency.
pub fn latency_bucket(latency_ms: f64) -> usize {
    if latency_ms <= FIRST_BOUND_MS {
        return 0;
    }
    let half_octaves = 2.0 * (latency_ms / FIRST_BOUND_MS).log2();
    (half_octaves.ceil() as usize).min(LATENCY_BUCKETS - 1)
}

/// The counts of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Attempts sent.
    pub sent: u64,
    /// Successful responses.
    pub succeeded: u64,
    /// Error responses.
    pub failed: u64,
    /// Attempts without a complete response.
    pub broken: u64,
    /// Successful responses by latency bucket.
    pub latencies: [u64; LATENCY_BUCKETS],
}

impl Tally {
    /// Attempts that have ended.
    pub fn answered(&self) -> u64 {
        self.succeeded + self.failed + self.broken
    }

    /// The upper bound of the bucket that holds this share of the latencies, in ms.
    fn latency_quantile(&self, share: f64) -> f64 {
        let count: u64 = self.latencies.iter().sum();
        let mut below = 0;
        let bucket = self.latencies.iter().position(|in_bucket| {
            below += in_bucket;
            below > 0 && below as f64 >= share * count as f64
        });
        bucket.map_or(0.0, |bucket| FIRST_BOUND_MS * 2f64.powf(bucket as f64 / 2.0))
    }

    fn describe(&self) -> String {
        format!(
            "{} errors and {} broken of {}, half within {:.0} ms, nine in ten within {:.0} ms",
            self.failed,
            self.broken,
            self.answered(),
            self.latency_quantile(0.5),
            self.latency_quantile(0.9)
        )
    }

    /// Adds a report's counts.
    pub fn add_counts(&mut self, counts: &Counts) {
        let Counts { sent, succeeded, failed, broken, latencies: reported } = counts;
        let mut latencies = [0; LATENCY_BUCKETS];
        latencies.iter_mut().zip(reported).for_each(|(count, reported)| *count = *reported);
        self.add(&Tally { sent: *sent, succeeded: *succeeded, failed: *failed, broken: *broken, latencies });
    }

    fn add(&mut self, other: &Tally) {
        self.sent = self.sent.saturating_add(other.sent);
        self.succeeded = self.succeeded.saturating_add(other.succeeded);
        self.failed = self.failed.saturating_add(other.failed);
        self.broken = self.broken.saturating_add(other.broken);
        for (sum, count) in self.latencies.iter_mut().zip(&other.latencies) {
            *sum = sum.saturating_add(*count);
        }
    }

    /// What came since `earlier`.
    fn since(&self, earlier: &Tally) -> Tally {
        let mut latencies = self.latencies;
        for (count, before) in latencies.iter_mut().zip(&earlier.latencies) {
            *count = count.saturating_sub(*before);
        }
        Tally {
            sent: self.sent.saturating_sub(earlier.sent),
            succeeded: self.succeeded.saturating_sub(earlier.succeeded),
            failed: self.failed.saturating_sub(earlier.failed),
            broken: self.broken.saturating_sub(earlier.broken),
            latencies,
        }
    }
}

impl From<Tally> for Counts {
    fn from(tally: Tally) -> Counts {
        let Tally { sent, succeeded, failed, broken, latencies } = tally;
        Counts { sent, succeeded, failed, broken, latencies: latencies.to_vec() }
    }
}

/// The counts of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteTally {
    /// The new version's.
    pub new: Tally,
    /// The old versions'.
    pub old: Tally,
}

impl RouteTally {
    fn add(&mut self, other: &RouteTally) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// What both versions have shown, for logs and operators.
    pub fn describe(&self) -> String {
        format!("new version {}; old one {}", self.new.describe(), self.old.describe())
    }
}

/// The counts of both versions by route.
type Totals = BTreeMap<u64, RouteTally>;

fn add_counts(totals: &mut Totals, counts: &VersionCounts) {
    for route in counts.routes.iter().take(MAX_ROUTES + 1) {
        let is_known = totals.contains_key(&route.route) || totals.len() < MAX_ROUTES;
        let tally = totals.entry(if is_known { route.route } else { 0 }).or_default();
        route.new.iter().for_each(|counts| tally.new.add_counts(counts));
        route.old.iter().for_each(|counts| tally.old.add_counts(counts));
    }
}

/// The old version's recent distribution: recent responses weigh more.
#[derive(Clone, Debug, Default)]
struct Baseline {
    responses: f64,
    failed: f64,
    broken: f64,
    latencies: [f64; LATENCY_BUCKETS],
}

impl Baseline {
    fn update(&mut self, recent: &Tally) {
        if recent.answered() == 0 {
            return;
        }
        self.responses = self.responses * BASELINE_KEEP + recent.answered() as f64;
        self.failed = self.failed * BASELINE_KEEP + recent.failed as f64;
        self.broken = self.broken * BASELINE_KEEP + recent.broken as f64;
        for (weight, count) in self.latencies.iter_mut().zip(&recent.latencies) {
            *weight = *weight * BASELINE_KEEP + *count as f64;
        }
    }

    /// The share of responses that `events` are.
    fn share(&self, events: f64) -> f64 {
        (events + PRIOR_SHARE * PRIOR_RESPONSES) / (self.responses + PRIOR_RESPONSES)
    }

    /// The first bucket of responses that are slow by so many buckets, and the old version's share of them; `None`
    /// with too few responses.
    fn slow(&self, buckets: usize) -> Option<(usize, f64)> {
        let count: f64 = self.latencies.iter().sum();
        if count < MIN_BASELINE_RESPONSES {
            return None;
        }
        let mut below = 0.0;
        let usual = self.latencies.iter().position(|weight| {
            below += weight;
            below >= (1.0 - SLOW_TAIL) * count
        })?;
        let first = (usual + buckets).min(LATENCY_BUCKETS - 1);
        let slow: f64 = self.latencies[first..].iter().sum();
        Some((first, (slow + PRIOR_SHARE * PRIOR_RESPONSES) / (count + PRIOR_RESPONSES)))
    }
}

/// A likelihood ratio that is followed: that events come at a raised rate, against the usual one.
#[derive(Clone, Copy, Debug, Default)]
struct Cusum {
    log_ratio: f64,
}

/// What a likelihood ratio tells apart.
struct Hypotheses {
    /// Events up to this share above the old version's are tolerated.
    tolerance: f64,
    /// The raised rate is this much higher.
    raise: f64,
}

/// Error responses.
const FAILURES: Hypotheses = Hypotheses { tolerance: 0.02, raise: 0.15 };
/// Attempts without a complete response. A backend or a zone that crashes breaks many at once, whatever its version.
const BROKEN: Hypotheses = Hypotheses { tolerance: 0.12, raise: 0.25 };
/// Responses that are slow by one bucket, a factor of 1.4.
const SLOW: Hypotheses = Hypotheses { tolerance: 0.12, raise: 0.2 };
const SLOW_BUCKETS: usize = 1;
/// Responses that are slow by three buckets, a factor of 2.8.
const VERY_SLOW: Hypotheses = Hypotheses { tolerance: 0.08, raise: 0.15 };
const VERY_SLOW_BUCKETS: usize = 3;

impl Cusum {
    /// Takes in `events` and `others`; `usual_share` is the old version's share of events.
    fn observe(&mut self, events: u64, others: u64, usual_share: f64, hypotheses: &Hypotheses) {
        let usual = (usual_share + hypotheses.tolerance).clamp(0.001, 0.75);
        let raised = (usual + hypotheses.raise).min(0.95);
        let change =
            events as f64 * (raised / usual).ln() + others as f64 * ((1.0 - raised) / (1.0 - usual)).ln();
        self.log_ratio = (self.log_ratio + change).max(0.0);
    }

    /// Takes in responses, of which those from the bucket `first_slow` on are events.
    fn observe_latencies(
        &mut self, new: &Tally, (first_slow, usual_share): (usize, f64), hypotheses: &Hypotheses,
    ) {
        let (fast, slow) = new.latencies.split_at(first_slow);
        self.observe(slow.iter().sum(), fast.iter().sum(), usual_share, hypotheses);
    }
}

/// The test of one route, or of all.
#[derive(Clone, Debug, Default)]
struct RouteTest {
    baseline: Baseline,
    failures: Cusum,
    broken: Cusum,
    slow: Cusum,
    very_slow: Cusum,
}

impl RouteTest {
    fn observe(&mut self, recent: &RouteTally, is_canary: bool) {
        self.baseline.update(&recent.old);
        let (new, baseline) = (&recent.new, &self.baseline);
        self.failures.observe(new.failed, new.succeeded, baseline.share(baseline.failed), &FAILURES);
        self.broken.observe(new.broken, new.succeeded, baseline.share(baseline.broken), &BROKEN);
        if let Some(slow) = baseline.slow(VERY_SLOW_BUCKETS) {
            self.very_slow.observe_latencies(new, slow, &VERY_SLOW);
        }
        match baseline.slow(SLOW_BUCKETS).filter(|_| is_canary) {
            Some(slow) => self.slow.observe_latencies(new, slow, &SLOW),
            None => self.slow = Cusum::default(),
        }
    }

    /// The highest log of a likelihood ratio, and what it speaks of.
    fn highest(&self) -> (f64, &'static str) {
        let slow = (self.slow.log_ratio.max(self.very_slow.log_ratio), "slow responses");
        let tests = [(self.failures.log_ratio, "errors"), (self.broken.log_ratio, "broken attempts")];
        tests.into_iter().fold(slow, |highest, test| if test.0 > highest.0 { test } else { highest })
    }
}

/// What the evidence says of a new version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is worse than the old one, for this reason.
    Bad(String),
    /// It may be worse.
    Suspicious,
    /// Nothing speaks against it.
    Clean,
}

/// A gateway's latest report, and the counts of its earlier processes.
#[derive(Default)]
struct GatewayCounts {
    latest: VersionCounts,
    earlier: Totals,
}

/// The evidence on one roll-out, as its controller has received it.
#[derive(Default)]
pub struct Evidence {
    gateways: BTreeMap<String, GatewayCounts>,
    judged: Totals,
    by_route: BTreeMap<u64, RouteTest>,
    all_routes: RouteTest,
}

impl Evidence {
    /// Takes in a gateway's report. Counts are cumulative, so a lost or repeated report changes nothing.
    pub fn record(&mut self, node: &str, counts: VersionCounts) {
        if self.gateways.len() >= MAX_GATEWAYS && !self.gateways.contains_key(node) {
            return;
        }
        let gateway = self.gateways.entry(node.to_owned()).or_default();
        if gateway.latest.incarnation != counts.incarnation {
            add_counts(&mut gateway.earlier, &gateway.latest);
        }
        gateway.latest = counts;
    }

    /// The latest report of a gateway.
    pub fn report(&self, node: &str) -> Option<&VersionCounts> {
        self.gateways.get(node).map(|gateway| &gateway.latest)
    }

    fn totals(&self) -> Totals {
        let mut totals = Totals::new();
        for gateway in self.gateways.values() {
            add_counts(&mut totals, &gateway.latest);
            for (route, tally) in &gateway.earlier {
                totals.entry(*route).or_default().add(tally);
            }
        }
        totals
    }

    /// Judges by all reports so far, and returns the sums over all routes. Small differences in latency count only
    /// for canaries: later the old version's requests end, and backends get requests whose speed is unknown yet.
    pub fn judge(&mut self, is_canary: bool) -> (Verdict, RouteTally) {
        let totals = self.totals();
        let (mut all, mut all_recent) = (RouteTally::default(), RouteTally::default());
        for (route, tally) in &totals {
            let judged = self.judged.get(route).copied().unwrap_or_default();
            let recent = RouteTally { new: tally.new.since(&judged.new), old: tally.old.since(&judged.old) };
            self.by_route.entry(*route).or_default().observe(&recent, is_canary);
            all.add(tally);
            all_recent.add(&recent);
        }
        self.all_routes.observe(&all_recent, is_canary);
        self.judged = totals;
        (self.verdict(&all), all)
    }

    /// Whether each route that brings a good part of the requests has shown enough responses of the new version.
    pub fn covers_routes(&self, min_part: f64, min_responses: u64) -> bool {
        let sent = |tally: &RouteTally| (tally.new.sent + tally.old.sent) as f64;
        let all: f64 = self.judged.values().map(sent).sum();
        self.judged
            .values()
            .all(|tally| sent(tally) < all * min_part || tally.new.answered() >= min_responses)
    }

    fn verdict(&self, all: &RouteTally) -> Verdict {
        let tests = || self.by_route.values().chain([&self.all_routes]);
        let highest = tests().map(RouteTest::highest).max_by(|a, b| a.0.total_cmp(&b.0));
        match highest {
            Some((log_ratio, what)) if log_ratio >= BAD_LOG_RATIO => {
                Verdict::Bad(format!("{what}: {}; log ratio {log_ratio:.1}", all.describe()))
            }
            Some((log_ratio, _)) if log_ratio >= SUSPICIOUS_LOG_RATIO => Verdict::Suspicious,
            _ => Verdict::Clean,
        }
    }
}
