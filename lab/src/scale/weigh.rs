//! Slopes: what each message and each part of the state costs, by single parts of the system in one process, without
//! sockets. A core member, agents and proxies run in virtual time; processor time is that of this thread.

use super::draw::{zone_of, Drawn, Machine, Size};
use super::fit::Line;
use super::hollow::{thread_s, Holds, HollowProxy};
use cherrytally::Millis;
use overland::config::Config;
use overland::member::{Action, Event, Member, TICK_MS};
use overland::protocol::{Charge, Charges, FromAgent, Gateway, ToProxy};
use overland::raft::MAX_ENTRY_VERSION;
use overland::settings::Settings;
use overland::state::{DigestCache, State};
use prost::Message;
use serde::{Deserialize, Serialize};

/// Bytes of this process's heap at present, and at the peak since it was last asked: none where nobody counts.
pub trait Heap {
    /// At present.
    fn now(&self) -> usize;
    /// The most since the last call; counts anew from now on.
    fn peak(&self) -> usize;
}

/// Nobody counts.
pub struct NoHeap;

impl Heap for NoHeap {
    fn now(&self) -> usize {
        0
    }

    fn peak(&self) -> usize {
        0
    }
}

/// Times that a cost is measured; the middle one counts.
const TIMES: usize = 5;
/// Short costs are measured over so much processor time at least, in s.
const SPAN_S: f64 = 0.02;
/// And over so many repeats at most.
const REPEATS: usize = 20_000;
/// Words of one agent between two charges to the clock: an agent speaks each 400 ms.
const WORD_MS: Millis = 400.0;
/// A push of whole configurations stands in this process at once: no more gateways than these get one.
const PUSH_MOST_BYTES: usize = 1 << 30;

/// One measured cost at several sizes, and the line through them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// What was measured.
    pub what: String,
    /// Its unit.
    pub unit: String,
    /// What it grows with.
    pub with: String,
    /// The sizes and what was measured there.
    pub points: Vec<(f64, f64)>,
    /// The line.
    pub line: Line,
}

/// What is measured comes together here.
#[derive(Default)]
struct Slopes(Vec<Slope>);

impl Slopes {
    fn note(&mut self, what: &str, unit: &str, with: &str, n: f64, value: f64) {
        let found = self.0.iter().position(|slope| slope.what == what && slope.with == with);
        let at = found.unwrap_or_else(|| {
            let (what, unit, with) = (what.to_owned(), unit.to_owned(), with.to_owned());
            self.0.push(Slope { what, unit, with, points: Vec::new(), line: Line::default() });
            self.0.len() - 1
        });
        let slope = &mut self.0[at];
        slope.points.push((n, value));
        slope.line = Line::through(&slope.points);
    }
}

/// Processor time of one repeat, in s: the middle of several measures, each over many repeats where one is short.
fn cost(mut repeat: impl FnMut()) -> f64 {
    let mut took: Vec<f64> = (0..TIMES)
        .map(|_| {
            let (start, mut repeats) = (thread_s(), 0);
            loop {
                repeat();
                repeats += 1;
                let took = thread_s() - start;
                if took >= SPAN_S || repeats >= REPEATS {
                    return took / repeats as f64;
                }
            }
        })
        .collect();
    took.sort_by(f64::total_cmp);
    took[TIMES / 2]
}

/// A gateway's settings, without a machine.
fn gateway_settings(gateway: usize) -> Result<Settings, String> {
    let seeds = vec!["127.0.0.1:8383".to_owned()];
    let docks = [("front", "127.0.0.1:8080".to_owned())];
    let (node, ip) = (format!("counter-{gateway}"), "127.0.0.1");
    let machine = Machine {
        node: &node,
        class: "counter",
        ip,
        zone: zone_of(gateway),
        docks: &docks,
        data: "/nowhere",
        inner: 7460,
        seeds: &seeds,
    };
    Settings::read(&machine.text()).map_err(|e| format!("{e:#}"))
}

/// A core member that leads alone, in virtual time, with a disk that takes all at once.
pub struct Alone {
    member: Member,
    now: Millis,
    /// Messages to agents since the last look: how many, and their bytes.
    pub said: (u64, u64),
    calls: u64,
    /// The last answer's status.
    pub status: u16,
}

impl Alone {
    /// It leads from then on.
    pub fn new() -> Result<Alone, String> {
        let seeds = vec!["127.0.0.1:8383".to_owned()];
        let docks = [("control", seeds[0].clone())];
        let machine = Machine {
            node: "sorting-1",
            class: "sorting",
            ip: "127.0.0.1",
            zone: zone_of(0),
            docks: &docks,
            data: "/nowhere",
            inner: 7460,
            seeds: &seeds,
        };
        let settings = Settings::read(&machine.text()).map_err(|e| format!("{e:#}"))?;
        let (member, _) = Member::start(settings, None, 7, 0.0).map_err(|e| format!("{e:#}"))?;
        let mut alone = Alone { member, now: 0.0, said: (0, 0), calls: 0, status: 0 };
        // An election takes a few seconds at most.
        for _ in 0..1000 {
            alone.pass(TICK_MS);
            if alone.member.is_leader() {
                return Ok(alone);
            }
        }
        Err("a core member alone does not lead after 25 s".to_owned())
    }

