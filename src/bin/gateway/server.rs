//! HTTP/1.1 server for clients: parses requests, hands them to the driver and writes the responses.

use crate::config::Config;
use crate::logs::{targets, CustomerNames};
use crate::metrics::{CurrentCounts, Metrics, RequestOutcome, Stage};
use crate::status::Phase;
use crate::tables::{Class, Tables};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use oakfall::plane::body::{
    BodyError, MemoryBudget, MemoryReservation, ResponseBody, UnreadBody, Upload, MAX_BUFFERED_BYTES,
    MAX_REQUEST_BODY_BYTES,
};
use oakfall::plane::client_stream::ClientStream;
use oakfall::plane::deadline::{ClientDeadline, Deadline};
use oakfall::plane::driver::{
    AttemptSummary, BackendRequest, Driver, FinalResponse, RequestInfo, ResponseReceiver,
};
use oakfall::plane::warning_limiter::{warn_limited, WarningLimiter};
use oakfall::RequestId;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};
use tracing::{Level, Span};

/// Timeout for a complete request head, including idle time before it. Idle connections must stay open for
/// 2 s, and connections without a request must be closed within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after which the body must be complete or arriving at the minimum rate. Counts from the connection's
/// start for the first request, from the head for later ones; a response is due within 3 s.
const BODY_TIMEOUT: Duration = Duration::from_millis(2750);
/// Delay between the start of a drain and closing idle connections. The last connection should be closed 4 s
/// after the drain began: by then, requests that arrived during the delay are answered or at least 2 s old.
const DRAIN_IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1750);
/// Timeout for reserving memory for a body.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Read buffer size, and size limit of a request head.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Customer numbers are below this.
const MAX_CUSTOMERS: u64 = 1 << 33;

/// State shared by all client connections.
pub struct Server {
    driver: Rc<Driver>,
    tables: RefCell<Tables>,
    metrics: Rc<Metrics>,
    /// Names of customers in the log.
    names: CustomerNames,
    /// Requests handed to the driver that have not ended.
    open_requests: Cell<usize>,
    budget: Rc<MemoryBudget>,
    drain: watch::Sender<Drain>,
    /// Requests whose response is not complete.
    unanswered: Cell<usize>,
    connections: Cell<usize>,
    /// Permits for further client connections.
    client_permits: Arc<Semaphore>,
}

/// State of a drain.
#[derive(Clone, Copy)]
enum Drain {
    /// Not draining.
    Inactive,
    /// Not ready; idle connections are closed from this time on.
    Draining(Instant),
    /// The same, but final: the program is shutting down.
    Final(Instant),
}

impl Drain {
    /// The time from which idle connections are closed.
    fn closes_at(self) -> Option<Instant> {
        match self {
            Drain::Inactive => None,
            Drain::Draining(at) | Drain::Final(at) => Some(at),
        }
    }
}

/// Reports changes of the drain state.
#[derive(Clone)]
pub struct DrainWatch(watch::Receiver<Drain>);

impl DrainWatch {
    /// Whether the gateway is draining.
    pub fn draining(&mut self) -> bool {
        self.0.borrow_and_update().closes_at().is_some()
    }

    /// Waits for a change; false if there will be no more.
    pub async fn changed(&mut self) -> bool {
        self.0.changed().await.is_ok()
    }
}

/// A response body, and its request while the body is streamed.
pub struct ReplyBody {
    content: ResponseBody,
    guard: Option<RequestGuard>,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let frame = ready!(Pin::new(&mut self.content).poll_frame(cx));
        // With a known length, the frame with the last bytes is the last one polled.
        let last = match &frame {
            Some(Ok(_)) if self.content.size_hint().exact() != Some(0) => None,
            Some(Ok(_)) | None => Some(RequestOutcome::Fulfilled),
            Some(Err(_)) => Some(RequestOutcome::Faulted),
        };
        if let Some((end, mut guard)) = last.and_then(|end| Some((end, self.guard.take()?))) {
            guard.end(end);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

type Reply = Response<ReplyBody>;

/// Why a request is rejected before it reaches the driver. Statuses 429 and 503 promise that a retry is safe;
/// client errors use neither.
struct Rejection {
    status: StatusCode,
    text: &'static str,
    /// The method that the class requires.
    allow: Option<Method>,
    /// Delay before a retry, in seconds.
    retry_after: Option<u32>,
}

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body over 40 MiB\n"),
            BodyError::Broken => Rejection::new(StatusCode::BAD_REQUEST, "body not whole\n"),
            BodyError::Slow => Rejection::new(StatusCode::REQUEST_TIMEOUT, "body not whole in time\n"),
        }
    }
}

