use super::*;
use crate::net::balancer_harness::BalancerHarness;
use crate::net::discovery::Directory;
use dewrun_balancer::Balancer;
use dewrun_test_support::{mutation_count, Mutator};
use std::io::{Read, Write};

#[test]
fn a_snapshot_may_span_several_lines() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).expect("a request");
        let list = "{\"index\":41,\n\"snapshot\":true,\n\"endpoints\":[]}\n";
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        )
        .expect("it is sent");
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let list = runtime.block_on(fetch_snapshot(address)).expect("a list");
    assert_eq!((list.index, list.snapshot), (41, true));
    server.join().expect("it served");
}

const SEED: u64 = 20_261_203;
const DEFAULT_STREAMS: usize = 3_000;
const SETTINGS: &str = r#"{"MembershipMode":"automatic","Zones":["z"],"Weights":"nominal",
    "Classes":[{"Aim":1000,"HardLimit":4000,"Effect":"repeatable"}],
    "Rules":{"DrainGrace":250,"ColdFrom":0.3,"Cold":8000,"FallMultiple":3,"Fall":3000},
    "Allowed":{"MaxAttempts":5,"ConnectTimeout":1000}}"#;
/// A snapshot, heartbeats and deltas, as discovery sends them.
const STREAM: &str = r#"{"index":41,"snapshot":true,"endpoints":[
{"name":"a","address":"127.0.0.1:9001","zone":"z","type":"k","group":3,"status":"ready","weight":1.5,"since_ms":1700000000000},
{"name":"b","address":"[::1]:9002","zone":"y","group":65535,"status":"draining","weight":0.25},
{"name":"c","address":"127.0.0.1:9003","status":"ready"}]}

{"index":42,"snapshot":false,"endpoints":[{"name":"b","address":"[::1]:9002","status":"gone"},
{"name":"d","address":"127.0.0.1:9004","status":"warm","weight":2,"since_ms":1699999999000.5}]}

{"index":43,"snapshot":false,"endpoints":[{"name":"a","address":"127.0.0.1:9005","status":"ready","weight":7}]}
"#;

/// Guards against a list that causes a panic in the task that applies it, or in later requests.
#[test]
fn mutated_lists_and_streams_are_applied_or_rejected() {
    let settings = dewrun_simulator_adapter::parse_settings(SETTINGS.as_bytes());
    let settings = settings.expect("settings");
    let originals = [STREAM.as_bytes().to_vec()];
    let (mut applied, mut rejected) = (0, 0);
    let count = mutation_count(DEFAULT_STREAMS);
    Mutator::new(SEED).play_texts(&originals, count, |stream| {
        let directory = Directory::new(&settings);
        let balancer = Balancer::new(settings.clone(), SEED);
        let mut harness = BalancerHarness::new(balancer, directory, settings.classes.len());
        let mut objects = ObjectStream::new(MAX_LIST_BYTES);
        let mut held_version = None;
        let fed = feed_watch(&mut objects, stream, &mut held_version, &mut |event| {
            if let WatchEvent::List(list) = event {
                harness.apply_list(&list);
                harness.run_requests();
            }
        });
        match fed {
            Ok(()) => applied += 1,
            Err(error) => {
                rejected += 1;
                assert!(!error.to_string().is_empty());
            }
        }
    });
    assert!(applied > 0 && rejected > 0, "{applied} {rejected}");
}
