//! The writing side of a caller's connection.

use std::io::Write;

use bytes::BufMut;
use bytes::BytesMut;
use snipegate_http1::AnswerHead;
use snipegate_http1::write_all;
use tokio::net::TcpStream;

/// The caller went away or its connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// How far the answer to a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// Nothing was written.
    Unbegun,
    /// A stream was begun and not ended.
    Open,
    /// The answer is whole.
    Whole,
}

/// Writes the answer to one request.
pub struct CallerWriter<'a> {
    stream: &'a TcpStream,
    state: AnswerState,
    old_protocol: bool,
    /// Whether the connection closes after this answer.
    pub close: bool,
}

impl<'a> CallerWriter<'a> {
    /// Makes a writer; `old_protocol` stands for callers that take no chunks.
    pub fn new(stream: &'a TcpStream, close: bool, old_protocol: bool) -> Self {
        Self {
            stream,
            state: AnswerState::Unbegun,
            old_protocol,
            close: close || old_protocol,
        }
    }

    /// Returns how far the answer got.
    pub fn state(&self) -> AnswerState {
        self.state
    }

    /// Writes a whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub async fn answer(&mut self, mut head: AnswerHead, body: &[u8]) -> Result<(), CallerGone> {
        if !matches!(head.status, 204 | 304) {
            head.headers.push("Content-Length", body.len().to_string());
        }
        self.mark_close(&mut head);
        let mut out = BytesMut::with_capacity(512 + body.len());
        head.write(&mut out);
        out.put_slice(body);
        self.state = AnswerState::Open;
        self.write(&out).await?;
        self.state = AnswerState::Whole;
        Ok(())
    }

    /// Writes the head of a stream and its first bytes.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub async fn begin_stream(
        &mut self,
        mut head: AnswerHead,
        first: &[u8],
    ) -> Result<(), CallerGone> {
        if !self.old_protocol {
            head.headers.push("Transfer-Encoding", "chunked");
        }
        self.mark_close(&mut head);
        let mut out = BytesMut::with_capacity(512 + first.len());
        head.write(&mut out);
        self.put_chunk(&mut out, first);
        self.state = AnswerState::Open;
        self.write(&out).await
    }

    /// Writes more bytes of a stream.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub async fn pass_on(&mut self, bytes: &[u8]) -> Result<(), CallerGone> {
        let mut out = BytesMut::with_capacity(bytes.len() + 16);
        self.put_chunk(&mut out, bytes);
        self.write(&out).await
    }

    /// Ends a stream.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub async fn finish(&mut self) -> Result<(), CallerGone> {
        if !self.old_protocol {
            self.write(b"0\r\n\r\n").await?;
        }
        self.state = AnswerState::Whole;
        Ok(())
    }

    fn mark_close(&self, head: &mut AnswerHead) {
        if self.close {
            head.headers.push("Connection", "close");
        }
    }

    fn put_chunk(&self, out: &mut BytesMut, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.old_protocol {
            out.put_slice(bytes);
            return;
        }
        let mut line = out.writer();
        // Writing to memory does not fail.
        let _ = write!(line, "{:x}\r\n", bytes.len());
        let out = line.into_inner();
        out.put_slice(bytes);
        out.put_slice(b"\r\n");
    }

    async fn write(&self, bytes: &[u8]) -> Result<(), CallerGone> {
        write_all(self.stream, bytes).await.map_err(|_| CallerGone)
    }
}
