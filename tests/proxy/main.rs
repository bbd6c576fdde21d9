//! The real proxy over loopback sockets: one test for each promise that a failure once broke or
//! could break.

mod hostile;
mod service;
use dewrun_test_support::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// A proxy whose discovery lists these backends as `b0`, `b1` and so on.
fn before(backends: &[&Backend]) -> (Proxy, Discovery) {
    let names = backends
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
fn passes_requests_and_answers_on_unchanged_over_one_kept_connection() {
    let backend = Backend::with_response(OK);
    let (proxy, _discovery) = before(&[&backend]);
    for (class, body) in [
        ("read", ""),
        ("keyed", "pay \0 load"),
        ("once", "x"),
        ("read", ""),
    ] {
        let reply = proxy.call(&request_text(class, "9b1f03aa5c7e2d41", 8_000, body));
        assert_eq!(
            (reply.status(), &reply.body[..]),
            (200, &b"hello"[..]),
            "{class}"
        );
        let seen = backend
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
            .expect("a time")
            .parse()
            .expect("whole milliseconds");
        assert!((1..=8_000).contains(&left), "{left}");
    }
    assert_eq!(
        backend.connections.load(Ordering::SeqCst),
        1,
        "the connection is kept and used again"
    );
}

#[test]
fn what_may_have_run_once_is_never_sent_again_nor_refused() {
    // The connection ends after the whole request: it may have run.
    let backend = Backend::start(|_, _| false);
    let (proxy, _discovery) = before(&[&backend, &Backend::start(|_, _| false)]);
    let reply = proxy.call(&request_text("once", "a1", 8_000, "x"));
    assert_eq!(reply.status(), 502);
    assert!(backend.request_count() <= 1);
}

#[test]
fn what_never_ran_goes_to_another_backend() {
    let (listener, dead) = listen();
    drop(listener);
    let unwilling =
        Backend::with_response("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    let good = Backend::with_response(OK);
    let names = [
        ("dead", dead),
        ("full", unwilling.address),
        ("good", good.address),
    ];
    let discovery = Discovery::start(Some(list(
        5,
        true,
        &names.map(|(n, a)| entry(n, a, "ready")),
    )));
    let proxy = Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[])));
    // No more than the repeats that a fresh proxy has saved up may be needed.
    for n in 0..5 {
        assert_eq!(
            proxy
                .call(&request_text("once", &format!("c{n}"), 8_000, "x"))
                .status(),
            200
        );
    }
    assert_eq!(good.request_count(), 5, "each took effect once");
}

#[test]
fn a_connection_that_died_in_the_pool_is_not_written_to() {
    let backend = Backend::start(|_, stream| {
        stream
            .write_all(OK.as_bytes())
            .expect("the answer is written");
        false
    });
    let (proxy, _discovery) = before(&[&backend]);
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
    assert_eq!(backend.request_count(), 20);
}

#[test]
fn broken_answers_are_never_served() {
    let endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    for text in [
        endless,
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        "nonsense\r\n\r\n",
    ] {
        let backend = Backend::start(move |_, stream| {
            let _ = stream.write_all(text.as_bytes());
            false
        });
        let (mut proxy, _discovery) = before(&[&backend]);
        let reply = proxy.call(&request_text("once", "e1", 8_000, "x"));
        assert_eq!(reply.status(), 502, "{:.40}", text);
        assert!(proxy.is_running());
    }
}

#[test]
fn the_largest_body_goes_through_whole_both_ways() {
    let backend = Backend::start(|_, stream| {
        stream
            .write_all(ok(&"y".repeat(64 * 1024)).as_bytes())
            .is_ok()
    });
    let (proxy, _discovery) = before(&[&backend]);
    let reply = proxy.call(&request_text("keyed", "f1", 8_000, &"x".repeat(64 * 1024)));
    assert_eq!((reply.status(), reply.body.len()), (200, 64 * 1024));
    assert_eq!(backend.requests.lock().unwrap()[0].body.len(), 64 * 1024);
}

