//! The gateway's configuration: file formats, sources, validation and generated documentation.

mod check;
mod form;
mod guide;
mod platform;
mod source;
mod units;

pub use check::Violation;
pub use form::{CustomerIdFormat, Level, LogFormat, Logs};
pub use guide::{example, keys, schema};
pub use source::{EffectiveConfig, FileSource, Source};

use form::NativeConfig;
use oakfall::membership;
use oakfall::{
    Class, Counter, DedupScope, Idempotency, Limits, LoadReports, Penalties, Plan, Rules, Settings,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::hash::{BuildHasher, RandomState};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::sync::watch::Receiver;

/// Endpoints that a reload may change.
#[derive(Clone, Copy)]
pub struct Endpoints {
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the quota counter.
    pub counter: Option<SocketAddr>,
    /// Timeout of a call to the counter.
    pub counter_timeout: Duration,
}

/// Waits until the predicate holds for the current endpoints.
pub async fn endpoint_changed(
    endpoints: &mut Receiver<Endpoints>, has_changed: impl FnMut(&Endpoints) -> bool,
) {
    if endpoints.wait_for(has_changed).await.is_err() {
        // The sender was dropped: there are no further changes.
        std::future::pending().await
    }
}

/// A valid configuration, of either file format.
pub struct Config {
    /// The gateway's name; empty if none is set.
    pub name: String,
    /// Address of the clients' listener.
    pub listen: SocketAddr,
    /// All keys and their values as loaded, to find changed keys on a reload.
    pub raw: serde_json::Value,
    /// True for the native format: a reload that changes a key that needs a restart is rejected.
    pub strict: bool,
    /// Address of the operators' listener.
    pub operator: Option<SocketAddr>,
    pub endpoints: Endpoints,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum memory of the process, in bytes.
    pub max_memory_bytes: u64,
    /// Address on which messages of other gateways are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all gateways, by position.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all peers.
    pub peer_broadcast: Option<SocketAddr>,
    /// The backend list that a platform file contains.
    pub initial_registry: Option<Registry>,
    /// Settings of the decision module, which refers to classes, plans, zones and kinds by index.
    pub settings: Settings,
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the customers' plans.
    pub plans: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the backend kinds.
    pub kinds: Vec<String>,
    /// Timeout for connecting to a backend.
    pub connect_timeout_ms: f64,
    /// Time after which an idle connection to a backend is closed.
    pub idle_timeout_ms: f64,
    /// Maximum rate of messages accepted from peers, per second.
    pub max_peer_messages_per_s: f64,
    /// The cluster that this gateway joins.
    pub cluster: Option<Cluster>,
    pub logs: Logs,
}

/// This gateway's cluster membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// Address on which datagrams of other members are received.
    pub listen: SocketAddrV4,
    /// The member's settings. An advertised port of 0 stands for the port of the listener; `start` is set when the
    /// member starts.
    pub settings: membership::Settings,
}

impl Cluster {
    /// Whether both are the same member of the same cluster at the same addresses.
    pub fn same(&self, other: &Cluster) -> bool {
        let identity = |c: &Cluster| {
            (c.listen, c.settings.advertise, c.settings.name.clone(), c.settings.cluster.clone())
        };
        identity(self) == identity(other)
    }
}

/// A list of backends, complete or only the changed entries.
#[derive(Debug, Deserialize)]
pub struct Registry {
    pub version: u64,
    /// Whether the list is complete.
    pub full: bool,
    pub servers: Vec<Server>,
}

/// A backend in the list.
#[derive(Debug, Deserialize)]
pub struct Server {
    pub id: String,
    /// Required unless the backend is gone.
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

/// The state of a backend in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Terminating,
    Gone,
}

fn one() -> f64 {
    1.0
}

/// The difference between two configurations.
#[derive(Deserialize, Serialize)]
pub struct Changes {
    /// Paths of the keys that differ.
    pub keys: Vec<String>,
    /// Those of them that take effect only after a restart.
    pub restart: Vec<String>,
}

