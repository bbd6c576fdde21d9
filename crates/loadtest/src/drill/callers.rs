//! Callers in open loops.

use dewrun_test_support::Message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Connections to each process.
pub(super) const CONNECTIONS: usize = 4;
/// The longest wait for an answer.
pub(super) const PATIENCE: Duration = Duration::from_secs(8);

pub(super) struct Entry {
    pub(super) id: String,
    pub(super) to: usize,
    pub(super) sent: f64,
    pub(super) done: f64,
    pub(super) status: Option<u16>,
}

pub(super) struct Shared {
    pub(super) start: Instant,
    pub(super) ended: AtomicBool,
    /// Requests a second to each process, in thousandths.
    pub(super) rates: Vec<AtomicU64>,
    pub(super) method: &'static str,
    /// Where what was not served is repeated.
    pub(super) again: Vec<SocketAddr>,
    pub(super) entries: Mutex<Vec<Entry>>,
    pub(super) next: AtomicU64,
}

type Connection = (TcpStream, BufReader<TcpStream>);

fn connected(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream.try_clone().ok()?, BufReader::new(stream)))
}

fn answered((stream, reader): &mut Connection, request: &str) -> Option<u16> {
    stream.write_all(request.as_bytes()).ok()?;
    Message::read(reader).map(|message| message.status())
}

/// One connection of an open loop. Each sends its own part of the requests, at even times.
pub(super) fn call(shared: &Shared, to: usize, address: SocketAddr, number: usize) {
    let mut connection: Option<Connection> = None;
    let (mut due, mut before) = (0.0, 0.0);
    while !shared.ended.load(Ordering::SeqCst) {
        let rate = shared.rates[to].load(Ordering::SeqCst) as f64 / 1e3 / CONNECTIONS as f64;
        let now = shared.start.elapsed().as_secs_f64();
        if rate != before {
            // The connections take turns.
            due = now
                + if rate > 0.0 {
                    number as f64 / CONNECTIONS as f64 / rate
                } else {
                    0.0
                };
            before = rate;
        }
        if rate <= 0.0 || due > now {
            let nap = if rate > 0.0 {
                (due - now).min(0.01)
            } else {
                0.01
            };
            thread::sleep(Duration::from_secs_f64(nap));
            continue;
        }
        // One that was held up does not make up for all of it.
        due = due.max(now - 0.5) + 1.0 / rate;
        if connection.is_none() {
            connection = connected(address);
        }
        let Some(open) = &mut connection else {
            continue;
        };
        let id = format!("r{}", shared.next.fetch_add(1, Ordering::Relaxed));
        let key = if shared.again.is_empty() {
            String::new()
        } else {
            format!("Idempotency-Key: {id}\r\n")
        };
        let request = format!(
            "{} /p HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\n{key}Content-Length: 0\r\n\r\n",
            shared.method
        );
        let sent = shared.start.elapsed().as_secs_f64();
        let mut status = answered(open, &request);
        let gone = status.is_none();
        for step in 1..=shared.again.len().min(3) {
            // What has its answer, or was over a budget, is not repeated.
            if matches!(status, Some(200 | 429)) {
                break;
            }
            let next = shared.again[(to + step) % shared.again.len()];
            status = connected(next)
                .and_then(|mut open| answered(&mut open, &request))
                .or(status);
        }
        let done = shared.start.elapsed().as_secs_f64();
        if gone {
            connection = None;
        }
        shared.entries.lock().unwrap().push(Entry {
            id,
            to,
            sent,
            done,
            status,
        });
    }
}
