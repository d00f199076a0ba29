//! The whole control side in virtual time, from one seed: core members with disks, agents with their proxies'
//! copies, backends that beat, drain and end, and operators that race and repeat, over one drawn network. The
//! real rules run (`Member`, `AgentStateMachine`, `State`); what surrounds them is made here: links that are
//! slow, cut one way or both, held up or lost; processes that are killed between any two actions, frozen,
//! slow or without their disk; clocks at other rates. `judge` holds it all against a plain model, by what
//! callers and data planes saw alone.
#![allow(dead_code)] // Each test program takes what it needs of it.

pub mod callers;
pub mod judge;
pub mod racers;
pub mod troubles;

#[path = "../bounds/mod.rs"]
mod bounds;
#[path = "../kept/mod.rs"]
mod kept;

pub use bounds::bounds;

use callers::Callers;
use judge::Judge;
use kept::{apply_save, InvariantCheck};
use overland::agreement::{Entry, PersistentState, RaftPayload, Save};
use overland::calls::Reply;
use overland::copy::StateReplica;
use overland::follow::{self, AgentStateMachine};
use overland::member::{Action, Event, Member, TICK_MS};
use overland::news::{Change, CoreMessage, FromAgent, IndexedChange, ToAgent, ToProxy, Word};
use overland::settings::Settings;
use prost::Message;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A cut ends a connection after so long, in ms; what it holds up is tried again so often.
const UNHEARD_MS: f64 = 2000.0;
const HELD_MS: f64 = 50.0;
/// Whole states that are kept to be looked at.
const WHOLES: usize = 32;
/// The judge looks at all data planes so often, in ms.
const WATCH_MS: f64 = 100.0;
/// What was calm for so long is in touch, in ms.
const TOUCH_MS: f64 = 5000.0;
/// An answer is written within this after it was decided, in ms: a lease, and no other leads before its end.
const WRITTEN_MS: f64 = 150.0;
/// A member that is cut off from all others keeps no call once it has been so for this long, in ms.
const ALONE_MS: f64 = 1000.0;

/// What is deliberately wrong, in what surrounds the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A core process goes by a clock that stood still while it was frozen.
    ClockStoodStill,
    /// An answer that was decided before a freeze is written after it.
    AnswerAfterFreeze,
    /// Whoever thinks that it leads acknowledges that a backend is gone.
    LeaveUnasked,
    /// A member that doesn't lead tells agents that it does.
    AnyMemberVouches,
    /// A leader's last term is told as a later one.
    OldTermHeard,
    /// A leader sends agents what is not agreed on yet.
    PushBeforeCommit,
    /// Gateways are taken to hold what they don't.
    HeldUnseen,
    /// A leader is taken to have heard all backends as soon as it leads.
    SettledUnheard,
    /// A proxy never stops going by keys by itself.
    NeverStops,
    /// A proxy takes old news of its agent for new ones.
    AgeForgotten,
}

/// Where something runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Core(usize),
    Gateway(usize),
    /// Backends and operators.
    Outside,
}

