//! An in-memory model of a store, and a check of invariants, shared by test programs.
#![allow(dead_code)] // Each test program uses only a part.

use oakfall_system::invariants::violations_on_this_thread;
use oakfall_system::raft::{PersistentState, Save};

/// Applies a save to the contents of a store.
pub fn apply_save(contents: &mut Option<PersistentState>, save: Save) {
    let contents = contents.get_or_insert_with(PersistentState::default);
    contents.hard_state = save.hard_state;
    if let Some(snapshot) = save.snapshot {
        let first_kept = contents.entries.iter().position(|entry| entry.index > snapshot.index);
        contents.entries.drain(..first_kept.unwrap_or(contents.entries.len()));
        contents.snapshot = snapshot;
    }
    if let Some((first, entries)) = save.entries {
        contents.entries.retain(|entry| entry.index < first);
        contents.entries.extend(entries);
    }
}

/// Checks that no invariant is violated on this thread from [`InvariantCheck::start`] on.
pub struct InvariantCheck(u64);

impl InvariantCheck {
    pub fn start() -> Self {
        InvariantCheck(violations_on_this_thread())
    }

    /// Panics if an invariant was violated.
    pub fn assert_none_violated(&self) {
        let InvariantCheck(before) = self;
        assert_eq!(violations_on_this_thread(), *before, "an invariant is violated; see the log");
    }
}
