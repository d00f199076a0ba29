//! Classes and plans by name, and the numbers by which the library knows them. An open request keeps its
//! number: a reload gives changed classes new numbers and reuses those that no open request has.

use crate::metrics::{ClassMetrics, Metrics};
use hyper::Method;
use oakfall::{Idempotency, Settings};
use std::rc::Rc;

/// Limit on the classes, and on the plans, including retired ones.
const MAX_ENTRIES: usize = 64;

/// A request class. Its number is not reused while a request holds it.
pub struct Class {
    pub name: String,
    pub number: u32,
    pub method: Method,
    pub keyed: bool,
    pub metrics: Rc<ClassMetrics>,
    settings: oakfall::Class,
}

struct Plan {
    name: String,
    settings: oakfall::Plan,
}

/// The configured classes and plans, each with a flag; retired entries keep their position with the flag
/// unset.
#[derive(Default)]
pub struct Tables {
    classes: Vec<(Rc<Class>, bool)>,
    plans: Vec<(Plan, bool)>,
}

impl Tables {
    /// Applies a configuration's classes and plans, and reorders those of `settings` by number. An error
    /// changes nothing.
    pub fn apply(
        &mut self, classes: &[String], plans: &[String], settings: &mut Settings, metrics: &Metrics,
    ) -> Result<(), String> {
        let mut table: Vec<_> = self.classes.iter().map(|(class, _)| (class.clone(), false)).collect();
        for (name, class_settings) in classes.iter().zip(&settings.classes) {
            if let Some(unchanged) =
                table.iter_mut().find(|(c, live)| !live && c.name == *name && c.settings == *class_settings)
            {
                unchanged.1 = true;
                continue;
            }
            // Referenced by the two tables alone: no open request has that class.
            let free = self.classes.iter().position(|(c, _)| {
                let configured = classes
                    .iter()
                    .zip(&settings.classes)
                    .any(|(name, settings)| c.name == *name && c.settings == *settings);
                Rc::strong_count(c) <= 2 && !configured && !table[c.number as usize].1
            });
            let number = free.unwrap_or(table.len());
            let class = Rc::new(Class {
                name: name.clone(),
                number: number as u32,
                method: if class_settings.idempotency == Idempotency::Idempotent {
                    Method::GET
                } else {
                    Method::POST
                },
                keyed: matches!(class_settings.idempotency, Idempotency::Keyed { .. }),
                metrics: metrics.class_metrics(name)?,
                settings: *class_settings,
            });
            match table.get_mut(number) {
                Some(entry) => *entry = (class, true),
                None => table.push((class, true)),
            }
        }
        let retired =
            |(plan, _): &(Plan, bool)| (Plan { name: plan.name.clone(), settings: plan.settings }, false);
        let mut plan_table: Vec<_> = self.plans.iter().map(retired).collect();
        for (name, plan_settings) in plans.iter().zip(&settings.plans) {
            // A plan keeps its number, and with it the customers' token buckets.
            match plan_table.iter_mut().find(|(plan, _)| plan.name == *name) {
                Some(entry) => *entry = (Plan { name: name.clone(), settings: *plan_settings }, true),
                None => plan_table.push((Plan { name: name.clone(), settings: *plan_settings }, true)),
            }
        }
        if table.len().max(plan_table.len()) > MAX_ENTRIES {
            return Err(format!(
                "more than {MAX_ENTRIES} classes or plans, including those of open requests"
            ));
        }
        settings.classes = table.iter().map(|(class, _)| class.settings).collect();
        settings.plans = plan_table.iter().map(|(plan, _)| plan.settings).collect();
        (self.classes, self.plans) = (table, plan_table);
        Ok(())
    }

    /// The active class of this name.
    pub fn class(&self, name: &str) -> Option<Rc<Class>> {
        self.classes.iter().find(|(class, live)| *live && class.name == name).map(|(class, _)| class.clone())
    }

    /// The number of the active plan of this name.
    pub fn plan(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|(plan, live)| *live && plan.name == name)
    }

    /// The name of a plan; empty if the number is unknown.
    pub fn plan_name(&self, number: usize) -> &str {
        self.plans.get(number).map_or("", |(plan, _)| &plan.name)
    }

    /// The longest deadline of all classes, including retired ones.
    pub fn max_deadline_ms(&self) -> f64 {
        self.classes.iter().map(|(class, _)| class.settings.deadline_ms).fold(0.0, f64::max)
    }
}