/// What comes in at a core process.
#[derive(Clone)]
pub enum Input {
    Tick,
    Heard(String, Box<Word>),
    /// A call: its token, method, path and body.
    Call(u64, &'static str, String, Vec<u8>),
    Agent(u64, FromAgent),
    Closed(u64),
    End,
}

/// What happens at a moment.
enum What {
    /// At a core process, in the life that it was meant for.
    Core(usize, u64, Input),
    /// A letter between core processes arrives: from which, to which, in which life, in whose name, and since when it is held
    /// up.
    Letter(usize, usize, u64, String, Box<Word>, Option<f64>),
    /// A core process goes on with what it has to do.
    Resume(usize, u64),
    /// What a core process said on a link arrives at the agent, and the other way.
    Said(u64, Box<ToAgent>),
    Word(u64, Box<FromAgent>),
    /// The judge looks at all data planes.
    Watch,
    /// A link is to be opened by a gateway, in this life, to this core.
    Connect(usize, u64, String),
    Opened(u64),
    Ended(u64),
    AgentDue(usize, u64),
    /// A proxy says something of itself.
    Proxy(usize, u64),
    /// What an agent tells its proxy arrives.
    Fed(usize, u64, Box<ToProxy>),
    /// A gateway that stood still goes on.
    Wake(usize, u64),
    /// A caller's turn, or its answer; no answer where the connection broke or it was silent.
    Turn(callers::Who),
    Answered(u64, Option<Reply>),
    /// A core process or a gateway starts.
    Start(Place),
}

struct Due {
    at: f64,
    order: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// A core process, and its disk.
pub struct Core {
    pub running: Option<Member>,
    pub disk: Option<PersistentState>,
    /// Counts its starts: what was meant for an earlier life reaches nobody.
    pub life: u64,
    started: f64,
    /// Its clock goes so much faster than true time.
    pub rate: f64,
    /// A sync takes so long, in ms.
    pub sync_ms: f64,
    /// What it has decided and not carried out yet, and what waits to come in.
    doing: VecDeque<(f64, Action)>,
    inbox: VecDeque<Input>,
    /// A save was carried out: it is told that first.
    saved: Option<f64>,
    /// It does nothing before then: frozen, or waiting for its disk.
    idle_until: f64,
    /// It stood still until then, for whatever reason.
    stood: f64,
    /// It led once.
    led: bool,
    /// It was frozen for so long, in all.
    slept: f64,
    /// It has been cut off from all others since then.
    alone: Option<f64>,
    /// Machines that were never members at the first start.
    pub founder: bool,
    /// It is lost for good.
    pub gone: bool,
}

/// A gateway: its agent, and its proxy's copy.
pub struct Gateway {
    pub agent: Option<AgentStateMachine>,
    pub life: u64,
    started: f64,
    pub rate: f64,
    /// What the proxy goes by.
    pub copy: StateReplica,
    agent_due: f64,
    /// Agent and proxy stand still until then.
    agent_until: f64,
    proxy_until: f64,
    /// What waits for them meanwhile.
    waits: VecDeque<follow::Event>,
    feeds: VecDeque<ToProxy>,
    /// It reaches the core since then.
    touch: f64,
}

/// A link from an agent to a core process.
struct Link {
    gateway: usize,
    gateway_life: u64,
    core: usize,
    core_life: u64,
    /// Since when a cut holds up what is on it.
    held: Option<f64>,
    /// What was sent last in each direction arrives then: order is kept.
    to_core: f64,
    to_agent: f64,
}

/// How the network and the machines misbehave.
#[derive(Clone, Copy, Debug)]
pub struct Luck {
    /// Part of the letters between core processes that is lost, and doubled.
    pub loss: f64,
    pub twice: f64,
    /// Chance that a process is killed at an action.
    pub kill: f64,
    /// Part of the answers to callers that is lost.
    pub ack_loss: f64,
    /// Chance that a core process stands still between two actions, for up to a second and a half.
    pub pause: f64,
}

impl Luck {
    pub const CALM: Luck = Luck { loss: 0.0, twice: 0.0, kill: 0.0, ack_loss: 0.0, pause: 0.0 };
}

/// What is deliberately wrong with snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotMutant {
    /// A state is sent without its members.
    NoMembers,
    /// Entries that a state holds stay on disk behind it, and are applied again.
    AppliedTwice,
    /// A state on disk is an older one.
    OldState,
}

/// The system and all around it.
pub struct World {
    pub rng: fastrand::Rng,
    pub now: f64,
    due: BinaryHeap<Reverse<Due>>,
    order: u64,
    pub cores: Vec<Core>,
    pub gateways: Vec<Gateway>,
    links: BTreeMap<u64, Link>,
    /// Pairs of which the first can't reach the second.
    pub cuts: BTreeSet<(Place, Place)>,
    pub luck: Luck,
    /// Part of the calls that a link holds up for seconds: whoever called has asked another meanwhile.
    pub late: f64,
    /// A mutant: what comes late counts as said last.
    pub late_counts: bool,
    /// Calls on their way: to which core, in which of its lives, since when, and whether it is an order.
    calls: BTreeMap<u64, (usize, u64, f64, bool)>,
    /// Orders that were taken: when, and who said so.
    pub taken: Vec<(f64, usize)>,
    /// The last whole states that agents were sent, the newest first.
    pub wholes: Vec<bytes::Bytes>,
    /// The core processes that reach a majority of one another, and since when.
    well: Vec<usize>,
    settled: f64,
    pub mutant: Option<Mutant>,
    /// So many gateways start later.
    pub later: usize,
    /// What a link between two core processes carries, in bytes a ms, and until when each is busy.
    pub bytes_ms: f64,
    busy: BTreeMap<(usize, usize), f64>,
    /// Part of the states and their pieces in which a byte is another when they arrive.
    pub damage: f64,
    watched: InvariantCheck,
    /// A mutant of the snapshots.
    pub snapshot_mutant: Option<SnapshotMutant>,
    /// Pieces that were sent, and states that were put in place.
    pub pieces: u64,
    pub installs: u64,
    pub callers: Callers,
    pub racers: racers::Racers,
    pub judge: Judge,
    pub seeds: Vec<SocketAddr>,
    next: u64,
    /// Things that have happened.
    pub events: u64,
}

/// A core process's control address.
pub fn core_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 8080))
}

/// The number of the core process with this name.
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
        fds: 4096,
        front: None,
        ready: None,
        control,
        directory: None,
        inner_ports: (7000, 7010),
        seeds,
        relays: BTreeMap::new(),
        zones: BTreeMap::from([("z1".into(), "r".into()), ("z2".into(), "r".into())]),
        beat: Duration::from_millis(1500),
        bounds: bounds(),
    }
}

impl World {
    /// So many founders, core machines that come later, gateways, backends and operators. Nothing runs yet.
    pub fn new(
        seed: u64, founders: usize, others: usize, gateways: usize, backends: usize, operators: usize,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rate = |rng: &mut fastrand::Rng| 1.0 + (rng.f64() - 0.5) * 0.02;
        let core = |rng: &mut fastrand::Rng, founder| Core {
            running: None,
            disk: None,
            life: 0,
            started: 0.0,
            rate: rate(rng),
            sync_ms: 0.5,
            doing: VecDeque::new(),
            inbox: VecDeque::new(),
            saved: None,
            idle_until: 0.0,
            stood: 0.0,
            led: false,
            slept: 0.0,
            alone: None,
            founder,
            gone: false,
        };
        let cores = (0..founders + others).map(|n| core(&mut rng, n < founders)).collect();
        let gateway = |rng: &mut fastrand::Rng| Gateway {
            agent: None,
            life: 0,
            started: 0.0,
            rate: rate(rng),
            copy: StateReplica::new(&bounds()),
            agent_due: f64::INFINITY,
            agent_until: 0.0,
            proxy_until: 0.0,
            waits: VecDeque::new(),
            feeds: VecDeque::new(),
            touch: 0.0,
        };
        let gateways = (0..gateways).map(|_| gateway(&mut rng)).collect();
        World {
            callers: Callers::new(&mut rng, backends, operators),
            rng,
            now: 0.0,
            due: BinaryHeap::new(),
            order: 0,
            cores,
            gateways,
            links: BTreeMap::new(),
            cuts: BTreeSet::new(),
            late: 0.0,
            late_counts: false,
            bytes_ms: f64::INFINITY,
            busy: BTreeMap::new(),
            damage: 0.0,
            snapshot_mutant: None,
            pieces: 0,
            installs: 0,
            racers: racers::Racers::default(),
            luck: Luck::CALM,
            calls: BTreeMap::new(),
            taken: Vec::new(),
            wholes: Vec::new(),
            well: Vec::new(),
            settled: 0.0,
            mutant: None,
            watched: InvariantCheck::start(),
            later: 0,
            judge: Judge::default(),
            seeds: (0..founders.min(3)).map(core_address).collect(),
            next: 0,
            events: 0,
        }
    }

