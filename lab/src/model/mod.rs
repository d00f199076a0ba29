//! What stands round the gateways, as state machines without sockets or clocks: they are told the time.

pub mod counter;
pub mod front;
pub mod registry;
pub mod server;
