//! `[limits]`: the resource limits and timeouts of the process.

use crate::reader::{Section, HOUR, MILLISECOND};
use std::ops::Range;
use std::time::Duration;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
/// The range of the timeouts.
const TIMEOUTS: Range<Duration> = MILLISECOND.saturating_mul(100)..HOUR;

/// The resource limits and timeouts of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The memory limit in bytes, of which a fixed fraction is for buffered bodies.
    pub memory: u64,
    /// The maximum number of file descriptors.
    pub sockets: usize,
    /// The maximum size of a buffered body, in bytes. A request with a body of up to this size can
    /// be retried; a larger body is streamed once. A response with a body of up to this size is
    /// forwarded only when it is complete.
    pub max_buffered_body: u64,
    /// The maximum size of a request body, in bytes. A larger one is rejected (413).
    pub max_body: u64,
    /// The timeout for the complete head of a request, from the accept of a new connection or from
    /// the first byte on a reused one.
    pub head_timeout: Duration,
    /// The timeout for the next bytes of a request's body.
    pub request_body_timeout: Duration,
    /// The timeout for the next bytes of a response's body.
    pub response_body_timeout: Duration,
    /// The time after which an idle client connection is closed.
    pub client_idle_timeout: Duration,
    /// The time from SIGTERM until the requests still in progress are failed.
    pub shutdown_timeout: Duration,
}

/// Reads the section. A missing section gives the defaults.
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
        section.add_fault("kept_body must be at most an eighth of memory");
    }
    section.finish();
    limits
}
