//! The reference model: what callers and data planes may observe, given the responses that callers got.

use super::{bounds, World};
use oakfall_system::state::State;
use std::collections::BTreeMap;

/// A configuration that an operator sent.
pub struct Version {
    pub edition: u64,
    pub based_on: u64,
    sent_at: f64,
    /// When it was first acknowledged.
    pub acknowledged_at: Option<f64>,
    pub rejected: bool,
}

/// What callers and data planes have observed.
#[derive(Default)]
pub struct ReferenceModel {
    /// All configurations sent; a version's index is its id.
    pub versions: Vec<Version>,
    /// Backends whose closing or leaving was acknowledged, and when first.
    pub draining: BTreeMap<String, f64>,
    /// Backends acknowledged as open, and when last.
    pub open: BTreeMap<String, f64>,
    /// Whether each zone was last requested to be evacuated, and whether that request was acknowledged.
    zones: BTreeMap<usize, (bool, bool)>,
    /// The incarnation of each gateway, and the change index and edition of its replica.
    replicas: BTreeMap<usize, (u64, u64, u64)>,
    /// The incarnation of each gateway, and the highest leader's term that its proxy received.
    terms: BTreeMap<usize, (u64, u64)>,
    /// The acknowledged version with the highest edition.
    newest: Option<usize>,
}

impl ReferenceModel {
    // ---- Versions -----------------------------------------------------------------------------------------

    /// Adds a version that an operator sends, and returns its id.
    pub fn add_version(&mut self, now: f64, edition: u64, based_on: u64) -> usize {
        self.versions.push(Version {
            edition,
            based_on,
            sent_at: now,
            acknowledged_at: None,
            rejected: false,
        });
        self.versions.len() - 1
    }

    /// Records that a version was acknowledged, and returns its edition.
    pub fn acknowledge(&mut self, now: f64, version_id: usize) -> u64 {
        let Version { edition, based_on, rejected, .. } = self.versions[version_id];
        assert!(!rejected, "r{edition} (version {version_id}) was rejected, and then acknowledged");
        let conflicting = self.versions.iter().enumerate().find(|(other, version)| {
            *other != version_id && version.acknowledged_at.is_some() && version.based_on == based_on
        });
        if let Some((other, _)) = conflicting {
            panic!("versions {other} and {version_id} were both acknowledged on top of r{based_on}");
        }
        self.versions[version_id].acknowledged_at.get_or_insert(now);
        let newest = self.newest.map_or(0, |newest| self.versions[newest].edition);
        if edition > newest {
            self.newest = Some(version_id);
        }
        edition
    }

    /// Records that a version was rejected.
    pub fn reject(&mut self, version_id: usize) {
        let version = &mut self.versions[version_id];
        assert!(
            version.acknowledged_at.is_none(),
            "r{} (version {version_id}) was acknowledged, and then rejected",
            version.edition
        );
        version.rejected = true;
    }

    pub fn has_acknowledged(&self) -> bool {
        self.newest.is_some()
    }

    fn check_may_be_applied(&self, edition: u64, version_id: usize) {
        let version = self.versions.get(version_id).expect("a version that was sent");
        assert_eq!(version.edition, edition, "version {version_id} was sent with another edition");
        assert!(!version.rejected, "r{edition} (version {version_id}) was rejected, but is applied");
    }

    /// Checks the result of a read that was sent at this time.
    pub fn check_read(&mut self, sent_at: f64, edition: u64, version_id: usize) {
        self.check_may_be_applied(edition, version_id);
        let newer = self.versions.iter().find(|version| {
            version.acknowledged_at.is_some_and(|at| at < sent_at) && version.edition > edition
        });
        if let Some(newer) = newer {
            panic!("stale read: returned r{edition}, but r{} had been acknowledged", newer.edition);
        }
    }

    // ---- Backends and zones -------------------------------------------------------------------------------

    pub fn record_draining(&mut self, now: f64, id: &str) {
        self.draining.entry(id.to_owned()).or_insert(now);
        self.open.remove(id);
    }

    pub fn record_open(&mut self, now: f64, id: &str) {
        if !self.draining.contains_key(id) {
            self.open.insert(id.to_owned(), now);
        }
    }

    pub fn record_zone_request(&mut self, zone: usize, evacuated: bool) {
        self.zones.insert(zone, (evacuated, false));
    }

    pub fn record_zone_acknowledged(&mut self, zone: usize, evacuated: bool) {
        self.zones.insert(zone, (evacuated, true));
    }

    /// Checks that the leader's term never decreases at a proxy. Term 0 means that no leader is known.
    pub fn check_leader_term(&mut self, gateway: usize, incarnation: u64, term: u64) {
        let last = self.terms.entry(gateway).or_insert((incarnation, 0));
        if last.0 != incarnation {
            *last = (incarnation, 0);
        }
        assert!(term == 0 || term >= last.1, "gateway {gateway} went back from term {} to {term}", last.1);
        last.1 = last.1.max(term);
    }

    // ---- Data planes --------------------------------------------------------------------------------------

