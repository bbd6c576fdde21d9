//! Many subscribers of one discovery service that serves calls one at a time, in simulated time.

use dewrun_discovery::{Action, Event, Mode, Watch, MAX_STALENESS};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A call that has waited in the queue for this time is rejected.
const MAX_TURN_WAIT: Duration = Duration::from_millis(2_000);
/// The time at which discovery goes down and all watches end.
const DOWN_AT: Duration = Duration::from_millis(5_000);
/// The end of the simulation.
const END: Duration = Duration::from_millis(60_000);

/// Decides when a subscriber calls again after a failure.
trait Subscriber {
    /// Returns the time of the next call after a watch has ended.
    fn watch_ended(&mut self, now: Duration, random: f64) -> Duration;
    /// Returns the time of the next call after a rejected call.
    fn call_rejected(&mut self, now: Duration, random: f64) -> Duration;
    /// Records the start of a call.
    fn call_started(&mut self, now: Duration);
}

impl Subscriber for Watch {
    fn watch_ended(&mut self, now: Duration, random: f64) -> Duration {
        self.call_started(now);
        assert_eq!(self.handle(now, Event::Connected, random), None);
        assert_eq!(self.handle(now, Event::ListReceived, random), None);
        self.call_rejected(now, random)
    }

    fn call_rejected(&mut self, now: Duration, random: f64) -> Duration {
        assert_eq!(self.handle(now, Event::Closed, random), None);
        self.next_deadline()
    }

    fn call_started(&mut self, now: Duration) {
        assert_eq!(
            self.handle(now, Event::TimerElapsed, 0.0),
            Some(Action::Connect)
        );
    }
}

/// The exponential backoff of polled lists up to release 0.2, as a reference.
#[derive(Default)]
struct ExponentialBackoff {
    failures: i32,
}

impl Subscriber for ExponentialBackoff {
    fn watch_ended(&mut self, now: Duration, random: f64) -> Duration {
        self.call_rejected(now, random)
    }

    fn call_rejected(&mut self, now: Duration, random: f64) -> Duration {
        let wait_s = (0.3 * 2f64.powi(self.failures.min(5))).min(2.0);
        self.failures += 1;
        now + Duration::from_secs_f64(wait_s * (0.5 + random))
    }

    fn call_started(&mut self, _: Duration) {}
}

/// The results of a simulated outage.
struct Outcome {
    /// The longest time from the end of the outage until a subscriber had the list.
    longest_stale: Duration,
    calls: u32,
    longest_turn_wait: Duration,
}

/// Simulates an outage of a service that serves `calls_per_s`.
fn simulate(
    mut subscribers: Vec<Box<dyn Subscriber>>,
    outage: Duration,
    calls_per_s: f64,
    seed: u64,
) -> Outcome {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let up_at = DOWN_AT + outage;
    let mut calls = BinaryHeap::new();
    for (index, subscriber) in subscribers.iter_mut().enumerate() {
        calls.push(Reverse((
            subscriber.watch_ended(DOWN_AT, rng.random()),
            index,
        )));
    }
    let mut outcome = Outcome {
        longest_stale: Duration::ZERO,
        calls: 0,
        longest_turn_wait: Duration::ZERO,
    };
    let mut next_turn_at = up_at;
    while let Some(Reverse((now, index))) = calls.pop() {
        if now > END {
            outcome.longest_stale = END - up_at;
            break;
        }
        outcome.calls += 1;
        let subscriber = &mut subscribers[index];
        subscriber.call_started(now);
        let turn_wait = next_turn_at.saturating_sub(now);
        if now < up_at || turn_wait > MAX_TURN_WAIT {
            let next_call_at = subscriber.call_rejected(now + MAX_TURN_WAIT, rng.random());
            calls.push(Reverse((next_call_at, index)));
            continue;
        }
        next_turn_at = next_turn_at.max(now) + Duration::from_secs_f64(1.0 / calls_per_s);
        outcome.longest_turn_wait = outcome.longest_turn_wait.max(turn_wait);
        outcome.longest_stale = outcome.longest_stale.max(next_turn_at - up_at);
    }
    outcome
}

fn watches(count: usize) -> Vec<Box<dyn Subscriber>> {
    (0..count)
        .map(|_| Box::new(Watch::new(Mode::Polled, DOWN_AT)) as Box<dyn Subscriber>)
        .collect()
}

fn exponential(count: usize) -> Vec<Box<dyn Subscriber>> {
    (0..count)
        .map(|_| Box::new(ExponentialBackoff::default()) as Box<dyn Subscriber>)
        .collect()
}

/// Guards against a burst of calls to a polled discovery after an outage, most of which it would
/// reject because they wait in its queue for too long.
#[test]
fn nine_hundred_subscribers_reconnect_in_time_after_a_common_outage() {
    // Serving 900 calls takes 4.1 s, which is less than MAX_STALENESS.
    let (count, calls_per_s) = (900, 218.0);
    let (mut calls, mut reference_calls) = (0, 0);
    let mut longest_reference = Duration::ZERO;
    for outage_ms in (0..=12_000).step_by(500) {
        let outage = Duration::from_millis(outage_ms);
        let outcome = simulate(watches(count), outage, calls_per_s, outage_ms);
        let reference = simulate(exponential(count), outage, calls_per_s, outage_ms);
        assert!(
            outcome.longest_stale <= MAX_STALENESS - Duration::from_millis(400),
            "stale for {:?} after {outage:?}",
            outcome.longest_stale
        );
        println!(
            "outage {outage:?}: stale {:?} (reference {:?}), turn {:?} ({:?}), calls {} ({})",
            outcome.longest_stale,
            reference.longest_stale,
            outcome.longest_turn_wait,
            reference.longest_turn_wait,
            outcome.calls,
            reference.calls
        );
        longest_reference = longest_reference.max(reference.longest_stale);
        calls += outcome.calls;
        reference_calls += reference.calls;
    }
    assert!(
        f64::from(calls) <= 1.1 * f64::from(reference_calls),
        "{calls} calls, {reference_calls} by exponential backoff"
    );
    assert!(
        longest_reference > MAX_STALENESS,
        "the reference does not show the burst: {longest_reference:?}"
    );
}

/// A discovery that stays down for long gets at most a tenth more calls than with the exponential
/// backoff.
#[test]
fn a_long_outage_is_not_polled_harder_than_by_exponential_backoff() {
    let outage = Duration::from_secs(50);
    let outcome = simulate(watches(100), outage, 218.0, 1);
    let reference = simulate(exponential(100), outage, 218.0, 1);
    assert!(
        f64::from(outcome.calls) <= 1.1 * f64::from(reference.calls),
        "{} calls, {} by exponential backoff",
        outcome.calls,
        reference.calls
    );
}

/// Guards against a burst of calls when many processes restart at the same time.
#[test]
fn processes_that_start_simultaneously_spread_their_first_calls() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let spread = Duration::from_millis(1_000);
    let mut first_calls: Vec<Duration> = (0..300)
        .map(|_| Watch::new(Mode::Polled, DOWN_AT).spread_first_call(rng.random()))
        .map(|watch| watch.next_deadline() - DOWN_AT)
        .collect();
    first_calls.sort_unstable();
    assert!(first_calls.iter().all(|wait| *wait <= spread));
    let longest_gap = first_calls.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(
        longest_gap.is_some_and(|gap| gap < spread / 20),
        "{longest_gap:?}"
    );
    let pushed = Watch::new(Mode::Pushed, DOWN_AT).spread_first_call(1.0);
    assert_eq!(pushed.next_deadline(), DOWN_AT);
}
