//! The data plane without sockets, in simulated time: two real proxies between clients and faulty backends.
//! A ledger of requests, runs and responses serves as the reference model.

mod backend;
mod client;
mod wire;

use backend::TestBackend;
use oakfall::plane::driver::BackendProtocol;
use oakfall_system::protocol::{Backend, ConfigRevision, Gateway, StateSnapshot, ToProxy};
use oakfall_system::proxy::Proxy;
use oakfall_system::settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Maximum attempts of each route.
const MAX_ATTEMPTS: usize = 3;

/// A request that a client sent.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// Must not run more than once.
    pub at_most_once: bool,
    /// The framing is ambiguous.
    pub ambiguous: bool,
}

/// A response that a backend sent.
#[derive(Clone, Debug)]
pub struct SentResponse {
    pub id: String,
    pub status: u16,
    pub body: Vec<u8>,
}

/// Record of all requests, runs and responses; responses are keyed by stamp.
#[derive(Default)]
pub struct Ledger {
    pub sent: BTreeMap<String, SentRequest>,
    pub attempts: BTreeMap<String, usize>,
    pub runs: BTreeMap<String, usize>,
    pub responses: BTreeMap<String, SentResponse>,
    /// Ids of requests that were reported as not run.
    pub reported_not_run: HashSet<String>,
    pub response_count: usize,
    pub success_count: usize,
    pub event_count: usize,
    pub violation: Option<String>,
}

pub struct World {
    pub rng: RefCell<fastrand::Rng>,
    pub ledger: RefCell<Ledger>,
    /// Percentage of requests that a backend mistreats.
    pub fault_percent: u32,
    pub backends: Vec<Rc<TestBackend>>,
    pub next: Cell<usize>,
}

impl World {
    pub fn random_below(&self, bound: usize) -> usize {
        self.rng.borrow_mut().usize(0..bound.max(1))
    }

    pub fn chance(&self, percent: u32) -> bool {
        self.rng.borrow_mut().u32(0..100) < percent
    }

    pub fn id(&self, kind: &str) -> String {
        self.next.set(self.next.get() + 1);
        format!("{kind}{}", self.next.get())
    }

    pub fn count_event(&self) {
        self.ledger.borrow_mut().event_count += 1;
    }

    pub fn report_violation(&self, description: String) {
        self.ledger.borrow_mut().violation.get_or_insert(description);
    }

    /// Records that a backend started to run a request.
    pub fn record_run(&self, id: &str, method: &str, path: &str, body: Option<&[u8]>, tenant: &str) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.event_count += 1;
        let runs = ledger.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        let Some(sent) = ledger.sent.get(id).cloned() else {
            ledger.violation.get_or_insert(format!("UNASKED: {id:?} runs, {method} {path}"));
            return;
        };
        let body_differs = body.is_some_and(|body| body != sent.body);
        if !sent.ambiguous && ((sent.method, sent.path.as_str()) != (method, path) || body_differs)
            || tenant != "t1"
        {
            ledger.violation.get_or_insert(format!("UNASKED: {id} changed: {method} {path} of {tenant:?}"));
        }
        if sent.at_most_once && runs > 1 {
            ledger.violation.get_or_insert(format!("TWICE: {id} runs {runs} times"));
        }
        if sent.at_most_once && ledger.reported_not_run.contains(id) {
            ledger.violation.get_or_insert(format!("REFUSED: {id} runs after it was reported not run"));
        }
    }

    pub fn record_attempt(&self, id: &str) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.event_count += 1;
        let count = ledger.attempts.entry(id.to_owned()).or_default();
        *count += 1;
        if *count > MAX_ATTEMPTS {
            ledger.violation.get_or_insert(format!("BUDGET: {id} gets more than {MAX_ATTEMPTS} attempts"));
        }
    }

    /// Records a client's complete response and checks it against the ledger.
    pub fn record_response(
        &self, id: &str, status: u16, response_id: Option<&str>, stamp: Option<&str>, body: &[u8],
    ) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.event_count += 1;
        ledger.response_count += 1;
        let expected = stamp.and_then(|stamp| ledger.responses.get(stamp).cloned());
        let sent = ledger.sent.get(id).cloned();
        let is_head_request = sent.as_ref().is_some_and(|sent| sent.method == "HEAD");
        let mismatch = match (status, &expected) {
            _ if response_id.is_some_and(|response_id| response_id != id) => {
                Some("a response to another request")
            }
            (200..=299, None) => Some("a success without a stamp"),
            (_, Some(expected)) if expected.id != id => Some("a response to another request"),
            (_, Some(expected)) if expected.status != status => Some("not the status that the backend sent"),
            (200..=299, Some(expected)) if !is_head_request && expected.body != body => {
                Some("not the body that the backend sent")
            }
            _ => None,
        };
        if let Some(mismatch) = mismatch {
            let text = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
            ledger
                .violation
                .get_or_insert(format!("MIXED: {id} gets {status}, {mismatch}: {expected:?} {text:?}"));
        }
        ledger.success_count += usize::from(status < 300);
        if [408, 421, 429, 503].contains(&status) {
            ledger.reported_not_run.insert(id.to_owned());
            let ran = ledger.runs.get(id).copied().unwrap_or(0);
            if sent.is_some_and(|sent| sent.at_most_once) && ran > 0 {
                ledger.violation.get_or_insert(format!("REFUSED: {id} gets {status} although it ran"));
            }
        }
    }
}

