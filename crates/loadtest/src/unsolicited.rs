//! Plays of endpoints that send unsolicited bytes behind a response, judged by the clients: each
//! response names the request that it answers.
//!
//! A [`Play`] is one combination of what follows a response, when, in which framing, at which rate
//! and beside how many endpoints. [`Play::draw`] draws one from a seed. The same play with
//! [`Play::without_trailers`] shows what the protection costs requests that need none.

mod client;
mod endpoint;
mod process;

use clap::ValueEnum;
use client::CallResult;
use endpoint::{Endpoint, EndpointScript};
use hdrhistogram::Histogram;
use process::RunningProxy;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::fmt;
use std::ops::RangeInclusive;
use std::thread;
use std::time::{Duration, Instant};

/// Latency above which a response counts as late, in a play whose endpoints answer within a few
/// milliseconds.
const MAX_LATENCY: Duration = Duration::from_secs(1);
const MEMBER_COUNTS: [usize; 3] = [1, 3, 10];
const RATES_PER_S: [f64; 4] = [100.0, 200.0, 430.0, 1_200.0];
const DELAYS_MS: [u64; 7] = [0, 0, 1, 5, 10, 15, 20];
const SERVICE_TIMES_MS: [u64; 3] = [0, 2, 10];

/// Which kind of proxy is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Deployment {
    /// An operator's installation, `dewrun serve`.
    Installation,
    /// The platform's proxy, `dewrun`.
    Platform,
}

/// Unsolicited bytes behind a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Trailer {
    /// The same response again.
    Copy,
    /// A response to another request.
    OtherResponse,
    /// Bytes that are no HTTP message.
    Noise,
}

/// How the end of a response is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Framing {
    /// By a `Content-Length`.
    Length,
    /// By the last chunk.
    Chunks,
    /// A 204, which has no body; in installations.
    NoContent,
    /// A response to HEAD, which has no body; in installations.
    Head,
}

/// When the endpoints begin to send trailers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Onset {
    /// Behind one of the first responses.
    Start,
    /// After some time without any.
    Later,
    /// Behind one of the first responses after a reload that replaces the pool, in the middle.
    Reload,
}

