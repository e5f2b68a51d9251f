//! Writes responses to a caller's connection.

use std::io::Write;

use bytes::BufMut;
use bytes::BytesMut;
use snipegate_http1::ResponseHead;
use snipegate_http1::write_all;
use tokio::net::TcpStream;

/// The caller closed the connection, or writing to it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

/// How much of the response to a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseState {
    /// Nothing was written.
    NotStarted,
    /// Writing has begun and the response is not complete.
    InProgress,
    /// The whole response was written.
    Complete,
}

/// Writes the response to one request.
pub struct CallerWriter<'a> {
    stream: &'a TcpStream,
    state: ResponseState,
    is_http10: bool,
    /// Whether the connection closes after this response.
    pub close: bool,
}

impl<'a> CallerWriter<'a> {
    /// Creates a writer; `is_http10` is set for HTTP/1.0 callers, which don't support
    /// chunked encoding.
    pub fn new(stream: &'a TcpStream, close: bool, is_http10: bool) -> Self {
        Self {
            stream,
            state: ResponseState::NotStarted,
            is_http10,
            close: close || is_http10,
        }
    }

    /// Returns how much of the response was written.
    pub fn state(&self) -> ResponseState {
        self.state
    }

    /// Writes a whole response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn write_response(
        &mut self,
        mut head: ResponseHead,
        body: &[u8],
    ) -> Result<(), CallerDisconnected> {
        if !matches!(head.status, 204 | 304) {
            head.headers.push("Content-Length", body.len().to_string());
        }
        self.push_close_header(&mut head);
        let mut out = BytesMut::with_capacity(512 + body.len());
        head.write(&mut out);
        out.put_slice(body);
        self.state = ResponseState::InProgress;
        self.write(&out).await?;
        self.state = ResponseState::Complete;
        Ok(())
    }

    /// Writes the head and the first bytes of a streamed response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn begin_stream(
        &mut self,
        mut head: ResponseHead,
        first: &[u8],
    ) -> Result<(), CallerDisconnected> {
        if !self.is_http10 {
            head.headers.push("Transfer-Encoding", "chunked");
        }
        self.push_close_header(&mut head);
        let mut out = BytesMut::with_capacity(512 + first.len());
        head.write(&mut out);
        self.put_chunk(&mut out, first);
        self.state = ResponseState::InProgress;
        self.write(&out).await
    }

    /// Writes more bytes of a streamed response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn write_chunk(&mut self, bytes: &[u8]) -> Result<(), CallerDisconnected> {
        let mut out = BytesMut::with_capacity(bytes.len() + 16);
        self.put_chunk(&mut out, bytes);
        self.write(&out).await
    }

    /// Ends a streamed response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn finish_stream(&mut self) -> Result<(), CallerDisconnected> {
        if !self.is_http10 {
            self.write(b"0\r\n\r\n").await?;
        }
        self.state = ResponseState::Complete;
        Ok(())
    }

    fn push_close_header(&self, head: &mut ResponseHead) {
        if self.close {
            head.headers.push("Connection", "close");
        }
    }

    fn put_chunk(&self, out: &mut BytesMut, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.is_http10 {
            out.put_slice(bytes);
            return;
        }
        let mut line = out.writer();
        // Writing to a `BytesMut` does not fail.
        let _ = write!(line, "{:x}\r\n", bytes.len());
        let out = line.into_inner();
        out.put_slice(bytes);
        out.put_slice(b"\r\n");
    }

    async fn write(&self, bytes: &[u8]) -> Result<(), CallerDisconnected> {
        write_all(self.stream, bytes)
            .await
            .map_err(|_| CallerDisconnected)
    }
}
