//! What a run asks of this machine, reckoned before anything starts.

use super::draw::Size;
use serde::Serialize;

/// A run may take this part of the machine's memory.
const OF_MEMORY: f64 = 0.5;
/// And this part of what is free at present: others work here, too.
const OF_FREE: f64 = 0.7;
/// Hollow gateways that hold all of the table, at least: enough for a median.
const WHOLE_LEAST: usize = 8;
/// Tables that one thread of hollow gateways makes for one change take so long at most, in s, so that a gateway's own time
/// is not that of its neighbours.
const TABLES_S: f64 = 0.5;
/// Making a table takes so long for each MB of the configuration, in s (`granite-lab slopes`: 196 ms for 5.44 MB).
const TABLE_S_PER_MB: f64 = 0.036;
/// What the table, the limits and the proxy's copy hold, as a multiple of the configuration (18.4 MB for 5.44 MB).
const TABLE_TIMES: f64 = 3.4;
/// A configuration in the log of a core process, in memory: the entry, its bytes on the way to disk, the disk's own.
const LOGGED_TIMES: f64 = 3.0;
/// A push at the leader: the bytes for each gateway, and the room that its allocator keeps.
const PUSHED_TIMES: f64 = 1.3;
/// What waits in the system's buffers of one connection, at most, in MB.
const BUFFER_MB: f64 = 4.0;
/// A core process, the lab and each hollow gateway without a table, in MB.
const CORE_MB: f64 = 20.0;
const GATEWAY_MB: f64 = 0.2;
/// Processes of a run at most.
const PROCESSES_MOST: usize = 40;
/// Gateways at most: numbers of addresses and of descriptors end somewhat above.
const GATEWAYS_MOST: usize = 2_000;
/// Backends at most.
const BACKENDS_MOST: usize = 20_000;
/// Changes at most.
const CHANGES_MOST: u64 = 200;

/// What a run needs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Needs {
    /// MB, by what holds them.
    pub parts: Vec<(&'static str, f64)>,
    /// Descriptors of the lab's process.
    pub descriptors: usize,
    /// Descriptors of the leader's.
    pub leader_descriptors: usize,
    /// Processes.
    pub processes: usize,
    /// Hollow gateways that make and hold the table; the others hold the agent's copy alone.
    pub whole: usize,
}

/// What there is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Room {
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Of it free, in MB.
    pub free_mb: f64,
    /// Descriptors that one process may open.
    pub descriptors: usize,
}

impl Room {
    /// This machine's.
    pub fn here() -> Result<Room, String> {
        use procfs::Current;
        let info = procfs::Meminfo::current().map_err(|e| format!("the machine's memory: {e}"))?;
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).maximum;
        let descriptors = usize::try_from(limit.unwrap_or(u64::MAX)).unwrap_or(usize::MAX);
        let free = info.mem_available.unwrap_or(info.mem_free);
        Ok(Room { memory_mb: info.mem_total as f64 / 1e6, free_mb: free as f64 / 1e6, descriptors })
    }
}

impl Needs {
    /// Of one size, with a configuration of so many MB, in so many threads, with so many changes.
    pub fn of(size: Size, config_mb: f64, threads: usize, changes: u64) -> Needs {
        let (gateways, cores) = (size.gateways as f64, size.cores as f64);
        let at_once = (TABLES_S / (TABLE_S_PER_MB * config_mb) * threads as f64) as usize;
        let whole = at_once.max(WHOLE_LEAST).min(size.gateways);
        let logged = (changes + 2) as f64;
        let parts = vec![
            ("core processes, with their logs", cores * (CORE_MB + LOGGED_TIMES * logged * config_mb)),
            ("the leader's push to all", PUSHED_TIMES * gateways * config_mb),
            ("the system's buffers of links", gateways * config_mb.min(BUFFER_MB)),
            ("agents' copies", gateways * (GATEWAY_MB + config_mb)),
            ("whole gateways' tables", whole as f64 * TABLE_TIMES * config_mb),
            ("messages on their way through the lab", 4.0 * threads as f64 * config_mb),
        ];
        let links = size.gateways * size.cores;
        Needs {
            parts,
            descriptors: 256 + links + super::run::BEAT_LINKS,
            leader_descriptors: 256 + size.gateways + super::run::BEAT_LINKS,
            processes: size.cores + 3,
            whole,
        }
    }

    /// All of the memory, in MB.
    pub fn memory_mb(&self) -> f64 {
        self.parts.iter().map(|(_, mb)| mb).sum()
    }

    /// Why this machine can't bear it, with the sum.
    pub fn refused(&self, size: Size, changes: u64, room: Room) -> Option<String> {
        let Size { gateways, backends, .. } = size;
        let counts = [
            ("gateways", gateways, GATEWAYS_MOST),
            ("backends", backends, BACKENDS_MOST),
            ("changes", changes as usize, CHANGES_MOST as usize),
            ("processes", self.processes, PROCESSES_MOST),
            ("descriptors of this process", self.descriptors, room.descriptors),
            ("descriptors of the leader", self.leader_descriptors, room.descriptors),
        ];
        if let Some((what, wanted, most)) = counts.into_iter().find(|(_, wanted, most)| wanted > most) {
            return Some(format!("{wanted} {what}, and {most} are the most"));
        }
        let most = (room.memory_mb * OF_MEMORY).min(room.free_mb * OF_FREE);
        (self.memory_mb() > most).then(|| {
            let sum: Vec<_> = self.parts.iter().map(|(what, mb)| format!("{mb:.0} for {what}")).collect();
            format!(
                "{:.0} MB ({}), and {most:.0} MB are the most: half of the machine's {:.0} MB, and 0.7 of the {:.0} MB free",
                self.memory_mb(),
                sum.join(" + "),
                room.memory_mb,
                room.free_mb
            )
        })
    }
}
