//! What is read out of the times of requests and the logs of processes.

use std::time::Instant;

/// The time from a drain to the last request that came to its member, in milliseconds, and how many
/// came late.
pub(super) fn lag(
    arrivals: &[(Instant, usize, String)],
    start: Instant,
    (member, from, to): (usize, f64, f64),
) -> (f64, usize) {
    let after = arrivals
        .iter()
        .filter(|(_, at, _)| *at == member)
        .map(|(at, ..)| (*at - start).as_secs_f64());
    let after: Vec<f64> = after
        .filter(|at| (from..to).contains(at))
        .map(|at| (at - from) * 1e3)
        .collect();
    (
        after.iter().copied().fold(0.0, f64::max),
        after.iter().filter(|ms| **ms >= 250.0).count(),
    )
}

/// The most in any window, as a part of what rate and burst allow there, and while the harness was
/// late.
pub(super) fn densest(times: &mut [f64], window: f64, (rate, burst, late): (f64, f64, f64)) -> f64 {
    times.sort_by(f64::total_cmp);
    let mut from = 0;
    let counts = times.iter().enumerate().map(|(at, time)| {
        while time - times[from] >= window {
            from += 1;
        }
        at - from + 1
    });
    counts.max().unwrap_or(0) as f64 / (rate * (window + late) + burst)
}

/// A field of a line of the log.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

/// The most of a budget that all processes held at one time, in all their lives, as a part of
/// `whole` units: each says in its trace what it was told to hold and until when, by the one clock
/// of this machine.
pub(super) fn held(logs: &[String], budget: &str, whole: f64) -> f64 {
    // When a share begins to count more or less: (at, by how much).
    let mut steps: Vec<(u64, i64)> = Vec::new();
    for log in logs {
        let mut before: Option<(u64, i64)> = None;
        for line in log.lines().filter(|line| line.contains("event=lease")) {
            let number = |name| field(line, name).and_then(|text| text.parse::<u64>().ok());
            let (Some(at), Some(until), Some(units)) =
                (number("at"), number("until"), number("units"))
            else {
                continue;
            };
            if field(line, "budget") != Some(budget)
                || field(line, "member").is_some_and(|m| !m.trim_matches('"').is_empty())
            {
                continue;
            }
            if let Some((end, units)) = before.replace((until, units as i64)) {
                // A share ends with the next, or by itself. One whose holder was killed goes on to
                // its end.
                steps.push((at.min(end), -units));
            }
            steps.push((at, units as i64));
            if units == 0 {
                before = None;
            }
        }
        steps.extend(before.map(|(end, units)| (end, -units)));
    }
    // Less before more: what ends at a moment is not held at it.
    steps.sort_unstable();
    let (mut sum, mut most) = (0, 0);
    for (_, by) in steps {
        sum += by;
        most = most.max(sum);
    }
    most as f64 / whole
}
