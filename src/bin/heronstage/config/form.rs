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
    /// The gateway's name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Seed of the random numbers, in hex; without it each start draws its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(regex(pattern = "^[0-9a-fA-F]{1,16}$"), title = "1 to 16 hex digits")]
    pub seed: Option<String>,
    /// The zone that this gateway is in, one of `zones`.
    #[serde(default = "usual")]
    pub zone: String,
    /// The names of all zones.
    #[serde(default = "usuals")]
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// The names of all kinds of servers.
    #[serde(default = "usuals")]
    pub kinds: Vec<String>,
    /// Addresses to listen on.
    pub listeners: Listeners,
    /// Where the list of servers comes from.
    pub discovery: Discovery,
    /// The counter that gateways share; without it each holds customers to their quotas alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counter: Option<Counter>,
    /// The gateways that share the work.
    #[serde(default)]
    pub fleet: Fleet,
    /// Short messages among gateways; without it none are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// Membership; without it this gateway is a member of no cluster.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cluster: Option<Cluster>,
    /// What the process may take of the machine.
    #[serde(default)]
    pub limits: Limits,
    /// Connections to servers.
    #[serde(default)]
    pub servers: Servers,
    /// Attempts of one request.
    #[serde(default)]
    pub retries: Retries,
    /// What a request may count.
    #[serde(default)]
    pub quotas: Quotas,
    /// What the site charges, as shares of the result; decisions weigh them.
    #[serde(default)]
    pub prices: Prices,
    /// Figures of the site that decisions keep to.
    #[serde(default)]
    pub rules: Rules,
    /// The classes of requests; a request names one as the first part of its path.
    #[schemars(length(min = 1))]
    pub classes: Vec<Class>,
    /// The plans of customers; a request names one.
    #[schemars(length(min = 1))]
    pub plans: Vec<Plan>,
    /// The log, on standard error.
    #[serde(default)]
    pub logs: Logs,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listeners {
    /// Where clients connect.
    #[schemars(with = "Address")]
    pub clients: SocketAddr,
    /// Where operators call; without it there is no such port. Keep it to a network that only they reach.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<Address>")]
    pub operators: Option<SocketAddr>,
}

/// Where the list of servers comes from.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Where discovery is.
    #[schemars(with = "Address")]
    pub address: SocketAddr,
    /// `push`: the list comes by itself; `ask`: it has to be asked for.
    #[serde(default)]
    pub mode: Mode,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    #[default]
    Push,
    Ask,
}

/// The counter that gateways share.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Where the counter is.
    #[schemars(with = "Address")]
    pub address: SocketAddr,
    /// A call without an answer by then has failed, and what waits for it is let through.
    #[serde(default = "counter_timeout")]
    pub timeout: Millis,
    /// The price of one call a request, as a share of the result.
    #[serde(default = "cent")]
    #[schemars(range(min = 0))]
    pub price: f64,
}

/// The gateways that share the work.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// How many gateways share the work.
    #[schemars(range(min = 1))]
    pub gateways: u32,
    /// This gateway's place among them, from 0.
    pub position: u32,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet { gateways: 1, position: 0 }
    }
}

/// Short messages among gateways.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Where messages come in, over UDP.
    #[schemars(with = "Address")]
    pub listen: SocketAddr,
    /// The addresses of all gateways, in the order of their positions.
    #[schemars(with = "Vec<Address>")]
    pub addresses: Vec<SocketAddr>,
    /// An address that reaches all of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<Address>")]
    pub broadcast: Option<SocketAddr>,
    /// Messages taken in a second at most.
    #[serde(default = "intake")]
    #[schemars(range(min = 0))]
    pub intake: f64,
}

/// Membership among the gateways.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cluster {
    /// The cluster's name; datagrams of others are dropped.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Where other members are heard, over UDP.
    #[schemars(with = "AddressV4")]
    pub listen: SocketAddrV4,
    /// Where the others reach this gateway; by itself `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<AddressV4>")]
    pub advertise: Option<SocketAddrV4>,
    /// Where others may be found.
    #[serde(default)]
    #[schemars(with = "Vec<AddressV4>", length(max = 64))]
    pub seeds: Vec<SocketAddrV4>,
    /// This gateway's name in the cluster; by itself the gateway's `name`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(length(min = 1, max = 64))]
    pub member: Option<String>,
    /// Each member probes another one so often, 20ms to 1m.
    #[serde(default = "period")]
    pub period: Millis,
    /// An unanswered probe goes by way of others after it; by itself a quarter of the period, half of it at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout: Option<Millis>,
    /// How many members there should be; by itself `fleet.gateways`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1025))]
    pub expected: Option<u32>,
}

/// What the process may take of the machine.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Descriptors that the process may hold; places for clients and servers follow from it.
    #[schemars(range(min = MIN_DESCRIPTORS))]
    pub descriptors: usize,
    /// Memory that the process may take; the room for bodies and answers in passing follows from it.
    pub memory: Bytes,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { descriptors: 1024, memory: Bytes(192 << 20) }
    }
}

