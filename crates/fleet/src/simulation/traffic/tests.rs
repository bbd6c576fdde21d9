//! Tests of the traffic peaks.

use super::*;

#[test]
fn the_peak_is_over_any_ten_seconds() {
    let mut traffic = Traffic::new(2);
    for second in 0..20 {
        traffic.advance(second * SECOND_US);
        traffic.sent(1, 100);
    }
    assert_eq!(
        traffic.peak_send_rate(),
        PeakRate {
            bytes_per_second: 100.0,
            process: 1
        }
    );
    traffic.advance(20 * SECOND_US);
    traffic.received(0, 1_000);
    traffic.advance(29 * SECOND_US);
    traffic.received(0, 1_000);
    assert_eq!(
        traffic.peak_receive_rate().bytes_per_second,
        100.0,
        "the last second is not over"
    );
    traffic.advance(30 * SECOND_US);
    assert_eq!(
        traffic.peak_receive_rate(),
        PeakRate {
            bytes_per_second: 200.0,
            process: 0
        }
    );
    assert_eq!(
        (
            traffic.total_sent(),
            traffic.peak_send_rate().bytes_per_second
        ),
        (2_000, 100.0)
    );
}

#[test]
fn traffic_more_than_ten_seconds_apart_does_not_add_up() {
    let mut traffic = Traffic::new(1);
    traffic.sent(0, 1_000);
    traffic.advance(10 * SECOND_US);
    traffic.sent(0, 1_000);
    traffic.advance(40 * SECOND_US);
    assert_eq!(traffic.peak_send_rate().bytes_per_second, 100.0);
    traffic.reset_peaks();
    traffic.advance(60 * SECOND_US);
    assert_eq!(traffic.peak_send_rate(), PeakRate::default());
}
