//! Takes the expected answer out of a [`StoreAnswer`].

use crate::call::StoreAnswer;
use crate::store::LeaseId;
use crate::store::StoreError;
use crate::store::StoreListing;
use crate::store::StoredValue;
use crate::store::SwapOutcome;
use crate::store::WatchBatch;

type StoreResult<T> = Result<T, StoreError>;

fn other<T>(answer: StoreAnswer) -> StoreResult<T> {
    match answer {
        StoreAnswer::ValueTooLarge { bytes } => Err(StoreError::ValueTooLarge { bytes }),
        StoreAnswer::LeaseLapsed => Err(StoreError::LeaseLapsed),
        _ => Err(StoreError::BadReply),
    }
}

pub(crate) fn value(answer: StoreAnswer) -> StoreResult<Option<StoredValue>> {
    match answer {
        StoreAnswer::Value(value) => Ok(value),
        answer => other(answer),
    }
}

pub(crate) fn listing(answer: StoreAnswer) -> StoreResult<StoreListing> {
    match answer {
        StoreAnswer::Listing(listing) => Ok(listing),
        answer => other(answer),
    }
}

pub(crate) fn outcome(answer: StoreAnswer) -> StoreResult<SwapOutcome> {
    match answer {
        StoreAnswer::Outcome(outcome) => Ok(outcome),
        answer => other(answer),
    }
}

pub(crate) fn batch(answer: StoreAnswer) -> StoreResult<WatchBatch> {
    match answer {
        StoreAnswer::Batch(batch) => Ok(batch),
        answer => other(answer),
    }
}

pub(crate) fn lease(answer: StoreAnswer) -> StoreResult<LeaseId> {
    match answer {
        StoreAnswer::Lease(lease) => Ok(lease),
        answer => other(answer),
    }
}

pub(crate) fn kept(answer: StoreAnswer) -> StoreResult<()> {
    match answer {
        StoreAnswer::Kept => Ok(()),
        answer => other(answer),
    }
}
