//! Tests of the simulation of whole fleets: it is deterministic, and its network loses and cuts
//! packets as configured.

use dewrun_fleet::membership::{
    Body as MembershipBody, Incarnation, IncarnationTag, Member, Message, Update,
};
use dewrun_fleet::packet::{Body, Packet, Seal};
use dewrun_fleet::simulation::{
    run_case, Bound, Case, Fleet, Outcome, Region, Row, Settings, Stage, Topology,
    MAX_MESSAGE_BYTES, PACKET_OVERHEAD_BYTES, SECOND_US,
};

fn settings(processes: usize) -> Settings {
    Settings {
        processes,
        seed: 1,
        loss: 0.0,
    }
}

fn started(settings: Settings) -> Fleet {
    let mut fleet = Fleet::new(settings);
    fleet.start_all();
    fleet
}

#[test]
fn equal_seeds_give_equal_figures_and_different_seeds_different_ones() {
    let with = |seed| {
        run_case(
            Case::SingleRestart,
            Settings {
                seed,
                loss: 0.05,
                ..settings(20)
            },
        )
    };
    assert_eq!(with(1), with(1));
    assert_ne!(with(1).stages, with(2).stages);
}

#[test]
fn a_cut_drops_all_packets_until_it_is_healed() {
    let mut fleet = started(settings(10));
    fleet.run_until(5 * SECOND_US);
    fleet.set_groups(|process| process as u8);
    for from in 0..10 {
        (0..10)
            .filter(|to| *to != from)
            .for_each(|to| fleet.cut(from, to));
    }
    let before = fleet.packets();
    fleet.run_until(10 * SECOND_US);
    let cut = fleet.packets();
    assert!(cut.cut > 50, "{cut:?}");
    assert_eq!(cut.delivered, before.delivered);
    fleet.heal();
    fleet.run_until(15 * SECOND_US);
    assert!(
        fleet.packets().delivered > cut.delivered + 50,
        "{:?}",
        fleet.packets()
    );
    assert_eq!(fleet.packets().cut, cut.cut);
}

#[test]
fn a_cut_drops_packets_in_one_direction_only() {
    let mut fleet = started(settings(2));
    fleet.set_groups(|process| process as u8);
    fleet.cut(0, 1);
    fleet.run_until(2 * SECOND_US);
    let counts = fleet.packets();
    assert!(counts.cut > 0 && counts.delivered > 0, "{counts:?}");
}

#[test]
fn the_configured_fraction_of_packets_is_lost() {
    let mut fleet = started(Settings {
        loss: 0.2,
        ..settings(50)
    });
    fleet.run_until(60 * SECOND_US);
    let counts = fleet.packets();
    let lost_fraction = counts.lost as f64 / counts.sent as f64;
    assert!(counts.sent > 5_000, "{counts:?}");
    assert!((0.18..0.22).contains(&lost_fraction), "{lost_fraction}");
}

#[test]
fn no_packet_is_lost_without_configured_loss() {
    let mut fleet = started(settings(20));
    fleet.run_until(5 * SECOND_US);
    let counts = fleet.packets();
    assert_eq!((counts.lost, counts.cut, counts.undeliverable), (0, 0, 0));
    let in_flight = counts.sent - counts.delivered;
    assert!(in_flight < 60, "{counts:?}");
}

#[test]
fn a_killed_process_sends_nothing_and_restarts_in_a_new_incarnation() {
    let mut fleet = started(settings(8));
    fleet.run_until(5 * SECOND_US);
    assert!((0..8).all(|process| fleet.has_exact_view(process)));
    fleet.kill(7);
    fleet.kill(7);
    assert_eq!(
        (
            fleet.running_count(),
            fleet.is_running(7),
            fleet.count_in_view(7)
        ),
        (7, false, 0)
    );
    assert!(fleet.has_dead_in_view(0) && !fleet.has_exact_view(0));
    let views = fleet.views();
    assert_eq!(
        (views.expected, views.missing.max, views.unexpected.max),
        (7, 0, 1)
    );
    // The dead process is still pinged, as it is not declared dead yet.
    fleet.run_until(8 * SECOND_US);
    assert!(fleet.packets().undeliverable > 0);
    fleet.start(7);
    assert!(
        !fleet.has_in_view(0, 7),
        "this incarnation has sent nothing yet"
    );
    let views = fleet.views_of(|process| process != 7, |_| true);
    assert_eq!(
        (views.expected, views.outdated.max, views.current.max),
        (8, 1, 7)
    );
}

