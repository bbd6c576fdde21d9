use super::message::outcome;
use super::*;
use hyper::header::{HeaderMap, HeaderValue};

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn only_a_server_error_is_a_failed_attempt() {
    let none = HeaderMap::new();
    for (status, expected) in [
        (200, Outcome::Ok),
        (304, Outcome::Ok),
        (404, Outcome::Ok),
        (429, Outcome::Ok),
    ] {
        assert_eq!(
            outcome(
                UpstreamProtocol::Http,
                StatusCode::from_u16(status).expect("a status"),
                &none
            ),
            expected,
            "{status}"
        );
    }
    assert_eq!(
        outcome(
            UpstreamProtocol::Http,
            StatusCode::SERVICE_UNAVAILABLE,
            &none
        ),
        Outcome::Error
    );
    let not_started = headers(&[("not-started", "1")]);
    assert_eq!(
        outcome(
            UpstreamProtocol::Http,
            StatusCode::SERVICE_UNAVAILABLE,
            &not_started
        ),
        Outcome::Full
    );
    assert_eq!(
        outcome(
            UpstreamProtocol::Http,
            StatusCode::INTERNAL_SERVER_ERROR,
            &not_started
        ),
        Outcome::Error
    );
}
