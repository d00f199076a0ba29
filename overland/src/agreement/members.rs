//! Who the members are, what a majority of them is, and how they change.
//!
//! Members change by joint consensus: an entry names the next list beside the present one, and from it on, agreed on or
//! not, a vote and an entry need a majority of both. Once it is agreed on, a second entry makes the next list the only
//! one. While both count no more is needed of the old list than before, so no change makes the system weaker than it was:
//! who is lost is replaced by a listener that has the log, in one change, whatever the number of either.
//!
//! [`Agreement::wanted`] alone says which list is wanted next. `docs/system/members.md` says why.

use super::role::{Lead, Progress, Role};
use super::{Action, Agreement, Entry, Name, BATCH};
use crate::invariants::{self, Invariant};
use cherrytally::Millis;
use std::collections::BTreeMap;

/// A member that said nothing for so long, in ms, gives its place to a listener that has the log, where there is one. It
/// is over the longest time after which a leader is missed; one that was only slow listens from then on, and neither has
/// lost anything, as its place and the listener's are worth the same.
pub(super) const SUSPECT_MS: Millis = 1500.0;
/// A member that said nothing for so long, in ms, is left out where that makes the others stronger, though nobody is there
/// in its place; a listener is forgotten. Over twice the least `catch_up`: who just starts again is not left out.
const LOST_MS: Millis = 9000.0;
/// A listener takes a place if it was heard within so long, in ms: three beats of the leader.
pub(super) const PRESENT_MS: Millis = 350.0;
/// By then a leader has heard of all that listen, in ms: they ask each half second.
const ASKED_MS: Millis = 1000.0;
/// Members at most: three may be lost of seven. More would only be more copies to wait for. The rest listens.
const MEMBERS_MOST: usize = 7;
/// Members that are left at least when lost ones are left out: two of two bear less than two of three.
const MEMBERS_LEAST: usize = 3;
/// Listeners at most.
const LISTENERS_MOST: usize = 16;

/// Who the members are at some point of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Membership {
    present: Vec<Name>,
    /// While they change: who they are to be, by which entry. Majorities of both lists count.
    next: Option<(u64, Vec<Name>)>,
    /// All of both, each once.
    all: Vec<Name>,
}

impl Membership {
    fn of(present: &[Name]) -> Self {
        Membership { present: present.to_vec(), next: None, all: present.to_vec() }
    }

    /// What it is behind this entry.
    fn behind(self, entry: &Entry) -> Self {
        if let Some(members) = entry.members() {
            return Membership::of(members);
        }
        let Some(next) = entry.next() else { return self };
        let mut all = [&self.present[..], next].concat();
        all.sort();
        all.dedup();
        Membership { present: self.present, next: Some((entry.index, next.to_vec())), all }
    }

    /// Whether a majority is among them: while members change, of both lists.
    pub(super) fn majority(&self, among: impl Fn(&Name) -> bool) -> bool {
        self.least(|name| among(name).then_some(())).is_some()
    }

    /// The least of what a majority has, by what each has; none where too few have anything.
    pub(super) fn least<T: PartialOrd>(&self, of: impl Fn(&Name) -> Option<T>) -> Option<T> {
        let least = |members: &[Name]| {
            let mut have: Vec<T> = members.iter().filter_map(&of).collect();
            have.sort_by(|a, b| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
            have.into_iter().nth(members.len() / 2)
        };
        let present = least(&self.present)?;
        let Some((_, next)) = &self.next else { return Some(present) };
        let next = least(next)?;
        Some(if next < present { next } else { present })
    }
}

/// What the leader knows of who is there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roll {
    /// Members that were not heard lately.
    pub missing: Vec<Name>,
    /// Members whose disk is new and is being filled: their copies do not count yet.
    pub filling: Vec<Name>,
    /// Those that listen, and take the place of a member that is lost.
    pub listeners: Vec<Name>,
    /// Members that may be lost now, at once, with a majority left.
    pub borne: usize,
}

