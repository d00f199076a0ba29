//! A fleet drawn by a seed: the operators' configuration, backends and gateways, as large as one wants.
//!
//! Names, keys and paths are as long as those of the operators' own examples, so that bytes are right; what they say is
//! drawn.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::fmt::Write;

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Core processes.
    pub cores: usize,
    /// Gateways.
    pub gateways: usize,
    /// Backends.
    pub backends: usize,
    /// Services.
    pub services: usize,
    /// Routes.
    pub routes: usize,
    /// Tenants, with two keys each.
    pub tenants: usize,
}

impl Size {
    /// The size to design for, of which five core machines vote.
    pub const FULL: Size =
        Size { cores: 5, gateways: 930, backends: 6_900, services: 390, routes: 7_600, tenants: 29_000 };

    /// So many gateways, as many backends for each as at the full size, and a part of the full size's routes and tenants.
    pub fn of(gateways: usize, percent: f64) -> Size {
        let part = |all: usize, of: f64| ((all as f64 * of).round() as usize).max(1);
        let share = gateways as f64 / Self::FULL.gateways as f64;
        let table = percent / 100.0;
        Size {
            gateways,
            backends: part(Self::FULL.backends, share),
            services: part(Self::FULL.services, table.max(share).min(1.0)),
            routes: part(Self::FULL.routes, table),
            tenants: part(Self::FULL.tenants, table),
            ..Self::FULL
        }
    }
}

/// Regions.
const REGIONS: usize = 4;
/// Zones; the first ones' regions have one more.
const ZONES: usize = 10;
/// Routes of one host.
const OF_HOST: usize = 20;

/// The zones and their regions.
pub fn zones() -> Vec<(String, String)> {
    (0..ZONES).map(|zone| (format!("zone-hall-{zone}"), format!("region-{}", zone % REGIONS))).collect()
}

/// A gateway's zone.
pub fn zone_of(gateway: usize) -> (String, String) {
    zones().swap_remove(gateway % ZONES)
}

/// What is drawn.
#[derive(Clone)]
pub struct Drawn {
    size: Size,
    seed: u64,
    /// What stands before each route's time-out, and behind it; those of one host together.
    routes: Vec<(String, String)>,
    /// Each tenant, and what stands behind its keys.
    tenants: Vec<(String, String)>,
    fleets: String,
    services: Vec<String>,
}

/// What a change touches: a tenant's keys and a route's time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Touches {
    /// The tenant.
    pub tenant: usize,
    /// The route.
    pub route: usize,
}

fn word(rng: &mut Pcg64Mcg, letters: usize) -> String {
    const LETTERS: &[u8] = b"abcdefghijkmnpqrstuvwxyz23456789";
    (0..letters).map(|_| char::from(LETTERS[rng.random_range(0..LETTERS.len())])).collect()
}

