//! Cluster membership and failure detection: SWIM (Das, Gupta and Motivala, 2002) with suspicion, refutation
//! by incarnation, piggybacked gossip, and Lifeguard's local health (Dadgar, Phillips and Currey, 2017).
//!
//! The protocol does no I/O and reads no clock: datagrams and time come in as [`Event`]s, datagrams and
//! membership changes go out as [`Action`]s. `docs/membership.md` states its guarantees.

mod full_sync;
mod probe;
mod table;
mod update_queue;
mod wire;

pub use wire::{DropReason, DROP_REASONS, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_START_UNIX_MS};

use crate::interface::Millis;
use full_sync::{FullSync, TokenBucket};
use probe::{Probe, Relay};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use table::Member;
use update_queue::UpdateQueue;
use wire::{Body, Datagram};

/// A member's name.
pub type Name = Arc<str>;

/// Upper limit on other members in the table; records of further ones are dropped.
pub const MAX_MEMBERS: usize = 1024;
/// Minimum suspicion timeout in periods, scaled by the decimal logarithm of the member count, as gossip takes
/// that long to reach all members.
const MIN_SUSPICION_PERIODS: f64 = 4.0;
/// Maximum suspicion timeout, as a multiple of the minimum; it applies while only one member suspects.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Independent confirmations that bring the suspicion timeout down to its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Pings sent to a suspected member after its suspicion timeout, one probe timeout apart, before it is
/// declared down.
const FINAL_PINGS: u32 = 2;
/// Sequence number of datagrams that expect no answer.
const NO_SEQ: u32 = 0;
/// Transmissions of each update, scaled by the decimal logarithm of the member count and rounded up.
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Random members that receive each round of gossip.
const GOSSIP_FANOUT: usize = 3;
/// Gossip rounds in a period.
const GOSSIP_PER_PERIOD: f64 = 5.0;
/// Members asked to probe a target that does not answer.
const INDIRECT_PROBES: usize = 3;
/// Upper limit of the local health score; timeouts and periods are multiplied by the score plus one.
const MAX_HEALTH: u32 = 8;
/// Records of members that are down or have left are kept for this many periods, so that stale gossip does
/// not revive them.
const TOMBSTONE_PERIODS: f64 = 60.0;
/// Random share added to or subtracted from each period, so that members do not probe in step.
const PERIOD_JITTER: f64 = 0.1;
/// Periods before the first full-state sync. The interval doubles with each sync, as views are least complete
/// while many members join at once.
const MIN_SYNC_PERIODS: f64 = 2.0;
/// Upper limit of the interval between full-state syncs, in periods.
const MAX_SYNC_PERIODS: f64 = 30.0;
/// Periods between attempts to reach members that are down and seeds that are not present.
const RECONNECT_PERIODS: f64 = 10.0;
/// Above this many members the interval between such attempts grows in proportion to the cluster.
const RECONNECT_SCALE_MEMBERS: f64 = 32.0;
/// Upper limit of the interval between join attempts, which starts at one period and doubles each time.
const MAX_JOIN_PERIODS: f64 = 32.0;
/// Addresses contacted in each join attempt.
const JOIN_FANOUT: usize = 3;
/// Members to which a leaving process announces its departure.
const LEAVE_FANOUT: usize = 16;
/// Rate limit and burst of all received datagrams, per period.
const INTAKE_PER_PERIOD: f64 = 2000.0;
/// Rate limit and burst of datagrams from one member, per period.
const MEMBER_INTAKE_PER_PERIOD: f64 = 20.0;
/// Rate limit and burst of datagrams from all unknown senders, per period.
const UNKNOWN_INTAKE_PER_PERIOD: f64 = 100.0;
/// Rate limit and burst of full-state pages sent, per period.
const PAGES_PER_PERIOD: f64 = 100.0;

