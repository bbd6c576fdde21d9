//! Decay of sums, fractions, means and minima.

use dewrun_decay::*;
use proptest::prelude::*;

#[test]
fn a_sum_halves_within_its_half_life() {
    let mut sum = DecayingSum::default();
    assert!(sum.is_empty());
    (0..4).for_each(|_| sum.add(10.0, 100.0));
    assert!((sum.read(10.0, 100.0) - 4.0).abs() < 1e-9);
    let half = 10.0 + 100.0 * std::f64::consts::LN_2;
    assert!((sum.read(half, 100.0) - 2.0).abs() < 1e-9);
    assert!(!sum.is_empty());
    assert_eq!(DecayingSum::with_value(3.0, 5.0).read(5.0, 1.0), 3.0);
}

/// Guards against learned state that can't be restored, as JSON has no infinity.
#[test]
fn a_sum_stays_finite() {
    let mut sum = DecayingSum::with_value(f64::INFINITY, 5.0);
    assert_eq!(sum.read(5.0, 1.0), f64::MAX);
    sum.scale(3.0);
    assert_eq!(sum.read(5.0, 1.0), f64::MAX);
}

#[test]
fn a_fraction_follows_events_and_decays_without_them() {
    let mut fraction = DecayingFraction::default();
    (0..300).for_each(|n| fraction.add(1.0, 1e3, 30.0, n % 2 == 0));
    assert!((fraction.read(1.0, 1e3) - 0.5).abs() < 0.05);
    assert!(fraction.read(5_001.0, 1e3) < 0.01);
}

/// Guards against a stored fraction that gives an endpoint an infinite weight.
#[test]
fn a_stored_fraction_is_from_0_to_1() {
    for fraction in [0.0, 0.25, 1.0] {
        let stored = format!(r#"{{"part":{fraction:?},"at":5.0}}"#);
        let read: DecayingFraction = serde_json::from_str(&stored).expect(&stored);
        assert_eq!(read.read(5.0, 1.0), fraction);
        assert_eq!(serde_json::to_string(&read).expect("JSON"), stored);
    }
    for fraction in ["1.5", "-0.5", "1e300"] {
        let stored = format!(r#"{{"part":{fraction},"at":5.0}}"#);
        let read = serde_json::from_str::<DecayingFraction>(&stored);
        let error = read.expect_err(&stored).to_string();
        assert!(error.contains("is not from 0 to 1"), "{error}");
    }
}

#[test]
fn a_windowed_mean_starts_as_the_arithmetic_mean() {
    let mut mean = WindowedMean::default();
    [2.0, 4.0, 9.0]
        .iter()
        .for_each(|value| mean.add(*value, 3.0));
    assert!((mean.value() - 5.0).abs() < 1e-9 && mean.count() == 3.0);
    (0..100).for_each(|_| mean.add(1.0, 3.0));
    assert!(
        (mean.value() - 1.0).abs() < 1e-6,
        "old values have no weight"
    );
}

#[test]
fn a_rising_minimum_falls_at_once_and_rises_slowly() {
    let mut minimum = RisingMinimum::default();
    assert_eq!(minimum.update(1_000.0, 0.5, 0.02), 0.5);
    assert_eq!(minimum.update(1_000.0, 0.3, 0.02), 0.3);
    assert!((minimum.update(2_000.0, 0.9, 0.02) - 0.306).abs() < 1e-9);
    assert!(
        (minimum.update(1e9, 0.9, 0.02) - 0.306 * 1.2).abs() < 1e-9,
        "a long pause counts as at most 10 s"
    );
}

proptest! {
    // The reference model keeps every addition with its time and sums them anew.
    #[test]
    fn a_sum_equals_the_sum_of_its_decayed_additions(gaps in prop::collection::vec(0.0f64..500.0, 1..40), tau in 1.0f64..1e4) {
        let (mut sum, mut now, mut times) = (DecayingSum::default(), 1.0, Vec::new());
        for gap in gaps {
            now += gap;
            sum.add(now, tau);
            times.push(now);
        }
        let model: f64 = times.iter().map(|at| (-(now - at) / tau).exp()).sum();
        prop_assert!((sum.read(now, tau) - model).abs() < 1e-6);
        prop_assert!(sum.read(now - 1e3, tau) <= sum.read(now, tau) + 1e-9, "a clock that runs backwards adds nothing");
    }

    #[test]
    fn a_fraction_stays_from_0_to_1(kinds in prop::collection::vec(any::<bool>(), 1..200), samples in 1.0f64..100.0) {
        let mut fraction = DecayingFraction::default();
        for kind in kinds {
            fraction.add(0.0, 1.0, samples, kind);
            prop_assert!((0.0..=1.0).contains(&fraction.read(0.0, 1.0)));
        }
    }

    #[test]
    fn a_mean_lies_within_the_range_of_its_values(values in prop::collection::vec(0.1f64..1e6, 1..100), weight in 0.0f64..1.0) {
        let mut average = MeanAndDeviation::default();
        values.iter().for_each(|value| average.add(*value, weight));
        let (min, max) = values.iter().fold((f64::MAX, 0.0f64), |(a, b), v| (a.min(*v), b.max(*v)));
        prop_assert!(average.mean >= min - 1e-6 && average.mean <= max + 1e-6 && average.dev <= max + 1e-6);
    }

    #[test]
    fn a_sum_survives_serialization(n in 0u32..50, at in 0.0f64..1e12) {
        let mut sum = DecayingSum::default();
        (0..n).for_each(|i| sum.add(at + f64::from(i), 100.0));
        let text = serde_json::to_string(&sum).expect("it can be serialized");
        prop_assert_eq!(serde_json::from_str::<DecayingSum>(&text).expect("it can be deserialized"), sum);
    }
}
