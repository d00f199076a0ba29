//! Patches of a configuration, which add, replace and remove named items. A patch is read whole before anything is
//! changed: what has no meaning or a wrong type makes it invalid, so that no part of it is left out silently.

use super::{invalid, InvalidConfig};
use miniserde::json::{Array, Object, Value};
use std::collections::{BTreeSet, HashMap};

/// A list of items in a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ItemList {
    /// Virtual hosts with their routes.
    Hosts,
    Services,
    Tenants,
}

impl ItemList {
    /// The list that a section of a patch changes.
    fn of_section(section: &str) -> Option<Self> {
        match section {
            "docks" | "routes" | "regulations" => Some(ItemList::Hosts),
            "fleets" | "services" => Some(ItemList::Services),
            "patrons" | "tenants" => Some(ItemList::Tenants),
            _ => None,
        }
    }

    /// The field of the configuration.
    fn field(self) -> &'static str {
        match self {
            ItemList::Hosts => "docks",
            ItemList::Services => "fleets",
            ItemList::Tenants => "patrons",
        }
    }
}

/// Items to add, or to replace by name.
enum Delivery {
    /// The limits, as a whole.
    Limits(Value),
    /// Routes by host, and further fields of the host.
    Hosts(Vec<HostDelivery>),
    /// Items of a list other than the hosts.
    Items(ItemList, Array),
}

struct HostDelivery {
    name: String,
    routes: Array,
    other_fields: Object,
}

/// Items to remove, by name.
struct Withdrawal {
    list: ItemList,
    names: BTreeSet<String>,
}

/// A patch.
pub(super) struct ConfigPatch {
    edition: Option<Value>,
    withdrawals: Vec<Withdrawal>,
    deliveries: Vec<Delivery>,
}

impl ConfigPatch {
    /// Reads a patch from the JSON object of its request.
    pub(super) fn read(mut object: Object) -> Result<Self, InvalidConfig> {
        let edition = object.remove("edition");
        let withdraw = sections(&mut object, "withdraw")?;
        let deliver = sections(&mut object, "deliver")?;
        if let Some(field) = object.keys().next() {
            return invalid(format!("{field} is no part of a change"));
        }
        let withdrawals = withdraw.into_iter().map(|(section, names)| read_withdrawal(&section, names));
        let deliveries = deliver.into_iter().map(|(section, items)| read_delivery(&section, items));
        Ok(ConfigPatch {
            edition,
            withdrawals: withdrawals.collect::<Result<_, _>>()?,
            deliveries: deliveries.collect::<Result<_, _>>()?,
        })
    }

    /// Changes a configuration.
    pub(super) fn apply_to(self, config: &mut Object) -> Result<(), InvalidConfig> {
        if let Some(edition) = self.edition {
            config.insert("edition".into(), edition);
        }
        self.withdrawals.iter().for_each(|withdrawal| withdrawal.apply_to(config));
        self.deliveries.into_iter().try_for_each(|delivery| delivery.apply_to(config))
    }
}

/// The sections of `deliver` or `withdraw`; none if the field is missing or null.
fn sections(patch: &mut Object, field: &str) -> Result<Object, InvalidConfig> {
    match patch.remove(field) {
        None | Some(Value::Null) => Ok(Object::new()),
        Some(Value::Object(sections)) => Ok(sections),
        Some(_) => invalid(format!("{field} does not name sections")),
    }
}

fn read_withdrawal(section: &str, names: Value) -> Result<Withdrawal, InvalidConfig> {
    let Some(list) = ItemList::of_section(section) else {
        return invalid(format!("withdraw.{section} is unknown"));
    };
    let Value::Array(names) = names else { return invalid(format!("withdraw.{section} is no list")) };
    let name = |item: Value| match item {
        Value::String(name) => Ok(name),
        other => string_field(&other, "name")
            .map(str::to_owned)
            .ok_or_else(|| InvalidConfig(format!("withdraw.{section} holds something without a name"))),
    };
    Ok(Withdrawal { list, names: names.into_iter().map(name).collect::<Result<_, _>>()? })
}

fn read_delivery(section: &str, items: Value) -> Result<Delivery, InvalidConfig> {
    if section == "limits" {
        return Ok(Delivery::Limits(items));
    }
    let Some(list) = ItemList::of_section(section) else {
        return invalid(format!("deliver.{section} is unknown"));
    };
    let Value::Array(items) = items else { return invalid(format!("deliver.{section} is no list")) };
    if list != ItemList::Hosts {
        return Ok(Delivery::Items(list, items));
    }
    let hosts = items.into_iter().map(|item| read_host(section, item)).collect::<Result<_, _>>()?;
    Ok(Delivery::Hosts(hosts))
}

fn read_host(section: &str, item: Value) -> Result<HostDelivery, InvalidConfig> {
    let Value::Object(mut host) = item else { return invalid(format!("deliver.{section} holds no object")) };
    let Some(Value::String(name)) = host.remove("depot") else {
        return invalid(format!("deliver.{section}: an item without depot"));
    };
    let Some(Value::Array(routes)) = host.remove("regulations") else {
        return invalid(format!("deliver.{section}: {name} has no list of regulations"));
    };
    Ok(HostDelivery { name, routes, other_fields: host })
}

