//! The replicated state: the state machine of the Raft log, of which every process holds a replica. Apart
//! from repairs of a replica that diverged, it changes only by applying log entries in order.

use crate::protocol::{
    Backend, Change, ChangeKind, ConfigRevision, EvacuationEnd, Gateway, IndexedChange, RangeDigest,
    RangeDigests, RejectedUpdate, Repair, StateSnapshot,
};
use crate::rollout::Versions;
use crate::update_outcomes::{RecordedOutcomes, UpdateId, UpdateStatus};
use oakfall::Millis;
use prost::Message;
use siphasher::sip::SipHasher13;
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// Maximum number of backend ids in [`State::deregistered`]. Enough for twice a site's backends to leave
/// within the 30 s in which a late heartbeat may arrive; at most 256 bytes each.
const MAX_DEREGISTERED: usize = 2048;

/// How long the end of a zone's evacuation is remembered; its backends warm up for some seconds after it.
const EVACUATION_END_KEPT_MS: Millis = 60_000.0;

/// A registered backend and its warm-up deadline.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredBackend {
    /// Its registration.
    pub backend: Backend,
    /// When it has warmed up, on the clock of the replica's owner; zero if it is warm.
    pub cold_until: Millis,
}

/// A replica of the state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The index of the last applied change.
    pub index: u64,
    /// The configuration in force.
    pub config: Option<ConfigRevision>,
    /// Zones being evacuated.
    pub evacuated: BTreeSet<String>,
    /// Zones whose evacuation ended recently, and when, on the clock of the replica's owner. Recorded even if
    /// no start was committed: the zone's backends may still be cold.
    pub evacuation_ends: BTreeMap<String, Millis>,
    /// Backends by id.
    pub backends: BTreeMap<String, RegisteredBackend>,
    /// Gateways by machine.
    pub gateways: BTreeMap<String, Gateway>,
    /// Ids of backends that deregistered themselves, the most recent last.
    pub deregistered: VecDeque<String>,
    /// The versions of services, and their roll-outs.
    pub versions: Versions,
    /// The outcomes of configuration updates; only in the replicas of core processes.
    pub update_outcomes: RecordedOutcomes,
}

/// How a configuration update relates to the current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateCheck {
    /// It was accepted, by the change with this index.
    Accepted(u64),
    /// Its outcome is no longer recorded; it may have been accepted.
    Unrecorded,
    /// Its base is the edition in force.
    Applicable,
    /// Its base has not been in force yet.
    Ahead,
    /// Another edition replaced its base; it can't be accepted any more.
    Stale,
    /// Its edition is not above its base.
    NotIncreasing,
}

/// The name of the range that holds the configuration.
const CONFIG_RANGE: &str = "config";
/// The name of the range that holds the evacuated zones.
const EVACUATED_RANGE: &str = "evacuated";

/// The name of the range that holds the versions of services.
const VERSIONS_RANGE: &str = "versions";

/// The name of the range that holds a zone's backends and gateways.
fn zone_range(zone: &str) -> String {
    format!("cell {zone}")
}

/// The hash function of digests, with fixed keys: digests are compared between processes.
pub(crate) fn hasher() -> SipHasher13 {
    SipHasher13::new_with_keys(0x6f61, 0x6b66)
}

/// The digest of a byte string.
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = hasher();
    hasher.write(bytes);
    hasher.finish()
}

/// Minimum interval between two digests computed for a message: each hashes the configuration and all
/// backends, which takes milliseconds with thousands of backends.
const MIN_DIGEST_INTERVAL_MS: Millis = 1000.0;

/// Caches the digest of a replica at its current index.
pub struct DigestCache {
    /// The index and the digest; digest zero if none is cached.
    cached: Cell<(u64, u64)>,
    /// When [`DigestCache::rate_limited`] last computed a digest.
    computed_at: Cell<Millis>,
}

impl Default for DigestCache {
    fn default() -> Self {
        DigestCache { cached: Cell::default(), computed_at: Cell::new(f64::NEG_INFINITY) }
    }
}

impl DigestCache {
    /// The digest of all ranges; never zero.
    pub fn of(&self, state: &State) -> u64 {
        if let Some(digest) = self.cached(state) {
            return digest;
        }
        let digest = digest(&RangeDigests { index: 0, ..state.range_digests() }.encode_to_vec()).max(1);
        self.cached.set((state.index, digest));
        digest
    }

