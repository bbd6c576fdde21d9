//! What callers and members notice of the time for which connections stay idle before they are
//! reused.

use super::*;
use std::sync::atomic::Ordering;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

const CALLERS: usize = 8;
/// Shorter than the reuse delay of a member that has not earned a short one.
const NO_WAIT: Duration = Duration::from_millis(40);
const MAX_PLAYS: usize = 20;
/// From a response to the close of its connection.
const TIME_TO_CLOSE: Duration = Duration::from_millis(5);

/// Plays until one gives what is expected: a busy machine may take longer than the reuse delay
/// between two requests, so that nothing has to wait.
fn some_play_gives<T: PartialEq + std::fmt::Debug>(expected: &T, play: impl Fn() -> T) {
    let plays: Vec<T> = (0..MAX_PLAYS).map(|_| play()).collect();
    assert!(plays.contains(expected), "{plays:?}, not {expected:?}");
}

/// Guards against callers that are all held up until the connections of their member may be reused.
#[test]
fn of_requests_at_one_time_only_one_waits_for_a_connection() {
    some_play_gives(&(2 * CALLERS - 1), || {
        let all_there = Barrier::new(CALLERS);
        let backend = Backend::start_unrecorded(move |_, stream| {
            all_there.wait();
            stream.write_all(ok("fine").as_bytes()).is_ok()
        });
        let site = Site::before(&[backend.address]);
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    let mut client = Kept::open(site.address);
                    for _ in 0..2 {
                        assert_eq!(client.ask(&get("/")).expect("an answer").status(), 200);
                    }
                });
            }
        });
        backend.connections.load(Ordering::SeqCst)
    });
}

/// Guards against a 503 where the member leaves the list during the wait: that ends the attempt.
#[test]
fn a_request_with_one_attempt_does_not_wait_for_a_connection() {
    some_play_gives(&2, || {
        let backend = always(ok("fine"));
        let only_one = format!("attempts = 1\n{}", members(&[backend.address]));
        let pool = format!("[[pool]]\nname = \"main\"\nwarm_up = \"0s\"\n{only_one}\n");
        let site = Site::start(&format!("{pool}[[route]]\npool = \"main\"\n"));
        let mut client = Kept::open(site.address);
        for _ in 0..2 {
            assert_eq!(client.ask(&get("/")).expect("an answer").status(), 200);
        }
        backend.connections.load(Ordering::SeqCst)
    });
}

/// Guards against a wait for a connection that its member has closed without saying so.
#[test]
fn a_member_that_closes_its_connections_holds_up_no_request() {
    let backend = Backend::start_unrecorded(|_, stream| {
        let _ = stream.write_all(ok("fine").as_bytes());
        thread::sleep(TIME_TO_CLOSE);
        false
    });
    let site = Site::before(&[backend.address]);
    let mut client = Kept::open(site.address);
    let shortest = (0..MAX_PLAYS)
        .map(|_| {
            let begun = Instant::now();
            assert_eq!(client.ask(&get("/")).expect("an answer").status(), 200);
            begun.elapsed()
        })
        .skip(1)
        .min();
    assert!(shortest < Some(NO_WAIT), "{shortest:?}");
}
