//! Drives the decision module: turns what happens into its events and carries out its actions. It alone
//! answers a request, and answers it once.

use super::backends::{Answered, Attempt, Backends};
use super::deadline::Deadline;
use super::exchange::{End, Exchange, Idle};
use super::http::Head;
use super::room::{Budget, Content, More, Part, Short, StreamTo, Upload};
use crate::{
    Action, BackendEntry, BackendId, BackendState, CallResult as Ended, Event, Gateway, Load, Outcome,
    Reason, Request, RequestId, Settings,
};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at, Instant};

/// How often a request whose body streams is looked at: its end is not known before that.
const LOOK: Duration = Duration::from_secs(1);

/// Unix time in ms that never goes back: gateways name the counter's windows by it, and it is the clock of
/// `started_ms`.
struct Clock {
    unix_ms: f64,
    at: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_ms: unix.as_secs_f64() * 1000.0, at: Instant::now() }
    }

    fn now(&self) -> f64 {
        self.unix_ms + self.at.elapsed().as_secs_f64() * 1000.0
    }
}

/// A request's final answer.
pub enum Answer {
    /// A backend's answer.
    Served {
        /// Its head.
        head: Head,
        /// Its body.
        content: Content,
    },
    /// Refused: trying again is harmless.
    Refused {
        /// When to come back, in ms; 0 if that is not told.
        retry_after_ms: f64,
        /// Why.
        reason: Reason,
    },
    /// Failed: nothing is promised.
    Failed,
    /// The client did not send the whole body.
    Short(Short),
}

/// What was done for a request until its final answer.
#[derive(Clone, Copy, Default)]
pub struct Course {
    /// When the first attempt was sent.
    pub sent: Option<Instant>,
    /// Attempts so far.
    pub attempts: usize,
    /// Where the last one went.
    pub server: Option<BackendId>,
    /// One of them may have run.
    pub ran: bool,
}

/// How a program speaks with its backends.
pub trait Speech {
    /// Writes the lines of a head that differ from attempt to attempt: the time left, and whom it is meant for.
    fn terms(&self, message: &mut Vec<u8>, backend: &str, left: Duration);
    /// What an answer tells of the attempt.
    fn judge(&self, head: &Head) -> Ended;
    /// Whether an answer is to the request that is named so.
    fn own(&self, head: &Head, name: &[u8]) -> bool;
    /// Whether a backend's failure is the final answer where no other attempt follows.
    fn passes_failures(&self) -> bool;
    /// Whether a backend may begin to work on a request before it has all of it.
    fn begins_early(&self) -> bool;
    /// What an end without a whole answer says of an attempt.
    fn says(&self, exchange: &Exchange, end: End) -> Ended {
        exchange.says(end, self.begins_early())
    }
    /// Whether a connection may carry another request after this one.
    fn keeps(&self, exchange: &Exchange) -> bool {
        exchange.sound()
    }
    /// Whether a connection that stood idle may be used.
    fn trusts(&self, idle: &Idle) -> bool {
        idle.sound()
    }
}

/// Hears what is done, to count it.
pub trait Ears {
    /// An attempt has ended.
    fn attempted(&self, ended: Ended);
    /// A call to the counter has ended.
    fn called(&self, ended: Ended);
    /// A request was refused.
    fn refused(&self, reason: Reason);
    /// An attempt was written whole.
    fn relayed(&self);
    /// A line for the operators' report.
    fn told(&self, line: &str);
}

/// A call to add an amount to a named number.
pub struct Call {
    /// The number's name.
    pub name: u64,
    /// What to add.
    pub amount: f64,
    /// A new name is forgotten after this, in ms.
    pub lifetime_ms: f64,
    /// When it was made.
    pub at: Instant,
}

/// How a call has ended.
pub struct Counted {
    /// The number's name.
    pub name: u64,
    /// How it ended.
    pub result: Ended,
    /// The number's total after it, where that is known.
    pub total: f64,
    /// Time since the call, in ms.
    pub took_ms: f64,
}

/// A backend as discovery tells of it. The driver gives it its number.
pub struct Told {
    /// Its name.
    pub name: String,
    /// Where it is; needed for all but those that are gone.
    pub addr: Option<SocketAddr>,
    /// All else; the number in it is not read.
    pub listed: BackendEntry,
}

