//! Simulation tests of the membership protocol, with 3, 30 and 300 members on a network with loss,
//! duplication, reordering and partitions.
#![allow(missing_docs)]

mod simulated_network;

use oakfall::membership::*;
use simulated_network::*;
use std::time::Instant;

/// Upper limit in seconds until a failed member is declared down by at least one other: eight periods until
/// it is probed (with a probability of 2,999 in 3,000), one until that probe fails, each with jitter, the
/// maximum suspicion timeout, and two probe timeouts for the final pings.
fn detection_bound_s(members: usize) -> f64 {
    let scale = (members as f64).log10().max(1.0);
    ((9.0 * 1.1 + 12.0 * scale) * PERIOD_MS + 2.0 * TIMEOUT_MS) / 1000.0
}

/// Upper limit of the time in which gossip reaches all members.
const MAX_DISSEMINATION_S: f64 = 3.0;

fn is_down(network: &Network, index: usize, name: &str) -> bool {
    network.state_of(index, name) == Some(State::Down)
}

// ---- Joining, leaving and failing -------------------------------------------------------------------------

#[test]
fn members_that_start_together_converge() {
    for (size, within) in [(3, 5.0), (30, 10.0), (300, 20.0)] {
        let mut network = Network::new(size, 1);
        (0..size).for_each(|index| network.start(index));
        assert!(network.run_until(within, |network| network.is_converged()).is_some(), "{size}");
        let view = network.view(0);
        assert_eq!((view.present, view.majority), (size as u32, Some(true)));
    }
}

#[test]
fn a_member_joins_through_any_reachable_seed() {
    let mut network = Network::new(5, 3);
    network.seeds = vec![0, 1, 2];
    [2, 3].into_iter().for_each(|index| network.start(index));
    assert!(
        network.run_until(60.0, |network| network.is_converged()).is_some(),
        "two of three seeds are down"
    );
    // Without any member in reach, seeds are retried with backoff and without end.
    let mut network = Network::new(2, 3);
    network.seeds = vec![0];
    network.start(1);
    network.run(600.0);
    let tries = network.datagrams_sent;
    assert!((18..60).contains(&tries), "{tries} in ten minutes");
    network.start(0);
    assert!(network.run_until(60.0, |network| network.is_converged()).is_some());
}

#[test]
fn a_failed_member_is_down_everywhere_within_the_bound() {
    for (size, seeds) in [(3, 0..20), (30, 0..10), (300, 0..2)] {
        for seed in seeds {
            let mut network = Network::converged(size, seed);
            network.run(10.0);
            network.kill(size - 1);
            let name = format!("n{}", size - 1);
            let first = network.run_until(detection_bound_s(size), |net| {
                net.live().iter().any(|index| is_down(net, *index, &name))
            });
            assert!(first.is_some(), "{size} members, seed {seed}");
            let all = network.run_until(MAX_DISSEMINATION_S, |net| {
                net.live().iter().all(|index| is_down(net, *index, &name))
            });
            assert!(all.is_some(), "{size} members, seed {seed}");
            assert_eq!(network.view(0).present as usize, size - 1);
            assert_eq!(network.view(0).missing, [name.as_str().into()]);
        }
    }
}

#[test]
fn a_leaving_member_is_never_suspected() {
    for size in [3, 30, 300] {
        let mut network = Network::converged(size, 5);
        network.run(5.0);
        let since = network.now;
        network.deliver(1, Event::Leave);
        network.kill(1);
        let all =
            |net: &Network| net.live().iter().all(|index| net.state_of(*index, "n1") == Some(State::Left));
        assert!(network.run_until(MAX_DISSEMINATION_S, all).is_some(), "{size}");
        for index in network.live() {
            assert_eq!(network.changes_to(index, "n1", State::Suspect, since), 0);
            assert!(network.view(index).missing.is_empty());
        }
        // The member can rejoin at once.
        network.start(1);
        assert!(network.run_until(5.0, |network| network.is_converged()).is_some(), "{size}");
    }
}

