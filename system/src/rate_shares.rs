//! Divides among the gateways the request rate that a cold backend may receive. A backend is cold while it
//! warms up after a start, or after its zone was evacuated.
//!
//! All gateways together may send a cold backend only a limited number of requests in any second. Each
//! gateway derives its share of that limit from the replicated list of gateways and never exceeds it, so the
//! sum stays within the limit without any message between gateways. Where there are more gateways than
//! requests per second, rendezvous hashing selects the gateways that may send. If the limit is below one
//! request per second, one gateway may still send one.

use crate::settings::Bounds;
use crate::state::digest;

/// Fraction of the limit that is handed out when every gateway has a share. The remainder covers differing
/// copies of the list: a gateway that has just joined sends while others do not count it yet.
const ALL_SENDERS_FRACTION: f64 = 0.9;
/// Fraction that is handed out when only some gateways send. The remainder covers gateways with different
/// versions of the list, which may select different senders and so too many.
const SELECTED_SENDERS_FRACTION: f64 = 0.8;

/// Rate at which one gateway may send to one backend that is, or may be, cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Number of gateways that have a share.
    pub senders: f64,
    /// Requests that this gateway may send to the backend in any second; 0 if it has no share.
    pub limit: u32,
}

/// Computes this gateway's shares from its copy of the list of gateways.
pub struct Shares {
    /// Multiple of a cold backend's capacity that all gateways together may send.
    cold_factor: f64,
    /// Requests per second allowed on top of that.
    cold_slack: f64,
    /// Hash of this gateway's name, if the list contains it.
    own: Option<u64>,
    others: Vec<u64>,
}

impl Shares {
    /// The shares of gateway `own` among `gateways`.
    pub fn new<'a>(bounds: &Bounds, own: &str, gateways: impl Iterator<Item = &'a str>) -> Self {
        let (matching, others): (Vec<&str>, Vec<&str>) = gateways.partition(|name| *name == own);
        Shares {
            cold_factor: bounds.cold_factor,
            cold_slack: bounds.cold_slack,
            own: matching.first().map(|name| digest(name.as_bytes())),
            others: others.into_iter().map(|name| digest(name.as_bytes())).collect(),
        }
    }

    /// This gateway's share of a backend that handles `cold_per_s` requests per second while cold.
    pub fn share(&self, backend: &str, cold_per_s: f64) -> Share {
        let total_limit = cold_per_s * self.cold_factor + self.cold_slack;
        let gateways = (self.others.len() + usize::from(self.own.is_some())).max(1) as f64;
        let all_send = gateways <= total_limit * ALL_SENDERS_FRACTION;
        let distributed =
            total_limit * if all_send { ALL_SENDERS_FRACTION } else { SELECTED_SENDERS_FRACTION };
        let senders = if all_send { gateways } else { distributed.floor().max(1.0) };
        let per_sender = (distributed / senders).floor().max(1.0);
        let sends = self.is_sender(backend, senders as usize);
        Share { senders, limit: if sends { per_sender as u32 } else { 0 } }
    }

    /// Whether this gateway is among the first `senders` gateways by rank for a backend.
    fn is_sender(&self, backend: &str, senders: usize) -> bool {
        let Some(own) = self.own else { return false };
        let backend = digest(backend.as_bytes());
        let own_rank = rank(own, backend);
        self.others.iter().filter(|other| rank(**other, backend) < own_rank).take(senders).count() < senders
    }
}

/// Pseudo-random rank of a gateway for a backend (lower ranks first), the same at every gateway.
fn rank(gateway: u64, backend: u64) -> u64 {
    // The factors are constants of SplitMix64: its increment and its first multiplier.
    let mixed = (gateway ^ backend).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ mixed >> 32).wrapping_mul(0xBF58_476D_1CE4_E5B9)
}