/// What goes on to a backend, with the terms of the attempt to be put between the two parts.
pub struct Work {
    /// The request's first line and most of its head.
    pub head: Vec<u8>,
    /// The rest of the head, and the body.
    pub rest: Vec<u8>,
    /// How the answer names the request, where it does.
    pub name: Vec<u8>,
    /// What is still to come of a large body, and whether it goes on in chunks.
    pub more: Option<(Rc<More>, bool)>,
    /// The part of the budget that the body has.
    pub _part: Part,
}

/// Where a request's final answer comes.
pub type Awaited = oneshot::Receiver<(Answer, Course)>;

/// What the module is told of a request.
pub struct Asked {
    /// Whose it is.
    pub customer: u64,
    /// The customer's plan, an index into the settings.
    pub plan: u32,
    /// Its class, an index into the settings.
    pub class: u32,
    /// Units it takes from the quota.
    pub units: f64,
    /// Number of gateways this customer comes through.
    pub spread: f64,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// The service whose servers may get it.
    pub pool: u32,
    /// The zones whose servers may get it, one bit each.
    pub places: u64,
    /// Attempts at most.
    pub attempts: usize,
    /// When its answer has to leave.
    pub deadline: Deadline,
    /// Its moment, where the client stated one: a large body whose time runs from its end ends no later.
    pub until: Option<Instant>,
}

/// One attempt on its way.
struct Sending {
    driver: Rc<Driver>,
    id: RequestId,
    number: usize,
    work: Rc<Work>,
    backend: Rc<str>,
    timeout: Duration,
    /// When it was sent, or when its large body was whole.
    since: Cell<Instant>,
}

impl Attempt for Sending {
    fn message(&self, until: Instant) -> Vec<u8> {
        let Work { head, rest, .. } = &*self.work;
        let mut message = Vec::with_capacity(head.len() + rest.len() + 96);
        message.extend_from_slice(head);
        let left = until.saturating_duration_since(Instant::now());
        self.driver.speech.terms(&mut message, &self.backend, left);
        message.extend_from_slice(rest);
        message
    }

    fn upload(&self) -> Option<(Upload, bool)> {
        self.work.more.as_ref().and_then(|(more, chunked)| Some((more.take()?, *chunked)))
    }

    fn short(&self, short: Short) {
        self.driver.short(self.id, short);
    }

    fn whole(&self) -> Instant {
        self.since.set(Instant::now());
        self.driver.whole(self.id, self.number, self.timeout)
    }

    fn written(&self) {
        self.driver.ears.relayed();
    }

    fn begun(&self, head: &Head) -> Option<StreamTo> {
        self.driver.begun(self.id, self.number, head)
    }

    async fn room(&self, length: Option<u64>) -> Part {
        self.driver.budget.answer(length).await
    }

    fn speech(&self) -> &dyn Speech {
        &*self.driver.speech
    }

    fn name(&self) -> &[u8] {
        &self.work.name
    }

    fn bodiless(&self) -> bool {
        self.work.head.starts_with(b"HEAD ")
    }
}

/// A probe: an attempt of no request.
struct Probing(String, Rc<dyn Speech>);

impl Attempt for Probing {
    fn message(&self, _: Instant) -> Vec<u8> {
        self.0.clone().into_bytes()
    }

    fn upload(&self) -> Option<(Upload, bool)> {
        None
    }

    fn short(&self, _: Short) {}

    fn whole(&self) -> Instant {
        Instant::now()
    }

    fn written(&self) {}

    fn begun(&self, _: &Head) -> Option<StreamTo> {
        None
    }

    async fn room(&self, _: Option<u64>) -> Part {
        None
    }

    fn speech(&self) -> &dyn Speech {
        &*self.1
    }

    fn name(&self) -> &[u8] {
        b""
    }

    fn bodiless(&self) -> bool {
        false
    }
}

struct Open {
    /// Taken when the final answer is given, or when the client has gone.
    answer: Option<oneshot::Sender<(Answer, Course)>>,
    course: Course,
    work: Rc<Work>,
    /// When its time is up; none while its body streams.
    ends: Option<Instant>,
    budget: Duration,
    /// Its moment, where the client stated one.
    until: Option<Instant>,
    /// Withdraws the attempt of this number; none where it has ended.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    attempts_most: usize,
    /// A backend's failure, to be passed on if nothing better comes.
    failure: Option<(Head, Content)>,
}

