//! A hollow gateway: an agent and a proxy without sockets, clock or clients. The agent is [`Follow`], the one that runs
//! in service; the proxy holds what the real one holds of the system's state (its copy, the table of routes and keys,
//! the tenants' limits), and tells its agent the same words for the same history. It carries no traffic and has no
//! connections to backends.

use cherrytally::{Class, Millis};
use overland::agent_state::{Action, AgentStateMachine, Event};
use overland::protocol::{ChangeKind, FromAgent, FromProxy, IndexedChange, StateSnapshot, ToAgent, ToProxy};
use overland::quota::QuotaClient;
use overland::raft::MAX_ENTRY_VERSION;
use overland::routes::{NameIds, RouteTable, Zones};
use overland::settings::Settings;
use overland::state::{DigestCache, State, Touched};
use prost::Message;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

/// Bytes before each message between processes: its length.
const FRAME: u64 = 4;
/// The number of the link between the two parts: there is one.
const LINK: u64 = 1;

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// How many.
    pub messages: u64,
    /// Their bytes, with the length before each.
    pub bytes: u64,
    /// Processor time to take them in and answer, in s.
    pub cpu_s: f64,
}

impl Count {
    /// Adds another count.
    pub fn add(&mut self, other: Count) {
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.cpu_s += other.cpu_s;
    }

    fn one(&mut self, message: &impl Message) {
        self.messages += 1;
        self.bytes += FRAME + message.encoded_len() as u64;
    }
}

/// What a gateway was told and told, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Core to agent: whole states.
    pub whole: Count,
    /// Core to agent: numbered changes.
    pub changes: Count,
    /// Core to agent: answers to words, without anything else.
    pub pulses: Count,
    /// Agent to core.
    pub words: Count,
    /// Agent to proxy, over loopback.
    pub feeds: Count,
    /// Proxy to agent, over loopback.
    pub holds: Count,
}

impl Counts {
    /// Adds another gateway's.
    pub fn add(&mut self, other: &Counts) {
        for (mine, theirs) in self.parts().into_iter().zip({ *other }.parts()) {
            mine.add(*theirs);
        }
    }

    /// What came since an earlier look.
    pub fn since(mut self, before: &Counts) -> Counts {
        for (mine, theirs) in self.parts().into_iter().zip({ *before }.parts()) {
            mine.messages = mine.messages.saturating_sub(theirs.messages);
            mine.bytes = mine.bytes.saturating_sub(theirs.bytes);
            mine.cpu_s -= theirs.cpu_s;
        }
        self
    }

    fn parts(&mut self) -> [&mut Count; 6] {
        [
            &mut self.whole,
            &mut self.changes,
            &mut self.pulses,
            &mut self.words,
            &mut self.feeds,
            &mut self.holds,
        ]
    }

    /// Bytes between the gateway and the core, both ways.
    pub fn control_bytes(&self) -> u64 {
        self.whole.bytes + self.changes.bytes + self.pulses.bytes + self.words.bytes
    }

    /// Processor time of agent and proxy, in s.
    pub fn cpu_s(&self) -> f64 {
        [self.whole, self.changes, self.pulses, self.words, self.feeds].iter().map(|count| count.cpu_s).sum()
    }
}

/// Processor time of this thread, in s.
pub fn thread_s() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// What a hollow proxy holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holds {
    /// All that the real one holds of the system's state.
    All,
    /// The number of its copy alone: it tells its agent the same, and takes no time to make a table. It does not notice
    /// that the last backend is gone, nor that its copy differs.
    Number,
}

/// What a proxy holds and tells, without its traffic. It goes by a message as the real proxy does.
pub struct HollowProxy {
    holds: Holds,
    /// The number and the edition, where it holds no more, and whether it was told of a backend that is open.
    number: (u64, u64),
    backends: bool,
    settings: Settings,
    zones: Zones,
    state: Option<State>,
    digest: DigestCache,
    differs: bool,
    table: Option<RouteTable>,
    routes: NameIds,
    pools: NameIds,
    tally: QuotaClient,
    /// The moment of the last word of who leads.
    fresh: Option<Millis>,
}

impl HollowProxy {
    /// A proxy that starts.
    pub fn new(settings: Settings, holds: Holds) -> Self {
        HollowProxy {
            holds,
            number: (0, 0),
            backends: false,
            zones: Zones::new(&settings.zones),
            state: None,
            digest: DigestCache::default(),
            differs: false,
            table: None,
            routes: NameIds::default(),
            pools: NameIds::default(),
            tally: QuotaClient::new(settings.bounds.quota_slack),
            fresh: None,
            settings,
        }
    }

