//! When a change of the list counts as notified to a proxy of the platform, by the page.

use super::discovery::Reach;
use std::time::{Duration, Instant};

/// A change counts as notified so long after discovery had it and could be reached, and what a watch
/// misses so long after it fell silent.
pub const MAX_NOTICE: Duration = Duration::from_secs(6);
/// A watch that discovery ended is open again after this time, while discovery is up and pushes.
const WATCH_REOPEN_TIME: Duration = Duration::from_secs(4);

/// When changes count as notified, by what has become of discovery and its watches.
#[derive(Debug, Default)]
pub struct Notice {
    reach: Reach,
    /// Lists are polled: a watch that ended is opened again later.
    is_polled: bool,
    /// From then on there is a watch again.
    watched_from: Option<Instant>,
    /// The watch has been silent since then.
    silent_since: Option<Instant>,
}

impl Notice {
    /// With lists that are polled, or pushed.
    pub fn new(is_polled: bool) -> Notice {
        Notice {
            is_polled,
            ..Notice::default()
        }
    }

    /// Discovery ended its watches.
    pub fn hung_up(&mut self, now: Instant) {
        let reopen_time = if self.is_polled {
            MAX_NOTICE
        } else {
            WATCH_REOPEN_TIME
        };
        self.watched_from = self.watched_from.max(Some(now + reopen_time));
    }

    /// A process started. A service that is polled may keep its first calls waiting; an agent has
    /// notified it at once.
    pub fn started(&mut self, now: Instant) {
        if self.is_polled {
            self.hung_up(now);
        }
    }

    /// Discovery keeps its watches open and says nothing more on them.
    pub fn muted(&mut self, now: Instant) {
        self.silent_since = Some(now);
    }

    /// Discovery takes calls in another way.
    pub fn reached(&mut self, reach: Reach, now: Instant) {
        let is_back = !self.reach.is_reachable() && reach.is_reachable();
        if is_back {
            self.watched_from = Some(now + MAX_NOTICE);
        }
        self.reach = reach;
    }

    /// When a change of now counts as notified; `None` if not before discovery can be reached again.
    pub fn of_change(&self, now: Instant) -> Option<Instant> {
        if !self.reach.is_reachable() {
            return None;
        }
        if self.watched_from.is_some_and(|from| now < from) {
            return Some(now + MAX_NOTICE);
        }
        let silence_ends = self.silent_since.map(|since| since + MAX_NOTICE);
        Some(silence_ends.map_or(now, |end| end.max(now)))
    }
}
