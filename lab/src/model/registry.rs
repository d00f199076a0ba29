//! Model of service discovery: a versioned list of servers, and for each gateway a discovery agent that can lag, be
//! stale or be silent.

/// A server's state in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Finishes the requests that it has.
    Draining,
    /// Not listed any more.
    Gone,
}

/// One server, as listed in the registry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// Index of the server.
    pub server: usize,
    /// The state of the server.
    pub state: ServerState,
    /// Unix time of its last start, in ms; 0 if it has been up since before the run.
    pub started_ms: f64,
}

/// The list of servers with its complete history, which is bounded by the length of a run.
#[derive(Default)]
pub struct Registry {
    /// Version n is the result of the first n changes. Each has the time at which it becomes visible, in s.
    changes: Vec<(f64, ServerEntry)>,
}

impl Registry {
    /// Adds a change that becomes visible at `at`, in s, or with the previous change if that is later.
    pub fn record(&mut self, at: f64, entry: ServerEntry) {
        let at = self.changes.last().map_or(at, |(last, _)| at.max(*last));
        self.changes.push((at, entry));
    }

    /// The version as of a time.
    pub fn version_at(&self, at: f64) -> usize {
        self.changes.partition_point(|(change_at, _)| *change_at <= at)
    }

    /// When the version after this one becomes visible.
    pub fn next_change_at(&self, version: usize) -> Option<f64> {
        self.changes.get(version).map(|(at, _)| *at)
    }

    /// The latest state of each server that changed between two versions.
    pub fn changes_between(&self, from: usize, to: usize) -> Vec<ServerEntry> {
        let changes = &self.changes[from.min(to)..to.min(self.changes.len())];
        let mut latest: Vec<ServerEntry> = Vec::new();
        for (_, entry) in changes {
            match latest.iter_mut().find(|known| known.server == entry.server) {
                Some(known) => *known = *entry,
                None => latest.push(*entry),
            }
        }
        latest
    }

    /// The full list as of a version, without servers that are gone.
    pub fn snapshot(&self, version: usize) -> Vec<ServerEntry> {
        let mut list = self.changes_between(0, version);
        list.retain(|entry| entry.state != ServerState::Gone);
        list
    }
}

/// A gateway's discovery agent: how much of the registry it has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Agent {
    /// Delay of all changes, in s.
    pub delay_s: f64,
    /// If set, changes after this time do not reach it.
    pub stale_since: Option<f64>,
    /// Whether it does not respond.
    pub is_silent: bool,
    /// The newest version that it has received. It never goes back.
    version: usize,
}

impl Agent {
    /// Advances to and returns the version that it has at a time.
    pub fn update(&mut self, registry: &Registry, now: f64) -> usize {
        let until = (now - self.delay_s).min(self.stale_since.unwrap_or(f64::INFINITY));
        self.version = self.version.max(registry.version_at(until));
        self.version
    }

    /// When it receives the next change, if there is one.
    pub fn next_update_at(&self, registry: &Registry) -> Option<f64> {
        let at = registry.next_change_at(self.version)?;
        self.stale_since.is_none_or(|since| at <= since).then_some(at + self.delay_s)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(server: usize, state: ServerState) -> ServerEntry {
        ServerEntry { server, state, started_ms: 0.0 }
    }

    #[test]
    fn an_agent_lags_or_is_stale_then_catches_up_and_never_goes_back() {
        let mut registry = Registry::default();
        registry.record(0.0, entry(0, ServerState::Ready));
        registry.record(0.0, entry(1, ServerState::Ready));
        registry.record(2.0, entry(0, ServerState::Draining));
        registry.record(3.0, entry(0, ServerState::Gone));
        let mut agent = Agent::default();
        assert_eq!(agent.update(&registry, 2.5), 3);
        agent.delay_s = 2.0;
        assert_eq!((agent.update(&registry, 3.5), agent.next_update_at(&registry)), (3, Some(5.0)));
        agent.stale_since = Some(2.7);
        assert_eq!((agent.update(&registry, 9.0), agent.next_update_at(&registry)), (3, None));
        agent.stale_since = None;
        assert_eq!(agent.update(&registry, 9.0), 4);
        assert_eq!(registry.changes_between(2, 4), [entry(0, ServerState::Gone)]);
        assert_eq!(registry.snapshot(3), [entry(0, ServerState::Draining), entry(1, ServerState::Ready)]);
        assert_eq!(registry.snapshot(4), [entry(1, ServerState::Ready)]);
    }
}
