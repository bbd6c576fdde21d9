//! Closed-loop and open-loop HTTP load on keep-alive connections, one thread per client.

use dewrun_test_support::Message;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Read timeout of a client. A request that exceeds it counts as one without a response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// The times at which requests are sent.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// Closed loop: each client sends its next request as soon as it has a response.
    Closed,
    /// Open loop at this many requests per second over all clients. Each request is sent at its
    /// intended time, or as soon after it as a client is free, and its latency counts from the
    /// intended time.
    Open(f64),
}

/// The load of one run.
pub struct Plan<'a> {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Number of clients, each with one connection.
    pub clients: usize,
    /// Period during which new requests are sent.
    pub duration: Duration,
    /// The times at which requests are sent.
    pub pace: Pace,
    /// Maximum number of requests, whatever the duration.
    pub max_requests: u64,
    /// Returns the text of request `n`, counted from 0 over all clients.
    pub request: &'a (dyn Fn(u64) -> String + Sync),
}

/// The number of a request, and the status of its response; `None` if it had no response.
pub type Outcome = (u64, Option<u16>);

/// The results of a run.
pub struct Run {
    /// Latencies in microseconds, with a relative error of at most 0.1 %. They run to the complete
    /// response from the send time in a closed loop, and from the intended one in an open loop.
    pub latencies: Histogram<u64>,
    /// One entry per request, in no particular order.
    pub outcomes: Vec<Outcome>,
    /// Time from the start of the run until all clients have finished.
    pub elapsed: Duration,
}

impl Run {
    /// Returns the number of responses per second.
    pub fn responses_per_s(&self) -> f64 {
        self.latencies.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns the number of requests by response status; `None` stands for no response.
    pub fn status_counts(&self) -> BTreeMap<Option<u16>, usize> {
        let mut counts = BTreeMap::new();
        for (_, status) in &self.outcomes {
            *counts.entry(*status).or_default() += 1;
        }
        counts
    }
}

/// Returns an empty histogram of microseconds with three significant digits. It starts with a range
/// of one minute and grows with its values.
pub fn latency_histogram() -> Histogram<u64> {
    let mut latencies = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    latencies.auto(true);
    latencies
}

/// Runs a plan to its end.
pub fn run(plan: &Plan) -> Run {
    let next_number = AtomicU64::new(0);
    let started = Instant::now();
    let by_client: Vec<(Histogram<u64>, Vec<Outcome>)> = thread::scope(|scope| {
        let clients: Vec<_> = (0..plan.clients)
            .map(|_| scope.spawn(|| run_client(plan, &next_number, started)))
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().expect("a client does not panic"))
            .collect()
    });
    let elapsed = started.elapsed();
    let mut run = Run {
        latencies: latency_histogram(),
        outcomes: Vec::new(),
        elapsed,
    };
    for (latencies, outcomes) in by_client {
        run.latencies.add(latencies).expect("equal bounds");
        run.outcomes.extend(outcomes);
    }
    run
}

fn run_client(
    plan: &Plan,
    next_number: &AtomicU64,
    started: Instant,
) -> (Histogram<u64>, Vec<Outcome>) {
    let (mut latencies, mut outcomes) = (latency_histogram(), Vec::new());
    let mut connection = None;
    loop {
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        let intended = match plan.pace {
            Pace::Closed => Instant::now(),
            Pace::Open(rate_per_s) => started + Duration::from_secs_f64(number as f64 / rate_per_s),
        };
        if number >= plan.max_requests || intended.duration_since(started) >= plan.duration {
            return (latencies, outcomes);
        }
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        let status = exchange(&mut connection, plan.address, &(plan.request)(number));
        if status.is_some() {
            latencies.saturating_record((intended.elapsed().as_micros() as u64).max(1));
        }
        outcomes.push((number, status));
    }
}

/// A client's connection, and its reader.
pub(crate) type OpenConnection = (TcpStream, BufReader<TcpStream>);

type Connection = Option<OpenConnection>;

/// Opens a client connection with the read timeout [`RESPONSE_TIMEOUT`]; returns `None` if that fails.
pub(crate) fn open_connection(address: SocketAddr) -> Option<OpenConnection> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    let reader = BufReader::new(stream.try_clone().ok()?);
    Some((stream, reader))
}

/// Sends one request, on a new connection unless one is open, and returns the status of its
/// response, or `None` if no complete response arrived.
fn exchange(connection: &mut Connection, address: SocketAddr, request: &str) -> Option<u16> {
    let (mut stream, mut reader) = match connection.take() {
        Some(open) => open,
        None => open_connection(address)?,
    };
    stream.write_all(request.as_bytes()).ok()?;
    let response = Message::read(&mut reader)?;
    if response.header("connection") != Some("close") {
        *connection = Some((stream, reader));
    }
    Some(response.status())
}
