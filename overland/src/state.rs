//! The agreed state: what every process of the system holds a copy of. It changes by numbered changes alone.

use crate::news::{Backend, Change, Configured, Gateway, Kind, Numbered, Whole};
use cherrytally::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Digests of calls that brought configurations, the newest: a call that is repeated later is a new one.
const CALLS_MOST: usize = 4096;

/// A backend, and until when it is cold by the clock of whoever holds the copy.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// What it tells of itself.
    pub backend: Backend,
    /// Until then it is cold.
    pub cold_until: Millis,
}

/// A copy of the agreed state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The number of the last change in it.
    pub index: u64,
    /// The configuration in force.
    pub config: Option<Configured>,
    /// Zones that are emptied.
    pub evacuated: BTreeSet<String>,
    /// Backends by id.
    pub backends: BTreeMap<String, Known>,
    /// Gateways by machine.
    pub gateways: BTreeMap<String, Gateway>,
    /// Digests of the calls that brought configurations.
    pub calls: VecDeque<u64>,
}

/// What a change touched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Touched {
    /// The configuration.
    Config,
    /// Backends or zones.
    Backends,
    /// Gateways.
    Gateways,
    /// Nothing.
    Nothing,
}

impl State {
    /// Takes in the next change. The one function that changes a copy.
    pub fn apply(&mut self, now: Millis, index: u64, change: Option<&Change>) -> Touched {
        self.index = index;
        match change.and_then(|change| change.kind.as_ref()) {
            Some(Kind::Configured(config)) => {
                self.calls.push_back(config.call);
                if self.calls.len() > CALLS_MOST {
                    self.calls.pop_front();
                }
                self.config = Some(config.clone());
                Touched::Config
            }
            Some(Kind::Evacuated(evacuated)) => {
                if evacuated.on {
                    self.evacuated.insert(evacuated.zone.clone());
                } else {
                    self.evacuated.remove(&evacuated.zone);
                }
                Touched::Backends
            }
            Some(Kind::Backend(backend)) => {
                // Whoever had the address before is gone: an address has one life at a time.
                self.backends
                    .retain(|id, known| *id == backend.id || known.backend.address != backend.address);
                let cold_until = if backend.cold_ms > 0 { now + backend.cold_ms as f64 } else { 0.0 };
                self.backends.insert(backend.id.clone(), Known { backend: backend.clone(), cold_until });
                Touched::Backends
            }
            Some(Kind::BackendGone(id)) => {
                self.backends.remove(id);
                Touched::Backends
            }
            Some(Kind::Gateway(gateway)) => {
                self.gateways.insert(gateway.node.clone(), gateway.clone());
                Touched::Gateways
            }
            Some(Kind::GatewayGone(node)) => {
                self.gateways.remove(node);
                Touched::Gateways
            }
            None => Touched::Nothing,
        }
    }

    /// Takes in numbered changes that follow; those that are in it already are passed over.
    pub fn follow(&mut self, now: Millis, changes: &[Numbered]) -> Vec<Touched> {
        let new = changes.iter().filter(|numbered| numbered.index > self.index).collect::<Vec<_>>();
        new.into_iter().map(|numbered| self.apply(now, numbered.index, numbered.change.as_ref())).collect()
    }

    /// The copy as a message. The calls of operators are for the core alone.
    pub fn whole(&self, now: Millis, calls: bool) -> Whole {
        let backend = |known: &Known| {
            let left = (known.cold_until - now).max(0.0);
            Backend { cold_ms: left.ceil() as u64, ..known.backend.clone() }
        };
        Whole {
            index: self.index,
            config: self.config.clone(),
            evacuated: self.evacuated.iter().cloned().collect(),
            backends: self.backends.values().map(backend).collect(),
            gateways: self.gateways.values().cloned().collect(),
            calls: if calls { self.calls.iter().copied().collect() } else { Vec::new() },
        }
    }

    /// A copy from a message.
    pub fn from_whole(now: Millis, whole: Whole) -> Self {
        let known = |backend: Backend| {
            let cold_until = if backend.cold_ms > 0 { now + backend.cold_ms as f64 } else { 0.0 };
            (backend.id.clone(), Known { backend, cold_until })
        };
        State {
            index: whole.index,
            config: whole.config,
            evacuated: whole.evacuated.into_iter().collect(),
            backends: whole.backends.into_iter().map(known).collect(),
            gateways: whole.gateways.into_iter().map(|g| (g.node.clone(), g)).collect(),
            calls: whole.calls.into(),
        }
    }
}
