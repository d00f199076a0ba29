//! The HTTP protocol of the backends, and the conversion of discovery's backend list.

use crate::config::{Registry, ServerState};
use oakfall::plane::driver::{BackendProtocol, DiscoveredBackend};
use oakfall::plane::http::Head;
use oakfall::{BackendEntry, BackendState, CallResult};
use std::io::Write;
use std::time::Duration;

/// Names of zones and kinds, in the order of the settings; a position is the number that the library uses.
#[derive(Clone)]
pub struct RegistryNames {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl RegistryNames {
    /// Converts a list for the driver; the flag says whether it is complete. Unknown names get the number
    /// after the last one.
    pub fn to_backends(&self, registry: Registry) -> (bool, Vec<DiscoveredBackend>) {
        let index_of =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(names.len()) as u32;
        let backends = registry.servers.into_iter().map(|server| {
            let state = match server.state {
                ServerState::Ready => BackendState::Ready,
                ServerState::Terminating => BackendState::Draining,
                ServerState::Gone => BackendState::Gone,
            };
            let entry = BackendEntry {
                id: 0,
                zone: index_of(&self.zones, &server.zone),
                kind: index_of(&self.kinds, &server.kind),
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
            DiscoveredBackend { name: server.id, addr: server.addr, entry }
        });
        (registry.full, backends.collect())
    }
}

/// The platform's protocol between gateway and backends.
pub struct PlatformProtocol;

impl BackendProtocol for PlatformProtocol {
    fn write_attempt_headers(&self, message: &mut Vec<u8>, _: &str, remaining: Duration) {
        // Writing to a Vec cannot fail.
        let _ = write!(message, "X-Remaining-Ms: {}\r\n", remaining.as_millis());
    }

    fn classify_response(&self, head: &Head) -> CallResult {
        match head.status {
            200 => CallResult::Ok,
            // These statuses prove that the request was not executed only if this header is present.
            503 | 504 if head.not_run => CallResult::Rejected,
            _ => CallResult::Error,
        }
    }

    fn matches_request(&self, _: &Head, _: &[u8]) -> bool {
        true
    }

    fn forwards_errors(&self) -> bool {
        false
    }

    fn may_start_early(&self) -> bool {
        // The backends wait for the whole body.
        false
    }
}
