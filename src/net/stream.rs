//! Bodies that are passed on as they come: a request's on its way to a backend, an answer's on its
//! way to a caller. Both hold a bounded part at a time and wait for the reader.

use super::limits;
use bytes::Bytes;
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
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, Instant, Sleep};

/// How many parts of an answer wait for its caller. Each is as much as one read of a backend's
/// connection gives.
const MAX_QUEUED_CHUNKS: usize = 2;

/// A message ends before it is whole. The connection that carries it ends with it, so that its
/// reader can tell.
#[derive(Debug)]
pub struct TruncatedMessage;

impl fmt::Display for TruncatedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the message was cut")
    }
}

impl std::error::Error for TruncatedMessage {}

/// How far the body of a request has come that is passed on.
#[derive(Default)]
pub struct Upload {
    interrupted: Cell<bool>,
    ended: Cell<Option<std::time::Instant>>,
    ended_notify: Notify,
}

impl Upload {
    /// Whether its caller broke it off.
    pub fn is_interrupted(&self) -> bool {
        self.interrupted.get()
    }

    /// When its last byte came, if it has.
    pub fn ended_at(&self) -> Option<std::time::Instant> {
        self.ended.get()
    }

    /// Waits until its last byte has come.
    pub async fn ended(&self) -> std::time::Instant {
        loop {
            if let Some(at) = self.ended.get() {
                return at;
            }
            self.ended_notify.notified().await;
        }
    }

    fn end(&self) {
        if self.ended.get().is_none() {
            self.ended.set(Some(std::time::Instant::now()));
            self.ended_notify.notify_waiters();
        }
    }
}

/// The body of a request that is too large to be kept: what was read of it, and what is still to
/// come. It can go out once.
pub struct StreamedRequestBody {
    buffered: Bytes,
    body: Incoming,
    /// What is left of it, where its caller told; else what it may still hold.
    remaining: u64,
    is_exact: bool,
    idle_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    upload: Rc<Upload>,
}

impl StreamedRequestBody {
    /// A body of an exact length, or of `most` bytes at the most. A caller that sends nothing for
    /// `idle` cuts it.
    pub fn new(
        buffered: Bytes,
        body: Incoming,
        exact: Option<u64>,
        max_bytes: u64,
        idle_timeout: Duration,
        upload: Rc<Upload>,
    ) -> StreamedRequestBody {
        let timer = Box::pin(sleep(idle_timeout));
        StreamedRequestBody {
            buffered,
            body,
            remaining: exact.unwrap_or(max_bytes),
            is_exact: exact.is_some(),
            idle_timeout,
            timer,
            upload,
        }
    }

    fn interrupt(&self) -> Poll<Option<Result<Frame<Bytes>, TruncatedMessage>>> {
        self.upload.interrupted.set(true);
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
            let data = if !me.buffered.is_empty() {
                std::mem::take(&mut me.buffered)
            } else if let Poll::Ready(frame) = Pin::new(&mut me.body).poll_frame(cx) {
                match frame {
                    None if me.is_exact && me.remaining > 0 => return me.interrupt(),
                    None => {
                        me.upload.end();
                        return Poll::Ready(None);
                    }
                    Some(Err(_)) => return me.interrupt(),
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => data,
                        // Trailers end here.
                        Err(_) => continue,
                    },
                }
            } else {
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

/// A request's body on its way out.
pub enum OutboundBody {
    /// Kept.
    Buffered(Full<Bytes>),
    /// Passed on as it comes.
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
                .map_err(|never| match never {}),
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

/// Where an attempt puts the parts of an answer.
pub type ChunkSender = mpsc::Sender<Result<Bytes, TruncatedMessage>>;

/// An answer's body on its way from a backend.
pub struct StreamedResponseBody {
    chunks: mpsc::Receiver<Result<Bytes, TruncatedMessage>>,
    remaining: Option<u64>,
    is_broken: bool,
    is_complete: Rc<Cell<bool>>,
}

impl StreamedResponseBody {
    /// A body of a length, if that is known, and where its parts are put.
    pub fn new(length: Option<u64>) -> (ChunkSender, StreamedResponseBody) {
        let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        (
            sender,
            StreamedResponseBody {
                chunks,
                remaining: length,
                is_broken: false,
                is_complete: Rc::default(),
            },
        )
    }

    /// Whether its caller's connection has taken all of it; may be asked once it is gone.
    pub fn completion_flag(&self) -> Rc<Cell<bool>> {
        self.is_complete.clone()
    }
}

/// An answer's body, held whole or passed on.
pub enum ResponseBody {
    /// Whole, with the room it takes.
    Buffered(limits::Body),
    /// As it comes.
    Streamed(StreamedResponseBody),
}

/// A reply's body on its way to a caller.
pub enum ClientResponseBody {
    /// Whole.
    Buffered(Full<Bytes>),
    /// As it comes; with what is held until it has ended.
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
                .map_err(|never| match never {}),
            ClientResponseBody::Streamed(body_stream, _) => {
                if body_stream.is_broken {
                    return Poll::Ready(Some(Err(TruncatedMessage)));
                }
                let chunk = ready!(body_stream.chunks.poll_recv(cx));
                match &chunk {
                    Some(Ok(chunk)) => {
                        body_stream.remaining = body_stream
                            .remaining
                            .map(|remaining| remaining.saturating_sub(chunk.len() as u64));
                        body_stream
                            .is_complete
                            .set(body_stream.remaining == Some(0));
                    }
                    // hyper drops what it has not written when a body breaks. Told a turn later, it
                    // writes first: a caller whose answer came in one piece
                    // with its break would else get no answer at all.
                    Some(Err(TruncatedMessage)) => {
                        body_stream.is_broken = true;
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                    None => body_stream.is_complete.set(true),
                }
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
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
