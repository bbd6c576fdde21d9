//! How the end of a response is told (by length, by chunks, by the close of the connection), and what
//! its client gets of it.

use super::*;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;

/// A size that is buffered, and one that is streamed.
const BODY_SIZES: [usize; 2] = [5_000, 300_000];
/// The size of a response that is buffered, so that it can be retried.
const BUFFERED_BYTES: usize = BODY_SIZES[0];
const CLASSES: [&str; 3] = ["read", "keyed", "once"];

/// Runs a function for each framing at the same time.
fn for_each_framing(run: impl Fn(ResponseFraming) + Sync) {
    thread::scope(|scope| {
        for framing in ResponseFraming::ALL {
            let run = &run;
            scope.spawn(move || run(framing));
        }
    });
}

/// Guards against a complete response that is refused, retried or cut off for the way in which its
/// end is told.
#[test]
fn a_complete_response_is_served_however_its_end_is_told() {
    for_each_framing(|framing| {
        for body_bytes in BODY_SIZES {
            let at_once = ResponseScript::complete(framing, body_bytes);
            for script in [at_once, at_once.paced(4, Duration::from_millis(200))] {
                let endpoint = Backend::with_scripts(vec![script]);
                let (proxy, _discovery) = proxy_for(&[&endpoint]);
                for (number, class) in CLASSES.into_iter().enumerate() {
                    let request = request_text(class, &format!("a{number}"), 8_000, "");
                    let response = try_call(proxy.address, &request);
                    assert!(
                        script.is_answered_by(response.as_ref()),
                        "{class} {script:?}"
                    );
                    assert_eq!(endpoint.request_count(), number + 1, "{class} {script:?}");
                }
            }
        }
    });
}

/// Guards against a response that was cut off and looks complete: one that can be buffered is retried
/// where the class permits it, and a longer one is cut off for the client too.
#[test]
fn a_truncated_response_never_looks_complete() {
    for_each_framing(|framing| {
        for body_bytes in BODY_SIZES {
            let mut scripts = ResponseScript::all_truncated(body_bytes);
            scripts.retain(|script| script.framing == framing);
            for script in scripts {
                for class in ["read", "once"] {
                    check_truncated(script, class);
                }
            }
        }
    });
}

fn check_truncated(script: ResponseScript, class: &str) {
    let complete = script.ending(ResponseEnd::Complete);
    let endpoint = Backend::with_scripts(vec![script, complete]);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let response = try_call(proxy.address, &request_text(class, "b1", 8_000, ""));
    let attempts = endpoint.request_count();
    let status = response.as_ref().map(Message::status);
    match (script.body_bytes, class) {
        (BUFFERED_BYTES, "read") => {
            assert!(complete.is_answered_by(response.as_ref()), "{script:?}");
            assert_eq!(attempts, 2, "{script:?}");
        }
        (BUFFERED_BYTES, _) => assert_eq!((status, attempts), (Some(502), 1), "{script:?}"),
        _ => assert_eq!((status, attempts), (None, 1), "{class} {script:?}"),
    }
}

/// Guards against a response that is cut off, and perhaps sent for again, because its body comes later
/// than usual or pauses, although its client still waits.
#[test]
fn a_response_whose_body_comes_late_is_not_cut_off() {
    const LATE_BY: Duration = Duration::from_millis(800);
    const TIMEOUT_MS: u32 = 1_500;
    for_each_framing(|framing| {
        let late = ResponseScript::complete(framing, BUFFERED_BYTES).paced(1, LATE_BY);
        for class in CLASSES {
            let endpoint = Backend::with_scripts(vec![late]);
            let (proxy, _discovery) = proxy_for(&[&endpoint]);
            let request = request_text(class, "c1", TIMEOUT_MS, "");
            let response = try_call(proxy.address, &request);
            assert!(
                late.is_answered_by(response.as_ref()),
                "{class} {framing:?}"
            );
            assert_eq!(endpoint.request_count(), 1, "{class} {framing:?}");
        }
    });
}

/// Guards against the same where the proxy has learned that responses come sooner, and would try
/// another endpoint.
#[test]
fn a_response_that_has_begun_is_not_cut_off_by_a_learned_timeout() {
    const QUICK_REQUESTS: usize = 200;
    const LATE_REQUESTS: usize = 4;
    const LATE_BY: Duration = Duration::from_millis(500);
    for_each_framing(|framing| {
        let quick = ResponseScript::complete(ResponseFraming::Length, BUFFERED_BYTES);
        let late = ResponseScript::complete(framing, BUFFERED_BYTES).paced(1, LATE_BY);
        let late_attempts = Arc::new(AtomicUsize::new(0));
        let endpoints = [(), ()].map(|()| {
            let late_attempts = late_attempts.clone();
            Backend::start_unrecorded(move |request, stream| {
                if request
                    .header("request-id")
                    .expect("an id")
                    .starts_with('q')
                {
                    return quick.write(stream);
                }
                late_attempts.fetch_add(1, Ordering::SeqCst);
                late.write(stream)
            })
        });
        let (proxy, _discovery) = proxy_for(&[&endpoints[0], &endpoints[1]]);
        for number in 0..QUICK_REQUESTS {
            let response = proxy.call(&request_text("read", &format!("q{number}"), 4_000, ""));
            assert_eq!(response.status(), 200);
        }
        for number in 1..=LATE_REQUESTS {
            let request = request_text("read", &format!("l{number}"), 4_000, "");
            let response = try_call(proxy.address, &request);
            assert!(late.is_answered_by(response.as_ref()), "{framing:?}");
            let attempts = late_attempts.load(Ordering::SeqCst);
            assert_eq!(attempts, number, "{framing:?}");
        }
    });
}
