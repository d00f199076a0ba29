//! The figures against a client's own count, and the form in which tools read them.
#![allow(missing_docs)]

mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Samples by name and labels.
type Samples = BTreeMap<String, f64>;

/// Reads OpenMetrics and checks what the format demands of it.
fn open_metrics(text: &str) -> Samples {
    assert!(text.ends_with("# EOF\n"), "the end is marked");
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
                let kind = kinds.get(family).unwrap_or_else(|| panic!("no type of {line}"));
                assert!(*kind != "counter" || bare.ends_with("_total"), "{line}");
                assert!(samples.insert(name.to_owned(), value.parse().unwrap()).is_none(), "twice: {name}");
            }
        }
    }
    // Buckets grow, and the last is the count.
    let mut before: Option<(String, f64)> = None;
    for line in text.lines().filter(|line| line.contains("_bucket{le=") || line.contains("_bucket{")) {
        let (name, value) = line.rsplit_once(' ').unwrap();
        let value: f64 = value.parse().unwrap();
        let (start, rest) = name.split_once("le=\"").unwrap();
        let (bound, rest) = rest.split_once('"').unwrap();
        let series = format!("{start}{rest}");
        if let Some((_, least)) = before.as_ref().filter(|(s, _)| *s == series) {
            assert!(value >= *least, "{line}");
        }
        if bound == "+Inf" {
            let labels =
                series.replace("_bucket{", "_count{").replace(",}", "}").replace("{,", "{").replace("{}", "");
            assert_eq!(samples.get(&labels), Some(&value), "{line} {labels}");
        }
        before = Some((series, value));
    }
    samples
}

fn connect(addr: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    BufReader::new(stream)
}

fn metrics(at: SocketAddr) -> Samples {
    let answer = operator_request(at, "GET /metrics");
    assert_eq!(answer.headers["content-type"], "application/openmetrics-text; version=1.0.0; charset=utf-8");
    open_metrics(&String::from_utf8(answer.body).unwrap())
}

