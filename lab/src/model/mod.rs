//! Models of the services around the gateways: state machines without sockets or clocks. Callers pass in the time.

pub mod counter;
pub mod registry;
pub mod server;
pub mod workload;
