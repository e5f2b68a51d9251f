//! Simulation of router escrows, a ledger shard and a faulty network in virtual time.
//!
//! [`EscrowWorld`] runs the escrows of several routers against the ledger of one shard.
//! All delays and faults are drawn from one seed, so a run can be reproduced exactly.
//! [`EscrowWorld::excess`] returns how many more tokens are allocated than purchased,
//! which must be zero at any time.

mod accounting;
mod keeper;
mod network;
mod node;
mod record;
mod world;

pub use network::NetworkFaults;
pub use node::NodeState;
pub use record::AttemptOutcome;
pub use record::AttemptRecord;
pub use record::WorldRecord;
pub use world::EscrowWorld;
pub use world::WorldRequest;
