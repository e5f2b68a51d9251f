//! Generates ids for requests without an idempotency key.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use snipegate_types::IncarnationId;
use snipegate_types::RequestId;
use snipegate_types::WorkspaceId;

/// Generates request ids that are unique in the fleet.
///
/// An id is derived from the router's incarnation and a counter rather than drawn at
/// random, because two requests with the same id would be billed only once.
#[derive(Debug)]
pub struct RequestIdGenerator {
    incarnation: IncarnationId,
    next: AtomicU64,
}

impl RequestIdGenerator {
    /// Creates the generator of one router incarnation.
    pub fn new(incarnation: IncarnationId) -> Self {
        Self {
            incarnation,
            next: AtomicU64::new(0),
        }
    }

    /// Returns a new id for a request of `workspace`.
    pub fn next(&self, workspace: &WorkspaceId) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        // Idempotency keys from callers contain no NUL, so none can equal this key.
        let key = format!("{}\0{number}", self.incarnation);
        RequestId::from_idempotency_key(workspace, &key)
    }
}
