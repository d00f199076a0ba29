//! Real processes on loopback under troubles that overlap: core processes, agents and proxies are killed, stopped, cut off,
//! emptied and told to end, answers to operators are lost, and what was promised is kept throughout. `HISTORIES` plays more
//! seeds from `SEED` on, `SOAK_S` seconds of troubles each.

#[path = "soak/callers.rs"]
mod callers;
mod processes;
#[path = "soak/relay.rs"]
mod relay;

use callers::{edition_at, Ledger};
use processes::{
    backend, call, config, free_inner_ports, free_port, heartbeat_body, signal, start, until, Fleet, Process,
};
use relay::{relay, Cut};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CORES: usize = 3;
const GATEWAYS: usize = 2;
/// Troubles at a time.
const OVERLAP: usize = 3;
/// Who leads knows by then that a disk is empty: it leaves nobody out whom it heard 1.5 s ago.
const HEARD: Duration = Duration::from_secs(2);
/// After the last trouble all is as it was within this.
const RECOVERS: Duration = Duration::from_secs(15);

/// A process and what it is started with.
struct Node {
    program: &'static str,
    settings: PathBuf,
    process: Option<Process>,
    /// Raised before the process is stopped or killed.
    kills: Arc<AtomicU64>,
}

impl Node {
    fn new(program: &'static str, settings: PathBuf) -> Self {
        let process = Some(start(program, &settings));
        Node { program, settings, process, kills: Arc::default() }
    }

    fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            self.kills.fetch_add(u64::from(name == "-STOP"), Ordering::SeqCst);
            signal(process, name);
        }
    }

    fn kill(&mut self) {
        self.kills.fetch_add(1, Ordering::SeqCst);
        self.process = None;
    }

    fn start(&mut self) {
        if self.process.is_none() {
            self.process = Some(start(self.program, &self.settings));
        }
    }

    /// Whether it ended though nobody ended it.
    fn ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.0.try_wait().ok().flatten().is_some())
    }
}

/// What happens to one machine. The process of a core machine, or the agent and the proxy of a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    KillCore(usize),
    PauseCore(usize),
    /// Both ways, only what it says, only what it hears.
    CutCore(usize, bool, bool),
    WipeCore(usize),
    KillAgent(usize),
    KillProxy(usize),
    PauseProxy(usize),
    CutGateway(usize),
    EndGateway(usize),
    HupGateway(usize),
}

impl Trouble {
    fn draw(rng: &mut fastrand::Rng) -> Self {
        let (core, gateway) = (rng.usize(0..CORES), rng.usize(0..GATEWAYS));
        match rng.u32(0..12) {
            0 | 1 => Trouble::KillCore(core),
            2 => Trouble::PauseCore(core),
            3 => Trouble::CutCore(core, true, true),
            4 => Trouble::CutCore(core, rng.bool(), true),
            5 => Trouble::WipeCore(core),
            6 => Trouble::KillAgent(gateway),
            7 => Trouble::KillProxy(gateway),
            8 => Trouble::PauseProxy(gateway),
            9 => Trouble::CutGateway(gateway),
            10 => Trouble::EndGateway(gateway),
            _ => Trouble::HupGateway(gateway),
        }
    }

    /// The machine that it happens to: core machines first.
    fn machine(self) -> usize {
        match self {
            Trouble::KillCore(n) | Trouble::PauseCore(n) | Trouble::WipeCore(n) | Trouble::CutCore(n, ..) => {
                n
            }
            Trouble::KillAgent(n) | Trouble::KillProxy(n) | Trouble::PauseProxy(n) => CORES + n,
            Trouble::CutGateway(n) | Trouble::EndGateway(n) | Trouble::HupGateway(n) => CORES + n,
        }
    }
}

/// The system under test.
struct System {
    fleet: Fleet,
    cores: Vec<Node>,
    agents: Vec<Node>,
    proxies: Vec<Node>,
    fronts: Vec<String>,
    readies: Vec<String>,
    /// When the machine that lost its disk last was started again, until the others have filled it up.
    wiped: Option<Instant>,
    /// Links by the machines at their ends.
    links: Vec<(usize, usize, Arc<Cut>)>,
}

fn ip(machine: usize) -> String {
    format!("127.0.0.{}", machine + 2)
}

