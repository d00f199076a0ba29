//! Messages between core processes: requests to join, calls forwarded to the leader, and comparison of state
//! digests.

use super::{Action, Caller, Member, PendingCall, RaftInput, Stage, CALL_TIMEOUT_MS};
use crate::api::{CallRequest, Refusal, Reply};
use crate::protocol::{CorePayload, ForwardedCall, RangeDigest, RangeDigests};
use crate::raft::{Event, Name, RaftMessage};
use oakfall::Millis;
use std::net::SocketAddr;

/// A call that was forwarded to `to` under `call_id`.
pub(super) struct PendingForward {
    to: Name,
    call_id: u64,
}

impl PendingForward {
    pub(super) fn to(&self) -> &Name {
        &self.to
    }
}

/// Maximum age of a forwarded call, counted from the sending of the last leader message that its sender had
/// received. Such a message comes every 100 ms and takes up to 55 ms between regions. Well below the 1000 ms
/// after which a caller retries elsewhere.
pub(super) const MAX_FORWARD_AGE_MS: Millis = 700.0;
/// No call is forwarded to a leader from which nothing was received for this long. The limit tolerates two
/// lost heartbeats and is below the election timeout.
const LEADER_SILENCE_MS: Millis = 400.0;
/// No call is forwarded to a leader that has received nothing from this process for this long: the link to
/// the leader may be down. Its messages are answered every 100 ms, an answer takes up to 100 ms between
/// regions, and one may be late.
const UNHEARD_BY_LEADER_MS: Millis = 500.0;
/// A process with this many learners rejects further requests to join from unknown processes. A system has at
/// most nine core machines.
const MAX_JOINING: usize = 9;
/// Retry-after time of a call that the leader refused.
const RETRY_AFTER_MS: u64 = 200;

impl Member {
    /// Handles a message from another core process. Rejects messages from unknown processes, except requests
    /// to join while there is room for learners.
    pub(super) fn handle_peer_message(
        &mut self, now: Millis, from: Name, message: CorePayload, out: &mut Vec<Action>,
    ) {
        let seed = self.seeds.iter().any(|seed| seed.to_string() == from);
        let known = seed || self.raft.accepts_messages_from(&from);
        let (joins, valid_name) =
            (matches!(message, CorePayload::Join(_)), from.parse::<SocketAddr>().is_ok());
        let has_room = !joins || known || self.raft.learner_count() < MAX_JOINING;
        if !valid_name || !(known || joins) || !has_room {
            self.rejected_messages += 1;
            if self.rejected_messages.is_power_of_two() {
                log::warn!(
                    "core: rejected {} messages from unknown processes so far",
                    self.rejected_messages
                );
            }
            return;
        }
        match message {
            CorePayload::Raft(RaftMessage { payload: Some(payload) }) => {
                self.inputs.push_back(RaftInput::Event(Event::Received { from, payload }));
            }
            CorePayload::Raft(_) => {}
            CorePayload::Call(call) => self.handle_forwarded_call(now, from, &call, out),
            CorePayload::Answer(answer) => self.handle_forwarded_reply(&from, answer, out),
            CorePayload::Compare(theirs) => self.compare_digest(&from, &theirs, out),
            CorePayload::Differs(theirs) => {
                let repair = self.state.repair_for(now, &theirs);
                if let Some(repair) = repair.filter(|_| self.is_leader()) {
                    self.send_peer(&from, CorePayload::Repair(repair), out);
                }
            }
            CorePayload::Repair(_) if self.raft.leader() != Some(&from) => {}
            CorePayload::Repair(repair) => {
                let names = repair.names.join(", ");
                if !self.is_leader() && self.state.repair(now, repair) {
                    log::warn!("core: state repaired from the leader: {names}");
                    self.digest.invalidate();
                    self.encoded_state = None;
                    self.state_incomplete = false;
                }
            }
            CorePayload::Join(_) => {
                if let Some(leader) = self.raft.leader().filter(|leader| **leader != self.me).cloned() {
                    out.push(Action::ForwardJoin { to: leader, from: from.clone() });
                }
                self.inputs.push_back(RaftInput::Event(Event::Join(from)));
            }
        }
    }

    pub(super) fn send_peer(&self, to: &Name, message: CorePayload, out: &mut Vec<Action>) {
        if *to != self.me {
            out.push(Action::SendPeer { to: to.clone(), message: Box::new(message) });
        }
    }

    /// Asks all known core processes to add this process, unless it is a member with a leader.
    pub(super) fn request_join(&self, out: &mut Vec<Action>) {
        if self.raft.needs_to_join() {
            let seeds = self.seeds.iter().map(SocketAddr::to_string);
            for core in seeds.chain(self.raft.members().iter().cloned()) {
                self.send_peer(&core, CorePayload::Join(true), out);
            }
        }
    }

