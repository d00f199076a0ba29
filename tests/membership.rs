//! Membership in virtual time: 3, 30 and 300 members on a network that loses, repeats, reorders and parts.
#![allow(missing_docs)]

mod world;

use cherrytally::membership::*;
use std::time::Instant;
use world::*;

/// Within so many seconds a member that died is held to be down by somebody: eight periods until it is probed, as
/// none of the others misses it longer in all but one of three thousand cases, one until that probe fails, each
/// up to a tenth longer; then the longest suspicion, and two time-outs for a last word.
fn bound(members: usize) -> f64 {
    let scale = (members as f64).log10().max(1.0);
    ((9.0 * 1.1 + 12.0 * scale) * PERIOD_MS + 2.0 * TIMEOUT_MS) / 1000.0
}

/// News reaches all within so many seconds.
const SPREAD: f64 = 3.0;

fn down(world: &World, at: usize, name: &str) -> bool {
    world.state_of(at, name) == Some(State::Down)
}

// ---- Coming and going -------------------------------------------------------------------------------------

#[test]
fn members_that_start_together_all_meet() {
    for (places, within) in [(3, 5.0), (30, 10.0), (300, 20.0)] {
        let mut world = World::new(places, 1);
        (0..places).for_each(|at| world.start(at));
        assert!(world.run_until(within, |world| world.is_converged()).is_some(), "{places}");
        let view = world.view(0);
        assert_eq!((view.present, view.majority), (places as u32, Some(true)));
    }
}

#[test]
fn any_seed_that_answers_lets_a_member_in() {
    let mut world = World::new(5, 3);
    world.seeds = vec![0, 1, 2];
    [2, 3].into_iter().for_each(|at| world.start(at));
    assert!(world.run_until(60.0, |world| world.is_converged()).is_some(), "two of three seeds are down");
    // Alone in the world, seeds are tried ever less often, but never given up.
    let mut world = World::new(2, 3);
    world.seeds = vec![0];
    world.start(1);
    world.run(600.0);
    let tries = world.datagrams_sent;
    assert!((18..60).contains(&tries), "{tries} in ten minutes");
    world.start(0);
    assert!(world.run_until(60.0, |world| world.is_converged()).is_some());
}

#[test]
fn a_member_that_dies_is_down_everywhere_within_the_bound() {
    for (places, seeds) in [(3, 0..20), (30, 0..10), (300, 0..2)] {
        for seed in seeds {
            let mut world = World::converged(places, seed);
            world.run(10.0);
            world.kill(places - 1);
            let name = format!("n{}", places - 1);
            let first = world.run_until(bound(places), |w| w.live().iter().any(|at| down(w, *at, &name)));
            assert!(first.is_some(), "{places} members, seed {seed}");
            let all = world.run_until(SPREAD, |w| w.live().iter().all(|at| down(w, *at, &name)));
            assert!(all.is_some(), "{places} members, seed {seed}");
            assert_eq!(world.view(0).present as usize, places - 1);
            assert_eq!(world.view(0).missing, [name.as_str().into()]);
        }
    }
}

#[test]
fn whoever_leaves_is_gone_without_a_suspicion() {
    for places in [3, 30, 300] {
        let mut world = World::converged(places, 5);
        world.run(5.0);
        let since = world.now;
        world.deliver(1, Event::Leave);
        world.kill(1);
        let all = |w: &World| w.live().iter().all(|at| w.state_of(*at, "n1") == Some(State::Left));
        assert!(world.run_until(SPREAD, all).is_some(), "{places}");
        for at in world.live() {
            assert_eq!(world.changes_to(at, "n1", State::Suspect, since), 0);
            assert!(world.view(at).missing.is_empty());
        }
        // And it is back at once.
        world.start(1);
        assert!(world.run_until(5.0, |world| world.is_converged()).is_some(), "{places}");
    }
}

