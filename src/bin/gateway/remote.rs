//! Implementation of the commands: calls to the operator interface of a running gateway, and their output.

use crate::cli::{ConfigCommand, DrainArgs, ExitStatus, OperatorArgs};
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

/// Timeout for a call. A busy gateway responds to operators within one second.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Interval between status calls while waiting for a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Failure of a command: its exit status and an error message of one or more lines.
pub struct Failure {
    pub exit: ExitStatus,
    pub message: String,
}

impl Failure {
    fn unreachable(at: SocketAddr, reason: impl std::fmt::Display) -> Self {
        Failure { exit: ExitStatus::Unreachable, message: format!("{at}: {reason}") }
    }

    /// The response is not one that a gateway sends.
    fn invalid_response(at: SocketAddr, reason: impl std::fmt::Display) -> Self {
        Failure::unreachable(at, format!("not a gateway's answer: {reason}"))
    }
}

impl From<io::Error> for Failure {
    /// Converts an error of standard output.
    fn from(e: io::Error) -> Self {
        // A closed pipe is not a failure: `| head` or a pager has read as much as it needs.
        let exit =
            if e.kind() == io::ErrorKind::BrokenPipe { ExitStatus::Success } else { ExitStatus::Failed };
        Failure { exit, message: format!("standard output: {e}") }
    }
}

/// Result of a command.
pub type CommandResult = Result<ExitStatus, Failure>;

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
    let exchange = async {
        let stream = TcpStream::connect(at).await.map_err(|e| Failure::unreachable(at, e))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|e| Failure::unreachable(at, e))?;
        let request = Request::builder().method(method).uri(path).header(HOST, at.to_string());
        let request = request.body(Empty::<Bytes>::new()).map_err(|e| Failure::unreachable(at, e))?;
        let response = async {
            let reply = sender.send_request(request).await.map_err(|e| Failure::invalid_response(at, e))?;
            let (parts, body) = reply.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| Failure::invalid_response(at, e))?;
            Ok(Reply { status: parts.status, body: body.to_bytes() })
        };
        tokio::pin!(connection, response);
        tokio::select! {
            biased;
            reply = &mut response => reply,
            // The connection has ended, so the response is complete or has failed.
            _ = &mut connection => response.await,
        }
    };
    timeout(CALL_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(Failure::unreachable(at, "no answer in time")))
}

/// Makes a call and checks the status of the response: 404 and 409 are refusals.
async fn checked_call(at: SocketAddr, method: Method, path: &str) -> Result<Reply, Failure> {
    let reply = call(at, method, path).await?;
    match reply.status {
        StatusCode::OK => Ok(reply),
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => {
            Err(Failure { exit: ExitStatus::Failed, message: format!("{at}: {}", reply.text()) })
        }
        status => Err(Failure::invalid_response(at, format!("{status} {}", reply.text()))),
    }
}

/// Fetches the gateway's status; returns the response body and the parsed status.
pub async fn fetch_status(at: SocketAddr) -> Result<(Bytes, Status), Failure> {
    let reply = checked_call(at, Method::GET, "/admin/status").await?;
    let status = serde_json::from_slice(&reply.body).map_err(|e| Failure::invalid_response(at, e))?;
    Ok((reply.body, status))
}

/// Writes to standard output and flushes it.
pub fn print(text: impl AsRef<[u8]>) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_ref())?;
    Ok(out.flush()?)
}

/// Aligns rows of tab-separated cells in columns.
pub fn align_columns(rows: &str) -> Result<Vec<u8>, Failure> {
    let mut writer = TabWriter::new(Vec::new()).padding(2);
    writer.write_all(rows.as_bytes())?;
    Ok(writer.into_inner().map_err(|e| io::Error::other(e.to_string()))?)
}

fn print_table(rows: &str) -> Result<(), Failure> {
    print(align_columns(rows)?)
}

