//! Reads the load and cache events that engines report.

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

/// Shortest time between two reports of one engine.
const ENGINE_PERIOD: Duration = Duration::from_millis(500);

/// Shortest time between two reads of any engines.
///
/// Bounds a router's traffic however many engines there are; with many, each is
/// read less often and its reports count for less by their age.
const READ_PERIOD: Duration = Duration::from_millis(50);

/// How long an engine may take to report.
const REPORT_WAIT: Duration = Duration::from_millis(500);

/// Largest report, in bytes.
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

/// Reads engines one after the other, for as long as the process runs.
pub struct LoadPoller {
    control: ControlHandle,
    client: UpstreamClient,
    views: tokio::sync::watch::Receiver<std::sync::Arc<FleetView>>,
    sequences: HashMap<UpstreamId, u64>,
}

impl LoadPoller {
    /// Makes the poller.
    pub fn new(
        control: ControlHandle,
        views: tokio::sync::watch::Receiver<std::sync::Arc<FleetView>>,
    ) -> Self {
        Self {
            control,
            client: UpstreamClient::new(),
            views,
            sequences: HashMap::new(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let engines = self.engines();
            let pause = ENGINE_PERIOD
                .checked_div(engines.len().max(1) as u32)
                .unwrap_or(ENGINE_PERIOD)
                .max(READ_PERIOD);
            for (upstream, address) in &engines {
                self.read(upstream, *address).await;
                sleep(pause).await;
            }
            if engines.is_empty() {
                sleep(ENGINE_PERIOD).await;
            }
        }
    }

    fn engines(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let view = self.views.borrow();
        view.upstreams()
            .filter(|entry| entry.record.kind == UpstreamKind::ModelEngine)
            .map(|entry| (entry.id.clone(), entry.record.address))
            .collect()
    }

    async fn read(&mut self, upstream: &UpstreamId, address: SocketAddr) {
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
        let after = self.sequences.get(upstream).copied().unwrap_or(0);
        let path = format!("/cache-events?after={after}");
        let events = self.fetch::<EngineEvents>(address, &path).await;
        let Some(EngineEvents { events }) = events else {
            return;
        };
        if let Some(last) = events.last() {
            self.sequences.insert(upstream.clone(), last.sequence);
            self.control.send(ControlCommand::CacheReported {
                upstream: upstream.clone(),
                events,
            });
        }
    }

    async fn fetch<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let mut answer = self.client.fetch(address, path, REPORT_WAIT).await.ok()?;
        let body = answer.read_all(REPORT_WAIT, MAX_REPORT_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}
