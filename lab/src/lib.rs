//! The fleet stage: three to three hundred gateways as real processes on loopback, the servers, counter, discovery
//! and clients round them, faults on every link, and a ledger of what became of each request.
//!
//! A [`plan::Plan`] says what is played; [`stage::play`] plays it; the [`ledger::Ledger`] it leaves is judged by
//! [`check::judge`]. The models under [`model`] have neither sockets nor clocks.

pub mod check;
pub mod fault;
pub mod ledger;
pub mod load;
pub mod model;
pub mod plan;
pub mod plans;
pub mod report;
pub mod scale;
pub mod stage;
