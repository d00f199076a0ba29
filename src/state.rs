//! The state that a gateway keeps per customer, request, pool and backend. No decision is made here.

use crate::interface::{BackendEntry, BackendId, Class, CustomerId, Millis, Request, RequestId};
use std::collections::VecDeque;

/// One customer as this gateway sees it.
#[derive(Default)]
pub(crate) struct Customer {
    /// Units left in the quota's token bucket, estimated from the shared count and this gateway's own grants.
    pub(crate) balance: f64,
    pub(crate) balance_at: Millis,
    /// Corrections (settled, refused or failed charges) to be added to the next charge.
    pub(crate) deferred_units: f64,
    pub(crate) deferred_at: Millis,
    /// Number of the counting window that was charged last.
    pub(crate) window: u64,
    /// Fleet-wide usage as of the last total, decayed to `usage_at`.
    pub(crate) usage: Option<f64>,
    pub(crate) usage_at: Millis,
    /// Units that this gateway added to the window's count.
    pub(crate) own_charges: f64,
    /// Usage carried over from earlier windows when this one began.
    pub(crate) carried_usage: f64,
    /// Units of requests that wait for the counter or for a peer.
    pub(crate) waiting_units: f64,
    /// Counter calls in flight.
    pub(crate) counter_calls: u32,
    pub(crate) last_call_at: Millis,
    /// Usage by the other gateways, in units per second, averaged.
    pub(crate) peer_rate: f64,
    /// Peer usage deducted from the balance by extrapolation since the last total.
    pub(crate) projected_usage: f64,
    pub(crate) attempts_in_flight: u32,
    /// Units left in this gateway's share of the hard limit's token bucket.
    pub(crate) ceiling_balance: f64,
    pub(crate) last_used_at: Millis,
}

/// Latency of a class of requests on an idle backend of average speed.
pub(crate) struct ClassLatency {
    pub(crate) mean_ms: f64,
    pub(crate) samples: f64,
}

/// The number of gateways present, as last reported.
pub(crate) struct Membership {
    pub(crate) present: f64,
    /// The number assumed when the report arrived.
    pub(crate) previous: f64,
    pub(crate) reported_at: Millis,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Millis,
    /// This gateway's requests at the backend when it was sent, including this one.
    pub(crate) queue_depth: f64,
    pub(crate) in_flight: bool,
    /// The backend has the whole request and has not started a streamed response.
    pub(crate) processing: bool,
}

/// A request that has not been closed, or still has attempts in flight.
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// Its class as of its arrival. Later settings may give the class's index another meaning.
    pub(crate) class: Class,
    pub(crate) deadline: Millis,
    /// A response after this misses the latency target.
    pub(crate) target_deadline: Millis,
    /// Waits for the response of the counter or of a peer.
    pub(crate) waiting: bool,
    /// A peer was asked for the balance instead of the counter.
    pub(crate) asked_peer: bool,
    /// Within the quota as far as known, and not settled yet.
    pub(crate) within_quota: bool,
    pub(crate) closed: bool,
    pub(crate) streaming: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// The first attempt that may have executed: when it was sent, and to which backend.
    pub(crate) executed: Option<(Millis, BackendId)>,
}

impl OpenRequest {
    pub(crate) fn new(request: Request, class: Class, now: Millis) -> Self {
        OpenRequest {
            deadline: now + request.budget_ms,
            target_deadline: now + class.target_ms.min(request.budget_ms),
            request,
            class,
            waiting: false,
            asked_peer: false,
            within_quota: true,
            closed: false,
            streaming: false,
            attempts: Vec::new(),
            executed: None,
        }
    }

    /// Index of its class's latency.
    pub(crate) fn class_index(&self) -> usize {
        self.request.class as usize
    }

    /// Index of its plan in the settings.
    pub(crate) fn plan(&self) -> usize {
        self.request.plan as usize
    }
}