#[test]
fn an_attempt_given_up_closes_its_connection_and_is_answered_at_the_deadline() {
    let backend = Backend::start(|_, _| true);
    let (proxy, _discovery) = before(&[&backend]);
    let asked = Instant::now();
    let reply = proxy.call(&request_text("once", "g1", 600, "x"));
    assert_eq!(reply.status(), 502);
    assert!(
        asked.elapsed() >= Duration::from_millis(550),
        "the whole time was waited"
    );
    until("the attempt's connection is closed", || {
        backend.closed.load(Ordering::SeqCst) == 1
    });
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn a_time_out_closes_the_idle_connections_to_that_backend_too() {
    // A machine that was cut off never closes them; each would cost another time-out.
    let backend = Backend::start(|n, stream| {
        if n < 2 {
            thread::sleep(Duration::from_millis(500));
            return stream.write_all(OK.as_bytes()).is_ok();
        }
        true
    });
    let (proxy, _discovery) = before(&[&backend]);
    let both =
        ["p1", "p2"].map(|id| send_request(proxy.address, &request_text("once", id, 20_000, "x")));
    both.iter()
        .for_each(|caller| assert_eq!(read_response(caller).expect("an answer").status(), 200));
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
    assert_eq!(
        proxy.call(&request_text("once", "p3", 600, "x")).status(),
        502
    );
    until("both connections are closed", || {
        backend.closed.load(Ordering::SeqCst) == 2
    });
}

#[test]
fn nothing_more_is_sent_for_a_caller_that_left() {
    let backend = Backend::start(|_, _| true);
    let (proxy, _discovery) = before(&[&backend]);
    let caller = send_request(proxy.address, &request_text("read", "h1", 20_000, ""));
    until("the request is out", || backend.request_count() == 1);
    drop(caller);
    until("the attempt is given up", || {
        backend.closed.load(Ordering::SeqCst) == 1
    });
    thread::sleep(Duration::from_millis(300));
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn a_send_that_waits_for_a_connection_does_not_start_after_a_drain() {
    use socket2::{Domain, Socket, Type};
    // Room for one connection that nobody accepts: the next one does not come up.
    let slow = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    slow.bind(
        &"127.0.0.1:0"
            .parse::<std::net::SocketAddr>()
            .unwrap()
            .into(),
    )
    .expect("a port");
    slow.listen(0).expect("it listens");
    // It holds for accepting too.
    slow.set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a time limit");
    let address = slow.local_addr().unwrap().as_socket().unwrap();
    let filler = TcpStream::connect(address).expect("the queue is empty");
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", address, "ready")])));
    let proxy = Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[])));
    let caller = send_request(proxy.address, &request_text("read", "i1", 20_000, ""));
    thread::sleep(Duration::from_millis(300));
    discovery.send(&list(6, false, &[entry("b0", address, "draining")]));
    thread::sleep(Duration::from_millis(600));
    drop(slow.accept().expect("the filler"));
    drop(filler);
    // The system tries the connection again by itself, and now it comes up.
    let (late, _) = slow.accept().expect("the proxy's connection");
    late.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    (&late)
        .read_to_end(&mut bytes)
        .expect("it is closed in order");
    assert_eq!(bytes, b"", "nothing may be written to it");
    assert_eq!(read_response(&caller).expect("an answer").status(), 503);
}

