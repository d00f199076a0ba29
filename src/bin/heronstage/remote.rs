//! Calls to a running gateway at its operators' address, as a person makes them from a shell.

use crate::cli::{Call, Configuration, Drain, Exit};
use crate::config::{self, Changes, EffectiveConfig, FileSource};
use crate::status::{Phase, Status};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tabwriter::TabWriter;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use tracing_subscriber::filter::Targets;

/// A gateway that is there answers within a second, however busy it is.
const PATIENCE: Duration = Duration::from_secs(3);
/// Longest answer that is read.
const ANSWER_MOST: usize = 4 << 20;
/// Between two looks at a gateway.
const LOOK: Duration = Duration::from_millis(100);

/// Why a command did not end as wanted.
pub struct Failure {
    pub exit: Exit,
    pub why: String,
}

impl Failure {
    fn unreached(at: SocketAddr, why: impl std::fmt::Display) -> Self {
        Failure { exit: Exit::Unreached, why: format!("{at}: {why}") }
    }

    /// What was answered is not what a gateway answers.
    fn odd(at: SocketAddr, why: impl std::fmt::Display) -> Self {
        Failure::unreached(at, format!("not a gateway's answer: {why}"))
    }
}

impl From<io::Error> for Failure {
    /// Standard output took no more.
    fn from(e: io::Error) -> Self {
        // Whoever reads has what was wanted: `| head`, or a pager that was left.
        let exit = if e.kind() == io::ErrorKind::BrokenPipe { Exit::Done } else { Exit::No };
        Failure { exit, why: format!("standard output: {e}") }
    }
}

pub type Outcome = Result<Exit, Failure>;

struct Reply {
    status: StatusCode,
    body: Bytes,
}

impl Reply {
    fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim_end().to_owned()
    }
}

async fn call(at: SocketAddr, method: Method, path: &str) -> Result<Reply, Failure> {
    let called = async {
        let stream = TcpStream::connect(at).await.map_err(|e| Failure::unreached(at, e))?;
        let hands = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = hands.map_err(|e| Failure::unreached(at, e))?;
        let request = Request::builder().method(method).uri(path).header(HOST, at.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(|e| Failure::unreached(at, e))?;
        let exchange = async {
            let reply = sender.send_request(request).await.map_err(|e| Failure::odd(at, e))?;
            let (parts, body) = reply.into_parts();
            let body = Limited::new(body, ANSWER_MOST).collect().await.map_err(|e| Failure::odd(at, e))?;
            Ok(Reply { status: parts.status, body: body.to_bytes() })
        };
        tokio::pin!(connection, exchange);
        tokio::select! {
            biased;
            reply = &mut exchange => reply,
            // Once the connection has ended the exchange knows how.
            _ = &mut connection => exchange.await,
        }
    };
    timeout(PATIENCE, called).await.unwrap_or_else(|_| Err(Failure::unreached(at, "no answer in time")))
}

/// A call whose answer is yes or no.
async fn ask(at: SocketAddr, method: Method, path: &str) -> Result<Reply, Failure> {
    let reply = call(at, method, path).await?;
    match reply.status {
        StatusCode::OK => Ok(reply),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => {
            Err(Failure { exit: Exit::No, why: format!("{at}: {}", reply.text()) })
        }
        status => Err(Failure::odd(at, format!("{status} {}", reply.text()))),
    }
}

/// What the gateway says of itself, as it came and as it is read.
pub async fn look(at: SocketAddr) -> Result<(Bytes, Status), Failure> {
    let reply = ask(at, Method::GET, "/admin/status").await?;
    let status = serde_json::from_slice(&reply.body).map_err(|e| Failure::odd(at, e))?;
    Ok((reply.body, status))
}

pub fn print(text: impl AsRef<[u8]>) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_ref())?;
    Ok(out.flush()?)
}

