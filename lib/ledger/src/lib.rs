//! The budget ledger: a sharded log of segments in the configuration store.

mod operation;

pub use operation::CallOutcome;
pub use operation::LedgerAnswer;
pub use operation::LedgerBatch;
pub use operation::LedgerOperation;
pub use operation::OperationRefusal;
pub use operation::OperationResult;
