//! The data plane that the programs share: connections to backends, attempts on them, room for what passes
//! through, and the driver that turns what happens into the decision module's events and carries out its
//! actions. What a program speaks with its clients and backends is its own, as a [`driver::Speech`].

pub mod backends;
pub mod deadline;
pub mod driver;
pub mod exchange;
pub mod http;
pub mod idle;
pub mod room;
pub mod seldom;
