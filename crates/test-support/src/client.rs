//! The client side: requests in the form that the platform uses, and connections to send them on.

use crate::{Message, WAIT_TIMEOUT};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// The receive buffer of a client that holds little of a response.
const SMALL_BUFFER_BYTES: usize = 4 * 1024;

/// Returns the text of a request of a class, with a method, a key and a length that fit the class:
/// `read` is a GET without a body, `keyed` carries an idempotency key.
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

/// Opens a client connection and writes a request to it.
pub fn send_request(address: SocketAddr, request: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connecting");
    with_request(stream, request)
}

/// Opens a client connection whose system holds little of a response that is not read, and writes a
/// request to it.
pub fn send_request_with_small_buffer(address: SocketAddr, request: &str) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("a small buffer");
    socket.connect(&address.into()).expect("connecting");
    with_request(TcpStream::from(socket), request)
}

/// Writes a request to a new connection.
fn with_request(mut stream: TcpStream, request: &str) -> TcpStream {
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("setting the read timeout");
    stream
        .write_all(request.as_bytes())
        .expect("writing the request");
    stream
}

/// Reads the next response on a connection; returns `None` at the end of the connection.
pub fn read_response(stream: &TcpStream) -> Option<Message> {
    Message::read(&mut BufReader::new(
        stream.try_clone().expect("cloning the socket handle"),
    ))
}

/// Sends a request on a new connection and reads the response; returns `None` if any step fails.
pub fn try_call(address: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_response(&stream)
}
