//! Runs a plan: starts real gateway processes on loopback, and simulates the clients, servers, counter and discovery
//! around them in this process, the lab.

mod clients;
mod counter;
mod discovery;
mod fault_schedule;
mod gateways;
pub mod resource_usage;
mod servers;
mod udp_relay;
mod wire;

use crate::check::{self, Verdict};
use crate::fault::{Effect, FaultHandle, Links, Node};
use crate::history::{GatewayEvent, History, ServerAvailability};
use crate::model::registry::{Registry, ServerEntry, ServerState};
use crate::model::workload::{self, EdgeRouter, Request};
use crate::plan::{EndpointKind, GatewayAction, Plan, ServerAction};
use rand::RngCore;
use rand_distr::Distribution;
use resource_usage::{Lateness, LatenessSummary};
use serde::Serialize;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Worker threads of the async runtime.
const WORKER_THREADS: usize = 3;
/// Maximum number of gateway processes that are started at the same time.
const MAX_CONCURRENT_STARTS: usize = 6;
/// Time that a run may take beyond the duration of the plan and a second for each gateway.
const RUN_TIMEOUT_MARGIN: Duration = Duration::from_secs(60);
/// Maximum number of errors of the lab itself that are reported.
const MAX_REPORTED_ERRORS: usize = 10;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway program.
    pub program: PathBuf,
    /// Directory in which logs and configurations of the gateways are kept. Without it they are removed after the run.
    pub keep_dir: Option<PathBuf>,
    /// A gateway that is not ready after this time is killed, and the run fails.
    pub ready_timeout: Duration,
}

impl Options {
    /// Default options for a gateway program.
    pub fn new(program: impl Into<PathBuf>) -> Options {
        Options { program: program.into(), keep_dir: None, ready_timeout: Duration::from_secs(30) }
    }
}

/// Resource usage of the gateways and the lab, and lateness of the lab.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResourceUsage {
    /// Time from the start of the first gateway process until all were ready, in s.
    pub start_s: f64,
    /// Mean CPU time of a gateway, in ms per second of load.
    pub gateway_cpu_ms_per_s: f64,
    /// CPU time of all gateways per request of a client, in us.
    #[serde(rename = "gateway_cpu_us_per_work")]
    pub gateway_cpu_us_per_request: f64,
    /// Resident memory of a gateway at the end, mean and maximum, in MB.
    pub gateway_mb: [f64; 2],
    /// CPU time of the lab process, in ms per second of load.
    #[serde(rename = "stage_cpu_ms_per_s")]
    pub lab_cpu_ms_per_s: f64,
    /// Resident memory of the lab process at the end, in MB.
    #[serde(rename = "stage_mb")]
    pub lab_mb: f64,
    /// Threads of the lab process.
    #[serde(rename = "stage_threads")]
    pub lab_threads: u64,
    /// Open descriptors of the lab process under load.
    #[serde(rename = "stage_descriptors")]
    pub lab_descriptors: usize,
    /// How late timers of the lab fired, in ms.
    pub timers_late_ms: LatenessSummary,
    /// How late simulated clients sent their requests, in ms.
    pub clients_late_ms: LatenessSummary,
}

/// Result of a completed run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The plan's name.
    pub plan: String,
    /// The seed of the run.
    pub seed: u64,
    /// Reasons why the results say nothing about the gateways. Empty if the run is valid.
    #[serde(rename = "not_valid")]
    pub invalid_reasons: Vec<String>,
    /// The results of the checkers.
    pub verdict: Verdict,
    /// Resource usage and lateness.
    #[serde(rename = "machine")]
    pub resource_usage: ResourceUsage,
}

impl Outcome {
    /// Whether the run is valid and no rule was violated.
    pub fn passed(&self) -> bool {
        self.invalid_reasons.is_empty() && self.verdict.passed()
    }
}

