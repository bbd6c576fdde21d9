//! Request smuggling: requests that two parsers could read differently are rejected and not
//! forwarded.

use super::*;
use std::io::Read;

#[test]
fn every_request_smuggling_variant_is_rejected_and_nothing_is_forwarded() {
    let endpoint = endpoint_returning(ok("served"));
    let installation = Installation::with_members(&[endpoint.address]);
    let hidden = "GET /hidden HTTP/1.1\r\nHost: a.example\r\n\r\n";
    let with = |headers: &str, body: &str| {
        format!("POST / HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n{body}")
    };
    let big = format!(
        "GET / HTTP/1.1\r\nHost: a.example\r\nX: {}\r\n\r\n",
        "y".repeat(20 << 10)
    );
    for (what, request, status) in [
        (
            "CL.TE",
            with(
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "0\r\n\r\n",
            ),
            400,
        ),
        (
            "TE.CL",
            with(
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                "0\r\n\r\n",
            ),
            400,
        ),
        (
            "TE.TE",
            with(
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                "0\r\n\r\n",
            ),
            400,
        ),
        (
            "TE list",
            with("Transfer-Encoding: identity, chunked\r\n", "0\r\n\r\n"),
            400,
        ),
        (
            "TE disguised",
            with("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
            400,
        ),
        (
            "two lengths",
            with("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"),
            400,
        ),
        (
            "equal lengths",
            with("Content-Length: 1\r\nContent-Length: 1\r\n", "a"),
            400,
        ),
        ("signed length", with("Content-Length: +1\r\n", "a"), 400),
        (
            "huge length",
            with("Content-Length: 99999999999999999999999\r\n", "a"),
            400,
        ),
        ("bare LF", "GET / HTTP/1.1\nHost: a.example\n\n".into(), 400),
        (
            "bare LF inside",
            with("X: y\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
            400,
        ),
        (
            "bare CR",
            with("X: y\rTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
            400,
        ),
        ("folded line", with("X: y\r\n z\r\n", ""), 400),
        (
            "space before colon",
            with("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"),
            400,
        ),
        ("NUL in a value", with("X: a\0b\r\n", ""), 400),
        (
            "two Hosts",
            "GET / HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n".into(),
            400,
        ),
        ("no Host", "GET / HTTP/1.1\r\n\r\n".into(), 400),
        (
            "another Host",
            "GET http://b.example/ HTTP/1.1\r\nHost: a.example\r\n\r\n".into(),
            400,
        ),
        (
            "Host with a path",
            "GET / HTTP/1.1\r\nHost: a.example/x\r\n\r\n".into(),
            400,
        ),
        ("above the root", get("/a/../../b"), 400),
        ("escaped dots above the root", get("/%2e%2e/b"), 400),
        ("dots with parameters", get("/a/..;/b"), 400),
        ("broken escape", get("/%zz"), 400),
        ("NUL in the path", get("/%00"), 400),
        ("head too large", big, 431),
        (
            "another version",
            "GET / HTTP/3.0\r\nHost: a.example\r\n\r\n".into(),
            400,
        ),
    ] {
        let mut stream = send_request(installation.address, &format!("{request}{hidden}"));
        let mut all = Vec::new();
        // The connection may also be reset after the response.
        let _ = stream.read_to_end(&mut all);
        let text = String::from_utf8_lossy(&all);
        assert!(
            text.starts_with(&format!("HTTP/1.1 {status} ")),
            "{what}: {text}"
        );
        assert_eq!(
            text.matches("HTTP/1.1 ").count(),
            1,
            "{what}: one response, then a closed connection: {text}"
        );
        assert_eq!(endpoint.request_count(), 0, "{what}");
    }
    assert_eq!(installation.get("/").status(), 200);
}

#[test]
fn a_request_after_a_malformed_chunk_is_never_read() {
    let endpoint = endpoint_returning(ok("served"));
    let installation = Installation::with_members(&[endpoint.address]);
    for chunks in [
        "5\r\nhelloX\r\n0\r\n\r\n",
        "5\nhello\r\n0\r\n\r\n",
        "-5\r\nhello\r\n",
        "0\r\nContent-Length: 9\r\n\r\n",
    ] {
        let request = format!(
            "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}{}",
            get("/hidden")
        );
        let mut stream = send_request(installation.address, &request);
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        assert!(
            all.starts_with(b"HTTP/1.1 400 "),
            "{chunks:?}: {}",
            String::from_utf8_lossy(&all)
        );
        assert_eq!(endpoint.request_count(), 0, "{chunks:?}");
    }
}

#[test]
fn a_valid_request_before_an_invalid_one_is_served() {
    let endpoint = endpoint_returning(ok("served"));
    let installation = Installation::with_members(&[endpoint.address]);
    let both = get("/first") + "GET /second HTTP/1.1\r\nHost : a.example\r\n\r\n";
    let mut connection = Connection::open(installation.address);
    assert_eq!(connection.send(&both).expect("the first").status(), 200);
    assert_eq!(
        Message::read(&mut connection.reader)
            .expect("the second")
            .status(),
        400
    );
    assert_eq!(endpoint.request_count(), 1);
}
