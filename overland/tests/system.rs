//! The system's real processes on loopback: three of the core, one agent, one proxy, and a backend that this test plays.

mod processes;

use processes::{backend, beat, call, config, signal, until, Fleet, Gateway, PATIENCE};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

#[test]
fn the_whole_path_serves_forgets_nothing_and_ends_in_order() {
    let fleet = Fleet::new(3);
    let cores: Vec<_> = (0..3).map(|number| fleet.core(number, true)).collect();
    let control = |number: usize| fleet.seeds[number].as_str();
    let put = |number: usize, body: &str| {
        call(control(number), "POST", "/api/Config.Put", "", body).map(|a| a.status)
    };

    // A configuration is taken by whoever is asked, once; the same again is acknowledged, another on its base is not.
    let first = config(3, "0", r#""k1","k2""#);
    until("an acknowledgement", || put(0, &first).filter(|status| *status == 200));
    until("the same from another", || put(1, &first).filter(|status| *status == 200));
    until("a conflict", || {
        put(2, &config(4, "0", r#""k3""#)).filter(|status| *status != 503).map(|s| assert_eq!(s, 412))
    });
    until("a refusal", || {
        let bad = config(5, "r3", r#""k3""#).replace("\"service\":\"s1\"", "\"service\":\"s9\"");
        put(0, &bad).filter(|status| *status != 503).map(|status| assert_eq!(status, 400))
    });

    let (server, came) = backend();
    let beat = beat(&server, 1);
    let beats = || {
        call(control(1), "POST", "/api/Instances.Beat/i-1", "", &beat).filter(|a| a.status == 200).map(
            |answer| {
                assert!(fleet.seeds.iter().any(|seed| answer.body.contains(seed)), "{}", answer.body);
            },
        )
    };
    until("the backend's acknowledgement", beats);

    // The gateway comes up, and is told to clients.
    let Gateway { agent: _agent, mut proxy, front, ready } = fleet.gateway("gateway", "127.0.0.5");
    let resolve = "/api/resolve?name=a.example&region=r&zone=a";
    until("the gateway's address", || {
        call(control(2), "GET", resolve, "", "").filter(|a| a.body.contains(&front))
    });

    // Whoever is asked tells of all: the core, copies that are the same, the gateway and the backend.
    let status = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_narcissus"))
            .args(["status", "--core", control(1)])
            .args(args)
            .output()
            .expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    until("a table with a leader, three copies that are the same, a ready gateway and a backend", || {
        let (code, text) = status(&[]);
        let told = ["leads", "configuration r3", "gateway  a     ready", "s1       a     1     0"];
        (code == Some(0) && text.matches("same").count() == 3 && told.iter().all(|told| text.contains(told)))
            .then_some(())
    });
    assert!(status(&["--json"]).1.starts_with("[{\"address\":"));

    // Garbage at every port hurts nobody.
    let inner = format!("127.0.0.2:{}", fleet.inner);
    for addr in [control(0), inner.as_str(), front.as_str(), ready.as_str()] {
        let mut stream = TcpStream::connect(addr).expect("it listens");
        // It may be cut off in the middle.
        let _ = stream.write_all(&(0..65_536u32).map(|n| ((n * 7919) >> 3) as u8).collect::<Vec<_>>());
    }

    let ask = |path: &str, key: &str| {
        let headers = format!(
            "Host: a.example\r\nRequest-Id: id-1\r\nDeadline-Ms: 5000\r\nTenant: somebody\r\nAuthorization: Bearer {key}\r\n"
        );
        call(&front, "POST", path, &headers, "body")
    };
    let served = until("an answer", || ask("/x/1?q=2", "k1").filter(|a| a.status == 200));
    assert!(served.head.contains("stamp: s.1") && served.head.contains("x-own: 7"), "{}", served.head);
    assert_eq!(served.body, "hello");
    let seen = came.recv_timeout(PATIENCE).expect("the backend got it").to_ascii_lowercase();
    assert!(seen.starts_with("post /x/1?q=2 http/1.1") && seen.ends_with("body"), "{seen}");
    assert!(seen.contains("tenant: t1") && !seen.contains("somebody") && !seen.contains("bearer"), "{seen}");
    assert!(seen.contains("expect-instance: i-1") && seen.contains("request-id: id-1"), "{seen}");
    assert_eq!(ask("/x/1", "k9").map(|a| a.status), Some(401));
    assert_eq!(ask("/y/1", "k1").map(|a| a.status), Some(404));

    // Two behind one another on a connection are at the backend together, and are answered in order.
    let mut stream = TcpStream::connect(&front).expect("it listens");
    let pair = |id: u32| {
        format!("GET /s/pair HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 30000\r\n\r\n")
    };
    stream.write_all((pair(1) + &pair(2)).as_bytes()).expect("it reads");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time");
    let mut text = String::new();
    until("both answers", || {
        let mut piece = [0; 1024];
        let read = stream.read(&mut piece).expect("an answer");
        assert!(read > 0, "it closed after {text}");
        text += &String::from_utf8_lossy(&piece[..read]);
        (text.matches("hello").count() == 2).then_some(())
    });
    let (one, two) = (text.find("request-id: 1"), text.find("request-id: 2"));
    assert!(one.is_some() && one < two, "{text}");
    (0..2).for_each(|_| drop(came.recv_timeout(PATIENCE)));

    // What came of all this is counted.
    let figures = call(&ready, "GET", "/metrics", "", "").expect("figures");
    assert_eq!(figures.status, 200);
    for line in [
        "pelion_answers_total{status=\"401\"} 1",
        "pelion_ahead_total 1",
        "pelion_ready 1",
        "pelion_mended_total 0",
    ] {
        assert!(figures.body.contains(line), "{line} is not in {}", figures.body);
    }
    assert!(figures.body.trim_end().ends_with("# EOF") && figures.body.matches("# EOF").count() == 1);

    // A key that is taken away works nowhere once that is acknowledged.
    until("a key taken away", || put(2, &config(6, "r3", r#""k1""#)).filter(|status| *status == 200));
    until("its end", || ask("/x/1", "k2").filter(|a| a.status == 401));

    // All of the core dies at once, and one forgets everything: what was acknowledged is there.
    drop(cores);
    std::fs::remove_dir_all(fleet.folder.path().join("core2")).expect("its folder");
    let cores: Vec<_> = (0..3).map(|number| fleet.core(number, false)).collect();
    let get =
        |number: usize| call(control(number), "GET", "/api/Config.Get", "", "").filter(|a| a.status == 200);
    let text = until("the configuration", || get(2)).body;
    assert!(text.contains("\"edition\":\"r6\"") && text.contains("\"sealed\":false"), "{text}");
    until("the acknowledgement of what was taken", || put(0, &first).filter(|status| *status == 200));
    until("an answer by the new core", || ask("/x/2", "k1").filter(|a| a.status == 200));

    // Other settings are read at a SIGHUP, which ends nobody. SIGTERM turns the gateway away, and it ends by itself.
    signal(&proxy, "-HUP");
    signal(&cores[0], "-HUP");
    until("an answer after SIGHUP", || ask("/x/3", "k1").filter(|a| a.status == 200));
    signal(&proxy, "-TERM");
    until("an unready gateway", || call(&ready, "GET", "/api/ready", "", "").filter(|a| a.status == 503));
    until("nobody is told of it", || call(control(0), "GET", resolve, "", "").filter(|a| a.status == 503));
    assert!(proxy.0.wait().expect("it ends").success());
}
