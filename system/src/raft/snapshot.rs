//! Snapshots: compaction of the log, entries that are retained after it for followers slightly behind, and
//! the transfer of a snapshot to a follower further behind.
//!
//! A snapshot is sent in chunks, each acknowledged before the next, so that heartbeats queue behind one chunk
//! at most. A digest covers the whole.

use super::messages::{AppendResponse, ChunkResponse, Entry, InstallSnapshot, RaftPayload, SnapshotChunk};
use super::role::Role;
use super::{
    Action, AppendEntries, Name, RaftNode, Save, Snapshot, HEARTBEAT_MS, MAX_ENTRY_VERSION,
    RETRANSMIT_BYTES_PER_MS, RETRANSMIT_MS,
};
use crate::state::hasher;
use oakfall::Millis;
use std::collections::VecDeque;
use std::hash::Hasher;
use std::sync::Arc;

/// Limits on retained log entries and on the size of snapshot chunks.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Bytes of a snapshot chunk.
    pub chunk_bytes: usize,
    /// Number of applied entries retained after compaction.
    pub trailing_entries: usize,
    /// Bytes of `data` in retained entries.
    pub trailing_bytes: usize,
}

impl Default for LogLimits {
    fn default() -> Self {
        LogLimits {
            chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            trailing_entries: TRAILING_ENTRIES,
            trailing_bytes: TRAILING_BYTES,
        }
    }
}

/// 130 ms at 2 Mbit/s, well below the minimum election timeout, and 640 KiB/s at a round trip of 50 ms.
const SNAPSHOT_CHUNK_BYTES: usize = 32 * 1024;
/// Size limit of a received snapshot's state; as large as the largest message that a link carries.
const MAX_SNAPSHOT_BYTES: u64 = 32 << 20;
/// Entries retained after compaction: some minutes at ten changes a second. A follower that lacks more is
/// sent a snapshot.
const TRAILING_ENTRIES: usize = 512;
/// Room for a few of the largest configurations.
const TRAILING_BYTES: usize = 1 << 20;
/// Entries retained while a snapshot is being sent, so that a slow follower can go on from its end and does
/// not need the next snapshot at once.
const TRANSFER_TRAILING_ENTRIES: usize = 3072;
const TRANSFER_TRAILING_BYTES: usize = 8 << 20;
/// Delay before a follower that rejected a snapshot is offered it again.
const REJECTED_RETRY_MS: f64 = 5000.0;

/// A snapshot being sent to a follower.
pub(super) struct SnapshotTransfer {
    snapshot: Arc<Snapshot>,
    digest: u64,
    /// Offset of the next chunk.
    offset: usize,
    /// When the unacknowledged chunk was sent, and when it is sent again.
    outstanding: Option<(Millis, Millis)>,
}

impl SnapshotTransfer {
    fn new(snapshot: Arc<Snapshot>) -> Self {
        let digest = digest(snapshot.index, snapshot.term, &snapshot.members, &snapshot.state);
        SnapshotTransfer { snapshot, digest, offset: 0, outstanding: None }
    }

    /// Index of the last entry that the snapshot includes.
    pub(super) fn index(&self) -> u64 {
        self.snapshot.index
    }
}

/// A snapshot being received.
pub(super) struct IncomingSnapshot {
    pub(super) index: u64,
    last_term: u64,
    members: Vec<Name>,
    total_bytes: u64,
    digest: u64,
    bytes: Vec<u8>,
    /// It can't be decoded, or is too large.
    rejected: bool,
}

enum ChunkOutcome {
    /// The offset of the chunk to send next.
    Incomplete(u64),
    Rejected,
    Complete,
}

fn digest(index: u64, term: u64, members: &[Name], state: &[u8]) -> u64 {
    let mut hasher = hasher();
    hasher.write_u64(index);
    hasher.write_u64(term);
    hasher.write_usize(members.len());
    for name in members {
        hasher.write_usize(name.len());
        hasher.write(name.as_bytes());
    }
    hasher.write(state);
    hasher.finish()
}

impl RaftNode {
    // ---- Log compaction -----------------------------------------------------------------------------------

