//! What a process tells of itself to operators, in one form for the side that tells and the side that reads.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A process at one moment.
#[derive(Debug, Deserialize, Serialize)]
pub struct Status {
    /// The gateway's name; empty where its configuration gives none.
    pub name: String,
    pub version: String,
    pub pid: u32,
    /// Seconds since the process started.
    pub uptime_s: f64,
    pub phase: Phase,
    /// Connections of clients.
    pub connections: usize,
    /// Requests taken and not yet ended.
    pub open_requests: usize,
    /// Attempts written whole to servers.
    pub relayed: u64,
    pub classes: Vec<Class>,
    /// Requests refused, by reason: `room`, `quota`, `unsent` and `time`.
    pub refusals: BTreeMap<String, u64>,
    pub servers: Servers,
    /// Absent without a cluster.
    pub members: Option<Members>,
    pub process: Process,
}

/// Whether clients are to come.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Ready,
    /// It just started or knows no ready server.
    Unready,
    Draining,
    /// SIGTERM came.
    Ending,
}

/// How requests of one class ended since the start.
#[derive(Debug, Deserialize, Serialize)]
pub struct Class {
    pub name: String,
    pub fulfilled: u64,
    pub throttled: u64,
    pub faulted: u64,
}

/// Servers of the list.
#[derive(Debug, Deserialize, Serialize)]
pub struct Servers {
    pub listed: usize,
    /// Those of them that get no requests now.
    pub avoided: usize,
}

/// The cluster as this process sees it.
#[derive(Debug, Deserialize, Serialize)]
pub struct Members {
    pub present: u32,
    pub expected: Option<u32>,
    pub missing: usize,
    pub majority: Option<bool>,
}

/// What the process takes of the machine. A figure that the system does not tell is 0.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Process {
    pub resident_bytes: u64,
    pub descriptors: usize,
    /// Descriptors that the configuration allows.
    pub descriptors_most: usize,
    pub cpu_s: f64,
}

impl Process {
    /// This process, by /proc.
    pub fn now(descriptors_most: usize) -> Self {
        let read = || {
            let me = procfs::process::Process::myself()?;
            let stat = me.stat()?;
            let cpu_s = (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64;
            let resident_bytes = stat.rss * procfs::page_size();
            Ok::<_, procfs::ProcError>((resident_bytes, me.fd_count()?, cpu_s))
        };
        let (resident_bytes, descriptors, cpu_s) = read().unwrap_or_default();
        Process { resident_bytes, descriptors, descriptors_most, cpu_s }
    }
}
