//! Driver of the decision module: turns I/O results into its events and executes its actions. Each request
//! gets exactly one final response, and only from here.

use super::backends::{Attempt, AttemptResponse, Backends};
use super::body::{BodyError, BodySender, MemoryBudget, MemoryReservation, ResponseBody, UnreadBody, Upload};
use super::deadline::Deadline;
use super::exchange::{AttemptFailure, Exchange, IdleConnection};
use super::http::Head;
use crate::{
    Action, BackendEntry, BackendId, BackendState, CallResult, Event, Gateway, Load, Outcome, Reason,
    Request, RequestId, Settings,
};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at, Instant};

/// Poll interval for requests whose body is still being streamed, as their deadline is not known yet.
const STREAMING_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a request's deadline that is left to the decision module to end it.
const DEADLINE_GRACE: Duration = Duration::from_millis(5);
/// Maximum time that readiness waits for discovery after the start.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_secs(1);

/// Monotonic clock in Unix time (ms), as used by the quota counter's windows and the backends' start times.
struct Clock {
    start_unix_ms: f64,
    start: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_unix_ms: unix.as_secs_f64() * 1000.0, start: Instant::now() }
    }

    fn now(&self) -> f64 {
        self.start_unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

/// The final response to a request.
pub enum FinalResponse {
    /// A backend's response.
    Served {
        /// The head.
        head: Head,
        /// The body.
        body: ResponseBody,
    },
    /// Refused; the client may retry.
    Refused {
        /// Suggested retry delay, in ms; 0 for none.
        retry_after_ms: f64,
        /// The reason.
        reason: Reason,
    },
    /// Failed; the request may have been executed.
    Failed,
    /// The request body was not received completely.
    IncompleteBody(BodyError),
}

/// The attempts of a request up to its final response.
#[derive(Clone, Copy, Default)]
pub struct AttemptSummary {
    /// When the first attempt was started.
    pub first_sent: Option<Instant>,
    /// Number of attempts.
    pub attempts: usize,
    /// Backend of the last attempt.
    pub backend: Option<BackendId>,
    /// Whether any attempt may have been executed.
    pub may_have_run: bool,
}

/// The protocol that a program speaks with its backends.
pub trait BackendProtocol {
    /// Appends the headers specific to one attempt, such as the time left and the backend's name.
    fn write_attempt_headers(&self, message: &mut Vec<u8>, backend: &str, time_left: Duration);
    /// Classifies the result of an attempt by its response.
    fn classify_response(&self, head: &Head) -> CallResult;
    /// Whether a response belongs to the request with this correlation id.
    fn matches_request(&self, head: &Head, correlation_id: &[u8]) -> bool;
    /// Whether a backend's error response is forwarded to the client if no later attempt succeeds.
    fn forwards_errors(&self) -> bool;
    /// Whether a backend may execute a request before it has received the whole body.
    fn may_start_early(&self) -> bool;
    /// Classifies the result of an attempt that failed without a complete response.
    fn classify_failure(&self, exchange: &Exchange, failure: AttemptFailure) -> CallResult {
        exchange.classify_failure(failure, self.may_start_early())
    }
    /// Whether the connection may be reused after an exchange.
    fn may_reuse(&self, exchange: &Exchange) -> bool {
        exchange.is_reusable()
    }
    /// Whether an idle connection may be reused.
    fn may_reuse_idle(&self, idle: &IdleConnection) -> bool {
        idle.is_reusable()
    }
}

/// An attempt that has ended: its response is complete, or it has failed.
pub struct EndedAttempt<'a> {
    /// The backend's name.
    pub backend: &'a str,
    /// The label of the request.
    pub label: u64,
    /// How it ended.
    pub result: CallResult,
    /// Time since it was sent, in ms.
    pub took_ms: f64,
}

