//! The proxy's metrics in OpenMetrics format. No decision depends on them.

use crate::invariants;
use crate::quota::Verdict;
use oakfall::plane::client_stream::ConnectionEnd;
use oakfall::plane::driver::{EndedAttempt, Observer};
use oakfall::{CallResult, Reason};
use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Histogram buckets of request times, in seconds, from refusals to the default client timeout.
const REQUEST_BUCKETS_S: [f64; 10] = [0.005, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StatusLabel {
    status: u16,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WhatLabel {
    what: &'static str,
}

/// Current values of the gauges.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Requests without a response.
    pub in_flight_requests: usize,
    /// Connections to backends.
    pub backend_connections: usize,
    /// Known backends, and how many of them get no requests.
    pub backends: (usize, usize),
    /// Index of the last applied change.
    pub applied_index: u64,
    /// Time since the last contact with the leader; `None` before the first.
    pub leader_contact_age: Option<Duration>,
    /// The proxy is ready for new clients.
    pub ready: bool,
}

/// Counters and histograms since the start of the process.
pub struct Metrics {
    registry: Registry,
    responses: Family<StatusLabel, Counter>,
    request_seconds: Histogram,
    attempts: Family<WhatLabel, Counter>,
    refusals: Family<WhatLabel, Counter>,
    charges: Family<WhatLabel, Counter>,
    connection_ends: Family<WhatLabel, Counter>,
    relayed: Counter,
    pipelined: Counter,
    repairs: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("pelion");
        let responses = Family::default();
        registry.register("answers", "Responses to clients by status", responses.clone());
        let request_seconds = Histogram::new(REQUEST_BUCKETS_S);
        registry.register_with_unit(
            "request",
            "Time from the end of the request head to the response",
            Unit::Seconds,
            request_seconds.clone(),
        );
        let (attempts, refusals, charges) = <(Family<_, _>, Family<_, _>, Family<_, _>)>::default();
        registry.register("attempts", "Attempts at backends by result", attempts.clone());
        registry.register("refusals", "Requests refused by the decision module, by reason", refusals.clone());
        registry.register("charges", "Requests charged to their tenant, by outcome", charges.clone());
        let connection_ends = Family::default();
        registry.register(
            "connection_ends",
            "Client connections that ended, by how they ended",
            connection_ends.clone(),
        );
        let (relayed, pipelined, repairs) = <(Counter, Counter, Counter)>::default();
        registry.register("relayed", "Attempts written completely to backends", relayed.clone());
        registry.register("ahead", "Pipelined requests started before their turn", pipelined.clone());
        registry.register("mended", "Repairs of the state replica", repairs.clone());
        Metrics {
            registry,
            responses,
            request_seconds,
            attempts,
            refusals,
            charges,
            connection_ends,
            relayed,
            pipelined,
            repairs,
        }
    }
}

impl Metrics {
    /// Records a response to a client, and the time since the request's head was read.
    pub fn response_sent(&self, status: u16, elapsed: Duration) {
        self.responses.get_or_create(&StatusLabel { status }).inc();
        self.request_seconds.observe(elapsed.as_secs_f64());
    }

    /// Records the outcome of charging a request to its tenant.
    pub fn charged(&self, verdict: &Verdict) {
        let what = if matches!(verdict, Verdict::Refuse(_)) { "refused" } else { "sent" };
        self.charges.get_or_create(&WhatLabel { what }).inc();
    }

    /// Records the end of a client's connection.
    pub fn connection_ended(&self, end: ConnectionEnd) {
        self.connection_ends.get_or_create(&WhatLabel { what: end.name() }).inc();
    }

    /// Records a pipelined request that was started early.
    pub fn request_pipelined(&self) {
        self.pipelined.inc();
    }

    /// Records a repair of the state replica.
    pub fn replica_repaired(&self) {
        self.repairs.inc();
    }

    /// Encodes all metrics as OpenMetrics text.
    pub fn encode(&self, gauges: &Gauges) -> String {
        let mut gauge_registry = Registry::with_prefix("pelion");
        let violations = Family::<WhatLabel, Counter>::default();
        for (invariant, count) in invariants::violation_counts() {
            violations.get_or_create(&WhatLabel { what: invariant.name() }).inc_by(count);
        }
        gauge_registry.register("invariant_violations", "Violations of invariants", violations);
        let mut register_gauge = |name: &str, help: &str, value: f64| {
            let gauge = Gauge::<f64, AtomicU64>::default();
            gauge.set(value);
            gauge_registry.register(name, help, gauge);
        };
        register_gauge("open", "Requests in flight", gauges.in_flight_requests as f64);
        register_gauge(
            "backend_connections",
            "Open connections to backends",
            gauges.backend_connections as f64,
        );
        register_gauge("backends", "Known backends", gauges.backends.0 as f64);
        register_gauge("backends_avoided", "Known backends that get no requests", gauges.backends.1 as f64);
        register_gauge("change", "Index of the last applied change", gauges.applied_index as f64);
        register_gauge("ready", "1 if the proxy accepts clients", f64::from(u8::from(gauges.ready)));
        if let Some(age) = gauges.leader_contact_age {
            register_gauge(
                "word_age_seconds",
                "Time since the last contact with the leader",
                age.as_secs_f64(),
            );
        }
        let mut text = String::new();
        let encoded = [&self.registry, &gauge_registry]
            .into_iter()
            .try_for_each(|registry| encode_registry(&mut text, registry));
        // Writing to a `String` cannot fail.
        let _ = encoded.and_then(|()| encode_eof(&mut text));
        text
    }
}

impl Observer for Metrics {
    fn attempt_ended(&self, attempt: &EndedAttempt) {
        self.attempts.get_or_create(&WhatLabel { what: attempt.result.name() }).inc();
    }

    fn counter_call_ended(&self, _: CallResult) {}

    fn request_refused(&self, reason: Reason) {
        self.refusals.get_or_create(&WhatLabel { what: reason.name() }).inc();
    }

    fn request_written(&self) {
        self.relayed.inc();
    }

    fn log_line(&self, line: &str) {
        log::info!("proxy: {line}");
    }
}