    /// What it tells its agent, at first and after each message.
    pub fn word(&mut self, now: Millis) -> FromProxy {
        let differs = std::mem::take(&mut self.differs);
        FromProxy {
            client_addr: self.settings.client_addr.map(|front| front.to_string()).unwrap_or_default(),
            ready: self.serves() && self.in_touch(now),
            applied_index: self.held(),
            ranges: self.state.as_ref().filter(|_| differs).map(State::range_digests),
            sent_at: Some(now),
            readable_format: MAX_ENTRY_VERSION,
        }
    }

    /// Takes in a message. The edition that it goes by from now on, if that has changed.
    pub fn take(&mut self, now: Millis, news: ToProxy) -> Option<u64> {
        let ToProxy {
            snapshot: whole,
            changes,
            leader_contact_age_ms: age_ms,
            index,
            digest,
            repair: mend,
            ..
        } = news;
        if age_ms >= 0.0 {
            let at = now - age_ms;
            self.fresh = Some(self.fresh.map_or(at, |fresh| fresh.max(at)));
            self.tally.leader_contacted(at);
        }
        let held = self.held();
        if self.holds == Holds::Number {
            return self.count(held, whole.as_ref(), &changes);
        }
        let mut touched = Vec::new();
        if let Some(whole) = whole.filter(|whole| whole.index > held) {
            self.state = Some(State::from_snapshot(now, whole));
            touched = vec![Touched::Config, Touched::Gateways];
        }
        if let Some(state) = &mut self.state {
            touched.extend(state.apply_all(now, &changes));
            if mend.is_some_and(|mend| state.repair(now, mend)) {
                self.digest.invalidate();
                touched.extend([Touched::Config, Touched::Gateways]);
            }
            if digest != 0 && state.index == index && self.digest.of(state) != digest {
                self.differs = true;
            }
        }
        if touched.contains(&Touched::Gateways) {
            self.tally.set_gateways(self.state.as_ref().map_or(1, |state| state.gateways.len()));
        }
        touched.contains(&Touched::Config).then(|| self.configure(now)).flatten()
    }

    /// Whether it goes by a configuration and has a backend to send to.
    fn serves(&self) -> bool {
        let open = |state: &State| state.backends.values().any(|known| !known.backend.draining);
        match self.holds {
            Holds::All => self.table.is_some() && self.state.as_ref().is_some_and(open),
            Holds::Number => self.number.1 > 0 && self.backends,
        }
    }

    fn held(&self) -> u64 {
        self.state.as_ref().map_or(self.number.0, |state| state.index)
    }

    /// Goes on to the number of what came, where it holds no more than that.
    fn count(&mut self, held: u64, whole: Option<&StateSnapshot>, changes: &[IndexedChange]) -> Option<u64> {
        let before = self.number.1;
        if let Some(whole) = whole.filter(|whole| whole.index > held) {
            self.backends = whole.backends.iter().any(|backend| !backend.draining);
            self.number = (whole.index, whole.config.as_ref().map_or(before, |config| config.edition));
        }
        let follows = self.number.0 > 0;
        for numbered in changes.iter().filter(|numbered| follows && numbered.index > held) {
            self.number.0 = numbered.index;
            match numbered.change.as_ref().and_then(|change| change.kind.as_ref()) {
                Some(ChangeKind::Config(config)) => self.number.1 = config.edition,
                Some(ChangeKind::Backend(backend)) => self.backends |= !backend.draining,
                _ => {}
            }
        }
        Some(self.number.1).filter(|edition| *edition != before)
    }

    fn configure(&mut self, now: Millis) -> Option<u64> {
        let config = self.state.as_ref()?.config.as_ref()?;
        let former: Vec<Class> = self.table.as_ref().map(|table| table.classes.clone()).unwrap_or_default();
        let table =
            RouteTable::new(&config.text, &self.zones, &mut self.routes, &mut self.pools, &former).ok()?;
        self.tally.set_limits(now, &table.limits);
        self.table = Some(table);
        Some(config.edition)
    }

    fn in_touch(&self, now: Millis) -> bool {
        let bounds = &self.settings.bounds;
        let lease = bounds.lease().as_secs_f64() * 1000.0;
        !bounds.fail_closed || self.fresh.is_some_and(|at| now - at < lease)
    }

    /// The table it goes by.
    pub fn table(&self) -> Option<&RouteTable> {
        self.table.as_ref()
    }

    /// Its copy of the agreed state.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }
}

