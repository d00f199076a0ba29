//! Deadlines of requests, from the client to the last attempt, with the real gateway process on loopback
//! sockets.
#![allow(missing_docs)]

mod harness;

use harness::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix time in ms, offset by this many ms.
fn unix_ms_from_now(ms: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64 + ms
}

/// Adds an absolute deadline to a request, this many ms from now.
fn with_deadline(text: &str, ms: i64) -> String {
    text.replacen("X-Quota", &format!("X-Deadline-Unix-Ms: {}\r\nX-Quota", unix_ms_from_now(ms)), 1)
}

#[test]
fn expired_requests_are_refused_at_once_and_not_forwarded() {
    let (backend, received) = healthy_backend();
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let operator = gateway.operator();
    for text in [
        with_deadline(&get_request(1, 1, 3000), -1),
        with_deadline(&get_request(2, 1, 3000), -86_400_000),
        get_request(3, 1, 0),
        get_request(4, 1, 1),
    ] {
        let start = Instant::now();
        assert_eq!(gateway.request(&text).status(), 429, "{text}");
        assert!(start.elapsed() < Duration::from_millis(500));
    }
    assert_eq!(received.lock().unwrap().len(), 0);
    assert_eq!(metric(operator, "heronstage_expired_total{place=\"decision\"}"), 4.0);
    assert_eq!(metric(operator, "heronstage_refusals_total{reason=\"time\"}"), 4.0);
    // The earlier of the timeout and the absolute deadline applies.
    assert_eq!(gateway.request(&with_deadline(&get_request(5, 1, 3000), 600)).status(), 200);
    assert_eq!(gateway.request(&with_deadline(&get_request(6, 1, 400), 3000)).status(), 200);
    let remaining_ms: Vec<u64> = received
        .lock()
        .unwrap()
        .iter()
        .map(|request| request.headers["x-remaining-ms"].parse().unwrap())
        .collect();
    assert!(remaining_ms[0] > 300 && remaining_ms[0] <= 590, "{remaining_ms:?}");
    assert!(remaining_ms[1] > 200 && remaining_ms[1] <= 390, "{remaining_ms:?}");
    assert_eq!(metric(operator, "heronstage_time_left_seconds_count{at=\"sent\"}"), 2.0);
}

#[test]
fn invalid_timeout_headers_are_answered_with_400() {
    let (backend, received) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let valid = get_request(1, 1, 3000);
    let header = "X-Remaining-Ms: 3000\r\n";
    for value in ["-1", "1.5", "soon", "", "99999999999999999999", "3600001"] {
        let text = valid.replace(header, &format!("X-Remaining-Ms: {value}\r\n"));
        assert_eq!(gateway.request(&text).status(), 400, "{value:?}");
        // As an absolute deadline, a small number is valid but in the past.
        let deadline = value.replace("3600001", "9");
        let text = valid.replace(header, &format!("{header}X-Deadline-Unix-Ms: {deadline}\r\n"));
        assert_eq!(gateway.request(&text).status(), if value == "3600001" { 429 } else { 400 }, "{value:?}");
    }
    assert_eq!(gateway.request(&valid.replace(header, &format!("{header}{header}"))).status(), 400);
    assert_eq!(gateway.request(&valid.replace(header, "")).status(), 400);
    assert_eq!(gateway.request(&with_deadline(&valid, 3_700_000)).status(), 400, "too far ahead");
    assert_eq!(received.lock().unwrap().len(), 0);
    // An absolute deadline alone is enough.
    assert_eq!(gateway.request(&with_deadline(&valid.replace(header, ""), 2000)).status(), 200);
}

