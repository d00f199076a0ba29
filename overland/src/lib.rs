//! The system round the gateway: control that agrees on the configuration and keeps the backends, agents that bring
//! both to the proxies, and proxies that carry the traffic by `cherrytally`'s data plane and decisions.
//!
//! `docs/system/design.md` tells which process does what, and what each does when another is silent.

pub mod agent;
pub mod agreement;
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
