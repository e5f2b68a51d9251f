//! What is outstanding at each upstream, of this VM and of the others, and how
//! its requests ended lately.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use snipegate_types::UpstreamId;

use crate::prompt_cache::PromptCache;
use crate::terms::PromptPart;

/// How long what another VM said of its load counts.
const PEER_LOAD_LIFE: Duration = Duration::from_millis(1500);

/// Time in which the weight of an outcome falls to 1/e.
const OUTCOME_LIFE: Duration = Duration::from_secs(4);

/// Failures, weighed by age, that are worth telling by themselves.
const TOLD_FAILURES: f32 = 0.1;

/// Time to the first byte for each token, before any was seen, in ms.
const FIRST_PACE_MS: f64 = 0.025;

/// Bounds of the time to the first byte for each token, in ms.
const PACE_RANGE_MS: (f64, f64) = (0.008, 0.5);

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Time that a plain request takes, before any was seen, in ms.
const FIRST_SERVICE_MS: f64 = 20.0;

/// Outstanding work at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkLoad {
    /// Tokens of prompts that are still to be read.
    pub unread: u64,
    /// Requests that are not answered in full.
    pub running: u32,
}

/// How requests ended, the older ones with less weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OutcomeTally {
    /// Requests that were answered.
    pub good: f32,
    /// Requests that the upstream failed.
    pub failed: f32,
}

impl OutcomeTally {
    fn decayed(self, age: Duration) -> Self {
        let factor = (-age.as_secs_f32() / OUTCOME_LIFE.as_secs_f32()).exp();
        Self {
            good: self.good * factor,
            failed: self.failed * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            failed: self.failed + other.failed,
        }
    }

    /// Returns the share of failures; few outcomes count as mostly good.
    pub fn failed_share(self) -> f64 {
        f64::from(self.failed) / (f64::from(self.good) + f64::from(self.failed) + 1.0)
    }
}

/// What one VM says of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamNews {
    /// What the VM has outstanding there.
    pub load: WorkLoad,
    /// How its requests ended lately.
    pub outcomes: OutcomeTally,
}

impl UpstreamNews {
    /// Tells whether it differs from what is assumed of an upstream that a VM does
    /// not name.
    pub fn is_worth_telling(&self) -> bool {
        self.load != WorkLoad::default() || self.outcomes.failed > TOLD_FAILURES
    }
}

#[derive(Debug)]
struct PeerNews {
    news: UpstreamNews,
    at: Instant,
}

/// What is known of the work at one upstream.
#[derive(Debug)]
pub struct UpstreamLoad {
    own: WorkLoad,
    outcomes: OutcomeTally,
    outcomes_at: Instant,
    peers: IndexMap<u64, PeerNews>,
    /// The parts of prompts that it is taken to keep.
    pub cache: PromptCache,
    pace_ms: f64,
    service_ms: f64,
}

impl UpstreamLoad {
    fn new(cache_capacity: u64, now: Instant) -> Self {
        Self {
            own: WorkLoad::default(),
            outcomes: OutcomeTally::default(),
            outcomes_at: now,
            peers: IndexMap::new(),
            cache: PromptCache::new(cache_capacity),
            pace_ms: FIRST_PACE_MS,
            service_ms: FIRST_SERVICE_MS,
        }
    }

    /// Returns what all VMs have outstanding, as far as they said so lately.
    pub fn total(&self, now: Instant) -> WorkLoad {
        self.fresh_peers(now)
            .fold(self.own, |total, peer| WorkLoad {
                unread: total.unread + peer.news.load.unread,
                running: total.running + peer.news.load.running,
            })
    }

    /// Returns how the requests of all VMs ended lately.
    pub fn outcomes(&self, now: Instant) -> OutcomeTally {
        let own = self.own_outcomes(now);
        self.fresh_peers(now)
            .map(|peer| {
                let age = now.saturating_duration_since(peer.at);
                peer.news.outcomes.decayed(age)
            })
            .fold(own, OutcomeTally::plus)
    }

    /// Returns the time to the first byte for each token ahead, in ms.
    pub fn pace_ms(&self) -> f64 {
        self.pace_ms
    }

    /// Returns the time that a plain request takes, in ms.
    pub fn service_ms(&self) -> f64 {
        self.service_ms
    }

