//! Callers and backends that do not keep to the protocol: what the caller gets, and what goes no
//! further.

use super::*;
use std::net::SocketAddr;

/// Below every limit that guarded against these before, far above the present one.
const SOON: Duration = Duration::from_secs(8);

/// Whether the peer ends the connection, with or without a word, while bytes are fed to it one at a
/// time.
fn is_ended_soon(mut stream: TcpStream, feed: &[u8]) -> bool {
    let begun = Instant::now();
    let mut feed = feed.iter().cycle();
    stream
        .set_read_timeout(Some(Duration::from_millis(100)))
        .expect("a time-out");
    while begun.elapsed() < SOON {
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

/// A proxy before one backend, with one part of its configuration replaced.
fn with_limit(backend: &Backend, from: &str, to: &str) -> (Proxy, Discovery) {
    let discovery = Discovery::start(Some(list(
        5,
        true,
        &[entry("b0", backend.address, "ready")],
    )));
    let config = config(discovery.address, &list(0, true, &[])).replace(from, to);
    (
        Proxy::start_by(DEWRUN, "ulimit -n 256; exec \"$0\"", &config),
        discovery,
    )
}

#[test]
fn callers_that_never_finish_a_request_are_closed() {
    // Silence, a head without end and a body that trickles; and the latter two on a connection that
    // was of use.
    let backend = Backend::with_response(OK);
    let (proxy, _discovery) = before(&[&backend]);
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
                    assert_eq!(read_response(&stream).expect("an answer").status(), 200);
                }
                stream.write_all(start.as_bytes()).expect("it is written");
                assert!(is_ended_soon(stream, feed.as_bytes()), "{used} {start}");
            });
        }
    });
    assert_eq!(
        backend.request_count(),
        2,
        "only the whole requests went on"
    );
}

#[test]
fn a_request_with_two_lengths_is_refused_with_all_that_follows() {
    // hyper lets chunks win and hides the Content-Length; what one reader takes for a body another
    // takes for a request. Nor is anything read behind any other bad request.
    let backend = Backend::with_response(OK);
    let (proxy, _discovery) = before(&[&backend]);
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
            Message::read(&mut reader).expect("an answer").status(),
            400,
            "{request}"
        );
        assert!(Message::read(&mut reader).is_none(), "{request}");
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn the_id_of_an_open_request_is_not_taken_twice() {
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(700));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = before(&[&backend]);
    let first = send_request(proxy.address, &request_text("once", "c1", 20_000, "x"));
    until("the request is out", || backend.request_count() == 1);
    assert_eq!(
        proxy
            .call(&request_text("once", "c1", 20_000, "x"))
            .status(),
        409
    );
    assert_eq!(
        read_response(&first).expect("an answer").status(),
        200,
        "the first one goes on unharmed"
    );
    assert_eq!(backend.request_count(), 1);
    assert_eq!(
        proxy
            .call(&request_text("once", "c1", 20_000, "x"))
            .status(),
        200,
        "it is free again"
    );
}