/// Rows of cells that are parted by tabs, in columns.
pub fn columns(rows: &str) -> Result<Vec<u8>, Failure> {
    let mut writer = TabWriter::new(Vec::new()).padding(2);
    writer.write_all(rows.as_bytes())?;
    Ok(writer.into_inner().map_err(|e| io::Error::other(e.to_string()))?)
}

fn table(rows: &str) -> Result<(), Failure> {
    print(columns(rows)?)
}

/// `status`
pub async fn status(args: Call) -> Outcome {
    let (raw, status) = look(args.operators).await?;
    if args.json {
        print(raw)?;
    } else {
        table(&rows(&status))?;
    }
    Ok(Exit::Done)
}

pub fn rows(s: &Status) -> String {
    let mut rows = String::new();
    let mut row = |name: &str, value: &dyn std::fmt::Display| {
        // A String takes every write.
        let _ = writeln!(rows, "{name}\t{value}");
    };
    let named = if s.name.is_empty() { "-" } else { &s.name };
    row("gateway", &format!("{named}, version {}, process {}", s.version, s.pid));
    row("phase", &phase(s.phase));
    row("up", &format!("{:.0} s", s.uptime_s));
    row("connections", &s.connections);
    row("open requests", &s.open_requests);
    row("sent on", &s.relayed);
    row("servers", &format!("{} listed, {} avoided", s.servers.listed, s.servers.avoided));
    if let Some(m) = &s.members {
        let expected = m.expected.map_or(String::new(), |expected| format!(" of {expected}"));
        let majority = if m.majority == Some(false) { ", no majority" } else { "" };
        row("members", &format!("{}{expected} present, {} missing{majority}", m.present, m.missing));
    }
    row("memory", &format!("{:.1} MiB", s.process.resident_bytes as f64 / f64::from(1 << 20)));
    row("descriptors", &format!("{} of {}", s.process.descriptors, s.process.descriptors_most));
    row("processor", &format!("{:.2} s", s.process.cpu_s));
    let refusals = s.refusals.iter().filter(|(_, count)| **count > 0);
    let refusals: Vec<_> = refusals.map(|(reason, count)| format!("{count} {reason}")).collect();
    row("refused", &if refusals.is_empty() { "none".to_owned() } else { refusals.join(", ") });
    let _ = writeln!(rows, "\nclass\tserved\trefused\tfailed");
    for class in &s.classes {
        let _ = writeln!(rows, "{}\t{}\t{}\t{}", class.name, class.fulfilled, class.throttled, class.faulted);
    }
    rows
}

pub fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "ready",
        Phase::Unready => "not ready",
        Phase::Draining => "draining",
        Phase::Ending => "ending",
    }
}

