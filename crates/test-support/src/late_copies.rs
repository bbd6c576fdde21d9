//! An endpoint that sends answers a second time, each at a point that a test chooses.

use crate::{ok, Backend};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// When an answer is sent a second time.
#[derive(Clone, Copy)]
pub enum SecondCopy {
    /// Never.
    Never,
    /// So long after the answer; the next answer on the connection waits for it.
    After(Duration),
    /// When the next request has come on the connection, before its answer.
    WithNextRequest,
}

/// How one request is answered.
#[derive(Clone, Copy)]
pub struct LateAnswer {
    /// How long the answer takes, from the request or from the copy that is written before it.
    pub delay: Duration,
    /// When it is sent again.
    pub second_copy: SecondCopy,
}

impl LateAnswer {
    /// At once and not again.
    pub const PROMPT: LateAnswer = LateAnswer {
        delay: Duration::ZERO,
        second_copy: SecondCopy::Never,
    };
}

/// What is still to be written on a connection before its next answer.
enum Owed {
    Scheduled(JoinHandle<()>),
    WithNextRequest(String),
}

/// An endpoint that answers each request with its id, and sends some answers again.
pub struct LateCopies {
    /// The endpoint.
    pub backend: Backend,
    latest: Arc<Mutex<Duration>>,
}

impl LateCopies {
    /// Starts one that answers the first requests, of all connections together, like this, and each
    /// further one at once.
    pub fn start(answers: Vec<LateAnswer>) -> LateCopies {
        let latest: Arc<Mutex<Duration>> = Arc::default();
        let seen = latest.clone();
        let owed: Mutex<HashMap<SocketAddr, Owed>> = Mutex::default();
        let answers = Mutex::new(answers.into_iter());
        let backend = Backend::start_unrecorded(move |message, stream| {
            let peer = stream.peer_addr().expect("a peer");
            let answer = answers.lock().unwrap().next().unwrap_or(LateAnswer::PROMPT);
            let text = ok(message.header("request-id").expect("an id"));
            let before = owed.lock().unwrap().remove(&peer);
            if let Some(before) = before {
                write_owed(before, stream);
            }
            let begun = Instant::now();
            thread::sleep(answer.delay);
            if stream.write_all(text.as_bytes()).is_err() {
                return false;
            }
            record(&seen, begun.elapsed());
            let next = match answer.second_copy {
                SecondCopy::Never => return true,
                SecondCopy::WithNextRequest => Owed::WithNextRequest(text),
                SecondCopy::After(delay) => {
                    let mut stream = stream.try_clone().expect("a second handle");
                    let seen = seen.clone();
                    Owed::Scheduled(thread::spawn(move || {
                        let written = Instant::now();
                        thread::sleep(delay);
                        // It may find its connection closed.
                        let _ = stream.write_all(text.as_bytes());
                        record(&seen, written.elapsed());
                    }))
                }
            };
            owed.lock().unwrap().insert(peer, next);
            true
        });
        LateCopies { backend, latest }
    }

    /// The longest time so far from an answer to its copy, or for an answer.
    pub fn latest(&self) -> Duration {
        *self.latest.lock().unwrap()
    }
}

fn write_owed(owed: Owed, stream: &mut TcpStream) {
    match owed {
        Owed::Scheduled(copy) => copy.join().expect("the copy is written"),
        Owed::WithNextRequest(text) => drop(stream.write_all(text.as_bytes())),
    }
}

fn record(latest: &Mutex<Duration>, took: Duration) {
    let mut latest = latest.lock().unwrap();
    *latest = took.max(*latest);
}
