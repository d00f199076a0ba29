//! A run: real core processes, one real agent and proxy, hollow gateways and backends that beat; changes of the
//! configuration one after the other, restarts between them, and a zone's gateways that come back at once.

use super::bounds::{Needs, Room};
use super::draw::{zone_of, Drawn, Machine, Size};
use super::fleet::{self, Beaten, Beats, Note, Part};
use super::hollow::{Counts, Holds};
use crate::stage::machine;
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

/// Connections over which backends beat.
pub const BEAT_LINKS: usize = 128;
/// Threads of hollow gateways: a third of a machine of twelve cores.
pub const THREADS: usize = 4;
/// A fleet is up within this, or the run has failed.
const START_MOST: Duration = Duration::from_secs(90);
/// A change that is not in force everywhere by then is given up.
const CHANGE_MOST: Duration = Duration::from_secs(30);
/// Changes in a row that are given up, before the run is.
const GIVEN_UP_MOST: usize = 2;
/// Longest run of one size.
const RUN_MOST: Duration = Duration::from_secs(240);
/// Nothing new for so long: a backend beats within it.
const SETTLED: Duration = Duration::from_secs(3);
/// Backends and gateways are known within this, or the run has failed.
const SETTLE_MOST: Duration = Duration::from_secs(90);
/// The fleet at rest is watched for so long.
const REST: Duration = Duration::from_secs(6);
/// Between one change and the next.
const PAUSE: Duration = Duration::from_millis(600);
/// The operator waits so long for an answer to a large call, and between two tries.
const ANSWER: Duration = Duration::from_secs(10);
const AGAIN: Duration = Duration::from_millis(200);
/// Gateways that are named where a change did not come to all.
const LEFT_TOLD: usize = 20;
/// How often the fleet's progress is told.
const TOLD_EVERY: Duration = Duration::from_secs(5);

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The folder with `narcissus`, `windermere` and `pelion`.
    pub programs: PathBuf,
    /// Of what is drawn.
    pub seed: u64,
    /// Changes of the configuration.
    pub changes: u64,
}

/// 50, 95 and 100 in 100, in s.
pub type Spread = [f64; 3];

/// One change.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// The edition it brings.
    pub edition: u64,
    /// From the first Put to its acknowledgement, in s; none if it was given up.
    pub acked_s: Option<f64>,
    /// Calls that the operator made for it.
    pub calls: u32,
    /// From the first Put until agents hold it.
    pub held_s: Spread,
    /// From the first Put until it is in force at gateways, in s; those that are left out count as infinite.
    pub force_s: Spread,
    /// Gateways at which it was not in force when it was given up.
    pub missing: usize,
    /// Some of them.
    pub left: Vec<usize>,
    /// The gateway that was restarted after it.
    pub restarted: Option<usize>,
}

/// What one process used.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Process {
    /// Cores while the fleet was at rest.
    pub rest_cores: f64,
    /// Processor time for each change, in s, with what it takes at rest meanwhile, for the restarts between them and for
    /// the zone's return.
    pub change_cpu_s: f64,
    /// Memory at its peak, in MB.
    pub peak_mb: f64,
    /// Its disk at the end, in MB.
    pub disk_mb: f64,
    /// Descriptors that it held at the end.
    pub descriptors: usize,
}

/// What became of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The size.
    pub size: Size,
    /// Routes and tenants in 100 of the full size's.
    pub percent: f64,
    /// The configuration, in MB.
    pub config_mb: f64,
    /// What was reckoned before.
    pub needs: Needs,
    /// Why it was refused, or failed; none if it was played to its end.
    pub failed: Option<String>,
    /// From the first Put until the first edition was in force at all gateways, in s.
    pub start_s: f64,
    /// From then until all backends and gateways were agreed on, with the quiet behind it, in s.
    pub settled_s: f64,
    /// What else the machine had to do when the rest began: processes that want a core, on the average of a minute, and
    /// its cores.
    pub load: [f64; 2],
    /// The changes.
    pub changes: Vec<Change>,
    /// A gateway's restart, from its end until the newest edition is in force there, in s.
    pub back_s: Spread,
    /// A zone's gateways that all come back at once, from their end until the last is up to date, in s.
    pub zone_back_s: f64,
    /// Who leads.
    pub leader: Process,
    /// The one of the others that used most.
    pub follower: Process,
    /// The real agent and proxy.
    pub agent: Process,
    /// The real proxy.
    pub proxy: Process,
    /// All hollow gateways at rest, and for how long.
    pub rest: Counts,
    /// How long the rest was, in s.
    pub rest_s: f64,
    /// All hollow gateways over the changes.
    pub changing: Counts,
    /// How long the changes took, in s.
    pub changing_s: f64,
    /// Beats over the whole run.
    pub beats_taken: u64,
    /// Beats not answered 200 within a second.
    pub beats_lost: u64,
    /// Mean time of an answer to a beat, in ms.
    pub beat_ms: f64,
    /// Times that another core process led than before.
    pub leaders: u32,
}