impl Agreement {
    /// The members, as the log has them; while they change, those that go and those that come.
    pub fn members(&self) -> &[Name] {
        &self.membership.all
    }

    /// Whether the members are changing: the change is not agreed on yet.
    pub fn changes(&self) -> bool {
        self.membership.next.is_some()
    }

    /// Whether a letter of this one may count: of a member, of one that is sent the log, of the leader that it follows, and
    /// of any where it is no member itself or follows nobody. The members may have changed then without its knowledge; who
    /// leads need not be in the list that it has, which may be years old.
    pub fn hears(&self, name: &Name) -> bool {
        let joining = matches!(&self.role, Role::Leader(lead) if lead.joining.contains_key(name));
        self.apart() || joining || self.leader() == Some(name) || self.members().contains(name)
    }

    /// How many processes are sent the log and want to be members.
    pub fn joining(&self) -> usize {
        match &self.role {
            Role::Leader(lead) => lead.joining.len(),
            _ => 0,
        }
    }

    /// Whether it should ask to be a member: it is none, or was left out and was told by nobody.
    pub fn apart(&self) -> bool {
        !self.is_member() || self.leader().is_none()
    }

    /// What a process that is told to end may do: end, as no member any more (true), or as one that stays in the list and
    /// that the others do not need (false). None as long as neither is known.
    pub fn left(&self) -> Option<bool> {
        let alone = self.members().iter().all(|name| *name == self.me);
        let apart = !self.is_member() && self.leader().is_none();
        (self.leaving && (self.released || alone || apart)).then(|| !self.is_member())
    }

    /// Who is there, as far as a leader knows; none elsewhere.
    pub fn roll(&self, now: Millis) -> Option<Roll> {
        let Role::Leader(lead) = &self.role else { return None };
        let absent = |name: &Name| {
            *name != self.me && lead.peers.get(name).is_none_or(|peer| now - peer.heard > SUSPECT_MS)
        };
        let filling = |name: &Name| *name != self.me && lead.peers.get(name).is_some_and(|p| !p.counts);
        let (mut missing, mut fills) = (Vec::new(), Vec::new());
        let listeners = lead.joining.keys().cloned().collect();
        for name in self.members() {
            match (absent(name), filling(name)) {
                (true, _) => missing.push(name.clone()),
                (_, true) => fills.push(name.clone()),
                _ => {}
            }
        }
        let borne = |members: &[Name]| usize::try_from(self.bears(lead, members, now)).unwrap_or(0);
        let present = borne(&self.membership.present);
        let next = self.membership.next.as_ref().map_or(present, |(_, next)| borne(next));
        Some(Roll { missing, filling: fills, listeners, borne: present.min(next) })
    }

    /// Reads the members from the log. To be called whenever an entry that names them comes or goes.
    pub(super) fn read_members(&mut self) {
        let first = Membership::of(&self.base.members);
        self.membership = self.log.iter().fold(first, Membership::behind);
    }

    /// The members behind this entry; none while they change, as a log can't begin there.
    pub(super) fn members_at(&self, index: u64) -> Option<Vec<Name>> {
        let behind = index.saturating_sub(self.base.index) as usize;
        let first = Membership::of(&self.base.members);
        let membership = self.log.iter().take(behind).fold(first, Membership::behind);
        membership.next.is_none().then_some(membership.present)
    }

    /// The least of what a majority of the members has, by what each of them has; none where too few count.
    pub(super) fn quorum<T: PartialOrd>(&self, of: impl Fn(&Name) -> Option<T>) -> Option<T> {
        self.membership.least(of)
    }

    pub(super) fn others(&self) -> Vec<Name> {
        self.members().iter().filter(|name| **name != self.me).cloned().collect()
    }

    pub(super) fn is_member(&self) -> bool {
        self.members().contains(&self.me)
    }

