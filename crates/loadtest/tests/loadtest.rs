//! Tests of the load generator's quantiles, loops and limits, of the baselines, and of the audit of
//! the four rules.

use dewrun_loadtest::audit::{
    ClientRecord, ColdStart, EffectClass, ExecutionRecord, RemovalNotice, RequestLedger, Violation,
};
use dewrun_loadtest::baseline::{forwarder, relay};
use dewrun_loadtest::load::{latency_histogram, run, Pace, Plan};
use dewrun_test_support::{ok, quick, Backend};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

fn get_request(n: u64) -> String {
    format!("GET /{n} HTTP/1.1\r\nHost: rig\r\n\r\n")
}

#[test]
fn histogram_quantiles_match_the_exact_quantiles() {
    // A heavy-tailed distribution from a generator with a fixed seed.
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
    let mut histogram = latency_histogram();
    exact
        .iter()
        .for_each(|latency| histogram.saturating_record(*latency));
    exact.sort_unstable();
    for q in [0.01, 0.25, 0.5, 0.9, 0.99, 0.999] {
        let expected = exact[((exact.len() as f64 * q).ceil() as usize).max(1) - 1] as f64;
        let measured = histogram.value_at_quantile(q) as f64;
        assert!(
            (measured - expected).abs() <= expected * 0.001 + 1.0,
            "quantile {q} is {measured}, not {expected}"
        );
    }
    assert_eq!(histogram.len(), 100_000);
}

#[test]
fn an_open_loop_shows_a_stall_that_a_closed_loop_hides() {
    const STALL: Duration = Duration::from_millis(1_000);
    // The backend responds at once, except that response number `n` is delayed.
    let stalling_backend = |n: u64| {
        let requests_left = Mutex::new(n);
        let backend = Backend::start(move |_, stream| {
            let mut left = requests_left.lock().unwrap();
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
        request: &get_request,
    };
    let open = run(&plan(stalling_backend(100), Pace::Open(100.0)));
    // With a request every 10 ms, 100 of the 400 requests fall into the stall and wait for half of
    // it on average.
    let slow = |run: &dewrun_loadtest::load::Run| {
        run.latencies.len() - run.latencies.count_between(0, 99_999)
    };
    assert_eq!(open.outcomes.len(), 400);
    assert!(slow(&open) >= 60, "{} slow requests", slow(&open));
    assert!(open.latencies.max() >= 990_000);
    let closed = run(&plan(stalling_backend(100), Pace::Closed));
    assert!(
        slow(&closed) < 20,
        "only requests in flight are slow, but {} were",
        slow(&closed)
    );
}

#[test]
fn a_run_ends_at_its_request_limit_and_counts_requests_without_response() {
    let mut responses_left = Mutex::new(50);
    let _ = responses_left.get_mut();
    let backend = Backend::start(move |_, stream| {
        let mut left = responses_left.lock().unwrap();
        *left -= 1;
        *left >= 0 && stream.write_all(ok("x").as_bytes()).is_ok()
    });
    let duration = Duration::from_secs(30);
    let plan = Plan {
        address: backend.address,
        clients: 4,
        duration,
        pace: Pace::Closed,
        max_requests: 60,
        request: &get_request,
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
fn both_baselines_forward_all_requests() {
    let backend = quick(ok("through"));
    for address in [relay(backend), forwarder(backend)] {
        let duration = Duration::from_secs(30);
        let plan = Plan {
            address,
            clients: 4,
            duration,
            pace: Pace::Closed,
            max_requests: 400,
            request: &get_request,
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

/// Returns the records of one request that keeps all rules, and its time.
fn valid_ledger() -> (RequestLedger, Instant) {
    let started = Instant::now();
    let request = ClientRecord {
        id: "a".into(),
        effect: EffectClass::NonIdempotent,
        statuses: vec![200],
    };
    let execution = ExecutionRecord {
        id: "a".into(),
        backend: 0,
        at: started,
    };
    (
        RequestLedger {
            requests: vec![request],
            executions: vec![execution],
            drain_grace: Duration::from_millis(250),
            ..RequestLedger::default()
        },
        started,
    )
}

#[test]
fn the_audit_reports_violations_of_every_rule() {
    assert_eq!(valid_ledger().0.audit(), []);
    let audit_after = |change: &dyn Fn(&mut RequestLedger, Instant)| {
        let (mut ledger, started) = valid_ledger();
        change(&mut ledger, started);
        ledger.audit()
    };
    let a = || "a".to_string();
    assert_eq!(
        audit_after(&|ledger, _| ledger.requests[0].statuses.clear()),
        [Violation::ResponseCount(a(), 0)]
    );
    assert_eq!(
        audit_after(&|ledger, _| ledger.requests[0].statuses.push(502)),
        [Violation::ResponseCount(a(), 2)]
    );
    assert_eq!(
        audit_after(&|ledger, _| ledger.executions.clear()),
        [Violation::NeverExecuted(a())]
    );
    assert_eq!(
        audit_after(&|ledger, _| ledger.executions.push(ledger.executions[0].clone())),
        [Violation::RepeatedExecution(a(), 2)]
    );
    assert_eq!(
        audit_after(&|ledger, _| ledger.requests[0].statuses = vec![503]),
        [Violation::RejectedButExecuted(a())]
    );
    let remove = |ledger: &mut RequestLedger, at: Instant| {
        ledger.removals.push(RemovalNotice { backend: 0, at })
    };
    let ms = Duration::from_millis;
    let late = audit_after(&|ledger, started| {
        remove(ledger, started);
        ledger.executions[0].at = started + ms(300);
    });
    assert_eq!(late, [Violation::LateRequest(0, ms(300))]);
    let in_time = audit_after(&|ledger, started| {
        remove(ledger, started);
        ledger.executions[0].at = started + ms(200);
    });
    assert_eq!(in_time, []);
    // The capacity is 100 requests per second when warm and 30 at the start, so more than 90 in the
    // first second are an overload.
    let audit_cold_start = |count: u32| {
        audit_after(&|ledger, started| {
            let (warm_up, window) = (Duration::from_secs(10), Duration::from_secs(1));
            ledger.cold_starts.push(ColdStart {
                backend: 1,
                started,
                warm_capacity_per_s: 100.0,
                initial_fraction: 0.3,
                warm_up,
                overload_factor: 3.0,
                window,
            });
            for n in 0..count {
                ledger.requests.push(ClientRecord {
                    id: format!("c{n}"),
                    effect: EffectClass::Idempotent,
                    statuses: vec![200],
                });
                ledger.executions.push(ExecutionRecord {
                    id: format!("c{n}"),
                    backend: 1,
                    at: started + ms(1) * n,
                });
            }
        })
    };
    assert_eq!(audit_cold_start(90), []);
    assert_eq!(audit_cold_start(95), [Violation::Overload(1, 95)]);
}
