//! Exponential backoff with jitter.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Maximum number of doublings; any limit in use is reached long before.
const MAX_DOUBLINGS: u32 = 16;

/// Returns the delay before a retry. It doubles with each attempt up to a limit, and half of it is
/// jitter derived from `seed`.
#[must_use]
pub fn backoff_ms(base_ms: u64, max_ms: u64, attempt: u32, seed: u64) -> u64 {
    let doubled_ms = base_ms.saturating_mul(1 << attempt.min(MAX_DOUBLINGS));
    let half_ms = doubled_ms.min(max_ms) / 2;
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::from(attempt));
    half_ms + rng.random_range(0..=half_ms)
}
