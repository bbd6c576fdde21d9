//! Values computed from the times of requests and the logs of processes.

use super::backends::Arrival;
use std::time::Instant;

/// Time from which a request that reaches a drained member counts as late, in milliseconds after
/// the drain.
const LATE_AFTER_DRAIN_MS: f64 = 250.0;

/// Span in which a member is drained, in seconds since the start of the drill.
pub(super) struct DrainSpan {
    pub(super) member: usize,
    pub(super) from_s: f64,
    pub(super) to_s: f64,
}

/// Returns the time from a drain to the last request that reached the member during it, in
/// milliseconds, and the number of late requests.
pub(super) fn drain_lag(arrivals: &[Arrival], start: Instant, drain: &DrainSpan) -> (f64, usize) {
    let times_s = arrivals
        .iter()
        .filter(|arrival| arrival.backend == drain.member)
        .map(|arrival| (arrival.at - start).as_secs_f64());
    let after_ms: Vec<f64> = times_s
        .filter(|at_s| (drain.from_s..drain.to_s).contains(at_s))
        .map(|at_s| (at_s - drain.from_s) * 1e3)
        .collect();
    (
        after_ms.iter().copied().fold(0.0, f64::max),
        after_ms
            .iter()
            .filter(|ms| **ms >= LATE_AFTER_DRAIN_MS)
            .count(),
    )
}

/// A rate limit, and the delay of the harness, which may move requests closer together.
#[derive(Clone, Copy)]
pub(super) struct WindowLimit {
    pub(super) rate: f64,
    pub(super) burst: f64,
    pub(super) harness_delay_s: f64,
}

/// Returns the maximum number of requests in any window of a length in seconds, as a fraction of
/// what the rate and the burst allow in the window and the delay of the harness. Sorts the times.
pub(super) fn max_window_fraction(times_s: &mut [f64], window_s: f64, limit: WindowLimit) -> f64 {
    times_s.sort_by(f64::total_cmp);
    let mut first = 0;
    let counts = times_s.iter().enumerate().map(|(last, time_s)| {
        while time_s - times_s[first] >= window_s {
            first += 1;
        }
        last - first + 1
    });
    counts.max().unwrap_or(0) as f64
        / (limit.rate * (window_s + limit.harness_delay_s) + limit.burst)
}

/// Returns the value of a field of a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the maximum sum of the shares of a budget that all processes held at one time, as a
/// fraction of `total` units. A process logs each share that it is granted, and when the share
/// expires (`event=lease`). The times of all logs are comparable, as all processes use the clock of
/// this machine. A log spans all starts of its process. Shares of a budget for each member are
/// ignored.
pub(super) fn max_held_fraction(logs: &[String], budget: &str, total: f64) -> f64 {
    // Times at which the sum of the shares changes, and the amounts, in units.
    let mut changes: Vec<(u64, i64)> = Vec::new();
    for log in logs {
        // Expiry and units of the previous share.
        let mut previous: Option<(u64, i64)> = None;
        for line in log.lines().filter(|line| line.contains("event=lease")) {
            let number_of = |name| field(line, name).and_then(|text| text.parse::<u64>().ok());
            let (Some(at), Some(until), Some(units)) =
                (number_of("at"), number_of("until"), number_of("units"))
            else {
                continue;
            };
            if field(line, "budget") != Some(budget)
                || field(line, "member").is_some_and(|member| !member.trim_matches('"').is_empty())
            {
                continue;
            }
            if let Some((end, previous_units)) = previous.replace((until, units as i64)) {
                // A share ends when the next one replaces it, or when it expires. The share of a
                // killed process is held until it expires.
                changes.push((at.min(end), -previous_units));
            }
            changes.push((at, units as i64));
            if units == 0 {
                previous = None;
            }
        }
        changes.extend(previous.map(|(end, units)| (end, -units)));
    }
    // Sorts decreases before increases: a share is not held at the time of its end.
    changes.sort_unstable();
    let (mut held_units, mut max_held_units) = (0, 0);
    for (_, change) in changes {
        held_units += change;
        max_held_units = max_held_units.max(held_units);
    }
    max_held_units as f64 / total
}
