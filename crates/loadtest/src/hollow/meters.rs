//! What is read of the fleet from outside, over a span: processor time, memory, packets, times of
//! requests, and who sees whom.

use super::fleet::{sees, HollowFleet};
use super::processes::{RealProcess, Usage};
use super::report::{Figures, Flow, Latency, Phase, Views};
use crate::load::{latency_histogram, run, Pace, Plan as Load, Run};
use dewrun_agent::status::Summary;
use dewrun_agent::transport::Traffic;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::{self, Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

/// Requests a second through each real process, and as many straight to the upstream beside it.
const REQUESTS_PER_S: f64 = 20.0;
/// The most requests of one caller, whatever the span.
const REQUESTS_MOST: u64 = 100_000;
/// From one reading to the next.
const READING: Duration = Duration::from_secs(1);
const GET: &str = "GET /x HTTP/1.1\r\nHost: hollow\r\n\r\n";

/// What was read of one process at one time.
struct Reading {
    at: Instant,
    usage: Usage,
    view: Option<Summary>,
}

impl Reading {
    fn of(process: &RealProcess) -> Reading {
        Reading {
            at: Instant::now(),
            usage: process.usage(),
            view: process.summary(),
        }
    }
}

/// Reads all real processes at once.
fn read(fleet: &HollowFleet) -> Vec<Reading> {
    thread::scope(|scope| {
        let all: Vec<_> = fleet
            .processes
            .iter()
            .map(|process| scope.spawn(|| Reading::of(process)))
            .collect();
        all.into_iter()
            .map(|reading| reading.join().expect("a reading"))
            .collect()
    })
}

/// The load on one process: through it, and straight to the upstream.
struct Callers<'scope> {
    through: ScopedJoinHandle<'scope, Run>,
    straight: ScopedJoinHandle<'scope, Run>,
}

impl<'scope> Callers<'scope> {
    fn start(
        scope: &'scope Scope<'scope, '_>,
        front: SocketAddr,
        backend: SocketAddr,
        span: Duration,
    ) -> Callers<'scope> {
        let call = move |address| {
            let request = &|_: u64| GET.to_string();
            let pace = Pace::Open(REQUESTS_PER_S);
            run(&Load {
                address,
                clients: 1,
                duration: span,
                pace,
                max_requests: REQUESTS_MOST,
                request,
            })
        };
        Callers {
            through: scope.spawn(move || call(front)),
            straight: scope.spawn(move || call(backend)),
        }
    }

    fn end(self) -> Requests {
        let through = self.through.join().expect("a caller ends");
        let straight = self.straight.join().expect("a caller ends");
        Requests { through, straight }
    }
}

/// What came of the load on one process.
struct Requests {
    through: Run,
    straight: Run,
}

/// Looks at a fleet over a span that begins with what `begin` does, under a small load.
/// `passed_over` is a real process that is not measured. `begin` tells how many members every real
/// process is to see then.
pub fn measure(
    fleet: &mut HollowFleet,
    name: &str,
    span: Duration,
    passed_over: Option<usize>,
    begin: impl FnOnce(&mut HollowFleet) -> usize,
) -> Phase {
    fleet.lateness.take();
    let begun = Instant::now();
    let measured: Vec<usize> = (0..fleet.processes.len())
        .filter(|number| Some(*number) != passed_over)
        .collect();
    let fronts: Vec<SocketAddr> = measured
        .iter()
        .map(|number| fleet.processes[*number].front)
        .collect();
    let backend = fleet.backend;
    let mut readings = vec![read(fleet)];
    let mut settled = None;
    let mut members = 0;
    let requests: Vec<Requests> = thread::scope(|scope| {
        let callers: Vec<Callers> = fronts
            .iter()
            .map(|front| Callers::start(scope, *front, backend, span))
            .collect();
        members = begin(fleet);
        let mut next = Instant::now() + READING;
        while begun.elapsed() < span {
            thread::sleep(
                next.min(begun + span)
                    .saturating_duration_since(Instant::now()),
            );
            next += READING;
            let reading = read(fleet);
            if settled.is_none() && reading.iter().all(|of| sees(of.view.as_ref(), members)) {
                settled = Some(begun.elapsed());
            }
            readings.push(reading);
        }
        callers.into_iter().map(Callers::end).collect()
    });
    let hollow = fleet.hollow_views();
    let processes = measured
        .iter()
        .zip(&requests)
        .map(|(number, requests)| figures(&fleet.processes[*number], *number, &readings, requests))
        .collect();
    let (through, straight) = total(&requests);
    Phase {
        name: name.into(),
        seconds: begun.elapsed().as_secs_f64(),
        late_ms: fleet.lateness.take().as_secs_f64() * 1e3,
        members,
        fault: None,
        settled_s: settled.map(|after| after.as_secs_f64()),
        joined_s: None,
        grantor: grantor(&readings),
        through,
        unserved: unserved_by_status(&requests),
        straight,
        processes,
        hollow: views(&hollow, members),
    }
}

