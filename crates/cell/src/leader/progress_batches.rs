//! Decides when the progress that was pending at a moment is written. Pure: no clock, no I/O.
//!
//! The load that this handles: on a large cell runs end all the time, so there is never a moment without pending progress
//! at which a planned stop could free the role.

/// Counts the batches of progress that are written, one at a time.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProgressBatches {
    /// Number of batches begun that had all changes of their time.
    complete_begun: u64,
    /// Number of the latest such batch that is written.
    complete_written: u64,
    is_writing: bool,
}

impl ProgressBatches {
    /// Records that a batch begins. `is_complete` says whether it has all changes that are pending.
    pub const fn begin(&mut self, is_complete: bool) {
        self.is_writing = true;
        if is_complete {
            self.complete_begun += 1;
        }
    }

    /// Records that the batch is written.
    pub const fn end(&mut self, is_complete: bool) {
        self.is_writing = false;
        if is_complete {
            self.complete_written = self.complete_begun;
        }
    }

    /// Returns the number of the first batch that will have everything that is pending now.
    #[must_use]
    pub const fn next_complete(&self) -> u64 {
        self.complete_begun + 1
    }

    /// Returns whether a batch with this number is written, or nothing is left to write.
    #[must_use]
    pub const fn is_written(&self, number: u64, has_changes: bool) -> bool {
        let is_idle = !has_changes && !self.is_writing;
        is_idle || self.complete_written >= number
    }
}
