//! The role of a member, and what a leader tracks about each other member.

use super::snapshot::SnapshotTransfer;
use super::Name;
use oakfall::Millis;
use std::collections::{BTreeMap, BTreeSet};

pub(super) enum Role {
    Follower(FollowerState),
    Candidate(CandidateState),
    Leader(LeaderState),
}

pub(super) struct FollowerState {
    pub(super) leader: Option<Name>,
}

pub(super) struct CandidateState {
    /// This is the pre-vote round, which leaves the term as it is.
    pub(super) pre_vote: bool,
    pub(super) votes: BTreeSet<Name>,
    /// The leader chose this member as its successor.
    pub(super) leadership_transfer: bool,
    /// When votes were last requested.
    pub(super) requested_at: Millis,
}

pub(super) struct LeaderState {
    /// Index of the first entry of its term.
    pub(super) first_index: u64,
    /// When it became leader.
    pub(super) since: Millis,
    pub(super) peers: BTreeMap<Name, Progress>,
    /// Processes that receive the log and wait to become members.
    pub(super) learners: BTreeMap<Name, Progress>,
    /// When this leader asked another member to take over; from then on it accepts no proposals and holds no
    /// lease.
    pub(super) transfer_started_at: Option<Millis>,
}

impl LeaderState {
    pub(super) fn progress_mut(&mut self, name: &Name) -> Option<&mut Progress> {
        self.peers.get_mut(name).or_else(|| self.learners.get_mut(name))
    }

    pub(super) fn last_heard(&self, name: &Name, me: &Name, now: Millis) -> Option<Millis> {
        if name == me {
            return Some(now);
        }
        self.peers.get(name).map(|progress| progress.last_heard)
    }

    /// When the latest message that a voting member has answered was sent: that member votes for no other
    /// candidate until the minimum election timeout after it.
    pub(super) fn acked_sent_at(&self, name: &Name, me: &Name, now: Millis) -> Option<Millis> {
        if self.transfer_started_at.is_some() {
            return None;
        }
        if name == me {
            return Some(now);
        }
        self.peers.get(name).filter(|progress| progress.voting).map(|progress| progress.acked_sent_at)
    }
}

/// What a leader knows about another member or a learner.
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// The process holds the leader's log on disk up to this index.
    pub(super) match_index: u64,
    /// Whether it counts toward quorums, by its latest response.
    pub(super) voting: bool,
    /// It has held every committed entry since its disk was last lost, so it may be granted voting.
    pub(super) caught_up: bool,
    /// The snapshot being sent, if the log no longer reaches back to it.
    pub(super) snapshot_transfer: Option<SnapshotTransfer>,
    /// Bytes of entries sent since it had last acknowledged all of them.
    pub(super) in_flight_bytes: usize,
    /// When entries became unacknowledged, or when the latest success response left some unacknowledged.
    pub(super) unacked_since: Option<Millis>,
    pub(super) last_sent: Millis,
    pub(super) last_heard: Millis,
    /// When the latest message that it has answered was sent.
    pub(super) acked_sent_at: Millis,
    /// When it last reported that its disk was lost. Responses to earlier messages are about the old disk.
    pub(super) disk_lost_at: Millis,
    /// It is shutting down.
    pub(super) leaving: bool,
    /// The leader has sent it permission to stop, so it counts toward neither commits nor the release
    /// of others.
    pub(super) released: bool,
    /// Number of gateway agents that recently reported to it.
    pub(super) reachable_agents: u32,
    pub(super) max_entry_version: u32,
}

impl Progress {
    pub(super) fn new(next_index: u64, now: Millis) -> Self {
        let never = f64::NEG_INFINITY;
        Progress {
            next_index,
            match_index: 0,
            voting: false,
            caught_up: false,
            snapshot_transfer: None,
            in_flight_bytes: 0,
            unacked_since: None,
            last_sent: never,
            last_heard: now,
            acked_sent_at: never,
            disk_lost_at: never,
            leaving: false,
            released: false,
            reachable_agents: 0,
            max_entry_version: 0,
        }
    }

    /// Whether it could take over leadership at once: it has responded recently and lacks no entry.
    pub(super) fn can_take_over(&self, last_index: u64, now: Millis) -> bool {
        // A member that is shutting down would only hand leadership over again.
        self.voting
            && !self.leaving
            && self.match_index == last_index
            && now - self.last_heard < super::LEASE_MS
    }

    /// Records a response to a message sent at `sent_at`. `leaving` is unset in responses that don't report
    /// it. False if the response must be ignored because it is about a disk that was lost since.
    pub(super) fn record_response(
        &mut self, now: Millis, sent_at: Millis, voting: bool, leaving: Option<bool>,
    ) -> bool {
        if !voting {
            self.disk_lost_at = now;
        } else if sent_at < self.disk_lost_at {
            return false;
        }
        if let Some(leaving) = leaving.filter(|_| sent_at >= self.acked_sent_at) {
            (self.leaving, self.released) = (leaving, self.released && leaving);
        }
        (self.last_heard, self.acked_sent_at) = (now, self.acked_sent_at.max(sent_at));
        if self.voting && !voting {
            // Its disk is new: the entries that it had acknowledged are gone.
            (self.match_index, self.caught_up) = (0, false);
        }
        self.voting = voting;
        true
    }
}