impl Rejection {
    fn new(status: StatusCode, text: &'static str) -> Self {
        Rejection { status, text, allow: None, retry_after: None }
    }

    /// The body was not read, so a retry is safe.
    fn out_of_memory() -> Self {
        let text = "no room for the body now\n";
        Rejection { retry_after: Some(1), ..Rejection::new(StatusCode::SERVICE_UNAVAILABLE, text) }
    }

    fn reply(self) -> Reply {
        let mut reply = plain(self.status, self.text);
        let allow = self.allow.and_then(|method| HeaderValue::try_from(method.as_str()).ok());
        reply.headers_mut().extend(allow.map(|allow| (ALLOW, allow)));
        reply.headers_mut().extend(self.retry_after.map(|after| (RETRY_AFTER, after.into())));
        reply
    }
}

/// A request's log entry, if requests are logged.
struct RequestLog {
    span: Span,
    body: Duration,
    /// Time spent waiting for memory.
    memory: Duration,
    /// When the whole request was received, or as much of it as is buffered before the body is streamed.
    received: Instant,
    attempts: AttemptSummary,
    first_byte: Option<Duration>,
    reason: Option<&'static str>,
}

/// Tracks a request until its response is complete; cancels it at the driver if the client disconnects first.
struct RequestGuard {
    server: Rc<Server>,
    /// When the head was read.
    started: Instant,
    open: Option<(RequestId, Rc<Class>)>,
    log: Option<Box<RequestLog>>,
}

impl RequestGuard {
    fn new(server: &Rc<Server>) -> Self {
        server.unanswered.set(server.unanswered.get() + 1);
        RequestGuard { server: server.clone(), started: Instant::now(), open: None, log: None }
    }

    fn open(&mut self, id: RequestId, class: Rc<Class>) {
        self.server.open_requests.set(self.server.open_requests.get() + 1);
        self.open = Some((id, class));
    }

    /// Records the end of the request: it has its final response, or the client disconnected.
    fn end(&mut self, end: RequestOutcome) {
        if self.open.is_some() {
            self.end_at(end, Instant::now());
        }
    }

    fn end_at(&mut self, end: RequestOutcome, now: Instant) {
        let Some((id, class)) = self.open.take() else { return };
        self.server.open_requests.set(self.server.open_requests.get() - 1);
        let took = now.duration_since(self.started);
        class.metrics.record_end(end, took);
        if end == RequestOutcome::Gone {
            self.server.driver.cancel(id);
        }
        if let Some(log) = self.log.take() {
            log.write(end, took, &self.server.driver);
        }
    }

    /// Records that the driver has returned the final response. Returns the current time.
    fn record_response(
        &mut self, received: Instant, deadline: Option<Deadline>, attempts: AttemptSummary,
        response: &FinalResponse,
    ) -> Instant {
        let metrics = &self.server.metrics;
        let now = Instant::now();
        metrics.record_wait(Stage::Decision, attempts.first_sent.unwrap_or(now).duration_since(received));
        let mut first_byte = None;
        if let Some(sent) = attempts.first_sent {
            metrics.record_wait(Stage::Servers, now.duration_since(sent));
        }
        if let Some(deadline) = deadline {
            metrics.record_time_left(
                attempts.first_sent.map(|sent| deadline.remaining(sent)),
                deadline.remaining(now),
            );
            if deadline.expired(now) && !matches!(response, FinalResponse::Served { .. }) {
                metrics.record_expired(if attempts.first_sent.is_some() {
                    Stage::Servers
                } else {
                    Stage::Decision
                });
            }
        }
        if let (FinalResponse::Served { .. }, Some((_, class))) = (response, &self.open) {
            let took = now.duration_since(received);
            class.metrics.record_first_byte(took);
            first_byte = Some(took);
        }
        if let Some(log) = &mut self.log {
            log.attempts = attempts;
            log.first_byte = first_byte;
            if let FinalResponse::Refused { reason, .. } = response {
                log.reason = Some(reason.name());
            }
        }
        now
    }
}

