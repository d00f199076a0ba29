//! The status that each core process reports, and the table that the `status` command prints from all of
//! them.

use crate::link;
use eyre::{eyre, Result};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use miniserde::{json, Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use tabwriter::TabWriter;
use tokio::time::timeout;

/// Longest wait for the response of a core process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted response body.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum number of core processes that are queried.
const MAX_CORES: usize = 16;
/// A gateway is shown as silent if its last message is older than this.
const SILENT_AFTER_MS: u64 = 1500;

/// The system as one core process sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Control address, which is also the process's name.
    pub address: String,
    /// Machine name.
    pub node: String,
    /// Address of the leader; empty if unknown.
    pub leader: String,
    /// It leads, and a majority confirmed that recently.
    #[serde(rename = "vouches")]
    pub confirmed_leader: bool,
    /// Highest known term.
    pub term: u64,
    /// Index of the last applied change.
    pub index: u64,
    /// Digest of its replica of the state.
    pub digest: String,
    /// Number of entries in its log.
    #[serde(rename = "log")]
    pub log_entries: u64,
    /// Progress of the snapshot that it is receiving, as text.
    #[serde(rename = "installing")]
    pub snapshot_progress: Option<String>,
    /// Members of the core.
    pub members: Vec<String>,
    /// Leader only: members that it has not heard from recently.
    pub missing: Vec<String>,
    /// Leader only: members with a new disk that are still catching up.
    #[serde(rename = "filling")]
    pub catching_up: Vec<String>,
    /// Leader only: non-voting processes that can replace a lost member.
    #[serde(rename = "listeners")]
    pub learners: Vec<String>,
    /// Why it has no leader, as text.
    #[serde(rename = "leaderless")]
    pub leaderless_reason: Option<String>,
    /// Invariants that were violated in this process. `None` from releases that do not report them.
    pub violations: Option<Vec<ViolationCount>>,
    /// Leader only: members that may fail at once without the loss of the quorum.
    #[serde(rename = "borne")]
    pub tolerable_losses: u64,
    /// Edition of the current configuration; empty if there is none.
    pub edition: String,
    /// Evacuated zones.
    pub evacuated: Vec<String>,
    /// All known gateways.
    pub gateways: Vec<GatewayStatus>,
    /// Services with backends, by zone.
    pub services: Vec<ServiceStatus>,
    /// The latest roll-out of each service that had one. `None` from releases that do not report them.
    pub rollouts: Option<Vec<RolloutStatus>>,
    /// Usage of tenants, if this process counts it.
    #[serde(rename = "counts")]
    pub tenant_usage: Vec<TenantUsage>,
}

/// A gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Machine name.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address for client traffic.
    #[serde(rename = "front")]
    pub client_addr: String,
    /// Its proxy is ready for new clients.
    pub ready: bool,
    /// Index of the last change that its agent applied.
    #[serde(rename = "held")]
    pub agent_applied_index: u64,
    /// Index of the last change that its proxy applied.
    #[serde(rename = "applied")]
    pub proxy_applied_index: u64,
    /// Time since its last message, in ms; `None` if there was none on the current connection.
    #[serde(rename = "heard_ms")]
    pub last_message_age_ms: Option<u64>,
}

/// A service's backends in one zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Zone of the backends.
    pub zone: String,
    /// Backends that accept requests.
    pub open: u64,
    /// Backends that accept no new requests.
    pub closing: u64,
    /// Open backends that are still warming up.
    pub cold: u64,
    /// Requests that the open backends can process at once.
    #[serde(rename = "berths")]
    pub max_concurrency: u64,
}

/// A roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Name of the service.
    pub service: String,
    /// The version that its requests move to.
    pub to_edition: String,
    /// Its phase.
    pub phase: String,
    /// The new version's share of the requests.
    pub share: f64,
    /// Time left of its term, in ms.
    pub remaining_ms: u64,
    /// Why it is in this phase.
    pub reason: String,
}

/// An invariant that was violated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViolationCount {
    /// Name of the invariant.
    pub invariant: String,
    /// Number of violations.
    pub times: u64,
}

/// A tenant's usage in the current rate-limit window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Name of the tenant.
    pub tenant: String,
    /// Rate limit in requests per second; 0 for none.
    pub per_s: f64,
    /// Units used in this window.
    pub units: i64,
}