impl Outcome {
    /// Nothing is known yet.
    fn new(size: Size, percent: f64, config_mb: f64, needs: Needs) -> Outcome {
        Outcome {
            size,
            percent,
            config_mb,
            needs,
            failed: None,
            start_s: f64::INFINITY,
            settled_s: f64::INFINITY,
            load: [0.0; 2],
            changes: Vec::new(),
            back_s: [f64::INFINITY; 3],
            zone_back_s: f64::INFINITY,
            leader: Process::default(),
            follower: Process::default(),
            agent: Process::default(),
            proxy: Process::default(),
            rest: Counts::default(),
            rest_s: 0.0,
            changing: Counts::default(),
            changing_s: 0.0,
            beats_taken: 0,
            beats_lost: 0,
            beat_ms: 0.0,
            leaders: 0,
        }
    }

    /// The middle change's spread, by its last gateway.
    pub fn force_s(&self) -> Spread {
        let mut all: Vec<Spread> = self.changes.iter().map(|change| change.force_s).collect();
        all.sort_by(|a, b| a[2].total_cmp(&b[2]));
        all.get(all.len() / 2).copied().unwrap_or([f64::INFINITY; 3])
    }

    /// Bytes a second between one gateway and the core while nothing changes.
    pub fn rest_bytes_per_s(&self) -> f64 {
        self.rest.control_bytes() as f64 / self.size.gateways as f64 / self.rest_s.max(1e-9)
    }

    /// Bytes that one change costs one gateway, without what it says at rest.
    pub fn change_bytes(&self) -> f64 {
        let changes = self.changes.len().max(1) as f64;
        let (whole, news) = (self.changing.whole, self.changing.changes);
        (whole.bytes + news.bytes) as f64 / self.size.gateways as f64 / changes
    }
}

/// The times of 50, 95 and 100 in 100 of so many, where some may be missing.
pub fn spread(mut times: Vec<f64>, of: usize) -> Spread {
    times.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let place = ((of as f64 * share).ceil() as usize).max(1) - 1;
        times.get(place).copied().unwrap_or(f64::INFINITY)
    };
    [at(0.5), at(0.95), at(1.0)]
}

// ---- Processes --------------------------------------------------------------------------------------------------

/// Processes that run: whoever ends this program by a signal ends them first.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

fn running() -> MutexGuard<'static, Vec<i32>> {
    RUNNING.lock().unwrap_or_else(|e| e.into_inner())
}

/// Kills all processes of the run. What is started later is not touched: this program is to end.
pub fn kill() {
    for id in running().drain(..) {
        if let Some(id) = rustix::process::Pid::from_raw(id) {
            // One that has ended is what is wanted.
            let _ = rustix::process::kill_process(id, rustix::process::Signal::KILL);
        }
    }
}

/// A process that ends with the run, however that ends.
struct Running(Child);

impl Running {
    fn start(program: &Path, settings: &Path, log: &Path) -> Result<Running, String> {
        let told = |e: std::io::Error| format!("{}: {e}", program.display());
        let log = std::fs::File::create(log).map_err(told)?;
        let mut command = Command::new(program);
        command.arg("run").arg("--settings").arg(settings).args(["--log", "warn"]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let mut running = running();
        let child = command.spawn().map_err(told)?;
        running.push(child.id() as i32);
        Ok(Running(child))
    }

    fn id(&self) -> i32 {
        self.0.id() as i32
    }

    fn cpu_s(&self) -> f64 {
        machine::process_usage(self.id()).cpu_s
    }

    fn peak_mb(&self) -> f64 {
        let status = procfs::process::Process::new(self.id()).and_then(|process| process.status());
        status.ok().and_then(|status| status.vmhwm).unwrap_or(0) as f64 * 1024.0 / 1e6
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count)
    }

