//! A server: cores that share what is in work, a waiting room, a cold start, and what can be wrong with it.

use crate::plan::Fleet;
use std::collections::VecDeque;

/// While its capacity changes it is reckoned anew at least this often, in s.
const COLD_STEP_S: f64 = 0.02;
/// Work of a probe of the process, in ms.
const PROBE_WORK_MS: f64 = 0.3;

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    /// It takes so many times as long.
    pub slow: f64,
    /// Share of requests answered with an error at once.
    pub errors: f64,
    /// Share turned away unseen.
    pub turn_away: f64,
    /// Share that ends in a reset after it ran.
    pub reset: f64,
    /// Share of answers that can't be read.
    pub spoil: f64,
    /// What its reports say it has in hand, whatever is true.
    pub report: Option<f64>,
}

impl Trouble {
    /// Nothing, but this share of errors.
    pub fn none(errors: f64) -> Trouble {
        Trouble { slow: 1.0, errors, turn_away: 0.0, reset: 0.0, spoil: 0.0, report: None }
    }
}

/// What becomes of a request that comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in work or waits; its end is told later.
    Taken,
    /// Turned away unseen.
    Turned,
    /// Answered with an error at once.
    Error,
    /// It was one too many for a cold server, which has fallen over.
    Fallen,
}

struct Work {
    id: u64,
    left_ms: f64,
}

/// One server. Times are in s on any clock that only goes forward.
pub struct Server {
    cores: f64,
    slots: usize,
    queue: usize,
    /// Speed of a core beside the usual one.
    speed: f64,
    cold_from: f64,
    cold_s: f64,
    fall_multiple: f64,
    fall_s: f64,
    /// When it started, if it may be cold.
    born: Option<f64>,
    at: f64,
    work: Vec<Work>,
    waiting: VecDeque<Work>,
    /// Work that came within the time after which a cold one falls, in ms, by when it came.
    recent: VecDeque<(f64, f64)>,
    recent_ms: f64,
    fallen: bool,
    trouble: Trouble,
}

impl Server {
    /// A warm one of that speed.
    pub fn new(fleet: &Fleet, speed: f64) -> Server {
        Server {
            cores: fleet.cores as f64,
            slots: fleet.cores * fleet.slots_per_core,
            queue: fleet.cores * fleet.queue_per_core,
            speed,
            cold_from: fleet.cold_from,
            cold_s: fleet.cold_s,
            fall_multiple: fleet.fall_multiple,
            fall_s: fleet.fall_ms / 1000.0,
            born: None,
            at: 0.0,
            work: Vec::new(),
            waiting: VecDeque::new(),
            recent: VecDeque::new(),
            recent_ms: 0.0,
            fallen: false,
            trouble: Trouble::none(fleet.errors),
        }
    }

    /// It starts, with nothing in hand and cold.
    pub fn start(&mut self, now: f64) {
        (self.born, self.at, self.fallen, self.recent_ms) = (Some(now), now, false, 0.0);
        self.work.clear();
        self.waiting.clear();
        self.recent.clear();
    }

    /// Something else is wrong with it from now on. What was in work goes on at the new pace.
    pub fn trouble(&mut self, now: f64, change: impl FnOnce(&mut Trouble), done: &mut Vec<u64>) {
        self.advance(now, done);
        change(&mut self.trouble);
    }

    /// What is wrong with it.
    pub fn troubles(&self) -> Trouble {
        self.trouble
    }

    /// Whether it has fallen over under too much.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// Requests in work and waiting.
    pub fn in_hand(&self) -> (usize, usize) {
        (self.work.len(), self.waiting.len())
    }

    /// Whether one more would get a core to itself.
    pub fn idle(&self) -> bool {
        self.work.len() < self.cores as usize && !self.fallen
    }

