//! The messages of roll-outs: entries of the log, their part of snapshots, and the counts that gateways report.

use prost::{Enumeration, Message};

/// The phases of a roll-out, in the order in which they may follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Unknown; no step may lead to it.
    None = 0,
    /// Few backends of the new version get a small share of the requests.
    Canary = 1,
    /// The share of the new version rises.
    Shifting = 2,
    /// The old version gets no more requests; those in flight there are waited for.
    OldClosed = 3,
    /// Final: the new version serves alone, and the old backends may be stopped.
    Delivered = 4,
    /// The new version gets no more requests.
    Returning = 5,
    /// Final: the old version serves alone.
    Returned = 6,
}

impl Phase {
    /// Whether no step leads out of this phase.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Delivered | Phase::Returned)
    }

    /// Whether requests are drawn for canaries of the new version.
    pub fn has_canaries(self) -> bool {
        matches!(self, Phase::Canary | Phase::Shifting)
    }

    /// Whether a step may lead from this phase to `next`.
    pub fn may_precede(self, next: Phase) -> bool {
        match self {
            Phase::Canary => matches!(next, Phase::Canary | Phase::Shifting | Phase::Returning),
            Phase::Shifting => matches!(next, Phase::Shifting | Phase::OldClosed | Phase::Returning),
            Phase::OldClosed => matches!(next, Phase::Delivered | Phase::Returning),
            Phase::Returning => next == Phase::Returned,
            Phase::Delivered | Phase::Returned | Phase::None => false,
        }
    }

    /// The name in logs and statuses.
    pub fn name(self) -> &'static str {
        match self {
            Phase::None => "none",
            Phase::Canary => "canary",
            Phase::Shifting => "shifting",
            Phase::OldClosed => "old closed",
            Phase::Delivered => "delivered",
            Phase::Returning => "returning",
            Phase::Returned => "returned",
        }
    }
}

/// An operator's order to move a service to a version.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutOrder {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version that its requests move to.
    #[prost(string, tag = "2")]
    pub to_edition: String,
    /// The versions that they move from.
    #[prost(string, repeated, tag = "3")]
    pub from_editions: Vec<String>,
    /// The term: time from the order to its end, in ms.
    #[prost(uint64, tag = "4")]
    pub term_ms: u64,
    /// The new version's share of the requests at first, in millionths.
    #[prost(uint32, tag = "5")]
    pub canary_share_ppm: u32,
}

/// A step of a roll-out. It is applied only if the roll-out of that generation is at the step that it follows.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutStep {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The index of the entry that began the roll-out.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The index of the entry of the preceding step.
    #[prost(uint64, tag = "3")]
    pub follows: u64,
    /// The phase that it leads to.
    #[prost(enumeration = "Phase", tag = "4")]
    pub phase: i32,
    /// The new version's share of the requests from now on, in millionths.
    #[prost(uint32, tag = "5")]
    pub share_ppm: u32,
    /// Why.
    #[prost(string, tag = "6")]
    pub reason: String,
    /// Time left of the term when the step was proposed, in ms.
    #[prost(uint64, tag = "7")]
    pub remaining_ms: u64,
}

/// A roll-out in a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutRecord {
    /// The order.
    #[prost(message, optional, tag = "1")]
    pub order: Option<RolloutOrder>,
    /// The index of the entry that began it.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The index of the entry of its latest step.
    #[prost(uint64, tag = "3")]
    pub step: u64,
    /// Its phase.
    #[prost(enumeration = "Phase", tag = "4")]
    pub phase: i32,
    /// The new version's share of the requests, in millionths.
    #[prost(uint32, tag = "5")]
    pub share_ppm: u32,
    /// Why it is in this phase.
    #[prost(string, tag = "6")]
    pub reason: String,
    /// Time left of the term when the message is made, in ms; zero after it.
    #[prost(uint64, tag = "7")]
    pub remaining_ms: u64,
}

/// The versions of a service that may get requests outside a roll-out, in a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct AdmittedEditions {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its admitted versions.
    #[prost(string, repeated, tag = "2")]
    pub editions: Vec<String>,
}

/// The versions of all services, and their roll-outs, in a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct VersionsRecord {
    /// The latest roll-out of each service that had one.
    #[prost(message, repeated, tag = "1")]
    pub rollouts: Vec<RolloutRecord>,
    /// The versions of each service that may get requests outside a roll-out.
    #[prost(message, repeated, tag = "2")]
    pub admitted: Vec<AdmittedEditions>,
}

/// What one gateway has seen of both versions of a service since it learned of the roll-out.
#[derive(Clone, PartialEq, Message)]
pub struct VersionCounts {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The generation of the roll-out.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Identifies the proxy process: counts restart with it.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The counts by route.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteCounts>,
    /// Requests in flight at backends of the old versions.
    #[prost(uint32, tag = "5")]
    pub old_in_flight: u32,
    /// Requests in flight at backends of the new version.
    #[prost(uint32, tag = "6")]
    pub new_in_flight: u32,
}

/// The counts of one route.
#[derive(Clone, PartialEq, Message)]
pub struct RouteCounts {
    /// A digest of the route's name; zero for all routes that are not listed by themselves.
    #[prost(fixed64, tag = "1")]
    pub route: u64,
    /// At the new version.
    #[prost(message, optional, tag = "2")]
    pub new: Option<Counts>,
    /// At the old versions.
    #[prost(message, optional, tag = "3")]
    pub old: Option<Counts>,
}

/// Attempts at the backends of a version, since the start of the counting.
#[derive(Clone, PartialEq, Message)]
pub struct Counts {
    /// Attempts sent.
    #[prost(uint64, tag = "1")]
    pub sent: u64,
    /// Successful responses.
    #[prost(uint64, tag = "2")]
    pub succeeded: u64,
    /// Error responses.
    #[prost(uint64, tag = "3")]
    pub failed: u64,
    /// Successful responses of warm backends of the gateway's region, by latency bucket; see
    /// [`super::evidence::latency_bucket`].
    #[prost(uint64, repeated, tag = "4")]
    pub latencies: Vec<u64>,
    /// Attempts without a complete response: broken connections and timeouts.
    #[prost(uint64, tag = "5")]
    pub broken: u64,
}
