//! Clients that send requests at random times on kept connections and compare each response with
//! its request.

use super::endpoint::ANSWER_HEADER;
use super::{Deployment, Framing, Play};
use crate::load::{open_connection, OpenConnection};
use dewrun_test_support::{request_text, Message};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Time of a request beside that of its endpoint, by which the number of clients is chosen; each has one
/// request in flight at a time.
const MAX_OVERHEAD: Duration = Duration::from_millis(20);
const MIN_CLIENTS: f64 = 2.0;
const MAX_CLIENTS: f64 = 64.0;
/// Time that a client of the platform gives a request, in milliseconds.
const REQUEST_TIMEOUT_MS: u32 = 8_000;

/// What a client got for a request.
pub(super) enum CallResult {
    /// The response to its request.
    Answered {
        /// Time from the intended start of the request.
        latency: Duration,
    },
    /// The response to another request.
    WrongAnswer {
        /// Id of the request.
        request: String,
        /// Id that the response names.
        answer: String,
    },
    /// A response of the proxy itself.
    Refused,
    /// No response.
    Lost,
}

/// Runs the clients of a play until its duration is over.
pub(super) fn run_all(play: &Play, address: SocketAddr, started_at: Instant) -> Vec<CallResult> {
    let in_flight = play.rate_per_s * (play.service_time + MAX_OVERHEAD).as_secs_f64();
    let clients = in_flight.ceil().clamp(MIN_CLIENTS, MAX_CLIENTS) as usize;
    thread::scope(|scope| {
        let running: Vec<_> = (0..clients)
            .map(|number| {
                let client = Client::new(play, number, clients, address);
                scope.spawn(move || client.run(started_at))
            })
            .collect();
        let results = running
            .into_iter()
            .map(|client| client.join().expect("a client does not panic"));
        results.flatten().collect()
    })
}

struct Client<'a> {
    play: &'a Play,
    number: usize,
    mean_interval: Duration,
    address: SocketAddr,
    rng: Xoshiro256PlusPlus,
    connection: Option<OpenConnection>,
}

impl Client<'_> {
    fn new(play: &Play, number: usize, clients: usize, address: SocketAddr) -> Client<'_> {
        Client {
            play,
            number,
            mean_interval: Duration::from_secs_f64(clients as f64 / play.rate_per_s),
            address,
            rng: Xoshiro256PlusPlus::seed_from_u64(play.seed.wrapping_add(number as u64) << 8),
            connection: None,
        }
    }

    fn run(mut self, started_at: Instant) -> Vec<CallResult> {
        let mut results = Vec::new();
        let mut intended = started_at;
        loop {
            let exponential = -self.rng.random_range(f64::EPSILON..1.0_f64).ln();
            intended += self.mean_interval.mul_f64(exponential);
            if intended >= started_at + self.play.duration {
                return results;
            }
            thread::sleep(intended.saturating_duration_since(Instant::now()));
            let id = format!("c{}-{}", self.number, results.len());
            results.push(self.call(&id, intended));
        }
    }

    fn call(&mut self, id: &str, intended: Instant) -> CallResult {
        let Some(response) = self.exchange(id) else {
            self.connection = None;
            return CallResult::Lost;
        };
        if response.header("connection") == Some("close") {
            self.connection = None;
        }
        if !matches!(response.status(), 200 | 204) {
            return CallResult::Refused;
        }
        let answer = self.answered_id(&response);
        if answer != id {
            return CallResult::WrongAnswer {
                request: id.to_owned(),
                answer,
            };
        }
        CallResult::Answered {
            latency: intended.elapsed(),
        }
    }

    /// Returns the id of the request that a response answers.
    fn answered_id(&self, response: &Message) -> String {
        match self.play.framing {
            Framing::Length | Framing::Chunks => {
                String::from_utf8_lossy(&response.body).into_owned()
            }
            Framing::NoContent | Framing::Head => {
                response.header(ANSWER_HEADER).unwrap_or("none").to_owned()
            }
        }
    }

    /// Sends a request and reads its response; returns `None` if there is none.
    fn exchange(&mut self, id: &str) -> Option<Message> {
        if self.connection.is_none() {
            self.connection = Some(open_connection(self.address)?);
        }
        let request = self.request(id);
        let (stream, reader) = self.connection.as_mut()?;
        stream.write_all(request.as_bytes()).ok()?;
        match self.play.framing {
            Framing::Length | Framing::Chunks => Message::read(reader),
            Framing::NoContent | Framing::Head => Message::read_head(reader),
        }
    }

    fn request(&self, id: &str) -> String {
        match self.play.deployment {
            // A request of this class is neither retried nor hedged on another connection.
            Deployment::Platform => request_text("once", id, REQUEST_TIMEOUT_MS, "x"),
            Deployment::Installation => {
                let method = match self.play.framing {
                    Framing::Head => "HEAD",
                    _ => "GET",
                };
                format!("{method} /x HTTP/1.1\r\nHost: rig\r\nRequest-Id: {id}\r\n\r\n")
            }
        }
    }
}
