//! Charges on one connection to the counter, and who waits for each. An answer is bound to its charge by the connection
//! and by its number alone: one with any other number is nobody's, and what waited on a connection that ended is never
//! answered by another.

use std::collections::VecDeque;

/// Charges that may wait at once: a counter that takes so many without a word is as good as gone.
const WAITING_MOST: usize = 4096;

/// The charges of one connection that were not answered yet, in order.
pub struct Pending<T> {
    last: u64,
    waiting: VecDeque<(u64, T)>,
}

impl<T> Default for Pending<T> {
    fn default() -> Self {
        Pending { last: 0, waiting: VecDeque::new() }
    }
}

impl<T> Pending<T> {
    /// One more is sent; its number, or none if too many wait.
    pub fn sent(&mut self, who: T) -> Option<u64> {
        if self.waiting.len() >= WAITING_MOST {
            return None;
        }
        self.last += 1;
        self.waiting.push_back((self.last, who));
        Some(self.last)
    }

    /// The answer to the charge of this number came: who waits for it. Those before it are passed over for good.
    pub fn answered(&mut self, number: u64) -> Option<T> {
        while self.waiting.front().is_some_and(|(of, _)| *of < number) {
            self.waiting.pop_front();
        }
        let here = self.waiting.front().is_some_and(|(of, _)| *of == number);
        if here {
            self.waiting.pop_front().map(|(_, who)| who)
        } else {
            None
        }
    }
}
