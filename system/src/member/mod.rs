//! The state machine of a core process, without sockets, clock or disk. Inputs are [`Event`]s with the
//! current time, outputs are [`Action`]s to be executed in order. `control.rs` owns the sockets, the clock
//! and the disk.
//!
//! Submodules: `operator_calls` handles operators' calls, `rollouts` new versions, `presence` backends and gateways,
//! `push` messages to agents, `quota` the tenants' quotas, and `joining` messages between core processes.

mod joining;
mod operator_calls;
mod presence;
mod push;
mod quota;
mod rollouts;

use crate::api::{self, CallHandler, CallRequest, Dispatched, Outcome, Refusal, Reply};
use crate::invariants::{self, Invariant};
use crate::protocol::{
    Change, ChangeKind, Charges, CorePayload, ForwardedCall, FromAgent, StateSnapshot, ToAgent, Totals,
};
use crate::raft::{self, Entry, Name, PersistentState, RaftMessage, RaftNode, Save};
use crate::rollout::controller::Controller;
use crate::settings::Settings;
use crate::state::{DigestCache, State, Touched};
use crate::store::SaveLatency;
use crate::update_outcomes::UpdateId;
use bytes::Bytes;
use eyre::{eyre, Result};
use joining::PendingForward;
use oakfall::Millis;
use operator_calls::Updates;
use presence::Presence;
use prost::Message;
use push::{Agent, EncodedState};
use quota::QuotaCounters;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Interval between ticks.
pub const TICK_MS: Millis = 25.0;
/// Interval of the maintenance rounds; see [`Member::run_maintenance`].
const MAINTENANCE_INTERVAL_TICKS: u32 = 20;
/// Interval at which the leader sends its state digest to the other members: 5 s, as a difference is a rare
/// fault.
const DIGEST_INTERVAL_TICKS: u32 = 200;
/// Interval at which a member without a leader logs the reason.
const LEADERLESS_LOG_INTERVAL_TICKS: u32 = 80;
/// A call is refused after this time, before its caller gives up after 1000 ms.
pub const CALL_TIMEOUT_MS: Millis = 850.0;
/// A process without a tick for this long was suspended, and the input that it reads next may have waited as
/// long. Scheduling delays on a busy machine are shorter.
const STALL_MS: Millis = 300.0;
/// Time after a stall within which everything that waited in sockets is read.
const STALE_INPUT_MS: Millis = 100.0;
/// The log is compacted at each index that is a multiple of this, so that all members have equal snapshots at
/// equal indices (apart from remaining warm-up times and the ages of ended evacuations).
const COMPACTION_INTERVAL: u64 = 512;
/// The log is also compacted at this size, as entries may hold large configurations: with some MiB each,
/// 512 would exceed the memory of the process. All members reach the size at the same index.
const MAX_LOG_BYTES: usize = 8 << 20;
/// A leader hands over after this many consecutive maintenance rounds in which it was poorly connected to the
/// agents; see [`RaftNode::is_poorly_connected`]. After a start, agents take some rounds to connect.
const MAX_POORLY_CONNECTED_ROUNDS: u32 = 4;
/// Minimum interval between handovers: if every disk is slow, no other leader is better.
const MIN_HANDOVER_INTERVAL_MS: Millis = 10_000.0;

/// An input to a core process.
pub enum Event {
    /// Time has passed.
    Tick,
    /// [`Action::Save`] was completed. Until then, no other event may be handled.
    Saved {
        /// How long the save took, in ms.
        took_ms: f64,
    },
    /// A message from another core process.
    PeerMessage {
        /// The sender.
        from: Name,
        /// The message.
        message: CorePayload,
    },
    /// A client's call.
    ClientCall {
        /// Identifies the call in [`Action::Answer`].
        call: u64,
        /// HTTP method.
        method: String,
        /// Path with query.
        path: String,
        /// Request body.
        body: Vec<u8>,
    },
    /// The client of this call has disconnected.
    ClientGone(u64),
    /// An agent's report.
    AgentMessage {
        /// The link it came on.
        link: u64,
        /// The report.
        message: FromAgent,
    },
    /// A proxy's quota charges.
    Charged {
        /// The link they came on.
        link: u64,
        /// The charges.
        charges: Charges,
    },
    /// The link to an agent or a proxy has closed.
    LinkClosed(u64),
    /// The settings list these core processes as seeds.
    SeedsChanged(Vec<SocketAddr>),
    /// The process is to shut down. It runs on until [`Member::leave_outcome`] allows the exit or the grace
    /// period is over.
    Shutdown,
}