/// One play; see the module documentation.
#[derive(Clone, Debug)]
pub struct Play {
    /// Kind of proxy.
    pub deployment: Deployment,
    /// Number of endpoints.
    pub members: usize,
    /// Requests per second over all clients, at random times.
    pub rate_per_s: f64,
    /// What follows a response; `None` for a play without trailers.
    pub trailer: Option<Trailer>,
    /// Time from a response to its trailer; with zero both are written one after the other.
    pub delay: Duration,
    /// Whether the endpoints' systems hold small writes back until earlier ones are acknowledged
    /// (Nagle's algorithm, no `TCP_NODELAY`).
    pub has_nagle: bool,
    /// How the end of a response is told.
    pub framing: Framing,
    /// When trailers begin.
    pub onset: Onset,
    /// Time that endpoints take for a response.
    pub service_time: Duration,
    /// Sockets that an installation may use; 1,024 if `None`.
    pub max_sockets: Option<usize>,
    /// Period during which requests are sent.
    pub duration: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Play {
    /// Draws a play from a seed.
    pub fn draw(seed: u64, deployment: Deployment, duration: Duration) -> Play {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let framings: &[Framing] = match deployment {
            Deployment::Installation => Framing::value_variants(),
            Deployment::Platform => &[Framing::Length, Framing::Chunks],
        };
        let mut draw = |ms: &[u64]| Duration::from_millis(*ms.choose(&mut rng).expect("a choice"));
        let (delay, service_time) = (draw(&DELAYS_MS), draw(&SERVICE_TIMES_MS));
        Play {
            deployment,
            members: *MEMBER_COUNTS.choose(&mut rng).expect("a choice"),
            rate_per_s: *RATES_PER_S.choose(&mut rng).expect("a choice"),
            trailer: Trailer::value_variants().choose(&mut rng).copied(),
            delay,
            has_nagle: rng.random_bool(0.6),
            framing: *framings.choose(&mut rng).expect("a choice"),
            onset: *Onset::value_variants().choose(&mut rng).expect("a choice"),
            service_time,
            max_sockets: None,
            duration,
            seed,
        }
    }

    /// Returns the same play with endpoints that send no trailers.
    pub fn without_trailers(&self) -> Play {
        Play {
            trailer: None,
            ..self.clone()
        }
    }

    /// Runs the play with an executable of dewrun.
    pub fn run(&self, dewrun: &str) -> Report {
        let endpoints: Vec<Endpoint> = (0..self.members)
            .map(|member| Endpoint::start(EndpointScript::new(self, member)))
            .collect();
        let addresses: Vec<_> = endpoints.iter().map(Endpoint::address).collect();
        let proxy = RunningProxy::start(dewrun, self, &addresses);
        let started_at = Instant::now();
        let results = thread::scope(|scope| {
            let clients = scope.spawn(|| client::run_all(self, proxy.address(), started_at));
            if self.onset != Onset::Start {
                thread::sleep(self.duration / 2);
            }
            if self.onset == Onset::Reload {
                proxy.reload();
            }
            endpoints.iter().for_each(Endpoint::arm);
            clients.join().expect("the clients do not panic")
        });
        let processor_time = proxy.processor_time();
        self.report(&results, &endpoints, processor_time)
    }

    fn report(
        &self,
        results: &[CallResult],
        endpoints: &[Endpoint],
        processor_time: Duration,
    ) -> Report {
        let mut report = Report {
            calls: results.len(),
            ..Report::empty(processor_time)
        };
        for result in results {
            match result {
                CallResult::Answered { latency } => {
                    report.late += usize::from(*latency > MAX_LATENCY);
                    report
                        .latencies_us
                        .saturating_record(latency.as_micros() as u64);
                }
                CallResult::WrongAnswer { request, answer } => {
                    report.wrong.push(format!("{request} got {answer}"));
                }
                CallResult::Refused => report.refused += 1,
                CallResult::Lost => report.lost += 1,
            }
        }
        for endpoint in endpoints {
            report.connections += endpoint.connections();
            report.trailers += endpoint.trailers();
            report.latest_trailer = report.latest_trailer.max(endpoint.latest_trailer());
        }
        report
    }
}

impl fmt::Display for Play {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nagle = if self.has_nagle { "nagle" } else { "nodelay" };
        write!(
            f,
            "seed {} {:?} {:?} +{} ms {nagle} {:?} {:?} members={} rate={} service={} ms",
            self.seed,
            self.deployment,
            self.trailer,
            self.delay.as_millis(),
            self.framing,
            self.onset,
            self.members,
            self.rate_per_s,
            self.service_time.as_millis()
        )
    }
}

/// What a play has shown.
pub struct Report {
    /// Requests sent.
    pub calls: usize,
    /// Responses that answered another request than theirs.
    pub wrong: Vec<String>,
    /// Responses with another status than that of the endpoints.
    pub refused: usize,
    /// Requests without a response.
    pub lost: usize,
    /// Responses later than a second.
    pub late: usize,
    /// Latencies in microseconds, from the intended time of each request.
    pub latencies_us: Histogram<u64>,
    /// Connections that the endpoints accepted.
    pub connections: usize,
    /// Trailers that the endpoints wrote.
    pub trailers: usize,
    /// Longest time from a response to its trailer.
    pub latest_trailer: Duration,
    /// Processor time of the proxy.
    pub processor_time: Duration,
}

impl Report {
    fn empty(processor_time: Duration) -> Report {
        Report {
            calls: 0,
            wrong: Vec::new(),
            refused: 0,
            lost: 0,
            late: 0,
            latencies_us: crate::load::latency_histogram(),
            connections: 0,
            trailers: 0,
            latest_trailer: Duration::ZERO,
            processor_time,
        }
    }

