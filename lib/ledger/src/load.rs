//! Reads a shard's log from the store.

use snipegate_platform::StoreError;
use snipegate_platform::StoreKey;
use snipegate_platform::StoreListing;
use snipegate_platform::StoredValue;
use snipegate_types::ShardId;

use crate::event::CallId;
use crate::event::KeeperEffect;
use crate::ledger::ShardLedger;
use crate::record::Segment;
use crate::record::SegmentError;
use crate::record::SegmentSequence;
use crate::record::segment_prefix;

/// How far a load has come.
#[derive(Debug)]
pub(crate) enum LoadProgress {
    /// The next call is to be made.
    Continue,
    /// The ledger is that of the whole log.
    Done(Box<ShardLedger>),
    /// The store failed.
    StoreFailed(StoreError),
    /// The log has a gap or a value that can't be understood; it may be
    /// changing right now, so reading it again can help.
    Unreadable,
}

/// Reads a shard's log from the store, one call at a time.
#[derive(Debug)]
pub(crate) struct ShardLoad {
    shard: ShardId,
    call: CallId,
    ledger: ShardLedger,
    after: Option<StoreKey>,
}

impl ShardLoad {
    pub(crate) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            call: CallId(0),
            ledger: ShardLedger::new(),
            after: None,
        }
    }

    pub(crate) fn is_waiting_for(&self, call: CallId) -> bool {
        self.call == call
    }

    pub(crate) fn start(&mut self, call: CallId) -> KeeperEffect {
        self.proceed(call)
    }

    /// Makes the next call.
    pub(crate) fn proceed(&mut self, call: CallId) -> KeeperEffect {
        self.call = call;
        KeeperEffect::List {
            call,
            prefix: segment_prefix(self.shard),
            after: self.after.clone(),
        }
    }

    pub(crate) fn end_read(
        &mut self,
        _result: Result<Option<StoredValue>, StoreError>,
    ) -> LoadProgress {
        LoadProgress::Continue
    }

    pub(crate) fn end_list(&mut self, result: Result<StoreListing, StoreError>) -> LoadProgress {
        let listing = match result {
            Ok(listing) => listing,
            Err(error) => return LoadProgress::StoreFailed(error),
        };
        if self.replay(&listing).is_err() {
            return LoadProgress::Unreadable;
        }
        match listing.more_after {
            Some(after) => {
                self.after = Some(after);
                LoadProgress::Continue
            }
            None => LoadProgress::Done(Box::new(std::mem::take(&mut self.ledger))),
        }
    }

    fn replay(&mut self, listing: &StoreListing) -> Result<(), SegmentError> {
        for (key, stored) in &listing.entries {
            let sequence = SegmentSequence::from_key(key);
            if sequence != Some(self.ledger.sequence().next()) {
                return Err(SegmentError::UnknownReference);
            }
            let segment = Segment::decode(&stored.value)?;
            let sequence = self.ledger.sequence().next();
            self.ledger.replay(sequence, &segment)?;
        }
        Ok(())
    }
}
