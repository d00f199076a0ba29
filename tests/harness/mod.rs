//! Test doubles for backends, the counter and discovery, and a handle for the gateway process under test.
#![allow(dead_code, missing_docs)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of every wait, after which a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

// ---- Test doubles -----------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one HTTP message; none if the connection is closed before its end.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    message.first_line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let length = message.headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a test server does with a request.
pub enum ServerAction {
    /// Writes this text and keeps the connection open.
    Respond(String),
    /// Writes this text and closes the connection.
    RespondAndClose(String),
    /// Sends nothing until the peer has closed the connection, then reports the time of that.
    HangUntilClosed(Sender<Instant>),
}

pub fn response_text(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Starts a server on a free port, with a thread per connection. `handler` decides how each request is
/// handled.
pub fn serve(handler: impl Fn(&Message) -> ServerAction + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, handler) = (stream.unwrap(), handler.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = read_message(&mut reader) {
                    match handler(&message) {
                        ServerAction::Respond(text) => stream.write_all(text.as_bytes()).unwrap(),
                        ServerAction::RespondAndClose(text) => {
                            stream.write_all(text.as_bytes()).unwrap();
                            stream.shutdown(Shutdown::Both).unwrap();
                            return;
                        }
                        ServerAction::HangUntilClosed(closed) => {
                            let _ = reader.read(&mut [0]);
                            let _ = closed.send(Instant::now());
                            return;
                        }
                    }
                }
            });
        }
    });
    addr
}

/// A quota counter that responds with totals to three decimals, like the real one, and records the amounts
/// added.
pub fn counter(amounts: Arc<Mutex<Vec<f64>>>) -> SocketAddr {
    let totals = Mutex::new(HashMap::<String, f64>::new());
    serve(move |request| {
        let target = request.first_line.split(' ').nth(1).unwrap();
        let (name, query) = target.split_once("?by=").unwrap();
        let amount: f64 = query.split('&').next().unwrap().parse().unwrap();
        amounts.lock().unwrap().push(amount);
        let mut totals = totals.lock().unwrap();
        let total = totals.entry(name.to_owned()).or_default();
        *total += amount;
        ServerAction::Respond(response_text(200, "", &format!("{total:.3}")))
    })
}

/// A discovery service that hands its watch streams to the test.
pub struct Discovery {
    pub addr: SocketAddr,
    pub watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (sender, watches) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let Some(request) = read_message(&mut reader) else { continue };
                if request.first_line.contains("stream=1") {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
                }
                let _ = sender.send((request.first_line, stream));
            }
        });
        Discovery { addr, watches }
    }

    pub fn watch(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(TEST_TIMEOUT).expect("the gateway opens a watch")
    }
}

pub fn send_discovery_line(watch: &mut TcpStream, line: &str) {
    watch.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).unwrap();
}

pub fn entry(number: usize, addr: SocketAddr, state: &str) -> serde_json::Value {
    serde_json::json!({"id": format!("s-{number:08x}"), "addr": addr, "zone": "room-a", "kind": "std-2c",
        "cell": 0, "state": state, "weight": 1.0, "started_ms": 0})
}

