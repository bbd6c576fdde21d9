use super::*;

#[test]
fn a_share_gives_no_more_than_it_has_and_takes_back_what_is_dropped() {
    let share = ResourceLimit::new(10);
    let first = share.try_reserve(7).expect("there is room");
    assert!(share.try_reserve(4).is_none() && share.try_reserve(usize::MAX).is_none());
    let _second = share.try_reserve(3).expect("there is room");
    drop(first);
    assert!(share.try_reserve(7).is_some());
}