#[test]
fn views_can_be_compared_with_a_subset_of_the_fleet() {
    let mut fleet = started(settings(10));
    fleet.run_until(5 * SECOND_US);
    let topology = fleet.topology();
    let east = |process| topology.region(process) == Region::East;
    let views = fleet.views_of(east, east);
    assert_eq!(
        (views.expected, views.current.min, views.current.max),
        (6, 6, 6)
    );
    assert_eq!((views.unexpected.sum, views.unexpected.count), (6 * 4, 6));
}

#[test]
fn addresses_names_and_sites_are_derived_from_the_index() {
    let topology = Topology { processes: 1_500 };
    for process in [0, 1, 254, 255, 256, 1_499] {
        assert_eq!(
            topology.process_at(topology.address(process)),
            Some(process)
        );
    }
    assert_eq!(topology.process_at(topology.address(1_500)), None);
    assert_eq!(
        topology.process_at("10.0.0.0:7100".parse().expect("an address")),
        None
    );
    assert_eq!(
        topology.process_at("10.0.0.1:7101".parse().expect("an address")),
        None
    );
    assert_eq!(
        (topology.name(7).as_str(), topology.site(7)),
        ("proxy-0007", "east-3")
    );
    let seeds_in_the_east =
        (0..topology.seed_count()).filter(|seed| topology.region(*seed) == Region::East);
    assert_eq!((topology.seeds().len(), seeds_in_the_east.count()), (5, 3));
    let zones_of_rack = |rack| {
        let processes = (0..1_500).filter(move |process| topology.rack(*process) == rack);
        processes
            .map(move |process| topology.zone(process))
            .collect::<std::collections::BTreeSet<_>>()
            .len()
    };
    assert!((0..15).all(|rack| zones_of_rack(rack) == 1));
}

#[test]
fn the_largest_message_fits_a_packet_exactly() {
    let seal = Seal::new("f", b"");
    let from = Topology { processes: 2 }.address(1);
    let sealed = |size| {
        seal.seal(&Packet {
            from,
            body: Body::Membership(message_of(size)),
        })
    };
    let packet = sealed(MAX_MESSAGE_BYTES).expect("it fits");
    assert!(sealed(MAX_MESSAGE_BYTES + 1).is_err());
    assert!(
        PACKET_OVERHEAD_BYTES >= packet.len() - MAX_MESSAGE_BYTES + 28,
        "including the UDP and IP headers"
    );
}

/// Returns a message whose encoded size is `size` bytes.
fn message_of(size: usize) -> Message {
    let topology = Topology { processes: 2 };
    let message = |name: usize| {
        let member = Member {
            address: topology.address(0),
            name: "n".repeat(name),
            site: String::new(),
            started_ms: 1,
            incarnation: Incarnation(1),
            refutations: 0,
        };
        let body = MembershipBody::Gossip {
            updates: vec![Update::Full(member)],
        };
        Message {
            incarnation: IncarnationTag(1),
            refutations: 0,
            view_digest: 1,
            introduction: None,
            body,
        }
    };
    let name = size - (message(1_000).size() - 1_000);
    let message = message(name);
    assert_eq!(message.size(), size);
    message
}

fn row<'a>(rows: &'a [Row], after_s: Option<f64>, what: &str) -> &'a Row {
    let found = rows
        .iter()
        .find(|row| row.after_s == after_s && row.quantity == what);
    found.unwrap_or_else(|| panic!("no row {what} after {after_s:?}"))
}

#[test]
fn time_bounds_double_under_heavy_loss() {
    let rows = |loss| {
        let settings = Settings {
            processes: 4,
            seed: 1,
            loss,
        };
        Outcome {
            settings,
            ..run_case(Case::ColdStart, self::settings(4))
        }
        .rows()
    };
    let convergence_bound = |loss| row(&rows(loss), None, "whole everywhere after").bound;
    assert_eq!(
        (convergence_bound(0.05), convergence_bound(0.1)),
        (Some(Bound::AtMost(15.0)), Some(Bound::AtMost(30.0)))
    );
    let fewest_bound = |loss| row(&rows(loss), Some(15.0), "fewest in view").bound;
    assert_eq!(
        (fewest_bound(0.05), fewest_bound(0.1)),
        (Some(Bound::AtLeast(4.0)), None)
    );
}

#[test]
fn a_bound_that_is_not_met_is_reported() {
    let outcome = run_case(Case::ColdStart, settings(4));
    let not_converged = Outcome {
        stages: outcome
            .stages
            .iter()
            .cloned()
            .map(without_convergence)
            .collect(),
        ..outcome.clone()
    };
    let passed = |outcome: &Outcome| row(&outcome.rows(), None, "whole everywhere after").passed();
    assert_eq!(
        (passed(&outcome), passed(&not_converged)),
        (Some(true), Some(false))
    );
}

fn without_convergence(stage: Stage) -> Stage {
    Stage {
        converged_after: None,
        ..stage
    }
}
