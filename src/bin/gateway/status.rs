//! The status that a gateway reports to operators. The gateway and the command line share these types.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Status of a gateway process at one moment.
#[derive(Debug, Deserialize, Serialize)]
pub struct Status {
    /// The gateway's name; empty if none is configured.
    pub name: String,
    pub version: String,
    pub pid: u32,
    /// Seconds since the process started.
    pub uptime_s: f64,
    pub phase: Phase,
    /// Open client connections.
    pub connections: usize,
    /// Requests accepted and not yet ended.
    pub open_requests: usize,
    /// Attempts written completely to servers.
    pub relayed: u64,
    pub classes: Vec<ClassCounts>,
    /// Refused requests by reason: `room`, `quota`, `unsent` and `time`.
    pub refusals: BTreeMap<String, u64>,
    pub servers: ServerCounts,
    /// None without a cluster.
    pub members: Option<MembershipSummary>,
    pub process: Process,
}

/// Whether clients should be sent to the gateway, and if not why.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Ready,
    /// It has just started, or knows no ready server.
    Unready,
    Draining,
    /// It is shutting down after SIGTERM.
    Ending,
}

/// Requests of one class that ended since the start of the process, by outcome.
#[derive(Debug, Deserialize, Serialize)]
pub struct ClassCounts {
    pub name: String,
    pub fulfilled: u64,
    pub throttled: u64,
    pub faulted: u64,
}

/// Servers listed by discovery.
#[derive(Debug, Deserialize, Serialize)]
pub struct ServerCounts {
    pub listed: usize,
    /// Listed servers that currently receive no requests.
    pub avoided: usize,
}

/// Summary of the cluster membership in this process's view.
#[derive(Debug, Deserialize, Serialize)]
pub struct MembershipSummary {
    /// Members present, including this one.
    pub present: u32,
    /// Expected cluster size.
    pub expected: Option<u32>,
    /// Members that failed and have not returned.
    pub missing: usize,
    /// Whether those present are a majority of the expected size.
    pub majority: Option<bool>,
}

/// Resource usage of the process. All values from the system are 0 if /proc cannot be read.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Process {
    pub resident_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Limit on open descriptors, from the configuration.
    #[serde(rename = "descriptors_most")]
    pub max_descriptors: usize,
    /// User and system CPU time since the start, in seconds.
    pub cpu_s: f64,
}

impl Process {
    /// Reads the usage of this process from /proc.
    pub fn current(max_descriptors: usize) -> Self {
        let read = || {
            let process = procfs::process::Process::myself()?;
            let stat = process.stat()?;
            let cpu_s = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
            let resident_bytes = stat.rss * procfs::page_size();
            Ok::<_, procfs::ProcError>((resident_bytes, process.fd_count()?, cpu_s))
        };
        let (resident_bytes, descriptors, cpu_s) = read().unwrap_or_default();
        Process { resident_bytes, descriptors, max_descriptors, cpu_s }
    }
}