    /// A process wants to be a member: it listens first. Who follows remembers it, so that it knows as a leader, from the
    /// first moment on, that a place can be handed over.
    pub(super) fn join(&mut self, now: Millis, name: Name) {
        self.asking.retain(|_, asked| now - *asked <= SUSPECT_MS);
        let first = self.last() + 1;
        if self.members().contains(&name) {
            return;
        }
        if self.asking.len() < LISTENERS_MOST || self.asking.contains_key(&name) {
            self.asking.insert(name.clone(), now);
        }
        if let Role::Leader(lead) = &mut self.role {
            if lead.joining.len() < LISTENERS_MOST {
                lead.joining.entry(name).or_insert_with(|| Progress::new(first, now));
            }
        }
    }

    /// Those that asked lately, as one that begins to lead knows them.
    pub(super) fn listening(&self, now: Millis) -> BTreeMap<Name, Progress> {
        let first = self.last() + 1;
        let lately = |(_, asked): &(&Name, &Millis)| now - **asked <= SUSPECT_MS;
        let outside = self.asking.iter().filter(lately).filter(|(name, _)| !self.members().contains(name));
        outside.map(|(name, asked)| (name.clone(), Progress::new(first, *asked))).collect()
    }

    /// The process is told to end: it asks to be let go with each answer, and hands over first if it leads.
    pub(super) fn leave(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.resign(now, actions);
    }

