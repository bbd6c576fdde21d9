//! The rig's own measure: its quantiles, its open loop, and that its books catch every rule broken
//! on purpose.

use dewrun_loadtest::audit::{ClientRecord, ColdStart, EffectClass, ExecutionRecord, RemovalNotice, RequestLedger, Violation};
use dewrun_loadtest::baseline::{forwarder, relay};
use dewrun_loadtest::load::{latency_histogram, run, Pace, Plan};
use dewrun_test_support::{ok, quick, Backend};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

fn get(n: u64) -> String {
    format!("GET /{n} HTTP/1.1\r\nHost: rig\r\n\r\n")
}

#[test]
fn quantiles_agree_with_the_exact_ones() {
    // A heavy tail, drawn by a fixed generator.
    let mut state: u64 = 7;
    let mut exact: Vec<u64> = (0..100_000)
        .map(|_| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let u = ((state >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
            ((50.0 / u.powf(0.7)) as u64).min(50_000_000)
        })
        .collect();
    let mut times = latency_histogram();
    exact.iter().for_each(|time| times.saturating_record(*time));
    exact.sort_unstable();
    for q in [0.01, 0.25, 0.5, 0.9, 0.99, 0.999] {
        let wanted = exact[((exact.len() as f64 * q).ceil() as usize).max(1) - 1] as f64;
        let got = times.value_at_quantile(q) as f64;
        assert!(
            (got - wanted).abs() <= wanted * 0.001 + 1.0,
            "{q}: {got}, not {wanted}"
        );
    }
    assert_eq!(times.len(), 100_000);
}

#[test]
fn an_open_loop_shows_a_stall_that_a_closed_one_hides() {
    const STALL: Duration = Duration::from_millis(1_000);
    // One caller; the backend answers at once but for one answer.
    let stalls = |n: u64| {
        let stalled = Mutex::new(n);
        let backend = Backend::start(move |_, stream| {
            let mut left = stalled.lock().unwrap();
            *left = left.saturating_sub(1);
            if *left == 0 {
                *left = u64::MAX;
                std::thread::sleep(STALL);
            }
            stream.write_all(ok("x").as_bytes()).is_ok()
        });
        backend.address
    };
    let plan = |address, pace| Plan {
        address,
        clients: 1,
        duration: Duration::from_millis(4_000),
        pace,
        max_requests: 400,
        request: &get,
    };
    let open = run(&plan(stalls(100), Pace::Open(100.0)));
    // A request every 10 ms: a hundred of the four hundred fell into the stall, and waited half of
    // it on average.
    let late =
        |run: &dewrun_loadtest::load::Run| run.latencies.len() - run.latencies.count_between(0, 99_999);
    assert_eq!(open.outcomes.len(), 400);
    assert!(late(&open) >= 60, "{} late", late(&open));
    assert!(open.latencies.max() >= 990_000);
    let closed = run(&plan(stalls(100), Pace::Closed));
    assert!(
        late(&closed) < 20,
        "only those that were out: {}",
        late(&closed)
    );
}

#[test]
fn a_run_is_bounded_and_counts_what_has_no_answer() {
    let mut left = Mutex::new(50);
    let _ = left.get_mut();
    let backend = Backend::start(move |_, stream| {
        let mut left = left.lock().unwrap();
        *left -= 1;
        *left >= 0 && stream.write_all(ok("x").as_bytes()).is_ok()
    });
    let span = Duration::from_secs(30);
    let plan = Plan {
        address: backend.address,
        clients: 4,
        duration: span,
        pace: Pace::Closed,
        max_requests: 60,
        request: &get,
    };
    let run = run(&plan);
    assert_eq!(
        (
            run.outcomes.len(),
            run.status_counts()[&Some(200)],
            run.status_counts()[&None]
        ),
        (60, 50, 10)
    );
}

#[test]
fn both_baselines_pass_everything_on() {
    let backend = quick(ok("through"));
    for address in [relay(backend), forwarder(backend)] {
        let span = Duration::from_secs(30);
        let plan = Plan {
            address,
            clients: 4,
            duration: span,
            pace: Pace::Closed,
            max_requests: 400,
            request: &get,
        };
        let run = run(&plan);
        assert_eq!(
            run.status_counts().get(&Some(200)),
            Some(&400),
            "{:?}",
            run.status_counts()
        );
    }
}

/// RequestLedger of one good request, and the moment they begin.
fn good() -> (RequestLedger, Instant) {
    let begun = Instant::now();
    let asked = ClientRecord {
        id: "a".into(),
        effect: EffectClass::NonIdempotent,
        statuses: vec![200],
    };
    let ran = ExecutionRecord {
        id: "a".into(),
        backend: 0,
        at: begun,
    };
    (
        RequestLedger {
            requests: vec![asked],
            executions: vec![ran],
            drain_grace: Duration::from_millis(250),
            ..RequestLedger::default()
        },
        begun,
    )
}

#[test]
fn every_rule_that_is_broken_on_purpose_is_caught() {
    assert_eq!(good().0.audit(), []);
    let broken = |change: &dyn Fn(&mut RequestLedger, Instant)| {
        let (mut books, begun) = good();
        change(&mut books, begun);
        books.audit()
    };
    let a = || "a".to_string();
    assert_eq!(
        broken(&|b, _| b.requests[0].statuses.clear()),
        [Violation::ResponseCount(a(), 0)]
    );
    assert_eq!(
        broken(&|b, _| b.requests[0].statuses.push(502)),
        [Violation::ResponseCount(a(), 2)]
    );
    assert_eq!(broken(&|b, _| b.executions.clear()), [Violation::NeverExecuted(a())]);
    assert_eq!(
        broken(&|b, _| b.executions.push(b.executions[0].clone())),
        [Violation::RepeatedExecution(a(), 2)]
    );
    assert_eq!(
        broken(&|b, _| b.requests[0].statuses = vec![503]),
        [Violation::RejectedButExecuted(a())]
    );
    let told = |b: &mut RequestLedger, at: Instant| b.removals.push(RemovalNotice { backend: 0, at });
    let ms = Duration::from_millis;
    let late = broken(&|b, begun| {
        told(b, begun);
        b.executions[0].at = begun + ms(300);
    });
    assert_eq!(late, [Violation::LateRequest(0, ms(300))]);
    let in_time = broken(&|b, begun| {
        told(b, begun);
        b.executions[0].at = begun + ms(200);
    });
    assert_eq!(in_time, []);
    // Warm it does 100 a second, cold 30: 90 in a second make it fall over.
    let cold = |count: u32| {
        broken(&|b, begun| {
            let (warm_up, window) = (Duration::from_secs(10), Duration::from_secs(1));
            b.cold_starts.push(ColdStart {
                backend: 1,
                started: begun,
                warm_capacity_per_s: 100.0,
                initial_fraction: 0.3,
                warm_up,
                overload_factor: 3.0,
                window,
            });
            for n in 0..count {
                b.requests.push(ClientRecord {
                    id: format!("c{n}"),
                    effect: EffectClass::Idempotent,
                    statuses: vec![200],
                });
                b.executions.push(ExecutionRecord {
                    id: format!("c{n}"),
                    backend: 1,
                    at: begun + ms(1) * n,
                });
            }
        })
    };
    assert_eq!(cold(90), []);
    assert_eq!(cold(95), [Violation::Overload(1, 95)]);
}
