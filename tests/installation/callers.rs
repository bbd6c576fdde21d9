//! Ordinary callers: any method, any status, and an intermediary's duties.

use super::*;
use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough for a pooled connection to have rested: until then another would be opened.
fn rest() {
    std::thread::sleep(Duration::from_millis(50));
}

#[test]
fn any_answer_below_500_is_passed_on_whole_with_status_and_headers() {
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
        let backend = always(answer_of(status, headers, body));
        let site = Site::before(&[backend.address]);
        let answer = site.call(&post("", "x"));
        assert_eq!(
            (answer.status().to_string(), &answer.body[..]),
            (status[..3].into(), body.as_bytes())
        );
        for line in headers.lines() {
            let (name, value) = line.split_once(": ").expect("a header");
            let line = format!("{}: {value}\r\n", name.to_ascii_lowercase());
            assert!(answer.head.contains(&line), "{line} in {}", answer.head);
        }
        assert_eq!(
            answer.header("proxy-status"),
            None,
            "it is the backend's own"
        );
        assert_eq!(
            backend.request_count(),
            1,
            "{status} is an answer, not a failure"
        );
    }
}

#[test]
fn answers_without_a_body_keep_the_connection_in_step() {
    let backend = Backend::start(|n, stream| {
        let text = [
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 12345\r\nX-Kind: head\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast",
        ][n];
        stream.write_all(text.as_bytes()).is_ok()
    });
    let site = Site::before(&[backend.address]);
    let mut kept = Kept::open(site.address);
    assert_eq!(kept.ask(&get("/")).expect("an answer").status(), 204);
    rest();
    assert_eq!(kept.ask(&get("/")).expect("an answer").status(), 304);
    rest();
    kept.stream
        .write_all(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("it is written");
    let head = Message::read_head(&mut kept.reader).expect("a head");
    assert_eq!(
        (head.header("content-length"), head.header("x-kind")),
        (Some("12345"), Some("head"))
    );
    rest();
    assert_eq!(kept.ask(&get("/")).expect("an answer").body, b"last");
    assert_eq!(
        backend.connections.load(Ordering::SeqCst),
        1,
        "one kept connection carried all"
    );
}

#[test]
fn a_request_goes_on_with_its_own_headers_and_without_those_of_the_connection() {
    let backend = always(answer_of(
        "200 OK",
        "Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n",
        "x",
    ));
    let site = Site::before(&[backend.address]);
    let answer = site.call(
        "PATCH /A/./b//c%2fd?q=%41&q HTTP/1.1\r\nHost: Shop.Example:80\r\nConnection: X-Secret, keep-alive\r\n\
         X-Secret: 1\r\nTE: trailers\r\nX-Kept: yes\r\nX-Forwarded-For: 9.9.9.9\r\nForwarded: for=9.9.9.9\r\n\
         Content-Length: 2\r\n\r\nhi",
    );
    assert_eq!(
        (answer.status(), answer.header("via")),
        (200, Some("1.1 dewrun"))
    );
    assert!(
        answer.header("x-hop").is_none() && answer.header("keep-alive").is_none(),
        "{}",
        answer.head
    );
    let seen = backend.requests.lock().unwrap()[0].clone();
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
        "an id is made"
    );
    let left: u64 = seen
        .header("request-timeout-ms")
        .and_then(|t| t.parse().ok())
        .expect("a time");
    assert!((1..=30_000).contains(&left));
}

#[test]
fn ids_are_kept_where_there_are_any_and_no_two_made_ones_are_equal() {
    let backend = always(ok("x"));
    let site = Site::before(&[backend.address]);
    site.call("GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: mine-1\r\n\r\n");
    for _ in 0..20 {
        site.get("/");
    }
    let seen = backend.requests.lock().unwrap();
    let ids: Vec<&str> = seen.iter().filter_map(|m| m.header("request-id")).collect();
    assert_eq!((ids.len(), ids[0]), (21, "mine-1"));
    assert_eq!(
        ids.iter().collect::<std::collections::BTreeSet<_>>().len(),
        21
    );
}

#[test]
fn only_trusted_peers_are_believed_about_where_a_request_came_from() {
    let backend = always(ok("x"));
    let folder = Folder::new();
    let text = format!("trusted = [\"127.0.0.0/8\"]\n{}", pool(&[backend.address]));
    let site = Site::start_in(folder, &text);
    site.call(
        "GET / HTTP/1.1\r\nHost: a\r\nX-Forwarded-For: 9.9.9.9\r\nX-Forwarded-Proto: https\r\n\r\n",
    );
    let seen = backend.requests.lock().unwrap()[0].clone();
    assert_eq!(seen.header("x-forwarded-for"), Some("9.9.9.9, 127.0.0.1"));
    assert_eq!(seen.header("x-forwarded-proto"), Some("https"));
}

