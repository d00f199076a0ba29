//! Messages with charges that one connection to the counter has not answered yet. A response is matched by
//! its sequence number, on its own connection only: after a reconnect, earlier messages stay unanswered. A
//! response with an unknown number completes no message, but drops those with lower numbers.

use std::collections::VecDeque;

/// Maximum number of unanswered messages; beyond it the connection is closed and opened anew.
const MAX_IN_FLIGHT: usize = 4096;

/// The unanswered messages of one connection, in the order sent, each with the waiters for its response.
pub struct PendingMessages<T> {
    last_sequence: u64,
    in_flight: VecDeque<(u64, T)>,
}

impl<T> Default for PendingMessages<T> {
    fn default() -> Self {
        PendingMessages { last_sequence: 0, in_flight: VecDeque::new() }
    }
}

impl<T> PendingMessages<T> {
    /// Records a message about to be sent. Returns its sequence number, or `None` if too many are unanswered.
    pub fn register(&mut self, waiter: T) -> Option<u64> {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return None;
        }
        self.last_sequence += 1;
        self.in_flight.push_back((self.last_sequence, waiter));
        Some(self.last_sequence)
    }

    /// Removes the message with this sequence number and returns its waiters. Earlier messages are dropped:
    /// their responses did not come, and their waiters see a closed channel.
    pub fn complete(&mut self, sequence: u64) -> Option<T> {
        while self.in_flight.front().is_some_and(|(sent, _)| *sent < sequence) {
            self.in_flight.pop_front();
        }
        let is_first = self.in_flight.front().is_some_and(|(sent, _)| *sent == sequence);
        if is_first {
            self.in_flight.pop_front().map(|(_, waiter)| waiter)
        } else {
            None
        }
    }
}
