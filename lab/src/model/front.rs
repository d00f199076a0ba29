//! Clients and the front before the gateways: who asks for what and when, drawn ahead, and through which gateway.

use crate::plan::{Plan, TrafficAction};
use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

/// Units of a request, at most.
pub const UNITS_MOST: f64 = 6.0;
/// Spread of a guess of units round the true ones.
const GUESS_CV: f64 = 0.45;
/// Names of the classes, the safe one first, and of the plans.
pub const CLASSES: [&str; 2] = ["status-read", "place-order"];
/// Names of the plans.
pub const PLANS: [&str; 2] = ["basic", "volume"];
/// Customers are told apart from those of other tools by their first number.
const FIRST_CUSTOMER: u64 = 0x1000;

/// One request as a client first asks for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, in s.
    pub at: f64,
    /// Whose.
    pub customer: u32,
    /// Its class.
    pub class: u8,
    /// Its work on an idle core, in ms.
    pub work_ms: f64,
    /// Units that it says it takes.
    pub guess: f64,
    /// Units that it takes.
    pub units: f64,
    /// The client waits as long as a refusal says.
    pub honours: bool,
}

impl Arrival {
    /// The customer's plan.
    pub fn plan(&self) -> u8 {
        (self.customer % 2) as u8
    }

    /// The customer's number on the wire.
    pub fn account(&self) -> u64 {
        FIRST_CUSTOMER + u64::from(self.customer)
    }
}

/// A lognormal distribution of that mean and coefficient of variation.
pub fn lognormal(mean: f64, cv: f64) -> LogNormal<f64> {
    let sigma2 = (1.0 + cv * cv).ln();
    // Mean and spread were checked with the plan, so that neither can be out of its range.
    LogNormal::new(mean.ln() - sigma2 / 2.0, sigma2.sqrt()).expect("a finite spread")
}

