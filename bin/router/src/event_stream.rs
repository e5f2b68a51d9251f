//! Server-sent events of a chat answer, as engines send them.

use serde_json::Value;

/// Largest event that is accepted from an engine, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A part of the answer.
    Chunk(Value),
    /// The mark that the stream is complete.
    Done,
}

/// Why a stream of events can't be read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event is larger than is accepted.
    TooLarge,
    /// An event is not JSON.
    Malformed,
}

/// Cuts a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails if an event is too large or not JSON; the stream is of no more use.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<EngineEvent>, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|&b| b == b'\n') {
            let line = self.buffer[start..start + length].trim_ascii();
            if let Some(event) = read_line(line)? {
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

fn read_line(line: &[u8]) -> Result<Option<EngineEvent>, EventError> {
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

/// Writes a chunk as an event.
pub fn write_event(chunk: &Value) -> String {
    format!("data: {chunk}\n\n")
}

/// The mark that a stream is complete, as an event.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";
