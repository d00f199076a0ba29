//! Classes and plans by name, and the numbers by which the module knows them. A number stays with what is open:
//! a reload gives new ones to what it changes and takes up those that nothing open bears any more.

use crate::figures::{Ends, Figures};
use cherrytally::{Idempotency, Settings};
use hyper::Method;
use std::rc::Rc;

/// Numbers at most, in use or left from before.
const MOST: usize = 64;

/// A class of requests. Whoever holds it keeps its number.
pub struct Class {
    pub name: String,
    pub number: u32,
    pub method: Method,
    pub keyed: bool,
    pub ends: Rc<Ends>,
    is: cherrytally::Class,
}

struct Plan {
    name: String,
    is: cherrytally::Plan,
}

/// The classes and plans that requests may name. Those that they may name no longer keep their places.
#[derive(Default)]
pub struct Tables {
    classes: Vec<(Rc<Class>, bool)>,
    plans: Vec<(Plan, bool)>,
}

impl Tables {
    /// Takes over what a configuration names, in the order of its settings, and puts into these what the
    /// numbers now stand for. An error changes nothing.
    pub fn take(
        &mut self, classes: &[String], plans: &[String], settings: &mut Settings, figures: &Figures,
    ) -> Result<(), String> {
        let mut table: Vec<_> = self.classes.iter().map(|(class, _)| (class.clone(), false)).collect();
        for (name, is) in classes.iter().zip(&settings.classes) {
            if let Some(same) = table.iter_mut().find(|(c, live)| !live && c.name == *name && c.is == *is) {
                same.1 = true;
                continue;
            }
            // Held by the two tables alone: nothing open is of that class.
            let free = self.classes.iter().position(|(c, _)| {
                let named =
                    classes.iter().zip(&settings.classes).any(|(name, is)| c.name == *name && c.is == *is);
                Rc::strong_count(c) <= 2 && !named && !table[c.number as usize].1
            });
            let number = free.unwrap_or(table.len());
            let class = Rc::new(Class {
                name: name.clone(),
                number: number as u32,
                method: if is.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST },
                keyed: matches!(is.idempotency, Idempotency::Keyed { .. }),
                ends: figures.class(name)?,
                is: *is,
            });
            match table.get_mut(number) {
                Some(place) => *place = (class, true),
                None => table.push((class, true)),
            }
        }
        let former = |(plan, _): &(Plan, bool)| (Plan { name: plan.name.clone(), is: plan.is }, false);
        let mut places: Vec<_> = self.plans.iter().map(former).collect();
        for (name, is) in plans.iter().zip(&settings.plans) {
            // A customer's plan keeps its number, and with it the customer's store.
            match places.iter_mut().find(|(plan, _)| plan.name == *name) {
                Some(place) => *place = (Plan { name: name.clone(), is: *is }, true),
                None => places.push((Plan { name: name.clone(), is: *is }, true)),
            }
        }
        if table.len().max(places.len()) > MOST {
            return Err(format!("over {MOST} classes or plans, with those still open"));
        }
        settings.classes = table.iter().map(|(class, _)| class.is).collect();
        settings.plans = places.iter().map(|(plan, _)| plan.is).collect();
        (self.classes, self.plans) = (table, places);
        Ok(())
    }

    /// The class that requests name so.
    pub fn class(&self, name: &str) -> Option<Rc<Class>> {
        self.classes.iter().find(|(class, live)| *live && class.name == name).map(|(class, _)| class.clone())
    }

    /// The number of the plan that requests name so.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|(plan, live)| *live && plan.name == name)
    }

    /// The name of a plan.
    pub fn plan_name(&self, number: usize) -> &str {
        self.plans.get(number).map_or("", |(plan, _)| &plan.name)
    }

    /// The longest deadline of a class that may still be open, in ms.
    pub fn longest_ms(&self) -> f64 {
        self.classes.iter().map(|(class, _)| class.is.deadline_ms).fold(0.0, f64::max)
    }
}
