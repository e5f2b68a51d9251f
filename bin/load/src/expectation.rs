//! Expected results of a trace.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::run_report::RunReport;

/// Inclusive range of counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CountRange {
    /// Lower bound.
    #[serde(default)]
    pub least: u64,
    /// Upper bound; unlimited if absent.
    #[serde(default = "no_bound")]
    pub most: u64,
}

fn no_bound() -> u64 {
    u64::MAX
}

impl CountRange {
    fn contains(&self, count: u64) -> bool {
        (self.least..=self.most).contains(&count)
    }
}

/// Expected results of a trace. A result that is not listed must not occur.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceExpectation {
    /// Configuration that the deployment needs before the run. Documentation only; not
    /// checked.
    #[serde(default)]
    pub needs: serde_json::Value,
    /// Number of records in the trace.
    pub requests: u64,
    /// Expected results by workspace.
    pub by_workspace: IndexMap<String, IndexMap<String, CountRange>>,
    /// Expected results of plain-service calls by service.
    #[serde(default)]
    pub by_service: IndexMap<String, IndexMap<String, CountRange>>,
}

impl TraceExpectation {
    /// Returns a message for every mismatch between the report and the expected results.
    pub fn differences(&self, report: &RunReport) -> Vec<String> {
        let mut differences = Vec::new();
        if report.requests != self.requests {
            differences.push(format!(
                "requests: {} sent, {} stated",
                report.requests, self.requests
            ));
        }
        if report.foreign_answers > 0 {
            differences.push(format!(
                "{} answers held text of another request",
                report.foreign_answers
            ));
        }
        compare_counts(&self.by_workspace, &report.by_workspace, &mut differences);
        compare_counts(&self.by_service, &report.by_service, &mut differences);
        differences
    }
}

fn compare_counts(
    expected: &IndexMap<String, IndexMap<String, CountRange>>,
    actual: &IndexMap<String, IndexMap<String, u64>>,
    differences: &mut Vec<String>,
) {
    for (group, ranges) in expected {
        for (result, range) in ranges {
            let count = actual.get(group).and_then(|counts| counts.get(result));
            let count = count.copied().unwrap_or(0);
            if !range.contains(count) {
                differences.push(format!(
                    "{group}: {count} {result}, stated {} to {}",
                    range.least, range.most
                ));
            }
        }
    }
    for (group, counts) in actual {
        for (result, count) in counts {
            let is_expected = expected
                .get(group)
                .is_some_and(|ranges| ranges.contains_key(result));
            if !is_expected {
                differences.push(format!("{group}: {count} {result}, none stated"));
            }
        }
    }
}
