use super::bounds::{Bounds, BRIEF_TERM_TIMES, LONG_TERM_TIMES, SHORT_TIMES, STEADY_GRANTOR_TIMES};
use super::{ModelFleet, ONE_GRANTOR, ONE_HOLDS_ALL, SHARES_WITHIN_TOTAL, TWO_HOLD_HALF};
use crate::{EnforcedRules, LeaseSettings, LeaseTimes, SafetyRule};
use stateright::{Checker, HasDiscoveries, Model};

fn check(
    times: LeaseTimes,
    disabled: Option<SafetyRule>,
    bounds: Bounds,
) -> impl Checker<ModelFleet> {
    let settings = LeaseSettings {
        times,
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

/// A run in which the lack of a rule shows.
fn run_without(rule: SafetyRule) -> (LeaseTimes, Bounds) {
    match rule {
        SafetyRule::LeaseExpiresAtHolderFirst
        | SafetyRule::LostHolderCounts
        | SafetyRule::ExpiryCheckedOnUse => (STEADY_GRANTOR_TIMES, Bounds::HELD),
        SafetyRule::ReductionNeedsConfirmation => (
            STEADY_GRANTOR_TIMES,
            Bounds {
                requests: [2, 1],
                ..Bounds::HELD
            },
        ),
        SafetyRule::LatestResponseOnly => (
            STEADY_GRANTOR_TIMES,
            Bounds {
                ticks: 1,
                requests: [2, 2],
                ..Bounds::NONE
            },
        ),
        SafetyRule::LeadershipExpiresAtGrantorFirst | SafetyRule::OneVoteAtATime => {
            (SHORT_TIMES, Bounds::VOTES)
        }
        SafetyRule::StartingVoterWaits => (
            SHORT_TIMES,
            Bounds {
                crashes: 1,
                ..Bounds::VOTES
            },
        ),
        SafetyRule::NewGrantorQuarantine => (SHORT_TIMES, Bounds::LEASES),
        SafetyRule::ExpiredTermEnds => (
            BRIEF_TERM_TIMES,
            Bounds {
                ticks: 7,
                campaigns: [1, 1],
                ..Bounds::HELD
            },
        ),
        SafetyRule::RenewalNeedsLiveLease => (
            LONG_TERM_TIMES,
            Bounds {
                ticks: 9,
                campaigns: [0, 1],
                ..Bounds::HELD
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
    let (mut states, mut seen) = (0, Vec::new());
    for (name, bounds) in runs {
        let checked = check(SHORT_TIMES, None, bounds);
        println!("{name}: {} states", checked.unique_state_count());
        assert_eq!(violations(&checked), Vec::<&str>::new(), "{name}");
        states += checked.unique_state_count();
        seen.extend(checked.discoveries().into_keys());
    }
    println!("{states} states in all");
    for name in [ONE_HOLDS_ALL, TWO_HOLD_HALF] {
        assert!(seen.contains(&name), "in no state {name}");
    }
}

#[test]
fn each_safety_rule_is_needed() {
    for rule in SafetyRule::ALL {
        let (times, bounds) = run_without(rule);
        let checked = check(times, Some(rule), bounds);
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
