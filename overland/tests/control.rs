//! The whole control side against a plain model, in drawn histories. `HISTORIES` plays more of them, from `SEED` on.

mod simulated;

use simulated::{Place, World};

/// Plays drawn histories, and tells the seed of one that fails.
fn histories(few: u64, play: impl Fn(u64)) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("SEED").unwrap_or(0);
    for seed in first..first + number("HISTORIES").unwrap_or(few) {
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(seed)));
        if let Err(why) = played {
            eprintln!("history {seed} fails");
            std::panic::resume_unwind(why);
        }
    }
}

#[test]
fn a_calm_day_is_one_story_to_all() {
    histories(4, |seed| {
        let mut world = World::new(seed, [3, 5][seed as usize % 2], 0, 8, 6, 2);
        world.begin();
        world.pass(20_000.0);
        assert!(world.judge.any_taken(), "no configuration was taken in calm");
        world.settle(12_000.0);
    });
}

/// The leader is cut off from its peers, and not from agents, backends and operators, which go on calling it; then joined
/// again, with its old links still open or not.
#[test]
fn a_leader_that_is_cut_off_says_nothing_for_all() {
    histories(10, |seed| {
        let mut world = World::new(seed, [3, 5][seed as usize % 2], 0, 8, 6, 4);
        world.begin();
        world.pass(8_000.0);
        for _ in 0..2 {
            let Some(leader) = world.leader() else { panic!("nobody leads in calm") };
            let all = (0..world.cores.len()).map(Place::Core).collect::<Vec<_>>();
            match world.rng.u32(0..3) {
                0 => world.cut_off(Place::Core(leader), all),
                // One way: it hears, and is not heard.
                1 => world.cuts.extend(all.iter().map(|other| (Place::Core(leader), *other))),
                _ => world.cuts.extend(all.iter().map(|other| (*other, Place::Core(leader)))),
            }
            let for_ms = 500.0 + world.rng.f64() * 20_000.0;
            world.pass(world.now + for_ms);
            world.cuts.clear();
            let for_ms = world.rng.f64() * 6_000.0;
            world.pass(world.now + for_ms);
        }
        world.settle(15_000.0);
    });
}
