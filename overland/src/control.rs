//! A core process: agrees on the state with the others, answers backends and operators, brings news to the agents, and
//! counts for the gateways while it leads.

use crate::agreement::{Action, Agreement, Entry, Event, Letter, Name};
use crate::calls::{self, Beat, Called, Refusal, Reply, Resolve, Resolved};
use crate::config::{Config, Envelope, Invalid};
use crate::link::{self, Incoming, Outgoing};
use crate::news::{
    Backend, Change, Charge, Charges, Configured, CoreWord, Forwarded, FromAgent, Gateway, Hello, Kind,
    Numbered, Pulse, Purpose, Range, Ranges, ToAgent, Total, Totals, Whole, Word,
};
use crate::settings::{Settings, Watch};
use crate::state::{Digest, State, Touched};
use crate::status::{CountLine, GatewayLine, ServiceLine, Status};
use crate::store::{Pace, Store};
use crate::tally::{self, Counter, Limit};
use cherrytally::Millis;
use eyre::{eyre, Result, WrapErr};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming as Body};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::Receiver;
use tokio::sync::{oneshot, Mutex, Notify};
use tokio::time::{sleep, timeout, Instant};

/// How often the agreement is told of time.
const TICK: Duration = Duration::from_millis(25);
/// The leader tells the digest of its copy to the others each so many ticks: a copy that differs is a fault, and rare.
const COMPARE_TICKS: u32 = 200;
/// An agent that was not heard for so long has no part in what clients are told, in ms.
const HEARD_MS: Millis = 1500.0;
/// A gateway that was not heard for so long is left out, in ms: it may be cut off and come back.
const GONE_MS: Millis = 60_000.0;
/// A backend that missed so many beats is left out.
const BEATS: f64 = 4.0;
/// A caller waits a second for an answer; it has one before that.
const CALL: Duration = Duration::from_millis(850);
/// Log entries before the state takes their place.
const LOG_MOST: usize = 512;
/// Largest body of a call.
const BODY_MOST: usize = 16 << 20;
/// Addresses that a client is told at most.
const ADDRESSES: usize = 64;
/// Gateways that a client is told at least, where there are so many: one may fail.
const ADDRESSES_LEAST: usize = 2;
/// Longest that a client may go by an answer, beside the platform's own limit.
const TTL: Duration = Duration::from_secs(2);
/// Time for a caller to send its head.
const HEAD: Duration = Duration::from_secs(5);
/// A backend that left is remembered for so long, in ms: a beat of its may still be on the way.
const LEFT_MS: Millis = 30_000.0;
/// Between two tries to reach another process.
const AGAIN: Duration = Duration::from_millis(100);
/// A leader with a slow disk hands over no more often: with all disks slow there is nobody better.
const HAND_AGAIN: Duration = Duration::from_secs(10);
/// A core process that is told to end hands over within this.
const HAND_OVER: Duration = Duration::from_millis(400);

/// An agent's connection.
struct Agent {
    gateway: Gateway,
    word: FromAgent,
    /// The members that it was told of.
    members: Vec<Name>,
    heard: Millis,
    to: Outgoing,
    /// The number up to which it was sent changes here.
    sent: u64,
}

/// What the leader alone knows.
#[derive(Default)]
struct Leading {
    since: Millis,
    /// The agents were told that it leads.
    told: bool,
    /// When each backend was last heard, and its last postmark.
    beats: BTreeMap<String, (Millis, u64)>,
    /// Backends that left, and when.
    left: BTreeMap<String, Millis>,
    /// When each gateway was last told that it is up to date, and what it holds.
    gates: BTreeMap<String, (Millis, u64)>,
    counter: Option<Counter>,
    /// Limits of the tenants of the configuration in force.
    limits: BTreeMap<String, Limit>,
}

type Waiter = (u64, oneshot::Sender<bool>);

/// A core process.
pub struct Control {
    settings: Settings,
    /// Core processes that the settings name, as they were last read.
    seeds: RefCell<Vec<SocketAddr>>,
    me: Name,
    started: Instant,
    store: Store,
    pace: RefCell<Pace>,
    /// When it last handed over for its slow disk.
    handed: Cell<Option<Instant>>,
    agreement: RefCell<Agreement>,
    state: RefCell<State>,
    digest: Digest,
    leading: RefCell<Leading>,
    /// Who waits for an entry: its number, with the term and where to tell.
    waiting: RefCell<BTreeMap<u64, Waiter>>,
    peers: RefCell<BTreeMap<Name, Outgoing>>,
    agents: RefCell<BTreeMap<u64, Agent>>,
    passed: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
    /// One configuration at a time.
    configuring: Mutex<()>,
    held: Notify,
    rng: RefCell<fastrand::Rng>,
}

