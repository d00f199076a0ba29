//! HTTP proxy: accepts client requests, charges them to tenants and forwards them to backends.

use crate::agent::{self, proxy_listen_address};
use crate::backend_protocol::HttpBackendProtocol;
use crate::client_response::{client_response, ClientResponse};
use crate::invariants::{self, Invariant};
use crate::link::{self, MessageReader, MessageSender};
use crate::metrics::{Gauges, Metrics};
use crate::pending_charges::PendingMessages;
use crate::pipeline::{PendingResponse, Pipeline, PipelinedStream};
use crate::protocol::{Charge, Charges, Hello, Purpose, ToProxy, Totals};
use crate::quota::{self, ChargeTotal, QuotaClient, Verdict};
use crate::rate_shares::Shares;
use crate::replica::{Effects, StateReplica};
use crate::routes::{KeyCheck, NameIds, Route, RouteTable, Tenant, Zones};
use crate::settings::{Settings, Watch};
use crate::state::Touched;
use bytes::BytesMut;
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
use oakfall::plane::backends::{Backends, Dial, Stream};
use oakfall::plane::body::{BodyError, MemoryBudget, ResponseBody, UnreadBody, Upload, MAX_BUFFERED_BYTES};
use oakfall::plane::client_stream::ClientStream;
use oakfall::plane::deadline::{ClientDeadline, Deadline};
use oakfall::plane::driver::{
    BackendProtocol, BackendRequest, DiscoveredBackend as DriverBackend, Driver, DriverResources,
    FinalResponse, RequestInfo,
};
use oakfall::plane::http::Head;
use oakfall::{
    BackendEntry, BackendState, Limits, Millis, Plan, RetryBudget, Rules, Settings as DriverSettings,
};
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

/// File descriptors reserved for uses other than client and backend connections.
const RESERVED_FDS: u64 = 264;
/// Connect timeout to a backend, in ms; several round trips to the farthest region.
const CONNECT_MS: f64 = 500.0;
/// Idle time after which backends close a connection, in ms; the pool reuses it for half of that.
const IDLE_MS: f64 = 8_000.0;
/// Maximum wait for the quota counter, as a share of the route's target latency.
const COUNTER_TIMEOUT_OF_TARGET: f64 = 0.35;
/// Time limit for a body to be complete or at the minimum pace; also the default idle timeout.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum wait of a body for memory budget.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(1);
/// Read buffer of a client connection, which also limits the size of a request head.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Timeout of a request without a `deadline-ms` header.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum `retry-after` of refused requests, in ms.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
/// Maximum `retry-after` of refused requests, in ms.
const MAX_RETRY_AFTER_MS: f64 = 2000.0;
/// Distance cost of a backend in another region, in multiples of a typical request time.
const OTHER_REGION_COST: f64 = 6.0;
/// Distance cost of a backend in another zone of the region, in the same unit.
const OTHER_ZONE_COST: f64 = 0.15;
/// Fraction of the retry budget of all gateways that is used; the rest covers gateways that are unknown here.
const RETRY_BUDGET_SHARE: f64 = 0.8;
/// Share of the grace period in which clients are still accepted, as their discovery data may be stale.
const ACCEPT_OF_GRACE: f64 = 0.45;
/// Share of the grace period after which requests in flight get their final response.
const RESPOND_OF_GRACE: f64 = 0.92;
/// Wait before exit for the kernel to send the last bytes.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// A request is refused early if its expected time exceeds this multiple of the target: a slightly late
/// response is still useful, and remote zones take longer even without a queue.
const EARLY_REFUSAL_OF_TARGET: f64 = 1.2;
/// Maximum wait of a request for the initial state during startup, as a share of the client's timeout.
const STARTUP_WAIT_OF_TIMEOUT: f64 = 0.4;
/// Interval of checks for leader contact while the full rate is not allowed; shorter than `FULL_RATE_MS`.
const FULL_RATE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before reconnecting to another process.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// A charge to send to the quota counter.
struct ChargeRequest {
    tenant: String,
    charge: quota::Charge,
    response: oneshot::Sender<Option<ChargeTotal>>,
}

/// Shutdown phase.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Accepts clients.
    Serving,
    /// Accepts clients, but responses carry `connection: close`.
    Draining,
    /// Accepts no clients and closes idle connections.
    ClosingIdle,
    /// Requests in flight get their final response now.
    Aborting,
}

/// A request that passed routing, authentication and quota.
struct Admitted {
    route: Rc<Route>,
    tenant: Option<Rc<Tenant>>,
    deadline: Deadline,
    /// The buffered part of the body, and the unread rest with the length of the whole body where known.
    body: BytesMut,
    more: Option<(Rc<UnreadBody>, Option<u64>)>,
}

/// State of the proxy, shared by its tasks on one thread.
pub struct Proxy {
    settings: Settings,
    zones: Zones,
    started: Instant,
    client_addr: SocketAddr,
    metrics: Rc<Metrics>,
    driver: Rc<Driver>,
    budget: Rc<MemoryBudget>,
    /// One permit per client connection.
    connection_slots: Arc<Semaphore>,
    max_connections: usize,
    phase: watch::Sender<Phase>,
    in_flight: Cell<usize>,
    replica: RefCell<StateReplica>,
    table: RefCell<Option<Rc<RouteTable>>>,
    routes: RefCell<NameIds>,
    pools: RefCell<NameIds>,
    /// Evacuated zones, one bit each.
    evacuated: Cell<u64>,
    /// In the last backend update, backends not known to be cold were allowed their full rate.
    full_rate: Cell<bool>,
    quota_client: RefCell<QuotaClient>,
    charges: UnboundedSender<ChargeRequest>,
    counter_addr: watch::Sender<Option<SocketAddr>>,
    readiness_changed: Notify,
    /// The state was complete and the lease valid at least once.
    was_synced: Cell<bool>,
    synced: Notify,
    rng: RefCell<fastrand::Rng>,
}

