//! The operators' configuration: its form on the wire, what makes one valid, and changes of named items.

use crate::tally::Limit;
use crate::units;
use miniserde::json::{Array, Object, Value};
use miniserde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::time::Duration;

/// Longest time-out of a route.
const TIMEOUT_MOST: Duration = Duration::from_secs(600);
/// A route's aim may lie below so much beyond its time-out.
const AIM_BEYOND: Duration = Duration::from_secs(60);

/// A whole configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Config {
    /// Its version.
    pub edition: String,
    /// What clients may send.
    pub limits: Limits,
    /// The tenants; none where requests carry no keys.
    pub patrons: Option<Vec<Patron>>,
    /// Hosts and their routes.
    pub docks: Vec<Dock>,
    /// The services.
    pub fleets: Vec<Fleet>,
}

/// What clients may send, how long it may take, and how long they may stay idle.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Limits {
    /// Bytes of a head.
    pub label_bytes: u64,
    /// Bytes of a body.
    pub body_bytes: u64,
    /// Time for a head.
    pub label_time: String,
    /// Time without a request.
    pub idle: String,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Patron {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub stamps: Vec<String>,
    /// Its rank.
    pub priority: Option<u32>,
    /// Requests a second, over all gateways; nought for no limit.
    pub per_s: Option<f64>,
    /// And so many on top.
    pub burst: Option<f64>,
    /// The regions that may serve it; none for all.
    pub home_regions: Option<Vec<String>>,
}

impl Patron {
    /// Its limit.
    pub fn limit(&self) -> Limit {
        Limit { per_s: self.per_s.unwrap_or(0.0), burst: self.burst.unwrap_or(0.0) }
    }
}

/// A host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Dock {
    /// Its name.
    pub depot: String,
    /// Its routes.
    pub regulations: Vec<Regulation>,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Regulation {
    /// Its name.
    pub name: String,
    /// What may be repeated.
    pub kind: String,
    /// Answers within this earn most.
    pub target: String,
    /// Its rank.
    pub priority: Option<u32>,
    /// It needs no key.
    pub unstamped: Option<bool>,
    /// What picks it.
    pub sorting: Sorting,
    /// Where its requests go.
    pub dispatch: Dispatch,
}

/// What picks a route.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Sorting {
    /// The beginning of the path.
    pub lane_prefix: String,
}

/// Where a route's requests go.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Dispatch {
    /// The service.
    pub service: Option<String>,
    /// Or several, by weight.
    pub split: Option<Vec<Share>>,
    /// Longest time that a try is held.
    pub timeout: String,
    /// Backends that a try may go to, at most.
    pub attempts: Option<u32>,
    /// The regions that may serve it; none for all.
    pub home_regions: Option<Vec<String>>,
}

/// A service's share.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight.
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fleet {
    /// Its name.
    pub name: String,
    /// Where its backends tell of their health.
    pub health_path: Option<String>,
    /// Connections that a backend takes, from all callers.
    pub conn_cap: Option<u32>,
    /// How long a backend stays cold after a start.
    pub cold: Option<String>,
    /// Requests a second that it bears while cold.
    pub cold_per_s: Option<f64>,
}

/// Why a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid(pub String);

fn invalid<T>(why: impl Into<String>) -> Result<T, Invalid> {
    Err(Invalid(why.into()))
}

impl Config {
    /// Reads a configuration and checks all but its place among the versions.
    pub fn read(text: &str) -> Result<Config, Invalid> {
        let config: Config =
            miniserde::json::from_str(text).map_err(|_| Invalid("it can't be read whole".into()))?;
        config.check()?;
        Ok(config)
    }

    /// Its number.
    pub fn number(&self) -> Result<u64, Invalid> {
        units::edition(&self.edition)
            .ok_or_else(|| Invalid(format!("edition {} is no r and a number", self.edition)))
    }

