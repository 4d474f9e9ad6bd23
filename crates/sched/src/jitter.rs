//! What scatters the repeats of orders.

use std::hash::Hash;
use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

use crate::Run;
use crate::TaskId;

/// Returns what scatters the repeats of orders about a run: the core draws no random numbers of its own.
pub(crate) fn jitter_seed(task: TaskId, run: Run) -> u64 {
    let mut hasher = Xxh3::new();
    (task, run).hash(&mut hasher);
    hasher.finish()
}