/// The load of one pool of backends as this gateway sees it.
#[derive(Default)]
pub(crate) struct PoolLoad {
    pub(crate) in_flight: f64,
    pub(crate) mean_in_flight: f64,
    pub(crate) responses_per_s: f64,
    /// Mean latency of responses as a share of the latency target.
    pub(crate) target_share: f64,
    /// When the averages above were last updated.
    pub(crate) updated_at: Millis,
    /// When a request within its quota was last refused for lack of capacity.
    pub(crate) overloaded_at: Millis,
    pub(crate) retry_tokens: f64,
    /// Average rate of first attempts, including those for which no backend was found.
    pub(crate) requests_per_s: f64,
    pub(crate) requests_at: Millis,
}

/// A window in which one customer's usage is counted.
pub(crate) struct Window {
    pub(crate) number: u64,
    /// Key of the customer's count in this window.
    pub(crate) key: u64,
    pub(crate) left_ms: f64,
}

/// A call to the counter that has no response yet.
pub(crate) struct Call {
    pub(crate) customer: CustomerId,
    pub(crate) request: RequestId,
    pub(crate) plan: usize,
    /// What is added to the count: `units` and corrections, decayed to the end of the window.
    pub(crate) amount: f64,
    pub(crate) units: f64,
}

/// Window of a backend's rate limit: one second plus the drift of timers and clocks.
const LIMIT_WINDOW_MS: Millis = 1050.0;

/// One backend as this gateway sees it.
pub(crate) struct Backend {
    pub(crate) listed: BackendEntry,
    /// Rank of the backend at this gateway, in [0, 1): those with the lowest ranks form its subset.
    pub(crate) subset_rank: f64,
    /// When it started or returned to the list, if it may still be warming up.
    pub(crate) warming_since: Option<Millis>,
    /// Token bucket of the attempts it may be sent during warm-up.
    pub(crate) warm_up_tokens: f64,
    pub(crate) warm_up_tokens_at: Millis,
    /// Times of recent attempts, recorded while a rate limit applies.
    pub(crate) recent_sends: VecDeque<Millis>,
    pub(crate) in_flight: u32,
    /// Its latency relative to the mean of the backends.
    pub(crate) relative_latency: f64,
    pub(crate) latency_at: Millis,
    /// Time of the last success or rejection, or of the first request since none was in flight, if later.
    pub(crate) last_response_at: Millis,
    /// Sum of the points of consecutive failures; at `EJECTION_POINTS` it is ejected.
    pub(crate) failure_points: u32,
    /// Moving average of the share of its responses that are errors, as of `error_rate_at`.
    pub(crate) error_rate: f64,
    pub(crate) error_rate_at: Millis,
    /// End of its ejection; a trial request follows.
    pub(crate) ejected_until: Millis,
    /// Per plan, until when it is avoided because it rejected a request or a connection.
    pub(crate) avoided_until: Vec<Millis>,
}

impl Backend {
    pub(crate) fn new(
        listed: BackendEntry, warming_since: Option<Millis>, now: Millis, subset_rank: f64,
    ) -> Self {
        Backend {
            listed,
            subset_rank,
            warming_since,
            warm_up_tokens: 0.0,
            warm_up_tokens_at: now,
            recent_sends: VecDeque::new(),
            in_flight: 0,
            relative_latency: 1.0,
            latency_at: now,
            last_response_at: now,
            failure_points: 0,
            error_rate: 0.0,
            error_rate_at: now,
            ejected_until: now,
            avoided_until: Vec::new(),
        }
    }

    /// The error rate, decayed by a factor e per `memory_ms`.
    pub(crate) fn decayed_error_rate(&self, now: Millis, memory_ms: f64) -> f64 {
        self.error_rate * (-(now - self.error_rate_at).max(0.0) / memory_ms).exp()
    }

    /// Attempts sent within the window of the rate limit.
    pub(crate) fn sends_in_window(&self, now: Millis) -> usize {
        self.recent_sends.iter().rev().take_while(|at| now - **at < LIMIT_WINDOW_MS).count()
    }

    /// Records an attempt for the rate limit, if one applies.
    pub(crate) fn record_send(&mut self, now: Millis) {
        if self.listed.limited_until > now {
            self.recent_sends.retain(|at| now - *at < LIMIT_WINDOW_MS);
            self.recent_sends.push_back(now);
        }
    }

    /// Counts one more request that the backend processes.
    pub(crate) fn start_request(&mut self, now: Millis) {
        if self.in_flight == 0 {
            self.last_response_at = now;
        }
        self.in_flight += 1;
    }
}
