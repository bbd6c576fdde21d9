//! Clients that send requests on persistent connections.

use crate::audit::EffectClass;
use dewrun_test_support::{Message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The pause of a client between two requests.
const THINK_TIME: Duration = Duration::from_millis(5);
/// The pause of an idle client between two requests. During a shutdown an installation closes
/// connections that have been idle for 0.5 s; with a shorter pause no request of these clients
/// races with that close.
const IDLE_THINK_TIME: Duration = Duration::from_millis(300);
/// One in this many clients of a process is idle, in schedules with idle clients.
const CLIENTS_PER_IDLE_CLIENT: usize = 4;
/// The delay after a failed connection attempt, and between checks whether the process is in
/// rotation.
const CONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// Whether clients connect to a process. The site sets it, and the clients read it.
pub type RotationFlag = Arc<AtomicBool>;

/// The result of a request, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A response with its status and body.
    Response(u16, Vec<u8>),
    /// No complete response: the connection was closed, or the client's read timed out.
    ConnectionLost,
}

/// A request, as its client recorded it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request id.
    pub id: String,
    /// Whether the request may be executed more than once.
    pub effect: EffectClass,
    /// The number of the process that the client connected to.
    pub process: usize,
    /// Whether the request was the first on its connection.
    pub is_first: bool,
    /// When the client started to connect.
    pub connect_started_at: Instant,
    /// When the client started to send the request.
    pub started_at: Instant,
    /// When the client had the complete response, or gave the request up as lost.
    pub ended_at: Instant,
    /// The result of the request.
    pub outcome: CallOutcome,
}

/// The running clients of a play.
pub struct Clients {
    threads: Vec<JoinHandle<()>>,
    calls: Arc<Mutex<Vec<Call>>>,
    is_stopping: Arc<AtomicBool>,
}

impl Clients {
    /// Starts `count` clients, distributed evenly over the processes. A client connects to its
    /// process while the process is in rotation. With `has_idle_clients` some clients make long
    /// pauses between their requests.
    pub fn start(
        count: usize,
        processes: &[(SocketAddr, RotationFlag)],
        has_idle_clients: bool,
    ) -> Clients {
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let is_stopping: Arc<AtomicBool> = Arc::default();
        let threads = (0..count).map(|number| {
            let process = number % processes.len();
            let is_idle =
                has_idle_clients && number / processes.len() % CLIENTS_PER_IDLE_CLIENT == 0;
            let think_time = if is_idle { IDLE_THINK_TIME } else { THINK_TIME };
            let client = Client {
                number,
                think_time,
                process,
                address: processes[process].0,
                in_rotation: processes[process].1.clone(),
                calls: calls.clone(),
                is_stopping: is_stopping.clone(),
                sent_count: 0,
            };
            thread::spawn(move || client.run())
        });
        Clients {
            threads: threads.collect(),
            calls,
            is_stopping,
        }
    }

    /// Stops the clients once each has completed its current request, and returns all requests.
    pub fn stop(self) -> Vec<Call> {
        self.is_stopping.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a client thread panicked");
        }
        std::mem::take(&mut *self.calls.lock().unwrap())
    }
}

struct Client {
    number: usize,
    think_time: Duration,
    process: usize,
    address: SocketAddr,
    in_rotation: RotationFlag,
    calls: Arc<Mutex<Vec<Call>>>,
    is_stopping: Arc<AtomicBool>,
    sent_count: usize,
}

impl Client {
    fn run(mut self) {
        while !self.is_stopping.load(Ordering::SeqCst) {
            let is_in_rotation = self.in_rotation.load(Ordering::SeqCst);
            let connect_started_at = Instant::now();
            let connected = is_in_rotation.then(|| TcpStream::connect(self.address));
            match connected {
                Some(Ok(stream)) => self.send_requests(&stream, connect_started_at),
                Some(Err(_)) | None => thread::sleep(CONNECT_INTERVAL),
            }
        }
    }

    /// Sends requests on one connection until it is closed or the client is stopped.
    fn send_requests(&mut self, stream: &TcpStream, connect_started_at: Instant) {
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("cannot set the read timeout");
        let mut reader = BufReader::new(stream.try_clone().expect("cannot duplicate the socket"));
        let mut is_first = true;
        while !self.is_stopping.load(Ordering::SeqCst) {
            let (id, effect) = self.next_request();
            let started_at = Instant::now();
            let mut writer = stream;
            let is_sent = writer
                .write_all(request_text(&id, effect).as_bytes())
                .is_ok();
            let response = is_sent.then(|| Message::read(&mut reader)).flatten();
            let is_closed = response
                .as_ref()
                .is_none_or(|response| response.header("connection") == Some("close"));
            let outcome = response.map_or(CallOutcome::ConnectionLost, |response| {
                CallOutcome::Response(response.status(), response.body)
            });
            let is_served = matches!(outcome, CallOutcome::Response(200, _));
            self.calls.lock().unwrap().push(Call {
                id,
                effect,
                process: self.process,
                is_first,
                connect_started_at,
                started_at,
                ended_at: Instant::now(),
                outcome,
            });
            if is_closed {
                // A client whose request was not served waits before it reconnects.
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
        self.sent_count += 1;
        let effect = if self.sent_count % 3 == 0 {
            EffectClass::NonIdempotent
        } else {
            EffectClass::Idempotent
        };
        (format!("c{}-{}", self.number, self.sent_count), effect)
    }
}

/// Returns a request that the processes of both deployments accept.
fn request_text(id: &str, effect: EffectClass) -> String {
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
