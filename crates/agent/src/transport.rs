//! The fleet's socket: packets as bytes, and how many of them came and went.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Packets of the fleet's socket since the start, and their bytes without packet heads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Packets that went out.
    pub packets_sent: u64,
    /// Their bytes.
    pub bytes_sent: u64,
    /// Packets that came, also those that were not taken.
    pub packets_received: u64,
    /// Their bytes.
    pub bytes_received: u64,
}

/// Decides which packets pass between an agent and the network, for trials of faults. What does not
/// pass is lost on the way.
pub trait PacketFilter {
    /// Whether a packet that was sent to this address gets there.
    fn sends(&self, to: SocketAddr) -> bool;

    /// Whether a packet that was sent from this address gets here.
    fn receives(&self, from: SocketAddr) -> bool;
}

/// The socket.
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

    /// What came and went so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Waits for a packet; gives its length, or none if the socket failed.
    pub async fn receive(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            let (length, from) = self.socket.recv_from(buffer).await.ok()?;
            if self.admits(length, from) {
                return Some(length);
            }
        }
    }

    /// The length of a packet that is there already.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<usize> {
        loop {
            let (length, from) = self.socket.try_recv_from(buffer).ok()?;
            if self.admits(length, from) {
                return Some(length);
            }
        }
    }

    /// Counts a packet that came, unless it was to be lost on the way.
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

    /// Sends a packet. What can't be sent is as good as lost on the way.
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
