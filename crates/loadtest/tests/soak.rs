//! Tests of the soak's schedules, which depend only on the seed, and of its judge, which finds each
//! kind of fault.

use dewrun_loadtest::audit::{EffectClass, ExecutionRecord, Violation};
use dewrun_loadtest::soak::client::{Call, CallOutcome};
use dewrun_loadtest::soak::discovery::Availability;
use dewrun_loadtest::soak::judge::{judge, Finding};
use dewrun_loadtest::soak::notification::NotificationTracker;
use dewrun_loadtest::soak::records::{
    EndpointRestart, ExitCause, ListChange, ProcessExit, ProcessRun, Records, ResourceUsage,
};
use dewrun_loadtest::soak::schedule::{
    swap_states, Behavior, ListedState, Schedule, Step, ENDPOINT_COUNT,
};
use dewrun_loadtest::soak::{Deployment, Plan};
use std::collections::HashSet;
use std::process::Command;
use std::time::{Duration, Instant};

const DURATION: Duration = Duration::from_secs(10);
/// The requests per second of a play without faults, sent one after the other.
const CALLS_PER_SECOND: usize = 50;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a request that got a correct response.
fn call(number: usize, started_at: Instant) -> Call {
    let id = format!("c{number}");
    Call {
        outcome: CallOutcome::Response(200, id.clone().into_bytes()),
        id,
        effect: EffectClass::NonIdempotent,
        process: 0,
        is_first: false,
        connect_started_at: started_at,
        started_at,
        ended_at: started_at + ms(5),
    }
}

/// Returns the record of a request by the endpoint that got it.
fn execution(call: &Call, endpoint: usize) -> ExecutionRecord {
    ExecutionRecord {
        id: call.id.clone(),
        backend: endpoint,
        at: call.started_at,
    }
}

/// Returns the run of a process that exits correctly after a play.
fn clean_run(started_at: Instant) -> ProcessRun {
    ProcessRun {
        process: 0,
        started_at,
        drain_started_at: None,
        exit: ProcessExit {
            cause: ExitCause::Terminated,
            started_at: started_at + DURATION,
            duration: Some(ms(800)),
            time_limit: ms(1_000),
            is_success: true,
        },
    }
}

/// Returns the records of a play of one process without faults.
fn records_without_faults() -> Records {
    let started_at = Instant::now();
    let count = CALLS_PER_SECOND * DURATION.as_secs() as usize;
    let interval = DURATION / count as u32;
    let calls: Vec<Call> = (0..count)
        .map(|number| call(number, started_at + interval * number as u32))
        .collect();
    Records {
        deployment: Deployment::Fleet,
        started_at,
        steps: Vec::new(),
        executions: calls.iter().map(|call| execution(call, 0)).collect(),
        calls,
        list_changes: vec![ListChange {
            started_at,
            notified_at: started_at,
            list: [ListedState::Ready; ENDPOINT_COUNT],
        }],
        endpoint_faults: Vec::new(),
        discovery_outages: Vec::new(),
        endpoint_restarts: Vec::new(),
        connection_bursts: Vec::new(),
        process_runs: vec![clean_run(started_at)],
        usage: vec![ResourceUsage {
            memory_kib: 10_000,
            descriptors: 60,
        }],
        logs: Vec::new(),
    }
}

#[test]
fn a_play_without_faults_has_no_findings() {
    assert_eq!(judge(&records_without_faults()), Vec::new());
}

