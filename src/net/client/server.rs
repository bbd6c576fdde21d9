//! The server of client connections.

use super::connection::ClientConnection;
use super::{DrainState, RequestHandler};
use crate::net::limits::{Limits, ResourceReservation};
use crate::net::trace::step;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Timeouts of client connections.
#[derive(Clone, Copy)]
pub struct ClientTimeouts {
    /// The time for a complete request, or for the head of one whose body has a timeout of its own;
    /// the connection is closed after it.
    pub request: Duration,
    /// The idle time after which a connection is closed.
    pub idle: Duration,
    /// The time within which the client must read some of a response that waits to be written; the
    /// connection is closed after it.
    pub response_idle: Duration,
    /// The time from the start of a shutdown until the requests in progress are failed.
    pub shutdown: Duration,
    /// The time for the client to read the last response on a connection that ends with unread
    /// bytes, which an immediate close would reset. If the unread bytes are the body of an answered
    /// request, it is [`ClientTimeouts::response_idle`].
    pub linger: Duration,
}

/// Serves client connections. `H` handles their requests.
pub struct ClientServer<H> {
    pub(super) handler: Rc<H>,
    pub(super) connections: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    pub(super) limits: Rc<Limits>,
    pub(super) timeouts: ClientTimeouts,
    pub(super) drain: Rc<DrainState>,
    /// Set to true when the listeners are to close.
    pub(super) listeners_closed: watch::Sender<bool>,
    next_number: Cell<u64>,
}

impl<H: RequestHandler> ClientServer<H> {
    /// Creates a server without connections.
    pub fn new(
        handler: Rc<H>,
        limits: Rc<Limits>,
        timeouts: ClientTimeouts,
        drain: Rc<DrainState>,
    ) -> Rc<ClientServer<H>> {
        Rc::new(ClientServer {
            handler,
            connections: RefCell::default(),
            limits,
            timeouts,
            drain,
            listeners_closed: watch::Sender::new(false),
            next_number: Cell::new(0),
        })
    }

    /// Registers an accepted connection.
    pub(super) fn register(
        &self,
        stream: TcpStream,
        descriptor: ResourceReservation,
        listener: usize,
    ) -> Rc<ClientConnection> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let connection = ClientConnection::new(number, listener, stream, descriptor);
        let connection = Rc::new(connection);
        self.connections
            .borrow_mut()
            .insert(number, connection.clone());
        step!(event = "connected", connection = number, door = listener);
        connection
    }
}
