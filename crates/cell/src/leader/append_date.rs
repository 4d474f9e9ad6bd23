//! Dates an append that is repeated under one sequence number as evidence that the store has fenced nobody.
//!
//! The store answers a repeat with its first response, possibly after it has fenced the producer. The answer shows only
//! that some copy was accepted, so it is dated by the first copy that the store may have carried out.

use syc_types::Millis;

/// When the first copy of an append was sent that the store may have carried out.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AppendDate {
    in_doubt_since: Option<Millis>,
}

impl AppendDate {
    /// Records that a copy sent at `sent_at` may have been carried out.
    pub(super) fn note_in_doubt(&mut self, sent_at: Millis) {
        self.in_doubt_since.get_or_insert(sent_at);
    }

    /// Returns whether the store may have carried out a copy that was not answered.
    pub(super) const fn is_in_doubt(self) -> bool {
        self.in_doubt_since.is_some()
    }

    /// Returns the date of the evidence if the store accepts a copy sent at `sent_at`.
    pub(super) fn of_copy(self, sent_at: Millis) -> Millis {
        self.in_doubt_since.unwrap_or(sent_at)
    }
}
