//! Which gateways keep a request: by rendezvous hashing over the configured ones, in different zones where there are.

use super::{Member, WorkId};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// One that may be a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its place among the configured ones.
    pub member: Member,
    /// Its zone.
    pub zone: u32,
}

/// The keepers of a request, the same at whichever gateway it is reckoned. Where there are zones enough each is in
/// another one; a gateway that comes or goes changes only the requests that it keeps.
pub fn keepers(id: WorkId, candidates: &[Candidate], count: usize) -> Vec<Member> {
    let mut row: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            let mut hasher = SipHasher13::new();
            (id, candidate.member).hash(&mut hasher);
            (hasher.finish(), *candidate)
        })
        .collect();
    row.sort_unstable_by_key(|(lot, candidate)| (std::cmp::Reverse(*lot), candidate.member));
    let mut chosen: Vec<Candidate> = Vec::with_capacity(count);
    // Zones are filled evenly: first one keeper in each, then a second.
    let mut each = 1;
    while chosen.len() < count.min(row.len()) {
        for (_, candidate) in &row {
            let here = chosen.iter().filter(|other| other.zone == candidate.zone).count();
            if chosen.len() < count && here < each && !chosen.contains(candidate) {
                chosen.push(*candidate);
            }
        }
        each += 1;
    }
    chosen.into_iter().map(|candidate| candidate.member).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(count: u32, zones: u32) -> Vec<Candidate> {
        (0..count).map(|member| Candidate { member, zone: member % zones }).collect()
    }

    #[test]
    fn keepers_are_spread_over_zones_and_gateways_in_any_order_of_the_list() {
        let fleet = fleet(30, 3);
        let mut kept = [0; 30];
        for id in 0..3_000u128 {
            let chosen = keepers(id, &fleet, 3);
            let mut zones: Vec<_> = chosen.iter().map(|member| member % 3).collect();
            zones.sort_unstable();
            assert_eq!(zones, [0, 1, 2], "{id}");
            let mut turned = fleet.clone();
            turned.reverse();
            assert_eq!(keepers(id, &turned, 3), chosen);
            chosen.iter().for_each(|member| kept[*member as usize] += 1);
        }
        assert!(kept.iter().all(|count| (220..=380).contains(count)), "{kept:?}");
    }

    #[test]
    fn one_that_goes_moves_only_what_it_kept() {
        let (all, mut fewer) = (fleet(20, 1), fleet(20, 1));
        fewer.remove(7);
        for id in 0..2_000u128 {
            let (before, after) = (keepers(id, &all, 3), keepers(id, &fewer, 3));
            assert!(before.contains(&7) || before == after, "{id}");
            assert!(before.iter().filter(|member| !after.contains(member)).count() <= 1);
        }
    }

    #[test]
    fn a_small_fleet_gives_what_it_has() {
        assert_eq!(keepers(1, &fleet(2, 2), 3).len(), 2);
        assert_eq!(keepers(1, &fleet(5, 2), 3).len(), 3);
        assert!(keepers(1, &[], 3).is_empty());
    }
}
