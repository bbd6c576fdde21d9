//! Responses that an endpoint sends before it has read the request.

use super::*;
use std::net::{SocketAddr, TcpListener};

/// A body that is streamed, of which the endpoint reads a part.
const UPLOAD_BYTES: usize = 3_000_000;
const READ_BYTES: usize = 100_000;
/// A size that is buffered, and one that is streamed.
const BODY_SIZES: [usize; 2] = [500, 200_000];
/// How often each case is played, since it depends on which side of the proxy is noticed first.
const PLAYS: usize = 20;

/// What an endpoint does once it has written its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    /// It ends the stream and reads the rest of the request.
    EndsAndReads,
    /// It closes the connection, which is reset as bytes are unread.
    Closes,
}

/// Starts an endpoint that responds before it has read the request.
fn endpoint(script: ResponseScript, then: Then) -> SocketAddr {
    let (listener, address): (TcpListener, _) = listen();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                // A reset discards what the endpoint's own system still holds back.
                stream.set_nodelay(true).expect("no delay");
                let mut start = vec![0; READ_BYTES];
                let _ = stream.read_exact(&mut start);
                script.write(&mut stream);
                if then == Then::EndsAndReads {
                    let _ = stream.shutdown(Shutdown::Write);
                    let _ = std::io::copy(&mut stream, &mut std::io::sink());
                }
            });
        }
    });
    address
}

/// Returns the response to a large request, of which the client writes all before it reads.
fn response_to_upload(proxy: &Proxy, id: &str) -> Option<Message> {
    let request = request_text("once", id, 8_000, &"x".repeat(UPLOAD_BYTES));
    try_call(proxy.address, &request)
}

fn proxy_to(address: SocketAddr) -> (Proxy, Discovery) {
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", address, "ready")])));
    let proxy = Proxy::start(DEWRUN, &config(discovery.address, &list(0, true, &[])));
    (proxy, discovery)
}

/// Guards against a complete response that is lost because the proxy closes its client's connection
/// over the unread rest of the request.
#[test]
fn a_complete_early_response_reaches_its_client() {
    for framing in ResponseFraming::ALL {
        for body_bytes in BODY_SIZES {
            let script = ResponseScript::complete(framing, body_bytes);
            let (proxy, _discovery) = proxy_to(endpoint(script, Then::EndsAndReads));
            for play in 0..PLAYS {
                let response = response_to_upload(&proxy, &format!("e{play}"));
                assert!(
                    script.is_answered_by(response.as_ref()),
                    "{play} {script:?}"
                );
            }
        }
    }
}

/// Guards against a complete response that is lost because the rest of the request could not be
/// written, and against a body without a length that looks complete after such a reset.
#[test]
fn an_early_response_is_judged_by_what_arrived_before_the_reset() {
    for framing in ResponseFraming::ALL {
        let script = ResponseScript::complete(framing, BODY_SIZES[0]);
        for play in 0..PLAYS {
            let (proxy, _discovery) = proxy_to(endpoint(script, Then::Closes));
            let response = response_to_upload(&proxy, "r1");
            let is_complete = script.is_answered_by(response.as_ref());
            if framing == ResponseFraming::UntilClose {
                let status = response.as_ref().map(Message::status);
                assert_eq!(status, Some(502), "{play}");
            } else {
                assert!(is_complete, "{play} {script:?}");
            }
        }
    }
}