    fn cached(&self, state: &State) -> Option<u64> {
        let (index, digest) = self.cached.get();
        (index == state.index && digest != 0).then_some(digest)
    }

    /// The digest if it is cached or none was computed here within the last second; otherwise zero, which
    /// receivers ignore.
    pub fn rate_limited(&self, now: Millis, state: &State) -> u64 {
        if self.cached(state).is_none() {
            if now - self.computed_at.get() < MIN_DIGEST_INTERVAL_MS {
                return 0;
            }
            self.computed_at.set(now);
        }
        self.of(state)
    }

    /// Drops the cached digest; needed when a replica changes without a new index.
    pub fn invalidate(&self) {
        self.cached.set((0, 0));
    }
}

/// The part of the state that a change affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Touched {
    /// The configuration.
    Config,
    /// Backends, or zones being evacuated.
    Backends,
    /// Gateways.
    Gateways,
    /// The configuration, but its difference does not apply to this replica, which must be repaired.
    Unreadable,
    /// Nothing.
    Nothing,
}

/// What a roll-out's order or step touched: nothing if it was not applied.
fn touched_if(applied: bool) -> Touched {
    if applied {
        Touched::Backends
    } else {
        Touched::Nothing
    }
}

impl State {
    /// Applies the next change. Apart from [`State::repair`], nothing else modifies a replica.
    pub fn apply(&mut self, now: Millis, index: u64, change: Option<&Change>) -> Touched {
        self.index = index;
        match change.and_then(|change| change.kind.as_ref()) {
            Some(ChangeKind::Config(config)) => self.configure(index, config),
            Some(ChangeKind::Rejected(rejected)) => {
                self.update_outcomes.record_rejected(index, rejected);
                Touched::Nothing
            }
            Some(ChangeKind::Evacuated(evacuated)) => {
                if evacuated.on {
                    self.evacuated.insert(evacuated.zone.clone());
                } else {
                    self.evacuated.remove(&evacuated.zone);
                    self.evacuation_ends.retain(|_, at| now - *at < EVACUATION_END_KEPT_MS);
                    self.evacuation_ends.insert(evacuated.zone.clone(), now);
                }
                Touched::Backends
            }
            Some(ChangeKind::Backend(backend)) => {
                let applied = self.backends.get(&backend.id).map_or(0, |known| known.backend.heartbeat_seq);
                if backend.heartbeat_seq < applied {
                    // An old heartbeat, proposed by a leader that had not applied its whole log yet.
                    return Touched::Nothing;
                }
                self.deregistered.retain(|id| *id != backend.id);
                self.admit_version(backend);
                // An address belongs to one backend at a time, so the previous owner is gone.
                self.backends
                    .retain(|id, known| *id == backend.id || known.backend.address != backend.address);
                let cold_until = if backend.cold_ms > 0 { now + backend.cold_ms as f64 } else { 0.0 };
                self.backends
                    .insert(backend.id.clone(), RegisteredBackend { backend: backend.clone(), cold_until });
                Touched::Backends
            }
            Some(ChangeKind::BackendGone(id)) => {
                self.backends.remove(id);
                if change.is_some_and(|change| change.deregistered) {
                    self.deregistered.retain(|other| other != id);
                    self.deregistered.push_back(id.clone());
                    if self.deregistered.len() > MAX_DEREGISTERED {
                        self.deregistered.pop_front();
                    }
                }
                Touched::Backends
            }
            Some(ChangeKind::Gateway(gateway)) => {
                self.gateways.insert(gateway.node.clone(), gateway.clone());
                Touched::Gateways
            }
            Some(ChangeKind::GatewayGone(node)) => {
                self.gateways.remove(node);
                Touched::Gateways
            }
            Some(ChangeKind::Rollout(order)) => touched_if(self.versions.start(now, index, order)),
            Some(ChangeKind::RolloutStep(step)) => touched_if(self.versions.advance(now, index, step)),
            None => Touched::Nothing,
        }
    }

    fn admit_version(&mut self, backend: &Backend) {
        let former = self.backends.get(&backend.id).map(|known| &known.backend);
        let others = self.backends.values().map(|known| &known.backend);
        let others = others.filter(|other| other.service == backend.service && other.id != backend.id);
        self.versions.backend_registered(backend, former, others, self.config.is_some());
    }

