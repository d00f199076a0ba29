//! The gateway process: startup, configuration reload and shutdown.

use crate::backend_protocol::{PlatformProtocol, RegistryNames};
use crate::cluster::Cluster;
use crate::config::{Changes, Config, Endpoints, Logs, Source};
use crate::counter;
use crate::descriptor_share::DescriptorShare;
use crate::discovery;
use crate::logs::{self, targets, Log};
use crate::metrics::Metrics;
use crate::operator::{self, OperatorContext};
use crate::peers;
use crate::server::Server;
use crate::tables::Tables;
use oakfall::plane::backends::Backends;
use oakfall::plane::body::MemoryBudget;
use oakfall::plane::client_stream::LINGER_IDLE_TIMEOUT;
use oakfall::plane::driver::{CounterCall, Driver, DriverResources, MessageSender};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// Descriptors reserved for the log, signals, counter, discovery, peers, cluster and listener.
const RESERVED_DESCRIPTORS: usize = 32;
/// Accept queue length of a listener.
const ACCEPT_BACKLOG: u32 = 1024;
/// New clients are still accepted for this long after SIGTERM, until health checks have seen the drain.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// With an inherited listener, which the next process serves, connections still open this long after SIGTERM
/// are closed between requests. By then most clients have received `Connection: close`.
const CLOSE_INHERITED_AFTER: Duration = Duration::from_millis(1750);
/// An inherited listener is served once the gateway is ready, at the latest after this time.
const MAX_ACCEPT_DELAY: Duration = Duration::from_secs(5);
/// Delay between two attempts to bind an address that the old process still holds.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Open requests are answered within this time after SIGTERM, or within the longest deadline and
/// `ANSWER_AFTER_DEADLINE_MS` if that is longer. The platform kills the process 4 s after SIGTERM.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3300);
const ANSWER_AFTER_DEADLINE_MS: f64 = 300.0;
/// Additional time to write the last responses.
const WRITE_TIMEOUT: Duration = Duration::from_millis(150);

/// Runs the gateway until SIGTERM. An error is one line that says why it did not start.
pub fn serve(source: Source) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let config = source.load()?;
    let inherited = inherited_listener().map_err(|e| format!("RELAY_LISTEN_FD: {e}"))?;
    // Starts a thread, which must not run while `inherited_listener` changes the environment.
    let log = Rc::new(Log::start(&config.logs)?);
    tokio::task::LocalSet::new().block_on(&runtime, run(source, config, inherited, log))
}

