//! What the measured slopes foretell of a run, to be laid beside it.

use super::draw::Size;
use super::run::{Outcome, THREADS};
use super::weigh::{short, Slope};
use serde::Serialize;

/// How often an agent speaks to who leads, and to the other core processes, in ms (`overland::agent_state`).
const WORD_MS: (f64, f64) = (400.0, 650.0);
/// How often a backend beats, in ms.
const BEAT_MS: f64 = 1500.0;
/// An answer of who does not lead tells no digest.
const DIGEST_BYTES: f64 = 9.0;
/// Loopback moves so many MB in a second from one thread, as a rule.
const LOOPBACK_MB_S: f64 = 1500.0;

/// A figure that is both foretold and measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// What.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// By the slopes.
    pub foretold: f64,
    /// In the run.
    pub measured: f64,
}

/// What slopes foretell of a size.
pub struct Model<'a>(pub &'a [Slope]);

impl Model<'_> {
    /// A slope's line at a size; nought where nobody measured it.
    fn at(&self, what: &str, n: f64) -> f64 {
        self.0.iter().find(|slope| slope.what == what).map_or(0.0, |slope| slope.line.at(n).max(0.0))
    }

    /// What a table of so many parts in a hundred costs, without the line's start: it may be below nought.
    fn table(&self, what: &str, percent: f64) -> f64 {
        self.0.iter().find(|slope| slope.what == what).map_or(0.0, |slope| slope.line.b * percent)
    }

    /// Bytes a second between a gateway and the core at rest.
    pub fn rest_bytes_per_s(&self, size: Size) -> f64 {
        let gateways = size.gateways as f64;
        let (word, answer) = (self.at("an agent's word", gateways), self.at("an answer to a word", gateways));
        let others = size.cores.saturating_sub(1) as f64;
        1000.0 * ((word + answer) / WORD_MS.0 + others * (word + answer - DIGEST_BYTES) / WORD_MS.1)
    }

    /// Cores that the leader spends at rest on decisions alone: words, beats, its own ticks.
    pub fn leader_cores(&self, size: Size) -> f64 {
        let (gateways, backends) = (size.gateways as f64, size.backends as f64);
        let words = gateways / WORD_MS.0 * self.at("leader: an agent's word and its answer", gateways);
        let beats = backends / BEAT_MS * self.at("leader: a beat that tells nothing new", backends);
        let ticks = self.at("leader: a tick", backends) / overland::member::TICK_MS;
        (words + beats + ticks) / 1000.0
    }

    /// MB that the leader holds at the peak of a push.
    pub fn leader_mb(&self, size: Size, percent: f64) -> f64 {
        let config = self.at("a whole configuration on the wire", percent);
        self.at("leader: peak during a Put", percent) + size.gateways as f64 * config
    }

    /// Processor time of the leader for a change, in s.
    pub fn leader_change_s(&self, size: Size, percent: f64) -> f64 {
        let one =
            self.table("decoding a whole state", percent) + self.table("encoding a whole state", percent);
        let config = self.at("a whole configuration on the wire", percent);
        let each = one / 1000.0 + config / LOOPBACK_MB_S;
        self.table("the leader takes a Put", percent) / 1000.0 + size.gateways as f64 * each
    }

    /// Until the last gateway goes by a change, in s. The lab's threads take the messages of many gateways in turn.
    pub fn force_s(&self, size: Size, percent: f64, whole: usize) -> f64 {
        let each =
            self.table("decoding a whole state", percent) + self.table("encoding a whole state", percent);
        let takes = self.table("proxy: taking a configuration, until it is in force", percent);
        let threads = THREADS as f64;
        let lab = (size.gateways as f64 * 2.0 * each + whole as f64 * takes) / threads;
        self.leader_change_s(size, percent) + lab / 1000.0
    }

    /// All that is foretold of a run, beside it.
    pub fn beside(&self, run: &Outcome) -> Vec<Line> {
        let Outcome { size, percent, .. } = *run;
        let config = self.at("a whole configuration on the wire", percent);
        let line = |what, unit, foretold, measured| Line { what, unit, foretold, measured };
        vec![
            line(
                "gateway: bytes a second at rest",
                "bytes",
                self.rest_bytes_per_s(size),
                run.rest_bytes_per_s(),
            ),
            line("gateway: bytes for a change", "MB", config, run.change_bytes() / 1e6),
            line(
                "leader: cores at rest, foretold without sockets",
                "",
                self.leader_cores(size),
                run.leader.rest_cores,
            ),
            line(
                "leader: processor for a change",
                "s",
                self.leader_change_s(size, percent),
                run.leader.change_cpu_s,
            ),
            line("leader: memory at its peak", "MB", self.leader_mb(size, percent), run.leader.peak_mb),
            line(
                "a change in force at 100 in 100",
                "s",
                self.force_s(size, percent, run.needs.whole),
                run.force_s()[2],
            ),
        ]
    }
}

/// Lines of text: foretold, measured, and their ratio.
pub fn text(lines: &[Line]) -> String {
    let line = |line: &Line| {
        let Line { what, unit, foretold, measured } = line;
        let ratio = if *foretold > 0.0 { short(measured / foretold) } else { "-".to_owned() };
        format!(
            "    {what}: foretold {} {unit}, measured {} {unit}, {ratio} times\n",
            short(*foretold),
            short(*measured)
        )
    };
    lines.iter().map(line).collect()
}