impl Open {
    fn out(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    fn give(&mut self, answer: Answer) {
        if let Some(to) = self.answer.take() {
            let answer = match (answer, self.failure.take()) {
                (Answer::Failed | Answer::Refused { .. }, Some((head, content))) => {
                    Answer::Served { head, content }
                }
                (answer, _) => answer,
            };
            // What is still out may have run.
            let course = Course { ran: self.course.ran || self.out(), ..self.course };
            // A client that has just gone needs no answer.
            let _ = to.send((answer, course));
        }
    }
}

struct Inner {
    gateway: Gateway,
    open: HashMap<RequestId, Open>,
    fleet: HashMap<BackendId, Known>,
    numbers: HashMap<String, BackendId>,
    next: RequestId,
    actions: Vec<Action>,
}

struct Known {
    addr: SocketAddr,
    state: BackendState,
    name: Rc<str>,
}

/// Tells the gateway of a position something.
pub type Tells = Box<dyn Fn(u32, &[u8])>;

/// What carries the actions out.
pub struct Reach {
    /// Connections to backends.
    pub backends: Backends,
    /// Takes calls to the counter, where there is one.
    pub calls: Option<Box<dyn Fn(Call)>>,
    /// Tells another gateway something, where that is possible.
    pub tells: Option<Tells>,
    /// Memory for bodies and answers.
    pub budget: Rc<Budget>,
    /// What is spoken with backends.
    pub speech: Rc<dyn Speech>,
    /// Who counts what is done.
    pub ears: Rc<dyn Ears>,
}

/// The driver; tasks share it on one thread.
pub struct Driver {
    inner: RefCell<Inner>,
    clock: Clock,
    backends: Backends,
    calls: Option<Box<dyn Fn(Call)>>,
    tells: Option<Tells>,
    speech: Rc<dyn Speech>,
    ears: Rc<dyn Ears>,
    budget: Rc<Budget>,
    max_attempts: Cell<usize>,
    second_copies: Cell<bool>,
    discovery_heard: Cell<bool>,
    started: Instant,
}

impl Driver {
    /// A driver of a module that starts now.
    pub fn new(settings: Settings, seed: u64, reach: Reach) -> Rc<Self> {
        let Reach { backends, calls, tells, budget, speech, ears } = reach;
        let clock = Clock::new();
        let (max_attempts, second_copies) = (settings.limits.max_attempts as usize, settings.limits.hedging);
        let inner = Inner {
            // Numbers go on from the clock: an answer to a request from before a restart names none of now.
            next: (clock.now() as u64) << 16,
            gateway: Gateway::new(settings, seed, clock.now()),
            open: HashMap::new(),
            fleet: HashMap::new(),
            numbers: HashMap::new(),
            actions: Vec::new(),
        };
        Rc::new(Driver {
            inner: RefCell::new(inner),
            clock,
            backends,
            calls,
            tells,
            speech,
            ears,
            budget,
            max_attempts: Cell::new(max_attempts),
            second_copies: Cell::new(second_copies),
            discovery_heard: Cell::new(false),
            started: Instant::now(),
        })
    }

    // ---- What happens -------------------------------------------------------------------------------------

    /// A request came in. Its answer comes by the receiver.
    pub fn request(self: &Rc<Self>, asked: &Asked, work: Work) -> (RequestId, Awaited) {
        let (answer, receiver) = oneshot::channel();
        let (budget, streams) = (asked.deadline.left(Instant::now()), work.more.is_some());
        let budget_ms = budget.as_secs_f64() * 1000.0;
        let ends = Some(asked.deadline.at()).filter(|_| !streams);
        let inner = &mut *self.inner.borrow_mut();
        let id = inner.next;
        inner.next += 1;
        let (course, attempts) = Default::default();
        let (answer, work, until) = (Some(answer), Rc::new(work), asked.until);
        let (attempts_most, failure) = (asked.attempts, None);
        let open = Open { answer, course, work, ends, budget, until, attempts, attempts_most, failure };
        inner.open.insert(id, open);
        let request = Request {
            id,
            customer: asked.customer,
            plan: asked.plan,
            class: asked.class,
            units: asked.units,
            budget_ms,
            customer_gateways: asked.spread,
            is_retry: asked.repeat,
            body_streams: streams,
            pool: asked.pool,
            zone_mask: asked.places,
        };
        self.handle(inner, Event::Request(request));
        (id, receiver)
    }

