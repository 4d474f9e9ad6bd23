//! A straight line through measured points, by least squares.

use serde::Serialize;

/// A fitted line `base + slope * x`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Line {
    /// Value at zero.
    pub base: f64,
    /// Growth for one more.
    pub slope: f64,
}

/// Fits a line through `(x, y)` points; a single or no point gives a flat line.
pub fn line(points: &[(f64, f64)]) -> Line {
    let count = f64::from(u32::try_from(points.len()).unwrap_or(u32::MAX));
    if points.is_empty() {
        return Line::default();
    }
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for (x, y) in points {
        covariance += (x - mean_x) * (y - mean_y);
        variance += (x - mean_x) * (x - mean_x);
    }
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    Line {
        base: mean_y - slope * mean_x,
        slope,
    }
}
