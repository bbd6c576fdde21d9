//! The effects of the reuse delay of pooled connections on clients and members.

use super::*;
use std::sync::atomic::Ordering;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
/// Shorter than the reuse delay of a member that does not qualify for the short one.
const MAX_UNDELAYED: Duration = Duration::from_millis(40);
const MAX_RUNS: usize = 20;
/// Time from a response to the close of its connection.
const TIME_TO_CLOSE: Duration = Duration::from_millis(5);
/// Time of a first response; the other responses come at once.
const SLOW_START: Duration = Duration::from_millis(30);
/// Idle time of a connection between requests, shorter than any reuse delay.
const PAUSE: Duration = Duration::from_millis(20);

/// Asserts that one of several runs yields the expected value. On a busy machine more than the reuse
/// delay may pass between two requests, so that no request has to wait.
fn some_run_yields<T: PartialEq + std::fmt::Debug>(expected: &T, run: impl Fn() -> T) {
    let results: Vec<T> = (0..MAX_RUNS).map(|_| run()).collect();
    assert!(results.contains(expected), "{results:?}, not {expected:?}");
}

/// Guards against delaying all clients until the connections of their member may be reused.
#[test]
fn of_concurrent_requests_only_one_waits_for_a_connection() {
    some_run_yields(&(2 * CLIENTS - 1), || {
        let barrier = Barrier::new(CLIENTS);
        let endpoint = Backend::start_unrecorded(move |_, stream| {
            barrier.wait();
            stream.write_all(ok("fine").as_bytes()).is_ok()
        });
        let installation = Installation::with_members(&[endpoint.address]);
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    let mut client = Connection::open(installation.address);
                    for _ in 0..2 {
                        assert_eq!(client.send(&get("/")).expect("a response").status(), 200);
                    }
                });
            }
        });
        endpoint.connections.load(Ordering::SeqCst)
    });
}

/// Guards against a 503 if the member is removed during the wait, which ends the only attempt.
#[test]
fn a_request_with_one_attempt_does_not_wait_for_a_connection() {
    some_run_yields(&2, || {
        let endpoint = endpoint_returning(ok("fine"));
        let only_one = format!("attempts = 1\n{}", members(&[endpoint.address]));
        let pool = format!("[[pool]]\nname = \"main\"\nwarm_up = \"0s\"\n{only_one}\n");
        let installation = Installation::start(&format!("{pool}[[route]]\npool = \"main\"\n"));
        let mut client = Connection::open(installation.address);
        for _ in 0..2 {
            assert_eq!(client.send(&get("/")).expect("a response").status(), 200);
        }
        endpoint.connections.load(Ordering::SeqCst)
    });
}

/// Guards against a connection more for each request after a first response that was slow, beside
/// which the others seem to come too soon to be their own.
#[test]
fn requests_after_a_slow_first_response_share_its_connection() {
    some_run_yields(&1, || {
        let endpoint = Backend::start(|number, stream| {
            let is_first = number == 0;
            thread::sleep(if is_first { SLOW_START } else { Duration::ZERO });
            stream.write_all(ok("fine").as_bytes()).is_ok()
        });
        let installation = Installation::with_members(&[endpoint.address]);
        let mut client = Connection::open(installation.address);
        for _ in 0..4 {
            assert_eq!(client.send(&get("/")).expect("a response").status(), 200);
            thread::sleep(PAUSE);
        }
        endpoint.connections.load(Ordering::SeqCst)
    });
}

/// Guards against a wait for a connection that its member closes without `Connection: close`.
#[test]
fn a_member_that_closes_its_connections_delays_no_request() {
    let endpoint = Backend::start_unrecorded(|_, stream| {
        let _ = stream.write_all(ok("fine").as_bytes());
        thread::sleep(TIME_TO_CLOSE);
        false
    });
    let installation = Installation::with_members(&[endpoint.address]);
    let mut client = Connection::open(installation.address);
    let shortest = (0..MAX_RUNS)
        .map(|_| {
            let begun = Instant::now();
            assert_eq!(client.send(&get("/")).expect("a response").status(), 200);
            begun.elapsed()
        })
        .skip(1)
        .min();
    assert!(shortest < Some(MAX_UNDELAYED), "{shortest:?}");
}
