//! Faults injected into the simulated system, with random targets, durations and variants.

use super::{Endpoint, FaultRates, World};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The leader is cut off from the other core processes, in one or both directions.
    LeaderCutFromPeers,
    /// The leader is cut off from all agents, in one or both directions.
    LeaderCutFromAgents,
    /// The leader is cut off from peers, agents, backends and operators, in one or both directions.
    LeaderIsolated,
    /// A random member is cut off from its peers, in one or both directions.
    MemberCutFromPeers,
    /// One core process, often the leader, and half of the gateways are partitioned from the other ones.
    Partition,
    LeaderPaused,
    /// A random member is paused.
    MemberPaused,
    /// Core processes pause at random between actions.
    RandomPauses,
    /// The leader's disk is slow.
    SlowDisk,
    /// The leader is killed and restarted.
    LeaderKilled,
    /// Core processes crash at random between actions.
    RandomCrashes,
    /// Some gateways are cut off from the core, possibly for long.
    GatewaysCutOff,
    /// A gateway's agent, proxy or both are paused.
    GatewayPaused,
    /// A gateway is restarted, and cut off soon after.
    GatewayRestarted,
    /// Messages between core processes are lost and duplicated, and responses to callers lost.
    MessageLoss,
}

pub const ALL_FAULTS: [Fault; 15] = [
    Fault::LeaderCutFromPeers,
    Fault::LeaderCutFromAgents,
    Fault::LeaderIsolated,
    Fault::MemberCutFromPeers,
    Fault::Partition,
    Fault::LeaderPaused,
    Fault::MemberPaused,
    Fault::RandomPauses,
    Fault::SlowDisk,
    Fault::LeaderKilled,
    Fault::RandomCrashes,
    Fault::GatewaysCutOff,
    Fault::GatewayPaused,
    Fault::GatewayRestarted,
    Fault::MessageLoss,
];

impl World {
    fn random_core(&mut self) -> usize {
        let cores = self.cores.len();
        self.rng.usize(0..cores)
    }

    fn random_gateway(&mut self) -> usize {
        let gateways = self.gateways.len();
        self.rng.usize(0..gateways)
    }

    /// Cuts an endpoint off from others in one or both directions, and sometimes resets its open links.
    pub fn cut_randomly(&mut self, endpoint: Endpoint, others: Vec<Endpoint>) {
        match self.rng.u32(0..4) {
            0 => self.cuts.extend(others.iter().map(|other| (endpoint, *other))),
            1 => self.cuts.extend(others.iter().map(|other| (*other, endpoint))),
            _ => self.cut_off(endpoint, others.iter().copied()),
        }
        if self.rng.bool() {
            self.reset_links();
        }
    }

    /// Starts the system, injects two of these faults one after the other, and lets it recover.
    pub fn run_two_faults(&mut self, faults: &[Fault]) {
        self.start();
        self.run_until(7_000.0);
        for _ in 0..2 {
            let fault = faults[self.rng.usize(0..faults.len())];
            self.inject(fault);
            let pause = self.rng.f64() * 6_000.0;
            self.run_until(self.now + pause);
        }
        self.settle(15_000.0);
    }

    /// Restarts all core processes while backends can't reach them until seconds after a leader is elected.
    /// No gateway may grant the full rate meanwhile, as any backend may have turned cold.
    pub fn restart_core_without_heartbeats(&mut self) {
        let gateways = 0..self.gateways.len();
        let assert_no_full_rate = |world: &World| {
            let granting = gateways.clone().find(|gateway| world.has_full_rate(*gateway));
            assert_eq!(
                granting, None,
                "a gateway grants the full rate at {:.0}, before any heartbeat",
                world.now
            );
        };
        self.start();
        self.run_until(10_000.0);
        let cores: Vec<_> = (0..self.cores.len()).collect();
        cores.iter().for_each(|core| self.kill_core(*core));
        self.cut_off(Endpoint::External, cores.iter().copied().map(Endpoint::Core));
        self.run_until(12_500.0);
        assert_no_full_rate(self);
        self.run_until(14_000.0);
        cores.iter().for_each(|core| self.start_later(Endpoint::Core(*core), 100.0));
        while self.now < 17_500.0 {
            self.run_until(self.now + 50.0);
            assert_no_full_rate(self);
        }
        assert!(self.leader().is_some(), "no leader was elected");
        self.settle(8_000.0);
    }

