//! Backends that are cold: what they may be sent.

use super::tuned::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;

impl Gateway {
    /// Cold backends: each gateway sends them what surely is warm of an even part of its requests. With few
    /// warm ones left it goes by half the multiple at which one falls over, of what is warm of its part in
    /// the whole fleet: together the gateways stay at half of what it bears.
    pub(super) fn reckon_cold(&mut self, now: Millis, pool: u32) {
        let rules = self.settings.rules;
        let kept = self.kept(now, pool);
        let (mut ready, mut units) = (0.0, 0.0);
        for b in self.ready(pool).filter(|b| b.lot < kept) {
            ready += 1.0;
            units += cold_share(&rules, now, b).unwrap_or(1.0);
        }
        let least = ready / (rules.overload_multiple / 2.0).max(1.0);
        // The average began at nought: what it holds as yet stands for all of it.
        let known = 1.0 - (-(now - self.started).max(RATE_KNOWN_MS) / RATE_MS).exp();
        let part = self.flow_of(pool).rate / known / f64::max(units, least).max(1.0);
        // Those kept to alone, and those that this gateway has a part of: the parts are reckoned for these.
        let has_part = |b: &Backend| b.lot < kept || b.listed.cold_until > now && b.listed.limit > 0;
        for b in self.backends.values_mut().filter(|b| b.listed.pool == pool && has_part(b)) {
            let Some(share) = cold_share(&rules, now, b) else { continue };
            let most = b.listed.cold_per_s * COLD_PART;
            let most = if b.listed.cold_until > now { most } else { f64::INFINITY };
            let more = (now - b.cold.1).max(0.0) / 1000.0 * (part * share).min(most);
            b.cold = ((b.cold.0 + more).min(1.0), now);
        }
    }
}

/// Share of its capacity that a backend surely has while it may be cold.
pub(super) fn cold_share(rules: &Rules, now: Millis, backend: &Backend) -> Option<f64> {
    if backend.listed.cold_until > now {
        return Some(rules.cold_capacity.clamp(0.05, 1.0));
    }
    let age = now - backend.born?;
    (age < rules.warm_up_ms).then(|| {
        let from = rules.cold_capacity.clamp(0.05, 1.0);
        from + (1.0 - from) * (age / rules.warm_up_ms).clamp(0.0, 1.0)
    })
}