#[test]
fn each_fault_is_found() {
    let findings_after = |change: &dyn Fn(&mut Records)| {
        let mut records = records_without_faults();
        change(&mut records);
        judge(&records)
    };
    let wrong =
        findings_after(&|r| r.calls[7].outcome = CallOutcome::Response(200, b"c6".to_vec()));
    assert!(matches!(&wrong[..], [Finding::WrongResponse { id, .. }] if id == "c7"));

    let lost = findings_after(&|r| r.calls[7].outcome = CallOutcome::ConnectionLost);
    assert!(matches!(&lost[..], [Finding::LostRequest { id, .. }] if id == "c7"));

    let duplicate = findings_after(&|r| r.executions.push(execution(&r.calls[7], 1)));
    let expected = Finding::RuleViolation(Violation::RepeatedExecution("c7".into(), 2));
    assert_eq!(duplicate, [expected]);

    let rejected = findings_after(&|r| r.calls[7].outcome = CallOutcome::Response(503, Vec::new()));
    let expected = Finding::RuleViolation(Violation::RejectedButExecuted("c7".into()));
    assert_eq!(rejected, [expected]);

    let late = findings_after(&|r| {
        let at = r.started_at + ms(5_000);
        let mut list = r.list_changes[0].list;
        list[0] = ListedState::Draining;
        r.list_changes.push(ListChange {
            started_at: at,
            notified_at: at,
            list,
        });
    });
    assert!(
        matches!(&late[..], [Finding::LateRequest { endpoint: 0, delay_ms }] if *delay_ms > 4_000)
    );

    let degraded = findings_after(&|r| {
        let second = CALLS_PER_SECOND * 5..CALLS_PER_SECOND * 6;
        for call in &mut r.calls[second] {
            call.effect = EffectClass::Idempotent;
            call.outcome = CallOutcome::Response(503, Vec::new());
        }
    });
    assert!(matches!(
        &degraded[..],
        [Finding::DegradedSecond { second: 5, .. }]
    ));

    let slow_exit = findings_after(&|r| r.process_runs[0].exit.duration = Some(ms(4_000)));
    assert!(matches!(&slow_exit[..], [Finding::FaultyExit { .. }]));
    let killed = findings_after(&|r| r.process_runs[0].exit.duration = None);
    assert!(matches!(&killed[..], [Finding::FaultyExit { .. }]));
    let failed = findings_after(&|r| r.process_runs[0].exit.is_success = false);
    assert!(matches!(&failed[..], [Finding::FaultyExit { .. }]));

    let excessive = findings_after(&|r| r.usage[0].descriptors = 1_000);
    assert!(matches!(&excessive[..], [Finding::ExcessiveUsage { .. }]));
}

#[test]
fn a_request_that_crosses_a_close_may_be_lost_only_on_the_platform_and_if_it_has_not_run() {
    let finding_count = |has_run: bool, deployment: Deployment| {
        let mut records = records_without_faults();
        records.deployment = deployment;
        let started_at = records.process_runs[0].exit.started_at + ms(300);
        let call = Call {
            outcome: CallOutcome::ConnectionLost,
            ..call(9_999, started_at)
        };
        if has_run {
            records.executions.push(execution(&call, 0));
        }
        records.calls.push(call);
        judge(&records).len()
    };
    assert_eq!(finding_count(true, Deployment::Platform), 1);
    assert_eq!(finding_count(false, Deployment::Platform), 0);
    // A process of a fleet closes no connection while its client sends the next request at once.
    assert_eq!(finding_count(false, Deployment::Fleet), 1);
}

#[test]
fn an_endpoint_that_is_ready_again_may_get_requests() {
    let mut records = records_without_faults();
    for (at, state) in [(4_000, ListedState::Absent), (4_400, ListedState::Ready)] {
        let at = records.started_at + ms(at);
        let mut list = records.list_changes[0].list;
        list[0] = state;
        records.list_changes.push(ListChange {
            started_at: at,
            notified_at: at,
            list,
        });
    }
    assert_eq!(judge(&records), Vec::new());
}

#[test]
fn schedules_depend_on_the_seed_alone() {
    let all: Vec<Schedule> = (1..=50)
        .map(|seed| Schedule::draw(seed, DURATION))
        .collect();
    for (seed, schedule) in (1..=50).zip(&all) {
        assert_eq!(*schedule, Schedule::draw(seed, DURATION));
    }
    let steps: Vec<Step> = all
        .iter()
        .flat_map(|schedule| schedule.steps.iter().map(|(_, step)| *step))
        .collect();
    let kinds: HashSet<_> = steps.iter().map(std::mem::discriminant).collect();
    assert_eq!(kinds.len(), 7, "each kind of step is drawn");
    for behavior in Behavior::ALL {
        let is_drawn = |step: &Step| matches!(step, Step::SetBehavior(_, b) if *b == behavior);
        assert!(steps.iter().any(is_drawn), "{behavior:?}");
    }
    for step in &steps {
        if let Step::ChangeList(list) = step {
            assert!(list.contains(&ListedState::Ready));
            assert!(swap_states(list).contains(&ListedState::Ready));
        }
    }
}

/// Guards against a panic if the path of the program is wrong.
#[test]
fn a_missing_program_is_named_in_the_error() {
    let soak = Command::new(env!("CARGO_BIN_EXE_dewrun-loadtest"))
        .args(["soak", "--seeds", "1..1", "--dewrun", "nowhere/dewrun"])
        .output()
        .expect("the program starts");
    let error = String::from_utf8_lossy(&soak.stderr);
    assert_eq!(soak.status.code(), Some(2), "{error}");
    assert!(error.contains("cannot start nowhere/dewrun: "), "{error}");
    assert!(!error.contains("panicked"), "{error}");
}

