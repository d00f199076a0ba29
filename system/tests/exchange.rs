//! Exchanges with backends: how a failure is classified by the stage it occurs in, when a connection may be
//! reused, and which response the client receives.

use bytes::Bytes;
use oakfall::plane::body::{BodyError, ResponseBody};
use oakfall::plane::driver::{AttemptSummary, BackendProtocol, FinalResponse};
use oakfall::plane::exchange::{
    AttemptFailure, ConnectionState, Exchange, ExchangeEvent, IdleConnection, Stage,
};
use oakfall::plane::http::Head;
use oakfall::{CallResult as Ended, Reason};
use oakfall_system::backend_protocol::HttpBackendProtocol;
use oakfall_system::client_response::{client_response, ClientResponse, NOT_RUN_STATUSES};
use std::time::Duration;

const HEAD_STARTED: ExchangeEvent = ExchangeEvent::Wrote { head_complete: false, request_complete: false };
const HEAD_WRITTEN: ExchangeEvent = ExchangeEvent::Wrote { head_complete: true, request_complete: false };
const ALL_WRITTEN: ExchangeEvent = ExchangeEvent::Wrote { head_complete: true, request_complete: true };
const OWN_RESPONSE: ExchangeEvent = ExchangeEvent::ResponseHead { keep_alive: true };
const RESPONSE_COMPLETE: ExchangeEvent = ExchangeEvent::ResponseComplete { trailing_bytes: false };

fn after(events: &[ExchangeEvent]) -> Exchange {
    let mut exchange = Exchange::new(true);
    events.iter().for_each(|event| exchange.apply(*event));
    exchange
}

#[test]
fn a_failure_counts_as_unsent_only_before_the_head_is_written() {
    use Ended::{ConnectFailed, Reset, Timeout};
    for (events, stage, if_broken, if_silent) in [
        (&[][..], Stage::Unwritten, ConnectFailed, ConnectFailed),
        (&[HEAD_STARTED], Stage::PartialHead, ConnectFailed, ConnectFailed),
        (&[HEAD_STARTED, HEAD_WRITTEN], Stage::PartialBody, Reset, Timeout),
        (&[HEAD_WRITTEN, ALL_WRITTEN], Stage::Written, Reset, Timeout),
        (&[ALL_WRITTEN, ExchangeEvent::UnexpectedResponse], Stage::Written, Reset, Timeout),
        (&[ALL_WRITTEN, OWN_RESPONSE], Stage::Responding, Reset, Timeout),
        (&[HEAD_WRITTEN, OWN_RESPONSE], Stage::Responding, Reset, Timeout),
        (&[ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE], Stage::Complete, Reset, Timeout),
    ] {
        let exchange = after(events);
        assert_eq!(exchange.stage(), stage, "{events:?}");
        assert_eq!(
            exchange.classify_failure(AttemptFailure::ConnectionBroken, true),
            if_broken,
            "{events:?}"
        );
        assert_eq!(exchange.classify_failure(AttemptFailure::TimedOut, true), if_silent, "{events:?}");
        // Backends that wait for the whole body do not run a request whose body is incomplete.
        let whole_body = exchange.classify_failure(AttemptFailure::ConnectionBroken, false);
        assert_eq!(
            whole_body,
            if stage == Stage::PartialBody { ConnectFailed } else { if_broken },
            "{events:?}"
        );
    }
}

