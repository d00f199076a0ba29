//! Simulates the whole control plane in virtual time, from one seed: core members with disks, agents with
//! their proxies' replicas, backends that send heartbeats, drain and leave, and operators that send
//! concurrent and repeated requests, over a network with random faults. The state machines under test are the
//! real ones (`Member`, `AgentStateMachine`, `State`). Links can be slow, lossy, blocked or cut in one or
//! both directions; processes crash between any two actions, pause, or have slow disks; clocks drift.
//! `reference_model` checks the results, only by what callers and data planes observe.
#![allow(dead_code)] // Each test program uses only a part.

pub mod callers;
pub mod concurrent_updates;
pub mod faults;
pub mod reference_model;

#[path = "../bounds/mod.rs"]
mod bounds;
#[path = "../store_model/mod.rs"]
mod store_model;

pub use bounds::bounds;

use callers::Callers;
use oakfall_system::agent_state::{self, AgentStateMachine};
use oakfall_system::api::Reply;
use oakfall_system::member::{Action, Event, Member, TICK_MS};
use oakfall_system::protocol::{
    Change, CoreMessage, CorePayload, FromAgent, IndexedChange, ToAgent, ToProxy,
};
use oakfall_system::raft::{Entry, PersistentState, RaftPayload, Save};
use oakfall_system::replica::StateReplica;
use oakfall_system::settings::Settings;
use prost::Message;
use reference_model::ReferenceModel;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use store_model::{apply_save, InvariantCheck};

/// A connection across a cut breaks after this time.
const LINK_TIMEOUT_MS: f64 = 2000.0;
/// Delivery of a message blocked by a cut is retried at this interval.
const BLOCKED_RETRY_MS: f64 = 50.0;
/// Number of recently sent snapshots kept for inspection.
const MAX_SENT_SNAPSHOTS: usize = 32;
/// Interval between checks of all data planes.
const CHECK_INTERVAL_MS: f64 = 100.0;
/// A gateway counts as connected after this time without a disturbance.
const STABLE_CONNECTION_MS: f64 = 5000.0;
/// Longest time from deciding a response to writing it: within the leader's lease, before another can lead.
const MAX_RESPONSE_DELAY_MS: f64 = 150.0;
/// A member that has been isolated for this long must reject calls at once.
const ISOLATION_GRACE_MS: f64 = 1000.0;

/// A deliberate fault in the simulated environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A core process's clock stands still while the process is paused.
    ClockStopsInPause,
    /// A response that was decided before a pause is written after it.
    ResponseAfterPause,
    /// A leader without a lease acknowledges that a backend has left.
    LeaveAckedWithoutLease,
    /// Members that don't lead claim leadership in their replies to agents.
    FollowerClaimsLeadership,
    /// A deposed leader reports its last term as a later one.
    StaleTermReportedAsNew,
    /// A leader sends agents uncommitted entries.
    PushBeforeCommit,
    /// Gateways report changes as applied that their proxies lack.
    AppliedIndexOverstated,
    /// A new leader claims to have received a heartbeat from every backend.
    SettledWithoutHeartbeats,
    /// A proxy's lease never expires.
    LeaseNeverExpires,
    /// A proxy treats old updates from its agent as fresh.
    UpdateAgeIgnored,
}

/// One end of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Core(usize),
    Gateway(usize),
    /// All backends and operators.
    External,
}

/// An event at a core process.
#[derive(Clone)]
pub enum Input {
    Tick,
    /// A message from another core process: the sender's name and the payload.
    PeerMessage(String, Box<CorePayload>),
    /// A client call: token, method, path and body.
    Call(u64, &'static str, String, Vec<u8>),
    /// A message from an agent on a link.
    AgentMessage(u64, FromAgent),
    LinkClosed(u64),
    Shutdown,
}

/// An event of the simulation. Process numbers come with the incarnation that the event is meant for.
enum SimEvent {
    CoreInput(usize, u64, Input),
    /// A message between core processes arrives: sender, receiver, the receiver's incarnation, the name it is
    /// sent under, the payload, and since when a cut has blocked it.
    PeerMessage(usize, usize, u64, String, Box<CorePayload>, Option<f64>),
    ResumeCore(usize, u64),
    /// A core process's message arrives at the agent's end of a link.
    ToAgent(u64, Box<ToAgent>),
    /// An agent's message arrives at the core's end of a link.
    FromAgent(u64, Box<FromAgent>),
    /// All data planes are checked against the reference model.
    Check,
    /// A gateway opens a link to this core process.
    Connect(usize, u64, String),
    LinkOpened(u64),
    LinkClosed(u64),
    AgentTick(usize, u64),
    /// A proxy sends its periodic report to its agent.
    ProxyReport(usize, u64),
    /// An agent's update arrives at its proxy.
    ProxyUpdate(usize, u64, Box<ToProxy>),
    ResumeGateway(usize, u64),
    CallerTurn(callers::Caller),
    /// A call ends with a response, or with none if the connection broke or timed out.
    CallEnded(u64, Option<Reply>),
    Start(Endpoint),
}

/// An entry of the event queue, ordered by time and then by sequence number.
struct ScheduledEvent {
    at: f64,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// A core process and its disk, which survives restarts.
pub struct Core {
    /// The process's state machine while it runs.
    pub running: Option<Member>,
    pub disk: Option<PersistentState>,
    /// Incremented by each start and crash; events for an earlier incarnation are dropped.
    pub incarnation: u64,
    started_at: f64,
    /// Its clock's speed relative to virtual time.
    pub clock_rate: f64,
    /// How long a disk sync takes.
    pub sync_ms: f64,
    /// Actions to execute, each with the time at which it was decided.
    pending_actions: VecDeque<(f64, Action)>,
    inbox: VecDeque<Input>,
    /// How long a completed save took; reported to the member before any other event.
    completed_save_ms: Option<f64>,
    /// It is paused or waits for its disk until then.
    paused_until: f64,
    /// The end of its latest pause.
    last_pause_end: f64,
    was_leader: bool,
    /// Time spent paused that its clock does not count.
    uncounted_ms: f64,
    /// Since when it has been cut off from all other core processes.
    isolated_since: Option<f64>,
    /// Whether it is a member from the first start on.
    pub founder: bool,
    /// It and its disk are lost for good.
    pub lost: bool,
}

/// A gateway: its agent and its proxy's replica of the state.
pub struct Gateway {
    pub agent: Option<AgentStateMachine>,
    pub incarnation: u64,
    started_at: f64,
    pub clock_rate: f64,
    pub replica: StateReplica,
    agent_deadline: f64,
    agent_paused_until: f64,
    proxy_paused_until: f64,
    agent_inbox: VecDeque<agent_state::Event>,
    proxy_inbox: VecDeque<ToProxy>,
    /// Since when it runs and reaches the core.
    connected_since: f64,
}

/// A link from an agent to a core process.
struct Link {
    gateway: usize,
    gateway_incarnation: u64,
    core: usize,
    core_incarnation: u64,
    /// Since when a cut has blocked it.
    blocked_since: Option<f64>,
    /// When the last message in each direction arrives; later ones arrive after it.
    last_arrival_at_core: f64,
    last_arrival_at_agent: f64,
}

/// Probabilities of random faults.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// A message between core processes is lost.
    pub loss: f64,
    /// A message between core processes is sent twice.
    pub duplication: f64,
    /// A core process crashes before an action.
    pub crash: f64,
    /// A response to a caller is lost.
    pub response_loss: f64,
    /// A core process pauses for up to 1.5 s before an action.
    pub pause: f64,
}

impl FaultRates {
    pub const NONE: FaultRates =
        FaultRates { loss: 0.0, duplication: 0.0, crash: 0.0, response_loss: 0.0, pause: 0.0 };
}

/// A deliberate fault in the handling of snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotMutant {
    /// Snapshots are sent without the member list.
    NoMembers,
    /// Entries covered by a snapshot stay in the log and are applied again.
    EntriesAppliedTwice,
    /// A saved snapshot holds the state of the previous one.
    StaleState,
}