    /// Starts the founders, all gateways and all callers.
    pub fn begin(&mut self) {
        for core in 0..self.cores.len() {
            if self.cores[core].founder {
                self.start_core(core, true);
            }
        }
        (0..self.gateways.len() - self.later).for_each(|gateway| self.start_gateway(gateway));
        self.at(WATCH_MS, What::Watch);
        for who in self.callers.all() {
            let at = self.rng.f64() * 500.0;
            self.at(at, What::Turn(who));
        }
    }

    /// Trouble ends: all is joined and runs, nobody wants anything new, and that for a while.
    pub fn settle(&mut self, for_ms: f64) {
        self.cuts.clear();
        self.luck = Luck::CALM;
        (self.callers.churn, self.callers.wishes) = (false, false);
        (self.late, self.damage) = (0.0, 0.0);
        (0..self.cores.len()).for_each(|core| self.start_core(core, false));
        (0..self.gateways.len()).for_each(|gateway| self.start_gateway(gateway));
        self.pass(self.now + for_ms);
        judge::finish(self);
    }

    fn at(&mut self, after: f64, what: What) {
        self.order += 1;
        self.due.push(Reverse(Due { at: self.now + after, order: self.order, what }));
    }

    pub fn turn(&mut self, after: f64, who: callers::Who) {
        self.at(after, What::Turn(who));
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Plays on until then.
    pub fn pass(&mut self, until: f64) {
        while self.due.peek().is_some_and(|due| due.0.at <= until) {
            let Some(Reverse(due)) = self.due.pop() else { break };
            self.now = self.now.max(due.at);
            self.events += 1;
            self.happen(due.what);
        }
        self.now = until;
        self.watched.assert_none_violated();
    }

    /// A call is answered so, whoever is asked.
    pub fn answer_later(&mut self, token: u64, reply: Reply) {
        let delay = self.delay();
        self.at(delay, What::Answered(token, Some(reply)));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Core(core, life, input) => {
                if self.cores[core].life == life && self.cores[core].running.is_some() {
                    self.cores[core].inbox.push_back(input);
                    self.go_on(core);
                }
            }
            What::Resume(core, life) => {
                if self.cores[core].life == life {
                    if self.rng.bool() {
                        // Its sockets are read in any order: calls that waited may come before all else.
                        let inbox = std::mem::take(&mut self.cores[core].inbox);
                        let call = |input: &Input| matches!(input, Input::Call(..));
                        let (calls, rest): (Vec<_>, Vec<_>) = inbox.into_iter().partition(call);
                        self.cores[core].inbox = calls.into_iter().chain(rest).collect();
                    }
                    self.go_on(core);
                }
            }
            What::Letter(from, to, life, name, word, held) => self.arrives(from, to, life, name, word, held),
            What::Watch => {
                self.look_round();
                judge::keys(self);
                judge::drains(self);
                self.at(WATCH_MS, What::Watch);
            }
            What::Connect(gateway, life, core) => self.connect(gateway, life, core),
            What::Opened(link) => self.opened(link),
            What::Said(link, news) => self.said(link, news),
            What::Word(link, word) => self.word(link, word),
            What::Ended(link) => self.ended(link),
            What::AgentDue(gateway, life) => self.agent(gateway, life, follow::Event::Tick),
            What::Proxy(gateway, life) => self.proxy_speaks(gateway, life),
            What::Fed(gateway, life, news) => {
                if self.gateways[gateway].life == life {
                    self.gateways[gateway].feeds.push_back(*news);
                    self.take_feeds(gateway);
                }
            }
            What::Wake(gateway, life) => {
                if self.gateways[gateway].life == life {
                    self.take_feeds(gateway);
                    self.agent_goes_on(gateway);
                }
            }
            What::Turn(who) => callers::turn(self, who),
            What::Answered(token, reply) => {
                if self.calls.remove(&token).is_some() {
                    callers::answered(self, token, reply);
                }
            }
            What::Start(Place::Core(core)) => self.start_core(core, false),
            What::Start(Place::Gateway(gateway)) => self.start_gateway(gateway),
            What::Start(Place::Outside) => {}
        }
    }

    // ---- The network ------------------------------------------------------------------------------------------

    pub fn reaches(&self, from: Place, to: Place) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Cuts a place off from others, both ways.
    pub fn cut_off(&mut self, place: Place, from: impl IntoIterator<Item = Place>) {
        for other in from {
            if other != place {
                self.cuts.insert((place, other));
                self.cuts.insert((other, place));
            }
        }
    }