    fn own_outcomes(&self, now: Instant) -> OutcomeTally {
        let age = now.saturating_duration_since(self.outcomes_at);
        self.outcomes.decayed(age)
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &PeerNews> {
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.at) < PEER_LOAD_LIFE)
    }
}

/// The load of every upstream.
#[derive(Debug, Default)]
pub struct LoadTable {
    upstreams: IndexMap<UpstreamId, UpstreamLoad>,
    cache_capacity: IndexMap<UpstreamId, u64>,
}

impl LoadTable {
    /// Sets how many tokens an upstream keeps.
    pub fn set_cache_capacity(&mut self, id: &UpstreamId, tokens: u64) {
        self.cache_capacity.insert(id.clone(), tokens);
    }

    /// Returns the load of an upstream.
    pub fn entry(&mut self, id: &UpstreamId, now: Instant) -> &mut UpstreamLoad {
        let capacity = self.cache_capacity.get(id).copied().unwrap_or_default();
        self.upstreams
            .entry(id.clone())
            .or_insert_with(|| UpstreamLoad::new(capacity, now))
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.cache_capacity.shift_remove(id);
        let idle = |load: &UpstreamLoad| load.own == WorkLoad::default();
        if self.upstreams.get(id).is_some_and(idle) {
            self.upstreams.shift_remove(id);
        }
    }

    /// Counts a request that is being sent; `unread` tokens of it are not kept there.
    pub fn begin(&mut self, id: &UpstreamId, unread: u64, parts: &[PromptPart], now: Instant) {
        let load = self.entry(id, now);
        load.own.unread += unread;
        load.own.running += 1;
        load.cache.note(parts, now);
    }

    /// Counts a prompt as read.
    pub fn prompt_read(&mut self, id: &UpstreamId, unread: u64) {
        if let Some(load) = self.upstreams.get_mut(id) {
            load.own.unread = load.own.unread.saturating_sub(unread);
        }
    }

    /// Counts a request as ended.
    pub fn end(&mut self, id: &UpstreamId) {
        if let Some(load) = self.upstreams.get_mut(id) {
            load.own.running = load.own.running.saturating_sub(1);
        }
    }

    /// Notes how a request ended.
    pub fn note_outcome(&mut self, id: &UpstreamId, good: bool, now: Instant) {
        let load = self.entry(id, now);
        let mut outcomes = load.own_outcomes(now);
        match good {
            true => outcomes.good += 1.0,
            false => outcomes.failed += 1.0,
        }
        load.outcomes = outcomes;
        load.outcomes_at = now;
    }

    /// Notes how long a prompt took to its first byte with `tokens` ahead of it.
    pub fn note_first_byte(&mut self, id: &UpstreamId, tokens: u64, span: Duration, now: Instant) {
        let load = self.entry(id, now);
        let sample = span.as_secs_f64() * 1e3 / tokens.max(1) as f64;
        let sample = sample.clamp(PACE_RANGE_MS.0, PACE_RANGE_MS.1);
        load.pace_ms += SAMPLE_WEIGHT * (sample - load.pace_ms);
    }

    /// Notes how long a plain request took.
    pub fn note_service_time(&mut self, id: &UpstreamId, span: Duration, now: Instant) {
        let load = self.entry(id, now);
        load.service_ms += SAMPLE_WEIGHT * (span.as_secs_f64() * 1e3 - load.service_ms);
    }

    /// Forgets what another VM said of all upstreams.
    pub fn forget_peer(&mut self, peer: u64) {
        for load in self.upstreams.values_mut() {
            load.peers.swap_remove(&peer);
        }
    }

    /// Takes what another VM says of an upstream.
    pub fn note_peer(&mut self, id: &UpstreamId, peer: u64, news: UpstreamNews, now: Instant) {
        let load = self.entry(id, now);
        load.peers.insert(peer, PeerNews { news, at: now });
    }

    /// Returns what this VM has to say of each upstream.
    pub fn own_news(&self, now: Instant) -> impl Iterator<Item = (&UpstreamId, UpstreamNews)> {
        self.upstreams.iter().map(move |(id, load)| {
            let news = UpstreamNews {
                load: load.own,
                outcomes: load.own_outcomes(now),
            };
            (id, news)
        })
    }
}