#[test]
fn a_restarted_process_replaces_its_former_self_whatever_old_news_goes_round() {
    let mut world = World::converged(30, 7);
    world.duplication = 0.5;
    world.latency_ms = (0.2, 3000.0);
    world.run(5.0);
    let old = world.view(4).start;
    world.kill(4);
    world.run(2.0);
    let since = world.now;
    world.start(4);
    let new = world.view(4).start;
    assert!(new > old);
    let all = |w: &World| {
        let knows = |at: &usize| w.view(*at).members.iter().any(|m| &*m.name == "n4" && m.start == new);
        w.live().iter().filter(|at| **at != 4).all(knows)
    };
    assert!(world.run_until(10.0, all).is_some());
    world.latency_ms = (0.2, 5.0);
    world.run(30.0);
    assert!(world.is_converged());
    for at in world.live().into_iter().filter(|at| *at != 4) {
        assert_eq!(world.changes_to(at, "n4", State::Down, since), 0, "n{at}");
        assert!(all(&world), "the former self came back");
    }
}

/// A hand-over: the new process binds the address that the old one has just left.
#[test]
fn a_hand_over_on_one_address_is_never_seen_as_a_loss() {
    for places in [3, 30] {
        for gap in [0.0, 0.1, 0.5] {
            let mut world = World::converged(places, 9);
            let since = world.now;
            world.kill(2);
            world.run(gap);
            world.start(2);
            world.run(40.0);
            assert!(world.is_converged());
            for at in world.live().into_iter().filter(|at| *at != 2) {
                let gone = world.changes_to(at, "n2", State::Down, since)
                    + world.changes_to(at, "n2", State::Left, since);
                assert_eq!(gone, 0, "{places} members, {gap} s");
                let fewest = world.node(at).present.iter().filter(|(when, ..)| *when >= since);
                assert!(fewest.map(|(_, count, _)| *count).min().unwrap_or(places as u32) == places as u32);
            }
        }
    }
}

#[test]
fn a_drained_member_is_present_and_told_as_draining() {
    let mut world = World::converged(30, 2);
    world.deliver(3, Event::Drain(true));
    let told = |w: &World, is: bool| {
        let tells = |at: &usize| w.view(*at).members.iter().any(|m| &*m.name == "n3" && m.draining == is);
        w.live().iter().filter(|at| **at != 3).all(tells)
    };
    assert!(world.run_until(SPREAD, |w| told(w, true)).is_some());
    assert!(world.is_converged());
    world.deliver(3, Event::Drain(false));
    assert!(world.run_until(SPREAD, |w| told(w, false)).is_some());
}

// ---- Troubles ---------------------------------------------------------------------------------------------

#[test]
fn a_paused_process_comes_back_by_a_higher_incarnation() {
    for places in [3, 30] {
        let mut world = World::converged(places, 11);
        let before = world.view(1).incarnation;
        let since = world.now;
        world.pause(1);
        let limit = bound(places) + SPREAD;
        let all = |w: &World| w.live().iter().filter(|at| **at != 1).all(|at| down(w, *at, "n1"));
        assert!(world.run_until(limit, all).is_some(), "{places}");
        world.resume(1);
        assert!(world.run_until(10.0, |world| world.is_converged()).is_some(), "{places}");
        assert!(world.view(1).incarnation > before);
        // It is told so, or knows it by its own pause where its refutation came first.
        let warnings = &world.node(1).warnings;
        assert!(warnings.iter().any(|line| line.contains("stood still for")), "{places}: {warnings:?}");
        // What it missed it holds against nobody, and nobody is down for long.
        for at in world.live() {
            for other in world.live() {
                let times = world.changes_to(at, &format!("n{other}"), State::Down, since);
                assert_eq!(times, usize::from(other == 1 && at != 1), "n{at} of n{other}");
            }
        }
        world.run(60.0);
        assert!(world.is_converged());
    }
}