    /// Who is well, and in touch with them.
    fn look_round(&mut self) {
        let founders = self.cores.iter().filter(|core| core.founder).count();
        let up = |world: &World, n: usize| {
            let core = &world.cores[n];
            core.running.is_some() && core.idle_until <= world.now
        };
        let meets = |world: &World, a: Place, b: Place| world.reaches(a, b) && world.reaches(b, a);
        let all: Vec<usize> = (0..self.cores.len()).collect();
        let near = |world: &World, n: usize| {
            let others = all.iter().filter(|m| **m != n && up(world, **m));
            others.filter(|m| meets(world, Place::Core(n), Place::Core(**m))).count()
        };
        for n in all.iter().copied() {
            // Who leads needs answers; who follows needs to hear.
            let leads = self.cores[n].running.as_ref().is_some_and(|member| member.is_leader());
            let other = |m: usize| {
                let (me, other) = (Place::Core(n), Place::Core(m));
                up(self, m) && self.reaches(other, me) && (!leads || self.reaches(me, other))
            };
            let alone = all.len() > 1 && all.iter().all(|m| *m == n || !other(*m));
            let core = &mut self.cores[n];
            core.alone = if alone { core.alone.or(Some(self.now)) } else { None };
        }
        let well = |n: &usize| up(self, *n) && near(self, *n) + 1 > founders / 2;
        let well: Vec<usize> = all.iter().copied().filter(well).collect();
        if well != self.well || well.len() <= founders / 2 {
            (self.well, self.settled) = (well, self.now);
        }
        for g in 0..self.gateways.len() {
            let gateway = &self.gateways[g];
            let runs = gateway.agent.is_some() && gateway.agent_until.max(gateway.proxy_until) <= self.now;
            let reaches = self.well.iter().all(|n| meets(self, Place::Gateway(g), Place::Core(*n)));
            if !runs || !reaches {
                self.gateways[g].touch = self.now;
            }
        }
    }

    /// Whether a gateway, and the core, have been in touch for long.
    pub fn in_touch(&self, gateway: usize) -> bool {
        self.now - self.settled > TOUCH_MS && self.now - self.gateways[gateway].touch > TOUCH_MS
    }

    /// All open links break at once where a cut lies between their ends.
    pub fn reset_links(&mut self) {
        let cut = |world: &World, link: &Link| {
            let (a, b) = (Place::Gateway(link.gateway), Place::Core(link.core));
            !world.reaches(a, b) || !world.reaches(b, a)
        };
        let links: Vec<u64> =
            self.links.iter().filter(|(_, link)| cut(self, link)).map(|(id, _)| *id).collect();
        for link in links {
            if let Some(of) = self.links.get(&link) {
                self.at(0.0, What::Core(of.core, of.core_life, Input::Closed(link)));
            }
            self.ended(link);
        }
    }

    fn delay(&mut self) -> f64 {
        1.0 + self.rng.f64().powi(8) * 150.0
    }

    // ---- Core processes ---------------------------------------------------------------------------------------

    /// A core process starts, from what its disk holds.
    pub fn start_core(&mut self, number: usize, first: bool) {
        if self.cores[number].running.is_some() || self.cores[number].gone {
            return;
        }
        let settings =
            settings(format!("core-{number}"), Some(core_address(number)), self.seeds.clone(), first);
        let seed = self.rng.u64(..);
        let core = &mut self.cores[number];
        let started = Member::start(settings, core.disk.clone(), seed, 0.0);
        let (member, save) = started.expect("what was saved can be read");
        if let Some(save) = save {
            apply_save(&mut core.disk, save);
        }
        core.life += 1;
        (core.started, core.slept) = (self.now, 0.0);
        core.running = Some(member);
        core.doing.clear();
        core.inbox.clear();
        core.saved = None;
        core.idle_until = self.now;
        let life = core.life;
        self.at(TICK_MS, What::Core(number, life, Input::Tick));
    }

    /// A core process is killed; its disk stays.
    pub fn kill_core(&mut self, number: usize) {
        let core = &mut self.cores[number];
        if core.running.take().is_none() {
            return;
        }
        core.life += 1;
        core.doing.clear();
        core.inbox.clear();
        // Those who held connections to it see them reset.
        let calls: Vec<_> =
            self.calls.iter().filter(|(_, of)| of.0 == number).map(|(token, _)| *token).collect();
        for token in calls {
            let delay = self.delay();
            self.at(delay, What::Answered(token, None));
        }
        let links: Vec<_> =
            self.links.iter().filter(|(_, link)| link.core == number).map(|(id, _)| *id).collect();
        for link in links {
            let delay = self.delay();
            self.at(delay, What::Ended(link));
        }
    }

    pub fn start_later(&mut self, place: Place, after: f64) {
        self.at(after, What::Start(place));
    }

    /// A core process stands still for so long. What comes in waits.
    pub fn freeze_core(&mut self, number: usize, for_ms: f64) {
        let core = &mut self.cores[number];
        let until = core.idle_until.max(self.now + for_ms);
        if self.mutant == Some(Mutant::ClockStoodStill) {
            core.slept += until - core.idle_until.max(self.now);
        }
        (core.idle_until, core.stood) = (until, until);
        let life = core.life;
        self.at(for_ms, What::Resume(number, life));
    }

    /// The number of who leads and is answered by a majority, if anybody does.
    pub fn leader(&self) -> Option<usize> {
        (0..self.cores.len()).find(|n| {
            let core = &self.cores[*n];
            core.running.as_ref().is_some_and(|member| member.agreement().holds_lease(self.core_local(*n)))
        })
    }

