//! Records of a run on a single clock outside the gateways: the tries of clients, the attempts at servers, and the
//! events of gateways and servers.
//!
//! A client sends a request in one or more tries, each through one gateway. A gateway forwards a try to servers in any
//! number of attempts.

use crate::model::workload::Request;

/// Returns the transaction ID of a try: the index of its request and the number of the try.
pub fn transaction_id(request_index: usize, try_number: u32) -> u64 {
    ((request_index as u64) << 8) | u64::from(try_number.min(255))
}

/// Returns the index of the request that a transaction ID belongs to, or none if it is not below `request_count`.
pub fn request_index(txn: u64, request_count: usize) -> Option<usize> {
    usize::try_from(txn >> 8).ok().filter(|index| *index < request_count)
}

/// Result of a try, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// Status 200 with the body that a server returned for this request.
    Served,
    /// Status 200 with a different body.
    WrongBody,
    /// Status 429 or 503, with the Retry-After in ms.
    Refused(Option<u32>),
    /// Any other status.
    Failed(u16),
    /// No connection was established, or it was closed before the whole request was written.
    Unreached,
    /// The connection was closed without a response.
    Disconnected,
    /// The client timed out waiting for a response.
    TimedOut,
}

/// One try of a request, through one gateway.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// Transaction ID on the wire.
    pub txn: u64,
    /// Index of the request.
    pub request_index: usize,
    /// Index of the gateway.
    pub gateway: usize,
    /// When the last byte was written, in s, or when the try started if it was not written completely.
    pub sent_at: f64,
    /// Whether the last byte was written.
    pub written: bool,
    /// Deadline of the client, in s.
    pub deadline: f64,
    /// Time and result, or none while the try is in progress.
    pub outcome: Option<(f64, TryOutcome)>,
    /// Number of responses beyond the first.
    pub extra_responses: u32,
}

/// Result of an attempt at a server, as seen by the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// In progress.
    InProgress,
    /// The request was processed and its response was sent.
    Done,
    /// The request was processed, but a fault dropped or corrupted its response.
    ResponseLost,
    /// The server returned an error without processing the request.
    Error,
    /// The server rejected the request without processing it.
    Rejected,
    /// The gateway closed the connection, or the server died.
    Aborted,
}

/// One attempt of a gateway at a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Transaction ID on the wire.
    pub txn: u64,
    /// Index of the server.
    pub server: usize,
    /// Index of the gateway.
    pub gateway: usize,
    /// When the first byte arrived, in s.
    pub first_byte_at: f64,
    /// When the last byte arrived, in s.
    pub received_at: f64,
    /// Whether the server accepted the request for processing or into its queue.
    pub accepted: bool,
    /// Time and result.
    pub outcome: (f64, AttemptOutcome),
}

/// An event of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayEvent {
    /// The process reported that it is ready.
    Ready,
    /// SIGKILL was sent.
    Killed,
    /// SIGSTOP was sent.
    Paused,
    /// SIGCONT was sent.
    Resumed,
    /// SIGTERM was sent.
    Terminated,
    /// The process exited after SIGTERM.
    Exited,
    /// The process exited without a signal from the lab.
    Crashed,
}

/// Availability of a server for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAvailability {
    /// Listed and running.
    Up,
    /// Draining before its removal.
    Draining,
    /// Not running, unreachable or not listed.
    Unavailable,
}

/// All records of a run.
#[derive(Default)]
pub struct History {
    /// All planned requests, in order of their due times. Other records refer to a request by its index here.
    pub requests: Vec<Request>,
    /// When each request was first sent, in s, or none if the run ended before.
    pub first_sent: Vec<Option<f64>>,
    /// All tries, in order of their start.
    pub tries: Vec<Try>,
    /// All attempts at servers, in order of arrival.
    pub attempts: Vec<Attempt>,
    /// Number of attempts with a transaction ID that no client sent.
    pub unknown_requests: u64,
    /// Notifications of gateways by discovery: time, gateway, server, and whether the server is draining or gone
    /// (true) or ready (false).
    pub notifications: Vec<(f64, usize, usize, bool)>,
    /// Events of gateways: time, gateway, event.
    pub gateway_events: Vec<(f64, usize, GatewayEvent)>,
    /// Changes of the availability of servers: time, server, new availability.
    pub server_availability: Vec<(f64, usize, ServerAvailability)>,
    /// Relative speed of each server. The average is 1.
    pub speeds: Vec<f64>,
    /// Times of tries that were refused while a server had an idle core.
    pub needless_refusals: Vec<f64>,
    /// Connections that servers accepted: time, server.
    pub connections: Vec<(f64, usize)>,
    /// Number of probes that servers responded to.
    pub probes: u64,
    /// Number of calls to the quota counter, and how many of them it rejected.
    pub counter_calls: (u64, u64),
    /// When the load ended, in s.
    pub load_end: f64,
}

impl History {
    /// Whether a gateway ran without interruption from `from` until `until`, so that it had to respond to a request
    /// received at `from`. After SIGTERM it accepts requests for another `shutdown_grace` seconds.
    pub fn was_running(&self, gateway: usize, from: f64, until: f64, shutdown_grace: f64) -> bool {
        let interrupts = |event: &GatewayEvent| {
            matches!(event, GatewayEvent::Killed | GatewayEvent::Paused | GatewayEvent::Crashed)
        };
        !self.gateway_events.iter().any(|(at, which, event)| {
            *which == gateway
                && ((interrupts(event) && (from..=until).contains(at))
                    // The gateway need not accept requests received after the grace period.
                    || (*event == GatewayEvent::Terminated && *at + shutdown_grace < from && from < *at + 60.0))
        }) && !self.was_stopped_at(gateway, from)
    }

    /// Whether a gateway's process was dead or paused at a time.
    fn was_stopped_at(&self, gateway: usize, at: f64) -> bool {
        let mut before =
            self.gateway_events.iter().filter(|(then, which, _)| *which == gateway && *then <= at);
        before.next_back().is_some_and(|(_, _, event)| {
            matches!(
                event,
                GatewayEvent::Killed | GatewayEvent::Paused | GatewayEvent::Crashed | GatewayEvent::Exited
            )
        })
    }

    /// Returns the availability of a server at a time.
    pub fn server_availability_at(&self, server: usize, at: f64) -> ServerAvailability {
        let mut before =
            self.server_availability.iter().filter(|(then, which, _)| *which == server && *then <= at);
        before.next_back().map_or(ServerAvailability::Unavailable, |(_, _, availability)| *availability)
    }

    /// Returns the index of the request that a transaction ID belongs to, or none for an ID that no client can have
    /// sent.
    pub fn request_index(&self, txn: u64) -> Option<usize> {
        request_index(txn, self.requests.len())
    }

    /// Returns for each request the time of its first `Served` result.
    pub fn served_at(&self) -> Vec<Option<f64>> {
        let mut served_at = vec![None; self.requests.len()];
        for client_try in &self.tries {
            if let (Some((at, TryOutcome::Served)), Some(first_served_at)) =
                (client_try.outcome, served_at.get_mut(client_try.request_index))
            {
                *first_served_at = first_served_at.or(Some(at));
            }
        }
        served_at
    }
}
