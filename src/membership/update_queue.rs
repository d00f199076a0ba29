//! Queue of updates to gossip: at most one for each member, least transmitted first.

use super::Name;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum queued updates. Others spread by full-state syncs.
const MAX_QUEUED_UPDATES: usize = 512;

/// The queue. It holds names only; the sender looks up the current records.
#[derive(Default)]
pub struct UpdateQueue {
    /// Number of transmissions, insertion number, name.
    queue: BTreeSet<(u32, u64, Name)>,
    positions: BTreeMap<Name, (u32, u64)>,
    last_insertion: u64,
}

impl UpdateQueue {
    /// Queues an update of this member, which replaces an earlier one.
    pub fn push(&mut self, name: &Name) {
        self.remove(name);
        if self.positions.len() >= MAX_QUEUED_UPDATES {
            if let Some((.., evicted)) = self.queue.pop_last() {
                self.positions.remove(&evicted);
            }
        }
        self.insert(name.clone(), 0);
    }

    /// Removes the update of this member.
    pub fn remove(&mut self, name: &Name) {
        if let Some((transmissions, insertion)) = self.positions.remove(name) {
            self.queue.remove(&(transmissions, insertion, name.clone()));
        }
    }

    /// Offers names, least transmitted first, until `accept` returns false. Accepted ones count as
    /// transmitted once more, and leave the queue after `limit` transmissions.
    pub fn transmit(&mut self, limit: u32, mut accept: impl FnMut(&Name) -> bool) {
        let mut accepted = Vec::new();
        while let Some(first) = self.queue.pop_first() {
            if !accept(&first.2) {
                self.queue.insert(first);
                break;
            }
            self.positions.remove(&first.2);
            accepted.push(first);
        }
        for (transmissions, _, name) in accepted {
            if transmissions + 1 < limit {
                self.insert(name, transmissions + 1);
            }
        }
    }

    /// Number of queued updates.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    fn insert(&mut self, name: Name, transmissions: u32) {
        self.last_insertion += 1;
        self.queue.insert((transmissions, self.last_insertion, name.clone()));
        self.positions.insert(name, (transmissions, self.last_insertion));
    }
}
