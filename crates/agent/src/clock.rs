//! The clocks: one that leases are measured by, which goes on while the machine is suspended and
//! cannot be set, and the wall clock, for people.

use dewrun_budgets::Timestamp;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The last second of the year 9999, in Unix milliseconds: the latest that can be formatted.
const MAX_UNIX_MS: u64 = 253_402_300_799_000;

/// Microseconds since the machine booted, its suspensions included.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Timestamp * 1_000_000 + time.tv_nsec as Timestamp / 1_000
}

/// Unix time in milliseconds. The wall clock may jump, so no safety property depends on it.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A wall-clock time as text, in UTC.
pub fn date_text(unix_ms: u64) -> String {
    let since = Duration::from_millis(unix_ms.min(MAX_UNIX_MS));
    httpdate::fmt_http_date(UNIX_EPOCH + since)
}
