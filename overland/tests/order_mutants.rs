//! Faults put into the program's surroundings on purpose, as if its rules for orders were others: the histories that find
//! none in it find each of these. In a process of its own, as what is found panics.

mod simulated;

use simulated::racers::{self, Mutant};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Histories tried before a fault counts as not found.
const MOST: u64 = 60;

#[test]
fn each_fault_put_in_on_purpose_is_found() {
    let mutants = [
        (Mutant::ComparedAtProposingAlone, 400),
        (Mutant::ForgottenAtASnapshot, 1200),
        (Mutant::KnownByNumberAlone, 400),
        (Mutant::AnsweredBeforeForce, 400),
        (Mutant::RefusedWhenGivenUp, 400),
        (Mutant::ReadAnywhere, 400),
    ];
    let mut missed = Vec::new();
    for (mutant, orders) in mutants {
        let mut found = None;
        for seed in 0..MOST {
            let played = catch_unwind(AssertUnwindSafe(|| racers::race(seed, 8, orders, Some(mutant))));
            if let Err(broken) = played {
                let text = broken.downcast_ref::<String>().cloned();
                found = Some((seed, text.unwrap_or_default()));
                break;
            }
        }
        match found {
            Some((seed, text)) => {
                println!("{mutant:?}: history {seed}: {}", text.lines().next().unwrap_or_default());
            }
            None => missed.push(mutant),
        }
    }
    assert!(missed.is_empty(), "not found: {missed:?}");
}
