//! The plain model: what callers were told and what data planes hold, against what they may be told and hold.

use super::{bounds, World};
use overland::state::State;
use std::collections::BTreeMap;

/// A version that an operator sent.
pub struct Version {
    pub edition: u64,
    pub based_on: u64,
    sent: f64,
    /// When it was first acknowledged.
    pub taken: Option<f64>,
    pub refused: bool,
}

/// What callers and data planes saw.
#[derive(Default)]
pub struct Judge {
    pub versions: Vec<Version>,
    /// Backends whose closing or leaving was acknowledged, and when.
    pub closing: BTreeMap<String, f64>,
    /// Backends that were acknowledged as open, and when last.
    pub open: BTreeMap<String, f64>,
    /// What was last asked of each zone, and whether that was acknowledged.
    zones: BTreeMap<usize, (bool, bool)>,
    /// The life, number and version that each gateway's copy had.
    copies: BTreeMap<usize, (u64, u64, u64)>,
    /// The life of each gateway, and the latest term that its proxy was told.
    terms: BTreeMap<usize, (u64, u64)>,
    /// The newest version that was taken.
    newest: Option<usize>,
}

impl Judge {
    // ---- Versions ---------------------------------------------------------------------------------------------

    /// An operator sends a version. Its place in the list is its mark.
    pub fn version(&mut self, now: f64, edition: u64, based_on: u64) -> usize {
        self.versions.push(Version { edition, based_on, sent: now, taken: None, refused: false });
        self.versions.len() - 1
    }

    /// It was acknowledged. Gives its number.
    pub fn taken(&mut self, now: f64, mark: usize) -> u64 {
        let Version { edition, based_on, refused, .. } = self.versions[mark];
        assert!(!refused, "r{edition} (mark {mark}) was refused, and then acknowledged");
        let twin = self.versions.iter().enumerate().find(|(other, version)| {
            *other != mark && version.taken.is_some() && version.based_on == based_on
        });
        if let Some((other, _)) = twin {
            panic!("marks {other} and {mark} were both acknowledged on top of r{based_on}");
        }
        self.versions[mark].taken.get_or_insert(now);
        let newest = self.newest.map_or(0, |newest| self.versions[newest].edition);
        if edition > newest {
            self.newest = Some(mark);
        }
        edition
    }

    /// It was refused.
    pub fn refused(&mut self, mark: usize) {
        let version = &mut self.versions[mark];
        assert!(
            version.taken.is_none(),
            "r{} (mark {mark}) was acknowledged, and then refused",
            version.edition
        );
        version.refused = true;
    }

    pub fn any_taken(&self) -> bool {
        self.newest.is_some()
    }

    fn may_be_in_force(&self, edition: u64, mark: usize) {
        let version = self.versions.get(mark).expect("a version that was sent");
        assert_eq!(version.edition, edition, "mark {mark} is not what was sent under its number");
        assert!(!version.refused, "r{edition} (mark {mark}) is in force, and was refused");
    }

    /// A read that was asked then gave this.
    pub fn read(&mut self, asked: f64, edition: u64, mark: usize) {
        self.may_be_in_force(edition, mark);
        let older =
            self.versions.iter().find(|v| v.taken.is_some_and(|at| at < asked) && v.edition > edition);
        if let Some(newer) = older {
            panic!("r{edition} was read, and r{} had been acknowledged before", newer.edition);
        }
    }

    // ---- Backends and zones -----------------------------------------------------------------------------------

    pub fn closing(&mut self, now: f64, id: &str) {
        self.closing.entry(id.to_owned()).or_insert(now);
        self.open.remove(id);
    }

    pub fn beat(&mut self, now: f64, id: &str) {
        if !self.closing.contains_key(id) {
            self.open.insert(id.to_owned(), now);
        }
    }

    pub fn zone_asked(&mut self, zone: usize, on: bool) {
        self.zones.insert(zone, (on, false));
    }

    pub fn zone_acknowledged(&mut self, zone: usize, on: bool) {
        self.zones.insert(zone, (on, true));
    }

    /// A gateway's proxy is told who leads, in this term; nought where nobody is known.
    pub fn fed(&mut self, gateway: usize, life: u64, term: u64) {
        let known = self.terms.entry(gateway).or_insert((life, 0));
        if known.0 != life {
            *known = (life, 0);
        }
        assert!(term == 0 || term >= known.1, "gateway {gateway} went back from term {} to {term}", known.1);
        known.1 = known.1.max(term);
    }

    // ---- Data planes ------------------------------------------------------------------------------------------

