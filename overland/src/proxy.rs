//! The proxy: takes clients' requests, charges their tenants, and has the decision module send them.

use crate::agent::{self, proxy_listen_address};
use crate::ahead::{Ahead, Begun, Front};
use crate::charging::PendingCharges;
use crate::copy::{Effects, StateReplica};
use crate::figures::{Figures, Present};
use crate::invariants::{self, Invariant};
use crate::link::{self, MessageReader, MessageSender};
use crate::news::{Charge, Charges, Hello, Purpose, ToProxy, Totals};
use crate::routes::{KeyCheck, NameIds, Route, RouteTable, Tenant, Zones};
use crate::settings::{Settings, Watch};
use crate::shares::Shares;
use crate::speech::Wire;
use crate::state::Touched;
use crate::tally::{self, ChargeTotal, Tally, Verdict};
use crate::told::{client_response, ClientResponse};
use bytes::BytesMut;
use cherrytally::plane::backends::{Backends, Dial, Stream};
use cherrytally::plane::deadline::{ClientDeadline, Deadline};
use cherrytally::plane::driver::{
    BackendProtocol, BackendRequest, DiscoveredBackend as Listing, Driver, DriverResources, FinalResponse,
    RequestInfo,
};
use cherrytally::plane::http::Head;
use cherrytally::plane::room::{
    BodyError, MemoryBudget, ResponseBody, UnreadBody, Upload, MAX_BUFFERED_BYTES,
};
use cherrytally::{
    BackendEntry, BackendState as Stands, Limits, Millis, Plan, RetryBudget, Rules, Settings as Tuning,
};
use eyre::{eyre, Result, WrapErr};
use hyper::body::Incoming as Body;
use hyper::header::{
    HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER,
};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, LazyCell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch, Notify, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// Descriptors kept for all but clients and backends.
const RESERVED: u64 = 264;
/// A backend's connection comes up within this, in ms: the farthest region is some hundred away.
const CONNECT_MS: f64 = 500.0;
/// Backends close connections that are idle for so long, in ms; they are used for half of it.
const IDLE_MS: f64 = 8_000.0;
/// Longest wait for the counter, as a share of the route's aim.
const COUNT_OF_AIM: f64 = 0.35;
/// A body has come, or comes at a fair pace, so long after its head.
const WHOLE: Duration = Duration::from_secs(5);
/// A body waits so long for room.
const ROOM: Duration = Duration::from_secs(1);
/// What is read from a client at once, and the longest head.
const READ: usize = 16 * 1024;
/// A request without a word on how long its client waits.
const WAITS: Duration = Duration::from_secs(10);
/// Clients that are refused for want of room come back after so long at least, in ms.
const AFTER_MS: f64 = 50.0;
/// And at most.
const AFTER_MOST_MS: f64 = 2000.0;
/// Cost of another region, and of another zone, in usual times of a request.
const FAR: (f64, f64) = (6.0, 0.15);
/// The part of a budget that all gateways share which is used: others may be unknown.
const OF_BUDGET: f64 = 0.8;
/// After SIGTERM clients are still taken in for so long: they go by what they were told before.
const ACCEPT_ON: f64 = 0.45;
/// And what is open may end within this share of the time that is granted; what is in hand then gets its final answer.
const ANSWERED: f64 = 0.92;
/// Bytes that are handed to the system are on their way so long after.
const LAST_BYTES: Duration = Duration::from_millis(100);
/// A request is refused early if it is expected to take more than this share of its aim: an answer that is a little late
/// still earns something, and far places take longer without a queue.
const EARLY_OF_AIM: f64 = 1.2;
/// A request that comes while the process starts waits so long for it, as a share of its client's time.
const START_OF_WAIT: f64 = 0.4;
/// Between two looks whether a settled leader is heard again: shorter than its word then holds.
const NO_FULL_RATE: Duration = Duration::from_millis(500);
/// Between two tries to reach another process.
const AGAIN: Duration = Duration::from_millis(100);

/// A charge on its way.
struct Charging {
    tenant: String,
    charge: tally::Charge,
    answer: oneshot::Sender<Option<ChargeTotal>>,
}

/// Whether clients are taken in.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// They are.
    Serves,
    /// Each answer asks its client to go.
    Drains,
    /// Idle connections are closed.
    Closes,
    /// What is in hand gets its final answer now.
    Answers,
}

/// A request that may be sent on.
struct Admitted {
    route: Rc<Route>,
    tenant: Option<Rc<Tenant>>,
    deadline: Deadline,
    /// Its body, as far as it is held, and what is to come of it, with the length of the whole where that is known.
    body: BytesMut,
    more: Option<(Rc<UnreadBody>, Option<u64>)>,
}

