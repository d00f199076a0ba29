//! Quota counting per tenant: the [`Counter`] kept by the leader, and the [`QuotaClient`] with which a
//! gateway charges requests to it before it sends them.
//!
//! A count belongs to a tenant and a window; a window lasts burst / rate seconds and allows one burst.
//! Windows are timed by the counter's monotonic clock alone. While the counter is unreachable or not
//! authoritative, a gateway limits itself to its share of the rate. The shares of all gateways, known and
//! unknown, sum to less than the limit, and the counter deducts the shares of the gateways it has lost
//! contact to from what it grants to the others.

use oakfall::Millis;
use std::collections::BTreeMap;

/// Fraction of an even split of the rate that makes up a share; the remainder covers gateways that are not
/// known yet.
const SHARE_FRACTION: f64 = 0.9;
/// Fraction of its part of a burst that a share accumulates. It is small, as the counter may have granted
/// units just before.
const SHARE_BURST_FRACTION: f64 = 0.1;
/// Fraction of an even split of the slack that a share also accumulates, for the uneven arrivals of a tenant
/// with few requests.
const SHARE_SLACK_FRACTION: f64 = 0.4;
/// A share that was unused for this long restarts within its cap, as the counter granted units meanwhile.
const SHARE_RESET_MS: Millis = 1500.0;
/// Fraction of a new leader's second window that counts as used: the last window of the previous leader may
/// have been used up at its end, and shares were used since.
const PRIOR_USE_FRACTION: f64 = 0.5;
/// Time without contact to the counter after which a gateway starts to reduce its share, as clients move to
/// other gateways.
const SHARE_REDUCTION_START_MS: Millis = 1500.0;
/// Time without contact after which the share is at its minimum.
const SHARE_REDUCTION_END_MS: Millis = 5000.0;
/// Minimum fraction of a share that a gateway without contact keeps.
const MIN_ISOLATED_SHARE_FRACTION: f64 = 0.15;
/// Retry-after time of refusals during a new leader's first window, in which units accrue continuously.
const ACCRUAL_RETRY_MS: Millis = 60.0;
/// Fraction of a window that a new leader's first window starts with, and may accumulate: after a full
/// restart, clients return at the same time.
const ACCRUAL_BURST_FRACTION: f64 = 0.3;
/// Units are charged ahead for the requests expected within this time, so that requests need not wait for a
/// round trip to another region, which takes 110 ms.
const PREPAY_MS: Millis = 300.0;
/// Time constant of the moving average of the request rate.
const RATE_AVERAGE_MS: Millis = 1500.0;
/// Shortest window: charges take time to arrive.
const MIN_WINDOW_MS: f64 = 200.0;
const MAX_WINDOW_MS: f64 = 60_000.0;
/// A gateway without contact to the counter for this long is assumed to use its local share. Until then it
/// may use both its share and units granted by the counter: a third of the gateways thus use a third of a
/// window.
const CONTACT_TIMEOUT_MS: Millis = 900.0;
/// Bits of a window number that count windows within a term.
const WINDOW_NUMBER_BITS: u32 = 40;
/// A tenant whose window ended this long ago is removed.
const TENANT_IDLE_MS: f64 = 120_000.0;
/// After this many consecutive unanswered charges, requests no longer wait for the counter.
const MAX_MISSES: u32 = 2;
/// While requests do not wait, one in this many is still charged, to detect that the counter is back.
const PROBE_INTERVAL: u32 = 8;

/// A tenant's rate limit over all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Requests per second; 0 for no limit.
    pub per_s: f64,
    /// Burst in requests; below 1 for one second's worth.
    pub burst: f64,
}

impl Limit {
    fn effective_burst(self) -> f64 {
        if self.burst >= 1.0 {
            self.burst
        } else {
            self.per_s.max(1.0)
        }
    }

    /// Length of a window.
    pub fn window_ms(self) -> f64 {
        (self.effective_burst() / self.per_s * 1000.0).clamp(MIN_WINDOW_MS, MAX_WINDOW_MS)
    }

    /// Units that a window allows.
    fn window_units(self) -> f64 {
        (self.per_s * self.window_ms() / 1000.0).min(self.effective_burst())
    }
}

// ---- Counter ----------------------------------------------------------------------------------------------

/// One tenant's current window.
struct Window {
    number: u64,
    ends: Millis,
    units: i64,
    allowance: Allowance,
}

/// Units that a window allows.
enum Allowance {
    /// A full burst.
    Burst,
    /// Used while a window of the previous leader may still be open: units accrue at the rate of the shares
    /// of the gateways in contact, for any of these to use.
    Accruing { accrued: f64, updated: Millis, unused: f64 },
}

