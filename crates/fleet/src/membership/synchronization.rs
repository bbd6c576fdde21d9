//! Anti-entropy: two processes compare their views, and each sends the members that the other is
//! missing.
//!
//! Equal views cost only the eight bytes of a digest in messages that are sent anyway. An exchange
//! over differing views has these steps; a small fleet begins with the second one:
//!
//! 1. The digests of all buckets ([`Body::Buckets`](super::Body::Buckets)).
//! 2. Fingerprints of the members in the buckets that differ
//!    ([`Body::Compare`](super::Body::Compare)).
//! 3. The missing members ([`Body::Entries`](super::Body::Entries)), in both directions.
//!
//! A starting process queries a seed (`bootstrap`), then members that it learns of, until none is
//! missing: it has caught up. `schedule` decides when exchanges begin, `comparison` what is
//! compared, and `exchange` how much is sent. Requests and answers are charged to the send
//! allowance, requested entries to the receive allowance.

mod bootstrap;
mod comparison;
mod exchange;
mod schedule;

use super::{Membership, Micros, Output, Timestamp, SECOND_US};
use bootstrap::START_JITTER_US;
use schedule::{ExchangeEnd, Schedule};
use std::net::SocketAddr;

/// The time after which a process counts as caught up with the members that it has.
const CATCH_UP_TIMEOUT_US: Micros = 30 * SECOND_US;
/// The time after its start for which a process does not accept an equal view as evidence of a
/// complete one: two processes that have just started may know only each other.
const EQUAL_VIEW_TRUST_DELAY_US: Micros = 5 * SECOND_US;

/// An exchange that this process has begun and that has not ended.
struct OutstandingExchange {
    peer: SocketAddr,
    /// The time at which the exchange times out. A later answer is still processed.
    deadline: Timestamp,
    entries_received: usize,
    /// Whether the whole view is compared, so that an answer without entries shows that no member
    /// is missing.
    covers_whole_view: bool,
}

/// The progress of this process in comparing its view with others.
pub(super) struct Synchronization {
    outstanding: Option<OutstandingExchange>,
    schedule: Schedule,
    /// The timeout of the next seed query, while no member is known.
    seed_retry_us: Micros,
    is_caught_up: bool,
    started_at: Timestamp,
    /// The greatest fleet size that another process has reported.
    reported_fleet_size: usize,
}

impl Synchronization {
    /// Creates the state of a process that starts now; `random` is from 0 to 1.
    pub(super) fn new(now: Timestamp, random: f64) -> Synchronization {
        let first_exchange_at = now + (random * START_JITTER_US as f64) as Micros;
        Synchronization {
            outstanding: None,
            schedule: Schedule::new(now, first_exchange_at),
            seed_retry_us: bootstrap::INITIAL_SEED_RETRY_US,
            is_caught_up: false,
            started_at: now,
            reported_fleet_size: 0,
        }
    }

    /// Returns when [`Membership::synchronize_if_due`] next has something to do.
    pub(super) fn next_due(&self) -> Timestamp {
        match &self.outstanding {
            Some(exchange) => exchange.deadline,
            None if self.is_polling() => self.schedule.next_at(),
            None => Timestamp::MAX,
        }
    }

    /// Returns whether exchanges are begun periodically, rather than only when a view differs.
    fn is_polling(&self) -> bool {
        !self.is_caught_up || !self.schedule.is_polling_stopped()
    }

    /// See [`Membership::is_caught_up`].
    pub(super) fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Returns the greatest fleet size that another process has reported, or 0 once this process
    /// has caught up.
    pub(super) fn reported_fleet_size(&self) -> usize {
        if self.is_caught_up {
            0
        } else {
            self.reported_fleet_size
        }
    }

    /// Makes the next exchange begin immediately, once the first other member has become known.
    pub(super) fn start_now(&mut self, now: Timestamp) {
        self.schedule.set_next(now);
    }

    /// Returns whether an exchange with this peer is outstanding.
    fn is_outstanding_with(&self, peer: SocketAddr) -> bool {
        self.outstanding
            .as_ref()
            .is_some_and(|exchange| exchange.peer == peer)
    }

    /// Records that a member has the same view as this process.
    fn on_equal_view(&mut self, now: Timestamp) {
        self.schedule.on_equal_view();
        if now >= self.started_at + EQUAL_VIEW_TRUST_DELAY_US {
            self.is_caught_up = true;
            self.schedule.stop_polling();
        }
    }
}

impl Membership {
    /// Ends an exchange that has timed out, and begins one if it is due.
    pub(super) fn synchronize_if_due(&mut self, now: Timestamp, output: &mut Output) {
        let outstanding = &mut self.synchronization.outstanding;
        if let Some(expired) = outstanding.take_if(|exchange| exchange.deadline <= now) {
            let end = if expired.entries_received > 0 {
                ExchangeEnd::Completed {
                    entries: expired.entries_received,
                }
            } else {
                ExchangeEnd::Unanswered
            };
            self.end_exchange(now, end);
        }
        if now >= self.synchronization.started_at + CATCH_UP_TIMEOUT_US {
            self.synchronization.is_caught_up = true;
        }
        if self.synchronization.outstanding.is_none()
            && self.synchronization.is_polling()
            && now >= self.synchronization.schedule.next_at()
        {
            match self.random_peer() {
                Some(peer) => self.begin_exchange(now, peer, output),
                None => self.query_random_seed(now, output),
            }
        }
    }

    /// Compares the view digest of a message's sender with that of this process.
    pub(super) fn on_view_digest(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        digest: u64,
        output: &mut Output,
    ) {
        if !self.table.is_live(from) {
            return;
        }
        let synchronization = &mut self.synchronization;
        if digest == self.table.view().digest() {
            synchronization.on_equal_view(now);
            return;
        }
        let is_due = synchronization.schedule.is_due_for_differing_view(now);
        if is_due && synchronization.outstanding.is_none() {
            self.begin_exchange(now, from, output);
        }
    }
}
