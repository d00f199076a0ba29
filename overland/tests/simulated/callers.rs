//! Who calls the core: backends that beat, drain, leave, crash and come back, and operators that change the
//! configuration, race, repeat what had no clear answer to another member, empty zones and read.

use super::{core_number, World};
use overland::calls::Reply;
use std::collections::BTreeMap;

/// A backend beats so often, in ms.
const BEAT_MS: f64 = 1500.0;
/// It serves on for so long after its closing was acknowledged, in ms.
pub const DRAIN_MS: f64 = 2500.0;
/// A planned end waits so long for its acknowledgement, in ms.
const CLOSING_MS: f64 = 6000.0;
/// An operator sends one order again and again for so long, in ms.
const INSIST_MS: f64 = 8000.0;

/// A caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    Backend(usize),
    Operator(usize),
    /// One order under way of those that race.
    Racer(usize),
}

/// Where a backend stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Open,
    /// It says that it is closing, since then.
    Closing(f64),
    /// Its closing was acknowledged; it leaves then.
    Drains(f64),
    Leaving(f64),
    /// It is gone, and another comes in its place.
    Gone,
}

/// A backend's place: one life after the other.
pub struct Backend {
    pub life: u32,
    pub phase: Phase,
    postmark: u64,
    /// Where its beats go.
    target: Option<usize>,
    tries: u32,
}

impl Backend {
    pub fn id(&self, place: usize) -> String {
        format!("i-{place}-{}", self.life)
    }
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Wish {
    /// A version, by its place in the judge's list.
    Version(usize),
    /// A zone is emptied, or taken back.
    Zone(usize, bool),
    /// The newest configuration is wanted; asked then.
    Read(f64),
}

/// An order until it has a clear answer.
pub struct Order {
    pub wish: Wish,
    method: &'static str,
    path: String,
    body: Vec<u8>,
    since: f64,
    tries: u32,
}

pub struct Operator {
    pub order: Option<Order>,
    /// The version that it takes for the newest.
    pub believes: u64,
}

/// All callers.
pub struct Callers {
    pub backends: Vec<Backend>,
    pub operators: Vec<Operator>,
    waits: BTreeMap<u64, Who>,
    /// Backends end, crash and come back.
    pub churn: bool,
    /// Backends come and go in tenths of a second, and end without a word before.
    pub hasty: bool,
    /// Operators want something new.
    pub wishes: bool,
    /// A pause between two wishes of an operator, in ms.
    pub pause_ms: f64,
    /// Routes of the configurations that operators want.
    pub routes: usize,
    /// Each beat tells something new of its backend.
    pub restless: bool,
}

impl Callers {
    pub fn new(_: &mut fastrand::Rng, backends: usize, operators: usize) -> Self {
        let backend = |_| Backend { life: 1, phase: Phase::Open, postmark: 0, target: None, tries: 0 };
        Callers {
            backends: (0..backends).map(backend).collect(),
            operators: (0..operators).map(|_| Operator { order: None, believes: 0 }).collect(),
            waits: BTreeMap::new(),
            churn: true,
            hasty: false,
            wishes: true,
            pause_ms: 800.0,
            routes: 1,
            restless: false,
        }
    }

    /// The call that this caller waits for.
    pub fn token(&self, who: Who) -> Option<u64> {
        self.waits.iter().find(|(_, waits)| **waits == who).map(|(token, _)| *token)
    }

    pub fn all(&self) -> Vec<Who> {
        let backends = (0..self.backends.len()).map(Who::Backend);
        backends.chain((0..self.operators.len()).map(Who::Operator)).collect()
    }
}

/// A valid configuration of that version: one tenant with a key of its own, one route.
pub fn configuration(edition: u64, based_on: u64, mark: u64) -> String {
    configuration_of(edition, based_on, mark, 1)
}

/// And one of so many routes.
pub fn configuration_of(edition: u64, based_on: u64, mark: u64, routes: usize) -> String {
    let based_on = if based_on == 0 { "0".to_owned() } else { format!("\"r{based_on}\"") };
    let route = |n: usize| {
        let (name, prefix) =
            if n == 0 { (format!("r-{mark}"), "x".into()) } else { (format!("r-{n}"), format!("x{n}")) };
        format!(
            r#"{{"name":"{name}","kind":"safe","target":"500ms","priority":1,"unstamped":false,"sorting":{{"lane_prefix":"/{prefix}/"}},"dispatch":{{"service":"s","timeout":"1200ms","attempts":2,"home_regions":[]}}}}"#
        )
    };
    let routes = (0..routes).map(route).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"edition":"r{edition}","limits":{{"label_bytes":16384,"body_bytes":1048576,"label_time":"3000ms","idle":"15000ms"}},"patrons":[{{"name":"t","stamps":["k{mark}"],"priority":0,"per_s":10,"burst":10,"home_regions":[]}}],"based_on":{based_on},"docks":[{{"depot":"a.example","regulations":[{routes}]}}],"fleets":[{{"name":"s","health_path":"/health","conn_cap":110,"cold":"3s","cold_per_s":4}}]}}"#
    )
}

