//! What a workspace may run.

use syc_types::Resources;
use syc_types::WorkspaceName;

/// The cap of a workspace without one.
pub const UNLIMITED: Resources = Resources {
    cpu_millis: u64::MAX,
    memory_bytes: u64::MAX,
    accelerators: u32::MAX,
};

/// Smallest weight, so that shares can be divided by it.
pub const MIN_WEIGHT: f64 = 0.001;

/// Largest weight, so that sums of weights stay exact enough.
pub const MAX_WEIGHT: f64 = 1e9;

/// Seconds of its guaranteed rate that a workspace may send at once by default.
const DEFAULT_BURST_S: f64 = 5.0;

/// Smallest default burst. Callers with a low rate also send several jobs at once, and these should be guaranteed.
const MIN_DEFAULT_BURST_JOBS: f64 = 20.0;

/// Cap, weight and guaranteed rate of a workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspacePolicy {
    /// The workspace.
    pub name: WorkspaceName,
    /// Its share of full workers, in proportion to the weights of the others.
    pub weight: f64,
    /// The most that all its runs together may occupy. A kind without a limit has the largest value.
    pub cap: Resources,
    /// Jobs a second that are served before the excess jobs of others; infinite for all jobs.
    pub rate_per_s: f64,
    /// Jobs that it may send at once after a pause: the capacity of its token bucket.
    pub burst_jobs: f64,
}

impl WorkspacePolicy {
    /// Creates the policy of a workspace without a cap and with an unlimited rate, with the weight of one.
    #[must_use]
    pub const fn unlimited(name: WorkspaceName) -> Self {
        Self {
            name,
            weight: 1.0,
            cap: UNLIMITED,
            rate_per_s: f64::INFINITY,
            burst_jobs: f64::INFINITY,
        }
    }

    /// Sets the weight, limited to the range that can be computed with.
    #[must_use]
    pub fn with_weight(self, weight: f64) -> Self {
        let known = if weight.is_nan() { MIN_WEIGHT } else { weight };
        Self {
            weight: known.clamp(MIN_WEIGHT, MAX_WEIGHT),
            ..self
        }
    }

    /// Sets the guaranteed rate and the burst.
    ///
    /// A missing rate, or one that is not positive, is the weight in jobs a second. A missing burst, or one that is not
    /// positive, is five seconds of the rate, but at least twenty jobs. No burst is less than one job, since a bucket
    /// that never holds a whole token would guarantee nothing.
    #[must_use]
    pub fn with_rate(self, rate_per_s: Option<f64>, burst_jobs: Option<f64>) -> Self {
        let rate_per_s = positive(rate_per_s).unwrap_or(self.weight);
        let default_burst = (rate_per_s * DEFAULT_BURST_S).max(MIN_DEFAULT_BURST_JOBS);
        Self {
            rate_per_s,
            burst_jobs: positive(burst_jobs).map_or(default_burst, |burst| burst.max(1.0)),
            ..self
        }
    }
}

fn positive(value: Option<f64>) -> Option<f64> {
    value.filter(|value| value.is_finite() && *value > 0.0)
}
