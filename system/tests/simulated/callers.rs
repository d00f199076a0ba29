//! The core's callers: backends that send heartbeats, drain, leave, crash and come back; operators that
//! update the configuration concurrently, retry at another member, evacuate zones and read.

use super::{core_number, World};
use oakfall_system::api::Reply;
use std::collections::BTreeMap;

/// Interval between a backend's heartbeats.
const HEARTBEAT_INTERVAL_MS: f64 = 1500.0;
/// Gateways must stop using a backend within this time after its closing was acknowledged. It leaves 500 ms
/// later.
pub const DRAIN_MS: f64 = 2500.0;
/// How long a closing or leaving backend waits for the acknowledgement.
const CLOSING_TIMEOUT_MS: f64 = 6000.0;
/// How long an operator retries a request.
const REQUEST_TIMEOUT_MS: f64 = 8000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caller {
    Backend(usize),
    Operator(usize),
    /// A slot for one concurrent request; see [`super::concurrent_updates`].
    RequestSlot(usize),
}

/// A phase in the life of a backend. Times are in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Open,
    /// It has reported itself as closing since this time.
    Closing(f64),
    /// Its closing was acknowledged; it leaves at this time.
    Draining(f64),
    /// It has tried to leave since this time.
    Leaving(f64),
    /// It has ended; a new incarnation takes its slot.
    Gone,
}

/// A slot for successive incarnations of a backend.
pub struct Backend {
    pub incarnation: u32,
    pub phase: Phase,
    postmark: u64,
    /// The core process that its heartbeats go to, if it knows one.
    target: Option<usize>,
    attempts: u32,
}

impl Backend {
    pub fn id(&self, slot: usize) -> String {
        format!("i-{slot}-{}", self.incarnation)
    }
}

/// What an operator requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Put the version with this id.
    Put(usize),
    /// Start (`true`) or end the evacuation of a zone.
    Evacuate(usize, bool),
    /// Read the configuration; the last attempt was sent at this time.
    Read(f64),
}

/// An operator's request, retried until its outcome is known.
pub struct Request {
    pub operation: Operation,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    first_sent_at: f64,
    attempts: u32,
}

pub struct Operator {
    pub request: Option<Request>,
    /// The newest edition that it knows.
    pub known_edition: u64,
}

/// All callers, and how they behave.
pub struct Callers {
    pub backends: Vec<Backend>,
    pub operators: Vec<Operator>,
    pending_calls: BTreeMap<u64, Caller>,
    /// Whether backends end, crash and come back.
    pub churn: bool,
    /// Whether backends live for about 2 s on average, and most leave without closing first.
    pub rapid_churn: bool,
    /// Whether operators start new requests.
    pub operators_active: bool,
    /// The pause between an operator's requests is 0.2 to 1.2 times this.
    pub pause_ms: f64,
    /// Number of routes in the configurations that operators put.
    pub routes: usize,
    /// Whether each heartbeat reports a change of its backend.
    pub changing_reports: bool,
}

impl Callers {
    pub fn new(backends: usize, operators: usize) -> Self {
        let backend =
            |_| Backend { incarnation: 1, phase: Phase::Open, postmark: 0, target: None, attempts: 0 };
        Callers {
            backends: (0..backends).map(backend).collect(),
            operators: (0..operators).map(|_| Operator { request: None, known_edition: 0 }).collect(),
            pending_calls: BTreeMap::new(),
            churn: true,
            rapid_churn: false,
            operators_active: true,
            pause_ms: 800.0,
            routes: 1,
            changing_reports: false,
        }
    }

    /// The token of the call that this caller is waiting for.
    pub fn token(&self, caller: Caller) -> Option<u64> {
        self.pending_calls.iter().find(|(_, waiting)| **waiting == caller).map(|(token, _)| *token)
    }

    pub fn all(&self) -> Vec<Caller> {
        let backends = (0..self.backends.len()).map(Caller::Backend);
        backends.chain((0..self.operators.len()).map(Caller::Operator)).collect()
    }
}

/// A valid configuration with one route and one tenant, whose key identifies the version.
pub fn config_body(edition: u64, based_on: u64, version_id: u64) -> String {
    config_body_with_routes(edition, based_on, version_id, 1)
}

/// The same with this number of routes.
pub fn config_body_with_routes(edition: u64, based_on: u64, version_id: u64, routes: usize) -> String {
    let based_on = if based_on == 0 { "0".to_owned() } else { format!("\"r{based_on}\"") };
    let route = |n: usize| {
        let (name, prefix) = if n == 0 {
            (format!("r-{version_id}"), "x".into())
        } else {
            (format!("r-{n}"), format!("x{n}"))
        };
        format!(
            r#"{{"name":"{name}","kind":"safe","target":"500ms","priority":1,"unstamped":false,"sorting":{{"lane_prefix":"/{prefix}/"}},"dispatch":{{"service":"s","timeout":"1200ms","attempts":2,"home_regions":[]}}}}"#
        )
    };
    let routes = (0..routes).map(route).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"edition":"r{edition}","limits":{{"label_bytes":16384,"body_bytes":1048576,"label_time":"3000ms","idle":"15000ms"}},"patrons":[{{"name":"t","stamps":["k{version_id}"],"priority":0,"per_s":10,"burst":10,"home_regions":[]}}],"based_on":{based_on},"docks":[{{"depot":"a.example","regulations":[{routes}]}}],"fleets":[{{"name":"s","health_path":"/health","conn_cap":110,"cold":"3s","cold_per_s":4}}]}}"#
    )
}