type HttpResponse = Response<ResponseBody>;

fn text_response(status: StatusCode, text: &'static str) -> HttpResponse {
    let mut response = Response::new(ResponseBody::buffered(text));
    *response.status_mut() = status;
    response
}

/// Response for a request that has not run and never will, with `retry-after`.
fn not_run_response(status: StatusCode, after_ms: f64) -> HttpResponse {
    let mut response = text_response(status, "not run\n");
    let seconds = format!("{:.3}", after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) / 1000.0);
    response.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|value| (RETRY_AFTER, value)));
    response
}

/// Counts a request as in flight; on drop, cancels it in the driver if it has no response yet.
struct InFlight(Rc<Proxy>, Option<oakfall::RequestId>);

impl InFlight {
    fn new(proxy: &Rc<Proxy>) -> Self {
        proxy.in_flight.set(proxy.in_flight.get() + 1);
        InFlight(proxy.clone(), None)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        if let Some(id) = self.1.take() {
            self.0.driver.cancel(id);
        }
    }
}

impl Proxy {
    /// Creates a proxy without state or sockets, and the receiver of its charges.
    fn new(
        settings: Settings, seed: u64, protocol: Rc<dyn BackendProtocol>,
        backends: impl FnOnce(usize) -> Backends,
    ) -> Result<(Rc<Self>, UnboundedReceiver<ChargeRequest>)> {
        let client_addr = settings.client_addr.ok_or_else(|| eyre!("network.docks_at.front is missing"))?;
        let max_connections = (settings.max_fds.saturating_sub(RESERVED_FDS) / 2).max(2) as usize;
        let budget = Rc::new(MemoryBudget::new(settings.memory_mb << 20));
        let metrics = Rc::new(Metrics::default());
        let resources = DriverResources {
            backends: backends(max_connections),
            call_counter: None,
            send_message: None,
            budget: budget.clone(),
            protocol,
            observer: metrics.clone(),
        };
        let zones = Zones::new(&settings.zones);
        let (charges, charge_requests) = unbounded_channel();
        let proxy = Rc::new(Proxy {
            driver: Driver::new(driver_settings(&settings, &zones, Vec::new(), 1, 0), seed, resources),
            zones,
            started: Instant::now(),
            client_addr,
            metrics,
            budget,
            connection_slots: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            phase: watch::Sender::new(Phase::Serving),
            in_flight: Cell::new(0),
            replica: RefCell::new(StateReplica::new(&settings.bounds)),
            table: RefCell::default(),
            routes: RefCell::default(),
            pools: RefCell::default(),
            evacuated: Cell::new(0),
            full_rate: Cell::new(false),
            quota_client: RefCell::new(QuotaClient::new(settings.bounds.quota_slack)),
            charges,
            counter_addr: watch::Sender::new(None),
            readiness_changed: Notify::new(),
            was_synced: Cell::new(false),
            synced: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            settings,
        });
        Ok((proxy, charge_requests))
    }

    /// Creates a proxy without an agent or a counter, with its state from `update` and connections opened by
    /// `dial`. Clients are served by [`Proxy::serve_connection`].
    pub fn standalone(
        settings: Settings, seed: u64, protocol: Rc<dyn BackendProtocol>, dial: Dial, update: ToProxy,
    ) -> Result<Rc<Self>> {
        let (proxy, _) = Self::new(settings, seed, protocol, |max_connections| {
            Backends::with_dial(dial, max_connections, CONNECT_MS, IDLE_MS)
        })?;
        *proxy.replica.borrow_mut() = StateReplica::standalone(&proxy.settings.bounds);
        proxy.apply_update(update);
        Ok(proxy)
    }

    /// Advances the shutdown: the first call drains clients, the second closes idle connections.
    pub fn advance_shutdown(&self) {
        let draining = *self.phase.borrow() != Phase::Serving;
        self.phase.send_replace(if draining { Phase::ClosingIdle } else { Phase::Draining });
    }

