//! The table of `docs/system/exchange.md`: what each place of an end says, what may go on on a connection, and what the
//! client is told.

use bytes::Bytes;
use cherrytally::plane::driver::{Answer, Course, Speech};
use cherrytally::plane::exchange::{End, Exchange, Happened, Idle, Line, Stage};
use cherrytally::plane::http::Head;
use cherrytally::plane::room::{Content, Short};
use cherrytally::{CallResult as Ended, Reason};
use overland::speech::Wire;
use overland::told::{client_response, ClientResponse, NOT_RUN_STATUSES};
use std::time::Duration;

const BEGUN: Happened = Happened::Wrote { head: false, all: false };
const HEAD: Happened = Happened::Wrote { head: true, all: false };
const ALL: Happened = Happened::Wrote { head: true, all: true };
const OWN: Happened = Happened::Own { stays: true };
const WHOLE: Happened = Happened::Whole { more: false };

fn after(happened: &[Happened]) -> Exchange {
    let mut exchange = Exchange::new(true);
    happened.iter().for_each(|happened| exchange.step(*happened));
    exchange
}

#[test]
fn an_end_says_never_ran_only_before_the_head_is_written() {
    use Ended::{ConnectFailed, Reset, Timeout};
    for (happened, stage, broken, silent) in [
        (&[][..], Stage::Unwritten, ConnectFailed, ConnectFailed),
        (&[BEGUN], Stage::Head, ConnectFailed, ConnectFailed),
        (&[BEGUN, HEAD], Stage::Body, Reset, Timeout),
        (&[HEAD, ALL], Stage::Written, Reset, Timeout),
        (&[ALL, Happened::Surplus], Stage::Written, Reset, Timeout),
        (&[ALL, OWN], Stage::Answering, Reset, Timeout),
        (&[HEAD, OWN], Stage::Answering, Reset, Timeout),
        (&[ALL, OWN, WHOLE], Stage::Answered, Reset, Timeout),
    ] {
        let exchange = after(happened);
        assert_eq!(exchange.stage(), stage, "{happened:?}");
        assert_eq!(exchange.says(End::Broken, true), broken, "{happened:?}");
        assert_eq!(exchange.says(End::Silent, true), silent, "{happened:?}");
        // Where servers wait for the whole body, a part of it is as good as nothing.
        let waits = exchange.says(End::Broken, false);
        assert_eq!(waits, if stage == Stage::Body { ConnectFailed } else { broken }, "{happened:?}");
    }
}

#[test]
fn a_connection_goes_on_after_its_own_whole_answer_and_nothing_besides() {
    assert!(after(&[ALL, OWN, WHOLE]).sound() && after(&[BEGUN, HEAD, ALL, OWN, WHOLE]).sound());
    for poisoned in [
        &[][..],
        &[ALL],
        &[ALL, OWN],
        &[ALL, Happened::Own { stays: false }, WHOLE],
        &[ALL, OWN, Happened::Whole { more: true }],
        &[ALL, Happened::Surplus, OWN, WHOLE],
        &[HEAD, OWN, WHOLE],
        &[ALL, OWN, WHOLE, OWN],
        &[ALL, OWN, ALL, WHOLE],
        &[ALL, OWN, WHOLE, Happened::End],
    ] {
        assert!(!after(poisoned).sound(), "{poisoned:?}");
    }
    assert_eq!(after(&[ALL, OWN, Happened::End]).line(), Line::Poisoned);
    let rested = Duration::from_secs(1);
    let idle = Idle { stirred: false, rested, limit: 2 * rested, moved: false, twin: false };
    assert!(idle.sound());
    for not in [
        Idle { stirred: true, ..idle },
        Idle { limit: rested, ..idle },
        Idle { moved: true, ..idle },
        Idle { twin: true, ..idle },
    ] {
        assert!(!not.sound(), "{not:?}");
    }
}

