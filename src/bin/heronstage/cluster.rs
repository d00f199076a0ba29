//! The gateway as a member of its cluster: the socket and the timers of the library's `membership`.

use crate::config;
use crate::metrics::{count, gauge};
use crate::server::DrainWatch;
use crate::status;
use cherrytally::membership::{Action, Event, Membership, State, View, DROP_REASONS, MAX_DATAGRAM_BYTES};
use cherrytally::plane::driver::Driver;
use cherrytally::plane::warning_limiter::{warn_limited, WarningLimiter};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// Datagrams read in a row, and the pause after so many: a flood takes a bounded part of the processor, and what it
/// leaves no room for is dropped by the kernel.
const BATCH: (usize, Duration) = (64, Duration::from_millis(5));
/// Tries for an address that the process beside this one still holds: so many in a period, at least and at most
/// so long apart. The others must not miss this gateway meanwhile.
const TAKEN: (u32, Duration, Duration) = (20, Duration::from_millis(5), Duration::from_millis(50));
/// A timer that rings no sooner is set anew by then.
const FAR: Duration = Duration::from_secs(3600);

/// This process as a member.
struct Member {
    machine: RefCell<Membership>,
    socket: Rc<UdpSocket>,
    born: Instant,
    /// Something came from elsewhere than the socket: the timer may have to ring sooner.
    changed: Notify,
    /// Datagrams that the socket did not take.
    unsent: Cell<u64>,
    driver: Rc<Driver>,
}

impl Member {
    fn new(
        config: &config::Cluster, socket: Rc<UdpSocket>, seed: u64, driver: Rc<Driver>,
    ) -> io::Result<Self> {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut settings = config.settings.clone();
        settings.start = start;
        let SocketAddr::V4(at) = socket.local_addr()? else { return Err(io::Error::other("no IPv4")) };
        if settings.advertise.port() == 0 {
            settings.advertise = SocketAddrV4::new(*settings.advertise.ip(), at.port());
        }
        let (name, cluster, advertise) = (&settings.name, &settings.cluster, settings.advertise);
        tracing::info!("member {name} of {cluster}, reached at {advertise}, on {at}");
        let machine = Membership::new(settings, seed ^ start, 0.0);
        let (changed, unsent) = (Notify::new(), Cell::new(0));
        Ok(Member { machine: machine.into(), socket, born: Instant::now(), changed, unsent, driver })
    }

    fn now(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1000.0
    }

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.machine.borrow_mut().handle(self.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    if self.socket.try_send_to(&bytes, to.into()).is_err() {
                        self.unsent.set(self.unsent.get() + 1);
                    }
                }
                Action::Changed { identity: who, previous: was, state, draining } => {
                    let was = was.map_or("unknown", name);
                    let drained = if draining { ", draining" } else { "" };
                    tracing::info!(
                        "member {} at {}: {was}, now {}{drained}",
                        who.name,
                        who.addr,
                        name(state)
                    );
                }
                Action::Present { count, majority } => {
                    self.driver.membership_changed(count, majority != Some(false))
                }
                Action::NotMember => self.driver.membership_changed(0, false),
                Action::Warn(line) => tracing::warn!("cluster: {line}"),
            }
        }
    }

    /// Something that came from elsewhere than the socket.
    fn tell(&self, event: Event) {
        self.handle(event);
        self.changed.notify_one();
    }

    async fn run(self: Rc<Self>) {
        let (mut buf, seldom) = ([0; MAX_DATAGRAM_BYTES + 1], WarningLimiter::default());
        loop {
            let due = self.machine.borrow().due();
            let due = self.born + Duration::from_secs_f64((due / 1000.0).clamp(0.0, 1e9));
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    if let Err(e) = ready {
                        warn_limited!(seldom, "cluster", e);
                        sleep(BATCH.1).await;
                        continue;
                    }
                    let mut read = 0;
                    // What came is heard before the timers: after a pause of this process it may refute first.
                    while let Some(length) = self.read(&mut buf, &seldom).filter(|_| read < BATCH.0) {
                        read += 1;
                        self.handle(Event::Datagram(buf[..length].to_vec()));
                    }
                    if Instant::now() >= due {
                        self.handle(Event::Due);
                    }
                    if read == BATCH.0 {
                        sleep(BATCH.1).await;
                    }
                }
                () = self.changed.notified() => {}
                () = sleep_until(due.min(Instant::now() + FAR)) => self.handle(Event::Due),
            }
        }
    }

    fn read(&self, buf: &mut [u8], seldom: &WarningLimiter) -> Option<usize> {
        match self.socket.try_recv(buf) {
            Ok(length) => Some(length),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
            Err(e) => {
                warn_limited!(seldom, "cluster", e);
                None
            }
        }
    }
}

