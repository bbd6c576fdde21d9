//! The client connections of this process.

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

/// How long clients may take.
#[derive(Clone, Copy)]
pub struct ClientTimeouts {
    /// For a complete request, or for the head of one whose body has a time-out of its own; then
    /// its connection is closed.
    pub request: Duration,
    /// Without a byte on a connection; then it is closed.
    pub idle: Duration,
    /// From the start of the shutdown; then open requests are failed.
    pub shutdown: Duration,
    /// For the client to read the last response on a connection that ends with bytes unread: a
    /// close would reset it.
    pub linger: Duration,
}

/// Serves clients. `H` handles their requests.
pub struct ClientServer<H> {
    pub(super) handler: Rc<H>,
    pub(super) connections: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    pub(super) limits: Rc<Limits>,
    pub(super) timeouts: ClientTimeouts,
    pub(super) drain: Rc<DrainState>,
    /// Set once the listeners are to close.
    pub(super) listeners_closed: watch::Sender<bool>,
    next_number: Cell<u64>,
}

impl<H: RequestHandler> ClientServer<H> {
    /// A server without connections.
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

    /// Enters a connection that was accepted.
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