/// The views of hollow processes.
fn views(all: &[Summary], members: usize) -> Views {
    Views {
        processes: all.len(),
        fewest: all.iter().map(|view| view.up).min().unwrap_or_default(),
        most: all.iter().map(|view| view.up).max().unwrap_or_default(),
        whole: all.iter().filter(|view| sees(Some(view), members)).count(),
    }
}

/// Who grants budgets, by the last word of the real processes.
fn grantor(readings: &[Vec<Reading>]) -> Option<SocketAddr> {
    let last = readings.last()?;
    last.iter()
        .find_map(|reading| reading.view.as_ref()?.grantor.as_ref()?.address)
}

fn total(requests: &[Requests]) -> (Latency, Latency) {
    let sum = |of: fn(&Requests) -> &Run| {
        let mut times = latency_histogram();
        let mut failed = 0;
        for run in requests.iter().map(of) {
            times.add(&run.latencies).expect("the same bounds");
            failed += unserved(run);
        }
        latency(&times, failed)
    };
    (
        sum(|requests| &requests.through),
        sum(|requests| &requests.straight),
    )
}

fn unserved(run: &Run) -> usize {
    run.outcomes
        .iter()
        .filter(|(_, status)| *status != Some(200))
        .count()
}

/// How many requests through the real processes ended otherwise than with a 200, by what came
/// instead.
fn unserved_by_status(requests: &[Requests]) -> BTreeMap<String, usize> {
    let mut by_status = BTreeMap::new();
    for requests in requests {
        for (status, count) in requests.through.status_counts() {
            let status = status.map_or("no answer".to_string(), |status| status.to_string());
            *by_status.entry(status).or_default() += count;
        }
    }
    by_status.remove("200");
    by_status
}

fn latency(times: &Histogram<u64>, unserved: usize) -> Latency {
    Latency {
        answered: times.len(),
        unserved,
        p50_us: times.value_at_quantile(0.5),
        p99_us: times.value_at_quantile(0.99),
    }
}

fn figures(
    process: &RealProcess,
    number: usize,
    readings: &[Vec<Reading>],
    requests: &Requests,
) -> Figures {
    let own: Vec<&Reading> = readings.iter().filter_map(|all| all.get(number)).collect();
    let (first, last) = (own[0], own[own.len() - 1]);
    let spent = last.usage.processor.saturating_sub(first.usage.processor);
    let span = last
        .at
        .duration_since(first.at)
        .as_secs_f64()
        .max(f64::EPSILON);
    let up = own
        .iter()
        .filter_map(|reading| reading.view.as_ref())
        .map(|view| view.up);
    Figures {
        name: process.name.clone(),
        address: process.fleet,
        processor_percent: spent.as_secs_f64() / span * 100.0,
        resident_kib: last.usage.resident_kib,
        packets_sent: flow(&own, |traffic| traffic.packets_sent),
        bytes_sent: flow(&own, |traffic| traffic.bytes_sent),
        packets_received: flow(&own, |traffic| traffic.packets_received),
        bytes_received: flow(&own, |traffic| traffic.bytes_received),
        through: latency(&requests.through.latencies, unserved(&requests.through)),
        straight: latency(&requests.straight.latencies, unserved(&requests.straight)),
        fewest_up: up.min().unwrap_or_default(),
        up: last.view.as_ref().map_or(0, |view| view.up),
    }
}

/// A counter as it grew: a second in the mean, and in the span between two readings in which it
/// grew most.
fn flow(readings: &[&Reading], of: fn(&Traffic) -> u64) -> Flow {
    let known: Vec<(Instant, u64)> = readings
        .iter()
        .filter_map(|reading| Some((reading.at, of(&reading.view.as_ref()?.traffic))))
        .collect();
    let rate = |from: &(Instant, u64), to: &(Instant, u64)| {
        let span = to.0.duration_since(from.0).as_secs_f64();
        to.1.saturating_sub(from.1) as f64 / span.max(f64::EPSILON)
    };
    // The first reading and the last may stand close to another.
    let whole =
        |from: &(Instant, u64), to: &(Instant, u64)| to.0.duration_since(from.0) >= READING / 2;
    let mean = match (known.first(), known.last()) {
        (Some(first), Some(last)) => rate(first, last),
        _ => 0.0,
    };
    let spans = known.windows(2).filter(|pair| whole(&pair[0], &pair[1]));
    let most = spans
        .map(|pair| rate(&pair[0], &pair[1]))
        .fold(0.0, f64::max);
    Flow { mean, most }
}
