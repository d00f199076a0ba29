//! Who of a cluster's processes is present: SWIM (Das, Gupta and Motivala, 2002) with suspicion, refutation by
//! incarnation, news carried by the probes, and Lifeguard's local health (Dadgar, Phillips and Currey, 2017).
//!
//! No socket, clock or random source but what it is given: datagrams and time come in as [`Event`]s, datagrams
//! and news go out as [`Action`]s. `docs/membership.md` states what it promises.

mod exchange;
mod news;
mod probe;
mod table;
mod wire;

pub use wire::{Dropped, DATAGRAM_MOST, DROPPED, NAME_MOST, START_MOST};

use crate::interface::Millis;
use exchange::{Bucket, Sync};
use news::News;
use probe::{Probe, Relay};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use table::Member;
use wire::{Body, Datagram};

/// A member's name.
pub type Name = Arc<str>;

/// Members at most, this one left out; further ones are not taken in.
pub const MEMBERS_MOST: usize = 1024;
/// A suspected member has so many periods to refute, times the decimal logarithm of the members: news reaches
/// all in some multiple of that.
const SUSPECT_PERIODS: f64 = 4.0;
/// And so many times that while one member alone suspects it: that one may be at fault.
const SUSPECT_ALONE: f64 = 3.0;
/// Further members that have to suspect it, too, until the shorter time holds.
const CONFIRM: usize = 3;
/// When that time has run out it is asked so many times more, a probe's time-out apart.
const LAST_WORD: u32 = 2;
/// Names no question: nothing waits for its answer.
const NO_SEQ: u32 = 0;
/// News is told so many times, times the decimal logarithm of the members, rounded up.
const TELL_TIMES: f64 = 4.0;
/// Members to which news is sent beside probes, and how often in a period.
const GOSSIP: (usize, f64) = (3, 5.0);
/// Members asked to probe one that does not answer.
const HELPERS: usize = 3;
/// Worst local health: this process's own time-outs and periods are then one and so many times as long.
const HEALTH_MOST: u32 = 8;
/// What is down or has left is kept for so many periods, so that old news does not bring it back.
const KEPT_PERIODS: f64 = 60.0;
/// A period's length differs by chance by this share up or down: members do not probe in step.
const PERIOD_JITTER: f64 = 0.1;
/// Whole views are exchanged with one member after so many periods, then after twice as many each time, up to so
/// many: where many join at once the first views are far from whole.
const SYNC_PERIODS: (f64, f64) = (2.0, 30.0);
/// Who is missed, and seeds that are not present, are tried every so many periods, in a larger cluster the less
/// often: so many members for each time.
const SEEK: (f64, f64) = (10.0, 32.0);
/// Alone, seeds are tried after one period, then after twice as long each time, up to so many periods.
const JOIN_PERIODS_MOST: f64 = 32.0;
/// Addresses tried at once by a process that is alone.
const JOIN_AT_ONCE: usize = 3;
/// Members that are told of a leave by the one that leaves; they tell the others.
const LEAVE_TO: usize = 16;
/// Datagrams taken in a period: in all, of one member, and of those that are none. As many may be saved up.
const INTAKE: (f64, f64, f64) = (2000.0, 20.0, 100.0);
/// Pages of the view given out in a period.
const PAGES: f64 = 100.0;

/// What a member is told when it starts, or anew by a reload.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name: datagrams of others are dropped.
    pub cluster: String,
    /// This member's name, the same after a restart.
    pub name: String,
    /// Where the others reach it.
    pub advertise: SocketAddrV4,
    /// When it started, as Unix time in ms: of two processes of one name the later start holds.
    pub start: u64,
    /// Where others may be found at first.
    pub seeds: Vec<SocketAddrV4>,
    /// Each member probes another one once in this time, in ms.
    pub period_ms: f64,
    /// A probe unanswered for so long goes by way of others, in ms.
    pub timeout_ms: f64,
    /// How many members there should be, this one included.
    pub expected: Option<u32>,
}

/// What a member is, as another one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Present.
    Alive,
    /// Present, but somebody got no answer.
    Suspect,
    /// Gone without a word.
    Down,
    /// Gone of its own accord.
    Left,
}

impl State {
    /// True while it counts as a member.
    pub fn present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// Which process a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub addr: SocketAddrV4,
    /// When it started.
    pub start: u64,
}

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Which process.
    pub who: Identity,
    /// Raised by itself alone, to refute what is told of it.
    pub incarnation: u32,
    /// What it is.
    pub state: State,
    /// It serves, but is drained.
    pub draining: bool,
    /// Who suspects it, as a digest of the name; 0 unless it is suspected.
    pub accuser: u32,
}

