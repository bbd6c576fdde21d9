//! Regular maintenance of connections on both sides.

use super::connection::CloseRequest;
use super::{ClientServer, RequestHandler};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

impl<H: RequestHandler> ClientServer<H> {
    /// Runs the maintenance for ever.
    pub async fn maintain(self: Rc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.close_overdue();
            self.close_stalled();
            self.close_idle(self.timeouts.idle);
            self.close_as_planned();
            self.release_response_memory();
            self.handler.reap_idle_upstream();
        }
    }

    /// Closes connections that have been idle for `min_idle`.
    fn close_idle(&self, min_idle: Duration) {
        for connection in self.connections.borrow().values() {
            if connection.idle_since().elapsed() >= min_idle && connection.is_idle() {
                connection.close(CloseRequest::Graceful);
            }
        }
    }

    fn close_overdue(&self) {
        for connection in self.connections.borrow().values() {
            if connection.is_overdue(self.timeouts.request) {
                connection.close(CloseRequest::Immediate);
            }
        }
    }

    /// Closes connections whose clients no longer read the last response.
    fn close_stalled(&self) {
        for connection in self.connections.borrow().values() {
            if connection.is_response_stalled(self.timeouts.response_idle) {
                connection.close(CloseRequest::Immediate);
            }
        }
    }

    /// Closes the connections that the plan of a drain or shutdown closes by now.
    pub(super) fn close_as_planned(&self) {
        let to_close = self.drain.connections_to_close();
        if let Some(min_idle) = to_close.idle_for {
            self.close_idle(min_idle);
        }
        if to_close.incomplete {
            self.close_without_request();
        }
    }

    /// Closes all connections without a request in progress and without a response that waits to be
    /// written.
    pub(super) fn close_without_request(&self) {
        for connection in self.connections.borrow().values() {
            if !connection.is_busy() {
                connection.close(CloseRequest::Immediate);
            }
        }
    }

    fn release_response_memory(&self) {
        for connection in self.connections.borrow().values() {
            if !connection.socket.is_write_blocked() {
                connection.response_memory.take();
            }
        }
    }
}
