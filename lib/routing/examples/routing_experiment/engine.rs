//! A simulated engine with a batch, chunked prefill and a prefix cache.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

/// Tokens per cached block.
pub const BLOCK_TOKENS: u64 = 64;

/// Maximum number of prompt tokens processed in one step.
const CHUNK_TOKENS: u64 = 512;

/// Base duration of a step.
const STEP_BASE: Duration = Duration::from_millis(15);

/// Additional duration per stream that generates a token in a step.
const STEP_STREAM: Duration = Duration::from_micros(500);

/// Additional duration per prompt token processed in a step.
const STEP_PROMPT_TOKEN: Duration = Duration::from_micros(150);

/// A request in an engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub attempt: u64,
    pub blocks: Vec<u64>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    /// Prompt tokens left to process. Tokens found in the cache are deducted when the job
    /// joins the batch.
    unprocessed: u64,
    cached: u64,
    generated: u64,
}

impl Job {
    pub fn new(attempt: u64, blocks: Vec<u64>, prompt_tokens: u64, answer_tokens: u64) -> Self {
        Self {
            attempt,
            blocks,
            prompt_tokens,
            answer_tokens,
            unprocessed: prompt_tokens,
            cached: 0,
            generated: 0,
        }
    }
}

/// A generated token.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    pub attempt: u64,
    pub first: bool,
    pub last: bool,
    pub cached: u64,
    pub generated: u64,
}

/// Blocks added to and evicted from a cache during a step.
#[derive(Clone, Debug, Default)]
pub struct CacheDelta {
    pub stored: Vec<u64>,
    pub removed: Vec<u64>,
}

/// An LRU cache of blocks.
#[derive(Clone, Debug)]
struct LruCache {
    capacity: usize,
    last_used: IndexMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
}

impl LruCache {
    fn touch(&mut self, block: u64, delta: &mut CacheDelta) {
        self.use_counter += 1;
        match self.last_used.insert(block, self.use_counter) {
            Some(last_use) => {
                self.by_last_use.remove(&last_use);
            }
            None => delta.stored.push(block),
        }
        self.by_last_use.insert(self.use_counter, block);
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.swap_remove(&oldest);
            delta.removed.push(oldest);
        }
    }

    fn cached_prefix_blocks(&self, blocks: &[u64]) -> u64 {
        let cached = blocks
            .iter()
            .take_while(|b| self.last_used.contains_key(*b));
        cached.count() as u64
    }
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub slots: usize,
    /// Factor applied to the duration of each step.
    pub slowness: f64,
    pub dead: bool,
    pub is_stepping: bool,
    queue: VecDeque<Job>,
    batch: Vec<Job>,
    cache: LruCache,
    /// Attempts and the number of their prompt tokens that the current step processes.
    chunks: Vec<(u64, u64)>,
}

impl Engine {
    pub fn new(slots: usize, cache_blocks: usize) -> Self {
        Self {
            slots,
            slowness: 1.0,
            dead: false,
            is_stepping: false,
            queue: VecDeque::new(),
            batch: Vec::new(),
            cache: LruCache {
                capacity: cache_blocks,
                last_used: IndexMap::new(),
                by_last_use: BTreeMap::new(),
                use_counter: 0,
            },
            chunks: Vec::new(),
        }
    }

    pub fn push(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    pub fn cancel(&mut self, attempt: u64) {
        self.queue.retain(|job| job.attempt != attempt);
        self.batch.retain(|job| job.attempt != attempt);
    }

    /// Stops the engine, clears its state and returns the attempts that it had.
    pub fn crash(&mut self) -> Vec<u64> {
        self.dead = true;
        self.cache.last_used.clear();
        self.cache.by_last_use.clear();
        let jobs = self.queue.drain(..).chain(self.batch.drain(..));
        jobs.map(|job| job.attempt).collect()
    }

    pub fn attempts(&self) -> Vec<u64> {
        let jobs = self.queue.iter().chain(&self.batch);
        jobs.map(|job| job.attempt).collect()
    }

    pub fn running(&self) -> u32 {
        self.batch.len() as u32
    }

    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    pub fn backlog(&self) -> u64 {
        let jobs = self.queue.iter().chain(&self.batch);
        jobs.map(|job| job.unprocessed).sum()
    }

    /// Starts a step and returns its duration, or `None` if there are no jobs.
    pub fn start_step(&mut self) -> Option<Duration> {
        while self.batch.len() < self.slots {
            let Some(mut job) = self.queue.pop_front() else {
                break;
            };
            let cached = self.cache.cached_prefix_blocks(&job.blocks) * BLOCK_TOKENS;
            job.cached = cached.min(job.prompt_tokens - 1);
            job.unprocessed = job.prompt_tokens - job.cached;
            self.batch.push(job);
        }
        if self.batch.is_empty() {
            return None;
        }
        let mut remaining = CHUNK_TOKENS;
        self.chunks.clear();
        for job in self.batch.iter().filter(|job| job.unprocessed > 0) {
            let chunk = job.unprocessed.min(remaining);
            remaining -= chunk;
            self.chunks.push((job.attempt, chunk));
        }
        let streams = self.batch.iter().filter(|job| job.unprocessed == 0).count();
        let step = STEP_BASE
            + STEP_STREAM * streams as u32
            + STEP_PROMPT_TOKEN * (CHUNK_TOKENS - remaining) as u32;
        Some(step.mul_f64(self.slowness))
    }

    /// Ends a step. Each job whose prompt is processed generates one token.
    pub fn end_step(&mut self) -> (Vec<Token>, CacheDelta) {
        let mut delta = CacheDelta::default();
        let mut tokens = Vec::new();
        for job in &mut self.batch {
            let chunk = self.chunks.iter().find(|chunk| chunk.0 == job.attempt);
            if let Some(&(_, chunk)) = chunk {
                job.unprocessed -= chunk;
                if job.unprocessed > 0 {
                    continue;
                }
                for &block in &job.blocks {
                    self.cache.touch(block, &mut delta);
                }
            } else if job.unprocessed > 0 {
                continue;
            }
            job.generated += 1;
            tokens.push(Token {
                attempt: job.attempt,
                first: job.generated == 1,
                last: job.generated >= job.answer_tokens,
                cached: job.cached,
                generated: job.generated,
            });
        }
        self.batch.retain(|job| job.generated < job.answer_tokens);
        (tokens, delta)
    }
}