#[test]
fn what_failed_goes_again_only_as_method_and_class_allow() {
    // Each request is answered 500 once; what may be repeated reaches the backend that answers
    // well.
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
        let backend = Backend::start(|n, stream| {
            let bad = answer_of("500 Broken", "X-Own: 1\r\n", "the backend's own words");
            stream
                .write_all(if n == 0 { bad } else { ok("good") }.as_bytes())
                .is_ok()
        });
        let route = format!(
            "{}class = \"{class_of_route}\"\n{class}",
            pool(&[backend.address])
        );
        let site = Site::start(&route);
        let answer = site.call(&request);
        if repeated {
            assert_eq!(
                (answer.status(), backend.request_count()),
                (200, 2),
                "{class_of_route} {request}"
            );
        } else {
            assert_eq!(
                (answer.status(), backend.request_count()),
                (500, 1),
                "{class_of_route} {request}"
            );
            assert_eq!(answer.body, b"the backend's own words");
            assert_eq!(answer.header("x-own"), Some("1"));
            assert_eq!(
                answer.header("proxy-status"),
                Some("dewrun; received-status=500")
            );
        }
    }
}

#[test]
fn what_may_have_run_is_not_sent_again_and_what_did_not_is() {
    let reset = || Fault::ResetAfter(0, String::new()).start();
    let backends = [reset(), reset()];
    let site = Site::before(&backends.each_ref().map(|b| b.address));
    let answer = site.call(&post("", "x"));
    assert_eq!(
        (answer.status(), answer.header("proxy-status")),
        (502, Some("dewrun; error=connection_terminated"))
    );
    assert_eq!(backends[0].request_count() + backends[1].request_count(), 1);
    // No connection at all proves that nothing ran.
    let good = always(ok("good"));
    let site = Site::before(&[Fault::Refuse.start().address, good.address]);
    for _ in 0..5 {
        assert_eq!(site.call(&post("", "x")).status(), 200);
    }
    assert_eq!(good.request_count(), 5);
}

#[test]
fn a_backend_that_says_nothing_is_given_up_at_the_route_s_time_or_the_caller_s() {
    let backend = Fault::Silent.start();
    let site = Site::start(&format!(
        "{}timeout = \"900ms\"\n",
        pool(&[backend.address])
    ));
    for (header, least, most) in [("", 850, 5_000), ("Request-Timeout-Ms: 200\r\n", 150, 850)] {
        let asked = Instant::now();
        let answer = site.call(&post(header, "x"));
        let status = answer.header("proxy-status");
        assert_eq!(
            (answer.status(), status),
            (504, Some("dewrun; error=http_response_timeout"))
        );
        let took = asked.elapsed();
        assert!(
            took >= Duration::from_millis(least) && took < Duration::from_millis(most),
            "{took:?}"
        );
    }
}

#[test]
fn interim_answers_are_dropped_and_a_body_is_asked_for() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    let backend = always(format!("{interim}{}", ok("final")));
    let site = Site::before(&[backend.address]);
    let mut kept = Kept::open(site.address);
    let head = "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    kept.stream
        .write_all(head.as_bytes())
        .expect("it is written");
    assert_eq!(
        Message::read_head(&mut kept.reader)
            .expect("an answer")
            .status(),
        100
    );
    let answer = kept.ask("hello").expect("an answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"final"[..]));
    let seen = backend.requests.lock().unwrap()[0].clone();
    assert_eq!(
        (seen.header("expect"), &seen.body[..]),
        (None, &b"hello"[..])
    );
}

#[test]
fn a_body_that_nobody_wants_is_not_asked_for() {
    let site =
        Site::start(&pool(&[free_address()]).replace("[[route]]", "[[route]]\npath = \"/only\""));
    let mut stream = send_request(
        site.address,
        "POST /else HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
    );
    let mut all = String::new();
    let _ = stream.read_to_string(&mut all);
    assert!(all.starts_with("HTTP/1.1 404 "), "{all}");
}

