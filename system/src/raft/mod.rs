//! Consensus among the core members: Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum,
//! leadership transfer, leader leases and joint consensus.
//!
//! It differs from Raft in one rule: a member that lost its disk does not vote or count toward quorums until
//! a leader has brought it up to date.
//!
//! This module does no I/O and reads no clock. Time and messages come in as [`Event`]s; writes, messages to
//! send and committed entries come out as [`Action`]s, to be carried out in order. [`Action::Save`] must be
//! durable before later actions are carried out.

mod membership;
mod messages;
mod role;
mod snapshot;

pub use membership::MembershipStatus;
pub use messages::{
    AppendEntries, Entry, InstallSnapshot, RaftMessage, RaftPayload, SnapshotChunk, MAX_ENTRY_VERSION,
};
pub use snapshot::LogLimits;

use crate::invariants::{self, Invariant};
use membership::Membership;
use messages::{AppendResponse, VoteRequest, VoteResponse};
use oakfall::Millis;
use role::{CandidateState, FollowerState, LeaderState, Progress, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A member's name.
pub type Name = String;

/// Longest time between two messages from the leader to a follower.
const HEARTBEAT_MS: f64 = 100.0;
/// The election timeout is drawn between the two. Latency is 1 ms between zones and 50 ms between regions; a
/// process may be descheduled for a few hundred ms.
const MIN_ELECTION_TIMEOUT_MS: f64 = 700.0;
const MAX_ELECTION_TIMEOUT_MS: f64 = 1200.0;
/// A candidate without a majority, as after a split vote, tries again after a time drawn between the two.
/// Shorter than an election timeout: voters that hear a leader reject it anyway. A round trip between regions
/// takes 100 ms.
const MIN_SPLIT_VOTE_TIMEOUT_MS: f64 = 150.0;
const MAX_SPLIT_VOTE_TIMEOUT_MS: f64 = 600.0;
/// A starting member requests pre-votes after this time to twice this time.
const START_TIMEOUT_MS: f64 = 60.0;
/// A candidate repeats its request to members that have not answered, which may just be starting.
const VOTE_RETRY_MS: f64 = 120.0;
/// Lease of a leader, from when it sent what a quorum has answered. Shorter than the minimum election
/// timeout, to allow for clocks that run at different rates.
const LEASE_MS: f64 = 550.0;
/// A member with an empty disk may have forgotten a vote, so it grants none for this long after its start. By
/// then messages sent before the start are answered or lost.
const EMPTY_DISK_NO_VOTE_MS: f64 = 3000.0;
const MAX_BATCH_ENTRIES: usize = 256;
/// Limit on unacknowledged bytes of entries to one follower; a larger entry is sent alone. At 2 Mbit/s, this
/// many bytes delay a heartbeat by a quarter of a second; at a round trip of 50 ms a MiB passes in a second.
const MAX_IN_FLIGHT_BYTES: usize = 64 * 1024;
/// Approximate size of an entry without its data.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Unacknowledged entries are sent again after this time, plus the time that their bytes take on a 1 Mbit/s
/// link.
const RETRANSMIT_MS: f64 = 300.0;
const RETRANSMIT_BYTES_PER_MS: f64 = 125.0;

/// Input to [`RaftNode::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Received {
        /// The sender.
        from: Name,
        /// The message.
        payload: RaftPayload,
    },
    /// Append an entry with this data. Ignored unless this member leads and accepts proposals.
    Propose(Vec<u8>),
    /// Another process asks to become a member.
    Join(Name),
    /// The process is shutting down: see [`RaftNode::leave_outcome`].
    Leave,
    /// Transfer leadership, if this member leads.
    TransferLeadership,
    /// Number of gateway agents that recently reported to this process.
    ReachableAgents(u32),
}