/// An output of a core process; outputs are executed in order.
#[derive(Debug)]
pub enum Action {
    /// Save to disk before executing any later action, then report [`Event::Saved`].
    Save(Box<Save>),
    /// Send a message to another core process; it may be lost.
    SendPeer {
        /// The receiver.
        to: Name,
        /// The message.
        message: Box<CorePayload>,
    },
    /// Answer a client's call.
    Answer {
        /// Identifies the call in [`Event::ClientCall`].
        call: u64,
        /// The response.
        reply: Reply,
    },
    /// Forward a request to join to another core process, on behalf of its sender.
    ForwardJoin {
        /// The receiver.
        to: Name,
        /// The process that wants to join.
        from: Name,
    },
    /// Send a message to an agent. The link is closed if the message can't be queued.
    Send {
        /// The agent's link.
        link: u64,
        /// The message.
        message: Box<ToAgent>,
    },
    /// Send a framed [`ToAgent`] with the whole state, encoded once for many agents. The link is closed if it
    /// can't be queued.
    SendState {
        /// The agent's link.
        link: u64,
        /// The frame.
        frame: Bytes,
    },
    /// Answer a proxy's charges.
    SendTotals {
        /// The proxy's link.
        link: u64,
        /// The totals.
        totals: Totals,
    },
    /// Exit the process because of this unrecoverable error.
    Abort(String),
}

/// Maximum time between deciding a response and writing it. A leader decides responses only within 550 ms (the
/// lease) of sending a message that a quorum has answered, and no other member leads within 700 ms (the minimum
/// election timeout) of that message. The remaining 50 ms cover clock drift.
pub const MAX_RESPONSE_DELAY_MS: Millis = 100.0;

impl Action {
    /// Replaces a response with a status below 500 by a refusal if it was decided too long ago, as after a
    /// stall or a slow save.
    pub fn fenced(self, decided: Millis, now: Millis) -> Action {
        let late = now - decided > MAX_RESPONSE_DELAY_MS;
        match self {
            Action::Answer { call, reply } if late && reply.status < 500 => {
                Action::Answer { call, reply: Refusal::Unavailable.reply() }
            }
            Action::SendPeer { to, mut message } => {
                if let CorePayload::Answer(answer) = &mut *message {
                    if late && answer.status < 500 {
                        let Reply { status, body, .. } = Refusal::Unavailable.reply();
                        (answer.status, answer.body) = (u32::from(status), body.into_bytes());
                    }
                }
                Action::SendPeer { to, message }
            }
            action => action,
        }
    }
}

/// The origin of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Caller {
    /// A client, by call number.
    Client(u64),
    /// A core process that forwarded the call, and its call id there.
    Peer(Name, u64),
}

/// Condition for a successful response.
pub enum Wait {
    /// This change is committed.
    Committed(ChangeKind),
    /// This configuration update is accepted and enforced.
    Update(api::ConfigUpdate),
}

/// A call that is not answered yet.
struct PendingCall {
    /// The response if the call succeeds.
    success: Reply,
    deadline: Millis,
    stage: Stage,
}

/// Progress of a call.
enum Stage {
    /// Forwarded to the leader.
    Forwarded(PendingForward),
    /// A configuration update that is not proposed yet.
    Queued(api::ConfigUpdate),
    /// The change is about to be proposed; with its id if it is a configuration update.
    Proposing(Option<UpdateId>),
    /// The change is proposed as this entry.
    Proposed { index: u64, term: u64, update_id: Option<UpdateId> },
    /// The configuration update is accepted, and waits until it is enforced.
    Enforcing { index: u64 },
}

/// An input to the Raft node.
enum RaftInput {
    Event(raft::Event),
    /// A change to propose, and the caller that waits for it.
    Propose(ChangeKind, Option<Caller>),
}

