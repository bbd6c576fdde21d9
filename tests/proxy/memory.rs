//! The memory of a proxy of the platform under clients that use it up.

use super::*;

/// The memory limit in the configuration of the tests, in KiB.
const MEMORY_LIMIT_KIB: usize = 192 * 1024;
/// The clients that connect at a time; the proxy has 1,024 descriptors.
const CLIENTS: usize = 400;
/// Endpoints that never read; the proxy sends each a few requests at a time.
const ENDPOINTS: usize = 60;
/// The part of its body that each client sends.
const SENT_BYTES: usize = 1_000 << 10;
const CHUNK_BYTES: usize = 8_000;

/// Sends a part of a large request; the proxy may end the connection before.
fn send_part(address: std::net::SocketAddr, head: &str, part: &[u8]) -> TcpStream {
    let mut stream = send_request(address, head);
    let _ = stream.write_all(part).and_then(|()| stream.write_all(part));
    stream
}

/// Guards against a process that is killed for its memory: what was read of a body that turned out to
/// be too large to buffer was no longer counted, while its client or endpoint was slow.
#[test]
fn clients_that_stop_within_large_requests_do_not_use_up_the_memory() {
    let listeners: Vec<_> = (0..ENDPOINTS).map(|_| listen()).collect();
    let entries: Vec<String> = listeners
        .iter()
        .enumerate()
        .map(|(n, (_, address))| entry(&format!("b{n}"), *address, "ready"))
        .collect();
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    let chunks = chunk.repeat(SENT_BYTES / 2 / CHUNK_BYTES);
    let bytes = "x".repeat(SENT_BYTES / 2);
    let chunked = "Transfer-Encoding: chunked\r\n";
    let length = format!("Content-Length: {}\r\n", SENT_BYTES + 1);
    for (length, part) in [(chunked, &chunks), (&length, &bytes)] {
        let discovery = Discovery::start(Some(list(5, true, &entries)));
        let mut proxy = Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[])));
        thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS)
                .map(|n| {
                    let address = proxy.address;
                    let head = request_text("once", &format!("a{n}"), 8_000, "")
                        .replace("Content-Length: 0\r\n", length);
                    scope.spawn(move || send_part(address, &head, part.as_bytes()))
                })
                .collect();
            let stopped: Vec<TcpStream> = clients
                .into_iter()
                .map(|client| client.join().expect("a client"))
                .collect();
            // All stay until each has got its response, or its connection was closed.
            stopped
                .iter()
                .for_each(|stream| drop(read_response(stream)));
        });
        assert!(proxy.is_running());
        let peak = proxy.peak_resident_kib();
        assert!(peak < MEMORY_LIMIT_KIB, "{length}: {peak} KiB");
    }
}
