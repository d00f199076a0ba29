//! The HTTP API for backends, operators and clients. Each call is a pair of types, its request and its
//! response, and all go through one handler.

use crate::config::{ConfigDocument, InvalidConfig};
use crate::protocol::{Backend, Evacuated};
use crate::status::Status;
use crate::update_outcomes::UpdateId;
use miniserde::{Deserialize, Serialize};
use oakfall::Millis;
use std::time::Duration;

/// An API request.
pub struct CallRequest<'a> {
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
    pub retry_after_ms: Option<u64>,
}

/// The reason why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is invalid; a retry would fail, too.
    BadRequest(String),
    /// The update builds on another edition than the one in force.
    Conflict(String),
    /// No call has this name.
    NotFound,
    /// The call takes another HTTP method.
    MethodNotAllowed,
    /// The service is unavailable, or the outcome is not known yet. The caller may retry.
    Unavailable,
    /// The outcome is no longer recorded, so it cannot be reported.
    OutcomeUnknown(String),
    /// The same is under way already.
    UnderWay(String),
    /// The body is larger than such a call takes.
    BodyTooLarge,
    /// There is nothing by this name.
    Unknown(String),
}

impl From<InvalidConfig> for Refusal {
    fn from(invalid: InvalidConfig) -> Self {
        Refusal::BadRequest(invalid.0)
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// The delay before a retry of a call that is refused with status 503.
const RETRY_AFTER_MS: u64 = 200;

impl Refusal {
    /// The response that reports this refusal.
    pub fn reply(&self) -> Reply {
        let (status, reason) = match self {
            Refusal::BadRequest(reason) => (400, reason.as_str()),
            Refusal::Conflict(reason) => (412, reason.as_str()),
            Refusal::NotFound => (404, "no such call"),
            Refusal::MethodNotAllowed => (405, "another method is needed"),
            Refusal::Unavailable => (503, "not now"),
            Refusal::OutcomeUnknown(reason) => (503, reason.as_str()),
            Refusal::UnderWay(reason) => (409, reason.as_str()),
            Refusal::BodyTooLarge => (413, "the body is too large"),
            Refusal::Unknown(reason) => (404, reason.as_str()),
        };
        let retry_after_ms = (status == 503).then_some(RETRY_AFTER_MS);
        Reply { status, body: miniserde::json::to_string(&ErrorBody { error: reason }), retry_after_ms }
    }
}

/// The body of a response.
pub trait JsonBody {
    /// Its JSON text.
    fn to_json(&self) -> String;
}

impl<T: Serialize> JsonBody for T {
    fn to_json(&self) -> String {
        miniserde::json::to_string(self)
    }
}

/// A body that is JSON text already.
pub struct JsonText(pub String);

impl JsonBody for JsonText {
    fn to_json(&self) -> String {
        self.0.clone()
    }
}

/// A kind of API call: the request, as parsed.
pub trait Call: Sized {
    /// Its name in the path, after `/api/`.
    const NAME: &'static str;
    /// Its HTTP method.
    const METHOD: &'static str;
    /// Whether only the leader may answer it.
    const LEADER_ONLY: bool;
    /// The body of a successful response.
    type Response: JsonBody;

    /// Parses a request; `arg` is the part of the path after the name.
    fn parse(arg: &str, query: &str, request: &CallRequest) -> Result<Self, Refusal>;
}

/// The outcome of a call that is not refused.
pub enum Outcome<R, W> {
    /// The response.
    Ready(R),
    /// The response to give once the wait has succeeded.
    Pending(R, W),
}

/// A handler of API calls.
pub trait CallHandler {
    /// A condition that a response may wait for.
    type Wait;

    /// Whether this process is the leader.
    fn is_leader(&self) -> bool;

    /// Whether it holds the leader's lease, so that its state is authoritative.
    fn holds_lease(&self, now: Millis) -> bool;
}

/// A handler of one kind of call.
pub trait Answers<C: Call>: CallHandler {
    /// Handles one call.
    fn answer(&mut self, now: Millis, call: C) -> Result<Outcome<C::Response, Self::Wait>, Refusal>;
}

/// How a request is to be completed.
pub enum Dispatched<W> {
    /// With this reply, now.
    Replied(Reply),
    /// With this reply, once the wait has succeeded.
    Pending(Reply, W),
    /// By the leader, to which it must be forwarded.
    NotLeader,
}

/// Checks the method and whether this process may answer, then parses and handles a call.
fn serve<C: Call, S: Answers<C>>(
    handler: &mut S, now: Millis, arg: &str, request: &CallRequest<'_>,
) -> Dispatched<S::Wait> {
    if request.method != C::METHOD {
        return Dispatched::Replied(Refusal::MethodNotAllowed.reply());
    }
    if C::LEADER_ONLY && !handler.is_leader() {
        return Dispatched::NotLeader;
    }
    if C::LEADER_ONLY && !handler.holds_lease(now) {
        // Another process may lead by now and hold later changes.
        return Dispatched::Replied(Refusal::Unavailable.reply());
    }
    let query = request.path.split_once('?').map_or("", |(_, query)| query);
    let success =
        |response: &C::Response| Reply { status: 200, body: response.to_json(), retry_after_ms: None };
    match C::parse(arg, query, request).and_then(|call| handler.answer(now, call)) {
        Ok(Outcome::Ready(response)) => Dispatched::Replied(success(&response)),
        Ok(Outcome::Pending(response, wait)) => Dispatched::Pending(success(&response), wait),
        Err(refusal) => Dispatched::Replied(refusal.reply()),
    }
}

/// Dispatches a request to the call that its path names.
pub fn answer<S>(handler: &mut S, now: Millis, request: &CallRequest<'_>) -> Dispatched<S::Wait>
where
    S: Answers<Heartbeat>
        + Answers<Deregister>
        + Answers<Put>
        + Answers<Patch>
        + Answers<Get>
        + Answers<StartEvacuation>,
    S: Answers<EndEvacuation> + Answers<Resolve> + Answers<GetStatus>,
    S: Answers<StartRollout> + Answers<GetRollout>,
{
    let path = request.path.split_once('?').map_or(request.path, |(path, _)| path);
    let Some(path) = path.strip_prefix("/api/") else {
        return Dispatched::Replied(Refusal::NotFound.reply());
    };
    let (name, arg) = path.split_once('/').unwrap_or((path, ""));
    match name {
        Heartbeat::NAME => serve::<Heartbeat, S>(handler, now, arg, request),
        Deregister::NAME => serve::<Deregister, S>(handler, now, arg, request),
        Put::NAME => serve::<Put, S>(handler, now, arg, request),
        Patch::NAME => serve::<Patch, S>(handler, now, arg, request),
        Get::NAME => serve::<Get, S>(handler, now, arg, request),
        StartEvacuation::NAME => serve::<StartEvacuation, S>(handler, now, arg, request),
        EndEvacuation::NAME => serve::<EndEvacuation, S>(handler, now, arg, request),
        StartRollout::NAME => serve::<StartRollout, S>(handler, now, arg, request),
        GetRollout::NAME => serve::<GetRollout, S>(handler, now, arg, request),
        Resolve::NAME => serve::<Resolve, S>(handler, now, arg, request),
        GetStatus::NAME => serve::<GetStatus, S>(handler, now, arg, request),
        _ => Dispatched::Replied(Refusal::NotFound.reply()),
    }
}

fn body_text(body: &[u8]) -> Result<&str, Refusal> {
    std::str::from_utf8(body).map_err(|_| Refusal::BadRequest("the body is no text".into()))
}

/// An empty response.
#[derive(Serialize)]
pub struct Done {}

// ---- Backends -------------------------------------------------------------------------------------------

/// Longest name of a version.
const MAX_EDITION_BYTES: usize = 128;

/// A heartbeat of a backend, which also registers it.
pub struct Heartbeat {
    /// Its registration.
    pub backend: Backend,
}

/// The body of a heartbeat. The names of its fields are part of the API; [`Heartbeat::parse`] maps them to those
/// of [`Backend`].
#[derive(Deserialize)]
struct HeartbeatBody {
    service: String,
    address: String,
    zone: String,
    edition: Option<String>,
    berths: Option<u32>,
    state: String,
    cold_time: Option<String>,
    postmark: Option<u64>,
}

/// The response to a heartbeat.
#[derive(Serialize)]
pub struct HeartbeatResponse {
    /// The address of the leader, which takes further heartbeats directly.
    pub beat_address: String,
}

impl Call for Heartbeat {
    const NAME: &'static str = "Instances.Beat";
    const METHOD: &'static str = "POST";
    const LEADER_ONLY: bool = true;
    type Response = HeartbeatResponse;

    fn parse(arg: &str, _: &str, request: &CallRequest) -> Result<Self, Refusal> {
        let bad = |reason: &str| Refusal::BadRequest(reason.to_owned());
        let body: HeartbeatBody = miniserde::json::from_str(body_text(request.body)?)
            .map_err(|_| bad("a field is missing or of another type"))?;
        if arg.is_empty() || arg.len() > 256 {
            return Err(bad("the path names no id"));
        }
        if body.address.parse::<std::net::SocketAddr>().is_err() {
            return Err(bad("address is no address and port"));
        }
        let edition = body.edition.unwrap_or_default();
        if edition.len() > MAX_EDITION_BYTES {
            return Err(bad("edition is too long"));
        }
        let draining = match body.state.as_str() {
            "open" => false,
            "closing" => true,
            _ => return Err(bad("state is neither open nor closing")),
        };
        let cold = body.cold_time.as_deref().map_or(Some(Default::default()), crate::units::parse_duration);
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
            edition,
        };
        Ok(Heartbeat { backend })
    }
}

/// The deregistration of a backend.
pub struct Deregister {
    /// The backend's id.
    pub id: String,
}

impl Call for Deregister {
    const NAME: &'static str = "Instances.Leave";
    const METHOD: &'static str = "POST";
    const LEADER_ONLY: bool = true;
    type Response = Done;

    fn parse(arg: &str, _: &str, _: &CallRequest) -> Result<Self, Refusal> {
        match arg {
            "" => Err(Refusal::BadRequest("the path names no id".into())),
            id => Ok(Deregister { id: id.to_owned() }),
        }
    }
}

// ---- Operators ------------------------------------------------------------------------------------------

/// A digest of a request's path and body.
fn call_digest(request: &CallRequest) -> u64 {
    use std::hash::Hasher;
    let mut hasher = crate::state::hasher();
    hasher.write(request.path.as_bytes());
    hasher.write(request.body);
    hasher.finish()
}

/// A configuration update.
pub struct ConfigUpdate {
    /// Its content, or the reason why it is invalid.
    pub document: Result<ConfigDocument, InvalidConfig>,
    /// It changes single items; otherwise it replaces the whole configuration.
    pub patch: bool,
    /// Identifies it, so that retries are recognised; none if the content is invalid.
    pub id: Option<UpdateId>,
}

impl ConfigUpdate {
    fn read(request: &CallRequest, patch: bool) -> ConfigUpdate {
        let document = ConfigDocument::read(request.body);
        let id = document.as_ref().ok().map(|document| UpdateId {
            edition: document.edition,
            based_on: document.based_on,
            content_digest: document.digest(patch),
            call_digest: call_digest(request),
        });
        ConfigUpdate { document, patch, id }
    }
}

/// Replaces the whole configuration.
pub struct Put(pub ConfigUpdate);

impl Call for Put {
    const NAME: &'static str = "Config.Put";
    const METHOD: &'static str = "POST";
    const LEADER_ONLY: bool = true;
    type Response = Done;

    fn parse(_: &str, _: &str, request: &CallRequest) -> Result<Self, Refusal> {
        Ok(Put(ConfigUpdate::read(request, false)))
    }
}

/// Changes single items of the configuration.
pub struct Patch(pub ConfigUpdate);

impl Call for Patch {
    const NAME: &'static str = "Config.Patch";
    const METHOD: &'static str = "POST";
    const LEADER_ONLY: bool = true;
    type Response = Done;

    fn parse(_: &str, _: &str, request: &CallRequest) -> Result<Self, Refusal> {
        Ok(Patch(ConfigUpdate::read(request, true)))
    }
}

/// Reads the configuration in force.
pub struct Get;

impl Call for Get {
    const NAME: &'static str = "Config.Get";
    const METHOD: &'static str = "GET";
    const LEADER_ONLY: bool = true;
    type Response = JsonText;

    fn parse(_: &str, _: &str, _: &CallRequest) -> Result<Self, Refusal> {
        Ok(Get)
    }
}

/// Starts the evacuation of a zone.
pub struct StartEvacuation(pub Evacuated);

/// Ends the evacuation of a zone.
pub struct EndEvacuation(pub Evacuated);

fn parse_evacuation(arg: &str, on: bool) -> Result<Evacuated, Refusal> {
    match arg {
        "" => Err(Refusal::BadRequest("the path names no zone".into())),
        zone => Ok(Evacuated { zone: zone.to_owned(), on }),
    }
}

impl Call for StartEvacuation {
    const NAME: &'static str = "Evacuate.Start";
    const METHOD: &'static str = "POST";
    const LEADER_ONLY: bool = true;
    type Response = Done;

    fn parse(arg: &str, _: &str, _: &CallRequest) -> Result<Self, Refusal> {
        parse_evacuation(arg, true).map(StartEvacuation)
    }
}

impl Call for EndEvacuation {
    const NAME: &'static str = "Evacuate.End";
    const METHOD: &'static str = "POST";
    const LEADER_ONLY: bool = true;
    type Response = Done;

    fn parse(arg: &str, _: &str, _: &CallRequest) -> Result<Self, Refusal> {
        parse_evacuation(arg, false).map(EndEvacuation)
    }
}

/// Largest body of an order to roll out a version.
const MAX_ORDER_BYTES: usize = 4096;
/// Longest term of a roll-out.
const MAX_TERM: Duration = Duration::from_secs(24 * 3600);

/// Moves a service's requests to the backends of a version.
pub struct StartRollout {
    /// The service.
    pub service: String,
    /// The version.
    pub to_edition: String,
    /// Time from the order until the move has ended.
    pub term: Duration,
}

#[derive(Deserialize)]
struct StartRolloutBody {
    service: String,
    to_edition: String,
    by_time: String,
}

impl Call for StartRollout {
    const NAME: &'static str = "Rollouts.Start";
    const METHOD: &'static str = "POST";
    const LEADER_ONLY: bool = true;
    type Response = Done;

    fn parse(_: &str, _: &str, request: &CallRequest) -> Result<Self, Refusal> {
        let bad = |reason: String| Refusal::BadRequest(reason);
        if request.body.len() > MAX_ORDER_BYTES {
            return Err(Refusal::BodyTooLarge);
        }
        let body: StartRolloutBody = miniserde::json::from_str(body_text(request.body)?)
            .map_err(|_| bad("service, to_edition or by_time is missing or of another type".into()))?;
        if body.to_edition.is_empty() || body.to_edition.len() > MAX_EDITION_BYTES {
            return Err(bad(format!("to_edition is empty or over {MAX_EDITION_BYTES} bytes")));
        }
        let term = crate::units::parse_duration(&body.by_time)
            .ok_or_else(|| bad(format!("by_time {} is no time, such as 12s or 1500ms", body.by_time)))?;
        if term.as_millis() == 0 || term > MAX_TERM {
            return Err(bad(format!(
                "by_time {} is not between 1ms and {}s",
                body.by_time,
                MAX_TERM.as_secs()
            )));
        }
        Ok(StartRollout { service: body.service, to_edition: body.to_edition, term })
    }
}

/// Reads the progress of a service's latest roll-out.
pub struct GetRollout {
    /// The service.
    pub service: String,
}

/// The progress of a roll-out.
#[derive(Serialize)]
pub struct RolloutProgress {
    /// `in_transit`, `delivered` or `returned`.
    pub state: String,
    /// The version that the service moves to.
    pub to_edition: String,
    /// The phase.
    pub phase: String,
    /// The new version's share of the requests.
    pub share: f64,
    /// Why it is in this phase.
    pub reason: String,
}

impl Call for GetRollout {
    const NAME: &'static str = "Rollouts.Get";
    const METHOD: &'static str = "GET";
    const LEADER_ONLY: bool = true;
    type Response = RolloutProgress;

    fn parse(arg: &str, _: &str, _: &CallRequest) -> Result<Self, Refusal> {
        match arg {
            "" => Err(Refusal::BadRequest("the path names no service".into())),
            service => Ok(GetRollout { service: service.to_owned() }),
        }
    }
}

/// Reads the status of the system as this process sees it.
pub struct GetStatus;

impl Call for GetStatus {
    const NAME: &'static str = "Status";
    const METHOD: &'static str = "GET";
    const LEADER_ONLY: bool = false;
    type Response = Status;

    fn parse(_: &str, _: &str, _: &CallRequest) -> Result<Self, Refusal> {
        Ok(GetStatus)
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
    /// How long the client may cache this: a number and its unit, such as `5000ms`.
    pub ttl: String,
}

impl Call for Resolve {
    const NAME: &'static str = "resolve";
    const METHOD: &'static str = "GET";
    const LEADER_ONLY: bool = false;
    type Response = Resolved;

    fn parse(_: &str, query: &str, _: &CallRequest) -> Result<Self, Refusal> {
        let parameter = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            parts.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        Ok(Resolve { region: parameter("region"), zone: parameter("zone") })
    }
}