/// Settings of a member, given at startup and replaced by a reload.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name; datagrams of other clusters are dropped.
    pub cluster: String,
    /// This member's name, stable across restarts.
    pub name: String,
    /// Address at which other members reach this one.
    pub advertise: SocketAddrV4,
    /// Start time as Unix time in ms; of two processes with one name, the later start wins.
    pub start: u64,
    /// Addresses contacted in order to join.
    pub seeds: Vec<SocketAddrV4>,
    /// Protocol period, in ms: each member sends one probe in it.
    pub period_ms: f64,
    /// Time without an ack after which a probe becomes indirect, in ms.
    pub timeout_ms: f64,
    /// Expected cluster size, this member included.
    pub expected: Option<u32>,
}

/// State of a member as seen by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Present.
    Alive,
    /// Present, but a probe of it by at least one member failed.
    Suspect,
    /// Declared failed.
    Down,
    /// Left the cluster in order.
    Left,
}

impl State {
    /// True while the member counts towards the cluster size.
    pub fn present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// Identifies one process of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The member's name.
    pub name: Name,
    /// The member's address.
    pub addr: SocketAddrV4,
    /// Start time, as Unix time in ms.
    pub start: u64,
}

/// A membership update, as carried by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The process that it describes.
    pub identity: Identity,
    /// Incarnation number, which only the member itself increments.
    pub incarnation: u32,
    /// The member's state.
    pub state: State,
    /// True while the member is drained.
    pub draining: bool,
    /// Digest of the name of the member that suspects it; 0 unless it is suspected.
    pub accuser: u32,
}

/// Input to the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A datagram was received.
    Datagram(Vec<u8>),
    /// The time returned by [`Membership::due`] has been reached.
    Due,
    /// The process starts (true) or stops (false) draining.
    Drain(bool),
    /// New settings. Cluster, name, address and start time keep their values, as they identify the member.
    Settings(Settings),
    /// The process leaves the cluster.
    Leave,
}

/// Output of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination.
        to: SocketAddrV4,
        /// Payload.
        bytes: Vec<u8>,
    },
    /// A member's process, state or drain flag changed.
    Changed {
        /// The member's process.
        identity: Identity,
        /// The previous state, if the member was known.
        previous: Option<State>,
        /// The member's state.
        state: State,
        /// Whether the member is drained.
        draining: bool,
    },
    /// The cluster size, or whether it is a majority, changed.
    Present {
        /// Members present, this one included.
        count: u32,
        /// Whether these are a majority of the expected size, if one is set.
        majority: Option<bool>,
    },
    /// This process is no longer a member, and its view is no longer valid.
    NotMember,
    /// A message to log as a warning.
    Warn(String),
}

/// This process's own membership.
#[derive(Clone, Debug, PartialEq)]
enum LocalStatus {
    Member,
    /// Another process with this name and a later start was reported. Unless it sends a datagram before the
    /// given time, this process takes the name over.
    Contested(Identity, Millis),
    /// That process exists; this one stays out of the cluster.
    Displaced(Identity),
    Left,
}

/// How this process received a record.
#[derive(Clone, Copy)]
enum UpdateSource {
    /// From the member itself or by gossip.
    Gossip,
    /// In a full-state sync with the member `accuser`; `joins` if this process had no members when it asked.
    Page { accuser: u32, joins: bool },
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Transitions of members to `Suspect` in this member's view.
    pub suspicions: u64,
    /// Suspicions that were refuted.
    pub cleared: u64,
    /// Updates about this member that it refuted.
    pub refutations: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams dropped, indexed by reason in the order of [`DROP_REASONS`].
    pub dropped: [u64; DROP_REASONS.len()],
}

/// A member as shown to operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct MemberView {
    /// The member's name.
    pub name: Name,
    /// The member's address.
    pub addr: SocketAddrV4,
    /// Start time, as Unix time in ms.
    pub start: u64,
    /// Incarnation number.
    pub incarnation: u32,
    /// The member's state.
    pub state: State,
    /// Whether the member is drained.
    pub draining: bool,
    /// Time since the state last changed, in ms.
    pub for_ms: u64,
}

