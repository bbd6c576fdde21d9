//! `[limits]`: what the process may hold, and for how long.

use crate::reader::{Section, HOUR, MILLISECOND};
use std::ops::Range;
use std::time::Duration;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
/// The time-outs that may be set.
const TIMEOUTS: Range<Duration> = MILLISECOND.saturating_mul(100)..HOUR;

/// What the process may hold, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Memory of which a fixed part holds the bodies that are buffered, in bytes.
    pub memory: u64,
    /// File descriptors.
    pub sockets: usize,
    /// A request body up to this size, in bytes, is buffered, so that the request can be retried;
    /// a larger one is streamed once. A response up to this size is forwarded only when it is
    /// complete.
    pub max_buffered_body: u64,
    /// A larger request body, in bytes, is rejected (413).
    pub max_body: u64,
    /// Longest wait for a request's head: from connecting, or on a used connection from its first
    /// byte.
    pub head_timeout: Duration,
    /// Longest wait for the next bytes of a request's body.
    pub request_body_timeout: Duration,
    /// Longest wait for the next bytes of a response whose head has arrived.
    pub response_body_timeout: Duration,
    /// A client's connection that carries nothing for this long is closed.
    pub client_idle_timeout: Duration,
    /// After SIGTERM, the time until what is still open is failed.
    pub shutdown_timeout: Duration,
}

/// Reads the section; one that is not there sets nothing.
pub(super) fn read(root: &Section) -> Limits {
    let empty = toml::de::DeTable::new();
    let section = match root.section("limits") {
        Some(section) => section,
        None => Section::new(root.source, "limits".into(), 0, &empty),
    };
    let timeout = |key, default| section.duration(key, Duration::from_secs(default), TIMEOUTS);
    let limits = Limits {
        memory: section.size("memory", 192 * MIB, MIB..1024 * GIB),
        sockets: section.integer("sockets", 1_024, 64..1 << 20) as usize,
        max_buffered_body: section.size("kept_body", 64 * KIB, 0..16 * MIB),
        max_body: section.size("max_body", GIB, 0..1 << 50),
        head_timeout: timeout("head_time", 5),
        request_body_timeout: timeout("body_idle", 10),
        response_body_timeout: timeout("answer_idle", 30),
        client_idle_timeout: timeout("caller_idle", 60),
        shutdown_timeout: timeout("stop_time", 30),
    };
    if limits.max_buffered_body > limits.memory / 8 {
        section.fault("kept_body must be an eighth of memory at the most");
    }
    section.finish();
    limits
}
