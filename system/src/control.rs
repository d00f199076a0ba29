//! The sockets, clock and disk of a core process. All decisions are made by [`Member`].

use crate::api::{Refusal, Reply};
use crate::link::{
    self, encode_frame, MessageReader, MessageSender, MAX_AGENT_MESSAGE_BYTES, MAX_CHARGES_BYTES,
    MAX_HELLO_BYTES, MAX_MESSAGE_BYTES,
};
use crate::member::{Action, Event, Member, MAX_RESPONSE_DELAY_MS, TICK_MS};
use crate::protocol::{Charges, CoreMessage, CorePayload, FromAgent, Hello, Purpose};
use crate::raft::{Name, Save};
use crate::settings::{Settings, Watch};
use crate::status::Status;
use crate::store::{disk_unavailable, DirectoryDisk, Disk, DurableStore};
use eyre::{eyre, Result, WrapErr};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming as Body};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use miniserde::json;
use oakfall::plane::client_stream::ClientStream;
use oakfall::Millis;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::Receiver;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, Instant};

/// Calls of backends and clients, whose names begin so. They come too often to be logged one by one.
const UNLOGGED_CALLS: [&str; 3] = ["/api/Instances.", "/api/resolve", "/api/Status"];
/// Longest part of a path or body in the log, in characters.
const MAX_LOGGED_CHARS: usize = 160;
/// Interval between attempts to reopen an unavailable disk.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time for a peer to send its hello, or for a client to send its request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between attempts to connect to another core process.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of links to core processes: members and those that want to join.
const MAX_PEERS: usize = 32;
/// The link to a core process that is neither a member nor a seed is closed after this long without a message
/// to it.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of connections to the inner port: three from each of several hundred machines.
const MAX_INNER_CONNECTIONS: usize = 2048;
/// Fraction of `grace` that a process shutting down waits to be removed from the members; the rest is left
/// for its successor.
const LEAVE_GRACE_FRACTION: f64 = 0.4;

/// A link to another core process.
struct Peer {
    out: MessageSender,
    /// When a message was last sent to it.
    last_sent: Instant,
}

/// The state of a core process that participates.
struct Running {
    member: Member,
    store: Box<dyn DurableStore>,
}

/// Whether a core process participates in the cluster.
enum Participation {
    /// It participates.
    Active(Box<Running>),
    /// Its disk is unavailable for this reason. It acknowledges nothing until its state is reloaded
    /// from a writable disk.
    WaitsForDisk(String),
}

/// The runtime of a core process.
pub struct Control {
    settings: Settings,
    name: Name,
    started: Instant,
    disk: Box<dyn Disk>,
    participation: RefCell<Participation>,
    /// Links opened by other processes, by number.
    links: RefCell<BTreeMap<u64, MessageSender>>,
    /// API calls in flight, by number.
    calls: RefCell<BTreeMap<u64, oneshot::Sender<(Millis, Reply)>>>,
    peers: RefCell<BTreeMap<Name, Peer>>,
    /// Connections to the inner port that were rejected or ended by an invalid message.
    rejected_connections: Cell<u64>,
    /// Open connections to the inner port.
    inner_connections: Cell<usize>,
    next_number: Cell<u64>,
    /// The seeds currently configured.
    seeds: RefCell<Vec<SocketAddr>>,
    /// Set at shutdown: later events, from links and calls that are dropped, are ignored.
    stopped: Cell<bool>,
}

impl Control {
    /// Runs a core process until it receives SIGTERM.
    pub async fn run(settings: Settings, mut watch: Watch) -> Result<()> {
        let data_dir = settings.data_dir.clone().ok_or_else(|| eyre!("sender.data_dir is missing"))?;
        let seeds = async move || watch.changed().await.seeds;
        Self::run_on(settings, Box::new(DirectoryDisk(data_dir)), seeds).await
    }

