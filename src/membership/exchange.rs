//! Whole views, page by page: how a process joins, how views are kept alike, and how parts of a cluster that
//! were cut off from each other find together again.

use super::wire::Body;
use super::*;
use std::ops::Bound;

/// Pages of one exchange at most: more than a full table takes.
const PAGES_MOST: u32 = 128;
/// An exchange that broke off is taken up again within so many periods.
const AGAIN_PERIODS: f64 = 3.0;

/// So much a period, and as much saved up.
pub(super) struct Bucket {
    left: f64,
    at: Millis,
}

impl Bucket {
    pub(super) fn new(left: f64, at: Millis) -> Self {
        Bucket { left, at }
    }

    /// Takes one, if there is one.
    pub(super) fn take(&mut self, now: Millis, most: f64, period: Millis) -> bool {
        self.left = (self.left + (now - self.at).max(0.0) / period * most).min(most);
        self.at = now;
        let may = self.left >= 1.0;
        self.left -= f64::from(u8::from(may));
        may
    }
}

/// The exchange that is under way.
pub(super) struct Sync {
    pub(super) seq: u32,
    /// The next page must have come by then.
    pub(super) ends: Millis,
    /// Pages still to be taken at most.
    left: u32,
    /// This process was alone when it asked.
    pub(super) joins: bool,
}

impl Membership {
    pub(super) fn exchange_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let period = self.settings.period_ms;
        if self.sync.take_if(|sync| sync.ends <= now).is_some() && !self.order.is_empty() {
            self.sync_at = self.sync_at.min(now + (1.0 + self.rng.f64() * (AGAIN_PERIODS - 1.0)) * period);
        }
        if now >= self.seek_at {
            self.seek(now, actions);
        }
        if now >= self.sync_at {
            self.sync_wait = (2.0 * self.sync_wait).min(SYNC_PERIODS.1);
            self.sync_at = now + (0.5 + self.rng.f64()) * self.sync_wait * period;
            let some = self.some(1, None);
            let some = some.first().and_then(|name| self.members.get(name)).map(|m| m.record.who.addr);
            if let (Some(to), None) = (self.ask_back.take().or(some), &self.sync) {
                self.pull(now, &[to], actions);
            }
        }
    }

    /// Looks for those that are missed, and for seeds that are not present. A process that is alone does so more
    /// often at first, and then less and less.
    fn seek(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let alone = self.order.is_empty();
        let periods = if alone {
            self.tries = self.tries.saturating_add(1);
            f64::from(1u32 << (self.tries - 1).min(31)).min(JOIN_PERIODS_MOST)
        } else {
            self.tries = 0;
            SEEK.0 * (f64::from(self.present()) / SEEK.1).max(1.0)
        };
        self.seek_at = now + (0.5 + self.rng.f64()) * periods * self.settings.period_ms;
        if self.sync.is_some() {
            return;
        }
        let present: BTreeSet<_> =
            self.members.values().filter(|m| m.record.state.present()).map(|m| m.record.who.addr).collect();
        let down = self.members.values().filter(|m| m.record.state == State::Down).map(|m| m.record.who.addr);
        let lost = self.lost.values().map(|(addr, _)| *addr);
        let seeds = self.settings.seeds.iter().copied();
        // As a set: a seed that is also missed is not tried the more often.
        let missed: BTreeSet<_> = seeds.chain(down).chain(lost).collect();
        let mut missed: Vec<_> =
            missed.into_iter().filter(|addr| *addr != self.me.addr && !present.contains(addr)).collect();
        self.rng.shuffle(&mut missed);
        missed.truncate(if alone { JOIN_AT_ONCE } else { 1 });
        self.pull(now, &missed, actions);
    }

    /// Begins an exchange with whichever of these answers first.
    pub(super) fn pull(&mut self, now: Millis, with: &[SocketAddrV4], actions: &mut Vec<Action>) {
        if with.is_empty() {
            return;
        }
        let (seq, joins) = (self.next_seq(), self.order.is_empty());
        self.sync = Some(Sync { seq, ends: now + self.settings.period_ms, left: PAGES_MOST, joins });
        for to in with {
            self.tells(*to, seq, self.pulls(""), None, actions);
        }
    }

    fn pulls(&self, after: &str) -> Body {
        Body::Pull { after: after.into(), known: self.order.len() as u16 }
    }

    /// Whoever asked may know members that are not known here.
    pub(super) fn ask_back(&mut self, now: Millis, whom: SocketAddrV4) {
        self.ask_back = Some(whom);
        self.sync_at = self.sync_at.min(now + self.rng.f64() * self.settings.period_ms);
    }

    /// Answers with as much of the view as a datagram holds.
    pub(super) fn page(
        &mut self, to: SocketAddrV4, seq: u32, after: &str, about: Option<&Name>, actions: &mut Vec<Action>,
    ) {
        let me = self.record();
        let head = |last: &Name, more| {
            let (cluster, sender, body) = (self.cluster, me.clone(), Body::Page { last: last.clone(), more });
            wire::Datagram { cluster, seq, sender, body, news: Vec::new() }.head()
        };
        let longest: Name = "x".repeat(NAME_MOST).into();
        let room = DATAGRAM_MOST - head(&longest, false).len();
        let (mut records, mut one) = (Vec::with_capacity(room), Vec::with_capacity(128));
        if let Some(member) = about.and_then(|name| self.members.get(name)) {
            wire::put(&mut records, &member.record);
        }
        let (mut last, mut more): (Name, bool) = (after.into(), false);
        for (name, member) in self.members.range::<str, _>((Bound::Excluded(after), Bound::Unbounded)) {
            one.clear();
            wire::put(&mut one, &member.record);
            if records.len() + one.len() > room {
                more = true;
                break;
            }
            records.extend_from_slice(&one);
            last = name.clone();
        }
        let mut bytes = head(&last, more);
        bytes.extend(records);
        self.sends(to, bytes, actions);
    }

    /// A page came of whoever was asked: on to the next one.
    pub(super) fn paged(
        &mut self, now: Millis, from: SocketAddrV4, last: Name, more: bool, actions: &mut Vec<Action>,
    ) {
        let Some(sync) = self.sync.take() else { return };
        if more && sync.left > 0 && !last.is_empty() {
            let seq = self.next_seq();
            self.sync = Some(Sync { seq, ends: now + self.settings.period_ms, left: sync.left - 1, ..sync });
            self.tells(from, seq, self.pulls(&last), None, actions);
        }
    }

    /// While another process may bear this one's name: asks that one, and others for what they know of it.
    pub(super) fn contest(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Standing::Contested(rival, until) = self.standing.clone() else { return };
        if now >= until {
            return self.succeed(now, &rival, actions);
        }
        let to = rival.addr;
        self.probe_at = now + self.settings.period_ms;
        let seq = self.next_seq();
        self.tells(to, seq, Body::Ping, None, actions);
        let seeds = self.settings.seeds.clone();
        let some = self.some(1, None);
        let some = some.first().and_then(|name| self.members.get(name)).map(|m| m.record.who.addr);
        let known = some.or_else(|| (!seeds.is_empty()).then(|| seeds[self.rng.usize(..seeds.len())]));
        if let Some(known) = known.filter(|addr| *addr != self.me.addr && *addr != to) {
            self.pull(now, &[known], actions);
        }
    }
}
