//! Exchanges with backends: how a failure is classified by the stage it occurs in, when a connection may be
//! reused, and which response the client receives.

use bytes::Bytes;
use cherrytally::plane::driver::{Answer, Course, Speech};
use cherrytally::plane::exchange::{End, Exchange, Happened, Idle, Line, Stage};
use cherrytally::plane::http::Head;
use cherrytally::plane::room::{Content, Short};
use cherrytally::{CallResult as Ended, Reason};
use overland::speech::Wire;
use overland::told::{told, Told, PROMISES};
use std::time::Duration;

const HEAD_STARTED: Happened = Happened::Wrote { head: false, all: false };
const HEAD_WRITTEN: Happened = Happened::Wrote { head: true, all: false };
const ALL_WRITTEN: Happened = Happened::Wrote { head: true, all: true };
const OWN_RESPONSE: Happened = Happened::Own { stays: true };
const RESPONSE_COMPLETE: Happened = Happened::Whole { more: false };

fn after(events: &[Happened]) -> Exchange {
    let mut exchange = Exchange::new(true);
    events.iter().for_each(|event| exchange.step(*event));
    exchange
}

#[test]
fn a_failure_counts_as_unsent_only_before_the_head_is_written() {
    use Ended::{ConnectFailed, Reset, Timeout};
    for (events, stage, if_broken, if_silent) in [
        (&[][..], Stage::Unwritten, ConnectFailed, ConnectFailed),
        (&[HEAD_STARTED], Stage::Head, ConnectFailed, ConnectFailed),
        (&[HEAD_STARTED, HEAD_WRITTEN], Stage::Body, Reset, Timeout),
        (&[HEAD_WRITTEN, ALL_WRITTEN], Stage::Written, Reset, Timeout),
        (&[ALL_WRITTEN, Happened::Surplus], Stage::Written, Reset, Timeout),
        (&[ALL_WRITTEN, OWN_RESPONSE], Stage::Answering, Reset, Timeout),
        (&[HEAD_WRITTEN, OWN_RESPONSE], Stage::Answering, Reset, Timeout),
        (&[ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE], Stage::Answered, Reset, Timeout),
    ] {
        let exchange = after(events);
        assert_eq!(exchange.stage(), stage, "{events:?}");
        assert_eq!(exchange.says(End::Broken, true), if_broken, "{events:?}");
        assert_eq!(exchange.says(End::Silent, true), if_silent, "{events:?}");
        // Servers that wait for the whole body do not run a request whose body is incomplete.
        let whole_body = exchange.says(End::Broken, false);
        assert_eq!(whole_body, if stage == Stage::Body { ConnectFailed } else { if_broken }, "{events:?}");
    }
}

#[test]
fn a_connection_is_reused_only_after_its_own_complete_response() {
    assert!(
        after(&[ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE]).sound()
            && after(&[HEAD_STARTED, HEAD_WRITTEN, ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE]).sound()
    );
    for events in [
        &[][..],
        &[ALL_WRITTEN],
        &[ALL_WRITTEN, OWN_RESPONSE],
        &[ALL_WRITTEN, Happened::Own { stays: false }, RESPONSE_COMPLETE],
        &[ALL_WRITTEN, OWN_RESPONSE, Happened::Whole { more: true }],
        &[ALL_WRITTEN, Happened::Surplus, OWN_RESPONSE, RESPONSE_COMPLETE],
        &[HEAD_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE],
        &[ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE, OWN_RESPONSE],
        &[ALL_WRITTEN, OWN_RESPONSE, ALL_WRITTEN, RESPONSE_COMPLETE],
        &[ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE, Happened::End],
    ] {
        assert!(!after(events).sound(), "{events:?}");
    }
    assert_eq!(after(&[ALL_WRITTEN, OWN_RESPONSE, Happened::End]).line(), Line::Poisoned);
    let rested = Duration::from_secs(1);
    let idle = Idle { stirred: false, rested, limit: 2 * rested, moved: false, twin: false };
    assert!(idle.sound());
    for unsound in [
        Idle { stirred: true, ..idle },
        Idle { limit: rested, ..idle },
        Idle { moved: true, ..idle },
        Idle { twin: true, ..idle },
    ] {
        assert!(!unsound.sound(), "{unsound:?}");
    }
}

fn head(status: u16, lines: &str) -> Head {
    let raw = Bytes::from(format!("HTTP/1.1 {status} Some\r\n{lines}\r\n"));
    Head { status, length: None, keep: true, turned_away: false, units: None, content_type: None, raw }
}

#[test]
fn responses_are_matched_by_request_id_and_classified_by_their_head() {
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
    let complete = "Stamp: s\r\nContent-Length: 1\r\n";
    for (status, lines, result) in [
        (200, complete, Ended::Ok),
        (200, "Stamp: s\r\nTransfer-Encoding: chunked\r\n", Ended::Ok),
        (204, "Stamp: s\r\n", Ended::Ok),
        (200, "Stamp: s\r\n", Ended::Reset),
        (200, "Content-Length: 1\r\n", Ended::Reset),
        (200, "Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n", Ended::Reset),
        (421, "", Ended::Rejected),
        (503, "Not-Run: 1\r\n", Ended::Rejected),
        (429, "Not-Run: 1\r\n", Ended::Rejected),
        (400, "Not-Run: 1\r\n", Ended::Rejected),
        (503, complete, Ended::Error),
        (408, complete, Ended::Error),
        (500, "Not-Run: 1\r\n", Ended::Error),
    ] {
        assert_eq!(Wire.judge(&head(status, lines)), result, "{status} {lines:?}");
    }
}

#[test]
fn a_not_run_status_reaches_the_client_only_if_the_request_cannot_have_run() {
    let course = |attempts, ran| Course { attempts, ran, ..Course::default() };
    let served = |status| Answer::Served { head: head(status, ""), content: Content::whole("") };
    let refused = || Answer::Refused { retry_after_ms: 5.0, reason: Reason::Unsent };
    for status in PROMISES {
        assert_eq!(told(true, &served(status), &course(1, true)), Told::MayHaveRun, "{status}");
        assert_eq!(told(false, &served(status), &course(1, true)), Told::Served, "{status}");
    }
    for (answer, attempts, ran, once, expected) in [
        (served(500), 1, true, true, Told::Served),
        (served(200), 1, true, true, Told::Served),
        (refused(), 2, false, true, Told::NotRun(Some(5.0))),
        (refused(), 2, true, true, Told::MayHaveRun),
        (refused(), 2, true, false, Told::MayHaveRun),
        (Answer::Failed, 0, false, true, Told::NotRun(None)),
        (Answer::Failed, 1, false, true, Told::MayHaveRun),
        (Answer::Short(Short::Slow), 0, false, true, Told::Slow),
        (Answer::Short(Short::Slow), 1, true, true, Told::MayHaveRun),
        (Answer::Short(Short::Slow), 1, true, false, Told::Slow),
        (Answer::Short(Short::Broken), 1, true, true, Told::Broken),
        (Answer::Short(Short::TooLarge), 1, true, true, Told::TooLarge),
    ] {
        assert_eq!(told(once, &answer, &course(attempts, ran)), expected, "{attempts} {ran} {once}");
    }
}