    /// Like [`Control::run`], on this disk and with the seeds that `seeds_changed` yields on each change.
    pub async fn run_on(
        settings: Settings, disk: Box<dyn Disk>,
        mut seeds_changed: impl AsyncFnMut() -> Vec<SocketAddr> + 'static,
    ) -> Result<()> {
        let address = settings.control_addr.ok_or_else(|| eyre!("network.docks_at.control is missing"))?;
        let mut sigterm = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        let control = Rc::new(Control {
            name: address.to_string(),
            participation: RefCell::new(Participation::WaitsForDisk("it is not open yet".to_owned())),
            disk,
            seeds: RefCell::new(settings.seeds.clone()),
            settings,
            started: Instant::now(),
            links: RefCell::default(),
            calls: RefCell::default(),
            peers: RefCell::default(),
            rejected_connections: Cell::new(0),
            inner_connections: Cell::new(0),
            next_number: Cell::new(0),
            stopped: Cell::new(false),
        });
        control.start_or_wait_for_disk()?;
        let inner = SocketAddr::new(control.settings.ip, control.settings.inner_ports.0);
        let inner = TcpListener::bind(inner).await.wrap_err("cannot listen on the inner port")?;
        tokio::task::spawn_local(control.clone().accept_links(inner));
        let listener = TcpListener::bind(address).await.wrap_err("cannot listen on the control address")?;
        tokio::task::spawn_local(control.clone().accept_calls(listener));
        if let Some(directory) = control.settings.directory_addr {
            let listener =
                TcpListener::bind(directory).await.wrap_err("cannot listen on the directory address")?;
            tokio::task::spawn_local(control.clone().accept_calls(listener));
        }
        let seed_watcher = control.clone();
        tokio::task::spawn_local(async move {
            loop {
                let seeds = seeds_changed().await;
                seed_watcher.seeds.replace(seeds.clone());
                seed_watcher.step(Event::SeedsChanged(seeds));
            }
        });
        let ticker = control.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(Duration::from_secs_f64(TICK_MS / 1000.0)).await;
                ticker.step(Event::Tick);
            }
        });
        sigterm.recv().await;
        log::info!("core: received SIGTERM; shutting down");
        control.step(Event::Shutdown);
        let (since, timeout) = (Instant::now(), control.settings.bounds.grace.mul_f64(LEAVE_GRACE_FRACTION));
        while control.leave_outcome().is_none() && since.elapsed() < timeout {
            sleep(Duration::from_secs_f64(TICK_MS / 1000.0)).await;
        }
        match control.leave_outcome() {
            Some(true) => log::info!("core: stopped; removed from the members"),
            Some(false) => {
                log::info!(
                    "core: stopped as a member: no replacement, but the others hold every committed entry"
                )
            }
            None => {
                log::warn!(
                    "core: stopped while still needed: no majority without it holds every committed entry"
                )
            }
        }
        control.stopped.set(true);
        Ok(())
    }

    /// Starts from the state on disk, or waits for the disk if that is unavailable.
    ///
    /// # Errors
    ///
    /// Any error other than an unavailable disk.
    fn start_or_wait_for_disk(self: &Rc<Self>) -> Result<()> {
        match self.start() {
            Ok(running) => {
                *self.participation.borrow_mut() = Participation::Active(Box::new(running));
                Ok(())
            }
            Err(error) if disk_unavailable(&error) => {
                self.wait_for_disk(&error);
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    fn start(&self) -> Result<Running> {
        let (store, saved) = self.disk.open()?;
        let settings = Settings { seeds: self.seeds.borrow().clone(), ..self.settings.clone() };
        let (member, initial) = Member::start(settings, saved, fastrand::u64(..), self.now())?;
        if let Some(initial) = initial {
            store.save(&initial)?;
        }
        Ok(Running { member, store })
    }

    /// Stops participating, closes accepted links, refuses pending calls, and reloads the state once the disk
    /// is writable: the state in memory may be ahead of the disk.
    fn wait_for_disk(self: &Rc<Self>, error: &eyre::Report) {
        let reason = format!("the disk takes nothing: {}", error.root_cause());
        if !matches!(&*self.participation.borrow(), Participation::WaitsForDisk(known) if *known == reason) {
            log::error!("core: {reason}; not participating until it is writable");
        }
        *self.participation.borrow_mut() = Participation::WaitsForDisk(reason);
        // Agents reconnect; until the disk is writable, this process looks unreachable to them.
        self.links.borrow_mut().clear();
        let now = self.now();
        for (_, caller) in std::mem::take(&mut *self.calls.borrow_mut()) {
            // The client may have disconnected.
            let _ = caller.send((now, Refusal::Unavailable.reply()));
        }
        let control = self.clone();
        tokio::task::spawn_local(async move {
            sleep(DISK_RETRY_INTERVAL).await;
            if let Err(error) = control.start_or_wait_for_disk() {
                log::error!("core: {error:#}");
                std::process::exit(1);
            }
            if matches!(&*control.participation.borrow(), Participation::Active(_)) {
                log::info!("core: the disk is writable again");
            }
        });
    }

    /// See [`Member::leave_outcome`]; none while the disk is unavailable.
    fn leave_outcome(&self) -> Option<bool> {
        match &*self.participation.borrow() {
            Participation::Active(running) => running.member.leave_outcome(),
            Participation::WaitsForDisk(_) => None,
        }
    }

    /// See [`Member::keeps_link_to`]; true while the disk is unavailable.
    fn keeps_link_to(&self, name: &str) -> bool {
        match &*self.participation.borrow() {
            Participation::Active(running) => running.member.keeps_link_to(name),
            Participation::WaitsForDisk(_) => true,
        }
    }

    /// The reply while the disk is unavailable: a status with the reason, or a refusal to any other call.
    fn reply_without_disk(&self, path: &str) -> Option<Reply> {
        let Participation::WaitsForDisk(reason) = &*self.participation.borrow() else { return None };
        if path != "/api/Status" {
            return Some(Refusal::Unavailable.reply());
        }
        let status = Status {
            address: self.name.clone(),
            node: self.settings.node.clone(),
            leaderless_reason: Some(reason.clone()),
            ..Status::default()
        };
        Some(Reply { status: 200, body: json::to_string(&status), retry_after_ms: None })
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get().wrapping_add(1))
    }

    /// Passes an event to the member and carries out the resulting actions.
    fn step(self: &Rc<Self>, event: Event) {
        let mut next = Some(event).filter(|_| !self.stopped.get());
        while let Some(event) = next.take() {
            let mut actions = Vec::new();
            let decided_at = self.now();
            match &mut *self.participation.borrow_mut() {
                Participation::Active(running) => running.member.handle(decided_at, event, &mut actions),
                Participation::WaitsForDisk(_) => return,
            }
            for action in actions {
                match self.act(action.fenced(decided_at, self.now())) {
                    Ok(event) => next = event.or(next),
                    Err(error) => return self.wait_for_disk(&error),
                }
            }
        }
    }

    /// Carries out one action. On an error the disk is unavailable, and the remaining actions must be
    /// dropped: they may acknowledge what was not saved.
    fn act(self: &Rc<Self>, action: Action) -> Result<Option<Event>> {
        match action {
            Action::Save(save) => return self.save(&save),
            Action::SendPeer { to, message } => {
                self.send_peer(&to, CoreMessage { from: self.name.clone(), payload: Some(*message) });
            }
            Action::ForwardJoin { to, from } => {
                self.send_peer(&to, CoreMessage { from, payload: Some(CorePayload::Join(true)) });
            }
            Action::Answer { call, reply } => {
                if let Some(caller) = self.calls.borrow_mut().remove(&call) {
                    // The client may have disconnected.
                    let _ = caller.send((self.now(), reply));
                }
            }
            Action::Send { link, message } => self.send(link, &*message),
            Action::SendState { link, frame } => self.send_frame(link, frame),
            Action::SendTotals { link, totals } => self.send(link, &totals),
            Action::Abort(reason) => {
                log::error!("core: {reason}");
                std::process::exit(1);
            }
        }
        Ok(None)
    }

    fn save(&self, save: &Save) -> Result<Option<Event>> {
        let participation = self.participation.borrow();
        let Participation::Active(running) = &*participation else { return Ok(None) };
        let start = Instant::now();
        match running.store.save(save) {
            Ok(()) => Ok(Some(Event::Saved { took_ms: start.elapsed().as_secs_f64() * 1000.0 })),
            Err(error) if disk_unavailable(&error) => Err(error),
            Err(error) => {
                log::error!("core: cannot write to the disk: {error:#}");
                std::process::exit(1);
            }
        }
    }

    /// Queues a message; closes the link if its queue is full, and the other process reconnects.
    fn send(&self, link: u64, message: &impl Message) {
        self.send_frame(link, encode_frame(message).into());
    }

    fn send_frame(&self, link: u64, frame: Bytes) {
        let mut links = self.links.borrow_mut();
        if links.get(&link).is_some_and(|out| !out.send_frame(frame)) {
            links.remove(&link);
        }
    }

    // ---- Links to other core processes -----------------------------------------------------------------

    /// The address of a core process's inner port, from its name.
    fn inner_address(&self, name: &str) -> Option<SocketAddr> {
        let address: SocketAddr = name.parse().ok()?;
        Some(self.settings.inner_addr(address.ip()))
    }

    fn send_peer(self: &Rc<Self>, to: &Name, message: CoreMessage) {
        let mut peers = self.peers.borrow_mut();
        let last_sent = Instant::now();
        match peers.get_mut(to) {
            // A message that does not fit into the queue is dropped; messages may also be lost in transit.
            Some(peer) => {
                peer.last_sent = last_sent;
                peer.out.send(&message);
            }
            None => {
                let Some(addr) = self.inner_address(to) else { return };
                if peers.len() >= MAX_PEERS {
                    // Dropping a peer's queue closes its link.
                    peers.retain(|name, peer| {
                        self.keeps_link_to(name) || peer.last_sent.elapsed() < PEER_IDLE_TIMEOUT
                    });
                }
                if peers.len() >= MAX_PEERS {
                    return;
                }
                let (out, queue) = MessageSender::new();
                out.send(&Hello { purpose: Purpose::Core as i32 });
                out.send(&message);
                peers.insert(to.clone(), Peer { out, last_sent });
                tokio::task::spawn_local(self.clone().maintain_peer_link(to.clone(), addr, queue));
            }
        }
    }

    async fn maintain_peer_link(self: Rc<Self>, to: Name, addr: SocketAddr, mut queue: Receiver<Bytes>) {
        loop {
            match link::connect(addr).await {
                Ok(stream) => link::write(stream.into_split().1, queue).await,
                Err(_) => sleep(RECONNECT_INTERVAL).await,
            }
            let keeps_link = self.keeps_link_to(&to);
            let mut peers = self.peers.borrow_mut();
            let Some(peer) = peers.get_mut(&to) else { return };
            if !keeps_link && peer.last_sent.elapsed() > PEER_IDLE_TIMEOUT {
                peers.remove(&to);
                return;
            }
            // Queued messages are outdated by now; their senders repeat what is still needed.
            let (out, new_queue) = MessageSender::new();
            out.send(&Hello { purpose: Purpose::Core as i32 });
            (peer.out, queue) = (out, new_queue);
        }
    }

    async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok(_) if self.inner_connections.get() >= MAX_INNER_CONNECTIONS => self.count_rejected(),
                Ok((stream, _)) => drop(tokio::task::spawn_local(self.clone().serve_link(stream))),
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn serve_link(self: Rc<Self>, stream: TcpStream) {
        if matches!(&*self.participation.borrow(), Participation::WaitsForDisk(_)) {
            return;
        }
        link::set_socket_options(&stream);
        let (read, write) = stream.into_split();
        let (out, queue) = MessageSender::new();
        let _counted = InnerConnection::new(&self);
        let mut hello = MessageReader::<Hello>::within(read, MAX_HELLO_BYTES);
        let first = match timeout(HEAD_TIMEOUT, hello.next()).await {
            Ok(Ok(first)) if first.purpose() != Purpose::None => first,
            _ => return self.count_rejected(),
        };
        let writer = tokio::task::spawn_local(link::write(write, queue));
        let link = self.next_number();
        self.links.borrow_mut().insert(link, out);
        let link_guard = LinkGuard { control: self.clone(), link };
        let result = match first.purpose() {
            Purpose::Core => link_guard.receive_from_core(hello.decoding(MAX_MESSAGE_BYTES)).await,
            Purpose::Agent => {
                let incoming = hello.decoding(MAX_AGENT_MESSAGE_BYTES);
                link_guard.receive(incoming, |message: FromAgent| Event::AgentMessage { link, message }).await
            }
            Purpose::Counter => {
                let incoming = hello.decoding(MAX_CHARGES_BYTES);
                link_guard.receive(incoming, |charges: Charges| Event::Charged { link, charges }).await
            }
            Purpose::None => Ok(()),
        };
        if result.is_err_and(|e| e.kind() == ErrorKind::InvalidData) {
            self.count_rejected();
        }
        writer.abort();
    }

    /// Counts a rejected connection, and logs at each power of two.
    fn count_rejected(&self) {
        let count = self.rejected_connections.get() + 1;
        self.rejected_connections.set(count);
        if count.is_power_of_two() {
            log::warn!(
                "core: {count} connections to the inner port rejected so far (invalid, silent or too many)"
            );
        }
    }

    // ---- API calls -------------------------------------------------------------------------------------

    async fn accept_calls(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let control = self.clone();
            tokio::task::spawn_local(async move {
                link::set_socket_options(&stream);
                let service = service_fn(|request| control.serve_call(request));
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD_TIMEOUT)
                    .serve_connection(TokioIo::new(ClientStream::new(stream)), service);
                // The client may disconnect at any time.
                let _ = connection.await;
            });
        }
    }

    async fn serve_call(
        self: &Rc<Self>, request: Request<Body>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let reply = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => self.answer(parts.method.as_str(), path, body.to_bytes().into()).await,
            Err(_) => Reply { status: 413, body: "{}".into(), retry_after_ms: None },
        };
        let mut response = Response::new(Full::new(Bytes::from(reply.body)));
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after_ms) = reply.retry_after_ms {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1000.0);
            response
                .headers_mut()
                .extend(HeaderValue::try_from(seconds).ok().map(|value| (RETRY_AFTER, value)));
        }
        Ok(response)
    }

    /// Answers a call, and logs an operator's: an order that nobody acknowledges leaves its reason here.
    async fn answer(self: &Rc<Self>, method: &str, path: &str, body: Vec<u8>) -> Reply {
        let received_at = self.now();
        let reply = self.complete_call(method, path, body).await;
        if !UNLOGGED_CALLS.iter().any(|name| path.starts_with(name)) {
            let beginning = |text: &str| text.chars().take(MAX_LOGGED_CHARS).collect::<String>();
            log::info!(
                "core: {method} {}: {} after {:.0} ms{}",
                beginning(path),
                reply.status,
                self.now() - received_at,
                if reply.status < 400 { String::new() } else { format!(": {}", beginning(&reply.body)) }
            );
        }
        reply
    }

    /// Passes a call to the member and waits for its reply.
    async fn complete_call(self: &Rc<Self>, method: &str, path: &str, body: Vec<u8>) -> Reply {
        if let Some(reply) = self.reply_without_disk(path) {
            return reply;
        }
        let call = self.next_number();
        let (sender, receiver) = oneshot::channel();
        self.calls.borrow_mut().insert(call, sender);
        let guard = CallGuard { control: self.clone(), call };
        self.step(Event::ClientCall { call, method: method.to_owned(), path: path.to_owned(), body });
        let reply = receiver.await;
        drop(guard);
        // The process may have stalled since the member decided on the reply.
        match reply {
            Ok((decided_at, reply))
                if reply.status >= 500 || self.now() - decided_at <= MAX_RESPONSE_DELAY_MS =>
            {
                reply
            }
            _ => Refusal::Unavailable.reply(),
        }
    }
}

