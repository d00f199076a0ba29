//! Gateways: real processes, started, killed, paused, let go, upgraded and restarted.

use crate::ledger::GatewayEvent;
use crate::model::front::{CLASSES, PLANS, UNITS_MOST};
use crate::plan::{DEADLINES_MS, TARGET_LATENCY_MS};
use crate::stage::discovery::{object, zone_name};
use crate::stage::machine::{used, Used};
use crate::stage::wire::{Http, Io, Reserved};
use crate::stage::World;
use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use serde_json::{json, Value};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How often it is asked.
const ASK: Duration = Duration::from_millis(20);
/// One that was told to end and has not by then is killed: the longest deadline, 3 s at least, and 0.7 s.
const END: Duration = Duration::from_millis(3_700);
/// Lines of a log that are told when a process did not start.
const TOLD: usize = 5;
/// The front notices that a gateway drains within this, in s.
const FRONT_S: f64 = 0.3;
/// Gateways yield to the stage where the machine is short of processors: its clock and its servers are to be on time.
const NICE: &str = "5";
/// Memory of a gateway, in MB.
const MEMORY_MB: u64 = 192;

/// Processes that were started and have not been waited for. Whatever ends a run, they end with it.
#[derive(Default)]
pub struct Nursery(Mutex<Vec<Pid>>);

impl Nursery {
    fn pids(&self) -> MutexGuard<'_, Vec<Pid>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Drop for Nursery {
    fn drop(&mut self) {
        for pid in self.pids().drain(..) {
            // Only what is still a child of this process bears that number for certain.
            if let Ok(None) = waitpid(Some(pid), WaitOptions::NOHANG) {
                let _ = kill_process(pid, Signal::KILL);
                let _ = waitpid(Some(pid), WaitOptions::empty());
            }
        }
    }
}

/// One process of a gateway.
#[derive(Clone)]
struct Process {
    pid: Pid,
    /// It was told to end: its end is none of its own.
    told: Arc<std::sync::atomic::AtomicBool>,
    ended: watch::Receiver<bool>,
    operator: SocketAddr,
}

/// One gateway's place.
pub struct Seat {
    place: usize,
    folder: PathBuf,
    listen: Reserved,
    operators: [Reserved; 2],
    /// The clients' listener that its processes inherit, where the plan upgrades it.
    inherited: Option<std::net::TcpListener>,
    /// Number of its process: it rises when another one takes over.
    number: AtomicU64,
    /// The process that is meant to serve.
    process: Mutex<Option<Process>>,
    starts: AtomicU64,
    /// What processes that have ended had used.
    past: Mutex<Used>,
}

fn signal(process: &Process, signal: Signal) {
    // One that has just ended can't be told anything.
    let _ = kill_process(process.pid, signal);
}

impl Seat {
    /// A gateway's place with its addresses and its folder; `upgraded`: its processes inherit the clients' listener.
    pub fn new(place: usize, folder: &Path, upgraded: bool) -> io::Result<Seat> {
        let folder = folder.join(format!("n{place}"));
        std::fs::create_dir_all(folder.join("tmp"))?;
        let listen = Reserved::new(Ipv4Addr::LOCALHOST)?;
        Ok(Seat {
            place,
            inherited: if upgraded { Some(listen.listen()?) } else { None },
            listen,
            operators: [Reserved::new(Ipv4Addr::LOCALHOST)?, Reserved::new(Ipv4Addr::LOCALHOST)?],
            folder,
            number: AtomicU64::new(0),
            process: Mutex::default(),
            starts: AtomicU64::new(0),
            past: Mutex::default(),
        })
    }

    /// Where clients reach it.
    pub fn address(&self) -> SocketAddr {
        self.listen.at
    }

    /// Number of its process.
    pub fn number(&self) -> u64 {
        self.number.load(Ordering::Relaxed)
    }

