//! Linear regression.

/// Line fitted to points.
#[derive(Clone, Copy, Debug)]
pub struct LinearFit {
    /// Value at x = 0.
    pub intercept: f64,
    /// Increase per unit of x.
    pub slope: f64,
    /// Largest vertical distance of a point from the line.
    pub max_residual: f64,
}

/// Fits a line to (x, y) points by least squares.
pub fn fit(points: &[(f64, f64)]) -> LinearFit {
    let n = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let max_residual =
        points.iter().map(|(x, y)| (y - intercept - slope * x).abs()).fold(0.0, f64::max);
    LinearFit { intercept, slope, max_residual }
}
