//! The versions of services at a gateway: which requests are drawn for a new version, and what is seen of both.

use crate::metrics::Metrics;
use crate::protocol::Backend;
use crate::rollout::evidence::{latency_bucket, RouteTally, LATENCY_BUCKETS, MAX_ROUTES};
use crate::rollout::messages::{Counts, RouteCounts, VersionCounts};
use crate::rollout::{Rollout, Versions};
use oakfall::plane::driver::{EndedAttempt, Observer};
use oakfall::{CallResult, Millis, Reason};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A backend of a service with a roll-out.
struct TrackedBackend {
    service: String,
    is_new: bool,
    /// Its latency is comparable: it is in the gateway's region.
    is_near: bool,
    /// Since when it has warmed up, on the proxy's clock: its latency is comparable from then on.
    warm_from: Millis,
}

/// The counts of one roll-out, by the digest of the route's name.
#[derive(Default)]
struct TrackedRollout {
    generation: u64,
    by_route: BTreeMap<u64, VersionPair>,
}

/// The counts of both versions on one route.
#[derive(Default)]
struct VersionPair {
    new: Counts,
    old: Counts,
}

#[derive(Default)]
struct Tracked {
    rollouts: BTreeMap<String, TrackedRollout>,
    backends: HashMap<String, TrackedBackend>,
    /// Attempts in flight by backend, of all backends: an attempt may be older than the roll-out.
    in_flight: HashMap<String, u32>,
}

/// What the proxy sees of the versions of services that are rolled out, counted since it learned of the roll-out.
pub(super) struct VersionTracker {
    incarnation: u64,
    tracked: RefCell<Tracked>,
}

/// A registered backend, as the tracker needs it.
pub(super) struct SeenBackend<'a> {
    /// Its registration.
    pub(super) backend: &'a Backend,
    /// It is in the gateway's region.
    pub(super) is_near: bool,
    /// Until when it is cold, on the proxy's clock.
    pub(super) cold_until: Millis,
    /// How long backends of its service are slow after their start, in ms.
    pub(super) warm_up_ms: Millis,
}

impl VersionTracker {
    /// A tracker without counts, of the process that this number identifies.
    pub(super) fn new(incarnation: u64) -> Self {
        VersionTracker { incarnation, tracked: RefCell::default() }
    }

    /// Follows the roll-outs under way. Without one, the backends are not looked at.
    pub(super) fn update<'a>(
        &self, now: Millis, versions: &Versions, backends: impl Iterator<Item = SeenBackend<'a>>,
    ) {
        let tracked = &mut *self.tracked.borrow_mut();
        if versions.all_under_way().next().is_none() {
            tracked.rollouts.clear();
            tracked.backends.clear();
            return;
        }
        tracked.rollouts.retain(|service, rollout| {
            versions.under_way(service).is_some_and(|current| current.generation == rollout.generation)
        });
        for rollout in versions.all_under_way() {
            let Rollout { order, generation, .. } = rollout;
            let new = || TrackedRollout { generation: *generation, ..TrackedRollout::default() };
            tracked.rollouts.entry(order.service.clone()).or_insert_with(new);
        }
        let mut known = std::mem::take(&mut tracked.backends);
        for SeenBackend { backend, is_near, cold_until, warm_up_ms } in backends {
            let Some(rollout) = versions.under_way(&backend.service) else { continue };
            let is_new = backend.edition == rollout.order.to_edition;
            let (name, former) = match known.remove_entry(&backend.id) {
                Some((name, former)) => (name, Some(former)),
                None => (backend.id.clone(), None),
            };
            // Backends of the new version have just started.
            let first_warm_from = if is_new { now + warm_up_ms } else { 0.0 };
            let warm_from = former.map_or(first_warm_from, |former| former.warm_from).max(cold_until);
            let service = backend.service.clone();
            tracked.backends.insert(name, TrackedBackend { service, is_new, is_near, warm_from });
        }
        // Backends that are no longer registered may still have attempts in flight.
        let (rollouts, in_flight) = (&tracked.rollouts, &tracked.in_flight);
        known.retain(|name, backend| rollouts.contains_key(&backend.service) && in_flight.contains_key(name));
        tracked.backends.extend(known);
    }

    /// The counts to report.
    pub(super) fn report(&self) -> Vec<VersionCounts> {
        let tracked = self.tracked.borrow();
        let in_flight = |service: &str, is_new: bool| {
            let of_version = tracked
                .in_flight
                .iter()
                .filter(|(name, _)| {
                    let backend = tracked.backends.get(*name);
                    backend.is_some_and(|backend| backend.service == service && backend.is_new == is_new)
                })
                .map(|(_, count)| *count);
            of_version.sum()
        };
        let report = |(service, rollout): (&String, &TrackedRollout)| VersionCounts {
            service: service.clone(),
            generation: rollout.generation,
            incarnation: self.incarnation,
            routes: rollout.route_counts(),
            old_in_flight: in_flight(service, false),
            new_in_flight: in_flight(service, true),
        };
        tracked.rollouts.iter().map(report).collect()
    }

    fn attempt_sent(&self, backend: &str, route: u64) {
        let tracked = &mut *self.tracked.borrow_mut();
        match tracked.in_flight.get_mut(backend) {
            Some(count) => *count += 1,
            None => drop(tracked.in_flight.insert(backend.to_owned(), 1)),
        }
        if let Some((counts, _)) = tracked.counts(backend, route) {
            counts.sent += 1;
        }
    }

    fn attempt_ended(&self, now: Millis, attempt: &EndedAttempt) {
        let EndedAttempt { backend, label: route, result, took_ms } = *attempt;
        let tracked = &mut *self.tracked.borrow_mut();
        if let Some(count) = tracked.in_flight.get_mut(backend) {
            *count -= 1;
            if *count == 0 {
                tracked.in_flight.remove(backend);
            }
        }
        let Some((counts, seen)) = tracked.counts(backend, route) else { return };
        match result {
            CallResult::Ok => {
                counts.succeeded += 1;
                if seen.is_near && seen.warm_from <= now - took_ms {
                    counts.latencies.resize(LATENCY_BUCKETS, 0);
                    counts.latencies[latency_bucket(took_ms)] += 1;
                }
            }
            CallResult::Error => counts.failed += 1,
            CallResult::Reset | CallResult::Timeout => counts.broken += 1,
            // Says nothing about the version's answers.
            CallResult::Rejected
            | CallResult::ConnectFailed
            | CallResult::Cancelled
            | CallResult::NotSent => {}
        }
    }
}

