//! How long appends take at a store whose partitions take one at a time.

use std::collections::HashMap;

use syc_types::Millis;

/// A partition refuses an append where this much already waits.
const ROW_LIMIT_MS: u64 = 2_000;

/// What a partition says to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowAnswer {
    /// It is carried out and answered then, also where nobody waits for the answer any more.
    CarriedOut(Millis),
    /// It is refused at once, and nothing was done.
    Full,
}

/// The rows in which appends wait at the partitions of a topic.
#[derive(Debug, Clone)]
pub struct StoreRows {
    /// Time that an append takes now.
    pub append_ms: u64,
    free_at: HashMap<u32, Millis>,
}

impl StoreRows {
    /// Begins with nothing that waits.
    #[must_use]
    pub fn new(append_ms: u64) -> Self {
        Self {
            append_ms,
            free_at: HashMap::new(),
        }
    }

    /// Takes an append to a partition.
    pub fn append(&mut self, partition: u32, now: Millis) -> RowAnswer {
        let free_at = self.free_at.entry(partition).or_insert(now);
        let begins_at = (*free_at).max(now);
        if begins_at.since(now) > ROW_LIMIT_MS {
            return RowAnswer::Full;
        }
        *free_at = begins_at.plus(self.append_ms);
        RowAnswer::CarriedOut(*free_at)
    }
}