/// Connections to servers.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// A connection that is not up by then has failed.
    pub connect_timeout: Millis,
    /// A connection that stood idle for so long is closed.
    pub idle_timeout: Millis,
}

impl Default for Servers {
    fn default() -> Self {
        Servers { connect_timeout: Millis(250.0), idle_timeout: Millis(30_000.0) }
    }
}

/// Attempts of one request.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Attempts of one request at most.
    #[schemars(range(min = 1))]
    pub attempts: u32,
    /// Whether two attempts of one request may be out at once.
    pub hedging: bool,
    /// Whether an attempt may be withdrawn.
    pub cancel: bool,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Whether refused clients are told how long to wait.
    pub retry_after: bool,
    /// The longest wait that they are told.
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

/// What a request may count.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quotas {
    /// Units that one request counts at most.
    #[schemars(range(min = 0))]
    pub units_most: f64,
    /// Whether a request's units are a guess that its answer corrects.
    pub settle: bool,
}

impl Default for Quotas {
    fn default() -> Self {
        Quotas { units_most: 4.0, settle: true }
    }
}

/// What the site charges.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Prices {
    /// For attempts that cross zones, per first try.
    #[schemars(range(min = 0))]
    pub cross_zone: f64,
    /// For work of servers that served no answer, per work offered.
    #[schemars(range(min = 0))]
    pub waste: f64,
    /// For probes, per first try.
    #[schemars(range(min = 0))]
    pub probe: f64,
    /// For worth that ended unserved after its aim.
    #[schemars(range(min = 0))]
    pub late_fail: f64,
}

impl Default for Prices {
    fn default() -> Self {
        Prices { cross_zone: 0.01, waste: 0.05, probe: 0.01, late_fail: 0.08 }
    }
}

/// Figures of the site that decisions keep to.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Least time between two decisions.
    pub tick: Millis,
    /// An answer is in time up to this long after the deadline.
    pub answer_slack: Millis,
    /// A server starts at this share of its capacity or above.
    #[schemars(range(min = 0, max = 1))]
    pub cold_from: f64,
    /// And is warm no later than this.
    pub warm_up: Millis,
    /// What is out to a draining server must have ended by then.
    pub drain_grace: Millis,
    /// A cold server sent over this multiple of its present capacity falls over ...
    #[schemars(range(min = 0))]
    pub fall_multiple: f64,
    /// ... after this time.
    pub fall_after: Millis,
    /// Where the list is asked for: the longest time between two askings.
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

/// A class of requests.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as requests state it.
    pub name: String,
    /// Answers within this earn full worth.
    pub aim: Millis,
    /// A client's whole wait, over all its tries.
    pub deadline: Millis,
    /// `safe`: may run any number of times; `keyed`: servers drop repeats for a time; `unsafe`: must not run twice.
    pub effect: Effect,
    /// Which servers drop repeats of a keyed request together: `all`, those of one `zone` or of one `cell`.
    #[serde(default)]
    pub key_group: Group,
    /// For how long after the first attempt that may have run they do.
    #[serde(default = "nothing")]
    pub key_window: Millis,
    /// The worth of one request.
    #[serde(default = "whole")]
    #[schemars(range(min = 0))]
    pub worth: f64,
    /// The share of it that an answer after the aim earns.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub late_worth: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

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
    /// Its name, as requests state it.
    pub name: String,
    /// Units a second that a customer may use; 0: no such quota.
    #[schemars(range(min = 0))]
    pub rate: f64,
    /// Units that a customer may use at once after a rest.
    #[schemars(range(min = 0))]
    pub burst: f64,
    /// Attempts out at once inside the quota; 0: no such quota.
    #[serde(default)]
    pub attempts_out: u32,
    /// Factor on the worth of its requests.
    #[serde(default = "whole")]
    #[schemars(range(min = 0))]
    pub price: f64,
    /// Share of the worth earned beyond the quota.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub extra_worth: f64,
    /// Share of the worth that a try sent beyond the quota costs.
    #[serde(default = "whole")]
    #[schemars(range(min = 0))]
    pub excess_cost: f64,
    /// Units a second of the hard ceiling; 0: there is none.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub ceiling_rate: f64,
    /// Units that the hard ceiling lets through at once after a rest.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub ceiling_burst: f64,
    /// Units by which they may be exceeded.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub ceiling_slack: f64,
}

/// The log.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logs {
    /// `text`, or `json`: one object a line.
    pub format: Format,
    /// What is written at least: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Level,
    /// Other levels for single parts, by their names in the log.
    pub levels: BTreeMap<String, Level>,
    /// Whether each line of text states its time; lines of JSON always do.
    pub times: bool,
    /// How a customer's number is written: `hash`, keyed by each process anew, or `plain`.
    pub customers: Customers,
}

impl Default for Logs {
    fn default() -> Self {
        Logs {
            format: Format::Text,
            level: Level::Info,
            levels: BTreeMap::new(),
            times: true,
            customers: Customers::Hash,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    Text,
    Json,
}

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

#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Customers {
    Hash,
    Plain,
}

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
