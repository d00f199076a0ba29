//! Deliberate faults: the random histories must detect each of them. A test program of its own, as detection
//! panics.

mod failures;
mod histories;

use histories::{
    lose_one_after_leave, lose_second_after_replacement, replace_members_during_partitions,
    run_random_faults, Mutant, World,
};

/// Histories tried before a fault counts as undetected.
const MAX_HISTORIES: u64 = 1500;
/// Failing histories to collect; the shortest is printed.
const MAX_FAILURES: usize = 2;

#[test]
fn every_deliberate_fault_is_detected() {
    let with_wipes = |max_wiped| move |world: &mut World| run_random_faults(world, max_wiped);
    let (no_wipe, one_wipe) = (with_wipes(0), with_wipes(1));
    let second_loss = |world: &mut World| assert!(lose_second_after_replacement(world, 4000.0) <= 15_000.0);
    type Scenario<'a> = &'a dyn Fn(&mut World);
    let (no_wipe, one_wipe): (Scenario, Scenario) = (&no_wipe, &one_wipe);
    let mutants: [(Mutant, usize, usize, Scenario); 12] = [
        (Mutant::VoteBeforeSync, 5, 0, no_wipe),
        (Mutant::EntriesBeforeSync, 3, 0, no_wipe),
        (Mutant::VoteForgotten, 5, 0, no_wipe),
        (Mutant::EmptyDiskVotes, 3, 0, one_wipe),
        (Mutant::EmptyDiskBootstraps, 3, 0, one_wipe),
        (Mutant::TermUnchecked, 3, 0, no_wipe),
        (Mutant::AckedBeforeCommit, 3, 0, no_wipe),
        (Mutant::ReadsWithoutLease, 3, 0, no_wipe),
        (Mutant::ClockStopsInPause, 3, 0, no_wipe),
        (Mutant::NoJointConsensus, 3, 1, &replace_members_during_partitions),
        (Mutant::LearnerLacksLog, 3, 1, &second_loss),
        (Mutant::StopsUnreleased, 3, 1, &lose_one_after_leave),
    ];
    let mut undetected = Vec::new();
    for (mutant, founders, extra_nodes, scenario) in mutants {
        let new_world = |seed| {
            let mut world = World::new(seed, founders, extra_nodes, Some(mutant));
            world.crashes_after_voting = matches!(mutant, Mutant::VoteBeforeSync | Mutant::VoteForgotten);
            world
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