impl Drawn {
    /// Draws a fleet.
    pub fn new(size: Size, seed: u64) -> Drawn {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let services: Vec<_> = (0..size.services).map(|at| format!("{}{at}", word(&mut rng, 4))).collect();
        let routes = (0..size.routes).map(|at| {
            let service = &services[rng.random_range(0..services.len())];
            let kind = ["safe", "safe", "unsafe", "download"][rng.random_range(0..4)];
            let before = format!(
                r#"{{"name":"r-{}{at}","kind":"{kind}","target":"600ms","priority":{},"unstamped":false,"sorting":{{"lane_prefix":"/{}{at}/"}},"dispatch":{{"service":"{service}","timeout":""#,
                word(&mut rng, 3),
                rng.random_range(0..4),
                word(&mut rng, 4),
            );
            (before, r#"","attempts":2,"home_regions":[]}}"#.to_owned())
        });
        let routes = routes.collect();
        let tenants = (0..size.tenants).map(|at| {
            let name = format!("{}{at}", word(&mut rng, 4));
            let rate = rng.random_range(5..200);
            (
                name,
                format!(
                    r#""],"priority":{},"per_s":{rate},"burst":{rate},"home_regions":[]}}"#,
                    rng.random_range(0..3)
                ),
            )
        });
        let tenants = tenants.collect();
        let fleets = services.iter().map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","conn_cap":590,"protocol":"h1","sealed":false,"cold":"3s","cold_per_s":6.0}}"#
            )
        });
        let fleets = fleets.collect::<Vec<_>>().join(",");
        Drawn { size, seed, routes, tenants, fleets, services }
    }

    /// How large it is.
    pub fn size(&self) -> Size {
        self.size
    }

    /// What the change that brings this edition touches.
    pub fn touches(&self, edition: u64) -> Touches {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ edition.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Touches {
            tenant: rng.random_range(0..self.size.tenants),
            route: rng.random_range(0..self.size.routes),
        }
    }

    /// A tenant's first key as an edition has it: changes up to then may have taken earlier ones away.
    pub fn key(&self, edition: u64, tenant: usize) -> String {
        let last = (2..=edition).rev().find(|of| self.touches(*of).tenant == tenant).unwrap_or(1);
        self.key_since(last, tenant)
    }

    fn key_since(&self, edition: u64, tenant: usize) -> String {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ (edition << 32) ^ tenant as u64);
        format!("s{}{tenant:05}", word(&mut rng, 14))
    }

    /// The body of the call that brings a whole configuration: edition 1 builds on nothing, each later one on the one
    /// before.
    pub fn put(&self, edition: u64) -> String {
        let mut keys = std::collections::BTreeMap::new();
        let mut times = std::collections::BTreeMap::new();
        for of in 2..=edition {
            let touches = self.touches(of);
            keys.insert(touches.tenant, of);
            times.insert(touches.route, of);
        }
        let based_on = if edition > 1 { format!("r{}", edition - 1) } else { "0".to_owned() };
        let mut text = format!(
            r#"{{"edition":"r{edition}","based_on":"{based_on}","limits":{{"label_bytes":16384,"body_bytes":67108864,"label_time":"3000ms","idle":"15000ms"}},"patrons":["#
        );
        for (at, (name, rest)) in self.tenants.iter().enumerate() {
            let since = keys.get(&at).copied().unwrap_or(1);
            let (one, two) = (self.key_since(since, at), self.key_since(0, at));
            let comma = if at > 0 { "," } else { "" };
            // Writing into a string can't fail.
            let _ = write!(text, r#"{comma}{{"name":"{name}","stamps":["{one}","{two}{rest}"#);
        }
        text.push_str(r#"],"docks":["#);
        for (at, (before, behind)) in self.routes.iter().enumerate() {
            if at % OF_HOST == 0 {
                let end = if at > 0 { "]}," } else { "" };
                let _ = write!(text, r#"{end}{{"depot":"host{}.example","regulations":["#, at / OF_HOST);
            } else {
                text.push(',');
            }
            let time_out = 2500 + times.get(&at).copied().unwrap_or(0);
            let _ = write!(text, "{before}{time_out}ms{behind}");
        }
        let _ = write!(text, "]}}],\"fleets\":[{}]}}", self.fleets);
        text
    }

    /// A backend's id in one of its lives.
    pub fn backend(&self, place: usize, life: u64) -> String {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ 0xbac ^ (life << 32) ^ place as u64);
        format!("i-{:08x}", rng.random::<u32>())
    }

    /// The body of a backend's beat.
    pub fn beat(&self, place: usize, postmark: u64) -> String {
        let (service, (zone, _)) = (&self.services[place % self.services.len()], zone_of(place));
        let address = format!("10.{}.{}.{}:8080", 128 + place / 62_500, place / 250 % 250, place % 250 + 1);
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","edition":"v1","berths":6,"state":"open","cold_time":"0ms","postmark":{postmark}}}"#
        )
    }
}

/// A settings file's text, as the platform writes it.
pub struct Machine<'a> {
    /// Its name.
    pub node: &'a str,
    /// `sorting` or `counter`.
    pub class: &'a str,
    /// Its address.
    pub ip: &'a str,
    /// Its zone and region.
    pub zone: (String, String),
    /// What it serves, and where: lines of `docks_at`.
    pub docks: &'a [(&'a str, String)],
    /// The folder of its disk.
    pub data: &'a str,
    /// The first port for what processes tell each other.
    pub inner: u16,
    /// Control addresses of core machines.
    pub seeds: &'a [String],
}

impl Machine<'_> {
    /// The text.
    pub fn text(&self) -> String {
        let Machine { node, class, ip, zone: (zone, region), docks, data, inner, seeds } = self;
        let docks: String =
            docks.iter().fold(String::new(), |text, (what, at)| text + &format!("    {what}: \"{at}\"\n"));
        let seeds: String =
            seeds.iter().take(3).fold(String::new(), |text, at| text + &format!("    - \"{at}\"\n"));
        let zones: String = zones()
            .iter()
            .fold(String::new(), |text, (zone, region)| text + &format!("    {zone}: \"{region}\"\n"));
        format!(
            "sender:\n  node: \"{node}\"\n  role: \"any\"\n  machine_class: \"{class}\"\n  ip: \"{ip}\"\n  zone: \"{zone}\"\n  \
             region: \"{region}\"\n  first_start: true\n  data_dir: \"{data}\"\n  limits:\n    memory_mb: 256\n    fds: 4096\n\
             network:\n  docks_at:\n{docks}  inner_ports:\n    - {inner}\n    - {}\n  seeds:\n{seeds}  zones:\n{zones}\
             carrier:\n  beat: \"1500ms\"\ntariffs:\n  bounds:\n    ack: \"8000ms\"\n    grace: \"6s\"\n    closed: true\n    \
             revoke: \"5000ms\"\n    quota_slack: 20\n    ttl_max: \"5s\"\n",
            inner + 15
        )
    }
}