#[test]
fn attempts_are_cancelled_at_the_absolute_deadline() {
    let (closed_to, closed) = channel();
    let addr = serve(move |_| ServerAction::HangUntilClosed(closed_to.clone()));
    let gateway = Gateway::new(&config_with_operator(&[addr]));
    let operator = gateway.operator();
    let start = Instant::now();
    let response = gateway.request(&with_deadline(&post_request("once", "", "x"), 500));
    assert_eq!(response.status(), 502, "it may have been executed");
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(300) && elapsed < Duration::from_millis(900), "{elapsed:?}");
    closed.recv_timeout(TEST_TIMEOUT).expect("the attempt is cancelled");
    assert_eq!(metric(operator, "heronstage_expired_total{place=\"servers\"}"), 1.0);
}

#[test]
fn incomplete_bodies_are_refused_at_the_absolute_deadline() {
    let (backend, received) = healthy_backend();
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let operator = gateway.operator();
    let text = with_deadline(&post_request("once", "", "all of it"), 400);
    let mut connection = gateway.connect();
    let start = Instant::now();
    connection.get_mut().write_all(&text.as_bytes()[..text.len() - 4]).unwrap();
    let response = read_message(&mut connection).expect("a response");
    assert_eq!(response.status(), 429, "nothing was forwarded");
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(200) && elapsed < Duration::from_millis(900), "{elapsed:?}");
    assert_eq!(metric(operator, "heronstage_expired_total{place=\"body\"}"), 1.0);
    assert_eq!(received.lock().unwrap().len(), 0);
}

#[test]
fn streamed_bodies_extend_the_timeout_but_not_the_absolute_deadline() {
    let addr = serve(|_| ServerAction::HangUntilClosed(channel().0));
    let gateway = Gateway::new(&basic_config(&[addr]));
    let body = "b".repeat(200_000);
    let ask = |text: &str| {
        let start = Instant::now();
        let status = gateway.request(text).status();
        assert!(status == 502 || status == 429, "{status}");
        start.elapsed()
    };
    let text = post_request("once", "", &body).replace("X-Remaining-Ms: 3000", "X-Remaining-Ms: 2500");
    let elapsed = ask(&with_deadline(&text, 700));
    assert!(elapsed < Duration::from_millis(1500), "{elapsed:?}");
    // An incomplete body ends the request at the absolute deadline too.
    let (closed_to, closed) = channel();
    let addr = serve(move |_| ServerAction::HangUntilClosed(closed_to.clone()));
    let gateway = Gateway::new(&basic_config(&[addr]));
    let text = with_deadline(&text, 700);
    let mut connection = gateway.connect();
    let start = Instant::now();
    connection.get_mut().write_all(&text.as_bytes()[..text.len() - 50_000]).unwrap();
    let response = read_message(&mut connection).expect("a response");
    assert_eq!(response.status(), 408);
    assert!(start.elapsed() < Duration::from_millis(1000), "{:?}", start.elapsed());
    assert!(closed.try_recv().is_err(), "no backend received the whole body");
}

#[test]
fn requests_that_expire_in_the_gateway_are_not_forwarded() {
    let remaining_ms = Arc::new(Mutex::new(Vec::<u64>::new()));
    let seen = remaining_ms.clone();
    let backend = serve(move |request| {
        seen.lock().unwrap().push(request.headers["x-remaining-ms"].parse().unwrap());
        ServerAction::Respond(response_text(200, "", "fine"))
    });
    let gateway = Gateway::new(&basic_config(&[backend]));
    let mut connection = gateway.connect();
    let mut statuses = Vec::new();
    for number in 0..400 {
        let text = with_deadline(&get_request(number, 1, 3000), (number % 40) as i64);
        connection.get_mut().write_all(text.as_bytes()).unwrap();
        statuses.push(read_message(&mut connection).expect("a response").status());
    }
    let remaining_ms = remaining_ms.lock().unwrap();
    assert!(!remaining_ms.is_empty() && remaining_ms.len() < 400, "{} of 400", remaining_ms.len());
    // Deadlines of less than 40 ms, less the network margin of 10 ms.
    assert!(remaining_ms.iter().all(|ms| *ms < 30), "{remaining_ms:?}");
    assert!(statuses.iter().filter(|status| **status == 429).count() >= 80, "{statuses:?}");
}
