//! Checks rule 4: an endpoint that has just started is not overloaded.

use super::records::{EndpointRestart, Records};
use super::Deployment;
use crate::audit::Violation;
use std::time::{Duration, Instant};

/// The requests per second that a warm endpoint can serve, well below the rate of all clients
/// together.
const WARM_CAPACITY_PER_S: f64 = 1_000.0;
/// The fraction of the warm capacity that an endpoint has at its start. The settings of both
/// deployments have the same value.
const COLD_FRACTION: f64 = 0.3;
/// An endpoint is overloaded if it gets more than this multiple of its capacity in
/// [`OVERLOAD_WINDOW`].
const OVERLOAD_FACTOR: f64 = 3.0;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);

/// Returns the time until an endpoint is warm, by the settings of a deployment. Its capacity rises
/// linearly until then.
pub fn warm_up_time(deployment: Deployment) -> Duration {
    match deployment {
        Deployment::Platform => Duration::from_secs(8),
        Deployment::Fleet => Duration::from_secs(10),
    }
}

/// Returns the endpoints that were overloaded after the processes were notified of their start,
/// each with the number of requests in the first window that shows it.
pub fn overloaded_endpoints(records: &Records) -> impl Iterator<Item = Violation> + '_ {
    records.endpoint_restarts.iter().filter_map(|restart| {
        let warm_up = warm_up_time(records.deployment);
        let count = first_overload(restart, warm_up, &arrivals(records, restart))?;
        Some(Violation::Overload(restart.endpoint, count))
    })
}

/// Returns the arrival times of requests at an endpoint, in order, from the notification of its
/// start until it is warm or stops again.
fn arrivals(records: &Records, restart: &EndpointRestart) -> Vec<Instant> {
    let restarts = records
        .endpoint_restarts
        .iter()
        .filter(|next| next.endpoint == restart.endpoint);
    let next_stop = restarts
        .map(|next| next.stopped_at)
        .find(|stopped_at| *stopped_at > restart.started_at);
    let warm_at = restart.started_at + warm_up_time(records.deployment);
    let end = next_stop.map_or(warm_at, |stopped_at| stopped_at.min(warm_at));
    let executions = records
        .executions
        .iter()
        .filter(|execution| execution.backend == restart.endpoint);
    let since_notification = executions
        .map(|execution| execution.at)
        .filter(|at| *at >= restart.notified_at && *at < end);
    let mut arrivals: Vec<Instant> = since_notification.collect();
    arrivals.sort_unstable();
    arrivals
}

/// Returns the number of requests in the first window that has too many.
fn first_overload(
    restart: &EndpointRestart,
    warm_up: Duration,
    arrivals: &[Instant],
) -> Option<usize> {
    arrivals.iter().enumerate().find_map(|(first, from)| {
        let count = arrivals[first..].partition_point(|at| *at < *from + OVERLOAD_WINDOW);
        let is_too_many = count as f64 > max_requests(*from - restart.started_at, warm_up);
        is_too_many.then_some(count)
    })
}

/// Returns the maximum number of requests in a window that begins at an age of the endpoint:
/// N + 2 * sqrt(N) + 2, where N is the overload factor times the capacity at that age times the
/// length of the window.
fn max_requests(age: Duration, warm_up: Duration) -> f64 {
    let warmth = (age.as_secs_f64() / warm_up.as_secs_f64()).min(1.0);
    let capacity_per_s = WARM_CAPACITY_PER_S * (COLD_FRACTION + (1.0 - COLD_FRACTION) * warmth);
    let n = OVERLOAD_FACTOR * capacity_per_s * OVERLOAD_WINDOW.as_secs_f64();
    n + 2.0 * n.sqrt() + 2.0
}