async fn run(
    source: Source, mut config: Config, inherited: Option<std::net::TcpListener>, log: Rc<Log>,
) -> Result<(), String> {
    let started = Instant::now();
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let shared = inherited.is_some();
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(|e| format!("RELAY_LISTEN_FD: {e}"))?,
        None => listen(config.listen).map_err(|e| format!("listen {}: {e}", config.listen))?,
    };
    // During an upgrade the old process holds the addresses until it ends; otherwise this is an error.
    let held_by_old_process = |e: &std::io::Error| shared && e.kind() == std::io::ErrorKind::AddrInUse;
    let operator = match config.operator.map(|at| (at, listen(at))) {
        Some((at, Err(e))) if !held_by_old_process(&e) => return Err(format!("operator {at}: {e}")),
        operator => operator.map(|(at, listener)| (at, listener.ok())),
    };
    let peers = match config.peer_listen.filter(|_| config.settings.limits.peers) {
        Some(at) => {
            let peers = peers::Peers::new(at, config.peers.clone(), config.peer_broadcast);
            match peers.bind().await {
                Err(e) if !held_by_old_process(&e) => return Err(format!("peer_listen {at}: {e}")),
                _ => Some(Rc::new(peers)),
            }
        }
        None => None,
    };
    let reserved = RESERVED_DESCRIPTORS + operator.as_ref().map_or(0, |_| operator::MAX_CONNECTIONS + 1);
    let max_connections = config.max_descriptors.saturating_sub(reserved).max(2) / 2;
    let backends = Backends::new(max_connections, config.connect_timeout_ms, config.idle_timeout_ms);
    let counter = config.settings.counter.and(config.endpoints.counter);
    let (endpoints_sender, endpoints) = watch::channel(config.endpoints);
    let (call_senders, call_receivers) = counter::CallSenders::new();
    let names = RegistryNames { zones: config.zones.clone(), kinds: config.kinds.clone() };
    let mut settings = config.settings.clone();
    let (metrics, mut tables) = (Rc::new(Metrics::default()), Tables::default());
    tables.apply(&config.classes, &config.plans, &mut settings, &metrics)?;
    let fleet_position = (settings.gateways, settings.position);
    let budget = Rc::new(MemoryBudget::new(config.max_memory_bytes));
    let resources = DriverResources {
        backends,
        call_counter: counter
            .map(|_| Box::new(move |call| call_senders.call(call)) as Box<dyn Fn(CounterCall)>),
        send_message: peers
            .clone()
            .map(|peers| Box::new(move |to, body: &[u8]| peers.send(to, body)) as MessageSender),
        budget: budget.clone(),
        protocol: Rc::new(PlatformProtocol),
        observer: metrics.clone(),
    };
    let driver = Driver::new(settings, config.seed, resources);
    if let Some(addr) = counter {
        let driver = driver.clone();
        let on_reply: counter::ReplyHandler = Rc::new(move |reply| driver.counter_replied(reply));
        counter::spawn(call_receivers, addr, &endpoints, &on_reply);
    }
    let registry = config.initial_registry.take();
    let version = registry.as_ref().map_or(0, |registry| registry.version);
    if let Some(registry) = registry {
        let (full, backends) = names.to_backends(registry);
        driver.update_backends(full, backends);
    }
    tokio::task::spawn_local(discovery::run(
        endpoints,
        version,
        fleet_position,
        config.seed,
        names,
        driver.clone(),
    ));
    if let Some(peers) = peers {
        let driver = driver.clone();
        let on_message = move |from, body| driver.message_received(from, body);
        tokio::task::spawn_local(peers::run(peers, config.max_peer_messages_per_s, on_message));
    }
    let sweeper = driver.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            sweeper.close_expired();
        }
    });
    let client_permits = Arc::new(Semaphore::new(max_connections));
    let newer_running = Rc::new(Cell::new(false));
    if let Some(directory) = std::env::var_os("TMPDIR").filter(|_| shared) {
        let (seed, max_descriptors, client_permits) =
            (config.seed, config.max_descriptors, client_permits.clone());
        let share = DescriptorShare::new(
            directory.into(),
            seed,
            max_descriptors,
            reserved,
            client_permits,
            newer_running.clone(),
            driver.clone(),
        );
        tokio::task::spawn_local(share.run());
    }
    let customer_names = logs::CustomerNames::new(config.logs.customers);
    let server =
        Server::new(driver.clone(), tables, metrics.clone(), customer_names, budget, client_permits.clone());
    let cluster = Cluster::new(driver.clone(), config.seed, shared, server.watch_drain());
    let cluster_change = cluster.prepare(config.cluster.clone())?;
    let (name, descriptors) = (config.name.clone(), config.max_descriptors);
    let reloads =
        Reloader { source, config: config.into(), endpoints: endpoints_sender, metrics: metrics.clone() };
    let operator_context = Rc::new(OperatorContext {
        server: server.clone(),
        cluster: cluster.clone(),
        metrics,
        log,
        reloader: reloads,
        name,
        started,
        descriptors,
    });
    tokio::task::spawn_local(on_hangup(hangup, operator_context.clone()));
    tracing::info!(
        target: targets::GATEWAY,
        "listening on {}",
        listener.local_addr().map_err(|e| e.to_string())?
    );
    cluster.apply(cluster_change);
    let accepting = server.clone();
    let accept = tokio::task::spawn_local(async move {
        let start = Instant::now();
        // Until then the old process serves; without an old process, clients wait in the accept queue.
        while shared && !accepting.ready() && start.elapsed() < MAX_ACCEPT_DELAY {
            sleep(Duration::from_millis(10)).await;
        }
        accepting.accept(listener).await;
    });
    if let Some((at, listener)) = operator {
        tokio::task::spawn_local(async move {
            let listener = match listener {
                Some(listener) => listener,
                None => loop {
                    match listen(at) {
                        Ok(listener) => break listener,
                        Err(_) => sleep(BIND_RETRY_DELAY).await,
                    }
                },
            };
            match listener.local_addr() {
                Ok(at) => tracing::info!(target: targets::GATEWAY, "operators call at {at}"),
                Err(e) => tracing::warn!(target: targets::GATEWAY, "operators call at {at}: {e}"),
            }
            operator::run(listener, operator_context).await;
        });
    }

    term.recv().await;
    let max_deadline =
        Duration::from_secs_f64((server.max_deadline_ms() + ANSWER_AFTER_DEADLINE_MS) / 1000.0);
    let answer_by = Instant::now() + max_deadline.max(ANSWER_TIMEOUT);
    if newer_running.get() {
        // The next process takes over this cluster membership.
        cluster.hand_over();
    }
    // From `closes_at` on idle connections are closed, the others after their current request.
    let closes_at = server.shut_down(if shared { CLOSE_INHERITED_AFTER } else { ACCEPT_AFTER_TERM });
    if !shared {
        sleep(ACCEPT_AFTER_TERM).await;
    }
    // Closes only this process's copy of an inherited listener: the next process accepts what is queued.
    accept.abort();
    sleep_until(closes_at).await;
    while server.busy() && Instant::now() < answer_by {
        sleep(Duration::from_millis(5)).await;
    }
    driver.fail_all();
    cluster.leave();
    // All permits are free once the last connection has closed; idle ones may remain open.
    let closed_by = (Instant::now() + LINGER_IDLE_TIMEOUT).min(answer_by).max(Instant::now()) + WRITE_TIMEOUT;
    let _ = timeout_at(closed_by, client_permits.acquire_many(max_connections as u32)).await;
    Ok(())
}

