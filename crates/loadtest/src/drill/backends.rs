//! Backends that record the time of each request.

use super::schedule::Plan;
use dewrun_test_support::{ok, Backend};
use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that reached a backend. A request whose idempotency key the backend's cell has already
/// received is not recorded.
pub(super) struct Arrival {
    pub(super) at: Instant,
    pub(super) backend: usize,
    pub(super) request_id: String,
}

/// Records and state that all backends share.
#[derive(Default)]
pub(super) struct BackendState {
    pub(super) arrivals: Mutex<Vec<Arrival>>,
    /// Maximum number of requests in progress at one backend.
    pub(super) max_in_flight: AtomicUsize,
    /// Backends that close connections without a response.
    pub(super) faulty: Mutex<HashSet<usize>>,
    /// Cells, and the idempotency keys that they have received. Request ids serve as keys.
    pub(super) keys_by_cell: Mutex<HashSet<(usize, String)>>,
}

/// Starts a backend that records requests in the shared state.
pub(super) fn start_backend(index: usize, plan: &Plan, state: &Arc<BackendState>) -> Backend {
    let (state, in_flight) = (state.clone(), AtomicUsize::new(0));
    let (response_time, errors_per_thousand) = (
        Duration::from_millis(plan.response_ms),
        (plan.error_fraction * 1e3) as u64,
    );
    let cells = plan.cells;
    Backend::start_unrecorded(move |message, stream| {
        let request_id = message.header("request-id").unwrap_or_default().to_string();
        // A request whose key the cell has received gets a response, but is not executed.
        let is_new = cells == 0
            || state
                .keys_by_cell
                .lock()
                .unwrap()
                .insert((index % cells, request_id.clone()));
        let arrival_count = if !is_new {
            0
        } else {
            let mut arrivals = state.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at: Instant::now(),
                backend: index,
                request_id,
            });
            arrivals.len() as u64
        };
        if state.faulty.lock().unwrap().contains(&index) {
            return false;
        }
        state.max_in_flight.fetch_max(
            in_flight.fetch_add(1, Ordering::SeqCst) + 1,
            Ordering::SeqCst,
        );
        if !response_time.is_zero() {
            thread::sleep(response_time);
        }
        // Multiples of the golden ratio modulo 1 spread the errors evenly over the requests.
        let is_error =
            is_new && arrival_count.wrapping_mul(618_034) % 1_000_000 < errors_per_thousand * 1_000;
        in_flight.fetch_sub(1, Ordering::SeqCst);
        let response = if is_error {
            "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_string()
        } else {
            ok("ok")
        };
        stream.write_all(response.as_bytes()).is_ok()
    })
}
