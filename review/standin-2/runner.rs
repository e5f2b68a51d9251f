//! A stand-in for a runner of a plain service or of a model.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Receive buffer of a runner's connections, in bytes: links have small windows.
const RECEIVE_BUFFER: i32 = 65536;

/// Bytes that a runner which reads slowly takes at a time.
const SLOW_PART: usize = 50_000;

/// What reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub body_length: usize,
    pub at: Instant,
    /// When the whole answer was written.
    pub answered: Option<Instant>,
}

/// How a runner answers; returns whether the connection stays open.
pub type Behaviour = dyn Fn(&Runner, &Message, &mut Connection) -> bool + Send + Sync;

#[derive(Clone)]
pub struct Runner {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub leaving: Arc<AtomicBool>,
    /// Bytes per second that it reads of a body; 0 if it reads as fast as it can.
    pub read_rate: Arc<AtomicU64>,
    behaviour: Arc<Behaviour>,
}

impl Runner {
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        ip: &str,
        behaviour: impl Fn(&Runner, &Message, &mut Connection) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("runner address should be free");
        let size = RECEIVE_BUFFER;
        // SAFETY: the descriptor is open, and the value lives as long as the call.
        unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &size, 4) };
        let runner = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener
                .local_addr()
                .expect("listener should have an address"),
            arrivals: Arc::default(),
            leaving: Arc::default(),
            read_rate: Arc::default(),
            behaviour: Arc::new(behaviour),
        };
        let accepting = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = accepting.clone();
                thread::spawn(move || runner.serve(Connection::new(stream)));
            }
        });
        runner
    }

    /// Returns the entry that the runner writes in the store.
    pub fn entry(&self, state: &str, seq: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":6,"state":"{state}","coldLeftMs":0,"seq":{seq},"born":1760000000000}}"#,
            self.service, self.address, self.zone
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(mut request) = connection.read_head() {
            if request.path() == "/healthz" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                );
                if connection.write(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let expected = request.header("x-expect-instance");
            if !expected.is_empty() && expected != self.name {
                if connection.read_body(&mut request).is_err() {
                    return;
                }
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                );
                if connection.write(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.arrivals.lock().unwrap().push(Arrival {
                id: request.header("x-attempt-id").to_owned(),
                body_length: request.header("content-length").parse().unwrap_or(0),
                at: Instant::now(),
                answered: None,
            });
            if self.read_body(&mut request, &mut connection).is_err() {
                return;
            }
            if !(self.behaviour)(self, &request, &mut connection) {
                return;
            }
        }
    }

    fn read_body(&self, request: &mut Message, connection: &mut Connection) -> io::Result<()> {
        let rate = self.read_rate.load(Ordering::Relaxed);
        let length: usize = request.header("content-length").parse().unwrap_or(0);
        if rate == 0 || length <= SLOW_PART {
            return connection.read_body(request);
        }
        let mut left = length;
        while left > 0 {
            let part = left.min(SLOW_PART);
            connection.take(part)?;
            left -= part;
            thread::sleep(Duration::from_secs_f64(part as f64 / rate as f64));
        }
        Ok(())
    }

    /// Answers a request as a sound runner does.
    pub fn answer(&self, request: &Message, connection: &mut Connection, body: &str) -> bool {
        let id = request.header("x-attempt-id");
        let leaving = match self.leaving.load(Ordering::Relaxed) {
            true => "Server-Leaving: 1\r\nConnection: close\r\n",
            false => "",
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal.{}.{id}\r\n{leaving}Content-Length: {}\r\n\r\n{body}",
            self.name,
            body.len()
        );
        let is_written = connection.write(answer.as_bytes()).is_ok();
        if is_written {
            self.mark_answered(id);
        }
        is_written && leaving.is_empty()
    }

    pub fn mark_answered(&self, id: &str) {
        let mut arrivals = self.arrivals.lock().unwrap();
        if let Some(arrival) = arrivals.iter_mut().rev().find(|arrival| arrival.id == id) {
            arrival.answered = Some(Instant::now());
        }
    }

    /// Streams events as a sound model runner does; `stride` tokens an event.
    pub fn stream(
        &self,
        request: &Message,
        connection: &mut Connection,
        events: u64,
        pause: Duration,
    ) -> bool {
        let id = request.header("x-attempt-id").to_owned();
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal.{}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        let mut open = connection.write(head.as_bytes()).is_ok();
        let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
        for event in first..=events {
            thread::sleep(pause);
            let text = format!("id: {event}\ndata: {id}-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            open = open && connection.write(chunk.as_bytes()).is_ok();
            if !open {
                return false;
            }
        }
        let is_complete = connection.write(b"0\r\n\r\n").is_ok();
        if is_complete {
            self.mark_answered(&id);
        }
        is_complete
    }
}