/// Shared state of a run.
pub struct RunContext {
    /// The plan.
    pub plan: Plan,
    /// The requests of its clients, in order of their due times.
    pub requests: Vec<Request>,
    /// Current link faults.
    pub links: Links,
    options: Options,
    children: Arc<gateways::ChildProcesses>,
    /// Limits the processes that are started at the same time.
    start_permits: Arc<tokio::sync::Semaphore>,
    /// Zero of the run's clock.
    epoch: Instant,
    /// When the load began.
    load_start: std::sync::OnceLock<f64>,
    /// Whether connections of servers, counter, discovery and clients go through the fault-injecting proxy.
    proxied: [bool; 4],
    history: Mutex<History>,
    registry: Mutex<Registry>,
    /// Changes when discovery streams have to check for new versions.
    registry_changed: watch::Sender<u64>,
    router: Mutex<EdgeRouter>,
    /// Pending updates of the edge router: when, which gateway, and whether it is up.
    router_updates: Mutex<Vec<(f64, usize, bool)>>,
    /// Idle client connections to each gateway.
    idle_connections: Vec<Mutex<Vec<clients::IdleConnection>>>,
    servers: Vec<Arc<servers::SimulatedServer>>,
    counter: Arc<counter::CounterService>,
    discovery: Arc<discovery::DiscoveryService>,
    gateways: Vec<Arc<gateways::Gateway>>,
    relays: Option<Arc<udp_relay::DatagramRelays>>,
    timer_lateness: Lateness,
    client_lateness: Lateness,
    /// Errors of the lab itself.
    errors: Mutex<Vec<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The data stays consistent if a thread panics while it holds the lock.
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl RunContext {
    async fn new(
        plan: &Plan, options: &Options, directory: &Path, children: Arc<gateways::ChildProcesses>,
    ) -> Result<Arc<RunContext>, String> {
        let cannot_create = |what: &str| {
            let what = what.to_owned();
            move |e: std::io::Error| format!("cannot create the {what}: {e}")
        };
        let has_link_step = |kind: EndpointKind| {
            plan.step
                .iter()
                .filter_map(|step| step.link.as_ref())
                .any(|fault| [fault.from.kind, fault.to.kind].contains(&kind))
        };
        let has_server_action = |action: ServerAction| {
            plan.step.iter().any(|step| step.servers.as_ref().is_some_and(|fault| fault.action == action))
        };
        let has_counter_outage = plan.step.iter().any(|step| {
            step.counter.as_ref().is_some_and(|fault| fault.action == crate::plan::CounterAction::Out)
        });
        let proxied = [
            has_link_step(EndpointKind::Servers) || has_server_action(ServerAction::Vanish),
            has_link_step(EndpointKind::Counter) || has_counter_outage,
            has_link_step(EndpointKind::Discovery),
            has_link_step(EndpointKind::Clients),
        ];
        let mut rng = plan.rng(3);
        let speed_distribution = workload::lognormal(1.0, plan.fleet.speed_cv);
        let server_count = plan.fleet.servers + plan.fleet.spare;
        let speeds: Vec<f64> = (0..server_count).map(|_| speed_distribution.sample(&mut rng)).collect();
        let servers: std::io::Result<Vec<_>> = speeds
            .iter()
            .enumerate()
            .map(|(index, speed)| servers::SimulatedServer::new(plan, index, *speed).map(Arc::new))
            .collect();
        let upgraded = plan.step.iter().enumerate().filter_map(|(index, step)| {
            let fault = step.gateways.as_ref().filter(|fault| fault.action == GatewayAction::Upgrade)?;
            Some(plan.gateways(fault.who, index))
        });
        let upgraded: Vec<usize> = upgraded.flatten().collect();
        let gateways: std::io::Result<Vec<_>> = (0..plan.fleet.gateways)
            .map(|index| gateways::Gateway::new(index, directory, upgraded.contains(&index)).map(Arc::new))
            .collect();
        let relays = if plan.fleet.cluster {
            let relays = udp_relay::DatagramRelays::new(plan.fleet.gateways).await;
            Some(Arc::new(relays.map_err(cannot_create("datagram relays"))?))
        } else {
            None
        };
        let requests = workload::generate_requests(plan);
        let first_sent = vec![None; requests.len()];
        let history = History { requests: requests.clone(), first_sent, speeds, ..History::default() };
        Ok(Arc::new(RunContext {
            requests,
            links: Links::default(),
            options: options.clone(),
            children,
            start_permits: Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_STARTS)),
            epoch: Instant::now(),
            load_start: std::sync::OnceLock::new(),
            proxied,
            history: Mutex::new(history),
            registry: Mutex::default(),
            registry_changed: watch::channel(0).0,
            router: Mutex::new(EdgeRouter::new(plan)),
            router_updates: Mutex::default(),
            idle_connections: (0..plan.fleet.gateways).map(|_| Mutex::default()).collect(),
            servers: servers.map_err(cannot_create("server listeners"))?,
            counter: Arc::new(counter::CounterService::new(plan).map_err(cannot_create("counter listener"))?),
            discovery: Arc::new(
                discovery::DiscoveryService::new(plan).map_err(cannot_create("discovery listener"))?,
            ),
            gateways: gateways.map_err(cannot_create("gateway ports and directories"))?,
            relays,
            timer_lateness: Lateness::default(),
            client_lateness: Lateness::default(),
            errors: Mutex::default(),
            plan: plan.clone(),
        }))
    }

    /// The time on the clock of the run, in s.
    pub fn now(&self) -> f64 {
        self.epoch.elapsed().as_secs_f64()
    }

    /// When the load began. Before that, the current time.
    pub fn load_start(&self) -> f64 {
        self.load_start.get().copied().unwrap_or_else(|| self.now())
    }

    /// Sleeps until a time on the clock of the run; forever if it is infinite.
    pub async fn sleep_until(&self, at: f64) {
        if at.is_finite() {
            let at = self.epoch + Duration::from_secs_f64(at.max(0.0));
            tokio::time::sleep_until(at.into()).await;
        } else {
            std::future::pending().await
        }
    }

    /// Whether connections of `own`, a node that the lab simulates, go through the fault-injecting proxy.
    fn is_proxied(&self, own: Node) -> bool {
        match own {
            Node::Server(_) => self.proxied[0],
            Node::Counter => self.proxied[1],
            Node::Discovery => self.proxied[2],
            Node::Client => self.proxied[3],
            Node::Gateway(_) => false,
        }
    }

    fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.history)
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    fn router(&self) -> MutexGuard<'_, EdgeRouter> {
        lock(&self.router)
    }

    fn idle_connections(&self, gateway: usize) -> MutexGuard<'_, Vec<clients::IdleConnection>> {
        lock(&self.idle_connections[gateway])
    }

    /// A number that depends only on the plan's seed and the stream.
    fn seeded_u64(&self, stream: u64) -> u64 {
        self.plan.rng(stream).next_u64()
    }

    fn gateway_generation(&self, gateway: usize) -> u64 {
        self.gateways[gateway].generation()
    }

    fn record_client_lateness(&self, late_s: f64) {
        self.client_lateness.record(late_s.max(0.0));
    }

    fn record_gateway_event(&self, gateway: usize, event: GatewayEvent) {
        let mut history = self.history();
        let at = self.now();
        history.gateway_events.push((at, gateway, event));
    }

    fn set_server_availability(&self, server: usize, availability: ServerAvailability) {
        let mut history = self.history();
        let at = self.now();
        history.server_availability.push((at, server, availability));
        self.servers[server].set_up(availability == ServerAvailability::Up);
    }

    /// Records an error of the lab itself, which makes the run invalid.
    fn record_error(&self, error: String) {
        let mut errors = lock(&self.errors);
        if errors.len() < MAX_REPORTED_ERRORS {
            errors.push(error);
        }
    }

    /// Whether a link has no fault in either direction.
    fn is_link_healthy(&self, one: Node, other: Node) -> bool {
        let now = self.now();
        let is_healthy = |effect: Effect| effect.is_none();
        is_healthy(self.links.effect(one, other, now)) && is_healthy(self.links.effect(other, one, now))
    }

    /// Whether a server that is up, and that this gateway can connect to, has an idle core.
    fn has_idle_server(&self, gateway: usize) -> bool {
        let now = self.now();
        self.servers.iter().enumerate().any(|(index, server)| {
            server.is_up()
                && self.links.can_connect(Node::Gateway(gateway), Node::Server(index), now)
                && server.has_idle_core()
        })
    }

    /// Updates the state of a server in the registry, with the plan's notice delay. `just_started` sets its start time
    /// to now.
    fn update_discovery(&self, server: usize, state: ServerState, just_started: bool) {
        let unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0);
        let started_ms = if just_started { unix_ms.floor() } else { 0.0 };
        // A drain is initiated through discovery, so that it is known at once.
        let notice_s = if state == ServerState::Draining { 0.0 } else { self.plan.fleet.notice_s };
        self.registry().record(self.now() + notice_s, ServerEntry { server, state, started_ms });
        self.registry_changed.send_modify(|count| *count += 1);
    }

    /// Marks a gateway as up or down in the edge router after a delay.
    fn notify_router(&self, gateway: usize, up: bool, delay_s: f64) {
        if delay_s <= 0.0 {
            return self.router().set_up(gateway, up);
        }
        lock(&self.router_updates).push((self.now() + delay_s, gateway, up));
    }

    /// Updates the packet filters of the listeners that a link fault affects.
    fn update_filters(&self, fault: &FaultHandle) {
        let (gateways, now) = (self.plan.fleet.gateways, self.now());
        for node in &fault.affected {
            let listener = match node {
                Node::Server(index) => &self.servers[*index].listener,
                Node::Counter => &self.counter.listener,
                Node::Discovery => &self.discovery.listener,
                Node::Gateway(_) | Node::Client => continue,
            };
            if let Err(e) = listener.update_filter(&self.links, gateways, now) {
                self.record_error(format!("cannot update the packet filter of a listener: {e}"));
            }
        }
    }
}

