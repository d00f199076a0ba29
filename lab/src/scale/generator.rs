//! Generates a fleet of any size from a seed: the configuration, backends, gateways and settings files.
//!
//! Names, keys and paths are random, but as long as in a typical configuration, so that message sizes are realistic.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::fmt::Write;

/// The size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Number of core processes.
    pub cores: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of backends.
    pub backends: usize,
    /// Number of services.
    pub services: usize,
    /// Number of routes.
    pub routes: usize,
    /// Number of tenants, with two keys each.
    pub tenants: usize,
}

impl FleetSize {
    /// The largest size that the system is designed for.
    pub const FULL: FleetSize =
        FleetSize { cores: 5, gateways: 930, backends: 6_900, services: 390, routes: 7_600, tenants: 29_000 };

    /// A fleet with this number of gateways, as many backends per gateway as the full size, and `percent` of the full
    /// size's routes and tenants.
    pub fn with_gateways(gateways: usize, percent: f64) -> FleetSize {
        let scaled = |full: usize, share: f64| ((full as f64 * share).round() as usize).max(1);
        let gateway_share = gateways as f64 / Self::FULL.gateways as f64;
        let table_share = percent / 100.0;
        FleetSize {
            gateways,
            backends: scaled(Self::FULL.backends, gateway_share),
            services: scaled(Self::FULL.services, table_share.max(gateway_share).min(1.0)),
            routes: scaled(Self::FULL.routes, table_share),
            tenants: scaled(Self::FULL.tenants, table_share),
            ..Self::FULL
        }
    }
}

const REGION_COUNT: usize = 4;
const ZONE_COUNT: usize = 10;
const ROUTES_PER_HOST: usize = 20;

/// All zones, each with its region.
pub fn zones() -> Vec<(String, String)> {
    (0..ZONE_COUNT)
        .map(|zone| (format!("zone-hall-{zone}"), format!("region-{}", zone % REGION_COUNT)))
        .collect()
}

/// The zone and region of a gateway or backend.
pub fn zone_of(index: usize) -> (String, String) {
    zones().swap_remove(index % ZONE_COUNT)
}

/// A generated fleet.
#[derive(Clone)]
pub struct GeneratedFleet {
    size: FleetSize,
    seed: u64,
    /// The JSON of each route before and after its timeout. The routes of one host are consecutive.
    routes: Vec<(String, String)>,
    /// The name of each tenant, and its JSON after the keys.
    tenants: Vec<(String, String)>,
    /// The JSON of all services.
    services_json: String,
    services: Vec<String>,
}

/// What a new edition of the configuration changes: one key of a tenant, and the timeout of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EditionChange {
    /// Index of the tenant whose key is replaced.
    pub tenant: usize,
    /// Index of the route whose timeout changes.
    pub route: usize,
}

fn random_text(rng: &mut Pcg64Mcg, length: usize) -> String {
    const LETTERS: &[u8] = b"abcdefghijkmnpqrstuvwxyz23456789";
    (0..length).map(|_| char::from(LETTERS[rng.random_range(0..LETTERS.len())])).collect()
}

