//! What is fitted to figures: a straight line is told as one, and nothing else is.

use dewrun_loadtest::capacity::fit::{fit, Shape};
use dewrun_loadtest::capacity::report::{Axis, Report};

const SIZES: [f64; 6] = [50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0];

/// Three runs at each size, apart by this part of their mean.
fn runs(scatter: f64, of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let parts = [1.0 - scatter, 1.0, 1.0 + scatter];
    SIZES
        .iter()
        .flat_map(|x| parts.map(|part| (*x, of(*x) * part)))
        .collect()
}

fn shape(points: &[(f64, f64)]) -> Shape {
    fit(points).expect("enough points").shape
}

#[test]
fn a_straight_line_is_found_with_its_slope() {
    let fitted = fit(&runs(0.03, |x| 7.0 + 0.02 * x)).expect("enough points");
    assert_eq!(fitted.shape, Shape::Line);
    assert!((fitted.line.slope - 0.02).abs() < 0.001, "{fitted:?}");
    assert!((fitted.line.intercept - 7.0).abs() < 0.2, "{fitted:?}");
    assert!((fitted.scatter - 0.03).abs() < 0.01, "{fitted:?}");
}

#[test]
fn what_is_no_line_is_not_told_as_one() {
    for exponent in [0.5, 1.3, 1.5, 2.0] {
        let fitted = fit(&runs(0.02, |x| 3.0 * x.powf(exponent))).expect("enough points");
        assert_eq!(fitted.shape, Shape::Power, "{exponent}: {fitted:?}");
        let power = fitted.power.expect("all above 0");
        assert!(
            (power.exponent - exponent).abs() < 0.01,
            "{exponent}: {fitted:?}"
        );
    }
    // It rests until it breaks.
    assert_eq!(
        shape(&runs(0.02, |x| if x < 700.0 { 10.0 } else { 5_000.0 })),
        Shape::Neither
    );
}

#[test]
fn what_does_not_grow_is_flat_and_of_what_scatters_nothing_is_said() {
    assert_eq!(shape(&runs(0.05, |_| 200.0)), Shape::Flat);
    assert_eq!(shape(&runs(0.6, |x| 10.0 + x)), Shape::Scattered);
    assert_eq!(shape(&runs(0.6, |_| 200.0)), Shape::Scattered);
    assert!(fit(&[(1.0, 1.0), (2.0, 2.0)]).is_none());
    // Differences of quantiles may be below 0: a line is fitted all the same, and no power.
    let fitted = fit(&runs(0.0, |x| 0.1 * x - 20.0)).expect("enough points");
    assert_eq!((fitted.shape, fitted.power), (Shape::Line, None));
}

#[test]
fn a_report_says_what_is_not_a_line() {
    let mut axis = Axis::new("axis", "things", "as played");
    for (x, y) in runs(0.0, |x| x * x) {
        axis.add("squares", "us", x, y);
    }
    let axes = vec![
        axis.fitted(),
        Axis::not_measured("other", "things", "nothing there"),
    ];
    let report = Report {
        machine: String::new(),
        quick: false,
        residual_most: 0.1,
        axes,
    };
    let text = report.text();
    assert!(
        text.contains("not a line: a power") && text.contains("x^2.00"),
        "{text}"
    );
    assert!(text.contains("not measured: nothing there"), "{text}");
    assert!(report.json().contains("\"shape\": \"power\""));
}
