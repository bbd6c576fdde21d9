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
const OPENED_MOST: u32 = 3;

/// Why no connection came up.
#[derive(Debug)]
pub(super) enum ConnectError {
    /// The time was over first.
    Late,
    /// The system's word, such as a refusal.
    Failed(io::Error),
}

/// A connection that is being opened, with the room that it takes.
struct Opening {
    stream: Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>,
    room: ResourceReservation,
}

impl Opening {
    fn begin(address: SocketAddr, room: ResourceReservation) -> Opening {
        Opening {
            stream: Box::pin(TcpStream::connect(address)),
            room,
        }
    }
}

/// Opens a connection within `most`. While none has come up, another is begun at each further part
/// of that time, where `more_room` gives room for it. Those that did not come up first are closed.
pub(super) async fn open(
    address: SocketAddr,
    (first, more_room): (
        ResourceReservation,
        impl Fn() -> Option<ResourceReservation>,
    ),
    (until, most): (Instant, Duration),
) -> Result<(TcpStream, ResourceReservation), ConnectError> {
    let apart = most / (OPENED_MOST + 1);
    let until = until.min(Instant::now() + most);
    let mut openings = vec![Opening::begin(address, first)];
    let mut begun = 1;
    loop {
        let wait_until = if begun < OPENED_MOST {
            until.min(Instant::now() + apart)
        } else {
            until
        };
        match timeout_at(wait_until.into(), first_of(&mut openings)).await {
            Ok((Ok(stream), room)) => return Ok((stream, room)),
            // The others are on their way: want of descriptors here says nothing of them.
            Ok((Err(error), _)) if is_out_of_descriptors(&error) && !openings.is_empty() => {
                begun = OPENED_MOST
            }
            Ok((Err(error), _)) => return Err(ConnectError::Failed(error)),
            Err(_) if wait_until >= until => return Err(ConnectError::Late),
            Err(_) => {
                begun += 1;
                openings.extend(more_room().map(|room| Opening::begin(address, room)));
            }
        }
    }
}

/// The first that has ended, taken out of those that are under way.
async fn first_of(openings: &mut Vec<Opening>) -> (io::Result<TcpStream>, ResourceReservation) {
    poll_fn(|context: &mut Context<'_>| {
        for at in 0..openings.len() {
            if let Poll::Ready(ended) = openings[at].stream.as_mut().poll(context) {
                return Poll::Ready((ended, openings.swap_remove(at).room));
            }
        }
        Poll::Pending
    })
    .await
}

#[cfg(test)]
mod tests;
