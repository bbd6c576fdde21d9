//! A stand-in for the platform's discovery service that can be slow, unresponsive or unavailable
//! for a time.

use dewrun_test_support::{list, listen, ok, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// The interval of heartbeats (empty lines) on an open watch. The platform guarantees one at least
/// every 2 s.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The delay of a response while discovery is slow. The platform allows up to 2 s.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(1_200);
const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// How discovery handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Requests are answered immediately.
    #[default]
    Available,
    /// Requests are answered after a delay.
    Slow,
    /// Requests get no response, and open watches get no further data.
    Unresponsive,
    /// Requests are answered with status 503, and open watches are closed.
    Unavailable,
}

impl Availability {
    /// Returns whether a request gets a list in its response.
    pub fn can_serve_lists(self) -> bool {
        matches!(self, Availability::Available | Availability::Slow)
    }
}

struct State {
    availability: Availability,
    current_list: String,
    watches: Vec<TcpStream>,
    /// Connections that stay open and on which nothing more is sent.
    silent_connections: Vec<TcpStream>,
}

/// A running stand-in for the discovery service.
pub struct Discovery {
    /// The listen address.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    /// Starts a service with an empty list.
    pub fn start() -> Discovery {
        let (listener, address) = listen();
        let state = Arc::new(Mutex::new(State {
            availability: Availability::Available,
            current_list: list(0, true, &[]),
            watches: Vec::new(),
            silent_connections: Vec::new(),
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                thread::spawn(move || handle_request(stream, &shared));
            }
        });
        let shared = state.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT_INTERVAL);
            send_line(&mut lock(&shared).watches, "");
        });
        Discovery { address, state }
    }

    /// Replaces the list, and sends it on open watches while discovery serves lists.
    pub fn set_list(&self, list: String) {
        let mut state = lock(&self.state);
        if state.availability.can_serve_lists() {
            send_line(&mut state.watches, &list);
        }
        state.current_list = list;
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        lock(&self.state).watches.clear();
    }

    /// Keeps all current watches open, but sends nothing more on them.
    pub fn silence_watches(&self) {
        let mut state = lock(&self.state);
        let watches = std::mem::take(&mut state.watches);
        state.silent_connections.extend(watches);
    }

    /// Changes how requests are handled, and silences or closes the open watches accordingly.
    pub fn set_availability(&self, availability: Availability) {
        lock(&self.state).availability = availability;
        match availability {
            Availability::Available | Availability::Slow => {}
            Availability::Unresponsive => self.silence_watches(),
            Availability::Unavailable => self.close_watches(),
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("a discovery thread panicked")
}

/// Sends a line on all watches, and removes those whose connection is closed.
fn send_line(watches: &mut Vec<TcpStream>, line: &str) {
    watches.retain_mut(|watch| watch.write_all(chunk(line).as_bytes()).is_ok());
}

/// Handles the only request of a connection.
fn handle_request(mut stream: TcpStream, state: &Mutex<State>) {
    let mut reader = BufReader::new(stream.try_clone().expect("cannot duplicate the socket"));
    let Some(request) = Message::read(&mut reader) else {
        return;
    };
    if lock(state).availability == Availability::Slow {
        thread::sleep(SLOW_RESPONSE_DELAY);
    }
    let mut state = lock(state);
    let is_watch = request.head.contains("stream=1");
    match state.availability {
        Availability::Unresponsive => state.silent_connections.push(stream),
        Availability::Unavailable => drop(stream.write_all(UNAVAILABLE_RESPONSE.as_bytes())),
        Availability::Available | Availability::Slow if is_watch => {
            let first = format!("{WATCH_HEAD}{}", chunk(&state.current_list));
            if stream.write_all(first.as_bytes()).is_ok() {
                state.watches.push(stream);
            }
        }
        Availability::Available | Availability::Slow => {
            drop(stream.write_all(ok(&state.current_list).as_bytes()));
        }
    }
}

/// Returns a line, with its line feed, as one chunk of the chunked transfer coding.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