    /// The lowest index that can precede entries to send: later entries are retained, and its term is known.
    pub(super) fn min_prev_index(&self) -> u64 {
        self.trailing.front().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// All entries after this index, from the trailing entries and the log; none if some of them were
    /// dropped.
    pub(super) fn entries_after(&self, index: u64) -> Option<impl Iterator<Item = &Entry>> {
        let first = self.trailing.front().map_or(self.snapshot.index + 1, |entry| entry.index);
        let skip = (index + 1).checked_sub(first)? as usize;
        let trailing = self.trailing.iter().skip(skip);
        Some(trailing.chain(self.log.iter().skip(skip.saturating_sub(self.trailing.len()))))
    }

    /// Applied entries after this index; none if some of them were dropped.
    pub fn applied_entries_after(&self, index: u64) -> Option<impl Iterator<Item = &Entry>> {
        let applied_index = self.applied_index;
        Some(self.entries_after(index)?.take_while(move |entry| entry.index <= applied_index))
    }

    /// Bytes of `data` in the log up to and including this index.
    pub fn log_bytes(&self, index: u64) -> usize {
        self.log.iter().take_while(|entry| entry.index <= index).map(|entry| entry.data.len()).sum()
    }

    /// Replaces the log up to and including `index` with a snapshot of this state. Does nothing if `index` is
    /// not applied, is already compacted, or lies within joint consensus.
    pub fn compact(&mut self, index: u64, state: Vec<u8>, actions: &mut Vec<Action>) {
        if index <= self.snapshot.index || index > self.applied_index {
            return;
        }
        let term = self.term_at(index).unwrap_or(self.snapshot.term);
        let compacted = (index - self.snapshot.index) as usize;
        let Some(members) = self.members_at(index) else { return };
        self.trailing.extend(self.log.drain(..compacted));
        let mut bytes = self.trailing.iter().map(|entry| entry.data.len()).sum::<usize>();
        let transfer_index = self.oldest_transfer_index();
        loop {
            let exceeds =
                |max_entries: usize, max_bytes: usize| self.trailing.len() > max_entries || bytes > max_bytes;
            let before_transfer = self.trailing.front().is_some_and(|entry| entry.index < transfer_index);
            if !(exceeds(TRANSFER_TRAILING_ENTRIES, TRANSFER_TRAILING_BYTES)
                || before_transfer && exceeds(self.limits.trailing_entries, self.limits.trailing_bytes))
            {
                break;
            }
            bytes -= self.trailing.pop_front().map_or(0, |entry| entry.data.len());
        }
        self.replace_snapshot(Snapshot { index, term, members, state }, None, actions);
    }

    /// Index of the oldest snapshot being sent: later entries will be needed when that transfer is done.
    fn oldest_transfer_index(&self) -> u64 {
        let Role::Leader(leader) = &self.role else { return u64::MAX };
        let receivers = leader.peers.values().chain(leader.learners.values());
        let transfers = receivers.filter_map(|progress| progress.snapshot_transfer.as_ref());
        transfers.map(SnapshotTransfer::index).min().unwrap_or(u64::MAX)
    }

    fn replace_snapshot(
        &mut self, snapshot: Snapshot, entries: Option<(u64, Vec<Entry>)>, actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Save(Save {
            hard_state: self.hard_state.clone(),
            entries,
            snapshot: Some(snapshot.clone()),
        }));
        self.snapshot = Arc::new(snapshot);
    }

    // ---- Sending snapshots --------------------------------------------------------------------------------

