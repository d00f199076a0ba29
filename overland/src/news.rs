//! What the system's processes tell one another: one message type for each link.

use crate::difference::Difference;
use prost::{Message, Oneof};

/// A change of the agreed state.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// Which.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<Kind>,
    /// The backend that is gone said so itself: a beat of its that comes late brings it back no more.
    #[prost(bool, tag = "15")]
    pub left: bool,
}

/// The kinds of changes.
#[derive(Clone, PartialEq, Oneof)]
pub enum Kind {
    /// A configuration was taken.
    #[prost(message, tag = "1")]
    Configured(Configured),
    /// A zone is emptied or taken back.
    #[prost(message, tag = "2")]
    Evacuated(Evacuated),
    /// A backend is there, or tells something else of itself.
    #[prost(message, tag = "3")]
    Backend(Backend),
    /// A backend of this id is gone.
    #[prost(string, tag = "4")]
    BackendGone(String),
    /// A gateway is there.
    #[prost(message, tag = "5")]
    Gateway(Gateway),
    /// The gateway of this machine is gone.
    #[prost(string, tag = "6")]
    GatewayGone(String),
    /// An order was refused for good.
    #[prost(message, tag = "7")]
    Refused(Refused),
}

/// A configuration. As a change it is an order: it is taken where it fits what is in force, and changes nothing elsewhere.
#[derive(Clone, PartialEq, Message)]
pub struct Configured {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The whole of it, as JSON.
    #[prost(string, tag = "2")]
    pub text: String,
    /// A digest of the call that brought it, path and bytes: the same call again is acknowledged again.
    #[prost(fixed64, tag = "3")]
    pub call: u64,
    /// In a change: the number that it builds on. None in those of earlier programs, which compared before they proposed.
    #[prost(uint64, optional, tag = "4")]
    pub based_on: Option<u64>,
    /// In a change: digests of what the order said, and of the whole that it brings.
    #[prost(fixed64, repeated, tag = "5")]
    pub digests: Vec<u64>,
    /// In a change, in place of the text: how it differs from the text of the version that it builds on.
    #[prost(message, optional, tag = "6")]
    pub difference: Option<Difference>,
}

/// An order on top of a version that was never in force.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// The number that it was to bring.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The number that it builds on.
    #[prost(uint64, tag = "2")]
    pub based_on: u64,
    /// A digest of what it said.
    #[prost(fixed64, tag = "3")]
    pub order: u64,
}

/// What came of an order.
#[derive(Clone, PartialEq, Message)]
pub struct Ordered {
    /// The number that it brought.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The change that decided.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Digests by which it is known again.
    #[prost(fixed64, repeated, tag = "3")]
    pub digests: Vec<u64>,
}

/// A zone is emptied, or taken back.
#[derive(Clone, PartialEq, Message)]
pub struct Evacuated {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// False where it is taken back.
    #[prost(bool, tag = "2")]
    pub on: bool,
}

/// A backend's life.
#[derive(Clone, PartialEq, Message)]
pub struct Backend {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it is.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Requests that it works on at once.
    #[prost(uint32, tag = "5")]
    pub berths: u32,
    /// It takes nothing new.
    #[prost(bool, tag = "6")]
    pub closing: bool,
    /// It stays cold for so long from now on, in ms.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
    /// The postmark of the beat that told this: an earlier beat changes nothing any more.
    #[prost(uint64, tag = "8")]
    pub postmark: u64,
}

/// A gateway.
#[derive(Clone, PartialEq, Message)]
pub struct Gateway {
    /// Its machine.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Where clients arrive.
    #[prost(string, tag = "3")]
    pub front: String,
}

/// The agreed state, whole.
#[derive(Clone, PartialEq, Message)]
pub struct Whole {
    /// The number of the last change in it.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The configuration in force.
    #[prost(message, optional, tag = "2")]
    pub config: Option<Configured>,
    /// Zones that are emptied.
    #[prost(string, repeated, tag = "3")]
    pub evacuated: Vec<String>,
    /// The backends.
    #[prost(message, repeated, tag = "4")]
    pub backends: Vec<Backend>,
    /// The gateways.
    #[prost(message, repeated, tag = "5")]
    pub gateways: Vec<Gateway>,
    /// Digests of the calls that brought configurations by earlier programs.
    #[prost(fixed64, repeated, tag = "6")]
    pub calls: Vec<u64>,
    /// Backends that said that they leave, the latest last.
    #[prost(string, repeated, tag = "15")]
    pub left: Vec<String>,
    /// What came of the operators' orders.
    #[prost(message, optional, boxed, tag = "7")]
    pub orders: Option<Box<Orders>>,
    /// Zones that were taken back lately. Earlier programs tell none.
    #[prost(message, repeated, tag = "8")]
    pub taken_back: Vec<TakenBack>,
}

/// The end of a zone's evacuation.
#[derive(Clone, PartialEq, Message)]
pub struct TakenBack {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// It was agreed on so long ago, in ms.
    #[prost(uint64, tag = "2")]
    pub ago_ms: u64,
}

