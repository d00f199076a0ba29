//! The operators' configuration (JSON): its format, its validation, and the requests that change it.

mod patch;

use self::patch::ConfigPatch;
use crate::quota::Limit;
use crate::units;
use miniserde::json::{Object, Value};
use miniserde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

/// Longest timeout of a route.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);
/// A route's latency target must be less than its timeout plus this.
const MAX_TARGET_EXCESS: Duration = Duration::from_secs(60);

/// A full configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Config {
    /// Edition: `r` and a number.
    pub edition: String,
    /// Limits on client connections.
    pub limits: Limits,
    /// Tenants and their API keys. `None` disables authentication.
    #[serde(rename = "patrons")]
    pub tenants: Option<Vec<Tenant>>,
    /// Virtual hosts and their routes.
    #[serde(rename = "docks")]
    pub hosts: Vec<Host>,
    /// Services that routes forward to.
    #[serde(rename = "fleets")]
    pub services: Vec<Service>,
}

/// Limits on client connections.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Limits {
    /// Largest request head.
    #[serde(rename = "label_bytes")]
    pub head_bytes: u64,
    /// Largest request body.
    pub body_bytes: u64,
    /// Time to receive a request head.
    #[serde(rename = "label_time")]
    pub head_timeout: String,
    /// Time that a connection may be idle between requests.
    #[serde(rename = "idle")]
    pub idle_timeout: String,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// API keys.
    #[serde(rename = "stamps")]
    pub keys: Vec<String>,
    /// Not used by the gateways.
    pub priority: Option<u32>,
    /// Rate limit in requests per second over all gateways; 0 for none.
    pub per_s: Option<f64>,
    /// Largest burst, in requests; below 1, one second's worth of the rate.
    pub burst: Option<f64>,
    /// Regions that may serve it; all if empty.
    pub home_regions: Option<Vec<String>>,
}

impl Tenant {
    /// The tenant's rate limit.
    pub fn limit(&self) -> Limit {
        Limit { per_s: self.per_s.unwrap_or(0.0), burst: self.burst.unwrap_or(0.0) }
    }
}

/// A virtual host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Host {
    /// Host name that requests must carry.
    #[serde(rename = "depot")]
    pub name: String,
    /// Routes of the host.
    #[serde(rename = "regulations")]
    pub routes: Vec<Route>,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Route {
    /// Unique name over all hosts.
    pub name: String,
    /// `safe`, `unsafe` or `download`: unsafe requests run at most once.
    pub kind: String,
    /// Latency target: faster responses have their full value.
    pub target: String,
    /// Not used by the gateways.
    pub priority: Option<u32>,
    /// Requests need no API key.
    #[serde(rename = "unstamped")]
    pub public: Option<bool>,
    /// Requests that the route matches.
    #[serde(rename = "sorting")]
    pub matcher: RouteMatch,
    /// Services that it forwards to.
    #[serde(rename = "dispatch")]
    pub forward: Forward,
}

/// The condition under which a route matches a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RouteMatch {
    /// Prefix of the request path.
    #[serde(rename = "lane_prefix")]
    pub path_prefix: String,
}

/// How a route forwards requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Forward {
    /// The only service; takes precedence over `split`.
    pub service: Option<String>,
    /// Several services by weight.
    pub split: Option<Vec<WeightedService>>,
    /// Timeout of a request, at most ten minutes.
    pub timeout: String,
    /// Maximum number of attempts at different backends.
    pub attempts: Option<u32>,
    /// Regions that may serve it; all if empty.
    pub home_regions: Option<Vec<String>>,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Path of the backends' health endpoint. Not used by the gateways.
    pub health_path: Option<String>,
    /// Connections that a backend accepts from all clients together. Not used by the gateways.
    #[serde(rename = "conn_cap")]
    pub max_connections: Option<u32>,
    /// Warm-up time of a backend after its start.
    #[serde(rename = "cold")]
    pub warm_up: Option<String>,
    /// Requests per second that a backend can serve during warm-up.
    pub cold_per_s: Option<f64>,
}

