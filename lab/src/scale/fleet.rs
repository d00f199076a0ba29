//! The sockets and clocks of hollow gateways, many in one thread, and of backends that beat.

use super::draw::{zone_of, Drawn, Machine};
use super::hollow::{Counts, Holds, Hollow, Out};
use overland::agent_state::Event;
use overland::link::{self, MessageReader, MessageSender};
use overland::protocol::{Hello, Purpose, ToAgent};
use overland::settings::Settings;
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

/// Between two tries to reach a core process, as of a real agent.
const AGAIN: Duration = Duration::from_millis(150);
/// Without anything due a gateway is told of time so often.
const REST: Duration = Duration::from_secs(60);
/// How often a backend calls.
const BEAT: Duration = Duration::from_millis(1500);
/// A backend waits so long for an answer.
const ANSWER: Duration = Duration::from_secs(1);
/// Largest answer that is read: a table of all gateways.
const ANSWER_MOST: usize = 4 << 20;
/// A gateway that is restarted is away for so long.
const AWAY: Duration = Duration::from_millis(500);
/// Gateways start spread over so long for each hundred: the platform starts a fleet within moments, not at once.
const START_EACH: Duration = Duration::from_millis(1);

/// What a hollow gateway tells the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Its agent holds an edition, from then on.
    Held(usize, u64, std::time::Instant),
    /// Its proxy goes by an edition, from then on.
    InForce(usize, u64, std::time::Instant),
}

/// One thread's gateways and what they are told of the run.
pub struct Part {
    /// Numbers of the gateways, and what each one's proxy holds.
    pub gateways: Vec<(usize, Holds)>,
    /// Control addresses of core processes.
    pub seeds: Vec<String>,
    /// The port of core processes for agents.
    pub inner: u16,
    /// Where notes go.
    pub notes: Sender<Note>,
    /// Gateways that are to be restarted.
    pub restarts: UnboundedReceiver<usize>,
    /// The run is over.
    pub over: watch::Receiver<bool>,
    /// When this rises, what gateways were told and told since is told, and counted anew.
    pub round: watch::Receiver<u64>,
    /// There, with the round's number.
    pub sums: Sender<(u64, Counts)>,
}

struct Seat {
    number: usize,
    inner: u16,
    started: Instant,
    hollow: RefCell<Hollow>,
    links: RefCell<BTreeMap<String, (MessageSender, Rc<Notify>)>>,
    due: Notify,
    notes: Sender<Note>,
}

/// A hollow gateway's settings.
pub fn settings(number: usize, seeds: &[String], inner: u16) -> Result<Settings, String> {
    let front = format!("127.88.{}.{}:8080", number / 250, number % 250 + 1);
    let machine = Machine {
        node: &format!("counter-{number}"),
        class: "counter",
        ip: "127.0.0.1",
        zone: zone_of(number),
        docks: &[("front", front)],
        data: "/nowhere",
        inner,
        seeds,
    };
    Settings::read(&machine.text()).map_err(|e| format!("{e:#}"))
}

/// Runs one thread's gateways until the run is over.
pub fn run(part: Part) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("a thread: {e}"))?;
    LocalSet::new().block_on(&runtime, attend(part))
}

/// What gateways that ended were told, and the present life of each.
type Lives = Rc<RefCell<(Counts, BTreeMap<usize, Rc<Seat>>)>>;

async fn attend(part: Part) -> Result<(), String> {
    let Part { gateways, seeds, inner, notes, mut restarts, mut over, mut round, sums } = part;
    let lives: Lives = Rc::default();
    let mut tasks: BTreeMap<usize, (Holds, JoinHandle<()>)> = BTreeMap::new();
    let begin = |number: usize, holds: Holds, after: Duration| -> Result<JoinHandle<()>, String> {
        let settings = settings(number, &seeds, inner)?;
        let (lives, notes) = (lives.clone(), notes.clone());
        Ok(spawn_local(async move {
            sleep(after).await;
            // All tasks of a gateway end with it.
            LocalSet::new().run_until(live(number, holds, settings, inner, notes, lives)).await;
        }))
    };
    for (at, (number, holds)) in gateways.iter().enumerate() {
        tasks.insert(*number, (*holds, begin(*number, *holds, START_EACH * at as u32)?));
    }
    let sum = || {
        let lives = lives.borrow();
        let mut sum = lives.0;
        lives.1.values().for_each(|seat| sum.add(seat.hollow.borrow().counts()));
        sum
    };
    let mut before = Counts::default();
    loop {
        tokio::select! {
            _ = over.wait_for(|over| *over) => break,
            changed = round.changed() => match changed {
                Ok(()) => {
                    let now = sum();
                    // Whoever listened has ended: the run is over.
                    let _ = sums.send((*round.borrow_and_update(), now.since(&before)));
                    before = now;
                }
                Err(_) => break,
            },
            restart = restarts.recv() => {
                let Some(number) = restart else { break };
                let Some((holds, task)) = tasks.remove(&number) else { continue };
                task.abort();
                let _ = task.await;
                let ended = lives.borrow_mut().1.remove(&number);
                if let Some(seat) = ended {
                    lives.borrow_mut().0.add(seat.hollow.borrow().counts());
                }
                tasks.insert(number, (holds, begin(number, holds, AWAY)?));
            }
        }
    }
    tasks.into_values().for_each(|(_, task)| task.abort());
    Ok(())
}

