//! Membership and joint consensus.
//!
//! Members change by joint consensus: a first entry adds the incoming members, and from that entry on,
//! committed or not, elections and commits need a majority of both lists. Once it is committed, a second
//! entry makes the incoming list the only one. Any number of members can be replaced in one change, and
//! quorums are never weaker in between.
//!
//! Processes that are not members join as learners: they receive the log and do not count toward quorums.
//! [`RaftNode::desired_members`] decides which list to change to.

use super::role::{LeaderState, Progress, Role};
use super::{Action, Entry, Name, RaftNode, MAX_BATCH_ENTRIES};
use crate::invariants::{self, Invariant};
use oakfall::Millis;
use std::collections::BTreeMap;

/// A member silent for this long is replaced by a caught-up learner, if there is one. Longer than the longest
/// election timeout, so a change of leader alone replaces nobody. One that was
/// only slow becomes a learner, and neither it nor its replacement has lost anything.
pub(super) const SUSPECT_AFTER_MS: Millis = 1500.0;
/// A member silent for this long is removed without a replacement where that helps the remaining ones; a
/// learner silent for this long is dropped. More than twice the smallest `catch_up`, so that a restarting
/// member is not removed.
const REMOVE_AFTER_MS: Millis = 9000.0;
/// A learner can become a member if it sent something within this time: three heartbeats and 50 ms.
pub(super) const RECENTLY_HEARD_MS: Millis = 350.0;
/// Time after which a new leader knows every learner: learners repeat their requests every 500 ms.
const LEARNERS_KNOWN_AFTER_MS: Millis = 1000.0;
/// Seven members tolerate three losses; more would only add replicas to wait for.
const MAX_MEMBERS: usize = 7;
/// Members without a replacement are not removed below this number: two members tolerate no loss.
const MIN_MEMBERS: usize = 3;
const MAX_LEARNERS: usize = 16;

/// The membership as of some log entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Membership {
    current: Vec<Name>,
    /// During joint consensus: the index of the entry that started it, and the incoming members.
    incoming: Option<(u64, Vec<Name>)>,
    /// The union of both lists.
    all: Vec<Name>,
}

impl Membership {
    fn new(current: &[Name]) -> Self {
        Membership { current: current.to_vec(), incoming: None, all: current.to_vec() }
    }

    /// The membership after this entry.
    fn after(self, entry: &Entry) -> Self {
        if let Some(members) = entry.final_members() {
            return Membership::new(members);
        }
        let Some(incoming) = entry.incoming_members() else { return self };
        let mut all = [&self.current[..], incoming].concat();
        all.sort();
        all.dedup();
        Membership { current: self.current, incoming: Some((entry.index, incoming.to_vec())), all }
    }

    /// Whether the members that satisfy `included` form a quorum: a majority, during joint consensus of both
    /// lists.
    pub(super) fn has_quorum(&self, included: impl Fn(&Name) -> bool) -> bool {
        self.quorum_value(|name| included(name).then_some(())).is_some()
    }

    /// The highest value that a quorum has reached, by the value of each member; none without a quorum.
    pub(super) fn quorum_value<T: PartialOrd>(&self, value_of: impl Fn(&Name) -> Option<T>) -> Option<T> {
        let majority_value = |members: &[Name]| {
            let mut values: Vec<T> = members.iter().filter_map(&value_of).collect();
            values.sort_by(|a, b| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
            values.into_iter().nth(members.len() / 2)
        };
        let current = majority_value(&self.current)?;
        let Some((_, incoming)) = &self.incoming else { return Some(current) };
        let incoming = majority_value(incoming)?;
        Some(if incoming < current { incoming } else { current })
    }
}

/// The state of the membership as the leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipStatus {
    /// Members silent for more than 1.5 s.
    pub missing: Vec<Name>,
    /// Members that lost their disk and don't count toward quorums until they have caught up.
    pub catching_up: Vec<Name>,
    /// Learners, which can replace lost members.
    pub learners: Vec<Name>,
    /// How many members may be lost now, at the same time, with a quorum left.
    pub tolerable_losses: usize,
}

impl RaftNode {
    /// The members by this process's log; during joint consensus, the union of both lists.
    pub fn members(&self) -> &[Name] {
        &self.membership.all
    }