    /// Time passes.
    pub fn pass(&mut self, ms: Millis) {
        self.now += ms;
        self.event(Event::Tick);
    }

    /// Nothing happens for a while: what comes next is pushed at once, and not with the next round.
    pub fn rest(&mut self) {
        (0..4).for_each(|_| self.pass(TICK_MS));
    }

    /// Something happens.
    pub fn event(&mut self, event: Event) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let mut actions = Vec::new();
            self.member.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Save(_) => next = Some(Event::Saved { took_ms: 0.5 }),
                    Action::Send { message: news, .. } => self.note(&*news),
                    Action::SendState { frame: whole, .. } => self.note_framed(&whole),
                    Action::SendTotals { totals, .. } => self.note(&totals),
                    Action::Answer { reply, .. } => self.status = reply.status,
                    _ => {}
                }
            }
        }
    }

    /// As the sockets do it: a message is made bytes.
    fn note(&mut self, message: &impl Message) {
        self.note_framed(&overland::link::encode_frame(message));
    }

    fn note_framed(&mut self, bytes: &[u8]) {
        self.said.0 += 1;
        self.said.1 += bytes.len() as u64;
    }

    /// A call from outside; its status, or that of the last answer where it has to wait.
    pub fn call(&mut self, method: &str, path: String, body: Vec<u8>) {
        self.calls += 1;
        self.status = 0;
        self.event(Event::ClientCall { call: self.calls, method: method.to_owned(), path, body });
    }

    /// The first word of a gateway's agent on its link.
    pub fn meet(&mut self, gateway: usize) {
        let word = FromAgent {
            gateway: Some(Gateway {
                node: format!("counter-{gateway}"),
                zone: zone_of(gateway).0,
                client_addr: format!("10.1.{}.{}:8080", gateway / 250, gateway % 250 + 1),
            }),
            ..self.word(true)
        };
        self.event(Event::AgentMessage { link: gateway as u64, message: word });
    }

    /// A word of an agent that is up to date.
    fn word(&self, ready: bool) -> FromAgent {
        let index = self.member.state().index;
        FromAgent {
            gateway: None,
            ready,
            applied_index: index,
            sent_at: self.now,
            subscribes: true,
            proxy_applied_index: index,
            ranges: None,
            readable_format: MAX_ENTRY_VERSION,
        }
    }

    /// All agents up to here say a word.
    fn words(&mut self, gateways: usize) {
        for gateway in 0..gateways {
            let word = self.word(true);
            self.event(Event::AgentMessage { link: gateway as u64, message: word });
        }
    }
}

/// Sizes at which what grows with the table is measured, in parts of a hundred of the full one.
const TABLES: [f64; 4] = [1.0, 10.0, 30.0, 100.0];
/// Numbers of gateways at which what grows with them is measured.
const GATEWAYS: [usize; 4] = [30, 100, 300, 930];

/// Measures all slopes; `said` is told what is being measured.
pub fn weigh(seed: u64, heap: &dyn Heap, said: &dyn Fn(&str)) -> Result<Vec<Slope>, String> {
    let mut slopes = Slopes::default();
    for percent in TABLES {
        said(&format!("the table at {percent} in 100"));
        table(&mut slopes, &Drawn::new(Size::of(930, percent), seed), heap)?;
    }
    for gateways in GATEWAYS {
        said(&format!("{gateways} gateways"));
        presence(&mut slopes, &Drawn::new(Size::of(gateways, 1.0), seed), heap)?;
        push(&mut slopes, &Drawn::new(Size::of(gateways, 1.0), seed), heap)?;
    }
    Ok(slopes.0)
}

