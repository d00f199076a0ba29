//! Figures for operators. They are only counted here; nothing is decided by them.

use crate::status::{self, Process};
use cherrytally::plane::driver::Observer;
use cherrytally::{CallResult as Ended, Reason};
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

/// Names of classes at most that are counted in a process's life.
const CLASSES_MOST: usize = 256;
/// Where times are told apart, in seconds: from what a refusal takes to the longest deadlines.
const BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Fulfilled,
    Throttled,
    Faulted,
    /// Its client went, or did not send it whole. It counts among no operations.
    Gone,
}

impl End {
    pub fn name(self) -> &'static str {
        match self {
            End::Fulfilled => "fulfilled",
            End::Throttled => "throttled",
            End::Faulted => "faulted",
            End::Gone => "gone",
        }
    }
}

const ENDS: [End; 4] = [End::Fulfilled, End::Throttled, End::Faulted, End::Gone];

/// Where a request's time goes.
#[derive(Clone, Copy)]
pub enum Place {
    /// The client sends the body. Requests without one spend nothing here, nor in the next place.
    Body,
    /// The body waits for room in memory.
    Room,
    /// The decision: the counter is asked, and a server chosen.
    Decision,
    /// From the first attempt to the answer's first byte, all attempts and the waits between them.
    Servers,
}

const PLACES: [(Place, &str); 4] = [
    (Place::Body, "body"),
    (Place::Room, "room"),
    (Place::Decision, "decision"),
    (Place::Servers, "servers"),
];

const REASONS: [Reason; 4] = [Reason::Room, Reason::Quota, Reason::Unsent, Reason::Time];

