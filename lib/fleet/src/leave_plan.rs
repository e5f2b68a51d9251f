//! The graceful shutdown of a process.

use std::time::Duration;
use std::time::Instant;

use strum::Display;

/// Upper bound on the time until all processes know that a member is leaving, counted
/// from its announcement.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(8);
/// Extra time for callers that connect just before their cached address expires.
const CONNECT_MARGIN: Duration = Duration::from_secs(2);

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum LeavePhase {
    /// Announce that the process is leaving, and keep serving.
    Announce,
    /// Keep serving, since callers may still have its address cached.
    Serve,
    /// Reject new requests and finish the open ones.
    Drain,
    /// Return the resources that the process holds.
    Release,
    /// Exit the process.
    End,
}

/// Determines the current phase of a graceful shutdown.
///
/// The announcement counts as made once it has been written to the store or another
/// process has acknowledged it. Directories may still return the member's address for
/// up to [`PROPAGATION_BOUND`] after that, and callers may cache it for the cache time.
#[derive(Clone, Debug)]
pub struct LeavePlan {
    announced: Option<Instant>,
    cache_time: Duration,
    drain_started_at: Option<Instant>,
    released: bool,
}

impl LeavePlan {
    /// Creates the plan of a shutdown. `cache_time` is how long callers may cache
    /// addresses.
    pub fn new(cache_time: Duration) -> Self {
        Self {
            announced: None,
            cache_time,
            drain_started_at: None,
            released: false,
        }
    }

    /// Records that the announcement has been made.
    pub fn announced(&mut self, now: Instant) {
        self.announced.get_or_insert(now);
    }

    /// Records that the process has returned the resources that it held.
    pub fn released(&mut self) {
        self.released = true;
    }

    /// Returns the time from which new requests are rejected.
    pub fn serve_until(&self) -> Option<Instant> {
        let announced = self.announced?;
        Some(announced + PROPAGATION_BOUND + self.cache_time + CONNECT_MARGIN)
    }

    /// Returns the current phase. Once draining has begun, the process never goes back to
    /// serving.
    pub fn phase(&mut self, open_requests: usize, now: Instant) -> LeavePhase {
        let Some(until) = self.serve_until() else {
            return LeavePhase::Announce;
        };
        if self.drain_started_at.is_none() && now < until {
            return LeavePhase::Serve;
        }
        self.drain_started_at.get_or_insert(now);
        if open_requests > 0 {
            return LeavePhase::Drain;
        }
        match self.released {
            false => LeavePhase::Release,
            true => LeavePhase::End,
        }
    }
}
