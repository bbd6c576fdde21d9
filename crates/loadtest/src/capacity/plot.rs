//! The series of a report as small charts side by side (SVG), each with its runs and the line that
//! was fitted.

use super::fit::{Fit, Shape};
use super::report::{Axis, Report, Series};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

const COLUMNS: usize = 4;
const CHART: (u32, u32) = (330, 240);
const STEPS: usize = 60;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws a report.
pub fn plot(report: &Report, path: &Path) -> Result<(), String> {
    let charts: Vec<(&Axis, &Series)> = report
        .axes
        .iter()
        .flat_map(|axis| axis.series.iter().map(move |series| (axis, series)))
        .collect();
    let rows = charts.len().div_ceil(COLUMNS).max(1);
    let size = (CHART.0 * COLUMNS as u32, CHART.1 * rows as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    let told = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    area.fill(&WHITE).map_err(told)?;
    for ((axis, series), part) in charts.iter().zip(area.split_evenly((rows, COLUMNS))) {
        chart(axis, series, &part).map_err(told)?;
    }
    area.present().map_err(told)
}

fn chart(
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
    let widest = finite.iter().map(|(x, _)| *x).fold(1e-9, f64::max) * 1.05;
    let highest = finite.iter().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.1;
    let lowest = finite.iter().map(|(_, y)| *y).fold(0.0, f64::min) * 1.1;
    let title = format!("{}: {} ({})", axis.name, series.name, series.unit);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(title, ("sans-serif", 11))
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..widest, lowest..highest)?;
    let style = ("sans-serif", 10);
    chart
        .configure_mesh()
        .x_labels(5)
        .y_labels(5)
        .x_desc(axis.of)
        .label_style(style)
        .draw()?;
    if let Some(model) = series.fit.as_ref().and_then(model) {
        let places = (1..=STEPS).map(|n| widest * n as f64 / STEPS as f64);
        chart.draw_series(LineSeries::new(places.map(|x| (x, model(x))), &BLUE))?;
    }
    chart.draw_series(
        finite
            .iter()
            .map(|place| Circle::new(*place, 2, RED.filled())),
    )?;
    Ok(())
}

/// What was fitted, as a curve; none where neither fits.
fn model(fit: &Fit) -> Option<Box<dyn Fn(f64) -> f64>> {
    let line = fit.line;
    match (fit.shape, fit.power) {
        (Shape::Flat | Shape::Line, _) => Some(Box::new(move |x| line.slope * x + line.intercept)),
        (Shape::Power, Some(power)) => {
            Some(Box::new(move |x| power.factor * x.powf(power.exponent)))
        }
        _ => None,
    }
}