/// The command `status`.
pub async fn status(args: OperatorArgs) -> CommandResult {
    let (raw, status) = fetch_status(args.operators).await?;
    if args.json {
        print(raw)?;
    } else {
        print_table(&status_rows(&status))?;
    }
    Ok(ExitStatus::Success)
}

/// The status as rows of tab-separated cells.
pub fn status_rows(s: &Status) -> String {
    let mut rows = String::new();
    let mut row = |name: &str, value: &dyn std::fmt::Display| {
        // Writing to a String cannot fail.
        let _ = writeln!(rows, "{name}\t{value}");
    };
    let name = if s.name.is_empty() { "-" } else { &s.name };
    row("gateway", &format!("{name}, version {}, process {}", s.version, s.pid));
    row("phase", &phase_name(s.phase));
    row("uptime", &format!("{:.0} s", s.uptime_s));
    row("connections", &s.connections);
    row("open requests", &s.open_requests);
    row("relayed", &s.relayed);
    row("servers", &format!("{} listed, {} avoided", s.servers.listed, s.servers.avoided));
    if let Some(m) = &s.members {
        let expected = m.expected.map_or(String::new(), |expected| format!(" of {expected}"));
        let majority = if m.majority == Some(false) { ", no majority" } else { "" };
        row("members", &format!("{}{expected} present, {} missing{majority}", m.present, m.missing));
    }
    row("memory", &format!("{:.1} MiB", s.process.resident_bytes as f64 / f64::from(1 << 20)));
    row("descriptors", &format!("{} of {}", s.process.descriptors, s.process.max_descriptors));
    row("CPU time", &format!("{:.2} s", s.process.cpu_s));
    let refusals = s.refusals.iter().filter(|(_, count)| **count > 0);
    let refusals: Vec<_> = refusals.map(|(reason, count)| format!("{count} {reason}")).collect();
    row("refused", &if refusals.is_empty() { "none".to_owned() } else { refusals.join(", ") });
    let _ = writeln!(rows, "\nclass\tserved\trefused\tfailed");
    for class in &s.classes {
        let _ = writeln!(rows, "{}\t{}\t{}\t{}", class.name, class.fulfilled, class.throttled, class.faulted);
    }
    rows
}

/// The phase as shown in text output.
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "ready",
        Phase::Unready => "not ready",
        Phase::Draining => "draining",
        Phase::Ending => "ending",
    }
}

