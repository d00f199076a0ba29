//! HTTP proxy: accepts client requests, charges them to tenants and forwards them to backends.

mod charging;
mod forwarded_messages;
mod state_updates;
mod versions;

use self::charging::ChargeRequest;
use self::forwarded_messages::{backend_request, response_from_backend, SINGLETON_HEADERS};
use self::state_updates::driver_settings;
use self::versions::{CanaryPool, ProxyObserver, VersionTracker};
use crate::agent;
use crate::backend_protocol::HttpBackendProtocol;
use crate::client_response::{client_response, ClientResponse};
use crate::invariants::{self, Invariant};
use crate::metrics::{Gauges, Metrics};
use crate::pipeline::{PendingResponse, Pipeline, PipelinedStream};
use crate::protocol::ToProxy;
use crate::quota::{QuotaClient, Verdict};
use crate::replica::StateReplica;
use crate::routes::numbers::{ClassNumbers, ListedPools, PoolNumbers};
use crate::routes::{KeyCheck, Route, RouteTable, Tenant, Zones};
use crate::settings::{Settings, Watch};
use bytes::BytesMut;
use eyre::{eyre, Result, WrapErr};
use hyper::body::Incoming as Body;
use hyper::header::{HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use oakfall::plane::backends::{Backends, Dial, Stream};
use oakfall::plane::body::{BodyError, MemoryBudget, ResponseBody, UnreadBody, Upload, MAX_BUFFERED_BYTES};
use oakfall::plane::client_stream::ClientStream;
use oakfall::plane::deadline::{ClientDeadline, Deadline};
use oakfall::plane::driver::{BackendProtocol, Driver, DriverResources, FinalResponse, RequestInfo};
use oakfall::Millis;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// File descriptors reserved for uses other than client and backend connections.
const RESERVED_FDS: u64 = 264;
/// Connect timeout to a backend, in ms; several round trips to the farthest region.
const CONNECT_MS: f64 = 500.0;
/// Idle time after which backends close a connection, in ms; the pool reuses it for half of that.
const IDLE_MS: f64 = 8_000.0;
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
/// Share of the grace period in which clients are still accepted, as their discovery data may be stale.
const ACCEPT_OF_GRACE: f64 = 0.45;
/// Share of the grace period after which requests in flight get their final response.
const RESPOND_OF_GRACE: f64 = 0.92;
/// Wait before exit for the kernel to send the last bytes.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Maximum wait of a request for the initial state during startup, as a share of the client's timeout.
const STARTUP_WAIT_OF_TIMEOUT: f64 = 0.4;
/// Delay before reconnecting to another process.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

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
    classes: RefCell<ClassNumbers>,
    pools: RefCell<PoolNumbers>,
    /// The pools of the list of backends.
    listed_pools: RefCell<ListedPools>,
    /// The new versions that may get requests, by the pool of their service.
    canary_pools: RefCell<HashMap<u32, CanaryPool>>,
    versions: Rc<VersionTracker>,
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
        let started = Instant::now();
        let mut rng = fastrand::Rng::with_seed(seed);
        let versions = Rc::new(VersionTracker::new(rng.u64(..)));
        let observer = ProxyObserver { metrics: metrics.clone(), versions: versions.clone(), started };
        let resources = DriverResources {
            backends: backends(max_connections),
            call_counter: None,
            send_message: None,
            budget: budget.clone(),
            protocol,
            observer: Rc::new(observer),
        };
        let zones = Zones::new(&settings.zones);
        let (charges, charge_requests) = unbounded_channel();
        let proxy = Rc::new(Proxy {
            driver: Driver::new(driver_settings(&settings, &zones, Vec::new(), 1, 0), seed, resources),
            zones,
            started,
            client_addr,
            metrics,
            budget,
            connection_slots: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            phase: watch::Sender::new(Phase::Serving),
            in_flight: Cell::new(0),
            replica: RefCell::new(StateReplica::new(&settings.bounds)),
            table: RefCell::default(),
            classes: RefCell::default(),
            pools: RefCell::default(),
            listed_pools: RefCell::default(),
            canary_pools: RefCell::default(),
            versions,
            evacuated: Cell::new(0),
            full_rate: Cell::new(false),
            quota_client: RefCell::new(QuotaClient::new(settings.bounds.quota_slack)),
            charges,
            counter_addr: watch::Sender::new(None),
            readiness_changed: Notify::new(),
            was_synced: Cell::new(false),
            synced: Notify::new(),
            rng: RefCell::new(rng),
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
        log::trace!("proxy: pipelined request {request_id} of class {} started early", route.class.number);
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
        let Some(pool) = self.choose_pool(&route) else {
            return not_run_response(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER_MS);
        };
        let request = RequestInfo {
            customer: 0,
            plan: 0,
            class: route.class.number,
            label: route.digest,
            holder: route.clone(),
            units: 1.0,
            customer_gateways: 1.0,
            is_retry: false,
            pool,
            canary_pool: self.draw_canary_pool(pool),
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
                        route.class.number,
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

    /// Draws whether a request of this pool's service tries its new version first.
    fn draw_canary_pool(&self, pool: u32) -> Option<u32> {
        let canary = *self.canary_pools.borrow().get(&pool)?;
        let may_send = self.replica.borrow().holds_canary_lease(self.now());
        (may_send && self.rng.borrow_mut().f64() < canary.share).then_some(canary.pool)
    }

    /// Chooses one of the route's pools at random by weight; `None` if none has any.
    fn choose_pool(&self, route: &Route) -> Option<u32> {
        let sum: f64 = route.pools.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.rng.borrow_mut().f64() * sum;
        for (pool, weight) in &route.pools {
            if drawn < *weight {
                return Some(pool.number);
            }
            drawn -= weight;
        }
        route.pools.iter().rev().find(|(_, weight)| *weight > 0.0).map(|(pool, _)| pool.number)
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
