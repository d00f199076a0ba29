//! A scale run: real core processes, one real agent and proxy, simulated gateways, and heartbeats of simulated backends.
//!
//! The run changes the configuration several times, restarts a gateway after each change, and at the end restarts all
//! gateways of a zone at once.

use super::fleet::{self, EditionEvent, GatewayThread, HeartbeatStats, Heartbeats};
use super::generator::{zone_of, FleetSize, GeneratedFleet, NodeSettings};
use super::resource_limits::{MachineResources, ResourceEstimate};
use super::simulated_gateway::{GatewayStats, ProxyDetail};
use crate::testbed::resource_usage;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;

/// Number of connections that the simulated backends share for their heartbeats.
pub const HEARTBEAT_CONNECTIONS: usize = 128;
/// Number of threads that run simulated gateways.
pub const GATEWAY_THREADS: usize = 4;
/// Timeout of the start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(90);
/// Timeout of a change, and of a restart.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of consecutive timed-out changes after which the run is aborted.
const MAX_CONSECUTIVE_TIMEOUTS: usize = 2;
/// No further change starts after this time.
const RUN_TIMEOUT: Duration = Duration::from_secs(240);
/// The state has settled if nothing was committed for this long: longer than the heartbeat interval of a backend.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Timeout of the wait until the state has settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Duration of the measurement without changes.
const REST_DURATION: Duration = Duration::from_secs(6);
/// Pause between a change and the next one.
const CHANGE_PAUSE: Duration = Duration::from_millis(600);
/// Timeout of one call that puts a configuration.
const PUT_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Backoff after the first failed call; it grows linearly up to ten times this.
const PUT_BACKOFF: Duration = Duration::from_millis(200);
/// Timeout of a status call.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of gateways listed in the result of a change that timed out.
const MAX_LISTED_GATEWAYS: usize = 20;
/// Interval between progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The directory with the programs `oakfall-core`, `oakfall-agent` and `oakfall-proxy`.
    pub programs: PathBuf,
    /// Seed of the generated fleet, and of the choice of gateways to restart.
    pub seed: u64,
    /// Number of changes of the configuration.
    pub changes: u64,
}

/// The 50th, 95th and 100th percentile, in s.
pub type Percentiles = [f64; 3];

/// Result of one change of the configuration.
#[derive(Clone, Debug, Serialize)]
pub struct ChangeResult {
    /// The new edition.
    pub edition: u64,
    /// Time from the first call to its acknowledgement, in s. None if no call was acknowledged.
    pub acked_s: Option<f64>,
    /// Number of calls until the acknowledgement.
    pub calls: u32,
    /// Time from the first call until the gateways' agents have applied it.
    #[serde(rename = "held_s")]
    pub agent_applied_s: Percentiles,
    /// Time from the first call until it is in effect at the gateways; infinite for gateways that did not apply it.
    #[serde(rename = "force_s")]
    pub in_effect_s: Percentiles,
    /// Number of gateways at which it was not in effect before the timeout.
    #[serde(rename = "missing")]
    pub missing_count: usize,
    /// Some of these gateways.
    #[serde(rename = "left")]
    pub missing_gateways: Vec<usize>,
    /// The gateway that was restarted after the change.
    #[serde(rename = "restarted")]
    pub restarted_gateway: Option<usize>,
}

/// Metrics of one process over the phases of a run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProcessMetrics {
    /// Cores used while nothing changes.
    pub rest_cores: f64,
    /// CPU time per change, in s. It includes the usage at rest between the changes, the restarts, and the restart of
    /// the zone.
    pub change_cpu_s: f64,
    /// Peak memory, in MB.
    pub peak_mb: f64,
    /// Size of the data directory at the end, in MB.
    pub disk_mb: f64,
    /// Open file descriptors at the end.
    pub descriptors: usize,
}