#[test]
fn a_restarted_process_replaces_its_predecessor_despite_stale_gossip() {
    let mut network = Network::converged(30, 7);
    network.duplication = 0.5;
    network.latency_ms = (0.2, 3000.0);
    network.run(5.0);
    let old = network.view(4).start;
    network.kill(4);
    network.run(2.0);
    let since = network.now;
    network.start(4);
    let new = network.view(4).start;
    assert!(new > old);
    let all = |net: &Network| {
        let knows =
            |index: &usize| net.view(*index).members.iter().any(|m| &*m.name == "n4" && m.start == new);
        net.live().iter().filter(|index| **index != 4).all(knows)
    };
    assert!(network.run_until(10.0, all).is_some());
    network.latency_ms = (0.2, 5.0);
    network.run(30.0);
    assert!(network.is_converged());
    for index in network.live().into_iter().filter(|index| *index != 4) {
        assert_eq!(network.changes_to(index, "n4", State::Down, since), 0, "n{index}");
        assert!(all(&network), "the predecessor's record returned");
    }
}

/// A handover: the new process binds the address that the old one has just released.
#[test]
fn a_restart_on_the_same_address_is_never_seen_as_a_failure() {
    for size in [3, 30] {
        for gap in [0.0, 0.1, 0.5] {
            let mut network = Network::converged(size, 9);
            let since = network.now;
            network.kill(2);
            network.run(gap);
            network.start(2);
            network.run(40.0);
            assert!(network.is_converged());
            for index in network.live().into_iter().filter(|index| *index != 2) {
                let gone = network.changes_to(index, "n2", State::Down, since)
                    + network.changes_to(index, "n2", State::Left, since);
                assert_eq!(gone, 0, "{size} members, {gap} s");
                let fewest = network.node(index).present.iter().filter(|(when, ..)| *when >= since);
                assert!(fewest.map(|(_, count, _)| *count).min().unwrap_or(size as u32) == size as u32);
            }
        }
    }
}

#[test]
fn a_drained_member_is_present_and_gossiped_as_draining() {
    let mut network = Network::converged(30, 2);
    network.deliver(3, Event::Drain(true));
    let all_see_draining = |net: &Network, draining: bool| {
        let sees = |index: &usize| {
            net.view(*index).members.iter().any(|m| &*m.name == "n3" && m.draining == draining)
        };
        net.live().iter().filter(|index| **index != 3).all(sees)
    };
    assert!(network.run_until(MAX_DISSEMINATION_S, |net| all_see_draining(net, true)).is_some());
    assert!(network.is_converged());
    network.deliver(3, Event::Drain(false));
    assert!(network.run_until(MAX_DISSEMINATION_S, |net| all_see_draining(net, false)).is_some());
}

// ---- Pauses, partitions and name conflicts ----------------------------------------------------------------

#[test]
fn a_paused_process_rejoins_with_a_higher_incarnation() {
    for size in [3, 30] {
        let mut network = Network::converged(size, 11);
        let before = network.view(1).incarnation;
        let since = network.now;
        network.pause(1);
        let limit = detection_bound_s(size) + MAX_DISSEMINATION_S;
        let all = |net: &Network| {
            net.live().iter().filter(|index| **index != 1).all(|index| is_down(net, *index, "n1"))
        };
        assert!(network.run_until(limit, all).is_some(), "{size}");
        network.resume(1);
        assert!(network.run_until(10.0, |network| network.is_converged()).is_some(), "{size}");
        assert!(network.view(1).incarnation > before);
        // The resumed member warns of the pause.
        let warnings = &network.node(1).warnings;
        assert!(warnings.iter().any(|line| line.contains("was paused for")), "{size}: {warnings:?}");
        // It suspects no member for answers missed during the pause, and no other member goes down.
        for index in network.live() {
            for other in network.live() {
                let times = network.changes_to(index, &format!("n{other}"), State::Down, since);
                assert_eq!(times, usize::from(other == 1 && index != 1), "n{index} of n{other}");
            }
        }
        network.run(60.0);
        assert!(network.is_converged());
    }
}

