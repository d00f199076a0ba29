//! What is spoken with servers in service: the wire of the customers' platform, and the list as discovery tells it.

use crate::config::{Registry, ServerState};
use cherrytally::plane::driver::{BackendProtocol, DiscoveredBackend};
use cherrytally::plane::http::Head;
use cherrytally::{BackendEntry, BackendState, CallResult as Ended};
use std::io::Write;
use std::time::Duration;

/// Names of zones and kinds, in the order of the settings.
#[derive(Clone)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl Names {
    /// The list as the driver takes it.
    pub fn told(&self, registry: Registry) -> (bool, Vec<DiscoveredBackend>) {
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len()) as u32;
        let told = registry.servers.into_iter().map(|server| {
            let state = match server.state {
                ServerState::Ready => BackendState::Ready,
                ServerState::Terminating => BackendState::Draining,
                ServerState::Gone => BackendState::Gone,
            };
            let listed = BackendEntry {
                id: 0,
                zone: place(&self.zones, &server.zone),
                kind: place(&self.kinds, &server.kind),
                cell: server.cell,
                state,
                size: server.weight,
                started: server.started_ms,
                pool: 0,
                distance_cost: 0.0,
                cold_until: 0.0,
                cold_per_s: 0.0,
                limited_until: 0.0,
                limit: 0,
            };
            DiscoveredBackend { name: server.id, addr: server.addr, entry: listed }
        });
        (registry.full, told.collect())
    }
}

/// The platform's wire.
pub struct Platform;

impl BackendProtocol for Platform {
    fn write_attempt_headers(&self, message: &mut Vec<u8>, _: &str, left: Duration) {
        // A Vec takes every write.
        let _ = write!(message, "X-Remaining-Ms: {}\r\n", left.as_millis());
    }

    fn classify_response(&self, head: &Head) -> Ended {
        match head.status {
            200 => Ended::Ok,
            // Only these two with this header prove that the request never ran.
            503 | 504 if head.not_executed => Ended::Rejected,
            _ => Ended::Error,
        }
    }

    fn matches_request(&self, _: &Head, _: &[u8]) -> bool {
        true
    }

    fn forwards_errors(&self) -> bool {
        false
    }

    fn may_start_early(&self) -> bool {
        // Its servers wait for the whole body.
        false
    }
}
