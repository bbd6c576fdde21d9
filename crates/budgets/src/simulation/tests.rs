use super::*;

const SECOND_US: Micros = 1_000_000;

fn budget(floor: f64) -> Vec<Budget> {
    let limit = Limit::Rate {
        rate: 200.0,
        burst: 20.0,
        floor,
    };
    vec![Budget {
        name: "acme".into(),
        member: String::new(),
        limit,
    }]
}

fn start_fleet(seed: u64, n: usize, floor: f64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(seed, 3, budget(floor));
    (0..n).for_each(|index| fleet.start(index));
    fleet
}

/// Runs the fleet for a span and returns the admitted requests as a fraction of the total rate.
fn spent_fraction(fleet: &mut SimulatedFleet, span: Micros) -> f64 {
    fleet.take_activity();
    let until = fleet.now() + span;
    fleet.run(until);
    fleet.take_activity().admitted as f64 / (span as f64 / 1e6) / 200.0
}

#[test]
fn any_steady_skew_of_demand_is_served() {
    let skewed_to_one: Vec<f64> = (0..12).map(|n| if n == 4 { 300.0 } else { 5.0 }).collect();
    for demands in [
        &[600.0, 0.0, 0.0][..],
        &[200.0, 200.0, 200.0],
        &[300.0, 20.0, 20.0],
        &[150.0, 150.0, 5.0],
        &skewed_to_one,
    ] {
        let mut fleet = start_fleet(1, demands.len(), 0.0);
        demands
            .iter()
            .enumerate()
            .for_each(|(index, demand)| fleet.set_demand(index, *demand));
        fleet.run(5 * SECOND_US);
        let spent_fraction = spent_fraction(&mut fleet, 10 * SECOND_US);
        assert!(spent_fraction >= 0.95, "{demands:?}: {spent_fraction}");
        assert!(fleet.peak_share_sum <= 1.0, "{}", fleet.peak_share_sum);
    }
}

#[test]
fn shares_follow_demand_and_process_changes() {
    let mut fleet = start_fleet(2, 12, 0.0);
    fleet.set_demand(3, 600.0);
    fleet.run(5 * SECOND_US);
    fleet.set_demand(3, 0.0);
    fleet.set_demand(7, 600.0);
    fleet.run(7 * SECOND_US);
    let shifted = spent_fraction(&mut fleet, SECOND_US);
    assert!(shifted >= 0.95, "after a shift of demand {shifted}");
    fleet.kill(7);
    fleet.set_demand(8, 600.0);
    fleet.run(12 * SECOND_US + 40_000);
    let killed = spent_fraction(&mut fleet, SECOND_US);
    assert!(killed >= 0.95, "after a kill {killed}");
    fleet.start(12);
    fleet.set_demand(12, 600.0);
    fleet.set_demand(8, 600.0);
    fleet.run(fleet.now() + SECOND_US);
    assert!(
        fleet.share(12) > 0.4 * 200.0,
        "a newcomer has {}",
        fleet.share(12)
    );
    fleet.leave(12);
    fleet.run(fleet.now() + 500_000);
    assert!(
        fleet.share(8) > 0.9 * 200.0,
        "after a process left {}",
        fleet.share(8)
    );
    assert!(fleet.peak_share_sum <= 1.0, "{}", fleet.peak_share_sum);
}

#[test]
fn a_killed_or_suspended_grantor_is_replaced_quickly() {
    for seed in 0..8 {
        let mut fleet = start_fleet(seed, 8, 0.0);
        (0..8).for_each(|index| fleet.set_demand(index, 100.0));
        fleet.run(6 * SECOND_US);
        let grantor = fleet.grantor().expect("a grantor");
        if seed % 2 == 0 {
            fleet.kill(grantor);
        } else {
            fleet.suspend(grantor, 10 * SECOND_US);
        }
        let during_failover = spent_fraction(&mut fleet, 4 * SECOND_US);
        let after_failover = spent_fraction(&mut fleet, 4 * SECOND_US);
        println!("seed {seed}: {during_failover:.2} spent in 4 s, then {after_failover:.2}");
        assert!(
            after_failover >= 0.95 && during_failover > 0.6,
            "seed {seed}: {during_failover}, then {after_failover}"
        );
        assert!(fleet.peak_share_sum <= 1.0, "{}", fleet.peak_share_sum);
    }
}