#[test]
fn a_partitioned_process_warns_that_it_was_declared_down() {
    let mut network = Network::converged(30, 11);
    network.connected = Box::new(|from, to| (from == 1) == (to == 1));
    let all = |net: &Network| {
        net.live().iter().filter(|index| **index != 1).all(|index| is_down(net, *index, "n1"))
    };
    assert!(network.run_until(detection_bound_s(30) + MAX_DISSEMINATION_S, all).is_some());
    network.connected = Box::new(|_, _| true);
    assert!(network.run_until(60.0, |network| network.is_converged()).is_some());
    let count = network.node(1).warnings.iter().filter(|line| line.contains("was declared down")).count();
    assert_eq!(count, 1, "{:?}", network.node(1).warnings);
    assert!(network.view(1).incarnation > 0);
}

#[test]
fn a_suspicion_after_a_short_pause_is_refuted() {
    let mut network = Network::converged(30, 12);
    let since = network.now;
    network.pause(1);
    network
        .run_until(5.0, |net| {
            net.live().iter().any(|index| net.state_of(*index, "n1") == Some(State::Suspect))
        })
        .expect("suspected");
    network.resume(1);
    assert!(network.run_until(10.0, |network| network.is_converged()).is_some());
    assert!(network.node(1).member.counts().refutations > 0);
    let downs: usize =
        network.live().iter().map(|index| network.changes_to(*index, "n1", State::Down, since)).sum();
    assert_eq!(downs, 0);
}

#[test]
fn a_member_reachable_through_others_stays_present() {
    // n1 receives nothing from n0; all other links work.
    for size in [3, 30] {
        let mut network = Network::converged(size, 13);
        let since = network.now;
        network.connected = Box::new(|from, to| (from, to) != (0, 1));
        network.run(120.0);
        for index in network.live() {
            for other in ["n0", "n1"] {
                assert_eq!(
                    network.changes_to(index, other, State::Down, since),
                    0,
                    "{size} members: n{index} of {other}"
                );
            }
        }
    }
}

#[test]
fn no_member_is_declared_down_under_loss_duplication_and_reordering() {
    for (size, seconds) in [(3, 3600.0), (30, 300.0), (300, 180.0)] {
        let mut network = Network::converged(size, 14);
        (network.loss, network.duplication, network.latency_ms) = (0.2, 0.1, (0.2, 100.0));
        let since = network.now;
        network.run(seconds);
        for index in network.live() {
            let changes = &network.node(index).changes;
            let downs = changes.iter().filter(|c| c.0 >= since && c.3 == State::Down).count();
            assert_eq!(downs, 0, "{size} members: n{index}");
        }
        (network.loss, network.latency_ms) = (0.0, (0.2, 5.0));
        assert!(network.run_until(30.0, |network| network.is_converged()).is_some());
    }
}

#[test]
fn partitions_merge_after_tombstones_have_expired() {
    // The seeds are all on one side. Records of down members are pruned after 60 periods.
    for (size, cut, away) in [(3, 2, 150.0), (30, 18, 150.0), (300, 180, 100.0)] {
        let mut network = Network::converged(size, 15);
        network.connected = Box::new(move |from, to| (from < cut) == (to < cut));
        network.run(away);
        let (one, other) = (network.view(0), network.view(size - 1));
        assert_eq!((one.present as usize, one.majority), (cut, Some(true)));
        assert_eq!((other.present as usize, other.majority), (size - cut, Some(false)));
        assert_eq!((one.missing.len(), other.missing.len()), (size - cut, cut));
        let since = network.now;
        network.connected = Box::new(|_, _| true);
        // Each side tries to reconnect every ten periods, less often in a larger cluster.
        let healed = network.run_until(60.0, |network| network.is_converged());
        assert!(healed.is_some(), "{size}");
        assert!(network.view(0).missing.is_empty());
        // Members of the same side stay present.
        for index in 0..cut {
            let lost = (0..cut)
                .map(|other| network.changes_to(index, &format!("n{other}"), State::Down, since))
                .sum::<usize>();
            assert_eq!(lost, 0, "n{index}");
        }
    }
}

