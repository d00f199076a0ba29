//! Measures the cost of single messages and of the parts of the state, by size, and fits a line to each.
//!
//! A core member, agents and proxies run in this process in virtual time, without sockets. Costs are the CPU time
//! of this thread, and heap memory.
//!
//! Files with measured slopes contain the names of the costs, and [`super::forecast`] looks them up by name.

use super::generator::{zone_of, FleetSize, GeneratedFleet, NodeSettings};
use super::regression::LinearFit;
use super::simulated_gateway::{thread_cpu_s, ProxyDetail, SimulatedProxy};
use oakfall::Millis;
use oakfall_system::config::Config;
use oakfall_system::member::{Action, Event, Member, TICK_MS};
use oakfall_system::protocol::{Charge, Charges, FromAgent, Gateway, ToProxy};
use oakfall_system::raft::MAX_ENTRY_VERSION;
use oakfall_system::settings::Settings;
use oakfall_system::state::{DigestCache, State};
use prost::Message;
use serde::{Deserialize, Serialize};

/// Heap usage of this process.
pub trait Heap {
    /// Bytes in use.
    fn current_bytes(&self) -> usize;
    /// The largest number of bytes in use since the last call.
    fn take_peak_bytes(&self) -> usize;
}

/// For processes whose allocator does not count: all usage is 0.
pub struct NoHeap;

impl Heap for NoHeap {
    fn current_bytes(&self) -> usize {
        0
    }

    fn take_peak_bytes(&self) -> usize {
        0
    }
}

/// Number of samples of a cost, of which the median is the result.
const SAMPLES: usize = 5;
/// CPU time after which a sample ends, in s.
const SAMPLE_S: f64 = 0.02;
/// Number of repeats after which a sample ends.
const MAX_REPEATS: usize = 20_000;
/// Interval between messages of an agent to the leader.
const AGENT_MESSAGE_INTERVAL_MS: Millis = 400.0;
/// A push of more bytes than this to all gateways together is not measured.
const MAX_PUSH_BYTES: usize = 1 << 30;

/// A cost that was measured at several sizes, and the line fitted to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// Name of the cost.
    pub what: String,
    /// Its unit.
    pub unit: String,
    /// The quantity that it grows with.
    #[serde(rename = "with")]
    pub grows_with: String,
    /// Pairs of the quantity and the cost.
    pub points: Vec<(f64, f64)>,
    /// The line fitted to the points.
    #[serde(rename = "line")]
    pub fit: LinearFit,
}

#[derive(Default)]
struct Slopes(Vec<Slope>);

impl Slopes {
    fn add_point(&mut self, what: &str, unit: &str, grows_with: &str, n: f64, value: f64) {
        let found = self.0.iter().position(|slope| slope.what == what && slope.grows_with == grows_with);
        let index = found.unwrap_or_else(|| {
            let (what, unit, grows_with) = (what.to_owned(), unit.to_owned(), grows_with.to_owned());
            self.0.push(Slope { what, unit, grows_with, points: Vec::new(), fit: LinearFit::default() });
            self.0.len() - 1
        });
        let slope = &mut self.0[index];
        slope.points.push((n, value));
        slope.fit = LinearFit::from_points(&slope.points);
    }
}

/// CPU time of one repeat, in s: the median of several samples, each the mean of its repeats.
fn cpu_cost_s(mut repeat: impl FnMut()) -> f64 {
    let mut samples: Vec<f64> = (0..SAMPLES)
        .map(|_| {
            let (start, mut repeats) = (thread_cpu_s(), 0);
            loop {
                repeat();
                repeats += 1;
                let elapsed = thread_cpu_s() - start;
                if elapsed >= SAMPLE_S || repeats >= MAX_REPEATS {
                    return elapsed / repeats as f64;
                }
            }
        })
        .collect();
    samples.sort_by(f64::total_cmp);
    samples[SAMPLES / 2]
}

fn gateway_settings(gateway: usize) -> Result<Settings, String> {
    let seeds = vec!["127.0.0.1:8383".to_owned()];
    let listen_addresses = [("front", "127.0.0.1:8080".to_owned())];
    let (node, ip) = (format!("counter-{gateway}"), "127.0.0.1");
    let settings = NodeSettings {
        node: &node,
        class: "counter",
        ip,
        zone: zone_of(gateway),
        listen_addresses: &listen_addresses,
        data_dir: "/nowhere",
        inner_port: 7460,
        seeds: &seeds,
    };
    Settings::read(&settings.to_yaml()).map_err(|e| format!("{e:#}"))
}

