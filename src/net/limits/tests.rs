use super::*;

#[test]
fn reservations_stay_within_the_limit_and_are_released_on_drop() {
    let limit = ResourceLimit::new(10);
    let first = limit.try_reserve(7).expect("there is room");
    assert!(limit.try_reserve(4).is_none() && limit.try_reserve(usize::MAX).is_none());
    let _second = limit.try_reserve(3).expect("there is room");
    drop(first);
    assert!(limit.try_reserve(7).is_some());
}
