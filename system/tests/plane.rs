//! Random histories of the data plane, and injected faults that the same histories must detect.

#[path = "plane/mod.rs"]
mod plane;

use oakfall::plane::driver::BackendProtocol;
use oakfall::plane::exchange::{AttemptFailure, Exchange, IdleConnection, Stage};
use oakfall::plane::http::Head;
use oakfall::CallResult;
use oakfall_system::backend_protocol::HttpBackendProtocol;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Histories per test run unless `HISTORIES` is set.
const DEFAULT_HISTORIES: u64 = 400;
/// Histories tried before a fault counts as undetected.
const MAX_HISTORIES: u64 = 3000;
/// Failing histories per fault, of which the shortest is printed.
const MAX_FAILURES_PER_FAULT: usize = 3;

fn history_count() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_HISTORIES)
}

/// Runs histories in threads; returns the failing ones, shortest first, and the total counts.
fn run_histories(
    seeds: std::ops::Range<u64>, max_failures: usize, protocol: fn() -> Rc<dyn BackendProtocol>,
) -> (Vec<(usize, u64, String)>, [usize; 3]) {
    let threads = 2;
    let failure_count = Arc::new(AtomicUsize::new(0));
    let workers: Vec<_> = (0..threads)
        .map(|worker| {
            let (seeds, failure_count) = (seeds.clone(), failure_count.clone());
            std::thread::spawn(move || {
                let (mut failures, mut totals) = (Vec::new(), [0; 3]);
                for seed in seeds.filter(|seed| seed % threads == worker) {
                    let (violation, events, responses, successes) = plane::run_history(seed, protocol);
                    totals = [totals[0] + events, totals[1] + responses, totals[2] + successes];
                    if let Some(violation) = violation {
                        failures.push((events, seed, violation));
                        failure_count.fetch_add(1, Ordering::Relaxed);
                    }
                    if failure_count.load(Ordering::Relaxed) >= max_failures {
                        break;
                    }
                }
                (failures, totals)
            })
        })
        .collect();
    let (mut failures, mut totals) = (Vec::new(), [0; 3]);
    for worker in workers {
        let (worker_failures, worker_totals) = worker.join().expect("a worker thread panicked");
        failures.extend(worker_failures);
        (0..3).for_each(|index| totals[index] += worker_totals[index]);
    }
    failures.sort();
    (failures, totals)
}

#[test]
fn responses_match_requests_and_unsafe_requests_run_at_most_once() {
    let first_seed: u64 = std::env::var("FROM").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let (failures, [events, responses, successes]) =
        run_histories(first_seed..first_seed + history_count(), 5, || Rc::new(HttpBackendProtocol));
    println!("{} histories, {events} events, {responses} responses, {successes} successes", history_count());
    assert!(failures.is_empty(), "{failures:#?}");
    assert!(
        responses > history_count() as usize && successes * 4 > responses,
        "{responses} responses, {successes} successes"
    );
}

/// The backend protocol with one injected fault.
struct FaultyProtocol(Fault);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// A connection with unexpected bytes is reused.
    SurplusBytesKept,
    /// A request whose body is partly written counts as not run.
    PartialWriteIsNotRun,
    /// A broken connection after a fully written request counts as not run.
    ResetAfterWriteIsNotRun,
    /// A timeout after a fully written request counts as not run.
    TimeoutAfterWriteIsNotRun,
    /// A connection that received data while idle is reused.
    StaleConnectionReused,
    /// Every response counts as the request's own, whatever its id.
    ResponseIdIgnored,
    /// An error response without an id counts as the request's own.
    ErrorWithoutIdAccepted,
    /// Of two ids in a response the last one counts.
    LastIdWins,
    /// A 503 without `not-run` counts as not run.
    Plain503IsNotRun,
    /// A success needs neither a stamp nor a known end.
    AnySuccessAccepted,
    /// A response before the whole body is written counts as not run.
    EarlyResponseIsNotRun,
}

impl BackendProtocol for FaultyProtocol {
    fn write_attempt_headers(&self, message: &mut Vec<u8>, backend: &str, left: Duration) {
        HttpBackendProtocol.write_attempt_headers(message, backend, left);
    }

    fn classify_response(&self, head: &Head) -> CallResult {
        match (self.0, HttpBackendProtocol.classify_response(head)) {
            (Fault::Plain503IsNotRun, CallResult::Error) if head.status == 503 => CallResult::Rejected,
            (Fault::AnySuccessAccepted, CallResult::Reset) => CallResult::Ok,
            (_, result) => result,
        }
    }

    fn matches_request(&self, head: &Head, id: &[u8]) -> bool {
        let mut id_matches = Vec::new();
        head.for_each_header(|header, value| {
            if header.eq_ignore_ascii_case("request-id") {
                id_matches.push(value == id);
            }
        });
        match self.0 {
            Fault::ResponseIdIgnored => true,
            Fault::ErrorWithoutIdAccepted if id_matches.is_empty() => head.status >= 400,
            Fault::LastIdWins => id_matches.last() == Some(&true),
            _ => HttpBackendProtocol.matches_request(head, id),
        }
    }

    fn forwards_errors(&self) -> bool {
        true
    }

    fn may_start_early(&self) -> bool {
        self.0 != Fault::EarlyResponseIsNotRun
    }

    fn classify_failure(&self, exchange: &Exchange, end: AttemptFailure) -> CallResult {
        match (self.0, exchange.stage(), end) {
            (Fault::PartialWriteIsNotRun, Stage::PartialBody, _)
            | (Fault::ResetAfterWriteIsNotRun, Stage::Written, AttemptFailure::ConnectionBroken)
            | (Fault::TimeoutAfterWriteIsNotRun, Stage::Written, AttemptFailure::TimedOut) => {
                CallResult::ConnectFailed
            }
            _ => exchange.classify_failure(end, self.may_start_early()),
        }
    }

    fn may_reuse(&self, exchange: &Exchange) -> bool {
        match self.0 {
            Fault::SurplusBytesKept => exchange.stage() == Stage::Complete,
            _ => exchange.is_reusable(),
        }
    }

    fn may_reuse_idle(&self, idle: &IdleConnection) -> bool {
        match self.0 {
            Fault::StaleConnectionReused | Fault::SurplusBytesKept => {
                IdleConnection { data_pending: false, ..*idle }.is_reusable()
            }
            _ => idle.is_reusable(),
        }
    }
}

macro_rules! faults {
    ($($fault:ident),*) => { [$((Fault::$fault, (|| Rc::new(FaultyProtocol(Fault::$fault)) as Rc<dyn BackendProtocol>) as fn() -> Rc<dyn BackendProtocol>)),*] };
}

#[test]
fn each_injected_fault_is_detected() {
    let mut missed = Vec::new();
    for (fault, protocol) in faults![
        SurplusBytesKept,
        PartialWriteIsNotRun,
        ResetAfterWriteIsNotRun,
        TimeoutAfterWriteIsNotRun,
        StaleConnectionReused,
        ResponseIdIgnored,
        ErrorWithoutIdAccepted,
        LastIdWins,
        Plain503IsNotRun,
        AnySuccessAccepted,
        EarlyResponseIsNotRun
    ] {
        let (failures, _) = run_histories(0..MAX_HISTORIES, MAX_FAILURES_PER_FAULT, protocol);
        match failures.first() {
            Some((events, seed, violation)) => {
                println!("{fault:?}: history {seed}, {events} events: {violation}")
            }
            None => missed.push(fault),
        }
    }
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
