//! A process's budgets.

use dewrun_budgets::node::*;
use dewrun_budgets::*;

/// What was let in ends where it began, in whatever order another file names the budgets.
#[test]
fn what_is_open_outlives_another_order() {
    let voters = [ProcessId(0)];
    let budget = |name: &str| Budget {
        name: name.into(),
        member: String::new(),
        limit: Limit::Open {
            most: 1,
            floor: 1,
            longest: 0,
        },
    };
    let mut node = Node::new(0, ProcessId(0), Incarnation(0), &voters, 0, Rules::usual());
    let [a, b] = ["a", "b"].map(Budget::key);
    node.set_budgets(0, vec![budget("a"), budget("b")], &voters);
    assert!(node.spend(0, &[a], WEIGHT).is_ok() && node.spend(0, &[b], WEIGHT).is_ok());
    node.set_budgets(1, vec![budget("b"), budget("a")], &voters);
    node.done(&[a]);
    assert!(node.spend(1, &[b], WEIGHT).is_err(), "b is still open");
    assert!(node.spend(1, &[a], WEIGHT).is_ok(), "a has ended");
}

/// A member that leaves the list and comes back may still be at work on what was sent before.
#[test]
fn what_is_open_at_a_member_counts_when_it_comes_back() {
    let voters = [ProcessId(0)];
    let budget = || Budget {
        name: "each".into(),
        member: "a".into(),
        limit: Limit::Open {
            most: 2,
            floor: 2,
            longest: 0,
        },
    };
    let mut node = Node::new(0, ProcessId(0), Incarnation(0), &voters, 0, Rules::usual());
    let key = Budget::key_at(Budget::key("each"), "a");
    node.set_budgets(0, vec![budget()], &voters);
    assert!(node.spend(0, &[key], WEIGHT).is_ok() && node.spend(0, &[key], WEIGHT).is_ok());
    node.set_budgets(1, vec![], &voters);
    node.set_budgets(2, vec![budget()], &voters);
    assert!(node.spend(2, &[key], WEIGHT).is_err());
    (0..2).for_each(|_| node.done(&[key]));
    assert!(node.spend(2, &[key], WEIGHT).is_ok());
    node.done(&[key]);
    node.set_budgets(3, vec![], &voters);
    assert!(!node.knows(key), "nothing is kept of what has ended");
}
