//! The planned stop of a process.

use std::time::Duration;
use std::time::Instant;

use strum::Display;

/// Time by which everybody knows that a member leaves, once it has announced it.
pub const SPREAD_BOUND: Duration = Duration::from_secs(8);
/// Allowance for callers that connect at the last moment of their answer.
const CONNECT_MARGIN: Duration = Duration::from_secs(2);

/// What a process that was asked to stop does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum LeavePhase {
    /// Announce that it leaves, and serve as before.
    Announce,
    /// Serve as before, since answers that name it may still be held.
    Serve,
    /// Take no new requests and end the open ones.
    Drain,
    /// Hand back what it holds.
    Release,
    /// End the process.
    End,
}

/// Decides how far a planned stop has come.
///
/// An announcement counts when the store has taken it or another process passes
/// it on. From then on, answers that name the member are given for the spread
/// bound and are held for the keep time.
#[derive(Clone, Debug)]
pub struct LeavePlan {
    announced: Option<Instant>,
    keep: Duration,
    drain_began: Option<Instant>,
    released: bool,
}

impl LeavePlan {
    /// Makes the plan of a stop; `keep` is how long callers may keep addresses.
    pub fn new(keep: Duration) -> Self {
        Self {
            announced: None,
            keep,
            drain_began: None,
            released: false,
        }
    }

    /// Notes that the announcement was taken.
    pub fn announced(&mut self, now: Instant) {
        self.announced.get_or_insert(now);
    }

    /// Notes that everything held was handed back.
    pub fn released(&mut self) {
        self.released = true;
    }

    /// Returns when new requests will no longer be taken.
    pub fn serve_until(&self) -> Option<Instant> {
        let announced = self.announced?;
        Some(announced + SPREAD_BOUND + self.keep + CONNECT_MARGIN)
    }

    /// Returns what to do now; once draining has begun it never serves again.
    pub fn phase(&mut self, open_requests: usize, now: Instant) -> LeavePhase {
        let Some(until) = self.serve_until() else {
            return LeavePhase::Announce;
        };
        if self.drain_began.is_none() && now < until {
            return LeavePhase::Serve;
        }
        self.drain_began.get_or_insert(now);
        if open_requests > 0 {
            return LeavePhase::Drain;
        }
        match self.released {
            false => LeavePhase::Release,
            true => LeavePhase::End,
        }
    }
}
