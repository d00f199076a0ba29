//! Fault-injection plans in TOML: the fleet, its traffic, the faults with their times, and the expected results.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Maximum number of gateways in a plan. This and the following limits catch typing errors.
pub const MAX_GATEWAYS: usize = 2_000;
const MAX_SERVERS: usize = 1_000;
const MAX_DURATION_S: f64 = 3_600.0;
const MAX_REQUESTS_PER_S: f64 = 100_000.0;
const MAX_STEPS: usize = 1_000;
/// Deadlines of the idempotent and the non-idempotent request class, in ms.
pub const DEADLINES_MS: [f64; 2] = [1_500.0, 2_000.0];
/// Target latency, in ms. Requests that are served within it count as in time.
pub const TARGET_LATENCY_MS: f64 = 600.0;

/// A fault-injection plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan, 1 to 64 characters.
    pub name: String,
    /// Description in one sentence.
    #[serde(default)]
    pub about: String,
    /// Seed of the plan's random numbers.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of the load, in s.
    pub seconds: f64,
    /// Gateways and servers.
    pub fleet: Fleet,
    /// Requests and their clients.
    pub traffic: Traffic,
    /// The shared quota counter.
    #[serde(default)]
    pub counter: Counter,
    /// Faults, each with its time.
    #[serde(default)]
    pub step: Vec<Step>,
    /// Expected results.
    #[serde(default, rename = "hold")]
    pub expectations: Expectations,
}

fn default_seed() -> u64 {
    1
}

/// The gateways and the servers behind them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of servers that are listed from the start.
    pub servers: usize,
    /// Number of servers that are listed only once a step has them join.
    pub spare: usize,
    /// Number of zones. Gateways and servers are assigned to them round-robin.
    pub zones: usize,
    /// Whether the gateways form one cluster.
    pub cluster: bool,
    /// Processor cores of a server.
    pub cores: usize,
    /// Maximum number of requests that a server processes concurrently, per core.
    pub slots_per_core: usize,
    /// Maximum number of requests in a server's queue, per core.
    pub queue_per_core: usize,
    /// Coefficient of variation of the servers' speeds.
    pub speed_cv: f64,
    /// Share of its capacity that a cold server starts with.
    pub cold_from: f64,
    /// Warm-up time of a server, in s.
    pub cold_s: f64,
    /// Load that makes a cold server crash, as a multiple of its current capacity.
    pub fall_multiple: f64,
    /// Window over which the load of a cold server is measured, in ms.
    pub fall_ms: f64,
    /// Maximum number of connections of a server.
    pub connections: usize,
    /// Share of requests that a server without a fault responds to with an error.
    pub errors: f64,
    /// Delay from a change of a server to its publication by discovery, in s.
    pub notice_s: f64,
    /// Limit of file descriptors of a gateway.
    pub descriptors: usize,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            gateways: 3,
            servers: 6,
            spare: 0,
            zones: 1,
            cluster: false,
            cores: 2,
            slots_per_core: 4,
            queue_per_core: 16,
            speed_cv: 0.1,
            cold_from: 0.25,
            cold_s: 5.0,
            fall_multiple: 3.0,
            fall_ms: 1_500.0,
            connections: 800,
            errors: 0.0,
            notice_s: 0.5,
            descriptors: 256,
        }
    }
}

/// The requests and the clients that send them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Requests per second over the whole fleet, without retries.
    pub per_s: f64,
    /// Share of non-idempotent requests, which must not run twice.
    pub orders: f64,
    /// Mean processing time of a request on an idle core, in ms.
    pub work_ms: f64,
    /// Coefficient of variation of the processing time, which is lognormal.
    pub work_cv: f64,
    /// Number of customers, half of them with each of the two service plans.
    pub customers: usize,
    /// Zipf exponent of the customers' request rates.
    pub skew: f64,
    /// Number of gateways over which the requests of a customer are distributed.
    pub spread: usize,
    /// Maximum ratio between the request rates of two gateways.
    pub uneven: f64,
    /// Maximum number of retries of a request.
    pub retries: u32,
    /// Delay before the first retry, in ms. It doubles with each retry.
    pub backoff_ms: f64,
    /// Share of clients that wait for the Retry-After of a refusal.
    pub honour: f64,
    /// Time until the edge router detects that a gateway is down or up again, in s.
    pub notice_s: f64,
    /// Quota of a customer in units per second, for each service plan. 0 means unlimited.
    pub rate: [f64; 2],
    /// Burst size of the quota in seconds of its rate, for each service plan.
    pub burst_s: [f64; 2],
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            per_s: 60.0,
            orders: 0.16,
            work_ms: 60.0,
            work_cv: 0.8,
            customers: 200,
            skew: 0.6,
            spread: 3,
            uneven: 3.0,
            retries: 1,
            backoff_ms: 60.0,
            honour: 0.7,
            notice_s: 1.0,
            rate: [5.0, 30.0],
            burst_s: [5.0, 2.0],
        }
    }
}

