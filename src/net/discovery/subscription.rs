//! Keeping a watch on discovery open: the I/O around the state machine `dewrun_discovery::Watch`.

use super::call::{watch_once, CallError, WatchEvent};
use super::endpoint_list::EndpointList;
use dewrun_discovery::{Action, Event, Mode, Watch};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

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
}

/// The watch's state machine with its clock and its random numbers.
struct WatchTimer {
    started_at: Instant,
    watch: RefCell<(Watch, Xoshiro256PlusPlus)>,
}

impl WatchTimer {
    fn start(mode: Mode, seed: u64) -> WatchTimer {
        WatchTimer {
            started_at: Instant::now(),
            watch: RefCell::new((
                Watch::new(mode, Duration::ZERO),
                Xoshiro256PlusPlus::seed_from_u64(seed),
            )),
        }
    }

    fn report(&self, event: Event) -> Option<Action> {
        let (watch, rng) = &mut *self.watch.borrow_mut();
        watch.handle(self.started_at.elapsed(), event, rng.random())
    }

    fn sleep(&self) -> Sleep {
        sleep_until(self.started_at + self.watch.borrow().0.next_deadline())
    }
}

/// How a watch ended.
struct WatchEnd {
    error: CallError,
    /// Whether it brought a list or a heartbeat.
    brought_anything: bool,
}

impl Subscription {
    /// Passes each list to `on_list`. With [`Mode::Pushed`] this runs for ever: a watch that ends,
    /// falls silent or brings a malformed list is opened again from the version that is held. With
    /// [`Mode::Polled`] this returns at the end of the first watch.
    pub async fn run(mut self, mut on_list: impl FnMut(EndpointList)) {
        let timer = WatchTimer::start(self.mode, self.seed);
        let mut is_failing = false;
        loop {
            timer.sleep().await;
            if timer.report(Event::TimerElapsed) != Some(Action::Connect) {
                continue;
            }
            let end = self.watch(&timer, &mut on_list).await;
            if self.mode == Mode::Polled {
                return;
            }
            is_failing &= !end.brought_anything;
            // One line for each outage, not for each call.
            if !std::mem::replace(&mut is_failing, true) {
                tracing::warn!("discovery watch: {}; opening it again", end.error);
            }
        }
    }

    /// Makes one call, and watches until the watch ends or is silent for too long.
    async fn watch(
        &mut self,
        timer: &WatchTimer,
        on_list: &mut impl FnMut(EndpointList),
    ) -> WatchEnd {
        let mut brought_anything = false;
        let on_event = |event| {
            brought_anything |= !matches!(event, WatchEvent::Connected);
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
            brought_anything,
        }
    }
}
