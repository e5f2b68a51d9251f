//! Chat requests and the answers that they must get.

use std::hash::Hasher;

use serde::Deserialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;

/// Answer length where the prompt asks for none, at least.
const MIN_ANSWER_TOKENS: u64 = 8;

/// Spread of the answer length where the prompt asks for none.
const ANSWER_TOKEN_SPREAD: u64 = 25;

/// Word of a prompt that sets the answer's length: `answer:40`.
const LENGTH_PREFIX: &str = "answer:";

/// Word of a prompt that the answer repeats in each token: `marker:r17`.
const MARKER_PREFIX: &str = "marker:";

/// Bytes of prompt text in one block of the prefix cache.
const BLOCK_BYTES: usize = 256;

/// The fields of a chat request that the stand-in reads.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatBody {
    /// The model asked for.
    pub model: String,
    /// The messages.
    pub messages: Vec<ChatMessage>,
    /// Most tokens of the answer.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// Whether the answer is a stream of events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Who says it.
    pub role: String,
    /// What is said.
    #[serde(default)]
    pub content: Value,
}

/// What an engine makes of a prompt: a token is a word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPlan {
    /// The word that each token of the answer repeats.
    pub marker: String,
    /// Digest of the whole prompt, also in each token.
    pub digest: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer, unless fewer are allowed.
    pub answer_tokens: u64,
    /// Hashes of the prompt's blocks, each over all text before it.
    pub blocks: Vec<u64>,
}

impl ChatBody {
    /// Returns the text of all messages, each with its role.
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
    /// Reads the prompt of `model`.
    pub fn new(model: &str, prompt: &str) -> Self {
        let digest = chain(0, prompt.as_bytes());
        let word = |prefix: &str| {
            prompt
                .split_whitespace()
                .rev()
                .find_map(|word| word.strip_prefix(prefix))
        };
        Self {
            marker: word(MARKER_PREFIX).unwrap_or("answer").to_owned(),
            digest,
            prompt_tokens: prompt.split_whitespace().count() as u64,
            answer_tokens: word(LENGTH_PREFIX)
                .and_then(|text| text.parse().ok())
                .unwrap_or(MIN_ANSWER_TOKENS + digest % ANSWER_TOKEN_SPREAD),
            blocks: block_hashes(&format!("{model}//"), prompt.as_bytes()),
        }
    }

    /// Returns the answer's token with this index, from 0.
    pub fn token(&self, index: u64) -> String {
        format!("{}/{index}/{} ", self.marker, self.digest_text())
    }

    /// Returns the digest as tokens show it.
    pub fn digest_text(&self) -> String {
        format!("{:08x}", self.digest as u32)
    }

    /// Returns the first `tokens` tokens of the answer.
    pub fn answer(&self, tokens: u64) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

/// Hashes the full blocks of a prompt as routers do; `scope` keeps models apart.
fn block_hashes(scope: &str, prompt: &[u8]) -> Vec<u64> {
    let mut last = chain(0, scope.as_bytes());
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            last = chain(last, block);
            last
        })
        .collect()
}

fn chain(last: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&last.to_le_bytes());
    hasher.write(bytes);
    hasher.finish()
}
