//! Helpers that run the real processes on loopback, with their backends, operators and clients.
#![allow(dead_code)] // Each test program uses only a part.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// Timeout of a wait for a condition, far above what any condition takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// A child process that is killed when dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn signal(process: &Process, name: &str) {
    let id = process.0.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
}

/// Two consecutive free ports, outside the ephemeral range so that they are still free when a process
/// restarts.
pub fn free_inner_ports() -> u16 {
    let free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
    (0..100)
        .map(|_| fastrand::u16(10_000..30_000))
        .find(|port| free(*port) && free(*port + 1))
        .expect("two free ports")
}

pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).expect("a free port").port()
}

pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends one request on a connection of its own. None without a response.
pub fn call(addr: &str, method: &str, path: &str, headers: &str, body: &str) -> Option<Response> {
    let mut stream =
        TcpStream::connect_timeout(&addr.parse::<SocketAddr>().ok()?, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, head: head.to_ascii_lowercase(), body: body.to_owned() })
}

/// Polls until there is a result, and fails after [`WAIT_TIMEOUT`].
pub fn until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(result) = poll() {
            return result;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        std::thread::yield_now();
    }
}

/// Size of a large response: more than the socket buffers hold.
pub const LARGE_RESPONSE_BYTES: usize = 48 << 20;

/// Size of a bundle: more than a gateway buffers.
pub const BUNDLE_BYTES: usize = 540_000;
/// Time that a backend works on a bundle.
const BUNDLE_WORK: Duration = Duration::from_millis(150);

/// Starts a backend. Returns its address and the requests that it receives. Requests whose head contains
/// `/pair` are answered once two have arrived, `/bundle` gets a bundle after some work, `/large` a large
/// response, and `/silent` none.
pub fn backend() -> (String, Receiver<String>) {
    let pairs = Arc::new(Barrier::new(2));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound").to_string();
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (sender, pairs) = (sender.clone(), pairs.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                loop {
                    let (mut head, mut line, mut id, mut length) =
                        (String::new(), String::new(), String::new(), 0);
                    loop {
                        line.clear();
                        if reader.read_line(&mut line).unwrap_or(0) == 0 {
                            return;
                        }
                        let lower = line.to_ascii_lowercase();
                        if let Some(value) = lower.strip_prefix("request-id: ") {
                            id = value.trim().to_owned();
                        }
                        if let Some(value) = lower.strip_prefix("content-length: ") {
                            length = value.trim().parse().unwrap_or(0);
                        }
                        if line == "\r\n" {
                            break;
                        }
                        head.push_str(&line);
                    }
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    if head.contains("/pair") {
                        pairs.wait();
                    }
                    let (large, silent) = (head.contains("/large"), head.contains("/silent"));
                    let bundle = head.contains("/bundle");
                    let _ = sender.send(head + "\r\n" + &String::from_utf8_lossy(&body));
                    if silent {
                        continue;
                    }
                    if bundle {
                        std::thread::sleep(BUNDLE_WORK);
                    }
                    let body = match (large, bundle) {
                        (true, _) => vec![b'x'; LARGE_RESPONSE_BYTES],
                        (_, true) => vec![b'x'; BUNDLE_BYTES],
                        _ => b"hello".to_vec(),
                    };
                    let length = body.len();
                    let response = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: s.1\r\nX-Own: 7\r\nContent-Length: {length}\r\n\r\n"
                    );
                    let stream = reader.get_mut();
                    if stream.write_all(response.as_bytes()).and_then(|()| stream.write_all(&body)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, receiver)
}

/// The processes of one system, with their settings and data in a temporary directory.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    /// The first inner port of every node without an entry in `inner_ports`.
    pub inner_port: u16,
    pub seeds: Vec<String>,
    /// By node: inner addresses that it reaches through relays, each with the relay's address.
    pub relays: BTreeMap<String, Vec<(SocketAddr, SocketAddr)>>,
    /// By node: its first inner port, if different. Gateways on one machine need this, as agents accept their
    /// proxies on loopback.
    pub inner_ports: BTreeMap<String, u16>,
}

/// A gateway: its agent and proxy, and the addresses for clients and for readiness and metrics.
pub struct Gateway {
    pub agent: Process,
    pub proxy: Process,
    pub client_addr: String,
    pub ready_addr: String,
}

/// The body of a backend's heartbeat.
pub fn heartbeat_body(server: &str, postmark: u64) -> String {
    format!(
        r#"{{"service":"s1","address":"{server}","zone":"a","edition":"v1","berths":2,"state":"open","cold_time":"0ms","postmark":{postmark}}}"#
    )
}

impl Fleet {
    /// A system bootstrapped by this many core processes, none of which is started yet.
    pub fn new(cores: usize) -> Self {
        let ips = (2..2 + cores).map(|n| format!("127.0.0.{n}"));
        let seeds = ips.map(|ip| format!("{ip}:{}", free_port(&ip))).collect();
        Fleet {
            folder: tempfile::tempdir().expect("a directory"),
            inner_port: free_inner_ports(),
            seeds,
            relays: BTreeMap::new(),
            inner_ports: BTreeMap::new(),
        }
    }

