//! A core process's part in the system, without sockets, clock or disk: what happens comes in as [`Event`]s with the
//! time, what is to be done goes out as [`Action`]s, to be carried out in order. `control.rs` keeps sockets and time.
//!
//! Rooms by concern: `orders` the operators' calls, `presence` backends and gateways, `push` what agents are told,
//! `count` the tenants' counts, `joining` other core processes. What is promised with each answer, and what backs it,
//! stands in `docs/system/control.md`.

mod count;
mod joining;
mod orders;
mod presence;
mod push;

use crate::agreement::{self, Agreement, Entry, Letter, Name, Save, Saved};
use crate::calls::{self, Called, Outcome, Refusal, Reply, Served, Serves};
use crate::invariants::{self, Invariant};
use crate::ledger::Mark;
use crate::news::{Change, Charges, Forwarded, FromAgent, Kind, ToAgent, Totals, Whole, Word};
use crate::settings::Settings;
use crate::state::{Digest, State, Touched};
use crate::store::Pace;
use bytes::Bytes;
use cherrytally::Millis;
use eyre::{eyre, Result};
use joining::Passed;
use orders::Orders;
use presence::Presence;
use prost::Message;
use push::Agent;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Ticks between two rounds of what is done now and then.
const HOUSE_TICKS: u32 = 20;
/// The leader tells the digest of its copy to the others each so many ticks: a copy that differs is a fault, and rare.
const COMPARE_TICKS: u32 = 200;
/// A member that follows nobody says why each so many ticks: two seconds.
const LEADERLESS_TICKS: u32 = 80;
/// How often a member is told that time has passed, in ms.
pub const TICK_MS: Millis = 25.0;
/// A caller waits a second for an answer; it has one before that, in ms.
pub const CALL_MS: Millis = 850.0;
/// A process that was told of no time for so long stood still, in ms: what comes in then may be as old. Callers wait a
/// second; a busy machine keeps a process from its processor for some hundred.
const STOOD_STILL_MS: Millis = 300.0;
/// All that waited in sockets is read within so long after that, in ms.
const WAKES_MS: Millis = 100.0;
/// After so many changes the state takes the place of the log before them. All members have the same states at the same
/// numbers then, as far as no backend is cold: what came of one goes on at the next leader.
const LOG_MOST: u64 = 512;
/// And after so many bytes of changes, at the same number at all members, too: a configuration of the size that is
/// designed for has some MiB, and 512 of them would be more than a process may have of memory.
const LOG_BYTES: usize = 8 << 20;
/// Rounds, of half a second, in which a leader must be ill placed before it hands over: agents of a process that has just
/// begun find it one after the other.
const ILL_PLACED_ROUNDS: u32 = 4;
/// A leader hands over no more often, in ms: with all disks slow there is nobody better.
const HAND_AGAIN_MS: Millis = 10_000.0;

/// What happens at a core process.
pub enum Event {
    /// Time has passed.
    Tick,
    /// What [`Action::Save`] wanted is on disk. It comes before any other event.
    Saved {
        /// How long that took, in ms.
        took_ms: f64,
    },
    /// Another core process said something.
    Heard {
        /// Who.
        from: Name,
        /// What.
        word: Word,
    },
    /// A call came from outside.
    Called {
        /// Its number here.
        call: u64,
        /// Its method.
        method: String,
        /// Its path, with its query.
        path: String,
        /// Its body.
        body: Vec<u8>,
    },
    /// Nobody waits for the answer to this call any more.
    Left(u64),
    /// An agent's word.
    Agent {
        /// The link it came on.
        link: u64,
        /// What it says.
        word: FromAgent,
    },
    /// A proxy's charges.
    Charged {
        /// The link they came on.
        link: u64,
        /// What is charged.
        charges: Charges,
    },
    /// A link to an agent or a proxy has ended.
    Closed(u64),
    /// The settings name other core processes.
    Seeds(Vec<SocketAddr>),
    /// The process is told to end: it goes on until [`Member::left`] says that it may, or time is up.
    End,
}

