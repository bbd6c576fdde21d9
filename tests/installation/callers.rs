//! HTTP semantics for clients: methods, statuses, headers, framing, routing and retries.

use super::*;
use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Waits longer than the reuse delay of a pooled connection, before which another would be opened.
fn wait_for_reuse_delay() {
    std::thread::sleep(Duration::from_millis(50));
}

#[test]
fn any_response_below_500_is_forwarded_complete_with_status_and_headers() {
    for (status, headers, body) in [
        (
            "200 OK",
            "Content-Type: text/plain\r\nX-Own: 1\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n",
            "hello",
        ),
        ("201 Created", "Location: /p/1\r\n", ""),
        (
            "206 Partial Content",
            "Content-Range: bytes 0-4/9\r\n",
            "hello",
        ),
        ("301 Moved Permanently", "Location: /there\r\n", "moved"),
        ("404 Not Found", "", "nothing here"),
        ("418 I'm a teapot", "", "short and stout"),
        ("429 Too Many Requests", "Retry-After: 7\r\n", "slow down"),
    ] {
        let endpoint = endpoint_returning(response_with(status, headers, body));
        let installation = Installation::with_members(&[endpoint.address]);
        let response = installation.call(&post("", "x"));
        assert_eq!(
            (response.status().to_string(), &response.body[..]),
            (status[..3].into(), body.as_bytes())
        );
        for line in headers.lines() {
            let (name, value) = line.split_once(": ").expect("a header");
            let line = format!("{}: {value}\r\n", name.to_ascii_lowercase());
            assert!(response.head.contains(&line), "{line} in {}", response.head);
        }
        assert_eq!(
            response.header("proxy-status"),
            None,
            "the response comes from the endpoint"
        );
        assert_eq!(
            endpoint.request_count(),
            1,
            "{status} is a response, not a failure"
        );
    }
}

