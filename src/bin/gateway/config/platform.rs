//! The platform's configuration format: one JSON file, whose path is in `RELAY_CONFIG`. It has the settings that the
//! platform gives to every gateway, under the simulator's names. Unknown keys are ignored.

use super::form::{
    self, Class, Counter, CustomerIdFormat, Discovery, Fleet, Level, Limits, Listeners, LogFormat, Logs,
    NativeConfig, Peers, Plan, Prices, Quotas, Retries, Rules, Servers,
};
use super::units::{Address, AddressV4, Bytes, Millis};
use super::{check, Config, Endpoints, Registry, Violation};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// A platform file.
#[derive(Deserialize, JsonSchema)]
pub struct PlatformConfig {
    name: Option<String>,
    #[schemars(with = "Address")]
    listen: SocketAddr,
    #[schemars(with = "Option<Address>")]
    operator: Option<SocketAddr>,
    #[schemars(with = "Address")]
    discovery: SocketAddr,
    seed: String,
    limits: PlatformResources,
    #[schemars(with = "Option<Address>")]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    #[schemars(with = "Vec<Address>")]
    peers: Vec<SocketAddr>,
    #[schemars(with = "Option<Address>")]
    peers_all: Option<SocketAddr>,
    #[schemars(with = "Option<Address>")]
    counter: Option<SocketAddr>,
    #[schemars(skip)]
    known: Option<Registry>,
    cluster: Option<PlatformCluster>,
    settings: PlatformSettings,
}

/// The cluster membership. Unknown keys are errors here: this table is an extension of this project.
#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct PlatformCluster {
    name: String,
    #[schemars(with = "AddressV4")]
    listen: SocketAddrV4,
    #[schemars(with = "Option<AddressV4>")]
    advertise: Option<SocketAddrV4>,
    #[serde(default)]
    #[schemars(with = "Vec<AddressV4>")]
    seeds: Vec<SocketAddrV4>,
    member: Option<String>,
    period_ms: Option<f64>,
    timeout_ms: Option<f64>,
    expected: Option<u32>,
}

/// What the process may use of the machine.
#[derive(Deserialize, JsonSchema)]
struct PlatformResources {
    sockets: usize,
    memory_mb: usize,
}

/// The settings of the decision module, and of connections.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct PlatformSettings {
    balancers: u32,
    position: u32,
    locality: u32,
    zones: Vec<String>,
    kinds: Vec<String>,
    granularity_ms: f64,
    membership_mode: PlatformMode,
    categories: Vec<PlatformClass>,
    tiers_of_service: Vec<PlatformPlan>,
    domain: PlatformDomain,
    limits: PlatformLimits,
    penalties: PlatformPenalties,
    rules: PlatformRules,
}

/// How the backend list is updated.
#[derive(Deserialize, JsonSchema, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum PlatformMode {
    Push,
    Ask,
}

/// A request class.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct PlatformClass {
    name: String,
    aim_ms: f64,
    give_up_ms: f64,
    value: f64,
    late_worth: f64,
    effect: PlatformEffect,
    group: PlatformGroup,
    window_ms: f64,
}

/// Whether a request may be executed more than once.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum PlatformEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

/// The backends among which duplicates of a keyed request are dropped.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum PlatformGroup {
    All,
    Zone,
    Cell,
}

/// A customer plan.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct PlatformPlan {
    name: String,
    refill: f64,
    store_size: f64,
    max_out: u32,
    pays: f64,
    extra_worth: f64,
    excess_cost: f64,
    cap_rate: f64,
    cap_depth: f64,
    ceiling_slack: f64,
}

/// The quota counter, the units of requests, and messages between gateways.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct PlatformDomain {
    may_count: bool,
    counter_timeout_ms: f64,
    count_fee: f64,
    units_top: f64,
    trued_up: bool,
    peer_intake: f64,
}

/// What the gateway may do, and timeouts of connections.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct PlatformLimits {
    try_limit: u32,
    may_duplicate: bool,
    cancel: bool,
    probing: bool,
    peers: bool,
    retry_after: bool,
    max_retry_after_ms: f64,
    connect_timeout_ms: f64,
    idle_close_ms: f64,
}

/// What unwanted results cost.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct PlatformPenalties {
    cross_zone: f64,
    waste: f64,
    probe: f64,
    late_fail: f64,
}

/// Timing and capacity parameters of the site.
#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct PlatformRules {
    answer_slack_ms: f64,
    cold_from: f64,
    warm_up_ms: f64,
    drain_grace_ms: f64,
    fall_multiple: f64,
    fall_ms: f64,
    ask_within_ms: f64,
}

