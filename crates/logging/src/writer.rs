//! A writer with a rate limit.

use crate::{Format, LineRateLimit};
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tracing_subscriber::fmt::MakeWriter;

/// Writes the lines that a [`LineRateLimit`] admits, and drops the others. Clones share one limit.
pub struct RateLimitedWriter<W> {
    output: Arc<Mutex<LimitedOutput<W>>>,
    started: Instant,
    format: Format,
}

/// The output and its limit, behind one lock.
struct LimitedOutput<W> {
    limit: LineRateLimit,
    out: W,
}

impl<W> Clone for RateLimitedWriter<W> {
    fn clone(&self) -> RateLimitedWriter<W> {
        RateLimitedWriter {
            output: self.output.clone(),
            started: self.started,
            format: self.format,
        }
    }
}

impl<W: Write> RateLimitedWriter<W> {
    /// Returns a writer to `out`. The count of dropped lines is written in the given format.
    pub fn new(out: W, limit: LineRateLimit, format: Format) -> RateLimitedWriter<W> {
        RateLimitedWriter {
            output: Arc::new(Mutex::new(LimitedOutput { limit, out })),
            started: Instant::now(),
            format,
        }
    }
}

impl<W: Write> Write for RateLimitedWriter<W> {
    /// Writes one complete line: the formatters write each event by a single call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(dropped) = output.limit.admit(self.started.elapsed()) else {
            return Ok(line.len());
        };
        // A line that cannot be written is lost: there is nowhere to report the error.
        let _ = output.out.write_all(line);
        if dropped > 0 {
            let _ = write_dropped_count(&mut output.out, self.format, dropped);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_dropped_count(out: &mut impl Write, format: Format, dropped: u64) -> io::Result<()> {
    match format {
        Format::Logfmt => writeln!(
            out,
            "level=warn message=\"log lines dropped\" count={dropped}"
        ),
        Format::Json => writeln!(
            out,
            r#"{{"level":"WARN","message":"log lines dropped","count":{dropped}}}"#
        ),
    }
}

impl<'a, W: Write + 'a> MakeWriter<'a> for RateLimitedWriter<W> {
    type Writer = RateLimitedWriter<W>;

    fn make_writer(&'a self) -> RateLimitedWriter<W> {
        self.clone()
    }
}
