use super::*;
use crate::net::limits::{Body, Limits};
use crate::net::upstream::InBody;
use hyper::{HeaderMap, Method};
use tokio::task::LocalSet;

/// A driver before one backend, and a connection of a client's.
async fn driver() -> (Rc<Driver>, Rc<Limits>, Rc<Wire>) {
    let text = r#"{"Allowed":{"MaxAttempts":5,"ConnectTimeout":1000},"MembershipMode":"automatic",
        "Classes":[{"Aim":1000,"HardLimit":4000,"Effect":"repeatable"}],
        "Rules":{"DrainGrace":250,"ColdFrom":0.3,"Cold":8000,"FallMultiple":3,"Fall":3000}}"#;
    let settings = dewrun_simulator_adapter::parse_settings(text.as_bytes()).expect("settings");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("its address");
    let limits = Limits::new(1_024, 64 << 20, 64 << 10);
    let endpoint = discovery::Endpoint::member("b0", address, false, 1.0, 0, 0.0);
    let start = Start {
        settings,
        seed: 7,
        known: EndpointList {
            index: 1,
            snapshot: true,
            endpoints: vec![endpoint],
        },
        membership: Membership::Given,
        max_open: 10,
        fleet: None,
    };
    let upstream = Rc::new(Upstream::new(limits.clone(), 1_000.0, 30_000.0, Vec::new()));
    let client = Wire::new(
        tokio::net::TcpStream::connect(address)
            .await
            .expect("a connection"),
    );
    (Driver::start(start, upstream), limits, client)
}

#[test]
fn nothing_is_taken_once_all_is_closed() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (driver, limits, client) = driver().await;
        let ask = || {
            let deadline = Instant::now() + Duration::from_secs(4);
            let asked = Asked {
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
            let body = InBody::Kept(Body::new(
                Default::default(),
                limits.bytes.take(0).expect("room"),
            ));
            let path = "/".parse().expect("a path");
            let inbound = Inbound {
                method: Method::GET,
                path,
                headers: HeaderMap::new(),
                body,
                patience: None,
            };
            driver.request(asked, inbound)
        };
        let (_guard, mut answer) = ask().expect("it is taken");
        assert!(answer.try_recv().is_err(), "an attempt is out");
        driver.close_all();
        assert!(
            matches!(answer.try_recv(), Ok(Final::Failed)),
            "what was open is failed"
        );
        // One whose last byte was read in this very turn.
        assert!(ask().is_none(), "it would be sent on and cut off");
    });
}