impl Control {
    /// Runs a core process until it is told to end.
    pub async fn run(settings: Settings, mut watch: Watch) -> Result<()> {
        let address = settings.control.ok_or_else(|| eyre!("network.docks_at.control is missing"))?;
        let folder = settings.data_dir.clone().ok_or_else(|| eyre!("sender.data_dir is missing"))?;
        let mut term = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        let (store, saved) = Store::open(&folder)?;
        let me = address.to_string();
        let founds = saved.is_none() && settings.first_start && settings.seeds.contains(&address);
        let saved = match saved {
            Some(saved) => saved,
            None if founds => {
                let saved = Agreement::found(settings.seeds.iter().map(SocketAddr::to_string).collect());
                let (vow, base) = (saved.vow.clone(), Some(saved.base.clone()));
                store.save(&crate::agreement::Save { vow, entries: None, base })?;
                saved
            }
            None => Default::default(),
        };
        log::info!(
            "core: {me} starts, {} entries behind {}, {}",
            saved.entries.len(),
            saved.base.index,
            if founds { "founds" } else { "known" }
        );
        let state = match Whole::decode(&saved.base.state[..]) {
            Ok(whole) => State { index: saved.base.index, ..State::from_whole(0.0, whole) },
            Err(_) => return Err(eyre!("the state on disk can't be read")),
        };
        let seed = fastrand::u64(..);
        let control = Rc::new(Control {
            agreement: RefCell::new(Agreement::new(me.clone(), saved, seed, 0.0)),
            seeds: RefCell::new(settings.seeds.clone()),
            settings,
            me,
            started: Instant::now(),
            store,
            pace: RefCell::default(),
            handed: Cell::new(None),
            state: RefCell::new(state),
            digest: Digest::default(),
            leading: RefCell::default(),
            waiting: RefCell::default(),
            peers: RefCell::default(),
            agents: RefCell::default(),
            passed: RefCell::default(),
            next: Cell::new(seed >> 16),
            configuring: Mutex::new(()),
            held: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        });
        let inner = SocketAddr::new(control.settings.ip, control.settings.inner_ports.0);
        let inner = TcpListener::bind(inner).await.wrap_err("inner port")?;
        tokio::task::spawn_local(control.clone().take_links(inner));
        let listener = TcpListener::bind(address).await.wrap_err("control address")?;
        tokio::task::spawn_local(control.clone().take_calls(listener));
        if let Some(directory) = control.settings.directory {
            let listener = TcpListener::bind(directory).await.wrap_err("directory address")?;
            tokio::task::spawn_local(control.clone().take_calls(listener));
        }
        let learning = control.clone();
        tokio::task::spawn_local(async move {
            loop {
                *learning.seeds.borrow_mut() = watch.changed().await.seeds;
            }
        });
        let ticking = control.clone();
        tokio::task::spawn_local(async move {
            let mut ticks = 0u32;
            loop {
                sleep(TICK).await;
                ticks = ticks.wrapping_add(1);
                ticking.step(Event::Tick);
                if ticks.is_multiple_of(20) {
                    ticking.keep_house();
                }
                if ticks.is_multiple_of(COMPARE_TICKS) && ticking.leads() {
                    ticking.compare();
                }
            }
        });
        term.recv().await;
        log::info!("core: told to end");
        if control.leads() {
            control.step(Event::Resign);
            sleep(HAND_OVER).await;
        }
        Ok(())
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.agreement.borrow().leads()
    }

    /// Where it is called.
    pub fn address(&self) -> String {
        self.me.clone()
    }

    // ---- Agreement ------------------------------------------------------------------------------------------

