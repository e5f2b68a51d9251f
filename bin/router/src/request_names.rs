//! Ids of requests whose callers chose none.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use snipegate_types::IncarnationId;
use snipegate_types::RequestId;
use snipegate_types::WorkspaceId;

/// Makes ids that no other request of the fleet has.
///
/// An id is derived from this run of the router and a count. Chance alone would
/// not do: two requests with one id would be billed once.
#[derive(Debug)]
pub struct RequestNames {
    own: IncarnationId,
    next: AtomicU64,
}

impl RequestNames {
    /// Makes the ids of a router's run.
    pub fn new(own: IncarnationId) -> Self {
        Self {
            own,
            next: AtomicU64::new(0),
        }
    }

    /// Returns an id for a request of `workspace`.
    pub fn next(&self, workspace: &WorkspaceId) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        // Callers' own keys hold no NUL, so none can collide with this one.
        let key = format!("{}\0{number}", self.own);
        RequestId::from_idempotency_key(workspace, &key)
    }
}
