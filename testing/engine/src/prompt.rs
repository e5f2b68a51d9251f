//! Chat requests and the answers expected for them.

use std::hash::Hasher;

use serde::Deserialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;

/// Minimum answer length in tokens if the prompt requests none.
const MIN_ANSWER_TOKENS: u64 = 8;

/// Number of different answer lengths if the prompt requests none.
const ANSWER_TOKEN_SPREAD: u64 = 25;

/// Prefix of the prompt word that sets the answer length, as in `answer:40`.
const LENGTH_OPTION: &str = "answer:";

/// Prefix of the prompt word whose remainder is repeated in each answer token,
/// as in `marker:r17`.
const MARKER_OPTION: &str = "marker:";

/// Size of a prefix cache block in bytes of prompt text.
const BLOCK_BYTES: usize = 256;

/// The fields of a chat request that the stand-in uses.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatBody {
    /// The requested model.
    pub model: String,
    /// The messages.
    pub messages: Vec<ChatMessage>,
    /// Maximum length of the answer in tokens.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// Whether to stream the answer as events.
    #[serde(default)]
    pub stream: bool,
}

/// Chat message.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Content of the message.
    #[serde(default)]
    pub content: Value,
}

/// The answer expected for a prompt.
///
/// Each word counts as a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPlan {
    /// Text with which each answer token begins.
    pub marker: String,
    /// Digest of the whole prompt; its low 32 bits are part of each answer token.
    pub digest: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of answer tokens, unless the request sets a lower limit.
    pub answer_tokens: u64,
    /// Hashes of the full prompt blocks, each covering all text up to the end of
    /// its block.
    pub blocks: Vec<u64>,
}

impl ChatBody {
    /// Returns the text of all messages, each preceded by its role.
    pub fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push('\n');
            match &message.content {
                Value::String(text) => prompt.push_str(text),
                Value::Null => {}
                other => prompt.push_str(&other.to_string()),
            }
            prompt.push('\n');
        }
        prompt
    }
}

impl PromptPlan {
    /// Derives the expected answer of `model` to a prompt.
    pub fn new(model: &str, prompt: &str) -> Self {
        let digest = chained_hash(0, prompt.as_bytes());
        let last_option = |prefix: &str| {
            prompt
                .split_whitespace()
                .rev()
                .find_map(|word| word.strip_prefix(prefix))
        };
        Self {
            marker: last_option(MARKER_OPTION).unwrap_or("answer").to_owned(),
            digest,
            prompt_tokens: prompt.split_whitespace().count() as u64,
            answer_tokens: last_option(LENGTH_OPTION)
                .and_then(|text| text.parse().ok())
                .unwrap_or(MIN_ANSWER_TOKENS + digest % ANSWER_TOKEN_SPREAD),
            blocks: block_hashes(&format!("{model}//"), prompt.as_bytes()),
        }
    }

    /// Returns the answer token with the given zero-based index.
    pub fn token(&self, index: u64) -> String {
        format!("{}/{index}/{} ", self.marker, self.digest_text())
    }

    /// Returns the digest as formatted in answer tokens.
    pub fn digest_text(&self) -> String {
        format!("{:08x}", self.digest as u32)
    }

    /// Returns the first `tokens` tokens of the answer.
    pub fn answer(&self, tokens: u64) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

/// Hashes the full blocks of a prompt in the same way as the routers.
///
/// The `scope` separates the hashes of different models.
fn block_hashes(scope: &str, prompt: &[u8]) -> Vec<u64> {
    let mut previous = chained_hash(0, scope.as_bytes());
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            previous = chained_hash(previous, block);
            previous
        })
        .collect()
}

/// Hashes `bytes` together with the previous hash of the chain.
fn chained_hash(previous: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&previous.to_le_bytes());
    hasher.write(bytes);
    hasher.finish()
}
