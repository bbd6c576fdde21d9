use super::*;

const MIB: u64 = 1 << 20;

/// Returns the log of a body of which a part arrives in each second.
fn log(started: Instant, mib_per_s: u64, seconds: u64) -> ArrivalLog {
    let mut log = ArrivalLog::default();
    for second in 0..=seconds {
        let at = started + Duration::from_secs(second);
        log.record(at, second * mib_per_s * MIB);
    }
    log
}

#[test]
fn a_body_may_be_written_once_the_rest_fits_into_a_send_buffer() {
    let started = Instant::now();
    let log = log(started, 1, 10);
    let since = |mib| log.may_be_written_since(mib * MIB);
    assert_eq!(since(14), Some(started + Duration::from_secs(10)));
    assert_eq!(since(12), Some(started + Duration::from_secs(8)));
    assert_eq!(since(15), None, "a MiB cannot have been written yet");
}

/// Guards against a long upload that is failed as overdue although its client is writing: what
/// arrives beyond a send buffer was written after the time from which it would count.
#[test]
fn arrivals_beyond_a_send_buffer_show_that_a_client_was_writing() {
    let started = Instant::now();
    for (mib_per_s, since_s) in [(1, 56), (2, 58), (4, 59)] {
        let log = log(started, mib_per_s, 60);
        assert_eq!(
            log.may_be_written_since(60 * mib_per_s * MIB),
            Some(started + Duration::from_secs(since_s)),
            "{mib_per_s} MiB a second"
        );
    }
}

#[test]
fn the_samples_of_a_long_body_are_bounded() {
    let mut log = ArrivalLog::default();
    let now = Instant::now();
    for arrived in (0..64 * MIB).step_by(1_000) {
        log.record(now, arrived);
    }
    let max = MAX_SEND_BUFFER_BYTES / MIN_SAMPLE_DISTANCE_BYTES + 1;
    assert!(log.samples.len() as u64 <= max, "{}", log.samples.len());
}
