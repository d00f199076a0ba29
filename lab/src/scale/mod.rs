//! Measures how the system scales: the cost of its single parts, and real core processes under simulated gateways
//! and backends.

pub mod cost_measurement;
pub mod fleet;
pub mod forecast;
pub mod generator;
pub mod regression;
pub mod report;
pub mod resource_limits;
pub mod run;
pub mod simulated_gateway;
