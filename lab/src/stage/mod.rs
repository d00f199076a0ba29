//! The stage: plays a plan with real processes on loopback.

mod clients;
mod counter;
mod datagrams;
mod discovery;
mod gateways;
pub mod machine;
mod servers;
mod timeline;
mod wire;

use crate::check::{self, Verdict};
use crate::fault::{Effect, FaultHandle, Links, Node};
use crate::ledger::{GatewayEvent, Ledger, ServerState};
use crate::model::front::{self, Arrival, Front};
use crate::model::registry::{Entry, Registry, State};
use crate::plan::{EndpointKind, GatewayAction, Plan, ServerAction};
use machine::{Late, Lateness};
use rand::RngCore;
use rand_distr::Distribution;
use serde::Serialize;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Threads of the stage beside the one that waits.
const THREADS: usize = 3;
/// Gateways that are started at one time.
const STARTING: usize = 6;
/// What a run may take beside the plan's seconds: the last answers, and processes that hang.
const AFTER: Duration = Duration::from_secs(60);
/// Faults of the stage itself that are told.
const FAULTS_TOLD: usize = 10;

/// What a run needs beside its plan.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway's program.
    pub program: PathBuf,
    /// Where logs and configurations are kept; without it they are gone with the run.
    pub keep: Option<PathBuf>,
    /// A gateway that is not ready by then is taken to hang.
    pub ready: Duration,
}

impl Options {
    /// With this program, and nothing kept.
    pub fn new(program: impl Into<PathBuf>) -> Options {
        Options { program: program.into(), keep: None, ready: Duration::from_secs(30) }
    }
}

/// How processes and the stage fared.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Machine {
    /// From the first process's start until all gateways were ready, in s.
    pub start_s: f64,
    /// Processor time of a gateway, mean, in ms for each second of load.
    pub gateway_cpu_ms_per_s: f64,
    /// Processor time of all gateways for each work, in us.
    pub gateway_cpu_us_per_work: f64,
    /// Resident memory of a gateway at the end, mean and most, in MB.
    pub gateway_mb: [f64; 2],
    /// The stage's own processor time in ms for each second of load, memory in MB, threads and descriptors.
    pub stage_cpu_ms_per_s: f64,
    /// Memory.
    pub stage_mb: f64,
    /// Threads.
    pub stage_threads: u64,
    /// Descriptors held under load.
    pub stage_descriptors: usize,
    /// How late the stage's timers rang, and how late clients asked.
    pub timers_late_ms: Late,
    /// Clients.
    pub clients_late_ms: Late,
}

/// A run that was played to its end.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The plan's name.
    pub plan: String,
    /// Its seed.
    pub seed: u64,
    /// Why the run tells nothing of gateways; none if it is valid.
    pub not_valid: Vec<String>,
    /// What became of the requests.
    pub verdict: Verdict,
    /// How processes and the stage fared.
    pub machine: Machine,
}

impl Outcome {
    /// Whether the run is valid and all held.
    pub fn held(&self) -> bool {
        self.not_valid.is_empty() && self.verdict.held()
    }
}

