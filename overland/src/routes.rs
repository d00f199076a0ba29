//! The configuration as a proxy goes by it: hosts, paths, keys and tenants to routes, services and zones.

use crate::config::{Config, Dispatch, Invalid};
use crate::tally::Limit;
use crate::units;
use cherrytally::{Class, Idempotency};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Share of the worth that a late answer still earns; the wire does not say.
const LATE_WORTH: f64 = 0.3;
/// Names of routes and of services that one process ever numbers: what goes by numbers never forgets one.
const NUMBERS_MOST: usize = 16_384;

/// Numbers for names. A name keeps its number as long as the process lives.
#[derive(Default)]
pub struct Numbers(HashMap<String, u32>);

impl Numbers {
    /// The number of a name. Beyond the most that there may be they share the last one.
    pub fn of(&mut self, name: &str) -> u32 {
        let next = self.0.len().min(NUMBERS_MOST) as u32;
        *self.0.entry(name.to_owned()).or_insert(next)
    }
}

/// A route.
pub struct Route {
    /// Its class in the decision module.
    pub class: u32,
    /// The services it may go to: their numbers and weights.
    pub pools: Vec<(u32, f64)>,
    /// The longest time that a try is held.
    pub timeout: Duration,
    /// The time within which an answer earns its full worth.
    pub target: Duration,
    /// Backends that a try may go to, at most.
    pub attempts: usize,
    /// Zones that may serve it, one bit each.
    pub places: u64,
    /// It needs no key.
    pub unstamped: bool,
    /// It may run at most once a try.
    pub once: bool,
}

/// A tenant.
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Zones that may serve it, one bit each.
    pub places: u64,
}

/// All of a configuration.
pub struct Table {
    /// Routes by host, those with the longest prefixes first.
    hosts: HashMap<String, Vec<(String, Rc<Route>)>>,
    /// Tenants by key; none where requests carry no keys.
    keys: Option<HashMap<String, Rc<Tenant>>>,
    /// The limits of tenants.
    pub limits: BTreeMap<String, Limit>,
    /// Classes by number: routes that the configuration has; others stand where they stood.
    pub classes: Vec<Class>,
    /// What a service's cold backends bear a second, by the service's number.
    pub cold_per_s: HashMap<u32, f64>,
    /// How long a service's backends stay cold after a start, in ms.
    pub cold_ms: HashMap<u32, f64>,
    /// Bytes of a body at most.
    pub body_bytes: u64,
    /// A client may be idle for so long.
    pub idle: Duration,
}

/// Who is asked by a key.
pub enum Stamped {
    /// No keys are needed.
    Open,
    /// A tenant's.
    By(Rc<Tenant>),
    /// Nobody's.
    Unknown,
}

/// The zones of a place, one bit each.
pub struct Zones {
    /// Zones with their regions, in order.
    names: Vec<(String, String)>,
}

impl Zones {
    /// The zones of the settings.
    pub fn new(zones: &BTreeMap<String, String>) -> Self {
        Zones { names: zones.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect() }
    }

    /// A zone's number; one that is not known has the number after the last.
    pub fn number(&self, zone: &str) -> u32 {
        self.names.iter().position(|(name, _)| name == zone).unwrap_or(self.names.len()) as u32
    }

    /// A zone's region.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.names.iter().find(|(name, _)| name == zone).map(|(_, region)| region.as_str())
    }

    /// The zones of these regions; all where none is named.
    fn of_regions(&self, regions: Option<&[String]>) -> u64 {
        match regions {
            None | Some([]) => u64::MAX,
            Some(regions) => self
                .names
                .iter()
                .enumerate()
                .filter(|(_, (_, region))| regions.contains(region))
                .fold(0, |bits, (at, _)| bits | 1 << at.min(63)),
        }
    }
}

impl Table {
    /// Makes the table of a configuration's text. Classes of routes that are gone stay as they were.
    pub fn new(
        text: &str, zones: &Zones, routes: &mut Numbers, pools: &mut Numbers, former: &[Class],
    ) -> Result<Table, Invalid> {
        let config = Config::read(text)?;
        let time = |text: &str| units::time(text).unwrap_or_default();
        let mut classes = former.to_vec();
        let mut hosts: HashMap<String, Vec<(String, Rc<Route>)>> = HashMap::new();
        for dock in config.docks {
            let of_host = hosts.entry(dock.depot.to_ascii_lowercase()).or_default();
            for rule in dock.regulations {
                let class = routes.of(&rule.name);
                let Dispatch { service, split, timeout, attempts, home_regions } = rule.dispatch;
                let (timeout, target) = (time(&timeout), time(&rule.target));
                let effect =
                    if rule.kind == "unsafe" { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
                let at = class as usize;
                classes.resize(classes.len().max(at + 1), Class::default());
                classes[at] = Class {
                    target_ms: target.as_secs_f64() * 1000.0,
                    deadline_ms: timeout.as_secs_f64() * 1000.0,
                    worth: 1.0,
                    late_worth: LATE_WORTH,
                    idempotency: effect,
                    stream: false,
                };
                let shares = split.unwrap_or_default();
                let pools = match service {
                    Some(service) => vec![(pools.of(&service), 1.0)],
                    None => shares.iter().map(|share| (pools.of(&share.service), share.weight)).collect(),
                };
                let route = Route {
                    class,
                    pools,
                    timeout,
                    target,
                    attempts: attempts.unwrap_or(1).max(1) as usize,
                    places: zones.of_regions(home_regions.as_deref()),
                    unstamped: rule.unstamped.unwrap_or(false),
                    once: effect == Idempotency::NonIdempotent,
                };
                of_host.push((rule.sorting.lane_prefix, Rc::new(route)));
            }
            of_host.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        let mut limits = BTreeMap::new();
        let keys = config.patrons.map(|patrons| {
            let mut keys = HashMap::new();
            for patron in patrons {
                limits.insert(patron.name.clone(), patron.limit());
                let places = zones.of_regions(patron.home_regions.as_deref());
                let tenant = Rc::new(Tenant { name: patron.name, places });
                keys.extend(patron.stamps.into_iter().map(|key| (key, tenant.clone())));
            }
            keys
        });
        let (mut cold_per_s, mut cold_ms) = (HashMap::new(), HashMap::new());
        for fleet in &config.fleets {
            let pool = pools.of(&fleet.name);
            cold_per_s.insert(pool, fleet.cold_per_s.unwrap_or(0.0));
            cold_ms.insert(pool, fleet.cold.as_deref().map_or(0.0, |cold| time(cold).as_secs_f64() * 1000.0));
        }
        let (body_bytes, idle) = (config.limits.body_bytes, time(&config.limits.idle));
        Ok(Table { hosts, keys, limits, classes, cold_per_s, cold_ms, body_bytes, idle })
    }

    /// The route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let name = name.map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str())).map(|(_, route)| route.clone())
    }

    /// Whose key it is.
    pub fn stamped(&self, route: &Route, key: Option<&str>) -> Stamped {
        match &self.keys {
            None => Stamped::Open,
            Some(_) if route.unstamped => Stamped::Open,
            Some(keys) => {
                key.and_then(|key| keys.get(key)).map_or(Stamped::Unknown, |of| Stamped::By(of.clone()))
            }
        }
    }
}
