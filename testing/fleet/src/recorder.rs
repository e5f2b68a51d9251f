//! The history of a run, as it comes in.

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
    attempts: Rc<Cell<AttemptId>>,
}

impl HistoryRecorder {
    /// Records an event that happens now.
    pub fn record(&self, what: EventKind) {
        let at_us = unix_micros();
        self.events.borrow_mut().push(HistoryEvent { at_us, what });
    }

    /// Returns a number for the next attempt.
    pub fn next_attempt(&self) -> AttemptId {
        let attempt = self.attempts.get() + 1;
        self.attempts.set(attempt);
        attempt
    }

    /// Returns the events so far.
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
