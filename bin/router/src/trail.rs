//! A bounded record of decisions, for operators who ask why.

use std::collections::VecDeque;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;
use snipegate_types::RequestId;

use crate::command::DecisionRecord;

/// Requests whose decisions are kept.
const MAX_REQUESTS: usize = 4_096;

/// Decisions kept for one request.
const MAX_DECISIONS: usize = 32;

/// The decisions on the latest requests, oldest requests forgotten first.
#[derive(Debug, Default)]
pub struct DecisionTrail {
    decisions: IndexMap<RequestId, Vec<DecisionRecord>>,
    order: VecDeque<RequestId>,
}

impl DecisionTrail {
    /// Records a decision on a request.
    pub fn record(&mut self, request: RequestId, wall: SystemTime, decision: String) {
        if !self.decisions.contains_key(&request) {
            self.order.push_back(request);
        }
        let records = self.decisions.entry(request).or_default();
        if records.len() < MAX_DECISIONS {
            let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
            records.push(DecisionRecord {
                at_ms: since.as_millis() as u64,
                decision,
            });
        }
        while self.order.len() > MAX_REQUESTS {
            if let Some(oldest) = self.order.pop_front() {
                self.decisions.swap_remove(&oldest);
            }
        }
    }

    /// Returns the decisions on a request, oldest first.
    pub fn of_request(&self, request: RequestId) -> Vec<DecisionRecord> {
        self.decisions.get(&request).cloned().unwrap_or_default()
    }
}
