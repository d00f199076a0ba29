//! The size to design for: slopes of single parts, and a run of real core processes before hollow gateways.

pub mod draw;
pub mod fit;
pub mod hollow;
pub mod weigh;
