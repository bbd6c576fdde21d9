//! A subscriber beside a discovery that fails, in simulated time: what could be known is known in
//! time.

use dewrun_discovery::{Action, Event, Mode, Watch, MAX_STALENESS};
use proptest::prelude::*;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What is left of the time for reading a list and stopping what was begun by the former one.
const MARGIN: Duration = ms(400);
const BEAT: Duration = ms(2_000);

/// What discovery does in a span of time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    /// Answers calls after some milliseconds, and tells watches at once.
    Well(u64),
    /// Refuses calls and ends watches.
    Down,
    /// Takes calls and never answers; watches stay open and silent for good.
    Hangs,
    /// Refuses calls after some milliseconds, also if it is up again by then, and ends watches.
    RefusesAfter(u64),
}

/// A discovery that does one thing after another, each for some milliseconds, and the last for
/// ever.
struct Discovery {
    spans: Vec<(u64, Does)>,
    /// Open watches fall silent for good then, though new ones are served.
    mute: Vec<u64>,
}

impl Discovery {
    fn does(&self, now: Duration) -> Does {
        let mut end = ms(0);
        let at = self.spans.iter().find(|(span, _)| {
            end += ms(*span);
            now < end
        });
        at.or(self.spans.last()).expect("a span").1
    }
}

/// Plays a watch for a while; gives the times at which it knew all that there was.
fn play(mode: Mode, discovery: &Discovery, end: Duration) -> Vec<Duration> {
    play_with_jitter(mode, discovery, end, 0.9)
}

fn play_with_jitter(
    mode: Mode,
    discovery: &Discovery,
    end: Duration,
    jitter: f64,
) -> Vec<Duration> {
    let mut refused_at = None;
    let mut watch = Watch::new(mode, ms(0));
    let (mut known, mut answer_at, mut opened_at, mut beat_at) = (Vec::new(), None, None, ms(0));
    let mut now = ms(0);
    while now < end {
        let muted = |opened: Duration| {
            discovery
                .mute
                .iter()
                .any(|at| opened < ms(*at) && ms(*at) <= now)
        };
        let does = discovery.does(now);
        let mut event = Event::TimerElapsed;
        if let Some(opened) = opened_at {
            match does {
                Does::Down | Does::RefusesAfter(_) => (event, opened_at) = (Event::Closed, None),
                // One that was open while discovery hung stays silent.
                Does::Hangs => opened_at = Some(ms(0)),
                Does::Well(_) if opened == ms(0) || muted(opened) => {}
                Does::Well(_) => {
                    known.push(now);
                    if now >= beat_at {
                        (event, beat_at) = (Event::Heartbeat, now + BEAT);
                    }
                }
            }
        } else if let Some(at) = refused_at {
            if now >= at {
                (event, refused_at) = (Event::Closed, None);
            }
        } else if let Some(at) = answer_at {
            match does {
                Does::Down => (event, answer_at) = (Event::Closed, None),
                Does::Hangs | Does::RefusesAfter(_) => {}
                Does::Well(_) if now >= at => {
                    (event, answer_at, opened_at, beat_at) =
                        (Event::Connected, None, Some(now), now + BEAT);
                    known.push(now);
                }
                Does::Well(_) => {}
            }
        }
        match watch.handle(now, event, jitter) {
            Some(Action::Connect) => {
                if let Does::RefusesAfter(after) = does {
                    refused_at = Some(now + ms(after));
                }
                answer_at = match does {
                    Does::Well(after) => Some(now + ms(after)),
                    Does::Hangs => Some(Duration::MAX),
                    Does::RefusesAfter(_) => None,
                    Does::Down => Some(now),
                };
            }
            Some(Action::Disconnect) => (answer_at, opened_at, refused_at) = (None, None, None),
            None => {}
        }
        now += ms(1);
    }
    known
}

/// The longest span, from `from` on, at whose start discovery could be reached and in which nothing
/// was known.
fn longest_blind(known: &[Duration], from: Duration, end: Duration) -> Duration {
    let after = known.iter().copied().filter(|at| *at >= from);
    let points: Vec<Duration> = [from].into_iter().chain(after).chain([end]).collect();
    points
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or(end - from)
}

