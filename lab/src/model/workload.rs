//! Model of the clients and of the edge router between clients and gateways: the requests of a plan, generated in
//! advance, and the gateway that each one is sent to.

use crate::plan::{Plan, TrafficAction};
use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};

/// Maximum number of quota units that a request can take.
pub const MAX_UNITS: f64 = 6.0;
/// Coefficient of variation of the ratio of estimated to actual units.
const ESTIMATE_CV: f64 = 0.45;
/// Names of the request classes: the idempotent one, then the non-idempotent one.
pub const CLASS_NAMES: [&str; 2] = ["status-read", "place-order"];
/// Names of the customers' service plans.
pub const PLAN_NAMES: [&str; 2] = ["basic", "volume"];
/// Account number of customer 0. Smaller numbers are free for requests that are sent by hand.
const FIRST_ACCOUNT: u64 = 0x1000;

/// One request of a client, which is sent in one or more tries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// When its first try is due, in s from the start of the load.
    pub due_at: f64,
    /// The customer that sends it.
    pub customer: u32,
    /// Index into [`CLASS_NAMES`].
    pub class: u8,
    /// Its processing time on an idle core, in ms.
    pub work_ms: f64,
    /// Quota units that the client announces.
    pub estimated_units: f64,
    /// Quota units that it actually uses.
    pub units: f64,
    /// Whether the client waits for as long as `Retry-After` says.
    pub honors_retry_after: bool,
}

impl Request {
    /// Index of the customer's service plan in [`PLAN_NAMES`].
    pub fn service_plan(&self) -> u8 {
        (self.customer % 2) as u8
    }

    /// The customer's account number on the wire.
    pub fn account(&self) -> u64 {
        FIRST_ACCOUNT + u64::from(self.customer)
    }
}

/// A lognormal distribution with this mean and coefficient of variation.
pub fn lognormal(mean: f64, cv: f64) -> LogNormal<f64> {
    let sigma2 = (1.0 + cv * cv).ln();
    // Plan validation guarantees a positive mean and a finite coefficient of variation.
    LogNormal::new(mean.ln() - sigma2 / 2.0, sigma2.sqrt()).expect("finite standard deviation")
}

/// Generates the requests of a plan, in order of their due times.
pub fn generate_requests(plan: &Plan) -> Vec<Request> {
    let traffic = &plan.traffic;
    let mut rng = plan.rng(1);
    let zipf = Zipf::new(traffic.customers as f64, traffic.skew).expect("non-negative exponent");
    let processing_time = lognormal(traffic.work_ms, traffic.work_cv);
    let estimate_factor = lognormal(1.0, ESTIMATE_CV);
    let generate = |due_at: f64, hot: bool, rng: &mut rand_pcg::Pcg64| {
        let work_ms: f64 = processing_time.sample(rng);
        let units = (work_ms / traffic.work_ms * 2.0).ceil().clamp(1.0, MAX_UNITS);
        // The hot customer is an additional one, on the same service plan as the busiest of the others.
        let customer = if hot { 2 * traffic.customers as u32 } else { zipf.sample(rng) as u32 - 1 };
        Request {
            due_at,
            customer,
            class: u8::from(rng.random_bool(traffic.orders)),
            work_ms,
            estimated_units: (units * estimate_factor.sample(rng)).round().clamp(1.0, MAX_UNITS),
            units,
            honors_retry_after: rng.random_bool(traffic.honour),
        }
    };
    let steps: Vec<_> = plan.step.iter().filter_map(|step| Some((step, step.traffic.as_ref()?))).collect();
    let active_steps = |at: f64, action: TrafficAction| {
        steps.iter().filter(move |(step, change)| {
            change.action == action && (step.at..step.end_s(plan)).contains(&at)
        })
    };
    let mut requests = Vec::new();
    let burst_factors = steps
        .iter()
        .filter(|(_, change)| change.action == TrafficAction::Burst)
        .map(|(_, change)| change.by.max(1.0));
    // A Poisson process with a varying rate, by thinning: arrivals are drawn at the maximum rate, and each is
    // kept with the ratio of the current rate to the maximum.
    let max_rate = traffic.per_s * burst_factors.product::<f64>();
    let mut at = 0.0;
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        at += gap / max_rate;
        if at >= plan.seconds {
            break;
        }
        let rate = traffic.per_s
            * active_steps(at, TrafficAction::Burst).map(|(_, change)| change.by).product::<f64>();
        if rng.random_bool((rate / max_rate).min(1.0)) {
            requests.push(generate(at, false, &mut rng));
        }
    }
    for (step, change) in steps.iter().filter(|(_, change)| change.action == TrafficAction::Hot) {
        let mut at = step.at;
        loop {
            let gap: f64 = Exp1.sample(&mut rng);
            at += gap / change.by;
            if at >= step.end_s(plan).min(plan.seconds) {
                break;
            }
            requests.push(generate(at, true, &mut rng));
        }
    }
    requests.sort_by(|a, b| a.due_at.total_cmp(&b.due_at));
    requests
}