/// Receives notifications for metrics and logs.
pub trait Observer {
    /// An attempt of a request with this label is sent to the backend of this name.
    fn attempt_sent(&self, _backend: &str, _label: u64) {}
    /// An attempt ended.
    fn attempt_ended(&self, attempt: &EndedAttempt);
    /// A call to the quota counter ended.
    fn counter_call_ended(&self, result: CallResult);
    /// A request was refused.
    fn request_refused(&self, reason: Reason);
    /// The request of an attempt was written completely.
    fn request_written(&self);
    /// The decision module logs a line.
    fn log_line(&self, line: &str);
}

/// A call that adds an amount to a count of the quota counter.
pub struct CounterCall {
    /// The key of the count.
    pub key: u64,
    /// The amount to add.
    pub amount: f64,
    /// Expiry of a count that this call creates, in ms.
    pub lifetime_ms: f64,
    /// When the call was made.
    pub at: Instant,
}

/// The result of a counter call.
pub struct CounterReply {
    /// The key of the count.
    pub key: u64,
    /// The result.
    pub result: CallResult,
    /// The total after the call, if it succeeded.
    pub total: f64,
    /// Duration of the call, in ms.
    pub took_ms: f64,
}

/// A backend reported by discovery. The driver assigns its id.
pub struct DiscoveredBackend {
    /// The backend's name.
    pub name: String,
    /// The backend's address; required unless it is gone.
    pub addr: Option<SocketAddr>,
    /// Its other properties; the id in it is ignored.
    pub entry: BackendEntry,
}

/// A request as it is sent to backends. The headers of each attempt are inserted between `head` and `rest`.
pub struct BackendRequest {
    /// The request line and the headers before those of the attempt.
    pub head: Vec<u8>,
    /// The rest of the head and the buffered body.
    pub rest: Vec<u8>,
    /// The id by which a response names its request; may be empty.
    pub correlation_id: Vec<u8>,
    /// The streamed body of a large request, and whether it is sent with chunked encoding.
    pub streamed_body: Option<(Rc<UnreadBody>, bool)>,
    /// Memory reservation of the body.
    pub _reservation: MemoryReservation,
}

/// Receives the final response to a request.
pub type ResponseReceiver = oneshot::Receiver<(FinalResponse, AttemptSummary)>;

/// The properties of a request on which the decision module decides.
pub struct RequestInfo {
    /// The customer it belongs to.
    pub customer: u64,
    /// The customer's plan, as an index into the settings.
    pub plan: u32,
    /// Its class, as an index into the settings.
    pub class: u32,
    /// Passed to the observer with its attempts.
    pub label: u64,
    /// Kept until the request and all its attempts have ended. While it exists, its class and its pool must keep
    /// their numbers.
    pub holder: Rc<dyn Any>,
    /// Quota units it takes.
    pub units: f64,
    /// Number of gateways that serve this customer.
    pub customer_gateways: f64,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// The backend pool (service) that may serve it.
    pub pool: u32,
    /// The pool that its first attempt prefers; see [`Request::canary_pool`].
    pub canary_pool: Option<u32>,
    /// Bit mask of the zones that may serve it.
    pub zone_mask: u64,
    /// Maximum number of attempts.
    pub max_attempts: usize,
    /// When its response must be sent.
    pub deadline: Deadline,
    /// The client's absolute deadline, if any. It also bounds a streamed request, whose timeout starts with
    /// its last byte.
    pub client_deadline: Option<Instant>,
}

/// An attempt of a request.
struct RequestAttempt {
    driver: Rc<Driver>,
    id: RequestId,
    label: u64,
    number: usize,
    request: Rc<BackendRequest>,
    backend_name: Rc<str>,
    timeout: Duration,
    /// When it was started, or when its streamed body was complete.
    started: Cell<Instant>,
}

