//! Answers and bodies that are passed on as they come.

use super::*;
use std::io::{BufRead, Read};
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn an_answer_is_passed_on_as_it_comes() {
    // The backend goes on only when its first part has arrived at the caller.
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
        let backend = Backend::start(move |_, stream| {
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
        let site = Site::before(&[backend.address]);
        let mut kept = Kept::open(site.address);
        kept.stream
            .write_all(get("/").as_bytes())
            .expect("it is written");
        let head = Message::read_head(&mut kept.reader).expect("a head");
        let mut text = vec![0; if second.is_empty() { 5 } else { 10 }];
        kept.reader.read_exact(&mut text).expect("the first part");
        assert!(String::from_utf8_lossy(&text).contains("first"));
        arrived.send(()).expect("the backend waits");
        if second.is_empty() {
            let mut rest = vec![0; 200_000 - 5];
            kept.reader.read_exact(&mut rest).expect("the rest");
            assert!(
                head.header("content-length") == Some("200000") && rest.iter().all(|b| *b == b'y')
            );
        } else {
            let mut rest = vec![0; second.len()];
            kept.reader.read_exact(&mut rest).expect("the rest");
            assert_eq!(rest, second.as_bytes());
        }
        // The connection is in step for the next request.
        arrived.send(()).expect("the backend waits");
        assert_eq!(kept.ask(&get("/")).expect("an answer").status(), 200);
    }
}

#[test]
fn a_caller_that_stops_reading_holds_up_nobody_and_takes_bounded_memory() {
    let backend = Large::start(1 << 30);
    let sent = backend.sent.clone();
    let site = Site::before(&[backend.address]);
    let mut stopped = send_request(site.address, &get("/large"));
    stopped.read_exact(&mut [0; 1_000]).expect("a beginning");
    // 500 others go on meanwhile, 50 at a time on connections that they keep.
    let served: usize = thread::scope(|scope| {
        let others: Vec<_> = (0..50)
            .map(|_| {
                scope.spawn(|| {
                    let mut kept = Kept::open(site.address);
                    (0..10)
                        .filter(|_| kept.ask(&get("/")).is_some_and(|a| a.body == b"short"))
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
    // What the sockets' own buffers take, and little more: the backend waits.
    until("the backend waits", || {
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
        site.daemon.resident_kib() < 64 << 10,
        "{} KiB",
        site.daemon.resident_kib()
    );
    // It reads on, and gets what it was sent.
    stopped.read_exact(&mut vec![0; 8 << 20]).expect("more");
    drop(stopped);
    until("the backend's connection is closed too", || {
        backend.broken.load(Ordering::SeqCst) == 1
    });
    assert_eq!(site.get("/").status(), 200);
}

#[test]
fn an_answer_that_breaks_off_is_cut_for_the_caller_and_never_tried_again() {
    for text in [
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{}",
            "x".repeat(100_000)
        ),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nnonsense\r\n".into(),
    ] {
        let backend = Fault::ResetAfter(text.len(), text).start();
        let site = Site::before(&[backend.address]);
        let mut stream = send_request(site.address, &get("/"));
        let mut all = Vec::new();
        let ended = stream.read_to_end(&mut all);
        let text = String::from_utf8_lossy(&all);
        assert!(text.starts_with("HTTP/1.1 200 OK"), "{text:.100}");
        let whole = text.contains("\r\n0\r\n\r\n") || all.len() >= 300_000;
        assert!(!whole, "cut: {} bytes, {ended:?}", all.len());
        assert_eq!(
            backend.request_count(),
            1,
            "after the first byte nothing is tried again"
        );
    }
}

#[test]
fn a_small_answer_that_breaks_off_is_tried_again() {
    let backend = Backend::start(|n, stream| {
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
    let site = Site::before(&[backend.address]);
    let answer = site.get("/");
    assert_eq!(
        (answer.status(), &answer.body[..], backend.request_count()),
        (200, &b"whole"[..], 2)
    );
}

#[test]
fn an_answer_whose_length_can_t_be_trusted_is_a_failure() {
    for head in [
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -5\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    ] {
        let backend = always(format!("HTTP/1.1 200 OK\r\n{head}\r\nhello"));
        let site = Site::before(&[backend.address]);
        let answer = site.call(&post("", "x"));
        assert_eq!(
            (answer.status(), backend.request_count()),
            (502, 1),
            "{head}"
        );
    }
}

#[test]
fn an_answer_that_stalls_is_cut_after_its_wait() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{}",
        "x".repeat(100_000)
    );
    let backend = Fault::Malformed(text).start();
    let site = Site::start(&format!(
        "[limits]\nanswer_idle = \"300ms\"\n{}",
        pool(&[backend.address])
    ));
    let mut stream = send_request(site.address, &get("/"));
    let mut all = Vec::new();
    let begun = Instant::now();
    let _ = stream.read_to_end(&mut all);
    assert!(all.len() > 100_000 && all.len() < 300_000 && begun.elapsed() < WAIT_TIMEOUT / 2);
}

#[test]
fn a_large_body_is_streamed_whole_and_once() {
    let backend = always(ok("got it"));
    let site = Site::before(&[backend.address]);
    let body = "b".repeat(3 << 20);
    let mut kept = Kept::open(site.address);
    for number in 0..2 {
        let answer = kept.ask(&post("", &body)).expect("an answer");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"got it"[..]));
        let seen = backend.requests.lock().unwrap()[number].clone();
        assert!(seen.body == body.as_bytes() && seen.header("content-length") == Some("3145728"));
    }
    let mut chunked =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    for _ in 0..30 {
        chunked += &format!("{:x}\r\n{}\r\n", 10_000, "c".repeat(10_000));
    }
    chunked += "0\r\n\r\n";
    assert_eq!(kept.ask(&chunked).expect("an answer").status(), 200);
    let seen = backend.requests.lock().unwrap()[2].clone();
    assert!(seen.body == "c".repeat(300_000).as_bytes() && seen.header("content-length").is_none());
}

#[test]
fn a_large_body_that_went_out_is_never_sent_again_whatever_its_class() {
    let reset = || Fault::ResetAfter(0, String::new()).start();
    let backends = [reset(), reset(), reset()];
    let text = pool(&backends.each_ref().map(|b| b.address))
        + "class = \"r\"\n[[class]]\nname = \"r\"\neffect = \"repeatable\"\n";
    let site = Site::start(&text);
    let body = "b".repeat(200_000);
    let answer = site.call(&post("", &body).replacen("POST", "PUT", 1));
    assert_eq!(answer.status(), 502);
    assert_eq!(
        backends.iter().map(Backend::request_count).sum::<usize>(),
        1
    );
    // The same with a body that is kept goes on to the others.
    site.call(&post("", "small").replacen("POST", "PUT", 1));
    assert_eq!(
        backends.iter().map(Backend::request_count).sum::<usize>(),
        4,
        "three attempts, the most that are allowed"
    );
}

#[test]
fn a_large_body_goes_on_to_another_backend_only_before_it_began_to_go_out() {
    let good = always(ok("good"));
    let site = Site::before(&[Fault::Refuse.start().address, good.address]);
    for _ in 0..5 {
        assert_eq!(site.call(&post("", &"b".repeat(200_000))).status(), 200);
    }
    assert_eq!(good.request_count(), 5);
}

#[test]
fn bodies_have_a_limit_and_a_pace() {
    let backend = always(ok("x"));
    let text = "[limits]\nmax_body = \"100KiB\"\nbody_idle = \"300ms\"\n".to_string()
        + &pool(&[backend.address]);
    let site = Site::start(&text);
    assert_eq!(site.call(&post("", &"b".repeat(200_000))).status(), 413);
    let chunks = format!("{:x}\r\n{}\r\n", 60_000, "c".repeat(60_000)).repeat(4) + "0\r\n\r\n";
    let chunked =
        format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    assert_eq!(site.call(&chunked).status(), 408);
    // Half a small body, and half a large one.
    for length in [1_000, 90_000] {
        let half = format!(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{}",
            "h".repeat(length / 2)
        );
        assert_eq!(site.call(&half).status(), 408, "{length}");
    }
    assert_eq!(backend.request_count(), 0, "no backend got a whole one");
    assert_eq!(site.call(&post("", "small")).status(), 200);
}

#[test]
fn a_caller_that_leaves_in_mid_answer_ends_the_backend_s_work() {
    let backend = Large::start(1 << 30);
    let sent = backend.sent.clone();
    let site = Site::before(&[backend.address]);
    for gone in 1..=3 {
        let mut caller = send_request(site.address, &get("/large"));
        let mut line = String::new();
        BufReader::new(&mut caller)
            .read_line(&mut line)
            .expect("a beginning");
        drop(caller);
        until("the backend's connection is closed", || {
            backend.broken.load(Ordering::SeqCst) == gone
        });
    }
    assert!(sent.load(Ordering::SeqCst) < 3 << 29);
}

#[test]
fn an_orderly_end_waits_for_an_answer_that_is_under_way() {
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{}",
        "x".repeat(100_000)
    );
    let backend = Fault::Trickle(text, 10_000, Duration::from_millis(100)).start();
    let mut site = Site::before(&[backend.address]);
    let mut stream = send_request(site.address, &get("/"));
    stream.read_exact(&mut [0; 100]).expect("a beginning");
    site.daemon.signal("-TERM");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).expect("the rest");
    assert!(
        rest.len() > 99_000 && rest.ends_with(b"x"),
        "{}",
        rest.len()
    );
    assert!(site.daemon.wait().success());
}
