//! Metrics compared with the clients' own counts, and the text formats of metrics.
#![allow(missing_docs)]

mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Values of samples by name and labels.
type Samples = BTreeMap<String, f64>;

/// Parses the OpenMetrics text format and checks its rules.
fn parse_open_metrics(text: &str) -> Samples {
    assert!(text.ends_with("# EOF\n"), "the text ends with the EOF marker");
    let mut kinds = BTreeMap::new();
    let mut samples = Samples::new();
    for line in text.lines() {
        let words: Vec<_> = line.splitn(4, ' ').collect();
        match words[..] {
            ["#", "TYPE", name, kind] => assert!(kinds.insert(name, kind).is_none(), "{name} has two types"),
            ["#", "HELP", name, help] => assert!(kinds.contains_key(name) || !help.is_empty(), "{line}"),
            ["#", "UNIT", name, unit] => assert!(name.ends_with(&format!("_{unit}")), "{line}"),
            ["#", "EOF"] => {}
            _ => {
                let (name, value) = line.rsplit_once(' ').unwrap();
                let bare = name.split('{').next().unwrap();
                let family = ["_total", "_bucket", "_count", "_sum"]
                    .iter()
                    .find_map(|end| bare.strip_suffix(end).filter(|family| kinds.contains_key(family)))
                    .unwrap_or(bare);
                let kind = kinds.get(family).unwrap_or_else(|| panic!("no TYPE line for {line}"));
                assert!(*kind != "counter" || bare.ends_with("_total"), "{line}");
                assert!(
                    samples.insert(name.to_owned(), value.parse().unwrap()).is_none(),
                    "duplicate sample {name}"
                );
            }
        }
    }
    // Bucket values do not decrease, and the last bucket equals the count.
    let mut previous: Option<(String, f64)> = None;
    for line in text.lines().filter(|line| line.contains("_bucket{le=") || line.contains("_bucket{")) {
        let (name, value) = line.rsplit_once(' ').unwrap();
        let value: f64 = value.parse().unwrap();
        let (start, rest) = name.split_once("le=\"").unwrap();
        let (bound, rest) = rest.split_once('"').unwrap();
        let series = format!("{start}{rest}");
        if let Some((_, least)) = previous.as_ref().filter(|(s, _)| *s == series) {
            assert!(value >= *least, "{line}");
        }
        if bound == "+Inf" {
            let labels =
                series.replace("_bucket{", "_count{").replace(",}", "}").replace("{,", "{").replace("{}", "");
            assert_eq!(samples.get(&labels), Some(&value), "{line} {labels}");
        }
        previous = Some((series, value));
    }
    samples
}

fn connect(addr: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    BufReader::new(stream)
}

fn metrics(at: SocketAddr) -> Samples {
    let response = operator_request(at, "GET /metrics");
    assert_eq!(
        response.headers["content-type"],
        "application/openmetrics-text; version=1.0.0; charset=utf-8"
    );
    parse_open_metrics(&String::from_utf8(response.body).unwrap())
}

/// The request with this number. The number selects the outcome: over quota, server failure, client error or success.
fn request_text(number: u64) -> String {
    let customer = number % 997;
    match number % 20 {
        // Far over the quota.
        0..=3 => get_request(customer, 1000, 3000),
        4 => post_request("once", "", "fail"),
        5 => post_request("order", IDEMPOTENCY_KEY_HEADER, "fail"),
        6 => get_request(customer, 1, 3000).replace("/look?", "/nothing?"),
        7 => get_request(customer, 1, 3000).replace("GET", "PUT"),
        8 => get_request(customer, 1, 3000).replace("X-Plan: small", "X-Plan: none"),
        9 => post_request("once", "", "fine"),
        _ => get_request(customer, 1, 3000),
    }
}

