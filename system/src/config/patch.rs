//! Patches of a configuration, which add, replace and remove named items. A patch is read whole before anything is
//! changed: what has no meaning or a wrong type makes it invalid, so that no part of it is left out silently.

use super::{invalid, InvalidConfig};
use miniserde::json::{Array, Object, Value};
use std::collections::BTreeSet;

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
            string_field(item, field).is_none_or(|name| !self.names.contains(&name))
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
                let existing = list_field(config, ItemList::Hosts.field());
                hosts.into_iter().try_for_each(|host| host.apply_to(existing))
            }
            Delivery::Items(list, items) => {
                let existing = list_field(config, list.field());
                items.into_iter().try_for_each(|item| upsert(existing, item, "name"))
            }
        }
    }
}

impl HostDelivery {
    fn apply_to(self, hosts: &mut Array) -> Result<(), InvalidConfig> {
        let host = host_entry(hosts, &self.name)?;
        host.extend(self.other_fields);
        self.routes.into_iter().try_for_each(|route| upsert_route(hosts, &self.name, route))
    }
}

/// The host of this name, which is added if there is none.
fn host_entry<'a>(hosts: &'a mut Array, name: &str) -> Result<&'a mut Object, InvalidConfig> {
    let index = hosts.iter().position(|host| string_field(host, "depot").as_deref() == Some(name));
    let index = index.unwrap_or_else(|| {
        let mut host = Object::new();
        host.insert("depot".into(), Value::String(name.to_owned()));
        host.insert("regulations".into(), Value::Array(Array::new()));
        hosts.push(Value::Object(host));
        hosts.len() - 1
    });
    match &mut hosts[index] {
        Value::Object(host) => Ok(host),
        _ => invalid("docks holds no object"),
    }
}

/// Replaces or adds a route at this host, and removes the route of that name from other hosts.
fn upsert_route(hosts: &mut Array, host_name: &str, route: Value) -> Result<(), InvalidConfig> {
    let Some(name) = string_field(&route, "name") else { return invalid("a route without a name") };
    for host in hosts.iter_mut().filter(|host| string_field(host, "depot").as_deref() != Some(host_name)) {
        if let Value::Object(host) = host {
            list_field(host, "regulations")
                .retain(|other| string_field(other, "name").as_ref() != Some(&name));
        }
    }
    upsert(list_field(host_entry(hosts, host_name)?, "regulations"), route, "name")
}

/// Replaces the item that has the same value in this field, or appends the item.
fn upsert(items: &mut Array, item: Value, field: &str) -> Result<(), InvalidConfig> {
    let Some(name) = string_field(&item, field) else { return invalid(format!("an item without {field}")) };
    match items.iter_mut().find(|other| string_field(other, field).as_ref() == Some(&name)) {
        Some(existing) => *existing = item,
        None => items.push(item),
    }
    Ok(())
}

fn string_field(value: &Value, field: &str) -> Option<String> {
    match value {
        Value::Object(object) => match object.get(field) {
            Some(Value::String(text)) => Some(text.clone()),
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
