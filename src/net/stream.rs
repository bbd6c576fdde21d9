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
const PARTS_WAITING: usize = 2;

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
    cut: Cell<bool>,
    ended: Cell<Option<std::time::Instant>>,
    news: Notify,
}

impl Upload {
    /// Whether its caller broke it off.
    pub fn is_interrupted(&self) -> bool {
        self.cut.get()
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
            self.news.notified().await;
        }
    }

    fn end(&self) {
        if self.ended.get().is_none() {
            self.ended.set(Some(std::time::Instant::now()));
            self.news.notify_waiters();
        }
    }
}

/// The body of a request that is too large to be kept: what was read of it, and what is still to
/// come. It can go out once.
pub struct StreamedRequestBody {
    first: Bytes,
    rest: Incoming,
    /// What is left of it, where its caller told; else what it may still hold.
    left: u64,
    exact: bool,
    idle: Duration,
    timer: Pin<Box<Sleep>>,
    upload: Rc<Upload>,
}

impl StreamedRequestBody {
    /// A body of an exact length, or of `most` bytes at the most. A caller that sends nothing for
    /// `idle` cuts it.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        exact: Option<u64>,
        most: u64,
        idle: Duration,
        upload: Rc<Upload>,
    ) -> StreamedRequestBody {
        let timer = Box::pin(sleep(idle));
        StreamedRequestBody {
            first,
            rest,
            left: exact.unwrap_or(most),
            exact: exact.is_some(),
            idle,
            timer,
            upload,
        }
    }

    fn cut(&self) -> Poll<Option<Result<Frame<Bytes>, TruncatedMessage>>> {
        self.upload.cut.set(true);
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
            let data = if !me.first.is_empty() {
                std::mem::take(&mut me.first)
            } else if let Poll::Ready(frame) = Pin::new(&mut me.rest).poll_frame(cx) {
                match frame {
                    None if me.exact && me.left > 0 => return me.cut(),
                    None => {
                        me.upload.end();
                        return Poll::Ready(None);
                    }
                    Some(Err(_)) => return me.cut(),
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => data,
                        // Trailers end here.
                        Err(_) => continue,
                    },
                }
            } else {
                ready!(me.timer.as_mut().poll(cx));
                return me.cut();
            };
            me.timer.as_mut().reset(Instant::now() + me.idle);
            match me.left.checked_sub(data.len() as u64) {
                Some(left) => me.left = left,
                None => return me.cut(),
            }
            if me.exact && me.left == 0 {
                me.upload.end();
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn is_end_stream(&self) -> bool {
        self.exact && self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        if self.exact {
            SizeHint::with_exact(self.left)
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
pub type Parts = mpsc::Sender<Result<Bytes, TruncatedMessage>>;

/// An answer's body on its way from a backend.
pub struct StreamedResponseBody {
    parts: mpsc::Receiver<Result<Bytes, TruncatedMessage>>,
    left: Option<u64>,
    broken: bool,
    is_complete: Rc<Cell<bool>>,
}

impl StreamedResponseBody {
    /// A body of a length, if that is known, and where its parts are put.
    pub fn new(length: Option<u64>) -> (Parts, StreamedResponseBody) {
        let (sender, parts) = mpsc::channel(PARTS_WAITING);
        (
            sender,
            StreamedResponseBody {
                parts,
                left: length,
                broken: false,
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
                if body_stream.broken {
                    return Poll::Ready(Some(Err(TruncatedMessage)));
                }
                let part = ready!(body_stream.parts.poll_recv(cx));
                match &part {
                    Some(Ok(part)) => {
                        body_stream.left = body_stream
                            .left
                            .map(|left| left.saturating_sub(part.len() as u64));
                        body_stream.is_complete.set(body_stream.left == Some(0));
                    }
                    // hyper drops what it has not written when a body breaks. Told a turn later, it
                    // writes first: a caller whose answer came in one piece
                    // with its break would else get no answer at all.
                    Some(Err(TruncatedMessage)) => {
                        body_stream.broken = true;
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                    None => body_stream.is_complete.set(true),
                }
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ClientResponseBody::Buffered(body) => body.is_end_stream(),
            ClientResponseBody::Streamed(body_stream, _) => body_stream.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ClientResponseBody::Buffered(body) => body.size_hint(),
            ClientResponseBody::Streamed(body_stream, _) => body_stream
                .left
                .map_or(SizeHint::new(), SizeHint::with_exact),
        }
    }
}
