//! SIGHUP: a reload replaces the installation completely or not at all and loses no request.

use super::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn reloads_under_load_lose_no_request() {
    const RELOADS: usize = 200;
    const CLIENTS: usize = 32;
    let endpoints: Vec<Backend> = (0..4).map(|_| endpoint_returning(ok("fine"))).collect();
    let address = |i: usize| endpoints[i % 4].address;
    // Every version adds or removes the route of `/only`, swaps the members of its pools, renames a
    // pool and changes the settings of the class, which replaces whole balancers.
    let version = |n: usize| {
        let (one, two) = (
            members(&[address(n), address(n + 1)]),
            members(&[address(n + 2)]),
        );
        let other = if n % 3 == 0 { "other" } else { "else" };
        let only = if n % 2 == 0 {
            "[[route]]\npath = \"/only\"\npool = \"main\"\nclass = \"c\"\n"
        } else {
            ""
        };
        let aim = 5_000 + n % 5;
        format!(
            "[[pool]]\nname = \"main\"\nwarm_up = \"0s\"\n{one}\n[[pool]]\nname = \"{other}\"\nwarm_up = \"0s\"\n{two}\n\
             [[class]]\nname = \"c\"\naim = \"{aim}ms\"\n{only}[[route]]\npath = \"/a/*\"\npool = \"main\"\nclass = \"c\"\n\
             [[route]]\npath = \"/b/*\"\npool = \"{other}\"\n"
        )
    };
    let installation = Installation::start(&version(0));
    let over = AtomicBool::new(false);
    let (sent, counts) = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (installation, over) = (&installation, &over);
                scope.spawn(move || {
                    let mut counts: BTreeMap<(bool, u16), usize> = BTreeMap::new();
                    let mut connection = Connection::open(installation.address);
                    let mut sent = 0;
                    while !over.load(Ordering::SeqCst) {
                        let path = ["/a/1", "/b/2", "/only", "/a/3"][sent % 4];
                        let is_post = sent % 3 != 0;
                        let request = match is_post {
                            false => get(path),
                            true => format!(
                                "POST {path} HTTP/1.1\r\nHost: a\r\nRequest-Id: {client}-{sent}\r\nContent-Length: 2\r\n\r\nhi"
                            ),
                        };
                        sent += 1;
                        let response = connection.send(&request);
                        let response = response.unwrap_or_else(|| panic!("lost: {request}"));
                        if response.status() == 200 {
                            assert_eq!(response.body, b"fine");
                        }
                        *counts.entry((is_post, response.status())).or_default() += 1;
                        if response.header("connection") == Some("close") {
                            connection = Connection::open(installation.address);
                        }
                    }
                    (sent, counts)
                })
            })
            .collect();
        for n in 1..=RELOADS {
            installation.reload(&version(n), n);
        }
        over.store(true, Ordering::SeqCst);
        let ended = clients
            .into_iter()
            .map(|client| client.join().expect("the client finishes"));
        ended.fold(
            (0, BTreeMap::new()),
            |(sent, mut counts), (more, of_one)| {
                of_one
                    .into_iter()
                    .for_each(|(kind, count)| *counts.entry(kind).or_default() += count);
                (sent + more, counts)
            },
        )
    });
    // Each request has exactly one response: 200, or 404 while its route is absent.
    assert_eq!(counts.values().sum::<usize>(), sent);
    assert!(
        counts.keys().all(|(_, status)| [200, 404].contains(status)),
        "{counts:?}\n{}",
        installation.daemon.log()
    );
    let (gets, posts) = (counts[&(false, 200)], counts[&(true, 200)]);
    assert!(gets + posts > RELOADS, "{counts:?}");
    // The endpoints executed the served requests: each POST once, and a GET at most a second time as
    // a hedged request.
    let seen: Vec<Message> = endpoints
        .iter()
        .flat_map(|b| b.requests.lock().unwrap().clone())
        .collect();
    let (seen_gets, seen_posts): (Vec<_>, Vec<_>) =
        seen.iter().partition(|m| m.head.starts_with("GET"));
    let ids: BTreeSet<&str> = seen_posts
        .iter()
        .filter_map(|m| m.header("request-id"))
        .collect();
    assert_eq!(
        (seen_posts.len(), ids.len()),
        (posts, posts),
        "no POST was lost or executed twice: {counts:?}"
    );
    assert!(seen_gets.len() >= gets, "{} of {gets}", seen_gets.len());
    println!("{sent} requests over {RELOADS} reloads: {counts:?}");
}

