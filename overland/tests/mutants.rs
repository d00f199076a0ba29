//! Faults put into the program on purpose: the histories that find none in it find each of these. In a process of its own,
//! as what is found panics.

mod histories;

use histories::{play, Mutant, World};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Histories tried before a fault counts as not found.
const MOST: u64 = 1500;
/// Finds of which the shortest history is told.
const FINDS: usize = 2;

#[test]
fn each_fault_put_in_on_purpose_is_found() {
    let mutants = [
        (Mutant::VoteBeforeSync, 5, 0),
        (Mutant::EntriesBeforeSync, 3, 0),
        (Mutant::VoteForgotten, 5, 0),
        (Mutant::EmptyDiskCounts, 3, 1),
        (Mutant::FoundsAgain, 3, 1),
        (Mutant::TermUnchecked, 3, 0),
        (Mutant::ToldUnreplicated, 3, 0),
        (Mutant::OldLeaderAnswers, 3, 0),
        (Mutant::ClockStoodStill, 3, 0),
    ];
    let mut missed = Vec::new();
    for (mutant, founders, wipes) in mutants {
        let mut finds = Vec::new();
        for seed in 0..MOST {
            let mut world = World::new(seed, founders, 0, Some(mutant));
            world.nervous = matches!(mutant, Mutant::VoteBeforeSync | Mutant::VoteForgotten);
            let played = catch_unwind(AssertUnwindSafe(|| play(&mut world, wipes)));
            if let Err(broken) = played {
                let text = broken.downcast_ref::<String>().cloned();
                let text = text.or_else(|| broken.downcast_ref::<&str>().map(|text| text.to_string()));
                finds.push((world.events, seed, text.unwrap_or_default()));
            }
            if finds.len() == FINDS {
                break;
            }
        }
        match finds.iter().min() {
            Some((events, seed, text)) => {
                let text = text.lines().next().unwrap_or_default();
                println!("{mutant:?}: history {seed}, {events} events: {text}");
            }
            None => missed.push(mutant),
        }
    }
    assert!(missed.is_empty(), "not found: {missed:?}");
}
