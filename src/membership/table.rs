//! The table of members: which word on a member holds, and what follows from it.

use super::exchange::Bucket;
use super::wire::{self, Dropped, INCARNATION_MOST, START_MOST};
use super::*;

/// Another member, as this one sees it.
pub(super) struct Member {
    pub(super) record: Record,
    since: Millis,
    /// Set while it is suspected.
    suspicion: Option<Suspicion>,
    pub(super) intake: Bucket,
}

/// Who suspects a member, and how long it has to refute that.
struct Suspicion {
    since: Millis,
    accusers: Vec<u32>,
    until: Millis,
    /// How often it was asked for a last word when its time had run out.
    asked: u32,
}

impl Member {
    /// When it is held to be down, if it is suspected.
    pub(super) fn expires(&self) -> Millis {
        self.suspicion.as_ref().map_or(Millis::INFINITY, |s| s.until)
    }

    /// Leaves it so much longer to refute.
    pub(super) fn spare(&mut self, ms: Millis) {
        if let Some(s) = &mut self.suspicion {
            (s.since, s.until) = (s.since + ms, s.until + ms);
        }
    }

    pub(super) fn shown(&self, now: Millis) -> Shown {
        let Record { who, incarnation, state, draining, .. } = self.record.clone();
        let for_ms = (now - self.since).max(0.0) as u64;
        Shown { name: who.name, addr: who.addr, start: who.start, incarnation, state, draining, for_ms }
    }
}

impl Identity {
    /// Of two processes of one name that with the higher rank holds: the later start; for equal ones the higher
    /// address, as one of them has to.
    fn rank(&self) -> (u64, SocketAddrV4) {
        (self.start, self.addr)
    }
}

impl Record {
    /// Of two words on a member the higher one holds.
    fn rank(&self) -> ((u64, SocketAddrV4), u32, State) {
        (self.who.rank(), self.incarnation, self.state)
    }
}

impl Membership {
    /// Takes over what is told of a member if it is newer than what is known. What a whole view holds to be down
    /// is only suspected here: the member may know better itself.
    pub(super) fn learn(
        &mut self, now: Millis, mut record: Record, source: Source, actions: &mut Vec<Action>,
    ) -> Result<(), Dropped> {
        if record.who.name == self.me.name {
            self.told_of_me(now, &record, actions);
            return Ok(());
        }
        let Some(member) = self.members.get(&record.who.name) else {
            // Of one that is not known there is nothing to take back; so the dead are forgotten everywhere.
            if !record.state.present() {
                return Ok(());
            }
            if self.members.len() >= MEMBERS_MOST && !self.make_room() {
                return Err(Dropped::Full);
            }
            let name = record.who.name.clone();
            self.set(now, record, actions);
            // Whoever joins learns what all others know: that is no news to them.
            if let Source::Page { joins: true, .. } = source {
                self.news.remove(&name);
            }
            return Ok(());
        };
        let known = &member.record;
        match source {
            Source::Page { accuser, .. } if record.state == State::Down && known.state.present() => {
                (record.state, record.accuser) = (State::Suspect, accuser);
            }
            _ => {}
        }
        if record.rank() > known.rank() {
            self.set(now, record, actions);
        } else if record.rank() == known.rank() && record.state == State::Suspect {
            self.confirm(now, &record.who.name, record.accuser);
        }
        Ok(())
    }

    /// Takes over a word on a member that is newer than the one known.
    fn set(&mut self, now: Millis, record: Record, actions: &mut Vec<Action>) {
        let name = record.who.name.clone();
        let was = self.members.get(&name).map(|m| (m.record.who.clone(), m.record.state, m.record.draining));
        let (state, draining) = (record.state, record.draining);
        let is = (record.who.clone(), state, draining);
        let suspicion = (state == State::Suspect).then(|| {
            let until = now + self.suspicion_ms(0);
            Suspicion { since: now, accusers: vec![record.accuser], until, asked: 0 }
        });
        match self.members.get_mut(&name) {
            Some(member) => {
                member.suspicion = suspicion;
                member.record = record;
                if was.as_ref() != Some(&is) {
                    member.since = now;
                }
            }
            None => {
                let intake = Bucket::new(INTAKE.1, now);
                self.members.insert(name.clone(), Member { record, since: now, suspicion, intake });
            }
        }
        if state == State::Suspect {
            self.suspects.insert(name.clone());
            self.counts.suspicions += 1;
        } else if self.suspects.remove(&name) && state == State::Alive {
            self.counts.cleared += 1;
        }
        let present = was.as_ref().is_some_and(|(_, state, _)| state.present());
        if state.present() && !present {
            self.lost.remove(&name);
            // By chance: a member that comes is not always probed next, nor always last.
            let place = self.rng.usize(..=self.order.len());
            self.order.insert(place, name.clone());
            self.turn += usize::from(place < self.turn);
        } else if present && !state.present() {
            if let Some(place) = self.order.iter().position(|n| *n == name) {
                self.order.remove(place);
                self.turn -= usize::from(place < self.turn);
            }
        }
        if was.as_ref() != Some(&is) {
            let was = was.map(|(_, state, _)| state);
            actions.push(Action::Changed { who: is.0, was, state, draining });
        }
        self.news.push(&name);
    }

