//! The sockets and the clock of the agent beside a proxy. What it goes by is [`AgentStateMachine`]'s.

use crate::follow::{Action, AgentStateMachine, Event};
use crate::link::{self, Incoming, Outgoing};
use crate::news::{FromProxy, Hello, Purpose, ToAgent};
use crate::settings::{Settings, Watch};
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
use tokio::time::{sleep, sleep_until, Instant};

/// Between two tries.
const AGAIN: Duration = Duration::from_millis(150);
/// Without anything due it is told of time so often.
const REST: Duration = Duration::from_secs(60);

/// The port on which an agent feeds its proxy: the second of those that are free.
pub fn feed(settings: &Settings) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), settings.inner_ports.0 + 1)
}

/// A link to a core process: where words go out, and how it is ended.
struct Link {
    out: Outgoing,
    end: Rc<Notify>,
}

/// An agent.
pub struct Agent {
    settings: Settings,
    started: Instant,
    follow: RefCell<AgentStateMachine>,
    links: RefCell<BTreeMap<String, Link>>,
    /// The link to the proxy, and its number.
    proxy: RefCell<Option<(u64, Outgoing)>>,
    proxies: Cell<u64>,
    /// Something is due earlier than it was.
    due: Notify,
}

/// By this share of the time that is granted an agent has ended, and so has its proxy.
pub const ENDED: f64 = 0.95;

impl Agent {
    /// Runs an agent until it is told to end, and its proxy has ended.
    pub async fn run(settings: Settings, mut watch: Watch) -> Result<()> {
        let mut term = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        let listener = TcpListener::bind(feed(&settings)).await.wrap_err("feed port")?;
        let grace = settings.bounds.grace;
        let mut actions = Vec::new();
        let agent = Rc::new(Agent {
            follow: RefCell::new(AgentStateMachine::new(&settings, 0.0, &mut actions)),
            settings,
            started: Instant::now(),
            links: RefCell::default(),
            proxy: RefCell::default(),
            proxies: Cell::new(0),
            due: Notify::new(),
        });
        actions.into_iter().for_each(|action| agent.act(action));
        tokio::task::spawn_local(agent.clone().take_proxy(listener));
        tokio::task::spawn_local(agent.clone().keep_time());
        let learning = agent.clone();
        tokio::task::spawn_local(async move {
            loop {
                learning.step(Event::SeedsChanged(watch.changed().await.seeds));
            }
        });
        term.recv().await;
        log::info!("agent: told to end");
        // The proxy answers what it has taken in; until then it is fed.
        let end = Instant::now() + grace.mul_f64(ENDED);
        while agent.follow.borrow().has_proxy() && Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let due = self.follow.borrow().next_deadline();
            let due = if due.is_finite() { Duration::from_secs_f64(due.max(0.0) / 1000.0) } else { REST };
            tokio::select! {
                () = sleep_until(self.started + due) => self.step(Event::Tick),
                () = self.due.notified() => {}
            }
        }
    }

    /// Tells what happened and carries out what is wanted.
    fn step(self: &Rc<Self>, event: Event) {
        let before = self.follow.borrow().next_deadline();
        let mut actions = Vec::new();
        self.follow.borrow_mut().handle(self.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.act(action));
        if self.follow.borrow().next_deadline() < before {
            self.due.notify_one();
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Connect(core) => drop(tokio::task::spawn_local(self.clone().keep_link(core))),
            Action::Reset(core) => {
                if let Some(link) = self.links.borrow().get(&core) {
                    link.end.notify_one();
                }
            }
            Action::Send { core, message: word } => {
                if let Some(link) = self.links.borrow().get(&core) {
                    // What finds no room ends the link: it is opened anew.
                    if !link.out.send(&*word) {
                        link.end.notify_one();
                    }
                }
            }
            Action::SendProxy(news) => {
                if let Some((_, out)) = &*self.proxy.borrow() {
                    out.send(&*news);
                }
            }
        }
    }

    async fn keep_link(self: Rc<Self>, core: String) {
        let Ok(address) = core.parse::<SocketAddr>() else { return };
        let addr = self.settings.inner_addr(address.ip());
        while self.follow.borrow_mut().wants_link(self.now(), &core) {
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
        let (out, from) = Outgoing::new();
        let writing = tokio::task::spawn_local(link::write(write, from));
        out.send(&Hello { purpose: Purpose::Agent as i32 });
        let end = Rc::new(Notify::new());
        self.links.borrow_mut().insert(core.to_owned(), Link { out, end: end.clone() });
        self.step(Event::LinkOpened(core.to_owned()));
        let mut incoming = Incoming::<ToAgent>::new(read);
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

    async fn take_proxy(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            tokio::task::spawn_local(self.clone().hear_proxy(stream));
        }
    }

    async fn hear_proxy(self: Rc<Self>, stream: TcpStream) {
        link::prepare(&stream);
        let (read, write) = stream.into_split();
        let (out, from) = Outgoing::new();
        let writing = tokio::task::spawn_local(link::write(write, from));
        let link = self.proxies.get() + 1;
        self.proxies.set(link);
        *self.proxy.borrow_mut() = Some((link, out));
        self.step(Event::ProxyConnected(link));
        let mut incoming = Incoming::<FromProxy>::new(read);
        while let Ok(word) = incoming.next().await {
            self.step(Event::ProxyMessage { link, message: word });
        }
        self.proxy.borrow_mut().take_if(|(of, _)| *of == link);
        self.step(Event::ProxyDisconnected(link));
        writing.abort();
    }
}
