//! Streaming of response and request bodies.

use super::*;
use std::io::{BufRead, Read};
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_response_is_streamed_to_the_client() {
    // The endpoint continues only after its first part has arrived at the client.
    for (head, first, second) in [
        (
            "Transfer-Encoding: chunked\r\n",
            "5\r\nfirst\r\n",
            "6\r\nsecond\r\n0\r\n\r\n",
        ),
        ("Content-Length: 200000\r\n", "first", ""),
    ] {
        let (arrived, goes_on) = mpsc::channel::<()>();
        let goes_on = Mutex::new(goes_on);
        let endpoint = Backend::start(move |_, stream| {
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{head}\r\n{first}").as_bytes());
            goes_on
                .lock()
                .unwrap()
                .recv_timeout(WAIT_TIMEOUT)
                .expect("the first part arrives");
            let rest = if second.is_empty() {
                "y".repeat(200_000 - 5)
            } else {
                second.to_string()
            };
            stream.write_all(rest.as_bytes()).is_ok()
        });
        let installation = Installation::with_members(&[endpoint.address]);
        let mut connection = Connection::open(installation.address);
        connection
            .stream
            .write_all(get("/").as_bytes())
            .expect("it is written");
        let head = Message::read_head(&mut connection.reader).expect("a head");
        let mut text = vec![0; if second.is_empty() { 5 } else { 10 }];
        connection
            .reader
            .read_exact(&mut text)
            .expect("the first part");
        assert!(String::from_utf8_lossy(&text).contains("first"));
        arrived.send(()).expect("the endpoint waits");
        if second.is_empty() {
            let mut rest = vec![0; 200_000 - 5];
            connection.reader.read_exact(&mut rest).expect("the rest");
            assert!(
                head.header("content-length") == Some("200000") && rest.iter().all(|b| *b == b'y')
            );
        } else {
            let mut rest = vec![0; second.len()];
            connection.reader.read_exact(&mut rest).expect("the rest");
            assert_eq!(rest, second.as_bytes());
        }
        // The connection can be reused for the next request.
        arrived.send(()).expect("the endpoint waits");
        assert_eq!(
            connection.send(&get("/")).expect("a response").status(),
            200
        );
    }
}

#[test]
fn a_client_that_stops_reading_blocks_no_other_and_takes_bounded_memory() {
    let endpoint = Large::start(1 << 30);
    let sent = endpoint.sent.clone();
    let installation = Installation::with_members(&[endpoint.address]);
    let mut stopped = send_request(installation.address, &get("/large"));
    stopped.read_exact(&mut [0; 1_000]).expect("a beginning");
    // Meanwhile 500 other requests are served on 50 concurrent connections.
    let served: usize = thread::scope(|scope| {
        let others: Vec<_> = (0..50)
            .map(|_| {
                scope.spawn(|| {
                    let mut connection = Connection::open(installation.address);
                    (0..10)
                        .filter(|_| {
                            connection
                                .send(&get("/"))
                                .is_some_and(|a| a.body == b"short")
                        })
                        .count()
                })
            })
            .collect();
        others
            .into_iter()
            .map(|other| other.join().expect("it ends"))
            .sum()
    });
    assert_eq!(served, 500);
    // The endpoint stalls after little more than the socket buffers hold.
    until("the endpoint waits", || {
        let before = sent.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(200));
        sent.load(Ordering::SeqCst) == before
    });
    assert!(
        sent.load(Ordering::SeqCst) < 64 << 20,
        "{} bytes",
        sent.load(Ordering::SeqCst)
    );
    assert!(
        installation.daemon.resident_kib() < 64 << 10,
        "{} KiB",
        installation.daemon.resident_kib()
    );
    // When the client reads again, it receives the buffered data.
    stopped.read_exact(&mut vec![0; 8 << 20]).expect("more");
    drop(stopped);
    until("the endpoint's connection is closed too", || {
        endpoint.broken.load(Ordering::SeqCst) == 1
    });
    assert_eq!(installation.get("/").status(), 200);
}

#[test]
fn a_large_response_that_is_truncated_is_truncated_for_the_client_and_never_retried() {
    for text in [
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{}",
            "x".repeat(100_000)
        ),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nnonsense\r\n".into(),
    ] {
        let endpoint = Fault::ResetAfter(text.len(), text).start();
        let installation = Installation::with_members(&[endpoint.address]);
        let mut stream = send_request(installation.address, &get("/"));
        let mut all = Vec::new();
        let ended = stream.read_to_end(&mut all);
        let text = String::from_utf8_lossy(&all);
        assert!(text.starts_with("HTTP/1.1 200 OK"), "{text:.100}");
        let whole = text.contains("\r\n0\r\n\r\n") || all.len() >= 300_000;
        assert!(!whole, "truncated: {} bytes, {ended:?}", all.len());
        assert_eq!(
            endpoint.request_count(),
            1,
            "there is no retry after the first byte"
        );
    }
}

#[test]
fn a_small_response_that_is_truncated_is_retried() {
    let endpoint = Backend::start(|n, stream| {
        let short = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal";
        stream
            .write_all(
                if n == 0 {
                    short.to_string()
                } else {
                    ok("whole")
                }
                .as_bytes(),
            )
            .is_ok()
            && n > 0
    });
    let installation = Installation::with_members(&[endpoint.address]);
    let response = installation.get("/");
    assert_eq!(
        (
            response.status(),
            &response.body[..],
            endpoint.request_count()
        ),
        (200, &b"whole"[..], 2)
    );
}

#[test]
fn a_response_with_an_ambiguous_length_is_a_failure() {
    for head in [
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    ] {
        let endpoint = endpoint_returning(format!("HTTP/1.1 200 OK\r\n{head}\r\nhello"));
        let installation = Installation::with_members(&[endpoint.address]);
        let response = installation.call(&post("", "x"));
        assert_eq!(
            (response.status(), endpoint.request_count()),
            (502, 1),
            "{head}"
        );
    }
}

