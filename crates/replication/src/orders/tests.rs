//! Tests of the precedence of orders.

use super::{orders_in_force, orders_in_force_for, place_order, DesiredState};
use crate::test_fleet::{desired_state, order, place, store, Fleet, S};

#[test]
fn the_most_restrictive_concurrent_order_is_effective_until_another_supersedes_both() {
    let mut fleet = Fleet::new(6, 5);
    place(&mut fleet, 0, "shop/a", DesiredState::Drain);
    place(&mut fleet, 0, "shop/b", DesiredState::Drain);
    fleet.run(3 * S);
    for (a, b) in (0..3).flat_map(|a| (3..6).map(move |b| (a, b))) {
        fleet.cut(a, b);
    }
    place(&mut fleet, 1, "shop/a", DesiredState::Return);
    place(&mut fleet, 4, "shop/a", DesiredState::Drain);
    place(&mut fleet, 4, "shop/b", DesiredState::Return);
    fleet.run(60 * S);
    assert_eq!(
        [1, 4].map(|at| desired_state(&fleet, at, "shop/a")),
        [Some(DesiredState::Return), Some(DesiredState::Drain)]
    );
    for (a, b) in (0..3).flat_map(|a| (3..6).map(move |b| (a, b))) {
        fleet.heal(a, b);
    }
    fleet.run(5 * S);
    for at in 0..6 {
        assert_eq!(
            desired_state(&fleet, at, "shop/a"),
            Some(DesiredState::Drain),
            "the more restrictive order"
        );
        assert_eq!(
            desired_state(&fleet, at, "shop/b"),
            Some(DesiredState::Return),
            "the order that supersedes the other"
        );
        let store = &fleet.processes[at].as_ref().expect("it is up").store;
        assert_eq!(
            orders_in_force(store)["shop/a"].len(),
            2,
            "both are in force"
        );
    }
    place(&mut fleet, 2, "shop/a", DesiredState::Return);
    fleet.run(3 * S);
    fleet.remove_expired();
    fleet.run(3 * S);
    for at in 0..6 {
        let store = &fleet.processes[at].as_ref().expect("it is up").store;
        assert_eq!(
            desired_state(&fleet, at, "shop/a"),
            Some(DesiredState::Return)
        );
        assert_eq!(orders_in_force(store)["shop/a"].len(), 1);
    }
}

#[test]
fn an_order_supersedes_known_orders_and_those_that_they_supersede() {
    let (mut first, mut second, mut third) = (store(1), store(2), store(3));
    let drain = place_order(&mut first, 0, order("shop/a", DesiredState::Drain));
    second.merge(1, drain.clone());
    let again = place_order(&mut second, 1, order("shop/a", DesiredState::Drain));
    third.merge(2, again.clone());
    let withdrawal = place_order(&mut third, 2, order("shop/a", DesiredState::Return));
    let in_order = [&drain, &again, &withdrawal];
    for deltas in [in_order, [&withdrawal, &again, &drain]] {
        let mut store = store(9);
        for delta in deltas {
            store.merge(3, delta.clone());
        }
        let in_force = orders_in_force_for(&store, "shop/a");
        let states: Vec<DesiredState> = in_force.iter().map(|o| o.order.desired_state).collect();
        assert_eq!(states, [DesiredState::Return]);
    }
}
