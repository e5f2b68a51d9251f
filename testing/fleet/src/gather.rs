//! Puts the upstreams' records and the ledger's log into the history.

use std::time::Instant;

use indexmap::IndexMap;
use ntex::time::sleep;
use snipegate_history::CheckLimits;
use snipegate_history::EventKind;
use snipegate_history::HistoryEvent;
use snipegate_history::HistorySummary;
use snipegate_history::LedgerLog;
use snipegate_history::Violation;
use snipegate_history::check_history;
use snipegate_ledger::Segment;
use snipegate_ledger::SegmentSequence;
use snipegate_platform::list_all;
use snipegate_standin_engine::WorkRecord;
use snipegate_types::RequestId;
use snipegate_types::ShardId;

use crate::fleet::PATIENCE;
use crate::fleet::POLL_PAUSE;
use crate::fleet::TestFleet;

/// Variable that names a file for the history, for a look at a failed run.
const HISTORY_FILE: &str = "SNIPEGATE_FLEET_HISTORY";

impl TestFleet {
    /// Gathers the whole history and checks it.
    ///
    /// # Panics
    ///
    /// Panics if the history breaks a requirement.
    pub async fn check(&self) -> HistorySummary {
        let (violations, summary) = self.find_violations().await;
        let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert!(lines.is_empty(), "{}\n{summary}", lines.join("\n"));
        println!("{summary}");
        summary
    }

    /// Gathers the whole history and returns what it breaks.
    ///
    /// Bills of answers that were given may still be on their way to the
    /// ledger, so they are waited for.
    pub async fn find_violations(&self) -> (Vec<Violation>, HistorySummary) {
        let start = Instant::now();
        loop {
            let events = self.gather().await;
            let violations = check_history(&events, &CheckLimits::default());
            let waits = violations
                .iter()
                .any(|found| matches!(found, Violation::AnswerUnbilled { .. }));
            if !waits || start.elapsed() > PATIENCE {
                write_history(&events);
                return (violations, HistorySummary::new(&events));
            }
            sleep(POLL_PAUSE).await;
        }
    }

    async fn gather(&self) -> Vec<HistoryEvent> {
        let mut events = self.recorder.events();
        for upstream in &self.upstreams {
            let body = self.operator.fetch(upstream.address, "/records").await;
            let records: Vec<WorkRecord> = body
                .and_then(|body| serde_json::from_slice(&body).ok())
                .expect("upstream tells what ran");
            events.extend(records.iter().map(work_event));
        }
        events.extend(self.read_ledger().await);
        events.sort_by_key(|event| event.at_us);
        events
    }

    async fn read_ledger(&self) -> Vec<HistoryEvent> {
        let listing = list_all(self.operator.store(), "shard/").await;
        let mut logs: IndexMap<ShardId, LedgerLog> = IndexMap::new();
        let mut events = Vec::new();
        for (key, stored) in listing.expect("store answers at the end").entries {
            let mut parts = key.split('/').skip(1);
            let (Some(shard), Some("segment")) = (parts.next(), parts.next()) else {
                continue;
            };
            let shard: ShardId = shard.parse().expect("key names a shard");
            let sequence = SegmentSequence::from_key(&key).expect("key names a segment");
            let segment = Segment::decode(&stored.value).expect("segment is readable");
            let log = logs.entry(shard).or_insert_with(|| LedgerLog::new(shard));
            let read = log.read(sequence.0, &segment, 0);
            events.extend(read.expect("log is whole"));
        }
        events
    }
}

fn work_event(record: &WorkRecord) -> HistoryEvent {
    // An id that is missing fits no request and is found as such.
    let request = record.request.parse().ok();
    let what = EventKind::Work {
        upstream: record.upstream.clone(),
        request: request.unwrap_or(RequestId::from_number(0)),
        started_us: record.started_ms * 1_000,
    };
    HistoryEvent {
        at_us: record.started_ms * 1_000,
        what,
    }
}

fn write_history(events: &[HistoryEvent]) {
    let Some(path) = std::env::var_os(HISTORY_FILE) else {
        return;
    };
    let lines: Vec<String> = events
        .iter()
        .map(|event| serde_json::to_string(event).expect("events are JSON"))
        .collect();
    std::fs::write(path, lines.join("\n")).expect("history file is written");
}
