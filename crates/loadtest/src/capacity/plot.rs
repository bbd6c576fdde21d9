//! Plots the series of a report as a grid of charts (SVG), each with its runs and the fitted curve.

use super::fit::{Fit, Shape};
use super::report::{Axis, Report, Series};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

const COLUMNS: usize = 4;
const CHART_SIZE: (u32, u32) = (330, 240);
const CURVE_STEPS: usize = 60;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Writes the plot of a report to a file.
pub fn plot(report: &Report, path: &Path) -> Result<(), String> {
    let charts: Vec<(&Axis, &Series)> = report
        .axes
        .iter()
        .flat_map(|axis| axis.series.iter().map(move |series| (axis, series)))
        .collect();
    let rows = charts.len().div_ceil(COLUMNS).max(1);
    let size = (CHART_SIZE.0 * COLUMNS as u32, CHART_SIZE.1 * rows as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    let describe = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    area.fill(&WHITE).map_err(describe)?;
    for ((axis, series), cell) in charts.iter().zip(area.split_evenly((rows, COLUMNS))) {
        draw_chart(axis, series, &cell).map_err(describe)?;
    }
    area.present().map_err(describe)
}

fn draw_chart(
    axis: &Axis,
    series: &Series,
    area: &Area<'_>,
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let runs: Vec<(f64, f64)> = series
        .points
        .iter()
        .flat_map(|point| point.runs.iter().map(|run| (point.x, *run)))
        .collect();
    let finite: Vec<(f64, f64)> = runs.into_iter().filter(|(_, y)| y.is_finite()).collect();
    let max_x = finite.iter().map(|(x, _)| *x).fold(1e-9, f64::max) * 1.05;
    let max_y = finite.iter().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.1;
    let min_y = finite.iter().map(|(_, y)| *y).fold(0.0, f64::min) * 1.1;
    let title = format!("{}: {} ({})", axis.name, series.name, series.unit);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(title, ("sans-serif", 11))
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..max_x, min_y..max_y)?;
    let style = ("sans-serif", 10);
    chart
        .configure_mesh()
        .x_labels(5)
        .y_labels(5)
        .x_desc(axis.variable)
        .label_style(style)
        .draw()?;
    if let Some(curve) = series.fit.as_ref().and_then(fitted_curve) {
        let xs = (1..=CURVE_STEPS).map(|n| max_x * n as f64 / CURVE_STEPS as f64);
        chart.draw_series(LineSeries::new(xs.map(|x| (x, curve(x))), &BLUE))?;
    }
    chart.draw_series(
        finite
            .iter()
            .map(|point| Circle::new(*point, 2, RED.filled())),
    )?;
    Ok(())
}

/// Returns the fitted curve; `None` if neither a line nor a power law fits.
fn fitted_curve(fit: &Fit) -> Option<Box<dyn Fn(f64) -> f64>> {
    let line = fit.line;
    match (fit.shape, fit.power) {
        (Shape::Flat | Shape::Line, _) => Some(Box::new(move |x| line.slope * x + line.intercept)),
        (Shape::Power, Some(power)) => {
            Some(Box::new(move |x| power.factor * x.powf(power.exponent)))
        }
        _ => None,
    }
}
