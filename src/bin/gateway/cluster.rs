//! Cluster membership: runs the library's `membership` protocol on a UDP socket and timers.

use crate::config;
use crate::logs::targets;
use crate::metrics::{register_counter, register_gauge};
use crate::server::DrainWatch;
use crate::status;
use oakfall::membership::{Action, Event, Membership, State, View, DROP_REASONS, MAX_DATAGRAM_BYTES};
use oakfall::plane::driver::Driver;
use oakfall::plane::warning_limiter::{warn_limited, WarningLimiter};
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

/// Maximum number of datagrams read before a pause. This bounds the CPU time that a flood of datagrams takes;
/// the kernel drops the excess.
const MAX_BATCH_DATAGRAMS: usize = 64;
/// Pause after a full batch or a socket error.
const BATCH_PAUSE: Duration = Duration::from_millis(5);
/// Attempts per protocol period to bind an address that the old process of an upgrade still holds. They are
/// frequent enough that the other members do not suspect this gateway in the meantime.
const BIND_ATTEMPTS_PER_PERIOD: u32 = 20;
const MIN_BIND_RETRY_DELAY: Duration = Duration::from_millis(5);
const MAX_BIND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest sleep before the timer is set again.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// This process as a cluster member.
struct Member {
    protocol: RefCell<Membership>,
    socket: Rc<UdpSocket>,
    started: Instant,
    /// Notified after an event that did not come from the socket, as the timer may have to fire earlier.
    timer_changed: Notify,
    /// Datagrams that the socket rejected.
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
        let SocketAddr::V4(local) = socket.local_addr()? else {
            return Err(io::Error::other("the socket's address is not IPv4"));
        };
        if settings.advertise.port() == 0 {
            settings.advertise = SocketAddrV4::new(*settings.advertise.ip(), local.port());
        }
        let (name, cluster, advertise) = (&settings.name, &settings.cluster, settings.advertise);
        tracing::info!(
            target: targets::CLUSTER,
            "member {name} of {cluster}, reached at {advertise}, on {local}"
        );
        let protocol = Membership::new(settings, seed ^ start, 0.0);
        let (timer_changed, unsent) = (Notify::new(), Cell::new(0));
        Ok(Member {
            protocol: protocol.into(),
            socket,
            started: Instant::now(),
            timer_changed,
            unsent,
            driver,
        })
    }

    /// The protocol's current time, in ms.
    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.protocol.borrow_mut().handle(self.now_ms(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    if self.socket.try_send_to(&bytes, to.into()).is_err() {
                        self.unsent.set(self.unsent.get() + 1);
                    }
                }
                Action::Changed { identity, previous, state, draining } => {
                    let previous = previous.map_or("unknown", state_name);
                    let drain_suffix = if draining { ", draining" } else { "" };
                    tracing::info!(
                        target: targets::CLUSTER,
                        "member {} at {}: {previous}, now {}{drain_suffix}",
                        identity.name,
                        identity.addr,
                        state_name(state)
                    );
                }
                Action::Present { count, majority } => {
                    self.driver.membership_changed(count, majority != Some(false))
                }
                Action::NotMember => self.driver.membership_changed(0, false),
                Action::Warn(line) => tracing::warn!(target: targets::CLUSTER, "cluster: {line}"),
            }
        }
    }

    /// Handles an event that did not come from the socket.
    fn handle_local(&self, event: Event) {
        self.handle(event);
        self.timer_changed.notify_one();
    }

    async fn run(self: Rc<Self>) {
        let (mut buf, warnings) = ([0; MAX_DATAGRAM_BYTES + 1], WarningLimiter::default());
        loop {
            let due = self.protocol.borrow().due();
            let due = self.started + Duration::from_secs_f64((due / 1000.0).clamp(0.0, 1e9));
            tokio::select! {
                biased;
                ready = self.socket.readable() => {
                    if let Err(e) = ready {
                        warn_limited!(targets::CLUSTER, warnings, "cluster", e);
                        sleep(BATCH_PAUSE).await;
                        continue;
                    }
                    let mut read = 0;
                    // Datagrams are handled before timers, so that after a stall this process refutes suspicions
                    // of itself before it acts on expired timeouts.
                    while let Some(length) = self.read(&mut buf, &warnings).filter(|_| read < MAX_BATCH_DATAGRAMS) {
                        read += 1;
                        self.handle(Event::Datagram(buf[..length].to_vec()));
                    }
                    if Instant::now() >= due {
                        self.handle(Event::Due);
                    }
                    if read == MAX_BATCH_DATAGRAMS {
                        sleep(BATCH_PAUSE).await;
                    }
                }
                () = self.timer_changed.notified() => {}
                () = sleep_until(due.min(Instant::now() + MAX_SLEEP)) => self.handle(Event::Due),
            }
        }
    }

    /// Reads one datagram; none if there is none or the socket failed.
    fn read(&self, buf: &mut [u8], warnings: &WarningLimiter) -> Option<usize> {
        match self.socket.try_recv(buf) {
            Ok(length) => Some(length),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
            Err(e) => {
                warn_limited!(targets::CLUSTER, warnings, "cluster", e);
                None
            }
        }
    }
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Down => "down",
        State::Left => "left",
    }
}