/// A proxy.
pub struct Proxy {
    settings: Settings,
    zones: Zones,
    started: Instant,
    front: SocketAddr,
    figures: Rc<Figures>,
    driver: Rc<Driver>,
    budget: Rc<MemoryBudget>,
    /// One for each client's connection.
    places: Arc<Semaphore>,
    places_most: usize,
    phase: watch::Sender<Phase>,
    busy: Cell<usize>,
    copy: RefCell<StateReplica>,
    table: RefCell<Option<Rc<RouteTable>>>,
    routes: RefCell<NameIds>,
    pools: RefCell<NameIds>,
    /// Zones that are emptied, one bit each.
    evacuated: Cell<u64>,
    /// Backends count as warm that are not known to be cold, as they were last listed.
    full_rate: Cell<bool>,
    tally: RefCell<Tally>,
    charges: UnboundedSender<Charging>,
    counter: watch::Sender<Option<SocketAddr>>,
    told: Notify,
    /// It was up to date once.
    has_been: Cell<bool>,
    news: Notify,
    rng: RefCell<fastrand::Rng>,
}

type Reply = Response<ResponseBody>;

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ResponseBody::buffered(text));
    *reply.status_mut() = status;
    reply
}

/// A refusal of a request that has not run and never will, with the time to come back.
fn refused(status: StatusCode, after_ms: f64) -> Reply {
    let mut reply = plain(status, "not run\n");
    let seconds = format!("{:.3}", after_ms.clamp(AFTER_MS, AFTER_MOST_MS) / 1000.0);
    reply.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|value| (RETRY_AFTER, value)));
    reply
}

/// A request in hand.
struct Busy(Rc<Proxy>, Option<cherrytally::RequestId>);

impl Busy {
    fn new(proxy: &Rc<Proxy>) -> Self {
        proxy.busy.set(proxy.busy.get() + 1);
        Busy(proxy.clone(), None)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        if let Some(id) = self.1.take() {
            self.0.driver.cancel(id);
        }
    }
}

impl Proxy {
    /// A proxy that knows nothing yet, and has no sockets of its own: connections and news are handed to it. Its charges
    /// come out at the other end.
    fn new(
        settings: Settings, seed: u64, speech: Rc<dyn BackendProtocol>,
        backends: impl FnOnce(usize) -> Backends,
    ) -> Result<(Rc<Self>, UnboundedReceiver<Charging>)> {
        let front = settings.client_addr.ok_or_else(|| eyre!("network.docks_at.front is missing"))?;
        let places = (settings.max_fds.saturating_sub(RESERVED) / 2).max(2) as usize;
        let budget = Rc::new(MemoryBudget::new(settings.memory_mb << 20));
        let figures = Rc::new(Figures::default());
        let reach = DriverResources {
            backends: backends(places),
            call_counter: None,
            send_message: None,
            budget: budget.clone(),
            protocol: speech,
            observer: figures.clone(),
        };
        let zones = Zones::new(&settings.zones);
        let (charges, charging) = unbounded_channel();
        let proxy = Rc::new(Proxy {
            driver: Driver::new(tuning(&settings, &zones, Vec::new(), 1, 0), seed, reach),
            zones,
            started: Instant::now(),
            front,
            figures,
            budget,
            places: Arc::new(Semaphore::new(places)),
            places_most: places,
            phase: watch::Sender::new(Phase::Serves),
            busy: Cell::new(0),
            copy: RefCell::new(StateReplica::new(&settings.bounds)),
            table: RefCell::default(),
            routes: RefCell::default(),
            pools: RefCell::default(),
            evacuated: Cell::new(0),
            full_rate: Cell::new(false),
            tally: RefCell::new(Tally::new(settings.bounds.quota_slack)),
            charges,
            counter: watch::Sender::new(None),
            told: Notify::new(),
            has_been: Cell::new(false),
            news: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            settings,
        });
        Ok((proxy, charging))
    }

    /// A proxy by itself, without an agent or a counter: it goes by `news`, and speaks with backends over connections that
    /// `dial` opens. Clients come by [`Proxy::connection`].
    pub fn apart(
        settings: Settings, seed: u64, speech: Rc<dyn BackendProtocol>, dial: Dial, news: ToProxy,
    ) -> Result<Rc<Self>> {
        let (proxy, _) = Self::new(settings, seed, speech, |places| {
            Backends::with_dial(dial, places, CONNECT_MS, IDLE_MS)
        })?;
        *proxy.copy.borrow_mut() = StateReplica::standalone(&proxy.settings.bounds);
        proxy.heard(news);
        Ok(proxy)
    }

    /// It is told to end: from the first word on clients are asked to go, from the second on idle ones are closed.
    pub fn ends(&self) {
        let closes = *self.phase.borrow() != Phase::Serves;
        self.phase.send_replace(if closes { Phase::Closes } else { Phase::Drains });
    }

