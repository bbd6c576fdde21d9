//! Output of a matrix as text, JSON or a heat map.

use crate::matrix::Verdict;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;

/// One row of a report: a cell, the balancer that decided, and the result.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the balancer that decided.
    pub decider: String,
    /// Name of the fault.
    #[serde(rename = "trouble")]
    pub fault: String,
    /// The other properties of the cell, such as `2, One, 0.8, Once`.
    pub setting: String,
    /// Result of the cell.
    pub verdict: Verdict,
}

fn format_seconds(time_ms: Option<f64>) -> String {
    time_ms.map_or_else(|| "never".into(), |ms| format!("{:.1} s", ms / 1000.0))
}

/// Formats the rows as a table with one line for each row.
pub fn text(rows: &[Row]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<12} {:<15} {:<28} {:>7} {:>7} {:>7} {:>6} {:>8} {:>7} {:>7} {:>6}",
        "decider",
        "trouble",
        "pool, bad, load, effect",
        "offered",
        "in aim",
        "refused",
        "failed",
        "attempts",
        "holds",
        "share",
        "broken"
    );
    for row in rows {
        let verdict = &row.verdict;
        let _ = writeln!(
            out,
            "{:<12} {:<15} {:<28} {:>7} {:>7.4} {:>7} {:>6} {:>8.3} {:>7} {:>7} {:>6}",
            row.decider,
            row.fault,
            row.setting,
            verdict.offered,
            verdict.served_fraction(),
            verdict.rejected,
            verdict.failed,
            verdict.attempts,
            format_seconds(verdict.recovered_after),
            format_seconds(verdict.share_restored_after),
            verdict.violations
        );
    }
    out
}

/// Formats the rows as JSON.
pub fn json(rows: &[Row]) -> String {
    serde_json::to_string_pretty(rows).unwrap_or_default()
}

/// Draws a heat map in SVG, with a line for each fault and balancer and a column for each setting.
/// Colour and figure show the fraction of requests served within the objective.
///
/// # Errors
///
/// Returns the error text of the drawing library.
pub fn svg(rows: &[Row]) -> Result<String, String> {
    fn distinct(names: impl Iterator<Item = String>) -> Vec<String> {
        names.fold(Vec::new(), |mut all, name| {
            if !all.contains(&name) {
                all.push(name);
            }
            all
        })
    }
    let lines = distinct(
        rows.iter()
            .map(|row| format!("{} / {}", row.fault, row.decider)),
    );
    let columns = distinct(rows.iter().map(|row| row.setting.clone()));
    let (cell, left, top) = ((54, 18), 210, 190);
    let size = (
        left + cell.0 * columns.len() as u32 + 10,
        top + cell.1 * lines.len() as u32 + 10,
    );
    let mut out = String::new();
    {
        let root = SVGBackend::with_string(&mut out, size).into_drawing_area();
        let error_text = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
        root.fill(&WHITE).map_err(error_text)?;
        let label = ("sans-serif", 11).into_font().color(&BLACK);
        for (y, line) in lines.iter().enumerate() {
            let at = (4, top as i32 + cell.1 as i32 * y as i32 + 3);
            root.draw(&Text::new(line.clone(), at, label.clone()))
                .map_err(error_text)?;
        }
        let vertical_label = label.clone().transform(FontTransform::Rotate270);
        for (x, column) in columns.iter().enumerate() {
            let at = (left as i32 + cell.0 as i32 * x as i32 + 18, top as i32 - 6);
            root.draw(&Text::new(column.clone(), at, vertical_label.clone()))
                .map_err(error_text)?;
        }
        for row in rows {
            let line = format!("{} / {}", row.fault, row.decider);
            let position = (
                columns.iter().position(|c| *c == row.setting),
                lines.iter().position(|l| *l == line),
            );
            let (Some(x), Some(y)) = position else {
                continue;
            };
            let served_fraction = row.verdict.served_fraction();
            let from = (
                left as i32 + (cell.0 * x as u32) as i32,
                top as i32 + (cell.1 * y as u32) as i32,
            );
            let to = (from.0 + cell.0 as i32 - 1, from.1 + cell.1 as i32 - 1);
            // The colour goes from red at 0.5 and below to green at 1.
            let scale = ((served_fraction - 0.5) * 2.0).clamp(0.0, 1.0);
            let colour = HSLColor(scale / 3.0, 0.75, 0.7);
            root.draw(&Rectangle::new([from, to], colour.filled()))
                .map_err(error_text)?;
            let at = (from.0 + 8, from.1 + 3);
            root.draw(&Text::new(
                format!("{served_fraction:.3}"),
                at,
                label.clone(),
            ))
            .map_err(error_text)?;
        }
        root.present().map_err(error_text)?;
    }
    Ok(out)
}
