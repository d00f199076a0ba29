//! The interface of the decision module: its settings, the events it takes in and the actions it returns.
//!
//! Plain data types; the logic is in `src/choice`.

/// A time on the gateway's clock, in milliseconds from an arbitrary origin.
pub type Millis = f64;
/// Identifies a request; never reused within one gateway.
pub type RequestId = u64;
/// Identifies a backend; implies nothing about its zone, kind or age.
pub type BackendId = u32;
/// Identifies a customer.
pub type CustomerId = u64;

/// The configuration of a gateway's decision module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways that share the traffic.
    pub gateways: u32,
    /// This gateway's index among them, from 0.
    pub position: u32,
    /// This gateway's zone.
    pub zone: u32,
    /// Minimum time between two calls of the module, in ms.
    pub tick_ms: f64,
    /// The request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// The customers' plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// The shared quota counter, if there is one.
    pub counter: Option<Counter>,
    /// Maximum units of one request.
    pub max_units: f64,
    /// True if a request's units are an estimate that its response corrects.
    pub units_are_estimates: bool,
    /// What the gateway may do.
    pub limits: Limits,
    /// What unwanted results cost.
    pub penalties: Penalties,
    /// Timing and capacity parameters of the site.
    pub rules: Rules,
    /// How backends report their load.
    pub load_reports: LoadReports,
    /// True if the backend list is polled instead of pushed.
    pub list_polled: bool,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Class {
    /// Identifies what the class stands for. A class starts anew when another owner gets its index.
    pub owner: u64,
    /// Latency target, in ms: a response within it earns the full worth.
    pub target_ms: f64,
    /// The client's total wait, including its retries, in ms.
    pub deadline_ms: f64,
    /// Value of one request, relative to other classes.
    pub worth: f64,
    /// Share of the worth that a response after the target still earns.
    pub late_worth: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// True if its response is streamed.
    pub stream: bool,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Backends drop duplicates by the request's idempotency key, within a scope and for a limited time.
    Keyed {
        /// The backends that share their keys.
        scope: DedupScope,
        /// How long a key is remembered after the first attempt that may have been executed, in ms.
        window_ms: f64,
    },
    /// At most once.
    #[default]
    NonIdempotent,
}

/// The backends among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// Refill rate of the quota's token bucket, in units a second; 0 for no rate quota.
    pub rate: f64,
    /// Size of that token bucket, in units.
    pub burst: f64,
    /// Maximum attempts in flight within the quota; 0 for no such limit.
    pub max_in_flight: u32,
    /// Factor on the class's worth.
    pub worth_factor: f64,
    /// Share of the worth that a request beyond the quota earns.
    pub excess_worth: f64,
    /// Share of the worth that an attempt beyond the quota costs.
    pub excess_cost: f64,
    /// Refill rate of the hard limit's token bucket, in units a second; 0 for no hard limit.
    pub ceiling_rate: f64,
    /// Size of the hard limit's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the hard limit's token bucket may be overdrawn.
    pub ceiling_slack: f64,
}

/// The shared quota counter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counter {
    /// Timeout of a call, in ms.
    pub timeout_ms: f64,
    /// Cost of making one call per request.
    pub call_cost: f64,
}

/// What the gateway may do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Maximum attempts of one request.
    pub max_attempts: u32,
    /// True if two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// True if attempts may be cancelled.
    pub cancel: bool,
    /// True if backends may be probed.
    pub probes: bool,
    /// True if gateways may send each other messages.
    pub peers: bool,
    /// True if a refusal may tell the client when to retry.
    pub retry_after: bool,
    /// The longest such delay that clients respect, in ms.
    pub max_retry_after_ms: f64,
}

/// What unwanted results cost, as shares of the total worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalties {
    /// For attempts sent to another zone, per first attempt.
    pub cross_zone: f64,
    /// For backend work that produced no response, per work offered.
    pub waste: f64,
    /// For probes, per first attempt.
    pub probe: f64,
    /// For worth of requests that failed after their latency target.
    pub late_fail: f64,
}

