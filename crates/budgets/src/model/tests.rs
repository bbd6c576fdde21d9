use super::bounds::{
    Bounds, LONG_TERM_DURATIONS, SHORT_DURATIONS, SHORT_TERM_DURATIONS, STEADY_GRANTOR_DURATIONS,
};
use super::{ModelFleet, ONE_GRANTOR, ONE_HOLDS_ALL, SHARES_WITHIN_TOTAL, TWO_HOLD_HALF};
use crate::{EnforcedRules, LeaseDurations, LeaseSettings, SafetyRule};
use stateright::{Checker, HasDiscoveries, Model};

fn check(
    durations: LeaseDurations,
    disabled: Option<SafetyRule>,
    bounds: Bounds,
) -> impl Checker<ModelFleet> {
    let settings = LeaseSettings {
        durations,
        rules: EnforcedRules { disabled },
        division_interval: 0,
    };
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    let checker = ModelFleet { settings, bounds }.checker().threads(threads);
    checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join()
}

fn violations(checked: &impl Checker<ModelFleet>) -> Vec<&'static str> {
    [SHARES_WITHIN_TOTAL, ONE_GRANTOR]
        .into_iter()
        .filter(|name| checked.discovery(name).is_some())
        .collect()
}

/// Returns the durations and bounds of a run that violates an invariant if the rule is disabled.
fn run_that_violates_without(rule: SafetyRule) -> (LeaseDurations, Bounds) {
    match rule {
        SafetyRule::LeaseExpiresAtHolderFirst
        | SafetyRule::LostHolderCounts
        | SafetyRule::ExpiryCheckedOnUse => (STEADY_GRANTOR_DURATIONS, Bounds::FULLY_LEASED),
        SafetyRule::ReductionNeedsConfirmation => (
            STEADY_GRANTOR_DURATIONS,
            Bounds {
                requests: [2, 1],
                ..Bounds::FULLY_LEASED
            },
        ),
        SafetyRule::LatestResponseOnly => (
            STEADY_GRANTOR_DURATIONS,
            Bounds {
                ticks: 1,
                requests: [2, 2],
                ..Bounds::NONE
            },
        ),
        SafetyRule::LeadershipExpiresAtGrantorFirst | SafetyRule::OneVoteAtATime => {
            (SHORT_DURATIONS, Bounds::VOTES)
        }
        SafetyRule::StartingVoterWaits => (
            SHORT_DURATIONS,
            Bounds {
                crashes: 1,
                ..Bounds::VOTES
            },
        ),
        SafetyRule::NewGrantorQuarantine => (SHORT_DURATIONS, Bounds::LEASES),
        SafetyRule::ExpiredTermEnds => (
            SHORT_TERM_DURATIONS,
            Bounds {
                ticks: 7,
                campaigns: [1, 1],
                ..Bounds::FULLY_LEASED
            },
        ),
        SafetyRule::RenewalNeedsLiveLease => (
            LONG_TERM_DURATIONS,
            Bounds {
                ticks: 9,
                campaigns: [0, 1],
                ..Bounds::FULLY_LEASED
            },
        ),
    }
}

#[test]
fn no_reachable_state_exceeds_the_total() {
    let runs = [
        ("leases", Bounds::LEASES),
        ("requests", Bounds::REQUESTS),
        ("crashes", Bounds::CRASHES),
        ("clocks", Bounds::CLOCKS),
    ];
    // A check that never reaches these states would be vacuous.
    let (mut states, mut seen) = (0, Vec::new());
    for (name, bounds) in runs {
        let checked = check(SHORT_DURATIONS, None, bounds);
        println!("{name}: {} states", checked.unique_state_count());
        assert_eq!(violations(&checked), Vec::<&str>::new(), "{name}");
        states += checked.unique_state_count();
        seen.extend(checked.discoveries().into_keys());
    }
    println!("{states} states in all");
    for name in [ONE_HOLDS_ALL, TWO_HOLD_HALF] {
        assert!(seen.contains(&name), "no state was reached in which {name}");
    }
}

#[test]
fn each_safety_rule_is_needed() {
    for rule in SafetyRule::ALL {
        let (durations, bounds) = run_that_violates_without(rule);
        let checked = check(durations, Some(rule), bounds);
        println!(
            "{rule:?}: {:?} in {} states",
            violations(&checked),
            checked.unique_state_count()
        );
        assert_ne!(
            violations(&checked),
            Vec::<&str>::new(),
            "no violation is found without {rule:?}"
        );
    }
}