/// What becomes of the request of this number, as far as it is up to the client and the server.
fn text_of(number: u64) -> String {
    let customer = number % 997;
    match number % 20 {
        // Far beyond any quota.
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
fn figures_agree_with_the_clients_own_count_of_10000_requests() {
    const CLIENTS: u64 = 8;
    const EACH: u64 = 1250;
    const GONE: u64 = 40;
    let (begun_to, begun) = channel();
    let begun_to = Mutex::new(begun_to);
    let backend = serve(move |m| match m.body.as_slice() {
        b"fail" => ServerAction::Respond(response_text(500, "", "")),
        b"hang" => {
            begun_to.lock().unwrap().send(()).unwrap();
            ServerAction::HangUntilClosed(channel().0)
        }
        _ => ServerAction::Respond(response_text(200, "X-Units-Charged: 1\r\n", "fine")),
    });
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let at = gateway.operator();
    let told: Vec<BTreeMap<(String, u16), u64>> = std::thread::scope(|scope| {
        let client = |client: u64| {
            let addr = gateway.addr;
            scope.spawn(move || {
                let mut open = connect(addr);
                let mut told = BTreeMap::new();
                for number in client * EACH..(client + 1) * EACH {
                    let text = text_of(number);
                    open.get_mut().write_all(text.as_bytes()).unwrap();
                    let status = read_message(&mut open).expect("an answer").status();
                    let class = text.split(['/', '?']).nth(1).unwrap().to_owned();
                    *told.entry((class, status)).or_default() += 1;
                    if status == 405 || text.contains("PUT") {
                        open = connect(addr);
                    }
                }
                told
            })
        };
        let clients: Vec<_> = (0..CLIENTS).map(client).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    let mut counts = BTreeMap::<(String, u16), u64>::new();
    told.into_iter().flatten().for_each(|(key, count)| *counts.entry(key).or_default() += count);
    assert_eq!(counts.values().sum::<u64>(), CLIENTS * EACH);
    // A server that failed so often may get nothing for a while: then the client is refused, and comes again.
    let (mut gone_so_far, start) = (0, Instant::now());
    while gone_so_far < GONE {
        assert!(start.elapsed() < 2 * TEST_TIMEOUT, "{gone_so_far} reached the server");
        let mut open = connect(gateway.addr);
        open.get_mut().set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        // Each with a customer of its own: these have their quota.
        let own = format!("account=00000001{gone_so_far:08x}");
        let text = post_request("once", "", "hang").replace("account=0000000000000007", &own);
        open.get_mut().write_all(text.as_bytes()).unwrap();
        let refused = loop {
            if begun.try_recv().is_ok() {
                break false;
            }
            if open.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                break true;
            }
        };
        if refused {
            let status = read_message(&mut open).expect("an answer").status();
            *counts.entry(("once".to_owned(), status)).or_default() += 1;
        } else {
            gone_so_far += 1;
        }
    }
    let gone = "heronstage_request_duration_seconds_count{class=\"once\",outcome=\"gone\"}";
    let start = Instant::now();
    let samples = loop {
        let samples = metrics(at);
        if samples[gone] >= GONE as f64 {
            break samples;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "{}", samples[gone]);
        std::thread::sleep(Duration::from_millis(20));
    };
    let counted =
        |class: &str, status: u16| counts.get(&(class.to_owned(), status)).copied().unwrap_or(0) as f64;
    let ways = [(200, "fulfilled"), (429, "throttled"), (502, "faulted")];
    for class in ["look", "order", "once"] {
        for (status, name) in ways {
            let count = counted(class, status);
            assert_eq!(samples[&ended(class, name)], count, "{class} {name}");
            let times =
                format!("heronstage_request_duration_seconds_count{{class=\"{class}\",outcome=\"{name}\"}}");
            assert_eq!(samples[&times], count, "{times}");
        }
        let first = format!("heronstage_first_byte_seconds_count{{class=\"{class}\"}}");
        assert_eq!(samples[&first], counted(class, 200), "{first}");
    }
    assert_eq!(samples[gone], GONE as f64);
    for status in [400, 404, 405] {
        let count: u64 = counts.iter().filter(|((_, s), _)| *s == status).map(|(_, count)| count).sum();
        assert!(count > 0, "no {status}");
        assert_eq!(samples[&format!("heronstage_undecided_total{{status=\"{status}\"}}")], count as f64);
    }
    let sum =
        |start: &str| -> f64 { samples.iter().filter(|(n, _)| n.starts_with(start)).map(|(_, v)| v).sum() };
    let refused: f64 = ["look", "order", "once"].iter().map(|class| counted(class, 429)).sum();
    assert_eq!(sum("heronstage_refusals_total{"), refused);
    assert!(samples["heronstage_refusals_total{reason=\"quota\"}"] >= 2000.0);
    assert!(counted("once", 502) > 0.0 && counted("look", 200) > 0.0);
    assert!(samples["heronstage_attempts_total{result=\"error\"}"] >= counted("once", 502));
    assert!(samples["process_resident_memory_bytes"] > 1e6 && samples["process_open_fds"] > 5.0);
    // What operators read is the same.
    let stats = String::from_utf8(operator_request(at, "GET /admin/stats").body).unwrap();
    for line in stats.lines().filter(|line| line.contains("_total")) {
        let (name, value) = line.rsplit_once(' ').unwrap();
        assert_eq!(samples[name], value.parse::<f64>().unwrap(), "{line}");
    }
}

fn ended(class: &str, status: &str) -> String {
    format!("relay_operations_total{{priority=\"{class}\",status=\"{status}\"}}")
}

#[test]
fn the_figures_that_the_operators_page_fixes_keep_their_lines() {
    let gateway = Gateway::new(&config_with_operator(&[refusing_address()]));
    let text = String::from_utf8(operator_request(gateway.operator(), "GET /admin/stats").body).unwrap();
    let mut lines: Vec<_> = text.lines().collect();
    lines.sort_unstable();
    let mut wanted = vec![
        "relay_cfg_accepted_total 0".to_owned(),
        "relay_cfg_invalid_total 0".to_owned(),
        "relay_open_requests 0".to_owned(),
        "relay_out_of_rotation 0".to_owned(),
        "relay_registry_entries 1".to_owned(),
        "relay_relayed_total 0".to_owned(),
    ];
    for class in ["look", "order", "once"] {
        wanted.extend(["fulfilled", "throttled", "faulted"].map(|status| ended(class, status) + " 0"));
    }
    wanted.sort_unstable();
    assert_eq!(lines, wanted);
}

#[test]
fn label_values_are_written_so_that_tools_can_read_them() {
    let mut config = config_with_operator(&[refusing_address()]);
    config["settings"]["categories"][0]["name"] = "a\"b\\c".into();
    let gateway = Gateway::new(&config);
    let samples = metrics(gateway.operator());
    assert!(samples.keys().any(|name| name.contains("class=\"a\\\"b\\\\c\"")), "{:?}", samples.keys());
}

#[test]
fn connections_are_counted_while_they_last() {
    let gateway = Gateway::new(&config_with_operator(&[refusing_address()]));
    let at = gateway.operator();
    let held: Vec<TcpStream> = (0..5).map(|_| TcpStream::connect(gateway.addr).unwrap()).collect();
    let await_count = |count: f64| {
        let start = Instant::now();
        while metrics(at)["heronstage_connections"] != count {
            assert!(start.elapsed() < TEST_TIMEOUT, "not {count}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    await_count(5.0);
    drop(held);
    await_count(0.0);
}
