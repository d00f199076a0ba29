//! The sockets, the clock and the disk of a core process. What it decides is [`Member`]'s.

use crate::agreement::{Name, Save};
use crate::calls::{Refusal, Reply};
use crate::link::{self, framed, Incoming, Outgoing, AGENT_MOST, CHARGES_MOST, HELLO_MOST, MOST};
use crate::member::{Action, Event, Member, MAX_RESPONSE_DELAY_MS, TICK_MS};
use crate::news::{Charges, CoreMessage, FromAgent, Hello, Purpose, Word};
use crate::settings::{Settings, Watch};
use crate::status::Status;
use crate::store::{disk_unavailable, DirectoryDisk, Disk, DurableStore};
use cherrytally::Millis;
use eyre::{eyre, Result, WrapErr};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming as Body};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use miniserde::json;
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

/// Between two tries of a disk that takes nothing.
const DISK_AGAIN: Duration = Duration::from_millis(500);
/// Largest body of a call.
const BODY_MOST: usize = 16 << 20;
/// Time for a caller to send its head.
const HEAD: Duration = Duration::from_secs(5);
/// Between two tries to reach another process.
const AGAIN: Duration = Duration::from_millis(100);
/// Links to core processes at most: members, and those that want to be.
const PEERS_MOST: usize = 32;
/// A core process that is neither member nor seed, and was told nothing for so long, is let go.
const LET_GO: Duration = Duration::from_secs(30);
/// Connections at the inner port at most: three of each of several hundred machines.
const INNER_MOST: usize = 2048;
/// A core process that is told to end is let go by the others within this part of `grace`, or ends all the same: the rest
/// is for the process that comes after it.
const LEAVE: f64 = 0.4;

/// A link to another core process.
struct Peer {
    out: Outgoing,
    /// When it was last told something.
    told: Instant,
}

/// What a core process needs to take its part.
struct Running {
    member: Member,
    store: Box<dyn DurableStore>,
}

/// Whether a core process takes its part.
enum Duty {
    /// It does.
    Takes(Box<Running>),
    /// Its disk takes nothing, and why. It promises nothing, and begins anew from its disk as soon as there is room.
    WaitsForDisk(String),
}

/// A core process.
pub struct Control {
    settings: Settings,
    me: Name,
    started: Instant,
    disk: Box<dyn Disk>,
    duty: RefCell<Duty>,
    /// Links to agents and proxies by number.
    links: RefCell<BTreeMap<u64, Outgoing>>,
    /// Calls in hand by number.
    calls: RefCell<BTreeMap<u64, oneshot::Sender<(Millis, Reply)>>>,
    peers: RefCell<BTreeMap<Name, Peer>>,
    /// Connections at the inner port that said nothing that can be read.
    garbage: Cell<u64>,
    /// Those that are open.
    open: Cell<usize>,
    next: Cell<u64>,
    /// The seeds that are named now.
    seeds: RefCell<Vec<SocketAddr>>,
    /// It has ended: what is dropped after that tells nobody.
    ended: Cell<bool>,
}

impl Control {
    /// Runs a core process until it is told to end.
    pub async fn run(settings: Settings, mut watch: Watch) -> Result<()> {
        let folder = settings.data_dir.clone().ok_or_else(|| eyre!("sender.data_dir is missing"))?;
        let seeds = async move || watch.changed().await.seeds;
        Self::run_on(settings, Box::new(DirectoryDisk(folder)), seeds).await
    }

