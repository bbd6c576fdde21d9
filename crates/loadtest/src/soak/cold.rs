//! Rule 4: no endpoint that has just started falls over.

use super::records::{EndpointRestart, Records};
use super::Deployment;
use crate::audit::Violation;
use std::time::{Duration, Instant};

/// Requests a second that an endpoint bears once it is warm: well below what all clients send.
const WARM_PER_S: f64 = 1_000.0;
/// The part of it that it bears at its start. The settings of both forms say the same.
const COLD_FROM: f64 = 0.3;
/// It falls over at this multiple of what it bears, over such a time.
const FALL_MULTIPLE: f64 = 3.0;
const FALL_WINDOW: Duration = Duration::from_secs(3);

/// When it is warm by the settings of each form; what it bears rises evenly until then.
pub fn warm_up(deployment: Deployment) -> Duration {
    match deployment {
        Deployment::Platform => Duration::from_secs(8),
        Deployment::Fleet => Duration::from_secs(10),
    }
}

/// The endpoints that got more than they bore after the processes were notified of their starts.
pub fn pushed_over(records: &Records) -> impl Iterator<Item = Violation> + '_ {
    records.endpoint_restarts.iter().filter_map(|restart| {
        let count = overload(restart, warm_up(records.deployment), &arrivals(records, restart))?;
        Some(Violation::Overload(restart.endpoint, count))
    })
}

/// What an endpoint was sent from its start on until it was warm or ended again, in order.
fn arrivals(records: &Records, restart: &EndpointRestart) -> Vec<Instant> {
    let ends = records
        .endpoint_restarts
        .iter()
        .filter(|next| next.endpoint == restart.endpoint);
    let next_end = ends
        .map(|next| next.ended)
        .find(|ended| *ended > restart.started);
    let is_warm = restart.started + warm_up(records.deployment);
    let end = next_end.map_or(is_warm, |ended| ended.min(is_warm));
    let ran = records
        .ran
        .iter()
        .filter(|ran| ran.backend == restart.endpoint);
    let since_start = ran
        .map(|ran| ran.at)
        .filter(|at| *at >= restart.notified && *at < end);
    let mut arrivals: Vec<Instant> = since_start.collect();
    arrivals.sort_unstable();
    arrivals
}

/// How many came in the first window in which they were too many.
fn overload(restart: &EndpointRestart, warm_up: Duration, arrivals: &[Instant]) -> Option<usize> {
    arrivals.iter().enumerate().find_map(|(first, from)| {
        let within = arrivals[first..].partition_point(|at| *at < *from + FALL_WINDOW);
        let is_too_many = within as f64 > bound(*from - restart.started, warm_up);
        is_too_many.then_some(within)
    })
}

/// The most requests in a window that begins so long after the start: N + 2 x root of N + 2.
fn bound(age: Duration, warm_up: Duration) -> f64 {
    let warmth = (age.as_secs_f64() / warm_up.as_secs_f64()).min(1.0);
    let bears_per_s = WARM_PER_S * (COLD_FROM + (1.0 - COLD_FROM) * warmth);
    let n = FALL_MULTIPLE * bears_per_s * FALL_WINDOW.as_secs_f64();
    n + 2.0 * n.sqrt() + 2.0
}
