//! Faults put into the program on purpose: the histories that find none in it find each of these. In a process of its own,
//! as what is found panics.

mod finds;
mod histories;

use histories::{left, moved, play, replaced, Mutant, World};

/// Histories tried before a fault counts as not found.
const MOST: u64 = 1500;
/// Finds of which the shortest history is told.
const FINDS: usize = 2;

#[test]
fn each_fault_put_in_on_purpose_is_found() {
    let losing = |wipes| move |world: &mut World| play(world, wipes);
    let (none, one) = (losing(0), losing(1));
    let second_loss = |world: &mut World| assert!(replaced(world, 4000.0) <= 15_000.0);
    type Play<'a> = &'a dyn Fn(&mut World);
    let (none, one): (Play, Play) = (&none, &one);
    let mutants: [(Mutant, usize, usize, Play); 12] = [
        (Mutant::VoteBeforeSync, 5, 0, none),
        (Mutant::EntriesBeforeSync, 3, 0, none),
        (Mutant::VoteForgotten, 5, 0, none),
        (Mutant::EmptyDiskCounts, 3, 0, one),
        (Mutant::FoundsAgain, 3, 0, one),
        (Mutant::TermUnchecked, 3, 0, none),
        (Mutant::ToldUnreplicated, 3, 0, none),
        (Mutant::OldLeaderAnswers, 3, 0, none),
        (Mutant::ClockStoodStill, 3, 0, none),
        (Mutant::SwappedInOneEntry, 3, 1, &moved),
        (Mutant::PlacedWithoutLog, 3, 1, &second_loss),
        (Mutant::LeaverJustEnds, 3, 1, &left),
    ];
    let mut missed = Vec::new();
    for (mutant, founders, others, play) in mutants {
        let draw = |seed| {
            let mut world = World::new(seed, founders, others, Some(mutant));
            world.nervous = matches!(mutant, Mutant::VoteBeforeSync | Mutant::VoteForgotten);
            world
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
