//! Convergence of stores, and its cost.

use crate::orders::DesiredState;
use crate::test_fleet::{desired_state, place, Fleet, MS, S};
use proptest::prelude::{any, prop, prop_assert, proptest};

#[test]
fn an_order_reaches_all_processes_within_a_second_at_20_percent_message_loss() {
    let mut times = Vec::new();
    for seed in 0..40 {
        let mut fleet = Fleet::new(12, seed);
        fleet.loss = 0.2;
        fleet.max_delay_us = 20 * MS;
        fleet.run(3 * S);
        place(
            &mut fleet,
            seed as usize % 12,
            "shop/a",
            DesiredState::Drain,
        );
        let from = fleet.now();
        while (0..12).any(|at| desired_state(&fleet, at, "shop/a") != Some(DesiredState::Drain)) {
            fleet.run(5 * MS);
            assert!(fleet.now() < from + 10 * S, "seed {seed}");
        }
        times.push(fleet.now() - from);
    }
    times.sort_unstable();
    println!(
        "reached all processes after {} ms in the median, {} ms at most",
        times[20] / MS,
        times[39] / MS
    );
    assert!(times[20] < 250 * MS && times[39] < S, "{times:?}");
}

#[test]
fn an_idle_fleet_sends_less_than_500_bytes_per_second_and_process() {
    let mut fleet = Fleet::new(12, 4);
    for n in 0..300 {
        place(
            &mut fleet,
            n % 12,
            &format!("shop/{n}"),
            DesiredState::Drain,
        );
    }
    fleet.run(10 * S);
    let before = fleet.sent.bytes;
    fleet.run(30 * S);
    let rate = (fleet.sent.bytes - before) as f64 / 30.0 / 12.0;
    println!("{rate:.0} bytes per second and process");
    assert!(rate < 500.0, "{rate}");
}

proptest! {
    /// After random cuts, losses and restarts, all stores and their effective orders become equal
    /// once messages get through.
    #[test]
    fn stores_converge_once_messages_get_through(
        seed in any::<u64>(),
        steps in prop::collection::vec((0u8..6, 0usize..5, 0usize..5), 1..25),
    ) {
        let mut fleet = Fleet::new(5, seed);
        fleet.loss = 0.2;
        for (action, a, b) in steps {
            match action {
                0 => place(&mut fleet, a, "p/a", DesiredState::Drain),
                1 => place(&mut fleet, a, "p/a", DesiredState::Return),
                2 if a != b => fleet.cut(a, b),
                3 => fleet.start(a),
                4 => fleet.remove_expired(),
                _ => (0..5).for_each(|to| fleet.heal(a, to)),
            }
            fleet.run(100 * MS);
        }
        for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))) {
            fleet.heal(a, b);
        }
        fleet.loss = 0.0;
        fleet.run(8 * S);
        prop_assert!(fleet.has_converged());
        let states: Vec<_> = (0..5).map(|at| desired_state(&fleet, at, "p/a")).collect();
        prop_assert!(states.iter().all(|state| *state == states[0]), "{:?}", states);
    }
}