    /// Share of its capacity that it has now.
    pub fn warmth(&self, now: f64) -> f64 {
        match self.born {
            Some(born) if self.cold_s > 0.0 && now < born + self.cold_s => {
                let part = ((now - born) / self.cold_s).clamp(0.0, 1.0);
                self.cold_from + (1.0 - self.cold_from) * part
            }
            _ => 1.0,
        }
    }

    /// A request of so much work comes in; `chance` in 0 to 1 decides what may go wrong with it.
    pub fn arrive(&mut self, now: f64, id: u64, work_ms: f64, chance: f64, done: &mut Vec<u64>) -> Verdict {
        self.advance(now, done);
        if self.fallen || self.topples(now, work_ms) {
            return Verdict::Fallen;
        }
        let Trouble { errors, turn_away, .. } = self.trouble;
        if chance < turn_away {
            return Verdict::Turned;
        }
        if chance < turn_away + errors {
            return Verdict::Error;
        }
        let work = Work { id, left_ms: work_ms.max(0.01) };
        if self.work.len() < self.slots {
            self.work.push(work);
        } else if self.waiting.len() < self.queue {
            self.waiting.push_back(work);
        } else {
            return Verdict::Turned;
        }
        Verdict::Taken
    }

    /// A probe costs a little of its time.
    pub fn probed(&mut self, now: f64, done: &mut Vec<u64>) {
        self.advance(now, done);
        if let Some(work) = self.work.first_mut() {
            work.left_ms += PROBE_WORK_MS;
        }
    }

    /// Nobody waits for it any more.
    pub fn cancel(&mut self, now: f64, id: u64, done: &mut Vec<u64>) {
        self.advance(now, done);
        self.work.retain(|work| work.id != id);
        self.waiting.retain(|work| work.id != id);
        self.fill();
    }