#[test]
fn a_process_that_was_cut_off_is_told_that_it_was_held_to_be_down() {
    let mut world = World::converged(30, 11);
    world.connected = Box::new(|from, to| (from == 1) == (to == 1));
    let all = |w: &World| w.live().iter().filter(|at| **at != 1).all(|at| down(w, *at, "n1"));
    assert!(world.run_until(bound(30) + SPREAD, all).is_some());
    world.connected = Box::new(|_, _| true);
    assert!(world.run_until(60.0, |world| world.is_converged()).is_some());
    let told = world.node(1).warnings.iter().filter(|line| line.contains("was held to be down")).count();
    assert_eq!(told, 1, "{:?}", world.node(1).warnings);
    assert!(world.view(1).incarnation > 0);
}

#[test]
fn a_short_pause_is_refuted_and_nobody_goes_down() {
    let mut world = World::converged(30, 12);
    let since = world.now;
    world.pause(1);
    world
        .run_until(5.0, |w| w.live().iter().any(|at| w.state_of(*at, "n1") == Some(State::Suspect)))
        .expect("missed");
    world.resume(1);
    assert!(world.run_until(10.0, |world| world.is_converged()).is_some());
    assert!(world.node(1).member.counts().refutations > 0);
    let downs: usize = world.live().iter().map(|at| world.changes_to(*at, "n1", State::Down, since)).sum();
    assert_eq!(downs, 0);
}

#[test]
fn a_member_heard_by_way_of_others_is_present() {
    // n0 hears n1, n1 does not hear n0; both hear the others.
    for places in [3, 30] {
        let mut world = World::converged(places, 13);
        let since = world.now;
        world.connected = Box::new(|from, to| (from, to) != (0, 1));
        world.run(120.0);
        for at in world.live() {
            for other in ["n0", "n1"] {
                assert_eq!(
                    world.changes_to(at, other, State::Down, since),
                    0,
                    "{places} members: n{at} of {other}"
                );
            }
        }
    }
}

#[test]
fn nobody_flaps_while_a_fifth_is_lost_and_the_rest_comes_twice_and_in_disorder() {
    for (places, seconds) in [(3, 3600.0), (30, 300.0), (300, 180.0)] {
        let mut world = World::converged(places, 14);
        (world.loss, world.duplication, world.latency_ms) = (0.2, 0.1, (0.2, 100.0));
        let since = world.now;
        world.run(seconds);
        for at in world.live() {
            let changes = &world.node(at).changes;
            let downs = changes.iter().filter(|c| c.0 >= since && c.3 == State::Down).count();
            assert_eq!(downs, 0, "{places} members: n{at}");
        }
        (world.loss, world.latency_ms) = (0.0, (0.2, 5.0));
        assert!(world.run_until(30.0, |world| world.is_converged()).is_some());
    }
}

#[test]
fn parts_that_were_cut_off_for_long_find_together_again() {
    // The seeds are all on one side. Down members are forgotten after 60 periods.
    for (places, cut, away) in [(3, 2, 150.0), (30, 18, 150.0), (300, 180, 100.0)] {
        let mut world = World::converged(places, 15);
        world.connected = Box::new(move |from, to| (from < cut) == (to < cut));
        world.run(away);
        let (one, other) = (world.view(0), world.view(places - 1));
        assert_eq!((one.present as usize, one.majority), (cut, Some(true)));
        assert_eq!((other.present as usize, other.majority), (places - cut, Some(false)));
        assert_eq!((one.missing.len(), other.missing.len()), (places - cut, cut));
        let since = world.now;
        world.connected = Box::new(|_, _| true);
        // Each side looks for the other every ten periods, in a larger cluster the less often.
        let healed = world.run_until(60.0, |world| world.is_converged());
        assert!(healed.is_some(), "{places}");
        assert!(world.view(0).missing.is_empty());
        // Whoever was present all the time on one's own side stayed so.
        for at in 0..cut {
            let lost = (0..cut)
                .map(|other| world.changes_to(at, &format!("n{other}"), State::Down, since))
                .sum::<usize>();
            assert_eq!(lost, 0, "n{at}");
        }
    }
}

