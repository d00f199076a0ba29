//! Plans of faults: the fleet, its traffic, what goes wrong and when, and what must hold. TOML, one format for all
//! that plays them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Most gateways of a fleet, servers of a fleet, seconds of a run and requests a second: a plan past these is a slip.
pub const GATEWAYS_MOST: usize = 2_000;
const SERVERS_MOST: usize = 1_000;
const SECONDS_MOST: f64 = 3_600.0;
const RATE_MOST: f64 = 100_000.0;
const STEPS_MOST: usize = 1_000;
/// Deadlines of the two classes, in ms, from the site's page.
pub const DEADLINES_MS: [f64; 2] = [1_500.0, 2_000.0];
/// An answer within this earns its whole worth, in ms.
pub const AIM_MS: f64 = 600.0;

/// What is played.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What it asks, in a sentence.
    #[serde(default)]
    pub about: String,
    /// All chance comes from it.
    #[serde(default = "seed")]
    pub seed: u64,
    /// How long requests come, in seconds.
    pub seconds: f64,
    /// The gateways and the servers.
    pub fleet: Fleet,
    /// The requests.
    pub traffic: Traffic,
    /// The shared counter.
    #[serde(default)]
    pub counter: Counter,
    /// What goes wrong.
    #[serde(default)]
    pub step: Vec<Step>,
    /// What must hold.
    #[serde(default)]
    pub hold: Hold,
}

fn seed() -> u64 {
    1
}

/// The gateways and the servers behind them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Gateways.
    pub gateways: usize,
    /// Servers listed from the start.
    pub servers: usize,
    /// Servers that run but are not listed until a step has them join.
    pub spare: usize,
    /// Zones; gateways and servers are dealt out to them in turn.
    pub zones: usize,
    /// Gateways are members of one cluster.
    pub cluster: bool,
    /// Processor cores of a server.
    pub cores: usize,
    /// Requests in work at a server at most, for each core.
    pub slots_per_core: usize,
    /// Requests that wait at a server at most, for each core.
    pub queue_per_core: usize,
    /// Spread of the servers' speed (coefficient of variation).
    pub speed_cv: f64,
    /// A server begins at this share of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after so long, in s.
    pub cold_s: f64,
    /// A cold server that is sent this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... within so long falls over, in ms.
    pub fall_ms: f64,
    /// Connections that a server holds.
    pub connections: usize,
    /// Share of answers that are errors at any time.
    pub errors: f64,
    /// Time from an event to discovery's word of it, in s.
    pub notice_s: f64,
    /// Descriptors that a gateway may hold.
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

/// The requests and those who make them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// First tries a second over the whole fleet.
    pub per_s: f64,
    /// Share of requests that must not run twice.
    pub orders: f64,
    /// Mean work of a request on an idle core, in ms.
    pub work_ms: f64,
    /// Its spread (coefficient of variation, lognormal).
    pub work_cv: f64,
    /// Customers, half of them of each plan.
    pub customers: usize,
    /// How unequal customers are: Zipf's exponent.
    pub skew: f64,
    /// Gateways that a customer comes through.
    pub spread: usize,
    /// How unequal gateways are: the busiest gets so many times what the least one does.
    pub uneven: f64,
    /// Tries after the first, at most.
    pub retries: u32,
    /// Wait before such a try, in ms, doubled with each.
    pub backoff_ms: f64,
    /// Share of clients that wait as long as a refusal says.
    pub honour: f64,
    /// The front notices after so long that a gateway is dead or back, in s.
    pub notice_s: f64,
    /// Units a second of a customer's quota, for each plan; 0 for none.
    pub rate: [f64; 2],
    /// Seconds of the rate that the store holds, for each plan.
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

/// The shared counter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Parts that it lies on.
    pub parts: usize,
    /// Calls a second that a part serves.
    pub per_s: f64,
    /// Time of an answer beside its turn, in ms.
    pub answer_ms: f64,
    /// Calls that wait at a part at most; more are turned away.
    pub queue: usize,
}

impl Default for Counter {
    fn default() -> Self {
        Counter { parts: 2, per_s: 2_000.0, answer_ms: 1.0, queue: 200 }
    }
}