fn name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Down => "down",
        State::Left => "left",
    }
}

/// What a configuration that was read will change, once it is taken.
pub struct Change(Turn);

enum Turn {
    /// The same member goes on.
    Stays(config::Cluster),
    /// It is none any more, or another one; with no socket the address is another process's as yet.
    Becomes(Option<(config::Cluster, Option<Rc<UdpSocket>>)>),
    Nothing,
}

/// The cluster that this process is a member of, if it is one.
pub struct Cluster {
    driver: Rc<Driver>,
    seed: u64,
    /// Another process of this gateway may hold the address.
    shared: bool,
    drains: DrainWatch,
    config: RefCell<Option<config::Cluster>>,
    member: RefCell<Option<Rc<Member>>>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Cluster {
    /// Of no cluster as yet.
    pub fn new(driver: Rc<Driver>, seed: u64, shared: bool, drains: DrainWatch) -> Rc<Self> {
        let (config, member, tasks) = Default::default();
        Rc::new(Cluster { driver, seed, shared, drains, config, member, tasks })
    }

    /// Prepares what a configuration asks for. What can fail fails here, and changes nothing.
    pub fn prepare(&self, next: Option<config::Cluster>) -> Result<Change, String> {
        let now = self.config.borrow();
        let turn = match (&*now, next) {
            (None, None) => Turn::Nothing,
            (Some(_), None) => Turn::Becomes(None),
            (Some(now), Some(next)) if now.same(&next) && *now == next => Turn::Nothing,
            (Some(now), Some(next)) if now.same(&next) => Turn::Stays(next),
            (now, Some(next)) => {
                let held = self.member.borrow().as_ref().map(|member| member.socket.clone());
                let kept = held.filter(|_| now.as_ref().is_some_and(|now| now.listen == next.listen));
                let socket = match kept {
                    Some(socket) => Some(socket),
                    None => self.bind(next.listen)?,
                };
                Turn::Becomes(Some((next, socket)))
            }
        };
        Ok(Change(turn))
    }

    /// None if the process beside this one holds the address.
    fn bind(&self, at: SocketAddrV4) -> Result<Option<Rc<UdpSocket>>, String> {
        match bind(at) {
            Ok(socket) => Ok(Some(Rc::new(socket))),
            Err(e) if self.shared && e.kind() == io::ErrorKind::AddrInUse => Ok(None),
            Err(e) => Err(format!("configuration: cluster.listen: {at}: {e}")),
        }
    }

    /// Does what was prepared.
    pub fn apply(self: &Rc<Self>, Change(turn): Change) {
        match turn {
            Turn::Nothing => {}
            Turn::Stays(next) => {
                if let Some(member) = &*self.member.borrow() {
                    member.tell(Event::Settings(next.settings.clone()));
                }
                *self.config.borrow_mut() = Some(next);
            }
            Turn::Becomes(next) => {
                self.leave();
                *self.config.borrow_mut() = next.as_ref().map(|(config, _)| config.clone());
                match next {
                    Some((config, Some(socket))) => self.join(config, socket),
                    Some((_, None)) => {
                        let cluster = self.clone();
                        self.spawn(async move { cluster.wait().await });
                    }
                    None => {}
                }
            }
        }
    }

    fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(tokio::task::spawn_local(task).abort_handle());
    }

