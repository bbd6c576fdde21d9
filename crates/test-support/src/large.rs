//! Backends for load: one that answers at once and keeps no record, one whose answers are large.

use crate::{listen, ok, Message};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

/// Starts a backend that answers every request without a body by this text.
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

/// A backend that answers a path that ends in `/large` with many bytes as fast as they are read,
/// and anything else with `short`.
pub struct Large {
    /// Where it listens.
    pub address: SocketAddr,
    /// How many bytes of large answers its sockets took.
    pub sent: Arc<AtomicU64>,
    /// How many large answers broke off, as their connection was closed.
    pub broken: Arc<AtomicUsize>,
}

impl Large {
    /// Starts one whose large answers have so many bytes.
    pub fn start(bytes: usize) -> Large {
        let (sent, broken): (Arc<AtomicU64>, Arc<AtomicUsize>) = Default::default();
        let (counted, ended) = (sent.clone(), broken.clone());
        let part = vec![b'x'; 64 << 10];
        let address = serve(move |message, stream| {
            if !message.head.contains("/large ") {
                return stream.write_all(ok("short").as_bytes()).is_ok();
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n\r\n");
            let mut alive = stream.write_all(head.as_bytes()).is_ok();
            let mut left = bytes;
            while alive && left > 0 {
                let now = part.len().min(left);
                alive = stream.write_all(&part[..now]).is_ok();
                left -= now;
                counted.fetch_add(now as u64, Ordering::SeqCst);
            }
            ended.fetch_add(usize::from(!alive), Ordering::SeqCst);
            alive
        });
        Large {
            address,
            sent,
            broken,
        }
    }
}
