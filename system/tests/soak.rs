//! Fault injection with real processes on loopback: core processes, agents and proxies are killed, paused,
//! partitioned, wiped and terminated, with faults overlapping, while the guarantees to operators and clients
//! are checked. Clients use their connections until these are closed, signals come in series, and both overlap
//! with other faults and with changes of the configuration. `HISTORIES` is the number of seeds to run, `SEED` the
//! first one, `SOAK_S` the seconds of faults for each, `GATEWAYS` the number of gateways.

#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/pipelining.rs"]
mod pipelining;
mod processes;
#[path = "soak/relay.rs"]
mod relay;
#[path = "soak/rollouts.rs"]
mod rollouts;

use callers::{edition_at, Results};
use pipelining::PipeliningClient;
use processes::{call, config, free_inner_ports, free_port, signal, start, until, Fleet, Process};
use relay::{start_relay, Blocked};
use rollouts::{run_rollouts, RolloutCounts, VersionBackend};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CORES: usize = 3;
/// Gateways unless `GATEWAYS` is set.
const DEFAULT_GATEWAYS: u64 = 2;
/// Seeds unless `HISTORIES` is set.
const DEFAULT_HISTORIES: u64 = 4;
/// Seconds of faults for each seed unless `SOAK_S` is set.
const DEFAULT_SOAK_S: u64 = 12;
/// Faults that may be active at once in a small system; in larger ones, a third of the gateways.
const MIN_ACTIVE_FAULTS: usize = 3;
/// SIGHUPs sent at once.
const HANGUPS: usize = 3;
/// By then the leader has noticed a wiped disk: it counts a member as in contact for 1.5 s after a message.
const WIPE_DETECTION: Duration = Duration::from_secs(2);
/// Longest recovery after the last fault.
const MAX_RECOVERY: Duration = Duration::from_secs(15);

/// A process that can be restarted.
struct Node {
    program: &'static str,
    settings: PathBuf,
    process: Option<Process>,
    /// Incremented before the process is paused or killed.
    interruptions: Arc<AtomicU64>,
}

impl Node {
    fn new(program: &'static str, settings: PathBuf) -> Self {
        let process = Some(start(program, &settings));
        Node { program, settings, process, interruptions: Arc::default() }
    }

    fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            self.interruptions.fetch_add(u64::from(name == "-STOP"), Ordering::SeqCst);
            signal(process, name);
        }
    }

    fn kill(&mut self) {
        self.interruptions.fetch_add(1, Ordering::SeqCst);
        self.process = None;
    }

    fn start(&mut self) {
        if self.process.is_none() {
            self.process = Some(start(self.program, &self.settings));
        }
    }

    /// Whether the running process has exited.
    fn has_exited(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.0.try_wait().ok().flatten().is_some())
    }
}

/// A fault on one machine: a core process, or the agent or proxy of a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    KillCore(usize),
    PauseCore(usize),
    /// Blocks outgoing traffic, incoming traffic, or both.
    PartitionCore {
        core: usize,
        outgoing: bool,
        incoming: bool,
    },
    WipeCore(usize),
    KillAgent(usize),
    KillProxy(usize),
    PauseProxy(usize),
    PartitionGateway(usize),
    TerminateGateway(usize),
    ReloadGateway(usize),
}

impl Fault {
    fn random(rng: &mut fastrand::Rng, gateways: usize) -> Self {
        let (core, gateway) = (rng.usize(0..CORES), rng.usize(0..gateways));
        match rng.u32(0..14) {
            0 | 1 => Fault::KillCore(core),
            2 => Fault::PauseCore(core),
            3 => Fault::PartitionCore { core, outgoing: true, incoming: true },
            4 => Fault::PartitionCore { core, outgoing: rng.bool(), incoming: true },
            5 => Fault::WipeCore(core),
            6 => Fault::KillAgent(gateway),
            7 => Fault::KillProxy(gateway),
            8 => Fault::PauseProxy(gateway),
            9 => Fault::PartitionGateway(gateway),
            10..=12 => Fault::TerminateGateway(gateway),
            _ => Fault::ReloadGateway(gateway),
        }
    }

