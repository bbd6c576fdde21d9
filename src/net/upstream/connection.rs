//! One connection to an endpoint, and whether it can carry another request.

use crate::net::io::{Io, TrackedSocket};
use crate::net::limits::{ResourceReservation, MAX_READ_AHEAD_BYTES};
use crate::net::stream::OutboundBody;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use std::error::Error as _;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// A connection and its protocol in one piece: dropping it closes the socket at once, also with a
/// request out, so that no attempt outlives its giving up.
pub struct EndpointConnection {
    pub(in crate::net) sender: SendRequest<OutboundBody>,
    pub(in crate::net) protocol: Pin<Box<Connection<Io, OutboundBody>>>,
    pub(in crate::net) socket: Rc<TrackedSocket>,
    /// Complete exchanges that it has carried.
    pub(super) exchanges: u32,
    /// Its share of the descriptors.
    _descriptor: ResourceReservation,
}

/// Whether a connection can carry another request.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::net) enum Reuse {
    /// It is idle without a byte to be read.
    Possible,
    /// The connection is over.
    Closed,
    /// The endpoint has sent more than what it was asked for.
    Unsolicited,
}

/// What the end of a connection's protocol says, where the answer on it was complete or no request
/// was written: an error that is not the system's, nor an end too soon, is about bytes that no
/// request asked for.
pub(in crate::net) fn reuse_after(protocol_end: &hyper::Result<()>) -> Reuse {
    match protocol_end {
        Err(error) if error.source().is_none() && !error.is_incomplete_message() => {
            Reuse::Unsolicited
        }
        _ => Reuse::Closed,
    }
}

impl EndpointConnection {
    /// Begins the protocol on a stream that has just been opened.
    pub(super) async fn start(
        stream: TcpStream,
        descriptor: ResourceReservation,
    ) -> hyper::Result<EndpointConnection> {
        let socket = TrackedSocket::new(stream);
        let (sender, protocol) = Builder::new()
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .handshake(Io(socket.clone()))
            .await?;
        Ok(EndpointConnection {
            sender,
            protocol: Box::pin(protocol),
            socket,
            exchanges: 0,
            _descriptor: descriptor,
        })
    }

    /// Lets the protocol see the end of the last exchange.
    pub(in crate::net) async fn settle(&mut self) -> Reuse {
        let polled = poll_fn(|cx| Poll::Ready(self.protocol.as_mut().poll(cx))).await;
        match polled {
            Poll::Pending if !self.sender.is_ready() => Reuse::Closed,
            Poll::Pending => self.reuse(),
            Poll::Ready(end) => reuse_after(&end),
        }
    }

    /// What the socket itself says of an idle connection. A server may say why it closes a
    /// connection: bytes before its end are no second answer.
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