    /// The edition of the configuration in force; zero before the first.
    pub fn edition(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.edition)
    }

    /// Accepts or rejects a configuration update by the edition in force, identically on every replica.
    /// Editions only increase, so at most one update is ever accepted on top of each.
    fn configure(&mut self, index: u64, config: &ConfigRevision) -> Touched {
        let current = self.edition();
        // Earlier releases checked the base before they proposed, so their entries are always accepted.
        let based_on = config.based_on.unwrap_or(current);
        if config.based_on.is_some() && (based_on != current || config.edition <= current) {
            if based_on > current {
                let content_digest = config.digests.first().copied().unwrap_or(config.call_digest);
                let rejected = RejectedUpdate { edition: config.edition, based_on, content_digest };
                self.update_outcomes.record_rejected(index, &rejected);
            }
            return Touched::Nothing;
        }
        self.update_outcomes.record_accepted(index, config);
        let text = match &config.difference {
            None => Some(config.text.clone()),
            Some(difference) => self.config.as_ref().and_then(|config| difference.apply(&config.text)),
        };
        let Some(text) = text else {
            log::error!("state: failed to apply r{}: it is a difference from another text", config.edition);
            return Touched::Unreadable;
        };
        let ConfigRevision { edition, call_digest, .. } = *config;
        self.config = Some(ConfigRevision { edition, text, call_digest, ..ConfigRevision::default() });
        Touched::Config
    }

    /// Compares a configuration update with the state. `Accepted`, `Stale` and `NotIncreasing` are final.
    pub fn check_update(&self, update: &UpdateId) -> UpdateCheck {
        match self.update_outcomes.status(update) {
            UpdateStatus::Accepted(index) => UpdateCheck::Accepted(index.unwrap_or(self.index)),
            UpdateStatus::Rejected => UpdateCheck::Stale,
            _ if update.edition <= update.based_on => UpdateCheck::NotIncreasing,
            UpdateStatus::Unrecorded => UpdateCheck::Unrecorded,
            UpdateStatus::NotAccepted => match update.based_on.cmp(&self.edition()) {
                Ordering::Equal => UpdateCheck::Applicable,
                Ordering::Greater => UpdateCheck::Ahead,
                Ordering::Less => UpdateCheck::Stale,
            },
        }
    }

    /// Applies changes in order; skips those that are applied already.
    pub fn apply_all(&mut self, now: Millis, changes: &[IndexedChange]) -> Vec<Touched> {
        let new = changes.iter().filter(|indexed| indexed.index > self.index).collect::<Vec<_>>();
        new.into_iter().map(|indexed| self.apply(now, indexed.index, indexed.change.as_ref())).collect()
    }

    /// A snapshot of the replica. `for_core` adds what only core processes need: the update outcomes and the
    /// deregistered backends.
    pub fn snapshot(&self, now: Millis, for_core: bool) -> StateSnapshot {
        let backend = |known: &RegisteredBackend| {
            let remaining_ms = (known.cold_until - now).max(0.0);
            Backend { cold_ms: remaining_ms.ceil() as u64, ..known.backend.clone() }
        };
        let recent = self.evacuation_ends.iter().filter(|(_, at)| now - **at < EVACUATION_END_KEPT_MS);
        let evacuation_ends =
            recent.map(|(zone, at)| EvacuationEnd { zone: zone.clone(), ago_ms: (now - at).max(0.0) as u64 });
        let mut snapshot = StateSnapshot {
            evacuation_ends: evacuation_ends.collect(),
            index: self.index,
            config: self.config.clone(),
            evacuated: self.evacuated.iter().cloned().collect(),
            backends: self.backends.values().map(backend).collect(),
            gateways: self.gateways.values().cloned().collect(),
            ..StateSnapshot::default()
        };
        if !self.versions.is_empty() {
            snapshot.versions = Some(Box::new(self.versions.record(now)));
        }
        if for_core {
            self.update_outcomes.write(&mut snapshot);
            snapshot.deregistered = self.deregistered.iter().cloned().collect();
        }
        snapshot
    }

    // ---- Anti-entropy: comparing and repairing replicas ---------------------------------------------------

    /// The digests of all ranges that are not empty: the configuration, the evacuated zones, and each zone's
    /// backends and gateways. Not compared: warm-up times, which each replica keeps on its own clock, and
    /// heartbeat sequence numbers.
    pub fn range_digests(&self) -> RangeDigests {
        let mut hashers: BTreeMap<String, SipHasher13> = BTreeMap::new();
        let mut add = |range: String, bytes: &[u8]| {
            let hasher = hashers.entry(range).or_insert_with(hasher);
            hasher.write_usize(bytes.len());
            hasher.write(bytes);
        };
        if let Some(config) = &self.config {
            add(CONFIG_RANGE.to_owned(), &config.encode_to_vec());
        }
        for zone in &self.evacuated {
            add(EVACUATED_RANGE.to_owned(), zone.as_bytes());
        }
        if !self.versions.is_empty() {
            add(VERSIONS_RANGE.to_owned(), &self.versions.comparable_bytes());
        }
        for known in self.backends.values() {
            let compared = Backend { cold_ms: 0, heartbeat_seq: 0, ..known.backend.clone() };
            add(zone_range(&compared.zone), &compared.encode_to_vec());
        }
        for gateway in self.gateways.values() {
            add(zone_range(&gateway.zone), &gateway.encode_to_vec());
        }
        let range = |(name, hasher): (String, SipHasher13)| RangeDigest { name, digest: hasher.finish() };
        RangeDigests { index: self.index, ranges: hashers.into_iter().map(range).collect() }
    }

    /// The ranges in which a replica with these digests differs from this one; none if it is at another index
    /// or does not differ.
    pub fn repair_for(&self, now: Millis, theirs: &RangeDigests) -> Option<Repair> {
        if theirs.index != self.index {
            return None;
        }
        let by_name = |ranges: RangeDigests| -> BTreeMap<String, u64> {
            ranges.ranges.into_iter().map(|range| (range.name, range.digest)).collect()
        };
        let (mine, theirs) = (by_name(self.range_digests()), by_name(theirs.clone()));
        let names: BTreeSet<_> = mine.keys().chain(theirs.keys()).cloned().collect();
        let names: Vec<_> = names.into_iter().filter(|name| mine.get(name) != theirs.get(name)).collect();
        if names.is_empty() {
            return None;
        }
        let wanted = |range: &str| names.iter().any(|name| name == range);
        let mut parts = self.snapshot(now, false);
        parts.config = parts.config.filter(|_| wanted(CONFIG_RANGE));
        parts.evacuated.retain(|_| wanted(EVACUATED_RANGE));
        if !wanted(VERSIONS_RANGE) {
            parts.versions = None;
        }
        parts.backends.retain(|backend| wanted(&zone_range(&backend.zone)));
        parts.gateways.retain(|gateway| wanted(&zone_range(&gateway.zone)));
        Some(Repair { index: self.index, names, parts: Some(Box::new(parts)) })
    }

    /// Replaces the ranges that differed. False if the replica is at another index by now; it is then left
    /// unchanged.
    pub fn repair(&mut self, now: Millis, repair: Repair) -> bool {
        let (true, Some(parts)) = (repair.index == self.index, repair.parts) else { return false };
        let replaced = |range: &str| repair.names.iter().any(|name| name == range);
        let replacement = State::from_snapshot(now, *parts);
        if replaced(CONFIG_RANGE) {
            self.config = replacement.config;
        }
        if replaced(EVACUATED_RANGE) {
            self.evacuated = replacement.evacuated;
        }
        if replaced(VERSIONS_RANGE) {
            self.versions = replacement.versions;
        }
        self.backends.retain(|_, known| !replaced(&zone_range(&known.backend.zone)));
        self.backends.extend(replacement.backends);
        self.gateways.retain(|_, gateway| !replaced(&zone_range(&gateway.zone)));
        self.gateways.extend(replacement.gateways);
        true
    }

    /// A replica restored from a snapshot.
    pub fn from_snapshot(now: Millis, mut snapshot: StateSnapshot) -> Self {
        let update_outcomes = RecordedOutcomes::read(&mut snapshot);
        let versions =
            Versions::from_record(now, snapshot.versions.take().map(|record| *record).unwrap_or_default());
        let known = |backend: Backend| {
            let cold_until = if backend.cold_ms > 0 { now + backend.cold_ms as f64 } else { 0.0 };
            (backend.id.clone(), RegisteredBackend { backend, cold_until })
        };
        let evacuation_ends =
            snapshot.evacuation_ends.into_iter().map(|ended| (ended.zone, now - ended.ago_ms as f64));
        State {
            evacuation_ends: evacuation_ends.collect(),
            index: snapshot.index,
            config: snapshot.config,
            evacuated: snapshot.evacuated.into_iter().collect(),
            backends: snapshot.backends.into_iter().map(known).collect(),
            gateways: snapshot.gateways.into_iter().map(|gateway| (gateway.node.clone(), gateway)).collect(),
            deregistered: snapshot.deregistered.into(),
            versions,
            update_outcomes,
        }
    }
}