    fn ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let id = self.id();
        running().retain(|of| *of != id);
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Bytes of all files in a folder.
fn disk_mb(folder: &Path) -> f64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries
        .map(|entry| match entry.metadata() {
            Ok(meta) if meta.is_dir() => disk_mb(&entry.path()),
            Ok(meta) => meta.len() as f64 / 1e6,
            Err(_) => 0.0,
        })
        .sum()
}

fn free_port(ip: &str) -> Result<u16, String> {
    let bound = TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr());
    bound.map(|at| at.port()).map_err(|e| format!("a port on {ip}: {e}"))
}

/// Two ports in a row that are free.
fn inner_port() -> Result<u16, String> {
    for _ in 0..100 {
        let first = free_port("127.0.0.1")?;
        let next = first.checked_add(1).filter(|next| TcpListener::bind(("127.0.0.1", *next)).is_ok());
        if next.is_some() {
            return Ok(first);
        }
    }
    Err("no two free ports in a row on loopback".to_owned())
}

/// The real processes.
struct System {
    cores: Vec<Running>,
    agent: Running,
    proxy: Running,
    seeds: Vec<String>,
    inner: u16,
    folder: tempfile::TempDir,
}

impl System {
    fn start(options: &Options, size: Size) -> Result<System, String> {
        let folder = tempfile::Builder::new().prefix("granite-lab-scale-").tempdir();
        let folder = folder.map_err(|e| format!("a folder: {e}"))?;
        let ips: Vec<_> = (0..size.cores).map(|core| format!("127.79.0.{}", core + 2)).collect();
        let seeds = ips
            .iter()
            .map(|ip| Ok(format!("{ip}:{}", free_port(ip)?)))
            .collect::<Result<Vec<_>, String>>()?;
        let inner = inner_port()?;
        let start = |program: &str, node: &str, class: &str, ip: &str, docks: &[(&str, String)]| {
            let data = folder.path().join(node);
            std::fs::create_dir_all(&data).map_err(|e| format!("a folder: {e}"))?;
            let data = data.to_string_lossy();
            let machine =
                Machine { node, class, ip, zone: zone_of(0), docks, data: &data, inner, seeds: &seeds };
            let file = folder.path().join(format!("{node}.yaml"));
            std::fs::write(&file, machine.text()).map_err(|e| format!("a file: {e}"))?;
            Running::start(
                &options.programs.join(program),
                &file,
                &folder.path().join(format!("{node}-{program}.log")),
            )
        };
        let cores = ips.iter().enumerate().map(|(core, ip)| {
            start("narcissus", &format!("sorting-{core}"), "sorting", ip, &[("control", seeds[core].clone())])
        });
        let cores = cores.collect::<Result<Vec<_>, _>>()?;
        let ip = "127.79.1.1";
        let docks =
            [("front", format!("{ip}:{}", free_port(ip)?)), ("ready", format!("{ip}:{}", free_port(ip)?))];
        let agent = start("windermere", "counter-real", "counter", ip, &docks)?;
        let proxy = start("pelion", "counter-real", "counter", ip, &docks)?;
        Ok(System { cores, agent, proxy, seeds, inner, folder })
    }

    /// Why a process has ended, if one has.
    fn ended(&mut self) -> Option<String> {
        let processes = self.cores.iter_mut().chain([&mut self.agent, &mut self.proxy]);
        processes
            .enumerate()
            .find_map(|(at, process)| process.ended().then(|| format!("process {at} ended by itself")))
    }

    fn cpu_s(&self) -> Vec<f64> {
        self.cores.iter().chain([&self.agent, &self.proxy]).map(Running::cpu_s).collect()
    }

