//! Text comparison of two runs.

use std::fmt;

use crate::run_report::LatencySummary;
use crate::run_report::RunReport;

/// Shows the results of two runs side by side.
#[derive(Clone, Copy, Debug)]
pub struct RunComparison<'a> {
    /// Baseline run.
    pub before: &'a RunReport,
    /// Run compared to the baseline.
    pub after: &'a RunReport,
}

impl RunComparison<'_> {
    fn write_row(&self, f: &mut fmt::Formatter<'_>, name: &str, old: f64, new: f64) -> fmt::Result {
        let change = match old {
            0.0 => String::new(),
            old => format!("{:+.1}%", (new / old - 1.0) * 100.0),
        };
        writeln!(f, "{name:28} {old:12.3} {new:12.3} {change:>9}")
    }

    fn write_latencies(
        &self,
        f: &mut fmt::Formatter<'_>,
        name: &str,
        summary: impl Fn(&RunReport) -> &LatencySummary,
    ) -> fmt::Result {
        let (old, new) = (summary(self.before), summary(self.after));
        self.write_row(f, &format!("{name} p50 ms"), old.p50, new.p50)?;
        self.write_row(f, &format!("{name} p95 ms"), old.p95, new.p95)?;
        self.write_row(f, &format!("{name} p99 ms"), old.p99, new.p99)
    }
}

impl fmt::Display for RunComparison<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (old, new) = (self.before, self.after);
        writeln!(f, "{:28} {:>12} {:>12}", "", old.label, new.label)?;
        self.write_row(f, "goodput /s", old.goodput, new.goodput)?;
        self.write_latencies(f, "first token", |report| &report.first_token)?;
        self.write_latencies(f, "between tokens", |report| &report.between_tokens)?;
        self.write_latencies(f, "total", |report| &report.total)?;
        self.write_row(f, "cache hits", old.cache_hit_share, new.cache_hit_share)?;
        let mut names: Vec<&String> = old.results.keys().chain(new.results.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            let count = |report: &RunReport| report.results.get(name).copied().unwrap_or(0) as f64;
            self.write_row(f, name, count(old), count(new))?;
        }
        Ok(())
    }
}