/// One thing that goes wrong. Exactly one of the kinds stands in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, in s from the first request.
    pub at: f64,
    /// For how long, in s; without it to the end.
    #[serde(rename = "for", skip_serializing_if = "Option::is_none")]
    pub lasts: Option<f64>,
    /// Gateways as processes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateways: Option<OnGateways>,
    /// Servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub servers: Option<OnServers>,
    /// Links.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link: Option<OnLink>,
    /// The counter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counter: Option<OnCounter>,
    /// Discovery.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<OnDiscovery>,
    /// The requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub traffic: Option<OnTraffic>,
}

/// What happens to gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnGateways {
    /// Which.
    pub who: Who,
    /// What.
    #[serde(rename = "do")]
    pub act: GatewayAct,
    /// Time between one and the next, in s.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub every: f64,
}

fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

/// What can happen to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayAct {
    /// SIGKILL; started again when the step ends.
    Kill,
    /// SIGSTOP; let go when the step ends.
    Pause,
    /// SIGTERM, and started again once it has ended.
    Restart,
    /// A second process beside it, then SIGTERM to the first.
    Upgrade,
    /// SIGHUP, with the same configuration.
    Reload,
}

/// What happens to servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnServers {
    /// Which; places past the fleet's own are the spare ones.
    pub who: Who,
    /// What.
    #[serde(rename = "do")]
    pub act: ServerAct,
    /// How much: a factor or a share, by what is done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
    /// Time between one and the next, in s.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub every: f64,
}

/// What can happen to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerAct {
    /// The process dies: connections are reset, new ones refused. It is back cold when the step ends.
    Kill,
    /// The machine vanishes: all is silent, and new connections never come up.
    Vanish,
    /// It finishes what it has; discovery tells so at once, and that it is gone when the step ends.
    Drain,
    /// A spare one is listed, and starts cold.
    Join,
    /// It takes `by` times as long.
    Slow,
    /// A share `by` of requests is answered with an error at once.
    Errors,
    /// A share `by` of requests is turned away unseen.
    TurnAway,
    /// A share `by` of requests ends in a reset after it ran.
    Reset,
    /// A share `by` of answers can't be read.
    Spoil,
    /// Its load reports say `by` requests in hand, whatever is true.
    Report,
}

/// What happens to links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnLink {
    /// Those who send.
    pub from: End,
    /// Those who would hear.
    pub to: End,
    /// The other direction as well.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub both: bool,
    /// What.
    #[serde(rename = "do")]
    pub act: LinkAct,
    /// How much: ms, a share, bytes a second or bytes, by what is done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
    /// For a delay: spread beside it, in ms.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub spread: f64,
    /// For a delay: what it grows by, in ms a second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub grows: f64,
}

/// What can happen to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkAct {
    /// Nothing passes. Connections stay up and silent, and new ones never come up.
    Cut,
    /// All comes `by` ms later, with `spread` and `grows`.
    Delay,
    /// A share `by` is lost: of datagrams for good, of a connection's pieces until they are sent again.
    Loss,
    /// A share `by` of datagrams comes twice.
    Duplicate,
    /// A share `by` of datagrams comes after later ones.
    Reorder,
    /// `by` bytes a second pass, for each connection.
    Throttle,
    /// A connection is reset once `by` bytes have passed.
    Reset,
    /// New connections are reset as they come up.
    Refuse,
    /// New connections never come up; those that are up go on.
    Hang,
}

/// What happens to the counter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnCounter {
    /// What.
    #[serde(rename = "do")]
    pub act: CounterAct,
    /// How much.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
}

/// What can happen to the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CounterAct {
    /// Each answer comes `by` ms later.
    Slow,
    /// It is gone; back empty when the step ends.
    Out,
    /// All counts are forgotten at once.
    Flush,
    /// A share `by` of calls is turned away.
    TurnAway,
}

/// What happens to discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnDiscovery {
    /// The gateways whose agent it is.
    pub who: Who,
    /// What.
    #[serde(rename = "do")]
    pub act: DiscoveryAct,
    /// How much, in s.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
}

/// What can happen to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryAct {
    /// The agent says nothing and its connections end.
    Silent,
    /// Its news is `by` s late.
    Late,
    /// It goes on as if nothing had changed since the step began.
    Stale,
}

