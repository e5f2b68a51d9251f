//! Two runs side by side.

use std::fmt;

use crate::run_report::RunReport;
use crate::run_report::TimeSummary;

/// Two runs side by side.
#[derive(Clone, Copy, Debug)]
pub struct RunComparison<'a> {
    /// The run that is compared with.
    pub before: &'a RunReport,
    /// The run that is compared.
    pub after: &'a RunReport,
}

impl RunComparison<'_> {
    fn line(&self, f: &mut fmt::Formatter<'_>, name: &str, old: f64, new: f64) -> fmt::Result {
        let change = match old {
            0.0 => String::new(),
            old => format!("{:+.1}%", (new / old - 1.0) * 100.0),
        };
        writeln!(f, "{name:28} {old:12.3} {new:12.3} {change:>9}")
    }

    fn times(
        &self,
        f: &mut fmt::Formatter<'_>,
        name: &str,
        times: impl Fn(&RunReport) -> &TimeSummary,
    ) -> fmt::Result {
        let (old, new) = (times(self.before), times(self.after));
        self.line(f, &format!("{name} p50 ms"), old.p50, new.p50)?;
        self.line(f, &format!("{name} p95 ms"), old.p95, new.p95)?;
        self.line(f, &format!("{name} p99 ms"), old.p99, new.p99)
    }
}

impl fmt::Display for RunComparison<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (old, new) = (self.before, self.after);
        writeln!(f, "{:28} {:>12} {:>12}", "", old.label, new.label)?;
        self.line(f, "goodput /s", old.goodput, new.goodput)?;
        self.times(f, "first token", |report| &report.first_token)?;
        self.times(f, "between tokens", |report| &report.between_tokens)?;
        self.times(f, "total", |report| &report.total)?;
        self.line(f, "cache hits", old.cache_hit_share, new.cache_hit_share)?;
        let mut names: Vec<&String> = old.results.keys().chain(new.results.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            let count = |report: &RunReport| report.results.get(name).copied().unwrap_or(0) as f64;
            self.line(f, name, count(old), count(new))?;
        }
        Ok(())
    }
}