impl Withdrawal {
    fn apply_to(&self, config: &mut Object) {
        let keep = |item: &Value, field: &str| {
            string_field(item, field).is_none_or(|name| !self.names.contains(name))
        };
        let items = list_field(config, self.list.field());
        if self.list != ItemList::Hosts {
            return items.retain(|item| keep(item, "name"));
        }
        for host in items.iter_mut() {
            if let Value::Object(host) = host {
                list_field(host, "regulations").retain(|route| keep(route, "name"));
            }
        }
        items.retain(|host| keep(host, "depot"));
    }
}

impl Delivery {
    fn apply_to(self, config: &mut Object) -> Result<(), InvalidConfig> {
        match self {
            Delivery::Limits(limits) => {
                config.insert("limits".into(), limits);
                Ok(())
            }
            Delivery::Hosts(hosts) => {
                let mut index = HostIndex::new(list_field(config, ItemList::Hosts.field()));
                hosts.into_iter().try_for_each(|host| index.deliver(host))?;
                index.finish();
                Ok(())
            }
            Delivery::Items(list, items) => upsert_all(list_field(config, list.field()), items),
        }
    }
}

/// Hosts and their routes by name, while a patch is applied to them. Each item of the patch is found without a search.
struct HostIndex<'a> {
    hosts: &'a mut Array,
    /// Positions of the hosts.
    by_name: HashMap<String, usize>,
    /// Host and position of each route.
    routes: HashMap<String, (usize, usize)>,
    /// Hosts from which a route was moved to another one, with null in its place.
    with_gaps: BTreeSet<usize>,
}

impl<'a> HostIndex<'a> {
    fn new(hosts: &'a mut Array) -> Self {
        let (mut by_name, mut routes) = (HashMap::new(), HashMap::new());
        for (host_index, host) in hosts.iter_mut().enumerate() {
            if let Some(name) = string_field(host, "depot") {
                by_name.entry(name.to_owned()).or_insert(host_index);
            }
            let Value::Object(host) = host else { continue };
            for (position, route) in list_field(host, "regulations").iter().enumerate() {
                let name = string_field(route, "name");
                routes.extend(name.map(|name| (name.to_owned(), (host_index, position))));
            }
        }
        HostIndex { hosts, by_name, routes, with_gaps: BTreeSet::new() }
    }

    /// Adds a host, or what the delivery changes of it.
    fn deliver(&mut self, delivery: HostDelivery) -> Result<(), InvalidConfig> {
        let HostDelivery { name, routes, other_fields } = delivery;
        let host_index = *self.by_name.entry(name).or_insert_with_key(|name| {
            let mut host = Object::new();
            host.insert("depot".into(), Value::String(name.clone()));
            self.hosts.push(Value::Object(host));
            self.hosts.len() - 1
        });
        let Value::Object(host) = &mut self.hosts[host_index] else {
            return invalid("docks holds no object");
        };
        host.extend(other_fields);
        list_field(host, "regulations");
        routes.into_iter().try_for_each(|route| self.upsert_route(host_index, route))
    }

    /// Replaces or adds a route at this host, and removes the route of that name from another one.
    fn upsert_route(&mut self, host_index: usize, route: Value) -> Result<(), InvalidConfig> {
        let Some(name) = string_field(&route, "name").map(str::to_owned) else {
            return invalid("a route without a name");
        };
        match self.routes.get(&name) {
            Some((known_host, position)) if *known_host == host_index => {
                let position = *position;
                self.routes_of(host_index)[position] = route;
            }
            known => {
                if let Some((known_host, position)) = known.copied() {
                    self.routes_of(known_host)[position] = Value::Null;
                    self.with_gaps.insert(known_host);
                }
                let routes = self.routes_of(host_index);
                routes.push(route);
                let position = routes.len() - 1;
                self.routes.insert(name, (host_index, position));
            }
        }
        Ok(())
    }

    fn routes_of(&mut self, host_index: usize) -> &mut Array {
        match &mut self.hosts[host_index] {
            Value::Object(host) => list_field(host, "regulations"),
            _ => unreachable!("only routes of objects are indexed"),
        }
    }

    /// Closes the gaps of routes that were moved.
    fn finish(mut self) {
        for host_index in std::mem::take(&mut self.with_gaps) {
            self.routes_of(host_index).retain(|route| !matches!(route, Value::Null));
        }
    }
}

/// Replaces the items that have the same name as one of these, and appends the others.
fn upsert_all(existing: &mut Array, items: Array) -> Result<(), InvalidConfig> {
    let names = existing.iter().enumerate();
    let mut positions: HashMap<String, usize> =
        names.filter_map(|(index, item)| Some((string_field(item, "name")?.to_owned(), index))).collect();
    for item in items {
        let Some(name) = string_field(&item, "name") else { return invalid("an item without name") };
        match positions.get(name) {
            Some(index) => existing[*index] = item,
            None => {
                positions.insert(name.to_owned(), existing.len());
                existing.push(item);
            }
        }
    }
    Ok(())
}

fn string_field<'a>(value: &'a Value, field: &str) -> Option<&'a str> {
    match value {
        Value::Object(object) => match object.get(field) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        },
        _ => None,
    }
}

/// The list in this field of a valid configuration, in which a missing list is an empty one.
fn list_field<'a>(object: &'a mut Object, field: &str) -> &'a mut Array {
    if !matches!(object.get(field), Some(Value::Array(_))) {
        object.insert(field.to_owned(), Value::Array(Array::new()));
    }
    match object.get_mut(field) {
        Some(Value::Array(list)) => list,
        _ => unreachable!("the field was set to a list"),
    }
}
