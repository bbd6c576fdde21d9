//! Tests of the state transitions of a lease at its holder.

use dewrun_budgets::lease::{Grant, Holder};
use dewrun_budgets::node::{Budget, BudgetNode, Limit, UNIT_WEIGHT};
use dewrun_budgets::{
    Incarnation, LeaseDurations, LeaseSettings, Micros, ProcessId, Share, Timestamp,
};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

const SECOND_US: Micros = 1_000_000;
const LEASE_TTL: Micros = LeaseDurations::DEFAULT.lease_ttl;
const SHARE: Share = Share { units: 7, burst: 2 };

fn grant(request_number: u64, is_renewal: bool) -> Grant {
    Grant {
        request_number,
        share: SHARE,
        is_renewal,
    }
}

/// Returns a holder that sent its first request at the given time.
fn holder_with_request(now: Timestamp, settings: &LeaseSettings) -> Holder {
    let mut holder = Holder::default();
    let request = holder.begin_request(now, Share::default(), settings);
    assert_eq!((request.number, request.held), (1, Share::default()));
    holder
}

#[test]
fn a_lease_runs_from_its_request_and_expires() {
    let settings = LeaseSettings::default();
    let mut holder = holder_with_request(100, &settings);
    assert!(holder.accept_grant(SECOND_US, grant(1, false), &settings));
    assert_eq!(holder.share(100 + LEASE_TTL - 1, &settings), SHARE);
    assert_eq!(holder.share(100 + LEASE_TTL, &settings), Share::default());
    let mut holder = holder_with_request(100, &settings);
    assert!(
        !holder.accept_grant(100 + LEASE_TTL, grant(1, false), &settings),
        "a response as old as a lease"
    );
}

#[test]
fn only_one_response_to_the_latest_request_is_accepted() {
    let settings = LeaseSettings::default();
    let mut holder = holder_with_request(0, &settings);
    holder.begin_request(1, Share::default(), &settings);
    assert!(!holder.accept_grant(2, grant(1, false), &settings));
    assert!(holder.accept_grant(2, grant(2, false), &settings));
    assert!(!holder.accept_grant(3, grant(2, false), &settings));
}

#[test]
fn a_renewal_needs_a_live_lease() {
    let settings = LeaseSettings::default();
    let mut holder = holder_with_request(0, &settings);
    assert!(!holder.accept_grant(1, grant(1, true), &settings));
    assert!(holder.accept_grant(1, grant(1, false), &settings));
    holder.begin_request(LEASE_TTL - 1, Share::default(), &settings);
    assert!(!holder.accept_grant(LEASE_TTL, grant(2, true), &settings));
    let mut holder = holder_with_request(0, &settings);
    assert!(holder.accept_grant(1, grant(1, false), &settings));
    holder.begin_request(2, Share::default(), &settings);
    assert!(holder.accept_grant(3, grant(2, true), &settings));
}

#[test]
fn a_returned_lease_is_not_restored_by_a_late_response() {
    let settings = LeaseSettings::default();
    let mut holder = holder_with_request(0, &settings);
    holder.drop_lease();
    assert!(!holder.accept_grant(1, grant(1, false), &settings));
    assert_eq!(holder.share(1, &settings), Share::default());
}

/// Guards against a process that spends its old share after a suspension. The process is the only
/// one of its fleet, so it is the grantor and has the whole total as its lease.
#[test]
fn a_process_that_was_suspended_spends_nothing_of_its_old_share() {
    let budget = Budget {
        name: "acme".into(),
        member: String::new(),
        limit: Limit::Rate {
            rate: 200.0,
            burst: 200.0,
            floor: 0.0,
        },
    };
    let key = Budget::key("acme");
    let voters = [ProcessId(0)];
    let settings = LeaseSettings::default();
    let mut node = BudgetNode::new(0, ProcessId(0), Incarnation(1), &voters, 0, settings);
    node.set_budgets(0, vec![budget], &voters);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut now = 0;
    while now < 8 * SECOND_US {
        now += 10_000;
        node.tick(now, &mut rng, &mut Vec::new());
    }
    assert!(node.spend(now, &[key], UNIT_WEIGHT).is_ok());
    now += 10 * SECOND_US;
    assert!(node.spend(now, &[key], UNIT_WEIGHT).is_err());
    assert_eq!(node.report(now)[0].share, 0.0);
    assert_eq!(node.leadership_epoch(now), None);
}
