//! A stand-in for the platform's discovery service.

use crate::{listen, ok, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One entry of a list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A list, or a change of one.
pub fn list(index: u32, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

/// Discovery that answers each watch with the present list, if it speaks at all, and then with what
/// is said.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The first lines of what it was asked.
    pub requests: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    present: Arc<Mutex<Option<String>>>,
    beating: Arc<Mutex<bool>>,
    turn_wait: Arc<Mutex<Duration>>,
}

impl Discovery {
    /// Starts one that knows this list.
    pub fn start(present: Option<String>) -> Discovery {
        let (listener, address) = listen();
        let discovery = Discovery {
            address,
            requests: Arc::default(),
            watches: Arc::default(),
            present: Arc::new(Mutex::new(present)),
            beating: Arc::new(Mutex::new(true)),
            turn_wait: Arc::default(),
        };
        let (asked, watches) = (discovery.requests.clone(), discovery.watches.clone());
        let present = discovery.present.clone();
        let turn_wait = discovery.turn_wait.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                let Some(request) = Message::read(&mut reader) else {
                    continue;
                };
                asked
                    .lock()
                    .unwrap()
                    .push(request.head.lines().next().unwrap().to_string());
                let is_known = present.lock().unwrap().is_some();
                if is_known {
                    thread::sleep(*turn_wait.lock().unwrap());
                }
                let mut watches = watches.lock().unwrap();
                let list = present.lock().unwrap().clone().filter(|_| is_known);
                if let Some(list) = &list {
                    if !request.head.contains("stream=1") {
                        let _ = stream.write_all(ok(list).as_bytes());
                        continue;
                    }
                    let _ =
                        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let _ = stream.write_all(chunk(list).as_bytes());
                }
                watches.push(stream);
            }
        });
        let (watches, beating) = (discovery.watches.clone(), discovery.beating.clone());
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(500));
            if *beating.lock().unwrap() {
                watches
                    .lock()
                    .unwrap()
                    .retain_mut(|w| w.write_all(chunk("").as_bytes()).is_ok());
            }
        });
        discovery
    }

    /// Sets what later watches are told first.
    pub fn set(&self, list: String) {
        *self.present.lock().unwrap() = Some(list);
    }

    /// Tells all watches a line, whatever it is.
    pub fn send(&self, line: &str) {
        for watch in self.watches.lock().unwrap().iter_mut() {
            let _ = watch.write_all(chunk(line).as_bytes());
        }
    }

    /// Writes bytes to all watches as they are; false if there is none that takes them.
    pub fn write(&self, bytes: &str) -> bool {
        let part = format!("{:x}\r\n{bytes}\r\n", bytes.len());
        let mut watches = self.watches.lock().unwrap();
        watches
            .iter_mut()
            .filter_map(|watch| watch.write_all(part.as_bytes()).ok())
            .count()
            > 0
    }

    /// Ends all watches.
    pub fn close_watches(&self) {
        self.watches.lock().unwrap().clear();
    }

    /// Ends all watches; calls from now on are taken and never answered.
    pub fn stop_answering(&self) {
        *self.present.lock().unwrap() = None;
        self.stop_heartbeats();
        self.close_watches();
    }

    /// Answers calls from now on, each after it has waited for its turn.
    pub fn answer_with_delay(&self, list: String, turn_wait: Duration) {
        *self.turn_wait.lock().unwrap() = turn_wait;
        self.set(list);
    }

    /// Keeps watches open and says nothing more on them.
    pub fn stop_heartbeats(&self) {
        *self.beating.lock().unwrap() = false;
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