impl RequestLog {
    fn write(&self, end: RequestOutcome, took: Duration, driver: &Driver) {
        let ms = |time: Duration| (time.as_secs_f64() * 1e6).round() / 1e3;
        let until = |from: Instant, to: Instant| ms(to.saturating_duration_since(from));
        let AttemptSummary { first_sent: sent, attempts, backend: server, .. } = self.attempts;
        let now = Instant::now();
        tracing::debug!(
            target: targets::REQUEST,
            parent: &self.span,
            outcome = end.name(),
            reason = self.reason,
            attempts,
            server = server.map(|server| driver.backend_name(server)),
            took_ms = ms(took),
            body_ms = ms(self.body),
            room_ms = ms(self.memory),
            decision_ms = until(self.received, sent.unwrap_or(now)),
            servers_ms = sent.map(|sent| until(sent, now)),
            first_byte_ms = self.first_byte.map(ms),
            "request ended"
        );
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.server.unanswered.set(self.server.unanswered.get() - 1);
        self.end(RequestOutcome::Gone);
    }
}

impl Server {
    pub fn new(
        driver: Rc<Driver>, tables: Tables, metrics: Rc<Metrics>, names: CustomerNames,
        budget: Rc<MemoryBudget>, client_permits: Arc<Semaphore>,
    ) -> Rc<Self> {
        let (tables, drain) = (RefCell::new(tables), watch::Sender::new(Drain::Inactive));
        let (open_requests, unanswered, connections) = Default::default();
        Rc::new(Server {
            driver,
            tables,
            metrics,
            names,
            open_requests,
            budget,
            drain,
            unanswered,
            connections,
            client_permits,
        })
    }

    /// Applies a new configuration's settings, all or none. Open requests keep the previous ones.
    pub fn apply_config(&self, config: &Config) -> Result<(), String> {
        let mut settings = config.settings.clone();
        self.tables.borrow_mut().apply(&config.classes, &config.plans, &mut settings, &self.metrics)?;
        self.driver.apply_settings(settings, config.connect_timeout_ms, config.idle_timeout_ms);
        Ok(())
    }

    /// The longest deadline that an open request may have.
    pub fn max_deadline_ms(&self) -> f64 {
        self.tables.borrow().max_deadline_ms()
    }

    /// Current counts of requests, connections and backends.
    pub fn present(&self) -> CurrentCounts {
        let (listed, avoided) = self.driver.backend_counts();
        CurrentCounts {
            open_requests: self.open_requests.get(),
            connections: self.connections.get(),
            listed,
            avoided,
        }
    }

    /// Whether the gateway is ready, and if not why.
    pub fn phase(&self) -> Phase {
        match *self.drain.borrow() {
            Drain::Inactive if self.driver.ready() => Phase::Ready,
            Drain::Inactive => Phase::Unready,
            Drain::Draining(_) => Phase::Draining,
            Drain::Final(_) => Phase::Ending,
        }
    }

    /// Subscribes to changes of the drain state.
    pub fn watch_drain(&self) -> DrainWatch {
        DrainWatch(self.drain.subscribe())
    }

    /// Starts a drain: the gateway is not ready, responses carry `Connection: close`, and idle connections
    /// are closed after a delay. Has no effect on a running drain.
    pub fn drain(&self) {
        self.drain.send_if_modified(|drain| {
            let starts = matches!(drain, Drain::Inactive);
            if starts {
                *drain = Drain::Draining(Instant::now() + DRAIN_IDLE_CLOSE_DELAY);
                tracing::info!(target: targets::SERVER, "draining");
            }
            starts
        });
    }

    /// Ends a drain. False if the program is shutting down.
    pub fn resume(&self) -> bool {
        self.drain.send_if_modified(|drain| {
            let ends = matches!(drain, Drain::Draining(_));
            if ends {
                *drain = Drain::Inactive;
                tracing::info!(target: targets::SERVER, "drain ended");
            }
            ends
        });
        !matches!(*self.drain.borrow(), Drain::Final(_))
    }

    /// Starts the final drain. Idle connections are closed after `idle`, or earlier if a running drain does
    /// so; returns that time.
    pub fn shut_down(&self, idle: Duration) -> Instant {
        self.drain();
        let mut closes_at = Instant::now() + idle;
        self.drain.send_modify(|drain| {
            closes_at = drain.closes_at().map_or(closes_at, |at| at.min(closes_at));
            *drain = Drain::Final(closes_at);
        });
        closes_at
    }