#[test]
fn of_two_processes_with_one_name_the_later_start_wins() {
    let mut network = Network::new(31, 16);
    network.expected = Some(30);
    (0..30).for_each(|index| network.start(index));
    network.run(20.0);
    network.start_as(30, "n5");
    network.run(20.0);
    let holder = |network: &Network| {
        let seen_by =
            |index: &usize| network.view(*index).members.iter().find(|m| &*m.name == "n5").map(|m| m.addr);
        let others: std::collections::BTreeSet<_> =
            network.live().iter().filter(|index| ![5, 30].contains(*index)).map(seen_by).collect();
        others
    };
    assert_eq!(holder(&network), [Some(address_of(30))].into(), "the later start wins");
    assert_eq!((network.view(5).standing, network.view(5).rival), ("displaced", Some(address_of(30))));
    assert!(network
        .node(5)
        .warnings
        .iter()
        .any(|line| line.contains("two processes use the member name n5")));
    assert!(network.node(5).removed);
    assert_eq!(network.view(30).standing, "member");
    // The outcome is stable: no more changes, and the displaced process sends nothing.
    let (since, sent) = (network.now, network.node(5).member.counts().sent);
    network.run(200.0);
    assert_eq!(holder(&network), [Some(address_of(30))].into());
    assert_eq!(network.node(5).member.counts().sent, sent);
    for index in network.live().into_iter().filter(|index| ![5, 30].contains(index)) {
        let changes = network.node(index).changes.iter().filter(|c| c.0 > since && c.1 == "n5").count();
        assert_eq!(changes, 0, "n{index}");
    }
}

#[test]
fn a_restart_after_the_clock_was_set_back_rejoins() {
    // It rejoins at once on the same address; on another one after all have declared the former process down.
    for (size, address) in [(3, 2), (30, 2), (31, 30)] {
        let mut network = Network::new(size, 17);
        (0..size.min(30)).for_each(|index| network.start(index));
        network.run(20.0);
        let former = network.view(2).start;
        network.kill(2);
        network.unix_start_ms -= 3.6e6;
        network.start_as(address, "n2");
        let limit = if address == 2 { 10.0 } else { 2.0 * detection_bound_s(30) };
        let back = |net: &Network| {
            let start = net.view(address).start;
            let sees = |index: &usize| {
                let members = net.view(*index).members;
                members
                    .iter()
                    .any(|m| (m.addr, m.start, m.state) == (address_of(address), start, State::Alive))
            };
            net.live().iter().filter(|index| **index != address).all(sees)
                && net.view(address).standing == "member"
        };
        assert!(network.run_until(limit, back).is_some(), "{size} members, address {address}");
        assert!(network.view(address).start > former);
    }
}

#[test]
fn wall_clock_jumps_while_running_have_no_effect() {
    let mut network = Network::converged(30, 18);
    let since = network.now;
    network.unix_start_ms += 1e9;
    network.run(30.0);
    network.unix_start_ms -= 2e9;
    network.run(30.0);
    assert!(network.is_converged());
    assert!(network.live().iter().all(|index| network.node(*index).changes.iter().all(|c| c.0 < since)));
}

