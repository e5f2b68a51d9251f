//! A client connection that carries one exchange at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::body::BodyDecoder;
use crate::body::DecodeStep;
use crate::framing::FramingError;
use crate::framing::response_framing;
use crate::head::HeadError;
use crate::head::ResponseHead;
use crate::head::parse_response_head;
use crate::socket::read_available;
use crate::socket::write_all;
use crate::traffic::count_received;
use crate::traffic::count_sent;

/// Maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of interim (1xx) responses before a final response.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Error of an exchange that did not receive a complete response.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection failed before the socket accepted any byte of the request.
    NothingSent(io::Error),
    /// The connection failed after part of the request was sent.
    ConnectionFailed(io::Error),
    /// The server closed the connection before the response was complete.
    Closed,
    /// The response head is malformed or too large.
    InvalidHead(HeadError),
    /// The server sent too many interim responses.
    TooManyInterimResponses,
    /// The response body is malformed, ambiguously framed or too large.
    InvalidBody(FramingError),
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// The response head.
    pub head: ResponseHead,
    /// The decoded body.
    pub body: Bytes,
}

/// A client connection to a server.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    address: SocketAddr,
    /// When the last exchange ended, or when the connection was made if there was none.
    pub idle_since: Instant,
}

impl HttpConnection {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream, address: SocketAddr, now: Instant) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            address,
            idle_since: now,
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether an idle connection is open and has no unexpected input.
    pub fn is_reusable(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut probe = [0; 1];
        let result = self.stream.try_read(&mut probe);
        matches!(result, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request.
    ///
    /// Returns `Ok(false)` if a response starts before the whole request is sent. The
    /// rest is then not sent, and the connection can't be reused.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn send(&mut self, request: &[u8]) -> Result<bool, ExchangeError> {
        let mut sent = 0;
        let send_error = |sent, error| match sent {
            0 => ExchangeError::NothingSent(error),
            _ => ExchangeError::ConnectionFailed(error),
        };
        while sent < request.len() {
            match self.stream.try_write(&request[sent..]) {
                Ok(count) => {
                    count_sent(count);
                    sent += count;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    tokio::select! {
                        ready = self.stream.writable() => {
                            ready.map_err(|error| send_error(sent, error))?;
                        },
                        ready = self.stream.readable() => {
                            ready.map_err(|error| send_error(sent, error))?;
                            if sent > 0 && !self.try_read_would_block() {
                                return Ok(false);
                            }
                        }
                    }
                }
                Err(error) => return Err(send_error(sent, error)),
            }
        }
        Ok(true)
    }

    /// Reads without blocking and returns whether no input was available.
    ///
    /// Readiness can be reported spuriously, so a readable socket may have no input.
    fn try_read_would_block(&mut self) -> bool {
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(count) => {
                count_received(count);
                false
            }
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Sends bytes without checking for an early response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn send_unchecked(&self, bytes: &[u8]) -> Result<(), ExchangeError> {
        write_all(&self.stream, bytes)
            .await
            .map_err(|(_, error)| ExchangeError::ConnectionFailed(error))
    }

    /// Reads the head of the next final response and skips interim ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or the input is not a response head.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        let mut interim = 0;
        loop {
            if let Some((head, length)) =
                parse_response_head(&self.buffer).map_err(ExchangeError::InvalidHead)?
            {
                let _ = self.buffer.split_to(length);
                if !(100..200).contains(&head.status) {
                    return Ok(head);
                }
                interim += 1;
                if interim > MAX_INTERIM_RESPONSES {
                    return Err(ExchangeError::TooManyInterimResponses);
                }
                continue;
            }
            if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
                return Err(ExchangeError::InvalidHead(HeadError::Malformed));
            }
            if self.fill_buffer().await? == 0 {
                return Err(ExchangeError::Closed);
            }
        }
    }

    /// Reads the next part of a body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the body or the body is malformed.
    pub async fn read_body_part(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match decoder
                .decode(&mut self.buffer)
                .map_err(ExchangeError::InvalidBody)?
            {
                DecodeStep::Data(data) => return Ok(Some(data)),
                DecodeStep::End => return Ok(None),
                DecodeStep::NeedMore => {
                    if self.fill_buffer().await? == 0 {
                        return match decoder.ends_with_connection() {
                            true => Ok(None),
                            false => Err(ExchangeError::Closed),
                        };
                    }
                }
            }
        }
    }

    /// Reads one response with a body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response within the limit is received.
    pub async fn read_response(
        &mut self,
        method: &str,
        limit: usize,
    ) -> Result<FullResponse, ExchangeError> {
        let head = self.read_head().await?;
        let framing = response_framing(&head, method).map_err(ExchangeError::InvalidBody)?;
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BytesMut::new();
        while let Some(part) = self.read_body_part(&mut decoder).await? {
            body.extend_from_slice(&part);
            if body.len() > limit {
                return Err(ExchangeError::InvalidBody(FramingError::InvalidLength));
            }
        }
        Ok(FullResponse {
            head,
            body: body.freeze(),
        })
    }

    /// Records that an exchange ended and the connection is idle.
    pub fn mark_idle(&mut self, now: Instant) {
        self.idle_since = now;
    }

    async fn fill_buffer(&mut self) -> Result<usize, ExchangeError> {
        read_available(&self.stream, &mut self.buffer)
            .await
            .map_err(ExchangeError::ConnectionFailed)
    }
}
