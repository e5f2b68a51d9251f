//! Decides whether a generation is sent now, held for a moment, or refused.
//!
//! Answers the load of bursts that engines can't read in time. Sent at once, all
//! prompts of a burst wait behind each other and all are late. Those that can't
//! be on time any more are held until the work ahead has gone down, so that those
//! that come later still can be.

use std::time::Duration;

/// Part of the target that the expected first byte may take.
const TARGET_PART: f64 = 0.9;

/// A held request is sent once the work ahead takes less than this part of the
/// target.
const DRAINED_PART: f64 = 0.4;

/// Longest hold.
const MAX_HOLD: Duration = Duration::from_millis(1000);

/// Longest hold, as a part of the time that the caller waits.
const MAX_HOLD_PART: f64 = 0.25;

/// Callers leave a stream that does not begin in this time.
const CALLER_PATIENCE: Duration = Duration::from_millis(1900);

/// What is known of a request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateInput {
    /// When the first byte is expected at the best upstream, from now.
    pub expected: Duration,
    /// Time within which the first byte should be there, from the arrival.
    pub target: Duration,
    /// Time since the arrival.
    pub waited: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// Send it.
    Send,
    /// Look again soon.
    Hold,
    /// Refuse it; the work ahead takes this long.
    Refuse(Duration),
}

/// Decides on a request.
pub fn decide(input: &GateInput) -> GateVerdict {
    let on_time = input
        .target
        .mul_f64(TARGET_PART)
        .saturating_sub(input.waited);
    if input.expected <= on_time {
        return GateVerdict::Send;
    }
    let begins = input.waited + input.expected;
    let hopeless = input.expected > input.time_left || begins > CALLER_PATIENCE;
    if hopeless && input.waited.is_zero() {
        return GateVerdict::Refuse(input.expected);
    }
    let limit = MAX_HOLD.min((input.time_left + input.waited).mul_f64(MAX_HOLD_PART));
    let drained = input.expected <= input.target.mul_f64(DRAINED_PART);
    match drained || input.waited >= limit {
        true => GateVerdict::Send,
        false => GateVerdict::Hold,
    }
}
