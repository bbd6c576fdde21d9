//! Endpoints that record what they are sent, behave as the schedule says, and end and start again
//! at the same address.

use super::schedule::Behavior;
use super::Deployment;
use crate::audit::ExecutionRecord;
use dewrun_test_support::{listen, ok, Message};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// The longest time that an endpoint takes which behaves well, in milliseconds.
const MAX_ANSWER_MS: u64 = 12;
/// Scatters answer times: a multiplier without a common factor with the number of times.
const ANSWER_TIME_STEP: u64 = 7;
const SLOW: Duration = Duration::from_millis(300);
/// How late a second answer is on the platform, where connections rest for longer.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(3);
/// How often a port is tried that the system has not given free yet.
const BIND_INTERVAL: Duration = Duration::from_millis(5);

/// What the endpoints of a play have in common.
#[derive(Default)]
pub struct Record {
    ran: Mutex<Vec<ExecutionRecord>>,
}

impl Record {
    /// Every request that reached an endpoint, in the order of arrival.
    pub fn ran(&self) -> Vec<ExecutionRecord> {
        self.ran.lock().unwrap().clone()
    }

    fn add(&self, id: &str, endpoint: usize) {
        self.ran.lock().unwrap().push(ExecutionRecord {
            id: id.to_string(),
            backend: endpoint,
            at: Instant::now(),
        });
    }
}

/// What the threads of an endpoint share.
struct Shared {
    number: usize,
    form: Deployment,
    record: Arc<Record>,
    behavior: AtomicU8,
    answered: AtomicU64,
    accepted: AtomicU64,
    connections: Mutex<HashMap<u64, TcpStream>>,
    has_ended: AtomicBool,
}

/// One endpoint.
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    pub started_ms: u64,
    shared: Arc<Shared>,
}

impl StandIn {
    /// Starts an endpoint with a number.
    pub fn start(number: usize, form: Deployment, record: &Arc<Record>) -> StandIn {
        let (listener, address) = listen();
        let shared = Arc::new(Shared {
            number,
            form,
            record: record.clone(),
            behavior: AtomicU8::default(),
            answered: AtomicU64::default(),
            accepted: AtomicU64::default(),
            connections: Mutex::default(),
            has_ended: AtomicBool::default(),
        });
        accept(listener, &shared);
        StandIn {
            address,
            started_ms: 0,
            shared,
        }
    }

    /// Changes how it answers.
    pub fn behave(&self, behavior: Behavior) {
        self.shared.behavior.store(behavior as u8, Ordering::SeqCst);
    }

    /// Ends as a process does: its connections break, and new ones are refused.
    pub fn end(&self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        // The listener looks whether it has ended once a connection comes.
        drop(TcpStream::connect(self.address));
        for (_, stream) in self.shared.connections.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts it again, cold, at the same address.
    pub fn start_again(&mut self) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(BIND_INTERVAL),
            }
        };
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        self.started_ms = since.map_or(0, |since| since.as_millis() as u64);
        self.shared.has_ended.store(false, Ordering::SeqCst);
        accept(listener, &self.shared);
    }
}

fn accept(listener: TcpListener, shared: &Arc<Shared>) {
    let shared = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            if shared.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
            let shared = shared.clone();
            thread::spawn(move || serve(stream, number, &shared));
        }
    });
}

/// Serves one connection until it ends.
fn serve(mut stream: TcpStream, number: u64, shared: &Shared) {
    let (Ok(kept), Ok(reader)) = (stream.try_clone(), stream.try_clone()) else {
        return;
    };
    shared.connections.lock().unwrap().insert(number, kept);
    let mut reader = BufReader::new(reader);
    while let Some(request) = Message::read(&mut reader) {
        let is_open = !shared.has_ended.load(Ordering::SeqCst);
        if !is_open || !answer(shared, &request, &mut stream) {
            break;
        }
    }
    shared.connections.lock().unwrap().remove(&number);
}

/// Answers a request with its id; false if the connection ends.
fn answer(shared: &Shared, request: &Message, stream: &mut TcpStream) -> bool {
    let id = request.header("request-id").unwrap_or_default();
    shared.record.add(id, shared.number);
    let turn = shared
        .answered
        .fetch_add(ANSWER_TIME_STEP, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(turn % MAX_ANSWER_MS));
    let text = ok(id);
    match Behavior::ALL[usize::from(shared.behavior.load(Ordering::SeqCst))] {
        Behavior::Healthy => stream.write_all(text.as_bytes()).is_ok(),
        Behavior::ConnectionClose => false,
        Behavior::SlowResponse => {
            thread::sleep(SLOW);
            stream.write_all(text.as_bytes()).is_ok()
        }
        Behavior::DuplicateResponse if shared.form == Deployment::Platform => {
            let is_sent = stream.write_all(text.as_bytes()).is_ok();
            thread::sleep(SECOND_ANSWER_DELAY);
            is_sent && stream.write_all(text.as_bytes()).is_ok()
        }
        Behavior::DuplicateResponse => stream.write_all(text.repeat(2).as_bytes()).is_ok(),
    }
}
