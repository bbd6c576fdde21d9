//! Malformed messages on the platform: a request is not forwarded, and a response is not relayed,
//! at whatever place it is malformed.

use super::*;

/// The last byte of a message: a line feed before it would end the message, too.
const LAST_BYTE: usize = 1;

/// A chunked request with an extension on each chunk and a trailer.
fn chunked_request(id: &str) -> String {
    format!(
        "POST /api/7f3a HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: once\r\n\
         Tenant: acme\r\nRequest-Timeout-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n\
         7;a=b\r\nrelease\r\n0;c\r\nX-Sum: 1\r\n\r\n"
    )
}

fn send(proxy: &Proxy, bytes: &[u8]) -> Option<Message> {
    let mut stream = send_request(proxy.address, "");
    stream.write_all(bytes).expect("the request is written");
    read_response(&stream)
}

/// Guards against half a request that is forwarded as a complete one, because the parser reads the
/// end of a malformed line in what was to make it reject the request.
#[test]
fn a_request_that_is_malformed_at_any_place_is_not_forwarded() {
    let endpoint = Backend::with_response(OK);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let request = chunked_request("a1");
    for malformed in malformed_at_every_place(&request, 1..request.len() - LAST_BYTE) {
        let response = send(&proxy, &malformed.bytes).expect("a response");
        assert_eq!(response.status(), 400, "{}", malformed.description);
    }
    assert_eq!(endpoint.request_count(), 0);
    assert_eq!(
        send(&proxy, request.as_bytes())
            .expect("a response")
            .status(),
        200,
        "the request without a malformed byte"
    );
}

/// Guards against the same where the client sends nothing behind the malformed byte and stays: the
/// end of the request must not come from the proxy.
#[test]
fn a_request_that_stops_after_a_malformed_byte_is_not_forwarded() {
    let endpoint = Backend::with_response(OK);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let request = chunked_request("b1");
    for stop in [
        "7;",
        "7;a=b",
        "release",
        "release\r\n0",
        "release\r\n0;",
        "release\r\n0;c",
    ] {
        let place = request.find(stop).expect("a place") + stop.len();
        for malformed in malformed_at_every_place(&request, place..place + 1) {
            let cut = &malformed.bytes[..=place];
            if cut.ends_with(b"\r") {
                // A line may end here.
                continue;
            }
            let response = send(&proxy, cut).expect("a response");
            assert_eq!(response.status(), 400, "{}", malformed.description);
        }
    }
    assert_eq!(endpoint.request_count(), 0);
}

/// Guards against a malformed response that is taken for a complete one.
#[test]
fn a_response_that_is_malformed_at_any_place_is_a_failed_attempt() {
    let response = "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n\
        5;a=b\r\nhello\r\n0;c\r\nX-Sum: 1\r\n\r\n";
    let variants = malformed_at_every_place(response, 1..response.len() - LAST_BYTE);
    let descriptions: Vec<String> = variants.iter().map(|v| v.description.clone()).collect();
    let endpoint = Backend::start(move |n, stream| {
        // A good response before each malformed one keeps the endpoint from being ejected.
        let text = match n % 2 {
            0 => OK.as_bytes(),
            _ => &variants[n / 2].bytes,
        };
        stream.write_all(text).is_ok()
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    for (n, description) in descriptions.iter().enumerate() {
        let good = proxy.call(&request_text("once", &format!("c{n}"), 8_000, "x"));
        assert_eq!(good.status(), 200, "before {description}");
        let response = proxy.call(&request_text("once", &format!("d{n}"), 8_000, "x"));
        assert_eq!(response.status(), 502, "{description}");
    }
    assert_eq!(endpoint.request_count(), 2 * descriptions.len());
}