#[test]
fn of_two_processes_of_one_name_the_later_start_holds_it_and_keeps_it() {
    let mut world = World::new(31, 16);
    world.expected = Some(30);
    (0..30).for_each(|at| world.start(at));
    world.run(20.0);
    world.start_as(30, "n5");
    world.run(20.0);
    let holder = |world: &World| {
        let at = |at: &usize| world.view(*at).members.iter().find(|m| &*m.name == "n5").map(|m| m.addr);
        let others: std::collections::BTreeSet<_> =
            world.live().iter().filter(|at| ![5, 30].contains(*at)).map(at).collect();
        others
    };
    assert_eq!(holder(&world), [Some(address_of(30))].into(), "the later one");
    assert_eq!((world.view(5).standing, world.view(5).rival), ("displaced", Some(address_of(30))));
    assert!(world.node(5).warnings.iter().any(|line| line.contains("two processes bear the name n5")));
    assert!(world.node(5).removed);
    assert_eq!(world.view(30).standing, "member");
    // It stays so: nothing goes back and forth, and the loser says nothing.
    let (since, sent) = (world.now, world.node(5).member.counts().sent);
    world.run(200.0);
    assert_eq!(holder(&world), [Some(address_of(30))].into());
    assert_eq!(world.node(5).member.counts().sent, sent);
    for at in world.live().into_iter().filter(|at| ![5, 30].contains(at)) {
        let changes = world.node(at).changes.iter().filter(|c| c.0 > since && c.1 == "n5").count();
        assert_eq!(changes, 0, "n{at}");
    }
}

#[test]
fn a_clock_set_back_before_a_restart_keeps_nobody_out() {
    // On the same address at once; on another one as soon as all know that the former process is gone.
    for (places, address) in [(3, 2), (30, 2), (31, 30)] {
        let mut world = World::new(places, 17);
        (0..places.min(30)).for_each(|at| world.start(at));
        world.run(20.0);
        let former = world.view(2).start;
        world.kill(2);
        world.unix_start_ms -= 3.6e6;
        world.start_as(address, "n2");
        let limit = if address == 2 { 10.0 } else { 2.0 * bound(30) };
        let back = |w: &World| {
            let start = w.view(address).start;
            let sees = |at: &usize| {
                let members = w.view(*at).members;
                members
                    .iter()
                    .any(|m| (m.addr, m.start, m.state) == (address_of(address), start, State::Alive))
            };
            w.live().iter().filter(|at| **at != address).all(sees) && w.view(address).standing == "member"
        };
        assert!(world.run_until(limit, back).is_some(), "{places} members, address {address}");
        assert!(world.view(address).start > former);
    }
}

#[test]
fn a_clock_that_jumps_while_it_runs_changes_nothing() {
    let mut world = World::converged(30, 18);
    let since = world.now;
    world.unix_start_ms += 1e9;
    world.run(30.0);
    world.unix_start_ms -= 2e9;
    world.run(30.0);
    assert!(world.is_converged());
    assert!(world.live().iter().all(|at| world.node(*at).changes.iter().all(|c| c.0 < since)));
}

/// Messages and bytes a second of each member, at the most in any second.
fn heaviest(world: &mut World, seconds: usize) -> (f64, f64) {
    let mut most = (0.0f64, 0.0f64);
    for _ in 0..seconds {
        let before: Vec<_> = (0..world.nodes.len())
            .map(|at| {
                world.nodes[at].as_ref().map(|n| (n.member.counts().sent, n.member.counts().sent_bytes))
            })
            .collect();
        world.run(1.0);
        for (at, before) in before.iter().enumerate() {
            let (Some((sent, bytes)), Some(node)) = (before, &world.nodes[at]) else { continue };
            let counts = node.member.counts();
            most.0 = most.0.max(counts.sent.saturating_sub(*sent) as f64);
            most.1 = most.1.max(counts.sent_bytes.saturating_sub(*bytes) as f64);
        }
    }
    most
}

