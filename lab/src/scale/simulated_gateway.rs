//! A simulated gateway: an agent and a proxy without sockets, clock and clients.
//!
//! The agent is the real [`AgentStateMachine`]. The proxy keeps the same copy of the state, route table and tenant limits
//! as the real one, and sends its agent the same messages for the same history, but it serves no requests and connects
//! to no backends.

use oakfall::Millis;
use oakfall_system::agent_state::{Action, AgentStateMachine, Event};
use oakfall_system::protocol::{
    ChangeKind, FromAgent, FromProxy, IndexedChange, StateSnapshot, ToAgent, ToProxy,
};
use oakfall_system::quota::QuotaClient;
use oakfall_system::raft::MAX_ENTRY_VERSION;
use oakfall_system::routes::numbers::{ClassNumbers, PoolNumbers};
use oakfall_system::routes::{RouteTable, Zones};
use oakfall_system::settings::Settings;
use oakfall_system::state::{DigestCache, State, Touched};
use prost::Message;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

/// Bytes of the length before each message on a link.
const LENGTH_PREFIX_BYTES: u64 = 4;
/// Number of the only link between the agent and the proxy.
const PROXY_LINK: u64 = 1;

/// Statistics of the messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MessageStats {
    /// Number of messages.
    pub messages: u64,
    /// Their bytes, with the length before each.
    pub bytes: u64,
    /// CPU time to handle them, in s.
    pub cpu_s: f64,
}

impl MessageStats {
    /// Adds other statistics to these.
    pub fn add(&mut self, other: MessageStats) {
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.cpu_s += other.cpu_s;
    }

    fn count(&mut self, message: &impl Message) {
        self.messages += 1;
        self.bytes += LENGTH_PREFIX_BYTES + message.encoded_len() as u64;
    }
}

/// Statistics of the messages that a gateway receives and sends, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GatewayStats {
    /// Core to agent: snapshots of the state.
    #[serde(rename = "whole")]
    pub snapshots: MessageStats,
    /// Core to agent: indexed changes.
    pub changes: MessageStats,
    /// Core to agent: heartbeat replies without anything else.
    #[serde(rename = "pulses")]
    pub heartbeat_replies: MessageStats,
    /// Agent to core.
    #[serde(rename = "words")]
    pub agent_messages: MessageStats,
    /// Agent to proxy, over loopback.
    #[serde(rename = "feeds")]
    pub proxy_updates: MessageStats,
    /// Proxy to agent, over loopback.
    #[serde(rename = "holds")]
    pub proxy_reports: MessageStats,
}

impl GatewayStats {
    /// Adds the statistics of another gateway.
    pub fn add(&mut self, other: &GatewayStats) {
        for (own, added) in self.kinds().into_iter().zip({ *other }.kinds()) {
            own.add(*added);
        }
    }

    /// The difference to an earlier value of the same statistics.
    pub fn since(mut self, earlier: &GatewayStats) -> GatewayStats {
        for (current, previous) in self.kinds().into_iter().zip({ *earlier }.kinds()) {
            current.messages = current.messages.saturating_sub(previous.messages);
            current.bytes = current.bytes.saturating_sub(previous.bytes);
            current.cpu_s -= previous.cpu_s;
        }
        self
    }

    fn kinds(&mut self) -> [&mut MessageStats; 6] {
        [
            &mut self.snapshots,
            &mut self.changes,
            &mut self.heartbeat_replies,
            &mut self.agent_messages,
            &mut self.proxy_updates,
            &mut self.proxy_reports,
        ]
    }

    /// Bytes between the gateway and the core, in both directions.
    pub fn control_bytes(&self) -> u64 {
        self.snapshots.bytes + self.changes.bytes + self.heartbeat_replies.bytes + self.agent_messages.bytes
    }