    /// Somebody got no answer of it.
    pub(super) fn suspect(&mut self, now: Millis, name: &Name, actions: &mut Vec<Action>) {
        let accuser = wire::accuser(&self.me.name);
        let Some(member) = self.members.get(name) else { return };
        match member.record.state {
            State::Alive => {
                let record = Record { state: State::Suspect, accuser, ..member.record.clone() };
                self.set(now, record, actions);
            }
            State::Suspect => self.confirm(now, name, accuser),
            State::Down | State::Left => {}
        }
    }

    /// One more suspects it: it is the less likely that the first one is at fault.
    fn confirm(&mut self, now: Millis, name: &Name, accuser: u32) {
        let Some(suspicion) = self.members.get(name).and_then(|m| m.suspicion.as_ref()) else { return };
        let known = suspicion.accusers.contains(&accuser) || suspicion.accusers.len() > CONFIRM;
        if known || suspicion.asked > 0 {
            return;
        }
        let (until, count) = (suspicion.since, suspicion.accusers.len());
        let until = (until + self.suspicion_ms(count)).max(now);
        if let Some(member) = self.members.get_mut(name) {
            member.record.accuser = accuser;
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.accusers.push(accuser);
                suspicion.until = until;
            }
        }
        self.news.push(name);
    }

    /// How long a member is suspected before it is held to be down, with so many that confirm the first.
    fn suspicion_ms(&self, confirmed: usize) -> Millis {
        let least = SUSPECT_PERIODS * self.scale() * self.settings.period_ms;
        let most = SUSPECT_ALONE * least;
        // In a small cluster fewer can confirm: all but the suspected one, the first and this one itself.
        let wanted = CONFIRM.min(self.present().saturating_sub(2) as usize);
        if wanted == 0 {
            return least;
        }
        let share = ((confirmed + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        (most - (most - least) * share).max(least)
    }

    /// Those whose suspicion has run out are asked once more by whoever did not hear them refute it: news of that
    /// may just have missed this one. Then they are down.
    pub(super) fn suspicions_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let over = |name: &&Name| self.members.get(*name).is_some_and(|m| m.expires() <= now);
        let over: Vec<Name> = self.suspects.iter().filter(over).cloned().collect();
        for name in over {
            let Some(member) = self.members.get_mut(&name) else { continue };
            if let Some(suspicion) = member.suspicion.as_mut().filter(|s| s.asked < LAST_WORD) {
                suspicion.asked += 1;
                suspicion.until = now + self.settings.timeout_ms;
                let to = member.record.who.addr;
                self.tells(to, NO_SEQ, wire::Body::Ping, Some(&name), actions);
                continue;
            }
            let record = Record { state: State::Down, accuser: 0, ..member.record.clone() };
            self.set(now, record, actions);
        }
    }

    /// Those down or left for long are forgotten; where the lost ones were is remembered, to find them again.
    pub(super) fn forget(&mut self, now: Millis) {
        let kept = KEPT_PERIODS * self.settings.period_ms;
        let (lost, news) = (&mut self.lost, &mut self.news);
        self.members.retain(|name, member| {
            let stays = member.record.state.present() || now - member.since < kept;
            if !stays {
                news.remove(name);
                if member.record.state == State::Down {
                    lost.insert(name.clone(), (member.record.who.addr, member.since));
                }
            }
            stays
        });
        while self.lost.len() > MEMBERS_MOST {
            let oldest =
                self.lost.iter().min_by(|a, b| a.1 .1.total_cmp(&b.1 .1)).map(|(name, _)| name.clone());
            oldest.and_then(|name| self.lost.remove(&name));
        }
    }

    /// Makes room for a member by forgetting one that is not present.
    fn make_room(&mut self) -> bool {
        let gone = self.members.iter().filter(|(_, m)| !m.record.state.present());
        let oldest = gone.min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|(name, _)| name.clone());
        oldest.and_then(|name| self.members.remove(&name)).is_some()
    }

    /// This member says something new of itself.
    pub(super) fn rise(&mut self, incarnation: u32) {
        self.incarnation = incarnation;
        if incarnation > INCARNATION_MOST {
            // No honest member gets there. A later start takes back whatever was told.
            (self.me.start, self.incarnation, self.downed) = ((self.me.start + 1).min(START_MOST), 0, None);
        }
        let name = self.me.name.clone();
        self.news.push(&name);
    }

    /// Something is told of this member's name.
    fn told_of_me(&mut self, now: Millis, record: &Record, actions: &mut Vec<Action>) {
        let contested = match &self.standing {
            Standing::Member => false,
            Standing::Contested(..) => true,
            Standing::Displaced(_) | Standing::Left => return,
        };
        if record.who == self.me {
            let newer = record.incarnation > self.incarnation;
            if newer || record.state != State::Alive && record.incarnation == self.incarnation {
                if record.state != State::Alive {
                    self.counts.refutations += 1;
                    // Others did not hear this one: it may be slow itself.
                    self.worse();
                }
                self.rise(record.incarnation + 1);
            }
            if !record.state.present() && self.downed.is_none_or(|former| record.incarnation > former) {
                self.downed = Some(record.incarnation);
                let (was, is) = (record.incarnation, self.incarnation);
                actions.push(Action::Warn(format!(
                    "this process was held to be down as incarnation {was}; it is back as incarnation {is}"
                )));
            }
        } else if record.who.rank() < self.me.rank() {
            // Its former self, or one that has to give way: whoever holds it to be present learns of this one.
            if record.state.present() {
                let name = self.me.name.clone();
                self.news.push(&name);
            }
        } else if record.who.start >= START_MOST {
            self.displaced(record.who.clone(), actions);
        } else if record.who.addr == self.me.addr || !record.state.present() {
            // Whoever had the address or the name is gone; only the clock it went by was ahead of this one's.
            self.succeed(now, &record.who, actions);
        } else if contested {
            // Somebody holds it to be there.
            self.standing = Standing::Contested(record.who.clone(), now + self.contest_ms());
        } else {
            actions.push(Action::Warn(format!(
                "the name {} is borne by {}, too, which started later; this process is no member while that \
                 is so",
                self.me.name, record.who.addr
            )));
            self.standing = Standing::Contested(record.who.clone(), now + self.contest_ms());
            (self.probe, self.sync) = (None, None);
            self.probe_at = now;
        }
    }

    /// Another process of this member's name is gone: this one holds the name from now on.
    pub(super) fn succeed(&mut self, now: Millis, former: &Identity, actions: &mut Vec<Action>) {
        (self.me.start, self.incarnation, self.downed) = (former.start + 1, 0, None);
        if self.standing != Standing::Member {
            let (addr, name) = (former.addr, &self.me.name);
            actions.push(Action::Warn(format!("{addr} no longer bears the name {name}; this process does")));
            self.standing = Standing::Member;
            (self.seek_at, self.sync_at) = (now, now);
        }
        let name = self.me.name.clone();
        self.news.push(&name);
    }

    /// For so long a process may go on to bear a contested name without a sign of life: by then all have agreed
    /// that it is gone.
    fn contest_ms(&self) -> Millis {
        2.0 * SUSPECT_ALONE * SUSPECT_PERIODS * self.scale() * self.settings.period_ms
    }

    /// A process of this member's name has sent something itself.
    pub(super) fn namesake(&mut self, now: Millis, sender: &Record, actions: &mut Vec<Action>) {
        if let Standing::Contested(rival, _) = &self.standing {
            if rival.addr == sender.who.addr && sender.who.rank() > self.me.rank() && sender.state.present() {
                return self.displaced(sender.who.clone(), actions);
            }
        }
        let lower = sender.who.rank() < self.me.rank();
        self.told_of_me(now, sender, actions);
        if lower && self.standing == Standing::Member {
            // So that it learns of this one.
            self.tells(sender.who.addr, NO_SEQ, wire::Body::News, None, actions);
        }
    }

    fn displaced(&mut self, rival: Identity, actions: &mut Vec<Action>) {
        actions.push(Action::Warn(format!(
            "two processes bear the name {}: {}, which started later, holds it; this one is no member until it \
             is started anew or its cluster is configured anew",
            self.me.name, rival.addr
        )));
        self.standing = Standing::Displaced(rival);
        (self.probe, self.sync) = (None, None);
        self.relays.clear();
    }

    /// This process seems to be slow itself.
    pub(super) fn worse(&mut self) {
        self.health = (self.health + 1).min(HEALTH_MOST);
    }
}
