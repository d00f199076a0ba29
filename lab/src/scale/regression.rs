//! Linear regression: `intercept + slope * n`, and the quality of the fit.

use serde::{Deserialize, Serialize};

/// A line fitted to points by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LinearFit {
    /// Value at n = 0.
    #[serde(rename = "a")]
    pub intercept: f64,
    /// Increase of the value per unit of n.
    #[serde(rename = "b")]
    pub slope: f64,
    /// Coefficient of determination, 0 to 1; 1 for two points or fewer.
    pub r2: f64,
}

impl LinearFit {
    /// Fits a line to points (n, value). The slope is zero if all points have the same n.
    pub fn from_points(points: &[(f64, f64)]) -> LinearFit {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let xx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let xy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let yy: f64 = points.iter().map(|p| (p.1 - y).powi(2)).sum();
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let residual: f64 = points.iter().map(|p| (p.1 - (y + slope * (p.0 - x))).powi(2)).sum();
        LinearFit { intercept: y - slope * x, slope, r2: if yy > 0.0 { 1.0 - residual / yy } else { 1.0 } }
    }

    /// The value of the line at `n`.
    pub fn value_at(&self, n: f64) -> f64 {
        self.intercept + self.slope * n
    }
}
