//! Waiting for a condition with a timeout.

use std::thread;
use std::time::{Duration, Instant};

/// Timeout of every wait, far above what these tests need on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a condition is true.
///
/// # Panics
///
/// Panics if the condition is still false after [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
