//! How far the prefix index is believed for one upstream.

/// Factor that a gap in the sequence of cache events puts on trust.
const GAP_FACTOR: f64 = 0.8;

/// Part of the missing trust that an event in order gives back.
const EVENT_GAIN: f64 = 0.01;

/// Weight of one answer whose cached tokens the engine told.
const ANSWER_WEIGHT: f64 = 0.1;

/// Least trust, so that a belief can prove itself again.
const MIN_TRUST: f64 = 0.1;

/// How far the prefix index is believed for one upstream, and its place in the
/// sequence of that upstream's cache events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheTrust {
    last_sequence: Option<u64>,
    trust: f64,
}

impl Default for CacheTrust {
    fn default() -> Self {
        Self {
            last_sequence: None,
            trust: 1.0,
        }
    }
}

/// What the sequence number of an event tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventOrder {
    /// The event follows the last one, after this many that were missed.
    Next { missed: u64 },
    /// The event was seen or overtaken by a later one.
    Late,
}

impl CacheTrust {
    /// Returns the part of a match that is believed, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.trust
    }

    /// Takes an event's sequence number into account.
    pub fn event(&mut self, sequence: u64) -> EventOrder {
        let missed = match self.last_sequence {
            Some(last) if sequence <= last => return EventOrder::Late,
            Some(last) => sequence - last - 1,
            None => 0,
        };
        self.last_sequence = Some(sequence);
        if missed > 0 {
            self.trust = (self.trust * GAP_FACTOR).max(MIN_TRUST);
        } else {
            self.trust += (1.0 - self.trust) * EVENT_GAIN;
        }
        EventOrder::Next { missed }
    }

    /// Starts the sequence anew, as after a restart of the engine.
    pub fn restarted(&mut self, sequence: u64) {
        self.last_sequence = Some(sequence);
    }

    /// Compares the cached tokens that the engine told with those matched.
    pub fn answered(&mut self, matched: u64, cached: u64) {
        if matched > 0 {
            let share = (cached as f64 / matched as f64).min(1.0);
            self.trust = (self.trust + ANSWER_WEIGHT * (share - self.trust)).max(MIN_TRUST);
        }
    }
}
