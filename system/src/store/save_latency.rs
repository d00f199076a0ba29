//! Detects a disk that is slow compared with its own usual save latency.

/// A save is slow if it takes longer than this multiple of the usual latency and longer than [`MIN_SLOW_MS`].
const SLOW_FACTOR: f64 = 6.0;
/// Latency up to which no save is slow.
const MIN_SLOW_MS: f64 = 5.0;
/// Slow saves in a row after which the disk counts as slow.
const SLOW_SAVES_IN_A_ROW: u32 = 3;
/// Weight in the moving average of a save that takes longer than usual but is not slow. A faster save becomes
/// the usual latency at once; a slow one does not change it.
const LONGER_SAVE_WEIGHT: f64 = 0.1;

/// Tracks save latency. A member with a slow disk should not lead, as each change waits for the leader's
/// disk.
#[derive(Debug, Default)]
pub struct SaveLatency {
    usual_ms: Option<f64>,
    slow_in_a_row: u32,
}

impl SaveLatency {
    /// Records the latency of a save; returns whether the disk now counts as slow.
    pub fn record(&mut self, took_ms: f64) -> bool {
        let usual_ms = *self.usual_ms.get_or_insert(took_ms);
        if took_ms > (usual_ms * SLOW_FACTOR).max(MIN_SLOW_MS) {
            self.slow_in_a_row = self.slow_in_a_row.saturating_add(1);
        } else {
            self.slow_in_a_row = 0;
            self.usual_ms = Some(took_ms.min(usual_ms + (took_ms - usual_ms) * LONGER_SAVE_WEIGHT));
        }
        self.slow_in_a_row >= SLOW_SAVES_IN_A_ROW
    }
}
