//! When an order is sent again, and how many are: exponential backoff with equal jitter, and token buckets.
//!
//! Both are of the published forms: M. Brooker, "Exponential Backoff And Jitter" (AWS, 2015), and the retry
//! budgets of Finagle and gRPC, where each success pays for a later repeat.

use std::hash::Hash;
use std::hash::Hasher;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_types::Millis;
use xxhash_rust::xxh3::Xxh3;

use crate::Run;
use crate::TaskId;

/// Most times that a wait doubles; each limit is reached long before.
const DOUBLINGS_LIMIT: u32 = 16;

/// One token, in the unit in which tokens are counted.
const TOKEN: u64 = 1_000;

/// Returns the wait before the repeat of an order: it doubles with each one up to a limit, and half of it is
/// jitter, which `seed` decides.
pub(crate) fn backoff_ms(base_ms: u64, limit_ms: u64, repeats: u32, seed: u64) -> u64 {
    let doubled_ms = base_ms.saturating_mul(1 << repeats.min(DOUBLINGS_LIMIT));
    let half_ms = doubled_ms.min(limit_ms) / 2;
    let mut rng = SmallRng::seed_from_u64(seed ^ u64::from(repeats));
    half_ms + rng.random_range(0..=half_ms)
}

/// Returns what scatters the repeats of orders about a run: the core draws no random numbers of its own.
pub(crate) fn seed_of(task: TaskId, run: Run) -> u64 {
    let mut hasher = Xxh3::new();
    (task, run).hash(&mut hasher);
    hasher.finish()
}

/// A token bucket that pays for repeats: it fills with time, and with each order that is taken.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Budget {
    burst: u64,
    per_s: u64,
    /// In thousandths of a token.
    left: u64,
    filled_at: Millis,
}

impl Budget {
    /// Makes a full bucket of so many tokens that gets so many back a second.
    pub(crate) const fn new(burst: u64, per_s: u64) -> Self {
        Self {
            burst,
            per_s,
            left: burst * TOKEN,
            filled_at: Millis(0),
        }
    }

    /// Says whether a token is left.
    pub(crate) fn has_one(&mut self, now: Millis) -> bool {
        let filled = now.since(self.filled_at).saturating_mul(self.per_s);
        self.filled_at = now;
        self.add(filled);
        self.left >= TOKEN
    }

    /// Takes a token if one is left, and says whether one was.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        let has_one = self.has_one(now);
        if has_one {
            self.left -= TOKEN;
        }
        has_one
    }

    /// Gives a token back.
    pub(crate) fn give(&mut self) {
        self.add(TOKEN);
    }

    fn add(&mut self, tokens: u64) {
        self.left = self.left.saturating_add(tokens).min(self.burst * TOKEN);
    }
}
