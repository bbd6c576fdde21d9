//! Streamed bodies: of a request on its way to an endpoint, and of a response on its way to a
//! client. Both buffer a bounded part and wait for the reader.

use super::limits::{self, ResourceReservation};
use super::upload::UploadProgress;
use bytes::Bytes;
use dewrun_forwarding::BodyLength;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::any::Any;
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant, Sleep};

/// Maximum number of parts of a response that wait for the client. Each has the size of one read
/// from the endpoint's connection.
const MAX_QUEUED_PARTS: usize = 2;

/// Error of a message that ends before it is complete. The connection that carries the message is
/// closed, so that its reader can tell.
#[derive(Debug)]
pub struct TruncatedMessage;

impl fmt::Display for TruncatedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the message ended before it was complete")
    }
}

impl std::error::Error for TruncatedMessage {}

/// Returns the length with which a body will be written.
pub fn written_length(body: &impl Body) -> BodyLength {
    let bytes = body.size_hint().exact();
    bytes.map_or(BodyLength::Unknown, BodyLength::Known)
}

/// Maximum size of a part of a body that is passed to hyper at once, which copies it into a buffer
/// of the connection whatever its size.
const MAX_PART_BYTES: usize = 16 * 1024;

/// The start of a body, which was read before the body turned out to be too large to buffer, and its
/// memory reservation. The default is empty.
#[derive(Default)]
pub struct BodyStart {
    bytes: Bytes,
    reservation: Option<ResourceReservation>,
}

impl BodyStart {
    /// Creates the start of a body, whose bytes are reserved as far as there was memory.
    pub fn new(bytes: Bytes, reservation: ResourceReservation) -> BodyStart {
        BodyStart {
            bytes,
            reservation: Some(reservation),
        }
    }

    /// Returns the number of bytes that have not been taken.
    pub fn remaining_bytes(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Takes the next part. The reservation is released with the last one.
    fn next_part(&mut self) -> Option<Bytes> {
        let length = self.bytes.len().min(MAX_PART_BYTES);
        let part = self.bytes.split_to(length);
        if self.bytes.is_empty() {
            self.reservation = None;
        }
        Some(part).filter(|part| !part.is_empty())
    }
}

/// Body of a request that is too large to buffer: the bytes that were read, and the rest. It can be
/// sent once.
pub struct StreamedRequestBody {
    start: BodyStart,
    body: Incoming,
    /// Remaining bytes if the length is known, else the number of bytes that it may still have.
    remaining: u64,
    is_exact: bool,
    idle_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    upload: Rc<UploadProgress>,
}

impl StreamedRequestBody {
    /// Creates a body of an exact length, or of at most `max_bytes` bytes. It is interrupted if the
    /// client sends nothing for `idle_timeout`.
    pub fn new(
        start: BodyStart,
        body: Incoming,
        exact: Option<u64>,
        max_bytes: u64,
        idle_timeout: Duration,
        upload: Rc<UploadProgress>,
    ) -> StreamedRequestBody {
        let timer = Box::pin(sleep(idle_timeout));
        StreamedRequestBody {
            start,
            body,
            remaining: exact.unwrap_or(max_bytes),
            is_exact: exact.is_some(),
            idle_timeout,
            timer,
            upload,
        }
    }

