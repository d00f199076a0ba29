//! Numbers by which the decision module knows routes and services. A number has one owner at a time: it is free
//! again only when no route table and no request refers to it.

use oakfall::Class;
use std::collections::HashMap;
use std::rc::{Rc, Weak};

/// A request class: a route with the settings that the decision module needs. Its number is not given to another
/// one while this exists.
pub struct RouteClass {
    /// Its index in the settings of the decision module.
    pub number: u32,
    /// Its settings.
    pub settings: Class,
}

/// The request classes of routes. A route whose settings change gets a new class; requests in flight keep theirs.
#[derive(Default)]
pub struct ClassNumbers {
    /// Settings by number, also of classes that no longer exist.
    settings: Vec<Class>,
    /// Classes by number.
    classes: Vec<Weak<RouteClass>>,
    /// The latest class of each route, by the route's name.
    by_route: HashMap<String, Weak<RouteClass>>,
    /// Numbers of classes that no longer exist.
    free: Vec<u32>,
}

impl ClassNumbers {
    /// Settings by number, for the decision module.
    pub fn settings(&self) -> &[Class] {
        &self.settings
    }

    /// Frees the numbers of classes that no longer exist.
    pub fn release_unused(&mut self) {
        self.by_route.retain(|_, class| class.strong_count() > 0);
        let unused = self.classes.iter().enumerate().rev().filter(|(_, class)| class.strong_count() == 0);
        self.free = unused.map(|(number, _)| number as u32).collect();
    }

    /// The class of a route with these settings: the one that it had, or a new one.
    pub fn class(&mut self, route: &str, settings: Class) -> Rc<RouteClass> {
        let current = self.by_route.get(route).and_then(Weak::upgrade);
        if let Some(class) = current.filter(|class| class.settings == settings) {
            return class;
        }
        let number = self.free.pop().unwrap_or_else(|| {
            self.classes.push(Weak::new());
            self.settings.push(settings);
            (self.classes.len() - 1) as u32
        });
        let class = Rc::new(RouteClass { number, settings });
        self.classes[number as usize] = Rc::downgrade(&class);
        self.settings[number as usize] = settings;
        self.by_route.insert(route.to_owned(), Rc::downgrade(&class));
        class
    }
}
