//! The agent's state machine, without sockets or clock: which core processes it connects to and which one it
//! subscribes to, its replica of the state, what it reports to the core, and what it sends to its proxy.
//! Inputs are [`Event`]s with the current time, outputs are [`Action`]s; [`AgentStateMachine::next_deadline`]
//! is the time at which it needs the next tick.

use crate::protocol::{
    FromAgent, FromProxy, Gateway, HeartbeatReply, IndexedChange, Repair, ToAgent, ToProxy,
};
use crate::raft::MAX_ENTRY_VERSION;
use crate::settings::Settings;
use crate::state::{DigestCache, State, Touched};
use oakfall::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Interval between reports to the leader.
const LEADER_REPORT_INTERVAL_MS: Millis = 400.0;
/// Interval between reports to other core processes, which only need to know which gateways are ready.
const FOLLOWER_REPORT_INTERVAL_MS: Millis = 650.0;
/// A link on which nothing was received for this long is reset.
const LINK_TIMEOUT_MS: Millis = 2000.0;
/// A core process that has not been listed as a member or seed for this long is dropped.
const FORMER_MEMBER_TIMEOUT_MS: Millis = 30_000.0;
/// Maximum number of core processes that an agent connects to: members and their replacements.
const MAX_CORES: usize = 16;

/// An input to the agent.
pub enum Event {
    /// Time has passed.
    Tick,
    /// The link to this core process is open.
    LinkOpened(String),
    /// The link to this core process has closed.
    LinkClosed(String),
    /// A message from a core process.
    CoreMessage {
        /// The sender.
        core: String,
        /// The message.
        message: Box<ToAgent>,
    },
    /// The proxy opened the link with this number.
    ProxyConnected(u64),
    /// The proxy's link with this number has closed.
    ProxyDisconnected(u64),
    /// A message from the proxy.
    ProxyMessage {
        /// Number of the link.
        link: u64,
        /// The message.
        message: FromProxy,
    },
    /// The settings list these core processes as seeds.
    SeedsChanged(Vec<SocketAddr>),
}

/// An output of the agent; outputs are executed in order.
#[derive(Debug)]
pub enum Action {
    /// Connect to this core process, and reconnect for as long as [`AgentStateMachine::wants_link`] is true.
    Connect(String),
    /// Close the link to this core process, so that it is reopened.
    Reset(String),
    /// Send a message to a core process.
    Send {
        /// The receiver.
        core: String,
        /// The message.
        message: Box<FromAgent>,
    },
    /// Send a message to the proxy.
    SendProxy(Box<ToProxy>),
}

/// An open link to a core process.
struct Link {
    last_received: Millis,
    /// When the next report is due; infinite while the link is being reset.
    next_report: Millis,
    /// The gateway's registration as last sent on this link.
    reported: Option<Gateway>,
}

/// The agent's state machine.
pub struct AgentStateMachine {
    node: String,
    zone: String,
    /// Port of the core processes that accepts charges.
    inner_port: u16,
    seeds: Vec<String>,
    state: Option<State>,
    digest: DigestCache,
    /// The replica differs from the leader's: the digests of its ranges are sent with the next report.
    replica_differs: bool,
    /// Number of the proxy's link, and the last message received on it.
    proxy: Option<(u64, FromProxy)>,
    /// When each core process, by control address, was last listed as a member or seed.
    cores: BTreeMap<String, Millis>,
    /// The last list of members received; core processes send the list only when it changes.
    members: Vec<String>,
    links: BTreeMap<String, Link>,
    /// The current leader and its term, while the link to it is open.
    leader: Option<(String, u64)>,
    /// Highest term in which a leader was seen.
    term: u64,
    /// Index of the last change that carried a configuration. The leader's acknowledgement of the update
    /// waits for the proxy to apply it, so reaching this index is reported at once.
    awaited_index: u64,
    /// Send time of the latest report that the leader answered while the replica was up to date.
    up_to_date_at: Option<Millis>,
    /// Whether the leader was unsettled in the latest answer; see [`HeartbeatReply::unsettled`].
    unsettled: bool,
}

