//! The system's limits ([`Bounds`]) in the share tests and in the simulation.

use oakfall_system::settings::Bounds;
use std::time::Duration;

/// Fixed values, with which tests may compare; some differ from the defaults.
pub fn bounds() -> Bounds {
    Bounds {
        ack_timeout: Duration::from_millis(8000),
        grace: Duration::from_millis(6000),
        fail_closed: true,
        revocation_timeout: Duration::from_millis(5000),
        retry_ratio: 0.2,
        retry_slack: 56.0,
        retry_window: Duration::from_secs(10),
        quota_slack: 20.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
        ttl_max: Duration::from_secs(5),
        expose_share: 0.1,
    }
}