#[test]
fn responses_without_a_body_leave_the_connection_reusable() {
    let endpoint = Backend::start(|n, stream| {
        let text = [
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 12345\r\nX-Kind: head\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast",
        ][n];
        stream.write_all(text.as_bytes()).is_ok()
    });
    let installation = Installation::with_members(&[endpoint.address]);
    let mut connection = Connection::open(installation.address);
    assert_eq!(
        connection.send(&get("/")).expect("a response").status(),
        204
    );
    wait_for_reuse_delay();
    assert_eq!(
        connection.send(&get("/")).expect("a response").status(),
        304
    );
    wait_for_reuse_delay();
    connection
        .stream
        .write_all(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("it is written");
    let head = Message::read_head(&mut connection.reader).expect("a head");
    assert_eq!(
        (head.header("content-length"), head.header("x-kind")),
        (Some("12345"), Some("head"))
    );
    wait_for_reuse_delay();
    assert_eq!(
        connection.send(&get("/")).expect("a response").body,
        b"last"
    );
    assert_eq!(
        endpoint.connections.load(Ordering::SeqCst),
        1,
        "one connection is reused for all requests"
    );
}

#[test]
fn end_to_end_headers_are_forwarded_and_hop_by_hop_headers_are_removed() {
    let endpoint = endpoint_returning(response_with(
        "200 OK",
        "Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n",
        "x",
    ));
    let installation = Installation::with_members(&[endpoint.address]);
    let response = installation.call(
        "PATCH /A/./b//c%2fd?q=%41&q HTTP/1.1\r\nHost: Shop.Example:80\r\nConnection: X-Secret, keep-alive\r\n\
         X-Secret: 1\r\nTE: trailers\r\nX-Kept: yes\r\nX-Forwarded-For: 9.9.9.9\r\nForwarded: for=9.9.9.9\r\n\
         Content-Length: 2\r\n\r\nhi",
    );
    assert_eq!(
        (response.status(), response.header("via")),
        (200, Some("1.1 dewrun"))
    );
    assert!(
        response.header("x-hop").is_none() && response.header("keep-alive").is_none(),
        "{}",
        response.head
    );
    let seen = endpoint.requests.lock().unwrap()[0].clone();
    assert!(
        seen.head
            .starts_with("PATCH /A/b/c%2Fd?q=%41&q HTTP/1.1\r\n"),
        "{}",
        seen.head
    );
    assert_eq!(seen.body, b"hi");
    for (name, value) in [
        ("host", Some("Shop.Example:80")),
        ("x-kept", Some("yes")),
        ("x-secret", None),
        ("te", None),
        ("connection", None),
        ("via", Some("1.1 dewrun")),
        ("x-forwarded-for", Some("127.0.0.1")),
        (
            "forwarded",
            Some("for=127.0.0.1;host=\"Shop.Example:80\";proto=http"),
        ),
    ] {
        assert_eq!(seen.header(name), value, "{name} in {}", seen.head);
    }
    assert_eq!(
        seen.header("request-id").map(str::len),
        Some(16),
        "an id is generated"
    );
    let left: u64 = seen
        .header("request-timeout-ms")
        .and_then(|t| t.parse().ok())
        .expect("a duration");
    assert!((1..=30_000).contains(&left));
}

#[test]
fn request_ids_are_preserved_and_generated_ids_are_unique() {
    let endpoint = endpoint_returning(ok("x"));
    let installation = Installation::with_members(&[endpoint.address]);
    installation.call("GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: mine-1\r\n\r\n");
    for _ in 0..20 {
        installation.get("/");
    }
    let seen = endpoint.requests.lock().unwrap();
    let ids: Vec<&str> = seen.iter().filter_map(|m| m.header("request-id")).collect();
    assert_eq!((ids.len(), ids[0]), (21, "mine-1"));
    assert_eq!(
        ids.iter().collect::<std::collections::BTreeSet<_>>().len(),
        21
    );
}

#[test]
fn forwarded_headers_of_trusted_peers_are_preserved() {
    let endpoint = endpoint_returning(ok("x"));
    let folder = Folder::new();
    let text = format!("trusted = [\"127.0.0.0/8\"]\n{}", pool(&[endpoint.address]));
    let installation = Installation::start_in(folder, &text);
    installation.call(
        "GET / HTTP/1.1\r\nHost: a\r\nX-Forwarded-For: 9.9.9.9\r\nX-Forwarded-Proto: https\r\n\r\n",
    );
    let seen = endpoint.requests.lock().unwrap()[0].clone();
    assert_eq!(seen.header("x-forwarded-for"), Some("9.9.9.9, 127.0.0.1"));
    assert_eq!(seen.header("x-forwarded-proto"), Some("https"));
}

#[test]
fn failed_requests_are_retried_only_as_method_and_class_allow() {
    // The first attempt of each request receives a 500, and a retry succeeds.
    let class = "[[class]]\nname = \"k\"\neffect = \"keyed\"\nwindow = \"20s\"\n\
        [[class]]\nname = \"r\"\neffect = \"repeatable\"\n[[class]]\nname = \"o\"\neffect = \"once\"\n";
    for (class_of_route, request, repeated) in [
        ("default", get("/"), true),
        ("default", post("", "x"), false),
        ("default", post("Idempotency-Key: k\r\n", "x"), false),
        ("default", post("", "x").replacen("POST", "PUT", 1), false),
        ("r", post("", "x").replacen("POST", "PUT", 1), true),
        ("r", post("", "x").replacen("POST", "DELETE", 1), true),
        ("r", post("", "x"), false),
        ("k", post("Idempotency-Key: k\r\n", "x"), true),
        (
            "k",
            post("Idempotency-Key: k\r\nIdempotency-Key: l\r\n", "x"),
            false,
        ),
        ("k", post("", "x"), false),
        ("k", get("/"), true),
        ("o", get("/"), false),
        ("o", post("Idempotency-Key: k\r\n", "x"), false),
    ] {
        let endpoint = Backend::start(|n, stream| {
            let bad = response_with("500 Broken", "X-Own: 1\r\n", "the backend's own words");
            stream
                .write_all(if n == 0 { bad } else { ok("good") }.as_bytes())
                .is_ok()
        });
        let route = format!(
            "{}class = \"{class_of_route}\"\n{class}",
            pool(&[endpoint.address])
        );
        let installation = Installation::start(&route);
        let response = installation.call(&request);
        if repeated {
            assert_eq!(
                (response.status(), endpoint.request_count()),
                (200, 2),
                "{class_of_route} {request}"
            );
        } else {
            assert_eq!(
                (response.status(), endpoint.request_count()),
                (500, 1),
                "{class_of_route} {request}"
            );
            assert_eq!(response.body, b"the backend's own words");
            assert_eq!(response.header("x-own"), Some("1"));
            assert_eq!(
                response.header("proxy-status"),
                Some("dewrun; received-status=500")
            );
        }
    }
}

#[test]
fn a_request_is_retried_only_if_it_cannot_have_been_executed() {
    let reset = || Fault::ResetAfter(0, String::new()).start();
    let endpoints = [reset(), reset()];
    let installation = Installation::with_members(&endpoints.each_ref().map(|b| b.address));
    let response = installation.call(&post("", "x"));
    assert_eq!(
        (response.status(), response.header("proxy-status")),
        (502, Some("dewrun; error=connection_terminated"))
    );
    assert_eq!(
        endpoints[0].request_count() + endpoints[1].request_count(),
        1
    );
    // A refused connection proves that the request was not executed.
    let good = endpoint_returning(ok("good"));
    let installation = Installation::with_members(&[Fault::Refuse.start().address, good.address]);
    for _ in 0..5 {
        assert_eq!(installation.call(&post("", "x")).status(), 200);
    }
    assert_eq!(good.request_count(), 5);
}

#[test]
fn a_silent_endpoint_times_out_after_the_route_s_or_the_client_s_timeout() {
    let endpoint = Fault::Silent.start();
    let installation = Installation::start(&format!(
        "{}timeout = \"900ms\"\n",
        pool(&[endpoint.address])
    ));
    for (header, least, most) in [("", 850, 5_000), ("Request-Timeout-Ms: 200\r\n", 150, 850)] {
        let sent_at = Instant::now();
        let response = installation.call(&post(header, "x"));
        let status = response.header("proxy-status");
        assert_eq!(
            (response.status(), status),
            (504, Some("dewrun; error=http_response_timeout"))
        );
        let took = sent_at.elapsed();
        assert!(
            took >= Duration::from_millis(least) && took < Duration::from_millis(most),
            "{took:?}"
        );
    }
}

#[test]
fn interim_responses_are_dropped_and_expect_100_continue_is_answered() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    let endpoint = endpoint_returning(format!("{interim}{}", ok("final")));
    let installation = Installation::with_members(&[endpoint.address]);
    let mut connection = Connection::open(installation.address);
    let head = "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    connection
        .stream
        .write_all(head.as_bytes())
        .expect("it is written");
    assert_eq!(
        Message::read_head(&mut connection.reader)
            .expect("a response")
            .status(),
        100
    );
    let response = connection.send("hello").expect("a response");
    assert_eq!(
        (response.status(), &response.body[..]),
        (200, &b"final"[..])
    );
    let seen = endpoint.requests.lock().unwrap()[0].clone();
    assert_eq!(
        (seen.header("expect"), &seen.body[..]),
        (None, &b"hello"[..])
    );
}

