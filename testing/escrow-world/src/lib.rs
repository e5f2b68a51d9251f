//! Escrows, a ledger and a faulty network in virtual time.
//!
//! [`EscrowWorld`] runs the pure decision code of several routers against one
//! shard's ledger. It draws every delay and fault from one seed, so that a run
//! is repeated exactly by its number, and checks after each event that no
//! token came from nowhere.

mod books;
mod keeper;
mod network;
mod node;
mod record;
mod world;

pub use network::NetworkFaults;
pub use node::NodeState;
pub use record::RequestFate;
pub use record::RequestRecord;
pub use record::WorldRecord;
pub use world::EscrowWorld;
pub use world::WorldRequest;
