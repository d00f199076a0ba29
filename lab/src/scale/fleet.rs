//! Connections and timers of simulated gateways, many on one thread, and heartbeats of simulated backends.

use super::generator::{zone_of, GeneratedFleet, NodeSettings};
use super::simulated_gateway::{GatewayStats, Output, ProxyDetail, SimulatedGateway};
use oakfall_system::agent_state::Event;
use oakfall_system::link::{self, MessageReader, MessageSender};
use oakfall_system::protocol::{Hello, Purpose, ToAgent};
use oakfall_system::settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Interval between attempts to connect to a core process, as in the real agent.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between ticks of a gateway while no deadline is set.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between heartbeats of a backend.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response to a call. A list of all gateways is smaller.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Time between the end of a restarted gateway and its new start.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval between the first starts of the gateways of a thread.
const START_INTERVAL: Duration = Duration::from_millis(1);

/// Reports that a simulated gateway has changed to an edition of the configuration: gateway, edition and time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EditionEvent {
    /// The agent has applied the edition to its copy of the state.
    AgentApplied(usize, u64, std::time::Instant),
    /// The proxy has put the edition into effect.
    ProxyApplied(usize, u64, std::time::Instant),
}

/// The simulated gateways of one thread, and its channels to the run.
pub struct GatewayThread {
    /// Numbers of the gateways, and how much state each proxy keeps.
    pub gateways: Vec<(usize, ProxyDetail)>,
    /// Control addresses of the core processes.
    pub seeds: Vec<String>,
    /// Port at which core processes accept agents.
    pub inner_port: u16,
    /// Receives the editions that the gateways apply.
    pub edition_events: Sender<EditionEvent>,
    /// Numbers of gateways to restart.
    pub restarts: UnboundedReceiver<usize>,
    /// Becomes true at the end of the run.
    pub shutdown: watch::Receiver<bool>,
    /// Each new number requests the statistics since the previous one.
    pub stats_round: watch::Receiver<u64>,
    /// Receives the statistics, with the number of the request.
    pub stats: Sender<(u64, GatewayStats)>,
}

/// A running simulated gateway, with its connections.
struct RunningGateway {
    number: usize,
    inner_port: u16,
    started: Instant,
    gateway: RefCell<SimulatedGateway>,
    /// By control address: the messages to send, and the signal that closes the link.
    links: RefCell<BTreeMap<String, (MessageSender, Rc<Notify>)>>,
    deadline_changed: Notify,
    edition_events: Sender<EditionEvent>,
}

/// Settings of a simulated gateway.
pub fn settings(number: usize, seeds: &[String], inner_port: u16) -> Result<Settings, String> {
    let client_addr = format!("127.88.{}.{}:8080", number / 250, number % 250 + 1);
    let settings = NodeSettings {
        node: &format!("counter-{number}"),
        class: "counter",
        ip: "127.0.0.1",
        zone: zone_of(number),
        listen_addresses: &[("front", client_addr)],
        data_dir: "/nowhere",
        inner_port,
        seeds,
    };
    Settings::read(&settings.to_yaml()).map_err(|e| format!("{e:#}"))
}

/// Runs the gateways of one thread until the end of the run.
pub fn run(thread: GatewayThread) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start a runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run_gateways(thread))
}

/// Statistics of the gateways that have ended, and the running gateways by number.
type Gateways = Rc<RefCell<(GatewayStats, BTreeMap<usize, Rc<RunningGateway>>)>>;

async fn run_gateways(thread: GatewayThread) -> Result<(), String> {
    let GatewayThread {
        gateways: numbers,
        seeds,
        inner_port,
        edition_events,
        mut restarts,
        mut shutdown,
        mut stats_round,
        stats,
    } = thread;
    let gateways: Gateways = Rc::default();
    let mut tasks: BTreeMap<usize, (ProxyDetail, JoinHandle<()>)> = BTreeMap::new();
    let spawn = |number: usize, detail: ProxyDetail, delay: Duration| -> Result<JoinHandle<()>, String> {
        let settings = settings(number, &seeds, inner_port)?;
        let (gateways, events) = (gateways.clone(), edition_events.clone());
        Ok(spawn_local(async move {
            sleep(delay).await;
            // All tasks of a gateway end with its own `LocalSet`.
            LocalSet::new()
                .run_until(run_gateway(number, detail, settings, inner_port, events, gateways))
                .await;
        }))
    };
    for (position, (number, detail)) in numbers.iter().enumerate() {
        tasks.insert(*number, (*detail, spawn(*number, *detail, START_INTERVAL * position as u32)?));
    }
    let total = || {
        let gateways = gateways.borrow();
        let mut total = gateways.0;
        gateways.1.values().for_each(|running| total.add(running.gateway.borrow().stats()));
        total
    };
    let mut previous = GatewayStats::default();
    loop {
        tokio::select! {
            _ = shutdown.wait_for(|shutdown| *shutdown) => break,
            changed = stats_round.changed() => match changed {
                Ok(()) => {
                    let current = total();
                    // The send fails only after the end of the run.
                    let _ = stats.send((*stats_round.borrow_and_update(), current.since(&previous)));
                    previous = current;
                }
                Err(_) => break,
            },
            restart = restarts.recv() => {
                let Some(number) = restart else { break };
                let Some((detail, task)) = tasks.remove(&number) else { continue };
                task.abort();
                let _ = task.await;
                let ended = gateways.borrow_mut().1.remove(&number);
                if let Some(ended) = ended {
                    gateways.borrow_mut().0.add(ended.gateway.borrow().stats());
                }
                tasks.insert(number, (detail, spawn(number, detail, RESTART_DELAY)?));
            }
        }
    }
    tasks.into_values().for_each(|(_, task)| task.abort());
    Ok(())
}

