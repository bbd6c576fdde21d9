//! Case 9: a refusal asks for a repeat that comes after the window, and the order runs twice.
//!
//! One member, a keyed class with a window of 5 s. With the disruption the member dies once, 4.6 s after
//! the orders came, and is back 0.6 s later. Clients repeat an order after a refusal, when it says.

use review_2::http::{call, response, Answer, Reader};
use review_2::{accepts, free_address, run, Case, Verdict};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ORDERS: usize = 6;
const TRIES: usize = 3;
/// For how long the member drops a repeat, from when it got the order.
const WINDOW: Duration = Duration::from_secs(5);
const WORK: Duration = Duration::from_millis(4_800);
const DIES_AFTER: Duration = Duration::from_millis(4_600);
const BACK_AFTER: Duration = Duration::from_millis(5_200);

/// When each key was run. It outlives the death of the member's process.
type Runs = Arc<Mutex<BTreeMap<String, Vec<Instant>>>>;

fn main() {
    run(play)
}

/// The member: it runs an order when its last byte has come, and drops repeats within the window.
fn member(case: &Case, address: SocketAddr, runs: &Runs) {
    let (case, runs) = (case.clone(), runs.clone());
    thread::spawn(move || {
        let first: Arc<Mutex<Option<Instant>>> = Arc::default();
        let mut has_died = !case.trouble;
        loop {
            let listener = TcpListener::bind(address).expect("the member's address");
            listener
                .set_nonblocking(true)
                .expect("a listener that does not block");
            let mut open: Vec<TcpStream> = Vec::new();
            loop {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("a stream that blocks");
                        open.push(stream.try_clone().expect("a second handle"));
                        let (case, runs, first) = (case.clone(), runs.clone(), first.clone());
                        thread::spawn(move || serve(&case, &runs, &first, stream));
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(2))
                    }
                    Err(e) => panic!("accept: {e}"),
                }
                let since = first.lock().unwrap().map(|first| first.elapsed());
                if !has_died && since.is_some_and(|since| since >= DIES_AFTER) {
                    break;
                }
            }
            has_died = true;
            case.log("the member dies");
            drop(listener);
            open.iter()
                .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
            let since = first
                .lock()
                .unwrap()
                .map_or(Duration::ZERO, |first| first.elapsed());
            thread::sleep(BACK_AFTER.saturating_sub(since));
            case.log("the member is back");
        }
    });
}

fn serve(case: &Case, runs: &Runs, first: &Mutex<Option<Instant>>, mut stream: TcpStream) {
    let mut reader = Reader::new(stream.try_clone().expect("a second handle"));
    while let Some(request) = reader.message().filter(|request| request.is_whole) {
        first.lock().unwrap().get_or_insert(Instant::now());
        let key = request.header("idempotency-key").unwrap_or("").to_string();
        let is_repeat = {
            let mut runs = runs.lock().unwrap();
            let of_key = runs.entry(key.clone()).or_default();
            let is_repeat = of_key.first().is_some_and(|first| first.elapsed() < WINDOW);
            if !is_repeat {
                of_key.push(Instant::now());
            }
            is_repeat
        };
        case.log(format!(
            "the member {} {key}",
            if is_repeat {
                "drops a repeat of"
            } else {
                "runs"
            }
        ));
        if !is_repeat {
            thread::sleep(WORK);
        }
        if stream
            .write_all(&response("200 OK", "", b"ordered"))
            .is_err()
        {
            return;
        }
    }
}

/// Sends an order, again after each refusal, when the refusal says.
fn client(case: &Case, door: SocketAddr, order: usize) {
    for _ in 0..TRIES {
        let request = format!(
            "POST /orders/{order} HTTP/1.1\r\nHost: shop.example\r\nIdempotency-Key: key-{order}\r\n\
             Content-Length: 5\r\n\r\norder"
        );
        let answer = call(door, request.as_bytes(), Duration::from_secs(12));
        case.log(format!("order {order}: {}", answer.text()));
        let Answer::Whole(answer) = answer else {
            return;
        };
        let wait = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        let (true, Some(wait)) = ([429, 503].contains(&answer.status()), wait) else {
            return;
        };
        thread::sleep(Duration::from_secs_f64(wait));
    }
}

fn play(case: &Case) -> Verdict {
    let runs = Runs::default();
    let (address, door) = (free_address(), free_address());
    member(case, address, &runs);
    let file = case.put(
        "site.toml",
        &format!(
            r#"[[listener]]
name = "public"
address = "{door}"

[[pool]]
name = "shop"
members = [{{ name = "m", address = "{address}" }}]

[[class]]
name = "default"
effect = "keyed"
window = "{}s"
scope = "all"
deadline = "8s"

[[route]]
pool = "shop"
"#,
            WINDOW.as_secs()
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
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    let runs = runs.lock().unwrap();
    let twice = runs.values().filter(|runs| runs.len() > 1).count();
    if runs.is_empty() {
        return Verdict::CouldNotRun("no order reached the member".into());
    }
    if twice == 0 {
        Verdict::Held(format!("none of {} orders ran twice", runs.len()))
    } else {
        Verdict::Broken(format!(
            "{twice} of {} orders ran twice, as their clients were asked to repeat them",
            runs.len()
        ))
    }
}