/// What came of the operators' orders, as far as it is remembered.
#[derive(Clone, PartialEq, Message)]
pub struct Orders {
    /// Orders that were taken.
    #[prost(message, repeated, tag = "1")]
    pub taken: Vec<Ordered>,
    /// Orders that were refused by a change.
    #[prost(message, repeated, tag = "2")]
    pub refused: Vec<Ordered>,
    /// Orders of this number or below may be forgotten.
    #[prost(uint64, tag = "3")]
    pub forgotten: u64,
}

/// A range of the state and its digest. Copies with the same number compare them.
#[derive(Clone, PartialEq, Message)]
pub struct Range {
    /// Which.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Of all that is in it.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// Ranges of one's copy, for another that should be the same.
#[derive(Clone, PartialEq, Message)]
pub struct Ranges {
    /// The number of the last change in the copy.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// All ranges that hold something.
    #[prost(message, repeated, tag = "2")]
    pub ranges: Vec<Range>,
}

/// What a copy lacks or has otherwise.
#[derive(Clone, PartialEq, Message)]
pub struct Mend {
    /// It mends a copy with this number alone.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The names of the ranges that it replaces.
    #[prost(string, repeated, tag = "2")]
    pub names: Vec<String>,
    /// What these ranges hold.
    #[prost(message, optional, tag = "3")]
    pub parts: Option<Whole>,
}

/// A change with its number.
#[derive(Clone, PartialEq, Message)]
pub struct Numbered {
    /// The number; numbers climb, not always by one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The change.
    #[prost(message, optional, tag = "2")]
    pub change: Option<Change>,
}

impl Numbered {
    /// Whether it brings a configuration as its difference from the one before.
    pub fn differs(&self) -> bool {
        let kind = self.change.as_ref().and_then(|change| change.kind.as_ref());
        matches!(kind, Some(Kind::Configured(config)) if config.difference.is_some())
    }
}

/// What an agent tells a core process.
#[derive(Clone, PartialEq, Message)]
pub struct FromAgent {
    /// Who it is, in the first word on a link and where it has changed.
    #[prost(message, optional, tag = "1")]
    pub gateway: Option<Gateway>,
    /// The proxy takes clients.
    #[prost(bool, tag = "4")]
    pub ready: bool,
    /// The number of the last change that the agent holds.
    #[prost(uint64, tag = "5")]
    pub held: u64,
    /// When it was sent, by the agent's own clock, in ms.
    #[prost(double, tag = "6")]
    pub at: f64,
    /// Changes from `held` on are wanted on this link.
    #[prost(bool, tag = "7")]
    pub follows: bool,
    /// The number of the last change that the proxy goes by; nought where there is no proxy.
    #[prost(uint64, tag = "8")]
    pub applied: u64,
    /// The copy differs from the leader's with the same number: its ranges.
    #[prost(message, optional, tag = "9")]
    pub ranges: Option<Ranges>,
    /// What it reads in changes: [`crate::agreement::MAX_ENTRY_VERSION`].
    #[prost(uint32, tag = "10")]
    pub reads: u32,
}

/// What a core process tells an agent.
#[derive(Clone, PartialEq, Message)]
pub struct ToAgent {
    /// The whole state, where the agent's is too old.
    #[prost(message, optional, tag = "1")]
    pub whole: Option<Whole>,
    /// Changes, in order.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<Numbered>,
    /// The answer to a word of the agent.
    #[prost(message, optional, tag = "3")]
    pub pulse: Option<Pulse>,
    /// What differs in the agent's copy.
    #[prost(message, optional, tag = "4")]
    pub mend: Option<Mend>,
}

/// A core process's answer to a word of an agent.
#[derive(Clone, PartialEq, Message)]
pub struct Pulse {
    /// The agent's `at`.
    #[prost(double, tag = "1")]
    pub at: f64,
    /// It leads, and a majority has said so lately.
    #[prost(bool, tag = "2")]
    pub leads: bool,
    /// The term of who leads, as far as it knows.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The number of the last change it has applied; the highest of all to a gateway that no copy is to be up to date for.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// The members of the core, in the first answer on a link and where they have changed.
    #[prost(string, repeated, tag = "5")]
    pub members: Vec<String>,
    /// The digest of the state with that number; nought where it is not told.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// It has not heard every backend since it began to lead: some may have turned cold meanwhile.
    #[prost(bool, tag = "7")]
    pub unsettled: bool,
}

/// What an agent tells its proxy.
#[derive(Clone, PartialEq, Message)]
pub struct ToProxy {
    /// The whole state.
    #[prost(message, optional, tag = "1")]
    pub whole: Option<Whole>,
    /// Changes, in order.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<Numbered>,
    /// Where the counting gateway is, empty if that is not known.
    #[prost(string, tag = "3")]
    pub counter: String,
    /// The term of its duty.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The age of the last word of who leads, in ms; below nought if there was none.
    #[prost(double, tag = "5")]
    pub age_ms: f64,
    /// The number of the agent's copy.
    #[prost(uint64, tag = "6")]
    pub index: u64,
    /// Its digest.
    #[prost(fixed64, tag = "7")]
    pub digest: u64,
    /// What differs in the proxy's copy.
    #[prost(message, optional, tag = "8")]
    pub mend: Option<Mend>,
    /// The proxy's `at`, from the last word that the agent had of it: this was sent later.
    #[prost(double, optional, tag = "9")]
    pub at: Option<f64>,
    /// Who leads had not heard every backend yet when it gave its last word.
    #[prost(bool, tag = "10")]
    pub unsettled: bool,
}

/// What a proxy tells its agent.
#[derive(Clone, PartialEq, Message)]
pub struct FromProxy {
    /// Where clients arrive.
    #[prost(string, tag = "1")]
    pub front: String,
    /// It takes clients.
    #[prost(bool, tag = "2")]
    pub ready: bool,
    /// The number of the last change that it holds.
    #[prost(uint64, tag = "3")]
    pub held: u64,
    /// The copy differs from the agent's with the same number: its ranges.
    #[prost(message, optional, tag = "4")]
    pub ranges: Option<Ranges>,
    /// When it was sent, by the proxy's own clock, in ms.
    #[prost(double, optional, tag = "5")]
    pub at: Option<f64>,
    /// What it reads in changes: [`crate::agreement::MAX_ENTRY_VERSION`].
    #[prost(uint32, tag = "6")]
    pub reads: u32,
}

/// Charges to the counting gateway.
#[derive(Clone, PartialEq, Message)]
pub struct Charges {
    /// Counts up with each message on a connection.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The charges.
    #[prost(message, repeated, tag = "3")]
    pub charges: Vec<Charge>,
}

/// A charge to one tenant's count.
#[derive(Clone, PartialEq, Message)]
pub struct Charge {
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Units of requests to be sent.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// Units of requests that were not sent after all, to be taken off the window in which they were charged.
    #[prost(uint64, tag = "3")]
    pub back: u64,
    /// That window.
    #[prost(uint64, tag = "4")]
    pub window: u64,
}

/// Totals of the counting gateway.
#[derive(Clone, PartialEq, Message)]
pub struct Totals {
    /// The number of the charges.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// False while the holder of the duty can't vouch for a count.
    #[prost(bool, tag = "2")]
    pub sure: bool,
    /// One total for each charge, in order.
    #[prost(message, repeated, tag = "3")]
    pub totals: Vec<Total>,
}

/// A tenant's count after a charge.
#[derive(Clone, PartialEq, Message)]
pub struct Total {
    /// Units in this window.
    #[prost(sint64, tag = "1")]
    pub units: i64,
    /// The window's limit for those who reach the counter.
    #[prost(sint64, tag = "2")]
    pub limit: i64,
    /// What is left of the window, in ms.
    #[prost(uint32, tag = "3")]
    pub left_ms: u32,
    /// The window's number.
    #[prost(uint64, tag = "4")]
    pub window: u64,
}

/// The first message on a connection: who calls, and what for.
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
    /// Nothing that is known.
    None = 0,
    /// A core process speaks to another one.
    Core = 1,
    /// An agent follows the agreed state.
    Agent = 2,
    /// A proxy charges units.
    Counter = 3,
}