    /// Waits for the final answer. The module ends a request in time; this guards against one that it would not.
    pub async fn answer(self: &Rc<Self>, id: RequestId, mut answer: Awaited) -> (Answer, Course) {
        loop {
            let ends = self.inner.borrow().open.get(&id).and_then(|open| open.ends);
            let by = ends.map_or_else(|| Instant::now() + LOOK, |ends| ends + Duration::from_millis(5));
            match timeout_at(by, &mut answer).await {
                Ok(answer) => return answer.unwrap_or((Answer::Failed, Course::default())),
                Err(_) if ends.is_none() => {}
                Err(_) => {
                    self.leave(id);
                    return answer.try_recv().unwrap_or((Answer::Failed, Course::default()));
                }
            }
        }
    }

    /// The body of a request did not come whole: it is the client's fault.
    fn short(self: &Rc<Self>, id: RequestId, short: Short) {
        self.drop_request(id, Answer::Short(short));
    }

    /// The body of a request is whole at its backend: its time runs from now on.
    fn whole(self: &Rc<Self>, id: RequestId, attempt: usize, timeout: Duration) -> Instant {
        let inner = &mut *self.inner.borrow_mut();
        let until = Instant::now() + timeout;
        let Some(open) = inner.open.get_mut(&id) else { return until };
        let ends = Instant::now() + open.budget;
        let ends = open.until.map_or(ends, |until| until.min(ends));
        open.ends = Some(ends);
        self.handle(inner, Event::BodySent { id, attempt: attempt as u8 });
        until.min(ends)
    }

    /// A large answer has begun and is passed on as it comes, if the client still waits.
    fn begun(self: &Rc<Self>, id: RequestId, attempt: usize, head: &Head) -> Option<StreamTo> {
        let inner = &mut *self.inner.borrow_mut();
        let open = inner.open.get_mut(&id).filter(|open| open.answer.is_some())?;
        let (to, content) = Content::stream(head.length);
        open.failure = None;
        open.give(Answer::Served { head: head.clone(), content });
        self.handle(inner, Event::ResponseStarted { id, attempt: attempt as u8 });
        Some(to)
    }

    /// The client has gone, or its time is up: nothing more is sent for the request.
    pub fn leave(self: &Rc<Self>, id: RequestId) {
        self.drop_request(id, Answer::Failed);
    }

    fn drop_request(self: &Rc<Self>, id: RequestId, answer: Answer) {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(open) = inner.open.get_mut(&id).filter(|open| open.answer.is_some()) {
            open.give(answer);
            if !open.out() {
                inner.open.remove(&id);
            }
            self.handle(inner, Event::ClientGone { id });
        }
    }

    /// Fails all that is open, when the program has to end.
    pub fn leave_all(self: &Rc<Self>) {
        let ids: Vec<_> = self.inner.borrow().open.keys().copied().collect();
        ids.into_iter().for_each(|id| self.leave(id));
    }

    fn attempt_ended(
        self: &Rc<Self>, id: RequestId, attempt: usize, backend: BackendId, took_ms: f64, result: Ended,
        answer: Option<Answered>,
    ) {
        self.ears.attempted(result);
        let inner = &mut *self.inner.borrow_mut();
        let Some(open) = inner.open.get_mut(&id) else { return };
        open.attempts[attempt] = None;
        let mut units = None;
        open.course.ran |= !result.never_ran();
        match answer {
            Some(Answered { head, body: Some((body, part)), .. }) if result == Ended::Ok => {
                // One that comes when the client has gone settles nothing.
                units = head.units.filter(|_| open.answer.is_some());
                open.failure = None;
                open.give(Answer::Served { head, content: Content::Whole { bytes: body, _part: part } });
            }
            Some(Answered { head, .. }) if result == Ended::Ok => units = head.units,
            Some(Answered { head, body: Some((body, part)), .. })
                if result == Ended::Error && self.speech.passes_failures() =>
            {
                open.failure = Some((head, Content::Whole { bytes: body, _part: part }));
            }
            _ => {}
        }
        let ended = open.answer.is_none();
        if ended && !open.out() {
            inner.open.remove(&id);
        }
        let outcome = Outcome {
            id,
            attempt: attempt as u8,
            backend,
            result,
            is_final: ended,
            units,
            took_ms,
            load: Load::default(),
        };
        self.handle(inner, Event::Outcome(outcome));
    }

    /// A call to the counter has ended.
    pub fn counted(self: &Rc<Self>, counted: Counted) {
        let Counted { name, result, total, took_ms } = counted;
        self.ears.called(result);
        self.handle(&mut self.inner.borrow_mut(), Event::Counted { name, result, total, took_ms });
    }