/// Keys of the native format and the corresponding keys of the platform format.
const KEY_NAMES: [(&str, &str); 19] = [
    ("listeners.clients", "listen"),
    ("listeners.operators", "operator"),
    ("limits.descriptors", "limits.sockets"),
    ("fleet.gateways", "settings.balancers"),
    ("fleet.position", "settings.position"),
    ("counter.timeout", "settings.domain.counter-timeout-ms"),
    ("peers.intake", "settings.domain.peer-intake"),
    ("rules.tick", "settings.granularity-ms"),
    ("rules.warm_up", "settings.rules.warm-up-ms"),
    ("servers.connect_timeout", "settings.limits.connect-timeout-ms"),
    ("servers.idle_timeout", "settings.limits.idle-close-ms"),
    ("retries.attempts", "settings.limits.try-limit"),
    ("retries.retry_after_most", "settings.limits.max-retry-after-ms"),
    ("cluster.period", "cluster.period_ms"),
    ("cluster.timeout", "cluster.timeout_ms"),
    ("peers.listen", "peer_listen"),
    ("peers.addresses", "peers"),
    ("classes", "settings.categories"),
    ("plans", "settings.tiers-of-service"),
];

/// The path in the platform format of a key of the native format.
fn platform_path(path: &str) -> String {
    let matched =
        KEY_NAMES.iter().find_map(|(native, platform)| Some((path.strip_prefix(native)?, platform)));
    let (rest, platform) =
        matched.filter(|(rest, _)| rest.is_empty() || rest.starts_with('[')).unwrap_or((path, &""));
    format!("{platform}{}", rest.replace(".deadline", ".give-up-ms"))
}

/// The key of the settings object; only platform files have it.
pub const SETTINGS_KEY: &str = "settings";

/// Parses and checks a platform file. An error is one line that names the first invalid key.
pub fn parse(text: &str) -> Result<Config, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file: PlatformConfig = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| format!("configuration: {}: {}", e.path(), e.inner()))?;
    json.end().map_err(|e| format!("configuration: {e}"))?;
    let mut raw: serde_json::Value = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
    // The backend list is long, and not compared on a reload.
    if let Some(raw) = raw.as_object_mut() {
        raw.remove("known");
    }
    let native = file.to_native();
    if let Some(violation) = file.check(&native).first() {
        return Err(format!("configuration: {violation}"));
    }
    file.into_config(native, raw)
}

/// Parses a platform file and returns all its violations.
pub fn check_value(
    value: serde_json::Value,
) -> Result<Vec<Violation>, serde_path_to_error::Error<serde_json::Error>> {
    let file: PlatformConfig = serde_path_to_error::deserialize(value)?;
    Ok(file.check(&file.to_native()))
}

impl PlatformConfig {
    /// All violations, with the paths of the platform format.
    fn check(&self, native: &NativeConfig) -> Vec<Violation> {
        let settings = &self.settings;
        let mut violations = Vec::new();
        let mut report = |path: &str, message: &str| violations.push(Violation::new(path, message));
        // The native format cannot express these: its zone is a name, and its counter and peers are optional tables.
        if !check::TIME_RANGE_MS.contains(&settings.domain.counter_timeout_ms) {
            report("settings.domain.counter-timeout-ms", check::OUT_OF_RANGE);
        }
        if !check::TIME_RANGE_MS.contains(&settings.domain.peer_intake) {
            report("settings.domain.peer-intake", check::OUT_OF_RANGE);
        }
        if settings.locality as usize >= settings.zones.len() {
            report("settings.locality", "must be an index into settings.zones");
        }
        if settings.domain.may_count && self.counter.is_none() {
            report("counter", "missing, though settings.domain.may-count is true");
        }
        if settings.limits.peers
            && (self.peer_listen.is_none() || self.peers.len() != settings.balancers as usize)
        {
            report("peers", "peer_listen and one address for each gateway are required");
        }
        // The counter's timeout was checked above.
        let common = check::check_native(native, false).into_iter();
        violations.extend(
            common
                .map(|violation| violation.map_paths(platform_path))
                .filter(|violation| !violation.path_ends_with("counter-timeout-ms")),
        );
        violations
    }

    fn into_config(self, native: NativeConfig, raw: serde_json::Value) -> Result<Config, String> {
        let settings = &self.settings;
        let endpoints = Endpoints {
            discovery: self.discovery,
            counter: self.counter,
            counter_timeout: Duration::from_secs_f64(settings.domain.counter_timeout_ms / 1000.0),
        };
        let mut config = Config::from_native(native, raw)?;
        // A platform file may have two zones of one name, so the index counts.
        config.settings.zone = settings.locality;
        config.endpoints = endpoints;
        config.initial_registry = self.known;
        config.strict = false;
        Ok(config)
    }

