//! What a core process tells operators of the system as it sees it, and the table that is made of all their answers.

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

/// A core process answers within this, or is told as silent.
const ANSWER: Duration = Duration::from_secs(2);
/// Largest answer.
const ANSWER_MOST: usize = 4 << 20;
/// Core processes that are asked at most.
const CORES_MOST: usize = 16;
/// A gateway that was not heard for so long is told as silent, in ms.
const SILENT_MS: u64 = 1500;

/// The system as one core process sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name: its control address.
    pub address: String,
    /// Its machine.
    pub node: String,
    /// Who leads, as far as it knows; empty where it does not.
    pub leader: String,
    /// It leads, and a majority has said so lately.
    pub vouches: bool,
    /// The latest term it has heard of.
    pub term: u64,
    /// The number of the last change it has applied.
    pub index: u64,
    /// The digest of its copy.
    pub digest: String,
    /// Entries in its log.
    pub log: u64,
    /// How far it is with a state that it is sent, in words; none where it is sent none.
    pub installing: Option<String>,
    /// The members of the core.
    pub members: Vec<String>,
    /// Members that it has not heard lately, where it leads.
    pub missing: Vec<String>,
    /// Members whose disk is new and is being filled, where it leads.
    pub filling: Vec<String>,
    /// Those that listen and take the place of a lost member, where it leads.
    pub listeners: Vec<String>,
    /// Why it follows nobody, where nobody leads.
    pub leaderless: Option<String>,
    /// Invariants that were violated in this process. Earlier programs tell none.
    pub violations: Option<Vec<ViolationLine>>,
    /// Members that may be lost now, all at once, with a majority left, where it leads.
    pub borne: u64,
    /// The configuration in force; empty before the first.
    pub edition: String,
    /// Zones that are emptied.
    pub evacuated: Vec<String>,
    /// All gateways that are known.
    pub gateways: Vec<GatewayLine>,
    /// All services that have backends.
    pub services: Vec<ServiceLine>,
    /// The counts, where it counts.
    pub counts: Vec<CountLine>,
}

/// A gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayLine {
    /// Its machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where clients arrive.
    pub front: String,
    /// It takes clients.
    pub ready: bool,
    /// The number of the last change that its agent holds.
    pub held: u64,
    /// And that its proxy goes by.
    pub applied: u64,
    /// Time since it was last heard, in ms; none where it was not heard on its present link.
    pub heard_ms: Option<u64>,
}

/// A service's backends in one zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLine {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Backends that take work.
    pub open: u64,
    /// Backends that take nothing new.
    pub closing: u64,
    /// Those of the open ones that are cold.
    pub cold: u64,
    /// Requests that the open ones work on at once.
    pub berths: u64,
}

/// An invariant that was violated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViolationLine {
    /// The invariant.
    pub invariant: String,
    /// How often.
    pub times: u64,
}

/// A tenant's count in the present window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CountLine {
    /// The tenant.
    pub tenant: String,
    /// Requests a second that it may send; nought for no limit.
    pub per_s: f64,
    /// Units in this window.
    pub units: i64,
}

