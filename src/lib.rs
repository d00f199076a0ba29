//! The decision module of a gateway that enforces customers' quotas in front of shared backends.
//!
//! The module performs no I/O. A gateway passes it [`Event`]s with the time on its own clock, and carries out
//! the [`Action`]s that it returns. The same seed and events give the same actions.
//!
//! ```
//! use oakfall::{
//!     Action, BackendEntry, BackendState, Class, Event, Gateway, Idempotency, Limits, Plan, Request,
//!     Settings,
//! };
//!
//! let settings = Settings {
//!     gateways: 1,
//!     classes: vec![Class { target_ms: 500.0, deadline_ms: 2000.0, worth: 1.0,
//!         idempotency: Idempotency::Idempotent, ..Class::default() }],
//!     plans: vec![Plan { rate: 2.0, burst: 4.0, worth_factor: 1.0, ..Plan::default() }],
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7, 0.0);
//! let mut actions = Vec::new();
//! let entries = vec![BackendEntry { id: 11, zone: 0, kind: 0, cell: 0, state: BackendState::Ready,
//!     size: 1.0, started: 0.0, pool: 0, distance_cost: 0.0, cold_until: 0.0, cold_per_s: 0.0,
//!     limited_until: 0.0, limit: 0 }];
//! gateway.handle(0.0, Event::List { full: true, entries }, &mut actions);
//! let request = |id| Event::Request(Request { id, customer: 5, plan: 0, class: 0, units: 3.0,
//!     budget_ms: 2000.0, customer_gateways: 1.0, is_retry: false, body_streams: false, pool: 0,
//!     canary_pool: None, zone_mask: u64::MAX });
//! gateway.handle(1.0, request(1), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, backend: 11, .. })));
//! // The customer's token bucket held 4 units and 1 is left: a second request of 3 units is refused.
//! gateway.handle(2.0, request(2), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Refuse { id: 2, .. })));
//! ```

mod choice;
pub mod custody;
pub mod interface;
pub mod membership;
mod message;
pub mod plane;
mod state;
mod subset;
mod summary;

pub use choice::Gateway;
pub use interface::*;
