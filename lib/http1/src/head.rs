//! Heads of requests and answers.

use std::error::Error;
use std::fmt;

use bytes::BufMut;
use bytes::BytesMut;

/// Most header fields that a head may have.
const MAX_HEADERS: usize = 96;

/// Why bytes are not the head of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes do not follow the grammar.
    Malformed,
    /// There are more header fields than are accepted.
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

/// Header fields in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    fields: Vec<(Box<str>, Box<[u8]>)>,
}

impl HeaderList {
    /// Returns the first value of a field as text; names match in any case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns every value of a field that is text.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Tells whether a field is there, whatever its value.
    pub fn has(&self, name: &str) -> bool {
        self.iter()
            .any(|(field, _)| field.eq_ignore_ascii_case(name))
    }

    /// Tells whether a comma-separated field holds `token` in any case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Adds a field at the end.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.fields.push((name.into(), value.as_ref().into()));
    }

    /// Returns name and value of each field.
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

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, such as `GET`.
    pub method: Box<str>,
    /// Path and query as they were sent.
    pub target: Box<str>,
    /// 0 or 1: the minor version of HTTP/1.
    pub minor_version: u8,
    /// The header fields.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Makes the head of a request without header fields.
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

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Tells whether the sender wants the connection closed afterwards.
    pub fn wants_close(&self) -> bool {
        self.headers.has_token("connection", "close")
            || (self.minor_version == 0 && !self.headers.has_token("connection", "keep-alive"))
    }

    /// Writes the head as it goes over the wire.
    pub fn write(&self, out: &mut BytesMut) {
        out.put_slice(self.method.as_bytes());
        out.put_slice(b" ");
        out.put_slice(self.target.as_bytes());
        out.put_slice(b" HTTP/1.1\r\n");
        self.headers.write(out);
    }
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: Box<str>,
    /// 0 or 1: the minor version of HTTP/1.
    pub minor_version: u8,
    /// The header fields.
    pub headers: HeaderList,
}

impl AnswerHead {
    /// Makes the head of an answer without header fields.
    pub fn new(status: u16, reason: &str) -> Self {
        Self {
            status,
            reason: reason.into(),
            minor_version: 1,
            headers: HeaderList::default(),
        }
    }

    /// Tells whether the sender closes the connection after this answer.
    pub fn will_close(&self) -> bool {
        self.headers.has_token("connection", "close")
            || (self.minor_version == 0 && !self.headers.has_token("connection", "keep-alive"))
    }

    /// Tells whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Writes the head as it goes over the wire.
    pub fn write(&self, out: &mut BytesMut) {
        out.put_slice(format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).as_bytes());
        self.headers.write(out);
    }
}

/// Parses the head of a request; `None` while it is incomplete.
///
/// Returns the head and the number of bytes it takes.
///
/// # Errors
///
/// Fails if the bytes can't become a head.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
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

/// Parses the head of an answer; `None` while it is incomplete.
///
/// Returns the head and the number of bytes it takes.
///
/// # Errors
///
/// Fails if the bytes can't become a head.
pub fn parse_answer(bytes: &[u8]) -> Result<Option<(AnswerHead, usize)>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) = answer.parse(bytes)? else {
        return Ok(None);
    };
    let head = AnswerHead {
        status: answer.code.unwrap_or_default(),
        reason: answer.reason.unwrap_or_default().into(),
        minor_version: answer.version.unwrap_or(1),
        headers: HeaderList::from_parsed(answer.headers),
    };
    Ok(Some((head, length)))
}
