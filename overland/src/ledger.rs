//! The outcomes of configuration updates, as part of the replicated state. Each update that a log entry
//! accepted or rejected is recorded by its edition and digests, so that any member gives the same answer to a
//! retry.

use crate::news::{Configured, Ordered, Orders, Refused, Whole};
use std::collections::VecDeque;

/// Most accepted updates that are recorded, at about a hundred bytes each. Retries end within seconds and a
/// busy day brings some hundreds of updates; the outcome of an older one is unknown.
pub const TAKEN_MOST: usize = 4096;
/// Most rejected updates that are recorded; only copies still in flight ask for them, within seconds.
pub const REFUSED_MOST: usize = 256;

/// Identifies a configuration update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// The edition that it sets.
    pub edition: u64,
    /// The edition that it builds on; zero for the first.
    pub based_on: u64,
    /// A digest of its content, independent of JSON formatting.
    pub order: u64,
    /// A digest of the path and the raw bytes of the call, as earlier releases recorded it.
    pub call: u64,
}

/// The recorded outcome of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It was accepted, by the change with this index; none if the index is not recorded.
    Taken(Option<u64>),
    /// It was rejected.
    Refused,
    /// Its outcome is no longer recorded; it may have been accepted.
    Forgotten,
    /// It was never accepted, and may still be.
    Untaken,
}

/// The recorded outcomes of configuration updates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// In order of edition and index.
    accepted: VecDeque<Ordered>,
    rejected: VecDeque<Ordered>,
    /// Updates up to this edition may no longer be recorded.
    forgotten: u64,
    /// Digests of calls that earlier releases accepted.
    legacy_calls: VecDeque<u64>,
}

impl Ledger {
    /// The recorded outcome of an update.
    pub fn standing(&self, mark: &Mark) -> Standing {
        let is_same = |recorded: &&Ordered| {
            recorded.edition == mark.edition
                && (recorded.digests.contains(&mark.order) || recorded.digests.contains(&mark.call))
        };
        if let Some(accepted) = self.accepted.iter().rev().find(is_same) {
            return Standing::Taken(Some(accepted.index));
        }
        if self.legacy_calls.contains(&mark.call) {
            return Standing::Taken(None);
        }
        if self.rejected.iter().any(|recorded| is_same(&recorded)) {
            return Standing::Refused;
        }
        // An accepted update always has an edition above its base.
        let maybe_accepted = mark.edition <= self.forgotten && mark.based_on < mark.edition;
        if maybe_accepted {
            Standing::Forgotten
        } else {
            Standing::Untaken
        }
    }

    /// Whether the change with this index accepted an update. Reliable for as long as the log holds the
    /// change.
    pub fn took(&self, index: u64) -> bool {
        self.accepted.binary_search_by_key(&index, |recorded| recorded.index).is_ok()
    }

    /// Records an update that a change accepted.
    pub fn take(&mut self, index: u64, config: &Configured) {
        let digests = config.digests.iter().copied().chain([config.call]).collect();
        self.accepted.push_back(Ordered { edition: config.edition, index, digests });
        if self.accepted.len() > TAKEN_MOST {
            if let Some(first) = self.accepted.pop_front() {
                self.forgotten = self.forgotten.max(first.edition);
                // Those are older than the one just dropped.
                self.legacy_calls.clear();
            }
        }
    }

    /// Records an update that a change rejected, unless it was accepted before.
    pub fn refuse(&mut self, index: u64, refused: &Refused) {
        let mark = Mark {
            edition: refused.edition,
            based_on: refused.based_on,
            order: refused.order,
            call: refused.order,
        };
        if self.standing(&mark) == Standing::Untaken {
            let digests = vec![refused.order];
            self.rejected.push_back(Ordered { edition: refused.edition, index, digests });
            if self.rejected.len() > REFUSED_MOST {
                self.rejected.pop_front();
            }
        }
    }

    /// Writes the ledger into a snapshot.
    pub fn write(&self, whole: &mut Whole) {
        whole.calls = self.legacy_calls.iter().copied().collect();
        whole.orders = Some(Box::new(Orders {
            taken: self.accepted.iter().cloned().collect(),
            refused: self.rejected.iter().cloned().collect(),
            forgotten: self.forgotten,
        }));
    }

    /// Takes the ledger out of a snapshot.
    pub fn read(whole: &mut Whole) -> Self {
        let calls = std::mem::take(&mut whole.calls);
        let newest = whole.config.as_ref().map_or(0, |config| config.edition);
        // Earlier releases dropped calls without recording up to which edition.
        let may_lack_calls = whole.orders.is_none() && calls.len() >= TAKEN_MOST;
        let Orders { taken, refused, forgotten } =
            whole.orders.take().map(|orders| *orders).unwrap_or_default();
        Ledger {
            accepted: taken.into(),
            rejected: refused.into(),
            forgotten: if may_lack_calls { newest } else { forgotten },
            legacy_calls: calls.into(),
        }
    }
}
