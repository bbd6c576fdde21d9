//! One client connection: its state, and when it may be closed.

use crate::net::io::TrackedSocket;
use crate::net::limits::{self, ResourceReservation};
use crate::net::upload::UploadProgress;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Whether and how a connection is requested to close.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CloseRequest {
    /// No close is requested.
    None,
    /// The connection closes after the request that has begun on it.
    Graceful,
    /// The connection closes at once, unless a complete request was received on it.
    Immediate,
}

/// A client connection.
pub struct ClientConnection {
    /// A number that is unique in this process.
    pub(super) number: u64,
    /// The index of the listener that accepted the connection.
    pub listener: usize,
    /// The socket, with the times of its reads and writes.
    pub socket: Rc<TrackedSocket>,
    /// A complete request was received, and has no response yet.
    pub(super) has_request_in_progress: Cell<bool>,
    /// A valid head was read, and the body is being read, which has timeouts of its own.
    pub(super) is_reading_body: Cell<bool>,
    /// The number of valid requests so far; the count saturates.
    pub(super) valid_requests: Cell<u8>,
    /// The time of the accept or of the last response.
    pub(super) last_used: Cell<Instant>,
    /// The streamed body of the last request, if it had one.
    upload: RefCell<Option<Rc<UploadProgress>>>,
    /// The reserved memory of the last response, which may still wait to be written.
    pub(super) response_memory: RefCell<Option<limits::Body>>,
    pub(super) close_request: Cell<CloseRequest>,
    pub(super) close_requested: Notify,
    _descriptor: ResourceReservation,
}

impl ClientConnection {
    /// Creates the state of a connection that a listener just accepted.
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
            has_request_in_progress: Cell::new(false),
            is_reading_body: Cell::new(false),
            valid_requests: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            upload: RefCell::default(),
            response_memory: RefCell::default(),
            close_request: Cell::new(CloseRequest::None),
            close_requested: Notify::new(),
            _descriptor: descriptor,
        }
    }

    /// Whether a request is in progress, or a part of its response waits until the client reads.
    pub(super) fn is_busy(&self) -> bool {
        self.has_request_in_progress.get() || self.socket.is_write_blocked()
    }

    /// Whether a part of a response waits to be written, and the client has read nothing for `limit`.
    pub(super) fn is_response_stalled(&self, limit: Duration) -> bool {
        self.socket.is_write_blocked() && self.socket.last_written().elapsed() >= limit
    }

    /// Whether the connection can be closed without losing a request or a part of a response: no
    /// byte of a request was read or waits to be read, and none of a response waits to be written.
    pub(super) fn is_idle(&self) -> bool {
        let is_between_requests = !self.is_busy() && self.socket.message_started_at().is_none();
        is_between_requests
            && self.close_request.get() == CloseRequest::None
            && self.socket.is_idle()
    }

    /// Whether the client has taken longer than `limit` for a request head: it sent nothing, or an
    /// incomplete head. A connection that has carried a request may be idle until the next one.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        let waiting_since = if self.valid_requests.get() > 0 {
            self.socket.message_started_at()
        } else {
            Some(self.last_used.get())
        };
        !self.is_busy()
            && !self.is_reading_body.get()
            && waiting_since.is_some_and(|since| since.elapsed() >= limit)
    }

    /// Records that a valid head was read and its body follows. The connection may still be
    /// evicted.
    pub fn begin_body(&self) {
        self.is_reading_body.set(true);
    }

    /// Records that a complete request was received, or the valid head of one that is streamed.
    /// From here on the connection is not evicted, so that the request gets a response.
    pub fn begin_request(&self) {
        self.has_request_in_progress.set(true);
        self.valid_requests
            .set(self.valid_requests.get().saturating_add(1));
    }

    /// Records the streamed body of the request; `None` if its body was read completely.
    pub fn set_upload(&self, upload: Option<Rc<UploadProgress>>) {
        self.upload.replace(upload);
    }

    /// Whether the last request was answered before its body was read.
    pub(super) fn has_unread_upload(&self) -> bool {
        let upload = self.upload.borrow();
        upload
            .as_ref()
            .is_some_and(|upload| upload.ended_at().is_none())
    }

    /// Returns the time at which the request was complete: that of its last byte, or that of the
    /// previous response if the client pipelined the request.
    pub fn request_completed_at(&self) -> Instant {
        self.socket.last_read().max(self.last_used.get())
    }

    /// Keeps the reserved memory of a response until it has been written.
    pub fn hold_response_memory(&self, body: limits::Body) {
        self.response_memory.replace(Some(body));
    }

    /// Records that the request has its response.
    pub(super) fn finish_request(&self) {
        self.has_request_in_progress.set(false);
        self.is_reading_body.set(false);
        self.last_used.set(Instant::now());
        self.socket.finish_message();
    }

    /// Returns the time of the last byte that was written, or of the last response if that is
    /// later.
    pub(super) fn idle_since(&self) -> Instant {
        self.last_used.get().max(self.socket.last_written())
    }

    /// Requests the close from the task that serves the connection.
    pub(super) fn close(&self, how: CloseRequest) {
        self.close_request.set(how);
        self.close_requested.notify_one();
    }
}

/// Resets a connection if the body of its response, which ends with the connection, is truncated.
pub(super) struct TruncationGuard {
    pub(super) connection: Rc<ClientConnection>,
    pub(super) is_complete: Rc<Cell<bool>>,
}

impl Drop for TruncationGuard {
    fn drop(&mut self) {
        if !self.is_complete.get() {
            self.connection.socket.reset_on_close();
        }
    }
}

/// Marks a connection as busy until the body of its response has ended.
pub(super) struct BusyGuard(pub(super) Rc<ClientConnection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.finish_request();
    }
}
