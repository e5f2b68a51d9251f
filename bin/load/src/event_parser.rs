//! Parser for the server-sent events of a streamed response.

use serde::Deserialize;

/// Event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Part of the response text.
    Text(String),
    /// Billed prompt and completion tokens.
    Usage {
        /// Number of prompt tokens.
        prompt: u64,
        /// Number of prompt tokens found in the engine's cache.
        cached: u64,
        /// Number of completion tokens.
        completion: u64,
    },
    /// The request failed with this error.
    Failed(ErrorDetail),
    /// The response is complete.
    Done,
}

/// The error of a refused or failed request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ErrorDetail {
    /// Numeric result code.
    #[serde(default)]
    pub code: u16,
    /// Name of the result code.
    #[serde(default)]
    pub name: String,
    /// Whether the request was executed: `ran`, `not_run` or `unknown`.
    #[serde(default)]
    pub run: String,
}

/// Body of an error response.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorBody {
    /// Error of the request.
    pub error: ErrorDetail,
}

/// Token usage in a response body or event.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct UsageBody {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of completion tokens.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Breakdown of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: Option<PromptDetails>,
}

/// Breakdown of the prompt tokens.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct PromptDetails {
    /// Number of tokens found in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl UsageBody {
    /// Converts the usage to an event.
    pub fn to_event(&self) -> StreamEvent {
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

/// Incremental parser from a byte stream to events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let text = String::from_utf8_lossy(&line);
            if let Some(data) = text.trim().strip_prefix("data:") {
                events.extend(parse_data(data.trim()));
            }
        }
        events
    }
}

fn parse_data(data: &str) -> Vec<StreamEvent> {
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
    let usage = chunk.usage.map(|usage| usage.to_event());
    texts.chain(usage).collect()
}
