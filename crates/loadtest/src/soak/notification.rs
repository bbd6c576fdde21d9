//! Tracks when the platform's proxies count as notified of list changes, according to the
//! platform's documentation.

use super::discovery::Availability;
use std::time::{Duration, Instant};

/// The maximum time from when discovery has a list change and is reachable until the change counts
/// as notified. A change that a silent watch misses counts as notified this long after the watch
/// fell silent.
pub const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// The time in which a watch that discovery closed is open again, while discovery is up and pushes
/// lists.
const WATCH_REOPEN_TIME: Duration = Duration::from_secs(4);

/// Tracks the state of discovery and its watches to determine when a list change counts as
/// notified.
#[derive(Debug, Default)]
pub struct NotificationTracker {
    availability: Availability,
    /// Whether proxies poll discovery for lists. A closed watch is then open again after
    /// [`MAX_NOTIFICATION_DELAY`] instead of [`WATCH_REOPEN_TIME`].
    is_discovery_polled: bool,
    /// When the watch counts as open again, after it was closed or discovery served no lists.
    watch_open_at: Option<Instant>,
    /// When the watch fell silent.
    silent_since: Option<Instant>,
}

impl NotificationTracker {
    /// Creates a tracker for discovery that is polled for lists, or that pushes them.
    pub fn new(is_discovery_polled: bool) -> NotificationTracker {
        NotificationTracker {
            is_discovery_polled,
            ..NotificationTracker::default()
        }
    }

    /// Records that discovery closed its watches.
    pub fn record_closed_watches(&mut self, now: Instant) {
        let reopen_time = if self.is_discovery_polled {
            MAX_NOTIFICATION_DELAY
        } else {
            WATCH_REOPEN_TIME
        };
        self.watch_open_at = self.watch_open_at.max(Some(now + reopen_time));
    }

    /// Records the start of a process. A polled service may delay the response to the first
    /// requests of the process; an agent that pushes lists notifies it at once.
    pub fn record_process_start(&mut self, now: Instant) {
        if self.is_discovery_polled {
            self.record_closed_watches(now);
        }
    }

    /// Records that discovery keeps its watches open and sends nothing more on them.
    pub fn record_silent_watches(&mut self, now: Instant) {
        self.silent_since = Some(now);
    }

    /// Records a change of how discovery handles requests.
    pub fn record_availability(&mut self, availability: Availability, now: Instant) {
        let is_recovery = !self.availability.can_serve_lists() && availability.can_serve_lists();
        if is_recovery {
            self.watch_open_at = Some(now + MAX_NOTIFICATION_DELAY);
        }
        self.availability = availability;
    }

    /// Returns when a list change that comes now counts as notified; `None` while discovery serves
    /// no lists.
    pub fn notification_time(&self, now: Instant) -> Option<Instant> {
        if !self.availability.can_serve_lists() {
            return None;
        }
        if self.watch_open_at.is_some_and(|open_at| now < open_at) {
            return Some(now + MAX_NOTIFICATION_DELAY);
        }
        let silence_ends = self
            .silent_since
            .map(|since| since + MAX_NOTIFICATION_DELAY);
        Some(silence_ends.map_or(now, |end| end.max(now)))
    }
}