/// Runs a plan to its end, or until `stop` completes. Fails if the plan is invalid, the gateways do not start, or the
/// run is stopped or times out.
pub fn run_plan(plan: &Plan, options: &Options, stop: impl Future<Output = ()>) -> Result<Outcome, String> {
    run_plan_with_ready_callback(plan, options, stop, |_| ())
}

/// Like [`run_plan`]. When the load begins, calls `ready` with the client address of each gateway.
pub fn run_plan_with_ready_callback(
    plan: &Plan, options: &Options, stop: impl Future<Output = ()>,
    ready: impl FnOnce(&[std::net::SocketAddr]),
) -> Result<Outcome, String> {
    let errors = plan.validation_errors();
    if !errors.is_empty() {
        return Err(errors.join("\n"));
    }
    resource_usage::raise_descriptor_limit(resource_usage::required_descriptors(plan))?;
    let temporary = tempfile::Builder::new()
        .prefix("granite-lab-")
        .tempdir()
        .map_err(|e| format!("cannot create a temporary directory: {e}"))?;
    let directory = options.keep_dir.clone().unwrap_or_else(|| temporary.path().to_owned());
    // Dropped after the runtime, whose tasks can start processes until it has shut down, and before the directory.
    let children = Arc::new(gateways::ChildProcesses::default());
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKER_THREADS).enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the async runtime: {e}"))?;
    let run_timeout = Duration::from_secs_f64(plan.seconds)
        + RUN_TIMEOUT_MARGIN
        + Duration::from_secs(plan.fleet.gateways as u64);
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = run(plan, options, &directory, children.clone(), ready) => outcome,
            () = stop => Err("stopped".to_owned()),
            () = tokio::time::sleep(run_timeout) => {
                Err(format!("the run did not end within {} s", run_timeout.as_secs()))
            }
        }
    });
    // This drops all tasks. Dropping `children` after that kills the remaining processes and waits for them.
    runtime.shutdown_timeout(Duration::from_secs(2));
    outcome
}