    /// The number of the affected machine; core machines come first.
    fn machine(self) -> usize {
        match self {
            Fault::KillCore(core) | Fault::PauseCore(core) | Fault::WipeCore(core) => core,
            Fault::PartitionCore { core, .. } => core,
            Fault::KillAgent(gateway) | Fault::KillProxy(gateway) | Fault::PauseProxy(gateway) => {
                CORES + gateway
            }
            Fault::PartitionGateway(gateway)
            | Fault::TerminateGateway(gateway)
            | Fault::ReloadGateway(gateway) => CORES + gateway,
        }
    }
}

/// The system under test.
struct System {
    fleet: Fleet,
    cores: Vec<Node>,
    agents: Vec<Node>,
    proxies: Vec<Node>,
    client_addrs: Vec<String>,
    ready_addrs: Vec<String>,
    /// When the core process with a wiped disk was restarted, until it has caught up.
    wiped_restart: Option<Instant>,
    /// Links as (from machine, to machine, control).
    links: Vec<(usize, usize, Arc<Blocked>)>,
}

fn ip(machine: usize) -> String {
    format!("127.0.0.{}", machine + 2)
}

/// Inner ports that no other node uses.
fn distinct_inner_ports(fleet: &Fleet) -> u16 {
    let used: Vec<u16> = fleet.inner_ports.values().copied().chain([fleet.inner_port]).collect();
    loop {
        let ports = free_inner_ports();
        if used.iter().all(|other| other.abs_diff(ports) > 1) {
            return ports;
        }
    }
}

impl System {
    fn new(gateways: usize) -> Self {
        let mut fleet = Fleet::new(CORES);
        let mut links = Vec::new();
        for from in 0..CORES + gateways {
            let name = if from < CORES { format!("core{from}") } else { format!("gateway{}", from - CORES) };
            if from >= CORES {
                let ports = distinct_inner_ports(&fleet);
                fleet.inner_ports.insert(name.clone(), ports);
            }
            let inner_port = fleet.inner_ports.get(&name).copied().unwrap_or(fleet.inner_port);
            for to in (0..CORES).filter(|to| *to != from) {
                let address = |port: u16| SocketAddr::new(ip(to).parse().expect("an address"), port);
                let (relay, blocked) = start_relay(address(fleet.inner_port));
                fleet.relays.entry(name.clone()).or_default().push((address(inner_port), relay));
                links.push((from, to, blocked));
            }
        }
        let core = |number| Node::new(env!("CARGO_BIN_EXE_oakfall-core"), fleet.core_settings(number, true));
        let cores: Vec<_> = (0..CORES).map(core).collect();
        let (mut client_addrs, mut ready_addrs) = (Vec::new(), Vec::new());
        let (mut agents, mut proxies) = (Vec::new(), Vec::new());
        for gateway in 0..gateways {
            let ip = ip(CORES + gateway);
            let (front, ready) = (format!("{ip}:{}", free_port(&ip)), format!("{ip}:{}", free_port(&ip)));
            let docks = format!("    front: \"{front}\"\n    ready: \"{ready}\"\n");
            let name = format!("gateway{gateway}");
            let settings = fleet.settings(&name, &ip, "counter", &docks, true);
            agents.push(Node::new(env!("CARGO_BIN_EXE_oakfall-agent"), settings.clone()));
            proxies.push(Node::new(env!("CARGO_BIN_EXE_oakfall-proxy"), settings));
            client_addrs.push(front);
            ready_addrs.push(ready);
        }
        System { fleet, cores, agents, proxies, client_addrs, ready_addrs, wiped_restart: None, links }
    }

