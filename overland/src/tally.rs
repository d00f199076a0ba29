//! The shared count of each tenant's units, on both sides: the counting gateway that holds it, and a gateway that
//! charges it before it sends.
//!
//! A count is named by its tenant and a window; a window lasts burst over rate seconds and holds one burst. Windows are
//! the counter's alone, by its steady clock. What a charge can't reach, or what the counter can't vouch for, goes by a
//! gateway's share of the rate: the shares of all gateways, known and silent, sum below the limit, and the counter
//! takes the shares of those that are silent off what it grants the others.

use cherrytally::Millis;
use std::collections::BTreeMap;

/// A share is so much of an even part of the rate: gateways that come up unknown have one, too.
const OF_SHARE: f64 = 0.9;
/// A share saves up so much of its part of a burst: what was granted by the counter just before is not forgotten.
const SHARE_BURST: f64 = 0.1;
/// And so much of its part of the units that are granted to all besides: a tenant's few requests at one gateway come
/// unevenly.
const OF_SLACK: f64 = 0.4;
/// Shares that were not used for so long, in ms, are begun anew: the counter granted meanwhile.
const SHARE_REST_MS: Millis = 1500.0;
/// Of its second window a new holder of the duty takes so much as charged: the last window of the one before may have
/// been used up at its end, and shares were used since.
const BEFORE: f64 = 0.5;
/// A gateway that reached the counter less than so long ago, in ms, goes by its whole share, and one that did not for the
/// second time by the least part of it: clients are told of others, and what it leaves is granted to these.
const LONE_MS: (Millis, Millis) = (1500.0, 5000.0);
/// That least part.
const LONE_LEAST: f64 = 0.15;
/// While a new holder grants by shares who is refused may come back so soon, in ms: more has come by then.
const SHARES_MS: Millis = 60.0;
/// And so much of a window it begins with, and may be saved up of what they bring: all start anew at once now and then,
/// and their clients come back together.
const POOL_BURST: f64 = 0.3;
/// Units are charged ahead for the requests of so long, in ms, as this gateway has seen them come: a counter in another
/// region is 110 ms away and back, and a request need not wait for that if its unit is charged already.
const AHEAD_MS: Millis = 300.0;
/// Time over which requests a second are averaged, in ms.
const RATE_MS: Millis = 1500.0;
/// Shortest window, in ms: charges have a way to go.
const WINDOW_LEAST_MS: f64 = 200.0;
/// Longest window, in ms.
const WINDOW_MOST_MS: f64 = 60_000.0;
/// A gateway that the counter did not hear for so long, in ms, goes by its share: what it may use is granted to no other.
/// Until then both may be used; what a third of the gateways use so is a third of a window.
const COUNTED_MS: Millis = 900.0;
/// Windows of one term: more than any lives to see.
const TERM_BITS: u32 = 40;
/// A tenant that nobody charged for so long is forgotten, in ms.
const IDLE_MS: f64 = 120_000.0;
/// After so many calls in a row that were not answered in time requests no longer wait for the counter.
const MISSES: u32 = 2;
/// One request in so many is charged then all the same, without a wait, to hear of its return.
const LOOK: u32 = 8;

/// A tenant's limit, over all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Requests a second; nought for no limit.
    pub per_s: f64,
    /// And so many on top.
    pub burst: f64,
}

impl Limit {
    /// A limit without a burst has one of a second: no window is shorter than that.
    fn burst(self) -> f64 {
        if self.burst >= 1.0 {
            self.burst
        } else {
            self.per_s.max(1.0)
        }
    }

    /// Length of a window, in ms.
    pub fn window_ms(self) -> f64 {
        (self.burst() / self.per_s * 1000.0).clamp(WINDOW_LEAST_MS, WINDOW_MOST_MS)
    }

    /// Units that a window holds.
    fn holds(self) -> f64 {
        (self.per_s * self.window_ms() / 1000.0).min(self.burst())
    }
}

// ---- The counting gateway ---------------------------------------------------------------------------------------

/// One tenant's window.
struct Window {
    number: u64,
    ends: Millis,
    units: i64,
    holds: Holds,
}