    /// Sends the next chunk of the snapshot, or a heartbeat while one is unacknowledged.
    pub(super) fn send_snapshot(&mut self, now: Millis, to: &Name, actions: &mut Vec<Action>) {
        let (term, commit, latest) = (self.hard_state.term, self.commit_index, self.snapshot.clone());
        let min_prev_index = self.min_prev_index();
        let chunk_bytes = self.limits.chunk_bytes;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress_mut(to) else { return };
        // A newer snapshot replaces the one being sent only if the log no longer continues from it.
        progress.snapshot_transfer.take_if(|transfer| transfer.snapshot.index < min_prev_index);
        let transfer = progress.snapshot_transfer.get_or_insert_with(|| SnapshotTransfer::new(latest));
        if transfer.outstanding.is_some_and(|(_, retry_at)| now < retry_at) {
            if now - progress.last_sent >= HEARTBEAT_MS {
                progress.last_sent = now;
                let (prev_index, prev_term) = (transfer.snapshot.index, transfer.snapshot.term);
                let since_heard_ms = now - progress.last_heard;
                let heartbeat = AppendEntries {
                    term,
                    prev_index,
                    prev_term,
                    commit,
                    sent_at: now,
                    since_heard_ms,
                    ..AppendEntries::default()
                };
                actions.push(Action::Send { to: to.clone(), payload: RaftPayload::AppendEntries(heartbeat) });
            }
            return;
        }
        progress.last_sent = now;
        let Snapshot { index, term: last_term, members, state } = &*transfer.snapshot;
        let end = (transfer.offset + chunk_bytes).min(state.len());
        let bytes = state.get(transfer.offset..end).unwrap_or_default().to_vec();
        let retry_at = now + RETRANSMIT_MS + bytes.len() as f64 / RETRANSMIT_BYTES_PER_MS;
        transfer.outstanding = Some((now, retry_at));
        let first = transfer.offset == 0;
        let payload = if first && end == state.len() {
            let (members, state) = (members.clone(), bytes);
            let (index, last_term, digest) = (*index, *last_term, Some(transfer.digest));
            RaftPayload::InstallSnapshot(InstallSnapshot {
                term,
                index,
                last_term,
                members,
                state,
                sent_at: now,
                digest,
            })
        } else {
            RaftPayload::SnapshotChunk(SnapshotChunk {
                term,
                index: *index,
                last_term: *last_term,
                members: if first { members.clone() } else { Vec::new() },
                total_bytes: state.len() as u64,
                digest: transfer.digest,
                offset: transfer.offset as u64,
                bytes,
                sent_at: now,
            })
        };
        actions.push(Action::Send { to: to.clone(), payload });
    }

