//! Agreement of the core: one log of changes in the same order at all its members. Raft (Ongaro and Ousterhout,
//! 2014) with its pre-vote, its check of the leader's quorum and its joint consensus for changes of members, and three
//! rules more: a member with an empty disk votes and counts only once a leader has brought it up to date; a leader
//! that is told its disk is slow names a successor; a lease by the steady clock tells who may answer for all.
//!
//! No socket, clock, disk or random source but what it is given: time and letters come in as [`Event`]s, what is to
//! be saved, sent and applied goes out as [`Action`]s, to be carried out in order. What is saved must be on disk
//! before the actions behind it are carried out. `docs/system/agreement.md` states what it promises.

mod letter;
mod members;
mod role;
mod snapshot;

pub use letter::{Append, Entry, Install, Letter, Piece, Say, READS};
pub use members::Roll;
pub use snapshot::Sizes;

use crate::invariants::{self, Invariant};
use cherrytally::Millis;
use letter::{Appended, Vote, VoteAsk};
use members::Membership;
use role::{Follow, Lead, Progress, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A member's name.
pub type Name = String;

/// A leader speaks up at least so often, in ms.
const HEARTBEAT_MS: f64 = 100.0;
/// Without a word of a leader for between so long, in ms, a member wants to lead. Between zones of one region a word
/// takes 1 ms, between regions 50; a process may be kept from its processor for some hundred.
const ELECTION_MS: (f64, f64) = (700.0, 1200.0);
/// One that asked for votes and got too few, as another asked at the same time, tries again between so long after, in ms.
/// Nobody that hears a leader votes for it, so it need not wait as long as for a word of one; two ways between regions are
/// 100 ms.
const SPLIT_MS: (f64, f64) = (150.0, 600.0);
/// After a start a member asks this long and up to twice as long later whether it would be voted for, in ms.
const START_MS: f64 = 60.0;
/// It asks those again that have not answered so long after, in ms: they may just be starting, too.
const ASK_MS: f64 = 120.0;
/// A leader may answer for all for so long after it sent what a majority has answered, in ms. Members vote for no other
/// before the least time above: the difference is for clocks that run at different rates.
const LEASE_MS: f64 = 550.0;
/// An empty disk may have forgotten a vote: its member votes for nobody for so long after its start, in ms. Old
/// letters are answered or lost by then.
const FORGOTTEN_MS: f64 = 3000.0;
/// Entries in one letter at most.
const BATCH: usize = 256;
/// Bytes of entries that a member is sent before it answers, or one entry: at 2 Mbit/s a sign of life that stands behind
/// them comes a quarter of a second late, and at 50 ms there and back a MiB passes in a second.
const FLIGHT: usize = 64 * 1024;
/// What an entry takes beside its change, about, in bytes.
const ENTRY_BYTES: usize = 16;
/// Unanswered letters with entries are sent again after so long, in ms, and a ms later for so many bytes in them: a link
/// of 1 Mbit/s is slow, not silent.
const AGAIN_MS: f64 = 300.0;
const AGAIN_BYTES_MS: f64 = 125.0;

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A letter came.
    Heard {
        /// Who sent it.
        from: Name,
        /// What it says.
        say: Say,
    },
    /// A change is wanted. Only a leader takes it.
    Propose(Vec<u8>),
    /// Another process wants to be a member.
    Join(Name),
    /// The process is told to end: see [`Agreement::left`].
    Leave,
    /// Somebody else should lead: the process ends, its disk is slow, or agents don't reach it.
    Resign,
    /// This process hears so many agents.
    Reach(u32),
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Bring to disk before all that follows.
    Save(Save),
    /// Send a letter. It may be lost.
    Send {
        /// To whom.
        to: Name,
        /// What it says.
        say: Say,
    },
    /// This entry is agreed on: apply it.
    Apply(Entry),
    /// The state of others replaces one's own.
    Restore {
        /// The number of the last change in it.
        index: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// This process leads from now on, or no longer.
    Leads(bool),
}

/// What is to be brought to disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Save {
    /// Term, vote and whether its word counts.
    pub vow: Vow,
    /// From this number on the log is replaced by these entries; none if it stays as it is.
    pub entries: Option<(u64, Vec<Entry>)>,
    /// The log begins anew behind this state.
    pub base: Option<Base>,
}

