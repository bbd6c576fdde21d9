//! Second copies of answers that come after the rest of a connection, on the platform: each order
//! of events is forced, without load.

use dewrun_test_support::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
/// The longest time for which a system delays acknowledgements: a peer's system may hold a copy
/// back for as long. A copy that a busy machine brings later proves nothing.
const LATEST_COPY: Duration = Duration::from_millis(40);
/// Of an endpoint of which no unasked bytes were seen, so many answers may come again late.
const FIRST_ANSWERS: usize = 3;
/// Later than the rest of 10 ms of a connection, and before `LATEST_COPY`.
const DELAYS: [Duration; 3] = [
    Duration::from_millis(15),
    Duration::from_millis(25),
    Duration::from_millis(35),
];
/// A connection that carried nothing for so long has rested, whatever its endpoint has shown.
const LONG_PAUSE: Duration = Duration::from_millis(80);
const MAX_PLAYS: usize = 20;

/// What callers get for `s0`, `s1` and so on, each asked after a pause, from an endpoint that
/// answers like this. A play in which a copy came too late is played again.
fn play(answers: &[LateAnswer], pauses: &[Duration]) -> Vec<String> {
    for _ in 0..MAX_PLAYS {
        let copies = LateCopies::start(answers.to_vec());
        let entries = [entry("b0", copies.backend.address, "ready")];
        let discovery = Discovery::start(Some(list(5, true, &entries)));
        let proxy = Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[])));
        let mut client = TcpStream::connect(proxy.address).expect("a connection");
        client
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a time-out");
        let mut bodies = Vec::new();
        for (number, pause) in pauses.iter().enumerate() {
            thread::sleep(*pause);
            // Of the class that is neither retried nor hedged on another connection meanwhile.
            let request = request_text("once", &format!("s{number}"), 8_000, "x");
            client.write_all(request.as_bytes()).expect("it is written");
            let answer = read_response(&client).expect("an answer");
            assert_eq!(answer.status(), 200, "s{number}");
            bodies.push(String::from_utf8_lossy(&answer.body).to_string());
        }
        if copies.latest() <= LATEST_COPY {
            return bodies;
        }
    }
    panic!("of {MAX_PLAYS} plays none brought all copies within {LATEST_COPY:?}");
}

/// Guards against an answer that is given to the next request: the first copy of all comes after
/// the short rest of its connection.
#[test]
fn the_first_late_copy_of_an_endpoint_reaches_no_other_request() {
    let mut wrong = Vec::new();
    for delay in DELAYS {
        for repeated in 0..FIRST_ANSWERS {
            let mut answers = vec![LateAnswer::PROMPT; repeated];
            answers.push(LateAnswer {
                second_copy: SecondCopy::After(delay),
                ..LateAnswer::PROMPT
            });
            let pauses = [Duration::ZERO; FIRST_ANSWERS + 2];
            let bodies = play(&answers, &pauses);
            let expected: Vec<String> = (0..pauses.len()).map(|n| format!("s{n}")).collect();
            if bodies != expected {
                wrong.push(format!("copy of s{repeated} after {delay:?}: {bodies:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a cascade: the copy of `s0` was taken for the answer to `s1`, and the own answer
/// to `s1`, which comes after the short rest, is given to `s2`. `s1` itself is lost here: its copy
/// comes with the request, after any rest.
#[test]
fn a_displaced_answer_reaches_no_third_request() {
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
        let bodies = play(&answers, &pauses);
        if bodies[2..] != ["s2", "s3"] {
            wrong.push(format!("s1 after {delay:?}: {bodies:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