/// Settings of the shared quota counter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Number of shards.
    pub parts: usize,
    /// Calls per second that a shard serves.
    pub per_s: f64,
    /// Latency of a call without its time in the queue, in ms.
    pub answer_ms: f64,
    /// Maximum number of calls in the queue of a shard. Further calls are rejected.
    pub queue: usize,
}

impl Default for Counter {
    fn default() -> Self {
        Counter { parts: 2, per_s: 2_000.0, answer_ms: 1.0, queue: 200 }
    }
}

/// A fault and its time. Exactly one of `gateways`, `servers`, `link`, `counter`, `discovery` and `traffic` is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Start time, in s after the start of the load.
    pub at: f64,
    /// Duration, in s. Without it the fault stays until the end of the plan.
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    pub duration_s: Option<f64>,
    /// Fault of gateway processes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateways: Option<GatewayFault>,
    /// Fault of servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub servers: Option<ServerFault>,
    /// Fault of links.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkFault>,
    /// Fault of the quota counter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counter: Option<CounterFault>,
    /// Fault of service discovery.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<DiscoveryFault>,
    /// Change of the traffic.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub traffic: Option<TrafficChange>,
}

/// A fault of gateway processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayFault {
    /// The affected gateways.
    pub who: Selector,
    /// The kind of fault.
    #[serde(rename = "do")]
    pub action: GatewayAction,
    /// Delay between the fault's start at one gateway and at the next, in s.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub every: f64,
}

fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

/// The kinds of gateway faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayAction {
    /// Sends SIGKILL and starts the gateway again when the step ends.
    Kill,
    /// Sends SIGSTOP, and SIGCONT when the step ends.
    Pause,
    /// Sends SIGTERM and starts the gateway again once its process has exited.
    Restart,
    /// Starts a second process beside the first, then sends SIGTERM to the first.
    Upgrade,
    /// Sends SIGHUP. The configuration is unchanged.
    Reload,
}

/// A fault of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerFault {
    /// The affected servers. Spare servers are numbered after the listed ones.
    pub who: Selector,
    /// The kind of fault.
    #[serde(rename = "do")]
    pub action: ServerAction,
    /// Strength of the fault. Its unit depends on the kind.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
    /// Delay between the fault's start at one server and at the next, in s.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub every: f64,
}

/// The kinds of server faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerAction {
    /// The process dies: its connections are reset and new ones are refused. It restarts cold when the step ends.
    Kill,
    /// The machine drops all packets: connections stay open without traffic, and new ones time out.
    Vanish,
    /// Discovery publishes the server as draining at once, and as gone when the step ends.
    Drain,
    /// A spare server starts cold and is listed.
    Join,
    /// Requests take `by` times as long.
    Slow,
    /// A share `by` of requests gets an error at once.
    Errors,
    /// A share `by` of requests is rejected without being processed.
    TurnAway,
    /// A share `by` of requests ends with a connection reset after it was processed.
    Reset,
    /// A share `by` of responses is malformed.
    Spoil,
    /// Load reports claim `by` requests in progress, regardless of the real number.
    Report,
}

/// A fault of links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// The senders.
    pub from: Endpoint,
    /// The receivers.
    pub to: Endpoint,
    /// Whether the fault also applies in the other direction.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub both: bool,
    /// The kind of fault.
    #[serde(rename = "do")]
    pub action: LinkAction,
    /// Strength of the fault in ms, as a share, in bytes per second or in bytes, depending on the kind.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
    /// Maximum jitter on top of a delay, in ms.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub spread: f64,
    /// Growth of a delay, in ms per second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub grows: f64,
}

