//! Rate limits of backends that warm up.

use super::tuning::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;

impl Gateway {
    /// Refills the warm-up tokens: a cold backend gets its warm share of an even part of the requests. If few
    /// backends are warm, all gateways together send at most half of what overloads a cold backend.
    pub(super) fn refill_warm_up_tokens(&mut self, now: Millis, pool: u32) {
        let rules = self.settings.rules;
        let bound = self.subset_bound(now, pool);
        let (mut ready, mut capacity) = (0.0, 0.0);
        for backend in self.ready_backends(pool).filter(|backend| backend.subset_rank < bound) {
            ready += 1.0;
            capacity += warm_share(&rules, now, backend).unwrap_or(1.0);
        }
        let min_capacity = ready / (rules.overload_multiple / 2.0).max(1.0);
        // Corrects the average for its start from 0.
        let observed = 1.0 - (-(now - self.started_at).max(MIN_REQUEST_RATE_AGE_MS) / REQUEST_RATE_MS).exp();
        let part = self.pool_load(pool).requests_per_s / observed / f64::max(capacity, min_capacity).max(1.0);
        // Only the subset's backends, and cold ones of whose capacity this gateway was assigned a part.
        let assigned = |b: &Backend| b.subset_rank < bound || b.listed.cold_until > now && b.listed.limit > 0;
        for backend in self.backends.values_mut().filter(|b| b.listed.pool == pool && assigned(b)) {
            let Some(share) = warm_share(&rules, now, backend) else { continue };
            let max_per_s = backend.listed.cold_per_s * WARM_UP_RATE_SHARE;
            let max_per_s = if backend.listed.cold_until > now { max_per_s } else { f64::INFINITY };
            let elapsed_s = (now - backend.warm_up_tokens_at).max(0.0) / 1000.0;
            let refill = elapsed_s * (part * share).min(max_per_s);
            let tokens = (backend.warm_up_tokens + refill).min(1.0);
            (backend.warm_up_tokens, backend.warm_up_tokens_at) = (tokens, now);
        }
    }
}

/// Share of its capacity that a backend has for certain during warm-up; `None` if it is warm.
pub(super) fn warm_share(rules: &Rules, now: Millis, backend: &Backend) -> Option<f64> {
    if backend.listed.cold_until > now {
        return Some(rules.cold_capacity.clamp(0.05, 1.0));
    }
    let age = now - backend.warming_since?;
    (age < rules.warm_up_ms).then(|| {
        let initial = rules.cold_capacity.clamp(0.05, 1.0);
        initial + (1.0 - initial) * (age / rules.warm_up_ms).clamp(0.0, 1.0)
    })
}