    /// CPU time of agent and proxy, in s.
    pub fn cpu_s(&self) -> f64 {
        [self.snapshots, self.changes, self.heartbeat_replies, self.agent_messages, self.proxy_updates]
            .iter()
            .map(|stats| stats.cpu_s)
            .sum()
    }
}

/// CPU time of this thread, in s.
pub fn thread_cpu_s() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// How much of the system's state a simulated proxy keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyDetail {
    /// Everything that the real proxy keeps.
    Full,
    /// Only the index and the edition. The proxy reports the same to its agent without the time to build a route table,
    /// but does not notice that the last backend has left, or that its state differs from the leader's.
    IndexOnly,
}

/// A simulated proxy. It applies messages as the real proxy does.
pub struct SimulatedProxy {
    detail: ProxyDetail,
    /// Without a copy of the state: its index, its edition, and whether it has had a backend that is not draining.
    index: u64,
    edition: u64,
    had_backend: bool,
    settings: Settings,
    zones: Zones,
    state: Option<State>,
    digest: DigestCache,
    differs: bool,
    table: Option<RouteTable>,
    classes: ClassNumbers,
    pools: PoolNumbers,
    quota_client: QuotaClient,
    /// Time of the last contact with the leader.
    last_leader_contact: Option<Millis>,
}

impl SimulatedProxy {
    /// A proxy without any state.
    pub fn new(settings: Settings, detail: ProxyDetail) -> Self {
        SimulatedProxy {
            detail,
            index: 0,
            edition: 0,
            had_backend: false,
            zones: Zones::new(&settings.zones),
            state: None,
            digest: DigestCache::default(),
            differs: false,
            table: None,
            classes: ClassNumbers::default(),
            pools: PoolNumbers::default(),
            quota_client: QuotaClient::new(settings.bounds.quota_slack),
            last_leader_contact: None,
            settings,
        }
    }

    /// The message to the agent: the first one, or the reply to a message.
    pub fn report(&mut self, now: Millis) -> FromProxy {
        let differs = std::mem::take(&mut self.differs);
        FromProxy {
            client_addr: self.settings.client_addr.map(|address| address.to_string()).unwrap_or_default(),
            ready: self.can_serve() && self.has_lease(now),
            applied_index: self.applied_index(),
            ranges: self.state.as_ref().filter(|_| differs).map(State::range_digests),
            sent_at: Some(now),
            readable_format: MAX_ENTRY_VERSION,
            version_counts: Vec::new(),
        }
    }

