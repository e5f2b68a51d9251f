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
use hdrhistogram::Histogram;

/// Metrics of a process by name; a tag stands in the name as `name{tag}`.
///
/// Counters add up, gauges are set. Timings give two counters, `name.count` and
/// `name.sum_us`, and a histogram of which quantiles are shown.
#[derive(Clone, Debug)]
pub struct MetricRegistry {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<MetricTotals>>,
}

/// What the metrics of a process add up to.
#[derive(Debug, Default)]
struct MetricTotals {
    counters: BTreeMap<String, i64>,
    histograms: BTreeMap<String, Histogram<u64>>,
}

/// Quantiles of a histogram that are shown, and their names.
const SHOWN_QUANTILES: [(f64, &str); 4] = [(0.5, "p50"), (0.9, "p90"), (0.99, "p99"), (1.0, "max")];

/// Largest time that a histogram holds, in microseconds.
const MAX_TIMING_US: u64 = 600_000_000;

/// Sink that adds each metric line up and passes it on.
#[derive(Debug)]
struct TotalSink {
    totals: Arc<Mutex<MetricTotals>>,
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
                totals.counters.insert(name, value);
            }
            "h" => {
                let counters = &mut totals.counters;
                *counters.entry(format!("{name}.count")).or_default() += 1;
                *counters.entry(format!("{name}.sum_us")).or_default() += value;
                totals.record(name, value);
            }
            _ => *totals.counters.entry(name).or_default() += value,
        }
        Some(())
    }
}

impl MetricTotals {
    /// Adds a timing to its histogram; one that is too long counts as the longest.
    fn record(&mut self, name: String, value: i64) {
        let value = u64::try_from(value).unwrap_or_default();
        let histogram = self.histograms.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_TIMING_US, 2).expect("the bounds are constant")
        });
        histogram.saturating_record(value);
    }

    fn render(&self) -> String {
        let counters = self
            .counters
            .iter()
            .map(|(name, value)| format!("{name} {value}\n"));
        let quantiles = self.histograms.iter().flat_map(|(name, histogram)| {
            SHOWN_QUANTILES.iter().map(move |(quantile, label)| {
                let value = histogram.value_at_quantile(*quantile);
                format!("{name}.{label}_us {value}\n")
            })
        });
        counters.chain(quantiles).collect()
    }
}

impl MetricRegistry {
    /// Makes a registry whose names begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be had for `address`.
    pub fn new(prefix: &str, address: Option<SocketAddr>) -> io::Result<Self> {
        let totals: Arc<Mutex<MetricTotals>> = Arc::default();
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

    /// Writes every metric as a line `name value`: counters and gauges in order of
    /// name, then the quantiles of the histograms.
    pub fn render(&self) -> String {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.render()
    }
}