impl System {
    fn new() -> Self {
        let mut fleet = Fleet::new(CORES);
        let mut links = Vec::new();
        for from in 0..CORES + GATEWAYS {
            let name = if from < CORES { format!("core{from}") } else { format!("gateway{}", from - CORES) };
            if from >= CORES {
                fleet.inner_ports.insert(name.clone(), free_inner_ports());
            }
            let first = fleet.inner_ports.get(&name).copied().unwrap_or(fleet.inner_port);
            for to in (0..CORES).filter(|to| *to != from) {
                let address = |port: u16| SocketAddr::new(ip(to).parse().expect("an address"), port);
                let (at, cut) = relay(address(fleet.inner_port));
                fleet.relays.entry(name.clone()).or_default().push((address(first), at));
                links.push((from, to, cut));
            }
        }
        let core = |number| Node::new(env!("CARGO_BIN_EXE_narcissus"), fleet.core_settings(number, true));
        let cores: Vec<_> = (0..CORES).map(core).collect();
        let (mut fronts, mut readies) = (Vec::new(), Vec::new());
        let (mut agents, mut proxies) = (Vec::new(), Vec::new());
        for gateway in 0..GATEWAYS {
            let ip = ip(CORES + gateway);
            let (front, ready) = (format!("{ip}:{}", free_port(&ip)), format!("{ip}:{}", free_port(&ip)));
            let docks = format!("    front: \"{front}\"\n    ready: \"{ready}\"\n");
            let name = format!("gateway{gateway}");
            let settings = fleet.settings(&name, &ip, "counter", &docks, true);
            agents.push(Node::new(env!("CARGO_BIN_EXE_windermere"), settings.clone()));
            proxies.push(Node::new(env!("CARGO_BIN_EXE_pelion"), settings));
            fronts.push(front);
            readies.push(ready);
        }
        System { fleet, cores, agents, proxies, fronts, readies, wiped: None, links }
    }

    /// Cuts what a machine says to core machines, and what it hears of them, or ends that.
    fn cut(&self, machine: usize, says: bool, hears: bool, on: bool) {
        let set = |flag: &AtomicBool, wanted: bool| {
            if wanted {
                flag.store(on, Ordering::Relaxed);
            }
        };
        for (from, to, cut) in &self.links {
            if *from == machine {
                set(&cut.there, says);
                set(&cut.back, hears);
            }
            if *to == machine {
                set(&cut.back, says);
                set(&cut.there, hears);
            }
        }
    }