/// A gateway configuration that lists these backends.
pub fn config(backends: &[SocketAddr], counter: SocketAddr, discovery: SocketAddr) -> serde_json::Value {
    let servers: Vec<_> =
        backends.iter().enumerate().map(|(number, addr)| entry(number, *addr, "Ready")).collect();
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "aim-ms": 1500.0, "give-up-ms": 4000.0, "value": 1.0, "late-worth": 0.0,
            "effect": effect, "group": "zone", "stream": false, "window-ms": 2500.0})
    };
    serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"], "peers_all": "127.0.0.1:9",
        "counter": counter, "known": {"version": 7, "full": true, "servers": servers},
        "settings": {
            "balancers": 1, "position": 0, "locality": 0, "zones": ["room-a", "room-b"], "kinds": ["std-2c"],
            "granularity-ms": 2.0, "membership-mode": "push",
            "categories": [class("look", "read_like"), class("order", "idempotency_key"),
                class("once", "non_idempotent")],
            "tiers-of-service": [{"name": "small", "refill": 2.0, "store-size": 4.0, "max-out": 0, "pays": 1.0,
                "extra-worth": 0.0, "excess-cost": 1.0, "cap-rate": 0.0, "cap-depth": 0.0, "ceiling-slack": 0.0}],
            "domain": {"may-count": true, "counter-timeout-ms": 80.0, "count-fee": 0.01, "units-top": 4,
                "trued-up": true, "peer-intake": 60.0},
            "limits": {"try-limit": 3, "may-duplicate": false, "cancel": true, "probing": true, "peers": true,
                "retry-after": true, "max-retry-after-ms": 2000.0, "connect-timeout-ms": 250.0,
                "idle-close-ms": 30000.0},
            "penalties": {"cross-zone": 0.01, "waste": 0.05, "probe": 0.01, "late-fail": 0.08},
            "rules": {"answer-slack-ms": 8.0, "cold-from": 0.26, "warm-up-ms": 18000.0, "drain-grace-ms": 1000.0,
                "fall-multiple": 2.5, "fall-ms": 3000.0, "ask-within-ms": 10000.0}
        }
    })
}

// ---- The gateway under test -------------------------------------------------------------------------------

pub struct Gateway {
    pub child: Child,
    pub addr: SocketAddr,
    pub log: Receiver<String>,
    /// Path of its configuration file.
    pub path: PathBuf,
}

/// Writes a configuration to a new temporary file.
pub fn write_config(config: &serde_json::Value) -> PathBuf {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("heronstage-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    path
}

pub fn start(config: &serde_json::Value) -> (Child, PathBuf) {
    let path = write_config(config);
    let mut command = Command::new(env!("CARGO_BIN_EXE_oakfall-gateway"));
    let child = command.env("RELAY_CONFIG", &path).stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
    (child.unwrap(), path)
}

/// Starts the program with a client listener that it inherits as file descriptor 3.
pub fn start_inheriting(
    config: &serde_json::Value, listener: &TcpListener, temp_dir: &std::path::Path,
) -> (Child, PathBuf) {
    let path = write_config(config);
    let script = format!("exec {} 3<&0 </dev/null", env!("CARGO_BIN_EXE_oakfall-gateway"));
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &script])
        .env("RELAY_CONFIG", &path)
        .env("RELAY_LISTEN_FD", "3")
        .env("TMPDIR", temp_dir);
    let listener = std::os::fd::OwnedFd::from(listener.try_clone().unwrap());
    (command.stdin(listener).stderr(Stdio::piped()).spawn().unwrap(), path)
}

impl Gateway {
    /// Starts the program and waits until it is ready.
    pub fn new(config: &serde_json::Value) -> Self {
        let gateway = Self::started(start(config));
        let start = Instant::now();
        while gateway.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200 {
            assert!(start.elapsed() < TEST_TIMEOUT, "never ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        gateway
    }

    /// Wraps a started program and waits until it listens.
    pub fn started((mut child, path): (Child, PathBuf)) -> Self {
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = channel();
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
        });
        let addr = loop {
            let line = log.recv_timeout(TEST_TIMEOUT).expect("the gateway starts");
            if let Some((_, addr)) = line.split_once("listening on ") {
                break addr.parse().unwrap();
            }
        };
        Gateway { child, addr, log, path }
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        BufReader::new(stream)
    }

    pub fn request(&self, text: &str) -> Message {
        let mut connection = self.connect();
        connection.get_mut().write_all(text.as_bytes()).unwrap();
        read_message(&mut connection).expect("a response")
    }