/// A caller does what comes next.
pub fn turn(world: &mut World, who: Who) {
    if world.callers.waits.values().any(|waits| *waits == who) {
        return;
    }
    match who {
        Who::Backend(place) => backend_turn(world, place),
        Who::Operator(number) => operator_turn(world, number),
        Who::Racer(slot) => super::racers::turn(world, slot),
    }
}

/// An answer came, or none.
pub fn answered(world: &mut World, token: u64, reply: Option<Reply>) {
    match world.callers.waits.remove(&token) {
        Some(Who::Backend(place)) => backend_answered(world, place, reply),
        Some(Who::Operator(number)) => operator_answered(world, number, reply),
        Some(Who::Racer(slot)) => super::racers::answered(world, slot, reply),
        None => {}
    }
}

pub fn ask(
    world: &mut World, who: Who, core: usize, method: &'static str, path: String, body: Vec<u8>,
) -> u64 {
    let token = world.call(core, method, path, body);
    world.callers.waits.insert(token, who);
    token
}

fn any_core(world: &mut World) -> usize {
    let cores = world.cores.len();
    world.rng.usize(0..cores)
}

// ---- Backends ---------------------------------------------------------------------------------------------------

fn backend_turn(world: &mut World, place: usize) {
    let (now, chance) = (world.now, world.rng.f64());
    let (churn, hasty) = (world.callers.churn, world.callers.hasty);
    let any = any_core(world);
    let backend = &mut world.callers.backends[place];
    match backend.phase {
        Phase::Open if hasty && churn && chance < 0.2 && backend.postmark > 1 => {
            backend.phase = Phase::Leaving(now);
        }
        Phase::Open if churn && chance < 0.03 => backend.phase = Phase::Closing(now),
        Phase::Open if churn && chance < 0.05 => {
            // It crashes, and says nothing.
            backend.phase = Phase::Gone;
            return world.turn(1000.0 + chance * 40_000.0, Who::Backend(place));
        }
        Phase::Closing(since) if now - since > CLOSING_MS => {
            backend.phase = Phase::Gone;
            return world.turn(1000.0, Who::Backend(place));
        }
        Phase::Drains(until) if now >= until => backend.phase = Phase::Leaving(now),
        Phase::Drains(_) => {}
        Phase::Leaving(since) if now - since > CLOSING_MS => {
            backend.phase = Phase::Gone;
            return world.turn(1000.0, Who::Backend(place));
        }
        Phase::Gone => {
            *backend =
                Backend { life: backend.life + 1, phase: Phase::Open, postmark: 0, target: None, tries: 0 };
        }
        _ => {}
    }
    let id = backend.id(place);
    let core = backend.target.unwrap_or(any);
    let who = Who::Backend(place);
    if let Phase::Leaving(_) = backend.phase {
        // In haste it tells whoever it finds.
        let core = if hasty { any } else { core };
        ask(world, who, core, "POST", format!("/api/Instances.Leave/{id}"), Vec::new());
        return;
    }
    backend.postmark += 1;
    let state = if backend.phase == Phase::Open { "open" } else { "closing" };
    let berths = if world.callers.restless { 1 + backend.postmark % 7 } else { 2 };
    let zone = ["z1", "z2"][place % 2];
    let body = format!(
        r#"{{"service":"s","address":"10.128.{place}.{}:80","zone":"{zone}","edition":"v1","berths":{berths},"state":"{state}","cold_time":"0ms","postmark":{}}}"#,
        backend.life % 200,
        backend.postmark
    );
    ask(world, who, core, "POST", format!("/api/Instances.Beat/{id}"), body.into_bytes());
}

