//! Numbers by which the decision module knows routes and services. A number has one owner at a time: it is free
//! again only when no route table and no request refers to it.

use oakfall::Class;
use std::collections::{HashMap, HashSet};
use std::rc::{Rc, Weak};

/// A request class: a route with the settings that the decision module needs. Its number is not given to another
/// one while this exists.
pub struct RouteClass {
    /// Its index in the settings of the decision module.
    pub number: u32,
    /// Its settings.
    pub settings: Class,
}

/// The request classes of routes. A route whose settings change gets a new class; requests in flight keep theirs.
#[derive(Default)]
pub struct ClassNumbers {
    /// Settings by number, also of classes that no longer exist.
    settings: Vec<Class>,
    /// Classes by number.
    classes: Vec<Weak<RouteClass>>,
    /// The latest class of each route, by the route's name.
    by_route: HashMap<String, Weak<RouteClass>>,
    /// Numbers of classes that no longer exist.
    free: Vec<u32>,
}

impl ClassNumbers {
    /// Settings by number, for the decision module.
    pub fn settings(&self) -> &[Class] {
        &self.settings
    }

    /// Frees the numbers of classes that no longer exist.
    pub fn release_unused(&mut self) {
        self.by_route.retain(|_, class| class.strong_count() > 0);
        let unused = self.classes.iter().enumerate().rev().filter(|(_, class)| class.strong_count() == 0);
        self.free = unused.map(|(number, _)| number as u32).collect();
    }

    /// The class of a route with these settings: the one that it had, or a new one.
    pub fn class(&mut self, route: &str, settings: Class) -> Rc<RouteClass> {
        let current = self.by_route.get(route).and_then(Weak::upgrade);
        if let Some(class) = current.filter(|class| class.settings == settings) {
            return class;
        }
        let number = self.free.pop().unwrap_or_else(|| {
            self.classes.push(Weak::new());
            self.settings.push(settings);
            (self.classes.len() - 1) as u32
        });
        let class = Rc::new(RouteClass { number, settings });
        self.classes[number as usize] = Rc::downgrade(&class);
        self.settings[number as usize] = settings;
        self.by_route.insert(route.to_owned(), Rc::downgrade(&class));
        class
    }
}

/// A pool of backends: those of a service, or those of a service's new version.
pub struct Pool {
    /// Its number in the decision module. No other pool gets it while this exists.
    pub number: u32,
}

/// The pools of services by name.
#[derive(Default)]
pub struct PoolNumbers {
    services: HashMap<String, Rc<Pool>>,
    canaries: HashMap<String, Rc<Pool>>,
    sequence: NumberSequence,
}

impl PoolNumbers {
    /// Pools whose numbers start with this one.
    pub fn starting_at(first: u32) -> Self {
        let sequence = NumberSequence { next: first, ..NumberSequence::default() };
        PoolNumbers { sequence, ..PoolNumbers::default() }
    }

    /// The pool of a service.
    pub fn of_service(&mut self, service: &str) -> Rc<Pool> {
        self.sequence.pool(&mut self.services, service)
    }

    /// The pool of a service's new version.
    pub fn of_canaries(&mut self, service: &str) -> Rc<Pool> {
        self.sequence.pool(&mut self.canaries, service)
    }

    /// Forgets the pools to which nothing refers any more.
    pub fn release_unused(&mut self) {
        for pools in [&mut self.services, &mut self.canaries] {
            pools.retain(|_, pool| {
                let in_use = Rc::strong_count(pool) > 1;
                if !in_use {
                    self.sequence.in_use.remove(&pool.number);
                }
                in_use
            });
        }
    }

    /// The number of pools that are known.
    pub fn count(&self) -> usize {
        self.services.len() + self.canaries.len()
    }
}

/// Numbers in ascending order, without those in use. One that is free is not given again before all others were, as
/// the decision module may remember a pool for a while.
#[derive(Default)]
struct NumberSequence {
    next: u32,
    in_use: HashSet<u32>,
}

impl NumberSequence {
    /// The pool of this name, with a new number if there is none.
    fn pool(&mut self, pools: &mut HashMap<String, Rc<Pool>>, name: &str) -> Rc<Pool> {
        if let Some(pool) = pools.get(name) {
            return pool.clone();
        }
        let pool = Rc::new(Pool { number: self.take() });
        pools.insert(name.to_owned(), pool.clone());
        pool
    }

    fn take(&mut self) -> u32 {
        loop {
            let number = self.next;
            self.next = self.next.wrapping_add(1);
            if self.in_use.insert(number) {
                return number;
            }
        }
    }
}

/// Pools by number that a list of backends refers to.
#[derive(Default)]
pub struct ListedPools(HashMap<u32, Rc<Pool>>);

impl ListedPools {
    /// Holds the pool, and returns its number.
    pub fn hold(&mut self, pool: Rc<Pool>) -> u32 {
        let number = pool.number;
        self.0.entry(number).or_insert(pool);
        number
    }
}