/// Timing and capacity parameters of the site.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rules {
    /// A final response this long after the deadline still counts as in time, in ms.
    pub deadline_grace_ms: f64,
    /// Minimum share of its capacity that a backend has when it starts.
    pub cold_capacity: f64,
    /// Time by which a backend has reached its full capacity, in ms.
    pub warm_up_ms: f64,
    /// Time within which attempts to a draining or removed backend must have ended, in ms.
    pub drain_grace_ms: f64,
    /// Load under which a cold backend fails, as a multiple of its current capacity.
    pub overload_multiple: f64,
    /// How long that load must last for the backend to fail, in ms.
    pub overload_ms: f64,
    /// Maximum interval between two polls of the backend list, in ms.
    pub max_poll_interval_ms: f64,
    /// A request is refused if its expected time exceeds this share of the time left to its latency target;
    /// 0 for the default.
    pub early_refusal_share: f64,
    /// The retry budget; the default one if absent.
    pub retry_budget: Option<RetryBudget>,
}

/// A retry budget per service: this gateway's part of one that all gateways share. Retries of attempts that a
/// backend rejected are charged as well.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Maximum number of unused retries that accumulate.
    pub burst: f64,
}

/// How backends report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReports {
    /// Not at all.
    #[default]
    Off,
    /// With every response, including that to a probe.
    Responses,
    /// With probe responses only.
    Probes,
}

/// A load report; values that the backend does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests waiting in the queue.
    pub queue_depth: Option<f64>,
    /// Share of the processor in use.
    pub cpu_utilization: Option<f64>,
    /// Recent service time, excluding time in the queue, in ms.
    pub service_ms: Option<f64>,
    /// Requests served a second.
    pub served_per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

/// A backend as described by the backend list.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEntry {
    /// The backend.
    pub id: BackendId,
    /// Its zone.
    pub zone: u32,
    /// Its kind, for example a machine type.
    pub kind: u32,
    /// Its cell within the zone.
    pub cell: u32,
    /// Its state.
    pub state: BackendState,
    /// Its relative size; 1 if unknown.
    pub size: f64,
    /// When it last started; 0 if long ago.
    pub started: Millis,
    /// The backend pool it belongs to, by index: a pool serves the requests of one service.
    pub pool: u32,
    /// Extra cost of sending to it, for example to a remote region, in multiples of the usual service time.
    pub distance_cost: f64,
    /// Until this time it is sent at most `cold_per_s`; 0 for no such limit.
    pub cold_until: Millis,
    /// This gateway's part of the requests a second that it can take while cold.
    pub cold_per_s: f64,
    /// Until this time this gateway sends it at most `limit` attempts in any second; 0 for no such limit.
    pub limited_until: Millis,
    /// Maximum attempts a second; with 0 it gets none.
    pub limit: u32,
}

/// A backend's state in the backend list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Accepts requests.
    Ready,
    /// Completes its requests and accepts no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The backends have no capacity to serve it in time.
    NoCapacity,
    /// Its customer is beyond the quota.
    Quota,
    /// No backend may take it, or no attempt is left.
    AttemptsExhausted,
    /// It arrived with no time left, or names an unknown class or plan.
    DeadlineExceeded,
}

impl Reason {
    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoCapacity => "room",
            Reason::Quota => "quota",
            Reason::AttemptsExhausted => "unsent",
            Reason::DeadlineExceeded => "time",
        }
    }
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Succeeded.
    Ok,
    /// Answered with an error; may have been executed.
    Error,
    /// Rejected for lack of capacity; not executed.
    Rejected,
    /// No response in time; may have been executed.
    Timeout,
    /// No connection could be opened, or too little of the request was written to start it; not executed.
    ConnectFailed,
    /// The connection broke; may have been executed.
    Reset,
    /// Cancelled by the gateway; may have been executed.
    Cancelled,
    /// Not sent at all; not executed.
    NotSent,
}