#[test]
fn metrics_match_the_clients_counts_of_10000_requests() {
    const CLIENTS: u64 = 8;
    const REQUESTS_PER_CLIENT: u64 = 1250;
    const DISCONNECTED: u64 = 40;
    let (received_sender, received) = channel();
    let received_sender = Mutex::new(received_sender);
    let backend = serve(move |m| match m.body.as_slice() {
        b"fail" => ServerAction::Respond(response_text(500, "", "")),
        b"hang" => {
            received_sender.lock().unwrap().send(()).unwrap();
            ServerAction::HangUntilClosed(channel().0)
        }
        _ => ServerAction::Respond(response_text(200, "X-Units-Charged: 1\r\n", "fine")),
    });
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let at = gateway.operator();
    let client_counts: Vec<BTreeMap<(String, u16), u64>> = std::thread::scope(|scope| {
        let client = |client: u64| {
            let addr = gateway.addr;
            scope.spawn(move || {
                let mut connection = connect(addr);
                let mut counts = BTreeMap::new();
                for number in client * REQUESTS_PER_CLIENT..(client + 1) * REQUESTS_PER_CLIENT {
                    let text = request_text(number);
                    connection.get_mut().write_all(text.as_bytes()).unwrap();
                    let status = read_message(&mut connection).expect("a response").status();
                    let class = text.split(['/', '?']).nth(1).unwrap().to_owned();
                    *counts.entry((class, status)).or_default() += 1;
                    if status == 405 || text.contains("PUT") {
                        connection = connect(addr);
                    }
                }
                counts
            })
        };
        let clients: Vec<_> = (0..CLIENTS).map(client).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    let mut counts = BTreeMap::<(String, u16), u64>::new();
    client_counts.into_iter().flatten().for_each(|(key, count)| *counts.entry(key).or_default() += count);
    assert_eq!(counts.values().sum::<u64>(), CLIENTS * REQUESTS_PER_CLIENT);
    // Clients that disconnect during their request. The server has failed often and may receive no requests for a
    // while; then the request is refused and repeated.
    let (mut disconnected, start) = (0, Instant::now());
    while disconnected < DISCONNECTED {
        assert!(start.elapsed() < 2 * TEST_TIMEOUT, "only {disconnected} requests reached the server");
        let mut connection = connect(gateway.addr);
        connection.get_mut().set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        // A new customer for each request has its full quota.
        let account = format!("account=00000001{disconnected:08x}");
        let text = post_request("once", "", "hang").replace("account=0000000000000007", &account);
        connection.get_mut().write_all(text.as_bytes()).unwrap();
        let refused = loop {
            if received.try_recv().is_ok() {
                break false;
            }
            if connection.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                break true;
            }
        };
        if refused {
            let status = read_message(&mut connection).expect("a response").status();
            *counts.entry(("once".to_owned(), status)).or_default() += 1;
        } else {
            disconnected += 1;
        }
    }
    let gone_count = "heronstage_request_duration_seconds_count{class=\"once\",outcome=\"gone\"}";
    let start = Instant::now();
    let samples = loop {
        let samples = metrics(at);
        if samples[gone_count] >= DISCONNECTED as f64 {
            break samples;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "only {} disconnects are counted", samples[gone_count]);
        std::thread::sleep(Duration::from_millis(20));
    };
    let client_count =
        |class: &str, status: u16| counts.get(&(class.to_owned(), status)).copied().unwrap_or(0) as f64;
    let outcomes = [(200, "fulfilled"), (429, "throttled"), (502, "faulted")];
    for class in ["look", "order", "once"] {
        for (status, name) in outcomes {
            let count = client_count(class, status);
            assert_eq!(samples[&operations(class, name)], count, "{class} {name}");
            let durations =
                format!("heronstage_request_duration_seconds_count{{class=\"{class}\",outcome=\"{name}\"}}");
            assert_eq!(samples[&durations], count, "{durations}");
        }
        let first_bytes = format!("heronstage_first_byte_seconds_count{{class=\"{class}\"}}");
        assert_eq!(samples[&first_bytes], client_count(class, 200), "{first_bytes}");
    }
    assert_eq!(samples[gone_count], DISCONNECTED as f64);
    for status in [400, 404, 405] {
        let count: u64 = counts.iter().filter(|((_, s), _)| *s == status).map(|(_, count)| count).sum();
        assert!(count > 0, "no response with status {status}");
        assert_eq!(samples[&format!("heronstage_undecided_total{{status=\"{status}\"}}")], count as f64);
    }
    let sum =
        |prefix: &str| -> f64 { samples.iter().filter(|(n, _)| n.starts_with(prefix)).map(|(_, v)| v).sum() };
    let refused: f64 = ["look", "order", "once"].iter().map(|class| client_count(class, 429)).sum();
    assert_eq!(sum("heronstage_refusals_total{"), refused);
    assert!(samples["heronstage_refusals_total{reason=\"quota\"}"] >= 2000.0);
    assert!(client_count("once", 502) > 0.0 && client_count("look", 200) > 0.0);
    assert!(samples["heronstage_attempts_total{result=\"error\"}"] >= client_count("once", 502));
    assert!(samples["process_resident_memory_bytes"] > 1e6 && samples["process_open_fds"] > 5.0);
    // /admin/stats shows the same counters.
    let stats = String::from_utf8(operator_request(at, "GET /admin/stats").body).unwrap();
    for line in stats.lines().filter(|line| line.contains("_total")) {
        let (name, value) = line.rsplit_once(' ').unwrap();
        assert_eq!(samples[name], value.parse::<f64>().unwrap(), "{line}");
    }
}

/// The name and labels of the operations counter.
fn operations(class: &str, status: &str) -> String {
    format!("relay_operations_total{{priority=\"{class}\",status=\"{status}\"}}")
}

#[test]
fn admin_stats_has_exactly_the_documented_lines() {
    let gateway = Gateway::new(&config_with_operator(&[refusing_address()]));
    let text = String::from_utf8(operator_request(gateway.operator(), "GET /admin/stats").body).unwrap();
    let mut lines: Vec<_> = text.lines().collect();
    lines.sort_unstable();
    let mut expected = vec![
        "relay_cfg_accepted_total 0".to_owned(),
        "relay_cfg_invalid_total 0".to_owned(),
        "relay_open_requests 0".to_owned(),
        "relay_out_of_rotation 0".to_owned(),
        "relay_registry_entries 1".to_owned(),
        "relay_relayed_total 0".to_owned(),
    ];
    for class in ["look", "order", "once"] {
        expected.extend(["fulfilled", "throttled", "faulted"].map(|status| operations(class, status) + " 0"));
    }
    expected.sort_unstable();
    assert_eq!(lines, expected);
}

#[test]
fn label_values_are_escaped() {
    let mut config = config_with_operator(&[refusing_address()]);
    config["settings"]["categories"][0]["name"] = "a\"b\\c".into();
    let gateway = Gateway::new(&config);
    let samples = metrics(gateway.operator());
    assert!(samples.keys().any(|name| name.contains("class=\"a\\\"b\\\\c\"")), "{:?}", samples.keys());
}

#[test]
fn the_connection_gauge_counts_open_connections() {
    let gateway = Gateway::new(&config_with_operator(&[refusing_address()]));
    let at = gateway.operator();
    let connections: Vec<TcpStream> = (0..5).map(|_| TcpStream::connect(gateway.addr).unwrap()).collect();
    let wait_for_count = |count: f64| {
        let start = Instant::now();
        while metrics(at)["heronstage_connections"] != count {
            assert!(start.elapsed() < TEST_TIMEOUT, "the gauge is not {count}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    wait_for_count(5.0);
    drop(connections);
    wait_for_count(0.0);
}
