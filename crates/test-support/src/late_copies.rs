//! An endpoint that sends responses a second time, each at a point that the test chooses.

use crate::{ok, Backend};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// When a response is sent a second time.
#[derive(Clone, Copy)]
pub enum SecondCopy {
    /// The response is sent once.
    Never,
    /// The copy follows after this delay; the next response on the connection waits for it.
    After(Duration),
    /// The copy is sent when the next request was read on the connection, before its response.
    WithNextRequest,
}

/// How one request is answered.
#[derive(Clone, Copy)]
pub struct LateAnswer {
    /// The time from the request, or from the copy written before the response, to the response.
    pub delay: Duration,
    /// When the copy is sent.
    pub second_copy: SecondCopy,
}

impl LateAnswer {
    /// A response without delay and without a second copy.
    pub const PROMPT: LateAnswer = LateAnswer {
        delay: Duration::ZERO,
        second_copy: SecondCopy::Never,
    };
}

/// Number of responses, each after a long pause, after which an endpoint has earned short reuse delays.
const EARNING_RESPONSES: usize = 5;
/// Idle time after which a connection may be reused, whatever its endpoint has sent before.
const EARNING_PAUSE: Duration = Duration::from_millis(80);
/// Time that an endpoint needs for each response of a cascade.
const CASCADE_SERVICE_TIME: Duration = Duration::from_millis(35);
/// Idle time after which a connection has passed the short reuse delay, and which is shorter than
/// `CASCADE_SERVICE_TIME`.
const CASCADE_PAUSE: Duration = Duration::from_millis(28);
/// Number of requests behind the one whose response is copied.
const CASCADE_REQUESTS: usize = 5;

/// Responses of an endpoint that has earned short reuse delays and then sends a copy together with the
/// next request, so that the response to that request is displaced.
pub struct Cascade {
    /// How each request is answered.
    pub answers: Vec<LateAnswer>,
    /// The pause before each request.
    pub pauses: Vec<Duration>,
    /// Number of the first request behind the one that gets the copy.
    first_protected: usize,
}

impl Cascade {
    /// Returns a cascade that begins once the endpoint has earned short reuse delays.
    pub fn after_short_reuse_delays() -> Cascade {
        let answer = LateAnswer {
            delay: CASCADE_SERVICE_TIME,
            second_copy: SecondCopy::Never,
        };
        let mut answers = vec![answer; EARNING_RESPONSES + 1 + CASCADE_REQUESTS];
        answers[EARNING_RESPONSES].second_copy = SecondCopy::WithNextRequest;
        let mut pauses = vec![EARNING_PAUSE; EARNING_RESPONSES + 1];
        pauses.extend([CASCADE_PAUSE; CASCADE_REQUESTS]);
        Cascade {
            answers,
            pauses,
            first_protected: EARNING_RESPONSES + 2,
        }
    }

    /// Asserts that the requests `s0`, `s1` and so on got their own responses from the first one behind
    /// the request that gets the copy; that copy arrives with its request, after any reuse delay.
    pub fn assert_own_responses(&self, bodies: &[String]) {
        let next = self.first_protected;
        let expected: Vec<String> = (next..self.pauses.len()).map(|n| format!("s{n}")).collect();
        assert_eq!(bodies[next..], expected, "{bodies:?}");
    }
}

/// A copy that must be written on a connection before its next response.
enum PendingCopy {
    Scheduled(JoinHandle<()>),
    WithNextRequest(String),
}

/// An endpoint that answers each request with the request's id and sends some responses twice.
pub struct LateCopies {
    /// The underlying endpoint.
    pub backend: Backend,
    latest: Arc<Mutex<Duration>>,
}

impl LateCopies {
    /// Starts an endpoint that answers the first requests, counted over all connections, as listed
    /// and each further one with [`LateAnswer::PROMPT`].
    pub fn start(answers: Vec<LateAnswer>) -> LateCopies {
        let latest: Arc<Mutex<Duration>> = Arc::default();
        let recorded = latest.clone();
        let pending: Mutex<HashMap<SocketAddr, PendingCopy>> = Mutex::default();
        let answers = Mutex::new(answers.into_iter());
        let backend = Backend::start_unrecorded(move |message, stream| {
            let peer = stream.peer_addr().expect("a peer");
            let answer = answers.lock().unwrap().next().unwrap_or(LateAnswer::PROMPT);
            let text = ok(message.header("request-id").expect("an id"));
            let before = pending.lock().unwrap().remove(&peer);
            if let Some(before) = before {
                write_pending(before, stream);
            }
            let started = Instant::now();
            thread::sleep(answer.delay);
            if stream.write_all(text.as_bytes()).is_err() {
                return false;
            }
            record(&recorded, started.elapsed());
            let next = match answer.second_copy {
                SecondCopy::Never => return true,
                SecondCopy::WithNextRequest => PendingCopy::WithNextRequest(text),
                SecondCopy::After(delay) => {
                    let mut stream = stream.try_clone().expect("a second handle");
                    let recorded = recorded.clone();
                    PendingCopy::Scheduled(thread::spawn(move || {
                        let written = Instant::now();
                        thread::sleep(delay);
                        // The connection may be closed by now.
                        let _ = stream.write_all(text.as_bytes());
                        record(&recorded, written.elapsed());
                    }))
                }
            };
            pending.lock().unwrap().insert(peer, next);
            true
        });
        LateCopies { backend, latest }
    }

    /// Returns the longest time so far from a response to its copy, or from a request to its
    /// response.
    pub fn latest(&self) -> Duration {
        *self.latest.lock().unwrap()
    }
}

fn write_pending(pending: PendingCopy, stream: &mut TcpStream) {
    match pending {
        PendingCopy::Scheduled(copy) => copy.join().expect("the copy is written"),
        PendingCopy::WithNextRequest(text) => drop(stream.write_all(text.as_bytes())),
    }
}

fn record(latest: &Mutex<Duration>, elapsed: Duration) {
    let mut latest = latest.lock().unwrap();
    *latest = elapsed.max(*latest);
}
