//! Fault-injection tests for a fleet of gateways. Gateways are real processes on loopback. Servers, the quota counter,
//! service discovery and clients are simulated behind real sockets, and faults can be injected on every link.
//!
//! [`testbed::run_plan`] runs a [`plan::Plan`] and records all requests in a [`history::History`], which
//! [`check::check_run`] checks against the plan. The models under [`model`] use neither sockets nor clocks. [`scale`]
//! tests the control plane at larger sizes.

pub mod builtin_plans;
pub mod check;
pub mod fault;
pub mod history;
pub mod load_balance;
pub mod model;
pub mod plan;
pub mod report;
pub mod scale;
pub mod testbed;
