//! Who the members are, what a majority of them is, and how they change.

use super::role::{Progress, Role};
use super::{Action, Agreement, Entry, Name, LOST_MS};
use cherrytally::Millis;

impl Agreement {
    /// The members, as the log has them.
    pub fn members(&self) -> &[Name] {
        self.log.iter().rev().find_map(|entry| entry.members()).unwrap_or(&self.base.members)
    }

    /// Whether it should ask to be a member: it is none, or was left out and was told by nobody.
    pub fn apart(&self) -> bool {
        !self.is_member() || self.leader().is_none()
    }

    /// The least of what a majority of the members has, by what each of them has; none where too few count.
    pub(super) fn quorum<T: PartialOrd>(&self, of: impl Fn(&Name) -> Option<T>) -> Option<T> {
        let members = self.members();
        let mut have: Vec<T> = members.iter().filter_map(of).collect();
        have.sort_by(|a, b| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
        have.into_iter().nth(members.len() / 2)
    }

    pub(super) fn others(&self) -> Vec<Name> {
        self.members().iter().filter(|name| **name != self.me).cloned().collect()
    }

    pub(super) fn is_member(&self) -> bool {
        self.members().contains(&self.me)
    }

    /// A process wants to be a member: it is sent the log first.
    pub(super) fn join(&mut self, now: Millis, name: Name) {
        let first = self.last() + 1;
        let known = self.members().contains(&name);
        if let Role::Leader(lead) = &mut self.role {
            if !known {
                lead.joining.entry(name).or_insert_with(|| Progress::new(first, now));
            }
        }
    }

    /// Members change one at a time, and not before the last change is agreed on.
    fn settled(&self) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let pending = self.log.iter().rev().find(|entry| entry.members().is_some());
        self.commit >= lead.first && pending.is_none_or(|entry| entry.index <= self.commit)
    }

    /// One that has caught up becomes a member.
    pub(super) fn admit(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let (commit, settled) = (self.commit, self.settled());
        let Role::Leader(lead) = &mut self.role else { return };
        let ready = lead.joining.iter().find(|(_, p)| p.counts && p.matched >= commit && settled);
        let Some(name) = ready.map(|(name, _)| name.clone()) else { return };
        if let Some(progress) = lead.joining.remove(&name) {
            lead.peers.insert(name.clone(), progress);
        }
        let mut members = self.members().to_vec();
        members.push(name);
        self.change_members(now, members, actions);
    }

    /// One that was lost for long is left out where another came in its place: three remain at least.
    pub(super) fn replace(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.settled() || self.members().len() <= 3 {
            return;
        }
        let Role::Leader(lead) = &mut self.role else { return };
        let lost = lead.peers.iter().find(|(_, p)| now - p.heard > LOST_MS).map(|(name, _)| name.clone());
        if let Some(lost) = lost {
            lead.peers.remove(&lost);
            let members = self.members().iter().filter(|name| **name != lost).cloned().collect();
            self.change_members(now, members, actions);
        }
    }

    fn change_members(&mut self, now: Millis, mut members: Vec<Name>, actions: &mut Vec<Action>) {
        members.sort();
        let entry = Entry::of_members(self.vow.term, self.last() + 1, members);
        self.append(now, entry, actions);
    }
}