/// The reason why a configuration or a change of it is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfig(pub String);

fn invalid<T>(why: impl Into<String>) -> Result<T, InvalidConfig> {
    Err(InvalidConfig(why.into()))
}

impl Config {
    /// Parses and validates a configuration, except for its order among the editions.
    pub fn read(text: &str) -> Result<Config, InvalidConfig> {
        let config: Config =
            miniserde::json::from_str(text).map_err(|_| InvalidConfig("it can't be read whole".into()))?;
        config.validate()?;
        Ok(config)
    }

    /// The number in its edition.
    pub fn number(&self) -> Result<u64, InvalidConfig> {
        units::parse_edition(&self.edition)
            .ok_or_else(|| InvalidConfig(format!("edition {} is no r and a number", self.edition)))
    }

    fn validate(&self) -> Result<(), InvalidConfig> {
        self.number()?;
        let services: BTreeSet<_> = self.services.iter().map(|service| service.name.as_str()).collect();
        if services.len() != self.services.len() {
            return invalid("fleets: two of one name");
        }
        duration("limits.label_time", &self.limits.head_timeout)?;
        duration("limits.idle", &self.limits.idle_timeout)?;
        for service in &self.services {
            if let Some(warm_up) = &service.warm_up {
                duration(&format!("fleets.{}.cold", service.name), warm_up)?;
            }
            if service.cold_per_s.is_some_and(|per_s| !per_s.is_finite() || per_s < 0.0) {
                return invalid(format!("fleets.{}.cold_per_s is below 0", service.name));
            }
        }
        let (mut keys, mut tenants) = (BTreeSet::new(), BTreeSet::new());
        for tenant in self.tenants.iter().flatten() {
            if !tenants.insert(tenant.name.as_str()) {
                return invalid(format!("patrons: two are {}", tenant.name));
            }
            for key in &tenant.keys {
                if !keys.insert(key.as_str()) {
                    return invalid(format!("patrons.{}: another holds one of its stamps", tenant.name));
                }
            }
            for (field, value) in [("per_s", tenant.per_s), ("burst", tenant.burst)] {
                if value.is_some_and(|value| !value.is_finite() || value < 0.0) {
                    return invalid(format!("patrons.{}.{field} is below 0", tenant.name));
                }
            }
        }
        let (mut names, mut paths) = (BTreeSet::new(), BTreeSet::new());
        for host in &self.hosts {
            if host.name.is_empty() {
                return invalid("docks: an empty depot");
            }
            for route in &host.routes {
                route.validate(&services)?;
                if !names.insert(route.name.as_str()) {
                    return invalid(format!("docks: two regulations are {}", route.name));
                }
                if !paths.insert((host.name.as_str(), route.matcher.path_prefix.as_str())) {
                    return invalid(format!("regulations.{}: its lane_prefix is taken", route.name));
                }
            }
        }
        Ok(())
    }

    /// Maps each API key to the name of its tenant.
    pub fn keys(&self) -> BTreeMap<&str, &str> {
        let tenants = self.tenants.iter().flatten();
        tenants
            .flat_map(|tenant| tenant.keys.iter().map(move |key| (key.as_str(), tenant.name.as_str())))
            .collect()
    }
}

impl Route {
    fn validate(&self, services: &BTreeSet<&str>) -> Result<(), InvalidConfig> {
        let name = format!("regulations.{}", self.name);
        if !["safe", "unsafe", "download"].contains(&self.kind.as_str()) {
            return invalid(format!("{name}.kind: {} is unknown", self.kind));
        }
        if !self.matcher.path_prefix.starts_with('/') {
            return invalid(format!("{name}.sorting.lane_prefix does not begin with a slash"));
        }
        let timeout = duration(&format!("{name}.dispatch.timeout"), &self.forward.timeout)?;
        let target = duration(&format!("{name}.target"), &self.target)?;
        if timeout > MAX_TIMEOUT {
            return invalid(format!("{name}.dispatch.timeout is over ten minutes"));
        }
        if target >= timeout + MAX_TARGET_EXCESS {
            return invalid(format!("{name}.target lies a minute or more over its timeout"));
        }
        let split = self.forward.split.as_deref().unwrap_or_default();
        let named = self.forward.service.iter().chain(split.iter().map(|weighted| &weighted.service));
        for service in named {
            if !services.contains(service.as_str()) {
                return invalid(format!("{name}.dispatch: service {service} is unknown"));
            }
        }
        if split.iter().any(|weighted| !weighted.weight.is_finite() || weighted.weight < 0.0) {
            return invalid(format!("{name}.dispatch.split: a weight is below 0"));
        }
        if self.forward.service.is_none() && !split.iter().any(|weighted| weighted.weight > 0.0) {
            return invalid(format!("{name}.dispatch names no service"));
        }
        Ok(())
    }
}