impl AgentStateMachine {
    /// A new agent; appends the links it needs to `out`.
    pub fn new(settings: &Settings, now: Millis, out: &mut Vec<Action>) -> Self {
        let mut agent = AgentStateMachine {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            inner_port: settings.inner_ports.0,
            seeds: Vec::new(),
            state: None,
            digest: DigestCache::default(),
            replica_differs: false,
            proxy: None,
            cores: BTreeMap::new(),
            members: Vec::new(),
            links: BTreeMap::new(),
            leader: None,
            term: 0,
            awaited_index: 0,
            up_to_date_at: None,
            unsettled: false,
        };
        agent.set_seeds(now, &settings.seeds, out);
        agent
    }

    /// The replica of the state, once received.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Whether the link to this core process is still needed.
    pub fn wants_link(&mut self, now: Millis, core: &str) -> bool {
        let recent = self.cores.get(core).is_some_and(|at| now - at <= FORMER_MEMBER_TIMEOUT_MS);
        let listed = self.members.iter().chain(&self.seeds).any(|name| name == core);
        let wanted = recent || listed;
        if !wanted {
            self.cores.remove(core);
        }
        wanted
    }

    /// Whether a proxy is connected.
    pub fn has_proxy(&self) -> bool {
        self.proxy.is_some()
    }