#[test]
fn a_body_that_is_too_large_is_refused_on_its_head() {
    let backend = Backend::with_response(OK);
    let (proxy, _discovery) = before(&[&backend]);
    let request = request_text("once", "d1", 20_000, "").replace("Length: 0", "Length: 60000000");
    let asked = Instant::now();
    assert_eq!(proxy.call(&request).status(), 413);
    assert!(asked.elapsed() < SOON);
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn a_callers_numbers_are_not_trusted() {
    let backend = Backend::start(|n, stream| n > 5 || stream.write_all(OK.as_bytes()).is_ok());
    let (proxy, _discovery) = with_limit(&backend, "20000", "700");
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
    let asked = Instant::now();
    assert_eq!(
        proxy
            .call(&request_text("once", "e9", u32::MAX, "x"))
            .status(),
        502
    );
    assert!(
        asked.elapsed() < SOON,
        "no client waits longer than its class's"
    );
}

#[test]
fn bodies_take_no_more_memory_than_there_is() {
    // 1 MB: a quarter of it is for bodies, four of the largest.
    let backend = Backend::with_response(OK);
    let (proxy, _discovery) = with_limit(&backend, "\"memory_mb\":192", "\"memory_mb\":1");
    let large = |id: &str| request_text("once", id, 8_000, &"x".repeat(64 * 1024));
    let held: Vec<TcpStream> = (0..4)
        .map(|n| {
            let request = large(&format!("f{n}"));
            send_request(proxy.address, &request[..request.len() - 1])
        })
        .collect();
    until("there is no room", || {
        proxy.call(&request_text("once", "f5", 8_000, "x")).status() == 503
    });
    drop(held);
    until("there is room again", || {
        proxy.call(&request_text("once", "f6", 8_000, "x")).status() == 200
    });
}

#[test]
fn a_flood_of_connections_leaves_usual_callers_their_place() {
    let backend = Backend::start(|n, stream| {
        if n > 0 {
            thread::sleep(Duration::from_millis(300));
        }
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, _discovery) = with_limit(&backend, "\"sockets\":1024", "\"sockets\":256");
    let mut usual = send_request(proxy.address, &request_text("read", "g0", 20_000, ""));
    assert_eq!(read_response(&usual).expect("an answer").status(), 200);
    // It is one that asks again, and keeps its place however long the flood takes.
    usual
        .write_all(request_text("read", "g00", 20_000, "").as_bytes())
        .expect("it is open");
    assert_eq!(read_response(&usual).expect("an answer").status(), 200);
    // Those that only ask whether it is up are no usual callers either, and may crowd none out.
    let of_no_use = ["", "GET /up HTTP/1.1\r\nHost: p\r\n\r\n"];
    let flood: Vec<TcpStream> = (0..600)
        .map(|n| send_request(proxy.address, of_no_use[n / 300]))
        .collect();
    let fresh: Vec<TcpStream> = (0..4)
        .map(|n| {
            send_request(
                proxy.address,
                &request_text("read", &format!("h{n}"), 20_000, ""),
            )
        })
        .collect();
    usual
        .write_all(request_text("read", "g1", 20_000, "").as_bytes())
        .expect("it is still open");
    assert_eq!(read_response(&usual).expect("an answer").status(), 200);
    fresh
        .iter()
        .for_each(|caller| assert_eq!(read_response(caller).expect("an answer").status(), 200));
    assert!(proxy.is_running());
    drop(flood);
}

/// A backend that answers its first requests by a list, and all later ones well.
fn saying_first(first: &'static [&'static str]) -> Backend {
    Backend::start(move |n, stream| {
        stream
            .write_all(first.get(n).unwrap_or(&OK).as_bytes())
            .is_ok()
    })
}

#[test]
fn what_comes_behind_an_answer_is_never_taken_for_the_next_one() {
    let twice: &str = Box::leak(
        format!("{OK}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong").into_boxed_str(),
    );
    let backend = Backend::start(move |n, stream| {
        let text = [twice, OK, OK].get(n).copied().unwrap_or(OK);
        let _ = stream.write_all(text.as_bytes());
        if n == 1 {
            // After the look that pooled it.
            thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(b"noise\r\n\r\n");
        }
        true
    });
    let (proxy, _discovery) = before(&[&backend]);
    for n in 0..4 {
        let reply = proxy.call(&request_text("once", &format!("i{n}"), 8_000, "x"));
        assert_eq!((reply.status(), &reply.body[..]), (200, &b"hello"[..]));
        thread::sleep(Duration::from_millis(300));
    }
    // From the first bytes behind an answer on, each connection carries one request.
    assert_eq!(backend.connections.load(Ordering::SeqCst), 4);
}

#[test]
fn what_comes_while_a_connection_rests_is_never_taken_for_the_next_answer() {
    let backend = Backend::start(move |n, stream| {
        let _ = stream.write_all(OK.as_bytes());
        if n == 0 {
            // After the look that pooled it.
            thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        }
        true
    });
    let (proxy, _discovery) = before(&[&backend]);
    for n in 0..4 {
        let reply = proxy.call(&request_text("once", &format!("r{n}"), 8_000, "x"));
        assert_eq!((reply.status(), &reply.body[..]), (200, &b"hello"[..]));
        thread::sleep(Duration::from_millis(300));
        assert_eq!(backend.connections.load(Ordering::SeqCst), n + 1);
    }
}

#[test]
fn an_answer_that_is_not_whole_by_its_own_word_fails_at_once() {
    // The connection stays open and is silent, so only the answer itself can tell.
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
        let backend = Backend::with_response(text);
        let (proxy, _discovery) = before(&[&backend]);
        let asked = Instant::now();
        assert_eq!(proxy.call(&request_text("once", "j1", 20_000, "x")).status(), 502, "{text}");
        assert!(asked.elapsed() < SOON, "{text}");
        assert_eq!(backend.request_count(), 1, "it may have run: {text}");
    }
}

