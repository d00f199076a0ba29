//! The gateway on loopback sockets, against backends, a counter and discovery that the tests play.
#![allow(missing_docs)]

mod played;

use played::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

// ---- The tests --------------------------------------------------------------------------------------------

#[test]
fn passes_a_request_on_and_its_answer_back_unchanged() {
    let (backend, got) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let answer = gateway.request(&post_request("order", IDEMPOTENCY_KEY_HEADER, "two pallets"));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"stock: 12"[..]));
    let got = got.lock().unwrap();
    assert_eq!(got.len(), 1);
    assert_eq!(got[0].first_line, "POST /order?account=0000000000000007 HTTP/1.1");
    assert_eq!(got[0].headers["x-txn"], "9b1f03aa5c7e2d41");
    assert_eq!(got[0].headers["idempotency-key"], "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
    assert_eq!(got[0].body, b"two pallets");
    let remaining: u64 = got[0].headers["x-remaining-ms"].parse().unwrap();
    assert!(remaining > 0 && remaining < 3000, "{remaining}");
}

/// Totals come back with three decimals: an amount below that is lost and leaves a window unchecked.
#[test]
fn charges_stay_above_what_the_counter_rounds_away() {
    let (backend, _) = healthy_backend();
    let amounts = Arc::new(Mutex::new(Vec::new()));
    let silent = serve(|_| ServerAction::HangUntilClosed(channel().0));
    let gateway = Gateway::new(&config(&[backend], counter(amounts.clone()), silent));
    // Customers' windows roll at different times, so these stand anywhere in theirs.
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
fn refuses_at_once_beyond_the_quota_with_advice() {
    let (backend, got) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let statuses = [2, 1, 4].map(|units| gateway.get(9, units));
    assert_eq!([statuses[0].status(), statuses[1].status()], [200, 200]);
    assert_eq!(statuses[2].status(), 429);
    let advice: f64 = statuses[2].headers["retry-after"].parse().unwrap();
    assert!(advice > 0.0 && advice <= 2.0, "{advice}");
    assert_eq!(got.lock().unwrap().len(), 2);
}

#[test]
fn what_never_ran_goes_to_another_backend() {
    let (backend, got) = healthy_backend();
    let full = serve(|_| ServerAction::Respond(response_text(503, "X-Turned-Away: 1\r\n", "")));
    // An unsafe request may be sent again only if it is known not to have run.
    for bad in [refusing_address(), full] {
        let gateway = Gateway::new(&basic_config(&[bad, backend]));
        for _ in 0..2 {
            assert_eq!(gateway.request(&post_request("once", "", "x")).status(), 200);
        }
    }
    assert_eq!(got.lock().unwrap().len(), 4);
}

#[test]
fn what_may_have_run_is_not_sent_again_if_unsafe() {
    for play in [
        || ServerAction::Respond(response_text(500, "", "")),
        // Without the header a 503 proves nothing.
        || ServerAction::Respond(response_text(503, "", "")),
        || ServerAction::RespondAndClose(String::new()),
        // A body that ends too early is a reset, and no answer.
        || ServerAction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsto".to_owned()),
    ] {
        let count = Arc::new(Mutex::new(0));
        let seen = count.clone();
        let addr = serve(move |_| {
            *seen.lock().unwrap() += 1;
            play()
        });
        let gateway = Gateway::new(&basic_config(&[addr, addr]));
        assert_eq!(gateway.request(&post_request("once", "", "x")).status(), 502);
        assert_eq!(*count.lock().unwrap(), 1);
    }
}

#[test]
fn an_attempt_given_up_ends_its_connection_and_is_answered_in_time() {
    let (closed_to, closed) = channel();
    let addr = serve(move |_| ServerAction::HangUntilClosed(closed_to.clone()));
    let gateway = Gateway::new(&basic_config(&[addr, addr]));
    let start = Instant::now();
    let answer =
        gateway.request(&post_request("once", "", "x").replace("Remaining-Ms: 3000", "Remaining-Ms: 600"));
    // It may have run, so nothing is promised.
    assert_eq!(answer.status(), 502);
    assert!(start.elapsed() < Duration::from_millis(1400), "{:?}", start.elapsed());
    closed.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection ends");
    assert!(closed.try_recv().is_err(), "sent again");
}

#[test]
fn a_client_that_goes_frees_its_attempt() {
    let (closed_to, closed) = channel();
    let (begun_to, begun) = channel();
    let addr = serve(move |_| {
        let _ = begun_to.send(());
        ServerAction::HangUntilClosed(closed_to.clone())
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    let start = Instant::now();
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(3, 1, 3000).as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    drop(open);
    closed.recv_timeout(TEST_TIMEOUT).expect("the attempt is withdrawn");
    assert!(start.elapsed() < Duration::from_millis(1400), "only at its time-out");
}

#[test]
fn a_connection_that_broke_while_idle_is_not_used() {
    let count = Arc::new(Mutex::new(0));
    let seen = count.clone();
    let addr = serve(move |_| {
        *seen.lock().unwrap() += 1;
        ServerAction::RespondAndClose(response_text(200, "", "ok"))
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    for _ in 0..3 {
        // Sent into a broken connection it might have run, and would fail.
        assert_eq!(gateway.request(&post_request("once", "", "x")).status(), 200);
        // The end of the connection has to arrive.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(*count.lock().unwrap(), 3);
}

/// A peer, or the path to it, that drops a connection idle for over 100 ms and says so only by a reset once
/// it is used again. Counts these resets.
fn forgets_idle_connections(resets: Arc<Mutex<usize>>, play: fn(&Message) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, resets) = (stream.unwrap(), resets.clone());
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = read_message(&mut from) {
                    stream.write_all(play(&message).as_bytes()).unwrap();
                    let idle = Instant::now();
                    if stream.peek(&mut [0]).is_ok_and(|n| n > 0) && idle.elapsed().as_millis() > 100 {
                        // Closed with what came left unread: a reset.
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
fn idle_connections_that_break_are_soon_used_no_more() {
    let resets = Arc::default();
    let backend = forgets_idle_connections(Arc::clone(&resets), |_| response_text(200, "", "ok"));
    let gateway = Gateway::new(&basic_config(&[backend]));
    let mut failed = 0;
    for customer in 0..12 {
        // An unsafe request may not be sent again after a reset.
        let once = post_request("once", "", "x").replace("0007 HTTP", &format!("{customer:04x} HTTP"));
        failed += usize::from(gateway.request(&once).status() != 200);
        std::thread::sleep(Duration::from_millis(150));
    }
    assert!(failed <= 2, "{failed} of 12 failed");
    assert!(*resets.lock().unwrap() >= 1, "the first idle connection is used");
}

#[test]
fn idle_connections_to_the_counter_that_break_are_soon_used_no_more() {
    let resets = Arc::default();
    let counter = forgets_idle_connections(Arc::clone(&resets), |_| response_text(200, "", "0.0"));
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
fn requests_pass_while_the_counter_is_silent_broken_or_gone() {
    let (backend, _) = healthy_backend();
    let silent = serve(|_| ServerAction::HangUntilClosed(channel().0));
    let nonsense = serve(|_| ServerAction::Respond(response_text(200, "", "many")));
    let broken = serve(|_| ServerAction::RespondAndClose("no HTTP\r\n\r\n".to_owned()));
    for counter in [silent, nonsense, broken, refusing_address()] {
        let gateway =
            Gateway::new(&config(&[backend], counter, serve(|_| ServerAction::HangUntilClosed(channel().0))));
        for customer in 0..6 {
            assert_eq!(gateway.get(customer, 1).status(), 200);
        }
    }
}

/// The terms: such a connection is of no further use, though the amount was added.
#[test]
fn a_counter_connection_that_told_no_number_is_left() {
    let (backend, _) = healthy_backend();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (ended_to, ended) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, ended_to) = (stream.unwrap(), ended_to.clone());
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let mut calls = 0;
                while read_message(&mut from).is_some() {
                    calls += 1;
                    let _ = stream.write_all(response_text(200, "", "many").as_bytes());
                }
                let _ = ended_to.send(calls);
            });
        }
    });
    let gateway =
        Gateway::new(&config(&[backend], addr, serve(|_| ServerAction::HangUntilClosed(channel().0))));
    for customer in 0..2 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
        let calls = ended.recv_timeout(Duration::from_secs(2)).expect("the connection is ended at once");
        assert_eq!(calls, 1);
    }
}

#[test]
fn a_drain_is_kept_and_broken_lists_change_nothing() {
    let ((one, got_one), (two, _)) = (healthy_backend(), healthy_backend());
    let discovery = Discovery::new();
    let gateway = Gateway::new(&config(&[one, two], counter(Arc::default()), discovery.addr));
    let (line, mut watch) = discovery.watch();
    assert!(line.contains("index=7"), "{line}");
    let change = serde_json::json!({"version": 8, "full": false, "servers": [entry(0, one, "Terminating")]});
    send_discovery_line(&mut watch, &change.to_string());
    send_discovery_line(&mut watch, "{\"version\": 9, \"full\": tr");
    // What can't be read leaves a gap: the whole list is asked for.
    let (line, _) = discovery.watch();
    assert!(!line.contains("stream"), "{line}");
    let before = got_one.lock().unwrap().len();
    for customer in 0..10 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    assert_eq!(got_one.lock().unwrap().len(), before);
}

#[test]
fn a_watch_that_ends_is_opened_again_with_the_last_version() {
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

/// With few descriptors clients wait to be accepted; connections kept idle must not starve them.
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

/// Silent peers must not hold the places of clients: here they have taken them all.
#[test]
fn peers_that_send_no_whole_head_are_closed_in_time() {
    let (backend, _) = healthy_backend();
    let mut config = basic_config(&[backend]);
    config["limits"]["sockets"] = 48.into();
    let gateway = Gateway::new(&config);
    let start = Instant::now();
    let mut silent: Vec<_> = (0..16).map(|_| gateway.connect()).collect();
    silent[1].get_mut().write_all(b"GET /look?account=").unwrap();
    assert_eq!(gateway.get(1, 1).status(), 200);
    for peer in &mut silent {
        // Closed, with or without an error.
        assert!(peer.read_to_end(&mut Vec::new()).is_ok());
    }
    assert!(start.elapsed() < Duration::from_secs(12), "{:?}", start.elapsed());
}

/// A body that never comes must not hold a place for as long as its sender says it would wait.
#[test]
fn a_request_that_is_never_whole_is_answered_in_time() {
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
        assert_eq!(read_message(open).expect("an answer").status(), 408);
        assert!(open.read_to_end(&mut Vec::new()).is_ok(), "the connection is closed");
    }
    assert!(start.elapsed() < Duration::from_secs(12), "{:?}", start.elapsed());
    assert_eq!(got.lock().unwrap().len(), 1);
}

/// The protocol lets a gateway close a connection only once it has stood idle for 2 s.
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
fn bad_requests_are_the_clients_fault() {
    let (backend, got) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    let fine = get_request(1, 1, 3000);
    for (text, status) in [
        (fine.replace("/look", "/else"), 404),
        (fine.replace("GET", "DELETE"), 405),
        (fine.replace("X-Plan: small", "X-Plan: none"), 400),
        (fine.replace("X-Lane: look", "X-Lane: order"), 400),
        (fine.replace("X-Lane", "X-Other"), 400),
        (fine.replace("X-Txn", "X-Other"), 400),
        (fine.replace("X-Remaining-Ms: 3000", "X-Remaining-Ms: soon"), 400),
        (fine.replace("units=1", "units=NaN"), 400),
        (fine.replace("X-Quota", "X-Other"), 400),
        (fine.replace("account=0", "account=z"), 400),
        (fine.replace("account=0000", "account="), 400),
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
    assert_eq!(gateway.request(&fine).status(), 200);
}

#[test]
fn a_bad_configuration_is_told_in_one_line_that_names_the_field() {
    let mut config = basic_config(&[refusing_address()]);
    config["settings"]["rules"]["cold-from"] = "warm".into();
    let output = start(&config).0.wait_with_output().unwrap();
    let told = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(told.contains("settings.rules.cold-from") && told.trim_end().lines().count() == 1, "{told}");
}

#[test]
fn sigterm_answers_what_was_taken_and_ends_well() {
    let (begun_to, begun) = channel();
    let addr = serve(move |_| {
        let _ = begun_to.send(());
        std::thread::sleep(Duration::from_millis(900));
        ServerAction::Respond(response_text(200, "", "done"))
    });
    let mut gateway = Gateway::new(&basic_config(&[addr]));
    let mut open = gateway.connect();
    open.get_mut().write_all(get_request(1, 1, 3000).as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    let start = Instant::now();
    gateway.signal("-TERM");
    // It is unready at once but goes on taking what comes.
    let unready = loop {
        let answer = gateway.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        if answer.status() != 200 {
            break answer;
        }
    };
    assert_eq!((unready.status(), unready.headers["connection"].as_str()), (503, "close"));
    assert_eq!(read_message(&mut open).unwrap().body, b"done");
    assert!(gateway.child.wait().unwrap().success());
    assert!(start.elapsed() < Duration::from_secs(3));
    assert!(gateway.log.iter().all(|line| !line.contains("panic")));
}

#[test]
fn sighup_moves_to_the_addresses_that_the_configuration_names() {
    let ((one, _), (two, got)) = (healthy_backend(), healthy_backend());
    let (before, after) = (Discovery::new(), Discovery::new());
    let first = Arc::new(Mutex::new(Vec::new()));
    let mut config = config(&[one], counter(Arc::clone(&first)), before.addr);
    let gateway = Gateway::new(&config);
    let _former = before.watch();
    assert_eq!(gateway.get(1, 1).status(), 200);
    assert!(!first.lock().unwrap().is_empty());
    let then = Arc::new(Mutex::new(Vec::new()));
    config["discovery"] = after.addr.to_string().into();
    config["counter"] = counter(Arc::clone(&then)).to_string().into();
    reload(&gateway, &config.to_string());
    // The former watch is still open: it is left, and the list is taken anew.
    let (line, mut stream) = after.watch();
    assert!(!line.contains("stream"), "{line}");
    let list =
        serde_json::json!({"version": 9, "full": true, "servers": [entry(1, two, "Ready")]}).to_string();
    stream.write_all(response_text(200, "Connection: close\r\n", &list).as_bytes()).unwrap();
    let start = Instant::now();
    for customer in 0.. {
        assert!(start.elapsed() < TEST_TIMEOUT, "never at the new addresses");
        assert_eq!(gateway.get(customer, 1).status(), 200);
        if !got.lock().unwrap().is_empty() && !then.lock().unwrap().is_empty() {
            break;
        }
    }
}

#[test]
fn sighup_with_a_broken_configuration_changes_nothing() {
    let (backend, _) = healthy_backend();
    let gateway = Gateway::new(&basic_config(&[backend]));
    reload(&gateway, "{\"name\": ");
    let told = gateway.log.iter().find(|line| line.contains("SIGHUP")).expect("it is told");
    assert!(told.contains("WARN"), "{told}");
    assert_eq!(gateway.get(1, 1).status(), 200);
}

#[test]
fn strangers_and_long_messages_between_gateways_are_dropped() {
    let (backend, _) = healthy_backend();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = {
        // A port that was free a moment ago.
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
    let mut answer = [0; 300];
    let (length, _) = peer.recv_from(&mut answer).expect("the known gateway is answered");
    assert_eq!((length, answer[1]), (13, 2));
}

// ---- Operators --------------------------------------------------------------------------------------------

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
    // Whoever comes all the same is served and asked to go; the idle connection is closed in time.
    let answer = gateway.get(2, 1);
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (200, "close"));
    assert!(read_message(&mut idle).is_none());
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert_eq!(operator_request(at, "POST /admin/resume").status(), 200);
    assert!(gateway.ready());
    assert!(!gateway.get(3, 1).headers.contains_key("connection"));
    // And SIGTERM ends it while it is drained.
    assert_eq!(operator_request(at, "POST /admin/quiesce").status(), 200);
    gateway.signal("-TERM");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn running_requests_outlast_a_drain() {
    let (begun_to, begun) = channel();
    let addr = serve(move |_| {
        let _ = begun_to.send(());
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
    assert_eq!(read_message(&mut open).expect("an answer").body, b"done");
    assert!(read_message(&mut open).is_none(), "it is closed after that");
}

#[test]
fn other_calls_of_operators_are_turned_down() {
    let (backend, _) = healthy_backend();
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let at = gateway.operator();
    assert_eq!(operator_request(at, "GET /admin").status(), 404);
    let wrong = operator_request(at, "GET /admin/quiesce");
    assert_eq!((wrong.status(), wrong.headers["allow"].as_str()), (405, "POST"));
    assert_eq!(operator_request(at, "POST /admin/health").status(), 405);
    assert!(gateway.ready());
    // What operators may call, clients may not.
    assert_eq!(
        gateway.request("POST /admin/quiesce HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").status(),
        404
    );
}

/// Neither clients that hold every place nor callers that say nothing keep an operator waiting.
#[test]
fn an_operator_is_heard_however_many_hang_on() {
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
        // Closed, with or without an error.
        assert!(caller.read_to_end(&mut Vec::new()).is_ok());
    }
}

// ---- A new version beside the old one ---------------------------------------------------------------------

#[test]
fn a_second_process_takes_over_the_listener_and_loses_nothing() {
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
    let ended = loop {
        assert_eq!(new.get(customer, 1).status(), 200, "a request while both run");
        customer += 1;
        if let Some(status) = old.child.try_wait().unwrap() {
            break status;
        }
        if customer == 4 {
            // What clients kept open is served by the old process, which asks them to go.
            kept.get_mut().write_all(get_request(99, 1, 3000).as_bytes()).unwrap();
            let answer = read_message(&mut kept).unwrap();
            assert_eq!((answer.status(), answer.headers["connection"].as_str()), (200, "close"));
        }
    };
    assert!(ended.success());
    assert!(start.elapsed() < TEST_TIMEOUT);
    assert_eq!(new.get(customer, 1).status(), 200, "the listener outlives the old process");
}

/// What the old process holds by itself passes to the new one when it ends, and not before.
#[test]
fn addresses_of_the_old_process_are_left_to_it_until_it_ends() {
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
    // The new process hears the other gateways once it has the address: asked for a customer's room, it answers.
    let mut ask = vec![1];
    ask.extend(5u64.to_le_bytes());
    ask.extend(7u64.to_le_bytes());
    ask.push(0);
    ask.extend(1f32.to_le_bytes());
    peer.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let start = Instant::now();
    let mut answer = [0; 300];
    while peer.recv_from(&mut answer).is_err() {
        assert!(start.elapsed() < TEST_TIMEOUT, "never answered");
        peer.send_to(&ask, config["peer_listen"].as_str().unwrap()).unwrap();
    }
    assert_eq!(answer[1], 5);
}

/// Descriptors that a process holds.
fn descriptors(child: &Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, Iterator::count)
}

#[test]
fn two_processes_hold_no_more_descriptors_than_one_may() {
    let backend = serve(|_| {
        std::thread::sleep(Duration::from_millis(300));
        ServerAction::Respond(response_text(200, "", "ok"))
    });
    let mut config = config_with_operator(&[backend]);
    config["limits"]["sockets"] = 140.into();
    config["settings"]["categories"][0]["aim-ms"] = 3000.into();
    let (listener, temporary) = (TcpListener::bind("127.0.0.1:0").unwrap(), new_temp_dir());
    // Left by processes that were ended: broken, of another time, too long.
    for (number, text) in
        ["{\"started", "{\"started_ms\":1,\"written_ms\":1,\"held\":900}", &"9".repeat(100_000)]
            .into_iter()
            .enumerate()
    {
        std::fs::write(temporary.join(format!("heronstage-beside-1-{number}")), text).unwrap();
    }
    let old = Gateway::started(start_inheriting(&config, &listener, &temporary));
    // Clients that take every place they get, each with a request at work.
    let mut hold = std::collections::VecDeque::new();
    let mut customers = 0..;
    let mut come = |hold: &mut std::collections::VecDeque<_>, gateway: &Gateway| {
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
        come(&mut hold, &old);
        assert!(start.elapsed() < TEST_TIMEOUT, "never full");
    }
    let new = Gateway::started(start_inheriting(&config, &listener, &temporary));
    let at = new.operator();
    let (both, mut most) = (Instant::now(), 0);
    while both.elapsed() < Duration::from_secs(3) {
        come(&mut hold, &new);
        most = most.max(descriptors(&old.child) + descriptors(&new.child));
    }
    assert!(most <= 140, "{most} descriptors");
    assert_eq!(operator_request(at, "GET /admin/health").status(), 200);
    // With the other gone everything is there again.
    drop((hold, old));
    assert_eq!(new.get(1, 1).status(), 200);
    let (start, mut hold) = (Instant::now(), std::collections::VecDeque::new());
    while descriptors(&new.child) < 90 {
        come(&mut hold, &new);
        assert!(start.elapsed() < TEST_TIMEOUT, "its places are not back");
    }
}

#[test]
fn an_inherited_descriptor_that_is_no_socket_is_told() {
    let path = write_config(&basic_config(&[refusing_address()]));
    let mut command = Command::new(env!("CARGO_BIN_EXE_heronstage"));
    command.env("RELAY_CONFIG", &path).env("RELAY_LISTEN_FD", "0").stdin(Stdio::null());
    let output = command.output().unwrap();
    let told = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert!(told.contains("RELAY_LISTEN_FD") && told.trim_end().lines().count() == 1, "{told}");
}

// ---- Figures ----------------------------------------------------------------------------------------------

fn ended(class: &str, status: &str) -> String {
    format!("relay_operations_total{{priority=\"{class}\",status=\"{status}\"}}")
}

#[test]
fn figures_tell_what_became_of_requests() {
    let (begun_to, begun) = channel();
    let (good, _) = healthy_backend();
    let hush = serve(move |_| {
        let _ = begun_to.send(());
        ServerAction::HangUntilClosed(channel().0)
    });
    let full = serve(|_| ServerAction::Respond(response_text(503, "X-Turned-Away: 1\r\n", "")));
    let discovery = Discovery::new();
    let mut config = config(&[good, full], counter(Arc::default()), discovery.addr);
    config["operator"] = "127.0.0.1:0".into();
    let gateway = Gateway::new(&config);
    let at = gateway.operator();
    for status in ["fulfilled", "throttled", "faulted"] {
        wait_for_stat(at, &ended("once", status), 0);
    }
    wait_for_stat(at, "relay_registry_entries", 2);
    wait_for_stat(at, "relay_out_of_rotation", 0);
    // Both backends get what never ran, if the full one is asked first; the customer's third is far over its
    // quota, and the first two leave some of it: the counter rounds, so a quota used up to nothing may be passed.
    assert_eq!([2, 1, 4].map(|units| gateway.get(9, units).status()), [200, 200, 429]);
    wait_for_stat(at, &ended("look", "fulfilled"), 2);
    wait_for_stat(at, &ended("look", "throttled"), 1);
    // No request of a class: nobody's figure.
    assert_eq!(gateway.request(&get_request(1, 1, 3000).replace("X-Txn", "X-Other")).status(), 400);
    let (_, mut watch) = discovery.watch();
    let change = |version: u64, servers: &[serde_json::Value]| {
        serde_json::json!({"version": version, "full": false, "servers": servers}).to_string()
    };
    send_discovery_line(
        &mut watch,
        &change(8, &[entry(0, good, "Terminating"), entry(1, full, "Gone"), entry(2, hush, "Ready")]),
    );
    wait_for_stat(at, "relay_registry_entries", 2);
    wait_for_stat(at, "relay_out_of_rotation", 1);
    let mut open = gateway.connect();
    let text = post_request("once", "", "x").replace("Remaining-Ms: 3000", "Remaining-Ms: 900");
    open.get_mut().write_all(text.as_bytes()).unwrap();
    begun.recv_timeout(TEST_TIMEOUT).unwrap();
    wait_for_stat(at, "relay_open_requests", 1);
    assert_eq!(read_message(&mut open).unwrap().status(), 502);
    wait_for_stat(at, &ended("once", "faulted"), 1);
    wait_for_stat(at, "relay_open_requests", 0);
    std::fs::write(&gateway.path, "").unwrap();
    gateway.signal("-HUP");
    wait_for_stat(at, "relay_cfg_invalid_total", 1);
    reload(&gateway, &config.to_string());
    wait_for_stat(at, "relay_cfg_accepted_total", 1);
}

/// Each attempt written whole counts, one that found no connection does not.
#[test]
fn attempts_count_once_they_are_written() {
    let turned = Arc::new(Mutex::new(0));
    let seen = turned.clone();
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
    let written = *turned.lock().unwrap() + got.lock().unwrap().len() as u64;
    wait_for_stat(at, "relay_relayed_total", written);
}

// ---- Settings that change ---------------------------------------------------------------------------------

#[test]
fn sighup_brings_other_settings_and_open_requests_keep_theirs() {
    let (begun_to, begun) = channel();
    let (go_on, goes_on) = channel::<()>();
    let goes_on = Mutex::new(goes_on);
    let count = Arc::new(Mutex::new(0));
    let seen = count.clone();
    let held = serve(move |m| {
        if m.first_line.contains("/once") {
            *seen.lock().unwrap() += 1;
            let _ = begun_to.send(());
            let _ = goes_on.lock().unwrap().recv_timeout(TEST_TIMEOUT);
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
    // `once` may be repeated from now on, `order` is gone and `new` is there, before the others.
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
    // The open one may have run and must not run again, as its class was.
    go_on.send(()).unwrap();
    assert_eq!(read_message(&mut open).unwrap().status(), 502);
    assert_eq!(*count.lock().unwrap(), 1);
    wait_for_stat(at, &ended("once", "faulted"), 1);
}

#[test]
fn broken_files_leave_the_settings_whole() {
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
        // Not needed by this program, but it was there before.
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

// ---- Room -------------------------------------------------------------------------------------------------

/// Bytes that tell where they stand.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n / 251 + n) as u8).collect()
}

/// Reads a body in chunks, with whatever stands behind their sizes.
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

/// A backend that takes one request a connection, also in chunks, and hands it to the play.
fn takes_all(play: impl Fn(Message, &mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let play = Arc::new(play);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, play) = (stream.unwrap(), play.clone());
            std::thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let Some(mut message) = read_message(&mut from) else { return };
                if message.headers.contains_key("transfer-encoding") {
                    let Some(body) = read_chunks(&mut from) else { return };
                    message.body = body;
                }
                play(message, &mut stream);
            });
        }
    });
    addr
}

fn body_of(length: usize, framing: &str) -> Vec<u8> {
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
    let addr = takes_all(|message, stream| {
        let same = message.body == pattern(message.body.len());
        let text = response_text(200, "Connection: close\r\n", &format!("{} {same}", message.body.len()));
        stream.write_all(text.as_bytes()).unwrap();
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    for length in [70_000, 5_000_000] {
        for framing in [format!("Content-Length: {length}\r\n"), "Transfer-Encoding: chunked\r\n".to_owned()]
        {
            let mut open = gateway.connect();
            open.get_mut().write_all(&body_of(length, &framing)).unwrap();
            let answer = read_message(&mut open).expect("an answer");
            let told = (answer.status(), String::from_utf8(answer.body).unwrap());
            assert_eq!(told, (200, format!("{length} true")), "{framing}");
        }
    }
}

/// Each way in which an answer may be framed, in small pieces and large ones.
#[test]
fn large_answers_reach_the_client_unchanged() {
    const LENGTH: usize = 3_000_000;
    let addr = takes_all(|message, stream| {
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
        let mut answer = Message::default();
        open.read_line(&mut answer.first_line).unwrap();
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
        assert_eq!(answer.status(), 200, "{form}");
        assert!(body == pattern(LENGTH), "{form}");
        wait_for_stat(at, &ended("look", "fulfilled"), number as u64 + 1);
    }
    wait_for_stat(at, "relay_open_requests", 0);
}

/// The first bytes of a large answer are passed on while the rest is still to come, past its deadline too.
#[test]
fn a_large_answer_is_passed_on_as_it_comes_and_not_cut_at_its_deadline() {
    let (go_on, goes_on) = channel::<()>();
    let goes_on = Mutex::new(goes_on);
    let addr = takes_all(move |_, stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n").unwrap();
        stream.write_all(&pattern(100_000)[..10]).unwrap();
        let _ = goes_on.lock().unwrap().recv_timeout(TEST_TIMEOUT);
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
    go_on.send(()).unwrap();
    open.read_exact(&mut body[10..]).unwrap();
    assert!(body == pattern(100_000));
}

#[test]
fn a_large_answer_that_breaks_is_seen_to_be_broken() {
    let addr = takes_all(|_, stream| {
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
    assert!(read_chunks(&mut open).is_none(), "its end must be missing");
    wait_for_stat(at, &ended("look", "faulted"), 1);
}

/// A client may go at 64 kB a second, for longer than a whole request once had.
#[test]
fn a_slow_body_is_waited_for_and_a_stalled_one_is_not() {
    let addr = takes_all(|message, stream| {
        let text = response_text(200, "Connection: close\r\n", &message.body.len().to_string());
        stream.write_all(text.as_bytes()).unwrap();
    });
    let gateway = Gateway::new(&basic_config(&[addr]));
    let mut slow = gateway.connect();
    let text = body_of(400_000, "Content-Length: 400000\r\n");
    for piece in text.chunks(9_600) {
        slow.get_mut().write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(95));
    }
    let answer = read_message(&mut slow).expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"400000"[..]));
    let mut stalled = gateway.connect();
    stalled.get_mut().write_all(&text[..200_000]).unwrap();
    let answer = read_message(&mut stalled).expect("an answer");
    assert_eq!(answer.status(), 408);
}

/// A large body is gone once a part of it was sent on; before that another backend may have it.
#[test]
fn a_large_body_goes_to_another_backend_only_before_it_is_sent() {
    let addr = takes_all(|message, stream| {
        let text = response_text(200, "Connection: close\r\n", &message.body.len().to_string());
        stream.write_all(text.as_bytes()).unwrap();
    });
    let text = body_of(5_000_000, "Content-Length: 5000000\r\n");
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
    // It never ran: the client may try again.
    assert_eq!(read_message(&mut open).unwrap().status(), 429);
    assert_eq!(*count.lock().unwrap(), 1);
}

/// Clients that read nothing of large answers must not fill the memory.
#[test]
fn many_large_answers_stay_within_their_part_of_memory() {
    const LENGTH: usize = 16_000_000;
    let addr = takes_all(|_, stream| {
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
