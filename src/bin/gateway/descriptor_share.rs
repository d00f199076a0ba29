//! Shares the descriptor limit between the old and the new process during an upgrade. Each publishes its
//! descriptor count in a record file in `$TMPDIR` and reads the other's.

use crate::logs::targets;
use oakfall::plane::backends::Backends;
use oakfall::plane::driver::Driver;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// File name prefix of a record; includes the format version.
const PREFIX: &str = "heronstage-beside-1-";
/// Interval between two updates of this process's record.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Records older than this are ignored: their process has exited, or its clock differs.
const STALE_AFTER_MS: f64 = 2000.0;
/// Records older than this are deleted by any process.
const DELETE_AFTER_MS: f64 = 60_000.0;
/// Size limit of a record.
const MAX_RECORD_BYTES: u64 = 1024;
/// Limit on the records read in one update.
const MAX_RECORDS: usize = 16;
/// Descriptors for clients and backends that a process always keeps.
const MIN_DESCRIPTORS: usize = 8;

#[derive(Deserialize, Serialize)]
struct DescriptorRecord {
    started_ms: f64,
    written_ms: f64,
    /// Open descriptors, including those reserved for other uses.
    held: usize,
}

/// This process's share of the gateway's descriptors.
pub struct DescriptorShare {
    directory: PathBuf,
    name: String,
    started_ms: f64,
    max_descriptors: usize,
    reserved: usize,
    /// Limit on client connections, and on backend connections, when running alone.
    max_connections: usize,
    client_permits: Arc<Semaphore>,
    /// Client permits left to the other process.
    withheld: Option<OwnedSemaphorePermit>,
    /// Whether a process that started later is running.
    newer_running: Rc<Cell<bool>>,
    driver: Rc<Driver>,
}

impl DescriptorShare {
    /// `seed` and the process id make the record's file name unique.
    pub fn new(
        directory: PathBuf, seed: u64, max_descriptors: usize, reserved: usize,
        client_permits: Arc<Semaphore>, newer_running: Rc<Cell<bool>>, driver: Rc<Driver>,
    ) -> Self {
        let (name, max_connections) =
            (format!("{PREFIX}{seed:016x}-{}", std::process::id()), client_permits.available_permits());
        DescriptorShare {
            directory,
            name,
            started_ms: unix_ms(),
            max_descriptors,
            reserved,
            max_connections,
            client_permits,
            withheld: None,
            newer_running,
            driver,
        }
    }

    /// Reads the other processes' records and writes this one's until the program ends.
    pub async fn run(mut self) {
        let mut last_error = None;
        loop {
            if let Err(e) = self.update_limits().and_then(|()| self.write_record()) {
                // Not fatal: logged once for each distinct error.
                let e = e.to_string();
                if last_error.as_ref() != Some(&e) {
                    tracing::warn!(
                        target: targets::DESCRIPTOR_SHARE,
                        "sharing descriptors through {} failed: {e}",
                        self.directory.display()
                    );
                    last_error = Some(e);
                }
            }
            sleep(UPDATE_INTERVAL).await;
        }
    }

    fn backends(&self) -> &Backends {
        self.driver.backends()
    }

    /// Writes this process's record atomically.
    fn write_record(&self) -> io::Result<()> {
        let withheld = self.withheld.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let clients = self.max_connections
            - withheld.min(self.max_connections)
            - self.client_permits.available_permits().min(self.max_connections);
        let held = self.reserved + clients + self.backends().open_connections();
        let record = DescriptorRecord { started_ms: self.started_ms, written_ms: unix_ms(), held };
        let new = self.directory.join(format!("{}.new", self.name));
        fs::write(&new, serde_json::to_vec(&record)?)?;
        fs::rename(new, self.directory.join(&self.name))
    }

    /// Updates the limits: the older process shrinks to half; the newer one takes what the older one leaves
    /// free.
    fn update_limits(&mut self) -> io::Result<()> {
        let usable = self.max_descriptors.saturating_sub(self.reserved);
        let (mut available, records) = (usable, self.read_other_records()?);
        self.newer_running.set(records.iter().any(|other| other.started_ms > self.started_ms));
        for other in records {
            available = available.min(if other.started_ms < self.started_ms {
                usable.saturating_sub(other.held)
            } else {
                (self.max_descriptors / 2).saturating_sub(self.reserved)
            });
        }
        let max_connections = (available.max(MIN_DESCRIPTORS) / 2).min(self.max_connections);
        self.backends().set_max_connections(max_connections);
        self.set_withheld(self.max_connections - max_connections);
        Ok(())
    }

    /// Withholds this many client permits, as they become free.
    fn set_withheld(&mut self, permits: usize) {
        let current = self.withheld.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if permits < current {
            drop(self.withheld.as_mut().and_then(|withheld| withheld.split(current - permits)));
        } else {
            let more = (permits - current).min(self.client_permits.available_permits()) as u32;
            if let Ok(more) = self.client_permits.clone().try_acquire_many_owned(more) {
                match &mut self.withheld {
                    Some(withheld) => withheld.merge(more),
                    None => self.withheld = Some(more),
                }
            }
        }
    }

    /// Current records of other processes. Unreadable ones are skipped: their writer may use another format,
    /// or was killed during the write.
    fn read_other_records(&self) -> io::Result<Vec<DescriptorRecord>> {
        let now = unix_ms();
        let mut records = Vec::new();
        for entry in fs::read_dir(&self.directory)?.take(MAX_RECORDS * 4) {
            let entry = entry?;
            let name = entry.file_name();
            let Some(name) = name.to_str().filter(|name| name.starts_with(PREFIX)) else { continue };
            if name.trim_end_matches(".new") == self.name || records.len() >= MAX_RECORDS {
                continue;
            }
            match read_record(&entry.path()) {
                Some(record) if (now - record.written_ms).abs() < STALE_AFTER_MS => records.push(record),
                Some(record) if (now - record.written_ms).abs() < DELETE_AFTER_MS => {}
                // Another process may already have removed it.
                Some(_) => drop(fs::remove_file(entry.path())),
                None => {}
            }
        }
        Ok(records)
    }
}

impl Drop for DescriptorShare {
    fn drop(&mut self) {
        // A record left behind expires.
        let _ = fs::remove_file(self.directory.join(&self.name));
    }
}

fn read_record(path: &Path) -> Option<DescriptorRecord> {
    let mut text = Vec::new();
    fs::File::open(path).ok()?.take(MAX_RECORD_BYTES).read_to_end(&mut text).ok()?;
    serde_json::from_slice(&text).ok()
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}