async fn run(
    plan: &Plan, options: &Options, directory: &Path, children: Arc<gateways::ChildProcesses>,
    ready: impl FnOnce(&[std::net::SocketAddr]),
) -> Result<Outcome, String> {
    let context = RunContext::new(plan, options, directory, children).await?;
    let cannot_listen = |e: std::io::Error| format!("cannot open a listener: {e}");
    for (index, server) in context.servers.iter().enumerate() {
        server.run(&context, index >= plan.fleet.servers).await.map_err(cannot_listen)?;
        if index < plan.fleet.servers {
            context.registry().record(
                context.now(),
                ServerEntry { server: index, state: ServerState::Ready, started_ms: 0.0 },
            );
            context.set_server_availability(index, ServerAvailability::Up);
        }
    }
    context.counter.run(&context).await.map_err(cannot_listen)?;
    context.discovery.run(&context).await.map_err(cannot_listen)?;
    if let Some(relays) = &context.relays {
        relays.start(&context);
    }
    let starting = Instant::now();
    start_gateways(&context).await?;
    let start_s = starting.elapsed().as_secs_f64();
    let addresses: Vec<_> = context.gateways.iter().map(|gateway| gateway.address()).collect();
    let gateways_cpu_s =
        |context: &RunContext| context.gateways.iter().map(|gateway| gateway.usage().cpu_s).sum::<f64>();
    let own_usage = || resource_usage::process_usage(std::process::id() as i32);
    let (cpu_before, own_before) = (gateways_cpu_s(&context), own_usage());
    let load_start = context.now();
    let _ = context.load_start.set(load_start);
    ready(&addresses);
    let load = async {
        let router_updates = apply_router_updates(&context);
        let clients_and_steps = async { tokio::join!(clients::run(&context), fault_schedule::run(&context)) };
        tokio::select! {
            _ = clients_and_steps => {}
            () = router_updates => {}
            () = context.timer_lateness.measure_timer() => {}
        }
    };
    let descriptors_under_load = async {
        context.sleep_until(load_start + plan.seconds * 0.8).await;
        resource_usage::open_descriptors()
    };
    let ((), descriptors) = tokio::join!(load, descriptors_under_load);
    let (cpu_after, own_after) = (gateways_cpu_s(&context), own_usage());
    let memory: Vec<_> =
        context.gateways.iter().map(|gateway| gateway.usage().resident_mb).filter(|mb| *mb > 0.0).collect();
    for gateway in &context.gateways {
        gateway.kill_unrecorded().await;
    }
    let mut history = std::mem::take(&mut *context.history());
    normalize_history(&mut history, load_start, plan.seconds);
    let verdict = check::check_run(plan, &history);
    let requests = verdict.metrics.requests.max(1) as f64;
    let resource_usage = ResourceUsage {
        start_s,
        gateway_cpu_ms_per_s: (cpu_after - cpu_before) * 1000.0 / plan.fleet.gateways as f64 / plan.seconds,
        gateway_cpu_us_per_request: (cpu_after - cpu_before) * 1e6 / requests,
        gateway_mb: [
            memory.iter().sum::<f64>() / memory.len().max(1) as f64,
            memory.iter().copied().fold(0.0, f64::max),
        ],
        lab_cpu_ms_per_s: (own_after.cpu_s - own_before.cpu_s) * 1000.0 / plan.seconds,
        lab_mb: own_after.resident_mb,
        lab_threads: own_after.threads,
        lab_descriptors: descriptors,
        timers_late_ms: context.timer_lateness.summary(),
        clients_late_ms: context.client_lateness.summary(),
    };
    let mut invalid_reasons = lock(&context.errors).clone();
    invalid_reasons.extend(resource_usage::starvation_reason("timers", resource_usage.timers_late_ms));
    invalid_reasons.extend(resource_usage::starvation_reason("clients", resource_usage.clients_late_ms));
    Ok(Outcome { plan: plan.name.clone(), seed: plan.seed, invalid_reasons, verdict, resource_usage })
}

