//! What a disk holds after a save, as both kinds of drawn histories keep it.
#![allow(dead_code)] // Each test program takes what it needs of it.

use overland::agreement::{PersistentState, Save};
use overland::invariants::violated_on_this_thread;

/// A save is put to what the disk had.
pub fn keep(disk: &mut Option<PersistentState>, save: Save) {
    let disk = disk.get_or_insert_with(PersistentState::default);
    disk.hard_state = save.hard_state;
    if let Some(base) = save.snapshot {
        let behind = disk.entries.iter().position(|entry| entry.index > base.index);
        disk.entries.drain(..behind.unwrap_or(disk.entries.len()));
        disk.snapshot = base;
    }
    if let Some((first, entries)) = save.entries {
        disk.entries.retain(|entry| entry.index < first);
        disk.entries.extend(entries);
    }
}

/// What was violated before a history began.
pub struct Watched(u64);

impl Watched {
    pub fn begin() -> Self {
        Watched(violated_on_this_thread())
    }

    /// Nothing was violated since.
    pub fn holds(&self) {
        let Watched(before) = self;
        assert_eq!(
            violated_on_this_thread(),
            *before,
            "an invariant is violated; its line stands in the log"
        );
    }
}