    /// Blocks or unblocks a machine's outgoing and incoming traffic with the core.
    fn partition(&self, machine: usize, outgoing: bool, incoming: bool, block: bool) {
        let set = |flag: &AtomicBool, affected: bool| {
            if affected {
                flag.store(block, Ordering::Relaxed);
            }
        };
        for (from, to, blocked) in &self.links {
            if *from == machine {
                set(&blocked.forward, outgoing);
                set(&blocked.backward, incoming);
            }
            if *to == machine {
                set(&blocked.backward, outgoing);
                set(&blocked.forward, incoming);
            }
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillCore(n) => self.cores[n].kill(),
            Fault::PauseCore(n) => self.cores[n].signal("-STOP"),
            Fault::PartitionCore { core, outgoing, incoming } => {
                self.partition(core, outgoing, incoming, true)
            }
            Fault::WipeCore(n) => {
                self.cores[n].kill();
                let _ = std::fs::remove_dir_all(self.fleet.folder.path().join(format!("core{n}")));
                // It restarts with its old address, as a member of an existing cluster.
                self.cores[n].settings = self.fleet.core_settings(n, false);
            }
            Fault::KillAgent(n) => self.agents[n].kill(),
            Fault::KillProxy(n) => self.proxies[n].kill(),
            Fault::PauseProxy(n) => self.proxies[n].signal("-STOP"),
            Fault::PartitionGateway(n) => self.partition(CORES + n, true, true, true),
            Fault::TerminateGateway(n) => self.signal_gateway(n, "-TERM"),
            Fault::ReloadGateway(n) => (0..HANGUPS).for_each(|_| self.signal_gateway(n, "-HUP")),
        }
    }

    fn signal_gateway(&self, gateway: usize, name: &str) {
        self.proxies[gateway].signal(name);
        self.agents[gateway].signal(name);
    }

    /// Recovers from a fault. False if the recovery is not complete yet.
    fn recover(&mut self, fault: Fault) -> bool {
        match fault {
            Fault::KillCore(n) => self.cores[n].start(),
            Fault::PauseCore(n) => self.cores[n].signal("-CONT"),
            Fault::PartitionCore { core, outgoing, incoming } => {
                self.partition(core, outgoing, incoming, false)
            }
            Fault::WipeCore(n) => {
                self.cores[n].start();
                // The leader may not have noticed the empty disk before.
                let restarted = *self.wiped_restart.get_or_insert_with(Instant::now);
                if restarted.elapsed() < WIPE_DETECTION || !self.tolerates_a_loss() {
                    return false;
                }
                self.wiped_restart = None;
            }
            Fault::KillAgent(n) => self.agents[n].start(),
            Fault::KillProxy(n) => self.proxies[n].start(),
            Fault::PauseProxy(n) => self.proxies[n].signal("-CONT"),
            Fault::PartitionGateway(n) => self.partition(CORES + n, true, true, false),
            Fault::TerminateGateway(n) => {
                if !self.proxies[n].has_exited() || !self.agents[n].has_exited() {
                    // Signals keep coming until both processes are gone.
                    for node in [&mut self.proxies[n], &mut self.agents[n]] {
                        if !node.has_exited() {
                            node.signal("-HUP");
                            node.signal("-TERM");
                        }
                    }
                    return false;
                }
                for node in [&mut self.agents[n], &mut self.proxies[n]] {
                    node.process = None;
                    node.start();
                }
            }
            Fault::ReloadGateway(_) => {}
        }
        true
    }

    /// Whether the leader reports that one more member may fail.
    fn tolerates_a_loss(&self) -> bool {
        let status = |core: &String| call(core, "GET", "/api/Status", "", "").map(|answer| answer.body);
        let mut statuses = self.fleet.seeds.iter().filter_map(status);
        statuses.any(|text| {
            text.contains("\"vouches\":true")
                && text.contains("\"borne\":1")
                && text.contains("\"filling\":[]")
        })
    }

    /// Processes that exited, except those of gateways that are being terminated.
    fn unexpected_exits(&mut self, active: &[Fault]) -> Vec<String> {
        let terminating = |gateway: usize| active.contains(&Fault::TerminateGateway(gateway));
        let mut exits = Vec::new();
        for (kind, nodes) in
            [("core", &mut self.cores), ("agent", &mut self.agents), ("proxy", &mut self.proxies)]
        {
            for (number, node) in nodes.iter_mut().enumerate() {
                if (kind == "core" || !terminating(number)) && node.has_exited() {
                    exits.push(format!("{kind} {number} exited unexpectedly"));
                }
            }
        }
        exits
    }
}