/// What a member must not forget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Vow {
    /// The latest term it has heard of.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<Name>,
    /// Its votes and copies count.
    pub counts: bool,
}

/// Where a log begins.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Base {
    /// The number of the last entry that is no longer in the log.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// The members then.
    pub members: Vec<Name>,
    /// The state then.
    pub state: Vec<u8>,
}

/// What a disk held at a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    /// Term and vote.
    pub vow: Vow,
    /// Where the log begins.
    pub base: Base,
    /// The log.
    pub entries: Vec<Entry>,
}

/// One member.
pub struct Agreement {
    me: Name,
    vow: Vow,
    base: Arc<Base>,
    /// Entries that the base holds, the newest, for members that are a little behind.
    tail: VecDeque<Entry>,
    log: VecDeque<Entry>,
    sizes: Sizes,
    /// Pieces of a state that came so far.
    partial: Option<snapshot::Partial>,
    /// Whether a state can be read.
    reads: fn(&[u8]) -> bool,
    /// The number of the last entry that is agreed on.
    commit: u64,
    applied: u64,
    role: Role,
    /// When a leader was last heard of.
    heard: Millis,
    /// Which one that was.
    last_leader: Option<Name>,
    /// When the leader said what was last heard of it, by the leader's own clock.
    said: Millis,
    /// When it wants to lead if none is heard of.
    election: Millis,
    /// Before that it votes for nobody.
    forgotten_until: Millis,
    membership: Membership,
    /// How long ago the leader had heard this member when it said what was last heard of it, in ms.
    unheard: Millis,
    /// How many agents this process hears.
    reach: u32,
    /// Who asked to be a member, and when.
    asking: BTreeMap<Name, Millis>,
    /// The process is told to end.
    leaving: bool,
    /// A leader said that it may.
    released: bool,
    rng: fastrand::Rng,
}

impl Agreement {
    /// The members that found the system: all of them know all of them.
    pub fn found(mut members: Vec<Name>) -> Saved {
        members.sort();
        members.dedup();
        let vow = Vow { counts: true, ..Vow::default() };
        // A log begins behind a state, be it an empty one: an empty disk has no such state and is sent it, members and all.
        Saved { vow, base: Base { index: 1, members, ..Base::default() }, entries: Vec::new() }
    }

