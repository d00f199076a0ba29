//! The list of backends.

use super::tuned::*;
use super::Gateway;
use crate::interface::*;
use crate::lots::lot;
use crate::state::*;

impl Gateway {
    pub(super) fn list(&mut self, now: Millis, full: bool, entries: Vec<BackendEntry>) {
        if full {
            for b in self.backends.values_mut() {
                if !entries.iter().any(|e| e.id == b.listed.id) {
                    b.listed.state = BackendState::Gone;
                }
            }
        }
        let known = !self.backends.is_empty();
        for entry in entries {
            let fresh = entry.started > 0.0 && now - entry.started < self.settings.rules.warm_up_ms;
            let start = fresh.then_some(entry.started);
            match self.backends.get_mut(&entry.id) {
                Some(b) => {
                    // Gone and back, or a new start: it may be cold, whatever the list says of its age.
                    let back = b.listed.state == BackendState::Gone && entry.state == BackendState::Ready;
                    if back || entry.started > b.listed.started {
                        let born = start.or(back.then_some(now));
                        (b.born, b.cold) = (born, (self.rng.f64(), now));
                        (b.failures, b.pace, b.full_until) = (0, 1.0, Vec::new());
                        b.errors = (0.0, now);
                    } else if entry.cold_until > now && b.listed.cold_until <= now {
                        // What it was sent while warm is no debt; all gateways hear of it at once.
                        b.cold = (self.rng.f64(), now);
                    }
                    b.listed = entry;
                }
                None if entry.state != BackendState::Gone || known => {
                    let lot = lot(entry.id, self.settings.gateways, self.settings.position);
                    let mut b = Backend::new(entry, start, now, lot);
                    b.cold.0 = self.rng.f64();
                    self.backends.insert(b.listed.id, b);
                }
                None => {}
            }
        }
        self.backends
            .retain(|_, b| b.listed.state != BackendState::Gone || b.out > 0 || now - b.learned < IDLE_MS);
    }
}
