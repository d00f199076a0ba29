//! What the agreed state keeps of orders, against the plain way: a list of all that was ever taken.

use overland::calls::{Call, Called, Patch, Put};
use overland::config::{full_config_digest, ConfigUpdate};
use overland::ledger::{Mark, TAKEN_MOST};
use overland::news::{Change, Configured, Kind, Whole};
use overland::state::{Fit, State, Touched};
use prost::Message;

fn order(edition: u64, based_on: u64, what: u64) -> Mark {
    Mark {
        edition,
        based_on,
        order: edition << 20 | based_on << 4 | what,
        call: edition << 40 | based_on << 30 | what,
    }
}

fn change(mark: &Mark) -> Change {
    let Mark { edition, based_on, order, call } = *mark;
    let (text, digests) = (format!("{edition}"), vec![order, !order]);
    let config =
        Configured { edition, text, call, based_on: Some(based_on), digests, ..Configured::default() };
    Change { kind: Some(Kind::Configured(config)), ..Change::default() }
}

/// The copy after its state was written and read, as it is by a snapshot.
fn kept(state: &State) -> State {
    let bytes = state.whole(0.0, true).encode_to_vec();
    State::from_whole(0.0, Whole::decode(&bytes[..]).expect("a state"))
}

/// Drawn orders, on the newest version and others, some sent again, a snapshot now and then: what was taken is never
/// refused, and what was not is never acknowledged.
#[test]
fn what_was_taken_is_never_refused_and_what_was_not_never_acknowledged() {
    bolero::check!().with_iterations(60).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let (mut state, mut taken, mut sent) = (State::default(), Vec::<Mark>::new(), Vec::<Mark>::new());
        for index in 1..400 {
            let now = state.edition();
            let mark = match rng.u32(0..10) {
                0..=5 => order(now + rng.u64(0..4), now.saturating_sub(rng.u64(0..2)), rng.u64(0..3)),
                6 => order(now + 5, now + 2, rng.u64(0..3)),
                _ if sent.is_empty() => continue,
                _ => sent[rng.usize(0..sent.len())],
            };
            sent.push(mark);
            let fit = state.fit(&mark);
            let was = taken.contains(&mark);
            assert_eq!(matches!(fit, Fit::Taken(_)), was, "{mark:?}: {fit:?}");
            let fits = !was && mark.based_on == now && mark.edition > now;
            let touched = state.apply(0.0, index, Some(&change(&mark)));
            // One that was refused while it was ahead stays so: no leader proposes it again.
            if fit != Fit::Late || !fits {
                assert_eq!(touched == Touched::Config, fits, "{mark:?}: {fit:?}");
            }
            if touched == Touched::Config {
                assert!(taken.iter().all(|t| t.based_on != mark.based_on && t.edition < mark.edition));
                taken.push(mark);
            }
            if rng.u32(0..20) == 0 {
                let read = kept(&state);
                assert_eq!(read, state);
                state = read;
            }
        }
    });
}

#[test]
fn of_an_order_that_is_forgotten_nothing_is_claimed() {
    let (mut state, most) = (State::default(), TAKEN_MOST as u64);
    for edition in 1..=most + 1 {
        let touched = state.apply(0.0, edition, Some(&change(&order(edition, edition - 1, 0))));
        assert_eq!(touched, Touched::Config);
    }
    let state = kept(&state);
    assert_eq!(state.fit(&order(1, 0, 0)), Fit::Forgotten);
    assert_eq!(state.fit(&order(2, 1, 0)), Fit::Taken(2));
    assert_eq!(state.fit(&order(2, 1, 1)), Fit::Late, "another one under a number that is known");
    assert_eq!(state.fit(&order(1, 1, 0)), Fit::Backward, "it can't ever have been taken");
}

#[test]
fn entries_and_states_of_earlier_programs_are_read() {
    let mark = order(7, 3, 1);
    // It was compared before it was proposed: applying it asks nothing.
    let old = Configured { edition: 7, text: "{}".into(), call: mark.call, ..Configured::default() };
    let mut state = State::default();
    state.apply(0.0, 5, Some(&Change { kind: Some(Kind::Configured(old.clone())), ..Change::default() }));
    assert_eq!((state.edition(), state.fit(&mark)), (7, Fit::Taken(5)));
    let whole = Whole { index: 9, config: Some(old), calls: vec![1, mark.call], ..Whole::default() };
    let state = kept(&State::from_whole(0.0, whole));
    assert_eq!(state.fit(&mark), Fit::Taken(9), "which change took it is not known: all are waited for");
    assert_eq!(state.fit(&order(7, 3, 2)), Fit::Late);
}

fn put(body: &str) -> Mark {
    let called = Called { method: "POST", path: "/api/Config.Put", body: body.as_bytes() };
    Put::read("", "", &called).ok().and_then(|put| put.0.mark).expect("an order")
}

fn patch(body: &str) -> Mark {
    let called = Called { method: "POST", path: "/api/Config.Patch", body: body.as_bytes() };
    Patch::read("", "", &called).ok().and_then(|patch| patch.0.mark).expect("an order")
}

#[test]
fn an_order_is_known_by_what_it_says_and_not_by_its_bytes() {
    let (whole, other) = (
        r#"{"edition":"r7","based_on":"r3","fleets":[1,2]}"#,
        "{ \"fleets\": [1, 2],\n\"based_on\": \"r3\", \"edition\": \"r7\" }",
    );
    assert_eq!(put(whole).order, put(other).order);
    for not in [
        r#"{"edition":"r7","based_on":"r3","fleets":[2,1]}"#,
        r#"{"edition":"r7","based_on":"r4","fleets":[1,2]}"#,
        r#"{"edition":"r8","based_on":"r3","fleets":[1,2]}"#,
    ] {
        assert_ne!(put(whole).order, put(not).order, "{not}");
    }
    assert_ne!(put(whole).order, patch(whole).order, "the other call says something else");
    assert_eq!(
        put(r#"{"edition":"r1","based_on":0}"#).order,
        put(r#"{"edition":"r1","based_on":"0"}"#).order
    );
}

/// What a change of named items brought is known when it comes as a whole.
#[test]
fn the_same_configuration_is_known_by_the_other_call() {
    let text = |edition: &str, key: &str, based_on: &str| {
        format!(
            r#"{{"edition":"{edition}","limits":{{"label_bytes":1,"body_bytes":1,"label_time":"1s","idle":"1s"}},"patrons":[{{"name":"t","stamps":["{key}"]}}],"docks":[],"fleets":[],"based_on":"{based_on}"}}"#
        )
    };
    let read = |text: &str| ConfigUpdate::read(text.as_bytes()).expect("an envelope");
    let (_, before) = read(&text("r3", "a", "r1")).into_full_config().expect("valid");
    let items =
        read(r#"{"edition":"r7","deliver":{"patrons":[{"stamps":["b"],"name":"t"}]},"based_on":"r3"}"#);
    let (_, brought) = items.apply_to(&before).expect("valid");
    assert_eq!(full_config_digest(3, &brought), put(&text("r7", "b", "r3")).order);
    assert_ne!(
        full_config_digest(3, &brought),
        put(&text("r7", "b", "r1")).order,
        "on top of another version"
    );
}
