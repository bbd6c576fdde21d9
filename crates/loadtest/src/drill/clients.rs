//! Clients that send requests in open loops.

use dewrun_test_support::Message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Number of client connections to each process.
pub(super) const CONNECTIONS_PER_PROCESS: usize = 4;
/// Read timeout of a connection.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// One request and its final response. Times are in seconds since [`ClientState::start`].
pub(super) struct RequestRecord {
    pub(super) request_id: String,
    pub(super) process: usize,
    pub(super) sent_s: f64,
    pub(super) done_s: f64,
    pub(super) status: Option<u16>,
}

/// State that all client connections share.
pub(super) struct ClientState {
    /// Time just before the processes of the drill are started.
    pub(super) start: Instant,
    /// Whether the drill has ended, so that clients stop.
    pub(super) has_ended: AtomicBool,
    /// Rate of the requests to each process, in thousandths of a request per second.
    pub(super) rates: Vec<AtomicU64>,
    pub(super) method: &'static str,
    /// Listen addresses of all processes if requests are retried at other processes, in which case
    /// they carry an idempotency key; empty otherwise.
    pub(super) retry_addresses: Vec<SocketAddr>,
    pub(super) records: Mutex<Vec<RequestRecord>>,
    pub(super) next_id: AtomicU64,
}

type Connection = (TcpStream, BufReader<TcpStream>);

fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream.try_clone().ok()?, BufReader::new(stream)))
}

/// Sends a request and returns the status of its response.
fn send((stream, reader): &mut Connection, request: &str) -> Option<u16> {
    stream.write_all(request.as_bytes()).ok()?;
    Message::read(reader).map(|message| message.status())
}

/// Runs one connection of an open loop, which sends its share of the requests to a process at equal
/// intervals.
pub(super) fn run_connection(
    state: &ClientState,
    process: usize,
    address: SocketAddr,
    index: usize,
) {
    let mut connection: Option<Connection> = None;
    let (mut due_s, mut previous_rate) = (0.0, 0.0);
    while !state.has_ended.load(Ordering::SeqCst) {
        let rate = state.rates[process].load(Ordering::SeqCst) as f64
            / 1e3
            / CONNECTIONS_PER_PROCESS as f64;
        let now_s = state.start.elapsed().as_secs_f64();
        if rate != previous_rate {
            // The connections to a process send in turn, at equal intervals.
            due_s = now_s
                + if rate > 0.0 {
                    index as f64 / CONNECTIONS_PER_PROCESS as f64 / rate
                } else {
                    0.0
                };
            previous_rate = rate;
        }
        if rate <= 0.0 || due_s > now_s {
            let wait_s = if rate > 0.0 {
                (due_s - now_s).min(0.01)
            } else {
                0.01
            };
            thread::sleep(Duration::from_secs_f64(wait_s));
            continue;
        }
        // After a stall a connection makes up for at most half a second of requests.
        due_s = due_s.max(now_s - 0.5) + 1.0 / rate;
        if connection.is_none() {
            connection = connect(address);
        }
        let Some(open) = &mut connection else {
            continue;
        };
        let request_id = format!("r{}", state.next_id.fetch_add(1, Ordering::Relaxed));
        let key = if state.retry_addresses.is_empty() {
            String::new()
        } else {
            format!("Idempotency-Key: {request_id}\r\n")
        };
        let request = format!(
            "{} /p HTTP/1.1\r\nHost: a\r\nRequest-Id: {request_id}\r\n{key}Content-Length: 0\r\n\r\n",
            state.method
        );
        let sent_s = state.start.elapsed().as_secs_f64();
        let mut status = send(open, &request);
        let is_broken = status.is_none();
        for retry in 1..=state.retry_addresses.len().min(3) {
            // Served requests and those over a budget are not retried.
            if matches!(status, Some(200 | 429)) {
                break;
            }
            let address = state.retry_addresses[(process + retry) % state.retry_addresses.len()];
            status = connect(address)
                .and_then(|mut open| send(&mut open, &request))
                .or(status);
        }
        let done_s = state.start.elapsed().as_secs_f64();
        if is_broken {
            connection = None;
        }
        state.records.lock().unwrap().push(RequestRecord {
            request_id,
            process,
            sent_s,
            done_s,
            status,
        });
    }
}
