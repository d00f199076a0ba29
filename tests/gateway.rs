//! Runs the gateway on loopback sockets, with test servers as backends, counter and discovery.
#![allow(missing_docs)]

mod harness;

use harness::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

// ---- The tests -------------------------------------------------------------------------------------------

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let (backend, got) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let response = gateway.request(&post_request("order", IDEMPOTENCY_KEY_HEADER, "two pallets"));
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"stock: 12"[..]));
    let got = got.lock().unwrap();
    assert_eq!(got.len(), 1);
    assert_eq!(got[0].first_line, "POST /order?account=0000000000000007 HTTP/1.1");
    assert_eq!(got[0].headers["x-txn"], "9b1f03aa5c7e2d41");
    assert_eq!(got[0].headers["idempotency-key"], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    assert_eq!(got[0].body, b"two pallets");
    let remaining: u64 = got[0].headers["x-remaining-ms"].parse().unwrap();
    assert!(remaining > 0 && remaining < 3000, "{remaining}");
}

/// The counter rounds totals to three decimals: smaller amounts would be lost and the quota not enforced.
#[test]
fn amounts_sent_to_the_counter_survive_rounding() {
    let (backend, _) = healthy_backend();
    let amounts = Arc::new(Mutex::new(Vec::new()));
    let silent = serve(|_| ServerAction::HangUntilClosed(channel().0));
    let gateway = Gateway::new(&config(&[backend], counter(amounts.clone()), silent));
    // Quota windows of customers start at different times.
    let mut open = gateway.connect();
    for customer in 0..8 {
        open.get_mut().write_all(get_request(customer * 0x1234_5671, 2, 3000).as_bytes()).unwrap();
        assert_eq!(read_message(&mut open).unwrap().status(), 200);
    }
    let amounts = amounts.lock().unwrap();
    assert!(!amounts.is_empty());
    assert!(amounts.iter().all(|a| *a >= 0.005 && *a <= 1e9), "{amounts:?}");
}

#[test]
fn requests_over_quota_are_refused_with_retry_after() {
    let (backend, got) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let responses = [2, 1, 4].map(|units| gateway.get(9, units));
    assert_eq!([responses[0].status(), responses[1].status()], [200, 200]);
    assert_eq!(responses[2].status(), 429);
    let retry_after: f64 = responses[2].headers["retry-after"].parse().unwrap();
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
    assert_eq!(got.lock().unwrap().len(), 2);
}

#[test]
fn rejected_requests_are_retried_on_another_backend() {
    let (backend, got) = healthy_backend();
    let full = serve(|_| ServerAction::Respond(response_text(503, "X-Turned-Away: 1\r\n", "")));
    // An unsafe request may be retried only if it was certainly not executed.
    for failing in [refusing_address(), full] {
        let gateway = Gateway::new(&basic_config(&[failing, backend]));
        for _ in 0..2 {
            assert_eq!(gateway.request(&post_request("once", "", "x")).status(), 200);
        }
    }
    assert_eq!(got.lock().unwrap().len(), 4);
}

#[test]
fn unsafe_requests_that_may_have_run_are_not_retried() {
    for action in [
        || ServerAction::Respond(response_text(500, "", "")),
        // Without the header a 503 does not prove that the request was not executed.
        || ServerAction::Respond(response_text(503, "", "")),
        || ServerAction::RespondAndClose(String::new()),
        // A truncated body counts as a connection reset.
        || ServerAction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsto".to_owned()),
    ] {
        let count = Arc::new(Mutex::new(0));
        let seen = count.clone();
        let addr = serve(move |_| {
            *seen.lock().unwrap() += 1;
            action()
        });
        let gateway = Gateway::new(&basic_config(&[addr, addr]));
        assert_eq!(gateway.request(&post_request("once", "", "x")).status(), 502);
        assert_eq!(*count.lock().unwrap(), 1);
    }
}

#[test]
fn timed_out_attempt_closes_its_connection_and_is_answered_in_time() {
    let (closed_tx, closed) = channel();
    let addr = serve(move |_| ServerAction::HangUntilClosed(closed_tx.clone()));
    let gateway = Gateway::new(&basic_config(&[addr, addr]));
    let start = Instant::now();
    let response =
        gateway.request(&post_request("once", "", "x").replace("Remaining-Ms: 3000", "Remaining-Ms: 600"));
    // The request may have run, so the status must not promise a safe retry.
    assert_eq!(response.status(), 502);
    assert!(start.elapsed() < Duration::from_millis(1400), "{:?}", start.elapsed());
    closed.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
    assert!(closed.try_recv().is_err(), "the request was retried");
}

#[test]
fn client_disconnect_cancels_the_attempt() {
    let (closed_tx, closed) = channel();
    let (begun_tx, begun) = channel();
    let addr = serve(move |_| {
        let _ = begun_tx.send(());
        ServerAction::HangUntilClosed(closed_tx.clone())
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    let start = Instant::now();
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(3, 1, 3000).as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    drop(open);
    closed.recv_timeout(TEST_TIMEOUT).expect("the attempt is cancelled");
    assert!(start.elapsed() < Duration::from_millis(1400), "cancelled only at its timeout");
}

#[test]
fn backend_connection_closed_while_idle_is_not_reused() {
    let count = Arc::new(Mutex::new(0));
    let seen = count.clone();
    let addr = serve(move |_| {
        *seen.lock().unwrap() += 1;
        ServerAction::RespondAndClose(response_text(200, "", "ok"))
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    for _ in 0..3 {
        // On a broken connection the request might have run, so it would fail without a retry.
        assert_eq!(gateway.request(&post_request("once", "", "x")).status(), 200);
        // Let the close reach the gateway.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(*count.lock().unwrap(), 3);
}

/// Starts a server that resets a connection when it is used after more than 100 ms of idle time, and counts
/// the resets.
fn serve_dropping_idle_connections(resets: Arc<Mutex<usize>>, respond: fn(&Message) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, resets) = (stream.unwrap(), resets.clone());
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = read_message(&mut from) {
                    stream.write_all(respond(&message).as_bytes()).unwrap();
                    let idle = Instant::now();
                    if stream.peek(&mut [0]).is_ok_and(|n| n > 0) && idle.elapsed().as_millis() > 100 {
                        // Closing with unread data sends a reset.
                        *resets.lock().unwrap() += 1;
                        return;
                    }
                }
            });
        }
    });
    addr
}

