//! The table of `docs/system/exchange.md`: what each place of an end says, what may go on on a connection, and what the
//! client is told.

use bytes::Bytes;
use cherrytally::plane::driver::{AttemptSummary, BackendProtocol, FinalResponse};
use cherrytally::plane::exchange::{
    AttemptFailure, ConnectionState, Exchange, ExchangeEvent, IdleConnection, Stage,
};
use cherrytally::plane::http::Head;
use cherrytally::plane::room::{BodyError, ResponseBody};
use cherrytally::{CallResult as Ended, Reason};
use overland::speech::Wire;
use overland::told::{client_response, ClientResponse, NOT_RUN_STATUSES};
use std::time::Duration;

const BEGUN: ExchangeEvent = ExchangeEvent::Wrote { head_complete: false, request_complete: false };
const HEAD: ExchangeEvent = ExchangeEvent::Wrote { head_complete: true, request_complete: false };
const ALL: ExchangeEvent = ExchangeEvent::Wrote { head_complete: true, request_complete: true };
const OWN: ExchangeEvent = ExchangeEvent::ResponseHead { keep_alive: true };
const WHOLE: ExchangeEvent = ExchangeEvent::ResponseComplete { trailing_bytes: false };

fn after(happened: &[ExchangeEvent]) -> Exchange {
    let mut exchange = Exchange::new(true);
    happened.iter().for_each(|happened| exchange.apply(*happened));
    exchange
}

#[test]
fn an_end_says_never_ran_only_before_the_head_is_written() {
    use Ended::{ConnectFailed, Reset, Timeout};
    for (happened, stage, broken, silent) in [
        (&[][..], Stage::Unwritten, ConnectFailed, ConnectFailed),
        (&[BEGUN], Stage::PartialHead, ConnectFailed, ConnectFailed),
        (&[BEGUN, HEAD], Stage::PartialBody, Reset, Timeout),
        (&[HEAD, ALL], Stage::Written, Reset, Timeout),
        (&[ALL, ExchangeEvent::UnexpectedResponse], Stage::Written, Reset, Timeout),
        (&[ALL, OWN], Stage::Responding, Reset, Timeout),
        (&[HEAD, OWN], Stage::Responding, Reset, Timeout),
        (&[ALL, OWN, WHOLE], Stage::Complete, Reset, Timeout),
    ] {
        let exchange = after(happened);
        assert_eq!(exchange.stage(), stage, "{happened:?}");
        assert_eq!(exchange.classify_failure(AttemptFailure::ConnectionBroken, true), broken, "{happened:?}");
        assert_eq!(exchange.classify_failure(AttemptFailure::TimedOut, true), silent, "{happened:?}");
        // Where servers wait for the whole body, a part of it is as good as nothing.
        let waits = exchange.classify_failure(AttemptFailure::ConnectionBroken, false);
        assert_eq!(waits, if stage == Stage::PartialBody { ConnectFailed } else { broken }, "{happened:?}");
    }
}

#[test]
fn a_connection_goes_on_after_its_own_whole_answer_and_nothing_besides() {
    assert!(after(&[ALL, OWN, WHOLE]).is_reusable() && after(&[BEGUN, HEAD, ALL, OWN, WHOLE]).is_reusable());
    for poisoned in [
        &[][..],
        &[ALL],
        &[ALL, OWN],
        &[ALL, ExchangeEvent::ResponseHead { keep_alive: false }, WHOLE],
        &[ALL, OWN, ExchangeEvent::ResponseComplete { trailing_bytes: true }],
        &[ALL, ExchangeEvent::UnexpectedResponse, OWN, WHOLE],
        &[HEAD, OWN, WHOLE],
        &[ALL, OWN, WHOLE, OWN],
        &[ALL, OWN, ALL, WHOLE],
        &[ALL, OWN, WHOLE, ExchangeEvent::Ended],
    ] {
        assert!(!after(poisoned).is_reusable(), "{poisoned:?}");
    }
    assert_eq!(after(&[ALL, OWN, ExchangeEvent::Ended]).connection(), ConnectionState::Unusable);
    let rested = Duration::from_secs(1);
    let idle = IdleConnection {
        data_pending: false,
        idle_for: rested,
        limit: 2 * rested,
        address_changed: false,
        same_correlation_id: false,
    };
    assert!(idle.is_reusable());
    for not in [
        IdleConnection { data_pending: true, ..idle },
        IdleConnection { limit: rested, ..idle },
        IdleConnection { address_changed: true, ..idle },
        IdleConnection { same_correlation_id: true, ..idle },
    ] {
        assert!(!not.is_reusable(), "{not:?}");
    }
}

fn head(status: u16, lines: &str) -> Head {
    let raw = Bytes::from(format!("HTTP/1.1 {status} Some\r\n{lines}\r\n"));
    Head { status, length: None, keep_alive: true, not_executed: false, units: None, content_type: None, raw }
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
        assert_eq!(Wire.matches_request(&head(503, lines), name.as_bytes()), own, "{lines:?} {name:?}");
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
        assert_eq!(Wire.classify_response(&head(status, lines)), says, "{status} {lines:?}");
    }
}

#[test]
fn a_promise_goes_to_nobody_whose_request_may_run() {
    let course = |attempts, ran| AttemptSummary { attempts, may_have_run: ran, ..AttemptSummary::default() };
    let served = |status| FinalResponse::Served { head: head(status, ""), body: ResponseBody::buffered("") };
    let refused = || FinalResponse::Refused { retry_after_ms: 5.0, reason: Reason::Unsent };
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
        (FinalResponse::Failed, 0, false, true, ClientResponse::NotRun(None)),
        (FinalResponse::Failed, 1, false, true, ClientResponse::MayHaveRun),
        (FinalResponse::IncompleteBody(BodyError::Slow), 0, false, true, ClientResponse::Slow),
        (FinalResponse::IncompleteBody(BodyError::Slow), 1, true, true, ClientResponse::MayHaveRun),
        (FinalResponse::IncompleteBody(BodyError::Slow), 1, true, false, ClientResponse::Slow),
        (FinalResponse::IncompleteBody(BodyError::Broken), 1, true, true, ClientResponse::Broken),
        (FinalResponse::IncompleteBody(BodyError::TooLarge), 1, true, true, ClientResponse::TooLarge),
    ] {
        assert_eq!(client_response(once, &answer, &course(attempts, ran)), wanted, "{attempts} {ran} {once}");
    }
}
