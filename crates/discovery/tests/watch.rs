//! A subscriber of a discovery service that fails, in simulated time: the subscriber has the
//! current list within the staleness bound once discovery is reachable.

use dewrun_discovery::{Action, Event, Mode, Watch, MAX_STALENESS};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The part of the staleness bound for reading a list and for stopping what depends on the previous
/// one.
const MARGIN: Duration = ms(400);
/// The interval of discovery's heartbeats.
const HEARTBEAT_INTERVAL: Duration = ms(2_000);

/// The behavior of discovery during a span of time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    /// Responds to calls after this many milliseconds, and sends updates to watches immediately.
    Serves(u64),
    /// Rejects calls and closes watches.
    Down,
    /// Accepts calls and never responds; open watches stay open and silent permanently.
    Hangs,
    /// Rejects calls after this many milliseconds, even if it is up again by then, and closes
    /// watches.
    RejectsAfter(u64),
}

/// A discovery service with a sequence of behaviors, each for a number of milliseconds. The last
/// one does not end.
struct Discovery {
    spans: Vec<(u64, Behavior)>,
    /// The times in milliseconds at which all open watches go silent permanently, while new ones
    /// are served.
    silenced_at_ms: Vec<u64>,
}

impl Discovery {
    /// Returns the behavior at a time.
    fn behavior_at(&self, now: Duration) -> Behavior {
        let mut end = ms(0);
        let at = self.spans.iter().find(|(span, _)| {
            end += ms(*span);
            now < end
        });
        at.or(self.spans.last()).expect("a span").1
    }
}

/// Simulates a watch until `end`, and returns the times in steps of 1 ms at which the subscriber
/// had the current list.
fn simulate(mode: Mode, discovery: &Discovery, end: Duration) -> Vec<Duration> {
    simulate_with_jitter(mode, discovery, end, 0.9)
}

fn simulate_with_jitter(
    mode: Mode,
    discovery: &Discovery,
    end: Duration,
    jitter: f64,
) -> Vec<Duration> {
    let mut rejected_at = None;
    let mut watch = Watch::new(mode, ms(0));
    let (mut current_at, mut response_at, mut opened_at, mut heartbeat_at) =
        (Vec::new(), None, None, ms(0));
    let mut now = ms(0);
    while now < end {
        let is_silenced = |opened: Duration| {
            discovery
                .silenced_at_ms
                .iter()
                .any(|at| opened < ms(*at) && ms(*at) <= now)
        };
        let behavior = discovery.behavior_at(now);
        let mut event = Event::TimerElapsed;
        if let Some(opened) = opened_at {
            match behavior {
                Behavior::Down | Behavior::RejectsAfter(_) => {
                    (event, opened_at) = (Event::Closed, None)
                }
                // A watch that was open while discovery hung stays silent.
                Behavior::Hangs => opened_at = Some(ms(0)),
                Behavior::Serves(_) if opened == ms(0) || is_silenced(opened) => {}
                Behavior::Serves(_) => {
                    current_at.push(now);
                    if now >= heartbeat_at {
                        (event, heartbeat_at) = (Event::Heartbeat, now + HEARTBEAT_INTERVAL);
                    }
                }
            }
        } else if let Some(at) = rejected_at {
            if now >= at {
                (event, rejected_at) = (Event::Closed, None);
            }
        } else if let Some(at) = response_at {
            match behavior {
                Behavior::Down => (event, response_at) = (Event::Closed, None),
                Behavior::Hangs | Behavior::RejectsAfter(_) => {}
                Behavior::Serves(_) if now >= at => {
                    (event, response_at, opened_at, heartbeat_at) =
                        (Event::Connected, None, Some(now), now + HEARTBEAT_INTERVAL);
                    current_at.push(now);
                }
                Behavior::Serves(_) => {}
            }
        }
        match watch.handle(now, event, jitter) {
            Some(Action::Connect) => {
                if let Behavior::RejectsAfter(after) = behavior {
                    rejected_at = Some(now + ms(after));
                }
                response_at = match behavior {
                    Behavior::Serves(after) => Some(now + ms(after)),
                    Behavior::Hangs => Some(Duration::MAX),
                    Behavior::RejectsAfter(_) => None,
                    Behavior::Down => Some(now),
                };
            }
            Some(Action::Disconnect) => (response_at, opened_at, rejected_at) = (None, None, None),
            None => {}
        }
        now += ms(1);
    }
    current_at
}

/// Returns the longest time from `from` to `end` in which the subscriber did not have the current
/// list.
fn longest_stale(current_at: &[Duration], from: Duration, end: Duration) -> Duration {
    let after = current_at.iter().copied().filter(|at| *at >= from);
    let points: Vec<Duration> = [from].into_iter().chain(after).chain([end]).collect();
    points
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or(end - from)
}