    fn process(&self, at: usize, rest: (&[f64], &[f64], f64), change: (&[f64], &[f64], usize)) -> Process {
        let running = self.cores.iter().chain([&self.agent, &self.proxy]).nth(at);
        let Some(running) = running else { return Process::default() };
        let took =
            |from: &[f64], to: &[f64]| to.get(at).zip(from.get(at)).map_or(0.0, |(to, from)| to - from);
        let disk = if at < self.cores.len() {
            disk_mb(&self.folder.path().join(format!("sorting-{at}")))
        } else {
            0.0
        };
        Process {
            rest_cores: took(rest.0, rest.1) / rest.2.max(1e-9),
            change_cpu_s: took(change.0, change.1) / change.2.max(1) as f64,
            peak_mb: running.peak_mb(),
            disk_mb: disk,
            descriptors: running.descriptors(),
        }
    }
}

// ---- The operator -----------------------------------------------------------------------------------------------

/// What became of a Put: how long after the first call it was acknowledged, and the calls it took.
type Put = (Option<f64>, u32);

/// Sends a configuration until it is acknowledged, to one core process after the other, as the operator does.
fn put(seeds: Vec<String>, first: usize, body: String, start: Instant, most: Duration) -> JoinHandle<Put> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return (None, 0) };
        runtime.block_on(async {
            let mut calls = 0;
            while start.elapsed() < most {
                let to = &seeds[(first + calls as usize) % seeds.len()];
                calls += 1;
                let (mut stream, what) = (None, ("POST", "/api/Config.Put"));
                let answer = tokio::time::timeout(ANSWER, fleet::call(&mut stream, to, what, &body)).await;
                match answer {
                    Ok(Ok((200, _))) => return (Some(start.elapsed().as_secs_f64()), calls),
                    Ok(Ok((400..500, _))) => return (None, calls),
                    _ => tokio::time::sleep(AGAIN * calls.min(10)).await,
                }
            }
            (None, calls)
        })
    })
}

#[derive(serde::Deserialize)]
struct Seen {
    leader: String,
    index: u64,
}

/// Who leads and the number of the last change, as the first of the core processes that answers tells.
fn leader(seeds: &[String]) -> Option<(usize, u64)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
    runtime.block_on(async {
        for seed in seeds {
            let (mut stream, what) = (None, ("GET", "/api/Status"));
            let answer =
                tokio::time::timeout(Duration::from_secs(2), fleet::call(&mut stream, seed, what, ""));
            let Ok(Ok((200, body))) = answer.await else { continue };
            let Ok(seen) = serde_json::from_str::<Seen>(&body) else { continue };
            if let Some(at) = seeds.iter().position(|seed| *seed == seen.leader) {
                return Some((at, seen.index));
            }
        }
        None
    })
}

/// Waits until nothing new is agreed on: first beats of backends and the gateways' own entries are behind it. Who leads
/// then.
fn settle(seeds: &[String], said: &dyn Fn(&str)) -> Result<usize, String> {
    let (start, mut quiet, mut last) = (Instant::now(), Instant::now(), None);
    while start.elapsed() < SETTLE_MOST {
        let now = leader(seeds);
        if now != last {
            said(&format!("change {} is agreed on", now.map_or(0, |(_, index)| index)));
            (quiet, last) = (Instant::now(), now);
        }
        if let Some((leads, _)) = now.filter(|_| quiet.elapsed() > SETTLED) {
            return Ok(leads);
        }
        std::thread::sleep(SETTLED / 5);
    }
    let still = last.map_or("nobody leads".to_owned(), |(_, index)| format!("change {index} is the last"));
    Err(format!("not settled after {} s of first beats: {still}", SETTLE_MOST.as_secs()))
}

/// Processes that want a core of this machine, on the average of a minute, and its cores.
fn machine_load() -> [f64; 2] {
    use procfs::Current;
    let load = procfs::LoadAverage::current().map_or(0.0, |load| f64::from(load.one));
    [load, std::thread::available_parallelism().map_or(0.0, |cores| cores.get() as f64)]
}

// ---- The run ----------------------------------------------------------------------------------------------------

