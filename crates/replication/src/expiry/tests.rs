//! Tests that removed entries do not reappear.

use super::{remove_expired, TOMBSTONE_TTL_US};
use crate::orders::{orders_in_force, place_order, DesiredState};
use crate::test_fleet::{desired_state, order, place, store, Fleet, S};

#[test]
fn removed_orders_do_not_reappear() {
    // A partitioned process has an order that all others have superseded twice. The others may have
    // removed it together with the second order.
    for removes_expired in [false, true] {
        let mut fleet = Fleet::new(4, 6);
        place(&mut fleet, 0, "shop/a", DesiredState::Drain);
        fleet.run(3 * S);
        (0..3).for_each(|at| fleet.cut(at, 3));
        place(&mut fleet, 1, "shop/a", DesiredState::Drain);
        fleet.run(3 * S);
        if removes_expired {
            // The last order is placed at a process that only has the second one.
            fleet.remove_expired();
        }
        place(&mut fleet, 2, "shop/a", DesiredState::Return);
        fleet.run(3 * S);
        if removes_expired {
            fleet.remove_expired();
        }
        // A restarted process knows none of the orders.
        fleet.kill(0);
        fleet.start(0);
        (0..3).for_each(|at| fleet.heal(at, 3));
        fleet.run(5 * S);
        for at in 0..4 {
            assert_eq!(
                desired_state(&fleet, at, "shop/a"),
                Some(DesiredState::Return),
                "at {at}, expired orders removed: {removes_expired}"
            );
        }
        assert!(fleet.has_converged());
    }
}

#[test]
fn a_process_isolated_for_longer_than_the_tombstone_ttl_restores_no_withdrawn_order() {
    let mut isolated = store(1);
    place_order(&mut isolated, 0, order("shop/a", DesiredState::Drain));
    let mut other = store(2);
    for delta in isolated.deltas(0, 100) {
        other.merge(0, delta);
    }
    place_order(&mut other, 1, order("shop/a", DesiredState::Return));
    remove_expired(&mut other, 2);
    assert_eq!(other.len(), 1, "the superseded order is removed");
    for delta in isolated.deltas(3, 100) {
        assert_eq!(
            other.merge(3, delta),
            vec![],
            "a removed order is not merged again"
        );
    }
    remove_expired(&mut other, TOMBSTONE_TTL_US + 2);
    assert_eq!(
        orders_in_force(&other).get("shop/a"),
        None,
        "the withdrawal has expired"
    );
    let mut restarted = store(3);
    for delta in isolated.deltas(TOMBSTONE_TTL_US + 3, 100) {
        restarted.merge(TOMBSTONE_TTL_US + 3, delta);
    }
    place_order(&mut restarted, 2, order("shop/c", DesiredState::Drain));
    place_order(
        &mut restarted,
        TOMBSTONE_TTL_US + 3,
        order("shop/b", DesiredState::Drain),
    );
    restarted.reset_after_isolation(TOMBSTONE_TTL_US + 3);
    assert_eq!(
        orders_in_force(&restarted).len(),
        1,
        "the order placed after the last contact is kept"
    );
    for delta in restarted.deltas(TOMBSTONE_TTL_US + 4, 100) {
        other.merge(TOMBSTONE_TTL_US + 4, delta);
    }
    assert_eq!(orders_in_force(&other).get("shop/a"), None);
}

#[test]
fn a_withdrawal_is_removed_after_the_tombstone_ttl() {
    let mut store = store(1);
    place_order(&mut store, 0, order("shop/a", DesiredState::Return));
    remove_expired(&mut store, TOMBSTONE_TTL_US - 1);
    assert_eq!(store.len(), 1);
    remove_expired(&mut store, TOMBSTONE_TTL_US);
    assert_eq!(store.len(), 0);
}

#[test]
fn concurrent_drains_and_withdrawals_are_kept() {
    let (mut own, mut other) = (store(1), store(2));
    place_order(&mut own, 0, order("shop/a", DesiredState::Return));
    own.merge(
        0,
        place_order(&mut other, 0, order("shop/a", DesiredState::Drain)),
    );
    remove_expired(&mut own, 2 * TOMBSTONE_TTL_US);
    assert_eq!(orders_in_force(&own)["shop/a"].len(), 2);
}
