//! The part of what a cold backend bears that each gateway may send it.
//!
//! All gateways together may send a cold backend only so many requests in any second. Each one holds a part of that number
//! by the agreed list of gateways, and never sends more than its part in any second.
//! The sum holds whatever the others know: it needs no message between gateways. Where there are more gateways than requests
//! in a second, only some of them, chosen by rendezvous hashing, may send at all.

use crate::settings::Bounds;
use crate::state::digest;

/// The part of a bound that is handed out where every gateway has a part: while the list of gateways changes, there may be one
/// more than it names.
const TO_ALL: f64 = 0.9;
/// And where only some have: by two versions of the list others may be chosen.
const TO_SOME: f64 = 0.8;

/// What one gateway may send one backend that is cold, or may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// How many gateways have a part.
    pub senders: f64,
    /// Attempts of this gateway in any second; nought where it has no part.
    pub limit: u32,
}

/// The gateways that have parts, as this one knows them.
pub struct Shares {
    /// What all may send a cold backend in a second, over what it bears: a factor and an addend.
    over: (f64, f64),
    /// This gateway, where the list names it.
    own: Option<u64>,
    others: Vec<u64>,
}

impl Shares {
    /// The parts of the gateway `own` by the agreed list of all.
    pub fn new<'a>(bounds: &Bounds, own: &str, gateways: impl Iterator<Item = &'a str>) -> Self {
        let (named, others): (Vec<&str>, Vec<&str>) = gateways.partition(|name| *name == own);
        Shares {
            over: (bounds.cold_factor, bounds.cold_slack),
            own: named.first().map(|name| digest(name.as_bytes())),
            others: others.into_iter().map(|name| digest(name.as_bytes())).collect(),
        }
    }

    /// This gateway's part of what a backend may be sent that bears `cold_per_s` requests a second while cold.
    pub fn share(&self, backend: &str, cold_per_s: f64) -> Share {
        let allowed = cold_per_s * self.over.0 + self.over.1;
        let gateways = (self.others.len() + usize::from(self.own.is_some())).max(1) as f64;
        let to_all = gateways <= allowed * TO_ALL;
        let handed_out = allowed * if to_all { TO_ALL } else { TO_SOME };
        let senders = if to_all { gateways } else { handed_out.floor().max(1.0) };
        let each = (handed_out / senders).floor().max(1.0);
        let sends = self.is_sender(backend, senders as usize);
        Share { senders, limit: if sends { each as u32 } else { 0 } }
    }

    /// Whether this gateway is among the first `senders` for a backend.
    fn is_sender(&self, backend: &str, senders: usize) -> bool {
        let Some(own) = self.own else { return false };
        let backend = digest(backend.as_bytes());
        let rank = mixed(own, backend);
        self.others.iter().filter(|other| mixed(**other, backend) < rank).take(senders).count() < senders
    }
}

/// A gateway's rank at a backend: as good as drawn, and the same at all gateways.
fn mixed(gateway: u64, backend: u64) -> u64 {
    let mixed = (gateway ^ backend).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ mixed >> 32).wrapping_mul(0xBF58_476D_1CE4_E5B9)
}
