//! Budget accounting of a router: grants, reservations, bills and token transfers.
//!
//! [`RouterEscrow`] is a state machine without clock, threads or I/O that holds the
//! state of one router incarnation. The embedding process passes in events and the
//! current time, and executes the [`EscrowEffect`]s that are returned.

mod batch;
mod bill;
mod claim;
mod copy;
mod counter;
mod demand;
mod effect;
mod escrow;
mod event;
mod fence;
mod grant;
mod holding;
mod message;
mod peer;
mod queue;
mod setting;
mod sweep;
mod timer;
mod transfer;

pub use claim::BudgetClaim;
pub use claim::BudgetRefusal;
pub use claim::ReservationId;
pub use claim::ReserveOutcome;
pub use counter::EscrowCounter;
pub use effect::EscrowEffect;
pub use escrow::BudgetView;
pub use escrow::EscrowState;
pub use escrow::RouterEscrow;
pub use event::BatchOutcome;
pub use event::EscrowEvent;
pub use message::BillCopy;
pub use message::EscrowMessage;
pub use message::TransferNote;
pub use peer::PeerEntry;
pub use queue::BatchId;
pub use setting::EscrowPolicy;
pub use setting::EscrowSettings;
