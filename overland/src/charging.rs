//! Charges in flight on one connection to the counter. A response is matched to its charge by the connection
//! and its number alone: one with an unknown number is ignored, and a charge is never answered on a later
//! connection.

use std::collections::VecDeque;

/// Maximum number of charges in flight; a counter that leaves this many unanswered is treated as down.
const MAX_IN_FLIGHT: usize = 4096;

/// The unanswered charges of one connection, in the order sent, each with its waiter.
pub struct PendingCharges<T> {
    last_number: u64,
    in_flight: VecDeque<(u64, T)>,
}

impl<T> Default for PendingCharges<T> {
    fn default() -> Self {
        PendingCharges { last_number: 0, in_flight: VecDeque::new() }
    }
}

impl<T> PendingCharges<T> {
    /// Records a charge about to be sent. Returns its number, or none if too many are in flight.
    pub fn register(&mut self, waiter: T) -> Option<u64> {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return None;
        }
        self.last_number += 1;
        self.in_flight.push_back((self.last_number, waiter));
        Some(self.last_number)
    }

    /// Handles the response to the charge with this number. Returns its waiter, and drops all earlier
    /// charges.
    pub fn complete(&mut self, number: u64) -> Option<T> {
        while self.in_flight.front().is_some_and(|(sent, _)| *sent < number) {
            self.in_flight.pop_front();
        }
        let is_first = self.in_flight.front().is_some_and(|(sent, _)| *sent == number);
        if is_first {
            self.in_flight.pop_front().map(|(_, waiter)| waiter)
        } else {
            None
        }
    }
}
