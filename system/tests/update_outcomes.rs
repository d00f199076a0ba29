//! The outcomes of configuration updates, checked against a model: a list of all accepted updates.

use oakfall_system::api::{Call, CallRequest, Patch, Put};
use oakfall_system::config::{full_config_digest, ConfigDocument};
use oakfall_system::protocol::{Change, ChangeKind, ConfigRevision, StateSnapshot};
use oakfall_system::state::{State, Touched, UpdateCheck};
use oakfall_system::update_outcomes::{UpdateId, MAX_ACCEPTED};
use prost::Message;

fn update(edition: u64, based_on: u64, content: u64) -> UpdateId {
    UpdateId {
        edition,
        based_on,
        content_digest: edition << 20 | based_on << 4 | content,
        call_digest: edition << 40 | based_on << 30 | content,
    }
}

fn change(id: &UpdateId) -> Change {
    let UpdateId { edition, based_on, content_digest, call_digest } = *id;
    let (text, digests) = (format!("{edition}"), vec![content_digest, !content_digest]);
    let config = ConfigRevision {
        edition,
        text,
        call_digest,
        based_on: Some(based_on),
        digests,
        ..ConfigRevision::default()
    };
    Change { kind: Some(ChangeKind::Config(config)), ..Change::default() }
}

/// The state after a round trip through a snapshot.
fn through_snapshot(state: &State) -> State {
    let bytes = state.snapshot(0.0, true).encode_to_vec();
    State::from_snapshot(0.0, StateSnapshot::decode(&bytes[..]).expect("a snapshot"))
}

