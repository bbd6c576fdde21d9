//! The lengths that relayed messages state, whatever their senders stated.

use super::*;
use std::collections::HashSet;
use std::io::Read;
use std::sync::Mutex;

const SMALL_BODY_BYTES: usize = 48;
/// More than the default limit of a buffered body.
const LARGE_BODY_BYTES: usize = 200_000;

fn body_of(bytes: usize) -> String {
    "abcdefgh".repeat(bytes / 8)
}

/// Returns a body as one chunk and the last one.
fn chunked(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

/// Starts an endpoint whose response to `/STATUS/BYTES/LENGTH` is a chunked body of BYTES with a
/// Content-Length of LENGTH. `/retried/...` gets such a response with status 500 first. All other
/// paths get the body `plain`.
fn endpoint_with_both_lengths() -> Backend {
    let failed_paths: Mutex<HashSet<String>> = Mutex::default();
    Backend::start_unrecorded(move |request, stream| {
        let path = request.head.split(' ').nth(1).expect("a path").to_string();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let [status, bytes, length] = parts[..] else {
            return stream.write_all(ok("plain").as_bytes()).is_ok();
        };
        let status = match status {
            "retried" if failed_paths.lock().unwrap().insert(path.clone()) => "500",
            "retried" => "200",
            status => status,
        };
        let body = chunked(&body_of(bytes.parse().expect("a size")));
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {length}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all((head + &body).as_bytes()).is_ok()
    })
}

/// Asserts that a response has a body of `bytes` and states no other length.
fn assert_length(response: &Message, bytes: usize, case: &str) {
    let stated = response.header("content-length");
    let is_chunked = response.header("transfer-encoding").is_some();
    assert!(!(is_chunked && stated.is_some()), "{case}: both lengths");
    assert!(
        stated.is_none_or(|length| length == bytes.to_string()),
        "{case}: {stated:?} is stated"
    );
    assert!(response.body == body_of(bytes).as_bytes(), "{case}: body");
}

/// Sends a request with HTTP/1.0 and returns the response, whose body ends with the connection.
fn call_with_http_1_0(address: SocketAddr, path: &str) -> Message {
    let mut stream = send_request(address, &format!("POST {path} HTTP/1.0\r\n\r\n"));
    let mut all = String::new();
    stream.read_to_string(&mut all).expect("a response");
    let (head, body) = all.split_once("\r\n\r\n").expect("a head");
    Message {
        head: format!("{head}\r\n\r\n"),
        body: body.into(),
    }
}

/// Guards against a body that is cut, or goes on in the next response, because the relayed headers
/// state the Content-Length that stood beside the chunks.
#[test]
fn a_response_with_both_lengths_is_relayed_by_its_chunks() {
    let endpoint = endpoint_with_both_lengths();
    let installation = Installation::with_members(&[endpoint.address]);
    let mut connection = Connection::open(installation.address);
    for status in ["200", "206", "404", "500", "503", "retried"] {
        for bytes in [0, SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
            for length in [0, 8, SMALL_BODY_BYTES, LARGE_BODY_BYTES + 1] {
                let path = format!("/{status}/{bytes}/{length}");
                let method = if status == "retried" { "GET" } else { "POST" };
                let request =
                    format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
                let response = connection
                    .send(&request)
                    .unwrap_or_else(|| panic!("no complete response to {path}"));
                assert_length(&response, bytes, &path);
                let next = connection.send(&get("/plain")).expect("the next response");
                assert_eq!(next.body, b"plain", "after {path}");
                if status != "retried" {
                    let response = call_with_http_1_0(installation.address, &path);
                    assert_length(&response, bytes, &path);
                    installation.get("/plain");
                }
            }
        }
    }
}

/// Guards against a length that the response to a GET would not have, and against any length in a
/// 204 (RFC 9110, 8.6).
#[test]
fn a_response_without_a_body_states_only_a_length_that_holds_for_a_get() {
    let chunks = "Transfer-Encoding: chunked\r\n";
    let length = "Content-Length: 7\r\n";
    for (method, status, lengths, stated) in [
        ("HEAD", 200, vec![length], Some("7")),
        ("HEAD", 200, vec![chunks], None),
        ("HEAD", 200, vec![length, chunks], None),
        ("HEAD", 404, vec![length, chunks], None),
        ("HEAD", 500, vec![length, chunks], None),
        ("HEAD", 304, vec![length], Some("7")),
        ("HEAD", 304, vec![chunks, length], None),
        ("HEAD", 204, vec![length], None),
        ("GET", 204, vec![length, chunks], None),
        ("GET", 304, vec![length, chunks], None),
    ] {
        let case = format!("{method} {status} {lengths:?}");
        let head = format!("HTTP/1.1 {status} X\r\n{}\r\n", lengths.concat());
        let endpoint = endpoint_returning(head);
        let installation = Installation::with_members(&[endpoint.address]);
        let mut connection = Connection::open(installation.address);
        for _ in 0..2 {
            let request = format!("{method} / HTTP/1.1\r\nHost: a\r\n\r\n");
            let stream = &mut connection.stream;
            stream.write_all(request.as_bytes()).expect("a request");
            let response = Message::read_head(&mut connection.reader).expect("a response");
            assert_eq!(response.status(), status, "{case}");
            assert_eq!(response.header("content-length"), stated, "{case}");
            assert_eq!(response.header("transfer-encoding"), None, "{case}");
        }
    }
}

/// Guards against a GET or HEAD whose chunked body is left out of the forwarded request.
#[test]
fn a_large_chunked_body_reaches_the_endpoint_whatever_the_method() {
    let endpoint = endpoint_returning("HTTP/1.1 204 No Content\r\n\r\n".into());
    let installation = Installation::with_members(&[endpoint.address]);
    let body = body_of(LARGE_BODY_BYTES);
    for method in ["GET", "HEAD", "DELETE", "OPTIONS", "POST", "QUERY"] {
        let request = format!(
            "{method} /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunked(&body)
        );
        assert_eq!(installation.call(&request).status(), 204, "{method}");
        let seen = endpoint.requests.lock().unwrap().pop().expect("a request");
        assert_eq!(
            seen.body.len(),
            body.len(),
            "{method}: bytes at the endpoint"
        );
        assert!(seen.body == body.as_bytes(), "{method}: other bytes");
    }
}

/// Guards against an empty POST without a length, which a server may reject with 411.
#[test]
fn an_empty_request_states_its_length_if_its_method_expects_a_body() {
    let endpoint = endpoint_returning("HTTP/1.1 204 No Content\r\n\r\n".into());
    let installation = Installation::with_members(&[endpoint.address]);
    let zero = "Content-Length: 0\r\n\r\n";
    for (method, framing, stated) in [
        ("POST", zero, Some("0")),
        ("PUT", zero, Some("0")),
        ("PATCH", zero, Some("0")),
        ("POST", "\r\n", Some("0")),
        (
            "POST",
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Some("0"),
        ),
        ("GET", zero, None),
        ("GET", "\r\n", None),
        ("HEAD", zero, None),
        ("DELETE", zero, None),
        ("OPTIONS", "\r\n", None),
    ] {
        let request = format!("{method} /p HTTP/1.1\r\nHost: a\r\n{framing}");
        assert_eq!(installation.call(&request).status(), 204, "{method}");
        let seen = endpoint.requests.lock().unwrap().pop().expect("a request");
        let lengths = (
            seen.header("content-length"),
            seen.header("transfer-encoding"),
        );
        assert_eq!(lengths, (stated, None), "{method} {framing:?}");
    }
}
