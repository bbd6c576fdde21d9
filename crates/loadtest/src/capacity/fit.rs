//! Fits a line and a power law to measured points, and decides which of them, if any, describes the
//! points.

use serde::Serialize;

/// Maximum relative residual of points that count as a line or as a power law.
pub const MAX_RESIDUAL_RATIO: f64 = 0.10;
/// Maximum [`Fit::scatter`] of points that can show a trend.
pub const MAX_SCATTER_RATIO: f64 = 0.25;
/// Minimum rise over the whole axis, as a fraction of the mean. Points near a line that rise or fall
/// by less, or by less than twice their scatter, are flat.
const MIN_RISE_RATIO: f64 = 0.05;
/// A power law whose exponent differs from 1 by at most this is no better than a line that fits.
const MAX_LINEAR_EXPONENT_OFFSET: f64 = 0.1;

/// `y = slope * x + intercept`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Rise of y per unit of x.
    pub slope: f64,
    /// Value at x = 0.
    pub intercept: f64,
    /// Root mean square of the residuals, as a fraction of the mean of the absolute values of y.
    pub residual: f64,
}

/// `y = factor * x ^ exponent`, fitted by a line through the logarithms.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Power {
    /// Value at x = 1.
    pub factor: f64,
    /// Exponent of x.
    pub exponent: f64,
    /// Residual of y itself, not of its logarithm, so that it is comparable with that of a line.
    pub residual: f64,
}

/// The shape of a series of points.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// The points rise or fall by little over the whole axis, or by little compared with their
    /// scatter.
    Flat,
    /// The residual of the line is at most [`MAX_RESIDUAL_RATIO`], and a power law is not clearly
    /// closer.
    Line,
    /// The residual of the power law is at most [`MAX_RESIDUAL_RATIO`], and the line does not fit or
    /// the power law is clearly closer.
    Power,
    /// Neither a line nor a power law fits the points.
    Neither,
    /// The scatter of the runs exceeds [`MAX_SCATTER_RATIO`], so they show no trend.
    Scattered,
}

/// The fits to the points of one series.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    /// The fitted line.
    pub line: Line,
    /// The power law fitted to the points whose x is above 0; `None` if y is not above 0 at one of
    /// them.
    pub power: Option<Power>,
    /// Scatter of the runs at the same x: their root mean square distance from their mean, as a
    /// fraction of the mean of the absolute values of all points.
    pub scatter: f64,
    /// The shape of the points.
    pub shape: Shape,
}

/// Fits a line and a power law to points, several of which may have the same x. Returns `None` if
/// there are fewer than three different x, or if a value is not finite.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let mut xs: Vec<f64> = points.iter().map(|(x, _)| *x).collect();
    xs.sort_by(f64::total_cmp);
    xs.dedup();
    let (first, last) = (*xs.first()?, *xs.last()?);
    if xs.len() < 3 || points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    let line = fit_line(points);
    let power = fit_power(points);
    let scatter = relative_scatter(points, &xs);
    let mean = mean_magnitude(points);
    let rise = line.slope.abs() * (last - first) / mean.max(f64::MIN_POSITIVE);
    let is_flat = rise < MIN_RISE_RATIO.max(2.0 * scatter)
        && line.residual <= MAX_RESIDUAL_RATIO.max(1.5 * scatter);
    let shape = match scatter {
        scatter if scatter > MAX_SCATTER_RATIO => Shape::Scattered,
        _ if is_flat => Shape::Flat,
        _ => growth_shape(&line, power.as_ref()),
    };
    Some(Fit {
        line,
        power,
        scatter,
        shape,
    })
}

fn growth_shape(line: &Line, power: Option<&Power>) -> Shape {
    let is_line = line.residual <= MAX_RESIDUAL_RATIO;
    let is_power = power.is_some_and(|power| power.residual <= MAX_RESIDUAL_RATIO);
    let is_power_closer = power.is_some_and(|power| {
        power.residual < line.residual / 2.0
            && (power.exponent - 1.0).abs() > MAX_LINEAR_EXPONENT_OFFSET
    });
    match (is_line, is_power) {
        (true, true) if is_power_closer => Shape::Power,
        (true, _) => Shape::Line,
        (false, true) => Shape::Power,
        (false, false) => Shape::Neither,
    }
}

/// Returns the slope and the intercept of the least-squares line.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let sum_xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    (slope, mean_y - slope * mean_x)
}

fn fit_line(points: &[(f64, f64)]) -> Line {
    let (slope, intercept) = least_squares(points);
    Line {
        slope,
        intercept,
        residual: relative_residual(points, |x| slope * x + intercept),
    }
}

fn fit_power(points: &[(f64, f64)]) -> Option<Power> {
    let points: Vec<(f64, f64)> = points.iter().copied().filter(|(x, _)| *x > 0.0).collect();
    if points.iter().any(|(_, y)| *y <= 0.0) {
        return None;
    }
    let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let (exponent, log_factor) = least_squares(&logarithms);
    let factor = log_factor.exp();
    Some(Power {
        factor,
        exponent,
        residual: relative_residual(&points, |x| factor * x.powf(exponent)),
    })
}

/// Returns the mean of the absolute values of y.
fn mean_magnitude(points: &[(f64, f64)]) -> f64 {
    points.iter().map(|(_, y)| y.abs()).sum::<f64>() / points.len().max(1) as f64
}

fn relative_residual(points: &[(f64, f64)], model: impl Fn(f64) -> f64) -> f64 {
    let squares: f64 = points.iter().map(|(x, y)| (y - model(*x)).powi(2)).sum();
    (squares / points.len().max(1) as f64).sqrt() / mean_magnitude(points).max(f64::MIN_POSITIVE)
}

fn relative_scatter(points: &[(f64, f64)], xs: &[f64]) -> f64 {
    let mean_at = |mean_x: f64| {
        let ys: Vec<f64> = points
            .iter()
            .filter(|(x, _)| *x == mean_x)
            .map(|(_, y)| *y)
            .collect();
        ys.iter().sum::<f64>() / ys.len().max(1) as f64
    };
    let means: Vec<(f64, f64)> = xs.iter().map(|x| (*x, mean_at(*x))).collect();
    relative_residual(points, |x| {
        means
            .iter()
            .find(|(mean_x, _)| *mean_x == x)
            .map_or(0.0, |(_, mean)| *mean)
    })
}