/// The only member of a core, which is its leader, in virtual time. Writes to its disk complete at once.
pub struct SingleCore {
    member: Member,
    now: Millis,
    /// Number and bytes of the messages to agents since the caller last reset them.
    pub sent: (u64, u64),
    calls: u64,
    /// Status of the last response; 0 while a call is pending.
    pub status: u16,
}

impl SingleCore {
    /// Starts the member, and waits until it is the leader.
    pub fn new() -> Result<SingleCore, String> {
        let seeds = vec!["127.0.0.1:8383".to_owned()];
        let listen_addresses = [("control", seeds[0].clone())];
        let settings = NodeSettings {
            node: "sorting-1",
            class: "sorting",
            ip: "127.0.0.1",
            zone: zone_of(0),
            listen_addresses: &listen_addresses,
            data_dir: "/nowhere",
            inner_port: 7460,
            seeds: &seeds,
        };
        let settings = Settings::read(&settings.to_yaml()).map_err(|e| format!("{e:#}"))?;
        let (member, _) = Member::start(settings, None, 7, 0.0).map_err(|e| format!("{e:#}"))?;
        let mut core = SingleCore { member, now: 0.0, sent: (0, 0), calls: 0, status: 0 };
        // An election takes at most a few seconds.
        for _ in 0..1000 {
            core.advance(TICK_MS);
            if core.member.is_leader() {
                return Ok(core);
            }
        }
        Err("the single core member is not the leader after 25 s".to_owned())
    }

    /// Advances the time, and ticks.
    pub fn advance(&mut self, ms: Millis) {
        self.now += ms;
        self.handle(Event::Tick);
    }

    /// Advances the time by several ticks, so that the next change is sent at once and not batched.
    pub fn advance_past_batch(&mut self) {
        (0..4).for_each(|_| self.advance(TICK_MS));
    }

    /// Handles an event, and executes the actions.
    pub fn handle(&mut self, event: Event) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let mut actions = Vec::new();
            self.member.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Save(_) => next = Some(Event::Saved { took_ms: 0.5 }),
                    Action::Send { message, .. } => self.count_sent(&*message),
                    Action::SendState { frame, .. } => self.count_sent_frame(&frame),
                    Action::SendTotals { totals, .. } => self.count_sent(&totals),
                    Action::Answer { reply, .. } => self.status = reply.status,
                    _ => {}
                }
            }
        }
    }

    /// Encodes a message, as a link does, and counts it.
    fn count_sent(&mut self, message: &impl Message) {
        self.count_sent_frame(&oakfall_system::link::encode_frame(message));
    }

    fn count_sent_frame(&mut self, frame: &[u8]) {
        self.sent.0 += 1;
        self.sent.1 += frame.len() as u64;
    }

    /// Handles a call of a client, and records its status.
    pub fn call(&mut self, method: &str, path: String, body: Vec<u8>) {
        self.calls += 1;
        self.status = 0;
        self.handle(Event::ClientCall { call: self.calls, method: method.to_owned(), path, body });
    }

    /// Handles the first message of a gateway's agent, which registers the gateway.
    pub fn register_gateway(&mut self, gateway: usize) {
        let message = FromAgent {
            gateway: Some(Gateway {
                node: format!("counter-{gateway}"),
                zone: zone_of(gateway).0,
                client_addr: format!("10.1.{}.{}:8080", gateway / 250, gateway % 250 + 1),
            }),
            ..self.agent_message(true)
        };
        self.handle(Event::AgentMessage { link: gateway as u64, message });
    }

    /// A message of an agent that is up to date.
    fn agent_message(&self, ready: bool) -> FromAgent {
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
            version_counts: Vec::new(),
        }
    }

    /// Handles one message of each agent.
    fn handle_agent_messages(&mut self, gateways: usize) {
        for gateway in 0..gateways {
            let message = self.agent_message(true);
            self.handle(Event::AgentMessage { link: gateway as u64, message });
        }
    }
}

