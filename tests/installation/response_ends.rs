//! How the end of a response is told (by length, by chunks, by the close of the connection), and what
//! its client gets of it. The platform's proxy has the same tests in `tests/proxy/response_ends.rs`.

use super::*;
use std::io::Read;
use std::thread;
use std::time::Duration;

/// A size that is buffered if its length is known, and one that is streamed.
const BODY_SIZES: [usize; 2] = [5_000, 300_000];
const HTTP_10_REQUEST: &str = "GET / HTTP/1.0\r\nHost: a.example\r\n\r\n";

#[test]
fn a_complete_response_is_served_however_its_end_is_told() {
    for framing in ResponseFraming::ALL {
        for body_bytes in BODY_SIZES {
            let script = ResponseScript::complete(framing, body_bytes);
            let endpoint = Backend::with_scripts(vec![script]);
            let installation = Installation::with_members(&[endpoint.address]);
            let response = try_call(installation.address, &get("/"));
            assert!(script.is_answered_by(response.as_ref()), "{script:?}");
            let (is_ended, text) = read_to_end(&installation, HTTP_10_REQUEST);
            assert!(is_ended && text.ends_with(&script.body()), "{script:?}");
            assert_eq!(endpoint.request_count(), 2, "{script:?}");
        }
    }
}

/// Guards against a response that was cut off and looks complete, also to a client of HTTP/1.0, for
/// which the end of the connection is that of the body.
#[test]
fn a_truncated_response_never_looks_complete() {
    for script in BODY_SIZES
        .into_iter()
        .flat_map(ResponseScript::all_truncated)
    {
        let endpoint = Backend::with_scripts(vec![script]);
        let installation = Installation::with_members(&[endpoint.address]);
        let response = try_call(installation.address, &get("/"));
        let is_served = response.is_some_and(|response| response.status() == 200);
        assert!(!is_served, "{script:?}");
        let (is_ended, text) = read_to_end(&installation, HTTP_10_REQUEST);
        let text = String::from_utf8_lossy(&text);
        let has_length = text.to_ascii_lowercase().contains("content-length: ");
        assert!(!is_ended || has_length, "{script:?}");
    }
}

/// Sends a request and reads until the connection ends. Returns whether that was the end of the
/// stream, and not a reset, and what was read.
fn read_to_end(installation: &Installation, request: &str) -> (bool, Vec<u8>) {
    let mut text = Vec::new();
    let ended = send_request(installation.address, request).read_to_end(&mut text);
    (ended.is_ok(), text)
}

/// Guards against a response that looks complete to a client of HTTP/1.0 which reads nothing for too
/// long and is disconnected.
#[test]
fn a_response_whose_client_stops_reading_does_not_look_complete() {
    const UNHOLDABLE_BYTES: usize = 32 << 20;
    const CLIENT_IDLE: &str = "[limits]\ncaller_idle = \"1s\"\n";
    const REST: Duration = Duration::from_secs(4);
    let script = ResponseScript::complete(ResponseFraming::Chunked, UNHOLDABLE_BYTES);
    let endpoint = Backend::with_scripts(vec![script]);
    let installation = Installation::start(&format!("{CLIENT_IDLE}{}", pool(&[endpoint.address])));
    let mut client = send_request(installation.address, HTTP_10_REQUEST);
    thread::sleep(REST);
    let mut text = Vec::new();
    let ended = client.read_to_end(&mut text);
    assert!(ended.is_err(), "{} bytes", text.len());
}