    /// The same on this disk, with the seeds that `changed` tells whenever others are named.
    pub async fn run_on(
        settings: Settings, disk: Box<dyn Disk>, mut changed: impl AsyncFnMut() -> Vec<SocketAddr> + 'static,
    ) -> Result<()> {
        let address = settings.control_addr.ok_or_else(|| eyre!("network.docks_at.control is missing"))?;
        let mut term = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        let control = Rc::new(Control {
            me: address.to_string(),
            duty: RefCell::new(Duty::WaitsForDisk("it was not opened yet".to_owned())),
            disk,
            seeds: RefCell::new(settings.seeds.clone()),
            settings,
            started: Instant::now(),
            links: RefCell::default(),
            calls: RefCell::default(),
            peers: RefCell::default(),
            garbage: Cell::new(0),
            open: Cell::new(0),
            next: Cell::new(0),
            ended: Cell::new(false),
        });
        control.begin()?;
        let inner = SocketAddr::new(control.settings.ip, control.settings.inner_ports.0);
        let inner = TcpListener::bind(inner).await.wrap_err("inner port")?;
        tokio::task::spawn_local(control.clone().take_links(inner));
        let listener = TcpListener::bind(address).await.wrap_err("control address")?;
        tokio::task::spawn_local(control.clone().take_calls(listener));
        if let Some(directory) = control.settings.directory_addr {
            let listener = TcpListener::bind(directory).await.wrap_err("directory address")?;
            tokio::task::spawn_local(control.clone().take_calls(listener));
        }
        let learning = control.clone();
        tokio::task::spawn_local(async move {
            loop {
                let seeds = changed().await;
                learning.seeds.replace(seeds.clone());
                learning.step(Event::SeedsChanged(seeds));
            }
        });
        let ticking = control.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(Duration::from_secs_f64(TICK_MS / 1000.0)).await;
                ticking.step(Event::Tick);
            }
        });
        term.recv().await;
        log::info!("core: told to end");
        control.step(Event::Shutdown);
        let (since, most) = (Instant::now(), control.settings.bounds.grace.mul_f64(LEAVE));
        while control.left().is_none() && since.elapsed() < most {
            sleep(Duration::from_secs_f64(TICK_MS / 1000.0)).await;
        }
        match control.left() {
            Some(true) => log::info!("core: ends, and is no member any more"),
            Some(false) => {
                log::info!("core: ends as a member: the others hold all, and none could take its place")
            }
            None => {
                log::warn!("core: ends, and is needed: no majority without it holds all that is agreed on")
            }
        }
        control.ended.set(true);
        Ok(())
    }

    /// Takes its part from what the disk holds, or waits until the disk takes what is written.
    ///
    /// # Errors
    ///
    /// The disk can't be used at all.
    fn begin(self: &Rc<Self>) -> Result<()> {
        match self.start() {
            Ok(running) => {
                *self.duty.borrow_mut() = Duty::Takes(Box::new(running));
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
        let (member, first) = Member::start(settings, saved, fastrand::u64(..), self.now())?;
        if let Some(first) = first {
            store.save(&first)?;
        }
        Ok(Running { member, store })
    }

    /// Gives up its part, and all that it has in hand, and begins anew as soon as the disk takes what is written: what it holds
    /// in memory may be more than what is on disk.
    fn wait_for_disk(self: &Rc<Self>, error: &eyre::Report) {
        let why = format!("the disk takes nothing: {}", error.root_cause());
        if !matches!(&*self.duty.borrow(), Duty::WaitsForDisk(known) if *known == why) {
            log::error!("core: {why}; it takes no part until it does");
        }
        *self.duty.borrow_mut() = Duty::WaitsForDisk(why);
        // Agents and other core processes come again; until then nobody takes this one for more than a silent one.
        self.links.borrow_mut().clear();
        let now = self.now();
        for (_, caller) in std::mem::take(&mut *self.calls.borrow_mut()) {
            // A caller that broke off is its own affair.
            let _ = caller.send((now, Refusal::Later.reply()));
        }
        let waiting = self.clone();
        tokio::task::spawn_local(async move {
            sleep(DISK_AGAIN).await;
            if let Err(error) = waiting.begin() {
                log::error!("core: {error:#}");
                std::process::exit(1);
            }
            if matches!(&*waiting.duty.borrow(), Duty::Takes(_)) {
                log::info!("core: the disk takes what is written again");
            }
        });
    }

    /// Whether it may end, where it was told to: see [`Member::left`].
    fn left(&self) -> Option<bool> {
        match &*self.duty.borrow() {
            Duty::Takes(running) => running.member.leave_outcome(),
            Duty::WaitsForDisk(_) => None,
        }
    }

    /// Whether a link to this core process is kept: see [`Member::keeps`].
    fn keeps(&self, name: &str) -> bool {
        match &*self.duty.borrow() {
            Duty::Takes(running) => running.member.keeps_link_to(name),
            Duty::WaitsForDisk(_) => true,
        }
    }

    /// The answer of a process that takes no part: why, to who asks for its status, and to all others that another is to be
    /// asked.
    fn aside(&self, path: &str) -> Option<Reply> {
        let Duty::WaitsForDisk(why) = &*self.duty.borrow() else { return None };
        if path != "/api/Status" {
            return Some(Refusal::Later.reply());
        }
        let status = Status {
            address: self.me.clone(),
            node: self.settings.node.clone(),
            leaderless_reason: Some(why.clone()),
            ..Status::default()
        };
        Some(Reply { status: 200, body: json::to_string(&status), after_ms: None })
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get().wrapping_add(1))
    }

    /// Tells the member what happened and carries out what it wants.
    fn step(self: &Rc<Self>, event: Event) {
        let mut next = Some(event).filter(|_| !self.ended.get());
        while let Some(event) = next.take() {
            let mut actions = Vec::new();
            let decided = self.now();
            match &mut *self.duty.borrow_mut() {
                Duty::Takes(running) => running.member.handle(decided, event, &mut actions),
                Duty::WaitsForDisk(_) => return,
            }
            for action in actions {
                match self.act(action.fenced(decided, self.now())) {
                    Ok(event) => next = event.or(next),
                    Err(error) => return self.wait_for_disk(&error),
                }
            }
        }
    }

    /// Carries out one action. An error where the disk takes nothing: what is not on disk was promised to nobody yet, and what
    /// follows would promise it.
    fn act(self: &Rc<Self>, action: Action) -> Result<Option<Event>> {
        match action {
            Action::Save(save) => return self.save(&save),
            Action::SendPeer { to, message: word } => {
                self.tell(&to, CoreMessage { from: self.me.clone(), payload: Some(*word) });
            }
            Action::ForwardJoin { to, from } => {
                self.tell(&to, CoreMessage { from, payload: Some(Word::Join(true)) });
            }
            Action::Answer { call, reply } => {
                if let Some(to) = self.calls.borrow_mut().remove(&call) {
                    // A caller that broke off is its own affair.
                    let _ = to.send((self.now(), reply));
                }
            }
            Action::Send { link, message: news } => self.say(link, &*news),
            Action::SendState { link, frame: whole } => self.say_framed(link, whole),
            Action::SendTotals { link, totals } => self.say(link, &totals),
            Action::Abort(why) => {
                log::error!("core: {why}");
                std::process::exit(1);
            }
        }
        Ok(None)
    }

    fn save(&self, save: &Save) -> Result<Option<Event>> {
        let duty = self.duty.borrow();
        let Duty::Takes(running) = &*duty else { return Ok(None) };
        let start = Instant::now();
        match running.store.save(save) {
            Ok(()) => Ok(Some(Event::Saved { took_ms: start.elapsed().as_secs_f64() * 1000.0 })),
            Err(error) if disk_unavailable(&error) => Err(error),
            Err(error) => {
                log::error!("core: the disk is broken: {error:#}");
                std::process::exit(1);
            }
        }
    }

    /// What finds no room ends its link: the other side comes again.
    fn say(&self, link: u64, news: &impl Message) {
        self.say_framed(link, framed(news).into());
    }

    fn say_framed(&self, link: u64, message: Bytes) {
        let mut links = self.links.borrow_mut();
        if links.get(&link).is_some_and(|out| !out.send_framed(message)) {
            links.remove(&link);
        }
    }

    // ---- Links to other core processes ------------------------------------------------------------------------

    /// Where the inner port of a core process is, by its name.
    fn inner(&self, name: &str) -> Option<SocketAddr> {
        let address: SocketAddr = name.parse().ok()?;
        Some(self.settings.inner_addr(address.ip()))
    }

    fn tell(self: &Rc<Self>, to: &Name, word: CoreMessage) {
        let mut peers = self.peers.borrow_mut();
        let told = Instant::now();
        match peers.get_mut(to) {
            // What finds no room is lost, as it may be on the way.
            Some(peer) => {
                peer.told = told;
                peer.out.send(&word);
            }
            None => {
                let Some(addr) = self.inner(to) else { return };
                if peers.len() >= PEERS_MOST {
                    // Their links end with their ways out.
                    peers.retain(|name, peer| self.keeps(name) || peer.told.elapsed() < LET_GO);
                }
                if peers.len() >= PEERS_MOST {
                    return;
                }
                let (out, from) = Outgoing::new();
                out.send(&Hello { purpose: Purpose::Core as i32 });
                out.send(&word);
                peers.insert(to.clone(), Peer { out, told });
                tokio::task::spawn_local(self.clone().keep_link(to.clone(), addr, from));
            }
        }
    }

    async fn keep_link(self: Rc<Self>, to: Name, addr: SocketAddr, mut from: Receiver<Bytes>) {
        loop {
            match link::connect(addr).await {
                Ok(stream) => link::write(stream.into_split().1, from).await,
                Err(_) => sleep(AGAIN).await,
            }
            let keeps = self.keeps(&to);
            let mut peers = self.peers.borrow_mut();
            let Some(peer) = peers.get_mut(&to) else { return };
            if !keeps && peer.told.elapsed() > LET_GO {
                peers.remove(&to);
                return;
            }
            // What waited is old by now: those that speak say it anew.
            let (out, next) = Outgoing::new();
            out.send(&Hello { purpose: Purpose::Core as i32 });
            (peer.out, from) = (out, next);
        }
    }

    async fn take_links(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok(_) if self.open.get() >= INNER_MOST => self.count_garbage(),
                Ok((stream, _)) => drop(tokio::task::spawn_local(self.clone().link(stream))),
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn link(self: Rc<Self>, stream: TcpStream) {
        if matches!(&*self.duty.borrow(), Duty::WaitsForDisk(_)) {
            return;
        }
        link::prepare(&stream);
        let (read, write) = stream.into_split();
        let (out, from) = Outgoing::new();
        let _open = Open::new(&self);
        let mut hello = Incoming::<Hello>::within(read, HELLO_MOST);
        // Whoever says nothing has no place here for long.
        let first = match timeout(HEAD, hello.next()).await {
            Ok(Ok(first)) if first.purpose() != Purpose::None => first,
            _ => return self.count_garbage(),
        };
        let writing = tokio::task::spawn_local(link::write(write, from));
        let link = self.number();
        self.links.borrow_mut().insert(link, out);
        let open = Link { control: self.clone(), link };
        let ended = match first.purpose() {
            Purpose::Core => open.hear_core(hello.other(MOST)).await,
            Purpose::Agent => {
                open.hear(hello.other(AGENT_MOST), |word: FromAgent| Event::AgentMessage {
                    link,
                    message: word,
                })
                .await
            }
            Purpose::Counter => {
                open.hear(hello.other(CHARGES_MOST), |charges: Charges| Event::Charged { link, charges })
                    .await
            }
            Purpose::None => Ok(()),
        };
        // However it ends: the other side comes again.
        if ended.is_err_and(|e| e.kind() == ErrorKind::InvalidData) {
            self.count_garbage();
        }
        writing.abort();
    }

    /// What can't be read changes nothing, and is counted.
    fn count_garbage(&self) {
        let count = self.garbage.get() + 1;
        self.garbage.set(count);
        if count.is_power_of_two() {
            log::warn!("core: {count} connections said nothing that can be read");
        }
    }

    // ---- Calls ------------------------------------------------------------------------------------------------

    async fn take_calls(self: Rc<Self>, listener: TcpListener) {
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
                link::prepare(&stream);
                let service = service_fn(|request| control.called(request));
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEAD)
                    .serve_connection(TokioIo::new(stream), service);
                // A caller that breaks off is its own affair.
                let _ = connection.await;
            });
        }
    }

    async fn called(self: &Rc<Self>, request: Request<Body>) -> Result<Response<Full<Bytes>>, Infallible> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let reply = match Limited::new(body, BODY_MOST).collect().await {
            Ok(body) => self.answer(parts.method.as_str(), path, body.to_bytes().into()).await,
            Err(_) => Reply { status: 413, body: "{}".into(), after_ms: None },
        };
        let mut response = Response::new(Full::new(Bytes::from(reply.body)));
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = reply.after_ms {
            let seconds = format!("{:.3}", after as f64 / 1000.0);
            response
                .headers_mut()
                .extend(HeaderValue::try_from(seconds).ok().map(|value| (RETRY_AFTER, value)));
        }
        Ok(response)
    }

    /// Has the member answer a call.
    async fn answer(self: &Rc<Self>, method: &str, path: &str, body: Vec<u8>) -> Reply {
        if let Some(reply) = self.aside(path) {
            return reply;
        }
        let call = self.number();
        let (to, answer) = oneshot::channel();
        self.calls.borrow_mut().insert(call, to);
        let waits = Waits { control: self.clone(), call };
        self.step(Event::ClientCall { call, method: method.to_owned(), path: path.to_owned(), body });
        let reply = answer.await;
        drop(waits);
        // The member answers each call. Between its word and here the process may have stood still.
        match reply {
            Ok((decided, reply)) if reply.status >= 500 || self.now() - decided <= MAX_RESPONSE_DELAY_MS => {
                reply
            }
            _ => Refusal::Later.reply(),
        }
    }
}

