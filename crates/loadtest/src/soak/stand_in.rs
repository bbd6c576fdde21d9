//! Stand-in endpoints that record the requests they get, behave as the schedule says, and can be
//! stopped and restarted at the same address.

use super::schedule::Behavior;
use super::Deployment;
use crate::audit::ExecutionRecord;
use dewrun_test_support::{listen, ok, Message, ResponseFraming};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// The number of different response times of a healthy endpoint, which are 0 ms, 1 ms and so on.
const RESPONSE_TIME_COUNT: u64 = 12;
/// The step from one response time to the next, modulo [`RESPONSE_TIME_COUNT`]. The two numbers
/// have no common factor, so that all response times occur.
const RESPONSE_TIME_STEP_MS: u64 = 7;
/// One of so many responses of a healthy endpoint ends by chunks, and one with its connection; the
/// others state a length.
const UNUSUAL_FRAMING_INTERVAL: u64 = 16;
/// The additional response time of a slow endpoint.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(300);
/// The delay of a duplicate response on the platform, where connections stay idle for longer than
/// in a fleet.
const DUPLICATE_RESPONSE_DELAY: Duration = Duration::from_millis(3);
/// The interval at which a restarted endpoint tries to bind a port that the system has not released
/// yet.
const BIND_INTERVAL: Duration = Duration::from_millis(5);

/// The records of the requests that reached the endpoints of a play.
#[derive(Default)]
pub struct ExecutionLog {
    executions: Mutex<Vec<ExecutionRecord>>,
}

impl ExecutionLog {
    /// Returns the records of all requests that reached an endpoint, in the order of arrival.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.executions.lock().unwrap().clone()
    }

    fn add(&self, id: &str, endpoint: usize) {
        self.executions.lock().unwrap().push(ExecutionRecord {
            id: id.to_string(),
            backend: endpoint,
            at: Instant::now(),
        });
    }
}

/// The state that the threads of an endpoint share.
struct Shared {
    number: usize,
    deployment: Deployment,
    execution_log: Arc<ExecutionLog>,
    behavior: AtomicU8,
    /// Advances by [`RESPONSE_TIME_STEP_MS`] with each request.
    response_time_ms: AtomicU64,
    accepted_count: AtomicU64,
    connections: Mutex<HashMap<u64, TcpStream>>,
    is_stopped: AtomicBool,
}

/// A stand-in endpoint, running or stopped.
pub struct StandInEndpoint {
    /// The listen address.
    pub address: SocketAddr,
    /// The time of the last restart in Unix milliseconds; 0 if the endpoint was never restarted.
    pub started_ms: u64,
    shared: Arc<Shared>,
}

impl StandInEndpoint {
    /// Starts the endpoint with this number.
    pub fn start(
        number: usize,
        deployment: Deployment,
        execution_log: &Arc<ExecutionLog>,
    ) -> StandInEndpoint {
        let (listener, address) = listen();
        let shared = Arc::new(Shared {
            number,
            deployment,
            execution_log: execution_log.clone(),
            behavior: AtomicU8::default(),
            response_time_ms: AtomicU64::default(),
            accepted_count: AtomicU64::default(),
            connections: Mutex::default(),
            is_stopped: AtomicBool::default(),
        });
        spawn_acceptor(listener, &shared);
        StandInEndpoint {
            address,
            started_ms: 0,
            shared,
        }
    }

    /// Changes how the endpoint responds.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.shared.behavior.store(behavior as u8, Ordering::SeqCst);
    }

    /// Stops the endpoint as if its process had exited: all connections are closed, and new ones
    /// are refused.
    pub fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // The acceptor checks `is_stopped` only when it accepts a connection.
        drop(TcpStream::connect(self.address));
        for (_, stream) in self.shared.connections.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the endpoint again at the same address, with the current time as its start time.
    pub fn restart(&mut self) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(BIND_INTERVAL),
            }
        };
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        self.started_ms = since.map_or(0, |since| since.as_millis() as u64);
        self.shared.is_stopped.store(false, Ordering::SeqCst);
        spawn_acceptor(listener, &self.shared);
    }
}

/// Accepts connections in a thread of its own until the endpoint is stopped.
fn spawn_acceptor(listener: TcpListener, shared: &Arc<Shared>) {
    let shared = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if shared.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let number = shared.accepted_count.fetch_add(1, Ordering::SeqCst);
            let shared = shared.clone();
            thread::spawn(move || serve_connection(stream, number, &shared));
        }
    });
}

/// Serves one connection until it is closed or the endpoint is stopped.
fn serve_connection(mut stream: TcpStream, number: u64, shared: &Shared) {
    let (Ok(shutdown_handle), Ok(reader)) = (stream.try_clone(), stream.try_clone()) else {
        return;
    };
    shared
        .connections
        .lock()
        .unwrap()
        .insert(number, shutdown_handle);
    let mut reader = BufReader::new(reader);
    while let Some(request) = Message::read(&mut reader) {
        let is_stopped = shared.is_stopped.load(Ordering::SeqCst);
        if is_stopped || !respond(shared, &request, &mut stream) {
            break;
        }
    }
    shared.connections.lock().unwrap().remove(&number);
}

/// Records a request and responds with its id. Returns whether the connection stays open.
fn respond(shared: &Shared, request: &Message, stream: &mut TcpStream) -> bool {
    let id = request.header("request-id").unwrap_or_default();
    shared.execution_log.add(id, shared.number);
    let response_time_ms = shared
        .response_time_ms
        .fetch_add(RESPONSE_TIME_STEP_MS, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(
        response_time_ms % RESPONSE_TIME_COUNT,
    ));
    let text = ok(id);
    match Behavior::ALL[usize::from(shared.behavior.load(Ordering::SeqCst))] {
        Behavior::Healthy => respond_framed(id, response_time_ms / RESPONSE_TIME_STEP_MS, stream),
        Behavior::ConnectionClose => false,
        Behavior::SlowResponse => {
            thread::sleep(SLOW_RESPONSE_DELAY);
            stream.write_all(text.as_bytes()).is_ok()
        }
        Behavior::DuplicateResponse if shared.deployment == Deployment::Platform => {
            let is_sent = stream.write_all(text.as_bytes()).is_ok();
            thread::sleep(DUPLICATE_RESPONSE_DELAY);
            is_sent && stream.write_all(text.as_bytes()).is_ok()
        }
        Behavior::DuplicateResponse => stream.write_all(text.repeat(2).as_bytes()).is_ok(),
    }
}

/// Writes the response with this number, whose end is told in one of three ways. Returns whether the
/// connection stays open.
fn respond_framed(id: &str, number: u64, stream: &mut TcpStream) -> bool {
    let framing = match number % UNUSUAL_FRAMING_INTERVAL {
        0 => ResponseFraming::Chunked,
        1 => ResponseFraming::UntilClose,
        _ => ResponseFraming::Length,
    };
    let text = match framing {
        ResponseFraming::Length => ok(id),
        ResponseFraming::Chunked => format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{id}\r\n0\r\n\r\n",
            id.len()
        ),
        ResponseFraming::UntilClose => format!("HTTP/1.1 200 OK\r\n\r\n{id}"),
    };
    let is_written = stream.write_all(text.as_bytes()).is_ok();
    is_written && framing != ResponseFraming::UntilClose
}