/// Sizes of the table at which costs are measured, in percent of the full size's routes and tenants.
const TABLE_PERCENTS: [f64; 4] = [1.0, 10.0, 30.0, 100.0];
/// Numbers of gateways at which costs are measured.
const GATEWAY_COUNTS: [usize; 4] = [30, 100, 300, 930];

/// Measures all slopes. `progress` receives the name of each step.
pub fn measure_slopes(seed: u64, heap: &dyn Heap, progress: &dyn Fn(&str)) -> Result<Vec<Slope>, String> {
    let mut slopes = Slopes::default();
    for percent in TABLE_PERCENTS {
        progress(&format!("{percent}% of routes and tenants"));
        measure_table(&mut slopes, &GeneratedFleet::new(FleetSize::with_gateways(930, percent), seed), heap)?;
    }
    for gateways in GATEWAY_COUNTS {
        progress(&format!("{gateways} gateways"));
        measure_members(
            &mut slopes,
            &GeneratedFleet::new(FleetSize::with_gateways(gateways, 1.0), seed),
            heap,
        )?;
        measure_push(&mut slopes, &GeneratedFleet::new(FleetSize::with_gateways(gateways, 1.0), seed), heap)?;
    }
    Ok(slopes.0)
}

/// Measures the costs that grow with the number of routes and tenants, in percent of the full size's.
fn measure_table(slopes: &mut Slopes, fleet: &GeneratedFleet, heap: &dyn Heap) -> Result<(), String> {
    let n = fleet.size().tenants as f64 / FleetSize::FULL.tenants as f64 * 100.0;
    let mut add_point =
        |what, unit, value| slopes.add_point(what, unit, "hundredths of routes and tenants", n, value);
    let mb = |bytes: usize| bytes as f64 / 1e6;
    let text = fleet.config_body(1);
    add_point("a whole configuration on the wire", "MB", mb(text.len()));
    add_point(
        "reading and checking a configuration",
        "ms",
        1000.0 * cpu_cost_s(|| drop(Config::read(&text))),
    );
    // A call at the leader without any gateway.
    let mut core = SingleCore::new()?;
    let before = heap.current_bytes();
    heap.take_peak_bytes();
    let start = thread_cpu_s();
    core.call("POST", "/api/Config.Put".into(), text.clone().into_bytes());
    add_point("the leader takes a Put", "ms", 1000.0 * (thread_cpu_s() - start));
    if core.status != 200 {
        return Err(format!("Config.Put of the generated configuration returned status {}", core.status));
    }
    add_point("leader: held after one Put", "MB", mb(heap.current_bytes().saturating_sub(before)));
    add_point("leader: peak during a Put", "MB", mb(heap.take_peak_bytes().saturating_sub(before)));
    let before = heap.current_bytes();
    core.call("POST", "/api/Config.Put".into(), fleet.config_body(2).into_bytes());
    add_point(
        "leader: each further Put adds, until the log is cut",
        "MB",
        mb(heap.current_bytes().saturating_sub(before)),
    );
    core.register_gateway(0);
    core.advance(TICK_MS);
    let digest = DigestCache::default();
    let state = core.member.state();
    add_point(
        "digest of a copy, once for each change",
        "ms",
        1000.0
            * cpu_cost_s(|| {
                digest.invalidate();
                digest.of(state);
            }),
    );
    let snapshot = state.snapshot(0.0, false);
    let bytes = snapshot.encode_to_vec();
    add_point("encoding a whole state", "ms", 1000.0 * cpu_cost_s(|| drop(snapshot.encode_to_vec())));
    add_point(
        "decoding a whole state",
        "ms",
        1000.0 * cpu_cost_s(|| drop(oakfall_system::protocol::StateSnapshot::decode(&bytes[..]))),
    );
    let before = heap.current_bytes();
    let copy = State::from_snapshot(0.0, snapshot.clone());
    add_point("a copy of the state", "MB", mb(heap.current_bytes().saturating_sub(before)));
    drop(copy);
    drop(bytes);
    // The proxy: its copy of the state, its route table, and the tenants' limits.
    let settings = gateway_settings(0)?;
    let before = heap.current_bytes();
    heap.take_peak_bytes();
    let mut proxy = SimulatedProxy::new(settings, ProxyDetail::Full);
    let start = thread_cpu_s();
    let edition = proxy
        .apply(0.0, ToProxy { snapshot: Some(snapshot), leader_contact_age_ms: 0.0, ..ToProxy::default() });
    add_point("proxy: taking a configuration, until it is in force", "ms", 1000.0 * (thread_cpu_s() - start));
    edition.ok_or("the proxy did not apply the generated configuration")?;
    add_point("proxy: held of it, with its copy", "MB", mb(heap.current_bytes().saturating_sub(before)));
    add_point("proxy: peak while taking it", "MB", mb(heap.take_peak_bytes().saturating_sub(before)));
    Ok(())
}