    /// Waits for the address, as long as the process beside this one holds it.
    async fn wait(self: Rc<Self>) {
        loop {
            let Some(config) = self.config.borrow().clone() else { return };
            if let Ok(socket) = bind(config.listen) {
                return self.join(config, Rc::new(socket));
            }
            let period = Duration::from_secs_f64(config.settings.period_ms / 1000.0);
            sleep((period / TAKEN.0).clamp(TAKEN.1, TAKEN.2)).await;
        }
    }

    fn join(self: &Rc<Self>, config: config::Cluster, socket: Rc<UdpSocket>) {
        let member = match Member::new(&config, socket, self.seed, self.driver.clone()) {
            Ok(member) => Rc::new(member),
            Err(e) => return tracing::warn!("cluster: {e}"),
        };
        *self.member.borrow_mut() = Some(member.clone());
        self.spawn(member.clone().run());
        let mut drains = self.drains.clone();
        self.spawn(async move {
            loop {
                member.tell(Event::Drain(drains.draining()));
                if !drains.changed().await {
                    return;
                }
            }
        });
    }

    /// Tells the others that this process goes, and is heard no more.
    pub fn leave(&self) {
        if let Some(member) = self.member.borrow_mut().take() {
            member.handle(Event::Leave);
        }
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Leaves the address to the process beside this one, which goes on under the same name. The others are told
    /// nothing: for them nobody goes.
    pub fn hand_over(&self) {
        if self.member.borrow_mut().take().is_some() {
            tracing::info!("the cluster's address is left to the next process");
        }
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// The view, for operators; none without a cluster.
    pub fn view(&self) -> Option<View> {
        self.member.borrow().as_ref().map(|member| member.machine.borrow().view(member.now()))
    }

    /// The view in short; none without a cluster.
    pub fn members(&self) -> Option<status::Members> {
        let view = self.view()?;
        let (present, expected, majority) = (view.present, view.expected, view.majority);
        Some(status::Members { present, expected, missing: view.missing.len(), majority })
    }

    /// Puts the figures in; nothing without a cluster.
    pub fn figures(&self, into: &mut Registry) {
        let member = self.member.borrow();
        let (Some(member), Some(view)) = (&*member, self.view()) else { return };
        let machine = member.machine.borrow();
        let counts = machine.counts();
        let majority = u64::from(view.majority != Some(false));
        for (name, help, value) in [
            ("present", "Members present, this one included", view.present.into()),
            ("expected", "Members that there should be", view.expected.unwrap_or(0).into()),
            ("majority", "Whether those present are a majority of them", majority),
            ("missing", "Members that went without a word", view.missing.len() as u64),
            ("health", "0 while this process keeps time", view.health.into()),
            ("incarnation", "Its incarnation", view.incarnation.into()),
        ] {
            gauge(into, &format!("members_{name}"), help, value as i64);
        }
        for (name, help, value) in [
            ("suspicions", "Members suspected", counts.suspicions),
            ("suspicions_cleared", "Suspicions that came to nothing", counts.cleared),
            ("refutations", "Suspicions of itself that it refuted", counts.refutations),
            ("datagrams_sent", "Datagrams sent", counts.sent),
            ("bytes_sent", "Their bytes", counts.sent_bytes),
            ("datagrams_received", "Datagrams received", counts.received),
            ("bytes_received", "Their bytes", counts.received_bytes),
            ("datagrams_unsent", "Datagrams that the socket did not take", member.unsent.get()),
        ] {
            count(into, &format!("members_{name}"), help, value);
        }
        let dropped = Family::<Dropped, Counter>::default();
        for (why, reason) in DROP_REASONS {
            dropped.get_or_create(&Dropped { reason }).inc_by(counts.dropped[why as usize]);
        }
        into.register("members_datagrams_dropped", "Datagrams dropped, by reason", dropped);
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Dropped {
    reason: &'static str,
}

fn bind(at: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(at)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
