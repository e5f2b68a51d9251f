//! Metrics are aggregated by name and tag.

use std::time::Duration;

use snipegate_service::MetricRegistry;

#[test]
fn registry_aggregates_counters_gauges_and_timings() {
    let registry = MetricRegistry::new("router", None).unwrap();
    registry.count("requests");
    registry.count_many("requests", 2);
    registry.count_reason("refused", "budget_exhausted");
    registry.set("open", 7);
    registry.set("open", 5);
    registry.time("bill", Duration::from_millis(3));
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