#[test]
fn backend_idle_limit_adapts_to_resets() {
    let resets = Arc::default();
    let backend = serve_dropping_idle_connections(Arc::clone(&resets), |_| response_text(200, "", "ok"));
    let gateway = Gateway::new(&basic_config(&[backend]));
    let mut failed = 0;
    for customer in 0..12 {
        // An unsafe request is not retried after a reset.
        let once = post_request("once", "", "x").replace("0007 HTTP", &format!("{customer:04x} HTTP"));
        failed += usize::from(gateway.request(&once).status() != 200);
        std::thread::sleep(Duration::from_millis(150));
    }
    assert!(failed <= 2, "{failed} of 12 failed");
    assert!(*resets.lock().unwrap() >= 1, "the first idle connection is reused");
}

#[test]
fn counter_idle_limit_adapts_to_resets() {
    let resets = Arc::default();
    let counter = serve_dropping_idle_connections(Arc::clone(&resets), |_| response_text(200, "", "0.0"));
    let (backend, _) = healthy_backend();
    let gateway =
        Gateway::new(&config(&[backend], counter, serve(|_| ServerAction::HangUntilClosed(channel().0))));
    for customer in 0..32 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
        std::thread::sleep(Duration::from_millis(150));
    }
    let resets = *resets.lock().unwrap();
    assert!((1..=6).contains(&resets), "{resets} resets");
}

#[test]
fn requests_are_served_while_the_counter_fails() {
    let (backend, _) = healthy_backend();
    let silent = serve(|_| ServerAction::HangUntilClosed(channel().0));
    let invalid = serve(|_| ServerAction::Respond(response_text(200, "", "many")));
    let broken = serve(|_| ServerAction::RespondAndClose("no HTTP\r\n\r\n".to_owned()));
    for counter in [silent, invalid, broken, refusing_address()] {
        let gateway =
            Gateway::new(&config(&[backend], counter, serve(|_| ServerAction::HangUntilClosed(channel().0))));
        for customer in 0..6 {
            assert_eq!(gateway.get(customer, 1).status(), 200);
        }
    }
}

/// After an invalid total the connection must not be reused, though the amount was counted.
#[test]
fn counter_connection_is_closed_after_an_invalid_total() {
    let (backend, _) = healthy_backend();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (ended_tx, ended) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, ended_tx) = (stream.unwrap(), ended_tx.clone());
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut calls = 0;
                while read_message(&mut from).is_some() {
                    calls += 1;
                    let _ = stream.write_all(response_text(200, "", "many").as_bytes());
                }
                let _ = ended_tx.send(calls);
            });
        }
    });
    let gateway =
        Gateway::new(&config(&[backend], addr, serve(|_| ServerAction::HangUntilClosed(channel().0))));
    for customer in 0..2 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
        let calls = ended.recv_timeout(Duration::from_secs(2)).expect("the connection is closed at once");
        assert_eq!(calls, 1);
    }
}

#[test]
fn drain_state_survives_an_invalid_discovery_line() {
    let ((one, got_one), (two, _)) = (healthy_backend(), healthy_backend());
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config(&[one, two], counter(Arc::default()), discovery.addr));
    let (line, mut watch) = discovery.watch();
    assert!(line.contains("index=7"), "{line}");
    let change = serde_json::json!({"version": 8, "full": false, "servers": [entry(0, one, "Terminating")]});
    send_discovery_line(&mut watch, &change.to_string());
    send_discovery_line(&mut watch, "{\"version\": 9, \"full\": tr");
    // After an invalid line the full list is requested.
    let (line, _) = discovery.watch();
    assert!(!line.contains("stream"), "{line}");
    let before = got_one.lock().unwrap().len();
    for customer in 0..10 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    assert_eq!(got_one.lock().unwrap().len(), before);
}

#[test]
fn discovery_watch_resumes_at_the_last_version() {
    let (one, _) = healthy_backend();
    let discovery = Discovery::new();
    let _gateway = Gateway::new(&config(&[one], counter(Arc::default()), discovery.addr));
    let (_, mut watch) = discovery.watch();
    send_discovery_line(&mut watch, "");
    send_discovery_line(
        &mut watch,
        &serde_json::json!({"version": 12, "full": false, "servers": []}).to_string(),
    );
    drop(watch);
    assert!(discovery.watch().0.contains("index=12"));
}

/// At the descriptor limit idle connections must not starve clients in the accept queue.
#[test]
fn few_descriptors_serve_many_clients() {
    let (backend, _) = healthy_backend();
    let mut config = basic_config(&[backend]);
    config["limits"]["sockets"] = 48.into();
    let gateway = Gateway::new(&config);
    let mut kept = Vec::new();
    for customer in 0..30 {
        let mut open = gateway.connect();
        open.get_mut().write_all(get_request(customer, 1, 3000).as_bytes()).unwrap();
        assert_eq!(read_message(&mut open).unwrap().status(), 200);
        kept.push(open);
    }
}

/// Clients that send no complete head must not occupy all connections.
#[test]
fn connections_without_a_complete_head_are_closed_in_time() {
    let (backend, _) = healthy_backend();
    let mut config = basic_config(&[backend]);
    config["limits"]["sockets"] = 48.into();
    let gateway = Gateway::new(&config);
    let start = Instant::now();
    let mut silent: Vec<_> = (0..16).map(|_| gateway.connect()).collect();
    silent[1].get_mut().write_all(b"GET /look?account=").unwrap();
    assert_eq!(gateway.get(1, 1).status(), 200);
    for client in &mut silent {
        // The connection ends, with or without a response.
        assert!(client.read_to_end(&mut Vec::new()).is_ok());
    }
    assert!(start.elapsed() < Duration::from_secs(12), "{:?}", start.elapsed());
}

