//! Accepting client connections.

use super::responses::OVERLOAD_RESPONSE;
use super::{ClientServer, RequestHandler};
use crate::net::io::{is_out_of_descriptors, TrackedSocket};
use crate::net::limits::ResourceReservation;
use crate::net::trace::step;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Turns of the runtime that a new connection waits for the descriptor of an evicted one.
const MAX_EVICTION_TURNS: usize = 32;
/// How long a connection without a descriptor in the clients' share is kept to be rejected: for its
/// request to arrive, and for its client to read the response.
pub(super) const REJECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after an accept that failed for want of descriptors.
const DESCRIPTOR_PAUSE: Duration = Duration::from_millis(5);
/// The pause after an accept that failed because the client had left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

impl<H: RequestHandler> ClientServer<H> {
    /// Accepts connections of one listener until the last moments of the process: what the kernel
    /// has accepted counts as taken, so the listener closes only when no connection waits there.
    pub async fn accept(self: Rc<Self>, socket: TcpListener, listener: usize) {
        let mut closed = self.listeners_closed.subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = socket.accept() => accepted,
                _ = closed.wait_for(|closed| *closed) => return,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream, listener).await,
                Err(error) if is_out_of_descriptors(&error) => {
                    let _ = self.evict() || self.handler.evict_idle_upstream();
                    sleep(DESCRIPTOR_PAUSE).await;
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Serves a connection if the clients' share has a descriptor for it, if need be that of an
    /// evicted one, so that a flood leaves the descriptors that attempts need alone.
    async fn admit(self: &Rc<Self>, stream: TcpStream, listener: usize) {
        if let Some(descriptor) = self.take_descriptor().await {
            // Registered before its task runs: of many connections that arrive at once eviction
            // must see all, or it closes one that is in use for one that has sent nothing yet.
            let connection = self.register(stream, descriptor, listener);
            spawn_local(self.clone().serve_connection(connection));
        } else if let Some(descriptor) = self.limits.rejected_connections.try_reserve(1) {
            spawn_local(reject_connection(TrackedSocket::new(stream), descriptor));
        } else {
            step!(event = "dropped", why = "no room to turn it away");
        }
    }

    async fn take_descriptor(&self) -> Option<ResourceReservation> {
        let mut descriptor = self.limits.clients.try_reserve(1);
        let mut turns = 0;
        while descriptor.is_none() && turns < MAX_EVICTION_TURNS && self.evict() {
            // An evicted connection is closed in its own task, which may have to wait for others.
            yield_now().await;
            descriptor = self.limits.clients.try_reserve(1);
            turns += 1;
        }
        descriptor
    }
}

/// Rejects the request of a connection that is not served, once it has arrived.
async fn reject_connection(socket: Rc<TrackedSocket>, _descriptor: ResourceReservation) {
    if timeout(REJECT_TIMEOUT, socket.readable()).await.is_ok() {
        step!(event = "turned away", why = "no room for its connection");
        let _ = timeout(
            REJECT_TIMEOUT,
            socket.send_final_response(OVERLOAD_RESPONSE),
        )
        .await;
    }
}
