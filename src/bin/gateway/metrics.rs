//! Metrics of the gateway. No decision depends on them.

use crate::logs::targets;
use crate::status::{self, Process};
use oakfall::plane::driver::{EndedAttempt, Observer};
use oakfall::{CallResult, Reason};
use prometheus_client::encoding::text::{encode_eof, encode_registry};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Maximum number of class names that get metrics during the life of a process.
const MAX_CLASSES: usize = 256;
/// Upper bounds of the histogram buckets: from the duration of a refusal to the longest deadlines.
const BUCKET_BOUNDS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Fulfilled,
    /// Refused with status 429.
    Throttled,
    /// Failed with status 502, or the streamed response broke off.
    Faulted,
    /// The client disconnected or did not send the whole body. Not counted in `operations`.
    Gone,
}

impl RequestOutcome {
    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            RequestOutcome::Fulfilled => "fulfilled",
            RequestOutcome::Throttled => "throttled",
            RequestOutcome::Faulted => "faulted",
            RequestOutcome::Gone => "gone",
        }
    }
}

const OUTCOMES: [RequestOutcome; 4] =
    [RequestOutcome::Fulfilled, RequestOutcome::Throttled, RequestOutcome::Faulted, RequestOutcome::Gone];

/// A stage of a request's processing.
#[derive(Clone, Copy)]
pub enum Stage {
    /// Receiving the body from the client. Requests without a body skip this and the next stage.
    Body,
    /// Waiting for memory for the body.
    Memory,
    /// The admission decision: calls to the quota counter and the choice of a server.
    Decision,
    /// From the first attempt to the final response, including retries and the delays between them. A backend's
    /// response is final once it is received completely or streaming starts. Refusals and failures are final, too.
    Servers,
}

/// The stages with the values of their label.
const STAGES: [(Stage, &str); 4] = [
    (Stage::Body, "body"),
    (Stage::Memory, "room"),
    (Stage::Decision, "decision"),
    (Stage::Servers, "servers"),
];

const REASONS: [Reason; 4] =
    [Reason::NoCapacity, Reason::Quota, Reason::AttemptsExhausted, Reason::DeadlineExceeded];

