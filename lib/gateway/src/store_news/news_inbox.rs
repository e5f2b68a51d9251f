//! Decides when news of other VMs is applied and when the store has to be read instead.

use std::time::Duration;
use std::time::Instant;

use snipegate_platform::StoreChange;
use snipegate_platform::StoreRevision;

use crate::store_news::store_change_news::NewsValue;
use crate::store_news::store_change_news::StoreNews;

/// How long news that does not follow what is known waits for what is in between, before the
/// store is read. The news is sent three times in this time.
pub const NEWS_TIMEOUT: Duration = Duration::from_millis(150);

/// Period over which VMs that miss the same news read the store.
const READ_SPREAD: Duration = Duration::from_millis(300);

/// How long a VM waits with a current listing for a change whose content was omitted, after news
/// of it arrived. A listing that may be stale costs a tenth and is tried first.
const OMITTED_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest time between two current listings because of missing news. It limits the listings that a
/// wrong position announced by another VM causes.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of messages that are kept. If there are more, the store is read.
const MAX_PENDING: usize = 32;

/// What a follower of the store does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NewsStep {
    /// Applies changes; then all up to `through` are known.
    Apply {
        /// The changes, in order.
        changes: Vec<StoreChange>,
        /// The position after them.
        through: StoreRevision,
    },
    /// Reads the store by a listing that may be stale.
    ReadStale,
    /// Reads the store by a current listing.
    ReadCurrent,
    /// Waits for news, at most until then.
    Wait(Option<Instant>),
}

#[derive(Clone, Debug)]
struct PendingNews {
    news: StoreNews,
    received_at: Instant,
    /// Whether a listing that may be stale was read because of it.
    tried_stale: bool,
}

/// News of the changes under one prefix that has not been applied.
#[derive(Clone, Debug)]
pub struct NewsInbox {
    known: StoreRevision,
    pending: Vec<PendingNews>,
    last_read_at: Option<Instant>,
    /// Part of `READ_SPREAD` by which this VM defers its reads.
    delay: Duration,
}

impl NewsInbox {
    /// Creates an inbox of a VM that knows all changes up to `known`. `spread` is between 0 and
    /// 1 and differs between VMs.
    pub fn new(known: StoreRevision, spread: f64) -> Self {
        Self {
            known,
            pending: Vec::new(),
            last_read_at: None,
            delay: READ_SPREAD.mul_f64(spread),
        }
    }

    /// Records that all changes up to `known` are known.
    pub fn record_known(&mut self, known: StoreRevision) {
        self.known = self.known.max(known);
        let known = self.known;
        self.pending.retain(|pending| pending.news.through > known);
    }

    /// Records news. Returns whether it tells of something unknown and was not received before.
    pub fn record(&mut self, news: StoreNews, now: Instant) -> bool {
        let is_new = news.through > self.known
            && news.before.era == news.through.era
            && self.pending.iter().all(|pending| pending.news != news);
        if is_new && self.pending.len() < MAX_PENDING {
            self.pending.push(PendingNews {
                news,
                received_at: now,
                tried_stale: false,
            });
        }
        is_new
    }

    /// Returns what to do. Changes that are returned count as known.
    pub fn next_step(&mut self, now: Instant) -> NewsStep {
        if let Some((changes, through)) = self.take_next() {
            return NewsStep::Apply { changes, through };
        }
        let known = self.known;
        let mut next_due: Option<Instant> = None;
        let mut defer = |due: Instant| {
            next_due = Some(next_due.map_or(due, |earlier| earlier.min(due)));
        };
        let not_before = self.last_read_at.map(|at| at + MIN_READ_INTERVAL);
        let mut tries_stale = false;
        for pending in &mut self.pending {
            let is_omitted = follows(&pending.news, known);
            if is_omitted && !pending.tried_stale {
                let due = pending.received_at + self.delay;
                pending.tried_stale = due <= now;
                tries_stale |= due <= now;
                defer(due);
                continue;
            }
            let timeout = match is_omitted {
                true => OMITTED_TIMEOUT,
                false => NEWS_TIMEOUT,
            };
            let due = pending.received_at + timeout + self.delay;
            let due = not_before.map_or(due, |earliest| due.max(earliest));
            if due <= now {
                self.last_read_at = Some(now);
                return NewsStep::ReadCurrent;
            }
            defer(due);
        }
        match tries_stale {
            true => NewsStep::ReadStale,
            false => NewsStep::Wait(next_due),
        }
    }

    /// Takes the changes that follow what is known, if there are any whose content is known.
    pub fn take_next(&mut self) -> Option<(Vec<StoreChange>, StoreRevision)> {
        let known = self.known;
        let is_next = |pending: &PendingNews| {
            follows(&pending.news, known) && !pending.news.is_omitted_after(known)
        };
        let index = self.pending.iter().position(is_next)?;
        let news = self.pending.swap_remove(index).news;
        let through = news.through;
        let mut changes: Vec<StoreChange> = news
            .changes
            .into_iter()
            .filter(|change| change.revision > known)
            .map(|change| StoreChange {
                key: change.key,
                revision: change.revision,
                value: match change.value {
                    NewsValue::Written(value) => Some(value),
                    NewsValue::Removed | NewsValue::Omitted => None,
                },
            })
            .collect();
        changes.sort_by_key(|change| change.revision);
        self.record_known(through);
        Some((changes, through))
    }

    /// Returns whether a change is known whose content was omitted, so that hints of it need no
    /// listing of their own.
    pub fn awaits_omitted(&self) -> bool {
        self.pending
            .iter()
            .any(|pending| follows(&pending.news, self.known))
    }
}

/// Returns whether news continues what is known. Numbers of different eras are not comparable.
fn follows(news: &StoreNews, known: StoreRevision) -> bool {
    news.through.era == known.era && news.before <= known && known < news.through
}
