//! The format of log lines and their rate limit.

use dewrun_logging::{subscriber, Format, LineRateLimit, LogOptions};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Default)]
struct CapturedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn options(format: Format, lines_per_s: u32, trace_requests: bool) -> LogOptions {
    LogOptions {
        format,
        lines_per_s,
        trace_requests,
    }
}

fn lines(format: Format, per_s: u32, work: impl FnOnce()) -> Vec<String> {
    let output = CapturedOutput::default();
    tracing::subscriber::with_default(
        subscriber(output.clone(), options(format, per_s, false)),
        work,
    );
    let text = String::from_utf8(output.0.lock().unwrap().clone()).expect("text");
    text.lines().map(String::from).collect()
}

#[test]
fn an_event_is_one_line_with_all_fields() {
    let work = || tracing::warn!(pool = "main", why = "a \"b\"\nc", "endpoint ejected");
    let logfmt = lines(Format::Logfmt, 10, work);
    assert_eq!(logfmt.len(), 1, "{logfmt:?}");
    for part in [
        "level=warn",
        "pool=main",
        "message=\"endpoint ejected\"",
        "ts=",
    ] {
        assert!(logfmt[0].contains(part), "{logfmt:?} has no {part}");
    }
    let json = lines(Format::Json, 10, work);
    assert_eq!(json.len(), 1, "{json:?}");
    let value: serde_json::Value = serde_json::from_str(&json[0]).expect("an object");
    assert_eq!(value["why"], "a \"b\"\nc");
    assert_eq!(value["message"], "endpoint ejected");
}

#[test]
fn events_below_info_are_not_logged() {
    assert!(lines(Format::Logfmt, 10, || tracing::debug!("detail")).is_empty());
}

#[test]
fn excess_lines_are_dropped_and_counted() {
    for format in [Format::Logfmt, Format::Json] {
        let lines = lines(format, 1, || {
            (0..1_000).for_each(|n| tracing::info!(n, "again"))
        });
        assert!((10..13).contains(&lines.len()), "{}", lines.len());
    }
    let mut limit = LineRateLimit::new(2);
    let at = Duration::from_millis;
    let admitted = (0..100).filter(|_| limit.admit(at(0)).is_some()).count();
    assert_eq!(admitted, 20);
    assert_eq!(limit.admit(at(499)), None);
    assert_eq!(
        limit.admit(at(500)),
        Some(81),
        "all dropped lines are counted once"
    );
    assert_eq!(limit.admit(at(1_000)), Some(0));
    assert_eq!(
        limit.admit(at(0)),
        None,
        "a clock that goes backwards refills nothing"
    );
}

/// Guards against a panic if the reader of the log is gone.
#[test]
fn write_errors_are_ignored() {
    struct Broken;
    impl Write for Broken {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            Err(std::io::ErrorKind::BrokenPipe.into())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let log = subscriber(Broken, options(Format::Logfmt, 10, false));
    tracing::subscriber::with_default(log, || tracing::info!("not written"));
}

#[test]
fn requests_are_traced_only_if_enabled() {
    let traced = |trace| {
        let output = CapturedOutput::default();
        let log = subscriber(output.clone(), options(Format::Logfmt, 1, trace));
        tracing::subscriber::with_default(log, || {
            for n in 0..500 {
                tracing::debug!(target: dewrun_logging::REQUEST_TRACE_TARGET, event = "taken", id = n);
            }
            tracing::debug!("without a request");
        });
        let text = String::from_utf8(output.0.lock().unwrap().clone()).expect("text");
        text.lines()
            .filter(|line| line.contains("event=taken"))
            .count()
    };
    assert_eq!(
        (traced(false), traced(true)),
        (0, 500),
        "traces are not subject to the limit of the log"
    );
}
