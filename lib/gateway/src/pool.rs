//! Idle connections to upstreams.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_http1::HttpConnection;
use snipegate_types::UpstreamId;

/// Most idle connections that are kept to one upstream.
const MAX_IDLE: usize = 8;

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: IndexMap<UpstreamId, Vec<HttpConnection>>,
}

impl ConnectionPool {
    /// Takes a connection that was used less than `max_idle` ago and is clean.
    pub fn take(
        &mut self,
        id: &UpstreamId,
        max_idle: Duration,
        now: Instant,
    ) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(id)?;
        while let Some(mut connection) = idle.pop() {
            let age = now.saturating_duration_since(connection.idle_since);
            if age <= max_idle && connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(&mut self, id: &UpstreamId, mut connection: HttpConnection, now: Instant) {
        connection.set_idle(now);
        let idle = self.idle.entry(id.clone()).or_default();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(connection);
    }

    /// Closes the connections to an upstream.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.idle.shift_remove(id);
    }
}
