//! Clients and endpoints that violate the protocol: what the client receives and what is not
//! forwarded.

use super::*;
use std::net::SocketAddr;

/// Upper bound of a prompt reaction: far above the limits that end these cases, and below all earlier
/// limits, so that a missing check is noticed.
const PROMPT_LIMIT: Duration = Duration::from_secs(8);

/// Returns whether the peer closes the connection within `PROMPT_LIMIT`, with or without a response,
/// while the bytes of `feed` are sent to it one at a time.
fn closes_promptly(mut stream: TcpStream, feed: &[u8]) -> bool {
    let begun = Instant::now();
    let mut feed = feed.iter().cycle();
    stream
        .set_read_timeout(Some(Duration::from_millis(100)))
        .expect("a time-out");
    while begun.elapsed() < PROMPT_LIMIT {
        if let Some(byte) = feed.next() {
            if stream.write_all(&[*byte]).is_err() {
                return true;
            }
        }
        match stream.read(&mut [0; 256]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
    false
}

/// Starts a proxy for one endpoint, with the text `from` of its configuration replaced by `to`.
fn proxy_with_replaced_setting(endpoint: &Backend, from: &str, to: &str) -> (Proxy, Discovery) {
    let discovery = Discovery::start(Some(list(
        5,
        true,
        &[entry("b0", endpoint.address, "ready")],
    )));
    let config = config(discovery.address, &list(0, true, &[])).replace(from, to);
    (
        Proxy::start_by(DEWRUN, "ulimit -n 256; exec \"$0\"", &config),
        discovery,
    )
}

#[test]
fn connections_that_never_complete_a_request_are_closed() {
    // A silent connection, an endless head and a trickling body, the latter two also on a connection
    // that has carried a complete request.
    let endpoint = Backend::with_response(OK);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let head = "GET /api/1 HTTP/1.1\r\nX: ";
    let body = request_text("once", "a1", 8_000, &"x".repeat(5_000))
        .trim_end_matches('x')
        .to_string();
    let cases = [
        (false, "", ""),
        (false, head, "y"),
        (false, &*body, "x"),
        (true, head, "y"),
        (true, &*body, "x"),
    ];
    thread::scope(|scope| {
        for (n, (used, start, feed)) in cases.into_iter().enumerate() {
            let address = proxy.address;
            scope.spawn(move || {
                let first = if used {
                    request_text("read", &format!("u{n}"), 8_000, "")
                } else {
                    String::new()
                };
                let mut stream = send_request(address, &first);
                if used {
                    assert_eq!(read_response(&stream).expect("a response").status(), 200);
                }
                stream.write_all(start.as_bytes()).expect("it is written");
                assert!(closes_promptly(stream, feed.as_bytes()), "{used} {start}");
            });
        }
    });
    assert_eq!(
        endpoint.request_count(),
        2,
        "only complete requests are forwarded"
    );
}

#[test]
fn a_request_with_two_body_lengths_is_rejected_and_its_connection_closed() {
    // hyper prefers Transfer-Encoding and hides the Content-Length, so two parsers could disagree
    // about where the body ends and the next request starts. Nothing is read after any other invalid
    // request either.
    let endpoint = Backend::with_response(OK);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let hidden = request_text("once", "b2", 8_000, "x");
    let head = |lengths: &str| {
        request_text("once", "b1", 8_000, "").replace("Content-Length: 0\r\n", lengths)
            + "0\r\n\r\n"
            + &hidden
    };
    let length = hidden.len() + 5;
    for request in [
        head(&format!(
            "Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n"
        )),
        head(&format!(
            "Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n"
        )),
        request_text("unheard", "b1", 8_000, "") + &hidden,
    ] {
        let stream = send_request(proxy.address, &request);
        let mut reader = BufReader::new(stream);
        assert_eq!(
            Message::read(&mut reader).expect("a response").status(),
            400,
            "{request}"
        );
        assert!(Message::read(&mut reader).is_none(), "{request}");
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn the_id_of_a_request_in_progress_is_rejected() {
    let endpoint = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(700));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let first = send_request(proxy.address, &request_text("once", "c1", 20_000, "x"));
    until("the request is in flight", || endpoint.request_count() == 1);
    assert_eq!(
        proxy
            .call(&request_text("once", "c1", 20_000, "x"))
            .status(),
        409
    );
    assert_eq!(
        read_response(&first).expect("a response").status(),
        200,
        "the first request is unaffected"
    );
    assert_eq!(endpoint.request_count(), 1);
    assert_eq!(
        proxy
            .call(&request_text("once", "c1", 20_000, "x"))
            .status(),
        200,
        "the id can be used again"
    );
}

#[test]
fn a_body_that_is_too_large_is_rejected_by_its_declared_length() {
    let endpoint = Backend::with_response(OK);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let request = request_text("once", "d1", 20_000, "").replace("Length: 0", "Length: 60000000");
    let sent_at = Instant::now();
    assert_eq!(proxy.call(&request).status(), 413);
    assert!(sent_at.elapsed() < PROMPT_LIMIT);
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn a_callers_numbers_are_not_trusted() {
    // Responses do not depend on the number of requests, since a read may be retried.
    let endpoint = Backend::start_unrecorded(|message, stream| {
        let is_silent = message.header("request-id") == Some("e9");
        is_silent || stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = proxy_with_replaced_setting(&endpoint, "20000", "700");
    for (n, hint) in ["NaN", "inf", "-inf", "-5", "1e999", "much"]
        .iter()
        .enumerate()
    {
        let hinted =
            request_text("read", &format!("e{n}"), 600, "").replace("\r\n\r\n", "\r\nWork-Hint: ");
        assert_eq!(
            proxy.call(&format!("{hinted}{hint}\r\n\r\n")).status(),
            200,
            "{hint}"
        );
    }
    let sent_at = Instant::now();
    assert_eq!(
        proxy
            .call(&request_text("once", "e9", u32::MAX, "x"))
            .status(),
        502
    );
    assert!(
        sent_at.elapsed() < PROMPT_LIMIT,
        "no client waits longer than the deadline of its class"
    );
}

#[test]
fn request_bodies_stay_within_the_memory_budget() {
    // A quarter of the 1 MB is for bodies: room for four of the largest.
    let endpoint = Backend::with_response(OK);
    let (proxy, _discovery) =
        proxy_with_replaced_setting(&endpoint, "\"memory_mb\":192", "\"memory_mb\":1");
    let large = |id: &str| request_text("once", id, 8_000, &"x".repeat(64 * 1024));
    let incomplete: Vec<TcpStream> = (0..4)
        .map(|n| {
            let request = large(&format!("f{n}"));
            send_request(proxy.address, &request[..request.len() - 1])
        })
        .collect();
    until("the memory for bodies is used up", || {
        proxy.call(&request_text("once", "f5", 8_000, "x")).status() == 503
    });
    drop(incomplete);
    until("memory for bodies is free again", || {
        proxy.call(&request_text("once", "f6", 8_000, "x")).status() == 200
    });
}

#[test]
fn a_flood_of_connections_does_not_displace_active_clients() {
    let endpoint = Backend::start(|n, stream| {
        if n > 0 {
            thread::sleep(Duration::from_millis(300));
        }
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, _discovery) =
        proxy_with_replaced_setting(&endpoint, "\"sockets\":1024", "\"sockets\":256");
    let mut active = send_request(proxy.address, &request_text("read", "g0", 20_000, ""));
    assert_eq!(read_response(&active).expect("a response").status(), 200);
    // A client with a second request counts as active and keeps its connection during the flood.
    active
        .write_all(request_text("read", "g00", 20_000, "").as_bytes())
        .expect("the connection is open");
    assert_eq!(read_response(&active).expect("a response").status(), 200);
    // Connections that carried only a probe of `/up` do not count as active either and may displace
    // no active client.
    let idle_requests = ["", "GET /up HTTP/1.1\r\nHost: p\r\n\r\n"];
    let flood: Vec<TcpStream> = (0..600)
        .map(|n| send_request(proxy.address, idle_requests[n / 300]))
        .collect();
    let fresh: Vec<TcpStream> = (0..4)
        .map(|n| {
            send_request(
                proxy.address,
                &request_text("read", &format!("h{n}"), 20_000, ""),
            )
        })
        .collect();
    active
        .write_all(request_text("read", "g1", 20_000, "").as_bytes())
        .expect("the connection is still open");
    assert_eq!(read_response(&active).expect("a response").status(), 200);
    fresh
        .iter()
        .for_each(|client| assert_eq!(read_response(client).expect("a response").status(), 200));
    assert!(proxy.is_running());
    drop(flood);
}

/// Starts an endpoint that returns the given responses to its first requests and `OK` afterwards.
fn endpoint_with_first_responses(first: &'static [&'static str]) -> Backend {
    Backend::start(move |n, stream| {
        stream
            .write_all(first.get(n).unwrap_or(&OK).as_bytes())
            .is_ok()
    })
}

#[test]
fn bytes_after_a_response_are_never_read_as_the_next_response() {
    let twice: &str = Box::leak(
        format!("{OK}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong").into_boxed_str(),
    );
    let endpoint = Backend::start(move |n, stream| {
        let text = [twice, OK, OK].get(n).copied().unwrap_or(OK);
        let _ = stream.write_all(text.as_bytes());
        if n == 1 {
            // Sent after the check for unsolicited bytes that precedes pooling.
            thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(b"noise\r\n\r\n");
        }
        true
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    for n in 0..4 {
        let response = proxy.call(&request_text("once", &format!("i{n}"), 8_000, "x"));
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, &b"hello"[..])
        );
        thread::sleep(Duration::from_millis(300));
    }
    // After the first unsolicited bytes of an endpoint, each of its connections carries one request.
    assert_eq!(endpoint.connections.load(Ordering::SeqCst), 4);
}

#[test]
fn bytes_on_an_idle_connection_are_never_read_as_the_next_response() {
    let endpoint = Backend::start(move |n, stream| {
        let _ = stream.write_all(OK.as_bytes());
        if n == 0 {
            // Sent after the check for unsolicited bytes that precedes pooling.
            thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        }
        true
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    for n in 0..4 {
        let response = proxy.call(&request_text("once", &format!("r{n}"), 8_000, "x"));
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, &b"hello"[..])
        );
        thread::sleep(Duration::from_millis(300));
        assert_eq!(endpoint.connections.load(Ordering::SeqCst), n + 1);
    }
}

#[test]
fn a_response_with_an_invalid_length_or_framing_fails_at_once() {
    // The connection stays open and silent, so the fault can only be detected in the response.
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    ] {
        let endpoint = Backend::with_response(text);
        let (proxy, _discovery) = proxy_for(&[&endpoint]);
        let sent_at = Instant::now();
        assert_eq!(proxy.call(&request_text("once", "j1", 20_000, "x")).status(), 502, "{text}");
        assert!(sent_at.elapsed() < PROMPT_LIMIT, "{text}");
        assert_eq!(endpoint.request_count(), 1, "it may have been executed: {text}");
    }
}

#[test]
fn responses_after_interim_ones_or_with_a_malformed_load_report_are_forwarded() {
    let endpoint = endpoint_with_first_responses(&[
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nServer-Load: inflight=NaN,queue=-1,util\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ]);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    for n in 0..3 {
        let response = proxy.call(&request_text("once", &format!("l{n}"), 8_000, "x"));
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, &b"hello"[..]),
            "{n}"
        );
    }
    assert_eq!(endpoint.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_malformed_response_closes_only_its_own_connection() {
    // Guards against closing all idle connections to the endpoint, which caused a storm of new ones.
    let endpoint = Backend::start(|n, stream| {
        if n < 2 {
            thread::sleep(Duration::from_millis(500));
        }
        stream
            .write_all(if n == 2 { "noise\r\n\r\n" } else { OK }.as_bytes())
            .is_ok()
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let both =
        ["m1", "m2"].map(|id| send_request(proxy.address, &request_text("once", id, 20_000, "x")));
    both.iter()
        .for_each(|client| assert_eq!(read_response(client).expect("a response").status(), 200));
    assert_eq!(
        proxy.call(&request_text("once", "m3", 8_000, "x")).status(),
        502
    );
    assert_eq!(
        proxy.call(&request_text("once", "m4", 8_000, "x")).status(),
        200
    );
    assert_eq!(
        endpoint.connections.load(Ordering::SeqCst),
        2,
        "the other connection stays pooled"
    );
}

#[test]
fn a_client_error_response_is_forwarded_and_not_retried() {
    let not_found = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    let (first, second) = (
        Backend::with_response(not_found),
        Backend::with_response(not_found),
    );
    let (proxy, _discovery) = proxy_for(&[&first, &second]);
    assert_eq!(
        proxy.call(&request_text("read", "n1", 8_000, "")).status(),
        404
    );
    assert_eq!(first.request_count() + second.request_count(), 1);
}

#[test]
fn a_connection_to_an_outdated_endpoint_address_is_not_pooled() {
    // The response was outstanding when the list changed. If pooled afterwards, the connection would
    // be used for whichever endpoint has the name now.
    let endpoint = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(700));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, discovery) = proxy_for(&[&endpoint]);
    let client = send_request(proxy.address, &request_text("once", "o1", 20_000, "x"));
    until("the request is in flight", || endpoint.request_count() == 1);
    let elsewhere: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    discovery.send(&list(6, false, &[entry("b0", elsewhere, "ready")]));
    assert_eq!(read_response(&client).expect("a response").status(), 200);
    until("the connection is closed", || {
        endpoint.closed.load(Ordering::SeqCst) == 1
    });
}

#[test]
fn delivered_responses_take_no_memory_while_their_clients_are_idle() {
    // The memory has room for four such bodies. Guards against a response that stays in memory until
    // its client sends another request or is closed as idle.
    let large: &str = Box::leak(ok(&"y".repeat(60 * 1024)).into_boxed_str());
    let endpoint = Backend::start(move |n, stream| {
        let text = if n % 5 == 4 { OK } else { large };
        stream.write_all(text.as_bytes()).is_ok()
    });
    let (proxy, _discovery) =
        proxy_with_replaced_setting(&endpoint, "\"memory_mb\":192", "\"memory_mb\":1");
    let (begun, mut idle) = (Instant::now(), Vec::new());
    for round in 0..3 {
        for n in 0..4 {
            let client = send_request(
                proxy.address,
                &request_text("read", &format!("p{round}-{n}"), 8_000, ""),
            );
            assert_eq!(read_response(&client).expect("a response").status(), 200);
            idle.push(client);
        }
        let body = request_text("once", &format!("q{round}"), 8_000, &"x".repeat(60 * 1024));
        until("memory for bodies is free", || {
            proxy.call(&body).status() == 200
        });
    }
    assert!(begun.elapsed() < PROMPT_LIMIT);
}
