//! SIGHUP: an installation changes whole or not at all, and loses nothing.

use super::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn reload_under_load_loses_nothing() {
    const RELOADS: usize = 200;
    const CALLERS: usize = 32;
    let backends: Vec<Backend> = (0..4).map(|_| always(ok("fine"))).collect();
    let address = |i: usize| backends[i % 4].address;
    // Every version moves the route of `/only` in and out, swaps the members of its pools, takes a
    // pool's name away and changes the classes' figures, by which whole modules are replaced.
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
    let site = Site::start(&version(0));
    let over = AtomicBool::new(false);
    let (asked, books) = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (site, over) = (&site, &over);
                scope.spawn(move || {
                    let mut books: BTreeMap<(bool, u16), usize> = BTreeMap::new();
                    let mut kept = Kept::open(site.address);
                    let mut asked = 0;
                    while !over.load(Ordering::SeqCst) {
                        let path = ["/a/1", "/b/2", "/only", "/a/3"][asked % 4];
                        let is_post = asked % 3 != 0;
                        let request = match is_post {
                            false => get(path),
                            true => format!(
                                "POST {path} HTTP/1.1\r\nHost: a\r\nRequest-Id: {caller}-{asked}\r\nContent-Length: 2\r\n\r\nhi"
                            ),
                        };
                        asked += 1;
                        let answer = kept.ask(&request);
                        let answer = answer.unwrap_or_else(|| panic!("lost: {request}"));
                        if answer.status() == 200 {
                            assert_eq!(answer.body, b"fine");
                        }
                        *books.entry((is_post, answer.status())).or_default() += 1;
                        if answer.header("connection") == Some("close") {
                            kept = Kept::open(site.address);
                        }
                    }
                    (asked, books)
                })
            })
            .collect();
        for n in 1..=RELOADS {
            site.reload(&version(n), n);
        }
        over.store(true, Ordering::SeqCst);
        let ended = callers
            .into_iter()
            .map(|caller| caller.join().expect("it kept its books"));
        ended.fold(
            (0, BTreeMap::new()),
            |(asked, mut books), (more, of_one)| {
                of_one
                    .into_iter()
                    .for_each(|(kind, count)| *books.entry(kind).or_default() += count);
                (asked + more, books)
            },
        )
    });
    // Each request has exactly one answer, of a kind that it can have: 404 while its route is away.
    assert_eq!(books.values().sum::<usize>(), asked);
    assert!(
        books.keys().all(|(_, status)| [200, 404].contains(status)),
        "{books:?}\n{}",
        site.daemon.log()
    );
    let (gets, posts) = (books[&(false, 200)], books[&(true, 200)]);
    assert!(gets + posts > RELOADS, "{books:?}");
    // And the backends ran what was served: each POST once, and a GET a second time at the most
    // where the first was slow.
    let seen: Vec<Message> = backends
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
        "no POST was lost or ran twice: {books:?}"
    );
    assert!(seen_gets.len() >= gets, "{} of {gets}", seen_gets.len());
    println!("{asked} requests over {RELOADS} reloads: {books:?}");
}

/// A backend that answers only when told.
fn held() -> (Backend, std::sync::mpsc::Sender<()>) {
    let (go, waits) = std::sync::mpsc::channel();
    let waits = std::sync::Mutex::new(waits);
    let backend = Backend::start(move |_, stream| {
        waits
            .lock()
            .unwrap()
            .recv_timeout(WAIT_TIMEOUT)
            .expect("it is told to go on");
        stream.write_all(ok("late but whole").as_bytes()).is_ok()
    });
    (backend, go)
}

#[test]
fn requests_in_flight_end_under_what_they_began_with() {
    // The route, the class and the pool of the request go away while it is out, one after the
    // other.
    let other = always(ok("other"));
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
        let (backend, go) = held();
        let site = Site::start(&full(backend.address));
        let mut waiting = send_request(site.address, &get("/held"));
        until("it is out", || backend.request_count() == 1);
        site.reload(&next(backend.address), 1);
        go.send(()).expect("it waits");
        let answer = read_response(&waiting).expect("an answer");
        assert_eq!(
            (answer.status(), &answer.body[..]),
            (200, &b"late but whole"[..])
        );
        // A new one goes by the new file.
        if next(backend.address).contains("/held") {
            continue;
        }
        assert_eq!(site.get("/held").body, b"other");
        waiting
            .write_all(get("/held").as_bytes())
            .expect("the connection is still of use");
        assert_eq!(
            dewrun_test_support::read_response(&waiting)
                .expect("an answer")
                .body,
            b"other"
        );
    }
}

