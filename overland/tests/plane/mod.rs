//! The data plane without sockets: two real proxies, with the real driver, decisions, readers and HTTP library, between
//! clients and hostile backends, by simulated time. The plain model is a ledger of who asked what, which backend ran
//! what, and who was told what.

mod backend;
mod client;
mod wire;

use backend::Standing;
use cherrytally::plane::driver::BackendProtocol;
use overland::news::{Backend, ConfigRevision, Gateway, StateSnapshot, ToProxy};
use overland::proxy::Proxy;
use overland::settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Attempts that a route grants.
const ATTEMPTS: usize = 3;

/// What a client sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// It may run once at most.
    pub once: bool,
    /// It is framed so that it has no one reading.
    pub odd: bool,
}

/// What a backend answered, by the stamp.
#[derive(Clone, Debug)]
pub struct Given {
    pub id: String,
    pub status: u16,
    pub body: Vec<u8>,
}

/// All that happened.
#[derive(Default)]
pub struct Ledger {
    pub sent: BTreeMap<String, Sent>,
    pub arrivals: BTreeMap<String, usize>,
    pub runs: BTreeMap<String, usize>,
    pub given: BTreeMap<String, Given>,
    /// Those that were promised not to have run.
    pub promised: HashSet<String>,
    pub answers: usize,
    pub served: usize,
    pub events: usize,
    pub broken: Option<String>,
}

pub struct World {
    pub rng: RefCell<fastrand::Rng>,
    pub ledger: RefCell<Ledger>,
    /// Of a hundred requests so many meet a backend's ill will.
    pub ill: u32,
    pub standing: Vec<Rc<Standing>>,
    pub next: Cell<usize>,
}

impl World {
    pub fn draw(&self, below: usize) -> usize {
        self.rng.borrow_mut().usize(0..below.max(1))
    }

    pub fn chance(&self, of_hundred: u32) -> bool {
        self.rng.borrow_mut().u32(0..100) < of_hundred
    }

    pub fn id(&self, kind: &str) -> String {
        self.next.set(self.next.get() + 1);
        format!("{kind}{}", self.next.get())
    }

    pub fn event(&self) {
        self.ledger.borrow_mut().events += 1;
    }

    pub fn broken(&self, what: String) {
        self.ledger.borrow_mut().broken.get_or_insert(what);
    }

