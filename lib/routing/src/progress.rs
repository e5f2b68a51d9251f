//! Detection of connections that have gone silent.

use std::time::Duration;
use std::time::Instant;

use crate::choice::UpstreamChoice;

/// Decides when a stream has stood still for too long.
///
/// A traffic thread keeps one for each attempt; a silent connection is closed
/// and never used again, and the next try opens a fresh one.
#[derive(Clone, Copy, Debug)]
pub struct ProgressWatch {
    progress_timeout: Duration,
    expires_at: Instant,
}

impl ProgressWatch {
    /// Starts the watch when the request is written.
    pub fn new(choice: &UpstreamChoice, now: Instant) -> Self {
        Self {
            progress_timeout: choice.progress_timeout,
            expires_at: now + choice.first_byte_timeout,
        }
    }

    /// Notes that something came from the upstream.
    pub fn progressed(&mut self, now: Instant) {
        self.expires_at = now + self.progress_timeout;
    }

    /// Returns when the connection counts as silent if nothing comes.
    pub fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// Tells whether the connection counts as silent.
    pub fn is_silent(&self, now: Instant) -> bool {
        now >= self.expires_at
    }
}
