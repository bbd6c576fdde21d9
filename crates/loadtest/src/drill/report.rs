//! The results of a drill.

use super::schedule::Plan;
use serde::Serialize;

/// Delay of the harness, in milliseconds, from which on the results are inconclusive.
const MAX_HARNESS_DELAY_MS: f64 = 250.0;

/// Counts of one second of a drill.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Requests that clients sent in this second.
    pub offered: u64,
    /// Responses with status 200.
    pub served: u64,
    /// Responses with status 429: rejected as over a budget.
    #[serde(rename = "over")]
    pub over_budget: u64,
    /// Responses with status 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Responses with another status, and requests without a response.
    pub failed: u64,
    /// Requests that reached backends, without those whose idempotency key the backend's cell had
    /// already received.
    pub arrived: u64,
}

/// The results of a drill. Times are in seconds from the start of the run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the plan.
    pub name: String,
    /// Counts by second.
    pub seconds: Vec<Second>,
    /// Maximum number of first attempts that reached backends in any window of 1 s, and of 5 s, as a
    /// fraction of what rate and burst allow in the window and the delay of the harness.
    #[serde(rename = "densest")]
    pub max_window_fractions: [f64; 2],
    /// Maximum sum of the shares of the budget that all processes held at one time according to
    /// their logs, as a fraction of the total rate less the floors of the voters.
    #[serde(rename = "held")]
    pub max_held_fraction: f64,
    /// Maximum number of retries in any window of 1 s, as a fraction of what the rate and burst of
    /// the retry budget allow in the window and the delay of the harness.
    #[serde(rename = "repeated")]
    pub max_retry_fraction: f64,
    /// Maximum number of requests in progress at one backend.
    #[serde(rename = "most_open")]
    pub max_in_flight: usize,
    /// Maximum delay of the harness itself, in milliseconds. Packets and requests may have been
    /// delayed as much.
    #[serde(rename = "late_ms")]
    pub harness_delay_ms: f64,
    /// Violations of the rules of [`crate::audit`]. A request without a response is one unless its
    /// process was killed, suspended, shutting down or just restarted meanwhile.
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
    /// For each drain, by an order or by an endpoint list: the time from it to the last request
    /// that reached the member, in milliseconds, and the number of requests that reached it 250 ms
    /// after the drain or later.
    pub drains: Vec<(f64, usize)>,
    /// Process, time and final status of each request.
    #[serde(skip)]
    pub outcomes: Vec<(usize, f64, Option<u16>)>,
    /// Time of each request that reached a backend, and the index of the backend.
    #[serde(skip)]
    pub arrivals: Vec<(f64, usize)>,
    /// Times of the requests that reached backends, in ascending order.
    #[serde(skip)]
    pub arrival_times: Vec<f64>,
    /// Log of each process, over all its starts.
    #[serde(skip)]
    pub logs: Vec<String>,
}

impl Report {
    /// Returns whether the machine kept up with the run, so that the results are valid.
    pub fn is_conclusive(&self) -> bool {
        self.harness_delay_ms < MAX_HARNESS_DELAY_MS
    }

    /// Returns the maximum fraction of a limit that was used; above 1 a limit was exceeded.
    pub fn max_limit_fraction(&self) -> f64 {
        self.max_window_fractions
            .iter()
            .copied()
            .chain([self.max_held_fraction, self.max_retry_fraction])
            .fold(0.0, f64::max)
    }

    /// Returns the number of requests that reached a backend between two times.
    pub fn arrival_count(&self, member: usize, from_s: f64, to_s: f64) -> usize {
        self.arrivals
            .iter()
            .filter(|(at_s, backend)| *backend == member && (from_s..to_s).contains(at_s))
            .count()
    }

    /// Returns the fraction of requests to a process between two times that were served.
    pub fn served_fraction(&self, process: usize, from_s: f64, to_s: f64) -> f64 {
        let requests = self
            .outcomes
            .iter()
            .filter(|(to, sent_s, _)| *to == process && (from_s..to_s).contains(sent_s));
        let (mut request_count, mut served_count) = (0.0f64, 0.0);
        for (_, _, status) in requests {
            request_count += 1.0;
            served_count += f64::from(u8::from(*status == Some(200)));
        }
        served_count / request_count.max(1.0)
    }

    /// Returns the mean rate of requests that reached backends between two times, as a fraction of
    /// the given rate.
    pub fn used_fraction(&self, from_s: f64, to_s: f64, rate: f64) -> f64 {
        self.arrival_times
            .iter()
            .filter(|at_s| (from_s..to_s).contains(at_s))
            .count() as f64
            / (to_s - from_s)
            / rate
    }
}

/// Plots the requests that were offered, rejected and received by backends per second, and the rate
/// of the budget, as an SVG file.
pub fn plot(plan: &Plan, report: &Report, path: &std::path::Path) -> Result<(), String> {
    use plotters::prelude::*;
    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    let describe = |e: &dyn std::fmt::Display| e.to_string();
    area.fill(&WHITE).map_err(|e| describe(&e))?;
    let max_rate = report
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
        .build_cartesian_2d(0.0..plan.seconds, 0.0..max_rate)
        .map_err(|e| describe(&e))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("requests per second")
        .draw()
        .map_err(|e| describe(&e))?;
    type Count = fn(&Second) -> u64;
    let lines: [(RGBColor, Count); 3] = [
        (BLUE, |s| s.offered),
        (RED, |s| s.over_budget + s.rejected),
        (GREEN, |s| s.arrived),
    ];
    for (color, count) in lines {
        let points = report
            .seconds
            .iter()
            .enumerate()
            .map(|(second, s)| (second as f64 + 0.5, count(s) as f64));
        chart
            .draw_series(LineSeries::new(points, color))
            .map_err(|e| describe(&e))?;
    }
    let budget_rate = [(0.0, plan.rate), (plan.seconds, plan.rate)];
    chart
        .draw_series(LineSeries::new(budget_rate, BLACK))
        .map_err(|e| describe(&e))?;
    area.present().map_err(|e| describe(&e))
}