/// Result of the run of one size.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Size of the fleet.
    pub size: FleetSize,
    /// Routes and tenants, in percent of the full size's.
    pub percent: f64,
    /// Size of the configuration, in MB.
    pub config_mb: f64,
    /// Resources estimated before the run.
    #[serde(rename = "needs")]
    pub estimate: ResourceEstimate,
    /// Why the run was refused or has failed. None if it completed.
    #[serde(rename = "failed")]
    pub failure: Option<String>,
    /// Time from the first call until the first edition was in effect at all gateways, in s.
    pub start_s: f64,
    /// Time from then until the state had settled, in s.
    pub settled_s: f64,
    /// Load average of the machine over one minute at the start of the rest, and its number of cores.
    pub load: [f64; 2],
    /// Results of the changes.
    pub changes: Vec<ChangeResult>,
    /// Time from the restart of a single gateway until the current edition is in effect there.
    #[serde(rename = "back_s")]
    pub restart_s: Percentiles,
    /// Time from the restart of all gateways of a zone until the current edition is in effect at the last one, in s.
    #[serde(rename = "zone_back_s")]
    pub zone_restart_s: f64,
    /// The leader at the end of the run.
    pub leader: ProcessMetrics,
    /// The follower with the highest peak memory.
    pub follower: ProcessMetrics,
    /// The real agent.
    pub agent: ProcessMetrics,
    /// The real proxy.
    pub proxy: ProcessMetrics,
    /// Messages of all simulated gateways while nothing changes.
    pub rest: GatewayStats,
    /// Duration of the measurement without changes, in s.
    pub rest_s: f64,
    /// Messages of all simulated gateways during the changes.
    pub changing: GatewayStats,
    /// Duration of the changes, in s.
    pub changing_s: f64,
    /// Number of heartbeats with a response of status 200.
    #[serde(rename = "beats_taken")]
    pub heartbeats_succeeded: u64,
    /// Number of heartbeats without a response of status 200 within a second.
    #[serde(rename = "beats_lost")]
    pub heartbeats_failed: u64,
    /// Mean response time of a heartbeat, in ms.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: f64,
    /// Number of times that the leader changed.
    #[serde(rename = "leaders")]
    pub leader_changes: u32,
}

impl RunResult {
    /// A result without any measurement.
    fn new(size: FleetSize, percent: f64, config_mb: f64, estimate: ResourceEstimate) -> RunResult {
        RunResult {
            size,
            percent,
            config_mb,
            estimate,
            failure: None,
            start_s: f64::INFINITY,
            settled_s: f64::INFINITY,
            load: [0.0; 2],
            changes: Vec::new(),
            restart_s: [f64::INFINITY; 3],
            zone_restart_s: f64::INFINITY,
            leader: ProcessMetrics::default(),
            follower: ProcessMetrics::default(),
            agent: ProcessMetrics::default(),
            proxy: ProcessMetrics::default(),
            rest: GatewayStats::default(),
            rest_s: 0.0,
            changing: GatewayStats::default(),
            changing_s: 0.0,
            heartbeats_succeeded: 0,
            heartbeats_failed: 0,
            heartbeat_ms: 0.0,
            leader_changes: 0,
        }
    }

    /// Times until a change is in effect, of the change with the median time of its last gateway.
    pub fn median_in_effect_s(&self) -> Percentiles {
        let mut all: Vec<Percentiles> = self.changes.iter().map(|change| change.in_effect_s).collect();
        all.sort_by(|a, b| a[2].total_cmp(&b[2]));
        all.get(all.len() / 2).copied().unwrap_or([f64::INFINITY; 3])
    }

    /// Bytes per second between one gateway and the core while nothing changes.
    pub fn rest_bytes_per_s(&self) -> f64 {
        self.rest.control_bytes() as f64 / self.size.gateways as f64 / self.rest_s.max(1e-9)
    }

    /// Bytes that one gateway receives for one change, without heartbeat replies.
    pub fn change_bytes(&self) -> f64 {
        let changes = self.changes.len().max(1) as f64;
        let (snapshots, updates) = (self.changing.snapshots, self.changing.changes);
        (snapshots.bytes + updates.bytes) as f64 / self.size.gateways as f64 / changes
    }
}

/// The percentiles of `count` times. Times that are missing from the list count as infinite.
pub fn percentiles(mut times: Vec<f64>, count: usize) -> Percentiles {
    times.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = ((count as f64 * share).ceil() as usize).max(1) - 1;
        times.get(index).copied().unwrap_or(f64::INFINITY)
    };
    [at(0.5), at(0.95), at(1.0)]
}

// ---- Processes --------------------------------------------------------------------------------------------------

