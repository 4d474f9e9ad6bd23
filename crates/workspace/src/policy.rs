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

/// Cap and weight of a workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspacePolicy {
    /// The workspace.
    pub name: WorkspaceName,
    /// Its share of full workers, in proportion to the weights of the others.
    pub weight: f64,
    /// The most that all its runs together may occupy. A kind without a limit has the largest value.
    pub cap: Resources,
}

impl WorkspacePolicy {
    /// Creates the policy of a workspace without a cap, with the weight of one.
    #[must_use]
    pub const fn unlimited(name: WorkspaceName) -> Self {
        Self {
            name,
            weight: 1.0,
            cap: UNLIMITED,
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
}
