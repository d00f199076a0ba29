//! What outcomes tell of a backend's pace and health.

use super::tuned::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;

impl Gateway {
    /// Listed backends that requests are kept from: draining ones, and those left out for their failures.
    pub fn avoided(&self, now: Millis) -> usize {
        let left_out = |b: &Backend| match b.listed.state {
            BackendState::Ready => {
                !self.distrust(b.listed.pool) && b.failures >= EJECT_AFTER && (now < b.out_until || b.out > 0)
            }
            BackendState::Draining => true,
            BackendState::Gone => false,
        };
        self.backends.values().filter(|b| left_out(b)).count()
    }

    /// If most look bad the ejection is distrusted, not the fleet: a lost path or list looks the same.
    pub(super) fn distrust(&self, pool: u32) -> bool {
        let bad = self.ready(pool).filter(|b| b.failures >= EJECT_AFTER).count();
        bad * 2 > self.ready(pool).count()
    }

    /// What an outcome tells of the backend's pace and health.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn learn(
        &mut self, now: Millis, backend: BackendId, class: usize, plan: usize, result: CallResult,
        took_ms: f64, depth: f64,
    ) {
        let Some(b) = self.backends.get_mut(&backend) else { return };
        b.out = b.out.saturating_sub(1);
        if result == CallResult::Ok && took_ms.is_finite() {
            let took = took_ms.max(0.1);
            let (usual, seen) = &mut self.usual[class];
            let alone = took / ((depth + UNSEEN) / (1.0 + UNSEEN));
            let keep = (-(now - b.learned).max(0.0) / PACE_MEMORY_MS).exp();
            let pace = 1.0 + (b.pace - 1.0) * keep;
            b.pace = pace + PACE_GAIN * ((alone / usual.max(0.1)).min(10.0) - pace);
            b.learned = now;
            *seen += 1.0;
            *usual += (alone / pace.max(0.1) - *usual) * USUAL_GAIN.max(1.0 / *seen);
        }
        self.judge(now, backend, plan, result, took_ms);
    }

    /// What an outcome tells of the backend's health.
    pub(super) fn judge(
        &mut self, now: Millis, backend: BackendId, plan: usize, result: CallResult, took_ms: f64,
    ) {
        let Some(pool) = self.backends.get(&backend).map(|b| b.listed.pool) else { return };
        let rate = self.flow_of(pool).rate;
        let Some(b) = self.backends.get_mut(&backend) else { return };
        if matches!(result, CallResult::Rejected | CallResult::ConnectFailed) {
            let held = now + FULL.0.max(FULL.1 * 1000.0 / rate.max(1.0));
            b.full_until.resize(self.settings.plans.len(), now);
            match result {
                CallResult::Rejected => b.full_until[plan] = held,
                _ => b.full_until.fill(held),
            }
        }
        if matches!(result, CallResult::Ok | CallResult::Error) {
            let share = b.errors_at(now, ERRORS.1);
            let error = f64::from(u8::from(result == CallResult::Error));
            b.errors = (share + ERRORS.0 * (error - share), now);
        }
        match result {
            CallResult::Ok => (b.failures, b.heard) = (0, now),
            CallResult::Rejected => b.heard = now,
            // Cut at its aim though the backend answered others meanwhile: the request was costly.
            CallResult::Timeout if b.heard > now - took_ms => {}
            CallResult::Error | CallResult::Timeout | CallResult::ConnectFailed | CallResult::Reset => {
                let points = if result == CallResult::Reset { POINTS.1 } else { POINTS.0 };
                b.failures = b.failures.saturating_add(points);
                if b.failures >= EJECT_AFTER {
                    let times = f64::from(1u32 << ((b.failures - EJECT_AFTER) / POINTS.0).min(5));
                    b.out_until = now + EJECT_MS * times * (1.0 + 0.2 * self.rng.f64());
                }
            }
            CallResult::Cancelled | CallResult::NotSent => {}
        }
    }
}