    /// Tells the agreement what happened and carries out what it wants.
    fn step(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.agreement.borrow_mut().handle(self.now(), event, &mut actions);
        let applied =
            actions.iter().any(|action| matches!(action, Action::Apply(_) | Action::Restore { .. }));
        for action in actions {
            self.act(action);
        }
        if applied {
            self.compact();
            self.push();
            let vouches = self.agreement.borrow().vouches(self.now());
            if vouches && !std::mem::replace(&mut self.leading.borrow_mut().told, true) {
                self.pulse();
            }
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Save(save) => {
                let start = Instant::now();
                if let Err(e) = self.store.save(&save) {
                    // What is not on disk was promised to nobody yet; what follows would promise it.
                    log::error!("core: the disk takes nothing: {e}");
                    std::process::exit(1);
                }
                let slow = self.pace.borrow_mut().saved(start.elapsed().as_secs_f64() * 1000.0);
                let lately = self.handed.get().is_some_and(|at| at.elapsed() < HAND_AGAIN);
                if slow && self.leads() && !lately {
                    log::warn!("core: the disk is slow; another should lead");
                    self.handed.set(Some(Instant::now()));
                    let control = self.clone();
                    // What this save is for goes on first.
                    tokio::task::spawn_local(async move { control.step(Event::Resign) });
                }
            }
            Action::Send { to, say } => {
                let word = Some(Word::Agreement(Letter { say: Some(say) }));
                self.tell(&to, word);
            }
            Action::Apply(entry) => {
                let change = change_in(&entry);
                let touched = self.state.borrow_mut().apply(self.now(), entry.index, change.as_ref());
                if touched == Touched::Config {
                    self.take_limits();
                }
                if let Some((term, waiter)) = self.waiting.borrow_mut().remove(&entry.index) {
                    // Another term's entry in its place means that it was not taken.
                    let _ = waiter.send(term == entry.term);
                }
            }
            Action::Restore { index, state } => {
                if let Ok(whole) = Whole::decode(&state[..]) {
                    *self.state.borrow_mut() = State { index, ..State::from_whole(self.now(), whole) };
                }
            }
            Action::Leads(leads) => {
                log::info!(
                    "core: {} in term {}",
                    if leads { "leads" } else { "follows" },
                    self.agreement.borrow().term()
                );
                let now = self.now();
                let counter = leads.then(|| {
                    Counter::new(now, self.agreement.borrow().term(), self.settings.bounds.quota_slack)
                });
                *self.leading.borrow_mut() = Leading { since: now, counter, ..Leading::default() };
                self.take_limits();
                if !leads {
                    // What came of them is not known: the same call again finds out.
                    self.waiting.borrow_mut().clear();
                }
            }
        }
    }

