//! The HTTP API for backends, operators and clients. Each call is a pair of types, its request and its
//! response, and all go through one handler.

use crate::config::{Envelope, Invalid};
use crate::ledger::UpdateId;
use crate::news::{Backend, Evacuated};
use crate::status::Status;
use cherrytally::Millis;
use miniserde::{Deserialize, Serialize};

/// An API request.
pub struct Called<'a> {
    /// The method.
    pub method: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// An API response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body, as JSON.
    pub body: String,
    /// The delay before a retry, in ms (`retry-after`).
    pub after_ms: Option<u64>,
}

/// The reason why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is invalid; a retry would fail, too.
    Bad(String),
    /// The update builds on another edition than the one in force.
    Conflict(String),
    /// No call has this name.
    Unknown,
    /// The call takes another HTTP method.
    Method,
    /// The service is unavailable, or the outcome is not known yet; a retry finds out.
    Later,
    /// The outcome is no longer recorded, so it cannot be reported.
    Unclear(String),
}

impl From<Invalid> for Refusal {
    fn from(invalid: Invalid) -> Self {
        Refusal::Bad(invalid.0)
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// The delay before a retry that a refusal asks for.
const RETRY_AFTER_MS: u64 = 200;

impl Refusal {
    /// The response that reports this refusal.
    pub fn reply(&self) -> Reply {
        let (status, reason) = match self {
            Refusal::Bad(reason) => (400, reason.as_str()),
            Refusal::Conflict(reason) => (412, reason.as_str()),
            Refusal::Unknown => (404, "no such call"),
            Refusal::Method => (405, "another method is needed"),
            Refusal::Later => (503, "not now"),
            Refusal::Unclear(reason) => (503, reason.as_str()),
        };
        let after_ms = (status == 503).then_some(RETRY_AFTER_MS);
        Reply { status, body: miniserde::json::to_string(&ErrorBody { error: reason }), after_ms }
    }
}

/// A kind of API call: the request, as parsed.
pub trait Call: Sized {
    /// Its name in the path, after `/api/`.
    const NAME: &'static str;
    /// Its HTTP method.
    const METHOD: &'static str;
    /// Whether only the leader may answer it.
    const LEADER: bool;
    /// The body of a successful response.
    type Answer: Serialize;

    /// Parses a request; `arg` is the part of the path after the name.
    fn read(arg: &str, query: &str, called: &Called) -> Result<Self, Refusal>;
}

/// The outcome of a call that is not refused.
pub enum Outcome<A, W> {
    /// The response.
    Now(A),
    /// The response to give once the wait has succeeded.
    Waits(A, W),
}

/// A handler of API calls.
pub trait Serves {
    /// A condition that a response may wait for.
    type Wait;

    /// Whether this process is the leader.
    fn leads(&self) -> bool;

    /// Whether it holds the leader's lease, so that its state is authoritative.
    fn vouches(&self, now: Millis) -> bool;
}

/// A handler of one kind of call.
pub trait Answers<C: Call>: Serves {
    /// Handles one call.
    fn answer(&mut self, now: Millis, call: C) -> Result<Outcome<C::Answer, Self::Wait>, Refusal>;
}

/// How a request is to be completed.
pub enum Served<W> {
    /// With this reply, now.
    Now(Reply),
    /// With this reply, once the wait has succeeded.
    Waits(Reply, W),
    /// By the leader, to which it must be forwarded.
    Elsewhere,
}

/// Checks the method and the leadership, then parses and handles a call.
fn serve<C: Call, S: Answers<C>>(to: &mut S, now: Millis, arg: &str, called: &Called<'_>) -> Served<S::Wait> {
    if called.method != C::METHOD {
        return Served::Now(Refusal::Method.reply());
    }
    if C::LEADER && !to.leads() {
        return Served::Elsewhere;
    }
    if C::LEADER && !to.vouches(now) {
        // Another process may lead by now and hold later changes.
        return Served::Now(Refusal::Later.reply());
    }
    let query = called.path.split_once('?').map_or("", |(_, query)| query);
    let success =
        |answer: &C::Answer| Reply { status: 200, body: miniserde::json::to_string(answer), after_ms: None };
    match C::read(arg, query, called).and_then(|call| to.answer(now, call)) {
        Ok(Outcome::Now(answer)) => Served::Now(success(&answer)),
        Ok(Outcome::Waits(answer, wait)) => Served::Waits(success(&answer), wait),
        Err(refusal) => Served::Now(refusal.reply()),
    }
}

/// Dispatches a request to the call that its path names.
pub fn answer<S>(to: &mut S, now: Millis, called: &Called<'_>) -> Served<S::Wait>
where
    S: Answers<Beat> + Answers<Leave> + Answers<Put> + Answers<Patch> + Answers<Get> + Answers<Evacuate>,
    S: Answers<TakeBack> + Answers<Resolve> + Answers<Look>,
{
    let path = called.path.split_once('?').map_or(called.path, |(path, _)| path);
    let Some(path) = path.strip_prefix("/api/") else { return Served::Now(Refusal::Unknown.reply()) };
    let (name, arg) = path.split_once('/').unwrap_or((path, ""));
    match name {
        Beat::NAME => serve::<Beat, S>(to, now, arg, called),
        Leave::NAME => serve::<Leave, S>(to, now, arg, called),
        Put::NAME => serve::<Put, S>(to, now, arg, called),
        Patch::NAME => serve::<Patch, S>(to, now, arg, called),
        Get::NAME => serve::<Get, S>(to, now, arg, called),
        Evacuate::NAME => serve::<Evacuate, S>(to, now, arg, called),
        TakeBack::NAME => serve::<TakeBack, S>(to, now, arg, called),
        Resolve::NAME => serve::<Resolve, S>(to, now, arg, called),
        Look::NAME => serve::<Look, S>(to, now, arg, called),
        _ => Served::Now(Refusal::Unknown.reply()),
    }
}

fn body_text(body: &[u8]) -> Result<&str, Refusal> {
    std::str::from_utf8(body).map_err(|_| Refusal::Bad("the body is no text".into()))
}

/// An empty response.
#[derive(Serialize)]
pub struct Done {}

// ---- Backends -------------------------------------------------------------------------------------------

/// A heartbeat of a backend, which also registers it.
pub struct Beat {
    /// Its registration.
    pub backend: Backend,
}

#[derive(Deserialize)]
struct BeatBody {
    service: String,
    address: String,
    zone: String,
    berths: Option<u32>,
    state: String,
    cold_time: Option<String>,
    postmark: Option<u64>,
}

/// The response to a heartbeat.
#[derive(Serialize)]
pub struct BeatAnswer {
    /// The address of the leader, which takes further heartbeats directly.
    pub beat_address: String,
}

impl Call for Beat {
    const NAME: &'static str = "Instances.Beat";
    const METHOD: &'static str = "POST";
    const LEADER: bool = true;
    type Answer = BeatAnswer;

    fn read(arg: &str, _: &str, called: &Called) -> Result<Self, Refusal> {
        let bad = |reason: &str| Refusal::Bad(reason.to_owned());
        let body: BeatBody = miniserde::json::from_str(body_text(called.body)?)
            .map_err(|_| bad("a field is missing or of another type"))?;
        if arg.is_empty() || arg.len() > 256 {
            return Err(bad("the path names no id"));
        }
        if body.address.parse::<std::net::SocketAddr>().is_err() {
            return Err(bad("address is no address and port"));
        }
        let draining = match body.state.as_str() {
            "open" => false,
            "closing" => true,
            _ => return Err(bad("state is neither open nor closing")),
        };
        let cold = body.cold_time.as_deref().map_or(Some(Default::default()), crate::units::time);
        let cold = cold.ok_or_else(|| bad("cold_time is no time, such as 1500ms or 2.5s"))?;
        let backend = Backend {
            id: arg.to_owned(),
            service: body.service,
            address: body.address,
            zone: body.zone,
            max_concurrency: body.berths.unwrap_or(0),
            draining,
            cold_ms: cold.as_millis() as u64,
            heartbeat_seq: body.postmark.unwrap_or(u64::MAX),
        };
        Ok(Beat { backend })
    }
}

/// The deregistration of a backend.
pub struct Leave {
    /// The backend's id.
    pub id: String,
}

impl Call for Leave {
    const NAME: &'static str = "Instances.Leave";
    const METHOD: &'static str = "POST";
    const LEADER: bool = true;
    type Answer = Done;

    fn read(arg: &str, _: &str, _: &Called) -> Result<Self, Refusal> {
        match arg {
            "" => Err(Refusal::Bad("the path names no id".into())),
            id => Ok(Leave { id: id.to_owned() }),
        }
    }
}

// ---- Operators ------------------------------------------------------------------------------------------

/// A digest of a request's path and body.
fn call_digest(called: &Called) -> u64 {
    use std::hash::Hasher;
    let mut hasher = crate::state::hasher();
    hasher.write(called.path.as_bytes());
    hasher.write(called.body);
    hasher.finish()
}

/// A configuration update.
pub struct Order {
    /// Its content, or why that is invalid.
    pub envelope: Result<Envelope, Invalid>,
    /// It changes single items; otherwise it replaces the whole configuration.
    pub patch: bool,
    /// Identifies it, so that retries are recognised; none if the content is invalid.
    pub mark: Option<UpdateId>,
}

impl Order {
    fn read(called: &Called, patch: bool) -> Order {
        let envelope = Envelope::read(called.body);
        let mark = envelope.as_ref().ok().map(|envelope| UpdateId {
            edition: envelope.edition,
            based_on: envelope.based_on,
            content_digest: envelope.digest(patch),
            call_digest: call_digest(called),
        });
        Order { envelope, patch, mark }
    }
}

/// Replaces the whole configuration.
pub struct Put(pub Order);

impl Call for Put {
    const NAME: &'static str = "Config.Put";
    const METHOD: &'static str = "POST";
    const LEADER: bool = true;
    type Answer = Done;

    fn read(_: &str, _: &str, called: &Called) -> Result<Self, Refusal> {
        Ok(Put(Order::read(called, false)))
    }
}

/// Changes single items of the configuration.
pub struct Patch(pub Order);

impl Call for Patch {
    const NAME: &'static str = "Config.Patch";
    const METHOD: &'static str = "POST";
    const LEADER: bool = true;
    type Answer = Done;

    fn read(_: &str, _: &str, called: &Called) -> Result<Self, Refusal> {
        Ok(Patch(Order::read(called, true)))
    }
}

/// Reads the configuration in force.
pub struct Get;

impl Call for Get {
    const NAME: &'static str = "Config.Get";
    const METHOD: &'static str = "GET";
    const LEADER: bool = true;
    type Answer = miniserde::json::Value;

    fn read(_: &str, _: &str, _: &Called) -> Result<Self, Refusal> {
        Ok(Get)
    }
}

/// Starts the evacuation of a zone.
pub struct Evacuate(pub Evacuated);

/// Ends the evacuation of a zone.
pub struct TakeBack(pub Evacuated);

fn parse_evacuation(arg: &str, on: bool) -> Result<Evacuated, Refusal> {
    match arg {
        "" => Err(Refusal::Bad("the path names no zone".into())),
        zone => Ok(Evacuated { zone: zone.to_owned(), on }),
    }
}

impl Call for Evacuate {
    const NAME: &'static str = "Evacuate.Start";
    const METHOD: &'static str = "POST";
    const LEADER: bool = true;
    type Answer = Done;

    fn read(arg: &str, _: &str, _: &Called) -> Result<Self, Refusal> {
        parse_evacuation(arg, true).map(Evacuate)
    }
}

impl Call for TakeBack {
    const NAME: &'static str = "Evacuate.End";
    const METHOD: &'static str = "POST";
    const LEADER: bool = true;
    type Answer = Done;

    fn read(arg: &str, _: &str, _: &Called) -> Result<Self, Refusal> {
        parse_evacuation(arg, false).map(TakeBack)
    }
}

/// Reads the status of the system as this process sees it.
pub struct Look;

impl Call for Look {
    const NAME: &'static str = "Status";
    const METHOD: &'static str = "GET";
    const LEADER: bool = false;
    type Answer = Status;

    fn read(_: &str, _: &str, _: &Called) -> Result<Self, Refusal> {
        Ok(Look)
    }
}

// ---- Clients --------------------------------------------------------------------------------------------

/// A client's lookup of gateways.
pub struct Resolve {
    /// The client's region.
    pub region: String,
    /// The client's zone.
    pub zone: String,
}

/// The gateways for a client.
#[derive(Serialize)]
pub struct Resolved {
    /// The addresses at which they accept clients.
    pub addresses: Vec<String>,
    /// How long the client may cache this, with its unit.
    pub ttl: String,
}

impl Call for Resolve {
    const NAME: &'static str = "resolve";
    const METHOD: &'static str = "GET";
    const LEADER: bool = false;
    type Answer = Resolved;

    fn read(_: &str, query: &str, _: &Called) -> Result<Self, Refusal> {
        let parameter = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            parts.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        Ok(Resolve { region: parameter("region"), zone: parameter("zone") })
    }
}