impl Attempt for RequestAttempt {
    fn request_bytes(&self, deadline: Instant) -> Vec<u8> {
        let BackendRequest { head, rest, .. } = &*self.request;
        let mut message = Vec::with_capacity(head.len() + rest.len() + 96);
        message.extend_from_slice(head);
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.driver.protocol.write_attempt_headers(&mut message, &self.backend_name, time_left);
        message.extend_from_slice(rest);
        message
    }

    fn take_body(&self) -> Option<(Upload, bool)> {
        self.request.streamed_body.as_ref().and_then(|(body, chunked)| Some((body.take()?, *chunked)))
    }

    fn body_failed(&self, error: BodyError) {
        self.driver.body_failed(self.id, error);
    }

    fn body_written(&self) -> Instant {
        self.started.set(Instant::now());
        self.driver.body_written(self.id, self.number, self.timeout)
    }

    fn request_written(&self) {
        self.driver.observer.request_written();
    }

    fn response_started(&self, head: &Head) -> Option<BodySender> {
        self.driver.response_started(self.id, self.number, head)
    }

    async fn reserve_memory(&self, length: Option<u64>) -> MemoryReservation {
        self.driver.budget.reserve_response(length).await
    }

    fn protocol(&self) -> &dyn BackendProtocol {
        &*self.driver.protocol
    }

    fn correlation_id(&self) -> &[u8] {
        &self.request.correlation_id
    }

    fn is_head(&self) -> bool {
        self.request.head.starts_with(b"HEAD ")
    }
}

/// A health probe.
struct ProbeAttempt {
    request: String,
    protocol: Rc<dyn BackendProtocol>,
}

impl Attempt for ProbeAttempt {
    fn request_bytes(&self, _: Instant) -> Vec<u8> {
        self.request.clone().into_bytes()
    }

    fn take_body(&self) -> Option<(Upload, bool)> {
        None
    }

    fn body_failed(&self, _: BodyError) {}

    fn body_written(&self) -> Instant {
        Instant::now()
    }

    fn request_written(&self) {}

    fn response_started(&self, _: &Head) -> Option<BodySender> {
        None
    }

    async fn reserve_memory(&self, _: Option<u64>) -> MemoryReservation {
        None
    }

    fn protocol(&self) -> &dyn BackendProtocol {
        &*self.protocol
    }

    fn correlation_id(&self) -> &[u8] {
        b""
    }

    fn is_head(&self) -> bool {
        false
    }
}

/// A request without a final response, or with attempts in flight.
struct OpenRequest {
    /// Taken when the final response is sent, or when the client has gone.
    response: Option<oneshot::Sender<(FinalResponse, AttemptSummary)>>,
    summary: AttemptSummary,
    request: Rc<BackendRequest>,
    label: u64,
    _holder: Rc<dyn Any>,
    /// None while its body is being streamed.
    deadline: Option<Instant>,
    budget: Duration,
    client_deadline: Option<Instant>,
    /// Senders that cancel the attempts, by attempt number; none for an attempt that has ended.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    max_attempts: usize,
    /// A backend's error response, forwarded if no attempt succeeds.
    error_response: Option<(Head, ResponseBody)>,
}

impl OpenRequest {
    fn has_attempts_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// Sends the final response, unless one was sent before.
    fn respond(&mut self, response: FinalResponse) {
        if let Some(sender) = self.response.take() {
            let response = match (response, self.error_response.take()) {
                (FinalResponse::Failed | FinalResponse::Refused { .. }, Some((head, body))) => {
                    FinalResponse::Served { head, body }
                }
                (response, _) => response,
            };
            // An attempt in flight may have been executed.
            let may_have_run = self.summary.may_have_run || self.has_attempts_in_flight();
            let summary = AttemptSummary { may_have_run, ..self.summary };
            // Fails only if the client has just gone.
            let _ = sender.send((response, summary));
        }
    }
}

struct Inner {
    gateway: Gateway,
    open: HashMap<RequestId, OpenRequest>,
    listed: HashMap<BackendId, ListedBackend>,
    /// Ids by name, also of backends no longer listed.
    ids: HashMap<String, BackendId>,
    next_request: RequestId,
    /// Buffer reused between events.
    actions: Vec<Action>,
}

