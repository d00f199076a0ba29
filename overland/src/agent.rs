//! The agent beside a proxy: keeps links to all core processes, follows the one that leads, and feeds the proxy.

use crate::link::{self, Incoming, Outgoing};
use crate::news::{FromAgent, FromProxy, Gateway, Hello, Mend, Pulse, Purpose, ToAgent, ToProxy};
use crate::settings::{Settings, Watch};
use crate::state::{Digest, State};
use cherrytally::Millis;
use eyre::{Result, WrapErr};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// How often a core process hears of an agent that has nothing to tell.
const WORD: Duration = Duration::from_millis(400);
/// And one that does not lead: it only tells clients who is ready.
const WORD_ASIDE: Duration = Duration::from_millis(650);
/// A core process that says nothing for so long is tried anew.
const SILENT: Duration = Duration::from_millis(2000);
/// Between two tries.
const AGAIN: Duration = Duration::from_millis(150);
/// A core process that is no member any more is let go after so long without a word of it among the members.
const LET_GO: Duration = Duration::from_secs(30);

/// The port on which an agent feeds its proxy: the second of those that are free.
pub fn feed(settings: &Settings) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), settings.inner_ports.0 + 1)
}

/// An agent.
pub struct Agent {
    settings: Settings,
    started: Instant,
    state: RefCell<Option<State>>,
    digest: Digest,
    /// The copy differs from the leader's: its ranges are to be told.
    differs: Cell<bool>,
    /// What the proxy last told.
    proxy: RefCell<FromProxy>,
    /// Where the proxy hears.
    to_proxy: RefCell<Option<Outgoing>>,
    /// Core processes by control address, and when each was last known to be one.
    cores: RefCell<BTreeMap<String, Instant>>,
    /// Who leads, and in which term.
    leader: RefCell<Option<(String, u64)>>,
    /// When the last question was asked that the leader answered, and the state was up to date.
    fresh: Cell<Option<Millis>>,
    /// Something is to be told at once.
    told: Notify,
}