async fn run_gateway(
    number: usize, detail: ProxyDetail, settings: Settings, inner_port: u16,
    edition_events: Sender<EditionEvent>, gateways: Gateways,
) {
    let mut outputs = Vec::new();
    let gateway = RefCell::new(SimulatedGateway::new(&settings, detail, 0.0, &mut outputs));
    let (links, deadline_changed) = Default::default();
    let running = Rc::new(RunningGateway {
        number,
        inner_port,
        started: Instant::now(),
        gateway,
        links,
        deadline_changed,
        edition_events,
    });
    gateways.borrow_mut().1.insert(number, running.clone());
    running.execute(outputs);
    loop {
        let deadline = running.gateway.borrow().next_deadline();
        let delay = if deadline.is_finite() {
            Duration::from_secs_f64(deadline.max(0.0) / 1000.0)
        } else {
            IDLE_TICK_INTERVAL
        };
        tokio::select! {
            () = sleep_until(running.started + delay) => running.handle(Event::Tick),
            () = running.deadline_changed.notified() => {}
        }
    }
}

impl RunningGateway {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let deadline_before = self.gateway.borrow().next_deadline();
        let mut outputs = Vec::new();
        match event {
            Event::CoreMessage { core, message } => {
                self.gateway.borrow_mut().handle_core_message(self.now(), core, message, &mut outputs);
            }
            event => self.gateway.borrow_mut().handle(self.now(), event, &mut outputs),
        }
        self.execute(outputs);
        if self.gateway.borrow().next_deadline() < deadline_before {
            self.deadline_changed.notify_one();
        }
    }

    fn execute(self: &Rc<Self>, outputs: Vec<Output>) {
        let now = std::time::Instant::now();
        for output in outputs {
            match output {
                Output::Connect(core) => drop(spawn_local(self.clone().maintain_link(core))),
                Output::Reset(core) => {
                    if let Some((_, close)) = self.links.borrow().get(&core) {
                        close.notify_one();
                    }
                }
                Output::Send(core, message) => {
                    if let Some((sender, close)) = self.links.borrow().get(&core) {
                        if !sender.send(&*message) {
                            close.notify_one();
                        }
                    }
                }
                // The sends fail only after the end of the run.
                Output::AgentApplied(edition) => {
                    let _ = self.edition_events.send(EditionEvent::AgentApplied(self.number, edition, now));
                }
                Output::ProxyApplied(edition) => {
                    let _ = self.edition_events.send(EditionEvent::ProxyApplied(self.number, edition, now));
                }
            }
        }
    }

    /// Connects to a core process, and reconnects after each failure, while the agent wants the link.
    async fn maintain_link(self: Rc<Self>, core: String) {
        let Ok(address) = core.parse::<SocketAddr>() else { return };
        let addr = SocketAddr::new(address.ip(), self.inner_port);
        while self.gateway.borrow_mut().wants_link(self.now(), &core) {
            if let Ok(stream) = link::connect(addr).await {
                // A failed link is retried like a closed one.
                let _ = self.serve_link(&core, stream).await;
                self.links.borrow_mut().remove(&core);
                self.handle(Event::LinkClosed(core.clone()));
            }
            sleep(RECONNECT_INTERVAL).await;
        }
    }

    async fn serve_link(self: &Rc<Self>, core: &str, stream: TcpStream) -> std::io::Result<()> {
        let (read, write) = stream.into_split();
        let (sender, queue) = MessageSender::new();
        let writer = spawn_local(link::write(write, queue));
        sender.send(&Hello { purpose: Purpose::Agent as i32 });
        let close = Rc::new(Notify::new());
        self.links.borrow_mut().insert(core.to_owned(), (sender, close.clone()));
        self.handle(Event::LinkOpened(core.to_owned()));
        let mut incoming = MessageReader::<ToAgent>::new(read);
        let result = loop {
            let received = tokio::select! {
                received = incoming.next() => received,
                () = close.notified() => break Ok(()),
            };
            match received {
                Ok(message) => {
                    self.handle(Event::CoreMessage { core: core.to_owned(), message: Box::new(message) });
                }
                Err(e) => break Err(e),
            }
        };
        writer.abort();
        result
    }
}

