//! The agreed state: what every process of the system holds a copy of. It changes by numbered changes alone.

use crate::ledger::{Ledger, Mark, Standing};
use crate::news::{
    Backend, Change, Configured, Gateway, Kind, Mend, Numbered, Range as Told, Ranges, Refused, TakenBack,
    Whole,
};
use cherrytally::Millis;
use prost::Message;
use siphasher::sip::SipHasher13;
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// Ids of backends that left, the newest: twice as many as a site has backends may leave within the 30 s in which a late
/// beat is looked for, and at 256 bytes at most they take half a MiB.
const LEFT_MOST: usize = 2048;

/// The end of an evacuation is remembered for so long, in ms: backends are cold for some seconds after it.
const TAKEN_BACK_MS: Millis = 60_000.0;

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
    /// Zones whose evacuation ended lately, and when, by the clock of whoever holds the copy. The beginning may never have been
    /// agreed on: their backends may be cold all the same.
    pub taken_back: BTreeMap<String, Millis>,
    /// Backends by id.
    pub backends: BTreeMap<String, Known>,
    /// Gateways by machine.
    pub gateways: BTreeMap<String, Gateway>,
    /// Backends that said that they leave, the latest last.
    pub left: VecDeque<String>,
    /// What came of the operators' orders; in the copies of the core alone.
    pub ledger: Ledger,
}

/// What is to be done with an order, by the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// It was taken, by this change.
    Taken(u64),
    /// It may have been taken long ago: nothing is claimed.
    Forgotten,
    /// It fits: nothing was taken on top of what it builds on.
    Fits,
    /// It builds on a version that was not in force up to now.
    Ahead,
    /// Another version is in place, and it can't be taken any more.
    Late,
    /// Its number is not above the one that it builds on.
    Backward,
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

/// The digest of some bytes: the same in all processes.
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = hasher();
    hasher.write(bytes);
    hasher.finish()
}

/// A digest that is told is reckoned no more often, in ms: it takes all backends and the configuration, some milliseconds at
/// a size of thousands, and a copy that differs is a fault, and rare.
const DIGEST_MS: Millis = 1000.0;

/// The digest of a copy, reckoned once for each of its numbers.
pub struct Digest {
    /// Of which number, and what it is; nought if none is known.
    known: Cell<(u64, u64)>,
    /// When it was last reckoned to be told.
    told: Cell<Millis>,
}

impl Default for Digest {
    fn default() -> Self {
        Digest { known: Cell::default(), told: Cell::new(f64::NEG_INFINITY) }
    }
}

impl Digest {
    /// The digest of all ranges; never nought.
    pub fn of(&self, state: &State) -> u64 {
        if let Some(digest) = self.known(state) {
            return digest;
        }
        let digest = digest(&Ranges { index: 0, ..state.ranges() }.encode_to_vec()).max(1);
        self.known.set((state.index, digest));
        digest
    }

    fn known(&self, state: &State) -> Option<u64> {
        let (index, digest) = self.known.get();
        (index == state.index && digest != 0).then_some(digest)
    }

    /// The same, to be told to others; nought, which tells nothing, where another one was reckoned a moment ago.
    pub fn lately(&self, now: Millis, state: &State) -> u64 {
        if self.known(state).is_none() {
            if now - self.told.get() < DIGEST_MS {
                return 0;
            }
            self.told.set(now);
        }
        self.of(state)
    }