#[test]
fn a_retry_of_an_old_request_keeps_away_from_a_member_that_was_taken_out() {
    // The request waits at the member that fails; meanwhile the other one is taken out, and the
    // classes change, so that a new module serves. The old one must have heard of it all the
    // same.
    let (go, waits) = std::sync::mpsc::channel::<()>();
    let waits = std::sync::Mutex::new(waits);
    let failing = Backend::start(move |_, stream| {
        waits
            .lock()
            .unwrap()
            .recv_timeout(WAIT_TIMEOUT)
            .expect("it is told to go on");
        stream
            .write_all(answer_of("500 Broken", "", "no").as_bytes())
            .is_ok()
    });
    let removed = always(ok("removed"));
    let text = |list: &[SocketAddr], aim: u32| {
        pool(list) + &format!("class = \"c\"\n[[class]]\nname = \"c\"\naim = \"{aim}ms\"\n")
    };
    let site = Site::start(&text(&[failing.address], 500));
    let waiting = send_request(site.address, &get("/"));
    until("it is out", || failing.request_count() == 1);
    site.reload(&text(&[failing.address, removed.address], 500), 1);
    site.reload(&text(&[failing.address], 501), 2);
    thread::sleep(Duration::from_millis(250));
    for _ in 0..3 {
        go.send(()).expect("it waits");
    }
    assert_eq!(read_response(&waiting).expect("an answer").status(), 500);
    assert_eq!(
        (failing.request_count(), removed.request_count()),
        (3, 0),
        "it went again, and nothing new reached the one taken out"
    );
}

#[test]
fn a_bad_file_changes_nothing_and_says_why() {
    let (old, new) = (always(ok("old")), always(ok("new")));
    let site = Site::before(&[old.address]);
    let file = |text: &str| {
        site.folder.put("dewrun.toml", text);
        site.daemon.signal("-HUP");
    };
    for (number, text) in ["", "[[listener]", "[[pool]]\nname = 5\n"]
        .iter()
        .enumerate()
    {
        file(text);
        until("it is told", || {
            site.daemon.logged("not reloaded, going on as before") == number + 1
        });
        assert_eq!(site.get("/").body, b"old");
    }
    std::fs::remove_file(site.folder.path("dewrun.toml")).expect("it is removed");
    site.daemon.signal("-HUP");
    until("it is told", || {
        site.daemon.logged("not reloaded, going on as before") == 4
    });
    site.reload(&pool(&[new.address]), 1);
    until("the new one serves", || site.get("/").body == b"new");
}

#[test]
fn what_needs_a_restart_is_named_in_one_line_and_the_rest_changes() {
    let (old, new) = (always(ok("old")), always(ok("new")));
    let site = Site::before(&[old.address]);
    let text = "[limits]\nkept_body = \"1KiB\"\n[instance]\nname = \"else\"\n".to_string()
        + &pool(&[new.address]);
    site.reload(&text, 1);
    assert_eq!(
        site.daemon
            .logged("needs a restart to change: instance, limits"),
        1,
        "{}",
        site.daemon.log()
    );
    let answer = site.get("/");
    assert_eq!(
        (&answer.body[..], answer.header("via")),
        (&b"new"[..], Some("1.1 dewrun"))
    );
}

#[test]
fn reloads_leave_nothing_behind() {
    let backend = always(ok("x"));
    let text = |n: usize| {
        pool(&[backend.address])
            + &format!(
                "class = \"c\"\n[[class]]\nname = \"c\"\naim = \"{}ms\"\n",
                500 + n
            )
    };
    let site = Site::start(&text(0));
    let mut kept = Kept::open(site.address);
    let begun = Instant::now();
    let mut after_50 = 0;
    for n in 1..=150 {
        site.reload(&text(n), n);
        assert_eq!(kept.ask(&get("/")).expect("an answer").status(), 200);
        if n == 50 {
            after_50 = site.daemon.resident_kib();
        }
    }
    let grown = site.daemon.resident_kib().saturating_sub(after_50);
    assert!(
        grown < 2_048,
        "{grown} KiB more after 100 further reloads in {:?}",
        begun.elapsed()
    );
}

/// Guards against rejections for the whole of the warm-up where a file replaces all members at
/// once, as in a blue/green release.
#[test]
fn a_pool_whose_members_are_all_replaced_serves_on() {
    const CLIENTS: usize = 24;
    const BEFORE: Duration = Duration::from_secs(3);
    /// Until then the new members prove what they bear.
    const PROVEN: Duration = Duration::from_secs(3);
    const AFTER: Duration = Duration::from_secs(7);
    /// A rejected client does not hurry.
    const PAUSE: Duration = Duration::from_millis(5);
    let backends: Vec<Backend> = (0..4)
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
    let address = |n: usize| backends[n].address;
    let site = Site::start(&with(&[address(0), address(1)]));
    let replaced_at: OnceLock<Instant> = OnceLock::new();
    let over = AtomicBool::new(false);
    let (served, rejected) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let mut kept = Kept::open(site.address);
                while !over.load(Ordering::SeqCst) {
                    let answer = kept.ask(&get("/")).expect("an answer");
                    let count = match answer.status() {
                        200 => &served,
                        503 => &rejected,
                        other => panic!("status {other}"),
                    };
                    if replaced_at.get().is_some_and(|at| at.elapsed() > PROVEN) {
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                    if answer.status() == 503 {
                        thread::sleep(PAUSE);
                    }
                }
            });
        }
        thread::sleep(BEFORE);
        site.reload(&with(&[address(2), address(3)]), 1);
        let _ = replaced_at.set(Instant::now());
        thread::sleep(AFTER);
        over.store(true, Ordering::SeqCst);
    });
    let (served, rejected) = (served.into_inner(), rejected.into_inner());
    println!("{served} served and {rejected} rejected after the first {PROVEN:?}");
    assert!(
        rejected * 20 < served,
        "{rejected} rejected, {served} served"
    );
}