    fn compact(self: &Rc<Self>) {
        if self.agreement.borrow().log_length() < LOG_MOST {
            return;
        }
        let state = self.state.borrow().whole(self.now(), true).encode_to_vec();
        let mut actions = Vec::new();
        self.agreement.borrow_mut().compact(state, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    /// Goes by the limits of the configuration in force. Only who leads counts by them.
    fn take_limits(&self) {
        if !self.leads() {
            return;
        }
        let state = self.state.borrow();
        let config = state.config.as_ref().and_then(|config| Config::read(&config.text).ok());
        let patrons = config.into_iter().flat_map(|config| config.patrons.unwrap_or_default());
        self.leading.borrow_mut().limits =
            patrons.map(|patron| (patron.name.clone(), patron.limit())).collect();
    }

    /// Wants a change, and waits until it is agreed on.
    pub async fn agree(self: &Rc<Self>, kind: Kind) -> Result<(), Refusal> {
        let data = Change { kind: Some(kind) }.encode_to_vec();
        let (to, told) = oneshot::channel();
        {
            let agreement = self.agreement.borrow();
            if !agreement.leads() {
                return Err(Refusal::Later);
            }
            let index = agreement.last() + 1;
            self.waiting.borrow_mut().insert(index, (agreement.term(), to));
        }
        self.step(Event::Propose(data));
        match timeout(CALL, told).await {
            Ok(Ok(true)) => Ok(()),
            _ => Err(Refusal::Later),
        }
    }

    /// What is done now and then.
    fn keep_house(self: &Rc<Self>) {
        let now = self.now();
        if self.agreement.borrow().apart() {
            let seeds: Vec<_> = self.seeds.borrow().iter().map(SocketAddr::to_string).collect();
            let members = self.agreement.borrow().members().to_vec();
            for core in seeds.into_iter().chain(members) {
                self.tell(&core, Some(Word::Join(true)));
            }
        }
        self.agents.borrow_mut().retain(|_, agent| now - agent.heard < GONE_MS);
        if !self.agreement.borrow().vouches(now) {
            return;
        }
        let mut gone = Vec::new();
        {
            let (mut leading, state) = (self.leading.borrow_mut(), self.state.borrow());
            let silent = self.settings.beat.as_secs_f64() * 1000.0 * BEATS;
            let since = leading.since;
            for id in state.backends.keys() {
                let heard = leading.beats.get(id).map_or(since, |(at, _)| *at);
                if now - heard > silent {
                    gone.push(Kind::BackendGone(id.clone()));
                }
            }
            for node in state.gateways.keys() {
                let heard = leading.gates.get(node).map_or(since, |(at, _)| *at);
                if now - heard > GONE_MS {
                    gone.push(Kind::GatewayGone(node.clone()));
                }
            }
            leading.beats.retain(|id, _| state.backends.contains_key(id));
            leading.left.retain(|_, at| now - *at < LEFT_MS);
            if let Some(counter) = &mut leading.counter {
                counter.sweep(now);
            }
        }
        for kind in gone {
            log::info!("core: silent for too long: {}", named(&kind));
            self.step(Event::Propose(Change { kind: Some(kind) }.encode_to_vec()));
        }
        let known: Vec<_> = {
            let (agents, state) = (self.agents.borrow(), self.state.borrow());
            let heard = agents.values().filter(|agent| now - agent.heard < HEARD_MS);
            let known = heard.map(|agent| agent.gateway.clone()).filter(|gateway| !gateway.front.is_empty());
            known.filter(|gateway| state.gateways.get(&gateway.node) != Some(gateway)).collect()
        };
        for gateway in known {
            self.step(Event::Propose(Change { kind: Some(Kind::Gateway(gateway)) }.encode_to_vec()));
        }
    }

    // ---- Backends -------------------------------------------------------------------------------------------

    /// A backend told what it is.
    pub async fn beat(self: &Rc<Self>, beat: Beat) -> Result<(), Refusal> {
        let Beat { backend, postmark } = beat;
        let now = self.now();
        {
            let mut leading = self.leading.borrow_mut();
            if leading.left.contains_key(&backend.id) {
                return Ok(());
            }
            let last = leading.beats.entry(backend.id.clone()).or_insert((now, 0));
            last.0 = now;
            if postmark < last.1 {
                // An earlier call that comes late says nothing new.
                return Ok(());
            }
            last.1 = postmark;
        }
        let known = self.state.borrow().backends.get(&backend.id).is_some_and(|known| {
            let cold_until = now + backend.cold_ms as f64;
            let same =
                Backend { cold_ms: 0, ..known.backend.clone() } == Backend { cold_ms: 0, ..backend.clone() };
            same && (backend.cold_ms == 0 || cold_until < known.cold_until + COLD_SLACK_MS)
        });
        if known {
            return Ok(());
        }
        self.agree(Kind::Backend(backend)).await
    }

    /// A backend ends.
    pub async fn leave(self: &Rc<Self>, id: &str) -> Result<(), Refusal> {
        self.leading.borrow_mut().left.insert(id.to_owned(), self.now());
        if !self.state.borrow().backends.contains_key(id) {
            return Ok(());
        }
        self.agree(Kind::BackendGone(id.to_owned())).await
    }

    // ---- Operators ------------------------------------------------------------------------------------------

    /// The configuration in force, if this process may speak for all.
    pub fn configuration(&self) -> Option<String> {
        let vouches = self.agreement.borrow().vouches(self.now());
        self.state.borrow().config.as_ref().filter(|_| vouches).map(|config| config.text.clone())
    }

    /// Takes a configuration.
    pub async fn configure(
        self: &Rc<Self>, envelope: Result<Envelope, Invalid>, digest: u64,
        make: impl Fn(Envelope, &str) -> Result<(Config, String), Invalid>,
    ) -> Result<(), Refusal> {
        let Ok(_one) = timeout(CALL, self.configuring.lock()).await else { return Err(Refusal::Later) };
        if !self.agreement.borrow().vouches(self.now()) {
            return Err(Refusal::Later);
        }
        let taken = self.state.borrow().calls.contains(&digest);
        if !taken {
            let envelope = envelope?;
            let current = self.state.borrow().config.clone().unwrap_or_default();
            if envelope.based_on != current.edition {
                return Err(Refusal::Conflict(format!("r{} is in place", current.edition)));
            }
            let edition = envelope.edition;
            if edition <= current.edition {
                return Err(Refusal::Bad(format!("edition r{edition} is not above r{}", current.edition)));
            }
            let (_, text) = make(envelope, &current.text)?;
            log::info!("core: takes r{edition} on top of r{}", current.edition);
            self.agree(Kind::Configured(Configured { edition, text, call: digest })).await?;
        }
        self.in_force().await
    }

    /// Waits until every gateway that may go by older keys holds this state, or has stopped going by them.
    async fn in_force(self: &Rc<Self>) -> Result<(), Refusal> {
        if !self.settings.bounds.closed {
            return Ok(());
        }
        let index = self.state.borrow().index;
        let ends = Instant::now() + CALL;
        loop {
            if !self.leads() {
                return Err(Refusal::Later);
            }
            let settle = self.settings.bounds.settle().as_secs_f64() * 1000.0;
            let now = self.now();
            let clear = {
                let (leading, state) = (self.leading.borrow(), self.state.borrow());
                state.gateways.keys().all(|node| {
                    let (at, held) = leading.gates.get(node).copied().unwrap_or((leading.since, 0));
                    held >= index || now - at > settle
                })
            };
            if clear {
                return Ok(());
            }
            if Instant::now() > ends {
                return Err(Refusal::Later);
            }
            let _ = timeout(Duration::from_millis(100), self.held.notified()).await;
        }
    }

    // ---- Clients --------------------------------------------------------------------------------------------

    /// Gateways for a client: those near it that take clients.
    pub fn resolve(&self, of: &Resolve) -> Option<Resolved> {
        let now = self.now();
        let agents = self.agents.borrow();
        let ready: BTreeMap<&str, &Gateway> = agents
            .values()
            .filter(|agent| agent.word.ready && now - agent.heard < HEARD_MS)
            .map(|agent| (agent.gateway.node.as_str(), &agent.gateway))
            .collect();
        let region = |zone: &str| self.settings.zones.get(zone).map(String::as_str);
        let near: Vec<_> =
            ready.values().filter(|word| region(&word.zone) == Some(of.region.as_str())).collect();
        let mut addresses: Vec<String> = if near.len() >= ADDRESSES_LEAST {
            near.iter().map(|word| word.front.clone()).collect()
        } else {
            ready.values().map(|word| word.front.clone()).collect()
        };
        self.rng.borrow_mut().shuffle(&mut addresses);
        addresses.truncate(ADDRESSES);
        let ttl = TTL.min(self.settings.bounds.ttl_max);
        (!addresses.is_empty()).then(|| Resolved { addresses, ttl: format!("{}ms", ttl.as_millis()) })
    }

    // ---- Operators look ---------------------------------------------------------------------------------------

    /// The system as this process sees it.
    pub fn status(&self) -> Status {
        let now = self.now();
        let (agreement, state) = (self.agreement.borrow(), self.state.borrow());
        let (agents, leading) = (self.agents.borrow(), self.leading.borrow());
        let gateway = |gateway: &Gateway| {
            let heard = agents.values().filter(|agent| agent.gateway.node == gateway.node);
            let agent = heard.max_by(|a, b| a.heard.total_cmp(&b.heard));
            GatewayLine {
                node: gateway.node.clone(),
                zone: gateway.zone.clone(),
                front: gateway.front.clone(),
                ready: agent.is_some_and(|agent| agent.word.ready),
                held: agent.map_or(0, |agent| agent.word.held),
                applied: agent.map_or(0, |agent| agent.word.applied),
                heard_ms: agent.map(|agent| (now - agent.heard).max(0.0) as u64),
            }
        };
        let mut services = BTreeMap::new();
        for known in state.backends.values() {
            let Backend { service, zone, closing, berths, .. } = &known.backend;
            let line: &mut ServiceLine = services.entry((service, zone)).or_default();
            if *closing {
                line.closing += 1;
            } else {
                line.open += 1;
                line.cold += u64::from(known.cold_until > now);
                line.berths += u64::from(*berths);
            }
        }
        let named = services.into_iter().map(|((service, zone), line)| ServiceLine {
            service: service.clone(),
            zone: zone.clone(),
            ..line
        });
        let counts = leading.counter.iter().flat_map(|counter| counter.counts(now));
        let count = |(tenant, units): (&str, i64)| CountLine {
            tenant: tenant.to_owned(),
            per_s: leading.limits.get(tenant).map_or(0.0, |limit| limit.per_s),
            units,
        };
        Status {
            address: self.me.clone(),
            node: self.settings.node.clone(),
            leader: agreement.leader().cloned().unwrap_or_default(),
            vouches: agreement.vouches(now),
            term: agreement.term(),
            index: state.index,
            digest: format!("{:016x}", self.digest.of(&state)),
            log: agreement.log_length() as u64,
            members: agreement.members().to_vec(),
            edition: state.config.as_ref().map_or(String::new(), |config| format!("r{}", config.edition)),
            evacuated: state.evacuated.iter().cloned().collect(),
            gateways: state.gateways.values().map(gateway).collect(),
            services: named.collect(),
            counts: counts.map(count).collect(),
        }
    }

    // ---- Links to other core processes ------------------------------------------------------------------------

    /// Where the inner port of a core process is, by its name.
    fn inner(&self, name: &str) -> Option<SocketAddr> {
        let address: SocketAddr = name.parse().ok()?;
        Some(SocketAddr::new(address.ip(), self.settings.inner_ports.0))
    }

    fn tell(self: &Rc<Self>, to: &Name, word: Option<Word>) {
        if *to == self.me {
            return;
        }
        let word = CoreWord { from: self.me.clone(), word };
        let mut peers = self.peers.borrow_mut();
        match peers.get(to) {
            // What finds no room is lost, as it may be on the way.
            Some(out) => drop(out.send(&word)),
            None => {
                let Some(addr) = self.inner(to) else { return };
                let (out, from) = Outgoing::new();
                out.send(&Hello { purpose: Purpose::Core as i32 });
                out.send(&word);
                peers.insert(to.clone(), out);
                tokio::task::spawn_local(self.clone().keep_link(to.clone(), addr, from));
            }
        }
    }

    async fn keep_link(self: Rc<Self>, to: Name, addr: SocketAddr, mut from: Receiver<Vec<u8>>) {
        loop {
            match link::connect(addr).await {
                Ok(stream) => link::write(stream.into_split().1, from).await,
                Err(_) => sleep(AGAIN).await,
            }
            // What waited is old by now: those that speak say it anew.
            let (out, next) = Outgoing::new();
            out.send(&Hello { purpose: Purpose::Core as i32 });
            self.peers.borrow_mut().insert(to.clone(), out);
            from = next;
        }
    }

    async fn take_links(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::task::spawn_local(self.clone().link(stream))),
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn link(self: Rc<Self>, stream: TcpStream) {
        link::prepare(&stream);
        let (read, write) = stream.into_split();
        let (out, from) = Outgoing::new();
        let mut hello = Incoming::<Hello>::new(read);
        let Ok(first) = hello.next().await else { return };
        let writing = tokio::task::spawn_local(link::write(write, from));
        // However it ends: the other side comes again.
        let _ = match first.purpose() {
            Purpose::Core => self.hear_core(hello.other()).await,
            Purpose::Agent => self.hear_agent(hello.other(), out).await,
            Purpose::Counter => self.hear_charges(hello.other(), out).await,
            Purpose::None => Ok(()),
        };
        writing.abort();
    }

    async fn hear_core(self: &Rc<Self>, mut from: Incoming<CoreWord>) -> std::io::Result<()> {
        loop {
            let CoreWord { from: name, word } = from.next().await?;
            match word {
                Some(Word::Agreement(Letter { say: Some(say) })) => {
                    self.step(Event::Heard { from: name, say })
                }
                Some(Word::Call(call)) => {
                    let control = self.clone();
                    tokio::task::spawn_local(async move { control.passed_on(name, call).await });
                }
                Some(Word::Answer(Forwarded { number, body, status, .. })) => {
                    if let Some(to) = self.passed.borrow_mut().remove(&number) {
                        let body = String::from_utf8(body).unwrap_or_default();
                        let after_ms = (status == 503).then_some(200);
                        let _ = to.send(Reply { status: status as u16, body, after_ms });
                    }
                }
                Some(Word::Compare(theirs)) => self.compared(&name, &theirs),
                Some(Word::Differs(theirs)) => {
                    let mend = self.state.borrow().mend_for(self.now(), &theirs);
                    if let Some(mend) = mend.filter(|_| self.leads()) {
                        self.tell(&name, Some(Word::Mend(mend)));
                    }
                }
                Some(Word::Mend(mend)) => {
                    let names = mend.names.join(", ");
                    if !self.leads() && self.state.borrow_mut().mend(self.now(), mend) {
                        log::warn!("core: mended: {names}");
                        self.digest.forget();
                    }
                }
                Some(Word::Join(_)) => {
                    let leader = self.agreement.borrow().leader().cloned();
                    match leader {
                        Some(leader) if leader == self.me => self.step(Event::Join(name)),
                        Some(leader) => self.pass_join(&leader, name),
                        None => {}
                    }
                }
                _ => {}
            }
        }
    }

    /// The leader told the digest of its copy: where one's own differs its ranges are told.
    fn compared(self: &Rc<Self>, leader: &Name, theirs: &Ranges) {
        let differs = {
            let state = self.state.borrow();
            let digest = theirs.ranges.first().map(|whole| whole.digest);
            let same = theirs.index != state.index || digest == Some(self.digest.of(&state));
            (!same && self.agreement.borrow().leader() == Some(leader)).then(|| state.ranges())
        };
        if let Some(ranges) = differs {
            log::warn!("core: the copy of change {} differs from the leader's", ranges.index);
            self.tell(leader, Some(Word::Differs(ranges)));
        }
    }

    /// Tells the other members the digest of one's copy.
    fn compare(self: &Rc<Self>) {
        let state = self.state.borrow();
        let whole = Range { name: String::new(), digest: self.digest.of(&state) };
        let ranges = Ranges { index: state.index, ranges: vec![whole] };
        for member in self.agreement.borrow().members() {
            self.tell(member, Some(Word::Compare(ranges.clone())));
        }
    }

    fn pass_join(self: &Rc<Self>, leader: &Name, name: Name) {
        let peers = self.peers.borrow();
        if let Some(out) = peers.get(leader) {
            out.send(&CoreWord { from: name, word: Some(Word::Join(true)) });
        }
    }

    /// Has a call answered by who leads. None if that is not known, or it does not answer.
    pub async fn pass_on(self: &Rc<Self>, called: &Called<'_>) -> Option<Reply> {
        let leader = self.agreement.borrow().leader().cloned()?;
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        let (to, answer) = oneshot::channel();
        self.passed.borrow_mut().insert(number, to);
        let path = format!("{} {}", called.method, called.path);
        let call = Forwarded { number, path, body: called.body.to_vec(), status: 0 };
        self.tell(&leader, Some(Word::Call(call)));
        let answer = timeout(CALL, answer).await;
        self.passed.borrow_mut().remove(&number);
        answer.ok()?.ok()
    }

    async fn passed_on(self: Rc<Self>, from: Name, call: Forwarded) {
        let Forwarded { number, path, body, .. } = call;
        let Some((method, path)) = path.split_once(' ') else { return };
        let reply = if self.leads() {
            calls::answer(&self, &Called { method, path, body: &body }).await
        } else {
            Reply { status: 503, body: String::new(), after_ms: None }
        };
        let answer = Forwarded {
            number,
            path: String::new(),
            body: reply.body.into_bytes(),
            status: u32::from(reply.status),
        };
        self.tell(&from, Some(Word::Answer(answer)));
    }

    // ---- Links to agents --------------------------------------------------------------------------------------

    async fn hear_agent(self: &Rc<Self>, mut from: Incoming<FromAgent>, to: Outgoing) -> std::io::Result<()> {
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        let gone = OnDrop(self.clone(), number);
        loop {
            let mut word = from.next().await?;
            let now = self.now();
            let (leads, mut pulse, members) = {
                let agreement = self.agreement.borrow();
                let leads = agreement.vouches(now);
                (leads, self.pulse_at(word.at, leads), agreement.members().to_vec())
            };
            let (follows, held, applied) = (word.follows, word.held, word.applied);
            let ranges = word.ranges.take().filter(|_| leads);
            let mend = ranges.and_then(|theirs| self.state.borrow().mend_for(now, &theirs));
            {
                let mut agents = self.agents.borrow_mut();
                let agent = agents.entry(number).or_insert_with(|| Agent {
                    gateway: Gateway::default(),
                    word: FromAgent::default(),
                    members: Vec::new(),
                    heard: now,
                    to: to.clone(),
                    sent: held,
                });
                if let Some(gateway) = word.gateway.take() {
                    agent.gateway = gateway;
                }
                (agent.word, agent.heard) = (word, now);
                if !follows {
                    agent.sent = held;
                }
                if agent.members != members {
                    (agent.members, pulse.members) = (members.clone(), members);
                }
                if leads {
                    self.leading.borrow_mut().gates.insert(agent.gateway.node.clone(), (now, applied));
                    self.held.notify_waiters();
                }
            }
            if follows {
                self.push_to(number);
            }
            if !to.send(&ToAgent { pulse: Some(pulse), mend, ..ToAgent::default() }) {
                drop(gone);
                return Ok(());
            }
        }
    }

    /// Tells all agents at once that it leads, and which change is the last.
    fn pulse(&self) {
        let leads = self.agreement.borrow().vouches(self.now());
        for agent in self.agents.borrow().values() {
            let pulse = Some(self.pulse_at(agent.word.at, leads));
            // Lost, it comes with the next word.
            agent.to.send(&ToAgent { pulse, ..ToAgent::default() });
        }
    }

    /// The answer to a word that was sent then.
    fn pulse_at(&self, at: Millis, leads: bool) -> Pulse {
        let state = self.state.borrow();
        let digest = if leads { self.digest.of(&state) } else { 0 };
        let (term, members) = (self.agreement.borrow().term(), Vec::new());
        Pulse { at, leads, term, index: state.index, members, digest }
    }

    /// Sends all agents that follow what is new.
    fn push(&self) {
        let numbers: Vec<_> =
            self.agents.borrow().iter().filter(|(_, a)| a.word.follows).map(|(n, _)| *n).collect();
        numbers.into_iter().for_each(|number| self.push_to(number));
    }

    fn push_to(&self, number: u64) {
        let mut agents = self.agents.borrow_mut();
        let Some(agent) = agents.get_mut(&number) else { return };
        let (agreement, state) = (self.agreement.borrow(), self.state.borrow());
        if agent.sent >= state.index {
            return;
        }
        let entries = agreement.since(agent.sent).filter(|_| agent.sent > 0);
        let news = match entries {
            Some(entries) => {
                let changes = entries.map(|entry| Numbered { index: entry.index, change: change_in(entry) });
                ToAgent { changes: changes.collect(), ..ToAgent::default() }
            }
            None => ToAgent { whole: Some(state.whole(self.now(), false)), ..ToAgent::default() },
        };
        if agent.to.send(&news) {
            agent.sent = state.index;
        }
    }

    // ---- Counting ---------------------------------------------------------------------------------------------

    async fn hear_charges(self: &Rc<Self>, mut from: Incoming<Charges>, to: Outgoing) -> std::io::Result<()> {
        loop {
            let Charges { number, charges, .. } = from.next().await?;
            let now = self.now();
            let vouches = self.agreement.borrow().vouches(now);
            let unused = self.unused_shares(now);
            let mut totals = Vec::with_capacity(charges.len());
            let mut leading = self.leading.borrow_mut();
            let Leading { counter, limits, .. } = &mut *leading;
            for charge in &charges {
                let limit = limits.get(&charge.tenant).copied().unwrap_or_default();
                let counter = counter.as_mut().filter(|_| vouches);
                let Some(counter) = counter else { break };
                let Charge { units, back, window, .. } = *charge;
                let units = tally::Charge { units, back, window };
                let counted = counter.charge(now, &charge.tenant, limit, units, unused);
                let left_ms = counted.left_ms.ceil().max(0.0) as u32;
                totals.push(Total {
                    units: counted.units,
                    limit: counted.limit,
                    left_ms,
                    window: counted.window,
                });
            }
            drop(leading);
            let sure = totals.len() == charges.len();
            if !to.send(&Totals { number, sure, totals }) {
                return Ok(());
            }
        }
    }

    /// The part of the gateways' shares that nobody uses.
    fn unused_shares(&self, now: Millis) -> f64 {
        let (state, leading) = (self.state.borrow(), self.leading.borrow());
        let heard = |node| leading.gates.get(node).map_or(leading.since, |(at, _)| *at);
        tally::unused(state.gateways.keys().map(|node| now - heard(node)))
    }

    // ---- Calls ------------------------------------------------------------------------------------------------

    async fn take_calls(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let control = self.clone();
            tokio::task::spawn_local(async move {
                link::prepare(&stream);
                let service = service_fn(|request| control.called(request));
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD)
                    .serve_connection(TokioIo::new(stream), service);
                // A caller that breaks off is its own affair.
                let _ = connection.await;
            });
        }
    }

