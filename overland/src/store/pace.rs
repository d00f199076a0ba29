//! Whether a disk is slow, beside what is usual for it.

/// A disk that took longer than so many times its usual time, in so many saves in a row, and longer than this, in ms, is
/// slow: its owner should not lead, as each change waits for it.
const SLOW: (f64, u32, f64) = (6.0, 3, 5.0);
/// Weight of a save that is not slow, in the usual time; a quicker one shows at once what the disk can do.
const USUAL_GAIN: f64 = 0.1;

/// Whether a disk is slow, by the time that saves take.
#[derive(Debug, Default)]
pub struct Pace {
    usual_ms: Option<f64>,
    slow: u32,
}

impl Pace {
    /// A save took so long, in ms. True if the disk is slow by now.
    pub fn saved(&mut self, took_ms: f64) -> bool {
        let (times, in_a_row, least_ms) = SLOW;
        let usual = *self.usual_ms.get_or_insert(took_ms);
        if took_ms > (usual * times).max(least_ms) {
            self.slow = self.slow.saturating_add(1);
        } else {
            self.slow = 0;
            self.usual_ms = Some(took_ms.min(usual + (took_ms - usual) * USUAL_GAIN));
        }
        self.slow >= in_a_row
    }
}
