//! Clients that send more than is read, and endpoints that fail while that waits.

use crate::{ok, Backend, WAIT_TIMEOUT};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a full connection takes nothing before it counts as full.
const FULL_AFTER: Duration = Duration::from_millis(100);

/// Writes a text again and again until the systems at both ends take no more of it.
pub fn fill_connection(stream: &mut TcpStream, text: &str) {
    stream.set_nonblocking(true).expect("it does not block");
    let started = Instant::now();
    let mut last_written_at = started;
    while last_written_at.elapsed() < FULL_AFTER {
        assert!(started.elapsed() < WAIT_TIMEOUT, "it is read");
        match stream.write(text.as_bytes()) {
            Ok(_) => last_written_at = Instant::now(),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                thread::sleep(Duration::from_millis(1));
            }
            Err(_) => return,
        }
    }
    stream.set_nonblocking(false).expect("it blocks");
}

/// Starts two endpoints of which the first one to get a request turns it away after a pause, as not
/// started. All other requests are answered at once.
pub fn endpoints_that_turn_one_away(pause: Duration) -> [Backend; 2] {
    const TURNED_AWAY: &str = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    let is_first = Arc::new(AtomicBool::new(true));
    [(), ()].map(|()| {
        let is_first = is_first.clone();
        Backend::start(move |_, stream| {
            if !is_first.swap(false, Ordering::SeqCst) {
                return stream.write_all(ok("hello").as_bytes()).is_ok();
            }
            thread::sleep(pause);
            stream.write_all(TURNED_AWAY.as_bytes()).is_ok()
        })
    })
}
