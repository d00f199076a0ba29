//! The configuration: what a gateway is told, read and checked here once.

mod check;
mod form;
mod guide;
mod platform;
mod source;
mod units;

pub use check::Fault;
pub use form::{Customers, Format, Level, Logs};
pub use guide::{example, keys, schema};
pub use source::{Named, Shown, Source};

use cherrytally::membership;
use cherrytally::{
    Class, Counter, DedupScope, Idempotency, Limits, LoadReports, Penalties, Plan, Rules, Settings,
};
use form::Form;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::hash::{BuildHasher, RandomState};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::sync::watch::Receiver;

/// Where discovery and the counter are: a reload may move them.
#[derive(Clone, Copy)]
pub struct Places {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    /// How long a call to the counter may take.
    pub patience: Duration,
}

/// Waits until a place is no longer as it was.
pub async fn moved(places: &mut Receiver<Places>, moved: impl FnMut(&Places) -> bool) {
    if places.wait_for(moved).await.is_err() {
        // Nobody is left to tell of a move.
        std::future::pending().await
    }
}

/// All that a gateway is told when it starts.
pub struct Config {
    /// The gateway's name; empty where none is given.
    pub name: String,
    pub listen: SocketAddr,
    /// All keys as they were given.
    pub raw: serde_json::Value,
    /// Whether it is of the form for people, where a change that needs a restart is turned down.
    pub strict: bool,
    /// Where operators call, if they do.
    pub operator: Option<SocketAddr>,
    pub places: Places,
    pub seed: u64,
    pub sockets: usize,
    pub memory: u64,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub known: Option<Registry>,
    pub settings: Settings,
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub connect_ms: f64,
    pub idle_ms: f64,
    pub peer_intake: f64,
    /// The cluster that this gateway is a member of, if it is one.
    pub cluster: Option<Cluster>,
    pub logs: Logs,
}

/// The gateway as a member of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// Where it listens for the others.
    pub listen: SocketAddrV4,
    /// What the member is told; with port 0 it advertises the port it listens on. Its start is its own.
    pub settings: membership::Settings,
}

impl Cluster {
    /// Whether both are the same member of the same cluster at the same place.
    pub fn same(&self, other: &Cluster) -> bool {
        let who = |c: &Cluster| {
            (c.listen, c.settings.advertise, c.settings.name.clone(), c.settings.cluster.clone())
        };
        who(self) == who(other)
    }
}

/// The list of backends, or the entries that changed.
#[derive(Debug, Deserialize)]
pub struct Registry {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Server>,
}

/// One entry of the list.
#[derive(Debug, Deserialize)]
pub struct Server {
    pub id: String,
    /// Needed for all but those that are gone.
    pub addr: Option<SocketAddr>,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    pub state: ServerState,
    #[serde(default = "one")]
    pub weight: f64,
    #[serde(default)]
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Terminating,
    Gone,
}

fn one() -> f64 {
    1.0
}

/// What a change of the configuration touches.
#[derive(Deserialize, Serialize)]
pub struct Changes {
    /// The keys that differ.
    pub keys: Vec<String>,
    /// Those of them that hold only after a restart.
    pub restart: Vec<String>,
}

/// Keys that hold only after a restart, in the form for people and in the platform's.
const RESTART: [(&[&str], bool); 2] = [
    (
        &[
            "name",
            "seed",
            "zone",
            "zones",
            "kinds",
            "listeners",
            "limits",
            "peers",
            "logs.format",
            "logs.times",
            "logs.customers",
        ],
        true,
    ),
    (
        &[
            "listen",
            "operator",
            "limits",
            "peers",
            "peer_listen",
            "peers_all",
            "settings.zones",
            "settings.kinds",
        ],
        false,
    ),
];
/// Keys of the platform's that each file states anew and that say nothing of a change.
const EACH_START: [&str; 2] = ["seed", "known"];

