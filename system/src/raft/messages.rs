//! Raft messages between core members, and the entries of the log.

use prost::{Message, Oneof};

/// The newest entry format that this release reads. Version 1 adds configurations stored as a difference from
/// the previous one. Earlier releases report 0.
pub const MAX_ENTRY_VERSION: u32 = 1;

/// A log entry. At most one of `data`, `final_members` and `incoming_members` is set; a leader's first entry
/// has none.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Log index, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The encoded command for the state machine; empty in entries that only Raft uses.
    #[prost(bytes = "vec", tag = "3")]
    pub data: Vec<u8>,
    /// If set, the members from this entry on (`C_new` of joint consensus).
    #[prost(string, repeated, tag = "4")]
    pub final_members: Vec<String>,
    /// If set, starts joint consensus: from this entry on, quorums need a majority of the current members and
    /// of these.
    #[prost(string, repeated, tag = "5")]
    pub incoming_members: Vec<String>,
}

impl Entry {
    pub(super) fn data(term: u64, index: u64, data: Vec<u8>) -> Self {
        Entry { index, term, data, ..Entry::default() }
    }

    pub(super) fn empty(term: u64, index: u64) -> Self {
        Entry::data(term, index, Vec::new())
    }

    pub(super) fn with_final_members(term: u64, index: u64, final_members: Vec<String>) -> Self {
        Entry { index, term, final_members, ..Entry::default() }
    }

    pub(super) fn with_incoming_members(term: u64, index: u64, incoming_members: Vec<String>) -> Self {
        Entry { index, term, incoming_members, ..Entry::default() }
    }

    pub(super) fn final_members(&self) -> Option<&[String]> {
        (!self.final_members.is_empty()).then_some(&self.final_members[..])
    }

    pub(super) fn incoming_members(&self) -> Option<&[String]> {
        (!self.incoming_members.is_empty()).then_some(&self.incoming_members[..])
    }

    pub(super) fn changes_membership(&self) -> bool {
        self.final_members().is_some() || self.incoming_members().is_some()
    }
}

/// A Raft message as it is sent between members.
#[derive(Clone, PartialEq, Message)]
pub struct RaftMessage {
    /// Unset if a newer release sent a kind of message that this one does not know.
    #[prost(oneof = "RaftPayload", tags = "1, 2, 3, 4, 5, 6, 11, 12")]
    pub payload: Option<RaftPayload>,
}

/// The payload of a Raft message.
#[derive(Clone, PartialEq, Oneof)]
pub enum RaftPayload {
    /// Requests a vote or a pre-vote.
    #[prost(message, tag = "1")]
    VoteRequest(VoteRequest),
    /// Answers a vote request.
    #[prost(message, tag = "2")]
    VoteResponse(VoteResponse),
    /// Replicates entries; without entries, a heartbeat.
    #[prost(message, tag = "3")]
    AppendEntries(AppendEntries),
    /// Answers `AppendEntries`, and a snapshot once it is installed.
    #[prost(message, tag = "4")]
    AppendResponse(AppendResponse),
    /// A snapshot that fits one chunk, for a follower that lacks entries no longer retained.
    #[prost(message, tag = "5")]
    InstallSnapshot(InstallSnapshot),
    /// Leadership transfer: the leader of this term asks the receiver to start an election at once.
    #[prost(uint64, tag = "6")]
    TimeoutNow(u64),
    /// One of several chunks of a snapshot.
    #[prost(message, tag = "11")]
    SnapshotChunk(SnapshotChunk),
    /// Answers a chunk that does not complete the snapshot.
    #[prost(message, tag = "12")]
    ChunkResponse(ChunkResponse),
}

/// A request for a vote or a pre-vote.
#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    /// The term to lead in.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// This is a pre-vote: granting it changes nothing at the voter.
    #[prost(bool, tag = "4")]
    pub pre_vote: bool,
    /// The leader chose the candidate as its successor, so voters need not wait for the leader to fall
    /// silent.
    #[prost(bool, tag = "5")]
    pub leadership_transfer: bool,
}