/// The lab's own threads, which end with the run.
struct Threads {
    over: watch::Sender<bool>,
    round: watch::Sender<u64>,
    restarts: Vec<UnboundedSender<usize>>,
    parts: Vec<JoinHandle<Result<(), String>>>,
    sums: Receiver<(u64, Counts)>,
    beats: Option<JoinHandle<Result<Beaten, String>>>,
    notes: Receiver<Note>,
}

impl Threads {
    fn start(system: &System, drawn: &Arc<Drawn>, whole: usize) -> Threads {
        let (over, ended) = watch::channel(false);
        let (round, rounds) = watch::channel(0);
        let (notes, noted) = channel();
        let (sums, summed) = channel();
        let gateways = drawn.size().gateways;
        let (mut restarts, mut parts) = (Vec::new(), Vec::new());
        for thread in 0..THREADS.min(gateways) {
            let (restart, restarted) = unbounded_channel();
            let holds = |number: usize| if number < whole { Holds::All } else { Holds::Number };
            let part = Part {
                gateways: (thread..gateways).step_by(THREADS).map(|number| (number, holds(number))).collect(),
                seeds: system.seeds.clone(),
                inner: system.inner,
                notes: notes.clone(),
                restarts: restarted,
                over: ended.clone(),
                round: rounds.clone(),
                sums: sums.clone(),
            };
            restarts.push(restart);
            parts.push(std::thread::spawn(move || fleet::run(part)));
        }
        let (seeds, links) = (system.seeds.clone(), BEAT_LINKS.min(drawn.size().backends));
        let beats = Beats { drawn: drawn.clone(), links, seeds, over: ended };
        let beats = Some(std::thread::spawn(move || fleet::beat(beats)));
        Threads { over, round, restarts, parts, sums: summed, beats, notes: noted }
    }

    fn restart(&self, gateway: usize) {
        // A thread that has ended tells why at the end.
        let _ = self.restarts[gateway % self.restarts.len()].send(gateway);
    }

    /// What all gateways were told and told in the round that ends now.
    fn sums(&self, round: u64) -> Result<Counts, String> {
        // A thread that makes tables hears late.
        const MOST: Duration = Duration::from_secs(30);
        let (mut sum, mut heard) = (Counts::default(), 0);
        while heard < self.parts.len() {
            let (of, counts) =
                self.sums.recv_timeout(MOST).map_err(|_| "a thread of the lab is silent".to_owned())?;
            if of == round {
                heard += 1;
                sum.add(&counts);
            }
        }
        Ok(sum)
    }

    /// Ends all; what became of the beats.
    fn end(mut self) -> Result<Beaten, String> {
        let _ = self.over.send(true);
        let lost = |_| "a thread of the lab has failed".to_owned();
        for part in self.parts.drain(..) {
            part.join().map_err(lost)??;
        }
        let beats = self.beats.take().map(|beats| beats.join().map_err(lost)?).transpose()?;
        Ok(beats.unwrap_or_default())
    }
}

/// Where gateways stand with one edition: when agents held it and when it was in force, by gateway.
struct Watched {
    edition: u64,
    start: Instant,
    held: Vec<Option<f64>>,
    force: Vec<Option<f64>>,
}

impl Watched {
    fn new(edition: u64, start: Instant, gateways: usize) -> Watched {
        Watched { edition, start, held: vec![None; gateways], force: vec![None; gateways] }
    }

    fn note(&mut self, note: Note) {
        let (of, gateway, edition, at) = match note {
            Note::Held(gateway, edition, at) => (&mut self.held, gateway, edition, at),
            Note::InForce(gateway, edition, at) => (&mut self.force, gateway, edition, at),
        };
        if edition >= self.edition && of[gateway].is_none() {
            of[gateway] = Some(at.saturating_duration_since(self.start).as_secs_f64());
        }
    }