/// Output of [`RaftNode::handle`], to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make durable before any later action.
    Save(Save),
    /// Send a message, without any guarantee of delivery.
    Send {
        /// The receiver.
        to: Name,
        /// The message.
        payload: RaftPayload,
    },
    /// Apply this committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine with the leader's snapshot.
    Restore {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// The encoded state machine.
        state: Vec<u8>,
    },
    /// This process became leader (true) or stopped leading (false).
    LeadershipChanged(bool),
}

/// An update to the persistent state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Save {
    /// Always written.
    pub hard_state: HardState,
    /// If set, these entries replace the log from this index on.
    pub entries: Option<(u64, Vec<Entry>)>,
    /// If set, this snapshot replaces the log up to its index.
    pub snapshot: Option<Snapshot>,
}

/// Raft's persistent state beside the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HardState {
    /// The latest term seen.
    pub term: u64,
    /// The candidate that this member voted for in that term.
    pub vote: Option<Name>,
    /// Whether it votes and counts toward quorums. False with an empty disk, until a leader has brought it up
    /// to date: it may have forgotten votes and entries that it acknowledged.
    pub voting: bool,
}

/// A snapshot: the log continues after its index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that it includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The members as of that entry.
    pub members: Vec<Name>,
    /// The encoded state machine.
    pub state: Vec<u8>,
}

/// The persistent state as read from disk at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// Term, vote and whether the member votes.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The log after it.
    pub entries: Vec<Entry>,
}

/// One Raft member.
pub struct RaftNode {
    me: Name,
    hard_state: HardState,
    snapshot: Arc<Snapshot>,
    /// The newest entries that the snapshot includes, for followers slightly behind.
    trailing: VecDeque<Entry>,
    log: VecDeque<Entry>,
    limits: LogLimits,
    incoming_snapshot: Option<snapshot::IncomingSnapshot>,
    /// Whether a snapshot's state can be decoded.
    can_decode: fn(&[u8]) -> bool,
    commit_index: u64,
    applied_index: u64,
    role: Role,
    /// When a message from a leader last arrived, and from which one.
    leader_heard_at: Millis,
    last_leader: Option<Name>,
    /// When the leader's latest message was sent, by the leader's clock.
    leader_sent_at: Millis,
    election_deadline: Millis,
    /// Before this time it grants no votes.
    no_votes_until: Millis,
    membership: Membership,
    /// `since_heard_ms` of the leader's latest `AppendEntries`.
    leader_contact_age: Millis,
    reachable_agents: u32,
    /// Processes that asked to become members, and when.
    join_requests: BTreeMap<Name, Millis>,
    /// The process is shutting down.
    leaving: bool,
    /// A leader said that the process may stop.
    released: bool,
    rng: fastrand::Rng,
}

impl RaftNode {
    /// The initial persistent state of the members of a new cluster: the same at all of them.
    pub fn bootstrap(mut members: Vec<Name>) -> PersistentState {
        members.sort();
        members.dedup();
        let hard_state = HardState { voting: true, ..HardState::default() };
        // Starts from a snapshot at index 1, so that a member with an empty disk is sent one, with the list
        // of members.
        PersistentState {
            hard_state,
            snapshot: Snapshot { index: 1, members, ..Snapshot::default() },
            entries: Vec::new(),
        }
    }

