//! Runs the cases of [`dewrun_fleet::simulation`] (cold starts, restarts, losses and partitions of
//! fleets of any size), and prints their figures.

use dewrun_fleet::simulation::{run_case, Bound, Case, Row, Settings, Unit};
use serde::Serialize;
use std::cmp::Reverse;
use std::fmt::Write;
use std::panic::resume_unwind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The figures of one case.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the case.
    pub case: &'static str,
    /// How many processes the fleet had.
    pub processes: usize,
    /// The seed.
    pub seed: u64,
    /// The fraction of packets that was lost.
    pub loss: f64,
    /// What was measured.
    pub rows: Vec<JudgedRow>,
}

/// A row, and whether it keeps to its bound.
#[derive(Clone, Debug, Serialize)]
pub struct JudgedRow {
    /// The row.
    #[serde(flatten)]
    pub row: Row,
    /// Whether the figure keeps to its bound; `None` if it has none.
    pub passed: Option<bool>,
}

impl Report {
    /// Runs a case.
    pub fn run(case: Case, settings: Settings) -> Report {
        let judged = |row: Row| JudgedRow {
            passed: row.passed(),
            row,
        };
        Report {
            case: case.name(),
            processes: settings.processes,
            seed: settings.seed,
            loss: settings.loss,
            rows: run_case(case, settings)
                .rows()
                .into_iter()
                .map(judged)
                .collect(),
        }
    }

    /// Whether all rows keep to their bounds.
    pub fn passed(&self) -> bool {
        self.rows.iter().all(|row| row.passed != Some(false))
    }
}

/// Runs cases on all processors, the longest first. `finished` is called with the real time that
/// each took.
pub fn run_all(
    cases: &[Case],
    settings: Settings,
    finished: impl Fn(Case, Duration) + Sync,
) -> Vec<Report> {
    let mut longest_first: Vec<usize> = (0..cases.len()).collect();
    longest_first.sort_by_key(|at| Reverse(cases[*at].duration()));
    let taken = AtomicUsize::new(0);
    let run_next = || {
        let at = *longest_first.get(taken.fetch_add(1, Ordering::Relaxed))?;
        let began = Instant::now();
        let report = Report::run(cases[at], settings);
        finished(cases[at], began.elapsed());
        Some((at, report))
    };
    let threads = thread::available_parallelism()
        .map_or(1, usize::from)
        .min(cases.len());
    let mut reports: Vec<(usize, Report)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|_| scope.spawn(|| std::iter::from_fn(run_next).collect::<Vec<_>>()))
            .collect();
        let joined = workers
            .into_iter()
            .map(|worker| worker.join().unwrap_or_else(|why| resume_unwind(why)));
        joined.flatten().collect()
    });
    reports.sort_by_key(|(at, _)| *at);
    reports.into_iter().map(|(_, report)| report).collect()
}

/// A table for each case, with a line for each row.
pub fn text(reports: &[Report]) -> String {
    let mut out = String::new();
    for Report {
        case,
        processes,
        seed,
        loss,
        rows,
    } in reports
    {
        let _ = writeln!(
            out,
            "{case}: {processes} processes, seed {seed}, loss {loss}"
        );
        let _ = writeln!(
            out,
            "  {:<27} {:>7}  {:<43} {:>9}  {:>9} {:<8} held",
            "event", "after s", "measured", "wanted", "", "unit"
        );
        rows.iter().for_each(|row| line(&mut out, row));
        let _ = writeln!(out);
    }
    let rows = reports.iter().flat_map(|report| &report.rows);
    let checked: Vec<bool> = rows.filter_map(|row| row.passed).collect();
    let broken = checked.iter().filter(|passed| !**passed).count();
    let _ = writeln!(out, "{} bounds, {broken} broken", checked.len());
    out
}

fn line(out: &mut String, JudgedRow { row, passed }: &JudgedRow) {
    let after = row
        .after_s
        .map_or_else(String::new, |after| format!("{after}"));
    let bound = row.bound.map_or_else(String::new, |bound| match bound {
        Bound::AtLeast(bound) => format!(">= {bound}"),
        Bound::AtMost(bound) => format!("<= {bound}"),
        Bound::Below(bound) => format!("< {bound}"),
    });
    let measured = row
        .measured
        .map_or_else(|| "not yet".into(), |measured| figure(row.unit, measured));
    let unit = match row.unit {
        Unit::Seconds if row.measured.is_some() => "s",
        Unit::Members | Unit::Seconds => "",
        Unit::BytesPerSecond => "bytes/s",
        Unit::Packets => "packets",
    };
    let held = match passed {
        Some(true) => "yes",
        Some(false) => "NO",
        None => "",
    };
    let line = format!(
        "  {:<27} {after:>7}  {:<43} {bound:>9}  {measured:>9} {unit:<8} {held}",
        row.event, row.quantity
    );
    let _ = writeln!(out, "{}", line.trim_end());
}

fn figure(unit: Unit, measured: f64) -> String {
    match unit {
        Unit::Members if measured.fract() == 0.0 => format!("{measured}"),
        Unit::Members => format!("{measured:.2}"),
        Unit::Seconds => format!("{measured:.1}"),
        Unit::BytesPerSecond | Unit::Packets => format!("{measured:.0}"),
    }
}

/// The reports as JSON.
pub fn json(reports: &[Report]) -> String {
    serde_json::to_string_pretty(reports).unwrap_or_default()
}