    /// A backend has begun to work on a request.
    pub fn ran(&self, id: &str, method: &str, path: &str, body: Option<&[u8]>, tenant: &str) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.events += 1;
        let runs = ledger.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        let Some(sent) = ledger.sent.get(id).cloned() else {
            ledger.broken.get_or_insert(format!("UNASKED: {id:?} runs, {method} {path}"));
            return;
        };
        let body_differs = body.is_some_and(|body| body != sent.body);
        if !sent.odd && ((sent.method, sent.path.as_str()) != (method, path) || body_differs)
            || tenant != "t1"
        {
            ledger.broken.get_or_insert(format!("UNASKED: {id} changed: {method} {path} of {tenant:?}"));
        }
        if sent.once && runs > 1 {
            ledger.broken.get_or_insert(format!("TWICE: {id} runs {runs} times"));
        }
        if sent.once && ledger.promised.contains(id) {
            ledger.broken.get_or_insert(format!("REFUSED: {id} runs after the promise"));
        }
    }

    pub fn arrived(&self, id: &str) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.events += 1;
        let count = ledger.arrivals.entry(id.to_owned()).or_default();
        *count += 1;
        if *count > ATTEMPTS {
            ledger.broken.get_or_insert(format!("BUDGET: {id} arrives {ATTEMPTS} times and more"));
        }
    }

    /// A client has a whole answer to its request.
    pub fn told(&self, id: &str, status: u16, named: Option<&str>, stamp: Option<&str>, body: &[u8]) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.events += 1;
        ledger.answers += 1;
        let given = stamp.and_then(|stamp| ledger.given.get(stamp).cloned());
        let sent = ledger.sent.get(id).cloned();
        let bodiless = sent.as_ref().is_some_and(|sent| sent.method == "HEAD");
        let wrong = match (status, &given) {
            _ if named.is_some_and(|named| named != id) => Some("an answer to another request"),
            (200..=299, None) => Some("a success without a stamp"),
            (_, Some(given)) if given.id != id => Some("an answer to another request"),
            (_, Some(given)) if given.status != status => Some("another status than the backend gave"),
            (200..=299, Some(given)) if !bodiless && given.body != body => {
                Some("another body than the backend gave")
            }
            _ => None,
        };
        if let Some(wrong) = wrong {
            let text = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
            ledger.broken.get_or_insert(format!("MIXED: {id} gets {status}, {wrong}: {given:?} {text:?}"));
        }
        ledger.served += usize::from(status < 300);
        if [408, 421, 429, 503].contains(&status) {
            ledger.promised.insert(id.to_owned());
            let ran = ledger.runs.get(id).copied().unwrap_or(0);
            if sent.is_some_and(|sent| sent.once) && ran > 0 {
                ledger.broken.get_or_insert(format!("REFUSED: {id} gets {status} and has run"));
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

fn news(index: u64, standing: &[Rc<Standing>]) -> ToProxy {
    let backends = standing.iter().filter(|of| of.listed.get()).map(|of| Backend {
        id: of.id.clone(),
        service: "s1".into(),
        address: of.addr.to_string(),
        zone: "a".into(),
        max_concurrency: 4,
        draining: false,
        cold_ms: 0,
        heartbeat_seq: 0,
    });
    let gateway = Gateway { node: "g1".into(), ..Gateway::default() };
    let whole = StateSnapshot {
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
        snapshot: Some(whole),
        leader_contact_age_ms: 0.0,
        request_sent_at: Some(0.0),
        index,
        ..ToProxy::default()
    }
}

/// Plays one history. What broke, if anything did, and how many events, answers and successes it had.
pub fn play(
    seed: u64, speech: impl Fn() -> Rc<dyn BackendProtocol>,
) -> (Option<String>, usize, usize, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = 1 + rng.usize(0..3);
        let addr = |n: usize| SocketAddr::from(([10, 0, 0, n as u8 + 1], 80));
        let mut standing: Vec<_> =
            (0..count).map(|n| Standing::new(format!("i-{n}"), addr(n), true)).collect();
        // One that takes the place of another later, at the same address.
        standing.push(Standing::new("i-new".into(), addr(0), false));
        let ill = [0, 5, 20, 50, 90][rng.usize(0..5)];
        let clients = 1 + rng.usize(0..4);
        let world = Rc::new(World {
            rng: RefCell::new(rng),
            ledger: RefCell::default(),
            ill,
            standing,
            next: Cell::new(0),
        });
        let proxies: Vec<_> = (0..2)
            .map(|_| {
                let of = world.clone();
                let dial = Box::new(move |addr| -> std::pin::Pin<Box<dyn std::future::Future<Output = _>>> {
                    let world = of.clone();
                    Box::pin(async move { backend::connect(world, addr).await })
                });
                let settings = Settings::read(SETTINGS).expect("settings");
                let seed = world.rng.borrow_mut().u64(..);
                Proxy::apart(settings, seed, speech(), dial, news(1, &world.standing)).expect("a proxy")
            })
            .collect();
        let tasks: Vec<_> = (0..clients)
            .map(|_| {
                let proxy = proxies[world.draw(2)].clone();
                tokio::task::spawn_local(client::run(world.clone(), proxy))
            })
            .collect();
        if world.chance(30) {
            // A backend is replaced at the same address, in the middle of it all.
            sleep(Duration::from_millis(world.draw(900) as u64)).await;
            world.standing[0].listed.set(false);
            world.standing[count].listed.set(true);
            proxies.iter().for_each(|proxy| proxy.heard(news(2, &world.standing)));
        }
        if world.chance(30) {
            sleep(Duration::from_millis(world.draw(900) as u64)).await;
            proxies[0].ends();
            sleep(Duration::from_millis(world.draw(1500) as u64)).await;
            proxies[0].ends();
        }
        for task in tasks {
            if task.await.is_err() {
                world.broken("a task panicked".into());
            }
        }
        // What lies in buffers may run still.
        sleep(Duration::from_secs(9)).await;
        let ledger = world.ledger.borrow();
        (ledger.broken.clone(), ledger.events, ledger.answers, ledger.served)
    })
}
