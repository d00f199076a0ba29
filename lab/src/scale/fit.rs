//! Lines through measured points: *a + b x n*, and how well they fit.

use serde::{Deserialize, Serialize};

/// A line through points, by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// What stands at nought.
    pub a: f64,
    /// What each one adds.
    pub b: f64,
    /// The part of the spread that the line tells, 0 to 1; 1 with two points or fewer.
    pub r2: f64,
}

impl Line {
    /// The line through points (n, value). One point, or points at one place, give a line without a slope.
    pub fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let xx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let xy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let yy: f64 = points.iter().map(|p| (p.1 - y).powi(2)).sum();
        let b = if xx > 0.0 { xy / xx } else { 0.0 };
        let left: f64 = points.iter().map(|p| (p.1 - (y + b * (p.0 - x))).powi(2)).sum();
        Line { a: y - b * x, b, r2: if yy > 0.0 { 1.0 - left / yy } else { 1.0 } }
    }

    /// What it gives at this size.
    pub fn at(&self, n: f64) -> f64 {
        self.a + self.b * n
    }
}
