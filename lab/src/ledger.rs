//! What became of each request, by one clock outside all gateways: what clients asked and heard, what servers were
//! sent, began and finished, and what happened meanwhile.

use crate::model::front::Arrival;

/// A request's number on the wire: the work's number and that of its try.
pub fn txn(work: usize, attempt: u32) -> u64 {
    ((work as u64) << 8) | u64::from(attempt.min(255))
}

/// The work of a request's number, if it is one of so many.
pub fn work_of(txn: u64, works: usize) -> Option<usize> {
    usize::try_from(txn >> 8).ok().filter(|work| *work < works)
}

/// How a try ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// 200 with the body that a server made for this request.
    Served,
    /// 200 with anything else.
    Wrong,
    /// 429 or 503, with the time to come back in ms.
    Refused(Option<u32>),
    /// Any other answer.
    Failed(u16),
    /// No connection came up, or it was closed before the request was whole.
    Unreached,
    /// The connection ended without an answer.
    Broken,
    /// No answer came until the client left.
    Silent,
}

/// One request on its way through one gateway.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// Its number on the wire.
    pub txn: u64,
    /// Whose.
    pub work: usize,
    /// The gateway.
    pub gateway: usize,
    /// When its last byte was written, in s; when it was begun if that never was.
    pub at: f64,
    /// Its last byte was written.
    pub written: bool,
    /// The client waits until then.
    pub until: f64,
    /// How it ended and when; none while it is open.
    pub end: Option<(f64, End)>,
    /// Answers beyond the one that is owed.
    pub extra: u32,
}

/// How an attempt at a server ended there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Still there.
    Open,
    /// It ran and its answer was written.
    Done,
    /// It ran, and its answer was lost on purpose, spoilt or found nobody.
    Unheard,
    /// Answered with an error, without having run.
    Error,
    /// Turned away unseen.
    Turned,
    /// Its gateway let go of it, or the server died.
    Dropped,
}

/// One attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The request's number on the wire.
    pub txn: u64,
    /// The server.
    pub server: usize,
    /// The gateway.
    pub gateway: usize,
    /// When its first byte came.
    pub first: f64,
    /// When its last byte came.
    pub came: f64,
    /// It was let into work or the waiting room.
    pub began: bool,
    /// When it ended there, and how.
    pub end: (f64, Fate),
}

/// What happened to a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It answers that it is ready.
    Ready,
    /// SIGKILL.
    Killed,
    /// SIGSTOP.
    Paused,
    /// SIGCONT.
    Resumed,
    /// SIGTERM.
    Terminated,
    /// It ended by itself after SIGTERM.
    Ended,
    /// It ended without being told to.
    Crashed,
}

/// A server's state as the whole fleet's list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Listed and up.
    Up,
    /// Drains, or is about to go.
    Leaving,
    /// Dead, vanished, gone or not yet there.
    Away,
}

/// All that was noted of one run.
#[derive(Default)]
pub struct Ledger {
    /// First tries as they were drawn; a work is a place in here.
    pub works: Vec<Arrival>,
    /// When each work began to be asked for; none if the run ended before.
    pub began: Vec<Option<f64>>,
    /// All tries, in order of time.
    pub tries: Vec<Try>,
    /// All attempts at servers, in order of their last byte.
    pub runs: Vec<Run>,
    /// What servers were asked for that no client sent.
    pub strays: u64,
    /// When a gateway was told that a server drains or is gone, and when it was told that it is ready again.
    pub told: Vec<(f64, usize, usize, bool)>,
    /// What happened to gateways' processes.
    pub lives: Vec<(f64, usize, Life)>,
    /// What happened to servers.
    pub standings: Vec<(f64, usize, Standing)>,
    /// Speed of each server beside the usual one.
    pub speeds: Vec<f64>,
    /// Requests turned away or refused while a server had a core free: when.
    pub needless: Vec<f64>,
    /// Connections that servers accepted, by when and which; and probes that they answered.
    pub connections: Vec<(f64, usize)>,
    /// Probes that servers answered.
    pub probes: u64,
    /// Calls to the counter, and how many of them it turned away.
    pub calls: (u64, u64),
    /// When load ended, in s.
    pub ended: f64,
}

impl Ledger {
    /// The times within which a gateway's process took requests and then went on to answer them: from ready until
    /// it was killed, paused or crashed. SIGTERM leaves it `leave` seconds to answer what it took.
    pub fn lived(&self, gateway: usize, from: f64, until: f64, leave: f64) -> bool {
        let harmed = |life: &Life| matches!(life, Life::Killed | Life::Paused | Life::Crashed);
        !self.lives.iter().any(|(at, which, life)| {
            *which == gateway
                && ((harmed(life) && (from..=until).contains(at))
                    // What came long after SIGTERM came too late.
                    || (*life == Life::Terminated && *at + leave < from && from < *at + 60.0))
        }) && !self.away_at(gateway, from)
    }

    /// Whether a gateway's process was dead or stood still at a time.
    fn away_at(&self, gateway: usize, at: f64) -> bool {
        let mut before = self.lives.iter().filter(|(then, which, _)| *which == gateway && *then <= at);
        before.next_back().is_some_and(|(_, _, life)| {
            matches!(life, Life::Killed | Life::Paused | Life::Crashed | Life::Ended)
        })
    }

    /// A server's standing at a time.
    pub fn standing(&self, server: usize, at: f64) -> Standing {
        let mut before = self.standings.iter().filter(|(then, which, _)| *which == server && *then <= at);
        before.next_back().map_or(Standing::Away, |(_, _, standing)| *standing)
    }

    /// The work of a request's number, if a client could have sent it.
    pub fn work_of(&self, txn: u64) -> Option<usize> {
        work_of(txn, self.works.len())
    }

    /// For each work the first good answer: when it came.
    pub fn served(&self) -> Vec<Option<f64>> {
        let mut served = vec![None; self.works.len()];
        for one in &self.tries {
            if let (Some((at, End::Served)), Some(first)) = (one.end, served.get_mut(one.work)) {
                *first = first.or(Some(at));
            }
        }
        served
    }
}
