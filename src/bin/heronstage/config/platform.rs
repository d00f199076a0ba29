//! The platform's own form: one JSON file, which `RELAY_CONFIG` names. It says what the platform says to every
//! gateway, in the simulator's names; keys that it does not know are the platform's affair.

use super::form::{
    self, Class, Counter, Customers, Discovery, Fleet, Form, Format, Level, Limits, Listeners, Logs, Peers,
    Plan, Prices, Quotas, Retries, Rules, Servers,
};
use super::units::{Address, AddressV4, Bytes, Millis};
use super::{check, Config, Fault, Places, Registry};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

#[derive(Deserialize, JsonSchema)]
pub struct File {
    name: Option<String>,
    #[schemars(with = "Address")]
    listen: SocketAddr,
    #[schemars(with = "Option<Address>")]
    operator: Option<SocketAddr>,
    #[schemars(with = "Address")]
    discovery: SocketAddr,
    seed: String,
    limits: Machine,
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
    cluster: Option<WireCluster>,
    settings: Wire,
}

/// Whatever it does not know is a mistake: it is the project's own.
#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct WireCluster {
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

#[derive(Deserialize, JsonSchema)]
struct Machine {
    sockets: usize,
    memory_mb: usize,
}

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct Wire {
    balancers: u32,
    position: u32,
    locality: u32,
    zones: Vec<String>,
    kinds: Vec<String>,
    granularity_ms: f64,
    membership_mode: Mode,
    categories: Vec<WireClass>,
    tiers_of_service: Vec<WirePlan>,
    domain: Domain,
    limits: WireLimits,
    penalties: Penalties,
    rules: WireRules,
}

#[derive(Deserialize, JsonSchema, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum Mode {
    Push,
    Ask,
}

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct WireClass {
    name: String,
    aim_ms: f64,
    give_up_ms: f64,
    value: f64,
    late_worth: f64,
    effect: WireEffect,
    group: WireGroup,
    window_ms: f64,
}

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
enum WireGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct WirePlan {
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

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct Domain {
    may_count: bool,
    counter_timeout_ms: f64,
    count_fee: f64,
    units_top: f64,
    trued_up: bool,
    peer_intake: f64,
}

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct WireLimits {
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

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct Penalties {
    cross_zone: f64,
    waste: f64,
    probe: f64,
    late_fail: f64,
}

#[derive(Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
struct WireRules {
    answer_slack_ms: f64,
    cold_from: f64,
    warm_up_ms: f64,
    drain_grace_ms: f64,
    fall_multiple: f64,
    fall_ms: f64,
    ask_within_ms: f64,
}

/// Where a key of the form stands in the platform's file.
const NAMES: [(&str, &str); 19] = [
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

/// The platform's name of a key.
fn name(path: &str) -> String {
    let named = NAMES.iter().find_map(|(ours, theirs)| Some((path.strip_prefix(ours)?, theirs)));
    let (rest, theirs) =
        named.filter(|(rest, _)| rest.is_empty() || rest.starts_with('[')).unwrap_or((path, &""));
    format!("{theirs}{}", rest.replace(".deadline", ".give-up-ms"))
}

/// The object of settings in a platform's file.
pub const SETTINGS: &str = "settings";

/// Reads a platform's file; an error is one line that names the field.
pub fn parse(text: &str) -> Result<Config, String> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| format!("configuration: {}: {}", e.path(), e.inner()))?;
    json.end().map_err(|e| format!("configuration: {e}"))?;
    let mut raw: serde_json::Value = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
    // The list is long, and of no meaning once it was taken.
    if let Some(raw) = raw.as_object_mut() {
        raw.remove("known");
    }
    let form = file.form();
    if let Some(fault) = file.faults(&form).first() {
        return Err(format!("configuration: {fault}"));
    }
    file.config(form, raw)
}

/// All that is wrong with a file whose keys are whole.
pub fn faults(value: serde_json::Value) -> Result<Vec<Fault>, serde_path_to_error::Error<serde_json::Error>> {
    let file: File = serde_path_to_error::deserialize(value)?;
    Ok(file.faults(&file.form()))
}

impl File {
    /// What is wrong with it, by the platform's names.
    fn faults(&self, form: &Form) -> Vec<Fault> {
        let w = &self.settings;
        let mut faults = Vec::new();
        let mut fault = |path: &str, what: &str| faults.push(Fault::new(path, what));
        // These the form can't say: it has zones by name, and a counter or peers whole or not at all.
        if !check::TIMES.contains(&w.domain.counter_timeout_ms) {
            fault("settings.domain.counter-timeout-ms", check::OUT_OF_RANGE);
        }
        if !check::TIMES.contains(&w.domain.peer_intake) {
            fault("settings.domain.peer-intake", check::OUT_OF_RANGE);
        }
        if w.locality as usize >= w.zones.len() {
            fault("settings.locality", "not a place in settings.zones");
        }
        if w.domain.may_count && self.counter.is_none() {
            fault("counter", "missing, though settings.domain.may-count is true");
        }
        if w.limits.peers && (self.peer_listen.is_none() || self.peers.len() != w.balancers as usize) {
            fault("peers", "one address for each gateway and peer_listen are needed");
        }
        let rest = check::faults(form, false).into_iter();
        faults.extend(rest.map(|fault| fault.named(name)).filter(|fault| !fault.of("counter-timeout-ms")));
        faults
    }

