//! The whole control side against a plain model, in drawn histories. `HISTORIES` plays more of them, from `SEED` on; of
//! those that fail the shortest is told.

mod simulated;

use simulated::troubles::{Trouble, ALL};
use simulated::World;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Failing histories of which the shortest is told.
const FINDS: usize = 5;

/// Plays drawn histories, and tells the shortest that fails: its seed and how many things happened in it.
fn histories(few: u64, draw: impl Fn(u64) -> World, play: impl Fn(&mut World)) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("SEED").unwrap_or(0);
    let mut finds = Vec::new();
    for seed in first..first + number("HISTORIES").unwrap_or(few) {
        let mut world = draw(seed);
        if let Err(why) = catch_unwind(AssertUnwindSafe(|| play(&mut world))) {
            finds.push((world.events, seed, why));
        }
        if finds.len() == FINDS {
            break;
        }
    }
    if let Some((events, seed, why)) = finds.into_iter().min_by_key(|(events, ..)| *events) {
        eprintln!("history {seed} fails after {events} events");
        std::panic::resume_unwind(why);
    }
}

fn members(seed: u64) -> usize {
    [3, 5][seed as usize % 2]
}

#[test]
fn a_calm_day_is_one_story_to_all() {
    let draw = |seed| World::new(seed, members(seed), 0, 8, 6, 2);
    histories(4, draw, |world| {
        world.begin();
        world.pass(20_000.0);
        assert!(world.judge.any_taken(), "no configuration was taken in calm");
        world.settle(12_000.0);
    });
}

/// Plays these troubles, two in each history, one after the other.
fn troubles(few: u64, of: &[Trouble], hasty: bool) {
    let draw = |seed| World::new(seed, members(seed), 0, 8, 6, 4);
    histories(few, draw, |world| {
        world.later = world.rng.usize(0..2);
        world.callers.hasty = hasty;
        world.begin();
        world.pass(8_000.0);
        for _ in 0..2 {
            let trouble = of[world.rng.usize(0..of.len())];
            world.bring_about(trouble);
            let pause = world.rng.f64() * 6_000.0;
            world.pass(world.now + pause);
        }
        world.settle(15_000.0);
    });
}

/// The leader is cut off from its peers, and not from agents, backends and operators, which go on calling it; then joined
/// again, with its old links still open or not.
#[test]
fn a_leader_that_is_cut_off_says_nothing_for_all() {
    troubles(10, &[Trouble::LeaderFromPeers, Trouble::LeaderFromAgents, Trouble::LeaderFromAll], false);
}

/// Backends come and go while leaders are cut off, frozen and woken: what is acknowledged of them holds at who leads next.
#[test]
fn what_backends_are_told_outlives_who_told_it() {
    troubles(10, &[Trouble::LeaderFromPeers, Trouble::LeaderFrozen, Trouble::MemberFrozen], true);
}

/// A leader that stood still answers nothing on a clock that it read before, and writes no answer that it decided before.
#[test]
fn a_woken_leader_finds_out_first() {
    troubles(10, &[Trouble::LeaderFrozen, Trouble::Pauses, Trouble::DiskHangs], false);
}

/// Gateways that are cut off for long, frozen, or started anew go by no keys that were taken away, and find back.
#[test]
fn gateways_stop_by_themselves_and_find_back() {
    troubles(10, &[Trouble::GatewaysAlone, Trouble::GatewayFrozen, Trouble::GatewayAnew], false);
}

/// A member that is cut off tells callers at once that another must be asked.
#[test]
fn a_member_that_is_cut_off_keeps_no_call() {
    troubles(6, &[Trouble::MemberFromPeers], false);
}

#[test]
fn all_troubles_in_any_order() {
    troubles(6, &ALL, false);
}
