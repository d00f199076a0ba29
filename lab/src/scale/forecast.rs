//! Predicts the metrics of a run from measured slopes, and compares them with the run.

use super::cost_measurement::{format_short, Slope};
use super::generator::FleetSize;
use super::run::{RunResult, GATEWAY_THREADS};
use serde::Serialize;

/// Interval between messages of an agent to the leader, in ms (`oakfall_system::agent_state`).
const LEADER_MESSAGE_INTERVAL_MS: f64 = 400.0;
/// Interval between messages of an agent to another core process, in ms (`oakfall_system::agent_state`).
const FOLLOWER_MESSAGE_INTERVAL_MS: f64 = 650.0;
/// Interval between heartbeats of a backend, in ms.
const HEARTBEAT_INTERVAL_MS: f64 = 1500.0;
/// Size of the digest, which only the leader's replies contain.
const DIGEST_BYTES: f64 = 9.0;
/// Throughput of one thread over loopback, in MB/s.
const LOOPBACK_MB_PER_S: f64 = 1500.0;

/// A predicted and a measured metric.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Name of the metric.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// The prediction from the slopes.
    #[serde(rename = "foretold")]
    pub predicted: f64,
    /// The metric of the run.
    pub measured: f64,
}

/// A model that predicts the costs of a run from measured slopes.
pub struct CostModel<'a>(pub &'a [Slope]);

impl CostModel<'_> {
    /// The value of a slope at `n`; 0 for a slope that was not measured.
    fn value_at(&self, what: &str, n: f64) -> f64 {
        self.0.iter().find(|slope| slope.what == what).map_or(0.0, |slope| slope.fit.value_at(n).max(0.0))
    }

    /// The part of a cost that grows with the table, for `percent` of the full table. It can be negative.
    fn table_cost(&self, what: &str, percent: f64) -> f64 {
        self.0.iter().find(|slope| slope.what == what).map_or(0.0, |slope| slope.fit.slope * percent)
    }

    /// Bytes per second between a gateway and the core while nothing changes.
    pub fn rest_bytes_per_s(&self, size: FleetSize) -> f64 {
        let gateways = size.gateways as f64;
        let (message, reply) =
            (self.value_at("an agent's word", gateways), self.value_at("an answer to a word", gateways));
        let followers = size.cores.saturating_sub(1) as f64;
        1000.0
            * ((message + reply) / LEADER_MESSAGE_INTERVAL_MS
                + followers * (message + reply - DIGEST_BYTES) / FOLLOWER_MESSAGE_INTERVAL_MS)
    }

    /// Cores that the leader's state machine uses while nothing changes: agents' messages, heartbeats and ticks, without
    /// the sockets.
    pub fn leader_cores(&self, size: FleetSize) -> f64 {
        let (gateways, backends) = (size.gateways as f64, size.backends as f64);
        let messages = gateways / LEADER_MESSAGE_INTERVAL_MS
            * self.value_at("leader: an agent's word and its answer", gateways);
        let heartbeats = backends / HEARTBEAT_INTERVAL_MS
            * self.value_at("leader: a beat that tells nothing new", backends);
        let ticks = self.value_at("leader: a tick", backends) / oakfall_system::member::TICK_MS;
        (messages + heartbeats + ticks) / 1000.0
    }

    /// Peak memory of the leader while it sends a configuration, in MB.
    pub fn leader_mb(&self, size: FleetSize, percent: f64) -> f64 {
        let config_mb = self.value_at("a whole configuration on the wire", percent);
        self.value_at("leader: peak during a Put", percent) + size.gateways as f64 * config_mb
    }

    /// CPU time of the leader for a change, in s.
    pub fn leader_change_s(&self, size: FleetSize, percent: f64) -> f64 {
        let codec_ms = self.table_cost("decoding a whole state", percent)
            + self.table_cost("encoding a whole state", percent);
        let config_mb = self.value_at("a whole configuration on the wire", percent);
        let per_gateway_s = codec_ms / 1000.0 + config_mb / LOOPBACK_MB_PER_S;
        self.table_cost("the leader takes a Put", percent) / 1000.0 + size.gateways as f64 * per_gateway_s
    }

    /// Time until a change is in effect at the last gateway, in s. Each thread of the lab handles the messages of its
    /// gateways one after the other.
    pub fn in_effect_s(&self, size: FleetSize, percent: f64, full_gateways: usize) -> f64 {
        let codec_ms = self.table_cost("decoding a whole state", percent)
            + self.table_cost("encoding a whole state", percent);
        let apply_ms = self.table_cost("proxy: taking a configuration, until it is in force", percent);
        let threads = GATEWAY_THREADS as f64;
        let lab_ms = (size.gateways as f64 * 2.0 * codec_ms + full_gateways as f64 * apply_ms) / threads;
        self.leader_change_s(size, percent) + lab_ms / 1000.0
    }

    /// Compares the predictions for a run with its metrics.
    pub fn compare(&self, run: &RunResult) -> Vec<Comparison> {
        let RunResult { size, percent, .. } = *run;
        let config_mb = self.value_at("a whole configuration on the wire", percent);
        let comparison = |what, unit, predicted, measured| Comparison { what, unit, predicted, measured };
        vec![
            comparison(
                "gateway: bytes a second at rest",
                "bytes",
                self.rest_bytes_per_s(size),
                run.rest_bytes_per_s(),
            ),
            comparison("gateway: bytes for a change", "MB", config_mb, run.change_bytes() / 1e6),
            comparison(
                "leader: cores at rest, predicted without sockets",
                "",
                self.leader_cores(size),
                run.leader.rest_cores,
            ),
            comparison(
                "leader: CPU time for a change",
                "s",
                self.leader_change_s(size, percent),
                run.leader.change_cpu_s,
            ),
            comparison("leader: peak memory", "MB", self.leader_mb(size, percent), run.leader.peak_mb),
            comparison(
                "a change in effect at all gateways",
                "s",
                self.in_effect_s(size, percent, run.estimate.full_gateways),
                run.median_in_effect_s()[2],
            ),
        ]
    }
}

/// Formats comparisons as text, one per line, with the ratio of the measured metric to the predicted one.
pub fn text(comparisons: &[Comparison]) -> String {
    let line = |comparison: &Comparison| {
        let Comparison { what, unit, predicted, measured } = comparison;
        let ratio = if *predicted > 0.0 { format_short(measured / predicted) } else { "-".to_owned() };
        format!(
            "    {what}: predicted {} {unit}, measured {} {unit}, ratio {ratio}\n",
            format_short(*predicted),
            format_short(*measured)
        )
    };
    comparisons.iter().map(line).collect()
}