/// Lets a caller take its next step, unless it is waiting for a response.
pub fn take_turn(world: &mut World, caller: Caller) {
    if world.callers.pending_calls.values().any(|waiting| *waiting == caller) {
        return;
    }
    match caller {
        Caller::Backend(slot) => backend_turn(world, slot),
        Caller::Operator(number) => operator_turn(world, number),
        Caller::RequestSlot(slot) => super::concurrent_updates::take_turn(world, slot),
    }
}

/// Handles the end of a call; `reply` is none if there was no response.
pub fn call_ended(world: &mut World, token: u64, reply: Option<Reply>) {
    match world.callers.pending_calls.remove(&token) {
        Some(Caller::Backend(slot)) => backend_call_ended(world, slot, reply),
        Some(Caller::Operator(number)) => operator_call_ended(world, number, reply),
        Some(Caller::RequestSlot(slot)) => super::concurrent_updates::call_ended(world, slot, reply),
        None => world.replies.extend(reply.map(|reply| (token, reply))),
    }
}

/// Sends a call on behalf of a caller, and returns its token.
pub fn send_call(
    world: &mut World, caller: Caller, core: usize, method: &'static str, path: String, body: Vec<u8>,
) -> u64 {
    let token = world.call(core, method, path, body);
    world.callers.pending_calls.insert(token, caller);
    token
}

fn random_core(world: &mut World) -> usize {
    let cores = world.cores.len();
    world.rng.usize(0..cores)
}

// ---- Backends ---------------------------------------------------------------------------------------------

fn backend_turn(world: &mut World, slot: usize) {
    let (now, chance) = (world.now, world.rng.f64());
    let (churn, rapid_churn) = (world.callers.churn, world.callers.rapid_churn);
    let random_core = random_core(world);
    let backend = &mut world.callers.backends[slot];
    match backend.phase {
        Phase::Open if rapid_churn && churn && chance < 0.2 && backend.postmark > 1 => {
            backend.phase = Phase::Leaving(now);
        }
        Phase::Open if churn && chance < 0.03 => backend.phase = Phase::Closing(now),
        Phase::Open if churn && chance < 0.05 => {
            // A crash.
            backend.phase = Phase::Gone;
            return world.schedule_turn(1000.0 + chance * 40_000.0, Caller::Backend(slot));
        }
        Phase::Closing(since) if now - since > CLOSING_TIMEOUT_MS => {
            backend.phase = Phase::Gone;
            return world.schedule_turn(1000.0, Caller::Backend(slot));
        }
        Phase::Draining(until) if now >= until => backend.phase = Phase::Leaving(now),
        Phase::Draining(_) => {}
        Phase::Leaving(since) if now - since > CLOSING_TIMEOUT_MS => {
            backend.phase = Phase::Gone;
            return world.schedule_turn(1000.0, Caller::Backend(slot));
        }
        Phase::Gone => {
            *backend = Backend {
                incarnation: backend.incarnation + 1,
                phase: Phase::Open,
                postmark: 0,
                target: None,
                attempts: 0,
            };
        }
        _ => {}
    }
    let id = backend.id(slot);
    let core = backend.target.unwrap_or(random_core);
    let caller = Caller::Backend(slot);
    if let Phase::Leaving(_) = backend.phase {
        let core = if rapid_churn { random_core } else { core };
        send_call(world, caller, core, "POST", format!("/api/Instances.Leave/{id}"), Vec::new());
        return;
    }
    backend.postmark += 1;
    let state = if backend.phase == Phase::Open { "open" } else { "closing" };
    let berths = if world.callers.changing_reports { 1 + backend.postmark % 7 } else { 2 };
    let zone = ["z1", "z2"][slot % 2];
    let body = format!(
        r#"{{"service":"s","address":"10.128.{slot}.{}:80","zone":"{zone}","edition":"v1","berths":{berths},"state":"{state}","cold_time":"0ms","postmark":{}}}"#,
        backend.incarnation % 200,
        backend.postmark
    );
    send_call(world, caller, core, "POST", format!("/api/Instances.Beat/{id}"), body.into_bytes());
}

