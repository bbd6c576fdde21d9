//! Runs the cases of [`dewrun_fleet::simulation`] (cold starts, restarts, packet loss and
//! partitions of fleets of any size), and formats their results.

use dewrun_fleet::simulation::{run_case, Bound, Case, Row, Settings, Unit};
use serde::Serialize;
use std::cmp::Reverse;
use std::fmt::Write;
use std::panic::resume_unwind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The results of one case.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the case on the command line.
    pub case: &'static str,
    /// Number of processes in the fleet.
    pub processes: usize,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Fraction of the packets that was lost.
    pub loss: f64,
    /// Measurements of the case, in order.
    pub rows: Vec<JudgedRow>,
}

/// A measurement and whether it is within its bound.
#[derive(Clone, Debug, Serialize)]
pub struct JudgedRow {
    /// The measurement, its unit and its bound.
    #[serde(flatten)]
    pub row: Row,
    /// Whether the figure is within its bound; `None` if it has no bound.
    pub passed: Option<bool>,
}

impl From<Row> for JudgedRow {
    fn from(row: Row) -> JudgedRow {
        JudgedRow {
            passed: row.passed(),
            row,
        }
    }
}

impl Report {
    /// Runs one case.
    pub fn run(case: Case, settings: Settings) -> Report {
        let rows = run_case(case, settings).rows();
        Report {
            case: case.name(),
            processes: settings.processes,
            seed: settings.seed,
            loss: settings.loss,
            rows: rows.into_iter().map(JudgedRow::from).collect(),
        }
    }

    /// Returns whether all measurements are within their bounds.
    pub fn passed(&self) -> bool {
        self.rows.iter().all(|row| row.passed != Some(false))
    }
}

/// A queue from which threads take cases.
struct CaseQueue<'a> {
    cases: &'a [Case],
    /// Indices of the cases, in descending order of duration.
    order: Vec<usize>,
    taken: AtomicUsize,
}

impl<'a> CaseQueue<'a> {
    fn new(cases: &'a [Case]) -> CaseQueue<'a> {
        let mut order: Vec<usize> = (0..cases.len()).collect();
        order.sort_by_key(|index| Reverse(cases[*index].duration()));
        CaseQueue {
            cases,
            order,
            taken: AtomicUsize::new(0),
        }
    }

    /// Returns the next case with its index, or `None` if all cases were taken.
    fn take(&self) -> Option<(usize, Case)> {
        let taken = self.taken.fetch_add(1, Ordering::Relaxed);
        let index = *self.order.get(taken)?;
        Some((index, self.cases[index]))
    }
}

/// Runs cases on all processors, the longest first, and returns their reports in the order of
/// `cases`. `finished` is called with the real time that each case took.
///
/// # Panics
///
/// Panics if a case panics.
pub fn run_all(
    cases: &[Case],
    settings: Settings,
    finished: impl Fn(Case, Duration) + Sync,
) -> Vec<Report> {
    let queue = CaseQueue::new(cases);
    let run_next = || {
        let (index, case) = queue.take()?;
        let began_at = Instant::now();
        let report = Report::run(case, settings);
        finished(case, began_at.elapsed());
        Some((index, report))
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
            .map(|worker| worker.join().unwrap_or_else(|panic| resume_unwind(panic)));
        joined.flatten().collect()
    });
    reports.sort_by_key(|(index, _)| *index);
    reports.into_iter().map(|(_, report)| report).collect()
}

/// Formats a table for each case, with a line for each row, and the number of exceeded bounds.
pub fn text(reports: &[Report]) -> String {
    let mut out = String::new();
    for report in reports {
        write_report(&mut out, report);
    }
    let rows = reports.iter().flat_map(|report| &report.rows);
    let results: Vec<bool> = rows.filter_map(|row| row.passed).collect();
    let exceeded = results.iter().filter(|passed| !**passed).count();
    let _ = writeln!(out, "{} bounds, {exceeded} broken", results.len());
    out
}

fn write_report(out: &mut String, report: &Report) {
    let Report {
        case,
        processes,
        seed,
        loss,
        rows,
    } = report;
    let _ = writeln!(
        out,
        "{case}: {processes} processes, seed {seed}, loss {loss}"
    );
    let _ = writeln!(
        out,
        "  {:<27} {:>7}  {:<43} {:>9}  {:>9} {:<8} held",
        "event", "after s", "measured", "wanted", "", "unit"
    );
    rows.iter().for_each(|row| write_row(out, row));
    let _ = writeln!(out);
}

fn write_row(out: &mut String, JudgedRow { row, passed }: &JudgedRow) {
    let after = row
        .after_s
        .map_or_else(String::new, |after| format!("{after}"));
    let bound = row.bound.map_or_else(String::new, bound_text);
    let measured = row
        .measured
        .map_or_else(|| "not yet".into(), |figure| figure_text(row.unit, figure));
    let unit = match row.unit {
        Unit::Seconds if row.measured.is_some() => "s",
        Unit::Members | Unit::Seconds => "",
        Unit::BytesPerSecond => "bytes/s",
        Unit::Packets => "packets",
    };
    let verdict = match passed {
        Some(true) => "yes",
        Some(false) => "NO",
        None => "",
    };
    let line = format!(
        "  {:<27} {after:>7}  {:<43} {bound:>9}  {measured:>9} {unit:<8} {verdict}",
        row.event, row.quantity
    );
    let _ = writeln!(out, "{}", line.trim_end());
}

fn bound_text(bound: Bound) -> String {
    match bound {
        Bound::AtLeast(bound) => format!(">= {bound}"),
        Bound::AtMost(bound) => format!("<= {bound}"),
        Bound::Below(bound) => format!("< {bound}"),
    }
}

fn figure_text(unit: Unit, figure: f64) -> String {
    match unit {
        Unit::Members if figure.fract() == 0.0 => format!("{figure}"),
        Unit::Members => format!("{figure:.2}"),
        Unit::Seconds => format!("{figure:.1}"),
        Unit::BytesPerSecond | Unit::Packets => format!("{figure:.0}"),
    }
}

/// Formats the reports as JSON.
pub fn json(reports: &[Report]) -> String {
    serde_json::to_string_pretty(reports).unwrap_or_default()
}