/// The simulated system.
pub struct World {
    pub rng: fastrand::Rng,
    pub now: f64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    next_sequence: u64,
    pub cores: Vec<Core>,
    pub gateways: Vec<Gateway>,
    links: BTreeMap<u64, Link>,
    /// Pairs of which the first can't reach the second.
    pub cuts: BTreeSet<(Endpoint, Endpoint)>,
    pub fault_rates: FaultRates,
    /// Probability that a call is delayed past its caller's timeout.
    pub late_call_probability: f64,
    /// A deliberate fault: a delayed heartbeat carries a newer postmark than those sent after it.
    pub late_calls_look_newest: bool,
    /// Calls in flight: core process, its incarnation, time of sending, and whether it is an operator's
    /// update.
    calls: BTreeMap<u64, (usize, u64, f64, bool)>,
    /// Operators' acknowledged updates: the time, and the core process that answered.
    pub acked_updates: Vec<(f64, usize)>,
    /// The frames of the last snapshots sent to agents, newest first.
    pub sent_snapshots: Vec<bytes::Bytes>,
    /// The core processes that reach a majority, and since when that has been so.
    connected_cores: Vec<usize>,
    majority_since: f64,
    pub mutant: Option<Mutant>,
    /// Number of gateways that [`World::start`] leaves out; [`World::settle`] starts them.
    pub delayed_gateways: usize,
    /// Bandwidth of a link between two core processes.
    pub bytes_per_ms: f64,
    /// Until when each link between two core processes is busy.
    link_busy_until: BTreeMap<(usize, usize), f64>,
    /// Probability that a snapshot message arrives with a flipped bit.
    pub corruption: f64,
    invariants: InvariantCheck,
    pub snapshot_mutant: Option<SnapshotMutant>,
    /// Number of snapshot messages sent between core processes.
    pub snapshot_messages: u64,
    /// Number of snapshots installed.
    pub installs: u64,
    pub callers: Callers,
    pub concurrent_requests: concurrent_updates::ConcurrentRequests,
    pub model: ReferenceModel,
    pub seeds: Vec<SocketAddr>,
    /// The replies to calls that a test sent itself, by token.
    pub replies: BTreeMap<u64, Reply>,
    last_id: u64,
    /// Number of events processed.
    pub events: u64,
}

/// The control address of a core process.
pub fn core_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 8080))
}

/// The number of the core process that has this control address as its name.
pub fn core_number(name: &str) -> Option<usize> {
    let address: SocketAddr = name.parse().ok()?;
    match address.ip() {
        IpAddr::V4(ip) => Some(usize::from(ip.octets()[3]) - 1),
        IpAddr::V6(_) => None,
    }
}

pub fn settings(
    node: String, control: Option<SocketAddr>, seeds: Vec<SocketAddr>, first_start: bool,
) -> Settings {
    Settings {
        node,
        ip: IpAddr::from([10, 0, 0, 1]),
        zone: "z1".into(),
        region: "r".into(),
        first_start,
        data_dir: None,
        memory_mb: 256,
        max_fds: 4096,
        client_addr: None,
        ready_addr: None,
        control_addr: control,
        directory_addr: None,
        inner_ports: (7000, 7010),
        seeds,
        relays: BTreeMap::new(),
        zones: BTreeMap::from([("z1".into(), "r".into()), ("z2".into(), "r".into())]),
        heartbeat_interval: Duration::from_millis(1500),
        closes_unordered_versions: true,
        bounds: bounds(),
    }
}

impl World {
    /// `extra_cores` are core machines that are not members at first. Nothing runs before [`World::start`].
    pub fn new(
        seed: u64, founders: usize, extra_cores: usize, gateways: usize, backends: usize, operators: usize,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let clock_rate = |rng: &mut fastrand::Rng| 1.0 + (rng.f64() - 0.5) * 0.02;
        let core = |rng: &mut fastrand::Rng, founder| Core {
            running: None,
            disk: None,
            incarnation: 0,
            started_at: 0.0,
            clock_rate: clock_rate(rng),
            sync_ms: 0.5,
            pending_actions: VecDeque::new(),
            inbox: VecDeque::new(),
            completed_save_ms: None,
            paused_until: 0.0,
            last_pause_end: 0.0,
            was_leader: false,
            uncounted_ms: 0.0,
            isolated_since: None,
            founder,
            lost: false,
        };
        let cores = (0..founders + extra_cores).map(|number| core(&mut rng, number < founders)).collect();
        let gateway = |rng: &mut fastrand::Rng| Gateway {
            agent: None,
            incarnation: 0,
            started_at: 0.0,
            clock_rate: clock_rate(rng),
            replica: StateReplica::new(&bounds()),
            agent_deadline: f64::INFINITY,
            agent_paused_until: 0.0,
            proxy_paused_until: 0.0,
            agent_inbox: VecDeque::new(),
            proxy_inbox: VecDeque::new(),
            connected_since: 0.0,
        };
        let gateways = (0..gateways).map(|_| gateway(&mut rng)).collect();
        World {
            callers: Callers::new(backends, operators),
            rng,
            now: 0.0,
            queue: BinaryHeap::new(),
            next_sequence: 0,
            cores,
            gateways,
            links: BTreeMap::new(),
            cuts: BTreeSet::new(),
            late_call_probability: 0.0,
            late_calls_look_newest: false,
            bytes_per_ms: f64::INFINITY,
            link_busy_until: BTreeMap::new(),
            corruption: 0.0,
            snapshot_mutant: None,
            snapshot_messages: 0,
            installs: 0,
            concurrent_requests: concurrent_updates::ConcurrentRequests::default(),
            fault_rates: FaultRates::NONE,
            calls: BTreeMap::new(),
            acked_updates: Vec::new(),
            sent_snapshots: Vec::new(),
            connected_cores: Vec::new(),
            majority_since: 0.0,
            mutant: None,
            invariants: InvariantCheck::start(),
            delayed_gateways: 0,
            model: ReferenceModel::default(),
            seeds: (0..founders.min(3)).map(core_address).collect(),
            replies: BTreeMap::new(),
            last_id: 0,
            events: 0,
        }
    }

