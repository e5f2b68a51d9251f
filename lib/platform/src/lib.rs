//! The platform's services as interfaces, and the clients that reach them.

mod store;

pub use store::ConfigStore;
pub use store::ExpectedVersion;
pub use store::LeaseId;
pub use store::StoreChange;
pub use store::StoreError;
pub use store::StoreKey;
pub use store::StoreListing;
pub use store::StoreRevision;
pub use store::StoredValue;
pub use store::SwapOutcome;
pub use store::WatchBatch;
