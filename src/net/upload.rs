//! Progress of a streamed request body, and since when its client may have written the last byte.

use super::io::TrackedSocket;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;

/// The part of a body that a client's system buffers, so that the client may have written it although
/// it has not arrived: the usual maximum of a send buffer.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// Interval at which [`UploadProgress::overdue`] looks at what has arrived.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// What arrives within this many bytes of a sample belongs to it, so that there are few samples.
const MIN_SAMPLE_DISTANCE_BYTES: u64 = 32 << 10;

/// The time at which a body had arrived up to a byte.
struct Sample {
    at: Instant,
    arrived_bytes: u64,
}

/// When which part of a body arrived. It keeps what a later estimate may need.
#[derive(Default)]
struct ArrivalLog {
    samples: VecDeque<Sample>,
}

impl ArrivalLog {
    /// Records that `arrived_bytes` bytes in all have arrived by `at`.
    fn record(&mut self, at: Instant, arrived_bytes: u64) {
        let latest = self.samples.back().map(|sample| sample.arrived_bytes);
        let is_new = latest.is_none_or(|bytes| arrived_bytes >= bytes + MIN_SAMPLE_DISTANCE_BYTES);
        if is_new {
            self.samples.push_back(Sample { at, arrived_bytes });
        }
        let needed = arrived_bytes.saturating_sub(MAX_SEND_BUFFER_BYTES);
        while self
            .samples
            .front()
            .is_some_and(|s| s.arrived_bytes < needed)
        {
            self.samples.pop_front();
        }
    }

    /// Returns when the client may first have written the last byte of a body of `body_bytes` bytes;
    /// `None` if a part of it cannot be in the client's send buffer yet.
    fn may_be_written_since(&self, body_bytes: u64) -> Option<Instant> {
        let needed = body_bytes.saturating_sub(MAX_SEND_BUFFER_BYTES);
        let first = self.samples.iter().find(|s| s.arrived_bytes >= needed);
        first.map(|sample| sample.at)
    }
}

/// Progress of a streamed request body.
pub struct UploadProgress {
    client: Rc<TrackedSocket>,
    /// The length that the client has stated.
    stated_bytes: Option<u64>,
    read_bytes: Cell<u64>,
    /// The reader waits for further bytes.
    is_waiting: Cell<bool>,
    arrivals: RefCell<ArrivalLog>,
    /// Time at which the reader last waited although everything that had arrived was read.
    last_waited_at: Cell<Instant>,
    interrupted: Cell<bool>,
    ended: Cell<Option<Instant>>,
    ended_notify: Notify,
}

impl UploadProgress {
    /// Creates the progress of an upload of which `read_bytes` bytes have been read.
    pub fn new(
        client: Rc<TrackedSocket>,
        stated_bytes: Option<u64>,
        read_bytes: u64,
    ) -> Rc<UploadProgress> {
        Rc::new(UploadProgress {
            client,
            stated_bytes,
            read_bytes: Cell::new(read_bytes),
            is_waiting: Cell::new(false),
            arrivals: RefCell::default(),
            last_waited_at: Cell::new(Instant::now()),
            interrupted: Cell::new(false),
            ended: Cell::new(None),
            ended_notify: Notify::new(),
        })
    }

    /// Records that the reader waits for the client.
    pub(super) fn record_wait(&self) {
        self.is_waiting.set(true);
    }

    /// Records that `bytes` further bytes were read.
    pub(super) fn record_read(&self, bytes: u64) {
        self.is_waiting.set(false);
        self.read_bytes.set(self.read_bytes.get() + bytes);
    }

    /// Records that the client broke off the body.
    pub(super) fn interrupt(&self) {
        self.interrupted.set(true);
    }

    /// Records that the last byte was read.
    pub(super) fn end(&self) {
        if self.ended.get().is_none() {
            let written_at = self.may_be_written_since(Some(self.read_bytes.get()));
            self.ended
                .set(Some(written_at.unwrap_or_else(Instant::now)));
            self.ended_notify.notify_waiters();
        }
    }

    /// Waits until the client may have waited for `timeout` since it wrote the last byte, although
    /// that byte has not been read.
    pub async fn overdue(&self, timeout: Duration) {
        loop {
            let now = Instant::now();
            self.sample(now);
            let since = self.may_be_written_since(self.stated_bytes);
            if since.is_some_and(|at| at + timeout <= now) {
                return;
            }
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    fn sample(&self, now: Instant) {
        let unread = self.client.unread_bytes();
        if self.is_waiting.get() && unread == 0 {
            self.last_waited_at.set(now);
        }
        let arrived = self.read_bytes.get() + unread;
        self.arrivals.borrow_mut().record(now, arrived);
    }

    /// Returns when the client may first have written the last byte. While the length is unknown,
    /// that is when it may have written all that has arrived.
    fn may_be_written_since(&self, body_bytes: Option<u64>) -> Option<Instant> {
        let arrivals = self.arrivals.borrow();
        let arrived = arrivals.samples.back().map(|sample| sample.arrived_bytes);
        let since = arrivals.may_be_written_since(body_bytes.or(arrived)?)?;
        Some(since.max(self.last_waited_at.get()))
    }

    /// Returns whether the client broke off the body.
    pub fn is_interrupted(&self) -> bool {
        self.interrupted.get()
    }

    /// Returns the time at which the last byte was written or arrived, if it has arrived. A client's
    /// time starts when it has written its last byte, which a slow endpoint may keep from being read.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended.get()
    }

    /// Waits until the last byte has arrived, and returns the time like [`UploadProgress::ended_at`].
    pub async fn ended(&self) -> Instant {
        loop {
            if let Some(at) = self.ended.get() {
                return at;
            }
            self.ended_notify.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;
