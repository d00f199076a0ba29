//! Takes over a failed gateway's non-idempotent requests so that each one executes at most once.
//!
//! Each request has a few gateways as its replicas. Before a gateway sends an attempt to a backend, a write
//! quorum of replicas accepts its claim under its term. A gateway that takes a request over first reads a
//! read quorum under a higher term, and sends nothing while an earlier attempt may have run. A claim that too
//! few replicas accepted for a write quorum was never sent and never will be: the replicas that were read
//! accept no claim of an earlier term.
//!
//! Safety depends on no clock, lease or failure detector. A pause of any length between acceptance and
//! sending is harmless: a later reader sees the claim, and a claim made after a later read is rejected.
//!
//! This module does no I/O. [`Replica`] handles [`Message`]s. [`Coordinator`] is the state machine of one
//! request at one gateway: it consumes replies and outcomes and emits [`Action`]s.

mod coordinator;
mod replica;
mod replica_selection;

pub use coordinator::{Action, Coordinator, Failure, Outcome};
pub use replica::{Limits, Replica};
pub use replica_selection::{select_replicas, Candidate};

use std::fmt;
use std::sync::Arc;

/// Request identifier, the same at every gateway.
pub type RequestId = u128;
/// Index of a gateway in the configured list.
pub type GatewayIndex = u32;
/// Identifier of a gateway process, made of the gateway's index and a random number drawn at start. It is
/// never reused, neither after a restart nor by the second process during an upgrade.
pub type ProcessId = u64;

/// Maximum number of attempts of one request over all terms; bounds the size of a record.
pub const MAX_ATTEMPTS: usize = 8;
/// Maximum size of a stored response. A longer response isn't stored and can't be served again.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Orders the claims on a request: a higher term supersedes a lower one. Terms are unique to a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term {
    /// 0 for the first owner; each takeover uses a round above the highest one it has seen.
    pub round: u32,
    /// The process that acts under this term.
    pub process: ProcessId,
}

/// What is known about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptStatus {
    /// It may have been sent to a backend.
    Claimed,
    /// It is proven never to have run. This is final, whichever gateway reports it.
    NeverRan,
}

/// An operation that needs acceptance by a write quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Claim {
    /// Send the attempt with this number, counted from 0 within the term.
    Attempt(u8),
    /// Cancel the request and refund its units.
    Cancel,
}

/// One attempt, identified by term and number. Equal numbers under different terms are different attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// Term under which it was claimed.
    pub term: Term,
    /// Number within the term, from 0.
    pub number: u8,
    /// What is known about it.
    pub status: AttemptStatus,
}

impl Attempt {
    fn has_id(&self, term: Term, number: u8) -> bool {
        (self.term, self.number) == (term, number)
    }
}

/// State of a request at one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// Term of the last read or accepted claim. Claims under any other term are rejected.
    pub promised: Term,
    /// Attempts, ordered by term and number.
    pub attempts: Vec<Attempt>,
    /// Term under which the request was cancelled and its units refunded.
    pub cancelled: Option<Term>,
    /// Response of the backend.
    pub response: Option<Response>,
}

/// Serialized response that can be forwarded again.
pub type Response = Arc<[u8]>;

impl Record {
    /// Merges another replica's record: the highest terms, all attempts, and any response.
    fn merge(&mut self, other: &Record) {
        self.promised = self.promised.max(other.promised);
        for attempt in &other.attempts {
            self.update_attempt(*attempt);
        }
        self.cancelled = self.cancelled.max(other.cancelled);
        self.response = self.response.take().or_else(|| other.response.clone());
    }

    /// Adds an attempt or updates its status. `NeverRan` is never reverted.
    fn update_attempt(&mut self, attempt: Attempt) {
        match self.attempts.iter_mut().find(|known| known.has_id(attempt.term, attempt.number)) {
            Some(known) => known.status = known.status.max(attempt.status),
            None => {
                let position = self.attempts.partition_point(|known| *known < attempt);
                self.attempts.insert(position, attempt);
            }
        }
    }

    /// Whether an attempt was claimed and isn't known never to have run.
    pub fn has_claimed_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status == AttemptStatus::Claimed)
    }
}