    /// A gateway's copy is this now.
    pub fn copied(&mut self, gateway: usize, life: u64, copy: Option<&State>) {
        let Some(copy) = copy else { return };
        let edition = copy.config.as_ref().map_or(0, |config| config.edition);
        if let Some((of, index, was)) = self.copies.get(&gateway) {
            if *of == life {
                assert!(
                    copy.index >= *index,
                    "gateway {gateway} went back from change {index} to {}",
                    copy.index
                );
                assert!(edition >= *was, "gateway {gateway} went back from r{was} to r{edition}");
            }
        }
        if let Some(config) = &copy.config {
            let (read, mark) = super::callers::read_back(&config.text).expect("a configuration");
            assert_eq!(read, config.edition);
            self.may_be_in_force(edition, mark);
        }
        self.copies.insert(gateway, (life, copy.index, edition));
    }
}

/// Keys that were taken away are gone by at no gateway, in touch or not, later than `revoke` after the acknowledgement.
pub fn keys(world: &World) {
    let revoke = bounds().revocation_timeout.as_secs_f64() * 1000.0;
    let due = world.judge.versions.iter().filter(|v| v.taken.is_some_and(|at| at + revoke < world.now));
    let Some(due) = due.map(|version| version.edition).max() else { return };
    for number in 0..world.gateways.len() {
        let edition = world.gateways[number].copy.state().and_then(|copy| copy.config.as_ref());
        let edition = edition.map_or(u64::MAX, |config| config.edition);
        assert!(
            edition >= due || !world.goes_by_keys(number),
            "gateway {number} goes by the keys of r{edition} at {:.0}, and r{due} was acknowledged",
            world.now
        );
    }
}

/// A backend whose closing or end was acknowledged is sent nothing new by gateways in touch a while later.
pub fn drains(world: &World) {
    let due = world.judge.closing.iter().filter(|(_, at)| **at + super::callers::DRAIN_MS < world.now);
    let due: Vec<_> = due.collect();
    for (number, gateway) in world.gateways.iter().enumerate().filter(|(number, _)| world.in_touch(*number)) {
        let Some(copy) = gateway.copy.state() else { continue };
        for (id, at) in &due {
            let open = copy.backends.get(*id).is_some_and(|known| !known.backend.draining);
            assert!(
                !open,
                "gateway {number} takes {id} to be open at {:.0}, and its end was acknowledged at {at:.0}",
                world.now
            );
        }
    }
}

/// An answer is written soon after it was decided.
pub fn written(now: f64, decided: f64, reply: &overland::calls::Reply) {
    assert!(
        reply.status != 200 || now - decided < super::WRITTEN_MS,
        "a call was granted {:.0} ms before the answer was written",
        now - decided
    );
}

/// Calm has come: all copies are one, and hold what was acknowledged.
pub fn finish(world: &World) {
    let leader = world.leader().expect("somebody leads");
    let state = world.cores[leader].running.as_ref().expect("it runs").state();
    let ranges = state.range_digests();
    for (number, core) in world.cores.iter().enumerate() {
        if let Some(member) = core.running.as_ref().filter(|m| m.agreement().members().contains(m.name())) {
            assert_eq!(member.state().range_digests(), ranges, "core {number} differs");
        }
    }
    for (number, gateway) in world.gateways.iter().enumerate() {
        let copy = gateway.copy.state().expect("a copy");
        assert_eq!(copy.range_digests(), ranges, "gateway {number} differs");
        assert!(world.goes_by_keys(number), "gateway {number} is out of touch in calm");
        assert!(world.has_full_rate(number), "gateway {number} takes all backends for cold in calm");
    }
    let edition = state.config.as_ref().map_or(0, |config| config.edition);
    let newest = world.judge.newest.map_or(0, |newest| world.judge.versions[newest].edition);
    assert!(edition >= newest, "r{edition} stands, and r{newest} was acknowledged");
    for id in world.judge.closing.keys() {
        let open = state.backends.get(id).is_some_and(|known| !known.backend.draining);
        assert!(!open, "{id} is open, and its closing was acknowledged");
    }
    for (place, backend) in world.callers.backends.iter().enumerate() {
        let id = backend.id(place);
        let open = state.backends.get(&id).is_some_and(|known| !known.backend.draining);
        if backend.phase == super::callers::Phase::Open && world.judge.open.contains_key(&id) {
            assert!(open, "{id} beats and is not known");
        }
    }
    for (zone, (on, acknowledged)) in &world.judge.zones {
        let stands = state.evacuated.contains(&format!("zone-{zone}"));
        assert!(!acknowledged || stands == *on, "zone {zone} is not as was acknowledged");
    }
}
