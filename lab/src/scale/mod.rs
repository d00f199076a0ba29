//! The size to design for: slopes of single parts, and a run of real core processes before hollow gateways.

pub mod bounds;
pub mod draw;
pub mod fit;
pub mod fleet;
pub mod forecast;
pub mod hollow;
pub mod report;
pub mod run;
pub mod weigh;
