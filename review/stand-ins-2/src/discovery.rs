//! A stand-in for discovery: it answers a call with the whole list, and a watch with an empty line every
//! 2 s. Its list does not change.

use crate::http::Reader;
use crate::{list, Case};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Starts discovery with this list, and returns its address.
pub fn start(case: &Case, index: u32, entries: &[String]) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    case.log(format!("discovery at {address}"));
    let (case, whole) = (case.clone(), list(index, true, entries));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (case, whole) = (case.clone(), whole.clone());
            thread::spawn(move || answer(&case, &whole, index, stream));
        }
    });
    address
}

fn answer(case: &Case, whole: &str, index: u32, mut stream: TcpStream) {
    let mut reader = Reader::new(stream.try_clone().expect("a second handle"));
    let Some(request) = reader.message() else {
        return;
    };
    case.log(format!("discovery got {}", request.start));
    let target = request.start.split(' ').nth(1).unwrap_or("");
    if !target.contains("stream=1") {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
        let _ = stream.write_all(format!("{head}{whole}").as_bytes());
        return;
    }
    // The first line holds what changed after the version that the proxy has, or the whole list.
    let knows_it = target.ends_with(&format!("index={index}"));
    let first = if knows_it {
        "\n".into()
    } else {
        format!("{whole}\n")
    };
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut goes_on = stream.write_all(head).is_ok() && chunk(&mut stream, &first);
    while goes_on {
        thread::sleep(Duration::from_secs(2));
        goes_on = chunk(&mut stream, "\n");
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> bool {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).is_ok()
}
