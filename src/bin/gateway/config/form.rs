//! The native configuration format as types. Their doc comments document the keys: the schema, the example and the
//! table of keys are generated from them.

use super::units::{Address, AddressV4, Bytes, Millis};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};

/// Minimum number of descriptors: the reserved ones, and some for clients and backends.
pub const MIN_DESCRIPTORS: usize = 40;
/// Default probe period of cluster members, in ms.
const DEFAULT_PERIOD_MS: f64 = 1000.0;

/// The configuration of one gateway.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Form")]
pub struct NativeConfig {
    /// The gateway's name, stable across restarts.
    #[serde(default)]
    pub name: String,
    /// Seed of the random number generator, in hex; without it each start uses a new random seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(regex(pattern = "^[0-9a-fA-F]{1,16}$"), title = "1 to 16 hex digits")]
    pub seed: Option<String>,
    /// This gateway's zone, one of `zones`.
    #[serde(default = "usual")]
    pub zone: String,
    /// Names of all zones.
    #[serde(default = "usuals")]
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// Names of all kinds of backends.
    #[serde(default = "usuals")]
    pub kinds: Vec<String>,
    /// Addresses to listen on.
    pub listeners: Listeners,
    /// The discovery service, which provides the backend list.
    pub discovery: Discovery,
    /// The quota counter that gateways share; without it each gateway enforces quotas alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counter: Option<Counter>,
    /// The gateways that share the traffic.
    #[serde(default)]
    pub fleet: Fleet,
    /// Messages between gateways over UDP; without this table none are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// Cluster membership of this gateway; without this table it joins no cluster.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster: Option<Cluster>,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Connections to backends.
    #[serde(default)]
    pub servers: Servers,
    /// Attempts of a request, probes, and retry delays for clients.
    #[serde(default)]
    pub retries: Retries,
    /// Units that requests are charged.
    #[serde(default)]
    pub quotas: Quotas,
    /// Penalties that decisions take into account, as shares of the total worth.
    #[serde(default)]
    pub prices: Prices,
    /// Timing and capacity parameters of the site.
    #[serde(default)]
    pub rules: Rules,
    /// Request classes; a request names its class in the first segment of its path.
    #[schemars(length(min = 1))]
    pub classes: Vec<Class>,
    /// Plans of customers; a request names its plan in the `X-Plan` header.
    #[schemars(length(min = 1))]
    pub plans: Vec<Plan>,
    /// The log, written to standard error.
    #[serde(default)]
    pub logs: Logs,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listeners {
    /// Address for clients.
    #[schemars(with = "Address")]
    pub clients: SocketAddr,
    /// Address for operators; without it there is no such listener. Use an address that only operators can reach.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<Address>")]
    pub operators: Option<SocketAddr>,
}

/// The discovery service, which provides the backend list.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Address of the discovery service.
    #[schemars(with = "Address")]
    pub address: SocketAddr,
    /// `push`: discovery sends changes of the list by itself; `ask`: the gateway polls for them.
    #[serde(default)]
    pub mode: Mode,
}

/// How the backend list is updated.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    #[default]
    Push,
    Ask,
}

/// The quota counter that gateways share.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Address of the counter.
    #[schemars(with = "Address")]
    pub address: SocketAddr,
    /// Timeout of a call. After it, requests that wait for the call are let through.
    #[serde(default = "counter_timeout")]
    pub timeout: Millis,
    /// Cost of making one call for each request, as a share of the total worth.
    #[serde(default = "cent")]
    #[schemars(range(min = 0))]
    pub price: f64,
}

/// The gateways that share the traffic.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Number of gateways that share the traffic.
    #[schemars(range(min = 1))]
    pub gateways: u32,
    /// This gateway's index among them, from 0.
    pub position: u32,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet { gateways: 1, position: 0 }
    }
}

/// Messages between gateways over UDP.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// UDP address on which messages are received.
    #[schemars(with = "Address")]
    pub listen: SocketAddr,
    /// Addresses of all gateways, in the order of their positions.
    #[schemars(with = "Vec<Address>")]
    pub addresses: Vec<SocketAddr>,
    /// Address that reaches all gateways at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<Address>")]
    pub broadcast: Option<SocketAddr>,
    /// Maximum number of messages accepted per second.
    #[serde(default = "intake")]
    #[schemars(range(min = 0))]
    pub intake: f64,
}