    /// The last change of members is agreed on, and so is an entry of this leader.
    fn settled(&self) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let named = |entry: &&Entry| entry.members().is_some() || entry.next().is_some();
        let pending = self.log.iter().rev().find(named);
        self.commit >= lead.first && pending.is_none_or(|entry| entry.index <= self.commit)
    }

    /// The list that is wanted in place of the present one, if another is. Lists are odd where that can be: an even one
    /// needs one member more for a majority and bears no loss more.
    fn wanted(&self, lead: &Lead, now: Millis) -> Option<Vec<Name>> {
        let present = &self.membership.present;
        let ready = |p: &Progress| {
            let near = p.matched + BATCH as u64 >= self.commit;
            p.counts && near && !p.leaving && now - p.heard < PRESENT_MS
        };
        let mut ready: Vec<&Name> = lead.joining.iter().filter(|(_, p)| ready(p)).map(|(n, _)| n).collect();
        // Who leaves goes first, then who was silent longest.
        let silent = |p: &Progress, ms: Millis| now - p.heard > ms;
        let peers = present.iter().filter_map(|name| Some((name, lead.peers.get(name)?)));
        let mut goes: Vec<_> = peers.filter(|(_, p)| p.leaving || silent(p, SUSPECT_MS)).collect();
        goes.sort_by(|(_, a), (_, b)| b.leaving.cmp(&a.leaving).then(a.heard.total_cmp(&b.heard)));
        let mut next = present.clone();
        let swaps = goes.len().min(ready.len());
        for ((old, _), new) in goes.drain(..swaps).zip(ready.drain(..swaps)) {
            next.retain(|name| name != old);
            next.push(new.clone());
        }
        // With more that are ready the list grows to the next odd number.
        let grows = 2 - (next.len() + 1) % 2;
        if goes.is_empty() && ready.len() >= grows && next.len() + grows <= MEMBERS_MOST {
            next.extend(ready.drain(..grows).cloned());
        }
        // With nobody in their place: who leaves, and lost ones up to the next odd number.
        goes.retain(|(_, p)| p.leaving || silent(p, LOST_MS));
        let leaving = goes.iter().filter(|(_, p)| p.leaving).count();
        let shrinks = if leaving > 0 { 1 } else { 2 - (next.len() + 1) % 2 };
        if swaps == 0 && goes.len() >= shrinks && next.len() >= MEMBERS_LEAST + shrinks {
            let out: Vec<_> = goes.iter().take(shrinks).map(|(name, _)| *name).collect();
            next.retain(|name| !out.contains(&name));
        }
        next.sort();
        (next != *present).then_some(next)
    }

    /// How many losses more a list bears: members that are there, stay and have a disk that counts, beyond a majority. Below
    /// nought it has none.
    fn bears(&self, lead: &Lead, list: &[Name], now: Millis) -> isize {
        let sound = |name: &&Name| {
            let known = lead.peers.get(*name).or_else(|| lead.joining.get(*name));
            let there = known.is_some_and(|p| p.counts && !p.leaving && now - p.heard <= SUSPECT_MS);
            there || (**name == self.me && self.vow.counts && !self.leaving)
        };
        list.iter().filter(sound).count() as isize - (list.len() / 2 + 1) as isize
    }

    /// Members change one change at a time: what is under way goes on, and then the next begins.
    pub(super) fn change_members(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Leader(lead) = &mut self.role else { return };
        if lead.resigned.is_some() || self.commit < lead.first {
            return;
        }
        lead.joining.retain(|_, listener| now - listener.heard <= LOST_MS);
        let (term, index) = (self.vow.term, self.last() + 1);
        let entry = match &self.membership.next {
            Some((joint, next)) if *joint <= self.commit => Entry::of_members(term, index, next.clone()),
            Some(_) => return,
            None if !self.settled() => return,
            None => {
                let Role::Leader(lead) = &self.role else { return };
                let Some(next) = self.wanted(lead, now) else { return };
                let (present, after) = (&self.membership.present, &next);
                let (before, then) = (self.bears(lead, present, now), self.bears(lead, after, now));
                invariants::check(Invariant::MembershipChangesKeepFaultTolerance, then >= before, || {
                    format!("{present:?} bears {before} losses, {after:?} bears {then}")
                });
                Entry::of_next_members(term, index, next)
            }
        };
        self.append(now, entry, actions);
    }

    /// A leader that is no member any more, or is told to end, gives way once somebody is up to date.
    pub(super) fn give_way(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Leader(lead) = &self.role else { return };
        if lead.resigned.is_none() && (self.leaving || (!self.is_member() && self.settled())) {
            self.resign(now, actions);
        }
    }

    /// What a leader knows of each member follows the list: who comes was a listener, who goes becomes one.
    pub(super) fn sort_peers(&mut self, now: Millis) {
        let (members, first) = (self.others(), self.last() + 1);
        let Role::Leader(lead) = &mut self.role else { return };
        let mut known = std::mem::take(&mut lead.peers);
        known.append(&mut lead.joining);
        for name in members {
            let progress = known.remove(&name).unwrap_or_else(|| Progress::new(first, now));
            lead.peers.insert(name, progress);
        }
        known.remove(&self.me);
        lead.joining = known;
    }

    /// Whether one that leaves may end: it is no member any more, or nobody can take its place, and a majority without it
    /// holds all that is agreed on.
    pub(super) fn releases(&self, now: Millis, name: &Name) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let known = lead.peers.get(name).or_else(|| lead.joining.get(name));
        if !known.is_some_and(|p| p.leaving) || !self.settled() || self.changes() || lead.resigned.is_some() {
            return false;
        }
        let holds = |of: &Name| {
            let peer = lead.peers.get(of).is_some_and(|p| {
                p.counts && !p.released && p.matched >= self.commit && now - p.heard < SUSPECT_MS
            });
            of != name && (peer || (*of == self.me && self.vow.counts))
        };
        // One that listens may only be about to have the log, and a new leader may not have heard of it yet.
        let listens = |p: &Progress| !p.leaving && now - p.heard < SUSPECT_MS;
        let nobody_comes = now - lead.since > ASKED_MS && !lead.joining.values().any(listens);
        !self.members().contains(name)
            || (nobody_comes && self.wanted(lead, now).is_none() && self.membership.majority(holds))
    }
}
