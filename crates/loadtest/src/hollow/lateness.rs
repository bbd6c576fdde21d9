//! How late the harness itself is: a harness that starves says nothing of what it sees.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often a timer is asked for.
pub const TIMER: Duration = Duration::from_millis(10);

/// The longest delay of a timer since it was last taken.
#[derive(Default)]
pub struct Lateness(AtomicU64);

impl Lateness {
    /// Notes that a timer of [`TIMER`] took so long.
    pub fn note(&self, took: Duration) {
        let late = took.saturating_sub(TIMER).as_micros() as u64;
        self.0.fetch_max(late, Ordering::Relaxed);
    }

    /// The longest delay since this was last asked.
    pub fn take(&self) -> Duration {
        Duration::from_micros(self.0.swap(0, Ordering::Relaxed))
    }
}

/// A thread of its own that notes how late its timers are; ended when dropped.
pub struct Watch {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// Starts one.
    pub fn start(lateness: Arc<Lateness>) -> Watch {
        let ended: Arc<AtomicBool> = Arc::default();
        let end = ended.clone();
        let thread = thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                let begun = Instant::now();
                thread::sleep(TIMER);
                lateness.note(begun.elapsed());
            }
        });
        Watch {
            ended,
            thread: Some(thread),
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
