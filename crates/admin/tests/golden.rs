//! Compares the metrics text with a golden file, because operators' dashboards depend on it.

use dewrun_admin::{Disposition, EndpointCounts, Metrics};
use dewrun_test_support::assert_golden;
use std::path::Path;
use std::time::Duration;

#[test]
fn the_metrics_text_matches_the_golden_file() {
    let metrics = Metrics::new(["read", "write", "a \"b\"\\"]);
    let mut ended: Vec<_> = (0..5).map(|n| metrics.start_request(n % 2)).collect();
    ended[0].set_disposition(Disposition::Succeeded);
    ended[1].set_disposition(Disposition::Declined);
    ended.truncate(4);
    let in_progress = [metrics.start_request(2), metrics.start_request(0)];
    metrics.forwards().inc_by(7);
    metrics.count_reload(true);
    metrics.count_reload(true);
    metrics.count_reload(false);
    drop(ended);
    let text = metrics.to_text(EndpointCounts {
        listed: 9,
        ejected: 2,
        list_age: Duration::from_millis(1_500),
    });
    drop(in_progress);
    // The format does not define the order of lines that differ only in their labels.
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/metrics.txt");
    assert_golden(&file, &(lines.join("\n") + "\n"));
}
