//! The budget ledger: a sharded log of segments in the configuration store.

mod decide;
mod event;
mod fence;
mod keeper;
mod ledger;
mod load;
mod operation;
mod pending;
mod recall;
mod record;
mod settings;

pub use event::BatchId;
pub use event::CallId;
pub use event::KeeperEffect;
pub use event::KeeperEvent;
pub use event::KeeperNotice;
pub use keeper::ShardKeeper;
pub use ledger::BudgetBalance;
pub use ledger::CallIntent;
pub use ledger::HolderState;
pub use ledger::ShardLedger;
pub use operation::CallOutcome;
pub use operation::LedgerAnswer;
pub use operation::LedgerBatch;
pub use operation::LedgerOperation;
pub use operation::OperationRefusal;
pub use operation::OperationResult;
pub use record::BudgetNumber;
pub use record::HolderNumber;
pub use record::Segment;
pub use record::SegmentError;
pub use record::SegmentRecord;
pub use record::SegmentSequence;
pub use record::segment_prefix;
pub use settings::KeeperSettings;
