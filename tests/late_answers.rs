//! Second copies of responses that arrive after the reuse delay of a connection, in the platform's
//! form. Each order of events is forced, without load.

use dewrun_test_support::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
/// Latest copy that a test considers. An operating system delays acknowledgements for up to 40 ms,
/// so the peer's system may hold a copy back for as long. A later copy is due to a busy machine.
const MAX_COPY_DELAY: Duration = Duration::from_millis(40);
/// Number of first responses whose late copies must reach no other request, for an endpoint that
/// has sent no unsolicited bytes before.
const FIRST_RESPONSES: usize = 3;
/// Delays that exceed the reuse delay of 10 ms and stay below `MAX_COPY_DELAY`.
const DELAYS: [Duration; 3] = [
    Duration::from_millis(15),
    Duration::from_millis(25),
    Duration::from_millis(35),
];
/// Idle time after which a connection may be reused, whatever its endpoint has sent before.
const LONG_PAUSE: Duration = Duration::from_millis(80);
/// Maximum number of runs until all copies arrive in time.
const MAX_RUNS: usize = 20;

/// Sends the requests `s0`, `s1` and so on, each after a pause, to an endpoint that answers as
/// given, and returns the response bodies. Runs again if a copy was sent too late.
fn run(answers: &[LateAnswer], pauses: &[Duration]) -> Vec<String> {
    for _ in 0..MAX_RUNS {
        let copies = LateCopies::start(answers.to_vec());
        let entries = [entry("b0", copies.backend.address, "ready")];
        let discovery = Discovery::start(Some(list(5, true, &entries)));
        let proxy = Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[])));
        let mut client = TcpStream::connect(proxy.address).expect("connecting");
        client
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("setting the read timeout");
        let mut bodies = Vec::new();
        for (number, pause) in pauses.iter().enumerate() {
            thread::sleep(*pause);
            // Requests of this class are neither retried nor hedged on another connection.
            let request = request_text("once", &format!("s{number}"), 8_000, "x");
            client
                .write_all(request.as_bytes())
                .expect("writing the request");
            let response = read_response(&client).expect("a response");
            assert_eq!(response.status(), 200, "s{number}");
            bodies.push(String::from_utf8_lossy(&response.body).to_string());
        }
        if copies.latest() <= MAX_COPY_DELAY {
            return bodies;
        }
    }
    panic!("none of {MAX_RUNS} runs delivered all copies within {MAX_COPY_DELAY:?}");
}

/// Guards against a copy that is delivered to the next request: the first copy that an endpoint
/// ever sends arrives after the short reuse delay of its connection.
#[test]
fn the_first_late_copy_of_an_endpoint_reaches_no_other_request() {
    let mut wrong = Vec::new();
    for delay in DELAYS {
        for copied in 0..FIRST_RESPONSES {
            let mut answers = vec![LateAnswer::PROMPT; copied];
            answers.push(LateAnswer {
                second_copy: SecondCopy::After(delay),
                ..LateAnswer::PROMPT
            });
            let pauses = [Duration::ZERO; FIRST_RESPONSES + 2];
            let bodies = run(&answers, &pauses);
            let expected: Vec<String> = (0..pauses.len()).map(|n| format!("s{n}")).collect();
            if bodies != expected {
                wrong.push(format!("copy of s{copied} after {delay:?}: {bodies:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a cascade: the copy of `s0` is taken for the response to `s1`, and the response
/// to `s1`, which arrives after the short reuse delay, is delivered to `s2`. The wrong response to
/// `s1` cannot be prevented here, as the copy arrives together with the request, after any reuse
/// delay.
#[test]
fn a_displaced_response_reaches_no_later_request() {
    let mut wrong = Vec::new();
    for delay in DELAYS {
        let answers = [
            LateAnswer {
                second_copy: SecondCopy::WithNextRequest,
                ..LateAnswer::PROMPT
            },
            LateAnswer {
                delay,
                ..LateAnswer::PROMPT
            },
        ];
        let pauses = [Duration::ZERO, LONG_PAUSE, Duration::ZERO, Duration::ZERO];
        let bodies = run(&answers, &pauses);
        if bodies[2..] != ["s2", "s3"] {
            wrong.push(format!("s1 after {delay:?}: {bodies:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a connection that stays one response behind: an endpoint that has earned short reuse
/// delays sends a copy too late, and the displaced response arrives after the short delay.
#[test]
fn a_response_displaced_after_short_reuse_delays_reaches_no_third_request() {
    let cascade = Cascade::after_short_reuse_delays();
    let bodies = run(&cascade.answers, &cascade.pauses);
    cascade.assert_own_responses(&bodies);
}
