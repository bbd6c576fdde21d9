//! What can go wrong with a backend, and a backend that is cold.

use crate::{listen, ok, Backend};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A way in which a backend does harm.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Nothing listens.
    Refuse,
    /// It takes requests and says nothing.
    Silent,
    /// It sends so many bytes of this and then resets the connection.
    ResetAfter(usize, String),
    /// It sends this a few bytes at a time, with a wait before each.
    Trickle(String, usize, Duration),
    /// It sends this in place of an answer and keeps the connection open.
    Malformed(String),
    /// It answers with this as soon as the head of a request is there, and reads no more of it.
    Early(String),
}

impl Fault {
    /// Starts a backend with this fault. With [`Fault::Early`] the requests are not recorded.
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
                reset(stream);
                false
            }),
            Fault::Trickle(text, each, wait) => Backend::start(move |_, stream| {
                text.as_bytes().chunks(each.max(1)).all(|part| {
                    thread::sleep(wait);
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

/// Ends a connection with a reset. What was written just before may be lost to the peer, so it is
/// given a moment.
fn reset(stream: &TcpStream) {
    thread::sleep(Duration::from_millis(20));
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
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
                // Held open, unread, until the peer is done with it.
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

/// A backend that answers at once and writes down when each request came.
pub struct ArrivalRecorder {
    /// Where it listens.
    pub address: SocketAddr,
    intake: Arc<Mutex<Vec<Instant>>>,
}

impl ArrivalRecorder {
    /// Starts one.
    pub fn start() -> ArrivalRecorder {
        let intake: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let kept = intake.clone();
        let backend = Backend::start(move |_, stream| {
            kept.lock().unwrap().push(Instant::now());
            stream.write_all(ok("cold").as_bytes()).is_ok()
        });
        ArrivalRecorder {
            address: backend.address,
            intake,
        }
    }

    /// When each request came, since a moment.
    pub fn since(&self, moment: Instant) -> Vec<Duration> {
        let intake = self.intake.lock().unwrap();
        intake
            .iter()
            .filter(|at| **at >= moment)
            .map(|at| at.duration_since(moment))
            .collect()
    }

    /// The most requests in any span of this length.
    pub fn peak(&self, span: Duration) -> usize {
        let intake = self.intake.lock().unwrap();
        let within = |from: &Instant| {
            intake
                .iter()
                .filter(|at| **at >= *from && **at < *from + span)
                .count()
        };
        intake.iter().map(within).max().unwrap_or_default()
    }
}

/// A listener with room for one connection that nobody accepts, which is taken: a further one does
/// not come up until [`FullListener::accept_filler`], and then only as the system tries again by itself.
pub struct FullListener {
    /// Where it listens.
    pub address: SocketAddr,
    listener: socket2::Socket,
    filler: Option<TcpStream>,
}

impl FullListener {
    /// Starts one. `window` bytes at the most wait there unread, if it is told.
    pub fn start(window: Option<usize>) -> FullListener {
        let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket");
        if let Some(window) = window {
            listener.set_recv_buffer_size(window).expect("a buffer");
        }
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        listener.listen(0).expect("it listens");
        // It holds for accepting too.
        listener
            .set_read_timeout(Some(crate::WAIT_TIMEOUT))
            .expect("a time limit");
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

    /// Has further connections come up.
    pub fn accept_filler(&mut self) {
        drop(self.listener.accept().expect("the filler"));
        self.filler = None;
    }

    /// The next connection that has come up.
    pub fn accept(&self) -> TcpStream {
        let stream = TcpStream::from(self.listener.accept().expect("a connection").0);
        stream
            .set_read_timeout(Some(crate::WAIT_TIMEOUT))
            .expect("a time-out");
        stream
    }

    /// All that the next connection that has come up brings until its end.
    pub fn read_next(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // A reset is an end too.
        let _ = self.accept().read_to_end(&mut bytes);
        bytes
    }
}
