//! Orders of operators: one change of the configuration at a time, taken, agreed on and in force before the next; zones
//! that are emptied and taken back; the configuration as it stands.

use super::{Action, Caller, Granted, Member, Next, Stage, Wait};
use crate::calls::{Answers, Done, Evacuate, Get, Order, Outcome, Patch, Put, Refusal, TakeBack};
use crate::news::{Configured, Kind};
use cherrytally::Millis;
use std::collections::VecDeque;

/// Whose turn it is.
#[derive(Default)]
pub(super) struct Turn {
    now: Option<Caller>,
    then: VecDeque<Caller>,
    /// The term and number of the last change that was taken. Its caller may be let go before it is agreed on: what comes
    /// next builds on it all the same.
    taken: (u64, u64),
}

impl Turn {
    /// Its turn comes when all before it are done.
    pub(super) fn wait(&mut self, caller: Caller) {
        self.then.push_back(caller);
    }

    /// Whether it is its turn.
    pub(super) fn is(&self, caller: &Caller) -> bool {
        self.now.as_ref() == Some(caller)
    }

    /// It is done, or wants no turn any more.
    pub(super) fn leave(&mut self, caller: &Caller) {
        if self.is(caller) {
            self.now = None;
        }
        self.then.retain(|waits| waits != caller);
    }

    /// The next one has its turn, if nobody has.
    fn next(&mut self) -> Option<Caller> {
        if self.now.is_some() {
            return None;
        }
        self.now = self.then.pop_front();
        self.now.clone()
    }
}

impl Answers<Put> for Member {
    fn answer(&mut self, _: Millis, Put(order): Put) -> Granted<Done> {
        Ok(Outcome::Waits(Done {}, Wait::Order(order)))
    }
}

impl Answers<Patch> for Member {
    fn answer(&mut self, _: Millis, Patch(order): Patch) -> Granted<Done> {
        Ok(Outcome::Waits(Done {}, Wait::Order(order)))
    }
}

impl Answers<Get> for Member {
    fn answer(&mut self, now: Millis, _: Get) -> Granted<miniserde::json::Value> {
        let vouches = self.vouches(now);
        let config = self.state.config.as_ref().filter(|_| vouches).ok_or(Refusal::Later)?;
        let value = miniserde::json::from_str(&config.text).map_err(|_| Refusal::Later)?;
        Ok(Outcome::Now(value))
    }
}

impl Answers<Evacuate> for Member {
    fn answer(&mut self, _: Millis, Evacuate(zone): Evacuate) -> Granted<Done> {
        Ok(Outcome::Waits(Done {}, Wait::Agreed(Kind::Evacuated(zone))))
    }
}

impl Answers<TakeBack> for Member {
    fn answer(&mut self, _: Millis, TakeBack(zone): TakeBack) -> Granted<Done> {
        Ok(Outcome::Waits(Done {}, Wait::Agreed(Kind::Evacuated(zone))))
    }
}

impl Member {
    /// Those whose turn it is are looked at, until one of them waits for something.
    pub(super) fn take_turns(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.turn.taken.0 == self.agreement.term() && self.agreement.applied() < self.turn.taken.1 {
            return;
        }
        while let Some(caller) = self.turn.next() {
            let Some(waiting) = self.calls.get_mut(&caller) else {
                self.turn.leave(&caller);
                continue;
            };
            let Stage::Queued(order) = std::mem::replace(&mut waiting.stage, Stage::Proposing) else {
                self.turn.leave(&caller);
                continue;
            };
            match self.take(now, order) {
                Ok(Some(kind)) => {
                    // Nothing comes before it: it is the next entry.
                    self.turn.taken = (self.agreement.term(), self.agreement.last() + 1);
                    self.next.push_back(Next::Propose(kind, Some(caller)));
                }
                Ok(None) => {
                    self.become_stage(&caller, Stage::Enforcing { index: self.state.index });
                    self.enforce(now, out);
                }
                Err(refusal) => self.refuse(&caller, &refusal, out),
            }
        }
    }

    /// What an order changes; nothing where it was taken before.
    fn take(&self, now: Millis, order: Order) -> Result<Option<Kind>, Refusal> {
        if !self.vouches(now) {
            return Err(Refusal::Later);
        }
        if self.state.calls.contains(&order.digest) {
            return Ok(None);
        }
        let envelope = order.envelope?;
        let current = self.state.config.clone().unwrap_or_default();
        if envelope.based_on != current.edition {
            return Err(Refusal::Conflict(format!("r{} is in place", current.edition)));
        }
        let edition = envelope.edition;
        if edition <= current.edition {
            return Err(Refusal::Bad(format!("edition r{edition} is not above r{}", current.edition)));
        }
        let (_, text) = if order.patch { envelope.patched(&current.text) } else { envelope.whole() }?;
        log::info!("core: takes r{edition} on top of r{}", current.edition);
        Ok(Some(Kind::Configured(Configured { edition, text, call: order.digest })))
    }

    /// Answers the orders that are in force: every gateway that may go by older keys holds them, or has stopped going
    /// by those.
    pub(super) fn enforce(&mut self, now: Millis, out: &mut Vec<Action>) {
        let stage = |stage: &Stage| match stage {
            Stage::Enforcing { index } => Some(*index),
            _ => None,
        };
        let waits = self.calls.iter().filter_map(|(caller, w)| Some((caller.clone(), stage(&w.stage)?)));
        for (caller, index) in waits.collect::<Vec<_>>() {
            if self.in_force(now, index) {
                self.grant(&caller, out);
            }
        }
    }

    /// Whether every gateway holds this change, or has stopped going by older ones.
    fn in_force(&self, now: Millis, index: u64) -> bool {
        if !self.settings.bounds.closed {
            return true;
        }
        let settle = self.settings.bounds.settle().as_secs_f64() * 1000.0;
        self.state.gateways.keys().all(|node| {
            let (at, held) = self.presence.gate(node);
            held >= index || now - at > settle
        })
    }
}