/// What a window holds.
enum Holds {
    /// A burst.
    Burst,
    /// As long as a window may have begun under an earlier holder: what the shares of the gateways that reach the counter
    /// bring, as they come. Whoever needs them has them, and no more than these would use each alone.
    Shares { brought: f64, at: Millis, heard: f64 },
}

/// A charge: units of requests to be sent, and those of earlier ones that were not sent after all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    /// Units.
    pub units: u64,
    /// Units taken back.
    pub back: u64,
    /// From the window of this number.
    pub window: u64,
}

/// A total, as the counter answers it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counted {
    /// Units in this window, with the charge.
    pub units: i64,
    /// What the window holds for those who reach the counter.
    pub limit: i64,
    /// What is left of it, in ms.
    pub left_ms: f64,
    /// The window's number: no two windows of any holder have the same.
    pub window: u64,
}

/// The part of its share that a gateway leaves that reached the counter so long ago, in ms. The counter heard of it no
/// earlier, so that it reckons with no more than is left.
pub fn left(lone_ms: Millis) -> f64 {
    let (from, to) = LONE_MS;
    let gone = ((lone_ms - from) / (to - from)).clamp(0.0, 1.0);
    gone * (1.0 - LONE_LEAST)
}

/// The part of the shares of all gateways that is used by nobody, by the time since each was heard, in ms.
pub fn unused(lone: impl ExactSizeIterator<Item = Millis>) -> f64 {
    let all = lone.len().max(1) as f64;
    lone.map(|lone_ms| if lone_ms < COUNTED_MS { 1.0 } else { left(lone_ms) }).sum::<f64>() / all
}

/// The counts of all tenants. A holder of the duty begins with none.
pub struct Counter {
    began: Millis,
    /// Units that all gateways together may send beyond a tenant's limit.
    slack: f64,
    next: u64,
    windows: BTreeMap<String, Window>,
}

impl Counter {
    /// A duty that begins now, in this term.
    pub fn new(now: Millis, term: u64, slack: f64) -> Self {
        Counter { began: now, slack, next: term << TERM_BITS, windows: BTreeMap::new() }
    }

    /// Adds to a tenant's count. `heard` tells which part of all shares is used by nobody, as far as is known: those of
    /// the gateways that reach the counter, and what those leave that do not ([`left`]).
    pub fn charge(&mut self, now: Millis, tenant: &str, limit: Limit, charge: Charge, heard: f64) -> Counted {
        if limit.per_s <= 0.0 {
            return Counted { units: 0, limit: i64::MAX, left_ms: 0.0, window: 0 };
        }
        let length = limit.window_ms();
        let heard = heard.clamp(0.0, 1.0);
        let (began, next, slack) = (self.began, &mut self.next, self.slack);
        let used = if now - began < 2.0 * length { (limit.holds() * BEFORE).ceil() as i64 } else { 0 };
        let window = self.windows.entry(tenant.to_owned()).or_insert_with(|| {
            *next += 1;
            if now - began < length {
                // What was charged before the duty began is not known.
                let brought = (limit.holds() * POOL_BURST + slack * OF_SLACK) * heard;
                let holds = Holds::Shares { brought, at: began, heard };
                return Window { number: *next, ends: began + length, units: 0, holds };
            }
            // A tenant that comes later has its whole allowance.
            Window { number: *next, ends: now + length, units: used, holds: Holds::Burst }
        });
        if now >= window.ends {
            let passed = ((now - window.ends) / length).floor();
            *next += 1;
            let ends = window.ends + (passed + 1.0) * length;
            let units = if matches!(window.holds, Holds::Shares { .. }) { used } else { 0 };
            *window = Window { number: *next, ends, units, holds: Holds::Burst };
        }
        // A window that was long may end sooner under a new limit.
        window.ends = window.ends.min(now + length);
        if let Holds::Shares { brought, at, heard: before } = &mut window.holds {
            let rate = limit.per_s * OF_SHARE * heard.min(*before) / 1000.0;
            let saved = window.units as f64 + limit.holds() * POOL_BURST;
            *brought = (*brought + (now - *at).max(0.0) * rate).min(saved.max(*brought));
            (*at, *before) = (now, heard);
            let limit = *brought as i64;
            let granted = charge.units.min(u64::try_from(limit - window.units).unwrap_or(0));
            // What is not granted is not added, as it would keep others from what comes: nothing of it rides back.
            window.units += granted as i64;
            let left_ms = window.ends - now;
            let soon = if granted < charge.units { left_ms.min(SHARES_MS) } else { left_ms };
            let units = window.units + (charge.units - granted) as i64;
            return Counted { units, limit: limit.max(window.units), left_ms: soon, window: window.number };
        }
        window.units += charge.units as i64;
        if charge.window == window.number {
            // What was charged in a window that is over is over with it.
            window.units -= charge.back as i64;
        }
        let holds = limit.holds() * (1.0 - OF_SHARE * (1.0 - heard));
        let (units, left_ms, number) = (window.units, window.ends - now, window.number);
        Counted { units, limit: holds.floor() as i64, left_ms, window: number }
    }

