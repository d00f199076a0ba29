//! The bounds that tests use.

use overland::settings::Bounds;
use std::time::Duration;

/// The bounds in randomised tests.
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
    }
}
