//! The sockets and the clock of the agent beside a proxy. All decisions are made by [`AgentStateMachine`].

use crate::agent_state::{Action, AgentStateMachine, Event};
use crate::link::{self, MessageReader, MessageSender};
use crate::protocol::{FromProxy, Hello, Purpose, ToAgent};
use crate::settings::{Settings, Watch};
use eyre::{Result, WrapErr};
use oakfall::Millis;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// Interval between attempts to connect to a core process.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between ticks while no deadline is set.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(60);

/// The address at which an agent accepts its proxy: loopback, on the port after the first inner port.
pub fn proxy_listen_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), settings.inner_ports.0 + 1)
}

/// A link to a core process.
struct Link {
    out: MessageSender,
    /// Closes the link.
    close: Rc<Notify>,
}

/// The runtime of an agent.
pub struct Agent {
    settings: Settings,
    started: Instant,
    state_machine: RefCell<AgentStateMachine>,
    links: RefCell<BTreeMap<String, Link>>,
    /// The link to the proxy, with its number.
    proxy: RefCell<Option<(u64, MessageSender)>>,
    /// The number of the last link from a proxy.
    last_proxy_link: Cell<u64>,
    /// The next deadline has become earlier.
    deadline_changed: Notify,
}

/// Fraction of `grace` within which an agent and its proxy stop.
pub const STOP_GRACE_FRACTION: f64 = 0.95;

impl Agent {
    /// Runs an agent until it receives SIGTERM and its proxy has stopped.
    pub async fn run(settings: Settings, mut watch: Watch) -> Result<()> {
        let mut sigterm = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        let listener = TcpListener::bind(proxy_listen_address(&settings))
            .await
            .wrap_err("cannot listen for the proxy")?;
        let grace = settings.bounds.grace;
        let mut actions = Vec::new();
        let agent = Rc::new(Agent {
            state_machine: RefCell::new(AgentStateMachine::new(&settings, 0.0, &mut actions)),
            settings,
            started: Instant::now(),
            links: RefCell::default(),
            proxy: RefCell::default(),
            last_proxy_link: Cell::new(0),
            deadline_changed: Notify::new(),
        });
        actions.into_iter().for_each(|action| agent.act(action));
        tokio::task::spawn_local(agent.clone().accept_proxies(listener));
        tokio::task::spawn_local(agent.clone().run_timer());
        let seed_watcher = agent.clone();
        tokio::task::spawn_local(async move {
            loop {
                seed_watcher.step(Event::SeedsChanged(watch.changed().await.seeds));
            }
        });
        sigterm.recv().await;
        log::info!("agent: received SIGTERM; shutting down");
        // The proxy needs updates until it has drained.
        let deadline = Instant::now() + grace.mul_f64(STOP_GRACE_FRACTION);
        while agent.state_machine.borrow().has_proxy() && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            let deadline = self.state_machine.borrow().next_deadline();
            let due = if deadline.is_finite() {
                Duration::from_secs_f64(deadline.max(0.0) / 1000.0)
            } else {
                IDLE_TICK_INTERVAL
            };
            tokio::select! {
                () = sleep_until(self.started + due) => self.step(Event::Tick),
                () = self.deadline_changed.notified() => {}
            }
        }
    }

    /// Passes an event to the state machine and carries out the resulting actions.
    fn step(self: &Rc<Self>, event: Event) {
        let before = self.state_machine.borrow().next_deadline();
        let mut actions = Vec::new();
        self.state_machine.borrow_mut().handle(self.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.act(action));
        if self.state_machine.borrow().next_deadline() < before {
            self.deadline_changed.notify_one();
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Connect(core) => drop(tokio::task::spawn_local(self.clone().maintain_link(core))),
            Action::Reset(core) => {
                if let Some(link) = self.links.borrow().get(&core) {
                    link.close.notify_one();
                }
            }
            Action::Send { core, message } => {
                if let Some(link) = self.links.borrow().get(&core) {
                    // A link whose queue is full is closed and opened again.
                    if !link.out.send(&*message) {
                        link.close.notify_one();
                    }
                }
            }
            Action::SendProxy(message) => {
                if let Some((_, out)) = &*self.proxy.borrow() {
                    out.send(&*message);
                }
            }
        }
    }

    async fn maintain_link(self: Rc<Self>, core: String) {
        let Ok(address) = core.parse::<SocketAddr>() else { return };
        let addr = self.settings.inner_addr(address.ip());
        while self.state_machine.borrow_mut().wants_link(self.now(), &core) {
            if let Ok(stream) = link::connect(addr).await {
                // Any error closes the link, and it is opened again.
                let _ = self.run_link(&core, stream).await;
                self.links.borrow_mut().remove(&core);
                self.step(Event::LinkClosed(core.clone()));
            }
            sleep(RECONNECT_INTERVAL).await;
        }
    }

    async fn run_link(self: &Rc<Self>, core: &str, stream: TcpStream) -> std::io::Result<()> {
        let (read, write) = stream.into_split();
        let (out, queue) = MessageSender::new();
        let writer = tokio::task::spawn_local(link::write(write, queue));
        out.send(&Hello { purpose: Purpose::Agent as i32 });
        let close = Rc::new(Notify::new());
        self.links.borrow_mut().insert(core.to_owned(), Link { out, close: close.clone() });
        self.step(Event::LinkOpened(core.to_owned()));
        let mut incoming = MessageReader::<ToAgent>::new(read);
        let result = loop {
            let received = tokio::select! {
                received = incoming.next() => received,
                () = close.notified() => break Ok(()),
            };
            match received {
                Ok(message) => {
                    self.step(Event::CoreMessage { core: core.to_owned(), message: Box::new(message) })
                }
                Err(e) => break Err(e),
            }
        };
        writer.abort();
        result
    }

    async fn accept_proxies(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            tokio::task::spawn_local(self.clone().serve_proxy(stream));
        }
    }

    async fn serve_proxy(self: Rc<Self>, stream: TcpStream) {
        link::set_socket_options(&stream);
        let (read, write) = stream.into_split();
        let (out, queue) = MessageSender::new();
        let writer = tokio::task::spawn_local(link::write(write, queue));
        let link = self.last_proxy_link.get() + 1;
        self.last_proxy_link.set(link);
        *self.proxy.borrow_mut() = Some((link, out));
        self.step(Event::ProxyConnected(link));
        let mut incoming = MessageReader::<FromProxy>::new(read);
        while let Ok(message) = incoming.next().await {
            self.step(Event::ProxyMessage { link, message });
        }
        self.proxy.borrow_mut().take_if(|(current, _)| *current == link);
        self.step(Event::ProxyDisconnected(link));
        writer.abort();
    }
}
