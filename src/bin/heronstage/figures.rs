//! Figures for operators. They are only counted here; nothing is decided by them.

use crate::status;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::{Display, Write};
use std::rc::Rc;

/// Names of classes at most that are counted in a process's life.
const CLASSES_MOST: usize = 256;

/// How a request ended.
#[derive(Clone, Copy)]
pub enum End {
    Fulfilled,
    Throttled,
    Faulted,
}

const ENDS: [(End, &str); 3] =
    [(End::Fulfilled, "fulfilled"), (End::Throttled, "throttled"), (End::Faulted, "faulted")];

/// How many requests of one class ended in which way.
#[derive(Default)]
pub struct Ends([Cell<u64>; ENDS.len()]);

impl Ends {
    /// Counts one.
    pub fn count(&self, end: End) {
        more(&self.0[end as usize]);
    }
}

/// What is counted from the start of the process.
#[derive(Default)]
pub struct Figures {
    classes: RefCell<BTreeMap<String, Rc<Ends>>>,
    relayed: Cell<u64>,
    accepted: Cell<u64>,
    invalid: Cell<u64>,
}

/// What stands so now.
pub struct Present {
    pub open: usize,
    pub listed: usize,
    pub avoided: usize,
}

impl Figures {
    /// Where ends of requests of a class are counted; one that comes again goes on from where it was.
    pub fn class(&self, name: &str) -> Result<Rc<Ends>, String> {
        let mut classes = self.classes.borrow_mut();
        if let Some(ends) = classes.get(name) {
            return Ok(ends.clone());
        }
        if classes.len() >= CLASSES_MOST {
            return Err(format!("over {CLASSES_MOST} names of classes since the start"));
        }
        Ok(classes.entry(name.to_owned()).or_default().clone())
    }

    /// An attempt was written whole to its backend.
    pub fn relayed(&self) {
        more(&self.relayed);
    }

    /// A configuration was read at SIGHUP, and taken or not.
    pub fn configured(&self, taken: bool) {
        more(if taken { &self.accepted } else { &self.invalid });
    }

    /// How requests of each class ended.
    pub fn classes(&self) -> Vec<status::Class> {
        let count = |ends: &Ends, end: End| ends.0[end as usize].get();
        let class = |(name, ends): (&String, &Rc<Ends>)| status::Class {
            name: name.clone(),
            fulfilled: count(ends, End::Fulfilled),
            throttled: count(ends, End::Throttled),
            faulted: count(ends, End::Faulted),
        };
        self.classes.borrow().iter().map(class).collect()
    }

    /// Attempts written whole to their backends.
    pub fn relayed_total(&self) -> u64 {
        self.relayed.get()
    }

    /// The figures as text, a line each.
    pub fn text(&self, present: &Present) -> String {
        let mut text = String::with_capacity(1024);
        let mut line = |name: &str, value: &dyn Display| {
            // A String takes every write.
            let _ = writeln!(text, "relay_{name} {value}");
        };
        for (class, ends) in self.classes.borrow().iter() {
            let class = class.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
            for (end, status) in ENDS {
                let name = format!("operations_total{{priority=\"{class}\",status=\"{status}\"}}");
                line(&name, &ends.0[end as usize].get());
            }
        }
        line("relayed_total", &self.relayed.get());
        line("open_requests", &present.open);
        line("registry_entries", &present.listed);
        line("out_of_rotation", &present.avoided);
        line("cfg_accepted_total", &self.accepted.get());
        line("cfg_invalid_total", &self.invalid.get());
        text
    }
}

fn more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
