//! Eviction: the choice of a connection to close for a new one.

use super::connection::{ClientConnection, CloseRequest};
use super::{ClientServer, RequestHandler};
use std::rc::Rc;
use std::time::Duration;

/// A connection without a first byte after this time is the first choice for eviction.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(100);
/// The idle time after which a connection that carried a single request may be evicted.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);

impl<H: RequestHandler> ClientServer<H> {
    /// Requests the close of one connection; returns false if all are busy. The order of choice:
    ///
    /// 1. the oldest that has sent nothing for [`FIRST_BYTE_TIMEOUT`];
    /// 2. the longest idle of those that carried one request and were idle for
    ///    [`MIN_IDLE_BEFORE_EVICTION`];
    /// 3. of those without a valid request, the one that has sent nothing for longest, as a slow
    ///    client still sends bytes;
    /// 4. the longest idle of the others.
    pub(super) fn evict(&self) -> bool {
        let connections = self.connections.borrow();
        if connections.values().any(|c| is_closing_now(c)) {
            // The descriptor of this connection is about to be released.
            return true;
        }
        let candidates: Vec<&Rc<ClientConnection>> = connections
            .values()
            .filter(|c| !c.is_busy() && c.close_request.get() == CloseRequest::None)
            .collect();
        let victim = oldest_silent(&candidates)
            .or_else(|| longest_idle(&candidates, is_idle_after_one_request))
            .or_else(|| longest_silent_without_request(&candidates))
            .or_else(|| longest_idle(&candidates, |_| true));
        let Some((connection, how)) = victim else {
            return false;
        };
        connection.close(how);
        true
    }
}

type Victim<'a> = Option<(&'a Rc<ClientConnection>, CloseRequest)>;

fn is_closing_now(connection: &ClientConnection) -> bool {
    connection.close_request.get() == CloseRequest::Immediate && !connection.is_busy()
}

fn is_silent(connection: &ClientConnection) -> bool {
    connection.valid_requests.get() == 0
        && connection.socket.message_started_at().is_none()
        && connection.last_used.get().elapsed() >= FIRST_BYTE_TIMEOUT
}

fn is_idle_after_one_request(connection: &ClientConnection) -> bool {
    connection.valid_requests.get() == 1
        && connection.last_used.get().elapsed() >= MIN_IDLE_BEFORE_EVICTION
}

fn oldest_silent<'a>(candidates: &[&'a Rc<ClientConnection>]) -> Victim<'a> {
    let silent = candidates.iter().filter(|c| is_silent(c));
    let oldest = silent.min_by_key(|c| c.last_used.get())?;
    Some((oldest, CloseRequest::Immediate))
}

fn longest_silent_without_request<'a>(candidates: &[&'a Rc<ClientConnection>]) -> Victim<'a> {
    let without_request = candidates.iter().filter(|c| c.valid_requests.get() == 0);
    let longest_silent = without_request.min_by_key(|c| c.socket.last_read())?;
    Some((longest_silent, CloseRequest::Immediate))
}

fn longest_idle<'a>(
    candidates: &[&'a Rc<ClientConnection>],
    is_eligible: impl Fn(&ClientConnection) -> bool,
) -> Victim<'a> {
    let idle = candidates
        .iter()
        .filter(|c| is_eligible(c) && c.valid_requests.get() > 0 && c.is_idle());
    let longest = idle.min_by_key(|c| c.last_used.get())?;
    Some((longest, CloseRequest::Graceful))
}