/// A message from a gateway to a replica of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Accept this claim.
    Claim {
        /// Term of the claim.
        term: Term,
        /// Claimed operation.
        claim: Claim,
    },
    /// Return the record and reject claims of earlier terms from now on.
    Read {
        /// Term of the reader.
        term: Term,
    },
    /// Return the record without any promise.
    Lookup,
    /// Record that this attempt never ran.
    NeverRan {
        /// Term under which it was claimed.
        term: Term,
        /// Number within the term.
        number: u8,
    },
    /// Store the backend's response.
    KeepResponse {
        /// The response.
        response: Response,
    },
}

/// A replica's reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The claim was accepted.
    Accepted {
        /// Term of the claim.
        term: Term,
        /// Accepted operation.
        claim: Claim,
    },
    /// Rejected: the replica has promised a later term or accepted another process's claim, or the request is
    /// cancelled or has too many attempts.
    Superseded {
        /// Term that the replica has promised.
        by: Term,
    },
    /// The replica's record.
    Record {
        /// Term of the read; none for a lookup.
        term: Option<Term>,
        /// The record.
        record: Record,
    },
    /// The response is stored.
    ResponseKept,
    /// The replica has no vote on the request: it has no record to return, no room, or started too recently.
    NoVote,
}

/// Number of replicas and sizes of the quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Quorum {
    /// Replicas of a request.
    pub replicas: u8,
    /// Replicas that must accept a claim.
    pub write: u8,
    /// Replicas that must be read before a takeover.
    pub read: u8,
}

/// Quorum sizes that don't overlap, so that two gateways could each reach a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumsDoNotOverlap;

impl fmt::Display for QuorumsDoNotOverlap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("write quorums must overlap each other and every read quorum")
    }
}

impl std::error::Error for QuorumsDoNotOverlap {}

impl Quorum {
    /// Checks that write quorums overlap each other and every read quorum.
    pub fn new(replicas: u8, write: u8, read: u8) -> Result<Quorum, QuorumsDoNotOverlap> {
        let (k, w, r) = (u16::from(replicas), u16::from(write), u16::from(read));
        let valid = w <= k && r <= k && w + r > k && 2 * w > k;
        valid.then_some(Quorum { replicas, write, read }).ok_or(QuorumsDoNotOverlap)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quorum_sizes_must_overlap() {
        for (sizes, valid) in [
            ((3, 2, 2), true),
            ((5, 3, 3), true),
            ((5, 4, 2), true),
            ((5, 2, 4), false),
            ((3, 2, 1), false),
            ((3, 1, 3), false),
            ((4, 2, 3), false),
            ((3, 4, 2), false),
            ((0, 0, 0), false),
        ] {
            assert_eq!(Quorum::new(sizes.0, sizes.1, sizes.2).is_ok(), valid, "{sizes:?}");
        }
    }

    #[test]
    fn merging_records_is_commutative() {
        let term = |round| Term { round, process: 1 };
        let attempt = |round, number, status| Attempt { term: term(round), number, status };
        let record = |promised, attempts: &[Attempt], response: Option<&[u8]>| Record {
            promised: term(promised),
            attempts: attempts.to_vec(),
            cancelled: None,
            response: response.map(Into::into),
        };
        let a =
            record(2, &[attempt(0, 0, AttemptStatus::Claimed), attempt(2, 0, AttemptStatus::Claimed)], None);
        let b = record(
            1,
            &[attempt(0, 0, AttemptStatus::NeverRan), attempt(1, 0, AttemptStatus::NeverRan)],
            Some(b"x"),
        );
        let (mut one, mut other) = (a.clone(), b.clone());
        one.merge(&b);
        other.merge(&a);
        assert_eq!(one, other);
        let both = [
            attempt(0, 0, AttemptStatus::NeverRan),
            attempt(1, 0, AttemptStatus::NeverRan),
            attempt(2, 0, AttemptStatus::Claimed),
        ];
        assert_eq!(one, record(2, &both, Some(b"x")));
        assert!(one.has_claimed_attempt() && !b.has_claimed_attempt());
    }
}