/// Starts an endpoint that responds to one request per message on the returned channel.
fn endpoint_with_gate() -> (Backend, std::sync::mpsc::Sender<()>) {
    let (go, waits) = std::sync::mpsc::channel();
    let waits = std::sync::Mutex::new(waits);
    let endpoint = Backend::start(move |_, stream| {
        waits
            .lock()
            .unwrap()
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a message to respond");
        stream.write_all(ok("late but whole").as_bytes()).is_ok()
    });
    (endpoint, go)
}

#[test]
fn requests_in_flight_finish_under_the_installation_they_started_with() {
    // One reload each removes the route, the class or the pool of a request that is in flight.
    let other = endpoint_returning(ok("other"));
    let rest = format!(
        "[[pool]]\nname = \"rest\"\n{}\n[[route]]\npool = \"rest\"\n",
        members(&[other.address])
    );
    let full = |first: SocketAddr| {
        format!(
            "{rest}[[pool]]\nname = \"first\"\n{}\n[[class]]\nname = \"c\"\n[[route]]\npath = \"/held\"\npool = \"first\"\nclass = \"c\"\n",
            members(&[first])
        )
    };
    let without_route = |first: SocketAddr| {
        format!(
            "{rest}[[pool]]\nname = \"first\"\n{}\n[[class]]\nname = \"c\"\n",
            members(&[first])
        )
    };
    let without_class = |first: SocketAddr| {
        full(first)
            .replace("[[class]]\nname = \"c\"\n", "")
            .replace("class = \"c\"\n", "")
    };
    for next in [
        &without_route as &dyn Fn(SocketAddr) -> String,
        &without_class,
        &|_| rest.clone(),
    ] {
        let (endpoint, go) = endpoint_with_gate();
        let installation = Installation::start(&full(endpoint.address));
        let mut waiting = send_request(installation.address, &get("/held"));
        until("the request is in flight", || endpoint.request_count() == 1);
        installation.reload(&next(endpoint.address), 1);
        go.send(()).expect("the endpoint waits");
        let response = read_response(&waiting).expect("a response");
        assert_eq!(
            (response.status(), &response.body[..]),
            (200, &b"late but whole"[..])
        );
        // A new request follows the new file.
        if next(endpoint.address).contains("/held") {
            continue;
        }
        assert_eq!(installation.get("/held").body, b"other");
        waiting
            .write_all(get("/held").as_bytes())
            .expect("the connection is still open");
        assert_eq!(
            dewrun_test_support::read_response(&waiting)
                .expect("a response")
                .body,
            b"other"
        );
    }
}

#[test]
fn a_retry_of_a_request_in_flight_avoids_a_removed_member() {
    // The request waits at the failing member. Meanwhile the other member is removed, and a changed
    // class makes a new balancer serve. The old balancer must be notified of the removal all the
    // same.
    let (go, waits) = std::sync::mpsc::channel::<()>();
    let waits = std::sync::Mutex::new(waits);
    let failing = Backend::start(move |_, stream| {
        waits
            .lock()
            .unwrap()
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a message to respond");
        stream
            .write_all(response_with("500 Broken", "", "no").as_bytes())
            .is_ok()
    });
    let removed = endpoint_returning(ok("removed"));
    let text = |list: &[SocketAddr], aim: u32| {
        pool(list) + &format!("class = \"c\"\n[[class]]\nname = \"c\"\naim = \"{aim}ms\"\n")
    };
    let installation = Installation::start(&text(&[failing.address], 500));
    let waiting = send_request(installation.address, &get("/"));
    until("the request is in flight", || failing.request_count() == 1);
    installation.reload(&text(&[failing.address, removed.address], 500), 1);
    installation.reload(&text(&[failing.address], 501), 2);
    thread::sleep(Duration::from_millis(250));
    for _ in 0..3 {
        go.send(()).expect("the endpoint waits");
    }
    assert_eq!(read_response(&waiting).expect("a response").status(), 500);
    assert_eq!(
        (failing.request_count(), removed.request_count()),
        (3, 0),
        "the request was retried, and the removed member got none"
    );
}

#[test]
fn an_invalid_file_changes_nothing_and_is_logged() {
    let (old, new) = (endpoint_returning(ok("old")), endpoint_returning(ok("new")));
    let installation = Installation::with_members(&[old.address]);
    let file = |text: &str| {
        installation.folder.put("dewrun.toml", text);
        installation.daemon.signal("-HUP");
    };
    for (number, text) in ["", "[[listener]", "[[pool]]\nname = 5\n"]
        .iter()
        .enumerate()
    {
        file(text);
        until("the error is logged", || {
            installation
                .daemon
                .logged("not reloaded, going on as before")
                == number + 1
        });
        assert_eq!(installation.get("/").body, b"old");
    }
    std::fs::remove_file(installation.folder.path("dewrun.toml")).expect("it is removed");
    installation.daemon.signal("-HUP");
    until("the error is logged", || {
        installation
            .daemon
            .logged("not reloaded, going on as before")
            == 4
    });
    installation.reload(&pool(&[new.address]), 1);
    until("the new member serves", || {
        installation.get("/").body == b"new"
    });
}