#[test]
fn a_body_that_only_a_close_ends_is_not_served() {
    let backend = Backend::start(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhel");
        let _ = stream.shutdown(Shutdown::Both);
        false
    });
    let (proxy, _discovery) = before(&[&backend]);
    assert_eq!(
        proxy.call(&request_text("once", "k1", 8_000, "x")).status(),
        502
    );
}

#[test]
fn good_answers_with_interim_ones_ahead_or_an_unreadable_report_are_served() {
    let backend = saying_first(&[
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nServer-Load: inflight=NaN,queue=-1,util\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ]);
    let (proxy, _discovery) = before(&[&backend]);
    for n in 0..3 {
        let reply = proxy.call(&request_text("once", &format!("l{n}"), 8_000, "x"));
        assert_eq!(
            (reply.status(), &reply.body[..]),
            (200, &b"hello"[..]),
            "{n}"
        );
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_spoilt_answer_costs_its_own_connection_alone() {
    // It once closed all idle connections to its backend: a storm of new ones followed.
    let backend = Backend::start(|n, stream| {
        if n < 2 {
            thread::sleep(Duration::from_millis(500));
        }
        stream
            .write_all(if n == 2 { "noise\r\n\r\n" } else { OK }.as_bytes())
            .is_ok()
    });
    let (proxy, _discovery) = before(&[&backend]);
    let both =
        ["m1", "m2"].map(|id| send_request(proxy.address, &request_text("once", id, 20_000, "x")));
    both.iter()
        .for_each(|caller| assert_eq!(read_response(caller).expect("an answer").status(), 200));
    assert_eq!(
        proxy.call(&request_text("once", "m3", 8_000, "x")).status(),
        502
    );
    assert_eq!(
        proxy.call(&request_text("once", "m4", 8_000, "x")).status(),
        200
    );
    assert_eq!(
        backend.connections.load(Ordering::SeqCst),
        2,
        "the other one was kept"
    );
}

#[test]
fn a_backends_fault_with_a_request_is_passed_on_and_not_tried_elsewhere() {
    let not_found = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    let (first, second) = (
        Backend::with_response(not_found),
        Backend::with_response(not_found),
    );
    let (proxy, _discovery) = before(&[&first, &second]);
    assert_eq!(
        proxy.call(&request_text("read", "n1", 8_000, "")).status(),
        404
    );
    assert_eq!(first.request_count() + second.request_count(), 1);
}

#[test]
fn a_connection_to_where_a_backend_no_longer_is_is_not_kept() {
    // Its answer was still out when the list changed; kept, it was used for whoever stands there
    // now.
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(700));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, discovery) = before(&[&backend]);
    let caller = send_request(proxy.address, &request_text("once", "o1", 20_000, "x"));
    until("the request is out", || backend.request_count() == 1);
    let elsewhere: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    discovery.send(&list(6, false, &[entry("b0", elsewhere, "ready")]));
    assert_eq!(read_response(&caller).expect("an answer").status(), 200);
    until("it is closed", || {
        backend.closed.load(Ordering::SeqCst) == 1
    });
}

#[test]
fn answers_that_are_out_take_no_memory_while_their_callers_rest() {
    // Room for four such bodies; an answer was held until its caller asked again or was closed as
    // idle.
    let large: &str = Box::leak(ok(&"y".repeat(60 * 1024)).into_boxed_str());
    let backend = Backend::start(move |n, stream| {
        let text = if n % 5 == 4 { OK } else { large };
        stream.write_all(text.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = with_limit(&backend, "\"memory_mb\":192", "\"memory_mb\":1");
    let (begun, mut resting) = (Instant::now(), Vec::new());
    for round in 0..3 {
        for n in 0..4 {
            let caller = send_request(
                proxy.address,
                &request_text("read", &format!("p{round}-{n}"), 8_000, ""),
            );
            assert_eq!(read_response(&caller).expect("an answer").status(), 200);
            resting.push(caller);
        }
        let body = request_text("once", &format!("q{round}"), 8_000, &"x".repeat(60 * 1024));
        until("there is room", || proxy.call(&body).status() == 200);
    }
    assert!(begun.elapsed() < SOON);
}