#[test]
fn chunks_go_both_ways_and_trailers_end_here() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n";
    let backend = always(chunked.into());
    let site = Site::before(&[backend.address]);
    let mut kept = Kept::open(site.address);
    for _ in 0..3 {
        let request = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-T: 1\r\n\r\n";
        let answer = kept.ask(request).expect("an answer");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"hello"[..]));
        assert!(answer.header("trailer").is_none());
        rest();
    }
    for seen in backend.requests.lock().unwrap().iter() {
        assert_eq!(
            (seen.header("content-length"), &seen.body[..]),
            (Some("5"), &b"abcde"[..])
        );
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_caller_of_old_gets_a_whole_answer_and_its_end() {
    let backend = always(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n".into(),
    );
    let site = Site::before(&[backend.address]);
    let mut stream = send_request(site.address, "GET / HTTP/1.0\r\n\r\n");
    let mut all = String::new();
    stream.read_to_string(&mut all).expect("an answer");
    assert!(
        all.contains("200 OK") && all.ends_with("\r\n\r\nhello"),
        "{all}"
    );
    let seen = backend.requests.lock().unwrap()[0].clone();
    assert_eq!(seen.header("via"), Some("1.0 dewrun"));
    assert_eq!(
        seen.header("host"),
        Some(backend.address.to_string().as_str())
    );
}

#[test]
fn an_answer_that_ends_with_its_connection_is_passed_on() {
    let backend = Backend::start(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.0 200 OK\r\nContent-Type: text/html\r\n\r\nall there is");
        let _ = stream.shutdown(std::net::Shutdown::Both);
        false
    });
    let site = Site::before(&[backend.address]);
    let mut kept = Kept::open(site.address);
    for _ in 0..2 {
        assert_eq!(
            kept.ask(&get("/")).expect("an answer").body,
            b"all there is"
        );
    }
}

#[test]
fn upgrades_are_refused_clearly() {
    let backend = always(ok("x"));
    let site = Site::before(&[backend.address]);
    for request in [
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        "CONNECT a.example:443 HTTP/1.1\r\nHost: a.example:443\r\n\r\n",
    ] {
        let answer = site.call(request);
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (501, Some("close")),
            "{request}"
        );
        assert_eq!(
            answer.header("proxy-status"),
            Some("dewrun; error=http_request_error")
        );
    }
    assert_eq!(backend.request_count(), 0);
    let of_all = site.call("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!((of_all.status(), of_all.body.len()), (200, 0));
}

#[test]
fn routes_choose_by_host_path_method_and_header() {
    let backends = ["shop", "api", "beta", "rest"].map(|name| always(ok(name)));
    let mut text = String::new();
    for (name, backend) in ["shop", "api", "beta", "rest"].iter().zip(&backends) {
        text += &format!(
            "[[pool]]\nname = \"{name}\"\n{}\n",
            members(&[backend.address])
        );
    }
    text += "[[route]]\nhost = \"*.shop.example\"\npool = \"shop\"\n\
        [[route]]\npath = \"/api/{id}/*\"\nmethods = [\"GET\", \"POST\"]\npool = \"api\"\n\
        [[route]]\npath = \"/api/{id}/*\"\nmethods = [\"GET\"]\nheaders = { X-Beta = \"1\" }\npool = \"beta\"\n\
        [[route]]\npath = \"/rest\"\nmethods = [\"GET\"]\npool = \"rest\"\n";
    let site = Site::start(&text);
    let ask = |line: &str, host: &str, more: &str| {
        let answer = site.call(&format!("{line} HTTP/1.1\r\nHost: {host}\r\n{more}\r\n"));
        (
            answer.status(),
            String::from_utf8(answer.body.clone()).expect("text"),
            answer,
        )
    };
    assert_eq!(ask("GET /x", "www.Shop.example:80", "").1, "shop");
    assert_eq!(
        ask("GET http://www.shop.example/x", "WWW.shop.example", "").1,
        "shop"
    );
    assert_eq!(ask("GET /api/7/x", "a", "").1, "api");
    assert_eq!(ask("GET /api/7/x", "a", "X-Beta: 1\r\n").1, "beta");
    assert_eq!(ask("GET /api/7/x", "a", "X-Beta: 2\r\n").1, "api");
    assert_eq!(ask("GET /else/%2e%2e/rest", "a", "").1, "rest");
    assert_eq!(ask("GET /restful", "a", "").0, 404);
    let (status, _, answer) = ask("DELETE /rest", "a", "");
    assert_eq!((status, answer.header("allow")), (405, Some("GET")));
    assert_eq!(
        answer.header("proxy-status"),
        Some("dewrun; error=http_request_denied")
    );
    assert_eq!(backends[2].request_count(), 1);
}