/// Units charged for requests about to be sent, and units refunded for earlier requests that were not sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    /// Units charged.
    pub units: u64,
    /// Units refunded.
    pub refund: u64,
    /// Number of the window in which the refunded units were charged.
    pub window: u64,
}

/// A tenant's total, as the counter reports it after a charge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChargeTotal {
    /// Units used in this window, including the charge.
    pub units: i64,
    /// Units that the window allows to the gateways in contact with the counter.
    pub limit: i64,
    /// Time until the window ends or, if that is earlier, until refused units may be requested again.
    pub left_ms: f64,
    /// Number of the window, unique across leaders.
    pub window: u64,
}

/// Fraction of its share that a gateway gives up after `isolated_ms` without contact to the counter. The
/// counter dates the last contact no earlier, so it never assumes a larger fraction to be unused.
pub fn given_up_fraction(isolated_ms: Millis) -> f64 {
    let (from, to) = (SHARE_REDUCTION_START_MS, SHARE_REDUCTION_END_MS);
    let progress = ((isolated_ms - from) / (to - from)).clamp(0.0, 1.0);
    progress * (1.0 - MIN_ISOLATED_SHARE_FRACTION)
}

/// Fraction of the shares of all gateways that is unused, given the time since the last contact with each.
pub fn unused_share_fraction(isolated_ms: impl ExactSizeIterator<Item = Millis>) -> f64 {
    let gateways = isolated_ms.len().max(1) as f64;
    let unused =
        |isolated_ms| if isolated_ms < CONTACT_TIMEOUT_MS { 1.0 } else { given_up_fraction(isolated_ms) };
    isolated_ms.map(unused).sum::<f64>() / gateways
}

/// Counts of all tenants. A new leader starts without any.
pub struct Counter {
    started: Millis,
    /// Units that all gateways together may send beyond a tenant's limit.
    slack: f64,
    last_window: u64,
    windows: BTreeMap<String, Window>,
}

impl Counter {
    /// A counter for a leader of `term` that starts now.
    pub fn new(now: Millis, term: u64, slack: f64) -> Self {
        Counter { started: now, slack, last_window: term << WINDOW_NUMBER_BITS, windows: BTreeMap::new() }
    }

    /// Adds a charge to a tenant's count. `unused` is the fraction of all shares known to be unused: those of
    /// gateways in contact, and what the others have given up ([`given_up_fraction`]).
    pub fn charge(
        &mut self, now: Millis, tenant: &str, limit: Limit, charge: Charge, unused: f64,
    ) -> ChargeTotal {
        if limit.per_s <= 0.0 {
            return ChargeTotal { units: 0, limit: i64::MAX, left_ms: 0.0, window: 0 };
        }
        let length = limit.window_ms();
        let unused = unused.clamp(0.0, 1.0);
        let (started, last_window, slack) = (self.started, &mut self.last_window, self.slack);
        let prior_units = if now - started < 2.0 * length {
            (limit.window_units() * PRIOR_USE_FRACTION).ceil() as i64
        } else {
            0
        };
        let window = self.windows.entry(tenant.to_owned()).or_insert_with(|| {
            *last_window += 1;
            if now - started < length {
                // Units charged by the previous leader are unknown.
                let accrued =
                    (limit.window_units() * ACCRUAL_BURST_FRACTION + slack * SHARE_SLACK_FRACTION) * unused;
                let allowance = Allowance::Accruing { accrued, updated: started, unused };
                return Window { number: *last_window, ends: started + length, units: 0, allowance };
            }
            Window {
                number: *last_window,
                ends: now + length,
                units: prior_units,
                allowance: Allowance::Burst,
            }
        });
        if now >= window.ends {
            let skipped = ((now - window.ends) / length).floor();
            *last_window += 1;
            let ends = window.ends + (skipped + 1.0) * length;
            let units = if matches!(window.allowance, Allowance::Accruing { .. }) { prior_units } else { 0 };
            *window = Window { number: *last_window, ends, units, allowance: Allowance::Burst };
        }
        // A changed limit may shorten the current window.
        window.ends = window.ends.min(now + length);
        if let Allowance::Accruing { accrued, updated, unused: previous_unused } = &mut window.allowance {
            let rate = limit.per_s * SHARE_FRACTION * unused.min(*previous_unused) / 1000.0;
            let cap = window.units as f64 + limit.window_units() * ACCRUAL_BURST_FRACTION;
            *accrued = (*accrued + (now - *updated).max(0.0) * rate).min(cap.max(*accrued));
            (*updated, *previous_unused) = (now, unused);
            let limit = *accrued as i64;
            let granted = charge.units.min(u64::try_from(limit - window.units).unwrap_or(0));
            // Only granted units are added, and refunds are ignored: refused units must not use up later
            // accruals.
            window.units += granted as i64;
            let left_ms = window.ends - now;
            let retry_ms = if granted < charge.units { left_ms.min(ACCRUAL_RETRY_MS) } else { left_ms };
            let units = window.units + (charge.units - granted) as i64;
            return ChargeTotal {
                units,
                limit: limit.max(window.units),
                left_ms: retry_ms,
                window: window.number,
            };
        }
        window.units += charge.units as i64;
        if charge.window == window.number {
            // Refunds of earlier windows are ignored.
            window.units -= charge.refund as i64;
        }
        let allowed = limit.window_units() * (1.0 - SHARE_FRACTION * (1.0 - unused));
        let (units, left_ms, number) = (window.units, window.ends - now, window.number);
        ChargeTotal { units, limit: allowed.floor() as i64, left_ms, window: number }
    }

