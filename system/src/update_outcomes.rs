//! The outcomes of configuration updates, as part of the replicated state. Each update that a log entry
//! accepted or rejected is recorded by its edition and digests, so that any member gives the same answer to a
//! retry.

use crate::protocol::{ConfigRevision, RejectedUpdate, StateSnapshot, UpdateOutcome, UpdateOutcomes};
use std::collections::VecDeque;

/// Maximum number of recorded accepted updates, at about a hundred bytes each. Retries end within seconds and
/// a busy day brings some hundreds of updates; the outcome of an older one is unknown.
pub const MAX_ACCEPTED: usize = 4096;
/// Maximum number of recorded rejected updates; only delayed duplicates look them up, within seconds.
pub const MAX_REJECTED: usize = 256;

/// Identifies a configuration update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateId {
    /// The edition that it sets.
    pub edition: u64,
    /// The edition that it builds on; zero for the first.
    pub based_on: u64,
    /// A digest of its content, independent of JSON formatting.
    pub content_digest: u64,
    /// A digest of the path and the raw bytes of the call, as earlier releases recorded it.
    pub call_digest: u64,
}

/// The recorded outcome of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateStatus {
    /// It was accepted, by the change with this index; none if the index is not recorded.
    Accepted(Option<u64>),
    /// It was rejected.
    Rejected,
    /// Its outcome is no longer recorded; it may have been accepted.
    Unrecorded,
    /// It has not been accepted so far, and may be later.
    NotAccepted,
}

/// The recorded outcomes of configuration updates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordedOutcomes {
    /// In order of edition and index.
    accepted: VecDeque<UpdateOutcome>,
    rejected: VecDeque<UpdateOutcome>,
    /// Updates up to this edition may no longer be recorded.
    dropped_up_to: u64,
    /// Digests of calls that earlier releases accepted.
    legacy_calls: VecDeque<u64>,
}

impl RecordedOutcomes {
    /// The recorded outcome of an update.
    pub fn status(&self, update: &UpdateId) -> UpdateStatus {
        let is_same = |recorded: &&UpdateOutcome| {
            recorded.edition == update.edition
                && (recorded.digests.contains(&update.content_digest)
                    || recorded.digests.contains(&update.call_digest))
        };
        if let Some(accepted) = self.accepted.iter().rev().find(is_same) {
            return UpdateStatus::Accepted(Some(accepted.index));
        }
        if self.legacy_calls.contains(&update.call_digest) {
            return UpdateStatus::Accepted(None);
        }
        if self.rejected.iter().any(|recorded| is_same(&recorded)) {
            return UpdateStatus::Rejected;
        }
        // An accepted update always has an edition above its base.
        let maybe_accepted = update.edition <= self.dropped_up_to && update.based_on < update.edition;
        if maybe_accepted {
            UpdateStatus::Unrecorded
        } else {
            UpdateStatus::NotAccepted
        }
    }

    /// Whether the change with this index accepted an update. Reliable for as long as the log holds the
    /// change.
    pub fn accepted_at(&self, index: u64) -> bool {
        self.accepted.binary_search_by_key(&index, |recorded| recorded.index).is_ok()
    }

    /// Records an update that a change accepted.
    pub fn record_accepted(&mut self, index: u64, config: &ConfigRevision) {
        let digests = config.digests.iter().copied().chain([config.call_digest]).collect();
        self.accepted.push_back(UpdateOutcome { edition: config.edition, index, digests });
        if self.accepted.len() > MAX_ACCEPTED {
            if let Some(first) = self.accepted.pop_front() {
                self.dropped_up_to = self.dropped_up_to.max(first.edition);
                // The calls of earlier releases are older than the update just dropped.
                self.legacy_calls.clear();
            }
        }
    }

    /// Records an update that a change rejected, unless it was accepted before.
    pub fn record_rejected(&mut self, index: u64, rejected: &RejectedUpdate) {
        let update = UpdateId {
            edition: rejected.edition,
            based_on: rejected.based_on,
            content_digest: rejected.content_digest,
            call_digest: rejected.content_digest,
        };
        if self.status(&update) == UpdateStatus::NotAccepted {
            let digests = vec![rejected.content_digest];
            self.rejected.push_back(UpdateOutcome { edition: rejected.edition, index, digests });
            if self.rejected.len() > MAX_REJECTED {
                self.rejected.pop_front();
            }
        }
    }

    /// Writes the outcomes into a snapshot.
    pub fn write(&self, snapshot: &mut StateSnapshot) {
        snapshot.legacy_call_digests = self.legacy_calls.iter().copied().collect();
        snapshot.update_outcomes = Some(Box::new(UpdateOutcomes {
            accepted: self.accepted.iter().cloned().collect(),
            rejected: self.rejected.iter().cloned().collect(),
            dropped_up_to: self.dropped_up_to,
        }));
    }

    /// Takes the outcomes out of a snapshot.
    pub fn read(snapshot: &mut StateSnapshot) -> Self {
        let calls = std::mem::take(&mut snapshot.legacy_call_digests);
        let newest = snapshot.config.as_ref().map_or(0, |config| config.edition);
        // Earlier releases dropped calls without recording up to which edition.
        let may_lack_calls = snapshot.update_outcomes.is_none() && calls.len() >= MAX_ACCEPTED;
        let UpdateOutcomes { accepted, rejected, dropped_up_to } =
            snapshot.update_outcomes.take().map(|outcomes| *outcomes).unwrap_or_default();
        RecordedOutcomes {
            accepted: accepted.into(),
            rejected: rejected.into(),
            dropped_up_to: if may_lack_calls { newest } else { dropped_up_to },
            legacy_calls: calls.into(),
        }
    }
}
