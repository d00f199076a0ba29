//! The outcomes of configuration updates, checked against a model: a list of all accepted updates.

use overland::calls::{Call, Called, Patch, Put};
use overland::config::{digest_of_whole, Envelope};
use overland::ledger::{Mark, TAKEN_MOST};
use overland::news::{Change, Configured, Kind, Whole};
use overland::state::{Fit, State, Touched};
use prost::Message;

fn update(edition: u64, based_on: u64, content: u64) -> Mark {
    Mark {
        edition,
        based_on,
        order: edition << 20 | based_on << 4 | content,
        call: edition << 40 | based_on << 30 | content,
    }
}

fn change(mark: &Mark) -> Change {
    let Mark { edition, based_on, order, call } = *mark;
    let (text, digests) = (format!("{edition}"), vec![order, !order]);
    let config =
        Configured { edition, text, call, based_on: Some(based_on), digests, ..Configured::default() };
    Change { kind: Some(Kind::Configured(config)), ..Change::default() }
}

/// The state after a round trip through a snapshot.
fn through_snapshot(state: &State) -> State {
    let bytes = state.whole(0.0, true).encode_to_vec();
    State::from_whole(0.0, Whole::decode(&bytes[..]).expect("a snapshot"))
}

/// Random updates on the current and other editions, with retries and snapshots.
#[test]
fn accepted_updates_are_never_rejected_and_rejected_ones_never_acknowledged() {
    bolero::check!().with_iterations(60).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let (mut state, mut accepted, mut sent) = (State::default(), Vec::<Mark>::new(), Vec::<Mark>::new());
        for index in 1..400 {
            let current = state.edition();
            let mark = match rng.u32(0..10) {
                0..=5 => {
                    update(current + rng.u64(0..4), current.saturating_sub(rng.u64(0..2)), rng.u64(0..3))
                }
                6 => update(current + 5, current + 2, rng.u64(0..3)),
                _ if sent.is_empty() => continue,
                _ => sent[rng.usize(0..sent.len())],
            };
            sent.push(mark);
            let fit = state.fit(&mark);
            let was_accepted = accepted.contains(&mark);
            assert_eq!(matches!(fit, Fit::Taken(_)), was_accepted, "{mark:?}: {fit:?}");
            let applicable = !was_accepted && mark.based_on == current && mark.edition > current;
            let touched = state.apply(0.0, index, Some(&change(&mark)));
            // An update recorded as rejected is never proposed again, so its outcome here does not matter.
            if fit != Fit::Late || !applicable {
                assert_eq!(touched == Touched::Config, applicable, "{mark:?}: {fit:?}");
            }
            if touched == Touched::Config {
                let precedes =
                    |earlier: &Mark| earlier.based_on != mark.based_on && earlier.edition < mark.edition;
                assert!(accepted.iter().all(precedes));
                accepted.push(mark);
            }
            if rng.u32(0..20) == 0 {
                let restored = through_snapshot(&state);
                assert_eq!(restored, state);
                state = restored;
            }
        }
    });
}

#[test]
fn outcome_of_a_dropped_update_is_unknown() {
    let (mut state, capacity) = (State::default(), TAKEN_MOST as u64);
    for edition in 1..=capacity + 1 {
        let touched = state.apply(0.0, edition, Some(&change(&update(edition, edition - 1, 0))));
        assert_eq!(touched, Touched::Config);
    }
    let state = through_snapshot(&state);
    assert_eq!(state.fit(&update(1, 0, 0)), Fit::Forgotten);
    assert_eq!(state.fit(&update(2, 1, 0)), Fit::Taken(2));
    assert_eq!(state.fit(&update(2, 1, 1)), Fit::Late, "another update with a recorded edition");
    assert_eq!(state.fit(&update(1, 1, 0)), Fit::Backward, "it can never have been accepted");
}

#[test]
fn entries_and_snapshots_of_earlier_releases_are_read() {
    let mark = update(7, 3, 1);
    // An entry without a base is always accepted.
    let old = Configured { edition: 7, text: "{}".into(), call: mark.call, ..Configured::default() };
    let mut state = State::default();
    state.apply(0.0, 5, Some(&Change { kind: Some(Kind::Configured(old.clone())), ..Change::default() }));
    assert_eq!((state.edition(), state.fit(&mark)), (7, Fit::Taken(5)));
    let whole = Whole { index: 9, config: Some(old), calls: vec![1, mark.call], ..Whole::default() };
    let state = through_snapshot(&State::from_whole(0.0, whole));
    assert_eq!(state.fit(&mark), Fit::Taken(9), "its index is unknown, so that of the state counts");
    assert_eq!(state.fit(&update(7, 3, 2)), Fit::Late);
}

fn put(body: &str) -> Mark {
    let called = Called { method: "POST", path: "/api/Config.Put", body: body.as_bytes() };
    Put::read("", "", &called).ok().and_then(|put| put.0.mark).expect("a valid update")
}

fn patch(body: &str) -> Mark {
    let called = Called { method: "POST", path: "/api/Config.Patch", body: body.as_bytes() };
    Patch::read("", "", &called).ok().and_then(|patch| patch.0.mark).expect("a valid update")
}

#[test]
fn digest_of_an_update_ignores_json_formatting() {
    let (compact, reformatted) = (
        r#"{"edition":"r7","based_on":"r3","fleets":[1,2]}"#,
        "{ \"fleets\": [1, 2],\n\"based_on\": \"r3\", \"edition\": \"r7\" }",
    );
    assert_eq!(put(compact).order, put(reformatted).order);
    for different in [
        r#"{"edition":"r7","based_on":"r3","fleets":[2,1]}"#,
        r#"{"edition":"r7","based_on":"r4","fleets":[1,2]}"#,
        r#"{"edition":"r8","based_on":"r3","fleets":[1,2]}"#,
    ] {
        assert_ne!(put(compact).order, put(different).order, "{different}");
    }
    assert_ne!(put(compact).order, patch(compact).order, "a put and a patch differ in meaning");
    assert_eq!(
        put(r#"{"edition":"r1","based_on":0}"#).order,
        put(r#"{"edition":"r1","based_on":"0"}"#).order
    );
}

#[test]
fn patch_result_is_recognised_when_sent_as_a_put() {
    let text = |edition: &str, key: &str, based_on: &str| {
        format!(
            r#"{{"edition":"{edition}","limits":{{"label_bytes":1,"body_bytes":1,"label_time":"1s","idle":"1s"}},"patrons":[{{"name":"t","stamps":["{key}"]}}],"docks":[],"fleets":[],"based_on":"{based_on}"}}"#
        )
    };
    let read = |text: &str| Envelope::read(text.as_bytes()).expect("an envelope");
    let (_, before) = read(&text("r3", "a", "r1")).whole().expect("valid");
    let patch =
        read(r#"{"edition":"r7","deliver":{"patrons":[{"stamps":["b"],"name":"t"}]},"based_on":"r3"}"#);
    let (_, patched) = patch.patched(&before).expect("valid");
    assert_eq!(digest_of_whole(3, &patched), put(&text("r7", "b", "r3")).order);
    assert_ne!(digest_of_whole(3, &patched), put(&text("r7", "b", "r1")).order, "another base");
}