#[test]
fn a_watch_that_ends_or_is_garbled_is_opened_again_from_where_it_stood() {
    let (first, second, third) = (
        Backend::with_response(OK),
        Backend::with_response(OK),
        Backend::with_response(OK),
    );
    let (proxy, discovery) = before(&[&first]);
    let call = |id: &str| {
        assert_eq!(
            proxy.call(&request_text("read", id, 8_000, "")).status(),
            200
        )
    };
    call("j1");
    // Absent from the next whole list: gone.
    discovery.set(list(7, true, &[entry("b1", second.address, "ready")]));
    discovery.close_watches();
    until("the watch is opened again", || {
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
    until("the watch is opened again", || {
        discovery.requests.lock().unwrap().len() == 3
    });
    assert!(discovery.requests.lock().unwrap()[2].contains("index=7"));
    // The same name at another address: the pooled connection to the old one is of no use.
    until("the new address is in use", || {
        call("j3");
        third.request_count() > 0
    });
    let old = second.request_count();
    (0..10).for_each(|_| call("j4"));
    assert_eq!(
        (first.request_count(), second.request_count()),
        (seen, old),
        "nothing goes to where a backend no longer is"
    );
}

#[test]
fn a_silent_watch_is_opened_again() {
    let backend = Backend::with_response(OK);
    let (_proxy, discovery) = before(&[&backend]);
    discovery.stop_heartbeats();
    until("the watch is opened again", || {
        discovery.requests.lock().unwrap().len() >= 2
    });
}

#[test]
fn a_silent_discovery_does_not_keep_a_proxy_from_serving_what_it_knows() {
    let backend = Backend::with_response(OK);
    let discovery = Discovery::start(None);
    let known = list(4, true, &[entry("b0", backend.address, "ready")]);
    let proxy = Proxy::start(DEWRUN, &config(discovery.address, &known));
    assert_eq!(
        proxy.call(&request_text("read", "k1", 8_000, "")).status(),
        200
    );
}

#[test]
fn a_reload_moves_the_watch_and_keeps_the_old_list_until_the_new_one_is_told() {
    // SIGHUP once ended the program.
    let (first, second) = (Backend::with_response(OK), Backend::with_response(OK));
    let old = Discovery::start(Some(list(50, true, &[entry("b0", first.address, "ready")])));
    let silent = Discovery::start(None);
    let new = Discovery::start(Some(list(3, true, &[entry("b1", second.address, "ready")])));
    let line = format!("NODE_DISCOVERY={} exec \"$0\"", old.address);
    let mut proxy = Proxy::start_by(DEWRUN, &line, &config(silent.address, &list(0, true, &[])));
    let call = |proxy: &Proxy| proxy.call(&request_text("read", "s1", 8_000, "")).status();
    assert_eq!(call(&proxy), 200, "at the start the environment goes first");
    proxy.reload("{ \"discovery\":");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        (call(&proxy), proxy.is_running()),
        (200, true),
        "a file that can't be read changes nothing"
    );
    proxy.reload(&config(silent.address, &list(0, true, &[])));
    until("the new address is asked for the whole list", || {
        !silent.requests.lock().unwrap().is_empty()
    });
    assert_eq!(
        silent.requests.lock().unwrap()[0],
        "GET /discovery/hosts HTTP/1.1"
    );
    assert_eq!(call(&proxy), 200, "the old list is kept");
    assert_eq!(second.request_count(), 0);
    proxy.reload(&config(new.address, &list(0, true, &[])));
    until("the new list is in use", || {
        assert_eq!(call(&proxy), 200);
        second.request_count() > 0
    });
    until("the watch goes on from there", || {
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
        "what the new list does not name is gone"
    );
}

#[test]
fn an_orderly_end_answers_all_that_was_taken() {
    let backend = Backend::start(|n, stream| {
        if n == 1 {
            thread::sleep(Duration::from_millis(2_500));
        }
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, _discovery) = before(&[&backend]);
    let idle = send_request(proxy.address, &request_text("read", "l0", 10_000, ""));
    assert_eq!(read_response(&idle).expect("an answer").status(), 200);
    let slow = send_request(proxy.address, &request_text("once", "l1", 10_000, "x"));
    until("the request is out", || backend.request_count() == 2);
    proxy.terminate();
    thread::sleep(Duration::from_millis(800));
    // Closing it at once sent its caller to other proxies, which were down as well.
    (&idle)
        .write_all(request_text("read", "l2", 10_000, "").as_bytes())
        .expect("it is open");
    let late = read_response(&idle).expect("callers are served on the connections they have");
    assert_eq!((late.status(), late.header("connection")), (200, None));
    let reply = read_response(&slow).expect("an answer");
    assert_eq!(
        (reply.status(), reply.header("connection")),
        (200, Some("close"))
    );
    assert!(
        read_response(&idle).is_none(),
        "an idle connection is closed"
    );
    assert!(proxy.wait().success());
}

/// Guards against requests that are lost at SIGINT, at first or during a shutdown.
#[test]
fn an_interrupt_is_an_orderly_end_too_and_further_signals_change_nothing() {
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(700));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    for signals in [["-INT", "-TERM"], ["-TERM", "-INT"], ["-TERM", "-HUP"]] {
        let (mut proxy, _discovery) = before(&[&backend]);
        let seen = backend.request_count();
        let slow = send_request(proxy.address, &request_text("once", "i1", 10_000, "x"));
        until("the request is out", || backend.request_count() > seen);
        for signal in signals {
            proxy.signal(signal);
            thread::sleep(Duration::from_millis(100));
        }
        let reply = read_response(&slow);
        assert_eq!(reply.map(|reply| reply.status()), Some(200), "{signals:?}");
        assert!(proxy.wait().success(), "{signals:?}");
    }
}

#[test]
fn an_orderly_end_serves_a_request_whose_head_ends_late() {
    // The wait for a head that never ends once cut off the request that it had become.
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(2_000));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = before(&[&backend]);
    let request = request_text("read", "q1", 10_000, "");
    let (first, rest) = request.split_at(30);
    let mut caller = send_request(proxy.address, first);
    proxy.terminate();
    thread::sleep(Duration::from_millis(1_000));
    caller
        .write_all(rest.as_bytes())
        .expect("the rest is written");
    assert!(read_response(&caller).is_some(), "the request was taken");
}

#[test]
fn an_orderly_end_fails_what_it_cannot_finish() {
    let backend = Backend::start(|_, _| true);
    let (mut proxy, _discovery) = before(&[&backend]);
    let stuck = send_request(proxy.address, &request_text("once", "m1", 20_000, "x"));
    until("the request is out", || backend.request_count() == 1);
    proxy.terminate();
    assert_eq!(
        read_response(&stuck)
            .expect("an answer before it could be killed")
            .status(),
        502
    );
    assert!(proxy.wait().success());
}

#[test]
fn bad_input_is_answered_at_once_and_never_sent_on() {
    let backend = Backend::with_response(OK);
    let (mut proxy, _discovery) = before(&[&backend]);
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
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn idle_connections_give_way_when_descriptors_run_out() {
    let backend = Backend::with_response(OK);
    let discovery = Discovery::start(Some(list(
        5,
        true,
        &[entry("b0", backend.address, "ready")],
    )));
    let config = config(discovery.address, &list(0, true, &[]));
    // The configuration speaks of far more than the system gives.
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
fn says_in_one_line_why_it_cannot_start() {
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
fn a_refusal_carries_the_time_to_come_back_at_once() {
    let (proxy, _discovery) = before(&[]);
    let asked = Instant::now();
    let reply = proxy.call(&request_text("read", "r1", 20_000, ""));
    assert_eq!(reply.status(), 503);
    let after: f64 = reply
        .header("retry-after")
        .expect("a time")
        .parse()
        .expect("seconds");
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert!(
        asked.elapsed() < Duration::from_secs(10),
        "a final answer is never held back"
    );
}
