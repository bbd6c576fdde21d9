//! Stand-in backends that write down when each request came.

use super::schedule::Plan;
use dewrun_test_support::{ok, Backend};
use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What came to the backends: when, where, and which.
#[derive(Default)]
pub(super) struct Came {
    pub(super) all: Mutex<Vec<(Instant, usize, String)>>,
    pub(super) most_open: AtomicUsize,
    pub(super) sick: Mutex<HashSet<usize>>,
    /// The keys that a group has seen.
    pub(super) keys: Mutex<HashSet<(usize, String)>>,
}

/// A backend that writes down what comes.
pub(super) fn stand_in(number: usize, plan: &Plan, came: &Arc<Came>) -> Backend {
    let (came, open) = (came.clone(), AtomicUsize::new(0));
    let (time, errors) = (
        Duration::from_millis(plan.answer_ms),
        (plan.errors * 1e3) as u64,
    );
    let groups = plan.groups;
    Backend::start_unrecorded(move |message, stream| {
        let id = message.header("request-id").unwrap_or_default().to_string();
        // A repeat is answered and does nothing.
        let fresh = groups == 0
            || came
                .keys
                .lock()
                .unwrap()
                .insert((number % groups, id.clone()));
        let count = if !fresh {
            0
        } else {
            let mut all = came.all.lock().unwrap();
            all.push((Instant::now(), number, id));
            all.len() as u64
        };
        if came.sick.lock().unwrap().contains(&number) {
            return false;
        }
        came.most_open
            .fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
        if !time.is_zero() {
            thread::sleep(time);
        }
        // Spread evenly over the requests, by the golden ratio.
        let fails = fresh && count.wrapping_mul(618_034) % 1_000_000 < errors * 1_000;
        open.fetch_sub(1, Ordering::SeqCst);
        let answer = if fails {
            "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_string()
        } else {
            ok("ok")
        };
        stream.write_all(answer.as_bytes()).is_ok()
    })
}
