//! An endpoint that sends unsolicited bytes behind some responses.

use super::{Framing, Play, Trailer};
use dewrun_test_support::{listen, Message};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::io::{BufReader, Write};
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
    /// Its listen address.
    pub(super) address: SocketAddr,
    script: EndpointScript,
    is_armed: AtomicBool,
    /// Responses since trailers began.
    armed_responses: AtomicUsize,
    connections: AtomicUsize,
    trailers: AtomicUsize,
    latest_trailer_us: AtomicU64,
}

impl Endpoint {
    /// Starts an endpoint that sends no trailers yet.
    pub(super) fn start(script: EndpointScript) -> Arc<Endpoint> {
        let (listener, address) = listen();
        let endpoint = Arc::new(Endpoint {
            address,
            script,
            is_armed: AtomicBool::default(),
            armed_responses: AtomicUsize::default(),
            connections: AtomicUsize::default(),
            trailers: AtomicUsize::default(),
            latest_trailer_us: AtomicU64::default(),
        });
        let accepting = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accepting.connections.fetch_add(1, Ordering::SeqCst);
                let endpoint = accepting.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    /// Lets the endpoint send trailers from now on.
    pub(super) fn arm(&self) {
        self.is_armed.store(true, Ordering::SeqCst);
    }

    /// Returns the number of connections accepted so far.
    pub(super) fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of trailers written so far.
    pub(super) fn trailers(&self) -> usize {
        self.trailers.load(Ordering::SeqCst)
    }

    /// Returns the longest time from a response to its trailer so far.
    pub(super) fn latest_trailer(&self) -> Duration {
        Duration::from_micros(self.latest_trailer_us.load(Ordering::SeqCst))
    }

    fn serve(self: &Arc<Endpoint>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(!self.script.has_nagle);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Some(request) = Message::read(&mut reader) {
            let id = request.header("request-id").unwrap_or("none").to_owned();
            thread::sleep(self.script.service_time);
            let response = self.script.response(&id);
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
            self.send_trailer_if_due(&mut stream, &response);
        }
    }

    fn send_trailer_if_due(self: &Arc<Endpoint>, stream: &mut TcpStream, response: &str) {
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
            self.write_trailer(stream, &text, responded_at);
            return;
        }
        let Ok(mut later) = stream.try_clone() else {
            return;
        };
        let endpoint = self.clone();
        thread::spawn(move || {
            thread::sleep(endpoint.script.delay);
            // A thread that wakes up late on a busy machine would write what the play does not ask for.
            if responded_at.elapsed() <= endpoint.script.delay + MAX_TRAILER_OVERRUN {
                endpoint.write_trailer(&mut later, &text, responded_at);
            }
        });
    }

    /// Writes a trailer; the connection may be closed by then.
    fn write_trailer(&self, stream: &mut TcpStream, text: &str, responded_at: Instant) {
        let is_written = stream.write_all(text.as_bytes()).is_ok();
        let elapsed_us = responded_at.elapsed().as_micros() as u64;
        self.latest_trailer_us
            .fetch_max(elapsed_us, Ordering::SeqCst);
        self.trailers
            .fetch_add(usize::from(is_written), Ordering::SeqCst);
    }
}