    /// Runs a proxy until SIGTERM, then shuts it down within the grace period.
    pub async fn run(settings: Settings, mut watch: Watch) -> Result<()> {
        let mut term = signal(SignalKind::terminate()).wrap_err("cannot install the SIGTERM handler")?;
        let backends = |max_connections| Backends::new(max_connections, CONNECT_MS, IDLE_MS);
        let (proxy, charge_requests) =
            Self::new(settings, fastrand::u64(..), Rc::new(HttpBackendProtocol), backends)?;
        let client_addr = proxy.client_addr;
        let listener = TcpListener::bind(client_addr).await.wrap_err("cannot bind the client address")?;
        tokio::task::spawn_local(proxy.clone().run_agent_link());
        tokio::task::spawn_local(proxy.clone().run_charges(charge_requests));
        tokio::task::spawn_local(proxy.clone().watch_full_rate());
        if let Some(ready) = proxy.settings.ready_addr {
            let listener = TcpListener::bind(ready).await.wrap_err("cannot bind the readiness address")?;
            tokio::task::spawn_local(proxy.clone().serve_readiness(listener));
        }
        // Settings that the proxy uses do not change at run time; the agent applies new seeds.
        tokio::task::spawn_local(async move {
            loop {
                drop(watch.changed().await);
                log::info!("proxy: settings reloaded");
            }
        });
        let sweeper = proxy.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                sweeper.driver.close_expired();
            }
        });
        let accepting = tokio::task::spawn_local(proxy.clone().accept(listener));
        log::info!("proxy: accepting clients on {client_addr}");
        term.recv().await;
        log::info!("proxy: received SIGTERM; shutting down");
        let (now, grace) = (Instant::now(), proxy.settings.bounds.grace);
        proxy.phase.send_replace(Phase::Draining);
        proxy.readiness_changed.notify_waiters();
        sleep_until(now + grace.mul_f64(ACCEPT_OF_GRACE)).await;
        accepting.abort();
        proxy.phase.send_replace(Phase::ClosingIdle);
        if !proxy.wait_for_connections(now + grace.mul_f64(RESPOND_OF_GRACE)).await {
            log::warn!(
                "proxy: grace period is nearly over: aborting {} requests in flight",
                proxy.in_flight.get()
            );
            proxy.abort_all();
            if !proxy.wait_for_connections(now + grace.mul_f64(agent::STOP_GRACE_FRACTION)).await {
                log::warn!("proxy: exiting with {} connections open", proxy.open_connections());
                invariants::check(Invariant::RequestsAreAnswered, proxy.in_flight.get() == 0, || {
                    format!("{} requests in flight at exit", proxy.in_flight.get())
                });
            }
        }
        // Lets the kernel send the last responses.
        sleep(FLUSH_TIME).await;
        Ok(())
    }

    /// Waits until all client connections are closed; false on timeout. Waiting for requests in flight is not
    /// enough: a large response is still being written after its request has ended.
    async fn wait_for_connections(&self, deadline: Instant) -> bool {
        let all = u32::try_from(self.max_connections).unwrap_or(u32::MAX);
        timeout_at(deadline, self.connection_slots.acquire_many(all)).await.is_ok()
    }

    fn open_connections(&self) -> usize {
        self.max_connections - self.connection_slots.available_permits()
    }

    /// Gives all requests in flight their final response.
    fn abort_all(&self) {
        self.phase.send_replace(Phase::Aborting);
        self.driver.fail_all();
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    // ---- State updates from the agent ---------------------------------------------------------------------

    async fn run_agent_link(self: Rc<Self>) {
        loop {
            if let Ok(stream) = link::connect(proxy_listen_address(&self.settings)).await {
                // After any error the proxy reconnects; until then the current state stays in use.
                let _ = self.serve_agent_link(stream).await;
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn serve_agent_link(self: &Rc<Self>, stream: TcpStream) -> std::io::Result<()> {
        let (read, write) = stream.into_split();
        let (outgoing, queue) = MessageSender::new();
        let writer = tokio::task::spawn_local(link::write(write, queue));
        let mut incoming = MessageReader::<ToProxy>::new(read);
        let result = loop {
            let ready = self.ready();
            outgoing.send(&self.replica.borrow_mut().message(
                self.now(),
                self.client_addr.to_string(),
                ready,
            ));
            let next = tokio::select! {
                next = incoming.next() => next,
                () = self.readiness_changed.notified() => continue,
            };
            match next {
                Ok(update) => self.apply_update(update),
                Err(e) => break Err(e),
            }
        };
        writer.abort();
        result
    }

    /// Applies a state update from the agent.
    pub fn apply_update(self: &Rc<Self>, update: ToProxy) {
        let (now, counter) = (self.now(), update.counter.parse().ok());
        let Effects { touched, repaired, leader_heard_at } = self.replica.borrow_mut().apply(now, update);
        if repaired {
            self.metrics.replica_repaired();
        }
        if touched.contains(&Touched::Config) {
            self.apply_config();
        }
        if touched.contains(&Touched::Gateways) || touched.contains(&Touched::Config) {
            self.update_settings();
        }
        let full_rate = self.replica.borrow().has_full_rate(now);
        if touched.iter().any(|part| *part != Touched::Nothing) || full_rate != self.full_rate.get() {
            self.update_backends();
        }
        self.counter_addr.send_if_modified(|at| std::mem::replace(at, counter) != counter);
        if let Some(heard_at) = leader_heard_at {
            self.quota_client.borrow_mut().leader_contacted(heard_at);
        }
        if !self.was_synced.get() && self.table.borrow().is_some() && self.lease_is_valid() {
            self.was_synced.set(true);
            self.synced.notify_waiters();
        }
    }

    /// Updates the backends once the last contact with a settled leader is too old to allow the full rate.
    async fn watch_full_rate(self: Rc<Self>) {
        loop {
            let left = self.replica.borrow().full_rate_until() - self.now();
            sleep(if left > 0.0 { Duration::from_secs_f64(left / 1000.0) } else { FULL_RATE_CHECK_INTERVAL })
                .await;
            if self.full_rate.get() && !self.replica.borrow().has_full_rate(self.now()) {
                log::info!(
                    "proxy: no contact with an up-to-date leader: limiting all backends to the cold rate"
                );
                self.update_backends();
            }
        }
    }

    /// Applies the configuration of the current state.
    fn apply_config(&self) {
        let replica = self.replica.borrow();
        let Some(config) = replica.state().and_then(|state| state.config.as_ref()) else { return };
        let old_classes = self.table.borrow().as_ref().map(|table| table.classes.clone()).unwrap_or_default();
        let (mut routes, mut pools) = (self.routes.borrow_mut(), self.pools.borrow_mut());
        match RouteTable::new(&config.text, &self.zones, &mut routes, &mut pools, &old_classes) {
            Ok(table) => {
                self.quota_client.borrow_mut().set_limits(self.now(), &table.limits);
                *self.table.borrow_mut() = Some(Rc::new(table));
            }
            Err(e) => log::error!("proxy: cannot apply configuration r{}: {}", config.edition, e.0),
        }
    }

    fn update_settings(&self) {
        let Some((gateways, position)) = self.replica.borrow().state().map(|state| {
            let position = state.gateways.keys().position(|node| *node == self.settings.node);
            (state.gateways.len().max(1), position.unwrap_or(0))
        }) else {
            return;
        };
        self.quota_client.borrow_mut().set_gateways(gateways);
        let classes = self.table.borrow().as_ref().map(|table| table.classes.clone()).unwrap_or_default();
        let settings =
            driver_settings(&self.settings, &self.zones, classes, gateways as u32, position as u32);
        self.driver.apply_settings(settings, CONNECT_MS, IDLE_MS);
    }

    fn update_backends(&self) {
        let replica = self.replica.borrow();
        let Some(state) = replica.state() else { return };
        let table = self.table.borrow();
        let mut pools = self.pools.borrow_mut();
        let evacuated =
            state.evacuated.iter().fold(0, |mask, zone| mask | 1 << self.zones.number(zone).min(63));
        self.evacuated.set(evacuated);
        let (proxy_now, driver_now) = (self.now(), self.driver.now());
        let region = |zone: &str| self.zones.region(zone);
        let full_rate = replica.has_full_rate(proxy_now);
        self.full_rate.set(full_rate);
        // Computed only if some backend is rate-limited.
        let shares = LazyCell::new(|| {
            let names = state.gateways.keys().map(String::as_str);
            Shares::new(&self.settings.bounds, &self.settings.node, names)
        });
        let listed_backends = state.backends.values().filter_map(|known| {
            let backend = &known.backend;
            let (pool, zone) = (pools.id(&backend.service), self.zones.number(&backend.zone));
            let cold_per_s =
                table.as_ref().and_then(|table| table.cold_per_s.get(&pool)).copied().unwrap_or(0.0);
            let cold_ms = table.as_ref().and_then(|table| table.cold_ms.get(&pool)).copied().unwrap_or(0.0);
            // Backends may have become cold while their zone was evacuated.
            let warm_after_evacuation =
                state.evacuation_ends.get(&backend.zone).map_or(0.0, |at| at + cold_ms);
            let cold_until = known.cold_until.max(warm_after_evacuation);
            let cold_until = if cold_until > proxy_now { driver_now + cold_until - proxy_now } else { 0.0 };
            let cold = cold_per_s > 0.0 && cold_until > driver_now;
            let share =
                (cold_per_s > 0.0 && (cold || !full_rate)).then(|| shares.share(&backend.id, cold_per_s));
            let distance_cost = match (
                backend.zone == self.settings.zone,
                region(&backend.zone) == Some(&self.settings.region),
            ) {
                (true, _) => 0.0,
                (_, true) => OTHER_ZONE_COST,
                _ => OTHER_REGION_COST,
            };
            let listed = BackendEntry {
                id: 0,
                zone,
                kind: 0,
                cell: 0,
                state: if backend.draining { BackendState::Draining } else { BackendState::Ready },
                size: f64::from(backend.max_concurrency.max(1)),
                started: 0.0,
                pool,
                distance_cost,
                cold_until: if cold_per_s > 0.0 { cold_until } else { 0.0 },
                cold_per_s: share.map_or(0.0, |share| cold_per_s / share.senders),
                limited_until: match share {
                    None => 0.0,
                    Some(_) if full_rate => cold_until,
                    Some(_) => f64::INFINITY,
                },
                limit: share.map_or(0, |share| share.limit),
            };
            Some(DriverBackend {
                name: backend.id.clone(),
                addr: Some(backend.address.parse().ok()?),
                entry: listed,
            })
        });
        self.driver.update_backends(true, listed_backends.collect());
        self.driver.discovery_synced();
    }

    /// Whether the lease still allows the proxy to accept tenants' keys.
    fn lease_is_valid(&self) -> bool {
        self.replica.borrow().lease_is_valid(self.now())
    }

    /// Whether new clients should be sent here.
    fn ready(&self) -> bool {
        let serving = *self.phase.borrow() == Phase::Serving;
        serving && self.table.borrow().is_some() && self.driver.ready() && self.lease_is_valid()
    }

    /// All metrics in OpenMetrics format.
    fn metrics_response(&self) -> HttpResponse {
        let gauges = Gauges {
            in_flight_requests: self.in_flight.get(),
            backend_connections: self.driver.backends().open_connections(),
            backends: self.driver.backend_counts(),
            applied_index: self.replica.borrow().applied_index(),
            leader_contact_age: self
                .replica
                .borrow()
                .leader_contact_age(self.now())
                .map(|ms| Duration::from_secs_f64(ms.max(0.0) / 1000.0)),
            ready: self.ready(),
        };
        let mut response = Response::new(ResponseBody::buffered(self.metrics.encode(&gauges)));
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        response
    }

    async fn serve_readiness(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let proxy = self.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request: Request<Body>| {
                    let response = match request.uri().path() {
                        "/metrics" => proxy.metrics_response(),
                        _ if proxy.ready() => text_response(StatusCode::OK, ""),
                        _ => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
                    };
                    async move { Ok::<_, Infallible>(response) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(READ_TIMEOUT)
                    .serve_connection(TokioIo::new(ClientStream::new(stream)), service);
                // The caller retries after an error.
                let _ = connection.await;
            });
        }
    }

    // ---- Charges ------------------------------------------------------------------------------------------

    async fn run_charges(self: Rc<Self>, mut charge_requests: UnboundedReceiver<ChargeRequest>) {
        let mut counter = self.counter_addr.subscribe();
        loop {
            let at = *counter.borrow_and_update();
            let stream = match at {
                Some(at) => link::connect(self.settings.dial_addr(at)).await.ok(),
                None => None,
            };
            match stream {
                Some(stream) => self.exchange_charges(stream, &mut charge_requests, &mut counter).await,
                None => {
                    // Without a counter, pending charges fail at once.
                    while let Ok(failed) = charge_requests.try_recv() {
                        drop(failed.response);
                    }
                    let _ = timeout(RECONNECT_DELAY, counter.changed()).await;
                }
            }
        }
    }

    async fn exchange_charges(
        &self, stream: TcpStream, charge_requests: &mut UnboundedReceiver<ChargeRequest>,
        counter: &mut watch::Receiver<Option<SocketAddr>>,
    ) {
        let (read, write) = stream.into_split();
        let (outgoing, queue) = MessageSender::new();
        let writer = tokio::task::spawn_local(link::write(write, queue));
        outgoing.send(&Hello { purpose: Purpose::Counter as i32 });
        self.quota_client.borrow_mut().counter_connected();
        let mut incoming = MessageReader::<Totals>::new(read);
        let mut waiting: PendingMessages<Vec<oneshot::Sender<Option<ChargeTotal>>>> =
            PendingMessages::default();
        loop {
            tokio::select! {
                _ = counter.changed() => break,
                totals = incoming.next() => {
                    let Ok(Totals { sequence, authoritative, totals }) = totals else { break };
                    let Some(responses) = waiting.complete(sequence) else { continue };
                    for (index, response) in responses.into_iter().enumerate() {
                        let total = totals.get(index).filter(|_| authoritative);
                        let counted = total.map(|total| ChargeTotal {
                            units: total.units,
                            limit: total.limit,
                            left_ms: f64::from(total.remaining_ms),
                            window: total.window,
                        });
                        // The receiver may have timed out.
                        let _ = response.send(counted);
                    }
                }
                first = charge_requests.recv() => {
                    let Some(first) = first else { return };
                    let (mut charges, mut responses) = (Vec::new(), Vec::new());
                    let mut next = Some(first);
                    while let Some(ChargeRequest { tenant, charge, response }) = next {
                        let quota::Charge { units, refund, window } = charge;
                        charges.push(Charge { tenant, units, refund, window });
                        responses.push(response);
                        next = charge_requests.try_recv().ok();
                    }
                    let Some(sequence) = waiting.register(responses) else { break };
                    if !outgoing.send(&Charges { sequence, charges }) {
                        break;
                    }
                }
            }
        }
        writer.abort();
    }

    /// Charges one request to its tenant's quota.
    async fn charge_tenant(self: &Rc<Self>, tenant: &Rc<Tenant>, target: Duration) -> Verdict {
        let verdict = self.quota_client.borrow_mut().admit(self.now(), &tenant.name);
        match verdict {
            Verdict::Charge(charge) => self.send_charge(tenant, charge, target, true).await,
            Verdict::PassAndCharge(charge) => {
                let (proxy, tenant) = (self.clone(), tenant.clone());
                tokio::task::spawn_local(
                    async move { proxy.send_charge(&tenant, charge, target, false).await },
                );
                Verdict::Pass
            }
            verdict => verdict,
        }
    }

    async fn send_charge(
        &self, tenant: &Tenant, charge: quota::Charge, target: Duration, request_waits: bool,
    ) -> Verdict {
        let start = self.now();
        let (response, total) = oneshot::channel();
        let sent = self.charges.send(ChargeRequest { tenant: tenant.name.clone(), charge, response });
        let total = match sent {
            Ok(()) => timeout(target.mul_f64(COUNTER_TIMEOUT_OF_TARGET), total).await,
            Err(_) => Ok(Ok(None)),
        };
        let mut quota_client = self.quota_client.borrow_mut();
        let now = self.now();
        match total {
            Ok(Ok(Some(counted))) => {
                quota_client.total_received(now, &tenant.name, charge, now - start, counted, request_waits)
            }
            // Not charged, not authoritative, or timed out.
            Ok(_) | Err(_) => quota_client.charge_unanswered(now, &tenant.name, request_waits),
        }
    }

    // ---- Clients ------------------------------------------------------------------------------------------

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok(slot) = self.connection_slots.clone().acquire_owned().await else { return };
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
                proxy.serve_connection(stream).await;
                drop(slot);
            });
        }
    }

    /// Serves a client connection until it closes, and records how it ended.
    pub async fn serve_connection(self: Rc<Self>, stream: impl Stream) {
        let stream = ClientStream::new(stream);
        let record = stream.record();
        let result = self.exchange_requests(stream).await;
        let end = record.end();
        self.metrics.connection_ended(end);
        log::debug!(
            "proxy: client connection ended in phase {:?}: {}{}",
            *self.phase.borrow(),
            end.name(),
            result.err().map_or(String::new(), |error| format!(", {error:?}"))
        );
    }

    /// Serves a client's requests until its connection closes or fails.
    async fn exchange_requests(self: &Rc<Self>, stream: ClientStream<impl Stream>) -> hyper::Result<()> {
        let idle = self.table.borrow().as_ref().map_or(READ_TIMEOUT, |table| table.idle_timeout);
        let pipeline = Pipeline::new();
        let client_stream =
            PipelinedStream::new(stream, pipeline.clone(), |parts: &Parts| self.start_pipelined(parts));
        let received = Cell::new(false);
        let service = service_fn(|request| {
            received.set(true);
            let (proxy, pipeline) = (self.clone(), pipeline.clone());
            async move { Ok::<_, Infallible>(proxy.handle(request, &pipeline).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(client_stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.subscribe();
        let idle_close = async {
            // Fails only after the proxy is dropped.
            let _ = phase.wait_for(|phase| matches!(phase, Phase::ClosingIdle | Phase::Aborting)).await;
            pipeline.drained().await;
        };
        tokio::select! {
            result = connection.as_mut() => return result,
            // A graceful shutdown would wait for a first request.
            () = idle_close => if !received.get() { return Ok(()) },
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    }

    /// Starts a pipelined request early if it may run more than once and the proxy is not shutting down.
    fn start_pipelined(self: &Rc<Self>, parts: &Parts) -> Option<PendingResponse<HttpResponse>> {
        let table = self.table.borrow().clone()?;
        let host = header_text(&parts.headers, &HOST).unwrap_or("");
        let route = table.route(host, parts.uri.path()).filter(|route| !route.at_most_once)?;
        if *self.phase.borrow() != Phase::Serving {
            return None;
        }
        let request_id = request_id_text(parts.headers.get("request-id"));
        log::trace!("proxy: pipelined request {request_id} of class {} started early", route.class);
        self.metrics.request_pipelined();
        let (proxy, parts, in_flight) = (self.clone(), parts.clone(), InFlight::new(self));
        Some(PendingResponse::new(tokio::task::spawn_local(async move {
            proxy.process(parts, None, in_flight).await
        })))
    }

    async fn handle(
        self: &Rc<Self>, request: Request<Body>, pipeline: &Pipeline<HttpResponse>,
    ) -> HttpResponse {
        let start = Instant::now();
        let (parts, body) = request.into_parts();
        let in_flight = InFlight::new(self);
        let pending = pipeline.take(&parts);
        let started_early = pending.is_some();
        let request_id = parts.headers.get("request-id").cloned();
        log::trace!("proxy: request {} received", request_id_text(request_id.as_ref()));
        let mut response = match pending {
            Some(pending) => {
                let failed = || text_response(StatusCode::BAD_GATEWAY, "failed; it may have run\n");
                pending.response().await.unwrap_or_else(failed)
            }
            None => self.process(parts, Some(body), in_flight).await,
        };
        // Requests already started behind this one are still answered on this connection.
        if *self.phase.borrow() != Phase::Serving && !pipeline.has_started() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        pipeline.response_done();
        log::trace!(
            "proxy: request {} got status {} after {} ms{}",
            request_id_text(request_id.as_ref()),
            response.status().as_u16(),
            start.elapsed().as_millis(),
            if started_early { " (started early)" } else { "" }
        );
        self.metrics.response_sent(response.status().as_u16(), start.elapsed());
        response
    }

    async fn process(self: &Rc<Self>, parts: Parts, body: Option<Body>, in_flight: InFlight) -> HttpResponse {
        let mut phase = self.phase.subscribe();
        let aborting = phase.wait_for(|phase| *phase == Phase::Aborting);
        let admitted = tokio::select! {
            biased;
            // Fails only after the proxy is dropped.
            _ = aborting => Err(not_run_response(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER_MS)),
            admitted = self.admit(&parts, body) => admitted,
        };
        match admitted {
            Ok(admitted) => self.forward(&parts, admitted, in_flight).await,
            Err(response) => response,
        }
    }

    /// Routes and authenticates a request, reads its body and charges its tenant; `Err` is the final
    /// response.
    async fn admit(self: &Rc<Self>, parts: &Parts, body: Option<Body>) -> Result<Admitted, HttpResponse> {
        let Some(table) = self.wait_for_table(&parts.headers).await else {
            return Err(not_run_response(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER_MS));
        };
        if SINGLETON_HEADERS.iter().any(|name| parts.headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(text_response(
                StatusCode::BAD_REQUEST,
                "a header stands twice that may stand once\n",
            ));
        }
        let host = header_text(&parts.headers, &HOST).unwrap_or("");
        let Some(route) = table.route(host, parts.uri.path()) else {
            return Err(text_response(StatusCode::NOT_FOUND, "no such route\n"));
        };
        let key = header_text(&parts.headers, &AUTHORIZATION).and_then(|value| value.strip_prefix("Bearer "));
        let tenant = match table.check_key(&route, key) {
            KeyCheck::NotRequired => None,
            KeyCheck::Tenant(tenant) => Some(tenant),
            KeyCheck::Unknown => return Err(text_response(StatusCode::UNAUTHORIZED, "no such key\n")),
        };
        if tenant.is_some() && !self.lease_is_valid() {
            // The key may have been revoked since.
            return Err(not_run_response(StatusCode::SERVICE_UNAVAILABLE, MAX_RETRY_AFTER_MS));
        }
        let client_timeout = client_timeout(&parts.headers).min(route.timeout);
        let (body, more) = match body {
            Some(body) => self.read_body(body, table.body_bytes).await?,
            None => (BytesMut::new(), None),
        };
        let deadline = ClientDeadline::from_timeout(client_timeout).deadline(Instant::now());
        if let Some(tenant) = &tenant {
            let verdict = self.charge_tenant(tenant, route.target).await;
            self.metrics.charged(&verdict);
            if let Verdict::Refuse(after) = verdict {
                return Err(not_run_response(StatusCode::TOO_MANY_REQUESTS, after));
            }
        }
        Ok(Admitted { route, tenant, deadline, body, more })
    }

    /// Forwards a request through the decision module and returns the final response.
    async fn forward(
        self: &Rc<Self>, parts: &Parts, admitted: Admitted, mut in_flight: InFlight,
    ) -> HttpResponse {
        let Admitted { route, tenant, deadline, body, more } = admitted;
        let zone_mask = route.zone_mask
            & tenant.as_ref().map_or(u64::MAX, |tenant| tenant.zone_mask)
            & !self.evacuated.get();
        let request = RequestInfo {
            customer: 0,
            plan: 0,
            class: route.class,
            units: 1.0,
            customer_gateways: 1.0,
            is_retry: false,
            pool: self.choose_pool(&route),
            zone_mask,
            max_attempts: route.attempts,
            deadline,
            client_deadline: None,
        };
        let tenant_name = tenant.as_ref().map(|tenant| tenant.name.as_str());
        let work = backend_request(
            &parts.method,
            parts.uri.path_and_query().map_or("/", |p| p.as_str()),
            &parts.headers,
            tenant_name,
            &body,
            more,
        );
        let (id, response) = self.driver.request(&request, work);
        in_flight.1 = Some(id);
        let (response, summary) = self.driver.await_response(id, response).await;
        in_flight.1 = None;
        if let (Some(tenant), false) =
            (&tenant, summary.may_have_run || matches!(response, FinalResponse::Served { .. }))
        {
            // The charge of a request that never ran is refunded.
            self.quota_client.borrow_mut().refund(&tenant.name);
        }
        match (client_response(route.at_most_once, &response, &summary), response) {
            (ClientResponse::Served, FinalResponse::Served { head, body: content }) => {
                response_from_backend(&head, content, parts.method == Method::HEAD)
            }
            (ClientResponse::NotRun(after), response) => {
                if let FinalResponse::Refused { reason, .. } = response {
                    log::debug!(
                        "proxy: refused class {} pool {} zones {zone_mask:x}: {} after {} attempts",
                        route.class,
                        request.pool,
                        reason.name(),
                        summary.attempts
                    );
                }
                not_run_response(StatusCode::SERVICE_UNAVAILABLE, after.unwrap_or(MIN_RETRY_AFTER_MS))
            }
            (ClientResponse::BodyTooLarge, _) => body_error(BodyError::TooLarge),
            (ClientResponse::BodyBroken, _) => body_error(BodyError::Broken),
            (ClientResponse::BodySlow, _) => body_error(BodyError::Slow),
            (ClientResponse::MayHaveRun | ClientResponse::Served, _) => {
                text_response(StatusCode::BAD_GATEWAY, "failed; it may have run\n")
            }
        }
    }

    /// The route table; requests that arrive during startup wait for it for a share of their timeout.
    async fn wait_for_table(&self, headers: &HeaderMap) -> Option<Rc<RouteTable>> {
        let deadline = Instant::now() + client_timeout(headers).mul_f64(STARTUP_WAIT_OF_TIMEOUT);
        loop {
            let table = self.table.borrow().clone();
            if table.is_some() && self.lease_is_valid() {
                return table;
            }
            if self.was_synced.get() {
                // The lease has expired: the client should retry at another gateway.
                return table;
            }
            timeout_at(deadline, self.synced.notified()).await.ok()?;
        }
    }

    /// Reads a body: completely if it is small, otherwise its first part.
    async fn read_body(
        &self, body: Body, max_bytes: u64,
    ) -> Result<(BytesMut, Option<(Rc<UnreadBody>, Option<u64>)>), HttpResponse> {
        let mut upload = Upload::new(body, Instant::now() + READ_TIMEOUT, None);
        let size = upload.size();
        let mut buffered = BytesMut::new();
        if size == Some(0) {
            return Ok((buffered, None));
        }
        if size.is_some_and(|size| size > max_bytes) {
            return Err(text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"));
        }
        let reserved = timeout_at(Instant::now() + MEMORY_TIMEOUT, self.budget.reserve_request(size)).await;
        let Ok(_reserved) = reserved else {
            return Err(not_run_response(StatusCode::SERVICE_UNAVAILABLE, MAX_RETRY_AFTER_MS));
        };
        loop {
            match upload.next_bytes().await {
                Ok(None) => return Ok((buffered, None)),
                Ok(Some(piece)) => buffered.extend_from_slice(&piece),
                Err(error) => return Err(body_error(error)),
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Ok((buffered, Some((Rc::new(UnreadBody::new(upload)), size))));
            }
        }
    }

    /// Chooses one of the route's pools at random by weight.
    fn choose_pool(&self, route: &Route) -> u32 {
        let sum: f64 = route.pools.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.rng.borrow_mut().f64() * sum;
        for (pool, weight) in &route.pools {
            if drawn < *weight {
                return *pool;
            }
            drawn -= weight;
        }
        route.pools.iter().rev().find(|(_, weight)| *weight > 0.0).map_or(0, |(pool, _)| *pool)
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A request id as logged.
fn request_id_text(name: Option<&HeaderValue>) -> &str {
    name.and_then(|name| name.to_str().ok()).unwrap_or("without an id")
}

/// The client's timeout from `deadline-ms`, or the default.
fn client_timeout(headers: &HeaderMap) -> Duration {
    let stated = headers.get("deadline-ms").and_then(|value| value.to_str().ok()?.trim().parse().ok());
    stated.map_or(DEFAULT_CLIENT_TIMEOUT, Duration::from_millis)
}

fn body_error(error: BodyError) -> HttpResponse {
    match error {
        BodyError::TooLarge => text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
        BodyError::Broken => text_response(StatusCode::BAD_REQUEST, "the body is not whole\n"),
        // No part that could run was forwarded.
        BodyError::Slow => text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"),
    }
}

/// Settings of the decision module.
fn driver_settings(
    settings: &Settings, zones: &Zones, classes: Vec<oakfall::Class>, gateways: u32, position: u32,
) -> DriverSettings {
    let bounds = &settings.bounds;
    DriverSettings {
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
            max_retry_after_ms: MAX_RETRY_AFTER_MS,
        },
        rules: Rules {
            cold_capacity: 0.5,
            early_refusal_share: EARLY_REFUSAL_OF_TARGET,
            overload_multiple: 2.0,
            overload_ms: 1000.0,
            retry_budget: Some(RetryBudget {
                ratio: bounds.retry_ratio * RETRY_BUDGET_SHARE,
                burst: bounds.retry_slack * RETRY_BUDGET_SHARE / f64::from(gateways.max(1)),
            }),
            ..Rules::default()
        },
        ..DriverSettings::default()
    }
}

/// Headers that may occur only once: backends could differ in which of two values they use.
const SINGLETON_HEADERS: [&str; 2] = ["host", "request-id"];

/// Hop-by-hop headers and headers that the proxy sets itself.
const UNFORWARDED_HEADERS: [&str; 13] = [
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

/// Header names listed in the values of `Connection` headers.
fn connection_header_names<'a>(values: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let texts = values.map(|value| String::from_utf8_lossy(value).to_ascii_lowercase());
    texts.flat_map(|text| text.split(',').map(|name| name.trim().to_owned()).collect::<Vec<_>>()).collect()
}

/// Builds the request that a backend receives.
fn backend_request(
    method: &Method, target: &str, headers: &HeaderMap, tenant: Option<&str>, body: &[u8],
    more: Option<(Rc<UnreadBody>, Option<u64>)>,
) -> BackendRequest {
    let mut head = Vec::with_capacity(512);
    let mut line = |parts: &[&[u8]]| parts.iter().for_each(|part| head.extend_from_slice(part));
    line(&[method.as_str().as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
    let hop_by_hop = connection_header_names(headers.get_all(CONNECTION).iter().map(HeaderValue::as_bytes));
    for (name, value) in headers {
        let name = name.as_str();
        // A client cannot remove `host` or `request-id` by listing them in `Connection`.
        if !UNFORWARDED_HEADERS.contains(&name)
            && (SINGLETON_HEADERS.contains(&name) || !hop_by_hop.iter().any(|listed| listed == name))
        {
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
    let has_body_headers = headers.contains_key(CONTENT_LENGTH) || headers.contains_key("transfer-encoding");
    let chunked = size.is_none();
    if chunked {
        line(&[b"Transfer-Encoding: chunked\r\n"]);
    } else if has_body_headers || size != Some(0) {
        line(&[b"Content-Length: ", size.unwrap_or(0).to_string().as_bytes(), b"\r\n"]);
    }
    let rest = if chunked {
        [b"\r\n", format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
    } else {
        [b"\r\n", body].concat()
    };
    let request_id = headers.get("request-id").map(|id| id.as_bytes().to_vec()).unwrap_or_default();
    BackendRequest {
        head,
        rest,
        correlation_id: request_id,
        streamed_body: more.map(|(more, _)| (more, chunked)),
        _reservation: None,
    }
}

/// Builds the client's response from a backend's.
fn response_from_backend(head: &Head, content: ResponseBody, head_only: bool) -> HttpResponse {
    let mut response = Response::new(content);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut hop_by_hop = Vec::new();
    head.for_each_header(|name, value| {
        if name.eq_ignore_ascii_case("connection") {
            hop_by_hop.extend(connection_header_names(std::iter::once(value)));
        }
    });
    let headers = response.headers_mut();
    head.for_each_header(|name, value| {
        // A response to HEAD keeps the length of the body that GET would return.
        let kept = (head_only && name.eq_ignore_ascii_case("content-length")
            || !UNFORWARDED_HEADERS.iter().any(|header| name.eq_ignore_ascii_case(header)))
            && !hop_by_hop.iter().any(|listed| name.eq_ignore_ascii_case(listed));
        let pair = HeaderName::try_from(name).ok().zip(HeaderValue::from_bytes(value).ok()).filter(|_| kept);
        if let Some((name, value)) = pair {
            headers.append(name, value);
        }
    });
    response
}