    fn interrupt(&self) -> Poll<Option<Result<Frame<Bytes>, TruncatedMessage>>> {
        self.upload.interrupt();
        Poll::Ready(Some(Err(TruncatedMessage)))
    }
}

impl Body for StreamedRequestBody {
    type Data = Bytes;
    type Error = TruncatedMessage;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedMessage>>> {
        let me = &mut *self;
        loop {
            let data = if let Some(part) = me.start.next_part() {
                part
            } else if let Poll::Ready(frame) = Pin::new(&mut me.body).poll_frame(cx) {
                match frame {
                    None if me.is_exact && me.remaining > 0 => return me.interrupt(),
                    None => {
                        me.upload.end();
                        return Poll::Ready(None);
                    }
                    Some(Err(_)) => return me.interrupt(),
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => {
                            me.upload.record_read(data.len() as u64);
                            data
                        }
                        // Trailers are not forwarded.
                        Err(_) => continue,
                    },
                }
            } else {
                me.upload.record_wait();
                ready!(me.timer.as_mut().poll(cx));
                return me.interrupt();
            };
            me.timer.as_mut().reset(Instant::now() + me.idle_timeout);
            match me.remaining.checked_sub(data.len() as u64) {
                Some(remaining) => me.remaining = remaining,
                None => return me.interrupt(),
            }
            if me.is_exact && me.remaining == 0 {
                me.upload.end();
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_exact && self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_exact {
            SizeHint::with_exact(self.remaining)
        } else {
            SizeHint::new()
        }
    }
}

/// Body of a request to an endpoint.
pub enum OutboundBody {
    /// A buffered body.
    Buffered(Full<Bytes>),
    /// A streamed body.
    Streamed(StreamedRequestBody),
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = TruncatedMessage;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedMessage>>> {
        match &mut *self {
            OutboundBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|infallible| match infallible {}),
            OutboundBody::Streamed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutboundBody::Buffered(body) => body.is_end_stream(),
            OutboundBody::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutboundBody::Buffered(body) => body.size_hint(),
            OutboundBody::Streamed(body) => body.size_hint(),
        }
    }
}

/// A part of a streamed response.
#[derive(Debug)]
pub enum ResponsePart {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Sender of the parts of a response. A response whose sender is dropped before
/// [`ResponsePart::End`] is truncated, for whatever reason.
pub type PartSender = mpsc::Sender<ResponsePart>;

/// Body of a response that is streamed from an endpoint.
pub struct StreamedResponseBody {
    parts: mpsc::Receiver<ResponsePart>,
    remaining: Option<u64>,
    is_truncated: bool,
    is_complete: Rc<Cell<bool>>,
}

impl StreamedResponseBody {
    /// Creates a body of a length, and the sender of its parts.
    pub fn new(length: BodyLength) -> (PartSender, StreamedResponseBody) {
        let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
        let remaining = match length {
            BodyLength::Known(bytes) => Some(bytes),
            BodyLength::Unknown => None,
        };
        (
            sender,
            StreamedResponseBody {
                parts,
                remaining,
                is_truncated: false,
                is_complete: Rc::default(),
            },
        )
    }

    /// Returns a flag that is set once the client's connection has read all of the body. The flag
    /// outlives the body.
    pub fn completion_flag(&self) -> Rc<Cell<bool>> {
        self.is_complete.clone()
    }

    fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedMessage>>> {
        if self.is_truncated {
            return Poll::Ready(Some(Err(TruncatedMessage)));
        }
        match ready!(self.parts.poll_recv(cx)) {
            Some(ResponsePart::Data(data)) => {
                self.remaining = self
                    .remaining
                    .map(|remaining| remaining.saturating_sub(data.len() as u64));
                self.is_complete.set(self.remaining == Some(0));
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(ResponsePart::End) => {
                self.is_complete.set(true);
                Poll::Ready(None)
            }
            // hyper drops unwritten data when a body fails. With the error delayed by one turn,
            // hyper writes that data first: otherwise a client would get nothing of a response that
            // was read together with its premature end.
            None => {
                self.is_truncated = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

/// Body of a response of an endpoint.
pub enum ResponseBody {
    /// A complete body with its memory reservation.
    Buffered(limits::Body),
    /// A streamed body.
    Streamed(StreamedResponseBody),
}

/// Body of a response to a client.
pub enum ClientResponseBody {
    /// A complete body.
    Buffered(Full<Bytes>),
    /// A streamed body, and a value that is dropped with it.
    Streamed(StreamedResponseBody, Box<dyn Any>),
}

impl From<Full<Bytes>> for ClientResponseBody {
    fn from(body: Full<Bytes>) -> ClientResponseBody {
        ClientResponseBody::Buffered(body)
    }
}

impl Body for ClientResponseBody {
    type Data = Bytes;
    type Error = TruncatedMessage;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedMessage>>> {
        match &mut *self {
            ClientResponseBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|infallible| match infallible {}),
            ClientResponseBody::Streamed(body_stream, _) => body_stream.poll_part(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ClientResponseBody::Buffered(body) => body.is_end_stream(),
            ClientResponseBody::Streamed(body_stream, _) => body_stream.remaining == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ClientResponseBody::Buffered(body) => body.size_hint(),
            ClientResponseBody::Streamed(body_stream, _) => body_stream
                .remaining
                .map_or(SizeHint::new(), SizeHint::with_exact),
        }
    }
}