/// Ids of the child processes, so that a signal handler can kill them.
static CHILD_PROCESS_IDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

fn child_process_ids() -> MutexGuard<'static, Vec<i32>> {
    CHILD_PROCESS_IDS.lock().unwrap_or_else(|e| e.into_inner())
}

/// Kills the child processes of the run, before this program exits. Processes started later are not killed.
pub fn kill_processes() {
    for id in child_process_ids().drain(..) {
        if let Some(id) = rustix::process::Pid::from_raw(id) {
            // The process may have exited already.
            let _ = rustix::process::kill_process(id, rustix::process::Signal::KILL);
        }
    }
}

/// A child process that is killed when dropped.
struct ChildProcess(Child);

impl ChildProcess {
    fn start(program: &Path, settings: &Path, log: &Path) -> Result<ChildProcess, String> {
        let error = |e: std::io::Error| format!("cannot start {}: {e}", program.display());
        let log = std::fs::File::create(log).map_err(error)?;
        let mut command = Command::new(program);
        command.arg("run").arg("--settings").arg(settings).args(["--log", "warn"]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let mut ids = child_process_ids();
        let child = command.spawn().map_err(error)?;
        ids.push(child.id() as i32);
        Ok(ChildProcess(child))
    }

    fn id(&self) -> i32 {
        self.0.id() as i32
    }

    fn cpu_s(&self) -> f64 {
        resource_usage::process_usage(self.id()).cpu_s
    }

    fn peak_mb(&self) -> f64 {
        let status = procfs::process::Process::new(self.id()).and_then(|process| process.status());
        status.ok().and_then(|status| status.vmhwm).unwrap_or(0) as f64 * 1024.0 / 1e6
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }

    fn has_exited(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let id = self.id();
        child_process_ids().retain(|other| *other != id);
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Total size of all files in a directory, in MB.
fn directory_mb(directory: &Path) -> f64 {
    let entries = std::fs::read_dir(directory).into_iter().flatten().flatten();
    entries
        .map(|entry| match entry.metadata() {
            Ok(meta) if meta.is_dir() => directory_mb(&entry.path()),
            Ok(meta) => meta.len() as f64 / 1e6,
            Err(_) => 0.0,
        })
        .sum()
}

fn find_free_port(ip: &str) -> Result<u16, String> {
    let bound = TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr());
    bound.map(|address| address.port()).map_err(|e| format!("cannot find a free port on {ip}: {e}"))
}

/// A free port of all core processes that has a free one after it on loopback, for the agent. Both are outside the
/// ephemeral range, so that no outgoing connection holds one in TIME-WAIT.
fn find_inner_port(core_ips: &[String]) -> Result<u16, String> {
    let free = |ip: &str, port: u16| TcpListener::bind((ip, port)).is_ok();
    (0..100)
        .map(|_| rand::random_range(10_000..30_000))
        .find(|port| {
            free("127.0.0.1", *port)
                && free("127.0.0.1", *port + 1)
                && core_ips.iter().all(|ip| free(ip, *port))
        })
        .ok_or_else(|| "no two free ports in a row on loopback".to_owned())
}

/// The core processes, and the real agent and proxy.
struct RealProcesses {
    cores: Vec<ChildProcess>,
    agent: ChildProcess,
    proxy: ChildProcess,
    seeds: Vec<String>,
    inner_port: u16,
    directory: tempfile::TempDir,
}

impl RealProcesses {
    fn start(options: &Options, size: FleetSize) -> Result<RealProcesses, String> {
        let directory = tempfile::Builder::new().prefix("granite-lab-scale-").tempdir();
        let directory = directory.map_err(|e| format!("cannot create a directory: {e}"))?;
        let ips: Vec<_> = (0..size.cores).map(|core| format!("127.79.0.{}", core + 2)).collect();
        let seeds = ips
            .iter()
            .map(|ip| Ok(format!("{ip}:{}", find_free_port(ip)?)))
            .collect::<Result<Vec<_>, String>>()?;
        let inner_port = find_inner_port(&ips)?;
        let start =
            |program: &str, node: &str, class: &str, ip: &str, listen_addresses: &[(&str, String)]| {
                let data_dir = directory.path().join(node);
                std::fs::create_dir_all(&data_dir).map_err(|e| format!("cannot create a directory: {e}"))?;
                let settings = NodeSettings {
                    node,
                    class,
                    ip,
                    zone: zone_of(0),
                    listen_addresses,
                    data_dir: &data_dir.to_string_lossy(),
                    inner_port,
                    seeds: &seeds,
                };
                let file = directory.path().join(format!("{node}.yaml"));
                std::fs::write(&file, settings.to_yaml())
                    .map_err(|e| format!("cannot write the settings file: {e}"))?;
                ChildProcess::start(
                    &options.programs.join(program),
                    &file,
                    &directory.path().join(format!("{node}-{program}.log")),
                )
            };
        let cores = ips.iter().enumerate().map(|(core, ip)| {
            start(
                "oakfall-core",
                &format!("sorting-{core}"),
                "sorting",
                ip,
                &[("control", seeds[core].clone())],
            )
        });
        let cores = cores.collect::<Result<Vec<_>, _>>()?;
        let ip = "127.79.1.1";
        let listen_addresses = [
            ("front", format!("{ip}:{}", find_free_port(ip)?)),
            ("ready", format!("{ip}:{}", find_free_port(ip)?)),
        ];
        let agent = start("oakfall-agent", "counter-real", "counter", ip, &listen_addresses)?;
        let proxy = start("oakfall-proxy", "counter-real", "counter", ip, &listen_addresses)?;
        Ok(RealProcesses { cores, agent, proxy, seeds, inner_port, directory })
    }

    /// An error message if a process has exited.
    fn exit_error(&mut self) -> Option<String> {
        let processes = self.cores.iter_mut().chain([&mut self.agent, &mut self.proxy]);
        processes.enumerate().find_map(|(index, process)| {
            process.has_exited().then(|| format!("process {index} exited unexpectedly"))
        })
    }

    /// CPU time of each process so far, in s: core processes, agent, proxy.
    fn cpu_s(&self) -> Vec<f64> {
        self.cores.iter().chain([&self.agent, &self.proxy]).map(ChildProcess::cpu_s).collect()
    }

    /// Metrics of the process with this index. `rest` has the CPU times before and after the rest, and its duration;
    /// `changes` those before and after the changes, and the number of changes.
    fn usage(
        &self, index: usize, rest: (&[f64], &[f64], f64), changes: (&[f64], &[f64], usize),
    ) -> ProcessMetrics {
        let process = self.cores.iter().chain([&self.agent, &self.proxy]).nth(index);
        let Some(process) = process else { return ProcessMetrics::default() };
        let difference =
            |from: &[f64], to: &[f64]| to.get(index).zip(from.get(index)).map_or(0.0, |(to, from)| to - from);
        let disk_mb = if index < self.cores.len() {
            directory_mb(&self.directory.path().join(format!("sorting-{index}")))
        } else {
            0.0
        };
        ProcessMetrics {
            rest_cores: difference(rest.0, rest.1) / rest.2.max(1e-9),
            change_cpu_s: difference(changes.0, changes.1) / changes.2.max(1) as f64,
            peak_mb: process.peak_mb(),
            disk_mb,
            descriptors: process.descriptors(),
        }
    }
}

// ---- Calls of the core ------------------------------------------------------------------------------------------

/// Time from the first call to the acknowledgement, in s, and the number of calls.
type PutResult = (Option<f64>, u32);

/// Puts a configuration, with retries at one core process after the other.
fn put_config(
    seeds: Vec<String>, first: usize, body: String, start: Instant, total_timeout: Duration,
) -> JoinHandle<PutResult> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return (None, 0) };
        runtime.block_on(async {
            let mut calls = 0;
            while start.elapsed() < total_timeout {
                let address = &seeds[(first + calls as usize) % seeds.len()];
                calls += 1;
                let (mut stream, endpoint) = (None, ("POST", "/api/Config.Put"));
                let response = fleet::call(&mut stream, address, endpoint, &body);
                match tokio::time::timeout(PUT_CALL_TIMEOUT, response).await {
                    Ok(Ok((200, _))) => return (Some(start.elapsed().as_secs_f64()), calls),
                    Ok(Ok((400..500, _))) => return (None, calls),
                    _ => tokio::time::sleep(PUT_BACKOFF * calls.min(10)).await,
                }
            }
            (None, calls)
        })
    })
}

