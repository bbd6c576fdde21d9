//! Mutated input from the platform and from other processes.

use super::*;
use crate::net::balancer_harness::BalancerHarness;
use crate::net::discovery::Directory;
use crate::supervisor::tests::run_local;
use dewrun_balancer::Balancer;
use dewrun_handover::{siblings, Note, Reader};
use dewrun_test_support::{mutation_count, Mutator};

const SEED: u64 = 20_261_203;
const DEFAULT_CONFIGURATIONS: usize = 3_000;
const DEFAULT_NOTES: usize = 3_000;
/// The time at which the notes are written, in Unix milliseconds.
const NOTE_MS: f64 = 1_700_000_001_000.0;
const KNOWN: &str = r#"{"index":41,"snapshot":true,"endpoints":[
{"name":"a","address":"127.0.0.1:9001","zone":"z","type":"k","group":3,"status":"ready","weight":1.5,"since_ms":1700000000000},
{"name":"b","address":"[::1]:9002","zone":"y","group":9,"status":"draining","weight":0.25},
{"name":"c","address":"127.0.0.1:9003","status":"ready"}]}"#;

/// Settings that the short configuration does not have.
const MORE_SETTINGS: &str = r#""FleetSize":10,"Rank":3,"Az":0,"Tick":5.0,"Weights":"live",
"OverShareWorth":0.05,"WorthBy":"work","Report":{"Fields":["active","cpu"],"Via":"inline"},
"Prices":{"CrossZone":0.02,"Waste":0.11,"Probe":0.1},"Stage":1,"Stages":["front","back"],
"ObjectiveMix":{"Whole":0.5,"WorstClass":0.11,"Nines":0.2,"FullAtNines":4.0},"#;

fn configuration() -> String {
    let discovery = SocketAddr::from(([127, 0, 0, 1], 7_000));
    dewrun_test_support::config(discovery, KNOWN)
}

/// Creates a balancer with the configuration's endpoints, before its first request.
fn start_harness(config: &Config) -> BalancerHarness {
    let directory = Directory::new(&config.settings);
    let balancer = Balancer::new(config.settings.clone(), config.seed);
    let mut harness = BalancerHarness::new(balancer, directory, config.settings.classes.len());
    harness.apply_list(&config.known);
    harness
}

/// Performs the steps of a start that come before the first socket is opened.
fn start_up(config: Config) {
    start_harness(&config).run_requests();
    let limits = limits(&config);
    let (listen, settings) = (config.listen, config.settings.clone());
    let class_names = settings.classes.iter().map(|class| class.name.as_str());
    let metrics = Rc::new(Metrics::new(class_names));
    let upstream = upstream(&settings, &limits, &metrics);
    let _ = served_names(listen, &settings);
    let driver = start_driver(config, &limits, &upstream);
    let drain = Rc::new(DrainState::default());
    let handler = PlatformHandler::new(driver, upstream, limits, &settings, true, drain, metrics);
    let _ = client_timeouts(handler.shutdown_timeout());
    assert!(!handler.metrics().is_empty());
}

/// Guards against an invalid configuration that causes a panic instead of an error message.
#[test]
fn mutated_configurations_start_or_are_rejected_with_a_message() {
    let short = configuration();
    let long = short.replace(r#""FleetSize":1,"#, MORE_SETTINGS);
    assert_ne!(short, long);
    let originals = [short, long].map(String::into_bytes);
    run_local(async move {
        let (mut accepted, mut rejected) = (0, 0);
        let count = mutation_count(DEFAULT_CONFIGURATIONS);
        Mutator::new(SEED).play_texts(&originals, count, |text| {
            // The test awaits nothing, so no socket is opened to a mutated address.
            match config::parse(text, |_| None) {
                Ok(config) => {
                    accepted += 1;
                    start_up(config);
                }
                Err(fault) => {
                    rejected += 1;
                    assert!(!fault.to_string().is_empty());
                }
            }
        });
        assert!(accepted > 0 && rejected > 0, "{accepted} {rejected}");
    });
}

/// Guards against a successor that starts without learned state: with tenants without an allowance,
/// an infinite sum was written as null.
#[test]
fn a_successor_restores_what_was_learned_of_tenants_without_an_allowance() {
    let config = config::parse(configuration().as_bytes(), |_| None).expect("a configuration");
    let mut predecessor = start_harness(&config);
    predecessor.run_requests();
    let learned = predecessor.balancer().snapshot();
    assert!(
        start_harness(&config).balancer().restore(&learned),
        "{learned}"
    );
}

/// Guards against learned state of another process that makes every selection of an endpoint panic.
#[test]
fn learned_state_with_an_impossible_fraction_is_rejected() {
    let config = config::parse(configuration().as_bytes(), |_| None).expect("a configuration");
    let mut writer = start_harness(&config);
    writer.run_requests();
    let learned = writer.balancer().snapshot();
    let (before, after) = learned.rsplit_once(r#""part":"#).expect("a fraction");
    let (_, after) = after.split_once(',').expect("the next field");
    let impossible = format!(r#"{before}"part":{:e},{after}"#, f64::MAX);
    let mut reader = start_harness(&config);
    assert!(!reader.balancer().restore(&impossible), "it is refused");
    reader.run_requests();
}

/// Guards against a note that causes a panic in the process that reads it, or in later requests.
#[test]
fn mutated_notes_and_learned_states_do_no_harm() {
    let config = config::parse(configuration().as_bytes(), |_| None).expect("a configuration");
    let mut writer = start_harness(&config);
    writer.run_requests();
    let learned = writer.balancer().snapshot();
    let in_flight = writer.balancer().in_flight();
    let note = Note::new(4_711, NOTE_MS, "s", in_flight, learned.clone());
    let originals = [note.to_json().into_bytes(), learned.into_bytes()];
    let (mut restored, mut refused) = (0, 0);
    let count = mutation_count(DEFAULT_NOTES);
    Mutator::new(SEED).play_texts(&originals, count, |text| {
        let text = String::from_utf8_lossy(text);
        let mut harness = start_harness(&config);
        let limit_count = harness.balancer().in_flight().len();
        let note = Note::parse(&text).ok();
        let reader = Reader {
            process_id: 1,
            serves: "s",
            now_ms: NOTE_MS,
        };
        let found = siblings(note.as_slice(), &reader, limit_count);
        let balancer = harness.balancer();
        balancer.set_overlapping_processes(found.count, &found.in_flight);
        let learned = note.as_ref().map_or(&*text, |note| &note.learned_state);
        if balancer.restore(learned) {
            restored += 1;
        } else {
            refused += 1;
        }
        harness.run_requests();
    });
    assert!(restored > 0 && refused > 0, "{restored} {refused}");
}