/// What happens to the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnTraffic {
    /// What.
    #[serde(rename = "do")]
    pub act: TrafficAct,
    /// How much.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub by: f64,
}

/// What can happen to the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficAct {
    /// `by` times as many.
    Burst,
    /// One customer asks for `by` requests a second on top.
    Hot,
    /// Clients try again `by` times more, without a wait.
    Storm,
}

/// What must hold. One answer for each request, no unsafe one run twice and nothing new for a drained server hold
/// always; the rest where it is named.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hold {
    /// Share of first tries whose client got a good answer in the end, at least.
    pub served: f64,
    /// Share of tries that a living gateway took and left without an answer, at most.
    pub unanswered: f64,
    /// Units sent on beyond quotas as a share of all, at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub beyond_quota: Option<f64>,
    /// Share of tries refused while a listed server of the fleet stood idle, at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refused_needlessly: Option<f64>,
    /// Largest share of servers that had no work for a second while the fleet was used by 30% or more.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle: Option<f64>,
    /// Mean over windows of a second of the busiest server's arrivals over the mean, at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_to_mean: Option<f64>,
    /// After the last step's end the service is back at 95% of that before the first one, within so long, in s.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub recovery_s: Option<f64>,
    /// From a step's word on a drain, nothing new may come past this, in ms.
    pub drain_grace_ms: f64,
}

impl Default for Hold {
    fn default() -> Self {
        Hold {
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

/// Some of a row of gateways or servers: `all`, `3`, `0-4`, `70%` (drawn by the plan's seed) or `zone 1`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Who {
    /// All of them.
    All,
    /// From one place to another, both included.
    Places(usize, usize),
    /// A share of them, in percent.
    Percent(f64),
    /// Those of a zone.
    Zone(usize),
}

impl fmt::Display for Who {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Who::All => f.write_str("all"),
            Who::Places(first, last) if first == last => write!(f, "{first}"),
            Who::Places(first, last) => write!(f, "{first}-{last}"),
            Who::Percent(share) => write!(f, "{share}%"),
            Who::Zone(zone) => write!(f, "zone {zone}"),
        }
    }
}

impl FromStr for Who {
    type Err = String;

    fn from_str(text: &str) -> Result<Who, String> {
        let bad = || format!("`{text}` is none of: all, 3, 0-4, 70%, zone 1");
        let number = |text: &str| text.trim().parse::<usize>().map_err(|_| bad());
        Ok(if text == "all" {
            Who::All
        } else if let Some(zone) = text.strip_prefix("zone ") {
            Who::Zone(number(zone)?)
        } else if let Some(share) = text.strip_suffix('%') {
            let share = share.parse::<f64>().ok().filter(|share| (0.0..=100.0).contains(share));
            Who::Percent(share.ok_or_else(bad)?)
        } else if let Some((first, last)) = text.split_once('-') {
            let (first, last) = (number(first)?, number(last)?);
            if first > last {
                return Err(bad());
            }
            Who::Places(first, last)
        } else {
            let place = number(text)?;
            Who::Places(place, place)
        })
    }
}

impl TryFrom<String> for Who {
    type Error = String;

    fn try_from(text: String) -> Result<Who, String> {
        text.parse()
    }
}

impl From<Who> for String {
    fn from(who: Who) -> String {
        who.to_string()
    }
}

/// One end of a link: `gateways`, `servers`, `counter`, `discovery` or `clients`, with whom after a space.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct End {
    /// Of which kind.
    pub kind: Kind,
    /// Which of them.
    pub who: Who,
}

/// The kinds of parties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Gateways.
    Gateways,
    /// Servers.
    Servers,
    /// The counter.
    Counter,
    /// Discovery.
    Discovery,
    /// Clients, which come through one front.
    Clients,
}

const KINDS: [(Kind, &str); 5] = [
    (Kind::Gateways, "gateways"),
    (Kind::Servers, "servers"),
    (Kind::Counter, "counter"),
    (Kind::Discovery, "discovery"),
    (Kind::Clients, "clients"),
];

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = KINDS.iter().find_map(|(kind, name)| (*kind == self.kind).then_some(*name)).unwrap_or("");
        match self.who {
            Who::All => f.write_str(name),
            who => write!(f, "{name} {who}"),
        }
    }
}