    /// Units of each tenant in its current window.
    pub fn usage(&self, now: Millis) -> impl Iterator<Item = (&str, i64)> {
        self.windows
            .iter()
            .filter(move |(_, window)| now < window.ends)
            .map(|(name, window)| (name.as_str(), window.units))
    }

    /// Removes tenants that have not been charged for a while.
    pub fn remove_idle(&mut self, now: Millis) {
        self.windows.retain(|_, window| now - window.ends < TENANT_IDLE_MS);
    }
}

// ---- Gateway ----------------------------------------------------------------------------------------------

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send it.
    Pass,
    /// Refuse it; the client may retry after this many milliseconds.
    Refuse(Millis),
    /// Send it on a prepaid unit or on the local share, and charge this without waiting.
    PassAndCharge(Charge),
    /// Charge this and wait for the total.
    Charge(Charge),
}

struct Tenant {
    limit: Limit,
    /// Units to refund with the next charge, and the window in which they were charged.
    refund: (u64, u64),
    /// Granted units that no request has used yet, and when they expire.
    prepaid: (u64, Millis),
    /// A charge ahead of requests is in flight.
    prepaying: bool,
    /// Moving average of requests per second at this gateway, and when it was updated.
    rate: (f64, Millis),
    /// Until this time nothing is charged, as the count exceeded the limit.
    over_until: Millis,
    /// Units left of this gateway's local share, and when that was updated.
    share: (f64, Millis),
}

impl Tenant {
    /// A charge of `units` that includes the outstanding refund.
    fn charge(&mut self, units: u64) -> Charge {
        let (refund, window) = self.refund;
        self.refund.0 = 0;
        Charge { units, refund, window }
    }
}

/// A gateway's client of the quota counter, with its quota state of each tenant.
pub struct QuotaClient {
    tenants: BTreeMap<String, Tenant>,
    /// Number of gateways that divide the rate while the counter is unreachable.
    gateways: f64,
    /// Units that all gateways together may send beyond a tenant's limit.
    slack: f64,
    /// Consecutive charges without an answer.
    misses: u32,
    /// Requests since the last probe of an unreachable counter.
    since_probe: u32,
    /// Send time of the latest message that the leader has answered.
    last_contact: Millis,
}

impl QuotaClient {
    /// A client without tenants. `slack` is the number of units that all gateways together may send beyond a
    /// tenant's limit.
    pub fn new(slack: f64) -> Self {
        QuotaClient {
            tenants: BTreeMap::new(),
            gateways: 1.0,
            slack,
            misses: 0,
            since_probe: 0,
            last_contact: f64::NEG_INFINITY,
        }
    }

    /// A connection to the counter is open: requests wait for the counter again.
    pub fn counter_connected(&mut self) {
        self.misses = 0;
    }

    /// The leader answered a message that was sent at `at`.
    pub fn leader_contacted(&mut self, at: Millis) {
        self.last_contact = self.last_contact.max(at);
    }