/// Routes the requests of each customer to the gateways of its subset that the router considers up.
pub struct EdgeRouter {
    /// Number of gateways that a customer uses.
    subset_size: usize,
    /// Relative share of the traffic that each gateway receives.
    weights: Vec<f64>,
    /// Whether the router considers each gateway up.
    is_up: Vec<bool>,
}

impl EdgeRouter {
    /// Creates a router that considers all gateways up.
    pub fn new(plan: &Plan) -> EdgeRouter {
        let mut rng = plan.rng(2);
        let uneven = plan.traffic.uneven;
        let weights = (0..plan.fleet.gateways).map(|_| uneven.powf(rng.random::<f64>())).collect();
        EdgeRouter { subset_size: plan.traffic.spread, weights, is_up: vec![true; plan.fleet.gateways] }
    }

    /// Marks a gateway as up or down.
    pub fn set_up(&mut self, gateway: usize, up: bool) {
        self.is_up[gateway] = up;
    }

    /// The first gateway of a customer's subset.
    pub fn first_gateway(&self, customer: u32) -> usize {
        // The multiplication spreads consecutive customer numbers over the gateways.
        (u64::from(customer).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as usize % self.weights.len()
    }

    /// Draws a gateway of a customer's subset by weight, among those that are up. If none is up, any of the subset
    /// is drawn, and the client's connection fails.
    pub fn choose_gateway(&self, customer: u32, rng: &mut impl Rng) -> usize {
        let first = self.first_gateway(customer);
        let subset = || (first..first + self.subset_size).map(|index| index % self.weights.len());
        let any_up = subset().any(|index| self.is_up[index]);
        let is_candidate = |index: &usize| !any_up || self.is_up[*index];
        let total: f64 = subset().filter(is_candidate).map(|index| self.weights[index]).sum();
        let mut remaining = rng.random::<f64>() * total;
        let chosen = subset().filter(is_candidate).find(|index| {
            remaining -= self.weights[*index];
            remaining <= 0.0
        });
        chosen.unwrap_or(first)
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
    fn the_same_seed_generates_the_same_requests_at_the_planned_rate() {
        let (mut plan, burst_plan) =
            (plan(""), plan("[[step]]\nat = 50\ntraffic = { do = \"burst\", by = 3.0 }"));
        let requests = generate_requests(&plan);
        assert_eq!(requests, generate_requests(&plan));
        assert!((4_500..5_500).contains(&requests.len()), "{} requests", requests.len());
        let orders =
            requests.iter().filter(|request| request.class == 1).count() as f64 / requests.len() as f64;
        assert!((0.13..0.19).contains(&orders), "{orders} of the requests are orders");
        let mean = requests.iter().map(|request| request.work_ms).sum::<f64>() / requests.len() as f64;
        assert!((55.0..65.0).contains(&mean), "mean processing time of {mean} ms");
        let late = generate_requests(&burst_plan).iter().filter(|request| request.due_at >= 50.0).count();
        assert!((6_900..8_100).contains(&late), "{late} requests from the start of the burst");
        plan.seed = 2;
        assert_ne!(requests, generate_requests(&plan));
    }

    #[test]
    fn a_customer_uses_only_the_gateways_of_its_subset_that_are_up() {
        let mut router = EdgeRouter::new(&plan(""));
        let mut rng = plan("").rng(9);
        let first = router.first_gateway(7);
        let mut seen: Vec<_> = (0..200).map(|_| router.choose_gateway(7, &mut rng)).collect();
        seen.sort_unstable();
        seen.dedup();
        let mut subset: Vec<_> = (first..first + 3).map(|index| index % 10).collect();
        subset.sort_unstable();
        assert_eq!(seen, subset);
        router.set_up(first, false);
        assert!((0..200).all(|_| router.choose_gateway(7, &mut rng) != first));
        subset.iter().for_each(|index| router.set_up(*index, false));
        assert!(subset.contains(&router.choose_gateway(7, &mut rng)));
    }
}
