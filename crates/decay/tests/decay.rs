//! Sums, parts, means and floors that forget.

use dewrun_decay::*;
use proptest::prelude::*;

#[test]
fn a_sum_halves_in_the_time_that_it_should() {
    let mut sum = DecayingSum::default();
    assert!(sum.is_new());
    (0..4).for_each(|_| sum.add(10.0, 100.0));
    assert!((sum.read(10.0, 100.0) - 4.0).abs() < 1e-9);
    let half = 10.0 + 100.0 * std::f64::consts::LN_2;
    assert!((sum.read(half, 100.0) - 2.0).abs() < 1e-9);
    assert!(!sum.is_new());
    assert_eq!(DecayingSum::of(3.0, 5.0).read(5.0, 1.0), 3.0);
}

/// Guards against learned state that can't be restored, as JSON has no infinity.
#[test]
fn a_sum_stays_finite() {
    let mut sum = DecayingSum::of(f64::INFINITY, 5.0);
    assert_eq!(sum.read(5.0, 1.0), f64::MAX);
    sum.scale(3.0);
    assert_eq!(sum.read(5.0, 1.0), f64::MAX);
}

#[test]
fn a_part_follows_what_comes_and_is_forgotten() {
    let mut part = DecayingFraction::default();
    (0..300).for_each(|n| part.add(1.0, 1e3, 30.0, n % 2 == 0));
    assert!((part.read(1.0, 1e3) - 0.5).abs() < 0.05);
    assert!(part.read(5_001.0, 1e3) < 0.01);
}

/// Guards against a stored fraction that gives an endpoint an infinite weight.
#[test]
fn a_stored_fraction_is_from_0_to_1() {
    for part in [0.0, 0.25, 1.0] {
        let stored = format!(r#"{{"part":{part:?},"at":5.0}}"#);
        let read: DecayingFraction = serde_json::from_str(&stored).expect(&stored);
        assert_eq!(read.read(5.0, 1.0), part);
        assert_eq!(serde_json::to_string(&read).expect("JSON"), stored);
    }
    for part in ["1.5", "-0.5", "1e300"] {
        let stored = format!(r#"{{"part":{part},"at":5.0}}"#);
        let read = serde_json::from_str::<DecayingFraction>(&stored);
        let error = read.expect_err(&stored).to_string();
        assert!(error.contains("is not from 0 to 1"), "{error}");
    }
}

#[test]
fn a_mean_is_that_of_all_while_there_are_few() {
    let mut mean = WindowedMean::default();
    [2.0, 4.0, 9.0]
        .iter()
        .for_each(|value| mean.add(*value, 3.0));
    assert!((mean.value() - 5.0).abs() < 1e-9 && mean.count() == 3.0);
    (0..100).for_each(|_| mean.add(1.0, 3.0));
    assert!(
        (mean.value() - 1.0).abs() < 1e-6,
        "what is long ago is forgotten"
    );
}

#[test]
fn a_floor_follows_downwards_at_once_and_upwards_slowly() {
    let mut floor = RisingMinimum::default();
    assert_eq!(floor.follow(1_000.0, 0.5, 0.02), 0.5);
    assert_eq!(floor.follow(1_000.0, 0.3, 0.02), 0.3);
    assert!((floor.follow(2_000.0, 0.9, 0.02) - 0.306).abs() < 1e-9);
    assert!(
        (floor.follow(1e9, 0.9, 0.02) - 0.306 * 1.2).abs() < 1e-9,
        "a long pause is no reason to forget"
    );
}

proptest! {
    // The simple model: every addition is kept with its time and summed up anew.
    #[test]
    fn a_sum_is_that_of_all_that_was_added(gaps in prop::collection::vec(0.0f64..500.0, 1..40), tau in 1.0f64..1e4) {
        let (mut sum, mut now, mut times) = (DecayingSum::default(), 1.0, Vec::new());
        for gap in gaps {
            now += gap;
            sum.add(now, tau);
            times.push(now);
        }
        let model: f64 = times.iter().map(|at| (-(now - at) / tau).exp()).sum();
        prop_assert!((sum.read(now, tau) - model).abs() < 1e-6);
        prop_assert!(sum.read(now - 1e3, tau) <= sum.read(now, tau) + 1e-9, "time that runs back adds nothing");
    }

    #[test]
    fn a_part_stays_one(kinds in prop::collection::vec(any::<bool>(), 1..200), over in 1.0f64..100.0) {
        let mut part = DecayingFraction::default();
        for kind in kinds {
            part.add(0.0, 1.0, over, kind);
            prop_assert!((0.0..=1.0).contains(&part.read(0.0, 1.0)));
        }
    }

    #[test]
    fn a_mean_lies_among_its_values(values in prop::collection::vec(0.1f64..1e6, 1..100), weight in 0.0f64..1.0) {
        let mut spread = MeanAndDeviation::default();
        values.iter().for_each(|value| spread.add(*value, weight));
        let (least, most) = values.iter().fold((f64::MAX, 0.0f64), |(a, b), v| (a.min(*v), b.max(*v)));
        prop_assert!(spread.mean >= least - 1e-6 && spread.mean <= most + 1e-6 && spread.dev <= most + 1e-6);
    }

    #[test]
    fn what_is_written_is_read_back(n in 0u32..50, at in 0.0f64..1e12) {
        let mut sum = DecayingSum::default();
        (0..n).for_each(|i| sum.add(at + f64::from(i), 100.0));
        let text = serde_json::to_string(&sum).expect("it can be written");
        prop_assert_eq!(serde_json::from_str::<DecayingSum>(&text).expect("and read"), sum);
    }
}