#[test]
fn a_killed_process_may_lose_the_requests_it_held_and_no_others() {
    let findings = |start_ms: u64, end_ms: u64, has_run: bool| {
        let mut records = records_without_faults();
        let at = records.started_at + ms(5_000);
        records.process_runs[0].exit = ProcessExit {
            cause: ExitCause::Killed,
            started_at: at,
            duration: Some(ms(5)),
            ..records.process_runs[0].exit
        };
        let replacement = ProcessRun {
            started_at: at + ms(10),
            ..clean_run(records.started_at)
        };
        records.process_runs.push(replacement);
        let lost = Call {
            outcome: CallOutcome::ConnectionLost,
            connect_started_at: records.started_at,
            ended_at: records.started_at + ms(end_ms),
            ..call(9_999, records.started_at + ms(start_ms))
        };
        if has_run {
            records.executions.push(execution(&lost, 0));
        }
        records.calls.push(lost);
        judge(&records)
    };
    assert_eq!(findings(4_900, 5_002, true), []);
    assert_eq!(findings(4_900, 5_002, false), []);
    assert_eq!(findings(5_100, 5_101, false), []);
    // The request was lost before the kill, or ran although it was sent after it.
    assert!(matches!(
        &findings(4_900, 4_950, false)[..],
        [Finding::LostRequest { .. }]
    ));
    assert!(matches!(
        &findings(5_100, 5_101, true)[..],
        [Finding::LostRequest { .. }]
    ));
}

#[test]
fn a_lost_request_that_ran_twice_and_an_unprompted_exit_are_found() {
    let mut records = records_without_faults();
    records.process_runs[0].exit.cause = ExitCause::Killed;
    let lost = Call {
        outcome: CallOutcome::ConnectionLost,
        ended_at: records.started_at + DURATION + ms(5),
        ..call(9_999, records.started_at + DURATION - ms(5))
    };
    records
        .executions
        .extend([execution(&lost, 0), execution(&lost, 1)]);
    records.calls.push(lost);
    let expected = Finding::RuleViolation(Violation::RepeatedExecution("c9999".into(), 2));
    assert_eq!(judge(&records), [expected]);

    let mut records = records_without_faults();
    records.process_runs[0].exit.cause = ExitCause::Unprompted;
    assert!(matches!(&judge(&records)[..], [Finding::FaultyExit { .. }]));
}

/// The plan with kills only adds steps to the schedule of the plan without them.
#[test]
fn disturbances_leave_the_other_steps_of_a_seed_unchanged() {
    let is_a_disturbance = |step: &Step| {
        matches!(
            step,
            Step::Signal(..)
                | Step::Drain(_)
                | Step::KillAndRestart(_)
                | Step::RestartAfterSigterm(_)
                | Step::SilenceWatches
                | Step::SetDiscovery(_)
                | Step::StopEndpoint(_)
                | Step::StartEndpoint(_)
        )
    };
    let mut kinds = HashSet::new();
    for seed in 1..=50 {
        let plain = Schedule::draw(seed, DURATION);
        let mut disturbed = Plan::Kills.draw_schedule(seed, DURATION);
        assert_eq!(disturbed, Plan::Kills.draw_schedule(seed, DURATION));
        let added = disturbed
            .steps
            .iter()
            .filter(|(_, step)| is_a_disturbance(step));
        kinds.extend(added.map(|(_, step)| std::mem::discriminant(step)));
        disturbed.steps.retain(|(_, step)| !is_a_disturbance(step));
        assert_eq!(disturbed.steps, plain.steps);
    }
    assert_eq!(kinds.len(), 8, "each kind of disturbance is drawn");
}

#[test]
fn a_list_change_counts_as_notified_within_the_documented_time() {
    let now = Instant::now();
    let mut tracker = NotificationTracker::new(true);
    assert_eq!(tracker.notification_time(now), Some(now));
    // A change that a silent watch misses counts as notified 6 s after the watch fell silent; later
    // changes count as notified at once.
    tracker.record_silent_watches(now);
    assert_eq!(
        tracker.notification_time(now + ms(2_000)),
        Some(now + ms(6_000))
    );
    assert_eq!(
        tracker.notification_time(now + ms(7_000)),
        Some(now + ms(7_000))
    );
    // A closed watch is open again 6 s later.
    let closed_at = now + ms(10_000);
    tracker.record_closed_watches(closed_at);
    assert_eq!(
        tracker.notification_time(closed_at + ms(100)),
        Some(closed_at + ms(6_100))
    );
    assert_eq!(
        tracker.notification_time(closed_at + ms(6_000)),
        Some(closed_at + ms(6_000))
    );
    // A change in the first 6 s after an outage counts as notified 6 s after the change.
    let outage_started_at = now + ms(20_000);
    tracker.record_availability(Availability::Unavailable, outage_started_at);
    assert_eq!(tracker.notification_time(outage_started_at + ms(100)), None);
    tracker.record_availability(Availability::Slow, outage_started_at + ms(1_000));
    let at = outage_started_at + ms(1_500);
    assert_eq!(tracker.notification_time(at), Some(at + ms(6_000)));
}