/// The kinds of link faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkAction {
    /// All packets are dropped: connections stay open without traffic, and new ones time out.
    Cut,
    /// Traffic is delayed by `by` ms plus jitter (`spread`) and growth (`grows`).
    Delay,
    /// A share `by` is lost. Lost datagrams are gone, lost segments of a connection are retransmitted.
    Loss,
    /// A share `by` of datagrams is delivered twice.
    Duplicate,
    /// A share `by` of datagrams is delivered out of order.
    Reorder,
    /// The throughput of each connection is limited to `by` bytes per second.
    Throttle,
    /// A connection is reset after `by` bytes.
    Reset,
    /// New connections are refused.
    Refuse,
    /// New connections time out. Established connections are unaffected.
    Hang,
}

/// A fault of the quota counter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CounterFault {
    /// The kind of fault.
    #[serde(rename = "do")]
    pub action: CounterAction,
    /// Delay in ms, or share of calls.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
}

/// The kinds of counter faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CounterAction {
    /// Replies are delayed by `by` ms.
    Slow,
    /// The counter is unreachable. It is back without totals when the step ends.
    Out,
    /// All totals are lost.
    Flush,
    /// A share `by` of calls is rejected.
    TurnAway,
}

/// A fault of service discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryFault {
    /// The gateways whose discovery agents are affected.
    pub who: Selector,
    /// The kind of fault.
    #[serde(rename = "do")]
    pub action: DiscoveryAction,
    /// Delay, in s.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
}

/// The kinds of discovery faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryAction {
    /// The agent closes its connections and does not respond.
    Silent,
    /// The agent publishes changes `by` s late.
    Late,
    /// The agent publishes no changes from the start of the step on.
    Stale,
}

/// A change of the traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficChange {
    /// The kind of change.
    #[serde(rename = "do")]
    pub action: TrafficAction,
    /// A factor, requests per second or a number of retries, depending on the kind.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
}

/// The kinds of traffic changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficAction {
    /// The request rate is multiplied by `by`.
    Burst,
    /// One additional customer sends `by` requests per second.
    Hot,
    /// Clients send `by` additional retries, and all retries without a delay.
    Storm,
}

/// Expected results of a run, in addition to the rules that are always checked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// Minimum share of requests that were served in the end.
    pub served: f64,
    /// Maximum share of tries that a running gateway accepted but did not respond to.
    pub unanswered: f64,
    /// Maximum share of forwarded units that exceeded quotas.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub beyond_quota: Option<f64>,
    /// Maximum share of tries that were refused within the quota while a server had an idle core.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refused_needlessly: Option<f64>,
    /// Maximum share of servers without requests during a second in which the fleet's utilization is 30% or more.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle: Option<f64>,
    /// Maximum ratio of the busiest server's arrivals to the mean, averaged over windows of a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_to_mean: Option<f64>,
    /// Maximum time from the end of the last step until the service is back at 95% of its level before the first
    /// step, in s.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub recovery_s: Option<f64>,
    /// Time for which a gateway may still send requests to a server after it was notified that the server is draining
    /// or gone, in ms.
    pub drain_grace_ms: f64,
}

impl Default for Expectations {
    fn default() -> Self {
        Expectations {
            served: 0.0,
            unanswered: 0.0,
            beyond_quota: None,
            refused_needlessly: None,
            idle: None,
            max_to_mean: None,
            recovery_s: None,
            drain_grace_ms: 250.0,
        }
    }
}

/// Selects gateways or servers: `all`, `3`, `0-4`, `70%` (a random sample) or `zone 1`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Selector {
    /// All that are listed from the start.
    All,
    /// A range of indices, both ends inclusive.
    Places(usize, usize),
    /// A random sample of this size in percent.
    Percent(f64),
    /// All in a zone.
    Zone(usize),
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Selector::All => f.write_str("all"),
            Selector::Places(first, last) if first == last => write!(f, "{first}"),
            Selector::Places(first, last) => write!(f, "{first}-{last}"),
            Selector::Percent(share) => write!(f, "{share}%"),
            Selector::Zone(zone) => write!(f, "zone {zone}"),
        }
    }
}

impl FromStr for Selector {
    type Err = String;

