//! How long appends take at a store whose partitions take one at a time.

use std::collections::HashMap;

use syc_types::Millis;

/// A partition refuses an append where this much already waits.
const MAX_QUEUE_MS: u64 = 2_000;

/// What a partition says to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueuedAppend {
    /// It is carried out and answered then, also where nobody waits for the answer any more.
    DoneAt(Millis),
    /// It is refused at once, and nothing was done.
    Full,
}

/// The rows in which appends wait at the partitions of a topic.
#[derive(Debug, Clone)]
pub struct AppendQueues {
    /// Time that an append takes now.
    pub append_ms: u64,
    free_at: HashMap<u32, Millis>,
}

impl AppendQueues {
    /// Begins with nothing that waits.
    #[must_use]
    pub fn new(append_ms: u64) -> Self {
        Self {
            append_ms,
            free_at: HashMap::new(),
        }
    }

    /// Takes an append to a partition.
    pub fn append(&mut self, partition: u32, now: Millis) -> QueuedAppend {
        let free_at = self.free_at.entry(partition).or_insert(now);
        let begins_at = (*free_at).max(now);
        if begins_at.since(now) > MAX_QUEUE_MS {
            return QueuedAppend::Full;
        }
        *free_at = begins_at.plus(self.append_ms);
        QueuedAppend::DoneAt(*free_at)
    }
}
