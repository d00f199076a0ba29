//! The choice of a backend for an attempt.

use super::cold::warm_share;
use super::tuning::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;

impl Gateway {
    /// Expected latency of an attempt at this backend, in ms, raised by its error rate.
    pub(super) fn cost(&self, now: Millis, backend: &Backend, mean_ms: f64, idempotency: Idempotency) -> f64 {
        let keep = (-(now - backend.latency_at).max(0.0) / RELATIVE_LATENCY_MEMORY_MS).exp();
        let mut relative = 1.0 + (backend.relative_latency - 1.0) * keep;
        if backend.in_flight > 0 {
            relative = relative.max((now - backend.last_response_at) / (mean_ms * SILENCE_LATENCIES));
        }
        let factor =
            if idempotency == Idempotency::NonIdempotent { UNSAFE_ERROR_COST } else { RETRYABLE_ERROR_COST };
        let errors = 1.0 + factor * backend.decayed_error_rate(now, ERROR_RATE_MEMORY_MS);
        errors * relative * mean_ms * (f64::from(backend.in_flight) + 1.0 + ASSUMED_PEER_REQUESTS)
            / (1.0 + ASSUMED_PEER_REQUESTS)
    }

    pub(super) fn ready_backends(&self, pool: u32) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(move |b| b.listed.state == BackendState::Ready && b.listed.pool == pool)
    }

    /// Whether the limits of cold backends allow another attempt.
    fn has_rate_left(&self, now: Millis, b: &Backend) -> bool {
        (warm_share(&self.settings.rules, now, b).is_none() || b.warm_up_tokens >= 1.0)
            && (now >= b.listed.limited_until || b.sends_in_window(now) < b.listed.limit as usize)
    }

    pub(super) fn pick(&mut self, now: Millis, id: RequestId) -> Option<BackendId> {
        let mut rng = self.rng.fork();
        let open = self.requests.get(&id)?;
        let rules = &self.settings.rules;
        let (pool, zones) = (open.request.pool, open.request.zone_mask);
        let class_ms = self.classes[open.class_index()].mean_ms;
        let idempotency = open.class.idempotency;
        // Where a keyed request may be repeated: its scope, around the backend that may have executed it.
        let repeat_at = match (open.executed, idempotency) {
            (Some((_, backend)), Idempotency::Keyed { scope, .. }) => {
                self.backends.get(&backend).map(|b| (scope, b.listed.zone, b.listed.cell))
            }
            _ => None,
        };
        let eligible = |b: &Backend| {
            zones >> b.listed.zone.min(63) & 1 == 1
                && repeat_at.is_none_or(|(scope, zone, cell)| match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => b.listed.zone == zone,
                    DedupScope::Cell => b.listed.cell == cell && b.listed.zone == zone,
                })
                && self.has_rate_left(now, b)
        };
        let panic = self.in_panic(pool);
        let subset_bound = self.subset_bound(now, pool);
        let mut best: Option<(bool, f64, BackendId)> = None;
        for b in self.ready_backends(pool).filter(|b| eligible(b)) {
            let healthy =
                b.failure_points < EJECTION_POINTS || panic || (now >= b.ejected_until && b.in_flight == 0);
            let last_resort = open.attempts.iter().any(|a| a.backend == b.listed.id)
                || b.avoided_until.get(open.plan()).is_some_and(|at| now < *at)
                || !healthy;
            // Without the bonus a cold backend's token would go unused by chance.
            let bonus = if warm_share(rules, now, b).is_some() { WARM_UP_BONUS } else { 0.0 };
            let extra = if b.subset_rank < subset_bound { -bonus } else { OUTSIDE_SUBSET_COST };
            let extra = extra + b.listed.distance_cost + COST_JITTER * rng.f64();
            let cost = self.cost(now, b, class_ms, idempotency) + class_ms * extra;
            if best.is_none_or(|(other, least, _)| (last_resort, cost) < (other, least)) {
                best = Some((last_resort, cost, b.listed.id));
            }
        }
        best.map(|(.., backend)| backend)
    }

    /// For a first attempt: a healthy backend with a free place, among the nearest ones of the canary pool.
    pub(super) fn pick_canary(&mut self, now: Millis, id: RequestId) -> Option<BackendId> {
        let open = self.requests.get(&id).filter(|open| open.attempts.is_empty())?;
        let (pool, zones) = (open.request.canary_pool?, open.request.zone_mask);
        self.count_request(now, pool);
        self.refill_warm_up_tokens(now, pool);
        let mut rng = self.rng.fork();
        let ready = || self.ready_backends(pool).filter(|b| zones >> b.listed.zone.min(63) & 1 == 1);
        let nearest = ready().map(|b| b.listed.distance_cost).fold(f64::INFINITY, f64::min);
        let free = ready().filter(|b| {
            let has_room = f64::from(b.in_flight) < b.listed.size && self.has_rate_left(now, b);
            has_room && b.failure_points < EJECTION_POINTS && b.listed.distance_cost < nearest + NEAR_COST
        });
        free.min_by_key(|b| (b.in_flight, rng.u32(..))).map(|b| b.listed.id)
    }

    /// Backends with a rank below this are in the gateway's subset.
    pub(super) fn subset_bound(&self, now: Millis, pool: u32) -> f64 {
        let ready = self.ready_backends(pool).count().max(1) as f64;
        MIN_SUBSET_BACKENDS.max(MIN_GATEWAYS_PER_BACKEND * ready / self.gateway_count(now)) / ready
    }
}
