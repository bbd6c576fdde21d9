//! Tests of request lines.

use super::*;

#[test]
fn a_request_is_formatted_as_its_line_and_parsed_from_it() {
    for (request, line) in [
        (Request::Status, "dewrun fleet status"),
        (Request::Summary, "dewrun fleet summary"),
        (Request::ReplicationStatus, "dewrun fleet copy"),
        (Request::Challenge, "dewrun fleet challenge"),
        (
            Request::Order {
                proof: "0af1",
                json: r#"{"target":"shop/a","wish":"drain","by":"ann b"}"#,
            },
            r#"dewrun fleet order 0af1 {"target":"shop/a","wish":"drain","by":"ann b"}"#,
        ),
        (
            Request::LearnedState { nonce: "00ff" },
            "dewrun fleet learned 00ff",
        ),
    ] {
        assert_eq!(request.to_string(), line);
        assert_eq!(Request::parse(line), Some(request));
    }
}

#[test]
fn lines_that_are_not_requests_are_rejected() {
    for line in [
        "",
        "status",
        "dewrun fleet ",
        "dewrun fleet Status",
        "dewrun fleet order 0af1",
        "GET /status HTTP/1.1",
    ] {
        assert_eq!(Request::parse(line), None, "{line}");
    }
}
