//! How long the body of a message is. Anything ambiguous is an error, so that
//! no body can be taken for another request or answer.

use std::error::Error;
use std::fmt;

use crate::head::AnswerHead;
use crate::head::HeaderList;
use crate::head::RequestHead;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

/// Why the length of a body can't be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// Both a length and a transfer coding are given.
    LengthAndCoding,
    /// The length is not one plain decimal number.
    BadLength,
    /// The transfer coding is other than `chunked`.
    BadCoding,
    /// A chunk does not follow the grammar.
    BadChunk,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FramingError::LengthAndCoding => write!(f, "both a length and a transfer coding"),
            FramingError::BadLength => write!(f, "content length is not one decimal number"),
            FramingError::BadCoding => write!(f, "transfer coding other than chunked"),
            FramingError::BadChunk => write!(f, "malformed chunk"),
        }
    }
}

impl Error for FramingError {}

/// Returns how the body of a request ends.
///
/// # Errors
///
/// Fails if two readers could disagree on where the body ends.
pub fn request_framing(head: &RequestHead) -> Result<BodyFraming, FramingError> {
    let framing = declared_framing(&head.headers)?;
    if framing == Some(BodyFraming::Chunked) && head.minor_version == 0 {
        return Err(FramingError::BadCoding);
    }
    Ok(framing.unwrap_or(BodyFraming::Empty))
}

/// Returns how the body of an answer to a request with `method` ends.
///
/// # Errors
///
/// Fails if two readers could disagree on where the body ends.
pub fn answer_framing(head: &AnswerHead, method: &str) -> Result<BodyFraming, FramingError> {
    let bodiless = method == "HEAD" || matches!(head.status, 100..200 | 204 | 304);
    let framing = declared_framing(&head.headers)?;
    if bodiless {
        return Ok(BodyFraming::Empty);
    }
    Ok(framing.unwrap_or(BodyFraming::UntilClose))
}

fn declared_framing(headers: &HeaderList) -> Result<Option<BodyFraming>, FramingError> {
    let length = declared_length(headers)?;
    if !headers.has("transfer-encoding") {
        return Ok(length.map(BodyFraming::Length));
    }
    if length.is_some() {
        return Err(FramingError::LengthAndCoding);
    }
    let mut codings = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
    match (codings.next(), codings.next()) {
        (Some((_, value)), None) if value.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyFraming::Chunked))
        }
        _ => Err(FramingError::BadCoding),
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
        return Err(FramingError::BadLength);
    }
    let text = std::str::from_utf8(value).map_err(|_| FramingError::BadLength)?;
    text.parse().map(Some).map_err(|_| FramingError::BadLength)
}