/// Injects random faults for this many seconds, then waits until the system has recovered from all of them.
/// Returns their number.
fn inject_faults(rng: &mut fastrand::Rng, system: &mut System, results: &Results, duration_s: f64) -> usize {
    let started = Instant::now();
    let max_active = MIN_ACTIVE_FAULTS.max(system.proxies.len() / 3);
    let mut active: Vec<(Fault, Instant)> = Vec::new();
    let mut count = 0;
    loop {
        let over = started.elapsed().as_secs_f64() > duration_s;
        let fault = Fault::random(rng, system.proxies.len());
        let faulty_cores = active.iter().filter(|(other, _)| other.machine() < CORES).count();
        let wiping = active.iter().any(|(other, _)| matches!(other, Fault::WipeCore(_)));
        let allowed = match fault {
            // A disk is wiped only while no other fault affects the core, and others wait until it
            // has caught up.
            Fault::WipeCore(_) => faulty_cores == 0 && system.tolerates_a_loss(),
            _ => fault.machine() >= CORES || !wiping,
        };
        let free = !active.iter().any(|(other, _)| other.machine() == fault.machine());
        if !over && allowed && free && active.len() < max_active {
            system.inject(fault);
            let duration = Duration::from_secs_f64(0.1 + 2.5 * rng.f64() * rng.f64());
            active.push((fault, Instant::now() + duration));
            count += 1;
        }
        active.retain(|(fault, until)| Instant::now() < *until || !system.recover(*fault));
        let current: Vec<_> = active.iter().map(|(fault, _)| *fault).collect();
        system.unexpected_exits(&current).into_iter().for_each(|exit| results.fail(exit));
        if over && active.is_empty() {
            return count;
        }
        assert!(started.elapsed().as_secs_f64() < duration_s + 40.0, "no recovery from {current:?}");
        thread::park_timeout(Duration::from_millis(rng.u64(20..250)));
    }
}

/// Runs the backend of the first version, which is returned, and one of a version that nobody orders.
fn run_backends(cores: &[String], results: &Arc<Results>) -> VersionBackend {
    let recorded = results.clone();
    let first =
        VersionBackend::start("i-1", "v1", cores, results, move |request| recorded.record_run(request));
    let first_request =
        || call(&cores[0], "GET", "/api/Status", "", "").filter(|a| a.body.contains("\"s1\""));
    until("the first backend", first_request);
    let checked = results.clone();
    VersionBackend::start("i-unordered", "v0", cores, results, move |request| {
        let line = request.lines().next().unwrap_or_default();
        checked.fail(format!("a version that nobody ordered got {line}"));
    });
    first
}

