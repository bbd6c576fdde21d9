//! Listening sockets: created by this process, or inherited from its parent.

use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Binds a listening socket to an address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Returns the listening socket that this process inherited as a descriptor. A raw number proves no
/// ownership of the descriptor, so pidfd_getfd(2) duplicates it; the original number stays open.
///
/// # Errors
///
/// If the number is not an open descriptor, or not that of a listening socket.
pub fn inherited(number: i32) -> Result<TcpListener> {
    let this_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    let owned = pidfd_getfd(this_process, number, PidfdGetfdFlags::empty())?;
    let listener = std::net::TcpListener::from(owned);
    if !socket2::SockRef::from(&listener).is_listener()? {
        return Err(Error::new(ErrorKind::InvalidInput, "it does not listen"));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
