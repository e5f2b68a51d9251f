//! Faults of an upstream that a test can switch on.

use std::time::Duration;

use serde::Deserialize;

/// One change to the faults, as `POST /fault` takes it.
///
/// Fields that are missing leave their fault as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultChange {
    /// Multiplies all times of work.
    pub slow_factor: Option<f64>,
    /// Delays each answer by up to this many milliseconds, so that answers
    /// come late and in another order.
    pub jitter_ms: Option<u64>,
    /// Streams of the next requests stop after some tokens and stay open.
    pub freeze: Option<StreamFault>,
    /// Connections of the next requests close after some tokens.
    pub close: Option<StreamFault>,
    /// Takes requests, does nothing and never answers.
    pub silent: Option<bool>,
    /// Refuses requests with status 503 before any work.
    pub refuse: Option<bool>,
    /// Does the work of plain service calls and loses the next answers.
    pub lose_answers: Option<u32>,
    /// Seed of the random delays.
    pub seed: Option<u64>,
    /// Ends the process at once.
    #[serde(default)]
    pub die: bool,
}

/// A fault in the middle of streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFault {
    /// Tokens that still go out.
    pub after_tokens: u64,
    /// Requests that meet the fault.
    pub times: u32,
}

impl StreamFault {
    fn take(&mut self) -> Option<u64> {
        self.times = self.times.checked_sub(1)?;
        Some(self.after_tokens)
    }
}

/// How one stream ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamCut {
    /// It stays open and says no more after this many tokens.
    Freeze(u64),
    /// Its connection closes after this many tokens.
    Close(u64),
}

/// The faults that are switched on.
#[derive(Debug)]
pub struct FaultPlan {
    slow_factor: f64,
    jitter: Duration,
    freeze: StreamFault,
    close: StreamFault,
    lose_answers: u32,
    random: fastrand::Rng,
    /// Whether requests are taken and never answered.
    pub silent: bool,
    /// Whether requests are refused.
    pub refuse: bool,
}

impl FaultPlan {
    /// Makes a plan without faults.
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

    /// Switches faults on or off.
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

    /// Returns how long work of this length takes.
    pub fn stretch(&self, span: Duration) -> Duration {
        span.mul_f64(self.slow_factor)
    }

    /// Returns how long to delay the next answer.
    pub fn next_jitter(&mut self) -> Duration {
        self.jitter.mul_f64(self.random.f64())
    }

    /// Returns how the next stream ends early, if it does.
    pub fn next_cut(&mut self) -> Option<StreamCut> {
        let freeze = self.freeze.take().map(StreamCut::Freeze);
        freeze.or_else(|| self.close.take().map(StreamCut::Close))
    }

    /// Tells whether the next service call's answer is lost.
    pub fn next_answer_lost(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}
