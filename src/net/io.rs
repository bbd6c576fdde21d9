//! The thin wrapper between hyper and a TCP stream. It stamps the last read, from which deadlines
//! run, and follows a request on its way out, so that it is known whether the last byte of it was
//! written. [`GuardedIo`] has every byte of a caller's checked before hyper reads it.

use dewrun_admin::Counter;
use dewrun_framing::{FramingError, Guard};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::{pending, poll_fn, Future};
use std::io::{ErrorKind, Result, Write as _};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Instant;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Says on standard error why the program can't go on. Guards against the panic of `eprintln!`
/// where nobody reads it.
pub fn print_error(line: impl std::fmt::Display) {
    let _ = writeln!(std::io::stderr(), "dewrun: {line}");
}

/// Whether a call failed because this process, or the system, may open no more descriptors.
pub fn is_out_of_descriptors(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const CHUNK_BYTES: usize = 8 * 1024;

/// How much of one request has been written.
#[derive(Default)]
struct RequestProgress {
    bytes: usize,
    head_end_matched: usize,
    body_remaining: usize,
    /// From when on its first byte may not be written any more.
    first_byte_by: Option<Instant>,
    /// Counts it once it is whole.
    counter: Option<Counter>,
}

impl RequestProgress {
    fn is_complete(&self) -> bool {
        self.head_end_matched == HEAD_END.len() && self.body_remaining == 0
    }

    fn is_first_byte_late(&self) -> bool {
        self.bytes == 0 && self.first_byte_by.is_some_and(|by| Instant::now() >= by)
    }

    fn record(&mut self, bytes: &[u8]) {
        self.advance(bytes);
        if self.is_complete() {
            if let Some(counter) = self.counter.take() {
                counter.inc();
            }
        }
    }

    fn advance(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len();
        for (at, byte) in bytes.iter().enumerate() {
            if self.head_end_matched == HEAD_END.len() {
                self.body_remaining = self.body_remaining.saturating_sub(bytes.len() - at);
                return;
            }
            self.head_end_matched = match (*byte == HEAD_END[self.head_end_matched], *byte) {
                (true, _) => self.head_end_matched + 1,
                (false, b'\r') => 1,
                (false, _) => 0,
            };
        }
    }
}

/// A TCP stream with what is known of its traffic.
pub struct TrackedSocket {
    stream: TcpStream,
    last_read: Cell<Instant>,
    message_started_at: Cell<Option<Instant>>,
    write_blocked: Cell<bool>,
    last_written: Cell<Instant>,
    written: RefCell<RequestProgress>,
}

impl TrackedSocket {
    /// Takes a stream over; small messages must not wait for the peer's acknowledgement.
    pub fn new(stream: TcpStream) -> Rc<TrackedSocket> {
        // Fails only on a stream that is already dead, which the first read tells.
        let _ = stream.set_nodelay(true);
        let last_read = Cell::new(Instant::now());
        let (message_started_at, write_blocked, last_written) =
            (Cell::new(None), Cell::new(false), last_read.clone());
        Rc::new(TrackedSocket {
            stream,
            last_read,
            message_started_at,
            write_blocked,
            last_written,
            written: RefCell::default(),
        })
    }

    /// When the last bytes were read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// When the first bytes of the message that is being read came; `None` between two messages.
    pub fn message_started_at(&self) -> Option<Instant> {
        self.message_started_at.get()
    }

    /// The message that was being read is done with.
    pub fn finish_message(&self) {
        self.message_started_at.set(None);
    }

    /// Whether what is to be written waits for the peer to read.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// When the peer last took bytes.
    pub fn last_written(&self) -> Instant {
        self.last_written.get()
    }

    /// The peer's address; `None` if it has gone.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// A request with a body of so many bytes is about to be written, and counted once it is. If
    /// its first byte has not been written by `first_byte_by`, writing fails.
    pub fn begin_request(&self, body: usize, first_byte_by: Instant, counter: Counter) {
        *self.written.borrow_mut() = RequestProgress {
            body_remaining: body,
            first_byte_by: Some(first_byte_by),
            counter: Some(counter),
            ..RequestProgress::default()
        };
    }

    /// The request has ended, whatever its length was thought to be.
    pub fn end_request(&self) {
        let mut written = self.written.borrow_mut();
        written.body_remaining = 0;
        written.record(&[]);
    }

    /// Whether any byte of the request was written.
    pub fn has_begun_request(&self) -> bool {
        self.written.borrow().bytes > 0
    }

    /// Whether not a byte of the request was written in time, so that none will be.
    pub fn is_first_byte_late(&self) -> bool {
        self.written.borrow().is_first_byte_late()
    }

    /// Whether the whole head of the request was written.
    pub fn is_request_head_written(&self) -> bool {
        self.written.borrow().head_end_matched == HEAD_END.len()
    }

    /// Whether the last byte of the request was written.
    pub fn is_request_written(&self) -> bool {
        self.written.borrow().is_complete()
    }

    /// Reads into `buffer`; 0 bytes at the end.
    fn poll_read_into(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buffer) {
                Ok(n) => {
                    let now = Instant::now();
                    self.last_read.set(now);
                    self.message_started_at
                        .set(self.message_started_at.get().or(Some(now)));
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Ends the writing side, then reads and forgets until the peer ends too.
    pub async fn drain(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        // The buffer is not kept across a wait: it would stand in the task of every connection.
        poll_fn(|cx| {
            let mut chunk = [0; CHUNK_BYTES];
            while let Ok(1..) = ready!(self.poll_read_into(cx, &mut chunk)) {}
            Poll::Ready(())
        })
        .await;
    }

    /// Whether the peer has sent something that was not read yet. Asks the socket itself.
    pub fn has_unread(&self) -> bool {
        matches!(
            SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]),
            Ok(1..)
        )
    }

    /// Waits until there is something to read, or the peer has gone.
    pub async fn readable(&self) {
        let _ = self.stream.readable().await;
    }

    /// Waits until the peer has closed the connection; for ever, if it has sent something that is not
    /// read.
    pub async fn closed(&self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            pending().await
        }
    }

    /// Says a last word on a connection on which nothing else is being said, and reads on for as
    /// long as the peer writes, so that it gets to see the word and not a reset.
    pub async fn send_final_response(&self, response: &[u8]) {
        if self
            .stream
            .try_write(response)
            .is_ok_and(|n| n == response.len())
        {
            self.drain().await;
        }
    }

    /// Whether the peer has closed the connection or its side of it, as far as this machine knows.
    /// Bytes that came before may be unread still: behind them the end can't be read, but the
    /// runtime has been told of it.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != ErrorKind::WouldBlock,
        }
        let readiness = pin!(self.stream.ready(Interest::READABLE));
        let polled = readiness.poll(&mut Context::from_waker(Waker::noop()));
        matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Has what was read acknowledged now. The system delays acknowledgements by up to 40 ms, and a
    /// peer's system may hold small writes back until then (RFC 896): they would come just behind
    /// the next request.
    pub fn acknowledge(&self) {
        // Where the system has no such option, the peer's bytes are only seen later.
        let _ = SockRef::from(&self.stream).set_tcp_quickack(true);
    }

    /// Whether the peer holds the connection open and has sent nothing that is still unread. Asks
    /// the socket itself: the runtime's own view may be one turn old.
    pub fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// A [`TrackedSocket`] as hyper reads and writes it. It offers no vectored writes, so hyper puts the head
