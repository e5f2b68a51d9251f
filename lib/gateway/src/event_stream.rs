//! Splits a stream of server-sent events at event boundaries.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest incomplete event, in bytes, that is buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events, ready to be forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// The events as received.
    pub bytes: Bytes,
    /// Number of events with a data field.
    pub events: u64,
    /// Id of the last event that has one.
    pub last_id: Option<Box<str>>,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events completed by them, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.buffer.extend_from_slice(bytes);
        let end = self.find_last_boundary()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        Some(parse_events(bytes))
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the incomplete event exceeds the size limit.
    pub fn exceeds_limit(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the end of the last complete event; an empty line terminates an event.
    fn find_last_boundary(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
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
        self.scanned = self.buffer.len();
        end
    }
}

/// Counts the events with data in `bytes` and finds the last event id.
fn parse_events(bytes: Bytes) -> EventBatch {
    let mut events = 0;
    let mut in_data = false;
    let mut last_id = None;
    for line in bytes.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            events += u64::from(in_data);
            in_data = false;
        } else if line == b"data" || line.starts_with(b"data:") {
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
