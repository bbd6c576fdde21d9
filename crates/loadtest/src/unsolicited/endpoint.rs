//! An endpoint that sends unsolicited bytes behind some responses.

use super::{Framing, Play, Trailer};
use dewrun_test_support::{Backend, Message};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Header of a response with the id of the request that it answers.
pub(super) const ANSWER_HEADER: &str = "Answer-To";
/// The first trailer follows one of so many first responses.
const MAX_FIRST_TRAILER: usize = 5;
/// Each response of this many has a trailer behind the first one.
const TRAILER_INTERVAL: usize = 25;
/// A trailer that would be later than this after its time is not written.
const MAX_TRAILER_OVERRUN: Duration = Duration::from_millis(2);
const NOISE: &str = "noise behind a response\r\n";

/// What an endpoint does.
pub(super) struct EndpointScript {
    trailer: Option<Trailer>,
    delay: Duration,
    has_nagle: bool,
    framing: Framing,
    service_time: Duration,
    first_trailer: usize,
}

impl EndpointScript {
    /// Returns the script of one of a play's endpoints.
    pub(super) fn new(play: &Play, member: usize) -> EndpointScript {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(play.seed ^ (member as u64 + 1) << 32);
        EndpointScript {
            trailer: play.trailer,
            delay: play.delay,
            has_nagle: play.has_nagle,
            framing: play.framing,
            service_time: play.service_time,
            first_trailer: rng.random_range(0..MAX_FIRST_TRAILER),
        }
    }

    fn has_trailer(&self, number: usize) -> bool {
        let since_first = number.checked_sub(self.first_trailer);
        since_first.is_some_and(|since| since % TRAILER_INTERVAL == 0)
    }

    fn response(&self, id: &str) -> String {
        let answer = format!("{ANSWER_HEADER}: {id}\r\n");
        let length = id.len();
        match self.framing {
            Framing::Length => {
                format!("HTTP/1.1 200 OK\r\n{answer}Content-Length: {length}\r\n\r\n{id}")
            }
            Framing::Chunks => format!(
                "HTTP/1.1 200 OK\r\n{answer}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{id}\r\n0\r\n\r\n"
            ),
            Framing::NoContent => format!("HTTP/1.1 204 No Content\r\n{answer}\r\n"),
            Framing::Head => {
                format!("HTTP/1.1 200 OK\r\n{answer}Content-Length: {length}\r\n\r\n")
            }
        }
    }

    fn trailer_text(&self, trailer: Trailer, response: &str) -> String {
        match trailer {
            Trailer::Copy => response.to_owned(),
            Trailer::OtherResponse => self.response("other"),
            Trailer::Noise => NOISE.to_owned(),
        }
    }
}

/// A running endpoint.
pub(super) struct Endpoint {
    backend: Backend,
    trailers: Arc<Trailers>,
}

/// The trailers of an endpoint.
struct Trailers {
    script: EndpointScript,
    is_armed: AtomicBool,
    /// Responses since trailers began.
    armed_responses: AtomicUsize,
    written: AtomicUsize,
    latest_us: AtomicU64,
}

impl Endpoint {
    /// Starts an endpoint that sends no trailers yet.
    pub(super) fn start(script: EndpointScript) -> Endpoint {
        let trailers = Arc::new(Trailers {
            script,
            is_armed: AtomicBool::default(),
            armed_responses: AtomicUsize::default(),
            written: AtomicUsize::default(),
            latest_us: AtomicU64::default(),
        });
        let responding = trailers.clone();
        let backend =
            Backend::start_unrecorded(move |request, stream| responding.respond(&request, stream));
        Endpoint { backend, trailers }
    }

    /// Returns the listen address.
    pub(super) fn address(&self) -> SocketAddr {
        self.backend.address
    }

    /// Lets the endpoint send trailers from now on.
    pub(super) fn arm(&self) {
        self.trailers.is_armed.store(true, Ordering::SeqCst);
    }

    /// Returns the number of connections accepted so far.
    pub(super) fn connections(&self) -> usize {
        self.backend.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of trailers written so far.
    pub(super) fn trailers(&self) -> usize {
        self.trailers.written.load(Ordering::SeqCst)
    }

    /// Returns the longest time from a response to its trailer so far.
    pub(super) fn latest_trailer(&self) -> Duration {
        Duration::from_micros(self.trailers.latest_us.load(Ordering::SeqCst))
    }
}

impl Trailers {
    /// Answers a request, with a trailer if one is due. Returns false if the connection is closed.
    fn respond(self: &Arc<Trailers>, request: &Message, stream: &mut TcpStream) -> bool {
        let _ = stream.set_nodelay(!self.script.has_nagle);
        let id = request.header("request-id").unwrap_or("none");
        thread::sleep(self.script.service_time);
        let response = self.script.response(id);
        if stream.write_all(response.as_bytes()).is_err() {
            return false;
        }
        self.send_if_due(stream, &response);
        true
    }

    fn send_if_due(self: &Arc<Trailers>, stream: &mut TcpStream, response: &str) {
        let responded_at = Instant::now();
        let Some(trailer) = self.script.trailer else {
            return;
        };
        if !self.is_armed.load(Ordering::SeqCst) {
            return;
        }
        let number = self.armed_responses.fetch_add(1, Ordering::SeqCst);
        if !self.script.has_trailer(number) {
            return;
        }
        let text = self.script.trailer_text(trailer, response);
        if self.script.delay.is_zero() {
            self.write(stream, &text, responded_at);
            return;
        }
        let Ok(mut later) = stream.try_clone() else {
            return;
        };
        let trailers = self.clone();
        thread::spawn(move || {
            thread::sleep(trailers.script.delay);
            // A thread that wakes up late on a busy machine would write what the play does not ask for.
            if responded_at.elapsed() <= trailers.script.delay + MAX_TRAILER_OVERRUN {
                trailers.write(&mut later, &text, responded_at);
            }
        });
    }

    /// Writes a trailer; the connection may be closed by then.
    fn write(&self, stream: &mut TcpStream, text: &str, responded_at: Instant) {
        let is_written = stream.write_all(text.as_bytes()).is_ok();
        let elapsed_us = responded_at.elapsed().as_micros() as u64;
        self.latest_us.fetch_max(elapsed_us, Ordering::SeqCst);
        self.written
            .fetch_add(usize::from(is_written), Ordering::SeqCst);
    }
}
