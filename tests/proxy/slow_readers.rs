//! Clients that read a response late: the part of it that waits for them is not cut off.

use super::service::{call_admin, proxy_with_admin};
use super::*;
use std::net::SocketAddr;

const START_OF_SERVED: &[u8] = b"HTTP/1.1 200";
/// Size of a response of which the systems at both ends cannot hold all.
const UNHOLDABLE_BYTES: usize = 32 << 20;
/// Numbers of bytes beyond those that the systems hold: up to what the proxy itself holds.
const EXCESS_STEP_BYTES: usize = 3 << 10;
const EXCESS_STEPS: usize = 8;

/// Returns responses of which the systems hold all but a few bytes, so that the last ones wait in the
/// proxy, for each framing.
fn all_scripts() -> Vec<ResponseScript> {
    let held = held_bytes();
    let sizes = (0..EXCESS_STEPS).map(|step| held + step * EXCESS_STEP_BYTES);
    sizes
        .flat_map(|bytes| ResponseFraming::ALL.map(|f| ResponseScript::complete(f, bytes)))
        .collect()
}

/// Returns how many bytes of a response the systems hold whose client reads nothing.
fn held_bytes() -> usize {
    let script = ResponseScript::complete(ResponseFraming::Length, UNHOLDABLE_BYTES);
    let endpoint = endpoint_with(vec![script]);
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let client = send_requests(proxy.address, &[script]).remove(0);
    let port = client.local_addr().expect("an address").port();
    let mut held = 0;
    until("the systems hold no more", || {
        let before = held;
        thread::sleep(Duration::from_millis(300));
        held = queued_bytes(port);
        held > 0 && held == before
    });
    held
}

/// Returns the bytes that wait in both directions of the connection of a client's port, according to
/// the system.
fn queued_bytes(client_port: u16) -> usize {
    let port = format!(":{client_port:04X}");
    let text = std::fs::read_to_string("/proc/net/tcp").expect("the connections");
    text.lines()
        .filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let is_of_client = fields[1].ends_with(&port) || fields[2].ends_with(&port);
            let (unsent, unread) = fields[4].split_once(':').filter(|_| is_of_client)?;
            let bytes = |hex| usize::from_str_radix(hex, 16).expect("a number");
            Some(bytes(unsent) + bytes(unread))
        })
        .sum()
}

/// Sends a request for each response, and returns the connections, of which only the start of the
/// response is read.
fn send_requests(address: SocketAddr, scripts: &[ResponseScript]) -> Vec<TcpStream> {
    let ids = 0..scripts.len();
    ids.map(|number| {
        let mut client = None;
        until("the request is not rejected", || {
            let request = request_text("once", &format!("s{number}"), 15_000, "");
            let stream = send_request_with_small_buffer(address, &request);
            let mut start = [0; START_OF_SERVED.len()];
            (&stream).read_exact(&mut start).expect("a response");
            client = Some(stream).filter(|_| start == *START_OF_SERVED);
            client.is_some()
        });
        client.expect("a connection")
    })
    .collect()
}

/// Starts an endpoint that answers the request `s3` with the script of index 3, and so on.
fn endpoint_with(scripts: Vec<ResponseScript>) -> Backend {
    Backend::start_unrecorded(move |request, stream| {
        let id = request.header("request-id").expect("an id");
        let number: usize = id[1..].parse().expect("a number");
        scripts[number].write(stream)
    })
}

/// Reads a response of which the start was read; returns `None` if it is truncated.
fn read_rest(client: &TcpStream) -> Option<Message> {
    let rest = client.try_clone().expect("a second handle");
    Message::read(&mut BufReader::new(START_OF_SERVED.chain(rest)))
}

fn check_all_complete(clients: &[TcpStream], scripts: &[ResponseScript]) {
    for (client, script) in clients.iter().zip(scripts) {
        let response = read_rest(client);
        assert!(script.is_answered_by(response.as_ref()), "{script:?}");
    }
}

/// Guards against the end of a response that is cut off because its connection is taken for idle while
/// the last bytes wait to be written.
#[test]
fn a_response_that_waits_for_its_client_is_complete() {
    // Longer than a connection may be idle, and shorter than a client may take to read.
    const REST: Duration = Duration::from_millis(8_500);
    let scripts = all_scripts();
    let endpoint = endpoint_with(scripts.clone());
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let clients = send_requests(proxy.address, &scripts);
    thread::sleep(REST);
    check_all_complete(&clients, &scripts);
}

/// Guards against the same where the process is drained, and goes on running.
#[test]
fn a_response_that_waits_for_its_client_survives_a_drain() {
    // Longer than the drain leaves to connections without a request.
    const REST: Duration = Duration::from_millis(6_000);
    let scripts = all_scripts();
    let endpoint = endpoint_with(scripts.clone());
    let (proxy, admin, _discovery) = proxy_with_admin(&[&endpoint]);
    let clients = send_requests(proxy.address, &scripts);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(call_admin(admin, "PUT", "/healthcheck/fail").status(), 200);
    thread::sleep(REST);
    check_all_complete(&clients, &scripts);
}

/// Guards against a connection that is kept for ever because its client reads nothing more.
#[test]
fn a_client_that_stops_reading_is_disconnected() {
    // The client must read something within 10 s.
    const LIMIT: Duration = Duration::from_secs(20);
    let scripts = all_scripts();
    let endpoint = endpoint_with(scripts.clone());
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let clients = send_requests(proxy.address, &scripts);
    let sent_at = Instant::now();
    until("the proxy has closed the connections", || {
        open_connections(proxy.address.port()) == 0
    });
    assert!(sent_at.elapsed() < LIMIT, "{:?}", sent_at.elapsed());
    drop(clients);
}

/// Returns the number of connections to a port that are open at their server.
fn open_connections(server_port: u16) -> usize {
    const ESTABLISHED: &str = "01";
    let port = format!(":{server_port:04X}");
    let text = std::fs::read_to_string("/proc/net/tcp").expect("the connections");
    text.lines()
        .filter(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields[1].ends_with(&port) && fields[3] == ESTABLISHED
        })
        .count()
}

/// Guards against a response that is cut off because its client reads nothing for too long, and looks
/// complete: its chunks must not end.
#[test]
fn a_response_whose_client_stops_reading_does_not_look_complete() {
    // Longer than a client may read nothing.
    const REST: Duration = Duration::from_millis(12_500);
    let scripts = ResponseFraming::ALL.map(|f| ResponseScript::complete(f, UNHOLDABLE_BYTES));
    let endpoint = endpoint_with(scripts.to_vec());
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let clients = send_requests(proxy.address, &scripts);
    thread::sleep(REST);
    for (client, script) in clients.iter().zip(scripts) {
        let response = read_rest(client);
        assert!(response.is_none(), "{script:?}");
    }
}
