//! Many subscribers of one discovery service that works through calls in turn, in simulated time.

use dewrun_discovery::{Action, Event, Mode, Watch, MAX_STALENESS};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A call that has waited for its turn for this time is refused.
const MAX_TURN_WAIT: Duration = Duration::from_millis(2_000);
/// Discovery goes down then, and all watches end.
const DOWN_AT: Duration = Duration::from_millis(5_000);
const END: Duration = Duration::from_millis(60_000);

/// When a subscriber calls again after a failure.
trait Subscriber {
    /// The time of the call that follows a watch which ended.
    fn watch_ended(&mut self, now: Duration, random: f64) -> Duration;
    /// The time of the call that follows a refused one.
    fn call_refused(&mut self, now: Duration, random: f64) -> Duration;
    fn call_begins(&mut self, now: Duration);
}

impl Subscriber for Watch {
    fn watch_ended(&mut self, now: Duration, random: f64) -> Duration {
        self.call_begins(now);
        assert_eq!(self.handle(now, Event::Connected, random), None);
        assert_eq!(self.handle(now, Event::ListReceived, random), None);
        self.call_refused(now, random)
    }

    fn call_refused(&mut self, now: Duration, random: f64) -> Duration {
        assert_eq!(self.handle(now, Event::Closed, random), None);
        self.next_deadline()
    }

    fn call_begins(&mut self, now: Duration) {
        assert_eq!(
            self.handle(now, Event::TimerElapsed, 0.0),
            Some(Action::Connect)
        );
    }
}

/// The exponential backoff that polled lists had until release 0.2, as a reference.
#[derive(Default)]
struct ExponentialBackoff {
    failures: i32,
}

impl Subscriber for ExponentialBackoff {
    fn watch_ended(&mut self, now: Duration, random: f64) -> Duration {
        self.call_refused(now, random)
    }

    fn call_refused(&mut self, now: Duration, random: f64) -> Duration {
        let wait_s = (0.3 * 2f64.powi(self.failures.min(5))).min(2.0);
        self.failures += 1;
        now + Duration::from_secs_f64(wait_s * (0.5 + random))
    }

    fn call_begins(&mut self, _: Duration) {}
}

/// What came of an outage.
struct Outcome {
    /// The longest time from the end of the outage until a subscriber had the list.
    longest_stale: Duration,
    calls: u32,
    longest_turn_wait: Duration,
}

/// Plays an outage of a service that answers some calls a second.
fn play(
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
    let mut is_free_at = up_at;
    while let Some(Reverse((now, index))) = calls.pop() {
        if now > END {
            outcome.longest_stale = END - up_at;
            break;
        }
        outcome.calls += 1;
        let subscriber = &mut subscribers[index];
        subscriber.call_begins(now);
        let turn_wait = is_free_at.saturating_sub(now);
        if now < up_at || turn_wait > MAX_TURN_WAIT {
            let again_at = subscriber.call_refused(now + MAX_TURN_WAIT, rng.random());
            calls.push(Reverse((again_at, index)));
            continue;
        }
        is_free_at = is_free_at.max(now) + Duration::from_secs_f64(1.0 / calls_per_s);
        outcome.longest_turn_wait = outcome.longest_turn_wait.max(turn_wait);
        outcome.longest_stale = outcome.longest_stale.max(is_free_at - up_at);
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

/// Guards against calls that crowd at a polled discovery which is up again, and are refused there.
#[test]
fn nine_hundred_subscribers_that_lost_their_watches_together_find_their_turns() {
    // 900 calls take 4.1 s, less than MAX_STALENESS.
    let (count, calls_per_s) = (900, 218.0);
    let (mut calls, mut calls_before) = (0, 0);
    let mut longest_before = Duration::ZERO;
    for outage_ms in (0..=12_000).step_by(500) {
        let outage = Duration::from_millis(outage_ms);
        let played = play(watches(count), outage, calls_per_s, outage_ms);
        let before = play(exponential(count), outage, calls_per_s, outage_ms);
        assert!(
            played.longest_stale <= MAX_STALENESS - Duration::from_millis(400),
            "stale for {:?} after {outage:?}",
            played.longest_stale
        );
        println!(
            "outage {outage:?}: stale {:?} (before {:?}), turn {:?} ({:?}), calls {} ({})",
            played.longest_stale,
            before.longest_stale,
            played.longest_turn_wait,
            before.longest_turn_wait,
            played.calls,
            before.calls
        );
        longest_before = longest_before.max(before.longest_stale);
        calls += played.calls;
        calls_before += before.calls;
    }
    assert!(
        f64::from(calls) <= 1.1 * f64::from(calls_before),
        "{calls} calls, {calls_before} by exponential backoff"
    );
    assert!(
        longest_before > MAX_STALENESS,
        "the reference shows the crowd: {longest_before:?}"
    );
}

/// The load on a discovery that stays down for long is that of the former backoff, or nearly.
#[test]
fn a_long_outage_is_not_polled_harder_than_by_exponential_backoff() {
    let outage = Duration::from_secs(50);
    let played = play(watches(100), outage, 218.0, 1);
    let before = play(exponential(100), outage, 218.0, 1);
    assert!(
        f64::from(played.calls) <= 1.1 * f64::from(before.calls),
        "{} calls, {} before",
        played.calls,
        before.calls
    );
}

/// Guards against calls that crowd where many processes are restarted together.
#[test]
fn processes_that_start_together_spread_their_first_calls() {
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
