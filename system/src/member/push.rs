//! Messages to agents: answers to their reports, state changes, and whole states.

use super::{change_in, Action, Member, RaftInput};
use crate::link::encode_frame;
use crate::protocol::{Change, ChangeKind, FromAgent, Gateway, HeartbeatReply, IndexedChange, ToAgent};
use crate::raft::{Entry, Name, MAX_ENTRY_VERSION};
use bytes::Bytes;
use oakfall::Millis;

/// Minimum interval between pushes of changes. It bounds the message rate to the whole fleet, however many
/// changes there are: 18,600 messages a second with 930 gateways.
const MIN_PUSH_INTERVAL_MS: Millis = 50.0;

/// How long an encoded state is reused. The remaining warm-up times in it are too long by at most this.
const ENCODED_STATE_TTL_MS: Millis = 500.0;

/// An encoded message with the whole state at `index`.
pub(super) struct EncodedState {
    encoded_at: Millis,
    index: u64,
    frame: Bytes,
}

/// A connected agent.
pub(super) struct Agent {
    pub(super) gateway: Gateway,
    /// The last report.
    pub(super) report: FromAgent,
    /// The list of members last sent to it.
    members: Vec<Name>,
    pub(super) last_report: Millis,
    /// Index up to which changes were sent to it.
    sent_index: u64,
}

impl Member {
    /// Handles an agent's report and answers it.
    pub(super) fn handle_report(
        &mut self, now: Millis, link: u64, mut report: FromAgent, out: &mut Vec<Action>,
    ) {
        let authoritative = self.is_authoritative(now);
        let members = self.raft.members().to_vec();
        let (subscribes, applied_index) = (report.subscribes, report.applied_index);
        let proxy_applied_index = report.proxy_applied_index;
        let version_counts = std::mem::take(&mut report.version_counts);
        let ranges = report.ranges.take().filter(|_| authoritative);
        let repair = ranges.and_then(|theirs| self.state.repair_for(now, &theirs));
        let agent = self.agents.entry(link).or_insert_with(|| Agent {
            gateway: Gateway::default(),
            report: FromAgent::default(),
            members: Vec::new(),
            last_report: now,
            sent_index: applied_index,
        });
        if let Some(gateway) = report.gateway.take() {
            agent.gateway = gateway;
        }
        (agent.report, agent.last_report) = (report, now);
        if !subscribes {
            agent.sent_index = applied_index;
        }
        let new_members = if agent.members == members { Vec::new() } else { members.clone() };
        agent.members = members;
        let (gateway, sent_at) = (agent.gateway.clone(), agent.report.sent_at);
        let heartbeat_reply = HeartbeatReply {
            members: new_members,
            ..self.new_heartbeat_reply(now, sent_at, authoritative, &gateway)
        };
        if authoritative {
            self.presence.record_gateway_contact(now, &gateway.node, proxy_applied_index);
            self.record_version_counts(now, &gateway.node, version_counts);
        }
        if authoritative && !self.is_registered(&gateway) && !gateway.client_addr.is_empty() {
            self.inputs.push_back(RaftInput::Propose(ChangeKind::Gateway(gateway), None));
        }
        if subscribes {
            self.push_changes_to(now, link, out);
        }
        let message = ToAgent { heartbeat_reply: Some(heartbeat_reply), repair, ..ToAgent::default() };
        // Configuration updates that are now enforced are answered at the next tick: checking all
        // gateways on each report would take quadratic time per update.
        out.push(Action::Send { link, message: Box::new(message) });
    }

    /// Announces this process as leader to all agents, with the index of its state.
    pub(super) fn announce_leadership(&self, now: Millis, out: &mut Vec<Action>) {
        let authoritative = self.is_authoritative(now);
        for (link, agent) in &self.agents {
            let heartbeat_reply =
                Some(self.new_heartbeat_reply(now, agent.report.sent_at, authoritative, &agent.gateway));
            let message = Box::new(ToAgent { heartbeat_reply, ..ToAgent::default() });
            out.push(Action::Send { link: *link, message });
        }
    }

    /// Whether the replicated state lists a gateway; always true unless `fail_closed`. A later leader waits
    /// only for listed gateways before it acknowledges a change.
    fn is_registered(&self, gateway: &Gateway) -> bool {
        !self.settings.bounds.fail_closed || self.state.gateways.contains_key(&gateway.node)
    }

