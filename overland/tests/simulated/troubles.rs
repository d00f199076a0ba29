//! Troubles, each brought about on purpose, drawn in their place, length and kind.

use super::{Luck, Place, World};

/// What happens to a system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The leader is cut off from its peers alone: both ways, or one.
    LeaderFromPeers,
    /// From agents alone.
    LeaderFromAgents,
    /// From all, backends and operators too.
    LeaderFromAll,
    /// A member that doesn't lead is cut off from its peers.
    MemberFromPeers,
    /// The leader, or another member, and some gateways are on one side, all others on the other.
    Split,
    /// The leader stands still, and is woken.
    LeaderFrozen,
    /// Any member does.
    MemberFrozen,
    /// Core processes stand still between any two actions.
    Pauses,
    /// The leader's disk hangs, or is slow.
    DiskHangs,
    /// The leader is killed, and comes back.
    LeaderKilled,
    /// Any process of the core is killed at any action.
    Kills,
    /// Some gateways are cut off from the core, for long.
    GatewaysAlone,
    /// A gateway's agent, proxy or both stand still.
    GatewayFrozen,
    /// A gateway is killed and starts anew, and is cut off soon after.
    GatewayAnew,
    /// Letters are lost and doubled, answers to callers lost.
    Loss,
}

/// All of them.
pub const ALL: [Trouble; 15] = [
    Trouble::LeaderFromPeers,
    Trouble::LeaderFromAgents,
    Trouble::LeaderFromAll,
    Trouble::MemberFromPeers,
    Trouble::Split,
    Trouble::LeaderFrozen,
    Trouble::MemberFrozen,
    Trouble::Pauses,
    Trouble::DiskHangs,
    Trouble::LeaderKilled,
    Trouble::Kills,
    Trouble::GatewaysAlone,
    Trouble::GatewayFrozen,
    Trouble::GatewayAnew,
    Trouble::Loss,
];

impl World {
    fn any_core(&mut self) -> usize {
        let cores = self.cores.len();
        self.rng.usize(0..cores)
    }

    fn any_gateway(&mut self) -> usize {
        let gateways = self.gateways.len();
        self.rng.usize(0..gateways)
    }

    /// Cuts a place off from others, both ways, or one of them. At times its open links are reset at once.
    pub fn cut_somehow(&mut self, place: Place, others: Vec<Place>) {
        match self.rng.u32(0..4) {
            0 => self.cuts.extend(others.iter().map(|other| (place, *other))),
            1 => self.cuts.extend(others.iter().map(|other| (*other, place))),
            _ => self.cut_off(place, others.iter().copied()),
        }
        if self.rng.bool() {
            self.reset_links();
        }
    }

    /// Two of these troubles, one after the other, and calm at the end.
    pub fn two_troubles(&mut self, of: &[Trouble]) {
        self.begin();
        self.pass(7_000.0);
        for _ in 0..2 {
            let trouble = of[self.rng.usize(0..of.len())];
            self.bring_about(trouble);
            let pause = self.rng.f64() * 6_000.0;
            self.pass(self.now + pause);
        }
        self.settle(15_000.0);
    }

    /// All core processes are killed, and come back; backends reach them again seconds after somebody leads. Nobody takes a
    /// backend for warm meanwhile: any may have turned cold.
    pub fn core_is_off_and_hears_no_backend(&mut self) {
        let gateways = 0..self.gateways.len();
        let nobody_has_full_rate = |world: &World| {
            let has = gateways.clone().find(|gateway| world.has_full_rate(*gateway));
            assert_eq!(has, None, "it takes backends for warm at {:.0}, and none was heard", world.now);
        };
        self.begin();
        self.pass(10_000.0);
        let cores: Vec<_> = (0..self.cores.len()).collect();
        cores.iter().for_each(|core| self.kill_core(*core));
        self.cut_off(Place::Outside, cores.iter().copied().map(Place::Core));
        self.pass(12_500.0);
        nobody_has_full_rate(self);
        self.pass(14_000.0);
        cores.iter().for_each(|core| self.start_later(Place::Core(*core), 100.0));
        while self.now < 17_500.0 {
            self.pass(self.now + 50.0);
            nobody_has_full_rate(self);
        }
        assert!(self.leader().is_some(), "somebody leads by now");
        self.settle(8_000.0);
    }