    fn begin(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::KillCore(n) => self.cores[n].kill(),
            Trouble::PauseCore(n) => self.cores[n].signal("-STOP"),
            Trouble::CutCore(n, says, hears) => self.cut(n, says, hears, true),
            Trouble::WipeCore(n) => {
                self.cores[n].kill();
                let _ = std::fs::remove_dir_all(self.fleet.folder.path().join(format!("core{n}")));
                // It starts at its old address, and the system is not new.
                self.cores[n].settings = self.fleet.core_settings(n, false);
            }
            Trouble::KillAgent(n) => self.agents[n].kill(),
            Trouble::KillProxy(n) => self.proxies[n].kill(),
            Trouble::PauseProxy(n) => self.proxies[n].signal("-STOP"),
            Trouble::CutGateway(n) => self.cut(CORES + n, true, true, true),
            Trouble::EndGateway(n) => {
                self.proxies[n].signal("-TERM");
                self.agents[n].signal("-TERM");
            }
            Trouble::HupGateway(n) => {
                self.proxies[n].signal("-HUP");
                self.agents[n].signal("-HUP");
            }
        }
    }

    /// Ends a trouble. False if it is not over yet.
    fn end(&mut self, trouble: Trouble) -> bool {
        match trouble {
            Trouble::KillCore(n) => self.cores[n].start(),
            Trouble::PauseCore(n) => self.cores[n].signal("-CONT"),
            Trouble::CutCore(n, says, hears) => self.cut(n, says, hears, false),
            Trouble::WipeCore(n) => {
                self.cores[n].start();
                // Before that who leads may not have heard that the disk is empty.
                let started = *self.wiped.get_or_insert_with(Instant::now);
                if started.elapsed() < HEARD || !self.bears_a_loss() {
                    return false;
                }
                self.wiped = None;
            }
            Trouble::KillAgent(n) => self.agents[n].start(),
            Trouble::KillProxy(n) => self.proxies[n].start(),
            Trouble::PauseProxy(n) => self.proxies[n].signal("-CONT"),
            Trouble::CutGateway(n) => self.cut(CORES + n, true, true, false),
            Trouble::EndGateway(n) => {
                if !self.proxies[n].ended() || !self.agents[n].ended() {
                    return false;
                }
                for node in [&mut self.agents[n], &mut self.proxies[n]] {
                    node.process = None;
                    node.start();
                }
            }
            Trouble::HupGateway(_) => {}
        }
        true
    }

    /// Whether who leads says that one more may be lost.
    fn bears_a_loss(&self) -> bool {
        let told = |core: &String| call(core, "GET", "/api/Status", "", "").map(|answer| answer.body);
        let mut statuses = self.fleet.seeds.iter().filter_map(told);
        statuses.any(|text| {
            text.contains("\"vouches\":true")
                && text.contains("\"borne\":1")
                && text.contains("\"filling\":[]")
        })
    }

    /// Names of processes that ended though nothing happened to them.
    fn ended(&mut self, but: &[Trouble]) -> Vec<String> {
        let ends = |machine: usize| but.contains(&Trouble::EndGateway(machine));
        let mut ended = Vec::new();
        for (kind, nodes) in
            [("core", &mut self.cores), ("agent", &mut self.agents), ("proxy", &mut self.proxies)]
        {
            for (number, node) in nodes.iter_mut().enumerate() {
                if (kind == "core" || !ends(number)) && node.ended() {
                    ended.push(format!("{kind} {number} ended by itself"));
                }
            }
        }
        ended
    }
}

/// Troubles, up to three at a time, for so long; then all of them end.
fn trouble(rng: &mut fastrand::Rng, system: &mut System, ledger: &Ledger, for_s: f64) -> usize {
    let since = Instant::now();
    let mut under_way: Vec<(Trouble, Instant)> = Vec::new();
    let mut count = 0;
    loop {
        let over = since.elapsed().as_secs_f64() > for_s;
        let trouble = Trouble::draw(rng);
        let cores = under_way.iter().filter(|(other, _)| other.machine() < CORES).count();
        let wiping = under_way.iter().any(|(other, _)| matches!(other, Trouble::WipeCore(_)));
        let fits = match trouble {
            // A disk is lost while nothing else happens to the core, and nothing does before one more may be lost.
            Trouble::WipeCore(_) => cores == 0 && system.bears_a_loss(),
            _ => trouble.machine() >= CORES || !wiping,
        };
        let free = !under_way.iter().any(|(other, _)| other.machine() == trouble.machine());
        if !over && fits && free && under_way.len() < OVERLAP {
            system.begin(trouble);
            let lasts = Duration::from_secs_f64(0.1 + 2.5 * rng.f64() * rng.f64());
            under_way.push((trouble, Instant::now() + lasts));
            count += 1;
        }
        under_way.retain(|(trouble, until)| Instant::now() < *until || !system.end(*trouble));
        let now: Vec<_> = under_way.iter().map(|(trouble, _)| *trouble).collect();
        system.ended(&now).into_iter().for_each(|what| ledger.wrong(what));
        if over && under_way.is_empty() {
            return count;
        }
        assert!(since.elapsed().as_secs_f64() < for_s + 40.0, "troubles do not end: {now:?}");
        thread::park_timeout(Duration::from_millis(rng.u64(20..250)));
    }
}