    fn process(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// What its processes have used.
    pub fn used(&self) -> Used {
        let past = *self.past.lock().unwrap_or_else(|e| e.into_inner());
        let now = self.process().as_ref().map(|process| used(process.pid.as_raw_nonzero().get()));
        let now = now.unwrap_or_default();
        Used { cpu_s: past.cpu_s + now.cpu_s, ..now }
    }

    fn config(&self, world: &World, operator: SocketAddr) -> Value {
        let (plan, place) = (&world.plan, self.place);
        let (version, _) = world.discovery.has(world, place);
        let whole = world.registry().whole(version);
        let known = object(world, place, version, true, &whole);
        let known: Value = serde_json::from_str(&known).unwrap_or(Value::Null);
        let class = |number: usize, effect: &str, value: f64, late: f64| {
            json!({"name": CLASSES[number], "aim-ms": TARGET_LATENCY_MS, "give-up-ms": DEADLINES_MS[number], "value": value,
                "late-worth": late, "effect": effect, "group": "all", "stream": false, "window-ms": 5000.0})
        };
        let tier = |number: usize, pays: f64, extra: f64, excess: f64| {
            let rate = plan.traffic.rate[number];
            json!({"name": PLANS[number], "refill": rate, "store-size": rate * plan.traffic.burst_s[number],
                "max-out": 0, "pays": pays, "extra-worth": extra, "excess-cost": excess, "cap-rate": 0.0,
                "cap-depth": 0.0, "ceiling-slack": 0.0})
        };
        let mut config = json!({
            "name": format!("n{place}"),
            "listen": self.listen.at,
            "operator": operator,
            "discovery": world.discovery.door.seen_by(place),
            "counter": world.counter.door.seen_by(place),
            "seed": format!("{:016x}", world.chance(0xC0FF_EE00 + (place as u64) * 1_000 + self.starts.load(Ordering::Relaxed))),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": plan.fleet.descriptors},
            "known": known,
            "settings": {
                "balancers": plan.fleet.gateways, "position": place, "locality": plan.zone(place),
                "zones": (0..plan.fleet.zones).map(zone_name).collect::<Vec<_>>(), "kinds": ["std-2c"],
                "granularity-ms": 4.0, "membership-mode": "push",
                "categories": [class(0, "read_like", 3.0, 0.2), class(1, "non_idempotent", 9.0, 0.0)],
                "tiers-of-service": [tier(0, 1.3, 0.3, 0.0), tier(1, 1.6, 0.0, 0.6)],
                "domain": {"may-count": true, "counter-timeout-ms": 50.0, "count-fee": 0.02,
                    "units-top": UNITS_MOST, "trued-up": true, "peer-intake": 0.0},
                "limits": {"try-limit": 4, "may-duplicate": true, "cancel": true, "probing": true, "peers": false,
                    "retry-after": true, "max-retry-after-ms": 1000.0, "connect-timeout-ms": 250.0,
                    "idle-close-ms": 15000.0},
                "penalties": {"cross-zone": 0.01, "waste": 0.08, "probe": 0.01, "late-fail": 0.08},
                "rules": {"answer-slack-ms": 16.0, "cold-from": plan.fleet.cold_from,
                    "warm-up-ms": plan.fleet.cold_s * 1000.0, "drain-grace-ms": 250.0,
                    "fall-multiple": plan.fleet.fall_multiple, "fall-ms": plan.fleet.fall_ms,
                    "ask-within-ms": 10000.0}
            }
        });
        if let Some(relays) = &world.relays {
            config["cluster"] = json!({"name": "granite-lab", "listen": "127.0.0.1:0", "advertise": relays.at[place],
                "seeds": relays.at.iter().take(3).collect::<Vec<_>>(), "period_ms": 200,
                "expected": plan.fleet.gateways});
        }
        config
    }

    fn path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    fn log_path(&self, start: u64) -> PathBuf {
        self.folder.join(format!("log-{start}"))
    }

    fn launch(&self, program: &Path, start: u64, config: &str) -> io::Result<Child> {
        std::fs::write(self.path(), config)?;
        let log = File::create(self.log_path(start))?;
        let mut command = match &self.inherited {
            None => {
                let mut command = Command::new("nice");
                command.args(["-n", NICE]).arg(program).stdin(Stdio::null());
                command
            }
            Some(listener) => {
                let mut command = Command::new("/bin/sh");
                let run = "exec nice -n \"$1\" \"$0\" 3<&0 </dev/null";
                command.args(["-c", run]).arg(program).arg(NICE).env("RELAY_LISTEN_FD", "3");
                command.stdin(OwnedFd::from(listener.try_clone()?));
                command
            }
        };
        command
            .env("RELAY_CONFIG", self.path())
            .env("TMPDIR", self.folder.join("tmp"))
            .env_remove("RELAY_OPERATOR")
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Starts a process beside what is there and waits until it is ready.
    async fn spawn(self: &Arc<Self>, world: &Arc<World>) -> Result<Process, String> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let operator = self.operators[(start % 2) as usize].at;
        let said = |what: &str, e: io::Error| format!("gateway {}: {what}: {e}", self.place);
        let config = self.config(world, operator).to_string();
        // Many that start at once would hold up the stage: they start in threads of their own, some at a time.
        let place = world.starting.clone().acquire_owned().await;
        let seat = self.clone();
        let program = world.options.program.clone();
        let begun = tokio::task::spawn_blocking(move || seat.launch(&program, start, &config));
        let child = begun.await.map_err(|e| e.to_string())?.map_err(|e| said("it did not start", e))?;
        drop(place);
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| format!("gateway {}: it ended at once", self.place))?;
        world.nursery.pids().push(pid);
        let (over, ended) = watch::channel(false);
        let process = Process { pid, told: Arc::default(), ended, operator };
        tokio::spawn(self.clone().attend(world.clone(), child, process.clone(), over));
        let begun = Instant::now();
        while !ready(operator).await {
            let (most, ended) = (world.options.ready, *process.ended.borrow());
            if ended || begun.elapsed() > most {
                process.told.store(true, Ordering::Relaxed);
                signal(&process, Signal::KILL);
                let why = if ended {
                    "ended at its start".to_owned()
                } else {
                    format!("is not ready after {} s", most.as_secs_f64())
                };
                return Err(format!("gateway {} {why}; its log ends:\n{}", self.place, self.log_end(start)));
            }
            sleep(ASK).await;
        }
        self.learn_place(world, start).await;
        Ok(process)
    }