    /// Takes notes until these gateways go by the edition. False if the time is over before.
    fn wait(&mut self, notes: &Receiver<Note>, of: &[usize], most: Duration, said: &dyn Fn(&str)) -> bool {
        let mut told = Instant::now();
        loop {
            let left = of.iter().filter(|gateway| self.force[**gateway].is_none()).count();
            if left == 0 {
                return true;
            }
            if self.start.elapsed() > most {
                return false;
            }
            if told.elapsed() > TOLD_EVERY {
                told = Instant::now();
                said(&format!(
                    "edition {}: {left} gateways left after {:.0} s",
                    self.edition,
                    self.start.elapsed().as_secs_f64()
                ));
            }
            match notes.recv_timeout(Duration::from_millis(100)) {
                Ok(note) => self.note(note),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }
}

/// Processor time of all processes at the moments that divide a run, and who led.
#[derive(Default)]
struct Marks {
    rest: (Vec<f64>, Vec<f64>),
    change: Vec<f64>,
    leads: usize,
}

/// Plays one size. An error tells why the lab itself could not; what the system could not stands in the outcome.
pub fn play(options: &Options, size: Size, percent: f64, said: &dyn Fn(&str)) -> Result<Outcome, String> {
    let drawn = Arc::new(Drawn::new(size, options.seed));
    let config_mb = drawn.put(1).len() as f64 / 1e6;
    let needs = Needs::of(size, config_mb, THREADS, options.changes);
    let mut outcome = Outcome::new(size, percent, config_mb, needs);
    if let Some(why) = outcome.needs.refused(size, options.changes, Room::here()?) {
        outcome.failed = Some(format!("refused: {why}"));
        return Ok(outcome);
    }
    machine::raise_descriptor_limit(outcome.needs.descriptors.max(outcome.needs.leader_descriptors))?;
    let mut system = System::start(options, size)?;
    let threads = Threads::start(&system, &drawn, outcome.needs.whole);
    let mut marks = Marks::default();
    let played = changes(options, &drawn, &mut system, &threads, &mut outcome, &mut marks, said);
    outcome.failed = system.ended().or(played.err());
    figures(&system, &marks, &mut outcome);
    let beats = threads.end()?;
    (outcome.beats_taken, outcome.beats_lost) = (beats.taken, beats.lost);
    outcome.beat_ms = beats.waited_s * 1000.0 / beats.taken.max(1) as f64;
    Ok(outcome)
}

/// The first edition, the rest, the changes and the zone's return. An error says what the system did not do.
fn changes(
    options: &Options, drawn: &Drawn, system: &mut System, threads: &Threads, outcome: &mut Outcome,
    marks: &mut Marks, said: &dyn Fn(&str),
) -> Result<(), String> {
    let begun = Instant::now();
    let gateways = drawn.size().gateways;
    let all: Vec<usize> = (0..gateways).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut watched = Watched::new(1, begun, gateways);
    let first = put(system.seeds.clone(), 0, drawn.put(1), begun, START_MOST);
    let up = watched.wait(&threads.notes, &all, START_MOST, said);
    let taken = first.join().map_err(|_| "the operator's thread has failed".to_owned())?;
    if !up || taken.0.is_none() {
        let left = watched.force.iter().filter(|at| at.is_none()).count();
        let acked = if taken.0.is_some() { "acknowledged" } else { "not acknowledged" };
        return Err(format!(
            "the fleet was not up after {:.0} s: {left} of {gateways} gateways left, the first configuration {acked} after \
             {} calls",
            begun.elapsed().as_secs_f64(),
            taken.1
        ));
    }
    outcome.start_s = begun.elapsed().as_secs_f64();
    said(&format!("{gateways} gateways are up after {:.1} s", outcome.start_s));
    let settling = Instant::now();
    marks.leads = settle(&system.seeds, said)?;
    outcome.settled_s = settling.elapsed().as_secs_f64();
    outcome.load = machine_load();
    let counts = |round: &mut u64| {
        *round += 1;
        // All threads have ended if nobody hears.
        let _ = threads.round.send(*round);
    };
    let mut round = 0;
    counts(&mut round);
    let (rest_from, rest_start) = (system.cpu_s(), Instant::now());
    std::thread::sleep(REST);
    let rest_s = rest_start.elapsed().as_secs_f64();
    marks.rest = (rest_from, system.cpu_s());
    counts(&mut round);
    (outcome.rest_s, outcome.rest) = (rest_s, threads.sums(round)?);
    marks.change = system.cpu_s();
    let change_start = Instant::now();
    let (mut back, mut given_up) = (Vec::new(), 0);
    for edition in 2..options.changes + 2 {
        if begun.elapsed() > RUN_MOST {
            return Err(format!("the run took over {} s, at edition {edition}", RUN_MOST.as_secs()));
        }
        while threads.notes.try_recv().is_ok() {}
        let body = drawn.put(edition);
        let start = Instant::now();
        let mut watched = Watched::new(edition, start, gateways);
        let operator = put(system.seeds.clone(), edition as usize, body, start, CHANGE_MOST);
        let done = watched.wait(&threads.notes, &all, CHANGE_MOST, said);
        let (acked_s, calls) = operator.join().map_err(|_| "the operator's thread has failed".to_owned())?;
        let left: Vec<_> = all.iter().copied().filter(|gateway| watched.force[*gateway].is_none()).collect();
        let missing = left.len();
        let left = left.into_iter().take(LEFT_TOLD).collect();
        let times = |of: &[Option<f64>]| spread(of.iter().flatten().copied().collect(), gateways);
        let (held_s, force_s) = (times(&watched.held), times(&watched.force));
        outcome.changes.push(Change {
            edition,
            acked_s,
            calls,
            held_s,
            force_s,
            missing,
            left,
            restarted: None,
        });
        said(&format!(
            "edition {edition}: in force at 50, 95, 100 in 100 after {:.2}, {:.2}, {:.2} s; acknowledged after {}, {calls} calls",
            force_s[0],
            force_s[1],
            force_s[2],
            acked_s.map_or("never".to_owned(), |s| format!("{s:.2} s")),
        ));
        given_up = if done && acked_s.is_some() { 0 } else { given_up + 1 };
        if let Some(why) = system.ended() {
            return Err(why);
        }
        if given_up >= GIVEN_UP_MOST {
            return Err(format!(
                "{given_up} changes in a row were not in force everywhere after {} s",
                CHANGE_MOST.as_secs()
            ));
        }
        if !done {
            continue;
        }
        // A machine is replaced.
        let gateway = all.choose(&mut rng).copied().unwrap_or(0);
        let mut watched = Watched::new(edition, Instant::now(), gateways);
        threads.restart(gateway);
        if let Some(change) = outcome.changes.last_mut() {
            change.restarted = Some(gateway);
        }
        if watched.wait(&threads.notes, &[gateway], CHANGE_MOST, said) {
            back.extend(watched.force[gateway]);
        }
        if let Some((now, _)) = leader(&system.seeds).filter(|(now, _)| *now != marks.leads) {
            (marks.leads, outcome.leaders) = (now, outcome.leaders + 1);
        }
        std::thread::sleep(PAUSE);
    }
    counts(&mut round);
    (outcome.changing_s, outcome.changing) = (change_start.elapsed().as_secs_f64(), threads.sums(round)?);
    let of = back.len();
    outcome.back_s = spread(back, of);
    // A zone returns.
    let zone: Vec<usize> = all.iter().copied().filter(|gateway| zone_of(*gateway) == zone_of(0)).collect();
    let mut watched = Watched::new(options.changes + 1, Instant::now(), gateways);
    zone.iter().for_each(|gateway| threads.restart(*gateway));
    if watched.wait(&threads.notes, &zone, CHANGE_MOST, said) {
        outcome.zone_back_s = spread(watched.force.iter().flatten().copied().collect(), zone.len())[2];
    }
    Ok(())
}

/// What the processes used up to now; also of a run that failed, as far as it went.
fn figures(system: &System, marks: &Marks, outcome: &mut Outcome) {
    let (cores, now) = (system.cores.len(), system.cpu_s());
    let rest = (&marks.rest.0[..], &marks.rest.1[..], outcome.rest_s);
    let change = (&marks.change[..], &now[..], outcome.changes.len());
    let process = |at: usize| system.process(at, rest, change);
    let others = (0..cores).filter(|at| *at != marks.leads).map(process);
    outcome.follower = others.max_by(|a, b| a.peak_mb.total_cmp(&b.peak_mb)).unwrap_or_default();
    (outcome.leader, outcome.agent, outcome.proxy) =
        (process(marks.leads), process(cores), process(cores + 1));
}
