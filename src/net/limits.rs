//! What the process may hold at once: descriptors, in a fixed share for either side, and the bytes
//! of bodies. Both sides ask here, so that what one takes is not missing at the other.

use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Descriptors kept for the listener, discovery, the runtime and the standard streams.
const RESERVED_SOCKETS: usize = 32;
/// How many of them connections may have that there is no room for, until what comes on them is
/// refused.
const MAX_REJECTED_CONNECTIONS: usize = 12;
/// Part of the memory that bodies and answers may take. On its way each byte is held up to three
/// times: as it was read, as it is passed on, and in the buffer that is written.
const BODY_MEMORY_DIVISOR: usize = 4;
/// The largest body that is surely held whole, on the platform.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The largest body on either side there: an answer that claims more is spoilt.
pub const MAX_BODY_BYTES: u64 = 48 << 20;
/// The most that is read ahead on one connection, so also the largest head. A head needs a few KiB.
pub const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Longest wait for the head of a caller's request: from connecting, or on a used connection from
/// its first byte.
pub const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_600);
/// A caller's connection that has carried nothing for this long is closed.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest pause within an answer that is held, on the platform.
pub const RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_millis(700);

/// So much of something as may be held at once.
pub struct ResourceLimit {
    max: usize,
    reserved: Cell<usize>,
}

impl ResourceLimit {
    fn new(max: usize) -> Rc<ResourceLimit> {
        Rc::new(ResourceLimit {
            max,
            reserved: Cell::new(0),
        })
    }

    /// Takes an amount until the result is dropped; `None` if so much is not left.
    pub fn try_reserve(self: &Rc<ResourceLimit>, amount: usize) -> Option<ResourceReservation> {
        let reserved = self
            .reserved
            .get()
            .checked_add(amount)
            .filter(|reserved| *reserved <= self.max)?;
        self.reserved.set(reserved);
        Some(ResourceReservation {
            limit: self.clone(),
            amount,
        })
    }

    /// Whether more than a quarter of it is left.
    pub fn has_headroom(&self) -> bool {
        self.reserved.get() < self.max / 4 * 3
    }

    /// How much there is in all.
    pub fn max(&self) -> usize {
        self.max
    }
}

impl ResourceReservation {
    /// Takes more; false if so much is not left.
    pub fn try_grow(&mut self, by: usize) -> bool {
        let more = self.limit.try_reserve(by);
        if let Some(mut more) = more {
            self.amount += std::mem::take(&mut more.amount);
            return true;
        }
        false
    }

    /// How much it holds.
    pub fn amount(&self) -> usize {
        self.amount
    }
}

/// A part of a [`ResourceLimit`], given back when dropped.
pub struct ResourceReservation {
    limit: Rc<ResourceLimit>,
    amount: usize,
}

impl Drop for ResourceReservation {
    fn drop(&mut self) {
        self.limit
            .reserved
            .set(self.limit.reserved.get() - self.amount);
    }
}

/// A whole body with the room that it takes.
pub struct Body {
    /// Its bytes.
    pub bytes: Bytes,
    _reservation: ResourceReservation,
}

impl Body {
    /// A body that takes so much room.
    pub fn new(bytes: Bytes, reservation: ResourceReservation) -> Body {
        Body {
            bytes,
            _reservation: reservation,
        }
    }
}

/// The limits of this process.
pub struct Limits {
    /// Callers' connections.
    pub clients: Rc<ResourceLimit>,
    /// Connections to backends.
    pub upstream: Rc<ResourceLimit>,
    /// Callers' connections that there is no room for.
    pub rejected_connections: Rc<ResourceLimit>,
    /// Bytes of bodies, from clients and from backends.
    pub bytes: Rc<ResourceLimit>,
    /// The largest body that is held whole.
    pub max_buffered_body_bytes: usize,
}

impl Limits {
    /// Shares out what the platform gives. Each open request holds a caller's connection and an
    /// upstream one.
    pub fn new(sockets: usize, memory: usize, max_buffered_body_bytes: usize) -> Rc<Limits> {
        let side = sockets.saturating_sub(RESERVED_SOCKETS).max(2) / 2;
        let bytes = memory / BODY_MEMORY_DIVISOR;
        Rc::new(Limits {
            clients: ResourceLimit::new(side),
            upstream: ResourceLimit::new(side),
            rejected_connections: ResourceLimit::new(MAX_REJECTED_CONNECTIONS),
            bytes: ResourceLimit::new(bytes.max(2 * max_buffered_body_bytes)),
            max_buffered_body_bytes,
        })
    }
}

#[cfg(test)]
mod tests;
