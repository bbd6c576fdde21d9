//! The thin wrapper between hyper and a TCP stream. It stamps the last read, from which deadlines run, and
//! follows a request on its way out, so that it is known whether the last byte of it was written.

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Result, Write as _};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;
use tokio::net::TcpStream;

/// Writes a line to the log. Guards against the panic of `eprintln!` where nobody reads the log any more.
pub fn log(line: impl std::fmt::Display) {
    let _ = writeln!(std::io::stderr(), "dewrun: {line}");
}

/// Whether a call failed because this process, or the system, may open no more descriptors.
pub fn out_of_descriptors(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const CHUNK: usize = 8 * 1024;

/// How much of one request has been written.
#[derive(Default)]
struct Written {
    bytes: usize,
    matched: usize,
    body_left: usize,
}

impl Written {
    fn add(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len();
        for (at, byte) in bytes.iter().enumerate() {
            if self.matched == HEAD_END.len() {
                self.body_left = self.body_left.saturating_sub(bytes.len() - at);
                return;
            }
            self.matched = match (*byte == HEAD_END[self.matched], *byte) {
                (true, _) => self.matched + 1,
                (false, b'\r') => 1,
                (false, _) => 0,
            };
        }
    }
}

/// A TCP stream with what is known of its traffic.
pub struct Wire {
    stream: TcpStream,
    last_read: Cell<Instant>,
    begun: Cell<Option<Instant>>,
    stuck: Cell<bool>,
    written: RefCell<Written>,
}

impl Wire {
    /// Takes a stream over; small messages must not wait for the peer's acknowledgement.
    pub fn new(stream: TcpStream) -> Rc<Wire> {
        // Fails only on a stream that is already dead, which the first read tells.
        let _ = stream.set_nodelay(true);
        let last_read = Cell::new(Instant::now());
        let (begun, stuck) = (Cell::new(None), Cell::new(false));
        Rc::new(Wire { stream, last_read, begun, stuck, written: RefCell::default() })
    }

    /// When the last bytes were read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// When the first bytes of the message that is being read came; `None` between two messages.
    pub fn begun(&self) -> Option<Instant> {
        self.begun.get()
    }

    /// The message that was being read is done with.
    pub fn message_over(&self) {
        self.begun.set(None);
    }

    /// Whether what is to be written waits for the peer to read.
    pub fn is_stuck(&self) -> bool {
        self.stuck.get()
    }

    /// A request with a body of so many bytes is about to be written.
    pub fn begin_request(&self, body: usize) {
        *self.written.borrow_mut() = Written { body_left: body, ..Written::default() };
    }

    /// Whether any byte of the request was written.
    pub fn request_begun(&self) -> bool {
        self.written.borrow().bytes > 0
    }

    /// Whether the last byte of the request was written.
    pub fn request_whole(&self) -> bool {
        let written = self.written.borrow();
        written.matched == HEAD_END.len() && written.body_left == 0
    }

    /// Whether the peer holds the connection open and has sent nothing that is still unread. Asks the
    /// socket itself: the runtime's own view may be one turn old.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// A [`Wire`] as hyper reads and writes it. It offers no vectored writes, so hyper puts the head and the
/// body of a message into one write.
pub struct Io(pub Rc<Wire>);

impl Read for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>) -> Poll<Result<()>> {
        let mut chunk = [0; CHUNK];
        let room = buf.remaining().min(CHUNK);
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(&mut chunk[..room]) {
                Ok(n) => {
                    let now = Instant::now();
                    self.0.last_read.set(now);
                    self.0.begun.set(self.0.begun.get().or(Some(now)));
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write(buf) {
                Ok(n) => {
                    self.0.written.borrow_mut().add(&buf[..n]);
                    self.0.stuck.set(n < buf.len());
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.0.stuck.set(true),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_whole_only_with_its_last_body_byte() {
        let mut written = Written { body_left: 3, ..Written::default() };
        for part in [&b"POST / HTTP/1.1\r\nA: b\r"[..], b"\n\r", b"\nab"] {
            written.add(part);
            assert!(written.matched < HEAD_END.len() || written.body_left > 0);
        }
        written.add(b"c");
        assert_eq!((written.matched, written.body_left), (HEAD_END.len(), 0));
    }
}