impl TryFrom<String> for End {
    type Error = String;

    fn try_from(text: String) -> Result<End, String> {
        let (name, who) = text.split_once(' ').unwrap_or((&text, "all"));
        let kind = KINDS.iter().find_map(|(kind, known)| (*known == name).then_some(*kind));
        let kind = kind
            .ok_or_else(|| format!("`{name}` is none of: gateways, servers, counter, discovery, clients"))?;
        let who: Who = who.parse()?;
        if who != Who::All && !matches!(kind, Kind::Gateways | Kind::Servers) {
            return Err(format!("there is one of `{name}`: `{who}` says nothing"));
        }
        Ok(End { kind, who })
    }
}

impl From<End> for String {
    fn from(end: End) -> String {
        end.to_string()
    }
}

impl Plan {
    /// Reads a plan; an error says what is wrong with it, all of it.
    pub fn read(text: &str) -> Result<Plan, String> {
        let plan: Plan = toml::from_str(text).map_err(|e| e.to_string())?;
        let faults = plan.faults();
        if faults.is_empty() {
            Ok(plan)
        } else {
            Err(faults.join("\n"))
        }
    }

    /// What contradicts itself or can't be played.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut is = |right: bool, what: &str| {
            if !right {
                faults.push(what.to_owned());
            }
        };
        let (fleet, traffic, counter) = (&self.fleet, &self.traffic, &self.counter);
        let share = |value: f64| (0.0..=1.0).contains(&value);
        let above = |value: f64| value.is_finite() && value > 0.0;
        let from_0 = |value: f64| value.is_finite() && value >= 0.0;
        is(
            (1..=64).contains(&self.name.len()) && !self.name.contains(['/', '\n']),
            "name: 1 to 64 letters, no /",
        );
        is(above(self.seconds) && self.seconds <= SECONDS_MOST, "seconds: above 0, 3600 at most");
        is((1..=GATEWAYS_MOST).contains(&fleet.gateways), "fleet.gateways: 1 to 2000");
        is((1..=SERVERS_MOST).contains(&fleet.servers), "fleet.servers: 1 to 1000");
        is(fleet.spare <= SERVERS_MOST, "fleet.spare: 1000 at most");
        is((1..=16).contains(&fleet.zones), "fleet.zones: 1 to 16");
        is((1..=64).contains(&fleet.cores), "fleet.cores: 1 to 64");
        is((1..=64).contains(&fleet.slots_per_core), "fleet.slots_per_core: 1 to 64");
        is(fleet.queue_per_core <= 10_000, "fleet.queue_per_core: 10000 at most");
        is(from_0(fleet.speed_cv) && fleet.speed_cv <= 1.0, "fleet.speed_cv: 0 to 1");
        is(fleet.cold_from > 0.0 && fleet.cold_from <= 1.0, "fleet.cold_from: above 0, 1 at most");
        is(from_0(fleet.cold_s), "fleet.cold_s: 0 or more");
        is(
            fleet.fall_multiple >= 1.0 && above(fleet.fall_ms),
            "fleet.fall_multiple: 1 or more, fall_ms above 0",
        );
        is((1..=100_000).contains(&fleet.connections), "fleet.connections: 1 to 100000");
        is(share(fleet.errors), "fleet.errors: 0 to 1");
        is(from_0(fleet.notice_s), "fleet.notice_s: 0 or more");
        is((256..=1024).contains(&fleet.descriptors), "fleet.descriptors: 256 to 1024");
        is(above(traffic.per_s) && traffic.per_s <= RATE_MOST, "traffic.per_s: above 0, 100000 at most");
        is(share(traffic.orders), "traffic.orders: 0 to 1");
        is(above(traffic.work_ms) && from_0(traffic.work_cv), "traffic.work_ms: above 0, work_cv 0 or more");
        is((1..=1_000_000).contains(&traffic.customers), "traffic.customers: 1 to 1000000");
        is(from_0(traffic.skew) && traffic.skew <= 3.0, "traffic.skew: 0 to 3");
        is((1..=fleet.gateways.max(1)).contains(&traffic.spread), "traffic.spread: 1 to fleet.gateways");
        is(traffic.uneven >= 1.0 && traffic.uneven <= 100.0, "traffic.uneven: 1 to 100");
        is(traffic.retries <= 10, "traffic.retries: 10 at most");
        is(
            from_0(traffic.backoff_ms) && share(traffic.honour),
            "traffic.backoff_ms: 0 or more, honour 0 to 1",
        );
        is(from_0(traffic.notice_s), "traffic.notice_s: 0 or more");
        is(
            traffic.rate.iter().chain(&traffic.burst_s).all(|v| from_0(*v)),
            "traffic.rate, burst_s: 0 or more",
        );
        is(
            (1..=64).contains(&counter.parts) && above(counter.per_s),
            "counter.parts: 1 to 64, per_s above 0",
        );
        is(from_0(counter.answer_ms), "counter.answer_ms: 0 or more");
        is(share(self.hold.served) && share(self.hold.unanswered), "hold.served, unanswered: 0 to 1");
        is(from_0(self.hold.drain_grace_ms), "hold.drain_grace_ms: 0 or more");
        is(self.step.len() <= STEPS_MOST, "step: 1000 at most");
        for (number, step) in self.step.iter().enumerate() {
            faults.extend(step.faults(self).into_iter().map(|what| format!("step {}: {what}", number + 1)));
        }
        faults.extend(self.contradictions());
        faults
    }

    /// Steps that can't both be.
    fn contradictions(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let gone = |step: &Step| match &step.gateways {
            Some(on) if on.act != GatewayAct::Reload => Some((on.who, on.act)),
            _ => None,
        };
        for (first, one) in self.step.iter().enumerate() {
            for (second, other) in self.step.iter().enumerate().skip(first + 1) {
                let (Some(a), Some(b)) = (gone(one), gone(other)) else { continue };
                // A pause may fall into an upgrade; a process that is dead can't be paused or ended.
                let both_end = a.1 != GatewayAct::Pause && b.1 != GatewayAct::Pause;
                let killed = a.1 == GatewayAct::Kill || b.1 == GatewayAct::Kill;
                if one.overlaps(other) && (both_end || killed) && self.share_a_gateway(a.0, b.0) {
                    faults.push(format!(
                        "steps {} and {} both end the same gateway at one time",
                        first + 1,
                        second + 1
                    ));
                }
            }
        }
        faults
    }

    /// Whether two choices name the same gateway. Shares are drawn once a step, so that they may.
    fn share_a_gateway(&self, one: Who, other: Who) -> bool {
        let sure = |who: Who| !matches!(who, Who::Percent(_));
        let (a, b) = (self.gateways(one, 0), self.gateways(other, 0));
        !sure(one) || !sure(other) || a.iter().any(|place| b.contains(place))
    }

    /// The zone of a gateway or server at this place.
    pub fn zone(&self, place: usize) -> usize {
        place % self.fleet.zones
    }

    /// The gateways that are named; shares are drawn by the plan's seed and the step's number.
    pub fn gateways(&self, who: Who, step: usize) -> Vec<usize> {
        self.places(who, self.fleet.gateways, self.fleet.gateways, step)
    }

    /// The servers that are named, spare ones only by their place.
    pub fn servers(&self, who: Who, step: usize) -> Vec<usize> {
        self.places(who, self.fleet.servers, self.fleet.servers + self.fleet.spare, step)
    }

    fn places(&self, who: Who, listed: usize, all: usize, step: usize) -> Vec<usize> {
        match who {
            Who::All => (0..listed).collect(),
            Who::Places(first, last) => (first..=last.min(all.saturating_sub(1))).collect(),
            Who::Zone(zone) => (0..listed).filter(|place| self.zone(*place) == zone).collect(),
            Who::Percent(share) => {
                use rand::seq::SliceRandom;
                let mut places: Vec<_> = (0..listed).collect();
                places.shuffle(&mut self.rng(0x57E9 + step as u64));
                places.truncate((listed as f64 * share / 100.0).round() as usize);
                places.sort_unstable();
                places
            }
        }
    }

    /// A source of chance of its own for each use.
    pub fn rng(&self, stream: u64) -> rand_pcg::Pcg64 {
        use rand::SeedableRng;
        rand_pcg::Pcg64::seed_from_u64(self.seed ^ stream.wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    /// When the first step begins and the last one ends, in s; none without steps.
    pub fn trouble(&self) -> Option<(f64, f64)> {
        let first = self.step.iter().map(|step| step.at).reduce(f64::min)?;
        Some((first, self.step.iter().map(|step| step.ends(self)).fold(0.0, f64::max)))
    }
}

impl Step {
    /// When it is over, in s: at the latest with the plan.
    pub fn ends(&self, plan: &Plan) -> f64 {
        let every = self.gateways.as_ref().map_or(0.0, |on| on.every * plan.fleet.gateways as f64);
        self.lasts.map_or_else(
            || if self.once() { self.at + every } else { plan.seconds },
            |lasts| self.at + lasts + every,
        )
    }

    /// Whether it is over as soon as it is done.
    fn once(&self) -> bool {
        let gateways = self.gateways.as_ref().is_some_and(|on| {
            matches!(on.act, GatewayAct::Restart | GatewayAct::Upgrade | GatewayAct::Reload)
        });
        let joins = self.servers.as_ref().is_some_and(|on| on.act == ServerAct::Join);
        gateways || joins || self.counter.as_ref().is_some_and(|on| on.act == CounterAct::Flush)
    }

    fn overlaps(&self, other: &Step) -> bool {
        let end = |step: &Step| step.lasts.map_or(f64::INFINITY, |lasts| step.at + lasts);
        self.at < end(other) && other.at < end(self)
    }

    fn faults(&self, plan: &Plan) -> Vec<String> {
        let mut faults = Vec::new();
        let mut is = |right: bool, what: &str| {
            if !right {
                faults.push(what.to_owned());
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
        is(
            kinds.iter().filter(|is| **is).count() == 1,
            "exactly one of gateways, servers, link, counter, discovery, traffic",
        );
        is(self.at >= 0.0 && self.at <= plan.seconds, "at: within the plan's seconds");
        is(self.lasts.is_none_or(|lasts| lasts > 0.0 && lasts.is_finite()), "for: above 0");
        let by_share = |by: f64| by > 0.0 && by <= 1.0;
        let some = |places: Vec<usize>| !places.is_empty();
        if let Some(on) = &self.gateways {
            is(some(plan.gateways(on.who, 0)), "who: no such gateway");
            is(on.act != GatewayAct::Pause || self.lasts.is_some(), "a pause needs its `for`");
            is(on.every >= 0.0 && on.every.is_finite(), "every: 0 or more");
        }
        if let Some(on) = &self.servers {
            is(some(plan.servers(on.who, 0)), "who: no such server");
            let spare = plan.servers(on.who, 0).iter().all(|place| *place >= plan.fleet.servers);
            is(spare || on.act != ServerAct::Join, "who: only spare servers can join");
            is(on.every >= 0.0 && on.every.is_finite(), "every: 0 or more");
            match on.act {
                ServerAct::Slow => is(on.by >= 1.0, "by: a factor of 1 or more"),
                ServerAct::Errors | ServerAct::TurnAway | ServerAct::Reset | ServerAct::Spoil => {
                    is(by_share(on.by), "by: a share above 0, 1 at most");
                }
                ServerAct::Report => is(on.by >= 0.0, "by: 0 or more"),
                _ => is(on.by == 0.0, "by: says nothing here"),
            }
        }
        if let Some(on) = &self.link {
            let ends = |end: &End| match end.kind {
                Kind::Gateways => some(plan.gateways(end.who, 0)),
                Kind::Servers => some(plan.servers(end.who, 0)),
                _ => true,
            };
            is(ends(&on.from) && ends(&on.to), "from, to: nobody is there");
            let gateways = [on.from.kind, on.to.kind].iter().filter(|kind| **kind == Kind::Gateways).count();
            is(gateways > 0, "from, to: each link has a gateway at one end");
            is(gateways < 2 || plan.fleet.cluster, "gateways tell each other something only in a cluster");
            let datagrams = gateways == 2;
            match on.act {
                LinkAct::Cut | LinkAct::Refuse | LinkAct::Hang => is(on.by == 0.0, "by: says nothing here"),
                LinkAct::Delay => is(
                    on.by >= 0.0 && on.by + on.spread + on.grows > 0.0 && on.spread >= 0.0 && on.grows >= 0.0,
                    "by, spread, grows: ms, one of them above 0",
                ),
                LinkAct::Loss => is(by_share(on.by), "by: a share above 0, 1 at most"),
                LinkAct::Duplicate | LinkAct::Reorder => {
                    is(datagrams, "only datagrams between gateways can be doubled or come out of order");
                    is(by_share(on.by), "by: a share above 0, 1 at most");
                }
                LinkAct::Throttle | LinkAct::Reset => is(on.by >= 1.0, "by: bytes, 1 or more"),
            }
            let of_connections =
                matches!(on.act, LinkAct::Throttle | LinkAct::Reset | LinkAct::Refuse | LinkAct::Hang);
            is(!(of_connections && datagrams), "between gateways there are no connections");
        }
        if let Some(on) = &self.counter {
            match on.act {
                CounterAct::Slow => is(on.by > 0.0, "by: ms above 0"),
                CounterAct::TurnAway => is(by_share(on.by), "by: a share above 0, 1 at most"),
                CounterAct::Out | CounterAct::Flush => is(on.by == 0.0, "by: says nothing here"),
            }
        }
        if let Some(on) = &self.discovery {
            is(some(plan.gateways(on.who, 0)), "who: no such gateway");
            is((on.act == DiscoveryAct::Late) == (on.by > 0.0), "by: s above 0 for `late`, nothing else");
        }
        if let Some(on) = &self.traffic {
            is(on.by > 0.0 && on.by <= 10_000.0, "by: above 0");
        }
        faults
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
    fn a_plan_is_written_as_it_is_read() {
        let text = "[[step]]\nat = 1\nfor = 2\ngateways = { who = \"70%\", do = \"kill\" }\n\
            [[step]]\nat = 2\nlink = { from = \"gateways zone 1\", to = \"servers 0-2\", do = \"cut\", both = true }";
        let plan = plan(text).unwrap();
        assert_eq!(Plan::read(&toml::to_string(&plan).unwrap()).unwrap(), plan);
        assert_eq!(plan.gateways(Who::Zone(1), 0), [1, 3, 5]);
        assert_eq!(plan.gateways(Who::Percent(70.0), 3).len(), 4);
        assert_eq!(plan.gateways(Who::Percent(70.0), 3), plan.gateways(Who::Percent(70.0), 3));
        assert_eq!(plan.servers(Who::Places(3, 9), 0), [3, 4, 5]);
        assert_eq!(plan.trouble(), Some((1.0, 10.0)));
    }

    #[test]
    fn what_contradicts_itself_is_told_with_its_step() {
        for (steps, told) in [
            ("[[step]]\nat = 1", "exactly one of"),
            ("[[step]]\nat = 11\ncounter = { do = \"out\" }", "within the plan's seconds"),
            ("[[step]]\nat = 1\ngateways = { who = \"9\", do = \"kill\" }", "no such gateway"),
            ("[[step]]\nat = 1\ngateways = { who = \"1\", do = \"pause\" }", "needs its `for`"),
            ("[[step]]\nat = 1\nservers = { who = \"1\", do = \"join\" }", "only spare servers"),
            ("[[step]]\nat = 1\nservers = { who = \"1\", do = \"errors\", by = 2 }", "a share"),
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
                "says nothing",
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
            assert!(error.contains(told), "{steps}\n{error}");
        }
        for (from, to) in [("servers = 4", "servers = 0"), ("gateways = 6", "gateways = 0")] {
            let text = "name = \"a\"\nseconds = 10\n[fleet]\ngateways = 6\nservers = 4\n[traffic]\n";
            let error = Plan::read(&text.replace(from, to)).unwrap_err();
            assert!(error.contains("fleet."), "{error}");
        }
    }

    #[test]
    fn a_pause_may_fall_into_an_upgrade() {
        let text = "[[step]]\nat = 1\ngateways = { who = \"2\", do = \"upgrade\" }\n\
            [[step]]\nat = 1.2\nfor = 1\ngateways = { who = \"2\", do = \"pause\" }";
        plan(text).unwrap();
    }
}
