//! A straight line through measured points.

use serde::Serialize;

/// One measurement: a size and what it cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// The line of least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Value at size 0.
    pub intercept: f64,
    /// Root mean square distance of the points from the line, as a part of their mean.
    pub residual: f64,
    /// Growth of the value with each step of the size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
}

impl Fit {
    /// The line's value at a size; costs are never negative.
    pub fn at(&self, size: f64) -> f64 {
        (self.intercept + self.slope * size).max(0.0)
    }
}

/// Fits a line to three points or more; `None` for fewer or where all sizes are the same.
pub fn fit(points: &[Point]) -> Option<Fit> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean = |part: fn(&Point) -> f64| points.iter().map(part).sum::<f64>() / count;
    let (size, value) = (mean(|point| point.size), mean(|point| point.value));
    let spread: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
    if spread == 0.0 {
        return None;
    }
    let both: f64 = points.iter().map(|point| (point.size - size) * (point.value - value)).sum();
    let slope = both / spread;
    let intercept = value - slope * size;
    let missed = |point: &Point| (point.value - intercept - slope * point.size).powi(2);
    let squares: f64 = points.iter().map(missed).sum();
    let slope_error = (squares / (count - 2.0) / spread).sqrt();
    let residual = if value == 0.0 { 0.0 } else { (squares / count).sqrt() / value.abs() };
    Some(Fit { intercept, residual, slope, slope_error })
}