fn backend_answered(world: &mut World, place: usize, reply: Option<Reply>) {
    let now = world.now;
    let backend = &mut world.callers.backends[place];
    let id = backend.id(place);
    let Some(reply) = reply.filter(|reply| reply.status == 200) else {
        (backend.target, backend.tries) = (None, backend.tries + 1);
        let pause = 50.0 * f64::from(backend.tries.min(6));
        return world.turn(pause, Who::Backend(place));
    };
    backend.tries = 0;
    if let Some(address) = reply.body.split('"').nth(3) {
        backend.target = core_number(address).filter(|core| *core < world.cores.len());
    }
    let pause = match backend.phase {
        Phase::Closing(_) => {
            backend.phase = Phase::Drains(now + DRAIN_MS + 500.0);
            world.judge.closing(now, &id);
            DRAIN_MS + 500.0
        }
        Phase::Leaving(_) => {
            backend.phase = Phase::Gone;
            world.judge.closing(now, &id);
            1000.0
        }
        _ => {
            world.judge.beat(now, &id);
            if world.callers.hasty {
                BEAT_MS / 5.0
            } else {
                BEAT_MS
            }
        }
    };
    world.turn(pause, Who::Backend(place));
}

// ---- Operators --------------------------------------------------------------------------------------------------

fn wish(world: &mut World, number: usize) -> Order {
    let (now, chance, step) = (world.now, world.rng.f64(), world.rng.u64(1..4));
    let believes = world.callers.operators[number].believes;
    let (wish, method, path, body) = if chance < 0.65 {
        let version = world.judge.version(now, believes + step, believes);
        let routes = world.callers.routes;
        let body = configuration_of(believes + step, believes, version as u64, routes).into_bytes();
        (Wish::Version(version), "POST", "/api/Config.Put".to_owned(), body)
    } else if chance < 0.85 {
        // Each operator empties a zone of its own: the order of two operators' wishes would be nobody's.
        let on = world.rng.bool();
        let path = format!("/api/Evacuate.{}/zone-{number}", if on { "Start" } else { "End" });
        (Wish::Zone(number, on), "POST", path, Vec::new())
    } else {
        (Wish::Read(now), "GET", "/api/Config.Get".to_owned(), Vec::new())
    };
    Order { wish, method, path, body, since: now, tries: 0 }
}

fn operator_turn(world: &mut World, number: usize) {
    if world.callers.operators[number].order.is_none() {
        if !world.callers.wishes {
            return world.turn(500.0, Who::Operator(number));
        }
        let order = wish(world, number);
        if let Wish::Zone(zone, on) = order.wish {
            world.judge.zone_asked(zone, on);
        }
        world.callers.operators[number].order = Some(order);
    }
    let core = any_core(world);
    let Some(order) = &mut world.callers.operators[number].order else { return };
    order.tries += 1;
    if let Wish::Read(at) = &mut order.wish {
        *at = world.now;
    }
    let (method, path, body) = (order.method, order.path.clone(), order.body.clone());
    ask(world, Who::Operator(number), core, method, path, body);
}

/// The version that an answer of `Config.Get` holds, and its mark.
pub fn read_back(body: &str) -> Option<(u64, usize)> {
    let edition = body.split("\"edition\":\"r").nth(1)?.split('"').next()?.parse().ok()?;
    let mark = body.split("\"stamps\":[\"k").nth(1)?.split('"').next()?.parse().ok()?;
    Some((edition, mark))
}

fn operator_answered(world: &mut World, number: usize, reply: Option<Reply>) {
    let (now, pause) = (world.now, world.callers.pause_ms * (0.2 + world.rng.f64()));
    let operator = &mut world.callers.operators[number];
    let Some(order) = &operator.order else { return };
    let (wish, tries, since) = (order.wish.clone(), order.tries, order.since);
    let status = reply.as_ref().map_or(0, |reply| reply.status);
    let done = match status {
        200 => {
            match &wish {
                Wish::Version(version) => {
                    operator.believes = world.judge.taken(now, *version);
                }
                Wish::Zone(zone, on) => world.judge.zone_acknowledged(*zone, *on),
                Wish::Read(asked) => {
                    let read = reply.as_ref().and_then(|reply| read_back(&reply.body));
                    let (edition, mark) = read.expect("a configuration");
                    world.judge.read(*asked, edition, mark);
                    operator.believes = edition;
                }
            }
            true
        }
        400..=499 if status != 408 && status != 429 => {
            if let Wish::Version(version) = wish {
                world.judge.refused(version);
            }
            true
        }
        _ => now - since > INSIST_MS,
    };
    if !done {
        return world.turn(50.0 * f64::from(tries.min(10)), Who::Operator(number));
    }
    operator.order = None;
    if status != 200 {
        // It finds out what is in place before it wants anything new.
        let read = Order {
            wish: Wish::Read(now),
            method: "GET",
            path: "/api/Config.Get".to_owned(),
            body: Vec::new(),
            since: now,
            tries: 0,
        };
        operator.order = Some(read).filter(|_| world.judge.any_taken());
    }
    world.turn(pause, Who::Operator(number));
}
