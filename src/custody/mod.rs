//! Custody of work: what a lost gateway had in hand, another takes over, once.
//!
//! For each request a few gateways are its *keepers*. Before an attempt of an unsafe request is written to a server, a
//! quorum of them has accepted that this gateway, under this term, makes it. A gateway that takes a request over first
//! reads a quorum under a higher term: where an attempt may be out it sends no other. What so few accepted that no quorum
//! can have is known never to have been written, and never will be: those who were read accept nothing earlier. Neither clocks nor leases nor a
//! detector of failures have a part in this, and a pause of any length between the acceptance and the write is
//! harmless: whoever reads later sees the claim, and whoever claims after a later reading is turned down.
//!
//! Nothing here does input or output. [`Keeper`] answers [`Message`]s; [`Custodian`] is one request at the gateway that
//! has it, told replies and outcomes and asked what to do by [`Action`]s.

mod custodian;
mod keeper;
mod keepers;

pub use custodian::{Action, Custodian, End, Outcome};
pub use keeper::{Keeper, Limits};
pub use keepers::{keepers, Candidate};

use std::fmt;
use std::sync::Arc;

/// A request's number, the same at whichever gateway it is asked for.
pub type WorkId = u128;
/// A gateway of the configured ones, by its place.
pub type Member = u32;
/// A gateway's process. No other one ever has the same, not even the next one of the same gateway or the one beside it
/// during an upgrade: its place and a number drawn at its start.
pub type Holder = u64;

/// Attempts of one request at most, over all terms: a record is bounded.
pub const ATTEMPTS_MOST: usize = 8;
/// Bytes of an answer that are kept at most; a longer one can't be had a second time.
pub const ANSWER_MOST: usize = 64 * 1024;

/// The right to make attempts. Of two, the later one holds; no two processes ever have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term {
    /// 0 for whoever has a request first; each taker's is higher than any it has heard of.
    pub round: u32,
    /// Who has it.
    pub holder: Holder,
}

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fate {
    /// Somebody may have written it.
    Claimed,
    /// Its outcome proves that it never ran. A fact that holds for ever, whoever tells it.
    NeverRan,
}

/// What keepers accept once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Claim {
    /// To write this attempt of the term, counted from 0.
    Attempt(u8),
    /// To give the request up and refund its units.
    Settle,
}

/// One attempt: its number among those of its term, and what is known of it. Two that were claimed under different
/// terms are different attempts, so that what is told of one is never taken for the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The term under which it was claimed.
    pub term: Term,
    /// Its number, from 0 in each term.
    pub number: u8,
    /// What is known of it.
    pub fate: Fate,
}

impl Attempt {
    fn is(&self, term: Term, number: u8) -> bool {
        (self.term, self.number) == (term, number)
    }
}

/// What one keeper holds of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// No claim under an earlier term is accepted any more.
    pub promised: Term,
    /// Attempts, in order of term and number.
    pub attempts: Vec<Attempt>,
    /// Under which term its units were refunded.
    pub settled: Option<Term>,
    /// The answer that a server made.
    pub answer: Option<Answer>,
}

/// An answer, as bytes that can be passed on again.
pub type Answer = Arc<[u8]>;

impl Record {
    /// Adds what another keeper holds: the worst that is known of claims, all that is known of facts.
    fn merge(&mut self, other: &Record) {
        self.promised = self.promised.max(other.promised);
        for attempt in &other.attempts {
            self.note(*attempt);
        }
        self.settled = self.settled.max(other.settled);
        self.answer = self.answer.take().or_else(|| other.answer.clone());
    }

    /// Adds what is known of an attempt. A fact stays.
    fn note(&mut self, attempt: Attempt) {
        match self.attempts.iter_mut().find(|known| known.is(attempt.term, attempt.number)) {
            Some(known) => known.fate = known.fate.max(attempt.fate),
            None => {
                let place = self.attempts.partition_point(|known| *known < attempt);
                self.attempts.insert(place, attempt);
            }
        }
    }

    /// Whether somebody claimed an attempt of which nothing more is known.
    pub fn claimed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.fate == Fate::Claimed)
    }
}

/// From whoever has a request to one of its keepers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Accept this under the term.
    Claim {
        /// The term.
        term: Term,
        /// What is claimed.
        claim: Claim,
    },
    /// Tell all that is held, and accept nothing under an earlier term from now on.
    Read {
        /// The term.
        term: Term,
    },
    /// Tell all that is held; nothing is promised.
    Look,
    /// This attempt never ran.
    NeverRan {
        /// The term under which it was claimed.
        term: Term,
        /// Its number.
        number: u8,
    },
    /// A server has made this answer.
    Keep {
        /// The answer.
        answer: Answer,
    },
}

/// A keeper's word.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The claim is accepted.
    Accepted {
        /// Under this term.
        term: Term,
        /// What.
        claim: Claim,
    },
    /// A later term holds, or somebody else was first: nothing was accepted.
    Superseded {
        /// The term that holds.
        by: Term,
    },
    /// All that is held; read under this term, or none for a look.
    Held {
        /// The term.
        term: Option<Term>,
        /// The record.
        record: Record,
    },
    /// The answer is kept.
    Kept,
    /// This keeper has no vote on the request: it started after it, or has no room.
    Absent,
}

/// How many keepers there are and how many of them have to agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Quorum {
    /// Keepers of a request.
    pub keepers: u8,
    /// So many accept a claim.
    pub write: u8,
    /// So many are read before a request is taken over.
    pub read: u8,
}

/// Sizes that do not overlap would let two gateways each have its quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoOverlap;

impl fmt::Display for NoOverlap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("those who accept and those who are read must overlap, and so must two that accept")
    }
}

impl std::error::Error for NoOverlap {}

impl Quorum {
    /// Two that accept overlap, and each reading overlaps each acceptance.
    pub fn new(keepers: u8, write: u8, read: u8) -> Result<Quorum, NoOverlap> {
        let (k, w, r) = (u16::from(keepers), u16::from(write), u16::from(read));
        let whole = w <= k && r <= k && w + r > k && 2 * w > k;
        whole.then_some(Quorum { keepers, write, read }).ok_or(NoOverlap)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quorums_overlap() {
        for (sizes, whole) in [
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
            assert_eq!(Quorum::new(sizes.0, sizes.1, sizes.2).is_ok(), whole, "{sizes:?}");
        }
    }

    #[test]
    fn records_add_up_in_any_order() {
        let term = |round| Term { round, holder: 1 };
        let attempt = |round, number, fate| Attempt { term: term(round), number, fate };
        let record = |promised, attempts: &[Attempt], answer: Option<&[u8]>| Record {
            promised: term(promised),
            attempts: attempts.to_vec(),
            settled: None,
            answer: answer.map(Into::into),
        };
        let a = record(2, &[attempt(0, 0, Fate::Claimed), attempt(2, 0, Fate::Claimed)], None);
        let b = record(1, &[attempt(0, 0, Fate::NeverRan), attempt(1, 0, Fate::NeverRan)], Some(b"x"));
        let (mut one, mut other) = (a.clone(), b.clone());
        one.merge(&b);
        other.merge(&a);
        assert_eq!(one, other);
        let both =
            [attempt(0, 0, Fate::NeverRan), attempt(1, 0, Fate::NeverRan), attempt(2, 0, Fate::Claimed)];
        assert_eq!(one, record(2, &both, Some(b"x")));
        assert!(one.claimed() && !b.claimed());
    }
}