/// What all parts of a run share.
pub struct World {
    /// The plan.
    pub plan: Plan,
    /// Its works.
    pub works: Vec<Arrival>,
    /// What is wrong with links.
    pub links: Links,
    options: Options,
    nursery: Arc<gateways::Nursery>,
    /// Places for processes that are being started.
    starting: Arc<tokio::sync::Semaphore>,
    zero: Instant,
    begin: std::sync::OnceLock<f64>,
    piped: [bool; 4],
    ledger: Mutex<Ledger>,
    registry: Mutex<Registry>,
    changed: watch::Sender<u64>,
    front: Mutex<Front>,
    /// What the front is about to see: when, of which gateway, and whether it is up.
    seen: Mutex<Vec<(f64, usize, bool)>>,
    kept: Vec<Mutex<Vec<clients::Kept>>>,
    servers: Vec<Arc<servers::Seat>>,
    counter: Arc<counter::Seat>,
    discovery: Arc<discovery::Seat>,
    gateways: Vec<Arc<gateways::Seat>>,
    relays: Option<Arc<datagrams::Relays>>,
    timers: Lateness,
    asked: Lateness,
    faults: Mutex<Vec<String>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // What a thread left that panicked is still a list of facts.
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl World {
    async fn new(
        plan: &Plan, options: &Options, folder: &Path, nursery: Arc<gateways::Nursery>,
    ) -> Result<Arc<World>, String> {
        let said = |what: &str| {
            let what = what.to_owned();
            move |e: std::io::Error| format!("{what}: {e}")
        };
        let touches = |kind: EndpointKind| {
            plan.step
                .iter()
                .filter_map(|step| step.link.as_ref())
                .any(|on| [on.from.kind, on.to.kind].contains(&kind))
        };
        let acts = |act: ServerAction| {
            plan.step.iter().any(|s| s.servers.as_ref().is_some_and(|on| on.action == act))
        };
        let out = plan
            .step
            .iter()
            .any(|step| step.counter.as_ref().is_some_and(|on| on.action == crate::plan::CounterAction::Out));
        let piped = [
            touches(EndpointKind::Servers) || acts(ServerAction::Vanish),
            touches(EndpointKind::Counter) || out,
            touches(EndpointKind::Discovery),
            touches(EndpointKind::Clients),
        ];
        let mut rng = plan.rng(3);
        let speed = front::lognormal(1.0, plan.fleet.speed_cv);
        let all = plan.fleet.servers + plan.fleet.spare;
        let speeds: Vec<f64> = (0..all).map(|_| speed.sample(&mut rng)).collect();
        let servers: std::io::Result<Vec<_>> = speeds
            .iter()
            .enumerate()
            .map(|(place, speed)| servers::Seat::new(plan, place, *speed).map(Arc::new))
            .collect();
        let upgraded = plan.step.iter().enumerate().filter_map(|(number, step)| {
            let on = step.gateways.as_ref().filter(|on| on.action == GatewayAction::Upgrade)?;
            Some(plan.gateways(on.who, number))
        });
        let upgraded: Vec<usize> = upgraded.flatten().collect();
        let gateways: std::io::Result<Vec<_>> = (0..plan.fleet.gateways)
            .map(|place| gateways::Seat::new(place, folder, upgraded.contains(&place)).map(Arc::new))
            .collect();
        let relays = if plan.fleet.cluster {
            let relays = datagrams::Relays::new(plan.fleet.gateways).await;
            Some(Arc::new(relays.map_err(said("relays"))?))
        } else {
            None
        };
        let works = front::arrivals(plan);
        let began = vec![None; works.len()];
        let ledger = Ledger { requests: works.clone(), first_sent: began, speeds, ..Ledger::default() };
        Ok(Arc::new(World {
            works,
            links: Links::default(),
            options: options.clone(),
            nursery,
            starting: Arc::new(tokio::sync::Semaphore::new(STARTING)),
            zero: Instant::now(),
            begin: std::sync::OnceLock::new(),
            piped,
            ledger: Mutex::new(ledger),
            registry: Mutex::default(),
            changed: watch::channel(0).0,
            front: Mutex::new(Front::new(plan)),
            seen: Mutex::default(),
            kept: (0..plan.fleet.gateways).map(|_| Mutex::default()).collect(),
            servers: servers.map_err(said("servers"))?,
            counter: Arc::new(counter::Seat::new(plan).map_err(said("counter"))?),
            discovery: Arc::new(discovery::Seat::new(plan).map_err(said("discovery"))?),
            gateways: gateways.map_err(said("gateways"))?,
            relays,
            timers: Lateness::default(),
            asked: Lateness::default(),
            faults: Mutex::default(),
            plan: plan.clone(),
        }))
    }

    /// Seconds on the stage's one clock.
    pub fn now(&self) -> f64 {
        self.zero.elapsed().as_secs_f64()
    }

    /// When load began; until then, now.
    pub fn begin(&self) -> f64 {
        self.begin.get().copied().unwrap_or_else(|| self.now())
    }

    /// Sleeps until a time on that clock.
    pub async fn sleep_until(&self, at: f64) {
        if at.is_finite() {
            let at = self.zero + Duration::from_secs_f64(at.max(0.0));
            tokio::time::sleep_until(at.into()).await;
        } else {
            std::future::pending().await
        }
    }

    fn piped(&self, own: Node) -> bool {
        match own {
            Node::Server(_) => self.piped[0],
            Node::Counter => self.piped[1],
            Node::Discovery => self.piped[2],
            Node::Client => self.piped[3],
            Node::Gateway(_) => false,
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        locked(&self.ledger)
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        locked(&self.registry)
    }

    fn front(&self) -> MutexGuard<'_, Front> {
        locked(&self.front)
    }

    fn kept(&self, gateway: usize) -> MutexGuard<'_, Vec<clients::Kept>> {
        locked(&self.kept[gateway])
    }