    fn check(&self) -> Result<(), Invalid> {
        self.number()?;
        let services: BTreeSet<_> = self.fleets.iter().map(|fleet| fleet.name.as_str()).collect();
        if services.len() != self.fleets.len() {
            return invalid("fleets: two of one name");
        }
        time("limits.label_time", &self.limits.label_time)?;
        time("limits.idle", &self.limits.idle)?;
        for fleet in &self.fleets {
            if let Some(cold) = &fleet.cold {
                time(&format!("fleets.{}.cold", fleet.name), cold)?;
            }
            if fleet.cold_per_s.is_some_and(|per_s| !per_s.is_finite() || per_s < 0.0) {
                return invalid(format!("fleets.{}.cold_per_s is below 0", fleet.name));
            }
        }
        let (mut keys, mut tenants) = (BTreeSet::new(), BTreeSet::new());
        for patron in self.patrons.iter().flatten() {
            if !tenants.insert(patron.name.as_str()) {
                return invalid(format!("patrons: two are {}", patron.name));
            }
            for key in &patron.stamps {
                if !keys.insert(key.as_str()) {
                    return invalid(format!("patrons.{}: another holds one of its stamps", patron.name));
                }
            }
            for (what, of) in [("per_s", patron.per_s), ("burst", patron.burst)] {
                if of.is_some_and(|of| !of.is_finite() || of < 0.0) {
                    return invalid(format!("patrons.{}.{what} is below 0", patron.name));
                }
            }
        }
        let (mut names, mut places) = (BTreeSet::new(), BTreeSet::new());
        for dock in &self.docks {
            if dock.depot.is_empty() {
                return invalid("docks: an empty depot");
            }
            for route in &dock.regulations {
                route.check(&services)?;
                if !names.insert(route.name.as_str()) {
                    return invalid(format!("docks: two regulations are {}", route.name));
                }
                if !places.insert((dock.depot.as_str(), route.sorting.lane_prefix.as_str())) {
                    return invalid(format!("regulations.{}: its lane_prefix is taken", route.name));
                }
            }
        }
        Ok(())
    }

    /// The keys that tenants hold.
    pub fn keys(&self) -> BTreeMap<&str, &str> {
        let patrons = self.patrons.iter().flatten();
        patrons
            .flat_map(|patron| patron.stamps.iter().map(move |key| (key.as_str(), patron.name.as_str())))
            .collect()
    }
}

impl Regulation {
    fn check(&self, services: &BTreeSet<&str>) -> Result<(), Invalid> {
        let name = format!("regulations.{}", self.name);
        if !["safe", "unsafe", "download"].contains(&self.kind.as_str()) {
            return invalid(format!("{name}.kind: {} is unknown", self.kind));
        }
        if !self.sorting.lane_prefix.starts_with('/') {
            return invalid(format!("{name}.sorting.lane_prefix does not begin with a slash"));
        }
        let timeout = time(&format!("{name}.dispatch.timeout"), &self.dispatch.timeout)?;
        let target = time(&format!("{name}.target"), &self.target)?;
        if timeout > TIMEOUT_MOST {
            return invalid(format!("{name}.dispatch.timeout is over ten minutes"));
        }
        if target >= timeout + AIM_BEYOND {
            return invalid(format!("{name}.target lies a minute or more over its timeout"));
        }
        let shares = self.dispatch.split.as_deref().unwrap_or_default();
        let named = self.dispatch.service.iter().chain(shares.iter().map(|share| &share.service));
        for service in named {
            if !services.contains(service.as_str()) {
                return invalid(format!("{name}.dispatch: service {service} is unknown"));
            }
        }
        if shares.iter().any(|share| !share.weight.is_finite() || share.weight < 0.0) {
            return invalid(format!("{name}.dispatch.split: a weight is below 0"));
        }
        if self.dispatch.service.is_none() && !shares.iter().any(|share| share.weight > 0.0) {
            return invalid(format!("{name}.dispatch names no service"));
        }
        Ok(())
    }
}

