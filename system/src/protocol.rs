//! The messages between the system's processes, and the changes and snapshots of the replicated state.

use crate::delta::Delta;
use crate::rollout::messages::{RolloutOrder, RolloutStep, VersionCounts, VersionsRecord};
use prost::{Message, Oneof};

/// A change of the replicated state: the payload of a log entry.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The change; none in an entry without one.
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub kind: Option<ChangeKind>,
    /// For `BackendGone`: the backend deregistered itself, so a late heartbeat must not register it again.
    #[prost(bool, tag = "15")]
    pub deregistered: bool,
}

/// The kinds of changes.
#[derive(Clone, PartialEq, Oneof)]
pub enum ChangeKind {
    /// A configuration update.
    #[prost(message, tag = "1")]
    Config(ConfigRevision),
    /// The evacuation of a zone starts or ends.
    #[prost(message, tag = "2")]
    Evacuated(Evacuated),
    /// A backend is registered, or its registration changes.
    #[prost(message, tag = "3")]
    Backend(Backend),
    /// The backend with this id is removed.
    #[prost(string, tag = "4")]
    BackendGone(String),
    /// A gateway is registered, or its registration changes.
    #[prost(message, tag = "5")]
    Gateway(Gateway),
    /// The gateway of this machine is removed.
    #[prost(string, tag = "6")]
    GatewayGone(String),
    /// A configuration update is rejected for good.
    #[prost(message, tag = "7")]
    Rejected(RejectedUpdate),
    /// A roll-out is ordered.
    #[prost(message, tag = "8")]
    Rollout(RolloutOrder),
    /// A roll-out takes a step.
    #[prost(message, tag = "9")]
    RolloutStep(RolloutStep),
}

/// A configuration. As a change it is an update, accepted only on top of the edition that it names.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigRevision {
    /// Its edition.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The complete configuration, as JSON.
    #[prost(string, tag = "2")]
    pub text: String,
    /// A digest of the call's path and raw bytes, by which earlier releases recognise a retry.
    #[prost(fixed64, tag = "3")]
    pub call_digest: u64,
    /// In a change: the edition that it builds on. None from earlier releases, which checked it before they
    /// proposed.
    #[prost(uint64, optional, tag = "4")]
    pub based_on: Option<u64>,
    /// In a change: digests of the update's content and of the resulting complete configuration.
    #[prost(fixed64, repeated, tag = "5")]
    pub digests: Vec<u64>,
    /// In a change, instead of `text`: the difference from the text of the edition that it builds on.
    #[prost(message, optional, tag = "6")]
    pub difference: Option<Delta>,
}

/// A rejected configuration update, whose base was not in force yet.
#[derive(Clone, PartialEq, Message)]
pub struct RejectedUpdate {
    /// The edition that it would have set.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The edition that it builds on.
    #[prost(uint64, tag = "2")]
    pub based_on: u64,
    /// A digest of its content.
    #[prost(fixed64, tag = "3")]
    pub content_digest: u64,
}

/// The recorded outcome of a configuration update.
#[derive(Clone, PartialEq, Message)]
pub struct UpdateOutcome {
    /// The edition of the update.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The index of the change that accepted or rejected it.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The digests that identify a retry of it.
    #[prost(fixed64, repeated, tag = "3")]
    pub digests: Vec<u64>,
}

/// The start or end of a zone's evacuation.
#[derive(Clone, PartialEq, Message)]
pub struct Evacuated {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// True at the start, false at the end.
    #[prost(bool, tag = "2")]
    pub on: bool,
}

/// The registration of a backend.
#[derive(Clone, PartialEq, Message)]
pub struct Backend {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The address at which it takes requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Maximum number of requests that it processes concurrently.
    #[prost(uint32, tag = "5")]
    pub max_concurrency: u32,
    /// It is draining: it accepts no new requests.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// The rest of its warm-up time, in ms, when the message is made.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// The sequence number of the heartbeat that caused this (`postmark` in calls); lower ones are ignored.
    #[prost(uint64, tag = "8")]
    pub heartbeat_seq: u64,
    /// The version of its software (`edition` in calls); empty from earlier releases.
    #[prost(string, tag = "9")]
    pub edition: String,
}

