//! The soak's own measure: its schedules depend on the seed alone, and its judge catches whatever
//! must not be.

use dewrun_loadtest::audit::{Violation, EffectClass, ExecutionRecord};
use dewrun_loadtest::soak::client::{Call, CallEnd};
use dewrun_loadtest::soak::discovery::Reach;
use dewrun_loadtest::soak::judge::{judge, Finding};
use dewrun_loadtest::soak::notice::NotificationTracker;
use dewrun_loadtest::soak::records::{
    EndpointRestart, ExitCause, ListChange, ProcessExit, ProcessRun, Records, ResourceUsage,
};
use dewrun_loadtest::soak::schedule::{swap_states, Behavior, ListedState, Schedule, Step, ENDPOINT_COUNT};
use dewrun_loadtest::soak::{Deployment, Plan};
use std::collections::HashSet;
use std::process::Command;
use std::time::{Duration, Instant};

const DURATION: Duration = Duration::from_secs(10);
/// Requests a second of a good play, one after the other.
const CALLS_PER_SECOND: usize = 50;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that endpoint 0 answered as it should.
fn call(number: usize, begun: Instant) -> Call {
    let id = format!("c{number}");
    Call {
        end: CallEnd::Answered(200, id.clone().into_bytes()),
        id,
        effect: EffectClass::NonIdempotent,
        process: 0,
        is_first: false,
        connected: begun,
        begun,
        ended: begun + ms(5),
    }
}

fn ran(call: &Call, endpoint: usize) -> ExecutionRecord {
    ExecutionRecord {
        id: call.id.clone(),
        backend: endpoint,
        at: call.begun,
    }
}

/// A process that ends as it should after a play.
fn clean_run(begun: Instant) -> ProcessRun {
    ProcessRun {
        process: 0,
        started_at: begun,
        drain_started_at: None,
        exit: ProcessExit {
            cause: ExitCause::Terminated,
            started_at: begun + DURATION,
            duration: Some(ms(800)),
            time_limit: ms(1_000),
            is_success: true,
        },
    }
}

/// A play in which all went well, of one process.
fn good() -> Records {
    let begun = Instant::now();
    let count = CALLS_PER_SECOND * DURATION.as_secs() as usize;
    let interval = DURATION / count as u32;
    let calls: Vec<Call> = (0..count)
        .map(|number| call(number, begun + interval * number as u32))
        .collect();
    Records {
        deployment: Deployment::Fleet,
        started_at: begun,
        steps: Vec::new(),
        executions: calls.iter().map(|call| ran(call, 0)).collect(),
        calls,
        list_changes: vec![ListChange {
            started_at: begun,
            notified_at: begun,
            list: [ListedState::Ready; ENDPOINT_COUNT],
        }],
        endpoint_faults: Vec::new(),
        discovery_outages: Vec::new(),
        endpoint_restarts: Vec::new(),
        connection_bursts: Vec::new(),
        process_runs: vec![clean_run(begun)],
        usage: vec![ResourceUsage {
            memory_kib: 10_000,
            descriptors: 60,
        }],
        logs: Vec::new(),
    }
}

#[test]
fn a_good_play_has_no_findings() {
    assert_eq!(judge(&good()), Vec::new());
}

#[test]
fn each_fault_is_found() {
    let broken = |change: &dyn Fn(&mut Records)| {
        let mut records = good();
        change(&mut records);
        judge(&records)
    };
    let wrong = broken(&|r| r.calls[7].end = CallEnd::Answered(200, b"c6".to_vec()));
    assert!(matches!(&wrong[..], [Finding::WrongResponse { id, .. }] if id == "c7"));

    let lost = broken(&|r| r.calls[7].end = CallEnd::Lost);
    assert!(matches!(&lost[..], [Finding::LostRequest { id, .. }] if id == "c7"));

    let twice = broken(&|r| r.executions.push(ran(&r.calls[7], 1)));
    let expected = Finding::RuleViolation(Violation::RepeatedExecution("c7".into(), 2));
    assert_eq!(twice, [expected]);

    let refused = broken(&|r| r.calls[7].end = CallEnd::Answered(503, Vec::new()));
    let expected = Finding::RuleViolation(Violation::RejectedButExecuted("c7".into()));
    assert_eq!(refused, [expected]);

    let late = broken(&|r| {
        let at = r.started_at + ms(5_000);
        let mut list = r.list_changes[0].list;
        list[0] = ListedState::Draining;
        r.list_changes.push(ListChange {
            started_at: at,
            notified_at: at,
            list,
        });
    });
    assert!(matches!(&late[..], [Finding::LateRequest { endpoint: 0, delay_ms }] if *delay_ms > 4_000));

    let starved = broken(&|r| {
        let second = CALLS_PER_SECOND * 5..CALLS_PER_SECOND * 6;
        for call in &mut r.calls[second] {
            call.effect = EffectClass::Idempotent;
            call.end = CallEnd::Answered(503, Vec::new());
        }
    });
    assert!(matches!(&starved[..], [Finding::DegradedSecond { second: 5, .. }]));

    let slow_end = broken(&|r| r.process_runs[0].exit.duration = Some(ms(4_000)));
    assert!(matches!(&slow_end[..], [Finding::FaultyExit { .. }]));
    let killed = broken(&|r| r.process_runs[0].exit.duration = None);
    assert!(matches!(&killed[..], [Finding::FaultyExit { .. }]));
    let failed = broken(&|r| r.process_runs[0].exit.is_success = false);
    assert!(matches!(&failed[..], [Finding::FaultyExit { .. }]));

    let leaky = broken(&|r| r.usage[0].descriptors = 1_000);
    assert!(matches!(&leaky[..], [Finding::ExcessiveUsage { .. }]));
}

