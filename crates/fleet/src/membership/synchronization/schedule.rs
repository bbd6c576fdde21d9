//! The schedule of exchanges, which depends on the result of the last one and on the spent part of
//! the send allowance.

use crate::membership::{
    Membership, Micros, Timestamp, MILLISECOND_US, SECOND_US, SEND_BURST_BYTES,
};
use rand::Rng;

/// The minimum interval between two exchanges. It doubles after each exchange without new entries.
const MIN_EXCHANGE_INTERVAL_US: Micros = 250 * MILLISECOND_US;
/// The maximum interval. A process that has reached it and has caught up waits for a view that
/// differs.
const MAX_EXCHANGE_INTERVAL_US: Micros = 3 * SECOND_US;
/// The maximum interval of a process that has not caught up.
const MAX_CATCH_UP_INTERVAL_US: Micros = 500 * MILLISECOND_US;
/// The time after its start from which a process that knows fewer members than another has reported
/// shortens the interval while its allowance is ample, as it is losing packets. Before that all
/// processes may be starting and querying.
const CATCH_UP_SPEEDUP_DELAY_US: Micros = 2 * SECOND_US;
/// The minimum shortened interval, as a fraction of the regular one.
const MIN_CATCH_UP_INTERVAL_FRACTION: f64 = 0.3;
/// The pause after an exchange that was not answered.
const UNANSWERED_RETRY_US: Micros = 500 * MILLISECOND_US;
/// The pause after an exchange that did not show what differs.
const INCONCLUSIVE_RETRY_US: Micros = 500 * MILLISECOND_US;
/// The number of new entries after which the next exchange follows immediately.
pub(super) const LARGE_EXCHANGE_ENTRIES: usize = 100;
/// The pause after an exchange with hardly any new entries, as a comparison is expensive for such a
/// result. The pause shrinks in proportion to the number of entries.
const MAX_PAUSE_US: Micros = 2 * SECOND_US;
/// The minimum pause while the allowance is ample, as a fraction of the regular one.
const MIN_PAUSE_FRACTION: f64 = 0.1;
/// The time for which views must differ before they are compared, at a process that has received no
/// new entries in an exchange for [`RECENT_ENTRIES_PERIOD_US`]: meanwhile gossip delivers the
/// updates.
const DIFFERING_VIEW_DELAY_US: Micros = 1_500 * MILLISECOND_US;
/// The time after new entries for which [`DIFFERING_VIEW_DELAY_US`] does not apply.
const RECENT_ENTRIES_PERIOD_US: Micros = 10 * SECOND_US;

/// The result of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeEnd {
    /// The peer has answered.
    Completed {
        /// The number of new entries that this process received.
        entries: usize,
    },
    /// The peer did not answer, or a packet was lost. This says nothing about the peer's view.
    Unanswered,
    /// The digests differ and the fingerprints do not: a differing member has the same fingerprint
    /// as another one by chance.
    Inconclusive,
}

/// The inputs that determine the pause after an exchange, in addition to its result.
pub(super) struct PauseFactors {
    /// The spent fraction of the send allowance.
    pub(super) spent_fraction: f64,
    pub(super) is_caught_up: bool,
    /// Whether the process is catching up and knows fewer members than another has reported.
    pub(super) is_missing_members: bool,
    /// The time since the process started.
    pub(super) uptime_us: Micros,
    /// A random number from 0 to 1.
    pub(super) random: f64,
}

impl PauseFactors {
    /// Returns the factor of a pause, which falls with the spent part of the allowance.
    fn pause_fraction(&self) -> f64 {
        self.spent_fraction.clamp(MIN_PAUSE_FRACTION, 1.0)
    }

    /// Returns the factor of the interval after an exchange without new entries.
    fn interval_fraction(&self) -> f64 {
        if self.is_missing_members && self.uptime_us >= CATCH_UP_SPEEDUP_DELAY_US {
            self.spent_fraction
                .clamp(MIN_CATCH_UP_INTERVAL_FRACTION, 1.0)
        } else {
            1.0
        }
    }
}

/// The times at which exchanges begin.
pub(super) struct Schedule {
    next_at: Timestamp,
    interval_us: Micros,
    /// The number of new entries in the last completed exchange.
    last_entries: usize,
    /// The time at which an exchange last delivered new entries.
    last_new_entries_at: Timestamp,
    /// The time since which the views of other members have differed.
    differing_since: Option<Timestamp>,
}

