//! Which answers may be copies.

use super::RecentAnswers;
use hyper::StatusCode;
use std::time::{Duration, Instant};

const OK: StatusCode = StatusCode::OK;

#[test]
fn the_same_answer_shortly_after_may_be_a_copy() {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let mut answers = RecentAnswers::default();
    assert!(!answers.record(at(0), OK, b"a"));
    assert!(!answers.record(at(10), OK, b"b"));
    assert!(answers.record(at(22), OK, b"a"), "behind another answer");
    assert!(!answers.record(at(30), StatusCode::CREATED, b"a"));
    assert!(!answers.record(at(40), OK, b"aa"));
    assert!(!answers.record(at(130), OK, b"a"), "too late for a copy");
    for number in 0..100u8 {
        assert!(!answers.record(at(131), OK, &[number, 0]));
    }
    assert!(answers.answers.len() <= super::MAX_ANSWERS);
}
