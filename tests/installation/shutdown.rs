//! SIGTERM and SIGINT: every request that is accepted is answered, and then the process ends.

use super::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const STOP_TIME: Duration = Duration::from_secs(6);

/// A pool before a backend that takes 5 ms, in a process with so long to stop.
fn site() -> Site {
    let backend = Backend::start_unrecorded(|_, stream| {
        thread::sleep(Duration::from_millis(5));
        stream.write_all(ok("fine").as_bytes()).is_ok()
    });
    let stop_time = format!("[limits]\nstop_time = \"{}s\"\n", STOP_TIME.as_secs());
    Site::start(&(stop_time + &pool(&[backend.address])))
}

/// What clients saw who keep calling, and connect anew where a connection was closed.
#[derive(Debug, Default)]
struct Seen {
    answered: AtomicUsize,
    rejected: AtomicUsize,
    /// A request was written on a connection that has carried none, and no answer came.
    lost: AtomicUsize,
    /// Connections were refused.
    refused: AtomicUsize,
}

impl Seen {
    fn call_until(&self, address: SocketAddr, over: &AtomicBool) {
        const PAUSE: Duration = Duration::from_millis(20);
        while !over.load(Ordering::SeqCst) {
            let Ok(stream) = TcpStream::connect(address) else {
                self.refused.fetch_add(1, Ordering::SeqCst);
                thread::sleep(PAUSE);
                continue;
            };
            self.call_on(stream, over);
        }
    }

    /// Calls on one connection until it is closed.
    fn call_on(&self, stream: TcpStream, over: &AtomicBool) {
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut kept = Kept { stream, reader };
        let mut is_first = true;
        while !over.load(Ordering::SeqCst) {
            let Some(answer) = kept.ask(&get("/")) else {
                if is_first {
                    self.lost.fetch_add(1, Ordering::SeqCst);
                }
                return;
            };
            let count = if answer.status() == 200 {
                &self.answered
            } else {
                &self.rejected
            };
            count.fetch_add(1, Ordering::SeqCst);
            if answer.header("connection") == Some("close") {
                return;
            }
            is_first = false;
        }
    }
}

/// Guards against connections that are accepted in the second half of a shutdown and closed with a
/// request on them.
#[test]
fn a_stopping_process_answers_what_it_accepts_and_ends_once_that_is_done() {
    const CLIENTS: usize = 24;
    let mut site = site();
    let (seen, over) = (Seen::default(), AtomicBool::new(false));
    let took = thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| seen.call_until(site.address, &over));
        }
        until("they call", || {
            seen.answered.load(Ordering::SeqCst) > 10 * CLIENTS
        });
        site.daemon.signal("-TERM");
        let begun = Instant::now();
        let status = site.daemon.wait();
        let took = begun.elapsed();
        over.store(true, Ordering::SeqCst);
        assert!(status.success());
        took
    });
    println!("ended after {took:?}: {seen:?}");
    assert_eq!(seen.lost.load(Ordering::SeqCst), 0, "{seen:?}");
    assert_eq!(seen.rejected.load(Ordering::SeqCst), 0, "{seen:?}");
    assert!(seen.refused.load(Ordering::SeqCst) > 0, "{seen:?}");
    assert!(took < STOP_TIME, "{took:?}");
}

#[test]
fn further_signals_do_not_disturb_a_shutdown() {
    let mut site = site();
    let mut kept = Kept::open(site.address);
    assert_eq!(kept.ask(&get("/")).expect("an answer").status(), 200);
    site.daemon.signal("-INT");
    site.daemon.wait_for_log("stopping");
    for signal in ["-TERM", "-HUP", "-INT"] {
        site.daemon.signal(signal);
        assert_eq!(kept.ask(&get("/")).expect("an answer").status(), 200);
    }
    assert!(site.daemon.wait().success());
    assert_eq!(site.daemon.logged("reloaded"), 0);
}