/// Measures the costs that grow with the number of backends and gateways.
fn measure_members(slopes: &mut Slopes, fleet: &GeneratedFleet, heap: &dyn Heap) -> Result<(), String> {
    let FleetSize { gateways, backends, tenants, .. } = fleet.size();
    let mut core = SingleCore::new()?;
    core.call("POST", "/api/Config.Put".into(), fleet.config_body(1).into_bytes());
    let before = heap.current_bytes();
    let start = thread_cpu_s();
    for backend in 0..backends {
        let path = format!("/api/Instances.Beat/{}", fleet.backend_id(backend, 0));
        core.call("POST", path, fleet.heartbeat_body(backend, 1).into_bytes());
    }
    let elapsed = thread_cpu_s() - start;
    slopes.add_point(
        "leader: a backend's first beat",
        "us",
        "backends",
        backends as f64,
        1e6 * elapsed / backends as f64,
    );
    let held_bytes = heap.current_bytes().saturating_sub(before) as f64;
    slopes.add_point(
        "leader: memory of a backend, with its entry in the log",
        "MB",
        "backends",
        backends as f64,
        held_bytes / 1e6,
    );
    let mut postmark = 1;
    let heartbeats = cpu_cost_s(|| {
        postmark += 1;
        let backend = postmark as usize % backends;
        let path = format!("/api/Instances.Beat/{}", fleet.backend_id(backend, 0));
        core.call("POST", path, fleet.heartbeat_body(backend, postmark).into_bytes());
    });
    let generation = cpu_cost_s(|| {
        postmark += 1;
        let backend = postmark as usize % backends;
        let _ = (fleet.backend_id(backend, 0), fleet.heartbeat_body(backend, postmark).into_bytes());
    });
    slopes.add_point(
        "leader: a beat that tells nothing new",
        "us",
        "backends",
        backends as f64,
        1e6 * (heartbeats - generation),
    );
    slopes.add_point(
        "leader: a tick",
        "us",
        "backends",
        backends as f64,
        1e6 * cpu_cost_s(|| core.handle(Event::Tick)),
    );
    let before = heap.current_bytes();
    (0..gateways).for_each(|gateway| core.register_gateway(gateway));
    let held_bytes = heap.current_bytes().saturating_sub(before) as f64;
    slopes.add_point(
        "leader: memory of an agent's link",
        "MB",
        "gateways",
        gateways as f64,
        held_bytes / 1e6,
    );
    // Ticks until the registrations are committed.
    (0..40).for_each(|_| core.advance(TICK_MS));
    core.handle_agent_messages(gateways);
    core.sent = (0, 0);
    let round = cpu_cost_s(|| {
        core.now += AGENT_MESSAGE_INTERVAL_MS;
        core.handle_agent_messages(gateways);
    });
    let (messages, bytes) = core.sent;
    slopes.add_point(
        "leader: an agent's word and its answer",
        "us",
        "gateways",
        gateways as f64,
        1e6 * round / gateways as f64,
    );
    slopes.add_point(
        "an answer to a word",
        "bytes",
        "gateways",
        gateways as f64,
        bytes as f64 / messages.max(1) as f64,
    );
    let message_bytes = oakfall_system::link::encode_frame(&core.agent_message(true)).len() as f64;
    slopes.add_point("an agent's word", "bytes", "gateways", gateways as f64, message_bytes);
    // Quota charges, in messages of the size that a gateway sends at its peak rate.
    let names: Vec<String> = (0..tenants).map(|index| format!("abcd{index}")).collect();
    let mut sequence = 0;
    let mut charges = |count: usize| {
        sequence += 1;
        let charge = |index: usize| Charge {
            tenant: names[(sequence * 7 + index) % tenants].clone(),
            units: 2,
            refund: 0,
            window: 0,
        };
        Charges { sequence: sequence as u64, charges: (0..count).map(charge).collect() }
    };
    let kinds = [(1, "leader: a message of one charge"), (10, "leader: a message of ten charges")];
    for (count, what) in kinds {
        if gateways == GATEWAY_COUNTS[0] {
            let bytes = oakfall_system::link::encode_frame(&charges(count)).len() as f64;
            slopes.add_point("charges of one message", "bytes", "charges", count as f64, bytes);
        }
        let elapsed = cpu_cost_s(|| {
            let charges = charges(count);
            core.handle(Event::Charged { link: 0, charges });
        });
        slopes.add_point(what, "us", "gateways", gateways as f64, 1e6 * elapsed);
    }
    let node = gateways / 2;
    let elapsed = cpu_cost_s(|| {
        let path =
            format!("/api/resolve?name=host1.example&region={}&zone={}", zone_of(node).1, zone_of(node).0);
        core.call("GET", path, Vec::new());
    });
    slopes.add_point(
        "leader: a client's question where to go",
        "us",
        "gateways",
        gateways as f64,
        1e6 * elapsed,
    );
    Ok(())
}

