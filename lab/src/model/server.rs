//! Model of a server: cores shared by the running requests, a bounded queue, a warm-up phase and injected faults.

use crate::plan::Fleet;
use std::collections::VecDeque;

/// Maximum step, in s, over which the changing speed of a server that warms up is taken as constant.
const WARM_UP_STEP_S: f64 = 0.02;
/// Processing time of a health probe, in ms.
const PROBE_WORK_MS: f64 = 0.3;

/// Faults injected into a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerFaults {
    /// Factor by which requests take longer.
    pub slowdown: f64,
    /// Share of requests that get an error response at once.
    pub error_rate: f64,
    /// Share of requests that are rejected without being processed.
    pub reject_rate: f64,
    /// Share of requests whose connection is reset after they ran.
    pub reset_rate: f64,
    /// Share of responses that are cut short.
    pub corrupt_rate: f64,
    /// Number of requests in flight to report instead of the real one.
    pub reported_in_flight: Option<f64>,
}

impl ServerFaults {
    /// No faults other than this share of errors.
    pub fn none(error_rate: f64) -> ServerFaults {
        ServerFaults {
            slowdown: 1.0,
            error_rate,
            reject_rate: 0.0,
            reset_rate: 0.0,
            corrupt_rate: 0.0,
            reported_in_flight: None,
        }
    }
}

/// How a server handles a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is running or queued. [`Server::advance`] reports when it completes.
    Accepted,
    /// It was rejected without being processed.
    Rejected,
    /// It got an error response at once.
    Error,
    /// The server has crashed: it was overloaded during its warm-up.
    Crashed,
}

struct Request {
    id: u64,
    remaining_ms: f64,
}

/// One server. Times are in s on a monotonic clock.
pub struct Server {
    cores: f64,
    max_running: usize,
    max_queued: usize,
    /// Speed of a core relative to the standard one.
    speed: f64,
    /// Share of the capacity that it has right after its start.
    cold_capacity: f64,
    warm_up_s: f64,
    /// During its warm-up it crashes if this multiple of its capacity arrives within `overload_window_s`.
    overload_factor: f64,
    overload_window_s: f64,
    /// Time of its last start; none if it has been up since before the run.
    started_at: Option<f64>,
    /// The time up to which the model has been advanced.
    time: f64,
    running: Vec<Request>,
    queued: VecDeque<Request>,
    /// Time of receipt and processing time in ms of the requests within the overload window.
    recent: VecDeque<(f64, f64)>,
    recent_ms: f64,
    is_crashed: bool,
    faults: ServerFaults,
}

impl Server {
    /// Creates a warm server whose cores have this speed.
    pub fn new(fleet: &Fleet, speed: f64) -> Server {
        Server {
            cores: fleet.cores as f64,
            max_running: fleet.cores * fleet.slots_per_core,
            max_queued: fleet.cores * fleet.queue_per_core,
            speed,
            cold_capacity: fleet.cold_from,
            warm_up_s: fleet.cold_s,
            overload_factor: fleet.fall_multiple,
            overload_window_s: fleet.fall_ms / 1000.0,
            started_at: None,
            time: 0.0,
            running: Vec::new(),
            queued: VecDeque::new(),
            recent: VecDeque::new(),
            recent_ms: 0.0,
            is_crashed: false,
            faults: ServerFaults::none(fleet.errors),
        }
    }

    /// Starts the server again, cold and without requests.
    pub fn start(&mut self, now: f64) {
        (self.started_at, self.time, self.is_crashed, self.recent_ms) = (Some(now), now, false, 0.0);
        self.running.clear();
        self.queued.clear();
        self.recent.clear();
    }

    /// Changes the injected faults. Running requests continue at the new speed. Like all methods that take
    /// `completed`, it first advances the model to `now` and appends the requests that complete by then.
    pub fn update_faults(
        &mut self, now: f64, change: impl FnOnce(&mut ServerFaults), completed: &mut Vec<u64>,
    ) {
        self.advance(now, completed);
        change(&mut self.faults);
    }

    /// The injected faults.
    pub fn faults(&self) -> ServerFaults {
        self.faults
    }

    /// Whether it has crashed under overload since its last start.
    pub fn is_crashed(&self) -> bool {
        self.is_crashed
    }