    /// Runs a proxy until it is told to end.
    pub async fn run(settings: Settings, mut watch: Watch) -> Result<()> {
        let mut term = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        let backends = |places| Backends::new(places, CONNECT_MS, IDLE_MS);
        let (proxy, charging) = Self::new(settings, fastrand::u64(..), Rc::new(Wire), backends)?;
        let front = proxy.front;
        let listener = TcpListener::bind(front).await.wrap_err("front address")?;
        tokio::task::spawn_local(proxy.clone().be_fed());
        tokio::task::spawn_local(proxy.clone().charge(charging));
        tokio::task::spawn_local(proxy.clone().mind_full_rate());
        if let Some(ready) = proxy.settings.ready_addr {
            let listener = TcpListener::bind(ready).await.wrap_err("ready address")?;
            tokio::task::spawn_local(proxy.clone().tell_ready(listener));
        }
        // What a proxy goes by in them does not change while it runs; the agent learns the seeds.
        tokio::task::spawn_local(async move {
            loop {
                drop(watch.changed().await);
                log::info!("proxy: the settings were read again");
            }
        });
        let sweeping = proxy.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                sweeping.driver.close_expired();
            }
        });
        let accepting = tokio::task::spawn_local(proxy.clone().accept(listener));
        log::info!("proxy: clients arrive at {front}");
        term.recv().await;
        log::info!("proxy: told to end");
        let (now, grace) = (Instant::now(), proxy.settings.bounds.grace);
        proxy.phase.send_replace(Phase::Drains);
        proxy.told.notify_waiters();
        sleep_until(now + grace.mul_f64(ACCEPT_ON)).await;
        accepting.abort();
        proxy.phase.send_replace(Phase::Closes);
        if !proxy.ended(now + grace.mul_f64(ANSWERED)).await {
            log::warn!("proxy: answers {} requests that are in hand at its end", proxy.busy.get());
            proxy.answers_all();
            if !proxy.ended(now + grace.mul_f64(agent::STOP_GRACE_FRACTION)).await {
                log::warn!("proxy: ends with {} connections open", proxy.open_connections());
                invariants::check(Invariant::RequestsAreAnswered, proxy.busy.get() == 0, || {
                    format!("{} requests are in hand at the end", proxy.busy.get())
                });
            }
        }
        // The last answers are on their way out.
        sleep(LAST_BYTES).await;
        Ok(())
    }

    /// Waits until all connections have ended, and so all answers are written to their last byte. False if time is up. A
    /// request in hand is not enough to wait for: a large answer passes on when its request is decided.
    async fn ended(&self, by: Instant) -> bool {
        let all = u32::try_from(self.places_most).unwrap_or(u32::MAX);
        timeout_at(by, self.places.acquire_many(all)).await.is_ok()
    }

    fn open_connections(&self) -> usize {
        self.places_most - self.places.available_permits()
    }

    /// Whatever is in hand gets its final answer: no request that was read ends without a word.
    fn answers_all(&self) {
        self.phase.send_replace(Phase::Answers);
        self.driver.fail_all();
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    // ---- What the agent tells -----------------------------------------------------------------------------------

    async fn be_fed(self: Rc<Self>) {
        loop {
            if let Ok(stream) = link::connect(proxy_listen_address(&self.settings)).await {
                // However it ends: the agent is asked again, and until then what it told holds.
                let _ = self.fed(stream).await;
            }
            sleep(AGAIN).await;
        }
    }

    async fn fed(self: &Rc<Self>, stream: TcpStream) -> std::io::Result<()> {
        let (read, write) = stream.into_split();
        let (out, from) = MessageSender::new();
        let writing = tokio::task::spawn_local(link::write(write, from));
        let mut incoming = MessageReader::<ToProxy>::new(read);
        let ended = loop {
            let ready = self.ready();
            out.send(&self.copy.borrow_mut().message(self.now(), self.front.to_string(), ready));
            let next = tokio::select! {
                next = incoming.next() => next,
                () = self.told.notified() => continue,
            };
            match next {
                Ok(news) => self.heard(news),
                Err(e) => break Err(e),
            }
        };
        writing.abort();
        ended
    }

    /// Goes by what its agent tells.
    pub fn heard(self: &Rc<Self>, news: ToProxy) {
        let (now, counter) = (self.now(), news.counter.parse().ok());
        let Effects { touched, repaired: mended, leader_heard_at: word } =
            self.copy.borrow_mut().apply(now, news);
        if mended {
            self.figures.copy_mended();
        }
        if touched.contains(&Touched::Config) {
            self.configure();
        }
        if touched.contains(&Touched::Gateways) || touched.contains(&Touched::Config) {
            self.tune();
        }
        let full_rate = self.copy.borrow().has_full_rate(now);
        if touched.iter().any(|of| *of != Touched::Nothing) || full_rate != self.full_rate.get() {
            self.list();
        }
        self.counter.send_if_modified(|at| std::mem::replace(at, counter) != counter);
        if let Some(word) = word {
            self.tally.borrow_mut().leader_contacted(word);
        }
        if !self.has_been.get() && self.table.borrow().is_some() && self.in_touch() {
            self.has_been.set(true);
            self.news.notify_waiters();
        }
    }

    /// Lists backends anew as soon as the last word of a settled leader is too old.
    async fn mind_full_rate(self: Rc<Self>) {
        loop {
            let left = self.copy.borrow().full_rate_until() - self.now();
            sleep(if left > 0.0 { Duration::from_secs_f64(left / 1000.0) } else { NO_FULL_RATE }).await;
            if self.full_rate.get() && !self.copy.borrow().has_full_rate(self.now()) {
                log::info!("proxy: no settled leader is heard: any backend may be cold");
                self.list();
            }
        }
    }

    /// Goes by another configuration from now on.
    fn configure(&self) {
        let copy = self.copy.borrow();
        let Some(config) = copy.state().and_then(|state| state.config.as_ref()) else { return };
        let former = self.table.borrow().as_ref().map(|table| table.classes.clone()).unwrap_or_default();
        let (mut routes, mut pools) = (self.routes.borrow_mut(), self.pools.borrow_mut());
        match RouteTable::new(&config.text, &self.zones, &mut routes, &mut pools, &former) {
            Ok(table) => {
                self.tally.borrow_mut().set_limits(self.now(), &table.limits);
                *self.table.borrow_mut() = Some(Rc::new(table));
            }
            Err(e) => log::error!("proxy: r{} can't be gone by: {}", config.edition, e.0),
        }
    }

    fn tune(&self) {
        let Some((gateways, position)) = self.copy.borrow().state().map(|state| {
            let position = state.gateways.keys().position(|node| *node == self.settings.node);
            (state.gateways.len().max(1), position.unwrap_or(0))
        }) else {
            return;
        };
        self.tally.borrow_mut().set_gateways(gateways);
        let classes = self.table.borrow().as_ref().map(|table| table.classes.clone()).unwrap_or_default();
        let tuning = tuning(&self.settings, &self.zones, classes, gateways as u32, position as u32);
        self.driver.apply_settings(tuning, CONNECT_MS, IDLE_MS);
    }

    fn list(&self) {
        let copy = self.copy.borrow();
        let Some(state) = copy.state() else { return };
        let table = self.table.borrow();
        let mut pools = self.pools.borrow_mut();
        let bits = state.evacuated.iter().fold(0, |bits, zone| bits | 1 << self.zones.number(zone).min(63));
        self.evacuated.set(bits);
        let (mine, theirs) = (self.now(), self.driver.now());
        let region = |zone: &str| self.zones.region(zone);
        let full_rate = copy.has_full_rate(mine);
        self.full_rate.set(full_rate);
        // Most lists name no backend that is limited.
        let shares = LazyCell::new(|| {
            let names = state.gateways.keys().map(String::as_str);
            Shares::new(&self.settings.bounds, &self.settings.node, names)
        });
        let told = state.backends.values().filter_map(|known| {
            let b = &known.backend;
            let (pool, zone) = (pools.id(&b.service), self.zones.number(&b.zone));
            let per_s = table.as_ref().and_then(|table| table.cold_per_s.get(&pool)).copied().unwrap_or(0.0);
            let cold_ms = table.as_ref().and_then(|table| table.cold_ms.get(&pool)).copied().unwrap_or(0.0);
            // Backends of a zone that was taken back may have turned cold meanwhile.
            let taken_back = state.evacuation_ends.get(&b.zone).map_or(0.0, |at| at + cold_ms);
            let cold_until = known.cold_until.max(taken_back);
            let cold_until = if cold_until > mine { theirs + cold_until - mine } else { 0.0 };
            let cold = per_s > 0.0 && cold_until > theirs;
            let share = (per_s > 0.0 && (cold || !full_rate)).then(|| shares.share(&b.id, per_s));
            let far = match (b.zone == self.settings.zone, region(&b.zone) == Some(&self.settings.region)) {
                (true, _) => 0.0,
                (_, true) => FAR.1,
                _ => FAR.0,
            };
            let listed = BackendEntry {
                id: 0,
                zone,
                kind: 0,
                cell: 0,
                state: if b.draining { Stands::Draining } else { Stands::Ready },
                size: f64::from(b.max_concurrency.max(1)),
                started: 0.0,
                pool,
                distance_cost: far,
                cold_until: if per_s > 0.0 { cold_until } else { 0.0 },
                cold_per_s: share.map_or(0.0, |share| per_s / share.senders),
                limited_until: match share {
                    None => 0.0,
                    Some(_) if full_rate => cold_until,
                    Some(_) => f64::INFINITY,
                },
                limit: share.map_or(0, |share| share.limit),
            };
            Some(Listing { name: b.id.clone(), addr: Some(b.address.parse().ok()?), entry: listed })
        });
        self.driver.update_backends(true, told.collect());
        self.driver.discovery_synced();
    }

    /// Whether it may still go by the keys that it has.
    fn in_touch(&self) -> bool {
        self.copy.borrow().lease_is_valid(self.now())
    }

    /// Whether clients are to come.
    fn ready(&self) -> bool {
        let serves = *self.phase.borrow() == Phase::Serves;
        serves && self.table.borrow().is_some() && self.driver.ready() && self.in_touch()
    }

    /// The figures for operators.
    fn open_metrics(&self) -> Reply {
        let present = Present {
            open: self.busy.get(),
            backend_connections: self.driver.backends().open_connections(),
            backends: self.driver.backend_counts(),
            change: self.copy.borrow().applied_index(),
            word_age: self
                .copy
                .borrow()
                .leader_contact_age(self.now())
                .map(|ms| Duration::from_secs_f64(ms.max(0.0) / 1000.0)),
            ready: self.ready(),
        };
        let mut reply = Response::new(ResponseBody::buffered(self.figures.open_metrics(&present)));
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        reply
    }

    async fn tell_ready(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let proxy = self.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request: Request<Body>| {
                    let reply = match request.uri().path() {
                        "/metrics" => proxy.open_metrics(),
                        _ if proxy.ready() => plain(StatusCode::OK, ""),
                        _ => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
                    };
                    async move { Ok::<_, Infallible>(reply) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(WHOLE)
                    .serve_connection(TokioIo::new(stream), service);
                // Who asks and breaks off asks again.
                let _ = connection.await;
            });
        }
    }

    // ---- Charges ----------------------------------------------------------------------------------------------------

    async fn charge(self: Rc<Self>, mut charging: UnboundedReceiver<Charging>) {
        let mut counter = self.counter.subscribe();
        loop {
            let at = *counter.borrow_and_update();
            let stream = match at {
                Some(at) => link::connect(self.settings.dial_addr(at)).await.ok(),
                None => None,
            };
            match stream {
                Some(stream) => self.charge_on(stream, &mut charging, &mut counter).await,
                None => {
                    // Nobody counts: what waits surely did not count.
                    while let Ok(lost) = charging.try_recv() {
                        drop(lost.answer);
                    }
                    let _ = timeout(AGAIN, counter.changed()).await;
                }
            }
        }
    }

    async fn charge_on(
        &self, stream: TcpStream, charging: &mut UnboundedReceiver<Charging>,
        counter: &mut watch::Receiver<Option<SocketAddr>>,
    ) {
        let (read, write) = stream.into_split();
        let (out, from) = MessageSender::new();
        let writing = tokio::task::spawn_local(link::write(write, from));
        out.send(&Hello { purpose: Purpose::Counter as i32 });
        self.tally.borrow_mut().counter_connected();
        let mut incoming = MessageReader::<Totals>::new(read);
        let mut waiting: PendingCharges<Vec<oneshot::Sender<Option<ChargeTotal>>>> =
            PendingCharges::default();
        loop {
            tokio::select! {
                _ = counter.changed() => break,
                totals = incoming.next() => {
                    let Ok(Totals { sequence: number, authoritative: sure, totals }) = totals else { break };
                    let Some(answers) = waiting.complete(number) else { continue };
                    for (at, answer) in answers.into_iter().enumerate() {
                        let total = totals.get(at).filter(|_| sure);
                        let counted = total.map(|total| ChargeTotal {
                            units: total.units,
                            limit: total.limit,
                            left_ms: f64::from(total.remaining_ms),
                            window: total.window,
                        });
                        // It may have waited long enough.
                        let _ = answer.send(counted);
                    }
                }
                first = charging.recv() => {
                    let Some(first) = first else { return };
                    let (mut charges, mut answers) = (Vec::new(), Vec::new());
                    let mut next = Some(first);
                    while let Some(Charging { tenant, charge: tally::Charge { units, refund: back, window }, answer }) = next {
                        charges.push(Charge { tenant, units, refund: back, window });
                        answers.push(answer);
                        next = charging.try_recv().ok();
                    }
                    let Some(number) = waiting.register(answers) else { break };
                    if !out.send(&Charges { sequence: number, charges }) {
                        break;
                    }
                }
            }
        }
        writing.abort();
    }

    /// The ordinary path's first step: a request's unit is added to its tenant's count.
    async fn admit(self: &Rc<Self>, tenant: &Rc<Tenant>, target: Duration) -> Verdict {
        let asked = self.tally.borrow_mut().admit(self.now(), &tenant.name);
        match asked {
            Verdict::Charge(charge) => self.charged(tenant, charge, target, true).await,
            Verdict::PassAndCharge(charge) => {
                let (proxy, tenant) = (self.clone(), tenant.clone());
                tokio::task::spawn_local(async move { proxy.charged(&tenant, charge, target, false).await });
                Verdict::Pass
            }
            verdict => verdict,
        }
    }

    async fn charged(
        &self, tenant: &Tenant, charge: tally::Charge, target: Duration, waits: bool,
    ) -> Verdict {
        let began = self.now();
        let (answer, total) = oneshot::channel();
        let sent = self.charges.send(Charging { tenant: tenant.name.clone(), charge, answer });
        let total = match sent {
            Ok(()) => timeout(target.mul_f64(COUNT_OF_AIM), total).await,
            Err(_) => Ok(Ok(None)),
        };
        let mut tally = self.tally.borrow_mut();
        let now = self.now();
        match total {
            Ok(Ok(Some(counted))) => {
                tally.total_received(now, &tenant.name, charge, now - began, counted, waits)
            }
            // Not counted, by nobody who vouches for it, or not in time.
            Ok(_) | Err(_) => tally.charge_unanswered(now, &tenant.name, waits),
        }
    }

    // ---- Clients ------------------------------------------------------------------------------------------------------

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok(place) = self.places.clone().acquire_owned().await else { return };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let proxy = self.clone();
            tokio::task::spawn_local(async move {
                let _ = stream.set_nodelay(true);
                proxy.connection(stream).await;
                drop(place);
            });
        }
    }

    /// Serves a client's connection to its end.
    pub async fn connection(self: Rc<Self>, stream: impl Stream) {
        let idle = self.table.borrow().as_ref().map_or(WHOLE, |table| table.idle_timeout);
        let ahead = Ahead::new();
        let front = Front::new(stream, ahead.clone(), |parts: &Parts| self.begin(parts));
        let asked = Cell::new(false);
        let service = service_fn(|request| {
            asked.set(true);
            let (proxy, ahead) = (self.clone(), ahead.clone());
            async move { Ok::<_, Infallible>(proxy.reply(request, &ahead).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(READ)
            .serve_connection(TokioIo::new(front), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.subscribe();
        let closes = async {
            // The sender lives as long as the proxy.
            let _ = phase.wait_for(|phase| matches!(phase, Phase::Closes | Phase::Answers)).await;
            ahead.emptied().await;
        };
        tokio::select! {
            _ = connection.as_mut() => return,
            // The library would wait for a first request.
            () = closes => if !asked.get() { return },
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    /// Begins a request that came behind another one, if it may run more than once and its client is to stay.
    fn begin(self: &Rc<Self>, parts: &Parts) -> Option<Begun<Reply>> {
        let table = self.table.borrow().clone()?;
        let host = text(&parts.headers, &HOST).unwrap_or("");
        let route = table.route(host, parts.uri.path()).filter(|route| !route.at_most_once)?;
        if *self.phase.borrow() != Phase::Serves {
            return None;
        }
        let name = shown(parts.headers.get("request-id"));
        log::trace!("proxy: request {name} of class {} begins behind another one", route.class);
        self.figures.begun_ahead();
        let (proxy, parts, busy) = (self.clone(), parts.clone(), Busy::new(self));
        Some(Begun::new(tokio::task::spawn_local(async move { proxy.answer(parts, None, busy).await })))
    }

    async fn reply(self: &Rc<Self>, request: Request<Body>, ahead: &Ahead<Reply>) -> Reply {
        let began = Instant::now();
        let (parts, body) = request.into_parts();
        let busy = Busy::new(self);
        let begun = ahead.take(&parts);
        let early = begun.is_some();
        let name = parts.headers.get("request-id").cloned();
        log::trace!("proxy: request {} has its turn", shown(name.as_ref()));
        let mut reply = match begun {
            Some(begun) => {
                let failed = || plain(StatusCode::BAD_GATEWAY, "failed; it may have run\n");
                begun.answer().await.unwrap_or_else(failed)
            }
            None => self.answer(parts, Some(body), busy).await,
        };
        // What was begun behind it is answered on this connection.
        if *self.phase.borrow() != Phase::Serves && !ahead.begun() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        ahead.answered();
        log::trace!(
            "proxy: request {} is answered with {} after {} ms{}",
            shown(name.as_ref()),
            reply.status().as_u16(),
            began.elapsed().as_millis(),
            if early { " of its turn" } else { "" }
        );
        self.figures.answered(reply.status().as_u16(), began.elapsed());
        reply
    }

    async fn answer(self: &Rc<Self>, parts: Parts, body: Option<Body>, busy: Busy) -> Reply {
        let mut phase = self.phase.subscribe();
        let ends = phase.wait_for(|phase| *phase == Phase::Answers);
        let admitted = tokio::select! {
            biased;
            // The sender lives as long as the proxy.
            _ = ends => Err(refused(StatusCode::SERVICE_UNAVAILABLE, AFTER_MS)),
            admitted = self.admitted(&parts, body) => admitted,
        };
        match admitted {
            Ok(admitted) => self.passed_on(&parts, admitted, busy).await,
            Err(reply) => reply,
        }
    }

    /// Finds a request's route and tenant, reads its body, and charges its tenant; its answer where it goes no further.
    async fn admitted(self: &Rc<Self>, parts: &Parts, body: Option<Body>) -> Result<Admitted, Reply> {
        let Some(table) = self.started(&parts.headers).await else {
            return Err(refused(StatusCode::SERVICE_UNAVAILABLE, AFTER_MS));
        };
        if ONCE.iter().any(|name| parts.headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(plain(StatusCode::BAD_REQUEST, "a header stands twice that may stand once\n"));
        }
        let host = text(&parts.headers, &HOST).unwrap_or("");
        let Some(route) = table.route(host, parts.uri.path()) else {
            return Err(plain(StatusCode::NOT_FOUND, "no such route\n"));
        };
        let key = text(&parts.headers, &AUTHORIZATION).and_then(|value| value.strip_prefix("Bearer "));
        let tenant = match table.check_key(&route, key) {
            KeyCheck::NotRequired => None,
            KeyCheck::Tenant(tenant) => Some(tenant),
            KeyCheck::Unknown => return Err(plain(StatusCode::UNAUTHORIZED, "no such key\n")),
        };
        if tenant.is_some() && !self.in_touch() {
            // The key may have been taken away meanwhile.
            return Err(refused(StatusCode::SERVICE_UNAVAILABLE, AFTER_MOST_MS));
        }
        let waits = waits(&parts.headers).min(route.timeout);
        let (body, more) = match body {
            Some(body) => self.body(body, table.body_bytes).await?,
            None => (BytesMut::new(), None),
        };
        let deadline = ClientDeadline::from_timeout(waits).deadline(Instant::now());
        if let Some(tenant) = &tenant {
            let verdict = self.admit(tenant, route.target).await;
            self.figures.charged(&verdict);
            if let Verdict::Refuse(after) = verdict {
                return Err(refused(StatusCode::TOO_MANY_REQUESTS, after));
            }
        }
        Ok(Admitted { route, tenant, deadline, body, more })
    }

    /// Has the decision module send a request, and gives its final answer.
    async fn passed_on(self: &Rc<Self>, parts: &Parts, admitted: Admitted, mut busy: Busy) -> Reply {
        let Admitted { route, tenant, deadline, body, more } = admitted;
        let places = route.zone_mask
            & tenant.as_ref().map_or(u64::MAX, |tenant| tenant.zone_mask)
            & !self.evacuated.get();
        let asked = RequestInfo {
            customer: 0,
            plan: 0,
            class: route.class,
            units: 1.0,
            customer_gateways: 1.0,
            is_retry: false,
            pool: self.pool(&route),
            zone_mask: places,
            max_attempts: route.attempts,
            deadline,
            client_deadline: None,
        };
        let tenant_name = tenant.as_ref().map(|tenant| tenant.name.as_str());
        let work = work(
            &parts.method,
            parts.uri.path_and_query().map_or("/", |p| p.as_str()),
            &parts.headers,
            tenant_name,
            &body,
            more,
        );
        let (id, answer) = self.driver.request(&asked, work);
        busy.1 = Some(id);
        let (answer, course) = self.driver.await_response(id, answer).await;
        busy.1 = None;
        if let (Some(tenant), false) =
            (&tenant, course.may_have_run || matches!(answer, FinalResponse::Served { .. }))
        {
            // The true units: what never ran cost nothing.
            self.tally.borrow_mut().refund(&tenant.name);
        }
        match (client_response(route.at_most_once, &answer, &course), answer) {
            (ClientResponse::Served, FinalResponse::Served { head, body: content }) => {
                served(&head, content, parts.method == Method::HEAD)
            }
            (ClientResponse::NotRun(after), answer) => {
                if let FinalResponse::Refused { reason, .. } = answer {
                    log::debug!(
                        "proxy: class {} pool {} of places {places:x}: {reason:?} after {} attempts",
                        route.class,
                        asked.pool,
                        course.attempts
                    );
                }
                refused(StatusCode::SERVICE_UNAVAILABLE, after.unwrap_or(AFTER_MS))
            }
            (ClientResponse::TooLarge, _) => short_of(BodyError::TooLarge),
            (ClientResponse::Broken, _) => short_of(BodyError::Broken),
            (ClientResponse::Slow, _) => short_of(BodyError::Slow),
            (ClientResponse::MayHaveRun | ClientResponse::Served, _) => {
                plain(StatusCode::BAD_GATEWAY, "failed; it may have run\n")
            }
        }
    }

    /// The table, once this process knows the state of the system: requests that come while it starts wait for a part
    /// of their time.
    async fn started(&self, headers: &HeaderMap) -> Option<Rc<RouteTable>> {
        let by = Instant::now() + waits(headers).mul_f64(START_OF_WAIT);
        loop {
            let table = self.table.borrow().clone();
            if table.is_some() && self.in_touch() {
                return table;
            }
            if self.has_been.get() {
                // It is cut off: another gateway may not be.
                return table;
            }
            timeout_at(by, self.news.notified()).await.ok()?;
        }
    }

    /// Reads a body: whole if it is small.
    async fn body(
        &self, body: Body, most: u64,
    ) -> Result<(BytesMut, Option<(Rc<UnreadBody>, Option<u64>)>), Reply> {
        let mut upload = Upload::new(body, Instant::now() + WHOLE, None);
        let size = upload.size();
        let mut held = BytesMut::new();
        if size == Some(0) {
            return Ok((held, None));
        }
        if size.is_some_and(|size| size > most) {
            return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"));
        }
        let room = timeout_at(Instant::now() + ROOM, self.budget.reserve_request(size)).await;
        let Ok(_room) = room else { return Err(refused(StatusCode::SERVICE_UNAVAILABLE, AFTER_MOST_MS)) };
        loop {
            match upload.next_bytes().await {
                Ok(None) => return Ok((held, None)),
                Ok(Some(piece)) => held.extend_from_slice(&piece),
                Err(short) => return Err(short_of(short)),
            }
            if held.len() > MAX_BUFFERED_BYTES {
                return Ok((held, Some((Rc::new(UnreadBody::new(upload)), size))));
            }
        }
    }

    /// The service of a request: by weight where there are several.
    fn pool(&self, route: &Route) -> u32 {
        let sum: f64 = route.pools.iter().map(|(_, weight)| weight).sum();
        let mut at = self.rng.borrow_mut().f64() * sum;
        for (pool, weight) in &route.pools {
            if at < *weight {
                return *pool;
            }
            at -= weight;
        }
        route.pools.iter().rev().find(|(_, weight)| *weight > 0.0).map_or(0, |(pool, _)| *pool)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A request's name in the log.
fn shown(name: Option<&HeaderValue>) -> &str {
    name.and_then(|name| name.to_str().ok()).unwrap_or("without a name")
}

/// How long a client says that it waits.
fn waits(headers: &HeaderMap) -> Duration {
    let waits = headers.get("deadline-ms").and_then(|value| value.to_str().ok()?.trim().parse().ok());
    waits.map_or(WAITS, Duration::from_millis)
}

fn short_of(short: BodyError) -> Reply {
    match short {
        BodyError::TooLarge => plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
        BodyError::Broken => plain(StatusCode::BAD_REQUEST, "the body is not whole\n"),
        // Nothing of it was sent on that could run.
        BodyError::Slow => plain(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"),
    }
}

/// What the decision module goes by.
fn tuning(
    settings: &Settings, zones: &Zones, classes: Vec<cherrytally::Class>, gateways: u32, position: u32,
) -> Tuning {
    let bounds = &settings.bounds;
    Tuning {
        gateways,
        position,
        zone: zones.number(&settings.zone),
        tick_ms: 0.0,
        classes,
        plans: vec![Plan { worth_factor: 1.0, ..Plan::default() }],
        counter: None,
        max_units: 1.0,
        units_are_estimates: false,
        limits: Limits {
            max_attempts: 4,
            hedging: false,
            cancel: true,
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after_ms: AFTER_MOST_MS,
        },
        rules: Rules {
            cold_capacity: 0.5,
            early_refusal_share: EARLY_OF_AIM,
            overload_multiple: 2.0,
            overload_ms: 1000.0,
            retry_budget: Some(RetryBudget {
                ratio: bounds.retry_ratio * OF_BUDGET,
                burst: bounds.retry_slack * OF_BUDGET / f64::from(gateways.max(1)),
            }),
            ..Rules::default()
        },
        ..Tuning::default()
    }
}

/// Headers that may stand once: with two of them it is not known which one a backend goes by.
const ONCE: [&str; 2] = ["host", "request-id"];

/// Headers that concern one connection, and those that the system sets itself.
const OWN: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "authorization",
    "deadline-ms",
    "expect-instance",
    "tenant",
];

/// Names that the values of `Connection` headers make a connection's own.
fn listed<'a>(values: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let texts = values.map(|value| String::from_utf8_lossy(value).to_ascii_lowercase());
    texts.flat_map(|text| text.split(',').map(|name| name.trim().to_owned()).collect::<Vec<_>>()).collect()
}

/// The request as a backend gets it.
fn work(
    method: &Method, target: &str, headers: &HeaderMap, tenant: Option<&str>, body: &[u8],
    more: Option<(Rc<UnreadBody>, Option<u64>)>,
) -> BackendRequest {
    let mut head = Vec::with_capacity(512);
    let mut line = |parts: &[&[u8]]| parts.iter().for_each(|part| head.extend_from_slice(part));
    line(&[method.as_str().as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
    let own = listed(headers.get_all(CONNECTION).iter().map(HeaderValue::as_bytes));
    for (name, value) in headers {
        let name = name.as_str();
        // A client can't have those taken away that say where a request belongs.
        if !OWN.contains(&name) && (ONCE.contains(&name) || !own.iter().any(|of| of == name)) {
            line(&[name.as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
        }
    }
    if let Some(tenant) = tenant {
        line(&[b"Tenant: ", tenant.as_bytes(), b"\r\n"]);
    }
    let size = match &more {
        Some((_, size)) => *size,
        None => Some(body.len() as u64),
    };
    let named = headers.contains_key(CONTENT_LENGTH) || headers.contains_key("transfer-encoding");
    let chunked = size.is_none();
    if chunked {
        line(&[b"Transfer-Encoding: chunked\r\n"]);
    } else if named || size != Some(0) {
        line(&[b"Content-Length: ", size.unwrap_or(0).to_string().as_bytes(), b"\r\n"]);
    }
    let rest = if chunked {
        [b"\r\n", format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
    } else {
        [b"\r\n", body].concat()
    };
    let name = headers.get("request-id").map(|id| id.as_bytes().to_vec()).unwrap_or_default();
    BackendRequest {
        head,
        rest,
        correlation_id: name,
        streamed_body: more.map(|(more, _)| (more, chunked)),
        _reservation: None,
    }
}

/// A backend's answer as the client gets it.
fn served(head: &Head, content: ResponseBody, head_only: bool) -> Reply {
    let mut reply = Response::new(content);
    *reply.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut own = Vec::new();
    head.for_each_header(|name, value| {
        if name.eq_ignore_ascii_case("connection") {
            own.extend(listed(std::iter::once(value)));
        }
    });
    let headers = reply.headers_mut();
    head.for_each_header(|name, value| {
        // The answer to a HEAD has the length of the body that it stands for.
        let kept = (head_only && name.eq_ignore_ascii_case("content-length")
            || !OWN.iter().any(|of| name.eq_ignore_ascii_case(of)))
            && !own.iter().any(|of| name.eq_ignore_ascii_case(of));
        let pair = HeaderName::try_from(name).ok().zip(HeaderValue::from_bytes(value).ok()).filter(|_| kept);
        if let Some((name, value)) = pair {
            headers.append(name, value);
        }
    });
    reply
}
