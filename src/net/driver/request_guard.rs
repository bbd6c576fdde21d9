//! A client's wait for the final response to its request.

use super::{Driver, FinalResponse};
use dewrun_balancer::RequestId;
use std::rc::Weak;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// How long after the deadline the decision module may still give the final response.
const RESPONSE_GRACE: Duration = Duration::from_millis(10);

/// A client that waits for its final response. Dropping it tells that the client has left.
pub struct RequestGuard {
    driver: Weak<Driver>,
    id: RequestId,
}

impl RequestGuard {
    pub(super) fn new(driver: Weak<Driver>, id: RequestId) -> RequestGuard {
        RequestGuard { driver, id }
    }

    /// Waits for the final response, which the decision module gives at the deadline. If none has
    /// come [`RESPONSE_GRACE`] later, the request is failed here.
    pub async fn await_response(
        &self,
        mut response: oneshot::Receiver<FinalResponse>,
        deadline: Instant,
    ) -> FinalResponse {
        let latest = deadline + RESPONSE_GRACE;
        let answered = match timeout_at(latest.into(), &mut response).await {
            Ok(answered) => answered,
            Err(_) => {
                self.close();
                response.await
            }
        };
        answered.unwrap_or(FinalResponse::Failed)
    }

    /// Fails the request if it still has no answer.
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