/// The registration of a gateway.
#[derive(Clone, PartialEq, Message)]
pub struct Gateway {
    /// Its machine.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The address at which it takes client connections.
    #[prost(string, tag = "3")]
    pub client_addr: String,
}

/// A snapshot of the replicated state.
#[derive(Clone, PartialEq, Message)]
pub struct StateSnapshot {
    /// The index of the last change in it.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The configuration in force.
    #[prost(message, optional, tag = "2")]
    pub config: Option<ConfigRevision>,
    /// Zones being evacuated.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
    /// The backends.
    #[prost(message, repeated, tag = "4")]
    pub backends: Vec<Backend>,
    /// The gateways.
    #[prost(message, repeated, tag = "5")]
    pub gateways: Vec<Gateway>,
    /// Digests of the configuration calls that earlier releases accepted.
    #[prost(fixed64, repeated, tag = "6")]
    pub legacy_call_digests: Vec<u64>,
    /// Ids of backends that deregistered themselves, the most recent last.
    #[prost(string, repeated, tag = "15")]
    pub deregistered: Vec<String>,
    /// The recorded outcomes of configuration updates.
    #[prost(message, optional, boxed, tag = "7")]
    pub update_outcomes: Option<Box<UpdateOutcomes>>,
    /// Zones whose evacuation ended recently. Empty from earlier releases.
    #[prost(message, repeated, tag = "8")]
    pub evacuation_ends: Vec<EvacuationEnd>,
    /// The versions of services, and their roll-outs. None from earlier releases.
    #[prost(message, optional, boxed, tag = "9")]
    pub versions: Option<Box<VersionsRecord>>,
}

/// The end of a zone's evacuation.
#[derive(Clone, PartialEq, Message)]
pub struct EvacuationEnd {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// How long ago it was committed, in ms.
    #[prost(uint64, tag = "2")]
    pub ago_ms: u64,
}

/// The recorded outcomes of configuration updates.
#[derive(Clone, PartialEq, Message)]
pub struct UpdateOutcomes {
    /// Accepted updates.
    #[prost(message, repeated, tag = "1")]
    pub accepted: Vec<UpdateOutcome>,
    /// Rejected updates.
    #[prost(message, repeated, tag = "2")]
    pub rejected: Vec<UpdateOutcome>,
    /// Updates up to this edition may no longer be recorded.
    #[prost(uint64, tag = "3")]
    pub dropped_up_to: u64,
}

