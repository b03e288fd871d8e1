//! Marginal costs: bytes, CPU time and memory of one more of each item, and the totals at the size
//! planned in two years.

pub(crate) mod bytes;
pub(crate) mod capacity;
pub(crate) mod cpu;
pub(crate) mod memory;

use serde::Serialize;

/// A cost that grows linearly with a count.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Slope {
    pub(crate) what: &'static str,
    pub(crate) unit: &'static str,
    /// Cost at a count of 0.
    pub(crate) fixed: f64,
    /// Cost of one more.
    pub(crate) each: f64,
    /// The largest deviation of a measured point from the line, relative to that point.
    pub(crate) residual: f64,
}

/// Fits a least-squares line through points of count and cost.
pub(crate) fn fit(what: &'static str, unit: &'static str, points: &[(f64, f64)]) -> Slope {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let each = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let fixed = mean_y - each * mean_x;
    let residual = points
        .iter()
        .map(|(x, y)| ((fixed + each * x - y) / y.abs().max(1e-9)).abs())
        .fold(0.0, f64::max);
    Slope {
        what,
        unit,
        fixed,
        each,
        residual,
    }
}
