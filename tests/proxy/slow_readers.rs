//! Clients that read a response late, or not at all.

use super::*;
use std::net::SocketAddr;

const START_OF_SERVED: &[u8] = b"HTTP/1.1 200";
/// Size of a response of which the systems at both ends cannot hold all.
const UNHOLDABLE_BYTES: usize = 32 << 20;
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
        let rest = BufReader::new(client.try_clone().expect("a second handle"));
        let response = Message::read(&mut BufReader::new(START_OF_SERVED.chain(rest)));
        assert!(response.is_none(), "{script:?}");
    }
}
