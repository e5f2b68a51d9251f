//! What a VM that watches the store tells the other VMs, and when.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use snipegate_platform::StoreChange;
use snipegate_platform::StoreRevision;

use crate::store_news::store_change_news::NewsChange;
use crate::store_news::store_change_news::NewsValue;
use crate::store_news::store_change_news::StoreNews;

/// Maximum size of the keys and values of one message, in bytes. With the rest it fits one
/// packet, so that it is not lost with a fragment.
const MAX_CONTENT_BYTES: usize = 1200;

/// Maximum number of messages for one batch of changes. A larger batch is announced without
/// content: sent to all VMs, it would take the links of small ones for longer than listings do.
const MAX_PARTS: usize = 6;

/// Times after a change at which its news is sent. Three fall into the time after which a VM
/// that lacks the news reads the store.
const SEND_TIMES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(120),
    Duration::from_millis(600),
];

/// Interval at which the revision of the last change is sent.
const POSITION_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct OutgoingNews {
    news: StoreNews,
    published_at: Instant,
    times_sent: usize,
}

/// News that this VM sends.
#[derive(Debug, Default)]
pub struct NewsOutbox {
    outgoing: Vec<OutgoingNews>,
    /// Revision of the last change by the prefix that this VM watches.
    positions: IndexMap<Box<str>, StoreRevision>,
    positions_sent_at: Option<Instant>,
}

impl NewsOutbox {
    /// Publishes the changes under `prefix` after `before` up to and including `through`.
    pub fn publish(
        &mut self,
        prefix: &str,
        before: StoreRevision,
        through: StoreRevision,
        changes: &[StoreChange],
        now: Instant,
    ) {
        for news in split_changes(prefix, before, through, changes) {
            self.outgoing.push(OutgoingNews {
                news,
                published_at: now,
                times_sent: 0,
            });
        }
    }

    /// Sets the revision of the last change under `prefix`, which this VM watches. Returns
    /// whether it is another one than before.
    pub fn set_position(&mut self, prefix: &str, position: StoreRevision) -> bool {
        let is_new = self.positions.insert(prefix.into(), position) != Some(position);
        if is_new {
            self.positions_sent_at = None;
        }
        is_new
    }

    /// Records that this VM does not watch the prefix.
    pub fn clear_position(&mut self, prefix: &str) {
        self.positions.shift_remove(prefix);
    }

    /// Returns the messages to send now.
    pub fn take_due(&mut self, now: Instant) -> Vec<StoreNews> {
        let mut due = Vec::new();
        for outgoing in &mut self.outgoing {
            if outgoing.next_due().is_some_and(|at| at <= now) {
                outgoing.times_sent += 1;
                due.push(outgoing.news.clone());
            }
        }
        self.outgoing
            .retain(|outgoing| outgoing.next_due().is_some());
        let sends_positions = self
            .positions_sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= POSITION_INTERVAL);
        if sends_positions {
            self.positions_sent_at = Some(now);
            due.extend(self.positions.iter().map(|(prefix, &position)| StoreNews {
                prefix: prefix.clone(),
                before: position,
                through: position,
                changes: Vec::new(),
            }));
        }
        due
    }

    /// Returns when to send next.
    pub fn next_due(&self, now: Instant) -> Instant {
        let positions = self
            .positions_sent_at
            .map_or(now, |at| at + POSITION_INTERVAL);
        let news = self.outgoing.iter().filter_map(OutgoingNews::next_due);
        news.fold(positions, Instant::min)
    }
}

impl OutgoingNews {
    fn next_due(&self) -> Option<Instant> {
        let after = SEND_TIMES.get(self.times_sent)?;
        Some(self.published_at + *after)
    }
}

/// Splits a batch of changes into messages. Changes of one revision stay together.
fn split_changes(
    prefix: &str,
    before: StoreRevision,
    through: StoreRevision,
    changes: &[StoreChange],
) -> Vec<StoreNews> {
    let mut sorted: Vec<&StoreChange> = changes.iter().collect();
    sorted.sort_by_key(|change| change.revision);
    let mut parts: Vec<Vec<NewsChange>> = Vec::new();
    let mut size = 0;
    for group in sorted.chunk_by(|a, b| a.revision == b.revision) {
        let added: usize = group.iter().map(|change| content_bytes(change)).sum();
        let is_omitted = added > MAX_CONTENT_BYTES;
        let content = group.iter().map(|change| to_news(change, is_omitted));
        match parts.last_mut() {
            Some(part) if size + added <= MAX_CONTENT_BYTES => {
                part.extend(content);
                size += added;
            }
            _ => {
                parts.push(content.collect());
                size = added;
            }
        }
    }
    if parts.len() > MAX_PARTS {
        let omitted = sorted.last().map(|last| to_news(last, true));
        parts = vec![omitted.into_iter().collect()];
    }
    let count = parts.len();
    let mut before = before;
    let to_message = |(index, changes): (usize, Vec<NewsChange>)| {
        let last = changes.last().map_or(through, |change| change.revision);
        let end = if index + 1 == count { through } else { last };
        let news = StoreNews {
            prefix: prefix.into(),
            before,
            through: end,
            changes,
        };
        before = end;
        news
    };
    parts.into_iter().enumerate().map(to_message).collect()
}

fn content_bytes(change: &StoreChange) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, Vec::len)
}

fn to_news(change: &StoreChange, is_omitted: bool) -> NewsChange {
    NewsChange {
        key: change.key.clone(),
        revision: change.revision,
        value: match &change.value {
            _ if is_omitted => NewsValue::Omitted,
            Some(value) => NewsValue::Written(value.clone()),
            None => NewsValue::Removed,
        },
    }
}
