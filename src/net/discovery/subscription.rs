//! The subscription to discovery: the I/O around the state machine `dewrun_discovery::Watch`.

use super::call::{watch_once, CallError, WatchEvent};
use super::endpoint_list::EndpointList;
use dewrun_discovery::{Action, Event, Mode, Watch};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};
use tracing::{info, warn};

/// A subscription to the endpoint list of a discovery service.
pub struct Subscription {
    /// The address of the discovery service.
    pub address: SocketAddr,
    /// Whether lists are pushed or polled.
    pub mode: Mode,
    /// The latest version that this process has from this service, if any.
    pub held_version: Option<u64>,
    /// The seed of the backoff's jitter.
    pub seed: u64,
    /// Records when the list in use was last known to be current.
    pub freshness: Rc<ListFreshness>,
}

/// The time at which the list in use was last known to be current: that of its arrival, or of a
/// later heartbeat of the watch.
pub struct ListFreshness {
    confirmed_at: Cell<Instant>,
}

impl ListFreshness {
    /// Creates the record of a list that is current now.
    pub fn now() -> Rc<ListFreshness> {
        Rc::new(ListFreshness {
            confirmed_at: Cell::new(Instant::now()),
        })
    }

    fn confirm(&self) {
        self.confirmed_at.set(Instant::now());
    }

    /// Returns the age of the list in use. While a watch is open it is at most the heartbeat
    /// interval.
    pub fn list_age(&self) -> Duration {
        self.confirmed_at.get().elapsed()
    }
}

/// The state machine of the watch with its clock and random numbers.
struct WatchTimer {
    started_at: Instant,
    watch: RefCell<(Watch, Xoshiro256PlusPlus)>,
}

impl WatchTimer {
    fn start(mode: Mode, seed: u64) -> WatchTimer {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let watch = Watch::new(mode, Duration::ZERO).spread_first_call(rng.random());
        WatchTimer {
            started_at: Instant::now(),
            watch: RefCell::new((watch, rng)),
        }
    }

    fn report(&self, event: Event) -> Option<Action> {
        let (watch, rng) = &mut *self.watch.borrow_mut();
        watch.handle(self.started_at.elapsed(), event, rng.random())
    }

    /// Returns the wait until the next call, in milliseconds.
    fn backoff_ms(&self) -> Option<u64> {
        let now = self.started_at.elapsed();
        let backoff = self.watch.borrow().0.backoff(now);
        backoff.map(|wait| wait.as_millis() as u64)
    }

    fn sleep(&self) -> Sleep {
        sleep_until(self.started_at + self.watch.borrow().0.next_deadline())
    }
}

/// The end of a watch.
struct WatchEnd {
    error: CallError,
    /// The duration of the watch, including the call that opened it.
    duration: Duration,
    /// Whether a list or a heartbeat was received.
    has_received: bool,
}

impl Subscription {
    /// Passes each list to `on_list`, for ever. A watch that ends, is silent for too long or has a
    /// malformed list is opened again from the held version, after the backoff of [`Watch`].
    pub async fn run(mut self, mut on_list: impl FnMut(EndpointList)) {
        let timer = WatchTimer::start(self.mode, self.seed);
        let mut is_failing = false;
        loop {
            timer.sleep().await;
            if timer.report(Event::TimerElapsed) != Some(Action::Connect) {
                continue;
            }
            let end = self.watch(&timer, &mut on_list).await;
            is_failing &= !end.has_received;
            let is_outage_new = !std::mem::replace(&mut is_failing, true);
            self.log_end(&end, is_outage_new, timer.backoff_ms());
        }
    }

    /// Logs one warning for each outage. Calls to a polled discovery are rare enough for a line
    /// each.
    fn log_end(&self, end: &WatchEnd, is_outage_new: bool, next_call_ms: Option<u64>) {
        let call_ms = end.duration.as_millis() as u64;
        let list_age_ms = self.freshness.list_age().as_millis() as u64;
        let error = &end.error;
        if is_outage_new {
            warn!(
                call_ms,
                list_age_ms, next_call_ms, "discovery watch: {error}; retrying"
            );
        } else if self.mode == Mode::Polled {
            info!(
                call_ms,
                list_age_ms, next_call_ms, "discovery call failed: {error}"
            );
        }
    }

    /// Opens a watch, and reads it until it ends or is silent for too long.
    async fn watch(
        &mut self,
        timer: &WatchTimer,
        on_list: &mut impl FnMut(EndpointList),
    ) -> WatchEnd {
        let begun = Instant::now();
        let freshness = self.freshness.clone();
        let mut has_received = false;
        let on_event = |event| {
            if !matches!(event, WatchEvent::Connected) {
                has_received = true;
                freshness.confirm();
            }
            timer.report(match event {
                WatchEvent::Connected => Event::Connected,
                WatchEvent::Heartbeat => Event::Heartbeat,
                WatchEvent::List(list) => {
                    on_list(list);
                    Event::ListReceived
                }
            });
        };
        let error = {
            let call = watch_once(self.address, &mut self.held_version, on_event);
            tokio::pin!(call);
            loop {
                tokio::select! {
                    biased;
                    error = &mut call => {
                        timer.report(Event::Closed);
                        break error;
                    }
                    () = timer.sleep() => {
                        if timer.report(Event::TimerElapsed) == Some(Action::Disconnect) {
                            break CallError::Timeout;
                        }
                    }
                }
            }
        };
        WatchEnd {
            error,
            duration: begun.elapsed(),
            has_received,
        }
    }
}
