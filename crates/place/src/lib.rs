//! Placement decisions: capacity ledgers, the choice of a worker, and the owner's queue.

mod choose;
mod error;
mod index;
mod ledger;

pub use choose::Spread;
pub use error::GrantError;
pub use ledger::Grant;
pub use ledger::Ledger;
pub use ledger::Tier;
pub use ledger::WorkerInfo;
pub use ledger::WorkerKey;