#[test]
fn a_fleet_of_which_seven_tenths_are_killed_and_restarted_does_not_storm() {
    let mut world = World::converged(300, 19);
    world.run(60.0);
    let quiet = heaviest(&mut world, 60);
    (90..300).for_each(|at| world.kill(at));
    let kill = heaviest(&mut world, 5);
    (90..300).for_each(|at| world.start(at));
    let join = heaviest(&mut world, 20);
    println!("messages and bytes a second at most: quiet {quiet:?}, killed {kill:?}, restarted {join:?}");
    // Probes and their answers; gossip to three, five times a period; pages to whoever asks, 100 a period at most.
    assert!(quiet.0 <= 30.0 && kill.0 <= 60.0 && join.0 <= 300.0, "{quiet:?} {kill:?} {join:?}");
    assert!(join.1 <= 300_000.0, "{join:?}");
    assert!(world.run_until(20.0, |world| world.is_converged()).is_some());
}

#[test]
fn other_settings_hold_from_the_moment_they_come() {
    let mut world = World::converged(3, 20);
    let settings =
        Settings { period_ms: 100.0, timeout_ms: 50.0, expected: Some(9), ..world.settings("x", 9) };
    (0..3).for_each(|at| world.deliver(at, Event::Settings(settings.clone())));
    assert_eq!((world.view(0).expected, world.view(0).majority), (Some(9), Some(false)));
    // Name and address stay.
    assert_eq!((&*world.view(0).name, world.view(0).addr), ("n0", address_of(0)));
    world.kill(2);
    assert!(world.run_until(bound(3) / 10.0 + 1.0, |w| down(w, 0, "n2") && down(w, 1, "n2")).is_some());
}

// ---- Bad input --------------------------------------------------------------------------------------------

/// All datagrams that three members of another world send each other in a while.
fn overheard() -> Vec<Vec<u8>> {
    let mut a = Membership::new(World::new(3, 0).settings("a", 0), 1, 0.0);
    let mut b = Membership::new(World::new(3, 0).settings("b", 1), 2, 0.0);
    let (mut heard, mut now) = (Vec::new(), 0.0);
    for _ in 0..200 {
        now += 100.0;
        let mut actions = Vec::new();
        a.handle(now, Event::Due, &mut actions);
        while let Some(action) = actions.pop() {
            if let Action::Send { to, bytes } = action {
                heard.push(bytes.clone());
                // Whatever is not b's address is lost, so that pings by way of others occur, too.
                if to == address_of(1) && heard.len() % 3 != 0 {
                    b.handle(now, Event::Datagram(bytes), &mut actions);
                } else if to == address_of(0) {
                    a.handle(now, Event::Datagram(bytes), &mut actions);
                }
            }
        }
    }
    heard
}

fn dropped(member: &Membership, why: Dropped) -> u64 {
    member.counts().dropped[why as usize]
}

#[test]
fn what_no_member_sends_is_dropped_and_counted_by_reason() {
    let heard = overheard();
    assert!(heard.len() > 20);
    let fresh = || Membership::new(World::new(3, 0).settings("c", 2), 3, 0.0);
    let give = |member: &mut Membership, bytes: &[u8]| {
        let mut actions = Vec::new();
        member.handle(0.0, Event::Datagram(bytes.to_vec()), &mut actions);
        actions
    };
    for bytes in &heard {
        // Cut at every byte: where a record ends it is a shorter datagram, elsewhere it is truncated.
        for length in 0..bytes.len() {
            let mut member = fresh();
            let actions = give(&mut member, &bytes[..length]);
            if length < 12 {
                assert_eq!(dropped(&member, Dropped::Truncated), 1);
                assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
            }
        }
        for (place, why) in
            [(0, Dropped::Foreign), (3, Dropped::Version), (4, Dropped::Cluster), (12, Dropped::Malformed)]
        {
            let (mut member, mut bad) = (fresh(), bytes.clone());
            bad[place] ^= 0x40;
            let actions = give(&mut member, &bad);
            assert_eq!(dropped(&member, why), 1, "{place}");
            assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
        }
    }
    let mut member = fresh();
    give(&mut member, &vec![0; DATAGRAM_MOST + 1]);
    assert_eq!(dropped(&member, Dropped::Oversized), 1);
    // A page that nobody asked for, and an answer to nothing.
    for kind in [2, 4, 6] {
        // The two forms of an answer are alike but for their kind.
        let like = if kind == 4 { 2 } else { kind };
        let mut answer = heard.iter().find(|bytes| bytes[12] == like).expect("one of each kind").clone();
        answer[12] = kind;
        let mut member = fresh();
        give(&mut member, &answer);
        assert_eq!(dropped(&member, Dropped::Unsolicited), 1, "kind {kind}");
    }
    // Its own datagrams, sent back.
    let mut member = Membership::new(World::new(3, 0).settings("a", 0), 9, 0.0);
    heard.iter().take(3).for_each(|bytes| drop(give(&mut member, bytes)));
    assert!(dropped(&member, Dropped::Echo) > 0);
}