/// Cluster membership of this gateway.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// Name of the cluster; datagrams of other clusters are dropped.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// UDP address on which datagrams of other members are received.
    #[schemars(with = "AddressV4")]
    pub listen: SocketAddrV4,
    /// Address at which other members reach this gateway; by default `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<AddressV4>")]
    pub advertise: Option<SocketAddrV4>,
    /// Addresses of members to contact in order to join.
    #[serde(default)]
    #[schemars(with = "Vec<AddressV4>", length(max = 64))]
    pub seeds: Vec<SocketAddrV4>,
    /// This gateway's name in the cluster; by default the gateway's `name`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(min = 1, max = 64))]
    pub member: Option<String>,
    /// Interval at which each member probes another one, 20ms to 1m.
    #[serde(default = "period")]
    pub period: Millis,
    /// Timeout of a direct probe, after which other members probe; by default a quarter of the period, at most half.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout: Option<Millis>,
    /// Expected number of members; by default `fleet.gateways`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1025))]
    pub expected: Option<u32>,
}

/// Resource limits of the process.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of file descriptors; the maximum numbers of connections are derived from it.
    #[schemars(range(min = MIN_DESCRIPTORS))]
    pub descriptors: usize,
    /// Maximum memory of the process; the memory for request and response bodies is derived from it.
    pub memory: Bytes,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { descriptors: 1024, memory: Bytes(192 << 20) }
    }
}

/// Connections to backends.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Timeout for connecting to a backend.
    pub connect_timeout: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Millis,
}

impl Default for Servers {
    fn default() -> Self {
        Servers { connect_timeout: Millis(250.0), idle_timeout: Millis(30_000.0) }
    }
}

/// Attempts of a request, probes, and retry delays for clients.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Maximum number of attempts of one request.
    #[schemars(range(min = 1))]
    pub attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether backends may be probed.
    pub probes: bool,
    /// Whether a refusal tells the client when to retry.
    pub retry_after: bool,
    /// Maximum delay that a refusal tells the client to wait.
    pub retry_after_most: Millis,
}

impl Default for Retries {
    fn default() -> Self {
        Retries {
            attempts: 3,
            hedging: false,
            cancel: true,
            probes: true,
            retry_after: true,
            retry_after_most: Millis(2000.0),
        }
    }
}

/// Units that requests are charged.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quotas {
    /// Maximum units of one request.
    #[schemars(range(min = 0))]
    pub units_most: f64,
    /// Whether a request's units are an estimate that its response corrects.
    pub settle: bool,
}

impl Default for Quotas {
    fn default() -> Self {
        Quotas { units_most: 4.0, settle: true }
    }
}

/// Penalties that decisions take into account, as shares of the total worth.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Prices {
    /// For attempts sent to another zone, per first attempt.
    #[schemars(range(min = 0))]
    pub cross_zone: f64,
    /// For backend work that produced no response, per work offered.
    #[schemars(range(min = 0))]
    pub waste: f64,
    /// For probes, per first attempt.
    #[schemars(range(min = 0))]
    pub probe: f64,
    /// For worth of requests that failed after their latency target.
    #[schemars(range(min = 0))]
    pub late_fail: f64,
}

impl Default for Prices {
    fn default() -> Self {
        Prices { cross_zone: 0.01, waste: 0.05, probe: 0.01, late_fail: 0.08 }
    }
}

