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

/// Starts a driver with these endpoints.
fn start_driver(
    endpoints: Vec<discovery::Endpoint>,
    membership: Membership,
    limits: Rc<Limits>,
) -> Rc<Driver> {
    let options = DriverOptions {
        settings: settings(),
        seed: 7,
        initial_list: EndpointList {
            index: 1,
            snapshot: true,
            endpoints,
        },
        membership,
        max_open_requests: 10,
        fleet: None,
        carried: CarriedState::default(),
    };
    let upstream = Upstream::new(limits, 1_000.0, 30_000.0, Vec::new());
    Driver::start(options, Rc::new(upstream))
}

/// Starts a driver with one endpoint, and connects a client.
async fn driver() -> (Rc<Driver>, Rc<Limits>, Rc<TrackedSocket>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("its address");
    let limits = Limits::new(1_024, 64 << 20, 64 << 10);
    let endpoint = discovery::Endpoint::member("b0", address, false, 1.0, 0, 0.0);
    let driver = start_driver(vec![endpoint], Membership::Provided, limits.clone());
    let client = TrackedSocket::new(
        tokio::net::TcpStream::connect(address)
            .await
            .expect("a connection"),
    );
    (driver, limits, client)
}

#[test]
fn requests_are_not_accepted_after_close_all() {
    run_local(async {
        let (driver, limits, client) = driver().await;
        let send_request = || {
            let deadline = Instant::now() + Duration::from_secs(4);
            let attributes = RequestAttributes {
                class: 0,
                tenant: 0,
                key: None,
                hint_ms: None,
                is_client_retry: false,
                is_write: false,
                deadline,
                attempt_budgets: None,
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
        let (_guard, mut response) = send_request().expect("it is accepted");
        assert!(response.try_recv().is_err(), "an attempt is in flight");
        driver.close_all();
        assert!(
            matches!(response.try_recv(), Ok(FinalResponse::Failed)),
            "open requests are failed"
        );
        // This stands for a request whose last byte was read in the same turn of the event loop.
        assert!(
            send_request().is_none(),
            "a later request would be sent and cut off"
        );
    });
}

/// Token of the balancer's timer that polls discovery again.
const POLL_DISCOVERY: u64 = 1;
/// Response time of the discovery service.
const TURN_WAIT: Duration = Duration::from_millis(100);

async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    assert!(waited.is_ok(), "the condition did not hold in time");
}

/// Guards against a process that uses an outdated list forever because the task that receives lists
/// has panicked. Here the task panics on a state that is borrowed.
#[test]
#[expect(
    clippy::await_holding_refcell_ref,
    reason = "the borrow is what the task panics on"
)]
fn list_updates_resume_after_the_subscription_task_panics() {
    run_local(async {
        let discovery = Discovery::start(Some(list(5, true, &[])));
        discovery.answer_with_delay(list(5, true, &[]), TURN_WAIT);
        let limits = Limits::new(1_024, 64 << 20, 64 << 10);
        let membership = Membership::Discovery(discovery.address);
        let driver = start_driver(Vec::new(), membership, limits);
        let query_count = || discovery.requests.lock().unwrap().len();
        wait_until(|| query_count() > 0).await;
        // The list arrives while the state is borrowed.
        let borrowed = driver.state.borrow_mut();
        tokio::time::sleep(4 * TURN_WAIT).await;
        drop(borrowed);
        assert!(!driver.is_listed());
        wait_until(|| driver.is_listed()).await;
    });
}

/// Guards against a balancer that waits forever for a timer whose task has panicked: discovery
/// would not be polled again after a failure.
#[test]
#[expect(
    clippy::await_holding_refcell_ref,
    reason = "the borrow is what the task panics on"
)]
fn a_timer_fires_after_its_task_panics() {
    run_local(async {
        let discovery = Discovery::start(None);
        let limits = Limits::new(1_024, 64 << 20, 64 << 10);
        let membership = Membership::Discovery(discovery.address);
        let driver = start_driver(Vec::new(), membership, limits);
        driver.state.borrow_mut().subscription_task = None;
        driver.start_timer(20.0, POLL_DISCOVERY);
        // The timer expires while the state is borrowed.
        let borrowed = driver.state.borrow_mut();
        tokio::time::sleep(TURN_WAIT).await;
        drop(borrowed);
        wait_until(|| driver.state.borrow().subscription_task.is_some()).await;
    });
}

/// Guards against missing summaries of unserved requests after the summary task has panicked once.
#[test]
#[expect(
    clippy::await_holding_refcell_ref,
    reason = "the borrow is what the task panics on"
)]
fn unserved_requests_are_logged_after_the_summary_task_panics() {
    run_local(async {
        let (driver, _limits, _client) = driver().await;
        let reject = |driver: &Driver| {
            let state = &mut *driver.state.borrow_mut();
            driver.count_unserved(state, UnservedReason::ALL[0], |unserved| {
                &mut unserved.rejected
            });
        };
        reject(&driver);
        // The summary is due while the state is borrowed.
        let borrowed = driver.state.borrow_mut();
        tokio::time::sleep(UNSERVED_SUMMARY_INTERVAL + TURN_WAIT).await;
        drop(borrowed);
        wait_until(|| !driver.state.borrow().unserved.is_summary_scheduled).await;
        reject(&driver);
        assert!(
            driver.state.borrow().unserved.is_summary_scheduled,
            "the next summary is scheduled"
        );
    });
}
