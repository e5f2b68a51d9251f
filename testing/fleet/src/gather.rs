//! Merges the upstreams' work records and the ledger log into the history and
//! checks it.

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

use crate::fleet::POLL_INTERVAL;
use crate::fleet::TestFleet;
use crate::fleet::WAIT_TIMEOUT;

/// Environment variable that names a file to which the history is written, for
/// analysis of failed runs.
const HISTORY_FILE_VARIABLE: &str = "SNIPEGATE_FLEET_HISTORY";

impl TestFleet {
    /// Collects the whole history and checks it.
    ///
    /// # Panics
    ///
    /// Panics if the history violates a requirement.
    pub async fn check(&self) -> HistorySummary {
        let (violations, summary) = self.find_violations().await;
        let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert!(lines.is_empty(), "{}\n{summary}", lines.join("\n"));
        println!("{summary}");
        summary
    }

    /// Collects the whole history and returns the violations.
    ///
    /// Bills reach the ledger after their answers, so the check is repeated while
    /// answers are unbilled, for up to [`WAIT_TIMEOUT`].
    pub async fn find_violations(&self) -> (Vec<Violation>, HistorySummary) {
        let start = Instant::now();
        loop {
            let events = self.collect_events().await;
            let violations = check_history(&events, &CheckLimits::default());
            let bills_pending = violations
                .iter()
                .any(|found| matches!(found, Violation::AnswerUnbilled { .. }));
            if !bills_pending || start.elapsed() > WAIT_TIMEOUT {
                write_history(&events);
                return (violations, HistorySummary::new(&events));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn collect_events(&self) -> Vec<HistoryEvent> {
        let mut events = self.recorder.events();
        for upstream in &self.upstreams {
            let body = self.operator.fetch(upstream.address, "/records").await;
            let records: Vec<WorkRecord> = body
                .and_then(|body| serde_json::from_slice(&body).ok())
                .expect("upstream returns its work records");
            events.extend(records.iter().map(work_event));
        }
        events.extend(self.read_ledger_events().await);
        events.sort_by_key(|event| event.at_us);
        events
    }

    async fn read_ledger_events(&self) -> Vec<HistoryEvent> {
        let listing = list_all(self.operator.store(), "shard/").await;
        let mut logs: IndexMap<ShardId, LedgerLog> = IndexMap::new();
        let mut events = Vec::new();
        for (key, stored) in listing.expect("store lists the shard keys").entries {
            let mut parts = key.split('/').skip(1);
            let (Some(shard), Some("segment")) = (parts.next(), parts.next()) else {
                continue;
            };
            let shard: ShardId = shard.parse().expect("key names a shard");
            let sequence = SegmentSequence::from_key(&key).expect("key names a segment");
            let segment = Segment::decode(&stored.value).expect("segment is readable");
            let log = logs.entry(shard).or_insert_with(|| LedgerLog::new(shard));
            let read = log.read(sequence.0, &segment, 0);
            events.extend(read.expect("log opens each budget before its use"));
        }
        events
    }
}

fn work_event(record: &WorkRecord) -> HistoryEvent {
    // Zero matches no request, so the checker reports work with a missing or
    // invalid ID.
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
    let Some(path) = std::env::var_os(HISTORY_FILE_VARIABLE) else {
        return;
    };
    let lines: Vec<String> = events
        .iter()
        .map(|event| serde_json::to_string(event).expect("events can be serialized"))
        .collect();
    std::fs::write(path, lines.join("\n")).expect("history file is writable");
}