/// The digest of one range of the state, compared between replicas at the same index.
#[derive(Clone, PartialEq, Message)]
pub struct RangeDigest {
    /// The name of the range.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The digest of its contents.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// The range digests of a replica.
#[derive(Clone, PartialEq, Message)]
pub struct RangeDigests {
    /// The index of the last change in the replica.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// All ranges that are not empty.
    #[prost(message, repeated, tag = "2")]
    pub ranges: Vec<RangeDigest>,
}

/// Replacement contents for the ranges in which a replica differs.
#[derive(Clone, PartialEq, Message)]
pub struct Repair {
    /// The index at which the replica must be.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The names of the ranges to replace.
    #[prost(string, repeated, tag = "2")]
    pub names: Vec<String>,
    /// The contents of these ranges.
    #[prost(message, optional, boxed, tag = "3")]
    pub parts: Option<Box<StateSnapshot>>,
}

/// A change and its index.
#[derive(Clone, PartialEq, Message)]
pub struct IndexedChange {
    /// The index; indexes increase, with gaps.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The change.
    #[prost(message, optional, tag = "2")]
    pub change: Option<Change>,
}

impl IndexedChange {
    /// Whether it carries a configuration as its difference from the previous one.
    pub fn has_difference(&self) -> bool {
        let kind = self.change.as_ref().and_then(|change| change.kind.as_ref());
        matches!(kind, Some(ChangeKind::Config(config)) if config.difference.is_some())
    }
}

/// A message from an agent to a core process.
#[derive(Clone, PartialEq, Message)]
pub struct FromAgent {
    /// The agent's gateway, in the first message on a link and when it has changed.
    #[prost(message, optional, tag = "1")]
    pub gateway: Option<Gateway>,
    /// The proxy is ready for new clients.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// The index of the last change that the agent has applied.
    #[prost(uint64, tag = "5")]
    pub applied_index: u64,
    /// When it was sent, on the agent's clock, in ms.
    #[prost(double, tag = "6")]
    pub sent_at: f64,
    /// The agent subscribes to the changes after `applied_index` on this link.
    #[prost(bool, tag = "7")]
    pub subscribes: bool,
    /// The index of the last change that the proxy has applied; zero without a proxy.
    #[prost(uint64, tag = "8")]
    pub proxy_applied_index: u64,
    /// The range digests of the agent's replica, if it differs from the leader's at the same index.
    #[prost(message, optional, tag = "9")]
    pub ranges: Option<RangeDigests>,
    /// The format of changes that the sender can read: [`crate::raft::MAX_ENTRY_VERSION`].
    #[prost(uint32, tag = "10")]
    pub readable_format: u32,
    /// What the proxy has seen of the versions of services with a roll-out; only in reports to the leader.
    #[prost(message, repeated, tag = "11")]
    pub version_counts: Vec<VersionCounts>,
}

/// A message from a core process to an agent.
#[derive(Clone, PartialEq, Message)]
pub struct ToAgent {
    /// A snapshot, if the agent is too far behind.
    #[prost(message, optional, tag = "1")]
    pub snapshot: Option<StateSnapshot>,
    /// Changes, in order.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<IndexedChange>,
    /// The reply to a message of the agent.
    #[prost(message, optional, tag = "3")]
    pub heartbeat_reply: Option<HeartbeatReply>,
    /// A repair of the agent's replica.
    #[prost(message, optional, tag = "4")]
    pub repair: Option<Repair>,
}

/// A core process's reply to a message of an agent.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatReply {
    /// The `sent_at` of the agent's message.
    #[prost(double, tag = "1")]
    pub request_sent_at: f64,
    /// It is the leader, a majority has recently confirmed that, and its state is complete.
    #[prost(bool, tag = "2")]
    pub leads: bool,
    /// The highest term that it knows.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The index of the last change it has applied; the maximum if the gateway must not count as up to date.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// The members of the core, in the first reply on a link and when they have changed.
    #[prost(string, repeated, tag = "5")]
    pub members: Vec<String>,
    /// The digest of the state at that index; zero if not given.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// Not every backend has sent a heartbeat since it became leader; some may have become cold.
    #[prost(bool, tag = "7")]
    pub unsettled: bool,
}

/// A message from an agent to its proxy.
#[derive(Clone, PartialEq, Message)]
pub struct ToProxy {
    /// A snapshot.
    #[prost(message, optional, tag = "1")]
    pub snapshot: Option<StateSnapshot>,
    /// Changes, in order.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<IndexedChange>,
    /// The address of the counter, empty if unknown.
    #[prost(string, tag = "3")]
    pub counter: String,
    /// The term in which it is the counter.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Time since the agent sent the latest report that the leader answered while the agent's replica was up
    /// to date, in ms; negative if there is none.
    #[prost(double, tag = "5")]
    pub leader_contact_age_ms: f64,
    /// The index of the agent's replica.
    #[prost(uint64, tag = "6")]
    pub index: u64,
    /// The digest of that replica; zero if not given.
    #[prost(fixed64, tag = "7")]
    pub digest: u64,
    /// A repair of the proxy's replica.
    #[prost(message, optional, tag = "8")]
    pub repair: Option<Repair>,
    /// The `sent_at` of the last message that the agent received from the proxy before it sent this.
    #[prost(double, optional, tag = "9")]
    pub request_sent_at: Option<f64>,
    /// Not every backend had sent the leader a heartbeat at its last contact with the agent; see
    /// [`HeartbeatReply::unsettled`].
    #[prost(bool, tag = "10")]
    pub unsettled: bool,
}

/// A message from a proxy to its agent.
#[derive(Clone, PartialEq, Message)]
pub struct FromProxy {
    /// The address at which it takes client connections.
    #[prost(string, tag = "1")]
    pub client_addr: String,
    /// The proxy is ready for new clients.
    #[prost(bool, tag = "2")]
    pub ready: bool,
    /// The index of the last change that it has applied.
    #[prost(uint64, tag = "3")]
    pub applied_index: u64,
    /// The range digests of the proxy's replica, if it differs from the agent's at the same index.
    #[prost(message, optional, tag = "4")]
    pub ranges: Option<RangeDigests>,
    /// When it was sent, on the proxy's clock, in ms.
    #[prost(double, optional, tag = "5")]
    pub sent_at: Option<f64>,
    /// The format of changes that the sender can read: [`crate::raft::MAX_ENTRY_VERSION`].
    #[prost(uint32, tag = "6")]
    pub readable_format: u32,
    /// What it has seen of the versions of services with a roll-out.
    #[prost(message, repeated, tag = "7")]
    pub version_counts: Vec<VersionCounts>,
}