#[test]
fn random_and_spoilt_datagrams_never_end_it_and_leave_bounded_work() {
    let heard = overheard();
    let mut rng = fastrand::Rng::with_seed(21);
    let mut member = Membership::new(World::new(3, 0).settings("c", 2), 3, 0.0);
    let mut now = 0.0;
    for round in 0..100_000 {
        now += rng.f64() * 20.0;
        let mut bytes = match round % 3 {
            0 => (0..rng.usize(0..1300)).map(|_| rng.u8(..)).collect(),
            _ => heard[rng.usize(..heard.len())].clone(),
        };
        for _ in 0..rng.usize(0..4) {
            if !bytes.is_empty() {
                let place = rng.usize(..bytes.len());
                match rng.u8(0..3) {
                    0 => bytes[place] = rng.u8(..),
                    1 => bytes.truncate(place),
                    _ => bytes.insert(place, rng.u8(..)),
                }
            }
        }
        let mut actions = Vec::new();
        member.handle(now, Event::Datagram(bytes), &mut actions);
        if member.due() <= now {
            member.handle(now, Event::Due, &mut actions);
        }
        let sends = actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        assert!(sends <= 20, "{sends} datagrams for one");
        assert!(member.due() > now - 1.0, "it is not late for ever");
    }
    assert!(member.view(now).members.len() <= MEMBERS_MOST);
}

/// A datagram of news, built by hand from the form that the page describes.
fn told(sender: &str, records: &[(String, u8, u32)]) -> Vec<u8> {
    let digest = "granite"
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    let record = |name: &str, state: u8, incarnation: u32| {
        let mut bytes = vec![name.len() as u8];
        bytes.extend(name.bytes());
        bytes.extend([10, 9, 9, 9, 0x1b, 0x58]);
        bytes.extend(1_700_000_000_000u64.to_be_bytes());
        bytes.extend(incarnation.to_be_bytes());
        bytes.push(state);
        bytes
    };
    let mut bytes = b"cty\x01".to_vec();
    bytes.extend(digest.to_be_bytes());
    bytes.push(7);
    bytes.extend(0u32.to_be_bytes());
    bytes.extend(record(sender, 0, 0));
    records.iter().for_each(|(name, state, incarnation)| bytes.extend(record(name, *state, *incarnation)));
    bytes
}

#[test]
fn a_flood_from_strangers_is_cut_off_and_members_are_heard_all_the_same() {
    let mut world = World::converged(3, 22);
    let since = world.now;
    for second in 0..60 {
        for number in 0..5_000 {
            let stranger = told(&format!("s{second}-{number}"), &[]);
            world.deliver(0, Event::Datagram(stranger));
        }
        world.run(1.0);
    }
    let view = world.view(0);
    assert!(view.members.len() <= MEMBERS_MOST);
    assert!(dropped(&world.node(0).member, Dropped::Flood) > 200_000);
    // Datagrams that come together with the flood are lost to it; probes go on by way of others.
    for at in 0..3 {
        for other in 0..3 {
            assert_eq!(
                world.changes_to(at, &format!("n{other}"), State::Down, since),
                0,
                "n{at} of n{other}"
            );
        }
    }
}