    /// Sets the number of gateways.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways.max(1) as f64;
    }

    /// Replaces the limits of all tenants. Counts of the remaining tenants are kept.
    pub fn set_limits(&mut self, now: Millis, limits: &BTreeMap<String, Limit>) {
        self.tenants.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let limit = *limit;
            let tenant = self.tenants.entry(name.clone()).or_insert(Tenant {
                limit,
                refund: (0, 0),
                prepaid: (0, 0.0),
                prepaying: false,
                rate: (0.0, now),
                over_until: 0.0,
                share: (0.0, f64::NEG_INFINITY),
            });
            if tenant.limit != limit {
                (tenant.limit, tenant.over_until) = (limit, 0.0);
            }
        }
    }

    /// Decides on a new request of a tenant.
    pub fn admit(&mut self, now: Millis, tenant: &str) -> Verdict {
        let Some(state) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        if state.limit.per_s <= 0.0 {
            return Verdict::Pass;
        }
        let decay = (-(now - state.rate.1).max(0.0) / RATE_AVERAGE_MS).exp();
        state.rate = (state.rate.0 * decay + 1000.0 / RATE_AVERAGE_MS, now);
        let expected = (state.rate.0 * PREPAY_MS / 1000.0) as u64;
        if state.prepaid.0 > 0 && now < state.prepaid.1 {
            state.prepaid.0 -= 1;
            let due = state.prepaid.0 * 2 <= expected
                && now >= state.over_until
                && now + PREPAY_MS < state.prepaid.1;
            if !due
                || expected == 0
                || self.misses >= MAX_MISSES
                || std::mem::replace(&mut state.prepaying, true)
            {
                return Verdict::Pass;
            }
            return Verdict::PassAndCharge(state.charge(expected));
        }
        if now < state.over_until {
            return Verdict::Refuse(state.over_until - now);
        }
        if self.misses >= MAX_MISSES {
            self.since_probe = (self.since_probe + 1) % PROBE_INTERVAL;
            if self.since_probe != 0 {
                return self.take_from_share(now, tenant);
            }
            let charge = state.charge(1);
            return match self.take_from_share(now, tenant) {
                Verdict::Pass => Verdict::PassAndCharge(charge),
                // A gateway with an exhausted share probes, too, so that it stops using the share once the
                // counter is back.
                _ => Verdict::Charge(charge),
            };
        }
        Verdict::Charge(state.charge(1 + expected))
    }

    /// Handles the total that answers a charge, `took` after the charge was sent. `waits` tells whether a
    /// request waits for it.
    pub fn total_received(
        &mut self, now: Millis, tenant: &str, charge: Charge, took: Millis, total: ChargeTotal, waits: bool,
    ) -> Verdict {
        self.misses = 0;
        let Some(state) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        state.prepaying &= waits;
        if state.refund.1 < total.window {
            (state.refund, state.prepaid) = ((0, total.window), (0, 0.0));
        }
        let over = u64::try_from(total.units - total.limit).unwrap_or(0).min(charge.units);
        if state.refund.1 == total.window {
            // Units beyond the limit are refunded with the next charge.
            state.refund.0 += over;
            // The window's remaining time was measured at the counter, about half a round trip ago.
            let ends = now + total.left_ms.clamp(0.0, MAX_WINDOW_MS) - took / 2.0;
            state.prepaid = (state.prepaid.0 + charge.units - over, ends);
        }
        if over > 0 {
            state.over_until = now + total.left_ms.clamp(0.0, MAX_WINDOW_MS);
        }
        match (waits, over == charge.units) {
            (false, _) => Verdict::Pass,
            (true, true) => Verdict::Refuse(total.left_ms),
            (true, false) => {
                state.prepaid.0 = state.prepaid.0.saturating_sub(1);
                Verdict::Pass
            }
        }
    }

    /// Handles a charge that was not answered in time, or not by an authoritative counter. A waiting request
    /// is decided by the local share.
    pub fn charge_unanswered(&mut self, now: Millis, tenant: &str, waits: bool) -> Verdict {
        self.misses = self.misses.saturating_add(1);
        if waits {
            return self.take_from_share(now, tenant);
        }
        if let Some(state) = self.tenants.get_mut(tenant) {
            state.prepaying = false;
        }
        Verdict::Pass
    }

    /// Refunds a charged request that was not run.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(state) = self.tenants.get_mut(tenant).filter(|state| state.limit.per_s > 0.0) {
            state.refund.0 += 1;
        }
    }

    /// Decides on a request by this gateway's local share of the rate.
    fn take_from_share(&mut self, now: Millis, tenant: &str) -> Verdict {
        let fraction = SHARE_FRACTION / self.gateways;
        let given_up = given_up_fraction(now - self.last_contact);
        let Some(state) = self.tenants.get_mut(tenant) else { return Verdict::Pass };
        let rate = state.limit.per_s * fraction * (1.0 - given_up);
        let cap = state.limit.effective_burst() * fraction * SHARE_BURST_FRACTION
            + self.slack * SHARE_SLACK_FRACTION / self.gateways;
        let (units, updated) = state.share;
        let reset = now - updated > SHARE_RESET_MS;
        let units = units + (now - updated).max(0.0) / 1000.0 * rate;
        // With many gateways the cap may be below one request. A share in use still accumulates a whole unit;
        // one at rest does not, as the counter grants units meanwhile.
        let units = units.min(if reset { cap } else { cap.max(1.0) });
        if units < 1.0 {
            state.share = (units, now);
            return Verdict::Refuse((1.0 - units) / rate * 1000.0);
        }
        state.share = (units - 1.0, now);
        Verdict::Pass
    }
}