/// A batch of charges from a proxy to the counter.
#[derive(Clone, PartialEq, Message)]
pub struct Charges {
    /// The sequence number of the message on its connection.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The charges.
    #[prost(message, repeated, tag = "3")]
    pub charges: Vec<Charge>,
}

/// A charge to a tenant's quota.
#[derive(Clone, PartialEq, Message)]
pub struct Charge {
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Units for requests about to be sent.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// Units to refund, for requests that were charged but not sent.
    #[prost(uint64, tag = "3")]
    pub refund: u64,
    /// The window in which the refunded units were charged.
    #[prost(uint64, tag = "4")]
    pub window: u64,
}

/// The counter's reply to a batch of charges.
#[derive(Clone, PartialEq, Message)]
pub struct Totals {
    /// The sequence number of the batch.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// False if some charge was not counted, as the counter is not the authoritative leader.
    #[prost(bool, tag = "2")]
    pub authoritative: bool,
    /// One total for each charge, in order.
    #[prost(message, repeated, tag = "3")]
    pub totals: Vec<Total>,
}

/// A tenant's count after a charge.
#[derive(Clone, PartialEq, Message)]
pub struct Total {
    /// Units charged in the current window.
    #[prost(sint64, tag = "1")]
    pub units: i64,
    /// The window's limit for proxies that reach the counter.
    #[prost(sint64, tag = "2")]
    pub limit: i64,
    /// The time left in the window, in ms.
    #[prost(uint32, tag = "3")]
    pub remaining_ms: u32,
    /// The window's number.
    #[prost(uint64, tag = "4")]
    pub window: u64,
}

/// The first message on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// What the connection is for.
    #[prost(enumeration = "Purpose", tag = "1")]
    pub purpose: i32,
}

/// What a connection between processes is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Purpose {
    /// Unknown.
    None = 0,
    /// Messages between core processes.
    Core = 1,
    /// An agent replicates the state.
    Agent = 2,
    /// A proxy charges units to the counter.
    Counter = 3,
}

/// A message between core processes.
#[derive(Clone, PartialEq, Message)]
pub struct CoreMessage {
    /// The sender's name, which is its control address.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The payload.
    #[prost(oneof = "CorePayload", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub payload: Option<CorePayload>,
}

/// The payload of a message between core processes.
#[derive(Clone, PartialEq, Oneof)]
pub enum CorePayload {
    /// A message of the consensus protocol.
    #[prost(message, tag = "2")]
    Raft(crate::raft::RaftMessage),
    /// A call forwarded to the leader.
    #[prost(message, tag = "3")]
    Call(ForwardedCall),
    /// The answer to a forwarded call.
    #[prost(message, tag = "4")]
    Answer(ForwardedCall),
    /// A request of a non-member to become a member.
    #[prost(bool, tag = "5")]
    Join(bool),
    /// The index of the leader's replica, and its digest as that of a range without a name.
    #[prost(message, tag = "6")]
    Compare(RangeDigests),
    /// The range digests of a replica that differs from the leader's.
    #[prost(message, tag = "7")]
    Differs(RangeDigests),
    /// A repair of a replica that differs.
    #[prost(message, tag = "8")]
    Repair(Repair),
}

/// A call forwarded to the leader, or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedCall {
    /// Matches an answer to its call.
    #[prost(uint64, tag = "1")]
    pub call_id: u64,
    /// The call's method and path, separated by a space; empty in an answer.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The body of the call or answer.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// The HTTP status of an answer.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Of a call: the leader's term; zero from earlier releases.
    #[prost(uint64, tag = "5")]
    pub term: u64,
    /// Of a call: when the leader sent its last message that the sender had received, on the leader's clock,
    /// in ms. The call is not older than that message.
    #[prost(double, tag = "6")]
    pub leader_sent_at: f64,
}
