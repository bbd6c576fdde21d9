//! Endpoints whose responses are scripted.

use crate::Message;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Returns a 200 response with a body.
pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Binds a listener to a loopback port that the system chooses.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Frees the address of a listener. Closing it is not enough: a program that another test starts has a
/// copy of its descriptor until it runs.
pub fn stop_listening(listener: TcpListener) {
    SockRef::from(&listener)
        .shutdown(Shutdown::Both)
        .expect("it stops listening");
}

/// An endpoint that answers its requests with a script; a connection ends when the script returns
/// false.
pub struct Backend {
    /// The listen address.
    pub address: SocketAddr,
    /// The complete requests read so far.
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Connections accepted so far.
    pub connections: Arc<AtomicUsize>,
    /// Connections that the peer closed.
    pub closed: Arc<AtomicUsize>,
}

impl Backend {
    /// Starts an endpoint that records each request and passes its number, from 0, to the script.
    pub fn start(
        script: impl Fn(usize, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Backend {
        let requests: Arc<Mutex<Vec<Message>>> = Arc::default();
        let recorded = requests.clone();
        let backend = Backend::start_unrecorded(move |message, stream| {
            let number = {
                let mut requests = recorded.lock().unwrap();
                requests.push(message);
                requests.len() - 1
            };
            script(number, stream)
        });
        Backend {
            requests,
            ..backend
        }
    }

    /// Starts an endpoint that records no requests and passes each one to the script.
    pub fn start_unrecorded(
        script: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Backend {
        let (listener, address) = listen();
        let backend = Backend {
            address,
            requests: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (connections, closed) = (backend.connections.clone(), backend.closed.clone());
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                connections.fetch_add(1, Ordering::SeqCst);
                let (script, closed) = (script.clone(), closed.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    while let Some(message) = Message::read(&mut reader) {
                        if !script(message, &mut stream) {
                            return;
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    /// Starts an endpoint that answers every request with the same text.
    pub fn with_response(text: &'static str) -> Backend {
        Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok())
    }

    /// Returns the number of recorded requests.
    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}