    /// Converts to the native format.
    fn to_native(&self) -> NativeConfig {
        let settings = &self.settings;
        let peers = self.peer_listen.filter(|_| settings.limits.peers).map(|listen| Peers {
            listen,
            addresses: self.peers.clone(),
            broadcast: self.peers_all,
            intake: settings.domain.peer_intake,
        });
        let counter = self.counter.filter(|_| settings.domain.may_count).map(|address| Counter {
            address,
            timeout: Millis(settings.domain.counter_timeout_ms),
            price: settings.domain.count_fee,
        });
        NativeConfig {
            name: self.name.clone().unwrap_or_default(),
            seed: Some(self.seed.clone()),
            zone: settings.zones.get(settings.locality as usize).cloned().unwrap_or_default(),
            zones: settings.zones.clone(),
            kinds: settings.kinds.clone(),
            listeners: Listeners { clients: self.listen, operators: self.operator },
            discovery: Discovery {
                address: self.discovery,
                mode: match settings.membership_mode {
                    PlatformMode::Push => form::Mode::Push,
                    PlatformMode::Ask => form::Mode::Ask,
                },
            },
            counter,
            fleet: Fleet { gateways: settings.balancers, position: settings.position },
            peers,
            cluster: self.cluster.as_ref().map(PlatformCluster::to_native),
            limits: Limits {
                descriptors: self.limits.sockets,
                memory: Bytes((self.limits.memory_mb as u64).saturating_mul(1 << 20)),
            },
            servers: Servers {
                connect_timeout: Millis(settings.limits.connect_timeout_ms),
                idle_timeout: Millis(settings.limits.idle_close_ms),
            },
            retries: Retries {
                attempts: settings.limits.try_limit,
                hedging: settings.limits.may_duplicate,
                cancel: settings.limits.cancel,
                probes: settings.limits.probing,
                retry_after: settings.limits.retry_after,
                retry_after_most: Millis(settings.limits.max_retry_after_ms),
            },
            quotas: Quotas { units_most: settings.domain.units_top, settle: settings.domain.trued_up },
            prices: Prices {
                cross_zone: settings.penalties.cross_zone,
                waste: settings.penalties.waste,
                probe: settings.penalties.probe,
                late_fail: settings.penalties.late_fail,
            },
            rules: Rules {
                tick: Millis(settings.granularity_ms),
                answer_slack: Millis(settings.rules.answer_slack_ms),
                cold_from: settings.rules.cold_from,
                warm_up: Millis(settings.rules.warm_up_ms),
                drain_grace: Millis(settings.rules.drain_grace_ms),
                fall_multiple: settings.rules.fall_multiple,
                fall_after: Millis(settings.rules.fall_ms),
                ask_within: Millis(settings.rules.ask_within_ms),
            },
            classes: settings.categories.iter().map(PlatformClass::to_native).collect(),
            plans: settings.tiers_of_service.iter().map(PlatformPlan::to_native).collect(),
            // The platform's log collector adds the times.
            logs: Logs {
                format: LogFormat::Text,
                level: Level::Info,
                levels: BTreeMap::new(),
                times: false,
                customers: CustomerIdFormat::Hash,
            },
        }
    }
}

impl PlatformCluster {
    fn to_native(&self) -> form::Cluster {
        form::Cluster {
            name: self.name.clone(),
            listen: self.listen,
            advertise: self.advertise,
            seeds: self.seeds.clone(),
            member: self.member.clone(),
            period: self.period_ms.map_or_else(form::period, Millis),
            timeout: self.timeout_ms.map(Millis),
            expected: self.expected,
        }
    }
}

impl PlatformClass {
    fn to_native(&self) -> Class {
        Class {
            name: self.name.clone(),
            aim: Millis(self.aim_ms),
            deadline: Millis(self.give_up_ms),
            effect: match self.effect {
                PlatformEffect::ReadLike => form::Effect::Safe,
                PlatformEffect::IdempotencyKey => form::Effect::Keyed,
                PlatformEffect::NonIdempotent => form::Effect::Unsafe,
            },
            key_group: match self.group {
                PlatformGroup::All => form::Group::All,
                PlatformGroup::Zone => form::Group::Zone,
                PlatformGroup::Cell => form::Group::Cell,
            },
            key_window: Millis(self.window_ms),
            worth: self.value,
            late_worth: self.late_worth,
        }
    }
}

impl PlatformPlan {
    fn to_native(&self) -> Plan {
        Plan {
            name: self.name.clone(),
            rate: self.refill,
            burst: self.store_size,
            attempts_out: self.max_out,
            price: self.pays,
            extra_worth: self.extra_worth,
            excess_cost: self.excess_cost,
            ceiling_rate: self.cap_rate,
            ceiling_burst: self.cap_depth,
            ceiling_slack: self.ceiling_slack,
        }
    }
}
