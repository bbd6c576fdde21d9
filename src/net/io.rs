//! Adapters between hyper and a TCP stream. They record the time of the last read, from which
//! deadlines are measured, and track a request while it is written, so that it is known whether its
//! last byte was. [`ClientIo`] and [`EndpointIo`] check every byte of a peer before hyper reads it.

mod client;
mod endpoint;
mod passed;
mod validated;

pub use client::ClientIo;
pub use endpoint::EndpointIo;

use dewrun_admin::Counter;
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
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Prints an error to standard error. Unlike `eprintln!`, it does not panic if nobody reads
/// standard error.
pub fn print_error(line: impl std::fmt::Display) {
    let _ = writeln!(std::io::stderr(), "dewrun: {line}");
}

/// Returns whether a call failed because this process or the system may open no more descriptors.
pub fn is_out_of_descriptors(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const CHUNK_BYTES: usize = 8 * 1024;
/// Unread bytes up to which the receive window counts as open; systems begin with a larger one.
const MIN_RECEIVE_WINDOW_BYTES: u64 = 32 * 1024;

/// How much of a request has been written.
#[derive(Default)]
struct RequestProgress {
    bytes: usize,
    head_end_matched: usize,
    body_remaining: usize,
    /// Time from which its first byte may not be written any more.
    first_byte_by: Option<Instant>,
    /// Counter of completely written requests, until this one is counted.
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

/// A TCP stream that tracks its traffic.
pub struct TrackedSocket {
    stream: TcpStream,
    last_read: Cell<Instant>,
    message_started_at: Cell<Option<Instant>>,
    write_blocked: Cell<bool>,
    last_written: Cell<Instant>,
    /// How a write failed, if one has: nothing more can be written.
    write_failure: Cell<Option<ErrorKind>>,
    /// Whether the close of the connection is a reset.
    resets_on_close: Cell<bool>,
    /// Time from the last byte of a request to an endpoint to the first byte that was read since.
    response_time: Cell<Option<Duration>>,
    written: RefCell<RequestProgress>,
}

impl TrackedSocket {
    /// Wraps a stream. Small messages must not wait for the peer's acknowledgement.
    pub fn new(stream: TcpStream) -> Rc<TrackedSocket> {
        // This fails only on a stream that is already closed, which the first read reports.
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
            write_failure: Cell::default(),
            resets_on_close: Cell::default(),
            response_time: Cell::default(),
            written: RefCell::default(),
        })
    }

    /// Returns the time at which bytes were last read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// Returns the time at which the first bytes of the current message were read; `None` between
    /// two messages.
    pub fn message_started_at(&self) -> Option<Instant> {
        self.message_started_at.get()
    }

    /// Marks the current message as finished.
    pub fn finish_message(&self) {
        self.message_started_at.set(None);
    }

    /// Returns whether the last write has to wait until the peer reads.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Returns the time at which bytes were last written.
    pub fn last_written(&self) -> Instant {
        self.last_written.get()
    }

    /// Returns the time from the last byte of the request to an endpoint to the first byte of its
    /// response; zero if the response came before. `None` if none has come.
    pub fn response_time(&self) -> Option<Duration> {
        self.response_time.get()
    }

    /// Records that bytes of a response to the current request were read, if there is one.
    fn record_response(&self, now: Instant) {
        if self.response_time.get().is_none() && self.is_request_begun() {
            let elapsed = now.saturating_duration_since(self.last_written.get());
            self.response_time.set(Some(elapsed));
        }
    }

    /// Returns the peer's address; `None` if the peer has disconnected.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// Starts tracking a request with a body of `body` bytes, which is counted once it is
    /// completely written. Writing fails if its first byte has not been written by `first_byte_by`.
    pub fn begin_request(&self, body: usize, first_byte_by: Instant, counter: Counter) {
        self.response_time.set(None);
        *self.written.borrow_mut() = RequestProgress {
            body_remaining: body,
            first_byte_by: Some(first_byte_by),
            counter: Some(counter),
            ..RequestProgress::default()
        };
    }

    /// Marks the body of the request as completely written, whatever length was expected.
    pub fn end_request(&self) {
        let mut written = self.written.borrow_mut();
        written.body_remaining = 0;
        written.record(&[]);
    }

    /// Returns whether any byte of the request was written.
    pub fn has_begun_request(&self) -> bool {
        self.written.borrow().bytes > 0
    }

    /// Returns whether no byte of the request was written in time, so that none will be.
    pub fn is_first_byte_late(&self) -> bool {
        self.written.borrow().is_first_byte_late()
    }

    /// Returns whether the head of the request was completely written.
    pub fn is_request_head_written(&self) -> bool {
        self.written.borrow().head_end_matched == HEAD_END.len()
    }

    /// Returns whether the last byte of the request was written.
    pub fn is_request_written(&self) -> bool {
        self.written.borrow().is_complete()
    }

    /// Records that a write failed. Returns whether a part of the response to the request that was
    /// being written has arrived, so that the rest may be read.
    ///
    /// The system reports a reset once, to the writer or to the reader: the reader would then find
    /// the end of the stream. A reset behind the end of the stream is a `BrokenPipe`.
    fn record_write_failure(&self, error: &std::io::Error) -> bool {
        self.write_failure.set(Some(error.kind()));
        self.response_time.get().is_some() || (self.is_request_begun() && self.has_unread())
    }

    /// Returns whether a request to an endpoint has been begun with a first byte.
    fn is_request_begun(&self) -> bool {
        let written = self.written.borrow();
        written.first_byte_by.is_some() && written.bytes > 0
    }

    /// Returns whether what looks like the end of the stream is a reset that a write has reported.
    fn is_end_a_reset(&self) -> bool {
        let failure = self.write_failure.get();
        failure.is_some_and(|kind| kind != ErrorKind::BrokenPipe)
    }

    /// Reads into `buffer`. Returns 0 at the end of the stream.
    fn poll_read_into(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buffer) {
                Ok(0) if self.is_end_a_reset() => {
                    return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
                }
                Ok(n) => {
                    let now = Instant::now();
                    self.last_read.set(now);
                    self.record_response(now);
                    self.message_started_at
                        .set(self.message_started_at.get().or(Some(now)));
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Lets the close of the connection be a reset, with no end of the stream before it: a peer that
    /// takes the end of the stream for that of a message sees that the message is truncated.
    pub fn reset_on_close(&self) {
        self.resets_on_close.set(true);
        // This fails only on a connection that the peer has closed.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Shuts down the sending side, then reads and discards until the peer does the same.
    pub async fn drain(&self) {
        if self.resets_on_close.get() {
            return;
        }
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        // The buffer must not live across an await, or it would be a part of every connection's
        // task.
        poll_fn(|cx| {
            let mut chunk = [0; CHUNK_BYTES];
            while let Ok(1..) = ready!(self.poll_read_into(cx, &mut chunk)) {}
            Poll::Ready(())
        })
        .await;
    }

    /// Returns whether the peer has sent bytes that are not read yet, according to the socket.
    pub fn has_unread(&self) -> bool {
        matches!(
            SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]),
            Ok(1..)
        )
    }

    /// Returns the number of bytes that the peer has sent and that are not read yet; 0 if the system
    /// does not tell.
    pub fn unread_bytes(&self) -> u64 {
        rustix::io::ioctl_fionread(&self.stream).unwrap_or_default()
    }

    /// Returns whether the peer may have closed the connection although it looks open: its system
    /// holds the end of the stream back while the receive window is full.
    pub fn may_hide_close(&self) -> bool {
        self.unread_bytes() > MIN_RECEIVE_WINDOW_BYTES
    }

    /// Waits until there is something to read or the peer has disconnected.
    pub async fn readable(&self) {
        let _ = self.stream.readable().await;
    }

    /// Waits until the peer has closed the connection; forever if the peer has sent bytes that are
    /// not read.
    pub async fn closed(&self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            pending().await
        }
    }

    /// Writes a final response on a connection on which no other response is being written, and
    /// reads until the peer stops sending, so that the peer receives the response and not a reset.
    pub async fn send_final_response(&self, response: &[u8]) {
        if self
            .stream
            .try_write(response)
            .is_ok_and(|n| n == response.len())
        {
            self.drain().await;
        }
    }

    /// Returns whether the peer has closed the connection or its sending side, as far as this
    /// machine knows. Earlier bytes may still be unread: the end of the stream cannot be read
    /// behind them, but the runtime has been notified of it.
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

    /// Acknowledges received bytes at once. The system delays acknowledgements by up to 40 ms, and
    /// the peer's system may hold small writes back until then (RFC 896): they would arrive just
    /// after the next request was written.
    pub fn acknowledge(&self) {
        // If the system has no such option, the bytes of the peer are only seen later.
        let _ = SockRef::from(&self.stream).set_tcp_quickack(true);
    }

    /// Returns whether the connection is open and has no unread bytes, according to the socket: the
    /// runtime's view may be one turn old.
    pub fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// A [`TrackedSocket`] that hyper reads and writes. It offers no vectored writes, so hyper puts the
/// head and the body of a message into one write.
pub struct Io(pub Rc<TrackedSocket>);

impl Read for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let mut chunk = [0; CHUNK_BYTES];
        let capacity = buf.remaining().min(CHUNK_BYTES);
        let n = ready!(self.0.poll_read_into(cx, &mut chunk[..capacity]))?;
        buf.put_slice(&chunk[..n]);
        Poll::Ready(Ok(()))
    }
}

impl Write for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        if self.0.write_failure.get().is_some() {
            // The reader goes on, and its end is that of the connection.
            return Poll::Pending;
        }
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
                Err(e) if self.0.record_write_failure(&e) => return Poll::Pending,
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
mod tests;