    /// One trouble, from its beginning to its end. Gives how long it lasted, in ms.
    pub fn bring_about(&mut self, trouble: Trouble) -> f64 {
        let leader = self.leader().unwrap_or_else(|| self.any_core());
        let peers = (0..self.cores.len()).map(Place::Core).collect::<Vec<_>>();
        let agents = (0..self.gateways.len()).map(Place::Gateway).collect::<Vec<_>>();
        let mut for_ms = [300.0, 2_000.0, 20_000.0][self.rng.usize(0..3)] * (0.5 + self.rng.f64());
        match trouble {
            Trouble::LeaderFromPeers => self.cut_somehow(Place::Core(leader), peers),
            Trouble::LeaderFromAgents => self.cut_somehow(Place::Core(leader), agents),
            Trouble::LeaderFromAll => {
                let all = [peers, agents, vec![Place::Outside]].concat();
                self.cut_somehow(Place::Core(leader), all);
            }
            Trouble::MemberFromPeers => {
                let core = self.any_core();
                self.cut_somehow(Place::Core(core), peers);
            }
            Trouble::Split => {
                let core = if self.rng.bool() { leader } else { self.any_core() };
                let side = |place: &Place| {
                    *place == Place::Core(core) || matches!(place, Place::Gateway(n) if n % 2 == 0)
                };
                let all = [peers, agents].concat();
                let (near, far): (Vec<_>, Vec<_>) = all.into_iter().partition(side);
                near.into_iter().for_each(|place| self.cut_off(place, far.iter().copied()));
            }
            Trouble::LeaderFrozen => self.freeze_core(leader, for_ms),
            Trouble::MemberFrozen => {
                let core = self.any_core();
                self.freeze_core(core, for_ms);
            }
            Trouble::Pauses => {
                for_ms = for_ms.min(6_000.0);
                self.luck.pause = 0.006;
            }
            Trouble::DiskHangs => self.cores[leader].sync_ms = [20.0, 300.0, 4_000.0][self.rng.usize(0..3)],
            Trouble::LeaderKilled => {
                self.kill_core(leader);
                let after = self.rng.f64() * 4_000.0;
                self.start_later(Place::Core(leader), after);
            }
            Trouble::Kills => {
                for_ms = for_ms.min(6_000.0);
                self.luck.kill = 0.001;
            }
            Trouble::GatewaysAlone => {
                for_ms += [0.0, 40_000.0][self.rng.usize(0..2)];
                for _ in 0..self.rng.u32(1..4) {
                    let gateway = self.any_gateway();
                    self.cut_somehow(Place::Gateway(gateway), peers.clone());
                }
            }
            Trouble::GatewayFrozen => {
                let (gateway, kind) = (self.any_gateway(), self.rng.u32(1..4));
                self.freeze_gateway(gateway, kind & 1 > 0, kind & 2 > 0, for_ms);
                if self.rng.bool() {
                    // What it was told last grows old meanwhile, and nothing new comes at once.
                    self.pass(self.now + 800.0);
                    self.cut_off(Place::Gateway(gateway), peers);
                    for_ms += 3_000.0;
                }
            }
            Trouble::GatewayAnew => {
                let gateway = self.any_gateway();
                self.kill_gateway(gateway);
                let pause = self.rng.f64() * 1_000.0;
                self.pass(self.now + pause);
                self.start_gateway(gateway);
                let pause = self.rng.f64() * 600.0;
                self.pass(self.now + pause);
                self.cut_off(Place::Gateway(gateway), peers);
            }
            Trouble::Loss => {
                self.luck = Luck { loss: 0.1, twice: 0.1, ack_loss: 0.2, ..Luck::CALM };
            }
        }
        self.pass(self.now + for_ms);
        self.cuts.clear();
        self.luck = Luck::CALM;
        self.cores.iter_mut().for_each(|core| core.sync_ms = 0.5);
        (0..self.cores.len()).for_each(|core| self.start_core(core, false));
        for_ms
    }
}
