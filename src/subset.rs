//! Ranks that assign each gateway a subset of the backends (deterministic subsetting).

use crate::interface::BackendId;

/// The rank of a backend at one gateway, in [0, 1). A backend's ranks at all gateways are distinct and evenly
/// spaced, and the ranks at one gateway are pseudo-random: of the ranks below a bound, every backend has the
/// same number and every gateway about the same.
pub(crate) fn subset_rank(backend: BackendId, gateways: u32, position: u32) -> f64 {
    let gateways = u64::from(gateways.max(1));
    let hash = (u64::from(backend) + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let hash = (hash ^ hash >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let (offset, mut stride) = ((hash >> 32) % gateways, hash % gateways);
    // A stride coprime to the number of gateways reaches each rank exactly once.
    while gcd(stride, gateways) != 1 {
        stride += 1;
    }
    ((offset + stride * u64::from(position)) % gateways) as f64 / gateways as f64
}

pub(crate) fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 {
        a
    } else {
        gcd(b, a % b)
    }
}
