//! Anti-entropy: replicas that diverged are detected by range digests, and repaired to equal the original.

use oakfall_system::protocol::{Backend, Change, ChangeKind, ConfigRevision, Evacuated, Gateway};
use oakfall_system::state::{DigestCache, State};

fn random_change(rng: &mut fastrand::Rng) -> Change {
    let zone = ["a", "b", "c"][rng.usize(0..3)].to_owned();
    let number = rng.u32(0..12);
    let kind = match rng.u32(0..8) {
        0 => ChangeKind::Config(ConfigRevision {
            edition: rng.u64(..),
            text: format!("{{{number}}}"),
            call_digest: rng.u64(..),
            ..ConfigRevision::default()
        }),
        1 => ChangeKind::Evacuated(Evacuated { zone, on: rng.bool() }),
        2 => ChangeKind::BackendGone(format!("i-{number}")),
        3 => ChangeKind::Gateway(Gateway {
            node: format!("n-{number}"),
            zone,
            client_addr: format!("10.0.0.{number}:1"),
        }),
        4 => ChangeKind::GatewayGone(format!("n-{number}")),
        _ => ChangeKind::Backend(Backend {
            id: format!("i-{number}"),
            service: "s".into(),
            address: format!("10.0.1.{}:1", rng.u32(0..40)),
            zone,
            max_concurrency: rng.u32(1..4),
            draining: rng.bool(),
            heartbeat_seq: rng.u64(0..4),
            cold_ms: rng.u64(0..3000),
            edition: format!("v{}", rng.u32(1..3)),
        }),
    };
    Change { kind: Some(kind), deregistered: rng.bool() }
}

fn random_state(rng: &mut fastrand::Rng) -> State {
    let mut state = State::default();
    for index in 1..60 {
        state.apply(index as f64 * 10.0, index, Some(&random_change(rng)));
    }
    state
}

/// The part of the state that must be equal in all replicas.
fn comparable(state: &State) -> State {
    let mut state = state.clone();
    // Only core processes hold these, and not those of an older release during an upgrade.
    state.update_outcomes = Default::default();
    state.deregistered.clear();
    state.evacuation_ends.clear();
    state.backends.values_mut().for_each(|known| {
        known.cold_until = 0.0;
        (known.backend.cold_ms, known.backend.heartbeat_seq) = (0, 0);
    });
    state
}

#[test]
fn diverged_replica_is_detected_and_repaired() {
    bolero::check!().with_iterations(500).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let (original, later) = (random_state(&mut rng), 700.0 + rng.f64() * 5000.0);
        // A replica restored from a snapshot has the same digests at any time.
        let mut replica = State::from_snapshot(later, original.snapshot(later, false));
        let digest = DigestCache::default();
        assert_eq!(
            (digest.of(&replica), replica.range_digests()),
            (DigestCache::default().of(&original), original.range_digests())
        );
        assert!(original.repair_for(later, &replica.range_digests()).is_none());
        // Diverge without a new index.
        let before = replica.clone();
        for _ in 0..1 + rng.usize(0..4) {
            replica.apply(later, original.index, Some(&random_change(&mut rng)));
        }
        digest.invalidate();
        let same = comparable(&before) == comparable(&replica);
        assert_eq!(
            digest.of(&replica) == DigestCache::default().of(&original),
            same,
            "any divergence is detected"
        );
        let repair = original.repair_for(later, &replica.range_digests());
        assert_eq!(repair.is_none(), same);
        let Some(repair) = repair else { return };
        // Only zones that differ are sent.
        let parts = repair.parts.clone().expect("parts");
        for zone in ["a", "b", "c"] {
            let in_zone = |state: &State| {
                let state = comparable(state);
                let backends: Vec<_> =
                    state.backends.into_values().filter(|known| known.backend.zone == zone).collect();
                let gateways: Vec<_> =
                    state.gateways.into_values().filter(|gateway| gateway.zone == zone).collect();
                (backends, gateways)
            };
            let sent = parts.backends.iter().any(|backend| backend.zone == zone)
                || parts.gateways.iter().any(|gateway| gateway.zone == zone);
            assert!(!sent || in_zone(&replica) != in_zone(&original), "zone {zone} does not differ");
        }
        assert!(replica.repair(later, repair.clone()));
        assert_eq!(comparable(&replica), comparable(&original));
        digest.invalidate();
        assert_eq!(digest.of(&replica), DigestCache::default().of(&original));
        // A replica at a later index is left unchanged.
        replica.apply(later, original.index + 1, Some(&random_change(&mut rng)));
        let later_replica = replica.clone();
        assert!(!replica.repair(later, repair) && replica == later_replica);
        assert!(original.repair_for(later, &replica.range_digests()).is_none());
    });
}

/// Each digest hashes all backends, so under a stream of changes it is computed at most once a second.
#[test]
fn digest_is_computed_at_most_once_a_second() {
    let mut state = State::default();
    let digest = DigestCache::default();
    let mut computed = Vec::new();
    for round in 0..200 {
        state.apply(0.0, round + 1, None);
        let now = round as f64 * 25.0;
        if digest.rate_limited(now, &state) != 0 {
            computed.push(now);
        }
    }
    assert_eq!(computed, [0.0, 1000.0, 2000.0, 3000.0, 4000.0]);
    assert_eq!(digest.rate_limited(4980.0, &state), 0);
    assert_eq!(digest.rate_limited(5000.0, &state), digest.of(&state));
    // A cached digest is returned at any time.
    assert_eq!(digest.rate_limited(5001.0, &state), digest.of(&state));
}

/// A zone's backends may be cold after an evacuation whose start was never committed. Its end is kept for a
/// minute, also in snapshots.
#[test]
fn end_of_an_evacuation_is_kept_without_its_start() {
    let mut state = State::default();
    let end = Change {
        kind: Some(ChangeKind::Evacuated(Evacuated { zone: "a".into(), on: false })),
        deregistered: false,
    };
    state.apply(5_000.0, 1, Some(&end));
    assert_eq!(state.evacuation_ends.get("a"), Some(&5_000.0));
    let restored = State::from_snapshot(100.0, state.snapshot(7_000.0, false));
    assert_eq!(
        restored.evacuation_ends.get("a"),
        Some(&-1_900.0),
        "two seconds before the snapshot, on the replica's clock"
    );
    assert!(State::from_snapshot(0.0, state.snapshot(70_000.0, false)).evacuation_ends.is_empty());
}
