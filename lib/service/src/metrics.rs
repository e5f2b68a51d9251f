//! Metrics recorded with `cadence`, rendered as text for the HTTP metrics endpoint and
//! optionally sent to a StatsD server over UDP.

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

/// The metrics of a process, keyed by name. A tag is part of the name: `name{tag}`.
///
/// Counters accumulate, and gauges keep their last value. A timing updates two
/// counters, `name.count` and `name.sum_us`, and a histogram whose quantiles are
/// rendered.
#[derive(Clone, Debug)]
pub struct MetricRegistry {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<MetricTotals>>,
}

/// Aggregated values of the metrics of a process.
#[derive(Debug, Default)]
struct MetricTotals {
    /// Counters and gauges.
    values: BTreeMap<String, i64>,
    histograms: BTreeMap<String, Histogram<u64>>,
}

/// Rendered quantiles of a histogram and their labels.
const RENDERED_QUANTILES: [(f64, &str); 4] =
    [(0.5, "p50"), (0.9, "p90"), (0.99, "p99"), (1.0, "max")];

/// Maximum timing that a histogram can record, in microseconds.
const MAX_TIMING_US: u64 = 600_000_000;

/// A sink that aggregates each StatsD line and forwards it to the socket, if any.
#[derive(Debug)]
struct AggregatingSink {
    totals: Arc<Mutex<MetricTotals>>,
    socket: Option<(UdpSocket, SocketAddr)>,
}

impl MetricSink for AggregatingSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.aggregate(metric);
        match &self.socket {
            Some((socket, address)) => socket.send_to(metric.as_bytes(), address),
            None => Ok(metric.len()),
        }
    }
}

impl AggregatingSink {
    /// Parses and aggregates a line `name:value|kind` or `name:value|kind|#tag`.
    ///
    /// Returns `None` if the line is malformed.
    fn aggregate(&self, metric: &str) -> Option<()> {
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
                totals.values.insert(name, value);
            }
            "h" => {
                let values = &mut totals.values;
                *values.entry(format!("{name}.count")).or_default() += 1;
                *values.entry(format!("{name}.sum_us")).or_default() += value;
                totals.record_timing(name, value);
            }
            _ => *totals.values.entry(name).or_default() += value,
        }
        Some(())
    }
}

impl MetricTotals {
    /// Records a timing in its histogram, capped at [`MAX_TIMING_US`].
    fn record_timing(&mut self, name: String, value: i64) {
        let value = u64::try_from(value).unwrap_or_default();
        let histogram = self.histograms.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_TIMING_US, 2)
                .expect("constant histogram bounds should be valid")
        });
        histogram.saturating_record(value);
    }

    fn render(&self) -> String {
        let values = self
            .values
            .iter()
            .map(|(name, value)| format!("{name} {value}\n"));
        let quantiles = self.histograms.iter().flat_map(|(name, histogram)| {
            RENDERED_QUANTILES.iter().map(move |(quantile, label)| {
                let value = histogram.value_at_quantile(*quantile);
                format!("{name}.{label}_us {value}\n")
            })
        });
        values.chain(quantiles).collect()
    }
}

impl MetricRegistry {
    /// Creates a registry whose metric names are prefixed with `prefix`.
    ///
    /// Metrics are also sent to the StatsD server at `address`, if it is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket cannot be set up.
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
        let sink = AggregatingSink {
            totals: Arc::clone(&totals),
            socket,
        };
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(prefix, sink)),
            totals,
        })
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Adds `number` to a counter.
    pub fn add(&self, name: &str, number: i64) {
        let _ = self.client.count(name, number);
    }

    /// Increments a counter that is tagged with `tag`.
    pub fn count_tagged(&self, name: &str, tag: &str) {
        let _ = self
            .client
            .count_with_tags(name, 1)
            .with_tag_value(tag)
            .try_send();
    }

    /// Sets a gauge.
    pub fn set_gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a timing, which is sent as a histogram value in microseconds.
    pub fn record_timing(&self, name: &str, span: Duration) {
        let _ = self.client.histogram(name, span.as_micros() as u64);
    }

    /// Renders every metric as a line `name value`: counters and gauges sorted by name,
    /// followed by the histogram quantiles.
    pub fn render(&self) -> String {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        totals.render()
    }
}
