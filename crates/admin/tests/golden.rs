//! The metrics text as an earlier build wrote it: operators' dashboards read it.

use dewrun_admin::{Disposition, Figures, Members};
use dewrun_test_support::assert_golden;
use std::path::Path;

#[test]
fn the_metrics_text_stays_as_it_is() {
    let figures = Figures::new(["read", "write", "a \"b\"\\"]);
    let mut ended: Vec<_> = (0..5).map(|n| figures.taken(n % 2)).collect();
    ended[0].ends(Disposition::Succeeded);
    ended[1].ends(Disposition::Declined);
    ended.truncate(4);
    let open = [figures.taken(2), figures.taken(0)];
    figures.forwards().inc_by(7);
    figures.reloaded(true);
    figures.reloaded(true);
    figures.reloaded(false);
    drop(ended);
    let text = figures.text(Members {
        listed: 9,
        avoided: 2,
    });
    drop(open);
    // The order of labelled lines is not told by the format.
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/metrics.txt");
    assert_golden(&file, &(lines.join("\n") + "\n"));
}
