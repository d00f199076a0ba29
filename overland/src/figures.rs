//! Figures of a proxy, as OpenMetrics. They are only counted here; nothing is decided by them.

use crate::invariants;
use crate::tally::Verdict;
use cherrytally::plane::driver::Observer;
use cherrytally::{CallResult as Ended, Reason};
use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Where times are told apart, in seconds: from what a refusal takes to the longest deadlines.
const BUCKETS: [f64; 10] = [0.005, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByStatus {
    status: u16,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByName {
    what: &'static str,
}

/// What stands so at the moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Present {
    /// Requests that have no answer yet.
    pub open: usize,
    /// Connections to backends.
    pub backend_connections: usize,
    /// Backends that are known, and how many of them requests are kept from.
    pub backends: (usize, usize),
    /// The number of the last change that it goes by.
    pub change: u64,
    /// Time since the last word of who leads; none before the first.
    pub word_age: Option<Duration>,
    /// It takes clients.
    pub ready: bool,
}

/// What is counted from the start of the process.
pub struct Figures {
    registry: Registry,
    answers: Family<ByStatus, Counter>,
    times: Histogram,
    attempts: Family<ByName, Counter>,
    refusals: Family<ByName, Counter>,
    charges: Family<ByName, Counter>,
    relayed: Counter,
    ahead: Counter,
    mended: Counter,
}

impl Default for Figures {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("pelion");
        let answers = Family::default();
        registry.register("answers", "Answers to clients by status", answers.clone());
        let times = Histogram::new(BUCKETS);
        registry.register_with_unit("request", "From head to answer", Unit::Seconds, times.clone());
        let (attempts, refusals, charges) = <(Family<_, _>, Family<_, _>, Family<_, _>)>::default();
        registry.register("attempts", "Attempts at backends by how they ended", attempts.clone());
        registry.register("refusals", "Requests refused by the decisions, by reason", refusals.clone());
        registry.register("charges", "Requests charged to their tenant, by what came of it", charges.clone());
        let (relayed, ahead, mended) = <(Counter, Counter, Counter)>::default();
        registry.register("relayed", "Attempts written whole to backends", relayed.clone());
        registry.register("ahead", "Requests begun behind another on their connection", ahead.clone());
        registry.register("mended", "Times that the copy of the state was mended", mended.clone());
        Figures { registry, answers, times, attempts, refusals, charges, relayed, ahead, mended }
    }
}

impl Figures {
    /// A client has its answer, so long after the request's head.
    pub fn answered(&self, status: u16, took: Duration) {
        self.answers.get_or_create(&ByStatus { status }).inc();
        self.times.observe(took.as_secs_f64());
    }

    /// A request was charged to its tenant.
    pub fn charged(&self, verdict: &Verdict) {
        let what = if matches!(verdict, Verdict::Refuse(_)) { "refused" } else { "sent" };
        self.charges.get_or_create(&ByName { what }).inc();
    }

    /// A request was begun behind another one.
    pub fn begun_ahead(&self) {
        self.ahead.inc();
    }

    /// The copy of the state was mended.
    pub fn copy_mended(&self) {
        self.mended.inc();
    }

    /// All figures as OpenMetrics.
    pub fn open_metrics(&self, present: &Present) -> String {
        let mut now = Registry::with_prefix("pelion");
        let violations = Family::<ByName, Counter>::default();
        for (invariant, times) in invariants::violation_counts() {
            violations.get_or_create(&ByName { what: invariant.name() }).inc_by(times);
        }
        now.register("invariant_violations", "What must hold and did not", violations);
        let mut gauge = |name: &str, help: &str, value: f64| {
            let gauge = Gauge::<f64, AtomicU64>::default();
            gauge.set(value);
            now.register(name, help, gauge);
        };
        gauge("open", "Requests without an answer", present.open as f64);
        gauge("backend_connections", "Connections to backends", present.backend_connections as f64);
        gauge("backends", "Backends that are known", present.backends.0 as f64);
        gauge("backends_avoided", "Backends that requests are kept from", present.backends.1 as f64);
        gauge("change", "The last change that it goes by", present.change as f64);
        gauge("ready", "It takes clients", f64::from(u8::from(present.ready)));
        if let Some(age) = present.word_age {
            gauge("word_age_seconds", "Since the last word of who leads", age.as_secs_f64());
        }
        let mut text = String::new();
        let written = [&self.registry, &now].into_iter().try_for_each(|of| encode_registry(&mut text, of));
        // A String takes every write.
        let _ = written.and_then(|()| encode_eof(&mut text));
        text
    }
}

impl Observer for Figures {
    fn attempt_ended(&self, ended: Ended) {
        self.attempts.get_or_create(&ByName { what: ended.name() }).inc();
    }

    fn counter_call_ended(&self, _: Ended) {}

    fn request_refused(&self, reason: Reason) {
        self.refusals.get_or_create(&ByName { what: reason.name() }).inc();
    }

    fn request_written(&self) {
        self.relayed.inc();
    }

    fn log_line(&self, line: &str) {
        log::info!("proxy: {line}");
    }
}
