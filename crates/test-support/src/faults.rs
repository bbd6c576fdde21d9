//! Faulty endpoints, an endpoint that records arrival times, and a listener with a full backlog.

use crate::response_script::reset_on_close;
use crate::{listen, ok, Backend};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A way in which an endpoint fails.
#[derive(Clone, Debug)]
pub enum Fault {
    /// No listener: connections are refused.
    Refuse,
    /// Requests are read and never answered.
    Silent,
    /// The first bytes of the text are sent, then the connection is reset.
    ResetAfter(usize, String),
    /// The text is sent in parts of this many bytes, with a delay before each part.
    Trickle(String, usize, Duration),
    /// The text is sent in place of a response; the connection stays open.
    Malformed(String),
    /// The text is sent as soon as the head of a request was read; the body is not read.
    Early(String),
}

impl Fault {
    /// Starts an endpoint with this fault. With [`Fault::Early`] the requests are not recorded.
    pub fn start(self) -> Backend {
        match self {
            Fault::Refuse => {
                let backend = Backend::with_response("");
                Backend {
                    address: crate::free_address(),
                    ..backend
                }
            }
            Fault::Silent => Backend::start(|_, _| true),
            Fault::ResetAfter(bytes, text) => Backend::start(move |_, stream| {
                let _ = stream.write_all(&text.as_bytes()[..bytes.min(text.len())]);
                reset_on_close(stream);
                false
            }),
            Fault::Trickle(text, part_bytes, delay) => Backend::start(move |_, stream| {
                text.as_bytes().chunks(part_bytes.max(1)).all(|part| {
                    thread::sleep(delay);
                    stream.write_all(part).is_ok()
                })
            }),
            Fault::Malformed(text) => {
                Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok())
            }
            Fault::Early(text) => early(text),
        }
    }
}

fn early(text: String) -> Backend {
    let (listener, address) = listen();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, text) = (stream.expect("a connection"), text.clone());
            thread::spawn(move || {
                let mut head = Vec::new();
                let mut byte = [0];
                while !head.ends_with(b"\r\n\r\n") {
                    match stream.read(&mut byte) {
                        Ok(1) => head.push(byte[0]),
                        _ => return,
                    }
                }
                let _ = stream.write_all(text.as_bytes());
                // The connection stays open and unread until the peer has handled the response.
                thread::sleep(Duration::from_secs(5));
            });
        }
    });
    Backend {
        address,
        requests: Arc::default(),
        connections: Arc::default(),
        closed: Arc::default(),
    }
}

/// An endpoint that answers at once and records the arrival time of each request.
pub struct ArrivalRecorder {
    /// The listen address.
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl ArrivalRecorder {
    /// Starts the endpoint.
    pub fn start() -> ArrivalRecorder {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded = arrivals.clone();
        let backend = Backend::start(move |_, stream| {
            recorded.lock().unwrap().push(Instant::now());
            stream.write_all(ok("cold").as_bytes()).is_ok()
        });
        ArrivalRecorder {
            address: backend.address,
            arrivals,
        }
    }

    /// Returns the arrivals since `start`, as offsets from it.
    pub fn since(&self, start: Instant) -> Vec<Duration> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals
            .iter()
            .filter(|at| **at >= start)
            .map(|at| at.duration_since(start))
            .collect()
    }

    /// Returns the largest number of requests within any span of this length.
    pub fn peak(&self, span: Duration) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let count_from = |from: &Instant| {
            arrivals
                .iter()
                .filter(|at| **at >= *from && **at < *from + span)
                .count()
        };
        arrivals.iter().map(count_from).max().unwrap_or_default()
    }
}

/// A listener whose backlog has room for one connection, which the listener itself occupies. A
/// further connection is not established until [`FullListener::accept_filler`], and then only when
/// the system of the client retransmits its SYN.
pub struct FullListener {
    /// The listen address.
    pub address: SocketAddr,
    listener: socket2::Socket,
    filler: Option<TcpStream>,
}

impl FullListener {
    /// Starts the listener. `window` limits the receive buffer, in bytes.
    pub fn start(window: Option<usize>) -> FullListener {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket");
        if let Some(window) = window {
            listener.set_recv_buffer_size(window).expect("a buffer");
        }
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        listener.listen(0).expect("listening");
        // The read timeout of a listener also applies to accepting.
        listener
            .set_read_timeout(Some(crate::WAIT_TIMEOUT))
            .expect("setting the accept timeout");
        let address = listener
            .local_addr()
            .expect("its address")
            .as_socket()
            .expect("an address");
        let filler = TcpStream::connect(address).expect("the queue is empty");
        FullListener {
            address,
            listener,
            filler: Some(filler),
        }
    }

    /// Accepts the connection that fills the backlog, so that further ones are established.
    pub fn accept_filler(&mut self) {
        drop(
            self.listener
                .accept()
                .expect("accepting the filler connection"),
        );
        self.filler = None;
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> TcpStream {
        let stream = TcpStream::from(self.listener.accept().expect("a connection").0);
        stream
            .set_read_timeout(Some(crate::WAIT_TIMEOUT))
            .expect("setting the read timeout");
        stream
    }

    /// Accepts the next connection and reads it to its end.
    pub fn read_next(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // A reset also counts as the end.
        let _ = self.accept().read_to_end(&mut bytes);
        bytes
    }
}