    /// Injects a fault and ends it. Returns how long it lasted, in ms.
    pub fn inject(&mut self, fault: Fault) -> f64 {
        let leader = self.leader().unwrap_or_else(|| self.random_core());
        let peers = (0..self.cores.len()).map(Endpoint::Core).collect::<Vec<_>>();
        let agents = (0..self.gateways.len()).map(Endpoint::Gateway).collect::<Vec<_>>();
        let mut duration_ms = [300.0, 2_000.0, 20_000.0][self.rng.usize(0..3)] * (0.5 + self.rng.f64());
        match fault {
            Fault::LeaderCutFromPeers => self.cut_randomly(Endpoint::Core(leader), peers),
            Fault::LeaderCutFromAgents => self.cut_randomly(Endpoint::Core(leader), agents),
            Fault::LeaderIsolated => {
                let all = [peers, agents, vec![Endpoint::External]].concat();
                self.cut_randomly(Endpoint::Core(leader), all);
            }
            Fault::MemberCutFromPeers => {
                let core = self.random_core();
                self.cut_randomly(Endpoint::Core(core), peers);
            }
            Fault::Partition => {
                let core = if self.rng.bool() { leader } else { self.random_core() };
                let is_near = |endpoint: &Endpoint| {
                    *endpoint == Endpoint::Core(core)
                        || matches!(endpoint, Endpoint::Gateway(number) if number % 2 == 0)
                };
                let all = [peers, agents].concat();
                let (near, far): (Vec<_>, Vec<_>) = all.into_iter().partition(is_near);
                near.into_iter().for_each(|endpoint| self.cut_off(endpoint, far.iter().copied()));
            }
            Fault::LeaderPaused => self.pause_core(leader, duration_ms),
            Fault::MemberPaused => {
                let core = self.random_core();
                self.pause_core(core, duration_ms);
            }
            Fault::RandomPauses => {
                duration_ms = duration_ms.min(6_000.0);
                self.fault_rates.pause = 0.006;
            }
            Fault::SlowDisk => self.cores[leader].sync_ms = [20.0, 300.0, 4_000.0][self.rng.usize(0..3)],
            Fault::LeaderKilled => {
                self.kill_core(leader);
                let after = self.rng.f64() * 4_000.0;
                self.start_later(Endpoint::Core(leader), after);
            }
            Fault::RandomCrashes => {
                duration_ms = duration_ms.min(6_000.0);
                self.fault_rates.crash = 0.001;
            }
            Fault::GatewaysCutOff => {
                duration_ms += [0.0, 40_000.0][self.rng.usize(0..2)];
                for _ in 0..self.rng.u32(1..4) {
                    let gateway = self.random_gateway();
                    self.cut_randomly(Endpoint::Gateway(gateway), peers.clone());
                }
            }
            Fault::GatewayPaused => {
                let (gateway, paused) = (self.random_gateway(), self.rng.u32(1..4));
                self.pause_gateway(gateway, paused & 1 > 0, paused & 2 > 0, duration_ms);
                if self.rng.bool() {
                    // The last update ages, and the cut delays newer ones.
                    self.run_until(self.now + 800.0);
                    self.cut_off(Endpoint::Gateway(gateway), peers);
                    duration_ms += 3_000.0;
                }
            }
            Fault::GatewayRestarted => {
                let gateway = self.random_gateway();
                self.kill_gateway(gateway);
                let pause = self.rng.f64() * 1_000.0;
                self.run_until(self.now + pause);
                self.start_gateway(gateway);
                let pause = self.rng.f64() * 600.0;
                self.run_until(self.now + pause);
                self.cut_off(Endpoint::Gateway(gateway), peers);
            }
            Fault::MessageLoss => {
                self.fault_rates =
                    FaultRates { loss: 0.1, duplication: 0.1, response_loss: 0.2, ..FaultRates::NONE };
            }
        }
        self.run_until(self.now + duration_ms);
        self.cuts.clear();
        self.fault_rates = FaultRates::NONE;
        self.cores.iter_mut().for_each(|core| core.sync_ms = 0.5);
        (0..self.cores.len()).for_each(|core| self.start_core(core, false));
        duration_ms
    }
}
