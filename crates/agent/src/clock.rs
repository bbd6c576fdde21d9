//! The clock that leases are measured by. It goes on while the machine is suspended, and no one can
//! set it.

use dewrun_budgets::Micros;
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The last moment of the year 9999.
const LAST_MS: u64 = 253_402_300_799_000;

/// Microseconds since some moment that is the same for all of a life.
pub fn now() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}

/// Unix time in milliseconds. It may jump, so nothing safe rests on it.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A wall-clock time for people, in UTC.
pub fn date_text(unix_ms: u64) -> String {
    // No later than the library can tell.
    let since = Duration::from_millis(unix_ms.min(LAST_MS));
    httpdate::fmt_http_date(UNIX_EPOCH + since)
}
