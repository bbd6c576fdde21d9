//! Pools: their members, the sources of the member lists, and changes.

use super::*;
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than a busy machine needs to detect and apply a changed file.
const MEMBER_FILE_DELAY: Duration = Duration::from_millis(1_500);

fn pool_with_member_file(file: &str) -> String {
    format!("[[pool]]\nname = \"main\"\nfile = \"{file}\"\nwarm_up = \"0s\"\n[[route]]\npool = \"main\"\n")
}

fn member_entry(name: &str, address: SocketAddr, more: &str) -> String {
    format!(r#"{{"name": "{name}", "address": "{address}"{more}}}"#)
}

fn json(entries: &[String]) -> String {
    format!(r#"{{"members": [{}]}}"#, entries.join(", "))
}

/// Sends `count` requests, all of which must succeed, and returns the response bodies.
fn bodies(installation: &Installation, count: usize) -> Vec<String> {
    (0..count)
        .map(|_| {
            let response = installation.get("/");
            assert_eq!(response.status(), 200, "{}", installation.daemon.log());
            String::from_utf8(response.body).expect("text")
        })
        .collect()
}

#[test]
fn a_pool_without_a_ready_member_rejects_at_once() {
    let endpoint = endpoint_returning(ok("x"));
    for text in [
        pool(&[]),
        pool(&[]).replace(
            "members = []",
            &format!(
                "members = [{{ address = \"{}\", draining = true }}]",
                endpoint.address
            ),
        ),
    ] {
        let installation = Installation::start(&text);
        let sent_at = Instant::now();
        let response = installation.get("/");
        assert_eq!(
            (response.status(), response.header("proxy-status")),
            (503, Some("dewrun; error=destination_unavailable"))
        );
        assert!(response
            .header("retry-after")
            .is_some_and(|t| t.parse::<u32>().is_ok_and(|t| t > 0)));
        assert!(sent_at.elapsed() < Duration::from_secs(5));
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn a_draining_member_gets_no_new_requests() {
    let (ready, draining) = (
        endpoint_returning(ok("ready")),
        endpoint_returning(ok("draining")),
    );
    let text = pool(&[]).replace(
        "members = []",
        &format!(
            "members = [\"{}\", {{ address = \"{}\", draining = true }}]",
            ready.address, draining.address
        ),
    );
    let installation = Installation::start(&text);
    assert!(bodies(&installation, 20).iter().all(|b| b == "ready"));
    assert_eq!(draining.request_count(), 0);
}

#[test]
fn a_changed_member_file_moves_traffic_and_an_invalid_one_changes_nothing() {
    let endpoints = ["a", "b", "c"].map(|name| endpoint_returning(ok(name)));
    let [a, b, c] = endpoints.each_ref().map(|b| b.address);
    let folder = Folder::new();
    folder.put("m.json", &json(&[member_entry("one", a, "")]));
    let installation = Installation::start_in(folder, &pool_with_member_file("m.json"));
    let all_from = |name: &str| {
        until("traffic has moved", || {
            installation.get("/").body == name.as_bytes()
        });
        thread::sleep(MEMBER_FILE_DELAY / 3);
        assert!(
            bodies(&installation, 10).iter().all(|b| b == name),
            "{name}"
        );
    };
    all_from("a");
    // The name moves to another address.
    installation
        .folder
        .put("m.json", &json(&[member_entry("one", b, "")]));
    all_from("b");
    // One member is draining, and another is new.
    installation.folder.put(
        "m.json",
        &json(&[
            member_entry("one", b, r#", "draining": true"#),
            member_entry("two", c, ""),
        ]),
    );
    all_from("c");
    // Each invalid list keeps the last good one and writes one log line.
    let whole = json(&[member_entry("one", a, ""), member_entry("two", b, "")]);
    for (number, bad) in [
        json(&[member_entry("one", a, ""), member_entry("three", a, "")]),
        json(&[member_entry("one", a, ""), member_entry("one", b, "")]),
        json(&[]),
        String::new(),
        whole[..whole.len() - 9].to_string(),
        "members = [\"127.0.0.1\"]".to_string(),
    ]
    .iter()
    .enumerate()
    {
        // The file is written in place instead of replaced.
        std::fs::write(installation.folder.path("m.json"), bad).expect("it is written");
        until("the error is logged", || {
            installation
                .daemon
                .logged("keeping the last good list of 2")
                == number + 1
        });
        assert!(bodies(&installation, 5).iter().all(|b| b == "c"), "{bad}");
    }
    std::fs::remove_file(installation.folder.path("m.json")).expect("it is removed");
    until("the error is logged", || {
        installation
            .daemon
            .logged("keeping the last good list of 2")
            == 7
    });
    assert!(bodies(&installation, 5).iter().all(|b| b == "c"));
    // TOML is accepted as well.
    installation.folder.put(
        "m.json",
        &format!("members = [{{ name = \"one\", address = \"{a}\" }}]"),
    );
    all_from("a");
}

#[test]
fn a_pool_starts_empty_on_an_invalid_file_and_serves_once_it_is_valid() {
    let endpoint = endpoint_returning(ok("x"));
    let installation = Installation::start(&pool_with_member_file("later.json"));
    assert_eq!(installation.get("/").status(), 503);
    assert_eq!(installation.daemon.logged("going on with 0 members"), 1);
    installation.folder.put(
        "later.json",
        &json(&[member_entry("one", endpoint.address, "")]),
    );
    until("it serves", || installation.get("/").status() == 200);
}

#[test]
fn a_member_gets_no_new_requests_after_it_was_marked_draining() {
    let (leaving, staying) = (ArrivalRecorder::start(), endpoint_returning(ok("staying")));
    let folder = Folder::new();
    folder.put(
        "m.json",
        &json(&[
            member_entry("l", leaving.address, ""),
            member_entry("s", staying.address, ""),
        ]),
    );
    let installation = Installation::start_in(folder, &pool_with_member_file("m.json"));
    let over = AtomicBool::new(false);
    let draining_at = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let mut connection = Connection::open(installation.address);
                while !over.load(Ordering::SeqCst) {
                    assert_eq!(
                        connection.send(&get("/")).expect("a response").status(),
                        200
                    );
                }
            });
        }
        until("both endpoints are in use", || {
            leaving.peak(WAIT_TIMEOUT) > 20 && staying.request_count() > 20
        });
        installation.folder.put(
            "m.json",
            &json(&[
                member_entry("l", leaving.address, r#", "draining": true"#),
                member_entry("s", staying.address, ""),
            ]),
        );
        installation.daemon.wait_for_log("pool main: 2 members");
        let draining_at = Instant::now();
        thread::sleep(Duration::from_secs(1));
        over.store(true, Ordering::SeqCst);
        draining_at
    });
    let late: Vec<Duration> = leaving
        .since(draining_at)
        .into_iter()
        .filter(|at| *at > Duration::from_millis(250))
        .collect();
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_new_member_is_not_overloaded() {
    // Ten clients send without a pause. Without slow start the new member would get half of the
    // requests.
    let old = endpoint_returning(ok("old"));
    let new = ArrivalRecorder::start();
    let folder = Folder::new();
    folder.put("m.json", &json(&[member_entry("old", old.address, "")]));
    let text = pool_with_member_file("m.json")
        .replace("\"0s\"", "\"60s\"")
        .replace("[[route]]", "cold_part = 0.02\n[[route]]");
    let installation = Installation::start_in(folder, &text);
    let over = AtomicBool::new(false);
    let (before, served) = thread::scope(|scope| {
        for _ in 0..10 {
            scope.spawn(|| {
                let mut connection = Connection::open(installation.address);
                while !over.load(Ordering::SeqCst) {
                    assert_eq!(
                        connection.send(&get("/")).expect("a response").status(),
                        200
                    );
                }
            });
        }
        until("the old one is busy", || old.request_count() > 500);
        installation.folder.put(
            "m.json",
            &json(&[
                member_entry("old", old.address, ""),
                member_entry("new", new.address, ""),
            ]),
        );
        until("the new one is in use", || new.peak(WAIT_TIMEOUT) > 0);
        let before = old.request_count();
        thread::sleep(Duration::from_secs(2));
        over.store(true, Ordering::SeqCst);
        (before, old.request_count())
    });
    let (old_s, new_s) = (served - before, new.peak(Duration::from_secs(2)));
    // The new member may get 2 % of the old one's rate, times half of the factor of three at which
    // it would fail, and twice that for bursts.
    assert!(
        new_s > 0 && new_s * 16 < old_s,
        "{new_s} requests to the new member, {old_s} to the old one"
    );
}

#[test]
fn a_pool_follows_the_platform_s_discovery() {
    let endpoints = [endpoint_returning(ok("a")), endpoint_returning(ok("b"))];
    let discovery = Discovery::start(Some(list(
        1,
        true,
        &[entry("a", endpoints[0].address, "ready")],
    )));
    let text = format!(
        "[[pool]]\nname = \"main\"\ndiscovery = \"{}\"\n[[route]]\npool = \"main\"\n",
        discovery.address
    );
    let installation = Installation::start(&text);
    until("it serves", || installation.get("/").status() == 200);
    let change = [
        entry("a", endpoints[0].address, "draining"),
        entry("b", endpoints[1].address, "ready"),
    ];
    discovery.send(&list(2, false, &change));
    until("traffic has moved", || installation.get("/").body == b"b");
    thread::sleep(MEMBER_FILE_DELAY / 3);
    assert!(bodies(&installation, 10).iter().all(|b| b == "b"));
}

#[test]
fn pools_are_independent_of_each_other() {
    // A pool whose only member always fails must not affect another pool.
    let (bad, good) = (Fault::Refuse.start(), endpoint_returning(ok("good")));
    let text = format!(
        "[[pool]]\nname = \"bad\"\n{}\n[[pool]]\nname = \"good\"\n{}\n[[route]]\npath = \"/bad\"\npool = \"bad\"\n[[route]]\npool = \"good\"\n",
        members(&[bad.address]),
        members(&[good.address])
    );
    let installation = Installation::start(&text);
    for _ in 0..30 {
        assert_eq!(
            installation.get("/bad").status(),
            503,
            "the request was not executed, so a retry is safe"
        );
        assert_eq!(installation.get("/").status(), 200);
    }
}

#[test]
fn requests_to_a_fast_endpoint_are_never_rejected_and_reuse_connections() {
    // First one client, then many, send without a pause. A connection within its reuse delay is
    // skipped, and no request waits for it.
    let endpoint = endpoint_returning(ok("x"));
    let installation = Installation::with_members(&[endpoint.address]);
    let send_requests = |count: usize| {
        let mut connection = Connection::open(installation.address);
        for n in 0..count {
            assert_eq!(
                connection.send(&get("/")).expect("a response").status(),
                200,
                "request {n}"
            );
        }
    };
    send_requests(3_000);
    thread::scope(|scope| {
        (0..40).for_each(|_| drop(scope.spawn(|| send_requests(200))));
    });
    let connections = endpoint.connections.load(Ordering::SeqCst);
    assert!(
        connections < 500,
        "{connections} connections for 11,000 requests"
    );
}

#[test]
fn a_retry_that_is_not_sent_completely_within_its_window_is_aborted() {
    const BODY: usize = 12 << 20;
    let mut slow = FullListener::start(Some(4_096));
    slow.accept_filler();
    let (respond, may_respond) = mpsc::channel::<()>();
    let may_respond = Mutex::new(may_respond);
    let first = Backend::start(move |_, stream| {
        let _ = may_respond.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
        stream
            .write_all(response_with("500 No", "", "").as_bytes())
            .is_ok()
    });
    let text = |member: SocketAddr| {
        format!(
            "[limits]\nkept_body = \"12MiB\"\n[[class]]\nname = \"default\"\neffect = \"keyed\"\nwindow = \"2s\"\n\
             aim = \"1s\"\ndeadline = \"20s\"\n{}",
            pool(&[member])
        )
    };
    let installation = Installation::start(&text(first.address));
    let request = post("Idempotency-Key: k1\r\n", &"x".repeat(BODY));
    let mut client = send_request(installation.address, &request);
    until("the first attempt is in flight", || {
        first.request_count() == 1
    });
    let sent = Instant::now();
    // The only remaining member accepts connections and reads nothing until the window is over.
    installation.reload(&text(slow.address), 1);
    respond.send(()).expect("the endpoint waits");
    thread::sleep((Duration::from_millis(2_300)).saturating_sub(sent.elapsed()));
    let received = slow.read_next();
    assert!(
        !received.is_empty() && received.len() < BODY,
        "{} bytes of {BODY}",
        received.len()
    );
    let mut line = [0; 12];
    client.read_exact(&mut line).expect("a response");
    assert_ne!(&line, b"HTTP/1.1 200");
}
