//! End-to-end tests of the platform's proxy over loopback sockets.

mod disconnects;
mod early_responses;
mod hostile;
mod malformed;
mod memory;
mod request_ids;
mod response_ends;
mod service;
mod slow_readers;
use dewrun_test_support::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// Starts a proxy whose discovery service lists the given endpoints as `b0`, `b1` and so on.
fn proxy_for(endpoints: &[&Backend]) -> (Proxy, Discovery) {
    let names = endpoints
        .iter()
        .enumerate()
        .map(|(i, b)| entry(&format!("b{i}"), b.address, "ready"));
    let discovery = Discovery::start(Some(list(5, true, &names.collect::<Vec<_>>())));
    (
        Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[]))),
        discovery,
    )
}

#[test]
fn forwards_requests_and_responses_unchanged_over_one_reused_connection() {
    let endpoint = Backend::with_response(OK);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    for (class, body) in [
        ("read", ""),
        ("keyed", "pay \0 load"),
        ("once", "x"),
        ("read", ""),
    ] {
        let response = proxy.call(&request_text(class, "9b1f03aa5c7e2d41", 8_000, body));
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, &b"hello"[..]),
            "{class}"
        );
        let seen = endpoint
            .requests
            .lock()
            .unwrap()
            .last()
            .expect("a request")
            .clone();
        let method = if class == "read" { "GET" } else { "POST" };
        assert!(
            seen.head
                .starts_with(&format!("{method} /api/7f3a?q=1 HTTP/1.1\r\n")),
            "{}",
            seen.head
        );
        assert_eq!(seen.body, body.as_bytes());
        assert_eq!(seen.header("request-id"), Some("9b1f03aa5c7e2d41"));
        assert_eq!(
            seen.header("idempotency-key"),
            (class == "keyed").then_some("k1")
        );
        let left: u64 = seen
            .header("request-timeout-ms")
            .expect("a duration")
            .parse()
            .expect("whole milliseconds");
        assert!((1..=8_000).contains(&left), "{left}");
    }
    assert_eq!(
        endpoint.connections.load(Ordering::SeqCst),
        1,
        "the connection is reused"
    );
}

#[test]
fn a_once_request_that_may_have_been_executed_is_neither_retried_nor_rejected() {
    // The connection closes after the complete request, so the request may have been executed.
    let endpoint = Backend::start(|_, _| false);
    let (proxy, _discovery) = proxy_for(&[&endpoint, &Backend::start(|_, _| false)]);
    let response = proxy.call(&request_text("once", "a1", 8_000, "x"));
    assert_eq!(response.status(), 502);
    assert!(endpoint.request_count() <= 1);
}

#[test]
fn a_request_that_was_never_executed_is_retried_on_another_endpoint() {
    let dead = free_address();
    let rejecting =
        Backend::with_response("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    let good = Backend::with_response(OK);
    let names = [
        ("dead", dead),
        ("full", rejecting.address),
        ("good", good.address),
    ];
    let discovery = Discovery::start(Some(list(
        5,
        true,
        &names.map(|(n, a)| entry(n, a, "ready")),
    )));
    let proxy = Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[])));
    // Five requests need no more retries than the initial retry budget of a new proxy allows.
    for n in 0..5 {
        assert_eq!(
            proxy
                .call(&request_text("once", &format!("c{n}"), 8_000, "x"))
                .status(),
            200
        );
    }
    assert_eq!(good.request_count(), 5, "each was executed once");
}

