//! Incremental decoder for message bodies.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::framing::BodyFraming;
use crate::framing::FramingError;

/// Maximum length of a chunk-size, chunk-end or trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum number of trailer fields.
const MAX_TRAILER_FIELDS: u32 = 64;

/// Result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// A part of the body.
    Data(Bytes),
    /// More input from the connection is needed.
    NeedMore,
    /// The body is complete.
    End,
}

/// Decodes one message body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    /// Within a body of known length; holds the number of bytes remaining.
    Length(u64),
    /// Before a chunk-size line.
    ChunkLine,
    /// Within chunk data; holds the number of bytes remaining.
    Chunk(u64),
    /// Before the line break after chunk data.
    ChunkEnd,
    /// Within the trailer section; holds the number of fields read.
    Trailer(u32),
    /// Within a body that ends when the connection closes.
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkLine,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body ends when the connection closes.
    pub fn ends_with_connection(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Decodes the next part of the body and removes it from the front of `buffer`.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk or the trailer section is malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<DecodeStep, FramingError> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(DecodeStep::End),
                DecoderState::UntilClose => return Ok(take_all(buffer)),
                DecoderState::Length(remaining) => {
                    return Ok(self.take_up_to(
                        buffer,
                        remaining,
                        DecoderState::Length,
                        DecoderState::Done,
                    ));
                }
                DecoderState::Chunk(remaining) => {
                    return Ok(self.take_up_to(
                        buffer,
                        remaining,
                        DecoderState::Chunk,
                        DecoderState::ChunkEnd,
                    ));
                }
                DecoderState::ChunkLine => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(DecodeStep::NeedMore);
                    };
                    self.state = match parse_chunk_size(&line)? {
                        0 => DecoderState::Trailer(0),
                        size => DecoderState::Chunk(size),
                    };
                }
                DecoderState::ChunkEnd => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(DecodeStep::NeedMore);
                    };
                    if !line.is_empty() {
                        return Err(FramingError::InvalidChunk);
                    }
                    self.state = DecoderState::ChunkLine;
                }
                DecoderState::Trailer(fields) => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(DecodeStep::NeedMore);
                    };
                    self.state = match line.is_empty() {
                        true => DecoderState::Done,
                        false if fields < MAX_TRAILER_FIELDS => DecoderState::Trailer(fields + 1),
                        false => return Err(FramingError::InvalidChunk),
                    };
                }
            }
        }
    }

    /// Takes at most `remaining` bytes, and enters state `next` once none remain.
    fn take_up_to(
        &mut self,
        buffer: &mut BytesMut,
        remaining: u64,
        current: fn(u64) -> DecoderState,
        next: DecoderState,
    ) -> DecodeStep {
        if buffer.is_empty() {
            return DecodeStep::NeedMore;
        }
        let size = usize::try_from(remaining)
            .map_or(buffer.len(), |remaining| remaining.min(buffer.len()));
        let remaining = remaining - size as u64;
        self.state = if remaining == 0 {
            next
        } else {
            current(remaining)
        };
        DecodeStep::Data(buffer.split_to(size).freeze())
    }
}

fn take_all(buffer: &mut BytesMut) -> DecodeStep {
    if buffer.is_empty() {
        DecodeStep::NeedMore
    } else {
        DecodeStep::Data(buffer.split().freeze())
    }
}

/// Removes one line from `buffer` and returns it without its CRLF.
///
/// Returns `None` if the line is incomplete. A line that ends in a bare LF is an error.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, FramingError> {
    let Some(end) = buffer.iter().position(|&byte| byte == b'\n') else {
        if buffer.len() > MAX_CHUNK_LINE_BYTES {
            return Err(FramingError::InvalidChunk);
        }
        return Ok(None);
    };
    if end == 0 || buffer[end - 1] != b'\r' || end > MAX_CHUNK_LINE_BYTES {
        return Err(FramingError::InvalidChunk);
    }
    let line = buffer.split_to(end - 1);
    buffer.advance(2);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, FramingError> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| FramingError::InvalidChunk)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(FramingError::InvalidChunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| FramingError::InvalidChunk)
}
