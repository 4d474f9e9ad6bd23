//! How many repeats there may be.

use syc_types::Millis;

/// One token, in the unit in which tokens are counted.
const TOKEN: u64 = 1_000;

/// A token bucket that pays for repeats: it fills with time, and with each success.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    burst: u64,
    per_s: u64,
    /// In thousandths of a token.
    left: u64,
    filled_at: Millis,
}

impl Budget {
    /// Makes a full bucket of so many tokens that gets so many back a second.
    #[must_use]
    pub const fn new(burst: u64, per_s: u64) -> Self {
        Self {
            burst,
            per_s,
            left: burst * TOKEN,
            filled_at: Millis(0),
        }
    }

    /// Says whether a token is left.
    pub fn has_one(&mut self, now: Millis) -> bool {
        let filled = now.since(self.filled_at).saturating_mul(self.per_s);
        self.filled_at = now;
        self.add(filled);
        self.left >= TOKEN
    }

    /// Takes a token if one is left, and says whether one was.
    pub fn take(&mut self, now: Millis) -> bool {
        let has_one = self.has_one(now);
        if has_one {
            self.left -= TOKEN;
        }
        has_one
    }

    /// Gives a token back.
    pub fn give(&mut self) {
        self.add(TOKEN);
    }

    /// Gives a part of a token back, in thousandths.
    pub fn give_per_mille(&mut self, per_mille: u64) {
        self.add(per_mille);
    }

    fn add(&mut self, tokens: u64) {
        self.left = self.left.saturating_add(tokens).min(self.burst * TOKEN);
    }
}