/// `members`
pub async fn members(args: Call) -> Outcome {
    let reply = ask(args.operators, Method::GET, "/admin/members").await?;
    if args.json {
        print(reply.body)?;
        return Ok(Exit::Done);
    }
    let view: serde_json::Value =
        serde_json::from_slice(&reply.body).map_err(|e| Failure::odd(args.operators, e))?;
    let text = |of: &serde_json::Value, key: &str| match &of[key] {
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let mut rows = format!(
        "cluster {}: {} present, {} expected\n\nmember\taddress\tstate\tfor\tdraining\n",
        text(&view, "cluster"),
        text(&view, "present"),
        text(&view, "expected")
    );
    let mut row = |of: &serde_json::Value, state: &str, since: &str| {
        let (name, addr, draining) = (text(of, "name"), text(of, "addr"), text(of, "draining"));
        let _ = writeln!(rows, "{name}\t{addr}\t{state}\t{since}\t{draining}");
    };
    row(&view, "this one", "-");
    for member in view["members"].as_array().into_iter().flatten() {
        let since = member["for_ms"].as_f64().map_or("-".to_owned(), |ms| format!("{:.0} s", ms / 1000.0));
        row(member, &text(member, "state"), &since);
    }
    for name in view["missing"].as_array().into_iter().flatten() {
        let _ = writeln!(rows, "missing: {}", name.as_str().unwrap_or("-"));
    }
    table(&rows)?;
    Ok(Exit::Done)
}

/// `reload`
pub async fn reload(args: Call) -> Outcome {
    let reply = ask(args.operators, Method::POST, "/admin/reload").await?;
    if args.json {
        print(reply.body)?;
        return Ok(Exit::Done);
    }
    let changes: Changes =
        serde_json::from_slice(&reply.body).map_err(|e| Failure::odd(args.operators, e))?;
    let mut text = String::new();
    for key in &changes.keys {
        let later = if changes.restart.contains(key) { ", holds after a restart" } else { "" };
        let _ = writeln!(text, "changed: {key}{later}");
    }
    if changes.keys.is_empty() {
        text.push_str("nothing changed\n");
    }
    print(text)?;
    Ok(Exit::Done)
}

/// `log`
pub async fn log(args: Call, levels: &Targets) -> Outcome {
    // What was parsed has no character that a query can't hold.
    ask(args.operators, Method::POST, &format!("/admin/log?{levels}")).await?;
    told(&args, "logging", "other levels")
}

/// `resume`
pub async fn resume(args: Call) -> Outcome {
    ask(args.operators, Method::POST, "/admin/resume").await?;
    told(&args, "resumed", "taking clients")
}

/// `drain`
pub async fn drain(args: Drain) -> Outcome {
    let at = args.call.operators;
    ask(at, Method::POST, "/admin/quiesce").await?;
    if !args.wait {
        return told(&args.call, "draining", "draining");
    }
    let by = Instant::now() + args.timeout;
    loop {
        let (_, status) = look(at).await?;
        if status.phase != Phase::Draining && status.phase != Phase::Ending {
            return Err(Failure { exit: Exit::No, why: format!("{at}: the drain was undone") });
        }
        if status.open_requests == 0 && status.connections == 0 {
            return told(&args.call, "drained", "drained");
        }
        if Instant::now() >= by {
            let (open, clients) = (status.open_requests, status.connections);
            let why = format!("{at}: not drained: {open} requests open, {clients} connections");
            return Err(Failure { exit: Exit::No, why });
        }
        sleep(LOOK).await;
    }
}

/// Prints that a call was done.
fn told(args: &Call, state: &str, text: &str) -> Outcome {
    if args.json {
        print(serde_json::json!({ "state": state }).to_string() + "\n")?;
    } else {
        print(format!("{text}\n"))?;
    }
    Ok(Exit::Done)
}

/// Prints what was made at once.
pub fn made(text: impl AsRef<[u8]>) -> Outcome {
    print(text)?;
    Ok(Exit::Done)
}

/// `check`
pub fn check(file: &FileSource) -> Outcome {
    let mistakes = file.check();
    if mistakes.is_empty() {
        return made("no mistake\n");
    }
    let lines: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
    Err(Failure { exit: Exit::Bad, why: lines.join("\n") })
}

/// `config`
pub fn config(show: Configuration) -> Outcome {
    match show {
        Configuration::Schema => made(format!("{:#}\n", config::schema())),
        Configuration::Example => made(config::example()),
        Configuration::Keys => made(config::keys()),
        Configuration::Show { layers, json } => {
            let shown = FileSource::from(layers).show().map_err(|why| Failure { exit: Exit::Bad, why })?;
            let EffectiveConfig(keys) = shown;
            if json {
                let row = |(key, value, from)| serde_json::json!({"key": key, "value": value, "from": from});
                let rows: Vec<_> = keys.into_iter().map(row).collect();
                return made(format!("{:#}\n", serde_json::Value::from(rows)));
            }
            let rows: String =
                keys.iter().map(|(key, value, from)| format!("{key}\t{value}\t{from}\n")).collect();
            table(&rows)?;
            Ok(Exit::Done)
        }
    }
}
