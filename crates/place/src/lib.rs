//! Placement decisions: capacity ledgers and the choice of a worker.

mod error;
mod ledger;

pub use error::GrantError;
pub use ledger::Grant;
pub use ledger::Ledger;
pub use ledger::WorkerInfo;
pub use ledger::WorkerKey;