async fn live(
    number: usize, holds: Holds, settings: Settings, inner: u16, notes: Sender<Note>, lives: Lives,
) {
    let mut out = Vec::new();
    let hollow = RefCell::new(Hollow::new(&settings, holds, 0.0, &mut out));
    let (links, due) = Default::default();
    let seat = Rc::new(Seat { number, inner, started: Instant::now(), hollow, links, due, notes });
    lives.borrow_mut().1.insert(number, seat.clone());
    seat.act(out);
    loop {
        let due = seat.hollow.borrow().due();
        let due = if due.is_finite() { Duration::from_secs_f64(due.max(0.0) / 1000.0) } else { REST };
        tokio::select! {
            () = sleep_until(seat.started + due) => seat.step(Event::Tick),
            () = seat.due.notified() => {}
        }
    }
}

impl Seat {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn step(self: &Rc<Self>, event: Event) {
        let before = self.hollow.borrow().due();
        let mut out = Vec::new();
        match event {
            Event::CoreMessage { core, message: news } => {
                self.hollow.borrow_mut().said(self.now(), core, news, &mut out);
            }
            event => self.hollow.borrow_mut().event(self.now(), event, &mut out),
        }
        self.act(out);
        if self.hollow.borrow().due() < before {
            self.due.notify_one();
        }
    }

    fn act(self: &Rc<Self>, out: Vec<Out>) {
        let now = std::time::Instant::now();
        for out in out {
            match out {
                Out::Keep(core) => drop(spawn_local(self.clone().keep_link(core))),
                Out::End(core) => {
                    if let Some((_, end)) = self.links.borrow().get(&core) {
                        end.notify_one();
                    }
                }
                Out::Say(core, word) => {
                    if let Some((out, end)) = self.links.borrow().get(&core) {
                        if !out.send(&*word) {
                            end.notify_one();
                        }
                    }
                }
                // Whoever listened has ended: the run is over.
                Out::Held(edition) => drop(self.notes.send(Note::Held(self.number, edition, now))),
                Out::InForce(edition) => drop(self.notes.send(Note::InForce(self.number, edition, now))),
            }
        }
    }

    async fn keep_link(self: Rc<Self>, core: String) {
        let Ok(address) = core.parse::<SocketAddr>() else { return };
        let addr = SocketAddr::new(address.ip(), self.inner);
        while self.hollow.borrow_mut().wants(self.now(), &core) {
            if let Ok(stream) = link::connect(addr).await {
                // However it ends: it is tried again.
                let _ = self.link(&core, stream).await;
                self.links.borrow_mut().remove(&core);
                self.step(Event::LinkClosed(core.clone()));
            }
            sleep(AGAIN).await;
        }
    }

    async fn link(self: &Rc<Self>, core: &str, stream: TcpStream) -> std::io::Result<()> {
        let (read, write) = stream.into_split();
        let (out, from) = MessageSender::new();
        let writing = spawn_local(link::write(write, from));
        out.send(&Hello { purpose: Purpose::Agent as i32 });
        let end = Rc::new(Notify::new());
        self.links.borrow_mut().insert(core.to_owned(), (out, end.clone()));
        self.step(Event::LinkOpened(core.to_owned()));
        let mut incoming = MessageReader::<ToAgent>::new(read);
        let ended = loop {
            let news = tokio::select! {
                news = incoming.next() => news,
                () = end.notified() => break Ok(()),
            };
            match news {
                Ok(news) => self.step(Event::CoreMessage { core: core.to_owned(), message: Box::new(news) }),
                Err(e) => break Err(e),
            }
        };
        writing.abort();
        ended
    }
}