/// A core process: a member of the Raft group, or a learner that wants to be one.
pub struct Member {
    settings: Settings,
    me: Name,
    /// Core processes listed in the current settings.
    seeds: Vec<SocketAddr>,
    raft: RaftNode,
    state: State,
    digest: DigestCache,
    /// Actions of the Raft node that are held back while a save is in progress.
    raft_actions: VecDeque<raft::Action>,
    /// Inputs to the Raft node, to be handled after `raft_actions`.
    inputs: VecDeque<RaftInput>,
    saving: bool,
    /// A committed change could not be read: the state is incomplete until it is repaired, and another member
    /// should lead.
    state_incomplete: bool,
    /// Entries were applied that are not pushed to the agents yet.
    state_changed: bool,
    /// This process's leadership was announced to the agents.
    leadership_announced: bool,
    save_latency: SaveLatency,
    last_handover: Option<Millis>,
    /// Consecutive maintenance rounds in which this leader was poorly connected to the agents.
    poorly_connected_rounds: u32,
    calls: BTreeMap<Caller, PendingCall>,
    /// Calls that other core processes forwarded, by sender and call id, with their arrival times; used to
    /// drop duplicates.
    received_forwards: BTreeMap<(Name, u64), Millis>,
    updates: Updates,
    presence: Presence,
    agents: BTreeMap<u64, Agent>,
    /// When changes were last pushed to all agents, and whether newer ones wait for the next push.
    last_push: Millis,
    push_pending: bool,
    /// The whole state as last encoded for agents.
    encoded_state: Option<EncodedState>,
    quota_counters: QuotaCounters,
    /// The services of the configuration in force; known to the leader only.
    services: BTreeSet<String>,
    rollout_controller: Controller,
    /// Id of the next forwarded call.
    next_call_id: u64,
    ticks: u32,
    rejected_messages: u64,
    last_tick: Millis,
    /// Until this time, received calls may have been sent before a stall.
    stale_input_until: Millis,
    rng: fastrand::Rng,
}

impl Member {
    /// Starts a core process from the contents of its disk. Also returns what must be saved before it handles
    /// any event.
    pub fn start(
        settings: Settings, disk: Option<PersistentState>, seed: u64, now: Millis,
    ) -> Result<(Member, Option<Save>)> {
        let address = settings.control_addr.ok_or_else(|| eyre!("network.docks_at.control is missing"))?;
        let me = address.to_string();
        let mut state_snapshot = StateSnapshot::default();
        let mut damaged = false;
        if let Some(saved) = &disk {
            match StateSnapshot::decode(&saved.snapshot.state[..]) {
                Ok(decoded) => state_snapshot = decoded,
                Err(_) => damaged = true,
            }
        }
        // An unreadable disk counts as an empty one that may have lost a vote: the process does not bootstrap,
        // votes for nobody at first, and counts towards a quorum only after a leader has sent it the state.
        let emptied = damaged.then(|| {
            log::error!("core: can't read the state on disk; waiting for a copy from the leader");
            PersistentState::default()
        });
        let disk = emptied.or(disk);
        let bootstraps = disk.is_none() && settings.first_start && settings.seeds.contains(&address);
        let (saved, first_save) = match disk {
            Some(saved) if damaged => {
                let (hard_state, snapshot) = (saved.hard_state.clone(), Some(saved.snapshot.clone()));
                (saved, Some(Save { hard_state, entries: Some((0, Vec::new())), snapshot }))
            }
            Some(saved) => (saved, None),
            None if bootstraps => {
                let saved = RaftNode::bootstrap(settings.seeds.iter().map(SocketAddr::to_string).collect());
                let (hard_state, snapshot) = (saved.hard_state.clone(), Some(saved.snapshot.clone()));
                (saved, Some(Save { hard_state, entries: None, snapshot }))
            }
            None => Default::default(),
        };
        log::info!(
            "core: starting as {me} with {} log entries after snapshot index {} ({})",
            saved.entries.len(),
            saved.snapshot.index,
            if bootstraps { "bootstrapping a new cluster" } else { "not bootstrapping" }
        );
        let state = State { index: saved.snapshot.index, ..State::from_snapshot(now, state_snapshot) };
        let rollout_controller = Controller::new(settings.bounds.expose_share);
        let member = Member {
            seeds: settings.seeds.clone(),
            raft: RaftNode::new(me.clone(), saved, seed, now).with_decode_check(can_decode_snapshot),
            settings,
            me,
            state,
            digest: DigestCache::default(),
            raft_actions: VecDeque::new(),
            inputs: VecDeque::new(),
            saving: false,
            state_incomplete: false,
            state_changed: false,
            leadership_announced: false,
            save_latency: SaveLatency::default(),
            last_handover: None,
            poorly_connected_rounds: 0,
            calls: BTreeMap::new(),
            received_forwards: BTreeMap::new(),
            updates: Updates::default(),
            presence: Presence::default(),
            agents: BTreeMap::new(),
            last_push: f64::NEG_INFINITY,
            push_pending: false,
            encoded_state: None,
            quota_counters: QuotaCounters::default(),
            services: BTreeSet::new(),
            rollout_controller,
            next_call_id: seed >> 16,
            ticks: 0,
            rejected_messages: 0,
            last_tick: now,
            stale_input_until: now,
            rng: fastrand::Rng::with_seed(seed),
        };
        Ok((member, first_save))
    }

