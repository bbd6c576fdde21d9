//! Endpoints that answer by a script.

use crate::Message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A good answer.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A listener on a port of the system's choice.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// A backend that hands each request, with its number from 0, to a script; the connection ends when
/// that gives false.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// The whole requests that it has read.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Connections accepted so far.
    pub connections: Arc<AtomicUsize>,
    /// Connections that the peer closed.
    pub closed: Arc<AtomicUsize>,
}

impl Backend {
    /// Starts one.
    pub fn start(
        script: impl Fn(usize, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Backend {
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let kept = seen.clone();
        let backend = Backend::start_unrecorded(move |message, stream| {
            let number = {
                let mut seen = kept.lock().unwrap();
                seen.push(message);
                seen.len() - 1
            };
            script(number, stream)
        });
        Backend {
            requests: seen,
            ..backend
        }
    }

    /// Starts one that keeps nothing: each request goes to what answers it.
    pub fn start_unrecorded(
        answer: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Backend {
        let (listener, address) = listen();
        let backend = Backend {
            address,
            requests: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (connections, closed) = (backend.connections.clone(), backend.closed.clone());
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                connections.fetch_add(1, Ordering::SeqCst);
                let (answer, closed) = (answer.clone(), closed.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    while let Some(message) = Message::read(&mut reader) {
                        if !answer(message, &mut stream) {
                            return;
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    /// Answers every request with the same text.
    pub fn with_response(text: &'static str) -> Backend {
        Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok())
    }

    /// How many requests it has read.
    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}
