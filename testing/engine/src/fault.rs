//! Upstream faults that tests can inject.

use std::time::Duration;

use serde::Deserialize;

/// Body of `POST /fault`, which changes the injected faults.
///
/// Faults whose fields are absent remain unchanged.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultChange {
    /// Factor by which all processing times are multiplied.
    pub slow_factor: Option<f64>,
    /// Maximum random delay of each answer, in milliseconds, so that answers
    /// arrive late and out of order.
    pub jitter_ms: Option<u64>,
    /// Stalls upcoming streams midway but leaves their connections open.
    pub freeze: Option<StreamFault>,
    /// Closes the connections of upcoming requests midway.
    pub close: Option<StreamFault>,
    /// Whether to accept requests without processing or answering them.
    pub silent: Option<bool>,
    /// Whether to refuse requests with status 503 before processing them.
    pub refuse: Option<bool>,
    /// Number of upcoming plain service calls to execute without answering.
    pub lose_answers: Option<u32>,
    /// Seed for the random delays.
    pub seed: Option<u64>,
    /// Whether to exit the process immediately.
    #[serde(default)]
    pub die: bool,
}

/// Fault that interrupts responses midway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFault {
    /// Index of the first output token that is not sent.
    pub after_tokens: u64,
    /// Number of upcoming requests that the fault affects.
    pub times: u32,
}

impl StreamFault {
    /// Uses the fault up by one request and returns its `after_tokens`.
    fn consume(&mut self) -> Option<u64> {
        self.times = self.times.checked_sub(1)?;
        Some(self.after_tokens)
    }
}

/// How a response is interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamInterruption {
    /// Stall before the output token with this index but leave the stream open.
    Freeze(u64),
    /// Close the connection before the output token with this index.
    Close(u64),
}

/// The faults currently injected.
#[derive(Debug)]
pub struct ActiveFaults {
    slow_factor: f64,
    jitter: Duration,
    freeze: StreamFault,
    close: StreamFault,
    lose_answers: u32,
    random: fastrand::Rng,
    /// Whether requests are accepted but never answered.
    pub silent: bool,
    /// Whether requests are refused.
    pub refuse: bool,
}

impl ActiveFaults {
    /// Creates a set without faults.
    pub fn new(seed: u64) -> Self {
        Self {
            slow_factor: 1.0,
            jitter: Duration::ZERO,
            freeze: StreamFault::default(),
            close: StreamFault::default(),
            lose_answers: 0,
            random: fastrand::Rng::with_seed(seed),
            silent: false,
            refuse: false,
        }
    }

    /// Applies a change to the faults.
    pub fn change(&mut self, change: &FaultChange) {
        self.slow_factor = change.slow_factor.unwrap_or(self.slow_factor).max(0.0);
        self.jitter = change.jitter_ms.map_or(self.jitter, Duration::from_millis);
        self.freeze = change.freeze.unwrap_or(self.freeze);
        self.close = change.close.unwrap_or(self.close);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.silent = change.silent.unwrap_or(self.silent);
        self.refuse = change.refuse.unwrap_or(self.refuse);
        if let Some(seed) = change.seed {
            self.random.seed(seed);
        }
    }

    /// Returns `duration` multiplied by the slowdown factor.
    pub fn scale_duration(&self, duration: Duration) -> Duration {
        duration.mul_f64(self.slow_factor)
    }

    /// Returns the random delay of the next answer.
    pub fn next_jitter(&mut self) -> Duration {
        self.jitter.mul_f64(self.random.f64())
    }

    /// Returns how the next response is interrupted, if at all.
    pub fn next_interruption(&mut self) -> Option<StreamInterruption> {
        let freeze = self.freeze.consume().map(StreamInterruption::Freeze);
        freeze.or_else(|| self.close.consume().map(StreamInterruption::Close))
    }

    /// Returns whether to lose the next service call's answer.
    pub fn take_lost_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}