    async fn called(self: &Rc<Self>, request: Request<Body>) -> Result<Response<Full<Bytes>>, Infallible> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let reply = match Limited::new(body, BODY_MOST).collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                calls::answer(self, &Called { method: parts.method.as_str(), path, body: &body }).await
            }
            Err(_) => Reply { status: 413, body: "{}".into(), after_ms: None },
        };
        let mut response = Response::new(Full::new(Bytes::from(reply.body)));
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = reply.after_ms {
            let seconds = format!("{:.3}", after as f64 / 1000.0);
            response
                .headers_mut()
                .extend(HeaderValue::try_from(seconds).ok().map(|value| (RETRY_AFTER, value)));
        }
        Ok(response)
    }
}

/// A cold time that ends so much later than known is a new one.
const COLD_SLACK_MS: Millis = 400.0;

struct OnDrop(Rc<Control>, u64);

impl Drop for OnDrop {
    fn drop(&mut self) {
        self.0.agents.borrow_mut().remove(&self.1);
    }
}

/// The change in an entry; none in those of the agreement's own.
fn change_in(entry: &Entry) -> Option<Change> {
    Change::decode(&entry.data[..]).ok().filter(|_| !entry.data.is_empty())
}

fn named(kind: &Kind) -> &str {
    match kind {
        Kind::BackendGone(id) => id,
        Kind::GatewayGone(node) => node,
        _ => "",
    }
}