const RESULTS: [Ended; 8] = [
    Ended::Ok,
    Ended::Error,
    Ended::Rejected,
    Ended::Timeout,
    Ended::ConnectFailed,
    Ended::Reset,
    Ended::Cancelled,
    Ended::NotSent,
];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Operation {
    priority: String,
    status: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByOutcome {
    class: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByClass {
    class: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByPlace {
    place: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByMoment {
    at: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByReason {
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByResult {
    result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByStatus {
    status: u16,
}

/// How many requests of one class ended in which way, and after what time.
pub struct Ends {
    /// What ended with its client gone counts in no operation.
    counts: [Counter; 3],
    times: [Histogram; ENDS.len()],
    first_byte: Histogram,
}

impl Ends {
    /// Counts one.
    pub fn count(&self, end: End, took: Duration) {
        if let Some(count) = self.counts.get(end as usize) {
            count.inc();
        }
        self.times[end as usize].observe(took.as_secs_f64());
    }

    /// The first byte of an answer from a server is there.
    pub fn first_byte(&self, took: Duration) {
        self.first_byte.observe(took.as_secs_f64());
    }
}

/// What is counted from the start of the process.
pub struct Figures {
    /// Those that the operators' page fixes.
    fixed: Registry,
    /// All others that are counted.
    more: Registry,
    classes: RefCell<BTreeMap<String, Rc<Ends>>>,
    operations: Family<Operation, Counter>,
    times: Family<ByOutcome, Histogram>,
    first_byte: Family<ByClass, Histogram>,
    places: [Histogram; PLACES.len()],
    expired: [Counter; PLACES.len()],
    left: [Histogram; 2],
    refusals: [Counter; REASONS.len()],
    attempts: [Counter; RESULTS.len()],
    calls: [Counter; RESULTS.len()],
    undecided: Family<ByStatus, Counter>,
    relayed: Counter,
    accepted: Counter,
    invalid: Counter,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

impl Default for Figures {
    fn default() -> Self {
        let mut fixed = Registry::with_prefix("relay");
        let operations = Family::default();
        fixed.register("operations", "Requests by class and end", operations.clone());
        let (relayed, accepted, invalid) = <(Counter, Counter, Counter)>::default();
        fixed.register("relayed", "Attempts written whole to servers", relayed.clone());
        fixed.register("cfg_accepted", "Configurations taken at a reload", accepted.clone());
        fixed.register("cfg_invalid", "Configurations turned down at a reload", invalid.clone());

        let mut more = Registry::with_prefix("heronstage");
        let seconds = || Unit::Seconds;
        let times = Family::new_with_constructor(histogram as fn() -> _);
        more.register_with_unit(
            "request_duration",
            "From a request's head to its end",
            seconds(),
            times.clone(),
        );
        let first_byte = Family::new_with_constructor(histogram as fn() -> _);
        let help = "From a request's last byte to the first of its answer from a server";
        more.register_with_unit("first_byte", help, seconds(), first_byte.clone());
        let places = Family::<ByPlace, Histogram, _>::new_with_constructor(histogram as fn() -> _);
        more.register_with_unit("request_wait", "Time of requests by place", seconds(), places.clone());
        let expired = Family::<ByPlace, Counter>::default();
        more.register("expired", "Requests whose time was over unserved, by place", expired.clone());
        let left = Family::<ByMoment, Histogram, _>::new_with_constructor(histogram as fn() -> _);
        let help = "Time left of requests, at the first attempt and at the answer";
        more.register_with_unit("time_left", help, seconds(), left.clone());
        let refusals = Family::<ByReason, Counter>::default();
        more.register("refusals", "Requests refused, by reason", refusals.clone());
        let attempts = Family::<ByResult, Counter>::default();
        more.register("attempts", "Attempts at servers, by result", attempts.clone());
        let calls = Family::<ByResult, Counter>::default();
        more.register("counter_calls", "Calls to the counter, by result", calls.clone());
        let undecided = Family::default();
        more.register("undecided", "Requests answered without a decision, by status", undecided.clone());

        let by_result = |family: &Family<ByResult, Counter>| {
            RESULTS.map(|ended| family.get_or_create_owned(&ByResult { result: ended.name() }))
        };
        Figures {
            classes: RefCell::default(),
            places: PLACES.map(|(_, place)| places.get_or_create_owned(&ByPlace { place })),
            expired: PLACES.map(|(_, place)| expired.get_or_create_owned(&ByPlace { place })),
            left: ["sent", "answered"].map(|at| left.get_or_create_owned(&ByMoment { at })),
            refusals: REASONS.map(|of| refusals.get_or_create_owned(&ByReason { reason: of.name() })),
            attempts: by_result(&attempts),
            calls: by_result(&calls),
            fixed,
            more,
            operations,
            times,
            first_byte,
            undecided,
            relayed,
            accepted,
            invalid,
        }
    }
}

/// What stands so now.
pub struct Present {
    pub open: usize,
    pub connections: usize,
    pub listed: usize,
    pub avoided: usize,
}

impl Present {
    /// Puts those in that the operators' page fixes.
    fn fixed(&self, into: &mut Registry) {
        gauge(into, "open_requests", "Requests taken and not yet ended", self.open as i64);
        gauge(into, "registry_entries", "Servers on the list", self.listed as i64);
        gauge(into, "out_of_rotation", "Servers of the list that get no requests now", self.avoided as i64);
    }
}

/// Puts a gauge as it stands now into what is told.
pub fn gauge(into: &mut Registry, name: &str, help: &str, value: i64) {
    let gauge = Gauge::<i64>::default();
    gauge.set(value);
    into.register(name, help, gauge);
}

/// Puts a count as it stands now into what is told.
pub fn count(into: &mut Registry, name: &str, help: &str, value: u64) {
    let counter = Counter::<u64>::default();
    counter.inc_by(value);
    into.register(name, help, counter);
}

impl Figures {
    /// Where ends of requests of a class are counted; one that comes again goes on from where it was.
    pub fn class(&self, name: &str) -> Result<Rc<Ends>, String> {
        let mut classes = self.classes.borrow_mut();
        if let Some(ends) = classes.get(name) {
            return Ok(ends.clone());
        }
        if classes.len() >= CLASSES_MOST {
            return Err(format!("over {CLASSES_MOST} names of classes since the start"));
        }
        let (class, counted) = (name.to_owned(), [End::Fulfilled, End::Throttled, End::Faulted]);
        let count = |end: End| Operation { priority: class.clone(), status: end.name() };
        let time = |end: End| ByOutcome { class: class.clone(), outcome: end.name() };
        let ends = Rc::new(Ends {
            counts: counted.map(|end| self.operations.get_or_create_owned(&count(end))),
            times: ENDS.map(|end| self.times.get_or_create_owned(&time(end))),
            first_byte: self.first_byte.get_or_create_owned(&ByClass { class: class.clone() }),
        });
        classes.insert(class, ends.clone());
        Ok(ends)
    }

    /// A request was answered without a decision: it was the client's fault, or could not be taken in.
    pub fn undecided(&self, status: u16) {
        self.undecided.get_or_create(&ByStatus { status }).inc();
    }

    /// A request spent time in a place.
    pub fn waited(&self, place: Place, took: Duration) {
        self.places[place as usize].observe(took.as_secs_f64());
    }

    /// A request's time was over in this place, and it was not served.
    pub fn expired(&self, place: Place) {
        self.expired[place as usize].inc();
    }

    /// The time that was left at the first attempt, if there was one, and at the answer.
    pub fn left(&self, sent: Option<Duration>, answered: Duration) {
        if let Some(sent) = sent {
            self.left[0].observe(sent.as_secs_f64());
        }
        self.left[1].observe(answered.as_secs_f64());
    }

    /// A configuration was read at SIGHUP, and taken or not.
    pub fn configured(&self, taken: bool) {
        if taken { &self.accepted } else { &self.invalid }.inc();
    }

    /// How requests of each class ended.
    pub fn classes(&self) -> Vec<status::Class> {
        let class = |(name, ends): (&String, &Rc<Ends>)| {
            let [fulfilled, throttled, faulted] = ends.counts.each_ref().map(Counter::get);
            status::Class { name: name.clone(), fulfilled, throttled, faulted }
        };
        self.classes.borrow().iter().map(class).collect()
    }

    /// Attempts written whole to their backends.
    pub fn relayed_total(&self) -> u64 {
        self.relayed.get()
    }

    /// Refusals by reason.
    pub fn refusals(&self) -> BTreeMap<String, u64> {
        REASONS
            .iter()
            .map(|reason| (reason.name().to_owned(), self.refusals[*reason as usize].get()))
            .collect()
    }

    /// The figures that the operators' page fixes, a line each, with what others put in.
    pub fn stats(&self, present: &Present, others: impl FnOnce(&mut Registry)) -> String {
        let mut now = Registry::with_prefix("relay");
        present.fixed(&mut now);
        others(&mut now);
        let mut text = String::with_capacity(4096);
        // A String takes every write.
        let _ = encode_registry(&mut text, &self.fixed).and_then(|()| encode_registry(&mut text, &now));
        let mut lines = String::with_capacity(text.len());
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            lines.push_str(line);
            lines.push('\n');
        }
        lines
    }

    /// All figures as OpenMetrics.
    pub fn open_metrics(
        &self, present: &Present, process: &Process, lost: u64, others: impl FnOnce(&mut Registry),
    ) -> String {
        let mut relay = Registry::with_prefix("relay");
        present.fixed(&mut relay);
        others(&mut relay);
        let mut own = Registry::with_prefix("heronstage");
        gauge(&mut own, "connections", "Connections of clients", present.connections as i64);
        count(&mut own, "log_lines_dropped", "Lines of the log that nobody read in time", lost);
        let mut machine = Registry::with_prefix("process");
        let resident = process.resident_bytes as i64;
        gauge(&mut machine, "resident_memory_bytes", "Resident memory", resident);
        gauge(&mut machine, "open_fds", "Open descriptors", process.descriptors as i64);
        gauge(&mut machine, "max_fds", "Descriptors that may be open", process.descriptors_most as i64);
        let cpu = Counter::<f64, AtomicU64>::default();
        cpu.inc_by(process.cpu_s);
        machine.register("cpu_seconds", "Processor time", cpu);
        let mut text = String::with_capacity(32 * 1024);
        let written = [&self.fixed, &relay, &self.more, &own, &machine]
            .into_iter()
            .try_for_each(|registry| encode_registry(&mut text, registry));
        // A String takes every write.
        let _ = written.and_then(|()| encode_eof(&mut text));
        text
    }
}

impl Observer for Figures {
    fn request_written(&self) {
        self.relayed.inc();
    }

    fn attempt_ended(&self, ended: Ended) {
        self.attempts[ended as usize].inc();
    }

    fn counter_call_ended(&self, ended: Ended) {
        self.calls[ended as usize].inc();
    }

    fn request_refused(&self, reason: Reason) {
        self.refusals[reason as usize].inc();
    }

    fn log_line(&self, line: &str) {
        tracing::info!(target: "heronstage::figures", "{line}");
    }
}