    /// The latest term at any core process.
    pub fn term(&self) -> u64 {
        let terms = self.cores.iter().filter_map(|core| core.running.as_ref());
        terms.map(|member| member.agreement().term()).max().unwrap_or(0)
    }

    /// What a core process takes for the time.
    fn core_local(&self, number: usize) -> f64 {
        let core = &self.cores[number];
        (self.now - core.started - core.slept) * core.rate
    }

    pub fn input(&mut self, core: usize, input: Input) {
        let life = self.cores[core].life;
        self.at(0.0, What::Core(core, life, input));
    }

    /// A core process does what it has to do, until it waits for its disk or stands still.
    fn go_on(&mut self, number: usize) {
        loop {
            let core = &mut self.cores[number];
            if core.running.is_none() || core.idle_until > self.now {
                return;
            }
            let core_rate = core.rate;
            if let Some((decided, action)) = core.doing.pop_front() {
                if self.luck.pause > 0.0 && self.rng.f64() < self.luck.pause {
                    core.doing.push_front((decided, action));
                    let for_ms = self.rng.f64() * 1500.0;
                    return self.freeze_core(number, for_ms);
                }
                if self.luck.kill > 0.0 && self.rng.f64() < self.luck.kill {
                    // A save that was under way may be there or not.
                    if let (Action::Save(save), true) = (action, self.rng.bool()) {
                        apply_save(&mut self.cores[number].disk, *save);
                    }
                    self.kill_core(number);
                    return self.start_later(Place::Core(number), 100.0);
                }
                let now = self.core_local(number);
                let late = (self.now - decided) * core_rate;
                let action = match self.mutant {
                    Some(Mutant::AnswerAfterFreeze) => action,
                    _ => action.fenced(now - late, now),
                };
                self.act(number, decided, action);
                continue;
            }
            let local = self.core_local(number);
            let core = &mut self.cores[number];
            let event = if let Some(took_ms) = core.saved.take() {
                Event::Saved { took_ms }
            } else {
                let Some(input) = core.inbox.pop_front() else { return };
                // It thinks that it leads, and nobody has said so lately.
                let unasked =
                    core.running.as_ref().is_some_and(|m| m.is_leader() && !m.agreement().holds_lease(local));
                match input {
                    Input::Tick => {
                        let life = core.life;
                        self.at(TICK_MS, What::Core(number, life, Input::Tick));
                        Event::Tick
                    }
                    Input::Heard(from, word) => Event::PeerMessage { from, message: *word },
                    Input::Call(call, _, path, _)
                        if self.mutant == Some(Mutant::LeaveUnasked) && path.contains("Leave") && unasked =>
                    {
                        let reply = Reply { status: 200, body: "{}".into(), retry_after_ms: None };
                        core.doing.push_back((self.now, Action::Answer { call, reply }));
                        continue;
                    }
                    Input::Call(call, method, path, body) => {
                        Event::ClientCall { call, method: method.to_owned(), path, body }
                    }
                    Input::Agent(link, mut word) if self.mutant == Some(Mutant::HeldUnseen) => {
                        word.proxy_applied_index = u64::MAX;
                        Event::AgentMessage { link, message: word }
                    }
                    Input::Agent(link, word) => Event::AgentMessage { link, message: word },
                    Input::Closed(link) => Event::LinkClosed(link),
                    Input::End => Event::Shutdown,
                }
            };
            let now = self.core_local(number);
            let core = &mut self.cores[number];
            let Some(member) = &mut core.running else { return };
            let mut out = Vec::new();
            let edition = |member: &Member| member.state().config.as_ref().map_or(0, |config| config.edition);
            let before = edition(member);
            member.handle(now, event, &mut out);
            let new = member.state().config.clone().filter(|config| config.edition != before);
            core.doing.extend(out.into_iter().map(|action| (self.now, action)));
            if let (Some(config), false) = (new, self.racers.slots.is_empty()) {
                racers::seen(self, config.edition, &config.text);
            }
        }
    }

