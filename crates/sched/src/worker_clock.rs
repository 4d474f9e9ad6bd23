//! Converts the ends of leases to the clock of a worker.

use syc_types::Millis;

/// Tolerated drift of a worker's clock, in thousandths. Workers may run up to 20 slow.
const CLOCK_DRIFT_PER_MILLE: u64 = 25;

/// Returns the longest deviation of a worker's clock over a duration.
#[must_use]
pub const fn clock_drift_ms(duration_ms: u64) -> u64 {
    duration_ms * CLOCK_DRIFT_PER_MILLE / 1_000
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Time on the worker's clock.
    pub clock_ms: u64,
    /// When the reading was received.
    pub read_at: Millis,
}

impl ClockReading {
    /// Returns the end of a lease that starts at `from`, on the worker's clock.
    ///
    /// Assumes that the clock has been slow since the reading, so that the lease ends in time however old that is. On
    /// an accurate clock, the lease is shorter by the drift.
    #[must_use]
    pub fn lease_until_ms(&self, from: Millis, lease_ms: u64) -> u64 {
        let since_ms = from.since(self.read_at);
        let slow_since_ms = since_ms.saturating_sub(clock_drift_ms(since_ms));
        let before_ms = self.read_at.since(from);
        let until_ms = self.clock_ms.saturating_add(lease_ms);
        until_ms
            .saturating_add(slow_since_ms)
            .saturating_sub(before_ms)
    }
}
