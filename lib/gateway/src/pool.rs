//! The pool of idle connections to upstreams.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_http1::HttpConnection;
use snipegate_types::UpstreamId;

/// Maximum number of idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// Fraction of an upstream's connection limit that idle connections of all VMs may use.
const IDLE_FRACTION: f64 = 0.5;

/// Returns how many idle connections to one upstream each of `vms` VMs may keep, where the
/// upstream accepts at most `accepted` connections from all VMs together.
///
/// At least one is kept: opening a connection for each request would cost more.
pub fn max_idle_connections(accepted: Option<u32>, vms: usize) -> usize {
    let Some(accepted) = accepted else {
        return MAX_IDLE_PER_UPSTREAM;
    };
    let share = f64::from(accepted) * IDLE_FRACTION / vms.max(1) as f64;
    (share as usize).clamp(1, MAX_IDLE_PER_UPSTREAM)
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: IndexMap<UpstreamId, Vec<HttpConnection>>,
}

impl ConnectionPool {
    /// Takes a connection that was idle for at most `max_idle`, is open and has no unread data.
    pub fn take(
        &mut self,
        id: &UpstreamId,
        max_idle: Duration,
        now: Instant,
    ) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(id)?;
        while let Some(mut connection) = idle.pop() {
            let age = now.saturating_duration_since(connection.idle_since);
            if age <= max_idle && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection whose last response was read to its end. The oldest connections are
    /// closed to keep at most `max_idle`.
    pub fn put(
        &mut self,
        id: &UpstreamId,
        mut connection: HttpConnection,
        max_idle: usize,
        now: Instant,
    ) {
        connection.mark_idle(now);
        let idle = self.idle.entry(id.clone()).or_default();
        let excess = (idle.len() + 1).saturating_sub(max_idle);
        idle.drain(..excess.min(idle.len()));
        idle.push(connection);
    }

    /// Closes the connections to an upstream.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.idle.shift_remove(id);
    }
}