/// What a core process is to do, in order.
#[derive(Debug)]
pub enum Action {
    /// Bring to disk before all that follows, and tell [`Event::Saved`] then.
    Save(Box<Save>),
    /// Tell another core process. It may be lost.
    Tell {
        /// Whom.
        to: Name,
        /// What.
        word: Box<Word>,
    },
    /// Answer a call from outside.
    Answer {
        /// Its number.
        call: u64,
        /// The answer.
        reply: Reply,
    },
    /// Tell another core process, in the name of a third, that this one wants to be a member.
    Pass {
        /// Whom.
        to: Name,
        /// Who wants to be one.
        from: Name,
    },
    /// Tell an agent. Where that can't be, its link ends.
    Say {
        /// On which link.
        link: u64,
        /// What.
        news: Box<ToAgent>,
    },
    /// Tell an agent the whole state: a framed [`ToAgent`], made once for many. Where that can't be, its link ends.
    Whole {
        /// On which link.
        link: u64,
        /// The message.
        whole: Bytes,
    },
    /// Answer charges.
    Count {
        /// On which link.
        link: u64,
        /// The totals.
        totals: Totals,
    },
    /// Nothing may follow from what is here: the process ends.
    Stop(String),
}

/// An answer is written within so long after it was decided, in ms. It was decided within a lease, 550 ms after a majority
/// was asked; no other leads within 700 ms after that. The rest is for clocks at different rates.
pub const WRITTEN_MS: Millis = 100.0;

impl Action {
    /// What is left of it when it is carried out only now: a process that stood still since, or waited for its disk, gives no
    /// answer that it decided before.
    pub fn fenced(self, decided: Millis, now: Millis) -> Action {
        let late = now - decided > WRITTEN_MS;
        match self {
            Action::Answer { call, reply } if late && reply.status < 500 => {
                Action::Answer { call, reply: Refusal::Later.reply() }
            }
            Action::Tell { to, mut word } => {
                if let Word::Answer(answer) = &mut *word {
                    if late && answer.status < 500 {
                        let Reply { status, body, .. } = Refusal::Later.reply();
                        (answer.status, answer.body) = (u32::from(status), body.into_bytes());
                    }
                }
                Action::Tell { to, word }
            }
            action => action,
        }
    }
}

/// Who waits for an answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Caller {
    /// A caller from outside, by its number.
    Outside(u64),
    /// Another core process that passed a call on, and its number there.
    Member(Name, u64),
}

/// What an answer waits for.
pub enum Wait {
    /// A change that is agreed on.
    Agreed(Kind),
    /// An order that is taken, and in force.
    Order(calls::Order),
}

/// A call in hand.
struct Waiting {
    /// What is answered when it is granted.
    granted: Reply,
    /// When it is let go.
    until: Millis,
    stage: Stage,
}

/// Where a call stands.
enum Stage {
    /// The leader was asked.
    Passed(Passed),
    /// An order that is heard, and not proposed yet.
    Heard(calls::Order),
    /// Its change is about to be proposed; an order's, where there is a mark.
    Proposing(Option<Mark>),
    /// Its change is proposed as this entry, in this term.
    Proposed { index: u64, term: u64, mark: Option<Mark> },
    /// Its change is agreed on, and waits to be in force at every gateway.
    Enforcing { index: u64 },
}

/// What the agreement is to be told next.
enum Next {
    Event(agreement::Event),
    /// A change is wanted, and who waits for it.
    Propose(Kind, Option<Caller>),
}

/// A core process.
pub struct Member {
    settings: Settings,
    me: Name,
    /// Core processes that the settings name, as they were last read.
    seeds: Vec<SocketAddr>,
    agreement: Agreement,
    state: State,
    digest: Digest,
    /// What the agreement wanted that is not done yet: a save comes first.
    behind: VecDeque<agreement::Action>,
    /// What it is to be told after that.
    next: VecDeque<Next>,
    saving: bool,
    /// A change was agreed on that can't be read here: another should lead.
    unread: bool,
    /// The state has changed since agents were last told.
    applied: bool,
    /// The agents were told that it leads.
    told: bool,
    pace: Pace,
    /// When it last handed over for its slow disk, or as agents did not reach it.
    handed: Option<Millis>,
    /// How many rounds it has been ill placed as a leader, one after the other.
    ill_placed: u32,
    calls: BTreeMap<Caller, Waiting>,
    /// Calls that others passed on, by who did and its number for them, and when: none is carried out twice.
    passed: BTreeMap<(Name, u64), Millis>,
    orders: Orders,
    presence: Presence,
    agents: BTreeMap<u64, Agent>,
    /// When all agents were last sent what is new, and whether something came since.
    pushed: Millis,
    unpushed: bool,
    /// The whole state as it was sent last.
    whole: Option<push::Kept>,
    count: count::Count,
    /// The number of the next call that is passed on.
    number: u64,
    ticks: u32,
    /// Words that came from no member.
    strange: u64,
    /// When it was last told of time.
    ticked: Millis,
    /// Until then what it is called with may have waited while it stood still.
    wakes_until: Millis,
    rng: fastrand::Rng,
}