#[test]
fn no_100_continue_is_sent_for_a_request_without_a_route() {
    let installation = Installation::start(
        &pool(&[free_address()]).replace("[[route]]", "[[route]]\npath = \"/only\""),
    );
    let mut stream = send_request(
        installation.address,
        "POST /else HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
    );
    let mut all = String::new();
    let _ = stream.read_to_string(&mut all);
    assert!(all.starts_with("HTTP/1.1 404 "), "{all}");
}

#[test]
fn chunked_bodies_are_forwarded_both_ways_and_trailers_are_dropped() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n";
    let endpoint = endpoint_returning(chunked.into());
    let installation = Installation::with_members(&[endpoint.address]);
    let mut connection = Connection::open(installation.address);
    for _ in 0..3 {
        let request = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-T: 1\r\n\r\n";
        let response = connection.send(request).expect("a response");
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, &b"hello"[..])
        );
        assert!(response.header("trailer").is_none());
        wait_for_reuse_delay();
    }
    for seen in endpoint.requests.lock().unwrap().iter() {
        assert_eq!(
            (seen.header("content-length"), &seen.body[..]),
            (Some("5"), &b"abcde"[..])
        );
    }
    assert_eq!(endpoint.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn an_http_1_0_client_gets_a_complete_response_and_a_closed_connection() {
    let endpoint = endpoint_returning(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n".into(),
    );
    let installation = Installation::with_members(&[endpoint.address]);
    let mut stream = send_request(installation.address, "GET / HTTP/1.0\r\n\r\n");
    let mut all = String::new();
    stream.read_to_string(&mut all).expect("a response");
    assert!(
        all.contains("200 OK") && all.ends_with("\r\n\r\nhello"),
        "{all}"
    );
    let seen = endpoint.requests.lock().unwrap()[0].clone();
    assert_eq!(seen.header("via"), Some("1.0 dewrun"));
    assert_eq!(
        seen.header("host"),
        Some(endpoint.address.to_string().as_str())
    );
}

#[test]
fn a_response_that_is_delimited_by_close_is_forwarded() {
    let endpoint = Backend::start(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.0 200 OK\r\nContent-Type: text/html\r\n\r\nall there is");
        let _ = stream.shutdown(std::net::Shutdown::Both);
        false
    });
    let installation = Installation::with_members(&[endpoint.address]);
    let mut connection = Connection::open(installation.address);
    for _ in 0..2 {
        assert_eq!(
            connection.send(&get("/")).expect("a response").body,
            b"all there is"
        );
    }
}

