//! Discovery: one list with its changes, and an agent for each gateway that may be late, stuck or silent.

/// A server's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Not there.
    Gone,
}

/// One server on the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Its place.
    pub server: usize,
    /// Its state.
    pub state: State,
    /// Unix time of its last start, in ms; 0 if long ago.
    pub started_ms: f64,
}

/// The list and all that ever changed on it: a run is bounded, and so is this.
#[derive(Default)]
pub struct Registry {
    /// Version n is what the first n changes make.
    changes: Vec<(f64, Entry)>,
}

impl Registry {
    /// Discovery learns this at that time, in s. Times only go forward.
    pub fn change(&mut self, at: f64, entry: Entry) {
        let at = self.changes.last().map_or(at, |(last, _)| at.max(*last));
        self.changes.push((at, entry));
    }

    /// The version as of that time.
    pub fn version(&self, at: f64) -> usize {
        self.changes.partition_point(|(then, _)| *then <= at)
    }

    /// When the next version after this one comes to be.
    pub fn next(&self, version: usize) -> Option<f64> {
        self.changes.get(version).map(|(at, _)| *at)
    }

    /// The last word on each server that changed from one version to another.
    pub fn between(&self, from: usize, to: usize) -> Vec<Entry> {
        let changes = &self.changes[from.min(to)..to.min(self.changes.len())];
        let mut last: Vec<Entry> = Vec::new();
        for (_, entry) in changes {
            match last.iter_mut().find(|known| known.server == entry.server) {
                Some(known) => *known = *entry,
                None => last.push(*entry),
            }
        }
        last
    }

    /// The whole list as of a version, without those that are gone.
    pub fn whole(&self, version: usize) -> Vec<Entry> {
        let mut list = self.between(0, version);
        list.retain(|entry| entry.state != State::Gone);
        list
    }
}

/// What one gateway's agent has been sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Agent {
    /// Its news is so much late, in s.
    pub late_s: f64,
    /// Nothing that came later has reached it.
    pub stale_since: Option<f64>,
    /// It answers nobody.
    pub silent: bool,
    had: usize,
}

impl Agent {
    /// The version it has now; what it had once it keeps.
    pub fn has(&mut self, registry: &Registry, now: f64) -> usize {
        let until = (now - self.late_s).min(self.stale_since.unwrap_or(f64::INFINITY));
        self.had = self.had.max(registry.version(until));
        self.had
    }

    /// When it has more.
    pub fn next(&self, registry: &Registry) -> Option<f64> {
        let at = registry.next(self.had)?;
        self.stale_since.is_none_or(|since| at <= since).then_some(at + self.late_s)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(server: usize, state: State) -> Entry {
        Entry { server, state, started_ms: 0.0 }
    }

    #[test]
    fn an_agent_is_late_stuck_and_catches_up_but_never_goes_back() {
        let mut registry = Registry::default();
        registry.change(0.0, entry(0, State::Ready));
        registry.change(0.0, entry(1, State::Ready));
        registry.change(2.0, entry(0, State::Draining));
        registry.change(3.0, entry(0, State::Gone));
        let mut agent = Agent::default();
        assert_eq!(agent.has(&registry, 2.5), 3);
        agent.late_s = 2.0;
        assert_eq!((agent.has(&registry, 3.5), agent.next(&registry)), (3, Some(5.0)));
        agent.stale_since = Some(2.7);
        assert_eq!((agent.has(&registry, 9.0), agent.next(&registry)), (3, None));
        agent.stale_since = None;
        assert_eq!(agent.has(&registry, 9.0), 4);
        assert_eq!(registry.between(2, 4), [entry(0, State::Gone)]);
        assert_eq!(registry.whole(3), [entry(0, State::Draining), entry(1, State::Ready)]);
        assert_eq!(registry.whole(4), [entry(1, State::Ready)]);
    }
}