/// The response to a vote request.
#[derive(Clone, PartialEq, Message)]
pub struct VoteResponse {
    /// The requested term if granted, else the voter's own.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Copied from the request.
    #[prost(bool, tag = "3")]
    pub pre_vote: bool,
}

/// Entries to replicate, or a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct AppendEntries {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the entry before the first of `entries`.
    #[prost(uint64, tag = "2")]
    pub prev_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub prev_term: u64,
    /// Consecutive entries after `prev_index`.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "5")]
    pub commit: u64,
    /// A receiver that lost its disk may vote and count toward quorums again once its commit index reaches
    /// `commit`.
    #[prost(bool, tag = "6")]
    pub grants_voting: bool,
    /// When it was sent, by the leader's clock, in ms.
    #[prost(double, tag = "7")]
    pub sent_at: f64,
    /// A receiver that is shutting down may stop: it is no longer needed.
    #[prost(bool, tag = "8")]
    pub released: bool,
    /// Time since the leader last heard from the receiver, in ms; 0 from earlier releases.
    #[prost(double, tag = "9")]
    pub since_heard_ms: f64,
}

/// The response to `AppendEntries` or to a complete snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct AppendResponse {
    /// The follower's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The entries are on disk.
    #[prost(bool, tag = "2")]
    pub success: bool,
    /// On success, the follower's log matches the leader's up to this index; otherwise the highest index
    /// where they may match.
    #[prost(uint64, tag = "3")]
    pub match_index: u64,
    /// Whether the follower votes and counts toward quorums: see [`super::HardState`].
    #[prost(bool, tag = "4")]
    pub voting: bool,
    /// `sent_at` of the request.
    #[prost(double, tag = "5")]
    pub request_sent_at: f64,
    /// The follower is shutting down and asks whether it may stop.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Number of gateway agents that recently reported to the follower; 0 from earlier releases.
    #[prost(uint32, tag = "7")]
    pub reachable_agents: u32,
    /// The newest entry format that the follower reads: [`MAX_ENTRY_VERSION`].
    #[prost(uint32, tag = "8")]
    pub max_entry_version: u32,
}

/// A snapshot in one message.
#[derive(Clone, PartialEq, Message)]
pub struct InstallSnapshot {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the last entry that the snapshot includes.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// The members as of that entry.
    #[prost(string, repeated, tag = "4")]
    pub members: Vec<String>,
    /// The encoded state machine.
    #[prost(bytes = "vec", tag = "5")]
    pub state: Vec<u8>,
    /// When it was sent, by the leader's clock, in ms.
    #[prost(double, tag = "6")]
    pub sent_at: f64,
    /// Digest of index, term, members and state; unset by earlier releases.
    #[prost(fixed64, optional, tag = "7")]
    pub digest: Option<u64>,
}

/// A chunk of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the last entry that the snapshot includes.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// The members as of that entry; only in the first chunk.
    #[prost(string, repeated, tag = "4")]
    pub members: Vec<String>,
    /// Size of the whole state.
    #[prost(uint64, tag = "5")]
    pub total_bytes: u64,
    /// Digest of index, term, members and the whole state.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// Offset of this chunk in the state.
    #[prost(uint64, tag = "7")]
    pub offset: u64,
    /// The bytes of the state from `offset` on.
    #[prost(bytes = "vec", tag = "8")]
    pub bytes: Vec<u8>,
    /// When it was sent, by the leader's clock, in ms.
    #[prost(double, tag = "9")]
    pub sent_at: f64,
}

/// The response to a chunk that does not complete the snapshot, is rejected, or has an earlier term.
#[derive(Clone, PartialEq, Message)]
pub struct ChunkResponse {
    /// The follower's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// `index` of the chunk.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// `digest` of the chunk.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Offset of the chunk to send next.
    #[prost(uint64, tag = "4")]
    pub next_offset: u64,
    /// The whole snapshot arrived and can't be decoded, or is too large: it should not be sent again soon.
    #[prost(bool, tag = "5")]
    pub rejected: bool,
    /// Whether the follower votes and counts toward quorums: see [`super::HardState`].
    #[prost(bool, tag = "6")]
    pub voting: bool,
    /// `sent_at` of the chunk.
    #[prost(double, tag = "7")]
    pub request_sent_at: f64,
}
