//! The exclusion of a faulty upstream, and its slow return.

use std::time::Duration;
use std::time::Instant;

/// How long an upstream is left out after a fault. It doubles with each further one.
const MIN_EXCLUSION: Duration = Duration::from_secs(2);

/// Largest number of such doublings.
const MAX_DOUBLINGS: u32 = 3;

/// Share of the usual chance to be chosen with which an upstream returns. Until the VMs see each
/// other's requests there, this admits about one of a few hundred requests a second.
const FIRST_SHARE: f64 = 0.03;

/// Time in which the share of an upstream that answers well doubles.
const DOUBLING_TIME: Duration = Duration::from_secs(1);

/// How long an upstream has to answer well for earlier faults to be forgotten.
const FORGIVENESS_TIME: Duration = Duration::from_secs(20);

/// Whether an upstream is left out, returns, or is used as usual.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReturnShare {
    /// It is used as usual.
    #[default]
    Full,
    /// It is left out until a time, after this number of recent faults.
    Excluded {
        /// When it gets requests again, one at a time.
        until: Instant,
        /// Number of faults.
        faults: u32,
    },
    /// It answered well after an exclusion, first at a time.
    Returning {
        /// Time of the first good answer.
        since: Instant,
        /// Number of faults.
        faults: u32,
    },
}

impl ReturnShare {
    /// Returns the state after a fault was seen.
    pub fn after_fault(self, now: Instant) -> Self {
        let faults = match self {
            ReturnShare::Excluded { until, .. } if now < until => return self,
            ReturnShare::Full => 0,
            ReturnShare::Excluded { faults, .. } => faults,
            ReturnShare::Returning { faults, .. } => faults,
        };
        let until = now + MIN_EXCLUSION * 2_u32.pow(faults.min(MAX_DOUBLINGS));
        ReturnShare::Excluded {
            until,
            faults: faults + 1,
        }
    }

    /// Returns the state after a good answer.
    pub fn after_good_answer(self, now: Instant) -> Self {
        match self {
            ReturnShare::Excluded { until, faults } if now >= until => {
                ReturnShare::Returning { since: now, faults }
            }
            ReturnShare::Returning { since, .. }
                if now.saturating_duration_since(since) >= FORGIVENESS_TIME =>
            {
                ReturnShare::Full
            }
            _ => self,
        }
    }

    /// Returns whether the upstream is left out, so that nothing seen of it is new.
    pub fn is_excluded(self, now: Instant) -> bool {
        matches!(self, ReturnShare::Excluded { until, .. } if now < until)
    }

    /// Returns whether a request may go to the upstream with this number of known running ones;
    /// `point` is random in `0.0..1.0`.
    pub fn admits(self, running: u32, point: f64, now: Instant) -> bool {
        match self {
            ReturnShare::Full => true,
            ReturnShare::Excluded { until, .. } => {
                now >= until && running == 0 && point < FIRST_SHARE
            }
            ReturnShare::Returning { since, .. } => {
                let age = now.saturating_duration_since(since).as_secs_f64();
                point < FIRST_SHARE * (age / DOUBLING_TIME.as_secs_f64()).exp2()
            }
        }
    }
}