/// What grows with routes and tenants together, in parts of a hundred of the full table.
fn table(slopes: &mut Slopes, drawn: &Drawn, heap: &dyn Heap) -> Result<(), String> {
    let n = drawn.size().tenants as f64 / Size::FULL.tenants as f64 * 100.0;
    let mut note = |what, unit, value| slopes.note(what, unit, "hundredths of routes and tenants", n, value);
    let mb = |bytes: usize| bytes as f64 / 1e6;
    let text = drawn.put(1);
    note("a whole configuration on the wire", "MB", mb(text.len()));
    note("reading and checking a configuration", "ms", 1000.0 * cost(|| drop(Config::read(&text))));
    // The operator's call at the leader, with nobody to push it to.
    let mut alone = Alone::new()?;
    let before = heap.now();
    heap.peak();
    let start = thread_s();
    alone.call("POST", "/api/Config.Put".into(), text.clone().into_bytes());
    note("the leader takes a Put", "ms", 1000.0 * (thread_s() - start));
    if alone.status != 200 {
        return Err(format!("the drawn configuration was answered {}", alone.status));
    }
    note("leader: held after one Put", "MB", mb(heap.now().saturating_sub(before)));
    note("leader: peak during a Put", "MB", mb(heap.peak().saturating_sub(before)));
    let before = heap.now();
    alone.call("POST", "/api/Config.Put".into(), drawn.put(2).into_bytes());
    note("leader: each further Put adds, until the log is cut", "MB", mb(heap.now().saturating_sub(before)));
    alone.meet(0);
    alone.pass(TICK_MS);
    let digest = DigestCache::default();
    let state = alone.member.state();
    note(
        "digest of a copy, once for each change",
        "ms",
        1000.0
            * cost(|| {
                digest.invalidate();
                digest.of(state);
            }),
    );
    let whole = state.snapshot(0.0, false);
    let bytes = whole.encode_to_vec();
    note("encoding a whole state", "ms", 1000.0 * cost(|| drop(whole.encode_to_vec())));
    note(
        "decoding a whole state",
        "ms",
        1000.0 * cost(|| drop(overland::protocol::StateSnapshot::decode(&bytes[..]))),
    );
    let before = heap.now();
    let copy = State::from_snapshot(0.0, whole.clone());
    note("a copy of the state", "MB", mb(heap.now().saturating_sub(before)));
    drop(copy);
    drop(bytes);
    // The proxy's part: its copy, the table of routes and keys, and the tenants' limits.
    let settings = gateway_settings(0)?;
    let before = heap.now();
    heap.peak();
    let mut proxy = HollowProxy::new(settings, Holds::All);
    let start = thread_s();
    let edition =
        proxy.take(0.0, ToProxy { snapshot: Some(whole), leader_contact_age_ms: 0.0, ..ToProxy::default() });
    note("proxy: taking a configuration, until it is in force", "ms", 1000.0 * (thread_s() - start));
    edition.ok_or("the proxy does not go by the drawn configuration")?;
    note("proxy: held of it, with its copy", "MB", mb(heap.now().saturating_sub(before)));
    note("proxy: peak while taking it", "MB", mb(heap.peak().saturating_sub(before)));
    Ok(())
}

/// What grows with backends and gateways.
fn presence(slopes: &mut Slopes, drawn: &Drawn, heap: &dyn Heap) -> Result<(), String> {
    let Size { gateways, backends, tenants, .. } = drawn.size();
    let mut alone = Alone::new()?;
    alone.call("POST", "/api/Config.Put".into(), drawn.put(1).into_bytes());
    let before = heap.now();
    let start = thread_s();
    for place in 0..backends {
        let path = format!("/api/Instances.Beat/{}", drawn.backend(place, 0));
        alone.call("POST", path, drawn.beat(place, 1).into_bytes());
    }
    let first = thread_s() - start;
    slopes.note(
        "leader: a backend's first beat",
        "us",
        "backends",
        backends as f64,
        1e6 * first / backends as f64,
    );
    let held = heap.now().saturating_sub(before) as f64;
    slopes.note(
        "leader: memory of a backend, with its entry in the log",
        "MB",
        "backends",
        backends as f64,
        held / 1e6,
    );
    let mut postmark = 1;
    let beats = cost(|| {
        postmark += 1;
        let place = postmark as usize % backends;
        let path = format!("/api/Instances.Beat/{}", drawn.backend(place, 0));
        alone.call("POST", path, drawn.beat(place, postmark).into_bytes());
    });
    let drawing = cost(|| {
        postmark += 1;
        let place = postmark as usize % backends;
        let _ = (drawn.backend(place, 0), drawn.beat(place, postmark).into_bytes());
    });
    slopes.note(
        "leader: a beat that tells nothing new",
        "us",
        "backends",
        backends as f64,
        1e6 * (beats - drawing),
    );
    slopes.note("leader: a tick", "us", "backends", backends as f64, 1e6 * cost(|| alone.event(Event::Tick)));
    let before = heap.now();
    (0..gateways).for_each(|gateway| alone.meet(gateway));
    let held = heap.now().saturating_sub(before) as f64;
    slopes.note("leader: memory of an agent's link", "MB", "gateways", gateways as f64, held / 1e6);
    // Those that said it are agreed on.
    (0..40).for_each(|_| alone.pass(TICK_MS));
    alone.words(gateways);
    alone.said = (0, 0);
    let round = cost(|| {
        alone.now += WORD_MS;
        alone.words(gateways);
    });
    let (said, bytes) = alone.said;
    slopes.note(
        "leader: an agent's word and its answer",
        "us",
        "gateways",
        gateways as f64,
        1e6 * round / gateways as f64,
    );
    slopes.note(
        "an answer to a word",
        "bytes",
        "gateways",
        gateways as f64,
        bytes as f64 / said.max(1) as f64,
    );
    let word = overland::link::encode_frame(&alone.word(true)).len() as f64;
    slopes.note("an agent's word", "bytes", "gateways", gateways as f64, word);
    // Charges: as many in a message as a gateway has at the peak in the time of a message to the counter.
    let names: Vec<String> = (0..tenants).map(|at| format!("abcd{at}")).collect();
    let mut at = 0;
    let mut charges = |of: usize| {
        at += 1;
        let charge = |k: usize| Charge {
            tenant: names[(at * 7 + k) % tenants].clone(),
            units: 2,
            refund: 0,
            window: 0,
        };
        Charges { sequence: at as u64, charges: (0..of).map(charge).collect() }
    };
    let kinds = [(1, "leader: a message of one charge"), (10, "leader: a message of ten charges")];
    for (of, what) in kinds {
        if gateways == GATEWAYS[0] {
            let bytes = overland::link::encode_frame(&charges(of)).len() as f64;
            slopes.note("charges of one message", "bytes", "charges", of as f64, bytes);
        }
        let took = cost(|| {
            let charges = charges(of);
            alone.event(Event::Charged { link: 0, charges });
        });
        slopes.note(what, "us", "gateways", gateways as f64, 1e6 * took);
    }
    let node = gateways / 2;
    let took = cost(|| {
        let path =
            format!("/api/resolve?name=host1.example&region={}&zone={}", zone_of(node).1, zone_of(node).0);
        alone.call("GET", path, Vec::new());
    });
    slopes.note("leader: a client's question where to go", "us", "gateways", gateways as f64, 1e6 * took);
    Ok(())
}

