//! Catching up of starting processes.

use crate::member_status::{report_status, MemberState, MemberStatus};
use crate::simulation::Process;
use crate::test_fleet::{Fleet, MS, S};

#[test]
fn a_restarted_process_catches_up_within_a_second() {
    let mut fleet = Fleet::new(12, 3);
    fleet.run(S);
    for n in 0..10_000u64 {
        let at = n as usize % 12;
        fleet.write(at, |store, now| {
            let status = MemberStatus {
                started_ms: n,
                state: MemberState::Ready,
            };
            report_status(store, now, &format!("shop/member-{n}"), status);
            None
        });
    }
    fleet.run(20 * S);
    assert!(fleet.has_converged());
    fleet.kill(5);
    fleet.start(5);
    let (from, sent) = (fleet.now(), fleet.sent);
    let caught_up = |fleet: &Fleet| {
        fleet.processes[5]
            .as_ref()
            .is_some_and(|p| p.gossip.is_caught_up())
    };
    while !caught_up(&fleet) {
        fleet.run(5 * MS);
        assert!(
            fleet.now() < from + 2 * S,
            "{}",
            fleet.processes[5].as_ref().map_or(0, |p| p.store.len())
        );
    }
    println!(
        "10000 entries in {} ms, {} bytes",
        (fleet.now() - from) / MS,
        fleet.sent.bytes - sent.bytes
    );
    assert_eq!(
        fleet.processes[5].as_ref().map(|p| p.store.len()),
        Some(10_000)
    );
    assert!(fleet.now() - from < S);
}

#[test]
fn all_processes_are_caught_up_when_the_entire_fleet_starts() {
    for processes in [1, 2, 12, 100] {
        let mut fleet = Fleet::new(processes, 8);
        fleet.run(S);
        let caught_up = |p: &&Process| p.gossip.is_caught_up();
        assert_eq!(
            fleet.processes.iter().flatten().filter(caught_up).count(),
            processes
        );
    }
}