#[test]
fn absurd_figures_are_dropped_and_the_highest_incarnation_is_still_refuted() {
    let mut world = World::converged(3, 23);
    let absurd = told("x", &[("n0".to_owned(), 2, u32::MAX)]);
    world.deliver(0, Event::Datagram(absurd));
    assert_eq!(dropped(&world.node(0).member, Dropped::Malformed), 1);
    // The highest that is taken, told of a member by its own address and start.
    let mut settings = world.settings("v", 2);
    settings.advertise = "10.9.9.9:7000".parse().unwrap();
    settings.start = 1_700_000_000_000;
    let mut victim = Membership::new(settings, 1, 0.0);
    let mut actions = Vec::new();
    victim.handle(1.0, Event::Datagram(told("y", &[("v".to_owned(), 2, 1 << 31)])), &mut actions);
    let view = victim.view(1.0);
    assert_eq!((view.start, view.incarnation), (1_700_000_000_001, 0), "a later start takes it all back");
    assert_eq!(view.standing, "member");
}

#[test]
fn members_beyond_the_most_are_not_taken_in_and_present_ones_stay() {
    let mut member = Membership::new(World::new(3, 0).settings("c", 2), 3, 0.0);
    let (mut now, mut number) = (0.0, 0);
    while number < 3 * MEMBERS_MOST {
        now += 100.0;
        let records: Vec<_> = (0..20).map(|i| (format!("m{}", number + i), 0, 0)).collect();
        number += 20;
        member.handle(now, Event::Datagram(told("m0", &records)), &mut Vec::new());
    }
    assert_eq!(member.view(now).members.len(), MEMBERS_MOST);
    assert!(dropped(&member, Dropped::Full) > 0);
    assert!(member.view(now).members.iter().any(|m| &*m.name == "m0"));
}

#[test]
fn no_datagram_is_longer_than_the_bound_even_with_the_longest_names() {
    let mut world = World::new(60, 24);
    for at in 0..60 {
        world.start_as(at, &format!("{at:064}"));
    }
    assert!(world.run_until(60.0, |world| world.is_converged()).is_some());
    (0..20).for_each(|at| world.kill(at));
    world.run(60.0);
    assert!(world.max_datagram_bytes <= DATAGRAM_MOST, "{}", world.max_datagram_bytes);
}

// ---- Properties -------------------------------------------------------------------------------------------

/// Random crashes, restarts, pauses, cuts and losses; then the network is whole: no live connected member stays
/// down, and all views are alike.
#[test]
fn whatever_happened_views_are_alike_once_the_network_is_whole() {
    for seed in 0..40 {
        let mut chance = fastrand::Rng::with_seed(1000 + seed);
        let places = chance.usize(2..12);
        let mut world = World::new(places, seed);
        world.seeds = (0..places).filter(|_| chance.bool()).chain([0]).collect();
        (0..places).filter(|at| *at == 0 || chance.f64() < 0.8).for_each(|at| world.start(at));
        let mut paused = Vec::new();
        for _ in 0..30 {
            world.run(chance.f64() * 12.0);
            let at = chance.usize(..places);
            match chance.u8(0..8) {
                0 if world.nodes[at].is_some() => {
                    world.kill(at);
                    paused.retain(|other| *other != at);
                }
                1 if world.nodes[at].is_none() => world.start(at),
                2 if world.nodes[at].is_some() && !paused.contains(&at) => {
                    world.pause(at);
                    paused.push(at);
                }
                3 => paused.drain(..).for_each(|at| world.resume(at)),
                4 => {
                    let cut = chance.usize(..=places);
                    world.connected = Box::new(move |from, to| (from < cut) == (to < cut));
                }
                5 => {
                    let (one, other) = (chance.usize(..places), chance.usize(..places));
                    world.connected = Box::new(move |from, to| (from, to) != (one, other));
                }
                6 => (world.loss, world.duplication) = (chance.f64() * 0.4, chance.f64() * 0.3),
                _ => world.connected = Box::new(|_, _| true),
            }
        }
        paused.drain(..).for_each(|at| world.resume(at));
        world.connected = Box::new(|_, _| true);
        (world.loss, world.duplication) = (0.0, 0.0);
        let whole = world.run_until(240.0, |world| world.is_converged());
        assert!(
            whole.is_some(),
            "seed {seed}: {:?}",
            world.live().iter().map(|at| world.view(*at)).collect::<Vec<_>>()
        );
        let since = world.now;
        world.run(60.0);
        assert!(world.is_converged(), "seed {seed}: it does not last");
        let moved = world
            .live()
            .iter()
            .any(|at| world.node(*at).changes.iter().any(|c| c.0 > since && c.3 == State::Down));
        assert!(!moved, "seed {seed}: somebody went down on a whole network");
    }
}

