//! The scheduling delay of the load generator itself. Measurements of a program that did not get
//! enough processor time are inconclusive.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The duration of the timers whose delay is measured.
pub const TIMER_DURATION: Duration = Duration::from_millis(10);

/// The maximum delay of a timer of this program since it was last taken, in microseconds.
#[derive(Default)]
pub struct HarnessDelay(AtomicU64);

impl HarnessDelay {
    /// Records the actual duration of a timer of [`TIMER_DURATION`].
    pub fn record(&self, elapsed: Duration) {
        let delay = elapsed.saturating_sub(TIMER_DURATION).as_micros() as u64;
        self.0.fetch_max(delay, Ordering::Relaxed);
    }

    /// Returns the maximum delay since the last call, and resets it.
    pub fn take(&self) -> Duration {
        Duration::from_micros(self.0.swap(0, Ordering::Relaxed))
    }
}

/// A thread that records the delay of its timers. It ends when this is dropped.
pub struct HarnessDelayMonitor {
    is_stop_requested: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HarnessDelayMonitor {
    /// Starts the thread.
    pub fn start(harness_delay: Arc<HarnessDelay>) -> HarnessDelayMonitor {
        let is_stop_requested: Arc<AtomicBool> = Arc::default();
        let thread_flag = is_stop_requested.clone();
        let thread = thread::spawn(move || {
            while !thread_flag.load(Ordering::Relaxed) {
                let started_at = Instant::now();
                thread::sleep(TIMER_DURATION);
                harness_delay.record(started_at.elapsed());
            }
        });
        HarnessDelayMonitor {
            is_stop_requested,
            thread: Some(thread),
        }
    }
}

impl Drop for HarnessDelayMonitor {
    fn drop(&mut self) {
        self.is_stop_requested.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