/// Highest rates of datagrams and bytes sent by a member in any second.
fn peak_rates(network: &mut Network, seconds: usize) -> (f64, f64) {
    let mut most = (0.0f64, 0.0f64);
    for _ in 0..seconds {
        let before: Vec<_> = (0..network.nodes.len())
            .map(|index| {
                network.nodes[index].as_ref().map(|n| (n.member.counts().sent, n.member.counts().sent_bytes))
            })
            .collect();
        network.run(1.0);
        for (index, before) in before.iter().enumerate() {
            let (Some((sent, bytes)), Some(node)) = (before, &network.nodes[index]) else { continue };
            let counts = node.member.counts();
            most.0 = most.0.max(counts.sent.saturating_sub(*sent) as f64);
            most.1 = most.1.max(counts.sent_bytes.saturating_sub(*bytes) as f64);
        }
    }
    most
}

#[test]
fn restarting_seventy_percent_of_the_members_causes_no_traffic_storm() {
    let mut network = Network::converged(300, 19);
    network.run(60.0);
    let idle = peak_rates(&mut network, 60);
    (90..300).for_each(|index| network.kill(index));
    let killed = peak_rates(&mut network, 5);
    (90..300).for_each(|index| network.start(index));
    let restarted = peak_rates(&mut network, 20);
    println!(
        "peak datagrams and bytes per second: idle {idle:?}, killed {killed:?}, restarted {restarted:?}"
    );
    // Probes and acks; gossip to three members five times a period; at most 100 pages a period.
    assert!(idle.0 <= 30.0 && killed.0 <= 60.0 && restarted.0 <= 300.0, "{idle:?} {killed:?} {restarted:?}");
    assert!(restarted.1 <= 300_000.0, "{restarted:?}");
    assert!(network.run_until(20.0, |network| network.is_converged()).is_some());
}

#[test]
fn new_settings_take_effect_at_once() {
    let mut network = Network::converged(3, 20);
    let settings =
        Settings { period_ms: 100.0, timeout_ms: 50.0, expected: Some(9), ..network.settings("x", 9) };
    (0..3).for_each(|index| network.deliver(index, Event::Settings(settings.clone())));
    assert_eq!((network.view(0).expected, network.view(0).majority), (Some(9), Some(false)));
    // Name and address keep their values.
    assert_eq!((&*network.view(0).name, network.view(0).addr), ("n0", address_of(0)));
    network.kill(2);
    assert!(network
        .run_until(detection_bound_s(3) / 10.0 + 1.0, |net| is_down(net, 0, "n2") && is_down(net, 1, "n2"))
        .is_some());
}

// ---- Invalid input and overload ---------------------------------------------------------------------------

/// Datagrams exchanged by two members of a cluster of three.
fn captured_datagrams() -> Vec<Vec<u8>> {
    let mut a = Membership::new(Network::new(3, 0).settings("a", 0), 1, 0.0);
    let mut b = Membership::new(Network::new(3, 0).settings("b", 1), 2, 0.0);
    let (mut captured, mut now) = (Vec::new(), 0.0);
    for _ in 0..200 {
        now += 100.0;
        let mut actions = Vec::new();
        a.handle(now, Event::Due, &mut actions);
        while let Some(action) = actions.pop() {
            if let Action::Send { to, bytes } = action {
                captured.push(bytes.clone());
                // Dropped datagrams cause indirect probes, too.
                if to == address_of(1) && captured.len() % 3 != 0 {
                    b.handle(now, Event::Datagram(bytes), &mut actions);
                } else if to == address_of(0) {
                    a.handle(now, Event::Datagram(bytes), &mut actions);
                }
            }
        }
    }
    captured
}

fn dropped(member: &Membership, reason: DropReason) -> u64 {
    member.counts().dropped[reason as usize]
}

