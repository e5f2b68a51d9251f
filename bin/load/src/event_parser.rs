//! The events of a streamed answer.

use serde::Deserialize;

/// What an event of a streamed answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A part of the answer's text.
    Text(String),
    /// Prompt and answer tokens that are billed.
    Usage {
        /// Tokens of the prompt.
        prompt: u64,
        /// Of them, those that the engine had in its cache.
        cached: u64,
        /// Tokens of the answer.
        completion: u64,
    },
    /// The answer failed with this code.
    Failed(ErrorDetail),
    /// The answer is complete.
    Done,
}

/// The error of a refused or failed request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ErrorDetail {
    /// Its number.
    #[serde(default)]
    pub code: u16,
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// What became of the work: `ran`, `not_run` or `unknown`.
    #[serde(default)]
    pub run: String,
}

/// The body of a refusal.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// The usage in an answer.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct UsageBody {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
    /// More on the prompt.
    #[serde(default)]
    pub prompt_tokens_details: Option<PromptDetails>,
}

/// More on a prompt's tokens.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct PromptDetails {
    /// Tokens that the engine had in its cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl UsageBody {
    /// Returns the usage as an event.
    pub fn event(&self) -> StreamEvent {
        let details = self.prompt_tokens_details.as_ref();
        StreamEvent::Usage {
            prompt: self.prompt_tokens,
            cached: details.map_or(0, |details| details.cached_tokens),
            completion: self.completion_tokens,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<UsageBody>,
    #[serde(default)]
    error: Option<ErrorDetail>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Takes in bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let text = String::from_utf8_lossy(&line);
            if let Some(data) = text.trim().strip_prefix("data:") {
                events.extend(read_data(data.trim()));
            }
        }
        events
    }
}

fn read_data(data: &str) -> Vec<StreamEvent> {
    if data == "[DONE]" {
        return vec![StreamEvent::Done];
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return Vec::new();
    };
    if let Some(error) = chunk.error {
        return vec![StreamEvent::Failed(error)];
    }
    let texts = chunk
        .choices
        .into_iter()
        .filter_map(|choice| choice.delta.content)
        .filter(|text| !text.is_empty())
        .map(StreamEvent::Text);
    let usage = chunk.usage.map(|usage| usage.event());
    texts.chain(usage).collect()
}
