//! Model of the append latency of a store whose partitions handle one append at a time.

use std::collections::HashMap;

use syc_types::Millis;

/// A partition refuses appends while its queued appends take longer than this.
const MAX_QUEUE_MS: u64 = 2_000;

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueuedAppend {
    /// The append completes at this time, even if the caller no longer waits for the answer.
    DoneAt(Millis),
    /// The queue is full. The append is refused at once and has no effect.
    Full,
}

/// Append queues of the partitions of a topic.
#[derive(Debug, Clone)]
pub struct AppendQueues {
    /// Current duration of an append.
    pub append_ms: u64,
    free_at: HashMap<u32, Millis>,
}

impl AppendQueues {
    /// Creates empty queues.
    #[must_use]
    pub fn new(append_ms: u64) -> Self {
        Self {
            append_ms,
            free_at: HashMap::new(),
        }
    }

    /// Adds an append to the queue of a partition.
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
