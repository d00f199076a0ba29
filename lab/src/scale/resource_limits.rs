//! Estimates the resources of a run, and refuses a run that this machine cannot hold.

use super::generator::FleetSize;
use serde::Serialize;

/// Maximum share of the machine's memory that a run may use.
const MAX_MEMORY_SHARE: f64 = 0.5;
/// Maximum share of the free memory that a run may use.
const MAX_FREE_MEMORY_SHARE: f64 = 0.7;
/// Minimum number of simulated gateways that build the route table.
const MIN_FULL_GATEWAYS: usize = 8;
/// Upper bound of the time that one thread spends on building route tables for one change, in s. It limits how long a
/// gateway waits for others on its thread.
const MAX_TABLE_BUILD_S: f64 = 0.5;
/// Time to build a route table, in s per MB of configuration.
const TABLE_BUILD_S_PER_MB: f64 = 0.036;
/// Memory of the route table, the limits and the proxy's copy of the state, as a multiple of the configuration.
const TABLE_MEMORY_FACTOR: f64 = 3.4;
/// Memory of one configuration in the log of a core process, as a multiple of the configuration: the entry, its encoded
/// bytes, and the page cache.
const LOG_MEMORY_FACTOR: f64 = 3.0;
/// Memory of the leader while it sends a configuration, as a multiple of the bytes sent: allocator overhead included.
const PUSH_MEMORY_FACTOR: f64 = 1.3;
/// Upper bound of the kernel's socket buffers of one connection, in MB.
const MAX_SOCKET_BUFFER_MB: f64 = 4.0;
/// Memory of a core process without its log, in MB.
const CORE_PROCESS_MB: f64 = 20.0;
/// Memory of a simulated gateway without its copy of the state and without a table, in MB.
const GATEWAY_BASE_MB: f64 = 0.2;
const MAX_PROCESSES: usize = 40;
/// Somewhat below what the address and descriptor ranges allow.
const MAX_GATEWAYS: usize = 2_000;
const MAX_BACKENDS: usize = 20_000;
const MAX_CHANGES: u64 = 200;

/// Estimated resources of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ResourceEstimate {
    /// Memory by its use, in MB.
    #[serde(rename = "parts")]
    pub memory_parts_mb: Vec<(&'static str, f64)>,
    /// File descriptors of the lab's process.
    pub descriptors: usize,
    /// File descriptors of the leader's process.
    pub leader_descriptors: usize,
    /// Number of processes, with the lab's own.
    pub processes: usize,
    /// Number of simulated gateways that build the route table; the others keep only the agent's copy of the state.
    #[serde(rename = "whole")]
    pub full_gateways: usize,
}

/// Resources of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct MachineResources {
    /// Total memory, in MB.
    pub memory_mb: f64,
    /// Free memory, in MB.
    pub free_mb: f64,
    /// Limit of open file descriptors per process.
    pub descriptors: usize,
}

impl MachineResources {
    /// Reads the resources of this machine.
    pub fn detect() -> Result<MachineResources, String> {
        use procfs::Current;
        let info =
            procfs::Meminfo::current().map_err(|e| format!("cannot read the memory of this machine: {e}"))?;
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).maximum;
        let descriptors = usize::try_from(limit.unwrap_or(u64::MAX)).unwrap_or(usize::MAX);
        let free = info.mem_available.unwrap_or(info.mem_free);
        Ok(MachineResources {
            memory_mb: info.mem_total as f64 / 1e6,
            free_mb: free as f64 / 1e6,
            descriptors,
        })
    }
}

impl ResourceEstimate {
    /// Estimates a run of `changes` changes at this size, with simulated gateways on `threads` threads.
    pub fn new(size: FleetSize, config_mb: f64, threads: usize, changes: u64) -> ResourceEstimate {
        let (gateways, cores) = (size.gateways as f64, size.cores as f64);
        let tables_in_time =
            (MAX_TABLE_BUILD_S / (TABLE_BUILD_S_PER_MB * config_mb) * threads as f64) as usize;
        let full_gateways = tables_in_time.max(MIN_FULL_GATEWAYS).min(size.gateways);
        let log_entries = (changes + 2) as f64;
        let memory_parts_mb = vec![
            (
                "core processes, with their logs",
                cores * (CORE_PROCESS_MB + LOG_MEMORY_FACTOR * log_entries * config_mb),
            ),
            ("the leader's push to all", PUSH_MEMORY_FACTOR * gateways * config_mb),
            ("the system's buffers of links", gateways * config_mb.min(MAX_SOCKET_BUFFER_MB)),
            ("agents' copies", gateways * (GATEWAY_BASE_MB + config_mb)),
            ("whole gateways' tables", full_gateways as f64 * TABLE_MEMORY_FACTOR * config_mb),
            ("messages on their way through the lab", 4.0 * threads as f64 * config_mb),
        ];
        let links = size.gateways * size.cores;
        ResourceEstimate {
            memory_parts_mb,
            descriptors: 256 + links + super::run::HEARTBEAT_CONNECTIONS,
            leader_descriptors: 256 + size.gateways + super::run::HEARTBEAT_CONNECTIONS,
            processes: size.cores + 3,
            full_gateways,
        }
    }

    /// Estimated memory of the whole run, in MB.
    pub fn memory_mb(&self) -> f64 {
        self.memory_parts_mb.iter().map(|(_, mb)| mb).sum()
    }

    /// The reason why these resources do not suffice for the run. None if they do.
    pub fn refusal_reason(
        &self, size: FleetSize, changes: u64, resources: MachineResources,
    ) -> Option<String> {
        let FleetSize { gateways, backends, .. } = size;
        let counts = [
            ("gateways", gateways, MAX_GATEWAYS),
            ("backends", backends, MAX_BACKENDS),
            ("changes", changes as usize, MAX_CHANGES as usize),
            ("processes", self.processes, MAX_PROCESSES),
            ("descriptors of this process", self.descriptors, resources.descriptors),
            ("descriptors of the leader", self.leader_descriptors, resources.descriptors),
        ];
        if let Some((what, required, limit)) =
            counts.into_iter().find(|(_, required, limit)| required > limit)
        {
            return Some(format!("{required} {what} required; the limit is {limit}"));
        }
        let limit_mb =
            (resources.memory_mb * MAX_MEMORY_SHARE).min(resources.free_mb * MAX_FREE_MEMORY_SHARE);
        (self.memory_mb() > limit_mb).then(|| {
            let parts: Vec<_> =
                self.memory_parts_mb.iter().map(|(what, mb)| format!("{mb:.0} for {what}")).collect();
            format!(
                "{:.0} MB required ({}); the limit is {limit_mb:.0} MB: half of the machine's {:.0} MB, and 0.7 of the {:.0} MB free",
                self.memory_mb(),
                parts.join(" + "),
                resources.memory_mb,
                resources.free_mb
            )
        })
    }
}