/// What a change costs the leader for all gateways that follow it.
fn push(slopes: &mut Slopes, drawn: &Drawn, heap: &dyn Heap) -> Result<(), String> {
    let Size { gateways, .. } = drawn.size();
    let mut alone = Alone::new()?;
    alone.call("POST", "/api/Config.Put".into(), drawn.put(1).into_bytes());
    (0..gateways).for_each(|gateway| alone.meet(gateway));
    (0..40).for_each(|_| alone.pass(TICK_MS));
    alone.words(gateways);
    let text = drawn.put(2);
    if text.len() * gateways > PUSH_MOST_BYTES {
        return Ok(());
    }
    let before = heap.now();
    heap.peak();
    alone.said = (0, 0);
    let start = thread_s();
    alone.call("POST", "/api/Config.Put".into(), text.into_bytes());
    let took = thread_s() - start;
    let n = gateways as f64;
    slopes.note("leader: a Put, pushed to all, at 1 in 100 of the table", "ms", "gateways", n, 1000.0 * took);
    slopes.note(
        "leader: bytes pushed, at 1 in 100 of the table",
        "MB",
        "gateways",
        n,
        alone.said.1 as f64 / 1e6,
    );
    let peak = heap.peak().saturating_sub(before) as f64 / 1e6;
    slopes.note(
        "leader: peak of a push, before bytes are framed, at 1 in 100 of the table",
        "MB",
        "gateways",
        n,
        peak,
    );
    alone.words(gateways);
    alone.rest();
    alone.said = (0, 0);
    let start = thread_s();
    let path = format!("/api/Instances.Beat/{}", drawn.backend(0, 1));
    alone.call("POST", path, drawn.beat(0, 1).into_bytes());
    let took = thread_s() - start;
    slopes.note("leader: a backend's first beat, pushed to all", "ms", "gateways", n, 1000.0 * took);
    slopes.note(
        "leader: bytes of a backend's change, pushed to all",
        "bytes",
        "gateways",
        n,
        alone.said.1 as f64,
    );
    Ok(())
}

/// The slopes as a table of text.
pub fn text(slopes: &[Slope]) -> String {
    let mut text = String::new();
    for Slope { what, unit, with, points, line } in slopes {
        let points = points.iter().map(|(n, value)| format!("{}: {}", short(*n), short(*value)));
        let points = points.collect::<Vec<_>>().join(", ");
        text.push_str(&format!(
            "{what}, {unit}: {} + {} x {with} (r2 {:.4}); {points}\n",
            short(line.a),
            short(line.b),
            line.r2
        ));
    }
    text
}

/// A number with three digits that count.
pub fn short(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { (2 - value.abs().log10().floor() as i32).clamp(0, 9) as usize };
    format!("{value:.digits$}")
}