/// Measures the leader's costs of sending a change to all gateways.
fn measure_push(slopes: &mut Slopes, fleet: &GeneratedFleet, heap: &dyn Heap) -> Result<(), String> {
    let FleetSize { gateways, .. } = fleet.size();
    let mut core = SingleCore::new()?;
    core.call("POST", "/api/Config.Put".into(), fleet.config_body(1).into_bytes());
    (0..gateways).for_each(|gateway| core.register_gateway(gateway));
    (0..40).for_each(|_| core.advance(TICK_MS));
    core.handle_agent_messages(gateways);
    let text = fleet.config_body(2);
    if text.len() * gateways > MAX_PUSH_BYTES {
        return Ok(());
    }
    let before = heap.current_bytes();
    heap.take_peak_bytes();
    core.sent = (0, 0);
    let start = thread_cpu_s();
    core.call("POST", "/api/Config.Put".into(), text.into_bytes());
    let elapsed = thread_cpu_s() - start;
    let n = gateways as f64;
    slopes.add_point(
        "leader: a Put, pushed to all, at 1 in 100 of the table",
        "ms",
        "gateways",
        n,
        1000.0 * elapsed,
    );
    slopes.add_point(
        "leader: bytes pushed, at 1 in 100 of the table",
        "MB",
        "gateways",
        n,
        core.sent.1 as f64 / 1e6,
    );
    let peak = heap.take_peak_bytes().saturating_sub(before) as f64 / 1e6;
    slopes.add_point(
        "leader: peak of a push, before bytes are framed, at 1 in 100 of the table",
        "MB",
        "gateways",
        n,
        peak,
    );
    core.handle_agent_messages(gateways);
    core.advance_past_batch();
    core.sent = (0, 0);
    let start = thread_cpu_s();
    let path = format!("/api/Instances.Beat/{}", fleet.backend_id(0, 1));
    core.call("POST", path, fleet.heartbeat_body(0, 1).into_bytes());
    let elapsed = thread_cpu_s() - start;
    slopes.add_point("leader: a backend's first beat, pushed to all", "ms", "gateways", n, 1000.0 * elapsed);
    slopes.add_point(
        "leader: bytes of a backend's change, pushed to all",
        "bytes",
        "gateways",
        n,
        core.sent.1 as f64,
    );
    Ok(())
}

/// Formats the slopes as text, one per line.
pub fn text(slopes: &[Slope]) -> String {
    let mut text = String::new();
    for Slope { what, unit, grows_with, points, fit } in slopes {
        let points =
            points.iter().map(|(n, value)| format!("{}: {}", format_short(*n), format_short(*value)));
        let points = points.collect::<Vec<_>>().join(", ");
        text.push_str(&format!(
            "{what}, {unit}: {} + {} x {grows_with} (r2 {:.4}); {points}\n",
            format_short(fit.intercept),
            format_short(fit.slope),
            fit.r2
        ));
    }
    text
}

/// Formats a number with three significant digits.
pub fn format_short(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { (2 - value.abs().log10().floor() as i32).clamp(0, 9) as usize };
    format!("{value:.digits$}")
}