fn time(what: &str, text: &str) -> Result<Duration, Invalid> {
    units::time(text).ok_or_else(|| Invalid(format!("{what}: {text} is no time, such as 1500ms or 2.5s")))
}

/// A call's envelope: which version it brings, and on top of which.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The version it brings.
    pub edition: u64,
    /// The one it builds on; nought for the first.
    pub based_on: u64,
    /// The object itself, without the version that it builds on.
    pub object: Object,
}

impl Envelope {
    /// Reads the body of a call that changes the configuration.
    pub fn read(body: &[u8]) -> Result<Envelope, Invalid> {
        let text = std::str::from_utf8(body).map_err(|_| Invalid("it is no text".into()))?;
        let Ok(Value::Object(mut object)) = miniserde::json::from_str(text) else {
            return invalid("it can't be read whole");
        };
        let edition = match object.get("edition") {
            Some(Value::String(text)) => units::edition(text),
            _ => None,
        };
        let based_on = match object.remove("based_on").as_ref() {
            Some(Value::String(text)) if text == "0" => Some(0),
            Some(Value::String(text)) => units::edition(text),
            Some(Value::Number(number)) if number.to_string() == "0" => Some(0),
            None | Some(Value::Null) => Some(0),
            _ => None,
        };
        match (edition, based_on) {
            (Some(edition), Some(based_on)) => Ok(Envelope { edition, based_on, object }),
            (None, _) => invalid("edition is missing, or no r and a number"),
            _ => invalid("based_on is no r and a number, nor 0"),
        }
    }

    /// A digest of what it says: the same again has the same, whatever the order of its members and the blanks between.
    /// A whole configuration has the digest that [`digest_of_whole`] gives for its text.
    pub fn digest(&self, patch: bool) -> u64 {
        let text = miniserde::json::to_string(&self.object);
        if patch {
            digest_of("patch", self.based_on, &text)
        } else {
            digest_of_whole(self.based_on, &text)
        }
    }

    /// The whole configuration that it brings, as text: what was sent, without the version it builds on.
    pub fn whole(self) -> Result<(Config, String), Invalid> {
        let text = miniserde::json::to_string(&self.object);
        Ok((Config::read(&text)?, text))
    }

    /// The whole configuration after it is changed by this.
    pub fn patched(mut self, current: &str) -> Result<(Config, String), Invalid> {
        let Ok(Value::Object(mut config)) = miniserde::json::from_str::<Value>(current) else {
            return invalid("there is no configuration to change");
        };
        if let Some(edition) = self.object.remove("edition") {
            config.insert("edition".into(), edition);
        }
        if let Some(Value::Object(withdraw)) = self.object.remove("withdraw") {
            for (what, names) in withdraw {
                let Value::Array(names) = names else {
                    return invalid(format!("withdraw.{what} is no list"));
                };
                withdraw_from(&mut config, &what, &names)?;
            }
        }
        if let Some(Value::Object(deliver)) = self.object.remove("deliver") {
            for (what, items) in deliver {
                deliver_to(&mut config, &what, items)?;
            }
        }
        let text = miniserde::json::to_string(&config);
        Ok((Config::read(&text)?, text))
    }
}

/// A digest of a whole configuration's text and of the version that it builds on.
pub fn digest_of_whole(based_on: u64, text: &str) -> u64 {
    digest_of("whole", based_on, text)
}

fn digest_of(what: &str, based_on: u64, text: &str) -> u64 {
    let mut hasher = crate::state::hasher();
    hasher.write(what.as_bytes());
    hasher.write_u64(based_on);
    hasher.write(text.as_bytes());
    hasher.finish()
}

fn text(value: &Value, field: &str) -> Option<String> {
    match value {
        Value::Object(object) => match object.get(field) {
            Some(Value::String(text)) => Some(text.clone()),
            _ => None,
        },
        _ => None,
    }
}