/// A backend that beats and tells the ledger what ran.
fn serve(cores: Vec<String>, ledger: Arc<Ledger>) {
    let (server, came) = backend();
    let beats = ledger.clone();
    thread::spawn(move || {
        for postmark in 1u64.. {
            if beats.over() {
                return;
            }
            let core = &cores[postmark as usize % cores.len()];
            drop(call(core, "POST", "/api/Instances.Beat/i-1", "", &heartbeat_body(&server, postmark)));
            thread::park_timeout(Duration::from_millis(300));
        }
    });
    thread::spawn(move || {
        for text in came {
            let text = text.to_ascii_lowercase();
            let name = text.split("request-id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
            if let Some(name) = name.filter(|_| text.starts_with("post ")) {
                *ledger.runs.lock().expect("no panic here").entry(name.to_owned()).or_default() += 1;
            }
        }
    });
}

fn play(seed: u64, for_s: f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let ledger = Arc::new(Ledger::default());
    let mut system = System::new();
    let cores = system.fleet.seeds.clone();
    let first = config(1, "0", r#""k1""#);
    let put = || call(&cores[0], "POST", "/api/Config.Put", "", &first).filter(|a| a.status == 200);
    until("the first acknowledgement", put);
    serve(cores.clone(), ledger.clone());
    for ready in &system.readies {
        until("a ready gateway", || call(ready, "GET", "/api/ready", "", "").filter(|a| a.status == 200));
    }
    let mut callers = Vec::new();
    let (of, to) = (cores.clone(), ledger.clone());
    callers.push(thread::spawn(move || callers::operate(seed, of, to)));
    let (of, to) = (cores.clone(), ledger.clone());
    callers.push(thread::spawn(move || callers::read(seed, of, to)));
    for (number, front) in system.fronts.iter().enumerate() {
        let (front, to, kills) = (front.clone(), ledger.clone(), system.proxies[number].kills.clone());
        callers.push(thread::spawn(move || callers::ask(seed * 10 + number as u64, front, kills, to)));
    }

    let troubles = trouble(&mut rng, &mut system, &ledger, for_s);

    // All of it is over: orders are taken again, and served by all.
    let since = Instant::now();
    let orders = ledger.orders.load(Ordering::Relaxed);
    while ledger.orders.load(Ordering::Relaxed) < orders + 2
        && ledger.wrong.lock().expect("no panic").is_empty()
    {
        assert!(
            since.elapsed() < RECOVERS,
            "seed {seed}: no order is taken {RECOVERS:?} after the last trouble"
        );
        thread::yield_now();
    }
    for ready in &system.readies {
        until("a ready gateway", || call(ready, "GET", "/api/ready", "", "").filter(|a| a.status == 200));
        assert!(
            since.elapsed() < RECOVERS,
            "seed {seed}: {ready} is not ready {RECOVERS:?} after the last trouble"
        );
    }
    ledger.over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("no panic there"));
    let newest = ledger.acknowledged.load(Ordering::SeqCst);
    for core in &cores {
        until("the configuration", || edition_at(core).filter(|edition| *edition >= newest));
        let status = until("a status", || call(core, "GET", "/api/Status", "", "")).body;
        assert!(status.contains("\"violations\":[]"), "seed {seed}: {status}");
    }
    for ready in &system.readies {
        let figures = until("figures", || call(ready, "GET", "/metrics", "", "")).body;
        let violated = |line: &&str| line.contains("invariant_violations_total{") && !line.ends_with(" 0");
        assert_eq!(figures.lines().find(violated), None, "seed {seed}");
    }
    let runs = ledger.runs.lock().expect("no panic here");
    for (name, times) in runs.iter().filter(|(_, times)| **times > 1) {
        ledger.wrong(format!("request {name} ran {times} times"));
    }
    for name in ledger.promised.lock().expect("no panic here").iter().filter(|name| runs.contains_key(*name))
    {
        ledger.wrong(format!("request {name} ran, and its answer promised that it never would"));
    }
    let count = |of: &AtomicU64| of.load(Ordering::Relaxed);
    println!(
        "seed {seed}: {troubles} troubles, {} orders ({} answers lost), {} reads, {} of {} requests served",
        count(&ledger.orders),
        count(&ledger.lost_answers),
        count(&ledger.reads),
        count(&ledger.served),
        count(&ledger.asked)
    );
    let wrong = ledger.wrong.lock().expect("no panic here");
    assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    assert!(count(&ledger.served) > 0, "seed {seed}: nothing was served");
}

#[test]
fn promises_hold_while_troubles_overlap() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let (first, seeds) = (number("SEED").unwrap_or(1), number("HISTORIES").unwrap_or(1));
    let for_s = number("SOAK_S").unwrap_or(8) as f64;
    for seed in first..first + seeds {
        play(seed, for_s);
    }
}
