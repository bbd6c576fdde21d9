//! The fleet's UDP socket, with packet counters and a packet filter for fault drills.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Counters of the fleet's socket since the start. Bytes are those of packet payloads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Packets sent.
    pub packets_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Packets received, including those that were rejected.
    pub packets_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

/// A filter that drops packets between an agent and the network, for fault drills.
pub trait PacketFilter {
    /// Returns whether a packet to this address is delivered.
    fn sends(&self, to: SocketAddr) -> bool;

    /// Returns whether a packet from this address is received.
    fn receives(&self, from: SocketAddr) -> bool;
}

/// The fleet's UDP socket.
pub(crate) struct Transport {
    socket: UdpSocket,
    filter: Option<Rc<dyn PacketFilter>>,
    traffic: Cell<Traffic>,
}

impl Transport {
    /// Binds the socket to an address.
    pub async fn bind(
        address: SocketAddr,
        filter: Option<Rc<dyn PacketFilter>>,
    ) -> std::io::Result<Transport> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Transport {
            socket,
            filter,
            traffic: Cell::default(),
        })
    }

    /// Returns the counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Waits for a packet and returns its length, or `None` if the socket has failed.
    pub async fn receive(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            let (length, from) = self.socket.recv_from(buffer).await.ok()?;
            if self.admits(length, from) {
                return Some(length);
            }
        }
    }

    /// Reads a packet that has already arrived and returns its length, or `None` if there is none.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            let (length, from) = self.socket.try_recv_from(buffer).ok()?;
            if self.admits(length, from) {
                return Some(length);
            }
        }
    }

    /// Counts a received packet and returns true, unless the filter drops it.
    fn admits(&self, length: usize, from: SocketAddr) -> bool {
        if self
            .filter
            .as_ref()
            .is_some_and(|filter| !filter.receives(from))
        {
            return false;
        }
        let mut traffic = self.traffic.get();
        traffic.packets_received += 1;
        traffic.bytes_received += length as u64;
        self.traffic.set(traffic);
        true
    }

    /// Sends a packet. A packet that cannot be sent is dropped without an error, because the
    /// protocol tolerates packet loss.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let passes = self.filter.as_ref().is_none_or(|filter| filter.sends(to));
        if passes && self.socket.try_send_to(bytes, to).is_err() {
            return;
        }
        let mut traffic = self.traffic.get();
        traffic.packets_sent += 1;
        traffic.bytes_sent += bytes.len() as u64;
        self.traffic.set(traffic);
    }
}