#[test]
fn upgrades_and_connect_are_rejected_with_501() {
    let endpoint = endpoint_returning(ok("x"));
    let installation = Installation::with_members(&[endpoint.address]);
    for request in [
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        "CONNECT a.example:443 HTTP/1.1\r\nHost: a.example:443\r\n\r\n",
    ] {
        let response = installation.call(request);
        assert_eq!(
            (response.status(), response.header("connection")),
            (501, Some("close")),
            "{request}"
        );
        assert_eq!(
            response.header("proxy-status"),
            Some("dewrun; error=http_request_error")
        );
    }
    assert_eq!(endpoint.request_count(), 0);
    let server_options = installation.call("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(
        (server_options.status(), server_options.body.len()),
        (200, 0)
    );
}

#[test]
fn routes_match_by_host_path_method_and_header() {
    let endpoints = ["shop", "api", "beta", "rest"].map(|name| endpoint_returning(ok(name)));
    let mut text = String::new();
    for (name, endpoint) in ["shop", "api", "beta", "rest"].iter().zip(&endpoints) {
        text += &format!(
            "[[pool]]\nname = \"{name}\"\n{}\n",
            members(&[endpoint.address])
        );
    }
    text += "[[route]]\nhost = \"*.shop.example\"\npool = \"shop\"\n\
        [[route]]\npath = \"/api/{id}/*\"\nmethods = [\"GET\", \"POST\"]\npool = \"api\"\n\
        [[route]]\npath = \"/api/{id}/*\"\nmethods = [\"GET\"]\nheaders = { X-Beta = \"1\" }\npool = \"beta\"\n\
        [[route]]\npath = \"/rest\"\nmethods = [\"GET\"]\npool = \"rest\"\n";
    let installation = Installation::start(&text);
    let send = |line: &str, host: &str, more: &str| {
        let response = installation.call(&format!("{line} HTTP/1.1\r\nHost: {host}\r\n{more}\r\n"));
        (
            response.status(),
            String::from_utf8(response.body.clone()).expect("text"),
            response,
        )
    };
    assert_eq!(send("GET /x", "www.Shop.example:80", "").1, "shop");
    assert_eq!(
        send("GET http://www.shop.example/x", "WWW.shop.example", "").1,
        "shop"
    );
    assert_eq!(send("GET /api/7/x", "a", "").1, "api");
    assert_eq!(send("GET /api/7/x", "a", "X-Beta: 1\r\n").1, "beta");
    assert_eq!(send("GET /api/7/x", "a", "X-Beta: 2\r\n").1, "api");
    assert_eq!(send("GET /else/%2e%2e/rest", "a", "").1, "rest");
    assert_eq!(send("GET /restful", "a", "").0, 404);
    let (status, _, response) = send("DELETE /rest", "a", "");
    assert_eq!((status, response.header("allow")), (405, Some("GET")));
    assert_eq!(
        response.header("proxy-status"),
        Some("dewrun; error=http_request_denied")
    );
    assert_eq!(endpoints[2].request_count(), 1);
}

#[test]
fn a_tenant_over_its_rate_is_rejected_and_the_others_are_served() {
    // Slow enough that the concurrent requests of the tenant over its rate compete for the capacity
    // that it may borrow.
    let endpoint = Backend::start(|_, stream| {
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(ok("x").as_bytes()).is_ok()
    });
    let text = pool(&[endpoint.address])
        + "tenant = { header = \"X-Account\" }\n[[tenant]]\nname = \"small\"\nrate = 1\n[[tenant]]\nname = \"large\"\n";
    let installation = Installation::start(&text);
    let served_requests = |tenant: &str| {
        let request = format!("GET / HTTP/1.1\r\nHost: a\r\nX-Account: {tenant}\r\n\r\n");
        let mut clients: Vec<TcpStream> = (0..30)
            .map(|_| send_request(installation.address, &request))
            .collect();
        let statuses: Vec<u16> = clients
            .iter_mut()
            .map(|client| read_response(client).expect("a response").status())
            .collect();
        assert!(
            statuses.iter().all(|s| [200, 503].contains(s)),
            "{statuses:?}"
        );
        statuses.iter().filter(|s| **s == 200).count()
    };
    assert_eq!(
        (served_requests("large"), served_requests("nobody known")),
        (30, 30)
    );
    assert!(served_requests("small") < 20, "most are over the rate");
    assert_eq!(served_requests("large"), 30);
}

