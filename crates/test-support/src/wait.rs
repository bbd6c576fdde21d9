//! Waiting for a condition, with a time-out far above what a busy machine takes.

use std::thread;
use std::time::{Duration, Instant};

/// Far above anything these tests wait for on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits for something to become true.
pub fn until(what: &str, mut is: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !is() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