async fn start_gateways(context: &Arc<RunContext>) -> Result<(), String> {
    let mut starting = tokio::task::JoinSet::new();
    for gateway in context.gateways.clone() {
        let context = context.clone();
        starting.spawn(async move { gateway.start(&context).await });
    }
    while let Some(started) = starting.join_next().await {
        started.map_err(|e| e.to_string())??;
    }
    Ok(())
}

/// Applies the delayed updates of the edge router when they are due. Never returns.
async fn apply_router_updates(context: &RunContext) {
    loop {
        let next = {
            let mut updates = lock(&context.router_updates);
            let now = context.now();
            updates.sort_by(|a, b| a.0.total_cmp(&b.0));
            let due = updates.partition_point(|(at, ..)| *at <= now);
            for (_, gateway, up) in updates.drain(..due) {
                context.router().set_up(gateway, up);
            }
            updates.first().map_or(now + 0.05, |(at, ..)| at.min(now + 0.05))
        };
        context.sleep_until(next).await;
    }
}

/// Makes all times in the history relative to the start of the load, and sorts the records that the checkers read in
/// order of time.
fn normalize_history(history: &mut History, load_start: f64, seconds: f64) {
    for client_try in &mut history.tries {
        client_try.sent_at -= load_start;
        client_try.deadline -= load_start;
        if let Some((at, _)) = &mut client_try.outcome {
            *at -= load_start;
        }
    }
    for attempt in &mut history.attempts {
        attempt.first_byte_at -= load_start;
        attempt.received_at -= load_start;
        attempt.outcome.0 -= load_start;
    }
    history.attempts.sort_by(|a, b| a.received_at.total_cmp(&b.received_at));
    history.first_sent.iter_mut().flatten().for_each(|at| *at -= load_start);
    history.notifications.iter_mut().for_each(|(at, ..)| *at -= load_start);
    history.gateway_events.iter_mut().for_each(|(at, ..)| *at -= load_start);
    history.server_availability.iter_mut().for_each(|(at, ..)| *at -= load_start);
    history.needless_refusals.iter_mut().for_each(|at| *at -= load_start);
    history.connections.iter_mut().for_each(|(at, _)| *at -= load_start);
    history.notifications.sort_by(|a, b| a.0.total_cmp(&b.0));
    history.server_availability.sort_by(|a, b| a.0.total_cmp(&b.0));
    history.gateway_events.sort_by(|a, b| a.0.total_cmp(&b.0));
    history.load_end = seconds;
}
