//! Straight lines through measured points.

/// A fitted line.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at zero.
    pub base: f64,
    /// Growth for each unit.
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

/// Fits a line by least squares.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let n = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let over: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if under > 0.0 { over / under } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let residual = points.iter().map(|(x, y)| (y - base - slope * x).abs()).fold(0.0, f64::max);
    Line { base, slope, residual }
}
