//! Differences of texts: applied to the old text, a difference yields the new one.

use oakfall_system::delta::{Delta, Piece};
use prost::Message;

/// Random objects, like those of a configuration, with some duplicates.
fn objects(rng: &mut fastrand::Rng, count: usize) -> String {
    let object = |rng: &mut fastrand::Rng| {
        let (name, weight) = (rng.u32(0..40), rng.u32(0..4));
        format!(r#"{{"name":"r{name}é","split":[{{"service":"s{}","weight":{weight}}}]}}"#, rng.u32(0..5))
    };
    (0..count).map(|_| object(rng)).collect::<Vec<_>>().join(",")
}

/// Removes, adds, moves or modifies some objects.
fn modified(rng: &mut fastrand::Rng, old: &str) -> String {
    let mut chunks: Vec<String> = old.split_inclusive('}').map(str::to_owned).collect();
    for _ in 0..rng.usize(0..6) {
        let at = rng.usize(0..=chunks.len());
        match rng.u32(0..4) {
            0 => chunks.insert(at, objects(rng, 2)),
            1 if at < chunks.len() => drop(chunks.remove(at)),
            2 if at < chunks.len() => {
                let chunk = chunks.remove(at);
                let to = rng.usize(0..=chunks.len());
                chunks.insert(to, chunk);
            }
            _ if at < chunks.len() => chunks[at] = chunks[at].replace("weight", "weighs").replace('1', "12"),
            _ => {}
        }
    }
    chunks.concat()
}

#[test]
fn applying_a_difference_restores_the_new_text() {
    bolero::check!().with_iterations(2000).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let count = rng.usize(0..60);
        let old = objects(&mut rng, count);
        let new = if rng.u32(0..8) == 0 { objects(&mut rng, 20) } else { modified(&mut rng, &old) };
        let difference = Delta::between(&old, &new);
        assert_eq!(difference.apply(&old), Some(new.clone()));
        // Applied to another text, it fails or still yields the new text.
        let other = modified(&mut rng, &old);
        assert!(difference.apply(&other).is_none_or(|text| text == new));
    });
}

#[test]
fn change_of_two_routes_encodes_in_under_200_bytes() {
    let route = |number: usize, ms: u32| format!(r#"{{"name":"r{number}","timeout":"{ms}ms"}}"#);
    // Shaped like a configuration; only the text matters here.
    let routes = |changed: usize| {
        let all = (0..7600).map(|number| route(number, if number == changed { 900 } else { 2500 }));
        format!(r#"{{"docks":[{}],"edition":"r{changed}"}}"#, all.collect::<Vec<_>>().join(","))
    };
    let (old, new) = (routes(17), routes(4000));
    let difference = Delta::between(&old, &new);
    let bytes = difference.encoded_len();
    assert!(bytes < 200, "{bytes} bytes of {}", new.len());
    assert_eq!(difference.apply(&old), Some(new));
}

/// Malformed differences fail without a panic. Their digest is wrong as well, so this does not show which
/// check rejects them.
#[test]
fn malformed_difference_is_rejected() {
    let piece = |offset, length, inserted: &[u8]| Piece { offset, length, inserted: inserted.to_vec() };
    for pieces in [
        // Range beyond the old text.
        vec![piece(2, 9, b"")],
        // Offset + length overflows.
        vec![piece(u64::MAX, 2, b"")],
        vec![piece(1, u64::MAX, b"")],
        // Invalid UTF-8.
        vec![piece(0, 0, &[0xc3])],
        // 8 Mi pieces of 6 bytes: more than the 32 MiB that a text may have.
        vec![piece(0, 6, b""); 8 << 20],
    ] {
        assert_eq!(Delta { pieces, digest: 0 }.apply("abcdef"), None);
    }
}