/// What a core process tells another one.
#[derive(Clone, PartialEq, Message)]
pub struct CoreWord {
    /// Its name: its control address.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The word.
    #[prost(oneof = "Word", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub word: Option<Word>,
}

/// The kinds of words between core processes.
#[derive(Clone, PartialEq, Oneof)]
pub enum Word {
    /// Of the agreement.
    #[prost(message, tag = "2")]
    Agreement(crate::agreement::RaftMessage),
    /// A call that came to one that does not lead.
    #[prost(message, tag = "3")]
    Call(Forwarded),
    /// Its answer.
    #[prost(message, tag = "4")]
    Answer(Forwarded),
    /// It is not among the members and wants to be.
    #[prost(bool, tag = "5")]
    Join(bool),
    /// The leader's copy: its number, and its digest as that of a range without a name.
    #[prost(message, tag = "6")]
    Compare(Ranges),
    /// The ranges of a copy that differs.
    #[prost(message, tag = "7")]
    Differs(Ranges),
    /// What differs in it.
    #[prost(message, tag = "8")]
    Mend(Mend),
}

/// A call passed on to the leader, or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Forwarded {
    /// Pairs the two.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The call's path; empty in an answer.
    #[prost(string, tag = "2")]
    pub path: String,
    /// The body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// The answer's status.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Of a call: the leader's term; nought from earlier programs.
    #[prost(uint64, tag = "5")]
    pub term: u64,
    /// Of a call: when the leader said what was last heard of it, by its own clock, in ms. The call is no older than that.
    #[prost(double, tag = "6")]
    pub said: f64,
}