/// Random updates on the current and other editions, with retries and snapshots.
#[test]
fn accepted_updates_are_never_rejected_and_rejected_ones_never_acknowledged() {
    bolero::check!().with_iterations(60).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let (mut state, mut accepted, mut sent) =
            (State::default(), Vec::<UpdateId>::new(), Vec::<UpdateId>::new());
        for index in 1..400 {
            let current = state.edition();
            let id = match rng.u32(0..10) {
                0..=5 => {
                    update(current + rng.u64(0..4), current.saturating_sub(rng.u64(0..2)), rng.u64(0..3))
                }
                6 => update(current + 5, current + 2, rng.u64(0..3)),
                _ if sent.is_empty() => continue,
                _ => sent[rng.usize(0..sent.len())],
            };
            sent.push(id);
            let check = state.check_update(&id);
            let was_accepted = accepted.contains(&id);
            assert_eq!(matches!(check, UpdateCheck::Accepted(_)), was_accepted, "{id:?}: {check:?}");
            let applicable = !was_accepted && id.based_on == current && id.edition > current;
            let touched = state.apply(0.0, index, Some(&change(&id)));
            // An update recorded as rejected is never proposed again, so its outcome here does not matter.
            if check != UpdateCheck::Stale || !applicable {
                assert_eq!(touched == Touched::Config, applicable, "{id:?}: {check:?}");
            }
            if touched == Touched::Config {
                let precedes =
                    |earlier: &UpdateId| earlier.based_on != id.based_on && earlier.edition < id.edition;
                assert!(accepted.iter().all(precedes));
                accepted.push(id);
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
    let (mut state, capacity) = (State::default(), MAX_ACCEPTED as u64);
    for edition in 1..=capacity + 1 {
        let touched = state.apply(0.0, edition, Some(&change(&update(edition, edition - 1, 0))));
        assert_eq!(touched, Touched::Config);
    }
    let state = through_snapshot(&state);
    assert_eq!(state.check_update(&update(1, 0, 0)), UpdateCheck::Unrecorded);
    assert_eq!(state.check_update(&update(2, 1, 0)), UpdateCheck::Accepted(2));
    assert_eq!(
        state.check_update(&update(2, 1, 1)),
        UpdateCheck::Stale,
        "another update with a recorded edition"
    );
    assert_eq!(
        state.check_update(&update(1, 1, 0)),
        UpdateCheck::NotIncreasing,
        "it can never have been accepted"
    );
}

#[test]
fn entries_and_snapshots_of_earlier_releases_are_read() {
    let id = update(7, 3, 1);
    // An entry without a base is always accepted.
    let old = ConfigRevision {
        edition: 7,
        text: "{}".into(),
        call_digest: id.call_digest,
        ..ConfigRevision::default()
    };
    let mut state = State::default();
    state.apply(0.0, 5, Some(&Change { kind: Some(ChangeKind::Config(old.clone())), ..Change::default() }));
    assert_eq!((state.edition(), state.check_update(&id)), (7, UpdateCheck::Accepted(5)));
    let snapshot = StateSnapshot {
        index: 9,
        config: Some(old),
        legacy_call_digests: vec![1, id.call_digest],
        ..StateSnapshot::default()
    };
    let state = through_snapshot(&State::from_snapshot(0.0, snapshot));
    assert_eq!(
        state.check_update(&id),
        UpdateCheck::Accepted(9),
        "its index is unknown, so that of the state counts"
    );
    assert_eq!(state.check_update(&update(7, 3, 2)), UpdateCheck::Stale);
}

fn put(body: &str) -> UpdateId {
    let called = CallRequest { method: "POST", path: "/api/Config.Put", body: body.as_bytes() };
    Put::parse("", "", &called).ok().and_then(|put| put.0.id).expect("a valid update")
}

fn patch(body: &str) -> UpdateId {
    let called = CallRequest { method: "POST", path: "/api/Config.Patch", body: body.as_bytes() };
    Patch::parse("", "", &called).ok().and_then(|patch| patch.0.id).expect("a valid update")
}

#[test]
fn digest_of_an_update_ignores_json_formatting() {
    let (compact, reformatted) = (
        r#"{"edition":"r7","based_on":"r3","fleets":[1,2]}"#,
        "{ \"fleets\": [1, 2],\n\"based_on\": \"r3\", \"edition\": \"r7\" }",
    );
    assert_eq!(put(compact).content_digest, put(reformatted).content_digest);
    for different in [
        r#"{"edition":"r7","based_on":"r3","fleets":[2,1]}"#,
        r#"{"edition":"r7","based_on":"r4","fleets":[1,2]}"#,
        r#"{"edition":"r8","based_on":"r3","fleets":[1,2]}"#,
    ] {
        assert_ne!(put(compact).content_digest, put(different).content_digest, "{different}");
    }
    assert_ne!(
        put(compact).content_digest,
        patch(compact).content_digest,
        "a put and a patch differ in meaning"
    );
    assert_eq!(
        put(r#"{"edition":"r1","based_on":0}"#).content_digest,
        put(r#"{"edition":"r1","based_on":"0"}"#).content_digest
    );
}

#[test]
fn patch_result_is_recognised_when_sent_as_a_put() {
    let text = |edition: &str, key: &str, based_on: &str| {
        format!(
            r#"{{"edition":"{edition}","limits":{{"label_bytes":1,"body_bytes":1,"label_time":"1s","idle":"1s"}},"patrons":[{{"name":"t","stamps":["{key}"]}}],"docks":[],"fleets":[],"based_on":"{based_on}"}}"#
        )
    };
    let read = |text: &str| ConfigDocument::read(text.as_bytes()).expect("a configuration document");
    let (_, before) = read(&text("r3", "a", "r1")).into_full_config().expect("valid");
    let patch =
        read(r#"{"edition":"r7","deliver":{"patrons":[{"stamps":["b"],"name":"t"}]},"based_on":"r3"}"#);
    let (_, patched) = patch.apply_to(&before).expect("valid");
    assert_eq!(full_config_digest(3, &patched), put(&text("r7", "b", "r3")).content_digest);
    assert_ne!(full_config_digest(3, &patched), put(&text("r7", "b", "r1")).content_digest, "another base");
}