    /// Whether a change of members is in progress (joint consensus).
    pub fn in_joint_consensus(&self) -> bool {
        self.membership.incoming.is_some()
    }

    /// Whether messages from `name` are processed: those of members, learners and the current leader, and of
    /// anybody while this process is not a member or has no leader, as its member list may be out of date.
    pub fn accepts_messages_from(&self, name: &Name) -> bool {
        let learner = matches!(&self.role, Role::Leader(leader) if leader.learners.contains_key(name));
        self.needs_to_join() || learner || self.leader() == Some(name) || self.members().contains(name)
    }

    /// Number of learners; 0 unless this process leads.
    pub fn learner_count(&self) -> usize {
        match &self.role {
            Role::Leader(leader) => leader.learners.len(),
            _ => 0,
        }
    }

    /// Whether this process should ask to become a member: it is not one, or may have been removed unnoticed.
    pub fn needs_to_join(&self) -> bool {
        !self.is_member() || self.leader().is_none()
    }

    /// Whether this process may stop while it is shutting down: none if it must keep running, else true if it
    /// is no longer a member and false if it remains one.
    pub fn leave_outcome(&self) -> Option<bool> {
        let only_member = self.members().iter().all(|name| *name == self.me);
        let removed = !self.is_member() && self.leader().is_none();
        (self.leaving && (self.released || only_member || removed)).then(|| !self.is_member())
    }

    /// The state of the membership; none unless this process leads.
    pub fn membership_status(&self, now: Millis) -> Option<MembershipStatus> {
        let Role::Leader(leader) = &self.role else { return None };
        let is_missing = |name: &Name| {
            *name != self.me
                && leader.peers.get(name).is_none_or(|peer| now - peer.last_heard > SUSPECT_AFTER_MS)
        };
        let is_catching_up =
            |name: &Name| *name != self.me && leader.peers.get(name).is_some_and(|peer| !peer.voting);
        let (mut missing, mut catching_up) = (Vec::new(), Vec::new());
        let learners = leader.learners.keys().cloned().collect();
        for name in self.members() {
            match (is_missing(name), is_catching_up(name)) {
                (true, _) => missing.push(name.clone()),
                (_, true) => catching_up.push(name.clone()),
                _ => {}
            }
        }
        let tolerated =
            |members: &[Name]| usize::try_from(self.loss_margin(leader, members, now)).unwrap_or(0);
        let current = tolerated(&self.membership.current);
        let incoming = self.membership.incoming.as_ref().map_or(current, |(_, incoming)| tolerated(incoming));
        Some(MembershipStatus { missing, catching_up, learners, tolerable_losses: current.min(incoming) })
    }

    /// Recomputes the membership from the log. Must be called whenever an entry that changes it is added or
    /// removed.
    pub(super) fn reload_membership(&mut self) {
        let first = Membership::new(&self.snapshot.members);
        self.membership = self.log.iter().fold(first, Membership::after);
    }

    /// The members as of this entry; none during joint consensus, as a snapshot has a single list.
    pub(super) fn members_at(&self, index: u64) -> Option<Vec<Name>> {
        let count = index.saturating_sub(self.snapshot.index) as usize;
        let first = Membership::new(&self.snapshot.members);
        let membership = self.log.iter().take(count).fold(first, Membership::after);
        membership.incoming.is_none().then_some(membership.current)
    }

    pub(super) fn quorum_value<T: PartialOrd>(&self, value_of: impl Fn(&Name) -> Option<T>) -> Option<T> {
        self.membership.quorum_value(value_of)
    }

    pub(super) fn other_members(&self) -> Vec<Name> {
        self.members().iter().filter(|name| **name != self.me).cloned().collect()
    }

    pub(super) fn is_member(&self) -> bool {
        self.members().contains(&self.me)
    }

