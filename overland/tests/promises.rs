//! Faults put on purpose into what surrounds the rules of control: the histories that find none without them find each of
//! these. In a process of its own, as what is found panics.

mod finds;
mod simulated;

use simulated::troubles::Trouble::{self, *};
use simulated::{Mutant, World};

/// Histories tried before a fault counts as not found.
const MOST: u64 = 200;
/// Finds of which the shortest history is told.
const FINDS: usize = 2;

#[test]
fn each_fault_in_what_surrounds_the_rules_is_found() {
    let mutants: [(Mutant, &[Trouble]); 9] = [
        (Mutant::ClockStoodStill, &[LeaderFrozen, MemberFrozen]),
        (Mutant::AnswerAfterFreeze, &[Pauses]),
        (Mutant::LeaveUnasked, &[LeaderFrozen, LeaderFromPeers]),
        (Mutant::AnyMemberVouches, &[Split]),
        (Mutant::OldTermHeard, &[Split]),
        (Mutant::PushBeforeCommit, &[LeaderFromPeers]),
        (Mutant::HeldUnseen, &[GatewaysAlone]),
        (Mutant::NeverStops, &[GatewaysAlone]),
        (Mutant::AgeForgotten, &[GatewayFrozen]),
    ];
    let mut missed = Vec::new();
    for (mutant, of) in mutants {
        let draw = |seed| World::new(seed, [3, 5][seed as usize % 2], 0, 4, 6, 4);
        let play = |world: &mut World| {
            world.mutant = Some(mutant);
            world.callers.hasty = mutant == Mutant::LeaveUnasked;
            world.two_troubles(of);
        };
        match finds::shortest(0..MOST, FINDS, draw, play, |world| world.events) {
            Some(find) => {
                println!("{mutant:?}: history {}, {} events: {}", find.seed, find.events, find.text());
            }
            None => missed.push(mutant),
        }
    }
    assert!(missed.is_empty(), "not found: {missed:?}");
}

#[test]
fn a_leader_that_counts_as_settled_unheard_is_found() {
    let draw = |seed| World::new(seed, 3, 0, 4, 6, 0);
    let play = |world: &mut World| {
        world.mutant = Some(Mutant::SettledUnheard);
        world.core_is_off_and_hears_no_backend();
    };
    let find = finds::shortest(0..MOST, FINDS, draw, play, |world| world.events).expect("it is not found");
    assert!(find.text().contains("it takes backends for warm"), "{}", find.text());
    println!("history {}, {} events", find.seed, find.events);
}
