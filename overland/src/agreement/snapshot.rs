//! Where the log begins: the state that takes the place of its first entries, and how a member that lacks them gets it.

use super::letter::{Appended, Entry, Install, Say};
use super::role::Role;
use super::{Action, Agreement, Base, Name, Save, AGAIN_MS};
use cherrytally::Millis;

impl Agreement {
    /// Applied entries behind this number; none if the log no longer holds them all.
    pub fn since(&self, index: u64) -> Option<impl Iterator<Item = &Entry>> {
        let skip = index.checked_sub(self.base.index)? as usize;
        let applied = (self.applied - self.base.index) as usize;
        Some(self.log.iter().take(applied).skip(skip))
    }

    /// The log begins anew behind what is applied, which is this state.
    pub fn compact(&mut self, state: Vec<u8>, actions: &mut Vec<Action>) {
        let index = self.applied;
        let term = self.term_at(index).unwrap_or(self.base.term);
        let applied = (index - self.base.index) as usize;
        let members = self.log.iter().take(applied).rev().find_map(|entry| entry.members());
        let members = members.unwrap_or(&self.base.members).to_vec();
        self.log.drain(..applied);
        self.base = Base { index, term, members, state };
        actions.push(Action::Save(Save {
            vow: self.vow.clone(),
            entries: None,
            base: Some(self.base.clone()),
        }));
    }

    pub(super) fn install(&mut self, now: Millis, from: Name, install: Install, actions: &mut Vec<Action>) {
        let mut answer = Appended {
            term: self.vow.term,
            ok: false,
            matched: self.last(),
            counts: self.vow.counts,
            at: install.at,
        };
        if install.term >= self.vow.term {
            self.follow(now, install.term, Some(from.clone()), actions);
            let Install { index, last_term, members, state, .. } = install;
            if index > self.commit && self.term_at(index) == Some(last_term) {
                // It has all that is in the state. What it holds behind that it may have answered for.
                self.commit = index;
                self.apply(actions);
            } else if index > self.commit {
                self.log.clear();
                self.base = Base { index, term: last_term, members, state: state.clone() };
                (self.commit, self.applied) = (index, index);
                let (vow, base) = (self.vow.clone(), Some(self.base.clone()));
                actions.push(Action::Save(Save { vow, entries: Some((index + 1, Vec::new())), base }));
                actions.push(Action::Restore { index, state });
            }
            (answer.term, answer.ok, answer.matched) = (self.vow.term, true, index);
        }
        actions.push(Action::Send { to: from, say: Say::Appended(answer) });
    }

    /// Sends one member the state that the log begins behind.
    pub(super) fn send_state(&mut self, now: Millis, to: &Name, actions: &mut Vec<Action>) {
        let term = self.vow.term;
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(progress) = lead.progress(to) else { return };
        if progress.out_since.is_some_and(|at| now - at < 5.0 * AGAIN_MS) {
            return;
        }
        (progress.out_since, progress.sent) = (Some(now), now);
        let Base { index, term: last_term, members, state } = self.base.clone();
        let say = Say::Install(Install { term, index, last_term, members, state, at: now });
        actions.push(Action::Send { to: to.clone(), say });
    }
}
