//! Where the log begins: the state that takes the place of its first entries, and how a member that lacks them gets it.

use super::letter::{Append, Appended, Entry, Install, Say};
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
        // While members change the log keeps where that began: a state names one list.
        let Some(members) = self.applied_members() else { return };
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
            leaving: self.leaving,
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
                self.read_members();
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
        let (term, prev, prev_term) = (self.vow.term, self.base.index, self.base.term);
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(progress) = lead.progress(to) else { return };
        if progress.out_since.is_some_and(|at| now - at < 5.0 * AGAIN_MS) {
            // A sign of life behind the state: an answer to it that lacks the state says that it was lost.
            progress.sent = now;
            let (entries, counts, released) = (Vec::new(), false, false);
            let append = Append { term, prev, prev_term, entries, commit: prev, counts, at: now, released };
            actions.push(Action::Send { to: to.clone(), say: Say::Append(append) });
            return;
        }
        (progress.out_since, progress.sent) = (Some(now), now);
        let Base { index, term: last_term, members, state } = self.base.clone();
        let say = Say::Install(Install { term, index, last_term, members, state, at: now });
        actions.push(Action::Send { to: to.clone(), say });
    }
}