#[derive(serde::Deserialize)]
struct StatusReply {
    leader: String,
    index: u64,
}

/// Index of the leader and the last committed index, from the first core process that replies.
fn find_leader(seeds: &[String]) -> Option<(usize, u64)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
    runtime.block_on(async {
        for seed in seeds {
            let (mut stream, endpoint) = (None, ("GET", "/api/Status"));
            let response = tokio::time::timeout(STATUS_TIMEOUT, fleet::call(&mut stream, seed, endpoint, ""));
            let Ok(Ok((200, body))) = response.await else { continue };
            let Ok(status) = serde_json::from_str::<StatusReply>(&body) else { continue };
            if let Some(leader) = seeds.iter().position(|seed| *seed == status.leader) {
                return Some((leader, status.index));
            }
        }
        None
    })
}

/// Waits until no further entries are committed, after all backends and gateways have registered. Returns the leader.
fn wait_until_settled(seeds: &[String], progress: &dyn Fn(&str)) -> Result<usize, String> {
    let (start, mut last_change, mut last) = (Instant::now(), Instant::now(), None);
    while start.elapsed() < SETTLE_TIMEOUT {
        let current = find_leader(seeds);
        if current != last {
            progress(&format!("committed index: {}", current.map_or(0, |(_, index)| index)));
            (last_change, last) = (Instant::now(), current);
        }
        if let Some((leader, _)) = current.filter(|_| last_change.elapsed() > SETTLED_AFTER) {
            return Ok(leader);
        }
        std::thread::sleep(SETTLED_AFTER / 5);
    }
    let reached = last.map_or("no leader".to_owned(), |(_, index)| format!("last committed index {index}"));
    Err(format!("the state has not settled within {} s: {reached}", SETTLE_TIMEOUT.as_secs()))
}