    fn act(&mut self, number: usize, decided: f64, action: Action) {
        match action {
            Action::Save(mut save) => {
                self.push_unagreed(number, &save);
                if let Some(mutant) = self.racers.mutant {
                    mutant.save(&mut save);
                }
                let core = &mut self.cores[number];
                let mut save = *save;
                self.installs += u64::from(save.snapshot.is_some() && save.entries.is_some());
                match (self.snapshot_mutant, &core.disk, &mut save.snapshot) {
                    (Some(SnapshotMutant::AppliedTwice), Some(disk), Some(base))
                        if save.entries.is_none() =>
                    {
                        base.index = disk.snapshot.index;
                    }
                    (Some(SnapshotMutant::OldState), Some(disk), Some(base)) => {
                        base.state = disk.snapshot.state.clone()
                    }
                    _ => {}
                }
                apply_save(&mut core.disk, save);
                let took_ms = core.sync_ms;
                core.saved = Some(took_ms);
                if took_ms > 1.0 {
                    self.freeze_core(number, took_ms);
                }
            }
            Action::SendPeer { to, message: word } => {
                self.tell(number, core_address(number).to_string(), &to, *word)
            }
            Action::ForwardJoin { to, from } => self.tell(number, from, &to, Word::Join(true)),
            Action::Answer { call, reply } => {
                let core = &self.cores[number];
                let Some((of, life, asked, order)) = self.calls.get(&call).copied() else { return };
                let mine = (of, life) == (number, core.life);
                judge::written(self.now, decided, &reply);
                let kept = mine && core.stood < asked - 100.0 && self.now - asked > 200.0;
                // A cut that has just ended may be seen by the next look round alone.
                let alone = !self.cuts.is_empty() && core.alone.is_some_and(|since| asked - since > ALONE_MS);
                assert!(
                    !kept || !alone,
                    "core {number}, cut off from all, kept a call for {:.0} ms",
                    self.now - asked
                );
                if mine && order && reply.status == 200 {
                    self.taken.push((self.now, number));
                }
                if !mine
                    || !self.reaches(Place::Core(number), Place::Outside)
                    || self.rng.f64() < self.luck.ack_loss
                {
                    return;
                }
                let delay = self.delay();
                self.at(delay, What::Answered(call, Some(reply)));
            }
            Action::SendState { link, frame: whole } => {
                let news = ToAgent::decode(&whole[4..]).expect("it was framed");
                self.wholes.truncate(WHOLES - 1);
                self.wholes.insert(0, whole);
                self.act(number, decided, Action::Send { link, message: Box::new(news) });
            }
            Action::Send { link, message: mut news } => {
                let core = &mut self.cores[number];
                let leads = core.running.as_ref().is_some_and(|member| member.is_leader());
                core.led |= leads;
                if let Some(pulse) = &mut news.heartbeat_reply {
                    match self.mutant {
                        Some(Mutant::AnyMemberVouches) => pulse.leads = true,
                        Some(Mutant::OldTermHeard) if core.led && !leads => {
                            (pulse.leads, pulse.term) = (true, pulse.term + 1);
                        }
                        _ => {}
                    }
                }
                let delay = self.delay();
                let Some(of) = self.links.get_mut(&link) else { return };
                let arrives = of.to_agent.max(self.now + delay);
                of.to_agent = arrives;
                self.at(arrives - self.now, What::Said(link, news));
            }
            Action::SendTotals { .. } => {}
            Action::Abort(why) => panic!("core {number} stops: {why}"),
        }
    }