impl Tracked {
    /// The counts of a backend's version on a route, and the backend.
    fn counts(&mut self, backend: &str, route: u64) -> Option<(&mut Counts, &TrackedBackend)> {
        let seen = self.backends.get(backend)?;
        let rollout = self.rollouts.get_mut(&seen.service)?;
        let counts = rollout.by_route.entry(route).or_default();
        Some((if seen.is_new { &mut counts.new } else { &mut counts.old }, seen))
    }
}

impl TrackedRollout {
    /// The counts of the routes with the most requests by themselves, those of the others together.
    fn route_counts(&self) -> Vec<RouteCounts> {
        let mut by_route: Vec<_> = self.by_route.iter().collect();
        by_route.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.new.sent + counts.old.sent));
        let (listed, others) = by_route.split_at(by_route.len().min(MAX_ROUTES));
        let mut routes: Vec<_> = listed
            .iter()
            .map(|(route, counts)| RouteCounts {
                route: **route,
                new: Some(counts.new.clone()),
                old: Some(counts.old.clone()),
            })
            .collect();
        if !others.is_empty() {
            let mut sum = RouteTally::default();
            for (_, counts) in others {
                sum.new.add_counts(&counts.new);
                sum.old.add_counts(&counts.old);
            }
            routes.push(RouteCounts { route: 0, new: Some(sum.new.into()), old: Some(sum.old.into()) });
        }
        routes
    }
}

/// A service whose new version may get requests from this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CanaryPool {
    /// The pool of the new version's backends.
    pub(super) pool: u32,
    /// Their share of the service's requests.
    pub(super) share: f64,
}

impl CanaryPool {
    /// The canary pool by a roll-out's progress; none while the new version is closed, or serves alone.
    pub(super) fn of(rollout: &Rollout, pool: u32) -> Option<Self> {
        rollout.phase.has_canaries().then(|| CanaryPool { pool, share: rollout.share() })
    }
}

/// Passes notifications of the driver on to the metrics and the version tracker.
pub(super) struct ProxyObserver {
    pub(super) metrics: Rc<Metrics>,
    pub(super) versions: Rc<VersionTracker>,
    pub(super) started: tokio::time::Instant,
}

impl Observer for ProxyObserver {
    fn attempt_sent(&self, backend: &str, label: u64) {
        self.versions.attempt_sent(backend, label);
    }

    fn attempt_ended(&self, attempt: &EndedAttempt) {
        self.versions.attempt_ended(self.started.elapsed().as_secs_f64() * 1000.0, attempt);
        self.metrics.attempt_ended(attempt);
    }

    fn counter_call_ended(&self, result: CallResult) {
        self.metrics.counter_call_ended(result);
    }

    fn request_refused(&self, reason: Reason) {
        self.metrics.request_refused(reason);
    }

    fn request_written(&self) {
        self.metrics.request_written();
    }

    fn log_line(&self, line: &str) {
        self.metrics.log_line(line);
    }
}
