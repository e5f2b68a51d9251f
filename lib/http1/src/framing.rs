//! Message body framing.
//!
//! Any ambiguity is an error. This prevents request smuggling, where one peer reads
//! part of a body as a separate request or response.

use std::error::Error;
use std::fmt;

use crate::head::HeaderList;
use crate::head::RequestHead;
use crate::head::ResponseHead;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses chunked transfer coding.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

/// Error of a body whose framing is invalid or ambiguous.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// Both `Content-Length` and `Transfer-Encoding` are present.
    ConflictingFraming,
    /// `Content-Length` is not a single decimal number, or the body exceeds a limit.
    InvalidLength,
    /// `Transfer-Encoding` is not exactly `chunked`, or an HTTP/1.0 request has it.
    UnsupportedCoding,
    /// A chunk or the trailer section is malformed or too long.
    InvalidChunk,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FramingError::ConflictingFraming => {
                write!(f, "both Content-Length and Transfer-Encoding present")
            }
            FramingError::InvalidLength => write!(f, "invalid body length"),
            FramingError::UnsupportedCoding => write!(f, "unsupported transfer coding"),
            FramingError::InvalidChunk => write!(f, "malformed chunked body"),
        }
    }
}

impl Error for FramingError {}

/// Returns the body framing of a request.
///
/// # Errors
///
/// Returns an error if two recipients could disagree on where the body ends.
pub fn request_framing(head: &RequestHead) -> Result<BodyFraming, FramingError> {
    let framing = declared_framing(&head.headers)?;
    if framing == Some(BodyFraming::Chunked) && head.minor_version == 0 {
        return Err(FramingError::UnsupportedCoding);
    }
    Ok(framing.unwrap_or(BodyFraming::Empty))
}

/// Returns the body framing of a response to a request with `method`.
///
/// # Errors
///
/// Returns an error if two recipients could disagree on where the body ends.
pub fn response_framing(head: &ResponseHead, method: &str) -> Result<BodyFraming, FramingError> {
    let has_no_body = method == "HEAD" || matches!(head.status, 100..200 | 204 | 304);
    let framing = declared_framing(&head.headers)?;
    if has_no_body {
        return Ok(BodyFraming::Empty);
    }
    Ok(framing.unwrap_or(BodyFraming::UntilClose))
}

fn declared_framing(headers: &HeaderList) -> Result<Option<BodyFraming>, FramingError> {
    let length = declared_length(headers)?;
    if !headers.contains("transfer-encoding") {
        return Ok(length.map(BodyFraming::Length));
    }
    if length.is_some() {
        return Err(FramingError::ConflictingFraming);
    }
    let mut codings = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
    match (codings.next(), codings.next()) {
        (Some((_, value)), None) if value.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        _ => Err(FramingError::UnsupportedCoding),
    }
}

fn declared_length(headers: &HeaderList) -> Result<Option<u64>, FramingError> {
    let mut values = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let Some((_, value)) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() || value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength);
    }
    let text = std::str::from_utf8(value).map_err(|_| FramingError::InvalidLength)?;
    text.parse()
        .map(Some)
        .map_err(|_| FramingError::InvalidLength)
}
