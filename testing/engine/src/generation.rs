//! Simulates a chat completion: queueing for a slot, prefill and decoding.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::fault::StreamInterruption;
use crate::prompt::PromptPlan;
use crate::record::WorkKind;
use crate::record::WorkState;
use crate::state::EngineState;

/// Request for a chat completion.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// The request ID sent by the client.
    pub request_id: String,
    /// The expected answer.
    pub plan: PromptPlan,
    /// Maximum length of the answer in tokens.
    pub max_tokens: u64,
    /// Index of the first token to generate.
    pub resume_from: u64,
    /// Requests with a higher priority get a slot first.
    pub priority: i64,
}

/// Result of one generation step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationStep {
    /// The next token.
    Token(String),
    /// All tokens have been generated.
    End,
    /// An injected fault closes the connection.
    Close,
}

/// A completion in progress, which is cancelled when dropped.
pub struct Generation {
    state: EngineState,
    plan: PromptPlan,
    record_index: usize,
    next_token: u64,
    answer_tokens: u64,
    interruption: Option<StreamInterruption>,
    cached_tokens: u64,
    slot: oneshot::Receiver<()>,
    holds_slot: bool,
}

impl Generation {
    /// Waits for a slot and prefills the prompt.
    pub async fn start(state: EngineState, request: GenerationRequest) -> Self {
        let key = request.plan.marker.clone();
        let (record_index, slot, interruption) = {
            let mut inner = state.lock();
            let record_index = inner.record_start(
                WorkKind::Completion,
                &request.request_id,
                &key,
                request.resume_from,
            );
            let slot = inner.slots.acquire(request.priority);
            inner.record_load(Instant::now());
            (record_index, slot, inner.faults.next_interruption())
        };
        let answer_tokens = request.plan.answer_tokens.min(request.max_tokens);
        let mut generation = Self {
            state,
            plan: request.plan,
            record_index,
            next_token: request.resume_from.min(answer_tokens),
            answer_tokens,
            interruption,
            cached_tokens: 0,
            slot,
            holds_slot: false,
        };
        generation.holds_slot = (&mut generation.slot).await.is_ok();
        generation.prefill().await;
        generation
    }

    /// Returns the number of prompt tokens found in the cache.
    pub fn cached_tokens(&self) -> u64 {
        self.cached_tokens
    }

    /// Returns the length of the complete answer in tokens.
    pub fn answer_tokens(&self) -> u64 {
        self.answer_tokens
    }

    /// Returns the expected answer.
    pub fn plan(&self) -> &PromptPlan {
        &self.plan
    }

    async fn prefill(&mut self) {
        let duration = {
            let now = Instant::now();
            let mut inner = self.state.lock();
            let hits = inner.cache.admit(&self.plan.blocks, now) as u64;
            let blocks = self.plan.blocks.len().max(1) as u64;
            self.cached_tokens = self.plan.prompt_tokens * hits / blocks;
            inner.record_load(now);
            let tokens = self.plan.prompt_tokens - self.cached_tokens;
            let work = inner.settings.prefill * u32::try_from(tokens).unwrap_or(u32::MAX);
            inner.faults.scale_duration(work) + inner.faults.next_jitter()
        };
        sleep(duration).await;
    }

    /// Generates the next token, taking longer the more requests share the batch.
    pub async fn next(&mut self) -> GenerationStep {
        match self.interruption {
            Some(StreamInterruption::Freeze(after)) if self.next_token >= after => {
                std::future::pending().await
            }
            Some(StreamInterruption::Close(after)) if self.next_token >= after => {
                return GenerationStep::Close;
            }
            _ => {}
        }
        if self.next_token >= self.answer_tokens {
            self.finish(WorkState::Complete);
            return GenerationStep::End;
        }
        sleep(self.token_time()).await;
        let token = self.plan.token(self.next_token);
        self.next_token += 1;
        self.state.lock().record_token(self.record_index);
        GenerationStep::Token(token)
    }

    /// Returns the time to decode a token in the current batch.
    fn token_time(&self) -> Duration {
        let inner = self.state.lock();
        let others = inner.slots.running().saturating_sub(1) as u32;
        let settings = &inner.settings;
        inner
            .faults
            .scale_duration(settings.decode + settings.decode_per_request * others)
    }

    /// Records the final state and releases the slot.
    fn finish(&mut self, work_state: WorkState) {
        let mut inner = self.state.lock();
        inner.record_end(self.record_index, work_state);
        // A slot may have been granted after the receiver was last polled.
        self.slot.close();
        if std::mem::take(&mut self.holds_slot) || self.slot.try_recv().is_ok() {
            inner.slots.release();
        }
        inner.record_load(Instant::now());
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.finish(WorkState::Cancelled);
    }
}