impl Schedule {
    pub(super) fn new(now: Timestamp, next_at: Timestamp) -> Schedule {
        Schedule {
            next_at,
            interval_us: MIN_EXCHANGE_INTERVAL_US,
            last_entries: 0,
            last_new_entries_at: now,
            differing_since: None,
        }
    }

    /// Returns when the next periodic exchange begins.
    pub(super) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    pub(super) fn set_next(&mut self, next_at: Timestamp) {
        self.next_at = next_at;
    }

    /// Postpones the next exchange by the minimum interval.
    pub(super) fn postpone(&mut self, now: Timestamp) {
        self.next_at = now + MIN_EXCHANGE_INTERVAL_US;
    }

    /// Returns whether exchanges have delivered no new entries for so long that no more are begun
    /// periodically.
    pub(super) fn is_polling_stopped(&self) -> bool {
        self.interval_us >= MAX_EXCHANGE_INTERVAL_US
    }

    /// Stops periodic exchanges until one delivers new entries.
    pub(super) fn stop_polling(&mut self) {
        self.interval_us = MAX_EXCHANGE_INTERVAL_US;
    }

    /// Returns whether the last exchange delivered so many entries that many more probably differ.
    pub(super) fn has_large_difference(&self) -> bool {
        self.last_entries >= LARGE_EXCHANGE_ENTRIES / 2
    }

    /// Records that another member has the same view.
    pub(super) fn on_equal_view(&mut self) {
        self.differing_since = None;
    }

    /// Records that another member has a different view, and returns whether a comparison is due.
    pub(super) fn is_due_for_differing_view(&mut self, now: Timestamp) -> bool {
        let differing_since = *self.differing_since.get_or_insert(now);
        let delay = if now < self.last_new_entries_at + RECENT_ENTRIES_PERIOD_US {
            0
        } else {
            DIFFERING_VIEW_DELAY_US
        };
        now >= self.next_at && now >= differing_since + delay
    }

    /// Records that an exchange has delivered new entries.
    pub(super) fn on_new_entries(&mut self, now: Timestamp) {
        self.last_new_entries_at = now;
        self.interval_us = MIN_EXCHANGE_INTERVAL_US;
    }

    /// Schedules the next exchange after one that has ended.
    pub(super) fn on_exchange_end(
        &mut self,
        now: Timestamp,
        end: ExchangeEnd,
        factors: &PauseFactors,
    ) {
        let pause_us = match end {
            ExchangeEnd::Inconclusive => INCONCLUSIVE_RETRY_US,
            ExchangeEnd::Unanswered => scale(UNANSWERED_RETRY_US, factors.pause_fraction()),
            ExchangeEnd::Completed { entries: 0 } => {
                self.lengthen_interval(factors.is_caught_up);
                scale(self.interval_us, factors.interval_fraction())
            }
            ExchangeEnd::Completed { entries } => {
                self.on_new_entries(now);
                let entry_fraction = (entries as f64 / LARGE_EXCHANGE_ENTRIES as f64).min(1.0);
                (MAX_PAUSE_US as f64 * (1.0 - entry_fraction) * factors.pause_fraction()) as Micros
            }
        };
        if let ExchangeEnd::Completed { entries } = end {
            self.last_entries = entries;
        }
        self.next_at = now + scale(pause_us, 0.5 + factors.random);
    }

    fn lengthen_interval(&mut self, is_caught_up: bool) {
        let max_interval_us = if is_caught_up {
            MAX_EXCHANGE_INTERVAL_US
        } else {
            MAX_CATCH_UP_INTERVAL_US
        };
        self.interval_us = (2 * self.interval_us).min(max_interval_us);
    }
}

fn scale(time: Micros, factor: f64) -> Micros {
    (time as f64 * factor) as Micros
}

impl Membership {
    /// Ends the outstanding exchange.
    pub(super) fn end_exchange(&mut self, now: Timestamp, end: ExchangeEnd) {
        let factors = PauseFactors {
            spent_fraction: self.spent_send_fraction(now),
            is_caught_up: self.is_caught_up(),
            is_missing_members: self.table.live_peers().len() + 1
                < self.synchronization.reported_fleet_size(),
            uptime_us: now.saturating_sub(self.synchronization.started_at),
            random: self.rng.random(),
        };
        self.synchronization.outstanding = None;
        self.synchronization
            .schedule
            .on_exchange_end(now, end, &factors);
    }

    /// Returns the spent fraction of the send allowance, which is above 1 after overspending.
    pub(super) fn spent_send_fraction(&mut self, now: Timestamp) -> f64 {
        1.0 - self.send_allowance.available(now) / SEND_BURST_BYTES
    }
}
