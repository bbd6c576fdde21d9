//! Log lines about requests that were not served and about status changes of endpoints.

use super::*;
use crate::supervisor::run_until_done;

/// A change of an endpoint's status, as reported by the balancer.
pub(super) struct StatusChange {
    pub(super) endpoint: EndpointId,
    pub(super) status: EndpointStatus,
    /// Class that the change is limited to; `None` for all requests.
    pub(super) class: Option<u8>,
    /// Outcome that caused the change.
    pub(super) reason: Option<Outcome>,
}

/// An attempt whose response began and was not relayed completely.
pub(super) struct IncompleteAttempt {
    pub(super) cause: IncompleteResponse,
    /// The id that the client chose.
    pub(super) request_id: String,
    /// The name of the endpoint.
    pub(super) member: String,
}

/// Counts of requests that were not served since the last summary, by reason.
#[derive(Default)]
pub(super) struct Unserved {
    /// The attempts whose response was not relayed completely.
    incomplete: Vec<IncompleteResponse>,
    /// The last of them.
    last_incomplete: Option<IncompleteAttempt>,
    pub(super) rejected: [u64; UnservedReason::ALL.len()],
    pub(super) failed: [u64; UnservedReason::ALL.len()],
    /// Whether the next summary is scheduled.
    pub(super) is_summary_scheduled: bool,
}

impl Unserved {
    /// Formats counts, for example `12: over concurrency limit 10, no endpoint available 2`.
    fn text(counts: &[u64; UnservedReason::ALL.len()]) -> String {
        let by_why = UnservedReason::ALL
            .iter()
            .zip(counts)
            .filter(|(_, n)| **n > 0);
        let parts: Vec<String> = by_why
            .map(|(why, n)| format!("{} {n}", why.text()))
            .collect();
        format!("{}: {}", counts.iter().sum::<u64>(), parts.join(", "))
    }
}

impl Driver {
    /// Counts a request that was not served and schedules a summary within a second, so that no 503
    /// is left without a log line.
    pub(super) fn count_unserved(
        &self,
        state: &mut State,
        why: UnservedReason,
        counts_of: impl Fn(&mut Unserved) -> &mut [u64; UnservedReason::ALL.len()],
    ) {
        counts_of(&mut state.unserved)[why as usize] += 1;
        self.schedule_summary(state);
    }

    /// Counts an attempt whose response was not relayed completely, also if a later one was.
    pub(super) fn count_incomplete(&self, state: &mut State, attempt: IncompleteAttempt) {
        self.upstream.incomplete_responses.count(attempt.cause);
        state.unserved.incomplete.push(attempt.cause);
        state.unserved.last_incomplete = Some(attempt);
        self.schedule_summary(state);
    }

    fn schedule_summary(&self, state: &mut State) {
        if std::mem::replace(&mut state.unserved.is_summary_scheduled, true) {
            return;
        }
        let me = self.me.clone();
        run_until_done("unserved summary", move || {
            let me = me.clone();
            async move {
                tokio::time::sleep(UNSERVED_SUMMARY_INTERVAL).await;
                if let Some(driver) = me.upgrade() {
                    driver.log_unserved();
                }
            }
        });
    }

    fn log_unserved(&self) {
        let unserved = std::mem::take(&mut self.state.borrow_mut().unserved);
        if let Some(last) = &unserved.last_incomplete {
            warn!(
                pool = self.name,
                causes = incomplete_text(&unserved.incomplete),
                last_id = last.request_id,
                last_member = last.member,
                last_cause = last.cause.text(),
                "responses not relayed completely in the last second"
            );
        }
        let Unserved {
            rejected, failed, ..
        } = unserved;
        if rejected.iter().chain(&failed).all(|count| *count == 0) {
            return;
        }
        let (rejected, failed) = (Unserved::text(&rejected), Unserved::text(&failed));
        warn!(
            pool = self.name,
            rejected, failed, "requests not served in the last second"
        );
    }

    /// Logs a change of an endpoint's status. An endpoint that is ejected without an outcome does
    /// not respond while others do.
    pub(super) fn log_status_change(&self, state: &State, change: StatusChange) {
        let (pool, member) = (&self.name, state.directory.name(change.endpoint));
        let class = change
            .class
            .and_then(|class| self.classes.get(usize::from(class)));
        let status = change.status.text();
        match change.status {
            EndpointStatus::Ejected => {
                let reason = change.reason.map_or("unresponsive", Outcome::text);
                warn!(pool, member, class, status, reason, "endpoint status");
            }
            _ => info!(pool, member, class, status, "endpoint status"),
        }
    }
}

/// Formats counts by cause, for example `3: cut_off 2, stalled 1`.
fn incomplete_text(causes: &[IncompleteResponse]) -> String {
    let count = |cause| causes.iter().filter(|counted| **counted == cause).count();
    let by_cause = IncompleteResponse::ALL.map(|cause| (cause, count(cause)));
    let counted = by_cause.iter().filter(|(_, count)| *count > 0);
    let parts: Vec<String> = counted
        .map(|(cause, count)| format!("{} {count}", cause.text()))
        .collect();
    format!("{}: {}", causes.len(), parts.join(", "))
}
