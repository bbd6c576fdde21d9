//! Second copies of responses that a member of an operator's pool sends after the reuse delay of the
//! connection. Each order of events is forced, without load.

use super::*;
use std::thread;
use std::time::Duration;

/// The longest time for which a kernel delays acknowledgements, so the peer's kernel may delay a copy
/// for as long. A copy that arrives later on a busy machine invalidates the run.
const MAX_COPY_DELAY: Duration = Duration::from_millis(40);
/// The number of first responses that may have a late copy while their member has sent no unsolicited
/// bytes.
const FIRST_RESPONSES: usize = 3;
/// Delays longer than `SHORT_PAUSE` and shorter than `MAX_COPY_DELAY`.
const DELAYS: [Duration; 3] = [
    Duration::from_millis(15),
    Duration::from_millis(25),
    Duration::from_millis(35),
];
/// An idle time after which a connection has passed the short reuse delay of 2 ms.
const SHORT_PAUSE: Duration = Duration::from_millis(8);
/// An idle time after which a connection has passed its reuse delay, whatever the history of its
/// member.
const LONG_PAUSE: Duration = Duration::from_millis(80);
const MAX_RUNS: usize = 20;

/// Returns the bodies that a client receives for the requests `s0`, `s1` and so on, each sent after its
/// pause, from a member that sends `responses`. A run in which a copy came too late is repeated.
fn response_bodies(responses: &[LateAnswer], pauses: &[Duration]) -> Vec<String> {
    for _ in 0..MAX_RUNS {
        let copies = LateCopies::start(responses.to_vec());
        let installation = Installation::with_members(&[copies.backend.address]);
        let mut client = Connection::open(installation.address);
        let mut bodies = Vec::new();
        for (number, pause) in pauses.iter().enumerate() {
            thread::sleep(*pause);
            let id = format!("Request-Id: s{number}\r\n\r\n");
            let request = get("/").replace("\r\n\r\n", &format!("\r\n{id}"));
            let response = client.send(&request).expect("a response");
            assert_eq!(response.status(), 200, "s{number}");
            bodies.push(String::from_utf8_lossy(&response.body).to_string());
        }
        if copies.latest() <= MAX_COPY_DELAY {
            return bodies;
        }
    }
    panic!("no run of {MAX_RUNS} delivered all copies within {MAX_COPY_DELAY:?}");
}

/// Guards against delivering a second copy to the next request, where the member's first copy arrives
/// after the short reuse delay of its connection.
#[test]
fn the_first_late_copy_from_a_member_is_not_delivered_to_another_request() {
    let mut wrong = Vec::new();
    for delay in DELAYS {
        for repeated in 0..FIRST_RESPONSES {
            let mut responses = vec![LateAnswer::PROMPT; repeated];
            responses.push(LateAnswer {
                second_copy: SecondCopy::After(delay),
                ..LateAnswer::PROMPT
            });
            let pauses = [SHORT_PAUSE; FIRST_RESPONSES + 2];
            let bodies = response_bodies(&responses, &pauses);
            let expected: Vec<String> = (0..pauses.len()).map(|n| format!("s{n}")).collect();
            if bodies != expected {
                wrong.push(format!("copy of s{repeated} after {delay:?}: {bodies:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a cascade: the copy of `s0` is delivered for `s1`, and then the response to `s1`,
/// which arrives after the short reuse delay, is delivered for `s2`. `s1` itself cannot be protected,
/// because the copy arrives together with its request, after any reuse delay.
#[test]
fn a_displaced_response_of_a_member_is_not_delivered_to_a_third_request() {
    let mut wrong = Vec::new();
    for delay in DELAYS {
        let responses = [
            LateAnswer {
                second_copy: SecondCopy::WithNextRequest,
                ..LateAnswer::PROMPT
            },
            LateAnswer {
                delay,
                ..LateAnswer::PROMPT
            },
        ];
        let pauses = [SHORT_PAUSE, LONG_PAUSE, SHORT_PAUSE, SHORT_PAUSE];
        let bodies = response_bodies(&responses, &pauses);
        if bodies[2..] != ["s2", "s3"] {
            wrong.push(format!("s1 after {delay:?}: {bodies:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a connection that stays one response behind: a member that has earned short reuse
/// delays sends a copy too late, and the displaced response arrives after the short delay.
#[test]
fn a_response_displaced_after_short_reuse_delays_is_not_delivered_to_a_third_request() {
    let cascade = Cascade::after_short_reuse_delays();
    let bodies = response_bodies(&cascade.answers, &cascade.pauses);
    cascade.assert_own_responses(&bodies);
}
