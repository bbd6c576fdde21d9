//! Tests of the fits of a line and a power law to measured points, and of the report of their shape.

use dewrun_loadtest::capacity::fit::{fit, Shape};
use dewrun_loadtest::capacity::report::{Axis, Report};

const SIZES: [f64; 6] = [50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0];

/// Returns three runs at each size, which differ from the value there by this fraction of it.
fn runs(scatter: f64, value: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let factors = [1.0 - scatter, 1.0, 1.0 + scatter];
    SIZES
        .iter()
        .flat_map(|x| factors.map(|factor| (*x, value(*x) * factor)))
        .collect()
}

fn shape(points: &[(f64, f64)]) -> Shape {
    fit(points).expect("enough points").shape
}

#[test]
fn a_line_is_fitted_with_its_slope_and_intercept() {
    let fitted = fit(&runs(0.03, |x| 7.0 + 0.02 * x)).expect("enough points");
    assert_eq!(fitted.shape, Shape::Line);
    assert!((fitted.line.slope - 0.02).abs() < 0.001, "{fitted:?}");
    assert!((fitted.line.intercept - 7.0).abs() < 0.2, "{fitted:?}");
    assert!((fitted.scatter - 0.03).abs() < 0.01, "{fitted:?}");
}

#[test]
fn points_that_are_not_on_a_line_are_not_reported_as_a_line() {
    for exponent in [0.5, 1.3, 1.5, 2.0] {
        let fitted = fit(&runs(0.02, |x| 3.0 * x.powf(exponent))).expect("enough points");
        assert_eq!(fitted.shape, Shape::Power, "{exponent}: {fitted:?}");
        let power = fitted.power.expect("all values are above 0");
        assert!(
            (power.exponent - exponent).abs() < 0.01,
            "{exponent}: {fitted:?}"
        );
    }
    // Constant, with a jump at some size.
    assert_eq!(
        shape(&runs(0.02, |x| if x < 700.0 { 10.0 } else { 5_000.0 })),
        Shape::Neither
    );
}

#[test]
fn constant_points_are_flat_and_widely_scattered_points_have_no_trend() {
    assert_eq!(shape(&runs(0.05, |_| 200.0)), Shape::Flat);
    assert_eq!(shape(&runs(0.6, |x| 10.0 + x)), Shape::Scattered);
    assert_eq!(shape(&runs(0.6, |_| 200.0)), Shape::Scattered);
    assert!(fit(&[(1.0, 1.0), (2.0, 2.0)]).is_none());
    // Differences of quantiles can be negative, which leaves a line but no power law.
    let fitted = fit(&runs(0.0, |x| 0.1 * x - 20.0)).expect("enough points");
    assert_eq!((fitted.shape, fitted.power), (Shape::Line, None));
}

#[test]
fn a_report_states_that_points_are_not_on_a_line() {
    let mut axis = Axis::new("axis", "things", "test setting");
    for (x, y) in runs(0.0, |x| x * x) {
        axis.add_run("squares", "us", x, y);
    }
    let axes = vec![
        axis.with_fits(),
        Axis::not_measured("other", "things", "no data"),
    ];
    let report = Report {
        machine: String::new(),
        quick: false,
        max_residual_ratio: 0.1,
        axes,
    };
    let text = report.to_text();
    assert!(
        text.contains("not a line: a power") && text.contains("x^2.00"),
        "{text}"
    );
    assert!(text.contains("not measured: no data"), "{text}");
    assert!(report.to_json().contains("\"shape\": \"power\""));
}
