//! A new process at the address of a member that has gone.

use super::*;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;

/// Starts a member whose process ends under the first request that changes something, and another
/// process that then comes up at its address and serves. Returns the address, and the requests with
/// an idempotency key that reach the second process.
fn replaced_member() -> (SocketAddr, Arc<Mutex<Vec<Message>>>) {
    let (listener, address) = listen();
    let requests: Arc<Mutex<Vec<Message>>> = Default::default();
    let seen = requests.clone();
    thread::spawn(move || {
        let (first, _) = listener.accept().expect("a connection");
        let begun = Message::read(&mut BufReader::new(&first));
        assert!(begun.is_some(), "the first process begins the request");
        stop_listening(listener);
        let successor = TcpListener::bind(address).expect("the address is free");
        drop(first);
        for stream in successor.incoming() {
            let mut stream = stream.expect("a connection");
            let request = Message::read(&mut BufReader::new(&stream));
            seen.lock().unwrap().extend(request);
            let _ = stream.write_all(ok("served").as_bytes());
        }
    });
    (address, requests)
}

/// Guards against an order that runs twice: the process that had begun it ended, and its retry went
/// to the process that had come up at its address, which may not know its key.
#[test]
fn a_keyed_retry_does_not_go_to_a_process_that_may_be_another() {
    for (scope, status, retries) in [("cell", 502, 0), ("all", 200, 1)] {
        let (address, requests) = replaced_member();
        let text = format!(
            "{}class = \"order\"\n[[class]]\nname = \"order\"\neffect = \"keyed\"\nwindow = \"60s\"\n\
             scope = \"{scope}\"\ndeadline = \"4s\"\n",
            pool(&[address])
        );
        let installation = Installation::start(&text);
        let response = installation.call(&post("Idempotency-Key: k\r\n", "x"));
        assert_eq!(
            (response.status(), requests.lock().unwrap().len()),
            (status, retries),
            "{scope}: {}",
            installation.daemon.log()
        );
    }
}
