//! Calls of backends, operators and clients that ask where to go: each is a pair of types, a question and its answer,
//! behind one handler.

use crate::config::{ConfigUpdate, InvalidConfig};
use crate::ledger::UpdateId;
use crate::news::{Backend, Evacuated};
use crate::status::Status;
use cherrytally::Millis;
use miniserde::{Deserialize, Serialize};

/// A call as it came.
pub struct Called<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, with its query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// An answer on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The body: JSON.
    pub body: String,
    /// When to come back, in ms.
    pub after_ms: Option<u64>,
}

/// Why a call is not granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is wrong: a 4xx that ends it.
    Bad(String),
    /// Another version is in place.
    Conflict(String),
    /// Not known here.
    Unknown,
    /// The method is another.
    Method,
    /// Not now, or not known whether: the same call again finds out.
    Later,
    /// It can't be told any more whether it was taken: nothing is claimed.
    Unclear(String),
}

impl From<InvalidConfig> for Refusal {
    fn from(invalid: InvalidConfig) -> Self {
        Refusal::Bad(invalid.0)
    }
}

#[derive(Serialize)]
struct Wrong<'a> {
    error: &'a str,
}

/// When a caller may come back, in ms.
const LATER_MS: u64 = 200;

impl Refusal {
    /// The answer that tells it.
    pub fn reply(&self) -> Reply {
        let (status, why) = match self {
            Refusal::Bad(why) => (400, why.as_str()),
            Refusal::Conflict(why) => (412, why.as_str()),
            Refusal::Unknown => (404, "no such call"),
            Refusal::Method => (405, "another method is needed"),
            Refusal::Later => (503, "not now"),
            Refusal::Unclear(why) => (503, why.as_str()),
        };
        let after_ms = (status == 503).then_some(LATER_MS);
        Reply { status, body: miniserde::json::to_string(&Wrong { error: why }), after_ms }
    }
}

/// One kind of call.
pub trait Call: Sized {
    /// Its name in the path.
    const NAME: &'static str;
    /// Its method.
    const METHOD: &'static str;
    /// Whether only the leader answers it.
    const LEADER: bool;
    /// The answer's type.
    type Answer: Serialize;

    /// Reads the question. `arg` is what follows the name in the path.
    fn read(arg: &str, query: &str, called: &Called) -> Result<Self, Refusal>;
}

/// What comes of a call that is granted.
pub enum Outcome<A, W> {
    /// This is the answer.
    Now(A),
    /// This is the answer, once what it waits for has come about.
    Waits(A, W),
}

/// Whoever answers calls.
pub trait Serves {
    /// What an answer may wait for.
    type Wait;

    /// Whether it leads.
    fn leads(&self) -> bool;

    /// Whether it may answer for all: it leads, and a majority has said so lately.
    fn vouches(&self, now: Millis) -> bool;
}

/// Whoever answers calls of one kind.
pub trait Answers<C: Call>: Serves {
    /// Answers one.
    fn answer(&mut self, now: Millis, call: C) -> Result<Outcome<C::Answer, Self::Wait>, Refusal>;
}

/// What is to be done with a call.
pub enum Served<W> {
    /// It is answered.
    Now(Reply),
    /// It is answered so once what it waits for has come about.
    Waits(Reply, W),
    /// Who leads answers it.
    Elsewhere,
}

/// The one handler.
fn serve<C: Call, S: Answers<C>>(to: &mut S, now: Millis, arg: &str, called: &Called<'_>) -> Served<S::Wait> {
    if called.method != C::METHOD {
        return Served::Now(Refusal::Method.reply());
    }
    if C::LEADER && !to.leads() {
        return Served::Elsewhere;
    }
    if C::LEADER && !to.vouches(now) {
        // Another may lead by now, and have been told more.
        return Served::Now(Refusal::Later.reply());
    }
    let query = called.path.split_once('?').map_or("", |(_, query)| query);
    let granted =
        |answer: &C::Answer| Reply { status: 200, body: miniserde::json::to_string(answer), after_ms: None };
    match C::read(arg, query, called).and_then(|call| to.answer(now, call)) {
        Ok(Outcome::Now(answer)) => Served::Now(granted(&answer)),
        Ok(Outcome::Waits(answer, wait)) => Served::Waits(granted(&answer), wait),
        Err(refusal) => Served::Now(refusal.reply()),
    }
}

/// Finds the call that a path names and has it answered.
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

fn text(body: &[u8]) -> Result<&str, Refusal> {
    std::str::from_utf8(body).map_err(|_| Refusal::Bad("the body is no text".into()))
}

/// Nothing is told besides that it is done.
#[derive(Serialize)]
pub struct Done {}

