//! HTTP/1.1 messages over blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> &str {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection and the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

fn end() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 65536];
        match self.stream.read(&mut bytes)? {
            0 => Err(end()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads a head.
    pub fn read_head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Message {
                    first,
                    headers,
                    body: Vec::new(),
                });
            }
            self.fill()?;
        }
    }

    pub fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    pub fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the body of a message with a length or in chunks.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).map_err(|_| end())?;
                let mut part = self.take(size)?;
                message.body.append(&mut part);
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.take(length)?;
        Ok(())
    }

    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
