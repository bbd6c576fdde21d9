//! The straight line and the power through measured points, and which of the two the points are, if
//! either.

use serde::Serialize;

/// The relative residual up to which points are taken for a line, or for a power.
pub const RESIDUAL_MOST: f64 = 0.10;
/// Runs at one size that lie further apart than this part of the mean tell nothing of how it grows.
pub const SCATTER_MOST: f64 = 0.25;
/// Points that rise by less than this part of their mean over the whole axis, or by less than their
/// scatter, are flat.
const RISE_LEAST: f64 = 0.05;
/// A power whose exponent is this near to 1 is a line.
const EXPONENT_NEAR: f64 = 0.1;

/// `y = slope * x + intercept`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The rise of y for one of x.
    pub slope: f64,
    /// What there is at 0.
    pub intercept: f64,
    /// The root of the mean square of what is left, as a part of the mean.
    pub residual: f64,
}

/// `y = factor * x ^ exponent`, by a straight line through the logarithms.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Power {
    /// See above.
    pub factor: f64,
    /// See above.
    pub exponent: f64,
    /// As for a line, and so comparable with its.
    pub residual: f64,
}

/// What the points are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// They do not rise or fall beyond their scatter.
    Flat,
    /// A straight line leaves no more than [`RESIDUAL_MOST`], and a power is not clearly nearer.
    Line,
    /// Not a line: a power leaves no more than [`RESIDUAL_MOST`].
    Power,
    /// Not a line, and not a power.
    Neither,
    /// The runs lie further apart than [`SCATTER_MOST`]: nothing is said of them.
    Scattered,
}

/// What was fitted to the points of one series.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    /// The straight line.
    pub line: Line,
    /// The power; none where a point is not above 0.
    pub power: Option<Power>,
    /// How far runs at one x lie apart: the root of their mean square distance from their mean, as
    /// a part of the mean of all.
    pub scatter: f64,
    /// Which of them the points are.
    pub shape: Shape,
}

/// Fits points, several of them at each x; `None` for fewer than three different x.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let mut places: Vec<f64> = points.iter().map(|(x, _)| *x).collect();
    places.sort_by(f64::total_cmp);
    places.dedup();
    let (first, last) = (*places.first()?, *places.last()?);
    if places.len() < 3 || points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    let line = line(points);
    let power = power(points);
    let scatter = scatter(points, &places);
    let mean = mean_size(points);
    let rise = line.slope.abs() * (last - first) / mean.max(f64::MIN_POSITIVE);
    let is_flat =
        rise < RISE_LEAST.max(2.0 * scatter) && line.residual <= RESIDUAL_MOST.max(1.5 * scatter);
    let shape = match scatter {
        scatter if scatter > SCATTER_MOST => Shape::Scattered,
        _ if is_flat => Shape::Flat,
        _ => shape_of(&line, power.as_ref()),
    };
    Some(Fit {
        line,
        power,
        scatter,
        shape,
    })
}

fn shape_of(line: &Line, power: Option<&Power>) -> Shape {
    let is_line = line.residual <= RESIDUAL_MOST;
    let is_power = power.is_some_and(|power| power.residual <= RESIDUAL_MOST);
    let is_bent = power.is_some_and(|power| {
        power.residual < line.residual / 2.0 && (power.exponent - 1.0).abs() > EXPONENT_NEAR
    });
    match (is_line, is_power) {
        (true, true) if is_bent => Shape::Power,
        (true, _) => Shape::Line,
        (false, true) => Shape::Power,
        (false, false) => Shape::Neither,
    }
}

/// Least squares: slope and intercept.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let across: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let along: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if along > 0.0 { across / along } else { 0.0 };
    (slope, mean_y - slope * mean_x)
}

fn line(points: &[(f64, f64)]) -> Line {
    let (slope, intercept) = least_squares(points);
    Line {
        slope,
        intercept,
        residual: residual(points, |x| slope * x + intercept),
    }
}

fn power(points: &[(f64, f64)]) -> Option<Power> {
    let points: Vec<(f64, f64)> = points.iter().copied().filter(|(x, _)| *x > 0.0).collect();
    if points.iter().any(|(_, y)| *y <= 0.0) {
        return None;
    }
    let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let (exponent, at_one) = least_squares(&logarithms);
    let factor = at_one.exp();
    Some(Power {
        factor,
        exponent,
        residual: residual(&points, |x| factor * x.powf(exponent)),
    })
}

/// The mean of the sizes of y.
fn mean_size(points: &[(f64, f64)]) -> f64 {
    points.iter().map(|(_, y)| y.abs()).sum::<f64>() / points.len().max(1) as f64
}

fn residual(points: &[(f64, f64)], model: impl Fn(f64) -> f64) -> f64 {
    let squares: f64 = points.iter().map(|(x, y)| (y - model(*x)).powi(2)).sum();
    (squares / points.len().max(1) as f64).sqrt() / mean_size(points).max(f64::MIN_POSITIVE)
}

fn scatter(points: &[(f64, f64)], places: &[f64]) -> f64 {
    let mean_at = |place: f64| {
        let here: Vec<f64> = points
            .iter()
            .filter(|(x, _)| *x == place)
            .map(|(_, y)| *y)
            .collect();
        here.iter().sum::<f64>() / here.len().max(1) as f64
    };
    let means: Vec<(f64, f64)> = places
        .iter()
        .map(|place| (*place, mean_at(*place)))
        .collect();
    residual(points, |x| {
        means
            .iter()
            .find(|(place, _)| *place == x)
            .map_or(0.0, |(_, mean)| *mean)
    })
}
