//! When the next exchange follows, by what the last one came to and by how much of the send
//! allowance is spent.

use crate::membership::{
    Membership, Micros, Timestamp, MILLISECOND_US, SECOND_US, SEND_BURST_BYTES,
};
use rand::Rng;

/// The shortest interval between two exchanges. It doubles with each that brings nothing.
const MIN_EXCHANGE_INTERVAL_US: Micros = 250 * MILLISECOND_US;
/// The longest interval. After that a process that has caught up waits for a view that differs.
const MAX_EXCHANGE_INTERVAL_US: Micros = 3 * SECOND_US;
/// The longest interval in a process that has not caught up.
const MAX_CATCH_UP_INTERVAL_US: Micros = 500 * MILLISECOND_US;
/// A process that has run for this long, and knows fewer members than another has reported, loses
/// packets: it shortens the interval while its allowance is ample. Before that all processes may be
/// starting and asking.
const CATCH_UP_SPEEDUP_DELAY_US: Micros = 2 * SECOND_US;
/// The shortest such interval, as a fraction of the regular one.
const MIN_CATCH_UP_INTERVAL_FRACTION: f64 = 0.3;
/// The pause after an exchange that was not answered.
const UNANSWERED_RETRY_US: Micros = 500 * MILLISECOND_US;
/// The pause after an exchange that did not show what differs.
const INCONCLUSIVE_RETRY_US: Micros = 500 * MILLISECOND_US;
/// An exchange that brought so many entries is followed by the next at once.
pub(super) const LARGE_EXCHANGE_ENTRIES: usize = 100;
/// The pause after an exchange that brought hardly any entries, as a comparison costs much for so
/// little. Shorter in proportion to the entries.
const MAX_PAUSE_US: Micros = 2 * SECOND_US;
/// The shortest pause while the allowance is ample, as a fraction of the regular one.
const MIN_PAUSE_FRACTION: f64 = 0.1;
/// How long the view of another has to differ before it is compared, in a process to which no
/// exchange has brought anything for [`RECENT_ENTRIES_PERIOD_US`]: gossip brings what is new meanwhile.
const DIFFERING_VIEW_DELAY_US: Micros = 1_500 * MILLISECOND_US;
/// See [`DIFFERING_VIEW_DELAY_US`].
const RECENT_ENTRIES_PERIOD_US: Micros = 10 * SECOND_US;

/// How an exchange has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeEnd {
    /// The peer has answered.
    Completed {
        /// How many new entries this process got.
        entries: usize,
    },
    /// The peer was silent, or a packet was lost. This says nothing of its view.
    Unanswered,
    /// The digests differ and the fingerprints do not: a member that differs has the fingerprint
    /// of another by chance.
    Inconclusive,
}

/// What the pause after an exchange depends on, beside how it ended.
pub(super) struct PauseFactors {
    /// The spent fraction of the send allowance.
    pub(super) spent_fraction: f64,
    pub(super) is_caught_up: bool,
    /// Whether the process catches up, and knows fewer members than another has reported.
    pub(super) is_missing_members: bool,
    /// How long the process has run.
    pub(super) uptime_us: Micros,
    /// From 0 to 1.
    pub(super) random: f64,
}

impl PauseFactors {
    /// The factor of a pause: the lower, the less of the allowance is spent.
    fn pause_fraction(&self) -> f64 {
        self.spent_fraction.clamp(MIN_PAUSE_FRACTION, 1.0)
    }

    /// The factor of the interval after an exchange that brought nothing.
    fn interval_fraction(&self) -> f64 {
        if self.is_missing_members && self.uptime_us >= CATCH_UP_SPEEDUP_DELAY_US {
            self.spent_fraction
                .clamp(MIN_CATCH_UP_INTERVAL_FRACTION, 1.0)
        } else {
            1.0
        }
    }
}

/// When exchanges are begun.
pub(super) struct Schedule {
    next_at: Timestamp,
    interval_us: Micros,
    /// How many entries the last completed exchange has brought.
    last_entries: usize,
    /// When an exchange last brought entries.
    last_new_entries_at: Timestamp,
    /// Since when the views of others have differed.
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

    /// When the next exchange begins by time.
    pub(super) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    pub(super) fn set_next(&mut self, next_at: Timestamp) {
        self.next_at = next_at;
    }

    /// Puts the next exchange off by the shortest interval.
    pub(super) fn postpone(&mut self, now: Timestamp) {
        self.next_at = now + MIN_EXCHANGE_INTERVAL_US;
    }

    /// Whether exchanges have brought nothing for so long that no more are begun by time.
    pub(super) fn is_polling_stopped(&self) -> bool {
        self.interval_us >= MAX_EXCHANGE_INTERVAL_US
    }

    /// Begins no more exchanges by time, until one brings something.
    pub(super) fn stop_polling(&mut self) {
        self.interval_us = MAX_EXCHANGE_INTERVAL_US;
    }

    /// Whether the last exchange brought so much that much more probably differs.
    pub(super) fn has_large_difference(&self) -> bool {
        self.last_entries >= LARGE_EXCHANGE_ENTRIES / 2
    }

    /// Takes in that another has the same view.
    pub(super) fn on_equal_view(&mut self) {
        self.differing_since = None;
    }

    /// Takes in that another has a different view, and tells whether it is time to compare it.
    pub(super) fn is_due_for_differing_view(&mut self, now: Timestamp) -> bool {
        let differing_since = *self.differing_since.get_or_insert(now);
        let delay = if now < self.last_new_entries_at + RECENT_ENTRIES_PERIOD_US {
            0
        } else {
            DIFFERING_VIEW_DELAY_US
        };
        now >= self.next_at && now >= differing_since + delay
    }

    /// Takes in that entries have brought something.
    pub(super) fn on_new_entries(&mut self, now: Timestamp) {
        self.last_new_entries_at = now;
        self.interval_us = MIN_EXCHANGE_INTERVAL_US;
    }

    /// Sets when the next exchange follows on one that has ended.
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

    /// The spent fraction of the send allowance; above 1 if more was spent than there was.
    pub(super) fn spent_send_fraction(&mut self, now: Timestamp) -> f64 {
        1.0 - self.send_allowance.available(now) / SEND_BURST_BYTES
    }
}
