//! What members of the core write to each other.

use prost::{Message, Oneof};

/// What this program reads in entries: 1, a configuration as its difference from the one that it builds on. Earlier
/// programs tell nought.
pub const READS: u32 = 1;

/// An entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Its number, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that wrote it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The change, as whoever applies it reads it. Empty in entries of the agreement's own.
    #[prost(bytes = "vec", tag = "3")]
    pub data: Vec<u8>,
    /// The members from here on, where they change.
    #[prost(string, repeated, tag = "4")]
    pub new_members: Vec<String>,
    /// The members that are to come after the present ones: from here on majorities of both count.
    #[prost(string, repeated, tag = "5")]
    pub next_members: Vec<String>,
}

impl Entry {
    pub(super) fn data(term: u64, index: u64, data: Vec<u8>) -> Self {
        Entry { index, term, data, ..Entry::default() }
    }

    pub(super) fn empty(term: u64, index: u64) -> Self {
        Entry::data(term, index, Vec::new())
    }

    pub(super) fn of_members(term: u64, index: u64, new_members: Vec<String>) -> Self {
        Entry { index, term, new_members, ..Entry::default() }
    }

    pub(super) fn of_next_members(term: u64, index: u64, next_members: Vec<String>) -> Self {
        Entry { index, term, next_members, ..Entry::default() }
    }

    pub(super) fn members(&self) -> Option<&[String]> {
        (!self.new_members.is_empty()).then_some(&self.new_members[..])
    }

    pub(super) fn next(&self) -> Option<&[String]> {
        (!self.next_members.is_empty()).then_some(&self.next_members[..])
    }
}

/// A letter.
#[derive(Clone, PartialEq, Message)]
pub struct Letter {
    /// What it says.
    #[prost(oneof = "Say", tags = "1, 2, 3, 4, 5, 6, 11, 12")]
    pub say: Option<Say>,
}

/// What a letter says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Say {
    /// Would you vote for me, or: do.
    #[prost(message, tag = "1")]
    VoteAsk(VoteAsk),
    /// The answer.
    #[prost(message, tag = "2")]
    Vote(Vote),
    /// Entries, or a sign of life.
    #[prost(message, tag = "3")]
    Append(Append),
    /// The answer.
    #[prost(message, tag = "4")]
    Appended(Appended),
    /// A state, where the log no longer reaches back.
    #[prost(message, tag = "5")]
    Install(Install),
    /// The leader of this term names its successor.
    #[prost(uint64, tag = "6")]
    Succeed(u64),
    /// A piece of a state that is too long for one letter.
    #[prost(message, tag = "11")]
    Piece(Piece),
    /// The answer.
    #[prost(message, tag = "12")]
    Took(Took),
}

/// Asks for a vote.
#[derive(Clone, PartialEq, Message)]
pub struct VoteAsk {
    /// The term to lead in.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The number of one's last entry.
    #[prost(uint64, tag = "2")]
    pub last: u64,
    /// Its term.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Only whether.
    #[prost(bool, tag = "4")]
    pub pre: bool,
    /// The leader named the one who asks.
    #[prost(bool, tag = "5")]
    pub named: bool,
}

/// A vote.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    /// The term that was asked for, or one's own where it is refused.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Yes.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Only whether.
    #[prost(bool, tag = "3")]
    pub pre: bool,
}

/// Entries of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Append {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The number before the first entry.
    #[prost(uint64, tag = "2")]
    pub prev: u64,
    /// Its term.
    #[prost(uint64, tag = "3")]
    pub prev_term: u64,
    /// The entries.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<Entry>,
    /// The number of the last entry that is agreed on.
    #[prost(uint64, tag = "5")]
    pub commit: u64,
    /// Who holds all this has forgotten nothing: its word counts.
    #[prost(bool, tag = "6")]
    pub counts: bool,
    /// When it was sent, by the leader's clock, in ms.
    #[prost(double, tag = "7")]
    pub at: f64,
    /// Who hears this and is told to end may: nobody needs it any more.
    #[prost(bool, tag = "8")]
    pub released: bool,
    /// How long ago the leader last heard who is sent this, in ms. Earlier programs tell nought.
    #[prost(double, tag = "9")]
    pub unheard_ms: f64,
}

/// The answer to entries or a state.
#[derive(Clone, PartialEq, Message)]
pub struct Appended {
    /// The term of who answers.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Taken, and on disk.
    #[prost(bool, tag = "2")]
    pub ok: bool,
    /// The log is the leader's up to this number; where it was not taken, up to here it may be.
    #[prost(uint64, tag = "3")]
    pub matched: u64,
    /// Its word counts.
    #[prost(bool, tag = "4")]
    pub counts: bool,
    /// When what it answers was sent, by the leader's clock.
    #[prost(double, tag = "5")]
    pub at: f64,
    /// It is told to end, and asks whether it is needed.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// How many gateways' agents it hears. Earlier programs tell nought.
    #[prost(uint32, tag = "7")]
    pub reach: u32,
    /// What it reads in entries: [`READS`].
    #[prost(uint32, tag = "8")]
    pub reads: u32,
}

/// A state.
#[derive(Clone, PartialEq, Message)]
pub struct Install {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The number of the last entry in it.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Its term.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// The members then.
    #[prost(string, repeated, tag = "4")]
    pub members: Vec<String>,
    /// The state.
    #[prost(bytes = "vec", tag = "5")]
    pub state: Vec<u8>,
    /// When it was sent, by the leader's clock, in ms.
    #[prost(double, tag = "6")]
    pub at: f64,
    /// The digest of number, term, members and state; none in those of earlier programs.
    #[prost(fixed64, optional, tag = "7")]
    pub digest: Option<u64>,
}

/// A piece of a state.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The number of the last entry in the state.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Its term.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// The members then; in the first piece alone.
    #[prost(string, repeated, tag = "4")]
    pub members: Vec<String>,
    /// The bytes of the whole state.
    #[prost(uint64, tag = "5")]
    pub total: u64,
    /// The digest of number, term, members and state.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// Where in the state this piece begins.
    #[prost(uint64, tag = "7")]
    pub offset: u64,
    /// The piece.
    #[prost(bytes = "vec", tag = "8")]
    pub bytes: Vec<u8>,
    /// When it was sent, by the leader's clock, in ms.
    #[prost(double, tag = "9")]
    pub at: f64,
}

/// The answer to a piece.
#[derive(Clone, PartialEq, Message)]
pub struct Took {
    /// The term of who answers.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The number of the state that the piece is of.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Its digest.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Where the next piece is to begin.
    #[prost(uint64, tag = "4")]
    pub wanted: u64,
    /// The whole came and can't be read: it is not wanted again soon.
    #[prost(bool, tag = "5")]
    pub refused: bool,
    /// Its word counts.
    #[prost(bool, tag = "6")]
    pub counts: bool,
    /// When what it answers was sent, by the leader's clock.
    #[prost(double, tag = "7")]
    pub at: f64,
}
