use super::*;

#[test]
fn a_share_gives_no_more_than_it_has_and_takes_back_what_is_dropped() {
    let share = Share::new(10);
    let first = share.take(7).expect("there is room");
    assert!(share.take(4).is_none() && share.take(usize::MAX).is_none());
    let _second = share.take(3).expect("there is room");
    drop(first);
    assert!(share.take(7).is_some());
}
