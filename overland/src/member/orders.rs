//! Orders of operators: changes of the configuration, zones that are emptied and taken back, the configuration as it
//! stands.
//!
//! A change of the configuration goes through five states. It is *heard*: it waits for the version that it builds on, or for
//! room. It is *proposed* as an entry; the same order again joins it there. It is *agreed on*: applying the entry takes or
//! refuses it, alike at every member, and the agreed state keeps which. It is *in force* once no gateway goes by anything
//! older. It is *answered*. A caller may be let go in each of them, without a clear answer; the same order again finds out.
//! `docs/system/orders.md` tells what holds and why.

use super::{Action, Caller, Granted, Member, Next, Stage, Wait};
use crate::calls::{Answers, Done, Evacuate, Get, Order, Outcome, Patch, Put, Refusal, TakeBack};
use crate::config::{full_config_digest, ConfigUpdate};
use crate::difference::Difference;
use crate::ledger::Mark;
use crate::news::{Configured, Kind, Refused};
use crate::state::Fit;
use cherrytally::Millis;
use prost::Message;
use std::collections::VecDeque;

/// Orders that are proposed at once: eight are promised, and as many again may have been given up by their callers.
const PROPOSED_MOST: usize = 16;
/// Callers whose orders are heard at once: a whole configuration may hold megabytes.
const HEARD_MOST: usize = 32;

/// Orders that are under way.
#[derive(Default)]
pub(super) struct Orders {
    /// Those that are heard, in the order in which they came.
    heard: VecDeque<Caller>,
    /// Those that are proposed and not decided, in this term.
    proposed: Vec<Proposed>,
}

/// An order that is proposed.
struct Proposed {
    /// A digest of what it says.
    order: u64,
    /// The number that it brings.
    edition: u64,
    index: u64,
    term: u64,
}

impl Orders {
    /// Its caller wants nothing any more. What is proposed stays so.
    pub(super) fn leave(&mut self, caller: &Caller) {
        self.heard.retain(|heard| heard != caller);
    }

    /// An order is proposed as this entry.
    pub(super) fn propose(&mut self, config: &Configured, index: u64, term: u64) {
        let order = config.digests.first().copied().unwrap_or(config.call);
        self.proposed.push(Proposed { order, edition: config.edition, index, term });
    }

    /// The entries up to this one are decided.
    pub(super) fn decided(&mut self, index: u64) {
        self.proposed.retain(|proposed| proposed.index > index);
    }