/// Load average of this machine over one minute, and its number of cores.
fn machine_load() -> [f64; 2] {
    use procfs::Current;
    let load = procfs::LoadAverage::current().map_or(0.0, |load| f64::from(load.one));
    [load, std::thread::available_parallelism().map_or(0.0, |cores| cores.get() as f64)]
}

// ---- The run ----------------------------------------------------------------------------------------------------

/// The threads of the simulated gateways and backends.
struct SimulationThreads {
    shutdown: watch::Sender<bool>,
    stats_round: watch::Sender<u64>,
    restarts: Vec<UnboundedSender<usize>>,
    gateways: Vec<JoinHandle<Result<(), String>>>,
    stats: Receiver<(u64, GatewayStats)>,
    heartbeats: Option<JoinHandle<Result<HeartbeatStats, String>>>,
    edition_events: Receiver<EditionEvent>,
}

impl SimulationThreads {
    fn start(real: &RealProcesses, fleet: &Arc<GeneratedFleet>, full_gateways: usize) -> SimulationThreads {
        let (shutdown, shutdown_receiver) = watch::channel(false);
        let (stats_round, stats_round_receiver) = watch::channel(0);
        let (edition_sender, edition_events) = channel();
        let (stats_sender, stats) = channel();
        let gateway_count = fleet.size().gateways;
        let (mut restarts, mut gateways) = (Vec::new(), Vec::new());
        for thread in 0..GATEWAY_THREADS.min(gateway_count) {
            let (restart_sender, restart_receiver) = unbounded_channel();
            let detail = |number: usize| {
                if number < full_gateways {
                    ProxyDetail::Full
                } else {
                    ProxyDetail::IndexOnly
                }
            };
            let gateway_thread = GatewayThread {
                gateways: (thread..gateway_count)
                    .step_by(GATEWAY_THREADS)
                    .map(|number| (number, detail(number)))
                    .collect(),
                seeds: real.seeds.clone(),
                inner_port: real.inner_port,
                edition_events: edition_sender.clone(),
                restarts: restart_receiver,
                shutdown: shutdown_receiver.clone(),
                stats_round: stats_round_receiver.clone(),
                stats: stats_sender.clone(),
            };
            restarts.push(restart_sender);
            gateways.push(std::thread::spawn(move || fleet::run(gateway_thread)));
        }
        let connections = HEARTBEAT_CONNECTIONS.min(fleet.size().backends);
        let seeds = real.seeds.clone();
        let heartbeats = Heartbeats { fleet: fleet.clone(), connections, seeds, shutdown: shutdown_receiver };
        let heartbeats = Some(std::thread::spawn(move || fleet::run_heartbeats(heartbeats)));
        SimulationThreads { shutdown, stats_round, restarts, gateways, stats, heartbeats, edition_events }
    }