    /// When the next tick is needed.
    pub fn next_deadline(&self) -> Millis {
        self.links.values().map(|link| link.next_report).fold(f64::INFINITY, f64::min)
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.send_due_reports(now, out),
            Event::LinkOpened(core) => {
                self.links.insert(core, Link { last_received: now, next_report: now, reported: None });
                self.send_due_reports(now, out);
            }
            Event::LinkClosed(core) => {
                self.links.remove(&core);
                if self.leader.as_ref().is_some_and(|(name, _)| *name == core) {
                    self.leader = None;
                }
            }
            Event::CoreMessage { core, message } => self.handle_core_message(now, &core, *message, out),
            Event::ProxyConnected(link) => {
                self.proxy = Some((link, FromProxy::default()));
                let snapshot = self.state.as_ref().map(|state| state.snapshot(now, false));
                self.send_proxy(now, ToProxy { snapshot, ..ToProxy::default() }, out);
            }
            Event::ProxyDisconnected(link) => {
                if self.proxy.as_ref().is_some_and(|(number, _)| *number == link) {
                    self.proxy = None;
                    self.report_to_all(now, out);
                }
            }
            Event::ProxyMessage { link, message } => self.handle_proxy_message(now, link, message, out),
            Event::SeedsChanged(seeds) => self.set_seeds(now, &seeds, out),
        }
    }

    fn index(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.index)
    }

    // ---- Core ---------------------------------------------------------------------------------------------

    fn set_seeds(&mut self, now: Millis, seeds: &[SocketAddr], out: &mut Vec<Action>) {
        self.seeds = seeds.iter().map(SocketAddr::to_string).collect();
        for seed in self.seeds.clone() {
            self.add_core(now, seed, out);
        }
    }

    /// Records that a core process is listed, and connects to it if it is new.
    fn add_core(&mut self, now: Millis, core: String, out: &mut Vec<Action>) {
        let known = self.cores.contains_key(&core);
        if !known && (core.parse::<SocketAddr>().is_err() || self.cores.len() >= MAX_CORES) {
            return;
        }
        self.cores.insert(core.clone(), now);
        if !known {
            out.push(Action::Connect(core));
        }
    }

    /// Sends the reports that are due, and resets links that have timed out.
    fn send_due_reports(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due = self.links.iter().filter(|(_, link)| link.next_report <= now);
        for core in due.map(|(core, _)| core.clone()).collect::<Vec<_>>() {
            let gateway = self.gateway();
            let subscribes = self.leader.as_ref().is_some_and(|(name, _)| *name == core);
            let Some(link) = self.links.get_mut(&core) else { continue };
            if now - link.last_received > LINK_TIMEOUT_MS {
                // `Event::LinkOpened` schedules reports again.
                link.next_report = f64::INFINITY;
                out.push(Action::Reset(core));
                continue;
            }
            let interval = if subscribes { LEADER_REPORT_INTERVAL_MS } else { FOLLOWER_REPORT_INTERVAL_MS };
            link.next_report = now + interval;
            let gateway = Some(gateway).filter(|gateway| Some(gateway) != link.reported.as_ref());
            link.reported = gateway.clone().or(link.reported.take());
            let send_ranges = subscribes && std::mem::take(&mut self.replica_differs);
            let proxy = self.proxy.as_ref().map(|(_, message)| message);
            let message = FromAgent {
                gateway,
                ready: proxy.is_some_and(|proxy| proxy.ready),
                applied_index: self.index(),
                sent_at: now,
                subscribes,
                proxy_applied_index: proxy.map_or(0, |proxy| proxy.applied_index),
                ranges: self.state.as_ref().filter(|_| send_ranges).map(State::range_digests),
                readable_format: MAX_ENTRY_VERSION,
                version_counts: proxy
                    .filter(|_| subscribes)
                    .map(|proxy| proxy.version_counts.clone())
                    .unwrap_or_default(),
            };
            out.push(Action::Send { core, message: Box::new(message) });
        }
    }

    /// Reports to all core processes at once, as any of them may direct clients to this gateway.
    fn report_to_all(&mut self, now: Millis, out: &mut Vec<Action>) {
        let links = self.links.values_mut().filter(|link| link.next_report.is_finite());
        links.for_each(|link| link.next_report = now);
        self.send_due_reports(now, out);
    }

    /// Reports at once to the leader alone; the other core processes receive the next scheduled report.
    fn report_to_leader(&mut self, now: Millis, out: &mut Vec<Action>) {
        let link = self.leader.as_ref().and_then(|(name, _)| self.links.get_mut(name));
        if let Some(link) = link.filter(|link| link.next_report.is_finite()) {
            link.next_report = now;
            self.send_due_reports(now, out);
        }
    }

    fn gateway(&self) -> Gateway {
        let client_addr = self.proxy.as_ref().map_or(String::new(), |(_, proxy)| proxy.client_addr.clone());
        Gateway { node: self.node.clone(), zone: self.zone.clone(), client_addr }
    }

    fn handle_core_message(&mut self, now: Millis, core: &str, message: ToAgent, out: &mut Vec<Action>) {
        let ToAgent { snapshot, changes, heartbeat_reply, repair } = message;
        let Some(link) = self.links.get_mut(core) else { return };
        link.last_received = now;
        let previous_index = self.index();
        let mut report = false;
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > previous_index) {
            self.awaited_index = snapshot.index;
            self.state = Some(State::from_snapshot(now, snapshot.clone()));
            self.send_proxy(now, ToProxy { snapshot: Some(snapshot), ..ToProxy::default() }, out);
            report = true;
        }
        if let Some(state) = &mut self.state {
            if state.apply_all(now, &changes).contains(&Touched::Config) {
                self.awaited_index = state.index;
            }
        }
        if self.index() != previous_index {
            let reads_differences =
                self.proxy.as_ref().is_some_and(|(_, message)| message.readable_format >= MAX_ENTRY_VERSION);
            if !changes.is_empty()
                && (reads_differences || !changes.iter().any(IndexedChange::has_difference))
            {
                self.send_proxy(now, ToProxy { changes, ..ToProxy::default() }, out);
            } else if !changes.is_empty() {
                // A proxy of an earlier release can't read differences.
                let snapshot = self.state.as_ref().map(|state| state.snapshot(now, false));
                self.send_proxy(now, ToProxy { snapshot, ..ToProxy::default() }, out);
            }
        }
        if let Some(repair) = repair {
            self.repair(now, repair);
        }
        if let Some(heartbeat_reply) = heartbeat_reply {
            report |= self.handle_heartbeat_reply(now, core, heartbeat_reply, out);
        }
        if report {
            self.report_to_all(now, out);
        }
    }

    /// Handles a core process's reply to a report. Returns whether a new report is needed at once.
    fn handle_heartbeat_reply(
        &mut self, now: Millis, core: &str, reply: HeartbeatReply, out: &mut Vec<Action>,
    ) -> bool {
        let HeartbeatReply { request_sent_at, leads, term, index, members, digest, unsettled } = reply;
        for member in &members {
            self.add_core(now, member.clone(), out);
        }
        if !members.is_empty() {
            self.members = members;
        }
        if !leads {
            return false;
        }
        // An earlier leader's message may arrive after a later leader was known, even if the link to the later
        // one has closed since.
        if term < self.term {
            return false;
        }
        self.term = term;
        let mut report = false;
        match self.leader.as_ref().map(|(name, term)| (name == core, *term)) {
            Some((true, known_term)) if known_term == term => {}
            _ => {
                log::info!("agent: following leader {core} in term {term}");
                self.leader = Some((core.to_owned(), term));
                report = true;
            }
        }
        let differs = self
            .state
            .as_ref()
            .is_some_and(|state| digest != 0 && state.index == index && self.digest.of(state) != digest);
        if differs && !std::mem::replace(&mut self.replica_differs, true) {
            log::warn!("agent: state at index {index} differs from the leader's; requesting repair");
            report = true;
        }
        if self.index() >= index {
            self.up_to_date_at =
                Some(self.up_to_date_at.map_or(request_sent_at, |latest| latest.max(request_sent_at)));
            self.unsettled = unsettled;
        }
        self.send_proxy(now, ToProxy::default(), out);
        report
    }

    /// Replaces differing ranges of the replica by the leader's.
    fn repair(&mut self, now: Millis, repair: Repair) {
        let names = repair.names.join(", ");
        if self.state.as_mut().is_some_and(|state| state.repair(now, repair)) {
            log::warn!("agent: state repaired from the leader: {names}");
            self.digest.invalidate();
        }
    }

    // ---- Proxy --------------------------------------------------------------------------------------------

    /// Sends a message to the proxy, completed with the fields that every message carries, such as the
    /// counter's address and the time since the last leader contact.
    fn send_proxy(&self, now: Millis, message: ToProxy, out: &mut Vec<Action>) {
        if self.proxy.is_none() {
            return;
        }
        let leader = self.leader.as_ref().and_then(|(name, _)| name.parse::<SocketAddr>().ok());
        let counter = leader.map(|addr| SocketAddr::new(addr.ip(), self.inner_port).to_string());
        out.push(Action::SendProxy(Box::new(ToProxy {
            counter: counter.unwrap_or_default(),
            term: self.leader.as_ref().map_or(0, |(_, term)| *term),
            leader_contact_age_ms: self.up_to_date_at.map_or(-1.0, |at| now - at),
            index: self.index(),
            digest: self.state.as_ref().map_or(0, |state| self.digest.rate_limited(now, state)),
            request_sent_at: self.proxy.as_ref().and_then(|(_, message)| message.sent_at),
            unsettled: self.unsettled,
            ..message
        })));
    }

    fn handle_proxy_message(
        &mut self, now: Millis, link: u64, mut message: FromProxy, out: &mut Vec<Action>,
    ) {
        let ranges = message.ranges.take();
        let Some((number, current)) = &mut self.proxy else { return };
        if *number != link {
            return;
        }
        let previous = std::mem::replace(current, message);
        let unchanged = FromProxy {
            sent_at: current.sent_at,
            applied_index: current.applied_index,
            version_counts: current.version_counts.clone(),
            ..previous.clone()
        };
        let changed = unchanged != *current;
        // Other progress is reported on schedule: nothing waits for backend changes to reach every gateway.
        let awaited =
            previous.applied_index < self.awaited_index && current.applied_index >= self.awaited_index;
        let repair = self.state.as_ref().and_then(|state| state.repair_for(now, ranges.as_ref()?));
        if repair.is_some() {
            self.send_proxy(now, ToProxy { repair, ..ToProxy::default() }, out);
        }
        if previous.sent_at.is_none() {
            // The proxy counts a message as leader contact only if it returns one of the proxy's timestamps.
            self.send_proxy(now, ToProxy::default(), out);
        }
        if changed {
            self.report_to_all(now, out);
        } else if awaited {
            self.report_to_leader(now, out);
        }
    }
}
