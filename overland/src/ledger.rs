//! What came of the operators' orders, as a part of the agreed state: each order that was taken or refused by an entry of
//! the log is kept by its number and its digests, so that any member gives the same answer again.

use crate::news::{Configured, Ordered, Orders, Refused, Whole};
use std::collections::VecDeque;

/// Orders that were taken, the newest: at a hundred bytes each that is what a state may grow by. An order is sent again
/// for seconds, and a busy day brings some hundreds; of one that lies further back nothing is claimed.
pub const TAKEN_MOST: usize = 4096;
/// Orders that were refused by an entry, the newest: only copies of them that are still on their way ask, within seconds.
pub const REFUSED_MOST: usize = 256;

/// What tells an order from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// The number that it brings.
    pub edition: u64,
    /// The number that it builds on; nought for the first.
    pub based_on: u64,
    /// A digest of what it says: the same in other bytes has the same.
    pub order: u64,
    /// A digest of its path and its bytes, which is what earlier programs kept.
    pub call: u64,
}

/// Where an order stands in the agreed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It was taken, by this change; by one that is not known any more where there is none.
    Taken(Option<u64>),
    /// It was refused.
    Refused,
    /// It may have been taken so long ago that it is forgotten.
    Forgotten,
    /// It was never taken. It may still fit.
    Untaken,
}

/// The orders that the agreed state remembers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// By rising number and change.
    taken: VecDeque<Ordered>,
    refused: VecDeque<Ordered>,
    /// Orders of this number or below may be forgotten.
    forgotten: u64,
    /// Digests of calls that were taken by earlier programs.
    calls: VecDeque<u64>,
}

impl Ledger {
    /// Where an order stands.
    pub fn standing(&self, mark: &Mark) -> Standing {
        let is = |known: &&Ordered| {
            known.edition == mark.edition
                && (known.digests.contains(&mark.order) || known.digests.contains(&mark.call))
        };
        if let Some(taken) = self.taken.iter().rev().find(is) {
            return Standing::Taken(Some(taken.index));
        }
        if self.calls.contains(&mark.call) {
            return Standing::Taken(None);
        }
        if self.refused.iter().any(|known| is(&known)) {
            return Standing::Refused;
        }
        // What was taken has a number above the one that it builds on.
        let maybe = mark.edition <= self.forgotten && mark.based_on < mark.edition;
        if maybe {
            Standing::Forgotten
        } else {
            Standing::Untaken
        }
    }

    /// Whether the change with this number took an order. It is known for as long as the log holds the change.
    pub fn took(&self, index: u64) -> bool {
        self.taken.binary_search_by_key(&index, |known| known.index).is_ok()
    }

    /// An order is taken by a change.
    pub fn take(&mut self, index: u64, config: &Configured) {
        let digests = config.digests.iter().copied().chain([config.call]).collect();
        self.taken.push_back(Ordered { edition: config.edition, index, digests });
        if self.taken.len() > TAKEN_MOST {
            if let Some(first) = self.taken.pop_front() {
                self.forgotten = self.forgotten.max(first.edition);
                // Those of earlier programs are older.
                self.calls.clear();
            }
        }
    }

    /// An order is refused by a change. One that was taken stays so.
    pub fn refuse(&mut self, index: u64, refused: &Refused) {
        let mark = Mark {
            edition: refused.edition,
            based_on: refused.based_on,
            order: refused.order,
            call: refused.order,
        };
        if self.standing(&mark) == Standing::Untaken {
            let digests = vec![refused.order];
            self.refused.push_back(Ordered { edition: refused.edition, index, digests });
            if self.refused.len() > REFUSED_MOST {
                self.refused.pop_front();
            }
        }
    }

    /// Writes it into the message of a state.
    pub fn write(&self, whole: &mut Whole) {
        whole.calls = self.calls.iter().copied().collect();
        whole.orders = Some(Box::new(Orders {
            taken: self.taken.iter().cloned().collect(),
            refused: self.refused.iter().cloned().collect(),
            forgotten: self.forgotten,
        }));
    }

    /// Reads it from the message of a state.
    pub fn read(whole: &mut Whole) -> Self {
        let calls = std::mem::take(&mut whole.calls);
        let newest = whole.config.as_ref().map_or(0, |config| config.edition);
        // An earlier program forgot calls without their numbers.
        let full = whole.orders.is_none() && calls.len() >= TAKEN_MOST;
        let Orders { taken, refused, forgotten } =
            whole.orders.take().map(|orders| *orders).unwrap_or_default();
        Ledger {
            taken: taken.into(),
            refused: refused.into(),
            forgotten: if full { newest } else { forgotten },
            calls: calls.into(),
        }
    }
}