    fn restart(&self, gateway: usize) {
        // The error of a thread that has ended is returned by `stop`.
        let _ = self.restarts[gateway % self.restarts.len()].send(gateway);
    }

    /// Sum of all gateways' statistics between the previous round and this one.
    fn total_stats(&self, round: u64) -> Result<GatewayStats, String> {
        // A thread that builds route tables replies late.
        const STATS_TIMEOUT: Duration = Duration::from_secs(30);
        let (mut total, mut replies) = (GatewayStats::default(), 0);
        while replies < self.gateways.len() {
            let (reply_round, stats) = self
                .stats
                .recv_timeout(STATS_TIMEOUT)
                .map_err(|_| "a gateway thread did not report its statistics".to_owned())?;
            if reply_round == round {
                replies += 1;
                total.add(&stats);
            }
        }
        Ok(total)
    }

    /// Stops all threads. Returns the statistics of the heartbeats.
    fn stop(mut self) -> Result<HeartbeatStats, String> {
        let _ = self.shutdown.send(true);
        let panicked = |_| "a thread of the simulation panicked".to_owned();
        for thread in self.gateways.drain(..) {
            thread.join().map_err(panicked)??;
        }
        let heartbeats = self.heartbeats.take().map(|thread| thread.join().map_err(panicked)?).transpose()?;
        Ok(heartbeats.unwrap_or_default())
    }
}

/// Times at which an edition reached each gateway, in s.
struct EditionProgress {
    edition: u64,
    start: Instant,
    agent_applied_s: Vec<Option<f64>>,
    in_effect_s: Vec<Option<f64>>,
}

impl EditionProgress {
    fn new(edition: u64, start: Instant, gateways: usize) -> EditionProgress {
        EditionProgress {
            edition,
            start,
            agent_applied_s: vec![None; gateways],
            in_effect_s: vec![None; gateways],
        }
    }

    fn record(&mut self, event: EditionEvent) {
        let (times, gateway, edition, at) = match event {
            EditionEvent::AgentApplied(gateway, edition, at) => {
                (&mut self.agent_applied_s, gateway, edition, at)
            }
            EditionEvent::ProxyApplied(gateway, edition, at) => (&mut self.in_effect_s, gateway, edition, at),
        };
        if edition >= self.edition && times[gateway].is_none() {
            times[gateway] = Some(at.saturating_duration_since(self.start).as_secs_f64());
        }
    }

