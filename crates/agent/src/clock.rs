//! Clocks: the boot-time clock for leases, which continues while the machine is suspended and
//! cannot be set, and the wall clock for display.

use dewrun_budgets::Timestamp;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The last second of the year 9999 in Unix milliseconds, the latest time that can be formatted.
const MAX_UNIX_MS: u64 = 253_402_300_799_000;

/// Returns the time since the machine booted in microseconds, including suspensions.
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Timestamp * 1_000_000 + time.tv_nsec as Timestamp / 1_000
}

/// Returns the Unix time in milliseconds. The wall clock may jump, so no safety property depends on
/// it.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Formats a Unix time in milliseconds as an HTTP date in UTC.
pub fn format_date(unix_ms: u64) -> String {
    let since_epoch = Duration::from_millis(unix_ms.min(MAX_UNIX_MS));
    httpdate::fmt_http_date(UNIX_EPOCH + since_epoch)
}
