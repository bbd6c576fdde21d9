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

/// The number of runtime turns for which a new connection waits for the descriptor of an evicted
/// one.
const MAX_EVICTION_TURNS: usize = 32;
/// For a connection that got no descriptor in the clients' share and is rejected: how long its
/// request may take to arrive, and how long its client may take to read the response.
pub(super) const REJECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The wait after an accept that failed because the process has no free descriptors.
const OUT_OF_DESCRIPTORS_DELAY: Duration = Duration::from_millis(5);
/// The wait after an accept that failed for another reason, such as a client that disconnected.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(1);

impl<H: RequestHandler> ClientServer<H> {
    /// Accepts connections of one listener until the end of a shutdown. The kernel has accepted the
    /// connections in its queue, so the listener closes only when that queue is empty.
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
                    sleep(OUT_OF_DESCRIPTORS_DELAY).await;
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Serves a connection if the clients' share of descriptors has room for it, if necessary after
    /// an eviction. The share keeps a flood of connections from using the descriptors of attempts.
    async fn admit(self: &Rc<Self>, stream: TcpStream, listener: usize) {
        if let Some(descriptor) = self.reserve_descriptor().await {
            // A connection is registered before its task runs. Of many connections that arrive at
            // once, eviction must see all; otherwise it closes one in use for one that has sent
            // nothing yet.
            let connection = self.register(stream, descriptor, listener);
            spawn_local(self.clone().serve_connection(connection));
        } else if let Some(descriptor) = self.limits.rejected_connections.try_reserve(1) {
            spawn_local(reject_connection(TrackedSocket::new(stream), descriptor));
        } else {
            step!(event = "dropped", why = "no room to turn it away");
        }
    }

    async fn reserve_descriptor(&self) -> Option<ResourceReservation> {
        let mut descriptor = self.limits.clients.try_reserve(1);
        let mut turns = 0;
        while descriptor.is_none() && turns < MAX_EVICTION_TURNS && self.evict() {
            // An evicted connection is closed by its own task, which may run after other tasks.
            yield_now().await;
            descriptor = self.limits.clients.try_reserve(1);
            turns += 1;
        }
        descriptor
    }
}

/// Rejects a connection once its request has arrived.
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
