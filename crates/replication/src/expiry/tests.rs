//! What is forgotten does not come back.

use super::{forget_expired, TOMBSTONE_TTL_US};
use crate::orders::{orders_in_force, place_order, DesiredState};
use crate::test_fleet::{desired_state, order, place, store, Fleet, S};

#[test]
fn forgotten_orders_do_not_come_back() {
    // A process that is cut off holds an order that all others have replaced twice and forgotten,
    // with the order between.
    for forget in [false, true] {
        let mut fleet = Fleet::new(4, 6);
        place(&mut fleet, 0, "shop/a", DesiredState::Drain);
        fleet.run(3 * S);
        (0..3).for_each(|at| fleet.cut(at, 3));
        place(&mut fleet, 1, "shop/a", DesiredState::Drain);
        fleet.run(3 * S);
        if forget {
            // The last order is given where only the second is held.
            fleet.forget_expired();
        }
        place(&mut fleet, 2, "shop/a", DesiredState::Return);
        fleet.run(3 * S);
        if forget {
            fleet.forget_expired();
        }
        // A further process starts and knows none of the orders.
        fleet.kill(0);
        fleet.start(0);
        (0..3).for_each(|at| fleet.heal(at, 3));
        fleet.run(5 * S);
        for at in 0..4 {
            assert_eq!(
                desired_state(&fleet, at, "shop/a"),
                Some(DesiredState::Return),
                "at {at}, forgotten: {forget}"
            );
        }
        assert!(fleet.has_converged());
    }
}

#[test]
fn a_process_isolated_for_longer_than_the_tombstone_ttl_brings_nothing_back() {
    let mut away = store(1);
    place_order(&mut away, 0, order("shop/a", DesiredState::Drain));
    let mut other = store(2);
    for delta in away.deltas(0, 100) {
        other.merge(0, delta);
    }
    place_order(&mut other, 1, order("shop/a", DesiredState::Return));
    forget_expired(&mut other, 2);
    assert_eq!(other.len(), 1, "what it replaced is forgotten");
    for delta in away.deltas(3, 100) {
        assert_eq!(other.merge(3, delta), vec![], "and does not come back");
    }
    forget_expired(&mut other, TOMBSTONE_TTL_US + 2);
    assert_eq!(
        orders_in_force(&other).get("shop/a"),
        None,
        "the withdrawal has had its time"
    );
    let mut back = store(3);
    for delta in away.deltas(TOMBSTONE_TTL_US + 3, 100) {
        back.merge(TOMBSTONE_TTL_US + 3, delta);
    }
    place_order(&mut back, 2, order("shop/c", DesiredState::Drain));
    place_order(
        &mut back,
        TOMBSTONE_TTL_US + 3,
        order("shop/b", DesiredState::Drain),
    );
    back.reset_after_isolation(TOMBSTONE_TTL_US + 3);
    assert_eq!(
        orders_in_force(&back).len(),
        1,
        "what was ordered there meanwhile is kept"
    );
    for delta in back.deltas(TOMBSTONE_TTL_US + 4, 100) {
        other.merge(TOMBSTONE_TTL_US + 4, delta);
    }
    assert_eq!(orders_in_force(&other).get("shop/a"), None);
}

#[test]
fn a_withdrawal_is_forgotten_after_the_tombstone_ttl() {
    let mut store = store(1);
    place_order(&mut store, 0, order("shop/a", DesiredState::Return));
    forget_expired(&mut store, TOMBSTONE_TTL_US - 1);
    assert_eq!(store.len(), 1);
    forget_expired(&mut store, TOMBSTONE_TTL_US);
    assert_eq!(store.len(), 0);
}

#[test]
fn a_drain_and_a_withdrawal_that_is_concurrent_to_it_are_kept() {
    let (mut own, mut other) = (store(1), store(2));
    place_order(&mut own, 0, order("shop/a", DesiredState::Return));
    own.merge(
        0,
        place_order(&mut other, 0, order("shop/a", DesiredState::Drain)),
    );
    forget_expired(&mut own, 2 * TOMBSTONE_TTL_US);
    assert_eq!(orders_in_force(&own)["shop/a"].len(), 2);
}