    fn from_str(text: &str) -> Result<Selector, String> {
        let invalid = || format!("`{text}` is none of: all, 3, 0-4, 70%, zone 1");
        let number = |text: &str| text.trim().parse::<usize>().map_err(|_| invalid());
        Ok(if text == "all" {
            Selector::All
        } else if let Some(zone) = text.strip_prefix("zone ") {
            Selector::Zone(number(zone)?)
        } else if let Some(share) = text.strip_suffix('%') {
            let share = share.parse::<f64>().ok().filter(|share| (0.0..=100.0).contains(share));
            Selector::Percent(share.ok_or_else(invalid)?)
        } else if let Some((first, last)) = text.split_once('-') {
            let (first, last) = (number(first)?, number(last)?);
            if first > last {
                return Err(invalid());
            }
            Selector::Places(first, last)
        } else {
            let index = number(text)?;
            Selector::Places(index, index)
        })
    }
}

impl TryFrom<String> for Selector {
    type Error = String;

    fn try_from(text: String) -> Result<Selector, String> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(who: Selector) -> String {
        who.to_string()
    }
}

/// One end of a link: `gateways`, `servers`, `counter`, `discovery` or `clients`. The first two may be followed by a
/// space and a selector, as in `gateways zone 1`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Endpoint {
    /// The kind of node.
    pub kind: EndpointKind,
    /// The selected nodes of this kind.
    pub who: Selector,
}

/// The kinds of nodes at the end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// Gateways.
    Gateways,
    /// Servers.
    Servers,
    /// The quota counter.
    Counter,
    /// The discovery agents.
    Discovery,
    /// All clients.
    Clients,
}

const KIND_NAMES: [(EndpointKind, &str); 5] = [
    (EndpointKind::Gateways, "gateways"),
    (EndpointKind::Servers, "servers"),
    (EndpointKind::Counter, "counter"),
    (EndpointKind::Discovery, "discovery"),
    (EndpointKind::Clients, "clients"),
];

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name =
            KIND_NAMES.iter().find_map(|(kind, name)| (*kind == self.kind).then_some(*name)).unwrap_or("");
        match self.who {
            Selector::All => f.write_str(name),
            who => write!(f, "{name} {who}"),
        }
    }
}

impl TryFrom<String> for Endpoint {
    type Error = String;

    fn try_from(text: String) -> Result<Endpoint, String> {
        let (name, who) = text.split_once(' ').unwrap_or((&text, "all"));
        let kind = KIND_NAMES.iter().find_map(|(kind, known)| (*known == name).then_some(*kind));
        let kind = kind
            .ok_or_else(|| format!("`{name}` is none of: gateways, servers, counter, discovery, clients"))?;
        let who: Selector = who.parse()?;
        if who != Selector::All && !matches!(kind, EndpointKind::Gateways | EndpointKind::Servers) {
            return Err(format!("`{name}` takes no selector, but has `{who}`"));
        }
        Ok(Endpoint { kind, who })
    }
}

impl From<Endpoint> for String {
    fn from(endpoint: Endpoint) -> String {
        endpoint.to_string()
    }
}

impl Plan {
    /// Parses and validates a plan. The error lists all validation errors, one per line.
    pub fn read(text: &str) -> Result<Plan, String> {
        let plan: Plan = toml::from_str(text).map_err(|e| e.to_string())?;
        let errors = plan.validation_errors();
        if errors.is_empty() {
            Ok(plan)
        } else {
            Err(errors.join("\n"))
        }
    }

