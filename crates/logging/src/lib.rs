//! The operators' log: `tracing` events as [logfmt](https://brandur.org/logfmt) or JSON, a line
//! each, on standard error.
//!
//! The rate is bounded, so that a failure that repeats itself can neither fill a disk nor hold the
//! one thread up. What is left out is counted, and the next line that fits is followed by one with
//! the count. A reader that has gone away is no fault: lines are then dropped.

#![forbid(unsafe_code)]

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{Layer, Registry};

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `ts=2026-12-01T10:00:00Z level=info message="stopping"`
    #[default]
    Logfmt,
    /// `{"timestamp":"...","level":"INFO","message":"stopping"}`
    Json,
}

/// How many lines may be written: a token bucket. Time is passed in, from any fixed moment.
#[derive(Clone, Debug)]
pub struct Bound {
    per_s: f64,
    most: f64,
    saved: f64,
    at: Duration,
    left_out: u64,
}

impl Bound {
    /// So many lines a second over time, and as many as fill ten seconds at once.
    pub fn new(per_s: u32) -> Bound {
        let most = f64::from(per_s.max(1)) * 10.0;
        Bound {
            per_s: f64::from(per_s.max(1)),
            most,
            saved: most,
            at: Duration::ZERO,
            left_out: 0,
        }
    }

    /// Whether a line may be written now; if so, how many were left out since the one before.
    pub fn admit(&mut self, now: Duration) -> Option<u64> {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.saved = (self.saved + passed * self.per_s).min(self.most);
        if self.saved < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.saved -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }
}

struct Shared<W> {
    bound: Bound,
    out: W,
}

/// Writes lines within a [`Bound`].
pub struct Bounded<W> {
    shared: Arc<Mutex<Shared<W>>>,
    started: Instant,
    format: Format,
}

impl<W> Clone for Bounded<W> {
    fn clone(&self) -> Bounded<W> {
        Bounded {
            shared: self.shared.clone(),
            started: self.started,
            format: self.format,
        }
    }
}

impl<W: Write> Bounded<W> {
    /// Lines to `out`.
    pub fn new(out: W, bound: Bound, format: Format) -> Bounded<W> {
        Bounded {
            shared: Arc::new(Mutex::new(Shared { bound, out })),
            started: Instant::now(),
            format,
        }
    }
}

impl<W: Write> Write for Bounded<W> {
    /// Takes a whole line, as the formats give it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(left_out) = shared.bound.admit(self.started.elapsed()) else {
            return Ok(line.len());
        };
        // A line that can't be written is lost: there is nowhere to say so.
        let _ = shared.out.write_all(line);
        if left_out > 0 {
            let _ = match self.format {
                Format::Logfmt => {
                    writeln!(
                        shared.out,
                        "level=warn message=\"lines left out\" count={left_out}"
                    )
                }
                Format::Json => {
                    writeln!(
                        shared.out,
                        r#"{{"level":"WARN","message":"lines left out","count":{left_out}}}"#
                    )
                }
            };
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a, W: Write + 'a> MakeWriter<'a> for Bounded<W> {
    type Writer = Bounded<W>;

    fn make_writer(&'a self) -> Bounded<W> {
        self.clone()
    }
}

/// The target of the trace of single requests: its events are of level debug, and written only
/// where asked for.
pub const TRACE: &str = "dewrun::request";
/// How many lines a second there may be with a trace: a line is some 150 bytes.
const TRACE_LINES_PER_S: u32 = 20_000;

/// What turns events of level info and above into lines, and with `trace` those of single requests
/// too.
pub fn subscriber<W>(
    out: W,
    format: Format,
    per_s: u32,
    trace: bool,
) -> impl tracing::Subscriber + Send + Sync
where
    W: Write + Send + 'static,
{
    let per_s = if trace {
        per_s.max(TRACE_LINES_PER_S)
    } else {
        per_s
    };
    let writer = Bounded::new(out, Bound::new(per_s), format);
    let layer: Box<dyn Layer<Registry> + Send + Sync> = match format {
        Format::Logfmt => Box::new(
            tracing_logfmt::builder()
                .with_target(false)
                .layer()
                .with_writer(writer),
        ),
        Format::Json => Box::new(
            tracing_subscriber::fmt::layer()
                .json()
                .flatten_event(true)
                .with_target(false)
                .with_writer(writer),
        ),
    };
    let usual = Targets::new().with_default(LevelFilter::INFO);
    let wanted = if trace {
        usual.with_target(TRACE, LevelFilter::DEBUG)
    } else {
        usual
    };
    Registry::default().with(layer.with_filter(wanted))
}

/// Starts the log of this process on standard error. A second call changes nothing.
pub fn start(format: Format, per_s: u32, trace: bool) {
    let _ = tracing::subscriber::set_global_default(subscriber(io::stderr(), format, per_s, trace));
}