impl CallResult {
    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            CallResult::Ok => "ok",
            CallResult::Error => "error",
            CallResult::Rejected => "full",
            CallResult::Timeout => "timeout",
            CallResult::ConnectFailed => "connect_failed",
            CallResult::Reset => "reset",
            CallResult::Cancelled => "cancelled",
            CallResult::NotSent => "moot",
        }
    }

    /// True if the result proves that the request was not executed.
    pub fn never_ran(self) -> bool {
        matches!(self, CallResult::Rejected | CallResult::ConnectFailed | CallResult::NotSent)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The customer it is charged to.
    pub customer: CustomerId,
    /// The customer's plan, an index into the settings.
    pub plan: u32,
    /// Its class, an index into the settings.
    pub class: u32,
    /// Units charged to the quota; an estimate where the response corrects them.
    pub units: f64,
    /// Time until the client gives up, in ms.
    pub budget_ms: f64,
    /// Number of gateways that this customer's requests arrive at.
    pub customer_gateways: f64,
    /// True if the client marked it as a retry.
    pub is_retry: bool,
    /// True if its body is forwarded while it is received: its time budget starts with [`Event::BodySent`].
    pub body_streams: bool,
    /// The backend pool that serves it, by index.
    pub pool: u32,
    /// A pool whose nearest backends are tried first, once, if one can take the request at once: those of a new
    /// version of the service. Load and capacity are those of `pool`.
    pub canary_pool: Option<u32>,
    /// Bit mask of the zones whose backends may serve it; zones from 63 on share the last bit.
    pub zone_mask: u64,
}

/// What the decision module is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new backend list, or changed entries of it.
    List {
        /// True if the list is complete: backends that it lacks have been removed.
        full: bool,
        /// The entries.
        entries: Vec<BackendEntry>,
    },
    /// Polling the backend list failed; the last list stays in use.
    ListFailed,
    /// The settings changed. An open request keeps the class that it arrived with. Indexes of plans keep their
    /// meaning while an open request refers to them, and may be reassigned afterwards.
    Settings(Settings),
    /// A request arrived.
    Request(Request),
    /// The body of a [streaming](Request::body_streams) request was sent in full; it can't be sent again.
    BodySent {
        /// The request.
        id: RequestId,
        /// The attempt's index.
        attempt: u8,
    },
    /// A streamed response began; the deadline no longer applies.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt's index.
        attempt: u8,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The request needs no response from the module any more, for example because the client disconnected.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A probe ended.
    Probed {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        result: CallResult,
        /// Time since it was sent, in ms.
        took_ms: f64,
        /// The backend's load report.
        load: Load,
    },
    /// A call to the shared counter ended.
    Counted {
        /// The key of the count.
        key: u64,
        /// How it ended.
        result: CallResult,
        /// The total after the call, if it succeeded.
        total: f64,
        /// Time since the call, in ms.
        took_ms: f64,
    },
    /// The number of gateways that this one sees as alive has changed.
    Gateways {
        /// Their number, including this one.
        present: u32,
        /// True if they are a majority of all gateways. If not, this one may be partitioned from the others,
        /// and the number says nothing about them.
        majority: bool,
    },
    /// A message arrived from another gateway.
    Message {
        /// The sender's position.
        from: u32,
        /// The payload.
        body: Vec<u8>,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The attempt's index, from 0 in the order of sending.
    pub attempt: u8,
    /// The backend it was sent to.
    pub backend: BackendId,
    /// How it ended.
    pub result: CallResult,
    /// True if the request now has its final response.
    pub is_final: bool,
    /// The request's actual units, if the response reports them.
    pub units: Option<f64>,
    /// Time since it was sent, in ms.
    pub took_ms: f64,
    /// The backend's load report.
    pub load: Load,
}

/// What the gateway is to do; actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// The attempt's timeout, in ms.
        timeout_ms: f64,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's index.
        attempt: u8,
    },
    /// Refuse the request as its final response; a retry is safe.
    Refuse {
        /// The request.
        id: RequestId,
        /// When the client should retry, in ms from now; 0 for no advice.
        retry_after_ms: f64,
        /// Why.
        reason: Reason,
    },
    /// Fail the request as its final response; it may have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer.
    Timer {
        /// Returned with [`Event::Timer`].
        token: u64,
        /// Time from now, in ms.
        after_ms: f64,
    },
    /// Probe a backend.
    Probe {
        /// The backend.
        backend: BackendId,
    },
    /// Add to a count of the shared counter; the total returns with [`Event::Counted`].
    Count {
        /// The key of the count.
        key: u64,
        /// The amount to add, which may be negative.
        amount: f64,
        /// Expiry of a count that this call creates, in ms.
        lifetime_ms: f64,
    },
    /// Subscribe to changes of the backend list; repeated after [`Event::ListFailed`].
    Watch,
    /// Send a message to another gateway.
    SendMessage {
        /// The receiver's position.
        to: u32,
        /// The payload.
        body: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        line: String,
    },
}
