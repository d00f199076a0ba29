//! Choice of a backend for an attempt.

use super::cold::cold_share;
use super::tuned::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;

impl Gateway {
    /// Expected time of an attempt at this backend, in ms.
    pub(super) fn cost(&self, now: Millis, backend: &Backend, usual: f64, effect: Idempotency) -> f64 {
        let keep = (-(now - backend.learned).max(0.0) / PACE_MEMORY_MS).exp();
        let mut pace = 1.0 + (backend.pace - 1.0) * keep;
        if backend.out > 0 {
            pace = pace.max((now - backend.heard) / (usual * SILENT_TIMES));
        }
        let times = if effect == Idempotency::NonIdempotent { ERRORS_COST.1 } else { ERRORS_COST.0 };
        let errors = 1.0 + times * backend.errors_at(now, ERRORS.1);
        errors * pace * usual * (f64::from(backend.out) + 1.0 + UNSEEN) / (1.0 + UNSEEN)
    }

    /// The backends of a service that take work.
    pub(super) fn ready(&self, pool: u32) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(move |b| b.listed.state == BackendState::Ready && b.listed.pool == pool)
    }

    /// The best backend for the request's next attempt.
    pub(super) fn pick(&mut self, now: Millis, id: RequestId) -> Option<BackendId> {
        let mut rng = self.rng.fork();
        let open = self.requests.get(&id)?;
        let rules = &self.settings.rules;
        let (pool, places) = (open.request.pool, open.request.zone_mask);
        let usual = self.usual[open.request.class as usize].0;
        let effect = self.settings.classes[open.request.class as usize].idempotency;
        let home = match (open.ran, effect) {
            (Some((_, backend)), Idempotency::Keyed { scope: group, .. }) => {
                self.backends.get(&backend).map(|b| (group, b.listed.zone, b.listed.cell))
            }
            _ => None,
        };
        let allowed = |b: &Backend| {
            b.listed.state == BackendState::Ready
                && b.listed.pool == pool
                && places >> b.listed.zone.min(63) & 1 == 1
                && home.is_none_or(|(group, zone, cell)| match group {
                    DedupScope::All => true,
                    DedupScope::Zone => b.listed.zone == zone,
                    DedupScope::Cell => b.listed.cell == cell && b.listed.zone == zone,
                })
                && (cold_share(rules, now, b).is_none() || b.cold.0 >= 1.0)
                && (now >= b.listed.limited_until || b.sent_lately(now) < b.listed.limit as usize)
        };
        let distrust = self.distrust(pool);
        let kept = self.kept(now, pool);
        let mut best: Option<(bool, f64, BackendId)> = None;
        for b in self.backends.values().filter(|b| allowed(b)) {
            let trial = b.failures < EJECT_AFTER || distrust || (now >= b.out_until && b.out == 0);
            let tried = open.attempts.iter().any(|a| a.backend == b.listed.id)
                || b.full_until.get(open.request.plan as usize).is_some_and(|at| now < *at)
                || !trial;
            // A cold one's turn has come: it is not left to chance, as nothing is known of it.
            let turn = if cold_share(rules, now, b).is_some() { TURN } else { 0.0 };
            let other = if b.lot < kept { -turn } else { OTHER };
            let rank = self.cost(now, b, usual, effect)
                + usual * (other + b.listed.distance_cost + JITTER * rng.f64());
            if best.is_none_or(|(t, r, ..)| (tried, rank) < (t, r)) {
                best = Some((tried, rank, b.listed.id));
            }
        }
        best.map(|(.., backend)| backend)
    }

    /// Backends whose lot is below this are kept to.
    pub(super) fn kept(&self, now: Millis, pool: u32) -> f64 {
        let ready = self.ready(pool).count().max(1) as f64;
        KEEPS_TO.0.max(KEEPS_TO.1 * ready / self.gateways(now)) / ready
    }
}
