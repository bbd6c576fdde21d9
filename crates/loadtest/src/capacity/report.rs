//! The report of a capacity measurement, as JSON and as a table: the points of all axes with their
//! runs and fits.

use super::fit::{fit, Fit, Shape, MAX_RESIDUAL_RATIO, MAX_SCATTER_RATIO};
use serde::Serialize;
use std::fmt::Write;

/// The results of one measurement.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Description of the machine.
    pub machine: String,
    /// Whether fewer points were measured with one run each. Such a report shows that the
    /// measurement works, but its figures are not representative.
    pub quick: bool,
    /// Maximum relative residual of points that count as a line.
    #[serde(rename = "residual_most")]
    pub max_residual_ratio: f64,
    /// Axes in the order of measurement.
    pub axes: Vec<Axis>,
}

/// Series that are measured while one variable grows.
#[derive(Debug, Serialize)]
pub struct Axis {
    /// Name of the axis.
    pub name: &'static str,
    /// The variable that grows, such as the number of processes.
    #[serde(rename = "of")]
    pub variable: &'static str,
    /// Description of the setup, with the values that are constant along the axis.
    pub setting: String,
    /// The measured series.
    pub series: Vec<Series>,
    /// The reason if nothing was measured.
    pub not_measured: Option<&'static str>,
}

/// One quantity that is measured along an axis.
#[derive(Debug, Serialize)]
pub struct Series {
    /// Name of the quantity.
    pub name: &'static str,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// Points in the order of measurement.
    pub points: Vec<Point>,
    /// Fits to the points; `None` if there are too few of them or a value is not finite.
    pub fit: Option<Fit>,
}

/// The runs at one value of the variable.
#[derive(Debug, Serialize)]
pub struct Point {
    /// Value of the variable.
    pub x: f64,
    /// Result of each run.
    pub runs: Vec<f64>,
}

impl Point {
    /// Returns the mean of the runs.
    pub fn mean(&self) -> f64 {
        self.runs.iter().sum::<f64>() / self.runs.len().max(1) as f64
    }

    fn min(&self) -> f64 {
        self.runs.iter().copied().fold(f64::INFINITY, f64::min)
    }

    fn max(&self) -> f64 {
        self.runs.iter().copied().fold(f64::NEG_INFINITY, f64::max)
    }
}

impl Axis {
    /// Creates an axis without series.
    pub fn new(name: &'static str, variable: &'static str, setting: impl Into<String>) -> Axis {
        Axis {
            name,
            variable,
            setting: setting.into(),
            series: Vec::new(),
            not_measured: None,
        }
    }

    /// Creates an axis on which nothing was measured for some reason.
    pub fn not_measured(name: &'static str, variable: &'static str, reason: &'static str) -> Axis {
        Axis {
            not_measured: Some(reason),
            ..Axis::new(name, variable, "")
        }
    }

    /// Adds the result of one run to the series with this name, which is created if necessary.
    pub fn add_run(&mut self, name: &'static str, unit: &'static str, x: f64, value: f64) {
        let known_series = self.series.iter().position(|series| series.name == name);
        let index = known_series.unwrap_or_else(|| {
            self.series.push(Series {
                name,
                unit,
                points: Vec::new(),
                fit: None,
            });
            self.series.len() - 1
        });
        let points = &mut self.series[index].points;
        match points.iter_mut().find(|point| point.x == x) {
            Some(point) => point.runs.push(value),
            None => points.push(Point {
                x,
                runs: vec![value],
            }),
        }
    }

    /// Returns the axis with fits to all its series.
    pub fn with_fits(mut self) -> Axis {
        for series in &mut self.series {
            let runs = series
                .points
                .iter()
                .flat_map(|point| point.runs.iter().map(move |run| (point.x, *run)));
            series.fit = fit(&runs.collect::<Vec<_>>());
        }
        self
    }
}

/// Formats a number with the digits that are significant at its magnitude.
fn format_number(value: f64) -> String {
    match value.abs() {
        magnitude if magnitude >= 1_000.0 => format!("{value:.0}"),
        magnitude if magnitude >= 10.0 => format!("{value:.1}"),
        magnitude if magnitude >= 0.1 || magnitude == 0.0 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

/// Describes the shape of a series and its fits in words.
fn describe_fit(fit: &Fit) -> String {
    let Fit {
        line,
        power,
        scatter,
        shape,
    } = fit;
    let line_text = format!(
        "{} per unit plus {}, residual {:.3}",
        format_number(line.slope),
        format_number(line.intercept),
        line.residual
    );
    let power_text = power.map_or("none, because not all values are above 0".into(), |power| {
        format!(
            "{} * x^{:.2}, residual {:.3}",
            format_number(power.factor),
            power.exponent,
            power.residual
        )
    });
    let shape = match shape {
        Shape::Flat => "flat".to_string(),
        Shape::Line => "a line".to_string(),
        Shape::Power => "not a line: a power law".to_string(),
        Shape::Neither => {
            format!("not a line (residual above {MAX_RESIDUAL_RATIO:.2}) and not a power law")
        }
        Shape::Scattered => {
            format!("no trend: the scatter of the runs exceeds {MAX_SCATTER_RATIO:.2} of the mean")
        }
    };
    format!("{shape}; line: {line_text}; power law: {power_text}; scatter {scatter:.3}")
}

impl Report {
    /// Returns the report as a table.
    pub fn to_text(&self) -> String {
        let mut text = format!("{}\n", self.machine);
        if self.quick {
            text += "quick: fewer points with one run each; the figures are not representative\n";
        }
        for axis in &self.axes {
            let _ = writeln!(
                text,
                "\n{} (by {}){}",
                axis.name,
                axis.variable,
                setting_suffix(&axis.setting)
            );
            if let Some(reason) = axis.not_measured {
                let _ = writeln!(text, "  not measured: {reason}");
            }
            for series in &axis.series {
                let _ = writeln!(text, "  {}, {}", series.name, series.unit);
                for point in &series.points {
                    let _ = writeln!(
                        text,
                        "    {:>7}: {:>10}  ({} to {}, {} runs)",
                        point.x,
                        format_number(point.mean()),
                        format_number(point.min()),
                        format_number(point.max()),
                        point.runs.len()
                    );
                }
                let description = series
                    .fit
                    .as_ref()
                    .map_or("too few points to fit".into(), describe_fit);
                let _ = writeln!(text, "    {description}");
            }
        }
        text
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

fn setting_suffix(setting: &str) -> String {
    if setting.is_empty() {
        String::new()
    } else {
        format!(": {setting}")
    }
}
