//! Malformed messages in an installation: a request is not forwarded, and a response is not relayed
//! as complete, at whatever place it is malformed.

use super::*;

/// The last byte of a message: a line feed before it would end the message, too.
const LAST_BYTE: usize = 1;

const CHUNKED_REQUEST: &str =
    "POST /p HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n\
     7;a=b\r\nrelease\r\n0;c\r\nX-Sum: 1\r\n\r\n";

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
const SERVED_BEFORE_EACH: usize = 9;

fn send(installation: &Installation, bytes: &[u8]) -> Option<Message> {
    let mut stream = send_request(installation.address, "");
    stream.write_all(bytes).expect("the request is written");
    read_response(&stream)
}

/// Guards against half a request that is forwarded as a complete one, because the parser reads the
/// end of a malformed line in what was to make it reject the request.
#[test]
fn a_request_that_is_malformed_at_any_place_is_not_forwarded() {
    let endpoint = endpoint_returning(ok("served"));
    let installation = Installation::with_members(&[endpoint.address]);
    for malformed in malformed_at_every_place(CHUNKED_REQUEST, 1..CHUNKED_REQUEST.len() - LAST_BYTE)
    {
        let response = send(&installation, &malformed.bytes).expect("a response");
        assert_eq!(response.status(), 400, "{}", malformed.description);
    }
    assert_eq!(endpoint.request_count(), 0);
    let response = send(&installation, CHUNKED_REQUEST.as_bytes()).expect("a response");
    assert_eq!(response.status(), 200);
}

/// Guards against a body that the proxy makes up: a malformed size line of a chunk that never comes
/// made it send bytes of its own for as long as the client stayed.
#[test]
fn a_streamed_request_that_becomes_malformed_is_never_complete_at_its_endpoint() {
    let endpoint = endpoint_returning(ok("served"));
    let text = format!(
        "[limits]\nkept_body = \"8KiB\"\n{}",
        pool(&[endpoint.address])
    );
    let installation = Installation::start(&text);
    let data = "x".repeat(32 << 10);
    let start = format!(
        "POST /p HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{data}\r\n",
        data.len()
    );
    for malformed in [
        "0;\u{1}",
        "0;\n",
        "ffffffffff;\u{1}",
        "5\r\nhelloX",
        "0\r\nX\n",
    ] {
        let response =
            send(&installation, format!("{start}{malformed}").as_bytes()).expect("a response");
        assert!(
            [400, 408].contains(&response.status()),
            "{malformed:?}: {}",
            response.status()
        );
    }
    assert_eq!(endpoint.request_count(), 0);
}

/// Guards against a malformed response that is taken for a complete one.
#[test]
fn a_response_that_is_malformed_at_any_place_is_not_complete_at_its_client() {
    let response = "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n\
        5;a=b\r\nhello\r\n0;c\r\nX-Sum: 1\r\n\r\n";
    let variants = malformed_at_every_place(response, 1..response.len() - LAST_BYTE);
    let descriptions: Vec<String> = variants.iter().map(|v| v.description.clone()).collect();
    let endpoint = Backend::start_unrecorded(move |request, stream| {
        let text = match request.header("x-variant") {
            Some(variant) => &variants[variant.parse::<usize>().expect("a number")].bytes,
            None => GOOD.as_bytes(),
        };
        stream.write_all(text).is_ok()
    });
    let installation = Installation::with_members(&[endpoint.address]);
    for (n, description) in descriptions.iter().enumerate() {
        // Requests that are served keep the endpoint from being ejected.
        for _ in 0..SERVED_BEFORE_EACH {
            assert_eq!(installation.get("/").status(), 200, "before {description}");
        }
        // The head may have been relayed before the body turned out to be malformed.
        let response = try_call(
            installation.address,
            &post(&format!("X-Variant: {n}\r\n"), "x"),
        );
        assert!(
            response.as_ref().is_none_or(|m| m.status() == 502),
            "{description}: {response:?}"
        );
    }
}