    /// Applies a message. Returns the edition that it puts into effect, if any.
    pub fn apply(&mut self, now: Millis, message: ToProxy) -> Option<u64> {
        let ToProxy { snapshot, changes, leader_contact_age_ms, index, digest, repair, .. } = message;
        if leader_contact_age_ms >= 0.0 {
            let contact = now - leader_contact_age_ms;
            self.last_leader_contact =
                Some(self.last_leader_contact.map_or(contact, |last| last.max(contact)));
            self.quota_client.leader_contacted(contact);
        }
        let applied_index = self.applied_index();
        if self.detail == ProxyDetail::IndexOnly {
            return self.apply_index(applied_index, snapshot.as_ref(), &changes);
        }
        let mut touched = Vec::new();
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > applied_index) {
            self.state = Some(State::from_snapshot(now, snapshot));
            touched = vec![Touched::Config, Touched::Gateways];
        }
        if let Some(state) = &mut self.state {
            touched.extend(state.apply_all(now, &changes));
            if repair.is_some_and(|repair| state.repair(now, repair)) {
                self.digest.invalidate();
                touched.extend([Touched::Config, Touched::Gateways]);
            }
            if digest != 0 && state.index == index && self.digest.of(state) != digest {
                self.differs = true;
            }
        }
        if touched.contains(&Touched::Gateways) {
            self.quota_client.set_gateways(self.state.as_ref().map_or(1, |state| state.gateways.len()));
        }
        touched.contains(&Touched::Config).then(|| self.configure(now)).flatten()
    }

    /// Whether it has a route table and a backend that is not draining.
    fn can_serve(&self) -> bool {
        let has_open_backend = |state: &State| state.backends.values().any(|known| !known.backend.draining);
        match self.detail {
            ProxyDetail::Full => self.table.is_some() && self.state.as_ref().is_some_and(has_open_backend),
            ProxyDetail::IndexOnly => self.edition > 0 && self.had_backend,
        }
    }

    fn applied_index(&self) -> u64 {
        self.state.as_ref().map_or(self.index, |state| state.index)
    }

    /// Applies a snapshot and changes to the index and the edition alone. Returns the new edition, if it has changed.
    fn apply_index(
        &mut self, applied_index: u64, snapshot: Option<&StateSnapshot>, changes: &[IndexedChange],
    ) -> Option<u64> {
        let edition_before = self.edition;
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index > applied_index) {
            self.had_backend = snapshot.backends.iter().any(|backend| !backend.draining);
            self.index = snapshot.index;
            self.edition = snapshot.config.as_ref().map_or(edition_before, |config| config.edition);
        }
        let has_snapshot = self.index > 0;
        for indexed in changes.iter().filter(|indexed| has_snapshot && indexed.index > applied_index) {
            self.index = indexed.index;
            match indexed.change.as_ref().and_then(|change| change.kind.as_ref()) {
                Some(ChangeKind::Config(config)) => self.edition = config.edition,
                Some(ChangeKind::Backend(backend)) => self.had_backend |= !backend.draining,
                _ => {}
            }
        }
        Some(self.edition).filter(|edition| *edition != edition_before)
    }

    /// Builds the route table from the copy of the state.
    fn configure(&mut self, now: Millis) -> Option<u64> {
        let config = self.state.as_ref()?.config.as_ref()?;
        let table = RouteTable::new(&config.text, &self.zones, &mut self.classes, &mut self.pools).ok()?;
        self.quota_client.set_limits(now, &table.limits);
        self.table = Some(table);
        Some(config.edition)
    }

    fn has_lease(&self, now: Millis) -> bool {
        let bounds = &self.settings.bounds;
        let lease_ms = bounds.lease().as_secs_f64() * 1000.0;
        !bounds.fail_closed || self.last_leader_contact.is_some_and(|contact| now - contact < lease_ms)
    }

    /// The route table in effect.
    pub fn table(&self) -> Option<&RouteTable> {
        self.table.as_ref()
    }

    /// The proxy's copy of the replicated state.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }
}

/// An output of a simulated gateway, for its runtime to carry out.
#[derive(Debug)]
pub enum Output {
    /// Keep a link to this core process.
    Connect(String),
    /// Close the link to this core process, and open a new one.
    Reset(String),
    /// Send a message to this core process.
    Send(String, Box<FromAgent>),
    /// The agent has applied this edition.
    AgentApplied(u64),
    /// The proxy has put this edition into effect.
    ProxyApplied(u64),
}

/// An agent and its proxy.
pub struct SimulatedGateway {
    agent: AgentStateMachine,
    proxy: SimulatedProxy,
    stats: GatewayStats,
}

impl SimulatedGateway {
    /// Starts a gateway, whose agent is connected to its proxy.
    pub fn new(settings: &Settings, detail: ProxyDetail, now: Millis, outputs: &mut Vec<Output>) -> Self {
        let mut actions = Vec::new();
        let agent = AgentStateMachine::new(settings, now, &mut actions);
        let mut gateway = SimulatedGateway {
            agent,
            proxy: SimulatedProxy::new(settings.clone(), detail),
            stats: GatewayStats::default(),
        };
        gateway.agent.handle(now, Event::ProxyConnected(PROXY_LINK), &mut actions);
        let report = gateway.proxy.report(now);
        gateway.stats.proxy_reports.count(&report);
        gateway.agent.handle(now, Event::ProxyMessage { link: PROXY_LINK, message: report }, &mut actions);
        gateway.execute(now, actions, outputs);
        gateway
    }

