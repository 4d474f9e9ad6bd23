//! Points in time as the decisions see them: milliseconds on a clock that the caller chooses.

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds since an origin that the clock's owner chooses.
///
/// Decisions receive it as `now`; they never read a clock of their own.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the point `duration_ms` later, stopping at the greatest one.
    #[must_use]
    pub fn plus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if that lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