    /// Starts a gateway at this address and waits until it is ready.
    pub fn gateway(&self, name: &str, ip: &str) -> Gateway {
        let (client_addr, ready_addr) =
            (format!("{ip}:{}", free_port(ip)), format!("{ip}:{}", free_port(ip)));
        let docks = format!("    front: \"{client_addr}\"\n    ready: \"{ready_addr}\"\n");
        let settings = self.settings(name, ip, "counter", &docks, true);
        let agent = start(env!("CARGO_BIN_EXE_oakfall-agent"), &settings);
        let proxy = start(env!("CARGO_BIN_EXE_oakfall-proxy"), &settings);
        until("a ready gateway", || {
            call(&ready_addr, "GET", "/api/ready", "", "").filter(|r| r.status == 200)
        });
        Gateway { agent, proxy, client_addr, ready_addr }
    }

    /// Writes the settings of a node and returns their file. `docks` are the lines of `network.docks_at`.
    pub fn settings(&self, name: &str, ip: &str, class: &str, docks: &str, first_start: bool) -> PathBuf {
        let data = self.folder.path().join(name);
        std::fs::create_dir_all(&data).expect("a directory");
        let mut seeds = String::new();
        for seed in &self.seeds {
            let _ = writeln!(seeds, "    - \"{seed}\"");
        }
        let inner = self.inner_ports.get(name).copied().unwrap_or(self.inner_port);
        let mut relays = String::new();
        if let Some(pairs) = self.relays.get(name) {
            relays.push_str("  relays:\n");
            for (address, relay) in pairs {
                let _ = writeln!(relays, "    \"{address}\": \"{relay}\"");
            }
        }
        let text = format!(
            "sender:\n  node: \"{name}\"\n  role: \"any\"\n  machine_class: \"{class}\"\n  ip: \"{ip}\"\n  zone: \"a\"\n  \
             region: \"r\"\n  first_start: {first_start}\n  data_dir: \"{}\"\n  limits:\n    memory_mb: 256\n    fds: 1000\n\
             network:\n  docks_at:\n{docks}  inner_ports:\n    - {}\n    - {}\n  seeds:\n{seeds}{relays}  zones:\n    a: \"r\"\n\
             carrier:\n  beat: \"1500ms\"\ntariffs:\n  contracts:\n    - \"rollout\"\n  \
             bounds:\n    ack: \"8000ms\"\n    grace: \"6s\"\n    closed: true\n    \
             revoke: \"5000ms\"\n    quota_slack: 20\n    expose_share: 0.5\n    ttl_max: \"5s\"\n",
            data.display(),
            inner,
            inner + 1,
        );
        let file = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&file, text).expect("a file");
        file
    }

    pub fn core(&self, number: usize, first_start: bool) -> Process {
        start(env!("CARGO_BIN_EXE_oakfall-core"), &self.core_settings(number, first_start))
    }

    pub fn core_settings(&self, number: usize, first_start: bool) -> PathBuf {
        let (ip, seed) = (format!("127.0.0.{}", number + 2), &self.seeds[number]);
        let docks = format!("    control: \"{seed}\"\n");
        self.settings(&format!("core{number}"), &ip, "sorting", &docks, first_start)
    }
}

/// Starts one core process, a backend and a gateway, with a configuration.
pub fn start_system() -> (Fleet, Process, Gateway) {
    let fleet = Fleet::new(1);
    let core = fleet.core(0, true);
    let control = fleet.seeds[0].as_str();
    let configuration = config(3, "0", r#""k1""#);
    let put = || {
        call(control, "POST", "/api/Config.Put", "", &configuration).filter(|response| response.status == 200)
    };
    until("an acknowledgement", put);
    let (server, _received) = backend();
    let heartbeat = || call(control, "POST", "/api/Instances.Beat/i-1", "", &heartbeat_body(&server, 1));
    until("the backend's acknowledgement", || heartbeat().filter(|response| response.status == 200));
    let gateway = fleet.gateway("gateway", "127.0.0.5");
    (fleet, core, gateway)
}

pub fn start(program: &str, settings: &Path) -> Process {
    let mut command = Command::new(program);
    command.arg("run").arg("--settings").arg(settings).args(["--log", "warn"]);
    Process(command.spawn().expect("the program starts"))
}

/// The body of a configuration call, in which the tenant has these keys.
pub fn config(edition: u64, based_on: &str, keys: &str) -> String {
    format!(
        r#"{{"edition":"r{edition}","based_on":"{based_on}","limits":{{"label_bytes":16384,"body_bytes":1048576,"label_time":"3000ms","idle":"15000ms"}},
"patrons":[{{"name":"t1","stamps":[{keys}],"priority":0,"per_s":1000,"burst":1000,"home_regions":[]}}],
"docks":[{{"depot":"a.example","regulations":[{{"name":"r-1","kind":"unsafe","target":"2s","priority":1,"unstamped":false,"sorting":{{"lane_prefix":"/x/"}},
"dispatch":{{"service":"s1","timeout":"5s","attempts":2,"home_regions":[]}}}},
{{"name":"r-2","kind":"safe","target":"2s","priority":1,"unstamped":true,"sorting":{{"lane_prefix":"/s/"}},
"dispatch":{{"service":"s1","timeout":"30s","attempts":1,"home_regions":[]}}}}]}}],
"fleets":[{{"name":"s1","health_path":"/health","conn_cap":110,"protocol":"h1","sealed":false,"cold":"3s","cold_per_s":22.0}}]}}"#
    )
}
