//! News that is still to be passed on: for each member the latest alone, the least told first.

use super::Name;
use std::collections::{BTreeMap, BTreeSet};

/// Members at most of which news is held. What does not fit is learned by the exchange of whole views.
const NEWS_MOST: usize = 512;

/// The queue of news. It holds names; what is told of them is read when it is sent.
#[derive(Default)]
pub struct News {
    /// By how often it was told, then by age.
    queue: BTreeSet<(u32, u64, Name)>,
    places: BTreeMap<Name, (u32, u64)>,
    next: u64,
}

impl News {
    /// Something new of this member.
    pub fn push(&mut self, name: &Name) {
        self.remove(name);
        if self.places.len() >= NEWS_MOST {
            if let Some((.., told)) = self.queue.pop_last() {
                self.places.remove(&told);
            }
        }
        self.put(name.clone(), 0);
    }

    /// Nothing more is told of it.
    pub fn remove(&mut self, name: &Name) {
        if let Some((told, age)) = self.places.remove(name) {
            self.queue.remove(&(told, age, name.clone()));
        }
    }

    /// Offers names, the least told first, until one is declined; those taken are told once more, and are
    /// done with after so many times.
    pub fn tell(&mut self, times: u32, mut take: impl FnMut(&Name) -> bool) {
        let mut taken = Vec::new();
        while let Some(first) = self.queue.pop_first() {
            if !take(&first.2) {
                self.queue.insert(first);
                break;
            }
            self.places.remove(&first.2);
            taken.push(first);
        }
        for (told, _, name) in taken {
            if told + 1 < times {
                self.put(name, told + 1);
            }
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    fn put(&mut self, name: Name, told: u32) {
        self.next += 1;
        self.queue.insert((told, self.next, name.clone()));
        self.places.insert(name, (told, self.next));
    }
}
