//! The ids of requests that must not run twice.

use super::service::{start_on_inherited_listener, start_serving_as};
use super::*;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Starts an endpoint that does not answer its first request, and all others.
fn endpoint_that_hangs_once() -> Backend {
    Backend::start(|n, stream| n == 0 || stream.write_all(OK.as_bytes()).is_ok())
}

fn discovery_of(endpoint: &Backend) -> Discovery {
    let listed = [entry("b0", endpoint.address, "ready")];
    Discovery::start(Some(list(5, true, &listed)))
}

/// Guards against a request that runs twice: its client left while it may have run, and the id came
/// again on another connection.
#[test]
fn the_id_of_a_request_whose_client_left_is_rejected() {
    let endpoint = endpoint_that_hangs_once();
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let request = request_text("once", "c1", 20_000, "x");
    let client = send_request(proxy.address, &request);
    until("the request is in flight", || endpoint.request_count() == 1);
    drop(client);
    until("its attempt is cancelled", || {
        endpoint.closed.load(Ordering::SeqCst) == 1
    });
    assert_eq!(proxy.call(&request).status(), 409);
    assert_eq!(endpoint.request_count(), 1);
    let other = request_text("once", "c2", 20_000, "x");
    assert_eq!(proxy.call(&other).status(), 200);
}

/// Guards against a request that runs twice at an upgrade: its client left while it may have run at
/// the old process, and the id came again at the new one.
#[test]
fn the_id_of_a_request_whose_client_left_is_rejected_by_a_successor() {
    let endpoint = endpoint_that_hangs_once();
    let discovery = discovery_of(&endpoint);
    let config = config(discovery.address, &list(0, true, &[]));
    let (listener, address) = listen();
    let folder = Folder::new();
    let shared = folder.path("");
    let mut old = start_on_inherited_listener(&listener, free_address(), &shared, &config);
    let request = request_text("once", "i1", 20_000, "x");
    let client = send_request(address, &request);
    until("the request is in flight", || endpoint.request_count() == 1);
    drop(client);
    until("its attempt is cancelled", || {
        endpoint.closed.load(Ordering::SeqCst) == 1
    });
    // The old process writes its note while the new one starts.
    let _new = start_on_inherited_listener(&listener, free_address(), &shared, &config);
    old.signal("-TERM");
    assert!(old.wait().success());
    let again = try_call(address, &request).expect("a response");
    assert_eq!((again.status(), endpoint.request_count()), (409, 1));
    let other = request_text("once", "i2", 20_000, "x");
    assert_eq!(try_call(address, &other).expect("a response").status(), 200);
}

/// Guards against a request that runs twice at an upgrade: its id came again at the other process while
/// it was in progress, or right after its client had left.
#[test]
fn an_id_in_use_at_one_process_of_an_upgrade_is_rejected_by_the_other() {
    let endpoint = endpoint_that_hangs_once();
    let discovery = discovery_of(&endpoint);
    let config = config(discovery.address, &list(0, true, &[]));
    // Each process has an address of its own, so that the test chooses who gets a request.
    let ([one, other], folder) = ([listen(), listen()], Folder::new());
    let shared = folder.path("");
    let start = |listener| start_serving_as(one.1, listener, free_address(), &shared, &config);
    let _processes = [start(&one.0), start(&other.0)];
    let request = request_text("once", "u1", 20_000, "x");
    let client = send_request(one.1, &request);
    until("the request is in flight", || endpoint.request_count() == 1);
    let in_progress = try_call(other.1, &request).expect("a response");
    drop(client);
    let abandoned = try_call(other.1, &request).expect("a response");
    assert_eq!(
        (
            in_progress.status(),
            abandoned.status(),
            endpoint.request_count()
        ),
        (409, 409, 1)
    );
    // An id is free again once its request has been answered, wherever it comes then.
    let next = request_text("keyed", "u2", 20_000, "x");
    for address in [one.1, other.1, one.1] {
        let response = try_call(address, &next).expect("a response");
        assert_eq!(response.status(), 200);
    }
}

/// Guards against a request that runs twice: its client left while the response was streamed.
#[test]
fn the_id_of_a_request_whose_client_left_within_the_response_is_rejected() {
    const BODY_BYTES: usize = 8 << 20;
    let cancelled = Arc::new(AtomicBool::new(false));
    let seen = cancelled.clone();
    let endpoint = Backend::start(move |_, stream| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let is_written = stream.write_all(&vec![b'y'; BODY_BYTES]).is_ok();
        seen.fetch_or(!is_written, Ordering::SeqCst);
        is_written
    });
    let (proxy, _discovery) = proxy_for(&[&endpoint]);
    let request = request_text("once", "p1", 20_000, "x");
    let mut client = send_request(proxy.address, &request);
    client
        .read_exact(&mut [0; 1_000])
        .expect("the response begins");
    drop(client);
    until("the response is cancelled", || {
        cancelled.load(Ordering::SeqCst)
    });
    assert_eq!(
        (proxy.call(&request).status(), endpoint.request_count()),
        (409, 1)
    );
}
