//! Numbers of routes and services: never shared, and bounded by what is in use.

use oakfall::{Class, Idempotency};
use oakfall_system::routes::numbers::{ClassNumbers, Pool, PoolNumbers};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Routes of one version, in the drawn histories.
const ROUTES_PER_VERSION: usize = 10;
/// Names to draw routes from.
const ROUTE_NAMES: usize = 25;

fn class(owner: u64, idempotency: Idempotency) -> Class {
    Class { owner, idempotency, ..Class::default() }
}

/// Guards against two classes under one number while requests of both are in flight.
#[test]
fn classes_in_use_never_share_a_number() {
    bolero::check!().with_iterations(400).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut numbers = ClassNumbers::default();
        let (mut table, mut in_flight) = (Vec::new(), Vec::new());
        let mut most_in_use = 0;
        for _ in 0..200 {
            numbers.release_unused();
            let next: Vec<_> = (0..rng.usize(0..ROUTES_PER_VERSION))
                .map(|_| {
                    let name = rng.usize(0..ROUTE_NAMES);
                    let kind = if rng.bool() { Idempotency::Idempotent } else { Idempotency::NonIdempotent };
                    numbers.class(&name.to_string(), class(name as u64, kind))
                })
                .collect();
            in_flight.retain(|_| rng.u32(0..3) > 0);
            in_flight.extend(table.drain(..).filter(|_| rng.bool()));
            table = next;
            let in_use: Vec<_> = table.iter().chain(&in_flight).collect();
            most_in_use = most_in_use.max(in_use.len());
            for held in &in_use {
                assert_eq!(numbers.settings()[held.number as usize], held.settings, "its settings stay");
                let same = in_use.iter().filter(|other| other.number == held.number);
                assert!(
                    same.into_iter().all(|other| other.settings == held.settings),
                    "one number, two classes"
                );
            }
        }
        // The next version takes its numbers before the last one has released its own.
        assert!(numbers.settings().len() <= most_in_use + 2 * ROUTES_PER_VERSION);
    });
}

/// Guards against memory that grows with all names that ever were.
#[test]
fn numbers_of_classes_are_bounded_by_those_in_use() {
    let mut numbers = ClassNumbers::default();
    let mut table = Vec::new();
    for version in 0..250 {
        numbers.release_unused();
        let safe = |name: u64| numbers.class(&name.to_string(), class(name, Idempotency::Idempotent));
        table = (version * 400..(version + 1) * 400).map(safe).collect();
    }
    let distinct: BTreeSet<_> = table.iter().map(|class| class.number).collect();
    assert_eq!(distinct.len(), 400);
    assert!(numbers.settings().len() <= 800, "{}", numbers.settings().len());
}

/// Guards against two services with one pool of backends, also when the numbers start again from 0.
#[test]
fn pools_in_use_never_share_a_number() {
    bolero::check!().with_iterations(400).with_type::<u64>().for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut numbers = PoolNumbers::starting_at(u32::MAX - rng.u32(0..1000));
        let mut in_use: Vec<((bool, String), Rc<Pool>)> = Vec::new();
        for _ in 0..200 {
            in_use.retain(|_| rng.u32(0..4) > 0);
            for _ in 0..rng.usize(0..10) {
                let (is_canary, name) = (rng.bool(), rng.u32(0..40).to_string());
                let pool = if is_canary { numbers.of_canaries(&name) } else { numbers.of_service(&name) };
                in_use.push(((is_canary, name), pool));
            }
            numbers.release_unused();
            let mut owners = BTreeMap::new();
            for (owner, pool) in &in_use {
                assert_eq!(owners.entry(pool.number).or_insert(owner), &owner, "one number, two pools");
            }
            assert_eq!(numbers.count(), owners.len(), "unused pools are forgotten");
        }
    });
}
