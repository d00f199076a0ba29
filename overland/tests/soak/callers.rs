//! Who calls the system in a soak, and what must hold of what they are answered.

use crate::processes::{call, config};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A client waits so long for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// What came of all calls. Whatever is wrong is told in `wrong`.
#[derive(Default)]
pub struct Ledger {
    /// The newest configuration that was acknowledged.
    pub acknowledged: AtomicU64,
    pub orders: AtomicU64,
    pub lost_answers: AtomicU64,
    pub reads: AtomicU64,
    pub served: AtomicU64,
    pub asked: AtomicU64,
    /// How often each request ran, by its name.
    pub runs: Mutex<BTreeMap<String, u32>>,
    /// Requests whose answer promises that they never run.
    pub promised: Mutex<BTreeSet<String>>,
    /// Requests without any answer, by gateway, and whether it was killed meanwhile.
    pub wrong: Mutex<Vec<String>>,
    pub over: AtomicBool,
}

impl Ledger {
    pub fn wrong(&self, what: String) {
        self.wrong.lock().expect("no panic here").push(what);
    }

    pub fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }
}

/// Sends an order and goes away without its answer.
fn send_and_leave(addr: &str, body: &str) {
    let Ok(addr) = addr.parse::<SocketAddr>() else { return };
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else { return };
    let head = format!("POST /api/Config.Put HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let _ = stream.write_all((head + body).as_bytes());
}

/// One operator: a configuration after the other, each on top of the last, sent until it is acknowledged; some answers are
/// lost, some orders are sent again afterwards.
pub fn operate(seed: u64, cores: Vec<String>, ledger: Arc<Ledger>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut based_on, mut edition) = (0, 1);
    while !ledger.over() {
        let on = if based_on == 0 { "0".to_owned() } else { format!("r{based_on}") };
        let body = config(edition, &on, r#""k1""#);
        loop {
            let core = &cores[rng.usize(0..cores.len())];
            if rng.u32(0..5) == 0 {
                ledger.lost_answers.fetch_add(1, Ordering::Relaxed);
                send_and_leave(core, &body);
                continue;
            }
            match call(core, "POST", "/api/Config.Put", "", &body).map(|answer| answer.status) {
                Some(200) => break,
                Some(status @ 400..=499) if status != 408 && status != 429 => {
                    ledger.wrong(format!("r{edition} on top of r{based_on} is refused with {status}"));
                    return;
                }
                // Stopped while an order is in doubt: it is not acknowledged.
                _ if ledger.over() => return,
                _ => std::thread::park_timeout(Duration::from_millis(50)),
            }
        }
        ledger.acknowledged.fetch_max(edition, Ordering::SeqCst);
        ledger.orders.fetch_add(1, Ordering::Relaxed);
        (based_on, edition) = (edition, edition + 1 + rng.u64(0..3));
        std::thread::park_timeout(Duration::from_millis(rng.u64(20..200)));
    }
}

/// Reads the configuration at any core process: never older than what was acknowledged before the question.
pub fn read(seed: u64, cores: Vec<String>, ledger: Arc<Ledger>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    while !ledger.over() {
        let known = ledger.acknowledged.load(Ordering::SeqCst);
        let core = &cores[rng.usize(0..cores.len())];
        if let Some(edition) = edition_at(core) {
            ledger.reads.fetch_add(1, Ordering::Relaxed);
            if edition < known {
                ledger.wrong(format!("{core} answers r{edition}, and r{known} was acknowledged"));
            }
        }
        std::thread::park_timeout(Duration::from_millis(rng.u64(5..60)));
    }
}

/// The configuration that a core process answers for.
pub fn edition_at(core: &str) -> Option<u64> {
    let answer = call(core, "GET", "/api/Config.Get", "", "").filter(|answer| answer.status == 200)?;
    let text = answer.body.split("\"edition\":\"r").nth(1)?;
    text.split('"').next()?.parse().ok()
}

/// A client of one gateway: requests on a kept connection, those that may run once among them. Between a request and its
/// end the gateway either answers, or was killed.
pub fn ask(seed: u64, front: String, kills: Arc<AtomicU64>, ledger: Arc<Ledger>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut kept: Option<TcpStream> = None;
    for number in 0u64.. {
        if ledger.over() {
            return;
        }
        std::thread::park_timeout(Duration::from_millis(rng.u64(1..20)));
        let stream = match kept.take() {
            Some(stream) => stream,
            None => {
                let addr = front.parse::<SocketAddr>().expect("an address");
                let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else { continue };
                let _ = stream.set_read_timeout(Some(PATIENCE));
                stream
            }
        };
        kept = one(&mut rng, stream, &format!("{seed:x}-{number}"), &front, &kills, &ledger);
    }
}

/// One request and its answer; the connection, if it may be used again.
fn one(
    rng: &mut fastrand::Rng, mut stream: TcpStream, name: &str, front: &str, kills: &AtomicU64,
    ledger: &Ledger,
) -> Option<TcpStream> {
    let once = rng.bool();
    let killed = kills.load(Ordering::SeqCst);
    let (method, path) = if once { ("POST", "/x/1") } else { ("GET", "/s/1") };
    let body = if once { "body" } else { "" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {name}\r\nDeadline-Ms: 2000\r\n\
         Authorization: Bearer k1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    ledger.asked.fetch_add(1, Ordering::Relaxed);
    let mut text = Vec::new();
    let whole = loop {
        let mut piece = [0; 4096];
        match stream.read(&mut piece) {
            Ok(read) if read > 0 => text.extend_from_slice(&piece[..read]),
            _ => break false,
        }
        if complete(&text) {
            break true;
        }
    };
    let head = String::from_utf8_lossy(&text).to_ascii_lowercase();
    let status: u16 = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if !whole {
        // A kept connection may be closed as the request arrives: then it was not passed on.
        let ran = ledger.runs.lock().expect("no panic here").contains_key(name);
        if ran && kills.load(Ordering::SeqCst) == killed {
            ledger.wrong(format!("request {name} ran and {front} gave no whole answer, and was not killed"));
        }
        return None;
    }
    if once && [408, 421, 429, 503].contains(&status) {
        ledger.promised.lock().expect("no panic here").insert(name.to_owned());
    }
    if status == 200 {
        ledger.served.fetch_add(1, Ordering::Relaxed);
        if !head.contains(&format!("request-id: {name}\r\n")) {
            ledger.wrong(format!("request {name} got another's answer: {head}"));
        }
    }
    (!head.contains("connection: close")).then_some(stream)
}

/// Whether these bytes are a whole answer.
fn complete(text: &[u8]) -> bool {
    let Some(end) = text.windows(4).position(|end| end == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&text[..end]).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    text.len() >= end + 4 + length.and_then(|length| length.trim().parse::<usize>().ok()).unwrap_or(0)
}