    /// A number that the plan's seed alone decides.
    fn chance(&self, stream: u64) -> u64 {
        self.plan.rng(stream).next_u64()
    }

    fn process(&self, gateway: usize) -> u64 {
        self.gateways[gateway].number()
    }

    fn late(&self, late_s: f64) {
        self.asked.note(late_s.max(0.0));
    }

    fn lives(&self, gateway: usize, life: GatewayEvent) {
        let mut ledger = self.ledger();
        let at = self.now();
        ledger.gateway_events.push((at, gateway, life));
    }

    fn stands(&self, server: usize, standing: ServerState) {
        let mut ledger = self.ledger();
        let at = self.now();
        ledger.server_states.push((at, server, standing));
        self.servers[server].stands(standing == ServerState::Up);
    }

    /// Something is wrong with the stage itself.
    fn fault(&self, what: String) {
        let mut faults = locked(&self.faults);
        if faults.len() < FAULTS_TOLD {
            faults.push(what);
        }
    }

    /// Whether nothing is wrong between two, either way.
    fn link_sound(&self, one: Node, other: Node) -> bool {
        let now = self.now();
        let sound = |effect: Effect| effect.is_none();
        sound(self.links.effect(one, other, now)) && sound(self.links.effect(other, one, now))
    }

    /// Whether a server that is up and that this gateway reaches has a core free.
    fn some_idle(&self, gateway: usize) -> bool {
        let now = self.now();
        self.servers.iter().enumerate().any(|(place, seat)| {
            seat.takes()
                && self.links.can_connect(Node::Gateway(gateway), Node::Server(place), now)
                && seat.idle()
        })
    }

    /// Discovery hears of a server after its time; `starts`: it has just started.
    fn discovery_hears(&self, server: usize, state: State, starts: bool) {
        let unix =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0);
        let started_ms = if starts { unix.floor() } else { 0.0 };
        // A drain is discovery's own affair: it is known at once.
        let notice = if state == State::Draining { 0.0 } else { self.plan.fleet.notice_s };
        self.registry().change(self.now() + notice, Entry { server, state, started_ms });
        self.changed.send_modify(|times| *times += 1);
    }

    /// The front sees after a while that a gateway is up or not.
    fn front_sees(&self, gateway: usize, up: bool, after_s: f64) {
        if after_s <= 0.0 {
            return self.front().sees(gateway, up);
        }
        locked(&self.seen).push((self.now() + after_s, gateway, up));
    }

    /// The listeners of those whom a fault touches drop the packets of links that do not come up.
    fn refilter(&self, fault: &FaultHandle) {
        let (gateways, now) = (self.plan.fleet.gateways, self.now());
        for node in &fault.affected {
            let door = match node {
                Node::Server(place) => &self.servers[*place].door,
                Node::Counter => &self.counter.door,
                Node::Discovery => &self.discovery.door,
                Node::Gateway(_) | Node::Client => continue,
            };
            if let Err(e) = door.refilter(&self.links, gateways, now) {
                self.fault(format!("a listener's filter: {e}"));
            }
        }
    }
}

