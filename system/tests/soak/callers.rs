//! The operator, reader and clients of the soak test, and the checks of the responses that they get.

use crate::processes::{call, config};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest wait of a client for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Results of all calls.
#[derive(Default)]
pub struct Results {
    /// Latest configuration version that was acknowledged.
    pub acknowledged: AtomicU64,
    /// Configuration changes that were acknowledged.
    pub changes: AtomicU64,
    /// Configuration calls that disconnected before the response.
    pub lost_responses: AtomicU64,
    pub reads: AtomicU64,
    pub served: AtomicU64,
    pub sent: AtomicU64,
    /// Executions of each request at the backend, by request ID.
    pub runs: Mutex<BTreeMap<String, u32>>,
    /// IDs of safe requests that the backend received.
    pub safe_runs: Mutex<BTreeSet<String>>,
    /// Responses that pipelining clients received completely.
    pub pipelined: AtomicU64,
    /// IDs of requests whose response promises that they have not run and never will.
    pub not_run: Mutex<BTreeSet<String>>,
    /// Failed checks.
    pub failures: Mutex<Vec<String>>,
    pub stopped: AtomicBool,
}

impl Results {
    pub fn fail(&self, message: String) {
        self.failures.lock().expect("not poisoned").push(message);
    }

    /// Records a request that a backend received.
    pub fn record_run(&self, request: &str) {
        let request = request.to_ascii_lowercase();
        let id = request.split("request-id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let Some(id) = id.map(str::to_owned) else { return };
        if request.starts_with("post ") {
            *self.runs.lock().expect("not poisoned").entry(id).or_default() += 1;
        } else {
            self.safe_runs.lock().expect("not poisoned").insert(id);
        }
    }

    pub fn stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// Sends a configuration and disconnects before the response.
fn send_and_disconnect(addr: &str, body: &str) {
    let Ok(addr) = addr.parse::<SocketAddr>() else { return };
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else { return };
    let head = format!("POST /api/Config.Put HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let _ = stream.write_all((head + body).as_bytes());
}

/// An operator: submits configuration versions in sequence, and retries each until it is acknowledged. Some
/// responses are lost on purpose.
pub fn run_operator(seed: u64, cores: Vec<String>, results: Arc<Results>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut based_on, mut edition) = (0, 1);
    while !results.stopped() {
        let base = if based_on == 0 { "0".to_owned() } else { format!("r{based_on}") };
        let body = config(edition, &base, r#""k1""#);
        loop {
            let core = &cores[rng.usize(0..cores.len())];
            if rng.u32(0..5) == 0 {
                results.lost_responses.fetch_add(1, Ordering::Relaxed);
                send_and_disconnect(core, &body);
                continue;
            }
            match call(core, "POST", "/api/Config.Put", "", &body).map(|answer| answer.status) {
                Some(200) => break,
                Some(status @ 400..=499) if status != 408 && status != 429 => {
                    results
                        .fail(format!("r{edition} based on r{based_on} was rejected with status {status}"));
                    return;
                }
                // The outcome of the last change is unknown: it does not count as acknowledged.
                _ if results.stopped() => return,
                _ => std::thread::park_timeout(Duration::from_millis(50)),
            }
        }
        results.acknowledged.fetch_max(edition, Ordering::SeqCst);
        results.changes.fetch_add(1, Ordering::Relaxed);
        (based_on, edition) = (edition, edition + 1 + rng.u64(0..3));
        std::thread::park_timeout(Duration::from_millis(rng.u64(20..200)));
    }
}

/// Reads the configuration at random core processes: no read may be older than the last acknowledged version.
pub fn run_reader(seed: u64, cores: Vec<String>, results: Arc<Results>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    while !results.stopped() {
        let known = results.acknowledged.load(Ordering::SeqCst);
        let core = &cores[rng.usize(0..cores.len())];
        if let Some(edition) = edition_at(core) {
            results.reads.fetch_add(1, Ordering::Relaxed);
            if edition < known {
                results.fail(format!("{core} returned r{edition} after r{known} was acknowledged"));
            }
        }
        std::thread::park_timeout(Duration::from_millis(rng.u64(5..60)));
    }
}

/// The configuration version that a core process returns.
pub fn edition_at(core: &str) -> Option<u64> {
    let answer = call(core, "GET", "/api/Config.Get", "", "").filter(|answer| answer.status == 200)?;
    let text = answer.body.split("\"edition\":\"r").nth(1)?;
    text.split('"').next()?.parse().ok()
}

/// A client of one gateway: sends safe and unsafe requests over a keep-alive connection. An unsafe one that
/// runs must get a response unless the proxy is killed or paused meanwhile.
pub fn run_client(seed: u64, gateway: String, interruptions: Arc<AtomicU64>, results: Arc<Results>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut connection: Option<TcpStream> = None;
    for number in 0u64.. {
        if results.stopped() {
            return;
        }
        std::thread::park_timeout(Duration::from_millis(rng.u64(1..20)));
        let stream = match connection.take() {
            Some(stream) => stream,
            None => {
                let addr = gateway.parse::<SocketAddr>().expect("an address");
                let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else { continue };
                let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
                stream
            }
        };
        connection =
            send_request(&mut rng, stream, &format!("{seed:x}-{number}"), &gateway, &interruptions, &results);
    }
}

/// Sends one request and checks the response. Returns the connection if it can be reused.
fn send_request(
    rng: &mut fastrand::Rng, mut stream: TcpStream, id: &str, gateway: &str, interruptions: &AtomicU64,
    results: &Results,
) -> Option<TcpStream> {
    let is_unsafe = rng.bool();
    let interruptions_before = interruptions.load(Ordering::SeqCst);
    let (method, path) = if is_unsafe { ("POST", "/x/1") } else { ("GET", "/s/1") };
    let body = if is_unsafe { "body" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\
         Authorization: Bearer k1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    results.sent.fetch_add(1, Ordering::Relaxed);
    let mut response = Vec::new();
    let complete = loop {
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => response.extend_from_slice(&buffer[..length]),
            _ => break false,
        }
        if is_complete(&response) {
            break true;
        }
    };
    let head = String::from_utf8_lossy(&response).to_ascii_lowercase();
    let status: u16 = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if !complete {
        // A gateway may close an idle connection as the request arrives; it must not have forwarded the
        // request then.
        let ran = results.runs.lock().expect("not poisoned").contains_key(id);
        if ran && interruptions.load(Ordering::SeqCst) == interruptions_before {
            results.fail(format!(
                "request {id} ran, but {gateway} sent no complete response and was not killed"
            ));
        }
        return None;
    }
    if is_unsafe && [408, 421, 429, 503].contains(&status) {
        results.not_run.lock().expect("not poisoned").insert(id.to_owned());
    }
    if status == 200 {
        results.served.fetch_add(1, Ordering::Relaxed);
        if !head.contains(&format!("request-id: {id}\r\n")) {
            results.fail(format!("request {id} got the response of another request: {head}"));
        }
    }
    (!head.contains("connection: close")).then_some(stream)
}

/// Whether these bytes are a complete response.
fn is_complete(response: &[u8]) -> bool {
    let Some(head_length) = response.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&response[..head_length]).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    response.len()
        >= head_length + 4 + length.and_then(|length| length.trim().parse::<usize>().ok()).unwrap_or(0)
}
