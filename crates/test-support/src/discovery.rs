//! A stand-in for the platform's discovery service.

use crate::{listen, ok, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Returns one entry of an endpoint list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// Returns a full endpoint list (`snapshot`) or a delta.
pub fn list(index: u32, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

/// A discovery service that answers each watch with the current list, if it has one, and then
/// streams the lines that a test sends.
pub struct Discovery {
    /// The listen address.
    pub address: SocketAddr,
    /// The request lines received so far.
    pub requests: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    current: Arc<Mutex<Option<String>>>,
    sends_heartbeats: Arc<Mutex<bool>>,
    response_delay: Arc<Mutex<Duration>>,
}

impl Discovery {
    /// Starts a service with this list; with `None` requests are accepted and not answered.
    pub fn start(current: Option<String>) -> Discovery {
        let (listener, address) = listen();
        let discovery = Discovery {
            address,
            requests: Arc::default(),
            watches: Arc::default(),
            current: Arc::new(Mutex::new(current)),
            sends_heartbeats: Arc::new(Mutex::new(true)),
            response_delay: Arc::default(),
        };
        let (asked, watches) = (discovery.requests.clone(), discovery.watches.clone());
        let current = discovery.current.clone();
        let response_delay = discovery.response_delay.clone();
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
                let has_list = current.lock().unwrap().is_some();
                if has_list {
                    thread::sleep(*response_delay.lock().unwrap());
                }
                let mut watches = watches.lock().unwrap();
                let list = current.lock().unwrap().clone().filter(|_| has_list);
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
        let (watches, sends_heartbeats) = (
            discovery.watches.clone(),
            discovery.sends_heartbeats.clone(),
        );
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(500));
            if *sends_heartbeats.lock().unwrap() {
                watches
                    .lock()
                    .unwrap()
                    .retain_mut(|w| w.write_all(chunk("").as_bytes()).is_ok());
            }
        });
        discovery
    }

    /// Sets the list with which later requests are answered.
    pub fn set(&self, list: String) {
        *self.current.lock().unwrap() = Some(list);
    }

    /// Sends a line to all watches, as it is.
    pub fn send(&self, line: &str) {
        for watch in self.watches.lock().unwrap().iter_mut() {
            let _ = watch.write_all(chunk(line).as_bytes());
        }
    }

    /// Writes bytes to all watches without a line end; returns whether any watch accepted them.
    pub fn write(&self, bytes: &str) -> bool {
        let part = format!("{:x}\r\n{bytes}\r\n", bytes.len());
        let mut watches = self.watches.lock().unwrap();
        watches
            .iter_mut()
            .filter_map(|watch| watch.write_all(part.as_bytes()).ok())
            .count()
            > 0
    }

    /// Closes all watches.
    pub fn close_watches(&self) {
        self.watches.lock().unwrap().clear();
    }

    /// Closes all watches; later requests are accepted and never answered.
    pub fn stop_answering(&self) {
        *self.current.lock().unwrap() = None;
        self.stop_heartbeats();
        self.close_watches();
    }

    /// Answers later requests one at a time, each after this delay.
    pub fn answer_with_delay(&self, list: String, response_delay: Duration) {
        *self.response_delay.lock().unwrap() = response_delay;
        self.set(list);
    }

    /// Stops the heartbeats and keeps the watches open.
    pub fn stop_heartbeats(&self) {
        *self.sends_heartbeats.lock().unwrap() = false;
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
