//! Outcomes that were stated for a trace before it is run.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::run_report::RunReport;

/// A range of counts, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CountRange {
    /// The least.
    #[serde(default)]
    pub least: u64,
    /// The most; without it there is no bound.
    #[serde(default = "no_bound")]
    pub most: u64,
}

fn no_bound() -> u64 {
    u64::MAX
}

impl CountRange {
    fn holds(&self, count: u64) -> bool {
        (self.least..=self.most).contains(&count)
    }
}

/// Outcomes stated for a trace. A result that is not named must not occur.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceExpectation {
    /// What the deployment has to hold before the run; for the reader.
    #[serde(default)]
    pub needs: serde_json::Value,
    /// Records in the trace.
    pub requests: u64,
    /// Results by workspace.
    pub by_workspace: IndexMap<String, IndexMap<String, CountRange>>,
    /// Results of plain services' calls by service.
    #[serde(default)]
    pub by_service: IndexMap<String, IndexMap<String, CountRange>>,
}

impl TraceExpectation {
    /// Returns every point in which a run is not as stated.
    pub fn differences(&self, report: &RunReport) -> Vec<String> {
        let mut found = Vec::new();
        if report.requests != self.requests {
            found.push(format!(
                "requests: {} sent, {} stated",
                report.requests, self.requests
            ));
        }
        if report.foreign_answers > 0 {
            found.push(format!(
                "{} answers held text of another request",
                report.foreign_answers
            ));
        }
        compare(&self.by_workspace, &report.by_workspace, &mut found);
        compare(&self.by_service, &report.by_service, &mut found);
        found
    }
}

fn compare(
    stated: &IndexMap<String, IndexMap<String, CountRange>>,
    seen: &IndexMap<String, IndexMap<String, u64>>,
    found: &mut Vec<String>,
) {
    for (group, ranges) in stated {
        for (result, range) in ranges {
            let count = seen.get(group).and_then(|counts| counts.get(result));
            let count = count.copied().unwrap_or(0);
            if !range.holds(count) {
                found.push(format!(
                    "{group}: {count} {result}, stated {} to {}",
                    range.least, range.most
                ));
            }
        }
    }
    for (group, counts) in seen {
        for (result, count) in counts {
            let named = stated.get(group).is_some_and(|r| r.contains_key(result));
            if !named {
                found.push(format!("{group}: {count} {result}, none stated"));
            }
        }
    }
}