/// What is to be done for a hollow gateway.
#[derive(Debug)]
pub enum Out {
    /// Keep a link to this core process.
    Keep(String),
    /// End the link to it; it is opened anew.
    End(String),
    /// Tell it.
    Say(String, Box<FromAgent>),
    /// Its agent holds this edition from now on.
    Held(u64),
    /// Its proxy goes by this edition from now on.
    InForce(u64),
}

/// An agent and its proxy.
pub struct Hollow {
    follow: AgentStateMachine,
    proxy: HollowProxy,
    counts: Counts,
}

impl Hollow {
    /// A gateway that starts, and what it wants at once.
    pub fn new(settings: &Settings, holds: Holds, now: Millis, out: &mut Vec<Out>) -> Self {
        let mut actions = Vec::new();
        let follow = AgentStateMachine::new(settings, now, &mut actions);
        let mut hollow =
            Hollow { follow, proxy: HollowProxy::new(settings.clone(), holds), counts: Counts::default() };
        hollow.follow.handle(now, Event::ProxyConnected(LINK), &mut actions);
        let word = hollow.proxy.word(now);
        hollow.counts.holds.one(&word);
        hollow.follow.handle(now, Event::ProxyMessage { link: LINK, message: word }, &mut actions);
        hollow.carry_out(now, actions, out);
        hollow
    }

    /// A core process said something.
    pub fn said(&mut self, now: Millis, core: String, news: Box<ToAgent>, out: &mut Vec<Out>) {
        let kind = match &*news {
            ToAgent { snapshot: Some(_), .. } => 0,
            ToAgent { changes, .. } if !changes.is_empty() => 1,
            _ => 2,
        };
        let parts = self.counts.parts();
        parts.into_iter().nth(kind).into_iter().for_each(|count| count.one(&*news));
        let (start, fed) = (thread_s(), self.counts.feeds.cpu_s);
        let before = self.edition();
        let at = out.len();
        self.event(now, Event::CoreMessage { core, message: news }, out);
        if self.edition() != before {
            // Before it was in force.
            out.insert(at, Out::Held(self.edition()));
        }
        // What the proxy part took is its own.
        let took = thread_s() - start - (self.counts.feeds.cpu_s - fed);
        self.counts.parts().into_iter().nth(kind).into_iter().for_each(|count| count.cpu_s += took);
    }

    /// Anything else happened.
    pub fn event(&mut self, now: Millis, event: Event, out: &mut Vec<Out>) {
        let mut actions = Vec::new();
        self.follow.handle(now, event, &mut actions);
        self.carry_out(now, actions, out);
    }

    /// What the agent tells its proxy passes as bytes, as over their link.
    fn carry_out(&mut self, now: Millis, actions: Vec<Action>, out: &mut Vec<Out>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Connect(core) => out.push(Out::Keep(core)),
                Action::Reset(core) => out.push(Out::End(core)),
                Action::Send { core, message: word } => {
                    self.counts.words.one(&*word);
                    out.push(Out::Say(core, word));
                }
                Action::SendProxy(news) => {
                    let start = thread_s();
                    self.counts.feeds.one(&*news);
                    let bytes = news.encode_to_vec();
                    drop(news);
                    // What was just encoded can be read.
                    let news = ToProxy::decode(&bytes[..]).unwrap_or_default();
                    drop(bytes);
                    let edition = self.proxy.take(now, news);
                    out.extend(edition.map(Out::InForce));
                    let word = self.proxy.word(now);
                    self.counts.holds.one(&word);
                    self.counts.feeds.cpu_s += thread_s() - start;
                    let mut more = Vec::new();
                    self.follow.handle(now, Event::ProxyMessage { link: LINK, message: word }, &mut more);
                    actions.extend(more);
                }
            }
        }
    }

    /// The edition that its agent holds; nought for none.
    fn edition(&self) -> u64 {
        let config = self.follow.state().and_then(|state| state.config.as_ref());
        config.map_or(0, |config| config.edition)
    }

    /// When it wants to be told of time next.
    pub fn due(&self) -> Millis {
        self.follow.next_deadline()
    }

    /// Whether a link to this core process is wanted.
    pub fn wants(&mut self, now: Millis, core: &str) -> bool {
        self.follow.wants_link(now, core)
    }

    /// What it was told and told.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Its proxy.
    pub fn proxy(&self) -> &HollowProxy {
        &self.proxy
    }

    /// The agent's copy of the agreed state.
    pub fn state(&self) -> Option<&State> {
        self.follow.state()
    }
}
