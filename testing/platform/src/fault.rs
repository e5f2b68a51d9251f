//! Platform faults that tests can inject.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::CallKind;
use strum::Display;
use strum::EnumString;

/// Body of `POST /fault`, which changes the injected faults.
///
/// Faults whose fields are absent remain unchanged.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultChange {
    /// Whether to refuse every call with status 503.
    pub outage: Option<bool>,
    /// Delay of every reply, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of upcoming store calls to execute without replying.
    pub lose_replies: Option<u32>,
    /// Probability that the store executes a write without replying.
    pub lose_probability: Option<f64>,
    /// Seed for the random choice of lost replies.
    pub seed: Option<u64>,
    /// Whether to accept calls without executing or answering them.
    pub freeze: Option<bool>,
    /// Maximum store writes per second.
    pub writes_per_second: Option<u32>,
    /// Maximum store and VM list reads per second.
    pub reads_per_second: Option<u32>,
    /// VMs and data centres whose calls are neither executed nor answered.
    pub cut_off: Option<Vec<String>>,
    /// Delay before a change to the VM list becomes visible, in milliseconds.
    pub vm_list_lag_ms: Option<u64>,
    /// Maximum weight store calls per second.
    pub weights_per_second: Option<u32>,
}

/// How the stand-in handles a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum CallAction {
    /// Execute the call and reply.
    Answer,
    /// Execute the call but never reply.
    LoseReply,
    /// Neither execute the call nor reply.
    Vanish,
    /// Reply with status 503 without executing the call.
    Refuse,
    /// Reply with status 429 without executing the call.
    Limit,
}

/// The faults and rate limits currently in force.
#[derive(Debug)]
pub struct ActiveFaults {
    outage: bool,
    delay: Duration,
    lose_replies: u32,
    lose_probability: f64,
    random: fastrand::Rng,
    freeze: bool,
    cut_off: Vec<String>,
    writes: TokenBucket,
    reads: TokenBucket,
    weights: TokenBucket,
}

impl ActiveFaults {
    /// Creates a set without faults, with the given rate limits in calls per second.
    pub fn new(writes: u32, reads: u32, now: Instant) -> Self {
        Self {
            outage: false,
            delay: Duration::ZERO,
            lose_replies: 0,
            lose_probability: 0.0,
            random: fastrand::Rng::with_seed(0),
            freeze: false,
            cut_off: Vec::new(),
            writes: TokenBucket::new(writes, now),
            reads: TokenBucket::new(reads, now),
            weights: TokenBucket::new(reads, now),
        }
    }

    /// Applies a change to the faults and rate limits.
    pub fn change(&mut self, change: &FaultChange, now: Instant) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.delay = change.delay_ms.map_or(self.delay, Duration::from_millis);
        self.lose_replies = change.lose_replies.unwrap_or(self.lose_replies);
        self.lose_probability = change.lose_probability.unwrap_or(self.lose_probability);
        self.freeze = change.freeze.unwrap_or(self.freeze);
        if let Some(seed) = change.seed {
            self.random.seed(seed);
        }
        if let Some(names) = &change.cut_off {
            self.cut_off.clone_from(names);
        }
        let rates = [
            (&mut self.writes, change.writes_per_second),
            (&mut self.reads, change.reads_per_second),
            (&mut self.weights, change.weights_per_second),
        ];
        for (bucket, rate) in rates {
            if let Some(rate) = rate {
                *bucket = TokenBucket::new(rate, now);
            }
        }
    }

    /// Returns the delay of replies.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Determines how to handle a store call from the given client.
    pub fn store_call_action(
        &mut self,
        kind: CallKind,
        client: &[&str],
        now: Instant,
    ) -> CallAction {
        if let Some(action) = self.fault_action(client) {
            return action;
        }
        let bucket = if kind.is_write() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        if !bucket.try_take(now) {
            return CallAction::Limit;
        }
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            return CallAction::LoseReply;
        }
        if kind.is_write() && self.random.f64() < self.lose_probability {
            return CallAction::LoseReply;
        }
        CallAction::Answer
    }

    /// Returns whether calls from this client are dropped.
    ///
    /// This also applies to a watch that was already waiting when the partition
    /// began.
    pub fn is_cut_off(&self, client: &[&str]) -> bool {
        self.freeze || self.cut_off.iter().any(|name| client.contains(&&**name))
    }

    /// Returns whether an outage is injected.
    pub fn is_outage_active(&self) -> bool {
        self.outage
    }

    /// Determines how to handle a read of the VM list.
    pub fn vm_list_action(&mut self, client: &[&str], now: Instant) -> CallAction {
        match self.fault_action(client) {
            Some(action) => action,
            None if self.reads.try_take(now) => CallAction::Answer,
            None => CallAction::Limit,
        }
    }

    /// Determines how to handle a call to the weight store.
    pub fn weight_call_action(&mut self, client: &[&str], now: Instant) -> CallAction {
        match self.fault_action(client) {
            Some(action) => action,
            None if self.weights.try_take(now) => CallAction::Answer,
            None => CallAction::Limit,
        }
    }

    /// Returns the action that an injected fault requires for any type of call.
    fn fault_action(&self, client: &[&str]) -> Option<CallAction> {
        if self.is_cut_off(client) {
            Some(CallAction::Vanish)
        } else if self.outage {
            Some(CallAction::Refuse)
        } else {
            None
        }
    }
}

/// Token bucket with a capacity of one second's calls.
#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: u32, now: Instant) -> Self {
        Self {
            rate: f64::from(rate),
            tokens: f64::from(rate),
            refilled_at: now,
        }
    }

    /// Takes a token and returns whether one was available.
    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

/// Response to `GET /counts`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CountReport {
    /// Current revision of the store.
    pub revision: u64,
    /// Number of executed store calls of each kind.
    pub calls: Vec<(CallKind, u64)>,
    /// Number of calls handled by each [`CallAction`].
    pub fates: Vec<(String, u64)>,
}