/// Timing and capacity parameters of the site.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Minimum time between two decisions.
    pub tick: Millis,
    /// A response this long after the deadline still counts as in time.
    pub answer_slack: Millis,
    /// Minimum share of its capacity that a backend has when it starts.
    #[schemars(range(min = 0, max = 1))]
    pub cold_from: f64,
    /// Time after its start by which a backend has reached its full capacity.
    pub warm_up: Millis,
    /// Time within which attempts to a draining backend must have ended.
    pub drain_grace: Millis,
    /// Load under which a cold backend fails, as a multiple of its current capacity.
    #[schemars(range(min = 0))]
    pub fall_multiple: f64,
    /// How long that load must last for the backend to fail.
    pub fall_after: Millis,
    /// Maximum interval between two polls of the backend list, if `discovery.mode` is `ask`.
    pub ask_within: Millis,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            tick: Millis(1.0),
            answer_slack: Millis(8.0),
            cold_from: 0.25,
            warm_up: Millis(10_000.0),
            drain_grace: Millis(1000.0),
            fall_multiple: 3.0,
            fall_after: Millis(1000.0),
            ask_within: Millis(10_000.0),
        }
    }
}

/// A request class.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, as in request paths.
    pub name: String,
    /// Latency target: a response within it earns the full worth.
    pub aim: Millis,
    /// The client's total wait, including its retries.
    pub deadline: Millis,
    /// `safe`: may run any number of times; `keyed`: backends drop duplicates for a time; `unsafe`: at most once.
    pub effect: Effect,
    /// Backends among which duplicates of a keyed request are dropped: `all`, or those of one `zone` or `cell`.
    #[serde(default)]
    pub key_group: Group,
    /// How long a key is remembered after the first attempt that may have been executed.
    #[serde(default = "nothing")]
    pub key_window: Millis,
    /// Value of one request, relative to other classes.
    #[serde(default = "whole")]
    #[schemars(range(min = 0))]
    pub worth: f64,
    /// Share of the worth that a response after the latency target still earns.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub late_worth: f64,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// The backends among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    All,
    #[default]
    Zone,
    Cell,
}

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan, as in requests.
    pub name: String,
    /// Refill rate of the quota's token bucket, in units a second; 0: no rate quota.
    #[schemars(range(min = 0))]
    pub rate: f64,
    /// Size of that token bucket, in units.
    #[schemars(range(min = 0))]
    pub burst: f64,
    /// Maximum attempts in flight within the quota; 0: no such limit.
    #[serde(default)]
    pub attempts_out: u32,
    /// Factor on the worth of the plan's requests.
    #[serde(default = "whole")]
    #[schemars(range(min = 0))]
    pub price: f64,
    /// Share of the worth that a request beyond the quota earns.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub extra_worth: f64,
    /// Share of the worth that an attempt beyond the quota costs.
    #[serde(default = "whole")]
    #[schemars(range(min = 0))]
    pub excess_cost: f64,
    /// Refill rate of the hard limit's token bucket, in units a second; 0: no hard limit.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub ceiling_rate: f64,
    /// Size of the hard limit's token bucket, in units.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub ceiling_burst: f64,
    /// Units by which the hard limit's token bucket may be overdrawn.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub ceiling_slack: f64,
}

/// The log.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// `text`, or `json` with one object per line.
    pub format: LogFormat,
    /// Least severe level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Level,
    /// Levels of single targets, by their names in the log; they override `level`.
    pub levels: BTreeMap<String, Level>,
    /// Whether lines of text contain the time; lines of JSON always do.
    pub times: bool,
    /// How customer numbers are logged: `hash`, with a random key per process, or `plain`.
    pub customers: CustomerIdFormat,
}

impl Default for Logs {
    fn default() -> Self {
        Logs {
            format: LogFormat::Text,
            level: Level::Info,
            levels: BTreeMap::new(),
            times: true,
            customers: CustomerIdFormat::Hash,
        }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Format")]
pub enum LogFormat {
    Text,
    Json,
}

/// A log level.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

/// How customer numbers are logged.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Customers")]
pub enum CustomerIdFormat {
    Hash,
    Plain,
}

/// The default name of a zone or kind.
fn usual() -> String {
    "default".to_owned()
}

fn usuals() -> Vec<String> {
    vec![usual()]
}

fn counter_timeout() -> Millis {
    Millis(80.0)
}

fn cent() -> f64 {
    0.01
}

fn intake() -> f64 {
    60.0
}

pub fn period() -> Millis {
    Millis(DEFAULT_PERIOD_MS)
}

fn nothing() -> Millis {
    Millis(0.0)
}

fn whole() -> f64 {
    1.0
}
