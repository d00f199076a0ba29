//! The log: formats, levels, hashed customer numbers, and a blocked standard error.
#![allow(missing_docs)]

mod harness;

use harness::*;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Instant;

/// A gateway that serves with a TOML configuration, and its log lines.
struct LoggingGateway {
    child: Child,
    path: std::path::PathBuf,
    log: Receiver<String>,
    /// The log line `listening on …`.
    listening_line: String,
    clients: SocketAddr,
    operators: SocketAddr,
    _discovery: Discovery,
}

impl Drop for LoggingGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn config_text(logs: &str, discovery: SocketAddr) -> String {
    format!(
        "name = \"n0\"\n[listeners]\nclients = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         [discovery]\naddress = \"{discovery}\"\n\
         [[classes]]\nname = \"look\"\naim = \"1500ms\"\ndeadline = \"4s\"\neffect = \"safe\"\n\
         [[plans]]\nname = \"small\"\nrate = 2.0\nburst = 4.0\n[logs]\n{logs}"
    )
}

/// Starts a gateway with this `logs` section and one ready server.
fn start_gateway(logs: &str) -> LoggingGateway {
    let (backend, _) = healthy_backend();
    let discovery = Discovery::new();
    let path = write_config(&serde_json::json!({})).with_extension("toml");
    std::fs::write(&path, config_text(logs, discovery.addr)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakfall-gateway"));
    command.args(["serve", "--config"]).arg(&path).stdin(Stdio::null()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let stderr = BufReader::new(child.stderr.take().unwrap());
    let (sender, log) = channel();
    std::thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
    let address = |prefix: &str| loop {
        let line = log.recv_timeout(TEST_TIMEOUT).expect("the gateway starts");
        if let Some((_, at)) = line.split_once(prefix) {
            let at = at.trim_end_matches(|c: char| !c.is_ascii_digit()).split('"').next().unwrap();
            break (at.parse().unwrap(), line);
        }
    };
    let (clients, listening_line) = address("listening on ");
    let (operators, _) = address("operators call at ");
    let servers = serde_json::json!({"version": 1, "full": true, "servers": [entry(0, backend, "Ready")]});
    send_discovery_line(&mut discovery.watch().1, &servers.to_string());
    wait_until_healthy(operators);
    LoggingGateway { child, path, log, listening_line, clients, operators, _discovery: discovery }
}

impl LoggingGateway {
    fn get(&self, customer: u64, units: u32) -> u16 {
        use std::io::Write;
        let mut connection = BufReader::new(std::net::TcpStream::connect(self.clients).unwrap());
        connection.get_mut().set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        connection.get_mut().write_all(get_request(customer, units, 3000).as_bytes()).unwrap();
        read_message(&mut connection).expect("a response").status()
    }

    /// The next line that contains this text.
    fn line(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("no line with {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Sets the log levels; returns the status of the response.
    fn set_levels(&self, levels: &str) -> u16 {
        operator_request(self.operators, &format!("POST /admin/log?{levels}")).status()
    }
}

const CUSTOMER: &str = "00000000000000ab";

#[test]
fn every_field_of_a_json_line_is_documented() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/logs.md")).unwrap();
    let gateway = start_gateway("format = \"json\"\nlevels = { request = \"debug\" }\n");
    let listening: Value = serde_json::from_str(&gateway.listening_line).unwrap();
    assert_eq!(listening["target"], "heronstage::gateway", "{listening}");
    assert_eq!((gateway.get(0xab, 1), gateway.get(0xab, 9)), (200, 429));
    let lines: Vec<Value> = [gateway.line("request ended"), gateway.line("request ended")]
        .iter()
        .map(|line| {
            assert!(!line.contains(CUSTOMER), "{line}");
            serde_json::from_str(line).unwrap()
        })
        .collect();
    for line in &lines {
        let fields = line.as_object().unwrap().keys().chain(line["span"].as_object().unwrap().keys());
        for field in fields {
            assert!(page.contains(&format!("`{field}`")), "docs/logs.md does not document {field}");
        }
        assert_eq!((&line["level"], &line["target"]), (&"DEBUG".into(), &"request".into()));
        let span = &line["span"];
        assert_eq!((&span["class"], &span["plan"]), (&"look".into(), &"small".into()));
        assert!(span["id"].as_u64().unwrap() > 0 && span["customer"].as_str().unwrap().len() == 16);
    }
    assert_eq!(lines[0]["span"]["customer"], lines[1]["span"]["customer"]);
    let [served, refused] = &lines[..] else { panic!() };
    assert_eq!(
        (&served["outcome"], &served["attempts"], &served["server"]),
        (&"fulfilled".into(), &1.into(), &"s-00000000".into())
    );
    let took = served["took_ms"].as_f64().unwrap();
    assert!(took > 0.0 && served["servers_ms"].as_f64().unwrap() <= took, "{served}");
    assert!(served["first_byte_ms"].as_f64().unwrap() <= took, "{served}");
    assert_eq!((&refused["outcome"], &refused["reason"]), (&"throttled".into(), &"quota".into()));
    assert!(refused["attempts"] == 0 && refused.get("server").is_none(), "{refused}");
}

#[test]
fn customer_numbers_are_logged_in_plain_only_if_configured() {
    let gateway = start_gateway("times = false\ncustomers = \"plain\"\nlevel = \"debug\"\n");
    assert_eq!(gateway.get(0xab, 1), 200);
    let line = gateway.line("request ended");
    assert!(line.contains(&format!("customer=\"{CUSTOMER}\"")), "{line}");
    assert!(line.starts_with("DEBUG request"), "{line}");
}

#[test]
fn log_levels_change_without_a_restart() {
    let gateway = start_gateway("");
    assert_eq!(gateway.get(1, 1), 200);
    assert_eq!(gateway.set_levels("warn,request=debug"), 200);
    assert_eq!(gateway.get(2, 1), 200);
    // The first request wrote no line, otherwise that would come first.
    assert!(gateway.line("request").contains("log levels set"));
    assert!(gateway.line("request").contains("request ended"));
    assert_eq!(gateway.set_levels("request=loud"), 409);
    // A reload applies the configured levels.
    let text = std::fs::read_to_string(&gateway.path).unwrap();
    std::fs::write(&gateway.path, text + "level = \"off\"\n").unwrap();
    assert_eq!(operator_request(gateway.operators, "POST /admin/reload").status(), 200);
    assert_eq!(gateway.get(3, 1), 200);
    assert_eq!(gateway.set_levels("info"), 200);
    operator_request(gateway.operators, "POST /admin/quiesce");
    let line = gateway.line("draining");
    assert!(!line.contains("request ended"), "{line}");
}

#[test]
fn an_unread_log_does_not_block_requests_or_shutdown() {
    let (backend, _) = healthy_backend();
    let config = config_with_operator(&[backend]);
    let path = write_config(&config);
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakfall-gateway"));
    let child = command.env("RELAY_CONFIG", &path).stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
    let mut child = child.unwrap();
    let mut stderr = BufReader::new(child.stderr.take().unwrap());
    let mut address = |prefix: &str| loop {
        let mut line = String::new();
        assert!(stderr.read_line(&mut line).unwrap() > 0, "the gateway starts");
        if let Some((_, at)) = line.trim_end().split_once(prefix) {
            break at.parse::<SocketAddr>().unwrap();
        }
    };
    let (clients, operators) = (address("listening on "), address("operators call at "));
    // From here on standard error is not read.
    wait_until_healthy(operators);
    assert_eq!(operator_request(operators, "POST /admin/log?debug").status(), 200);
    let mut connection = BufReader::new(std::net::TcpStream::connect(clients).unwrap());
    connection.get_mut().set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let start = Instant::now();
    let mut requests = 0;
    // A pipe holds 64 KiB, and the queue 1,024 lines of about 200 bytes.
    while metric(operators, "heronstage_log_lines_dropped_total") == 0.0 {
        for _ in 0..200 {
            use std::io::Write;
            connection.get_mut().write_all(get_request(requests, 1, 3000).as_bytes()).unwrap();
            assert_eq!(read_message(&mut connection).expect("a response").status(), 200);
            requests += 1;
        }
        let in_time = requests < 20_000 && start.elapsed() < TEST_TIMEOUT;
        assert!(in_time, "no log line was dropped after {requests} requests");
    }
    assert!(Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap().success());
    assert!(child.wait().unwrap().success());
}