    /// Whether new clients should be sent here.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// Whether any request is still without a complete response.
    pub fn busy(&self) -> bool {
        self.unanswered.get() > 0
    }

    /// Accepts clients until dropped. At the connection limit further clients wait in the accept queue, so
    /// that the process does not run out of descriptors.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let warnings = WarningLimiter::default();
        loop {
            let Ok(permit) = self.client_permits.clone().acquire_owned().await else { return };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn_limited!(targets::SERVER, warnings, "accepting a client connection failed", e);
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let server = self.clone();
            tokio::task::spawn_local(async move {
                server.connections.set(server.connections.get() + 1);
                server.clone().connection(stream).await;
                server.connections.set(server.connections.get() - 1);
                drop(permit);
            });
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connected_at = Cell::new(Some(Instant::now()));
        let service = service_fn(|request| {
            let server = self.clone();
            let body_due = connected_at.take().unwrap_or_else(Instant::now) + BODY_TIMEOUT;
            async move { Ok::<_, Infallible>(server.reply(request, body_due).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(ClientStream::new(stream)), service);
        let mut connection = std::pin::pin!(connection);
        // Errors of a client connection need no handling.
        tokio::select! {
            _ = connection.as_mut() => return,
            () = self.idle_close() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    /// Waits until a drain closes idle connections.
    async fn idle_close(&self) {
        let mut drain = self.drain.subscribe();
        loop {
            let closes_at = drain.borrow_and_update().closes_at();
            tokio::select! {
                () = sleep_until(closes_at.unwrap_or_else(Instant::now)), if closes_at.is_some() => return,
                // The sender lives as long as the server.
                _ = drain.changed() => {}
            }
        }
    }

    async fn reply(self: &Rc<Self>, request: Request<Incoming>, body_due: Instant) -> Reply {
        let mut reply = match self.handle(request, body_due, RequestGuard::new(self)).await {
            Ok(reply) => reply,
            Err(rejection) => {
                self.metrics.record_undecided(rejection.status.as_u16());
                rejection.reply()
            }
        };
        // At the connection limit clients are asked to close, or idle connections would starve those in the
        // accept queue.
        if self.drain.borrow().closes_at().is_some() || self.client_permits.available_permits() == 0 {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn handle(
        &self, request: Request<Incoming>, body_due: Instant, mut guard: RequestGuard,
    ) -> Result<Reply, Rejection> {
        let (parts, body) = request.into_parts();
        match parts.uri.path() {
            "/health/ready" => {
                return Ok(plain(
                    if self.ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
                    "",
                ));
            }
            "/health/live" => return Ok(plain(StatusCode::OK, "")),
            _ => {}
        }
        let (mut info, client_deadline, class) =
            self.parse(&parts.method, &parts.uri, &parts.headers, guard.started)?;
        let mut upload = Upload::new(body, body_due, client_deadline.absolute());
        let size = upload.size();
        if size.is_some_and(|size| size > MAX_REQUEST_BODY_BYTES) {
            return Err(BodyError::TooLarge.into());
        }
        let reservation = match size {
            Some(0) => None,
            _ => {
                let reserve_by = client_deadline.cap(Instant::now() + RESERVE_TIMEOUT);
                let reserved = timeout_at(reserve_by, self.budget.reserve_request(size)).await;
                reserved.map_err(|_| {
                    self.check_deadline(&client_deadline, Stage::Memory)
                        .unwrap_or_else(Rejection::out_of_memory)
                })?
            }
        };
        // A request without a body waits for neither memory nor a body.
        let reserved_at = if size == Some(0) { guard.started } else { Instant::now() };
        let mut buffered = BytesMut::new();
        let unread = loop {
            let bytes = upload.next_bytes().await;
            match bytes.map_err(|error| {
                self.check_deadline(&client_deadline, Stage::Body).unwrap_or_else(|| error.into())
            })? {
                None => break None,
                Some(bytes) => buffered.extend_from_slice(&bytes),
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                break Some(Rc::new(UnreadBody::new(upload)));
            }
        };
        // Relative deadlines count from the last byte of the request.
        let received = Instant::now();
        info.deadline = client_deadline.deadline(received);
        if size != Some(0) {
            self.metrics.record_wait(Stage::Memory, reserved_at.duration_since(guard.started));
            self.metrics.record_wait(Stage::Body, received.duration_since(reserved_at));
        }
        // With a streamed body the deadline counts from its end, which is not known yet.
        let deadline = Some(info.deadline).filter(|_| unread.is_none());
        let length = if unread.is_some() { size } else { Some(buffered.len() as u64) };
        let backend_request = backend_request(
            &class,
            &parts.uri,
            &parts.headers,
            &buffered,
            length,
            unread.clone(),
            reservation,
        );
        drop(buffered);
        let ((id, receiver), span) = self.submit(&info, &class, backend_request);
        guard.open(id, class);
        let (body, memory) =
            (received.duration_since(reserved_at), reserved_at.duration_since(guard.started));
        let (attempts, first_byte, reason) = Default::default();
        let log = |span| Box::new(RequestLog { span, body, memory, received, attempts, first_byte, reason });
        guard.log = span.map(log);
        let (response, attempts) = self.driver.await_response(id, receiver).await;
        let now = guard.record_response(received, deadline, attempts, &response);
        if let Some(upload) = unread.and_then(|unread| unread.take()) {
            tokio::task::spawn_local(upload.drain());
        }
        Ok(match response {
            FinalResponse::Served { head, body: content } => {
                let guard = match &content {
                    ResponseBody::Buffered { .. } => {
                        guard.end_at(RequestOutcome::Fulfilled, now);
                        None
                    }
                    // The guard ends with the stream.
                    ResponseBody::Stream(..) => Some(guard),
                };
                let mut reply = Response::new(ReplyBody { content, guard });
                let content_type = head.content_type.and_then(|t| HeaderValue::from_maybe_shared(t).ok());
                if let Some(content_type) = content_type {
                    reply.headers_mut().insert(CONTENT_TYPE, content_type);
                }
                reply
            }
            FinalResponse::Refused { retry_after_ms, .. } => {
                guard.end_at(RequestOutcome::Throttled, now);
                let mut reply = plain(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless\n");
                if retry_after_ms > 0.0 {
                    let seconds = format!("{:.3}", retry_after_ms / 1000.0);
                    reply.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
                }
                reply
            }
            FinalResponse::Failed => {
                guard.end_at(RequestOutcome::Faulted, now);
                plain(StatusCode::BAD_GATEWAY, "failed; it may have run\n")
            }
            FinalResponse::IncompleteBody(error) => return Err(error.into()),
        })
    }

    /// The rejection of a request whose deadline passed before it was complete; it was not sent to a backend.
    fn check_deadline(&self, client_deadline: &ClientDeadline, place: Stage) -> Option<Rejection> {
        client_deadline.expired(Instant::now()).then(|| {
            self.metrics.record_expired(place);
            Rejection::new(StatusCode::TOO_MANY_REQUESTS, "its time is over; trying again is harmless\n")
        })
    }

    /// Hands a request to the driver, in a span of its own if requests are logged.
    fn submit(
        &self, info: &RequestInfo, class: &Class, backend_request: BackendRequest,
    ) -> ((RequestId, ResponseReceiver), Option<Span>) {
        if !tracing::enabled!(target: targets::REQUEST, Level::DEBUG) {
            return (self.driver.request(info, backend_request), None);
        }
        let (customer, plan) = (self.names.customer(info.customer), info.plan as usize);
        let span = tracing::debug_span!(
            target: targets::REQUEST,
            "request",
            id = tracing::field::Empty,
            class = class.name,
            plan = self.tables.borrow().plan_name(plan),
            customer,
            units = info.units,
            repeat = info.is_retry,
        );
        let (id, receiver) = span.in_scope(|| self.driver.request(info, backend_request));
        span.record("id", id);
        ((id, receiver), Some(span))
    }

    /// Parses the request line and headers. Errors are client errors, with status 400, 404 or 405.
    fn parse(
        &self, method: &Method, uri: &Uri, headers: &HeaderMap, now: Instant,
    ) -> Result<(RequestInfo, ClientDeadline, Rc<Class>), Rejection> {
        let lane = uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
        let tables = self.tables.borrow();
        let Some(class) = tables.class(lane) else {
            return Err(Rejection::new(StatusCode::NOT_FOUND, "no such class\n"));
        };
        if *method != class.method {
            let allow = Some(class.method.clone());
            return Err(Rejection {
                status: StatusCode::METHOD_NOT_ALLOWED,
                text: "wrong method\n",
                allow,
                retry_after: None,
            });
        }
        let bad = |what| Rejection::new(StatusCode::BAD_REQUEST, what);
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        if text("x-lane") != Some(lane) {
            return Err(bad("X-Lane is missing or differs from the path\n"));
        }
        if text("x-txn").is_none_or(str::is_empty) {
            return Err(bad("X-Txn is missing\n"));
        }
        if class.keyed && text("idempotency-key").is_none_or(str::is_empty) {
            return Err(bad("Idempotency-Key is missing\n"));
        }
        let plan = text("x-plan").and_then(|plan| tables.plan(plan));
        let plan = plan.ok_or_else(|| bad("X-Plan is missing or unknown\n"))?;
        let client_deadline = ClientDeadline::from_headers(headers, SystemTime::now(), now).map_err(bad)?;
        let account = uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("account=")));
        let account = account.filter(|a| a.len() == 16 && a.bytes().all(|b| b.is_ascii_hexdigit()));
        let account = account.and_then(|a| u64::from_str_radix(a, 16).ok()).filter(|a| *a < MAX_CUSTOMERS);
        let customer = account.ok_or_else(|| bad("account is missing or malformed\n"))?;
        let quota = text("x-quota").unwrap_or("");
        let part = |name: &str| {
            let mut parts = quota.split(',').filter_map(|p| p.trim().split_once('='));
            let value = parts.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<f64>().ok());
            value.filter(|v| v.is_finite() && *v >= 0.0)
        };
        let (Some(units), Some(spread)) = (part("units"), part("spread")) else {
            return Err(bad("X-Quota is missing or malformed\n"));
        };
        let info = RequestInfo {
            customer,
            plan: plan as u32,
            class: class.number,
            label: 0,
            holder: class.clone(),
            units,
            customer_gateways: spread,
            is_retry: text("x-resent") == Some("1"),
            pool: 0,
            canary_pool: None,
            zone_mask: u64::MAX,
            max_attempts: usize::MAX,
            deadline: client_deadline.deadline(now),
            client_deadline: client_deadline.absolute(),
        };
        Ok((info, client_deadline, class))
    }
}

/// Builds the request as it is sent to a backend.
fn backend_request(
    class: &Class, uri: &Uri, headers: &HeaderMap, body: &[u8], length: Option<u64>,
    unread: Option<Rc<UnreadBody>>, reservation: MemoryReservation,
) -> BackendRequest {
    let mut head = Vec::with_capacity(256);
    let mut line = |parts: &[&[u8]]| parts.iter().for_each(|part| head.extend_from_slice(part));
    let target = uri.path_and_query().map_or("/", |t| t.as_str());
    line(&[class.method.as_str().as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
    let host = headers.get(HOST).map_or(&b"localhost"[..], HeaderValue::as_bytes);
    line(&[b"Host: ", host, b"\r\n"]);
    for (name, header) in [
        ("X-Txn", headers.get("x-txn")),
        ("Idempotency-Key", headers.get("idempotency-key")),
        ("X-Lane", headers.get("x-lane")),
        ("X-Plan", headers.get("x-plan")),
        ("Content-Type", headers.get(CONTENT_TYPE)),
    ] {
        if let Some(value) = header {
            line(&[name.as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
        }
    }
    let chunked = length.is_none();
    if chunked {
        line(&[b"Transfer-Encoding: chunked\r\n"]);
    } else if class.method == Method::POST || length != Some(0) {
        let length = length.unwrap_or(0).to_string();
        line(&[CONTENT_LENGTH.as_str().as_bytes(), b": ", length.as_bytes(), b"\r\n"]);
    }
    let rest = if chunked {
        [b"\r\n", format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
    } else {
        [b"\r\n", body].concat()
    };
    BackendRequest {
        head,
        rest,
        correlation_id: Vec::new(),
        streamed_body: unread.map(|unread| (unread, chunked)),
        _reservation: reservation,
    }
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody { content: ResponseBody::buffered(text), guard: None });
    *reply.status_mut() = status;
    reply
}