    fn log_end(&self, start: u64) -> String {
        let text = std::fs::read_to_string(self.log_path(start)).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(TOLD)..].join("\n")
    }

    /// Its log tells where its socket for members is.
    async fn learn_place(&self, world: &World, start: u64) {
        let Some(relays) = &world.relays else { return };
        let begun = Instant::now();
        while begun.elapsed() < world.options.ready {
            let text = std::fs::read_to_string(self.log_path(start)).unwrap_or_default();
            let told =
                text.lines().rev().find_map(|line| line.split_once(", reached at ")?.1.split_once(", on "));
            if let Some(at) = told.and_then(|(_, at)| at.trim().parse().ok()) {
                return relays.is_at(self.place, at);
            }
            // During an upgrade the new process is no member before the old one has let go.
            if self.inherited.is_some() && start > 0 {
                return;
            }
            sleep(ASK).await;
        }
    }

    /// Waits for a process to end.
    async fn attend(
        self: Arc<Self>, world: Arc<World>, mut child: Child, process: Process, over: watch::Sender<bool>,
    ) {
        // What it had used is known until it is waited for.
        let watched = async {
            let mut last = Used::default();
            loop {
                last = Some(used(process.pid.as_raw_nonzero().get()))
                    .filter(|now| now.cpu_s >= last.cpu_s)
                    .unwrap_or(last);
                tokio::select! {
                    _ = child.wait() => return last,
                    () = sleep(Duration::from_millis(500)) => {}
                }
            }
        };
        let last = watched.await;
        world.nursery.pids().retain(|pid| *pid != process.pid);
        self.past.lock().unwrap_or_else(|e| e.into_inner()).cpu_s += last.cpu_s;
        if !process.told.load(Ordering::Relaxed) {
            world.lives(self.place, GatewayEvent::Crashed);
            world.front_sees(self.place, false, world.plan.traffic.notice_s);
        }
        let _ = over.send(true);
        let mut serving = self.process();
        if serving.as_ref().is_some_and(|serving| serving.pid == process.pid) {
            *serving = None;
        }
    }

    /// Starts it; it serves from then on.
    pub async fn start(self: &Arc<Self>, world: &Arc<World>) -> Result<(), String> {
        let process = self.spawn(world).await?;
        *self.process() = Some(process);
        self.number.fetch_add(1, Ordering::Relaxed);
        world.lives(self.place, GatewayEvent::Ready);
        world.front_sees(self.place, true, 0.0);
        Ok(())
    }

    async fn over(&self, process: &Process, within: Duration) -> bool {
        let mut ended = process.ended.clone();
        let waited = timeout(within, ended.wait_for(|ended| *ended)).await;
        waited.is_ok_and(|ended| ended.is_ok())
    }

    /// SIGKILL; returns once it is gone.
    pub async fn kill(&self, world: &World) {
        let Some(process) = self.process().take() else { return };
        process.told.store(true, Ordering::Relaxed);
        self.number.fetch_add(1, Ordering::Relaxed);
        world.lives(self.place, GatewayEvent::Killed);
        signal(&process, Signal::KILL);
        world.front_sees(self.place, false, world.plan.traffic.notice_s);
        self.over(&process, END).await;
    }

    /// The run is over: its end is noted nowhere.
    pub async fn kill_at_end(&self) {
        let process = self.process().take();
        if let Some(process) = process {
            process.told.store(true, Ordering::Relaxed);
            signal(&process, Signal::KILL);
            self.over(&process, END).await;
        }
    }

    /// SIGSTOP or SIGCONT.
    pub fn pause(&self, world: &World, stands: bool) {
        let Some(process) = self.process().clone() else { return };
        world.lives(self.place, if stands { GatewayEvent::Paused } else { GatewayEvent::Resumed });
        signal(&process, if stands { Signal::STOP } else { Signal::CONT });
        world.front_sees(self.place, !stands, world.plan.traffic.notice_s);
    }

    /// SIGHUP.
    pub fn reload(&self, world: &World) -> Result<(), String> {
        let Some(process) = self.process().clone() else { return Ok(()) };
        let text = self.config(world, process.operator).to_string();
        std::fs::write(self.path(), text).map_err(|e| format!("gateway {}: {e}", self.place))?;
        signal(&process, Signal::HUP);
        Ok(())
    }

    /// SIGTERM, and its end; one that hangs is killed.
    async fn end(&self, world: &World, process: &Process) {
        process.told.store(true, Ordering::Relaxed);
        world.lives(self.place, GatewayEvent::Terminated);
        signal(process, Signal::TERM);
        if !self.over(process, END).await {
            world.lives(self.place, GatewayEvent::Killed);
            signal(process, Signal::KILL);
            self.over(process, END).await;
        } else if self.inherited.is_none() {
            world.lives(self.place, GatewayEvent::Exited);
        }
    }

    /// SIGTERM, and a new start once it has ended.
    pub async fn restart(self: &Arc<Self>, world: &Arc<World>) -> Result<(), String> {
        let process = self.process().clone();
        if let Some(process) = process {
            world.front_sees(self.place, false, FRONT_S);
            self.end(world, &process).await;
        }
        self.start(world).await
    }

    /// A second process beside it; once it is ready SIGTERM to the first one.
    pub async fn upgrade(self: &Arc<Self>, world: &Arc<World>) -> Result<(), String> {
        let old = self.process().clone();
        let new = self.spawn(world).await?;
        *self.process() = Some(new);
        self.number.fetch_add(1, Ordering::Relaxed);
        if let Some(old) = old {
            self.end(world, &old).await;
            world.lives(self.place, GatewayEvent::Ready);
            self.learn_place(world, self.starts.load(Ordering::Relaxed) - 1).await;
        }
        Ok(())
    }
}

/// Whether the process that answers operators there can serve.
async fn ready(operator: SocketAddr) -> bool {
    ask(operator, "GET /admin/health").await.is_ok_and(|(status, _)| status == 200)
}

/// One call of an operator.
pub async fn ask(operator: SocketAddr, line: &str) -> io::Result<(u16, Vec<u8>)> {
    let call = async {
        let stream = TcpStream::connect(operator).await?;
        let mut http = Http::new(Io::Plain(stream));
        http.write(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await?;
        let answer = http.read(true).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok((answer.0.status, answer.1))
    };
    timeout(Duration::from_secs(1), call).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