fn backend_call_ended(world: &mut World, slot: usize, reply: Option<Reply>) {
    let now = world.now;
    let backend = &mut world.callers.backends[slot];
    let id = backend.id(slot);
    let Some(reply) = reply.filter(|reply| reply.status == 200) else {
        (backend.target, backend.attempts) = (None, backend.attempts + 1);
        let pause = 50.0 * f64::from(backend.attempts.min(6));
        return world.schedule_turn(pause, Caller::Backend(slot));
    };
    backend.attempts = 0;
    if let Some(address) = reply.body.split('"').nth(3) {
        backend.target = core_number(address).filter(|core| *core < world.cores.len());
    }
    let pause = match backend.phase {
        Phase::Closing(_) => {
            backend.phase = Phase::Draining(now + DRAIN_MS + 500.0);
            world.model.record_draining(now, &id);
            DRAIN_MS + 500.0
        }
        Phase::Leaving(_) => {
            backend.phase = Phase::Gone;
            world.model.record_draining(now, &id);
            1000.0
        }
        _ => {
            world.model.record_open(now, &id);
            if world.callers.rapid_churn {
                HEARTBEAT_INTERVAL_MS / 5.0
            } else {
                HEARTBEAT_INTERVAL_MS
            }
        }
    };
    world.schedule_turn(pause, Caller::Backend(slot));
}

// ---- Operators --------------------------------------------------------------------------------------------

fn random_request(world: &mut World, number: usize) -> Request {
    let (now, chance, step) = (world.now, world.rng.f64(), world.rng.u64(1..4));
    let known_edition = world.callers.operators[number].known_edition;
    let (operation, method, path, body) = if chance < 0.65 {
        let edition = known_edition + step;
        let version_id = world.model.add_version(now, edition, known_edition);
        let routes = world.callers.routes;
        let body = config_body_with_routes(edition, known_edition, version_id as u64, routes).into_bytes();
        (Operation::Put(version_id), "POST", "/api/Config.Put".to_owned(), body)
    } else if chance < 0.85 {
        // Each operator has a zone of its own: the order of two operators' requests would be undefined.
        let start = world.rng.bool();
        let path = format!("/api/Evacuate.{}/zone-{number}", if start { "Start" } else { "End" });
        (Operation::Evacuate(number, start), "POST", path, Vec::new())
    } else {
        (Operation::Read(now), "GET", "/api/Config.Get".to_owned(), Vec::new())
    };
    Request { operation, method, path, body, first_sent_at: now, attempts: 0 }
}

fn operator_turn(world: &mut World, number: usize) {
    if world.callers.operators[number].request.is_none() {
        if !world.callers.operators_active {
            return world.schedule_turn(500.0, Caller::Operator(number));
        }
        let request = random_request(world, number);
        if let Operation::Evacuate(zone, start) = request.operation {
            world.model.record_zone_request(zone, start);
        }
        world.callers.operators[number].request = Some(request);
    }
    let core = random_core(world);
    let Some(request) = &mut world.callers.operators[number].request else { return };
    request.attempts += 1;
    if let Operation::Read(sent_at) = &mut request.operation {
        *sent_at = world.now;
    }
    let (method, path, body) = (request.method, request.path.clone(), request.body.clone());
    send_call(world, Caller::Operator(number), core, method, path, body);
}

/// The edition and the version's id in a configuration's text.
pub fn parse_config(body: &str) -> Option<(u64, usize)> {
    let edition = body.split("\"edition\":\"r").nth(1)?.split('"').next()?.parse().ok()?;
    let version_id = body.split("\"stamps\":[\"k").nth(1)?.split('"').next()?.parse().ok()?;
    Some((edition, version_id))
}

fn operator_call_ended(world: &mut World, number: usize, reply: Option<Reply>) {
    let (now, pause) = (world.now, world.callers.pause_ms * (0.2 + world.rng.f64()));
    let operator = &mut world.callers.operators[number];
    let Some(request) = &operator.request else { return };
    let (operation, attempts, first_sent_at) =
        (request.operation.clone(), request.attempts, request.first_sent_at);
    let status = reply.as_ref().map_or(0, |reply| reply.status);
    let done = match status {
        200 => {
            match &operation {
                Operation::Put(version_id) => {
                    operator.known_edition = world.model.acknowledge(now, *version_id);
                }
                Operation::Evacuate(zone, start) => world.model.record_zone_acknowledged(*zone, *start),
                Operation::Read(sent_at) => {
                    let config = reply.as_ref().and_then(|reply| parse_config(&reply.body));
                    let (edition, version_id) = config.expect("a configuration");
                    world.model.check_read(*sent_at, edition, version_id);
                    operator.known_edition = edition;
                }
            }
            true
        }
        400..=499 if status != 408 && status != 429 => {
            if let Operation::Put(version_id) = operation {
                world.model.reject(version_id);
            }
            true
        }
        _ => now - first_sent_at > REQUEST_TIMEOUT_MS,
    };
    if !done {
        return world.schedule_turn(50.0 * f64::from(attempts.min(10)), Caller::Operator(number));
    }
    operator.request = None;
    if status != 200 {
        // Reads the current configuration before the next update.
        let read = Request {
            operation: Operation::Read(now),
            method: "GET",
            path: "/api/Config.Get".to_owned(),
            body: Vec::new(),
            first_sent_at: now,
            attempts: 0,
        };
        operator.request = Some(read).filter(|_| world.model.has_acknowledged());
    }
    world.schedule_turn(pause, Caller::Operator(number));
}
