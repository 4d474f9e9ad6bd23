//! Deterministic jitter for retried orders.

use std::hash::Hash;
use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

use crate::Run;
use crate::TaskId;

/// Returns the seed for the retry jitter of orders about a run. It is derived from the run, since the core draws no
/// random numbers.
pub(crate) fn jitter_seed(task: TaskId, run: Run) -> u64 {
    let mut hasher = Xxh3::new();
    (task, run).hash(&mut hasher);
    hasher.finish()
}
