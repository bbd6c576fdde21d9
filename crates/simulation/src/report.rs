//! Matrices as text, JSON and a heat map.

use crate::matrix::Verdict;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;

/// One row of a matrix: a cell, by whom it was played, and what it came to.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Who decided.
    pub decider: String,
    /// The kind of trouble.
    #[serde(rename = "trouble")]
    pub fault: String,
    /// The rest of the cell, as `2, one bad, 0.8, once`.
    pub setting: String,
    /// What came of it.
    pub verdict: Verdict,
}

fn seconds(time: Option<f64>) -> String {
    time.map_or_else(|| "never".into(), |ms| format!("{:.1} s", ms / 1000.0))
}

/// A table, a line a row.
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
        let v = &row.verdict;
        let _ = writeln!(
            out,
            "{:<12} {:<15} {:<28} {:>7} {:>7.4} {:>7} {:>6} {:>8.3} {:>7} {:>7} {:>6}",
            row.decider,
            row.fault,
            row.setting,
            v.offered,
            v.served_fraction(),
            v.rejected,
            v.failed,
            v.attempts,
            seconds(v.recovered_after),
            seconds(v.share_restored_after),
            v.violations
        );
    }
    out
}

/// The rows as JSON.
pub fn json(rows: &[Row]) -> String {
    serde_json::to_string_pretty(rows).unwrap_or_default()
}

/// A heat map: troubles down, settings across, the part kept in aim as colour and figure. `Err`
/// tells what could not be drawn.
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
        let drawn = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
        root.fill(&WHITE).map_err(drawn)?;
        let label = ("sans-serif", 11).into_font().color(&BLACK);
        for (y, line) in lines.iter().enumerate() {
            let at = (4, top as i32 + cell.1 as i32 * y as i32 + 3);
            root.draw(&Text::new(line.clone(), at, label.clone()))
                .map_err(drawn)?;
        }
        let upright = label.clone().transform(FontTransform::Rotate270);
        for (x, column) in columns.iter().enumerate() {
            let at = (left as i32 + cell.0 as i32 * x as i32 + 18, top as i32 - 6);
            root.draw(&Text::new(column.clone(), at, upright.clone()))
                .map_err(drawn)?;
        }
        for row in rows {
            let line = format!("{} / {}", row.fault, row.decider);
            let place = (
                columns.iter().position(|c| *c == row.setting),
                lines.iter().position(|l| *l == line),
            );
            let (Some(x), Some(y)) = place else { continue };
            let served_fraction = row.verdict.served_fraction();
            let from = (
                left as i32 + (cell.0 * x as u32) as i32,
                top as i32 + (cell.1 * y as u32) as i32,
            );
            let to = (from.0 + cell.0 as i32 - 1, from.1 + cell.1 as i32 - 1);
            // Red at a half and below, green at all.
            let good = ((served_fraction - 0.5) * 2.0).clamp(0.0, 1.0);
            let colour = HSLColor(good / 3.0, 0.75, 0.7);
            root.draw(&Rectangle::new([from, to], colour.filled()))
                .map_err(drawn)?;
            let at = (from.0 + 8, from.1 + 3);
            root.draw(&Text::new(
                format!("{served_fraction:.3}"),
                at,
                label.clone(),
            ))
            .map_err(drawn)?;
        }
        root.present().map_err(drawn)?;
    }
    Ok(out)
}