/// Plays a plan to its end, or until `stop` is done. An error says why it could not be played.
pub fn play(plan: &Plan, options: &Options, stop: impl Future<Output = ()>) -> Result<Outcome, String> {
    play_watched(plan, options, stop, |_| ())
}

/// The same; `ready` is told where clients reach each gateway once load begins.
pub fn play_watched(
    plan: &Plan, options: &Options, stop: impl Future<Output = ()>,
    ready: impl FnOnce(&[std::net::SocketAddr]),
) -> Result<Outcome, String> {
    let faults = plan.validation_errors();
    if !faults.is_empty() {
        return Err(faults.join("\n"));
    }
    machine::allow(machine::descriptors(plan))?;
    let own =
        tempfile::Builder::new().prefix("granite-lab-").tempdir().map_err(|e| format!("a folder: {e}"))?;
    let folder = options.keep.clone().unwrap_or_else(|| own.path().to_owned());
    // Dropped behind the runtime, whose tasks may start processes until it is gone, and before the folder.
    let nursery = Arc::new(gateways::Nursery::default());
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(THREADS).enable_all().build();
    let runtime = runtime.map_err(|e| format!("threads: {e}"))?;
    let most =
        Duration::from_secs_f64(plan.seconds) + AFTER + Duration::from_secs(plan.fleet.gateways as u64);
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = run(plan, options, &folder, nursery.clone(), ready) => outcome,
            () = stop => Err("stopped".to_owned()),
            () = tokio::time::sleep(most) => Err(format!("not over after {} s", most.as_secs())),
        }
    });
    // Tasks are dropped; the processes that they attended are killed and waited for after that.
    runtime.shutdown_timeout(Duration::from_secs(2));
    outcome
}

async fn run(
    plan: &Plan, options: &Options, folder: &Path, nursery: Arc<gateways::Nursery>,
    ready: impl FnOnce(&[std::net::SocketAddr]),
) -> Result<Outcome, String> {
    let world = World::new(plan, options, folder, nursery).await?;
    let here = |e: std::io::Error| format!("a listener: {e}");
    for (place, seat) in world.servers.iter().enumerate() {
        seat.run(&world, place >= plan.fleet.servers).await.map_err(here)?;
        if place < plan.fleet.servers {
            world
                .registry()
                .change(world.now(), Entry { server: place, state: State::Ready, started_ms: 0.0 });
            world.stands(place, ServerState::Up);
        }
    }
    world.counter.run(&world).await.map_err(here)?;
    world.discovery.run(&world).await.map_err(here)?;
    if let Some(relays) = &world.relays {
        relays.run(&world);
    }
    let begun = Instant::now();
    start_all(&world).await?;
    let start_s = begun.elapsed().as_secs_f64();
    let addresses: Vec<_> = world.gateways.iter().map(|seat| seat.address()).collect();
    let cpu = |world: &World| world.gateways.iter().map(|seat| seat.used().cpu_s).sum::<f64>();
    let own = || machine::used(std::process::id() as i32);
    let (cpu_before, own_before) = (cpu(&world), own());
    let begin = world.now();
    let _ = world.begin.set(begin);
    ready(&addresses);
    let load = async {
        let noticed = notice(&world);
        let both = async { tokio::join!(clients::run(&world), timeline::run(&world)) };
        tokio::select! {
            _ = both => {}
            () = noticed => {}
            () = world.timers.watch() => {}
        }
    };
    let held = async {
        world.sleep_until(begin + plan.seconds * 0.8).await;
        machine::held()
    };
    let ((), descriptors) = tokio::join!(load, held);
    let (cpu_after, own_after) = (cpu(&world), own());
    let memory: Vec<_> =
        world.gateways.iter().map(|seat| seat.used().resident_mb).filter(|mb| *mb > 0.0).collect();
    for seat in &world.gateways {
        seat.kill_at_end().await;
    }
    let mut ledger = std::mem::take(&mut *world.ledger());
    settle(&mut ledger, begin, plan.seconds);
    let verdict = check::check_run(plan, &ledger);
    let works = verdict.figures.requests.max(1) as f64;
    let machine = Machine {
        start_s,
        gateway_cpu_ms_per_s: (cpu_after - cpu_before) * 1000.0 / plan.fleet.gateways as f64 / plan.seconds,
        gateway_cpu_us_per_work: (cpu_after - cpu_before) * 1e6 / works,
        gateway_mb: [
            memory.iter().sum::<f64>() / memory.len().max(1) as f64,
            memory.iter().copied().fold(0.0, f64::max),
        ],
        stage_cpu_ms_per_s: (own_after.cpu_s - own_before.cpu_s) * 1000.0 / plan.seconds,
        stage_mb: own_after.resident_mb,
        stage_threads: own_after.threads,
        stage_descriptors: descriptors,
        timers_late_ms: world.timers.told(),
        clients_late_ms: world.asked.told(),
    };
    let mut not_valid = locked(&world.faults).clone();
    not_valid.extend(machine::starved("timers", machine.timers_late_ms));
    not_valid.extend(machine::starved("clients", machine.clients_late_ms));
    Ok(Outcome { plan: plan.name.clone(), seed: plan.seed, not_valid, verdict, machine })
}