    pub(super) fn handle_chunk_response(
        &mut self, now: Millis, from: Name, response: &ChunkResponse, actions: &mut Vec<Action>,
    ) {
        if response.term > self.hard_state.term {
            return self.become_follower(now, response.term, None, actions);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if response.term < self.hard_state.term {
            return;
        }
        let Some(progress) = leader.progress_mut(&from) else { return };
        if !progress.record_response(now, response.request_sent_at, response.voting, None) {
            return;
        }
        let Some(transfer) = &mut progress.snapshot_transfer else { return };
        // Duplicate and late responses must not trigger another chunk.
        let same_snapshot = (transfer.snapshot.index, transfer.digest) == (response.index, response.digest);
        if !same_snapshot
            || transfer.outstanding.is_none_or(|(sent_at, _)| sent_at != response.request_sent_at)
        {
            return;
        }
        transfer.offset = (response.next_offset as usize).min(transfer.snapshot.state.len());
        transfer.outstanding = response.rejected.then_some((now, now + REJECTED_RETRY_MS));
        self.replicate_to(now, &from, actions);
    }

    // ---- Receiving snapshots ------------------------------------------------------------------------------

    /// Progress of the snapshot being received: its index, the bytes received, the bytes in total, and
    /// whether it was rejected because it can't be decoded or is too large.
    pub fn snapshot_progress(&self) -> Option<(u64, u64, u64, bool)> {
        self.incoming_snapshot.as_ref().map(|incoming| {
            (incoming.index, incoming.bytes.len() as u64, incoming.total_bytes, incoming.rejected)
        })
    }

    /// Handles a snapshot in one message as a single chunk.
    pub(super) fn handle_install(
        &mut self, now: Millis, from: Name, install: InstallSnapshot, actions: &mut Vec<Action>,
    ) {
        let InstallSnapshot { term, index, last_term, members, state: bytes, sent_at, digest } = install;
        let digest = digest.unwrap_or_else(|| self::digest(index, last_term, &members, &bytes));
        let total_bytes = bytes.len() as u64;
        let chunk =
            SnapshotChunk { term, index, last_term, members, total_bytes, digest, offset: 0, bytes, sent_at };
        self.handle_chunk(now, from, chunk, actions);
    }

    pub(super) fn handle_chunk(
        &mut self, now: Millis, from: Name, chunk: SnapshotChunk, actions: &mut Vec<Action>,
    ) {
        let SnapshotChunk { term, index, digest, sent_at, .. } = chunk;
        let voting = self.hard_state.voting;
        let mut response = ChunkResponse {
            term: self.hard_state.term,
            index,
            digest,
            next_offset: 0,
            rejected: false,
            voting,
            request_sent_at: sent_at,
        };
        if term < self.hard_state.term {
            return actions.push(Action::Send { to: from, payload: RaftPayload::ChunkResponse(response) });
        }
        self.check_single_leader(&from, term);
        self.become_follower(now, term, Some(from.clone()), actions);
        self.leader_sent_at = sent_at;
        response.term = self.hard_state.term;
        if index > self.commit_index && self.term_at(index) == Some(chunk.last_term) {
            // The log already holds everything in the snapshot. Later entries stay: they may have been
            // acknowledged.
            self.commit_index = index;
            self.apply_committed(actions);
        }
        if index > self.commit_index {
            match self.collect_chunk(chunk) {
                ChunkOutcome::Complete => self.restore_snapshot(actions),
                outcome => {
                    match outcome {
                        ChunkOutcome::Incomplete(next_offset) => response.next_offset = next_offset,
                        _ => response.rejected = true,
                    }
                    return actions
                        .push(Action::Send { to: from, payload: RaftPayload::ChunkResponse(response) });
                }
            }
        }
        // Up to the snapshot's index, which is committed now, the log matches the leader's.
        let success = index <= self.commit_index;
        let response = AppendResponse {
            term: self.hard_state.term,
            success,
            match_index: if success { index } else { self.last_index() },
            voting,
            request_sent_at: sent_at,
            leaving: self.leaving,
            reachable_agents: self.reachable_agents,
            max_entry_version: MAX_ENTRY_VERSION,
        };
        actions.push(Action::Send { to: from, payload: RaftPayload::AppendResponse(response) });
    }

    /// Adds a chunk to the snapshot being received if it is the next one.
    fn collect_chunk(&mut self, chunk: SnapshotChunk) -> ChunkOutcome {
        let SnapshotChunk { index, last_term, members, total_bytes, digest, offset, bytes, .. } = chunk;
        self.incoming_snapshot.take_if(|incoming| {
            (incoming.index, incoming.digest, incoming.total_bytes) != (index, digest, total_bytes)
        });
        let can_decode = self.can_decode;
        let incoming = self.incoming_snapshot.get_or_insert(IncomingSnapshot {
            index,
            last_term,
            members: Vec::new(),
            total_bytes,
            digest,
            bytes: Vec::new(),
            rejected: total_bytes > MAX_SNAPSHOT_BYTES,
        });
        let received = incoming.bytes.len() as u64;
        if incoming.rejected {
            return ChunkOutcome::Rejected;
        }
        if offset != received || bytes.len() as u64 > total_bytes - received {
            return ChunkOutcome::Incomplete(received);
        }
        if offset == 0 {
            incoming.members = members;
        }
        incoming.bytes.extend_from_slice(&bytes);
        let received = incoming.bytes.len() as u64;
        if received < total_bytes {
            return ChunkOutcome::Incomplete(received);
        }
        if self::digest(index, incoming.last_term, &incoming.members, &incoming.bytes) != digest {
            log::error!("raft: the state of {index} does not match its digest: receiving it again");
            incoming.bytes = Vec::new();
            return ChunkOutcome::Incomplete(0);
        }
        if !can_decode(&incoming.bytes) {
            log::error!("raft: the state of {index} can't be decoded: snapshot rejected");
            (incoming.rejected, incoming.bytes) = (true, Vec::new());
            return ChunkOutcome::Rejected;
        }
        ChunkOutcome::Complete
    }

    /// Replaces the log and the state machine with the snapshot received.
    fn restore_snapshot(&mut self, actions: &mut Vec<Action>) {
        let Some(incoming) = self.incoming_snapshot.take() else { return };
        let IncomingSnapshot { index, last_term: term, members, bytes: state, .. } = incoming;
        self.log.clear();
        self.trailing = VecDeque::new();
        (self.commit_index, self.applied_index) = (index, index);
        let snapshot = Snapshot { index, term, members, state: state.clone() };
        self.replace_snapshot(snapshot, Some((index + 1, Vec::new())), actions);
        self.reload_membership();
        actions.push(Action::Restore { index, state });
    }
}