/// Queries one core process.
async fn query(address: SocketAddr) -> Result<Status> {
    let stream = link::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The task ends when the sender is dropped.
    tokio::task::spawn_local(async move { drop(connection.await) });
    let request =
        Request::get("/api/Status").header("host", address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let body =
        Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.map_err(|e| eyre!("{e}"))?;
    let body = body.to_bytes();
    json::from_str(std::str::from_utf8(&body)?).map_err(|_| eyre!("malformed response"))
}

/// Queries these core processes and the members that they list.
async fn query_all(addresses: Vec<SocketAddr>) -> BTreeMap<SocketAddr, Result<Status>> {
    let mut answers = BTreeMap::new();
    let mut pending: BTreeSet<SocketAddr> = addresses.into_iter().collect();
    while let Some(address) = pending.pop_first() {
        if answers.len() >= MAX_CORES {
            break;
        }
        let answer = timeout(RESPONSE_TIMEOUT, query(address)).await.unwrap_or_else(|_| Err(eyre!("silent")));
        if let Ok(status) = &answer {
            pending.extend(status.members.iter().filter_map(|member| member.parse::<SocketAddr>().ok()));
        }
        answers.insert(address, answer);
        pending.retain(|address| !answers.contains_key(address));
    }
    answers
}

/// The status of all core processes, as a table or as JSON, and whether one of them leads.
pub async fn report(addresses: Vec<SocketAddr>, as_json: bool) -> Result<(String, bool)> {
    let answers = query_all(addresses).await;
    let statuses: Vec<&Status> = answers.values().filter_map(|answer| answer.as_ref().ok()).collect();
    // The leader has the most recent state; without one, the process with the highest index.
    let best = statuses.iter().max_by_key(|status| (status.confirmed_leader, status.index));
    let Some(best) = best else { return Err(eyre!("no core process responds")) };
    if as_json {
        let all: Vec<Status> = statuses.iter().map(|status| (*status).clone()).collect();
        return Ok((json::to_string(&all) + "\n", best.confirmed_leader));
    }
    Ok((table(&answers, best)?, best.confirmed_leader))
}

/// One line for each problem that a core process reports.
fn problems(status: &Status) -> Vec<String> {
    let leaderless =
        status.leaderless_reason.iter().map(|why| format!("{} follows nobody: {why}", status.address));
    let violations = status.violations.iter().flatten().map(|line| {
        format!("{} VIOLATED {} {} times: tell the developers", status.address, line.invariant, line.times)
    });
    leaderless.chain(violations).collect()
}

fn table(answers: &BTreeMap<SocketAddr, Result<Status>>, best: &Status) -> Result<String> {
    let mut text = String::new();
    let edition = if best.edition.is_empty() { "none" } else { &best.edition };
    writeln!(text, "configuration {edition}, change {}, emptied: {}\n", best.index, joined(&best.evacuated))?;
    if best.confirmed_leader {
        let Status { missing, catching_up, learners, tolerable_losses, members, .. } = best;
        let (missing, catching_up, learners) = (joined(missing), joined(catching_up), joined(learners));
        writeln!(
            text,
            "members: {}, missing: {missing}, filling: {catching_up}, listening: {learners}",
            members.len()
        )?;
        writeln!(text, "borne now: {tolerable_losses} more\n")?;
    }
    writeln!(text, "core\tmachine\tstate\tterm\tchange\tcopy\tlog")?;
    for (address, answer) in answers {
        match answer {
            Ok(status) => {
                let member = status.members.contains(&status.address);
                let state = match (status.confirmed_leader, member, status.leader.is_empty()) {
                    (true, ..) => "leads",
                    (_, false, _) => "no member",
                    (.., true) => "knows no leader",
                    (.., false) => "follows",
                };
                // Replicas at the same index have the same digest, unless one is corrupt.
                let behind = best.index.saturating_sub(status.index);
                let replica = match (behind, status.digest == best.digest, &status.snapshot_progress) {
                    (0, true, _) => "same".to_owned(),
                    (0, false, _) => "DIFFERS".to_owned(),
                    (_, _, Some(progress)) => format!("{behind} behind: {progress}"),
                    (_, _, None) => format!("{behind} behind"),
                };
                let Status { node, term, index, log_entries, .. } = status;
                writeln!(text, "{address}\t{node}\t{state}\t{term}\t{index}\t{replica}\t{log_entries}")?;
            }
            Err(e) => writeln!(text, "{address}\t\t{e}\t\t\t\t")?,
        }
    }
    for line in answers.values().flatten().flat_map(problems) {
        writeln!(text, "{line}")?;
    }
    writeln!(text, "\ngateway\tzone\tstate\tbehind\tproxy behind\theard ms\tfront")?;
    for line in &best.gateways {
        let silent = line.last_message_age_ms.is_none_or(|ms| ms > SILENT_AFTER_MS);
        let state = match (silent, line.ready) {
            (true, _) => "silent",
            (_, true) => "ready",
            (_, false) => "takes no clients",
        };
        let behind = |index: u64| best.index.saturating_sub(index);
        let heard = line.last_message_age_ms.map_or("-".to_owned(), |ms| ms.to_string());
        let GatewayStatus { node, zone, agent_applied_index, proxy_applied_index, client_addr, .. } = line;
        writeln!(
            text,
            "{node}\t{zone}\t{state}\t{}\t{}\t{heard}\t{client_addr}",
            behind(*agent_applied_index),
            behind(*proxy_applied_index)
        )?;
    }
    writeln!(text, "\nservice\tzone\topen\tclosing\tcold\tberths")?;
    for ServiceStatus { service, zone, open, closing, cold, max_concurrency } in &best.services {
        writeln!(text, "{service}\t{zone}\t{open}\t{closing}\t{cold}\t{max_concurrency}")?;
    }
    let rollouts: Vec<_> = best.rollouts.iter().flatten().collect();
    if !rollouts.is_empty() {
        writeln!(text, "\nroll-out\tto\tphase\tshare\ts left\treason")?;
    }
    for RolloutStatus { service, to_edition, phase, share, remaining_ms, reason } in rollouts {
        let left_s = *remaining_ms as f64 / 1000.0;
        writeln!(text, "{service}\t{to_edition}\t{phase}\t{share:.2}\t{left_s:.1}\t{reason}")?;
    }
    if !best.tenant_usage.is_empty() {
        writeln!(text, "\ntenant\tunits in this window\ta second")?;
    }
    for TenantUsage { tenant, per_s, units } in &best.tenant_usage {
        writeln!(text, "{tenant}\t{units}\t{per_s}")?;
    }
    let mut writer = TabWriter::new(Vec::new());
    writer.write_all(text.as_bytes())?;
    Ok(String::from_utf8(writer.into_inner().map_err(|e| eyre!("{e}"))?)?)
}

fn joined(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}
