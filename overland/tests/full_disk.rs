//! A core process whose disk takes nothing for a while: it goes on running, promises nothing, says why, and takes its part
//! again as soon as there is room.

mod kept;
mod processes;

use eyre::{Report, Result};
use overland::agreement::{PersistentState, Save};
use overland::control::Control;
use overland::settings::Settings;
use overland::store::{takes_nothing, Disk, Saves};
use processes::{call, inner_ports, port, until};
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A disk in memory that can be full.
#[derive(Clone, Default)]
struct Memory {
    full: Arc<AtomicBool>,
    holds: Arc<Mutex<Option<PersistentState>>>,
}

impl Memory {
    fn takes(&self) -> Result<()> {
        let full = self.full.load(Ordering::SeqCst);
        if full {
            Err(Report::new(Error::from(ErrorKind::StorageFull)).wrap_err("saving"))
        } else {
            Ok(())
        }
    }
}

impl Disk for Memory {
    fn open(&self) -> Result<(Box<dyn Saves>, Option<PersistentState>)> {
        self.takes()?;
        Ok((Box::new(self.clone()), self.holds.lock().expect("whole").clone()))
    }
}

impl Saves for Memory {
    fn save(&self, save: &Save) -> Result<()> {
        self.takes()?;
        kept::keep(&mut self.holds.lock().expect("whole"), save.clone());
        Ok(())
    }
}

/// A core process by itself, which founds the system and leads it. Its control address.
fn lone_core(disk: Memory) -> String {
    let (control, inner) = (port("127.0.0.1"), inner_ports());
    let file = format!(
        "sender:\n  node: \"core-1\"\n  role: \"core\"\n  machine_class: \"sorting\"\n  ip: \"127.0.0.1\"\n  zone: \"a\"\n  \
         region: \"r\"\n  first_start: true\n  data_dir: \"/nowhere\"\n  limits:\n    memory_mb: 256\n    fds: 4096\n\
         network:\n  docks_at:\n    control: \"127.0.0.1:{control}\"\n  inner_ports:\n    - {inner}\n    - {}\n  seeds:\n    \
         - \"127.0.0.1:{control}\"\n  zones:\n    a: \"r\"\ncarrier:\n  beat: \"1500ms\"\ntariffs:\n  bounds:\n    \
         ack: \"8000ms\"\n    grace: \"6s\"\n    closed: false\n    revoke: \"5000ms\"\n    ttl_max: \"5s\"\n",
        inner + 1
    );
    let settings = Settings::read(&file).expect("sound settings");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let changed = async || std::future::pending().await;
        let core = Control::run_on(settings, Box::new(disk), changed);
        tokio::task::LocalSet::new().block_on(&runtime, core).expect("it runs");
    });
    format!("127.0.0.1:{control}")
}

/// The status of an order.
fn order(core: &str) -> Option<u16> {
    call(core, "POST", "/api/Evacuate.Start/a", "", "").map(|answer| answer.status)
}

fn status(core: &str) -> Option<String> {
    call(core, "GET", "/api/Status", "", "").map(|answer| answer.body)
}

#[test]
fn a_full_disk_ends_no_process() {
    let disk = Memory::default();
    let core = lone_core(disk.clone());
    until("a leader that takes orders", || order(&core).filter(|status| *status == 200));
    disk.full.store(true, Ordering::SeqCst);
    let change = |core: &str| call(core, "POST", "/api/Evacuate.End/a", "", "").map(|answer| answer.status);
    assert_eq!(change(&core), Some(503), "what can't be kept is not acknowledged");
    assert_eq!(order(&core), Some(503), "nothing is answered for all");
    let told = status(&core).expect("an answer");
    assert!(told.contains("the disk takes nothing") && !told.contains("\"vouches\":true"), "{told}");
    disk.full.store(false, Ordering::SeqCst);
    until("a leader that takes orders again", || change(&core).filter(|status| *status == 200));
    let told = status(&core).expect("an answer");
    assert!(told.contains("\"vouches\":true") && !told.contains("takes nothing"), "{told}");
}

#[test]
fn a_process_that_starts_with_a_full_disk_waits_for_room() {
    let disk = Memory::default();
    disk.full.store(true, Ordering::SeqCst);
    let core = lone_core(disk.clone());
    let told = until("a status", || status(&core));
    assert!(told.contains("the disk takes nothing"), "{told}");
    assert_eq!(order(&core), Some(503));
    disk.full.store(false, Ordering::SeqCst);
    until("a leader that takes orders", || order(&core).filter(|status| *status == 200));
}

#[test]
fn what_only_room_can_mend_is_known_from_a_broken_disk() {
    let report = |kind: ErrorKind| Report::new(Error::from(kind)).wrap_err("saving");
    assert!(takes_nothing(&report(ErrorKind::StorageFull)));
    assert!(takes_nothing(&report(ErrorKind::ReadOnlyFilesystem)));
    assert!(takes_nothing(&Report::new(fjall::Error::Poisoned)));
    assert!(!takes_nothing(&report(ErrorKind::InvalidData)));
    assert!(!takes_nothing(&eyre::eyre!("the disk is of form 9")));
}
