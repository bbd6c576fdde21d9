//! What was measured along the axes: points with all their runs, and what was fitted to them, as
//! JSON and as a table.

use super::fit::{fit, Fit, Shape, RESIDUAL_MOST, SCATTER_MOST};
use serde::Serialize;
use std::fmt::Write;

/// All that one call has measured.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The machine, in words.
    pub machine: String,
    /// Fewer points and one run each: says whether the measure works, and nothing of the program.
    pub quick: bool,
    /// The relative residual beyond which points are no line.
    pub residual_most: f64,
    /// The axes, in the order in which they were measured.
    pub axes: Vec<Axis>,
}

/// Figures by the growth of one thing.
#[derive(Debug, Serialize)]
pub struct Axis {
    /// Its name.
    pub name: &'static str,
    /// What grows.
    pub of: &'static str,
    /// What was played, and what was held at one value.
    pub setting: String,
    /// The figures.
    pub series: Vec<Series>,
    /// Set where nothing was measured: why not.
    pub not_measured: Option<&'static str>,
}

/// One figure along an axis.
#[derive(Debug, Serialize)]
pub struct Series {
    /// What it is.
    pub name: &'static str,
    /// In which unit.
    pub unit: &'static str,
    /// By what grows.
    pub points: Vec<Point>,
    /// What was fitted; none with fewer than three points.
    pub fit: Option<Fit>,
}

/// The runs at one size.
#[derive(Debug, Serialize)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// What each run gave.
    pub runs: Vec<f64>,
}

impl Point {
    /// The mean of the runs.
    pub fn mean(&self) -> f64 {
        self.runs.iter().sum::<f64>() / self.runs.len().max(1) as f64
    }

    fn least(&self) -> f64 {
        self.runs.iter().copied().fold(f64::INFINITY, f64::min)
    }

    fn most(&self) -> f64 {
        self.runs.iter().copied().fold(f64::NEG_INFINITY, f64::max)
    }
}

impl Axis {
    /// One without figures yet.
    pub fn new(name: &'static str, of: &'static str, setting: impl Into<String>) -> Axis {
        Axis {
            name,
            of,
            setting: setting.into(),
            series: Vec::new(),
            not_measured: None,
        }
    }

    /// One on which nothing was measured.
    pub fn not_measured(name: &'static str, of: &'static str, why: &'static str) -> Axis {
        Axis {
            not_measured: Some(why),
            ..Axis::new(name, of, "")
        }
    }

    /// Adds what one run gave.
    pub fn add(&mut self, name: &'static str, unit: &'static str, x: f64, value: f64) {
        let known = self.series.iter().position(|series| series.name == name);
        let at = known.unwrap_or_else(|| {
            self.series.push(Series {
                name,
                unit,
                points: Vec::new(),
                fit: None,
            });
            self.series.len() - 1
        });
        let points = &mut self.series[at].points;
        match points.iter_mut().find(|point| point.x == x) {
            Some(point) => point.runs.push(value),
            None => points.push(Point {
                x,
                runs: vec![value],
            }),
        }
    }

    /// Fits all its series.
    pub fn fitted(mut self) -> Axis {
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

/// A number in as many digits as say something.
fn short(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 || size == 0.0 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

fn verdict(fit: &Fit) -> String {
    let Fit {
        line,
        power,
        scatter,
        shape,
    } = fit;
    let line_text = format!(
        "{} a piece and {}, residual {:.3}",
        short(line.slope),
        short(line.intercept),
        line.residual
    );
    let power_text = power.map_or("no power: not all above 0".into(), |power| {
        format!(
            "{} * x^{:.2}, residual {:.3}",
            short(power.factor),
            power.exponent,
            power.residual
        )
    });
    let shape = match shape {
        Shape::Flat => "flat".to_string(),
        Shape::Line => "a line".to_string(),
        Shape::Power => "not a line: a power".to_string(),
        Shape::Neither => {
            format!("not a line (residual above {RESIDUAL_MOST:.2}), and not a power")
        }
        Shape::Scattered => {
            format!("not told: the runs lie further apart than {SCATTER_MOST:.2} of the mean")
        }
    };
    format!("{shape}; line: {line_text}; power: {power_text}; scatter {scatter:.3}")
}

impl Report {
    /// As a table.
    pub fn text(&self) -> String {
        let mut text = format!("{}\n", self.machine);
        if self.quick {
            text += "quick: fewer points, one run each; says nothing of the program\n";
        }
        for axis in &self.axes {
            let _ = writeln!(
                text,
                "\n{} (by {}){}",
                axis.name,
                axis.of,
                told(&axis.setting)
            );
            if let Some(why) = axis.not_measured {
                let _ = writeln!(text, "  not measured: {why}");
            }
            for series in &axis.series {
                let _ = writeln!(text, "  {}, {}", series.name, series.unit);
                for point in &series.points {
                    let _ = writeln!(
                        text,
                        "    {:>7}: {:>10}  ({} to {}, {} runs)",
                        point.x,
                        short(point.mean()),
                        short(point.least()),
                        short(point.most()),
                        point.runs.len()
                    );
                }
                let fitted = series
                    .fit
                    .as_ref()
                    .map_or("too few points to fit".into(), verdict);
                let _ = writeln!(text, "    {fitted}");
            }
        }
        text
    }

    /// As JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

fn told(setting: &str) -> String {
    if setting.is_empty() {
        String::new()
    } else {
        format!(": {setting}")
    }
}