// ---- Backends ---------------------------------------------------------------------------------------------------

/// A backend says what it is.
pub struct Beat {
    /// What it says.
    pub backend: Backend,
}

#[derive(Deserialize)]
struct BeatForm {
    service: String,
    address: String,
    zone: String,
    berths: Option<u32>,
    state: String,
    cold_time: Option<String>,
    postmark: Option<u64>,
}

/// Where later beats may go.
#[derive(Serialize)]
pub struct BeatAnswer {
    /// The leader's address.
    pub beat_address: String,
}

impl Call for Beat {
    const NAME: &'static str = "Instances.Beat";
    const METHOD: &'static str = "POST";
    const LEADER: bool = true;
    type Answer = BeatAnswer;

    fn read(arg: &str, _: &str, called: &Called) -> Result<Self, Refusal> {
        let bad = |why: &str| Refusal::Bad(why.to_owned());
        let form: BeatForm = miniserde::json::from_str(text(called.body)?)
            .map_err(|_| bad("a field is missing or of another type"))?;
        if arg.is_empty() || arg.len() > 256 {
            return Err(bad("the path names no id"));
        }
        if form.address.parse::<std::net::SocketAddr>().is_err() {
            return Err(bad("address is no address and port"));
        }
        let closing = match form.state.as_str() {
            "open" => false,
            "closing" => true,
            _ => return Err(bad("state is neither open nor closing")),
        };
        let cold = form.cold_time.as_deref().map_or(Some(Default::default()), crate::units::parse_duration);
        let cold = cold.ok_or_else(|| bad("cold_time is no time, such as 1500ms or 2.5s"))?;
        let backend = Backend {
            id: arg.to_owned(),
            service: form.service,
            address: form.address,
            zone: form.zone,
            max_concurrency: form.berths.unwrap_or(0),
            draining: closing,
            cold_ms: cold.as_millis() as u64,
            heartbeat_seq: form.postmark.unwrap_or(u64::MAX),
        };
        Ok(Beat { backend })
    }
}

/// A backend ends.
pub struct Leave {
    /// Its id.
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

// ---- Operators --------------------------------------------------------------------------------------------------

/// A digest of a call's path and bytes.
fn digest(called: &Called) -> u64 {
    use std::hash::Hasher;
    let mut hasher = crate::state::hasher();
    hasher.write(called.path.as_bytes());
    hasher.write(called.body);
    hasher.finish()
}

/// A change of the configuration that is wanted.
pub struct Order {
    /// What it brings.
    pub envelope: Result<ConfigUpdate, InvalidConfig>,
    /// It changes named items; otherwise it brings a whole configuration.
    pub patch: bool,
    /// What tells it from others; none where it can't be read.
    pub mark: Option<UpdateId>,
}

impl Order {
    fn read(called: &Called, patch: bool) -> Order {
        let envelope = ConfigUpdate::read(called.body);
        let mark = envelope.as_ref().ok().map(|envelope| UpdateId {
            edition: envelope.edition,
            based_on: envelope.based_on,
            content_digest: envelope.digest(patch),
            call_digest: digest(called),
        });
        Order { envelope, patch, mark }
    }
}

/// A whole configuration.
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

/// Changes of named items.
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

/// The newest configuration is wanted.
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

/// A zone is to be emptied.
pub struct Evacuate(pub Evacuated);

/// A zone is to be taken back.
pub struct TakeBack(pub Evacuated);

fn zone(arg: &str, on: bool) -> Result<Evacuated, Refusal> {
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
        zone(arg, true).map(Evacuate)
    }
}

impl Call for TakeBack {
    const NAME: &'static str = "Evacuate.End";
    const METHOD: &'static str = "POST";
    const LEADER: bool = true;
    type Answer = Done;

    fn read(arg: &str, _: &str, _: &Called) -> Result<Self, Refusal> {
        zone(arg, false).map(TakeBack)
    }
}

/// The system as this process sees it is wanted.
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

// ---- Clients ----------------------------------------------------------------------------------------------------

/// A client asks for gateways.
pub struct Resolve {
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
}

/// Gateways, and for how long that holds.
#[derive(Serialize)]
pub struct Resolved {
    /// Where clients arrive.
    pub addresses: Vec<String>,
    /// For how long that holds.
    pub ttl: String,
}

impl Call for Resolve {
    const NAME: &'static str = "resolve";
    const METHOD: &'static str = "GET";
    const LEADER: bool = false;
    type Answer = Resolved;

    fn read(_: &str, query: &str, _: &Called) -> Result<Self, Refusal> {
        let named = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            parts.find(|(of, _)| *of == name).map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        Ok(Resolve { region: named("region"), zone: named("zone") })
    }
}
