//! Case 7: half a request is run, and answered as served.
//!
//! One process of the platform, two backends. With the disruption a bad client sends a release in
//! chunks, begins the last chunk's line with a byte that can't be read, sends nothing more and stays.

use review_2::discovery;
use review_2::http::{call, response, Answer};
use review_2::server::{self, Log, Reply};
use review_2::{entry, free_address, list, platform_config, run, Case, Verdict};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const USUAL: usize = 60;
/// What the bad client sends of its last chunk's line; the line and the message never end.
const HALVES: [(&str, &str); 3] = [
    ("bad00000000000a1", "0;\u{1}"),
    ("bad00000000000a2", "0;a=\u{7f}"),
    ("bad00000000000a3", "0;\u{0}b"),
];

fn main() {
    run(play)
}

fn play(case: &Case) -> Verdict {
    let log = Log::default();
    let backend = |name: &str| {
        server::start(case, name, &log, |_| {
            Reply::After(
                Duration::from_millis(40),
                response("200 OK", "", b"signed off"),
            )
        })
    };
    let entries = [
        entry("s-1", backend("s-1"), "ready"),
        entry("s-2", backend("s-2"), "ready"),
    ];
    let discovery = discovery::start(case, 1, &entries);
    let door = free_address();
    let known = list(1, true, &entries);
    let config = platform_config(discovery, &known, "automatic", "8c1f30d27a5be964");
    let file = case.put("config.json", &config);
    let variables = [
        ("NODE_CONFIG", file.to_str().unwrap()),
        ("NODE_LISTEN", &door.to_string()),
    ];
    case.start("n0", "", &variables);
    let up = b"GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    if !case.until(Duration::from_secs(15), || {
        call(door, up, Duration::from_secs(1)).status() == 200
    }) {
        return Verdict::CouldNotRun("the proxy is not ready".into());
    }
    let usual = {
        let case = case.clone();
        thread::spawn(move || usual_client(&case, door))
    };
    let mut served = Vec::new();
    if case.trouble {
        for (id, end) in HALVES {
            thread::sleep(Duration::from_millis(700));
            let head = format!(
                "POST /api/{id} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: once\r\n\
                 Tenant: acme\r\nRequest-Timeout-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nrelease\r\n{end}"
            );
            case.log(format!(
                "bad client {id}: sends a release that ends in {end:?}, and stays"
            ));
            let answer = call(door, head.as_bytes(), Duration::from_secs(5));
            case.log(format!("bad client {id}: {}", answer.text()));
            if answer.status() == 200 {
                served.push(id);
            }
        }
    }
    let usual_served = usual.join().unwrap();
    let ran: Vec<&str> = HALVES
        .iter()
        .map(|(id, _)| *id)
        .filter(|id| {
            log.lock()
                .unwrap()
                .iter()
                .any(|received| received.message.header("request-id") == Some(id))
        })
        .collect();
    case.log(format!("usual clients: {usual_served} of {USUAL} served"));
    if usual_served < USUAL / 2 {
        return Verdict::CouldNotRun("the usual clients are not served".into());
    }
    if ran.is_empty() && served.is_empty() {
        Verdict::Held("no server got a request whose end nobody sent".into())
    } else {
        Verdict::Broken(format!(
            "backends ran {} and {} were answered 200 of {} requests whose end nobody sent",
            ran.len(),
            served.len(),
            HALVES.len()
        ))
    }
}

/// The usual clients: requests of all classes, one after the other. Returns how many were served.
fn usual_client(case: &Case, door: SocketAddr) -> usize {
    let mut served = 0;
    for number in 0..USUAL {
        let id = format!("{number:016x}");
        let (method, class, key) = match number % 3 {
            0 => ("GET", "read", String::new()),
            1 => ("POST", "keyed", format!("Idempotency-Key: {id}{id}\r\n")),
            _ => ("POST", "once", String::new()),
        };
        let length = if method == "POST" {
            "Content-Length: 0\r\n"
        } else {
            ""
        };
        let request = format!(
            "{method} /api/{id} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Tenant: acme\r\n{key}Request-Timeout-Ms: 3000\r\n{length}\r\n"
        );
        let answer = call(door, request.as_bytes(), Duration::from_secs(4));
        if !matches!(&answer, Answer::Whole(answer) if answer.status() == 200) {
            case.log(format!("client: {id}: {}", answer.text()));
        }
        served += usize::from(answer.status() == 200);
    }
    served
}