    /// Returns all validation errors.
    pub fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |valid: bool, message: &str| {
            if !valid {
                errors.push(message.to_owned());
            }
        };
        let (fleet, traffic, counter) = (&self.fleet, &self.traffic, &self.counter);
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let is_non_negative = |value: f64| value.is_finite() && value >= 0.0;
        require(
            (1..=64).contains(&self.name.len()) && !self.name.contains(['/', '\n']),
            "name: 1 to 64 letters, no /",
        );
        require(
            is_positive(self.seconds) && self.seconds <= MAX_DURATION_S,
            "seconds: above 0, 3600 at most",
        );
        require((1..=MAX_GATEWAYS).contains(&fleet.gateways), "fleet.gateways: 1 to 2000");
        require((1..=MAX_SERVERS).contains(&fleet.servers), "fleet.servers: 1 to 1000");
        require(fleet.spare <= MAX_SERVERS, "fleet.spare: 1000 at most");
        require((1..=16).contains(&fleet.zones), "fleet.zones: 1 to 16");
        require((1..=64).contains(&fleet.cores), "fleet.cores: 1 to 64");
        require((1..=64).contains(&fleet.slots_per_core), "fleet.slots_per_core: 1 to 64");
        require(fleet.queue_per_core <= 10_000, "fleet.queue_per_core: 10000 at most");
        require(is_non_negative(fleet.speed_cv) && fleet.speed_cv <= 1.0, "fleet.speed_cv: 0 to 1");
        require(fleet.cold_from > 0.0 && fleet.cold_from <= 1.0, "fleet.cold_from: above 0, 1 at most");
        require(is_non_negative(fleet.cold_s), "fleet.cold_s: 0 or more");
        require(
            fleet.fall_multiple >= 1.0 && is_positive(fleet.fall_ms),
            "fleet.fall_multiple: 1 or more, fall_ms above 0",
        );
        require((1..=100_000).contains(&fleet.connections), "fleet.connections: 1 to 100000");
        require(is_share(fleet.errors), "fleet.errors: 0 to 1");
        require(is_non_negative(fleet.notice_s), "fleet.notice_s: 0 or more");
        require((256..=1024).contains(&fleet.descriptors), "fleet.descriptors: 256 to 1024");
        require(
            is_positive(traffic.per_s) && traffic.per_s <= MAX_REQUESTS_PER_S,
            "traffic.per_s: above 0, 100000 at most",
        );
        require(is_share(traffic.orders), "traffic.orders: 0 to 1");
        require(
            is_positive(traffic.work_ms) && is_non_negative(traffic.work_cv),
            "traffic.work_ms: above 0, work_cv 0 or more",
        );
        require((1..=1_000_000).contains(&traffic.customers), "traffic.customers: 1 to 1000000");
        require(is_non_negative(traffic.skew) && traffic.skew <= 3.0, "traffic.skew: 0 to 3");
        require((1..=fleet.gateways.max(1)).contains(&traffic.spread), "traffic.spread: 1 to fleet.gateways");
        require(traffic.uneven >= 1.0 && traffic.uneven <= 100.0, "traffic.uneven: 1 to 100");
        require(traffic.retries <= 10, "traffic.retries: 10 at most");
        require(
            is_non_negative(traffic.backoff_ms) && is_share(traffic.honour),
            "traffic.backoff_ms: 0 or more, honour 0 to 1",
        );
        require(is_non_negative(traffic.notice_s), "traffic.notice_s: 0 or more");
        require(
            traffic.rate.iter().chain(&traffic.burst_s).all(|v| is_non_negative(*v)),
            "traffic.rate, burst_s: 0 or more",
        );
        require(
            (1..=64).contains(&counter.parts) && is_positive(counter.per_s),
            "counter.parts: 1 to 64, per_s above 0",
        );
        require(is_non_negative(counter.answer_ms), "counter.answer_ms: 0 or more");
        require(
            is_share(self.expectations.served) && is_share(self.expectations.unanswered),
            "hold.served, unanswered: 0 to 1",
        );
        require(is_non_negative(self.expectations.drain_grace_ms), "hold.drain_grace_ms: 0 or more");
        require(self.step.len() <= MAX_STEPS, "step: 1000 at most");
        for (number, step) in self.step.iter().enumerate() {
            let step_errors = step.validation_errors(self).into_iter();
            errors.extend(step_errors.map(|message| format!("step {}: {message}", number + 1)));
        }
        errors.extend(self.conflicts());
        errors
    }

    /// Returns an error for each pair of overlapping steps whose faults of the same gateway process conflict.
    fn conflicts(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let process_fault = |step: &Step| match &step.gateways {
            Some(fault) if fault.action != GatewayAction::Reload => Some((fault.who, fault.action)),
            _ => None,
        };
        for (first, one) in self.step.iter().enumerate() {
            for (second, other) in self.step.iter().enumerate().skip(first + 1) {
                let (Some(a), Some(b)) = (process_fault(one), process_fault(other)) else { continue };
                // A pause may overlap a restart or an upgrade, but not a kill.
                let both_end_process = a.1 != GatewayAction::Pause && b.1 != GatewayAction::Pause;
                let killed = a.1 == GatewayAction::Kill || b.1 == GatewayAction::Kill;
                if one.overlaps(other) && (both_end_process || killed) && self.may_share_gateway(a.0, b.0) {
                    errors.push(format!(
                        "steps {} and {} overlap and affect the same gateway process",
                        first + 1,
                        second + 1
                    ));
                }
            }
        }
        errors
    }

    /// Whether two selectors can match the same gateway. Samples are drawn per step, so they may always overlap.
    fn may_share_gateway(&self, one: Selector, other: Selector) -> bool {
        let is_fixed = |who: Selector| !matches!(who, Selector::Percent(_));
        let (a, b) = (self.gateways(one, 0), self.gateways(other, 0));
        !is_fixed(one) || !is_fixed(other) || a.iter().any(|index| b.contains(index))
    }

    /// The zone of the gateway or server with this index.
    pub fn zone(&self, index: usize) -> usize {
        index % self.fleet.zones
    }

    /// Returns the indices of the selected gateways. Samples depend on the plan's seed and the index of the step.
    pub fn gateways(&self, who: Selector, step: usize) -> Vec<usize> {
        self.select(who, self.fleet.gateways, self.fleet.gateways, step)
    }

    /// Returns the indices of the selected servers. Only `Selector::Places` selects spare ones.
    pub fn servers(&self, who: Selector, step: usize) -> Vec<usize> {
        self.select(who, self.fleet.servers, self.fleet.servers + self.fleet.spare, step)
    }

    fn select(&self, who: Selector, listed: usize, all: usize, step: usize) -> Vec<usize> {
        match who {
            Selector::All => (0..listed).collect(),
            Selector::Places(first, last) => (first..=last.min(all.saturating_sub(1))).collect(),
            Selector::Zone(zone) => (0..listed).filter(|index| self.zone(*index) == zone).collect(),
            Selector::Percent(share) => {
                use rand::seq::SliceRandom;
                let mut indices: Vec<_> = (0..listed).collect();
                indices.shuffle(&mut self.rng(0x57E9 + step as u64));
                indices.truncate((listed as f64 * share / 100.0).round() as usize);
                indices.sort_unstable();
                indices
            }
        }
    }

    /// Returns the random number generator of a stream, seeded by the plan's seed.
    pub fn rng(&self, stream: u64) -> rand_pcg::Pcg64 {
        use rand::SeedableRng;
        rand_pcg::Pcg64::seed_from_u64(self.seed ^ stream.wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    /// Returns the start of the first step and the end of the last one, in s, or none without steps.
    pub fn fault_window(&self) -> Option<(f64, f64)> {
        let first = self.step.iter().map(|step| step.at).reduce(f64::min)?;
        Some((first, self.step.iter().map(|step| step.end_s(self)).fold(0.0, f64::max)))
    }
}

impl Step {
    /// Returns the time at which the step ends, in s.
    pub fn end_s(&self, plan: &Plan) -> f64 {
        let stagger = self.gateways.as_ref().map_or(0.0, |fault| fault.every * plan.fleet.gateways as f64);
        self.duration_s.map_or_else(
            || if self.is_instantaneous() { self.at + stagger } else { plan.seconds },
            |duration_s| self.at + duration_s + stagger,
        )
    }

    /// Whether the step's fault is a single event without a duration.
    fn is_instantaneous(&self) -> bool {
        let gateways = self.gateways.as_ref().is_some_and(|fault| {
            matches!(fault.action, GatewayAction::Restart | GatewayAction::Upgrade | GatewayAction::Reload)
        });
        let joins = self.servers.as_ref().is_some_and(|fault| fault.action == ServerAction::Join);
        gateways || joins || self.counter.as_ref().is_some_and(|fault| fault.action == CounterAction::Flush)
    }

    fn overlaps(&self, other: &Step) -> bool {
        let end = |step: &Step| step.duration_s.map_or(f64::INFINITY, |duration_s| step.at + duration_s);
        self.at < end(other) && other.at < end(self)
    }

    fn validation_errors(&self, plan: &Plan) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |valid: bool, message: &str| {
            if !valid {
                errors.push(message.to_owned());
            }
        };
        let kinds = [
            self.gateways.is_some(),
            self.servers.is_some(),
            self.link.is_some(),
            self.counter.is_some(),
            self.discovery.is_some(),
            self.traffic.is_some(),
        ];
        require(
            kinds.iter().filter(|is_set| **is_set).count() == 1,
            "exactly one of gateways, servers, link, counter, discovery, traffic is required",
        );
        require(self.at >= 0.0 && self.at <= plan.seconds, "at: within the plan's seconds");
        require(
            self.duration_s.is_none_or(|duration_s| duration_s > 0.0 && duration_s.is_finite()),
            "for: above 0",
        );
        let is_share = |by: f64| by > 0.0 && by <= 1.0;
        let matches_any = |indices: Vec<usize>| !indices.is_empty();
        if let Some(fault) = &self.gateways {
            require(matches_any(plan.gateways(fault.who, 0)), "who: no such gateway");
            require(
                fault.action != GatewayAction::Pause || self.duration_s.is_some(),
                "do: a pause needs a duration, `for`",
            );
            require(fault.every >= 0.0 && fault.every.is_finite(), "every: 0 or more");
        }
        if let Some(fault) = &self.servers {
            require(matches_any(plan.servers(fault.who, 0)), "who: no such server");
            let spare = plan.servers(fault.who, 0).iter().all(|index| *index >= plan.fleet.servers);
            require(spare || fault.action != ServerAction::Join, "who: only spare servers can join");
            require(fault.every >= 0.0 && fault.every.is_finite(), "every: 0 or more");
            match fault.action {
                ServerAction::Slow => require(fault.by >= 1.0, "by: a factor of 1 or more"),
                ServerAction::Errors | ServerAction::TurnAway | ServerAction::Reset | ServerAction::Spoil => {
                    require(is_share(fault.by), "by: a share above 0 and at most 1");
                }
                ServerAction::Report => require(fault.by >= 0.0, "by: 0 or more"),
                _ => require(fault.by == 0.0, "by: not used by this kind of fault"),
            }
        }
        if let Some(fault) = &self.link {
            let endpoint_exists = |endpoint: &Endpoint| match endpoint.kind {
                EndpointKind::Gateways => matches_any(plan.gateways(endpoint.who, 0)),
                EndpointKind::Servers => matches_any(plan.servers(endpoint.who, 0)),
                _ => true,
            };
            require(
                endpoint_exists(&fault.from) && endpoint_exists(&fault.to),
                "from, to: no such gateway or server",
            );
            let gateways = [fault.from.kind, fault.to.kind]
                .iter()
                .filter(|kind| **kind == EndpointKind::Gateways)
                .count();
            require(gateways > 0, "from, to: a link needs a gateway at one end");
            require(gateways < 2 || plan.fleet.cluster, "from, to: gateways are linked only in a cluster");
            let datagrams = gateways == 2;
            match fault.action {
                LinkAction::Cut | LinkAction::Refuse | LinkAction::Hang => {
                    require(fault.by == 0.0, "by: not used by this kind of fault")
                }
                LinkAction::Delay => require(
                    fault.by >= 0.0
                        && fault.by + fault.spread + fault.grows > 0.0
                        && fault.spread >= 0.0
                        && fault.grows >= 0.0,
                    "by, spread, grows: 0 or more, with a delay above 0",
                ),
                LinkAction::Loss => require(is_share(fault.by), "by: a share above 0 and at most 1"),
                LinkAction::Duplicate | LinkAction::Reorder => {
                    require(datagrams, "do: duplicate and reorder apply only to links between gateways");
                    require(is_share(fault.by), "by: a share above 0 and at most 1");
                }
                LinkAction::Throttle | LinkAction::Reset => require(fault.by >= 1.0, "by: 1 byte or more"),
            }
            let needs_connections = matches!(
                fault.action,
                LinkAction::Throttle | LinkAction::Reset | LinkAction::Refuse | LinkAction::Hang
            );
            require(
                !(needs_connections && datagrams),
                "do: throttle, reset, refuse and hang do not apply to links between gateways, which have no connections",
            );
        }
        if let Some(fault) = &self.counter {
            match fault.action {
                CounterAction::Slow => require(fault.by > 0.0, "by: above 0, in ms"),
                CounterAction::TurnAway => require(is_share(fault.by), "by: a share above 0 and at most 1"),
                CounterAction::Out | CounterAction::Flush => {
                    require(fault.by == 0.0, "by: not used by this kind of fault")
                }
            }
        }
        if let Some(fault) = &self.discovery {
            require(matches_any(plan.gateways(fault.who, 0)), "who: no such gateway");
            require(
                (fault.action == DiscoveryAction::Late) == (fault.by > 0.0),
                "by: above 0, in s, for `late`, otherwise not used",
            );
        }
        if let Some(change) = &self.traffic {
            require(change.by > 0.0 && change.by <= 10_000.0, "by: above 0, 10000 at most");
        }
        errors
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(steps: &str) -> Result<Plan, String> {
        Plan::read(&format!(
            "name = \"a\"\nseconds = 10\n[fleet]\ngateways = 6\nservers = 4\nspare = 2\nzones = 2\n[traffic]\n{steps}"
        ))
    }

    #[test]
    fn serialized_plan_parses_to_the_same_plan() {
        let text = "[[step]]\nat = 1\nfor = 2\ngateways = { who = \"70%\", do = \"kill\" }\n\
            [[step]]\nat = 2\nlink = { from = \"gateways zone 1\", to = \"servers 0-2\", do = \"cut\", both = true }";
        let plan = plan(text).unwrap();
        assert_eq!(Plan::read(&toml::to_string(&plan).unwrap()).unwrap(), plan);
        assert_eq!(plan.gateways(Selector::Zone(1), 0), [1, 3, 5]);
        assert_eq!(plan.gateways(Selector::Percent(70.0), 3).len(), 4);
        assert_eq!(plan.gateways(Selector::Percent(70.0), 3), plan.gateways(Selector::Percent(70.0), 3));
        assert_eq!(plan.servers(Selector::Places(3, 9), 0), [3, 4, 5]);
        assert_eq!(plan.fault_window(), Some((1.0, 10.0)));
    }

    #[test]
    fn invalid_plan_is_rejected_with_a_specific_error() {
        for (steps, expected) in [
            ("[[step]]\nat = 1", "exactly one of"),
            ("[[step]]\nat = 11\ncounter = { do = \"out\" }", "within the plan's seconds"),
            ("[[step]]\nat = 1\ngateways = { who = \"9\", do = \"kill\" }", "no such gateway"),
            ("[[step]]\nat = 1\ngateways = { who = \"1\", do = \"pause\" }", "needs a duration"),
            ("[[step]]\nat = 1\nservers = { who = \"1\", do = \"join\" }", "only spare servers"),
            ("[[step]]\nat = 1\nservers = { who = \"1\", do = \"errors\", by = 2 }", "a share above 0"),
            (
                "[[step]]\nat = 1\nlink = { from = \"servers\", to = \"counter\", do = \"cut\" }",
                "a gateway at one end",
            ),
            (
                "[[step]]\nat = 1\nlink = { from = \"gateways\", to = \"gateways\", do = \"cut\" }",
                "only in a cluster",
            ),
            (
                "[[step]]\nat = 1\nlink = { from = \"counter 3\", to = \"gateways\", do = \"cut\" }",
                "takes no selector",
            ),
            ("[[step]]\nat = 1\nlink = { from = \"moon\", to = \"gateways\", do = \"cut\" }", "none of"),
            ("[[step]]\nat = 1\ncolour = 1\ncounter = { do = \"out\" }", "colour"),
            (
                "[[step]]\nat = 1\ngateways = { who = \"0-2\", do = \"kill\" }\n\
                 [[step]]\nat = 2\ngateways = { who = \"2\", do = \"restart\" }",
                "steps 1 and 2",
            ),
        ] {
            let error = plan(steps).unwrap_err();
            assert!(error.contains(expected), "expected {expected:?} for:\n{steps}\n{error}");
        }
        for (from, to) in [("servers = 4", "servers = 0"), ("gateways = 6", "gateways = 0")] {
            let text = "name = \"a\"\nseconds = 10\n[fleet]\ngateways = 6\nservers = 4\n[traffic]\n";
            let error = Plan::read(&text.replace(from, to)).unwrap_err();
            assert!(error.contains("fleet."), "expected an error of the fleet: {error}");
        }
    }

    #[test]
    fn pause_may_overlap_an_upgrade() {
        let text = "[[step]]\nat = 1\ngateways = { who = \"2\", do = \"upgrade\" }\n\
            [[step]]\nat = 1.2\nfor = 1\ngateways = { who = \"2\", do = \"pause\" }";
        plan(text).unwrap();
    }
}
