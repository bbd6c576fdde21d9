//! The fleet's UDP socket, with counters of its packets and a filter for fault drills.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Packets of the fleet's socket since the start, and their payload in bytes.
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

/// Decides which packets pass between an agent and the network, for fault drills. The others are
/// lost.
pub trait PacketFilter {
    /// Whether a packet to this address arrives there.
    fn sends(&self, to: SocketAddr) -> bool;

    /// Whether a packet from this address arrives here.
    fn receives(&self, from: SocketAddr) -> bool;
}

/// The fleet's socket.
pub(crate) struct Transport {
    socket: UdpSocket,
    filter: Option<Rc<dyn PacketFilter>>,
    traffic: Cell<Traffic>,
}

impl Transport {
    /// Binds an address.
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

    /// The counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Waits for a packet and returns its length; `None` if the socket failed.
    pub async fn receive(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            let (length, from) = self.socket.recv_from(buffer).await.ok()?;
            if self.admits(length, from) {
                return Some(length);
            }
        }
    }

    /// Reads a packet that has arrived already and returns its length; `None` if there is none.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            let (length, from) = self.socket.try_recv_from(buffer).ok()?;
            if self.admits(length, from) {
                return Some(length);
            }
        }
    }

    /// Counts a received packet, unless the filter drops it.
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

    /// Sends a packet. A packet that cannot be sent is lost, as any packet may be.
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