    /// Units of each tenant in its present window.
    pub fn counts(&self, now: Millis) -> impl Iterator<Item = (&str, i64)> {
        self.windows
            .iter()
            .filter(move |(_, window)| now < window.ends)
            .map(|(name, w)| (name.as_str(), w.units))
    }

    /// Forgets tenants that nobody charges.
    pub fn sweep(&mut self, now: Millis) {
        self.windows.retain(|_, window| now - window.ends < IDLE_MS);
    }
}

// ---- A gateway that charges -------------------------------------------------------------------------------------

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent.
    Pass,
    /// It is refused; the client may come back after so many ms.
    Refuse(Millis),
    /// It is sent on a unit that was charged before; charge this for those that come next.
    PassAndCharge(Charge),
    /// Charge this and wait for the total.
    Charge(Charge),
}

struct Tenant {
    limit: Limit,
    /// Units that the next charge takes back, and the window in which they were charged.
    back: (u64, u64),
    /// Units charged and granted that no request has used yet, and until when they hold.
    paid: (u64, Millis),
    /// Units are being charged ahead.
    ahead: bool,
    /// Requests a second at this gateway, averaged, and when that was reckoned.
    rate: (f64, Millis),
    /// The count was past the limit: until then nothing more is charged.
    over_until: Millis,
    /// What is left of this gateway's own share, and when that was reckoned.
    share: (f64, Millis),
}

impl Tenant {
    /// A charge of so many units, with what is to be taken back.
    fn charge(&mut self, units: u64) -> Charge {
        let (back, window) = self.back;
        self.back.0 = 0;
        Charge { units, back, window }
    }
}

/// The counts as one gateway sees them.
pub struct Tally {
    tenants: BTreeMap<String, Tenant>,
    /// Gateways among which the rate is shared where the counter is out of reach.
    gateways: f64,
    /// Units that all gateways together may send beyond a tenant's limit.
    slack: f64,
    misses: u32,
    looks: u32,
    /// When the last word was sent that the holder of the duty has answered.
    touched: Millis,
}

impl Tally {
    /// Nothing is known yet. So many units all gateways together may send beyond a tenant's limit.
    pub fn new(slack: f64) -> Self {
        Tally {
            tenants: BTreeMap::new(),
            gateways: 1.0,
            slack,
            misses: 0,
            looks: 0,
            touched: f64::NEG_INFINITY,
        }
    }

    /// A connection to the counter is open: requests wait for it again.
    pub fn reached(&mut self) {
        self.misses = 0;
    }

    /// The holder of the duty has answered a word that was sent then.
    pub fn touched(&mut self, at: Millis) {
        self.touched = self.touched.max(at);
    }

    /// So many gateways are known.
    pub fn gateways(&mut self, gateways: usize) {
        self.gateways = gateways.max(1) as f64;
    }