/// Guards against a restarted voter that keeps voting for itself and sends its lease requests to
/// itself.
#[test]
fn a_returning_voter_follows_the_present_grantor() {
    for seed in 0..16 {
        let mut fleet = start_fleet(seed, 8, 0.0);
        (0..8).for_each(|index| fleet.set_demand(index, 100.0));
        fleet.run(5 * SECOND_US);
        let other = (0..3)
            .find(|index| Some(*index) != fleet.grantor())
            .expect("a voter");
        fleet.kill(other);
        fleet.run(8 * SECOND_US);
        fleet.start(other);
        fleet.set_demand(other, 100.0);
        fleet.run(12 * SECOND_US);
        assert!(
            fleet.share(other) > 20.0,
            "seed {seed}: {}",
            fleet.share(other)
        );
    }
}

/// A network that loses, duplicates and delays messages.
const FAULTY_NETWORK: Network = Network {
    loss: 0.3,
    duplication: 0.3,
    min_delay: 100,
    max_delay: 50_000,
    late_fraction: 0.1,
    max_lateness: 5 * SECOND_US,
};

/// Causes one random fault among the first `n` processes, or repairs one.
fn cause_fault(fleet: &mut SimulatedFleet, n: usize, rng: &mut Xoshiro256PlusPlus) {
    let (a, b) = (rng.random_range(0..n), rng.random_range(0..n));
    match rng.random_range(0..8) {
        0 => fleet.kill(a),
        1 => fleet.suspend(a, rng.random_range(0..6 * SECOND_US)),
        2 => (0..n).for_each(|to| fleet.set_cut(a, to, true)),
        3 => (0..n).filter(|index| index % 2 != a % 2).for_each(|to| {
            fleet.set_cut(a, to, true);
            fleet.set_cut(to, a, true);
        }),
        4 => fleet.network = FAULTY_NETWORK,
        5 => fleet.repair_network(),
        6 => fleet.set_demand(b, rng.random_range(0.0..600.0)),
        _ if fleet.processes[a].is_none() => fleet.start(a),
        _ => fleet.set_cut(a, b, true),
    }
}

/// Ends all faults of the network, and starts the processes that were killed.
fn repair_all(fleet: &mut SimulatedFleet, n: usize) {
    fleet.repair_network();
    for index in 0..n {
        if fleet.processes[index].is_none() {
            fleet.start(index);
        }
        fleet.set_demand(index, 100.0);
    }
}

/// Combines all faults in one run, as chosen by the seed.
#[test]
fn no_fault_exceeds_the_total_and_all_is_spent_after_repair() {
    for seed in 0..24u64 {
        let n = 5 + (seed % 8) as usize;
        let mut fleet = start_fleet(seed, n, if seed % 3 == 0 { 10.0 } else { 0.0 });
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ 0xfa17);
        (0..n).for_each(|index| fleet.set_demand(index, 100.0));
        for _ in 0..30 {
            cause_fault(&mut fleet, n, &mut rng);
            let until = fleet.now() + rng.random_range(0..SECOND_US);
            fleet.run(until);
        }
        repair_all(&mut fleet, n);
        fleet.run(fleet.now() + 12 * SECOND_US);
        let after_repair = spent_fraction(&mut fleet, 4 * SECOND_US);
        assert!(
            fleet.peak_share_sum <= 1.0,
            "seed {seed}: {} of the total was held",
            fleet.peak_share_sum
        );
        for window in [SECOND_US / 10, SECOND_US, 5 * SECOND_US] {
            assert!(
                fleet.peak_window_fraction(window) <= 1.0,
                "seed {seed}: {} in {window}",
                fleet.peak_window_fraction(window)
            );
        }
        assert!(
            after_repair >= 0.9,
            "seed {seed}: {after_repair} of the total after the repair"
        );
    }
}

#[test]
fn sent_messages_are_counted_at_the_receiver() {
    let mut fleet = start_fleet(3, 8, 0.0);
    (0..8).for_each(|index| fleet.set_demand(index, 100.0));
    fleet.run(6 * SECOND_US);
    let traffic = fleet.traffic();
    let sum = |of: fn(&Traffic) -> u64| traffic.iter().map(of).sum::<u64>();
    assert_eq!(sum(|t| t.messages_out), sum(|t| t.messages_in));
    assert_eq!(sum(|t| t.bytes_out), sum(|t| t.bytes_in));
    // A request with its packet's header is larger than 60 bytes, and no packet of one message is
    // larger than 200 bytes.
    let bytes_each = sum(|t| t.bytes_out) as f64 / sum(|t| t.messages_out) as f64;
    assert!(
        (60.0..200.0).contains(&bytes_each),
        "{bytes_each} bytes a message"
    );
    assert!(
        traffic.iter().all(|t| t.processor_time == Duration::ZERO),
        "no clock was given"
    );
}
