//! For how long an answer is waited for.

/// Part of a sample by which the smoothed time moves towards it: one in so many.
const SMOOTHING_DIVISOR: u64 = 8;

/// Part by which the deviation does.
const DEVIATION_DIVISOR: u64 = 4;

/// Deviations beyond the smoothed time that an answer may take.
const DEVIATION_FACTOR: u64 = 4;

/// Longer than any answer is waited for.
const MAX_SAMPLE_MS: u64 = 60_000;

/// Fractions of a millisecond that are kept, so that small steps are not lost.
const SCALE: u64 = 16;

/// How long the answers of one other side take, and how much that varies.
///
/// The published estimator of retransmission timeouts: V. Jacobson, M. Karels, "Congestion Avoidance and Control"
/// (1988), as in RFC 6298. An answer that did not come counts as one that took the whole time that it was given: what
/// is only timed where it came in time would never show that it often takes longer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TimeoutEstimator {
    /// Smoothed time and mean deviation, in parts of a millisecond; none before the first sample.
    estimate: Option<(u64, u64)>,
}

impl TimeoutEstimator {
    /// Takes note of how long an answer took, or of the time within which it did not come.
    pub fn record(&mut self, took_ms: u64) {
        let sample = took_ms.min(MAX_SAMPLE_MS) * SCALE;
        let Some((smoothed, deviation)) = self.estimate else {
            self.estimate = Some((sample, sample / 2));
            return;
        };
        let error = smoothed.abs_diff(sample);
        let deviation = deviation - deviation / DEVIATION_DIVISOR + error / DEVIATION_DIVISOR;
        let smoothed = smoothed - smoothed / SMOOTHING_DIVISOR + sample / SMOOTHING_DIVISOR;
        self.estimate = Some((smoothed, deviation));
    }

    /// Returns the time that the next answer is given, within bounds.
    #[must_use]
    pub fn timeout_ms(&self, min_ms: u64, max_ms: u64) -> u64 {
        let (smoothed, deviation) = self.estimate.unwrap_or_default();
        let timeout_ms = (smoothed + deviation * DEVIATION_FACTOR) / SCALE;
        timeout_ms.min(max_ms).max(min_ms)
    }
}