/// A missing body must not hold a connection until the client's own deadline.
#[test]
fn incomplete_request_gets_408_in_time() {
    let (backend, got) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let part = post_request("once", "", "x").replace("Remaining-Ms: 3000", "Remaining-Ms: 3600000");
    let part = part.replace("Content-Length: 1", "Content-Length: 9");
    let mut fresh = gateway.connect();
    let mut kept = gateway.connect();
    kept.get_mut().write_all(get_request(1, 1, 3000).as_bytes()).unwrap();
    assert_eq!(read_message(&mut kept).unwrap().status(), 200);
    let start = Instant::now();
    for open in [&mut fresh, &mut kept] {
        open.get_mut().write_all(part.as_bytes()).unwrap();
    }
    for open in [&mut fresh, &mut kept] {
        assert_eq!(read_message(open).expect("a response").status(), 408);
        assert!(open.read_to_end(&mut Vec::new()).is_ok(), "the connection is closed");
    }
    assert!(start.elapsed() < Duration::from_secs(12), "{:?}", start.elapsed());
    assert_eq!(got.lock().unwrap().len(), 1);
}

/// Idle client connections must not be closed within 2 s.
#[test]
fn an_idle_client_keeps_its_connection_for_two_seconds() {
    let (backend, _) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(1, 1, 3000).as_bytes()).unwrap();
    let start = Instant::now();
    assert_eq!(read_message(&mut open).unwrap().status(), 200);
    assert!(read_message(&mut open).is_none());
    assert!((2.0..12.0).contains(&start.elapsed().as_secs_f64()), "{:?}", start.elapsed());
}

#[test]
fn invalid_requests_get_4xx() {
    let (backend, got) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let valid = get_request(1, 1, 3000);
    for (text, status) in [
        (valid.replace("/look", "/else"), 404),
        (valid.replace("GET", "DELETE"), 405),
        (valid.replace("X-Plan: small", "X-Plan: none"), 400),
        (valid.replace("X-Lane: look", "X-Lane: order"), 400),
        (valid.replace("X-Lane", "X-Other"), 400),
        (valid.replace("X-Txn", "X-Other"), 400),
        (valid.replace("X-Remaining-Ms: 3000", "X-Remaining-Ms: soon"), 400),
        (valid.replace("units=1", "units=NaN"), 400),
        (valid.replace("X-Quota", "X-Other"), 400),
        (valid.replace("account=0", "account=z"), 400),
        (valid.replace("account=0000", "account="), 400),
        (post_request("order", "", "x"), 400),
        (
            post_request("order", IDEMPOTENCY_KEY_HEADER, "x")
                .replace("Content-Length: 1", "Content-Length: 60000000"),
            413,
        ),
        ("rubbish\r\n\r\n".to_owned(), 400),
    ] {
        assert_eq!(gateway.request(&text).status(), status, "{}", text.lines().next().unwrap());
    }
    assert_eq!(got.lock().unwrap().len(), 0);
    assert_eq!(gateway.request(&valid).status(), 200);
}

#[test]
fn invalid_configuration_is_reported_in_one_line_with_the_field() {
    let mut config = basic_config(&[refusing_address()]);
    config["settings"]["rules"]["cold-from"] = "warm".into();
    let output = start(&config).0.wait_with_output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(
        stderr.contains("settings.rules.cold-from") && stderr.trim_end().lines().count() == 1,
        "{stderr}"
    );
}

#[test]
fn sigterm_answers_open_requests_and_exits_with_success() {
    let (begun_tx, begun) = channel();
    let addr = serve(move |_| {
        let _ = begun_tx.send(());
        std::thread::sleep(Duration::from_millis(900));
        ServerAction::Respond(response_text(200, "", "done"))
    });
    let mut gateway = Gateway::new(&basic_config(&[addr]));
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(1, 1, 3000).as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    let start = Instant::now();
    gateway.signal("-TERM");
    // The gateway is no longer ready, but still accepts new clients.
    let unready = loop {
        let response = gateway.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        if response.status() != 200 {
            break response;
        }
    };
    assert_eq!((unready.status(), unready.headers["connection"].as_str()), (503, "close"));
    assert_eq!(read_message(&mut open).unwrap().body, b"done");
    assert!(gateway.child.wait().unwrap().success());
    assert!(start.elapsed() < Duration::from_secs(3));
    assert!(gateway.log.iter().all(|line| !line.contains("panic")));
}

/// Connects with a small receive buffer, so that most of a large response waits at the gateway.
fn connect_slowly(gateway: &Gateway) -> BufReader<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.connect(&gateway.addr.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    BufReader::new(stream)
}

