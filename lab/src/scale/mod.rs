//! Measures how the system scales: the cost of its single parts, and real core processes under simulated gateways
//! and backends.

pub mod bounds;
pub mod draw;
pub mod fit;
pub mod fleet;
pub mod forecast;
pub mod hollow;
pub mod report;
pub mod run;
pub mod weigh;