/// Snapshot of this member's view of the cluster.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct View {
    /// The cluster's name.
    pub cluster: String,
    /// This member's name.
    pub name: Name,
    /// The member's address.
    pub addr: SocketAddrV4,
    /// Start time, as Unix time in ms.
    pub start: u64,
    /// Incarnation number.
    pub incarnation: u32,
    /// `member`, `contested`, `displaced` or `left`.
    pub standing: &'static str,
    /// Address of another process with the same name, if there is one.
    pub rival: Option<SocketAddrV4>,
    /// Whether the member is drained.
    pub draining: bool,
    /// Members present, this one included.
    pub present: u32,
    /// Expected cluster size.
    pub expected: Option<u32>,
    /// Whether those present are a majority of the expected size.
    pub majority: Option<bool>,
    /// Local health score: 0 is healthy, a higher score means that this process itself is slow.
    pub health: u32,
    /// Names of members that failed and have not returned.
    pub missing: Vec<Name>,
    /// All other members known.
    pub members: Vec<MemberView>,
}

/// The protocol state of one member.
pub struct Membership {
    settings: Settings,
    cluster: u64,
    rng: fastrand::Rng,
    local: Identity,
    incarnation: u32,
    draining: bool,
    /// The highest incarnation of this process that others declared down.
    last_down_incarnation: Option<u32>,
    status: LocalStatus,
    members: BTreeMap<Name, Member>,
    suspects: BTreeSet<Name>,
    /// Members present, in the order in which they are probed.
    probe_order: Vec<Name>,
    /// Index in `probe_order` of the next member to probe.
    next_probe: usize,
    /// Addresses of members pruned after they went down, and when they did.
    pruned_down: BTreeMap<Name, (SocketAddrV4, Millis)>,
    probe: Option<Probe>,
    probe_at: Millis,
    relays: VecDeque<Relay>,
    updates: UpdateQueue,
    gossip_at: Millis,
    sync: Option<FullSync>,
    sync_at: Millis,
    /// Periods from one full-state sync to the next.
    sync_interval_periods: f64,
    /// Member to pull from in the next sync.
    next_sync_with: Option<SocketAddrV4>,
    reconnect_at: Millis,
    /// Consecutive join attempts.
    join_attempts: u32,
    prune_at: Millis,
    health: u32,
    seq: u32,
    intake: TokenBucket,
    unknown_intake: TokenBucket,
    page_limit: TokenBucket,
    counts: Counts,
    reported: Option<(u32, Option<bool>)>,
}