/// Runs one seed: faults, recovery, and the final checks.
fn run_history(seed: u64, duration_s: f64, gateways: usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let results = Arc::new(Results::default());
    let mut system = System::new(gateways);
    let cores = system.fleet.seeds.clone();
    let first = config(1, "0", r#""k1""#);
    let put = || call(&cores[0], "POST", "/api/Config.Put", "", &first).filter(|a| a.status == 200);
    until("the first acknowledgement", put);
    let first_backend = run_backends(&cores, &results);
    for ready in &system.ready_addrs {
        until("a ready gateway", || call(ready, "GET", "/api/ready", "", "").filter(|a| a.status == 200));
    }
    let mut callers = Vec::new();
    let (targets, shared) = (cores.clone(), results.clone());
    callers.push(thread::spawn(move || callers::run_operator(seed, targets, shared)));
    let (targets, shared) = (cores.clone(), results.clone());
    callers.push(thread::spawn(move || callers::run_reader(seed, targets, shared)));
    let rollout_counts = Arc::new(RolloutCounts::default());
    let (targets, shared, counts) = (cores.clone(), results.clone(), rollout_counts.clone());
    callers.push(thread::spawn(move || run_rollouts(seed, first_backend, targets, shared, counts)));
    for (number, address) in system.client_addrs.iter().enumerate() {
        let (address, shared, interruptions) =
            (address.clone(), results.clone(), system.proxies[number].interruptions.clone());
        let client_seed = seed * 10 + number as u64;
        let pipelining = PipeliningClient { gateway: address.clone(), interruptions: interruptions.clone() };
        callers.push(thread::spawn(move || callers::run_client(client_seed, address, interruptions, shared)));
        let shared = results.clone();
        callers.push(thread::spawn(move || pipelining.run(client_seed, &shared)));
    }

    let faults = inject_faults(&mut rng, &mut system, &results, duration_s);

    // After the last fault, changes must be acknowledged and every gateway ready within the limit.
    let recovering = Instant::now();
    let changes = results.changes.load(Ordering::Relaxed);
    while results.changes.load(Ordering::Relaxed) < changes + 2
        && results.failures.lock().expect("not poisoned").is_empty()
    {
        assert!(
            recovering.elapsed() < MAX_RECOVERY,
            "seed {seed}: no change is acknowledged {MAX_RECOVERY:?} after the last fault"
        );
        thread::yield_now();
    }
    for ready in &system.ready_addrs {
        until("a ready gateway", || call(ready, "GET", "/api/ready", "", "").filter(|a| a.status == 200));
        assert!(
            recovering.elapsed() < MAX_RECOVERY,
            "seed {seed}: {ready} is not ready {MAX_RECOVERY:?} after the last fault"
        );
    }
    results.stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("the caller does not panic"));
    let latest = results.acknowledged.load(Ordering::SeqCst);
    for core in &cores {
        until("the configuration", || edition_at(core).filter(|edition| *edition >= latest));
        let status = until("a status", || call(core, "GET", "/api/Status", "", "")).body;
        assert!(status.contains("\"violations\":[]"), "seed {seed}: {status}");
    }
    for ready in &system.ready_addrs {
        let metrics = until("the metrics", || call(ready, "GET", "/metrics", "", "")).body;
        let violated = |line: &&str| line.contains("invariant_violations_total{") && !line.ends_with(" 0");
        assert_eq!(metrics.lines().find(violated), None, "seed {seed}");
    }
    let runs = results.runs.lock().expect("not poisoned");
    for (id, times) in runs.iter().filter(|(_, times)| **times > 1) {
        results.fail(format!("request {id} ran {times} times"));
    }
    for id in results.not_run.lock().expect("not poisoned").iter().filter(|id| runs.contains_key(*id)) {
        results.fail(format!("request {id} ran, but its response promised that it would not"));
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    println!(
        "seed {seed}: {gateways} gateways, {faults} faults, {} changes ({} responses lost), {} reads, {} of {} requests \
         served, {} responses to pipelining clients, {} roll-outs ({} delivered, {} returned)",
        count(&results.changes),
        count(&results.lost_responses),
        count(&results.reads),
        count(&results.served),
        count(&results.sent),
        count(&results.pipelined),
        count(&rollout_counts.ordered),
        count(&rollout_counts.delivered),
        count(&rollout_counts.returned)
    );
    let failures = results.failures.lock().expect("not poisoned");
    assert!(failures.is_empty(), "seed {seed}: {failures:#?}");
    assert!(count(&results.served) > 0, "seed {seed}: no request was served");
    assert!(count(&results.pipelined) > 0, "seed {seed}: no pipelined request was answered");
}

#[test]
fn guarantees_hold_under_overlapping_faults() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let (first, seeds) = (number("SEED").unwrap_or(1), number("HISTORIES").unwrap_or(DEFAULT_HISTORIES));
    let duration_s = number("SOAK_S").unwrap_or(DEFAULT_SOAK_S) as f64;
    let gateways = number("GATEWAYS").unwrap_or(DEFAULT_GATEWAYS) as usize;
    for seed in first..first + seeds {
        run_history(seed, duration_s, gateways);
    }
}