#[test]
fn invalid_datagrams_are_dropped_and_counted_by_reason() {
    let captured = captured_datagrams();
    assert!(captured.len() > 20);
    let fresh = || Membership::new(Network::new(3, 0).settings("c", 2), 3, 0.0);
    let deliver = |member: &mut Membership, bytes: &[u8]| {
        let mut actions = Vec::new();
        member.handle(0.0, Event::Datagram(bytes.to_vec()), &mut actions);
        actions
    };
    for bytes in &captured {
        // A datagram cut at the end of a record is valid; within the header it counts as truncated.
        for length in 0..bytes.len() {
            let mut member = fresh();
            let actions = deliver(&mut member, &bytes[..length]);
            if length < 12 {
                assert_eq!(dropped(&member, DropReason::Truncated), 1);
                assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
            }
        }
        for (offset, reason) in [
            (0, DropReason::Foreign),
            (3, DropReason::Version),
            (4, DropReason::Cluster),
            (12, DropReason::Malformed),
        ] {
            let (mut member, mut bad) = (fresh(), bytes.clone());
            bad[offset] ^= 0x40;
            let actions = deliver(&mut member, &bad);
            assert_eq!(dropped(&member, reason), 1, "{offset}");
            assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
        }
    }
    let mut member = fresh();
    deliver(&mut member, &vec![0; MAX_DATAGRAM_BYTES + 1]);
    assert_eq!(dropped(&member, DropReason::Oversized), 1);
    // Unsolicited acks, nacks and pages.
    for kind in [2, 4, 6] {
        // Nacks and acks differ only in their type byte.
        let template = if kind == 4 { 2 } else { kind };
        let mut answer =
            captured.iter().find(|bytes| bytes[12] == template).expect("one of each kind").clone();
        answer[12] = kind;
        let mut member = fresh();
        deliver(&mut member, &answer);
        assert_eq!(dropped(&member, DropReason::Unsolicited), 1, "kind {kind}");
    }
    // Its own datagrams, reflected.
    let mut member = Membership::new(Network::new(3, 0).settings("a", 0), 9, 0.0);
    captured.iter().take(3).for_each(|bytes| drop(deliver(&mut member, bytes)));
    assert!(dropped(&member, DropReason::Echo) > 0);
}

