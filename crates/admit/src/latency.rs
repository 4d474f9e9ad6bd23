//! Append latency of the store, estimated from its answers.

/// Units of the estimate per millisecond.
const UNITS_PER_MS: u64 = 100;

/// Weight of a sample below the estimate, in percent. A sample above it replaces the estimate,
/// because the queue of a slow store exists from its first slow answer on.
const DECREASE_PERCENT: u64 = 25;

/// Factor by which an unanswered append increases the estimate.
const TIMEOUT_FACTOR: u64 = 3;

/// Limit up to which unanswered appends increase the estimate.
const MAX_TIMEOUT_ESTIMATE_MS: u64 = 1_500;

/// An estimate of the time that an append takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyEstimate {
    /// In units of ten microseconds, so that smoothing keeps fractions of a millisecond.
    estimate_ten_us: u64,
}

impl LatencyEstimate {
    /// Creates an estimate with an assumed initial latency.
    #[must_use]
    pub const fn new(estimate_ms: u64) -> Self {
        Self {
            estimate_ten_us: estimate_ms * UNITS_PER_MS,
        }
    }

    /// Returns the estimated latency.
    #[must_use]
    pub const fn estimate_ms(&self) -> u64 {
        self.estimate_ten_us / UNITS_PER_MS
    }

    /// Records the response time of an append.
    pub fn record(&mut self, took_ms: u64) {
        let smoothed = self.estimate_ten_us * (100 - DECREASE_PERCENT)
            + took_ms * UNITS_PER_MS * DECREASE_PERCENT;
        self.estimate_ten_us = (smoothed / 100).max(took_ms * UNITS_PER_MS);
    }

    /// Records an append that was not answered.
    ///
    /// A single one may be a lost answer. Several in a row mean that the store is slower than its
    /// timeout allows for.
    pub fn record_timeout(&mut self) {
        let slower = self.estimate_ten_us * TIMEOUT_FACTOR;
        self.estimate_ten_us = slower
            .min(MAX_TIMEOUT_ESTIMATE_MS * UNITS_PER_MS)
            .max(self.estimate_ten_us);
    }

    /// Records how long a forwarded record took to be stored.
    ///
    /// The scheduler's node appends to other partitions, so the sample does not replace the
    /// estimate, which is only halved as long as it stays above the sample.
    pub const fn record_forwarded(&mut self, took_ms: u64) {
        let halved = self.estimate_ten_us / 2;
        let peer_ten_us = took_ms * UNITS_PER_MS;
        if halved > peer_ten_us {
            self.estimate_ten_us = halved;
        }
    }
}
