//! Selects the replicas of a request by rendezvous hashing, spread over zones.

use super::{GatewayIndex, RequestId};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// A gateway that may be selected as a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Index of the gateway in the configured list.
    pub gateway: GatewayIndex,
    /// Zone of the gateway.
    pub zone: u32,
}

/// Selects up to `count` replicas of a request; every gateway computes the same ones. They are in different
/// zones if there are enough. Adding or removing a gateway moves only the requests that it replicates.
pub fn select_replicas(id: RequestId, candidates: &[Candidate], count: usize) -> Vec<GatewayIndex> {
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            let mut hasher = SipHasher13::new();
            (id, candidate.gateway).hash(&mut hasher);
            (hasher.finish(), *candidate)
        })
        .collect();
    ranked.sort_unstable_by_key(|(hash, candidate)| (std::cmp::Reverse(*hash), candidate.gateway));
    let mut chosen: Vec<Candidate> = Vec::with_capacity(count);
    // Fills the zones evenly: one replica in each, then a second.
    let mut per_zone = 1;
    while chosen.len() < count.min(ranked.len()) {
        for (_, candidate) in &ranked {
            let in_zone = chosen.iter().filter(|other| other.zone == candidate.zone).count();
            if chosen.len() < count && in_zone < per_zone && !chosen.contains(candidate) {
                chosen.push(*candidate);
            }
        }
        per_zone += 1;
    }
    chosen.into_iter().map(|candidate| candidate.gateway).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn gateways(count: u32, zones: u32) -> Vec<Candidate> {
        (0..count).map(|gateway| Candidate { gateway, zone: gateway % zones }).collect()
    }

    #[test]
    fn replicas_are_spread_over_zones_and_gateways_independent_of_list_order() {
        let gateways = gateways(30, 3);
        let mut replica_counts = [0; 30];
        for id in 0..3_000u128 {
            let chosen = select_replicas(id, &gateways, 3);
            let mut zones: Vec<_> = chosen.iter().map(|gateway| gateway % 3).collect();
            zones.sort_unstable();
            assert_eq!(zones, [0, 1, 2], "{id}");
            let mut reversed = gateways.clone();
            reversed.reverse();
            assert_eq!(select_replicas(id, &reversed, 3), chosen);
            chosen.iter().for_each(|gateway| replica_counts[*gateway as usize] += 1);
        }
        assert!(replica_counts.iter().all(|count| (220..=380).contains(count)), "{replica_counts:?}");
    }

    #[test]
    fn removing_a_gateway_moves_only_its_requests() {
        let (all, mut fewer) = (gateways(20, 1), gateways(20, 1));
        fewer.remove(7);
        for id in 0..2_000u128 {
            let (before, after) = (select_replicas(id, &all, 3), select_replicas(id, &fewer, 3));
            assert!(before.contains(&7) || before == after, "{id}");
            assert!(before.iter().filter(|gateway| !after.contains(gateway)).count() <= 1);
        }
    }

    #[test]
    fn fewer_gateways_than_replicas_are_all_selected() {
        assert_eq!(select_replicas(1, &gateways(2, 2), 3).len(), 2);
        assert_eq!(select_replicas(1, &gateways(5, 2), 3).len(), 3);
        assert!(select_replicas(1, &[], 3).is_empty());
    }
}