/// The command `members`.
pub async fn members(args: OperatorArgs) -> CommandResult {
    let reply = checked_call(args.operators, Method::GET, "/admin/members").await?;
    if args.json {
        print(reply.body)?;
        return Ok(ExitStatus::Success);
    }
    let view: serde_json::Value =
        serde_json::from_slice(&reply.body).map_err(|e| Failure::invalid_response(args.operators, e))?;
    let text = |object: &serde_json::Value, key: &str| match &object[key] {
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
    let mut row = |member: &serde_json::Value, state: &str, state_age: &str| {
        let (name, addr) = (text(member, "name"), text(member, "addr"));
        let draining = text(member, "draining");
        let _ = writeln!(rows, "{name}\t{addr}\t{state}\t{state_age}\t{draining}");
    };
    row(&view, "this one", "-");
    for member in view["members"].as_array().into_iter().flatten() {
        let state_age =
            member["for_ms"].as_f64().map_or("-".to_owned(), |ms| format!("{:.0} s", ms / 1000.0));
        row(member, &text(member, "state"), &state_age);
    }
    for name in view["missing"].as_array().into_iter().flatten() {
        let _ = writeln!(rows, "missing: {}", name.as_str().unwrap_or("-"));
    }
    print_table(&rows)?;
    Ok(ExitStatus::Success)
}

/// The command `reload`.
pub async fn reload(args: OperatorArgs) -> CommandResult {
    let reply = checked_call(args.operators, Method::POST, "/admin/reload").await?;
    if args.json {
        print(reply.body)?;
        return Ok(ExitStatus::Success);
    }
    let changes: Changes =
        serde_json::from_slice(&reply.body).map_err(|e| Failure::invalid_response(args.operators, e))?;
    let mut text = String::new();
    for key in &changes.keys {
        let restart_note = if changes.restart.contains(key) { ", holds after a restart" } else { "" };
        let _ = writeln!(text, "changed: {key}{restart_note}");
    }
    if changes.keys.is_empty() {
        text.push_str("nothing changed\n");
    }
    print(text)?;
    Ok(ExitStatus::Success)
}

/// The command `log`.
pub async fn log(args: OperatorArgs, levels: &Targets) -> CommandResult {
    // Valid levels contain no character that must be escaped in a query.
    checked_call(args.operators, Method::POST, &format!("/admin/log?{levels}")).await?;
    print_state(&args, "logging", "other levels")
}

/// The command `resume`.
pub async fn resume(args: OperatorArgs) -> CommandResult {
    checked_call(args.operators, Method::POST, "/admin/resume").await?;
    print_state(&args, "resumed", "taking clients")
}

/// The command `drain`.
pub async fn drain(args: DrainArgs) -> CommandResult {
    let at = args.call.operators;
    checked_call(at, Method::POST, "/admin/quiesce").await?;
    if !args.wait {
        return print_state(&args.call, "draining", "draining");
    }
    let deadline = Instant::now() + args.timeout;
    loop {
        let (_, status) = fetch_status(at).await?;
        if status.phase != Phase::Draining && status.phase != Phase::Ending {
            return Err(Failure {
                exit: ExitStatus::Failed,
                message: format!("{at}: the drain was ended before it was complete"),
            });
        }
        if status.open_requests == 0 && status.connections == 0 {
            return print_state(&args.call, "drained", "drained");
        }
        if Instant::now() >= deadline {
            let (open, clients) = (status.open_requests, status.connections);
            let message = format!("{at}: not drained: {open} requests open, {clients} connections");
            return Err(Failure { exit: ExitStatus::Failed, message });
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Prints the state after a successful call, as text or JSON.
fn print_state(args: &OperatorArgs, state: &str, text: &str) -> CommandResult {
    if args.json {
        print(serde_json::json!({ "state": state }).to_string() + "\n")?;
    } else {
        print(format!("{text}\n"))?;
    }
    Ok(ExitStatus::Success)
}

/// Prints the output of a command that cannot fail otherwise.
pub fn print_output(text: impl AsRef<[u8]>) -> CommandResult {
    print(text)?;
    Ok(ExitStatus::Success)
}

/// The command `check`.
pub fn check(file: &FileSource) -> CommandResult {
    let mistakes = file.check();
    if mistakes.is_empty() {
        return print_output("no mistake\n");
    }
    let lines: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
    Err(Failure { exit: ExitStatus::InvalidInput, message: lines.join("\n") })
}

/// The command `config`.
pub fn config(command: ConfigCommand) -> CommandResult {
    match command {
        ConfigCommand::Schema => print_output(format!("{:#}\n", config::schema())),
        ConfigCommand::Example => print_output(config::example()),
        ConfigCommand::Keys => print_output(config::keys()),
        ConfigCommand::Show { args, json } => {
            let shown = FileSource::from(args)
                .show()
                .map_err(|message| Failure { exit: ExitStatus::InvalidInput, message })?;
            let EffectiveConfig(keys) = shown;
            if json {
                let row =
                    |(key, value, source)| serde_json::json!({"key": key, "value": value, "from": source});
                let rows: Vec<_> = keys.into_iter().map(row).collect();
                return print_output(format!("{:#}\n", serde_json::Value::from(rows)));
            }
            let rows: String =
                keys.iter().map(|(key, value, source)| format!("{key}\t{value}\t{source}\n")).collect();
            print_table(&rows)?;
            Ok(ExitStatus::Success)
        }
    }
}