    /// A mutant: a leader sends agents what it saves, before it is agreed on.
    fn push_unagreed(&mut self, number: usize, save: &Save) {
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
            let news = ToAgent { changes: changes.clone(), ..ToAgent::default() };
            self.at(1.0, What::Said(link, Box::new(news)));
        }
    }

    fn tell(&mut self, number: usize, from: String, to: &str, mut word: Word) {
        if let Some(mutant) = self.racers.mutant {
            mutant.letter(&mut word);
        }
        let Some(to) = core_number(to).filter(|to| *to < self.cores.len()) else { return };
        let times = if self.rng.f64() < self.luck.twice { 2 } else { 1 };
        for _ in 0..times {
            let delay = self.delay();
            if self.rng.f64() < self.luck.loss {
                continue;
            }
            let life = self.cores[to].life;
            let word = self.underway(word.clone());
            let way = self.busy.entry((number, to)).or_insert(0.0);
            if self.bytes_ms.is_finite() {
                let length = CoreMessage { from: from.clone(), payload: Some(word.clone()) }.encoded_len();
                *way = way.max(self.now) + length as f64 / self.bytes_ms;
            }
            let arrives = way.max(self.now) + delay;
            self.at(arrives - self.now, What::Letter(number, to, life, from.clone(), Box::new(word), None));
        }
    }

    /// States may come otherwise than they were sent.
    fn underway(&mut self, mut word: Word) -> Word {
        let Word::Agreement(letter) = &mut word else { return word };
        let (bytes, members) = match &mut letter.payload {
            Some(RaftPayload::InstallSnapshot(install)) => (&mut install.state, &mut install.members),
            Some(RaftPayload::SnapshotChunk(piece)) => (&mut piece.bytes, &mut piece.members),
            _ => return word,
        };
        self.pieces += 1;
        if self.snapshot_mutant == Some(SnapshotMutant::NoMembers) {
            members.clear();
        }
        if self.damage > 0.0 && self.rng.f64() < self.damage && !bytes.is_empty() {
            let at = self.rng.usize(0..bytes.len());
            bytes[at] ^= 1 << self.rng.u32(0..8);
        }
        word
    }

    /// A letter arrives, unless a cut holds it up: some are lost then, and some come late.
    fn arrives(
        &mut self, from: usize, to: usize, life: u64, name: String, word: Box<Word>, held: Option<f64>,
    ) {
        if self.reaches(Place::Core(from), Place::Core(to)) {
            return self.happen(What::Core(to, life, Input::Heard(name, word)));
        }
        let since = held.unwrap_or(self.now);
        if self.now - since < UNHEARD_MS && (held.is_some() || self.rng.bool()) {
            self.at(HELD_MS, What::Letter(from, to, life, name, word, Some(since)));
        }
    }

    // ---- Calls from outside -----------------------------------------------------------------------------------

    /// Calls a core process. The answer, or that there is none, comes to whoever holds the token.
    pub fn call(&mut self, core: usize, method: &'static str, path: String, body: Vec<u8>) -> u64 {
        let token = self.number();
        let life = self.cores[core].life;
        let order = method == "POST" && !path.contains("Instances");
        self.calls.insert(token, (core, life, self.now, order));
        // A second of silence ends it.
        self.at(1000.0, What::Answered(token, None));
        if self.reaches(Place::Outside, Place::Core(core)) {
            let mut delay = self.delay();
            let mut body = body;
            if self.late > 0.0 && self.rng.f64() < self.late {
                delay += 1000.0 + self.rng.f64() * 2500.0;
                if let (true, Ok(text)) = (self.late_counts, String::from_utf8(body.clone())) {
                    body = text.replace("\"postmark\":", "\"postmark\":9").into_bytes();
                }
            }
            if self.cores[core].running.is_some() {
                self.at(delay, What::Core(core, life, Input::Call(token, method, path, body)));
            } else {
                self.at(delay, What::Answered(token, None));
            }
        }
        token
    }

    /// Whether a call has no answer yet.
    pub fn waits(&self, token: u64) -> bool {
        self.calls.contains_key(&token)
    }

    // ---- Gateways ---------------------------------------------------------------------------------------------

    /// A gateway starts: its agent, and its proxy with no copy yet.
    pub fn start_gateway(&mut self, number: usize) {
        if self.gateways[number].agent.is_some() {
            return;
        }
        let settings = settings(format!("gateway-{number}"), None, self.seeds.clone(), false);
        let mut out = Vec::new();
        let gateway = &mut self.gateways[number];
        gateway.life += 1;
        gateway.started = self.now;
        (gateway.agent_until, gateway.proxy_until) = (self.now, self.now);
        gateway.waits.clear();
        gateway.feeds.clear();
        let mut bounds = bounds();
        if self.mutant == Some(Mutant::NeverStops) {
            bounds.revoke *= 1000;
        }
        (gateway.copy, gateway.agent_due) = (StateReplica::new(&bounds), f64::INFINITY);
        gateway.agent = Some(AgentStateMachine::new(&settings, 0.0, &mut out));
        let life = gateway.life;
        self.carry_out(number, out);
        self.agent(number, life, follow::Event::ProxyConnected(1));
        self.at(50.0, What::Proxy(number, life));
    }

    /// A gateway is killed, agent and proxy.
    pub fn kill_gateway(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        gateway.agent = None;
        gateway.copy = StateReplica::new(&bounds());
        gateway.life += 1;
        let links: Vec<_> =
            self.links.iter().filter(|(_, link)| link.gateway == number).map(|(id, _)| *id).collect();
        for link in links {
            self.end(link);
        }
    }

    fn local(&self, number: usize) -> f64 {
        let gateway = &self.gateways[number];
        (self.now - gateway.started) * gateway.rate
    }

    fn agent(&mut self, number: usize, life: u64, event: follow::Event) {
        if self.gateways[number].life != life {
            return;
        }
        self.gateways[number].waits.push_back(event);
        self.agent_goes_on(number);
    }

    /// An agent takes in what waits for it, unless it stands still.
    fn agent_goes_on(&mut self, number: usize) {
        while self.gateways[number].agent_until <= self.now {
            let now = self.local(number);
            let gateway = &mut self.gateways[number];
            let (Some(agent), Some(event)) = (&mut gateway.agent, gateway.waits.pop_front()) else { return };
            let mut out = Vec::new();
            agent.handle(now, event, &mut out);
            self.carry_out(number, out);
        }
    }

    /// An agent, its proxy or both stand still for so long. What comes in waits.
    pub fn freeze_gateway(&mut self, number: usize, agent: bool, proxy: bool, for_ms: f64) {
        let until = self.now + for_ms;
        let gateway = &mut self.gateways[number];
        if agent {
            gateway.agent_until = gateway.agent_until.max(until);
        }
        if proxy {
            gateway.proxy_until = gateway.proxy_until.max(until);
        }
        let life = gateway.life;
        self.at(for_ms, What::Wake(number, life));
    }

    fn carry_out(&mut self, number: usize, actions: Vec<follow::Action>) {
        let life = self.gateways[number].life;
        for action in actions {
            match action {
                follow::Action::Connect(core) => self.at(0.0, What::Connect(number, life, core)),
                follow::Action::Reset(core) => {
                    if let Some(link) = self.link_of(number, &core) {
                        self.end(link);
                        self.agent(number, life, follow::Event::LinkClosed(core.clone()));
                        self.at(150.0, What::Connect(number, life, core));
                    }
                }
                follow::Action::Send { core, message: word } => {
                    let Some(link) = self.link_of(number, &core) else { continue };
                    let delay = self.delay();
                    let Some(of) = self.links.get_mut(&link) else { continue };
                    let arrives = of.to_core.max(self.now + delay);
                    of.to_core = arrives;
                    self.at(arrives - self.now, What::Word(link, word));
                }
                follow::Action::SendProxy(news) => self.at(0.05, What::Fed(number, life, news)),
            }
        }
        let (due, local) = match &self.gateways[number].agent {
            Some(agent) => (agent.next_deadline(), self.local(number)),
            None => return,
        };
        let gateway = &mut self.gateways[number];
        if due.is_finite() && due != gateway.agent_due {
            gateway.agent_due = due;
            let after = ((due - local) / gateway.rate).max(0.0) + 0.01;
            self.at(after, What::AgentDue(number, life));
        }
    }

    fn link_of(&self, gateway: usize, core: &str) -> Option<u64> {
        let core = core_number(core)?;
        let mine = self.links.iter().find(|(_, link)| link.gateway == gateway && link.core == core);
        mine.map(|(id, _)| *id)
    }

    fn connect(&mut self, gateway: usize, life: u64, core: String) {
        let now = self.local(gateway);
        let of = &mut self.gateways[gateway];
        if of.life != life || !of.agent.as_mut().is_some_and(|agent| agent.wants_link(now, &core)) {
            return;
        }
        let Some(number) = core_number(&core) else { return };
        let (there, back) = (Place::Gateway(gateway), Place::Core(number));
        let up = number < self.cores.len() && self.cores[number].running.is_some();
        if !up
            || !self.reaches(there, back)
            || !self.reaches(back, there)
            || self.link_of(gateway, &core).is_some()
        {
            return self.at(150.0 + 350.0 * f64::from(u8::from(up)), What::Connect(gateway, life, core));
        }
        let link = self.number();
        let core_life = self.cores[number].life;
        let (to_core, to_agent) = (self.now, self.now);
        self.links.insert(
            link,
            Link { gateway, gateway_life: life, core: number, core_life, held: None, to_core, to_agent },
        );
        let delay = self.delay();
        self.at(delay, What::Opened(link));
    }

    fn opened(&mut self, link: u64) {
        let Some(of) = self.links.get(&link) else { return };
        let (gateway, life, core) = (of.gateway, of.gateway_life, core_address(of.core).to_string());
        self.agent(gateway, life, follow::Event::LinkOpened(core));
    }

    /// A cut holds up what is on a link, in order, and ends it after a while. Gives when it is tried again.
    fn held_up(&mut self, link: u64, from: Place, to: Place) -> Option<f64> {
        if self.reaches(from, to) {
            self.links.get_mut(&link)?.held = None;
            return None;
        }
        let now = self.now;
        let since = *self.links.get_mut(&link)?.held.get_or_insert(now);
        if now - since > UNHEARD_MS {
            let of = self.links.get(&link)?;
            self.at(0.0, What::Core(of.core, of.core_life, Input::Closed(link)));
            self.ended(link);
        }
        Some(HELD_MS)
    }

    fn said(&mut self, link: u64, mut news: Box<ToAgent>) {
        if let (Some(Mutant::SettledUnheard), Some(pulse)) = (self.mutant, &mut news.heartbeat_reply) {
            pulse.unsettled = false;
        }
        let Some(of) = self.links.get(&link) else { return };
        let (gateway, life, core) = (of.gateway, of.gateway_life, of.core);
        if let Some(again) = self.held_up(link, Place::Core(core), Place::Gateway(gateway)) {
            if let Some(of) = self.links.get_mut(&link) {
                of.to_agent = of.to_agent.max(self.now + again);
                self.at(again, What::Said(link, news));
            }
            return;
        }
        let core = core_address(core).to_string();
        self.agent(gateway, life, follow::Event::CoreMessage { core, message: news });
    }

    fn word(&mut self, link: u64, word: Box<FromAgent>) {
        let Some(of) = self.links.get(&link) else { return };
        let (gateway, core, life) = (of.gateway, of.core, of.core_life);
        if let Some(again) = self.held_up(link, Place::Gateway(gateway), Place::Core(core)) {
            if let Some(of) = self.links.get_mut(&link) {
                of.to_core = of.to_core.max(self.now + again);
                self.at(again, What::Word(link, word));
            }
            return;
        }
        self.happen(What::Core(core, life, Input::Agent(link, *word)));
    }

    /// The core's end is gone: the agent sees it.
    fn ended(&mut self, link: u64) {
        let Some(of) = self.links.remove(&link) else { return };
        let (gateway, life, core) = (of.gateway, of.gateway_life, core_address(of.core).to_string());
        self.agent(gateway, life, follow::Event::LinkClosed(core.clone()));
        self.at(150.0, What::Connect(gateway, life, core));
    }

    /// The gateway's end is gone: the core sees it.
    fn end(&mut self, link: u64) {
        let Some(of) = self.links.remove(&link) else { return };
        let delay = self.delay();
        self.at(delay, What::Core(of.core, of.core_life, Input::Closed(link)));
    }

    // ---- Proxies ----------------------------------------------------------------------------------------------

    fn take_feeds(&mut self, number: usize) {
        while self.gateways[number].proxy_until <= self.now {
            let now = self.local(number);
            let gateway = &mut self.gateways[number];
            let Some(mut news) = gateway.feeds.pop_front() else { return };
            if self.mutant == Some(Mutant::AgeForgotten) {
                news.request_sent_at = Some(now);
            }
            self.judge.fed(number, gateway.life, news.term);
            gateway.copy.apply(now, news);
            self.judge.copied(number, gateway.life, gateway.copy.state());
        }
    }

    /// Whether a proxy goes by the keys that it has.
    pub fn goes_by_keys(&self, number: usize) -> bool {
        let gateway = &self.gateways[number];
        let runs = gateway.agent.is_some() && gateway.proxy_until <= self.now;
        runs && gateway.copy.lease_is_valid(self.local(number))
    }

    /// Whether its proxy takes backends for warm that it does not know to be cold.
    pub fn has_full_rate(&self, number: usize) -> bool {
        self.gateways[number].copy.has_full_rate(self.local(number))
    }

    fn proxy_speaks(&mut self, number: usize, life: u64) {
        if self.gateways[number].life != life {
            return;
        }
        if self.gateways[number].proxy_until > self.now {
            return self.at(20.0, What::Proxy(number, life));
        }
        let now = self.local(number);
        let copy = &mut self.gateways[number].copy;
        let ready = copy.applied_index() > 0;
        let word = copy.message(now, format!("10.1.0.{}:80", number + 1), ready);
        self.agent(number, life, follow::Event::ProxyMessage { link: 1, message: word });
        if self.gateways[number].life == life {
            self.at(20.0, What::Proxy(number, life));
        }
    }
}
