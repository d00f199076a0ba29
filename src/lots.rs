//! Lots that spread backends evenly over gateways: arithmetic, nothing here decides anything.

use crate::interface::BackendId;

/// A backend's lot at one of so many gateways, from 0 to 1. A backend's lots at them are all different and
/// evenly spaced, and a gateway's at the backends fall by chance: below one bound each gateway finds about as
/// many backends, and each backend exactly as many gateways.
pub(crate) fn lot(backend: BackendId, gateways: u32, position: u32) -> f64 {
    let of = u64::from(gateways.max(1));
    let mixed = (u64::from(backend) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ mixed >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let (start, mut step) = ((mixed >> 32) % of, mixed % of);
    // Steps that share no factor with the number of gateways reach each lot once.
    while gcd(step, of) != 1 {
        step += 1;
    }
    ((start + step * u64::from(position)) % of) as f64 / of as f64
}

pub(crate) fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}