/// A list whose notification comes late does not hide the earlier notification of a later list.
#[test]
fn a_later_list_with_an_earlier_notification_counts_for_both() {
    let mut records = records_without_faults();
    let absent = [
        ListedState::Absent,
        ListedState::Ready,
        ListedState::Ready,
        ListedState::Ready,
    ];
    for (start_ms, notified_ms) in [(3_000, 100_000), (4_000, 4_000)] {
        records.list_changes.push(ListChange {
            started_at: records.started_at + ms(start_ms),
            notified_at: records.started_at + ms(notified_ms),
            list: absent,
        });
    }
    let found = judge(&records);
    assert!(
        matches!(&found[..], [Finding::LateRequest { endpoint: 0, delay_ms }] if *delay_ms > 5_000)
    );
}

#[test]
fn an_overloaded_cold_endpoint_is_found() {
    let findings_with_burst = |requests: u32, after: Duration| {
        let mut records = records_without_faults();
        let started_at = records.started_at + ms(3_000);
        records.endpoint_restarts.push(EndpointRestart {
            endpoint: 3,
            stopped_at: started_at - ms(500),
            started_at,
            notified_at: started_at + ms(100),
        });
        let interval = ms(2_000) / requests;
        let burst = (0..requests).map(|number| ExecutionRecord {
            id: format!("b{number}"),
            backend: 3,
            at: started_at + after + interval * number,
        });
        records.executions.extend(burst);
        judge(&records)
    };
    // The endpoint can serve 300 requests per second at its start and is overloaded by three times
    // that rate over 3 s.
    assert_eq!(findings_with_burst(2_700, ms(200)), []);
    let found = findings_with_burst(3_000, ms(200));
    assert!(matches!(
        &found[..],
        [Finding::RuleViolation(Violation::Overload(3, _))]
    ));
    // It can serve more once it is half warm.
    assert_eq!(findings_with_burst(3_000, ms(4_000)), []);
}

#[test]
fn an_exiting_process_of_a_fleet_is_not_notified_of_list_changes() {
    let findings_with_change_during_exit = |deployment: Deployment| {
        let mut records = records_without_faults();
        records.deployment = deployment;
        records.process_runs[0].exit.started_at = records.started_at + ms(3_000);
        records.process_runs[0].exit.duration = Some(ms(900));
        let at = records.started_at + ms(4_000);
        records.list_changes.push(ListChange {
            started_at: at,
            notified_at: at,
            list: [
                ListedState::Absent,
                ListedState::Ready,
                ListedState::Ready,
                ListedState::Ready,
            ],
        });
        judge(&records)
    };
    assert_eq!(findings_with_change_during_exit(Deployment::Fleet), []);
    let found = findings_with_change_during_exit(Deployment::Platform);
    assert!(matches!(
        &found[..],
        [Finding::LateRequest { endpoint: 0, .. }]
    ));
}

#[test]
fn a_replacement_process_is_judged_some_time_after_an_outage() {
    let finding_count = |second: usize, outage_ends: Duration| {
        let mut records = records_without_faults();
        let started_at = records.started_at;
        records.process_runs[0].exit = ProcessExit {
            cause: ExitCause::Killed,
            started_at: started_at + ms(10),
            duration: Some(ms(5)),
            ..records.process_runs[0].exit
        };
        records.process_runs.push(ProcessRun {
            started_at: started_at + ms(20),
            ..clean_run(started_at)
        });
        records
            .discovery_outages
            .push((started_at, started_at + outage_ends));
        let calls = CALLS_PER_SECOND * second..CALLS_PER_SECOND * (second + 1);
        for call in &mut records.calls[calls] {
            call.effect = EffectClass::Idempotent;
            call.outcome = CallOutcome::Response(503, Vec::new());
        }
        judge(&records).len()
    };
    // Without an outage the process is judged from 2 s after its start on, otherwise from 8 s after
    // the end of the outage on.
    assert_eq!(finding_count(1, ms(0)), 0);
    assert_eq!(finding_count(3, ms(0)), 1);
    assert_eq!(finding_count(3, ms(500)), 0);
    assert_eq!(finding_count(9, ms(500)), 1);
}