fn head(status: u16, lines: &str) -> Head {
    let raw = Bytes::from(format!("HTTP/1.1 {status} Some\r\n{lines}\r\n"));
    Head { status, length: None, keep: true, turned_away: false, units: None, content_type: None, raw }
}

#[test]
fn an_answer_is_taken_by_its_name_and_as_what_it_proves() {
    for (lines, name, own) in [
        ("Request-Id: 7\r\n", "7", true),
        ("request-id: 7\r\nRequest-Id: 7\r\n", "7", true),
        ("Request-Id: 7\r\nRequest-Id: 8\r\n", "7", false),
        ("Request-Id: 8\r\nRequest-Id: 7\r\n", "7", false),
        ("Request-Id: 77\r\n", "7", false),
        ("Stamp: 7\r\n", "7", false),
        ("Stamp: 7\r\n", "", true),
        ("Request-Id: 7\r\n", "", false),
    ] {
        assert_eq!(Wire.own(&head(503, lines), name.as_bytes()), own, "{lines:?} {name:?}");
    }
    let sized = "Stamp: s\r\nContent-Length: 1\r\n";
    for (status, lines, says) in [
        (200, sized, Ended::Ok),
        (200, "Stamp: s\r\nTransfer-Encoding: chunked\r\n", Ended::Ok),
        (204, "Stamp: s\r\n", Ended::Ok),
        (200, "Stamp: s\r\n", Ended::Reset),
        (200, "Content-Length: 1\r\n", Ended::Reset),
        (200, "Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n", Ended::Reset),
        (421, "", Ended::Rejected),
        (503, "Not-Run: 1\r\n", Ended::Rejected),
        (429, "Not-Run: 1\r\n", Ended::Rejected),
        (400, "Not-Run: 1\r\n", Ended::Rejected),
        (503, sized, Ended::Error),
        (408, sized, Ended::Error),
        (500, "Not-Run: 1\r\n", Ended::Error),
    ] {
        assert_eq!(Wire.judge(&head(status, lines)), says, "{status} {lines:?}");
    }
}

#[test]
fn a_promise_goes_to_nobody_whose_request_may_run() {
    let course = |attempts, ran| Course { attempts, ran, ..Course::default() };
    let served = |status| Answer::Served { head: head(status, ""), content: Content::whole("") };
    let refused = || Answer::Refused { retry_after_ms: 5.0, reason: Reason::Unsent };
    for status in NOT_RUN_STATUSES {
        assert_eq!(
            client_response(true, &served(status), &course(1, true)),
            ClientResponse::MayHaveRun,
            "{status}"
        );
        assert_eq!(
            client_response(false, &served(status), &course(1, true)),
            ClientResponse::Served,
            "{status}"
        );
    }
    for (answer, attempts, ran, once, wanted) in [
        (served(500), 1, true, true, ClientResponse::Served),
        (served(200), 1, true, true, ClientResponse::Served),
        (refused(), 2, false, true, ClientResponse::NotRun(Some(5.0))),
        (refused(), 2, true, true, ClientResponse::MayHaveRun),
        (refused(), 2, true, false, ClientResponse::MayHaveRun),
        (Answer::Failed, 0, false, true, ClientResponse::NotRun(None)),
        (Answer::Failed, 1, false, true, ClientResponse::MayHaveRun),
        (Answer::Short(Short::Slow), 0, false, true, ClientResponse::Slow),
        (Answer::Short(Short::Slow), 1, true, true, ClientResponse::MayHaveRun),
        (Answer::Short(Short::Slow), 1, true, false, ClientResponse::Slow),
        (Answer::Short(Short::Broken), 1, true, true, ClientResponse::Broken),
        (Answer::Short(Short::TooLarge), 1, true, true, ClientResponse::TooLarge),
    ] {
        assert_eq!(client_response(once, &answer, &course(attempts, ran)), wanted, "{attempts} {ran} {once}");
    }
}
