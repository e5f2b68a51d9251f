//! Request and response heads.

use std::error::Error;
use std::fmt;
use std::ops::RangeInclusive;

use bytes::BufMut;
use bytes::BytesMut;

/// Maximum number of header fields in a head.
const MAX_HEADERS: usize = 96;

/// Error of parsing a message head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head does not follow the HTTP/1 grammar.
    Malformed,
    /// The head has too many header fields.
    TooManyHeaders,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadError::Malformed => write!(f, "malformed message head"),
            HeadError::TooManyHeaders => write!(f, "more than {MAX_HEADERS} header fields"),
        }
    }
}

impl Error for HeadError {}

impl From<httparse::Error> for HeadError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => HeadError::TooManyHeaders,
            _ => HeadError::Malformed,
        }
    }
}

/// Header fields in the order received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<(Box<str>, Box<[u8]>)>,
}

impl HeaderList {
    /// Returns the first value of a field, or `None` if it is absent or not UTF-8.
    ///
    /// Names are case-insensitive, here and in the other methods.
    pub fn get(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns all values of a field that are valid UTF-8.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Returns whether a field is present, with any value.
    pub fn contains(&self, name: &str) -> bool {
        self.iter()
            .any(|(field, _)| field.eq_ignore_ascii_case(name))
    }

    /// Returns whether a comma-separated list field contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.fields.push((name.into(), value.as_ref().into()));
    }

    /// Returns the name and value of each field.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| (&**name, &**value))
    }

    fn write(&self, out: &mut BytesMut) {
        for (name, value) in self.iter() {
            out.put_slice(name.as_bytes());
            out.put_slice(b": ");
            out.put_slice(value);
            out.put_slice(b"\r\n");
        }
        out.put_slice(b"\r\n");
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let fields = parsed
            .iter()
            .map(|header| (header.name.into(), header.value.into()))
            .collect();
        Self { fields }
    }
}

/// A request head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, such as `GET`.
    pub method: Box<str>,
    /// The request target, as received: path and query.
    pub target: Box<str>,
    /// The minor version of HTTP/1: 0 or 1.
    pub minor_version: u8,
    /// The header fields.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Creates an HTTP/1.1 request head without header fields.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.into(),
            target: target.into(),
            minor_version: 1,
            headers: HeaderList::default(),
        }
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the first value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns whether the client wants the connection closed after the response.
    pub fn wants_close(&self) -> bool {
        self.headers.has_token("connection", "close")
            || (self.minor_version == 0 && !self.headers.has_token("connection", "keep-alive"))
    }

    /// Serializes the head in wire format, always as HTTP/1.1.
    pub fn write(&self, out: &mut BytesMut) {
        out.put_slice(self.method.as_bytes());
        out.put_slice(b" ");
        out.put_slice(self.target.as_bytes());
        out.put_slice(b" HTTP/1.1\r\n");
        self.headers.write(out);
    }
}

/// A response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: Box<str>,
    /// The minor version of HTTP/1: 0 or 1.
    pub minor_version: u8,
    /// The header fields.
    pub headers: HeaderList,
}

impl ResponseHead {
    /// Creates an HTTP/1.1 response head without header fields.
    pub fn new(status: u16, reason: &str) -> Self {
        Self {
            status,
            reason: reason.into(),
            minor_version: 1,
            headers: HeaderList::default(),
        }
    }

    /// Returns whether the server closes the connection after this response.
    pub fn will_close(&self) -> bool {
        self.headers.has_token("connection", "close")
            || (self.minor_version == 0 && !self.headers.has_token("connection", "keep-alive"))
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Serializes the head in wire format, always as HTTP/1.1.
    pub fn write(&self, out: &mut BytesMut) {
        out.put_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        self.headers.write(out);
    }
}

/// Parses a request head. Returns `None` while it is incomplete.
///
/// Otherwise returns the head and its length in bytes.
///
/// # Errors
///
/// Returns an error if the bytes are malformed or have too many header fields.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = request.parse(bytes)? else {
        return Ok(None);
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().into(),
        target: request.path.unwrap_or_default().into(),
        minor_version: request.version.unwrap_or(1),
        headers: HeaderList::from_parsed(request.headers),
    };
    Ok(Some((head, length)))
}

/// Status codes that a response may have.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Parses a response head. Returns `None` while it is incomplete.
///
/// Otherwise returns the head and its length in bytes.
///
/// # Errors
///
/// Returns an error if the bytes are malformed, the status code is none of [`STATUS_CODES`], or
/// there are too many header fields.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) = response.parse(bytes)? else {
        return Ok(None);
    };
    // The parser accepts any three digits, but other codes have no class that says what the
    // response means.
    let status = response
        .code
        .filter(|status| STATUS_CODES.contains(status))
        .ok_or(HeadError::Malformed)?;
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().into(),
        minor_version: response.version.unwrap_or(1),
        headers: HeaderList::from_parsed(response.headers),
    };
    Ok(Some((head, length)))
}
