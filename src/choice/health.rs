//! Relative latency and health of backends, from the outcomes of attempts.

use super::tuning::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;

impl Gateway {
    /// The number of listed backends that get no requests: draining ones and ejected ones.
    pub fn out_of_rotation(&self, now: Millis) -> usize {
        let excluded = |b: &Backend| match b.listed.state {
            BackendState::Ready => {
                !self.in_panic(b.listed.pool)
                    && b.failure_points >= EJECTION_POINTS
                    && (now < b.ejected_until || b.in_flight > 0)
            }
            BackendState::Draining => true,
            BackendState::Gone => false,
        };
        self.backends.values().filter(|b| excluded(b)).count()
    }

    /// True if most backends look unhealthy. Ejections are ignored then, as a network failure looks the same.
    pub(super) fn in_panic(&self, pool: u32) -> bool {
        let unhealthy = self.ready_backends(pool).filter(|b| b.failure_points >= EJECTION_POINTS).count();
        unhealthy * 2 > self.ready_backends(pool).count()
    }

    /// Updates a backend's load, latency and health after it has stopped processing an attempt.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn record_result(
        &mut self, now: Millis, backend_id: BackendId, class: usize, plan: usize, result: CallResult,
        took_ms: f64, queue_depth: f64,
    ) {
        let Some(backend) = self.backends.get_mut(&backend_id) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        if result == CallResult::Ok && took_ms.is_finite() {
            let took_ms = took_ms.max(0.1);
            let class = &mut self.classes[class];
            let idle_ms = took_ms / ((queue_depth + ASSUMED_PEER_REQUESTS) / (1.0 + ASSUMED_PEER_REQUESTS));
            let keep = (-(now - backend.latency_at).max(0.0) / RELATIVE_LATENCY_MEMORY_MS).exp();
            let relative = 1.0 + (backend.relative_latency - 1.0) * keep;
            let sample = (idle_ms / class.mean_ms.max(0.1)).min(10.0);
            backend.relative_latency = relative + RELATIVE_LATENCY_GAIN * (sample - relative);
            backend.latency_at = now;
            class.samples += 1.0;
            class.mean_ms +=
                (idle_ms / relative.max(0.1) - class.mean_ms) * MEAN_GAIN.max(1.0 / class.samples);
        }
        self.update_health(now, backend_id, plan, result, took_ms);
    }

    pub(super) fn update_health(
        &mut self, now: Millis, backend_id: BackendId, plan: usize, result: CallResult, took_ms: f64,
    ) {
        let Some(pool) = self.backends.get(&backend_id).map(|b| b.listed.pool) else { return };
        let requests_per_s = self.pool_load(pool).requests_per_s;
        let Some(backend) = self.backends.get_mut(&backend_id) else { return };
        if matches!(result, CallResult::Rejected | CallResult::ConnectFailed) {
            let until = now + MIN_AVOIDANCE_MS.max(AVOIDANCE_REQUESTS * 1000.0 / requests_per_s.max(1.0));
            backend.avoided_until.resize(self.settings.plans.len(), now);
            match result {
                CallResult::Rejected => backend.avoided_until[plan] = until,
                _ => backend.avoided_until.fill(until),
            }
        }
        if matches!(result, CallResult::Ok | CallResult::Error) {
            let rate = backend.decayed_error_rate(now, ERROR_RATE_MEMORY_MS);
            let sample = f64::from(u8::from(result == CallResult::Error));
            (backend.error_rate, backend.error_rate_at) = (rate + ERROR_RATE_GAIN * (sample - rate), now);
        }
        match result {
            CallResult::Ok => (backend.failure_points, backend.last_response_at) = (0, now),
            CallResult::Rejected => backend.last_response_at = now,
            // The backend answered other requests meanwhile: this one was expensive.
            CallResult::Timeout if backend.last_response_at > now - took_ms => {}
            CallResult::Error | CallResult::Timeout | CallResult::ConnectFailed | CallResult::Reset => {
                let points = if result == CallResult::Reset { RESET_POINTS } else { FAILURE_POINTS };
                backend.failure_points = backend.failure_points.saturating_add(points);
                if backend.failure_points >= EJECTION_POINTS {
                    let doublings = (backend.failure_points - EJECTION_POINTS) / FAILURE_POINTS;
                    let factor = f64::from(1u32 << doublings.min(5));
                    backend.ejected_until = now + EJECTION_MS * factor * (1.0 + 0.2 * self.rng.f64());
                }
            }
            CallResult::Cancelled | CallResult::NotSent => {}
        }
    }
}