/// A prepared change of the cluster configuration.
pub struct PreparedChange(Change);

enum Change {
    /// The member keeps its identity and gets new settings.
    Update(config::Cluster),
    /// The process leaves, and joins under a new identity if there is one. Without a socket, another process
    /// still holds the address.
    Replace(Option<(config::Cluster, Option<Rc<UdpSocket>>)>),
    Unchanged,
}

/// This process's membership of a cluster, if one is configured.
pub struct Cluster {
    driver: Rc<Driver>,
    seed: u64,
    /// Whether another process of this gateway may hold the address.
    shared: bool,
    drain: DrainWatch,
    config: RefCell<Option<config::Cluster>>,
    member: RefCell<Option<Rc<Member>>>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Cluster {
    /// Creates the state of a process that is not in a cluster yet.
    pub fn new(driver: Rc<Driver>, seed: u64, shared: bool, drain: DrainWatch) -> Rc<Self> {
        let (config, member, tasks) = Default::default();
        Rc::new(Cluster { driver, seed, shared, drain, config, member, tasks })
    }

    /// Prepares a change to a new configuration. All steps that can fail are done here; an error changes
    /// nothing.
    pub fn prepare(&self, next: Option<config::Cluster>) -> Result<PreparedChange, String> {
        let current = self.config.borrow();
        let change = match (&*current, next) {
            (None, None) => Change::Unchanged,
            (Some(_), None) => Change::Replace(None),
            (Some(current), Some(next)) if current.same(&next) && *current == next => Change::Unchanged,
            (Some(current), Some(next)) if current.same(&next) => Change::Update(next),
            (current, Some(next)) => {
                let open = self.member.borrow().as_ref().map(|member| member.socket.clone());
                let reused =
                    open.filter(|_| current.as_ref().is_some_and(|current| current.listen == next.listen));
                let socket = match reused {
                    Some(socket) => Some(socket),
                    None => self.bind(next.listen)?,
                };
                Change::Replace(Some((next, socket)))
            }
        };
        Ok(PreparedChange(change))
    }

    /// Binds the cluster socket; none if another process of this gateway holds the address.
    fn bind(&self, at: SocketAddrV4) -> Result<Option<Rc<UdpSocket>>, String> {
        match bind(at) {
            Ok(socket) => Ok(Some(Rc::new(socket))),
            Err(e) if self.shared && e.kind() == io::ErrorKind::AddrInUse => Ok(None),
            Err(e) => Err(format!("configuration: cluster.listen: {at}: {e}")),
        }
    }

    /// Applies a prepared change.
    pub fn apply(self: &Rc<Self>, PreparedChange(change): PreparedChange) {
        match change {
            Change::Unchanged => {}
            Change::Update(next) => {
                if let Some(member) = &*self.member.borrow() {
                    member.handle_local(Event::Settings(next.settings.clone()));
                }
                *self.config.borrow_mut() = Some(next);
            }
            Change::Replace(next) => {
                self.leave();
                *self.config.borrow_mut() = next.as_ref().map(|(config, _)| config.clone());
                match next {
                    Some((config, Some(socket))) => self.join(config, socket),
                    Some((_, None)) => {
                        let cluster = self.clone();
                        self.spawn(async move { cluster.join_when_bound().await });
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

    /// Joins once the address can be bound, after the old process of an upgrade has released it.
    async fn join_when_bound(self: Rc<Self>) {
        loop {
            let Some(config) = self.config.borrow().clone() else { return };
            if let Ok(socket) = bind(config.listen) {
                return self.join(config, Rc::new(socket));
            }
            let period = Duration::from_secs_f64(config.settings.period_ms / 1000.0);
            let delay = period / BIND_ATTEMPTS_PER_PERIOD;
            sleep(delay.clamp(MIN_BIND_RETRY_DELAY, MAX_BIND_RETRY_DELAY)).await;
        }
    }

    fn join(self: &Rc<Self>, config: config::Cluster, socket: Rc<UdpSocket>) {
        let member = match Member::new(&config, socket, self.seed, self.driver.clone()) {
            Ok(member) => Rc::new(member),
            Err(e) => return tracing::warn!(target: targets::CLUSTER, "cluster: {e}"),
        };
        *self.member.borrow_mut() = Some(member.clone());
        self.spawn(member.clone().run());
        let mut drain = self.drain.clone();
        self.spawn(async move {
            loop {
                member.handle_local(Event::Drain(drain.draining()));
                if !drain.changed().await {
                    return;
                }
            }
        });
    }

    /// Leaves the cluster: announces the departure to other members and stops the protocol.
    pub fn leave(&self) {
        if let Some(member) = self.member.borrow_mut().take() {
            member.handle(Event::Leave);
        }
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Stops the protocol and releases the address without announcing a departure, as the new process of an
    /// upgrade continues under the same name.
    pub fn hand_over(&self) {
        if self.member.borrow_mut().take().is_some() {
            tracing::info!(target: targets::CLUSTER, "the cluster address is released for the new process");
        }
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// This member's view of the cluster; none without one.
    pub fn view(&self) -> Option<View> {
        self.member.borrow().as_ref().map(|member| member.protocol.borrow().view(member.now_ms()))
    }

    /// Summary of the view; none without a cluster.
    pub fn members(&self) -> Option<status::MembershipSummary> {
        let view = self.view()?;
        let (present, expected, majority) = (view.present, view.expected, view.majority);
        Some(status::MembershipSummary { present, expected, missing: view.missing.len(), majority })
    }

    /// Registers the membership metrics with their current values; none without a cluster.
    pub fn register_metrics(&self, registry: &mut Registry) {
        let member = self.member.borrow();
        let (Some(member), Some(view)) = (&*member, self.view()) else { return };
        let protocol = member.protocol.borrow();
        let counts = protocol.counts();
        let majority = u64::from(view.majority != Some(false));
        for (name, help, value) in [
            ("present", "Members present, including this one", view.present.into()),
            ("expected", "Expected cluster size, 0 if not configured", view.expected.unwrap_or(0).into()),
            (
                "majority",
                "0 if the members present are not a majority of the expected size, otherwise 1",
                majority,
            ),
            ("missing", "Members that failed and have not returned", view.missing.len() as u64),
            (
                "health",
                "Local health score: 0 is healthy, higher means that this process is slow",
                view.health.into(),
            ),
            ("incarnation", "Incarnation number of this member", view.incarnation.into()),
        ] {
            register_gauge(registry, &format!("members_{name}"), help, value as i64);
        }
        for (name, help, value) in [
            ("suspicions", "Suspicions of other members", counts.suspicions),
            ("suspicions_cleared", "Suspicions of other members that were refuted", counts.cleared),
            ("refutations", "Reports about this member that it refuted", counts.refutations),
            ("datagrams_sent", "Datagrams sent", counts.sent),
            ("bytes_sent", "Bytes of datagrams sent", counts.sent_bytes),
            ("datagrams_received", "Datagrams received", counts.received),
            ("bytes_received", "Bytes of datagrams received", counts.received_bytes),
            ("datagrams_unsent", "Datagrams that the socket rejected", member.unsent.get()),
        ] {
            register_counter(registry, &format!("members_{name}"), help, value);
        }
        let dropped = Family::<DropLabels, Counter>::default();
        for (reason, name) in DROP_REASONS {
            let labels = DropLabels { reason: name };
            dropped.get_or_create(&labels).inc_by(counts.dropped[reason as usize]);
        }
        registry.register("members_datagrams_dropped", "Datagrams dropped, by reason", dropped);
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct DropLabels {
    reason: &'static str,
}

fn bind(at: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(at)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
