//! Pools: their members, where they stand, and how they change.

use super::*;
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than it takes a change of a file to be told and heeded, on a busy machine.
const HEEDED: Duration = Duration::from_millis(1_500);

fn watched(file: &str) -> String {
    format!("[[pool]]\nname = \"main\"\nfile = \"{file}\"\nwarm_up = \"0s\"\n[[route]]\npool = \"main\"\n")
}

fn entry_of(name: &str, address: SocketAddr, more: &str) -> String {
    format!(r#"{{"name": "{name}", "address": "{address}"{more}}}"#)
}

fn json(entries: &[String]) -> String {
    format!(r#"{{"members": [{}]}}"#, entries.join(", "))
}

/// The bodies of so many answers; all must be good ones.
fn bodies(site: &Site, count: usize) -> Vec<String> {
    (0..count)
        .map(|_| {
            let answer = site.get("/");
            assert_eq!(answer.status(), 200, "{}", site.daemon.log());
            String::from_utf8(answer.body).expect("text")
        })
        .collect()
}

#[test]
fn a_pool_with_no_ready_member_refuses_at_once() {
    let backend = always(ok("x"));
    for text in [
        pool(&[]),
        pool(&[]).replace(
            "members = []",
            &format!(
                "members = [{{ address = \"{}\", draining = true }}]",
                backend.address
            ),
        ),
    ] {
        let site = Site::start(&text);
        let asked = Instant::now();
        let answer = site.get("/");
        assert_eq!(
            (answer.status(), answer.header("proxy-status")),
            (503, Some("dewrun; error=destination_unavailable"))
        );
        assert!(answer
            .header("retry-after")
            .is_some_and(|t| t.parse::<u32>().is_ok_and(|t| t > 0)));
        assert!(asked.elapsed() < Duration::from_secs(5));
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn a_draining_member_gets_nothing_new() {
    let (ready, draining) = (always(ok("ready")), always(ok("draining")));
    let text = pool(&[]).replace(
        "members = []",
        &format!(
            "members = [\"{}\", {{ address = \"{}\", draining = true }}]",
            ready.address, draining.address
        ),
    );
    let site = Site::start(&text);
    assert!(bodies(&site, 20).iter().all(|b| b == "ready"));
    assert_eq!(draining.request_count(), 0);
}

#[test]
fn a_watched_file_moves_traffic_and_a_bad_one_moves_none() {
    let backends = ["a", "b", "c"].map(|name| always(ok(name)));
    let [a, b, c] = backends.each_ref().map(|b| b.address);
    let folder = Folder::new();
    folder.put("m.json", &json(&[entry_of("one", a, "")]));
    let site = Site::start_in(folder, &watched("m.json"));
    let all_from = |name: &str| {
        until("traffic has moved", || {
            site.get("/").body == name.as_bytes()
        });
        thread::sleep(HEEDED / 3);
        assert!(bodies(&site, 10).iter().all(|b| b == name), "{name}");
    };
    all_from("a");
    // The name moves to another address.
    site.folder.put("m.json", &json(&[entry_of("one", b, "")]));
    all_from("b");
    // A name that drains and a new one.
    site.folder.put(
        "m.json",
        &json(&[
            entry_of("one", b, r#", "draining": true"#),
            entry_of("two", c, ""),
        ]),
    );
    all_from("c");
    // What can't be meant keeps the last good list, each kind with one line in the log.
    let whole = json(&[entry_of("one", a, ""), entry_of("two", b, "")]);
    for (number, bad) in [
        json(&[entry_of("one", a, ""), entry_of("three", a, "")]),
        json(&[entry_of("one", a, ""), entry_of("one", b, "")]),
        json(&[]),
        String::new(),
        whole[..whole.len() - 9].to_string(),
        "members = [\"127.0.0.1\"]".to_string(),
    ]
    .iter()
    .enumerate()
    {
        // Also where it is written in place.
        std::fs::write(site.folder.path("m.json"), bad).expect("it is written");
        until("it is told", || {
            site.daemon.logged("keeping the last good list of 2") == number + 1
        });
        assert!(bodies(&site, 5).iter().all(|b| b == "c"), "{bad}");
    }
    std::fs::remove_file(site.folder.path("m.json")).expect("it is removed");
    until("it is told", || {
        site.daemon.logged("keeping the last good list of 2") == 7
    });
    assert!(bodies(&site, 5).iter().all(|b| b == "c"));
    // TOML does as well.
    site.folder.put(
        "m.json",
        &format!("members = [{{ name = \"one\", address = \"{a}\" }}]"),
    );
    all_from("a");
}

#[test]
fn a_pool_starts_empty_on_a_bad_file_and_serves_once_it_is_good() {
    let backend = always(ok("x"));
    let site = Site::start(&watched("later.json"));
    assert_eq!(site.get("/").status(), 503);
    assert_eq!(site.daemon.logged("going on with 0 members"), 1);
    site.folder
        .put("later.json", &json(&[entry_of("one", backend.address, "")]));
    until("it serves", || site.get("/").status() == 200);
}

#[test]
fn nothing_new_reaches_a_member_once_its_draining_was_told() {
    let (leaving, staying) = (ArrivalRecorder::start(), always(ok("staying")));
    let folder = Folder::new();
    folder.put(
        "m.json",
        &json(&[
            entry_of("l", leaving.address, ""),
            entry_of("s", staying.address, ""),
        ]),
    );
    let site = Site::start_in(folder, &watched("m.json"));
    let over = AtomicBool::new(false);
    let told = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let mut kept = Kept::open(site.address);
                while !over.load(Ordering::SeqCst) {
                    assert_eq!(kept.ask(&get("/")).expect("an answer").status(), 200);
                }
            });
        }
        until("both are in use", || {
            leaving.peak(WAIT_TIMEOUT) > 20 && staying.request_count() > 20
        });
        site.folder.put(
            "m.json",
            &json(&[
                entry_of("l", leaving.address, r#", "draining": true"#),
                entry_of("s", staying.address, ""),
            ]),
        );
        site.daemon.wait_for_log("pool main: 2 members");
        let told = Instant::now();
        thread::sleep(Duration::from_secs(1));
        over.store(true, Ordering::SeqCst);
        told
    });
    let late: Vec<Duration> = leaving
        .since(told)
        .into_iter()
        .filter(|at| *at > Duration::from_millis(250))
        .collect();
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_member_that_has_just_come_is_not_pushed_over() {
    // Ten callers without a pause; without the care for cold members the new one gets half of what
    // comes.
    let old = always(ok("old"));
    let new = ArrivalRecorder::start();
    let folder = Folder::new();
    folder.put("m.json", &json(&[entry_of("old", old.address, "")]));
    let text = watched("m.json")
        .replace("\"0s\"", "\"60s\"")
        .replace("[[route]]", "cold_part = 0.02\n[[route]]");
    let site = Site::start_in(folder, &text);
    let over = AtomicBool::new(false);
    let (before, served) = thread::scope(|scope| {
        for _ in 0..10 {
            scope.spawn(|| {
                let mut kept = Kept::open(site.address);
                while !over.load(Ordering::SeqCst) {
                    assert_eq!(kept.ask(&get("/")).expect("an answer").status(), 200);
                }
            });
        }
        until("the old one is busy", || old.request_count() > 500);
        site.folder.put(
            "m.json",
            &json(&[
                entry_of("old", old.address, ""),
                entry_of("new", new.address, ""),
            ]),
        );
        until("the new one is in use", || new.peak(WAIT_TIMEOUT) > 0);
        let before = old.request_count();
        thread::sleep(Duration::from_secs(2));
        over.store(true, Ordering::SeqCst);
        (before, old.request_count())
    });
    let (old_s, new_s) = (served - before, new.peak(Duration::from_secs(2)));
    // 2 % of the old one's rate, times half of the three that would make it fall; twice that for
    // bursts.
    assert!(
        new_s > 0 && new_s * 16 < old_s,
        "{new_s} to the cold one, {old_s} to the warm one"
    );
}

#[test]
fn a_pool_can_follow_the_platform_s_discovery() {
    let backends = [always(ok("a")), always(ok("b"))];
    let discovery = Discovery::start(Some(list(
        1,
        true,
        &[entry("a", backends[0].address, "ready")],
    )));
    let text = format!(
        "[[pool]]\nname = \"main\"\ndiscovery = \"{}\"\n[[route]]\npool = \"main\"\n",
        discovery.address
    );
    let site = Site::start(&text);
    until("it serves", || site.get("/").status() == 200);
    let change = [
        entry("a", backends[0].address, "draining"),
        entry("b", backends[1].address, "ready"),
    ];
    discovery.send(&list(2, false, &change));
    until("traffic has moved", || site.get("/").body == b"b");
    thread::sleep(HEEDED / 3);
    assert!(bodies(&site, 10).iter().all(|b| b == "b"));
}

#[test]
fn pools_know_nothing_of_each_other() {
    // One whose member fails always must not cost the other its service.
    let (bad, good) = (Fault::Refuse.start(), always(ok("good")));
    let text = format!(
        "[[pool]]\nname = \"bad\"\n{}\n[[pool]]\nname = \"good\"\n{}\n[[route]]\npath = \"/bad\"\npool = \"bad\"\n[[route]]\npool = \"good\"\n",
        members(&[bad.address]),
        members(&[good.address])
    );
    let site = Site::start(&text);
    for _ in 0..30 {
        assert_eq!(
            site.get("/bad").status(),
            503,
            "it never ran, so trying again is harmless"
        );
        assert_eq!(site.get("/").status(), 200);
    }
}

#[test]
fn a_fast_backend_is_never_refused_and_keeps_its_connections() {
    // One caller, then many, without a pause: a connection that has to rest is passed over, and
    // none is slept for.
    let backend = always(ok("x"));
    let site = Site::before(&[backend.address]);
    let ask = |count: usize| {
        let mut kept = Kept::open(site.address);
        for n in 0..count {
            assert_eq!(
                kept.ask(&get("/")).expect("an answer").status(),
                200,
                "request {n}"
            );
        }
    };
    ask(3_000);
    thread::scope(|scope| {
        (0..40).for_each(|_| drop(scope.spawn(|| ask(200))));
    });
    let connections = backend.connections.load(Ordering::SeqCst);
    assert!(
        connections < 500,
        "{connections} connections for 11,000 requests"
    );
}

#[test]
fn a_repeat_that_is_not_written_whole_in_its_window_is_cut() {
    const BODY: usize = 12 << 20;
    let mut slow = FullListener::start(Some(4_096));
    slow.accept_filler();
    let (tell, told) = mpsc::channel::<()>();
    let told = Mutex::new(told);
    let first = Backend::start(move |_, stream| {
        let _ = told.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
        stream
            .write_all(answer_of("500 No", "", "").as_bytes())
            .is_ok()
    });
    let text = |member: SocketAddr| {
        format!(
            "[limits]\nkept_body = \"12MiB\"\n[[class]]\nname = \"default\"\neffect = \"keyed\"\nwindow = \"2s\"\n\
             aim = \"1s\"\ndeadline = \"20s\"\n{}",
            pool(&[member])
        )
    };
    let site = Site::start(&text(first.address));
    let asked = post("Idempotency-Key: k1\r\n", &"x".repeat(BODY));
    let mut client = send_request(site.address, &asked);
    until("the first attempt is out", || first.request_count() == 1);
    let sent = Instant::now();
    // The only member left takes connections and reads nothing until the window is over.
    site.reload(&text(slow.address), 1);
    tell.send(()).expect("the backend waits");
    thread::sleep((Duration::from_millis(2_300)).saturating_sub(sent.elapsed()));
    let brought = slow.read_next();
    assert!(
        !brought.is_empty() && brought.len() < BODY,
        "{} bytes of {BODY}",
        brought.len()
    );
    let mut line = [0; 12];
    client.read_exact(&mut line).expect("an answer");
    assert_ne!(&line, b"HTTP/1.1 200");
}
