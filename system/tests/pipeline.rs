//! Pipelined requests: the splitter is compared with the list of requests that were sent.

use oakfall_system::pipeline::Splitter;
use tokio::io::ReadBuf;

/// A random request, and whether the splitter may find it before the previous response is done.
fn request(rng: &mut fastrand::Rng, number: usize) -> (Vec<u8>, bool) {
    let padding = "x".repeat(rng.usize(0..200));
    match rng.u32(0..5) {
        0 => {
            let body = "b".repeat(rng.usize(0..300));
            let length = body.len();
            (
                format!("POST /{number} HTTP/1.1\r\nX: {padding}\r\nContent-Length: {length}\r\n\r\n{body}")
                    .into(),
                false,
            )
        }
        1 => (format!("\r\nGET /{number}?{padding} HTTP/1.1\r\nHost: a\r\n\r\n").into(), true),
        _ => (format!("GET /{number} HTTP/1.1\r\nHost: a\r\nX-E: {padding}\r\n\r\n").into(), true),
    }
}

fn read_chunk(
    splitter: &mut Splitter, max_bytes: usize, output: &mut Vec<u8>,
) -> Vec<hyper::http::request::Parts> {
    let mut chunk = vec![0; max_bytes];
    let mut buf = ReadBuf::new(&mut chunk);
    let found = splitter.read_into(&mut buf);
    output.extend_from_slice(buf.filled());
    found
}

#[test]
fn requests_are_passed_on_one_at_a_time_and_found_once() {
    bolero::check!().with_iterations(400).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let requests: Vec<_> = (0..1 + rng.usize(0..12)).map(|number| request(&mut rng, number)).collect();
        let stream_bytes: Vec<u8> = requests.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
        let (mut splitter, mut passed_on, mut pipelined) = (Splitter::default(), Vec::new(), Vec::new());
        let (mut fed_bytes, mut current, mut current_end) = (0, 0, requests[0].0.len());
        let mut rounds = 0;
        while current < requests.len() {
            let mut found = Vec::new();
            if fed_bytes < stream_bytes.len() && !splitter.full() {
                let more = (fed_bytes + 1 + rng.usize(0..400)).min(stream_bytes.len());
                found.extend(splitter.feed(&stream_bytes[fed_bytes..more]));
                fed_bytes = more;
            }
            if splitter.readable() > 0 {
                found.extend(read_chunk(&mut splitter, 1 + rng.usize(0..300), &mut passed_on));
            }
            pipelined.extend(
                found.into_iter().map(|parts| parts.uri.path()[1..].parse::<usize>().expect("a number")),
            );
            assert!(passed_on.len() <= current_end, "bytes of a later request were passed on");
            if passed_on.len() == current_end && rng.bool() {
                let next = current + 1;
                assert_eq!(
                    splitter.response_done(),
                    pipelined.contains(&next),
                    "wrong report on whether the next request was found"
                );
                current = next;
                current_end += requests.get(current).map_or(0, |(bytes, _)| bytes.len());
            }
            rounds += 1;
            assert!(rounds < 100_000, "the splitter makes no progress");
        }
        assert_eq!(passed_on, stream_bytes);
        assert!(
            pipelined.windows(2).all(|pair| pair[0] < pair[1]),
            "not in order or not once: {pipelined:?}"
        );
        assert!(
            pipelined.iter().all(|number| *number > 0 && requests[*number].1),
            "a request with a body was found: {pipelined:?}"
        );
    });
}

#[test]
fn bytes_without_a_certain_request_end_pass_through_unchanged() {
    let next_request = "GET /2 HTTP/1.1\r\n\r\n";
    for head in [
        "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
        "POST /1 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
        "POST /1 HTTP/1.1\r\nContent-Length: +1\r\n\r\na",
        "GET /1 HTTP/1.1\r\nUpgrade: other\r\n\r\n",
        "\u{1}garbage\r\n\r\n",
    ] {
        let (mut splitter, mut passed_on) = (Splitter::default(), Vec::new());
        let text = format!("{head}{next_request}");
        assert!(splitter.feed(text.as_bytes()).is_empty(), "{head}");
        assert!(read_chunk(&mut splitter, 4096, &mut passed_on).is_empty(), "{head}");
        assert_eq!(passed_on, text.as_bytes(), "{head}");
        assert!(!splitter.response_done() && splitter.readable() == 0);
    }
    // Look-ahead is limited in requests and in buffered bytes.
    let mut splitter = Splitter::default();
    let found = splitter.feed(next_request.repeat(2000).as_bytes());
    assert!(found.is_empty() && splitter.full());
    assert_eq!(read_chunk(&mut splitter, 4096, &mut Vec::new()).len(), 8);
}

#[test]
fn an_early_response_does_not_expose_requests_inside_a_body() {
    let embedded = "GET /hidden HTTP/1.1\r\n\r\n";
    let (first, second) = (format!("{embedded}{embedded}"), embedded);
    let length = first.len() + second.len();
    let head = format!("POST /1 HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
    let (mut splitter, mut passed_on) = (Splitter::default(), Vec::new());
    assert!(splitter.feed(head.as_bytes()).is_empty());
    read_chunk(&mut splitter, 4096, &mut passed_on);
    // The request was refused by its head alone; the HTTP library reads the rest or closes the connection.
    assert!(!splitter.response_done());
    for part in [&first, second] {
        assert!(splitter.feed(part.as_bytes()).is_empty());
        assert!(
            read_chunk(&mut splitter, 4096, &mut passed_on).is_empty(),
            "a request was found inside a body"
        );
        assert!(!splitter.response_done());
    }
    assert_eq!(passed_on, format!("{head}{first}{second}").as_bytes());
}