/// Keys that take effect only after a restart, in the native and in the platform format; true marks the native one.
const RESTART_KEYS: [(&[&str], bool); 2] = [
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
/// Keys of the platform format that are not compared: each file has its own.
const UNTRACKED_KEYS: [&str; 2] = ["seed", "known"];

impl Config {
    /// Converts a valid native configuration.
    fn from_native(config: NativeConfig, raw: serde_json::Value) -> Result<Self, String> {
        let seed = match &config.seed {
            Some(seed) => u64::from_str_radix(seed, 16).map_err(|e| format!("configuration: seed: {e}"))?,
            None => RandomState::new().hash_one(0),
        };
        let cluster = config.cluster.clone().map(|c| convert_cluster(c, &config.name, config.fleet.gateways));
        let counter_timeout_ms = config.counter.as_ref().map_or(0.0, |counter| counter.timeout.0);
        let settings = convert_settings(&config);
        Ok(Config {
            name: config.name,
            listen: config.listeners.clients,
            raw,
            strict: true,
            operator: config.listeners.operators,
            endpoints: Endpoints {
                discovery: config.discovery.address,
                counter: config.counter.map(|counter| counter.address),
                counter_timeout: Duration::from_secs_f64(counter_timeout_ms / 1000.0),
            },
            seed,
            max_descriptors: config.limits.descriptors,
            max_memory_bytes: config.limits.memory.0,
            peer_listen: config.peers.as_ref().map(|peers| peers.listen),
            peer_broadcast: config.peers.as_ref().and_then(|peers| peers.broadcast),
            max_peer_messages_per_s: config.peers.as_ref().map_or(0.0, |peers| peers.intake),
            peers: config.peers.map(|peers| peers.addresses).unwrap_or_default(),
            initial_registry: None,
            settings,
            classes: config.classes.into_iter().map(|c| c.name).collect(),
            plans: config.plans.into_iter().map(|p| p.name).collect(),
            zones: config.zones,
            kinds: config.kinds,
            connect_timeout_ms: config.servers.connect_timeout.0,
            idle_timeout_ms: config.servers.idle_timeout.0,
            cluster,
            logs: config.logs,
        })
    }

    /// The keys that differ in a newer configuration.
    pub fn changes(&self, newer: &Config) -> Changes {
        let mut keys = Vec::new();
        collect_changed_keys("", &self.raw, &newer.raw, &mut keys);
        if !self.strict {
            keys.retain(|key| !UNTRACKED_KEYS.iter().any(|untracked| is_at_or_below(key, untracked)));
        }
        let needs_restart = |key: &str| {
            RESTART_KEYS.iter().any(|(prefixes, strict)| {
                *strict == self.strict && prefixes.iter().any(|prefix| is_at_or_below(key, prefix))
            })
        };
        // Connections to the counter are created only at the start.
        let adds_counter = self.settings.counter.is_none() && newer.settings.counter.is_some();
        let restart =
            keys.iter().filter(|key| needs_restart(key) || adds_counter && is_at_or_below(key, "counter"));
        Changes { restart: restart.cloned().collect(), keys }
    }

    /// Whether the settings differ in a newer configuration. In the platform format the endpoints are not among them.
    pub fn settings_differ(&self, newer: &Config) -> bool {
        if self.strict {
            self.raw != newer.raw
        } else {
            self.platform_settings() != newer.platform_settings()
        }
    }

    /// The settings object of a platform file.
    fn platform_settings(&self) -> &serde_json::Value {
        &self.raw[platform::SETTINGS_KEY]
    }

    /// The reason to reject a newer configuration, if there is one.
    pub fn rejection_reason(&self, newer: &Config, changes: &Changes) -> Option<String> {
        if self.strict {
            let keys = changes.restart.join(", ");
            return Some(format!("{keys}: needs a restart")).filter(|_| !keys.is_empty());
        }
        let (current, new) = (self.platform_settings(), newer.platform_settings());
        if let Some(key) = find_missing_key(current, new) {
            return Some(format!("configuration: settings.{key}: missing"));
        }
        // The backend list and the decision module refer to zones and kinds by index.
        let names_changed = ["zones", "kinds"].iter().any(|key| current[key] != new[key]);
        names_changed
            .then(|| "configuration: settings: a change of zones or kinds needs a restart".to_owned())
    }
}

/// Whether a key is another one or lies below it.
fn is_at_or_below(key: &str, other: &str) -> bool {
    key.strip_prefix(other).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// Collects the keys in which two values differ. A list that differs counts as one key.
fn collect_changed_keys(
    path: &str, current: &serde_json::Value, new: &serde_json::Value, keys: &mut Vec<String>,
) {
    let (serde_json::Value::Object(a), serde_json::Value::Object(b)) = (current, new) else {
        if current != new {
            keys.push(path.to_owned());
        }
        return;
    };
    let all: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    for key in all {
        let null = serde_json::Value::Null;
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        collect_changed_keys(&path, a.get(key).unwrap_or(&null), b.get(key).unwrap_or(&null), keys);
    }
}

/// The path of a key that the new settings lack. Such settings are incomplete, even if the gateway does not need the
/// key.
fn find_missing_key(current: &serde_json::Value, new: &serde_json::Value) -> Option<String> {
    let (serde_json::Value::Object(current), serde_json::Value::Object(new)) = (current, new) else {
        return None;
    };
    current.iter().find_map(|(key, value)| match new.get(key) {
        None => Some(key.clone()),
        Some(new) => find_missing_key(value, new).map(|missing| format!("{key}.{missing}")),
    })
}

/// The settings of the decision module.
fn convert_settings(config: &NativeConfig) -> Settings {
    Settings {
        gateways: config.fleet.gateways,
        position: config.fleet.position,
        zone: config.zones.iter().position(|zone| *zone == config.zone).unwrap_or(0) as u32,
        tick_ms: config.rules.tick.0,
        classes: config.classes.iter().map(convert_class).collect(),
        plans: config.plans.iter().map(convert_plan).collect(),
        counter: config.counter.as_ref().map(|c| Counter { timeout_ms: c.timeout.0, call_cost: c.price }),
        max_units: config.quotas.units_most,
        units_are_estimates: config.quotas.settle,
        limits: Limits {
            max_attempts: config.retries.attempts,
            hedging: config.retries.hedging,
            cancel: config.retries.cancel,
            probes: config.retries.probes,
            peers: config.peers.is_some(),
            retry_after: config.retries.retry_after,
            max_retry_after_ms: config.retries.retry_after_most.0,
        },
        penalties: Penalties {
            cross_zone: config.prices.cross_zone,
            waste: config.prices.waste,
            probe: config.prices.probe,
            late_fail: config.prices.late_fail,
        },
        rules: Rules {
            deadline_grace_ms: config.rules.answer_slack.0,
            cold_capacity: config.rules.cold_from,
            warm_up_ms: config.rules.warm_up.0,
            drain_grace_ms: config.rules.drain_grace.0,
            overload_multiple: config.rules.fall_multiple,
            overload_ms: config.rules.fall_after.0,
            max_poll_interval_ms: config.rules.ask_within.0,
            early_refusal_share: 0.0,
            retry_budget: None,
        },
        // The decision module does not use load reports.
        load_reports: LoadReports::Off,
        list_polled: config.discovery.mode == form::Mode::Ask,
    }
}

fn convert_class(c: &form::Class) -> Class {
    let scope = match c.key_group {
        form::Group::All => DedupScope::All,
        form::Group::Zone => DedupScope::Zone,
        form::Group::Cell => DedupScope::Cell,
    };
    Class {
        // The name that an index belongs to is kept by the tables of the program.
        owner: 0,
        target_ms: c.aim.0,
        deadline_ms: c.deadline.0,
        worth: c.worth,
        late_worth: c.late_worth,
        idempotency: match c.effect {
            form::Effect::Safe => Idempotency::Idempotent,
            form::Effect::Keyed => Idempotency::Keyed { scope, window_ms: c.key_window.0 },
            form::Effect::Unsafe => Idempotency::NonIdempotent,
        },
        // The protocol between clients and gateways has no streamed responses.
        stream: false,
    }
}

fn convert_plan(p: &form::Plan) -> Plan {
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

/// The cluster membership. The gateway's name and the number of gateways are defaults for keys that are not set.
fn convert_cluster(c: form::Cluster, name: &str, gateways: u32) -> Cluster {
    let settings = membership::Settings {
        cluster: c.name,
        name: c.member.unwrap_or_else(|| name.to_owned()),
        advertise: c.advertise.unwrap_or(c.listen),
        start: 0,
        seeds: c.seeds,
        period_ms: c.period.0,
        timeout_ms: c.timeout.map_or(c.period.0 * check::PROBE_TIMEOUT_SHARES.1, |timeout| timeout.0),
        expected: Some(c.expected.unwrap_or(gateways)),
    };
    Cluster { listen: c.listen, settings }
}
