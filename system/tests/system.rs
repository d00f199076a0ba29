//! The real processes on loopback: three core processes, one agent and one proxy, with a simulated backend.

mod processes;

use processes::{backend, call, config, heartbeat_body, signal, until, Fleet, Gateway, WAIT_TIMEOUT};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

#[test]
fn serves_requests_keeps_state_across_restarts_and_shuts_down_cleanly() {
    let fleet = Fleet::new(3);
    let cores: Vec<_> = (0..3).map(|number| fleet.core(number, true)).collect();
    let control = |number: usize| fleet.seeds[number].as_str();
    let put = |number: usize, body: &str| {
        call(control(number), "POST", "/api/Config.Put", "", body).map(|response| response.status)
    };

    // Any core process accepts a configuration; a retry is acknowledged, and another update of the same base
    // is a conflict.
    let first = config(3, "0", r#""k1","k2""#);
    until("an acknowledgement", || put(0, &first).filter(|status| *status == 200));
    until("an acknowledgement of a retry from another core process", || {
        put(1, &first).filter(|status| *status == 200)
    });
    until("a conflict", || {
        put(2, &config(4, "0", r#""k3""#))
            .filter(|status| *status != 503)
            .map(|status| assert_eq!(status, 412))
    });
    until("a refusal", || {
        let invalid = config(5, "r3", r#""k3""#).replace("\"service\":\"s1\"", "\"service\":\"s9\"");
        put(0, &invalid).filter(|status| *status != 503).map(|status| assert_eq!(status, 400))
    });

    let (server, received) = backend();
    let body = heartbeat_body(&server, 1);
    let heartbeat = || {
        call(control(1), "POST", "/api/Instances.Beat/i-1", "", &body)
            .filter(|response| response.status == 200)
            .map(|response| {
                assert!(fleet.seeds.iter().any(|seed| response.body.contains(seed)), "{}", response.body);
            })
    };
    until("the backend's acknowledgement", heartbeat);

    // Once ready, the gateway is listed to clients.
    let Gateway { agent: _agent, mut proxy, client_addr: front, ready_addr: ready } =
        fleet.gateway("gateway", "127.0.0.5");
    let resolve = "/api/resolve?name=a.example&region=r&zone=a";
    until("the gateway's address", || {
        call(control(2), "GET", resolve, "", "").filter(|response| response.body.contains(&front))
    });

    // A core process reports the status of all: core processes, replicas, gateway and backend.
    let status = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_oakfall-core"))
            .args(["status", "--core", control(1)])
            .args(args)
            .output()
            .expect("the program runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    until("a status with a leader, three equal replicas, a ready gateway and a backend", || {
        let (code, text) = status(&[]);
        let expected = ["leads", "configuration r3", "gateway  a     ready", "s1       a     1     0"];
        (code == Some(0)
            && text.matches("same").count() == 3
            && expected.iter().all(|expected| text.contains(expected)))
        .then_some(())
    });
    assert!(status(&["--json"]).1.starts_with("[{\"address\":"));

    // Invalid bytes at every port do no harm.
    let inner = format!("127.0.0.2:{}", fleet.inner_port);
    for addr in [control(0), inner.as_str(), front.as_str(), ready.as_str()] {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        // The peer may close the connection early.
        let _ = stream.write_all(&(0..65_536u32).map(|n| ((n * 7919) >> 3) as u8).collect::<Vec<_>>());
    }

    let request = |path: &str, key: &str| {
        let headers = format!(
            "Host: a.example\r\nRequest-Id: id-1\r\nDeadline-Ms: 5000\r\nTenant: somebody\r\nAuthorization: Bearer {key}\r\n"
        );
        call(&front, "POST", path, &headers, "body")
    };
    let response = until("a response", || request("/x/1?q=2", "k1").filter(|r| r.status == 200));
    assert!(response.head.contains("stamp: s.1") && response.head.contains("x-own: 7"), "{}", response.head);
    assert_eq!(response.body, "hello");
    let seen = received.recv_timeout(WAIT_TIMEOUT).expect("the backend received it").to_ascii_lowercase();
    assert!(seen.starts_with("post /x/1?q=2 http/1.1") && seen.ends_with("body"), "{seen}");
    assert!(seen.contains("tenant: t1") && !seen.contains("somebody") && !seen.contains("bearer"), "{seen}");
    assert!(seen.contains("expect-instance: i-1") && seen.contains("request-id: id-1"), "{seen}");
    assert_eq!(request("/x/1", "k9").map(|response| response.status), Some(401));
    assert_eq!(request("/y/1", "k1").map(|response| response.status), Some(404));

    // Two pipelined requests are at the backend concurrently, and are answered in order.
    let mut stream = TcpStream::connect(&front).expect("a connection");
    let pair_request = |id: u32| {
        format!("GET /s/pair HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 30000\r\n\r\n")
    };
    stream.write_all((pair_request(1) + &pair_request(2)).as_bytes()).expect("the request is sent");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    let mut text = String::new();
    until("both responses", || {
        let mut buffer = [0; 1024];
        let read = stream.read(&mut buffer).expect("a response");
        assert!(read > 0, "the connection was closed after {text}");
        text += &String::from_utf8_lossy(&buffer[..read]);
        (text.matches("hello").count() == 2).then_some(())
    });
    let (first_at, second_at) = (text.find("request-id: 1"), text.find("request-id: 2"));
    assert!(first_at.is_some() && first_at < second_at, "{text}");
    (0..2).for_each(|_| drop(received.recv_timeout(WAIT_TIMEOUT)));

    // The metrics count the requests above.
    let metrics = call(&ready, "GET", "/metrics", "", "").expect("metrics");
    assert_eq!(metrics.status, 200);
    for line in [
        "pelion_answers_total{status=\"401\"} 1",
        "pelion_ahead_total 1",
        "pelion_ready 1",
        "pelion_mended_total 0",
    ] {
        assert!(metrics.body.contains(line), "{line} is not in {}", metrics.body);
    }
    assert!(metrics.body.trim_end().ends_with("# EOF") && metrics.body.matches("# EOF").count() == 1);

    // A revoked key is rejected.
    until("the revocation of a key", || put(2, &config(6, "r3", r#""k1""#)).filter(|status| *status == 200));
    until("the rejection of the key", || request("/x/1", "k2").filter(|response| response.status == 401));

    // All core processes are killed at once and one loses its disk; acknowledged updates survive.
    drop(cores);
    std::fs::remove_dir_all(fleet.folder.path().join("core2")).expect("its data directory");
    let cores: Vec<_> = (0..3).map(|number| fleet.core(number, false)).collect();
    let get =
        |number: usize| call(control(number), "GET", "/api/Config.Get", "", "").filter(|r| r.status == 200);
    let text = until("the configuration", || get(2)).body;
    assert!(text.contains("\"edition\":\"r6\"") && text.contains("\"sealed\":false"), "{text}");
    until("the acknowledgement of a retry", || put(0, &first).filter(|status| *status == 200));
    until("a response after the restart", || request("/x/2", "k1").filter(|r| r.status == 200));

    // SIGHUP reloads the settings without a restart. At SIGTERM the gateway is delisted and exits by itself.
    signal(&proxy, "-HUP");
    signal(&cores[0], "-HUP");
    until("a response after SIGHUP", || request("/x/3", "k1").filter(|r| r.status == 200));
    signal(&proxy, "-TERM");
    until("an unready gateway", || call(&ready, "GET", "/api/ready", "", "").filter(|r| r.status == 503));
    until("the gateway's delisting", || call(control(0), "GET", resolve, "", "").filter(|r| r.status == 503));
    assert!(proxy.0.wait().expect("an exit status").success());
}
