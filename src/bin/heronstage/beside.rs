//! The process that runs beside this one during an upgrade. Both count as one gateway: through notes in `$TMPDIR`
//! each learns how many descriptors the other holds, and leaves them to it.

use cherrytally::plane::backends::Backends;
use cherrytally::plane::driver::Driver;
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

/// A note's form; one of another version is none of ours.
const PREFIX: &str = "heronstage-beside-1-";
/// How often notes are written and read.
const EVERY: Duration = Duration::from_millis(200);
/// A note not renewed for so long is of a process that is gone, or of another clock.
const STALE_MS: f64 = 2000.0;
/// And after so long anybody removes it.
const OLD_MS: f64 = 60_000.0;
/// Longest note, and the most of them that are read.
const NOTE_MOST: u64 = 1024;
const NOTES_MOST: usize = 16;
/// Descriptors for clients and backends that a process has in any case.
const LEAST: usize = 8;

#[derive(Deserialize, Serialize)]
struct Note {
    started_ms: f64,
    written_ms: f64,
    /// Descriptors held, those kept for other uses included.
    held: usize,
}

/// One gateway's descriptors, as this process shares them with the other.
pub struct Beside {
    folder: PathBuf,
    name: String,
    started_ms: f64,
    sockets: usize,
    reserved: usize,
    /// Places for clients, and for connections to backends.
    places: usize,
    free: Arc<Semaphore>,
    /// Places for clients that are left to the other process.
    withheld: Option<OwnedSemaphorePermit>,
    /// Whether a process that started later runs beside this one.
    later: Rc<Cell<bool>>,
    driver: Rc<Driver>,
}

impl Beside {
    /// `seed` is this start's own and names its note, with the process's number.
    pub fn new(
        folder: PathBuf, seed: u64, sockets: usize, reserved: usize, free: Arc<Semaphore>,
        later: Rc<Cell<bool>>, driver: Rc<Driver>,
    ) -> Self {
        let (name, places) =
            (format!("{PREFIX}{seed:016x}-{}", std::process::id()), free.available_permits());
        Beside {
            folder,
            name,
            started_ms: unix_ms(),
            sockets,
            reserved,
            places,
            free,
            withheld: None,
            later,
            driver,
        }
    }

    /// Looks at the other's note and tells the own, as long as the program runs.
    pub async fn run(mut self) {
        let mut told = None;
        loop {
            if let Err(e) = self.look().and_then(|()| self.tell()) {
                // Alone it would do as well: said once, and again when it changes.
                let e = e.to_string();
                if told.as_ref() != Some(&e) {
                    tracing::warn!("notes in {}: {e}", self.folder.display());
                    told = Some(e);
                }
            }
            sleep(EVERY).await;
        }
    }

    fn backends(&self) -> &Backends {
        self.driver.backends()
    }

    /// Writes the own note whole or not at all.
    fn tell(&self) -> io::Result<()> {
        let withheld = self.withheld.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let clients =
            self.places - withheld.min(self.places) - self.free.available_permits().min(self.places);
        let held = self.reserved + clients + self.backends().open_connections();
        let note = Note { started_ms: self.started_ms, written_ms: unix_ms(), held };
        let new = self.folder.join(format!("{}.new", self.name));
        fs::write(&new, serde_json::to_vec(&note)?)?;
        fs::rename(new, self.folder.join(&self.name))
    }

    /// Whoever came first goes down to half; the later one takes what is free meanwhile.
    fn look(&mut self) -> io::Result<()> {
        let all = self.sockets.saturating_sub(self.reserved);
        let (mut room, notes) = (all, self.notes()?);
        self.later.set(notes.iter().any(|other| other.started_ms > self.started_ms));
        for other in notes {
            room = room.min(if other.started_ms < self.started_ms {
                all.saturating_sub(other.held)
            } else {
                (self.sockets / 2).saturating_sub(self.reserved)
            });
        }
        let places = (room.max(LEAST) / 2).min(self.places);
        self.backends().set_max_connections(places);
        self.withhold(self.places - places);
        Ok(())
    }

    /// Leaves so many places for clients to the other process, as they become free.
    fn withhold(&mut self, places: usize) {
        let now = self.withheld.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if places < now {
            drop(self.withheld.as_mut().and_then(|withheld| withheld.split(now - places)));
        } else {
            let more = (places - now).min(self.free.available_permits()) as u32;
            if let Ok(more) = self.free.clone().try_acquire_many_owned(more) {
                match &mut self.withheld {
                    Some(withheld) => withheld.merge(more),
                    None => self.withheld = Some(more),
                }
            }
        }
    }

    /// What other processes tell that run now. A note that can't be read is none: its writer may be of another
    /// version, or was ended as it wrote.
    fn notes(&self) -> io::Result<Vec<Note>> {
        let now = unix_ms();
        let mut notes = Vec::new();
        for entry in fs::read_dir(&self.folder)?.take(NOTES_MOST * 4) {
            let entry = entry?;
            let name = entry.file_name();
            let Some(name) = name.to_str().filter(|name| name.starts_with(PREFIX)) else { continue };
            if name.trim_end_matches(".new") == self.name || notes.len() >= NOTES_MOST {
                continue;
            }
            match read(&entry.path()) {
                Some(note) if (now - note.written_ms).abs() < STALE_MS => notes.push(note),
                Some(note) if (now - note.written_ms).abs() < OLD_MS => {}
                // Another may have removed it meanwhile.
                Some(_) => drop(fs::remove_file(entry.path())),
                None => {}
            }
        }
        Ok(notes)
    }
}

impl Drop for Beside {
    fn drop(&mut self) {
        // If it stays it goes stale.
        let _ = fs::remove_file(self.folder.join(&self.name));
    }
}

fn read(path: &Path) -> Option<Note> {
    let mut text = Vec::new();
    fs::File::open(path).ok()?.take(NOTE_MOST).read_to_end(&mut text).ok()?;
    serde_json::from_slice(&text).ok()
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}