/// and the body of a message into one write.
pub struct Io(pub Rc<TrackedSocket>);

impl Read for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let mut chunk = [0; CHUNK_BYTES];
        let buffer = buf.remaining().min(CHUNK_BYTES);
        let n = ready!(self.0.poll_read_into(cx, &mut chunk[..buffer]))?;
        buf.put_slice(&chunk[..n]);
        Poll::Ready(Ok(()))
    }
}

impl Write for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            if self.0.is_first_byte_late() {
                return Poll::Ready(Err(ErrorKind::TimedOut.into()));
            }
            match self.0.stream.try_write(buf) {
                Ok(n) => {
                    self.0.written.borrow_mut().record(&buf[..n]);
                    self.0.last_written.set(Instant::now());
                    self.0.write_blocked.set(n < buf.len());
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.0.write_blocked.set(true),
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

/// A [`TrackedSocket`] whose bytes go through a [`Guard`] before hyper reads them. In place of a request
/// that the guard refuses hyper reads what it refuses itself, so that its caller is told and the
/// connection ends.
pub struct GuardedIo {
    io: Io,
    guard: Guard,
    /// What the guard let through and hyper has not read yet.
    ready: Vec<u8>,
    read: usize,
}

impl GuardedIo {
    /// Guards a wire, for heads up to a size.
    pub fn new(socket: Rc<TrackedSocket>, max_head_bytes: usize) -> GuardedIo {
        GuardedIo {
            io: Io(socket),
            guard: Guard::new(max_head_bytes),
            ready: Vec::new(),
            read: 0,
        }
    }
}

impl Read for GuardedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let me = &mut *self;
        while me.read == me.ready.len() {
            me.ready.clear();
            me.read = 0;
            match me.guard.error() {
                // More than hyper takes for a head: it says so.
                Some(FramingError::TooLarge) => me.ready.extend_from_slice(&[b'x'; CHUNK_BYTES]),
                Some(_) => me.ready.extend_from_slice(b"\0\r\n\r\n"),
                None => {
                    let mut chunk = [0; CHUNK_BYTES];
                    let n = ready!(me.io.0.poll_read_into(cx, &mut chunk))?;
                    if n == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    me.guard.feed(&chunk[..n], &mut me.ready);
                }
            }
        }
        let n = buf.remaining().min(me.ready.len() - me.read);
        buf.put_slice(&me.ready[me.read..me.read + n]);
        me.read += n;
        if me.read == me.ready.len() {
            // An idle connection holds no buffer.
            me.ready = Vec::new();
            me.read = 0;
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for GuardedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
