//! Which orders hold.

use super::{orders_in_force, DesiredState};
use crate::test_fleet::{desired_state, place, Fleet, S};

#[test]
fn of_concurrent_orders_the_most_careful_holds_until_another_supersedes_both() {
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
            "the more careful"
        );
        assert_eq!(
            desired_state(&fleet, at, "shop/b"),
            Some(DesiredState::Return),
            "one that knew of the other"
        );
        let store = &fleet.processes[at].as_ref().expect("it is up").store;
        assert_eq!(orders_in_force(store)["shop/a"].len(), 2, "both are shown");
    }
    place(&mut fleet, 2, "shop/a", DesiredState::Return);
    fleet.run(3 * S);
    fleet.forget_expired();
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
