//! Clients that call on connections that they keep, until the process is gone.

use crate::audit::EffectClass;
use dewrun_test_support::{Message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A client waits so long between two requests.
const THINK_TIME: Duration = Duration::from_millis(5);
/// One that rests waits so long. An installation closes connections that have been idle for 0.5 s
/// during a shutdown, so these cross no close there.
const RESTING_THINK_TIME: Duration = Duration::from_millis(300);
/// One client of so many rests, where any does.
const RESTING_EVERY: usize = 4;
/// A client that was refused a connection waits so long.
const CONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// Whether clients are sent to a process; they share it with the site.
pub type InRotation = Arc<AtomicBool>;

/// The result of a request, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A response with its status and body.
    Response(u16, Vec<u8>),
    /// The connection closed before a complete response.
    ConnectionLost,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// Whether it may run twice.
    pub effect: EffectClass,
    /// The process that was asked.
    pub process: usize,
    /// It was the first on its connection.
    pub is_first: bool,
    /// When its connection was begun.
    pub connected: Instant,
    /// When it was written.
    pub begun: Instant,
    /// When it ended.
    pub ended: Instant,
    /// The result.
    pub outcome: CallOutcome,
}

/// The clients of a play.
pub struct Clients {
    threads: Vec<JoinHandle<()>>,
    calls: Arc<Mutex<Vec<Call>>>,
    is_over: Arc<AtomicBool>,
}

impl Clients {
    /// Starts so many clients, spread evenly over the processes, to which they go while these are
    /// in rotation. Some rest between two requests, if that is wanted.
    pub fn start(count: usize, processes: &[(SocketAddr, InRotation)], some_rest: bool) -> Clients {
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let is_over: Arc<AtomicBool> = Arc::default();
        let threads = (0..count).map(|number| {
            let process = number % processes.len();
            let rests = some_rest && number / processes.len() % RESTING_EVERY == 0;
            let think_time = if rests {
                RESTING_THINK_TIME
            } else {
                THINK_TIME
            };
            let client = Client {
                number,
                think_time,
                process,
                address: processes[process].0,
                in_rotation: processes[process].1.clone(),
                calls: calls.clone(),
                is_over: is_over.clone(),
                sent: 0,
            };
            thread::spawn(move || client.run())
        });
        Clients {
            threads: threads.collect(),
            calls,
            is_over,
        }
    }

    /// Lets every client end its request, and gives all requests.
    pub fn stop(self) -> Vec<Call> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a client does not panic");
        }
        std::mem::take(&mut *self.calls.lock().unwrap())
    }
}

struct Client {
    number: usize,
    think_time: Duration,
    process: usize,
    address: SocketAddr,
    in_rotation: InRotation,
    calls: Arc<Mutex<Vec<Call>>>,
    is_over: Arc<AtomicBool>,
    sent: usize,
}

impl Client {
    fn run(mut self) {
        while !self.is_over.load(Ordering::SeqCst) {
            let is_in_rotation = self.in_rotation.load(Ordering::SeqCst);
            let begun = Instant::now();
            let connected = is_in_rotation.then(|| TcpStream::connect(self.address));
            match connected {
                Some(Ok(stream)) => self.call_on(&stream, begun),
                Some(Err(_)) | None => thread::sleep(CONNECT_INTERVAL),
            }
        }
    }

    /// Calls on one connection until it ends.
    fn call_on(&mut self, stream: &TcpStream, connected: Instant) {
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a time-out");
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut is_first = true;
        while !self.is_over.load(Ordering::SeqCst) {
            let (id, effect) = self.next_request();
            let begun = Instant::now();
            let mut writer = stream;
            let is_written = writer.write_all(text(&id, effect).as_bytes()).is_ok();
            let answer = is_written.then(|| Message::read(&mut reader)).flatten();
            let closes = answer
                .as_ref()
                .is_none_or(|answer| answer.header("connection") == Some("close"));
            let outcome = answer.map_or(CallOutcome::ConnectionLost, |answer| {
                CallOutcome::Response(answer.status(), answer.body)
            });
            let is_served = matches!(outcome, CallOutcome::Response(200, _));
            self.calls.lock().unwrap().push(Call {
                id,
                effect,
                process: self.process,
                is_first,
                connected,
                begun,
                ended: Instant::now(),
                outcome,
            });
            if closes {
                // One that is refused does not come back at once.
                if !is_served {
                    thread::sleep(THINK_TIME);
                }
                return;
            }
            is_first = false;
            thread::sleep(self.think_time);
        }
    }

    fn next_request(&mut self) -> (String, EffectClass) {
        self.sent += 1;
        let effect = if self.sent % 3 == 0 {
            EffectClass::NonIdempotent
        } else {
            EffectClass::Idempotent
        };
        (format!("c{}-{}", self.number, self.sent), effect)
    }
}

/// A request that both forms take.
fn text(id: &str, effect: EffectClass) -> String {
    let (method, class, length) = match effect {
        EffectClass::Idempotent => ("GET", "read", ""),
        EffectClass::Keyed | EffectClass::NonIdempotent => {
            ("POST", "once", "Content-Length: 0\r\n")
        }
    };
    format!(
        "{method} /soak HTTP/1.1\r\nHost: soak.local\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: acme\r\nRequest-Timeout-Ms: 3000\r\n{length}\r\n"
    )
}