    /// Registers a process that asks to become a member as a learner. Followers record the request as well,
    /// so that a new leader knows from the start which replacements exist.
    pub(super) fn add_learner(&mut self, now: Millis, name: Name) {
        self.join_requests.retain(|_, requested_at| now - *requested_at <= SUSPECT_AFTER_MS);
        let next_index = self.last_index() + 1;
        if self.members().contains(&name) {
            return;
        }
        if self.join_requests.len() < MAX_LEARNERS || self.join_requests.contains_key(&name) {
            self.join_requests.insert(name.clone(), now);
        }
        if let Role::Leader(leader) = &mut self.role {
            if leader.learners.len() < MAX_LEARNERS {
                leader.learners.entry(name).or_insert_with(|| Progress::new(next_index, now));
            }
        }
    }

    /// The learners of a new leader: processes that recently asked to join.
    pub(super) fn recent_learners(&self, now: Millis) -> BTreeMap<Name, Progress> {
        let next_index = self.last_index() + 1;
        let recent = |(_, requested_at): &(&Name, &Millis)| now - **requested_at <= SUSPECT_AFTER_MS;
        let outside =
            self.join_requests.iter().filter(recent).filter(|(name, _)| !self.members().contains(name));
        outside.map(|(name, requested_at)| (name.clone(), Progress::new(next_index, *requested_at))).collect()
    }

    /// Starts to leave: responses ask for release from now on, and a leader transfers leadership first.
    pub(super) fn leave(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.transfer_leadership(now, actions);
    }