#[test]
fn a_pooled_connection_that_the_endpoint_closed_is_not_reused() {
    let endpoint = Backend::start(|_, stream| {
        stream
            .write_all(OK.as_bytes())
            .expect("the response is written");
        false
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    for n in 0..20 {
        assert_eq!(
            proxy
                .call(&request_text("once", &format!("d{n}"), 8_000, "x"))
                .status(),
            200,
            "request {n}"
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(endpoint.request_count(), 20);
}

#[test]
fn malformed_responses_are_never_forwarded() {
    let endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    for text in [
        endless,
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        "nonsense\r\n\r\n",
    ] {
        let endpoint = Backend::start(move |_, stream| {
            let _ = stream.write_all(text.as_bytes());
            false
        });
        let (mut proxy, _discovery) = proxy_for(&[&endpoint]);
        let response = proxy.call(&request_text("once", "e1", 8_000, "x"));
        assert_eq!(response.status(), 502, "{:.40}", text);
        assert!(proxy.is_running());
    }
}

#[test]
fn a_64_kib_body_is_forwarded_complete_in_both_directions() {
    let endpoint = Backend::start(|_, stream| {
        stream
            .write_all(ok(&"y".repeat(64 * 1024)).as_bytes())
            .is_ok()
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let response = proxy.call(&request_text("keyed", "f1", 8_000, &"x".repeat(64 * 1024)));
    assert_eq!((response.status(), response.body.len()), (200, 64 * 1024));
    assert_eq!(endpoint.requests.lock().unwrap()[0].body.len(), 64 * 1024);
}

#[test]
fn an_attempt_that_times_out_closes_its_connection_and_fails_at_the_deadline() {
    let endpoint = Backend::start(|_, _| true);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let sent_at = Instant::now();
    let response = proxy.call(&request_text("once", "g1", 600, "x"));
    assert_eq!(response.status(), 502);
    assert!(
        sent_at.elapsed() >= Duration::from_millis(550),
        "the attempt lasts until the deadline"
    );
    until("the attempt's connection is closed", || {
        endpoint.closed.load(Ordering::SeqCst) == 1
    });
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn a_timeout_also_closes_the_idle_connections_to_that_endpoint() {
    // A disconnected machine never closes its connections, so each reuse would cost another timeout.
    let endpoint = Backend::start(|n, stream| {
        if n < 2 {
            thread::sleep(Duration::from_millis(500));
            return stream.write_all(OK.as_bytes()).is_ok();
        }
        true
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let both =
        ["p1", "p2"].map(|id| send_request(proxy.address, &request_text("once", id, 20_000, "x")));
    both.iter()
        .for_each(|client| assert_eq!(read_response(client).expect("a response").status(), 200));
    assert_eq!(endpoint.connections.load(Ordering::SeqCst), 2);
    assert_eq!(
        proxy.call(&request_text("once", "p3", 600, "x")).status(),
        502
    );
    until("both connections are closed", || {
        endpoint.closed.load(Ordering::SeqCst) == 2
    });
}

#[test]
fn no_attempt_starts_after_the_client_disconnected() {
    let endpoint = Backend::start(|_, _| true);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let client = send_request(proxy.address, &request_text("read", "h1", 20_000, ""));
    until("the request is in flight", || endpoint.request_count() == 1);
    drop(client);
    until("the attempt is cancelled", || {
        endpoint.closed.load(Ordering::SeqCst) == 1
    });
    thread::sleep(Duration::from_millis(300));
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn an_attempt_that_waits_for_a_connection_sends_nothing_once_the_endpoint_drains() {
    use socket2::{Domain, Socket, Type};
    // The accept queue has room for one connection, so the next one is not established.
    let slow = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    slow.bind(
        &"127.0.0.1:0"
            .parse::<std::net::SocketAddr>()
            .unwrap()
            .into(),
    )
    .expect("a port");
    slow.listen(0).expect("it listens");
    // The timeout applies to accept() as well.
    slow.set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout");
    let address = slow.local_addr().unwrap().as_socket().unwrap();
    let filler = TcpStream::connect(address).expect("the queue is empty");
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", address, "ready")])));
    let proxy = Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[])));
    let client = send_request(proxy.address, &request_text("read", "i1", 20_000, ""));
    thread::sleep(Duration::from_millis(300));
    discovery.send(&list(6, false, &[entry("b0", address, "draining")]));
    thread::sleep(Duration::from_millis(600));
    drop(slow.accept().expect("the filler"));
    drop(filler);
    // The kernel retransmits the SYN, and the connection is established now.
    let (late, _) = slow.accept().expect("the proxy's connection");
    late.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    (&late)
        .read_to_end(&mut bytes)
        .expect("the connection is closed without a reset");
    assert_eq!(bytes, b"", "no bytes are written to the connection");
    assert_eq!(read_response(&client).expect("a response").status(), 503);
}

#[test]
fn a_watch_that_ends_or_is_malformed_resumes_at_its_last_version() {
    let (first, second, third) = (
        Backend::with_response(OK),
        Backend::with_response(OK),
        Backend::with_response(OK),
    );
    let (proxy, discovery) = proxy_for(&[&first]);
    let call = |id: &str| {
        assert_eq!(
            proxy.call(&request_text("read", id, 8_000, "")).status(),
            200
        )
    };
    call("j1");
    // An endpoint that is absent from the next snapshot is removed.
    discovery.set(list(7, true, &[entry("b1", second.address, "ready")]));
    discovery.close_watches();
    until("the watch is reopened", || {
        discovery.requests.lock().unwrap().len() == 2
    });
    assert!(discovery.requests.lock().unwrap()[1].contains("index=5"));
    until("the new list is in use", || {
        call("j2");
        second.request_count() > 0
    });
    let seen = first.request_count();
    discovery.set(list(9, true, &[entry("b1", third.address, "ready")]));
    discovery.send("{\"index\":8,\"snapshot\":fal");
    until("the watch is reopened", || {
        discovery.requests.lock().unwrap().len() == 3
    });
    assert!(discovery.requests.lock().unwrap()[2].contains("index=7"));
    // The name moves to another address, so the pooled connection to the old one must not be reused.
    until("the new address is in use", || {
        call("j3");
        third.request_count() > 0
    });
    let old = second.request_count();
    (0..10).for_each(|_| call("j4"));
    assert_eq!(
        (first.request_count(), second.request_count()),
        (seen, old),
        "no request goes to an outdated address"
    );
}

#[test]
fn a_silent_watch_is_reopened() {
    let endpoint = Backend::with_response(OK);
    let (_proxy, discovery) = proxy_for(&[&endpoint]);
    discovery.stop_heartbeats();
    until("the watch is reopened", || {
        discovery.requests.lock().unwrap().len() >= 2
    });
}

#[test]
fn a_proxy_serves_its_configured_endpoints_while_discovery_is_silent() {
    let endpoint = Backend::with_response(OK);
    let discovery = Discovery::start(None);
    let known = list(4, true, &[entry("b0", endpoint.address, "ready")]);
    let proxy = Proxy::start(DEWRUN, &config(discovery.address, &known));
    assert_eq!(
        proxy.call(&request_text("read", "k1", 8_000, "")).status(),
        200
    );
}

#[test]
fn a_reload_moves_the_watch_and_keeps_the_old_list_until_a_new_one_arrives() {
    // Guards against a SIGHUP that ends the process.
    let (first, second) = (Backend::with_response(OK), Backend::with_response(OK));
    let old = Discovery::start(Some(list(50, true, &[entry("b0", first.address, "ready")])));
    let silent = Discovery::start(None);
    let new = Discovery::start(Some(list(3, true, &[entry("b1", second.address, "ready")])));
    let line = format!("NODE_DISCOVERY={} exec \"$0\"", old.address);
    let mut proxy = Proxy::start_by(DEWRUN, &line, &config(silent.address, &list(0, true, &[])));
    let call = |proxy: &Proxy| proxy.call(&request_text("read", "s1", 8_000, "")).status();
    assert_eq!(
        call(&proxy),
        200,
        "the environment takes precedence at the start"
    );
    proxy.reload("{ \"discovery\":");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        (call(&proxy), proxy.is_running()),
        (200, true),
        "an unreadable file changes nothing"
    );
    proxy.reload(&config(silent.address, &list(0, true, &[])));
    until("the new address is queried for a snapshot", || {
        !silent.requests.lock().unwrap().is_empty()
    });
    assert_eq!(
        silent.requests.lock().unwrap()[0],
        "GET /discovery/hosts HTTP/1.1"
    );
    assert_eq!(call(&proxy), 200, "the old list stays in use");
    assert_eq!(second.request_count(), 0);
    proxy.reload(&config(new.address, &list(0, true, &[])));
    until("the new list is in use", || {
        assert_eq!(call(&proxy), 200);
        second.request_count() > 0
    });
    until("the watch continues from the snapshot", || {
        new.requests
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.contains("stream=1&index=3"))
    });
    let seen = first.request_count();
    (0..10).for_each(|_| assert_eq!(call(&proxy), 200));
    assert_eq!(
        first.request_count(),
        seen,
        "endpoints absent from the new list get no requests"
    );
}

#[test]
fn a_graceful_shutdown_answers_every_accepted_request() {
    let endpoint = Backend::start(|n, stream| {
        if n == 1 {
            thread::sleep(Duration::from_millis(2_500));
        }
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, _discovery) = proxy_for(&[&endpoint]);
    let idle = send_request(proxy.address, &request_text("read", "l0", 10_000, ""));
    assert_eq!(read_response(&idle).expect("a response").status(), 200);
    let slow = send_request(proxy.address, &request_text("once", "l1", 10_000, "x"));
    until("the request is in flight", || endpoint.request_count() == 2);
    proxy.terminate();
    thread::sleep(Duration::from_millis(800));
    // Closing idle connections at once sent their clients to other proxies that were shutting down
    // as well.
    (&idle)
        .write_all(request_text("read", "l2", 10_000, "").as_bytes())
        .expect("the connection is open");
    let late = read_response(&idle).expect("clients are served on existing connections");
    assert_eq!((late.status(), late.header("connection")), (200, None));
    let response = read_response(&slow).expect("a response");
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, Some("close"))
    );
    assert!(
        read_response(&idle).is_none(),
        "an idle connection is closed"
    );
    assert!(proxy.wait().success());
}

/// Guards against lost requests when SIGINT arrives first or during a shutdown.
#[test]
fn sigint_shuts_down_gracefully_and_further_signals_change_nothing() {
    let endpoint = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(700));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    for signals in [["-INT", "-TERM"], ["-TERM", "-INT"], ["-TERM", "-HUP"]] {
        let (mut proxy, _discovery) = proxy_for(&[&endpoint]);
        let seen = endpoint.request_count();
        let slow = send_request(proxy.address, &request_text("once", "i1", 10_000, "x"));
        until("the request is in flight", || {
            endpoint.request_count() > seen
        });
        for signal in signals {
            proxy.signal(signal);
            thread::sleep(Duration::from_millis(100));
        }
        let response = read_response(&slow);
        assert_eq!(
            response.map(|response| response.status()),
            Some(200),
            "{signals:?}"
        );
        assert!(proxy.wait().success(), "{signals:?}");
    }
}

#[test]
fn a_graceful_shutdown_serves_a_request_whose_head_completes_late() {
    // Guards against the timeout for incomplete heads cutting off a request whose head has been
    // completed meanwhile.
    let endpoint = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(2_000));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let request = request_text("read", "q1", 10_000, "");
    let (first, rest) = request.split_at(30);
    let mut client = send_request(proxy.address, first);
    proxy.terminate();
    thread::sleep(Duration::from_millis(1_000));
    client
        .write_all(rest.as_bytes())
        .expect("the rest is written");
    assert!(read_response(&client).is_some(), "the request was accepted");
}

#[test]
fn a_graceful_shutdown_fails_requests_that_cannot_finish() {
    let endpoint = Backend::start(|_, _| true);
    let (mut proxy, _discovery) = proxy_for(&[&endpoint]);
    let stuck = send_request(proxy.address, &request_text("once", "m1", 20_000, "x"));
    until("the request is in flight", || endpoint.request_count() == 1);
    proxy.terminate();
    assert_eq!(
        read_response(&stuck)
            .expect("a response before the process could be killed")
            .status(),
        502
    );
    assert!(proxy.wait().success());
}

#[test]
fn invalid_requests_are_rejected_at_once_and_never_forwarded() {
    let endpoint = Backend::with_response(OK);
    let (mut proxy, _discovery) = proxy_for(&[&endpoint]);
    let good = request_text("keyed", "n1", 8_000, "body");
    assert_eq!(proxy.call(&good).status(), 200);
    let bad = [
        good.replace("Class: keyed", "Class: unheard"),
        good.replace("Request-Class: keyed\r\n", ""),
        good.replace("Tenant: acme", "Tenant: nobody"),
        good.replace("Tenant: acme\r\n", ""),
        good.replace("Request-Id: n1\r\n", ""),
        good.replace("Request-Id: n1", "Request-Id: n 1"),
        good.replace("Request-Id: n1", "Request-Id: n1\r\nRequest-Id: n2"),
        good.replace("Timeout-Ms: 8000", "Timeout-Ms: soon"),
        good.replace("Timeout-Ms: 8000", "Timeout-Ms: -1"),
        good.replace("Timeout-Ms: 8000", "Timeout-Ms: 99999999999999999999"),
        good.replace("Request-Timeout-Ms: 8000\r\n", ""),
        good.replace("Idempotency-Key: k1\r\n", ""),
        good.replace("POST", "GET"),
        good.replace("Length: 4", "Length: 70000"),
        good.replace("Length: 4", "Length: four"),
        good.replace("Content-Length: 4", "Transfer-Encoding: chunked"),
        "nonsense\r\n\r\n".to_string(),
    ];
    for request in bad {
        let status = proxy.call(&request).status();
        assert!(
            (400..500).contains(&status) && status != 429,
            "{status} for {request}"
        );
    }
    let chopped = send_request(proxy.address, &good[..good.len() - 2]);
    chopped.shutdown(Shutdown::Write).expect("it ends");
    assert!(read_response(&chopped).is_none_or(|m| (400..500).contains(&m.status())));
    assert!(proxy.is_running());
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn idle_connections_are_closed_when_descriptors_run_out() {
    let endpoint = Backend::with_response(OK);
    let discovery = Discovery::start(Some(list(
        5,
        true,
        &[entry("b0", endpoint.address, "ready")],
    )));
    let config = config(discovery.address, &list(0, true, &[]));
    // The configuration allows far more sockets than the process may open.
    let mut proxy = Proxy::start_by(DEWRUN, "ulimit -n 48; exec \"$0\"", &config);
    let idle: Vec<TcpStream> = (0..120)
        .map(|_| send_request(proxy.address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n"))
        .collect();
    assert_eq!(
        proxy.call(&request_text("read", "o1", 20_000, "")).status(),
        200
    );
    assert!(proxy.is_running());
    drop(idle);
}

#[test]
fn a_failed_start_logs_its_reason_in_one_line() {
    let (taken, address) = listen();
    let (free, other) = listen();
    drop(free);
    let good = config(address, &list(0, true, &[]));
    let cases = [
        (good.clone(), address, "address"),
        (
            good.replace("\"Aim\":2000", "\"Aim\":0"),
            other,
            "Classes[0].Aim",
        ),
        (
            good.replace("\"seed\":\"8c", "\"seed\":\"xx"),
            other,
            "seed",
        ),
        (good[..40].to_string(), other, "EOF"),
    ];
    for (config, listen, names) in cases {
        let output = spawn(DEWRUN, "exec \"$0\"", &config, listen)
            .0
            .output()
            .expect("it runs");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success());
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.to_lowercase().contains(&names.to_lowercase()), "{log}");
    }
    let missing = spawn(DEWRUN, "unset NODE_CONFIG; exec \"$0\"", &good, other)
        .0
        .output()
        .expect("it runs");
    assert!(!missing.status.success());
    assert_eq!(missing.stderr, b"dewrun: NODE_CONFIG is not set\n");
    drop(taken);
}

#[test]
fn a_rejection_is_immediate_and_carries_retry_after() {
    let (proxy, _discovery) = proxy_for(&[]);
    let sent_at = Instant::now();
    let response = proxy.call(&request_text("read", "r1", 20_000, ""));
    assert_eq!(response.status(), 503);
    let after: f64 = response
        .header("retry-after")
        .expect("a duration")
        .parse()
        .expect("seconds");
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert!(
        sent_at.elapsed() < Duration::from_secs(10),
        "a final response is never delayed"
    );
}
