//! Probes: one member after the other is asked whether it is there, by way of others if it does not answer.

use super::wire::{Body, Dropped};
use super::*;

/// Probes on behalf of others at once.
const RELAYS_MOST: usize = 64;
/// Whoever probes on behalf of another says so long before that one's time is up that there is no answer yet,
/// as a share of it.
const NACK: f64 = 0.8;

/// The probe that is out.
pub(super) struct Probe {
    target: Name,
    seq: u32,
    /// When others are asked to probe; infinite once they were.
    indirect_at: Millis,
    ends: Millis,
    helpers: Vec<Name>,
    nacks: usize,
}

impl Probe {
    pub(super) fn due(&self) -> Millis {
        self.indirect_at.min(self.ends)
    }
}

/// A probe on behalf of another member.
pub(super) struct Relay {
    seq: u32,
    target: Name,
    origin: SocketAddrV4,
    origin_seq: u32,
    /// When that one is told that there is no answer yet; infinite once it was.
    nack_at: Millis,
    ends: Millis,
}

impl Relay {
    pub(super) fn due(&self) -> Millis {
        self.nack_at.min(self.ends)
    }
}

impl Membership {
    pub(super) fn probe_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(probe) = self.probe.take_if(|probe| probe.ends <= now) {
            // With helpers that are silent, too, this process is the likelier to be at fault.
            if probe.helpers.is_empty() || probe.nacks == 0 {
                self.worse();
            }
            self.suspect(now, &probe.target, actions);
        }
        self.indirect(now, actions);
        if now < self.probe_at {
            return;
        }
        let period = self.settings.period_ms * self.slowness();
        self.probe_at = now + period * (1.0 + PERIOD_JITTER * (2.0 * self.rng.f64() - 1.0));
        if self.order.is_empty() {
            return;
        }
        if self.turn >= self.order.len() {
            // Each is probed once in a round, in an order of its own each time.
            self.turn = 0;
            self.rng.shuffle(&mut self.order);
        }
        let target = self.order[self.turn].clone();
        self.turn += 1;
        let seq = self.next_seq();
        let indirect_at = now + (self.settings.timeout_ms * self.slowness()).min(period * 0.5);
        let (ends, helpers) = (self.probe_at, Vec::new());
        self.ping(&target, seq, actions);
        self.probe = Some(Probe { target, seq, indirect_at, ends, helpers, nacks: 0 });
    }

    /// Asks others to probe the target, and asks it once more: the first time may just have been lost.
    fn indirect(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.indirect_at <= now) else { return };
        probe.indirect_at = Millis::INFINITY;
        let (target, seq) = (probe.target.clone(), probe.seq);
        self.ping(&target, seq, actions);
        let helpers = self.some(HELPERS, Some(&target));
        for name in &helpers {
            let Some(to) = self.members.get(name).map(|m| m.record.who.addr) else { continue };
            self.tells(to, seq, Body::PingReq { target: target.clone() }, None, actions);
        }
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers;
        }
    }

    /// A suspected member hears with the question that it is suspected.
    fn ping(&mut self, target: &Name, seq: u32, actions: &mut Vec<Action>) {
        let Some(to) = self.members.get(target).map(|m| m.record.who.addr) else { return };
        let about = Some(target).filter(|name| self.suspects.contains(*name));
        self.tells(to, seq, Body::Ping, about, actions);
    }

    /// Probes a member on behalf of another.
    pub(super) fn relay(
        &mut self, now: Millis, origin_seq: u32, from: &Identity, target: &Name, actions: &mut Vec<Action>,
    ) {
        // It may be this very one, or one that is not known here.
        if *target == self.me.name {
            return self.tells(from.addr, origin_seq, Body::Ack, None, actions);
        }
        if !self.members.contains_key(target) {
            return;
        }
        if self.relays.len() >= RELAYS_MOST {
            self.relays.pop_front();
        }
        let seq = self.next_seq();
        let timeout = self.settings.timeout_ms;
        self.relays.push_back(Relay {
            seq,
            target: target.clone(),
            origin: from.addr,
            origin_seq,
            nack_at: now + timeout * NACK,
            ends: now + self.settings.period_ms,
        });
        self.ping(target, seq, actions);
    }

    pub(super) fn relay_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.relays.retain(|relay| relay.ends > now);
        let mut late = Vec::new();
        for relay in self.relays.iter_mut().filter(|relay| relay.nack_at <= now) {
            relay.nack_at = Millis::INFINITY;
            late.push((relay.origin, relay.origin_seq));
        }
        for (to, seq) in late {
            self.tells(to, seq, Body::Nack, None, actions);
        }
    }

    /// A member is there: the one probed, by itself or by way of a helper, or one probed for another.
    pub(super) fn acked(
        &mut self, now: Millis, seq: u32, from: &Identity, actions: &mut Vec<Action>,
    ) -> Result<(), Dropped> {
        let ours = |probe: &mut Probe| {
            probe.seq == seq && (probe.target == from.name || probe.helpers.contains(&from.name))
        };
        if self.probe.take_if(ours).is_some() {
            self.health = self.health.saturating_sub(1);
            return Ok(());
        }
        if seq == NO_SEQ {
            // A last word: what it says of itself was heard already.
            return Ok(());
        }
        let relayed = self.relays.iter().position(|relay| relay.seq == seq && relay.target == from.name);
        let Some(relay) = relayed.and_then(|place| self.relays.remove(place)).filter(|r| r.ends > now) else {
            return Err(Dropped::Unsolicited);
        };
        self.tells(relay.origin, relay.origin_seq, Body::Ack, Some(&relay.target), actions);
        Ok(())
    }

    /// A helper is there, though the probed member has not answered it as yet.
    pub(super) fn nacked(&mut self, seq: u32, from: &Name) -> Result<(), Dropped> {
        match self.probe.as_mut().filter(|probe| probe.seq == seq && probe.helpers.contains(from)) {
            Some(probe) => {
                probe.nacks += 1;
                Ok(())
            }
            None => Err(Dropped::Unsolicited),
        }
    }
}