impl Agent {
    /// Runs an agent until it is told to end, and its proxy has ended.
    pub async fn run(settings: Settings, mut watch: Watch) -> Result<()> {
        let mut term = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        let listener = TcpListener::bind(feed(&settings)).await.wrap_err("feed port")?;
        let grace = settings.bounds.grace;
        let agent = Rc::new(Agent {
            settings,
            started: Instant::now(),
            state: RefCell::default(),
            digest: Digest::default(),
            differs: Cell::new(false),
            proxy: RefCell::default(),
            to_proxy: RefCell::default(),
            cores: RefCell::default(),
            leader: RefCell::default(),
            fresh: Cell::new(None),
            told: Notify::new(),
        });
        for seed in &agent.settings.seeds {
            agent.know(seed.to_string());
        }
        tokio::task::spawn_local(agent.clone().take_proxy(listener));
        let learning = agent.clone();
        tokio::task::spawn_local(async move {
            loop {
                for seed in watch.changed().await.seeds {
                    learning.know(seed.to_string());
                }
            }
        });
        term.recv().await;
        log::info!("agent: told to end");
        // The proxy answers what it has taken in; until then it is fed.
        let end = Instant::now() + grace.mul_f64(0.9);
        while agent.to_proxy.borrow().is_some() && Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn held(&self) -> u64 {
        self.state.borrow().as_ref().map_or(0, |state| state.index)
    }

    // ---- The core -----------------------------------------------------------------------------------------------

    /// Learns of a core process.
    fn know(self: &Rc<Self>, core: String) {
        let new = self.cores.borrow_mut().insert(core.clone(), Instant::now()).is_none();
        if new {
            tokio::task::spawn_local(self.clone().keep_link(core));
        }
    }

    async fn keep_link(self: Rc<Self>, core: String) {
        let Ok(address) = core.parse::<SocketAddr>() else { return };
        let addr = SocketAddr::new(address.ip(), self.settings.inner_ports.0);
        loop {
            if let Ok(stream) = link::connect(addr).await {
                // However it ends: it is tried again.
                let _ = self.link(&core, stream).await;
                let mut leader = self.leader.borrow_mut();
                if leader.as_ref().is_some_and(|(name, _)| *name == core) {
                    *leader = None;
                }
            }
            let seed = self.settings.seeds.iter().any(|seed| seed.to_string() == core);
            let lost = self.cores.borrow().get(&core).is_none_or(|at| at.elapsed() > LET_GO);
            if lost && !seed {
                self.cores.borrow_mut().remove(&core);
                return;
            }
            sleep(AGAIN).await;
        }
    }

    async fn link(self: &Rc<Self>, core: &str, stream: TcpStream) -> std::io::Result<()> {
        let (read, write) = stream.into_split();
        let (out, from) = Outgoing::new();
        let writing = tokio::task::spawn_local(link::write(write, from));
        out.send(&Hello { purpose: Purpose::Agent as i32 });
        let mut incoming = Incoming::<ToAgent>::new(read);
        let heard = Cell::new(Instant::now());
        let tells = async {
            let mut known = None;
            loop {
                let gateway = Some(self.gateway()).filter(|gateway| Some(gateway) != known.as_ref());
                known = gateway.clone().or(known);
                let word = self.word(core, gateway);
                if !out.send(&word) || heard.get().elapsed() > SILENT {
                    return;
                }
                let pause = if word.follows { WORD } else { WORD_ASIDE };
                let _ = timeout(pause, self.told.notified()).await;
            }
        };
        let hears = async {
            loop {
                let news = incoming.next().await?;
                heard.set(Instant::now());
                self.hear(core, news);
            }
        };
        let ended = tokio::select! {
            () = tells => Ok(()),
            ended = hears => ended,
        };
        writing.abort();
        ended
    }

    fn gateway(&self) -> Gateway {
        let Settings { node, zone, .. } = &self.settings;
        Gateway { node: node.clone(), zone: zone.clone(), front: self.proxy.borrow().front.clone() }
    }

    fn word(&self, core: &str, gateway: Option<Gateway>) -> FromAgent {
        let proxy = self.proxy.borrow();
        let follows = self.leader.borrow().as_ref().is_some_and(|(name, _)| name == core);
        FromAgent {
            gateway,
            ready: proxy.ready && self.to_proxy.borrow().is_some(),
            held: self.held(),
            at: self.now(),
            follows,
            applied: proxy.held,
            ranges: self
                .state
                .borrow()
                .as_ref()
                .filter(|_| follows && self.differs.take())
                .map(State::ranges),
        }
    }

    fn hear(self: &Rc<Self>, core: &str, news: ToAgent) {
        let ToAgent { whole, changes, pulse, mend } = news;
        let now = self.now();
        let before = self.held();
        if let Some(whole) = whole.filter(|whole| whole.index > before) {
            *self.state.borrow_mut() = Some(State::from_whole(now, whole.clone()));
            self.feed(ToProxy { whole: Some(whole), ..ToProxy::default() });
        }
        if let Some(state) = self.state.borrow_mut().as_mut() {
            state.follow(now, &changes);
        }
        if self.held() != before {
            if !changes.is_empty() {
                self.feed(ToProxy { changes, ..ToProxy::default() });
            }
            self.told.notify_waiters();
        }
        if let Some(mend) = mend {
            self.mend(mend);
        }
        let Some(Pulse { at, leads, term, index, members, digest }) = pulse else { return };
        for member in members {
            self.know(member);
        }
        if !leads {
            return;
        }
        let known = self.leader.borrow().as_ref().map(|(name, term)| (name == core, *term));
        match known {
            Some((true, known)) if known == term => {}
            Some((_, known)) if known > term => return,
            _ => {
                log::info!("agent: {core} leads in term {term}");
                *self.leader.borrow_mut() = Some((core.to_owned(), term));
                self.told.notify_waiters();
            }
        }
        let differs = self
            .state
            .borrow()
            .as_ref()
            .is_some_and(|state| digest != 0 && state.index == index && self.digest.of(state) != digest);
        if differs && !self.differs.replace(true) {
            log::warn!("agent: the copy of change {index} differs from the leader's");
            self.told.notify_waiters();
        }
        if self.held() >= index {
            self.fresh.set(Some(self.fresh.get().map_or(at, |fresh| fresh.max(at))));
        }
        self.feed(ToProxy::default());
    }

    /// Ranges of the copy are replaced by the leader's.
    fn mend(&self, mend: Mend) {
        let names = mend.names.join(", ");
        let mended = self.state.borrow_mut().as_mut().is_some_and(|state| state.mend(self.now(), mend));
        if mended {
            log::warn!("agent: mended: {names}");
            self.digest.forget();
        }
    }

    // ---- The proxy ------------------------------------------------------------------------------------------------

    fn feed(&self, news: ToProxy) {
        let leader = self.leader.borrow();
        let counter = leader.as_ref().and_then(|(name, _)| name.parse::<SocketAddr>().ok());
        let counter = counter.map(|addr| SocketAddr::new(addr.ip(), self.settings.inner_ports.0).to_string());
        let news = ToProxy {
            counter: counter.unwrap_or_default(),
            term: leader.as_ref().map_or(0, |(_, term)| *term),
            age_ms: self.fresh.get().map_or(-1.0, |fresh| self.now() - fresh),
            index: self.held(),
            digest: self.state.borrow().as_ref().map_or(0, |state| self.digest.of(state)),
            ..news
        };
        if let Some(to) = &*self.to_proxy.borrow() {
            to.send(&news);
        }
    }

    async fn take_proxy(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            tokio::task::spawn_local(self.clone().proxy(stream));
        }
    }

    async fn proxy(self: Rc<Self>, stream: TcpStream) {
        link::prepare(&stream);
        let (read, write) = stream.into_split();
        let (out, from) = Outgoing::new();
        let writing = tokio::task::spawn_local(link::write(write, from));
        let mut incoming = Incoming::<FromProxy>::new(read);
        *self.to_proxy.borrow_mut() = Some(out);
        let whole = self.state.borrow().as_ref().map(|state| state.whole(self.now(), false));
        self.feed(ToProxy { whole, ..ToProxy::default() });
        while let Ok(mut word) = incoming.next().await {
            let ranges = word.ranges.take();
            let mend = self.state.borrow().as_ref().and_then(|s| s.mend_for(self.now(), ranges.as_ref()?));
            if mend.is_some() {
                self.feed(ToProxy { mend, ..ToProxy::default() });
            }
            let changed = {
                let mut proxy = self.proxy.borrow_mut();
                let changed = *proxy != word;
                *proxy = word;
                changed
            };
            if changed {
                self.told.notify_waiters();
            }
        }
        *self.proxy.borrow_mut() = FromProxy::default();
        *self.to_proxy.borrow_mut() = None;
        self.told.notify_waiters();
        writing.abort();
    }
}