struct ListedBackend {
    addr: SocketAddr,
    state: BackendState,
    name: Rc<str>,
}

/// Sends a message to the gateway at a position.
pub type MessageSender = Box<dyn Fn(u32, &[u8])>;

/// What a driver needs to execute actions.
pub struct DriverResources {
    /// The backend connection pool.
    pub backends: Backends,
    /// Makes calls to the quota counter, if there is one.
    pub call_counter: Option<Box<dyn Fn(CounterCall)>>,
    /// Sends messages to other gateways, if there are any.
    pub send_message: Option<MessageSender>,
    /// Memory budget for request and response bodies.
    pub budget: Rc<MemoryBudget>,
    /// The protocol spoken with backends.
    pub protocol: Rc<dyn BackendProtocol>,
    /// Receives notifications for metrics and logs.
    pub observer: Rc<dyn Observer>,
}

/// The driver, shared by the tasks of one thread.
pub struct Driver {
    inner: RefCell<Inner>,
    clock: Clock,
    backends: Backends,
    call_counter: Option<Box<dyn Fn(CounterCall)>>,
    send_message: Option<MessageSender>,
    protocol: Rc<dyn BackendProtocol>,
    observer: Rc<dyn Observer>,
    budget: Rc<MemoryBudget>,
    max_attempts: Cell<usize>,
    hedging: Cell<bool>,
    discovery_synced: Cell<bool>,
    started: Instant,
}

impl Driver {
    /// A driver with a new decision module.
    pub fn new(settings: Settings, seed: u64, resources: DriverResources) -> Rc<Self> {
        let DriverResources { backends, call_counter, send_message, budget, protocol, observer } = resources;
        let clock = Clock::new();
        let (max_attempts, hedging) = (settings.limits.max_attempts as usize, settings.limits.hedging);
        let inner = Inner {
            // Ids start from the clock, so that late responses from before a restart match no current
            // request.
            next_request: (clock.now() as u64) << 16,
            gateway: Gateway::new(settings, seed, clock.now()),
            open: HashMap::new(),
            listed: HashMap::new(),
            ids: HashMap::new(),
            actions: Vec::new(),
        };
        Rc::new(Driver {
            inner: RefCell::new(inner),
            clock,
            backends,
            call_counter,
            send_message,
            protocol,
            observer,
            budget,
            max_attempts: Cell::new(max_attempts),
            hedging: Cell::new(hedging),
            discovery_synced: Cell::new(false),
            started: Instant::now(),
        })
    }

    // ---- Events -------------------------------------------------------------------------------------------

    /// Starts handling a request. The receiver gets its final response.
    pub fn request(
        self: &Rc<Self>, info: &RequestInfo, request: BackendRequest,
    ) -> (RequestId, ResponseReceiver) {
        let (sender, receiver) = oneshot::channel();
        let (budget, body_streams) =
            (info.deadline.remaining(Instant::now()), request.streamed_body.is_some());
        let budget_ms = budget.as_secs_f64() * 1000.0;
        let inner = &mut *self.inner.borrow_mut();
        let id = inner.next_request;
        inner.next_request += 1;
        let open = OpenRequest {
            response: Some(sender),
            summary: AttemptSummary::default(),
            request: Rc::new(request),
            label: info.label,
            _holder: info.holder.clone(),
            deadline: Some(info.deadline.at()).filter(|_| !body_streams),
            budget,
            client_deadline: info.client_deadline,
            attempts: Vec::new(),
            max_attempts: info.max_attempts,
            error_response: None,
        };
        inner.open.insert(id, open);
        let event = Request {
            id,
            customer: info.customer,
            plan: info.plan,
            class: info.class,
            units: info.units,
            budget_ms,
            customer_gateways: info.customer_gateways,
            is_retry: info.is_retry,
            body_streams,
            pool: info.pool,
            canary_pool: info.canary_pool,
            zone_mask: info.zone_mask,
        };
        self.handle(inner, Event::Request(event));
        (id, receiver)
    }