/// A response was reset in its middle when the gateway closed its connection at a shutdown while the client's
/// further requests were unread or still arriving.
#[test]
fn sigterm_completes_a_response_with_requests_behind_it() {
    const LENGTH: usize = 20_000_000;
    const PAUSE_BEFORE_END_BYTES: usize = 256 * 1024;
    let (begun_tx, begun) = channel();
    let (resume_tx, resume_rx) = channel::<()>();
    let resume_rx = Mutex::new(resume_rx);
    let addr = serve_one_per_connection(move |_, stream| {
        let _ = begun_tx.send(());
        let _ = resume_rx.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        let head = format!("HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: {LENGTH}\r\n\r\n");
        stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&pattern(LENGTH))).unwrap();
    });
    let mut gateway = Gateway::new(&basic_config(&[addr]));
    let mut open = connect_slowly(&gateway);
    open.get_mut().write_all(get_request(1, 1, 3000).as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    gateway.signal("-TERM");
    while gateway.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200 {}
    // More than the gateway reads ahead: the rest stays in the socket.
    open.get_mut().write_all(get_request(1, 1, 3000).repeat(300).as_bytes()).unwrap();
    resume_tx.send(()).unwrap();
    let mut head = String::new();
    while open.read_line(&mut head).unwrap() > 2 {}
    assert!(head.to_ascii_lowercase().contains("connection: close"), "{head}");
    let mut body = vec![0; LENGTH];
    let (first, last) = body.split_at_mut(LENGTH - PAUSE_BEFORE_END_BYTES);
    open.read_exact(first).unwrap();
    // By the end of the pause the gateway has written the whole response.
    std::thread::sleep(Duration::from_millis(500));
    open.read_exact(last).expect("the end of the response");
    assert!(body == pattern(LENGTH));
    drop(open);
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn sighup_switches_to_the_configured_addresses() {
    let ((one, _), (two, got)) = (healthy_backend(), healthy_backend());
    let (before, after) = (Discovery::new(), Discovery::new());
    let old_amounts = Arc::new(Mutex::new(Vec::new()));
    let mut config = config(&[one], counter(Arc::clone(&old_amounts)), before.addr);
    let gateway = Gateway::new(&config);
    let _former = before.watch();
    assert_eq!(gateway.get(1, 1).status(), 200);
    assert!(!old_amounts.lock().unwrap().is_empty());
    let new_amounts = Arc::new(Mutex::new(Vec::new()));
    config["discovery"] = after.addr.to_string().into();
    config["counter"] = counter(Arc::clone(&new_amounts)).to_string().into();
    reload(&gateway, &config.to_string());
    // The former watch is still open: it is abandoned, and the full list is fetched.
    let (line, mut stream) = after.watch();
    assert!(!line.contains("stream"), "{line}");
    let list =
        serde_json::json!({"version": 9, "full": true, "servers": [entry(1, two, "Ready")]}).to_string();
    stream.write_all(response_text(200, "Connection: close\r\n", &list).as_bytes()).unwrap();
    let start = Instant::now();
    for customer in 0.. {
        assert!(start.elapsed() < TEST_TIMEOUT, "the new addresses are never used");
        assert_eq!(gateway.get(customer, 1).status(), 200);
        if !got.lock().unwrap().is_empty() && !new_amounts.lock().unwrap().is_empty() {
            break;
        }
    }
}

#[test]
fn sighup_with_an_invalid_configuration_changes_nothing() {
    let (backend, _) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    reload(&gateway, "{\"name\": ");
    let line = gateway.log.iter().find(|line| line.contains("SIGHUP")).expect("a log line");
    assert!(line.contains("WARN"), "{line}");
    assert_eq!(gateway.get(1, 1).status(), 200);
}

#[test]
fn unknown_senders_and_oversized_peer_messages_are_dropped() {
    let (backend, _) = healthy_backend();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = {
        // A port that was just free.
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.local_addr().unwrap()
    };
    let mut config = basic_config(&[backend]);
    config["settings"]["balancers"] = 2.into();
    config["peer_listen"] = at.to_string().into();
    config["peers"] = serde_json::json!([at, peer.local_addr().unwrap()]);
    let _gateway = Gateway::new(&config);
    let ask = |id: u64| {
        let mut body = vec![1];
        body.extend(id.to_le_bytes());
        body.extend(7u64.to_le_bytes());
        body.push(0);
        body.extend(1f32.to_le_bytes());
        body
    };
    peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(&ask(1), at).unwrap();
    peer.send_to(&[1; 300], at).unwrap();
    peer.send_to(&ask(2), at).unwrap();
    let mut response = [0; 300];
    let (length, _) = peer.recv_from(&mut response).expect("the known gateway is answered");
    assert_eq!((length, response[1]), (13, 2));
}

// ---- Operator interface ----------------------------------------------------------------------------------

#[test]
fn operators_drain_and_resume() {
    let (backend, _) = healthy_backend();
    let mut gateway = Gateway::new(&config_with_operator(&[backend]));
    let at = gateway.operator();
    assert_eq!(operator_request(at, "GET /admin/health").status(), 200);
    let mut idle = gateway.connect();
    idle.get_mut().write_all(get_request(1, 1, 3000).as_bytes()).unwrap();
    assert_eq!(read_message(&mut idle).unwrap().status(), 200);
    let start = Instant::now();
    assert_eq!(operator_request(at, "POST /admin/quiesce").status(), 200);
    assert!(!gateway.ready());
    assert_eq!(operator_request(at, "GET /admin/health").status(), 503);
    // New clients are still served, with `Connection: close`; the idle connection is closed in time.
    let response = gateway.get(2, 1);
    assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
    assert!(read_message(&mut idle).is_none());
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert_eq!(operator_request(at, "POST /admin/resume").status(), 200);
    assert!(gateway.ready());
    assert!(!gateway.get(3, 1).headers.contains_key("connection"));
    // SIGTERM also ends the gateway during a drain.
    assert_eq!(operator_request(at, "POST /admin/quiesce").status(), 200);
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn open_requests_complete_during_a_drain() {
    let (begun_tx, begun) = channel();
    let addr = serve(move |_| {
        let _ = begun_tx.send(());
        std::thread::sleep(Duration::from_millis(2200));
        ServerAction::Respond(response_text(200, "", "done"))
    });
    let mut config = config_with_operator(&[addr]);
    config["settings"]["categories"][0]["aim-ms"] = 4000.0.into();
    let gateway = Gateway::new(&config);
    let at = gateway.operator();
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(1, 1, 4000).as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(operator_request(at, "POST /admin/quiesce").status(), 200);
    assert_eq!(read_message(&mut open).expect("a response").body, b"done");
    assert!(read_message(&mut open).is_none(), "the connection is closed after the response");
}

#[test]
fn invalid_operator_requests_are_rejected() {
    let (backend, _) = healthy_backend();
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let at = gateway.operator();
    assert_eq!(operator_request(at, "GET /admin").status(), 404);
    let wrong = operator_request(at, "GET /admin/quiesce");
    assert_eq!((wrong.status(), wrong.headers["allow"].as_str()), (405, "POST"));
    assert_eq!(operator_request(at, "POST /admin/health").status(), 405);
    assert!(gateway.ready());
    // The operator interface is not reachable on the client port.
    assert_eq!(
        gateway.request("POST /admin/quiesce HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").status(),
        404
    );
}

/// Neither clients at the connection limit nor silent operator connections block an operator.
#[test]
fn operator_requests_are_served_at_the_connection_limit() {
    let (backend, _) = healthy_backend();
    let mut config = config_with_operator(&[backend]);
    config["limits"]["sockets"] = 80.into();
    let gateway = Gateway::new(&config);
    let at = gateway.operator();
    let _clients: Vec<_> = (0..60).map(|_| gateway.connect()).collect();
    let mut silent: Vec<_> = (0..8).map(|_| TcpStream::connect(at).unwrap()).collect();
    assert_eq!(operator_request(at, "GET /admin/health").status(), 200);
    for caller in &mut silent {
        caller.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        // The connection ends, with or without a response.
        assert!(caller.read_to_end(&mut Vec::new()).is_ok());
    }
}

// ---- Upgrades --------------------------------------------------------------------------------------------

#[test]
fn new_process_takes_over_the_listener_without_losing_requests() {
    let (backend, _) = healthy_backend();
    let config = config_with_operator(&[backend]);
    let (listener, temporary) = (TcpListener::bind("127.0.0.1:0").unwrap(), new_temp_dir());
    let mut old = Gateway::started(start_inheriting(&config, &listener, &temporary));
    assert_eq!(old.addr, listener.local_addr().unwrap());
    let mut kept = old.connect();
    kept.get_mut().write_all(get_request(0, 1, 3000).as_bytes()).unwrap();
    assert_eq!(read_message(&mut kept).unwrap().status(), 200);
    let new = Gateway::started(start_inheriting(&config, &listener, &temporary));
    let start = Instant::now();
    wait_until_healthy(new.operator());
    old.signal("-TERM");
    let mut customer = 1;
    let status = loop {
        assert_eq!(new.get(customer, 1).status(), 200, "a request while both run");
        customer += 1;
        if let Some(status) = old.child.try_wait().unwrap() {
            break status;
        }
        if customer == 4 {
            // The old process still serves its open connections, with `Connection: close`.
            kept.get_mut().write_all(get_request(99, 1, 3000).as_bytes()).unwrap();
            let response = read_message(&mut kept).unwrap();
            assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
        }
    };
    assert!(status.success());
    assert!(start.elapsed() < TEST_TIMEOUT);
    assert_eq!(new.get(customer, 1).status(), 200, "the listener outlives the old process");
}

/// Addresses bound by the old process pass to the new one only when the old one ends.
#[test]
fn new_process_binds_the_other_addresses_when_the_old_one_ends() {
    let (backend, _) = healthy_backend();
    let (listener, temporary) = (TcpListener::bind("127.0.0.1:0").unwrap(), new_temp_dir());
    let mut config = config_with_operator(&[backend]);
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    config["settings"]["balancers"] = 2.into();
    config["peer_listen"] = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string().into();
    config["peers"] = serde_json::json!([config["peer_listen"], peer.local_addr().unwrap()]);
    let mut old = Gateway::started(start_inheriting(&config, &listener, &temporary));
    let at = old.operator();
    wait_until_healthy(at);
    config["operator"] = at.to_string().into();
    let new = Gateway::started(start_inheriting(&config, &listener, &temporary));
    assert_eq!(operator_request(at, "GET /admin/health").status(), 200);
    old.signal("-TERM");
    assert!(old.child.wait().unwrap().success());
    assert_eq!(new.operator(), at);
    wait_until_healthy(at);
    assert_eq!(new.get(1, 1).status(), 200);
    // Once bound, the new process answers another gateway's quota request.
    let mut ask = vec![1];
    ask.extend(5u64.to_le_bytes());
    ask.extend(7u64.to_le_bytes());
    ask.push(0);
    ask.extend(1f32.to_le_bytes());
    peer.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let start = Instant::now();
    let mut response = [0; 300];
    while peer.recv_from(&mut response).is_err() {
        assert!(start.elapsed() < TEST_TIMEOUT, "never answered");
        peer.send_to(&ask, config["peer_listen"].as_str().unwrap()).unwrap();
    }
    assert_eq!(response[1], 5);
}

/// Number of a process's open descriptors.
fn descriptors(child: &Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, Iterator::count)
}

#[test]
fn two_processes_together_stay_within_the_descriptor_limit() {
    let backend = serve(|_| {
        std::thread::sleep(Duration::from_millis(300));
        ServerAction::Respond(response_text(200, "", "ok"))
    });
    let mut config = config_with_operator(&[backend]);
    config["limits"]["sockets"] = 140.into();
    config["settings"]["categories"][0]["aim-ms"] = 3000.into();
    let (listener, temporary) = (TcpListener::bind("127.0.0.1:0").unwrap(), new_temp_dir());
    // Records left by killed processes: truncated, outdated, too long.
    for (number, text) in
        ["{\"started", "{\"started_ms\":1,\"written_ms\":1,\"held\":900}", &"9".repeat(100_000)]
            .into_iter()
            .enumerate()
    {
        std::fs::write(temporary.join(format!("heronstage-beside-1-{number}")), text).unwrap();
    }
    let old = Gateway::started(start_inheriting(&config, &listener, &temporary));
    // Clients that use every available connection, each with an open request.
    let mut hold = std::collections::VecDeque::new();
    let mut customers = 0..;
    let mut add_client = |hold: &mut std::collections::VecDeque<_>, gateway: &Gateway| {
        let mut open = gateway.connect();
        let _ = open.get_mut().write_all(get_request(customers.next().unwrap(), 1, 3000).as_bytes());
        hold.push_back(open);
        if hold.len() > 150 {
            hold.pop_front();
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    let start = Instant::now();
    while descriptors(&old.child) < 90 {
        add_client(&mut hold, &old);
        assert!(start.elapsed() < TEST_TIMEOUT, "the connections are never used up");
    }
    let new = Gateway::started(start_inheriting(&config, &listener, &temporary));
    let at = new.operator();
    let (started, mut max_descriptors) = (Instant::now(), 0);
    while started.elapsed() < Duration::from_secs(3) {
        add_client(&mut hold, &new);
        max_descriptors = max_descriptors.max(descriptors(&old.child) + descriptors(&new.child));
    }
    assert!(max_descriptors <= 140, "{max_descriptors} descriptors");
    assert_eq!(operator_request(at, "GET /admin/health").status(), 200);
    // After the old process has ended, all connections are available again.
    drop((hold, old));
    assert_eq!(new.get(1, 1).status(), 200);
    let (start, mut hold) = (Instant::now(), std::collections::VecDeque::new());
    while descriptors(&new.child) < 90 {
        add_client(&mut hold, &new);
        assert!(start.elapsed() < TEST_TIMEOUT, "the connections are not available again");
    }
}

#[test]
fn inherited_descriptor_that_is_no_socket_is_reported() {
    let path = write_config(&basic_config(&[refusing_address()]));
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakfall-gateway"));
    command.env("RELAY_CONFIG", &path).env("RELAY_LISTEN_FD", "0").stdin(Stdio::null());
    let output = command.output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(stderr.contains("RELAY_LISTEN_FD") && stderr.trim_end().lines().count() == 1, "{stderr}");
}

// ---- Metrics ---------------------------------------------------------------------------------------------

/// Name of the counter of ended requests of a class and status.
fn ended_metric(class: &str, status: &str) -> String {
    format!("relay_operations_total{{priority=\"{class}\",status=\"{status}\"}}")
}

#[test]
fn metrics_count_request_outcomes() {
    let (begun_tx, begun) = channel();
    let (good, _) = healthy_backend();
    let silent = serve(move |_| {
        let _ = begun_tx.send(());
        ServerAction::HangUntilClosed(channel().0)
    });
    let full = serve(|_| ServerAction::Respond(response_text(503, "X-Turned-Away: 1\r\n", "")));
    let discovery = Discovery::new();
    let mut config = config(&[good, full], counter(Arc::default()), discovery.addr);
    config["operator"] = "127.0.0.1:0".into();
    let gateway = Gateway::new(&config);
    let at = gateway.operator();
    for status in ["fulfilled", "throttled", "faulted"] {
        wait_for_stat(at, &ended_metric("once", status), 0);
    }
    wait_for_stat(at, "relay_registry_entries", 2);
    wait_for_stat(at, "relay_out_of_rotation", 0);
    // A request rejected by the full backend is retried on the other. The third request is far over the
    // quota; the first two leave some of it, because the counter's rounding may let an exhausted quota pass.
    assert_eq!([2, 1, 4].map(|units| gateway.get(9, units).status()), [200, 200, 429]);
    wait_for_stat(at, &ended_metric("look", "fulfilled"), 2);
    wait_for_stat(at, &ended_metric("look", "throttled"), 1);
    // Invalid requests are not counted for a class.
    assert_eq!(gateway.request(&get_request(1, 1, 3000).replace("X-Txn", "X-Other")).status(), 400);
    let (_, mut watch) = discovery.watch();
    let change = |version: u64, servers: &[serde_json::Value]| {
        serde_json::json!({"version": version, "full": false, "servers": servers}).to_string()
    };
    send_discovery_line(
        &mut watch,
        &change(8, &[entry(0, good, "Terminating"), entry(1, full, "Gone"), entry(2, silent, "Ready")]),
    );
    wait_for_stat(at, "relay_registry_entries", 2);
    wait_for_stat(at, "relay_out_of_rotation", 1);
    let mut open = gateway.connect();
    let text = post_request("once", "", "x").replace("Remaining-Ms: 3000", "Remaining-Ms: 900");
    open.get_mut().write_all(text.as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    wait_for_stat(at, "relay_open_requests", 1);
    assert_eq!(read_message(&mut open).unwrap().status(), 502);
    wait_for_stat(at, &ended_metric("once", "faulted"), 1);
    wait_for_stat(at, "relay_open_requests", 0);
    std::fs::write(&gateway.path, "").unwrap();
    gateway.signal("-HUP");
    wait_for_stat(at, "relay_cfg_invalid_total", 1);
    reload(&gateway, &config.to_string());
    wait_for_stat(at, "relay_cfg_accepted_total", 1);
}

/// Attempts count once completely written; failed connections do not count.
#[test]
fn only_written_attempts_are_counted() {
    let rejected = Arc::new(Mutex::new(0));
    let seen = rejected.clone();
    let full = serve(move |_| {
        *seen.lock().unwrap() += 1;
        ServerAction::Respond(response_text(503, "X-Turned-Away: 1\r\n", ""))
    });
    let (good, got) = healthy_backend();
    let gateway = Gateway::new(&config_with_operator(&[refusing_address(), full, good]));
    let at = gateway.operator();
    for customer in 0..3 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    let written = *rejected.lock().unwrap() + got.lock().unwrap().len() as u64;
    wait_for_stat(at, "relay_relayed_total", written);
}

// ---- Changed settings ------------------------------------------------------------------------------------

#[test]
fn sighup_applies_settings_and_open_requests_keep_theirs() {
    let (begun_tx, begun) = channel();
    let (resume_tx, resume_rx) = channel::<()>();
    let resume_rx = Mutex::new(resume_rx);
    let count = Arc::new(Mutex::new(0));
    let seen = count.clone();
    let held = serve(move |m| {
        if m.first_line.contains("/once") {
            *seen.lock().unwrap() += 1;
            let _ = begun_tx.send(());
            let _ = resume_rx.lock().unwrap().recv_timeout(TEST_TIMEOUT);
            return ServerAction::RespondAndClose(String::new());
        }
        ServerAction::Respond(response_text(200, "", "ok"))
    });
    let mut config = config_with_operator(&[held, held]);
    let gateway = Gateway::new(&config);
    let at = gateway.operator();
    let new = get_request(1, 1, 3000).replace("look", "new");
    assert_eq!(gateway.request(&new).status(), 404);
    let mut open = gateway.connect();
    open.get_mut().write_all(post_request("once", "", "x").as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    // `once` becomes idempotent, `order` is removed, and `new` is added in front of the others.
    let classes = config["settings"]["categories"].as_array_mut().unwrap();
    let mut added = classes[0].clone();
    added["name"] = "new".into();
    classes[2]["effect"] = "read_like".into();
    classes.remove(1);
    classes.insert(0, added);
    reload(&gateway, &config.to_string());
    wait_for_stat(at, "relay_cfg_accepted_total", 1);
    assert_eq!(gateway.request(&new).status(), 200);
    assert_eq!(gateway.get(2, 1).status(), 200);
    assert_eq!(gateway.request(&post_request("order", IDEMPOTENCY_KEY_HEADER, "x")).status(), 404);
    assert_eq!(gateway.request(&post_request("once", "", "x")).status(), 405);
    // The open request may have run; its former class does not allow a retry.
    resume_tx.send(()).unwrap();
    assert_eq!(read_message(&mut open).unwrap().status(), 502);
    assert_eq!(*count.lock().unwrap(), 1);
    wait_for_stat(at, &ended_metric("once", "faulted"), 1);
}

#[test]
fn invalid_files_do_not_change_the_settings() {
    let (backend, _) = healthy_backend();
    let config = config_with_operator(&[backend]);
    let gateway = Gateway::new(&config);
    let at = gateway.operator();
    let whole = config.to_string();
    let changed = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut config = config.clone();
        config["settings"]["categories"][0]["name"] = "other".into();
        change(&mut config);
        config.to_string()
    };
    let broken = [
        String::new(),
        whole[..whole.len() / 2].to_owned(),
        changed(&|_| {}) + "}",
        changed(&|c| drop(c.as_object_mut().unwrap().remove("settings"))),
        changed(&|c| drop(c["settings"].as_object_mut().unwrap().remove("balancers"))),
        // The gateway does not use this setting, but one that was set before must not be missing.
        changed(&|c| drop(c["settings"]["rules"].as_object_mut().unwrap().remove("unread"))),
        changed(&|c| c["settings"]["categories"][1]["give-up-ms"] = 0.into()),
        changed(&|c| c["settings"]["categories"][1]["give-up-ms"] = (-5).into()),
        changed(&|c| c["settings"]["limits"]["try-limit"] = 0.into()),
        changed(&|c| c["settings"]["limits"]["try-limit"] = (-1).into()),
        changed(&|c| c["settings"]["categories"][1]["name"] = "other".into()),
    ];
    let mut first = config.clone();
    first["settings"]["rules"]["unread"] = 1.into();
    reload(&gateway, &first.to_string());
    wait_for_stat(at, "relay_cfg_accepted_total", 1);
    for (number, text) in broken.iter().enumerate() {
        reload(&gateway, text);
        wait_for_stat(at, "relay_cfg_invalid_total", number as u64 + 1);
        assert_eq!(gateway.get(number as u64, 1).status(), 200, "file {number}");
    }
    wait_for_stat(at, "relay_cfg_accepted_total", 1);
}

// ---- Large bodies and memory -----------------------------------------------------------------------------

/// Bytes that depend on their offset.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n / 251 + n) as u8).collect()
}

/// Reads a chunked body; chunk extensions are ignored.
fn read_chunks(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..]).ok()?;
        from.read_line(&mut line).ok()?;
        if size == 0 {
            return Some(body);
        }
    }
}

