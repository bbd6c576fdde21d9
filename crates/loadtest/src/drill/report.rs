//! What a drill has shown.

use super::schedule::Plan;
use serde::Serialize;

/// A harness that was later than this says nothing of what it saw.
const LATE_MOST: f64 = 250.0;

/// One second of a drill.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Requests that callers sent.
    pub offered: u64,
    /// Answered with 200.
    pub served: u64,
    /// With 429: over a budget.
    pub over: u64,
    /// With 503.
    pub refused: u64,
    /// With anything else, or with nothing.
    pub failed: u64,
    /// Requests that came to backends.
    pub arrived: u64,
}

/// What a drill has shown.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Its name.
    pub name: String,
    /// By second.
    pub seconds: Vec<Second>,
    /// The most that came to backends in any window of 1 s, and of 5 s, as a part of what rate and
    /// burst allow there.
    pub densest: [f64; 2],
    /// The most that all processes believed they may spend at one time, as a part of the whole, by
    /// what each said.
    pub held: f64,
    /// The most repeats in any window of 1 s, as a part of what their rate and burst allow there.
    pub repeated: f64,
    /// The most requests that were at one backend at once.
    pub most_open: usize,
    /// The longest that the harness itself was late, in milliseconds: packets and requests may
    /// have been as much.
    pub late_ms: f64,
    /// The rules that were broken, and requests without an answer at processes that were well.
    pub breaches: Vec<String>,
    /// For each drain that was ordered or told, how long after it the last request came to the
    /// member, in milliseconds, and how many came a quarter of a second after it or later.
    pub drains: Vec<(f64, usize)>,
    /// What each request came to: where it was asked, when, and the status.
    #[serde(skip)]
    pub outcomes: Vec<(usize, f64, Option<u16>)>,
    /// When requests came to backends, in seconds, and to which.
    #[serde(skip)]
    pub came: Vec<(f64, usize)>,
    /// The times alone, as they rise.
    #[serde(skip)]
    pub arrivals: Vec<f64>,
    /// The log of each process, in all its lives.
    #[serde(skip)]
    pub logs: Vec<String>,
}

impl Report {
    /// Whether the machine kept up, so that the rest says something.
    pub fn counts(&self) -> bool {
        self.late_ms < LATE_MOST
    }

    /// The most of anything that has a whole, as a part of it: above 1 a whole was passed.
    pub fn most(&self) -> f64 {
        self.densest
            .iter()
            .copied()
            .chain([self.held, self.repeated])
            .fold(0.0, f64::max)
    }

    /// How many requests came to a backend between two times.
    pub fn came(&self, member: usize, from: f64, to: f64) -> usize {
        self.came
            .iter()
            .filter(|(at, n)| *n == member && (from..to).contains(at))
            .count()
    }

    /// The part of what was asked of a process between two times that it served.
    pub fn served(&self, at: usize, from: f64, to: f64) -> f64 {
        let asked = self
            .outcomes
            .iter()
            .filter(|(of, sent, _)| *of == at && (from..to).contains(sent));
        let (mut all, mut served) = (0.0f64, 0.0);
        for (_, _, status) in asked {
            all += 1.0;
            served += f64::from(u8::from(*status == Some(200)));
        }
        served / all.max(1.0)
    }

    /// The mean served a second between two times, as a part of a rate.
    pub fn used(&self, from: f64, to: f64, rate: f64) -> f64 {
        self.arrivals
            .iter()
            .filter(|at| (from..to).contains(at))
            .count() as f64
            / (to - from)
            / rate
    }
}

/// Draws a drill: what was offered and what came, by second.
pub fn plot(plan: &Plan, report: &Report, path: &std::path::Path) -> Result<(), String> {
    use plotters::prelude::*;
    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    let told = |e: &dyn std::fmt::Display| e.to_string();
    area.fill(&WHITE).map_err(|e| told(&e))?;
    let most = report
        .seconds
        .iter()
        .map(|s| s.offered.max(s.arrived))
        .max()
        .unwrap_or(1) as f64
        * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..plan.seconds, 0.0..most)
        .map_err(|e| told(&e))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("requests a second")
        .draw()
        .map_err(|e| told(&e))?;
    type Count = fn(&Second) -> u64;
    let lines: [(RGBColor, Count); 3] = [
        (BLUE, |s| s.offered),
        (RED, |s| s.over + s.refused),
        (GREEN, |s| s.arrived),
    ];
    for (color, count) in lines {
        let points = report
            .seconds
            .iter()
            .enumerate()
            .map(|(at, s)| (at as f64 + 0.5, count(s) as f64));
        chart
            .draw_series(LineSeries::new(points, color))
            .map_err(|e| told(&e))?;
    }
    let whole = [(0.0, plan.rate), (plan.seconds, plan.rate)];
    chart
        .draw_series(LineSeries::new(whole, BLACK))
        .map_err(|e| told(&e))?;
    area.present().map_err(|e| told(&e))
}
