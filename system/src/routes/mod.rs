//! The routing table of a proxy: finds the route of a request and the tenant of an API key.

pub mod numbers;

use self::numbers::{ClassNumbers, Pool, PoolNumbers, RouteClass};
use crate::config::{Config, Forward, InvalidConfig, WeightedService};
use crate::quota::Limit;
use crate::state::digest;
use crate::units;
use oakfall::{Class, Idempotency};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Value of a response after the latency target, relative to one in time. The configuration has no field for
/// it.
const LATE_WORTH: f64 = 0.3;

/// A route.
pub struct Route {
    /// Its request class in the decision module.
    pub class: Rc<RouteClass>,
    /// Digest of its name, which identifies it to other processes.
    pub digest: u64,
    /// Pools and weights of the services that it forwards to.
    pub pools: Vec<(Rc<Pool>, f64)>,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency target: faster responses have their full value.
    pub target: Duration,
    /// Maximum number of attempts at different backends.
    pub attempts: usize,
    /// Bit mask of the zones that may serve it.
    pub zone_mask: u64,
    /// Requests need no API key.
    pub public: bool,
    /// A request must not run at a backend more than once.
    pub at_most_once: bool,
}

/// A tenant.
pub struct Tenant {
    /// Name in the configuration.
    pub name: String,
    /// Bit mask of the zones that may serve it.
    pub zone_mask: u64,
}

/// The routing table that is built from a configuration.
pub struct RouteTable {
    /// Routes with their path prefixes by host name, longest prefix first.
    hosts: HashMap<String, Vec<(String, Rc<Route>)>>,
    /// Tenants by API key. `None` disables authentication.
    keys: Option<HashMap<String, Rc<Tenant>>>,
    /// Rate limits by tenant name.
    pub limits: BTreeMap<String, Limit>,
    /// How backends of the services warm up, by the number of the service's pool.
    warm_ups: HashMap<u32, WarmUp>,
    /// Largest request body.
    pub body_bytes: u64,
    /// Time that a client connection may be idle.
    pub idle_timeout: Duration,
}

/// How the backends of a service warm up after their start.
pub struct WarmUp {
    /// Requests per second that a cold backend can serve; 0 for no limit.
    pub cold_per_s: f64,
    /// Time until a backend is warm, in ms.
    pub duration_ms: f64,
    /// Keeps the number of the service's pool.
    _pool: Option<Rc<Pool>>,
}

impl WarmUp {
    /// Backends that are warm at once.
    pub const NONE: WarmUp = WarmUp { cold_per_s: 0.0, duration_ms: 0.0, _pool: None };
}

/// The result of checking a request's API key.
pub enum KeyCheck {
    /// No key is required.
    NotRequired,
    /// The key of this tenant.
    Tenant(Rc<Tenant>),
    /// A missing or unknown key.
    Unknown,
}

/// The zones of the settings and their regions, numbered in order of name.
pub struct Zones {
    /// Zones with their regions.
    zones: Vec<(String, String)>,
}

impl Zones {
    /// Numbers the zones of the settings.
    pub fn new(zones: &BTreeMap<String, String>) -> Self {
        Zones { zones: zones.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect() }
    }

    /// A zone's number; unknown zones share the one after the last.
    pub fn number(&self, zone: &str) -> u32 {
        self.zones.iter().position(|(name, _)| name == zone).unwrap_or(self.zones.len()) as u32
    }

    /// The region of a zone.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.zones.iter().find(|(name, _)| name == zone).map(|(_, region)| region.as_str())
    }

    /// Bit mask of the zones in these regions; all if there are none. Zones from number 63 on share a bit.
    fn mask_of_regions(&self, regions: Option<&[String]>) -> u64 {
        match regions {
            None | Some([]) => u64::MAX,
            Some(regions) => self
                .zones
                .iter()
                .enumerate()
                .filter(|(_, (_, region))| regions.contains(region))
                .fold(0, |mask, (index, _)| mask | 1 << index.min(63)),
        }
    }
}

