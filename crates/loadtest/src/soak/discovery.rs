//! A stand-in for the platform's discovery that can be slow, silent or out of order for a while.

use dewrun_test_support::{list, listen, ok, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Discovery sends an empty line so often on an open watch; the page's bound is 2 s.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a call waits for its turn at a slow discovery; one may wait for up to 2 s.
const SLOW_TURN: Duration = Duration::from_millis(1_200);
const UNAVAILABLE: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
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
    reach: Availability,
    present: String,
    watches: Vec<TcpStream>,
    /// Connections that stay open and on which nothing more is said.
    silent: Vec<TcpStream>,
}

/// A running discovery.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    /// Starts one with an empty list.
    pub fn start() -> Discovery {
        let (listener, address) = listen();
        let state = Arc::new(Mutex::new(State {
            reach: Availability::Available,
            present: list(0, true, &[]),
            watches: Vec::new(),
            silent: Vec::new(),
        }));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                thread::spawn(move || answer(stream, &shared));
            }
        });
        let shared = state.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT_INTERVAL);
            tell(&mut lock(&shared).watches, "");
        });
        Discovery { address, state }
    }

    /// Changes the list, and tells it on open watches if discovery can be reached.
    pub fn set(&self, list: String) {
        let mut state = lock(&self.state);
        if state.reach.can_serve_lists() {
            tell(&mut state.watches, &list);
        }
        state.present = list;
    }

    /// Ends all watches.
    pub fn hang_up(&self) {
        lock(&self.state).watches.clear();
    }

    /// Keeps open watches open and says nothing more on them.
    pub fn mute(&self) {
        let mut state = lock(&self.state);
        let watches = std::mem::take(&mut state.watches);
        state.silent.extend(watches);
    }

    /// Changes how it takes calls.
    pub fn reach(&self, reach: Availability) {
        lock(&self.state).reach = reach;
        match reach {
            Availability::Available | Availability::Slow => {}
            Availability::Unresponsive => self.mute(),
            Availability::Unavailable => self.hang_up(),
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no thread of discovery panics")
}

/// Tells watches a line. Those that are closed are forgotten.
fn tell(watches: &mut Vec<TcpStream>, line: &str) {
    watches.retain_mut(|watch| watch.write_all(chunk(line).as_bytes()).is_ok());
}

/// Takes one call.
fn answer(mut stream: TcpStream, state: &Mutex<State>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let Some(request) = Message::read(&mut reader) else {
        return;
    };
    if lock(state).reach == Availability::Slow {
        thread::sleep(SLOW_TURN);
    }
    let mut state = lock(state);
    let is_watch = request.head.contains("stream=1");
    match state.reach {
        Availability::Unresponsive => state.silent.push(stream),
        Availability::Unavailable => drop(stream.write_all(UNAVAILABLE.as_bytes())),
        Availability::Available | Availability::Slow if is_watch => {
            let first = format!("{WATCH_HEAD}{}", chunk(&state.present));
            if stream.write_all(first.as_bytes()).is_ok() {
                state.watches.push(stream);
            }
        }
        Availability::Available | Availability::Slow => {
            drop(stream.write_all(ok(&state.present).as_bytes()))
        }
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
