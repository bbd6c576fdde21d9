//! Measures a phase of a fleet from outside, under a small load: the processor time, memory,
//! packets, latency and views of the real processes, and the views of the hollow ones.

use super::fleet::{has_converged, HollowFleet};
use super::real_process::{RealProcess, ResourceUsage};
use super::report::{HollowViews, Phase, ProcessMetrics, Rate, RequestStats};
use crate::load::{latency_histogram, run, Pace, Plan as Load, Run};
use dewrun_agent::status::Summary;
use dewrun_agent::transport::Traffic;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::{self, Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

/// Rate of requests through each real process. As many go directly to the backend.
const REQUESTS_PER_S: f64 = 20.0;
/// Maximum number of requests of a load client in a phase.
const MAX_REQUESTS: u64 = 100_000;
/// Interval at which the real processes are read.
const READ_INTERVAL: Duration = Duration::from_secs(1);
const GET: &str = "GET /x HTTP/1.1\r\nHost: hollow\r\n\r\n";

/// The state of a real process at one time.
struct Reading {
    at: Instant,
    usage: ResourceUsage,
    view: Option<Summary>,
}

impl Reading {
    fn take(process: &RealProcess) -> Reading {
        Reading {
            at: Instant::now(),
            usage: process.usage(),
            view: process.summary(),
        }
    }
}

/// Reads all real processes at the same time.
fn read_all(fleet: &HollowFleet) -> Vec<Reading> {
    thread::scope(|scope| {
        let threads: Vec<_> = fleet
            .real_processes
            .iter()
            .map(|process| scope.spawn(|| Reading::take(process)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("the thread does not panic"))
            .collect()
    })
}

/// The two load clients of a real process: one sends requests through it, the other directly to
/// the backend, for comparison.
struct LoadClients<'scope> {
    proxied: ScopedJoinHandle<'scope, Run>,
    direct: ScopedJoinHandle<'scope, Run>,
}

impl<'scope> LoadClients<'scope> {
    fn start(
        scope: &'scope Scope<'scope, '_>,
        listen_address: SocketAddr,
        backend: SocketAddr,
        duration: Duration,
    ) -> LoadClients<'scope> {
        let send_requests = move |address| {
            let request = &|_: u64| GET.to_string();
            let pace = Pace::Open(REQUESTS_PER_S);
            run(&Load {
                address,
                clients: 1,
                duration,
                pace,
                max_requests: MAX_REQUESTS,
                request,
            })
        };
        LoadClients {
            proxied: scope.spawn(move || send_requests(listen_address)),
            direct: scope.spawn(move || send_requests(backend)),
        }
    }

    fn join(self) -> LoadResults {
        let proxied = self.proxied.join().expect("the client does not panic");
        let direct = self.direct.join().expect("the client does not panic");
        LoadResults { proxied, direct }
    }
}

/// The results of the two load clients of a real process.
struct LoadResults {
    proxied: Run,
    direct: Run,
}

/// Measures a phase of a fleet under a small load. `begin` is called after the load has started, and
/// returns the number of members that every real process is expected to see from then on.
/// `excluded` is the index of a real process that receives no load and has no metrics in the result;
/// it is still expected to see these members.
pub fn measure(
    fleet: &mut HollowFleet,
    name: &str,
    duration: Duration,
    excluded: Option<usize>,
    begin: impl FnOnce(&mut HollowFleet) -> usize,
) -> Phase {
    fleet.harness_delay.take();
    let started_at = Instant::now();
    let measured_indices: Vec<usize> = (0..fleet.real_processes.len())
        .filter(|index| Some(*index) != excluded)
        .collect();
    let listen_addresses: Vec<SocketAddr> = measured_indices
        .iter()
        .map(|index| fleet.real_processes[*index].listen_address)
        .collect();
    let backend = fleet.backend;
    let mut readings = vec![read_all(fleet)];
    let mut converged_after = None;
    let mut expected_members = 0;
    let load_results: Vec<LoadResults> = thread::scope(|scope| {
        let clients: Vec<LoadClients> = listen_addresses
            .iter()
            .map(|address| LoadClients::start(scope, *address, backend, duration))
            .collect();
        expected_members = begin(fleet);
        let mut next_read = Instant::now() + READ_INTERVAL;
        while started_at.elapsed() < duration {
            thread::sleep(
                next_read
                    .min(started_at + duration)
                    .saturating_duration_since(Instant::now()),
            );
            next_read += READ_INTERVAL;
            let current = read_all(fleet);
            let all_converged = || {
                current
                    .iter()
                    .all(|reading| has_converged(reading.view.as_ref(), expected_members))
            };
            if converged_after.is_none() && all_converged() {
                converged_after = Some(started_at.elapsed());
            }
            readings.push(current);
        }
        clients.into_iter().map(LoadClients::join).collect()
    });
    let hollow_views = fleet.hollow_views();
    let real_processes = measured_indices
        .iter()
        .zip(&load_results)
        .map(|(index, results)| {
            process_metrics(&fleet.real_processes[*index], *index, &readings, results)
        })
        .collect();
    let (proxied, direct) = total_request_stats(&load_results);
    Phase {
        name: name.into(),
        seconds: started_at.elapsed().as_secs_f64(),
        harness_delay_ms: fleet.harness_delay.take().as_secs_f64() * 1e3,
        expected_members,
        fault: None,
        converged_after_s: converged_after.map(|after| after.as_secs_f64()),
        recovered_after_s: None,
        grantor: last_known_grantor(&readings),
        proxied,
        unserved_by_status: unserved_by_status(&load_results),
        direct,
        real_processes,
        hollow_views: summarize_hollow_views(&hollow_views, expected_members),
    }
}