    pub fn get(&self, customer: u64, units: u32) -> Message {
        self.request(&get_request(customer, units, 3000))
    }

    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn get_request(customer: u64, units: u32, remaining: u32) -> String {
    format!(
        "GET /look?account={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 0000{customer:012x}\r\n\
         X-Lane: look\r\nX-Plan: small\r\nX-Remaining-Ms: {remaining}\r\nX-Quota: units={units},spread=1,first=0\r\n\r\n"
    )
}

pub fn post_request(lane: &str, key: &str, body: &str) -> String {
    format!(
        "POST /{lane}?account=0000000000000007 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 9b1f03aa5c7e2d41\r\n\
         X-Lane: {lane}\r\nX-Plan: small\r\nX-Remaining-Ms: 3000\r\n{key}X-Quota: units=1,spread=1,first=0\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";

/// A configuration with a working counter and a discovery service that never responds.
pub fn basic_config(backends: &[SocketAddr]) -> serde_json::Value {
    config(backends, counter(Arc::default()), serve(|_| ServerAction::HangUntilClosed(channel().0)))
}

/// A backend that responds to every request with 200, and the requests it received.
pub fn healthy_backend() -> (SocketAddr, Arc<Mutex<Vec<Message>>>) {
    let received = Arc::new(Mutex::new(Vec::new()));
    let seen = received.clone();
    let addr = serve(move |request| {
        seen.lock().unwrap().push(request.clone());
        ServerAction::Respond(response_text(200, "X-Units-Charged: 2\r\n", "stock: 12"))
    });
    (addr, received)
}

/// An address that refuses connections. The port stays bound, so that no other test gets it.
pub fn refusing_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    std::mem::forget(socket);
    addr
}

/// Replaces the configuration file and makes the gateway reload it.
pub fn reload(gateway: &Gateway, text: &str) {
    std::fs::write(&gateway.path, text).unwrap();
    gateway.signal("-HUP");
}

/// The configuration of `basic_config` with an operator listener.
pub fn config_with_operator(backends: &[SocketAddr]) -> serde_json::Value {
    let mut config = basic_config(backends);
    config["operator"] = "127.0.0.1:0".into();
    config
}

impl Gateway {
    pub fn operator(&self) -> SocketAddr {
        let line = self.log.recv_timeout(TEST_TIMEOUT).expect("a log line with the operators' address");
        line.split_once("operators call at ")
            .expect("the operators' address after the clients'")
            .1
            .parse()
            .unwrap()
    }

    pub fn ready(&self) -> bool {
        self.request("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200
    }
}

/// Sends an operator request on a new connection, which the gateway must close after it.
pub fn operator_request(at: SocketAddr, line: &str) -> Message {
    let mut connection = BufReader::new(TcpStream::connect(at).unwrap());
    connection.get_mut().set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    connection.get_mut().write_all(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).unwrap();
    let response = read_message(&mut connection).expect("a response");
    assert_eq!(connection.read(&mut [0]).unwrap(), 0, "one request per connection");
    response
}

/// A new directory for the temporary files of a gateway's processes.
pub fn new_temp_dir() -> PathBuf {
    let path = write_config(&serde_json::json!({})).with_extension("tmp");
    std::fs::create_dir(&path).unwrap();
    path
}

pub fn wait_until_healthy(at: SocketAddr) {
    let start = Instant::now();
    while operator_request(at, "GET /admin/health").status() != 200 {
        assert!(start.elapsed() < TEST_TIMEOUT, "never ready");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until a statistic of the operator interface has this value.
pub fn wait_for_stat(at: SocketAddr, name: &str, value: u64) {
    let start = Instant::now();
    loop {
        let text = String::from_utf8(operator_request(at, "GET /admin/stats").body).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        if line.is_some_and(|line| line == value.to_string()) {
            return;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "{name} is not {value}:\n{text}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The value of a Prometheus metric.
pub fn metric(at: SocketAddr, name: &str) -> f64 {
    let text = String::from_utf8(operator_request(at, "GET /metrics").body).unwrap();
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("no {name}")).parse().unwrap()
}

// ---- The program as a command -----------------------------------------------------------------------------

pub fn gateway_command() -> assert_cmd::Command {
    let mut command = assert_cmd::Command::new(env!("CARGO_BIN_EXE_oakfall-gateway"));
    command.env_remove("RELAY_CONFIG").env_remove("RELAY_OPERATOR").timeout(TEST_TIMEOUT);
    command
}

/// Runs a command; returns its exit code, standard output and standard error.
pub fn run_command(command: &mut assert_cmd::Command) -> (i32, String, String) {
    let output = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}
