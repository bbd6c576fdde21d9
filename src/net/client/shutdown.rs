//! Graceful shutdown of the client side.

use super::{ClientServer, RequestHandler};
use dewrun_admin::ShutdownPlan;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// The minimum duration of a shutdown, as connections still arrive for a while after SIGTERM.
const MIN_SHUTDOWN: Duration = Duration::from_millis(550);
/// The interval at which the connections to close by the plan are checked.
const CLOSE_INTERVAL: Duration = Duration::from_millis(20);
/// How long the listeners may take to close. A flood of connections may keep a listener open for
/// longer; further requests are then rejected.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(20);
/// How long the responses to failed requests may take to be written.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(130);
const LAST_RESPONSES_INTERVAL: Duration = Duration::from_millis(5);
/// The wait for the last bytes to be sent.
const LAST_WRITE_DELAY: Duration = Duration::from_millis(20);

impl<H: RequestHandler> ClientServer<H> {
    /// Shuts the client side down. Returns when every received request has its response. Requests
    /// still in progress after [`ClientTimeouts::shutdown`](super::ClientTimeouts), and after at
    /// least [`MIN_SHUTDOWN`], are failed; [`LAST_RESPONSES_TIMEOUT`] limits the writing of their
    /// responses.
    pub async fn shut_down(&self, plan: ShutdownPlan) {
        let begun = Instant::now();
        self.drain.begin_shutdown(plan);
        sleep(MIN_SHUTDOWN).await;
        while self.has_connections() && begun.elapsed() < self.timeouts.shutdown {
            if plan.closes_listeners(begun.elapsed()) {
                self.close_listeners().await;
            }
            self.close_as_planned();
            sleep(CLOSE_INTERVAL).await;
        }
        // The listeners close first, as a client may retry a failed request at once and must not
        // find a listener of this process.
        self.close_listeners().await;
        self.handler.close_all();
        self.write_last_responses().await;
    }

    fn has_connections(&self) -> bool {
        !self.connections.borrow().is_empty()
    }

    async fn close_listeners(&self) {
        self.listeners_closed.send_replace(true);
        let _ = timeout(LISTENER_CLOSE_TIMEOUT, self.listeners_closed.closed()).await;
    }

    async fn write_last_responses(&self) {
        let begun = Instant::now();
        while self.has_connections() && begun.elapsed() < LAST_RESPONSES_TIMEOUT {
            self.close_without_request();
            sleep(LAST_RESPONSES_INTERVAL).await;
        }
        sleep(LAST_WRITE_DELAY).await;
    }
}