    fn config(self, form: Form, raw: serde_json::Value) -> Result<Config, String> {
        let w = &self.settings;
        let places = Places {
            discovery: self.discovery,
            counter: self.counter,
            patience: Duration::from_secs_f64(w.domain.counter_timeout_ms / 1000.0),
        };
        let mut config = Config::resolve(form, raw)?;
        // Two zones of one name are the platform's affair.
        config.settings.zone = w.locality;
        config.places = places;
        config.known = self.known;
        config.strict = false;
        Ok(config)
    }

    /// What it says as the form that people write.
    fn form(&self) -> Form {
        let w = &self.settings;
        let peers = self.peer_listen.filter(|_| w.limits.peers).map(|listen| Peers {
            listen,
            addresses: self.peers.clone(),
            broadcast: self.peers_all,
            intake: w.domain.peer_intake,
        });
        let counter = self.counter.filter(|_| w.domain.may_count).map(|address| Counter {
            address,
            timeout: Millis(w.domain.counter_timeout_ms),
            price: w.domain.count_fee,
        });
        Form {
            name: self.name.clone().unwrap_or_default(),
            seed: Some(self.seed.clone()),
            zone: w.zones.get(w.locality as usize).cloned().unwrap_or_default(),
            zones: w.zones.clone(),
            kinds: w.kinds.clone(),
            listeners: Listeners { clients: self.listen, operators: self.operator },
            discovery: Discovery {
                address: self.discovery,
                mode: match w.membership_mode {
                    Mode::Push => form::Mode::Push,
                    Mode::Ask => form::Mode::Ask,
                },
            },
            counter,
            fleet: Fleet { gateways: w.balancers, position: w.position },
            peers,
            cluster: self.cluster.as_ref().map(WireCluster::form),
            limits: Limits {
                descriptors: self.limits.sockets,
                memory: Bytes((self.limits.memory_mb as u64).saturating_mul(1 << 20)),
            },
            servers: Servers {
                connect_timeout: Millis(w.limits.connect_timeout_ms),
                idle_timeout: Millis(w.limits.idle_close_ms),
            },
            retries: Retries {
                attempts: w.limits.try_limit,
                hedging: w.limits.may_duplicate,
                cancel: w.limits.cancel,
                probes: w.limits.probing,
                retry_after: w.limits.retry_after,
                retry_after_most: Millis(w.limits.max_retry_after_ms),
            },
            quotas: Quotas { units_most: w.domain.units_top, settle: w.domain.trued_up },
            prices: Prices {
                cross_zone: w.penalties.cross_zone,
                waste: w.penalties.waste,
                probe: w.penalties.probe,
                late_fail: w.penalties.late_fail,
            },
            rules: Rules {
                tick: Millis(w.granularity_ms),
                answer_slack: Millis(w.rules.answer_slack_ms),
                cold_from: w.rules.cold_from,
                warm_up: Millis(w.rules.warm_up_ms),
                drain_grace: Millis(w.rules.drain_grace_ms),
                fall_multiple: w.rules.fall_multiple,
                fall_after: Millis(w.rules.fall_ms),
                ask_within: Millis(w.rules.ask_within_ms),
            },
            classes: w.categories.iter().map(WireClass::form).collect(),
            plans: w.tiers_of_service.iter().map(WirePlan::form).collect(),
            // The platform's own collector states the times.
            logs: Logs {
                format: Format::Text,
                level: Level::Info,
                levels: BTreeMap::new(),
                times: false,
                customers: Customers::Hash,
            },
        }
    }
}

impl WireCluster {
    fn form(&self) -> form::Cluster {
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

impl WireClass {
    fn form(&self) -> Class {
        Class {
            name: self.name.clone(),
            aim: Millis(self.aim_ms),
            deadline: Millis(self.give_up_ms),
            effect: match self.effect {
                WireEffect::ReadLike => form::Effect::Safe,
                WireEffect::IdempotencyKey => form::Effect::Keyed,
                WireEffect::NonIdempotent => form::Effect::Unsafe,
            },
            key_group: match self.group {
                WireGroup::All => form::Group::All,
                WireGroup::Zone => form::Group::Zone,
                WireGroup::Cell => form::Group::Cell,
            },
            key_window: Millis(self.window_ms),
            worth: self.value,
            late_worth: self.late_worth,
        }
    }
}

impl WirePlan {
    fn form(&self) -> Plan {
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
