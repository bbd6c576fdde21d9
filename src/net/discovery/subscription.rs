//! Keeping a watch on discovery open: the I/O around the state machine `dewrun_discovery::Watch`.

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
    /// The version that this process holds of this service, if any.
    pub held_version: Option<u64>,
    /// Seeds the jitter of the backoff.
    pub seed: u64,
    /// Told when the list in use was last known to be current.
    pub freshness: Rc<ListFreshness>,
}

/// When the list in use was last known to be that of discovery: at its arrival, or at a later
/// heartbeat of the watch.
pub struct ListFreshness {
    confirmed_at: Cell<Instant>,
}

impl ListFreshness {
    /// A list that is taken for current now.
    pub fn now() -> Rc<ListFreshness> {
        Rc::new(ListFreshness {
            confirmed_at: Cell::new(Instant::now()),
        })
    }

    fn confirm(&self) {
        self.confirmed_at.set(Instant::now());
    }

    /// The age of the list in use; up to the interval of heartbeats while a watch is open.
    pub fn list_age(&self) -> Duration {
        self.confirmed_at.get().elapsed()
    }
}

/// The watch's state machine with its clock and its random numbers.
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

    /// The wait until the next call, in milliseconds.
    fn backoff_ms(&self) -> Option<u64> {
        let now = self.started_at.elapsed();
        let backoff = self.watch.borrow().0.backoff(now);
        backoff.map(|wait| wait.as_millis() as u64)
    }

    fn sleep(&self) -> Sleep {
        sleep_until(self.started_at + self.watch.borrow().0.next_deadline())
    }
}

/// How a watch ended.
struct WatchEnd {
    error: CallError,
    /// How long it lasted, with the call for it.
    duration: Duration,
    /// Whether it brought a list or a heartbeat.
    brought_anything: bool,
}

impl Subscription {
    /// Passes each list to `on_list`, for ever: a watch that ends, falls silent or brings a malformed
    /// list is opened again from the version that is held, when [`Watch`] says so.
    pub async fn run(mut self, mut on_list: impl FnMut(EndpointList)) {
        let timer = WatchTimer::start(self.mode, self.seed);
        let mut is_failing = false;
        loop {
            timer.sleep().await;
            if timer.report(Event::TimerElapsed) != Some(Action::Connect) {
                continue;
            }
            let end = self.watch(&timer, &mut on_list).await;
            is_failing &= !end.brought_anything;
            let is_outage_new = !std::mem::replace(&mut is_failing, true);
            self.log_end(&end, is_outage_new, timer.backoff_ms());
        }
    }

    /// Logs one warning for each outage. Calls to a polled discovery are rare enough for a line each.
    fn log_end(&self, end: &WatchEnd, is_outage_new: bool, next_call_ms: Option<u64>) {
        let call_ms = end.duration.as_millis() as u64;
        let list_age_ms = self.freshness.list_age().as_millis() as u64;
        let error = &end.error;
        if is_outage_new {
            warn!(
                call_ms,
                list_age_ms, next_call_ms, "discovery watch: {error}; opening it again"
            );
        } else if self.mode == Mode::Polled {
            info!(
                call_ms,
                list_age_ms, next_call_ms, "discovery call failed: {error}"
            );
        }
    }

    /// Makes one call, and watches until the watch ends or is silent for too long.
    async fn watch(
        &mut self,
        timer: &WatchTimer,
        on_list: &mut impl FnMut(EndpointList),
    ) -> WatchEnd {
        let begun = Instant::now();
        let freshness = self.freshness.clone();
        let mut brought_anything = false;
        let on_event = |event| {
            if !matches!(event, WatchEvent::Connected) {
                brought_anything = true;
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
            brought_anything,
        }
    }
}