    /// A message from another gateway came in.
    pub fn message(self: &Rc<Self>, from: u32, body: Vec<u8>) {
        self.handle(&mut self.inner.borrow_mut(), Event::Message { from, body });
    }

    /// Membership tells how many gateways are present, and whether they are a majority.
    pub fn gateways(self: &Rc<Self>, present: u32, majority: bool) {
        self.handle(&mut self.inner.borrow_mut(), Event::Gateways { present, majority });
    }

    /// The module's clock now, in ms.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Discovery told the list, or what changed in it.
    pub fn list(self: &Rc<Self>, full: bool, told: Vec<Told>) {
        let inner = &mut *self.inner.borrow_mut();
        let mut entries = Vec::with_capacity(told.len());
        for Told { name, addr, listed } in told {
            let id = number(&mut inner.numbers, &name);
            let state = listed.state;
            entries.push(BackendEntry { id, ..listed });
            match addr {
                Some(addr) if state != BackendState::Gone => {
                    let moved = inner.fleet.insert(id, Known { addr, state, name: name.into() });
                    if moved.is_some_and(|known| known.addr != addr) {
                        self.backends.forget(id);
                    }
                }
                _ => {
                    inner.fleet.remove(&id);
                    self.backends.forget(id);
                }
            }
        }
        if full {
            inner.fleet.retain(|id, _| {
                let stays = entries.iter().any(|e| e.id == *id);
                if !stays {
                    self.backends.forget(*id);
                }
                stays
            });
        }
        self.handle(inner, Event::List { full, entries });
    }

    /// Discovery has told what there is to tell by now.
    pub fn discovery_heard(&self) {
        self.discovery_heard.set(true);
    }

    /// True once requests can be served: the list is fresh, or discovery is silent, and a backend is ready.
    pub fn ready(&self) -> bool {
        let told = self.discovery_heard.get() || self.started.elapsed() > Duration::from_secs(1);
        told && self.inner.borrow().fleet.values().any(|known| known.state == BackendState::Ready)
    }

    /// The name of a backend, as the list gives it. It is looked for: only the log asks.
    pub fn name(&self, backend: BackendId) -> String {
        let inner = self.inner.borrow();
        let name = inner.numbers.iter().find(|(_, number)| **number == backend).map(|(name, _)| name.clone());
        name.unwrap_or_default()
    }

    /// How many backends the list holds, and how many of them are kept from requests.
    pub fn listed(&self) -> (usize, usize) {
        let inner = self.inner.borrow();
        (inner.fleet.len(), inner.gateway.out_of_rotation(self.clock.now()))
    }

    /// Takes over other settings. Peers and a counter that the start did not bring stay away.
    pub fn retune(self: &Rc<Self>, mut settings: Settings, connect_ms: f64, idle_ms: f64) {
        self.backends.retune(connect_ms, idle_ms);
        settings.counter = settings.counter.filter(|_| self.calls.is_some());
        settings.limits.peers &= self.tells.is_some();
        self.max_attempts.set(settings.limits.max_attempts as usize);
        self.second_copies.set(settings.limits.hedging);
        self.handle(&mut self.inner.borrow_mut(), Event::Settings(settings));
    }

    /// The connections to backends.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Closes connections that stood idle for too long.
    pub fn sweep(&self) {
        self.backends.sweep();
    }