/// Counts an open connection to the inner port while it exists.
struct InnerConnection(Rc<Control>);

impl InnerConnection {
    fn new(control: &Rc<Control>) -> Self {
        control.inner_connections.set(control.inner_connections.get() + 1);
        InnerConnection(control.clone())
    }
}

impl Drop for InnerConnection {
    fn drop(&mut self) {
        self.0.inner_connections.set(self.0.inner_connections.get() - 1);
    }
}

/// A call in flight. When dropped before its reply, the member is notified that the client has gone.
struct CallGuard {
    control: Rc<Control>,
    call: u64,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let unanswered = self.control.calls.borrow_mut().remove(&self.call).is_some();
        if unanswered {
            self.control.step(Event::ClientGone(self.call));
        }
    }
}

/// A link opened by another process. When dropped, the member is notified that it is closed.
struct LinkGuard {
    control: Rc<Control>,
    link: u64,
}

impl LinkGuard {
    async fn receive<M: Message + Default>(
        &self, mut incoming: MessageReader<M>, event: impl Fn(M) -> Event,
    ) -> std::io::Result<()> {
        while self.control.links.borrow().contains_key(&self.link) {
            let message = incoming.next().await?;
            self.control.step(event(message));
        }
        Ok(())
    }

    async fn receive_from_core(&self, mut incoming: MessageReader<CoreMessage>) -> std::io::Result<()> {
        loop {
            if let CoreMessage { from, payload: Some(message) } = incoming.next().await? {
                self.control.step(Event::PeerMessage { from, message });
            }
        }
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.control.links.borrow_mut().remove(&self.link);
        self.control.step(Event::LinkClosed(self.link));
    }
}