#[test]
fn a_request_that_crosses_a_close_is_lost_where_it_ran() {
    let crossing = |has_run: bool, deployment: Deployment| {
        let mut records = good();
        records.deployment = deployment;
        let begun = records.process_runs[0].exit.started_at + ms(300);
        let call = Call {
            end: CallEnd::Lost,
            ..call(9_999, begun)
        };
        if has_run {
            records.executions.push(ran(&call, 0));
        }
        records.calls.push(call);
        judge(&records).len()
    };
    assert_eq!(crossing(true, Deployment::Platform), 1);
    assert_eq!(crossing(false, Deployment::Platform), 0);
    // An installation closes no connection under a client that calls at once.
    assert_eq!(crossing(false, Deployment::Fleet), 1);
}

#[test]
fn an_endpoint_that_returns_may_be_sent_to_again() {
    let mut records = good();
    for (at, listed) in [(4_000, ListedState::Absent), (4_400, ListedState::Ready)] {
        let at = records.started_at + ms(at);
        let mut list = records.list_changes[0].list;
        list[0] = listed;
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

/// Guards against a panic where the path of the program is wrong.
#[test]
fn a_program_that_is_not_there_is_named_in_the_error() {
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
fn a_process_that_is_killed_loses_what_it_held_and_nothing_else() {
    let killed = |begun_ms: u64, ended_ms: u64, has_run: bool| {
        let mut records = good();
        let at = records.started_at + ms(5_000);
        records.process_runs[0].exit = ProcessExit {
            cause: ExitCause::Killed,
            started_at: at,
            duration: Some(ms(5)),
            ..records.process_runs[0].exit
        };
        let successor = ProcessRun {
            started_at: at + ms(10),
            ..clean_run(records.started_at)
        };
        records.process_runs.push(successor);
        let lost = Call {
            end: CallEnd::Lost,
            connected: records.started_at,
            ended: records.started_at + ms(ended_ms),
            ..call(9_999, records.started_at + ms(begun_ms))
        };
        if has_run {
            records.executions.push(ran(&lost, 0));
        }
        records.calls.push(lost);
        judge(&records)
    };
    assert_eq!(killed(4_900, 5_002, true), []);
    assert_eq!(killed(4_900, 5_002, false), []);
    assert_eq!(killed(5_100, 5_101, false), []);
    // It ended before the kill, or was taken after it.
    assert!(matches!(
        &killed(4_900, 4_950, false)[..],
        [Finding::LostRequest { .. }]
    ));
    assert!(matches!(
        &killed(5_100, 5_101, true)[..],
        [Finding::LostRequest { .. }]
    ));
}

#[test]
fn a_lost_request_runs_once_and_a_process_does_not_end_by_itself() {
    let mut records = good();
    records.process_runs[0].exit.cause = ExitCause::Killed;
    let lost = Call {
        end: CallEnd::Lost,
        ended: records.started_at + DURATION + ms(5),
        ..call(9_999, records.started_at + DURATION - ms(5))
    };
    records.executions.extend([ran(&lost, 0), ran(&lost, 1)]);
    records.calls.push(lost);
    let expected = Finding::RuleViolation(Violation::RepeatedExecution("c9999".into(), 2));
    assert_eq!(judge(&records), [expected]);

    let mut records = good();
    records.process_runs[0].exit.cause = ExitCause::Unprompted;
    assert!(matches!(&judge(&records)[..], [Finding::FaultyExit { .. }]));
}

/// The same steps, whether processes are killed between them or not.
#[test]
fn kills_leave_the_steps_of_a_seed_as_they_are() {
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
fn a_change_counts_as_told_by_the_page() {
    let now = Instant::now();
    let mut notice = NotificationTracker::new(true);
    assert_eq!(notice.notification_time(now), Some(now));
    // What a silent watch misses counts 6 s after it fell silent; later changes count at once.
    notice.record_silent_watches(now);
    assert_eq!(notice.notification_time(now + ms(2_000)), Some(now + ms(6_000)));
    assert_eq!(notice.notification_time(now + ms(7_000)), Some(now + ms(7_000)));
    // A watch that was ended is open again after a while.
    let ended = now + ms(10_000);
    notice.record_closed_watches(ended);
    assert_eq!(notice.notification_time(ended + ms(100)), Some(ended + ms(6_100)));
    assert_eq!(notice.notification_time(ended + ms(6_000)), Some(ended + ms(6_000)));
    // An outage: 6 s from when discovery can be reached.
    let lost = now + ms(20_000);
    notice.record_reach(Reach::Refusing, lost);
    assert_eq!(notice.notification_time(lost + ms(100)), None);
    notice.record_reach(Reach::Slow, lost + ms(1_000));
    let at = lost + ms(1_500);
    assert_eq!(notice.notification_time(at), Some(at + ms(6_000)));
}

/// A list that is told late does not hide a later one that was told at once.
#[test]
fn a_list_that_was_told_sooner_tells_what_an_earlier_one_did() {
    let mut records = good();
    let absent = [ListedState::Absent, ListedState::Ready, ListedState::Ready, ListedState::Ready];
    for (begun, notified) in [(3_000, 100_000), (4_000, 4_000)] {
        records.list_changes.push(ListChange {
            started_at: records.started_at + ms(begun),
            notified_at: records.started_at + ms(notified),
            list: absent,
        });
    }
    let found = judge(&records);
    assert!(matches!(&found[..], [Finding::LateRequest { endpoint: 0, delay_ms }] if *delay_ms > 5_000));
}

#[test]
fn a_cold_endpoint_that_falls_over_is_found() {
    let with_burst = |requests: u32, after: Duration| {
        let mut records = good();
        let started = records.started_at + ms(3_000);
        records.endpoint_restarts.push(EndpointRestart {
            endpoint: 3,
            stopped_at: started - ms(500),
            started_at: started,
            notified_at: started + ms(100),
        });
        let interval = ms(2_000) / requests;
        let burst = (0..requests).map(|number| ExecutionRecord {
            id: format!("b{number}"),
            backend: 3,
            at: started + after + interval * number,
        });
        records.executions.extend(burst);
        judge(&records)
    };
    // It bears 300 requests a second at its start, and falls at three times that over 3 s.
    assert_eq!(with_burst(2_700, ms(200)), []);
    let found = with_burst(3_000, ms(200));
    assert!(matches!(
        &found[..],
        [Finding::RuleViolation(Violation::Overload(3, _))]
    ));
    // It bears more once it is half warm.
    assert_eq!(with_burst(3_000, ms(4_000)), []);
}

#[test]
fn a_process_of_an_installation_is_told_nothing_more_once_it_is_ending() {
    let changed_while_ending = |deployment: Deployment| {
        let mut records = good();
        records.deployment = deployment;
        records.process_runs[0].exit.started_at = records.started_at + ms(3_000);
        records.process_runs[0].exit.duration = Some(ms(900));
        let at = records.started_at + ms(4_000);
        records.list_changes.push(ListChange {
            started_at: at,
            notified_at: at,
            list: [ListedState::Absent, ListedState::Ready, ListedState::Ready, ListedState::Ready],
        });
        judge(&records)
    };
    assert_eq!(changed_while_ending(Deployment::Fleet), []);
    let found = changed_while_ending(Deployment::Platform);
    assert!(matches!(&found[..], [Finding::LateRequest { endpoint: 0, .. }]));
}

#[test]
fn a_successor_has_its_list_some_time_after_an_outage() {
    let starved = |second: usize, outage_ends: Duration| {
        let mut records = good();
        let begun = records.started_at;
        records.process_runs[0].exit = ProcessExit {
            cause: ExitCause::Killed,
            started_at: begun + ms(10),
            duration: Some(ms(5)),
            ..records.process_runs[0].exit
        };
        records.process_runs.push(ProcessRun {
            started_at: begun + ms(20),
            ..clean_run(begun)
        });
        records.discovery_outages.push((begun, begun + outage_ends));
        let calls = CALLS_PER_SECOND * second..CALLS_PER_SECOND * (second + 1);
        for call in &mut records.calls[calls] {
            call.effect = EffectClass::Idempotent;
            call.end = CallEnd::Answered(503, Vec::new());
        }
        judge(&records).len()
    };
    // Without an outage in its time it is judged from 2 s on, else 8 s after the outage.
    assert_eq!(starved(1, ms(0)), 0);
    assert_eq!(starved(3, ms(0)), 1);
    assert_eq!(starved(3, ms(500)), 0);
    assert_eq!(starved(9, ms(500)), 1);
}
