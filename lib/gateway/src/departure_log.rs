//! Upstreams that announced in a response that they are leaving.

use indexmap::IndexSet;
use snipegate_types::UpstreamId;

use crate::upstream::UpstreamEntry;

/// Maximum number of remembered runs. By the time a run is evicted, it has ended or the
/// store lists it as draining.
const MAX_RUNS: usize = 4096;

/// Runs of upstreams that announced in a response to this VM that they are leaving.
///
/// The announcement holds for the rest of the run, whatever the store lists. A later run
/// under the same id has another start time and is not affected.
#[derive(Debug, Default)]
pub struct DepartureLog {
    /// Upstream ids, with the start time of the run if the upstream publishes it.
    runs: IndexSet<(UpstreamId, Option<u64>)>,
}

impl DepartureLog {
    /// Records that the run described by an entry is leaving.
    pub fn record(&mut self, entry: &UpstreamEntry) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.shift_remove_index(0);
        }
        self.runs.insert((entry.id.clone(), entry.started_ms));
    }

    /// Returns whether the run described by an entry announced that it is leaving.
    pub fn contains(&self, entry: &UpstreamEntry) -> bool {
        self.runs.contains(&(entry.id.clone(), entry.started_ms))
    }
}
