//! What agents are told: who leads, and numbered changes.

use super::{change_in, Action, Member, Next};
use crate::agreement::{Entry, Name, READS};
use crate::link::framed;
use crate::news::{Change, FromAgent, Gateway, Kind, Numbered, Pulse, ToAgent};
use bytes::Bytes;
use cherrytally::Millis;

/// Rounds of pushes are no closer, in ms: 930 gateways are 18,600 messages a second then, however many changes there are. A
/// backend that drains has seconds, and an order waits for all gateways anyway.
const PUSH_MS: Millis = 50.0;

/// A whole state that was made is sent to others for so long, in ms, with the changes since: its backends stay cold for that
/// much longer at most.
const WHOLE_MS: Millis = 500.0;

/// The whole state as a message, as it was then.
pub(super) struct Kept {
    at: Millis,
    index: u64,
    bytes: Bytes,
}

/// An agent's link.
pub(super) struct Agent {
    pub(super) gateway: Gateway,
    /// Its last word.
    pub(super) word: FromAgent,
    /// The members that it was told of.
    members: Vec<Name>,
    pub(super) heard: Millis,
    /// The number up to which it was sent changes here.
    sent: u64,
}

impl Member {
    /// An agent said something.
    pub(super) fn agent_said(&mut self, now: Millis, link: u64, mut word: FromAgent, out: &mut Vec<Action>) {
        let leads = self.vouches(now);
        let members = self.agreement.members().to_vec();
        let (follows, held, applied) = (word.follows, word.held, word.applied);
        let ranges = word.ranges.take().filter(|_| leads);
        let mend = ranges.and_then(|theirs| self.state.mend_for(now, &theirs));
        let agent = self.agents.entry(link).or_insert_with(|| Agent {
            gateway: Gateway::default(),
            word: FromAgent::default(),
            members: Vec::new(),
            heard: now,
            sent: held,
        });
        if let Some(gateway) = word.gateway.take() {
            agent.gateway = gateway;
        }
        (agent.word, agent.heard) = (word, now);
        if !follows {
            agent.sent = held;
        }
        let told = if agent.members == members { Vec::new() } else { members.clone() };
        agent.members = members;
        let (gateway, at) = (agent.gateway.clone(), agent.word.at);
        let pulse = Pulse { members: told, ..self.pulse_at(now, at, leads, &gateway) };
        if leads {
            self.presence.told(now, &gateway.node, applied);
        }
        if leads && !self.is_named(&gateway) && !gateway.front.is_empty() {
            self.next.push_back(Next::Propose(Kind::Gateway(gateway), None));
        }
        if follows {
            self.push_to(now, link, out);
        }
        let news = ToAgent { pulse: Some(pulse), mend, ..ToAgent::default() };
        // Orders that now are in force everywhere are answered at the next tick: a look at all gateways for each word of each
        // would be their square for every order.
        out.push(Action::Say { link, news: Box::new(news) });
    }

    /// Tells all agents at once that it leads, and which change is the last.
    pub(super) fn pulse(&self, now: Millis, out: &mut Vec<Action>) {
        let leads = self.vouches(now);
        for (link, agent) in &self.agents {
            let pulse = Some(self.pulse_at(now, agent.word.at, leads, &agent.gateway));
            let news = Box::new(ToAgent { pulse, ..ToAgent::default() });
            out.push(Action::Say { link: *link, news });
        }
    }

    /// Whether the agreed state names a gateway, as far as that matters: a leader that comes next waits for those that it
    /// names until they hold a change, and knows of no others.
    fn is_named(&self, gateway: &Gateway) -> bool {
        !self.settings.bounds.fail_closed || self.state.gateways.contains_key(&gateway.node)
    }

    /// The answer to a word that was sent then. A gateway that is not named yet is up to date by no number.
    fn pulse_at(&self, now: Millis, at: Millis, leads: bool, gateway: &Gateway) -> Pulse {
        let digest = if leads { self.digest.lately(now, &self.state) } else { 0 };
        let (term, members) = (self.agreement.term(), Vec::new());
        let index = if self.is_named(gateway) { self.state.index } else { u64::MAX };
        let unsettled = !self.presence.is_settled();
        Pulse { at, leads, term, index, members, digest, unsettled }
    }

    /// Sends all agents that follow what is new: at once after a pause, else with what comes until the next round. A fleet's
    /// start brings thousands of changes one by one, and each would be a message to each gateway.
    pub(super) fn push(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.unpushed = now - self.pushed < PUSH_MS;
        if self.unpushed {
            return;
        }
        self.pushed = now;
        let follow = self.agents.iter().filter(|(_, agent)| agent.word.follows);
        let links: Vec<_> = follow.map(|(link, _)| *link).collect();
        links.into_iter().for_each(|link| self.push_to(now, link, out));
    }

    fn push_to(&mut self, now: Millis, link: u64, out: &mut Vec<Action>) {
        let Some(agent) = self.agents.get(&link) else { return };
        let (sent, reads) = (agent.sent, agent.word.reads >= READS);
        if sent >= self.state.index {
            return;
        }
        let known = self.changes_since(sent, reads).filter(|_| sent > 0);
        let changes = known.unwrap_or_else(|| {
            let (whole, changes) = self.whole_for(now, reads);
            out.push(Action::Whole { link, whole });
            changes
        });
        if let Some(agent) = self.agents.get_mut(&link) {
            agent.sent = self.state.index;
        }
        if !changes.is_empty() {
            let news = Box::new(ToAgent { changes, ..ToAgent::default() });
            out.push(Action::Say { link, news });
        }
    }

    /// The changes behind this number, as agents are told them; none where the log no longer has them, or where one of them
    /// is a difference and an agent of an earlier program, which reads whole texts alone, is told.
    fn changes_since(&self, index: u64, reads: bool) -> Option<Vec<Numbered>> {
        // An order that was refused is a number alone to them.
        let stands = |entry: &&Entry, change: &Change| match &change.kind {
            Some(Kind::Configured(_)) => self.state.ledger.took(entry.index),
            Some(Kind::Refused(_)) => false,
            _ => true,
        };
        let change = |entry| change_in(entry).filter(|change| stands(&entry, change));
        let entries = self.agreement.since(index)?;
        let changes: Vec<_> =
            entries.map(|entry| Numbered { index: entry.index, change: change(entry) }).collect();
        Some(changes).filter(|changes| reads || !changes.iter().any(Numbered::differs))
    }

    /// The whole state as a message, and the changes since. It is made once for all that need it within moments: at a
    /// fleet's start that is everyone, and each would take a copy of all backends.
    fn whole_for(&mut self, now: Millis, reads: bool) -> (Bytes, Vec<Numbered>) {
        let kept = self.whole.as_ref().filter(|kept| now - kept.at < WHOLE_MS);
        let kept = kept.and_then(|kept| Some((kept.bytes.clone(), self.changes_since(kept.index, reads)?)));
        kept.unwrap_or_else(|| {
            let whole = Some(self.state.whole(now, false));
            let bytes = Bytes::from(framed(&ToAgent { whole, ..ToAgent::default() }));
            self.whole = Some(Kept { at: now, index: self.state.index, bytes: bytes.clone() });
            (bytes, Vec::new())
        })
    }
}
