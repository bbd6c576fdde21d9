//! Listening sockets: made here, or handed down by whoever started this process.

use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Listens at an address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await
}

/// The listening socket that this process was started with as this descriptor. It stays open under
/// its own number too. A number says nothing of who owns what it names, so the descriptor is asked
/// of the kernel by pidfd_getfd(2), which gives another one for the same socket.
pub fn inherited(number: i32) -> Result<TcpListener> {
    let me = pidfd_open(getpid(), PidfdFlags::empty())?;
    let owned = pidfd_getfd(me, number, PidfdGetfdFlags::empty())?;
    let listener = std::net::TcpListener::from(owned);
    if !socket2::SockRef::from(&listener).is_listener()? {
        return Err(Error::new(ErrorKind::InvalidInput, "it does not listen"));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
