//! One client connection: what it carries, and when it may be closed.

use crate::net::io::TrackedSocket;
use crate::net::limits::{self, ResourceReservation};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Whether and how a connection was asked to close.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CloseRequest {
    /// It was not.
    None,
    /// After the request that has begun on it.
    Graceful,
    /// At once, unless a complete request was taken from it.
    Immediate,
}

/// A client connection.
pub struct ClientConnection {
    /// Its number in this process.
    pub(super) number: u64,
    /// The index of the listener that accepted it.
    pub listener: usize,
    /// Its socket.
    pub socket: Rc<TrackedSocket>,
    /// A complete request was taken from it and has no response yet.
    pub(super) has_open_request: Cell<bool>,
    /// A valid head was read and the body is being read, which has time-outs of its own.
    pub(super) is_reading_body: Cell<bool>,
    /// Valid requests so far; stops counting at the largest number.
    pub(super) valid_requests: Cell<u8>,
    /// When it was accepted, or had its last response.
    pub(super) last_used: Cell<Instant>,
    /// The memory of its last response, which may still wait to be written.
    pub(super) response_memory: RefCell<Option<limits::Body>>,
    pub(super) close_request: Cell<CloseRequest>,
    pub(super) close_requested: Notify,
    _descriptor: ResourceReservation,
}

impl ClientConnection {
    /// A connection that was just accepted by a listener.
    pub(super) fn new(
        number: u64,
        listener: usize,
        stream: TcpStream,
        descriptor: ResourceReservation,
    ) -> ClientConnection {
        ClientConnection {
            number,
            listener,
            socket: TrackedSocket::new(stream),
            has_open_request: Cell::new(false),
            is_reading_body: Cell::new(false),
            valid_requests: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            response_memory: RefCell::default(),
            close_request: Cell::new(CloseRequest::None),
            close_requested: Notify::new(),
            _descriptor: descriptor,
        }
    }

    /// Whether it can be closed without harm: no byte of a request was read or waits to be read.
    pub(super) fn is_idle(&self) -> bool {
        let is_between_requests =
            !self.has_open_request.get() && self.socket.message_started_at().is_none();
        is_between_requests
            && self.close_request.get() == CloseRequest::None
            && self.socket.is_idle()
    }

    /// Whether its client has taken longer than `limit` for a complete request: nothing came, or
    /// the head does not end. A connection that has carried a request may be idle between two.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        let waiting_since = if self.valid_requests.get() > 0 {
            self.socket.message_started_at()
        } else {
            Some(self.last_used.get())
        };
        !self.has_open_request.get()
            && !self.is_reading_body.get()
            && waiting_since.is_some_and(|since| since.elapsed() >= limit)
    }

    /// A valid head was read, and its body follows. The connection may still be evicted.
    pub fn begin_body(&self) {
        self.is_reading_body.set(true);
    }

    /// A complete request was taken, or the valid head of one that is streamed: from here on it is
    /// answered, whatever else is closed.
    pub fn begin_request(&self) {
        self.has_open_request.set(true);
        self.valid_requests
            .set(self.valid_requests.get().saturating_add(1));
    }

    /// When its request was complete: with its last byte, or with the response before it if the
    /// client sent the request ahead of that.
    pub fn request_completed_at(&self) -> Instant {
        self.socket.last_read().max(self.last_used.get())
    }

    /// Holds the memory of a response until it has been written.
    pub fn hold_response_memory(&self, body: limits::Body) {
        self.response_memory.replace(Some(body));
    }

    /// Its request is answered.
    pub(super) fn finish_request(&self) {
        self.has_open_request.set(false);
        self.is_reading_body.set(false);
        self.last_used.set(Instant::now());
        self.socket.finish_message();
    }

    /// When the last byte passed on it.
    pub(super) fn idle_since(&self) -> Instant {
        self.last_used.get().max(self.socket.last_written())
    }

    /// Asks the task that serves it to close it.
    pub(super) fn close(&self, how: CloseRequest) {
        self.close_request.set(how);
        self.close_requested.notify_one();
    }
}

/// Marks a connection as busy until the body of its response has ended.
pub(super) struct BusyGuard(pub(super) Rc<ClientConnection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.finish_request();
    }
}