/// Starts a backend that reads one request per connection, also a chunked one, and passes it to the handler.
fn serve_one_per_connection(handler: impl Fn(Message, &mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, handler) = (stream.unwrap(), handler.clone());
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let Some(mut message) = read_message(&mut from) else { return };
                if message.headers.contains_key("transfer-encoding") {
                    let Some(body) = read_chunks(&mut from) else { return };
                    message.body = body;
                }
                handler(message, &mut stream);
            });
        }
    });
    addr
}

/// A request with a body of this length and framing.
fn request_with_body(length: usize, framing: &str) -> Vec<u8> {
    let head = post_request("once", "", "").replace("Content-Length: 0\r\n", framing);
    let mut text = head.into_bytes();
    if framing.starts_with("Content-Length") {
        text.extend(pattern(length));
        return text;
    }
    for piece in pattern(length).chunks(70_000) {
        text.extend(format!("{:X};part=yes\r\n", piece.len()).as_bytes());
        text.extend(piece);
        text.extend(b"\r\n");
    }
    text.extend(b"0\r\nX-Trailer: none\r\n\r\n");
    text
}

#[test]
fn large_bodies_reach_the_backend_unchanged() {
    let addr = serve_one_per_connection(|message, stream| {
        let unchanged = message.body == pattern(message.body.len());
        let text =
            response_text(200, "Connection: close\r\n", &format!("{} {unchanged}", message.body.len()));
        stream.write_all(text.as_bytes()).unwrap();
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    for length in [70_000, 5_000_000] {
        for framing in [format!("Content-Length: {length}\r\n"), "Transfer-Encoding: chunked\r\n".to_owned()]
        {
            let mut open = gateway.connect();
            open.get_mut().write_all(&request_with_body(length, &framing)).unwrap();
            let response = read_message(&mut open).expect("a response");
            let response = (response.status(), String::from_utf8(response.body).unwrap());
            assert_eq!(response, (200, format!("{length} true")), "{framing}");
        }
    }
}

/// Covers each framing of a response body.
#[test]
fn large_responses_reach_the_client_unchanged() {
    const LENGTH: usize = 3_000_000;
    let addr = serve_one_per_connection(|message, stream| {
        let body = pattern(LENGTH);
        let framing = message.first_line.split("form=").nth(1).unwrap().split(' ').next().unwrap().to_owned();
        let head = match framing.as_str() {
            "length" => format!("Content-Length: {LENGTH}\r\n"),
            "chunks" => "Transfer-Encoding: Chunked\r\n".to_owned(),
            _ => "Connection: close\r\n".to_owned(),
        };
        stream.write_all(format!("HTTP/1.1 200\r\nX-Units-Charged: 1\r\n{head}\r\n").as_bytes()).unwrap();
        for piece in body.chunks(100_003) {
            if framing == "chunks" {
                stream.write_all(format!("{:x} ; a=\"b\"\r\n", piece.len()).as_bytes()).unwrap();
            }
            stream.write_all(piece).unwrap();
            if framing == "chunks" {
                stream.write_all(b"\r\n").unwrap();
            }
        }
        if framing == "chunks" {
            stream.write_all(b"0\r\nX-Trailer: none\r\n\r\n").unwrap();
        }
    });
    let mut config = config_with_operator(&[addr]);
    config["settings"]["tiers-of-service"][0]["store-size"] = 100.0.into();
    let gateway = Gateway::new(&config);
    let at = gateway.operator();
    for (number, form) in ["length", "chunks", "close"].into_iter().enumerate() {
        let mut open = gateway.connect();
        let text = get_request(1, 1, 3000).replace(" HTTP/1.1", &format!("&form={form} HTTP/1.1"));
        open.get_mut().write_all(text.as_bytes()).unwrap();
        let mut response = Message::default();
        open.read_line(&mut response.first_line).unwrap();
        let mut line = String::new();
        let mut chunked = false;
        while open.read_line(&mut line).unwrap() > 2 {
            chunked |= line.to_ascii_lowercase().starts_with("transfer-encoding: chunked");
            line.clear();
        }
        let body = if chunked {
            read_chunks(&mut open).expect("a whole body")
        } else {
            let mut body = vec![0; LENGTH];
            open.read_exact(&mut body).unwrap();
            body
        };
        assert_eq!(response.status(), 200, "{form}");
        assert!(body == pattern(LENGTH), "{form}");
        wait_for_stat(at, &ended_metric("look", "fulfilled"), number as u64 + 1);
    }
    wait_for_stat(at, "relay_open_requests", 0);
}

/// A large response is forwarded as it arrives, also past the request's deadline.
#[test]
fn large_response_is_streamed_past_the_deadline() {
    let (resume_tx, resume_rx) = channel::<()>();
    let resume_rx = Mutex::new(resume_rx);
    let addr = serve_one_per_connection(move |_, stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n").unwrap();
        stream.write_all(&pattern(100_000)[..10]).unwrap();
        let _ = resume_rx.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        stream.write_all(&pattern(100_000)[10..]).unwrap();
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(1, 1, 700).as_bytes()).unwrap();
    let mut line = String::new();
    while open.read_line(&mut line).unwrap() > 2 {
        line.clear();
    }
    let mut body = vec![0; 100_000];
    open.read_exact(&mut body[..10]).unwrap();
    std::thread::sleep(Duration::from_millis(900));
    resume_tx.send(()).unwrap();
    open.read_exact(&mut body[10..]).unwrap();
    assert!(body == pattern(100_000));
}

#[test]
fn truncated_large_response_is_visible_to_the_client() {
    let addr = serve_one_per_connection(|_, stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n").unwrap();
        stream.write_all(&pattern(100_000)).unwrap();
    });
    let gateway = Gateway::new(&config_with_operator(&[addr]));
    let at = gateway.operator();
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(1, 1, 3000).as_bytes()).unwrap();
    let mut line = String::new();
    while open.read_line(&mut line).unwrap() > 2 {
        line.clear();
    }
    assert!(read_chunks(&mut open).is_none(), "the final chunk must be missing");
    wait_for_stat(at, &ended_metric("look", "faulted"), 1);
}

