//! Endpoints that send unsolicited bytes behind their responses, with load: no client gets the response
//! to another request, and requests beside sound endpoints share connections.

use dewrun_loadtest::unsolicited::{Deployment, Framing, Onset, Play, Report, Trailer};
use std::time::Duration;

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");
const DURATION: Duration = Duration::from_secs(2);
/// Sockets of which an installation can't have one for each request of the reuse delay.
const FEW_SOCKETS: usize = 96;
const PLATFORM_RATE_PER_S: f64 = 100.0;
/// Connections per request that a pool may open, of requests that need no connection of their own. The
/// first requests of a play open most of them.
const MAX_CONNECTIONS_PER_REQUEST: f64 = 0.2;

/// Returns a play in which members that have responded well for a while send copies.
fn copies(delay: Duration, has_nagle: bool) -> Play {
    Play {
        deployment: Deployment::Installation,
        members: 3,
        rate_per_s: 430.0,
        trailer: Some(Trailer::Copy),
        delay,
        has_nagle,
        framing: Framing::Length,
        onset: Onset::Later,
        service_time: Duration::from_millis(2),
        max_sockets: None,
        duration: DURATION * 2,
        seed: 204,
    }
}

fn assert_own_responses(play: &Play) -> Report {
    let report = play.run(DEWRUN);
    assert!(
        report.wrong.is_empty(),
        "{play}: {report}: {:?}",
        report.wrong
    );
    assert_eq!(report.lost, 0, "{play}: {report}");
    report
}

fn assert_sound(play: &Play) -> Report {
    let report = assert_own_responses(play);
    assert!(report.is_sound(), "{play}: {report}");
    report
}

fn assert_connections_are_shared(play: &Play) {
    let report = assert_sound(play);
    let allowed = report.calls as f64 * MAX_CONNECTIONS_PER_REQUEST;
    assert!(report.connections as f64 <= allowed, "{play}: {report}");
}

/// Guards against a copy that a member's system holds back until its response is acknowledged, which the
/// next request would do.
#[test]
fn a_copy_that_is_held_back_by_a_members_system_reaches_no_other_client() {
    assert_sound(&copies(Duration::ZERO, true));
}

/// Guards against a copy some milliseconds behind its response from a member that has earned short reuse
/// delays.
#[test]
fn a_copy_some_milliseconds_late_reaches_no_other_client() {
    for delay_ms in [5, 10, 20] {
        assert_sound(&copies(Duration::from_millis(delay_ms), delay_ms == 10));
    }
}

/// Guards against unsolicited bytes of any kind, drawn from seeds, that reach a client of an installation.
#[test]
fn unsolicited_bytes_reach_no_client_of_an_installation() {
    for seed in [1, 3, 11, 103, 108, 209, 211, 303, 305, 312] {
        assert_sound(&Play::draw(seed, Deployment::Installation, DURATION));
    }
}

/// Guards against unsolicited bytes of any kind, drawn from seeds, that reach a client of the platform.
#[test]
fn unsolicited_bytes_reach_no_client_of_the_platform() {
    for seed in [1, 2, 5, 6, 103, 106, 108, 203] {
        let drawn = Play::draw(seed, Deployment::Platform, DURATION);
        assert_own_responses(&Play {
            rate_per_s: PLATFORM_RATE_PER_S,
            ..drawn
        });
    }
}

/// Guards against a protection that costs requests to sound endpoints their connections or their service.
#[test]
fn requests_to_sound_endpoints_share_connections() {
    let installation = copies(Duration::ZERO, true).without_trailers();
    let platform = Play {
        deployment: Deployment::Platform,
        rate_per_s: PLATFORM_RATE_PER_S,
        ..installation.clone()
    };
    for play in [installation, platform] {
        assert_connections_are_shared(&play);
    }
}

/// Guards against requests that wait for, or open a connection each, where the connections of a reuse delay
/// exceed the descriptors.
#[test]
fn requests_share_few_connections_without_waiting_for_the_reuse_delay() {
    let play = Play {
        members: 1,
        rate_per_s: 1_200.0,
        max_sockets: Some(FEW_SOCKETS),
        ..copies(Duration::ZERO, false).without_trailers()
    };
    assert_connections_are_shared(&play);
}