fn duration(field: &str, text: &str) -> Result<Duration, InvalidConfig> {
    units::parse_duration(text)
        .ok_or_else(|| InvalidConfig(format!("{field}: {text} is no time, such as 1500ms or 2.5s")))
}

/// A request to replace or to patch the configuration.
#[derive(Clone, Debug)]
pub struct ConfigDocument {
    /// The edition that it sets.
    pub edition: u64,
    /// The edition that it builds on; 0 for the first configuration.
    pub based_on: u64,
    /// The JSON object of the request, without `based_on`.
    pub object: Object,
}

impl ConfigDocument {
    /// Parses the body of a request.
    pub fn read(body: &[u8]) -> Result<ConfigDocument, InvalidConfig> {
        let text = std::str::from_utf8(body).map_err(|_| InvalidConfig("it is no text".into()))?;
        let Ok(Value::Object(mut object)) = miniserde::json::from_str(text) else {
            return invalid("it can't be read whole");
        };
        let edition = match object.get("edition") {
            Some(Value::String(text)) => units::parse_edition(text),
            _ => None,
        };
        let based_on = match object.remove("based_on").as_ref() {
            Some(Value::String(text)) if text == "0" => Some(0),
            Some(Value::String(text)) => units::parse_edition(text),
            Some(Value::Number(number)) if number.to_string() == "0" => Some(0),
            None | Some(Value::Null) => Some(0),
            _ => None,
        };
        match (edition, based_on) {
            (Some(edition), Some(based_on)) => Ok(ConfigDocument { edition, based_on, object }),
            (None, _) => invalid("edition is missing, or no r and a number"),
            _ => invalid("based_on is no r and a number, nor 0"),
        }
    }

    /// A digest of the request, independent of the order of JSON members and of white space. For a full
    /// configuration it equals [`full_config_digest`] of its text.
    pub fn digest(&self, patch: bool) -> u64 {
        let text = miniserde::json::to_string(&self.object);
        if patch {
            digest_of("patch", self.based_on, &text)
        } else {
            full_config_digest(self.based_on, &text)
        }
    }

    /// The full configuration in the request, validated, and its JSON text.
    pub fn into_full_config(self) -> Result<(Config, String), InvalidConfig> {
        let text = miniserde::json::to_string(&self.object);
        Ok((Config::read(&text)?, text))
    }

    /// Applies the request as a patch; returns the full configuration, validated, and its JSON text.
    pub fn apply_to(self, current: &str) -> Result<(Config, String), InvalidConfig> {
        let Ok(Value::Object(mut config)) = miniserde::json::from_str::<Value>(current) else {
            return invalid("there is no configuration to change");
        };
        ConfigPatch::read(self.object)?.apply_to(&mut config)?;
        let text = miniserde::json::to_string(&config);
        Ok((Config::read(&text)?, text))
    }
}

/// A digest of a full configuration's JSON text and of the edition that it builds on.
pub fn full_config_digest(based_on: u64, text: &str) -> u64 {
    digest_of("whole", based_on, text)
}

fn digest_of(kind: &str, based_on: u64, text: &str) -> u64 {
    let mut hasher = crate::state::hasher();
    hasher.write(kind.as_bytes());
    hasher.write_u64(based_on);
    hasher.write(text.as_bytes());
    hasher.finish()
}
