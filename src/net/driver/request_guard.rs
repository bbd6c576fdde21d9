//! A client's wait for the final response to its request.

use super::{Driver, FinalResponse};
use dewrun_balancer::RequestId;
use std::rc::Weak;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// Time after the deadline within which the balancer may still give the final response.
const RESPONSE_GRACE: Duration = Duration::from_millis(10);

/// A client that waits for its final response. Dropping the guard means that the client has
/// disconnected.
pub struct RequestGuard {
    driver: Weak<Driver>,
    id: RequestId,
}

impl RequestGuard {
    pub(super) fn new(driver: Weak<Driver>, id: RequestId) -> RequestGuard {
        RequestGuard { driver, id }
    }

    /// Waits for the final response, which the balancer gives at the deadline. If none has come
    /// [`RESPONSE_GRACE`] later, the request is failed here.
    pub async fn await_response(
        &self,
        mut response: oneshot::Receiver<FinalResponse>,
        deadline: Instant,
    ) -> FinalResponse {
        let latest = deadline + RESPONSE_GRACE;
        let received = match timeout_at(latest.into(), &mut response).await {
            Ok(received) => received,
            Err(_) => {
                self.close();
                response.await
            }
        };
        received.unwrap_or(FinalResponse::Failed)
    }

    /// Fails the request if it has no final response yet.
    pub fn close(&self) {
        if let Some(driver) = self.driver.upgrade() {
            driver.close(self.id);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.close();
    }
}
