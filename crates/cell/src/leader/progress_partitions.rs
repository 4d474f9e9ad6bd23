//! Which partition of the progress topic is written to, and under which sequence number.
//!
//! A sequence number is used for one batch only. The store answers another batch under the number of one that it has with its
//! first response, without storing it.

use syc_types::Millis;

use crate::leader::append_date::AppendDate;
use crate::stored_state::PROGRESS_PARTITIONS;

/// Time for which a partition with an append in doubt is not used. The store may apply such an
/// append seconds late, and would then drop the next one with the same sequence number as its
/// duplicate.
const IN_DOUBT_BLOCK_MS: u64 = 15_000;

/// A change of the partition that is written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionSwitch {
    /// The partition that was written to.
    pub from: u32,
    /// The partition that is written to now.
    pub to: u32,
    /// Whether the former partition may have carried out an append that was not answered.
    pub in_doubt: bool,
}

/// Write state of the progress partitions.
#[derive(Debug, Default)]
pub struct ProgressPartitions {
    current: u32,
    states: [PartitionState; 2],
}

/// Write state of one progress partition.
#[derive(Debug)]
struct PartitionState {
    /// Sequence number of the next append.
    sequence: u64,
    /// Date of that append, of which copies may be in doubt.
    date: AppendDate,
    /// Not written to before this time.
    blocked_until: Millis,
}

impl Default for PartitionState {
    fn default() -> Self {
        Self {
            sequence: 1,
            date: AppendDate::default(),
            blocked_until: Millis(0),
        }
    }
}

impl ProgressPartitions {
    /// Returns the partition that is written to.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.current
    }

    /// Returns the sequence number of the next append.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.state(self.current).sequence
    }

    fn state(&self, partition: u32) -> &PartitionState {
        &self.states[usize::from(partition > 0)]
    }

    fn state_mut(&mut self, partition: u32) -> &mut PartitionState {
        &mut self.states[usize::from(partition > 0)]
    }

    /// Sets the sequence number of the next append to a partition, of which no copy was sent yet.
    pub fn set_sequence(&mut self, partition: u32, sequence: u64) {
        let state = self.state_mut(partition);
        state.sequence = sequence;
        state.date = AppendDate::default();
    }

    /// Records that a copy of the next append, sent at `sent_at`, may have been carried out.
    pub fn note_in_doubt(&mut self, sent_at: Millis) {
        let state = self.state_mut(self.current);
        state.date.note_in_doubt(sent_at);
    }

    /// Records that the store accepted a copy of the next append, sent at `sent_at`. Returns when the first copy was sent
    /// that it may have carried out.
    pub fn note_accepted(&mut self, sent_at: Millis) -> Millis {
        let state = self.state(self.current);
        let accepted_at = state.date.of_copy(sent_at);
        let next = state.sequence + 1;
        self.set_sequence(self.current, next);
        accepted_at
    }

    /// Switches to the other partition. Returns `None` if that one is blocked.
    pub fn switch(&mut self, now: Millis) -> Option<PartitionSwitch> {
        let from = self.current;
        let to = (from + 1) % PROGRESS_PARTITIONS;
        if self.state(to).blocked_until > now {
            return None;
        }
        let state = self.state_mut(from);
        let in_doubt = state.date.is_in_doubt();
        if in_doubt {
            state.blocked_until = now.plus(IN_DOUBT_BLOCK_MS);
            // The append in doubt may have consumed this number.
            let next = state.sequence + 1;
            self.set_sequence(from, next);
        }
        self.current = to;
        Some(PartitionSwitch { from, to, in_doubt })
    }
}
