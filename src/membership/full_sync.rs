//! Full-state sync, page by page: used to join, to repair differences between views, and to merge partitions.

use super::wire::Body;
use super::*;
use std::ops::Bound;

/// Maximum pages in one sync; a full table takes fewer.
const MAX_SYNC_PAGES: u32 = 128;
/// An interrupted sync is retried within this many periods.
const MAX_SYNC_RETRY_PERIODS: f64 = 3.0;

/// Token bucket with a rate per period and a burst of the same size.
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    pub(super) fn new(burst: f64, now: Millis) -> Self {
        TokenBucket { tokens: burst, refilled_at: now }
    }

    /// Takes one token, if available.
    pub(super) fn take(&mut self, now: Millis, limit: f64, period: Millis) -> bool {
        self.tokens = (self.tokens + (now - self.refilled_at).max(0.0) / period * limit).min(limit);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// The sync under way.
pub(super) struct FullSync {
    pub(super) seq: u32,
    /// Timeout of the next page.
    pub(super) deadline: Millis,
    pages_left: u32,
    /// True if this process knew no present member when it asked.
    pub(super) joins: bool,
}

impl Membership {
    pub(super) fn sync_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let period = self.settings.period_ms;
        if self.sync.take_if(|sync| sync.deadline <= now).is_some() && !self.probe_order.is_empty() {
            self.sync_at =
                self.sync_at.min(now + (1.0 + self.rng.f64() * (MAX_SYNC_RETRY_PERIODS - 1.0)) * period);
        }
        if now >= self.reconnect_at {
            self.reconnect(now, actions);
        }
        if now >= self.sync_at {
            self.sync_interval_periods = (2.0 * self.sync_interval_periods).min(MAX_SYNC_PERIODS);
            self.sync_at = now + (0.5 + self.rng.f64()) * self.sync_interval_periods * period;
            let random = self.random_members(1, None);
            let random_addr =
                random.first().and_then(|name| self.members.get(name)).map(|m| m.record.identity.addr);
            if let (Some(to), None) = (self.next_sync_with.take().or(random_addr), &self.sync) {
                self.start_sync(now, &[to], actions);
            }
        }
    }

    /// Contacts members that are down and seeds that are not present. A process that knows no present member
    /// starts with short intervals, which double each time.
    fn reconnect(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let alone = self.probe_order.is_empty();
        let periods = if alone {
            self.join_attempts = self.join_attempts.saturating_add(1);
            f64::from(1u32 << (self.join_attempts - 1).min(31)).min(MAX_JOIN_PERIODS)
        } else {
            self.join_attempts = 0;
            RECONNECT_PERIODS * (f64::from(self.present()) / RECONNECT_SCALE_MEMBERS).max(1.0)
        };
        self.reconnect_at = now + (0.5 + self.rng.f64()) * periods * self.settings.period_ms;
        if self.sync.is_some() {
            return;
        }
        let present: BTreeSet<_> = self
            .members
            .values()
            .filter(|m| m.record.state.present())
            .map(|m| m.record.identity.addr)
            .collect();
        let down =
            self.members.values().filter(|m| m.record.state == State::Down).map(|m| m.record.identity.addr);
        let pruned = self.pruned_down.values().map(|(addr, _)| *addr);
        let seeds = self.settings.seeds.iter().copied();
        // A set, so that an address in several lists is not chosen more often.
        let candidates: BTreeSet<_> = seeds.chain(down).chain(pruned).collect();
        let mut candidates: Vec<_> = candidates
            .into_iter()
            .filter(|addr| *addr != self.local.addr && !present.contains(addr))
            .collect();
        self.rng.shuffle(&mut candidates);
        candidates.truncate(if alone { JOIN_FANOUT } else { 1 });
        self.start_sync(now, &candidates, actions);
    }

    /// Starts a sync with the first of these members to answer.
    pub(super) fn start_sync(&mut self, now: Millis, candidates: &[SocketAddrV4], actions: &mut Vec<Action>) {
        if candidates.is_empty() {
            return;
        }
        let (seq, joins) = (self.next_seq(), self.probe_order.is_empty());
        self.sync = Some(FullSync {
            seq,
            deadline: now + self.settings.period_ms,
            pages_left: MAX_SYNC_PAGES,
            joins,
        });
        for to in candidates {
            self.send(*to, seq, self.pull_body(""), None, actions);
        }
    }

    fn pull_body(&self, after: &str) -> Body {
        Body::Pull { after: after.into(), known: self.probe_order.len() as u16 }
    }

    /// Schedules a sync with a member that may know others that are not known here.
    pub(super) fn schedule_sync(&mut self, now: Millis, addr: SocketAddrV4) {
        self.next_sync_with = Some(addr);
        self.sync_at = self.sync_at.min(now + self.rng.f64() * self.settings.period_ms);
    }

    /// Answers a pull with as many records as fit in a datagram.
    pub(super) fn send_page(
        &mut self, to: SocketAddrV4, seq: u32, after: &str, about: Option<&Name>, actions: &mut Vec<Action>,
    ) {
        let local = self.local_record();
        let header = |last: &Name, more| {
            let (cluster, sender, body) =
                (self.cluster, local.clone(), Body::Page { last: last.clone(), more });
            wire::Datagram { cluster, seq, sender, body, updates: Vec::new() }.encode_header()
        };
        let longest: Name = "x".repeat(MAX_NAME_BYTES).into();
        let room = MAX_DATAGRAM_BYTES - header(&longest, false).len();
        let (mut records, mut encoded) = (Vec::with_capacity(room), Vec::with_capacity(128));
        if let Some(member) = about.and_then(|name| self.members.get(name)) {
            wire::encode_record(&mut records, &member.record);
        }
        let (mut last, mut more): (Name, bool) = (after.into(), false);
        for (name, member) in self.members.range::<str, _>((Bound::Excluded(after), Bound::Unbounded)) {
            encoded.clear();
            wire::encode_record(&mut encoded, &member.record);
            if records.len() + encoded.len() > room {
                more = true;
                break;
            }
            records.extend_from_slice(&encoded);
            last = name.clone();
        }
        let mut bytes = header(&last, more);
        bytes.extend(records);
        self.send_bytes(to, bytes, actions);
    }

    /// Handles a received page: requests the next one, if any.
    pub(super) fn on_page(
        &mut self, now: Millis, from: SocketAddrV4, last: Name, more: bool, actions: &mut Vec<Action>,
    ) {
        let Some(sync) = self.sync.take() else { return };
        if more && sync.pages_left > 0 && !last.is_empty() {
            let seq = self.next_seq();
            self.sync = Some(FullSync {
                seq,
                deadline: now + self.settings.period_ms,
                pages_left: sync.pages_left - 1,
                ..sync
            });
            self.send(from, seq, self.pull_body(&last), None, actions);
        }
    }

    /// While the name is contested: pings the other process, and syncs with a member that may know of it.
    /// Takes the name over at the end of the contest.
    pub(super) fn contest_name(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let LocalStatus::Contested(rival, until) = self.status.clone() else { return };
        if now >= until {
            return self.take_over_name(now, &rival, actions);
        }
        let to = rival.addr;
        self.probe_at = now + self.settings.period_ms;
        let seq = self.next_seq();
        self.send(to, seq, Body::Ping, None, actions);
        let seeds = self.settings.seeds.clone();
        let random = self.random_members(1, None);
        let random_addr =
            random.first().and_then(|name| self.members.get(name)).map(|m| m.record.identity.addr);
        let sync_target =
            random_addr.or_else(|| (!seeds.is_empty()).then(|| seeds[self.rng.usize(..seeds.len())]));
        if let Some(sync_target) = sync_target.filter(|addr| *addr != self.local.addr && *addr != to) {
            self.start_sync(now, &[sync_target], actions);
        }
    }
}
