//! Tests of the budgets of one process.

use dewrun_budgets::node::{Budget, BudgetNode, Limit, UNIT_WEIGHT};
use dewrun_budgets::{Incarnation, LeaseSettings, ProcessId};

/// Guards against a request that is released from the wrong budget after a new configuration has
/// reordered the budgets.
#[test]
fn in_flight_counts_survive_a_reordering_of_budgets() {
    let voters = [ProcessId(0)];
    let budget = |name: &str| Budget {
        name: name.into(),
        member: String::new(),
        limit: Limit::InFlight {
            max: 1,
            floor: 1,
            max_request_duration: 0,
        },
    };
    let mut node = BudgetNode::new(
        0,
        ProcessId(0),
        Incarnation(0),
        &voters,
        0,
        LeaseSettings::default(),
    );
    let [a, b] = ["a", "b"].map(Budget::key);
    node.set_budgets(0, vec![budget("a"), budget("b")], &voters);
    assert!(node.spend(0, &[a], UNIT_WEIGHT).is_ok() && node.spend(0, &[b], UNIT_WEIGHT).is_ok());
    node.set_budgets(1, vec![budget("b"), budget("a")], &voters);
    node.release(&[a]);
    assert!(
        node.spend(1, &[b], UNIT_WEIGHT).is_err(),
        "b is still in flight"
    );
    assert!(node.spend(1, &[a], UNIT_WEIGHT).is_ok(), "a has ended");
}

/// Guards against lost in-flight counts of a member that leaves the endpoint list and returns, and
/// that may still be processing earlier requests.
#[test]
fn requests_in_flight_at_a_member_count_when_it_returns() {
    let voters = [ProcessId(0)];
    let budget = || Budget {
        name: "each".into(),
        member: "a".into(),
        limit: Limit::InFlight {
            max: 2,
            floor: 2,
            max_request_duration: 0,
        },
    };
    let mut node = BudgetNode::new(
        0,
        ProcessId(0),
        Incarnation(0),
        &voters,
        0,
        LeaseSettings::default(),
    );
    let key = Budget::member_key(Budget::key("each"), "a");
    node.set_budgets(0, vec![budget()], &voters);
    assert!(
        node.spend(0, &[key], UNIT_WEIGHT).is_ok() && node.spend(0, &[key], UNIT_WEIGHT).is_ok()
    );
    node.set_budgets(1, vec![], &voters);
    node.set_budgets(2, vec![budget()], &voters);
    assert!(node.spend(2, &[key], UNIT_WEIGHT).is_err());
    (0..2).for_each(|_| node.release(&[key]));
    assert!(node.spend(2, &[key], UNIT_WEIGHT).is_ok());
    node.release(&[key]);
    node.set_budgets(3, vec![], &voters);
    assert!(
        !node.has_budget(key),
        "a removed budget without requests in flight is dropped"
    );
}
