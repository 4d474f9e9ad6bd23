//! Timeouts estimated from response times.

/// Divisor of a sample's weight in the smoothed response time.
const SMOOTHING_DIVISOR: u64 = 8;

/// Divisor of a sample's weight in the mean deviation.
const DEVIATION_DIVISOR: u64 = 4;

/// Number of deviations added to the smoothed time.
const DEVIATION_FACTOR: u64 = 4;

/// Cap on samples, longer than any timeout in use.
const MAX_SAMPLE_MS: u64 = 60_000;

/// Fixed-point units per millisecond, so that small steps are not lost to rounding.
const SCALE: u64 = 16;

/// Estimates a timeout from the response times of one peer and their variation.
///
/// This is the estimator for retransmission timeouts of V. Jacobson and M. Karels, "Congestion
/// Avoidance and Control" (1988), as in RFC 6298. A request without an answer counts as a response
/// that took the full timeout. If only answers in time were measured, the estimate would never show
/// that answers often take longer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TimeoutEstimator {
    /// Smoothed time and mean deviation in fixed-point units; `None` before the first sample.
    estimate: Option<(u64, u64)>,
}

impl TimeoutEstimator {
    /// Records a response time, or the timeout if there was no answer.
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

    /// Returns the timeout of the next request, within bounds. If they conflict, `min_ms` takes
    /// precedence.
    #[must_use]
    pub fn timeout_ms(&self, min_ms: u64, max_ms: u64) -> u64 {
        let (smoothed, deviation) = self.estimate.unwrap_or_default();
        let timeout_ms = (smoothed + deviation * DEVIATION_FACTOR) / SCALE;
        timeout_ms.min(max_ms).max(min_ms)
    }
}
