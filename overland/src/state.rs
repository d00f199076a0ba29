//! The agreed state: what every process of the system holds a copy of. It changes by numbered changes alone.

use crate::news::{Backend, Change, Configured, Gateway, Kind, Mend, Numbered, Range as Told, Ranges, Whole};
use cherrytally::Millis;
use prost::Message;
use siphasher::sip::SipHasher13;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// Digests of calls that brought configurations, the newest: a call that is repeated later is a new one.
const CALLS_MOST: usize = 4096;

/// Ids of backends that left, the newest: twice as many as a site has backends may leave within the 30 s in which a late
/// beat is looked for, and at 256 bytes at most they take half a MiB.
const LEFT_MOST: usize = 2048;

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
    /// Backends that said that they leave, the latest last.
    pub left: VecDeque<String>,
}

/// The range of the configuration.
const CONFIG: &str = "config";
/// The range of zones that are emptied.
const EVACUATED: &str = "evacuated";

/// The range of a zone's backends and gateways.
fn cell(zone: &str) -> String {
    format!("cell {zone}")
}

/// What digests are made with: the same in all processes.
pub(crate) fn hasher() -> SipHasher13 {
    SipHasher13::new_with_keys(0x6f61, 0x6b66)
}

/// The digest of a copy, reckoned once for each of its numbers.
#[derive(Default)]
pub struct Digest(Cell<(u64, u64)>);

impl Digest {
    /// The digest of all ranges; never nought.
    pub fn of(&self, state: &State) -> u64 {
        let (index, digest) = self.0.get();
        if index == state.index && digest != 0 {
            return digest;
        }
        let mut hasher = hasher();
        hasher.write(&Ranges { index: 0, ..state.ranges() }.encode_to_vec());
        let digest = hasher.finish().max(1);
        self.0.set((state.index, digest));
        digest
    }

    /// The copy was mended.
    pub fn forget(&self) {
        self.0.set((0, 0));
    }
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
                let known = self.backends.get(&backend.id).map_or(0, |known| known.backend.postmark);
                if backend.postmark < known {
                    // A leader took it that had not applied all of its log yet.
                    return Touched::Nothing;
                }
                self.left.retain(|id| *id != backend.id);
                // Whoever had the address before is gone: an address has one life at a time.
                self.backends
                    .retain(|id, known| *id == backend.id || known.backend.address != backend.address);
                let cold_until = if backend.cold_ms > 0 { now + backend.cold_ms as f64 } else { 0.0 };
                self.backends.insert(backend.id.clone(), Known { backend: backend.clone(), cold_until });
                Touched::Backends
            }
            Some(Kind::BackendGone(id)) => {
                self.backends.remove(id);
                if change.is_some_and(|change| change.left) {
                    self.left.retain(|left| left != id);
                    self.left.push_back(id.clone());
                    if self.left.len() > LEFT_MOST {
                        self.left.pop_front();
                    }
                }
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

    /// The copy as a message. The calls of operators and who left are for the core alone.
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
            left: if calls { self.left.iter().cloned().collect() } else { Vec::new() },
        }
    }

    // ---- Comparing copies ---------------------------------------------------------------------------------------

    /// The digests of all ranges that hold something: the configuration, the zones that are emptied, and each zone's cell
    /// of backends and gateways. How long a backend stays cold is reckoned by each copy for itself and is no part of it.
    pub fn ranges(&self) -> Ranges {
        let mut hashers: BTreeMap<String, SipHasher13> = BTreeMap::new();
        let mut add = |range: String, what: &[u8]| {
            let hasher = hashers.entry(range).or_insert_with(hasher);
            hasher.write_usize(what.len());
            hasher.write(what);
        };
        if let Some(config) = &self.config {
            add(CONFIG.to_owned(), &config.encode_to_vec());
        }
        for zone in &self.evacuated {
            add(EVACUATED.to_owned(), zone.as_bytes());
        }
        for known in self.backends.values() {
            let lasting = Backend { cold_ms: 0, postmark: 0, ..known.backend.clone() };
            add(cell(&lasting.zone), &lasting.encode_to_vec());
        }
        for gateway in self.gateways.values() {
            add(cell(&gateway.zone), &gateway.encode_to_vec());
        }
        let told = |(name, hasher): (String, SipHasher13)| Told { name, digest: hasher.finish() };
        Ranges { index: self.index, ranges: hashers.into_iter().map(told).collect() }
    }

    /// What another copy with the same number lacks or has otherwise; none where it has another number, or the same in
    /// all ranges.
    pub fn mend_for(&self, now: Millis, theirs: &Ranges) -> Option<Mend> {
        if theirs.index != self.index {
            return None;
        }
        let by_name = |ranges: Ranges| -> BTreeMap<String, u64> {
            ranges.ranges.into_iter().map(|range| (range.name, range.digest)).collect()
        };
        let (mine, theirs) = (by_name(self.ranges()), by_name(theirs.clone()));
        let names: BTreeSet<_> = mine.keys().chain(theirs.keys()).cloned().collect();
        let names: Vec<_> = names.into_iter().filter(|name| mine.get(name) != theirs.get(name)).collect();
        if names.is_empty() {
            return None;
        }
        let wanted = |range: &str| names.iter().any(|name| name == range);
        let mut parts = self.whole(now, false);
        parts.config = parts.config.filter(|_| wanted(CONFIG));
        parts.evacuated.retain(|_| wanted(EVACUATED));
        parts.backends.retain(|backend| wanted(&cell(&backend.zone)));
        parts.gateways.retain(|gateway| wanted(&cell(&gateway.zone)));
        Some(Mend { index: self.index, names, parts: Some(parts) })
    }

    /// Replaces ranges of a copy that differed. False where it is of another number by now: nothing is touched then.
    pub fn mend(&mut self, now: Millis, mend: Mend) -> bool {
        let (true, Some(parts)) = (mend.index == self.index, mend.parts) else { return false };
        let mended = |range: &str| mend.names.iter().any(|name| name == range);
        let other = State::from_whole(now, parts);
        if mended(CONFIG) {
            self.config = other.config;
        }
        if mended(EVACUATED) {
            self.evacuated = other.evacuated;
        }
        self.backends.retain(|_, known| !mended(&cell(&known.backend.zone)));
        self.backends.extend(other.backends);
        self.gateways.retain(|_, gateway| !mended(&cell(&gateway.zone)));
        self.gateways.extend(other.gateways);
        true
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
            left: whole.left.into(),
        }
    }
}
