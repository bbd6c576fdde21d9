//! The operators' log: `tracing` events as lines of [logfmt](https://brandur.org/logfmt) or JSON,
//! on standard error.
//!
//! The proxy starts the log once with [`start`]; all crates log through `tracing`.
//!
//! The rate of lines is limited, so that a recurring failure can neither fill a disk nor block the
//! proxy's only thread. Lines over the limit are dropped and counted; the next line that is written
//! is followed by a line with the count. Lines that cannot be written, for instance because the
//! reader of standard error is gone, are dropped without an error for the caller.

#![forbid(unsafe_code)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::enum_glob_use,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod rate_limit;
mod writer;

pub use rate_limit::LineRateLimit;
pub use writer::RateLimitedWriter;

use std::io::{self, Write};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{Layer, Registry};

/// The target of the events that trace individual requests. They have the level debug, and are
/// written only if [`LogOptions::trace_requests`] is set.
pub const REQUEST_TRACE_TARGET: &str = "dewrun::request";
/// The minimum limit of lines per second while requests are traced. A line has about 150 bytes.
const MIN_REQUEST_TRACE_LINES_PER_S: u32 = 20_000;

/// The format of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `ts=2026-12-01T10:00:00Z level=info message="stopping"`
    #[default]
    Logfmt,
    /// `{"timestamp":"...","level":"INFO","message":"stopping"}`
    Json,
}

/// The options of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// The format of each line.
    pub format: Format,
    /// The limit of lines per second. Bursts of up to ten times this number are allowed.
    pub lines_per_s: u32,
    /// Whether individual requests are traced. The limit is then at least 20,000 lines per second.
    pub trace_requests: bool,
}

impl LogOptions {
    fn rate_limit(&self) -> LineRateLimit {
        LineRateLimit::new(if self.trace_requests {
            self.lines_per_s.max(MIN_REQUEST_TRACE_LINES_PER_S)
        } else {
            self.lines_per_s
        })
    }

    /// Returns the filter of events: level info and above, and request traces if enabled.
    fn filter(&self) -> Targets {
        let info = Targets::new().with_default(LevelFilter::INFO);
        if self.trace_requests {
            info.with_target(REQUEST_TRACE_TARGET, LevelFilter::DEBUG)
        } else {
            info
        }
    }
}

/// Returns a subscriber that writes events to `out`, as [`start`] does to standard error.
pub fn subscriber<W>(out: W, options: LogOptions) -> impl tracing::Subscriber + Send + Sync
where
    W: Write + Send + 'static,
{
    let writer = RateLimitedWriter::new(out, options.rate_limit(), options.format);
    let layer: Box<dyn Layer<Registry> + Send + Sync> = match options.format {
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
    Registry::default().with(layer.with_filter(options.filter()))
}

/// Starts the log of this process on standard error. Has no effect if the log is already started.
pub fn start(options: LogOptions) {
    // This fails only if the log is already started.
    let _ = tracing::subscriber::set_global_default(subscriber(io::stderr(), options));
}
