//! Each request that a running proxy has accepted gets one complete response, whatever ends
//! meanwhile. `docs/design/answers.md` lists the states of a client connection, the component that
//! guarantees the response in each state, and the tests in this file.

use dewrun_test_support::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// An endpoint that holds all responses back until it is released.
struct HeldEndpoint {
    backend: Backend,
    released: Arc<AtomicBool>,
}

impl HeldEndpoint {
    fn start() -> HeldEndpoint {
        let released = Arc::new(AtomicBool::new(false));
        let can_answer = released.clone();
        let backend = Backend::start(move |_, stream| {
            let started = Instant::now();
            while !can_answer.load(Ordering::SeqCst) && started.elapsed() < WAIT_TIMEOUT {
                thread::sleep(Duration::from_millis(5));
            }
            stream.write_all(OK.as_bytes()).is_ok()
        });
        HeldEndpoint { backend, released }
    }

    fn release(&self) {
        self.released.store(true, Ordering::SeqCst);
    }
}

/// What ends while a request is in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// Another client, which disconnects after sending its own request.
    Client,
    /// The connection to the endpoint.
    Endpoint,
    /// The endpoint's entry in the endpoint list.
    ListEntry,
    /// The process, by a graceful shutdown.
    Shutdown,
    /// The request's deadline.
    Deadline,
    /// The capacity for client connections.
    Capacity,
}

/// The progress of the request when that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The complete request is written to a connection from which the proxy has not read.
    Unread,
    /// The head was read; the rest of the body is not sent yet.
    Body,
    /// An attempt is in flight.
    InFlight,
}

fn start(backends: &[&Backend], limits: &str) -> (Proxy, Discovery) {
    let names = backends
        .iter()
        .enumerate()
        .map(|(i, b)| entry(&format!("b{i}"), b.address, "ready"));
    let discovery = Discovery::start(Some(list(5, true, &names.collect::<Vec<_>>())));
    let config = config(discovery.address, &list(0, true, &[])).replace("\"sockets\":1024", limits);
    (Proxy::start(DEWRUN, &config), discovery)
}

/// Plays one row of the table and returns the status of the response, which must be complete.
fn row(state: State, ending: Ending) -> u16 {
    let held = HeldEndpoint::start();
    let broken = Backend::start(|_, _| {
        thread::sleep(Duration::from_millis(200));
        false
    });
    let backend = if ending == Ending::Endpoint {
        &broken
    } else {
        &held.backend
    };
    // `Capacity` allows (36 - 32) / 2 = 2 client connections.
    let limits = if ending == Ending::Capacity {
        "\"sockets\":36"
    } else {
        "\"sockets\":1024"
    };
    let (proxy, discovery) = start(&[backend], limits);
    let timeout = if ending == Ending::Deadline {
        600
    } else {
        15_000
    };
    let request = request_text("once", "the-one", timeout, &"x".repeat(4_000));
    let (first, rest) = request.split_at(request.len() - 2_000);

    let mut other_clients = Vec::new();
    let mut add_clients = |count: usize| {
        for n in 0..count {
            other_clients.push(send_request(
                proxy.address,
                &request_text("read", &format!("other-{n}"), 15_000, ""),
            ));
        }
    };
    let mut stream = match state {
        State::Unread => {
            if ending == Ending::Capacity {
                add_clients(2);
                until("the other requests are accepted", || {
                    backend.request_count() == 2
                });
            } else if ending == Ending::Shutdown {
                proxy.terminate();
                thread::sleep(Duration::from_millis(100));
            }
            send_request(proxy.address, &request)
        }
        State::Body => {
            let stream = send_request(proxy.address, first);
            thread::sleep(Duration::from_millis(100));
            stream
        }
        State::InFlight => {
            let stream = send_request(proxy.address, &request);
            until("the attempt is in flight", || backend.request_count() == 1);
            stream
        }
    };
    match ending {
        Ending::Client => drop(send_request(
            proxy.address,
            &request_text("read", "disconnecting", 15_000, ""),
        )),
        Ending::Endpoint | Ending::Deadline => {}
        Ending::ListEntry => {
            discovery.send(&list(6, false, &[entry("b0", backend.address, "gone")]))
        }
        Ending::Shutdown if state != State::Unread => proxy.terminate(),
        Ending::Shutdown => {}
        Ending::Capacity if state != State::Unread => add_clients(20),
        Ending::Capacity => {}
    }
    thread::sleep(Duration::from_millis(150));
    if state == State::Body {
        stream.write_all(rest.as_bytes()).expect("writing the body");
    }
    if ending != Ending::Deadline {
        thread::sleep(Duration::from_millis(150));
        held.release();
    }
    let waiting_since = Instant::now();
    let response = read_response(&stream)
        .unwrap_or_else(|| panic!("{state:?}, {ending:?}: no complete response"));
    assert!(
        waiting_since.elapsed() < WAIT_TIMEOUT / 2,
        "{state:?}, {ending:?}: the response came late"
    );
    let sent_count = backend
        .requests
        .lock()
        .unwrap()
        .iter()
        .filter(|m| m.header("request-id") == Some("the-one"))
        .count();
    assert!(
        sent_count <= 1,
        "{state:?}, {ending:?}: the request was sent {sent_count} times"
    );
    response.status()
}

