//! One chat completion: waiting for a place, prefill, decoding, the end.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::fault::StreamCut;
use crate::prompt::PromptPlan;
use crate::record::WorkKind;
use crate::record::WorkState;
use crate::state::EngineState;

/// What the engine is asked to generate.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// The request id that came with it.
    pub request: String,
    /// What to answer.
    pub plan: PromptPlan,
    /// Most tokens of the answer.
    pub max_tokens: u64,
    /// First token that is wanted.
    pub resume_from: u64,
    /// The highest goes first.
    pub priority: i64,
}

/// The next thing that a generation yields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationStep {
    /// One more token.
    Token(String),
    /// All tokens are out.
    End,
    /// A fault closes the connection.
    Close,
}

/// A completion in progress; dropping it cancels it.
pub struct Generation {
    state: EngineState,
    plan: PromptPlan,
    number: usize,
    next: u64,
    end: u64,
    cut: Option<StreamCut>,
    cached_tokens: u64,
    place: oneshot::Receiver<()>,
    holds_place: bool,
}

impl Generation {
    /// Waits for a place and works through the prompt.
    pub async fn start(state: EngineState, request: GenerationRequest) -> Self {
        let key = request.plan.marker.clone();
        let (number, place, cut) = {
            let mut inner = state.lock();
            let number = inner.begin(
                WorkKind::Completion,
                &request.request,
                &key,
                request.resume_from,
            );
            let place = inner.slots.ask(request.priority);
            inner.report(Instant::now());
            (number, place, inner.plan.next_cut())
        };
        let end = request.plan.answer_tokens.min(request.max_tokens);
        let mut generation = Self {
            state,
            plan: request.plan,
            number,
            next: request.resume_from.min(end),
            end,
            cut,
            cached_tokens: 0,
            place,
            holds_place: false,
        };
        generation.holds_place = (&mut generation.place).await.is_ok();
        generation.prefill().await;
        generation
    }

    /// Returns the number of prompt tokens that were cached.
    pub fn cached_tokens(&self) -> u64 {
        self.cached_tokens
    }

    /// Returns the number of tokens in the whole answer.
    pub fn answer_tokens(&self) -> u64 {
        self.end
    }

    /// Returns what is to be answered.
    pub fn plan(&self) -> &PromptPlan {
        &self.plan
    }

    async fn prefill(&mut self) {
        let span = {
            let now = Instant::now();
            let mut inner = self.state.lock();
            let hits = inner.cache.admit(&self.plan.blocks, now) as u64;
            let blocks = self.plan.blocks.len().max(1) as u64;
            self.cached_tokens = self.plan.prompt_tokens * hits / blocks;
            inner.report(now);
            let tokens = self.plan.prompt_tokens - self.cached_tokens;
            let work = inner.settings.prefill * u32::try_from(tokens).unwrap_or(u32::MAX);
            inner.plan.stretch(work) + inner.plan.next_jitter()
        };
        sleep(span).await;
    }

    /// Generates the next token, in the time that the batch makes it take.
    pub async fn next(&mut self) -> GenerationStep {
        match self.cut {
            Some(StreamCut::Freeze(after)) if self.next >= after => std::future::pending().await,
            Some(StreamCut::Close(after)) if self.next >= after => return GenerationStep::Close,
            _ => {}
        }
        if self.next >= self.end {
            self.finish(WorkState::Complete);
            return GenerationStep::End;
        }
        sleep(self.token_time()).await;
        let token = self.plan.token(self.next);
        self.next += 1;
        self.state.lock().count_token(self.number);
        GenerationStep::Token(token)
    }

    fn token_time(&self) -> Duration {
        let inner = self.state.lock();
        let others = inner.slots.running().saturating_sub(1) as u32;
        let settings = &inner.settings;
        inner
            .plan
            .stretch(settings.decode + settings.decode_per_request * others)
    }

    fn finish(&mut self, work: WorkState) {
        let mut inner = self.state.lock();
        inner.end(self.number, work);
        // A place may have been given since the last look at the receiver.
        self.place.close();
        if std::mem::take(&mut self.holds_place) || self.place.try_recv().is_ok() {
            inner.slots.release();
        }
        inner.report(Instant::now());
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.finish(WorkState::Cancelled);
    }
}