    /// Handles a message of a core process.
    pub fn handle_core_message(
        &mut self, now: Millis, core: String, message: Box<ToAgent>, outputs: &mut Vec<Output>,
    ) {
        // An index into `GatewayStats::kinds`.
        let kind = match &*message {
            ToAgent { snapshot: Some(_), .. } => 0,
            ToAgent { changes, .. } if !changes.is_empty() => 1,
            _ => 2,
        };
        let kinds = self.stats.kinds();
        kinds.into_iter().nth(kind).into_iter().for_each(|stats| stats.count(&*message));
        let (start, proxy_cpu_before) = (thread_cpu_s(), self.stats.proxy_updates.cpu_s);
        let edition_before = self.edition();
        let position = outputs.len();
        self.handle(now, Event::CoreMessage { core, message }, outputs);
        if self.edition() != edition_before {
            // The agent applies an edition before its proxy does.
            outputs.insert(position, Output::AgentApplied(self.edition()));
        }
        // The proxy's CPU time is counted separately.
        let cpu_s = thread_cpu_s() - start - (self.stats.proxy_updates.cpu_s - proxy_cpu_before);
        self.stats.kinds().into_iter().nth(kind).into_iter().for_each(|stats| stats.cpu_s += cpu_s);
    }

    /// Handles any other event.
    pub fn handle(&mut self, now: Millis, event: Event, outputs: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.agent.handle(now, event, &mut actions);
        self.execute(now, actions, outputs);
    }

    /// Executes the agent's actions. Messages to the proxy are encoded and decoded, as on a real link.
    fn execute(&mut self, now: Millis, actions: Vec<Action>, outputs: &mut Vec<Output>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Connect(core) => outputs.push(Output::Connect(core)),
                Action::Reset(core) => outputs.push(Output::Reset(core)),
                Action::Send { core, message } => {
                    self.stats.agent_messages.count(&*message);
                    outputs.push(Output::Send(core, message));
                }
                Action::SendProxy(message) => {
                    let start = thread_cpu_s();
                    self.stats.proxy_updates.count(&*message);
                    let bytes = message.encode_to_vec();
                    drop(message);
                    // Decoding a message that was just encoded does not fail.
                    let message = ToProxy::decode(&bytes[..]).unwrap_or_default();
                    drop(bytes);
                    let edition = self.proxy.apply(now, message);
                    outputs.extend(edition.map(Output::ProxyApplied));
                    let report = self.proxy.report(now);
                    self.stats.proxy_reports.count(&report);
                    self.stats.proxy_updates.cpu_s += thread_cpu_s() - start;
                    let mut more = Vec::new();
                    let event = Event::ProxyMessage { link: PROXY_LINK, message: report };
                    self.agent.handle(now, event, &mut more);
                    actions.extend(more);
                }
            }
        }
    }

    /// The edition in the agent's copy of the state; 0 without a configuration.
    fn edition(&self) -> u64 {
        let config = self.agent.state().and_then(|state| state.config.as_ref());
        config.map_or(0, |config| config.edition)
    }

    /// Time at which the gateway needs the next tick.
    pub fn next_deadline(&self) -> Millis {
        self.agent.next_deadline()
    }

    /// Whether the agent wants a link to this core process.
    pub fn wants_link(&mut self, now: Millis, core: &str) -> bool {
        self.agent.wants_link(now, core)
    }

    /// Statistics of the messages received and sent so far.
    pub fn stats(&self) -> &GatewayStats {
        &self.stats
    }

    /// The proxy of this gateway.
    pub fn proxy(&self) -> &SimulatedProxy {
        &self.proxy
    }

    /// The agent's copy of the replicated state.
    pub fn state(&self) -> Option<&State> {
        self.agent.state()
    }
}
