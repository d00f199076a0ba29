//! The gateway as a process: puts its parts together, reads its configuration anew, and ends as it is told to.

use crate::beside::Beside;
use crate::cluster::Cluster;
use crate::config::{Changes, Config, Logs, Places, Source};
use crate::counter;
use crate::discovery;
use crate::figures::Figures;
use crate::logs::{self, Log};
use crate::operator::{self, Desk};
use crate::peers;
use crate::server::Server;
use crate::speech::{Names, Platform};
use crate::tables::Tables;
use cherrytally::plane::backends::Backends;
use cherrytally::plane::driver::{CounterCall, Driver, DriverResources, MessageSender};
use cherrytally::plane::room::MemoryBudget;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// Descriptors kept for all but clients and backends: log, signals, counter, discovery, peers, cluster, listener.
const RESERVED: usize = 32;
/// Clients that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// After SIGTERM new clients are taken in for so long: the front may not have noticed yet.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// With an inherited listener, whose new clients the next process takes in, connections that are still open are
/// closed between requests so long after SIGTERM: by then nearly all were asked to go by an answer.
const HAND_OVER: Duration = Duration::from_millis(1750);
/// Clients of an inherited listener are taken in once requests can be served, or after so long all the same.
const UNREADY: Duration = Duration::from_secs(5);
/// Wait between two tries for an address that the process beside this one holds.
const TAKEN: Duration = Duration::from_millis(100);
/// What is open is answered so long after SIGTERM, or after the longest deadline where that is longer: the
/// platform kills 0.7 s after it.
const ANSWERED: Duration = Duration::from_millis(3300);
const ANSWERED_AFTER_DEADLINE_MS: f64 = 300.0;
/// And the last answers are written by so much later.
const WRITTEN: Duration = Duration::from_millis(150);

/// Runs one gateway until it is told to end. An error is one line that says why it did not start.
pub fn serve(source: Source) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let config = source.load()?;
    let inherited = inherited().map_err(|e| format!("RELAY_LISTEN_FD: {e}"))?;
    // It starts a thread, which must not read the environment while it is changed above.
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
    // With a process beside this one its addresses are taken until it ends; alone that is a mistake.
    let taken = |e: &std::io::Error| shared && e.kind() == std::io::ErrorKind::AddrInUse;
    let operator = match config.operator.map(|at| (at, listen(at))) {
        Some((at, Err(e))) if !taken(&e) => return Err(format!("operator {at}: {e}")),
        operator => operator.map(|(at, listener)| (at, listener.ok())),
    };
    let peers = match config.peer_listen.filter(|_| config.settings.limits.peers) {
        Some(at) => {
            let peers = peers::Peers::new(at, config.peers.clone(), config.peers_all);
            match peers.bind().await {
                Err(e) if !taken(&e) => return Err(format!("peer_listen {at}: {e}")),
                _ => Some(Rc::new(peers)),
            }
        }
        None => None,
    };
    let reserved = RESERVED + operator.as_ref().map_or(0, |_| operator::PLACES + 1);
    let places = config.sockets.saturating_sub(reserved).max(2) / 2;
    let backends = Backends::new(places, config.connect_ms, config.idle_ms);
    let counter = config.settings.counter.and(config.places.counter);
    let (moves, places_now) = watch::channel(config.places);
    let (lanes, ends) = counter::Lanes::new();
    let names = Names { zones: config.zones.clone(), kinds: config.kinds.clone() };
    let mut settings = config.settings.clone();
    let (figures, mut tables) = (Rc::new(Figures::default()), Tables::default());
    tables.take(&config.classes, &config.plans, &mut settings, &figures)?;
    let place = (settings.gateways, settings.position);
    let budget = Rc::new(MemoryBudget::new(config.memory));
    let reach = DriverResources {
        backends,
        call_counter: counter.map(|_| Box::new(move |call| lanes.call(call)) as Box<dyn Fn(CounterCall)>),
        send_message: peers
            .clone()
            .map(|peers| Box::new(move |to, body: &[u8]| peers.tell(to, body)) as MessageSender),
        budget: budget.clone(),
        protocol: Rc::new(Platform),
        observer: figures.clone(),
    };
    let driver = Driver::new(settings, config.seed, reach);
    if let Some(addr) = counter {
        let driver = driver.clone();
        let hears: counter::Hears = Rc::new(move |counted| driver.counter_replied(counted));
        counter::spawn(ends, addr, &places_now, &hears);
    }
    let known = config.known.take();
    let version = known.as_ref().map_or(0, |known| known.version);
    if let Some(known) = known {
        let (full, told) = names.told(known);
        driver.update_backends(full, told);
    }
    tokio::task::spawn_local(discovery::run(places_now, version, place, config.seed, names, driver.clone()));
    if let Some(peers) = peers {
        let driver = driver.clone();
        let hears = move |from, body| driver.message_received(from, body);
        tokio::task::spawn_local(peers::run(peers, config.peer_intake, hears));
    }
    let sweeper = driver.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            sweeper.close_expired();
        }
    });
    let free = Arc::new(Semaphore::new(places));
    let later = Rc::new(Cell::new(false));
    if let Some(folder) = std::env::var_os("TMPDIR").filter(|_| shared) {
        let (seed, sockets, free) = (config.seed, config.sockets, free.clone());
        let beside = Beside::new(folder.into(), seed, sockets, reserved, free, later.clone(), driver.clone());
        tokio::task::spawn_local(beside.run());
    }
    let named = logs::Names::new(config.logs.customers);
    let server = Server::new(driver.clone(), tables, figures.clone(), named, budget, free.clone());
    let cluster = Cluster::new(driver.clone(), config.seed, shared, server.drains());
    let joins = cluster.prepare(config.cluster.clone())?;
    let (name, descriptors) = (config.name.clone(), config.sockets);
    let reloads = Reloads { source, config: config.into(), moves, figures: figures.clone() };
    let desk = Rc::new(Desk {
        server: server.clone(),
        cluster: cluster.clone(),
        figures,
        log,
        reloads,
        name,
        started,
        descriptors,
    });
    tokio::task::spawn_local(on_hangup(hangup, desk.clone()));
    tracing::info!("listening on {}", listener.local_addr().map_err(|e| e.to_string())?);
    cluster.apply(joins);
    let accepting = server.clone();
    let accept = tokio::task::spawn_local(async move {
        let start = Instant::now();
        // The process that runs beside this one serves meanwhile; without one clients wait in the queue.
        while shared && !accepting.ready() && start.elapsed() < UNREADY {
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
                        Err(_) => sleep(TAKEN).await,
                    }
                },
            };
            match listener.local_addr() {
                Ok(at) => tracing::info!("operators call at {at}"),
                Err(e) => tracing::warn!("operators call at {at}: {e}"),
            }
            operator::run(listener, desk).await;
        });
    }

    term.recv().await;
    let longest = Duration::from_secs_f64((server.longest_ms() + ANSWERED_AFTER_DEADLINE_MS) / 1000.0);
    let by = Instant::now() + longest.max(ANSWERED);
    if later.get() {
        // The next process goes on as the same member.
        cluster.hand_over();
    }
    // From then on connections end between requests; those that are answering end after it.
    let closes = server.end(if shared { HAND_OVER } else { ACCEPT_ON });
    if !shared {
        sleep(ACCEPT_ON).await;
    }
    // What waits in the queue of an inherited listener is for the next process: this copy alone is closed.
    accept.abort();
    sleep_until(closes).await;
    while server.busy() && Instant::now() < by {
        sleep(Duration::from_millis(5)).await;
    }
    driver.fail_all();
    cluster.leave();
    // All places are free once the last connection has ended. One that never sent a request need not.
    let _ = timeout_at(Instant::now() + WRITTEN, free.acquire_many(places as u32)).await;
    Ok(())
}

