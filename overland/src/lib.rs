//! The processes of the load balancer: core processes that replicate the configuration and the registry of
//! backends, agents that distribute both to the proxies, and proxies that forward requests with
//! `cherrytally`'s data plane and load balancing.

pub mod agent;
pub mod ahead;
pub mod calls;
pub mod charging;
pub mod config;
pub mod control;
pub mod copy;
pub mod difference;
pub mod figures;
pub mod follow;
pub mod invariants;
pub mod ledger;
pub mod link;
pub mod member;
pub mod news;
pub mod proxy;
pub mod raft;
pub mod routes;
pub mod settings;
pub mod shares;
pub mod speech;
pub mod start;
pub mod state;
pub mod status;
pub mod store;
pub mod tally;
pub mod told;
pub mod units;