    /// Records events until the edition is in effect at these gateways. False after a timeout.
    fn wait(
        &mut self, events: &Receiver<EditionEvent>, gateways: &[usize], timeout: Duration,
        progress: &dyn Fn(&str),
    ) -> bool {
        let mut last_report = Instant::now();
        loop {
            let missing = gateways.iter().filter(|gateway| self.in_effect_s[**gateway].is_none()).count();
            if missing == 0 {
                return true;
            }
            if self.start.elapsed() > timeout {
                return false;
            }
            if last_report.elapsed() > PROGRESS_INTERVAL {
                last_report = Instant::now();
                progress(&format!(
                    "edition {}: not in effect at {missing} gateways after {:.0} s",
                    self.edition,
                    self.start.elapsed().as_secs_f64()
                ));
            }
            match events.recv_timeout(Duration::from_millis(100)) {
                Ok(event) => self.record(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }
}

/// CPU times of all processes at the boundaries of the phases, in s, and the index of the leader.
#[derive(Default)]
struct PhaseSamples {
    /// Before and after the rest.
    rest_cpu_s: (Vec<f64>, Vec<f64>),
    /// Before the changes.
    changes_start_cpu_s: Vec<f64>,
    leader: usize,
}

/// Runs one size. A failure of the system is part of the result; an error is a failure of the lab itself.
pub fn run_size(
    options: &Options, size: FleetSize, percent: f64, progress: &dyn Fn(&str),
) -> Result<RunResult, String> {
    let fleet = Arc::new(GeneratedFleet::new(size, options.seed));
    let config_mb = fleet.config_body(1).len() as f64 / 1e6;
    let estimate = ResourceEstimate::new(size, config_mb, GATEWAY_THREADS, options.changes);
    let mut result = RunResult::new(size, percent, config_mb, estimate);
    let resources = MachineResources::detect()?;
    if let Some(reason) = result.estimate.refusal_reason(size, options.changes, resources) {
        result.failure = Some(format!("refused: {reason}"));
        return Ok(result);
    }
    resource_usage::raise_descriptor_limit(
        result.estimate.descriptors.max(result.estimate.leader_descriptors),
    )?;
    let mut real = RealProcesses::start(options, size)?;
    let threads = SimulationThreads::start(&real, &fleet, result.estimate.full_gateways);
    let mut samples = PhaseSamples::default();
    let completed = run_phases(options, &fleet, &mut real, &threads, &mut result, &mut samples, progress);
    result.failure = real.exit_error().or(completed.err());
    record_usage(&real, &samples, &mut result);
    let heartbeats = threads.stop()?;
    (result.heartbeats_succeeded, result.heartbeats_failed) = (heartbeats.succeeded, heartbeats.failed);
    result.heartbeat_ms = heartbeats.total_response_s * 1000.0 / heartbeats.succeeded.max(1) as f64;
    Ok(result)
}

/// Puts the first edition, measures the fleet at rest, makes the changes, and restarts a zone. An error describes what the
/// system failed to do.
fn run_phases(
    options: &Options, fleet: &GeneratedFleet, real: &mut RealProcesses, threads: &SimulationThreads,
    result: &mut RunResult, samples: &mut PhaseSamples, progress: &dyn Fn(&str),
) -> Result<(), String> {
    let run_start = Instant::now();
    let gateways = fleet.size().gateways;
    let all: Vec<usize> = (0..gateways).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut first_edition = EditionProgress::new(1, run_start, gateways);
    let put = put_config(real.seeds.clone(), 0, fleet.config_body(1), run_start, START_TIMEOUT);
    let started = first_edition.wait(&threads.edition_events, &all, START_TIMEOUT, progress);
    let (acked_s, calls) =
        put.join().map_err(|_| "the thread of the operator's calls panicked".to_owned())?;
    if !started || acked_s.is_none() {
        let missing = first_edition.in_effect_s.iter().filter(|time| time.is_none()).count();
        let acked = if acked_s.is_some() { "acknowledged" } else { "not acknowledged" };
        return Err(format!(
            "the fleet has not started within {:.0} s: {missing} of {gateways} gateways missing, the first configuration {acked} \
             after {calls} calls",
            run_start.elapsed().as_secs_f64(),
        ));
    }
    result.start_s = run_start.elapsed().as_secs_f64();
    progress(&format!("{gateways} gateways started within {:.1} s", result.start_s));
    let settle_start = Instant::now();
    samples.leader = wait_until_settled(&real.seeds, progress)?;
    result.settled_s = settle_start.elapsed().as_secs_f64();
    result.load = machine_load();
    let start_stats_round = |round: &mut u64| {
        *round += 1;
        // The send fails only if all threads have ended.
        let _ = threads.stats_round.send(*round);
    };
    let mut round = 0;
    start_stats_round(&mut round);
    let (cpu_before_rest, rest_start) = (real.cpu_s(), Instant::now());
    std::thread::sleep(REST_DURATION);
    let rest_s = rest_start.elapsed().as_secs_f64();
    samples.rest_cpu_s = (cpu_before_rest, real.cpu_s());
    start_stats_round(&mut round);
    (result.rest_s, result.rest) = (rest_s, threads.total_stats(round)?);
    samples.changes_start_cpu_s = real.cpu_s();
    let changes_start = Instant::now();
    let (mut restart_times, mut consecutive_timeouts) = (Vec::new(), 0);
    for edition in 2..options.changes + 2 {
        if run_start.elapsed() > RUN_TIMEOUT {
            return Err(format!("the run took over {} s, at edition {edition}", RUN_TIMEOUT.as_secs()));
        }
        while threads.edition_events.try_recv().is_ok() {}
        let body = fleet.config_body(edition);
        let start = Instant::now();
        let mut change = EditionProgress::new(edition, start, gateways);
        let put = put_config(real.seeds.clone(), edition as usize, body, start, CHANGE_TIMEOUT);
        let in_effect = change.wait(&threads.edition_events, &all, CHANGE_TIMEOUT, progress);
        let (acked_s, calls) =
            put.join().map_err(|_| "the thread of the operator's calls panicked".to_owned())?;
        let missing: Vec<_> =
            all.iter().copied().filter(|gateway| change.in_effect_s[*gateway].is_none()).collect();
        let missing_count = missing.len();
        let missing_gateways = missing.into_iter().take(MAX_LISTED_GATEWAYS).collect();
        let times = |times: &[Option<f64>]| percentiles(times.iter().flatten().copied().collect(), gateways);
        let (agent_applied_s, in_effect_s) = (times(&change.agent_applied_s), times(&change.in_effect_s));
        result.changes.push(ChangeResult {
            edition,
            acked_s,
            calls,
            agent_applied_s,
            in_effect_s,
            missing_count,
            missing_gateways,
            restarted_gateway: None,
        });
        progress(&format!(
            "edition {edition}: in effect at 50%, 95%, 100% of gateways after {:.2}, {:.2}, {:.2} s; {}, {calls} calls",
            in_effect_s[0],
            in_effect_s[1],
            in_effect_s[2],
            acked_s.map_or("not acknowledged".to_owned(), |s| format!("acknowledged after {s:.2} s")),
        ));
        consecutive_timeouts = if in_effect && acked_s.is_some() { 0 } else { consecutive_timeouts + 1 };
        if let Some(error) = real.exit_error() {
            return Err(error);
        }
        if consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS {
            return Err(format!(
                "{consecutive_timeouts} consecutive changes were not in effect everywhere within {} s",
                CHANGE_TIMEOUT.as_secs()
            ));
        }
        if !in_effect {
            continue;
        }
        let gateway = all.choose(&mut rng).copied().unwrap_or(0);
        let mut restart = EditionProgress::new(edition, Instant::now(), gateways);
        threads.restart(gateway);
        if let Some(change) = result.changes.last_mut() {
            change.restarted_gateway = Some(gateway);
        }
        if restart.wait(&threads.edition_events, &[gateway], CHANGE_TIMEOUT, progress) {
            restart_times.extend(restart.in_effect_s[gateway]);
        }
        if let Some((leader, _)) = find_leader(&real.seeds).filter(|(leader, _)| *leader != samples.leader) {
            (samples.leader, result.leader_changes) = (leader, result.leader_changes + 1);
        }
        std::thread::sleep(CHANGE_PAUSE);
    }
    start_stats_round(&mut round);
    (result.changing_s, result.changing) =
        (changes_start.elapsed().as_secs_f64(), threads.total_stats(round)?);
    let restart_count = restart_times.len();
    result.restart_s = percentiles(restart_times, restart_count);
    let zone: Vec<usize> = all.iter().copied().filter(|gateway| zone_of(*gateway) == zone_of(0)).collect();
    let mut restart = EditionProgress::new(options.changes + 1, Instant::now(), gateways);
    zone.iter().for_each(|gateway| threads.restart(*gateway));
    if restart.wait(&threads.edition_events, &zone, CHANGE_TIMEOUT, progress) {
        let times = restart.in_effect_s.iter().flatten().copied().collect();
        result.zone_restart_s = percentiles(times, zone.len())[2];
    }
    Ok(())
}

/// Records the resource usage of the processes so far, also of a run that failed.
fn record_usage(real: &RealProcesses, samples: &PhaseSamples, result: &mut RunResult) {
    let (cores, now) = (real.cores.len(), real.cpu_s());
    let rest = (&samples.rest_cpu_s.0[..], &samples.rest_cpu_s.1[..], result.rest_s);
    let changes = (&samples.changes_start_cpu_s[..], &now[..], result.changes.len());
    let usage = |index: usize| real.usage(index, rest, changes);
    let followers = (0..cores).filter(|index| *index != samples.leader).map(usage);
    result.follower = followers.max_by(|a, b| a.peak_mb.total_cmp(&b.peak_mb)).unwrap_or_default();
    (result.leader, result.agent, result.proxy) = (usage(samples.leader), usage(cores), usage(cores + 1));
}
