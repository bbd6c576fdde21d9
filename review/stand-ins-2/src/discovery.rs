//! A stand-in for discovery: it answers a call with the whole list, and a watch with the changes and
//! an empty line every 2 s.

use crate::http::Reader;
use crate::{list, Case};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What discovery does with its next calls, first to last.
#[derive(Clone, Copy)]
pub enum Turn {
    /// Answers the call after it has waited for its turn for this time.
    Answer(Duration),
    /// Answers 503 after the call has waited for this time.
    Refuse(Duration),
}

#[derive(Default)]
struct State {
    index: u32,
    entries: Vec<String>,
    watches: Vec<TcpStream>,
    turns: Vec<Turn>,
    first_full_list_at: Option<Instant>,
}

/// A running discovery.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    pub fn start(
        case: &Case,
        name: &str,
        index: u32,
        entries: &[String],
        turns: &[Turn],
    ) -> Discovery {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        case.log(format!("discovery {name} at {address}"));
        let state = Arc::new(Mutex::new(State {
            index,
            entries: entries.to_vec(),
            turns: turns.to_vec(),
            ..State::default()
        }));
        let discovery = Discovery { address, state };
        let (accepting, case, name) = (discovery.clone(), case.clone(), name.to_string());
        let heartbeat = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (discovery, case, name) = (accepting.clone(), case.clone(), name.clone());
                thread::spawn(move || discovery.answer(&case, &name, stream));
            }
        });
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(2));
            heartbeat
                .state
                .lock()
                .unwrap()
                .watches
                .retain_mut(|watch| chunk(watch, "\n"));
        });
        discovery
    }

    fn answer(&self, case: &Case, name: &str, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone().expect("a second handle"));
        let Some(request) = reader.message() else {
            return;
        };
        let turn = {
            let turns = &mut self.state.lock().unwrap().turns;
            if turns.is_empty() {
                Turn::Answer(Duration::ZERO)
            } else {
                turns.remove(0)
            }
        };
        case.log(format!("discovery {name} got {}", request.start));
        match turn {
            Turn::Answer(wait) => thread::sleep(wait),
            Turn::Refuse(wait) => {
                thread::sleep(wait);
                case.log(format!("discovery {name} answers 503"));
                let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                return;
            }
        }
        let mut state = self.state.lock().unwrap();
        let target = request.start.split(' ').nth(1).unwrap_or("");
        let whole = list(state.index, true, &state.entries);
        if !target.contains("stream=1") {
            case.log(format!(
                "discovery {name} answers with the whole list {}",
                state.index
            ));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
            let _ = stream.write_all(format!("{head}{whole}").as_bytes());
            state.first_full_list_at.get_or_insert(Instant::now());
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if !target.contains(&format!("index={}", state.index)) {
            chunk(&mut stream, &format!("{whole}\n"));
            state.first_full_list_at.get_or_insert(Instant::now());
        } else {
            chunk(&mut stream, "\n");
        }
        case.log(format!("discovery {name} opens a watch"));
        state.watches.push(stream);
    }

    /// Tells all watches of changed entries.
    pub fn tell(&self, index: u32, changed: &[String], all: &[String]) {
        let mut state = self.state.lock().unwrap();
        state.index = index;
        state.entries = all.to_vec();
        let line = format!("{}\n", list(index, false, changed));
        state.watches.retain_mut(|watch| chunk(watch, &line));
    }

    /// When a whole list was first told.
    pub fn told_at(&self) -> Option<Instant> {
        self.state.lock().unwrap().first_full_list_at
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> bool {
    stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .is_ok()
}
