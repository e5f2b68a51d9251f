//! Metrics are aggregated by name and tag.

use std::time::Duration;

use snipegate_service::MetricRegistry;

#[test]
fn registry_aggregates_counters_gauges_and_timings() {
    let registry = MetricRegistry::new("router", None).unwrap();
    registry.count("requests");
    registry.add("requests", 2);
    registry.count_tagged("refused", "budget_exhausted");
    registry.set_gauge("open", 7);
    registry.set_gauge("open", 5);
    registry.record_timing("bill", Duration::from_millis(3));
    let text = registry.render();
    for line in [
        "router.requests 3\n",
        "router.refused{budget_exhausted} 1\n",
        "router.open 5\n",
        "router.bill.count 1\n",
        "router.bill.sum_us 3000\n",
    ] {
        assert!(text.contains(line), "{line:?} is missing from:\n{text}");
    }
}
