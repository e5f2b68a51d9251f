//! What all VMs observed of the speed of upstreams.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use super::return_share::ReturnShare;
use super::speed_sums::SpeedSums;

/// Time that the prior is worth, in ms: some requests of a long prompt. It keeps few
/// observations from moving the slowness much.
const PRIOR_MS: f64 = 400.0;

/// Slowness above which an upstream is faulty. The slowest sound ones have about twice the usual
/// time.
const FAULTY_SLOWNESS: f64 = 3.0;

/// Share of failures above which an upstream is faulty.
const FAULTY_FAILED_SHARE: f64 = 0.5;

/// Slowness up to which answers of an upstream that returns are good.
const GOOD_SLOWNESS: f64 = 2.0;

/// Largest observed time in relation to the expected one, so that one observation does not
/// decide.
const MAX_RATIO: f64 = 20.0;

/// How long another VM's report is used.
const REPORT_TTL: Duration = Duration::from_secs(24);

/// How slow an upstream is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamSlowness {
    /// Observed time in relation to the expected one.
    pub factor: f64,
    /// Age of the latest observation that was taken into account.
    pub age: Duration,
}

#[derive(Debug, Default)]
struct RunSpeed {
    started_ms: Option<u64>,
    own: Option<SpeedSums>,
    has_news: bool,
    peers: IndexMap<u64, SpeedSums>,
    share: ReturnShare,
}

impl RunSpeed {
    fn sums(&self, now: Instant) -> Option<SpeedSums> {
        let fresh = |sums: &&SpeedSums| now.saturating_duration_since(sums.at) < REPORT_TTL;
        let all = self.own.iter().chain(self.peers.values()).filter(fresh);
        all.fold(None, |total: Option<SpeedSums>, sums| {
            let sums = sums.decayed(now);
            Some(total.map_or(sums, |total| SpeedSums {
                expected_ms: total.expected_ms + sums.expected_ms,
                observed_ms: total.observed_ms + sums.observed_ms,
                at: total.at.max(sums.at),
            }))
        })
    }

    fn slowness(&self, now: Instant) -> Option<UpstreamSlowness> {
        let sums = self.sums(now)?;
        Some(UpstreamSlowness {
            factor: (PRIOR_MS + sums.observed_ms) / (PRIOR_MS + sums.expected_ms),
            age: now.saturating_duration_since(sums.at),
        })
    }

    /// Updates the exclusion after a change. What was seen before it says nothing of how the
    /// upstream returns.
    fn judge(&mut self, now: Instant) -> Option<ReturnShare> {
        let factor = self.slowness(now)?.factor;
        let before = self.share;
        if factor > FAULTY_SLOWNESS {
            self.share = self.share.after_fault(now);
            self.forget();
        } else if factor < GOOD_SLOWNESS {
            self.share = self.share.after_good_answer(now);
        }
        (self.share != before).then_some(self.share)
    }

    fn forget(&mut self) {
        self.own = None;
        self.has_news = false;
        self.peers.clear();
    }
}

/// Speed of the upstreams by hash of their ids.
#[derive(Debug, Default)]
pub struct SpeedTable {
    runs: IndexMap<u64, RunSpeed>,
}

impl SpeedTable {
    /// Begins a run of an upstream; what was observed of an earlier one is dropped.
    pub fn begin_run(&mut self, upstream: u64, started_ms: Option<u64>) {
        let run = self.runs.entry(upstream).or_default();
        if run.started_ms != started_ms {
            *run = RunSpeed {
                started_ms,
                ..RunSpeed::default()
            };
        }
    }

    /// Removes an upstream.
    pub fn forget(&mut self, upstream: u64) {
        self.runs.swap_remove(&upstream);
    }

    /// Adds an observation of this VM. Returns the new state if the upstream is now left out or
    /// returns.
    pub fn record(
        &mut self,
        upstream: u64,
        expected_ms: f64,
        observed_ms: f64,
        now: Instant,
    ) -> Option<ReturnShare> {
        let run = self.runs.entry(upstream).or_default();
        if run.share.is_excluded(now) {
            return None;
        }
        let observed_ms = observed_ms.min(expected_ms * MAX_RATIO);
        let own = run.own.get_or_insert(SpeedSums::new(now));
        own.record(expected_ms, observed_ms, now);
        run.has_news = true;
        run.judge(now)
    }

    /// Stores what another VM observed. Returns the new state if the upstream is now left out or
    /// returns.
    pub fn record_peer(
        &mut self,
        upstream: u64,
        peer: u64,
        sums: SpeedSums,
        now: Instant,
    ) -> Option<ReturnShare> {
        let run = self.runs.entry(upstream).or_default();
        if run.share.is_excluded(now) {
            return None;
        }
        run.peers.insert(peer, sums);
        run.judge(now)
    }

    /// Takes a complete answer into account: an upstream that was left out returns.
    pub fn record_good_answer(&mut self, upstream: u64, now: Instant) {
        if let Some(run) = self.runs.get_mut(&upstream) {
            run.share = run.share.after_good_answer(now);
        }
    }

    /// Takes into account which part of its recent requests failed at an upstream, over all VMs'
    /// reports. Returns the new state if the upstream is now left out.
    pub fn record_failures(
        &mut self,
        upstream: u64,
        failed_share: f64,
        now: Instant,
    ) -> Option<ReturnShare> {
        if failed_share <= FAULTY_FAILED_SHARE {
            return None;
        }
        let run = self.runs.entry(upstream).or_default();
        let before = run.share;
        run.share = before.after_fault(now);
        let is_new = run.share != before;
        if is_new {
            run.forget();
        }
        is_new.then_some(run.share)
    }

    /// Returns how slow an upstream is; `None` if nothing is known.
    pub fn slowness(&self, upstream: u64, now: Instant) -> Option<UpstreamSlowness> {
        self.runs.get(&upstream)?.slowness(now)
    }

    /// Returns whether some upstream is left out or returns.
    pub fn limits_any(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.share != ReturnShare::Full)
    }

    /// Returns whether an upstream is left out or returns.
    pub fn return_share(&self, upstream: u64) -> ReturnShare {
        let run = self.runs.get(&upstream);
        run.map_or(ReturnShare::Full, |run| run.share)
    }

    /// Takes what this VM observed since the last call, by upstream.
    pub fn take_news(&mut self) -> Vec<(u64, SpeedSums)> {
        let news = self.runs.iter_mut().filter_map(|(upstream, run)| {
            let is_new = std::mem::take(&mut run.has_news);
            Some((*upstream, run.own.filter(|_| is_new)?))
        });
        news.collect()
    }
}