fn list<'a>(object: &'a mut Object, field: &str) -> &'a mut Array {
    if !matches!(object.get(field), Some(Value::Array(_))) {
        object.insert(field.to_owned(), Value::Array(Array::new()));
    }
    match object.get_mut(field) {
        Some(Value::Array(list)) => list,
        // It was just made one.
        _ => unreachable!("a list"),
    }
}

/// The list that a word of a change names.
fn list_named(what: &str) -> Option<&'static str> {
    match what {
        "docks" | "routes" | "regulations" => Some("docks"),
        "fleets" | "services" => Some("fleets"),
        "patrons" | "tenants" => Some("patrons"),
        _ => None,
    }
}

fn withdraw_from(config: &mut Object, what: &str, names: &[Value]) -> Result<(), Invalid> {
    let gone: BTreeSet<String> = names
        .iter()
        .map(|name| match name {
            Value::String(name) => Ok(name.clone()),
            other => text(other, "name")
                .ok_or_else(|| Invalid(format!("withdraw.{what} holds something without a name"))),
        })
        .collect::<Result<_, _>>()?;
    let stays = |item: &Value, field: &str| text(item, field).is_none_or(|name| !gone.contains(&name));
    match list_named(what) {
        Some("docks") => {
            let docks = list(config, "docks");
            for dock in docks.iter_mut() {
                if let Value::Object(dock) = dock {
                    list(dock, "regulations").retain(|route| stays(route, "name"));
                }
            }
            docks.retain(|dock| stays(dock, "depot"));
        }
        Some(named) => list(config, named).retain(|item| stays(item, "name")),
        None => return invalid(format!("withdraw.{what} is unknown")),
    }
    Ok(())
}

/// Puts an item in the place of the one with its name, or at the end.
fn put(into: &mut Array, item: Value, field: &str) -> Result<(), Invalid> {
    let Some(name) = text(&item, field) else { return invalid(format!("an item without {field}")) };
    match into.iter_mut().find(|known| text(known, field).as_ref() == Some(&name)) {
        Some(known) => *known = item,
        None => into.push(item),
    }
    Ok(())
}

fn deliver_to(config: &mut Object, what: &str, items: Value) -> Result<(), Invalid> {
    if what == "limits" {
        config.insert("limits".into(), items);
        return Ok(());
    }
    let Value::Array(items) = items else { return invalid(format!("deliver.{what} is no list")) };
    match list_named(what) {
        Some("docks") => {
            for dock in items {
                let Value::Object(mut dock) = dock else { return invalid("deliver.docks holds no object") };
                let Some(Value::String(depot)) = dock.get("depot").cloned() else {
                    return invalid("deliver.docks: an item without depot");
                };
                let routes = std::mem::take(list(&mut dock, "regulations"));
                let docks = list(config, "docks");
                for route in routes {
                    deliver_route(docks, &depot, route)?;
                }
            }
        }
        Some(named) => {
            let into = list(config, named);
            items.into_iter().try_for_each(|item| put(into, item, "name"))?;
        }
        None => return invalid(format!("deliver.{what} is unknown")),
    }
    Ok(())
}

/// A route stands at one host: it is replaced where it stands, or moves.
fn deliver_route(docks: &mut Array, depot: &str, route: Value) -> Result<(), Invalid> {
    let Some(name) = text(&route, "name") else { return invalid("a route without a name") };
    for dock in docks.iter_mut().filter(|dock| text(dock, "depot").as_deref() != Some(depot)) {
        if let Value::Object(dock) = dock {
            list(dock, "regulations").retain(|known| text(known, "name").as_ref() != Some(&name));
        }
    }
    let at = docks.iter().position(|dock| text(dock, "depot").as_deref() == Some(depot));
    let at = at.unwrap_or_else(|| {
        let mut dock = Object::new();
        dock.insert("depot".into(), Value::String(depot.to_owned()));
        docks.push(Value::Object(dock));
        docks.len() - 1
    });
    match &mut docks[at] {
        Value::Object(dock) => put(list(dock, "regulations"), route, "name"),
        _ => invalid("docks holds no object"),
    }
}
