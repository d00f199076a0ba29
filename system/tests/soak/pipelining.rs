//! Clients of the soak test that send further requests behind one with a large response, and read slowly.

use crate::callers::Results;
use crate::processes::BUNDLE_BYTES;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between two requests sent behind the first one.
const SEND_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum requests sent behind the first one.
const MAX_REQUESTS_BEHIND: usize = 60;
/// Longest wait for all responses of a connection; longer than the deadline and the longest pause of a process.
const RESPONSES_TIMEOUT: Duration = Duration::from_secs(8);
/// Bytes of one read, and the pause after it: some 50 Mbit/s.
const READ_BYTES: usize = 16 * 1024;
const READ_PAUSE: Duration = Duration::from_micros(2600);

/// A client of one gateway.
pub struct PipeliningClient {
    pub gateway: String,
    /// Incremented before the proxy is paused or killed.
    pub interruptions: Arc<AtomicU64>,
}

impl PipeliningClient {
    /// Opens connections until the test stops.
    pub fn run(&self, seed: u64, results: &Results) {
        let mut rng = fastrand::Rng::with_seed(!seed);
        let addr = self.gateway.parse::<SocketAddr>().expect("an address");
        for number in 0u64.. {
            if results.stopped() {
                return;
            }
            std::thread::park_timeout(Duration::from_millis(rng.u64(1..200)));
            let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else { continue };
            self.use_connection(stream, &format!("p{seed:x}-{number}"), results);
        }
    }

    /// Sends requests on a connection, and checks that each one that the backend received gets a complete
    /// response, unless the proxy was killed or paused.
    fn use_connection(&self, mut stream: TcpStream, id: &str, results: &Results) {
        let interruptions = self.interruptions.load(Ordering::SeqCst);
        let mut ids = vec![format!("{id}-bundle")];
        if stream.write_all(request("/s/bundle", &ids[0]).as_bytes()).is_err() {
            return;
        }
        let _ = stream.set_read_timeout(Some(SEND_INTERVAL));
        while !has_input(&stream) && ids.len() <= MAX_REQUESTS_BEHIND {
            let behind = format!("{id}-{}", ids.len());
            if stream.write_all(request("/s/1", &behind).as_bytes()).is_err() {
                break;
            }
            ids.push(behind);
        }
        let (received, end) = read_responses(stream, ids.len());
        let responses = complete_responses(&received);
        results.pipelined.fetch_add(responses.len() as u64, Ordering::Relaxed);
        if self.interruptions.load(Ordering::SeqCst) != interruptions {
            return;
        }
        for (response, id) in responses.iter().zip(&ids) {
            if response.status == 200 && !response.head.contains(&format!("request-id: {id}\r\n")) {
                results.fail(format!("request {id} got the response of another request: {}", response.head));
            }
        }
        if let Some(response) = responses.first().filter(|response| response.status == 200) {
            if response.body_bytes != BUNDLE_BYTES {
                results
                    .fail(format!("request {id} got {} bytes as a complete response", response.body_bytes));
            }
        }
        let runs = results.safe_runs.lock().expect("not poisoned");
        for id in ids.iter().skip(responses.len()).filter(|id| runs.contains(*id)) {
            results.fail(format!(
                "request {id} ran, but {} sent {} complete responses in {} bytes ({end}) and was not killed",
                self.gateway,
                responses.len(),
                received.len()
            ));
        }
    }
}

fn request(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n")
}

/// Waits for the stream's read timeout; true if there is input or the connection has ended.
fn has_input(stream: &TcpStream) -> bool {
    let waiting = |kind| matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut);
    stream.peek(&mut [0]).map_or_else(|error| !waiting(error.kind()), |_| true)
}

/// Reads slowly until this many responses are complete or the connection ends. Returns all bytes, and how the
/// connection ended.
fn read_responses(mut stream: TcpStream, count: usize) -> (Vec<u8>, String) {
    let started = Instant::now();
    let _ = stream.set_read_timeout(Some(RESPONSES_TIMEOUT));
    let (mut received, mut buffer) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (received, "closed".to_owned()),
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(error) => return (received, error.to_string()),
        }
        if complete_responses(&received).len() >= count {
            return (received, "complete".to_owned());
        }
        if started.elapsed() > RESPONSES_TIMEOUT {
            return (received, "timed out".to_owned());
        }
        std::thread::park_timeout(READ_PAUSE);
    }
}

/// A complete response.
struct CompleteResponse {
    status: u16,
    head: String,
    body_bytes: usize,
}

/// The complete responses at the start of these bytes, in order.
fn complete_responses(mut bytes: &[u8]) -> Vec<CompleteResponse> {
    let mut responses = Vec::new();
    while let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&bytes[..end + 2]).to_ascii_lowercase();
        let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
        let body_bytes = length.and_then(|length| length.trim().parse::<usize>().ok()).unwrap_or(0);
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let Some(rest) = bytes.get(end + 4 + body_bytes..) else { break };
        responses.push(CompleteResponse { status, head, body_bytes });
        bytes = rest;
    }
    responses
}