    /// Returns whether each request got its own response in time.
    pub fn is_sound(&self) -> bool {
        self.wrong.is_empty() && self.refused + self.lost + self.late == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_sound() { "ok" } else { "FAILED" };
        write!(
            f,
            "{verdict}: {} calls, {} wrong, {} refused, {} lost, {} late; p50 {} us, p99 {} us; \
             {} connections, {} trailers, the latest after {:.1} ms; processor {:.2} s",
            self.calls,
            self.wrong.len(),
            self.refused,
            self.lost,
            self.late,
            self.latencies_us.value_at_quantile(0.5),
            self.latencies_us.value_at_quantile(0.99),
            self.connections,
            self.trailers,
            self.latest_trailer.as_secs_f64() * 1000.0,
            self.processor_time.as_secs_f64(),
        )
    }
}

/// Options of `dewrun-loadtest unsolicited`. What is not given is drawn from the seed of each play.
#[derive(clap::Args)]
pub struct Options {
    /// Path of the dewrun executable
    #[arg(long, default_value = "target/release/dewrun")]
    pub dewrun: String,
    /// Kind of proxy
    #[arg(long, value_enum, default_value = "installation")]
    pub deployment: Deployment,
    /// Seeds, as A..B; both ends are included
    #[arg(long, value_parser = crate::parse_seeds, default_value = "1..20")]
    pub seeds: RangeInclusive<u64>,
    /// Duration of each play, in seconds
    #[arg(long, default_value_t = 3.0)]
    pub seconds: f64,
    /// Number of endpoints
    #[arg(long)]
    pub members: Option<usize>,
    /// Requests per second
    #[arg(long)]
    pub rate: Option<f64>,
    /// What follows a response
    #[arg(long, value_enum)]
    pub trailer: Option<Trailer>,
    /// Send no trailers
    #[arg(long)]
    pub without_trailers: bool,
    /// Time from a response to its trailer, in milliseconds
    #[arg(long)]
    pub delay_ms: Option<u64>,
    /// Whether the endpoints' systems hold small writes back
    #[arg(long)]
    pub nagle: Option<bool>,
    /// How the end of a response is told
    #[arg(long, value_enum)]
    pub framing: Option<Framing>,
    /// When trailers begin
    #[arg(long, value_enum)]
    pub onset: Option<Onset>,
    /// Time that endpoints take for a response, in milliseconds
    #[arg(long)]
    pub service_ms: Option<u64>,
    /// Sockets that an installation may use
    #[arg(long)]
    pub sockets: Option<usize>,
}

impl Options {
    fn play(&self, seed: u64) -> Play {
        const MAX_SECONDS: f64 = 600.0;
        let duration = Duration::from_secs_f64(self.seconds.clamp(0.5, MAX_SECONDS));
        let drawn = Play::draw(seed, self.deployment, duration);
        let play = Play {
            members: self.members.unwrap_or(drawn.members).max(1),
            rate_per_s: self.rate.unwrap_or(drawn.rate_per_s).max(1.0),
            trailer: self.trailer.or(drawn.trailer),
            delay: self.delay_ms.map_or(drawn.delay, Duration::from_millis),
            has_nagle: self.nagle.unwrap_or(drawn.has_nagle),
            framing: self.framing.unwrap_or(drawn.framing),
            onset: self.onset.unwrap_or(drawn.onset),
            service_time: self
                .service_ms
                .map_or(drawn.service_time, Duration::from_millis),
            max_sockets: self.sockets,
            ..drawn
        };
        if self.without_trailers {
            return play.without_trailers();
        }
        play
    }
}

/// Runs the plays one after the other and prints a line for each. Returns whether all were sound.
pub fn run(options: &Options) -> bool {
    const MAX_PRINTED: usize = 5;
    let mut failed = 0;
    let mut calls = 0;
    let mut connections = 0;
    for seed in options.seeds.clone() {
        let play = options.play(seed);
        let report = play.run(&options.dewrun);
        println!("{play}: {report}");
        for wrong in report.wrong.iter().take(MAX_PRINTED) {
            println!("  {wrong}");
        }
        calls += report.calls;
        connections += report.connections;
        failed += usize::from(!report.is_sound());
    }
    let plays = options.seeds.clone().count();
    println!("{failed} of {plays} plays failed; {calls} calls, {connections} connections");
    failed == 0
}
