//! Updates of the list of backends.

use super::tuning::*;
use super::Gateway;
use crate::interface::*;
use crate::state::*;
use crate::subset::subset_rank;

impl Gateway {
    pub(super) fn update_list(&mut self, now: Millis, full: bool, entries: Vec<BackendEntry>) {
        if full {
            for backend in self.backends.values_mut() {
                if !entries.iter().any(|entry| entry.id == backend.listed.id) {
                    backend.listed.state = BackendState::Gone;
                }
            }
        }
        let had_list = !self.backends.is_empty();
        for entry in entries {
            let recent = entry.started > 0.0 && now - entry.started < self.settings.rules.warm_up_ms;
            let started = recent.then_some(entry.started);
            match self.backends.get_mut(&entry.id) {
                Some(backend) => {
                    // A backend that returns may be cold, whatever start time the list gives.
                    let returned =
                        backend.listed.state == BackendState::Gone && entry.state == BackendState::Ready;
                    if returned || entry.started > backend.listed.started {
                        backend.warming_since = started.or(returned.then_some(now));
                        (backend.warm_up_tokens, backend.warm_up_tokens_at) = (self.rng.f64(), now);
                        (backend.failure_points, backend.relative_latency) = (0, 1.0);
                        (backend.error_rate, backend.error_rate_at) = (0.0, now);
                        backend.avoided_until = Vec::new();
                    } else if entry.cold_until > now && backend.listed.cold_until <= now {
                        // Attempts while warm took tokens. Random, as all gateways get the update at once.
                        (backend.warm_up_tokens, backend.warm_up_tokens_at) = (self.rng.f64(), now);
                    }
                    backend.listed = entry;
                }
                None if entry.state != BackendState::Gone || had_list => {
                    let rank = subset_rank(entry.id, self.settings.gateways, self.settings.position);
                    let mut backend = Backend::new(entry, started, now, rank);
                    backend.warm_up_tokens = self.rng.f64();
                    self.backends.insert(backend.listed.id, backend);
                }
                None => {}
            }
        }
        self.backends.retain(|_, b| {
            b.listed.state != BackendState::Gone || b.in_flight > 0 || now - b.latency_at < IDLE_EXPIRY_MS
        });
    }
}
