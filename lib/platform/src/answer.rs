//! Conversions from a [`StoreAnswer`] to the answer type that a call expects.

use crate::call::StoreAnswer;
use crate::store::LeaseId;
use crate::store::StoreError;
use crate::store::StoreListing;
use crate::store::StoredValue;
use crate::store::SwapOutcome;
use crate::store::WatchBatch;

type StoreResult<T> = Result<T, StoreError>;

/// Returns the error for an answer that does not have the expected type.
fn into_error(answer: StoreAnswer) -> StoreError {
    match answer {
        StoreAnswer::ValueTooLarge { bytes } => StoreError::ValueTooLarge { bytes },
        StoreAnswer::LeaseLapsed => StoreError::LeaseExpired,
        _ => StoreError::InvalidReply,
    }
}

pub(crate) fn value(answer: StoreAnswer) -> StoreResult<Option<StoredValue>> {
    match answer {
        StoreAnswer::Value(value) => Ok(value),
        answer => Err(into_error(answer)),
    }
}

pub(crate) fn listing(answer: StoreAnswer) -> StoreResult<StoreListing> {
    match answer {
        StoreAnswer::Listing(listing) => Ok(listing),
        answer => Err(into_error(answer)),
    }
}

pub(crate) fn outcome(answer: StoreAnswer) -> StoreResult<SwapOutcome> {
    match answer {
        StoreAnswer::Outcome(outcome) => Ok(outcome),
        answer => Err(into_error(answer)),
    }
}

pub(crate) fn batch(answer: StoreAnswer) -> StoreResult<WatchBatch> {
    match answer {
        StoreAnswer::Batch(batch) => Ok(batch),
        answer => Err(into_error(answer)),
    }
}

pub(crate) fn lease(answer: StoreAnswer) -> StoreResult<LeaseId> {
    match answer {
        StoreAnswer::Lease(lease) => Ok(lease),
        answer => Err(into_error(answer)),
    }
}

pub(crate) fn kept(answer: StoreAnswer) -> StoreResult<()> {
    match answer {
        StoreAnswer::Kept => Ok(()),
        answer => Err(into_error(answer)),
    }
}
