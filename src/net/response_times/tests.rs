use super::*;

const ENDPOINT: EndpointId = 1;
const OTHER: EndpointId = 2;
const USUAL: Duration = Duration::from_millis(80);

fn usually_80_ms() -> ResponseTimes {
    let times = ResponseTimes::default();
    for _ in 0..20 {
        times.record(ENDPOINT, USUAL);
    }
    times
}

/// Guards against the reuse of a connection whose last response may answer an earlier request, and
/// against doubts about responses of the usual speed or of unknown endpoints.
#[test]
fn only_a_response_that_comes_too_soon_is_doubted() {
    let times = usually_80_ms();
    assert_eq!(times.doubt(ENDPOINT, Duration::ZERO), Some(USUAL * 2));
    assert_eq!(times.doubt(ENDPOINT, USUAL / 2), None);
    assert_eq!(times.doubt(ENDPOINT, USUAL * 3), None);
    assert_eq!(times.doubt(OTHER, Duration::ZERO), None);
}

/// Guards against connections that a few slow responses keep from quick requests for long.
#[test]
fn a_doubt_is_short_and_follows_the_usual_time() {
    let times = usually_80_ms();
    times.record(ENDPOINT, Duration::from_secs(60));
    assert_eq!(times.doubt(ENDPOINT, Duration::ZERO), Some(MAX_DOUBT));
    for _ in 0..100 {
        times.record(ENDPOINT, Duration::from_millis(1));
    }
    let doubt = times.doubt(ENDPOINT, Duration::ZERO).expect("a doubt");
    assert!(doubt < Duration::from_millis(10), "{doubt:?}");
    times.forget(ENDPOINT);
    assert_eq!(times.doubt(ENDPOINT, Duration::ZERO), None);
}