#[test]
fn settings_that_need_a_restart_are_logged_in_one_line_and_the_others_change() {
    let (old, new) = (endpoint_returning(ok("old")), endpoint_returning(ok("new")));
    let installation = Installation::with_members(&[old.address]);
    let text = "[limits]\nkept_body = \"1KiB\"\n[instance]\nname = \"else\"\n".to_string()
        + &pool(&[new.address]);
    installation.reload(&text, 1);
    assert_eq!(
        installation
            .daemon
            .logged("needs a restart to change: instance, limits"),
        1,
        "{}",
        installation.daemon.log()
    );
    let response = installation.get("/");
    assert_eq!(
        (&response.body[..], response.header("via")),
        (&b"new"[..], Some("1.1 dewrun"))
    );
}

#[test]
fn repeated_reloads_do_not_leak_memory() {
    let endpoint = endpoint_returning(ok("x"));
    let text = |n: usize| {
        pool(&[endpoint.address])
            + &format!(
                "class = \"c\"\n[[class]]\nname = \"c\"\naim = \"{}ms\"\n",
                500 + n
            )
    };
    let installation = Installation::start(&text(0));
    let mut connection = Connection::open(installation.address);
    let begun = Instant::now();
    let mut after_50 = 0;
    for n in 1..=150 {
        installation.reload(&text(n), n);
        assert_eq!(
            connection.send(&get("/")).expect("a response").status(),
            200
        );
        if n == 50 {
            after_50 = installation.daemon.resident_kib();
        }
    }
    let grown = installation.daemon.resident_kib().saturating_sub(after_50);
    assert!(
        grown < 2_048,
        "{grown} KiB more after 100 further reloads in {:?}",
        begun.elapsed()
    );
}

/// Guards against rejections during the whole slow start after a file replaces all members at once, as
/// in a blue/green release.
#[test]
fn a_pool_whose_members_are_all_replaced_continues_to_serve() {
    const CLIENTS: usize = 24;
    const BEFORE: Duration = Duration::from_secs(3);
    /// The time after which the new members have shown their capacity.
    const RAMP_UP: Duration = Duration::from_secs(3);
    const AFTER: Duration = Duration::from_secs(7);
    /// The pause of a client after a rejection.
    const PAUSE: Duration = Duration::from_millis(5);
    let endpoints: Vec<Backend> = (0..4)
        .map(|_| {
            let number = AtomicUsize::new(0);
            Backend::start_unrecorded(move |_, stream| {
                let slowed = number.fetch_add(7, Ordering::SeqCst) as u64 % 20;
                thread::sleep(Duration::from_millis(slowed));
                stream.write_all(ok("fine").as_bytes()).is_ok()
            })
        })
        .collect();
    let with = |list: &[SocketAddr]| {
        format!(
            "[[pool]]\nname = \"main\"\n{}\n[[route]]\npool = \"main\"\n",
            members(list)
        )
    };
    let address = |n: usize| endpoints[n].address;
    let installation = Installation::start(&with(&[address(0), address(1)]));
    let replaced_at: OnceLock<Instant> = OnceLock::new();
    let over = AtomicBool::new(false);
    let (served, rejected) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let mut connection = Connection::open(installation.address);
                while !over.load(Ordering::SeqCst) {
                    let response = connection.send(&get("/")).expect("a response");
                    let count = match response.status() {
                        200 => &served,
                        503 => &rejected,
                        other => panic!("status {other}"),
                    };
                    if replaced_at.get().is_some_and(|at| at.elapsed() > RAMP_UP) {
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                    if response.status() == 503 {
                        thread::sleep(PAUSE);
                    }
                }
            });
        }
        thread::sleep(BEFORE);
        installation.reload(&with(&[address(2), address(3)]), 1);
        let _ = replaced_at.set(Instant::now());
        thread::sleep(AFTER);
        over.store(true, Ordering::SeqCst);
    });
    let (served, rejected) = (served.into_inner(), rejected.into_inner());
    println!("{served} served and {rejected} rejected after the first {RAMP_UP:?}");
    assert!(
        rejected * 20 < served,
        "{rejected} rejected, {served} served"
    );
}
