//! The order in which a proxy leaves service.

use dewrun_admin::{Due, Plan};
use proptest::prelude::*;
use std::time::Duration;

proptest! {
    #[test]
    fn what_has_begun_to_end_goes_on_ending(most in 1u64..60_000, a in 0u64..90_000, b in 0u64..90_000) {
        let most = Duration::from_millis(most);
        let (early, late) = (Duration::from_millis(a.min(b)), Duration::from_millis(a.max(b)));
        for plan in [Plan::DRAIN, Plan::handover(most), Plan::restart(most)] {
            let (early, late) = (plan.due(early), plan.due(late));
            prop_assert!(late.answers >= early.answers && late.begun >= early.begun);
            // The longer ago it was told, the shorter a rest is enough.
            let rest = |due: Due| due.idle_for.unwrap_or(Duration::MAX);
            prop_assert!(rest(late) <= rest(early));
            prop_assert!(!late.begun || (late.answers && late.idle_for == Some(Duration::ZERO)));
        }
    }
}

#[test]
fn a_drain_leaves_nothing_idle_and_nothing_young_after_four_seconds() {
    let due = Plan::DRAIN.due(Duration::from_secs(4));
    assert_eq!(
        due,
        Due {
            answers: true,
            idle_for: Some(Duration::ZERO),
            begun: true
        }
    );
    // A request that came just before its connection was to end is two seconds old by then.
    assert!(Plan::DRAIN.idle + Duration::from_secs(2) <= Duration::from_secs(4));
    assert_eq!(
        Plan::DRAIN.due(Duration::ZERO).idle_for,
        None,
        "callers that came before the news would come back"
    );
}