#[test]
fn what_could_be_reached_is_known_in_time() {
    let end = ms(40_000);
    for (what, spans, mute, reachable) in [
        ("a silent watch", vec![(1, Does::Well(5))], vec![7_300], 0),
        (
            "one that falls silent again at once",
            vec![(1, Does::Well(5))],
            vec![7_300, 9_000],
            9_000,
        ),
        (
            "down for long",
            vec![
                (5_000, Does::Well(5)),
                (9_000, Does::Down),
                (1, Does::Well(5)),
            ],
            vec![],
            14_000,
        ),
        (
            "hanging for long",
            vec![
                (5_000, Does::Well(5)),
                (9_000, Does::Hangs),
                (1, Does::Well(5)),
            ],
            vec![],
            14_000,
        ),
        (
            "silent, then a call that hangs",
            vec![
                (8_000, Does::Well(5)),
                (700, Does::Hangs),
                (1, Does::Well(5)),
            ],
            vec![6_000],
            8_700,
        ),
        (
            "slow",
            vec![
                (9_000, Does::Well(5)),
                (500, Does::Down),
                (1, Does::Well(900)),
            ],
            vec![],
            9_500,
        ),
    ] {
        let discovery = Discovery { spans, mute };
        let known = play(Mode::Pushed, &discovery, end);
        let blind = longest_blind(&known, ms(reachable), end);
        assert!(
            blind <= MAX_STALENESS - MARGIN,
            "{what}: blind for {blind:?}"
        );
    }
}

#[test]
fn one_that_is_slow_to_answer_is_waited_for_in_the_end() {
    let discovery = Discovery {
        spans: vec![(1, Does::Well(2_300))],
        mute: vec![],
    };
    assert!(!play(Mode::Pushed, &discovery, ms(20_000)).is_empty());
    let known = play(Mode::Polled, &discovery, ms(3_000));
    assert_eq!(
        known.first(),
        Some(&ms(2_300)),
        "where calls wait in turn the first is waited for"
    );
}

#[test]
fn a_discovery_that_is_down_is_not_called_without_pause() {
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
    fn it_is_never_blind_for_long_once_discovery_can_be_reached(
        spans in proptest::collection::vec(
            (100u64..6_000, prop_oneof![(1u64..300).prop_map(Does::Well), Just(Does::Down), Just(Does::Hangs)]),
            0..6,
        ),
        mute in proptest::collection::vec(0u64..30_000, 0..2),
    ) {
        let reachable = spans.iter().map(|(span, _)| span).sum::<u64>().max(mute.iter().copied().max().unwrap_or(0));
        let end = ms(reachable + 12_000);
        let mut spans = spans;
        spans.push((1, Does::Well(20)));
        let known = play(Mode::Pushed, &Discovery { spans, mute }, end);
        let blind = longest_blind(&known, ms(reachable), end);
        prop_assert!(blind <= MAX_STALENESS - MARGIN, "blind for {:?} from {} ms", blind, reachable);
    }
    /// Guards against a polled list that is older than `MAX_STALENESS` after an outage.
    #[test]
    fn a_polled_list_is_never_stale_for_long_once_discovery_can_be_reached(
        spans in proptest::collection::vec(
            (100u64..9_000, prop_oneof![
                (1u64..2_000).prop_map(Does::Well),
                (1u64..2_000).prop_map(Does::RefusesAfter),
                Just(Does::Down),
                Just(Does::Hangs),
            ]),
            0..6,
        ),
        mute in proptest::collection::vec(0u64..30_000, 0..2),
        turn_wait in 1u64..=2_000,
        jitter in prop_oneof![Just(0.0), Just(1.0), 0.0..1.0],
    ) {
        let reachable = spans.iter().map(|(span, _)| span).sum::<u64>().max(mute.iter().copied().max().unwrap_or(0));
        let end = ms(reachable + 12_000);
        let mut spans = spans;
        spans.push((1, Does::Well(turn_wait)));
        let known = play_with_jitter(Mode::Polled, &Discovery { spans, mute }, end, jitter);
        let blind = longest_blind(&known, ms(reachable), end);
        prop_assert!(blind <= MAX_STALENESS - MARGIN + ms(2), "blind for {:?} from {} ms", blind, reachable);
    }
}
