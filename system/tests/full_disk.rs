//! A core process whose disk is full: it keeps running, acknowledges nothing, reports the cause, and recovers
//! as soon as the disk has space.

mod processes;
mod store_model;

use eyre::{Report, Result};
use oakfall_system::control::Control;
use oakfall_system::raft::{PersistentState, Save};
use oakfall_system::settings::Settings;
use oakfall_system::store::{disk_unavailable, Disk, DurableStore};
use processes::{call, free_inner_ports, free_port, until};
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// An in-memory disk that can be full.
#[derive(Clone, Default)]
struct MemoryDisk {
    full: Arc<AtomicBool>,
    contents: Arc<Mutex<Option<PersistentState>>>,
}

impl MemoryDisk {
    fn check_space(&self) -> Result<()> {
        let full = self.full.load(Ordering::SeqCst);
        if full {
            Err(Report::new(Error::from(ErrorKind::StorageFull)).wrap_err("saving"))
        } else {
            Ok(())
        }
    }
}

impl Disk for MemoryDisk {
    fn open(&self) -> Result<(Box<dyn DurableStore>, Option<PersistentState>)> {
        self.check_space()?;
        Ok((Box::new(self.clone()), self.contents.lock().expect("not poisoned").clone()))
    }
}

impl DurableStore for MemoryDisk {
    fn save(&self, save: &Save) -> Result<()> {
        self.check_space()?;
        store_model::apply_save(&mut self.contents.lock().expect("not poisoned"), save.clone());
        Ok(())
    }
}

/// Starts a core process that bootstraps a cluster of one. Returns its control address.
fn start_single_core(disk: MemoryDisk) -> String {
    let (control, inner) = (free_port("127.0.0.1"), free_inner_ports());
    let settings = format!(
        "sender:\n  node: \"core-1\"\n  role: \"core\"\n  machine_class: \"sorting\"\n  ip: \"127.0.0.1\"\n  zone: \"a\"\n  \
         region: \"r\"\n  first_start: true\n  data_dir: \"/nowhere\"\n  limits:\n    memory_mb: 256\n    fds: 4096\n\
         network:\n  docks_at:\n    control: \"127.0.0.1:{control}\"\n  inner_ports:\n    - {inner}\n    - {}\n  seeds:\n    \
         - \"127.0.0.1:{control}\"\n  zones:\n    a: \"r\"\ncarrier:\n  beat: \"1500ms\"\ntariffs:\n  bounds:\n    \
         ack: \"8000ms\"\n    grace: \"6s\"\n    closed: false\n    revoke: \"5000ms\"\n    ttl_max: \"5s\"\n",
        inner + 1
    );
    let settings = Settings::read(&settings).expect("valid settings");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let changed = async || std::future::pending().await;
        let core = Control::run_on(settings, Box::new(disk), changed);
        tokio::task::LocalSet::new().block_on(&runtime, core).expect("the core process runs");
    });
    format!("127.0.0.1:{control}")
}

fn start_evacuation(core: &str) -> Option<u16> {
    call(core, "POST", "/api/Evacuate.Start/a", "", "").map(|answer| answer.status)
}

fn end_evacuation(core: &str) -> Option<u16> {
    call(core, "POST", "/api/Evacuate.End/a", "", "").map(|answer| answer.status)
}

fn status(core: &str) -> Option<String> {
    call(core, "GET", "/api/Status", "", "").map(|answer| answer.body)
}

#[test]
fn process_with_a_full_disk_acknowledges_nothing_and_recovers() {
    let disk = MemoryDisk::default();
    let core = start_single_core(disk.clone());
    until("a leader that accepts calls", || start_evacuation(&core).filter(|status| *status == 200));
    disk.full.store(true, Ordering::SeqCst);
    assert_eq!(end_evacuation(&core), Some(503), "a change that can't be saved is not acknowledged");
    assert_eq!(start_evacuation(&core), Some(503), "no call is answered as leader");
    let body = status(&core).expect("an answer");
    assert!(body.contains("the disk takes nothing") && !body.contains("\"vouches\":true"), "{body}");
    disk.full.store(false, Ordering::SeqCst);
    until("a leader that accepts calls again", || end_evacuation(&core).filter(|status| *status == 200));
    let body = status(&core).expect("an answer");
    assert!(body.contains("\"vouches\":true") && !body.contains("takes nothing"), "{body}");
}

#[test]
fn process_started_with_a_full_disk_waits_for_space() {
    let disk = MemoryDisk::default();
    disk.full.store(true, Ordering::SeqCst);
    let core = start_single_core(disk.clone());
    let body = until("a status", || status(&core));
    assert!(body.contains("the disk takes nothing"), "{body}");
    assert_eq!(start_evacuation(&core), Some(503));
    disk.full.store(false, Ordering::SeqCst);
    until("a leader that accepts calls", || start_evacuation(&core).filter(|status| *status == 200));
}

#[test]
fn unavailable_disk_is_distinguished_from_a_broken_one() {
    let report = |kind: ErrorKind| Report::new(Error::from(kind)).wrap_err("saving");
    assert!(disk_unavailable(&report(ErrorKind::StorageFull)));
    assert!(disk_unavailable(&report(ErrorKind::ReadOnlyFilesystem)));
    assert!(disk_unavailable(&Report::new(fjall::Error::Poisoned)));
    assert!(!disk_unavailable(&report(ErrorKind::InvalidData)));
    assert!(!disk_unavailable(&eyre::eyre!("the store has format version 9")));
}
