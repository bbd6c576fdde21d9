//! Endpoints for load: one that answers at once and records nothing, and one with large responses.

use crate::{listen, ok, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

/// Starts an endpoint that answers every request with this text. Requests must have no body.
pub fn quick(text: String) -> SocketAddr {
    serve(move |_, stream| stream.write_all(text.as_bytes()).is_ok())
}

fn serve(answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.expect("a connection"), answer.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                while let Some(message) = Message::read_head(&mut reader) {
                    if !answer(&message, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// An endpoint that answers a path ending in `/large` with a large body, as fast as it is read, and
/// any other path with `short`.
pub struct Large {
    /// The listen address.
    pub address: SocketAddr,
    /// Bytes of large responses that were written to the sockets.
    pub sent: Arc<AtomicU64>,
    /// Large responses that were cut short because the connection was closed.
    pub broken: Arc<AtomicUsize>,
}

impl Large {
    /// Starts an endpoint whose large responses have a body of this size.
    pub fn start(bytes: usize) -> Large {
        let (sent, broken): (Arc<AtomicU64>, Arc<AtomicUsize>) = Default::default();
        let (sent_bytes, broken_responses) = (sent.clone(), broken.clone());
        let part = vec![b'x'; 64 << 10];
        let address = serve(move |message, stream| {
            if !message.head.contains("/large ") {
                return stream.write_all(ok("short").as_bytes()).is_ok();
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n");
            let mut is_open = stream.write_all(head.as_bytes()).is_ok();
            let mut remaining = bytes;
            while is_open && remaining > 0 {
                let count = part.len().min(remaining);
                is_open = stream.write_all(&part[..count]).is_ok();
                remaining -= count;
                sent_bytes.fetch_add(count as u64, Ordering::SeqCst);
            }
            broken_responses.fetch_add(usize::from(!is_open), Ordering::SeqCst);
            is_open
        });
        Large {
            address,
            sent,
            broken,
        }
    }
}