    // ---- Forwarded calls ----------------------------------------------------------------------------------

    /// Forwards a client's call to the leader. Refuses a call that was itself forwarded, and any call while
    /// the leader is unreachable.
    pub(super) fn forward_call(
        &mut self, now: Millis, caller: Caller, called: &CallRequest, out: &mut Vec<Action>,
    ) {
        let leader = self.raft.leader().filter(|leader| self.is_leader_reachable(now, leader));
        let leader = leader.cloned().filter(|_| matches!(caller, Caller::Client(_)));
        let Some(to) = leader else { return self.refuse(&caller, &Refusal::Unavailable, out) };
        let call_id = self.next_call_id;
        self.next_call_id = call_id.wrapping_add(1);
        let path = format!("{} {}", called.method, called.path);
        let (term, leader_sent_at) = (self.raft.term(), self.raft.leader_sent_at());
        let call =
            ForwardedCall { call_id, path, body: called.body.to_vec(), status: 0, term, leader_sent_at };
        self.send_peer(&to, CorePayload::Call(call), out);
        let (success, deadline) = (Refusal::Unavailable.reply(), now + CALL_TIMEOUT_MS);
        let stage = Stage::Forwarded(PendingForward { to, call_id });
        self.calls.insert(caller, PendingCall { success, deadline, stage });
    }

    /// Whether this process follows `leader` and messages pass in both directions.
    pub(super) fn is_leader_reachable(&self, now: Millis, leader: &Name) -> bool {
        let (silence, unheard) = (now - self.raft.leader_heard_at(), self.raft.since_heard_by_leader(now));
        self.raft.leader() == Some(leader) && silence < LEADER_SILENCE_MS && unheard < UNHEARD_BY_LEADER_MS
    }

    /// Handles a call that another core process forwarded.
    fn handle_forwarded_call(
        &mut self, now: Millis, from: Name, call: &ForwardedCall, out: &mut Vec<Action>,
    ) {
        let Some((method, path)) = call.path.split_once(' ') else { return };
        let caller = Caller::Peer(from, call.call_id);
        // A call that its caller has given up and retried must not take effect again, after newer calls.
        let late = call.term != self.raft.term() || now - call.leader_sent_at > MAX_FORWARD_AGE_MS;
        if call.term > 0 && late {
            return self.refuse(&caller, &Refusal::Unavailable, out);
        }
        // Drops a duplicate: a call that reverses its effect may have been acknowledged since.
        let Caller::Peer(from, call_id) = &caller else { return };
        if self.received_forwards.insert((from.clone(), *call_id), now).is_some() {
            return;
        }
        self.handle_call(now, caller, &CallRequest { method, path, body: &call.body }, out);
    }

    /// Handles the reply to a call that this process forwarded.
    fn handle_forwarded_reply(&mut self, from: &Name, answer: ForwardedCall, out: &mut Vec<Action>) {
        let ForwardedCall { call_id, body, status, .. } = answer;
        let matches =
            |stage: &Stage| matches!(stage, Stage::Forwarded(f) if f.call_id == call_id && f.to == *from);
        let call = self.calls.iter().find(|(_, call)| matches(&call.stage));
        let caller = call.map(|(caller, _)| caller.clone());
        let (Some(caller), Ok(status)) = (caller, u16::try_from(status)) else { return };
        let body = String::from_utf8(body).unwrap_or_default();
        let after_ms = (status == 503).then_some(RETRY_AFTER_MS);
        self.reply(&caller, Reply { status, body, retry_after_ms: after_ms }, out);
    }

    // ---- State digests ------------------------------------------------------------------------------------

    /// Compares the leader's state digest with this replica's. If they differ, sends this replica's range
    /// digests to the leader.
    fn compare_digest(&self, leader: &Name, theirs: &RangeDigests, out: &mut Vec<Action>) {
        let digest = theirs.ranges.first().map(|range| range.digest);
        let same = theirs.index != self.state.index || digest == Some(self.digest.of(&self.state));
        if !same && self.raft.leader() == Some(leader) {
            let index = self.state.index;
            log::warn!("core: state at index {index} differs from the leader's; requesting repair");
            self.send_peer(leader, CorePayload::Differs(self.state.range_digests()), out);
        }
    }

    /// Sends this replica's digest to the other members.
    pub(super) fn broadcast_digest(&self, out: &mut Vec<Action>) {
        let digest = RangeDigest { name: String::new(), digest: self.digest.of(&self.state) };
        let ranges = RangeDigests { index: self.state.index, ranges: vec![digest] };
        for member in self.raft.members() {
            self.send_peer(member, CorePayload::Compare(ranges.clone()), out);
        }
    }
}