/// What happens to a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A datagram came in.
    Datagram(Vec<u8>),
    /// The moment that [`Membership::due`] named has come.
    Due,
    /// The process is drained, or takes clients again.
    Drain(bool),
    /// Other settings hold. Name, address, start and cluster stay: a change of these is a new member.
    Settings(Settings),
    /// The process ends.
    Leave,
}

/// What a member does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddrV4,
        /// What.
        bytes: Vec<u8>,
    },
    /// A member is no longer what it was.
    Changed {
        /// Which one.
        who: Identity,
        /// What it was, if it was known.
        was: Option<State>,
        /// What it is.
        state: State,
        /// Whether it is drained.
        draining: bool,
    },
    /// So many members are present, this one included; and whether that is a majority, if it is known how many
    /// there should be.
    Present {
        /// How many.
        count: u32,
        /// Whether they are a majority.
        majority: Option<bool>,
    },
    /// This process is no member any more: what it knew of the others counts no longer.
    Out,
    /// A line for whoever is on call.
    Warn(String),
}

/// Whether this process is a member.
#[derive(Clone, Debug, PartialEq)]
enum Standing {
    Member,
    /// A process that started later bears its name elsewhere, or did until lately. It has to show itself by then.
    Contested(Identity, Millis),
    /// It is, and this one is out for good.
    Displaced(Identity),
    Left,
}

/// How this process heard of a member.
#[derive(Clone, Copy)]
enum Source {
    /// By its own word, or as news.
    Word,
    /// As a part of somebody's whole view, asked for by a process that joined or by one that was a member.
    Page { accuser: u32, joins: bool },
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Times that a member became suspected in this one's view.
    pub suspicions: u64,
    /// Of these, those that were refuted.
    pub cleared: u64,
    /// Times that this member refuted what was told of it.
    pub refutations: u64,
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// Bytes of these.
    pub sent_bytes: u64,
    /// Datagrams that came in.
    pub received: u64,
    /// Bytes of these.
    pub received_bytes: u64,
    /// Datagrams dropped, by reason as in [`DROPPED`].
    pub dropped: [u64; DROPPED.len()],
}

/// A member as it is shown to operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Shown {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub addr: SocketAddrV4,
    /// When it started, as Unix time in ms.
    pub start: u64,
    /// Its incarnation.
    pub incarnation: u32,
    /// What it is.
    pub state: State,
    /// Whether it is drained.
    pub draining: bool,
    /// For how long it has been so, in ms.
    pub for_ms: u64,
}

/// The view at one moment.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct View {
    /// The cluster's name.
    pub cluster: String,
    /// This member's name.
    pub name: Name,
    /// Where it is reached.
    pub addr: SocketAddrV4,
    /// Its start.
    pub start: u64,
    /// Its incarnation.
    pub incarnation: u32,
    /// `member`, `contested`, `displaced` or `left`.
    pub standing: &'static str,
    /// Who bears the same name elsewhere, where that is so.
    pub rival: Option<SocketAddrV4>,
    /// Whether it is drained.
    pub draining: bool,
    /// Members present, this one included.
    pub present: u32,
    /// How many there should be.
    pub expected: Option<u32>,
    /// Whether those present are a majority of them.
    pub majority: Option<bool>,
    /// 0 while this process keeps time; more where it is slow itself.
    pub health: u32,
    /// Names of those that went without a word and are not back.
    pub missing: Vec<Name>,
    /// All others that are known.
    pub members: Vec<Shown>,
}

/// One member of a cluster.
pub struct Membership {
    settings: Settings,
    cluster: u64,
    rng: fastrand::Rng,
    me: Identity,
    incarnation: u32,
    draining: bool,
    /// The last incarnation of this process that others held to be down.
    downed: Option<u32>,
    standing: Standing,
    members: BTreeMap<Name, Member>,
    /// Those that are suspected.
    suspects: BTreeSet<Name>,
    /// Those present, in the order in which they are probed, and whose turn is next.
    order: Vec<Name>,
    turn: usize,
    /// Those that went down and are forgotten but for where and when.
    lost: BTreeMap<Name, (SocketAddrV4, Millis)>,
    probe: Option<Probe>,
    probe_at: Millis,
    relays: VecDeque<Relay>,
    news: News,
    gossip_at: Millis,
    sync: Option<Sync>,
    sync_at: Millis,
    /// Periods from one exchange to the next.
    sync_wait: f64,
    /// Whom to ask next for its view.
    ask_back: Option<SocketAddrV4>,
    seek_at: Millis,
    /// Tries in a row to find anybody.
    tries: u32,
    sweep_at: Millis,
    health: u32,
    seq: u32,
    intake: Bucket,
    strangers: Bucket,
    pages: Bucket,
    counts: Counts,
    told: Option<(u32, Option<bool>)>,
}

