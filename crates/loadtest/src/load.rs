//! Closed and open loops of requests on kept connections, one thread a caller.

use dewrun_test_support::Message;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for one answer. A caller that gets none by then counts it as unanswered.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// When requests are sent.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// Each caller asks as soon as it has its answer.
    Closed,
    /// So many requests a second in all, each at its intended time or as soon after it as a caller
    /// is free. Times run from the intended one.
    Open(f64),
}

/// A run: how many callers, how long, at what pace, and what they ask.
pub struct Plan<'a> {
    /// Who is asked.
    pub address: SocketAddr,
    /// How many connections.
    pub callers: usize,
    /// For how long new requests are sent.
    pub span: Duration,
    /// When.
    pub pace: Pace,
    /// The most requests, whatever the span.
    pub most: u64,
    /// The text of request `n`, counted over all callers from 0.
    pub request: &'a (dyn Fn(u64) -> String + Sync),
}

/// What came of one request: its number, and its status if it had an answer.
pub type Answered = (u64, Option<u16>);

/// What a run gave.
pub struct Run {
    /// Microseconds from the send, or the intended send, to the whole answer; within a thousandth
    /// of the value.
    pub times: Histogram<u64>,
    /// Every request, in no order.
    pub answered: Vec<Answered>,
    /// From the first send to the last answer.
    pub took: Duration,
}

impl Run {
    /// Answers a second.
    pub fn per_s(&self) -> f64 {
        self.times.len() as f64 / self.took.as_secs_f64()
    }

    /// How many requests ended in each way; `None` for no answer.
    pub fn statuses(&self) -> BTreeMap<Option<u16>, usize> {
        let mut statuses = BTreeMap::new();
        for (_, status) in &self.answered {
            *statuses.entry(*status).or_default() += 1;
        }
        statuses
    }
}

/// A histogram of microseconds up to a minute, to three digits.
pub fn histogram() -> Histogram<u64> {
    let mut times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit");
    times.auto(true);
    times
}

/// Runs a plan to its end.
pub fn run(plan: &Plan) -> Run {
    let next = AtomicU64::new(0);
    let begun = Instant::now();
    let each: Vec<(Histogram<u64>, Vec<Answered>)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..plan.callers)
            .map(|_| scope.spawn(|| caller(plan, &next, begun)))
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller ends"))
            .collect()
    });
    let took = begun.elapsed();
    let mut all = Run {
        times: histogram(),
        answered: Vec::new(),
        took,
    };
    for (times, answered) in each {
        all.times.add(times).expect("the same bounds");
        all.answered.extend(answered);
    }
    all
}

fn caller(plan: &Plan, next: &AtomicU64, begun: Instant) -> (Histogram<u64>, Vec<Answered>) {
    let (mut times, mut answered) = (histogram(), Vec::new());
    let mut connection = None;
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let intended = match plan.pace {
            Pace::Closed => Instant::now(),
            Pace::Open(per_s) => begun + Duration::from_secs_f64(number as f64 / per_s),
        };
        if number >= plan.most || intended.duration_since(begun) >= plan.span {
            return (times, answered);
        }
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        let status = ask(&mut connection, plan.address, &(plan.request)(number));
        if status.is_some() {
            times.saturating_record((intended.elapsed().as_micros() as u64).max(1));
        }
        answered.push((number, status));
    }
}

type Connection = Option<(TcpStream, BufReader<TcpStream>)>;

/// One request on a kept connection, or on a new one; `None` if no whole answer came.
fn ask(connection: &mut Connection, address: SocketAddr, request: &str) -> Option<u16> {
    let (mut stream, mut reader) = match connection.take() {
        Some(kept) => kept,
        None => {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(PATIENCE)).ok()?;
            let reader = BufReader::new(stream.try_clone().ok()?);
            (stream, reader)
        }
    };
    stream.write_all(request.as_bytes()).ok()?;
    let answer = Message::read(&mut reader)?;
    if answer.header("connection") != Some("close") {
        *connection = Some((stream, reader));
    }
    Some(answer.status())
}
