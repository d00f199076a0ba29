//! The schedule of a roll-out: when the share of the new version rises, so that a version that turns bad at any step
//! is taken back within the budget of exposure.
//!
//! With a term `T` and a service's requests at a constant rate, the budget is `expose_share * T` in units of one
//! second of all requests. The canary spends `canary_share * (T - shift_before_end)`, and each step up to the end
//! its share for `hold`. A version that turns bad at a step of share `s` spends `s * REACTION` more. The sum has to
//! stay below the budget; `docs/system/rollouts.md` has the figures.

use super::PPM;
use oakfall::Millis;

/// The canary's share of the requests, as part of the exposed share.
const CANARY_OF_EXPOSURE: f64 = 0.4;
/// The shares of the steps between the canary and the close of the old version, in the same unit.
const STEPS_OF_EXPOSURE: [f64; 2] = [1.0, 3.0];
/// How long a step lasts at least: twice the time in which a gateway's counts reach the leader.
const MIN_HOLD_MS: Millis = 900.0;
/// The same as part of the term.
const HOLD_OF_TERM: f64 = 0.05;
/// Time for the last requests at the old version, at least, and as part of the term.
const CLOSE_MS: Millis = 4000.0;
const CLOSE_OF_TERM: f64 = 0.25;
const MAX_CLOSE_OF_TERM: f64 = 0.4;
/// The shift begins with at least this part of the term left, and at most that one.
const SHIFT_OF_TERM: f64 = 0.45;
const MAX_SHIFT_OF_TERM: f64 = 0.6;
/// Delay of the steps by commits and reports.
const MARGIN_MS: Millis = 600.0;

/// The schedule of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Schedule {
    /// The share of all requests that a bad version may get over the term.
    expose_share: f64,
    /// How long a step lasts at least.
    pub hold_ms: Millis,
    /// The shift begins when this much of the term is left.
    pub shift_before_end_ms: Millis,
    /// The old version is closed no later than with this much of the term left; otherwise the new one returns.
    pub last_close_ms: Millis,
}

impl Schedule {
    /// The schedule for a term.
    pub fn new(term_ms: Millis, expose_share: f64) -> Self {
        let hold_ms = MIN_HOLD_MS.max(HOLD_OF_TERM * term_ms);
        let close_ms = CLOSE_MS.max(CLOSE_OF_TERM * term_ms).min(MAX_CLOSE_OF_TERM * term_ms);
        let needed_ms = close_ms + STEPS_OF_EXPOSURE.len() as f64 * hold_ms + MARGIN_MS;
        let shift_before_end_ms = needed_ms.max(SHIFT_OF_TERM * term_ms).min(MAX_SHIFT_OF_TERM * term_ms);
        Schedule { expose_share, hold_ms, shift_before_end_ms, last_close_ms: close_ms / 4.0 }
    }

    /// The canary's share of the requests.
    fn canary_share(&self) -> f64 {
        (self.expose_share * CANARY_OF_EXPOSURE).min(1.0)
    }

    /// The canary's share of the requests, in millionths.
    pub fn canary_share_ppm(&self) -> u32 {
        (self.canary_share() * PPM) as u32
    }

    fn step_shares(&self) -> impl Iterator<Item = f64> + '_ {
        STEPS_OF_EXPOSURE.iter().map(|step| (step * self.expose_share).min(1.0))
    }

    /// The share after `share_ppm`, in millionths; `None` if the old version is to be closed next.
    pub fn next_share_ppm(&self, share_ppm: u32) -> Option<u32> {
        self.step_shares().map(|share| (share * PPM) as u32).find(|next| *next > share_ppm)
    }

    /// Requests of a version that turns bad at a step of this share, from the order until it is taken back
    /// `reaction_ms` later, in ms of all requests of the service.
    pub fn exposure_ms(&self, term_ms: Millis, at_share: f64, reaction_ms: Millis) -> Millis {
        let canary = self.canary_share() * (term_ms - self.shift_before_end_ms);
        let before = self.step_shares().filter(|share| *share < at_share);
        canary + before.map(|share| share * self.hold_ms).sum::<f64>() + at_share * reaction_ms
    }
}
