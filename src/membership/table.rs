//! The table of members: which record of a member takes precedence, suspicion, and conflicts over a name.

use super::full_sync::TokenBucket;
use super::wire::{self, DropReason, MAX_INCARNATION, MAX_START_UNIX_MS};
use super::*;

/// Another member, as seen by this one.
pub(super) struct Member {
    pub(super) record: Record,
    since: Millis,
    /// Set while the member is suspected.
    suspicion: Option<Suspicion>,
    pub(super) intake: TokenBucket,
}

/// Who suspects a member, and when the suspicion times out.
struct Suspicion {
    since: Millis,
    accusers: Vec<u32>,
    deadline: Millis,
    /// Pings sent since the suspicion timed out.
    final_pings: u32,
}

impl Member {
    /// When the suspicion times out; infinite if the member is not suspected.
    pub(super) fn suspicion_deadline(&self) -> Millis {
        self.suspicion.as_ref().map_or(Millis::INFINITY, |s| s.deadline)
    }

    /// Extends the suspicion timeout.
    pub(super) fn extend_suspicion(&mut self, ms: Millis) {
        if let Some(s) = &mut self.suspicion {
            (s.since, s.deadline) = (s.since + ms, s.deadline + ms);
        }
    }

    pub(super) fn snapshot(&self, now: Millis) -> MemberView {
        let Record { identity, incarnation, state, draining, .. } = self.record.clone();
        let for_ms = (now - self.since).max(0.0) as u64;
        MemberView {
            name: identity.name,
            addr: identity.addr,
            start: identity.start,
            incarnation,
            state,
            draining,
            for_ms,
        }
    }
}

impl Identity {
    /// Of two processes with one name the higher rank wins: the later start, then the higher address.
    fn rank(&self) -> (u64, SocketAddrV4) {
        (self.start, self.addr)
    }
}

impl Record {
    /// Of two records of a member the one with the higher rank takes precedence.
    fn rank(&self) -> ((u64, SocketAddrV4), u32, State) {
        (self.identity.rank(), self.incarnation, self.state)
    }
}

impl Membership {
    /// Applies a record that takes precedence over the known one. A member that is down in a full-state page
    /// is only suspected here, so that it can refute that.
    pub(super) fn apply_update(
        &mut self, now: Millis, mut record: Record, source: UpdateSource, actions: &mut Vec<Action>,
    ) -> Result<(), DropReason> {
        if record.identity.name == self.local.name {
            self.apply_update_about_self(now, &record, actions);
            return Ok(());
        }
        let Some(member) = self.members.get(&record.identity.name) else {
            // Records of unknown members that are down or have left are ignored, so that tombstones expire
            // everywhere.
            if !record.state.present() {
                return Ok(());
            }
            if self.members.len() >= MAX_MEMBERS && !self.evict_absent() {
                return Err(DropReason::Full);
            }
            let name = record.identity.name.clone();
            self.set_record(now, record, actions);
            // What a joining process learns is already known to the others, so it is not gossiped.
            if let UpdateSource::Page { joins: true, .. } = source {
                self.updates.remove(&name);
            }
            return Ok(());
        };
        let known = &member.record;
        match source {
            UpdateSource::Page { accuser, .. } if record.state == State::Down && known.state.present() => {
                (record.state, record.accuser) = (State::Suspect, accuser);
            }
            _ => {}
        }
        if record.rank() > known.rank() {
            self.set_record(now, record, actions);
        } else if record.rank() == known.rank() && record.state == State::Suspect {
            self.confirm_suspicion(now, &record.identity.name, record.accuser);
        }
        Ok(())
    }

    /// Stores a record that takes precedence over the known one, and queues it for gossip.
    fn set_record(&mut self, now: Millis, record: Record, actions: &mut Vec<Action>) {
        let name = record.identity.name.clone();
        let previous =
            self.members.get(&name).map(|m| (m.record.identity.clone(), m.record.state, m.record.draining));
        let (state, draining) = (record.state, record.draining);
        let current = (record.identity.clone(), state, draining);
        let suspicion = (state == State::Suspect).then(|| {
            let deadline = now + self.suspicion_timeout_ms(0);
            Suspicion { since: now, accusers: vec![record.accuser], deadline, final_pings: 0 }
        });
        match self.members.get_mut(&name) {
            Some(member) => {
                member.suspicion = suspicion;
                member.record = record;
                if previous.as_ref() != Some(&current) {
                    member.since = now;
                }
            }
            None => {
                let intake = TokenBucket::new(MEMBER_INTAKE_PER_PERIOD, now);
                self.members.insert(name.clone(), Member { record, since: now, suspicion, intake });
            }
        }
        if state == State::Suspect {
            self.suspects.insert(name.clone());
            self.counts.suspicions += 1;
        } else if self.suspects.remove(&name) && state == State::Alive {
            self.counts.cleared += 1;
        }
        let was_present = previous.as_ref().is_some_and(|(_, state, _)| state.present());
        if state.present() && !was_present {
            self.pruned_down.remove(&name);
            // A random position spreads the first probes of new members over the round.
            let index = self.rng.usize(..=self.probe_order.len());
            self.probe_order.insert(index, name.clone());
            self.next_probe += usize::from(index < self.next_probe);
        } else if was_present && !state.present() {
            if let Some(index) = self.probe_order.iter().position(|n| *n == name) {
                self.probe_order.remove(index);
                self.next_probe -= usize::from(index < self.next_probe);
            }
        }
        if previous.as_ref() != Some(&current) {
            let previous = previous.map(|(_, state, _)| state);
            actions.push(Action::Changed { identity: current.0, previous, state, draining });
        }
        self.updates.push(&name);
    }