#[test]
fn the_list_is_current_in_time_once_discovery_is_reachable() {
    let end = ms(40_000);
    for (case, spans, silenced_at_ms, reachable) in [
        (
            "a silent watch",
            vec![(1, Behavior::Serves(5))],
            vec![7_300],
            0,
        ),
        (
            "a watch whose replacement goes silent too",
            vec![(1, Behavior::Serves(5))],
            vec![7_300, 9_000],
            9_000,
        ),
        (
            "a long outage",
            vec![
                (5_000, Behavior::Serves(5)),
                (9_000, Behavior::Down),
                (1, Behavior::Serves(5)),
            ],
            vec![],
            14_000,
        ),
        (
            "a long hang",
            vec![
                (5_000, Behavior::Serves(5)),
                (9_000, Behavior::Hangs),
                (1, Behavior::Serves(5)),
            ],
            vec![],
            14_000,
        ),
        (
            "a silent watch, then a call that hangs",
            vec![
                (8_000, Behavior::Serves(5)),
                (700, Behavior::Hangs),
                (1, Behavior::Serves(5)),
            ],
            vec![6_000],
            8_700,
        ),
        (
            "slow responses",
            vec![
                (9_000, Behavior::Serves(5)),
                (500, Behavior::Down),
                (1, Behavior::Serves(900)),
            ],
            vec![],
            9_500,
        ),
    ] {
        let discovery = Discovery {
            spans,
            silenced_at_ms,
        };
        let current_at = simulate(Mode::Pushed, &discovery, end);
        let stale = longest_stale(&current_at, ms(reachable), end);
        assert!(
            stale <= MAX_STALENESS - MARGIN,
            "{case}: stale for {stale:?}"
        );
    }
}

#[test]
fn a_slow_discovery_is_eventually_connected() {
    let discovery = Discovery {
        spans: vec![(1, Behavior::Serves(2_300))],
        silenced_at_ms: vec![],
    };
    assert!(!simulate(Mode::Pushed, &discovery, ms(20_000)).is_empty());
    let current_at = simulate(Mode::Polled, &discovery, ms(3_000));
    assert_eq!(
        current_at.first(),
        Some(&ms(2_300)),
        "a polled discovery that queues calls is connected by the first call"
    );
}

#[test]
fn calls_to_a_discovery_that_is_down_are_spaced() {
    let mut watch = Watch::new(Mode::Pushed, ms(0));
    let mut calls = 0;
    for now in 0..30_000 {
        if watch.handle(ms(now), Event::TimerElapsed, 0.5) == Some(Action::Connect) {
            calls += 1;
            watch.handle(ms(now), Event::Closed, 0.5);
        }
    }
    assert!((40..=60).contains(&calls), "{calls} calls in 30 s");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]
    #[test]
    fn a_pushed_list_is_current_in_time_once_discovery_is_reachable(
        spans in proptest::collection::vec(
            (100u64..6_000, prop_oneof![(1u64..300).prop_map(Behavior::Serves), Just(Behavior::Down), Just(Behavior::Hangs)]),
            0..6,
        ),
        silenced_at_ms in proptest::collection::vec(0u64..30_000, 0..2),
    ) {
        let reachable = spans.iter().map(|(span, _)| span).sum::<u64>().max(silenced_at_ms.iter().copied().max().unwrap_or(0));
        let end = ms(reachable + 12_000);
        let mut spans = spans;
        spans.push((1, Behavior::Serves(20)));
        let current_at = simulate(Mode::Pushed, &Discovery { spans, silenced_at_ms }, end);
        let stale = longest_stale(&current_at, ms(reachable), end);
        prop_assert!(stale <= MAX_STALENESS - MARGIN, "stale for {:?} from {} ms", stale, reachable);
    }
    /// Guards against a polled list that is older than `MAX_STALENESS` after an outage.
    #[test]
    fn a_polled_list_is_current_in_time_once_discovery_is_reachable(
        spans in proptest::collection::vec(
            (100u64..9_000, prop_oneof![
                (1u64..2_000).prop_map(Behavior::Serves),
                (1u64..2_000).prop_map(Behavior::RejectsAfter),
                Just(Behavior::Down),
                Just(Behavior::Hangs),
            ]),
            0..6,
        ),
        silenced_at_ms in proptest::collection::vec(0u64..30_000, 0..2),
        turn_wait in 1u64..=2_000,
        jitter in prop_oneof![Just(0.0), Just(1.0), 0.0..1.0],
    ) {
        let reachable = spans.iter().map(|(span, _)| span).sum::<u64>().max(silenced_at_ms.iter().copied().max().unwrap_or(0));
        let end = ms(reachable + 12_000);
        let mut spans = spans;
        spans.push((1, Behavior::Serves(turn_wait)));
        let current_at = simulate_with_jitter(Mode::Polled, &Discovery { spans, silenced_at_ms }, end, jitter);
        let stale = longest_stale(&current_at, ms(reachable), end);
        prop_assert!(stale <= MAX_STALENESS - MARGIN + ms(2), "stale for {:?} from {} ms", stale, reachable);
    }
}