    /// The copy was mended.
    pub fn forget(&self) {
        self.known.set((0, 0));
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
    /// A configuration that can't be read by this copy: it is not what the others have, and is to be mended.
    Unread,
    /// Nothing.
    Nothing,
}

impl State {
    /// Takes in the next change. The one function that changes a copy.
    pub fn apply(&mut self, now: Millis, index: u64, change: Option<&Change>) -> Touched {
        self.index = index;
        match change.and_then(|change| change.kind.as_ref()) {
            Some(Kind::Configured(config)) => self.configure(index, config),
            Some(Kind::Refused(refused)) => {
                self.ledger.refuse(index, refused);
                Touched::Nothing
            }
            Some(Kind::Evacuated(evacuated)) => {
                if evacuated.on {
                    self.evacuated.insert(evacuated.zone.clone());
                } else {
                    self.evacuated.remove(&evacuated.zone);
                    self.taken_back.retain(|_, at| now - *at < TAKEN_BACK_MS);
                    self.taken_back.insert(evacuated.zone.clone(), now);
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

    /// The number of the configuration in force; nought before the first.
    pub fn edition(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.edition)
    }

    /// Takes or refuses an order, by what is in force: the same at every copy. Numbers in force only rise, so that at most
    /// one order is ever taken on top of each.
    fn configure(&mut self, index: u64, config: &Configured) -> Touched {
        let current = self.edition();
        // An earlier program compared before it proposed, and its entries were all taken.
        let based_on = config.based_on.unwrap_or(current);
        if config.based_on.is_some() && (based_on != current || config.edition <= current) {
            if based_on > current {
                let order = config.digests.first().copied().unwrap_or(config.call);
                self.ledger.refuse(index, &Refused { edition: config.edition, based_on, order });
            }
            return Touched::Nothing;
        }
        self.ledger.take(index, config);
        let text = match &config.difference {
            None => Some(config.text.clone()),
            Some(difference) => self.config.as_ref().and_then(|config| difference.applied(&config.text)),
        };
        let Some(text) = text else {
            log::error!("state: what r{} changes can't be read", config.edition);
            return Touched::Unread;
        };
        let Configured { edition, call, .. } = *config;
        self.config = Some(Configured { edition, text, call, ..Configured::default() });
        Touched::Config
    }

    /// What is to be done with an order. What it says of one that was taken, is late or goes backward holds for good.
    pub fn fit(&self, mark: &Mark) -> Fit {
        match self.ledger.standing(mark) {
            Standing::Taken(index) => Fit::Taken(index.unwrap_or(self.index)),
            Standing::Refused => Fit::Late,
            _ if mark.edition <= mark.based_on => Fit::Backward,
            Standing::Forgotten => Fit::Forgotten,
            Standing::Untaken => match mark.based_on.cmp(&self.edition()) {
                Ordering::Equal => Fit::Fits,
                Ordering::Greater => Fit::Ahead,
                Ordering::Less => Fit::Late,
            },
        }
    }

    /// Takes in numbered changes that follow; those that are in it already are passed over.
    pub fn follow(&mut self, now: Millis, changes: &[Numbered]) -> Vec<Touched> {
        let new = changes.iter().filter(|numbered| numbered.index > self.index).collect::<Vec<_>>();
        new.into_iter().map(|numbered| self.apply(now, numbered.index, numbered.change.as_ref())).collect()
    }

    /// The copy as a message. What came of the operators' orders and who left are for the core alone.
    pub fn whole(&self, now: Millis, calls: bool) -> Whole {
        let backend = |known: &Known| {
            let left = (known.cold_until - now).max(0.0);
            Backend { cold_ms: left.ceil() as u64, ..known.backend.clone() }
        };
        let lately = self.taken_back.iter().filter(|(_, at)| now - **at < TAKEN_BACK_MS);
        let taken_back =
            lately.map(|(zone, at)| TakenBack { zone: zone.clone(), ago_ms: (now - at).max(0.0) as u64 });
        let mut whole = Whole {
            taken_back: taken_back.collect(),
            index: self.index,
            config: self.config.clone(),
            evacuated: self.evacuated.iter().cloned().collect(),
            backends: self.backends.values().map(backend).collect(),
            gateways: self.gateways.values().cloned().collect(),
            ..Whole::default()
        };
        if calls {
            self.ledger.write(&mut whole);
            whole.left = self.left.iter().cloned().collect();
        }
        whole
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
    pub fn from_whole(now: Millis, mut whole: Whole) -> Self {
        let ledger = Ledger::read(&mut whole);
        let known = |backend: Backend| {
            let cold_until = if backend.cold_ms > 0 { now + backend.cold_ms as f64 } else { 0.0 };
            (backend.id.clone(), Known { backend, cold_until })
        };
        let taken_back = whole.taken_back.into_iter().map(|of| (of.zone, now - of.ago_ms as f64));
        State {
            taken_back: taken_back.collect(),
            index: whole.index,
            config: whole.config,
            evacuated: whole.evacuated.into_iter().collect(),
            backends: whole.backends.into_iter().map(known).collect(),
            gateways: whole.gateways.into_iter().map(|g| (g.node.clone(), g)).collect(),
            left: whole.left.into(),
            ledger,
        }
    }
}
