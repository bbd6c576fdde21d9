//! Resource limits of the process: descriptors, in a fixed part for clients and for endpoints, and
//! memory for bodies. Both sides reserve here, so that one cannot use what the other has reserved.

use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Descriptors reserved for the listener, discovery, the runtime and the standard streams.
const RESERVED_SOCKETS: usize = 32;
/// Maximum number of connections beyond the client limit that stay open until a request on them is
/// rejected.
const MAX_REJECTED_CONNECTIONS: usize = 12;
/// Divisor of the memory that bodies may use. A byte in transit is in memory up to three times: as it
/// was read, as it is forwarded, and in the write buffer.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Maximum size of a body that is always buffered, on the platform.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a body on the platform, in either direction: a response that declares more is
/// malformed.
pub const MAX_BODY_BYTES: u64 = 48 << 20;
/// Maximum number of bytes that are read ahead on one connection, so also of a message head. A head
/// needs a few KiB.
pub const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Timeout for the head of a client's request, measured from connecting, or on a used connection
/// from the first byte.
pub const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Idle time after which a client connection is closed.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum pause within a response that is buffered to be relayed, on the platform. The deadline of
/// its request may end the wait earlier.
pub const RELAYED_RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum pause within a response that is read only so that its connection can be reused, on the
/// platform.
pub const UNRELAYED_RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_millis(700);

/// Limit of a resource that is reserved and released in parts.
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

    /// Reserves an amount until the result is dropped. Returns `None` if less than that is left.
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

    /// Returns whether more than a quarter of the resource is left.
    pub fn has_headroom(&self) -> bool {
        self.reserved.get() < self.max / 4 * 3
    }

    /// Returns the total amount of the resource.
    pub fn max(&self) -> usize {
        self.max
    }
}

impl ResourceReservation {
    /// Enlarges the reservation. Returns false if less than that is left.
    pub fn try_grow(&mut self, amount: usize) -> bool {
        let more = self.limit.try_reserve(amount);
        if let Some(mut more) = more {
            self.amount += std::mem::take(&mut more.amount);
            return true;
        }
        false
    }

    /// Returns the reserved amount.
    pub fn amount(&self) -> usize {
        self.amount
    }
}

/// A reserved part of a [`ResourceLimit`], released when dropped.
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

/// A complete body and its memory reservation.
pub struct Body {
    /// Bytes of the body.
    pub bytes: Bytes,
    _reservation: ResourceReservation,
}

impl Body {
    /// Creates a body from its bytes and their reservation.
    pub fn new(bytes: Bytes, reservation: ResourceReservation) -> Body {
        Body {
            bytes,
            _reservation: reservation,
        }
    }
}

/// Resource limits of this process.
pub struct Limits {
    /// Client connections.
    pub clients: Rc<ResourceLimit>,
    /// Connections to endpoints.
    pub upstream: Rc<ResourceLimit>,
    /// Client connections beyond the limit, which are rejected.
    pub rejected_connections: Rc<ResourceLimit>,
    /// Bytes of bodies, of requests and of responses.
    pub bytes: Rc<ResourceLimit>,
    /// Maximum size in bytes of a buffered response body.
    pub max_buffered_body_bytes: usize,
}

impl Limits {
    /// Divides the available sockets and memory. Each open request uses a client connection and an
    /// upstream connection.
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
