//! Case 6: an order that may have run is answered as never started.
//!
//! Two members: `busy` turns every request away unseen, `desk` serves. Orders must not run twice. With
//! the disruption `desk` breaks off once, under the orders that it has begun. Clients send an order
//! again after a refusal alone.

use review_2::http::{call, response, Answer};
use review_2::server::{self, Log, Reply};
use review_2::{accepts, free_address, run, Case, Verdict};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ORDERS: usize = 24;
const TRIES: usize = 4;
/// How long an order takes, and when `desk` breaks off after the first one that came.
const WORK: Duration = Duration::from_millis(400);
const BREAKS_OFF_AFTER: Duration = Duration::from_millis(200);

fn main() {
    run(play)
}

fn play(case: &Case) -> Verdict {
    let log = Log::default();
    let busy = server::start(case, "busy", &Log::default(), |_| {
        Reply::Send(response(
            "503 Service Unavailable",
            "Not-Started: 1\r\n",
            b"the queue is full",
        ))
    });
    let first: Arc<Mutex<Option<Instant>>> = Arc::default();
    let trouble = case.trouble;
    // For comparison, with HANG=1: the member answers nothing in place of breaking off.
    let hangs = std::env::var("HANG").is_ok_and(|value| value == "1");
    let desk = server::start(case, "desk", &log, move |_| {
        let begun = *first.lock().unwrap().get_or_insert(Instant::now());
        if trouble && begun.elapsed() < BREAKS_OFF_AFTER {
            thread::sleep(BREAKS_OFF_AFTER.saturating_sub(begun.elapsed()));
            return if hangs { Reply::Hang } else { Reply::Close };
        }
        Reply::After(WORK, response("200 OK", "", b"signed off"))
    });
    let door = free_address();
    let file = case.put(
        "site.toml",
        &format!(
            r#"[[listener]]
name = "public"
address = "{door}"

[[pool]]
name = "records"
members = [{{ name = "busy", address = "{busy}" }}, {{ name = "desk", address = "{desk}" }}]

[[class]]
name = "default"
effect = "once"
deadline = "6s"

[[route]]
pool = "records"
"#
        ),
    );
    case.start("dewrun", &format!("serve --config {}", file.display()), &[]);
    if !case.until(Duration::from_secs(10), || accepts(door)) {
        return Verdict::CouldNotRun("dewrun does not listen".into());
    }
    let clients: Vec<_> = (0..ORDERS)
        .map(|order| {
            let case = case.clone();
            thread::spawn(move || client(&case, door, order))
        })
        .collect();
    let answers: Vec<Vec<u16>> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    // What still runs is to reach its server before the count.
    thread::sleep(Duration::from_millis(500));
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for received in log.lock().unwrap().iter() {
        *runs.entry(received.message.item().to_string()).or_default() += 1;
    }
    let mut twice = Vec::new();
    for (order, answers) in answers.iter().enumerate() {
        let runs = runs.get(&order.to_string()).copied().unwrap_or_default();
        case.log(format!(
            "order {order}: began {runs} times, answers {answers:?}"
        ));
        if runs > 1 {
            twice.push(order);
        }
    }
    if runs.is_empty() {
        return Verdict::CouldNotRun("no order reached a server that serves".into());
    }
    if twice.is_empty() {
        Verdict::Held(format!("none of {ORDERS} orders ran twice"))
    } else {
        Verdict::Broken(format!(
            "orders {twice:?} ran twice: they were answered as not started after they had run"
        ))
    }
}

/// Sends an order until it is not refused any more, and returns the statuses that it got.
fn client(case: &Case, door: SocketAddr, order: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    // The orders come one after the other, 15 ms apart.
    thread::sleep(Duration::from_millis(15 * order as u64));
    for _ in 0..TRIES {
        let request = format!(
            "POST /releases/{order} HTTP/1.1\r\nHost: records.local\r\nContent-Length: 7\r\n\r\nrelease"
        );
        let answer = call(door, request.as_bytes(), Duration::from_secs(8));
        case.log(format!("order {order}: {}", answer.text()));
        statuses.push(answer.status());
        let Answer::Whole(answer) = answer else { break };
        if ![429, 503].contains(&answer.status()) {
            break;
        }
        let wait = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        thread::sleep(Duration::from_secs_f64(wait.unwrap_or(1.0)));
    }
    statuses
}