    /// Numbers of running and of queued requests.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.running.len(), self.queued.len())
    }

    /// Whether another request would get a core of its own.
    pub fn has_idle_core(&self) -> bool {
        self.running.len() < self.cores as usize && !self.is_crashed
    }

    /// Share of its full capacity that it has at a time. It grows linearly during the warm-up.
    pub fn capacity_share(&self, now: f64) -> f64 {
        match self.started_at {
            Some(started_at) if self.warm_up_s > 0.0 && now < started_at + self.warm_up_s => {
                let progress = ((now - started_at) / self.warm_up_s).clamp(0.0, 1.0);
                self.cold_capacity + (1.0 - self.cold_capacity) * progress
            }
            _ => 1.0,
        }
    }

    /// Submits a request with this processing time. `draw`, uniform in 0 to 1, decides whether a fault applies to it.
    pub fn submit(
        &mut self, now: f64, id: u64, work_ms: f64, draw: f64, completed: &mut Vec<u64>,
    ) -> Admission {
        self.advance(now, completed);
        if self.is_crashed || self.crashes_under(now, work_ms) {
            return Admission::Crashed;
        }
        let ServerFaults { error_rate, reject_rate, .. } = self.faults;
        if draw < reject_rate {
            return Admission::Rejected;
        }
        if draw < reject_rate + error_rate {
            return Admission::Error;
        }
        let request = Request { id, remaining_ms: work_ms.max(0.01) };
        if self.running.len() < self.max_running {
            self.running.push(request);
        } else if self.queued.len() < self.max_queued {
            self.queued.push_back(request);
        } else {
            return Admission::Rejected;
        }
        Admission::Accepted
    }

    /// Handles a health probe, which delays a running request.
    pub fn handle_probe(&mut self, now: f64, completed: &mut Vec<u64>) {
        self.advance(now, completed);
        if let Some(request) = self.running.first_mut() {
            request.remaining_ms += PROBE_WORK_MS;
        }
    }

    /// Cancels a request, running or queued.
    pub fn cancel(&mut self, now: f64, id: u64, completed: &mut Vec<u64>) {
        self.advance(now, completed);
        self.running.retain(|request| request.id != id);
        self.queued.retain(|request| request.id != id);
        self.start_queued();
    }

    /// Adds a request to the overload window. Returns whether the server, if it is warming up, crashes under it.
    fn crashes_under(&mut self, now: f64, work_ms: f64) -> bool {
        let capacity_share = self.capacity_share(now);
        if capacity_share >= 1.0 {
            return false;
        }
        while self.recent.front().is_some_and(|(at, _)| *at < now - self.overload_window_s) {
            self.recent_ms -= self.recent.pop_front().map_or(0.0, |(_, work)| work);
        }
        self.recent.push_back((now, work_ms));
        self.recent_ms += work_ms;
        let capacity_ms = self.cores * self.speed * capacity_share * self.overload_window_s * 1000.0;
        self.is_crashed = self.recent_ms > self.overload_factor * capacity_ms;
        self.is_crashed
    }

    /// Processing time that each running request completes per unit of time.
    fn request_speed(&self) -> f64 {
        let share = (self.cores / self.running.len().max(1) as f64).min(1.0);
        share * self.speed * self.capacity_share(self.time) / self.faults.slowdown
    }

    /// Advances the model to `now`. Appends the ids of the requests that complete by then, in order of completion.
    pub fn advance(&mut self, now: f64, completed: &mut Vec<u64>) {
        while self.time < now {
            let until = self.next_event_at().map_or(now, |next| next.min(now));
            let worked = (until - self.time).max(0.0) * 1000.0 * self.request_speed();
            self.time = until;
            // Tolerates rounding errors.
            let is_complete = |request: &Request| request.remaining_ms <= 1e-6;
            self.running.iter_mut().for_each(|request| request.remaining_ms -= worked);
            completed
                .extend(self.running.iter().filter(|request| is_complete(request)).map(|request| request.id));
            self.running.retain(|request| !is_complete(request));
            self.start_queued();
        }
    }

    fn start_queued(&mut self) {
        while self.running.len() < self.max_running {
            let Some(request) = self.queued.pop_front() else { return };
            self.running.push(request);
        }
    }

    /// When the model has to be advanced next; none while no request is running.
    pub fn next_event_at(&self) -> Option<f64> {
        let least = self.running.iter().map(|request| request.remaining_ms).reduce(f64::min)?;
        let completes_at = self.time + (least / self.request_speed() / 1000.0).max(1e-6);
        Some(if self.capacity_share(self.time) < 1.0 {
            completes_at.min(self.time + WARM_UP_STEP_S)
        } else {
            completes_at
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet() -> Fleet {
        Fleet { cores: 2, slots_per_core: 2, queue_per_core: 1, ..Fleet::default() }
    }

    #[test]
    fn requests_share_the_cores_then_wait_in_the_queue_then_are_rejected() {
        let (mut server, mut completed) = (Server::new(&fleet(), 1.0), Vec::new());
        for id in 0..6 {
            assert_eq!(server.submit(0.0, id, 100.0, 0.5, &mut completed), Admission::Accepted);
        }
        assert_eq!(server.in_flight(), (4, 2));
        assert_eq!(server.submit(0.0, 9, 100.0, 0.5, &mut completed), Admission::Rejected);
        // Four requests on two cores take twice as long; after that the two queued ones have a core each.
        server.advance(0.199, &mut completed);
        assert!(completed.is_empty());
        server.advance(0.2001, &mut completed);
        assert_eq!(completed, [0, 1, 2, 3]);
        server.advance(0.3002, &mut completed);
        assert_eq!(completed, [0, 1, 2, 3, 4, 5]);
        assert_eq!(server.next_event_at(), None);
    }

    #[test]
    fn the_order_of_completion_does_not_depend_on_the_step_size() {
        let completed_ids = |steps: u32| {
            let (mut server, mut completed) = (Server::new(&fleet(), 1.3), Vec::new());
            server.submit(0.0, 1, 40.0, 0.5, &mut completed);
            server.submit(0.0, 2, 90.0, 0.5, &mut completed);
            let mut ids = Vec::new();
            for step in 1..=steps {
                let now = 0.2 * f64::from(step) / f64::from(steps);
                let before = completed.len();
                server.advance(now, &mut completed);
                ids.extend(completed[before..].iter().copied());
            }
            ids
        };
        assert_eq!(completed_ids(1), completed_ids(1000));
        assert_eq!(completed_ids(1), [1, 2]);
    }

    #[test]
    fn a_cold_server_is_slow_then_warms_up_and_crashes_under_overload() {
        let fleet = Fleet { cold_from: 0.25, cold_s: 10.0, fall_multiple: 2.0, fall_ms: 1000.0, ..fleet() };
        let (mut server, mut completed) = (Server::new(&fleet, 1.0), Vec::new());
        server.start(5.0);
        assert_eq!(
            (server.capacity_share(5.0), server.capacity_share(10.0), server.capacity_share(15.0)),
            (0.25, 0.625, 1.0)
        );
        assert_eq!(server.submit(5.0, 1, 100.0, 0.5, &mut completed), Admission::Accepted);
        server.advance(5.3, &mut completed);
        assert!(completed.is_empty(), "a cold server must run at a quarter of its speed");
        server.advance(5.5, &mut completed);
        assert_eq!(completed, [1]);
        // Two cores at a capacity share of 0.295 process 590 ms a second, so that the server crashes above 1,180 ms
        // within a second. The request of 5.0 s counts, too.
        let admissions: Vec<_> =
            (2..14).map(|id| server.submit(5.6, id, 100.0, 0.5, &mut completed)).collect();
        assert_eq!(admissions.iter().position(|a| *a == Admission::Crashed), Some(10), "{admissions:?}");
        assert!(server.is_crashed());
        server.start(20.0);
        assert_eq!(server.submit(40.0, 1, 100.0, 0.5, &mut completed), Admission::Accepted);
    }

    #[test]
    fn faults_change_the_outcome_and_cancelled_requests_free_their_slots() {
        let (mut server, mut completed) = (Server::new(&fleet(), 1.0), Vec::new());
        server.update_faults(
            0.0,
            |faults| (faults.error_rate, faults.reject_rate) = (0.3, 0.2),
            &mut completed,
        );
        assert_eq!(server.submit(0.0, 1, 10.0, 0.1, &mut completed), Admission::Rejected);
        assert_eq!(server.submit(0.0, 1, 10.0, 0.4, &mut completed), Admission::Error);
        assert_eq!(server.submit(0.0, 1, 10.0, 0.6, &mut completed), Admission::Accepted);
        server.update_faults(0.0, |faults| faults.slowdown = 10.0, &mut completed);
        server.advance(0.099, &mut completed);
        assert!(completed.is_empty());
        server.cancel(0.099, 1, &mut completed);
        assert_eq!((server.in_flight(), server.next_event_at(), completed.len()), ((0, 0), None, 0));
    }
}
