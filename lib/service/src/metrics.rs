//! Metrics by `cadence`, kept for reading over HTTP and sent over UDP if asked.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cadence::Counted;
use cadence::CountedExt;
use cadence::Gauged;
use cadence::Histogrammed;
use cadence::MetricSink;
use cadence::StatsdClient;

/// Metrics of a process by name; a tag stands in the name as `name{tag}`.
///
/// Counters and timings add up, gauges are set. Timings give two counters,
/// `name.count` and `name.sum_us`.
#[derive(Clone, Debug)]
pub struct MetricRegistry {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<BTreeMap<String, i64>>>,
}

/// Sink that adds each metric line up and passes it on.
#[derive(Debug)]
struct TotalSink {
    totals: Arc<Mutex<BTreeMap<String, i64>>>,
    socket: Option<(UdpSocket, SocketAddr)>,
}

impl MetricSink for TotalSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.add(metric);
        match &self.socket {
            Some((socket, address)) => socket.send_to(metric.as_bytes(), address),
            None => Ok(metric.len()),
        }
    }
}

impl TotalSink {
    /// Takes a line `name:value|kind` or `name:value|kind|#tag` apart.
    fn add(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let value: i64 = parts.next()?.parse().ok()?;
        let kind = parts.next()?;
        let name = match parts.next().and_then(|tags| tags.strip_prefix('#')) {
            Some(tag) => format!("{name}{{{tag}}}"),
            None => name.to_owned(),
        };
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "g" => {
                totals.insert(name, value);
            }
            "h" => {
                *totals.entry(format!("{name}.count")).or_default() += 1;
                *totals.entry(format!("{name}.sum_us")).or_default() += value;
            }
            _ => *totals.entry(name).or_default() += value,
        }
        Some(())
    }
}

impl MetricRegistry {
    /// Makes a registry whose names begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be had for `address`.
    pub fn new(prefix: &str, address: Option<SocketAddr>) -> io::Result<Self> {
        let totals = Arc::default();
        let socket = match address {
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                Some((socket, address))
            }
            None => None,
        };
        let sink = TotalSink {
            totals: Arc::clone(&totals),
            socket,
        };
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(prefix, sink)),
            totals,
        })
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Counts `number` events.
    pub fn count_many(&self, name: &str, number: i64) {
        let _ = self.client.count(name, number);
    }

    /// Counts one event for a reason.
    pub fn count_reason(&self, name: &str, reason: &str) {
        let _ = self
            .client
            .count_with_tags(name, 1)
            .with_tag_value(reason)
            .try_send();
    }

    /// Sets a gauge.
    pub fn set(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Adds a timing; it is sent as a histogram in microseconds.
    pub fn time(&self, name: &str, span: Duration) {
        let _ = self.client.histogram(name, span.as_micros() as u64);
    }

    /// Writes every metric as a line `name value`, in order of name.
    pub fn render(&self) -> String {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals
            .iter()
            .map(|(name, value)| format!("{name} {value}\n"))
            .collect()
    }
}