/// Reads the configuration anew: where discovery and the counter are from now on, and other settings. A file that is
/// broken anywhere changes nothing.
pub struct Reloads {
    source: Source,
    /// What was taken last.
    config: RefCell<Config>,
    moves: watch::Sender<Places>,
    figures: Rc<Figures>,
}

impl Reloads {
    /// What the configuration says of the log.
    pub fn logs(&self) -> Logs {
        self.config.borrow().logs.clone()
    }

    /// Takes what is to be read now, whole or not at all; tells which keys changed.
    pub fn reload(&self, server: &Server, cluster: &Rc<Cluster>) -> Result<Changes, String> {
        let taken = self.take(server, cluster);
        self.figures.configured(taken.is_ok());
        match &taken {
            Ok(changes) => {
                let Places { discovery, counter, .. } = *self.moves.borrow();
                tracing::info!("SIGHUP: discovery at {discovery}, counter at {counter:?}");
                if !changes.keys.is_empty() {
                    tracing::info!("changed: {}", changes.keys.join(", "));
                }
                if !changes.restart.is_empty() {
                    tracing::warn!("these hold after a restart: {}", changes.restart.join(", "));
                }
            }
            Err(e) => tracing::warn!("SIGHUP: {e}; what was read before stands"),
        }
        taken
    }

    fn take(&self, server: &Server, cluster: &Rc<Cluster>) -> Result<Changes, String> {
        let mut later = self.source.load()?;
        let mut config = self.config.borrow_mut();
        let changes = config.changes(&later);
        if let Some(why) = config.turns_down(&later, &changes) {
            return Err(why);
        }
        // What can fail comes before the first change.
        let change = cluster.prepare(later.cluster.clone())?;
        if config.retunes(&later) {
            server.retune(&later)?;
        }
        cluster.apply(change);
        self.moves.send_replace(later.places);
        later.known = None;
        *config = later;
        Ok(changes)
    }
}

async fn on_hangup(mut hangup: Signal, desk: Rc<Desk>) {
    while hangup.recv().await.is_some() {
        // What came of it stands in the log and the figures.
        let _ = desk.reload();
    }
}

/// The listener that whoever started this process holds, where `RELAY_LISTEN_FD` names its descriptor.
fn inherited() -> std::io::Result<Option<std::net::TcpListener>> {
    let Some(fd) = std::env::var_os("RELAY_LISTEN_FD") else { return Ok(None) };
    // The crate goes by systemd's variables. No other thread runs yet that could read them meanwhile.
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
    // A restart finds the address free, though connections of the former process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}
