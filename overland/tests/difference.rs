//! Differences of texts, against the plain model: the new text itself.

use overland::difference::{Difference, Piece};
use prost::Message;

/// A text of objects, as configurations are, drawn from few kinds so that some are the same.
fn text(rng: &mut fastrand::Rng, objects: usize) -> String {
    let object = |rng: &mut fastrand::Rng| {
        let (name, weight) = (rng.u32(0..40), rng.u32(0..4));
        format!(r#"{{"name":"r{name}é","split":[{{"service":"s{}","weight":{weight}}}]}}"#, rng.u32(0..5))
    };
    (0..objects).map(|_| object(rng)).collect::<Vec<_>>().join(",")
}

/// Some objects go, come, move or change in a few bytes.
fn changed(rng: &mut fastrand::Rng, old: &str) -> String {
    let mut parts: Vec<String> = old.split_inclusive('}').map(str::to_owned).collect();
    for _ in 0..rng.usize(0..6) {
        let at = rng.usize(0..=parts.len());
        match rng.u32(0..4) {
            0 => parts.insert(at, text(rng, 2)),
            1 if at < parts.len() => drop(parts.remove(at)),
            2 if at < parts.len() => {
                let part = parts.remove(at);
                let to = rng.usize(0..=parts.len());
                parts.insert(to, part);
            }
            _ if at < parts.len() => parts[at] = parts[at].replace("weight", "weighs").replace('1', "12"),
            _ => {}
        }
    }
    parts.concat()
}

#[test]
fn a_text_is_what_its_difference_makes_of_the_other() {
    bolero::check!().with_iterations(2000).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let objects = rng.usize(0..60);
        let old = text(&mut rng, objects);
        let new = if rng.u32(0..8) == 0 { text(&mut rng, 20) } else { changed(&mut rng, &old) };
        let difference = Difference::between(&old, &new);
        assert_eq!(difference.applied(&old), Some(new.clone()));
        // From any other text it makes nothing.
        let other = changed(&mut rng, &old);
        assert!(difference.applied(&other).is_none_or(|text| text == new));
    });
}

#[test]
fn a_change_of_one_route_of_thousands_takes_some_hundred_bytes() {
    let route = |number: usize, ms: u32| format!(r#"{{"name":"r{number}","timeout":"{ms}ms"}}"#);
    let routes = |changed: usize| {
        let all = (0..7600).map(|number| route(number, if number == changed { 900 } else { 2500 }));
        format!(r#"{{"docks":[{}],"edition":"r{changed}"}}"#, all.collect::<Vec<_>>().join(","))
    };
    let (old, new) = (routes(17), routes(4000));
    let difference = Difference::between(&old, &new);
    let bytes = difference.encoded_len();
    assert!(bytes < 200, "{bytes} bytes of {}", new.len());
    assert_eq!(difference.applied(&old), Some(new));
}

/// Pieces from outside: beyond the old text, longer than any text may be, in the middle of a letter.
#[test]
fn a_difference_that_does_not_fit_makes_nothing() {
    let piece = |from, length, fresh: &[u8]| Piece { from, length, fresh: fresh.to_vec() };
    for pieces in [
        vec![piece(2, 9, b"")],
        vec![piece(u64::MAX, 2, b"")],
        vec![piece(1, u64::MAX, b"")],
        vec![piece(0, 0, &[0xc3])],
        vec![piece(0, 6, b""); 8 << 20],
    ] {
        assert_eq!(Difference { pieces, digest: 0 }.applied("abcdef"), None);
    }
}