    /// Suspects a member after this one's probe of it failed.
    pub(super) fn suspect(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) {
        let accuser = wire::accuser_digest(&self.local.name);
        let Some(member) = self.members.get(name) else { return };
        match member.record.state {
            State::Alive => {
                let record = Record { state: State::Suspect, accuser, ..member.record.clone() };
                self.set_record(now, record, actions);
            }
            State::Suspect => self.confirm_suspicion(now, name, accuser),
            State::Down | State::Left => {}
        }
    }

    /// Records one more accuser, which shortens the suspicion timeout.
    fn confirm_suspicion(&mut self, now: Millis, name: &Name, accuser: u32) {
        let Some(suspicion) = self.members.get(name).and_then(|m| m.suspicion.as_ref()) else { return };
        let known = suspicion.accusers.contains(&accuser) || suspicion.accusers.len() > MAX_CONFIRMATIONS;
        if known || suspicion.final_pings > 0 {
            return;
        }
        let (deadline, count) = (suspicion.since, suspicion.accusers.len());
        let deadline = (deadline + self.suspicion_timeout_ms(count)).max(now);
        if let Some(member) = self.members.get_mut(name) {
            member.record.accuser = accuser;
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.accusers.push(accuser);
                suspicion.deadline = deadline;
            }
        }
        self.updates.push(name);
    }

    /// Suspicion timeout after `confirmed` confirmations of the first suspicion.
    fn suspicion_timeout_ms(&self, confirmed: usize) -> Millis {
        let min_ms = MIN_SUSPICION_PERIODS * self.log_scale() * self.settings.period_ms;
        let max_ms = MAX_SUSPICION_FACTOR * min_ms;
        // Neither the suspected member nor the first accuser can confirm, which limits small clusters.
        let expected_confirmations = MAX_CONFIRMATIONS.min(self.present().saturating_sub(2) as usize);
        if expected_confirmations == 0 {
            return min_ms;
        }
        let share = ((confirmed + 1) as f64).ln() / ((expected_confirmations + 1) as f64).ln();
        (max_ms - (max_ms - min_ms) * share).max(min_ms)
    }

    /// Pings members whose suspicion timed out, as their refutation may not have reached this member, and
    /// declares down those that still do not refute it.
    pub(super) fn expire_suspicions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let expired = |name: &&Name| self.members.get(*name).is_some_and(|m| m.suspicion_deadline() <= now);
        let expired: Vec<Name> = self.suspects.iter().filter(expired).cloned().collect();
        for name in expired {
            let Some(member) = self.members.get_mut(&name) else { continue };
            if let Some(suspicion) = member.suspicion.as_mut().filter(|s| s.final_pings < FINAL_PINGS) {
                suspicion.final_pings += 1;
                suspicion.deadline = now + self.settings.timeout_ms;
                let to = member.record.identity.addr;
                self.send(to, NO_SEQ, wire::Body::Ping, Some(&name), actions);
                continue;
            }
            let record = Record { state: State::Down, accuser: 0, ..member.record.clone() };
            self.set_record(now, record, actions);
        }
    }

    /// Removes old records of members that are down or have left, and keeps the addresses of those down in
    /// order to reconnect.
    pub(super) fn prune(&mut self, now: Millis) {
        let retention_ms = TOMBSTONE_PERIODS * self.settings.period_ms;
        let (pruned_down, updates) = (&mut self.pruned_down, &mut self.updates);
        self.members.retain(|name, member| {
            let keep = member.record.state.present() || now - member.since < retention_ms;
            if !keep {
                updates.remove(name);
                if member.record.state == State::Down {
                    pruned_down.insert(name.clone(), (member.record.identity.addr, member.since));
                }
            }
            keep
        });
        while self.pruned_down.len() > MAX_MEMBERS {
            let oldest = self
                .pruned_down
                .iter()
                .min_by(|a, b| a.1 .1.total_cmp(&b.1 .1))
                .map(|(name, _)| name.clone());
            oldest.and_then(|name| self.pruned_down.remove(&name));
        }
    }

    /// Makes room for a member by removing the oldest record of one that is not present.
    fn evict_absent(&mut self) -> bool {
        let absent = self.members.iter().filter(|(_, m)| !m.record.state.present());
        let oldest = absent.min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(name, _)| name.clone());
        oldest.and_then(|name| self.members.remove(&name)).is_some()
    }

    /// Sets this member's incarnation and queues its record for gossip.
    pub(super) fn set_incarnation(&mut self, incarnation: u32) {
        self.incarnation = incarnation;
        if incarnation > MAX_INCARNATION {
            // Only a forged record gets here. A later start time overrides it.
            (self.local.start, self.incarnation, self.last_down_incarnation) =
                ((self.local.start + 1).min(MAX_START_UNIX_MS), 0, None);
        }
        let name = self.local.name.clone();
        self.updates.push(&name);
    }

    /// Handles a record with this member's name: of itself, its predecessor, or a conflicting process.
    fn apply_update_about_self(&mut self, now: Millis, record: &Record, actions: &mut Vec<Action>) {
        let contested = match &self.status {
            LocalStatus::Member => false,
            LocalStatus::Contested(..) => true,
            LocalStatus::Displaced(_) | LocalStatus::Left => return,
        };
        if record.identity == self.local {
            let newer = record.incarnation > self.incarnation;
            if newer || record.state != State::Alive && record.incarnation == self.incarnation {
                if record.state != State::Alive {
                    self.counts.refutations += 1;
                    // Others got no answer from this process, which may itself be slow.
                    self.degrade_health();
                }
                self.set_incarnation(record.incarnation + 1);
            }
            if !record.state.present()
                && self.last_down_incarnation.is_none_or(|last| record.incarnation > last)
            {
                self.last_down_incarnation = Some(record.incarnation);
                let (down, rejoined) = (record.incarnation, self.incarnation);
                actions.push(Action::Warn(format!(
                    "this process was declared down at incarnation {down}; it rejoined at {rejoined}"
                )));
            }
        } else if record.identity.rank() < self.local.rank() {
            // A predecessor or a process of lower rank: members that list it as present learn of this
            // process by gossip.
            if record.state.present() {
                let name = self.local.name.clone();
                self.updates.push(&name);
            }
        } else if record.identity.start >= MAX_START_UNIX_MS {
            self.set_displaced(record.identity.clone(), actions);
        } else if record.identity.addr == self.local.addr || !record.state.present() {
            // The other process is gone; its start time is later only because its clock was ahead.
            self.take_over_name(now, &record.identity, actions);
        } else if contested {
            // Another member still lists it as present.
            self.status = LocalStatus::Contested(record.identity.clone(), now + self.contest_timeout_ms());
        } else {
            actions.push(Action::Warn(format!(
                "member name {} is also used by {}, which started later; this process is not a member \
                 until the conflict ends",
                self.local.name, record.identity.addr
            )));
            self.status = LocalStatus::Contested(record.identity.clone(), now + self.contest_timeout_ms());
            (self.probe, self.sync) = (None, None);
            self.probe_at = now;
        }
    }

    /// Takes over this member's name, with a later start time, from another process that is gone.
    pub(super) fn take_over_name(&mut self, now: Millis, predecessor: &Identity, actions: &mut Vec<Action>) {
        (self.local.start, self.incarnation, self.last_down_incarnation) = (predecessor.start + 1, 0, None);
        if self.status != LocalStatus::Member {
            let (addr, name) = (predecessor.addr, &self.local.name);
            actions.push(Action::Warn(format!(
                "{addr} no longer uses the member name {name}; this process does"
            )));
            self.status = LocalStatus::Member;
            (self.reconnect_at, self.sync_at) = (now, now);
        }
        let name = self.local.name.clone();
        self.updates.push(&name);
    }

    /// How long the other process may hold a contested name without sending anything; by then all members
    /// have declared it down.
    fn contest_timeout_ms(&self) -> Millis {
        2.0 * MAX_SUSPICION_FACTOR * MIN_SUSPICION_PERIODS * self.log_scale() * self.settings.period_ms
    }

    /// Handles a datagram sent by another process with this member's name.
    pub(super) fn on_conflicting_sender(&mut self, now: Millis, sender: &Record, actions: &mut Vec<Action>) {
        if let LocalStatus::Contested(rival, _) = &self.status {
            if rival.addr == sender.identity.addr
                && sender.identity.rank() > self.local.rank()
                && sender.state.present()
            {
                return self.set_displaced(sender.identity.clone(), actions);
            }
        }
        let lower = sender.identity.rank() < self.local.rank();
        self.apply_update_about_self(now, sender, actions);
        if lower && self.status == LocalStatus::Member {
            // Makes the other process learn of this one.
            self.send(sender.identity.addr, NO_SEQ, wire::Body::Gossip, None, actions);
        }
    }

    fn set_displaced(&mut self, rival: Identity, actions: &mut Vec<Action>) {
        actions.push(Action::Warn(format!(
            "two processes use the member name {}: {} started later and keeps it; this process is not a \
             member until it is restarted or its cluster settings change",
            self.local.name, rival.addr
        )));
        self.status = LocalStatus::Displaced(rival);
        (self.probe, self.sync) = (None, None);
        self.relays.clear();
    }

    /// Raises the local health score: this process itself may be slow.
    pub(super) fn degrade_health(&mut self) {
        self.health = (self.health + 1).min(MAX_HEALTH);
    }
}