    /// This process's name, which is its control address.
    pub fn name(&self) -> &Name {
        &self.me
    }

    /// Whether this process is the leader.
    pub fn is_leader(&self) -> bool {
        self.raft.is_leader()
    }

    /// This process's replica of the state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Messages rejected because their sender is unknown or its name is not an address.
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// Whether the link to this core process stays open while idle: true for members and seeds.
    pub fn keeps_link_to(&self, name: &str) -> bool {
        let seed = self.seeds.iter().any(|seed| seed.to_string() == name);
        seed || self.raft.members().iter().any(|member| member == name)
    }

    /// The Raft node.
    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// Whether a process that is shutting down may exit: see [`RaftNode::leave_outcome`].
    pub fn leave_outcome(&self) -> Option<bool> {
        self.raft.leave_outcome()
    }

    /// Whether it may answer on behalf of the system: it holds the leader lease and its state is complete.
    fn is_authoritative(&self, now: Millis) -> bool {
        !self.state_incomplete && self.raft.holds_lease(now)
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        debug_assert!(
            !self.saving || matches!(event, Event::Saved { .. }),
            "no other event while a save is in progress"
        );
        match event {
            Event::Tick => self.tick(now, out),
            Event::Saved { took_ms } => self.save_completed(now, took_ms),
            Event::PeerMessage { from, message } => self.handle_peer_message(now, from, message, out),
            Event::ClientCall { call, method, path, body } => {
                let request = CallRequest { method: &method, path: &path, body: &body };
                self.handle_call(now, Caller::Client(call), &request, out);
            }
            Event::ClientGone(call) => self.remove_call(&Caller::Client(call)),
            Event::AgentMessage { link, message } => self.handle_report(now, link, message, out),
            Event::Charged { link, charges } => self.handle_charges(now, link, &charges, out),
            Event::LinkClosed(link) => drop(self.agents.remove(&link)),
            Event::SeedsChanged(seeds) => self.seeds = seeds,
            Event::Shutdown => self.inputs.push_back(RaftInput::Event(raft::Event::Leave)),
        }
        self.run_raft(now, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.ticks = self.ticks.wrapping_add(1);
        if self.is_stalled(now) {
            log::warn!("core: process was stalled for {:.0} ms", now - self.last_tick);
            self.stale_input_until = now + STALE_INPUT_MS;
        }
        self.last_tick = now;
        self.inputs.push_back(RaftInput::Event(raft::Event::Tick));
        self.run_raft(now, out);
        if self.ticks.is_multiple_of(MAINTENANCE_INTERVAL_TICKS) {
            self.run_maintenance(now, out);
        }
        if self.ticks.is_multiple_of(LEADERLESS_LOG_INTERVAL_TICKS) {
            if let Some(why) = self.raft.no_leader_reason() {
                log::warn!("core: no leader: {why}");
            }
        }
        if self.ticks.is_multiple_of(DIGEST_INTERVAL_TICKS) && self.is_leader() {
            self.broadcast_digest(out);
        }
        if self.is_leader() && !self.presence.is_settled() {
            self.update_settled();
        }
        if self.ticks.is_multiple_of(rollouts::CONTROLLER_INTERVAL_TICKS) {
            self.advance_rollouts(now);
        }
        if self.push_pending {
            self.push_changes(now, out);
        }
        self.refuse_stuck_calls(now, out);
        self.answer_enforced(now, out);
    }

    /// Refuses calls that are past their deadline or can't be completed here: forwarded ones whose leader is
    /// unreachable, and others if this process has lost the lease.
    fn refuse_stuck_calls(&mut self, now: Millis, out: &mut Vec<Action>) {
        let authoritative = self.is_authoritative(now);
        let is_stuck = |call: &PendingCall| match &call.stage {
            Stage::Forwarded(forwarded) => !self.is_leader_reachable(now, forwarded.to()),
            _ => !authoritative,
        };
        let stuck = self.calls.iter().filter(|(_, call)| now > call.deadline || is_stuck(call));
        for caller in stuck.map(|(caller, _)| caller.clone()).collect::<Vec<_>>() {
            self.refuse(&caller, &Refusal::Unavailable, out);
        }
    }

    fn run_maintenance(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.request_join(out);
        if self.state_incomplete && self.is_leader() {
            self.inputs.push_back(RaftInput::Event(raft::Event::TransferLeadership));
        }
        self.check_agent_connectivity(now);
        // Older duplicates are refused because of their age.
        self.received_forwards.retain(|_, received| now - *received < joining::MAX_FORWARD_AGE_MS);
        if !self.is_authoritative(now) {
            return;
        }
        for kind in self.presence_changes(now) {
            self.inputs.push_back(RaftInput::Propose(kind, None));
        }
        self.quota_counters.remove_idle(now);
    }

    // ---- Raft ---------------------------------------------------------------------------------------------

    fn save_completed(&mut self, now: Millis, took_ms: f64) {
        self.saving = false;
        if self.save_latency.record(took_ms) {
            self.hand_over(now, "the disk is slow");
        }
    }

    /// Passes the number of connected agents to the Raft node, and hands over leadership if this leader has
    /// been poorly connected for several rounds.
    fn check_agent_connectivity(&mut self, now: Millis) {
        let present =
            self.agents.values().filter(|agent| now - agent.last_report < presence::AGENT_TIMEOUT_MS);
        let connected_agents = present.count() as u32;
        self.inputs.push_back(RaftInput::Event(raft::Event::ReachableAgents(connected_agents)));
        self.poorly_connected_rounds =
            if self.raft.is_poorly_connected(now) { self.poorly_connected_rounds + 1 } else { 0 };
        if self.poorly_connected_rounds >= MAX_POORLY_CONNECTED_ROUNDS {
            self.hand_over(now, "another member is connected to more than twice as many agents");
        }
    }

    /// Requests a leadership transfer, if this process leads and requested none recently. Earlier inputs are
    /// handled first.
    fn hand_over(&mut self, now: Millis, why: &str) {
        let recent = self.last_handover.is_some_and(|at| now - at < MIN_HANDOVER_INTERVAL_MS);
        if self.is_leader() && !recent {
            log::warn!("core: handing over leadership: {why}");
            (self.last_handover, self.poorly_connected_rounds) = (Some(now), 0);
            self.inputs.push_back(RaftInput::Event(raft::Event::TransferLeadership));
        }
    }

    /// Executes the Raft node's actions and passes its inputs on, up to the next save.
    fn run_raft(&mut self, now: Millis, out: &mut Vec<Action>) {
        while !self.saving {
            if let Some(action) = self.raft_actions.pop_front() {
                self.execute(now, action, out);
            } else if std::mem::take(&mut self.state_changed) {
                self.push_changes(now, out);
                if self.is_authoritative(now) && !std::mem::replace(&mut self.leadership_announced, true) {
                    self.announce_leadership(now, out);
                }
            } else {
                if self.inputs.is_empty() {
                    self.advance_queued_updates(now, out);
                }
                let event = match self.inputs.pop_front() {
                    Some(RaftInput::Event(event)) => event,
                    Some(RaftInput::Propose(kind, caller)) => match self.propose(kind, caller, out) {
                        Some(event) => event,
                        None => continue,
                    },
                    None => return,
                };
                let mut actions = Vec::new();
                self.raft.handle(now, event, &mut actions);
                self.raft_actions.extend(actions);
            }
        }
    }

    /// The event that proposes a change. `None`, and a refusal to the caller, if this process accepts no
    /// proposals.
    fn propose(
        &mut self, kind: ChangeKind, caller: Option<Caller>, out: &mut Vec<Action>,
    ) -> Option<raft::Event> {
        if !self.raft.accepts_proposals() {
            if let Some(caller) = caller {
                self.refuse(&caller, &Refusal::Unavailable, out);
            }
            return None;
        }
        let (index, term) = (self.raft.last_index() + 1, self.raft.term());
        let kind = match kind {
            ChangeKind::Config(config) => {
                self.updates.add_proposed(&config, index, term);
                ChangeKind::Config(self.with_difference(config))
            }
            kind => kind,
        };
        if let Some(caller) = caller {
            let update_id = match self.calls.get(&caller).map(|call| &call.stage) {
                Some(Stage::Proposing(update_id)) => *update_id,
                _ => None,
            };
            self.set_stage(&caller, Stage::Proposed { index, term, update_id });
        }
        let deregistered = matches!(&kind, ChangeKind::BackendGone(id) if self.presence.has_deregistered(id));
        Some(raft::Event::Propose(Change { kind: Some(kind), deregistered }.encode_to_vec()))
    }

    /// Executes an action of the Raft node.
    fn execute(&mut self, now: Millis, action: raft::Action, out: &mut Vec<Action>) {
        match action {
            raft::Action::Save(save) => {
                self.saving = true;
                out.push(Action::Save(Box::new(save)));
            }
            raft::Action::Send { to, payload } => {
                self.send_peer(&to, CorePayload::Raft(RaftMessage { payload: Some(payload) }), out);
            }
            raft::Action::Apply(entry) => self.apply(now, &entry, out),
            raft::Action::Restore { index, state } => match StateSnapshot::decode(&state[..]) {
                Ok(snapshot) => {
                    let previous = self.state.index;
                    invariants::check(Invariant::StateIndexIsMonotonic, index >= previous, || {
                        format!("snapshot of index {index} replaces the state of index {previous}")
                    });
                    self.state = State { index, ..State::from_snapshot(now, snapshot) };
                    (self.state_changed, self.state_incomplete, self.encoded_state) = (true, false, None);
                }
                Err(_) => {
                    out.push(Action::Abort(format!("can't decode the received snapshot of index {index}")))
                }
            },
            raft::Action::LeadershipChanged(leads) => self.leadership_changed(now, leads, out),
        }
    }

    /// Applies a committed entry to the state, and continues with the calls that wait for it.
    fn apply(&mut self, now: Millis, entry: &Entry, out: &mut Vec<Action>) {
        self.state_changed = true;
        if !entry.final_members.is_empty() {
            log::info!("core: members are now {}", entry.final_members.join(", "));
        }
        let change = change_in(entry);
        if !entry.data.is_empty() && change.as_ref().is_none_or(|change| change.kind.is_none()) {
            log::error!("core: can't decode the change at index {}; not leading until repaired", entry.index);
            self.state_incomplete = true;
        }
        let touched = self.state.apply(now, entry.index, change.as_ref());
        self.compact(now);
        if touched == Touched::Config {
            self.load_config();
        }
        let kind = change.as_ref().and_then(|change| change.kind.as_ref());
        if let Some(ChangeKind::Config(config)) = kind {
            self.log_update(config, touched == Touched::Config);
        }
        self.updates.remove_applied(entry.index);
        let proposed_as_entry = |stage: &Stage| match stage {
            Stage::Proposed { index, term, update_id } if *index == entry.index => Some((*term, *update_id)),
            _ => None,
        };
        let calls = &self.calls;
        let waiting =
            calls.iter().filter_map(|(caller, call)| Some((caller.clone(), proposed_as_entry(&call.stage)?)));
        for (caller, (term, update_id)) in waiting.collect::<Vec<_>>() {
            match update_id {
                // An entry of another term took its place: the change was not committed.
                _ if term != entry.term => self.refuse(&caller, &Refusal::Unavailable, out),
                Some(update_id) => self.update_applied(now, &caller, &update_id, out),
                None => match self.rollout_refusal(kind, entry.index) {
                    Some(refusal) => self.refuse(&caller, &refusal, out),
                    None => self.reply_success(&caller, out),
                },
            }
        }
    }

    fn leadership_changed(&mut self, now: Millis, leads: bool, out: &mut Vec<Action>) {
        log::info!("core: {} in term {}", if leads { "leader" } else { "not leader" }, self.raft.term());
        self.leadership_announced = false;
        self.updates.clear_proposed();
        self.presence = Presence::new(now);
        self.rollout_controller = Controller::new(self.settings.bounds.expose_share);
        let slack = self.settings.bounds.quota_slack;
        self.quota_counters =
            if leads { QuotaCounters::new(now, self.raft.term(), slack) } else { QuotaCounters::default() };
        self.load_config();
        if !leads {
            // The results of these calls are unknown; a retry finds out.
            let own = self.calls.iter().filter(|(_, call)| !matches!(call.stage, Stage::Forwarded(_)));
            let callers: Vec<_> = own.map(|(caller, _)| caller.clone()).collect();
            for caller in callers {
                self.refuse(&caller, &Refusal::Unavailable, out);
            }
        }
    }

    /// Compacts the log into a snapshot at the same indices as every other member.
    fn compact(&mut self, now: Millis) {
        let index = self.state.index;
        if !index.is_multiple_of(COMPACTION_INTERVAL) && self.raft.log_bytes(index) < MAX_LOG_BYTES {
            return;
        }
        let state = self.state.snapshot(now, true).encode_to_vec();
        let mut actions = Vec::new();
        self.raft.compact(self.state.index, state, &mut actions);
        self.raft_actions.extend(actions);
    }

    // ---- Calls --------------------------------------------------------------------------------------------

    /// Whether the last tick was so long ago that the process must have been suspended.
    fn is_stalled(&self, now: Millis) -> bool {
        now - self.last_tick > STALL_MS
    }

    fn handle_call(&mut self, now: Millis, caller: Caller, request: &CallRequest, out: &mut Vec<Action>) {
        if self.is_stalled(now) || now < self.stale_input_until {
            // The call may have waited in its socket while its caller gave up and made newer calls elsewhere.
            return self.refuse(&caller, &Refusal::Unavailable, out);
        }
        match api::answer(self, now, request) {
            Dispatched::Replied(reply) => self.reply(&caller, reply, out),
            Dispatched::Pending(success, wait) => {
                let deadline = now + CALL_TIMEOUT_MS;
                match wait {
                    Wait::Committed(kind) => {
                        let stage = Stage::Proposing(None);
                        self.calls.insert(caller.clone(), PendingCall { success, deadline, stage });
                        self.inputs.push_back(RaftInput::Propose(kind, Some(caller)));
                    }
                    Wait::Update(update) => {
                        let stage = Stage::Queued(update);
                        self.calls.insert(caller.clone(), PendingCall { success, deadline, stage });
                        self.queue_update(caller, out);
                    }
                }
            }
            Dispatched::NotLeader => self.forward_call(now, caller, request, out),
        }
    }

    fn set_stage(&mut self, caller: &Caller, stage: Stage) {
        if let Some(call) = self.calls.get_mut(caller) {
            call.stage = stage;
        }
    }

    /// Answers a call with its successful response.
    fn reply_success(&mut self, caller: &Caller, out: &mut Vec<Action>) {
        if let Some(call) = self.calls.get(caller) {
            let success = call.success.clone();
            self.reply(caller, success, out);
        }
    }

    fn refuse(&mut self, caller: &Caller, why: &Refusal, out: &mut Vec<Action>) {
        self.reply(caller, why.reply(), out);
    }

    /// Answers a call and removes it.
    fn reply(&mut self, caller: &Caller, reply: Reply, out: &mut Vec<Action>) {
        self.remove_call(caller);
        match caller {
            Caller::Client(call) => out.push(Action::Answer { call: *call, reply }),
            Caller::Peer(name, call_id) => {
                let (body, status) = (reply.body.into_bytes(), u32::from(reply.status));
                let answer = ForwardedCall { call_id: *call_id, body, status, ..ForwardedCall::default() };
                self.send_peer(name, CorePayload::Answer(answer), out);
            }
        }
    }

    fn remove_call(&mut self, caller: &Caller) {
        self.calls.remove(caller);
        self.updates.dequeue(caller);
    }
}

impl CallHandler for Member {
    type Wait = Wait;

    fn is_leader(&self) -> bool {
        self.raft.is_leader()
    }

    fn holds_lease(&self, now: Millis) -> bool {
        self.raft.holds_lease(now)
    }
}

/// Result of a call to a member.
type CallResult<R> = Result<Outcome<R, Wait>, Refusal>;

/// Whether a snapshot can be decoded.
fn can_decode_snapshot(state: &[u8]) -> bool {
    StateSnapshot::decode(state).is_ok()
}

/// The change in an entry; `None` for Raft's own entries.
fn change_in(entry: &Entry) -> Option<Change> {
    Change::decode(&entry.data[..]).ok().filter(|_| !entry.data.is_empty())
}