#[test]
fn the_same_events_yield_the_same_actions() {
    let play = || {
        let mut world = World::converged(30, 25);
        world.kill(3);
        world.loss = 0.1;
        world.run(30.0);
        (world.datagrams_sent, world.bytes_sent, world.view(0))
    };
    assert_eq!(play(), play());
}

// ---- Figures for docs/membership.md -----------------------------------------------------------------------

/// `cargo test --release --test membership -- --ignored --nocapture`
#[test]
#[ignore = "measures; it asserts nothing that the others do not"]
fn measure() {
    let median = |times: &mut Vec<f64>| {
        times.sort_by(f64::total_cmp);
        (times[times.len() / 2], times[times.len() - 1])
    };
    for (places, runs) in [(3, 200), (30, 100), (300, 20)] {
        let (mut first, mut all, mut met) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..runs {
            let mut world = World::converged(places, 5000 + seed);
            met.push(world.now / 1000.0);
            let more = world.rng.f64();
            world.run(20.0 + more);
            world.kill(places - 1);
            let (name, dies) = (format!("n{}", places - 1), world.now);
            world.run_until(200.0, |w| w.live().iter().any(|at| down(w, *at, &name))).expect("somebody");
            first.push((world.now - dies) / 1000.0);
            world.run_until(200.0, |w| w.live().iter().all(|at| down(w, *at, &name))).expect("all");
            all.push((world.now - dies) / 1000.0);
        }
        let (met, first, all) = (median(&mut met), median(&mut first), median(&mut all));
        println!(
            "{places} members, {runs} runs: met {met:.1?} s; down for one {first:.1?} (bound {:.1}), for all {all:.1?}",
            bound(places)
        );
    }
    for (places, seconds) in [(3, 3600.0), (30, 600.0), (300, 120.0)] {
        for loss in [0.0, 0.05, 0.2, 0.3] {
            let mut world = World::converged(places, 77);
            world.run(40.0);
            let before: Vec<_> =
                world.live().iter().map(|at| world.node(*at).member.counts().clone()).collect();
            let since = world.now;
            world.loss = loss;
            let started = Instant::now();
            world.run(seconds);
            let cpu = started.elapsed().as_secs_f64();
            let per = |figure: &dyn Fn(&Counts) -> u64| {
                let after: u64 = world.live().iter().map(|at| figure(world.node(*at).member.counts())).sum();
                let before: u64 = before.iter().map(figure).sum();
                (after - before) as f64 / places as f64 / seconds
            };
            let downs: usize = world
                .live()
                .iter()
                .map(|at| {
                    world.node(*at).changes.iter().filter(|c| c.0 > since && c.3 == State::Down).count()
                })
                .sum();
            println!(
                "{places} members, loss {loss}: {:.2} datagrams and {:.0} bytes a second sent by each, {:.4} \
                 suspicions a second seen by each, {downs} held to be down; {:.0} us of CPU a second for each",
                per(&|c| c.sent),
                per(&|c| c.sent_bytes),
                per(&|c| c.suspicions),
                cpu * 1e6 / places as f64 / seconds
            );
        }
    }
}