    /// Waits for the final response. The decision module normally ends a request before its deadline; this is
    /// the fallback.
    pub async fn await_response(
        self: &Rc<Self>, id: RequestId, mut receiver: ResponseReceiver,
    ) -> (FinalResponse, AttemptSummary) {
        loop {
            let deadline = self.inner.borrow().open.get(&id).and_then(|open| open.deadline);
            let wait_until = deadline.map_or_else(
                || Instant::now() + STREAMING_POLL_INTERVAL,
                |deadline| deadline + DEADLINE_GRACE,
            );
            match timeout_at(wait_until, &mut receiver).await {
                Ok(response) => {
                    return response.unwrap_or((FinalResponse::Failed, AttemptSummary::default()))
                }
                Err(_) if deadline.is_none() => {}
                Err(_) => {
                    self.cancel(id);
                    return receiver.try_recv().unwrap_or((FinalResponse::Failed, AttemptSummary::default()));
                }
            }
        }
    }

    /// The body of a request was not received completely.
    fn body_failed(self: &Rc<Self>, id: RequestId, error: BodyError) {
        self.drop_request(id, FinalResponse::IncompleteBody(error));
    }

    /// The streamed body of a request was written. Its timeout starts now; returns the attempt's deadline.
    fn body_written(self: &Rc<Self>, id: RequestId, attempt: usize, timeout: Duration) -> Instant {
        let inner = &mut *self.inner.borrow_mut();
        let attempt_deadline = Instant::now() + timeout;
        let Some(open) = inner.open.get_mut(&id) else { return attempt_deadline };
        let deadline = Instant::now() + open.budget;
        let deadline = open.client_deadline.map_or(deadline, |at| at.min(deadline));
        open.deadline = Some(deadline);
        self.handle(inner, Event::BodySent { id, attempt: attempt as u8 });
        attempt_deadline.min(deadline)
    }

    /// A streamed response has started. Returns the sender of its body if the client still waits.
    fn response_started(self: &Rc<Self>, id: RequestId, attempt: usize, head: &Head) -> Option<BodySender> {
        let inner = &mut *self.inner.borrow_mut();
        let open = inner.open.get_mut(&id).filter(|open| open.response.is_some())?;
        let (sender, body) = ResponseBody::stream(head.length);
        open.error_response = None;
        open.respond(FinalResponse::Served { head: head.clone(), body });
        self.handle(inner, Event::ResponseStarted { id, attempt: attempt as u8 });
        Some(sender)
    }

    /// Ends a request whose client has gone or whose deadline has passed.
    pub fn cancel(self: &Rc<Self>, id: RequestId) {
        self.drop_request(id, FinalResponse::Failed);
    }

