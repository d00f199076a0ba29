//! Requests behind one another: what the splitter hands on and tells, against a plain list of the requests.

use overland::ahead::Splitter;
use tokio::io::ReadBuf;

/// A request as a client sends it, and whether it may be told ahead.
fn request(rng: &mut fastrand::Rng, number: usize) -> (Vec<u8>, bool) {
    let extra = "x".repeat(rng.usize(0..200));
    match rng.u32(0..5) {
        0 => {
            let body = "b".repeat(rng.usize(0..300));
            let length = body.len();
            (
                format!("POST /{number} HTTP/1.1\r\nX: {extra}\r\nContent-Length: {length}\r\n\r\n{body}")
                    .into(),
                false,
            )
        }
        1 => (format!("\r\nGET /{number}?{extra} HTTP/1.1\r\nHost: a\r\n\r\n").into(), true),
        _ => (format!("GET /{number} HTTP/1.1\r\nHost: a\r\nX-E: {extra}\r\n\r\n").into(), true),
    }
}

fn hand(splitter: &mut Splitter, most: usize, to: &mut Vec<u8>) -> Vec<hyper::http::request::Parts> {
    let mut room = vec![0; most];
    let mut buf = ReadBuf::new(&mut room);
    let found = splitter.hand(&mut buf);
    to.extend_from_slice(buf.filled());
    found
}

#[test]
fn each_request_is_handed_on_in_its_turn_and_told_once() {
    bolero::check!().with_iterations(400).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let requests: Vec<_> = (0..1 + rng.usize(0..12)).map(|number| request(&mut rng, number)).collect();
        let all: Vec<u8> = requests.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
        let (mut splitter, mut handed, mut told) = (Splitter::default(), Vec::new(), Vec::new());
        let (mut fed, mut turn, mut ends) = (0, 0, requests[0].0.len());
        let mut idle = 0;
        while turn < requests.len() {
            let mut found = Vec::new();
            if fed < all.len() && !splitter.full() {
                let more = (fed + 1 + rng.usize(0..400)).min(all.len());
                found.extend(splitter.feed(&all[fed..more]));
                fed = more;
            }
            if splitter.open() > 0 {
                found.extend(hand(&mut splitter, 1 + rng.usize(0..300), &mut handed));
            }
            told.extend(
                found.into_iter().map(|parts| parts.uri.path()[1..].parse::<usize>().expect("a number")),
            );
            assert!(handed.len() <= ends, "what comes behind waits");
            if handed.len() == ends && rng.bool() {
                let next = turn + 1;
                assert_eq!(splitter.turn(), told.contains(&next), "whether it was told is known");
                turn = next;
                ends += requests.get(turn).map_or(0, |(bytes, _)| bytes.len());
            }
            idle += 1;
            assert!(idle < 100_000, "it goes on");
        }
        assert_eq!(handed, all);
        assert!(told.windows(2).all(|pair| pair[0] < pair[1]), "in order, and once: {told:?}");
        assert!(told.iter().all(|number| *number > 0 && requests[*number].1), "none with a body: {told:?}");
    });
}

#[test]
fn what_ends_nowhere_sure_goes_on_as_it_is() {
    let behind = "GET /2 HTTP/1.1\r\n\r\n";
    for head in [
        "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
        "POST /1 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
        "POST /1 HTTP/1.1\r\nContent-Length: +1\r\n\r\na",
        "GET /1 HTTP/1.1\r\nUpgrade: other\r\n\r\n",
        "\u{1}garbage\r\n\r\n",
    ] {
        let (mut splitter, mut handed) = (Splitter::default(), Vec::new());
        let text = format!("{head}{behind}");
        assert!(splitter.feed(text.as_bytes()).is_empty(), "{head}");
        assert!(hand(&mut splitter, 4096, &mut handed).is_empty(), "{head}");
        assert_eq!(handed, text.as_bytes(), "{head}");
        assert!(!splitter.turn() && splitter.open() == 0);
    }
    // One that is told ahead is bounded in number and in bytes.
    let mut splitter = Splitter::default();
    let found = splitter.feed(behind.repeat(2000).as_bytes());
    assert!(found.is_empty() && splitter.full());
    assert_eq!(hand(&mut splitter, 4096, &mut Vec::new()).len(), 8);
}

#[test]
fn an_answer_before_the_body_has_come_tells_nothing_of_what_the_body_holds() {
    let hidden = "GET /hidden HTTP/1.1\r\n\r\n";
    let (first, second) = (format!("{hidden}{hidden}"), hidden);
    let length = first.len() + second.len();
    let head = format!("POST /1 HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    let (mut splitter, mut handed) = (Splitter::default(), Vec::new());
    assert!(splitter.feed(head.as_bytes()).is_empty());
    hand(&mut splitter, 4096, &mut handed);
    // Refused by its head alone: the rest is for the library to read or to close upon.
    assert!(!splitter.turn());
    for part in [&first, second] {
        assert!(splitter.feed(part.as_bytes()).is_empty());
        assert!(hand(&mut splitter, 4096, &mut handed).is_empty(), "nothing in a body is a request");
        assert!(!splitter.turn());
    }
    assert_eq!(handed, format!("{head}{first}{second}").as_bytes());
}