#[test]
fn a_response_that_stalls_is_aborted_after_the_idle_timeout() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{}",
        "x".repeat(100_000)
    );
    let endpoint = Fault::Malformed(text).start();
    let installation = Installation::start(&format!(
        "[limits]\nanswer_idle = \"300ms\"\n{}",
        pool(&[endpoint.address])
    ));
    let mut stream = send_request(installation.address, &get("/"));
    let mut all = Vec::new();
    let begun = Instant::now();
    let _ = stream.read_to_end(&mut all);
    assert!(all.len() > 100_000 && all.len() < 300_000 && begun.elapsed() < WAIT_TIMEOUT / 2);
}

#[test]
fn a_large_body_is_streamed_completely_and_once() {
    let endpoint = endpoint_returning(ok("got it"));
    let installation = Installation::with_members(&[endpoint.address]);
    let body = "b".repeat(3 << 20);
    let mut connection = Connection::open(installation.address);
    for number in 0..2 {
        let response = connection.send(&post("", &body)).expect("a response");
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, &b"got it"[..])
        );
        let seen = endpoint.requests.lock().unwrap()[number].clone();
        assert!(seen.body == body.as_bytes() && seen.header("content-length") == Some("3145728"));
    }
    let mut chunked =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    for _ in 0..30 {
        chunked += &format!("{:x}\r\n{}\r\n", 10_000, "c".repeat(10_000));
    }
    chunked += "0\r\n\r\n";
    assert_eq!(connection.send(&chunked).expect("a response").status(), 200);
    let seen = endpoint.requests.lock().unwrap()[2].clone();
    assert!(seen.body == "c".repeat(300_000).as_bytes() && seen.header("content-length").is_none());
}

#[test]
fn a_streamed_body_is_never_sent_again_whatever_its_class() {
    let reset = || Fault::ResetAfter(0, String::new()).start();
    let endpoints = [reset(), reset(), reset()];
    let text = pool(&endpoints.each_ref().map(|b| b.address))
        + "class = \"r\"\n[[class]]\nname = \"r\"\neffect = \"repeatable\"\n";
    let installation = Installation::start(&text);
    let body = "b".repeat(200_000);
    let response = installation.call(&post("", &body).replacen("POST", "PUT", 1));
    assert_eq!(response.status(), 502);
    assert_eq!(
        endpoints.iter().map(Backend::request_count).sum::<usize>(),
        1
    );
    // The same request with a small, buffered body is retried on the other endpoints.
    installation.call(&post("", "small").replacen("POST", "PUT", 1));
    assert_eq!(
        endpoints.iter().map(Backend::request_count).sum::<usize>(),
        4,
        "three attempts, the maximum"
    );
}

#[test]
fn a_large_body_goes_to_another_endpoint_only_before_its_first_byte_is_sent() {
    let good = endpoint_returning(ok("good"));
    let installation = Installation::with_members(&[Fault::Refuse.start().address, good.address]);
    for _ in 0..5 {
        assert_eq!(
            installation.call(&post("", &"b".repeat(200_000))).status(),
            200
        );
    }
    assert_eq!(good.request_count(), 5);
}

#[test]
fn bodies_have_a_maximum_size_and_an_idle_timeout() {
    let endpoint = endpoint_returning(ok("x"));
    let text = "[limits]\nmax_body = \"100KiB\"\nbody_idle = \"300ms\"\n".to_string()
        + &pool(&[endpoint.address]);
    let installation = Installation::start(&text);
    assert_eq!(
        installation.call(&post("", &"b".repeat(200_000))).status(),
        413
    );
    let chunks = format!("{:x}\r\n{}\r\n", 60_000, "c".repeat(60_000)).repeat(4) + "0\r\n\r\n";
    let chunked =
        format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    assert_eq!(installation.call(&chunked).status(), 408);
    // One half of a small body, and one half of a large body.
    for length in [1_000, 90_000] {
        let half = format!(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{}",
            "h".repeat(length / 2)
        );
        assert_eq!(installation.call(&half).status(), 408, "{length}");
    }
    assert_eq!(
        endpoint.request_count(),
        0,
        "no endpoint received a complete request"
    );
    assert_eq!(installation.call(&post("", "small")).status(), 200);
}

#[test]
fn a_client_that_disconnects_mid_response_closes_the_endpoint_connection() {
    let endpoint = Large::start(1 << 30);
    let sent = endpoint.sent.clone();
    let installation = Installation::with_members(&[endpoint.address]);
    for gone in 1..=3 {
        let mut client = send_request(installation.address, &get("/large"));
        let mut line = String::new();
        BufReader::new(&mut client)
            .read_line(&mut line)
            .expect("a beginning");
        drop(client);
        until("the endpoint's connection is closed", || {
            endpoint.broken.load(Ordering::SeqCst) == gone
        });
    }
    assert!(sent.load(Ordering::SeqCst) < 3 << 29);
}

#[test]
fn a_graceful_shutdown_waits_for_a_response_in_progress() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{}",
        "x".repeat(100_000)
    );
    let endpoint = Fault::Trickle(text, 10_000, Duration::from_millis(100)).start();
    let mut installation = Installation::with_members(&[endpoint.address]);
    let mut stream = send_request(installation.address, &get("/"));
    stream.read_exact(&mut [0; 100]).expect("a beginning");
    installation.daemon.signal("-TERM");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("the rest");
    assert!(
        rest.len() > 99_000 && rest.ends_with(b"x"),
        "{}",
        rest.len()
    );
    assert!(installation.daemon.wait().success());
}