impl Member {
    /// A core process that starts with what its disk holds, and what is to be on disk before it does anything.
    pub fn start(
        settings: Settings, disk: Option<Saved>, seed: u64, now: Millis,
    ) -> Result<(Member, Option<Save>)> {
        let address = settings.control_addr.ok_or_else(|| eyre!("network.docks_at.control is missing"))?;
        let me = address.to_string();
        let mut whole = Whole::default();
        let mut damaged = false;
        if let Some(saved) = &disk {
            match Whole::decode(&saved.base.state[..]) {
                Ok(read) => whole = read,
                Err(_) => damaged = true,
            }
        }
        // A disk that can't be read is as good as an empty one that has forgotten its vote: it founds nothing, votes for
        // nobody at first and counts only once a leader has filled it up.
        let lost = damaged.then(|| {
            log::error!("core: the state on disk can't be read: it is filled up from the others");
            Saved::default()
        });
        let disk = lost.or(disk);
        let founds = disk.is_none() && settings.first_start && settings.seeds.contains(&address);
        let (saved, first) = match disk {
            Some(saved) if damaged => {
                let (vow, base) = (saved.vow.clone(), Some(saved.base.clone()));
                (saved, Some(Save { vow, entries: Some((0, Vec::new())), base }))
            }
            Some(saved) => (saved, None),
            None if founds => {
                let saved = Agreement::found(settings.seeds.iter().map(SocketAddr::to_string).collect());
                let (vow, base) = (saved.vow.clone(), Some(saved.base.clone()));
                (saved, Some(Save { vow, entries: None, base }))
            }
            None => Default::default(),
        };
        log::info!(
            "core: {me} starts, {} entries behind {}, {}",
            saved.entries.len(),
            saved.base.index,
            if founds { "founds" } else { "known" }
        );
        let state = State { index: saved.base.index, ..State::from_whole(now, whole) };
        let member = Member {
            seeds: settings.seeds.clone(),
            agreement: Agreement::new(me.clone(), saved, seed, now).reading(readable),
            settings,
            me,
            state,
            digest: Digest::default(),
            behind: VecDeque::new(),
            next: VecDeque::new(),
            saving: false,
            unread: false,
            applied: false,
            told: false,
            pace: Pace::default(),
            handed: None,
            ill_placed: 0,
            calls: BTreeMap::new(),
            passed: BTreeMap::new(),
            orders: Orders::default(),
            presence: Presence::default(),
            agents: BTreeMap::new(),
            pushed: f64::NEG_INFINITY,
            unpushed: false,
            whole: None,
            count: count::Count::default(),
            number: seed >> 16,
            ticks: 0,
            strange: 0,
            ticked: now,
            wakes_until: now,
            rng: fastrand::Rng::with_seed(seed),
        };
        Ok((member, first))
    }

    /// Its name: where it is called.
    pub fn name(&self) -> &Name {
        &self.me
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.agreement.leads()
    }

    /// Its copy of the agreed state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Words that came from no member, or in a name that is no address. Nothing followed from them.
    pub fn strange(&self) -> u64 {
        self.strange
    }

    /// Whether it speaks to this core process for longer than one word: it is a member, or a seed.
    pub fn keeps(&self, name: &str) -> bool {
        let seed = self.seeds.iter().any(|seed| seed.to_string() == name);
        seed || self.agreement.members().iter().any(|member| member == name)
    }

    /// Its part in the agreement.
    pub fn agreement(&self) -> &Agreement {
        &self.agreement
    }

    /// What a process that was told to end may do: see [`Agreement::left`].
    pub fn left(&self) -> Option<bool> {
        self.agreement.left()
    }