/// Reloads the configuration. An invalid one changes nothing.
pub struct Reloader {
    source: Source,
    /// The configuration applied last.
    config: RefCell<Config>,
    endpoints: watch::Sender<Endpoints>,
    metrics: Rc<Metrics>,
}

impl Reloader {
    /// The current log settings.
    pub fn log_settings(&self) -> Logs {
        self.config.borrow().logs.clone()
    }

    /// Loads and applies the configuration, all of it or nothing. Returns the changed keys.
    pub fn reload(&self, server: &Server, cluster: &Rc<Cluster>) -> Result<Changes, String> {
        let result = self.apply(server, cluster);
        self.metrics.record_reload(result.is_ok());
        match &result {
            Ok(changes) => {
                let Endpoints { discovery, counter, .. } = *self.endpoints.borrow();
                tracing::info!(
                    target: targets::GATEWAY,
                    "SIGHUP: discovery at {discovery}, counter at {counter:?}"
                );
                if !changes.keys.is_empty() {
                    tracing::info!(target: targets::GATEWAY, "changed: {}", changes.keys.join(", "));
                }
                if !changes.restart.is_empty() {
                    tracing::warn!(
                        target: targets::GATEWAY,
                        "these hold after a restart: {}",
                        changes.restart.join(", ")
                    );
                }
            }
            Err(e) => {
                tracing::warn!(target: targets::GATEWAY, "SIGHUP: {e}; keeping the previous configuration")
            }
        }
        result
    }

    fn apply(&self, server: &Server, cluster: &Rc<Cluster>) -> Result<Changes, String> {
        let mut new_config = self.source.load()?;
        let mut config = self.config.borrow_mut();
        let changes = config.changes(&new_config);
        if let Some(reason) = config.rejection_reason(&new_config, &changes) {
            return Err(reason);
        }
        // Every step that can fail comes before the first change.
        let change = cluster.prepare(new_config.cluster.clone())?;
        if config.settings_differ(&new_config) {
            server.apply_config(&new_config)?;
        }
        cluster.apply(change);
        self.endpoints.send_replace(new_config.endpoints);
        new_config.initial_registry = None;
        *config = new_config;
        Ok(changes)
    }
}

async fn on_hangup(mut hangup: Signal, operator_context: Rc<OperatorContext>) {
    while hangup.recv().await.is_some() {
        // The result is logged and counted by the reload.
        let _ = operator_context.reload();
    }
}

/// The listener inherited from the parent process under the descriptor in `RELAY_LISTEN_FD`, if that is set.
fn inherited_listener() -> std::io::Result<Option<std::net::TcpListener>> {
    let Some(fd) = std::env::var_os("RELAY_LISTEN_FD") else { return Ok(None) };
    // The crate reads systemd's variables. No other thread runs yet that could read the environment.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", fd);
    let listener = listenfd::ListenFd::from_env().take_tcp_listener(0)?;
    let listener = listener.ok_or_else(|| std::io::Error::other("no listening socket"))?;
    listener.set_nonblocking(true)?;
    Ok(Some(listener))
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Lets a restart bind the address while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(ACCEPT_BACKLOG)
}