    /// Checks that a proxy's replica never goes back, and holds only a configuration that may be applied.
    pub fn check_replica(&mut self, gateway: usize, incarnation: u64, state: Option<&State>) {
        let Some(state) = state else { return };
        let edition = state.config.as_ref().map_or(0, |config| config.edition);
        if let Some((last_incarnation, last_index, last_edition)) = self.replicas.get(&gateway) {
            if *last_incarnation == incarnation {
                assert!(
                    state.index >= *last_index,
                    "gateway {gateway} went back from change {last_index} to {}",
                    state.index
                );
                assert!(
                    edition >= *last_edition,
                    "gateway {gateway} went back from r{last_edition} to r{edition}"
                );
            }
        }
        if let Some(config) = &state.config {
            let (text_edition, version_id) =
                super::callers::parse_config(&config.text).expect("a configuration");
            assert_eq!(text_edition, config.edition);
            self.check_may_be_applied(edition, version_id);
        }
        self.replicas.insert(gateway, (incarnation, state.index, edition));
    }
}

/// Checks that no gateway, connected or not, uses revoked keys later than `revoke` after the acknowledgement.
pub fn check_key_revocation(world: &World) {
    let revoke = bounds().revocation_timeout.as_secs_f64() * 1000.0;
    let due = world
        .model
        .versions
        .iter()
        .filter(|version| version.acknowledged_at.is_some_and(|at| at + revoke < world.now));
    let Some(due) = due.map(|version| version.edition).max() else { return };
    for number in 0..world.gateways.len() {
        let edition = world.gateways[number].replica.state().and_then(|state| state.config.as_ref());
        let edition = edition.map_or(u64::MAX, |config| config.edition);
        assert!(
            edition >= due || !world.has_valid_lease(number),
            "gateway {number} uses the keys of r{edition} at {:.0}, but r{due} was acknowledged",
            world.now
        );
    }
}

/// Checks that connected gateways stop using a backend soon after its closing or leaving was acknowledged.
pub fn check_draining(world: &World) {
    let due = world.model.draining.iter().filter(|(_, at)| **at + super::callers::DRAIN_MS < world.now);
    let due: Vec<_> = due.collect();
    let connected = world.gateways.iter().enumerate().filter(|(number, _)| world.is_connected(*number));
    for (number, gateway) in connected {
        let Some(state) = gateway.replica.state() else { continue };
        for (id, at) in &due {
            let open = state.backends.get(*id).is_some_and(|known| !known.backend.draining);
            assert!(
                !open,
                "gateway {number} has {id} as open at {:.0}, but its closing was acknowledged at {at:.0}",
                world.now
            );
        }
    }
}

/// Checks that a successful response is written soon after it was decided.
pub fn check_response_delay(now: f64, decided_at: f64, reply: &oakfall_system::api::Reply) {
    assert!(
        reply.status != 200 || now - decided_at < super::MAX_RESPONSE_DELAY_MS,
        "a successful response was written {:.0} ms after it was decided",
        now - decided_at
    );
}

/// Checks, once all faults have ended, that all replicas are equal and hold everything acknowledged.
pub fn check_final_state(world: &World) {
    let leader = world.leader().expect("a leader");
    let state = world.cores[leader].running.as_ref().expect("the leader runs").state();
    let ranges = state.range_digests();
    for (number, core) in world.cores.iter().enumerate() {
        let is_member =
            |member: &&oakfall_system::member::Member| member.raft().members().contains(member.name());
        if let Some(member) = core.running.as_ref().filter(is_member) {
            assert_eq!(member.state().range_digests(), ranges, "core {number} differs");
        }
    }
    for (number, gateway) in world.gateways.iter().enumerate() {
        let replica = gateway.replica.state().expect("a state");
        assert_eq!(replica.range_digests(), ranges, "gateway {number} differs");
        assert!(world.has_valid_lease(number), "gateway {number} has no valid lease after recovery");
        assert!(world.has_full_rate(number), "gateway {number} treats all backends as cold after recovery");
    }
    let edition = state.config.as_ref().map_or(0, |config| config.edition);
    let newest = world.model.newest.map_or(0, |newest| world.model.versions[newest].edition);
    assert!(edition >= newest, "r{edition} is applied, but r{newest} was acknowledged");
    for id in world.model.draining.keys() {
        let open = state.backends.get(id).is_some_and(|known| !known.backend.draining);
        assert!(!open, "{id} is open, but its closing was acknowledged");
    }
    for (slot, backend) in world.callers.backends.iter().enumerate() {
        let id = backend.id(slot);
        let open = state.backends.get(&id).is_some_and(|known| !known.backend.draining);
        if backend.phase == super::callers::Phase::Open && world.model.open.contains_key(&id) {
            assert!(open, "{id} sends heartbeats, but is not open");
        }
    }
    for (zone, (requested, acknowledged)) in &world.model.zones {
        let evacuated = state.evacuated.contains(&format!("zone-{zone}"));
        assert!(!acknowledged || evacuated == *requested, "zone {zone} is not as acknowledged");
    }
}