    /// Starts a member from its persistent state. With an empty one it knows no members and is non-voting.
    pub fn new(me: Name, saved: PersistentState, seed: u64, now: Millis) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let PersistentState { hard_state, snapshot, entries } = saved;
        let empty_disk = !hard_state.voting;
        let mut raft = RaftNode {
            me,
            commit_index: snapshot.index,
            applied_index: snapshot.index,
            hard_state,
            snapshot: Arc::new(snapshot),
            trailing: VecDeque::new(),
            log: entries.into(),
            limits: LogLimits::default(),
            incoming_snapshot: None,
            can_decode: |_| true,
            role: Role::Follower(FollowerState { leader: None }),
            leader_heard_at: f64::NEG_INFINITY,
            last_leader: None,
            leader_sent_at: 0.0,
            // Requests pre-votes soon: they are rejected, without harm, if there is a leader.
            election_deadline: now + START_TIMEOUT_MS * (1.0 + rng.f64()),
            no_votes_until: if empty_disk { now + EMPTY_DISK_NO_VOTE_MS } else { now },
            membership: Membership::default(),
            leader_contact_age: 0.0,
            reachable_agents: 0,
            join_requests: BTreeMap::new(),
            leaving: false,
            released: false,
            rng,
        };
        raft.reload_membership();
        raft
    }

    /// Rejects received snapshots whose state does not satisfy `can_decode`.
    pub fn with_decode_check(self, can_decode: fn(&[u8]) -> bool) -> Self {
        RaftNode { can_decode, ..self }
    }

    /// Replaces the default limits.
    pub fn with_limits(self, limits: LogLimits) -> Self {
        RaftNode { limits, ..self }
    }

    /// The latest term seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<&Name> {
        match &self.role {
            Role::Leader(_) => Some(&self.me),
            Role::Follower(FollowerState { leader }) => leader.as_ref(),
            Role::Candidate(_) => None,
        }
    }

    /// When the leader's latest message was sent, by the leader's clock. A forwarded request carries it
    /// back, which gives the leader an upper bound on the request's age.
    pub fn leader_sent_at(&self) -> Millis {
        self.leader_sent_at
    }

    /// Whether this member leads and all members and learners read the entry format [`MAX_ENTRY_VERSION`].
    pub fn all_read_entry_version(&self) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let mut receivers = leader.peers.values().chain(leader.learners.values());
        receivers.all(|progress| progress.max_entry_version >= MAX_ENTRY_VERSION)
    }

    /// Time since the leader last heard from this member, by the leader's latest messages, in ms. A request
    /// forwarded to a leader that this member's messages do not reach is lost.
    pub fn since_heard_by_leader(&self, now: Millis) -> Millis {
        self.leader_contact_age + (now - self.leader_heard_at).max(0.0)
    }

    /// When a message from a leader last arrived.
    pub fn leader_heard_at(&self) -> Millis {
        self.leader_heard_at
    }

    /// Whether it is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it is the leader and accepts proposals. During leadership transfer it accepts none: the
    /// successor would lack the new entry and could lose the election.
    pub fn accepts_proposals(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.transfer_started_at.is_none())
    }

    /// Whether it is the leader and holds a lease: no other leader can exist, and its commit index is up to
    /// date, so reads are linearizable.
    pub fn holds_lease(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        self.commit_index >= leader.first_index
            && self
                .quorum_value(|name| leader.acked_sent_at(name, &self.me, now))
                .is_some_and(|at| now - at < LEASE_MS)
    }

    /// Why it has no leader, for operators; none if it has one.
    pub fn no_leader_reason(&self) -> Option<String> {
        let members = self.members().len();
        match &self.role {
            Role::Leader(_) | Role::Follower(FollowerState { leader: Some(_) }) => None,
            _ if !self.hard_state.voting => {
                Some("its disk was empty or damaged, and no leader has brought it up to date".into())
            }
            _ if !self.is_member() => Some("it is not a member".into()),
            Role::Follower(_) => Some("it voted for a candidate, or waits for a leader".into()),
            Role::Candidate(candidate) => {
                let votes: Vec<&str> = candidate.votes.iter().map(String::as_str).collect();
                let (term, votes) = (self.hard_state.term + u64::from(candidate.pre_vote), votes.join(", "));
                Some(format!(
                    "it is a candidate in term {term} with the votes of {votes}, of {members} members"
                ))
            }
        }
    }

    /// Index of the last entry that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Number of entries in the log after the snapshot.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Received { from, payload } => self.receive(now, from, payload, actions),
            Event::Propose(data) => {
                if self.accepts_proposals() {
                    self.append_entry(
                        now,
                        Entry::data(self.hard_state.term, self.last_index() + 1, data),
                        actions,
                    );
                }
            }
            Event::Join(name) => self.add_learner(now, name),
            Event::Leave => self.leave(now, actions),
            Event::TransferLeadership => self.transfer_leadership(now, actions),
            Event::ReachableAgents(agents) => self.reachable_agents = agents,
        }
    }

    // ---- Log ----------------------------------------------------------------------------------------------

    /// Index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.log.len() as u64
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entries_after(index.checked_sub(1)?)?.next().map(|entry| entry.term)
    }

    fn persist(&self, entries: Option<(u64, Vec<Entry>)>, actions: &mut Vec<Action>) {
        actions.push(Action::Save(Save { hard_state: self.hard_state.clone(), entries, snapshot: None }));
    }

    fn append_entry(&mut self, now: Millis, entry: Entry, actions: &mut Vec<Action>) {
        let changes_membership = entry.changes_membership();
        self.log.push_back(entry.clone());
        if changes_membership {
            self.reload_membership();
            self.regroup_peers(now);
        }
        self.persist(Some((entry.index, vec![entry])), actions);
        self.advance_commit(actions);
        self.replicate(now, false, actions);
    }

    fn apply_committed(&mut self, actions: &mut Vec<Action>) {
        while self.applied_index < self.commit_index {
            let position = (self.applied_index - self.snapshot.index) as usize;
            let Some(entry) = self.log.get(position) else { return };
            actions.push(Action::Apply(entry.clone()));
            self.applied_index += 1;
        }
    }

    // ---- Elections ----------------------------------------------------------------------------------------

    /// Changes the role and resets the election timeout. After the start, nothing else does either.
    fn become_role(&mut self, now: Millis, role: Role, actions: &mut Vec<Action>) {
        let (led, leads) = (self.is_leader(), matches!(role, Role::Leader(_)));
        self.role = role;
        let requests_votes = matches!(&self.role, Role::Candidate(candidate) if !candidate.pre_vote);
        let (min, max) = if requests_votes {
            (MIN_SPLIT_VOTE_TIMEOUT_MS, MAX_SPLIT_VOTE_TIMEOUT_MS)
        } else {
            (MIN_ELECTION_TIMEOUT_MS, MAX_ELECTION_TIMEOUT_MS)
        };
        self.election_deadline = now + min + (max - min) * self.rng.f64();
        if led != leads {
            actions.push(Action::LeadershipChanged(leads));
        }
    }

    fn become_follower(&mut self, now: Millis, term: u64, leader: Option<Name>, actions: &mut Vec<Action>) {
        if term > self.hard_state.term {
            (self.hard_state.term, self.hard_state.vote) = (term, None);
            self.persist(None, actions);
        }
        if leader.is_some() {
            (self.leader_heard_at, self.last_leader) = (now, leader.clone());
        }
        self.become_role(now, Role::Follower(FollowerState { leader }), actions);
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        match &self.role {
            Role::Leader(leader) => {
                // Steps down without a quorum, or if a leadership transfer did not succeed in time.
                let quorum_heard_at = self.quorum_value(|name| leader.last_heard(name, &self.me, now));
                let transfer_failed =
                    leader.transfer_started_at.is_some_and(|at| now - at > MIN_ELECTION_TIMEOUT_MS);
                if transfer_failed || quorum_heard_at.is_none_or(|at| now - at > MAX_ELECTION_TIMEOUT_MS) {
                    let term = self.hard_state.term;
                    return self.become_follower(now, term, None, actions);
                }
                self.transfer_if_leaving(now, actions);
                self.change_members(now, actions);
                self.replicate(now, true, actions);
            }
            _ if now >= self.election_deadline => self.campaign(now, true, false, actions),
            Role::Candidate(candidate) if now - candidate.requested_at >= VOTE_RETRY_MS => {
                self.request_votes(now, actions);
            }
            _ => {}
        }
    }

    /// Starts a pre-vote, or an election in the next term.
    fn campaign(
        &mut self, now: Millis, pre_vote: bool, leadership_transfer: bool, actions: &mut Vec<Action>,
    ) {
        if !self.hard_state.voting || !self.is_member() {
            let term = self.hard_state.term;
            return self.become_follower(now, term, None, actions);
        }
        if !pre_vote {
            (self.hard_state.term, self.hard_state.vote) = (self.hard_state.term + 1, Some(self.me.clone()));
            self.persist(None, actions);
        }
        let votes = BTreeSet::from([self.me.clone()]);
        let candidate = CandidateState { pre_vote, votes, leadership_transfer, requested_at: now };
        self.become_role(now, Role::Candidate(candidate), actions);
        self.request_votes(now, actions);
        self.count_votes(now, actions);
    }

    /// Requests votes from members that have not granted theirs yet.
    fn request_votes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        candidate.requested_at = now;
        let CandidateState { pre_vote, leadership_transfer, .. } = *candidate;
        let votes = candidate.votes.clone();
        let term = self.hard_state.term + u64::from(pre_vote);
        let (last_index, last_term) = (self.last_index(), self.term_at(self.last_index()).unwrap_or(0));
        for to in self.other_members().into_iter().filter(|name| !votes.contains(name)) {
            let request = VoteRequest { term, last_index, last_term, pre_vote, leadership_transfer };
            actions.push(Action::Send { to, payload: RaftPayload::VoteRequest(request) });
        }
    }

    fn count_votes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Candidate(candidate) = &self.role else { return };
        let CandidateState { pre_vote, leadership_transfer, .. } = *candidate;
        if !self.membership.has_quorum(|name| candidate.votes.contains(name)) {
            return;
        }
        if pre_vote {
            return self.campaign(now, false, leadership_transfer, actions);
        }
        let first_index = self.last_index() + 1;
        let mut peers: BTreeMap<_, _> =
            self.other_members().into_iter().map(|name| (name, Progress::new(first_index, now))).collect();
        if let Some(last_leader) = self.last_leader.as_ref().and_then(|name| peers.get_mut(name)) {
            // The previous leader was silent for some time already: it has `RECENTLY_HEARD_MS` or more left.
            last_leader.last_heard =
                self.leader_heard_at.max(now - membership::SUSPECT_AFTER_MS + membership::RECENTLY_HEARD_MS);
        }
        let learners = self.recent_learners(now);
        let leader = LeaderState { first_index, since: now, peers, learners, transfer_started_at: None };
        self.become_role(now, Role::Leader(leader), actions);
        // Entries of earlier terms are committed along with the first entry of this one.
        self.append_entry(now, Entry::empty(self.hard_state.term, first_index), actions);
    }

    /// Whether less than half as many agents report to this leader as to a member that could take over. Such
    /// a leader keeps its quorum but is of no use to the other agents.
    pub fn is_poorly_connected(&self, now: Millis) -> bool {
        let (last_index, Role::Leader(leader)) = (self.last_index(), &self.role) else { return false };
        let successors = leader.peers.values().filter(|peer| peer.can_take_over(last_index, now));
        successors
            .map(|peer| peer.reachable_agents)
            .max()
            .is_some_and(|agents| agents > 2 * self.reachable_agents)
    }

    fn transfer_leadership(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let last_index = self.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let successors = leader.peers.iter().filter(|(_, peer)| peer.can_take_over(last_index, now));
        // Prefers the member that most agents report to, then the one that responded last.
        let successor = successors.max_by(|(_, a), (_, b)| {
            a.reachable_agents.cmp(&b.reachable_agents).then(a.last_heard.total_cmp(&b.last_heard))
        });
        let successor = successor.map(|(name, _)| name.clone());
        if let Some(to) = successor {
            leader.transfer_started_at = Some(now);
            actions.push(Action::Send { to, payload: RaftPayload::TimeoutNow(self.hard_state.term) });
        }
    }

    // ---- Messages -----------------------------------------------------------------------------------------

    fn receive(&mut self, now: Millis, from: Name, payload: RaftPayload, actions: &mut Vec<Action>) {
        match payload {
            RaftPayload::VoteRequest(request) => self.handle_vote_request(now, from, &request, actions),
            RaftPayload::VoteResponse(response) => {
                if response.term > self.hard_state.term && !response.granted {
                    return self.become_follower(now, response.term, None, actions);
                }
                let term = self.hard_state.term;
                if let Role::Candidate(candidate) = &mut self.role {
                    let requested_term = term + u64::from(candidate.pre_vote);
                    let answers_request =
                        response.pre_vote == candidate.pre_vote && response.term == requested_term;
                    if response.granted && answers_request {
                        candidate.votes.insert(from);
                        self.count_votes(now, actions);
                    }
                }
            }
            RaftPayload::AppendEntries(append) => self.handle_append(now, from, append, actions),
            RaftPayload::AppendResponse(response) => {
                self.handle_append_response(now, from, &response, actions)
            }
            RaftPayload::InstallSnapshot(install) => self.handle_install(now, from, install, actions),
            RaftPayload::SnapshotChunk(chunk) => self.handle_chunk(now, from, chunk, actions),
            RaftPayload::ChunkResponse(response) => self.handle_chunk_response(now, from, &response, actions),
            RaftPayload::TimeoutNow(term) => {
                let from_leader = self.leader() == Some(&from);
                if term == self.hard_state.term && from_leader {
                    self.campaign(now, false, true, actions);
                }
            }
        }
    }

    fn handle_vote_request(
        &mut self, now: Millis, from: Name, request: &VoteRequest, actions: &mut Vec<Action>,
    ) {
        // Grants no vote while there is a leader, unless that leader chose the candidate.
        let has_leader = self.is_leader() || now - self.leader_heard_at < MIN_ELECTION_TIMEOUT_MS;
        let barred = !self.hard_state.voting
            || now < self.no_votes_until
            || (has_leader && !request.leadership_transfer);
        if !barred && !request.pre_vote && request.term > self.hard_state.term {
            self.become_follower(now, request.term, None, actions);
        }
        let own_last = (self.term_at(self.last_index()).unwrap_or(0), self.last_index());
        let up_to_date = (request.last_term, request.last_index) >= own_last;
        let can_vote = self.hard_state.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = !barred
            && up_to_date
            && if request.pre_vote {
                request.term > self.hard_state.term
            } else {
                request.term == self.hard_state.term && can_vote
            };
        if granted && !request.pre_vote {
            self.hard_state.vote = Some(from.clone());
            self.persist(None, actions);
            let term = self.hard_state.term;
            self.become_follower(now, term, None, actions);
        }
        let term = if granted { request.term } else { self.hard_state.term };
        let response = VoteResponse { term, granted, pre_vote: request.pre_vote };
        actions.push(Action::Send { to: from, payload: RaftPayload::VoteResponse(response) });
    }

    fn handle_append(&mut self, now: Millis, from: Name, append: AppendEntries, actions: &mut Vec<Action>) {
        let mut response = AppendResponse {
            term: self.hard_state.term,
            success: false,
            match_index: self.last_index(),
            voting: self.hard_state.voting,
            request_sent_at: append.sent_at,
            leaving: self.leaving,
            reachable_agents: self.reachable_agents,
            max_entry_version: MAX_ENTRY_VERSION,
        };
        if append.term < self.hard_state.term {
            actions.push(Action::Send { to: from, payload: RaftPayload::AppendResponse(response) });
            return;
        }
        self.check_single_leader(&from, append.term);
        self.become_follower(now, append.term, Some(from.clone()), actions);
        (self.leader_sent_at, self.leader_contact_age) = (append.sent_at, append.since_heard_ms);
        response.term = self.hard_state.term;
        self.released |= self.leaving && append.released;
        let (mut prev_index, mut entries) = (append.prev_index, append.entries);
        if prev_index < self.snapshot.index {
            // Entries that the snapshot includes are committed, so they are the same at the leader.
            let included = (self.snapshot.index - prev_index) as usize;
            entries.drain(..included.min(entries.len()));
            prev_index = self.snapshot.index;
        }
        if prev_index == append.prev_index && self.term_at(prev_index) != Some(append.prev_term) {
            // Reports the end of its log, or, with a conflicting entry there, the commit index: stepping back
            // one entry at a time might not end while responses are reordered and new entries arrive.
            response.match_index = self.last_index().min(append.prev_index.saturating_sub(1));
            if self.term_at(prev_index).is_some() {
                response.match_index = response.match_index.min(self.commit_index);
            }
            actions.push(Action::Send { to: from, payload: RaftPayload::AppendResponse(response) });
            return;
        }
        let end = prev_index + entries.len() as u64;
        let first_new = entries.iter().position(|entry| self.term_at(entry.index) != Some(entry.term));
        if let Some(first_new) = first_new {
            let entries = entries.split_off(first_new);
            let first = entries[0].index;
            if first <= self.commit_index {
                // Committed entries must never be replaced.
                let commit_index = self.commit_index;
                let why = format!("{from} sent another entry {first}, but {commit_index} is committed");
                invariants::record_violation(Invariant::CommittedEntriesArePermanent, &why);
                response.match_index = commit_index;
                actions.push(Action::Send { to: from, payload: RaftPayload::AppendResponse(response) });
                return;
            }
            self.log.truncate((first - self.snapshot.index - 1) as usize);
            self.log.extend(entries.iter().cloned());
            self.reload_membership();
            self.persist(Some((first, entries)), actions);
        }
        self.commit_index = self.commit_index.max(append.commit.min(end));
        self.incoming_snapshot.take_if(|incoming| incoming.index <= self.commit_index);
        if append.grants_voting && !self.hard_state.voting && self.commit_index >= append.commit {
            self.hard_state.voting = true;
            self.persist(None, actions);
        }
        (response.success, response.match_index, response.voting) = (true, end, self.hard_state.voting);
        actions.push(Action::Send { to: from, payload: RaftPayload::AppendResponse(response) });
        self.apply_committed(actions);
    }

    /// Checks that this member does not lead in a term in which another one sends entries or a snapshot.
    pub(super) fn check_single_leader(&self, from: &Name, term: u64) {
        let two_leaders = self.is_leader() && term == self.hard_state.term && *from != self.me;
        invariants::check(Invariant::OneLeaderPerTerm, !two_leaders, || {
            format!("{from} and {} lead in term {term}", self.me)
        });
    }

    fn handle_append_response(
        &mut self, now: Millis, from: Name, response: &AppendResponse, actions: &mut Vec<Action>,
    ) {
        if response.term > self.hard_state.term {
            return self.become_follower(now, response.term, None, actions);
        }
        let (last_index, commit_index) = (self.last_index(), self.commit_index);
        let Role::Leader(leader) = &mut self.role else { return };
        if response.term < self.hard_state.term {
            return;
        }
        let first_index = leader.first_index;
        let Some(progress) = leader.progress_mut(&from) else { return };
        if !progress.record_response(now, response.request_sent_at, response.voting, Some(response.leaving)) {
            return;
        }
        progress.reachable_agents = response.reachable_agents;
        progress.max_entry_version = response.max_entry_version;
        if response.success {
            progress.match_index = progress.match_index.max(response.match_index);
            progress.next_index = progress.next_index.max(response.match_index + 1);
            progress.unacked_since = (progress.match_index + 1 < progress.next_index).then_some(now);
            progress.snapshot_transfer.take_if(|transfer| transfer.index() <= response.match_index);
        } else {
            progress.next_index = (response.match_index + 1).min(last_index + 1).max(1);
            progress.unacked_since = None;
        }
        if progress.unacked_since.is_none() {
            progress.in_flight_bytes = 0;
        }
        // Until an entry of its own term is committed, a leader's commit index may be too low.
        progress.caught_up |=
            progress.match_index >= commit_index && commit_index >= first_index && response.success;
        let send_more = progress.next_index <= last_index
            || !response.success
            || (progress.caught_up && !progress.voting);
        self.advance_commit(actions);
        if send_more {
            self.replicate_to(now, &from, actions);
        }
        self.change_members(now, actions);
    }

    // ---- Replication --------------------------------------------------------------------------------------

    /// Commits the entries that a quorum holds, once the last of them is of the current term.
    fn advance_commit(&mut self, actions: &mut Vec<Action>) {
        let last_index = self.last_index();
        let Role::Leader(leader) = &self.role else { return };
        let replicated = self.quorum_value(|name| {
            if *name == self.me {
                return self.hard_state.voting.then_some(last_index);
            }
            let peer = leader.peers.get(name).filter(|peer| peer.voting && !peer.released);
            peer.map(|peer| peer.match_index)
        });
        let Some(replicated) = replicated.filter(|index| *index > self.commit_index) else { return };
        if self.term_at(replicated) == Some(self.hard_state.term) {
            self.commit_index = replicated;
            self.apply_committed(actions);
        }
    }

    /// Sends to all members and learners, or only to those due for a heartbeat.
    fn replicate(&mut self, now: Millis, only_due: bool, actions: &mut Vec<Action>) {
        let Role::Leader(leader) = &self.role else { return };
        let names: Vec<_> = leader.peers.keys().chain(leader.learners.keys()).cloned().collect();
        for name in names {
            let Role::Leader(leader) = &mut self.role else { return };
            let Some(progress) = leader.progress_mut(&name) else { continue };
            let due = now - progress.last_sent >= HEARTBEAT_MS;
            if due || !only_due {
                self.replicate_to(now, &name, actions);
            }
        }
    }

    /// Sends one member or learner the entries or the snapshot that it lacks, or a heartbeat.
    fn replicate_to(&mut self, now: Millis, to: &Name, actions: &mut Vec<Action>) {
        let (term, commit, min_prev_index) = (self.hard_state.term, self.commit_index, self.min_prev_index());
        let released = self.may_release(now, to);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress_mut(to) else { return };
        if progress.next_index <= min_prev_index {
            return self.send_snapshot(now, to, actions);
        }
        let retransmit_after = RETRANSMIT_MS + progress.in_flight_bytes as f64 / RETRANSMIT_BYTES_PER_MS;
        if progress.unacked_since.is_some_and(|at| now - at > retransmit_after) {
            progress.next_index = progress.match_index + 1;
            (progress.unacked_since, progress.in_flight_bytes) = (None, 0);
        }
        let prev_index = progress.next_index.max(min_prev_index + 1) - 1;
        let mut in_flight_bytes = progress.in_flight_bytes;
        let fits = |entry: &&Entry| {
            let first = in_flight_bytes == 0;
            in_flight_bytes += entry.data.len() + ENTRY_OVERHEAD_BYTES;
            first || in_flight_bytes <= MAX_IN_FLIGHT_BYTES
        };
        let available = self.entries_after(prev_index).into_iter().flatten();
        let entries: Vec<_> = available.take(MAX_BATCH_ENTRIES).take_while(fits).cloned().collect();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress_mut(to) else { return };
        (progress.next_index, progress.last_sent) = (prev_index + 1 + entries.len() as u64, now);
        if !entries.is_empty() {
            progress.unacked_since.get_or_insert(now);
            progress.in_flight_bytes +=
                entries.iter().map(|entry| entry.data.len() + ENTRY_OVERHEAD_BYTES).sum::<usize>();
        }
        let (grants_voting, since_heard_ms) = (progress.caught_up, now - progress.last_heard);
        progress.released |= released;
        let append = AppendEntries {
            term,
            prev_index,
            prev_term: self.term_at(prev_index).unwrap_or(0),
            entries,
            commit,
            grants_voting,
            sent_at: now,
            released,
            since_heard_ms,
        };
        actions.push(Action::Send { to: to.clone(), payload: RaftPayload::AppendEntries(append) });
    }
}
