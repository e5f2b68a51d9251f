//! Assembles the chunks of a stream into one JSON response.

use serde_json::Value;
use serde_json::json;

use crate::relay::TokenUsage;

/// Builds a chat completion from the chunks of its stream.
#[derive(Debug, Default)]
pub struct AnswerBuilder {
    id: Value,
    model: Value,
    created: Value,
    role: Option<Value>,
    content: String,
    tool_calls: Vec<Value>,
    finish_reason: Value,
}

impl AnswerBuilder {
    /// Adds the next chunk of the stream.
    pub fn push(&mut self, chunk: &Value) {
        for (target, field) in [
            (&mut self.id, "id"),
            (&mut self.model, "model"),
            (&mut self.created, "created"),
        ] {
            if target.is_null()
                && let Some(value) = chunk.get(field)
            {
                *target = value.clone();
            }
        }
        let Some(choice) = chunk.get("choices").and_then(|choices| choices.get(0)) else {
            return;
        };
        if let Some(reason) = choice.get("finish_reason")
            && !reason.is_null()
        {
            self.finish_reason = reason.clone();
        }
        if let Some(delta) = choice.get("delta") {
            self.push_delta(delta);
        }
    }

    fn push_delta(&mut self, delta: &Value) {
        if let Some(role) = delta.get("role") {
            self.role = Some(role.clone());
        }
        if let Some(text) = delta.get("content").and_then(Value::as_str) {
            self.content.push_str(text);
        }
        if let Some(calls) = delta.get("tool_calls").and_then(Value::as_array) {
            calls.iter().for_each(|call| self.push_tool_call(call));
        }
    }

    /// Adds a fragment of a tool call, appending its arguments to those received before.
    fn push_tool_call(&mut self, fragment: &Value) {
        let index = fragment.get("index").and_then(Value::as_u64).unwrap_or(0);
        let existing = self
            .tool_calls
            .iter_mut()
            .find(|call| call.get("index").and_then(Value::as_u64) == Some(index));
        let Some(call) = existing else {
            self.tool_calls.push(fragment.clone());
            return;
        };
        if let Some(appended) = fragment
            .pointer("/function/arguments")
            .and_then(Value::as_str)
            && let Some(Value::String(arguments)) = call.pointer_mut("/function/arguments")
        {
            arguments.push_str(appended);
        }
    }

    /// Returns the chat completion with its token usage.
    pub fn build(self, usage: TokenUsage) -> Value {
        let mut message = json!({
            "role": self.role.unwrap_or_else(|| "assistant".into()),
            "content": self.content,
        });
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = self.tool_calls.into();
        }
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": message,
                "finish_reason": self.finish_reason,
            }],
            "usage": usage.to_value(),
        })
    }
}
