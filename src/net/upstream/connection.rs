//! A connection to an endpoint and its reuse.

use crate::net::io::{EndpointIo, TrackedSocket};
use crate::net::limits::{ResourceReservation, MAX_READ_AHEAD_BYTES};
use crate::net::stream::OutboundBody;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use std::error::Error as _;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// A connection together with its HTTP protocol. Dropping it closes the socket at once, even with a
/// request in flight, so that no attempt continues after it is abandoned.
pub struct EndpointConnection {
    pub(in crate::net) sender: SendRequest<OutboundBody>,
    pub(in crate::net) protocol: Pin<Box<Connection<EndpointIo, OutboundBody>>>,
    pub(in crate::net) socket: Rc<TrackedSocket>,
    /// Number of complete exchanges on this connection.
    pub(super) exchanges: u32,
    /// Reservation of one descriptor.
    _descriptor: ResourceReservation,
}

/// Whether a connection can carry another request.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::net) enum Reuse {
    /// The connection is idle and has no unread byte.
    Possible,
    /// The connection is closed.
    Closed,
    /// The endpoint has sent bytes that no request asked for.
    Unsolicited,
}

/// Classifies the end of a connection's protocol after a complete response or before a request was
/// written. An error that is neither an I/O error nor a premature end is about bytes that no
/// request asked for.
pub(in crate::net) fn classify_protocol_end(protocol_end: &hyper::Result<()>) -> Reuse {
    match protocol_end {
        Err(error) if error.source().is_none() && !error.is_incomplete_message() => {
            Reuse::Unsolicited
        }
        _ => Reuse::Closed,
    }
}

impl EndpointConnection {
    /// Starts HTTP on a stream that has just been opened.
    pub(super) async fn start(
        stream: TcpStream,
        descriptor: ResourceReservation,
    ) -> hyper::Result<EndpointConnection> {
        let socket = TrackedSocket::new(stream);
        let (sender, protocol) = Builder::new()
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .handshake(EndpointIo::new(socket.clone(), MAX_READ_AHEAD_BYTES))
            .await?;
        Ok(EndpointConnection {
            sender,
            protocol: Box::pin(protocol),
            socket,
            exchanges: 0,
            _descriptor: descriptor,
        })
    }

    /// Polls the protocol so that it notices the end of the last exchange.
    pub(in crate::net) async fn settle(&mut self) -> Reuse {
        let polled = poll_fn(|cx| Poll::Ready(self.protocol.as_mut().poll(cx))).await;
        match polled {
            Poll::Pending if !self.sender.is_ready() => Reuse::Closed,
            Poll::Pending => self.reuse(),
            Poll::Ready(end) => classify_protocol_end(&end),
        }
    }

    /// Classifies an idle connection by its socket. An endpoint may send the reason before it
    /// closes a connection, so bytes before the end of the stream are not a second response.
    pub(super) fn reuse(&self) -> Reuse {
        if self.socket.is_idle() {
            Reuse::Possible
        } else if self.socket.has_unread() && !self.socket.is_closed_by_peer() {
            Reuse::Unsolicited
        } else {
            Reuse::Closed
        }
    }
}
