//! The processes of the load balancer: core processes that replicate the configuration and the registry of
//! backends, agents that distribute both to the proxies, and proxies that forward requests with
//! `oakfall`'s data plane and load balancing.

pub mod agent;
pub mod agent_state;
pub mod api;
pub mod backend_protocol;
pub mod client_response;
pub mod config;
pub mod control;
pub mod delta;
pub mod invariants;
pub mod link;
pub mod member;
pub mod metrics;
pub mod pending_charges;
pub mod pipeline;
pub mod protocol;
pub mod proxy;
pub mod quota;
pub mod raft;
pub mod rate_shares;
pub mod replica;
pub mod rollout;
pub mod routes;
pub mod settings;
pub mod start;
pub mod state;
pub mod status;
pub mod store;
pub mod units;
pub mod update_outcomes;
