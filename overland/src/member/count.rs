//! The tenants' counts, while it leads.

use super::{Action, Member};
use crate::config::Config;
use crate::news::{Charge, Charges, Total, Totals};
use crate::tally::{self, Counter, Limit};
use cherrytally::Millis;
use std::collections::BTreeMap;

/// The counts. None where another leads.
#[derive(Default)]
pub(super) struct Count {
    counter: Option<Counter>,
    /// Limits of the tenants of the configuration in force.
    limits: BTreeMap<String, Limit>,
}

impl Count {
    /// A duty that begins.
    pub(super) fn begin(now: Millis, term: u64, slack: f64) -> Self {
        Count { counter: Some(Counter::new(now, term, slack)), limits: BTreeMap::new() }
    }

    /// Forgets tenants that nobody charges.
    pub(super) fn sweep(&mut self, now: Millis) {
        if let Some(counter) = &mut self.counter {
            counter.sweep(now);
        }
    }

    /// Each tenant with what it may send a second, and its units in the present window.
    pub(super) fn counts(&self, now: Millis) -> impl Iterator<Item = (&str, f64, i64)> {
        let counts = self.counter.iter().flat_map(move |counter| counter.counts(now));
        counts.map(|(name, units)| (name, self.limits.get(name).map_or(0.0, |limit| limit.per_s), units))
    }
}

impl Member {
    /// Goes by the limits of the configuration in force. Only who leads counts by them.
    pub(super) fn take_limits(&mut self) {
        if !self.leads() {
            return;
        }
        let config = self.state.config.as_ref().and_then(|config| Config::read(&config.text).ok());
        let patrons = config.into_iter().flat_map(|config| config.tenants.unwrap_or_default());
        self.count.limits = patrons.map(|patron| (patron.name.clone(), patron.limit())).collect();
    }

    /// Units are charged.
    pub(super) fn charged(&mut self, now: Millis, link: u64, charges: &Charges, out: &mut Vec<Action>) {
        let vouches = self.vouches(now);
        let unused = self.unused_shares(now);
        let Charges { number, charges } = charges;
        let mut totals = Vec::with_capacity(charges.len());
        let Count { counter, limits } = &mut self.count;
        for charge in charges {
            let Some(counter) = counter.as_mut().filter(|_| vouches) else { break };
            let limit = limits.get(&charge.tenant).copied().unwrap_or_default();
            let Charge { units, back, window, .. } = *charge;
            let units = tally::Charge { units, back, window };
            let counted = counter.charge(now, &charge.tenant, limit, units, unused);
            let left_ms = counted.left_ms.ceil().max(0.0) as u32;
            let (units, limit, window) = (counted.units, counted.limit, counted.window);
            totals.push(Total { units, limit, left_ms, window });
        }
        let sure = totals.len() == charges.len();
        out.push(Action::Count { link, totals: Totals { number: *number, sure, totals } });
    }

    /// The part of the gateways' shares that nobody uses.
    fn unused_shares(&self, now: Millis) -> f64 {
        tally::unused(self.state.gateways.keys().map(|node| now - self.presence.gate(node).0))
    }
}