#[test]
fn a_connection_is_reused_only_after_its_own_complete_response() {
    assert!(
        after(&[ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE]).is_reusable()
            && after(&[HEAD_STARTED, HEAD_WRITTEN, ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE])
                .is_reusable()
    );
    for events in [
        &[][..],
        &[ALL_WRITTEN],
        &[ALL_WRITTEN, OWN_RESPONSE],
        &[ALL_WRITTEN, ExchangeEvent::ResponseHead { keep_alive: false }, RESPONSE_COMPLETE],
        &[ALL_WRITTEN, OWN_RESPONSE, ExchangeEvent::ResponseComplete { trailing_bytes: true }],
        &[ALL_WRITTEN, ExchangeEvent::UnexpectedResponse, OWN_RESPONSE, RESPONSE_COMPLETE],
        &[HEAD_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE],
        &[ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE, OWN_RESPONSE],
        &[ALL_WRITTEN, OWN_RESPONSE, ALL_WRITTEN, RESPONSE_COMPLETE],
        &[ALL_WRITTEN, OWN_RESPONSE, RESPONSE_COMPLETE, ExchangeEvent::Ended],
    ] {
        assert!(!after(events).is_reusable(), "{events:?}");
    }
    assert_eq!(
        after(&[ALL_WRITTEN, OWN_RESPONSE, ExchangeEvent::Ended]).connection(),
        ConnectionState::Unusable
    );
    let rested = Duration::from_secs(1);
    let idle = IdleConnection {
        data_pending: false,
        idle_for: rested,
        limit: 2 * rested,
        address_changed: false,
        same_correlation_id: false,
    };
    assert!(idle.is_reusable());
    for unsound in [
        IdleConnection { data_pending: true, ..idle },
        IdleConnection { limit: rested, ..idle },
        IdleConnection { address_changed: true, ..idle },
        IdleConnection { same_correlation_id: true, ..idle },
    ] {
        assert!(!unsound.is_reusable(), "{unsound:?}");
    }
}

fn head(status: u16, lines: &str) -> Head {
    let raw = Bytes::from(format!("HTTP/1.1 {status} Some\r\n{lines}\r\n"));
    Head { status, length: None, keep_alive: true, not_run: false, units: None, content_type: None, raw }
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
        assert_eq!(
            HttpBackendProtocol.matches_request(&head(503, lines), name.as_bytes()),
            own,
            "{lines:?} {name:?}"
        );
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
        assert_eq!(HttpBackendProtocol.classify_response(&head(status, lines)), result, "{status} {lines:?}");
    }
}

#[test]
fn a_not_run_status_reaches_the_client_only_if_the_request_cannot_have_run() {
    let summary = |attempts, ran| AttemptSummary { attempts, may_have_run: ran, ..AttemptSummary::default() };
    let served = |status| FinalResponse::Served { head: head(status, ""), body: ResponseBody::buffered("") };
    let refused = || FinalResponse::Refused { retry_after_ms: 5.0, reason: Reason::AttemptsExhausted };
    for status in NOT_RUN_STATUSES {
        assert_eq!(
            client_response(true, &served(status), &summary(1, true)),
            ClientResponse::MayHaveRun,
            "{status}"
        );
        assert_eq!(
            client_response(false, &served(status), &summary(1, true)),
            ClientResponse::Served,
            "{status}"
        );
    }
    for (response, attempts, ran, once, expected) in [
        (served(500), 1, true, true, ClientResponse::Served),
        (served(200), 1, true, true, ClientResponse::Served),
        (refused(), 2, false, true, ClientResponse::NotRun(Some(5.0))),
        (refused(), 2, true, true, ClientResponse::MayHaveRun),
        (refused(), 2, true, false, ClientResponse::MayHaveRun),
        (FinalResponse::Failed, 0, false, true, ClientResponse::NotRun(None)),
        (FinalResponse::Failed, 1, false, true, ClientResponse::MayHaveRun),
        (FinalResponse::IncompleteBody(BodyError::Slow), 0, false, true, ClientResponse::BodySlow),
        (FinalResponse::IncompleteBody(BodyError::Slow), 1, true, true, ClientResponse::MayHaveRun),
        (FinalResponse::IncompleteBody(BodyError::Slow), 1, true, false, ClientResponse::BodySlow),
        (FinalResponse::IncompleteBody(BodyError::Broken), 1, true, true, ClientResponse::BodyBroken),
        (FinalResponse::IncompleteBody(BodyError::TooLarge), 1, true, true, ClientResponse::BodyTooLarge),
    ] {
        assert_eq!(
            client_response(once, &response, &summary(attempts, ran)),
            expected,
            "{attempts} {ran} {once}"
        );
    }
}