// ---- Backends ---------------------------------------------------------------------------------------------------

/// Simulated backends. They send heartbeats as often as real ones, but share a few persistent connections.
pub struct Heartbeats {
    /// The fleet that the backends belong to.
    pub fleet: Arc<GeneratedFleet>,
    /// Number of connections.
    pub connections: usize,
    /// Control addresses of the core processes.
    pub seeds: Vec<String>,
    /// Becomes true at the end of the run.
    pub shutdown: watch::Receiver<bool>,
}

/// Statistics of heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeartbeatStats {
    /// Heartbeats with a response of status 200.
    pub succeeded: u64,
    /// Heartbeats with another response, or without one before the timeout.
    pub failed: u64,
    /// Sum of the response times of successful heartbeats, in s.
    pub total_response_s: f64,
}

/// Sends heartbeats of all backends until the end of the run.
pub fn run_heartbeats(heartbeats: Heartbeats) -> Result<HeartbeatStats, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start a runtime: {e}"))?;
    let Heartbeats { fleet, connections, seeds, mut shutdown } = heartbeats;
    let stats: Rc<Cell<HeartbeatStats>> = Rc::default();
    LocalSet::new().block_on(&runtime, async {
        for connection in 0..connections {
            let position = (connection, connections);
            spawn_local(send_heartbeats(fleet.clone(), position, seeds.clone(), stats.clone()));
        }
        // A closed channel ends the heartbeats, too.
        let _ = shutdown.wait_for(|shutdown| *shutdown).await;
    });
    Ok(stats.get())
}

/// Sends the heartbeats of every backend of one connection in turn, evenly over the heartbeat interval. The backends are
/// divided evenly between the connections.
async fn send_heartbeats(
    fleet: Arc<GeneratedFleet>, (connection, connections): (usize, usize), seeds: Vec<String>,
    stats: Rc<Cell<HeartbeatStats>>,
) {
    let backends: Vec<usize> = (0..fleet.size().backends).skip(connection).step_by(connections).collect();
    let gap = HEARTBEAT_INTERVAL / backends.len().max(1) as u32;
    let (mut stream, mut core, mut postmark) = (None, connection % seeds.len().max(1), 0);
    let mut due = Instant::now() + gap * connection as u32 / connections.max(1) as u32;
    while !backends.is_empty() {
        postmark += 1;
        for backend in &backends {
            due += gap;
            sleep_until(due).await;
            let path = format!("/api/Instances.Beat/{}", fleet.backend_id(*backend, 0));
            let (start, body) = (Instant::now(), fleet.heartbeat_body(*backend, postmark));
            let response =
                timeout(HEARTBEAT_TIMEOUT, call(&mut stream, &seeds[core], ("POST", &path), &body));
            let mut sum = stats.get();
            match response.await {
                Ok(Ok((200, body))) => {
                    sum.succeeded += 1;
                    sum.total_response_s += start.elapsed().as_secs_f64();
                    // Later heartbeats go to the core process that the response names.
                    let named = seeds.iter().position(|seed| body.contains(seed.as_str()));
                    if named.is_some_and(|named| named != core) {
                        (core, stream) = (named.unwrap_or(core), None);
                    }
                }
                _ => {
                    sum.failed += 1;
                    (core, stream) = ((core + 1) % seeds.len(), None);
                }
            }
            stats.set(sum);
        }
    }
}

/// Sends one HTTP call on the given connection, or on a new one if there is none. Returns the status and the body, and
/// keeps the connection.
pub async fn call(
    stream: &mut Option<TcpStream>, address: &str, (method, path): (&str, &str), body: &str,
) -> std::io::Result<(u16, String)> {
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let mut connection = match stream.take() {
        Some(connection) => connection,
        None => link::connect(address.parse().map_err(|_| invalid())?).await?,
    };
    let head = format!("{method} {path} HTTP/1.1\r\nHost: core\r\nContent-Length: {}\r\n\r\n", body.len());
    connection.write_all(head.as_bytes()).await?;
    connection.write_all(body.as_bytes()).await?;
    let mut bytes = Vec::with_capacity(512);
    loop {
        if connection.read_buf(&mut bytes).await? == 0 || bytes.len() > MAX_RESPONSE_BYTES {
            return Err(invalid());
        }
        let mut headers = [httparse::EMPTY_HEADER; 16];
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(body_start) = response.parse(&bytes).map_err(|_| invalid())? else {
            continue;
        };
        let length =
            response.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
        let length = length.and_then(|header| std::str::from_utf8(header.value).ok()?.parse::<usize>().ok());
        let (status, length) = (response.code.ok_or_else(invalid)?, length.ok_or_else(invalid)?);
        if let Some(body) = bytes.get(body_start..body_start.saturating_add(length)) {
            let body = String::from_utf8_lossy(body).into_owned();
            *stream = Some(connection);
            return Ok((status, body));
        }
    }
}