impl Membership {
    /// A member that starts now and knows its seeds alone.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let me = Identity {
            name: settings.name.as_str().into(),
            addr: settings.advertise,
            start: settings.start.min(START_MOST),
        };
        let period = settings.period_ms;
        Membership {
            cluster: wire::digest(&settings.cluster),
            me,
            incarnation: 0,
            draining: false,
            downed: None,
            standing: Standing::Member,
            members: BTreeMap::new(),
            suspects: BTreeSet::new(),
            order: Vec::new(),
            turn: 0,
            lost: BTreeMap::new(),
            probe: None,
            // Processes that start together do not call together.
            probe_at: now + rng.f64() * period,
            relays: VecDeque::new(),
            news: News::default(),
            gossip_at: now,
            sync: None,
            sync_at: now + (0.5 + rng.f64()) * SYNC_PERIODS.0 * period,
            sync_wait: SYNC_PERIODS.0,
            ask_back: None,
            seek_at: now + rng.f64() * period,
            tries: 0,
            sweep_at: now + KEPT_PERIODS / 6.0 * period,
            health: 0,
            seq: rng.u32(..),
            intake: Bucket::new(INTAKE.0, now),
            strangers: Bucket::new(INTAKE.2, now),
            pages: Bucket::new(PAGES, now),
            counts: Counts::default(),
            told: None,
            settings,
            rng,
        }
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Datagram(bytes) => {
                self.counts.received += 1;
                self.counts.received_bytes += bytes.len() as u64;
                if let Err(why) = self.datagram(now, &bytes, actions) {
                    self.counts.dropped[why as usize] += 1;
                }
            }
            Event::Due => self.due_now(now, actions),
            Event::Drain(draining) => {
                if std::mem::replace(&mut self.draining, draining) != draining {
                    // Told as news of this member: that takes an incarnation of its own.
                    self.rise(self.incarnation + 1);
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
                // What was set by the former period comes by the new one at the latest.
                let period = self.settings.period_ms;
                self.probe_at = self.probe_at.min(now + period);
                self.seek_at = self.seek_at.min(now + self.rng.f64() * period);
                self.sync_at = self.sync_at.min(now + SYNC_PERIODS.1 * period);
                self.sweep_at = self.sweep_at.min(now + KEPT_PERIODS / 6.0 * period);
            }
            Event::Leave => self.leave(actions),
        }
        // What comes up later is told at once, and is not late.
        self.gossip_at = self.gossip_at.max(now);
        let present = (matches!(self.standing, Standing::Member)).then(|| (self.present(), self.majority()));
        if self.told != present {
            self.told = present;
            actions.push(match present {
                Some((count, majority)) => Action::Present { count, majority },
                None => Action::Out,
            });
        }
    }

    /// When [`Event::Due`] is to be given next.
    pub fn due(&self) -> Millis {
        let mut due = match self.standing {
            Standing::Member => self.probe_at.min(self.seek_at).min(self.sync_at).min(self.sweep_at),
            Standing::Contested(..) => return self.probe_at,
            Standing::Displaced(_) | Standing::Left => return Millis::INFINITY,
        };
        if let Some(probe) = &self.probe {
            due = due.min(probe.due());
        }
        if self.news.len() > 0 && !self.order.is_empty() {
            due = due.min(self.gossip_at);
        }
        let relays = self.relays.iter().map(Relay::due);
        let suspects = self.suspects.iter().filter_map(|name| self.members.get(name)).map(Member::expires);
        let sync = self.sync.iter().map(|sync| sync.ends);
        relays.chain(suspects).chain(sync).fold(due, f64::min)
    }

    /// How many members are present, this one included.
    pub fn present(&self) -> u32 {
        self.order.len() as u32 + 1
    }

    /// Whether those present are a majority of those expected.
    pub fn majority(&self) -> Option<bool> {
        self.settings.expected.map(|expected| u64::from(self.present()) * 2 > u64::from(expected))
    }

    /// What was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The view as it stands.
    pub fn view(&self, now: Millis) -> View {
        let (standing, rival) = match &self.standing {
            Standing::Member => ("member", None),
            Standing::Contested(rival, _) => ("contested", Some(rival.addr)),
            Standing::Displaced(rival) => ("displaced", Some(rival.addr)),
            Standing::Left => ("left", None),
        };
        let down = self.members.iter().filter(|(_, m)| m.record.state == State::Down).map(|(name, _)| name);
        let missing: BTreeSet<_> = down.chain(self.lost.keys()).cloned().collect();
        View {
            cluster: self.settings.cluster.clone(),
            name: self.me.name.clone(),
            addr: self.me.addr,
            start: self.me.start,
            incarnation: self.incarnation,
            standing,
            rival,
            draining: self.draining,
            present: self.present(),
            expected: self.settings.expected,
            majority: self.majority(),
            health: self.health,
            missing: missing.into_iter().collect(),
            members: self.members.values().map(|member| member.shown(now)).collect(),
        }
    }

    /// What this member tells of itself.
    fn record(&self) -> Record {
        let state = if self.standing == Standing::Left { State::Left } else { State::Alive };
        let (who, incarnation, draining) = (self.me.clone(), self.incarnation, self.draining);
        Record { who, incarnation, state, draining, accuser: 0 }
    }

    /// Periods and time-outs are the longer the less this process keeps time itself.
    fn slowness(&self) -> f64 {
        f64::from(self.health + 1)
    }

    /// Decimal logarithm of the members, at least 1: news reaches all in some multiple of it.
    fn scale(&self) -> f64 {
        f64::from(self.present()).log10().max(1.0)
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1).max(NO_SEQ + 1);
        self.seq
    }

    fn sends(&mut self, to: SocketAddrV4, bytes: Vec<u8>, actions: &mut Vec<Action>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        actions.push(Action::Send { to, bytes });
    }

    /// Sends a datagram, what is told of `about` first, then as much news as there is room for.
    fn tells(
        &mut self, to: SocketAddrV4, seq: u32, body: Body, about: Option<&Name>, actions: &mut Vec<Action>,
    ) {
        let datagram = Datagram { cluster: self.cluster, seq, sender: self.record(), body, news: Vec::new() };
        let mut bytes = datagram.head();
        // Where members are still joining there are more than are known.
        let all = self.present().max(self.settings.expected.unwrap_or(0).min(MEMBERS_MOST as u32));
        let times = (TELL_TIMES * f64::from(all).log10().max(1.0)).ceil() as u32;
        let (members, mut one) = (&self.members, Vec::with_capacity(128));
        if let Some(member) = about.and_then(|name| members.get(name)) {
            wire::put(&mut bytes, &member.record);
        }
        self.news.tell(times, |name| {
            // What is told of this member stands in the head.
            let Some(member) = members.get(name).filter(|_| Some(name) != about) else { return true };
            one.clear();
            wire::put(&mut one, &member.record);
            let fits = bytes.len() + one.len() <= DATAGRAM_MOST;
            if fits {
                bytes.extend_from_slice(&one);
            }
            fits
        });
        self.sends(to, bytes, actions);
    }

    /// So many of those present, by chance, but for this one.
    fn some(&mut self, count: usize, but: Option<&Name>) -> Vec<Name> {
        let mut some: Vec<Name> = Vec::with_capacity(count);
        // Few tries suffice where there are many; where there are few all are gone through.
        if self.order.len() <= count + 1 {
            some.extend(self.order.iter().filter(|name| Some(*name) != but).take(count).cloned());
        } else {
            for _ in 0..4 * count {
                let name = &self.order[self.rng.usize(..self.order.len())];
                if Some(name) != but && !some.contains(name) {
                    some.push(name.clone());
                    if some.len() == count {
                        break;
                    }
                }
            }
        }
        some
    }

    fn due_now(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let late = now - self.due();
        if late < 0.0 {
            return;
        }
        match self.standing {
            Standing::Member => {}
            Standing::Contested(..) => return self.contest(now, actions),
            Standing::Displaced(_) | Standing::Left => return,
        }
        if late > self.settings.timeout_ms.max(self.settings.period_ms / 2.0) {
            self.stalled(now, late, actions);
        }
        self.relay_due(now, actions);
        self.probe_due(now, actions);
        self.suspicions_due(now, actions);
        self.exchange_due(now, actions);
        if self.news.len() > 0 && now >= self.gossip_at {
            self.gossip_at = now + self.settings.period_ms / GOSSIP.1;
            for name in self.some(GOSSIP.0, None) {
                let Some(to) = self.members.get(&name).map(|m| m.record.who.addr) else { continue };
                self.tells(
                    to,
                    0,
                    Body::News,
                    Some(&name).filter(|name| self.suspects.contains(*name)),
                    actions,
                );
            }
        }
        if now >= self.sweep_at {
            self.sweep_at = now + KEPT_PERIODS / 6.0 * self.settings.period_ms;
            self.forget(now);
        }
    }

    /// This process itself stood still: it judges nobody by what it missed meanwhile.
    fn stalled(&mut self, now: Millis, late: Millis, actions: &mut Vec<Action>) {
        self.worse();
        if late > SUSPECT_PERIODS * self.settings.period_ms {
            let seconds = late / 1000.0;
            actions.push(Action::Warn(format!(
                "this process stood still for {seconds:.1} s: the others may have held it to be down meanwhile"
            )));
        }
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.spare(late);
            }
        }
        (self.probe, self.sync) = (None, None);
        self.relays.clear();
        self.sync_at = now;
    }

    /// Sends what it has to the others and is heard no more.
    fn leave(&mut self, actions: &mut Vec<Action>) {
        if self.standing == Standing::Member {
            self.standing = Standing::Left;
            for name in self.some(LEAVE_TO, None) {
                let Some(to) = self.members.get(&name).map(|m| m.record.who.addr) else { continue };
                self.tells(to, NO_SEQ, Body::News, None, actions);
            }
        }
        self.standing = Standing::Left;
    }

    /// Takes in a datagram, in bounded work.
    fn datagram(&mut self, now: Millis, bytes: &[u8], actions: &mut Vec<Action>) -> Result<(), Dropped> {
        let period = self.settings.period_ms;
        if !self.intake.take(now, INTAKE.0, period) {
            return Err(Dropped::Flood);
        }
        let Datagram { seq, sender, body, news, .. } = Datagram::read(bytes, self.cluster)?;
        if matches!(self.standing, Standing::Displaced(_) | Standing::Left) {
            return Err(Dropped::Unsolicited);
        }
        if sender.who == self.me {
            return Err(Dropped::Echo);
        }
        let known = match self.members.get_mut(&sender.who.name) {
            Some(member) => member.intake.take(now, INTAKE.1, period),
            None => self.strangers.take(now, INTAKE.2, period),
        };
        if !known {
            return Err(Dropped::Flood);
        }
        if sender.who.name == self.me.name {
            self.namesake(now, &sender, actions);
            return Err(Dropped::Namesake);
        }
        let page = matches!(body, Body::Page { .. });
        if page && self.sync.as_ref().is_none_or(|sync| sync.seq != seq) {
            return Err(Dropped::Unsolicited);
        }
        let was = self.members.get(&sender.who.name).is_some_and(|m| m.record.state.present());
        let mut taken = self.learn(now, sender.clone(), Source::Word, actions);
        let source = match &self.sync {
            Some(sync) if page => {
                Source::Page { accuser: wire::accuser(&sender.who.name), joins: sync.joins }
            }
            _ => Source::Word,
        };
        for record in news {
            taken = taken.and(self.learn(now, record, source, actions));
        }
        let (from, to) = (&sender.who.name, sender.who.addr);
        if self.standing != Standing::Member && !page {
            return taken;
        }
        // It is told what else is said of it, so that it can refute that or know of another of its name.
        let about = self.members.get(from).filter(|m| m.record != sender).map(|_| from);
        match body {
            Body::Ping => self.tells(to, seq, Body::Ack, about, actions),
            Body::PingReq { target } => self.relay(now, seq, &sender.who, &target, actions),
            Body::Pull { after, known } => {
                if !self.pages.take(now, PAGES, period) {
                    return Err(Dropped::Flood);
                }
                self.page(to, seq, &after, about, actions);
                // Whoever was not known may come from another part of the cluster, with others in its view.
                if !was && known > 0 {
                    self.ask_back(now, to);
                }
            }
            Body::Ack => return self.acked(now, seq, &sender.who, actions),
            Body::Nack => return self.nacked(seq, from),
            Body::Page { last, more } => self.paged(now, to, last, more, actions),
            Body::News => {}
        }
        taken
    }
}