/// All first tries of a plan, in order of time.
pub fn arrivals(plan: &Plan) -> Vec<Arrival> {
    let traffic = &plan.traffic;
    let mut rng = plan.rng(1);
    let zipf = Zipf::new(traffic.customers as f64, traffic.skew).expect("an exponent of 0 or more");
    let work = lognormal(traffic.work_ms, traffic.work_cv);
    let guess = lognormal(1.0, GUESS_CV);
    let draw = |at: f64, hot: bool, rng: &mut rand_pcg::Pcg64| {
        let work_ms: f64 = work.sample(rng);
        let units = (work_ms / traffic.work_ms * 2.0).ceil().clamp(1.0, UNITS_MOST);
        // The busiest customer is of the plan that is cheap; the hot one beside them is a new customer of it.
        let customer = if hot { 2 * traffic.customers as u32 } else { zipf.sample(rng) as u32 - 1 };
        Arrival {
            at,
            customer,
            class: u8::from(rng.random_bool(traffic.orders)),
            work_ms,
            guess: (units * guess.sample(rng)).round().clamp(1.0, UNITS_MOST),
            units,
            honours: rng.random_bool(traffic.honour),
        }
    };
    let steps: Vec<_> = plan.step.iter().filter_map(|step| Some((step, step.traffic.as_ref()?))).collect();
    let within = |at: f64, act: TrafficAction| {
        steps.iter().filter(move |(step, on)| on.action == act && (step.at..step.end_s(plan)).contains(&at))
    };
    let mut all = Vec::new();
    let most = steps.iter().filter(|(_, on)| on.action == TrafficAction::Burst).map(|(_, on)| on.by.max(1.0));
    let most = traffic.per_s * most.product::<f64>();
    let mut at = 0.0;
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        at += gap / most;
        if at >= plan.seconds {
            break;
        }
        let rate = traffic.per_s * within(at, TrafficAction::Burst).map(|(_, on)| on.by).product::<f64>();
        if rng.random_bool((rate / most).min(1.0)) {
            all.push(draw(at, false, &mut rng));
        }
    }
    for (step, on) in steps.iter().filter(|(_, on)| on.action == TrafficAction::Hot) {
        let mut at = step.at;
        loop {
            let gap: f64 = Exp1.sample(&mut rng);
            at += gap / on.by;
            if at >= step.end_s(plan).min(plan.seconds) {
                break;
            }
            all.push(draw(at, true, &mut rng));
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// The front: it deals the requests of each customer among the gateways of its set, as far as it sees them up.
pub struct Front {
    spread: usize,
    weights: Vec<f64>,
    up: Vec<bool>,
}

impl Front {
    /// All gateways are up.
    pub fn new(plan: &Plan) -> Front {
        let mut rng = plan.rng(2);
        let uneven = plan.traffic.uneven;
        let weights = (0..plan.fleet.gateways).map(|_| uneven.powf(rng.random::<f64>())).collect();
        Front { spread: plan.traffic.spread, weights, up: vec![true; plan.fleet.gateways] }
    }

    /// The front notices that a gateway is gone or back.
    pub fn sees(&mut self, gateway: usize, up: bool) {
        self.up[gateway] = up;
    }

    /// The first of a customer's gateways.
    pub fn first(&self, customer: u32) -> usize {
        // Neighbours in number are far apart in place.
        (u64::from(customer).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as usize % self.weights.len()
    }

    /// One of a customer's gateways. With none of them up any will do: its client finds out.
    pub fn deal(&self, customer: u32, rng: &mut impl Rng) -> usize {
        let first = self.first(customer);
        let set = || (first..first + self.spread).map(|place| place % self.weights.len());
        let up = set().any(|place| self.up[place]);
        let may = |place: &usize| !up || self.up[*place];
        let all: f64 = set().filter(may).map(|place| self.weights[place]).sum();
        let mut left = rng.random::<f64>() * all;
        let found = set().filter(may).find(|place| {
            left -= self.weights[*place];
            left <= 0.0
        });
        found.unwrap_or(first)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(steps: &str) -> Plan {
        let text = format!(
            "name = \"a\"\nseconds = 100\n[fleet]\ngateways = 10\nservers = 4\n[traffic]\nper_s = 50.0\n{steps}"
        );
        Plan::read(&text).unwrap()
    }

    #[test]
    fn the_same_seed_draws_the_same_and_the_rate_is_kept() {
        let (mut plan, other) = (plan(""), plan("[[step]]\nat = 50\ntraffic = { do = \"burst\", by = 3.0 }"));
        let all = arrivals(&plan);
        assert_eq!(all, arrivals(&plan));
        assert!((4_500..5_500).contains(&all.len()), "{}", all.len());
        let orders = all.iter().filter(|arrival| arrival.class == 1).count() as f64 / all.len() as f64;
        assert!((0.13..0.19).contains(&orders), "{orders}");
        let mean = all.iter().map(|arrival| arrival.work_ms).sum::<f64>() / all.len() as f64;
        assert!((55.0..65.0).contains(&mean), "{mean}");
        let late = arrivals(&other).iter().filter(|arrival| arrival.at >= 50.0).count();
        assert!((6_900..8_100).contains(&late), "{late}");
        plan.seed = 2;
        assert_ne!(all, arrivals(&plan));
    }

    #[test]
    fn a_customer_comes_through_its_set_and_round_what_is_down() {
        let mut front = Front::new(&plan(""));
        let mut rng = plan("").rng(9);
        let first = front.first(7);
        let mut seen: Vec<_> = (0..200).map(|_| front.deal(7, &mut rng)).collect();
        seen.sort_unstable();
        seen.dedup();
        let mut set: Vec<_> = (first..first + 3).map(|place| place % 10).collect();
        set.sort_unstable();
        assert_eq!(seen, set);
        front.sees(first, false);
        assert!((0..200).all(|_| front.deal(7, &mut rng) != first));
        set.iter().for_each(|place| front.sees(*place, false));
        assert!(set.contains(&front.deal(7, &mut rng)));
    }
}
