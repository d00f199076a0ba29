//! The operator that rolls out versions in the soak test, the versions' backends, and the checks of what it reads.

use crate::callers::Results;
use crate::processes::{backend, call, heartbeat_body};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The term of each roll-out.
const TERM: Duration = Duration::from_secs(9);
/// Longest time from the end of a term until a settled core has ended the roll-out: an election and a restart.
const MAX_OVERDUE: Duration = Duration::from_secs(20);
/// Interval between heartbeats of a backend.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// What the operator counted.
#[derive(Default)]
pub struct RolloutCounts {
    pub ordered: AtomicU64,
    pub delivered: AtomicU64,
    pub returned: AtomicU64,
}

/// A backend that sends heartbeats until it is stopped, and records its requests like the first one.
pub struct VersionBackend {
    stopped: Arc<AtomicBool>,
}

impl VersionBackend {
    /// Starts a backend of this version. `requests` are handled by `record`.
    pub fn start(
        id: &str, edition: &str, cores: &[String], results: &Arc<Results>,
        record: impl Fn(&str) + Send + 'static,
    ) -> Self {
        let (server, requests) = backend();
        let stopped = Arc::new(AtomicBool::new(false));
        let (shared, is_stopped) = (results.clone(), stopped.clone());
        let (id, edition, cores) = (id.to_owned(), edition.to_owned(), cores.to_vec());
        thread::spawn(move || {
            for postmark in 1u64.. {
                if shared.stopped() || is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let body = heartbeat_body(&server, postmark)
                    .replace("\"berths\":2", "\"berths\":200")
                    .replace("\"v1\"", &format!("\"{edition}\""));
                let core = &cores[postmark as usize % cores.len()];
                drop(call(core, "POST", &format!("/api/Instances.Beat/{id}"), "", &body));
                thread::park_timeout(HEARTBEAT_INTERVAL);
            }
        });
        thread::spawn(move || requests.iter().for_each(|request| record(&request)));
        VersionBackend { stopped }
    }

    /// Ends its heartbeats.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// The state and version that a core process returns for the service's roll-out.
fn read_progress(core: &str) -> Option<(String, String)> {
    let answer = call(core, "GET", "/api/Rollouts.Get/s1", "", "")?;
    if answer.status == 404 {
        return Some(("none".to_owned(), String::new()));
    }
    let mut texts = answer.body.split('"').skip(3).step_by(4).map(str::to_owned);
    Some((texts.next()?, texts.next()?)).filter(|_| answer.status == 200)
}

/// Orders versions one after the other. Once an order is acknowledged, every read names it until the next one,
/// and no final state changes any more.
pub fn run_rollouts(
    seed: u64, first_backend: VersionBackend, cores: Vec<String>, results: Arc<Results>,
    counts: Arc<RolloutCounts>,
) {
    let mut current = first_backend;
    let mut rng = fastrand::Rng::with_seed(seed);
    for version in 2u64.. {
        let edition = format!("v{version}");
        let recorded = results.clone();
        let new_backend =
            VersionBackend::start(&format!("i-{version}"), &edition, &cores, &results, move |request| {
                recorded.record_run(request);
            });
        let body = format!(r#"{{"service":"s1","to_edition":"{edition}","by_time":"{}s"}}"#, TERM.as_secs());
        loop {
            if results.stopped() {
                return;
            }
            let core = &cores[rng.usize(0..cores.len())];
            match call(core, "POST", "/api/Rollouts.Start", "", &body).map(|answer| answer.status) {
                Some(200 | 409) => break,
                Some(status @ 400..=499) => {
                    return results.fail(format!("the roll-out to {edition} was refused with {status}"))
                }
                _ => thread::park_timeout(Duration::from_millis(100)),
            }
        }
        counts.ordered.fetch_add(1, Ordering::Relaxed);
        let ordered = Instant::now();
        let mut ended: Option<String> = None;
        while ended.is_none() || rng.u32(0..6) != 0 {
            if results.stopped() {
                return;
            }
            thread::park_timeout(Duration::from_millis(rng.u64(20..200)));
            let Some((state, named)) = read_progress(&cores[rng.usize(0..cores.len())]) else { continue };
            if named != edition {
                return results
                    .fail(format!("the roll-out to {edition} was acknowledged, then: {state} {named:?}"));
            }
            if ended.as_ref().is_some_and(|ended| *ended != state) {
                return results.fail(format!("the roll-out to {edition} was {ended:?}, then {state}"));
            }
            ended = Some(state).filter(|state| state != "in_transit");
            if ended.is_none() && ordered.elapsed() > TERM + MAX_OVERDUE {
                return results
                    .fail(format!("the roll-out to {edition} is under way after {:?}", ordered.elapsed()));
            }
        }
        if ended.as_deref() == Some("delivered") {
            counts.delivered.fetch_add(1, Ordering::Relaxed);
            std::mem::replace(&mut current, new_backend).stop();
        } else {
            counts.returned.fetch_add(1, Ordering::Relaxed);
            new_backend.stop();
        }
    }
}
