use super::message::{length, outcome, Length};
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
fn a_length_told_in_two_ways_is_not_trusted() {
    let known = |pairs: &[_]| match length(&headers(pairs)) {
        Some(Length::Known(length)) => Some(Some(length)),
        Some(Length::Open) => Some(None),
        None => None,
    };
    assert_eq!(known(&[]), Some(None));
    assert_eq!(known(&[("content-length", "5")]), Some(Some(5)));
    assert_eq!(known(&[("transfer-encoding", "Chunked")]), Some(None));
    for bad in [
        &[("content-length", "5"), ("content-length", "5")][..],
        &[("content-length", "5, 5")],
        &[("content-length", "-5")],
        &[("transfer-encoding", "gzip, chunked")],
        &[
            ("transfer-encoding", "chunked"),
            ("transfer-encoding", "chunked"),
        ],
    ] {
        assert_eq!(known(bad), None, "{bad:?}");
    }
}

#[test]
fn only_a_server_error_is_held_against_a_backend() {
    let none = HeaderMap::new();
    for (status, wanted) in [
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
            wanted,
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
    let unseen = headers(&[("not-started", "1")]);
    assert_eq!(
        outcome(
            UpstreamProtocol::Http,
            StatusCode::SERVICE_UNAVAILABLE,
            &unseen
        ),
        Outcome::Full
    );
    assert_eq!(
        outcome(
            UpstreamProtocol::Http,
            StatusCode::INTERNAL_SERVER_ERROR,
            &unseen
        ),
        Outcome::Error
    );
}
