//! The metrics text and the counting of requests.

use dewrun_admin::*;
use std::time::Duration;

/// Returns the lines of the metrics text, without comments.
fn lines(metrics: &Metrics) -> Vec<String> {
    let text = metrics.to_text(EndpointCounts {
        listed: 7,
        ejected: 2,
        list_age: Duration::from_millis(1_500),
    });
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .map(String::from)
        .collect()
}

#[test]
fn all_time_series_exist_from_the_start() {
    let metrics = Metrics::new(["read", "a \"b\"\\"]);
    let lines = lines(&metrics);
    let causes = IncompleteResponse::ALL.len();
    assert_eq!(lines.len(), 2 * 3 + 9 + causes, "{lines:?}");
    for line in [
        "svc_results_total{service=\"read\",disposition=\"succeeded\"} 0",
        "svc_results_total{service=\"a \\\"b\\\"\\\\\",disposition=\"aborted\"} 0",
        "svc_forwards_total 0",
        "svc_outstanding 0",
        "svc_discovered 7",
        "svc_ejected 2",
        "svc_discovery_list_age 1.5",
        "svc_unsolicited_total 0",
        "svc_incomplete_responses_total{cause=\"cut_off\"} 0",
        "svc_task_restarts_total 0",
        "svc_sighup_applied_total 0",
        "svc_sighup_rejected_total 0",
    ] {
        assert!(lines.iter().any(|l| l == line), "{line} in {lines:?}");
    }
}

#[test]
fn each_request_is_counted_once_when_it_ends() {
    let metrics = Metrics::new(["read", "write"]);
    let mut requests: Vec<RequestMetric> = (0..6).map(|n| metrics.start_request(n % 2)).collect();
    assert!(lines(&metrics).contains(&"svc_outstanding 6".to_string()));
    requests[0].set_disposition(Disposition::Succeeded);
    requests[1].set_disposition(Disposition::Declined);
    assert!(
        lines(&metrics).contains(&"svc_outstanding 6".to_string()),
        "a request with a disposition is still outstanding"
    );
    drop(requests);
    let lines = lines(&metrics);
    for line in [
        "svc_results_total{service=\"read\",disposition=\"succeeded\"} 1",
        "svc_results_total{service=\"read\",disposition=\"aborted\"} 2",
        "svc_results_total{service=\"write\",disposition=\"declined\"} 1",
        "svc_results_total{service=\"write\",disposition=\"aborted\"} 2",
        "svc_outstanding 0",
    ] {
        assert!(lines.iter().any(|l| l == line), "{line} in {lines:?}");
    }
}