#[test]
fn every_accepted_request_gets_a_response_whatever_ends() {
    use {Ending::*, State::*};
    let table = [
        (Unread, Client, &[200][..]),
        (Unread, Endpoint, &[502]),
        // The request may be read before or after the list change; it is not executed if rejected.
        (Unread, ListEntry, &[200, 503]),
        (Unread, Shutdown, &[200]),
        (Unread, Deadline, &[502]),
        (Unread, Capacity, &[503]),
        (Body, Client, &[200]),
        (Body, Endpoint, &[502]),
        (Body, ListEntry, &[503]),
        (Body, Shutdown, &[200]),
        (Body, Deadline, &[502]),
        // A request whose body is incomplete may be rejected, as it was not executed.
        (Body, Capacity, &[200, 503]),
        (InFlight, Client, &[200]),
        (InFlight, Endpoint, &[502]),
        (InFlight, ListEntry, &[200]),
        (InFlight, Shutdown, &[200]),
        (InFlight, Deadline, &[502]),
        (InFlight, Capacity, &[200]),
    ];
    let rows = table.map(|(state, ending, expected)| {
        (
            state,
            ending,
            expected,
            thread::spawn(move || row(state, ending)),
        )
    });
    // All rows are joined before any is checked; otherwise a failed row would leave the processes
    // of the others running.
    let rows = rows.map(|(state, ending, expected, row)| (state, ending, expected, row.join()));
    for (state, ending, expected, status) in rows {
        let status = status.unwrap_or_else(|_| panic!("{state:?}, {ending:?}"));
        assert!(
            expected.contains(&status),
            "{state:?}, {ending:?}: {status}, not one of {expected:?}"
        );
    }
}

/// Results of requests by id: when the connection was opened, and the status, or `None` if the
/// connection ended without a complete response.
type Results = Arc<Mutex<BTreeMap<String, (Instant, Option<u16>)>>>;

/// Starts clients that send one request after another, each on a new connection, until `stop` is
/// set.
fn start_clients(
    address: SocketAddr,
    name: &'static str,
    results: &Results,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let client = |n: usize| {
        let (results, stop) = (results.clone(), stop.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                let id = format!("{name}-{n}-{number}");
                number += 1;
                let started = Instant::now();
                // Without a connection no request was accepted.
                let Ok(mut stream) = TcpStream::connect(address) else {
                    thread::sleep(Duration::from_millis(10));
                    continue;
                };
                stream
                    .set_read_timeout(Some(WAIT_TIMEOUT))
                    .expect("setting the read timeout");
                if stream
                    .write_all(request_text("once", &id, 10_000, "x").as_bytes())
                    .is_ok()
                {
                    let status = read_response(&stream).map(|response| response.status());
                    results.lock().unwrap().insert(id, (started, status));
                }
            }
        })
    };
    (0..4).map(client).collect()
}

