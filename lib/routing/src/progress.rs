//! Detection of connections that stopped making progress.

use std::time::Duration;
use std::time::Instant;

use crate::choice::UpstreamChoice;

/// Deadline for the next data on a connection.
///
/// A traffic thread keeps one per attempt. A connection that misses the deadline is
/// closed and not reused; a retry opens a new one.
#[derive(Clone, Copy, Debug)]
pub struct ProgressWatch {
    progress_timeout: Duration,
    expires_at: Instant,
}

impl ProgressWatch {
    /// Starts the first-byte timeout. Call it when the request has been written.
    pub fn new(choice: &UpstreamChoice, now: Instant) -> Self {
        Self {
            progress_timeout: choice.progress_timeout,
            expires_at: now + choice.first_byte_timeout,
        }
    }

    /// Records that data arrived from the upstream.
    pub fn record_progress(&mut self, now: Instant) {
        self.expires_at = now + self.progress_timeout;
    }

    /// Returns when the connection counts as silent if no data arrives.
    pub fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// Returns whether the connection counts as silent.
    pub fn is_silent(&self, now: Instant) -> bool {
        now >= self.expires_at
    }
}
