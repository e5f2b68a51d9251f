//! Just enough HTTP/1.1 for the stand-ins.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let row = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(&row.1)
}

pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Reads one request with a length, or none. `buffer` keeps what was read beyond it.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, buffer)?;
    let (first, headers) = parse_head(&head);
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let length = find(&headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    let body = buffer.drain(..length).collect();
    Some(Request { method, target, headers, body })
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        fill(stream, buffer)?;
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16 * 1024];
    let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&part[..count]);
    Some(())
}

fn parse_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    (first, headers)
}

pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> bool {
    let mut bytes = format!("HTTP/1.1 {status} Answer\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// A response as a client sees it.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub complete: bool,
}

/// Sends a request on a new connection and reads the response; none if there is no head of one.
pub fn exchange(address: SocketAddr, request: &str, body: &[u8], wait: Duration) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut bytes = request.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer)?;
    let (first, headers) = parse_head(&head);
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut response = Response { status, headers, body: Vec::new(), complete: false };
    let chunked = find(&response.headers, "transfer-encoding") == Some("chunked");
    let length: Option<usize> =
        find(&response.headers, "content-length").and_then(|text| text.parse().ok());
    if !chunked {
        let length = length.unwrap_or(0);
        while buffer.len() < length && fill(&mut stream, &mut buffer).is_some() {}
        response.complete = buffer.len() >= length;
        response.body = buffer;
        return Some(response);
    }
    loop {
        let Some(end) = buffer.windows(2).position(|bytes| bytes == b"\r\n") else {
            if fill(&mut stream, &mut buffer).is_none() {
                return Some(response);
            }
            continue;
        };
        let size = std::str::from_utf8(&buffer[..end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        while buffer.len() < end + 2 + size + 2 {
            if fill(&mut stream, &mut buffer).is_none() {
                return Some(response);
            }
        }
        response.body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            response.complete = true;
            return Some(response);
        }
    }
}