impl Config {
    /// Makes of a form that has no fault what the gateway's parts are told.
    fn resolve(form: Form, raw: serde_json::Value) -> Result<Self, String> {
        let seed = match &form.seed {
            Some(seed) => u64::from_str_radix(seed, 16).map_err(|e| format!("configuration: seed: {e}"))?,
            None => RandomState::new().hash_one(0),
        };
        let cluster = form.cluster.clone().map(|c| cluster(c, &form.name, form.fleet.gateways));
        let patience = form.counter.as_ref().map_or(0.0, |counter| counter.timeout.0);
        let settings = settings(&form);
        Ok(Config {
            name: form.name,
            listen: form.listeners.clients,
            raw,
            strict: true,
            operator: form.listeners.operators,
            places: Places {
                discovery: form.discovery.address,
                counter: form.counter.map(|counter| counter.address),
                patience: Duration::from_secs_f64(patience / 1000.0),
            },
            seed,
            sockets: form.limits.descriptors,
            memory: form.limits.memory.0,
            peer_listen: form.peers.as_ref().map(|peers| peers.listen),
            peers_all: form.peers.as_ref().and_then(|peers| peers.broadcast),
            peer_intake: form.peers.as_ref().map_or(0.0, |peers| peers.intake),
            peers: form.peers.map(|peers| peers.addresses).unwrap_or_default(),
            known: None,
            settings,
            classes: form.classes.into_iter().map(|c| c.name).collect(),
            plans: form.plans.into_iter().map(|p| p.name).collect(),
            zones: form.zones,
            kinds: form.kinds,
            connect_ms: form.servers.connect_timeout.0,
            idle_ms: form.servers.idle_timeout.0,
            cluster,
            logs: form.logs,
        })
    }

    /// The keys that differ in a configuration read later.
    pub fn changes(&self, later: &Config) -> Changes {
        let mut keys = Vec::new();
        differ("", &self.raw, &later.raw, &mut keys);
        if !self.strict {
            keys.retain(|key| !EACH_START.iter().any(|each| under(key, each)));
        }
        let needs = |key: &str| {
            RESTART.iter().any(|(prefixes, strict)| {
                *strict == self.strict && prefixes.iter().any(|prefix| under(key, prefix))
            })
        };
        // A counter where there was none.
        let counter = self.settings.counter.is_none() && later.settings.counter.is_some();
        let restart = keys.iter().filter(|key| needs(key) || counter && under(key, "counter"));
        Changes { restart: restart.cloned().collect(), keys }
    }

    /// Whether a configuration read later brings other settings: an address that moved alone brings none.
    pub fn retunes(&self, later: &Config) -> bool {
        if self.strict {
            self.raw != later.raw
        } else {
            self.platform_settings() != later.platform_settings()
        }
    }

    /// The settings as the platform's file states them.
    fn platform_settings(&self) -> &serde_json::Value {
        &self.raw[platform::SETTINGS]
    }

    /// Why a configuration read later can't be taken, if it can't.
    pub fn turns_down(&self, later: &Config, changes: &Changes) -> Option<String> {
        if self.strict {
            let keys = changes.restart.join(", ");
            return Some(format!("{keys}: needs a restart")).filter(|_| !keys.is_empty());
        }
        let (now, then) = (self.platform_settings(), later.platform_settings());
        if let Some(key) = lacks(now, then) {
            return Some(format!("configuration: settings.{key}: missing"));
        }
        // The list in hand and the module know zones and kinds by their places.
        let places = ["zones", "kinds"].iter().any(|key| now[key] != then[key]);
        places.then(|| "configuration: settings: other zones or kinds need a restart".to_owned())
    }
}

