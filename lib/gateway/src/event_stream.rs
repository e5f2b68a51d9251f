//! Cuts a stream of server-sent events at the ends of events.

use bytes::Bytes;
use bytes::BytesMut;

/// Most bytes of an event that has not ended yet.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Whole events, ready to be passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes of the events, as they came.
    pub bytes: Bytes,
    /// How many events carry data.
    pub events: u64,
    /// The id of the last event that has one.
    pub last_id: Option<Box<str>>,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventCutter {
    buffer: BytesMut,
    searched: usize,
}

impl EventCutter {
    /// Adds bytes and returns the events that are whole now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.buffer.extend_from_slice(bytes);
        let end = self.last_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Some(describe(bytes))
    }

    /// Tells whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Tells whether the unfinished event is larger than any should be.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Finds the end of the last empty line.
    fn last_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let mut end = None;
        let mut at = from;
        while at < self.buffer.len() {
            let rest = &self.buffer[at..];
            if rest.starts_with(b"\n\n") {
                end = Some(at + 2);
                at += 2;
            } else if rest.starts_with(b"\r\n\r\n") {
                end = Some(at + 4);
                at += 4;
            } else {
                at += 1;
            }
        }
        self.searched = self.buffer.len();
        end
    }
}

fn describe(bytes: Bytes) -> EventBatch {
    let mut events = 0;
    let mut in_data = false;
    let mut last_id = None;
    for line in bytes.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            events += u64::from(in_data);
            in_data = false;
        } else if line.starts_with(b"data") {
            in_data = true;
        } else if let Some(id) = line.strip_prefix(b"id:") {
            last_id = std::str::from_utf8(id).ok().map(|id| id.trim().into());
        }
    }
    EventBatch {
        bytes,
        events,
        last_id,
    }
}
