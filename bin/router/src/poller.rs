//! Polls model engines for their load and prefix-cache events.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::time::sleep;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snipegate_fleet::FleetView;
use snipegate_fleet::UpstreamKind;
use snipegate_routing::CacheEvent;
use snipegate_routing::LoadReport;
use snipegate_types::UpstreamId;

use crate::command::ControlCommand;
use crate::command::ControlHandle;
use crate::upstream_client::UpstreamClient;

/// Minimum interval between two polls of the same engine.
const MIN_ENGINE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between two polls of any engine.
///
/// It bounds the polling traffic of a router regardless of the number of engines. With
/// many engines, each is polled less often, and routing gives its older reports less
/// weight.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait for an engine's response head and for each part of its body.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct EngineLoad {
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    prefill_backlog: u64,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Deserialize)]
struct EngineEvents {
    events: Vec<CacheEvent>,
}

/// Polls engines one at a time.
pub struct LoadPoller {
    control: ControlHandle,
    client: UpstreamClient,
    views: tokio::sync::watch::Receiver<std::sync::Arc<FleetView>>,
    /// Sequence number of the last cache event received from each engine.
    last_sequences: HashMap<UpstreamId, u64>,
}

impl LoadPoller {
    /// Creates a poller of the engines in `views`.
    pub fn new(
        control: ControlHandle,
        views: tokio::sync::watch::Receiver<std::sync::Arc<FleetView>>,
    ) -> Self {
        Self {
            control,
            client: UpstreamClient::new(),
            views,
            last_sequences: HashMap::new(),
        }
    }

    /// Polls engines until the process exits.
    pub async fn run(mut self) {
        loop {
            let engines = self.list_engines();
            let interval = MIN_ENGINE_INTERVAL
                .checked_div(engines.len().max(1) as u32)
                .unwrap_or(MIN_ENGINE_INTERVAL)
                .max(MIN_POLL_INTERVAL);
            for (upstream, address) in &engines {
                self.poll(upstream, *address).await;
                sleep(interval).await;
            }
            if engines.is_empty() {
                sleep(MIN_ENGINE_INTERVAL).await;
            }
        }
    }

    fn list_engines(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let view = self.views.borrow();
        view.upstreams()
            .filter(|entry| entry.record.kind == UpstreamKind::ModelEngine)
            .map(|entry| (entry.id.clone(), entry.record.address))
            .collect()
    }

    async fn poll(&mut self, upstream: &UpstreamId, address: SocketAddr) {
        if let Some(load) = self.fetch::<EngineLoad>(address, "/load").await {
            self.control.send(ControlCommand::LoadReported {
                upstream: upstream.clone(),
                report: LoadReport {
                    running: load.running,
                    queued: load.queued,
                    prefill_backlog: snipegate_types::TokenCount(load.prefill_backlog),
                    age: Duration::from_millis(load.age_ms),
                },
            });
        }
        let after = self.last_sequences.get(upstream).copied().unwrap_or(0);
        let path = format!("/cache-events?after={after}");
        let events = self.fetch::<EngineEvents>(address, &path).await;
        let Some(EngineEvents { events }) = events else {
            return;
        };
        if let Some(last) = events.last() {
            self.last_sequences.insert(upstream.clone(), last.sequence);
            self.control.send(ControlCommand::CacheReported {
                upstream: upstream.clone(),
                events,
            });
        }
    }

    async fn fetch<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let mut response = self
            .client
            .fetch(address, path, REPORT_TIMEOUT)
            .await
            .ok()?;
        let body = response
            .read_all(REPORT_TIMEOUT, MAX_REPORT_BYTES)
            .await
            .ok()?;
        serde_json::from_slice(&body).ok()
    }
}