/// A connection at the inner port.
struct Open(Rc<Control>);

impl Open {
    fn new(control: &Rc<Control>) -> Self {
        control.open.set(control.open.get() + 1);
        Open(control.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A call in hand: however it ends, the member is told where nobody waits for it any more.
struct Waits {
    control: Rc<Control>,
    call: u64,
}

impl Drop for Waits {
    fn drop(&mut self) {
        let waited = self.control.calls.borrow_mut().remove(&self.call).is_some();
        if waited {
            self.control.step(Event::ClientGone(self.call));
        }
    }
}

/// A link that another process opened: however it ends, the member is told.
struct Link {
    control: Rc<Control>,
    link: u64,
}

impl Link {
    async fn hear<M: Message + Default>(
        &self, mut from: Incoming<M>, event: impl Fn(M) -> Event,
    ) -> std::io::Result<()> {
        while self.control.links.borrow().contains_key(&self.link) {
            let said = from.next().await?;
            self.control.step(event(said));
        }
        Ok(())
    }

    async fn hear_core(&self, mut from: Incoming<CoreMessage>) -> std::io::Result<()> {
        loop {
            if let CoreMessage { from, payload: Some(word) } = from.next().await? {
                self.control.step(Event::PeerMessage { from, message: word });
            }
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.control.links.borrow_mut().remove(&self.link);
        self.control.step(Event::LinkClosed(self.link));
    }
}
