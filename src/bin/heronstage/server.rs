//! Clients: takes in their requests by HTTP/1.1 and writes the answers.

use crate::config::Config;
use crate::figures::{End, Figures, Place, Present};
use crate::logs::{Names, REQUEST};
use crate::status::Phase;
use crate::tables::{Class, Tables};
use bytes::{Bytes, BytesMut};
use cherrytally::plane::deadline::{ClientDeadline, Deadline};
use cherrytally::plane::driver::{
    AttemptSummary, BackendRequest, Driver, FinalResponse, RequestInfo, ResponseReceiver,
};
use cherrytally::plane::room::{
    BodyError, MemoryBudget, MemoryReservation, ResponseBody, UnreadBody, Upload, MAX_BUFFERED_BYTES,
    MAX_REQUEST_BODY_BYTES,
};
use cherrytally::plane::seldom::{warn_limited, WarningLimiter};
use cherrytally::RequestId;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, ALLOW, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
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

/// A client that has not sent a whole head by then loses its connection, idle or not. Anyone may connect and
/// say nothing, and is owed a close within 3 s; a client's idle connection may be closed after 2 s.
const HEAD_TIME: Duration = Duration::from_millis(2500);
/// And a body must have come, or be coming at a fair pace, so long after its connection came up, or after its head
/// where others came before it on the connection: as with the head, an answer is owed within 3 s.
const WHOLE_TIME: Duration = Duration::from_millis(2750);
/// So long after a drain began connections are closed between requests. Whatever asks before has its answer or
/// is 2 s old when the front may expect the last one gone, 4 s after the call.
const DRAIN_IDLE: Duration = Duration::from_millis(1750);
/// A body waits so long for room in the budget.
const ROOM_TIME: Duration = Duration::from_millis(1500);
/// What is read from a client at once, and the longest head.
const READ: usize = 16 * 1024;
/// A customer's number stays below this.
const CUSTOMERS: u64 = 1 << 33;

/// What all connections of clients share.
pub struct Server {
    driver: Rc<Driver>,
    tables: RefCell<Tables>,
    figures: Rc<Figures>,
    /// How customers are named in the log.
    names: Names,
    /// Requests taken in and not yet ended.
    open: Cell<usize>,
    budget: Rc<MemoryBudget>,
    drain: watch::Sender<Drain>,
    busy: Cell<usize>,
    connections: Cell<usize>,
    /// Places for connections that are free.
    places: Arc<Semaphore>,
}

/// Whether clients are asked to go.
#[derive(Clone, Copy)]
enum Drain {
    /// Clients are taken in.
    No,
    /// Unready; idle connections are closed from then on.
    Until(Instant),
    /// The same, and the program ends: there is no way back.
    Ends(Instant),
}

impl Drain {
    /// From when on connections are closed between requests.
    fn closes(self) -> Option<Instant> {
        match self {
            Drain::No => None,
            Drain::Until(at) | Drain::Ends(at) => Some(at),
        }
    }
}

/// Hears of drains.
#[derive(Clone)]
pub struct Drains(watch::Receiver<Drain>);

impl Drains {
    /// Whether the gateway drains.
    pub fn draining(&mut self) -> bool {
        self.0.borrow_and_update().closes().is_some()
    }

    /// Waits for a change; false if there will be none.
    pub async fn changed(&mut self) -> bool {
        self.0.changed().await.is_ok()
    }
}

/// An answer's body, and the request as long as it streams.
pub struct Replied {
    content: ResponseBody,
    ticket: Option<Ticket>,
}