    fn drop_request(self: &Rc<Self>, id: RequestId, response: FinalResponse) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(open) = inner.open.get_mut(&id).filter(|open| open.response.is_some()) {
            open.respond(response);
            if !open.has_attempts_in_flight() {
                inner.open.remove(&id);
            }
            self.handle(inner, Event::ClientGone { id });
        }
    }

    /// Fails all open requests, at shutdown.
    pub fn fail_all(self: &Rc<Self>) {
        let ids: Vec<_> = self.inner.borrow().open.keys().copied().collect();
        ids.into_iter().for_each(|id| self.cancel(id));
    }

    fn attempt_ended(
        self: &Rc<Self>, id: RequestId, attempt: usize, backend: BackendId, took_ms: f64, result: CallResult,
        response: Option<AttemptResponse>,
    ) {
        let inner = &mut *self.inner.borrow_mut();
        let Some(open) = inner.open.get_mut(&id) else { return };
        open.attempts[attempt] = None;
        let mut units = None;
        open.summary.may_have_run |= !result.never_ran();
        match response {
            Some(AttemptResponse { head, body: Some((body, memory)), .. }) if result == CallResult::Ok => {
                // The charged units count only for the final response.
                units = head.units.filter(|_| open.response.is_some());
                open.error_response = None;
                open.respond(FinalResponse::Served {
                    head,
                    body: ResponseBody::Buffered { bytes: body, _reservation: memory },
                });
            }
            Some(AttemptResponse { head, .. }) if result == CallResult::Ok => units = head.units,
            Some(AttemptResponse { head, body: Some((body, memory)), .. })
                if result == CallResult::Error && self.protocol.forwards_errors() =>
            {
                open.error_response =
                    Some((head, ResponseBody::Buffered { bytes: body, _reservation: memory }));
            }
            _ => {}
        }
        let is_final = open.response.is_none();
        if is_final && !open.has_attempts_in_flight() {
            inner.open.remove(&id);
        }
        let outcome = Outcome {
            id,
            attempt: attempt as u8,
            backend,
            result,
            is_final,
            units,
            took_ms,
            load: Load::default(),
        };
        self.handle(inner, Event::Outcome(outcome));
    }

    /// A call to the quota counter ended.
    pub fn counter_replied(self: &Rc<Self>, reply: CounterReply) {
        let CounterReply { key, result, total, took_ms } = reply;
        self.observer.counter_call_ended(result);
        self.handle(&mut self.inner.borrow_mut(), Event::Counted { key, result, total, took_ms });
    }

    /// A message from another gateway was received.
    pub fn message_received(self: &Rc<Self>, from: u32, body: Vec<u8>) {
        self.handle(&mut self.inner.borrow_mut(), Event::Message { from, body });
    }

    /// Membership changed: the number of gateways present, and whether they are a majority.
    pub fn membership_changed(self: &Rc<Self>, present: u32, majority: bool) {
        self.handle(&mut self.inner.borrow_mut(), Event::Gateways { present, majority });
    }

    /// The decision module's current time, in ms.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Applies the full backend list from discovery, or changes to it.
    pub fn update_backends(self: &Rc<Self>, full: bool, backends: Vec<DiscoveredBackend>) {
        let inner = &mut *self.inner.borrow_mut();
        let mut entries = Vec::with_capacity(backends.len());
        for DiscoveredBackend { name, addr, entry } in backends {
            let id = backend_id(&mut inner.ids, &name);
            let state = entry.state;
            entries.push(BackendEntry { id, ..entry });
            match addr {
                Some(addr) if state != BackendState::Gone => {
                    let previous = inner.listed.insert(id, ListedBackend { addr, state, name: name.into() });
                    if previous.is_some_and(|previous| previous.addr != addr) {
                        self.backends.close_idle(id);
                    }
                }
                _ => {
                    inner.listed.remove(&id);
                    self.backends.close_idle(id);
                }
            }
        }
        if full {
            inner.listed.retain(|id, _| {
                let is_listed = entries.iter().any(|entry| entry.id == *id);
                if !is_listed {
                    self.backends.close_idle(*id);
                }
                is_listed
            });
        }
        self.handle(inner, Event::List { full, entries });
    }

    /// Discovery is up to date.
    pub fn discovery_synced(&self) {
        self.discovery_synced.set(true);
    }

    /// True once requests can be served: a backend is ready, and discovery is up to date or a second has
    /// passed since the start.
    pub fn ready(&self) -> bool {
        let list_usable = self.discovery_synced.get() || self.started.elapsed() > MAX_DISCOVERY_WAIT;
        list_usable && self.inner.borrow().listed.values().any(|backend| backend.state == BackendState::Ready)
    }

    /// The name of a backend, empty if unknown. A linear search; meant for logs.
    pub fn backend_name(&self, backend: BackendId) -> String {
        let inner = self.inner.borrow();
        let name = inner.ids.iter().find(|(_, id)| **id == backend).map(|(name, _)| name.clone());
        name.unwrap_or_default()
    }

    /// The number of listed backends, and of those out of rotation.
    pub fn backend_counts(&self) -> (usize, usize) {
        let inner = self.inner.borrow();
        (inner.listed.len(), inner.gateway.out_of_rotation(self.clock.now()))
    }

    /// Applies new settings. They can't add peers or a counter that were not there at the start.
    pub fn apply_settings(self: &Rc<Self>, mut settings: Settings, connect_ms: f64, idle_ms: f64) {
        self.backends.set_timeouts(connect_ms, idle_ms);
        settings.counter = settings.counter.filter(|_| self.call_counter.is_some());
        settings.limits.peers &= self.send_message.is_some();
        self.max_attempts.set(settings.limits.max_attempts as usize);
        self.hedging.set(settings.limits.hedging);
        self.handle(&mut self.inner.borrow_mut(), Event::Settings(settings));
    }

    /// The backend connection pool.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.backends.close_expired();
    }

    // ---- Actions ------------------------------------------------------------------------------------------

    fn handle(self: &Rc<Self>, inner: &mut Inner, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = std::mem::take(&mut inner.actions);
        while let Some(event) = events.pop_front() {
            inner.gateway.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(inner, action, &mut events);
            }
        }
        inner.actions = actions;
    }

    fn act(self: &Rc<Self>, inner: &mut Inner, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Send { id, backend, timeout_ms } => {
                if let Some(attempt) = self.send(inner, id, backend, timeout_ms) {
                    let outcome = Outcome {
                        id,
                        attempt,
                        backend,
                        result: CallResult::NotSent,
                        is_final: inner.open.get(&id).is_none_or(|open| open.response.is_none()),
                        units: None,
                        took_ms: 0.0,
                        load: Load::default(),
                    };
                    events.push_back(Event::Outcome(outcome));
                }
            }
            Action::Cancel { id, attempt } => {
                let attempt =
                    inner.open.get_mut(&id).and_then(|open| open.attempts.get_mut(attempt as usize));
                if let Some(cancel) = attempt {
                    // The attempt's task closes the connection and then reports the outcome. Until then a
                    // sender without a receiver marks the attempt as in flight.
                    if let Some(sender) = cancel.replace(oneshot::channel().0) {
                        let _ = sender.send(());
                    }
                }
            }
            Action::Refuse { id, retry_after_ms, reason } => {
                self.observer.request_refused(reason);
                respond(inner, id, FinalResponse::Refused { retry_after_ms, reason });
            }
            Action::Fail { id } => respond(inner, id, FinalResponse::Failed),
            Action::Timer { token, after_ms } => {
                let driver = self.clone();
                tokio::task::spawn_local(async move {
                    sleep(duration(after_ms)).await;
                    driver.handle(&mut driver.inner.borrow_mut(), Event::Timer { token });
                });
            }
            Action::Probe { backend } => self.probe(inner, backend),
            Action::Count { key, amount, lifetime_ms } => {
                if let Some(call) = &self.call_counter {
                    call(CounterCall { key, amount, lifetime_ms, at: Instant::now() });
                }
            }
            // The discovery stream is always open.
            Action::Watch => {}
            Action::SendMessage { to, body } => {
                if let Some(send_message) = &self.send_message {
                    send_message(to, &body);
                }
            }
            Action::Log { line } => self.observer.log_line(&line),
        }
    }

    /// Starts an attempt. Returns its number if it can't be sent: past the attempt limit or the deadline, for
    /// a request that has ended, to an unlisted backend, without its body, or while another one is in flight
    /// without hedging.
    fn send(
        self: &Rc<Self>, inner: &mut Inner, id: RequestId, backend: BackendId, timeout_ms: f64,
    ) -> Option<u8> {
        let Some(open) = inner.open.get_mut(&id) else { return Some(0) };
        let number = open.attempts.len();
        let now = Instant::now();
        let timeout = duration(timeout_ms);
        let attempt_deadline = open.deadline.map_or(now + timeout, |deadline| deadline.min(now + timeout));
        let listed = inner.listed.get(&backend);
        let allowed = open.response.is_some()
            && number < self.max_attempts.get().min(open.max_attempts)
            && attempt_deadline > now
            // A streamed body can be sent only once.
            && open.request.streamed_body.as_ref().is_none_or(|(body, _)| body.is_available())
            && (self.hedging.get() || !open.has_attempts_in_flight());
        let Some(listed) = listed.filter(|_| allowed) else {
            open.attempts.push(None);
            return Some(number as u8);
        };
        let (cancel, mut cancelled) = oneshot::channel();
        open.attempts.push(Some(cancel));
        open.summary = AttemptSummary {
            first_sent: open.summary.first_sent.or(Some(now)),
            attempts: number + 1,
            backend: Some(backend),
            may_have_run: open.summary.may_have_run,
        };
        let addr = listed.addr;
        let attempt = RequestAttempt {
            driver: self.clone(),
            id,
            label: open.label,
            number,
            request: open.request.clone(),
            backend_name: listed.name.clone(),
            timeout,
            started: Cell::new(now),
        };
        self.observer.attempt_sent(&attempt.backend_name, attempt.label);
        tokio::task::spawn_local(async move {
            let driver = &attempt.driver;
            let (result, response) = tokio::select! {
                biased;
                ended = driver.backends.attempt(backend, addr, &attempt, attempt_deadline) => ended,
                // Dropping the attempt's future closes its connection.
                _ = &mut cancelled => (CallResult::Cancelled, None),
            };
            let streamed = response.as_ref().filter(|response| response.body.is_none());
            let took = streamed.map(|response| response.took);
            let took_ms = took.unwrap_or_else(|| attempt.started.get().elapsed()).as_secs_f64() * 1000.0;
            let (name, label) = (&*attempt.backend_name, attempt.label);
            driver.observer.attempt_ended(&EndedAttempt { backend: name, label, result, took_ms });
            driver.attempt_ended(id, number, backend, took_ms, result, response);
        });
        None
    }

    fn probe(self: &Rc<Self>, inner: &Inner, backend: BackendId) {
        let Some(addr) = inner.listed.get(&backend).map(|listed| listed.addr) else { return };
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let start = Instant::now();
            let request = format!("GET /health/live HTTP/1.1\r\nHost: {addr}\r\n\r\n");
            let attempt = ProbeAttempt { request, protocol: driver.protocol.clone() };
            let deadline = start + driver.backends.connect_timeout();
            let (result, _) = driver.backends.attempt(backend, addr, &attempt, deadline).await;
            let took_ms = start.elapsed().as_secs_f64() * 1000.0;
            let event = Event::Probed { backend, result, took_ms, load: Load::default() };
            driver.handle(&mut driver.inner.borrow_mut(), event);
        });
    }
}

fn respond(inner: &mut Inner, id: RequestId, response: FinalResponse) {
    if let Some(open) = inner.open.get_mut(&id) {
        open.respond(response);
        if !open.has_attempts_in_flight() {
            inner.open.remove(&id);
        }
    }
}

/// Converts milliseconds from the decision module, which may be negative or huge, with a limit of a day.
fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 86_400.0))
}

/// The id of a backend. Derived from its name, so that it stays the same after a restart.
fn backend_id(ids: &mut HashMap<String, BackendId>, name: &str) -> BackendId {
    if let Some(id) = ids.get(name) {
        return *id;
    }
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let mut id = hasher.finish() as BackendId;
    while ids.values().any(|taken| *taken == id) {
        id = id.wrapping_add(1);
    }
    ids.insert(name.to_owned(), id);
    id
}
