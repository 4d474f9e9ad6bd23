//! How long the store takes for an append, as its answers show.

/// Units of the usual time in a millisecond.
const UNITS_PER_MS: u64 = 100;

/// Part of the way that the usual time moves down to a shorter one, in hundredths. It moves up at once: the row of
/// a slow store is there from its first answer on.
const DECREASE_PERCENT: u64 = 25;

/// How much more time an append is taken to need after one that was not answered.
const TIMEOUT_FACTOR: u64 = 3;

/// However many were not answered, an append is not taken to need more than this.
const MAX_TIMEOUT_ESTIMATE_MS: u64 = 1_500;

/// The usual time of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyEstimate {
    /// Ten microseconds each, so that the smoothing keeps fractions of a millisecond.
    estimate_ten_us: u64,
}

impl LatencyEstimate {
    /// Begins with a time that appends are taken to need before any was answered.
    #[must_use]
    pub const fn new(estimate_ms: u64) -> Self {
        Self {
            estimate_ten_us: estimate_ms * UNITS_PER_MS,
        }
    }

    /// Returns the usual time.
    #[must_use]
    pub const fn estimate_ms(&self) -> u64 {
        self.estimate_ten_us / UNITS_PER_MS
    }

    /// Takes note of how long an answer took.
    pub fn record(&mut self, took_ms: u64) {
        let smoothed = self.estimate_ten_us * (100 - DECREASE_PERCENT)
            + took_ms * UNITS_PER_MS * DECREASE_PERCENT;
        self.estimate_ten_us = (smoothed / 100).max(took_ms * UNITS_PER_MS);
    }

    /// Takes note that an append was not answered at all.
    ///
    /// Once that is a lost answer; several times in a row, the store is slower than it is given time for.
    pub fn record_timeout(&mut self) {
        let slower = self.estimate_ten_us * TIMEOUT_FACTOR;
        self.estimate_ten_us = slower
            .min(MAX_TIMEOUT_ESTIMATE_MS * UNITS_PER_MS)
            .max(self.estimate_ten_us);
    }

    /// Takes note that another node, which makes its appends elsewhere, was answered that soon.
    pub const fn record_forwarded(&mut self, took_ms: u64) {
        let halved = self.estimate_ten_us / 2;
        let peer_ten_us = took_ms * UNITS_PER_MS;
        if halved > peer_ten_us {
            self.estimate_ten_us = halved;
        }
    }
}