/// Whether a key is another one or stands below it.
fn under(key: &str, other: &str) -> bool {
    key.strip_prefix(other).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// Collects the keys in which two values differ; lists count whole.
fn differ(at: &str, now: &serde_json::Value, later: &serde_json::Value, keys: &mut Vec<String>) {
    let (serde_json::Value::Object(a), serde_json::Value::Object(b)) = (now, later) else {
        if now != later {
            keys.push(at.to_owned());
        }
        return;
    };
    let all: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    for key in all {
        let none = serde_json::Value::Null;
        let at = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
        differ(&at, a.get(key).unwrap_or(&none), b.get(key).unwrap_or(&none), keys);
    }
}

/// Checks that settings read later hold every key that these do: ones that lack a key are broken, even if the
/// gateway could do without it.
fn lacks(raw: &serde_json::Value, later: &serde_json::Value) -> Option<String> {
    let (serde_json::Value::Object(raw), serde_json::Value::Object(later)) = (raw, later) else {
        return None;
    };
    raw.iter().find_map(|(key, value)| match later.get(key) {
        None => Some(key.clone()),
        Some(later) => lacks(value, later).map(|lacking| format!("{key}.{lacking}")),
    })
}

/// What the decision module is told.
fn settings(form: &Form) -> Settings {
    Settings {
        gateways: form.fleet.gateways,
        position: form.fleet.position,
        zone: form.zones.iter().position(|zone| *zone == form.zone).unwrap_or(0) as u32,
        tick_ms: form.rules.tick.0,
        classes: form.classes.iter().map(class).collect(),
        plans: form.plans.iter().map(plan).collect(),
        counter: form.counter.as_ref().map(|c| Counter { timeout_ms: c.timeout.0, call_cost: c.price }),
        max_units: form.quotas.units_most,
        units_are_estimates: form.quotas.settle,
        limits: Limits {
            max_attempts: form.retries.attempts,
            hedging: form.retries.hedging,
            cancel: form.retries.cancel,
            probes: form.retries.probes,
            peers: form.peers.is_some(),
            retry_after: form.retries.retry_after,
            max_retry_after_ms: form.retries.retry_after_most.0,
        },
        penalties: Penalties {
            cross_zone: form.prices.cross_zone,
            waste: form.prices.waste,
            probe: form.prices.probe,
            late_fail: form.prices.late_fail,
        },
        rules: Rules {
            deadline_grace_ms: form.rules.answer_slack.0,
            cold_capacity: form.rules.cold_from,
            warm_up_ms: form.rules.warm_up.0,
            drain_grace_ms: form.rules.drain_grace.0,
            overload_multiple: form.rules.fall_multiple,
            overload_ms: form.rules.fall_after.0,
            max_poll_interval_ms: form.rules.ask_within.0,
            early_refusal_share: 0.0,
            retry_budget: None,
        },
        // The module reads no load reports, so none are taken in.
        load_reports: LoadReports::Off,
        list_polled: form.discovery.mode == form::Mode::Ask,
    }
}

fn class(c: &form::Class) -> Class {
    let group = match c.key_group {
        form::Group::All => DedupScope::All,
        form::Group::Zone => DedupScope::Zone,
        form::Group::Cell => DedupScope::Cell,
    };
    Class {
        target_ms: c.aim.0,
        deadline_ms: c.deadline.0,
        worth: c.worth,
        late_worth: c.late_worth,
        idempotency: match c.effect {
            form::Effect::Safe => Idempotency::Idempotent,
            form::Effect::Keyed => Idempotency::Keyed { scope: group, window_ms: c.key_window.0 },
            form::Effect::Unsafe => Idempotency::NonIdempotent,
        },
        // The protocol between clients and gateways has no streamed answers.
        stream: false,
    }
}

fn plan(p: &form::Plan) -> Plan {
    Plan {
        rate: p.rate,
        burst: p.burst,
        max_in_flight: p.attempts_out,
        worth_factor: p.price,
        excess_worth: p.extra_worth,
        excess_cost: p.excess_cost,
        ceiling_rate: p.ceiling_rate,
        ceiling_burst: p.ceiling_burst,
        ceiling_slack: p.ceiling_slack,
    }
}

/// The member of a cluster; the gateway's own name and the number of gateways stand elsewhere in the form.
fn cluster(c: form::Cluster, name: &str, gateways: u32) -> Cluster {
    let settings = membership::Settings {
        cluster: c.name,
        name: c.member.unwrap_or_else(|| name.to_owned()),
        advertise: c.advertise.unwrap_or(c.listen),
        start: 0,
        seeds: c.seeds,
        period_ms: c.period.0,
        timeout_ms: c.timeout.map_or(c.period.0 * check::TIMEOUT_OF_PERIOD.1, |timeout| timeout.0),
        expected: Some(c.expected.unwrap_or(gateways)),
    };
    Cluster { listen: c.listen, settings }
}
