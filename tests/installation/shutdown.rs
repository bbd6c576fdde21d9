//! SIGTERM and SIGINT: every accepted request is answered, and then the process exits.

use super::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const STOP_TIME: Duration = Duration::from_secs(6);

/// Starts an installation with a stop time of `STOP_TIME` and an endpoint that responds after 5 ms.
fn installation_with_stop_time() -> Installation {
    let endpoint = Backend::start_unrecorded(|_, stream| {
        thread::sleep(Duration::from_millis(5));
        stream.write_all(ok("fine").as_bytes()).is_ok()
    });
    let stop_time = format!("[limits]\nstop_time = \"{}s\"\n", STOP_TIME.as_secs());
    Installation::start(&(stop_time + &pool(&[endpoint.address])))
}

/// Counts of the outcomes of clients that send requests continuously and reconnect after a close.
#[derive(Debug, Default)]
struct ClientCounts {
    answered: AtomicUsize,
    rejected: AtomicUsize,
    /// Requests without a response that were the first on their connection.
    lost: AtomicUsize,
    /// Refused connections.
    refused: AtomicUsize,
}

impl ClientCounts {
    fn run_client(&self, address: SocketAddr, over: &AtomicBool) {
        const PAUSE: Duration = Duration::from_millis(20);
        while !over.load(Ordering::SeqCst) {
            let Ok(stream) = TcpStream::connect(address) else {
                self.refused.fetch_add(1, Ordering::SeqCst);
                thread::sleep(PAUSE);
                continue;
            };
            self.run_connection(stream, over);
        }
    }

    /// Sends requests on one connection until it is closed.
    fn run_connection(&self, stream: TcpStream, over: &AtomicBool) {
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut connection = Connection { stream, reader };
        let mut is_first = true;
        while !over.load(Ordering::SeqCst) {
            let Some(response) = connection.send(&get("/")) else {
                if is_first {
                    self.lost.fetch_add(1, Ordering::SeqCst);
                }
                return;
            };
            let count = if response.status() == 200 {
                &self.answered
            } else {
                &self.rejected
            };
            count.fetch_add(1, Ordering::SeqCst);
            if response.header("connection") == Some("close") {
                return;
            }
            is_first = false;
        }
    }
}

/// Guards against connections that are accepted in the second half of a shutdown and closed without a
/// response to their request.
#[test]
fn a_stopping_process_answers_accepted_requests_and_then_exits() {
    const CLIENTS: usize = 24;
    let mut installation = installation_with_stop_time();
    let (seen, over) = (ClientCounts::default(), AtomicBool::new(false));
    let took = thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| seen.run_client(installation.address, &over));
        }
        until("the clients are served", || {
            seen.answered.load(Ordering::SeqCst) > 10 * CLIENTS
        });
        installation.daemon.signal("-TERM");
        let begun = Instant::now();
        let status = installation.daemon.wait();
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
fn further_signals_do_not_interrupt_a_shutdown() {
    let mut installation = installation_with_stop_time();
    let mut connection = Connection::open(installation.address);
    assert_eq!(
        connection.send(&get("/")).expect("a response").status(),
        200
    );
    installation.daemon.signal("-INT");
    installation.daemon.wait_for_log("stopping");
    for signal in ["-TERM", "-HUP", "-INT"] {
        installation.daemon.signal(signal);
        assert_eq!(
            connection.send(&get("/")).expect("a response").status(),
            200
        );
    }
    assert!(installation.daemon.wait().success());
    assert_eq!(installation.daemon.logged("reloaded"), 0);
}
