//! Copies of the state that were damaged, compared by ranges and mended, against the plain way: the whole copy anew.

use overland::news::{Backend, Change, Configured, Evacuated, Gateway, Kind};
use overland::state::{Digest, State};

fn change(rng: &mut fastrand::Rng) -> Change {
    let zone = ["a", "b", "c"][rng.usize(0..3)].to_owned();
    let number = rng.u32(0..12);
    let kind = match rng.u32(0..8) {
        0 => Kind::Configured(Configured {
            edition: rng.u64(..),
            text: format!("{{{number}}}"),
            call: rng.u64(..),
            ..Configured::default()
        }),
        1 => Kind::Evacuated(Evacuated { zone, on: rng.bool() }),
        2 => Kind::BackendGone(format!("i-{number}")),
        3 => {
            Kind::Gateway(Gateway { node: format!("n-{number}"), zone, front: format!("10.0.0.{number}:1") })
        }
        4 => Kind::GatewayGone(format!("n-{number}")),
        _ => Kind::Backend(Backend {
            id: format!("i-{number}"),
            service: "s".into(),
            address: format!("10.0.1.{}:1", rng.u32(0..40)),
            zone,
            berths: rng.u32(1..4),
            closing: rng.bool(),
            postmark: rng.u64(0..4),
            cold_ms: rng.u64(0..3000),
        }),
    };
    Change { kind: Some(kind), left: rng.bool() }
}

fn state(rng: &mut fastrand::Rng) -> State {
    let mut state = State::default();
    for index in 1..60 {
        state.apply(index as f64 * 10.0, index, Some(&change(rng)));
    }
    state
}

/// What must be the same in all copies.
fn lasting(state: &State) -> State {
    let mut state = state.clone();
    // What orders calls is for the core alone, and an older process in the middle of an upgrade knows nothing of it.
    state.ledger = Default::default();
    state.left.clear();
    state.taken_back.clear();
    state.backends.values_mut().for_each(|known| {
        known.cold_until = 0.0;
        (known.backend.cold_ms, known.backend.postmark) = (0, 0);
    });
    state
}

#[test]
fn a_damaged_copy_is_found_and_made_whole_by_what_differs() {
    bolero::check!().with_iterations(500).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let (right, later) = (state(&mut rng), 700.0 + rng.f64() * 5000.0);
        // A copy that came whole and a copy that followed are the same, whenever they are looked at.
        let mut copy = State::from_whole(later, right.whole(later, false));
        let digest = Digest::default();
        assert_eq!((digest.of(&copy), copy.ranges()), (Digest::default().of(&right), right.ranges()));
        assert!(right.mend_for(later, &copy.ranges()).is_none());
        // Damage that no numbered change tells of.
        let before = copy.clone();
        for _ in 0..1 + rng.usize(0..4) {
            copy.apply(later, right.index, Some(&change(&mut rng)));
        }
        digest.forget();
        let same = lasting(&before) == lasting(&copy);
        assert_eq!(digest.of(&copy) == Digest::default().of(&right), same, "found where there is any");
        let mend = right.mend_for(later, &copy.ranges());
        assert_eq!(mend.is_none(), same);
        let Some(mend) = mend else { return };
        // What is sent is what differs: cells that are the same stay.
        let parts = mend.parts.clone().expect("parts");
        for zone in ["a", "b", "c"] {
            let of = |state: &State| {
                let state = lasting(state);
                let backends: Vec<_> =
                    state.backends.into_values().filter(|known| known.backend.zone == zone).collect();
                (
                    backends,
                    state.gateways.into_values().filter(|gateway| gateway.zone == zone).collect::<Vec<_>>(),
                )
            };
            let sent = parts.backends.iter().any(|b| b.zone == zone)
                || parts.gateways.iter().any(|g| g.zone == zone);
            assert!(!sent || of(&copy) != of(&right), "{zone} is the same");
        }
        assert!(copy.mend(later, mend.clone()));
        assert_eq!(lasting(&copy), lasting(&right));
        digest.forget();
        assert_eq!(digest.of(&copy), Digest::default().of(&right));
        // A copy that has gone on is not touched by what mends an older one.
        copy.apply(later, right.index + 1, Some(&change(&mut rng)));
        let gone_on = copy.clone();
        assert!(!copy.mend(later, mend) && copy == gone_on);
        assert!(right.mend_for(later, &copy.ranges()).is_none());
    });
}

/// Each change would be a digest of all backends at each gateway: it is told once in a second while changes come, and at
/// once again when they rest.
#[test]
fn a_digest_is_told_once_a_second_while_changes_come() {
    let mut state = State::default();
    let digest = Digest::default();
    let mut told = Vec::new();
    for round in 0..200 {
        state.apply(0.0, round + 1, None);
        let now = round as f64 * 25.0;
        if digest.lately(now, &state) != 0 {
            told.push(now);
        }
    }
    assert_eq!(told, [0.0, 1000.0, 2000.0, 3000.0, 4000.0]);
    assert_eq!(digest.lately(4980.0, &state), 0);
    assert_eq!(digest.lately(5000.0, &state), digest.of(&state));
    // One that is known is told at any time.
    assert_eq!(digest.lately(5001.0, &state), digest.of(&state));
}

/// Where the beginning of an evacuation was never agreed on, its end still tells that the zone's backends may be cold, also to
/// a copy that is made of a whole state; not for long.
#[test]
fn the_end_of_an_evacuation_is_known_without_its_beginning() {
    let mut state = State::default();
    let end = Change { kind: Some(Kind::Evacuated(Evacuated { zone: "a".into(), on: false })), left: false };
    state.apply(5_000.0, 1, Some(&end));
    assert_eq!(state.taken_back.get("a"), Some(&5_000.0));
    let later = State::from_whole(100.0, state.whole(7_000.0, false));
    assert_eq!(
        later.taken_back.get("a"),
        Some(&-1_900.0),
        "two seconds before it was made, by its own clock"
    );
    assert!(State::from_whole(0.0, state.whole(70_000.0, false)).taken_back.is_empty());
}
