//! The stages of a graceful shutdown.

use dewrun_admin::{ConnectionsToClose, ShutdownPlan};
use proptest::prelude::*;
use std::time::Duration;

proptest! {
    #[test]
    fn a_stage_stays_active_once_started(stop_timeout in 1u64..60_000, a in 0u64..90_000, b in 0u64..90_000) {
        let stop_timeout = Duration::from_millis(stop_timeout);
        let (early, late) = (Duration::from_millis(a.min(b)), Duration::from_millis(a.max(b)));
        for plan in [ShutdownPlan::DRAIN, ShutdownPlan::handover(stop_timeout), ShutdownPlan::restart(stop_timeout), ShutdownPlan::stop(stop_timeout)] {
            let (early, late) = (plan.connections_to_close(early), plan.connections_to_close(late));
            prop_assert!(late.with_response >= early.with_response && late.incomplete >= early.incomplete);
            // The required idle time never grows with the elapsed time.
            let min_idle = |to_close: ConnectionsToClose| to_close.idle_for.unwrap_or(Duration::MAX);
            prop_assert!(min_idle(late) <= min_idle(early));
            prop_assert!(plan.closes_listeners(Duration::from_millis(b)) >= plan.closes_listeners(Duration::from_millis(a.min(b))));
            prop_assert!(!late.incomplete || (late.with_response && late.idle_for == Some(Duration::ZERO)));
        }
    }
}

#[test]
fn a_drain_leaves_no_idle_and_no_incomplete_connection_after_four_seconds() {
    let to_close = ShutdownPlan::DRAIN.connections_to_close(Duration::from_secs(4));
    assert_eq!(
        to_close,
        ConnectionsToClose {
            with_response: true,
            idle_for: Some(Duration::ZERO),
            incomplete: true
        }
    );
    // A request that was received just before stage 3 has had two seconds by then.
    assert!(ShutdownPlan::DRAIN.close_idle_from + Duration::from_secs(2) <= Duration::from_secs(4));
    assert_eq!(
        ShutdownPlan::DRAIN
            .connections_to_close(Duration::ZERO)
            .idle_for,
        None,
        "clients would reconnect before load balancers direct them elsewhere"
    );
}

#[test]
fn a_process_that_ends_for_good_closes_its_listeners_before_any_connection() {
    for stop_timeout in [1, 100, 30_000].map(Duration::from_millis) {
        let plan = ShutdownPlan::stop(stop_timeout);
        let at_close = plan.connections_to_close(plan.close_listeners_from);
        assert_eq!(at_close, ConnectionsToClose::default());
        assert!(plan.closes_listeners(plan.close_with_response_from));
    }
}