    /// A member as its disk has it. One with an empty disk knows no members and counts for nothing.
    pub fn new(me: Name, saved: Saved, seed: u64, now: Millis) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let Saved { vow, base, entries } = saved;
        let empty = !vow.counts;
        let mut agreement = Agreement {
            me,
            commit: base.index,
            applied: base.index,
            vow,
            base: Arc::new(base),
            tail: VecDeque::new(),
            log: entries.into(),
            sizes: Sizes::default(),
            partial: None,
            reads: |_| true,
            role: Role::Follower(Follow { leader: None }),
            heard: f64::NEG_INFINITY,
            last_leader: None,
            said: 0.0,
            // Whoever leads is asked first whether it does: nobody votes for another while it is heard.
            election: now + START_MS * (1.0 + rng.f64()),
            forgotten_until: if empty { now + FORGOTTEN_MS } else { now },
            membership: Membership::default(),
            unheard: 0.0,
            reach: 0,
            asking: BTreeMap::new(),
            leaving: false,
            released: false,
            rng,
        };
        agreement.read_members();
        agreement
    }

    /// It takes no state that can't be read in this way.
    pub fn reading(self, reads: fn(&[u8]) -> bool) -> Self {
        Agreement { reads, ..self }
    }

    /// It keeps and sends so much at a time.
    pub fn sized(self, sizes: Sizes) -> Self {
        Agreement { sizes, ..self }
    }

    /// The latest term that it has heard of.
    pub fn term(&self) -> u64 {
        self.vow.term
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&Name> {
        match &self.role {
            Role::Leader(_) => Some(&self.me),
            Role::Follower(Follow { leader }) => leader.as_ref(),
            Role::Candidate(_) => None,
        }
    }

    /// When the leader said what was last heard of it, by the leader's own clock: what is told it with this is that young at
    /// most.
    pub fn leader_said(&self) -> Millis {
        self.said
    }

    /// Whether all that are sent the log read what this program may write into it.
    pub fn all_read(&self) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        lead.peers.values().chain(lead.joining.values()).all(|peer| peer.reads >= READS)
    }

    /// How long ago the leader last heard this member, in ms, as far as its last word tells: what is passed to a leader that
    /// does not hear is lost.
    pub fn unheard(&self, now: Millis) -> Millis {
        self.unheard + (now - self.heard).max(0.0)
    }

    /// When a leader was last heard of.
    pub fn heard(&self) -> Millis {
        self.heard
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it leads and takes proposals. One that named a successor takes none: an entry more would leave that one
    /// behind, nobody would vote for it, and the lead would come back to who wants to be rid of it.
    pub fn takes(&self) -> bool {
        matches!(&self.role, Role::Leader(lead) if lead.resigned.is_none())
    }

    /// Whether it leads, and no other can have led before now: it may answer for all.
    pub fn vouches(&self, now: Millis) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        self.commit >= lead.first
            && self.quorum(|name| lead.asked(name, &self.me, now)).is_some_and(|at| now - at < LEASE_MS)
    }

    /// Why it follows nobody, in words; none where it does, or leads.
    pub fn leaderless(&self) -> Option<String> {
        let members = self.members().len();
        match &self.role {
            Role::Leader(_) | Role::Follower(Follow { leader: Some(_) }) => None,
            _ if !self.vow.counts => {
                Some("its disk holds nothing that counts, and no leader fills it up".into())
            }
            _ if !self.is_member() => Some("it is no member".into()),
            Role::Follower(_) => Some("it was asked for its vote, or waits for a leader".into()),
            Role::Candidate(stand) => {
                let votes: Vec<&str> = stand.votes.iter().map(String::as_str).collect();
                let (term, votes) = (self.vow.term + u64::from(stand.pre), votes.join(", "));
                Some(format!("it stands for term {term} with the votes of {votes}, of {members} members"))
            }
        }
    }

    /// The number of the last entry that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Entries that the log holds.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, actions),
            Event::Heard { from, say } => self.hear(now, from, say, actions),
            Event::Propose(data) => {
                if self.takes() {
                    self.append(now, Entry::data(self.vow.term, self.last() + 1, data), actions);
                }
            }
            Event::Join(name) => self.join(now, name),
            Event::Leave => self.leave(now, actions),
            Event::Resign => self.resign(now, actions),
            Event::Reach(agents) => self.reach = agents,
        }
    }

    // ---- The log ------------------------------------------------------------------------------------------

    /// The number of the last entry of the log.
    pub fn last(&self) -> u64 {
        self.base.index + self.log.len() as u64
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.kept(index.checked_sub(1)?)?.next().map(|entry| entry.term)
    }

    fn save(&self, entries: Option<(u64, Vec<Entry>)>, actions: &mut Vec<Action>) {
        actions.push(Action::Save(Save { vow: self.vow.clone(), entries, base: None }));
    }

    fn append(&mut self, now: Millis, entry: Entry, actions: &mut Vec<Action>) {
        let named = entry.members().is_some() || entry.next().is_some();
        self.log.push_back(entry.clone());
        if named {
            self.read_members();
            self.sort_peers(now);
        }
        self.save(Some((entry.index, vec![entry])), actions);
        self.advance(actions);
        self.spread(now, false, actions);
    }

    fn apply(&mut self, actions: &mut Vec<Action>) {
        while self.applied < self.commit {
            let at = (self.applied - self.base.index) as usize;
            let Some(entry) = self.log.get(at) else { return };
            actions.push(Action::Apply(entry.clone()));
            self.applied += 1;
        }
    }

    // ---- Roles --------------------------------------------------------------------------------------------

    /// The one place where the role changes.
    fn become_role(&mut self, now: Millis, role: Role, actions: &mut Vec<Action>) {
        let (led, leads) = (self.leads(), matches!(role, Role::Leader(_)));
        self.role = role;
        let split = matches!(&self.role, Role::Candidate(stand) if !stand.pre);
        let (least, most) = if split { SPLIT_MS } else { ELECTION_MS };
        self.election = now + least + (most - least) * self.rng.f64();
        if led != leads {
            actions.push(Action::Leads(leads));
        }
    }

    fn follow(&mut self, now: Millis, term: u64, leader: Option<Name>, actions: &mut Vec<Action>) {
        if term > self.vow.term {
            (self.vow.term, self.vow.vote) = (term, None);
            self.save(None, actions);
        }
        if leader.is_some() {
            (self.heard, self.last_leader) = (now, leader.clone());
        }
        self.become_role(now, Role::Follower(Follow { leader }), actions);
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        match &self.role {
            Role::Leader(lead) => {
                // Cut off from a majority it leads nobody, nor where the successor that it named did not come.
                let heard = self.quorum(|name| lead.heard(name, &self.me, now));
                let resigned = lead.resigned.is_some_and(|at| now - at > ELECTION_MS.0);
                if resigned || heard.is_none_or(|at| now - at > ELECTION_MS.1) {
                    let term = self.vow.term;
                    return self.follow(now, term, None, actions);
                }
                self.give_way(now, actions);
                self.change_members(now, actions);
                self.spread(now, true, actions);
            }
            _ if now >= self.election => self.campaign(now, true, false, actions),
            Role::Candidate(stand) if now - stand.asked >= ASK_MS => self.ask_votes(now, actions),
            _ => {}
        }
    }

    /// Asks whether it would be voted for, and then for votes.
    fn campaign(&mut self, now: Millis, pre: bool, named: bool, actions: &mut Vec<Action>) {
        if !self.vow.counts || !self.is_member() {
            let term = self.vow.term;
            return self.follow(now, term, None, actions);
        }
        if !pre {
            (self.vow.term, self.vow.vote) = (self.vow.term + 1, Some(self.me.clone()));
            self.save(None, actions);
        }
        let votes = BTreeSet::from([self.me.clone()]);
        self.become_role(now, Role::Candidate(role::Stand { pre, votes, named, asked: now }), actions);
        self.ask_votes(now, actions);
        self.count_votes(now, actions);
    }

    /// Asks those that have not voted for it yet.
    fn ask_votes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Candidate(stand) = &mut self.role else { return };
        stand.asked = now;
        let (pre, named, votes) = (stand.pre, stand.named, stand.votes.clone());
        let term = self.vow.term + u64::from(pre);
        let (last, last_term) = (self.last(), self.term_at(self.last()).unwrap_or(0));
        for to in self.others().into_iter().filter(|name| !votes.contains(name)) {
            let say = Say::VoteAsk(VoteAsk { term, last, last_term, pre, named });
            actions.push(Action::Send { to, say });
        }
    }

    fn count_votes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Candidate(stand) = &self.role else { return };
        let (pre, named) = (stand.pre, stand.named);
        if !self.membership.majority(|name| stand.votes.contains(name)) {
            return;
        }
        if pre {
            return self.campaign(now, false, named, actions);
        }
        let first = self.last() + 1;
        let mut peers: BTreeMap<_, _> =
            self.others().into_iter().map(|name| (name, Progress::new(first, now))).collect();
        if let Some(last) = self.last_leader.as_ref().and_then(|name| peers.get_mut(name)) {
            // Who led before has been silent for a while already. It has a moment to answer.
            last.heard = self.heard.max(now - members::SUSPECT_MS + members::PRESENT_MS);
        }
        let joining = self.listening(now);
        let lead = Lead { first, since: now, peers, joining, resigned: None };
        self.become_role(now, Role::Leader(lead), actions);
        // What earlier terms left is agreed on with the first entry of one's own.
        self.append(now, Entry::empty(self.vow.term, first), actions);
    }

    /// Whether this leader hears less than half of the agents that one hears who could lead in its place: a leader that the
    /// agents don't reach tells them nothing and counts for nobody, and holds its lead by its peers all the same.
    pub fn ill_placed(&self, now: Millis) -> bool {
        let (last, Role::Leader(lead)) = (self.last(), &self.role) else { return false };
        let able = lead.peers.values().filter(|p| p.able(last, now));
        able.map(|p| p.reach).max().is_some_and(|most| most > 2 * self.reach)
    }

    fn resign(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let last = self.last();
        let Role::Leader(lead) = &mut self.role else { return };
        let best = lead.peers.iter().filter(|(_, p)| p.able(last, now));
        // The one that most agents reach, and of those the one that was heard last.
        let best = best.max_by(|(_, a), (_, b)| a.reach.cmp(&b.reach).then(a.heard.total_cmp(&b.heard)));
        let best = best.map(|(name, _)| name.clone());
        // Where none is up to date a majority finds the next.
        if let Some(to) = best {
            lead.resigned = Some(now);
            actions.push(Action::Send { to, say: Say::Succeed(self.vow.term) });
        }
    }

    // ---- Letters ------------------------------------------------------------------------------------------

    fn hear(&mut self, now: Millis, from: Name, say: Say, actions: &mut Vec<Action>) {
        match say {
            Say::VoteAsk(ask) => self.vote_asked(now, from, &ask, actions),
            Say::Vote(vote) => {
                if vote.term > self.vow.term && !vote.granted {
                    return self.follow(now, vote.term, None, actions);
                }
                let term = self.vow.term;
                if let Role::Candidate(stand) = &mut self.role {
                    if vote.granted && vote.pre == stand.pre && vote.term == term + u64::from(stand.pre) {
                        stand.votes.insert(from);
                        self.count_votes(now, actions);
                    }
                }
            }
            Say::Append(append) => self.append_asked(now, from, append, actions),
            Say::Appended(appended) => self.appended(now, from, &appended, actions),
            Say::Install(install) => self.install(now, from, install, actions),
            Say::Piece(piece) => self.piece(now, from, piece, actions),
            Say::Took(took) => self.took(now, from, &took, actions),
            Say::Succeed(term) => {
                let leader = self.leader() == Some(&from);
                if term == self.vow.term && leader {
                    self.campaign(now, false, true, actions);
                }
            }
        }
    }

    fn vote_asked(&mut self, now: Millis, from: Name, ask: &VoteAsk, actions: &mut Vec<Action>) {
        // While a leader is heard of nobody is voted for, unless that leader named its successor.
        let led = self.leads() || now - self.heard < ELECTION_MS.0;
        let barred = !self.vow.counts || now < self.forgotten_until || (led && !ask.named);
        if !barred && !ask.pre && ask.term > self.vow.term {
            self.follow(now, ask.term, None, actions);
        }
        let mine = (self.term_at(self.last()).unwrap_or(0), self.last());
        let fresh = (ask.last_term, ask.last) >= mine;
        let free = self.vow.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted = !barred
            && fresh
            && if ask.pre { ask.term > self.vow.term } else { ask.term == self.vow.term && free };
        if granted && !ask.pre {
            self.vow.vote = Some(from.clone());
            self.save(None, actions);
            let term = self.vow.term;
            self.follow(now, term, None, actions);
        }
        let term = if granted { ask.term } else { self.vow.term };
        actions.push(Action::Send { to: from, say: Say::Vote(Vote { term, granted, pre: ask.pre }) });
    }

    fn append_asked(&mut self, now: Millis, from: Name, append: Append, actions: &mut Vec<Action>) {
        let mut answer = Appended {
            term: self.vow.term,
            ok: false,
            matched: self.last(),
            counts: self.vow.counts,
            at: append.at,
            leaving: self.leaving,
            reach: self.reach,
            reads: READS,
        };
        if append.term < self.vow.term {
            actions.push(Action::Send { to: from, say: Say::Appended(answer) });
            return;
        }
        self.alone_in_term(&from, append.term);
        self.follow(now, append.term, Some(from.clone()), actions);
        (self.said, self.unheard) = (append.at, append.unheard_ms);
        answer.term = self.vow.term;
        self.released |= self.leaving && append.released;
        let (mut prev, mut entries) = (append.prev, append.entries);
        if prev < self.base.index {
            // What lies before the base is agreed on and the same everywhere.
            let known = (self.base.index - prev) as usize;
            entries.drain(..known.min(entries.len()));
            prev = self.base.index;
        }
        if prev == append.prev && self.term_at(prev) != Some(append.prev_term) {
            // It has none there: from where they may agree is told. Or it has others: what is agreed on is the same, and one
            // step back after the other would never end while answers overtake each other and entries go on coming.
            answer.matched = self.last().min(append.prev.saturating_sub(1));
            if self.term_at(prev).is_some() {
                answer.matched = answer.matched.min(self.commit);
            }
            actions.push(Action::Send { to: from, say: Say::Appended(answer) });
            return;
        }
        let end = prev + entries.len() as u64;
        let new = entries.iter().position(|entry| self.term_at(entry.index) != Some(entry.term));
        if let Some(new) = new {
            let entries = entries.split_off(new);
            let first = entries[0].index;
            if first <= self.commit {
                // Nothing may follow from it: what is agreed on stays.
                let commit = self.commit;
                let why = format!("{from} sends another entry {first} than was agreed on up to {commit}");
                invariants::record_violation(Invariant::CommittedEntriesArePermanent, &why);
                answer.matched = commit;
                actions.push(Action::Send { to: from, say: Say::Appended(answer) });
                return;
            }
            self.log.truncate((first - self.base.index - 1) as usize);
            self.log.extend(entries.iter().cloned());
            self.read_members();
            self.save(Some((first, entries)), actions);
        }
        self.commit = self.commit.max(append.commit.min(end));
        self.partial.take_if(|partial| partial.index <= self.commit);
        if append.counts && !self.vow.counts && self.commit >= append.commit {
            // A leader says that nothing that is agreed on is missing here.
            self.vow.counts = true;
            self.save(None, actions);
        }
        (answer.ok, answer.matched, answer.counts) = (true, end, self.vow.counts);
        actions.push(Action::Send { to: from, say: Say::Appended(answer) });
        self.apply(actions);
    }

    /// Whoever sends entries or a state in this term leads in it: this member does not.
    pub(super) fn alone_in_term(&self, from: &Name, term: u64) {
        let another = self.leads() && term == self.vow.term && *from != self.me;
        invariants::check(Invariant::OneLeaderPerTerm, !another, || {
            format!("{from} and {} lead in term {term}", self.me)
        });
    }

    fn appended(&mut self, now: Millis, from: Name, answer: &Appended, actions: &mut Vec<Action>) {
        if answer.term > self.vow.term {
            return self.follow(now, answer.term, None, actions);
        }
        let (last, commit) = (self.last(), self.commit);
        let Role::Leader(lead) = &mut self.role else { return };
        if answer.term < self.vow.term {
            return;
        }
        let first = lead.first;
        let Some(progress) = lead.progress(&from) else { return };
        if !progress.answered(now, answer.at, answer.counts, Some(answer.leaving)) {
            return;
        }
        (progress.reach, progress.reads) = (answer.reach, answer.reads);
        if answer.ok {
            progress.matched = progress.matched.max(answer.matched);
            progress.next = progress.next.max(answer.matched + 1);
            progress.out_since = (progress.matched + 1 < progress.next).then_some(now);
            progress.sending.take_if(|sending| sending.index() <= answer.matched);
        } else {
            progress.next = (answer.matched + 1).min(last + 1).max(1);
            progress.out_since = None;
        }
        if progress.out_since.is_none() {
            progress.flight = 0;
        }
        // Before an entry of its own term is agreed on a leader does not know all that was.
        progress.welcome |= progress.matched >= commit && commit >= first && answer.ok;
        let more = progress.next <= last || !answer.ok || (progress.welcome && !progress.counts);
        self.advance(actions);
        if more {
            self.speak(now, &from, actions);
        }
        self.change_members(now, actions);
    }

    // ---- The leader ---------------------------------------------------------------------------------------

    /// What a majority holds of this term is agreed on.
    fn advance(&mut self, actions: &mut Vec<Action>) {
        let last = self.last();
        let Role::Leader(lead) = &self.role else { return };
        let held = self.quorum(|name| {
            if *name == self.me {
                return self.vow.counts.then_some(last);
            }
            lead.peers.get(name).filter(|p| p.counts && !p.released).map(|p| p.matched)
        });
        let Some(held) = held.filter(|held| *held > self.commit) else { return };
        if self.term_at(held) == Some(self.vow.term) {
            self.commit = held;
            self.apply(actions);
        }
    }

    /// Speaks to all that are due.
    fn spread(&mut self, now: Millis, beat: bool, actions: &mut Vec<Action>) {
        let Role::Leader(lead) = &self.role else { return };
        let names: Vec<_> = lead.peers.keys().chain(lead.joining.keys()).cloned().collect();
        for name in names {
            let Role::Leader(lead) = &mut self.role else { return };
            let Some(progress) = lead.progress(&name) else { continue };
            let due = now - progress.sent >= HEARTBEAT_MS;
            if due || !beat {
                self.speak(now, &name, actions);
            }
        }
    }

    /// Sends one member what it lacks, or a sign of life.
    fn speak(&mut self, now: Millis, to: &Name, actions: &mut Vec<Action>) {
        let (term, commit, floor) = (self.vow.term, self.commit, self.floor());
        let released = self.releases(now, to);
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(progress) = lead.progress(to) else { return };
        if progress.next <= floor {
            return self.send_state(now, to, actions);
        }
        let again = AGAIN_MS + progress.flight as f64 / AGAIN_BYTES_MS;
        if progress.out_since.is_some_and(|at| now - at > again) {
            (progress.next, progress.out_since, progress.flight) = (progress.matched + 1, None, 0);
        }
        let (prev, mut flight) = (progress.next.max(floor + 1) - 1, progress.flight);
        let fits = |entry: &&Entry| {
            let first = flight == 0;
            flight += entry.data.len() + ENTRY_BYTES;
            first || flight <= FLIGHT
        };
        let kept = self.kept(prev).into_iter().flatten();
        let entries: Vec<_> = kept.take(BATCH).take_while(fits).cloned().collect();
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(progress) = lead.progress(to) else { return };
        (progress.next, progress.sent) = (prev + 1 + entries.len() as u64, now);
        if !entries.is_empty() {
            progress.out_since.get_or_insert(now);
            progress.flight += entries.iter().map(|entry| entry.data.len() + ENTRY_BYTES).sum::<usize>();
        }
        let (counts, unheard_ms) = (progress.welcome, now - progress.heard);
        progress.released |= released;
        let prev_term = self.term_at(prev).unwrap_or(0);
        let append = Append { term, prev, prev_term, entries, commit, counts, at: now, released, unheard_ms };
        actions.push(Action::Send { to: to.clone(), say: Say::Append(append) });
    }
}
