//! The log as its readers see it: its forms, its levels, what it never says, and a reader that stops reading.
#![allow(missing_docs)]

mod harness;

use harness::*;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Instant;

/// A gateway for people's file with this section on logs, a ready server, and its log.
struct Serving {
    child: Child,
    path: std::path::PathBuf,
    log: Receiver<String>,
    clients: SocketAddr,
    operators: SocketAddr,
    _list: Discovery,
}

impl Drop for Serving {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn text(logs: &str, list: SocketAddr) -> String {
    format!(
        "name = \"n0\"\n[listeners]\nclients = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         [discovery]\naddress = \"{list}\"\n\
         [[classes]]\nname = \"look\"\naim = \"1500ms\"\ndeadline = \"4s\"\neffect = \"safe\"\n\
         [[plans]]\nname = \"small\"\nrate = 2.0\nburst = 4.0\n[logs]\n{logs}"
    )
}

fn serving(logs: &str) -> Serving {
    let (backend, _) = healthy_backend();
    let list = Discovery::new();
    let path = write_config(&serde_json::json!({})).with_extension("toml");
    std::fs::write(&path, text(logs, list.addr)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_heronstage"));
    command.args(["serve", "--config"]).arg(&path).stdin(Stdio::null()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let stderr = BufReader::new(child.stderr.take().unwrap());
    let (to, log) = channel();
    std::thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| to.send(line)));
    let address = |words: &str| loop {
        let line = log.recv_timeout(TEST_TIMEOUT).expect("the gateway starts");
        if let Some((_, at)) = line.split_once(words) {
            break at
                .trim_end_matches(|c: char| !c.is_ascii_digit())
                .split('"')
                .next()
                .unwrap()
                .parse()
                .unwrap();
        }
    };
    let clients = address("listening on ");
    let operators = address("operators call at ");
    let servers = serde_json::json!({"version": 1, "full": true, "servers": [entry(0, backend, "Ready")]});
    send_discovery_line(&mut list.watch().1, &servers.to_string());
    wait_until_healthy(operators);
    Serving { child, path, log, clients, operators, _list: list }
}

impl Serving {
    fn get(&self, customer: u64, units: u32) -> u16 {
        use std::io::Write;
        let mut open = BufReader::new(std::net::TcpStream::connect(self.clients).unwrap());
        open.get_mut().set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        open.get_mut().write_all(get_request(customer, units, 3000).as_bytes()).unwrap();
        read_message(&mut open).expect("an answer").status()
    }

    /// The next line that has these words.
    fn line(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("no line with {words}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    fn levels(&self, levels: &str) -> u16 {
        operator_request(self.operators, &format!("POST /admin/log?{levels}")).status()
    }
}

const NUMBER: &str = "00000000000000ab";

#[test]
fn json_lines_have_the_fields_that_the_page_names() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/logs.md")).unwrap();
    let gateway = serving("format = \"json\"\nlevels = { request = \"debug\" }\n");
    assert_eq!((gateway.get(0xab, 1), gateway.get(0xab, 9)), (200, 429));
    let lines: Vec<Value> = [gateway.line("request ended"), gateway.line("request ended")]
        .iter()
        .map(|line| {
            assert!(!line.contains(NUMBER), "{line}");
            serde_json::from_str(line).unwrap()
        })
        .collect();
    for line in &lines {
        let fields = line.as_object().unwrap().keys().chain(line["span"].as_object().unwrap().keys());
        for field in fields {
            assert!(page.contains(&format!("`{field}`")), "docs/logs.md names no {field}");
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
fn customers_are_named_only_if_it_was_asked_for() {
    let gateway = serving("times = false\ncustomers = \"plain\"\nlevel = \"debug\"\n");
    assert_eq!(gateway.get(0xab, 1), 200);
    let line = gateway.line("request ended");
    assert!(line.contains(&format!("customer=\"{NUMBER}\"")), "{line}");
    assert!(line.starts_with("DEBUG request"), "{line}");
}

#[test]
fn levels_change_without_a_restart() {
    let gateway = serving("");
    assert_eq!(gateway.get(1, 1), 200);
    assert_eq!(gateway.levels("warn,request=debug"), 200);
    assert_eq!(gateway.get(2, 1), 200);
    // The first request wrote nothing, or its line would come before.
    assert!(gateway.line("request").contains("levels of the log"));
    assert!(gateway.line("request").contains("request ended"));
    assert_eq!(gateway.levels("request=loud"), 409);
    // A new configuration brings its own.
    let own = std::fs::read_to_string(&gateway.path).unwrap();
    std::fs::write(&gateway.path, own + "level = \"off\"\n").unwrap();
    assert_eq!(operator_request(gateway.operators, "POST /admin/reload").status(), 200);
    assert_eq!(gateway.get(3, 1), 200);
    assert_eq!(gateway.levels("info"), 200);
    operator_request(gateway.operators, "POST /admin/quiesce");
    let rest = gateway.line("draining");
    assert!(!rest.contains("request ended"), "{rest}");
}

#[test]
fn a_reader_that_stops_reading_stalls_no_request() {
    let (backend, _) = healthy_backend();
    let config = config_with_operator(&[backend]);
    let path = write_config(&config);
    let mut command = Command::new(env!("CARGO_BIN_EXE_heronstage"));
    let child = command.env("RELAY_CONFIG", &path).stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
    let mut child = child.unwrap();
    let mut stderr = BufReader::new(child.stderr.take().unwrap());
    let mut address = |words: &str| loop {
        let mut line = String::new();
        assert!(stderr.read_line(&mut line).unwrap() > 0, "the gateway starts");
        if let Some((_, at)) = line.trim_end().split_once(words) {
            break at.parse::<SocketAddr>().unwrap();
        }
    };
    let (clients, operators) = (address("listening on "), address("operators call at "));
    // From here on nobody reads.
    wait_until_healthy(operators);
    assert_eq!(operator_request(operators, "POST /admin/log?debug").status(), 200);
    let mut open = BufReader::new(std::net::TcpStream::connect(clients).unwrap());
    open.get_mut().set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let begun = Instant::now();
    let mut asked = 0;
    // A pipe holds 64 KiB and the queue 1,024 lines of some 200 bytes.
    while metric(operators, "heronstage_log_lines_dropped_total") == 0.0 {
        for _ in 0..200 {
            use std::io::Write;
            open.get_mut().write_all(get_request(asked, 1, 3000).as_bytes()).unwrap();
            assert_eq!(read_message(&mut open).expect("an answer").status(), 200);
            asked += 1;
        }
        assert!(asked < 20_000 && begun.elapsed() < TEST_TIMEOUT, "{asked} requests and no line dropped");
    }
    assert!(Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap().success());
    assert!(child.wait().unwrap().success());
}