impl Body for Replied {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let frame = ready!(Pin::new(&mut self.content).poll_frame(cx));
        // With the last bytes of a known length nobody asks for more.
        let last = match &frame {
            Some(Ok(_)) if self.content.size_hint().exact() != Some(0) => None,
            Some(Ok(_)) | None => Some(End::Fulfilled),
            Some(Err(_)) => Some(End::Faulted),
        };
        if let Some((end, mut ticket)) = last.and_then(|end| Some((end, self.ticket.take()?))) {
            ticket.end(end);
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

type Reply = Response<Replied>;

/// Why a request never reaches the decision. 429 and 503 promise that trying again is harmless; what is the client's
/// fault is answered with neither.
struct Fault {
    status: StatusCode,
    text: &'static str,
    /// The method that the class wants.
    allow: Option<Method>,
    /// When trying again may do better, in seconds.
    retry_after: Option<u32>,
}

impl From<BodyError> for Fault {
    fn from(short: BodyError) -> Self {
        match short {
            BodyError::TooLarge => Fault::new(StatusCode::PAYLOAD_TOO_LARGE, "body over 40 MiB\n"),
            BodyError::Broken => Fault::new(StatusCode::BAD_REQUEST, "body not whole\n"),
            BodyError::Slow => Fault::new(StatusCode::REQUEST_TIMEOUT, "body not whole in time\n"),
        }
    }
}

impl Fault {
    fn new(status: StatusCode, text: &'static str) -> Self {
        Fault { status, text, allow: None, retry_after: None }
    }

    /// Nothing of it was read: trying again is harmless.
    fn no_room() -> Self {
        let text = "no room for the body now\n";
        Fault { retry_after: Some(1), ..Fault::new(StatusCode::SERVICE_UNAVAILABLE, text) }
    }

    fn reply(self) -> Reply {
        let mut reply = plain(self.status, self.text);
        let allow = self.allow.and_then(|method| HeaderValue::try_from(method.as_str()).ok());
        reply.headers_mut().extend(allow.map(|allow| (ALLOW, allow)));
        reply.headers_mut().extend(self.retry_after.map(|after| (RETRY_AFTER, after.into())));
        reply
    }
}

/// A request's line in the log, where such lines are written.
struct Line {
    span: Span,
    body: Duration,
    room: Duration,
    /// When its last byte came.
    whole: Instant,
    course: AttemptSummary,
    first_byte: Option<Duration>,
    reason: Option<&'static str>,
}

/// Counts a request as long as its answer is not given; tells the driver if the client goes first.
struct Ticket {
    server: Rc<Server>,
    /// When its head was read.
    began: Instant,
    open: Option<(RequestId, Rc<Class>)>,
    line: Option<Box<Line>>,
}

impl Ticket {
    fn new(server: &Rc<Server>) -> Self {
        server.busy.set(server.busy.get() + 1);
        Ticket { server: server.clone(), began: Instant::now(), open: None, line: None }
    }

    fn open(&mut self, id: RequestId, class: Rc<Class>) {
        self.server.open.set(self.server.open.get() + 1);
        self.open = Some((id, class));
    }

    /// The request has its final answer, or its client has gone.
    fn end(&mut self, end: End) {
        if self.open.is_some() {
            self.end_at(end, Instant::now());
        }
    }

    fn end_at(&mut self, end: End, now: Instant) {
        let Some((id, class)) = self.open.take() else { return };
        self.server.open.set(self.server.open.get() - 1);
        let took = now.duration_since(self.began);
        class.ends.count(end, took);
        if end == End::Gone {
            self.server.driver.cancel(id);
        }
        if let Some(line) = self.line.take() {
            line.write(end, took, &self.server.driver);
        }
    }

    /// The module has ended the request, now.
    fn decided(
        &mut self, whole: Instant, deadline: Option<Deadline>, course: AttemptSummary, answer: &FinalResponse,
    ) -> Instant {
        let figures = &self.server.figures;
        let now = Instant::now();
        figures.waited(Place::Decision, course.first_sent.unwrap_or(now).duration_since(whole));
        let mut first_byte = None;
        if let Some(sent) = course.first_sent {
            figures.waited(Place::Servers, now.duration_since(sent));
        }
        if let Some(deadline) = deadline {
            figures.left(course.first_sent.map(|sent| deadline.remaining(sent)), deadline.remaining(now));
            if deadline.expired(now) && !matches!(answer, FinalResponse::Served { .. }) {
                figures.expired(if course.first_sent.is_some() { Place::Servers } else { Place::Decision });
            }
        }
        if let (FinalResponse::Served { .. }, Some((_, class))) = (answer, &self.open) {
            let took = now.duration_since(whole);
            class.ends.first_byte(took);
            first_byte = Some(took);
        }
        if let Some(line) = &mut self.line {
            line.course = course;
            line.first_byte = first_byte;
            if let FinalResponse::Refused { reason, .. } = answer {
                line.reason = Some(reason.name());
            }
        }
        now
    }
}

impl Line {
    fn write(&self, end: End, took: Duration, driver: &Driver) {
        let ms = |time: Duration| (time.as_secs_f64() * 1e6).round() / 1e3;
        let until = |from: Instant, to: Instant| ms(to.saturating_duration_since(from));
        let AttemptSummary { first_sent: sent, attempts, backend: server, .. } = self.course;
        let now = Instant::now();
        tracing::debug!(
            target: REQUEST,
            parent: &self.span,
            outcome = end.name(),
            reason = self.reason,
            attempts,
            server = server.map(|server| driver.backend_name(server)),
            took_ms = ms(took),
            body_ms = ms(self.body),
            room_ms = ms(self.room),
            decision_ms = until(self.whole, sent.unwrap_or(now)),
            servers_ms = sent.map(|sent| until(sent, now)),
            first_byte_ms = self.first_byte.map(ms),
            "request ended"
        );
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.server.busy.set(self.server.busy.get() - 1);
        self.end(End::Gone);
    }
}

impl Server {
    pub fn new(
        driver: Rc<Driver>, tables: Tables, figures: Rc<Figures>, names: Names, budget: Rc<MemoryBudget>,
        places: Arc<Semaphore>,
    ) -> Rc<Self> {
        let (tables, drain) = (RefCell::new(tables), watch::Sender::new(Drain::No));
        let (open, busy, connections) = Default::default();
        Rc::new(Server { driver, tables, figures, names, open, budget, drain, busy, connections, places })
    }

    /// Takes over the settings of another configuration, all or none of them. What is open goes on by the former
    /// ones.
    pub fn retune(&self, config: &Config) -> Result<(), String> {
        let mut settings = config.settings.clone();
        self.tables.borrow_mut().take(&config.classes, &config.plans, &mut settings, &self.figures)?;
        self.driver.apply_settings(settings, config.connect_ms, config.idle_ms);
        Ok(())
    }

    /// The longest deadline of what may be open, in ms.
    pub fn longest_ms(&self) -> f64 {
        self.tables.borrow().longest_ms()
    }

    /// What stands so now.
    pub fn present(&self) -> Present {
        let (listed, avoided) = self.driver.backend_counts();
        Present { open: self.open.get(), connections: self.connections.get(), listed, avoided }
    }

    /// Whether clients are to come, and if not why.
    pub fn phase(&self) -> Phase {
        match *self.drain.borrow() {
            Drain::No if self.driver.ready() => Phase::Ready,
            Drain::No => Phase::Unready,
            Drain::Until(_) => Phase::Draining,
            Drain::Ends(_) => Phase::Ending,
        }
    }

    /// To hear of drains.
    pub fn drains(&self) -> Drains {
        Drains(self.drain.subscribe())
    }

    /// From now on the gateway is unready, asks clients to go with each answer, and soon closes idle
    /// connections. A drain under way goes on as it is.
    pub fn drain(&self) {
        self.drain.send_if_modified(|drain| {
            let begins = matches!(drain, Drain::No);
            if begins {
                *drain = Drain::Until(Instant::now() + DRAIN_IDLE);
                tracing::info!("draining");
            }
            begins
        });
    }

    /// Takes clients again after a drain. False if the program is ending.
    pub fn resume(&self) -> bool {
        self.drain.send_if_modified(|drain| {
            let ends = matches!(drain, Drain::Until(_));
            if ends {
                *drain = Drain::No;
                tracing::info!("the drain has ended");
            }
            ends
        });
        !matches!(*self.drain.borrow(), Drain::Ends(_))
    }

    /// Drains for good, in this time or what is left of a drain under way. Returns when idle connections are
    /// closed.
    pub fn end(&self, idle: Duration) -> Instant {
        self.drain();
        let mut closes = Instant::now() + idle;
        self.drain.send_modify(|drain| {
            closes = drain.closes().map_or(closes, |at| at.min(closes));
            *drain = Drain::Ends(closes);
        });
        closes
    }

    /// True if clients are to come.
    pub fn ready(&self) -> bool {
        self.phase() == Phase::Ready
    }

    /// True while a request has no answer.
    pub fn busy(&self) -> bool {
        self.busy.get() > 0
    }

    /// Accepts clients until dropped. With all places taken, further ones wait in the listener's queue, so
    /// that the program never runs out of descriptors.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let seldom = WarningLimiter::default();
        loop {
            let Ok(place) = self.places.clone().acquire_owned().await else { return };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn_limited!(seldom, "accept", e);
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let server = self.clone();
            tokio::task::spawn_local(async move {
                server.connections.set(server.connections.get() + 1);
                server.clone().connection(stream).await;
                server.connections.set(server.connections.get() - 1);
                drop(place);
            });
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let came_up = Cell::new(Some(Instant::now()));
        let service = service_fn(|request| {
            let server = self.clone();
            let whole_by = came_up.take().unwrap_or_else(Instant::now) + WHOLE_TIME;
            async move { Ok::<_, Infallible>(server.reply(request, whole_by).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(READ)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        // A client that breaks off or sends no HTTP is its own affair.
        tokio::select! {
            _ = connection.as_mut() => return,
            () = self.drained() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    /// Waits until a drain closes idle connections.
    async fn drained(&self) {
        let mut drain = self.drain.subscribe();
        loop {
            let closes = drain.borrow_and_update().closes();
            tokio::select! {
                () = sleep_until(closes.unwrap_or_else(Instant::now)), if closes.is_some() => return,
                // The sender lives as long as the server.
                _ = drain.changed() => {}
            }
        }
    }

    async fn reply(self: &Rc<Self>, request: Request<Incoming>, whole_by: Instant) -> Reply {
        let mut reply = match self.answer(request, whole_by, Ticket::new(self)).await {
            Ok(reply) => reply,
            Err(fault) => {
                self.figures.undecided(fault.status.as_u16());
                fault.reply()
            }
        };
        // With all places taken a client is asked to go: those that wait to be accepted would starve behind
        // connections that are kept idle.
        if self.drain.borrow().closes().is_some() || self.places.available_permits() == 0 {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn answer(
        &self, request: Request<Incoming>, whole_by: Instant, mut ticket: Ticket,
    ) -> Result<Reply, Fault> {
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
        let (mut asked, stated, class) =
            self.read(&parts.method, &parts.uri, &parts.headers, ticket.began)?;
        let mut upload = Upload::new(body, whole_by, stated.absolute());
        let size = upload.size();
        if size.is_some_and(|size| size > MAX_REQUEST_BODY_BYTES) {
            return Err(BodyError::TooLarge.into());
        }
        let part = match size {
            Some(0) => None,
            _ => {
                let by = stated.cap(Instant::now() + ROOM_TIME);
                let room = timeout_at(by, self.budget.reserve_request(size)).await;
                room.map_err(|_| self.expired(&stated, Place::Room).unwrap_or_else(Fault::no_room))?
            }
        };
        // One without a body waits in neither place.
        let in_room = if size == Some(0) { ticket.began } else { Instant::now() };
        let mut held = BytesMut::new();
        let more = loop {
            let piece = upload.next_bytes().await;
            match piece.map_err(|short| self.expired(&stated, Place::Body).unwrap_or_else(|| short.into()))? {
                None => break None,
                Some(piece) => held.extend_from_slice(&piece),
            }
            if held.len() > MAX_BUFFERED_BYTES {
                break Some(Rc::new(UnreadBody::new(upload)));
            }
        };
        // A request's time counts from its last byte.
        let whole = Instant::now();
        asked.deadline = stated.deadline(whole);
        if size != Some(0) {
            self.figures.waited(Place::Room, in_room.duration_since(ticket.began));
            self.figures.waited(Place::Body, whole.duration_since(in_room));
        }
        // The time of a body that streams counts from its end.
        let deadline = Some(asked.deadline).filter(|_| more.is_none());
        let length = if more.is_some() { size } else { Some(held.len() as u64) };
        let work = work(&class, &parts.uri, &parts.headers, &held, length, more.clone(), part);
        drop(held);
        let ((id, answer), span) = self.taken(&asked, &class, work);
        ticket.open(id, class);
        let (body, room) = (whole.duration_since(in_room), in_room.duration_since(ticket.began));
        let (course, first_byte, reason) = Default::default();
        let line = |span| Box::new(Line { span, body, room, whole, course, first_byte, reason });
        ticket.line = span.map(line);
        let (answer, course) = self.driver.await_response(id, answer).await;
        let now = ticket.decided(whole, deadline, course, &answer);
        if let Some(upload) = more.and_then(|more| more.take()) {
            tokio::task::spawn_local(upload.drain());
        }
        Ok(match answer {
            FinalResponse::Served { head, body: content } => {
                let ticket = match &content {
                    ResponseBody::Buffered { .. } => {
                        ticket.end_at(End::Fulfilled, now);
                        None
                    }
                    // It ends with the stream.
                    ResponseBody::Stream(..) => Some(ticket),
                };
                let mut reply = Response::new(Replied { content, ticket });
                let content_type = head.content_type.and_then(|t| HeaderValue::from_maybe_shared(t).ok());
                if let Some(content_type) = content_type {
                    reply.headers_mut().insert(CONTENT_TYPE, content_type);
                }
                reply
            }
            FinalResponse::Refused { retry_after_ms, .. } => {
                ticket.end_at(End::Throttled, now);
                let mut reply = plain(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless\n");
                if retry_after_ms > 0.0 {
                    let seconds = format!("{:.3}", retry_after_ms / 1000.0);
                    reply.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
                }
                reply
            }
            FinalResponse::Failed => {
                ticket.end_at(End::Faulted, now);
                plain(StatusCode::BAD_GATEWAY, "failed; it may have run\n")
            }
            FinalResponse::IncompleteBody(short) => return Err(short.into()),
        })
    }

    /// The answer to a request whose time was over before it was whole: it was sent nowhere.
    fn expired(&self, stated: &ClientDeadline, place: Place) -> Option<Fault> {
        stated.expired(Instant::now()).then(|| {
            self.figures.expired(place);
            Fault::new(StatusCode::TOO_MANY_REQUESTS, "its time is over; trying again is harmless\n")
        })
    }

    /// Hands a request to the driver, in a span of its own where such are written.
    fn taken(
        &self, asked: &RequestInfo, class: &Class, work: BackendRequest,
    ) -> ((RequestId, ResponseReceiver), Option<Span>) {
        if !tracing::enabled!(target: REQUEST, Level::DEBUG) {
            return (self.driver.request(asked, work), None);
        }
        let (customer, plan) = (self.names.customer(asked.customer), asked.plan as usize);
        let span = tracing::debug_span!(
            target: REQUEST,
            "request",
            id = tracing::field::Empty,
            class = class.name,
            plan = self.tables.borrow().plan_name(plan),
            customer,
            units = asked.units,
            repeat = asked.is_retry,
        );
        let (id, answer) = span.in_scope(|| self.driver.request(asked, work));
        span.record("id", id);
        ((id, answer), Some(span))
    }

    /// Reads what a request says of itself. What is wrong with it is the client's fault, and never a refusal.
    fn read(
        &self, method: &Method, uri: &Uri, headers: &HeaderMap, now: Instant,
    ) -> Result<(RequestInfo, ClientDeadline, Rc<Class>), Fault> {
        let lane = uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
        let tables = self.tables.borrow();
        let Some(class) = tables.class(lane) else {
            return Err(Fault::new(StatusCode::NOT_FOUND, "no such class\n"));
        };
        if *method != class.method {
            let allow = Some(class.method.clone());
            return Err(Fault {
                status: StatusCode::METHOD_NOT_ALLOWED,
                text: "wrong method\n",
                allow,
                retry_after: None,
            });
        }
        let bad = |what| Fault::new(StatusCode::BAD_REQUEST, what);
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
        let stated = ClientDeadline::from_headers(headers, SystemTime::now(), now).map_err(bad)?;
        let account = uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("account=")));
        let account = account.filter(|a| a.len() == 16 && a.bytes().all(|b| b.is_ascii_hexdigit()));
        let account = account.and_then(|a| u64::from_str_radix(a, 16).ok()).filter(|a| *a < CUSTOMERS);
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
        let asked = RequestInfo {
            customer,
            plan: plan as u32,
            class: class.number,
            units,
            customer_gateways: spread,
            is_retry: text("x-resent") == Some("1"),
            pool: 0,
            zone_mask: u64::MAX,
            max_attempts: usize::MAX,
            deadline: stated.deadline(now),
            client_deadline: stated.absolute(),
        };
        Ok((asked, stated, class))
    }
}

/// The request as a backend gets it.
fn work(
    class: &Class, uri: &Uri, headers: &HeaderMap, body: &[u8], length: Option<u64>,
    more: Option<Rc<UnreadBody>>, part: MemoryReservation,
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
        streamed_body: more.map(|more| (more, chunked)),
        _reservation: part,
    }
}

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Replied { content: ResponseBody::buffered(text), ticket: None });
    *reply.status_mut() = status;
    reply
}
