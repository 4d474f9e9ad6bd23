//! Timeout of a node's contacts to the scheduler, which follows how fast schedulers answer.
//!
//! Load pattern: more work than the scheduler's node has processor time for, so that it answers contacts late. With a
//! fixed timeout, other nodes would suspect it to have failed, and its successors as well.

use syc_retry::TimeoutEstimator;

/// Longest timeout, as a multiple of that of an idle cell. A scheduler that is cut off is still suspected within two
/// seconds.
const MAX_FACTOR: u64 = 4;

/// An unanswered contact to a scheduler that proves to be alive counts as answered after this many timeouts.
const LATE_ANSWER_FACTOR: u64 = 2;

/// Maximum number of unanswered contacts that count at a time.
const LATE_ANSWERS_LIMIT: u32 = 3;

/// Estimates the timeout of contacts. It is kept when the scheduler changes, since the load is the same for the next.
///
/// Unanswered contacts count only once the scheduler has proved to be alive. If they counted at once, a scheduler that
/// has failed would be suspected later than necessary.
#[derive(Debug, Clone, Copy, Default)]
pub struct ContactTimeout {
    estimator: TimeoutEstimator,
}

impl ContactTimeout {
    /// Returns the timeout of the next contact, at least `min_ms`, which suffices in an idle cell.
    #[must_use]
    pub fn timeout_ms(&self, min_ms: u64) -> u64 {
        self.estimator.timeout_ms(min_ms, min_ms * MAX_FACTOR)
    }

    /// Records an answer that took `took_ms`, and the unanswered contacts to the same scheduler before it.
    pub fn record_answer(&mut self, took_ms: u64, unanswered: u32, min_ms: u64) {
        self.record_unanswered(unanswered, min_ms);
        self.estimator.record(took_ms);
    }

    /// Records contacts without an answer to a scheduler that has proved to be alive.
    pub fn record_unanswered(&mut self, unanswered: u32, min_ms: u64) {
        for _ in 0..unanswered.min(LATE_ANSWERS_LIMIT) {
            let late_ms = self.timeout_ms(min_ms) * LATE_ANSWER_FACTOR;
            self.estimator.record(late_ms);
        }
    }
}
