//! Establishes a connection to an endpoint. A slow one is raced by further ones, as in Happy
//! Eyeballs (RFC 8305): nothing was written to any of them, so no request can be executed twice,
//! and the first that is established is used.

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

/// Maximum number of connections that are opened for one attempt.
const MAX_RACED_CONNECTIONS: u32 = 3;

/// Reason why no connection was established.
#[derive(Debug)]
pub(super) enum ConnectError {
    /// The timeout elapsed.
    TimedOut,
    /// The system reported an error, such as a refused connection.
    Failed(io::Error),
}

/// A connection that is being established, with its descriptor reservation.
struct PendingConnection {
    stream: Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>,
    reservation: ResourceReservation,
}

impl PendingConnection {
    fn start(address: SocketAddr, reservation: ResourceReservation) -> PendingConnection {
        PendingConnection {
            stream: Box::pin(TcpStream::connect(address)),
            reservation,
        }
    }
}

/// Establishes a connection within `timeout`. Another connection is started at each further
/// fraction of that time if `reserve_more` returns a reservation. The others are closed once one is
/// established.
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
    let mut pending = vec![PendingConnection::start(address, first)];
    let mut started = 1;
    loop {
        let wait_until = if started < MAX_RACED_CONNECTIONS {
            until.min(Instant::now() + interval)
        } else {
            until
        };
        match timeout_at(wait_until.into(), next_completed(&mut pending)).await {
            Ok((Ok(stream), reservation)) => return Ok((stream, reservation)),
            // The other connections are in progress, and a lack of descriptors here does not affect
            // them.
            Ok((Err(error), _)) if is_out_of_descriptors(&error) && !pending.is_empty() => {
                started = MAX_RACED_CONNECTIONS
            }
            Ok((Err(error), _)) => return Err(ConnectError::Failed(error)),
            Err(_) if wait_until >= until => return Err(ConnectError::TimedOut),
            Err(_) => {
                started += 1;
                pending.extend(
                    reserve_more()
                        .map(|reservation| PendingConnection::start(address, reservation)),
                );
            }
        }
    }
}

/// Waits for the first connection that is established or has failed, and removes it from the
/// pending ones.
async fn next_completed(
    pending: &mut Vec<PendingConnection>,
) -> (io::Result<TcpStream>, ResourceReservation) {
    poll_fn(|context: &mut Context<'_>| {
        for index in 0..pending.len() {
            if let Poll::Ready(result) = pending[index].stream.as_mut().poll(context) {
                return Poll::Ready((result, pending.swap_remove(index).reservation));
            }
        }
        Poll::Pending
    })
    .await
}

#[cfg(test)]
mod tests;