impl GeneratedFleet {
    /// Generates a fleet.
    pub fn new(size: FleetSize, seed: u64) -> GeneratedFleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let services: Vec<_> =
            (0..size.services).map(|index| format!("{}{index}", random_text(&mut rng, 4))).collect();
        let routes = (0..size.routes).map(|index| {
            let service = &services[rng.random_range(0..services.len())];
            let kind = ["safe", "safe", "unsafe", "download"][rng.random_range(0..4)];
            let before = format!(
                r#"{{"name":"r-{}{index}","kind":"{kind}","target":"600ms","priority":{},"unstamped":false,"sorting":{{"lane_prefix":"/{}{index}/"}},"dispatch":{{"service":"{service}","timeout":""#,
                random_text(&mut rng, 3),
                rng.random_range(0..4),
                random_text(&mut rng, 4),
            );
            (before, r#"","attempts":2,"home_regions":[]}}"#.to_owned())
        });
        let routes = routes.collect();
        let tenants = (0..size.tenants).map(|index| {
            let name = format!("{}{index}", random_text(&mut rng, 4));
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
        let services_json = services.iter().map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","conn_cap":590,"protocol":"h1","sealed":false,"cold":"3s","cold_per_s":6.0}}"#
            )
        });
        let services_json = services_json.collect::<Vec<_>>().join(",");
        GeneratedFleet { size, seed, routes, tenants, services_json, services }
    }

    /// The size of the fleet.
    pub fn size(&self) -> FleetSize {
        self.size
    }

    /// What this edition changes.
    pub fn edition_change(&self, edition: u64) -> EditionChange {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ edition.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        EditionChange {
            tenant: rng.random_range(0..self.size.tenants),
            route: rng.random_range(0..self.size.routes),
        }
    }

    /// The first key of a tenant in this edition.
    pub fn key(&self, edition: u64, tenant: usize) -> String {
        let replaced_in =
            (2..=edition).rev().find(|earlier| self.edition_change(*earlier).tenant == tenant).unwrap_or(1);
        self.key_of_edition(replaced_in, tenant)
    }

    /// The key that this edition introduces for a tenant.
    fn key_of_edition(&self, edition: u64, tenant: usize) -> String {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ (edition << 32) ^ tenant as u64);
        format!("s{}{tenant:05}", random_text(&mut rng, 14))
    }

    /// The body of the `Config.Put` call for this edition. Edition 1 is the first configuration; each later one is based
    /// on the one before.
    pub fn config_body(&self, edition: u64) -> String {
        let mut keys = std::collections::BTreeMap::new();
        let mut timeouts = std::collections::BTreeMap::new();
        for earlier in 2..=edition {
            let change = self.edition_change(earlier);
            keys.insert(change.tenant, earlier);
            timeouts.insert(change.route, earlier);
        }
        let based_on = if edition > 1 { format!("r{}", edition - 1) } else { "0".to_owned() };
        let mut text = format!(
            r#"{{"edition":"r{edition}","based_on":"{based_on}","limits":{{"label_bytes":16384,"body_bytes":67108864,"label_time":"3000ms","idle":"15000ms"}},"patrons":["#
        );
        for (index, (name, rest)) in self.tenants.iter().enumerate() {
            let replaced_in = keys.get(&index).copied().unwrap_or(1);
            let (first, second) = (self.key_of_edition(replaced_in, index), self.key_of_edition(0, index));
            let comma = if index > 0 { "," } else { "" };
            // Writing to a string cannot fail.
            let _ = write!(text, r#"{comma}{{"name":"{name}","stamps":["{first}","{second}{rest}"#);
        }
        text.push_str(r#"],"docks":["#);
        for (index, (before, after)) in self.routes.iter().enumerate() {
            if index % ROUTES_PER_HOST == 0 {
                let end = if index > 0 { "]}," } else { "" };
                let _ = write!(
                    text,
                    r#"{end}{{"depot":"host{}.example","regulations":["#,
                    index / ROUTES_PER_HOST
                );
            } else {
                text.push(',');
            }
            let timeout = 2500 + timeouts.get(&index).copied().unwrap_or(0);
            let _ = write!(text, "{before}{timeout}ms{after}");
        }
        let _ = write!(text, "]}}],\"fleets\":[{}]}}", self.services_json);
        text
    }

    /// The id of a backend. A backend that restarts has a new incarnation and a new id.
    pub fn backend_id(&self, backend: usize, incarnation: u64) -> String {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ 0xbac ^ (incarnation << 32) ^ backend as u64);
        format!("i-{:08x}", rng.random::<u32>())
    }

    /// The body of a heartbeat of a backend.
    pub fn heartbeat_body(&self, backend: usize, postmark: u64) -> String {
        let (service, (zone, _)) = (&self.services[backend % self.services.len()], zone_of(backend));
        let address =
            format!("10.{}.{}.{}:8080", 128 + backend / 62_500, backend / 250 % 250, backend % 250 + 1);
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","edition":"v1","berths":6,"state":"open","cold_time":"0ms","postmark":{postmark}}}"#
        )
    }
}

/// Settings of a process.
pub struct NodeSettings<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Machine class: `sorting` for a core process, `counter` for a gateway.
    pub class: &'a str,
    /// Address of the node.
    pub ip: &'a str,
    /// Zone and region.
    pub zone: (String, String),
    /// Listen addresses by purpose: the entries of `docks_at`.
    pub listen_addresses: &'a [(&'a str, String)],
    /// Data directory.
    pub data_dir: &'a str,
    /// First port of the links between processes.
    pub inner_port: u16,
    /// Control addresses of the core processes. The first three are written as seeds.
    pub seeds: &'a [String],
}

impl NodeSettings<'_> {
    /// The text of the settings file.
    pub fn to_yaml(&self) -> String {
        let NodeSettings {
            node,
            class,
            ip,
            zone: (zone, region),
            listen_addresses,
            data_dir,
            inner_port,
            seeds,
        } = self;
        let docks: String = listen_addresses.iter().fold(String::new(), |text, (purpose, address)| {
            text + &format!("    {purpose}: \"{address}\"\n")
        });
        let seeds: String = seeds
            .iter()
            .take(3)
            .fold(String::new(), |text, address| text + &format!("    - \"{address}\"\n"));
        let zones: String = zones()
            .iter()
            .fold(String::new(), |text, (zone, region)| text + &format!("    {zone}: \"{region}\"\n"));
        format!(
            "sender:\n  node: \"{node}\"\n  role: \"any\"\n  machine_class: \"{class}\"\n  ip: \"{ip}\"\n  zone: \"{zone}\"\n  \
             region: \"{region}\"\n  first_start: true\n  data_dir: \"{data_dir}\"\n  limits:\n    memory_mb: 256\n    fds: 4096\n\
             network:\n  docks_at:\n{docks}  inner_ports:\n    - {inner_port}\n    - {}\n  seeds:\n{seeds}  zones:\n{zones}\
             carrier:\n  beat: \"1500ms\"\ntariffs:\n  bounds:\n    ack: \"8000ms\"\n    grace: \"6s\"\n    closed: true\n    \
             revoke: \"5000ms\"\n    quota_slack: 20\n    ttl_max: \"5s\"\n",
            inner_port + 15
        )
    }
}