    /// The limits of all tenants. What was counted stays.
    pub fn limits(&mut self, now: Millis, limits: &BTreeMap<String, Limit>) {
        self.tenants.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let limit = *limit;
            let tenant = self.tenants.entry(name.clone()).or_insert(Tenant {
                limit,
                back: (0, 0),
                paid: (0, 0.0),
                ahead: false,
                rate: (0.0, now),
                over_until: 0.0,
                share: (0.0, f64::NEG_INFINITY),
            });
            if tenant.limit != limit {
                (tenant.limit, tenant.over_until) = (limit, 0.0);
            }
        }
    }

    /// A request of a tenant comes in.
    pub fn ask(&mut self, now: Millis, tenant: &str) -> Verdict {
        let Some(of) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        if of.limit.per_s <= 0.0 {
            return Verdict::Pass;
        }
        let keep = (-(now - of.rate.1).max(0.0) / RATE_MS).exp();
        of.rate = (of.rate.0 * keep + 1000.0 / RATE_MS, now);
        let ahead = (of.rate.0 * AHEAD_MS / 1000.0) as u64;
        if of.paid.0 > 0 && now < of.paid.1 {
            of.paid.0 -= 1;
            let due = of.paid.0 * 2 <= ahead && now >= of.over_until && now + AHEAD_MS < of.paid.1;
            if !due || ahead == 0 || self.misses >= MISSES || std::mem::replace(&mut of.ahead, true) {
                return Verdict::Pass;
            }
            return Verdict::PassAndCharge(of.charge(ahead));
        }
        if now < of.over_until {
            return Verdict::Refuse(of.over_until - now);
        }
        if self.misses >= MISSES {
            self.looks = (self.looks + 1) % LOOK;
            if self.looks != 0 {
                return self.share(now, tenant);
            }
            let charge = of.charge(1);
            return match self.share(now, tenant) {
                Verdict::Pass => Verdict::PassAndCharge(charge),
                // Whoever has used up its share looks, too: it must not go on by it when the counter is back.
                _ => Verdict::Charge(charge),
            };
        }
        Verdict::Charge(of.charge(1 + ahead))
    }

    /// The counter answered a charge, so long after it was made. A request waits for the total, or none does.
    pub fn counted(
        &mut self, now: Millis, tenant: &str, charge: Charge, took: Millis, counted: Counted, waits: bool,
    ) -> Verdict {
        self.misses = 0;
        let Some(of) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        of.ahead &= waits;
        if of.back.1 < counted.window {
            (of.back, of.paid) = ((0, counted.window), (0, 0.0));
        }
        let over = u64::try_from(counted.units - counted.limit).unwrap_or(0).min(charge.units);
        if of.back.1 == counted.window {
            // Units past the limit ride back on the next charge.
            of.back.0 += over;
            // The window ends at the counter while the total is on its way.
            let ends = now + counted.left_ms.clamp(0.0, WINDOW_MOST_MS) - took / 2.0;
            of.paid = (of.paid.0 + charge.units - over, ends);
        }
        if over > 0 {
            of.over_until = now + counted.left_ms.clamp(0.0, WINDOW_MOST_MS);
        }
        match (waits, over == charge.units) {
            (false, _) => Verdict::Pass,
            (true, true) => Verdict::Refuse(counted.left_ms),
            (true, false) => {
                of.paid.0 = of.paid.0.saturating_sub(1);
                Verdict::Pass
            }
        }
    }

    /// The counter did not answer in time, or can't vouch: this gateway's own share decides where a request waits.
    pub fn unanswered(&mut self, now: Millis, tenant: &str, waits: bool) -> Verdict {
        self.misses = self.misses.saturating_add(1);
        if waits {
            return self.share(now, tenant);
        }
        if let Some(of) = self.tenants.get_mut(tenant) {
            of.ahead = false;
        }
        Verdict::Pass
    }

    /// A request that was charged was not run after all.
    pub fn settle(&mut self, tenant: &str) {
        if let Some(of) = self.tenants.get_mut(tenant).filter(|of| of.limit.per_s > 0.0) {
            of.back.0 += 1;
        }
    }

    fn share(&mut self, now: Millis, tenant: &str) -> Verdict {
        let part = OF_SHARE / self.gateways;
        let left = left(now - self.touched);
        let Some(of) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        let rate = of.limit.per_s * part * (1.0 - left);
        let most = of.limit.burst() * part * SHARE_BURST + self.slack * OF_SLACK / self.gateways;
        let (left, at) = of.share;
        let rested = now - at > SHARE_REST_MS;
        let left = left + (now - at).max(0.0) / 1000.0 * rate;
        // With many gateways a part is less than one request: it is saved up for, but not while the counter grants.
        let left = left.min(if rested { most } else { most.max(1.0) });
        if left < 1.0 {
            of.share = (left, now);
            return Verdict::Refuse((1.0 - left) / rate * 1000.0);
        }
        of.share = (left - 1.0, now);
        Verdict::Pass
    }
}
