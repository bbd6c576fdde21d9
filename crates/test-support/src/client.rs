//! The client's side: requests in the platform's form, and connections to send them on.

use crate::{Message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// A request of a class, on its own connection, with what else is wanted in its head.
pub fn request_text(class: &str, id: &str, timeout_ms: u32, body: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    let key = if class == "keyed" {
        "Idempotency-Key: k1\r\n"
    } else {
        ""
    };
    let length = if class == "read" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} /api/7f3a?q=1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Tenant: acme\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{key}{length}\r\n{body}"
    )
}

/// A connection of a caller's with a request written to it.
pub fn send_request(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a time-out");
    stream
        .write_all(request.as_bytes())
        .expect("the request is written");
    stream
}

/// The next answer on a connection; `None` at its end.
pub fn read_response(stream: &TcpStream) -> Option<Message> {
    Message::read(&mut BufReader::new(
        stream.try_clone().expect("a second handle"),
    ))
}

/// Asks once, on a connection of its own; `None` if that fails.
pub fn try_call(address: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_response(&stream)
}