    /// Starts the founders, all gateways and all callers.
    pub fn start(&mut self) {
        for core in 0..self.cores.len() {
            if self.cores[core].founder {
                self.start_core(core, true);
            }
        }
        (0..self.gateways.len() - self.delayed_gateways).for_each(|gateway| self.start_gateway(gateway));
        self.schedule(CHECK_INTERVAL_MS, SimEvent::Check);
        for caller in self.callers.all() {
            let after = self.rng.f64() * 500.0;
            self.schedule(after, SimEvent::CallerTurn(caller));
        }
    }

    /// Ends all faults, starts everything that is down, stops churn and operators' new requests, and after
    /// this time checks the final state.
    pub fn settle(&mut self, duration_ms: f64) {
        self.cuts.clear();
        self.fault_rates = FaultRates::NONE;
        (self.callers.churn, self.callers.operators_active) = (false, false);
        (self.late_call_probability, self.corruption) = (0.0, 0.0);
        (0..self.cores.len()).for_each(|core| self.start_core(core, false));
        (0..self.gateways.len()).for_each(|gateway| self.start_gateway(gateway));
        self.run_until(self.now + duration_ms);
        reference_model::check_final_state(self);
    }

    fn schedule(&mut self, after: f64, event: SimEvent) {
        self.next_sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at: self.now + after,
            sequence: self.next_sequence,
            event,
        }));
    }

    pub fn schedule_turn(&mut self, after: f64, caller: callers::Caller) {
        self.schedule(after, SimEvent::CallerTurn(caller));
    }

    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Processes events until this time.
    pub fn run_until(&mut self, until: f64) {
        while self.queue.peek().is_some_and(|next| next.0.at <= until) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = self.now.max(next.at);
            self.events += 1;
            self.handle(next.event);
        }
        self.now = until;
        self.invariants.assert_none_violated();
    }

    /// Schedules this response to a call, whatever the core process answers.
    pub fn answer_later(&mut self, token: u64, reply: Reply) {
        let delay = self.delay();
        self.schedule(delay, SimEvent::CallEnded(token, Some(reply)));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::CoreInput(core, incarnation, input) => {
                if self.cores[core].incarnation == incarnation && self.cores[core].running.is_some() {
                    self.cores[core].inbox.push_back(input);
                    self.run_core(core);
                }
            }
            SimEvent::ResumeCore(core, incarnation) => {
                if self.cores[core].incarnation == incarnation {
                    if self.rng.bool() {
                        // Sockets are read in any order: waiting calls may come before all other input.
                        let inbox = std::mem::take(&mut self.cores[core].inbox);
                        let is_call = |input: &Input| matches!(input, Input::Call(..));
                        let (calls, rest): (Vec<_>, Vec<_>) = inbox.into_iter().partition(is_call);
                        self.cores[core].inbox = calls.into_iter().chain(rest).collect();
                    }
                    self.run_core(core);
                }
            }
            SimEvent::PeerMessage(from, to, incarnation, name, payload, blocked_since) => {
                self.deliver_peer_message(from, to, incarnation, name, payload, blocked_since)
            }
            SimEvent::Check => {
                self.update_connectivity();
                reference_model::check_key_revocation(self);
                reference_model::check_draining(self);
                self.schedule(CHECK_INTERVAL_MS, SimEvent::Check);
            }
            SimEvent::Connect(gateway, incarnation, core) => self.connect(gateway, incarnation, core),
            SimEvent::LinkOpened(link) => self.link_opened(link),
            SimEvent::ToAgent(link, message) => self.deliver_to_agent(link, message),
            SimEvent::FromAgent(link, message) => self.deliver_to_core(link, message),
            SimEvent::LinkClosed(link) => self.close_at_agent(link),
            SimEvent::AgentTick(gateway, incarnation) => {
                self.handle_agent_event(gateway, incarnation, agent_state::Event::Tick)
            }
            SimEvent::ProxyReport(gateway, incarnation) => self.send_proxy_report(gateway, incarnation),
            SimEvent::ProxyUpdate(gateway, incarnation, update) => {
                if self.gateways[gateway].incarnation == incarnation {
                    self.gateways[gateway].proxy_inbox.push_back(*update);
                    self.run_proxy(gateway);
                }
            }
            SimEvent::ResumeGateway(gateway, incarnation) => {
                if self.gateways[gateway].incarnation == incarnation {
                    self.run_proxy(gateway);
                    self.run_agent(gateway);
                }
            }
            SimEvent::CallerTurn(caller) => callers::take_turn(self, caller),
            SimEvent::CallEnded(token, reply) => {
                if self.calls.remove(&token).is_some() {
                    callers::call_ended(self, token, reply);
                }
            }
            SimEvent::Start(Endpoint::Core(core)) => self.start_core(core, false),
            SimEvent::Start(Endpoint::Gateway(gateway)) => self.start_gateway(gateway),
            SimEvent::Start(Endpoint::External) => {}
        }
    }

    // ---- The network --------------------------------------------------------------------------------------

    pub fn can_reach(&self, from: Endpoint, to: Endpoint) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Cuts an endpoint off from others in both directions.
    pub fn cut_off(&mut self, endpoint: Endpoint, others: impl IntoIterator<Item = Endpoint>) {
        for other in others {
            if other != endpoint {
                self.cuts.insert((endpoint, other));
                self.cuts.insert((other, endpoint));
            }
        }
    }

    /// Updates which core processes are isolated, which reach a majority, and which gateways reach all of
    /// those.
    fn update_connectivity(&mut self) {
        let founders = self.cores.iter().filter(|core| core.founder).count();
        let is_up = |world: &World, number: usize| {
            let core = &world.cores[number];
            core.running.is_some() && core.paused_until <= world.now
        };
        let reach_each_other =
            |world: &World, a: Endpoint, b: Endpoint| world.can_reach(a, b) && world.can_reach(b, a);
        let all: Vec<usize> = (0..self.cores.len()).collect();
        let reachable_peers = |world: &World, number: usize| {
            let others = all.iter().filter(|other| **other != number && is_up(world, **other));
            others
                .filter(|other| reach_each_other(world, Endpoint::Core(number), Endpoint::Core(**other)))
                .count()
        };
        for number in all.iter().copied() {
            // A leader needs replies from its peers; a follower only needs to receive their messages.
            let leads = self.cores[number].running.as_ref().is_some_and(|member| member.is_leader());
            let hears = |other: usize| {
                let (this, peer) = (Endpoint::Core(number), Endpoint::Core(other));
                is_up(self, other) && self.can_reach(peer, this) && (!leads || self.can_reach(this, peer))
            };
            let isolated = all.len() > 1 && all.iter().all(|other| *other == number || !hears(*other));
            let core = &mut self.cores[number];
            core.isolated_since = if isolated { core.isolated_since.or(Some(self.now)) } else { None };
        }
        let connected =
            |number: &usize| is_up(self, *number) && reachable_peers(self, *number) + 1 > founders / 2;
        let connected: Vec<usize> = all.iter().copied().filter(connected).collect();
        if connected != self.connected_cores || connected.len() <= founders / 2 {
            (self.connected_cores, self.majority_since) = (connected, self.now);
        }
        for number in 0..self.gateways.len() {
            let gateway = &self.gateways[number];
            let is_up = gateway.agent.is_some()
                && gateway.agent_paused_until.max(gateway.proxy_paused_until) <= self.now;
            let reaches_all = self
                .connected_cores
                .iter()
                .all(|core| reach_each_other(self, Endpoint::Gateway(number), Endpoint::Core(*core)));
            if !is_up || !reaches_all {
                self.gateways[number].connected_since = self.now;
            }
        }
    }

    /// Whether the core has had a majority, and the gateway has reached it, for long enough to rely on.
    pub fn is_connected(&self, gateway: usize) -> bool {
        self.now - self.majority_since > STABLE_CONNECTION_MS
            && self.now - self.gateways[gateway].connected_since > STABLE_CONNECTION_MS
    }

    /// Breaks all open links that cross a cut.
    pub fn reset_links(&mut self) {
        let is_cut = |world: &World, link: &Link| {
            let (a, b) = (Endpoint::Gateway(link.gateway), Endpoint::Core(link.core));
            !world.can_reach(a, b) || !world.can_reach(b, a)
        };
        let links: Vec<u64> =
            self.links.iter().filter(|(_, link)| is_cut(self, link)).map(|(id, _)| *id).collect();
        for link in links {
            if let Some(broken) = self.links.get(&link) {
                self.schedule(
                    0.0,
                    SimEvent::CoreInput(broken.core, broken.core_incarnation, Input::LinkClosed(link)),
                );
            }
            self.close_at_agent(link);
        }
    }

    fn delay(&mut self) -> f64 {
        1.0 + self.rng.f64().powi(8) * 150.0
    }

    // ---- Core processes -----------------------------------------------------------------------------------

    /// Starts a core process from its disk, unless it runs or is lost.
    pub fn start_core(&mut self, number: usize, first: bool) {
        if self.cores[number].running.is_some() || self.cores[number].lost {
            return;
        }
        let settings =
            settings(format!("core-{number}"), Some(core_address(number)), self.seeds.clone(), first);
        let seed = self.rng.u64(..);
        let core = &mut self.cores[number];
        let result = Member::start(settings, core.disk.clone(), seed, 0.0);
        let (member, save) = result.expect("the saved state can be read");
        if let Some(save) = save {
            apply_save(&mut core.disk, save);
        }
        core.incarnation += 1;
        (core.started_at, core.uncounted_ms) = (self.now, 0.0);
        core.running = Some(member);
        core.pending_actions.clear();
        core.inbox.clear();
        core.completed_save_ms = None;
        core.paused_until = self.now;
        let incarnation = core.incarnation;
        self.schedule(TICK_MS, SimEvent::CoreInput(number, incarnation, Input::Tick));
    }

    /// Kills a core process; its disk is kept.
    pub fn kill_core(&mut self, number: usize) {
        let core = &mut self.cores[number];
        if core.running.take().is_none() {
            return;
        }
        core.incarnation += 1;
        core.pending_actions.clear();
        core.inbox.clear();
        // Open connections to it are reset.
        let calls: Vec<_> =
            self.calls.iter().filter(|(_, call)| call.0 == number).map(|(token, _)| *token).collect();
        for token in calls {
            let delay = self.delay();
            self.schedule(delay, SimEvent::CallEnded(token, None));
        }
        let links: Vec<_> =
            self.links.iter().filter(|(_, link)| link.core == number).map(|(id, _)| *id).collect();
        for link in links {
            let delay = self.delay();
            self.schedule(delay, SimEvent::LinkClosed(link));
        }
    }

    pub fn start_later(&mut self, endpoint: Endpoint, after: f64) {
        self.schedule(after, SimEvent::Start(endpoint));
    }

    /// Pauses a core process. Its input is queued.
    pub fn pause_core(&mut self, number: usize, duration_ms: f64) {
        let core = &mut self.cores[number];
        let until = core.paused_until.max(self.now + duration_ms);
        if self.mutant == Some(Mutant::ClockStopsInPause) {
            core.uncounted_ms += until - core.paused_until.max(self.now);
        }
        (core.paused_until, core.last_pause_end) = (until, until);
        let incarnation = core.incarnation;
        self.schedule(duration_ms, SimEvent::ResumeCore(number, incarnation));
    }

    /// The number of the leader that holds a lease.
    pub fn leader(&self) -> Option<usize> {
        (0..self.cores.len()).find(|number| {
            let core = &self.cores[*number];
            let holds_lease = |member: &Member| member.raft().holds_lease(self.core_clock(*number));
            core.running.as_ref().is_some_and(holds_lease)
        })
    }

    /// The highest term of any core process.
    pub fn term(&self) -> u64 {
        let terms = self.cores.iter().filter_map(|core| core.running.as_ref());
        terms.map(|member| member.raft().term()).max().unwrap_or(0)
    }

    /// The time by a core process's own clock, in ms.
    fn core_clock(&self, number: usize) -> f64 {
        let core = &self.cores[number];
        (self.now - core.started_at - core.uncounted_ms) * core.clock_rate
    }

    pub fn input(&mut self, core: usize, input: Input) {
        let incarnation = self.cores[core].incarnation;
        self.schedule(0.0, SimEvent::CoreInput(core, incarnation, input));
    }

    /// Runs a core process until it is paused, waits for its disk or has nothing to do.
    fn run_core(&mut self, number: usize) {
        loop {
            let core = &mut self.cores[number];
            if core.running.is_none() || core.paused_until > self.now {
                return;
            }
            let clock_rate = core.clock_rate;
            if let Some((decided_at, action)) = core.pending_actions.pop_front() {
                if self.fault_rates.pause > 0.0 && self.rng.f64() < self.fault_rates.pause {
                    core.pending_actions.push_front((decided_at, action));
                    let duration_ms = self.rng.f64() * 1500.0;
                    return self.pause_core(number, duration_ms);
                }
                if self.fault_rates.crash > 0.0 && self.rng.f64() < self.fault_rates.crash {
                    // A save in progress may have reached the disk.
                    if let (Action::Save(save), true) = (action, self.rng.bool()) {
                        apply_save(&mut self.cores[number].disk, *save);
                    }
                    self.kill_core(number);
                    return self.start_later(Endpoint::Core(number), 100.0);
                }
                let now = self.core_clock(number);
                let age = (self.now - decided_at) * clock_rate;
                let action = match self.mutant {
                    Some(Mutant::ResponseAfterPause) => action,
                    _ => action.fenced(now - age, now),
                };
                self.execute_action(number, decided_at, action);
                continue;
            }
            let local = self.core_clock(number);
            let core = &mut self.cores[number];
            let event = if let Some(took_ms) = core.completed_save_ms.take() {
                Event::Saved { took_ms }
            } else {
                let Some(input) = core.inbox.pop_front() else { return };
                let leads_without_lease = core
                    .running
                    .as_ref()
                    .is_some_and(|member| member.is_leader() && !member.raft().holds_lease(local));
                match input {
                    Input::Tick => {
                        let incarnation = core.incarnation;
                        self.schedule(TICK_MS, SimEvent::CoreInput(number, incarnation, Input::Tick));
                        Event::Tick
                    }
                    Input::PeerMessage(from, payload) => Event::PeerMessage { from, message: *payload },
                    Input::Call(call, _, path, _)
                        if self.mutant == Some(Mutant::LeaveAckedWithoutLease)
                            && path.contains("Leave")
                            && leads_without_lease =>
                    {
                        let reply = Reply { status: 200, body: "{}".into(), retry_after_ms: None };
                        core.pending_actions.push_back((self.now, Action::Answer { call, reply }));
                        continue;
                    }
                    Input::Call(call, method, path, body) => {
                        Event::ClientCall { call, method: method.to_owned(), path, body }
                    }
                    Input::AgentMessage(link, mut message)
                        if self.mutant == Some(Mutant::AppliedIndexOverstated) =>
                    {
                        message.proxy_applied_index = u64::MAX;
                        Event::AgentMessage { link, message }
                    }
                    Input::AgentMessage(link, message) => Event::AgentMessage { link, message },
                    Input::LinkClosed(link) => Event::LinkClosed(link),
                    Input::Shutdown => Event::Shutdown,
                }
            };
            let now = self.core_clock(number);
            let core = &mut self.cores[number];
            let Some(member) = &mut core.running else { return };
            let mut out = Vec::new();
            let edition = |member: &Member| member.state().config.as_ref().map_or(0, |config| config.edition);
            let old_edition = edition(member);
            member.handle(now, event, &mut out);
            let new_config = member.state().config.clone().filter(|config| config.edition != old_edition);
            core.pending_actions.extend(out.into_iter().map(|action| (self.now, action)));
            if let (Some(config), false) = (new_config, self.concurrent_requests.slots.is_empty()) {
                concurrent_updates::check_applied_config(self, config.edition, &config.text);
            }
        }
    }

    /// Executes an action of a core process that was decided at this time.
    fn execute_action(&mut self, number: usize, decided_at: f64, action: Action) {
        match action {
            Action::Save(mut save) => {
                self.push_uncommitted(number, &save);
                if let Some(mutant) = self.concurrent_requests.mutant {
                    mutant.alter_save(&mut save);
                }
                let core = &mut self.cores[number];
                let mut save = *save;
                self.installs += u64::from(save.snapshot.is_some() && save.entries.is_some());
                match (self.snapshot_mutant, &core.disk, &mut save.snapshot) {
                    (Some(SnapshotMutant::EntriesAppliedTwice), Some(disk), Some(snapshot))
                        if save.entries.is_none() =>
                    {
                        snapshot.index = disk.snapshot.index;
                    }
                    (Some(SnapshotMutant::StaleState), Some(disk), Some(snapshot)) => {
                        snapshot.state = disk.snapshot.state.clone()
                    }
                    _ => {}
                }
                apply_save(&mut core.disk, save);
                let took_ms = core.sync_ms;
                core.completed_save_ms = Some(took_ms);
                if took_ms > 1.0 {
                    self.pause_core(number, took_ms);
                }
            }
            Action::SendPeer { to, message: payload } => {
                self.send_peer_message(number, core_address(number).to_string(), &to, *payload)
            }
            Action::ForwardJoin { to, from } => {
                self.send_peer_message(number, from, &to, CorePayload::Join(true))
            }
            Action::Answer { call, reply } => {
                let core = &self.cores[number];
                let Some((receiver, incarnation, sent_at, is_update)) = self.calls.get(&call).copied() else {
                    return;
                };
                let is_receiver = (receiver, incarnation) == (number, core.incarnation);
                reference_model::check_response_delay(self.now, decided_at, &reply);
                let held = is_receiver && core.last_pause_end < sent_at - 100.0 && self.now - sent_at > 200.0;
                // A cut may have ended since connectivity was last updated.
                let isolated = !self.cuts.is_empty()
                    && core.isolated_since.is_some_and(|since| sent_at - since > ISOLATION_GRACE_MS);
                assert!(
                    !held || !isolated,
                    "isolated core {number} held a call for {:.0} ms",
                    self.now - sent_at
                );
                if is_receiver && is_update && reply.status == 200 {
                    self.acked_updates.push((self.now, number));
                }
                if !is_receiver
                    || !self.can_reach(Endpoint::Core(number), Endpoint::External)
                    || self.rng.f64() < self.fault_rates.response_loss
                {
                    return;
                }
                let delay = self.delay();
                self.schedule(delay, SimEvent::CallEnded(call, Some(reply)));
            }
            Action::SendState { link, frame } => {
                let message = ToAgent::decode(&frame[4..]).expect("a length-prefixed frame");
                self.sent_snapshots.truncate(MAX_SENT_SNAPSHOTS - 1);
                self.sent_snapshots.insert(0, frame);
                self.execute_action(number, decided_at, Action::Send { link, message: Box::new(message) });
            }
            Action::Send { link, mut message } => {
                let core = &mut self.cores[number];
                let leads = core.running.as_ref().is_some_and(|member| member.is_leader());
                core.was_leader |= leads;
                if let Some(heartbeat_reply) = &mut message.heartbeat_reply {
                    match self.mutant {
                        Some(Mutant::FollowerClaimsLeadership) => heartbeat_reply.leads = true,
                        Some(Mutant::StaleTermReportedAsNew) if core.was_leader && !leads => {
                            (heartbeat_reply.leads, heartbeat_reply.term) = (true, heartbeat_reply.term + 1);
                        }
                        _ => {}
                    }
                }
                let delay = self.delay();
                let Some(open) = self.links.get_mut(&link) else { return };
                let arrival = open.last_arrival_at_agent.max(self.now + delay);
                open.last_arrival_at_agent = arrival;
                self.schedule(arrival - self.now, SimEvent::ToAgent(link, message));
            }
            Action::SendTotals { .. } => {}
            Action::Abort(why) => panic!("core {number} aborted: {why}"),
        }
    }

    /// With [`Mutant::PushBeforeCommit`], sends agents the entries that a leader saves.
    fn push_uncommitted(&mut self, number: usize, save: &Save) {
        let leads = self.cores[number].running.as_ref().is_some_and(|member| member.is_leader());
        let (Some((_, entries)), true) =
            (&save.entries, leads && self.mutant == Some(Mutant::PushBeforeCommit))
        else {
            return;
        };
        let change = |entry: &Entry| Change::decode(&entry.data[..]).ok().filter(|_| !entry.data.is_empty());
        let changes: Vec<_> =
            entries.iter().map(|entry| IndexedChange { index: entry.index, change: change(entry) }).collect();
        let links = self.links.iter().filter(|(_, link)| link.core == number).map(|(id, _)| *id);
        for link in links.collect::<Vec<_>>() {
            let message = ToAgent { changes: changes.clone(), ..ToAgent::default() };
            self.schedule(1.0, SimEvent::ToAgent(link, Box::new(message)));
        }
    }

    fn send_peer_message(&mut self, number: usize, from: String, to: &str, mut payload: CorePayload) {
        if let Some(mutant) = self.concurrent_requests.mutant {
            mutant.alter_message(&mut payload);
        }
        let Some(to) = core_number(to).filter(|to| *to < self.cores.len()) else { return };
        let copies = if self.rng.f64() < self.fault_rates.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            if self.rng.f64() < self.fault_rates.loss {
                continue;
            }
            let incarnation = self.cores[to].incarnation;
            let payload = self.alter_in_transit(payload.clone());
            let busy_until = self.link_busy_until.entry((number, to)).or_insert(0.0);
            if self.bytes_per_ms.is_finite() {
                let length = CoreMessage { from: from.clone(), payload: Some(payload.clone()) }.encoded_len();
                *busy_until = busy_until.max(self.now) + length as f64 / self.bytes_per_ms;
            }
            let arrival = busy_until.max(self.now) + delay;
            let message =
                SimEvent::PeerMessage(number, to, incarnation, from.clone(), Box::new(payload), None);
            self.schedule(arrival - self.now, message);
        }
    }

    /// Counts snapshot messages, and corrupts some of them.
    fn alter_in_transit(&mut self, mut payload: CorePayload) -> CorePayload {
        let CorePayload::Raft(message) = &mut payload else { return payload };
        let (bytes, members) = match &mut message.payload {
            Some(RaftPayload::InstallSnapshot(install)) => (&mut install.state, &mut install.members),
            Some(RaftPayload::SnapshotChunk(chunk)) => (&mut chunk.bytes, &mut chunk.members),
            _ => return payload,
        };
        self.snapshot_messages += 1;
        if self.snapshot_mutant == Some(SnapshotMutant::NoMembers) {
            members.clear();
        }
        if self.corruption > 0.0 && self.rng.f64() < self.corruption && !bytes.is_empty() {
            let position = self.rng.usize(0..bytes.len());
            bytes[position] ^= 1 << self.rng.u32(0..8);
        }
        payload
    }

    /// Delivers a message between core processes. A cut either drops it or blocks it, in which case it may
    /// arrive late.
    fn deliver_peer_message(
        &mut self, from: usize, to: usize, incarnation: u64, name: String, payload: Box<CorePayload>,
        blocked_since: Option<f64>,
    ) {
        if self.can_reach(Endpoint::Core(from), Endpoint::Core(to)) {
            return self.handle(SimEvent::CoreInput(to, incarnation, Input::PeerMessage(name, payload)));
        }
        let since = blocked_since.unwrap_or(self.now);
        if self.now - since < LINK_TIMEOUT_MS && (blocked_since.is_some() || self.rng.bool()) {
            self.schedule(
                BLOCKED_RETRY_MS,
                SimEvent::PeerMessage(from, to, incarnation, name, payload, Some(since)),
            );
        }
    }

    // ---- Client calls -------------------------------------------------------------------------------------

    /// Calls a core process. The returned token identifies the call when it ends.
    pub fn call(&mut self, core: usize, method: &'static str, path: String, body: Vec<u8>) -> u64 {
        let token = self.new_id();
        let incarnation = self.cores[core].incarnation;
        let is_update = method == "POST" && !path.contains("Instances");
        self.calls.insert(token, (core, incarnation, self.now, is_update));
        // The client's timeout.
        self.schedule(1000.0, SimEvent::CallEnded(token, None));
        if self.can_reach(Endpoint::External, Endpoint::Core(core)) {
            let mut delay = self.delay();
            let mut body = body;
            if self.late_call_probability > 0.0 && self.rng.f64() < self.late_call_probability {
                delay += 1000.0 + self.rng.f64() * 2500.0;
                if let (true, Ok(text)) = (self.late_calls_look_newest, String::from_utf8(body.clone())) {
                    body = text.replace("\"postmark\":", "\"postmark\":9").into_bytes();
                }
            }
            if self.cores[core].running.is_some() {
                self.schedule(
                    delay,
                    SimEvent::CoreInput(core, incarnation, Input::Call(token, method, path, body)),
                );
            } else {
                self.schedule(delay, SimEvent::CallEnded(token, None));
            }
        }
        token
    }

    /// Whether a call has not ended yet.
    pub fn is_pending(&self, token: u64) -> bool {
        self.calls.contains_key(&token)
    }

    // ---- Gateways -----------------------------------------------------------------------------------------

    /// Starts a gateway: its agent, and its proxy with an empty replica.
    pub fn start_gateway(&mut self, number: usize) {
        if self.gateways[number].agent.is_some() {
            return;
        }
        let settings = settings(format!("gateway-{number}"), None, self.seeds.clone(), false);
        let mut out = Vec::new();
        let gateway = &mut self.gateways[number];
        gateway.incarnation += 1;
        gateway.started_at = self.now;
        (gateway.agent_paused_until, gateway.proxy_paused_until) = (self.now, self.now);
        gateway.agent_inbox.clear();
        gateway.proxy_inbox.clear();
        let mut bounds = bounds();
        if self.mutant == Some(Mutant::LeaseNeverExpires) {
            bounds.revocation_timeout *= 1000;
        }
        (gateway.replica, gateway.agent_deadline) = (StateReplica::new(&bounds), f64::INFINITY);
        gateway.agent = Some(AgentStateMachine::new(&settings, 0.0, &mut out));
        let incarnation = gateway.incarnation;
        self.execute_agent_actions(number, out);
        self.handle_agent_event(number, incarnation, agent_state::Event::ProxyConnected(1));
        self.schedule(50.0, SimEvent::ProxyReport(number, incarnation));
    }

    /// Kills a gateway: its agent and its proxy.
    pub fn kill_gateway(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        gateway.agent = None;
        gateway.replica = StateReplica::new(&bounds());
        gateway.incarnation += 1;
        let links: Vec<_> =
            self.links.iter().filter(|(_, link)| link.gateway == number).map(|(id, _)| *id).collect();
        for link in links {
            self.close_at_core(link);
        }
    }

    /// The time by a gateway's own clock, in ms.
    fn gateway_clock(&self, number: usize) -> f64 {
        let gateway = &self.gateways[number];
        (self.now - gateway.started_at) * gateway.clock_rate
    }

    fn handle_agent_event(&mut self, number: usize, incarnation: u64, event: agent_state::Event) {
        if self.gateways[number].incarnation != incarnation {
            return;
        }
        self.gateways[number].agent_inbox.push_back(event);
        self.run_agent(number);
    }

    /// Handles an agent's queued events, unless it is paused.
    fn run_agent(&mut self, number: usize) {
        while self.gateways[number].agent_paused_until <= self.now {
            let now = self.gateway_clock(number);
            let gateway = &mut self.gateways[number];
            let (Some(agent), Some(event)) = (&mut gateway.agent, gateway.agent_inbox.pop_front()) else {
                return;
            };
            let mut out = Vec::new();
            agent.handle(now, event, &mut out);
            self.execute_agent_actions(number, out);
        }
    }

    /// Pauses a gateway's agent, its proxy or both. Their input is queued.
    pub fn pause_gateway(&mut self, number: usize, agent: bool, proxy: bool, duration_ms: f64) {
        let until = self.now + duration_ms;
        let gateway = &mut self.gateways[number];
        if agent {
            gateway.agent_paused_until = gateway.agent_paused_until.max(until);
        }
        if proxy {
            gateway.proxy_paused_until = gateway.proxy_paused_until.max(until);
        }
        let incarnation = gateway.incarnation;
        self.schedule(duration_ms, SimEvent::ResumeGateway(number, incarnation));
    }

    fn execute_agent_actions(&mut self, number: usize, actions: Vec<agent_state::Action>) {
        let incarnation = self.gateways[number].incarnation;
        for action in actions {
            match action {
                agent_state::Action::Connect(core) => {
                    self.schedule(0.0, SimEvent::Connect(number, incarnation, core))
                }
                agent_state::Action::Reset(core) => {
                    if let Some(link) = self.find_link(number, &core) {
                        self.close_at_core(link);
                        self.handle_agent_event(
                            number,
                            incarnation,
                            agent_state::Event::LinkClosed(core.clone()),
                        );
                        self.schedule(150.0, SimEvent::Connect(number, incarnation, core));
                    }
                }
                agent_state::Action::Send { core, message } => {
                    let Some(link) = self.find_link(number, &core) else { continue };
                    let delay = self.delay();
                    let Some(open) = self.links.get_mut(&link) else { continue };
                    let arrival = open.last_arrival_at_core.max(self.now + delay);
                    open.last_arrival_at_core = arrival;
                    self.schedule(arrival - self.now, SimEvent::FromAgent(link, message));
                }
                agent_state::Action::SendProxy(update) => {
                    self.schedule(0.05, SimEvent::ProxyUpdate(number, incarnation, update))
                }
            }
        }
        let (deadline, local) = match &self.gateways[number].agent {
            Some(agent) => (agent.next_deadline(), self.gateway_clock(number)),
            None => return,
        };
        let gateway = &mut self.gateways[number];
        if deadline.is_finite() && deadline != gateway.agent_deadline {
            gateway.agent_deadline = deadline;
            let after = ((deadline - local) / gateway.clock_rate).max(0.0) + 0.01;
            self.schedule(after, SimEvent::AgentTick(number, incarnation));
        }
    }

    fn find_link(&self, gateway: usize, core: &str) -> Option<u64> {
        let core = core_number(core)?;
        let found = self.links.iter().find(|(_, link)| link.gateway == gateway && link.core == core);
        found.map(|(id, _)| *id)
    }

    fn connect(&mut self, gateway: usize, incarnation: u64, core: String) {
        let now = self.gateway_clock(gateway);
        let opener = &mut self.gateways[gateway];
        if opener.incarnation != incarnation
            || !opener.agent.as_mut().is_some_and(|agent| agent.wants_link(now, &core))
        {
            return;
        }
        let Some(number) = core_number(&core) else { return };
        let (near, far) = (Endpoint::Gateway(gateway), Endpoint::Core(number));
        let is_up = number < self.cores.len() && self.cores[number].running.is_some();
        if !is_up
            || !self.can_reach(near, far)
            || !self.can_reach(far, near)
            || self.find_link(gateway, &core).is_some()
        {
            return self.schedule(
                150.0 + 350.0 * f64::from(u8::from(is_up)),
                SimEvent::Connect(gateway, incarnation, core),
            );
        }
        let link = self.new_id();
        let opened = Link {
            gateway,
            gateway_incarnation: incarnation,
            core: number,
            core_incarnation: self.cores[number].incarnation,
            blocked_since: None,
            last_arrival_at_core: self.now,
            last_arrival_at_agent: self.now,
        };
        self.links.insert(link, opened);
        let delay = self.delay();
        self.schedule(delay, SimEvent::LinkOpened(link));
    }

    fn link_opened(&mut self, link: u64) {
        let Some(open) = self.links.get(&link) else { return };
        let (gateway, incarnation, core) =
            (open.gateway, open.gateway_incarnation, core_address(open.core).to_string());
        self.handle_agent_event(gateway, incarnation, agent_state::Event::LinkOpened(core));
    }

    /// If a cut blocks this direction of a link, returns the delay until the next delivery attempt. Closes
    /// the link once it has been blocked for too long.
    fn retry_if_blocked(&mut self, link: u64, from: Endpoint, to: Endpoint) -> Option<f64> {
        if self.can_reach(from, to) {
            self.links.get_mut(&link)?.blocked_since = None;
            return None;
        }
        let now = self.now;
        let since = *self.links.get_mut(&link)?.blocked_since.get_or_insert(now);
        if now - since > LINK_TIMEOUT_MS {
            let blocked = self.links.get(&link)?;
            self.schedule(
                0.0,
                SimEvent::CoreInput(blocked.core, blocked.core_incarnation, Input::LinkClosed(link)),
            );
            self.close_at_agent(link);
        }
        Some(BLOCKED_RETRY_MS)
    }

    fn deliver_to_agent(&mut self, link: u64, mut message: Box<ToAgent>) {
        if let (Some(Mutant::SettledWithoutHeartbeats), Some(heartbeat_reply)) =
            (self.mutant, &mut message.heartbeat_reply)
        {
            heartbeat_reply.unsettled = false;
        }
        let Some(open) = self.links.get(&link) else { return };
        let (gateway, incarnation, core) = (open.gateway, open.gateway_incarnation, open.core);
        if let Some(retry_ms) = self.retry_if_blocked(link, Endpoint::Core(core), Endpoint::Gateway(gateway))
        {
            if let Some(blocked) = self.links.get_mut(&link) {
                blocked.last_arrival_at_agent = blocked.last_arrival_at_agent.max(self.now + retry_ms);
                self.schedule(retry_ms, SimEvent::ToAgent(link, message));
            }
            return;
        }
        let core = core_address(core).to_string();
        self.handle_agent_event(gateway, incarnation, agent_state::Event::CoreMessage { core, message });
    }

    fn deliver_to_core(&mut self, link: u64, message: Box<FromAgent>) {
        let Some(open) = self.links.get(&link) else { return };
        let (gateway, core, incarnation) = (open.gateway, open.core, open.core_incarnation);
        if let Some(retry_ms) = self.retry_if_blocked(link, Endpoint::Gateway(gateway), Endpoint::Core(core))
        {
            if let Some(blocked) = self.links.get_mut(&link) {
                blocked.last_arrival_at_core = blocked.last_arrival_at_core.max(self.now + retry_ms);
                self.schedule(retry_ms, SimEvent::FromAgent(link, message));
            }
            return;
        }
        self.handle(SimEvent::CoreInput(core, incarnation, Input::AgentMessage(link, *message)));
    }

    /// Closes a link whose core end is gone: the agent notices and reconnects.
    fn close_at_agent(&mut self, link: u64) {
        let Some(closed) = self.links.remove(&link) else { return };
        let core = core_address(closed.core).to_string();
        let (gateway, incarnation) = (closed.gateway, closed.gateway_incarnation);
        self.handle_agent_event(gateway, incarnation, agent_state::Event::LinkClosed(core.clone()));
        self.schedule(150.0, SimEvent::Connect(gateway, incarnation, core));
    }

    /// Closes a link whose gateway end is gone: the core notices.
    fn close_at_core(&mut self, link: u64) {
        let Some(closed) = self.links.remove(&link) else { return };
        let delay = self.delay();
        self.schedule(
            delay,
            SimEvent::CoreInput(closed.core, closed.core_incarnation, Input::LinkClosed(link)),
        );
    }

    // ---- Proxies ------------------------------------------------------------------------------------------

    /// Applies a proxy's queued updates, unless it is paused.
    fn run_proxy(&mut self, number: usize) {
        while self.gateways[number].proxy_paused_until <= self.now {
            let now = self.gateway_clock(number);
            let gateway = &mut self.gateways[number];
            let Some(mut update) = gateway.proxy_inbox.pop_front() else { return };
            if self.mutant == Some(Mutant::UpdateAgeIgnored) {
                update.request_sent_at = Some(now);
            }
            self.model.check_leader_term(number, gateway.incarnation, update.term);
            gateway.replica.apply(now, update);
            self.model.check_replica(number, gateway.incarnation, gateway.replica.state());
        }
    }

    /// Whether a proxy runs and its lease allows it to use its keys.
    pub fn has_valid_lease(&self, number: usize) -> bool {
        let gateway = &self.gateways[number];
        let is_up = gateway.agent.is_some() && gateway.proxy_paused_until <= self.now;
        is_up && gateway.replica.lease_is_valid(self.gateway_clock(number))
    }

    /// Whether a proxy grants the full rate to backends that it does not know to be cold.
    pub fn has_full_rate(&self, number: usize) -> bool {
        self.gateways[number].replica.has_full_rate(self.gateway_clock(number))
    }

    fn send_proxy_report(&mut self, number: usize, incarnation: u64) {
        if self.gateways[number].incarnation != incarnation {
            return;
        }
        if self.gateways[number].proxy_paused_until > self.now {
            return self.schedule(20.0, SimEvent::ProxyReport(number, incarnation));
        }
        let now = self.gateway_clock(number);
        let replica = &mut self.gateways[number].replica;
        let ready = replica.applied_index() > 0;
        let message = replica.message(now, format!("10.1.0.{}:80", number + 1), ready, Vec::new());
        self.handle_agent_event(number, incarnation, agent_state::Event::ProxyMessage { link: 1, message });
        if self.gateways[number].incarnation == incarnation {
            self.schedule(20.0, SimEvent::ProxyReport(number, incarnation));
        }
    }
}