/// Returns whether the proxy at an address reports that it is ready for clients.
fn is_up(address: SocketAddr) -> bool {
    let response = try_call(address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n");
    response.is_some_and(|response| response.status() == 200)
}

#[test]
fn a_killed_proxy_loses_only_the_requests_it_had_accepted() {
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(30));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let discovery = Discovery::start(Some(list(
        5,
        true,
        &[entry("b0", backend.address, "ready")],
    )));
    let config = config(discovery.address, &list(0, true, &[]));
    let (mut killed, other) = (Proxy::start(DEWRUN, &config), Proxy::start(DEWRUN, &config));
    let (results, stop) = (Results::default(), Arc::new(AtomicBool::new(false)));
    let mut threads = start_clients(killed.address, "killed", &results, &stop);
    threads.extend(start_clients(other.address, "other", &results, &stop));
    until("both serve", || results.lock().unwrap().len() > 40);
    killed.signal("-KILL");
    killed.wait();
    let killed_at = Instant::now();
    // The proxy restarts at its address while clients continue to send requests there.
    let address = killed.address;
    let (command, _config) = spawn(DEWRUN, "exec \"$0\"", &config, address);
    let mut restarted = Process::start(command);
    until("the restarted proxy is ready", || is_up(address));
    let ready_again_at = Instant::now();
    let served = |name: &str| {
        let results = results.lock().unwrap();
        results
            .iter()
            .filter(|(id, (_, status))| id.starts_with(name) && *status == Some(200))
            .count()
    };
    let before = served("killed");
    until("the restarted proxy serves", || {
        served("killed") > before + 40
    });
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("a client"));
    assert!(restarted.is_running());
    let results = results.lock().unwrap();
    // The accepted requests are those that were read and those that waited in the listen backlog.
    for (id, (started, _)) in results.iter().filter(|(_, (_, status))| status.is_none()) {
        assert!(
            id.starts_with("killed") && *started < killed_at,
            "{id} is lost, and the killed proxy had not accepted it"
        );
    }
    let (rejected, served): (Vec<_>, Vec<_>) = results
        .iter()
        .filter_map(|(id, (started, status))| Some((id, *started, (*status)?)))
        .partition(|(_, _, status)| *status == 503);
    assert!(
        served.iter().all(|(_, _, status)| *status == 200),
        "all other requests are served: {served:?}"
    );
    // A process that is not ready knows no endpoint. Clients should wait until it is, which these
    // clients do not.
    let too_early = |id: &str, started: Instant| {
        id.starts_with("killed") && killed_at < started && started < ready_again_at
    };
    let rejected_while_ready = rejected
        .iter()
        .filter(|(id, started, _)| !too_early(id, *started))
        .count();
    // On a busy machine admission may reject a few requests, which were then not executed.
    assert!(
        rejected_while_ready * 20 <= served.len(),
        "{rejected_while_ready} rejected of {}",
        served.len()
    );
    let mut executions = BTreeMap::new();
    for message in backend.requests.lock().unwrap().iter() {
        *executions
            .entry(message.header("request-id").expect("an id").to_string())
            .or_insert(0) += 1;
    }
    assert!(
        executions.values().all(|count| *count == 1),
        "no request was executed twice"
    );
    assert!(served.iter().all(|(id, _, _)| executions.contains_key(*id)));
    assert!(
        rejected
            .iter()
            .all(|(id, _, _)| !executions.contains_key(*id)),
        "no rejected request was executed"
    );
}