async fn start_all(world: &Arc<World>) -> Result<(), String> {
    let mut starting = tokio::task::JoinSet::new();
    for seat in world.gateways.clone() {
        let world = world.clone();
        starting.spawn(async move { seat.start(&world).await });
    }
    while let Some(started) = starting.join_next().await {
        started.map_err(|e| e.to_string())??;
    }
    Ok(())
}

/// Tells the front what it notices late.
async fn notice(world: &World) {
    loop {
        let next = {
            let mut seen = locked(&world.seen);
            let now = world.now();
            seen.sort_by(|a, b| a.0.total_cmp(&b.0));
            let due = seen.partition_point(|(at, ..)| *at <= now);
            for (_, gateway, up) in seen.drain(..due) {
                world.front().sees(gateway, up);
            }
            seen.first().map_or(now + 0.05, |(at, ..)| at.min(now + 0.05))
        };
        world.sleep_until(next).await;
    }
}

/// Times from load's beginning on, and attempts in order.
fn settle(ledger: &mut Ledger, begin: f64, seconds: f64) {
    for one in &mut ledger.tries {
        one.sent_at -= begin;
        one.deadline -= begin;
        if let Some((at, _)) = &mut one.outcome {
            *at -= begin;
        }
    }
    for run in &mut ledger.attempts {
        run.first_byte_at -= begin;
        run.received_at -= begin;
        run.outcome.0 -= begin;
    }
    ledger.attempts.sort_by(|a, b| a.received_at.total_cmp(&b.received_at));
    ledger.first_sent.iter_mut().flatten().for_each(|at| *at -= begin);
    ledger.notifications.iter_mut().for_each(|(at, ..)| *at -= begin);
    ledger.gateway_events.iter_mut().for_each(|(at, ..)| *at -= begin);
    ledger.server_states.iter_mut().for_each(|(at, ..)| *at -= begin);
    ledger.needless_refusals.iter_mut().for_each(|at| *at -= begin);
    ledger.connections.iter_mut().for_each(|(at, _)| *at -= begin);
    ledger.notifications.sort_by(|a, b| a.0.total_cmp(&b.0));
    ledger.server_states.sort_by(|a, b| a.0.total_cmp(&b.0));
    ledger.gateway_events.sort_by(|a, b| a.0.total_cmp(&b.0));
    ledger.load_end = seconds;
}
