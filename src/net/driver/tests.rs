use super::*;
use crate::net::limits::{Body, Limits};
use crate::net::upstream::RequestBody;
use crate::supervisor::tests::run_local;
use dewrun_test_support::{list, Discovery};
use hyper::{HeaderMap, Method};

fn settings() -> Settings {
    let text = r#"{"Allowed":{"MaxAttempts":5,"ConnectTimeout":1000},"MembershipMode":"automatic",
        "Classes":[{"Aim":1000,"HardLimit":4000,"Effect":"repeatable"}],
        "Rules":{"DrainGrace":250,"ColdFrom":0.3,"Cold":8000,"FallMultiple":3,"Fall":3000}}"#;
    dewrun_simulator_adapter::parse_settings(text.as_bytes()).expect("settings")
}

/// A driver that knows these endpoints.
fn start_driver(
    endpoints: Vec<discovery::Endpoint>,
    membership: Membership,
    limits: Rc<Limits>,
) -> Rc<Driver> {
    let options = DriverOptions {
        settings: settings(),
        seed: 7,
        known: EndpointList {
            index: 1,
            snapshot: true,
            endpoints,
        },
        membership,
        max_open: 10,
        fleet: None,
    };
    let upstream = Upstream::new(limits, 1_000.0, 30_000.0, Vec::new());
    Driver::start(options, Rc::new(upstream))
}

/// A driver before one backend, and a connection of a client's.
async fn driver() -> (Rc<Driver>, Rc<Limits>, Rc<TrackedSocket>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("its address");
    let limits = Limits::new(1_024, 64 << 20, 64 << 10);
    let endpoint = discovery::Endpoint::member("b0", address, false, 1.0, 0, 0.0);
    let driver = start_driver(vec![endpoint], Membership::Given, limits.clone());
    let client = TrackedSocket::new(
        tokio::net::TcpStream::connect(address)
            .await
            .expect("a connection"),
    );
    (driver, limits, client)
}

#[test]
fn nothing_is_taken_once_all_is_closed() {
    run_local(async {
        let (driver, limits, client) = driver().await;
        let ask = || {
            let deadline = Instant::now() + Duration::from_secs(4);
            let attributes = RequestAttributes {
                class: 0,
                tenant: 0,
                key: None,
                hint_ms: None,
                repeat: false,
                write: false,
                deadline,
                attempts: None,
                client: client.clone(),
            };
            let body = RequestBody::Buffered(Body::new(
                Default::default(),
                limits.bytes.try_reserve(0).expect("room"),
            ));
            let path = "/".parse().expect("a path");
            let client_request = ClientRequest {
                method: Method::GET,
                path,
                headers: HeaderMap::new(),
                body,
                response_timeout: None,
            };
            driver.request(attributes, client_request)
        };
        let (_guard, mut response) = ask().expect("it is taken");
        assert!(response.try_recv().is_err(), "an attempt is out");
        driver.close_all();
        assert!(
            matches!(response.try_recv(), Ok(FinalResponse::Failed)),
            "what was open is failed"
        );
        // One whose last byte was read in this very turn.
        assert!(ask().is_none(), "it would be sent on and cut off");
    });
}

/// The module's timer after which discovery is called again.
const POLL_DISCOVERY: u64 = 1;
/// How long discovery takes for an answer.
const TURN_WAIT: Duration = Duration::from_millis(100);

async fn wait_until(is_so: impl Fn() -> bool) {
    let waiting = async {
        while !is_so() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    assert!(waited.is_ok(), "it did not come to that");
}

/// Guards against a process that goes by an old list for ever, as the task that takes new ones has
/// panicked: here on a state that is borrowed.
#[test]
#[expect(
    clippy::await_holding_refcell_ref,
    reason = "the borrow is what the task panics on"
)]
fn lists_are_taken_again_after_their_task_has_panicked() {
    run_local(async {
        let discovery = Discovery::start(Some(list(5, true, &[])));
        discovery.answer_in_turn(list(5, true, &[]), TURN_WAIT);
        let limits = Limits::new(1_024, 64 << 20, 64 << 10);
        let membership = Membership::Discovery(discovery.address);
        let driver = start_driver(Vec::new(), membership, limits);
        let asked = || discovery.asked.lock().unwrap().len();
        wait_until(|| asked() > 0).await;
        // The list comes meanwhile.
        let borrowed = driver.state.borrow_mut();
        tokio::time::sleep(4 * TURN_WAIT).await;
        drop(borrowed);
        assert!(!driver.is_listed());
        wait_until(|| driver.is_listed()).await;
    });
}

/// Guards against a module that waits for ever for a timer whose task has panicked: here discovery
/// is not called again after a failure.
#[test]
#[expect(
    clippy::await_holding_refcell_ref,
    reason = "the borrow is what the task panics on"
)]
fn a_timer_comes_though_its_task_has_panicked() {
    run_local(async {
        let discovery = Discovery::start(None);
        let limits = Limits::new(1_024, 64 << 20, 64 << 10);
        let membership = Membership::Discovery(discovery.address);
        let driver = start_driver(Vec::new(), membership, limits);
        driver.state.borrow_mut().watch = None;
        driver.start_timer(20.0, POLL_DISCOVERY);
        // It expires meanwhile.
        let borrowed = driver.state.borrow_mut();
        tokio::time::sleep(TURN_WAIT).await;
        drop(borrowed);
        wait_until(|| driver.state.borrow().watch.is_some()).await;
    });
}

/// Guards against a log without a line for what is not served, after its task has panicked once.
#[test]
#[expect(
    clippy::await_holding_refcell_ref,
    reason = "the borrow is what the task panics on"
)]
fn what_is_not_served_is_logged_though_its_task_has_panicked() {
    run_local(async {
        let (driver, _limits, _client) = driver().await;
        let reject = |driver: &Driver| {
            let state = &mut *driver.state.borrow_mut();
            driver.count_unserved(state, UnservedReason::ALL[0], |unserved| {
                &mut unserved.rejected
            });
        };
        reject(&driver);
        // The line is due meanwhile.
        let borrowed = driver.state.borrow_mut();
        tokio::time::sleep(UNSERVED_SUMMARY_INTERVAL + TURN_WAIT).await;
        drop(borrowed);
        wait_until(|| !driver.state.borrow().unserved.is_summary_scheduled).await;
        reject(&driver);
        assert!(
            driver.state.borrow().unserved.is_summary_scheduled,
            "the next line is due"
        );
    });
}