impl Membership {
    /// Creates a member that starts now and knows only its seeds.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let local = Identity {
            name: settings.name.as_str().into(),
            addr: settings.advertise,
            start: settings.start.min(MAX_START_UNIX_MS),
        };
        let period = settings.period_ms;
        Membership {
            cluster: wire::digest(&settings.cluster),
            local,
            incarnation: 0,
            draining: false,
            last_down_incarnation: None,
            status: LocalStatus::Member,
            members: BTreeMap::new(),
            suspects: BTreeSet::new(),
            probe_order: Vec::new(),
            next_probe: 0,
            pruned_down: BTreeMap::new(),
            probe: None,
            // Spreads out processes that start together.
            probe_at: now + rng.f64() * period,
            relays: VecDeque::new(),
            updates: UpdateQueue::default(),
            gossip_at: now,
            sync: None,
            sync_at: now + (0.5 + rng.f64()) * MIN_SYNC_PERIODS * period,
            sync_interval_periods: MIN_SYNC_PERIODS,
            next_sync_with: None,
            reconnect_at: now + rng.f64() * period,
            join_attempts: 0,
            prune_at: now + TOMBSTONE_PERIODS / 6.0 * period,
            health: 0,
            seq: rng.u32(..),
            intake: TokenBucket::new(INTAKE_PER_PERIOD, now),
            unknown_intake: TokenBucket::new(UNKNOWN_INTAKE_PER_PERIOD, now),
            page_limit: TokenBucket::new(PAGES_PER_PERIOD, now),
            counts: Counts::default(),
            reported: None,
            settings,
            rng,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Datagram(bytes) => {
                self.counts.received += 1;
                self.counts.received_bytes += bytes.len() as u64;
                if let Err(reason) = self.on_datagram(now, &bytes, actions) {
                    self.counts.dropped[reason as usize] += 1;
                }
            }
            Event::Due => self.on_due(now, actions),
            Event::Drain(draining) => {
                if std::mem::replace(&mut self.draining, draining) != draining {
                    // Others accept the changed flag only with a higher incarnation.
                    self.set_incarnation(self.incarnation + 1);
                }
            }
            Event::Settings(settings) => {
                let (name, advertise, start, cluster) = (
                    std::mem::take(&mut self.settings.name),
                    self.settings.advertise,
                    self.settings.start,
                    std::mem::take(&mut self.settings.cluster),
                );
                self.settings = Settings { name, advertise, start, cluster, ..settings };
                // Timers set with the former period must not outlast the new one.
                let period = self.settings.period_ms;
                self.probe_at = self.probe_at.min(now + period);
                self.reconnect_at = self.reconnect_at.min(now + self.rng.f64() * period);
                self.sync_at = self.sync_at.min(now + MAX_SYNC_PERIODS * period);
                self.prune_at = self.prune_at.min(now + TOMBSTONE_PERIODS / 6.0 * period);
            }
            Event::Leave => self.leave(actions),
        }
        // An update queued after a quiet time is sent at once, and its timer does not count as late.
        self.gossip_at = self.gossip_at.max(now);
        let present = (matches!(self.status, LocalStatus::Member)).then(|| (self.present(), self.majority()));
        if self.reported != present {
            self.reported = present;
            actions.push(match present {
                Some((count, majority)) => Action::Present { count, majority },
                None => Action::NotMember,
            });
        }
    }

    /// Time at which the next [`Event::Due`] must be given.
    pub fn due(&self) -> Millis {
        let mut due = match self.status {
            LocalStatus::Member => self.probe_at.min(self.reconnect_at).min(self.sync_at).min(self.prune_at),
            LocalStatus::Contested(..) => return self.probe_at,
            LocalStatus::Displaced(_) | LocalStatus::Left => return Millis::INFINITY,
        };
        if let Some(probe) = &self.probe {
            due = due.min(probe.due());
        }
        if self.updates.len() > 0 && !self.probe_order.is_empty() {
            due = due.min(self.gossip_at);
        }
        let relays = self.relays.iter().map(Relay::due);
        let suspects =
            self.suspects.iter().filter_map(|name| self.members.get(name)).map(Member::suspicion_deadline);
        let sync = self.sync.iter().map(|sync| sync.deadline);
        relays.chain(suspects).chain(sync).fold(due, f64::min)
    }

    /// Number of members present, this one included.
    pub fn present(&self) -> u32 {
        self.probe_order.len() as u32 + 1
    }

    /// Whether those present are a majority of those expected.
    pub fn majority(&self) -> Option<bool> {
        self.settings.expected.map(|expected| u64::from(self.present()) * 2 > u64::from(expected))
    }

    /// Counters since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Snapshot of the current view.
    pub fn view(&self, now: Millis) -> View {
        let (standing, rival) = match &self.status {
            LocalStatus::Member => ("member", None),
            LocalStatus::Contested(rival, _) => ("contested", Some(rival.addr)),
            LocalStatus::Displaced(rival) => ("displaced", Some(rival.addr)),
            LocalStatus::Left => ("left", None),
        };
        let down = self.members.iter().filter(|(_, m)| m.record.state == State::Down).map(|(name, _)| name);
        let missing: BTreeSet<_> = down.chain(self.pruned_down.keys()).cloned().collect();
        View {
            cluster: self.settings.cluster.clone(),
            name: self.local.name.clone(),
            addr: self.local.addr,
            start: self.local.start,
            incarnation: self.incarnation,
            standing,
            rival,
            draining: self.draining,
            present: self.present(),
            expected: self.settings.expected,
            majority: self.majority(),
            health: self.health,
            missing: missing.into_iter().collect(),
            members: self.members.values().map(|member| member.snapshot(now)).collect(),
        }
    }

    /// This member's record of itself.
    fn local_record(&self) -> Record {
        let state = if self.status == LocalStatus::Left { State::Left } else { State::Alive };
        let (identity, incarnation, draining) = (self.local.clone(), self.incarnation, self.draining);
        Record { identity, incarnation, state, draining, accuser: 0 }
    }

    /// Multiplier of this process's own periods and timeouts, by its local health.
    fn health_factor(&self) -> f64 {
        f64::from(self.health + 1)
    }

    /// Decimal logarithm of the member count, at least 1; dissemination time is proportional to it.
    fn log_scale(&self) -> f64 {
        f64::from(self.present()).log10().max(1.0)
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1).max(NO_SEQ + 1);
        self.seq
    }

    fn send_bytes(&mut self, to: SocketAddrV4, bytes: Vec<u8>, actions: &mut Vec<Action>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        actions.push(Action::Send { to, bytes });
    }

    /// Sends a datagram with the record of `about`, if given, then as many queued updates as fit.
    fn send(
        &mut self, to: SocketAddrV4, seq: u32, body: Body, about: Option<&Name>, actions: &mut Vec<Action>,
    ) {
        let datagram =
            Datagram { cluster: self.cluster, seq, sender: self.local_record(), body, updates: Vec::new() };
        let mut bytes = datagram.encode_header();
        // While members are joining, the cluster is larger than the view.
        let cluster_size = self.present().max(self.settings.expected.unwrap_or(0).min(MAX_MEMBERS as u32));
        let transmissions = (RETRANSMIT_FACTOR * f64::from(cluster_size).log10().max(1.0)).ceil() as u32;
        let (members, mut encoded) = (&self.members, Vec::with_capacity(128));
        if let Some(member) = about.and_then(|name| members.get(name)) {
            wire::encode_record(&mut bytes, &member.record);
        }
        self.updates.transmit(transmissions, |name| {
            // This member's own record is in the header, and that of `about` has been added.
            let Some(member) = members.get(name).filter(|_| Some(name) != about) else { return true };
            encoded.clear();
            wire::encode_record(&mut encoded, &member.record);
            let fits = bytes.len() + encoded.len() <= MAX_DATAGRAM_BYTES;
            if fits {
                bytes.extend_from_slice(&encoded);
            }
            fits
        });
        self.send_bytes(to, bytes, actions);
    }

    /// Up to `count` random members present, except `excluded`.
    fn random_members(&mut self, count: usize, excluded: Option<&Name>) -> Vec<Name> {
        let mut chosen: Vec<Name> = Vec::with_capacity(count);
        // A small cluster is scanned; in a larger one a few random draws suffice.
        if self.probe_order.len() <= count + 1 {
            chosen
                .extend(self.probe_order.iter().filter(|name| Some(*name) != excluded).take(count).cloned());
        } else {
            for _ in 0..4 * count {
                let name = &self.probe_order[self.rng.usize(..self.probe_order.len())];
                if Some(name) != excluded && !chosen.contains(name) {
                    chosen.push(name.clone());
                    if chosen.len() == count {
                        break;
                    }
                }
            }
        }
        chosen
    }

    fn on_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let late = now - self.due();
        if late < 0.0 {
            return;
        }
        match self.status {
            LocalStatus::Member => {}
            LocalStatus::Contested(..) => return self.contest_name(now, actions),
            LocalStatus::Displaced(_) | LocalStatus::Left => return,
        }
        if late > self.settings.timeout_ms.max(self.settings.period_ms / 2.0) {
            self.on_stall(now, late, actions);
        }
        self.relay_due(now, actions);
        self.probe_due(now, actions);
        self.expire_suspicions(now, actions);
        self.sync_due(now, actions);
        if self.updates.len() > 0 && now >= self.gossip_at {
            self.gossip_at = now + self.settings.period_ms / GOSSIP_PER_PERIOD;
            for name in self.random_members(GOSSIP_FANOUT, None) {
                let Some(to) = self.members.get(&name).map(|m| m.record.identity.addr) else { continue };
                self.send(
                    to,
                    NO_SEQ,
                    Body::Gossip,
                    Some(&name).filter(|name| self.suspects.contains(*name)),
                    actions,
                );
            }
        }
        if now >= self.prune_at {
            self.prune_at = now + TOMBSTONE_PERIODS / 6.0 * self.settings.period_ms;
            self.prune(now);
        }
    }

    /// Handles a pause of this process: extends suspicion timeouts and discards probes, since answers may
    /// have been missed.
    fn on_stall(&mut self, now: Millis, late: Millis, actions: &mut Vec<Action>) {
        self.degrade_health();
        if late > MIN_SUSPICION_PERIODS * self.settings.period_ms {
            let seconds = late / 1000.0;
            actions.push(Action::Warn(format!(
                "this process was paused for {seconds:.1} s: other members may have declared it down"
            )));
        }
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.extend_suspicion(late);
            }
        }
        (self.probe, self.sync) = (None, None);
        self.relays.clear();
        self.sync_at = now;
    }

    /// Announces the departure to some members and stops taking part.
    fn leave(&mut self, actions: &mut Vec<Action>) {
        if self.status == LocalStatus::Member {
            self.status = LocalStatus::Left;
            for name in self.random_members(LEAVE_FANOUT, None) {
                let Some(to) = self.members.get(&name).map(|m| m.record.identity.addr) else { continue };
                self.send(to, NO_SEQ, Body::Gossip, None, actions);
            }
        }
        self.status = LocalStatus::Left;
    }

    /// Handles a datagram, with a bounded amount of work.
    fn on_datagram(
        &mut self, now: Millis, bytes: &[u8], actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        let period = self.settings.period_ms;
        if !self.intake.take(now, INTAKE_PER_PERIOD, period) {
            return Err(DropReason::Flood);
        }
        let Datagram { seq, sender, body, updates, .. } = Datagram::decode(bytes, self.cluster)?;
        if matches!(self.status, LocalStatus::Displaced(_) | LocalStatus::Left) {
            return Err(DropReason::Unsolicited);
        }
        if sender.identity == self.local {
            return Err(DropReason::Echo);
        }
        let within_limit = match self.members.get_mut(&sender.identity.name) {
            Some(member) => member.intake.take(now, MEMBER_INTAKE_PER_PERIOD, period),
            None => self.unknown_intake.take(now, UNKNOWN_INTAKE_PER_PERIOD, period),
        };
        if !within_limit {
            return Err(DropReason::Flood);
        }
        if sender.identity.name == self.local.name {
            self.on_conflicting_sender(now, &sender, actions);
            return Err(DropReason::Namesake);
        }
        let is_page = matches!(body, Body::Page { .. });
        if is_page && self.sync.as_ref().is_none_or(|sync| sync.seq != seq) {
            return Err(DropReason::Unsolicited);
        }
        let was_present = self.members.get(&sender.identity.name).is_some_and(|m| m.record.state.present());
        let mut result = self.apply_update(now, sender.clone(), UpdateSource::Gossip, actions);
        let source = match &self.sync {
            Some(sync) if is_page => {
                UpdateSource::Page { accuser: wire::accuser_digest(&sender.identity.name), joins: sync.joins }
            }
            _ => UpdateSource::Gossip,
        };
        for record in updates {
            result = result.and(self.apply_update(now, record, source, actions));
        }
        let (sender_name, sender_addr) = (&sender.identity.name, sender.identity.addr);
        if self.status != LocalStatus::Member && !is_page {
            return result;
        }
        // If the known record differs from the sender's own, the sender gets it: it may refute it, or detect
        // a conflict over its name.
        let about = self.members.get(sender_name).filter(|m| m.record != sender).map(|_| sender_name);
        match body {
            Body::Ping => self.send(sender_addr, seq, Body::Ack, about, actions),
            Body::PingReq { target } => self.relay_probe(now, seq, &sender.identity, &target, actions),
            Body::Pull { after, known } => {
                if !self.page_limit.take(now, PAGES_PER_PERIOD, period) {
                    return Err(DropReason::Flood);
                }
                self.send_page(sender_addr, seq, &after, about, actions);
                // A sender that was not present may know members of another partition.
                if !was_present && known > 0 {
                    self.schedule_sync(now, sender_addr);
                }
            }
            Body::Ack => return self.on_ack(now, seq, &sender.identity, actions),
            Body::Nack => return self.on_nack(seq, sender_name),
            Body::Page { last, more } => self.on_page(now, sender_addr, last, more, actions),
            Body::Gossip => {}
        }
        result
    }
}