// ---- Backends ---------------------------------------------------------------------------------------------------

/// Backends that beat over a few held connections: each beats as often as a real one, but does not open its own.
pub struct Beats {
    /// What is drawn.
    pub drawn: Arc<Drawn>,
    /// Connections.
    pub links: usize,
    /// Control addresses of core processes.
    pub seeds: Vec<String>,
    /// The run is over.
    pub over: watch::Receiver<bool>,
}

/// Beats that were answered 200, those that were not, and the slowest answer in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Beaten {
    /// Answered 200.
    pub taken: u64,
    /// Answered otherwise, or not in time.
    pub lost: u64,
    /// Their answers took so long in all, in s.
    pub waited_s: f64,
}

/// Lets backends beat until the run is over.
pub fn beat(beats: Beats) -> Result<Beaten, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("a thread: {e}"))?;
    let Beats { drawn, links, seeds, mut over } = beats;
    let beaten: Rc<Cell<Beaten>> = Rc::default();
    LocalSet::new().block_on(&runtime, async {
        for at in 0..links {
            spawn_local(beat_on(drawn.clone(), (at, links), seeds.clone(), beaten.clone()));
        }
        // Nobody is left to end it: it ends.
        let _ = over.wait_for(|over| *over).await;
    });
    Ok(beaten.get())
}

/// Every so-manyth backend beats on one connection, in turn, evenly over the beat's time.
async fn beat_on(
    drawn: Arc<Drawn>, (at, links): (usize, usize), seeds: Vec<String>, beaten: Rc<Cell<Beaten>>,
) {
    let places: Vec<usize> = (0..drawn.size().backends).skip(at).step_by(links).collect();
    let gap = BEAT / places.len().max(1) as u32;
    let (mut stream, mut core, mut postmark) = (None, at % seeds.len().max(1), 0);
    let mut due = Instant::now() + gap * at as u32 / links.max(1) as u32;
    while !places.is_empty() {
        postmark += 1;
        for place in &places {
            due += gap;
            sleep_until(due).await;
            let path = format!("/api/Instances.Beat/{}", drawn.backend(*place, 0));
            let (start, body) = (Instant::now(), drawn.beat(*place, postmark));
            let answer = timeout(ANSWER, call(&mut stream, &seeds[core], ("POST", &path), &body));
            let mut sum = beaten.get();
            match answer.await {
                Ok(Ok((200, body))) => {
                    sum.taken += 1;
                    sum.waited_s += start.elapsed().as_secs_f64();
                    // Later beats go where the answer says.
                    let there = seeds.iter().position(|seed| body.contains(seed.as_str()));
                    if there.is_some_and(|there| there != core) {
                        (core, stream) = (there.unwrap_or(core), None);
                    }
                }
                _ => {
                    sum.lost += 1;
                    (core, stream) = ((core + 1) % seeds.len(), None);
                }
            }
            beaten.set(sum);
        }
    }
}

/// One call on a held connection: status and body.
pub async fn call(
    stream: &mut Option<TcpStream>, to: &str, (method, path): (&str, &str), body: &str,
) -> std::io::Result<(u16, String)> {
    let bad = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let mut open = match stream.take() {
        Some(open) => open,
        None => link::connect(to.parse().map_err(|_| bad())?).await?,
    };
    let head = format!("{method} {path} HTTP/1.1\r\nHost: core\r\nContent-Length: {}\r\n\r\n", body.len());
    open.write_all(head.as_bytes()).await?;
    open.write_all(body.as_bytes()).await?;
    let mut bytes = Vec::with_capacity(512);
    loop {
        if open.read_buf(&mut bytes).await? == 0 || bytes.len() > ANSWER_MOST {
            return Err(bad());
        }
        let mut headers = [httparse::EMPTY_HEADER; 16];
        let mut answer = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(from) = answer.parse(&bytes).map_err(|_| bad())? else { continue };
        let length = answer.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
        let length = length.and_then(|header| std::str::from_utf8(header.value).ok()?.parse::<usize>().ok());
        let (status, length) = (answer.code.ok_or_else(bad)?, length.ok_or_else(bad)?);
        if let Some(body) = bytes.get(from..from.saturating_add(length)) {
            let body = String::from_utf8_lossy(body).into_owned();
            *stream = Some(open);
            return Ok((status, body));
        }
    }
}
