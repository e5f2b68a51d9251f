//! Confidence in the prefix index per upstream.

/// Factor applied to the confidence when cache events were missed.
const GAP_PENALTY: f64 = 0.8;

/// Share of the missing confidence that an event in sequence restores.
const EVENT_RECOVERY: f64 = 0.01;

/// Weight of one response for which the engine reported cached tokens.
const ANSWER_WEIGHT: f64 = 0.1;

/// Minimum confidence. It keeps cache matches relevant enough that the confidence can
/// recover.
const MIN_CONFIDENCE: f64 = 0.1;

/// Confidence in the prefix index for one upstream, and the position in the sequence of
/// its cache events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheConfidence {
    last_sequence: Option<u64>,
    confidence: f64,
}

impl Default for CacheConfidence {
    fn default() -> Self {
        Self {
            last_sequence: None,
            confidence: 1.0,
        }
    }
}

/// How a cache event relates to the preceding ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventOrder {
    /// The event is newer than all earlier ones; `missed` events in between were lost.
    Next { missed: u64 },
    /// The event is a duplicate or older than one already received.
    Late,
}

impl CacheConfidence {
    /// Returns the confidence in a match, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.confidence
    }

    /// Records the sequence number of an event.
    pub fn record_sequence(&mut self, sequence: u64) -> EventOrder {
        let missed = match self.last_sequence {
            Some(last) if sequence <= last => return EventOrder::Late,
            Some(last) => sequence - last - 1,
            None => 0,
        };
        self.last_sequence = Some(sequence);
        if missed > 0 {
            self.confidence = (self.confidence * GAP_PENALTY).max(MIN_CONFIDENCE);
        } else {
            self.confidence += (1.0 - self.confidence) * EVENT_RECOVERY;
        }
        EventOrder::Next { missed }
    }

    /// Restarts the sequence at an event, for example after a restart of the engine.
    pub fn reset_sequence(&mut self, sequence: u64) {
        self.last_sequence = Some(sequence);
    }

    /// Updates the confidence from the cached tokens that the engine reported and those
    /// that the index matched.
    pub fn record_answer(&mut self, matched: u64, cached: u64) {
        if matched > 0 {
            let share = (cached as f64 / matched as f64).min(1.0);
            self.confidence =
                (self.confidence + ANSWER_WEIGHT * (share - self.confidence)).max(MIN_CONFIDENCE);
        }
    }
}
