//! Deliberate faults in the handling of operators' requests: the random histories must detect each of them. A
//! test program of its own, as detection panics.

mod simulated;

use simulated::concurrent_updates::{self, Mutant};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Histories tried before a fault counts as undetected.
const MAX_HISTORIES: u64 = 60;

#[test]
fn every_deliberate_fault_is_detected() {
    let mutants = [
        (Mutant::BaseCheckedOnlyAtProposal, 400),
        (Mutant::OutcomesMissingFromSnapshot, 1200),
        (Mutant::RetryRecognizedByEditionOnly, 400),
        (Mutant::AcknowledgedByOneMember, 400),
        (Mutant::TimeoutReportedAsRejection, 400),
        (Mutant::ReadWithoutLease, 400),
    ];
    let mut undetected = Vec::new();
    for (mutant, requests) in mutants {
        let mut detected = None;
        for seed in 0..MAX_HISTORIES {
            let result = catch_unwind(AssertUnwindSafe(|| {
                concurrent_updates::run_concurrent_requests(seed, 8, requests, Some(mutant))
            }));
            if let Err(payload) = result {
                let text = payload.downcast_ref::<String>().cloned();
                detected = Some((seed, text.unwrap_or_default()));
                break;
            }
        }
        match detected {
            Some((seed, text)) => {
                println!("{mutant:?}: seed {seed}: {}", text.lines().next().unwrap_or_default());
            }
            None => undetected.push(mutant),
        }
    }
    assert!(undetected.is_empty(), "not detected: {undetected:?}");
}