const RESULTS: [CallResult; 8] = [
    CallResult::Ok,
    CallResult::Error,
    CallResult::Rejected,
    CallResult::Timeout,
    CallResult::ConnectFailed,
    CallResult::Reset,
    CallResult::Cancelled,
    CallResult::NotSent,
];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OperationLabels {
    priority: String,
    status: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabels {
    class: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClassLabels {
    class: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PlaceLabels {
    place: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TimeLeftLabels {
    at: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ResultLabels {
    result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StatusLabels {
    status: u16,
}

/// Metrics of one request class.
pub struct ClassMetrics {
    /// `Fulfilled`, `Throttled` and `Faulted`; `Gone` is not counted as an operation.
    operations: [Counter; 3],
    durations: [Histogram; OUTCOMES.len()],
    first_byte: Histogram,
}

impl ClassMetrics {
    /// Records the end of a request and its duration.
    pub fn record_end(&self, outcome: RequestOutcome, duration: Duration) {
        if let Some(operations) = self.operations.get(outcome as usize) {
            operations.inc();
        }
        self.durations[outcome as usize].observe(duration.as_secs_f64());
    }

    /// Records the time until a server's response is received completely or streaming starts.
    pub fn record_first_byte(&self, delay: Duration) {
        self.first_byte.observe(delay.as_secs_f64());
    }
}

/// Counters and histograms, kept from the start of the process.
pub struct Metrics {
    /// Metrics with the prefix `relay`, whose names are part of the operator interface.
    relay: Registry,
    /// Metrics with the prefix `heronstage`.
    heronstage: Registry,
    classes: RefCell<BTreeMap<String, Rc<ClassMetrics>>>,
    operations: Family<OperationLabels, Counter>,
    durations: Family<OutcomeLabels, Histogram>,
    first_byte: Family<ClassLabels, Histogram>,
    /// Time spent in each stage.
    waits: [Histogram; STAGES.len()],
    expired: [Counter; STAGES.len()],
    /// Time left at the first attempt, and at the response.
    time_left: [Histogram; 2],
    refusals: [Counter; REASONS.len()],
    attempts: [Counter; RESULTS.len()],
    counter_calls: [Counter; RESULTS.len()],
    undecided: Family<StatusLabels, Counter>,
    relayed: Counter,
    reloads_accepted: Counter,
    reloads_invalid: Counter,
}

fn new_histogram() -> Histogram {
    Histogram::new(BUCKET_BOUNDS_S)
}

impl Default for Metrics {
    fn default() -> Self {
        let mut relay = Registry::with_prefix("relay");
        let operations = Family::default();
        relay.register("operations", "Requests by class and outcome", operations.clone());
        let (relayed, reloads_accepted, reloads_invalid) = <(Counter, Counter, Counter)>::default();
        relay.register("relayed", "Attempts written completely to servers", relayed.clone());
        relay.register("cfg_accepted", "Reloads that applied a configuration", reloads_accepted.clone());
        relay.register("cfg_invalid", "Reloads that rejected a configuration", reloads_invalid.clone());

        let mut heronstage = Registry::with_prefix("heronstage");
        let seconds = || Unit::Seconds;
        let durations = Family::new_with_constructor(new_histogram as fn() -> _);
        heronstage.register_with_unit(
            "request_duration",
            "Time from the head of a request to its end",
            seconds(),
            durations.clone(),
        );
        let first_byte = Family::new_with_constructor(new_histogram as fn() -> _);
        let help = "Time from the last byte of a request to the first byte of the server's response";
        heronstage.register_with_unit("first_byte", help, seconds(), first_byte.clone());
        let waits = Family::<PlaceLabels, Histogram, _>::new_with_constructor(new_histogram as fn() -> _);
        heronstage.register_with_unit(
            "request_wait",
            "Time that requests spend in each processing stage",
            seconds(),
            waits.clone(),
        );
        let expired = Family::<PlaceLabels, Counter>::default();
        heronstage.register(
            "expired",
            "Requests whose deadline passed before they were served, by processing stage",
            expired.clone(),
        );
        let time_left =
            Family::<TimeLeftLabels, Histogram, _>::new_with_constructor(new_histogram as fn() -> _);
        let help = "Time left until the deadline, at the first attempt and at the response";
        heronstage.register_with_unit("time_left", help, seconds(), time_left.clone());
        let refusals = Family::<ReasonLabels, Counter>::default();
        heronstage.register("refusals", "Requests refused, by reason", refusals.clone());
        let attempts = Family::<ResultLabels, Counter>::default();
        heronstage.register("attempts", "Attempts sent to servers, by result", attempts.clone());
        let counter_calls = Family::<ResultLabels, Counter>::default();
        heronstage.register("counter_calls", "Calls to the quota counter, by result", counter_calls.clone());
        let undecided = Family::default();
        heronstage.register(
            "undecided",
            "Requests answered without an admission decision, by status",
            undecided.clone(),
        );

        let by_result = |family: &Family<ResultLabels, Counter>| {
            RESULTS.map(|result| family.get_or_create_owned(&ResultLabels { result: result.name() }))
        };
        Metrics {
            classes: RefCell::default(),
            waits: STAGES.map(|(_, place)| waits.get_or_create_owned(&PlaceLabels { place })),
            expired: STAGES.map(|(_, place)| expired.get_or_create_owned(&PlaceLabels { place })),
            time_left: ["sent", "answered"].map(|at| time_left.get_or_create_owned(&TimeLeftLabels { at })),
            refusals: REASONS
                .map(|reason| refusals.get_or_create_owned(&ReasonLabels { reason: reason.name() })),
            attempts: by_result(&attempts),
            counter_calls: by_result(&counter_calls),
            relay,
            heronstage,
            operations,
            durations,
            first_byte,
            undecided,
            relayed,
            reloads_accepted,
            reloads_invalid,
        }
    }
}

/// Current counts of requests, connections and servers.
pub struct CurrentCounts {
    pub open_requests: usize,
    pub connections: usize,
    pub listed: usize,
    pub avoided: usize,
}

impl CurrentCounts {
    /// Registers the gauges with the prefix `relay`.
    fn register_relay(&self, registry: &mut Registry) {
        register_gauge(
            registry,
            "open_requests",
            "Requests accepted and not yet ended",
            self.open_requests as i64,
        );
        register_gauge(registry, "registry_entries", "Servers listed by discovery", self.listed as i64);
        let help = "Listed servers that currently receive no requests";
        register_gauge(registry, "out_of_rotation", help, self.avoided as i64);
    }
}

/// Registers a gauge with its current value.
pub fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: i64) {
    let gauge = Gauge::<i64>::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

/// Registers a counter with its current value.
pub fn register_counter(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let counter = Counter::<u64>::default();
    counter.inc_by(value);
    registry.register(name, help, counter);
}

impl Metrics {
    /// The metrics of a class. A class that was removed and returns continues with its earlier counts.
    pub fn class_metrics(&self, name: &str) -> Result<Rc<ClassMetrics>, String> {
        let mut classes = self.classes.borrow_mut();
        if let Some(metrics) = classes.get(name) {
            return Ok(metrics.clone());
        }
        if classes.len() >= MAX_CLASSES {
            return Err(format!("more than {MAX_CLASSES} class names since the start of the process"));
        }
        let (class, counted) = (
            name.to_owned(),
            [RequestOutcome::Fulfilled, RequestOutcome::Throttled, RequestOutcome::Faulted],
        );
        let operation_labels =
            |outcome: RequestOutcome| OperationLabels { priority: class.clone(), status: outcome.name() };
        let outcome_labels =
            |outcome: RequestOutcome| OutcomeLabels { class: class.clone(), outcome: outcome.name() };
        let metrics = Rc::new(ClassMetrics {
            operations: counted
                .map(|outcome| self.operations.get_or_create_owned(&operation_labels(outcome))),
            durations: OUTCOMES.map(|outcome| self.durations.get_or_create_owned(&outcome_labels(outcome))),
            first_byte: self.first_byte.get_or_create_owned(&ClassLabels { class: class.clone() }),
        });
        classes.insert(class, metrics.clone());
        Ok(metrics)
    }

    /// Records a request that was answered without an admission decision, such as an invalid or incomplete one.
    pub fn record_undecided(&self, status: u16) {
        self.undecided.get_or_create(&StatusLabels { status }).inc();
    }

    /// Records the time that a request spent in a stage.
    pub fn record_wait(&self, stage: Stage, duration: Duration) {
        self.waits[stage as usize].observe(duration.as_secs_f64());
    }

    /// Records that a request's deadline passed in this stage, before it was served.
    pub fn record_expired(&self, stage: Stage) {
        self.expired[stage as usize].inc();
    }

    /// Records the time left at the first attempt, if there was one, and at the response.
    pub fn record_time_left(&self, sent: Option<Duration>, answered: Duration) {
        if let Some(sent) = sent {
            self.time_left[0].observe(sent.as_secs_f64());
        }
        self.time_left[1].observe(answered.as_secs_f64());
    }

    /// Records whether a reload accepted the configuration.
    pub fn record_reload(&self, accepted: bool) {
        if accepted { &self.reloads_accepted } else { &self.reloads_invalid }.inc();
    }

    /// Counts of ended requests by class.
    pub fn classes(&self) -> Vec<status::ClassCounts> {
        let class = |(name, metrics): (&String, &Rc<ClassMetrics>)| {
            let [fulfilled, throttled, faulted] = metrics.operations.each_ref().map(Counter::get);
            status::ClassCounts { name: name.clone(), fulfilled, throttled, faulted }
        };
        self.classes.borrow().iter().map(class).collect()
    }

    /// Number of attempts written completely to their backends.
    pub fn relayed_total(&self) -> u64 {
        self.relayed.get()
    }

    /// Number of refused requests by reason.
    pub fn refusals(&self) -> BTreeMap<String, u64> {
        REASONS
            .iter()
            .map(|reason| (reason.name().to_owned(), self.refusals[*reason as usize].get()))
            .collect()
    }

    /// The metrics with the prefix `relay`, one per line, including those that `register_others` adds.
    pub fn stats(&self, current: &CurrentCounts, register_others: impl FnOnce(&mut Registry)) -> String {
        let mut relay_current = Registry::with_prefix("relay");
        current.register_relay(&mut relay_current);
        register_others(&mut relay_current);
        let mut text = String::with_capacity(4096);
        // Writing to a String cannot fail.
        let _ =
            encode_registry(&mut text, &self.relay).and_then(|()| encode_registry(&mut text, &relay_current));
        let mut lines = String::with_capacity(text.len());
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            lines.push_str(line);
            lines.push('\n');
        }
        lines
    }

    /// All metrics in the OpenMetrics text format.
    pub fn open_metrics(
        &self, current: &CurrentCounts, process: &Process, dropped_log_lines: u64,
        register_others: impl FnOnce(&mut Registry),
    ) -> String {
        let mut relay_current = Registry::with_prefix("relay");
        current.register_relay(&mut relay_current);
        register_others(&mut relay_current);
        let mut heronstage_current = Registry::with_prefix("heronstage");
        register_gauge(
            &mut heronstage_current,
            "connections",
            "Open client connections",
            current.connections as i64,
        );
        let help = "Log lines dropped because the log was not read fast enough";
        register_counter(&mut heronstage_current, "log_lines_dropped", help, dropped_log_lines);
        let mut process_registry = Registry::with_prefix("process");
        let resident = process.resident_bytes as i64;
        register_gauge(&mut process_registry, "resident_memory_bytes", "Resident memory size", resident);
        let help = "Open file descriptors";
        register_gauge(&mut process_registry, "open_fds", help, process.descriptors as i64);
        let help = "Maximum number of open file descriptors";
        register_gauge(&mut process_registry, "max_fds", help, process.max_descriptors as i64);
        let cpu = Counter::<f64, AtomicU64>::default();
        cpu.inc_by(process.cpu_s);
        process_registry.register("cpu_seconds", "User and system CPU time", cpu);
        let mut text = String::with_capacity(32 * 1024);
        let written = [&self.relay, &relay_current, &self.heronstage, &heronstage_current, &process_registry]
            .into_iter()
            .try_for_each(|registry| encode_registry(&mut text, registry));
        // Writing to a String cannot fail.
        let _ = written.and_then(|()| encode_eof(&mut text));
        text
    }
}

impl Observer for Metrics {
    fn request_written(&self) {
        self.relayed.inc();
    }

    fn attempt_ended(&self, attempt: &EndedAttempt) {
        self.attempts[attempt.result as usize].inc();
    }

    fn counter_call_ended(&self, result: CallResult) {
        self.counter_calls[result as usize].inc();
    }

    fn request_refused(&self, reason: Reason) {
        self.refusals[reason as usize].inc();
    }

    fn log_line(&self, line: &str) {
        tracing::info!(target: targets::METRICS, "{line}");
    }
}
