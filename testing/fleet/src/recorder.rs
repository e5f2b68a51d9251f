//! Records the events of a run.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::SystemTime;

use snipegate_history::AttemptId;
use snipegate_history::EventKind;
use snipegate_history::HistoryEvent;

/// Collects events; clones share one history.
#[derive(Clone, Debug, Default)]
pub struct HistoryRecorder {
    events: Rc<RefCell<Vec<HistoryEvent>>>,
    last_attempt: Rc<Cell<AttemptId>>,
}

impl HistoryRecorder {
    /// Records an event with the current time.
    pub fn record(&self, what: EventKind) {
        let at_us = unix_micros();
        self.events.borrow_mut().push(HistoryEvent { at_us, what });
    }

    /// Returns a new attempt ID.
    pub fn next_attempt_id(&self) -> AttemptId {
        let attempt = self.last_attempt.get() + 1;
        self.last_attempt.set(attempt);
        attempt
    }

    /// Returns the events recorded so far.
    pub fn events(&self) -> Vec<HistoryEvent> {
        self.events.borrow().clone()
    }
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}
