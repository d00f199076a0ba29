//! The tenants' quota counters, which only the leader maintains.

use super::{Action, Member};
use crate::config::Config;
use crate::protocol::{Charge, Charges, Total, Totals};
use crate::quota::{self, Counter, Limit};
use oakfall::Millis;
use std::collections::BTreeMap;

/// Quota counters; empty unless this process leads.
#[derive(Default)]
pub(super) struct QuotaCounters {
    counter: Option<Counter>,
    /// Tenants' limits in the current configuration.
    limits: BTreeMap<String, Limit>,
}

impl QuotaCounters {
    /// Starts empty counters for a new term of leadership.
    pub(super) fn new(now: Millis, term: u64, slack: f64) -> Self {
        QuotaCounters { counter: Some(Counter::new(now, term, slack)), limits: BTreeMap::new() }
    }

    /// Removes tenants that have not been charged for a while.
    pub(super) fn remove_idle(&mut self, now: Millis) {
        if let Some(counter) = &mut self.counter {
            counter.remove_idle(now);
        }
    }

    /// Each tenant's name, limit in requests per second, and units in its current window.
    pub(super) fn usage(&self, now: Millis) -> impl Iterator<Item = (&str, f64, i64)> {
        let usage = self.counter.iter().flat_map(move |counter| counter.usage(now));
        usage.map(|(name, units)| (name, self.limits.get(name).map_or(0.0, |limit| limit.per_s), units))
    }
}

impl Member {
    /// Loads the tenants' limits from the current configuration, if this process leads.
    pub(super) fn load_config(&mut self) {
        if !self.is_leader() {
            return;
        }
        let config = self.state.config.as_ref().and_then(|config| Config::read(&config.text).ok());
        let services = config.iter().flat_map(|config| &config.services);
        self.services = services.map(|service| service.name.clone()).collect();
        let tenants = config.into_iter().flat_map(|config| config.tenants.unwrap_or_default());
        self.quota_counters.limits = tenants.map(|tenant| (tenant.name.clone(), tenant.limit())).collect();
    }

    /// Adds a proxy's charges and replies with the totals. The reply is not authoritative if a charge
    /// was not counted.
    pub(super) fn handle_charges(
        &mut self, now: Millis, link: u64, charges: &Charges, out: &mut Vec<Action>,
    ) {
        let authoritative = self.is_authoritative(now);
        let unused = self.unused_share_fraction(now);
        let Charges { sequence, charges } = charges;
        let mut totals = Vec::with_capacity(charges.len());
        let QuotaCounters { counter, limits } = &mut self.quota_counters;
        for charge in charges {
            let Some(counter) = counter.as_mut().filter(|_| authoritative) else { break };
            let limit = limits.get(&charge.tenant).copied().unwrap_or_default();
            let Charge { units, refund, window, .. } = *charge;
            let counted = quota::Charge { units, refund, window };
            let total = counter.charge(now, &charge.tenant, limit, counted, unused);
            let remaining_ms = total.left_ms.ceil().max(0.0) as u32;
            let (units, limit, window) = (total.units, total.limit, total.window);
            totals.push(Total { units, limit, remaining_ms, window });
        }
        let all_counted = totals.len() == charges.len();
        out.push(Action::SendTotals {
            link,
            totals: Totals { sequence: *sequence, authoritative: all_counted, totals },
        });
    }

    /// Fraction of the gateways' local quota shares that is unused.
    fn unused_share_fraction(&self, now: Millis) -> f64 {
        quota::unused_share_fraction(
            self.state.gateways.keys().map(|node| now - self.presence.gateway_contact(node).0),
        )
    }
}