impl RouteTable {
    /// Builds the table from a configuration's JSON text.
    pub fn new(
        text: &str, zones: &Zones, classes: &mut ClassNumbers, pools: &mut PoolNumbers,
    ) -> Result<RouteTable, InvalidConfig> {
        let config = Config::read(text)?;
        let duration = |text: &str| units::parse_duration(text).unwrap_or_default();
        classes.release_unused();
        let mut hosts: HashMap<String, Vec<(String, Rc<Route>)>> = HashMap::new();
        for host in config.hosts {
            let host_routes = hosts.entry(host.name.to_ascii_lowercase()).or_default();
            for rule in host.routes {
                let Forward { service, split, timeout, attempts, home_regions } = rule.forward;
                let (timeout, target) = (duration(&timeout), duration(&rule.target));
                let effect =
                    if rule.kind == "unsafe" { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
                let class_settings = Class {
                    owner: digest(rule.name.as_bytes()),
                    target_ms: target.as_secs_f64() * 1000.0,
                    deadline_ms: timeout.as_secs_f64() * 1000.0,
                    worth: 1.0,
                    late_worth: LATE_WORTH,
                    idempotency: effect,
                    stream: false,
                };
                let split = split.unwrap_or_default();
                let pools = match service {
                    Some(service) => vec![(pools.of_service(&service), 1.0)],
                    None => {
                        let weighted = |w: &WeightedService| (pools.of_service(&w.service), w.weight);
                        split.iter().map(weighted).collect()
                    }
                };
                let route = Route {
                    class: classes.class(&rule.name, class_settings),
                    digest: class_settings.owner,
                    pools,
                    timeout,
                    target,
                    attempts: attempts.unwrap_or(1).max(1) as usize,
                    zone_mask: zones.mask_of_regions(home_regions.as_deref()),
                    public: rule.public.unwrap_or(false),
                    at_most_once: effect == Idempotency::NonIdempotent,
                };
                host_routes.push((rule.matcher.path_prefix, Rc::new(route)));
            }
            host_routes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        let mut limits = BTreeMap::new();
        let keys = config.tenants.map(|tenants| {
            let mut keys = HashMap::new();
            for tenant in tenants {
                limits.insert(tenant.name.clone(), tenant.limit());
                let zone_mask = zones.mask_of_regions(tenant.home_regions.as_deref());
                let owner = Rc::new(Tenant { name: tenant.name, zone_mask });
                keys.extend(tenant.keys.into_iter().map(|key| (key, owner.clone())));
            }
            keys
        });
        let mut warm_ups = HashMap::new();
        for service in &config.services {
            let pool = pools.of_service(&service.name);
            let warm_up = WarmUp {
                cold_per_s: service.cold_per_s.unwrap_or(0.0),
                duration_ms: service
                    .warm_up
                    .as_deref()
                    .map_or(0.0, |time| duration(time).as_secs_f64() * 1000.0),
                _pool: Some(pool.clone()),
            };
            warm_ups.insert(pool.number, warm_up);
        }
        let (body_bytes, idle_timeout) = (config.limits.body_bytes, duration(&config.limits.idle_timeout));
        Ok(RouteTable { hosts, keys, limits, warm_ups, body_bytes, idle_timeout })
    }

    /// How the backends of this pool's service warm up.
    pub fn warm_up(&self, pool: u32) -> &WarmUp {
        self.warm_ups.get(&pool).unwrap_or(&WarmUp::NONE)
    }

    /// The route of a request, by host name (a port is ignored) and longest path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let name = name.map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str())).map(|(_, route)| route.clone())
    }

    /// Finds the tenant of a request's API key.
    pub fn check_key(&self, route: &Route, key: Option<&str>) -> KeyCheck {
        match &self.keys {
            None => KeyCheck::NotRequired,
            Some(_) if route.public => KeyCheck::NotRequired,
            Some(keys) => key
                .and_then(|key| keys.get(key))
                .map_or(KeyCheck::Unknown, |tenant| KeyCheck::Tenant(tenant.clone())),
        }
    }
}
