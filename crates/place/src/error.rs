//! Errors of the ledger.

use syc_types::TaskRef;
use thiserror::Error;

/// Says why a grant was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum GrantError {
    /// The ledger has no such worker.
    #[error("no such worker")]
    NoWorker,
    /// The worker may not grant now.
    #[error("the worker is closed")]
    Closed,
    /// The worker has less room than is asked for.
    #[error("the worker has no room")]
    NoRoom,
    /// The task holds a grant already.
    #[error("task {0} holds a grant already")]
    Duplicate(TaskRef),
}