    // ---- What is to be done -------------------------------------------------------------------------------

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
                    let (result, load) = (Ended::NotSent, Load::default());
                    let ended = inner.open.get(&id).is_none_or(|open| open.answer.is_none());
                    let (took_ms, units) = (0.0, None);
                    let outcome =
                        Outcome { id, attempt, backend, result, is_final: ended, units, took_ms, load };
                    events.push_back(Event::Outcome(outcome));
                }
            }
            Action::Cancel { id, attempt } => {
                let attempt = inner.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt as usize));
                if let Some(cancel) = attempt {
                    // The attempt's task closes the connection, then tells the outcome. The place stays
                    // taken until then by a sender whose other end is gone.
                    if let Some(cancel) = cancel.replace(oneshot::channel().0) {
                        let _ = cancel.send(());
                    }
                }
            }
            Action::Refuse { id, retry_after_ms, reason } => {
                self.ears.refused(reason);
                give(inner, id, Answer::Refused { retry_after_ms, reason });
            }
            Action::Fail { id } => give(inner, id, Answer::Failed),
            Action::Timer { token, after_ms } => {
                let driver = self.clone();
                tokio::task::spawn_local(async move {
                    sleep(duration(after_ms)).await;
                    driver.handle(&mut driver.inner.borrow_mut(), Event::Timer { token });
                });
            }
            Action::Probe { backend } => self.probe(inner, backend),
            Action::Count { name, amount, lifetime_ms } => {
                if let Some(calls) = &self.calls {
                    calls(Call { name, amount, lifetime_ms, at: Instant::now() });
                }
            }
            // The watch on discovery is held open in any case.
            Action::Watch => {}
            Action::SendMessage { to, body } => {
                if let Some(tells) = &self.tells {
                    tells(to, &body);
                }
            }
            Action::Log { line } => self.ears.told(&line),
        }
    }

    /// Starts an attempt. One that may not be sent is given back with its number: past the attempt limit,
    /// for a request that has ended, to a backend not listed, out of time, or while another one is out.
    fn send(
        self: &Rc<Self>, inner: &mut Inner, id: RequestId, backend: BackendId, timeout_ms: f64,
    ) -> Option<u8> {
        let Some(open) = inner.open.get_mut(&id) else { return Some(0) };
        let number = open.attempts.len();
        let now = Instant::now();
        let timeout = duration(timeout_ms);
        let until = open.ends.map_or(now + timeout, |ends| ends.min(now + timeout));
        let known = inner.fleet.get(&backend);
        let may = open.answer.is_some()
            && number < self.max_attempts.get().min(open.attempts_most)
            && until > now
            // A large body can't be sent again once a part of it was.
            && open.work.more.as_ref().is_none_or(|(more, _)| more.whole())
            && (self.second_copies.get() || !open.out());
        let Some(known) = known.filter(|_| may) else {
            open.attempts.push(None);
            return Some(number as u8);
        };
        let (cancel, mut cancelled) = oneshot::channel();
        open.attempts.push(Some(cancel));
        let sent = open.course.sent.or(Some(now));
        open.course = Course { sent, attempts: number + 1, server: Some(backend), ran: open.course.ran };
        let since = Cell::new(now);
        let (work, addr, name) = (open.work.clone(), known.addr, known.name.clone());
        let sending = Sending { driver: self.clone(), id, number, work, backend: name, timeout, since };
        tokio::task::spawn_local(async move {
            let driver = &sending.driver;
            let (result, answer) = tokio::select! {
                biased;
                ended = driver.backends.attempt(backend, addr, &sending, until) => ended,
                // Dropping the attempt closes its connection.
                _ = &mut cancelled => (Ended::Cancelled, None),
            };
            let took = answer.as_ref().filter(|answer| answer.body.is_none()).map(|answer| answer.took);
            let took_ms = took.unwrap_or_else(|| sending.since.get().elapsed()).as_secs_f64() * 1000.0;
            driver.attempt_ended(id, number, backend, took_ms, result, answer);
        });
        None
    }

    fn probe(self: &Rc<Self>, inner: &Inner, backend: BackendId) {
        let Some(addr) = inner.fleet.get(&backend).map(|known| known.addr) else { return };
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let now = Instant::now();
            let request = format!("GET /health/live HTTP/1.1\r\nHost: {addr}\r\n\r\n");
            let probing = Probing(request, driver.speech.clone());
            let until = now + driver.backends.connect_time();
            let (result, _) = driver.backends.attempt(backend, addr, &probing, until).await;
            let took_ms = now.elapsed().as_secs_f64() * 1000.0;
            let event = Event::Probed { backend, result, took_ms, load: Load::default() };
            driver.handle(&mut driver.inner.borrow_mut(), event);
        });
    }
}

fn give(inner: &mut Inner, id: RequestId, answer: Answer) {
    if let Some(open) = inner.open.get_mut(&id) {
        open.give(answer);
        if !open.out() {
            inner.open.remove(&id);
        }
    }
}

/// Milliseconds of the module, which may be negative or huge.
fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 86_400.0))
}

/// The module's number of a backend: from its name alone, so that it is the same after a restart.
fn number(numbers: &mut HashMap<String, BackendId>, name: &str) -> BackendId {
    if let Some(id) = numbers.get(name) {
        return *id;
    }
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let mut id = hasher.finish() as BackendId;
    while numbers.values().any(|taken| *taken == id) {
        id = id.wrapping_add(1);
    }
    numbers.insert(name.to_owned(), id);
    id
}