    /// Whether it may answer for all.
    fn vouches(&self, now: Millis) -> bool {
        !self.unread && self.agreement.vouches(now)
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        debug_assert!(!self.saving || matches!(event, Event::Saved { .. }), "what is saved comes first");
        match event {
            Event::Tick => self.tick(now, out),
            Event::Saved { took_ms } => self.saved(now, took_ms),
            Event::Heard { from, word } => self.heard(now, from, word, out),
            Event::Called { call, method, path, body } => {
                let called = Called { method: &method, path: &path, body: &body };
                self.called(now, Caller::Outside(call), &called, out);
            }
            Event::Left(call) => self.let_go(&Caller::Outside(call)),
            Event::Agent { link, word } => self.agent_said(now, link, word, out),
            Event::Charged { link, charges } => self.charged(now, link, &charges, out),
            Event::Closed(link) => drop(self.agents.remove(&link)),
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::End => self.next.push_back(Next::Event(agreement::Event::Leave)),
        }
        self.go_on(now, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.ticks = self.ticks.wrapping_add(1);
        if self.stood_still(now) {
            log::warn!("core: stood still for {:.0} ms", now - self.ticked);
            self.wakes_until = now + WAKES_MS;
        }
        self.ticked = now;
        self.next.push_back(Next::Event(agreement::Event::Tick));
        self.go_on(now, out);
        if self.ticks.is_multiple_of(HOUSE_TICKS) {
            self.keep_house(now, out);
        }
        if self.ticks.is_multiple_of(LEADERLESS_TICKS) {
            if let Some(why) = self.agreement.leaderless() {
                log::warn!("core: nobody leads: {why}");
            }
        }
        if self.ticks.is_multiple_of(COMPARE_TICKS) && self.leads() {
            self.compare(out);
        }
        if self.leads() && !self.presence.is_settled() {
            self.settle();
        }
        if self.unpushed {
            self.push(now, out);
        }
        self.let_late_go(now, out);
        self.enforce(now, out);
    }

    /// Calls whose time is over, and those that this process can do nothing for: who leads and is cut off from a majority
    /// vouches for nothing, and who was passed a call and fell silent answers none. Another can, or the same one later.
    fn let_late_go(&mut self, now: Millis, out: &mut Vec<Action>) {
        let vouches = self.vouches(now);
        let hopeless = |waiting: &Waiting| match &waiting.stage {
            Stage::Passed(passed) => !self.hears_leader(now, passed.to()),
            _ => !vouches,
        };
        let late = self.calls.iter().filter(|(_, w)| now > w.until || hopeless(w));
        for caller in late.map(|(caller, _)| caller.clone()).collect::<Vec<_>>() {
            self.refuse(&caller, &Refusal::Later, out);
        }
    }

    /// What is done now and then.
    fn keep_house(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.ask_to_join(out);
        if self.unread && self.leads() {
            self.next.push_back(Next::Event(agreement::Event::Resign));
        }
        self.mind_reach(now);
        // What comes later than that is refused as late.
        self.passed.retain(|_, heard| now - *heard < joining::ON_ITS_WAY_MS);
        if !self.vouches(now) {
            return;
        }
        for kind in self.changes_of_presence(now) {
            self.next.push_back(Next::Propose(kind, None));
        }
        self.count.sweep(now);
    }

    // ---- Agreement ------------------------------------------------------------------------------------------

    /// A save is done: what waited for it goes on.
    fn saved(&mut self, now: Millis, took_ms: f64) {
        self.saving = false;
        if self.pace.saved(took_ms) {
            self.hand_over(now, "the disk is slow");
        }
    }

    /// A leader that agents don't reach hands over to a member that they do reach.
    fn mind_reach(&mut self, now: Millis) {
        let heard = self.agents.values().filter(|agent| now - agent.heard < presence::HEARD_MS).count();
        self.next.push_back(Next::Event(agreement::Event::Reach(heard as u32)));
        self.ill_placed = if self.agreement.ill_placed(now) { self.ill_placed + 1 } else { 0 };
        if self.ill_placed >= ILL_PLACED_ROUNDS {
            self.hand_over(now, "agents reach others");
        }
    }

    /// Another should lead, where this process does. What is under way goes on first.
    fn hand_over(&mut self, now: Millis, why: &str) {
        let lately = self.handed.is_some_and(|at| now - at < HAND_AGAIN_MS);
        if self.leads() && !lately {
            log::warn!("core: {why}; another should lead");
            (self.handed, self.ill_placed) = (Some(now), 0);
            self.next.push_back(Next::Event(agreement::Event::Resign));
        }
    }

    /// Carries out what the agreement wants, as far as that goes without a save, and tells it what comes next.
    fn go_on(&mut self, now: Millis, out: &mut Vec<Action>) {
        while !self.saving {
            if let Some(action) = self.behind.pop_front() {
                self.act(now, action, out);
            } else if std::mem::take(&mut self.applied) {
                self.push(now, out);
                if self.vouches(now) && !std::mem::replace(&mut self.told, true) {
                    self.pulse(now, out);
                }
            } else {
                if self.next.is_empty() {
                    self.go_on_with_orders(now, out);
                }
                let event = match self.next.pop_front() {
                    Some(Next::Event(event)) => event,
                    Some(Next::Propose(kind, caller)) => match self.propose(kind, caller, out) {
                        Some(event) => event,
                        None => continue,
                    },
                    None => return,
                };
                let mut actions = Vec::new();
                self.agreement.handle(now, event, &mut actions);
                self.behind.extend(actions);
            }
        }
    }

    /// A change is proposed, and somebody may wait for it. None where this process does not lead.
    fn propose(
        &mut self, kind: Kind, caller: Option<Caller>, out: &mut Vec<Action>,
    ) -> Option<agreement::Event> {
        if !self.agreement.takes() {
            if let Some(caller) = caller {
                self.refuse(&caller, &Refusal::Later, out);
            }
            return None;
        }
        let (index, term) = (self.agreement.last() + 1, self.agreement.term());
        let kind = match kind {
            Kind::Configured(config) => {
                self.orders.propose(&config, index, term);
                Kind::Configured(self.shortened(config))
            }
            kind => kind,
        };
        if let Some(caller) = caller {
            let mark = match self.calls.get(&caller).map(|w| &w.stage) {
                Some(Stage::Proposing(mark)) => *mark,
                _ => None,
            };
            self.become_stage(&caller, Stage::Proposed { index, term, mark });
        }
        let left = matches!(&kind, Kind::BackendGone(id) if self.presence.left(id));
        Some(agreement::Event::Propose(Change { kind: Some(kind), left }.encode_to_vec()))
    }

    fn act(&mut self, now: Millis, action: agreement::Action, out: &mut Vec<Action>) {
        match action {
            agreement::Action::Save(save) => {
                self.saving = true;
                out.push(Action::Save(Box::new(save)));
            }
            agreement::Action::Send { to, say } => {
                self.tell(&to, Word::Agreement(Letter { say: Some(say) }), out);
            }
            agreement::Action::Apply(entry) => self.apply(now, &entry, out),
            agreement::Action::Restore { index, state } => match Whole::decode(&state[..]) {
                Ok(whole) => {
                    let former = self.state.index;
                    invariants::check(Invariant::StateClimbs, index >= former, || {
                        format!("the state of {index} takes the place of that of {former}")
                    });
                    self.state = State { index, ..State::from_whole(now, whole) };
                    (self.applied, self.unread, self.whole) = (true, false, None);
                }
                Err(_) => out.push(Action::Stop(format!("the state {index} that was sent can't be read"))),
            },
            agreement::Action::Leads(leads) => self.take_duty(now, leads, out),
        }
    }

    fn apply(&mut self, now: Millis, entry: &Entry, out: &mut Vec<Action>) {
        self.applied = true;
        if !entry.new_members.is_empty() {
            log::info!("core: the members are {}", entry.new_members.join(", "));
        }
        let change = change_in(entry);
        if !entry.data.is_empty() && change.as_ref().is_none_or(|change| change.kind.is_none()) {
            log::error!(
                "core: change {} can't be read: it does not lead until its copy is mended",
                entry.index
            );
            self.unread = true;
        }
        let touched = self.state.apply(now, entry.index, change.as_ref());
        self.compact(now);
        if touched == Touched::Config {
            self.take_limits();
        }
        if let Some(Kind::Configured(config)) = change.as_ref().and_then(|change| change.kind.as_ref()) {
            self.log_order(config, touched == Touched::Config);
        }
        self.orders.decided(entry.index);
        let waits = |stage: &Stage| match stage {
            Stage::Proposed { index, term, mark } if *index == entry.index => Some((*term, *mark)),
            _ => None,
        };
        let callers = self.calls.iter().filter_map(|(caller, w)| Some((caller.clone(), waits(&w.stage)?)));
        for (caller, (term, mark)) in callers.collect::<Vec<_>>() {
            match mark {
                // Another term's entry in its place means that it was not taken.
                _ if term != entry.term => self.refuse(&caller, &Refusal::Later, out),
                Some(mark) => self.decided(now, &caller, &mark, out),
                None => self.grant(&caller, out),
            }
        }
    }

    /// Begins to lead, or ends.
    fn take_duty(&mut self, now: Millis, leads: bool, out: &mut Vec<Action>) {
        log::info!("core: {} in term {}", if leads { "leads" } else { "follows" }, self.agreement.term());
        self.told = false;
        self.orders.forget();
        self.presence = Presence::since(now);
        let slack = self.settings.bounds.quota_slack;
        self.count = if leads {
            count::Count::begin(now, self.agreement.term(), slack)
        } else {
            count::Count::default()
        };
        self.take_limits();
        if !leads {
            // What came of them is not known: the same call again finds out.
            let mine = self.calls.iter().filter(|(_, w)| !matches!(w.stage, Stage::Passed(_)));
            let mine: Vec<_> = mine.map(|(caller, _)| caller.clone()).collect();
            for caller in mine {
                self.refuse(&caller, &Refusal::Later, out);
            }
        }
    }

    /// The state takes the place of the log so far, at the same numbers at all members.
    fn compact(&mut self, now: Millis) {
        let index = self.state.index;
        if !index.is_multiple_of(LOG_MOST) && self.agreement.log_bytes(index) < LOG_BYTES {
            return;
        }
        let state = self.state.whole(now, true).encode_to_vec();
        let mut actions = Vec::new();
        self.agreement.compact(self.state.index, state, &mut actions);
        self.behind.extend(actions);
    }

    // ---- Calls ----------------------------------------------------------------------------------------------

    /// Whether it was told of no time for long.
    fn stood_still(&self, now: Millis) -> bool {
        now - self.ticked > STOOD_STILL_MS
    }

    /// A call came.
    fn called(&mut self, now: Millis, caller: Caller, called: &Called, out: &mut Vec<Action>) {
        if self.stood_still(now) || now < self.wakes_until {
            // It may have waited in its socket for long: its caller has given up, and may have called others since.
            return self.refuse(&caller, &Refusal::Later, out);
        }
        match calls::answer(self, now, called) {
            Served::Now(reply) => self.reply(&caller, reply, out),
            Served::Waits(granted, wait) => {
                let until = now + CALL_MS;
                match wait {
                    Wait::Agreed(kind) => {
                        let stage = Stage::Proposing(None);
                        self.calls.insert(caller.clone(), Waiting { granted, until, stage });
                        self.next.push_back(Next::Propose(kind, Some(caller)));
                    }
                    Wait::Order(order) => {
                        let stage = Stage::Heard(order);
                        self.calls.insert(caller.clone(), Waiting { granted, until, stage });
                        self.hear_order(caller, out);
                    }
                }
            }
            Served::Elsewhere => self.pass_on(now, caller, called, out),
        }
    }

    /// The one place where a call's stage changes.
    fn become_stage(&mut self, caller: &Caller, stage: Stage) {
        if let Some(waiting) = self.calls.get_mut(caller) {
            waiting.stage = stage;
        }
    }

    fn grant(&mut self, caller: &Caller, out: &mut Vec<Action>) {
        if let Some(waiting) = self.calls.get(caller) {
            let granted = waiting.granted.clone();
            self.reply(caller, granted, out);
        }
    }

    fn refuse(&mut self, caller: &Caller, why: &Refusal, out: &mut Vec<Action>) {
        self.reply(caller, why.reply(), out);
    }

    /// Answers whoever called, and is done with the call.
    fn reply(&mut self, caller: &Caller, reply: Reply, out: &mut Vec<Action>) {
        self.let_go(caller);
        match caller {
            Caller::Outside(call) => out.push(Action::Answer { call: *call, reply }),
            Caller::Member(name, number) => {
                let (body, status) = (reply.body.into_bytes(), u32::from(reply.status));
                let answer = Forwarded { number: *number, body, status, ..Forwarded::default() };
                self.tell(name, Word::Answer(answer), out);
            }
        }
    }

    /// Is done with a call.
    fn let_go(&mut self, caller: &Caller) {
        self.calls.remove(caller);
        self.orders.leave(caller);
    }
}

impl Serves for Member {
    type Wait = Wait;

    fn leads(&self) -> bool {
        self.agreement.leads()
    }

    fn vouches(&self, now: Millis) -> bool {
        self.agreement.vouches(now)
    }
}

/// What comes of a call to a member.
type Granted<A> = Result<Outcome<A, Wait>, Refusal>;

/// Whether a state can be read.
fn readable(state: &[u8]) -> bool {
    Whole::decode(state).is_ok()
}

/// The change in an entry; none in those of the agreement's own.
fn change_in(entry: &Entry) -> Option<Change> {
    Change::decode(&entry.data[..]).ok().filter(|_| !entry.data.is_empty())
}
