//! Looks for histories that fail, and keeps the shortest.
#![allow(dead_code)] // Each test program takes what it needs of it.

use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// How far it is, is told after so many histories.
const PROGRESS: u64 = 500;

/// A history that failed.
pub struct Find {
    /// Things that happened in it.
    pub events: u64,
    pub seed: u64,
    pub why: Box<dyn Any + Send>,
}

impl Find {
    /// The first line of what is wrong.
    pub fn text(&self) -> String {
        let text = self.why.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| self.why.downcast_ref::<&str>().copied()).unwrap_or_default();
        text.lines().next().unwrap_or_default().to_owned()
    }
}

/// Plays a history in each of these worlds until so many have failed. Gives the shortest of those.
pub fn shortest<W>(
    seeds: std::ops::Range<u64>, most: usize, draw: impl Fn(u64) -> W, play: impl Fn(&mut W),
    events: impl Fn(&W) -> u64,
) -> Option<Find> {
    let mut finds = Vec::new();
    let (first, all) = (seeds.start, seeds.end - seeds.start);
    for seed in seeds {
        let played = seed - first;
        if played > 0 && played.is_multiple_of(PROGRESS) {
            eprintln!("{played} of {all} histories, {} failed", finds.len());
        }
        let mut world = draw(seed);
        if let Err(why) = catch_unwind(AssertUnwindSafe(|| play(&mut world))) {
            finds.push(Find { events: events(&world), seed, why });
        }
        if finds.len() == most {
            break;
        }
    }
    finds.into_iter().min_by_key(|find| (find.events, find.seed))
}