fn summarize_hollow_views(views: &[Summary], expected_members: usize) -> HollowViews {
    HollowViews {
        processes: views.len(),
        min_up: views.iter().map(|view| view.up).min().unwrap_or_default(),
        max_up: views.iter().map(|view| view.up).max().unwrap_or_default(),
        converged: views
            .iter()
            .filter(|view| has_converged(Some(view), expected_members))
            .count(),
    }
}

/// Returns the grantor that a real process knew at the last reading.
fn last_known_grantor(readings: &[Vec<Reading>]) -> Option<SocketAddr> {
    let last = readings.last()?;
    last.iter()
        .find_map(|reading| reading.view.as_ref()?.grantor.as_ref()?.address)
}

/// Returns the results of all proxied and of all direct requests.
fn total_request_stats(load_results: &[LoadResults]) -> (RequestStats, RequestStats) {
    let total = |select: fn(&LoadResults) -> &Run| {
        let mut latencies = latency_histogram();
        let mut unserved = 0;
        for run in load_results.iter().map(select) {
            latencies
                .add(&run.latencies)
                .expect("histograms of the same range");
            unserved += unserved_count(run);
        }
        request_stats(&latencies, unserved)
    };
    (
        total(|results| &results.proxied),
        total(|results| &results.direct),
    )
}

fn unserved_count(run: &Run) -> usize {
    run.outcomes
        .iter()
        .filter(|(_, status)| *status != Some(200))
        .count()
}

/// Returns the number of proxied requests by status, without those of status 200.
fn unserved_by_status(load_results: &[LoadResults]) -> BTreeMap<String, usize> {
    let mut by_status = BTreeMap::new();
    for results in load_results {
        for (status, count) in results.proxied.status_counts() {
            let status = status.map_or("no answer".to_string(), |status| status.to_string());
            *by_status.entry(status).or_default() += count;
        }
    }
    by_status.remove("200");
    by_status
}

fn request_stats(latencies: &Histogram<u64>, unserved: usize) -> RequestStats {
    RequestStats {
        responses: latencies.len(),
        unserved,
        p50_us: latencies.value_at_quantile(0.5),
        p99_us: latencies.value_at_quantile(0.99),
    }
}

fn process_metrics(
    process: &RealProcess,
    index: usize,
    readings: &[Vec<Reading>],
    results: &LoadResults,
) -> ProcessMetrics {
    let own: Vec<&Reading> = readings.iter().filter_map(|all| all.get(index)).collect();
    let (first, last) = (own[0], own[own.len() - 1]);
    let used = last
        .usage
        .processor_time
        .saturating_sub(first.usage.processor_time);
    let elapsed_s = last
        .at
        .duration_since(first.at)
        .as_secs_f64()
        .max(f64::EPSILON);
    let up = own
        .iter()
        .filter_map(|reading| reading.view.as_ref())
        .map(|view| view.up);
    ProcessMetrics {
        name: process.name.clone(),
        address: process.fleet_address,
        processor_percent: used.as_secs_f64() / elapsed_s * 100.0,
        resident_kib: last.usage.resident_kib,
        packets_sent: counter_rate(&own, |traffic| traffic.packets_sent),
        bytes_sent: counter_rate(&own, |traffic| traffic.bytes_sent),
        packets_received: counter_rate(&own, |traffic| traffic.packets_received),
        bytes_received: counter_rate(&own, |traffic| traffic.bytes_received),
        proxied: request_stats(&results.proxied.latencies, unserved_count(&results.proxied)),
        direct: request_stats(&results.direct.latencies, unserved_count(&results.direct)),
        min_up: up.min().unwrap_or_default(),
        up: last.view.as_ref().map_or(0, |view| view.up),
    }
}

/// Returns the increase per second of a counter: the mean over all readings, and the maximum
/// between two consecutive ones.
fn counter_rate(readings: &[&Reading], counter: fn(&Traffic) -> u64) -> Rate {
    let samples: Vec<(Instant, u64)> = readings
        .iter()
        .filter_map(|reading| Some((reading.at, counter(&reading.view.as_ref()?.traffic))))
        .collect();
    let rate = |from: &(Instant, u64), to: &(Instant, u64)| {
        let elapsed_s = to.0.duration_since(from.0).as_secs_f64();
        to.1.saturating_sub(from.1) as f64 / elapsed_s.max(f64::EPSILON)
    };
    let mean = match (samples.first(), samples.last()) {
        (Some(first), Some(last)) => rate(first, last),
        _ => 0.0,
    };
    // The first and the last reading may be close to their neighbour, and a rate over a short time
    // would be too noisy for a maximum.
    let is_long_enough = |from: &(Instant, u64), to: &(Instant, u64)| {
        to.0.duration_since(from.0) >= READ_INTERVAL / 2
    };
    let max = samples
        .windows(2)
        .filter(|pair| is_long_enough(&pair[0], &pair[1]))
        .map(|pair| rate(&pair[0], &pair[1]))
        .fold(0.0, f64::max);
    Rate { mean, max }
}