    /// Whether the last change of members is committed, and so is an entry of this leader's term.
    fn is_membership_settled(&self) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let last_change = self.log.iter().rev().find(|entry| entry.changes_membership());
        self.commit_index >= leader.first_index
            && last_change.is_none_or(|entry| entry.index <= self.commit_index)
    }

    /// The list of members to change to, if it differs from the current one. Prefers odd sizes: an even one
    /// needs one member more for a majority and tolerates no additional loss.
    fn desired_members(&self, leader: &LeaderState, now: Millis) -> Option<Vec<Name>> {
        let current = &self.membership.current;
        let is_ready = |learner: &Progress| {
            let near = learner.match_index + MAX_BATCH_ENTRIES as u64 >= self.commit_index;
            learner.voting && near && !learner.leaving && now - learner.last_heard < RECENTLY_HEARD_MS
        };
        let mut ready: Vec<&Name> =
            leader.learners.iter().filter(|(_, learner)| is_ready(learner)).map(|(name, _)| name).collect();
        // Members that are shutting down are replaced first, then those silent for longest.
        let is_silent = |peer: &Progress, ms: Millis| now - peer.last_heard > ms;
        let peers = current.iter().filter_map(|name| Some((name, leader.peers.get(name)?)));
        let mut outgoing: Vec<_> =
            peers.filter(|(_, peer)| peer.leaving || is_silent(peer, SUSPECT_AFTER_MS)).collect();
        outgoing
            .sort_by(|(_, a), (_, b)| b.leaving.cmp(&a.leaving).then(a.last_heard.total_cmp(&b.last_heard)));
        let mut desired = current.clone();
        let replaced = outgoing.len().min(ready.len());
        for ((old, _), new) in outgoing.drain(..replaced).zip(ready.drain(..replaced)) {
            desired.retain(|name| name != old);
            desired.push(new.clone());
        }
        // Surplus learners: grow to the next odd size.
        let to_add = 2 - (desired.len() + 1) % 2;
        if outgoing.is_empty() && ready.len() >= to_add && desired.len() + to_add <= MAX_MEMBERS {
            desired.extend(ready.drain(..to_add).cloned());
        }
        // Without replacements: remove a member that is shutting down, or lost ones down to the next odd
        // size.
        outgoing.retain(|(_, peer)| peer.leaving || is_silent(peer, REMOVE_AFTER_MS));
        let leaving = outgoing.iter().filter(|(_, peer)| peer.leaving).count();
        let to_remove = if leaving > 0 { 1 } else { 2 - (desired.len() + 1) % 2 };
        if replaced == 0 && outgoing.len() >= to_remove && desired.len() >= MIN_MEMBERS + to_remove {
            let removed: Vec<_> = outgoing.iter().take(to_remove).map(|(name, _)| *name).collect();
            desired.retain(|name| !removed.contains(&name));
        }
        desired.sort();
        (desired != *current).then_some(desired)
    }

    /// How many more losses a list tolerates: its members that are present, staying and voting, beyond a
    /// majority. Negative if it has no majority.
    fn loss_margin(&self, leader: &LeaderState, members: &[Name], now: Millis) -> isize {
        let is_healthy = |name: &&Name| {
            let progress = leader.peers.get(*name).or_else(|| leader.learners.get(*name));
            let healthy_peer = progress.is_some_and(|progress| {
                progress.voting && !progress.leaving && now - progress.last_heard <= SUSPECT_AFTER_MS
            });
            healthy_peer || (**name == self.me && self.hard_state.voting && !self.leaving)
        };
        members.iter().filter(is_healthy).count() as isize - (members.len() / 2 + 1) as isize
    }

    /// Finishes the change of members in progress once it may, or starts the next one.
    pub(super) fn change_members(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.transfer_started_at.is_some() || self.commit_index < leader.first_index {
            return;
        }
        leader.learners.retain(|_, learner| now - learner.last_heard <= REMOVE_AFTER_MS);
        let (term, index) = (self.hard_state.term, self.last_index() + 1);
        let entry = match &self.membership.incoming {
            Some((joint_index, incoming)) if *joint_index <= self.commit_index => {
                Entry::with_final_members(term, index, incoming.clone())
            }
            Some(_) => return,
            None if !self.is_membership_settled() => return,
            None => {
                let Role::Leader(leader) = &self.role else { return };
                let Some(desired) = self.desired_members(leader, now) else { return };
                let current = &self.membership.current;
                let before = self.loss_margin(leader, current, now);
                let after = self.loss_margin(leader, &desired, now);
                invariants::check(Invariant::MembershipChangesKeepFaultTolerance, after >= before, || {
                    format!("{current:?} tolerates {before} losses, {desired:?} tolerates {after}")
                });
                Entry::with_incoming_members(term, index, desired)
            }
        };
        self.append_entry(now, entry, actions);
    }

    /// Transfers leadership if this leader was removed from the members or is shutting down.
    pub(super) fn transfer_if_leaving(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Role::Leader(leader) = &self.role else { return };
        let removed = || !self.is_member() && self.is_membership_settled();
        if leader.transfer_started_at.is_none() && (self.leaving || removed()) {
            self.transfer_leadership(now, actions);
        }
    }

    /// Regroups a leader's peers and learners after a change of members: new members were learners, and
    /// removed members become learners.
    pub(super) fn regroup_peers(&mut self, now: Millis) {
        let (members, next_index) = (self.other_members(), self.last_index() + 1);
        let Role::Leader(leader) = &mut self.role else { return };
        let mut known = std::mem::take(&mut leader.peers);
        known.append(&mut leader.learners);
        for name in members {
            let progress = known.remove(&name).unwrap_or_else(|| Progress::new(next_index, now));
            leader.peers.insert(name, progress);
        }
        known.remove(&self.me);
        leader.learners = known;
    }

    /// Whether a member or learner that is shutting down may stop: it is no longer a member, or no learner
    /// can replace it and a quorum holds every committed entry without it.
    pub(super) fn may_release(&self, now: Millis, name: &Name) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let progress = leader.peers.get(name).or_else(|| leader.learners.get(name));
        if !progress.is_some_and(|progress| progress.leaving)
            || !self.is_membership_settled()
            || self.in_joint_consensus()
            || leader.transfer_started_at.is_some()
        {
            return false;
        }
        let holds_all_committed = |member: &Name| {
            let peer_holds = leader.peers.get(member).is_some_and(|peer| {
                peer.voting
                    && !peer.released
                    && peer.match_index >= self.commit_index
                    && now - peer.last_heard < SUSPECT_AFTER_MS
            });
            member != name && (peer_holds || (*member == self.me && self.hard_state.voting))
        };
        // A learner may still be catching up, and a new leader may not know it yet.
        let is_available =
            |learner: &Progress| !learner.leaving && now - learner.last_heard < SUSPECT_AFTER_MS;
        let no_replacement =
            now - leader.since > LEARNERS_KNOWN_AFTER_MS && !leader.learners.values().any(is_available);
        !self.members().contains(name)
            || (no_replacement
                && self.desired_members(leader, now).is_none()
                && self.membership.has_quorum(holds_all_committed))
    }
}