/// Asks one core process.
async fn ask(address: SocketAddr) -> Result<Status> {
    let stream = link::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // It ends with the sender.
    tokio::task::spawn_local(async move { drop(connection.await) });
    let request =
        Request::get("/api/Status").header("host", address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    let body = Limited::new(answer.into_body(), ANSWER_MOST).collect().await.map_err(|e| eyre!("{e}"))?;
    let body = body.to_bytes();
    json::from_str(std::str::from_utf8(&body)?).map_err(|_| eyre!("its answer can't be read"))
}

/// Asks these core processes, and those that they name as members.
async fn ask_all(addresses: Vec<SocketAddr>) -> BTreeMap<SocketAddr, Result<Status>> {
    let mut answers = BTreeMap::new();
    let mut next: BTreeSet<SocketAddr> = addresses.into_iter().collect();
    while let Some(address) = next.pop_first() {
        if answers.len() >= CORES_MOST {
            break;
        }
        let answer = timeout(ANSWER, ask(address)).await.unwrap_or_else(|_| Err(eyre!("silent")));
        if let Ok(status) = &answer {
            next.extend(status.members.iter().filter_map(|member| member.parse::<SocketAddr>().ok()));
        }
        answers.insert(address, answer);
        next.retain(|address| !answers.contains_key(address));
    }
    answers
}

/// What all of them tell, as a table or as JSON, and whether somebody leads.
pub async fn tell(addresses: Vec<SocketAddr>, as_json: bool) -> Result<(String, bool)> {
    let answers = ask_all(addresses).await;
    let known: Vec<&Status> = answers.values().filter_map(|answer| answer.as_ref().ok()).collect();
    // Who leads knows most; without one, who has applied most.
    let best = known.iter().max_by_key(|status| (status.vouches, status.index));
    let Some(best) = best else { return Err(eyre!("no core process answers")) };
    if as_json {
        let all: Vec<Status> = known.iter().map(|status| (*status).clone()).collect();
        return Ok((json::to_string(&all) + "\n", best.vouches));
    }
    Ok((table(&answers, best)?, best.vouches))
}

/// What is wrong at single core processes, a line each.
fn troubles(status: &Status) -> Vec<String> {
    let leaderless = status.leaderless.iter().map(|why| format!("{} follows nobody: {why}", status.address));
    let violations = status.violations.iter().flatten().map(|line| {
        format!("{} VIOLATED {} {} times: tell the developers", status.address, line.invariant, line.times)
    });
    leaderless.chain(violations).collect()
}

fn table(answers: &BTreeMap<SocketAddr, Result<Status>>, best: &Status) -> Result<String> {
    let mut text = String::new();
    let edition = if best.edition.is_empty() { "none" } else { &best.edition };
    writeln!(text, "configuration {edition}, change {}, emptied: {}\n", best.index, listed(&best.evacuated))?;
    if best.vouches {
        let Status { missing, filling, listeners, borne, members, .. } = best;
        let (missing, filling, listeners) = (listed(missing), listed(filling), listed(listeners));
        writeln!(
            text,
            "members: {}, missing: {missing}, filling: {filling}, listening: {listeners}",
            members.len()
        )?;
        writeln!(text, "borne now: {borne} more\n")?;
    }
    writeln!(text, "core\tmachine\tstate\tterm\tchange\tcopy\tlog")?;
    for (address, answer) in answers {
        match answer {
            Ok(status) => {
                let member = status.members.contains(&status.address);
                let state = match (status.vouches, member, status.leader.is_empty()) {
                    (true, ..) => "leads",
                    (_, false, _) => "no member",
                    (.., true) => "knows no leader",
                    (.., false) => "follows",
                };
                // Copies with the same number are the same, or one is damaged.
                let behind = best.index.saturating_sub(status.index);
                let copy = match (behind, status.digest == best.digest, &status.installing) {
                    (0, true, _) => "same".to_owned(),
                    (0, false, _) => "DIFFERS".to_owned(),
                    (_, _, Some(installing)) => format!("{behind} behind: {installing}"),
                    (_, _, None) => format!("{behind} behind"),
                };
                let Status { node, term, index, log, .. } = status;
                writeln!(text, "{address}\t{node}\t{state}\t{term}\t{index}\t{copy}\t{log}")?;
            }
            Err(e) => writeln!(text, "{address}\t\t{e}\t\t\t\t")?,
        }
    }
    for line in answers.values().flatten().flat_map(troubles) {
        writeln!(text, "{line}")?;
    }
    writeln!(text, "\ngateway\tzone\tstate\tbehind\tproxy behind\theard ms\tfront")?;
    for line in &best.gateways {
        let silent = line.heard_ms.is_none_or(|ms| ms > SILENT_MS);
        let state = match (silent, line.ready) {
            (true, _) => "silent",
            (_, true) => "ready",
            (_, false) => "takes no clients",
        };
        let behind = |held: u64| best.index.saturating_sub(held);
        let heard = line.heard_ms.map_or("-".to_owned(), |ms| ms.to_string());
        let GatewayLine { node, zone, held, applied, front, .. } = line;
        writeln!(text, "{node}\t{zone}\t{state}\t{}\t{}\t{heard}\t{front}", behind(*held), behind(*applied))?;
    }
    writeln!(text, "\nservice\tzone\topen\tclosing\tcold\tberths")?;
    for ServiceLine { service, zone, open, closing, cold, berths } in &best.services {
        writeln!(text, "{service}\t{zone}\t{open}\t{closing}\t{cold}\t{berths}")?;
    }
    if !best.counts.is_empty() {
        writeln!(text, "\ntenant\tunits in this window\ta second")?;
    }
    for CountLine { tenant, per_s, units } in &best.counts {
        writeln!(text, "{tenant}\t{units}\t{per_s}")?;
    }
    let mut writer = TabWriter::new(Vec::new());
    writer.write_all(text.as_bytes())?;
    Ok(String::from_utf8(writer.into_inner().map_err(|e| eyre!("{e}"))?)?)
}

fn listed(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}