#[test]
fn a_tenant_over_its_rate_is_refused_and_the_others_are_served() {
    // Slow enough that the calls of the tenant over its rate stand in each other's way for room to
    // borrow.
    let backend = Backend::start(|_, stream| {
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(ok("x").as_bytes()).is_ok()
    });
    let text = pool(&[backend.address])
        + "tenant = { header = \"X-Account\" }\n[[tenant]]\nname = \"small\"\nrate = 1\n[[tenant]]\nname = \"large\"\n";
    let site = Site::start(&text);
    let ask = |tenant: &str| {
        let request = format!("GET / HTTP/1.1\r\nHost: a\r\nX-Account: {tenant}\r\n\r\n");
        let mut callers: Vec<TcpStream> = (0..30)
            .map(|_| send_request(site.address, &request))
            .collect();
        let statuses: Vec<u16> = callers
            .iter_mut()
            .map(|caller| read_response(caller).expect("an answer").status())
            .collect();
        assert!(
            statuses.iter().all(|s| [200, 503].contains(s)),
            "{statuses:?}"
        );
        statuses.iter().filter(|s| **s == 200).count()
    };
    assert_eq!((ask("large"), ask("nobody known")), (30, 30));
    assert!(ask("small") < 20, "most are over the rate");
    assert_eq!(ask("large"), 30);
}

#[test]
fn a_final_answer_before_the_whole_request_was_read_is_passed_on() {
    let early = answer_of("413 Too Large", "Connection: close\r\n", "no more, please");
    let backend = Fault::Early(early).start();
    let site = Site::before(&[backend.address]);
    let mut stream = send_request(
        site.address,
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\nonly the beginning of it",
    );
    let answer = read_response(&stream).expect("an answer");
    assert_eq!(
        (answer.status(), &answer.body[..]),
        (413, &b"no more, please"[..])
    );
    // What follows on the connection can't be told from the body that was never sent.
    assert!(matches!(stream.read(&mut [0; 16]), Ok(0) | Err(_)));
}

#[test]
fn requests_sent_ahead_have_their_own_time() {
    // The first takes longer than a request may; the second came with it and is asked after it.
    let backend = Backend::start(|n, stream| {
        std::thread::sleep(Duration::from_millis(if n == 0 { 700 } else { 0 }));
        stream.write_all(ok(&n.to_string()).as_bytes()).is_ok()
    });
    let text = pool(&[backend.address])
        + "timeout = \"500ms\"\n[[route]]\npath = \"/slow\"\npool = \"main\"\n";
    let site = Site::start(&text);
    let mut kept = Kept::open(site.address);
    let first = kept
        .ask(&(get("/slow") + &get("/fast") + &get("/fast")))
        .expect("an answer");
    assert_eq!(first.body, b"0");
    for wanted in [b"1", b"2"] {
        let next = Message::read(&mut kept.reader).expect("an answer");
        assert_eq!((next.status(), &next.body[..]), (200, &wanted[..]));
    }
}

fn path_of(request: &Message) -> &str {
    request.head.split(' ').nth(1).expect("a path")
}

/// Guards against answers of a reused connection that belong to an earlier request.
#[test]
fn a_member_that_answered_twice_gets_one_request_a_connection() {
    let number = AtomicUsize::new(0);
    let backend = Backend::start_unrecorded(move |message, stream| {
        let text = ok(path_of(&message));
        let copies = if number.fetch_add(1, Ordering::SeqCst) == 2 {
            2
        } else {
            1
        };
        stream.write_all(text.repeat(copies).as_bytes()).is_ok()
    });
    let site = Site::before(&[backend.address]);
    for (request, expected) in [(0, 1), (1, 1), (2, 1), (3, 2), (4, 3)] {
        let path = format!("/{request}");
        let answer = site.get(&path);
        assert_eq!(
            (answer.status(), &answer.body[..]),
            (200, path.as_bytes()),
            "request {request}"
        );
        let connections = backend.connections.load(Ordering::SeqCst);
        assert_eq!(connections, expected, "after request {request}");
        // A connection rests before it is used again.
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(site.daemon.logged("bytes that no request asked for"), 1);
}

/// A server may say why it closes an idle connection (408): it has not answered twice.
#[test]
fn a_last_word_on_an_idle_connection_is_no_second_answer() {
    let number = AtomicUsize::new(0);
    let backend = Backend::start_unrecorded(move |message, stream| {
        let is_last = number.fetch_add(1, Ordering::SeqCst) == 0;
        if stream.write_all(ok(path_of(&message)).as_bytes()).is_err() {
            return false;
        }
        if is_last {
            thread::sleep(Duration::from_millis(50));
            let _ = stream.write_all(answer_of("408 Request Timeout", "", "").as_bytes());
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        !is_last
    });
    let site = Site::before(&[backend.address]);
    for (request, expected) in [(0, 1), (1, 2), (2, 2), (3, 2)] {
        let path = format!("/{request}");
        assert_eq!(site.get(&path).body, path.as_bytes(), "request {request}");
        let connections = backend.connections.load(Ordering::SeqCst);
        assert_eq!(connections, expected, "after request {request}");
        thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(site.daemon.logged("bytes that no request asked for"), 0);
}
