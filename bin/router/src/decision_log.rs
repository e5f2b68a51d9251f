//! Bounded log of the decisions on recent requests, for operators.

use std::collections::VecDeque;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;
use snipegate_types::RequestId;

use crate::command::DecisionRecord;

/// Maximum number of requests with recorded decisions.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of recorded decisions per request.
const MAX_DECISIONS: usize = 32;

/// The decisions on the most recent requests; the oldest requests are evicted first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    decisions: IndexMap<RequestId, Vec<DecisionRecord>>,
    insertion_order: VecDeque<RequestId>,
}

impl DecisionLog {
    /// Records a decision on a request, unless the request has the maximum number already.
    pub fn record(&mut self, request: RequestId, wall: SystemTime, decision: String) {
        if !self.decisions.contains_key(&request) {
            self.insertion_order.push_back(request);
        }
        let records = self.decisions.entry(request).or_default();
        if records.len() < MAX_DECISIONS {
            let since_epoch = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
            records.push(DecisionRecord {
                at_ms: since_epoch.as_millis() as u64,
                decision,
            });
        }
        while self.insertion_order.len() > MAX_REQUESTS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.decisions.swap_remove(&oldest);
            }
        }
    }

    /// Returns the decisions on a request, oldest first.
    pub fn of_request(&self, request: RequestId) -> Vec<DecisionRecord> {
        self.decisions.get(&request).cloned().unwrap_or_default()
    }
}
