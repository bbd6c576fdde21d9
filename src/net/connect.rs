//! Opening a connection to a backend. One that comes up late is raced by further ones, as in Happy
//! Eyeballs (RFC 8305): nothing was written to any of them, so nothing can run twice, and the first
//! that comes up is used.

use super::io::is_out_of_descriptors;
use super::limits::ResourceReservation;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// Connections that are opened for one attempt at the most.
const MAX_RACED_CONNECTIONS: u32 = 3;

/// Why no connection came up.
#[derive(Debug)]
pub(super) enum ConnectError {
    /// The time was over first.
    TimedOut,
    /// The system's word, such as a refusal.
    Failed(io::Error),
}

/// A connection that is being opened, with the room that it takes.
struct PendingConnection {
    stream: Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>,
    reservation: ResourceReservation,
}

impl PendingConnection {
    fn begin(address: SocketAddr, reservation: ResourceReservation) -> PendingConnection {
        PendingConnection {
            stream: Box::pin(TcpStream::connect(address)),
            reservation,
        }
    }
}

/// Opens a connection within `timeout`. While none has come up, another is begun at each further part
/// of that time, where `reserve_more` gives room for it. Those that did not come up first are closed.
pub(super) async fn open(
    address: SocketAddr,
    (first, reserve_more): (
        ResourceReservation,
        impl Fn() -> Option<ResourceReservation>,
    ),
    (until, timeout): (Instant, Duration),
) -> Result<(TcpStream, ResourceReservation), ConnectError> {
    let interval = timeout / (MAX_RACED_CONNECTIONS + 1);
    let until = until.min(Instant::now() + timeout);
    let mut pending = vec![PendingConnection::begin(address, first)];
    let mut begun = 1;
    loop {
        let wait_until = if begun < MAX_RACED_CONNECTIONS {
            until.min(Instant::now() + interval)
        } else {
            until
        };
        match timeout_at(wait_until.into(), next_completed(&mut pending)).await {
            Ok((Ok(stream), reservation)) => return Ok((stream, reservation)),
            // The others are on their way: want of descriptors here says nothing of them.
            Ok((Err(error), _)) if is_out_of_descriptors(&error) && !pending.is_empty() => {
                begun = MAX_RACED_CONNECTIONS
            }
            Ok((Err(error), _)) => return Err(ConnectError::Failed(error)),
            Err(_) if wait_until >= until => return Err(ConnectError::TimedOut),
            Err(_) => {
                begun += 1;
                pending.extend(
                    reserve_more()
                        .map(|reservation| PendingConnection::begin(address, reservation)),
                );
            }
        }
    }
}

/// The first that has ended, taken out of those that are under way.
async fn next_completed(
    pending: &mut Vec<PendingConnection>,
) -> (io::Result<TcpStream>, ResourceReservation) {
    poll_fn(|context: &mut Context<'_>| {
        for at in 0..pending.len() {
            if let Poll::Ready(ended) = pending[at].stream.as_mut().poll(context) {
                return Poll::Ready((ended, pending.swap_remove(at).reservation));
            }
        }
        Poll::Pending
    })
    .await
}

#[cfg(test)]
mod tests;
