//! Faults of the platform that a test can switch on.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use snipegate_platform::CallKind;
use strum::Display;
use strum::EnumString;

/// One change to the faults, as `POST /fault` takes it.
///
/// Fields that are missing leave their fault as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultChange {
    /// Refuses every call with status 503.
    pub outage: Option<bool>,
    /// Delays every answer by this many milliseconds.
    pub delay_ms: Option<u64>,
    /// Loses the replies of the next calls after they took effect.
    pub lose_replies: Option<u32>,
    /// Loses each reply to a write with this probability, after it took effect.
    pub lose_probability: Option<f64>,
    /// Seed of the probabilities.
    pub seed: Option<u64>,
    /// Takes calls and never answers, without effect.
    pub freeze: Option<bool>,
    /// Writes accepted in a second.
    pub writes_per_second: Option<u32>,
    /// Reads accepted in a second.
    pub reads_per_second: Option<u32>,
    /// VMs and data centres whose calls vanish without effect.
    pub cut_off: Option<Vec<String>>,
    /// How old the VM list is when it is read, in milliseconds.
    pub vm_list_lag_ms: Option<u64>,
    /// Weight store calls accepted in a second.
    pub weights_per_second: Option<u32>,
}

/// What the stand-in does with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum CallFate {
    /// Carries it out and answers.
    Answer,
    /// Carries it out and never answers.
    LoseReply,
    /// Never answers, without effect.
    Vanish,
    /// Refuses it with status 503, without effect.
    Refuse,
    /// Refuses it for its rate, without effect.
    Limit,
}

/// The faults that are switched on.
#[derive(Debug)]
pub struct FaultPlan {
    outage: bool,
    delay: Duration,
    lose_replies: u32,
    lose_probability: f64,
    random: fastrand::Rng,
    freeze: bool,
    cut_off: Vec<String>,
    writes: RateBucket,
    reads: RateBucket,
    weights: RateBucket,
}

impl FaultPlan {
    /// Makes a plan without faults, with the given rates in calls per second.
    pub fn new(writes: u32, reads: u32, now: Instant) -> Self {
        Self {
            outage: false,
            delay: Duration::ZERO,
            lose_replies: 0,
            lose_probability: 0.0,
            random: fastrand::Rng::with_seed(0),
            freeze: false,
            cut_off: Vec::new(),
            writes: RateBucket::new(writes, now),
            reads: RateBucket::new(reads, now),
            weights: RateBucket::new(reads, now),
        }
    }

    /// Switches faults on or off.
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
                *bucket = RateBucket::new(rate, now);
            }
        }
    }

    /// Returns how long answers are delayed.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Decides what becomes of a store call of the client with these names.
    pub fn store_fate(&mut self, kind: CallKind, client: &[&str], now: Instant) -> CallFate {
        if let Some(fate) = self.general_fate(client) {
            return fate;
        }
        let bucket = if kind.is_write() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        if !bucket.take(now) {
            return CallFate::Limit;
        }
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            return CallFate::LoseReply;
        }
        if kind.is_write() && self.random.f64() < self.lose_probability {
            return CallFate::LoseReply;
        }
        CallFate::Answer
    }

    /// Tells whether calls of this client vanish now; a watch that waited
    /// through the start of a partition is not answered either.
    pub fn is_cut_off(&self, client: &[&str]) -> bool {
        self.freeze || self.cut_off.iter().any(|name| client.contains(&&**name))
    }

    /// Tells whether the store refuses every call now.
    pub fn is_out(&self) -> bool {
        self.outage
    }

    /// Decides what becomes of a read of the VM list.
    pub fn list_fate(&mut self, client: &[&str], now: Instant) -> CallFate {
        match self.general_fate(client) {
            Some(fate) => fate,
            None if self.reads.take(now) => CallFate::Answer,
            None => CallFate::Limit,
        }
    }

    /// Decides what becomes of a call to the weight store.
    pub fn weight_fate(&mut self, client: &[&str], now: Instant) -> CallFate {
        match self.general_fate(client) {
            Some(fate) => fate,
            None if self.weights.take(now) => CallFate::Answer,
            None => CallFate::Limit,
        }
    }

    fn general_fate(&self, client: &[&str]) -> Option<CallFate> {
        if self.is_cut_off(client) {
            Some(CallFate::Vanish)
        } else if self.outage {
            Some(CallFate::Refuse)
        } else {
            None
        }
    }
}

/// A token bucket that holds one second's calls.
#[derive(Debug)]
struct RateBucket {
    rate: f64,
    left: f64,
    filled: Instant,
}

impl RateBucket {
    fn new(rate: u32, now: Instant) -> Self {
        Self {
            rate: f64::from(rate),
            left: f64::from(rate),
            filled: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.left = (self.left + elapsed * self.rate).min(self.rate);
        self.filled = now;
        let taken = self.left >= 1.0;
        if taken {
            self.left -= 1.0;
        }
        taken
    }
}

/// What `GET /counts` answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CountReport {
    /// The store's last revision.
    pub revision: u64,
    /// Calls that were carried out, by kind.
    pub calls: Vec<(CallKind, u64)>,
    /// Calls that met each fate.
    pub fates: Vec<(String, u64)>,
}
