//! Deliberate faults around the control plane's state machines: the random histories must detect each of
//! them. A test program of its own, as detection panics.

mod failures;
mod simulated;

use simulated::faults::Fault::{self, *};
use simulated::{Mutant, World};

/// Histories tried before a fault counts as undetected.
const MAX_HISTORIES: u64 = 200;
/// Failing histories to collect; the shortest is printed.
const MAX_FAILURES: usize = 2;

#[test]
fn every_deliberate_fault_is_detected() {
    let mutants: [(Mutant, &[Fault]); 9] = [
        (Mutant::ClockStopsInPause, &[LeaderPaused, MemberPaused]),
        (Mutant::ResponseAfterPause, &[RandomPauses]),
        (Mutant::LeaveAckedWithoutLease, &[LeaderPaused, LeaderCutFromPeers]),
        (Mutant::FollowerClaimsLeadership, &[Partition]),
        (Mutant::StaleTermReportedAsNew, &[Partition]),
        (Mutant::PushBeforeCommit, &[LeaderCutFromPeers]),
        (Mutant::AppliedIndexOverstated, &[GatewaysCutOff]),
        (Mutant::LeaseNeverExpires, &[GatewaysCutOff]),
        (Mutant::UpdateAgeIgnored, &[GatewayPaused]),
    ];
    let mut undetected = Vec::new();
    for (mutant, faults) in mutants {
        let new_world = |seed| World::new(seed, [3, 5][seed as usize % 2], 0, 4, 6, 4);
        let scenario = |world: &mut World| {
            world.mutant = Some(mutant);
            world.callers.rapid_churn = mutant == Mutant::LeaveAckedWithoutLease;
            world.run_two_faults(faults);
        };
        let failure =
            failures::shortest_failure(0..MAX_HISTORIES, MAX_FAILURES, new_world, scenario, |world| {
                world.events
            });
        match failure {
            Some(failure) => {
                println!(
                    "{mutant:?}: seed {}, {} events: {}",
                    failure.seed,
                    failure.events,
                    failure.message()
                );
            }
            None => undetected.push(mutant),
        }
    }
    assert!(undetected.is_empty(), "not detected: {undetected:?}");
}

#[test]
fn a_leader_that_settles_without_heartbeats_is_detected() {
    let new_world = |seed| World::new(seed, 3, 0, 4, 6, 0);
    let scenario = |world: &mut World| {
        world.mutant = Some(Mutant::SettledWithoutHeartbeats);
        world.restart_core_without_heartbeats();
    };
    let failure =
        failures::shortest_failure(0..MAX_HISTORIES, MAX_FAILURES, new_world, scenario, |world| world.events);
    let failure = failure.expect("a failing history");
    assert!(failure.message().contains("a gateway grants the full rate"), "{}", failure.message());
    println!("seed {}, {} events", failure.seed, failure.events);
}