    fn topples(&mut self, now: f64, work_ms: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            return false;
        }
        while self.recent.front().is_some_and(|(at, _)| *at < now - self.fall_s) {
            self.recent_ms -= self.recent.pop_front().map_or(0.0, |(_, work)| work);
        }
        self.recent.push_back((now, work_ms));
        self.recent_ms += work_ms;
        let bears = self.cores * self.speed * warmth * self.fall_s * 1000.0;
        self.fallen = self.recent_ms > self.fall_multiple * bears;
        self.fallen
    }

    /// How much of a millisecond's work each request in work gets done in a millisecond.
    fn pace(&self) -> f64 {
        let share = (self.cores / self.work.len().max(1) as f64).min(1.0);
        share * self.speed * self.warmth(self.at) / self.trouble.slow
    }

    /// Goes on to this time; those that are done by then, in order.
    pub fn advance(&mut self, now: f64, done: &mut Vec<u64>) {
        while self.at < now {
            let until = self.next().map_or(now, |next| next.min(now));
            let worked = (until - self.at).max(0.0) * 1000.0 * self.pace();
            self.at = until;
            // What is left may be off by rounding.
            let ended = |work: &Work| work.left_ms <= 1e-6;
            self.work.iter_mut().for_each(|work| work.left_ms -= worked);
            done.extend(self.work.iter().filter(|work| ended(work)).map(|work| work.id));
            self.work.retain(|work| !ended(work));
            self.fill();
        }
    }

    fn fill(&mut self) {
        while self.work.len() < self.slots {
            let Some(work) = self.waiting.pop_front() else { return };
            self.work.push(work);
        }
    }

    /// When it next has to be looked at; none while it has nothing in work.
    pub fn next(&self) -> Option<f64> {
        let least = self.work.iter().map(|work| work.left_ms).reduce(f64::min)?;
        let ends = self.at + (least / self.pace() / 1000.0).max(1e-6);
        Some(if self.warmth(self.at) < 1.0 { ends.min(self.at + COLD_STEP_S) } else { ends })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet() -> Fleet {
        Fleet { cores: 2, slots_per_core: 2, queue_per_core: 1, ..Fleet::default() }
    }

    #[test]
    fn cores_are_shared_then_the_room_is_used_then_all_is_turned_away() {
        let (mut server, mut done) = (Server::new(&fleet(), 1.0), Vec::new());
        for id in 0..6 {
            assert_eq!(server.arrive(0.0, id, 100.0, 0.5, &mut done), Verdict::Taken);
        }
        assert_eq!(server.in_hand(), (4, 2));
        assert_eq!(server.arrive(0.0, 9, 100.0, 0.5, &mut done), Verdict::Turned);
        // Four on two cores take twice as long; the two that waited have a core each after that.
        server.advance(0.199, &mut done);
        assert!(done.is_empty());
        server.advance(0.2001, &mut done);
        assert_eq!(done, [0, 1, 2, 3]);
        server.advance(0.3002, &mut done);
        assert_eq!(done, [0, 1, 2, 3, 4, 5]);
        assert_eq!(server.next(), None);
    }

    #[test]
    fn it_comes_to_the_same_whatever_the_steps() {
        let play = |steps: u32| {
            let (mut server, mut done) = (Server::new(&fleet(), 1.3), Vec::new());
            server.arrive(0.0, 1, 40.0, 0.5, &mut done);
            server.arrive(0.0, 2, 90.0, 0.5, &mut done);
            let mut at = Vec::new();
            for step in 1..=steps {
                let now = 0.2 * f64::from(step) / f64::from(steps);
                let before = done.len();
                server.advance(now, &mut done);
                at.extend(done[before..].iter().copied());
            }
            at
        };
        assert_eq!(play(1), play(1000));
        assert_eq!(play(1), [1, 2]);
    }

    #[test]
    fn a_cold_one_is_slow_warms_up_and_falls_over_under_too_much() {
        let fleet = Fleet { cold_from: 0.25, cold_s: 10.0, fall_multiple: 2.0, fall_ms: 1000.0, ..fleet() };
        let (mut server, mut done) = (Server::new(&fleet, 1.0), Vec::new());
        server.start(5.0);
        assert_eq!((server.warmth(5.0), server.warmth(10.0), server.warmth(15.0)), (0.25, 0.625, 1.0));
        assert_eq!(server.arrive(5.0, 1, 100.0, 0.5, &mut done), Verdict::Taken);
        server.advance(5.3, &mut done);
        assert!(done.is_empty(), "a quarter of the pace");
        server.advance(5.5, &mut done);
        assert_eq!(done, [1]);
        // Two cores at 0.295 bear 590 ms of work a second, and fall past 1,180 of it; what came at 5.0 counts.
        let verdicts: Vec<_> = (2..14).map(|id| server.arrive(5.6, id, 100.0, 0.5, &mut done)).collect();
        assert_eq!(verdicts.iter().position(|v| *v == Verdict::Fallen), Some(10), "{verdicts:?}");
        assert!(server.fallen());
        server.start(20.0);
        assert_eq!(server.arrive(40.0, 1, 100.0, 0.5, &mut done), Verdict::Taken);
    }

    #[test]
    fn what_is_wrong_shows_and_what_nobody_waits_for_makes_room() {
        let (mut server, mut done) = (Server::new(&fleet(), 1.0), Vec::new());
        server.trouble(0.0, |trouble| (trouble.errors, trouble.turn_away) = (0.3, 0.2), &mut done);
        assert_eq!(server.arrive(0.0, 1, 10.0, 0.1, &mut done), Verdict::Turned);
        assert_eq!(server.arrive(0.0, 1, 10.0, 0.4, &mut done), Verdict::Error);
        assert_eq!(server.arrive(0.0, 1, 10.0, 0.6, &mut done), Verdict::Taken);
        server.trouble(0.0, |trouble| trouble.slow = 10.0, &mut done);
        server.advance(0.099, &mut done);
        assert!(done.is_empty());
        server.cancel(0.099, 1, &mut done);
        assert_eq!((server.in_hand(), server.next(), done.len()), ((0, 0), None, 0));
    }
}