#[test]
fn random_and_corrupted_datagrams_cause_no_panic_and_bounded_work() {
    let captured = captured_datagrams();
    let mut rng = fastrand::Rng::with_seed(21);
    let mut member = Membership::new(Network::new(3, 0).settings("c", 2), 3, 0.0);
    let mut now = 0.0;
    for round in 0..100_000 {
        now += rng.f64() * 20.0;
        let mut bytes = match round % 3 {
            0 => (0..rng.usize(0..1300)).map(|_| rng.u8(..)).collect(),
            _ => captured[rng.usize(..captured.len())].clone(),
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
        assert!(sends <= 20, "{sends} datagrams sent in response to one");
        assert!(member.due() > now - 1.0, "the next timer is not in the past");
    }
    assert!(member.view(now).members.len() <= MAX_MEMBERS);
}

/// A gossip datagram, encoded independently of the implementation.
fn gossip_datagram(sender: &str, records: &[(String, u8, u32)]) -> Vec<u8> {
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
fn a_flood_from_unknown_senders_is_limited_and_members_stay_present() {
    let mut network = Network::converged(3, 22);
    let since = network.now;
    for second in 0..60 {
        for number in 0..5_000 {
            let datagram = gossip_datagram(&format!("s{second}-{number}"), &[]);
            network.deliver(0, Event::Datagram(datagram));
        }
        network.run(1.0);
    }
    let view = network.view(0);
    assert!(view.members.len() <= MAX_MEMBERS);
    assert!(dropped(&network.node(0).member, DropReason::Flood) > 200_000);
    // Members' datagrams are dropped during the flood as well; indirect probes keep the members present.
    for index in 0..3 {
        for other in 0..3 {
            assert_eq!(
                network.changes_to(index, &format!("n{other}"), State::Down, since),
                0,
                "n{index} of n{other}"
            );
        }
    }
}

#[test]
fn out_of_range_values_are_dropped_and_the_maximum_incarnation_is_refuted() {
    let mut network = Network::converged(3, 23);
    let out_of_range = gossip_datagram("x", &[("n0".to_owned(), 2, u32::MAX)]);
    network.deliver(0, Event::Datagram(out_of_range));
    assert_eq!(dropped(&network.node(0).member, DropReason::Malformed), 1);
    // The maximum incarnation accepted, with the member's own address and start time.
    let mut settings = network.settings("v", 2);
    settings.advertise = "10.9.9.9:7000".parse().unwrap();
    settings.start = 1_700_000_000_000;
    let mut victim = Membership::new(settings, 1, 0.0);
    let mut actions = Vec::new();
    victim.handle(1.0, Event::Datagram(gossip_datagram("y", &[("v".to_owned(), 2, 1 << 31)])), &mut actions);
    let view = victim.view(1.0);
    assert_eq!((view.start, view.incarnation), (1_700_000_000_001, 0), "a later start overrides the record");
    assert_eq!(view.standing, "member");
}

#[test]
fn members_beyond_the_maximum_are_dropped_and_present_ones_stay() {
    let mut member = Membership::new(Network::new(3, 0).settings("c", 2), 3, 0.0);
    let (mut now, mut number) = (0.0, 0);
    while number < 3 * MAX_MEMBERS {
        now += 100.0;
        let records: Vec<_> = (0..20).map(|i| (format!("m{}", number + i), 0, 0)).collect();
        number += 20;
        member.handle(now, Event::Datagram(gossip_datagram("m0", &records)), &mut Vec::new());
    }
    assert_eq!(member.view(now).members.len(), MAX_MEMBERS);
    assert!(dropped(&member, DropReason::Full) > 0);
    assert!(member.view(now).members.iter().any(|m| &*m.name == "m0"));
}

#[test]
fn datagrams_with_the_longest_names_stay_within_the_length_limit() {
    let mut network = Network::new(60, 24);
    for index in 0..60 {
        network.start_as(index, &format!("{index:064}"));
    }
    assert!(network.run_until(60.0, |network| network.is_converged()).is_some());
    (0..20).for_each(|index| network.kill(index));
    network.run(60.0);
    assert!(network.max_datagram_bytes <= MAX_DATAGRAM_BYTES, "{}", network.max_datagram_bytes);
}

// ---- Properties -------------------------------------------------------------------------------------------

/// After random crashes, restarts, pauses, partitions and loss, all views converge and no live member stays
/// down.
#[test]
fn views_converge_after_random_faults_end() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(1000 + seed);
        let size = rng.usize(2..12);
        let mut network = Network::new(size, seed);
        network.seeds = (0..size).filter(|_| rng.bool()).chain([0]).collect();
        (0..size).filter(|index| *index == 0 || rng.f64() < 0.8).for_each(|index| network.start(index));
        let mut paused = Vec::new();
        for _ in 0..30 {
            network.run(rng.f64() * 12.0);
            let index = rng.usize(..size);
            match rng.u8(0..8) {
                0 if network.nodes[index].is_some() => {
                    network.kill(index);
                    paused.retain(|other| *other != index);
                }
                1 if network.nodes[index].is_none() => network.start(index),
                2 if network.nodes[index].is_some() && !paused.contains(&index) => {
                    network.pause(index);
                    paused.push(index);
                }
                3 => paused.drain(..).for_each(|index| network.resume(index)),
                4 => {
                    let cut = rng.usize(..=size);
                    network.connected = Box::new(move |from, to| (from < cut) == (to < cut));
                }
                5 => {
                    let (one, other) = (rng.usize(..size), rng.usize(..size));
                    network.connected = Box::new(move |from, to| (from, to) != (one, other));
                }
                6 => (network.loss, network.duplication) = (rng.f64() * 0.4, rng.f64() * 0.3),
                _ => network.connected = Box::new(|_, _| true),
            }
        }
        paused.drain(..).for_each(|index| network.resume(index));
        network.connected = Box::new(|_, _| true);
        (network.loss, network.duplication) = (0.0, 0.0);
        let converged = network.run_until(240.0, |network| network.is_converged());
        assert!(
            converged.is_some(),
            "seed {seed}: {:?}",
            network.live().iter().map(|index| network.view(*index)).collect::<Vec<_>>()
        );
        let since = network.now;
        network.run(60.0);
        assert!(network.is_converged(), "seed {seed}: views diverged again");
        let went_down = network
            .live()
            .iter()
            .any(|index| network.node(*index).changes.iter().any(|c| c.0 > since && c.3 == State::Down));
        assert!(!went_down, "seed {seed}: a member went down without a fault");
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = || {
        let mut network = Network::converged(30, 25);
        network.kill(3);
        network.loss = 0.1;
        network.run(30.0);
        (network.datagrams_sent, network.bytes_sent, network.view(0))
    };
    assert_eq!(run(), run());
}

// ---- Measurements for docs/membership.md ------------------------------------------------------------------

/// `cargo test --release --test membership -- --ignored --nocapture`
#[test]
#[ignore = "measurement only; the other tests cover its assertions"]
fn measure_detection_and_traffic() {
    let median = |times: &mut Vec<f64>| {
        times.sort_by(f64::total_cmp);
        (times[times.len() / 2], times[times.len() - 1])
    };
    for (size, runs) in [(3, 200), (30, 100), (300, 20)] {
        let (mut first, mut all, mut convergence) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..runs {
            let mut network = Network::converged(size, 5000 + seed);
            convergence.push(network.now / 1000.0);
            let offset = network.rng.f64();
            network.run(20.0 + offset);
            network.kill(size - 1);
            let (name, killed_at) = (format!("n{}", size - 1), network.now);
            network
                .run_until(200.0, |net| net.live().iter().any(|index| is_down(net, *index, &name)))
                .expect("first detection");
            first.push((network.now - killed_at) / 1000.0);
            network
                .run_until(200.0, |net| net.live().iter().all(|index| is_down(net, *index, &name)))
                .expect("detection by all");
            all.push((network.now - killed_at) / 1000.0);
        }
        let (convergence, first, all) = (median(&mut convergence), median(&mut first), median(&mut all));
        println!(
            "{size} members, {runs} runs: converged after {convergence:.1?} s; down at the first member \
             after {first:.1?} s (bound {:.1}), at all after {all:.1?} s",
            detection_bound_s(size)
        );
    }
    for (size, seconds) in [(3, 3600.0), (30, 600.0), (300, 120.0)] {
        for loss in [0.0, 0.05, 0.2, 0.3] {
            let mut network = Network::converged(size, 77);
            network.run(40.0);
            let before: Vec<_> =
                network.live().iter().map(|index| network.node(*index).member.counts().clone()).collect();
            let since = network.now;
            network.loss = loss;
            let started = Instant::now();
            network.run(seconds);
            let cpu = started.elapsed().as_secs_f64();
            let rate = |count: &dyn Fn(&Counts) -> u64| {
                let after: u64 =
                    network.live().iter().map(|index| count(network.node(*index).member.counts())).sum();
                let before: u64 = before.iter().map(count).sum();
                (after - before) as f64 / size as f64 / seconds
            };
            let downs: usize = network
                .live()
                .iter()
                .map(|index| {
                    network.node(*index).changes.iter().filter(|c| c.0 > since && c.3 == State::Down).count()
                })
                .sum();
            println!(
                "{size} members, loss {loss}: per member and second {:.2} datagrams and {:.0} bytes sent, \
                 {:.4} suspicions and {:.0} us of CPU; {downs} members declared down",
                rate(&|c| c.sent),
                rate(&|c| c.sent_bytes),
                rate(&|c| c.suspicions),
                cpu * 1e6 / size as f64 / seconds
            );
        }
    }
}