#[test]
fn a_final_response_before_the_end_of_the_request_is_forwarded() {
    let early = response_with("413 Too Large", "Connection: close\r\n", "no more, please");
    let endpoint = Fault::Early(early).start();
    let installation = Installation::with_members(&[endpoint.address]);
    let mut stream = send_request(
        installation.address,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\nonly the beginning of it",
    );
    let response = read_response(&stream).expect("a response");
    assert_eq!(
        (response.status(), &response.body[..]),
        (413, &b"no more, please"[..])
    );
    // Later bytes on the connection cannot be told apart from the missing part of the body.
    assert!(matches!(stream.read(&mut [0; 16]), Ok(0) | Err(_)));
}

#[test]
fn pipelined_requests_have_their_own_timeout() {
    // The first request takes longer than the timeout. The others are pipelined behind it and
    // forwarded after it.
    let endpoint = Backend::start(|n, stream| {
        std::thread::sleep(Duration::from_millis(if n == 0 { 700 } else { 0 }));
        stream.write_all(ok(&n.to_string()).as_bytes()).is_ok()
    });
    let text = pool(&[endpoint.address])
        + "timeout = \"500ms\"\n[[route]]\npath = \"/slow\"\npool = \"main\"\n";
    let installation = Installation::start(&text);
    let mut connection = Connection::open(installation.address);
    let first = connection
        .send(&(get("/slow") + &get("/fast") + &get("/fast")))
        .expect("a response");
    assert_eq!(first.body, b"0");
    for wanted in [b"1", b"2"] {
        let next = Message::read(&mut connection.reader).expect("a response");
        assert_eq!((next.status(), &next.body[..]), (200, &wanted[..]));
    }
}

fn path_of(request: &Message) -> &str {
    request.head.split(' ').nth(1).expect("a path")
}

/// Guards against delivering a response on a reused connection that belongs to an earlier request.
#[test]
fn a_member_that_answered_twice_gets_one_request_a_connection() {
    let number = AtomicUsize::new(0);
    let endpoint = Backend::start_unrecorded(move |message, stream| {
        let text = ok(path_of(&message));
        let copies = if number.fetch_add(1, Ordering::SeqCst) == 2 {
            2
        } else {
            1
        };
        stream.write_all(text.repeat(copies).as_bytes()).is_ok()
    });
    let installation = Installation::with_members(&[endpoint.address]);
    for (request, expected) in [(0, 1), (1, 1), (2, 1), (3, 2), (4, 3)] {
        let path = format!("/{request}");
        let response = installation.get(&path);
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, path.as_bytes()),
            "request {request}"
        );
        let connections = endpoint.connections.load(Ordering::SeqCst);
        assert_eq!(connections, expected, "after request {request}");
        // Waits for the reuse delay of the connection.
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        installation
            .daemon
            .logged("bytes that no request asked for"),
        1
    );
}

/// A server may send a 408 before it closes an idle connection, which is not a second response to a
/// request.
#[test]
fn a_408_response_on_an_idle_connection_does_not_count_as_a_second_response() {
    let number = AtomicUsize::new(0);
    let endpoint = Backend::start_unrecorded(move |message, stream| {
        let is_last = number.fetch_add(1, Ordering::SeqCst) == 0;
        if stream.write_all(ok(path_of(&message)).as_bytes()).is_err() {
            return false;
        }
        if is_last {
            thread::sleep(Duration::from_millis(50));
            let _ = stream.write_all(response_with("408 Request Timeout", "", "").as_bytes());
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        !is_last
    });
    let installation = Installation::with_members(&[endpoint.address]);
    for (request, expected) in [(0, 1), (1, 2), (2, 2), (3, 2)] {
        let path = format!("/{request}");
        assert_eq!(
            installation.get(&path).body,
            path.as_bytes(),
            "request {request}"
        );
        let connections = endpoint.connections.load(Ordering::SeqCst);
        assert_eq!(connections, expected, "after request {request}");
        thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(
        installation
            .daemon
            .logged("bytes that no request asked for"),
        0
    );
}
