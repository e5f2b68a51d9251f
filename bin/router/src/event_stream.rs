//! Parsing and writing of the server-sent events of a chat completion.

use serde_json::Value;

/// Maximum size of an event from an engine, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event in an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A chunk of the answer.
    Chunk(Value),
    /// The `[DONE]` event, which marks the end of a complete stream.
    Done,
}

/// Why an event stream cannot be parsed further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the maximum size.
    TooLarge,
    /// The data of an event is not valid JSON.
    Malformed,
}

/// Incremental parser that splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Adds received bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large or not valid JSON. The reader cannot be used after an
    /// error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<EngineEvent>, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|&b| b == b'\n') {
            let line = self.buffer[start..start + length].trim_ascii();
            if let Some(event) = parse_line(line)? {
                events.push(event);
            }
            start += length + 1;
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(events)
    }
}

fn parse_line(line: &[u8]) -> Result<Option<EngineEvent>, EventError> {
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(None);
    };
    match data.trim_ascii() {
        b"[DONE]" => Ok(Some(EngineEvent::Done)),
        json => serde_json::from_slice(json)
            .map(|chunk| Some(EngineEvent::Chunk(chunk)))
            .map_err(|_| EventError::Malformed),
    }
}

/// Formats a chunk as a server-sent event.
pub fn write_event(chunk: &Value) -> String {
    format!("data: {chunk}\n\n")
}

/// The server-sent event that marks the end of a complete stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";
