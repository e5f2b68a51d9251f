//! Parsing and validation of chat requests.

use serde_json::Map;
use serde_json::Value;
use snipegate_types::ModelName;
use snipegate_types::ResultCode;
use snipegate_types::TokenCount;

use crate::refusal::RequestRefusal;

/// Maximum number of output tokens that a request may ask for.
pub const MAX_OUTPUT_TOKENS: u64 = 1_000_000;

/// Maximum number of tokens that an engine adds per message for its role and separators.
const TOKENS_PER_MESSAGE: u64 = 8;

/// Fields that are forwarded to the engine unchanged.
const FORWARDED_FIELDS: [&str; 20] = [
    "frequency_penalty",
    "logit_bias",
    "logprobs",
    "metadata",
    "n",
    "parallel_tool_calls",
    "presence_penalty",
    "response_format",
    "seed",
    "service_tier",
    "stop",
    "store",
    "stream_options",
    "temperature",
    "tool_choice",
    "tools",
    "top_k",
    "top_logprobs",
    "top_p",
    "user",
];

/// A validated chat request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    /// The requested model; `None` selects the profile's model.
    pub model: Option<ModelName>,
    /// The requested limit on output tokens, if any.
    pub max_output: Option<TokenCount>,
    /// Whether the caller requested a stream of server-sent events.
    pub stream: bool,
    /// Whether the caller requested a usage event at the end of the stream.
    pub include_usage: bool,
    /// Number of messages.
    pub messages: u64,
    /// The text of all messages, tools and response format in order, from which the size
    /// and the prefix hashes of the prompt are derived.
    pub prompt: String,
    body: Map<String, Value>,
}

fn malformed(message: impl Into<String>) -> RequestRefusal {
    RequestRefusal::not_run(ResultCode::MalformedBody, message)
}

fn invalid_count(field: &str, accepted: &str) -> RequestRefusal {
    RequestRefusal::not_run(
        ResultCode::TokenCountInvalid,
        format!("{field} must be {accepted}"),
    )
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Refuses a body that is malformed, has unknown fields or asks for a number of
    /// tokens that is out of range.
    pub fn parse(bytes: &[u8]) -> Result<Self, RequestRefusal> {
        let body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|error| malformed(format!("body is not a JSON object: {error}")))?;
        check_fields(&body)?;
        let stream = optional_bool(&body, "stream")?;
        let include_usage = match body.get("stream_options") {
            None | Some(Value::Null) => false,
            Some(Value::Object(options)) => optional_bool(options, "include_usage")?,
            Some(_) => return Err(malformed("stream_options must be an object")),
        };
        if !matches!(body.get("n").map(Value::as_u64), None | Some(Some(1))) {
            return Err(invalid_count("n", "1"));
        }
        let (messages, prompt) = read_messages(&body)?;
        Ok(Self {
            model: read_model(&body)?,
            max_output: read_max_output(&body)?,
            stream,
            include_usage,
            messages,
            prompt,
            body,
        })
    }

    /// Returns an upper bound on the number of prompt tokens, assuming at least
    /// `bytes_per_token` bytes per token on average.
    pub fn prompt_bound(&self, bytes_per_token: u32) -> TokenCount {
        let text = (self.prompt.len() as u64).div_ceil(u64::from(bytes_per_token.max(1)));
        TokenCount(text.saturating_add(self.messages.saturating_mul(TOKENS_PER_MESSAGE)))
    }

    /// Returns the request body for the engine, which always asks for a stream with usage.
    pub fn engine_body(&self, model: &ModelName, max_output: TokenCount) -> String {
        let mut body = self.body.clone();
        body.shift_remove("max_completion_tokens");
        body.insert("model".into(), model.as_str().into());
        body.insert("max_tokens".into(), max_output.0.into());
        body.insert("stream".into(), true.into());
        body.insert(
            "stream_options".into(),
            serde_json::json!({ "include_usage": true }),
        );
        Value::Object(body).to_string()
    }
}

fn check_fields(body: &Map<String, Value>) -> Result<(), RequestRefusal> {
    const PARSED_FIELDS: [&str; 5] = [
        "max_completion_tokens",
        "max_tokens",
        "messages",
        "model",
        "stream",
    ];
    let known = |name: &&String| {
        PARSED_FIELDS.contains(&name.as_str()) || FORWARDED_FIELDS.contains(&name.as_str())
    };
    match body.keys().find(|name| !known(name)) {
        Some(name) => Err(RequestRefusal::not_run(
            ResultCode::UnknownField,
            format!("field {name:?} is not known"),
        )),
        None => Ok(()),
    }
}

fn optional_bool(object: &Map<String, Value>, field: &str) -> Result<bool, RequestRefusal> {
    match object.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(malformed(format!("{field} must be true or false"))),
    }
}

fn read_model(body: &Map<String, Value>) -> Result<Option<ModelName>, RequestRefusal> {
    match body.get("model") {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(name)) => name
            .parse()
            .map(Some)
            .map_err(|error| malformed(format!("model: {error}"))),
        Some(_) => Err(malformed("model must be text")),
    }
}

fn read_max_output(body: &Map<String, Value>) -> Result<Option<TokenCount>, RequestRefusal> {
    let accepted = || format!("a whole number from 1 to {MAX_OUTPUT_TOKENS}");
    let mut limit = None;
    for field in ["max_tokens", "max_completion_tokens"] {
        let count = match body.get(field) {
            None | Some(Value::Null) => continue,
            Some(value) => value.as_u64(),
        };
        match count {
            Some(count) if (1..=MAX_OUTPUT_TOKENS).contains(&count) => {
                limit = Some(limit.map_or(count, |other: u64| other.min(count)));
            }
            _ => return Err(invalid_count(field, &accepted())),
        }
    }
    Ok(limit.map(TokenCount))
}

fn read_messages(body: &Map<String, Value>) -> Result<(u64, String), RequestRefusal> {
    let Some(Value::Array(messages)) = body.get("messages") else {
        return Err(malformed("messages must be an array"));
    };
    if messages.is_empty() {
        return Err(malformed("messages must not be empty"));
    }
    let mut prompt = String::new();
    for message in messages {
        let Some(role) = message.get("role").and_then(Value::as_str) else {
            return Err(malformed("each message needs a role"));
        };
        prompt.push_str(role);
        prompt.push('\n');
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            None | Some(Value::Null) => {}
            Some(parts @ Value::Array(_)) => prompt.push_str(&parts.to_string()),
            Some(_) => return Err(malformed("content must be text or an array")),
        }
        for extra in ["tool_calls", "name", "tool_call_id"] {
            if let Some(value) = message.get(extra) {
                prompt.push_str(&value.to_string());
            }
        }
        prompt.push('\n');
    }
    for tools in ["tools", "response_format"] {
        if let Some(value) = body.get(tools) {
            prompt.push_str(&value.to_string());
        }
    }
    Ok((messages.len() as u64, prompt))
}