    /// Another leads, or this process does anew: what is proposed is another's to decide.
    pub(super) fn forget(&mut self) {
        self.proposed.clear();
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

/// What is done with an order that is heard.
enum Step {
    /// It stays.
    Wait,
    /// The same is proposed already, as this entry.
    Join { index: u64, term: u64 },
    /// It is proposed.
    Propose(Kind),
    /// It was taken, by this change.
    Taken(u64),
    /// It is refused, or has no clear answer.
    End(Refusal),
}

impl Member {
    /// An order is heard.
    pub(super) fn hear_order(&mut self, caller: Caller, out: &mut Vec<Action>) {
        if self.orders.heard.len() >= HEARD_MOST {
            return self.refuse(&caller, &Refusal::Later, out);
        }
        self.orders.heard.push_back(caller);
    }

    /// Goes on with the orders that are heard, until one is to be proposed.
    pub(super) fn go_on_with_orders(&mut self, now: Millis, out: &mut Vec<Action>) {
        for caller in self.orders.heard.clone() {
            let step = match self.calls.get(&caller).map(|waiting| &waiting.stage) {
                Some(Stage::Heard(order)) => self.step_of(now, order),
                _ => Step::End(Refusal::Later),
            };
            let mark = self.mark_of(&caller);
            if !matches!(step, Step::Wait) {
                self.orders.leave(&caller);
            }
            match step {
                Step::Wait => {}
                Step::Join { index, term } => {
                    self.become_stage(&caller, Stage::Proposed { index, term, mark });
                }
                Step::Propose(kind) => {
                    self.become_stage(&caller, Stage::Proposing(mark));
                    self.next.push_back(Next::Propose(kind, Some(caller)));
                    return;
                }
                Step::Taken(index) => {
                    self.become_stage(&caller, Stage::Enforcing { index });
                    self.enforce(now, out);
                }
                Step::End(refusal) => self.refuse(&caller, &refusal, out),
            }
        }
    }

    fn mark_of(&self, caller: &Caller) -> Option<Mark> {
        match &self.calls.get(caller)?.stage {
            Stage::Heard(order) => order.mark,
            _ => None,
        }
    }

    fn step_of(&self, now: Millis, order: &Order) -> Step {
        if !self.vouches(now) {
            return Step::End(Refusal::Later);
        }
        let (envelope, mark) = match (&order.envelope, &order.mark) {
            (Ok(envelope), Some(mark)) => (envelope, mark),
            (Err(invalid), _) => return Step::End(invalid.clone().into()),
            (Ok(_), None) => return Step::End(Refusal::Later),
        };
        let proposed = &self.orders.proposed;
        if let Some(same) = proposed.iter().find(|proposed| proposed.order == mark.order) {
            return Step::Join { index: same.index, term: same.term };
        }
        match self.state.fit(mark) {
            Fit::Taken(index) => Step::Taken(index),
            // All that is proposed is decided within moments.
            Fit::Fits | Fit::Ahead if proposed.len() >= PROPOSED_MOST => Step::Wait,
            Fit::Ahead if proposed.iter().any(|proposed| proposed.edition == mark.based_on) => Step::Wait,
            // It is refused by an entry: a copy of it that comes late must not find that it fits by then.
            Fit::Ahead => {
                let Mark { edition, based_on, order, .. } = *mark;
                Step::Propose(Kind::Refused(Refused { edition, based_on, order }))
            }
            Fit::Fits => match self.brought_by(envelope, mark, order.patch) {
                Ok(kind) => Step::Propose(kind),
                Err(refusal) => Step::End(refusal),
            },
            fit => Step::End(self.refusal_of(fit, mark)),
        }
    }

    /// The change that an order wants which fits.
    fn brought_by(&self, envelope: &ConfigUpdate, mark: &Mark, patch: bool) -> Result<Kind, Refusal> {
        let current = self.state.config.as_ref().map_or("", |config| config.text.as_str());
        let envelope = envelope.clone();
        let (_, text) = if patch { envelope.apply_to(current) } else { envelope.into_full_config() }?;
        let Mark { edition, based_on, order, call } = *mark;
        log::info!("core: proposes r{edition} on top of r{based_on}");
        let digests = vec![order, full_config_digest(based_on, &text)];
        let based_on = Some(based_on);
        Ok(Kind::Configured(Configured { edition, text, call, based_on, digests, difference: None }))
    }

    /// A configuration that is to be proposed, as its difference from the one in force, on which it builds, where all who
    /// are sent the log read that and it is shorter. It is taken nowhere else than on top of that one.
    pub(super) fn shortened(&self, config: Configured) -> Configured {
        let known = self.state.config.as_ref().filter(|known| config.based_on == Some(known.edition));
        let Some(known) = known.filter(|_| self.agreement.all_read()) else { return config };
        let difference = Difference::between(&known.text, &config.text);
        if difference.encoded_len() >= config.text.len() / 2 {
            return config;
        }
        Configured { text: String::new(), difference: Some(difference), ..config }
    }

    fn refusal_of(&self, fit: Fit, mark: &Mark) -> Refusal {
        let current = self.state.edition();
        match fit {
            Fit::Late => Refusal::Conflict(format!("r{current} is in place")),
            Fit::Backward => {
                Refusal::Bad(format!("edition r{} is not above r{}", mark.edition, mark.based_on))
            }
            Fit::Forgotten => Refusal::Unclear(format!("r{} lies too far back to tell", mark.edition)),
            // Decided, and neither taken nor refused: it was another order's entry.
            Fit::Taken(_) | Fit::Fits | Fit::Ahead => Refusal::Later,
        }
    }

    /// Tells what applying an order's entry gave, where this process leads.
    pub(super) fn log_order(&self, config: &Configured, taken: bool) {
        if !self.leads() {
            return;
        }
        let (edition, current) = (config.edition, self.state.edition());
        if taken {
            log::info!("core: r{edition} is agreed on");
        } else {
            log::info!("core: r{edition} is refused: r{current} is in place");
        }
    }

    /// An order's entry is applied: its caller goes on by what that gave.
    pub(super) fn decided(&mut self, now: Millis, caller: &Caller, mark: &Mark, out: &mut Vec<Action>) {
        match self.state.fit(mark) {
            Fit::Taken(index) => {
                self.become_stage(caller, Stage::Enforcing { index });
                self.enforce(now, out);
            }
            fit => self.refuse(caller, &self.refusal_of(fit, mark), out),
        }
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
        if !self.settings.bounds.fail_closed {
            return true;
        }
        let settle = self.settings.bounds.ack_wait().as_secs_f64() * 1000.0;
        self.state.gateways.keys().all(|node| {
            let (at, held) = self.presence.gate(node);
            held >= index || now - at > settle
        })
    }
}