    /// The reply to a report sent at `request_sent_at`. To a gateway that is not registered yet it gives the
    /// maximum index, so that the gateway does not count as up to date.
    fn new_heartbeat_reply(
        &self, now: Millis, request_sent_at: Millis, authoritative: bool, gateway: &Gateway,
    ) -> HeartbeatReply {
        let digest = if authoritative { self.digest.rate_limited(now, &self.state) } else { 0 };
        let (term, members) = (self.raft.term(), Vec::new());
        let index = if self.is_registered(gateway) { self.state.index } else { u64::MAX };
        let unsettled = !self.presence.is_settled();
        HeartbeatReply { request_sent_at, leads: authoritative, term, index, members, digest, unsettled }
    }

    /// Sends new changes to all subscribed agents; within [`MIN_PUSH_INTERVAL_MS`] of the last push, leaves
    /// them to a later tick.
    pub(super) fn push_changes(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.push_pending = now - self.last_push < MIN_PUSH_INTERVAL_MS;
        if self.push_pending {
            return;
        }
        self.last_push = now;
        let subscribers = self.agents.iter().filter(|(_, agent)| agent.report.subscribes);
        let links: Vec<_> = subscribers.map(|(link, _)| *link).collect();
        links.into_iter().for_each(|link| self.push_changes_to(now, link, out));
    }

    fn push_changes_to(&mut self, now: Millis, link: u64, out: &mut Vec<Action>) {
        let Some(agent) = self.agents.get(&link) else { return };
        let (sent_index, reads_differences) =
            (agent.sent_index, agent.report.readable_format >= MAX_ENTRY_VERSION);
        if sent_index >= self.state.index {
            return;
        }
        let changes = self.changes_since(sent_index, reads_differences).filter(|_| sent_index > 0);
        let changes = changes.unwrap_or_else(|| {
            let (frame, changes) = self.encoded_state(now, reads_differences);
            out.push(Action::SendState { link, frame });
            changes
        });
        if let Some(agent) = self.agents.get_mut(&link) {
            agent.sent_index = self.state.index;
        }
        if !changes.is_empty() {
            let message = Box::new(ToAgent { changes, ..ToAgent::default() });
            out.push(Action::Send { link, message });
        }
    }

    /// The changes after `index`, as sent to agents. `None` if the log no longer holds them, or if one is a
    /// difference and the agent, of an earlier release, reads only whole configurations.
    fn changes_since(&self, index: u64, reads_differences: bool) -> Option<Vec<IndexedChange>> {
        // Agents receive a rejected configuration update as an index without a change.
        let took_effect = |entry: &&Entry, change: &Change| match &change.kind {
            Some(ChangeKind::Config(_)) => self.state.update_outcomes.accepted_at(entry.index),
            Some(ChangeKind::Rejected(_)) => false,
            _ => true,
        };
        let change = |entry| change_in(entry).filter(|change| took_effect(&entry, change));
        let entries = self.raft.applied_entries_after(index)?;
        let changes: Vec<_> =
            entries.map(|entry| IndexedChange { index: entry.index, change: change(entry) }).collect();
        Some(changes)
            .filter(|changes| reads_differences || !changes.iter().any(IndexedChange::has_difference))
    }

    /// The whole state as an encoded message, and the changes since. The message is reused for a while: when
    /// a fleet starts, every agent needs it.
    fn encoded_state(&mut self, now: Millis, reads_differences: bool) -> (Bytes, Vec<IndexedChange>) {
        let recent =
            self.encoded_state.as_ref().filter(|encoded| now - encoded.encoded_at < ENCODED_STATE_TTL_MS);
        let reusable = recent.and_then(|encoded| {
            Some((encoded.frame.clone(), self.changes_since(encoded.index, reads_differences)?))
        });
        reusable.unwrap_or_else(|| {
            let snapshot = Some(self.state.snapshot(now, false));
            let frame = Bytes::from(encode_frame(&ToAgent { snapshot, ..ToAgent::default() }));
            let index = self.state.index;
            self.encoded_state = Some(EncodedState { encoded_at: now, index, frame: frame.clone() });
            (frame, Vec::new())
        })
    }
}