const CONFIG: &str = r#"{"edition":"r1","limits":{"label_bytes":16384,"body_bytes":1048576,"label_time":"3000ms","idle":"15000ms"},
"patrons":[{"name":"t1","stamps":["k1"],"priority":0,"per_s":0,"burst":0,"home_regions":[]}],
"docks":[{"depot":"a.example","regulations":[
{"name":"r-1","kind":"unsafe","target":"500ms","priority":1,"unstamped":false,"sorting":{"lane_prefix":"/once/"},"dispatch":{"service":"s1","timeout":"1200ms","attempts":3,"home_regions":[]}},
{"name":"r-2","kind":"safe","target":"500ms","priority":1,"unstamped":false,"sorting":{"lane_prefix":"/safe/"},"dispatch":{"service":"s1","timeout":"1200ms","attempts":3,"home_regions":[]}},
{"name":"r-3","kind":"download","target":"500ms","priority":1,"unstamped":false,"sorting":{"lane_prefix":"/load/"},"dispatch":{"service":"s1","timeout":"1200ms","attempts":3,"home_regions":[]}}]}],
"fleets":[{"name":"s1","health_path":"/health","conn_cap":110,"protocol":"h1","sealed":false,"cold":"3s","cold_per_s":22.0}]}"#;

const SETTINGS: &str = "sender:\n  node: \"g1\"\n  machine_class: \"counter\"\n  ip: \"10.1.0.1\"\n  zone: \"a\"\n  region: \"r\"\n  \
first_start: false\n  limits:\n    memory_mb: 260\n    fds: 600\nnetwork:\n  docks_at:\n    front: \"10.1.0.1:80\"\n  \
inner_ports:\n    - 7460\n    - 7475\n  seeds:\n    - \"10.1.0.9:80\"\n  zones:\n    a: \"r\"\ncarrier:\n  beat: \"1500ms\"\n\
tariffs:\n  bounds:\n    ack: \"8000ms\"\n    grace: \"6s\"\n    closed: false\n    retry_ratio: 5.0\n    retry_slack: 500\n    \
ttl_max: \"5s\"\n";

fn state_update(index: u64, backends: &[Rc<TestBackend>]) -> ToProxy {
    let backends = backends.iter().filter(|backend| backend.listed.get()).map(|backend| Backend {
        edition: "v1".into(),
        id: backend.id.clone(),
        service: "s1".into(),
        address: backend.addr.to_string(),
        zone: "a".into(),
        max_concurrency: 4,
        draining: false,
        cold_ms: 0,
        heartbeat_seq: 0,
    });
    let gateway = Gateway { node: "g1".into(), ..Gateway::default() };
    let snapshot = StateSnapshot {
        index,
        config: Some(ConfigRevision {
            edition: 1,
            text: CONFIG.into(),
            call_digest: 1,
            ..ConfigRevision::default()
        }),
        backends: backends.collect(),
        gateways: vec![gateway],
        ..StateSnapshot::default()
    };
    ToProxy {
        snapshot: Some(snapshot),
        leader_contact_age_ms: 0.0,
        request_sent_at: Some(0.0),
        index,
        ..ToProxy::default()
    }
}

/// Runs one history; returns the first violation and the numbers of events, responses and successes.
pub fn run_history(
    seed: u64, protocol: impl Fn() -> Rc<dyn BackendProtocol>,
) -> (Option<String>, usize, usize, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("cannot build the runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = 1 + rng.usize(0..3);
        let addr = |n: usize| SocketAddr::from(([10, 0, 0, n as u8 + 1], 80));
        let mut backends: Vec<_> =
            (0..count).map(|n| TestBackend::new(format!("i-{n}"), addr(n), true)).collect();
        // Replaces the first backend later, at the same address.
        backends.push(TestBackend::new("i-new".into(), addr(0), false));
        let fault_percent = [0, 5, 20, 50, 90][rng.usize(0..5)];
        let clients = 1 + rng.usize(0..4);
        let world = Rc::new(World {
            rng: RefCell::new(rng),
            ledger: RefCell::default(),
            fault_percent,
            backends,
            next: Cell::new(0),
        });
        let proxies: Vec<_> = (0..2)
            .map(|_| {
                let dial_world = world.clone();
                let dial = Box::new(move |addr| -> std::pin::Pin<Box<dyn std::future::Future<Output = _>>> {
                    let world = dial_world.clone();
                    Box::pin(async move { backend::connect(world, addr).await })
                });
                let settings = Settings::read(SETTINGS).expect("invalid settings");
                let seed = world.rng.borrow_mut().u64(..);
                Proxy::standalone(settings, seed, protocol(), dial, state_update(1, &world.backends))
                    .expect("cannot create the proxy")
            })
            .collect();
        let tasks: Vec<_> = (0..clients)
            .map(|_| {
                let proxy = proxies[world.random_below(2)].clone();
                tokio::task::spawn_local(client::run(world.clone(), proxy))
            })
            .collect();
        if world.chance(30) {
            // Replaces a backend at the same address during traffic.
            sleep(Duration::from_millis(world.random_below(900) as u64)).await;
            world.backends[0].listed.set(false);
            world.backends[count].listed.set(true);
            proxies.iter().for_each(|proxy| proxy.apply_update(state_update(2, &world.backends)));
        }
        if world.chance(30) {
            sleep(Duration::from_millis(world.random_below(900) as u64)).await;
            proxies[0].advance_shutdown();
            sleep(Duration::from_millis(world.random_below(1500) as u64)).await;
            proxies[0].advance_shutdown();
        }
        for task in tasks {
            if task.await.is_err() {
                world.report_violation("a task panicked".into());
            }
        }
        // Buffered requests may still run.
        sleep(Duration::from_secs(9)).await;
        let ledger = world.ledger.borrow();
        (ledger.violation.clone(), ledger.event_count, ledger.response_count, ledger.success_count)
    })
}