/// A client may send at a low rate for longer than the timeout of a small body.
#[test]
fn slow_body_is_accepted_and_stalled_body_is_rejected() {
    let addr = serve_one_per_connection(|message, stream| {
        let text = response_text(200, "Connection: close\r\n", &message.body.len().to_string());
        stream.write_all(text.as_bytes()).unwrap();
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    let mut slow = gateway.connect();
    let text = request_with_body(400_000, "Content-Length: 400000\r\n");
    for piece in text.chunks(9_600) {
        slow.get_mut().write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(95));
    }
    let response = read_message(&mut slow).expect("a response");
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"400000"[..]));
    let mut stalled = gateway.connect();
    stalled.get_mut().write_all(&text[..200_000]).unwrap();
    let response = read_message(&mut stalled).expect("a response");
    assert_eq!(response.status(), 408);
}

/// A streamed body can be retried only before a part of it was sent.
#[test]
fn streamed_body_is_retried_only_before_it_is_sent() {
    let addr = serve_one_per_connection(|message, stream| {
        let text = response_text(200, "Connection: close\r\n", &message.body.len().to_string());
        stream.write_all(text.as_bytes()).unwrap();
    });
    let text = request_with_body(5_000_000, "Content-Length: 5000000\r\n");
    for _ in 0..3 {
        let gateway = Gateway::new(&basic_config(&[refusing_address(), addr]));
        let mut open = gateway.connect();
        open.get_mut().write_all(&text).unwrap();
        assert_eq!(read_message(&mut open).unwrap().status(), 200);
    }
    let count = Arc::new(Mutex::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let breaks = listener.local_addr().unwrap();
    let seen = count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            *seen.lock().unwrap() += 1;
            // Reads a part, then resets.
            let _ = stream.unwrap().read_exact(&mut [0; 100_000]);
        }
    });
    let gateway = Gateway::new(&basic_config(&[breaks, breaks]));
    let mut open = gateway.connect();
    open.get_mut().write_all(&text).unwrap();
    // The request was not executed: the client may retry.
    assert_eq!(read_message(&mut open).unwrap().status(), 429);
    assert_eq!(*count.lock().unwrap(), 1);
}

/// Clients that do not read large responses must not exhaust the memory.
#[test]
fn large_responses_stay_within_the_memory_limit() {
    const LENGTH: usize = 16_000_000;
    let addr = serve_one_per_connection(|_, stream| {
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n").as_bytes());
        let body = vec![7; 1_000_000];
        while stream.write_all(&body).is_ok() {}
    });
    let mut config = basic_config(&[addr]);
    config["limits"]["memory_mb"] = 32.into();
    let gateway = Gateway::new(&config);
    let mut open: Vec<_> = (0..40).map(|_| gateway.connect()).collect();
    for (customer, open) in open.iter_mut().enumerate() {
        open.get_mut().write_all(get_request(customer as u64, 1, 3000).as_bytes()).unwrap();
        let mut line = String::new();
        open.read_line(&mut line).unwrap();
        assert!(line.contains(" 200 ") || line.contains(" 429 "), "{line}");
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak < 32 * 1024, "{peak} kB");
}
